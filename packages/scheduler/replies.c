#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "scheduler_internal.h"

enum {
    RESEND_MS = 150,
    NO_ROOM_PAUSE_MS = 150,
    UNHEALTHY_PAUSE_MS = 1000,
    INVALID_PAUSE_MS = 2000,
    /* The scheduler stops a run, and starts its task on another VM, when the
     * percent of the task's work that the run reports as done has not changed
     * for STALL_MS plus the task's declared duration divided by
     * STALL_ESTIMATE_DIVISOR. */
    STALL_MS = 1200,
    STALL_ESTIMATE_DIVISOR = 25,
    /* A perpetual task that reports a percent below 100 is still starting up,
     * which takes 1 to 2 s.  The scheduler stops it when that percent has not
     * changed for this time. */
    PERPETUAL_START_LIMIT_MS = 5000
};

static void
log_task(AqLogLevel level, const char *event, const Task *task, const Vm *vm,
         const AqScheduler *s, const char *outcome)
{
    AqTaskName name;
    scheduler_name_task(task, &name);
    AqLog_Event(level, event,
                "request=%s occurrence=%u step=%u task=%u run=%lld vm=%s "
                "fence=%llu outcome=%s failures=%u heard_ms_ago=%lld",
                name.job, name.occurrence, name.step, name.index,
                (long long)task->run, vm != NULL ? vm->report.id : "-",
                (unsigned long long)s->config.fence, outcome, task->failures,
                (long long)(vm != NULL ? s->now - vm->clock_at : -1));
}

void
replies_log_lost(const AqScheduler *s, const Task *task, const char *reason)
{
    log_task(AQ_LOG_WARNING, "run_lost", task, task->vm, s, reason);
}

void
replies_log_copy(const AqScheduler *s, const Task *task)
{
    log_task(AQ_LOG_INFO, "run_copied", task, task->vm, s, "vm_silent");
}

/* ---- Stops -------------------------------------------------------------- */

static void
send_stop(AqScheduler *s, Task *task)
{
    AqOrderTarget target;
    AqTaskName name;
    scheduler_name_task(task, &name);
    vms_target(task->vm, &target);
    task->is_order_pending = true;
    s->actions.stop(s->context, &target, &name, task->run);
}

void
replies_order_stop(AqScheduler *s, Task *task)
{
    if (task->state == TASK_STARTING && task->is_order_pending) {
        task->must_stop_after_reply = true;
        return;
    }
    if (task->state == TASK_STOPPING) {
        return;
    }
    task->start_seq = 0;
    task->state = TASK_STOPPING;
    task->is_stop_acked = false;
    task->must_stop_after_reply = false;
    task->resend_at = s->now;
    if (s->may_order && !task->is_order_pending) {
        send_stop(s, task);
    }
}

void
replies_stop_stray(AqScheduler *s, const Vm *vm, const AqTaskName *name,
                   int64_t run)
{
    AqOrderTarget target;
    vms_target(vm, &target);
    AqLog_Event(AQ_LOG_WARNING, "stray_run_stopped",
                "request=%s step=%u task=%u run=%lld vm=%s fence=%llu",
                name->job, name->step, name->index, (long long)run,
                vm->report.id, (unsigned long long)s->config.fence);
    if (s->may_order) {
        s->actions.stop(s->context, &target, name, run);
    }
}

/* Orders the stop of the task's current run because another run of the task
 * replaces the current one.  Until the run has ended, its resources count as
 * foreign usage of the VM: usage by runs that are not the current run of any
 * task of this scheduler. */
