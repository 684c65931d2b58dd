#ifndef CALLERS_H
#define CALLERS_H

#include "attempts.h"
#include "daemon.h"

/* The callers' listener: takes requests, hands them to the router and answers
 * with the outcome.  Also health, readiness and metrics. */

Callers *Callers_Create(Daemon *daemon, AqError *error);
void Callers_Destroy(Callers *callers);

uint16_t Callers_Port(const Callers *callers);
/* Requests taken and not answered. */
size_t Callers_Pending(const Callers *callers);
void Callers_CloseAfterResponse(Callers *callers);
void Callers_StopListening(Callers *callers);

/* The operations that the router calls; their context is the Daemon. */
extern const AqRouterOps Callers_RouterOps;

/* The answer of an attempt; takes ownership. */
void Callers_TakeResponse(Callers *callers, uint64_t number, uint64_t attempt,
                          EndpointResponse *answer);

#endif
