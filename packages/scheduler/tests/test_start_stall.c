#include <CUnit/Basic.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_scheduler.h"

/* Each test guards against a pool that starts nothing although tasks are
 * ready, without a log line and a metric that show what it waits for. */

enum {
    LEASE_MS = 5000,
    EARLIER_OWNER_MS = 2000,
    VM_CPU_MILLIS = 4000
};

/* A scheduler whose orders only the test answers. */
typedef struct {
    AqScheduler *s;
    AqTime now;
    AqSiteConfig site;
    AqQueueConfig queue;
    unsigned starts;    /* start orders so far */
    AqTaskName started; /* task of the last start order */
    int64_t run;
    char vm[AQ_VM_ID_SIZE]; /* VM of the last start order */
} Fixture;

static void
on_start(void *context, const AqOrderTarget *target, const AqStartOrder *order)
{
    Fixture *f = context;
    f->starts++;
    f->started = order->task;
    f->run = order->run;
    g_strlcpy(f->vm, target->vm, sizeof(f->vm));
}

static void
on_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run)
{
    (void)context;
    (void)target;
    (void)task;
    (void)run;
}

static void
on_renew(void *context, const AqOrderTarget *target,
         const AqRenewalOrder *order)
{
    (void)context;
    (void)target;
    (void)order;
}

static void
on_tickets(void *context, const AqTaskName *step, const char *const *vms,
           size_t count)
{
    (void)context;
    (void)step;
    (void)vms;
    (void)count;
}

static void
on_superseded(void *context)
{
    (void)context;
}

static const AqSchedulerActions actions = {.start = on_start,
                                           .stop = on_stop,
                                           .renew = on_renew,
                                           .request_tickets = on_tickets,
                                           .superseded = on_superseded};

static void
set_up(Fixture *f, AqTime earlier_owner_ms)
{
    AqSchedulerConfig config = {.pool = "pool",
                                .fence = 7,
                                .lease_ms = LEASE_MS,
                                .earlier_owner_ms = earlier_owner_ms};
    memset(f, 0, sizeof(*f));
    f->now = 1000;
    f->queue = (AqQueueConfig){.name = "queue", .pool = "pool"};
    f->site = (AqSiteConfig){.queues = &f->queue, .queue_count = 1};
    f->s = AqScheduler_Create(&config, &actions, f, f->now);
    AqScheduler_SetSite(f->s, &f->site);
}

static void
tick(Fixture *f, AqTime ms)
{
    AqTime end = f->now + ms;
    while (f->now < end) {
        f->now += 20;
        AqScheduler_Tick(f->s, f->now, 1, true);
    }
}

static void
add_job(Fixture *f, const AqStepSpec *step)
{
    AqError error;
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, "a1", sizeof(spec.id));
    spec.queue = strdup("queue");
    spec.text = strdup("text");
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = *step;
    CU_ASSERT_TRUE(AqScheduler_AddJob(f->s, &spec, NULL, 0, f->now, &error));
}

static void
add_tasks(Fixture *f, uint32_t tasks)
{
    AqStepSpec step = {
        .task_count = tasks, .cpu_millis = 1000, .estimate_ms = 500};
    add_job(f, &step);
}

static AqVmReport
make_report(const char *id)
{
    AqVmReport report = {.cpu_millis = VM_CPU_MILLIS,
                         .memory_mb = 1000,
                         .leaves_ms = -1,
                         .pool = "pool",
                         .kind = "plain"};
    g_strlcpy(report.id, id, sizeof(report.id));
    return report;
}

static void
answer_renewal(Fixture *f, const char *id, AqOrderResult result)
{
    AqOrderReply reply = {.result = result, .clock_ms = -1};
    if (result != AQ_ORDER_UNKNOWN && result != AQ_ORDER_NOT_SENT) {
        reply.clock_ms = f->now;
    }
    AqScheduler_OnRenewal(f->s, id, f->now - 5, &reply, f->now);
}

