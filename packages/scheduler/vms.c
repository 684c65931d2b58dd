#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

enum {
    /* How long a VM with tasks (busy) or without (idle) may delay its reply to
     * a lease renewal to wait for the end of a run.  Each reply also reports
     * the progress of the tasks, and the next renewal extends the lease. */
    BUSY_RENEWAL_WAIT_MS = 400,
    IDLE_RENEWAL_WAIT_MS = 1000,
    /* The same for a VM with a suspect, where nothing else starts until a list
     * shows that the VM has not crashed. */
    SUSPECT_RENEWAL_WAIT_MS = 100,
    /* Pause before the next renewal order, which extends the VM's lease, while
     * the scheduler has not confirmed all the ends of runs in the VM's last
     * reply: the VM would list these ends again immediately. */
    UNSTORED_RENEWAL_DELAY_MS = 200,
    SILENT_RENEWAL_RETRY_MS = 300,
    /* the scheduler starts tasks that allow copies (two live runs at a time)
     * on other VMs when their VM has been silent for longer than this; a
     * single reply may be lost, but missing replies to two lease renewals mean
     * a silent VM */
    COPY_AFTER_SILENCE_MS = 700,
    /* A VM whose entry in the store expired during a store outage adds the
     * entry again within about 2 s.  No task starts on a VM whose entry has
     * been missing for this long, since such a VM counts as gone. */
    UNLISTED_GRACE_MS = 2200,
    /* a VM without tasks is removed from the scheduler's table of VMs when the
     * VM has had no entry in the store for longer than this */
    UNLISTED_FORGET_MS = 10000,
    /* A VM may list a run of a job that this scheduler has not yet read from
     * the store.  If the job is still unknown after this time, the scheduler
     * orders the stop of that run. */
    UNKNOWN_JOB_GRACE_MS = 3000,
    LEASE_EXPIRY_MARGIN_MS = 100,
    /* After QUARANTINE_AFTER_FAILURES consecutive failed runs of different
     * tasks on a VM, the scheduler assumes that the VM is at fault and starts
     * no task there for QUARANTINE_MS. */
    QUARANTINE_AFTER_FAILURES = 3,
    QUARANTINE_MS = 3000
};

/* Lowest rate at which a VM's clock may run, relative to the scheduler's
 * clock. */
static const double slowest_clock_rate = 0.98;

Vm *
vms_find(const AqScheduler *s, const char *id)
{
    return g_hash_table_lookup(s->vms_by_id, id);
}

void
vms_target(const Vm *vm, AqOrderTarget *target)
{
    target->address = vm->report.address;
    target->vm = vm->report.id;
}

Vm *
vms_add(AqScheduler *s, const AqVmReport *report)
{
    Vm *vm = calloc(1, sizeof(*vm));
    vm->report = *report;
    vm->born_ms = report->born_ms;
    vm->restarted_at = AQ_TIME_NEVER;
    vm->silent_since = AQ_TIME_NEVER;
    vm->idle_since = s->now;
    vm->clock_ms = -1;
    vm->lapsed_at = AQ_TIME_NEVER;
    vm->renewal_due = s->now;
    vm->pending_ends = g_array_new(FALSE, FALSE, sizeof(PendingEnd));
    vm->superseded = g_array_new(FALSE, FALSE, sizeof(SupersededRun));
    vm->foreign_uses = g_array_new(FALSE, FALSE, sizeof(ForeignUse));
    vm->used_since_version = ++s->used_vms_version;
    AqList_Init(&vm->tasks);
    AqList_Init(&vm->reservations);
    AqList_Append(&s->vms, &vm->link);
    g_hash_table_insert(s->vms_by_id, vm->report.id, vm);
    return vm;
}

void
vms_free(Vm *vm)
{
    AqList_Remove(&vm->link);
    g_array_free(vm->pending_ends, TRUE);
    g_array_free(vm->superseded, TRUE);
    g_array_free(vm->foreign_uses, TRUE);
    free(vm);
}

