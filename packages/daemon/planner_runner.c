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
    MAX_ANSWER = 65536
};

struct PlannerRunner {
    Daemon *daemon;
    AqPlanner *planner;
    AqTimer timer;
    bool committing;
    bool removing;
    uint64_t steps;
    json_t *reboots; /* of the latest step */
};

/* ---- What the planner sees ---------------------------------------------- */

static const char *
listed(void *context, const char *vm)
{
    const Daemon *daemon = context;
    /* Until a list has arrived every VM counts as live. */
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
on_reboot(void *context, const AqHttpReply *reply)
{
    (void)context;
    if (reply->result != AQ_HTTP_DONE || reply->status >= 300) {
        AqLog_Event(AQ_LOG_WARNING, "reboot_not_taken", "status=%d error=%s",
                    reply->status, AqLog_Quote(reply->message));
    }
}

static void
ask_reboot(const Daemon *daemon, const char *vm)
{
    AqVmView view;
    char url[512];
    if (!AqFleet_GetVm(Daemon_Fleet(daemon), vm, &view) ||
        view.state != AQ_VM_REBOOTING) {
        return;
    }
    /* The same operation for the same reboot, so that repeats do nothing. */
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
        .max_response_bytes = MAX_ANSWER,
    };
    AqHttpClient_Start(daemon->http, &request, on_reboot, NULL);
}

static void
ask_reboots(PlannerRunner *task)
{
    size_t i;
    json_t *name;
    json_array_foreach(task->reboots, i, name)
    {
        ask_reboot(task->daemon, json_string_value(name));
    }
    json_array_clear(task->reboots);
}

/* ---- Steps -------------------------------------------------------------- */

static bool
evaluate(void *context, const AqFleet *fleet, int64_t wall_ms, json_t *set,
         AqError *error)
{
    PlannerRunner *task = context;
    (void)error;
    json_array_clear(task->reboots);
    AqPlanner_Step(task->planner, fleet, wall_ms, &planner_view, task->daemon,
                   set, task->reboots);
    return true;
}

static void
on_committed(void *context, CommitStatus status, int64_t version,
             const AqError *error)
{
    PlannerRunner *task = context;
    task->committing = false;
    if (status == COMMIT_REFUSED) {
        AqLog_Event(AQ_LOG_ERROR, "planner_step_refused", "error=%s",
                    AqLog_Quote(error->message));
    }
    else {
        AqLog_Event(AQ_LOG_DEBUG, "planner_step", "version=%lld",
                    (long long)version);
    }
}

/* Whether a step on the document in force would change anything; saves the
 * read of head that a commit begins with. */
static bool
has_work(PlannerRunner *task)
{
    json_t *set = json_array();
    evaluate(task, Daemon_Fleet(task->daemon), AqClock_ReadWall(), set, NULL);
    bool result = json_array_size(set) > 0;
    json_decref(set);
    return result;
}

static void
step(PlannerRunner *task)
{
    char op[160];
    if (!has_work(task)) {
        ask_reboots(task);
        return;
    }
    ask_reboots(task);
    snprintf(op, sizeof(op), "planner-%s-%llx-%llu",
             task->daemon->settings->node_id,
             (unsigned long long)task->daemon->instance,
             (unsigned long long)++task->steps);
    task->committing = true;
    Commits_Submit(task->daemon->commits, op, evaluate, on_committed, task);
}

static void
on_removed(void *context, CommitStatus status, int64_t version,
           const AqError *error)
{
    PlannerRunner *task = context;
    (void)error;
    task->removing = false;
    if (status == COMMIT_ACCEPTED || status == COMMIT_STORED) {
        AqLog_Event(AQ_LOG_WARNING, "member_removed", "version=%lld",
                    (long long)version);
    }
}

static void
remove_silent_member(PlannerRunner *task, AqTime now)
{
    const Daemon *daemon = task->daemon;
    const char *id = AqMembership_ToRemove(daemon->membership, now);
    if (id == NULL || task->removing) {
        return;
    }
    char op[200];
    snprintf(op, sizeof(op), "member-remove-%s-%lld", id,
             (long long)AqMembership_Epoch(daemon->membership));
    json_t *intent = json_pack("{s:s,s:s,s:{s:s}}", "op", op, "kind",
                               "member.remove", "args", "id", id);
    AqLog_Event(AQ_LOG_WARNING, "member_silent", "member=%s", id);
    task->removing = true;
    Commits_SubmitMember(daemon->commits, intent, on_removed, task);
    json_decref(intent);
}

bool
PlannerRunner_IsActive(const PlannerRunner *task)
{
    const Daemon *daemon = task->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    const char *id = daemon->settings->node_id;
    return daemon->phase == DAEMON_RUNNING &&
           AqMembership_IsMember(daemon->membership, id) &&
           AqMembership_IsFresh(daemon->membership, now) &&
           AqMembership_IsOwner(daemon->membership, now, "planner");
}

void
PlannerRunner_ListChanged(PlannerRunner *task)
{
    if (PlannerRunner_IsActive(task)) {
        has_work(task);
        AqTimer_Start(task->daemon->loop, &task->timer,
                      AqLoop_Now(task->daemon->loop));
    }
}

static void
on_timer(void *context)
{
    PlannerRunner *task = context;
    AqTime now = AqLoop_Now(task->daemon->loop);
    if (task->daemon->phase == DAEMON_RUNNING) {
        remove_silent_member(task, now);
    }
    if (!task->committing && PlannerRunner_IsActive(task)) {
        step(task);
    }
    AqTimer_Start(task->daemon->loop, &task->timer, now + PERIOD_MS);
}

PlannerRunner *
PlannerRunner_Create(Daemon *daemon)
{
    PlannerRunner *task = calloc(1, sizeof(*task));
    task->daemon = daemon;
    task->planner = AqPlanner_Create();
    task->reboots = json_array();
    AqTimer_Init(&task->timer, on_timer, task);
    AqTimer_Start(daemon->loop, &task->timer,
                  AqLoop_Now(daemon->loop) + PERIOD_MS);
    return task;
}

void
PlannerRunner_Destroy(PlannerRunner *task)
{
    if (task == NULL) {
        return;
    }
    AqTimer_Stop(&task->timer);
    AqPlanner_Destroy(task->planner);
    json_decref(task->reboots);
    free(task);
}
