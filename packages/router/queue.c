#include <math.h>

#include "router_private.h"

int
AqRouterQueue_Count(const AqService *service)
{
    return service->live_count + service->archive_count;
}

void
AqRouterQueue_Push(AqRouter *router, AqRouterRequest *r, bool first)
{
    AqService *service = r->service;
    bool live = r->priority == AQ_PRIORITY_LIVE;
    AqLink *queue = live ? &service->live : &service->archive;
    r->queued_without_slot =
        AqRouterQueue_ExpectedWait(router, service, r->priority) > 0;
    if (first) {
        AqList_Prepend(queue, &r->queue_link);
    }
    else {
        AqList_Append(queue, &r->queue_link);
    }
    *(live ? &service->live_count : &service->archive_count) += 1;
    r->state = AQ_REQUEST_QUEUED;
    AqRouterTimers_Set(router, r, r->deadline);
    router->work_due = true;
}

void
AqRouterQueue_Remove(AqRouter *router, AqRouterRequest *r)
{
    AqService *service = r->service;
    AqList_Remove(&r->queue_link);
    *(r->priority == AQ_PRIORITY_LIVE ? &service->live_count
                                      : &service->archive_count) -= 1;
    AqRouterTimers_Remove(router, r);
}

AqRouterRequest *
AqRouterQueue_Next(const AqRouter *router, const AqService *service,
                   bool other)
{
    bool archive = service->live_count == 0;
    if (service->live_count > 0 && service->archive_count > 0) {
        unsigned interval = (unsigned)router->config.archive_start_interval;
        archive = service->contended_starts % interval == interval - 1;
    }
    const AqLink *queue =
        archive != other ? &service->archive : &service->live;
    return AqList_IsEmpty(queue)
               ? NULL
               : AqList_Entry(queue->next, AqRouterRequest, queue_link);
}

void
AqRouterQueue_CountStart(AqService *service)
{
    if (service->live_count > 0 && service->archive_count > 0) {
        service->contended_starts++;
    }
}

AqTime
AqRouterQueue_ExpectedWait(const AqRouter *router, const AqService *service,
                           AqPriority priority)
{
    int ahead = service->claiming + service->live_count;
    int archive_ahead =
        service->live_count / (router->config.archive_start_interval - 1);
    if (priority == AQ_PRIORITY_ARCHIVE ||
        service->archive_count < archive_ahead) {
        ahead += service->archive_count;
    }
    else {
        ahead += archive_ahead;
    }
    int slots = AqRouterService_Slots(router, service);
    if (slots == 0) {
        return AQ_DEFAULT_RETRY_AFTER_MS;
    }
    int idle = AqRouterService_FreeSlots(router, service);
    if (ahead < idle) {
        return 0;
    }
    double ms = (ahead - idle + 1) * AqRouterService_MeanMs(service) / slots;
    return (AqTime)ceil(ms);
}

/* Returns the time, in ms, that must be left before the deadline of a request
 * when it starts after a wait.  That is twice the mean time in a slot, which
 * 86% of exponentially distributed service times do not exceed; for an
 * idempotent request twice as much, since its attempt may use only half of the
 * time left. */
static AqTime
required_service_ms(const AqService *service, bool idempotent)
{
    return (AqTime)(AqRouterService_MeanMs(service) * (idempotent ? 4 : 2));
}

AqReason
AqRouterQueue_Admit(const AqRouter *router, AqTime now,
                    const AqService *service, const AqRequestSpec *spec)
{
    if (spec->deadline <= now) {
        return AQ_REASON_DEADLINE;
    }
    if (!AqRouterService_HasEndpoint(router, service) ||
        (service->no_slots_since != AQ_TIME_NEVER &&
         now - service->no_slots_since >= router->config.slot_wait_ms)) {
        return AQ_REASON_NO_ENDPOINT;
    }
    if (AqRouterQueue_Count(service) + service->claiming >=
            router->config.queue_limit &&
        AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_QUEUE_LIMIT)) {
        return AQ_REASON_QUEUE_FULL;
    }
    if (!AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_ADMISSION) ||
        AqRouterService_Slots(router, service) == 0) {
        return AQ_REASON_NONE;
    }
    AqTime wait = AqRouterQueue_ExpectedWait(router, service, spec->priority);
    /* The expected wait is raised by half, so that later estimates, which
     * vary, do not make AqRouterQueue_Sweep fail requests that were
     * admitted. */
    AqTime needed =
        wait + wait / 2 + required_service_ms(service, spec->idempotent);
    if (wait > 0 && needed > spec->deadline - now) {
        return AQ_REASON_DEADLINE;
    }
    return AQ_REASON_NONE;
}

bool
AqRouterQueue_TooLate(const AqRouter *router, AqTime now,
                      const AqRouterRequest *r)
{
    return AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_ADMISSION) &&
           r->queued_without_slot &&
           now + required_service_ms(r->service, r->idempotent) / 2 >
               r->deadline;
}

/* Fails the requests of the queue that are not expected to complete before
 * their deadlines.  "position" is the number of requests that start before the
 * first one of this queue, minus the free slots of the service; "ms_per_start"
 * is the expected time between two starts. */
static void
sweep_queue(AqRouter *router, AqTime now, const AqLink *queue, int position,
            double ms_per_start)
{
    AqList_ForEachSafe(at, after, queue)
    {
        AqRouterRequest *r = AqList_Entry(at, AqRouterRequest, queue_link);
        AqTime wait = position < 0 ? 0 : (AqTime)(position * ms_per_start);
        AqTime own = required_service_ms(r->service, r->idempotent);
        if (wait > 0 && now + wait + own > r->deadline) {
            AqRouterRequest_Fail(router, r, AQ_REASON_DEADLINE);
        }
        else {
            position++;
        }
    }
}

void
AqRouterQueue_Sweep(AqRouter *router, AqTime now, AqService *service)
{
    service->next_sweep_at = now + AQ_SWEEP_INTERVAL_MS;
    if (service->no_slots_since != AQ_TIME_NEVER) {
        if (now - service->no_slots_since >= router->config.slot_wait_ms) {
            AqRouterRequest_FailWaiting(router, service,
                                        AQ_REASON_NO_ENDPOINT);
        }
        return;
    }
    int slots = AqRouterService_Slots(router, service);
    if (slots == 0 ||
        !AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_ADMISSION)) {
        return;
    }
    double ms_per_start = AqRouterService_MeanMs(service) / slots;
    int idle = AqRouterService_FreeSlots(router, service);
    sweep_queue(router, now, &service->live, -idle, ms_per_start);
    sweep_queue(router, now, &service->archive, service->live_count - idle,
                ms_per_start);
}