/* ---- Resources in use --------------------------------------------------- */

/* Adds the resources of one task of the step to the VM's used resources if
 * "sign" is 1, subtracts them if it is -1. */
static void
add_usage(Vm *vm, const AqStepSpec *spec, int sign)
{
    int64_t cpu = sign * (spec->is_filler ? 0 : spec->cpu_millis);
    vm->used_cpu += cpu;
    vm->perpetual_cpu += spec->is_perpetual ? cpu : 0;
    vm->used_memory += sign * spec->memory_mb;
    vm->used_gpus += sign * spec->gpus;
}

static void
add_reserved(Vm *vm, const AqStepSpec *spec, int sign)
{
    vm->reserved_cpu += sign * (spec->is_filler ? 0 : spec->cpu_millis);
    vm->reserved_memory += sign * spec->memory_mb;
    vm->reserved_gpus += sign * spec->gpus;
}

void
vms_reserve(Vm *vm, Task *task)
{
    vms_end_reservation(task);
    task->reserved_vm = vm;
    AqList_Append(&vm->reservations, &task->reservation_link);
    add_reserved(vm, task->step->spec, 1);
}

void
vms_end_reservation(Task *task)
{
    if (task->reserved_vm != NULL) {
        add_reserved(task->reserved_vm, task->step->spec, -1);
        AqList_Remove(&task->reservation_link);
        task->reserved_vm = NULL;
    }
}

void
vms_attach(AqScheduler *s, Vm *vm, Task *task)
{
    vms_detach(s, task);
    vms_end_reservation(task);
    task->vm = vm;
    AqList_Append(&vm->tasks, &task->link);
    vm->task_count++;
    vm->idle_since = AQ_TIME_NEVER;
    add_usage(vm, task->step->spec, 1);
    workspaces_count_task(task, 1);
    crashes_attach(s, vm, task);
}

void
vms_detach(AqScheduler *s, Task *task)
{
    Vm *vm = task->vm;
    if (vm == NULL) {
        return;
    }
    crashes_detach(s, task);
    add_usage(vm, task->step->spec, -1);
    workspaces_count_task(task, -1);
    AqList_Remove(&task->link);
    task->vm = NULL;
    if (--vm->task_count == 0) {
        vm->idle_since = s->now;
        vm->is_vacated = vm->is_cordoned;
    }
}

VmState
vms_state(const AqScheduler *s, const Vm *vm)
{
    if (!vm->is_listed && s->now - vm->unlisted_at >= UNLISTED_GRACE_MS) {
        return VM_UNLISTED;
    }
    if (vm->has_ended) {
        return VM_ENDED;
    }
    if (!vm->has_replied) {
        return VM_NOT_HEARD;
    }
    if (vm->silent_since != AQ_TIME_NEVER) {
        return VM_SILENT;
    }
    if (!vm->is_use_recorded) {
        return VM_USE_UNRECORDED;
    }
    if (vm->report.is_draining) {
        return VM_DRAINING;
    }
    if (vm->quarantined_until > s->now) {
        return VM_QUARANTINED;
    }
    return vm->is_cordoned ? VM_CORDONED : VM_USABLE;
}

bool
vms_is_usable(const AqScheduler *s, const Vm *vm)
{
    return vms_state(s, vm) == VM_USABLE;
}

bool
vms_is_being_emptied(const AqScheduler *s, const Vm *vm)
{
    return !vm->is_vacated && vms_state(s, vm) == VM_CORDONED;
}

/* ---- Replies and leases ------------------------------------------------- */

/* Whether the reply shows that the VM has recorded the order's fence.  A VM
 * that refuses an order as unhealthy or malformed has done nothing. */
static bool
shows_fence(AqOrderResult result)
{
    return result != AQ_ORDER_UNHEALTHY && result != AQ_ORDER_INVALID;
}

