#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "sim.h"

static void
expect_no_violation(const Sim *sim)
{
    const char *text = sim_violation(sim);
    if (text != NULL) {
        fprintf(stderr, "%s\n", text);
    }
    CU_ASSERT_PTR_NULL(text);
}

/* Guards against a job that does not complete, or starts a task twice,
 * although no fault occurs. */
static void
test_completes(void)
{
    Sim *sim = sim_create(1);
    sim_add_chain(sim, "a1", 3, 6, 2000, 500);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 10000));
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 18);
    expect_no_violation(sim);
    sim_destroy(sim);
}

static unsigned
count_idle_vms(Sim *sim)
{
    unsigned count = 0;
    for (unsigned vm = 0; vm < SIM_VMS; vm++) {
        count += AqScheduler_IsIdle(sim_scheduler(sim), sim_vm_id(sim, vm));
    }
    return count;
}

/* Guards against a VM that counts as idle, and so may be moved or rebooted,
 * while the end of a run is recorded only on that VM.  Saves are slow under
 * load; the next pool owner would run the task a second time. */
static void
test_unstored_end_keeps_vm(void)
{
    static const SimFaults no_saves = {.failed_saves_permille = 1000};
    static const SimFaults none = {0};
    Sim *sim = sim_create(17);
    sim_set_faults(sim, &no_saves);
    sim_add_chain(sim, "a1", 1, 1, 2000, 500);
    sim_run(sim, 2500);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 1);
    CU_ASSERT_EQUAL(count_idle_vms(sim), SIM_VMS - 1);
    sim_set_faults(sim, &none);
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(count_idle_vms(sim), SIM_VMS);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a new pool owner that treats the runs of an earlier pool
 * owner as stale, since the new pool owner's run numbers are higher, and
 * starts the tasks of these runs a second time. */
static void
test_takeover_adopts_runs(void)
{
    Sim *sim = sim_create(2);
    sim_add_chain(sim, "a1", 1, 6, 2000, 3000);
    sim_run(sim, 1000);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 10000));
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 6);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a new pool owner that starts tasks before all VMs to which
 * the earlier pool owner may have sent orders have replied: one of these VMs
 * is silent and still runs its tasks. */
static void
test_takeover_waits_for_silent_vm(void)
{
    Sim *sim = sim_create(3);
    sim_add_chain(sim, "a1", 1, 8, 8000, 4000);
    sim_run(sim, 500);
    unsigned silent = 0;
    while (sim_count_runs(sim, silent, "a1") == 0) {
        silent++;
    }
    sim_silence_vm(sim, silent, 3500);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 30000));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a task that starts a third time because the new pool owner
 * receives the end of the task's second failed run before that of the
 * first. */
static void
test_failures_count_in_any_order(void)
{
    for (uint64_t seed = 0; seed < 20; seed++) {
        Sim *sim = sim_create(seed);
        SimFaults faults = {.failed_saves_permille = 1000};
        /* all saves fail, so no end of a run is confirmed to its VM */
        sim_set_faults(sim, &faults);
        sim_add_chain(sim, "a1", 1, 1, 2000, 800);
        sim_fail_next_runs(sim, "a1", 2);
        sim_run(sim, 1500);
        SimFaults none = {0};
        sim_set_faults(sim, &none);
        sim_kill_owner(sim);
        sim_start_owner(sim, false);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 10000));
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 2);
        expect_no_violation(sim);
        sim_destroy(sim);
    }
}

/* Guards against two runs of a task at a time while a pool owner that has been
 * replaced does not notice its replacement and still sends orders. */
static void
test_unaware_previous_owner(void)
{
    Sim *sim = sim_create(5);
    for (unsigned i = 0; i < 6; i++) {
        char id[8];
        snprintf(id, sizeof(id), "a%u", i);
        sim_add_chain(sim, id, 2, 8, 4000, 900);
        sim_run(sim, 150);
    }
    sim_start_owner(sim, true);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 40000));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against tasks that are left on a VM where they make no progress. */
