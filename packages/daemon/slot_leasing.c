#include "slot_leasing.h"

#include <stdlib.h>
#include <string.h>

#include "endpoints.h"
#include "peers.h"

enum {
    TERM_MS = 2000, /* how long new requests may start on lent slots */
    RETURN_CHECK_MS = 100,
    MAX_BORROW = 16 /* slots of one service asked for at once */
};

struct Lending {
    Daemon *daemon;
    AqTimer timer;
};

typedef struct {
    Daemon *daemon;
    const char *peer;
    const AqMsgHeartbeat *beat;
} BorrowState;

/* A service that a heartbeat does not list has idle slots and no queue. */
static bool
may_lend(const AqMsgHeartbeat *beat, const char *service)
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
borrow_for(void *context, const char *service)
{
    const BorrowState *state = context;
    int queued = AqRouter_Queued(state->daemon->router, service);
    if (queued == 0 || !may_lend(state->beat, service)) {
        return;
    }
    AqMsg msg = {.type = AQ_MSG_BORROW};
    strncpy(msg.as.slots.name, service, sizeof(msg.as.slots.name) - 1);
    msg.as.slots.count = queued < MAX_BORROW ? queued : MAX_BORROW;
    Peers_Send(state->daemon->peers, state->peer, &msg);
}

void
Lending_Heartbeat(Daemon *daemon, const char *from, const AqMsgHeartbeat *beat)
{
    BorrowState state = {daemon, from, beat};
    AqRouter_EachService(daemon->router, borrow_for, &state);
}

typedef struct {
    Daemon *daemon;
    const char *borrower;
    int wanted;
} LendState;

static void
lend_from(void *context, const char *endpoint, int slots)
{
    LendState *state = context;
    Daemon *daemon = state->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    (void)slots;
    int idle = AqSlices_Usable(daemon->slices, now, endpoint) -
               AqRouter_InFlight(daemon->router, endpoint);
    if (state->wanted == 0 || idle <= 0) {
        return;
    }
    int lent = AqSlices_Lend(daemon->slices, now, state->borrower, endpoint,
                             idle, state->wanted);
    if (lent == 0) {
        return;
    }
    state->wanted -= lent;
    /* The router must know before the borrower does. */
    AqRouter_SetSlots(daemon->router, now, endpoint,
                      AqSlices_Usable(daemon->slices, now, endpoint));
    AqMsg msg = {.type = AQ_MSG_LEND};
    strncpy(msg.as.slots.name, endpoint, sizeof(msg.as.slots.name) - 1);
    msg.as.slots.count = lent;
    msg.as.slots.term_ms = TERM_MS;
    if (!Peers_Send(daemon->peers, state->borrower, &msg)) {
        /* Never left: the slots are still ours. */
        AqSlices_Returned(daemon->slices, state->borrower, endpoint, lent);
    }
}

void
Lending_PeerBorrows(Daemon *daemon, const char *from, const AqMsgSlots *msg)
{
    if (AqRouter_Queued(daemon->router, msg->name) > 0 || msg->count <= 0) {
        return;
    }
    /* Half of the idle slots stay for requests that arrive here. */
    int idle = AqRouter_Idle(daemon->router, msg->name) / 2;
    LendState state = {
        .daemon = daemon,
        .borrower = from,
        .wanted = msg->count < idle ? (int)msg->count : idle,
    };
    Endpoints_Each(daemon->endpoints, msg->name, lend_from, &state);
    Endpoints_RefreshSlots(daemon->endpoints);
}

void
Lending_PeerLends(Daemon *daemon, const char *from, const AqMsgSlots *msg)
{
    AqSlices_Borrowed(daemon->slices, AqLoop_Now(daemon->loop), from,
                      msg->name, (int)msg->count, msg->term_ms);
    Endpoints_RefreshSlots(daemon->endpoints);
}

static void
return_slots(void *context, const char *endpoint, int slots)
{
    Daemon *daemon = context;
    const char *lender;
    int count;
    (void)slots;
    while ((count = AqSlices_ToReturn(
                daemon->slices, AqLoop_Now(daemon->loop), endpoint,
                AqRouter_InFlight(daemon->router, endpoint), &lender)) > 0) {
        AqMsg msg = {.type = AQ_MSG_RETURN};
        AqRouter_SetSlots(daemon->router, AqLoop_Now(daemon->loop), endpoint,
                          AqSlices_Usable(daemon->slices,
                                          AqLoop_Now(daemon->loop), endpoint));
        strncpy(msg.as.slots.name, endpoint, sizeof(msg.as.slots.name) - 1);
        msg.as.slots.count = count;
        Peers_Send(daemon->peers, lender, &msg);
    }
}

static void
on_timer(void *context)
{
    Lending *lending = context;
    Daemon *daemon = lending->daemon;
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
    AqTimer_Start(daemon->loop, &lending->timer,
                  AqLoop_Now(daemon->loop) + RETURN_CHECK_MS);
}

Lending *
Lending_Create(Daemon *daemon)
{
    Lending *lending = calloc(1, sizeof(*lending));
    lending->daemon = daemon;
    AqTimer_Init(&lending->timer, on_timer, lending);
    AqTimer_Start(daemon->loop, &lending->timer, AqLoop_Now(daemon->loop));
    return lending;
}

void
Lending_Destroy(Lending *lending)
{
    if (lending == NULL) {
        return;
    }
    AqTimer_Stop(&lending->timer);
    free(lending);
}
