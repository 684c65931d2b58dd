#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    TICK_MS = 10,
    REPLY_DELAY_MS = 2,
    /* Bytes of an order on the wire: a start carries the text of its job. */
    START_BYTES = 1150,
    ORDER_BYTES = 350,
    SAVE_DURATION_MS = 8,
    /* a VM that drops all orders for longer than this loses its entry in the
     * store */
    LISTING_TTL_MS = 4500,
    /* longest time from a VM's restart under its id to its first entry */
    MAX_ENTRY_DELAY_MS = 1000,
    /* Unix time at 0 on the clock of Sim.now */
    UNIX_START_MS = 1700000000,
    /* a job fails when one of its tasks has had this many failed runs */
    MAX_ATTEMPTS = 2,
    /* from the start of a run that crashes its VM to that crash */
    CRASH_DELAY_MS = 10
};

/* A run of a task on a VM. */
typedef struct {
    AqTaskName name;
    int64_t run; /* number of the run among all runs of its task */
    AqTime started_at;
    AqTime duration_ms; /* duration of the run at full speed */
    /* progress of the run so far, as the ms that it takes at full speed; a run
     * of a task that is not perpetual completes the task when worked_ms
     * reaches duration_ms */
    AqTime worked_ms;
    /* when the run crashes its VM, on the clock of Sim.now; 0: never */
    AqTime crash_at;
    /* the run fails once worked_ms is a quarter of duration_ms */
    bool will_fail;
    bool is_perpetual;
    /* the run ends as broken when the VM of another task of its step crashes
     */
    bool is_gang;
    /* CPU that the run takes, in thousandths of a core; 0 for a filler, a task
     * that uses only CPU that others leave */
    int64_t cpu_millis;
    /* speed at which the run progresses, in percent of full speed; below 100
     * after an order that limits the speed (pace order) */
    int pace_percent;
} Run;

/* The end of a run of a task, which the run's VM lists in its replies until a
 * pool owner has confirmed the end to the VM. */
typedef struct {
    /* sequence number of the end of the run, counted from 1 in each
     * incarnation of a VM */
    int64_t number;
    AqTaskName name;
    int64_t run; /* number of the run among all runs of its task */
    AqEndKind kind;
    AqTime ended_at;
} RunEnd;

/* One incarnation of a VM. */
typedef struct {
    char id[AQ_VM_ID_SIZE];
    char address[32];
    /* index in Sim.vms; the same for all incarnations of the VM */
    unsigned slot;
    /* false once this incarnation of the VM has crashed */
    bool is_alive;
    /* when the crashed VM starts again, on the clock of Sim.now */
    AqTime restart_at;
    /* the crashed VM starts again under its id */
    bool keeps_id;
    /* when the incarnation started, and when its entry is written, on the
     * clock of Sim.now; 0: it has been written */
    AqTime born_at;
    AqTime entry_due;
    /* the VM drops all orders that arrive before this time on the clock of
     * Sim.now */
    AqTime silent_until;
    /* when the VM last began to drop all orders, on the clock of Sim.now;
     * AQ_TIME_NEVER: it never did */
    AqTime silent_since;
    bool is_listed; /* the VM has an entry in the store */
    /* the runs on the VM make no progress */
    bool is_stalled;
    bool is_draining;
    /* ms that pass on the VM's clock for each ms of Sim.now; 0.98 to 1 */
    double clock_rate;
    /* Only orders with a fencing number from first_reach to last_reach reach
     * the VM. */
    uint64_t first_reach;
    uint64_t last_reach;
    /* number of next orders of the current pool owner that the VM refuses with
     * AQ_ORDER_UNHEALTHY */
    unsigned refused_order_count;
    /* highest fencing number of all orders that the VM has received; 0: none
     * received */
    uint64_t fence;
    /* end of the VM's lease, on the VM's own clock; 0: no order has granted
     * the VM a lease */
    AqTime lease_deadline;
    /* last time, on the clock of Sim.now, at which the VM had no valid lease;
     * 0: none */
    AqTime lease_expired_at;
    /* tail latency, ms, that the VM reports for each of its perpetual tasks */
    int64_t tail_latency_ms;
    /* array of Run: the live runs on the VM */
    GArray *runs;
    /* array of RunEnd: the ends of runs on the VM that no pool owner has
     * confirmed to the VM */
    GArray *ends;
    /* task_key() of a task -> highest run number among the task's runs that
     * ended or were stopped on this VM; runs of the task with numbers up to
     * that one can't start on this VM. */
    GHashTable *closed_runs;
    /* RunEnd.number of the last end of a run on this VM; 0: no run has ended
     * on the VM */
    int64_t last_end;
} SimVm;

typedef enum {
    ORDER_START,
    ORDER_STOP,
    ORDER_RENEWAL,
    ORDER_PACE
} OrderKind;

typedef struct SimOwner SimOwner;

/* An order to a VM, or the reply to an order, in transit. */
typedef struct {
    AqTime deliver_at;
    /* events with the same deliver_at are delivered in rising order of this
     * number */
    uint64_t sequence;
    bool is_reply;
    OrderKind kind;
    /* pool owner that receives the reply to the order; NULL: no one receives a
     * reply */
    SimOwner *owner;
    /* id of the VM's incarnation to which the order is addressed */
    char vm[AQ_VM_ID_SIZE];
    /* task whose run the order starts, stops or limits to a percentage of full
     * speed; not set in a renewal order */
    AqTaskName name;
    /* number of the run that the order starts, stops or limits to a percentage
     * of full speed */
    int64_t run;
    uint64_t fence;
    /* of a start order: end of the lease that the order grants to the VM, on
     * the VM's clock */
    AqTime deadline;
    /* contents of a renewal order, which extends the VM's lease */
    AqRenewalOrder renewal;
    /* SimVm.born_at of the incarnation to which the order was sent */
    AqTime vm_born_at;
    /* when the pool owner sent the order, on the clock of Sim.now */
    AqTime sent_at;
    /* of a renewal order, which extends the VM's lease: when the VM replies at
     * the latest, on the clock of Sim.now */
    AqTime wait_until;
    /* of a pace order, which limits the speed of a run: the speed limit, in
     * percent of full speed */
    int percent;
    /* In a reply: the result of the order, the time on the VM's clock (-1: not
     * reported) and, if the order was a renewal order, the live runs on the VM
     * and the ends of runs that no pool owner has confirmed to the VM. */
    AqOrderResult result;
    AqTime clock_ms;
    int64_t born_ms;
    AqRunningTask *running;
    size_t running_count;
    AqEndedTask *ended;
    size_t ended_count;
} Event;

struct SimOwner {
    Sim *sim;
    AqScheduler *scheduler;
    uint64_t fence;
    /* From this time on the pool owner sends no orders, because it was killed
     * or replaced, or a VM reported orders of a later pool owner;
     * AQ_TIME_NEVER: none of these has happened. */
    AqTime lease_end;
    bool has_exited;
    /* by how many ms the owner's wall clock is ahead of Sim.now */
    AqTime wall_ahead;
    /* jobs that are stored after this time are unknown to earlier owners */
    AqTime quiet_at;
    /* the owner is not told of jobs that are added */
    bool is_untold;
    /* the save_count job records that the save under way writes */
    AqJobSave saves[16];
    /* number of job records in the save under way; 0: none is */
    size_t save_count;
    /* when the pool owner's save under way ends, on the clock of Sim.now; not
     * used while save_count is 0 */
    AqTime save_due;
};

/* Actual state of a task on all VMs, independent of what the schedulers have
 * recorded.  The invariants are checked against this state. */