static void
test_stalled_vm(void)
{
    Sim *sim = sim_create(6);
    sim_add_chain(sim, "a1", 1, 4, 4000, 1000);
    sim_run(sim, 200);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_stall_vm(sim, vm, true);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 8000));
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_TRUE(AqScheduler_Counters(sim_scheduler(sim))->stalled > 0);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against tasks that wait for the lease of their crashed VM to expire
 * although the VM's new incarnation reports that no run is alive on the VM. */
static void
test_crash_restarts_at_once(void)
{
    Sim *sim = sim_create(7);
    sim_add_chain(sim, "a1", 1, 4, 4000, 1000);
    sim_run(sim, 500);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_crash_vm(sim, vm);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 2500));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a task that allows copies but is restarted only after the
 * lease of its silent VM has expired. */
static void
test_copies_despite_silent_vm(void)
{
    Sim *sim = sim_create(13);
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, "a1", sizeof(spec.id));
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = (AqStepSpec){.task_count = 4,
                                 .cpu_millis = 8000,
                                 .memory_mb = 100,
                                 .estimate_ms = 1000,
                                 .allows_copies = true};
    sim_add_job(sim, &spec);
    sim_run(sim, 300);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_silence_vm(sim, vm, 20000);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 4000));
    CU_ASSERT_TRUE(AqScheduler_Counters(sim_scheduler(sim))->copied > 0);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a new pool owner that waits for replies from a VM's
 * incarnation although the previous pool owner's scheduler knew that this
 * incarnation had ended: the stored list of used VMs, to which a pool owner
 * may have sent orders, must no longer name the incarnation. */
static void
test_ended_vm_is_not_awaited(void)
{
    Sim *sim = sim_create(14);
    sim_run(sim, 500);
    AqScheduler_VmEnded(sim_scheduler(sim), sim_vm_id(sim, 0),
                        AQ_VM_ENDED_BY_ORDER, sim_now(sim));
    sim_silence_vm(sim, 0, 20000);
    sim_run(sim, 200);
    sim_add_chain(sim, "a1", 1, 4, 1000, 200);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 1500));
    expect_no_violation(sim);
    sim_destroy(sim);
}

typedef struct {
    AqScheduler *scheduler;
    AqTime now;
    /* number of incarnations of VMs that the test has reported to the
     * scheduler as ended */
    unsigned ended;
} EndSilentVisit;

/* Reports each silent incarnation of a known machine to the scheduler as
 * ended, as the pool's owner does when the platform's list of VMs shows that
 * the incarnation has ended. */
static void
end_silent_vms(void *context, const AqScheduledVm *view)
{
    EndSilentVisit *visit = context;
    if (view->silent_since != AQ_TIME_NEVER && view->machine[0] != '\0') {
        visit->ended++;
        AqScheduler_VmEnded(visit->scheduler, view->vm, AQ_VM_ENDED_BY_ORDER,
                            visit->now);
    }
}

/* Guards against a new pool owner that waits for the lease of a VM's
 * incarnation to expire although that incarnation has ended, for example by an
 * order of the previous pool owner.  The stored list of used VMs, to which a
 * pool owner may have sent orders, must have the VM's machine id, by which the
 * new pool owner sees in the platform's list of VMs that the incarnation has
 * ended. */
static void
test_replaced_vm_is_not_awaited(void)
{
    Sim *sim = sim_create(15);
    sim_add_chain(sim, "a1", 1, 4, 1000, 200);
    sim_run(sim, 500);
    sim_kill_owner(sim);
    sim_silence_vm(sim, 0, 20000);
    sim_add_chain(sim, "a2", 1, 4, 1000, 200);
    sim_start_owner(sim, false);
    sim_run(sim, 300);
    EndSilentVisit visit = {sim_scheduler(sim), sim_now(sim), 0};
    AqSchedulerLoad load;
    AqScheduler_GetLoad(visit.scheduler, visit.now, &load);
    CU_ASSERT_FALSE(load.is_recovered);
    AqScheduler_EachVm(visit.scheduler, end_silent_vms, &visit);
    CU_ASSERT_EQUAL(visit.ended, 1);
    sim_run(sim, 100);
    AqScheduler_GetLoad(visit.scheduler, sim_now(sim), &load);
    CU_ASSERT_TRUE(load.is_recovered);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 1500));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against tasks that wait for a silent VM after a hand-over although
 * that VM does not run them: the previous pool owner stored the runs of each
 * VM with the list of used VMs, to which a pool owner may have sent orders. */
