#include "aq_loop.h"

#include <apr_general.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <stdlib.h>

#include "aq_log.h"

enum {
    POLLSET_SIZE = 16384,
    MAX_ROUND_CALLBACKS = 8,
    MAX_WAIT_MS = 1000,
    /* A round whose callbacks take longer is logged. */
    STALL_LOG_MS = 100,
    PAUSE_MS = 1000 /* AqLoop_ResumedAt() */
};

struct AqWatch {
    AqLink link; /* in the loop's "unwatched" list after AqLoop_Unwatch */
    apr_pool_t *pool;
    apr_pollfd_t descriptor;
    AqWatchFn fn; /* event callback; NULL after AqLoop_Unwatch */
    void *context;
};

struct AqLoop {
    apr_pool_t *pool;
    apr_pollset_t *pollset;
    AqLink timers;    /* running timers; unsorted, since a daemon has only a
                         few dozen */
    AqLink unwatched; /* ended watches, freed at the end of the round */
    AqTime now;       /* loop time of the current round */
    AqClock *clock;   /* virtual clock; NULL: the host's CLOCK_BOOTTIME */
    bool running;
    AqTime longest_stall_ms;
    AqTime busy_ms;
    AqTime resumed_at;
    int round_callback_count;
    struct {
        AqRoundFn fn; /* NULL: the entry is free */
        void *context;
    } round_callbacks[MAX_ROUND_CALLBACKS];
};

AqLoop *
AqLoop_Create(AqError *error)
{
    AqLoop *loop = calloc(1, sizeof(*loop));
    AqList_Init(&loop->timers);
    AqList_Init(&loop->unwatched);
    loop->now = AqClock_ReadMonotonic();
    if (apr_initialize() != APR_SUCCESS ||
        apr_pool_create(&loop->pool, NULL) != APR_SUCCESS) {
        AqError_Set(error, AQ_ERR_SYSTEM, "APR cannot be initialised");
        goto error;
    }
    if (apr_pollset_create_ex(&loop->pollset, POLLSET_SIZE, loop->pool,
                              APR_POLLSET_NOCOPY,
                              APR_POLLSET_EPOLL) != APR_SUCCESS) {
        AqError_Set(error, AQ_ERR_SYSTEM,
                    "the pollset cannot be created; raise the limit of open "
                    "files");
        goto error;
    }
    return loop;

error:
    AqLoop_Destroy(loop);
    return NULL;
}

static void
free_unwatched(AqLoop *loop)
{
    AqLink *link;
    while ((link = AqList_PopFirst(&loop->unwatched)) != NULL) {
        AqWatch *watch = AqList_Entry(link, AqWatch, link);
        apr_pool_destroy(watch->pool);
        free(watch);
    }
}

void
AqLoop_Destroy(AqLoop *loop)
{
    if (loop == NULL) {
        return;
    }
    free_unwatched(loop);
    if (loop->pollset != NULL) {
        apr_pollset_destroy(loop->pollset);
    }
    if (loop->pool != NULL) {
        apr_pool_destroy(loop->pool);
    }
    free(loop);
    apr_terminate();
}

static AqTime
read_time(const AqLoop *loop)
{
    return loop->clock != NULL ? loop->clock->now : AqClock_ReadMonotonic();
}

void
AqLoop_SetClock(AqLoop *loop, AqClock *clock)
{
    loop->clock = clock;
    loop->now = read_time(loop);
}

AqTime
AqLoop_Now(const AqLoop *loop)
{
    return loop->now;
}

static apr_int16_t
to_apr_events(int events)
{
    apr_int16_t result = 0;
    if (events & AQ_READABLE) {
        result |= APR_POLLIN;
    }
    if (events & AQ_WRITABLE) {
        result |= APR_POLLOUT;
    }
    return result;
}

