#include "router_private.h"

/* For one service, how many requests wait in each state, counted from
 * AqRouter.requests. */
typedef struct {
    int live;    /* queued requests of AQ_PRIORITY_LIVE */
    int archive; /* queued requests of AQ_PRIORITY_ARCHIVE */
    int claiming;
} Waiting;

static bool
check_request(const AqRouter *router, const AqRouterRequest *r, AqError *error)
{
    bool running = r->state == AQ_REQUEST_RUNNING;
    if (running != (r->endpoint != NULL) || running != (r->attempt != 0)) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "request %" G_GUINT64_FORMAT
                           ": state %d does not match its attempt",
                           r->id, (int)r->state);
    }
    if (running && g_hash_table_lookup(router->by_attempt, &r->attempt) != r) {
        return AqError_Set(
            error, AQ_ERR_SYSTEM,
            "attempt %" G_GUINT64_FORMAT " is not in by_attempt", r->attempt);
    }
    if (r->timer_index >= router->timers->len ||
        g_ptr_array_index(router->timers, r->timer_index) != r) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "request %" G_GUINT64_FORMAT " has no timer",
                           r->id);
    }
    if (r->timer_at > r->deadline && r->state != AQ_REQUEST_REFUSED &&
        r->deadline > r->started_at) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "request %" G_GUINT64_FORMAT
                           ": its timer is due after its deadline",
                           r->id);
    }
    if (!r->idempotent &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_CLAIM) &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_RETRY_RULE) &&
        ((running && !r->claimed) || (!running && r->may_have_run))) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "request %" G_GUINT64_FORMAT
                           ": non-idempotent and running without a claim, or "
                           "not finished though it may have run",
                           r->id);
    }
    return true;
}

static bool
check_requests(const AqRouter *router, AqError *error)
{
    size_t n = 0;
    size_t running = 0;
    AqList_ForEach(at, &router->requests)
    {
        const AqRouterRequest *r = AqList_Entry(at, AqRouterRequest, link);
        n++;
        running += r->state == AQ_REQUEST_RUNNING;
        if (!check_request(router, r, error)) {
            return false;
        }
    }
    if (n != g_hash_table_size(router->by_id) ||
        running != g_hash_table_size(router->by_attempt) ||
        running != (size_t)router->in_flight || n != router->timers->len) {
        return AqError_Set(
            error, AQ_ERR_SYSTEM,
            "%zu requests, %zu running: by_id has %u, by_attempt "
            "%u; %d in flight, %u timers",
            n, running, g_hash_table_size(router->by_id),
            g_hash_table_size(router->by_attempt), router->in_flight,
            router->timers->len);
    }
    return true;
}

static bool
check_timers(const AqRouter *router, AqError *error)
{
    for (guint i = 1; i < router->timers->len; i++) {
        const AqRouterRequest *r = g_ptr_array_index(router->timers, i);
        const AqRouterRequest *parent =
            g_ptr_array_index(router->timers, (i - 1) / 2);
        if (parent->timer_at > r->timer_at) {
            return AqError_Set(error, AQ_ERR_SYSTEM,
                               "timer %u is due before its heap parent", i);
        }
    }
    return true;
}

static bool
check_endpoint(const AqRouter *router, const AqEndpoint *ep, AqError *error)
{
    int running = 0;
    bool trial = ep->trial_attempt == 0;
    AqList_ForEach(at, &router->requests)
    {
        const AqRouterRequest *r = AqList_Entry(at, AqRouterRequest, link);
        running += r->endpoint == ep;
        trial =
            trial || (r->endpoint == ep && r->attempt == ep->trial_attempt);
    }
    if (running != ep->in_use || !trial || (ep->removed && running == 0)) {
        return AqError_Set(
            error, AQ_ERR_SYSTEM,
            "endpoint %s: %d slots in use, %d attempts in flight, "
            "trial attempt %" G_GUINT64_FORMAT,
            ep->name, ep->in_use, running, ep->trial_attempt);
    }
    if (!ep->removed && !g_ptr_array_find(ep->service->endpoints, ep, NULL)) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "endpoint %s is not in the list of its service",
                           ep->name);
    }
    return true;
}

static Waiting
count_waiting(const AqRouter *router, const AqService *service)
{
    Waiting n = {0};
    AqList_ForEach(at, &router->requests)
    {
        const AqRouterRequest *r = AqList_Entry(at, AqRouterRequest, link);
        if (r->service != service) {
            continue;
        }
        n.claiming += r->state == AQ_REQUEST_CLAIMING;
        if (r->state == AQ_REQUEST_QUEUED) {
            *(r->priority == AQ_PRIORITY_LIVE ? &n.live : &n.archive) += 1;
        }
    }
    return n;
}

static bool
check_service(const AqRouter *router, const AqService *service, AqError *error)
{
    Waiting n = count_waiting(router, service);
    if (n.live != service->live_count || n.archive != service->archive_count ||
        n.claiming != service->claiming ||
        AqList_Length(&service->live) != (size_t)n.live ||
        AqList_Length(&service->archive) != (size_t)n.archive) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "service %s: live/archive/claiming counts are "
                           "%d/%d/%d, but %d/%d/%d requests",
                           service->name, service->live_count,
                           service->archive_count, service->claiming, n.live,
                           n.archive, n.claiming);
    }
    int ejected = AqRouterEject_Count(router, service);
    int limit = AqRouterEject_Limit(router, service);
    if (ejected > limit) {
        return AqError_Set(error, AQ_ERR_SYSTEM,
                           "service %s: %d endpoints ejected, limit %d",
                           service->name, ejected, limit);
    }
    if (service->retry_tokens < 0 ||
        service->retry_tokens > router->config.retry_burst) {
        return AqError_Set(error, AQ_ERR_SYSTEM, "service %s: %g retry tokens",
                           service->name, service->retry_tokens);
    }
    return true;
}

bool
AqRouter_CheckConsistency(const AqRouter *router, AqError *error)
{
    if (!check_requests(router, error) || !check_timers(router, error)) {
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, router->endpoints);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!check_endpoint(router, value, error)) {
            return false;
        }
    }
    AqList_ForEach(at, &router->services)
    {
        if (!check_service(router, AqList_Entry(at, AqService, link), error)) {
            return false;
        }
    }
    return true;
}
