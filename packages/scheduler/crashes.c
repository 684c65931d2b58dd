#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "scheduler_internal.h"

/* Crashes of VMs and the tasks that may have caused them.
 *
 * A VM has crashed when another incarnation of it is seen although no order
 * ended the last one and it was not draining.  Silence alone proves nothing.
 * Each run that was alive on the VM may have caused the crash.  A task that
 * crashes VMs does so mostly at its start; other crashes come at any time and
 * often to a whole rack.  A crash is therefore
 * - early, if the VM has confirmed the run's start but not replied EARLY_MS
 *   later, unless most of the rack's VMs went at the same time;
 * - the run's own, if it is early and no other run on the VM was as young.
 *
 * A task with an early crash is a suspect.  It starts on a VM without young
 * runs, preferably one with few tasks, and nothing else starts there until its
 * run is shown to be alive, so that a crash is its own.  A task with a crash
 * of any kind is not copied, and each of its runs is stored before it starts,
 * so that a later owner of the pool counts it too. The job fails after
 * GIVE_UP_EARLY_CRASHES of which one is the task's own, or after
 * GIVE_UP_CRASHES of any kind if the task is not perpetual.
 *
 * While both suspects and other tasks wait, the trials of suspects are bounded
 * to half of the VMs, where nothing else starts, and the other tasks have
 * the rest.  Without that bound the suspects of a few crashes under a full
 * load take each VM for EARLY_MS, one after another.
 *
 * The crashes are part of the job's stored record.  Those of a perpetual task
 * are forgotten once a run of it has lasted for SURVIVAL_MS, since it meets
 * unrelated crashes sooner or later, and to give it up stops all tasks of its
 * job. */

enum {
    GIVE_UP_EARLY_CRASHES = 2,
    /* The platform allows two starts after three crashes. */
    GIVE_UP_CRASHES = 5,
    /* The crashes that are known of come within 20 ms of the start; the rest
     * is for the time of the orders.  With 500 ms nearly all runs of a VM with
     * short tasks were suspects, and a trial took a VM for 0.9 s. */
    EARLY_MS = 200,
    SURVIVAL_MS = 1500,
    /* So many VMs of a rack that were last heard of within COMMON_CAUSE_MS,
     * and half of the rack's VMs, have gone for one reason; an idle VM is
     * heard of once a second. */
    COMMON_CAUSE_VMS = 3,
    COMMON_CAUSE_MS = 1200,
    RECENT_CRASH_MS = 20000,
    /* How long a crash limits the number of VMs that the pool acquires: until
     * a task that goes on crashing VMs has crashed the next one. */
    SIZING_CRASH_MS = 10000,
    /* Longest wait of a suspect for a VM without young runs. */
    QUIET_VM_WAIT_MS = 1000,
    /* One of so many usable VMs is for trials while other tasks wait. */
    VMS_PER_TRIAL_VM = 2,
    /* A task counts as waiting for this long after a placement found no VM for
     * it, so that the bound outlasts the gap between two tasks. */
    WAIT_MEMORY_MS = 1000,
    /* A suspect that has waited for longer may start on any VM, since those
     * for trials may lack what it needs. */
    TRIAL_WAIT_MS = 10000,
    /* Addends of placement_cost(), thousandths of a core, of a suspect for
     * each suspect and for each task on the VM; the first is above the cost of
     * another rack. */
    SUSPECT_COST = 40000000,
    COMPANY_COST = 1000000
};

/* ---- Suspects ----------------------------------------------------------- */

uint32_t
crashes_count(const Task *task)
{
    return task->crashes != NULL ? task->crashes->len : 0;
}

void
crashes_add(Task *task, const Crash *crash)
{
    if (task->crashes == NULL) {
        task->crashes = g_array_new(FALSE, FALSE, sizeof(Crash));
    }
    g_array_append_vals(task->crashes, crash, 1);
    task->step->has_crashes = true;
}

void
crashes_clear(Task *task)
{
    if (task->crashes != NULL) {
        g_array_free(task->crashes, TRUE);
        task->crashes = NULL;
    }
}

/* Number of the task's crashes of this kind or a stronger one. */
static guint
count_kind(const Task *task, CrashKind least)
{
    guint count = 0;
    for (guint i = 0; i < crashes_count(task); i++) {
        count += g_array_index(task->crashes, Crash, i).kind >= least;
    }
    return count;
}

