#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Replies and entries of two incarnations of a VM under one id, in an order
 * that the test chooses. */

enum {
    FIRST_BORN_MS = 1000000,
    NEXT_BORN_MS = 1007000
};

static const AqStepSpec one_task = {
    .task_count = 1, .cpu_millis = 1000, .memory_mb = 1, .estimate_ms = 5000};

static void
list_vm(Fixture *f, const char *id, int64_t born_ms)
{
    AqVmReport report = fixture_report(id);
    report.born_ms = born_ms;
    AqScheduler_SetVm(f->s, &report, f->now);
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    fixture_tick(f, 20);
}

/* Answers a renewal with the run of the start order with this index, as alive
 * ("kind" NULL) or ended; "start" -1: with none. */
static void
answer_list(Fixture *f, const char *id, int64_t born_ms, int start,
            const AqEndKind *kind)
{
    AqRunningTask running = {.checkpoint = ""};
    AqEndedTask ended = {.number = 1, .checkpoint = ""};
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .born_ms = born_ms,
                          .running = &running,
                          .ended = &ended};
    if (start >= 0) {
        const FixtureStart *order =
            &g_array_index(f->starts, FixtureStart, start);
        running.task = order->task;
        running.run = order->run;
        ended.task = order->task;
        ended.run = order->run;
        reply.running_count = kind == NULL;
        reply.ended_count = kind != NULL;
        if (kind != NULL) {
            ended.kind = *kind;
        }
    }
    AqScheduler_OnRenewal(f->s, id, f->now - 5, &reply, f->now);
}

static void
set_up(Fixture *f)
{
    fixture_set_up_loaded(f);
    list_vm(f, "vm-1", FIRST_BORN_MS);
    answer_list(f, "vm-1", FIRST_BORN_MS, -1, NULL);
    fixture_add_job(f, "a1", &one_task);
    fixture_tick(f, 20);
    CU_ASSERT_EQUAL_FATAL(f->starts->len, 1);
}

/* Stores the jobs, and lets the orders go out that wait for it. */
static void
store_jobs(Fixture *f)
{
    AqJobSave saves[2];
    fixture_tick(f, 200);
    size_t count = AqScheduler_BeginSave(f->s, saves, 2);
    AqScheduler_EndSave(f->s, saves, count, true, f->now);
    fixture_tick(f, 200);
}

static uint64_t
count_done(const Fixture *f)
{
    return AqScheduler_Counters(f->s)->done;
}

/* Guards against ends of an earlier incarnation that arrive after a list of
 * the next one and count for it. */
static void
test_list_of_earlier_life_is_not_used(void)
{
    static const AqEndKind done = AQ_END_DONE;
    Fixture f;
    set_up(&f);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 100);
    answer_list(&f, "vm-1", NEXT_BORN_MS, -1, NULL);
    answer_list(&f, "vm-1", FIRST_BORN_MS, 0, &done);
    CU_ASSERT_EQUAL(count_done(&f), 0);
    answer_list(&f, "vm-1", NEXT_BORN_MS, -1, NULL);
    store_jobs(&f);
    /* The run ended with the earlier incarnation; another one is ordered. */
    CU_ASSERT_EQUAL(f.starts->len, 2);
    fixture_tear_down(&f);
}

/* Guards against a list that does not say whose it is. */
static void
test_undated_list_is_not_used(void)
{
    static const AqEndKind done = AQ_END_DONE;
    Fixture f;
    set_up(&f);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 100);
    answer_list(&f, "vm-1", 0, 0, &done);
    CU_ASSERT_EQUAL(count_done(&f), 0);
    answer_list(&f, "vm-1", FIRST_BORN_MS, 0, &done);
    CU_ASSERT_EQUAL(count_done(&f), 1);
    fixture_tear_down(&f);
}

/* Guards against ends that a restarted VM forgets although nobody has seen
 * them, and against starts there before its first list. */
static void
test_entry_of_later_life(void)
{
    static const AqEndKind done = AQ_END_DONE;
    Fixture f;
    set_up(&f);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 100);
    answer_list(&f, "vm-1", FIRST_BORN_MS, 0, &done);
    store_jobs(&f);
    answer_list(&f, "vm-1", FIRST_BORN_MS, 0, &done);
    fixture_tick(&f, 20);
    CU_ASSERT_EQUAL(f.renewal.acked_end, 1);
    list_vm(&f, "vm-1", NEXT_BORN_MS);
    fixture_add_job(&f, "a2", &one_task);
    fixture_tick(&f, 300);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_UNKNOWN);
    fixture_tick(&f, 400);
    CU_ASSERT_EQUAL(f.renewal.acked_end, 0);
    answer_list(&f, "vm-1", NEXT_BORN_MS, -1, NULL);
    list_vm(&f, "vm-1", FIRST_BORN_MS); /* an old entry */
    fixture_tick(&f, 100);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    answer_list(&f, "vm-1", NEXT_BORN_MS, 1, &done);
    CU_ASSERT_EQUAL(count_done(&f), 2);
    fixture_tear_down(&f);
}

