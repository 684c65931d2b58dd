#include <string.h>

#include "scheduler_internal.h"

/* What a scheduler waits for that starts no task although tasks are ready. */

enum {
    CHECK_INTERVAL_MS = 200,
    /* VMs that are named in one description, so that a log line stays short
     */
    MAX_NAMED_VMS = 6
};

static const char *const vm_state_names[VM_STATES] = {
    "usable",     "unlisted", "ended",       "not_heard", "silent",
    "unrecorded", "draining", "quarantined", "cordoned"};

static const char *const placement_names[PLACEMENT_RESULTS] = {
    "startable",  "blocked",   "no_room", "label",
    "step_limit", "no_ticket", "suspect", "capped"};

/* ---- Ready tasks -------------------------------------------------------- */

static bool
may_start_tasks(const AqScheduler *s, const Job *job)
{
    return s->is_recovered || job->is_new;
}

/* Whether the step has a ready task that does not wait for room at its place
 * while there is room elsewhere. */
static bool
has_due_task(const AqScheduler *s, const Step *step)
{
    if (step->ready == 0 || s->config.place_wait_ms == 0) {
        return step->ready > 0;
    }
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        if (task->state == TASK_READY && !places_is_waiting(s, task)) {
            return true;
        }
    }
    return false;
}

static bool
has_ready_step(const AqScheduler *s, const Job *job)
{
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            if (has_due_task(s, &occurrence->steps[i])) {
                return true;
            }
        }
    }
    return false;
}

static bool
has_ready_task(const AqScheduler *s)
{
    AqList_ForEach(at, &s->active)
    {
        if (has_ready_step(s, AqList_Entry(at, Job, link))) {
            return true;
        }
    }
    return false;
}

/* Tasks on VMs that wait for the reply to a start or stop order. */
typedef struct {
    size_t starting;
    size_t stopping;
    AqTime oldest_start; /* AQ_TIME_NEVER: none is starting */
} PendingTasks;

static PendingTasks
count_pending(const AqScheduler *s)
{
    PendingTasks pending = {.oldest_start = AQ_TIME_NEVER};
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        AqList_ForEach(each, &vm->tasks)
        {
            const Task *task = AqList_Entry(each, Task, link);
            pending.stopping += task->state == TASK_STOPPING;
            if (task->state == TASK_STARTING) {
                pending.starting++;
                if (task->start_sent_at < pending.oldest_start) {
                    pending.oldest_start = task->start_sent_at;
                }
            }
        }
    }
    return pending;
}

void
start_stall_tick(AqScheduler *s)
{
    if (s->now < s->next_stall_check_at) {
        return;
    }
    s->next_stall_check_at = s->now + CHECK_INTERVAL_MS;
    if (!has_ready_task(s) && count_pending(s).starting == 0) {
        s->no_start_since = s->now;
    }
}

AqTime
AqScheduler_StartWait(const AqScheduler *s)
{
    return s->now - s->no_start_since;
}

/* ---- Reasons ------------------------------------------------------------ */

static void
describe_recovery(const AqScheduler *s, AqBuffer *out)
{
    size_t count = 0;
    AqBuffer_Printf(out, "reason=not_recovered age_ms=%lld awaited=",
                    (long long)(s->now - s->created_at));
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (!vms_is_awaited(s, vm)) {
            continue;
        }
        if (count < MAX_NAMED_VMS) {
            AqTime since = vms_silent_since(s, vm);
            AqBuffer_Printf(out, "%s%s:%lld", count > 0 ? "," : "",
                            vm->report.id, (long long)(s->now - since));
        }
        count++;
    }
    AqBuffer_Printf(out, " awaited_vms=%zu unconfirmed=%d", count,
                    AqScheduler_AwaitsConfirmation(s));
}

/* Counts the VMs by state; returns whether one is usable. */
static bool
describe_vms(const AqScheduler *s, AqBuffer *out)
{
    size_t counts[VM_STATES] = {0};
    AqTime longest = 0;
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        VmState state = vms_state(s, vm);
        counts[state]++;
        if (state == VM_SILENT && s->now - vm->silent_since > longest) {
            longest = s->now - vm->silent_since;
        }
    }
    for (int i = 0; i < VM_STATES; i++) {
        if (counts[i] > 0) {
            AqBuffer_Printf(out, " %s=%zu", vm_state_names[i], counts[i]);
        }
    }
    if (longest > 0) {
        AqBuffer_Printf(out, " silent_ms=%lld", (long long)longest);
    }
    return counts[VM_USABLE] > 0;
}

/* For each reason, the number of ready tasks that do not start for it. */
typedef struct {
    size_t counts[PLACEMENT_RESULTS];
    size_t paused; /* their earliest start time has not come */
    size_t unrecovered;
    size_t ready;
} Obstacles;