bool
crashes_is_suspect(const Task *task)
{
    return count_kind(task, CRASH_EARLY) > 0;
}

static bool
is_known(const Task *task, int64_t run)
{
    for (guint i = 0; i < crashes_count(task); i++) {
        if (g_array_index(task->crashes, Crash, i).run == run) {
            return true;
        }
    }
    return false;
}

static bool
has_crashed_vm(const Task *task, const char *vm)
{
    for (guint i = 0; i < crashes_count(task); i++) {
        if (strcmp(g_array_index(task->crashes, Crash, i).vm, vm) == 0) {
            return true;
        }
    }
    return false;
}

bool
crashes_is_last(const Task *task, uint32_t further)
{
    return crashes_count(task) + further >= GIVE_UP_CRASHES &&
           !task->step->spec->is_perpetual;
}

static bool
is_given_up(const Task *task)
{
    return (count_kind(task, CRASH_EARLY) >= GIVE_UP_EARLY_CRASHES &&
            count_kind(task, CRASH_OWN) > 0) ||
           crashes_is_last(task, 0);
}

/* ---- Crashes ------------------------------------------------------------ */

/* Whether it is not shown that the task's run has been alive for long without
 * a crash of its VM.  Once the VM has confirmed the start, each of its replies
 * shows that it has not crashed. */
static bool
is_young(const Task *task)
{
    bool is_confirmed = task->state != TASK_STARTING && task->vm != NULL;
    AqTime alive_at = task->last_alive_at;
    if (is_confirmed && task->vm->clock_at > alive_at) {
        alive_at = task->vm->clock_at;
    }
    return alive_at - task->attached_at < EARLY_MS;
}

unsigned
crashes_count_young(const Vm *vm)
{
    unsigned count = 0;
    AqList_ForEach(at, &vm->tasks)
    {
        count += is_young(AqList_Entry(at, Task, link));
    }
    return count;
}

CrashKind
crashes_kind(const Task *task, unsigned young_count)
{
    if (!is_young(task) || task->state == TASK_STARTING) {
        /* A start order without an answer may never have reached the VM. */
        return CRASH_LATE;
    }
    return young_count > 1 ? CRASH_EARLY : CRASH_OWN;
}

void
crashes_record_run(AqScheduler *s, Task *task, const Crash *crash)
{
    static const char *const kinds[] = {"late", "early", "own"};
    Job *job = task->step->occurrence->job;
    AqTaskName name;
    if (task->state == TASK_DONE || scheduler_is_finished(job) ||
        is_known(task, crash->run)) {
        return;
    }
    crashes_add(task, crash);
    g_strlcpy(task->avoid, crash->vm, sizeof(task->avoid));
    s->counters.crashed_runs++;
    scheduler_changed(s, job);
    bool is_last = is_given_up(task);
    scheduler_name_task(task, &name);
    AqLog_Event(AQ_LOG_WARNING, "run_crashed",
                "request=%s occurrence=%u step=%u task=%u run=%lld vm=%s "
                "fence=%llu kind=%s crashes=%u outcome=%s",
                name.job, name.occurrence, name.step, name.index,
                (long long)crash->run, crash->vm,
                (unsigned long long)s->config.fence, kinds[crash->kind],
                crashes_count(task), is_last ? "given_up" : "again");
    if (is_last) {
        s->counters.given_up++;
        scheduler_fail_job(s, job);
    }
}

/* Whether half of the rack's VMs went at about the same time as the VM. */
static bool
has_common_cause(const AqScheduler *s, const Vm *vm)
{
    unsigned gone = 1;
    unsigned left = 0;
    if (vm->report.rack[0] == '\0') {
        return false;
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *other = AqList_Entry(at, Vm, link);
        if (other == vm || strcmp(other->report.rack, vm->report.rack) != 0) {
            continue;
        }
        bool is_gone =
            other->silent_since != AQ_TIME_NEVER &&
            llabs(other->clock_at - vm->clock_at) <= COMMON_CAUSE_MS;
        gone += is_gone;
        left += !is_gone;
    }
    for (guint i = 0; i < s->recent_crashes->len; i++) {
        const VmCrash *other = &g_array_index(s->recent_crashes, VmCrash, i);
        gone += llabs(other->heard_at - vm->clock_at) <= COMMON_CAUSE_MS &&
                strcmp(other->rack, vm->report.rack) == 0;
    }
    return gone >= COMMON_CAUSE_VMS && gone >= left;
}

