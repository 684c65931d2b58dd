#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

enum {
    RUN_MS = 800,
    SLOW_FACTOR = 5,
    BORN_MS = 1000000,
    NEXT_BORN_MS = 1009000
};

static const AqStepSpec one_task = {.task_count = 1,
                                    .cpu_millis = 1000,
                                    .memory_mb = 1,
                                    .estimate_ms = RUN_MS};

/* Sends a list of the VM with the runs of the start orders from "first" that
 * are there: at so many percent, or, at 100, ended.  "number": of the last end
 * before. */
static int64_t
report_runs(Fixture *f, const char *vm, int64_t born_ms, guint first,
            int64_t percent, int64_t number)
{
    AqRunningTask rows[16];
    AqEndedTask ends[16];
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .born_ms = born_ms,
                          .running = rows,
                          .ended = ends};
    for (guint i = first; i < f->starts->len; i++) {
        const FixtureStart *start = &g_array_index(f->starts, FixtureStart, i);
        if (strcmp(start->vm, vm) != 0) {
            continue;
        }
        if (percent < 100) {
            rows[reply.running_count++] = (AqRunningTask){.task = start->task,
                                                          .run = start->run,
                                                          .percent = percent,
                                                          .checkpoint = ""};
        }
        else {
            ends[reply.ended_count++] = (AqEndedTask){.number = ++number,
                                                      .task = start->task,
                                                      .run = start->run,
                                                      .kind = AQ_END_DONE,
                                                      .checkpoint = ""};
        }
    }
    AqScheduler_OnRenewal(f->s, vm, f->now - 5, &reply, f->now);
    return number;
}

static void
add_vm(Fixture *f, const char *id, int64_t born_ms)
{
    AqVmReport report = fixture_report(id);
    report.born_ms = born_ms;
    AqScheduler_SetVm(f->s, &report, f->now);
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    fixture_tick(f, 20);
    report_runs(f, id, born_ms, f->starts->len, 0, 0);
    fixture_tick(f, 20);
}

static void
confirm_starts(Fixture *f, guint first)
{
    for (guint i = first; i < f->starts->len; i++) {
        const FixtureStart *start = &g_array_index(f->starts, FixtureStart, i);
        AqOrderReply reply = {
            .result = AQ_ORDER_DONE, .clock_ms = f->now, .born_ms = BORN_MS};
        AqScheduler_OnStart(f->s, start->vm, &start->task, start->run, &reply,
                            f->now);
    }
}

static unsigned
count_starts(const Fixture *f, const char *vm, guint first)
{
    unsigned count = 0;
    for (guint i = first; i < f->starts->len; i++) {
        count += strcmp(g_array_index(f->starts, FixtureStart, i).vm, vm) == 0;
    }
    return count;
}

/* A step of eight tasks fills two VMs.  Its tasks on vm-1 end in time; those
 * on the slow vm-2 have done 100 / SLOW_FACTOR percent by then. */
static void
set_up(Fixture *f, bool allows_copies)
{
    AqStepSpec step = one_task;
    step.task_count = 8;
    step.allows_copies = allows_copies;
    fixture_set_up_loaded(f);
    add_vm(f, "vm-1", BORN_MS);
    add_vm(f, "vm-2", BORN_MS);
    fixture_add_job(f, "step", &step);
    fixture_tick(f, 20);
    CU_ASSERT_EQUAL_FATAL(f->starts->len, 8);
    CU_ASSERT_EQUAL_FATAL(count_starts(f, "vm-2", 0), 4);
    confirm_starts(f, 0);
    fixture_tick(f, RUN_MS);
    report_runs(f, "vm-1", BORN_MS, 0, 100, 0);
    report_runs(f, "vm-2", BORN_MS, 0, 100 / SLOW_FACTOR, 0);
}

/* Starts a job of one task and returns its VM. */
static const char *
place_one(Fixture *f, const char *id)
{
    guint first = f->starts->len;
    fixture_add_job(f, id, &one_task);
    fixture_tick(f, 20);
    CU_ASSERT_EQUAL_FATAL(f->starts->len, first + 1);
    return g_array_index(f->starts, FixtureStart, first).vm;
}

/* Ends one run on the slow VM, which then has room and is the fuller one. */
static void
make_room(Fixture *f)
{
    AqRunningTask rows[3];
    AqEndedTask end = {.number = 1, .kind = AQ_END_DONE, .checkpoint = ""};
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .born_ms = BORN_MS,
                          .running = rows,
                          .ended = &end,
                          .ended_count = 1};
    for (guint i = 0; i < 8; i++) {
        const FixtureStart *start = &g_array_index(f->starts, FixtureStart, i);
        if (strcmp(start->vm, "vm-2") != 0) {
            continue;
        }
        if (end.run == 0) {
            end.task = start->task;
            end.run = start->run;
            continue;
        }
        rows[reply.running_count++] = (AqRunningTask){.task = start->task,
                                                      .run = start->run,
                                                      .percent = 40,
                                                      .checkpoint = ""};
    }
    AqScheduler_OnRenewal(f->s, "vm-2", f->now - 5, &reply, f->now);
    fixture_tick(f, 20);
}