static void
test_hand_over_passes_on_runs(void)
{
    Sim *sim = sim_create(16);
    sim_add_chain(sim, "a1", 1, 8, 8000, 6000);
    sim_run(sim, 300);
    sim_add_chain(sim, "a2", 1, 20, 8000, 500);
    sim_run(sim, 100);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_silence_vm(sim, vm, 20000);
    sim_hand_over(sim);
    sim_run(sim, 3000);
    CU_ASSERT_EQUAL(sim_stage(sim, "a2"), AQ_STAGE_COMPLETED);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a2"), 20);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 30000));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a task that runs twice because a hand-over ended before the
 * end of its first run was stored: the next owner finds neither the run on a
 * VM nor its end. */
static void
test_hand_over_with_unsaved_end(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 1, 8, 1000, 500);
        sim_run(sim, 300);
        while (!AqScheduler_HasUnsaved(sim_scheduler(sim))) {
            sim_run(sim, 10);
        }
        for (unsigned vm = 0; vm < SIM_VMS; vm += 2) {
            sim_silence_vm(sim, vm, 400);
        }
        sim_hand_over_unsaved(sim);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 8);
        expect_no_violation(sim);
        sim_destroy(sim);
    }
}

/* Guards against runs that go on after a hand-over although their job was
 * cancelled during it, before the next pool owner took the runs over. */
static void
test_hand_over_stops_cancelled_runs(void)
{
    Sim *sim = sim_create(18);
    sim_add_chain(sim, "a1", 1, 8, 2000, 60000);
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL_FATAL(sim_count_starts(sim, "a1"), 8);
    sim_hand_over_cancelling(sim, "a1");
    sim_run(sim, 2000);
    for (unsigned vm = 0; vm < SIM_VMS; vm++) {
        CU_ASSERT_EQUAL(sim_count_runs(sim, vm, "a1"), 0);
    }
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_CANCELLED);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against tasks that wait for a silent VM although their job was
 * submitted after the takeover, so that the silent VM can't be running
 * them. */
static void
test_new_jobs_start_at_once(void)
{
    Sim *sim = sim_create(15);
    sim_add_chain(sim, "a1", 1, 8, 8000, 4000);
    sim_run(sim, 500);
    sim_silence_vm(sim, 0, 20000);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    sim_run(sim, 100);
    sim_add_chain(sim, "a2", 1, 4, 500, 300);
    sim_run(sim, 1500);
    CU_ASSERT_EQUAL(sim_stage(sim, "a2"), AQ_STAGE_COMPLETED);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 30000));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against tasks of a cancelled job that keep running. */
static void
test_cancel_stops(void)
{
    Sim *sim = sim_create(8);
    sim_add_chain(sim, "a1", 1, 8, 2000, 60000);
    sim_run(sim, 1000);
    sim_cancel_job(sim, "a1");
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_CANCELLED);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        CU_ASSERT_EQUAL(sim_count_runs(sim, i, "a1"), 0);
    }
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a pool owner that sends orders while it may have lost its
 * lease. */
static void
test_uncertain_owner_sends_no_orders(void)
{
    Sim *sim = sim_create(9);
    sim_run(sim, 500);
    sim_set_lease_certain(sim, false);
    sim_add_chain(sim, "a1", 1, 4, 2000, 500);
    sim_run(sim, 2000);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 0);
    sim_set_lease_certain(sim, true);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 3000));
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* ---- Perpetual tasks ---------------------------------------------------- */