typedef struct {
    /* number of the task's failed runs whose ends a pool owner has confirmed
     * to the VM of the run */
    unsigned confirmed_failures;
    bool is_done; /* a run has completed the task */
    /* a run has completed the task and a pool owner has confirmed the end of
     * that run to the run's VM */
    bool is_done_confirmed;
    /* when the task's last run started, on the clock of Sim.now; 0: no run has
     * started, or the task's step allows copies */
    AqTime last_started_at;
    /* number of VMs that runs of the task have crashed */
    unsigned crashes;
    /* number of the task's starts after SIM_CRASHES_PER_TASK crashes */
    unsigned starts_after_crashes;
    /* an order stopped the task's last run, and no run of the task has started
     * since */
    bool is_stopped;
} TaskState;

/* A job in the store, and the faults that are injected into its runs. */
typedef struct {
    AqBuffer spec; /* encoded AqJobSpec */
    /* stored form of the job's progress; empty while has_record is false */
    AqBuffer record;
    bool has_record;
    bool is_cancelled;
    /* number of runs of the job's tasks that fail, counted from the next run
     * that a VM starts */
    unsigned runs_to_fail;
    /* actual duration of the job's runs, in percent of the declared
     * duration */
    int actual_duration_percent;
    unsigned started_run_count;
    /* for how long a VM is down that a run of the job's first task crashes;
     * 0: runs of the job crash no VM */
    AqTime down_ms;
    unsigned crash_count; /* VMs that runs of the job have crashed */
    AqTime stored_at;
} StoredJob;

struct Sim {
    /* Number of next pace orders that are lost. */
    unsigned lost_pace_count;
    bool do_vms_keep_ids;
    /* Number of next stop orders that are lost. */
    unsigned lost_stop_count;
    /* Bandwidth of the link that the orders of all owners share; 0: orders
     * take no time there. */
    unsigned link_bytes_per_s;
    double link_free_at; /* when the last order has left the link */
    AqRandom random;
    /* virtual clock, ms, which is also the pool owners' clock */
    AqTime now;
    SimFaults faults;
    /* the current incarnation of each VM */
    SimVm *vms[SIM_VMS];
    /* number of incarnations of all VMs so far; makes the ids of incarnations
     * unique */
    unsigned incarnation_count;
    /* array of SimVm: the incarnations of VMs that ended because the VM
     * crashed */
    GPtrArray *ended_vms;
    /* array of Event: orders and replies in transit */
    GPtrArray *events;
    /* number that the next queued event gets as its Event.sequence */
    uint64_t sequence;
    /* array of SimOwner: all owners that the pool has had since the start of
     * the simulation */
    GPtrArray *owners;
    SimOwner *owner; /* the current owner of the pool */
    /* number of owners that the pool has had since the start of the
     * simulation */
    int64_t generation;
    /* fencing number of the current pool owner */
    uint64_t fence;
    /* the current pool owner is certain that it holds its lease on the pool,
     * so it may send orders */
    bool is_lease_certain;
    GHashTable *jobs;        /* job id -> StoredJob */
    GHashTable *task_states; /* task_key() of a task -> TaskState */
    /* stored list of used VMs, to which an owner of the pool may have sent
     * orders; empty: none is stored */
    AqBuffer used_vms;
    /* from this time on no owner before the current one is active */
    AqTime settled_at;
    AqSiteConfig site;
    AqQueueConfig queue;
    AqJobTerms accepted; /* terms under which jobs are accepted */
    bool are_jobs_old;   /* stored jobs lack these terms */
    char violation[256]; /* first violated invariant; "" for none */
};

/* Records the violation of an invariant; only the first one is kept. */
static void
report_violation(Sim *sim, const char *format, ...)
{
    va_list args;
    if (sim->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    snprintf(sim->violation, sizeof(sim->violation), "at %lld ms: %s",
             (long long)sim->now, text);
    g_free(text);
}

/* Returns true with a probability of "permille" / 1000. */
static bool
draw_fault(Sim *sim, unsigned permille)
{
    return AqRandom_Below(&sim->random, 1000) < permille;
}

static bool
is_same_task(const AqTaskName *a, const AqTaskName *b)
{
    return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
           a->step == b->step && a->index == b->index;
}

static char *
task_key(const AqTaskName *name)
{
    return g_strdup_printf("%s.%u.%u.%u", name->job, name->occurrence,
                           name->step, name->index);
}

/* Returns the state of the named task, which is created when the simulation
 * has none; borrowed. */
static TaskState *
task_state(Sim *sim, const AqTaskName *name)
{
    char *key = task_key(name);
    TaskState *state = g_hash_table_lookup(sim->task_states, key);
    if (state == NULL) {
        state = g_new0(TaskState, 1);
        g_hash_table_insert(sim->task_states, key, state);
        return state;
    }
    g_free(key);
    return state;
}

/* Returns the stored job with this id; NULL when the store has no such job.
 * Borrowed. */
static StoredJob *
find_job(const Sim *sim, const char *id)
{
    return g_hash_table_lookup(sim->jobs, id);
}

/* ---- VMs ---------------------------------------------------------------- */

static SimVm *
new_vm(Sim *sim, unsigned slot)
{
    SimVm *vm = g_new0(SimVm, 1);
    snprintf(vm->id, sizeof(vm->id), "vm-%u-%u", slot,
             sim->incarnation_count++);
    snprintf(vm->address, sizeof(vm->address), "10.0.0.%u:80", slot + 1);
    vm->slot = slot;
    vm->is_alive = true;
    vm->is_listed = true;
    vm->silent_since = AQ_TIME_NEVER;
    vm->last_reach = UINT64_MAX;
    vm->clock_rate = 0.98 + AqRandom_Unit(&sim->random) * 0.02;
    vm->runs = g_array_new(FALSE, FALSE, sizeof(Run));
    vm->ends = g_array_new(FALSE, FALSE, sizeof(RunEnd));
    vm->closed_runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return vm;
}

static void
free_vm(gpointer value)
{
    SimVm *vm = value;
    g_array_free(vm->runs, TRUE);
    g_array_free(vm->ends, TRUE);
    g_hash_table_destroy(vm->closed_runs);
    g_free(vm);
}

/* Returns the time, ms, on the VM's own clock, which runs up to 2% slow. */
static AqTime
vm_clock(const Sim *sim, const SimVm *vm)
{
    return 1000 + (AqTime)((double)(sim->now - vm->born_at) * vm->clock_rate);
}

/* Returns the VM whose current incarnation has the id "id", or NULL.
 * Borrowed. */
static SimVm *
find_vm(const Sim *sim, const char *id)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (strcmp(sim->vms[i]->id, id) == 0) {
            return sim->vms[i];
        }
    }
    return NULL;
}

static void
report_vm(const SimVm *vm, AqVmReport *report)
{
    memset(report, 0, sizeof(*report));
    g_strlcpy(report->id, vm->id, sizeof(report->id));
    g_strlcpy(report->address, vm->address, sizeof(report->address));
    snprintf(report->machine, sizeof(report->machine), "m-%u", vm->slot);
    snprintf(report->rack, sizeof(report->rack), "r-%u", vm->slot / 4);
    report->cpu_millis = SIM_VM_CPU_MILLIS;
    report->memory_mb = 65536;
    report->is_draining = vm->is_draining;
    report->born_ms = UNIX_START_MS + vm->born_at;
    report->leaves_ms = -1;
}

/* Passes the VM's entry in the store to the schedulers of all pool owners that
 * have not exited. */
static void
list_vm(Sim *sim, const SimVm *vm)
{
    AqVmReport report;
    report_vm(vm, &report);
    for (guint i = 0; i < sim->owners->len; i++) {
        const SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->has_exited) {
            AqScheduler_SetVm(owner->scheduler, &report, sim->now);
        }
    }
}

