#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Tests of starts under the cap of a workspace, with a limit that the test
 * sets in place of the pool's part of the cap. */

enum {
    CPU = 1000 /* thousandths of a core that a task needs */
};

static const AqStepSpec plain = {
    .task_count = 6, .cpu_millis = CPU, .memory_mb = 1, .estimate_ms = 5000};

static void
set_up(Fixture *f, int64_t limit_millis)
{
    fixture_set_up_loaded(f);
    fixture_set_cap(f, "w", 100 * CPU);
    AqResources limit = {.cpu_millis = limit_millis};
    AqScheduler_SetCapLimit(f->s, "w", &limit);
    fixture_add_vm(f, "vm-1");
    fixture_add_vm(f, "vm-2");
}

static void
set_limit(Fixture *f, int64_t limit_millis)
{
    AqResources limit = {.cpu_millis = limit_millis};
    AqScheduler_SetCapLimit(f->s, "w", &limit);
    fixture_tick(f, 200);
}

static void
add_job(Fixture *f, const char *id, const AqStepSpec *step)
{
    fixture_add_job(f, id, step);
    fixture_tick(f, 200);
}

static void
answer_starts(Fixture *f)
{
    for (guint i = 0; i < f->starts->len; i++) {
        fixture_answer_start(f, i, AQ_ORDER_DONE);
    }
}

typedef struct {
    AqCapDemand demand;
    unsigned count;
} Seen;

static void
note_demand(void *context, const AqCapDemand *demand)
{
    Seen *seen = context;
    seen->demand = *demand;
    seen->count++;
}

static AqCapDemand
demand_of(Fixture *f)
{
    Seen seen = {0};
    AqScheduler_EachCapDemand(f->s, note_demand, &seen);
    CU_ASSERT_EQUAL(seen.count, 1);
    return seen.demand;
}

/* Guards against starts beyond the limit, for each kind of step. */
static void
test_starts_within_limit(void)
{
    static const struct {
        const char *what;
        int64_t limit_millis;
        AqStepSpec step;
        unsigned starts;
        int64_t wanted_millis;
    } cases[] = {
        {"no part yet", 0, {.task_count = 3}, 0, 3 * CPU},
        {"less than a task", CPU - 1, {.task_count = 3}, 0, 3 * CPU},
        {"some tasks", 2 * CPU + 1, {.task_count = 3}, 2, 3 * CPU},
        {"all tasks", 3 * CPU, {.task_count = 3}, 3, 3 * CPU},
        {"a gang that does not fit whole",
         2 * CPU,
         {.task_count = 3, .is_gang = true},
         0,
         3 * CPU},
        {"a gang that fits",
         3 * CPU,
         {.task_count = 3, .is_gang = true},
         3,
         3 * CPU},
        {"tasks that last",
         CPU,
         {.task_count = 2, .is_perpetual = true},
         1,
         2 * CPU},
        {"fillers need no CPU of the cap",
         0,
         {.task_count = 2, .is_filler = true},
         2,
         0},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f;
        AqStepSpec step = cases[i].step;
        step.cpu_millis = CPU;
        step.memory_mb = 1;
        step.estimate_ms = 5000;
        set_up(&f, cases[i].limit_millis);
        add_job(&f, "a1", &step);
        if (f.starts->len != cases[i].starts ||
            demand_of(&f).want.cpu_millis != cases[i].wanted_millis) {
            printf("%s: %u starts, %lld wanted\n", cases[i].what,
                   f.starts->len, (long long)demand_of(&f).want.cpu_millis);
            CU_FAIL("starts within the limit");
        }
        fixture_tear_down(&f);
    }
}

/* Guards against tasks that wait although the pool has got a larger part, and
 * against starts after it has given a part back. */
