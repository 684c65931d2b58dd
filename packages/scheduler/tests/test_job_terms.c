#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "order_fixture.h"
#include "sim.h"
#include "sim_cases.h"

/* Jobs whose queue the configuration drops, adds again, or sends to another
 * pool after it has accepted them. */

enum {
    MAX_ATTEMPTS = 2, /* of the queue under which sim.c accepts jobs */
    DURATION_MS = 700,
    FINISH_MS = 20000
};

static const AqQueueConfig other_pool = {
    .name = "queue", .pool = "other", .max_attempts = 9, .stretch = 1.6};
static const AqQueueConfig other_limit = {
    .name = "queue", .pool = "pool", .max_attempts = 9, .stretch = 1.6};
static const AqQueueConfig other_queue = {
    .name = "other", .pool = "pool", .max_attempts = 2, .stretch = 1.6};

typedef struct {
    const char *what;
    const AqQueueConfig *queue;
    void (*take_over)(Sim *sim); /* NULL: the owner stays */
    bool is_old;
} Change;

static void
kill_owner(Sim *sim)
{
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
}

static void
replace_owner(Sim *sim)
{
    sim_start_owner(sim, true);
}

/* Guards against a job that can never be done and is started without end, or
 * beyond its limit, since its queue is gone or has another limit. */
static void
test_failing_job_keeps_its_limit(void)
{
    static const Change changes[] = {
        {"dropped", NULL, NULL, false},
        {"dropped, owner killed", NULL, kill_owner, false},
        {"dropped, handed over", NULL, sim_hand_over, false},
        {"dropped, replaced unnoticed", NULL, replace_owner, false},
        {"to another pool", &other_pool, NULL, false},
        {"to another pool, owner killed", &other_pool, kill_owner, false},
        {"another limit", &other_limit, NULL, false},
        {"another limit, owner killed", &other_limit, kill_owner, false},
        {"dropped, old record", NULL, NULL, true},
        {"another limit, old record", &other_limit, NULL, true},
        {"dropped, old record, owner killed", &other_queue, kill_owner, true},
    };
    for (size_t i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
        const Change *change = &changes[i];
        Sim *sim = sim_create(i + 1);
        if (change->is_old) {
            sim_store_old_jobs(sim);
        }
        sim_add_chain(sim, "a1", 2, 2, 1000, DURATION_MS);
        sim_fail_next_runs(sim, "a1", 1000);
        sim_run(sim, DURATION_MS / 2);
        sim_set_queue(sim, change->queue);
        if (change->take_over != NULL) {
            change->take_over(sim);
        }
        bool is_finished = sim_run_until_finished(sim, FINISH_MS);
        if (!is_finished || sim_stage(sim, "a1") != AQ_STAGE_FAILED) {
            fprintf(stderr, "%s: %u starts\n", change->what,
                    sim_count_starts(sim, "a1"));
        }
        sim_expect_no_violation(sim, i + 1);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_FAILED);
        CU_ASSERT_TRUE(sim_count_starts(sim, "a1") <= 2 * MAX_ATTEMPTS);
        sim_destroy(sim);
    }
}

/* Guards against a sound job that is given up, or not brought to its end, when
 * its queue goes: steps that start later, and runs that fail once. */
static void
test_sound_job_is_completed(void)
{
    static const AqQueueConfig *const queues[] = {NULL, &other_pool,
                                                  &other_limit};
    for (size_t i = 0; i < sizeof(queues) / sizeof(queues[0]); i++) {
        Sim *sim = sim_create(i + 1);
        sim_add_chain(sim, "a1", 3, 4, 1000, DURATION_MS);
        sim_fail_next_runs(sim, "a1", 1);
        sim_run(sim, DURATION_MS / 2);
        sim_set_queue(sim, queues[i]);
        sim_run(sim, DURATION_MS);
        sim_hand_over(sim);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, FINISH_MS));
        CU_ASSERT_EQUAL(sim_stage(sim, "a1"), AQ_STAGE_COMPLETED);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a1"), 3 * 4 + 1);
        sim_expect_no_violation(sim, i + 1);
        sim_destroy(sim);
    }
}

static const AqStepSpec one_task = {.task_count = 1,
                                    .cpu_millis = FIXTURE_VM_CPU_MILLIS,
                                    .memory_mb = 100,
                                    .estimate_ms = 1000};

/* Ends the run of a start order as failed. */
static void
fail_run(Fixture *f, unsigned start)
{
    fixture_answer_start(f, start, AQ_ORDER_DONE);
    const FixtureStart *order = &g_array_index(f->starts, FixtureStart, start);
    AqEndedTask end = {.number = start + 1,
                       .task = order->task,
                       .run = order->run,
                       .kind = AQ_END_FAILED,
                       .checkpoint = ""};
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .ended = &end,
                          .ended_count = 1};
    AqScheduler_OnRenewal(f->s, order->vm, f->now - 5, &reply, f->now);
    fixture_tick(f, 200);
}

/* Guards against a job that an earlier version went on with beyond its limit
 * and that the next owner starts once more. */
