#include "stopping.h"

#include <stdio.h>
#include <stdlib.h>

#include "aq_log.h"
#include "callers.h"
#include "commits.h"

enum {
    CHECK_PERIOD_MS = 50,
    /* Longest time for this daemon to remove itself from the epoch (set of
     * members).  After that the other members remove this daemon. */
    LEAVE_TIMEOUT_MS = 8000
};

struct Stopping {
    Daemon *daemon;
    AqTimer timer;
    AqTime phase_since;
    /* Time until which a stop waits for the end of callers' requests in
     * flight. */
    AqTime drain_deadline;
    /* Time until which the removal of this daemon from the epoch (set of
     * members), if it was refused, is submitted again. */
    AqTime leave_deadline;
    int leave_attempts;
};

static void
enter(Stopping *stopping, DaemonPhase phase)
{
    static const char *const names[] = {"running", "unready", "draining",
                                        "leaving"};
    stopping->daemon->phase = phase;
    stopping->phase_since = AqLoop_Now(stopping->daemon->loop);
    AqLog_Event(AQ_LOG_INFO, "stopping", "phase=%s", names[phase]);
}

static void
on_left(void *context, CommitStatus status, int64_t version,
        const AqError *error)
{
    Stopping *stopping = context;
    AqTime now = AqLoop_Now(stopping->daemon->loop);
    (void)version;
    if (status == COMMIT_REFUSED && error->kind == AQ_ERR_CONFLICT &&
        now < stopping->leave_deadline) {
        /* This daemon's removal from the epoch (set of members) was refused
         * because the epoch is changing for another member.  The timer submits
         * the removal again after CHECK_PERIOD_MS. */
        AqTimer_Start(stopping->daemon->loop, &stopping->timer,
                      now + CHECK_PERIOD_MS);
        return;
    }
    if (status != COMMIT_ACCEPTED && status != COMMIT_STORED) {
        AqLog_Event(AQ_LOG_WARNING, "leave_not_stored",
                    "error=%s remedy=\"the other members remove this one "
                    "after 5 s\"",
                    AqLog_Quote(error->message));
    }
    AqLoop_Stop(stopping->daemon->loop);
}

static void
leave(Stopping *stopping)
{
    const Daemon *daemon = stopping->daemon;
    char op[200];
    snprintf(op, sizeof(op), "member-leave-%s-%llx-%d",
             daemon->settings->node_id, (unsigned long long)daemon->instance,
             ++stopping->leave_attempts);
    json_t *intent =
        json_pack("{s:s,s:s,s:{s:s}}", "op", op, "kind", "member.remove",
                  "args", "id", daemon->settings->node_id);
    Commits_SubmitMember(daemon->commits, intent, on_left, stopping);
    json_decref(intent);
}

static void
on_timer(void *context)
{
    Stopping *stopping = context;
    Daemon *daemon = stopping->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    if (daemon->phase == DAEMON_UNREADY &&
        now - stopping->phase_since >=
            daemon->settings->stop_balancer_wait_ms) {
        enter(stopping, DAEMON_DRAINING);
        Callers_StopListening(daemon->callers);
        AqRouter_Stop(daemon->router, now);
    }
    if (daemon->phase == DAEMON_DRAINING &&
        (Callers_Pending(daemon->callers) == 0 ||
         now >= stopping->drain_deadline)) {
        enter(stopping, DAEMON_LEAVING);
        stopping->leave_deadline = now + LEAVE_TIMEOUT_MS;
    }
    if (daemon->phase == DAEMON_LEAVING) {
        leave(stopping);
    }
    else {
        AqTimer_Start(daemon->loop, &stopping->timer, now + CHECK_PERIOD_MS);
    }
}

Stopping *
Stopping_Create(Daemon *daemon)
{
    Stopping *stopping = calloc(1, sizeof(*stopping));
    stopping->daemon = daemon;
    AqTimer_Init(&stopping->timer, on_timer, stopping);
    return stopping;
}

void
Stopping_Destroy(Stopping *stopping)
{
    if (stopping == NULL) {
        return;
    }
    AqTimer_Stop(&stopping->timer);
    free(stopping);
}

void
Stopping_Begin(Stopping *stopping)
{
    Daemon *daemon = stopping->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    if (daemon->phase != DAEMON_RUNNING) {
        AqLog_Event(AQ_LOG_WARNING, "stop_forced", "pending=%zu",
                    Callers_Pending(daemon->callers));
        AqLoop_Stop(daemon->loop);
        return;
    }
    enter(stopping, DAEMON_UNREADY);
    stopping->drain_deadline = now + daemon->settings->stop_limit_ms;
    Callers_CloseAfterResponse(daemon->callers);
    AqTimer_Start(daemon->loop, &stopping->timer, now);
}
