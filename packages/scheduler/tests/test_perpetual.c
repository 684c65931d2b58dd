#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "sim.h"

/* Places of perpetual tasks while VMs are emptied and others are full. */

enum {
    /* longer than it takes until the runs of a silent VM count as lost */
    SILENCE_MS = 8000,
    STARTUP_MS = 2000
};

static void
expect_no_violation(const Sim *sim)
{
    const char *text = sim_violation(sim);
    if (text != NULL) {
        fprintf(stderr, "%s\n", text);
    }
    CU_ASSERT_PTR_NULL(text);
}

/* Adds a job of one step with "tasks" perpetual tasks, one at most on a VM. */
static void
add_wide_tasks(Sim *sim, const char *id, unsigned tasks, int64_t cpu_millis)
{
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = (AqStepSpec){
        .task_count = tasks,
        .cpu_millis = cpu_millis,
        .memory_mb = 100,
        .is_perpetual = true,
        .max_per_vm = 1,
    };
    sim_add_job(sim, &spec);
}

static unsigned
count_running(const Sim *sim, const char *id)
{
    unsigned count = 0;
    for (unsigned vm = 0; vm < SIM_VMS; vm++) {
        count += sim_count_runs(sim, vm, id);
    }
    return count;
}

static unsigned
find_vm_without(const Sim *sim, const char *id)
{
    unsigned vm = 0;
    while (vm + 1 < SIM_VMS && sim_count_runs(sim, vm, id) > 0) {
        vm++;
    }
    return vm;
}

static unsigned
find_fullest_vm(const Sim *sim)
{
    unsigned fullest = 0;
    for (unsigned vm = 1; vm < SIM_VMS; vm++) {
        if (sim_count_runs(sim, vm, NULL) >
            sim_count_runs(sim, fullest, NULL)) {
            fullest = vm;
        }
    }
    return fullest;
}

/* Runs the simulation for "ms"; returns the lowest number of the job's tasks
 * that were running after any tick. */
static unsigned
min_running(Sim *sim, const char *id, AqTime ms)
{
    unsigned least = UINT_MAX;
    for (AqTime i = 0; i < ms; i += 10) {
        sim_run(sim, 10);
        unsigned count = count_running(sim, id);
        least = count < least ? count : least;
    }
    return least;
}

static void
cordon(const Sim *sim, unsigned vm)
{
    AqScheduler_SetCordon(sim_scheduler(sim), sim_vm_id(sim, vm), true);
}

/* Guards against a perpetual task that waits for as long as the only room for
 * it is on a cordoned VM, which other perpetual tasks cannot leave. */
static void
test_waiting_task_uses_cordoned_vm(void)
{
    Sim *sim = sim_create(1);
    add_wide_tasks(sim, "b1", SIM_VMS, 9000);
    sim_run(sim, STARTUP_MS);
    add_wide_tasks(sim, "b2", SIM_VMS - 1, 6000);
    sim_run(sim, STARTUP_MS);
    unsigned roomy = find_vm_without(sim, "b2");
    CU_ASSERT_EQUAL_FATAL(count_running(sim, "b2"), SIM_VMS - 1);
    cordon(sim, roomy);
    sim_silence_vm(sim, (roomy + 1) % SIM_VMS, SILENCE_MS);
    sim_run(sim, SILENCE_MS - 500);
    CU_ASSERT_EQUAL(sim_count_runs(sim, roomy, "b1"), 1);
    CU_ASSERT_EQUAL(sim_count_runs(sim, roomy, "b2"), 1);
    CU_ASSERT_EQUAL(count_running(sim, "b2"), SIM_VMS - 1);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against a perpetual task that starts on a cordoned VM without tasks,
 * whose move or maintenance may have been ordered. */
static void
test_vacated_vm_stays_empty(void)
{
    Sim *sim = sim_create(2);
    add_wide_tasks(sim, "b1", SIM_VMS - 1, 9000);
    sim_run(sim, STARTUP_MS);
    unsigned empty = find_vm_without(sim, "b1");
    CU_ASSERT_EQUAL_FATAL(count_running(sim, "b1"), SIM_VMS - 1);
    cordon(sim, empty);
    sim_silence_vm(sim, (empty + 1) % SIM_VMS, SILENCE_MS);
    sim_run(sim, SILENCE_MS - 500);
    CU_ASSERT_EQUAL(sim_count_runs(sim, empty, "b1"), 0);
    CU_ASSERT_EQUAL(count_running(sim, "b1"), SIM_VMS - 2);
    expect_no_violation(sim);
    sim_destroy(sim);
}

/* Guards against perpetual tasks that are stopped on a cordoned VM to move,
 * although no other VM can run them or only some of them fit. */
static void
test_moves_count_room_once(void)
{
    static const struct {
        /* what keeps tasks from moving */
        const char *name;
        AqStepSpec step;
        /* how many of the step's tasks fit on other VMs than the cordoned */
        unsigned movable;
    } cases[] = {
        {"one hole", {.task_count = 23, .cpu_millis = 5000}, 1},
        {"two holes", {.task_count = 22, .cpu_millis = 5000}, 2},
        {"memory",
         {.task_count = 16, .cpu_millis = 1000, .memory_mb = 30000},
         0},
        {"tasks a VM",
         {.task_count = SIM_VMS, .cpu_millis = 1000, .max_per_vm = 1},
         0},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Sim *sim = sim_create(i + 3);
        AqJobSpec spec = {.step_count = 1};
        unsigned tasks = cases[i].step.task_count;
        g_strlcpy(spec.id, "b1", sizeof(spec.id));
        spec.steps = calloc(1, sizeof(*spec.steps));
        spec.steps[0] = cases[i].step;
        spec.steps[0].is_perpetual = true;
        sim_add_job(sim, &spec);
        sim_run(sim, STARTUP_MS);
        CU_ASSERT_EQUAL_FATAL(count_running(sim, "b1"), tasks);
        cordon(sim, find_fullest_vm(sim));
        unsigned least = min_running(sim, "b1", 5000);
        if (least < tasks - cases[i].movable) {
            fprintf(stderr, "%s: %u of %u tasks ran\n", cases[i].name, least,
                    tasks);
        }
        CU_ASSERT_TRUE(least >= tasks - cases[i].movable);
        CU_ASSERT_EQUAL(count_running(sim, "b1"), tasks);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "b1"), tasks + cases[i].movable);
        expect_no_violation(sim);
        sim_destroy(sim);
    }
}