static void
note_vm_crash(AqScheduler *s, const Vm *vm, bool is_common)
{
    VmCrash crash = {.heard_at = vm->clock_at, .is_common = is_common};
    for (guint i = s->recent_crashes->len; i-- > 0;) {
        if (s->now - g_array_index(s->recent_crashes, VmCrash, i).heard_at >
            RECENT_CRASH_MS) {
            g_array_remove_index_fast(s->recent_crashes, i);
        }
    }
    g_strlcpy(crash.vm, vm->report.id, sizeof(crash.vm));
    g_strlcpy(crash.rack, vm->report.rack, sizeof(crash.rack));
    g_array_append_val(s->recent_crashes, crash);
}

void
crashes_note_stored(AqScheduler *s, const Crash *crash)
{
    /* When it was is not stored. */
    VmCrash stored = {.heard_at = s->now};
    for (guint i = 0; i < s->recent_crashes->len; i++) {
        const VmCrash *known = &g_array_index(s->recent_crashes, VmCrash, i);
        if (strcmp(known->vm, crash->vm) == 0) {
            return;
        }
    }
    if (crash->kind != CRASH_LATE) {
        g_strlcpy(stored.vm, crash->vm, sizeof(stored.vm));
        g_array_append_val(s->recent_crashes, stored);
    }
}

size_t
crashes_count_recent(const AqScheduler *s)
{
    size_t count = 0;
    for (guint i = 0; i < s->recent_crashes->len; i++) {
        const VmCrash *crash = &g_array_index(s->recent_crashes, VmCrash, i);
        count +=
            !crash->is_common && s->now - crash->heard_at <= SIZING_CRASH_MS;
    }
    return count;
}

/* Whether a perpetual task's run has lasted long enough. */
static bool
has_survived(const Task *task)
{
    return task->step->spec->is_perpetual &&
           task->last_alive_at - task->attached_at > SURVIVAL_MS;
}

/* Whether a crash of the VM counts for the task: the VM may have executed the
 * start order of the task's run, and the run's end is not known. */
static bool
does_crash_count(const Task *task)
{
    return task->is_start_ordered && !has_survived(task) &&
           (task->state != TASK_STOPPING || !task->is_stop_acked);
}

void
crashes_record_vm(AqScheduler *s, const Vm *vm)
{
    if (vm->report.is_draining || vm->has_ended || vm->is_vacated) {
        open_runs_settle(s, vm->report.id, RUN_DID_NOT_CRASH);
        return;
    }
    bool is_common = has_common_cause(s, vm);
    unsigned young_count = crashes_count_young(vm);
    note_vm_crash(s, vm, is_common);
    AqList_ForEach(at, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (does_crash_count(task)) {
            Crash crash = {.run = task->run,
                           .kind = is_common
                                       ? CRASH_LATE
                                       : crashes_kind(task, young_count)};
            g_strlcpy(crash.vm, vm->report.id, sizeof(crash.vm));
            crashes_record_run(s, task, &crash);
        }
    }
    open_runs_settle(s, vm->report.id,
                     is_common ? RUN_CRASHED_WITH_RACK : RUN_CRASHED);
}

/* ---- Placement ---------------------------------------------------------- */

/* Whether the VM has a young run of a suspect, beside which nothing starts. */
static bool
has_young_suspect(const Vm *vm)
{
    if (vm->suspect_count == 0) {
        return false;
    }
    AqList_ForEach(at, &vm->tasks)
    {
        const Task *task = AqList_Entry(at, Task, link);
        if (task->counts_as_suspect && is_young(task)) {
            return true;
        }
    }
    return false;
}

void
crashes_note_wait(AqScheduler *s, const Task *task)
{
    AqTime until = s->now + WAIT_MEMORY_MS;
    if (crashes_is_suspect(task)) {
        s->suspects_wait_until = until;
    }
    else {
        s->others_wait_until = until;
    }
}

/* Returns the usable VM that can begin a trial soonest; NULL: all are chosen
 * already. */
