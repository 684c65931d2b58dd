#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "aq_log.h"
#include "order_fixture.h"
#include "sim.h"
#include "start_window.h"

/* Guards against a window that stays too small for a fast link, does not
 * shrink on a slow one, or shrinks because one VM is silent. */
static void
test_window(void)
{
    StartWindow window;
    start_window_init(&window);
    AqTime now = 1000;
    for (int round = 0; round < 20; round++) {
        unsigned sent = 0;
        while (start_window_is_open(&window) && sent < 500) {
            start_window_sent(&window, now);
            sent++;
        }
        now += 5;
        while (sent-- > 0) {
            start_window_ended(&window, 5, now);
        }
    }
    unsigned fast = 0;
    while (start_window_is_open(&window) && fast < 500) {
        start_window_sent(&window, now);
        fast++;
    }
    CU_ASSERT_EQUAL(fast, 500);
    for (unsigned i = 0; i < 20; i++) {
        start_window_ended(&window, -1, now); /* a silent VM */
    }
    for (unsigned i = 20; i < fast; i++) {
        start_window_ended(&window, 5, now);
    }
    for (fast = 0; start_window_is_open(&window) && fast < 500; fast++) {
        start_window_sent(&window, now);
    }
    CU_ASSERT_EQUAL(fast, 500);
    /* The same link turns slow: the replies take 400 ms. */
    unsigned slow = fast;
    for (int round = 0; round < 20; round++) {
        now += 400;
        for (; slow > 0; slow--) {
            start_window_ended(&window, 400, now);
        }
        for (; start_window_is_open(&window) && slow < 500; slow++) {
            start_window_sent(&window, now);
        }
    }
    CU_ASSERT_TRUE(slow < 50);
    CU_ASSERT_TRUE(slow > 0);
}

/* Guards against a burst whose starts fill the owner's link: each start then
 * waits longer than its VM has to reply and is sent again, and the renewals
 * wait behind them until the leases of all VMs end, with the lasting tasks on
 * them. */
static void
test_burst_on_slow_link(void)
{
    enum {
        LINK_BYTES_PER_S = 250000, /* 2 Mbit/s */
        TASKS = 2000
    };
    Sim *sim = sim_create(5);
    sim_set_link(sim, LINK_BYTES_PER_S);
    sim_add_perpetual(sim, "f1", SIM_VMS, 1);
    sim_run(sim, 2000);
    sim_add_chain(sim, "b1", 1, TASKS, 50, 500);
    /* The link alone needs 9.2 s, which is longer than the leases. */
    sim_run(sim, 15000);
    const AqSchedulerCounters *counters =
        AqScheduler_Counters(sim_scheduler(sim));
    printf("\n    %u starts, %llu lost, ", sim_count_starts(sim, "b1"),
           (unsigned long long)counters->lost);
    CU_ASSERT_EQUAL(sim_stage(sim, "b1"), AQ_STAGE_COMPLETED);
    CU_ASSERT_EQUAL(counters->lost, 0);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "f1"), SIM_VMS);
    CU_ASSERT_EQUAL(sim_count_starts(sim, "b1"), TASKS);
    CU_ASSERT_PTR_NULL(sim_violation(sim));
    sim_destroy(sim);
}

/* Guards against an owner that spends its processor on ranking all waiting
 * jobs although the window is closed, so that none of them can start.  On an
 * owner without processor to spare, replies and starts take longer then. */
static void
test_closed_window_ranks_no_jobs(void)
{
    static const AqStepSpec step = {
        .task_count = 8, .cpu_millis = 10, .estimate_ms = 500};
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    for (int i = 0; i < 100; i++) {
        char id[8];
        snprintf(id, sizeof(id), "a%d", i);
        fixture_add_job(&f, id, &step);
    }
    fixture_tick(&f, 20);
    guint window = f.starts->len;
    CU_ASSERT_TRUE(window < 800);
    uint64_t ranked = AqScheduler_Counters(f.s)->ranked;
    CU_ASSERT_EQUAL(ranked, 100);
    fixture_tick(&f, 500);
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_DONE);
    fixture_tick(&f, 500);
    CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->ranked, ranked);
    /* Otherwise the owner's loop would not wait for events. */
    AqScheduler_SetSite(f.s, &f.site);
    CU_ASSERT_TRUE(AqScheduler_Tick(f.s, f.now, 1, true) > f.now);
    for (guint i = 0; i < window; i++) {
        fixture_answer_start(&f, i, AQ_ORDER_DONE);
    }
    fixture_tick(&f, 20);
    CU_ASSERT_TRUE(f.starts->len > window);
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("start_window", NULL, NULL);
    CU_ADD_TEST(suite, test_window);
    CU_ADD_TEST(suite, test_burst_on_slow_link);
    CU_ADD_TEST(suite, test_closed_window_ranks_no_jobs);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
