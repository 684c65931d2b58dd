#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "sim_cases.h"

/* A task that crashes each VM that starts it, and VMs that crash for other
 * reasons.  "test_crashing_task CASE" runs one case. */

enum {
    SEEDS = 20,
    DOWN_MS = 3000,
    /* above SIM_LEASE_MS */
    LONG_DOWN_MS = 6000,
    RUN_MS = 800,
    CRASHING_JOBS = 5,
    /* 10 s of work for half of the pool */
    BACKLOG_TASKS = 800,
    BACKLOG_LIMIT_MS = 10000 + 2 * DOWN_MS,
    RACK_CRASHES = SIM_CRASHES_PER_TASK + SIM_STARTS_AFTER_CRASHES - 1
};

static void
add_job(Sim *sim, const char *id, const AqStepSpec *step)
{
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = *step;
    spec.steps[0].cpu_millis = 1000;
    spec.steps[0].memory_mb = 100;
    spec.steps[0].estimate_ms = RUN_MS;
    sim_add_job(sim, &spec);
}

/* Runs a pool with other jobs and one whose first task crashes VMs, until all
 * have ended. */
static void
run_crashing(const AqStepSpec *step)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "b1", 2, 12, 1000, RUN_MS);
        sim_run(sim, 300);
        add_job(sim, "a1", step);
        sim_crash_vms_of(sim, "a1", DOWN_MS);
        sim_run(sim, 500);
        sim_add_chain(sim, "b2", 2, 12, 1000, RUN_MS);
        bool is_finished = sim_run_until_finished(sim, 40000);
        sim_expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_EQUAL(sim_stage(sim, "b1"), AQ_STAGE_COMPLETED);
        CU_ASSERT_EQUAL(sim_stage(sim, "b2"), AQ_STAGE_COMPLETED);
        CU_ASSERT_TRUE(sim_count_crashes(sim, "a1") >= 2);
        sim_destroy(sim);
    }
}

/* Guards against a task that takes down one VM after another (BUDGET): a run
 * that ended with its VM counted for nothing. */
static void
test_task_that_crashes_each_vm(void)
{
    static const AqStepSpec step = {.task_count = 4};
    run_crashing(&step);
}

/* Guards against a gang of which one task takes down one VM after another. */
static void
test_gang_that_crashes_each_vm(void)
{
    static const AqStepSpec step = {.task_count = 3, .is_gang = true};
    run_crashing(&step);
}

/* Guards against a perpetual task that takes down one VM after another, since
 * its failed runs are not limited. */
static void
test_perpetual_task_that_crashes_each_vm(void)
{
    static const AqStepSpec step = {.task_count = 1, .is_perpetual = true};
    run_crashing(&step);
}

/* Guards against a count of crashes that a later owner of the pool does not
 * know: owners are killed, or hand the pool over, between the crashes. */
static void
test_crashes_count_across_owners(void)
{
    static const AqStepSpec step = {.task_count = 4};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        add_job(sim, "a1", &step);
        sim_crash_vms_of(sim, "a1", DOWN_MS);
        for (unsigned crashes = 1; crashes < SIM_CRASHES_PER_TASK; crashes++) {
            for (unsigned i = 0;
                 i < 100 && sim_count_crashes(sim, "a1") < crashes; i++) {
                sim_run(sim, 100);
            }
            sim_run(sim, DOWN_MS + 800);
            if (seed % 2 == 0) {
                sim_hand_over(sim);
            }
            else {
                sim_kill_owner(sim);
                sim_start_owner(sim, false);
            }
        }
        bool is_finished = sim_run_until_finished(sim, 40000);
        sim_expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_TRUE(sim_count_crashes(sim, "a1") <=
                       SIM_CRASHES_PER_TASK + SIM_STARTS_AFTER_CRASHES);
        sim_destroy(sim);
    }
}

/* Guards against a job that fails because its VM restarts some time after the
 * job's run ended: the next owner of the pool knows only that the run was
 * started there. */