/* Removes the VM's entry from the store and reports the removal to the
 * schedulers of all pool owners that have not exited. */
static void
unlist_vm(Sim *sim, SimVm *vm)
{
    vm->is_listed = false;
    for (guint i = 0; i < sim->owners->len; i++) {
        const SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->has_exited) {
            AqScheduler_VmUnlisted(owner->scheduler, vm->id, sim->now);
        }
    }
}

/* Returns the highest run number among the task's runs that ended or were
 * stopped on the VM; 0 for none. */
static int64_t
highest_closed_run(const SimVm *vm, const AqTaskName *name)
{
    char *key = task_key(name);
    const int64_t *run = g_hash_table_lookup(vm->closed_runs, key);
    g_free(key);
    return run != NULL ? *run : 0;
}

/* Bars runs of the task with numbers up to "run" from starting on the VM. */
static void
close_run(SimVm *vm, const AqTaskName *name, int64_t run)
{
    if (run > highest_closed_run(vm, name)) {
        int64_t *value = g_new(int64_t, 1);
        *value = run;
        g_hash_table_replace(vm->closed_runs, task_key(name), value);
    }
}

/* Ends the run at index "at" of vm->runs, and adds the end of the run to
 * vm->ends, which the VM lists in its replies. */
static void
end_run(Sim *sim, SimVm *vm, guint at, AqEndKind kind)
{
    const Run *run = &g_array_index(vm->runs, Run, at);
    RunEnd end = {++vm->last_end, run->name, run->run, kind, sim->now};
    if (kind == AQ_END_DONE) {
        task_state(sim, &run->name)->is_done = true;
    }
    close_run(vm, &run->name, run->run);
    g_array_append_val(vm->ends, end);
    g_array_remove_index(vm->runs, at);
}

/* Ends the runs of the gang to which the task belongs. */
static void
break_gang(Sim *sim, const AqTaskName *name)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        SimVm *vm = sim->vms[i];
        for (guint j = vm->runs->len; j-- > 0;) {
            const Run *run = &g_array_index(vm->runs, Run, j);
            if (run->is_gang && strcmp(run->name.job, name->job) == 0 &&
                run->name.step == name->step) {
                end_run(sim, vm, j, AQ_END_BROKEN);
            }
        }
    }
}

/* Crashes the VM if one of its runs is to do so now. */
static void
crash_if_due(Sim *sim, SimVm *vm)
{
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->crash_at > 0 && run->crash_at <= sim->now) {
            StoredJob *job = find_job(sim, run->name.job);
            AqTaskName name = run->name;
            bool is_gang = run->is_gang;
            task_state(sim, &name)->crashes++;
            job->crash_count++;
            sim_crash_vm_for(sim, vm->slot, job->down_ms);
            if (is_gang) {
                break_gang(sim, &name);
            }
            return;
        }
    }
}

/* Advances the VM's runs by one tick; ends all runs on the VM when the VM's
 * lease has expired. */
static void
run_tasks(Sim *sim, SimVm *vm)
{
    bool is_lease_expired = vm_clock(sim, vm) > vm->lease_deadline;
    if (is_lease_expired) {
        vm->lease_expired_at = sim->now;
    }
    for (guint i = vm->runs->len; i-- > 0;) {
        Run *run = &g_array_index(vm->runs, Run, i);
        if (is_lease_expired) {
            end_run(sim, vm, i, AQ_END_LAPSED);
            continue;
        }
        if (vm->is_stalled) {
            continue;
        }
        run->worked_ms += TICK_MS * run->pace_percent / 100;
        if (run->will_fail && run->worked_ms >= run->duration_ms / 4) {
            end_run(sim, vm, i, AQ_END_FAILED);
        }
        else if (!run->is_perpetual && run->worked_ms >= run->duration_ms) {
            end_run(sim, vm, i, AQ_END_DONE);
        }
    }
}

/* ---- Invariants --------------------------------------------------------- */

/* Reports a violation if a run of the task is alive on any VM while another
 * run of the task starts on the VM "starter". */
static void
check_single_run(Sim *sim, const SimVm *starter, const AqTaskName *name)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        const SimVm *vm = sim->vms[i];
        for (guint j = 0; j < vm->runs->len; j++) {
            const Run *run = &g_array_index(vm->runs, Run, j);
            if (strcmp(run->name.job, name->job) == 0 &&
                run->name.step == name->step &&
                run->name.index == name->index) {
                report_violation(
                    sim, "task %s.%u.%u starts on %s while it runs on %s",
                    name->job, name->step, name->index, starter->id, vm->id);
            }
        }
    }
}

/* Reports a violation if the task's step must wait for another step, of which
 * a task is not done. */
static void
check_step_order(Sim *sim, const AqJobSpec *spec, const AqTaskName *name)
{
    const AqStepSpec *step = &spec->steps[name->step];
    for (size_t i = 0; i < step->after_count; i++) {
        AqTaskName earlier = *name;
        earlier.step = step->after[i];
        for (uint32_t j = 0; j < spec->steps[earlier.step].task_count; j++) {
            earlier.index = j;
            if (!task_state(sim, &earlier)->is_done) {
                report_violation(sim,
                                 "step %s.%u starts before step %u is done",
                                 name->job, name->step, earlier.step);
            }
        }
    }
}

/* Reports a violation if a run of the task may not start on the VM now:
 * another run of the task is alive, a step that must be done first is not
 * done, the task's end was confirmed, the task has too many failed runs, or
 * the limit on the step's tasks per VM or on the VM's CPU would be
 * exceeded. */
static void
check_start(Sim *sim, const SimVm *vm, const AqJobSpec *spec,
            const AqTaskName *name)
{
    TaskState *state = task_state(sim, name);
    const AqStepSpec *step = &spec->steps[name->step];
    unsigned same_step_count = 0;
    int64_t cpu = step->cpu_millis;
    if (!step->allows_copies) {
        state->last_started_at = sim->now;
        check_single_run(sim, vm, name);
    }
    check_step_order(sim, spec, name);
    if (state->crashes >= SIM_CRASHES_PER_TASK &&
        ++state->starts_after_crashes > SIM_STARTS_AFTER_CRASHES) {
        report_violation(sim, "task %s.%u.%u starts after %u crashes",
                         name->job, name->step, name->index, state->crashes);
    }
    if (state->is_done_confirmed && !step->allows_copies) {
        report_violation(sim,
                         "task %s.%u.%u starts after its end was confirmed",
                         name->job, name->step, name->index);
    }
    if (!step->is_perpetual && state->confirmed_failures >= MAX_ATTEMPTS) {
        report_violation(sim, "task %s.%u.%u starts after %u failed runs",
                         name->job, name->step, name->index,
                         state->confirmed_failures);
    }
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        cpu += run->cpu_millis;
        same_step_count += strcmp(run->name.job, name->job) == 0 &&
                           run->name.step == name->step;
    }
    if (step->max_per_vm > 0 && same_step_count >= step->max_per_vm) {
        report_violation(sim, "step %s.%u has too many tasks, %u, on VM %s",
                         name->job, name->step, same_step_count + 1, vm->id);
    }
    if (cpu > SIM_VM_CPU_MILLIS) {
        report_violation(
            sim, "VM %s has more tasks than its CPU capacity allows", vm->id);
    }
}

/* ---- Orders at a VM ----------------------------------------------------- */

static void
extend_lease(const Sim *sim, SimVm *vm, AqTime deadline)
{
    AqTime latest = vm_clock(sim, vm) + SIM_LONGEST_LEASE_MS;
    deadline = deadline < latest ? deadline : latest;
    if (deadline > vm->lease_deadline) {
        vm->lease_deadline = deadline;
    }
}

