#include "aq_daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "aq_log.h"
#include "aq_store_http.h"
#include "burn_sync.h"
#include "callers.h"
#include "claim_client.h"
#include "commits.h"
#include "daemon.h"
#include "endpoints.h"
#include "fleet_sync.h"
#include "jobs_runner.h"
#include "slot_leasing.h"
#include "operators.h"
#include "peers.h"
#include "planner_runner.h"
#include "stopping.h"
#include "vm_list.h"

enum {
    JOIN_RETRY_MS = 500
};

struct AqDaemon {
    Daemon shared;
    Stopping *stopping;
    SlotLeasing *leasing;
    AqTimer join;
    bool joining;
};

AqFleet *
Daemon_Fleet(const Daemon *daemon)
{
    return FleetSync_Fleet(daemon->sync);
}

/* A daemon is ready only when it holds slots of endpoints.  A new member holds
 * none until the guard period (AQ_GUARD_MS) of its epoch, the new set of
 * members, has passed.  When daemons reported ready before the end of that
 * period, they refused half of their requests during an upgrade. */
bool
Daemon_IsReady(const Daemon *daemon)
{
    return daemon->phase == DAEMON_RUNNING &&
           AqMembership_IsMember(daemon->membership,
                                 daemon->settings->node_id) &&
           AqMembership_IsFresh(daemon->membership,
                                AqLoop_Now(daemon->loop)) &&
           Endpoints_HaveSlots(daemon->endpoints);
}

/* ---- Fleet document ----------------------------------------------------- */

static void
set_epoch(Daemon *daemon, const AqFleet *fleet)
{
    const json_t *members = AqFleet_All(fleet, AQ_REC_MEMBER);
    size_t count = 0;
    const char **ids = calloc(json_object_size(members) + 1, sizeof(*ids));
    const char *id;
    json_t *record;
    json_object_foreach((json_t *)members, id, record)
    {
        ids[count++] = id;
    }
    AqMembership_SetEpoch(daemon->membership, AqLoop_Now(daemon->loop),
                          AqFleet_Epoch(fleet), ids, count);
    free(ids);
}

void
Daemon_FleetChanged(Daemon *daemon)
{
    const AqFleet *fleet = Daemon_Fleet(daemon);
    bool new_epoch =
        AqFleet_Epoch(fleet) != AqMembership_Epoch(daemon->membership);
    AqLog_Event(AQ_LOG_DEBUG, "document_in_force", "version=%lld epoch=%lld",
                (long long)AqFleet_Version(fleet),
                (long long)AqFleet_Epoch(fleet));
    /* AqMembership requires this order: a version of the fleet document may be
     * reported to peers only after the members listed in that version have
     * been installed. */
    if (new_epoch) {
        set_epoch(daemon, fleet);
    }
    AqMembership_SetVersion(daemon->membership, AqFleet_Version(fleet));
    if (new_epoch) {
        AqSlices_EpochChanged(daemon->slices, AqLoop_Now(daemon->loop));
    }
    Peers_Refresh(daemon->peers);
    Endpoints_Refresh(daemon->endpoints);
    BurnSync_Refresh(daemon->burn);
    Peers_TriggerHeartbeat(daemon->peers);
}

/* ---- Peers -------------------------------------------------------------- */

void
Daemon_FillHeartbeat(Daemon *daemon, AqMsgHeartbeat *beat)
{
    AqMembership_FillHeartbeat(daemon->membership, AqLoop_Now(daemon->loop),
                               beat);
    beat->stopping = daemon->phase != DAEMON_RUNNING;
    Endpoints_FillHeartbeat(daemon->endpoints, beat);
}

static void
handle_heartbeat(Daemon *daemon, const char *from, const AqMsgHeartbeat *beat)
{
    AqTime now = AqLoop_Now(daemon->loop);
    AqMembership_Heartbeat(daemon->membership, now, from, beat);
    AqSlices_Heartbeat(daemon->slices, now, from, beat);
    FleetSync_OnPeerVersion(daemon->sync, from, beat->version);
    for (size_t i = 0; i < beat->leaving_count; i++) {
        Endpoints_OnPeerLeaving(daemon->endpoints, beat->leaving[i].name);
    }
    Endpoints_CheckSlots(daemon->endpoints);
    Commits_CheckConfirmed(daemon->commits);
}

