#include "platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

/* Consul's default for the query parameter "wait" of a blocking query. */
#define DEFAULT_WAIT_MS 300000
/* Consul's limit on the query parameter "wait" of a blocking query; a longer
 * wait is shortened to this limit. */
#define MAX_WAIT_MS 600000

static void
destroy_pending(PendingRequest *pending)
{
    AqTestRequest_SetUser(pending->request, NULL);
    AqLoopTimer_Stop(&pending->timer);
    AqList_Remove(&pending->link);
    free(pending);
}

static void
finish_pending(void *context)
{
    PendingRequest *pending = context;
    Platform *platform = pending->platform;
    AqTestRequest *request = pending->request;
    void (*handle)(Platform *, AqTestRequest *) = pending->handle;
    destroy_pending(pending);
    handle(platform, request);
}

static PendingRequest *
add_pending(Platform *platform, AqTestRequest *request, int64_t ms,
            bool is_store_call,
            void (*handle)(Platform *platform, AqTestRequest *request))
{
    PendingRequest *pending = calloc(1, sizeof(*pending));
    pending->platform = platform;
    pending->request = request;
    pending->is_store_call = is_store_call;
    pending->handle = handle;
    AqTestRequest_SetUser(request, pending);
    AqList_Append(&platform->pending, &pending->link);
    AqLoopTimer_Init(&pending->timer, finish_pending, pending);
    AqTestLoop_StartTimer(platform->loop, &pending->timer, ms);
    return pending;
}

void
Platform_Delay(Platform *platform, AqTestRequest *request, int64_t ms,
               bool is_store_call,
               void (*handle)(Platform *platform, AqTestRequest *request))
{
    add_pending(platform, request, ms, is_store_call, handle);
}

bool
Platform_IsWatch(const AqTestRequest *request)
{
    const char *index = AqTestRequest_Query(request, "index");
    return index != NULL && strtoull(index, NULL, 10) > 0;
}

/* Returns the time in ms that the text of the query parameter "wait" gives,
 * such as 30s, 500ms or 2m, up to MAX_WAIT_MS.  Returns DEFAULT_WAIT_MS when
 * the text contains no valid time. */
static int64_t
parse_wait(const char *text)
{
    char *unit;
    if (text == NULL) {
        return DEFAULT_WAIT_MS;
    }
    int64_t ms = strtoll(text, &unit, 10);
    if (strcmp(unit, "s") == 0) {
        ms *= 1000;
    }
    else if (strcmp(unit, "m") == 0) {
        ms *= 60000;
    }
    if (ms <= 0) {
        return DEFAULT_WAIT_MS;
    }
    return ms < MAX_WAIT_MS ? ms : MAX_WAIT_MS;
}

void
Platform_AnswerRead(Platform *platform, AqTestRequest *request,
                    bool is_store_call,
                    uint64_t (*current_index)(Platform *platform,
                                              const AqTestRequest *request),
                    void (*handle)(Platform *platform, AqTestRequest *request))
{
    const char *text = AqTestRequest_Query(request, "index");
    uint64_t index = text != NULL ? strtoull(text, NULL, 10) : 0;
    if (index == 0 || current_index(platform, request) > index) {
        handle(platform, request);
        return;
    }
    PendingRequest *pending = add_pending(
        platform, request, parse_wait(AqTestRequest_Query(request, "wait")),
        is_store_call, handle);
    pending->index = index;
    pending->current_index = current_index;
}

void
Platform_NotifyWatches(Platform *platform)
{
    AqList_ForEachSafe(at, after, &platform->pending)
    {
        PendingRequest *pending = AqList_Entry(at, PendingRequest, link);
        if (pending->current_index == NULL || pending->is_due ||
            pending->current_index(platform, pending->request) <=
                pending->index) {
            continue;
        }
        pending->is_due = true;
        if (platform->faults.delay_watches_ms > 0) {
            AqTestLoop_StartTimer(platform->loop, &pending->timer,
                                  platform->faults.delay_watches_ms);
        }
        else {
            finish_pending(pending);
        }
    }
}

void
Platform_RejectStoreCalls(Platform *platform)
{
    AqList_ForEachSafe(at, after, &platform->pending)
    {
        PendingRequest *pending = AqList_Entry(at, PendingRequest, link);
        AqTestRequest *request = pending->request;
        if (pending->is_store_call) {
            destroy_pending(pending);
            platform->rejected++;
            AqTestRequest_Reply(request, 503, "", 0);
        }
    }
}

void
Platform_ReplyWrite(Platform *platform, AqTestRequest *request,
                    int64_t *losses_left, unsigned status, json_t *value)
{
    if (*losses_left == 0) {
        AqTestRequest_ReplyJson(request, status, value);
        return;
    }
    (*losses_left)--;
    platform->lost++;
    json_decref(value);
    if (platform->faults.lose_silently) {
        AqTestRequest_Silence(request);
    }
    else {
        AqTestRequest_Close(request);
    }
}

void
Platform_AddIndex(AqTestRequest *request, uint64_t index)
{
    char text[24];
    snprintf(text, sizeof(text), "%" PRIu64, index);
    AqTestRequest_AddHeader(request, "X-Consul-Index", text);
}
