#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Each test guards against a pool that starts nothing although tasks are
 * ready, without a log line and a metric that show what it waits for. */

static void
add_tasks(Fixture *f, uint32_t tasks)
{
    AqStepSpec step = {
        .task_count = tasks, .cpu_millis = 1000, .estimate_ms = 500};
    fixture_add_job(f, "a1", &step);
}

/* Expects a wait of at least "ms" whose description contains "text". */
static void
expect_wait(const Fixture *f, AqTime ms, const char *text)
{
    AqBuffer out;
    AqBuffer_Init(&out);
    AqScheduler_DescribeStartWait(f->s, &out);
    AqTime waited = AqScheduler_StartWait(f->s);
    bool ok = waited >= ms && strstr(AqBuffer_Text(&out), text) != NULL;
    if (!ok) {
        fprintf(stderr, "waited %lld, not \"%s\": %s\n", (long long)waited,
                text, AqBuffer_Text(&out));
    }
    CU_ASSERT_TRUE(ok);
    AqBuffer_Clear(&out);
}

static void
test_idle_pool_does_not_wait(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_tick(&f, 5000);
    CU_ASSERT_TRUE(AqScheduler_StartWait(f.s) <= 200);
    add_tasks(&f, 1);
    fixture_tick(&f, 20);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    CU_ASSERT_EQUAL(AqScheduler_StartWait(f.s), 0);
    fixture_tick(&f, 3000);
    CU_ASSERT_TRUE(AqScheduler_StartWait(f.s) <= 200);
    fixture_tear_down(&f);
}

static void
test_not_loaded(void)
{
    Fixture f;
    fixture_set_up(&f, 0);
    add_tasks(&f, 1);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=not_loaded age_ms=3000 ready=1");
    fixture_tear_down(&f);
}

static void
test_may_not_order(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    for (int i = 0; i < 30; i++) {
        f.now += 100;
        AqScheduler_Tick(f.s, f.now, 1, false);
    }
    expect_wait(&f, 3000, "reason=may_not_order");
    fixture_tear_down(&f);
}

static void
test_closed(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    AqScheduler_Close(f.s);
    add_tasks(&f, 1);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=closed");
    fixture_tear_down(&f);
}

static void
test_superseded(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_FENCED);
    add_tasks(&f, 1);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=superseded");
    fixture_tear_down(&f);
}

/* The description names the VMs, and since when each is silent. */
static void
test_not_recovered(void)
{
    Fixture f;
    Fixture earlier;
    AqBuffer list;
    AqBuffer_Init(&list);
    fixture_set_up_loaded(&earlier);
    fixture_add_vm(&earlier, "vm-1");
    fixture_add_vm(&earlier, "vm-2");
    AqScheduler_EncodeUsedVms(earlier.s, &list);
    fixture_tear_down(&earlier);
    fixture_set_up(&f, FIXTURE_EARLIER_OWNER_MS);
    CU_ASSERT_TRUE(AqScheduler_AddUsedVms(f.s, list.bytes, list.size, f.now));
    add_tasks(&f, 1);
    AqScheduler_SetLoaded(f.s);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000,
                "reason=not_recovered age_ms=3000 "
                "awaited=vm-1:3000,vm-2:3000 awaited_vms=2");
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_DONE);
    expect_wait(&f, 3000, "awaited=vm-2:3000 awaited_vms=1");
    fixture_answer_renewal(&f, "vm-2", AQ_ORDER_DONE);
    fixture_tick(&f, 20);
    expect_wait(&f, 3000, "reason=no_usable_vm unlisted=2");
    AqBuffer_Clear(&list);
    fixture_tear_down(&f);
}

static void
test_window_closed(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    for (int i = 0; i < 20; i++) {
        char id[8];
        snprintf(id, sizeof(id), "vm-%d", i);
        fixture_add_vm(&f, id);
    }
    add_tasks(&f, 70);
    fixture_tick(&f, 3000);
    CU_ASSERT_EQUAL(f.starts->len, 64);
    expect_wait(&f, 3000,
                "reason=window_closed in_flight=64 size=64 closed_ms=29");
    expect_wait(&f, 3000, "ready=6 starting=64");
    fixture_tear_down(&f);
}

