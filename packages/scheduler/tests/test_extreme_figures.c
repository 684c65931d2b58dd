#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Jobs with durations that no caller can have meant. */

enum {
    USUAL_MS = 100
};

static void
set_up(Fixture *f)
{
    fixture_set_up_loaded(f);
    f->queue.stretch = 2;
    f->queue.target_ms = 60000;
}

static const AqStepSpec usual = {.task_count = 1,
                                 .cpu_millis = FIXTURE_VM_CPU_MILLIS,
                                 .estimate_ms = USUAL_MS};
static const AqStepSpec extreme = {.task_count = 1,
                                   .cpu_millis = FIXTURE_VM_CPU_MILLIS,
                                   .estimate_ms = INT64_MAX};

/* Guards against a job that comes before all others since the work that it
 * declares overflows. */
static void
test_huge_job_comes_last(void)
{
    Fixture f;
    set_up(&f);
    fixture_add_job(&f, "a1", &extreme);
    fixture_add_job(&f, "b2", &usual);
    fixture_add_vm(&f, "vm");
    fixture_tick(&f, 200);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 1);
    CU_ASSERT_STRING_EQUAL(g_array_index(f.starts, FixtureStart, 0).task.job,
                           "b2");
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("extreme_figures", NULL, NULL);
    CU_ADD_TEST(suite, test_huge_job_comes_last);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