AqWatch *
AqLoop_Watch(AqLoop *loop, int fd, int events, AqWatchFn fn, void *context,
             AqError *error)
{
    AqWatch *watch = calloc(1, sizeof(*watch));
    apr_socket_t *socket = NULL;
    AqList_Init(&watch->link);
    /* Each watch has its own APR pool, since APR releases memory only with the
     * whole pool. */
    apr_pool_create(&watch->pool, NULL);
    apr_os_sock_put(&socket, &fd, watch->pool);
    watch->fn = fn;
    watch->context = context;
    watch->descriptor.p = watch->pool;
    watch->descriptor.desc_type = APR_POLL_SOCKET;
    watch->descriptor.desc.s = socket;
    watch->descriptor.reqevents = to_apr_events(events);
    watch->descriptor.client_data = watch;
    if (apr_pollset_add(loop->pollset, &watch->descriptor) != APR_SUCCESS) {
        AqError_Set(error, AQ_ERR_SYSTEM,
                    "descriptor %d cannot be added to the pollset", fd);
        apr_pool_destroy(watch->pool);
        free(watch);
        return NULL;
    }
    return watch;
}

void
AqLoop_SetEvents(AqLoop *loop, AqWatch *watch, int events)
{
    apr_int16_t requested_events = to_apr_events(events);
    if (watch->descriptor.reqevents == requested_events) {
        return;
    }
    apr_pollset_remove(loop->pollset, &watch->descriptor);
    watch->descriptor.reqevents = requested_events;
    apr_pollset_add(loop->pollset, &watch->descriptor);
}

void
AqLoop_Unwatch(AqLoop *loop, AqWatch *watch)
{
    if (watch == NULL || watch->fn == NULL) {
        return;
    }
    apr_pollset_remove(loop->pollset, &watch->descriptor);
    /* The watch is freed at the end of the round, since an event of this round
     * that has not been dispatched yet may point to it. */
    watch->fn = NULL;
    AqList_Append(&loop->unwatched, &watch->link);
}

void
AqTimer_Init(AqTimer *timer, AqTimerFn fn, void *context)
{
    AqList_Init(&timer->link);
    timer->due = AQ_TIME_NEVER;
    timer->fn = fn;
    timer->context = context;
}

void
AqTimer_Start(AqLoop *loop, AqTimer *timer, AqTime due)
{
    timer->due = due;
    if (!AqList_IsLinked(&timer->link)) {
        AqList_Append(&loop->timers, &timer->link);
    }
}

void
AqTimer_Stop(AqTimer *timer)
{
    AqList_Remove(&timer->link);
    timer->due = AQ_TIME_NEVER;
}

void
AqLoop_OnRound(AqLoop *loop, AqRoundFn fn, void *context)
{
    int slot = 0;
    while (slot < loop->round_callback_count &&
           loop->round_callbacks[slot].fn != NULL) {
        slot++;
    }
    if (slot == MAX_ROUND_CALLBACKS) {
        abort();
    }
    loop->round_callbacks[slot].fn = fn;
    loop->round_callbacks[slot].context = context;
    if (slot == loop->round_callback_count) {
        loop->round_callback_count++;
    }
}

void
AqLoop_OffRound(AqLoop *loop, AqRoundFn fn, const void *context)
{
    for (int i = 0; i < loop->round_callback_count; i++) {
        if (loop->round_callbacks[i].fn == fn &&
            loop->round_callbacks[i].context == context) {
            /* The entry stays, since this may be called from a callback while
             * the loop goes through the entries. */
            loop->round_callbacks[i].fn = NULL;
        }
    }
}

/* Returns the first timer of the loop's list that is due, or NULL if none
 * is. */
static AqTimer *
find_due_timer(AqLoop *loop)
{
    AqList_ForEach(at, &loop->timers)
    {
        AqTimer *timer = AqList_Entry(at, AqTimer, link);
        if (timer->due <= loop->now) {
            return timer;
        }
    }
    return NULL;
}

static void
run_timers(AqLoop *loop)
{
    AqTimer *timer;
    /* This while loop ends because a callback that restarts its timer sets a
     * due time later than the time of the round. */
    while ((timer = find_due_timer(loop)) != NULL) {
        AqTimer_Stop(timer);
        timer->fn(timer->context);
    }
}