/* Executes a start order on the VM; for a run that is already alive on the VM
 * the result is AQ_ORDER_DONE without any effect. */
static AqOrderResult
do_start(Sim *sim, SimVm *vm, const Event *event)
{
    AqJobSpec spec;
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run == event->run && is_same_task(&run->name, &event->name)) {
            return AQ_ORDER_DONE;
        }
    }
    if (event->deadline < vm_clock(sim, vm)) {
        return AQ_ORDER_LATE;
    }
    if (event->run <= highest_closed_run(vm, &event->name)) {
        return AQ_ORDER_OLD_RUN;
    }
    StoredJob *stored = find_job(sim, event->name.job);
    if (stored == NULL || !AqJobSpec_Decode(AqBuffer_Text(&stored->spec),
                                            stored->spec.size, &spec, NULL)) {
        report_violation(sim, "job %s was started but never submitted",
                         event->name.job);
        return AQ_ORDER_INVALID;
    }
    const AqStepSpec *step = &spec.steps[event->name.step];
    check_start(sim, vm, &spec, &event->name);
    task_state(sim, &event->name)->is_stopped = false;
    Run run = {
        .name = event->name,
        .run = event->run,
        .started_at = sim->now,
        .duration_ms =
            step->estimate_ms * stored->actual_duration_percent / 100,
        .is_perpetual = step->is_perpetual,
        .is_gang = step->is_gang,
        .cpu_millis = step->is_filler ? 0 : step->cpu_millis,
        .pace_percent = 100,
        .will_fail = stored->runs_to_fail > 0 ||
                     draw_fault(sim, sim->faults.failing_runs_permille),
    };
    if (stored->runs_to_fail > 0) {
        stored->runs_to_fail--;
    }
    if (stored->down_ms > 0 && event->name.step == 0 &&
        event->name.index == 0) {
        run.crash_at = sim->now + CRASH_DELAY_MS;
    }
    stored->started_run_count++;
    g_array_append_val(vm->runs, run);
    extend_lease(sim, vm, event->deadline);
    AqJobSpec_Clear(&spec);
    return AQ_ORDER_DONE;
}

/* Reports a violation if the stop of the task's run leaves more tasks of its
 * step missing than the step's limit allows.  A task on a draining VM must be
 * stopped whatever that limit is. */
static void
check_stop(Sim *sim, const SimVm *vm, const AqTaskName *name)
{
    AqJobSpec spec;
    const StoredJob *stored = find_job(sim, name->job);
    if (vm->is_draining || stored == NULL ||
        !AqJobSpec_Decode(AqBuffer_Text(&stored->spec), stored->spec.size,
                          &spec, NULL)) {
        return;
    }
    const AqStepSpec *step = &spec.steps[name->step];
    unsigned missing_count = 0;
    for (uint32_t i = 0; i < step->task_count; i++) {
        AqTaskName other = *name;
        other.index = i;
        missing_count +=
            i != name->index && task_state(sim, &other)->is_stopped;
    }
    if (step->limits_missing && missing_count >= step->may_miss) {
        report_violation(
            sim, "task %s.%u.%u is stopped while %u others are missing",
            name->job, name->step, name->index, missing_count);
    }
    AqJobSpec_Clear(&spec);
}

/* Executes a stop order on the VM: ends the task's runs with numbers up to the
 * order's run number and bars runs with these numbers from a later start. */
static void
do_stop(Sim *sim, SimVm *vm, const Event *event)
{
    for (guint i = vm->runs->len; i-- > 0;) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run <= event->run && is_same_task(&run->name, &event->name)) {
            check_stop(sim, vm, &event->name);
            task_state(sim, &event->name)->is_stopped = true;
            end_run(sim, vm, i, AQ_END_STOPPED);
        }
    }
    close_run(vm, &event->name, event->run);
}

/* Removes from vm->ends the ends of runs with a RunEnd.number up to
 * "acked_end", since the pool owner's renewal order confirms these ends.
 * Reports a violation if a run of a task has started since the end of the run
 * that completed the task. */
static void
forget_ends(Sim *sim, SimVm *vm, int64_t acked_end)
{
    for (guint i = vm->ends->len; i-- > 0;) {
        const RunEnd *end = &g_array_index(vm->ends, RunEnd, i);
        if (end->number > acked_end) {
            continue;
        }
        TaskState *state = task_state(sim, &end->name);
        /* The end of a run that completed its task is not checked if the VM's
         * lease has expired since that end: the scheduler may have restarted
         * the task after the expiry. */
        if (end->kind == AQ_END_DONE && vm->lease_expired_at < end->ended_at) {
            state->is_done_confirmed = true;
            if (state->last_started_at > end->ended_at) {
                report_violation(
                    sim,
                    "task %s.%u.%u was started after the end confirmed now",
                    end->name.job, end->name.step, end->name.index);
            }
        }
        state->confirmed_failures += end->kind == AQ_END_FAILED;
        g_array_remove_index(vm->ends, i);
    }
}

/* Adds the VM's live runs, and the ends of runs that no pool owner has
 * confirmed to the VM, to "reply", the VM's reply to a renewal order, which
 * extends the VM's lease. */
static void
fill_lists(const SimVm *vm, Event *reply)
{
    reply->running = g_new0(AqRunningTask, vm->runs->len + 1);
    reply->ended = g_new0(AqEndedTask, vm->ends->len + 1);
    reply->running_count = vm->runs->len;
    reply->ended_count = vm->ends->len;
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        AqTime duration_ms = run->duration_ms > 0 ? run->duration_ms : 1;
        reply->running[i] = (AqRunningTask){
            .task = run->name,
            .run = run->run,
            .checkpoint = "",
            .percent =
                run->is_perpetual ? 100 : run->worked_ms * 100 / duration_ms,
            .usage = run->is_perpetual ? vm->tail_latency_ms : run->cpu_millis,
        };
    }
    for (guint i = 0; i < vm->ends->len; i++) {
        const RunEnd *end = &g_array_index(vm->ends, RunEnd, i);
        reply->ended[i] = (AqEndedTask){
            .number = end->number,
            .task = end->name,
            .run = end->run,
            .kind = end->kind,
            .checkpoint = "",
        };
    }
}

static void
do_pace(SimVm *vm, const Event *event)
{
    for (guint i = 0; i < vm->runs->len; i++) {
        Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run == event->run && is_same_task(&run->name, &event->name)) {
            run->pace_percent = event->percent;
        }
    }
}

/* Executes an order on the VM unless the VM has received an order with a
 * higher fencing number; the result is then AQ_ORDER_FENCED. */
static AqOrderResult
execute_order(Sim *sim, SimVm *vm, const Event *event)
{
    if (event->fence < vm->fence) {
        return AQ_ORDER_FENCED;
    }
    vm->fence = event->fence;
    switch (event->kind) {
    case ORDER_START:
        return do_start(sim, vm, event);
    case ORDER_STOP:
        do_stop(sim, vm, event);
        break;
    case ORDER_RENEWAL:
        forget_ends(sim, vm, event->renewal.acked_end);
        extend_lease(sim, vm, event->renewal.deadline_ms);
        break;
    case ORDER_PACE:
        do_pace(vm, event);
        break;
    }
    return AQ_ORDER_DONE;
}

/* ---- Events ------------------------------------------------------------- */

static void
free_event(gpointer value)
{
    Event *event = value;
    g_free(event->running);
    g_free(event->ended);
    g_free(event);
}

