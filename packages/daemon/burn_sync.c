#include "burn_sync.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_burn.h"
#include "aq_json.h"
#include "aq_log.h"
#include "peers.h"

#define BURN_PREFIX "aq/burn/"

enum {
    PERIOD_MS = 30000,
    RETRY_MS = 5000,
    /* Most bytes a second that one daemon sends as copies of its request
     * counters: 2 KB/s of the 13 KB/s that control traffic may use per daemon.
     * Larger copies are sent less often. */
    BYTES_PER_SECOND = 2048,
    /* Longest encoded request counters that are sent to peers, because a frame
     * (message to a peer) has 256 KiB at most.  Longer counters are written to
     * the store only. */
    MAX_MESSAGE_BYTES = 200 * 1024
};

struct BurnSync {
    Daemon *daemon;
    AqBurn *burn;
    AqTimer timer;
    /* Whether the request counters of all daemons, from which the error-budget
     * burn report is made, have been read from the store since this daemon
     * started. */
    bool has_read;
    /* This daemon's request counters as JSON while they are being written to
     * the store; otherwise NULL. */
    char *text;
    /* Store key under which this daemon's request counters are written. */
    char key[sizeof(BURN_PREFIX) + AQ_WIRE_MAX_NAME];
};

/* ---- Counting ----------------------------------------------------------- */

static AqBurnKind
kind_of(const AqOutcome *outcome, bool in_time)
{
    if (outcome->kind == AQ_OUTCOME_COMPLETED) {
        return in_time ? AQ_BURN_ON_TIME : AQ_BURN_LATE;
    }
    if (outcome->kind == AQ_OUTCOME_UNKNOWN) {
        return AQ_BURN_FAILURE;
    }
    switch (outcome->reason) {
    case AQ_REASON_QUEUE_FULL:
    case AQ_REASON_DEADLINE:
        return AQ_BURN_OVERLOAD;
    case AQ_REASON_NO_ENDPOINT:
    case AQ_REASON_REFUSED:
    case AQ_REASON_STOPPING:
        return AQ_BURN_DRAIN;
    default:
        return AQ_BURN_FAILURE;
    }
}

void
BurnSync_Count(BurnSync *burn, const char *service, const AqOutcome *outcome,
               bool in_time)
{
    /* Services that no pool serves are not counted: callers can send any
     * number of such service names.  Refused duplicates are not counted
     * either, because the request with the same id is counted already. */
    if (outcome->reason != AQ_REASON_NO_SERVICE &&
        outcome->reason != AQ_REASON_DUPLICATE) {
        AqBurn_Count(burn->burn, AqClock_ReadWall(), service,
                     kind_of(outcome, in_time));
    }
}

void
BurnSync_Refresh(BurnSync *burn)
{
    const char *name;
    json_t *pool;
    json_object_foreach(
        (json_t *)AqFleet_All(Daemon_Fleet(burn->daemon), AQ_REC_POOL), name,
        pool)
    {
        int64_t objective;
        const char *service;
        if (AqJson_GetInt(pool, "objective", 0, 1000, &objective, NULL) &&
            AqJson_GetString(pool, "service", &service, NULL)) {
            AqBurn_SetObjective(burn->burn, service, (int)objective);
        }
    }
}

/* ---- Copies ------------------------------------------------------------- */

static void
merge_text(BurnSync *burn, const char *text, size_t size)
{
    AqError error;
    json_t *counters = AqJson_Parse(text, size, &error);
    if (counters == NULL || !AqBurn_Merge(burn->burn, counters, &error)) {
        AqLog_Event(AQ_LOG_WARNING, "burn_counters_bad", "error=%s",
                    AqLog_Quote(error.message));
    }
    json_decref(counters);
}

void
BurnSync_OnPeerCounters(BurnSync *burn, const AqMsgBurn *msg)
{
    merge_text(burn, msg->text, strlen(msg->text));
}