void
Daemon_PeerMessage(Daemon *daemon, const char *from, const AqMsg *msg)
{
    switch (msg->type) {
    case AQ_MSG_HEARTBEAT:
        handle_heartbeat(daemon, from, &msg->as.heartbeat);
        SlotLeasing_OnHeartbeat(daemon, from, &msg->as.heartbeat);
        break;
    case AQ_MSG_CLAIM:
        ClaimClient_OnPeerClaim(daemon->claims, from, &msg->as.claim);
        break;
    case AQ_MSG_CLAIM_RESULT:
        ClaimClient_OnPeerResult(daemon->claims, &msg->as.claim_result);
        break;
    case AQ_MSG_RELEASE:
        ClaimClient_OnPeerRelease(daemon->claims, &msg->as.claim);
        break;
    case AQ_MSG_BORROW:
        SlotLeasing_OnRequest(daemon, from, &msg->as.slots);
        break;
    case AQ_MSG_LEND:
        SlotLeasing_OnGrant(daemon, from, &msg->as.slots);
        break;
    case AQ_MSG_RETURN:
        AqSlices_LeaseReturned(daemon->slices, from, msg->as.slots.name,
                               (int)msg->as.slots.count);
        break;
    case AQ_MSG_GET_FLEET:
        FleetSync_OnPeerRequest(daemon->sync, from);
        break;
    case AQ_MSG_FLEET:
        FleetSync_OnPeerChunk(daemon->sync, from, &msg->as.fleet);
        break;
    case AQ_MSG_BURN:
        BurnSync_OnPeerCounters(daemon->burn, &msg->as.burn);
        break;
    default:
        break;
    }
}

/* ---- Joining the epoch -------------------------------------------------- */

static void
on_joined(void *context, CommitStatus status, int64_t version,
          const AqError *error)
{
    AqDaemon *d = context;
    d->joining = false;
    if (status == COMMIT_ACCEPTED || status == COMMIT_STORED) {
        AqLog_Event(AQ_LOG_INFO, "member_joined", "version=%lld",
                    (long long)version);
    }
    else if (status == COMMIT_REFUSED && error->kind != AQ_ERR_CONFLICT) {
        AqLog_Event(AQ_LOG_ERROR, "member_refused", "error=%s",
                    AqLog_Quote(error->message));
    }
}

/* Whether the fleet document lists this daemon as a member with "address", its
 * current one. */
static bool
is_listed(const Daemon *daemon, const char *address)
{
    const json_t *record = AqFleet_Get(Daemon_Fleet(daemon), AQ_REC_MEMBER,
                                       daemon->settings->node_id);
    const char *listed = json_string_value(json_object_get(record, "address"));
    return listed != NULL && strcmp(listed, address) == 0;
}

static void
on_join_timer(void *context)
{
    AqDaemon *d = context;
    Daemon *daemon = &d->shared;
    char address[AQ_WIRE_MAX_NAME];
    Peers_Address(daemon->peers, address);
    AqTimer_Start(daemon->loop, &d->join,
                  AqLoop_Now(daemon->loop) + JOIN_RETRY_MS);
    if (d->joining || daemon->phase != DAEMON_RUNNING ||
        is_listed(daemon, address)) {
        return;
    }
    char op[200];
    /* The operation id contains the version of the fleet document, so that a
     * join after a removal is a new operation. */
    snprintf(op, sizeof(op), "member-add-%s-%llx-%lld",
             daemon->settings->node_id, (unsigned long long)daemon->instance,
             (long long)AqFleet_Version(Daemon_Fleet(daemon)));
    json_t *intent =
        json_pack("{s:s,s:s,s:{s:s,s:s}}", "op", op, "kind", "member.add",
                  "args", "id", daemon->settings->node_id, "address", address);
    d->joining = true;
    Commits_SubmitMember(daemon->commits, intent, on_joined, d);
    json_decref(intent);
}

/* ---- Lifecycle ---------------------------------------------------------- */

static AqTime
on_round(void *context)
{
    const Daemon *daemon = context;
    AqTime now = AqLoop_Now(daemon->loop);
    AqRouter_SetFresh(daemon->router, now,
                      AqMembership_IsFresh(daemon->membership, now) &&
                          AqMembership_IsMember(daemon->membership,
                                                daemon->settings->node_id));
    if (AqRouter_NextTick(daemon->router) <= now) {
        AqRouter_Tick(daemon->router, now);
    }
    return AqRouter_NextTick(daemon->router);
}

static void
create_cores(Daemon *daemon)
{
    AqTime now = AqLoop_Now(daemon->loop);
    AqRouterConfig config;
    AqRouterConfig_Init(&config);
    config.queue_limit = (int)daemon->settings->router_queue_limit;
    daemon->metrics = AqMetrics_Create();
    daemon->membership =
        AqMembership_Create(daemon->settings->node_id, daemon->instance, now);
    daemon->slices =
        AqSlices_Create(daemon->settings->node_id, daemon->membership, now);
    daemon->router =
        AqRouter_Create(&config, &Callers_RouterOps, daemon, daemon->instance);
}