static void
test_unconfirmed_start(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    fixture_tick(&f, 3000);
    expect_wait(&f, 2900, "reason=starts_unconfirmed oldest_ms=29");
    /* A start that is refused and ordered again is no start. */
    fixture_answer_start(&f, 0, AQ_ORDER_LATE);
    fixture_tick(&f, 1000);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    expect_wait(&f, 3900, "starting=1");
    fixture_tear_down(&f);
}

static void
test_no_usable_vm(void)
{
    Fixture f;
    AqVmReport draining = fixture_report("vm-2");
    AqVmReport fresh = fixture_report("vm-7");
    fixture_set_up_loaded(&f);
    for (int i = 1; i <= 6; i++) {
        char id[8];
        snprintf(id, sizeof(id), "vm-%d", i);
        fixture_add_vm(&f, id);
    }
    AqScheduler_SetCordon(f.s, "vm-1", true);
    draining.is_draining = true;
    AqScheduler_SetVm(f.s, &draining, f.now);
    AqScheduler_VmUnlisted(f.s, "vm-3", f.now);
    AqScheduler_VmEnded(f.s, "vm-4", AQ_VM_ENDED_BY_ORDER, f.now);
    fixture_answer_renewal(&f, "vm-5", AQ_ORDER_UNKNOWN);
    AqScheduler_SetVm(f.s, &fresh, f.now);
    fixture_tick(&f, 2400);
    AqVmReport unrecorded = fixture_report("vm-8");
    AqScheduler_SetVm(f.s, &unrecorded, f.now);
    fixture_answer_renewal(&f, "vm-8", AQ_ORDER_DONE);
    fixture_answer_renewal(&f, "vm-6", AQ_ORDER_UNHEALTHY);
    add_tasks(&f, 1);
    fixture_tick(&f, 800);
    expect_wait(&f, 600,
                "reason=no_usable_vm unlisted=1 ended=1 not_heard=1 silent=1 "
                "unrecorded=1 draining=1 quarantined=1 cordoned=1 "
                "silent_ms=3");
    fixture_tear_down(&f);
}

static void
test_no_room(void)
{
    static const AqStepSpec wide = {
        .task_count = 2, .cpu_millis = 3000, .estimate_ms = 500};
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_add_job(&f, "a1", &wide);
    fixture_tick(&f, 20);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 1500);
    expect_wait(&f, 1500, "reason=no_room no_room=1 usable=1 ready=1");
    fixture_tear_down(&f);
}

static void
test_blocked(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    fixture_tick(&f, 20);
    fixture_answer_start(&f, 0, AQ_ORDER_NO_ROOM);
    fixture_tick(&f, 100);
    expect_wait(&f, 100, "reason=blocked blocked=1");
    fixture_tear_down(&f);
}

static void
test_paused(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    fixture_tick(&f, 20);
    fixture_answer_start(&f, 0, AQ_ORDER_INVALID);
    fixture_tick(&f, 1900);
    expect_wait(&f, 1900, "reason=paused paused=1");
    fixture_tear_down(&f);
}

static void
test_label(void)
{
    AqStepSpec step = {.task_count = 1, .required_label = strdup("big")};
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_add_job(&f, "a1", &step);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=label label=1");
    fixture_tear_down(&f);
}

static void
test_step_limit(void)
{
    static const AqStepSpec step = {
        .task_count = 2, .is_perpetual = true, .max_per_vm = 1};
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_add_job(&f, "a1", &step);
    fixture_tick(&f, 20);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=step_limit step_limit=1");
    fixture_tear_down(&f);
}

static void
test_no_ticket(void)
{
    Fixture f;
    fixture_set_up_loaded(&f);
    f.queue.needs_tickets = true;
    fixture_add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    fixture_tick(&f, 3000);
    expect_wait(&f, 3000, "reason=no_ticket no_ticket=1");
    fixture_tear_down(&f);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"idle_pool_does_not_wait", test_idle_pool_does_not_wait},
        {"not_loaded", test_not_loaded},
        {"may_not_order", test_may_not_order},
        {"closed", test_closed},
        {"superseded", test_superseded},
        {"not_recovered", test_not_recovered},
        {"window_closed", test_window_closed},
        {"unconfirmed_start", test_unconfirmed_start},
        {"no_usable_vm", test_no_usable_vm},
        {"no_room", test_no_room},
        {"blocked", test_blocked},
        {"paused", test_paused},
        {"label", test_label},
        {"step_limit", test_step_limit},
        {"no_ticket", test_no_ticket},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("start_stall", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