static void
send_to_peers(BurnSync *burn)
{
    const Daemon *daemon = burn->daemon;
    AqMsg msg = {.type = AQ_MSG_BURN};
    if (strlen(burn->text) > MAX_MESSAGE_BYTES) {
        return;
    }
    strncpy(msg.as.burn.holder, daemon->settings->node_id,
            sizeof(msg.as.burn.holder) - 1);
    msg.as.burn.text = burn->text;
    for (size_t i = 0; i < AqMembership_Count(daemon->membership); i++) {
        const char *id = AqMembership_Id(daemon->membership, i);
        if (strcmp(id, daemon->settings->node_id) != 0) {
            Peers_Send(daemon->peers, id, &msg);
        }
    }
}

/* Returns the time between two sendings of this daemon's request counters, of
 * "size" bytes, to the store and the members, so that all copies together use
 * at most BYTES_PER_SECOND. */
static AqTime
copy_period(const BurnSync *burn, size_t size)
{
    size_t copies = AqMembership_Count(burn->daemon->membership) + 1;
    AqTime needed = (AqTime)(size * copies * 1000 / BYTES_PER_SECOND);
    return needed > PERIOD_MS ? needed : PERIOD_MS;
}

static void
on_written(void *context, const AqStoreReply *reply)
{
    BurnSync *burn = context;
    (void)reply;
    free(burn->text);
    burn->text = NULL;
}

static void
on_own_copy(void *context, const AqStoreReply *reply)
{
    BurnSync *burn = context;
    AqStore *store = burn->daemon->store;
    if (reply->status != AQ_STORE_OK && reply->status != AQ_STORE_ABSENT) {
        on_written(burn, reply);
        return;
    }
    store->ops->put(store, burn->key, burn->text, strlen(burn->text),
                    reply->count > 0 ? reply->items[0].index : 0, on_written,
                    burn);
}

static void
on_all_copies(void *context, const AqStoreReply *reply)
{
    BurnSync *burn = context;
    if (reply->status != AQ_STORE_OK && reply->status != AQ_STORE_ABSENT) {
        return;
    }
    burn->has_read = true;
    for (size_t i = 0; i < reply->count; i++) {
        merge_text(burn, reply->items[i].value, reply->items[i].size);
    }
}

static void
on_timer(void *context)
{
    BurnSync *burn = context;
    AqStore *store = burn->daemon->store;
    AqTime now = AqLoop_Now(burn->daemon->loop);
    if (!burn->has_read) {
        store->ops->list(store, BURN_PREFIX, on_all_copies, burn);
        AqTimer_Start(burn->daemon->loop, &burn->timer, now + RETRY_MS);
        return;
    }
    if (burn->text != NULL) {
        AqTimer_Start(burn->daemon->loop, &burn->timer, now + RETRY_MS);
        return;
    }
    json_t *counters = AqBurn_Encode(burn->burn, AqClock_ReadWall());
    burn->text = AqJson_Dump(counters);
    json_decref(counters);
    AqTimer_Start(burn->daemon->loop, &burn->timer,
                  now + copy_period(burn, strlen(burn->text)));
    send_to_peers(burn);
    store->ops->get(store, burn->key, on_own_copy, burn);
}

json_t *
BurnSync_Report(BurnSync *burn)
{
    return AqBurn_Report(burn->burn, AqClock_ReadWall());
}

BurnSync *
BurnSync_Create(Daemon *daemon)
{
    BurnSync *burn = calloc(1, sizeof(*burn));
    burn->daemon = daemon;
    burn->burn = AqBurn_Create();
    AqBurn_SetHolder(burn->burn, daemon->settings->node_id);
    snprintf(burn->key, sizeof(burn->key), "%s%s", BURN_PREFIX,
             daemon->settings->node_id);
    AqTimer_Init(&burn->timer, on_timer, burn);
    AqTimer_Start(daemon->loop, &burn->timer, AqLoop_Now(daemon->loop));
    return burn;
}

void
BurnSync_Destroy(BurnSync *burn)
{
    if (burn == NULL) {
        return;
    }
    AqTimer_Stop(&burn->timer);
    AqBurn_Destroy(burn->burn);
    free(burn->text);
    free(burn);
}