/* The longest lease that an order which this owner did not send to the VM's
 * current incarnation may have granted to it, ms. */
static AqTime
longest_grant(const AqScheduler *s, const Vm *vm)
{
    bool has_restarted = vm->restarted_at != AQ_TIME_NEVER;
    return has_restarted && s->config.longest_lease_ms > s->config.lease_ms
               ? s->config.longest_lease_ms
               : s->config.lease_ms;
}

void
vms_on_reply(AqScheduler *s, Vm *vm, const AqOrderReply *reply)
{
    bool is_dated = vm->born_ms == 0 || reply->born_ms > 0;
    if (reply->clock_ms < 0 || !is_dated) {
        return;
    }
    if (!vm->has_seen_fence && shows_fence(reply->result)) {
        /* An earlier pool owner may have granted the VM a lease of lease_ms
         * just before the VM received this pool owner's first order, whose
         * higher fence makes the VM refuse later orders of earlier pool
         * owners.  A VM that has started again may have received an order for
         * its earlier incarnation, whose clock was ahead: the VM shortens such
         * a lease to the longest one. */
        AqTime latest = reply->clock_ms + longest_grant(s, vm);
        vm->has_seen_fence = true;
        vm->deadline_ms = latest > vm->deadline_ms ? latest : vm->deadline_ms;
    }
    vm->clock_ms = reply->clock_ms;
    vm->clock_at = s->now;
    if (vm->silent_since != AQ_TIME_NEVER) {
        vm->silent_since = AQ_TIME_NEVER;
        s->placement_due = true;
    }
    if (vm->has_ended) {
        vm->has_ended = false;
        vm->is_use_recorded = false;
        vm->used_since_version = ++s->used_vms_version;
    }
}

/* Makes those running tasks of the silent VM whose steps allow copies ready
 * for new runs, without waiting for the VM's lease to expire.  The tasks' runs
 * on the silent VM may continue beside the new runs. */
static void
copy_tasks(AqScheduler *s, Vm *vm)
{
    unsigned young_count = crashes_count_young(vm);
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        const AqStepSpec *spec = task->step->spec;
        if (!spec->allows_copies || task->state != TASK_RUNNING ||
            crashes_count(task) > 0 || task->open_run_count > 0) {
            /* A task that crashed the silent VM would crash the next one. */
            continue;
        }
        s->counters.copied++;
        replies_log_copy(s, task);
        open_runs_add_current(s, task, young_count);
        /* The next owner must not copy the task again. */
        scheduler_changed(s, task->step->occurrence->job);
        /* The task's run on this silent VM may continue beside the task's new
         * run.  Until the VM replies to a lease renewal, the resources of the
         * run on this VM count as foreign usage: that of runs which are not
         * the current run of any task of this scheduler. */
        vm->foreign_cpu += spec->cpu_millis;
        vm->foreign_memory += spec->memory_mb;
        workspace_caps_add_foreign(
            vm, task->step->occurrence->job->spec.workspace, spec);
        g_strlcpy(task->avoid, vm->report.id, sizeof(task->avoid));
        scheduler_requeue_task(s, task);
    }
}

void
vms_on_no_reply(AqScheduler *s, Vm *vm)
{
    if (vm->silent_since == AQ_TIME_NEVER) {
        vm->silent_since = s->now;
    }
}

AqTime
vms_grant_lease(AqScheduler *s, Vm *vm)
{
    AqTime deadline =
        vm->clock_ms + (s->now - vm->clock_at) + s->config.lease_ms;
    if (deadline > vm->deadline_ms) {
        vm->deadline_ms = deadline;
    }
    return deadline;
}

/* Makes all tasks of the VM ready for new runs.  The tasks' runs on the VM
 * count as lost: these runs have ended, but the VM has not listed their
 * ends. */