static void
stop_superseded_run(AqScheduler *s, Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    Vm *vm = task->vm;
    SupersededRun superseded = {.run = task->run,
                                .cpu_millis =
                                    spec->is_filler ? 1 : spec->cpu_millis + 1,
                                .memory_mb = spec->memory_mb,
                                .gpus = spec->gpus,
                                .stopped_at = AQ_TIME_NEVER,
                                .start_expires_at = vms_start_expiry(s)};
    const char *workspace = task->step->occurrence->job->spec.workspace;
    superseded.workspace = g_intern_string(workspace);
    scheduler_name_task(task, &superseded.task);
    g_array_append_val(vm->superseded, superseded);
    vm->foreign_cpu += superseded.cpu_millis;
    vm->foreign_memory += superseded.memory_mb;
    workspace_caps_add_foreign(vm, workspace, spec);
    replies_stop_stray(s, vm, &superseded.task, task->run);
    vms_detach(s, task);
}

/* Records what the reply to an order of any kind shows about the VM and this
 * owner of the pool.  Returns true when the caller has nothing more to do for
 * the reply: a later owner of the pool exists, or the VM was removed from the
 * scheduler's table of VMs and *vm was freed. */
static bool
handle_common_result(AqScheduler *s, Vm *vm, const AqOrderReply *reply)
{
    switch (reply->result) {
    case AQ_ORDER_FENCED:
        if (!s->is_superseded) {
            s->is_superseded = true;
            s->actions.superseded(s->context);
        }
        return true;
    case AQ_ORDER_OTHER_LIFE:
        AqLog_Event(AQ_LOG_WARNING, "vm_ended", "vm=%s reason=other_life",
                    vm->report.id);
        crashes_record_vm(s, vm);
        vms_remove(s, vm);
        return true;
    case AQ_ORDER_UNKNOWN:
    case AQ_ORDER_NOT_SENT:
        vms_on_no_reply(s, vm);
        return false;
    default:
        vms_on_reply(s, vm, reply);
        return false;
    }
}

/* Clears is_order_pending of the named task when a start or stop order for run
 * number "run" of the task has ended.  Returns the task, or NULL when "run" is
 * no longer the task's run on the VM. */
static Task *
finish_order(const AqScheduler *s, const Vm *vm, const AqTaskName *name,
             int64_t run)
{
    Task *task = scheduler_find_task(s, name);
    if (task == NULL || task->vm != vm || task->run != run) {
        return NULL;
    }
    task->is_order_pending = false;
    return task;
}

/* ---- Start -------------------------------------------------------------- */

static void
confirm_start(AqScheduler *s, Task *task)
{
    Job *job = task->step->occurrence->job;
    task->state = TASK_RUNNING;
    task->started_at = s->now;
    task->progress_at = s->now;
    task->listed_after = s->now;
    task->may_start_late = false;
    s->no_start_since = s->now;
    s->counters.starts++;
    if (job->stage == AQ_STAGE_WAITING) {
        job->stage = AQ_STAGE_RUNNING;
        scheduler_changed(s, job);
    }
    job->has_started = true;
    if (task->must_stop_after_reply) {
        replies_order_stop(s, task);
    }
}

/* Makes the task, whose start order had no effect on the VM, ready for a new
 * run after "pause" ms.  An earlier start order for the same run that had no
 * reply may still be executed, which only a stop order rules out; the task's
 * run is then stopped first. */
static void
handle_refused_start(AqScheduler *s, Task *task, AqTime pause)
{
    s->counters.starts_refused++;
    if (task->may_start_late) {
        task->state = TASK_RUNNING;
        replies_order_stop(s, task);
        return;
    }
    scheduler_requeue_task(s, task);
    task->not_before = s->now + pause;
}

/* Counts a start order as ended; "task" is NULL if its run is no longer known.
 * More tasks may be placed then. */
static void
end_start_order(AqScheduler *s, const Task *task, const AqOrderReply *reply)
{
    bool was_open = start_window_is_open(&s->start_window);
    bool has_latency = task != NULL && reply->result != AQ_ORDER_UNKNOWN &&
                       reply->result != AQ_ORDER_NOT_SENT;
    start_window_ended(&s->start_window,
                       has_latency ? s->now - task->start_sent_at : -1,
                       s->now);
    s->placement_due |= !was_open;
}