static void
test_restart_after_unstored_end(void)
{
    static const AqStepSpec step = {.task_count = 1};
    static const SimFaults no_saves = {.failed_saves_permille = 1000};
    static const SimFaults none = {0};
    Sim *sim = sim_create(1);
    add_job(sim, "a1", &step);
    sim_run(sim, 100);
    unsigned vm = sim_find_run(sim, "a1");
    sim_crash_vm_for(sim, vm, DOWN_MS);
    while (sim_count_starts(sim, "a1") < 2 && sim_now(sim) < 20000) {
        sim_run(sim, 10);
    }
    vm = sim_find_run(sim, "a1");
    sim_set_faults(sim, &no_saves);
    sim_run(sim, 2 * RUN_MS);
    CU_ASSERT_EQUAL(AqScheduler_Counters(sim_scheduler(sim))->done, 1);
    sim_kill_owner(sim);
    sim_restart_vm(sim, vm, SIM_REPLY_TIMEOUT_MS);
    sim_run(sim, SIM_REPLY_TIMEOUT_MS + 100);
    sim_set_faults(sim, &none);
    sim_start_owner(sim, false);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

/* Guards against jobs that fail although none of their tasks crashes a VM: at
 * random times one of the two racks, half of the pool, crashes, as often as
 * a task may crash VMs before it must not start again. */
static void
test_crashed_racks_fail_no_job(void)
{
    for (uint64_t seed = 1; seed <= 3 * SEEDS; seed++) {
        AqRandom random;
        Sim *sim = sim_create(seed);
        char id[16];
        AqRandom_Seed(&random, seed);
        sim_add_perpetual(sim, "p1", 4, 2);
        for (unsigned i = 0; i < RACK_CRASHES; i++) {
            unsigned rack = (unsigned)AqRandom_Below(&random, 2);
            snprintf(id, sizeof(id), "b%u", i);
            sim_add_chain(sim, id, 3, 16, 2000, 2500);
            sim_run(sim, 1000 + (AqTime)AqRandom_Below(&random, 8000));
            for (unsigned vm = 0; vm < SIM_VMS / 2; vm++) {
                sim_crash_vm_for(sim, vm + rack * SIM_VMS / 2, DOWN_MS);
            }
        }
        sim_run(sim, 60000);
        sim_expect_no_violation(sim, seed);
        uint64_t given_up = AqScheduler_Counters(sim_scheduler(sim))->given_up;
        if (given_up > 0) {
            fprintf(stderr, "seed %llu: a job was given up\n",
                    (unsigned long long)seed);
        }
        CU_ASSERT_EQUAL(given_up, 0);
        for (unsigned i = 0; i < RACK_CRASHES; i++) {
            snprintf(id, sizeof(id), "b%u", i);
            CU_ASSERT_EQUAL(sim_stage(sim, id), AQ_STAGE_COMPLETED);
        }
        CU_ASSERT_EQUAL(sim_stage(sim, "p1"), AQ_STAGE_RUNNING);
        sim_destroy(sim);
    }
}

/* Guards against a perpetual task that is given up after crashes that are
 * further apart than PERPETUAL_SURVIVAL_MS and have other causes. */
static void
test_perpetual_task_outlives_crashes(void)
{
    Sim *sim = sim_create(1);
    sim_add_perpetual(sim, "p1", 1, 1);
    for (unsigned i = 0; i < 6; i++) {
        sim_run(sim, 15000);
        for (unsigned vm = 0; vm < SIM_VMS; vm++) {
            if (sim_count_runs(sim, vm, "p1") > 0) {
                sim_crash_vm_for(sim, vm, DOWN_MS);
                break;
            }
        }
    }
    sim_run(sim, 15000);
    sim_expect_no_violation(sim, 1);
    CU_ASSERT_EQUAL(sim_stage(sim, "p1"), AQ_STAGE_RUNNING);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "p1"), 7);
    sim_destroy(sim);
}

/* Guards against a perpetual task that is given up, with all others of its
 * job, since other tasks crash one VM after another under it. */
static void
test_perpetual_task_beside_crashing_ones(void)
{
    Sim *sim = sim_create(1);
    sim_add_perpetual(sim, "p1", 1, 1);
    for (unsigned i = 1; i <= 2 * SIM_CRASHES_PER_TASK; i++) {
        while (sim_count_starts(sim, "p1") < i && sim_now(sim) < 60000) {
            sim_run(sim, 10);
        }
        sim_run(sim, RUN_MS);
        sim_crash_vm_for(sim, sim_find_run(sim, "p1"), DOWN_MS);
    }
    sim_run(sim, 15000);
    sim_expect_no_violation(sim, 1);
    CU_ASSERT_EQUAL(sim_stage(sim, "p1"), AQ_STAGE_RUNNING);
    CU_ASSERT_EQUAL(AqScheduler_Counters(sim_scheduler(sim))->given_up, 0);
    sim_destroy(sim);
}