static unsigned
count_running(const Sim *sim, const char *id)
{
    unsigned count = 0;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        count += sim_count_runs(sim, i, id);
    }
    return count;
}

/* Runs the simulation for "ms"; returns the lowest number of the job's tasks
 * that were running after any tick. */
static unsigned
min_running(Sim *sim, const char *id, AqTime ms)
{
    unsigned min_count = UINT_MAX;
    for (AqTime i = 0; i < ms; i += 10) {
        sim_run(sim, 10);
        unsigned count = count_running(sim, id);
        min_count = count < min_count ? count : min_count;
    }
    return min_count;
}

/* Guards against moving more tasks of a step at a time than the step may miss,
 * when all VMs that run the step's tasks are cordoned. */
static void
test_perpetual_moves_one_by_one(void)
{
    Sim *sim = sim_create(10);
    sim_add_perpetual(sim, "b1", 4, 1);
    sim_run(sim, 1500);
    CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (sim_count_runs(sim, i, "b1") > 0) {
            AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, i), true);
        }
    }
    CU_ASSERT_EQUAL(min_running(sim, "b1", 8000), 3);
    CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Sets "vms" to the numbers of the VMs that have runs of the job, in ascending
 * order; returns how many VMs these are. */
static unsigned
find_vms(const Sim *sim, const char *id, unsigned vms[SIM_VMS])
{
    unsigned count = 0;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (sim_count_runs(sim, i, id) > 0) {
            vms[count++] = i;
        }
    }
    return count;
}

/* Guards against a perpetual task that is stopped on a cordoned VM while other
 * tasks of its step are moved off draining VMs.  Tasks on draining VMs are
 * stopped whatever number of tasks the step may miss, and the stop orders for
 * these tasks may reach their VMs first. */
static void
test_draining_goes_before_cordoned(void)
{
    /* Times from the cordon of one VM until two other VMs begin to drain: 0,
     * and several at which the stop order for the task on the cordoned VM has
     * been sent but not confirmed. */
    static const AqTime pauses_ms[] = {0, 5, 10, 15, 20, 25, 30, 40, 60};
    for (size_t i = 0; i < sizeof(pauses_ms) / sizeof(pauses_ms[0]); i++) {
        for (uint64_t seed = 1; seed <= 20; seed++) {
            unsigned vms[SIM_VMS];
            Sim *sim = sim_create(seed);
            sim_add_perpetual(sim, "b1", 4, 1);
            sim_run(sim, 1500);
            CU_ASSERT_EQUAL_FATAL(find_vms(sim, "b1", vms), 4);
            AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, vms[0]),
                                  true);
            sim_run(sim, pauses_ms[i]);
            sim_drain_vm(sim, vms[2]);
            sim_drain_vm(sim, vms[3]);
            sim_run(sim, 4000);
            CU_ASSERT_EQUAL(sim_count_runs(sim, vms[0], "b1"), 0);
            CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
            expect_no_violation(sim);
            sim_destroy(sim);
        }
    }
}

/* Guards against a perpetual task that is stopped for a move while another
 * task of its step is on a silent VM and counts as missing. */
static void
test_perpetual_stays_while_another_is_silent(void)
{
    Sim *sim = sim_create(11);
    sim_add_perpetual(sim, "b1", 3, 1);
    sim_run(sim, 1500);
    unsigned silent = 0;
    while (sim_count_runs(sim, silent, "b1") == 0) {
        silent++;
    }
    unsigned other = silent + 1;
    while (sim_count_runs(sim, other, "b1") == 0) {
        other++;
    }
    sim_silence_vm(sim, silent, 3000);
    sim_run(sim, 1200);
    AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, other), true);
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(sim_count_runs(sim, other, "b1"), 1);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Starts a simulated pool with a serving task on each VM and one filler; sets
 * *out to it.  Returns the VM that runs the filler. */
