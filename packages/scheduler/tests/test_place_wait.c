#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"
#include "place_wait.h"

/* ---- Whether a wait pays ------------------------------------------------ */

/* Each case changes one figure of a wait that pays. */
static const struct {
    const char *load;
    PlaceWaitInput input;
    bool pays;
} decisions[] = {
    /* guards against starts elsewhere although a run near ends soon */
    {"hot rack with ends due soon", {3.0, 800, 300, 100, 0, 1000}, true},
    /* guards against a wait that lasts longer than the run elsewhere */
    {"hot rack with a long queue", {1.5, 800, 300, 100, 0, 1000}, false},
    {"no end is expected", {3.0, 800, AQ_TIME_NEVER, 100, 0, 1000}, false},
    /* guards against waits that cannot gain anything */
    {"far as fast as near", {1.0, 800, 300, -100, 0, 1000}, false},
    {"factor unknown", {0.0, 800, 300, -2000, 0, 1000}, false},
    {"very short task", {3.0, 20, 10, 0, 0, 1000}, false},
    /* guards against waits that cost an objective which a start elsewhere
     * keeps */
    {"slack too small", {3.0, 800, 100, 1700, 0, 1000}, false},
    {"slack too small for a start elsewhere",
     {3.0, 800, 100, 1590, 0, 1000},
     true},
    {"slack large enough", {3.0, 800, 100, 1800, 0, 1000}, true},
    {"little room to save", {1.5, 800, 100, 1800, 0, 1000}, false},
    /* guards against late jobs that are made three times as late */
    {"late either way", {3.0, 800, 300, -100, 0, 1000}, true},
    /* guards against a wait for what no end of a run brings */
    {"room near, another obstacle", {3.0, 800, 0, 100, 0, 1000}, false},
    /* guards against waits without end */
    {"bound reached", {3.0, 800, 300, 100, 701, 1000}, false},
    {"switched off", {3.0, 800, 300, 100, 0, 0}, false},
};

static void
test_decisions(void)
{
    for (size_t i = 0; i < sizeof(decisions) / sizeof(decisions[0]); i++) {
        if (place_wait_pays(&decisions[i].input) != decisions[i].pays) {
            CU_FAIL("decision");
            printf("%s\n", decisions[i].load);
        }
    }
}

/* Guards against estimates that forget the queue for a rack, the room that is
 * split over its VMs, or the limit of tasks on one VM. */
static void
test_estimates(void)
{
    static const PlaceRelease releases[] = {
        {0, 100, 1000, 10, 0}, {1, 200, 1000, 10, 0}, {0, 300, 2000, 20, 0}};
    static const struct {
        PlaceNeed need;
        uint32_t count, limit;
        AqTime expected;
    } cases[] = {
        {{500, 1, 0}, 1, 9, 0},     {{1000, 1, 0}, 1, 9, 100},
        {{1000, 1, 0}, 2, 9, 200},  {{2000, 1, 0}, 1, 9, 300},
        {{1000, 1, 0}, 4, 9, 300},  {{1000, 1, 0}, 4, 1, AQ_TIME_NEVER},
        {{1000, 15, 0}, 1, 9, 300}, {{500, 1, 1}, 1, 9, AQ_TIME_NEVER}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        PlaceVm vms[] = {{500, 4, 0, cases[i].limit},
                         {0, 0, 0, cases[i].limit}};
        PlaceRoom room = {vms, 2, releases, 3};
        AqTime expected =
            place_wait_estimate(&room, &cases[i].need, cases[i].count);
        CU_ASSERT_EQUAL(expected, cases[i].expected);
    }
}

/* ---- In the scheduler --------------------------------------------------- */

enum {
    RUN_MS = 800
};

static const AqStepSpec filling = {.task_count = 1,
                                   .cpu_millis = FIXTURE_VM_CPU_MILLIS,
                                   .memory_mb = 1,
                                   .estimate_ms = RUN_MS,
                                   .near_rack = "hot"};
static const AqStepSpec near_hot = {.task_count = 1,
                                    .cpu_millis = 2000,
                                    .memory_mb = 1,
                                    .estimate_ms = RUN_MS,
                                    .near_rack = "hot"};

static void
add_vm(Fixture *f, const char *id, const char *rack)
{
    AqVmReport report = fixture_report(id);
    g_strlcpy(report.rack, rack, sizeof(report.rack));
    AqScheduler_SetVm(f->s, &report, f->now);
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    fixture_tick(f, 20);
    fixture_answer_renewal(f, id, AQ_ORDER_DONE);
}

static void
add_job(Fixture *f, const char *id, const AqStepSpec *step)
{
    AqStepSpec copy = *step;
    copy.near_rack = step->near_rack != NULL ? strdup(step->near_rack) : NULL;
    fixture_add_job(f, id, &copy);
    fixture_tick(f, 20);
}

