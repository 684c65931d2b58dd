#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Recurring jobs with times that no caller can have meant. */

enum {
    JOB_TASKS = 4,
    MAX_OPEN_TASKS = 64 * JOB_TASKS
};

static void
add_recurring(Fixture *f, uint32_t occurrences, int64_t first_due_ms,
              int64_t interval_ms, uint32_t tasks)
{
    AqError error;
    AqJobSpec spec = {.id = "a1",
                      .step_count = 1,
                      .occurrences = occurrences,
                      .first_due_ms = first_due_ms,
                      .interval_ms = interval_ms};
    spec.queue = strdup("queue");
    spec.text = strdup("text");
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = (AqStepSpec){.task_count = tasks, .cpu_millis = 10};
    CU_ASSERT_TRUE(
        AqScheduler_AddJob(f->s, &spec, NULL, 0, true, f->now, &error));
    fixture_tick(f, 200);
}

static size_t
count_ready(Fixture *f)
{
    AqSchedulerLoad load;
    AqScheduler_GetLoad(f->s, f->now, &load);
    return load.ready_tasks;
}

/* Guards against one job that exhausts the memory of each owner of its pool in
 * turn, since all its occurrences are due at once, and against occurrences
 * that are due at a time that overflowed. */
static void
test_due_times(void)
{
    static const struct {
        uint32_t occurrences;
        uint32_t tasks;
        int64_t first_due_ms;
        int64_t interval_ms;
        size_t ready;
    } cases[] = {
        {3, JOB_TASKS, 0, 0, 3 * JOB_TASKS},
        {1000000000, JOB_TASKS, 0, 0, MAX_OPEN_TASKS},
        {1000000000, AQ_JOB_MAX_TASKS, 0, 0, AQ_JOB_MAX_TASKS},
        {3, JOB_TASKS, 0, INT64_MAX, JOB_TASKS},
        {3, JOB_TASKS, INT64_MAX, INT64_MAX, 0},
        {1000000000, JOB_TASKS, 0, INT64_MAX / 2, JOB_TASKS},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f;
        fixture_set_up_loaded(&f);
        add_recurring(&f, cases[i].occurrences, cases[i].first_due_ms,
                      cases[i].interval_ms, cases[i].tasks);
        CU_ASSERT_EQUAL(count_ready(&f), cases[i].ready);
        fixture_tear_down(&f);
    }
}

static void
end_run(Fixture *f, unsigned start, int64_t number)
{
    const FixtureStart *order = &g_array_index(f->starts, FixtureStart, start);
    AqEndedTask end = {.number = number,
                       .task = order->task,
                       .run = order->run,
                       .kind = AQ_END_DONE,
                       .checkpoint = ""};
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .ended = &end,
                          .ended_count = 1};
    AqScheduler_OnRenewal(f->s, order->vm, f->now - 5, &reply, f->now);
}

/* Guards against occurrences beyond the limit that never run. */
static void
test_next_occurrence_follows(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm");
    add_recurring(&f, 70, 0, 0, 1);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 64);
    for (unsigned i = 0; i < 64; i++) {
        fixture_answer_start(&f, i, AQ_ORDER_DONE);
    }
    for (unsigned i = 0; i < 3; i++) {
        end_run(&f, i, i + 1);
    }
    fixture_tick(&f, 200);
    CU_ASSERT_EQUAL(f.starts->len, 67);
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("recurring", NULL, NULL);
    CU_ADD_TEST(suite, test_due_times);
    CU_ADD_TEST(suite, test_next_occurrence_follows);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
