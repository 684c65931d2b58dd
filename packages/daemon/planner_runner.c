#include "planner_runner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "commits.h"
#include "endpoints.h"
#include "vm_list.h"

enum {
    PERIOD_MS = 500,
    REBOOT_TIMEOUT_MS = 5000,
    MAX_RESPONSE_BYTES = 65536
};

struct PlannerRunner {
    Daemon *daemon;
    AqPlanner *planner;
    AqTimer timer;
    bool committing; /* a commit of the planner's changes is in progress */
    bool removing;   /* the commit of a member's removal is in progress */
    /* Number of commits of the planner's changes that this daemon has begun
     * since it started; part of the operation ids. */
    uint64_t steps;
    /* Ids of the VMs to reboot, as last decided by the planner. */
    json_t *reboots;
};

/* ---- View of the planner ------------------------------------------------ */

static const char *
listed(void *context, const char *vm)
{
    const Daemon *daemon = context;
    /* Until the first VM list has arrived from the platform, every VM counts
     * as live. */
    return VmList_IsKnown(daemon->vms) ? VmList_State(daemon->vms, vm)
                                       : "live";
}

static int64_t
in_flight(void *context, const char *vm, int64_t version)
{
    const Daemon *daemon = context;
    int64_t others =
        AqMembership_LeavingInFlight(daemon->membership, vm, version);
    return others < 0 ? -1 : others + AqRouter_InFlight(daemon->router, vm);
}

static bool
healthy_for(void *context, const char *vm, int64_t ms)
{
    const Daemon *daemon = context;
    return Endpoints_HealthyFor(daemon->endpoints, vm, ms);
}

static const AqPlannerView planner_view = {
    .listed = listed,
    .in_flight = in_flight,
    .healthy_for = healthy_for,
};

/* ---- Reboots ------------------------------------------------------------ */

static void
on_reboot_reply(void *context, const AqHttpReply *reply)
{
    (void)context;
    if (reply->result != AQ_HTTP_DONE || reply->status >= 300) {
        AqLog_Event(AQ_LOG_WARNING, "reboot_not_taken", "status=%d error=%s",
                    reply->status, AqLog_Quote(reply->message));
    }
}

static void
request_reboot(const Daemon *daemon, const char *vm)
{
    AqVmView view;
    char url[512];
    if (!AqFleet_GetVm(Daemon_Fleet(daemon), vm, &view) ||
        view.state != AQ_VM_REBOOTING) {
        return;
    }
    /* All repeats of one reboot request have the same operation id, so that
     * the platform ignores the repeats. */
    snprintf(url, sizeof(url), "%s/v1/vms/%s/reboot?op=%s-%lld",
             daemon->settings->store_url, vm, vm, (long long)view.since);
    AqHttpRequest request = {
        .method = "PUT",
        .url = url,
        .fresh_connection = true,
        .has_body = true,
        .body = "",
        .timeout_ms = REBOOT_TIMEOUT_MS,
        .connect_timeout_ms = daemon->settings->store_timeout_ms,
        .max_response_bytes = MAX_RESPONSE_BYTES,
    };
    AqHttpClient_Start(daemon->http, &request, on_reboot_reply, NULL);
}

static void
request_reboots(PlannerRunner *runner)
{
    size_t i;
    json_t *name;
    json_array_foreach(runner->reboots, i, name)
    {
        request_reboot(runner->daemon, json_string_value(name));
    }
    json_array_clear(runner->reboots);
}

/* ---- Steps -------------------------------------------------------------- */

static bool
evaluate(void *context, const AqFleet *fleet, int64_t wall_ms, json_t *set,
         AqError *error)
{
    PlannerRunner *runner = context;
    (void)error;
    json_array_clear(runner->reboots);
    AqPlanner_Step(runner->planner, fleet, wall_ms, &planner_view,
                   runner->daemon, set, runner->reboots);
    return true;
}

static void
on_committed(void *context, CommitStatus status, int64_t version,
             const AqError *error)
{
    PlannerRunner *runner = context;
    runner->committing = false;
    if (status == COMMIT_REFUSED) {
        AqLog_Event(AQ_LOG_ERROR, "planner_step_refused", "error=%s",
                    AqLog_Quote(error->message));
    }
    else {
        AqLog_Event(AQ_LOG_DEBUG, "planner_step", "version=%lld",
                    (long long)version);
    }
}