/* A rack with one VM that one task fills, which started "age_ms" ago, and a
 * free VM elsewhere. */
static void
set_up(Fixture *f, double factor, AqTime wait_ms, AqTime age_ms)
{
    fixture_set_up_places(f, factor, wait_ms);
    f->queue.stretch = 2.0;
    add_vm(f, "vm-hot", "hot");
    add_vm(f, "vm-far", "far");
    add_job(f, "filling", &filling);
    CU_ASSERT_EQUAL_FATAL(f->starts->len, 1);
    fixture_answer_start(f, 0, AQ_ORDER_DONE);
    fixture_tick(f, age_ms);
}

static const FixtureStart *
get_start(const Fixture *f, guint index)
{
    CU_ASSERT_TRUE_FATAL(f->starts->len > index);
    return &g_array_index(f->starts, FixtureStart, index);
}

/* The run of the start order with this index ends. */
static void
end_run(Fixture *f, guint index, int64_t number)
{
    const FixtureStart *start = get_start(f, index);
    AqEndedTask end = {.number = number,
                       .task = start->task,
                       .run = start->run,
                       .kind = AQ_END_DONE,
                       .checkpoint = ""};
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .ended = &end,
                          .ended_count = 1};
    AqScheduler_OnRenewal(f->s, start->vm, f->now - 5, &reply, f->now);
    fixture_tick(f, 40);
}

/* Guards against a task that starts away from its data although the run that
 * fills its rack ends soon, and against one that counts as a stalled start or
 * asks for another VM meanwhile. */
static void
test_hot_rack_with_end_due_soon(void)
{
    Fixture f;
    AqSchedulerLoad load;
    AqStepSpec two = near_hot;
    two.task_count = 2;
    set_up(&f, 3.0, 1000, 400);
    add_job(&f, "wait", &two);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    fixture_tick(&f, 300);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    AqScheduler_GetLoad(f.s, f.now, &load);
    CU_ASSERT_EQUAL(load.longest_wait_ms, 0);
    CU_ASSERT_TRUE(AqScheduler_StartWait(f.s) <= 200);
    end_run(&f, 0, 1);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->vm, "vm-hot");
    CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->near_after_wait, 2);
    fixture_tear_down(&f);
}

/* Guards against an estimate by the first VM of a rack in place of the one
 * with the earliest end. */
static void
test_earliest_end_counts(void)
{
    Fixture f;
    AqStepSpec longer = filling;
    longer.estimate_ms = 8 * RUN_MS;
    fixture_set_up_places(&f, 6.0, 1000);
    f.queue.stretch = 2.0;
    add_vm(&f, "vm-hot", "hot");
    add_vm(&f, "vm-far", "far");
    add_job(&f, "longer", &longer);
    add_vm(&f, "vm-hot-2", "hot");
    add_job(&f, "filling", &filling);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_answer_start(&f, 1, AQ_ORDER_DONE);
    add_job(&f, "waits", &near_hot);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    fixture_tear_down(&f);
}

/* Guards against a wait behind more tasks than the rack takes in time, and
 * against a step of which some tasks wait although others cannot: it would end
 * as late as without the wait. */
static void
test_hot_rack_with_long_queue(void)
{
    static const struct {
        uint32_t first, second; /* tasks of two jobs for the rack */
        unsigned far;           /* tasks that start elsewhere */
    } cases[] = {{1, 1, 0}, {2, 1, 2}, {0, 3, 2}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f;
        AqStepSpec step = near_hot;
        set_up(&f, 3.0, 1000, 500);
        step.task_count = cases[i].first;
        if (step.task_count > 0) {
            add_job(&f, "first", &step);
        }
        step.task_count = cases[i].second;
        add_job(&f, "second", &step);
        CU_ASSERT_EQUAL(f.starts->len, 1 + cases[i].far);
        const AqSchedulerCounters *counters = AqScheduler_Counters(f.s);
        CU_ASSERT_EQUAL(counters->far_starts + counters->far_after_wait,
                        cases[i].far);
        fixture_tear_down(&f);
    }
}

/* Guards against a restarted task that waits although the rest of its step
 * runs elsewhere already. */
static void
test_step_runs_elsewhere(void)
{
    Fixture f;
    AqStepSpec step = near_hot;
    step.task_count = 3;
    set_up(&f, 3.0, 1000, 500);
    add_job(&f, "starts", &step);
    CU_ASSERT_EQUAL(f.starts->len, 3);
    add_vm(&f, "vm-far-2", "far");
    fixture_tick(&f, 20);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 3)->vm, "vm-far-2");
    fixture_tear_down(&f);
}

/* Guards against tasks without a place that take the room for which others
 * wait. */
