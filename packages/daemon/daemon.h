#ifndef DAEMON_H
#define DAEMON_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_burn.h"
#include "aq_claims.h"
#include "aq_fleet.h"
#include "aq_http_client.h"
#include "aq_http_server.h"
#include "aq_loop.h"
#include "aq_membership.h"
#include "aq_metrics.h"
#include "aq_router.h"
#include "aq_settings.h"
#include "aq_slices.h"
#include "aq_store.h"

/* Opaque types of the modules of one daemon.  Each module uses the others only
 * through the functions in their headers. */

typedef struct Callers Callers;
typedef struct Attempts Attempts;
typedef struct Endpoints Endpoints;
typedef struct Peers Peers;
typedef struct FleetSync FleetSync;
typedef struct Commits Commits;
typedef struct ClaimClient ClaimClient;
typedef struct VmList VmList;
typedef struct PlannerRunner PlannerRunner;
typedef struct Operators Operators;
typedef struct BurnSync BurnSync;
typedef struct JobsRunner JobsRunner;

typedef enum {
    DAEMON_RUNNING,
    /* Stopping: reports not ready, still accepts callers' requests. */
    DAEMON_UNREADY,
    DAEMON_DRAINING, /* stopping: accepts no new requests from callers */
    DAEMON_LEAVING   /* stopping: the daemon removes itself from the members */
} DaemonPhase;

/* The data that the modules of one daemon share. */
typedef struct {
    const AqSettings *settings; /* owned by the caller of AqDaemon_Create */
    uint64_t instance; /* random number, new at each start of the daemon */
    AqLoop *loop;
    AqHttpClient *http;
    AqStore *store;
    AqMetrics *metrics;
    AqMembership *membership;
    AqSlices *slices;
    AqRouter *router;
    Callers *callers;
    Attempts *attempts;
    Endpoints *endpoints;
    Peers *peers;
    FleetSync *sync;
    Commits *commits;
    ClaimClient *claims;
    VmList *vms;
    PlannerRunner *planner;
    JobsRunner *jobs;
    Operators *operators;
    BurnSync *burn;
    DaemonPhase phase;
} Daemon;

/* Returns the fleet document in force.  FleetSync owns it and may replace it
 * when the event loop handles the next event. */
AqFleet *Daemon_Fleet(const Daemon *daemon);

/* Called by FleetSync when a newer version of the fleet document is in
 * force. */
void Daemon_FleetChanged(Daemon *daemon);
/* Called by Peers for each message "msg" of the authenticated peer "from". */
void Daemon_PeerMessage(Daemon *daemon, const char *from, const AqMsg *msg);
/* Fills the heartbeat message that Peers sends to all peers, at least every
 * AQ_HEARTBEAT_MS. */
void Daemon_FillHeartbeat(Daemon *daemon, AqMsgHeartbeat *beat);

/* Whether the platform's balancer may send requests to this daemon. */
bool Daemon_IsReady(const Daemon *daemon);

#endif