static void
requeue_lost_tasks(AqScheduler *s, Vm *vm, const char *reason)
{
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        s->counters.lost++;
        replies_log_lost(s, task, reason);
        scheduler_requeue_task(s, task);
    }
}

/* Called when the VM is known to have ended. */
static void
note_end(AqScheduler *s, const Vm *vm)
{
    if (vms_is_awaited(s, vm)) {
        s->awaited_vm_ended_at = s->now;
    }
}

void
vms_remove(AqScheduler *s, Vm *vm)
{
    note_end(s, vm);
    requeue_lost_tasks(s, vm, "other_life");
    AqList_ForEachSafe(at, after, &vm->reservations)
    {
        vms_end_reservation(AqList_Entry(at, Task, reservation_link));
    }
    unknown_runs_clear(s, vm->report.id);
    g_hash_table_remove(s->vms_by_id, vm->report.id);
    s->used_vms_version++;
    s->placement_due = true;
    vms_free(vm);
}

/* Whether the VM's lease, the time until which the VM runs tasks without a
 * renewal, has ended on the VM's own clock, assuming that the clock has the
 * lowest possible rate, slowest_clock_rate. */
static bool
has_lease_expired(const AqScheduler *s, const Vm *vm)
{
    if (!vm->has_seen_fence) {
        /* The VM may still carry out orders of an earlier pool owner. */
        AqTime most =
            (AqTime)((double)longest_grant(s, vm) / slowest_clock_rate) +
            LEASE_EXPIRY_MARGIN_MS;
        bool is_over =
            s->now - s->created_at > s->config.earlier_owner_ms + most &&
            (vm->restarted_at == AQ_TIME_NEVER ||
             s->now - vm->restarted_at > most);
        if (!is_over || vm->clock_ms < 0) {
            return is_over;
        }
    }
    double passed = (double)(s->now - vm->clock_at) * slowest_clock_rate;
    return (double)vm->clock_ms + passed >
           (double)(vm->deadline_ms + LEASE_EXPIRY_MARGIN_MS);
}

/* Notes when the VM's lease has expired. */
static void
note_lapse(const AqScheduler *s, Vm *vm)
{
    if (!has_lease_expired(s, vm)) {
        vm->lapsed_at = AQ_TIME_NEVER;
    }
    else if (vm->lapsed_at == AQ_TIME_NEVER) {
        vm->lapsed_at = s->now;
    }
}

/* Whether the VM's lease has expired while this owner certainly had the pool.
 * The expiry alone does not show that the VM's runs have ended: a later owner
 * that this one does not know of may have extended the lease. */
static bool
is_lapse_confirmed(const AqScheduler *s, const Vm *vm)
{
    return vm->lapsed_at != AQ_TIME_NEVER && s->confirmed_at >= vm->lapsed_at;
}

void
AqScheduler_ConfirmOwnership(AqScheduler *s, AqTime sent_at)
{
    if (sent_at > s->confirmed_at) {
        s->confirmed_at = sent_at;
    }
}

bool
AqScheduler_AwaitsConfirmation(const AqScheduler *s)
{
    return s->awaits_confirmation;
}

AqTime
vms_start_expiry(const AqScheduler *s)
{
    return s->now + (AqTime)((double)s->config.lease_ms / slowest_clock_rate) +
           LEASE_EXPIRY_MARGIN_MS;
}

/* If the VM does not reply, makes those of the VM's tasks whose steps allow
 * copies ready for new runs.  Once the VM's lease has expired, makes all tasks
 * of the VM ready and, if the store has no entry of the VM, removes the VM
 * from the scheduler's table of VMs and frees the Vm struct. */