/* Queues the event for delivery and takes over the event. */
static void
queue_event(Sim *sim, Event *event)
{
    event->sequence = sim->sequence++;
    g_ptr_array_add(sim->events, event);
}

/* Returns a copy of the event without its lists of runs and ends of runs;
 * owned by the caller. */
static Event *
copy_event(const Event *event)
{
    Event *copy = g_new0(Event, 1);
    *copy = *event;
    copy->running = NULL;
    copy->ended = NULL;
    return copy;
}

/* Queues a reply with "result" to "order" for delivery, at "deliver_at", to
 * the pool owner that sent the order; no effect if order->owner is NULL.  "vm"
 * is the VM that replies; NULL: the reply, AQ_ORDER_UNKNOWN or
 * AQ_ORDER_OTHER_LIFE, reports no VM clock and lists no runs. */
static void
queue_reply(Sim *sim, const Event *order, SimVm *vm, AqOrderResult result,
            AqTime deliver_at)
{
    if (order->owner == NULL) {
        return;
    }
    Event *event = copy_event(order);
    event->is_reply = true;
    event->deliver_at = deliver_at;
    event->result = result;
    event->clock_ms = vm != NULL ? vm_clock(sim, vm) : -1;
    if (vm != NULL && result == AQ_ORDER_DONE &&
        order->kind == ORDER_RENEWAL) {
        event->born_ms = UNIX_START_MS + vm->born_at;
        fill_lists(vm, event);
    }
    queue_event(sim, event);
}

/* Executes an order that has arrived at its VM and queues the reply.  A
 * renewal order, which extends the VM's lease and may wait, is repeated at
 * each tick until the VM has an end of a run to list or the order's wait_until
 * is reached. */
static void
deliver_order(Sim *sim, Event *event)
{
    SimVm *vm = find_vm(sim, event->vm);
    if (vm == NULL) {
        queue_reply(sim, event, NULL, AQ_ORDER_OTHER_LIFE,
                    sim->now + REPLY_DELAY_MS);
        return;
    }
    bool is_lost =
        event->vm_born_at != vm->born_at && !sim->faults.do_orders_outlive_vms;
    if (is_lost || vm->silent_until > sim->now ||
        event->fence < vm->first_reach || event->fence > vm->last_reach) {
        queue_reply(sim, event, NULL, AQ_ORDER_UNKNOWN,
                    sim->now + SIM_REPLY_TIMEOUT_MS);
        return;
    }
    if (vm->refused_order_count > 0 && event->fence == sim->fence) {
        vm->refused_order_count--;
        queue_reply(sim, event, vm, AQ_ORDER_UNHEALTHY,
                    sim->now + REPLY_DELAY_MS);
        return;
    }
    bool is_waiting = event->kind == ORDER_RENEWAL &&
                      event->wait_until > sim->now && vm->ends->len == 0;
    if (is_waiting && event->renewal.wait_ms > 0) {
        if (event->fence >= vm->fence) {
            execute_order(sim, vm, event);
        }
        Event *retry = copy_event(event);
        retry->deliver_at = sim->now + TICK_MS;
        queue_event(sim, retry);
        return;
    }
    AqOrderResult result = execute_order(sim, vm, event);
    if (draw_fault(sim, sim->faults.lost_replies_permille)) {
        queue_reply(sim, event, NULL, AQ_ORDER_UNKNOWN,
                    sim->now + SIM_REPLY_TIMEOUT_MS);
    }
    else {
        queue_reply(sim, event, vm, result, sim->now + REPLY_DELAY_MS);
    }
}

static void
deliver_reply(Sim *sim, const Event *event)
{
    AqScheduler *s = event->owner->scheduler;
    AqOrderReply reply = {
        .result = event->result,
        .clock_ms = event->clock_ms,
        .born_ms = event->born_ms,
        .running = event->running,
        .running_count = event->running_count,
        .ended = event->ended,
        .ended_count = event->ended_count,
    };
    if (event->owner->has_exited) {
        return;
    }
    switch (event->kind) {
    case ORDER_START:
        AqScheduler_OnStart(s, event->vm, &event->name, event->run, &reply,
                            sim->now);
        break;
    case ORDER_STOP:
        AqScheduler_OnStop(s, event->vm, &event->name, event->run, &reply,
                           sim->now);
        break;
    case ORDER_RENEWAL:
        AqScheduler_OnRenewal(s, event->vm, event->sent_at, &reply, sim->now);
        break;
    case ORDER_PACE:
        AqScheduler_OnPace(s, event->vm, &event->name, event->run, &reply,
                           sim->now);
        break;
    }
}

