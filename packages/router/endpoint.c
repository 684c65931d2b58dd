#include <string.h>

#include "router_private.h"

bool
AqRouterEndpoint_AcceptsRequests(const AqRouter *router, const AqEndpoint *ep)
{
    return !ep->removed &&
           (!ep->leaving ||
            !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_LEAVING));
}

/* Whether one of the request's last AQ_TRIED_MAX attempts started on the
 * endpoint. */
static bool
was_tried(const AqRouterRequest *r, const AqEndpoint *ep)
{
    int n = r->attempts < AQ_TRIED_MAX ? r->attempts : AQ_TRIED_MAX;
    for (int i = 0; i < n; i++) {
        if (r->tried[i] == ep->number) {
            return true;
        }
    }
    return false;
}

/* Returns the expected time, in ms, until the endpoint has completed one more
 * request beside those in flight.  The mean response time of the service
 * replaces an expired mean of the endpoint: otherwise an endpoint that was the
 * slowest would get no requests at low load, and no sample would show that it
 * has become faster. */
static double
expected_completion_ms(AqTime now, const AqEndpoint *ep)
{
    bool known = ep->latency.count > 0 &&
                 now - ep->last_latency_at < AQ_LATENCY_MAX_AGE_MS;
    double mean = known ? ep->latency.ms : AqRouterService_MeanMs(ep->service);
    return (ep->in_use + 1) * (mean < 1.0 ? 1.0 : mean) / ep->slots;
}

/* If only one of the two endpoints has recent failures, returns the other
 * one.  Otherwise returns the one that is expected to complete one more
 * request earlier. */
static AqEndpoint *
preferred_endpoint(AqTime now, AqEndpoint *a, AqEndpoint *b)
{
    bool suspect_a = a->suspect_until > now;
    bool suspect_b = b->suspect_until > now;
    if (suspect_a != suspect_b) {
        return suspect_a ? b : a;
    }
    return expected_completion_ms(now, b) < expected_completion_ms(now, a) ? b
                                                                           : a;
}

/* Draws an endpoint of the request's service uniformly from those that accept
 * requests, have a free slot and are not ejected; NULL if there is none.
 * Never draws "excluded" (may be NULL) nor, if "untried" is true, an endpoint
 * that the request has tried. */
static AqEndpoint *
sample_endpoint(AqRouter *router, const AqRouterRequest *r,
                const AqEndpoint *excluded, bool untried)
{
    const GPtrArray *all = r->service->endpoints;
    AqEndpoint *sampled = NULL;
    uint64_t n = 0;
    for (guint i = 0; i < all->len; i++) {
        AqEndpoint *ep = g_ptr_array_index(all, i);
        if (ep == excluded || ep->ejected || ep->in_use >= ep->slots ||
            !AqRouterEndpoint_AcceptsRequests(router, ep) ||
            (untried && was_tried(r, ep))) {
            continue;
        }
        n++;
        if (AqRandom_Below(&router->random, n) == 0) {
            sampled = ep;
        }
    }
    return sampled;
}

/* Returns an ejected endpoint of the request's service on which the request is
 * allowed to be the trial now; NULL if there is none.  A trial is the one
 * request that, after the time of the ejection, finds out whether the endpoint
 * works again. */
static AqEndpoint *
find_trial_endpoint(const AqRouter *router, AqTime now,
                    const AqRouterRequest *r)
{
    const GPtrArray *all = r->service->endpoints;
    for (guint i = 0; i < all->len; i++) {
        AqEndpoint *ep = g_ptr_array_index(all, i);
        if (AqRouterEject_TrialDue(router, now, ep, r)) {
            return ep;
        }
    }
    return NULL;
}

/* Ends the service's ejections whose time is over, although no request has
 * found out whether the endpoint works again.  Called only if
 * AQ_ROUTER_DISABLE_TRIAL is set. */
static void
end_expired_ejections(AqTime now, const AqService *service)
{
    for (guint i = 0; i < service->endpoints->len; i++) {
        AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        if (ep->ejected && now >= ep->eject_until) {
            ep->ejected = false;
        }
    }
}

AqEndpoint *
AqRouterEndpoint_Choose(AqRouter *router, AqTime now, const AqRouterRequest *r)
{
    if (!AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_TRIAL)) {
        end_expired_ejections(now, r->service);
    }
    AqEndpoint *trial = find_trial_endpoint(router, now, r);
    if (trial != NULL) {
        return trial;
    }
    bool untried = r->attempts > 0;
    AqEndpoint *first = sample_endpoint(router, r, NULL, untried);
    if (first == NULL && untried) {
        untried = false;
        first = sample_endpoint(router, r, NULL, false);
    }
    if (first == NULL ||
        !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_LOAD_CHOICE)) {
        return first;
    }
    AqEndpoint *second = sample_endpoint(router, r, first, untried);
    return second == NULL ? first : preferred_endpoint(now, first, second);
}

