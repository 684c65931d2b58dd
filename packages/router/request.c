#include "router_private.h"

/* Removes the request from all tables of the router; the request must not be
 * in the state AQ_REQUEST_RUNNING. */
static void
unlink_request(AqRouter *router, AqRouterRequest *r)
{
    switch (r->state) {
    case AQ_REQUEST_QUEUED:
        AqRouterQueue_Remove(router, r);
        break;
    case AQ_REQUEST_CLAIMING:
        r->service->claiming--;
        if (r->claim_requested) {
            router->ops.forget_claim(router->context, r->id);
        }
        break;
    default:
        break;
    }
    AqRouterTimers_Remove(router, r);
    AqList_Remove(&r->link);
    g_hash_table_steal(router->by_id, &r->id);
}

static void
count_outcome(AqRouter *router, AqOutcomeKind kind)
{
    switch (kind) {
    case AQ_OUTCOME_COMPLETED:
        router->stats.completed++;
        break;
    case AQ_OUTCOME_NOT_RUN:
        router->stats.not_run++;
        break;
    case AQ_OUTCOME_UNKNOWN:
        router->stats.unknown++;
        break;
    }
}

void
AqRouterRequest_Finish(AqRouter *router, AqRouterRequest *r,
                       const AqOutcome *outcome, uint64_t attempt)
{
    unlink_request(router, r);
    count_outcome(router, outcome->kind);
    if (outcome->kind == AQ_OUTCOME_NOT_RUN && r->claimed) {
        router->ops.release_claim(router->context, r->id);
    }
    router->ops.finish(router->context, r->id, attempt, outcome);
    g_free(r);
}

/* Returns the delay, in ms, after which the caller may submit the request
 * again: the expected wait for a slot if "reason" is an overload of the
 * service, a fixed delay otherwise. */
static AqTime
retry_after(const AqRouter *router, const AqRouterRequest *r, AqReason reason)
{
    if (r->service == NULL ||
        (reason != AQ_REASON_DEADLINE && reason != AQ_REASON_QUEUE_FULL)) {
        return AQ_DEFAULT_RETRY_AFTER_MS;
    }
    AqTime wait = AqRouterQueue_ExpectedWait(router, r->service, r->priority);
    return wait > 0 ? wait : 1;
}

void
AqRouterRequest_Fail(AqRouter *router, AqRouterRequest *r, AqReason reason)
{
    AqOutcome outcome = {AQ_OUTCOME_UNKNOWN, reason, 0};
    if (r->may_have_run &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_RUN_MARK)) {
        if (r->unknown_reason != AQ_REASON_NONE &&
            reason != AQ_REASON_DEADLINE) {
            outcome.reason = r->unknown_reason;
        }
    }
    else if (reason != AQ_REASON_DUPLICATE) {
        outcome.kind = AQ_OUTCOME_NOT_RUN;
        outcome.retry_after_ms = r->state == AQ_REQUEST_REFUSED
                                     ? r->retry_after_ms
                                     : retry_after(router, r, reason);
    }
    AqRouterRequest_Finish(router, r, &outcome, 0);
}

void
AqRouterRequest_FailWaiting(AqRouter *router, const AqService *service,
                            AqReason reason)
{
    AqList_ForEachSafe(at, after, &router->requests)
    {
        AqRouterRequest *r = AqList_Entry(at, AqRouterRequest, link);
        if (r->state != AQ_REQUEST_RUNNING && r->state != AQ_REQUEST_REFUSED &&
            (service == NULL || r->service == service)) {
            AqRouterRequest_Fail(router, r, reason);
        }
    }
}

/* Returns why a new request is refused, or AQ_REASON_NONE if it is
 * admitted. */
static AqReason
check_admission(const AqRouter *router, AqTime now, const AqService *service,
                const AqRequestSpec *spec)
{
    if (router->stopping &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_STOP)) {
        return AQ_REASON_STOPPING;
    }
    if (!router->fresh &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_FRESHNESS)) {
        return AQ_REASON_NOT_FRESH;
    }
    if (service == NULL) {
        return AQ_REASON_NO_SERVICE;
    }
    return AqRouterQueue_Admit(router, now, service, spec);
}