static int
compare_events(gconstpointer a, gconstpointer b)
{
    const Event *first = *(const Event *const *)a;
    const Event *second = *(const Event *const *)b;
    if (first->deliver_at != second->deliver_at) {
        return first->deliver_at < second->deliver_at ? -1 : 1;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

/* Delivers the orders and replies that are due, in order of their
 * deliver_at. */
static void
deliver_due(Sim *sim)
{
    GPtrArray *due = g_ptr_array_new_with_free_func(free_event);
    for (guint i = sim->events->len; i-- > 0;) {
        const Event *event = g_ptr_array_index(sim->events, i);
        if (event->deliver_at <= sim->now) {
            g_ptr_array_add(due, g_ptr_array_steal_index_fast(sim->events, i));
        }
    }
    g_ptr_array_sort(due, compare_events);
    for (guint i = 0; i < due->len; i++) {
        Event *event = g_ptr_array_index(due, i);
        if (event->is_reply) {
            deliver_reply(sim, event);
        }
        else {
            deliver_order(sim, event);
        }
    }
    g_ptr_array_free(due, TRUE);
}

/* ---- Actions of a scheduler --------------------------------------------- */

static Event *
new_order(SimOwner *owner, OrderKind kind, const AqOrderTarget *target)
{
    Event *event = g_new0(Event, 1);
    event->owner = owner;
    event->kind = kind;
    event->fence = owner->fence;
    event->sent_at = owner->sim->now;
    event->deliver_at =
        owner->sim->now + 1 + (AqTime)AqRandom_Below(&owner->sim->random, 3);
    g_strlcpy(event->vm, target->vm, sizeof(event->vm));
    const SimVm *vm = find_vm(owner->sim, target->vm);
    event->vm_born_at = vm != NULL ? vm->born_at : 0;
    return event;
}

/* Returns how long the order waits for the owners' link, on which the orders
 * follow one another. */
static AqTime
link_wait(Sim *sim, const Event *event)
{
    if (sim->link_bytes_per_s == 0) {
        return 0;
    }
    double bytes = event->kind == ORDER_START ? START_BYTES : ORDER_BYTES;
    double now = (double)sim->now;
    double begin = sim->link_free_at > now ? sim->link_free_at : now;
    sim->link_free_at = begin + bytes * 1000.0 / sim->link_bytes_per_s;
    return (AqTime)(sim->link_free_at - now);
}

/* Sends the order, or delays it as a fault or because of a full link.  An
 * order that comes too late for its reply ends with AQ_ORDER_UNKNOWN.  Takes
 * over the event. */
static void
send_order(SimOwner *owner, Event *event)
{
    Sim *sim = owner->sim;
    AqTime delay = link_wait(sim, event);
    if (draw_fault(sim, sim->faults.delayed_orders_permille)) {
        delay = 1000 + (AqTime)AqRandom_Below(&sim->random, 5000);
    }
    event->deliver_at += delay;
    if (delay >= SIM_REPLY_TIMEOUT_MS) {
        Event *late = copy_event(event);
        late->owner = NULL;
        queue_event(sim, late);
        queue_reply(sim, event, NULL, AQ_ORDER_UNKNOWN,
                    sim->now + SIM_REPLY_TIMEOUT_MS);
        free_event(event);
        return;
    }
    queue_event(sim, event);
}

void
sim_set_link(Sim *sim, unsigned bytes_per_s)
{
    sim->link_bytes_per_s = bytes_per_s;
}

static void
on_start(void *context, const AqOrderTarget *target, const AqStartOrder *order)
{
    Event *event = new_order(context, ORDER_START, target);
    event->name = order->task;
    event->run = order->run;
    event->deadline = order->deadline_ms;
    send_order(context, event);
}

static void
on_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run)
{
    SimOwner *owner = context;
    Event *event = new_order(owner, ORDER_STOP, target);
    event->name = *task;
    event->run = run;
    if (owner->sim->lost_stop_count > 0) {
        owner->sim->lost_stop_count--;
        queue_reply(owner->sim, event, NULL, AQ_ORDER_UNKNOWN,
                    owner->sim->now + SIM_REPLY_TIMEOUT_MS);
        free_event(event);
        return;
    }
    send_order(owner, event);
}

static void
on_renewal(void *context, const AqOrderTarget *target,
           const AqRenewalOrder *order)
{
    SimOwner *owner = context;
    Event *event = new_order(owner, ORDER_RENEWAL, target);
    event->renewal = *order;
    event->wait_until = owner->sim->now + order->wait_ms;
    send_order(owner, event);
}

static void
on_pace(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run, int percent)
{
    Event *event = new_order(context, ORDER_PACE, target);
    event->name = *task;
    event->run = run;
    event->percent = percent;
    Sim *sim = ((SimOwner *)context)->sim;
    if (sim->lost_pace_count > 0) {
        sim->lost_pace_count--;
        queue_reply(sim, event, NULL, AQ_ORDER_UNKNOWN,
                    sim->now + REPLY_DELAY_MS);
        free_event(event);
        return;
    }
    send_order(context, event);
}

static void
on_request_tickets(void *context, const AqTaskName *step,
                   const char *const *vms, size_t count)
{
    SimOwner *owner = context;
    for (size_t i = 0; i < count; i++) {
        AqScheduler_OnTicket(owner->scheduler, step, vms[i], "ticket", 3000,
                             owner->sim->now);
    }
    AqScheduler_OnTicketsEnd(owner->scheduler, step, true, owner->sim->now);
}

static void
on_superseded(void *context)
{
    SimOwner *owner = context;
    owner->lease_end = owner->sim->now;
}

/* ---- Owners ------------------------------------------------------------- */

static void tick(Sim *sim);

/* Ends the pool owner's save under way: stores its job records unless the save
 * fails.  A save of a pool owner that was replaced always fails. */
static void
end_save(SimOwner *owner)
{
    Sim *sim = owner->sim;
    bool is_owner = owner == sim->owner;
    bool is_stored =
        is_owner && !draw_fault(sim, sim->faults.failed_saves_permille);
    for (size_t i = 0; is_stored && i < owner->save_count; i++) {
        StoredJob *stored = find_job(sim, owner->saves[i].id);
        AqBuffer_Clear(&stored->record);
        AqBuffer_Append(&stored->record,
                        AqBuffer_Text(&owner->saves[i].record),
                        owner->saves[i].record.size);
        stored->has_record = true;
    }
    AqScheduler_EndSave(owner->scheduler, owner->saves, owner->save_count,
                        is_stored, sim->now);
    owner->save_count = 0;
}

/* Ends the pool owner's save under way when it is due, or begins the next
 * save.  When the current pool owner begins a save, the list of used VMs, to
 * which a pool owner may have sent orders, is stored in the same step, without
 * the delay of SAVE_DURATION_MS. */
static void
save(SimOwner *owner)
{
    Sim *sim = owner->sim;
    AqScheduler *s = owner->scheduler;
    if (owner->save_count > 0) {
        if (owner->save_due <= sim->now) {
            end_save(owner);
        }
        return;
    }
    owner->save_count = AqScheduler_BeginSave(s, owner->saves, 16);
    owner->save_due = sim->now + SAVE_DURATION_MS;
    if (owner == sim->owner) {
        AqBuffer_Clear(&sim->used_vms);
        AqScheduler_EncodeUsedVms(s, &sim->used_vms);
        AqScheduler_UsedVmsSaved(s, AqScheduler_UsedVmsVersion(s));
    }
}

/* Lets the pool owner's scheduler send the orders that are due, begins or ends
 * a save of the scheduler's job records, and reports a violation if the
 * scheduler is inconsistent. */
static void
run_owner(SimOwner *owner)
{
    Sim *sim = owner->sim;
    AqError error;
    bool may_order = (owner == sim->owner ? sim->is_lease_certain
                                          : sim->now < owner->lease_end);
    if (owner == sim->owner && sim->is_lease_certain) {
        AqScheduler_ConfirmOwnership(owner->scheduler, sim->now);
    }
    AqScheduler_Tick(owner->scheduler, sim->now, sim->now + owner->wall_ahead,
                     may_order);
    save(owner);
    if (!AqScheduler_CheckConsistency(owner->scheduler, &error)) {
        report_violation(sim, "%s", error.message);
    }
}

static void
load_job(SimOwner *owner, const StoredJob *stored)
{
    AqJobSpec spec;
    AqError error;
    char id[AQ_JOB_ID_SIZE];
    if (!AqJobSpec_Decode(AqBuffer_Text(&stored->spec), stored->spec.size,
                          &spec, &error)) {
        report_violation(owner->sim, "%s", error.message);
        return;
    }
    memcpy(id, spec.id, sizeof(id));
    const char *record =
        stored->has_record ? AqBuffer_Text(&stored->record) : NULL;
    if (!AqScheduler_AddJob(
            owner->scheduler, &spec, record, stored->record.size,
            stored->stored_at > owner->quiet_at, owner->sim->now, &error)) {
        report_violation(owner->sim, "%s", error.message);
    }
    if (stored->is_cancelled) {
        AqScheduler_CancelJob(owner->scheduler, id, owner->sim->now);
    }
}

void
sim_start_owner(Sim *sim, bool previous_may_be_active)
{
    static const AqSchedulerActions actions = {
        on_start,           on_stop,       on_renewal, on_pace,
        on_request_tickets, on_superseded,
    };
    GHashTableIter iter;
    gpointer value;
    SimOwner *owner = g_new0(SimOwner, 1);
    AqSchedulerConfig config = {
        .pool = "pool",
        .fence = ++sim->fence,
        .generation = sim->generation++,
        .lease_ms = SIM_LEASE_MS,
        .longest_lease_ms = SIM_LONGEST_LEASE_MS,
    };
    /* As Member does: an owner that follows within the time in which another
     * may be active waits too, whatever became of its predecessor. */
    if (previous_may_be_active || sim->now < sim->settled_at) {
        config.earlier_owner_ms = SIM_OWNER_LEASE_MS;
        sim->settled_at = sim->now + SIM_OWNER_LEASE_MS;
    }
    if (sim->owner != NULL) {
        sim->owner->lease_end =
            previous_may_be_active ? sim->now + SIM_OWNER_LEASE_MS : sim->now;
    }
    owner->sim = sim;
    owner->fence = config.fence;
    owner->lease_end = AQ_TIME_NEVER;
    owner->quiet_at = sim->now + config.earlier_owner_ms;
    owner->scheduler = AqScheduler_Create(&config, &actions, owner, sim->now);
    AqScheduler_SetSite(owner->scheduler, &sim->site);
    AqScheduler_Tick(owner->scheduler, sim->now, sim->now, false);
    g_ptr_array_add(sim->owners, owner);
    sim->owner = owner;
    sim->is_lease_certain = true;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        AqVmReport report;
        report_vm(sim->vms[i], &report);
        if (sim->vms[i]->is_listed) {
            AqScheduler_SetVm(owner->scheduler, &report, sim->now);
        }
    }
    if (sim->used_vms.size > 0) {
        AqScheduler_AddUsedVms(owner->scheduler, AqBuffer_Text(&sim->used_vms),
                               sim->used_vms.size, sim->now);
    }
    g_hash_table_iter_init(&iter, sim->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        load_job(owner, value);
    }
    AqScheduler_SetLoaded(owner->scheduler);
}

