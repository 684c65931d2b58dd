#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "daemon.h"

/* Creates the table of the endpoints in the fleet document, each with its
 * state according to health checks, responses, peers and the platform's VM
 * list. */

Endpoints *Endpoints_Create(Daemon *daemon);
void Endpoints_Destroy(Endpoints *endpoints);

/* Updates the endpoints, their slots and which of them are leaving, from the
 * fleet document in force. */
void Endpoints_Refresh(Endpoints *endpoints);
/* Sets in the router how many slots of each endpoint this daemon may use
 * now. */
void Endpoints_RefreshSlots(Endpoints *endpoints);
/* Calls Endpoints_RefreshSlots, unless no number of usable slots can have
 * changed since the last call of Endpoints_RefreshSlots. */
void Endpoints_CheckSlots(Endpoints *endpoints);

/* Whether this daemon is a member that may rely on its fleet document and, at
 * some time since it became one, has held at least half of the endpoints'
 * slots that are assigned to it. */
bool Endpoints_HaveSlots(const Endpoints *endpoints);

/* Returns the "IP:port" of an endpoint, or NULL for an unknown id.  The string
 * is owned by "endpoints". */
const char *Endpoints_Address(const Endpoints *endpoints, const char *id);
/* Returns the generation of an endpoint, a number that changes when idle
 * connections to the endpoint must not be used again; 0 for an unknown id. */
uint64_t Endpoints_Generation(const Endpoints *endpoints, const char *id);
void Endpoints_CloseIdle(Endpoints *endpoints, const char *id);

/* Records whether the endpoint itself reports that it is leaving service, so
 * that no new attempts of requests start on the endpoint. */
void Endpoints_OnLeaving(Endpoints *endpoints, const char *id, bool leaving);
/* Records that a peer reports that the endpoint is leaving service.  The
 * record expires after a few seconds unless a peer repeats the report. */
void Endpoints_OnPeerLeaving(Endpoints *endpoints, const char *id);

/* Whether the health checks of the endpoint have succeeded without a failure
 * for at least "ms" milliseconds. */
bool Endpoints_HealthyFor(const Endpoints *endpoints, const char *id,
                          int64_t ms);

/* Adds to a heartbeat the endpoints that are leaving service, with their
 * requests in flight, the endpoints with more requests in flight than assigned
 * slots, and the queue lengths and idle slots of services. */
void Endpoints_FillHeartbeat(const Endpoints *endpoints, AqMsgHeartbeat *beat);

/* Number of health checks of endpoints that this daemon has completed since it
 * started, and number of HTTP bytes that these checks sent and received. */
typedef struct {
    uint64_t checks;
    uint64_t bytes;
} EndpointsCounts;

void Endpoints_GetCounts(const Endpoints *endpoints, EndpointsCounts *counts);

/* Calls "visit" for each endpoint of a service, with the endpoint's id and
 * number of slots. */
void Endpoints_Each(const Endpoints *endpoints, const char *service,
                    void (*visit)(void *context, const char *id, int slots),
                    void *context);

#endif