uint64_t
AqRouter_Submit(AqRouter *router, AqTime now, const AqRequestSpec *spec)
{
    router->now = now;
    AqRouterRequest *r = g_new0(AqRouterRequest, 1);
    r->id = ++router->last_request;
    r->service = AqRouterService_Find(router, spec->service);
    r->idempotent = spec->idempotent;
    r->priority = AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_PRIORITY)
                      ? spec->priority
                      : AQ_PRIORITY_LIVE;
    r->deadline = spec->deadline;
    r->timer_index = SIZE_MAX;
    AqList_Init(&r->queue_link);
    AqList_Append(&router->requests, &r->link);
    g_hash_table_insert(router->by_id, &r->id, r);
    router->stats.submitted++;
    AqReason refusal = check_admission(router, now, r->service, spec);
    if (refusal != AQ_REASON_NONE) {
        r->state = AQ_REQUEST_REFUSED;
        r->refusal_reason = refusal;
        r->retry_after_ms = retry_after(router, r, refusal);
        AqRouterTimers_Set(router, r, now);
        return r->id;
    }
    AqRouterBudget_Earn(router, r->service);
    if (!r->idempotent &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_CLAIM)) {
        /* The next AqRouter_Tick requests the claim, since the daemon has the
         * request's number only after AqRouter_Submit has returned. */
        r->state = AQ_REQUEST_CLAIMING;
        r->service->claiming++;
        AqRouterTimers_Set(router, r, now);
    }
    else {
        AqRouterQueue_Push(router, r, false);
    }
    return r->id;
}

void
AqRouter_Cancel(AqRouter *router, AqTime now, uint64_t request)
{
    AqRouterRequest *r = g_hash_table_lookup(router->by_id, &request);
    router->now = now;
    if (r == NULL) {
        return;
    }
    if (r->state == AQ_REQUEST_RUNNING) {
        AqRouterAttempt_Cancel(router, r);
    }
    AqRouterRequest_Fail(router, r,
                         r->state == AQ_REQUEST_REFUSED ? r->refusal_reason
                                                        : AQ_REASON_NONE);
}

void
AqRouter_ClaimDone(AqRouter *router, AqTime now, uint64_t request,
                   AqRouterClaim result)
{
    AqRouterRequest *r = g_hash_table_lookup(router->by_id, &request);
    router->now = now;
    if (r == NULL || r->state != AQ_REQUEST_CLAIMING || !r->claim_requested) {
        return;
    }
    /* The claim is no longer pending, so forget_claim must not be called. */
    r->claim_requested = false;
    if (result == AQ_ROUTER_CLAIM_GRANTED) {
        r->claimed = true;
        r->service->claiming--;
        AqRouterQueue_Push(router, r, false);
    }
    else {
        AqRouterRequest_Fail(router, r,
                             result == AQ_ROUTER_CLAIM_DUPLICATE
                                 ? AQ_REASON_DUPLICATE
                                 : AQ_REASON_CLAIM_STORE);
    }
}

void
AqRouterRequest_OnTimer(AqRouter *router, AqTime now, AqRouterRequest *r)
{
    if (r->state == AQ_REQUEST_RUNNING) {
        AqRouterAttempt_Timeout(router, now, r);
    }
    else if (r->state == AQ_REQUEST_REFUSED) {
        AqRouterRequest_Fail(router, r, r->refusal_reason);
    }
    else if (now >= r->deadline) {
        AqRouterRequest_Fail(router, r, AQ_REASON_DEADLINE);
    }
    else if (r->state == AQ_REQUEST_BACKOFF) {
        /* The request was queued before, so it goes to the front of its
         * queue. */
        AqRouterQueue_Push(router, r, true);
    }
    else if (r->state == AQ_REQUEST_CLAIMING) {
        r->claim_requested = true;
        AqRouterTimers_Set(router, r, r->deadline);
        router->ops.claim(router->context, r->id);
    }
}
