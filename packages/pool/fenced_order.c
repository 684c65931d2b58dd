#include "fenced_order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "store_keys.h"

enum {
    /* An order for a VM is sent only if this node claimed the VM at most this
     * long ago; otherwise the order ends with FENCED_ORDER_RETRY.  Within this
     * time, no later machine coordinator can have sent an order for the VM. */
    CLAIM_MAX_AGE_MS = 800,
    /* Added to limits.machine_pause_ms, the pause after another node has
     * claimed a VM, because the clocks of the nodes may differ. */
    PAUSE_MARGIN_MS = 500
};

typedef struct {
    NodeContext *node;
    char pool[64];
    uint64_t pool_fence;
    uint64_t coordinator_fence;
    char machine[AQ_VM_ID_SIZE];
    char to_pool[64];
    int64_t wave;
    /* Store revision at which this node wrote the claim of the VM for this
     * order; 0: no claim is known to be written. */
    uint64_t fence;
    /* When this node sent its claim of the VM to the store; monotonic clock.
     */
    AqTime claimed_at;
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
    /* AqLoop_Now() is the time at which the loop's round began.  Read the
     * clock itself, since the process may have been suspended since then. */
    if (AqClock_ReadMonotonic() - call->claimed_at > CLAIM_MAX_AGE_MS) {
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

/* Whether another node claimed the VM so recently that the pause after this
 * claim has not ended.  "item" contains the VM's last claim: id of the
 * claiming node, and time of the claim in ms of the wall clock. */
static bool
is_pause_active(const FencedOrderCall *call, const AqStoreItem *item)
{
    char text[120];
    char holder[64];
    long long claimed_at_ms;
    key_text(item, text, sizeof(text));
    if (sscanf(text, "%63s %lld", holder, &claimed_at_ms) != 2) {
        return false;
    }
    long long age_ms = AqClock_ReadWall() - claimed_at_ms;
    return strcmp(holder, call->node->settings->node_id) != 0 &&
           age_ms <
               call->node->settings->limits_machine_pause_ms + PAUSE_MARGIN_MS;
}

static void
claim_vm(FencedOrderCall *call, uint64_t last_claim_index)
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
        {machine_key, last_claim_index},
    };
    AqStorePut put = {machine_key, holder, strlen(holder), 0};
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 3, .puts = &put, .put_count = 1};
    call->claimed_at = AqClock_ReadMonotonic();
    store->ops->commit(store, &commit, on_claimed, call);
}

static void
on_claim_read(void *context, const AqStoreReply *reply)
{
    FencedOrderCall *call = context;
    if (reply->status == AQ_STORE_ABSENT) {
        claim_vm(call, 0);
    }
    else if (reply->status != AQ_STORE_OK || reply->count != 1) {
        finish(call, FENCED_ORDER_RETRY, "store_unavailable");
    }
    else if (is_pause_active(call, &reply->items[0])) {
        finish(call, FENCED_ORDER_RETRY, "other_holder");
    }
    else {
        claim_vm(call, reply->items[0].index);
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
    if (order->last_claim_index != 0) {
        claim_vm(call, order->last_claim_index);
        return;
    }
    node->store->ops->get(node->store, key_of(KEY_MACHINE, order->machine),
                          on_claim_read, call);
}
