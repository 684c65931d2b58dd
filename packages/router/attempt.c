#include "router_private.h"

/* Returns how long, in ms, an attempt may go without a response before its
 * connection is assumed to be dead (docs/design.md, section 5.3). */
static AqTime
max_silence_ms(const AqService *service)
{
    AqTime ms = 4 * service->p95_ms;
    return ms > AQ_ATTEMPT_TIMEOUT_MIN_MS ? ms : AQ_ATTEMPT_TIMEOUT_MIN_MS;
}

/* Returns when an attempt that starts now times out.  An idempotent request
 * can be retried, so its attempt times out after half of the time left until
 * the deadline at the latest; other attempts time out at the deadline. */
static AqTime
timeout_at(const AqRouter *router, AqTime now, const AqRouterRequest *r)
{
    if (!r->idempotent ||
        !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_SILENT)) {
        return r->deadline;
    }
    AqTime ms = (r->deadline - now) / 2;
    AqTime limit = max_silence_ms(r->service);
    ms = ms < limit ? ms : limit;
    return now + (ms > 1 ? ms : 1);
}

void
AqRouterAttempt_Start(AqRouter *router, AqTime now, AqRouterRequest *r,
                      AqEndpoint *ep)
{
    AqRouterQueue_CountStart(r->service);
    AqRouterQueue_Remove(router, r);
    r->state = AQ_REQUEST_RUNNING;
    r->attempt = ++router->last_attempt;
    r->endpoint = ep;
    r->started_at = now;
    r->tried[r->attempts % AQ_TRIED_MAX] = ep->number;
    /* Non-idempotent requests and retries open a new connection, since an idle
     * one may be dead: a non-idempotent request could not be retried, and the
     * attempt before a retry may have failed on a dead connection. */
    r->fresh_connection = (!r->idempotent || r->attempts > 0) &&
                          AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_SILENT);
    router->stats.attempts++;
    router->stats.retries += r->attempts > 0;
    r->attempts++;
    ep->in_use++;
    router->in_flight++;
    if (ep->ejected) {
        ep->trial_attempt = r->attempt;
    }
    g_hash_table_insert(router->by_attempt, &r->attempt, r);
    AqTime end = timeout_at(router, now, r);
    AqRouterTimers_Set(router, r, end);
    AqAttempt attempt = {r->id, r->attempt, ep->name, r->fresh_connection,
                         end};
    router->ops.start_attempt(router->context, &attempt);
}

/* Removes the request's attempt in flight from the request and releases the
 * slot of the attempt. */
static void
end_attempt(AqRouter *router, AqRouterRequest *r)
{
    AqEndpoint *ep = r->endpoint;
    if (ep->trial_attempt == r->attempt) {
        ep->trial_attempt = 0;
    }
    AqRouterTimers_Remove(router, r);
    g_hash_table_remove(router->by_attempt, &r->attempt);
    r->attempt = 0;
    r->endpoint = NULL;
    r->state = AQ_REQUEST_BACKOFF;
    AqRouterEndpoint_ReleaseSlot(router, ep);
}

bool
AqRouterAttempt_Cancel(AqRouter *router, AqRouterRequest *r)
{
    bool not_sent = router->ops.cancel_attempt(router->context, r->attempt);
    if (!not_sent) {
        r->may_have_run = true;
    }
    end_attempt(router, r);
    return not_sent;
}

/* Returns false if the endpoint of the request's attempt in flight was removed
 * or moved to another service since the attempt started. */
static bool
is_same_endpoint(const AqRouterRequest *r)
{
    return !r->endpoint->removed &&
           r->tried[(r->attempts - 1) % AQ_TRIED_MAX] == r->endpoint->number;
}

/* Records in the outcomes of the endpoint whether the request's attempt in
 * flight failed, unless the endpoint was removed or moved to another service
 * since the attempt started. */
static void
record_endpoint_outcome(AqRouter *router, AqTime now, const AqRouterRequest *r,
                        bool failed)
{
    if (is_same_endpoint(r)) {
        AqRouterEject_Record(router, now, r->endpoint, r->attempt, failed);
    }
}

static bool
may_retry(AqRouter *router, const AqRouterRequest *r)
{
    bool safe = r->idempotent || !r->may_have_run ||
                !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_RETRY_RULE);
    bool fresh = router->fresh ||
                 !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_FRESHNESS);
    return safe && fresh &&
           AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_RETRY) &&
           r->attempts < router->config.max_attempts &&
           AqRouterService_HasEndpoint(router, r->service);
}

/* Schedules a retry of the request; returns false if the request must be
 * finished instead. */
static bool
schedule_retry(AqRouter *router, AqTime now, AqRouterRequest *r)
{
    if (!may_retry(router, r)) {
        return false;
    }
    AqTime at = now + AqRouterBudget_Backoff(router, r->attempts);
    if (at >= r->deadline || !AqRouterBudget_Spend(router, r->service)) {
        return false;
    }
    r->state = AQ_REQUEST_BACKOFF;
    AqRouterTimers_Set(router, r, at);
    return true;
}