static unsigned
start_filler(Sim **out)
{
    Sim *sim = sim_create(12);
    *out = sim;
    sim_add_perpetual(sim, "b1", SIM_VMS, 1);
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, "c1", sizeof(spec.id));
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = (AqStepSpec){
        .task_count = 1,
        .cpu_millis = 1000,
        .memory_mb = 100,
        .estimate_ms = 600000,
        .is_filler = true,
    };
    sim_add_job(sim, &spec);
    sim_run(sim, 1500);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "c1") == 0) {
        vm++;
    }
    return vm;
}

/* Guards against a filler (task that uses only CPU that others leave) that
 * runs at full speed while a serving task on the same VM exceeds its latency
 * target, and against a filler that stays slow once the latency is low
 * again. */
static void
test_fillers_are_paced(void)
{
    Sim *sim;
    unsigned vm = start_filler(&sim);
    sim_set_tail_latency(sim, vm, 150);
    sim_run(sim, 3000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 0);
    sim_set_tail_latency(sim, vm, 20);
    sim_run(sim, 12000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 100);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a filler that runs on beside a serving task over its target,
 * or stays slow for good, because the order that set its pace was lost. */
static void
test_lost_pace_is_repeated(void)
{
    Sim *sim;
    unsigned vm = start_filler(&sim);
    sim_set_tail_latency(sim, vm, 150);
    sim_run(sim, 1000);
    sim_lose_paces(sim, 2);
    sim_run(sim, 3000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 0);
    sim_set_tail_latency(sim, vm, 20);
    sim_run(sim, 6000);
    sim_lose_paces(sim, 2);
    sim_run(sim, 6000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 100);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* ---- Offered load ------------------------------------------------------- */

/* Returns the offered load that the scheduler computes (CPU for the recently
 * submitted jobs), in thousandths of a core, after 40 jobs have run and eight
 * more were submitted.  Half of the jobs declare the duration
 * "long_estimate_ms", half "short_estimate_ms"; all tasks actually take 400
 * ms, which the scheduler learns from the first 40 jobs. */
static int64_t
measure_offered_load(AqTime long_estimate_ms, AqTime short_estimate_ms)
{
    enum {
        MEASURED_JOBS = 40,
        NEW_JOBS = 8,
        ACTUAL_MS = 400
    };
    AqSchedulerLoad load;
    Sim *sim = sim_create(21);
    for (int i = 0; i < MEASURED_JOBS + NEW_JOBS; i++) {
        AqTime estimate_ms = i % 2 == 0 ? long_estimate_ms : short_estimate_ms;
        char id[AQ_JOB_ID_SIZE];
        snprintf(id, sizeof(id), "a%d", i);
        sim_add_chain(sim, id, 1, 2, 1000, estimate_ms);
        sim_set_actual_duration(sim, id, (int)(ACTUAL_MS * 100 / estimate_ms));
        if (i < MEASURED_JOBS) {
            sim_run(sim, ACTUAL_MS);
        }
        if (i == MEASURED_JOBS - 1) {
            sim_run(sim, 20000);
        }
    }
    AqScheduler_GetLoad(sim_scheduler(sim), sim_now(sim), &load);
    expect_no_violation(sim);
    sim_destroy(sim);
    return load.offered_cpu_millis;
}

/* Guards against a scheduler that computes a wrong offered load (CPU for the
 * recently submitted jobs) when jobs declare durations four times too long or
 * too short; with too high a load the pool would hold too many VMs.  The load
 * must be above 70% and below 140% of that for exactly declared durations. */
static void
test_misdeclared_durations(void)
{
    int64_t exact = measure_offered_load(400, 400);
    int64_t misdeclared = measure_offered_load(1600, 100);
    CU_ASSERT_TRUE(misdeclared > exact * 7 / 10);
    CU_ASSERT_TRUE(misdeclared < exact * 14 / 10);
}

enum {
    SUBMIT_INTERVAL_MS = 50
};

/* Submits "jobs" jobs that need one core for 100 ms each. */
static void
submit_jobs(AqScheduler *s, unsigned jobs, AqTime now)
{
    static unsigned number;
    for (unsigned i = 0; i < jobs; i++) {
        AqError error;
        AqJobSpec spec = {.step_count = 1};
        snprintf(spec.id, sizeof(spec.id), "%x", ++number);
        spec.queue = strdup("queue");
        spec.text = strdup("text");
        spec.steps = calloc(1, sizeof(*spec.steps));
        spec.steps[0] = (AqStepSpec){
            .task_count = 1, .cpu_millis = 1000, .estimate_ms = 100};
        CU_ASSERT_TRUE(
            AqScheduler_AddJob(s, &spec, NULL, 0, true, now, &error));
    }
}

/* Guards against VMs that arrive too late for a burst (many jobs submitted
 * within a short time).  The offered load that the scheduler computes, the CPU
 * for the recently submitted jobs, must be within 10% of a steady load, and 1
 * to 1.8 times a rising load. */
static void
test_offered_load_follows_rise(void)
{
    static const AqSchedulerActions actions = {0};
    AqSiteConfig site = {.version = 1};
    AqSchedulerConfig config = {.pool = "pool", .fence = 1, .lease_ms = 5000};
    AqScheduler *s = AqScheduler_Create(&config, &actions, NULL, 0);
    AqSchedulerLoad load;
    AqTime now = 0;
    AqScheduler_SetSite(s, &site);
    AqScheduler_SetLoaded(s);
    for (; now < 10000; now += SUBMIT_INTERVAL_MS) {
        submit_jobs(s, 1, now);
    }
    AqScheduler_GetLoad(s, now, &load);
    CU_ASSERT_TRUE(load.offered_cpu_millis > 1800);
    CU_ASSERT_TRUE(load.offered_cpu_millis < 2200);
    /* The CPU that the submitted jobs need rises from 2 to 20 cores in 3 s. */
    for (; now < 13000; now += SUBMIT_INTERVAL_MS) {
        submit_jobs(s, 1 + (unsigned)(now - 10000) / 300, now);
    }
    AqScheduler_GetLoad(s, now, &load);
    CU_ASSERT_TRUE(load.offered_cpu_millis > 20000);
    CU_ASSERT_TRUE(load.offered_cpu_millis < 36000);
    AqScheduler_Destroy(s);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"completes", test_completes},
        {"unstored_end_keeps_vm", test_unstored_end_keeps_vm},
        {"takeover_adopts_runs", test_takeover_adopts_runs},
        {"takeover_waits_for_silent_vm", test_takeover_waits_for_silent_vm},
        {"failures_count_in_any_order", test_failures_count_in_any_order},
        {"unaware_previous_owner", test_unaware_previous_owner},
        {"stalled_vm", test_stalled_vm},
        {"crash_restarts_at_once", test_crash_restarts_at_once},
        {"copies_despite_silent_vm", test_copies_despite_silent_vm},
        {"ended_vm_is_not_awaited", test_ended_vm_is_not_awaited},
        {"new_jobs_start_at_once", test_new_jobs_start_at_once},
        {"replaced_vm_is_not_awaited", test_replaced_vm_is_not_awaited},
        {"hand_over_passes_on_runs", test_hand_over_passes_on_runs},
        {"hand_over_with_unsaved_end", test_hand_over_with_unsaved_end},
        {"hand_over_stops_cancelled_runs",
         test_hand_over_stops_cancelled_runs},
        {"cancel_stops", test_cancel_stops},
        {"uncertain_owner_sends_no_orders",
         test_uncertain_owner_sends_no_orders},
        {"perpetual_moves_one_by_one", test_perpetual_moves_one_by_one},
        {"draining_goes_before_cordoned", test_draining_goes_before_cordoned},
        {"perpetual_stays_while_another_is_silent",
         test_perpetual_stays_while_another_is_silent},
        {"fillers_are_paced", test_fillers_are_paced},
        {"lost_pace_is_repeated", test_lost_pace_is_repeated},
        {"misdeclared_durations", test_misdeclared_durations},
        {"offered_load_follows_rise", test_offered_load_follows_rise},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("scheduler", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