/* Whether the planner would change the fleet document in force.  If not, the
 * caller avoids a commit, which begins with a read from the store. */
static bool
has_work(PlannerRunner *runner)
{
    json_t *set = json_array();
    evaluate(runner, Daemon_Fleet(runner->daemon), AqClock_ReadWall(), set,
             NULL);
    bool result = json_array_size(set) > 0;
    json_decref(set);
    return result;
}

static void
step(PlannerRunner *runner)
{
    char op[160];
    if (!has_work(runner)) {
        request_reboots(runner);
        return;
    }
    request_reboots(runner);
    snprintf(op, sizeof(op), "planner-%s-%llx-%llu",
             runner->daemon->settings->node_id,
             (unsigned long long)runner->daemon->instance,
             (unsigned long long)++runner->steps);
    runner->committing = true;
    Commits_Submit(runner->daemon->commits, op, evaluate, on_committed,
                   runner);
}

static void
on_removed(void *context, CommitStatus status, int64_t version,
           const AqError *error)
{
    PlannerRunner *runner = context;
    (void)error;
    runner->removing = false;
    if (status == COMMIT_ACCEPTED || status == COMMIT_STORED) {
        AqLog_Event(AQ_LOG_WARNING, "member_removed", "version=%lld",
                    (long long)version);
    }
}

static void
remove_silent_member(PlannerRunner *runner, AqTime now)
{
    const Daemon *daemon = runner->daemon;
    const char *id = AqMembership_ToRemove(daemon->membership, now);
    if (id == NULL || runner->removing) {
        return;
    }
    char op[200];
    snprintf(op, sizeof(op), "member-remove-%s-%lld", id,
             (long long)AqMembership_Epoch(daemon->membership));
    json_t *intent = json_pack("{s:s,s:s,s:{s:s}}", "op", op, "kind",
                               "member.remove", "args", "id", id);
    AqLog_Event(AQ_LOG_WARNING, "member_silent", "member=%s", id);
    runner->removing = true;
    Commits_SubmitMember(daemon->commits, intent, on_removed, runner);
    json_decref(intent);
}

bool
PlannerRunner_IsActive(const PlannerRunner *runner)
{
    const Daemon *daemon = runner->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    const char *id = daemon->settings->node_id;
    return daemon->phase == DAEMON_RUNNING &&
           AqMembership_IsMember(daemon->membership, id) &&
           AqMembership_IsFresh(daemon->membership, now) &&
           AqMembership_IsOwner(daemon->membership, now, "planner");
}

void
PlannerRunner_ListChanged(PlannerRunner *runner)
{
    if (PlannerRunner_IsActive(runner)) {
        has_work(runner);
        AqTimer_Start(runner->daemon->loop, &runner->timer,
                      AqLoop_Now(runner->daemon->loop));
    }
}

static void
on_timer(void *context)
{
    PlannerRunner *runner = context;
    AqTime now = AqLoop_Now(runner->daemon->loop);
    if (runner->daemon->phase == DAEMON_RUNNING) {
        remove_silent_member(runner, now);
    }
    if (!runner->committing && PlannerRunner_IsActive(runner)) {
        step(runner);
    }
    AqTimer_Start(runner->daemon->loop, &runner->timer, now + PERIOD_MS);
}

PlannerRunner *
PlannerRunner_Create(Daemon *daemon)
{
    PlannerRunner *runner = calloc(1, sizeof(*runner));
    runner->daemon = daemon;
    runner->planner = AqPlanner_Create();
    runner->reboots = json_array();
    AqTimer_Init(&runner->timer, on_timer, runner);
    AqTimer_Start(daemon->loop, &runner->timer,
                  AqLoop_Now(daemon->loop) + PERIOD_MS);
    return runner;
}

void
PlannerRunner_Destroy(PlannerRunner *runner)
{
    if (runner == NULL) {
        return;
    }
    AqTimer_Stop(&runner->timer);
    AqPlanner_Destroy(runner->planner);
    json_decref(runner->reboots);
    free(runner);
}
