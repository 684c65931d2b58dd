#include <stdlib.h>

#include "aq_log.h"
#include "pool_owner_private.h"

typedef enum {
    ORDER_START,
    ORDER_STOP,
    ORDER_RENEWAL,
    ORDER_PACE
} OrderKind;

typedef struct {
    PoolOwner *owner;
    OrderKind kind;
    char vm[AQ_VM_ID_SIZE];
    AqTaskName task;
    int64_t run;
    AqTime sent_at;
} Order;

static void
count_order(const PoolOwner *owner, const Order *order,
            const AqOrderReply *reply)
{
    const NodeMetrics *metrics = &owner->node->metrics;
    if (reply->result == AQ_ORDER_UNKNOWN ||
        reply->result == AQ_ORDER_NOT_SENT) {
        AqMetric_Add(metrics->orders_failed, 1);
    }
    else if (order->kind == ORDER_START) {
        AqMetric_Observe(metrics->start_ms,
                         pool_owner_now(owner) - order->sent_at);
    }
}

static void
on_order_reply(void *context, const AqOrderReply *reply)
{
    Order *order = context;
    PoolOwner *owner = order->owner;
    /* Read the clock: the loop's time may be before the arrival of the VM's
     * reply, which would make the VM's clock seem ahead and the leases on the
     * VM expire too early. */
    AqTime now = AqClock_ReadMonotonic();
    if (pool_owner_end_call(owner)) {
        AqScheduler *s = owner->scheduler;
        count_order(owner, order, reply);
        switch (order->kind) {
        case ORDER_START:
            AqScheduler_OnStart(s, order->vm, &order->task, order->run, reply,
                                now);
            break;
        case ORDER_STOP:
            AqScheduler_OnStop(s, order->vm, &order->task, order->run, reply,
                               now);
            break;
        case ORDER_RENEWAL:
            AqScheduler_OnRenewal(s, order->vm, order->sent_at, reply, now);
            break;
        case ORDER_PACE:
            AqScheduler_OnPace(s, order->vm, &order->task, order->run, reply,
                               now);
            break;
        }
    }
    free(order);
}

static Order *
new_order(PoolOwner *owner, OrderKind kind, const AqOrderTarget *target)
{
    Order *order = calloc(1, sizeof(*order));
    order->owner = owner;
    order->kind = kind;
    order->sent_at = pool_owner_now(owner);
    g_strlcpy(order->vm, target->vm, sizeof(order->vm));
    owner->calls_in_flight++;
    return order;
}

static void
order_start(void *context, const AqOrderTarget *target,
            const AqStartOrder *start)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_START, target);
    order->task = start->task;
    order->run = start->run;
    owner->node->workers->ops->start(owner->node->workers, target, start,
                                     on_order_reply, order);
}

static void
order_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
           int64_t run)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_STOP, target);
    order->task = *task;
    order->run = run;
    owner->node->workers->ops->stop(owner->node->workers, target, task, run,
                                    owner->ownership.fence, on_order_reply,
                                    order);
}

static void
order_renewal(void *context, const AqOrderTarget *target,
              const AqRenewalOrder *renewal)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_RENEWAL, target);
    owner->node->workers->ops->renew(owner->node->workers, target, renewal,
                                     on_order_reply, order);
}

static void
order_pace(void *context, const AqOrderTarget *target, const AqTaskName *task,
           int64_t run, int percent)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_PACE, target);
    order->task = *task;
    order->run = run;
    owner->node->workers->ops->pace(owner->node->workers, target, task, run,
                                    percent, owner->ownership.fence,
                                    on_order_reply, order);
}

typedef struct {
    PoolOwner *owner;
    AqTaskName step;
} TicketCall;

static void
on_tickets(void *context, const AqAdviceReply *reply)
{
    TicketCall *call = context;
    PoolOwner *owner = call->owner;
    AqTime now = pool_owner_now(owner);
    if (pool_owner_end_call(owner)) {
        for (size_t i = 0; i < reply->count; i++) {
            AqScheduler_OnTicket(
                owner->scheduler, &call->step, reply->tickets[i].vm,
                reply->tickets[i].ticket, reply->valid_ms, now);
        }
        AqScheduler_OnTicketsEnd(owner->scheduler, &call->step,
                                 reply->result == AQ_ORDER_DONE, now);
    }
    free(call);
}

static void
request_tickets(void *context, const AqTaskName *step, const char *const *vms,
                size_t count)
{
    PoolOwner *owner = context;
    AqAdviceClient *advice = owner->node->advice;
    if (advice == NULL) {
        AqLog_Event(AQ_LOG_ERROR, "tickets_unavailable",
                    "request=%s reason=no_advice_service", step->job);
        return;
    }
    TicketCall *call = calloc(1, sizeof(*call));
    call->owner = owner;
    call->step = *step;
    owner->calls_in_flight++;
    advice->ops->request_tickets(advice, step, vms, count, on_tickets, call);
}

static void
on_superseded(void *context)
{
    pool_owner_report_superseded(context, "later_fence_at_vm");
}

const AqSchedulerActions pool_owner_actions = {
    order_start, order_stop,      order_renewal,
    order_pace,  request_tickets, on_superseded,
};