void
AqScheduler_OnStart(AqScheduler *s, const char *id, const AqTaskName *name,
                    int64_t run, const AqOrderReply *reply, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, id);
    Task *task = vm != NULL ? finish_order(s, vm, name, run) : NULL;
    end_start_order(s, task, reply);
    if (vm == NULL) {
        return;
    }
    AqOrderReply current = vm_restart_filter_reply(s, vm, reply, false);
    reply = &current;
    if (task != NULL && (task->vm != vm || task->run != run)) {
        task = NULL; /* the VM has started again */
    }
    if (task != NULL && reply->result == AQ_ORDER_UNKNOWN) {
        task->has_unanswered_start = true;
    }
    if (task != NULL && reply->result != AQ_ORDER_DONE) {
        log_task(AQ_LOG_WARNING, "start_refused", task, vm, s,
                 AqOrderResult_Name(reply->result));
    }
    if (handle_common_result(s, vm, reply) || task == NULL ||
        task->state != TASK_STARTING) {
        return;
    }
    switch (reply->result) {
    case AQ_ORDER_DONE:
        confirm_start(s, task);
        break;
    case AQ_ORDER_NO_ROOM:
        vm->blocked_until = now + NO_ROOM_PAUSE_MS;
        handle_refused_start(s, task, 0);
        break;
    case AQ_ORDER_UNHEALTHY:
        vm->quarantined_until = now + UNHEALTHY_PAUSE_MS;
        handle_refused_start(s, task, 0);
        break;
    case AQ_ORDER_OLD_RUN:
        if (task->may_start_late) {
            /* An earlier start order for this run had no reply but was
             * executed, and the run has ended; the VM's reply to the next
             * lease renewal lists that end. */
            confirm_start(s, task);
        }
        else {
            handle_refused_start(s, task, 0);
        }
        break;
    case AQ_ORDER_UNKNOWN:
        task->may_start_late = true;
        task->resend_at = now + RESEND_MS;
        break;
    case AQ_ORDER_INVALID:
        handle_refused_start(s, task, INVALID_PAUSE_MS);
        break;
    /* the start order reached the VM after the order's lease deadline, was not
     * sent, or had no valid ticket (permission of the advice service to start
     * the task on this VM) */
    default:
        handle_refused_start(s, task, RESEND_MS);
        break;
    }
}

/* ---- Stop --------------------------------------------------------------- */

void
AqScheduler_OnStop(AqScheduler *s, const char *id, const AqTaskName *name,
                   int64_t run, const AqOrderReply *reply, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, id);
    if (vm == NULL) {
        return;
    }
    AqOrderReply current = vm_restart_filter_reply(s, vm, reply, false);
    reply = &current;
    Task *task = finish_order(s, vm, name, run);
    bool is_confirmed =
        reply->result == AQ_ORDER_DONE || reply->result == AQ_ORDER_OLD_RUN;
    if (is_confirmed) {
        superseded_note_stop(s, vm, name, run);
    }
    if (handle_common_result(s, vm, reply) || task == NULL ||
        task->state != TASK_STOPPING) {
        return;
    }
    if (is_confirmed) {
        task->is_stop_acked = true;
        task->listed_after = now;
    }
    else {
        task->resend_at = now + RESEND_MS;
    }
}

/* ---- Renewal: ends ------------------------------------------------------ */

static void
set_checkpoint(Task *task, const char *checkpoint)
{
    if (checkpoint[0] == '\0' || (task->checkpoint != NULL &&
                                  strcmp(task->checkpoint, checkpoint) == 0)) {
        return;
    }
    free(task->checkpoint);
    task->checkpoint = strdup(checkpoint);
}

