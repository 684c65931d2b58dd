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

/* What the modules of one daemon share.  Each module has its own opaque type
 * and reaches the others only through the functions in their headers. */

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
    DAEMON_UNREADY,  /* stopping: readiness is false, requests are taken */
    DAEMON_DRAINING, /* stopping: nothing new is taken */
    DAEMON_LEAVING   /* stopping: leaves the epoch */
} DaemonPhase;

typedef struct {
    const AqSettings *settings; /* borrowed */
    uint64_t instance;          /* random; new at each start */
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

/* The fleet document in force, borrowed until the next round. */
AqFleet *Daemon_Fleet(const Daemon *daemon);

/* Called by FleetSync when a higher version is in force. */
void Daemon_FleetChanged(Daemon *daemon);
/* Called by Peers for each message of an authenticated peer. */
void Daemon_PeerMessage(Daemon *daemon, const char *from, const AqMsg *msg);
/* Called every AQ_HEARTBEAT_MS by Peers: the message to send to all. */
void Daemon_FillHeartbeat(Daemon *daemon, AqMsgHeartbeat *beat);

/* Whether the platform's balancer may send requests here. */
bool Daemon_IsReady(const Daemon *daemon);

#endif