static void
handle_silence(AqScheduler *s, Vm *vm)
{
    if (vm->silent_since == AQ_TIME_NEVER) {
        return;
    }
    if (s->now - vm->silent_since > COPY_AFTER_SILENCE_MS) {
        copy_tasks(s, vm);
    }
    if (!is_lapse_confirmed(s, vm)) {
        s->awaits_confirmation |= vm->lapsed_at != AQ_TIME_NEVER;
        return;
    }
    unsigned young_count = crashes_count_young(vm);
    vm->used_by_earlier_owner = false;
    AqList_ForEach(at, &vm->tasks)
    {
        open_runs_add_current(s, AqList_Entry(at, Task, link), young_count);
    }
    requeue_lost_tasks(s, vm, "leases_lapsed");
    if (!vm->is_listed) {
        vms_remove(s, vm);
    }
}

/* ---- Renewals ----------------------------------------------------------- */

/* How long the VM may delay its reply to a lease renewal to wait for the end
 * of a run, ms. */
static AqTime
renewal_wait(const Vm *vm)
{
    if (!vm->has_replied || vm->silent_since != AQ_TIME_NEVER) {
        return 0;
    }
    if (vm->suspect_count > 0) {
        return SUSPECT_RENEWAL_WAIT_MS;
    }
    return vm->task_count > 0 ? BUSY_RENEWAL_WAIT_MS : IDLE_RENEWAL_WAIT_MS;
}

/* The number up to which the VM need not list ends any more.  0 unless its
 * last list had ends and it has replied since: if the VM has started again,
 * the number would make it forget ends that nobody has seen. */
static int64_t
acked_end(const Vm *vm)
{
    bool may_forget = vm->lists_ends && vm->silent_since == AQ_TIME_NEVER;
    return may_forget ? vm->confirmed_end_number : 0;
}

static void
send_renewal(AqScheduler *s, Vm *vm)
{
    AqOrderTarget target;
    bool may_extend = vm->has_seen_fence && vm->silent_since == AQ_TIME_NEVER;
    AqRenewalOrder order = {
        .deadline_ms = may_extend ? vms_grant_lease(s, vm) : -1,
        .fence = s->config.fence,
        .acked_end = acked_end(vm),
        .wait_ms = renewal_wait(vm),
    };
    vm->is_renewal_pending = true;
    vms_target(vm, &target);
    s->actions.renew(s->context, &target, &order);
}

void
vms_confirm_ends(const AqScheduler *s, Vm *vm)
{
    guint stored = 0;
    while (stored < vm->pending_ends->len &&
           g_array_index(vm->pending_ends, PendingEnd, stored).seq <=
               s->stored_seq) {
        vm->confirmed_end_number =
            g_array_index(vm->pending_ends, PendingEnd, stored).number;
        stored++;
    }
    if (stored > 0) {
        g_array_remove_range(vm->pending_ends, 0, stored);
        if (vm->pending_ends->len == 0) {
            vm->renewal_due = s->now;
        }
    }
}

/* ---- Time --------------------------------------------------------------- */

bool
vms_is_awaited(const AqScheduler *s, const Vm *vm)
{
    return vm->used_by_earlier_owner && !vm->has_replied && !vm->has_ended &&
           !is_lapse_confirmed(s, vm);
}

/* Sets is_recovered once no used VM is awaited any more, and this owner had
 * the pool when the last of them ended. */
static void
update_recovered(AqScheduler *s)
{
    if (s->is_recovered || !s->is_loaded) {
        return;
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (vms_is_awaited(s, vm)) {
            s->awaits_confirmation |= vm->lapsed_at != AQ_TIME_NEVER;
            return;
        }
    }
    if (s->awaited_vm_ended_at > s->confirmed_at) {
        s->awaits_confirmation = true;
        return;
    }
    s->is_recovered = true;
    s->placement_due = true;
}

/* Sends the VM's lease renewal when it is due.  Returns when the VM's next
 * lease renewal is due; AQ_TIME_NEVER if none can be sent now.  May remove the
 * VM from the scheduler's table of VMs and free the Vm struct. */
