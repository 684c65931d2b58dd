#include <stdlib.h>
#include <string.h>

#include "router_private.h"

enum {
    /* A new sample has at least the weight 1/64 in a moving average.  A
     * smaller weight would make the expected wait vary less, but follow a
     * change of the service time more slowly. */
    MEAN_WINDOW_SAMPLES = 64,
    /* Once AQ_LATENCY_SAMPLES response times of a service are recorded, their
     * 95th percentile (p95) is computed again after every P95_INTERVAL_SAMPLES
     * new response times. */
    P95_INTERVAL_SAMPLES = 8
};

AqService *
AqRouterService_Find(const AqRouter *router, const char *name)
{
    AqList_ForEach(at, &router->services)
    {
        AqService *service = AqList_Entry(at, AqService, link);
        if (strcmp(service->name, name) == 0) {
            return service;
        }
    }
    return NULL;
}

AqService *
AqRouterService_Ensure(AqRouter *router, const char *name)
{
    AqService *service = AqRouterService_Find(router, name);
    if (service != NULL) {
        return service;
    }
    service = g_new0(AqService, 1);
    service->name = g_strdup(name);
    service->endpoints = g_ptr_array_new();
    service->retry_tokens = router->config.retry_burst;
    service->p95_ms = AQ_DEFAULT_P95_MS;
    service->no_slots_since = router->now;
    AqList_Init(&service->live);
    AqList_Init(&service->archive);
    AqList_Append(&router->services, &service->link);
    return service;
}

void
AqRouterService_Destroy(AqService *service)
{
    g_ptr_array_free(service->endpoints, TRUE);
    g_free(service->name);
    g_free(service);
}

void
AqRouterMean_Add(AqRouterMean *mean, AqTime ms)
{
    mean->count++;
    double n = mean->count < MEAN_WINDOW_SAMPLES ? (double)mean->count
                                                 : MEAN_WINDOW_SAMPLES;
    mean->ms += ((double)ms - mean->ms) / n;
}

static int
compare_latencies(const void *a, const void *b)
{
    AqTime x = *(const AqTime *)a;
    AqTime y = *(const AqTime *)b;
    return (x > y) - (x < y);
}

void
AqRouterService_AddLatency(AqService *service, AqTime ms)
{
    AqTime sorted[AQ_LATENCY_SAMPLES];
    service->latencies[service->latency_count++ % AQ_LATENCY_SAMPLES] = ms;
    size_t n = service->latency_count < AQ_LATENCY_SAMPLES
                   ? service->latency_count
                   : AQ_LATENCY_SAMPLES;
    if (n == AQ_LATENCY_SAMPLES &&
        service->latency_count % P95_INTERVAL_SAMPLES != 0) {
        return;
    }
    memcpy(sorted, service->latencies, n * sizeof(sorted[0]));
    qsort(sorted, n, sizeof(sorted[0]), compare_latencies);
    service->p95_ms = sorted[(n - 1) * 95 / 100];
}

double
AqRouterService_MeanMs(const AqService *service)
{
    return service->slot_time.count == 0 ? AQ_DEFAULT_MEAN_MS
                                         : service->slot_time.ms;
}

int
AqRouterService_Slots(const AqRouter *router, const AqService *service)
{
    int slots = 0;
    for (guint i = 0; i < service->endpoints->len; i++) {
        const AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        if (AqRouterEndpoint_AcceptsRequests(router, ep) && !ep->ejected) {
            slots += ep->slots;
        }
    }
    return slots;
}

int
AqRouterService_FreeSlots(const AqRouter *router, const AqService *service)
{
    int n = 0;
    for (guint i = 0; i < service->endpoints->len; i++) {
        const AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        if (AqRouterEndpoint_AcceptsRequests(router, ep) && !ep->ejected &&
            ep->in_use < ep->slots) {
            n += ep->slots - ep->in_use;
        }
    }
    return n;
}

bool
AqRouterService_HasEndpoint(const AqRouter *router, const AqService *service)
{
    for (guint i = 0; i < service->endpoints->len; i++) {
        if (AqRouterEndpoint_AcceptsRequests(
                router, g_ptr_array_index(service->endpoints, i))) {
            return true;
        }
    }
    return false;
}

void
AqRouterService_UpdateNoSlots(AqRouter *router, AqService *service, AqTime now)
{
    /* The slots of an ejected endpoint count as slots of the service.  Its
     * ejection ends only when a request to the endpoint succeeds, so requests
     * must be admitted. */
    for (guint i = 0; i < service->endpoints->len; i++) {
        const AqEndpoint *ep = g_ptr_array_index(service->endpoints, i);
        if (AqRouterEndpoint_AcceptsRequests(router, ep) && ep->slots > 0) {
            service->no_slots_since = AQ_TIME_NEVER;
            return;
        }
    }
    if (service->no_slots_since == AQ_TIME_NEVER) {
        service->no_slots_since = now;
    }
}
