#include "router_private.h"

void
AqRouterConfig_Init(AqRouterConfig *config)
{
    *config = (AqRouterConfig){
        .queue_limit = 512,
        .max_attempts = 3,
        .retry_ratio = 0.1,
        .retry_burst = 10,
        .backoff_initial_ms = 25,
        .backoff_max_ms = 1000,
        .archive_start_interval = 8,
        .max_ejected_percent = 30,
        .eject_initial_ms = 5000,
        .eject_max_ms = 60000,
        .slot_wait_ms = 500,
    };
}

AqRouter *
AqRouter_Create(const AqRouterConfig *config, const AqRouterOps *ops,
                void *context, uint64_t seed)
{
    AqRouter *router = g_new0(AqRouter, 1);
    router->config = *config;
    if (router->config.archive_start_interval < 2) {
        router->config.archive_start_interval = 2;
    }
    router->ops = *ops;
    router->context = context;
    AqRandom_Seed(&router->random, seed);
    AqList_Init(&router->services);
    AqList_Init(&router->requests);
    router->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    router->by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
    router->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                              AqRouterEndpoint_Destroy);
    router->timers = g_ptr_array_new();
    return router;
}

void
AqRouter_Destroy(AqRouter *router)
{
    if (router == NULL) {
        return;
    }
    g_ptr_array_free(router->timers, TRUE);
    g_hash_table_destroy(router->by_attempt);
    g_hash_table_destroy(router->by_id);
    g_hash_table_destroy(router->endpoints);
    AqList_ForEachSafe(at, after, &router->services)
    {
        AqRouterService_Destroy(AqList_Entry(at, AqService, link));
    }
    g_free(router);
}

void
AqRouter_SetFresh(AqRouter *router, AqTime now, bool fresh)
{
    router->now = now;
    if (fresh == router->fresh) {
        return;
    }
    router->fresh = fresh;
    router->work_due = true;
    if (!fresh && AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_FRESHNESS)) {
        AqRouterRequest_FailWaiting(router, NULL, AQ_REASON_NOT_FRESH);
    }
}

void
AqRouter_Stop(AqRouter *router, AqTime now)
{
    router->now = now;
    router->stopping = true;
}

/* Returns the next queued request of the service that can start now and stores
 * the endpoint for it in "ep"; NULL if there is none.  Fails the requests
 * before it in the queue with too little time left until their deadlines. */
static AqRouterRequest *
next_start(AqRouter *router, AqTime now, const AqService *service,
           AqEndpoint **ep)
{
    for (int other = 0; other < 2; other++) {
        AqRouterRequest *r = AqRouterQueue_Next(router, service, other);
        while (r != NULL && AqRouterQueue_TooLate(router, now, r)) {
            AqRouterRequest_Fail(router, r, AQ_REASON_DEADLINE);
            r = AqRouterQueue_Next(router, service, other);
        }
        if (r != NULL) {
            *ep = AqRouterEndpoint_Choose(router, now, r);
            if (*ep != NULL) {
                return r;
            }
        }
    }
    return NULL;
}

/* Starts queued requests of the service until no request or no free slot is
 * left. */
static void
start_queued_requests(AqRouter *router, AqTime now, const AqService *service)
{
    AqEndpoint *ep = NULL;
    AqRouterRequest *r = next_start(router, now, service, &ep);
    while (r != NULL) {
        AqRouterAttempt_Start(router, now, r, ep);
        r = next_start(router, now, service, &ep);
    }
}

void
AqRouter_Tick(AqRouter *router, AqTime now)
{
    router->now = now;
    for (AqRouterRequest *r = AqRouterTimers_First(router);
         r != NULL && r->timer_at <= now; r = AqRouterTimers_First(router)) {
        AqRouterRequest_OnTimer(router, now, r);
    }
    AqList_ForEach(at, &router->services)
    {
        AqService *service = AqList_Entry(at, AqService, link);
        if (AqRouterQueue_Count(service) > 0 &&
            now >= service->next_sweep_at) {
            AqRouterQueue_Sweep(router, now, service);
        }
        start_queued_requests(router, now, service);
    }
    router->work_due = false;
}

AqTime
AqRouter_NextTick(const AqRouter *router)
{
    if (router->work_due) {
        return router->now;
    }
    const AqRouterRequest *first = AqRouterTimers_First(router);
    AqTime next = first == NULL ? AQ_TIME_NEVER : first->timer_at;
    AqList_ForEach(at, &router->services)
    {
        const AqService *service = AqList_Entry(at, AqService, link);
        if (AqRouterQueue_Count(service) > 0 &&
            service->next_sweep_at < next) {
            next = service->next_sweep_at;
        }
    }
    return next;
}

int
AqRouter_TotalInFlight(const AqRouter *router)
{
    return router->in_flight;
}

int
AqRouter_Queued(const AqRouter *router, const char *service)
{
    const AqService *found = AqRouterService_Find(router, service);
    return found == NULL ? 0 : AqRouterQueue_Count(found);
}

int
AqRouter_FreeSlots(const AqRouter *router, const char *service)
{
    const AqService *found = AqRouterService_Find(router, service);
    return found == NULL ? 0 : AqRouterService_FreeSlots(router, found);
}

void
AqRouter_EachService(const AqRouter *router,
                     void (*visit)(void *context, const char *service),
                     void *context)
{
    AqList_ForEach(at, &router->services)
    {
        const AqService *service = AqList_Entry(at, AqService, link);
        if (service->endpoints->len > 0) {
            visit(context, service->name);
        }
    }
}

void
AqRouter_GetStats(const AqRouter *router, AqRouterStats *stats)
{
    *stats = router->stats;
}
