#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "sim.h"

static void
expect_unbroken(const Sim *sim)
{
    const char *text = sim_broken(sim);
    if (text != NULL) {
        fprintf(stderr, "%s\n", text);
    }
    CU_ASSERT_PTR_NULL(text);
}

/* Guards against a job that never ends although nothing is wrong. */
static void
test_completes(void)
{
    Sim *sim = sim_create(1);
    sim_add_simple(sim, "a1", 3, 6, 2000, 500);
    CU_ASSERT_TRUE(sim_finish(sim, 10000));
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_EQUAL(sim_runs(sim, "a1"), 18);
    expect_unbroken(sim);
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

/* Guards against a VM that is moved or rebooted while only it holds the end
 * of a run: saves are slow under load, and the next owner would run the task
 * a second time. */
static void
test_unstored_end_keeps_vm(void)
{
    static const SimFaults no_saves = {.failed_saves = 1000};
    static const SimFaults none = {0};
    Sim *sim = sim_create(17);
    sim_set_faults(sim, &no_saves);
    sim_add_simple(sim, "a1", 1, 1, 2000, 500);
    sim_run(sim, 2500);
    CU_ASSERT_EQUAL(sim_runs(sim, "a1"), 1);
    CU_ASSERT_EQUAL(count_idle_vms(sim), SIM_VMS - 1);
    sim_set_faults(sim, &none);
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(count_idle_vms(sim), SIM_VMS);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against runs of an earlier owner being taken as stale and started a
 * second time because of the new owner's higher run numbers. */
static void
test_takeover_adopts_runs(void)
{
    Sim *sim = sim_create(2);
    sim_add_simple(sim, "a1", 1, 6, 2000, 3000);
    sim_run(sim, 1000);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_finish(sim, 10000));
    CU_ASSERT_EQUAL(sim_runs(sim, "a1"), 6);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against starts before the VMs that an earlier owner used have
 * answered: one of them is silent and still runs its tasks. */
static void
test_takeover_waits_for_silent_vm(void)
{
    Sim *sim = sim_create(3);
    sim_add_simple(sim, "a1", 1, 8, 8000, 4000);
    sim_run(sim, 500);
    unsigned silent = 0;
    while (sim_count_runs(sim, silent, "a1") == 0) {
        silent++;
    }
    sim_silence_vm(sim, silent, 3500);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_finish(sim, 30000));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against a task that starts a third time because the new owner hears
 * of its second failure before the first. */
static void
test_failures_count_in_any_order(void)
{
    for (uint64_t seed = 0; seed < 20; seed++) {
        Sim *sim = sim_create(seed);
        SimFaults faults = {.failed_saves = 1000};
        sim_set_faults(sim, &faults); /* no end is ever confirmed */
        sim_add_simple(sim, "a1", 1, 1, 2000, 800);
        sim_fail_job(sim, "a1", 2);
        sim_run(sim, 1500);
        SimFaults none = {0};
        sim_set_faults(sim, &none);
        sim_kill_owner(sim);
        sim_start_owner(sim, false);
        CU_ASSERT_TRUE(sim_finish(sim, 10000));
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_EQUAL(sim_runs(sim, "a1"), 2);
        expect_unbroken(sim);
        sim_destroy(sim);
    }
}

/* Guards against double runs while an owner does not know that it has been
 * replaced. */
static void
test_unaware_rival(void)
{
    Sim *sim = sim_create(5);
    for (unsigned i = 0; i < 6; i++) {
        char id[8];
        snprintf(id, sizeof(id), "a%u", i);
        sim_add_simple(sim, id, 2, 8, 4000, 900);
        sim_run(sim, 150);
    }
    sim_start_owner(sim, true);
    CU_ASSERT_TRUE(sim_finish(sim, 40000));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against tasks that stay on a VM where nothing makes progress. */
static void
test_stalled_vm(void)
{
    Sim *sim = sim_create(6);
    sim_add_simple(sim, "a1", 1, 4, 4000, 1000);
    sim_run(sim, 200);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_stall_vm(sim, vm, true);
    CU_ASSERT_TRUE(sim_finish(sim, 8000));
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_TRUE(AqScheduler_Counters(sim_scheduler(sim))->stalled > 0);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against tasks of a crashed VM that wait for a lease although its new
 * incarnation says that nothing runs there. */
static void
test_crash_restarts_at_once(void)
{
    Sim *sim = sim_create(7);
    sim_add_simple(sim, "a1", 1, 4, 4000, 1000);
    sim_run(sim, 500);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_crash_vm(sim, vm);
    CU_ASSERT_TRUE(sim_finish(sim, 2500));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against a task that allows copies waiting for the lease of a silent
 * VM. */
static void
test_copies_beside_silence(void)
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
    CU_ASSERT_TRUE(sim_finish(sim, 4000));
    CU_ASSERT_TRUE(AqScheduler_Counters(sim_scheduler(sim))->copied > 0);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against a new owner that waits for the old incarnation of a VM which
 * an order has ended. */
static void
test_ended_vm_is_not_awaited(void)
{
    Sim *sim = sim_create(14);
    sim_run(sim, 500);
    AqScheduler_VmEnded(sim_scheduler(sim), sim_vm_id(sim, 0), sim_now(sim));
    sim_silence_vm(sim, 0, 20000);
    sim_run(sim, 200);
    sim_add_simple(sim, "a1", 1, 4, 1000, 200);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_finish(sim, 1500));
    expect_unbroken(sim);
    sim_destroy(sim);
}

typedef struct {
    AqScheduler *scheduler;
    AqTime now;
    unsigned ended;
} Replaced;

/* Tells the scheduler, as the platform's list would, that a silent incarnation
 * of a known VM has ended. */
static void
end_silent(void *context, const AqScheduledVm *view)
{
    Replaced *replaced = context;
    if (view->silent_since != AQ_TIME_NEVER && view->machine[0] != '\0') {
        replaced->ended++;
        AqScheduler_VmEnded(replaced->scheduler, view->vm, replaced->now);
    }
}

/* Guards against a new owner that waits for the leases of a VM which was
 * ended by an order of the owner before it: the stored list of used VMs must
 * name the machine, so that the platform's list can tell. */
static void
test_replaced_vm_is_not_awaited(void)
{
    Sim *sim = sim_create(15);
    sim_add_simple(sim, "a1", 1, 4, 1000, 200);
    sim_run(sim, 500);
    sim_kill_owner(sim);
    sim_silence_vm(sim, 0, 20000);
    sim_add_simple(sim, "a2", 1, 4, 1000, 200);
    sim_start_owner(sim, false);
    sim_run(sim, 300);
    Replaced replaced = {sim_scheduler(sim), sim_now(sim), 0};
    AqSchedulerLoad load;
    AqScheduler_GetLoad(replaced.scheduler, replaced.now, &load);
    CU_ASSERT_FALSE(load.is_recovered);
    AqScheduler_EachVm(replaced.scheduler, end_silent, &replaced);
    CU_ASSERT_EQUAL(replaced.ended, 1);
    sim_run(sim, 100);
    AqScheduler_GetLoad(replaced.scheduler, sim_now(sim), &load);
    CU_ASSERT_TRUE(load.is_recovered);
    CU_ASSERT_TRUE(sim_finish(sim, 1500));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against a hand-over after which tasks wait for a silent VM that does
 * not run them: the earlier owner has said what runs where. */
static void
test_hand_over_is_exact(void)
{
    Sim *sim = sim_create(16);
    sim_add_simple(sim, "a1", 1, 8, 8000, 6000);
    sim_run(sim, 300);
    sim_add_simple(sim, "a2", 1, 20, 8000, 500);
    sim_run(sim, 100);
    unsigned vm = 0;
    while (sim_count_runs(sim, vm, "a1") == 0) {
        vm++;
    }
    sim_silence_vm(sim, vm, 20000);
    sim_hand_over(sim);
    sim_run(sim, 3000);
    CU_ASSERT_EQUAL(sim_stage(sim, "a2"), AQ_STAGE_COMPLETED);
    CU_ASSERT_EQUAL(sim_runs(sim, "a2"), 20);
    CU_ASSERT_TRUE(sim_finish(sim, 30000));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against jobs that come after a takeover waiting for a silent VM,
 * which can't run them. */
static void
test_new_jobs_start_at_once(void)
{
    Sim *sim = sim_create(15);
    sim_add_simple(sim, "a1", 1, 8, 8000, 4000);
    sim_run(sim, 500);
    sim_silence_vm(sim, 0, 20000);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
    sim_run(sim, 100);
    sim_add_simple(sim, "a2", 1, 4, 500, 300);
    sim_run(sim, 1500);
    CU_ASSERT_EQUAL(sim_stage(sim, "a2"), AQ_STAGE_COMPLETED);
    CU_ASSERT_TRUE(sim_finish(sim, 30000));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against work of a cancelled job that goes on. */
static void
test_cancel_stops(void)
{
    Sim *sim = sim_create(8);
    sim_add_simple(sim, "a1", 1, 8, 2000, 60000);
    sim_run(sim, 1000);
    sim_cancel_job(sim, "a1");
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_CANCELLED);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        CU_ASSERT_EQUAL(sim_count_runs(sim, i, "a1"), 0);
    }
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against orders of an owner that may have lost its lease. */
static void
test_uncertain_owner_is_quiet(void)
{
    Sim *sim = sim_create(9);
    sim_run(sim, 500);
    sim_set_certain(sim, false);
    sim_add_simple(sim, "a1", 1, 4, 2000, 500);
    sim_run(sim, 2000);
    CU_ASSERT_EQUAL(sim_runs(sim, "a1"), 0);
    sim_set_certain(sim, true);
    CU_ASSERT_TRUE(sim_finish(sim, 3000));
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* ---- Perpetual tasks ---------------------------------------------------- */

static void
add_perpetual(Sim *sim, const char *id, unsigned tasks, unsigned may_miss)
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

static unsigned
count_running(const Sim *sim, const char *id)
{
    unsigned count = 0;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        count += sim_count_runs(sim, i, id);
    }
    return count;
}

/* The least tasks of a perpetual job that run at any moment of so many ms. */
static unsigned
least_running(Sim *sim, const char *id, AqTime ms)
{
    unsigned least = UINT_MAX;
    for (AqTime i = 0; i < ms; i += 10) {
        sim_run(sim, 10);
        unsigned count = count_running(sim, id);
        least = count < least ? count : least;
    }
    return least;
}

/* Guards against more of a step being taken away at once than it may miss,
 * when all of its VMs are to be made empty. */
static void
test_lasting_moves_one_by_one(void)
{
    Sim *sim = sim_create(10);
    add_perpetual(sim, "b1", 4, 1);
    sim_run(sim, 1500);
    CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (sim_count_runs(sim, i, "b1") > 0) {
            AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, i), true);
        }
    }
    CU_ASSERT_EQUAL(least_running(sim, "b1", 8000), 3);
    CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* The VMs that run the job, in order; returns how many. */
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

/* Guards against a perpetual task that is taken off a cordoned VM while others
 * of its step leave VMs that drain: these go whatever the step may miss, and
 * their stops may reach the VMs first. */
static void
test_draining_goes_before_cordoned(void)
{
    /* Between the cordon and the draining: none, and while the stop on the
     * cordoned VM is under way. */
    static const AqTime pauses[] = {0, 5, 10, 15, 20, 25, 30, 40, 60};
    for (size_t i = 0; i < sizeof(pauses) / sizeof(pauses[0]); i++) {
        for (uint64_t seed = 1; seed <= 20; seed++) {
            unsigned vms[SIM_VMS];
            Sim *sim = sim_create(seed);
            add_perpetual(sim, "b1", 4, 1);
            sim_run(sim, 1500);
            CU_ASSERT_EQUAL_FATAL(find_vms(sim, "b1", vms), 4);
            AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, vms[0]),
                                  true);
            sim_run(sim, pauses[i]);
            sim_drain_vm(sim, vms[2]);
            sim_drain_vm(sim, vms[3]);
            sim_run(sim, 4000);
            CU_ASSERT_EQUAL(sim_count_runs(sim, vms[0], "b1"), 0);
            CU_ASSERT_EQUAL(count_running(sim, "b1"), 4);
            expect_unbroken(sim);
            sim_destroy(sim);
        }
    }
}

/* Guards against a perpetual task being taken away while another of its step
 * is on a VM that has gone silent. */
static void
test_lasting_stays_beside_silence(void)
{
    Sim *sim = sim_create(11);
    add_perpetual(sim, "b1", 3, 1);
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
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* Guards against fillers that go on at full speed while a serving task beside
 * them is over its target, and against staying slow afterwards. */
static void
test_fillers_are_paced(void)
{
    Sim *sim = sim_create(12);
    add_perpetual(sim, "b1", SIM_VMS, 1);
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
    sim_set_tail(sim, vm, 150);
    sim_run(sim, 3000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 0);
    sim_set_tail(sim, vm, 20);
    sim_run(sim, 12000);
    CU_ASSERT_EQUAL(sim_lowest_pace(sim, vm), 100);
    expect_unbroken(sim);
    sim_destroy(sim);
}

/* ---- Offered work ------------------------------------------------------- */

/* What is offered once 40 jobs have shown how long tasks take and eight more
 * have come; half of them declare "long_ms", half "short_ms", and all take
 * 400 ms. */
static int64_t
offered_after(AqTime long_ms, AqTime short_ms)
{
    enum {
        JOBS = 40,
        MORE = 8,
        TAKEN_MS = 400
    };
    AqSchedulerLoad load;
    Sim *sim = sim_create(21);
    for (int i = 0; i < JOBS + MORE; i++) {
        AqTime declared = i % 2 == 0 ? long_ms : short_ms;
        char id[AQ_JOB_ID_SIZE];
        snprintf(id, sizeof(id), "a%d", i);
        sim_add_simple(sim, id, 1, 2, 1000, declared);
        sim_misdeclare(sim, id, (int)(TAKEN_MS * 100 / declared));
        if (i < JOBS) {
            sim_run(sim, TAKEN_MS);
        }
        if (i == JOBS - 1) {
            sim_run(sim, 20000);
        }
    }
    AqScheduler_GetLoad(sim_scheduler(sim), sim_now(sim), &load);
    expect_unbroken(sim);
    sim_destroy(sim);
    return load.offered_cpu_millis;
}

/* Guards against a pool that hoards VMs because declared durations are off by
 * large factors either way. */
static void
test_misdeclared_durations(void)
{
    int64_t truth = offered_after(400, 400);
    int64_t seen = offered_after(1600, 100);
    CU_ASSERT_TRUE(seen > truth * 7 / 10);
    CU_ASSERT_TRUE(seen < truth * 14 / 10);
}

enum {
    OFFER_STEP_MS = 50
};

/* Adds jobs that need one core for 100 ms each. */
static void
offer(AqScheduler *s, unsigned jobs, AqTime now)
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
        CU_ASSERT_TRUE(AqScheduler_AddJob(s, &spec, NULL, 0, now, &error));
    }
}

/* Guards against VMs that come too late for a burst: while the load rises, the
 * offer must not lag behind it, and while it is steady not exceed it. */
static void
test_offer_rises_on(void)
{
    static const AqSchedulerActions actions = {0};
    AqSiteConfig site = {.version = 1};
    AqSchedulerConfig config = {.pool = "pool", .fence = 1, .lease_ms = 5000};
    AqScheduler *s = AqScheduler_Create(&config, &actions, NULL, 0);
    AqSchedulerLoad load;
    AqTime now = 0;
    AqScheduler_SetSite(s, &site);
    AqScheduler_SetLoaded(s);
    for (; now < 10000; now += OFFER_STEP_MS) {
        offer(s, 1, now);
    }
    AqScheduler_GetLoad(s, now, &load);
    CU_ASSERT_TRUE(load.offered_cpu_millis > 1800);
    CU_ASSERT_TRUE(load.offered_cpu_millis < 2200);
    /* From 2 to 20 cores in 3 s. */
    for (; now < 13000; now += OFFER_STEP_MS) {
        offer(s, 1 + (unsigned)(now - 10000) / 300, now);
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
        {"unaware_rival", test_unaware_rival},
        {"stalled_vm", test_stalled_vm},
        {"crash_restarts_at_once", test_crash_restarts_at_once},
        {"copies_beside_silence", test_copies_beside_silence},
        {"ended_vm_is_not_awaited", test_ended_vm_is_not_awaited},
        {"new_jobs_start_at_once", test_new_jobs_start_at_once},
        {"replaced_vm_is_not_awaited", test_replaced_vm_is_not_awaited},
        {"hand_over_is_exact", test_hand_over_is_exact},
        {"cancel_stops", test_cancel_stops},
        {"uncertain_owner_is_quiet", test_uncertain_owner_is_quiet},
        {"lasting_moves_one_by_one", test_lasting_moves_one_by_one},
        {"draining_goes_before_cordoned", test_draining_goes_before_cordoned},
        {"lasting_stays_beside_silence", test_lasting_stays_beside_silence},
        {"fillers_are_paced", test_fillers_are_paced},
        {"misdeclared_durations", test_misdeclared_durations},
        {"offer_rises_on", test_offer_rises_on},
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