void
sim_kill_owner(Sim *sim)
{
    sim->owner->has_exited = true;
    sim->owner->lease_end = sim->now;
}

/* Stores the changed records and the live runs of the current pool owner, and
 * ends that owner. */
static void
give_up_pool(Sim *sim)
{
    SimOwner *owner = sim->owner;
    AqScheduler *s = owner->scheduler;
    AqScheduler_Close(s);
    while (AqScheduler_HasUnsaved(s) && sim->violation[0] == '\0') {
        tick(sim);
    }
    AqBuffer_Clear(&sim->used_vms);
    AqScheduler_EncodeUsedVms(s, &sim->used_vms);
    sim_kill_owner(sim);
}

void
sim_hand_over(Sim *sim)
{
    give_up_pool(sim);
    sim_start_owner(sim, false);
}

void
sim_hand_over_unsaved(Sim *sim)
{
    AqScheduler_Close(sim->owner->scheduler);
    AqBuffer_Clear(&sim->used_vms);
    AqScheduler_EncodeUsedVms(sim->owner->scheduler, &sim->used_vms);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
}

void
sim_hand_over_cancelling(Sim *sim, const char *id)
{
    give_up_pool(sim);
    find_job(sim, id)->is_cancelled = true;
    sim_start_owner(sim, false);
}

AqScheduler *
sim_scheduler(const Sim *sim)
{
    return sim->owner->scheduler;
}

void
sim_set_lease_certain(Sim *sim, bool is_lease_certain)
{
    sim->is_lease_certain = is_lease_certain;
}

void
sim_set_wall_ahead(Sim *sim, AqTime ms)
{
    sim->owner->wall_ahead = ms;
}

void
sim_set_told_of_jobs(Sim *sim, bool is_told)
{
    GHashTableIter iter;
    gpointer value;
    sim->owner->is_untold = !is_told;
    g_hash_table_iter_init(&iter, sim->jobs);
    while (is_told && g_hash_table_iter_next(&iter, NULL, &value)) {
        load_job(sim->owner, value);
    }
}

/* ---- Time --------------------------------------------------------------- */

/* Removes the VM's entry from the store when the VM has been silent for
 * longer than LISTING_TTL_MS; adds the entry again once the VM is no longer
 * silent. */
static void
update_listing(Sim *sim, SimVm *vm)
{
    bool is_silent = vm->silent_until > sim->now;
    if (is_silent && vm->is_listed &&
        sim->now - vm->silent_since > LISTING_TTL_MS) {
        unlist_vm(sim, vm);
    }
    else if (!is_silent && !vm->is_listed) {
        vm->is_listed = true;
        list_vm(sim, vm);
    }
}

/* Starts a crashed VM again, or writes the entry of one that has started again
 * under its id, if that is due. */
static void
restart_if_due(Sim *sim, unsigned slot)
{
    SimVm *vm = sim->vms[slot];
    if (!vm->is_alive && vm->restart_at <= sim->now) {
        if (!vm->keeps_id) {
            sim_crash_vm(sim, slot);
            return;
        }
        SimVm *next = new_vm(sim, slot);
        g_strlcpy(next->id, vm->id, sizeof(next->id));
        next->is_listed = vm->is_listed;
        next->born_at = sim->now;
        next->entry_due =
            sim->now + 1 +
            (AqTime)AqRandom_Below(&sim->random, MAX_ENTRY_DELAY_MS);
        g_ptr_array_add(sim->ended_vms, vm);
        sim->vms[slot] = next;
    }
    else if (vm->entry_due > 0 && vm->entry_due <= sim->now) {
        vm->entry_due = 0;
        vm->is_listed = true;
        list_vm(sim, vm);
    }
}

/* Advances the virtual clock by TICK_MS, with all VMs, orders and owners. */
static void
tick(Sim *sim)
{
    sim->now += TICK_MS;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        crash_if_due(sim, sim->vms[i]);
        run_tasks(sim, sim->vms[i]);
        update_listing(sim, sim->vms[i]);
        restart_if_due(sim, i);
    }
    deliver_due(sim);
    for (guint i = 0; i < sim->owners->len; i++) {
        SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->has_exited) {
            run_owner(owner);
        }
    }
}

void
sim_run(Sim *sim, AqTime ms)
{
    AqTime end = sim->now + ms;
    while (sim->now < end && sim->violation[0] == '\0') {
        tick(sim);
    }
}

bool
sim_run_until_finished(Sim *sim, AqTime timeout_ms)
{
    AqTime end = sim->now + timeout_ms;
    while (sim->now < end && sim->violation[0] == '\0') {
        GHashTableIter iter;
        gpointer key;
        bool is_finished = true;
        g_hash_table_iter_init(&iter, sim->jobs);
        while (g_hash_table_iter_next(&iter, &key, NULL)) {
            is_finished =
                is_finished && sim_stage(sim, key) >= AQ_STAGE_COMPLETED;
        }
        if (is_finished) {
            return true;
        }
        tick(sim);
    }
    return false;
}

AqTime
sim_now(const Sim *sim)
{
    return sim->now;
}

const char *
sim_violation(const Sim *sim)
{
    return sim->violation[0] != '\0' ? sim->violation : NULL;
}

/* ---- Faults of VMs ------------------------------------------------------ */

void
sim_silence_vm(Sim *sim, unsigned vm, AqTime ms)
{
    sim->vms[vm]->silent_since = sim->now;
    sim->vms[vm]->silent_until = sim->now + ms;
}

void
sim_limit_reach(Sim *sim, unsigned vm, uint64_t first, uint64_t last)
{
    sim->vms[vm]->first_reach = first;
    sim->vms[vm]->last_reach = last;
}

void
sim_refuse_orders(Sim *sim, unsigned vm, unsigned count)
{
    sim->vms[vm]->refused_order_count = count;
}

void
sim_lose_stops(Sim *sim, unsigned count)
{
    sim->lost_stop_count = count;
}

void
sim_crash_vm(Sim *sim, unsigned vm)
{
    SimVm *old = sim->vms[vm];
    old->is_alive = false;
    unlist_vm(sim, old);
    g_array_set_size(old->runs, 0);
    g_ptr_array_add(sim->ended_vms, old);
    sim->vms[vm] = new_vm(sim, vm);
    list_vm(sim, sim->vms[vm]);
}

void
sim_crash_vm_for(Sim *sim, unsigned vm, AqTime down_ms)
{
    SimVm *old = sim->vms[vm];
    old->is_alive = false;
    old->restart_at = sim->now + down_ms;
    old->keeps_id = sim->do_vms_keep_ids;
    g_array_set_size(old->runs, 0);
    sim_silence_vm(sim, vm, down_ms);
}

void
sim_keep_ids(Sim *sim)
{
    sim->do_vms_keep_ids = true;
}

void
sim_restart_vm(Sim *sim, unsigned vm, AqTime down_ms)
{
    sim_crash_vm_for(sim, vm, down_ms);
    sim->vms[vm]->keeps_id = true;
}

void
sim_stall_vm(Sim *sim, unsigned vm, bool is_stalled)
{
    sim->vms[vm]->is_stalled = is_stalled;
}

