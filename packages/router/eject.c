#include <string.h>

#include "router_private.h"

enum {
    /* After a failed attempt on an endpoint, other endpoints are preferred for
     * 1 s per consecutive failure: failed requests end early, so the failing
     * endpoint would appear to be the least loaded one.  The time limit lets
     * the endpoint get requests again also at low load, so that its recovery
     * is noticed. */
    SUSPECT_MS_PER_FAILURE = 1000
};

int
AqRouterEject_Limit(const AqRouter *router, const AqService *service)
{
    int n = 0;
    for (guint i = 0; i < service->endpoints->len; i++) {
        n += AqRouterEndpoint_AcceptsRequests(
            router, g_ptr_array_index(service->endpoints, i));
    }
    if (!AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_EJECTION_SHARE)) {
        return n;
    }
    return n * router->config.max_ejected_percent / 100;
}

int
AqRouterEject_Count(const AqRouter *router, const AqService *service)
{
    int n = 0;
    for (guint i = 0; i < service->endpoints->len; i++) {
        const AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        n += ep->ejected && AqRouterEndpoint_AcceptsRequests(router, ep);
    }
    return n;
}

/* Returns the ejected endpoint of the service whose ejection ends first, or
 * NULL if none is ejected. */
static AqEndpoint *
next_ejection_to_end(const AqRouter *router, const AqService *service)
{
    AqEndpoint *first = NULL;
    for (guint i = 0; i < service->endpoints->len; i++) {
        AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        if (ep->ejected && AqRouterEndpoint_AcceptsRequests(router, ep) &&
            (first == NULL || ep->eject_until < first->eject_until)) {
            first = ep;
        }
    }
    return first;
}

void
AqRouterEject_EnforceLimit(AqRouter *router, const AqService *service)
{
    int limit = AqRouterEject_Limit(router, service);
    for (int n = AqRouterEject_Count(router, service); n > limit; n--) {
        AqEndpoint *ep = next_ejection_to_end(router, service);
        ep->ejected = false;
        ep->trial_attempt = 0;
    }
}

static int
recent_failures(const AqEndpoint *ep)
{
    int n = 0;
    for (int i = 0; i < ep->recent_count; i++) {
        n += ep->recent_failed[i];
    }
    return n;
}

static void
clear_recent(AqEndpoint *ep)
{
    ep->recent_count = 0;
    ep->recent_next = 0;
    ep->consecutive_failures = 0;
}

void
AqRouterEject_Reset(AqEndpoint *ep)
{
    clear_recent(ep);
    ep->health_failures = 0;
    ep->suspect_until = 0;
    ep->ejected = false;
    ep->healthy_since_eject = false;
    ep->eject_last_ms = 0;
    ep->trial_attempt = 0;
}

/* Ejects the endpoint for eject_initial_ms.  If it has not recovered since its
 * last ejection, ejects it for twice as long as then, up to eject_max_ms. */
static void
eject_endpoint(AqRouter *router, AqTime now, AqEndpoint *ep)
{
    const AqRouterConfig *config = &router->config;
    AqTime ms = ep->eject_last_ms == 0 ? config->eject_initial_ms
                                       : 2 * ep->eject_last_ms;
    ep->eject_last_ms = ms < config->eject_max_ms ? ms : config->eject_max_ms;
    ep->eject_until = now + ep->eject_last_ms;
    ep->ejected = true;
    ep->healthy_since_eject = false;
    clear_recent(ep);
    router->stats.ejections++;
}

/* Ejects the endpoint if enough of its requests or health checks failed and
 * fewer endpoints of its service are ejected than AqRouterEject_Limit
 * allows. */
static void
eject_if_due(AqRouter *router, AqTime now, AqEndpoint *ep)
{
    bool due = ep->consecutive_failures >= AQ_EJECT_CONSECUTIVE_FAILURES ||
               ep->health_failures >= AQ_EJECT_CONSECUTIVE_FAILURES ||
               (ep->recent_count == AQ_EJECT_WINDOW_COUNT &&
                2 * recent_failures(ep) > AQ_EJECT_WINDOW_COUNT);
    if (due && !ep->ejected &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_EJECTION) &&
        AqRouterEndpoint_AcceptsRequests(router, ep) &&
        AqRouterEject_Count(router, ep->service) <
            AqRouterEject_Limit(router, ep->service)) {
        eject_endpoint(router, now, ep);
    }
}

static void
record_outcome(AqEndpoint *ep, bool failed)
{
    ep->recent_failed[ep->recent_next] = failed;
    ep->recent_next = (ep->recent_next + 1) % AQ_EJECT_WINDOW_COUNT;
    if (ep->recent_count < AQ_EJECT_WINDOW_COUNT) {
        ep->recent_count++;
    }
    /* The endpoint has recovered when AQ_EJECT_WINDOW_COUNT outcomes are
     * recorded and less than half of them are failures; its next ejection then
     * has the initial length again. */
    if (ep->recent_count == AQ_EJECT_WINDOW_COUNT &&
        2 * recent_failures(ep) < AQ_EJECT_WINDOW_COUNT) {
        ep->eject_last_ms = 0;
    }
}

void
AqRouterEject_Record(AqRouter *router, AqTime now, AqEndpoint *ep,
                     uint64_t attempt, bool failed)
{
    if (ep->ejected) {
        /* While the endpoint is ejected, only its trial (the one request that
         * finds out whether it works again) counts, not an attempt that
         * started before the ejection. */
        if (ep->trial_attempt == attempt) {
            ep->trial_attempt = 0;
            if (failed) {
                eject_endpoint(router, now, ep);
            }
            else {
                ep->ejected = false;
                ep->suspect_until = 0;
            }
        }
        return;
    }
    record_outcome(ep, failed);
    if (!failed) {
        ep->consecutive_failures = 0;
        ep->suspect_until = 0;
        return;
    }
    ep->consecutive_failures++;
    int n = ep->consecutive_failures < AQ_EJECT_CONSECUTIVE_FAILURES
                ? ep->consecutive_failures
                : AQ_EJECT_CONSECUTIVE_FAILURES;
    ep->suspect_until = now + (AqTime)n * SUSPECT_MS_PER_FAILURE;
    eject_if_due(router, now, ep);
}

bool
AqRouterEject_TrialDue(const AqRouter *router, AqTime now,
                       const AqEndpoint *ep, const AqRouterRequest *r)
{
    /* A trial is a caller's request that finds out whether the ejected
     * endpoint works again, and it may fail.  So it must be the first attempt
     * of the request, which can still be retried, and a non-idempotent request
     * also needs a health check of the endpoint passed since the ejection. */
    return ep->ejected && ep->trial_attempt == 0 && now >= ep->eject_until &&
           ep->health_failures == 0 && ep->in_use < ep->slots &&
           r->attempts == 0 && (r->idempotent || ep->healthy_since_eject) &&
           AqRouterEndpoint_AcceptsRequests(router, ep);
}

void
AqRouter_HealthDone(AqRouter *router, AqTime now, const char *endpoint,
                    bool healthy)
{
    AqEndpoint *ep = g_hash_table_lookup(router->endpoints, endpoint);
    router->now = now;
    if (ep == NULL || ep->removed) {
        return;
    }
    /* A passed health check does not end an ejection: an endpoint that fails
     * every request may still pass its health check. */
    if (healthy) {
        ep->health_failures = 0;
        ep->healthy_since_eject = true;
    }
    else {
        ep->health_failures++;
        ep->healthy_since_eject = false;
        eject_if_due(router, now, ep);
    }
    router->work_due = true;
}