static void
answer_start(Fixture *f, AqOrderResult result)
{
    AqOrderReply reply = {.result = result, .clock_ms = -1};
    if (result != AQ_ORDER_UNKNOWN && result != AQ_ORDER_NOT_SENT) {
        reply.clock_ms = f->now;
    }
    AqScheduler_OnStart(f->s, f->vm, &f->started, f->run, &reply, f->now);
}

/* Adds a VM on which tasks may start. */
static void
add_vm(Fixture *f, const char *id)
{
    AqVmReport report = make_report(id);
    AqScheduler_SetVm(f->s, &report, f->now);
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    tick(f, 20);
    answer_renewal(f, id, AQ_ORDER_DONE);
}

static void
set_up_loaded(Fixture *f)
{
    set_up(f, 0);
    AqScheduler_SetLoaded(f->s);
    tick(f, 20);
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
tear_down(Fixture *f)
{
    AqError error;
    CU_ASSERT_TRUE(AqScheduler_CheckConsistency(f->s, &error));
    AqScheduler_Destroy(f->s);
}

static void
test_idle_pool_does_not_wait(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    tick(&f, 5000);
    CU_ASSERT_TRUE(AqScheduler_StartWait(f.s) <= 200);
    add_tasks(&f, 1);
    tick(&f, 20);
    CU_ASSERT_EQUAL(f.starts, 1);
    answer_start(&f, AQ_ORDER_DONE);
    CU_ASSERT_EQUAL(AqScheduler_StartWait(f.s), 0);
    tick(&f, 3000);
    CU_ASSERT_TRUE(AqScheduler_StartWait(f.s) <= 200);
    tear_down(&f);
}

static void
test_not_loaded(void)
{
    Fixture f;
    set_up(&f, 0);
    add_tasks(&f, 1);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=not_loaded age_ms=3000 ready=1");
    tear_down(&f);
}

static void
test_may_not_order(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    for (int i = 0; i < 30; i++) {
        f.now += 100;
        AqScheduler_Tick(f.s, f.now, 1, false);
    }
    expect_wait(&f, 3000, "reason=may_not_order");
    tear_down(&f);
}

static void
test_closed(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    AqScheduler_Close(f.s);
    add_tasks(&f, 1);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=closed");
    tear_down(&f);
}

static void
test_superseded(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    answer_renewal(&f, "vm-1", AQ_ORDER_FENCED);
    add_tasks(&f, 1);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=superseded");
    tear_down(&f);
}

/* The description names the VMs, and since when each is silent. */
static void
test_not_recovered(void)
{
    Fixture f;
    Fixture earlier;
    AqBuffer list;
    AqBuffer_Init(&list);
    set_up_loaded(&earlier);
    add_vm(&earlier, "vm-1");
    add_vm(&earlier, "vm-2");
    AqScheduler_EncodeUsedVms(earlier.s, &list);
    tear_down(&earlier);
    set_up(&f, EARLIER_OWNER_MS);
    CU_ASSERT_TRUE(AqScheduler_AddUsedVms(f.s, list.bytes, list.size, f.now));
    add_tasks(&f, 1);
    AqScheduler_SetLoaded(f.s);
    tick(&f, 3000);
    expect_wait(&f, 3000,
                "reason=not_recovered age_ms=3000 "
                "awaited=vm-1:3000,vm-2:3000 awaited_vms=2");
    answer_renewal(&f, "vm-1", AQ_ORDER_DONE);
    expect_wait(&f, 3000, "awaited=vm-2:3000 awaited_vms=1");
    answer_renewal(&f, "vm-2", AQ_ORDER_DONE);
    tick(&f, 20);
    expect_wait(&f, 3000, "reason=no_usable_vm unlisted=2");
    AqBuffer_Clear(&list);
    tear_down(&f);
}

static void
test_window_closed(void)
{
    Fixture f;
    set_up_loaded(&f);
    for (int i = 0; i < 20; i++) {
        char id[8];
        snprintf(id, sizeof(id), "vm-%d", i);
        add_vm(&f, id);
    }
    add_tasks(&f, 70);
    tick(&f, 3000);
    CU_ASSERT_EQUAL(f.starts, 64);
    expect_wait(&f, 3000,
                "reason=window_closed in_flight=64 size=64 closed_ms=29");
    expect_wait(&f, 3000, "ready=6 starting=64");
    tear_down(&f);
}

static void
test_unconfirmed_start(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    tick(&f, 3000);
    expect_wait(&f, 2900, "reason=starts_unconfirmed oldest_ms=29");
    /* A start that is refused and ordered again is no start. */
    answer_start(&f, AQ_ORDER_LATE);
    tick(&f, 1000);
    CU_ASSERT_EQUAL(f.starts, 2);
    expect_wait(&f, 3900, "starting=1");
    tear_down(&f);
}

static void
test_no_usable_vm(void)
{
    Fixture f;
    AqVmReport draining = make_report("vm-2");
    AqVmReport fresh = make_report("vm-7");
    set_up_loaded(&f);
    for (int i = 1; i <= 6; i++) {
        char id[8];
        snprintf(id, sizeof(id), "vm-%d", i);
        add_vm(&f, id);
    }
    AqScheduler_SetCordon(f.s, "vm-1", true);
    draining.is_draining = true;
    AqScheduler_SetVm(f.s, &draining, f.now);
    AqScheduler_VmUnlisted(f.s, "vm-3", f.now);
    AqScheduler_VmEnded(f.s, "vm-4", f.now);
    answer_renewal(&f, "vm-5", AQ_ORDER_UNKNOWN);
    AqScheduler_SetVm(f.s, &fresh, f.now);
    tick(&f, 2400);
    AqVmReport unrecorded = make_report("vm-8");
    AqScheduler_SetVm(f.s, &unrecorded, f.now);
    answer_renewal(&f, "vm-8", AQ_ORDER_DONE);
    answer_renewal(&f, "vm-6", AQ_ORDER_UNHEALTHY);
    add_tasks(&f, 1);
    tick(&f, 800);
    expect_wait(&f, 600,
                "reason=no_usable_vm unlisted=1 ended=1 not_heard=1 silent=1 "
                "unrecorded=1 draining=1 quarantined=1 cordoned=1 "
                "silent_ms=3");
    tear_down(&f);
}

static void
test_no_room(void)
{
    static const AqStepSpec wide = {
        .task_count = 2, .cpu_millis = 3000, .estimate_ms = 500};
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_job(&f, &wide);
    tick(&f, 20);
    answer_start(&f, AQ_ORDER_DONE);
    tick(&f, 1500);
    expect_wait(&f, 1500, "reason=no_room no_room=1 usable=1 ready=1");
    tear_down(&f);
}

static void
test_blocked(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    tick(&f, 20);
    answer_start(&f, AQ_ORDER_NO_ROOM);
    tick(&f, 100);
    expect_wait(&f, 100, "reason=blocked blocked=1");
    tear_down(&f);
}

static void
test_paused(void)
{
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    tick(&f, 20);
    answer_start(&f, AQ_ORDER_INVALID);
    tick(&f, 1900);
    expect_wait(&f, 1900, "reason=paused paused=1");
    tear_down(&f);
}

static void
test_label(void)
{
    AqStepSpec step = {.task_count = 1, .required_label = strdup("big")};
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_job(&f, &step);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=label label=1");
    tear_down(&f);
}

static void
test_step_limit(void)
{
    static const AqStepSpec step = {
        .task_count = 2, .is_perpetual = true, .max_per_vm = 1};
    Fixture f;
    set_up_loaded(&f);
    add_vm(&f, "vm-1");
    add_job(&f, &step);
    tick(&f, 20);
    answer_start(&f, AQ_ORDER_DONE);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=step_limit step_limit=1");
    tear_down(&f);
}

static void
test_no_ticket(void)
{
    Fixture f;
    set_up_loaded(&f);
    f.queue.needs_tickets = true;
    add_vm(&f, "vm-1");
    add_tasks(&f, 1);
    tick(&f, 3000);
    expect_wait(&f, 3000, "reason=no_ticket no_ticket=1");
    tear_down(&f);
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