static Vm *
find_trial_vm(const AqScheduler *s)
{
    Vm *best = NULL;
    unsigned best_young = 0;
    AqList_ForEach(at, &s->vms)
    {
        Vm *vm = AqList_Entry(at, Vm, link);
        if (vm->is_for_trials || !vms_is_usable(s, vm)) {
            continue;
        }
        /* A VM with a young suspect is closed to other tasks anyway. */
        unsigned young = has_young_suspect(vm) ? 0 : crashes_count_young(vm);
        if (best == NULL || young < best_young ||
            (young == best_young && vm->task_count < best->task_count)) {
            best = vm;
            best_young = young;
        }
    }
    return best;
}

void
crashes_choose_trial_vms(AqScheduler *s)
{
    bool is_bounded =
        s->suspects_wait_until > s->now && s->others_wait_until > s->now;
    size_t usable = 0;
    s->trial_vm_count = 0;
    AqList_ForEach(at, &s->vms)
    {
        Vm *vm = AqList_Entry(at, Vm, link);
        bool is_usable = vms_is_usable(s, vm);
        usable += is_usable;
        vm->is_for_trials = vm->is_for_trials && is_bounded && is_usable;
        s->trial_vm_count += vm->is_for_trials;
    }
    /* The only VM serves all tasks in turn. */
    size_t wanted = usable < 2 ? 0 : (usable - 1) / VMS_PER_TRIAL_VM + 1;
    while (is_bounded && s->trial_vm_count < wanted) {
        find_trial_vm(s)->is_for_trials = true;
        s->trial_vm_count++;
    }
}

/* Whether the task is a suspect that may only use VMs for trials.  Gangs need
 * several VMs at once, and perpetual tasks must not be away for long. */
static bool
is_bound_to_trials(const AqScheduler *s, const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    return s->trial_vm_count > 0 && crashes_is_suspect(task) &&
           !spec->is_gang && !spec->is_perpetual &&
           s->now - task->ready_at < TRIAL_WAIT_MS;
}

bool
crashes_allow_vm(const AqScheduler *s, const Vm *vm, const Task *task)
{
    bool is_kept_free = vm->is_for_trials && !crashes_is_suspect(task);
    if (has_young_suspect(vm) || is_kept_free ||
        (!vm->is_for_trials && is_bound_to_trials(s, task))) {
        return false;
    }
    return !crashes_is_suspect(task) ||
           s->now - task->ready_at >= QUIET_VM_WAIT_MS ||
           crashes_count_young(vm) == 0;
}

int64_t
crashes_placement_cost(const Vm *vm, const Task *task)
{
    if (!crashes_is_suspect(task)) {
        return 0;
    }
    return SUSPECT_COST * ((int64_t)vm->suspect_count +
                           has_crashed_vm(task, vm->report.id)) +
           COMPANY_COST * (int64_t)vm->task_count;
}

/* ---- Runs of suspects --------------------------------------------------- */

bool
crashes_store_start(AqScheduler *s, Task *task)
{
    if (crashes_count(task) == 0) {
        return false;
    }
    task->is_start_stored = true;
    scheduler_changed(s, task->step->occurrence->job);
    task->start_seq = s->change_seq;
    return true;
}

void
crashes_attach(const AqScheduler *s, Vm *vm, Task *task)
{
    task->attached_at = s->now;
    task->last_alive_at = s->now;
    task->counts_as_suspect = crashes_is_suspect(task);
    vm->suspect_count += task->counts_as_suspect;
}

void
crashes_note_start_sent(const AqScheduler *s, Task *task)
{
    task->attached_at = s->now;
    task->last_alive_at = s->now;
}

void
crashes_note_adopted(Task *task)
{
    task->attached_at = task->last_alive_at - EARLY_MS;
}

void
crashes_detach(AqScheduler *s, Task *task)
{
    task->is_start_stored = false;
    if (task->counts_as_suspect) {
        task->counts_as_suspect = false;
        task->vm->suspect_count--;
        s->placement_due = true;
    }
}

void
crashes_note_alive(AqScheduler *s, Task *task)
{
    task->last_alive_at = s->now;
    s->placement_due |= task->counts_as_suspect;
    if (has_survived(task) && crashes_count(task) > 0) {
        crashes_clear(task);
        scheduler_changed(s, task->step->occurrence->job);
    }
}