static void
create_adapters(Daemon *daemon)
{
    daemon->store =
        AqStoreHttp_Create(daemon->http, daemon->settings->store_url,
                           daemon->settings->store_timeout_ms);
    daemon->sync = FleetSync_Create(daemon);
    daemon->commits = Commits_Create(daemon);
    daemon->claims = ClaimClient_Create(daemon);
    daemon->attempts = Attempts_Create(daemon);
    daemon->endpoints = Endpoints_Create(daemon);
    daemon->vms = VmList_Create(daemon);
    daemon->planner = PlannerRunner_Create(daemon);
    daemon->jobs = JobsRunner_Create(daemon);
    daemon->burn = BurnSync_Create(daemon);
}

AqDaemon *
AqDaemon_Create(const AqSettings *settings, AqError *error)
{
    AqDaemon *d = calloc(1, sizeof(*d));
    Daemon *daemon = &d->shared;
    daemon->settings = settings;
    AqTimer_Init(&d->join, on_join_timer, d);
    if (getrandom(&daemon->instance, sizeof(daemon->instance), 0) !=
        (ssize_t)sizeof(daemon->instance)) {
        AqError_Set(error, AQ_ERR_SYSTEM,
                    "the system returned no random numbers");
        goto error;
    }
    daemon->loop = AqLoop_Create(error);
    if (daemon->loop == NULL) {
        goto error;
    }
    daemon->http = AqHttpClient_Create(daemon->loop, error);
    if (daemon->http == NULL) {
        goto error;
    }
    create_cores(daemon);
    create_adapters(daemon);
    daemon->peers = Peers_Create(daemon, error);
    if (daemon->peers == NULL) {
        goto error;
    }
    daemon->callers = Callers_Create(daemon, error);
    daemon->operators =
        daemon->callers != NULL ? Operators_Create(daemon, error) : NULL;
    if (daemon->operators == NULL) {
        goto error;
    }
    d->leasing = SlotLeasing_Create(daemon);
    d->stopping = Stopping_Create(daemon);
    AqLoop_OnRound(daemon->loop, on_round, daemon);
    Peers_Refresh(daemon->peers);
    AqTimer_Start(daemon->loop, &d->join, AqLoop_Now(daemon->loop));
    return d;

error:
    AqDaemon_Destroy(d);
    return NULL;
}

void
AqDaemon_Destroy(AqDaemon *d)
{
    if (d == NULL) {
        return;
    }
    Daemon *daemon = &d->shared;
    AqTimer_Stop(&d->join);
    if (daemon->operators != NULL) {
        AqHttpClient_Close(daemon->http);
    }
    Stopping_Destroy(d->stopping);
    SlotLeasing_Destroy(d->leasing);
    Operators_Destroy(daemon->operators);
    Callers_Destroy(daemon->callers);
    Peers_Destroy(daemon->peers);
    BurnSync_Destroy(daemon->burn);
    JobsRunner_Destroy(daemon->jobs);
    PlannerRunner_Destroy(daemon->planner);
    VmList_Destroy(daemon->vms);
    Endpoints_Destroy(daemon->endpoints);
    Attempts_Destroy(daemon->attempts);
    ClaimClient_Destroy(daemon->claims);
    Commits_Destroy(daemon->commits);
    FleetSync_Destroy(daemon->sync);
    AqHttpClient_Destroy(daemon->http);
    if (daemon->store != NULL) {
        daemon->store->ops->destroy(daemon->store);
    }
    AqRouter_Destroy(daemon->router);
    AqSlices_Destroy(daemon->slices);
    AqMembership_Destroy(daemon->membership);
    AqMetrics_Destroy(daemon->metrics);
    AqLoop_Destroy(daemon->loop);
    free(d);
}

void
AqDaemon_Run(AqDaemon *d)
{
    AqLoop_Run(d->shared.loop);
}

void
AqDaemon_Stop(AqDaemon *d)
{
    Stopping_Begin(d->stopping);
}

AqLoop *
AqDaemon_Loop(AqDaemon *d)
{
    return d->shared.loop;
}

void
AqDaemon_WriteReady(const AqDaemon *d, FILE *out)
{
    const Daemon *daemon = &d->shared;
    const AqSettings *settings = daemon->settings;
    fprintf(out, "ready callers=%s:%u operators=%s:%u peers=%s:%u\n",
            settings->callers_address, Callers_Port(daemon->callers),
            settings->operators_address, Operators_Port(daemon->operators),
            settings->peers_address, Peers_Port(daemon->peers));
    fflush(out);
}