/* Guards against a perpetual task that is stopped to move and then waits,
 * since other tasks have taken the room that it was to move to. */
static void
test_move_keeps_its_room(void)
{
    /* Times from the cordon until a job arrives that fills all VMs: before and
     * after the stop order, and while the VM has not listed the end. */
    static const AqTime pauses_ms[] = {0, 5, 10, 15, 20, 22, 24, 26, 28, 30};
    for (size_t i = 0; i < sizeof(pauses_ms) / sizeof(pauses_ms[0]); i++) {
        for (uint64_t seed = 1; seed <= 10; seed++) {
            Sim *sim = sim_create(seed);
            add_wide_tasks(sim, "b1", 1, 8000);
            sim_run(sim, STARTUP_MS);
            cordon(sim, find_fullest_vm(sim));
            sim_run(sim, pauses_ms[i]);
            sim_add_chain(sim, "a1", 1, 40, SIM_VM_CPU_MILLIS, 4000);
            sim_run(sim, 1000);
            CU_ASSERT_EQUAL(count_running(sim, "b1"), 1);
            expect_no_violation(sim);
            sim_destroy(sim);
        }
    }
}

static unsigned
count_idle_vms(const Sim *sim)
{
    unsigned count = 0;
    for (unsigned vm = 0; vm < SIM_VMS; vm++) {
        count += AqScheduler_IsIdle(sim_scheduler(sim), sim_vm_id(sim, vm));
    }
    return count;
}

/* Guards against the move or maintenance of a VM to which a perpetual task is
 * about to move. */
static void
test_move_target_is_not_idle(void)
{
    Sim *sim = sim_create(10);
    add_wide_tasks(sim, "b1", 1, 8000);
    sim_run(sim, STARTUP_MS);
    unsigned from = find_fullest_vm(sim);
    CU_ASSERT_EQUAL_FATAL(count_idle_vms(sim), SIM_VMS - 1);
    cordon(sim, from);
    unsigned idle = SIM_VMS;
    while (sim_count_runs(sim, from, "b1") > 0 && sim_now(sim) < 10000) {
        idle = count_idle_vms(sim);
        sim_run(sim, 1);
    }
    CU_ASSERT_EQUAL(idle, SIM_VMS - 2);
    expect_no_violation(sim);
    sim_destroy(sim);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"waiting_task_uses_cordoned_vm", test_waiting_task_uses_cordoned_vm},
        {"vacated_vm_stays_empty", test_vacated_vm_stays_empty},
        {"moves_count_room_once", test_moves_count_room_once},
        {"move_keeps_its_room", test_move_keeps_its_room},
        {"move_target_is_not_idle", test_move_target_is_not_idle},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("perpetual", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