/* Returns the obstacle of the VM that is nearest to running the task. */
static PlacementResult
find_obstacle(const AqScheduler *s, const Task *task)
{
    /* from the nearest to the farthest */
    static const PlacementResult order[] = {
        PLACEMENT_POSSIBLE,   PLACEMENT_NO_TICKET, PLACEMENT_BLOCKED,
        PLACEMENT_STEP_LIMIT, PLACEMENT_SUSPECT,   PLACEMENT_OTHER_LABEL,
        PLACEMENT_NO_ROOM};
    bool found[PLACEMENT_RESULTS] = {false};
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (vms_is_usable(s, vm)) {
            found[placement_check(s, vm, task)] = true;
        }
    }
    uint32_t count =
        task->step->spec->is_gang ? task->step->spec->task_count : 1;
    if (found[PLACEMENT_POSSIBLE] &&
        !workspace_caps_has_room(task->step, count)) {
        return PLACEMENT_CAPPED;
    }
    size_t nearest = 0;
    while (nearest + 1 < G_N_ELEMENTS(order) && !found[order[nearest]]) {
        nearest++;
    }
    return order[nearest];
}

static void
add_step(const AqScheduler *s, const Step *step, Obstacles *obstacles)
{
    const Job *job = step->occurrence->job;
    PlacementResult obstacle = PLACEMENT_RESULTS;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        if (task->state != TASK_READY) {
            continue;
        }
        obstacles->ready++;
        if (!may_start_tasks(s, job)) {
            obstacles->unrecovered++;
        }
        else if (task->not_before > s->now) {
            obstacles->paused++;
        }
        else {
            if (obstacle == PLACEMENT_RESULTS) {
                /* Each task of the step needs the same. */
                obstacle = find_obstacle(s, task);
            }
            obstacles->counts[obstacle]++;
        }
    }
}

static Obstacles
find_obstacles(const AqScheduler *s)
{
    Obstacles obstacles = {0};
    AqList_ForEach(at, &s->active)
    {
        const Job *job = AqList_Entry(at, Job, link);
        AqList_ForEach(each, &job->occurrences)
        {
            const Occurrence *occurrence =
                AqList_Entry(each, Occurrence, link);
            for (size_t i = 0; i < job->spec.step_count; i++) {
                add_step(s, &occurrence->steps[i], &obstacles);
            }
        }
    }
    return obstacles;
}

static void
describe_obstacles(const Obstacles *obstacles, AqBuffer *out)
{
    size_t most = 0;
    const char *reason = "startable";
    for (int i = PLACEMENT_POSSIBLE + 1; i < PLACEMENT_RESULTS; i++) {
        if (obstacles->counts[i] > most) {
            most = obstacles->counts[i];
            reason = placement_names[i];
        }
    }
    if (obstacles->counts[PLACEMENT_POSSIBLE] > 0) {
        reason = placement_names[PLACEMENT_POSSIBLE];
    }
    else if (obstacles->paused > most) {
        reason = "paused";
    }
    AqBuffer_Printf(out, "reason=%s", reason);
    for (int i = 0; i < PLACEMENT_RESULTS; i++) {
        if (obstacles->counts[i] > 0) {
            AqBuffer_Printf(out, " %s=%zu", placement_names[i],
                            obstacles->counts[i]);
        }
    }
    if (obstacles->paused > 0) {
        AqBuffer_Printf(out, " paused=%zu", obstacles->paused);
    }
}

static void
describe_reason(const AqScheduler *s, const Obstacles *obstacles,
                const PendingTasks *pending, AqBuffer *out)
{
    const StartWindow *window = &s->start_window;
    if (!s->is_loaded) {
        AqBuffer_Printf(out, "reason=not_loaded age_ms=%lld",
                        (long long)(s->now - s->created_at));
    }
    else if (s->is_superseded) {
        AqBuffer_Printf(out, "reason=superseded");
    }
    else if (s->is_closed) {
        AqBuffer_Printf(out, "reason=closed");
    }
    else if (!s->may_order) {
        AqBuffer_Printf(out, "reason=may_not_order");
    }
    else if (obstacles->ready == 0) {
        AqTime since = pending->oldest_start;
        AqBuffer_Printf(
            out, "reason=starts_unconfirmed oldest_ms=%lld",
            (long long)(pending->starting > 0 ? s->now - since : 0));
    }
    else if (obstacles->unrecovered == obstacles->ready) {
        describe_recovery(s, out);
    }
    else if (!start_window_is_open(window)) {
        AqBuffer_Printf(out,
                        "reason=window_closed in_flight=%u size=%u "
                        "closed_ms=%lld",
                        window->in_flight, (unsigned)window->size,
                        (long long)(s->now - window->closed_since));
    }
    else {
        AqBuffer vms;
        AqBuffer_Init(&vms);
        if (describe_vms(s, &vms)) {
            describe_obstacles(obstacles, out);
        }
        else {
            AqBuffer_Printf(out, "reason=no_usable_vm");
        }
        AqBuffer_Append(out, vms.bytes, vms.size);
        AqBuffer_Clear(&vms);
    }
}

void
AqScheduler_DescribeStartWait(const AqScheduler *s, AqBuffer *out)
{
    Obstacles obstacles = find_obstacles(s);
    PendingTasks pending = count_pending(s);
    describe_reason(s, &obstacles, &pending, out);
    AqBuffer_Printf(out, " ready=%zu starting=%zu stopping=%zu",
                    obstacles.ready, pending.starting, pending.stopping);
}