static void
test_exhausted_job_fails_when_loaded(void)
{
    AqError error;
    AqJobSave save;
    AqJobStage stage;
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm");
    fixture_add_job(&f, "a1", &one_task);
    fixture_tick(&f, 100);
    for (unsigned i = 0; i < MAX_ATTEMPTS; i++) {
        CU_ASSERT_EQUAL_FATAL(f.starts->len, i + 1);
        fail_run(&f, i);
    }
    CU_ASSERT_EQUAL_FATAL(AqScheduler_BeginSave(f.s, &save, 1), 1);
    AqBuffer record = save.record;
    AqBuffer_Init(&save.record);
    AqScheduler_EndSave(f.s, &save, 1, true, f.now);
    fixture_tear_down(&f);
    fixture_set_up_loaded(&f);
    f.queue.max_attempts = MAX_ATTEMPTS;
    fixture_add_vm(&f, "vm");
    AqJobSpec spec = {.id = "a1", .step_count = 1};
    spec.queue = strdup("queue");
    spec.text = strdup("text");
    spec.steps = calloc(1, sizeof(*spec.steps));
    spec.steps[0] = one_task;
    CU_ASSERT_TRUE(AqScheduler_AddJob(f.s, &spec, AqBuffer_Text(&record),
                                      record.size, false, f.now, &error));
    fixture_tick(&f, 500);
    CU_ASSERT_EQUAL(f.starts->len, 0);
    CU_ASSERT_EQUAL_FATAL(AqScheduler_BeginSave(f.s, &save, 1), 1);
    CU_ASSERT_TRUE(AqScheduler_ReadStage(AqBuffer_Text(&save.record),
                                         save.record.size, &stage, &error));
    CU_ASSERT_EQUAL(stage, AQ_STAGE_FAILED);
    AqScheduler_EndSave(f.s, &save, 1, true, f.now);
    AqBuffer_Clear(&record);
    fixture_tear_down(&f);
}

/* Guards against start orders without a ticket, which VMs refuse without end,
 * for a job of a queue with advice that is gone or has none any more. */
static void
test_tickets_outlive_the_queue(void)
{
    for (int is_dropped = 0; is_dropped < 2; is_dropped++) {
        Fixture f;
        fixture_set_up_loaded(&f);
        f.queue.needs_tickets = true;
        AqScheduler_SetSite(f.s, &f.site);
        fixture_add_job(&f, "a1", &one_task);
        f.queue.needs_tickets = false;
        f.site.queue_count = !is_dropped;
        AqScheduler_SetSite(f.s, &f.site);
        fixture_add_vm(&f, "vm");
        fixture_tick(&f, 500);
        CU_ASSERT_EQUAL(f.starts->len, 0);
        CU_ASSERT_TRUE(f.ticket_requests > 0);
        fixture_tear_down(&f);
    }
}

/* Guards against jobs of a dropped queue that go before all others, and
 * against a priority of a queue that is still there but not followed. */
static void
test_order_of_jobs(void)
{
    static const struct {
        const char *what;
        int low_priority;  /* of queue "low" in the configuration in force */
        bool is_dropped;   /* queue "low" is not in it */
        const char *first; /* job that is started */
    } cases[] = {
        {"unchanged", 1, false, "b1"},
        {"dropped", 1, true, "b1"},
        {"now urgent", 0, false, "a1"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqQueueConfig queues[] = {
            {.name = "queue", .pool = "pool", .stretch = 1},
            {.name = "low", .pool = "pool", .priority = 1, .stretch = 1}};
        Fixture f;
        fixture_set_up_loaded(&f);
        f.site = (AqSiteConfig){.queues = queues, .queue_count = 2};
        AqScheduler_SetSite(f.s, &f.site);
        fixture_add_job_of(&f, "a1", NULL, "low", &one_task);
        fixture_add_job_of(&f, "b1", NULL, "queue", &one_task);
        queues[1].priority = cases[i].low_priority;
        f.site.queue_count = cases[i].is_dropped ? 1 : 2;
        AqScheduler_SetSite(f.s, &f.site);
        fixture_add_vm(&f, "vm");
        fixture_tick(&f, 100);
        CU_ASSERT_EQUAL_FATAL(f.starts->len, 1);
        const FixtureStart *start = &g_array_index(f.starts, FixtureStart, 0);
        if (strcmp(start->task.job, cases[i].first) != 0) {
            fprintf(stderr, "%s: %s\n", cases[i].what, start->task.job);
        }
        CU_ASSERT_STRING_EQUAL(start->task.job, cases[i].first);
        fixture_tear_down(&f);
    }
}

enum {
    COUNTS_SIZE = 64 /* bytes */
};

static void
append_count(void *text, const char *queue, size_t count)
{
    char line[64];
    snprintf(line, sizeof(line), "%s %zu,", queue, count);
    g_strlcat(text, line, COUNTS_SIZE);
}

/* Guards against waiting jobs that are in no report, since the configuration
 * sends their queue nowhere or to another pool. */
static void
test_waiting_jobs_are_counted(void)
{
    char counts[COUNTS_SIZE] = "";
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_job_of(&f, "a1", NULL, "queue", &one_task);
    fixture_add_job_of(&f, "b1", NULL, "low", &one_task);
    fixture_add_job_of(&f, "a2", NULL, "queue", &one_task);
    f.queue.pool = "other";
    AqScheduler_SetSite(f.s, &f.site);
    AqScheduler_EachWaiting(f.s, append_count, counts);
    CU_ASSERT_STRING_EQUAL(counts, "low 1,queue 2,");
    fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
    static const SimCase cases[] = {
        {"failing_job_keeps_its_limit", test_failing_job_keeps_its_limit},
        {"sound_job_is_completed", test_sound_job_is_completed},
        {"exhausted_job_fails_when_loaded",
         test_exhausted_job_fails_when_loaded},
        {"tickets_outlive_the_queue", test_tickets_outlive_the_queue},
        {"order_of_jobs", test_order_of_jobs},
        {"waiting_jobs_are_counted", test_waiting_jobs_are_counted},
    };
    return sim_run_cases("job_terms", cases, sizeof(cases) / sizeof(cases[0]),
                         argc, argv);
}