static AqTime
tick_vm(AqScheduler *s, Vm *vm)
{
    AqTime forget =
        vm->has_ended ? UNLISTED_GRACE_MS : (AqTime)UNLISTED_FORGET_MS;
    note_lapse(s, vm);
    if (!vm->is_listed && vm->task_count == 0 && !vm->used_by_earlier_owner &&
        s->now - vm->unlisted_at > forget) {
        vms_remove(s, vm);
        return AQ_TIME_NEVER;
    }
    if (!vm->is_renewal_pending && s->may_order && vm->renewal_due <= s->now) {
        send_renewal(s, vm);
    }
    AqTime due = vm->is_renewal_pending || !s->may_order ? AQ_TIME_NEVER
                                                         : vm->renewal_due;
    handle_silence(s, vm);
    return due;
}

AqTime
vms_tick(AqScheduler *s)
{
    AqTime due = AQ_TIME_NEVER;
    s->awaits_confirmation = false;
    AqList_ForEachSafe(at, after, &s->vms)
    {
        AqTime next = tick_vm(s, AqList_Entry(at, Vm, link));
        due = next < due ? next : due;
    }
    update_recovered(s);
    return due;
}

/* ---- VM entries in the store -------------------------------------------- */

void
AqScheduler_SetVm(AqScheduler *s, const AqVmReport *report, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, report->id);
    if (vm == NULL) {
        open_runs_note_listed(s, report);
        vm = vms_add(s, report);
    }
    else if (vm_restart_note_born(s, vm, report->born_ms)) {
        vm->report = *report;
    }
    vm->is_listed = true;
    s->placement_due = true;
}

void
AqScheduler_VmUnlisted(AqScheduler *s, const char *id, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, id);
    if (vm != NULL && vm->is_listed) {
        vm->is_listed = false;
        vm->unlisted_at = now;
    }
}

void
AqScheduler_VmEnded(AqScheduler *s, const char *id, AqVmEnd end, AqTime now)
{
    s->now = now;
    Vm *vm = vms_find(s, id);
    if (vm != NULL && !vm->has_ended) {
        note_end(s, vm);
        if (end == AQ_VM_CRASHED) {
            crashes_record_vm(s, vm);
        }
        else {
            open_runs_settle(s, id, RUN_DID_NOT_CRASH);
        }
        vm->has_ended = true;
        requeue_lost_tasks(s, vm, "vm_ended");
        s->used_vms_version++;
    }
}

AqTime
vms_silent_since(const AqScheduler *s, const Vm *vm)
{
    if (vm->has_ended) {
        return AQ_TIME_NEVER;
    }
    return vm->used_by_earlier_owner && !vm->has_replied ? s->created_at
                                                         : vm->silent_since;
}

/* ---- Ends --------------------------------------------------------------- */

void
vms_record_result(AqScheduler *s, Vm *vm, const Task *task, bool is_failure)
{
    if (!is_failure) {
        vm->consecutive_failures = 0;
        return;
    }
    /* Another failed run of a task that has failed before is no evidence of a
     * fault of this VM. */
    if (task->failures == 0 &&
        ++vm->consecutive_failures >= QUARANTINE_AFTER_FAILURES) {
        vm->quarantined_until = s->now + QUARANTINE_MS;
        vm->consecutive_failures = 0;
    }
}

void
vms_schedule_renewal(AqScheduler *s, Vm *vm)
{
    if (vm->silent_since != AQ_TIME_NEVER) {
        vm->renewal_due = s->now + SILENT_RENEWAL_RETRY_MS;
    }
    else if (vm->pending_ends->len > 0 ||
             vm->last_end_number > vm->confirmed_end_number) {
        vm->renewal_due = s->now + UNSTORED_RENEWAL_DELAY_MS;
    }
    else {
        vm->renewal_due = s->now;
    }
}

bool
vms_is_foreign_run_overdue(const AqScheduler *s, const Vm *vm)
{
    return vm->foreign_since > 0 &&
           s->now - vm->foreign_since > UNKNOWN_JOB_GRACE_MS;
}