static void
test_room_of_wanted_rack(void)
{
    Fixture f;
    AqStepSpec step = filling;
    step.cpu_millis = 3000;
    fixture_set_up_places(&f, 3.0, 1000);
    f.queue.stretch = 2.0;
    add_vm(&f, "vm-hot", "hot");
    add_vm(&f, "vm-far", "far");
    add_job(&f, "runs", &step);
    fixture_answer_start(&f, 0, AQ_ORDER_DONE);
    fixture_tick(&f, 400);
    add_job(&f, "waits", &near_hot);
    step.near_rack = NULL;
    step.cpu_millis = 1000;
    add_job(&f, "anywhere", &step);
    CU_ASSERT_EQUAL(f.starts->len, 2);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->vm, "vm-far");
    fixture_tear_down(&f);
}

/* Guards against other tasks that wait beside one that waits for its rack. */
static void
test_room_elsewhere_goes_to_others(void)
{
    Fixture f;
    AqStepSpec anywhere = near_hot;
    anywhere.near_rack = NULL;
    set_up(&f, 3.0, 1000, 400);
    add_job(&f, "waits", &near_hot);
    add_job(&f, "anywhere", &anywhere);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 2);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->task.job, "anywhere");
    fixture_tear_down(&f);
}

/* Guards against waits without end, where the run near lasts longer than
 * expected, and against a second wait of the same task. */
static void
test_bound_is_reached(void)
{
    Fixture f;
    set_up(&f, 3.0, 600, 400);
    add_job(&f, "waits", &near_hot);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    fixture_tick(&f, 700);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->vm, "vm-far");
    CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->far_after_wait, 1);
    fixture_answer_start(&f, 1, AQ_ORDER_NO_ROOM);
    fixture_tick(&f, 240);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 2)->vm, "vm-far");
    CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->far_starts, 1);
    fixture_tear_down(&f);
}

/* Guards against waits that a deployment has not asked for. */
static void
test_factor_unknown_or_switched_off(void)
{
    static const struct {
        double factor;
        AqTime wait_ms;
    } cases[] = {{1.0, 1000}, {0.0, 1000}, {3.0, 0}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture f;
        set_up(&f, cases[i].factor, cases[i].wait_ms, 400);
        add_job(&f, "starts", &near_hot);
        CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->vm, "vm-far");
        fixture_tear_down(&f);
    }
}

/* Guards against a new owner that lets a task wait again: how long it waited
 * under the owner before is not known. */
static void
test_task_of_earlier_owner_does_not_wait(void)
{
    Fixture f;
    set_up(&f, 3.0, 1000, 400);
    f.quiet_at = f.now + 1; /* the next job was stored under another owner */
    add_job(&f, "starts", &near_hot);
    CU_ASSERT_STRING_EQUAL(get_start(&f, 1)->vm, "vm-far");
    fixture_tear_down(&f);
}

/* Guards against gangs that spread over racks although one rack has room for
 * all tasks soon, and against gangs that wait for a rack without end. */
static void
test_gang(void)
{
    static const AqStepSpec gang = {.task_count = 2,
                                    .cpu_millis = 2000,
                                    .memory_mb = 1,
                                    .estimate_ms = RUN_MS,
                                    .is_gang = true,
                                    .prefers_one_rack = true};
    AqStepSpec half = filling;
    half.cpu_millis = 2000;
    half.near_rack = "far";
    for (int ends = 0; ends < 2; ends++) {
        Fixture f;
        set_up(&f, 3.0, 600, 400);
        add_vm(&f, "vm-third", "third");
        add_job(&f, "half", &half);
        half.near_rack = "third";
        add_job(&f, "other", &half);
        half.near_rack = "far";
        fixture_answer_start(&f, 1, AQ_ORDER_DONE);
        fixture_answer_start(&f, 2, AQ_ORDER_DONE);
        add_job(&f, "gang", &gang);
        CU_ASSERT_EQUAL(f.starts->len, 3);
        if (ends) {
            end_run(&f, 0, 1);
            CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->near_after_wait, 2);
        }
        else {
            fixture_tick(&f, 700);
            CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->far_after_wait, 2);
        }
        CU_ASSERT_EQUAL(f.starts->len, 5);
        fixture_tear_down(&f);
    }
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("place_wait", NULL, NULL);
    CU_ADD_TEST(suite, test_decisions);
    CU_ADD_TEST(suite, test_estimates);
    CU_ADD_TEST(suite, test_hot_rack_with_end_due_soon);
    CU_ADD_TEST(suite, test_earliest_end_counts);
    CU_ADD_TEST(suite, test_hot_rack_with_long_queue);
    CU_ADD_TEST(suite, test_step_runs_elsewhere);
    CU_ADD_TEST(suite, test_room_of_wanted_rack);
    CU_ADD_TEST(suite, test_room_elsewhere_goes_to_others);
    CU_ADD_TEST(suite, test_bound_is_reached);
    CU_ADD_TEST(suite, test_factor_unknown_or_switched_off);
    CU_ADD_TEST(suite, test_task_of_earlier_owner_does_not_wait);
    CU_ADD_TEST(suite, test_gang);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