static void
apply_end(AqScheduler *s, Vm *vm, Task *task, const AqEndedTask *end)
{
    static const char *const names[] = {
        "done", "failed", "stopped", "lapsed", "broken", "alone", "other"};
    log_task(AQ_LOG_INFO, "run_ended", task, vm, s, names[end->kind]);
    if (end->kind == AQ_END_DONE) {
        vms_record_result(s, vm, task, false);
        if (task->vm != NULL && (task->vm != vm || task->run != end->run)) {
            stop_superseded_run(s, task);
        }
        scheduler_task_done(s, task);
        return;
    }
    if (task->state == TASK_DONE) {
        return;
    }
    bool is_latest =
        end->run >= task->run && (task->vm == NULL || task->vm == vm);
    if (is_latest) {
        task->run = end->run;
        set_checkpoint(task, end->checkpoint);
        scheduler_requeue_task(s, task);
    }
    if (end->kind == AQ_END_FAILED) {
        vms_record_result(s, vm, task, true);
        g_strlcpy(task->avoid, vm->report.id, sizeof(task->avoid));
        scheduler_task_failed(s, task, end->run);
    }
    else if (is_latest && end->kind != AQ_END_STOPPED) {
        s->counters.lost++;
    }
}

/* Whether the task is unknown only because its job or its occurrence has not
 * come yet. */
static bool
may_become_known(const AqScheduler *s, const AqTaskName *name)
{
    const Job *job = scheduler_find_job(s, name->job);
    return job == NULL || (!scheduler_is_finished(job) &&
                           name->occurrence >= job->next_occurrence);
}

/* Keeps the tasks of ends that are not applied yet from starting: a task that
 * is ready counts as running on the VM until its end is applied. */
static void
hold_ends(AqScheduler *s, Vm *vm, const AqEndedTask *ends, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        const AqEndedTask *end = &ends[i];
        AqRunningTask row = {
            .task = end->task, .run = end->run, .checkpoint = ""};
        Task *task = scheduler_find_task(s, &end->task);
        if (task == NULL && may_become_known(s, &end->task)) {
            unknown_runs_add(s, vm, &end->task, end->run);
        }
        else if (task != NULL && task->state == TASK_READY &&
                 end->run >= task->run) {
            replies_adopt_run(s, vm, task, &row);
        }
    }
}

/* Applies the ends of runs that the reply lists, in order, and stops at the
 * first end of a run whose task this scheduler does not know yet.  Returns
 * whether all ends were applied. */
static bool
process_ends(AqScheduler *s, Vm *vm, const AqOrderReply *reply)
{
    for (size_t i = 0; i < reply->ended_count; i++) {
        const AqEndedTask *end = &reply->ended[i];
        if (end->number <= vm->last_end_number) {
            /* Confirmed ends are listed again until their renewal arrives. */
            if (end->number <= vm->confirmed_end_number) {
                AqLog_Event(AQ_LOG_INFO, "end_passed_over",
                            "request=%s vm=%s born=%lld number=%lld last=%lld",
                            end->task.job, vm->report.id,
                            (long long)reply->born_ms, (long long)end->number,
                            (long long)vm->last_end_number);
            }
            continue;
        }
        Task *task = scheduler_find_task(s, &end->task);
        if (task == NULL && may_become_known(s, &end->task) &&
            !vms_is_foreign_run_overdue(s, vm)) {
            if (vm->foreign_since == 0) {
                vm->foreign_since = s->now;
            }
            hold_ends(s, vm, end, reply->ended_count - i);
            return false;
        }
        if (task != NULL) {
            apply_end(s, vm, task, end);
        }
        vm->last_end_number = end->number;
        PendingEnd pending = {.number = end->number, .seq = s->change_seq};
        g_array_append_val(vm->pending_ends, pending);
    }
    return true;
}

/* ---- Renewal: runs ------------------------------------------------------ */

static void
stop_if_stalled(AqScheduler *s, Vm *vm, Task *task, const AqRunningTask *row)
{
    const AqStepSpec *spec = task->step->spec;
    if (row->percent != task->percent) {
        task->percent = row->percent;
        task->progress_at = s->now;
        return;
    }
    if (task->state != TASK_RUNNING || task->pace < 100 || spec->is_gang) {
        return;
    }
    AqTime limit = spec->is_perpetual
                       ? PERPETUAL_START_LIMIT_MS
                       : STALL_MS + spec->estimate_ms / STALL_ESTIMATE_DIVISOR;
    bool is_at_work = spec->is_perpetual && row->percent >= 100;
    if (!is_at_work && s->now - task->progress_at > limit) {
        s->counters.stalled++;
        vm->quarantined_until = s->now + STALL_MS * 2;
        log_task(AQ_LOG_WARNING, "run_stalled", task, vm, s, "stop");
        replies_order_stop(s, task);
    }
}

