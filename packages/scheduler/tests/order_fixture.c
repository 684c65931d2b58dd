#include "order_fixture.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

static void
on_start(void *context, const AqOrderTarget *target, const AqStartOrder *order)
{
    const Fixture *f = context;
    FixtureStart start = {.task = order->task, .run = order->run};
    g_strlcpy(start.vm, target->vm, sizeof(start.vm));
    g_array_append_val(f->starts, start);
}

static void
on_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run)
{
    const Fixture *f = context;
    FixtureStart stop = {.task = *task, .run = run};
    g_strlcpy(stop.vm, target->vm, sizeof(stop.vm));
    g_array_append_val(f->stops, stop);
}

static void
on_renew(void *context, const AqOrderTarget *target,
         const AqRenewalOrder *order)
{
    Fixture *f = context;
    (void)target;
    f->renewal = *order;
}

static void
on_tickets(void *context, const AqTaskName *step, const char *const *vms,
           size_t count)
{
    Fixture *f = context;
    (void)step;
    (void)vms;
    (void)count;
    f->ticket_requests++;
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
set_up(Fixture *f, AqSchedulerConfig config)
{
    g_strlcpy(config.pool, "pool", sizeof(config.pool));
    config.fence = 7;
    config.lease_ms = FIXTURE_LEASE_MS;
    memset(f, 0, sizeof(*f));
    f->starts = g_array_new(FALSE, FALSE, sizeof(FixtureStart));
    f->stops = g_array_new(FALSE, FALSE, sizeof(FixtureStart));
    f->now = 1000;
    f->quiet_at = f->now + config.earlier_owner_ms;
    f->queue = (AqQueueConfig){.name = "queue", .pool = "pool"};
    f->site = (AqSiteConfig){.queues = &f->queue, .queue_count = 1};
    f->s = AqScheduler_Create(&config, &actions, f, f->now);
    AqScheduler_SetSite(f->s, &f->site);
}

void
fixture_set_up(Fixture *f, AqTime earlier_owner_ms)
{
    set_up(f, (AqSchedulerConfig){.earlier_owner_ms = earlier_owner_ms});
}

void
fixture_set_cap(Fixture *f, const char *name, int64_t cpu_millis)
{
    f->workspace = name;
    f->workspace_config =
        (AqWorkspaceConfig){.name = (char *)name, .weight = 1};
    f->workspace_config.cap.cpu_millis = cpu_millis;
    f->site.workspaces = &f->workspace_config;
    f->site.workspace_count = 1;
    AqScheduler_SetSite(f->s, &f->site);
}

void
fixture_tick(Fixture *f, AqTime ms)
{
    AqTime end = f->now + ms;
    while (f->now < end) {
        f->now += 20;
        AqScheduler_ConfirmOwnership(f->s, f->now);
        AqScheduler_Tick(f->s, f->now, 1, true);
    }
}

void
fixture_add_job(Fixture *f, const char *id, const AqStepSpec *step)
{
    fixture_add_job_of(f, id, NULL, "queue", step);
}

void
fixture_add_job_of(Fixture *f, const char *id, const char *workspace,
                   const char *queue, const AqStepSpec *step)
{
    AqError error;
    AqJobSpec spec = {.step_count = 1};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.queue = strdup(queue);
    workspace = workspace != NULL ? workspace : f->workspace;
    spec.workspace = workspace != NULL ? strdup(workspace) : NULL;
    spec.text = strdup("text");
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = *step;
    CU_ASSERT_TRUE(AqScheduler_AddJob(f->s, &spec, NULL, 0,
                                      f->now >= f->quiet_at, f->now, &error));
}

AqVmReport
fixture_report(const char *id)
{
    AqVmReport report = {.cpu_millis = FIXTURE_VM_CPU_MILLIS,
                         .memory_mb = 1000,
                         .leaves_ms = -1,
                         .pool = "pool",
                         .kind = "plain"};
    g_strlcpy(report.id, id, sizeof(report.id));
    return report;
}

void
fixture_answer_renewal(Fixture *f, const char *id, AqOrderResult result)
{
    AqOrderReply reply = {.result = result, .clock_ms = -1};
    if (result != AQ_ORDER_UNKNOWN && result != AQ_ORDER_NOT_SENT) {
        reply.clock_ms = f->now;
    }
    AqScheduler_OnRenewal(f->s, id, f->now - 5, &reply, f->now);
}

void
fixture_answer_start(Fixture *f, unsigned start, AqOrderResult result)
{
    AqOrderReply reply = {.result = result, .clock_ms = -1};
    if (result != AQ_ORDER_UNKNOWN && result != AQ_ORDER_NOT_SENT) {
        reply.clock_ms = f->now;
    }
    const FixtureStart *order = &g_array_index(f->starts, FixtureStart, start);
    AqScheduler_OnStart(f->s, order->vm, &order->task, order->run, &reply,
                        f->now);
}

void
fixture_add_vm(Fixture *f, const char *id)
{
    AqVmReport report = fixture_report(id);
    AqScheduler_SetVm(f->s, &report, f->now);
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    fixture_tick(f, 20);
    fixture_answer_renewal(f, id, AQ_ORDER_DONE);
}

void
fixture_set_up_loaded(Fixture *f)
{
    fixture_set_up(f, 0);
    AqScheduler_SetLoaded(f->s);
    fixture_tick(f, 20);
}

void
fixture_set_up_places(Fixture *f, double far_rack_factor, AqTime place_wait_ms)
{
    set_up(f, (AqSchedulerConfig){.far_rack_factor = far_rack_factor,
                                  .place_wait_ms = place_wait_ms});
    AqScheduler_SetLoaded(f->s);
    fixture_tick(f, 20);
}

void
fixture_tear_down(Fixture *f)
{
    AqError error;
    CU_ASSERT_TRUE(AqScheduler_CheckConsistency(f->s, &error));
    AqScheduler_Destroy(f->s);
    g_array_free(f->starts, TRUE);
    g_array_free(f->stops, TRUE);
}
