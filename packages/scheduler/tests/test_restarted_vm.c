#include <CUnit/Basic.h>
#include <stdio.h>

#include "sim_cases.h"

/* VMs that start again under their id: the next incarnation knows nothing of
 * the one before and counts ends and time anew.  "test_restarted_vm CASE" runs
 * one case. */

enum {
    SEEDS = 20,
    DOWN_MS = 700,
    RUN_MS = 400,
    CRASH_DOWN_MS = 2500
};

/* Guards against the restart of a task whose run is done (TWICE): the ends
 * that a restarted VM lists, numbered from 1 again, are passed over as known
 * ones, and confirmed to it by the number of an earlier end. */
static void
test_ends_of_restarted_vm(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 4, 40, 1000, RUN_MS);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 30000));
        for (unsigned vm = 0; vm < SIM_VMS; vm++) {
            sim_restart_vm(sim, vm, DOWN_MS);
        }
        sim_run(sim, DOWN_MS + 500);
        sim_add_chain(sim, "a2", 4, 40, 1000, RUN_MS);
        bool is_finished = sim_run_until_finished(sim, 30000);
        sim_expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a2"), 160);
        sim_destroy(sim);
    }
}

/* Guards against two runs of a task, and against the restart of a done one,
 * while VMs restart under their id all the time: unnoticed and noticed, beside
 * lost and late orders and changes of the owner. */
static void
test_restarts_beside_faults(void)
{
    static const SimFaults faults = {.lost_replies_permille = 30,
                                     .delayed_orders_permille = 30,
                                     .failed_saves_permille = 50};
    static const SimFaults none = {0};
    for (uint64_t seed = 1; seed <= 3 * SEEDS; seed++) {
        AqRandom random;
        char id[16];
        Sim *sim = sim_create(seed);
        AqRandom_Seed(&random, seed);
        sim_set_faults(sim, &faults);
        for (unsigned i = 0; i < 20; i++) {
            snprintf(id, sizeof(id), "a%u", i);
            sim_add_chain(sim, id, 2, 12, 1000, RUN_MS);
            sim_restart_vm(sim, (unsigned)AqRandom_Below(&random, SIM_VMS),
                           SIM_REPLY_TIMEOUT_MS +
                               (AqTime)AqRandom_Below(&random, CRASH_DOWN_MS));
            sim_run(sim, 600);
            if (i % 7 == 6) {
                sim_kill_owner(sim);
                sim_start_owner(sim, false);
            }
        }
        sim_set_faults(sim, &none);
        bool is_finished = sim_run_until_finished(sim, 60000);
        sim_expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        sim_destroy(sim);
    }
}

/* Guards against a task that takes down one VM after another when the VMs
 * start again under their ids: no other incarnation answers then. */
static void
test_crashing_task_on_restarted_vms(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_keep_ids(sim);
        sim_add_chain(sim, "b1", 2, 12, 1000, RUN_MS);
        sim_run(sim, 300);
        sim_add_chain(sim, "a1", 1, 4, 1000, RUN_MS);
        sim_crash_vms_of(sim, "a1", CRASH_DOWN_MS);
        bool is_finished = sim_run_until_finished(sim, 40000);
        sim_expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_EQUAL(sim_stage(sim, "b1"), AQ_STAGE_COMPLETED);
        sim_destroy(sim);
    }
}

/* Guards against a task that runs although it is done or runs elsewhere: a
 * start order that a VM had not executed when it crashed is executed by its
 * next incarnation, which has seen neither the fence nor the task's end. */
static void
test_late_start_after_restart(void)
{
    static const SimFaults faults = {.delayed_orders_permille = 40,
                                     .do_orders_outlive_vms = true};
    for (uint64_t seed = 1; seed <= 3 * SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        char id[16];
        sim_set_faults(sim, &faults);
        for (unsigned i = 0; i < 20; i++) {
            snprintf(id, sizeof(id), "a%u", i);
            sim_add_chain(sim, id, 2, 12, 1000, RUN_MS);
            sim_restart_vm(sim, i % SIM_VMS, DOWN_MS);
            sim_run(sim, 600);
        }
        sim_expect_no_violation(sim, seed);
        sim_destroy(sim);
    }
}

int
main(int argc, char **argv)
{
    static const SimCase cases[] = {
        {"ends_of_restarted_vm", test_ends_of_restarted_vm},
        {"restarts_beside_faults", test_restarts_beside_faults},
        {"crashing_task_on_restarted_vms",
         test_crashing_task_on_restarted_vms},
        {"late_start_after_restart", test_late_start_after_restart},
    };
    return sim_run_cases("restarted_vm", cases,
                         sizeof(cases) / sizeof(cases[0]), argc, argv);
}
