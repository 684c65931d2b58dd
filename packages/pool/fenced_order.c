#include "fenced_order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "store_keys.h"

enum {
    /* An order leaves so soon after its claim that no later holder can have
     * given one. */
    CLAIM_AGE_MS = 800,
    PAUSE_RESERVE_MS = 500 /* clocks of nodes differ a little */
};

typedef struct {
    NodeContext *node;
    char pool[64];
    uint64_t pool_fence;
    uint64_t coordinator_fence;
    char machine[AQ_VM_ID_SIZE];
    char to_pool[64];
    int64_t wave;
    uint64_t fence;
    AqTime claimed_at; /* when the claim was sent */
    FencedOrderDone done;
    void *context;
} FencedOrderCall;

static void
finish(FencedOrderCall *call, FencedOrderResult result, const char *reason)
{
    static const char *const names[] = {"done", "later", "refused", "unknown"};
    AqLog_Event(AQ_LOG_INFO, "machine_order",
                "machine=%s order=%s to=%s wave=%lld pool=%s fence=%llu "
                "outcome=%s reason=%s",
                call->machine, call->to_pool[0] != '\0' ? "move" : "upkeep",
                call->to_pool, (long long)call->wave, call->pool,
                (unsigned long long)call->fence, names[result], reason);
    call->done(call->context, result, call->fence);
    free(call);
}

static void
on_ordered(void *context, AqMachineResult result)
{
    FencedOrderCall *call = context;
    const char *reason = AqMachineResult_Name(result);
    switch (result) {
    case AQ_MACHINE_ORDER_DONE:
        finish(call, FENCED_ORDER_DONE, reason);
        break;
    case AQ_MACHINE_ORDER_REFUSED:
        finish(call, FENCED_ORDER_REFUSED, reason);
        break;
    case AQ_MACHINE_ORDER_UNKNOWN:
        finish(call, FENCED_ORDER_UNKNOWN, reason);
        break;
    default:
        finish(call, FENCED_ORDER_RETRY, reason);
        break;
    }
}

static void
on_claimed(void *context, const AqStoreReply *reply)
{
    FencedOrderCall *call = context;
    AqMachineClient *machines = call->node->machines;
    const char *holder = call->node->settings->node_id;
    if (reply->status != AQ_STORE_OK) {
        finish(call, FENCED_ORDER_RETRY, "claim_failed");
        return;
    }
    call->fence = reply->index;
    /* The loop's time is of the round's begin: read the clock itself, since
     * the process may have stood still in between. */
    if (AqClock_ReadMonotonic() - call->claimed_at > CLAIM_AGE_MS) {
        finish(call, FENCED_ORDER_RETRY, "claim_too_old");
        return;
    }
    if (call->to_pool[0] != '\0') {
        machines->ops->move(machines, call->machine, call->to_pool, holder,
                            call->fence, on_ordered, call);
    }
    else {
        machines->ops->maintenance(machines, call->machine, call->wave, holder,
                                   call->fence, on_ordered, call);
    }
}

/* Whether another node ordered the VM about so lately that we must wait. */
static bool
is_in_pause(const FencedOrderCall *call, const AqStoreItem *item)
{
    char text[120];
    char holder[64];
    long long at;
    key_text(item, text, sizeof(text));
    if (sscanf(text, "%63s %lld", holder, &at) != 2) {
        return false;
    }
    long long age = AqClock_ReadWall() - at;
    return strcmp(holder, call->node->settings->node_id) != 0 &&
           age < call->node->settings->limits_machine_pause_ms +
                     PAUSE_RESERVE_MS;
}

static void
claim(FencedOrderCall *call, uint64_t machine_index)
{
    AqStore *store = call->node->store;
    char holder[120];
    const char *machine_key = key_of(KEY_MACHINE, call->machine);
    snprintf(holder, sizeof(holder), "%s %lld", call->node->settings->node_id,
             (long long)AqClock_ReadWall());
    AqStoreExpect expects[] = {
        {key_of(KEY_OWNER, MEMBER_MACHINE_COORDINATOR),
         call->coordinator_fence},
        {key_of(KEY_OWNER, call->pool), call->pool_fence},
        {machine_key, machine_index},
    };
    AqStorePut put = {machine_key, holder, strlen(holder), 0};
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 3, .puts = &put, .put_count = 1};
    call->claimed_at = AqClock_ReadMonotonic();
    store->ops->commit(store, &commit, on_claimed, call);
}

static void
on_read(void *context, const AqStoreReply *reply)
{
    FencedOrderCall *call = context;
    if (reply->status == AQ_STORE_ABSENT) {
        claim(call, 0);
    }
    else if (reply->status != AQ_STORE_OK || reply->count != 1) {
        finish(call, FENCED_ORDER_RETRY, "store_unavailable");
    }
    else if (is_in_pause(call, &reply->items[0])) {
        finish(call, FENCED_ORDER_RETRY, "other_holder");
    }
    else {
        claim(call, reply->items[0].index);
    }
}

void
fenced_order_send(NodeContext *node, const FencedOrder *order,
                  FencedOrderDone done, void *context)
{
    FencedOrderCall *call = calloc(1, sizeof(*call));
    call->node = node;
    call->pool_fence = order->pool_fence;
    call->coordinator_fence = order->coordinator_fence;
    call->wave = order->wave;
    call->done = done;
    call->context = context;
    g_strlcpy(call->pool, order->pool, sizeof(call->pool));
    g_strlcpy(call->machine, order->machine, sizeof(call->machine));
    g_strlcpy(call->to_pool, order->to_pool, sizeof(call->to_pool));
    if (order->last_claim != 0) {
        claim(call, order->last_claim);
        return;
    }
    node->store->ops->get(node->store, key_of(KEY_MACHINE, order->machine),
                          on_read, call);
}