void
AqRouterEndpoint_Destroy(void *endpoint)
{
    AqEndpoint *ep = endpoint;
    g_free(ep->name);
    g_free(ep);
}

static void
remove_from_service(AqEndpoint *ep)
{
    g_ptr_array_remove(ep->service->endpoints, ep);
}

void
AqRouterEndpoint_ReleaseSlot(AqRouter *router, AqEndpoint *ep)
{
    ep->in_use--;
    router->in_flight--;
    router->work_due = true;
    if (ep->removed && ep->in_use == 0) {
        g_hash_table_remove(router->endpoints, ep->name);
    }
}

/* Returns the endpoint of this name, or NULL if it is unknown or removed. */
static AqEndpoint *
find_endpoint(AqRouter *router, const char *name)
{
    AqEndpoint *ep = g_hash_table_lookup(router->endpoints, name);
    return ep == NULL || ep->removed ? NULL : ep;
}

/* Called after a change of the service's endpoints or slots.  Updates
 * no_slots_since, and ends ejections if more endpoints are ejected than may be
 * at a time.  Makes AqRouterQueue_Sweep due, which fails queued requests that
 * can no longer complete in time.  Fails all waiting requests if no endpoint
 * accepts requests. */
static void
slots_changed(AqRouter *router, AqTime now, AqService *service)
{
    AqRouterService_UpdateNoSlots(router, service, now);
    AqRouterEject_EnforceLimit(router, service);
    service->next_sweep_at = now;
    router->work_due = true;
    if (!AqRouterService_HasEndpoint(router, service)) {
        AqRouterRequest_FailWaiting(router, service, AQ_REASON_NO_ENDPOINT);
    }
}

void
AqRouter_SetEndpoint(AqRouter *router, AqTime now, const char *endpoint,
                     const char *service)
{
    router->now = now;
    AqService *to = AqRouterService_Ensure(router, service);
    AqEndpoint *ep = g_hash_table_lookup(router->endpoints, endpoint);
    if (ep == NULL) {
        ep = g_new0(AqEndpoint, 1);
        ep->name = g_strdup(endpoint);
        g_hash_table_insert(router->endpoints, ep->name, ep);
        ep->removed = true;
    }
    if (ep->removed) {
        /* The endpoint is new, or is added again while attempts from before
         * its removal are still in flight. */
        ep->removed = false;
        ep->leaving = false;
        ep->slots = 0;
    }
    else if (ep->service == to) {
        return;
    }
    else {
        AqService *from = ep->service;
        remove_from_service(ep);
        slots_changed(router, now, from);
    }
    ep->number = ++router->last_endpoint;
    ep->service = to;
    ep->latency = (AqRouterMean){0};
    AqRouterEject_Reset(ep);
    g_ptr_array_add(to->endpoints, ep);
    slots_changed(router, now, to);
}

void
AqRouter_RemoveEndpoint(AqRouter *router, AqTime now, const char *endpoint)
{
    AqEndpoint *ep = find_endpoint(router, endpoint);
    router->now = now;
    if (ep == NULL) {
        return;
    }
    AqService *service = ep->service;
    ep->removed = true;
    remove_from_service(ep);
    if (ep->in_use == 0) {
        g_hash_table_remove(router->endpoints, endpoint);
    }
    slots_changed(router, now, service);
}

void
AqRouter_SetSlots(AqRouter *router, AqTime now, const char *endpoint,
                  int slots)
{
    AqEndpoint *ep = find_endpoint(router, endpoint);
    router->now = now;
    if (ep == NULL || ep->slots == slots) {
        return;
    }
    ep->slots = slots < 0 ? 0 : slots;
    slots_changed(router, now, ep->service);
}

void
AqRouter_SetLeaving(AqRouter *router, AqTime now, const char *endpoint,
                    bool leaving)
{
    AqEndpoint *ep = find_endpoint(router, endpoint);
    router->now = now;
    if (ep == NULL || ep->leaving == leaving) {
        return;
    }
    ep->leaving = leaving;
    slots_changed(router, now, ep->service);
}

int
AqRouter_InFlight(const AqRouter *router, const char *endpoint)
{
    const AqEndpoint *ep = g_hash_table_lookup(router->endpoints, endpoint);
    return ep == NULL ? 0 : ep->in_use;
}

bool
AqRouter_IsEjected(const AqRouter *router, const char *endpoint)
{
    const AqEndpoint *ep = g_hash_table_lookup(router->endpoints, endpoint);
    return ep != NULL && ep->ejected;
}