static AqTime
next_due(AqLoop *loop, AqTime latest)
{
    for (int i = 0; i < loop->round_callback_count; i++) {
        if (loop->round_callbacks[i].fn == NULL) {
            continue;
        }
        AqTime due =
            loop->round_callbacks[i].fn(loop->round_callbacks[i].context);
        if (due < latest) {
            latest = due;
        }
    }
    AqList_ForEach(at, &loop->timers)
    {
        const AqTimer *timer = AqList_Entry(at, AqTimer, link);
        if (timer->due < latest) {
            latest = timer->due;
        }
    }
    return latest;
}

static void
dispatch(AqWatch *watch, apr_int16_t returned)
{
    int events = 0;
    /* POLLHUP and POLLERR are reported as ready events; the callback's next
     * read or write then returns the error. */
    if (returned & (APR_POLLIN | APR_POLLHUP | APR_POLLERR)) {
        events |= AQ_READABLE;
    }
    if (returned & (APR_POLLOUT | APR_POLLERR)) {
        events |= AQ_WRITABLE;
    }
    if (watch->fn != NULL) {
        watch->fn(watch->context, events);
    }
}

/* Times at which the stages of a round begin. */
typedef struct {
    AqTime round; /* the callbacks of AqLoop_OnRound */
    AqTime poll;
    AqTime events;
    AqTime timers;
    AqTime end;
} RoundTimes;

/* Records how long the loop did not wait for events. */
static void
note_stall(AqLoop *loop, const RoundTimes *times, int events)
{
    AqTime round_ms = times->poll - times->round;
    AqTime taken = round_ms + times->end - times->events;
    loop->busy_ms += taken;
    if (taken > loop->longest_stall_ms) {
        loop->longest_stall_ms = taken;
    }
    if (taken > STALL_LOG_MS) {
        AqLog_Event(AQ_LOG_WARNING, "loop_stalled",
                    "took_ms=%lld round_ms=%lld events=%d events_ms=%lld "
                    "timers_ms=%lld",
                    (long long)taken, (long long)round_ms, events,
                    (long long)(times->timers - times->events),
                    (long long)(times->end - times->timers));
    }
}

AqTime
AqLoop_BusyTime(const AqLoop *loop)
{
    return loop->busy_ms;
}

AqTime
AqLoop_LongestStall(const AqLoop *loop)
{
    return loop->longest_stall_ms;
}

AqTime
AqLoop_ResumedAt(const AqLoop *loop)
{
    return loop->resumed_at;
}

void
AqLoop_RunOnce(AqLoop *loop, AqTime wait_ms)
{
    const apr_pollfd_t *ready = NULL;
    apr_int32_t count = 0;
    RoundTimes times = {.round = read_time(loop)};
    AqTime last = loop->now;
    AqTime due = next_due(loop, loop->now + wait_ms);
    times.poll = read_time(loop);
    AqTime wait = due - times.poll;
    if (wait < 0) {
        wait = 0;
    }
    apr_status_t status = apr_pollset_poll(
        loop->pollset, loop->clock == NULL ? wait * 1000 : 0, &count, &ready);
    if (loop->clock != NULL && count == 0) {
        AqClock_Advance(loop->clock, wait);
    }
    loop->now = read_time(loop);
    times.events = loop->now;
    if (loop->now - last - wait > PAUSE_MS) {
        loop->resumed_at = loop->now;
        AqLog_Event(AQ_LOG_WARNING, "loop_paused", "took_ms=%lld",
                    (long long)(loop->now - last - wait));
    }
    if (status == APR_SUCCESS) {
        for (apr_int32_t i = 0; i < count; i++) {
            dispatch(ready[i].client_data, ready[i].rtnevents);
        }
    }
    free_unwatched(loop);
    times.timers = read_time(loop);
    run_timers(loop);
    times.end = read_time(loop);
    note_stall(loop, &times, count);
}

void
AqLoop_Run(AqLoop *loop)
{
    loop->running = true;
    while (loop->running) {
        AqLoop_RunOnce(loop, MAX_WAIT_MS);
    }
}

void
AqLoop_Stop(AqLoop *loop)
{
    loop->running = false;
}