static void
update_presence(AqScheduler *s, Task *task, const AqRunningTask *row)
{
    /* After the scheduler has ordered the stop of a run, the VM still lists
     * that run for a while, so only a task in TASK_RUNNING counts as at
     * work. */
    if (task->step->spec->is_perpetual && task->state == TASK_RUNNING) {
        if (row->percent < 100 && task->pace >= 100) {
            if (task->absent_since == AQ_TIME_NEVER) {
                task->absent_since = s->now;
            }
        }
        else {
            task->absent_since = AQ_TIME_NEVER;
        }
    }
    task->usage = row->usage;
}

void
replies_adopt_run(AqScheduler *s, Vm *vm, Task *task, const AqRunningTask *row)
{
    if (task->vm != NULL && task->vm != vm) {
        stop_superseded_run(s, task);
    }
    if (task->state == TASK_READY) {
        task->step->ready--;
    }
    vms_attach(s, vm, task);
    crashes_note_adopted(task);
    task->start_seq = 0;
    task->is_start_ordered = true;
    task->run = row->run;
    task->percent = row->percent;
    task->state = TASK_STARTING;
    confirm_start(s, task);
    /* 0: the start of the run is not known, so the run's duration does not
     * count in the moving averages of durations */
    task->started_at = 0;
}

/* Adds the resources of a run that the VM lists to the VM's foreign usage:
 * that of runs which are not the current run of any task of this scheduler.  A
 * run of an unknown job ("job" is NULL) is assumed to take the whole VM. */
static void
add_foreign_usage(Vm *vm, const Job *job, uint32_t step)
{
    if (job == NULL || step >= job->spec.step_count) {
        vm->foreign_cpu += vm->report.cpu_millis;
        vm->foreign_memory += vm->report.memory_mb;
        return;
    }
    const AqStepSpec *spec = &job->spec.steps[step];
    /* At least one thousandth of a core, so that the VM does not count as idle
     * while it lists the run. */
    vm->foreign_cpu += spec->is_filler ? 1 : spec->cpu_millis + 1;
    vm->foreign_memory += spec->memory_mb;
    workspace_caps_add_foreign(vm, job->spec.workspace, spec);
}

/* Applies one run that the VM lists as alive in its reply to a lease renewal:
 * marks the run in the scheduler as alive, as the task's current run; orders
 * the stop of the run when the run's task is unknown or finished, or has a
 * newer run.  The stop of a run of an unknown job is ordered only once
 * vms_is_foreign_run_overdue() is true for the VM. */
static void
process_running_task(AqScheduler *s, Vm *vm, const AqRunningTask *row)
{
    Task *task = scheduler_find_task(s, &row->task);
    const Job *job = scheduler_find_job(s, row->task.job);
    if (task == NULL || scheduler_is_finished(job) ||
        task->state == TASK_DONE || row->run < task->run) {
        bool is_expected =
            task != NULL && task->vm == vm && task->run == row->run;
        if (is_expected) {
            task->last_listed_renewal = vm->renewal_count;
            /* the run that the VM lists is the task's current run, whose stop
             * the scheduler has ordered */
            return;
        }
        add_foreign_usage(vm, job, row->task.step);
        if (task == NULL) {
            unknown_runs_add(s, vm, &row->task, row->run);
        }
        if (job != NULL || vms_is_foreign_run_overdue(s, vm)) {
            replies_stop_stray(s, vm, &row->task, row->run);
        }
        else if (vm->foreign_since == 0) {
            vm->foreign_since = s->now;
        }
        return;
    }
    if (task->vm != vm || task->run != row->run) {
        log_task(AQ_LOG_INFO, "run_adopted", task, vm, s, "running");
        replies_adopt_run(s, vm, task, row);
    }
    else if (task->state == TASK_STARTING) {
        confirm_start(s, task);
    }
    task->last_listed_renewal = vm->renewal_count;
    set_checkpoint(task, row->checkpoint);
    update_presence(s, task, row);
    stop_if_stalled(s, vm, task, row);
    crashes_note_alive(s, task);
}

