#include "aq_test_loop.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

/* Limit on the event sources whose descriptors the loop polls; further sources
 * are not polled. */
#define MAX_SOURCES 256

struct AqTestLoop {
    AqLink sources;
    AqLink timers; /* running timers, ordered by due time */
    /* Monotonic time at which the current iteration of the loop began. */
    AqTime now;
    bool stopped;
    int signal_fd; /* signalfd for SIGTERM and SIGINT */
    AqLoopWait wait;
    void *wait_context;
};

static void
wait_with_poll(void *context, struct pollfd *fds, unsigned count, int timeout)
{
    (void)context;
    poll(fds, count, timeout);
}

/* Raises the soft limit of open descriptors to the hard limit.  The usual soft
 * limit of 1024 is too low for many simultaneous connections. */
static void
raise_descriptor_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

AqTestLoop *
AqTestLoop_Create(void)
{
    AqTestLoop *loop = calloc(1, sizeof(*loop));
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    raise_descriptor_limit();
    AqList_Init(&loop->sources);
    AqList_Init(&loop->timers);
    loop->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
    loop->now = AqClock_ReadMonotonic();
    loop->wait = wait_with_poll;
    return loop;
}

void
AqTestLoop_Destroy(AqTestLoop *loop)
{
    if (loop == NULL) {
        return;
    }
    while (AqList_PopFirst(&loop->timers) != NULL) {
    }
    close(loop->signal_fd);
    free(loop);
}

AqTime
AqTestLoop_Now(const AqTestLoop *loop)
{
    return loop->now;
}

void
AqTestLoop_AddSource(AqTestLoop *loop, AqLoopSource *source)
{
    AqList_Append(&loop->sources, &source->link);
}

void
AqTestLoop_RemoveSource(AqLoopSource *source)
{
    AqList_Remove(&source->link);
}

void
AqTestLoop_SetWait(AqTestLoop *loop, AqLoopWait wait, void *context)
{
    loop->wait = wait;
    loop->wait_context = context;
}

void
AqLoopTimer_Init(AqLoopTimer *timer, void (*fire)(void *context),
                 void *context)
{
    AqList_Init(&timer->link);
    timer->fire = fire;
    timer->context = context;
}

void
AqTestLoop_StartTimer(AqTestLoop *loop, AqLoopTimer *timer, AqTime ms)
{
    AqList_Remove(&timer->link);
    AqLink *at = loop->timers.prev;
    /* loop->now may be outdated: the calling code may have taken some time
     * since the iteration of the loop began. */
    timer->due = AqClock_ReadMonotonic() + ms;
    while (at != &loop->timers &&
           AqList_Entry(at, AqLoopTimer, link)->due > timer->due) {
        at = at->prev;
    }
    /* AqList_Prepend inserts after the list element that it is given. */
    AqList_Prepend(at, &timer->link);
}

void
AqLoopTimer_Stop(AqLoopTimer *timer)
{
    AqList_Remove(&timer->link);
}

void
AqTestLoop_Stop(AqTestLoop *loop)
{
    loop->stopped = true;
}

/* Fires the timers that were due when the iteration of the loop began.  Later
 * ones wait for the next iteration, since a timer that its own handler
 * restarts could otherwise keep the event sources from running. */
static void
fire_timers(AqTestLoop *loop)
{
    AqTime now = loop->now;
    while (!AqList_IsEmpty(&loop->timers)) {
        AqLoopTimer *timer =
            AqList_Entry(loop->timers.next, AqLoopTimer, link);
        if (timer->due > now) {
            return;
        }
        AqList_Remove(&timer->link);
        timer->fire(timer->context);
    }
}

/* Returns the shorter of two timeouts in ms.  A negative "a" means no limit; a
 * negative "b" means a time that has passed already. */
static int
shorter_timeout(int a, AqTime b)
{
    if (b < 0) {
        b = 0;
    }
    return a < 0 || b < a ? (int)b : a;
}

/* Returns the time in ms until the first timer fires, an event source must run
 * or the monotonic time "end" is reached, or -1 for no limit. */
static int
wait_limit(AqTestLoop *loop, AqTime end)
{
    int limit = -1;
    if (!AqList_IsEmpty(&loop->timers)) {
        AqLoopTimer *first =
            AqList_Entry(loop->timers.next, AqLoopTimer, link);
        limit = shorter_timeout(limit, first->due - loop->now);
    }
    if (end != AQ_TIME_NEVER) {
        limit = shorter_timeout(limit, end - loop->now);
    }
    AqList_ForEach(at, &loop->sources)
    {
        AqLoopSource *source = AqList_Entry(at, AqLoopSource, link);
        int ms = source->timeout != NULL ? source->timeout(source) : -1;
        if (ms >= 0) {
            limit = shorter_timeout(limit, ms);
        }
    }
    return limit;
}

static void
wait_for_events(AqTestLoop *loop, AqTime end)
{
    struct pollfd fds[MAX_SOURCES + 1];
    unsigned count = 1;
    fds[0] = (struct pollfd){.fd = loop->signal_fd, .events = POLLIN};
    AqList_ForEach(at, &loop->sources)
    {
        AqLoopSource *source = AqList_Entry(at, AqLoopSource, link);
        if (source->fd >= 0 && count <= MAX_SOURCES) {
            fds[count++] = (struct pollfd){.fd = source->fd, .events = POLLIN};
        }
    }
    loop->wait(loop->wait_context, fds, count, wait_limit(loop, end));
    struct signalfd_siginfo info;
    if (read(loop->signal_fd, &info, sizeof(info)) == sizeof(info)) {
        loop->stopped = true;
    }
    loop->now = AqClock_ReadMonotonic();
}

static void
run_iteration(AqTestLoop *loop, AqTime end)
{
    wait_for_events(loop, end);
    fire_timers(loop);
    AqList_ForEachSafe(at, after, &loop->sources)
    {
        AqLoopSource *source = AqList_Entry(at, AqLoopSource, link);
        source->run(source);
    }
}

void
AqTestLoop_Run(AqTestLoop *loop)
{
    while (!loop->stopped) {
        run_iteration(loop, AQ_TIME_NEVER);
    }
}

bool
AqTestLoop_RunUntil(AqTestLoop *loop, const bool *done, AqTime ms)
{
    loop->now = AqClock_ReadMonotonic();
    AqTime end = loop->now + ms;
    while (!*done && !loop->stopped && loop->now < end) {
        run_iteration(loop, end);
    }
    return *done;
}