static void
test_limit_changes(void)
{
    Fixture f;
    set_up(&f, 2 * CPU);
    add_job(&f, "a1", &plain);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    CU_ASSERT_TRUE(demand_of(&f).since_ms > 0);
    set_limit(&f, 4 * CPU);
    CU_ASSERT_EQUAL(f.starts->len, 4);
    set_limit(&f, CPU);
    add_job(&f, "a2", &plain);
    CU_ASSERT_EQUAL(f.starts->len, 4);
    CU_ASSERT_EQUAL(demand_of(&f).unit.cpu_millis, CPU);
    fixture_tear_down(&f);
}

/* Guards against a limit for workspaces without a cap, and for jobs that
 * belong to no workspace. */
static void
test_without_cap(void)
{
    Fixture f;
    set_up(&f, 0);
    fixture_set_cap(&f, "w", 0);
    add_job(&f, "a1", &plain);
    CU_ASSERT_EQUAL(f.starts->len, 6);
    f.workspace = NULL;
    add_job(&f, "a2", &plain);
    CU_ASSERT_EQUAL(f.starts->len, 8); /* what the VMs hold */
    fixture_tear_down(&f);
}

/* Guards against runs that no longer count while they may be alive: copies of
 * tasks start while their VM is silent. */
static void
test_left_behind_runs_count(void)
{
    AqStepSpec step = plain;
    Fixture f;
    step.task_count = 4;
    step.allows_copies = true;
    set_up(&f, 6 * CPU);
    add_job(&f, "a1", &step);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 4);
    answer_starts(&f);
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_UNKNOWN);
    fixture_answer_renewal(&f, "vm-2", AQ_ORDER_UNKNOWN);
    fixture_add_vm(&f, "vm-3");
    fixture_tick(&f, 1000);
    CU_ASSERT_EQUAL(f.starts->len, 6);
    CU_ASSERT_EQUAL(demand_of(&f).used.cpu_millis, 6 * CPU);
    fixture_tear_down(&f);
}

/* Guards against a start whose answer is lost, and that may be carried out
 * late, that does not count. */
static void
test_unanswered_start_counts(void)
{
    Fixture f;
    set_up(&f, 2 * CPU);
    add_job(&f, "a1", &plain);
    fixture_answer_start(&f, 0, AQ_ORDER_UNKNOWN);
    fixture_answer_start(&f, 1, AQ_ORDER_UNKNOWN);
    fixture_tick(&f, 1000);
    CU_ASSERT_EQUAL(demand_of(&f).used.cpu_millis, 2 * CPU);
    for (guint i = 2; i < f.starts->len; i++) {
        /* Only the two starts are repeated. */
        const FixtureStart *start = &g_array_index(f.starts, FixtureStart, i);
        CU_ASSERT_TRUE(start->task.index < 2);
    }
    fixture_tear_down(&f);
}

/* Guards against a pool that starts nothing for a reason that is not told. */
static void
test_stall_names_cap(void)
{
    static const AqStepSpec gang = {.task_count = 3,
                                    .cpu_millis = CPU,
                                    .memory_mb = 1,
                                    .estimate_ms = 5000,
                                    .is_gang = true};
    const AqStepSpec *steps[] = {&plain, &gang};
    for (size_t i = 0; i < 2; i++) {
        Fixture f;
        AqBuffer text;
        set_up(&f, i == 0 ? 0 : 2 * CPU);
        add_job(&f, "a1", steps[i]);
        AqBuffer_Init(&text);
        AqScheduler_DescribeStartWait(f.s, &text);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(AqBuffer_Text(&text), "reason=capped capped="));
        AqBuffer_Clear(&text);
        fixture_tear_down(&f);
    }
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("workspace_caps", NULL, NULL);
    CU_ADD_TEST(suite, test_starts_within_limit);
    CU_ADD_TEST(suite, test_limit_changes);
    CU_ADD_TEST(suite, test_without_cap);
    CU_ADD_TEST(suite, test_left_behind_runs_count);
    CU_ADD_TEST(suite, test_unanswered_start_counts);
    CU_ADD_TEST(suite, test_stall_names_cap);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