/* Guards against starts of a task beyond the platform's limit when its crashes
 * pass for late ones, since a whole rack goes at the time: it was still
 * copied, and each copy may crash a VM before the next crash is known. */
static void
test_task_with_late_crash_is_not_copied(void)
{
    static const AqStepSpec step = {.task_count = 1, .allows_copies = true};
    Sim *sim = sim_create(1);
    add_job(sim, "a1", &step);
    sim_run(sim, 100);
    unsigned first = sim_find_run(sim, "a1") / 4 * 4;
    for (unsigned vm = first; vm < first + 4; vm++) {
        sim_crash_vm_for(sim, vm, 500);
    }
    while (sim_count_starts(sim, "a1") < 2 && sim_now(sim) < 20000) {
        sim_run(sim, 10);
    }
    CU_ASSERT_EQUAL(AqScheduler_Counters(sim_scheduler(sim))->crashed_runs, 1);
    sim_set_actual_duration(sim, "a1", 1000);
    sim_silence_vm(sim, sim_find_run(sim, "a1"), 3000);
    sim_run(sim, 2500);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 2);
    sim_run_until_finished(sim, 20000);
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

/* Guards against a VM that is moved or leaves and counts as crashed. */
static void
test_ended_vm_is_no_crash(void)
{
    Sim *sim = sim_create(1);
    sim_add_chain(sim, "b1", 1, 8, 16000, 4000);
    sim_run(sim, 1000);
    AqScheduler_VmEnded(sim_scheduler(sim), sim_vm_id(sim, 0),
                        AQ_VM_ENDED_BY_ORDER, sim_now(sim));
    sim_crash_vm(sim, 0);
    sim_drain_vm(sim, 1);
    sim_run(sim, 100);
    sim_crash_vm(sim, 1);
    sim_run(sim, 1000);
    CU_ASSERT_EQUAL(AqScheduler_Counters(sim_scheduler(sim))->crashed_runs, 0);
    sim_crash_vm(sim, 2);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
    CU_ASSERT_EQUAL(AqScheduler_Counters(sim_scheduler(sim))->crashed_runs, 1);
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

/* Guards against a task that takes down a VM every 0.7 s (BUDGET): its run was
 * copied without end while VM after VM became silent. */
static void
test_copied_task_that_crashes_each_vm(void)
{
    static const AqStepSpec step = {.task_count = 4, .allows_copies = true};
    run_crashing(&step);
}

/* Makes one VM after another crash under a full load of young runs, so that
 * many tasks are suspects, while a backlog of a job that nobody suspects
 * waits. */
static Sim *
create_suspects(uint64_t seed)
{
    static const AqStepSpec step = {.task_count = 1};
    Sim *sim = sim_create(seed);
    char id[16];
    for (unsigned i = 0; i < CRASHING_JOBS; i++) {
        snprintf(id, sizeof(id), "a%u", i);
        add_job(sim, id, &step);
        sim_crash_vms_of(sim, id, DOWN_MS);
        snprintf(id, sizeof(id), "c%u", i);
        sim_add_chain(sim, id, 1, 240, 60, RUN_MS);
        sim_run(sim, 50);
    }
    sim_add_chain(sim, "b1", 1, BACKLOG_TASKS, 1000, RUN_MS);
    return sim;
}

/* Guards against jobs that nobody suspects and that wait while the trials of
 * suspects take each VM of the pool, most of which is free (LOST), and against
 * suspects that wait without end behind them. */
static void
test_trials_leave_room(void)
{
    Sim *sim = create_suspects(1);
    sim_run(sim, BACKLOG_LIMIT_MS);
    CU_ASSERT_EQUAL(sim_stage(sim, "b1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
    for (unsigned i = 0; i < CRASHING_JOBS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "a%u", i);
        CU_ASSERT_EQUAL(sim_stage(sim, id), AQ_STAGE_FAILED);
        snprintf(id, sizeof(id), "c%u", i);
        CU_ASSERT_EQUAL(sim_stage(sim, id), AQ_STAGE_COMPLETED);
    }
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

/* Guards against a pool that takes most VMs of the site after a takeover while
 * its tasks crash them: the new owner did not know of the crashes. */
static void
test_crashes_limit_next_owner(void)
{
    AqSchedulerLoad load;
    Sim *sim = create_suspects(1);
    do {
        sim_run(sim, 10);
        AqScheduler_GetLoad(sim_scheduler(sim), sim_now(sim), &load);
    } while (load.recent_crashes == 0 && sim_now(sim) < 2 * DOWN_MS);
    CU_ASSERT_TRUE(load.recent_crashes > 0);
    sim_run(sim, 1000); /* the list of used VMs without them, too */
    sim_hand_over(sim);
    sim_run(sim, 100);
    AqScheduler_GetLoad(sim_scheduler(sim), sim_now(sim), &load);
    CU_ASSERT_TRUE(load.recent_crashes > 0);
    sim_run(sim, 60000);
    AqScheduler_GetLoad(sim_scheduler(sim), sim_now(sim), &load);
    CU_ASSERT_EQUAL(load.recent_crashes, 0);
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

/* Guards against starts of a copied task beyond the platform's limit when
 * owners hand the pool over before the first crash is seen: the next owner did
 * not know that the current run was a copy, and copied it again. */
static void
test_copies_count_across_owners(void)
{
    static const AqStepSpec step = {.task_count = 1, .allows_copies = true};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        add_job(sim, "a1", &step);
        sim_crash_vms_of(sim, "a1", LONG_DOWN_MS);
        for (unsigned i = 1; i <= SIM_CRASHES_PER_TASK; i++) {
            while (sim_count_starts(sim, "a1") < 2 * i &&
                   sim_now(sim) < LONG_DOWN_MS) {
                sim_run(sim, 10);
            }
            sim_run(sim, 200);
            sim_hand_over(sim);
        }
        CU_ASSERT_TRUE(sim_count_starts(sim, "a1") <= SIM_CRASHES_PER_TASK);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 40000));
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

/* Guards against a job that is given up after one crash (LOST): a start order
 * that a VM which was down already had not answered counted as another. */
static void
test_unanswered_start_is_no_proof(void)
{
    static const AqStepSpec step = {.task_count = 1};
    Sim *sim = sim_create(1);
    sim_run(sim, 500);
    sim_crash_vm_for(sim, 0, DOWN_MS); /* the one that the job goes to */
    add_job(sim, "a1", &step);
    while (sim_count_starts(sim, "a1") < 1 && sim_now(sim) < 20000) {
        sim_run(sim, 10);
    }
    const AqSchedulerCounters *counters =
        AqScheduler_Counters(sim_scheduler(sim));
    CU_ASSERT_EQUAL(counters->crashed_runs, 1);
    sim_run(sim, 50);
    sim_crash_vm_for(sim, sim_find_run(sim, "a1"), DOWN_MS);
    CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
    CU_ASSERT_EQUAL(counters->crashed_runs, 2);
    CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
    sim_expect_no_violation(sim, 1);
    sim_destroy(sim);
}

int
main(int argc, char **argv)
{
    static const SimCase cases[] = {
        {"task_that_crashes_each_vm", test_task_that_crashes_each_vm},
        {"copied_task_that_crashes_each_vm",
         test_copied_task_that_crashes_each_vm},
        {"gang_that_crashes_each_vm", test_gang_that_crashes_each_vm},
        {"perpetual_task_that_crashes_each_vm",
         test_perpetual_task_that_crashes_each_vm},
        {"crashes_count_across_owners", test_crashes_count_across_owners},
        {"restart_after_unstored_end", test_restart_after_unstored_end},
        {"crashed_racks_fail_no_job", test_crashed_racks_fail_no_job},
        {"perpetual_task_outlives_crashes",
         test_perpetual_task_outlives_crashes},
        {"perpetual_task_beside_crashing_ones",
         test_perpetual_task_beside_crashing_ones},
        {"task_with_late_crash_is_not_copied",
         test_task_with_late_crash_is_not_copied},
        {"ended_vm_is_no_crash", test_ended_vm_is_no_crash},
        {"trials_leave_room", test_trials_leave_room},
        {"crashes_limit_next_owner", test_crashes_limit_next_owner},
        {"copies_count_across_owners", test_copies_count_across_owners},
        {"unanswered_start_is_no_proof", test_unanswered_start_is_no_proof},
    };
    return sim_run_cases("crashing_task", cases,
                         sizeof(cases) / sizeof(cases[0]), argc, argv);
}
