#include "slot_leasing.h"

#include <stdlib.h>
#include <string.h>

#include "endpoints.h"
#include "peers.h"

enum {
    /* Term of a lease in ms: from its start, the peer may start new requests
     * on the leased slots for this long. */
    LEASE_TERM_MS = 2000,
    RETURN_CHECK_PERIOD_MS = 100,
    /* Greatest number of slots of one service that one message requests from a
     * peer. */
    MAX_LEASE_SLOTS = 16
};

struct SlotLeasing {
    Daemon *daemon;
    AqTimer timer;
};

typedef struct {
    Daemon *daemon;
    const char *peer;
    const AqMsgHeartbeat *beat;
} LesseeState;

/* Whether the sender of a heartbeat can lease out slots of a service.  A
 * service that the heartbeat does not list has idle slots and no queue. */
static bool
may_grant_lease(const AqMsgHeartbeat *beat, const char *service)
{
    for (size_t i = 0; i < beat->service_count; i++) {
        const AqWireService *s = &beat->services[i];
        if (strcmp(s->name, service) == 0) {
            return s->idle > 0 && s->queued == 0;
        }
    }
    return true;
}

static void
request_slots_for(void *context, const char *service)
{
    const LesseeState *state = context;
    int queued = AqRouter_Queued(state->daemon->router, service);
    if (queued == 0 || !may_grant_lease(state->beat, service)) {
        return;
    }
    AqMsg msg = {.type = AQ_MSG_BORROW};
    strncpy(msg.as.slots.name, service, sizeof(msg.as.slots.name) - 1);
    msg.as.slots.count = queued < MAX_LEASE_SLOTS ? queued : MAX_LEASE_SLOTS;
    Peers_Send(state->daemon->peers, state->peer, &msg);
}

void
SlotLeasing_OnHeartbeat(Daemon *daemon, const char *from,
                        const AqMsgHeartbeat *beat)
{
    LesseeState state = {daemon, from, beat};
    AqRouter_EachService(daemon->router, request_slots_for, &state);
}

typedef struct {
    Daemon *daemon;
    const char *lessee;
    /* Number of slots that may still be leased to the lessee in response to
     * its request. */
    int remaining_slots;
} LessorState;

static void
grant_lease_from(void *context, const char *endpoint, int slots)
{
    LessorState *state = context;
    Daemon *daemon = state->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    (void)slots;
    int idle = AqSlices_Usable(daemon->slices, now, endpoint) -
               AqRouter_InFlight(daemon->router, endpoint);
    if (state->remaining_slots == 0 || idle <= 0) {
        return;
    }
    int leased_out =
        AqSlices_GrantLease(daemon->slices, now, state->lessee, endpoint, idle,
                            state->remaining_slots);
    if (leased_out == 0) {
        return;
    }
    state->remaining_slots -= leased_out;
    /* The router of this daemon must stop using the leased slots before the
     * lessee can start to use them. */
    AqRouter_SetSlots(daemon->router, now, endpoint,
                      AqSlices_Usable(daemon->slices, now, endpoint));
    AqMsg msg = {.type = AQ_MSG_LEND};
    strncpy(msg.as.slots.name, endpoint, sizeof(msg.as.slots.name) - 1);
    msg.as.slots.count = leased_out;
    msg.as.slots.term_ms = LEASE_TERM_MS;
    if (!Peers_Send(daemon->peers, state->lessee, &msg)) {
        /* The grant of the lease was not sent to the peer, so the slots stay
         * at this daemon. */
        AqSlices_LeaseReturned(daemon->slices, state->lessee, endpoint,
                               leased_out);
    }
}

void
SlotLeasing_OnRequest(Daemon *daemon, const char *from, const AqMsgSlots *msg)
{
    if (AqRouter_Queued(daemon->router, msg->name) > 0 || msg->count <= 0) {
        return;
    }
    /* Half of the idle slots of the service are kept for requests that callers
     * send to this daemon. */
    int idle = AqRouter_FreeSlots(daemon->router, msg->name) / 2;
    LessorState state = {
        .daemon = daemon,
        .lessee = from,
        .remaining_slots = msg->count < idle ? (int)msg->count : idle,
    };
    Endpoints_Each(daemon->endpoints, msg->name, grant_lease_from, &state);
    Endpoints_RefreshSlots(daemon->endpoints);
}

void
SlotLeasing_OnGrant(Daemon *daemon, const char *from, const AqMsgSlots *msg)
{
    AqSlices_LeaseGranted(daemon->slices, AqLoop_Now(daemon->loop), from,
                          msg->name, (int)msg->count, msg->term_ms);
    Endpoints_RefreshSlots(daemon->endpoints);
}

static void
return_slots(void *context, const char *endpoint, int slots)
{
    Daemon *daemon = context;
    const char *lessor;
    int count;
    (void)slots;
    while ((count = AqSlices_NextReturn(
                daemon->slices, AqLoop_Now(daemon->loop), endpoint,
                AqRouter_InFlight(daemon->router, endpoint), &lessor)) > 0) {
        AqMsg msg = {.type = AQ_MSG_RETURN};
        AqRouter_SetSlots(daemon->router, AqLoop_Now(daemon->loop), endpoint,
                          AqSlices_Usable(daemon->slices,
                                          AqLoop_Now(daemon->loop), endpoint));
        strncpy(msg.as.slots.name, endpoint, sizeof(msg.as.slots.name) - 1);
        msg.as.slots.count = count;
        Peers_Send(daemon->peers, lessor, &msg);
    }
}

static void
on_timer(void *context)
{
    SlotLeasing *leasing = context;
    Daemon *daemon = leasing->daemon;
    const char *name;
    json_t *record;
    if (!AqSlices_IsSteady(daemon->slices)) {
        json_object_foreach(
            (json_t *)AqFleet_All(Daemon_Fleet(daemon), AQ_REC_VM), name,
            record)
        {
            return_slots(daemon, name, 0);
        }
        Endpoints_RefreshSlots(daemon->endpoints);
    }
    AqTimer_Start(daemon->loop, &leasing->timer,
                  AqLoop_Now(daemon->loop) + RETURN_CHECK_PERIOD_MS);
}

SlotLeasing *
SlotLeasing_Create(Daemon *daemon)
{
    SlotLeasing *leasing = calloc(1, sizeof(*leasing));
    leasing->daemon = daemon;
    AqTimer_Init(&leasing->timer, on_timer, leasing);
    AqTimer_Start(daemon->loop, &leasing->timer, AqLoop_Now(daemon->loop));
    return leasing;
}

void
SlotLeasing_Destroy(SlotLeasing *leasing)
{
    if (leasing == NULL) {
        return;
    }
    AqTimer_Stop(&leasing->timer);
    free(leasing);
}