/* Guards against placement by room alone, on a VM that takes five times as
 * long. */
static void
test_slow_vm_is_passed_over(void)
{
    Fixture f;
    set_up(&f, false);
    fixture_tick(&f, 400);
    make_room(&f);
    CU_ASSERT_STRING_EQUAL(place_one(&f, "next"), "vm-1");
    fixture_tear_down(&f);
}

/* Guards against a slow VM that stays idle while nothing else has room. */
static void
test_slow_vm_is_used_when_the_others_are_full(void)
{
    Fixture f;
    AqStepSpec step = one_task;
    step.task_count = 4;
    set_up(&f, false);
    fixture_tick(&f, 400);
    make_room(&f);
    fixture_add_job(&f, "fills", &step);
    fixture_tick(&f, 20);
    CU_ASSERT_EQUAL(count_starts(&f, "vm-1", 8), 4);
    confirm_starts(&f, 8);
    CU_ASSERT_STRING_EQUAL(place_one(&f, "next"), "vm-2");
    fixture_tear_down(&f);
}

/* Guards against a VM that is passed over for ever after it was slow once. */
static void
test_slow_vm_is_tried_again(void)
{
    Fixture f;
    set_up(&f, false);
    fixture_tick(&f, 400);
    make_room(&f);
    for (int i = 0; i < 40; i++) {
        fixture_tick(&f, 300);
        report_runs(&f, "vm-1", BORN_MS, f.starts->len, 0, 4);
        make_room(&f); /* lists the same percent */
    }
    CU_ASSERT_STRING_EQUAL(place_one(&f, "next"), "vm-2");
    fixture_tear_down(&f);
}

/* Guards against a VM that counts as slow after its runs are fast again. */
static void
test_vm_recovers(void)
{
    Fixture f;
    set_up(&f, false);
    fixture_tick(&f, 400);
    report_runs(&f, "vm-2", BORN_MS, 0, 70, 0);
    fixture_tick(&f, 200);
    report_runs(&f, "vm-2", BORN_MS, 0, 95, 0);
    fixture_tick(&f, 40);
    make_room(&f);
    CU_ASSERT_STRING_EQUAL(place_one(&f, "next"), "vm-2");
    fixture_tear_down(&f);
}

/* Guards against the speed of an earlier incarnation that counts for the next
 * one. */
static void
test_new_incarnation(void)
{
    Fixture f;
    set_up(&f, false);
    AqScheduler_CancelJob(f.s, "step", f.now);
    AqScheduler_SetCordon(f.s, "vm-1", true);
    report_runs(&f, "vm-2", NEXT_BORN_MS, f.starts->len, 0, 0);
    AqScheduler_UsedVmsSaved(f.s, AqScheduler_UsedVmsVersion(f.s));
    fixture_tick(&f, 200);
    for (guint i = 0; i < f.stops->len; i++) {
        const FixtureStart *stop = &g_array_index(f.stops, FixtureStart, i);
        AqOrderReply reply = {.result = AQ_ORDER_DONE,
                              .clock_ms = f.now,
                              .born_ms = NEXT_BORN_MS};
        AqScheduler_OnStop(f.s, "vm-2", &stop->task, stop->run, &reply, f.now);
    }
    fixture_tick(&f, 20);
    report_runs(&f, "vm-2", NEXT_BORN_MS, f.starts->len, 0, 0);
    /* The fuller VM is preferred. */
    CU_ASSERT_STRING_EQUAL(place_one(&f, "first"), "vm-2");
    AqScheduler_SetCordon(f.s, "vm-1", false);
    CU_ASSERT_STRING_EQUAL(place_one(&f, "next"), "vm-2");
    fixture_tear_down(&f);
}

/* Guards against a step that ends as late as its runs on the slow VM, and
 * against second runs of tasks that allow none. */
static void
test_copies_only_where_allowed(void)
{
    for (int allows = 0; allows < 2; allows++) {
        Fixture f;
        set_up(&f, allows);
        fixture_tick(&f, 20);
        CU_ASSERT_EQUAL(count_starts(&f, "vm-1", 8), allows ? 4 : 0);
        CU_ASSERT_EQUAL(AqScheduler_Counters(f.s)->copied, allows ? 4 : 0);
        CU_ASSERT_EQUAL(count_starts(&f, "vm-2", 8), 0);
        fixture_tear_down(&f);
    }
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("vm_speed", NULL, NULL);
    CU_ADD_TEST(suite, test_slow_vm_is_passed_over);
    CU_ADD_TEST(suite, test_slow_vm_is_used_when_the_others_are_full);
    CU_ADD_TEST(suite, test_slow_vm_is_tried_again);
    CU_ADD_TEST(suite, test_vm_recovers);
    CU_ADD_TEST(suite, test_new_incarnation);
    CU_ADD_TEST(suite, test_copies_only_where_allowed);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