void
sim_drain_vm(Sim *sim, unsigned vm)
{
    sim->vms[vm]->is_draining = true;
    list_vm(sim, sim->vms[vm]);
}

const char *
sim_vm_id(const Sim *sim, unsigned vm)
{
    return sim->vms[vm]->id;
}

unsigned
sim_count_runs(const Sim *sim, unsigned vm, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < sim->vms[vm]->runs->len; i++) {
        const Run *run = &g_array_index(sim->vms[vm]->runs, Run, i);
        count += job == NULL || strcmp(run->name.job, job) == 0;
    }
    return count;
}

void
sim_set_tail_latency(Sim *sim, unsigned vm, int64_t ms)
{
    sim->vms[vm]->tail_latency_ms = ms;
}

void
sim_lose_paces(Sim *sim, unsigned count)
{
    sim->lost_pace_count = count;
}

int
sim_lowest_pace(const Sim *sim, unsigned vm)
{
    int lowest = 100;
    for (guint i = 0; i < sim->vms[vm]->runs->len; i++) {
        const Run *run = &g_array_index(sim->vms[vm]->runs, Run, i);
        lowest = run->pace_percent < lowest ? run->pace_percent : lowest;
    }
    return lowest;
}

/* ---- Jobs --------------------------------------------------------------- */

void
sim_add_job(Sim *sim, AqJobSpec *spec)
{
    StoredJob *stored = g_new0(StoredJob, 1);
    spec->queue = spec->queue != NULL ? spec->queue : strdup("queue");
    spec->text = strdup("text");
    spec->submitted_ms = sim->now;
    spec->has_terms = !sim->are_jobs_old;
    spec->terms = sim->accepted;
    stored->actual_duration_percent = 100;
    stored->stored_at = sim->now;
    AqBuffer_Init(&stored->spec);
    AqBuffer_Init(&stored->record);
    AqJobSpec_Encode(spec, &stored->spec);
    g_hash_table_insert(sim->jobs, g_strdup(spec->id), stored);
    AqJobSpec_Clear(spec);
    for (guint i = 0; i < sim->owners->len; i++) {
        SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->has_exited && !owner->is_untold &&
            sim->now < owner->lease_end) {
            load_job(owner, stored);
        }
    }
}

void
sim_add_chain(Sim *sim, const char *id, unsigned steps, unsigned tasks,
              int64_t cpu_millis, AqTime duration_ms)
{
    AqJobSpec spec = {.step_count = steps};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.steps = calloc(steps, sizeof(*spec.steps));
    for (unsigned i = 0; i < steps; i++) {
        AqStepSpec *step = &spec.steps[i];
        step->task_count = tasks;
        step->cpu_millis = cpu_millis;
        step->memory_mb = 100;
        step->estimate_ms = duration_ms;
        if (i > 0) {
            step->after = calloc(1, sizeof(*step->after));
            step->after[0] = i - 1;
            step->after_count = 1;
        }
    }
    sim_add_job(sim, &spec);
}

void
sim_add_perpetual(Sim *sim, const char *id, unsigned tasks, unsigned may_miss)
{
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = (AqStepSpec){
        .task_count = tasks,
        .cpu_millis = 1000,
        .memory_mb = 100,
        .is_perpetual = true,
        .max_per_vm = 1,
        .may_miss = may_miss,
        .limits_missing = true,
        .latency_target_ms = 100,
    };
    sim_add_job(sim, &spec);
}

void
sim_set_actual_duration(Sim *sim, const char *id, int percent)
{
    find_job(sim, id)->actual_duration_percent = percent;
}

void
sim_fail_next_runs(Sim *sim, const char *id, unsigned runs)
{
    find_job(sim, id)->runs_to_fail = runs;
}

void
sim_crash_vms_of(Sim *sim, const char *id, AqTime down_ms)
{
    find_job(sim, id)->down_ms = down_ms;
}

void
sim_cancel_job(Sim *sim, const char *id)
{
    find_job(sim, id)->is_cancelled = true;
    AqScheduler_CancelJob(sim->owner->scheduler, id, sim->now);
}

AqJobStage
sim_stage(const Sim *sim, const char *id)
{
    const StoredJob *stored = find_job(sim, id);
    AqJobStage stage = AQ_STAGE_WAITING;
    if (stored->has_record) {
        AqScheduler_ReadStage(AqBuffer_Text(&stored->record),
                              stored->record.size, &stage, NULL);
    }
    return stage;
}

unsigned
sim_count_starts(const Sim *sim, const char *id)
{
    return find_job(sim, id)->started_run_count;
}

unsigned
sim_count_crashes(const Sim *sim, const char *id)
{
    return find_job(sim, id)->crash_count;
}

/* ---- Lifecycle ---------------------------------------------------------- */

static void
free_stored(gpointer value)
{
    StoredJob *stored = value;
    AqBuffer_Clear(&stored->spec);
    AqBuffer_Clear(&stored->record);
    g_free(stored);
}

static void
free_sim_owner(gpointer value)
{
    SimOwner *owner = value;
    for (size_t i = 0; i < owner->save_count; i++) {
        AqBuffer_Clear(&owner->saves[i].record);
    }
    AqScheduler_Destroy(owner->scheduler);
    g_free(owner);
}

Sim *
sim_create(uint64_t seed)
{
    static char queue_name[] = "queue";
    static char pool_name[] = "pool";
    Sim *sim = g_new0(Sim, 1);
    AqRandom_Seed(&sim->random, seed);
    sim->now = 1000;
    sim->events = g_ptr_array_new_with_free_func(free_event);
    sim->ended_vms = g_ptr_array_new_with_free_func(free_vm);
    sim->owners = g_ptr_array_new_with_free_func(free_sim_owner);
    sim->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stored);
    sim->task_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqBuffer_Init(&sim->used_vms);
    sim->queue = (AqQueueConfig){
        .name = queue_name,
        .pool = pool_name,
        .target_ms = 600,
        .stretch = 1.6,
        .max_attempts = MAX_ATTEMPTS,
    };
    AqJobTerms_Set(&sim->accepted, &sim->queue);
    sim->site.queues = &sim->queue;
    sim->site.queue_count = 1;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        sim->vms[i] = new_vm(sim, i);
    }
    sim_start_owner(sim, false);
    return sim;
}

void
sim_set_workspaces(Sim *sim, AqWorkspaceConfig *workspaces, size_t count)
{
    sim->site.workspaces = workspaces;
    sim->site.workspace_count = count;
    AqScheduler_SetSite(sim->owner->scheduler, &sim->site);
}

void
sim_set_queue(Sim *sim, const AqQueueConfig *queue)
{
    if (queue != NULL) {
        sim->queue = *queue;
    }
    sim->site.queue_count = queue != NULL;
    for (guint i = 0; i < sim->owners->len; i++) {
        const SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->has_exited) {
            AqScheduler_SetSite(owner->scheduler, &sim->site);
        }
    }
}

void
sim_store_old_jobs(Sim *sim)
{
    sim->are_jobs_old = true;
}

void
sim_set_faults(Sim *sim, const SimFaults *faults)
{
    sim->faults = *faults;
}

void
sim_destroy(Sim *sim)
{
    g_ptr_array_free(sim->events, TRUE);
    g_ptr_array_free(sim->owners, TRUE);
    g_ptr_array_free(sim->ended_vms, TRUE);
    g_hash_table_destroy(sim->jobs);
    g_hash_table_destroy(sim->task_states);
    AqBuffer_Clear(&sim->used_vms);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        free_vm(sim->vms[i]);
    }
    g_free(sim);
}
