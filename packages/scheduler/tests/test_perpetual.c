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

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"waiting_task_uses_cordoned_vm", test_waiting_task_uses_cordoned_vm},
        {"vacated_vm_stays_empty", test_vacated_vm_stays_empty},
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