void
AqRouterAttempt_Timeout(AqRouter *router, AqTime now, AqRouterRequest *r)
{
    AqTime elapsed = now - r->started_at;
    /* A timeout due to a short deadline does not show that the endpoint has
     * failed: it counts as a failure of the endpoint only if the attempt took
     * at least the 95th percentile of the service's response times. */
    bool failed = elapsed >= r->service->p95_ms;
    bool detects_silence =
        r->idempotent && AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_SILENT);
    if (detects_silence) {
        router->ops.close_idle(router->context, r->endpoint->name);
    }
    if (failed) {
        record_endpoint_outcome(router, now, r, true);
    }
    bool not_sent = AqRouterAttempt_Cancel(router, r);
    if (!not_sent) {
        router->stats.silent++;
        r->unknown_reason = AQ_REASON_SILENT;
        AqRouterMean_Add(&r->service->slot_time, elapsed);
        /* Timeouts on dead idle connections must not raise the 95th percentile
         * of the service's response times, which limits how long such
         * connections stay undetected.  Timeouts of a service that has become
         * slower must raise it, or every attempt would time out from then on.
         * A timeout on a newly opened connection is certainly not due to a
         * dead idle one, so only such timeouts are added. */
        if (r->fresh_connection) {
            AqRouterService_AddLatency(r->service, elapsed);
        }
    }
    if (now >= r->deadline) {
        AqRouterRequest_Fail(router, r, AQ_REASON_DEADLINE);
    }
    else if (!schedule_retry(router, now, r)) {
        AqRouterRequest_Fail(
            router, r, not_sent ? AQ_REASON_NO_ENDPOINT : AQ_REASON_SILENT);
    }
}

/* Records in the outcomes of the endpoint whether the request's attempt
 * failed.  If it did not fail, adds its response time to the means of the
 * service and of the endpoint. */
static void
record_result(AqRouter *router, AqTime now, const AqRouterRequest *r,
              AqAttemptResult result)
{
    bool ran = result == AQ_ATTEMPT_ANSWERED || result == AQ_ATTEMPT_TOO_LARGE;
    if (ran) {
        /* Failed attempts add no response time, so that an endpoint that fails
         * immediately does not appear to be fast. */
        AqTime elapsed = now - r->started_at;
        AqRouterMean_Add(&r->service->slot_time, elapsed);
        AqRouterService_AddLatency(r->service, elapsed);
        if (is_same_endpoint(r)) {
            if (now - r->endpoint->last_latency_at >= AQ_LATENCY_MAX_AGE_MS) {
                r->endpoint->latency = (AqRouterMean){0};
            }
            AqRouterMean_Add(&r->endpoint->latency, elapsed);
            r->endpoint->last_latency_at = now;
        }
    }
    record_endpoint_outcome(router, now, r, !ran);
}

/* Finishes or retries the request, whose attempt ended with "result". */
static void
finish_or_retry(AqRouter *router, AqTime now, AqRouterRequest *r,
                uint64_t attempt, AqAttemptResult result)
{
    AqOutcome done = {AQ_OUTCOME_COMPLETED, AQ_REASON_NONE, 0};
    switch (result) {
    case AQ_ATTEMPT_ANSWERED:
        AqRouterRequest_Finish(router, r, &done, attempt);
        break;
    case AQ_ATTEMPT_FAILED:
        r->may_have_run = true;
        if (!schedule_retry(router, now, r)) {
            AqRouterRequest_Finish(router, r, &done, attempt);
        }
        break;
    case AQ_ATTEMPT_TOO_LARGE:
        /* The endpoint's response is over the size limit.  The request is not
         * retried, since the next response would be as large. */
        r->may_have_run = true;
        r->unknown_reason = AQ_REASON_TOO_LARGE;
        AqRouterRequest_Fail(router, r, AQ_REASON_TOO_LARGE);
        break;
    case AQ_ATTEMPT_CUT:
        r->may_have_run = true;
        r->unknown_reason = AQ_REASON_CUT;
        if (!schedule_retry(router, now, r)) {
            AqRouterRequest_Fail(router, r, AQ_REASON_CUT);
        }
        break;
    case AQ_ATTEMPT_REFUSED:
    case AQ_ATTEMPT_NOT_SENT:
        if (!schedule_retry(router, now, r)) {
            AqRouterRequest_Fail(router, r,
                                 result == AQ_ATTEMPT_REFUSED
                                     ? AQ_REASON_REFUSED
                                     : AQ_REASON_NO_ENDPOINT);
        }
        break;
    }
}

void
AqRouter_AttemptDone(AqRouter *router, AqTime now, uint64_t attempt,
                     AqAttemptResult result)
{
    AqRouterRequest *r = g_hash_table_lookup(router->by_attempt, &attempt);
    router->now = now;
    if (r == NULL) {
        return;
    }
    record_result(router, now, r, result);
    end_attempt(router, r);
    finish_or_retry(router, now, r, attempt, result);
}
