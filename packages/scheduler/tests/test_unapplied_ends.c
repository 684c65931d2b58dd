#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* What VMs list of tasks that the scheduler does not know yet. */

static const AqStepSpec step = {
    .task_count = 1, .cpu_millis = 1000, .estimate_ms = 500};

static void
answer_with_ends(const Fixture *f, const AqEndedTask *ends, size_t count)
{
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .ended = ends,
                          .ended_count = count};
    AqScheduler_OnRenewal(f->s, "vm-1", f->now - 5, &reply, f->now);
}

/* Guards against a start of a task whose end a VM has listed behind the end of
 * a run of an unknown job, which is not applied yet. */
static void
test_end_behind_unknown_end(void)
{
    static const AqEndedTask ends[] = {
        {.number = 1, .task = {.job = "b1"}, .run = 5, .checkpoint = ""},
        {.number = 2, .task = {.job = "a1"}, .run = 5, .checkpoint = ""}};
    Fixture earlier;
    Fixture f;
    AqBuffer list;
    AqBuffer_Init(&list);
    fixture_set_up_loaded(&earlier);
    fixture_add_vm(&earlier, "vm-1");
    AqScheduler_EncodeUsedVms(earlier.s, &list);
    fixture_tear_down(&earlier);
    fixture_set_up(&f, FIXTURE_EARLIER_OWNER_MS);
    CU_ASSERT_TRUE(AqScheduler_AddUsedVms(f.s, list.bytes, list.size, f.now));
    fixture_add_job(&f, "a1", &step);
    AqScheduler_SetLoaded(f.s);
    fixture_add_vm(&f, "vm-2");
    fixture_tick(&f, 40);
    CU_ASSERT_EQUAL(f.starts->len, 0);
    for (int i = 0; i < 25; i++) {
        answer_with_ends(&f, ends, G_N_ELEMENTS(ends));
        fixture_tick(&f, 200);
        fixture_answer_renewal(&f, "vm-2", AQ_ORDER_DONE);
    }
    CU_ASSERT_EQUAL(f.starts->len, 0);
    AqBuffer_Clear(&list);
    fixture_tear_down(&f);
}

/* Guards against a start of an occurrence whose end a VM has listed before the
 * occurrence was due on this owner's clock. */
static void
test_end_before_occurrence(void)
{
    static const AqEndedTask end = {
        .number = 1, .task = {.job = "a1"}, .run = 5, .checkpoint = ""};
    Fixture f;
    AqError error;
    AqJobSpec spec = {.step_count = 1,
                      .occurrences = 1,
                      .first_due_ms = 1000,
                      .interval_ms = 60000};
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    g_strlcpy(spec.id, "a1", sizeof(spec.id));
    spec.queue = strdup("queue");
    spec.text = strdup("text");
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = step;
    CU_ASSERT_TRUE(
        AqScheduler_AddJob(f.s, &spec, NULL, 0, false, f.now, &error));
    fixture_tick(&f, 40);
    answer_with_ends(&f, &end, 1);
    for (int i = 0; i < 10; i++) {
        f.now += 20;
        AqScheduler_ConfirmOwnership(f.s, f.now);
        AqScheduler_Tick(f.s, f.now, 2000, true);
        answer_with_ends(&f, &end, 1);
    }
    CU_ASSERT_EQUAL(f.starts->len, 0);
    fixture_tear_down(&f);
}

/* Guards against a list that hands the pool over although it leaves out a run
 * of a job that the owner does not know: the next owner would start it again
 * without an answer of its VM. */
static void
test_no_hand_over_with_unknown_run(void)
{
    static const AqRunningTask row = {
        .task = {.job = "b1"}, .run = 5, .checkpoint = ""};
    Fixture f;
    Fixture next;
    AqBuffer list;
    AqBuffer_Init(&list);
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f.now,
                          .running = &row,
                          .running_count = 1};
    AqScheduler_OnRenewal(f.s, "vm-1", f.now - 5, &reply, f.now);
    AqScheduler_Close(f.s);
    AqScheduler_EncodeUsedVms(f.s, &list);
    fixture_tear_down(&f);
    fixture_set_up(&next, 0);
    CU_ASSERT_TRUE(
        AqScheduler_AddUsedVms(next.s, list.bytes, list.size, next.now));
    next.quiet_at = AQ_TIME_NEVER;
    fixture_add_job(&next, "b1", &step);
    AqScheduler_SetLoaded(next.s);
    fixture_add_vm(&next, "vm-2");
    fixture_tick(&next, 100);
    CU_ASSERT_EQUAL(next.starts->len, 0);
    AqBuffer_Clear(&list);
    fixture_tear_down(&next);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("unapplied_ends", NULL, NULL);
    CU_ADD_TEST(suite, test_end_behind_unknown_end);
    CU_ADD_TEST(suite, test_end_before_occurrence);
    CU_ADD_TEST(suite, test_no_hand_over_with_unknown_run);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
