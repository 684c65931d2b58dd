#ifndef CALLERS_H
#define CALLERS_H

#include "attempts.h"
#include "daemon.h"

/* Creates the HTTP server for callers.  It passes callers' requests to the
 * router and responds with their outcomes; it also serves this daemon's
 * health, readiness and metrics. */

Callers *Callers_Create(Daemon *daemon, AqError *error);
void Callers_Destroy(Callers *callers);

uint16_t Callers_Port(const Callers *callers);
/* Returns the number of callers' requests that were accepted and have no
 * response yet. */
size_t Callers_Pending(const Callers *callers);
void Callers_CloseAfterResponse(Callers *callers);
void Callers_StopListening(Callers *callers);

/* The operations that the router calls; their "context" is the Daemon. */
extern const AqRouterOps Callers_RouterOps;

/* Stores the endpoint's response to an attempt of request "number" and takes
 * ownership of "response". */
void Callers_TakeResponse(Callers *callers, uint64_t number, uint64_t attempt,
                          EndpointResponse *response);

#endif
