#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "daemon.h"

/* The endpoints that this daemon knows: from the fleet document, with what
 * health checks, answers, peers and the VM list say about them. */

Endpoints *Endpoints_Create(Daemon *daemon);
void Endpoints_Destroy(Endpoints *endpoints);

/* Brings endpoints, slots and leaving marks up to date with the document. */
void Endpoints_Refresh(Endpoints *endpoints);
/* Tells the router how many slots may be used now. */
void Endpoints_RefreshSlots(Endpoints *endpoints);
/* The same, unless nothing can have changed since the last time. */
void Endpoints_CheckSlots(Endpoints *endpoints);

/* Whether this daemon, since it became a member, has held half of the slots
 * that it is assigned. */
bool Endpoints_HaveSlots(const Endpoints *endpoints);

/* "IP:port" of an endpoint, or NULL; borrowed. */
const char *Endpoints_Address(const Endpoints *endpoints, const char *id);
/* Number that changes when idle connections must not be used again. */
uint64_t Endpoints_Generation(const Endpoints *endpoints, const char *id);
void Endpoints_CloseIdle(Endpoints *endpoints, const char *id);

/* The endpoint itself said whether it is leaving. */
void Endpoints_OnLeaving(Endpoints *endpoints, const char *id, bool leaving);
/* A peer lists the endpoint as leaving; holds for a few seconds. */
void Endpoints_OnPeerLeaving(Endpoints *endpoints, const char *id);

/* Whether health checks have succeeded for ms without a break. */
bool Endpoints_HealthyFor(const Endpoints *endpoints, const char *id,
                          int64_t ms);

/* Adds leaving endpoints with requests in flight, endpoints over their share
 * and service counts to a heartbeat. */
void Endpoints_FillHeartbeat(const Endpoints *endpoints, AqMsgHeartbeat *beat);

/* Health checks that ended since the start, and their bytes of HTTP. */
typedef struct {
    uint64_t checks;
    uint64_t bytes;
} EndpointsCounts;

void Endpoints_GetCounts(const Endpoints *endpoints, EndpointsCounts *counts);

/* Calls "visit" for each endpoint of a service. */
void Endpoints_Each(const Endpoints *endpoints, const char *service,
                    void (*visit)(void *context, const char *id, int slots),
                    void *context);

#endif
