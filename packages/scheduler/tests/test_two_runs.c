#include <CUnit/Basic.h>
#include <stdlib.h>

#include "sim_cases.h"

/* Sequences in which two runs of one task must not be alive at a time although
 * an earlier pool owner still sends orders, or a VM lists a run that the pool
 * owner cannot assign to a task yet.  "test_two_runs CASE" runs one case. */

enum {
    SEEDS = 20,
    NO_OWNER = 1000 /* above the number of owners in these tests */
};

/* Puts the first owner and the VM on one side of a partition, all later owners
 * and the other VMs on the other side. */
static void
part_first_owner(Sim *sim, unsigned vm)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (i == vm) {
            sim_limit_reach(sim, i, 1, 1);
        }
        else {
            sim_limit_reach(sim, i, 2, NO_OWNER);
        }
    }
}

static void
join_all(Sim *sim)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        sim_limit_reach(sim, i, 0, NO_OWNER);
    }
}

/* Guards against a third owner that waits only for the leases that the second
 * one can have granted: the first, whose owner key the store has removed, goes
 * on renewing the lease of a VM that only it reaches, and the second is
 * replaced meanwhile. */
static void
test_owner_before_the_last(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 1, 8, 8000, 20000);
        sim_run(sim, 500);
        part_first_owner(sim, sim_find_run(sim, "a1"));
        sim_start_owner(sim, true);
        sim_run(sim, 500);
        sim_kill_owner(sim);
        sim_start_owner(sim, false);
        sim_run(sim, 12000);
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

/* Guards against a refusal that counts as a sign that the VM has seen the
 * fence of the new owner: a VM that answers "unhealthy" has done nothing, so
 * that the earlier owner can still renew its lease. */
static void
test_refusal_shows_no_fence(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 1, 8, 8000, 20000);
        sim_run(sim, 500);
        unsigned vm = sim_find_run(sim, "a1");
        part_first_owner(sim, vm);
        sim_limit_reach(sim, vm, 0, NO_OWNER);
        sim_refuse_orders(sim, vm, 1);
        sim_start_owner(sim, true);
        sim_run(sim, 50);
        sim_limit_reach(sim, vm, 1, 1);
        sim_run(sim, 12000);
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

/* Guards against an owner that starts the tasks of a job that it has just
 * heard of although a VM has listed a run of that job: the earlier owner,
 * which was still active, started it. */
static void
test_run_before_its_job(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 1, 8, 1000, 200);
        sim_run(sim, 500);
        for (unsigned i = 0; i < SIM_VMS; i++) {
            sim_limit_reach(sim, i, 1, 1);
        }
        sim_start_owner(sim, true);
        sim_set_told_of_jobs(sim, false);
        sim_add_chain(sim, "a2", 1, 4, 8000, 5000);
        sim_run(sim, 100);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a2"), 4);
        join_all(sim);
        sim_run(sim, 1500);
        sim_set_told_of_jobs(sim, true);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

/* Guards against an owner that starts the tasks of an occurrence that has just
 * become due although a VM has listed their runs: the clock of the earlier
 * owner is ahead, and the order that stops such a run was lost. */
static void
test_run_before_its_occurrence(void)
{
    static const SimFaults no_saves = {.failed_saves_permille = 1000};
    static const SimFaults none = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        AqJobSpec spec = {.step_count = 1, .occurrences = 1};
        sim_set_wall_ahead(sim, 2000);
        sim_set_faults(sim, &no_saves);
        sim_run(sim, 500);
        g_strlcpy(spec.id, "a1", sizeof(spec.id));
        spec.first_due_ms = sim_now(sim) + 2000;
        spec.interval_ms = 60000;
        spec.steps = calloc(1, sizeof(*spec.steps));
        spec.steps[0] = (AqStepSpec){.task_count = 1,
                                     .cpu_millis = 8000,
                                     .memory_mb = 100,
                                     .estimate_ms = 5000};
        sim_add_job(sim, &spec);
        sim_run(sim, 1500);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 1);
        sim_set_faults(sim, &none);
        sim_kill_owner(sim);
        sim_lose_stops(sim, 1);
        sim_start_owner(sim, false);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 20000));
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

/* Guards against the restart of a done task by an owner that is replaced
 * without noticing: the next owner has confirmed the end to a VM that this one
 * never heard of, the VM crashes, and the reply of its next incarnation passes
 * for proof that nothing of earlier owners is left. */
static void
test_crash_of_unheard_vm(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 1, 1, 8000, 600);
        sim_run(sim, 300);
        unsigned vm = sim_find_run(sim, "a1");
        for (unsigned i = 0; i < SIM_VMS; i++) {
            sim_limit_reach(sim, i, i == vm ? 3 : 1, i == vm ? NO_OWNER : 2);
        }
        sim_kill_owner(sim);
        sim_start_owner(sim, false);
        sim_run(sim, 200);
        sim_start_owner(sim, true);
        sim_run(sim, 1200);
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
        sim_crash_vm(sim, vm);
        sim_run(sim, 1500);
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

int
main(int argc, char **argv)
{
    static const SimCase cases[] = {
        {"owner_before_the_last", test_owner_before_the_last},
        {"refusal_shows_no_fence", test_refusal_shows_no_fence},
        {"crash_of_unheard_vm", test_crash_of_unheard_vm},
        {"run_before_its_job", test_run_before_its_job},
        {"run_before_its_occurrence", test_run_before_its_occurrence},
    };
    return sim_run_cases("two_runs", cases, sizeof(cases) / sizeof(cases[0]),
                         argc, argv);
}
