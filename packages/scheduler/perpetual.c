#include "aq_log.h"
#include "scheduler_internal.h"

/* Perpetual tasks.  The scheduler moves them off a cordoned VM within their
 * step's limit on missing tasks, and off a draining VM regardless of the
 * limit.  Fillers are tasks that use only CPU that others leave.  The
 * scheduler slows them when a serving task on the same VM, which has a latency
 * target, comes near that target, before it exceeds the target. */

enum {
    SCAN_PERIOD_MS = 20,
    /* a task counts as absent (not at work) when its VM has not replied for
     * longer than this, about twice the longest interval between two replies
     * to lease renewals of a VM with tasks */
    NO_REPLY_LIMIT_MS = 900,
    /* Tail latency of a serving task (it has a latency target), in percent of
     * that target: above SLOW_DOWN_PERCENT the scheduler slows the fillers
     * (tasks that use only CPU that others leave) on the serving task's VM, up
     * to SPEED_UP_PERCENT it speeds them up again. */
    SLOW_DOWN_PERCENT = 85,
    SPEED_UP_PERCENT = 55,
    /* Least time from one change of the speed limit (pace) of a filler, a task
     * that uses only CPU that others leave, until the scheduler raises or
     * lowers that limit again. */
    PACE_UP_DELAY_MS = 1500,
    PACE_DOWN_DELAY_MS = 400,
    /* Interval at which an order that stops a filler is repeated while the
     * serving tasks stay near their target: an earlier order without a reply
     * may have been carried out after it. */
    PACE_REPEAT_MS = 1000,
    PACE_STEP_UP_PERCENT = 20,
    FULL_PACE_PERCENT = 100
};

/* Whether the task is not at work (running and started up), or may not be at
 * work because its VM is silent or has not replied for NO_REPLY_LIMIT_MS. */
static bool
is_absent(const AqScheduler *s, const Task *task)
{
    return task->absent_since != AQ_TIME_NEVER || task->vm == NULL ||
           task->vm->silent_since != AQ_TIME_NEVER ||
           s->now - task->vm->clock_at > NO_REPLY_LIMIT_MS;
}

/* Number of the step's tasks, without "except", that are not at work (running
 * and started up), or that may not be at work because their VM does not
 * reply. */
static uint32_t
count_absent(const AqScheduler *s, const Step *step, const Task *except)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        count += task != except && is_absent(s, task);
    }
    return count;
}

/* Whether an unconfirmed stop order for a task of the step is on its way to a
 * VM that replies and is not draining.  That task counts against the step's
 * limit on missing tasks, and a stop order sent later to another VM may arrive
 * first. */
static bool
is_stop_under_way(const Step *step)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        if (task->state == TASK_STOPPING && !task->is_stop_acked &&
            !task->vm->report.is_draining &&
            task->vm->silent_since == AQ_TIME_NEVER) {
            return true;
        }
    }
    return false;
}

/* Whether the task may be stopped now to move off this VM.  The step's limit
 * on missing tasks does not apply on a draining VM. */
static bool
may_move_away(const AqScheduler *s, const Vm *vm, const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    if (!spec->limits_missing) {
        return true;
    }
    return vm->report.is_draining
               ? !is_stop_under_way(task->step)
               : count_absent(s, task->step, task) < spec->may_miss;
}

/* Whether a usable VM other than "vm" has room for a task of the step. */
static bool
fits_on_other_vm(const AqScheduler *s, const Vm *vm, const AqStepSpec *spec)
{
    AqList_ForEach(at, &s->vms)
    {
        const Vm *other = AqList_Entry(at, Vm, link);
        if (other != vm && vms_is_usable(s, other) &&
            other->used_memory + spec->memory_mb <= other->report.memory_mb &&
            (spec->is_filler ||
             other->used_cpu + spec->cpu_millis <= other->report.cpu_millis)) {
            return true;
        }
    }
    return false;
}

/* Orders the stop of each perpetual task on the VM that may be stopped now
 * (see may_move_away()) and fits on another VM. */
static void
move_perpetual(AqScheduler *s, const Vm *vm)
{
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (!task->step->spec->is_perpetual || task->state != TASK_RUNNING ||
            !may_move_away(s, vm, task) ||
            !fits_on_other_vm(s, vm, task->step->spec)) {
            continue;
        }
        AqLog_Event(AQ_LOG_INFO, "lasting_task_moved",
                    "request=%s step=%u task=%u vm=%s reason=%s",
                    task->step->occurrence->job->spec.id, task->step->number,
                    task->index, vm->report.id,
                    vm->report.is_draining ? "draining" : "cordoned");
        if (task->absent_since == AQ_TIME_NEVER) {
            task->absent_since = s->now;
        }
        replies_order_stop(s, task);
    }
}