/* Guards against a second run of a task whose first start order, which had no
 * reply, reaches the next incarnation: it is stopped there first. */
static void
test_unanswered_start_is_stopped_first(void)
{
    Fixture f;
    set_up(&f);
    list_vm(&f, "vm-2", FIRST_BORN_MS);
    answer_list(&f, "vm-2", FIRST_BORN_MS, -1, NULL);
    const FixtureStart *first = &g_array_index(f.starts, FixtureStart, 0);
    char vm[AQ_VM_ID_SIZE];
    g_strlcpy(vm, first->vm, sizeof(vm));
    AqTaskName task = first->task;
    int64_t run = first->run;
    fixture_answer_start(&f, 0, AQ_ORDER_UNKNOWN);
    answer_list(&f, vm, NEXT_BORN_MS, -1, NULL);
    fixture_tick(&f, 300);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    CU_ASSERT_EQUAL_FATAL(f.stops->len, 1);
    AqOrderReply stopped = {.result = AQ_ORDER_DONE, .clock_ms = f.now};
    AqScheduler_OnStop(f.s, vm, &task, run, &stopped, f.now);
    fixture_tick(&f, 20);
    answer_list(&f, vm, NEXT_BORN_MS, -1, NULL);
    store_jobs(&f);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    fixture_tear_down(&f);
}

/* Guards against a run that the next incarnation begins late although its task
 * was copied elsewhere before the VM restarted: it is stopped there. */
static void
test_copied_run_is_stopped(void)
{
    static const AqStepSpec step = {.task_count = 1,
                                    .cpu_millis = 1000,
                                    .memory_mb = 1,
                                    .estimate_ms = 5000,
                                    .allows_copies = true};
    Fixture f;
    fixture_set_up_loaded(&f);
    list_vm(&f, "vm-1", FIRST_BORN_MS);
    answer_list(&f, "vm-1", FIRST_BORN_MS, -1, NULL);
    fixture_add_job(&f, "a1", &step);
    fixture_tick(&f, 20);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_UNKNOWN);
    list_vm(&f, "vm-2", FIRST_BORN_MS);
    answer_list(&f, "vm-2", FIRST_BORN_MS, -1, NULL);
    fixture_tick(&f, 1000);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 2);
    answer_list(&f, "vm-1", NEXT_BORN_MS, -1, NULL);
    CU_ASSERT_EQUAL_FATAL(f.stops->len, 1);
    const FixtureStart *stop = &g_array_index(f.stops, FixtureStart, 0);
    CU_ASSERT_STRING_EQUAL(stop->vm, "vm-1");
    CU_ASSERT_EQUAL(stop->run, 1);
    fixture_tear_down(&f);
}

/* Guards against a start with a ticket for the earlier incarnation, which the
 * next one refuses. */
static void
test_ticket_ends_with_the_life(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    f.queue.needs_tickets = true;
    AqTaskName step = {.job = "a1"};
    list_vm(&f, "vm-1", FIRST_BORN_MS);
    answer_list(&f, "vm-1", FIRST_BORN_MS, -1, NULL);
    fixture_add_job(&f, "a1", &one_task);
    AqScheduler_OnTicket(f.s, &step, "vm-1", "ticket", 60000, f.now);
    answer_list(&f, "vm-1", NEXT_BORN_MS, -1, NULL);
    AqScheduler_UsedVmsSaved(f.s, AqScheduler_UsedVmsVersion(f.s));
    fixture_tick(&f, 300);
    CU_ASSERT_EQUAL(f.starts->len, 0);
    AqScheduler_OnTicket(f.s, &step, "vm-1", "ticket", 60000, f.now);
    fixture_tick(&f, 300);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("vm_lives", NULL, NULL);
    CU_ADD_TEST(suite, test_list_of_earlier_life_is_not_used);
    CU_ADD_TEST(suite, test_undated_list_is_not_used);
    CU_ADD_TEST(suite, test_entry_of_later_life);
    CU_ADD_TEST(suite, test_unanswered_start_is_stopped_first);
    CU_ADD_TEST(suite, test_copied_run_is_stopped);
    CU_ADD_TEST(suite, test_ticket_ends_with_the_life);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