/* Makes those of the VM's tasks ready for new runs whose runs are missing from
 * the VM's reply to a renewal order, which extends the VM's lease.  The
 * renewal order was sent at "sent_at". */
static void
requeue_missing_runs(AqScheduler *s, Vm *vm, AqTime sent_at)
{
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        bool is_over = task->state == TASK_RUNNING ||
                       (task->state == TASK_STOPPING && task->is_stop_acked);
        if (!is_over || task->last_listed_renewal == vm->renewal_count ||
            task->listed_after >= sent_at) {
            continue;
        }
        if (task->state == TASK_RUNNING) {
            s->counters.lost++;
            log_task(AQ_LOG_WARNING, "run_vanished", task, vm, s, "again");
        }
        scheduler_requeue_task(s, task);
    }
}

void
AqScheduler_OnRenewal(AqScheduler *s, const char *id, AqTime sent_at,
                      const AqOrderReply *reply, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, id);
    if (vm == NULL) {
        return;
    }
    vm->is_renewal_pending = false;
    AqOrderReply current = vm_restart_filter_reply(s, vm, reply, true);
    reply = &current;
    if (handle_common_result(s, vm, reply)) {
        return;
    }
    if (reply->result != AQ_ORDER_DONE) {
        if (reply->result != AQ_ORDER_UNKNOWN &&
            reply->result != AQ_ORDER_NOT_SENT) {
            vm->quarantined_until = now + UNHEALTHY_PAUSE_MS;
        }
        vms_schedule_renewal(s, vm);
        if (vm->renewal_due <= now) {
            vm->renewal_due = now + RESEND_MS;
        }
        return;
    }
    bool is_first = !vm->has_replied;
    vm->has_replied = true;
    vm->renewal_count++;
    vm->foreign_cpu = 0;
    vm->foreign_memory = 0;
    g_array_set_size(vm->foreign_uses, 0);
    vm->lists_ends = reply->ended_count > 0;
    unknown_runs_clear(s, id);
    open_runs_note_reply(s, vm);
    bool are_known = process_ends(s, vm, reply);
    for (size_t i = 0; i < reply->running_count; i++) {
        process_running_task(s, vm, &reply->running[i]);
    }
    if (vm->foreign_cpu == 0 && are_known) {
        vm->foreign_since = 0;
    }
    superseded_add_usage(s, vm, sent_at, reply);
    if (are_known) {
        requeue_missing_runs(s, vm, sent_at);
    }
    vms_confirm_ends(s, vm);
    vms_schedule_renewal(s, vm);
    if (!are_known && vm->renewal_due <= now) {
        vm->renewal_due = now + RESEND_MS;
    }
    if (is_first) {
        s->placement_due = true;
    }
}

/* ---- Repeated orders ---------------------------------------------------- */

void
replies_tick(AqScheduler *s)
{
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        AqList_ForEachSafe(each, after, &vm->tasks)
        {
            Task *task = AqList_Entry(each, Task, link);
            if (task->is_order_pending || task->resend_at > s->now ||
                task->start_seq > s->stored_seq) {
                continue;
            }
            if (task->state == TASK_STARTING && vm->has_replied &&
                vm->silent_since == AQ_TIME_NEVER) {
                if (task->must_stop_after_reply) {
                    replies_order_stop(s, task);
                }
                else {
                    placement_send_start(s, task);
                }
            }
            else if (task->state == TASK_STOPPING && !task->is_stop_acked) {
                send_stop(s, task);
            }
        }
    }
}