/* ---- Pacing ------------------------------------------------------------- */

typedef struct {
    /* a serving task (task with a latency target) on the VM has a tail latency
     * above SLOW_DOWN_PERCENT of its target */
    bool is_near_target;
    /* no serving task (task with a latency target) on the VM has a tail
     * latency above SPEED_UP_PERCENT of its target */
    bool is_far_below_target;
    bool has_serving;
} LatencyPressure;

static LatencyPressure
measure_pressure(const Vm *vm)
{
    LatencyPressure pressure = {.is_far_below_target = true};
    AqList_ForEach(at, &vm->tasks)
    {
        const Task *task = AqList_Entry(at, Task, link);
        AqTime target = task->step->spec->latency_target_ms;
        if (target <= 0 || task->state != TASK_RUNNING) {
            continue;
        }
        pressure.has_serving = true;
        if (task->usage * 100 > target * SLOW_DOWN_PERCENT) {
            pressure.is_near_target = true;
        }
        if (task->usage * 100 > target * SPEED_UP_PERCENT) {
            pressure.is_far_below_target = false;
        }
    }
    return pressure;
}

static void
set_pace(AqScheduler *s, const Vm *vm, Task *task, int percent)
{
    AqOrderTarget target;
    AqTaskName name;
    scheduler_name_task(task, &name);
    vms_target(vm, &target);
    AqLog_Event(AQ_LOG_INFO, "filler_paced",
                "request=%s step=%u task=%u vm=%s from=%d to=%d", name.job,
                name.step, name.index, vm->report.id, task->pace, percent);
    task->pace = percent;
    task->pace_changed_at = s->now;
    task->is_pace_unconfirmed = false;
    s->counters.paced++;
    s->actions.pace(s->context, &target, &name, task->run, percent);
}

/* Lowers or raises by one step the speed limit of each filler (task that uses
 * only CPU that others leave) on the VM, if the tail latencies of the VM's
 * serving tasks require or allow it and the filler's limit last changed long
 * enough ago. */
static void
pace_fillers(AqScheduler *s, const Vm *vm)
{
    LatencyPressure pressure = measure_pressure(vm);
    AqList_ForEach(at, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (!task->step->spec->is_filler || task->state != TASK_RUNNING) {
            continue;
        }
        AqTime since = s->now - task->pace_changed_at;
        if (pressure.is_near_target && task->pace > 0 &&
            since >= PACE_DOWN_DELAY_MS) {
            set_pace(s, vm, task, task->pace > 30 ? task->pace / 2 : 0);
        }
        else if (task->pace < FULL_PACE_PERCENT && since >= PACE_UP_DELAY_MS &&
                 (pressure.is_far_below_target || !pressure.has_serving)) {
            int percent = task->pace + PACE_STEP_UP_PERCENT;
            set_pace(s, vm, task,
                     percent > FULL_PACE_PERCENT ? FULL_PACE_PERCENT
                                                 : percent);
        }
        else if ((task->is_pace_unconfirmed && since >= PACE_DOWN_DELAY_MS) ||
                 (pressure.is_near_target && since >= PACE_REPEAT_MS)) {
            set_pace(s, vm, task, task->pace);
        }
    }
}

void
AqScheduler_OnPace(AqScheduler *s, const char *id, const AqTaskName *name,
                   int64_t run, const AqOrderReply *reply, AqTime now)
{
    s->now = now;
    const Vm *vm = vms_find(s, id);
    Task *task = scheduler_find_task(s, name);
    if (vm != NULL && task != NULL && task->vm == vm && task->run == run) {
        task->is_pace_unconfirmed = reply->result != AQ_ORDER_DONE;
    }
}

void
perpetual_tick(AqScheduler *s)
{
    if (s->now < s->next_scan_at) {
        return;
    }
    s->next_scan_at = s->now + SCAN_PERIOD_MS;
    replies_tick(s);
    /* Draining VMs first: tasks that are moved off draining VMs count as
     * missing when tasks are moved off cordoned VMs. */
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (vm->report.is_draining) {
            move_perpetual(s, vm);
        }
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (vm->is_cordoned && !vm->report.is_draining) {
            move_perpetual(s, vm);
        }
        pace_fillers(s, vm);
    }
}
