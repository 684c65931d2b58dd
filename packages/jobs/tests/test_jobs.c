#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

enum {
    ROUND_MS = 500, /* virtual time between two fake_round() calls */
    SEEDS = 200     /* number of random test runs, each with its own seed */
};

/* ---- Intents --------------------------------------------------------------
 */

/* Guards against accepting a job that fits on no worker, which would stay
 * queued for ever, and against an error message that doesn't name the label,
 * size or quota that prevents the job. */
static void
test_submit_cases(void)
{
    static const struct {
        const char *args;
        AqErrorKind kind; /* expected error; AQ_OK: the job is accepted */
        const char *in_message;
    } cases[] = {
        {"{\"id\":\"a\",\"team\":\"t\"}", AQ_OK, ""},
        {"{\"id\":\"a\",\"team\":\"t\",\"selector\":{\"gen\":\"new\"}}", AQ_OK,
         ""},
        {"{\"id\":\"a\",\"team\":\"t\",\"selector\":{\"gen\":\"odd\"}}",
         AQ_ERR_REFUSED, "gen=odd"},
        {"{\"id\":\"a\",\"team\":\"t\",\"selector\":{\"gen\":\"new\","
         "\"disk\":\"hdd\"}}",
         AQ_ERR_REFUSED, "at once"},
        {"{\"id\":\"a\",\"team\":\"t\",\"cores\":9}", AQ_ERR_REFUSED,
         "cores is 9 and the largest matching worker has 8"},
        {"{\"id\":\"a\",\"team\":\"t\",\"accelerators\":1}", AQ_ERR_REFUSED,
         "the quota of team \"t\" is 0"},
        {"{\"id\":\"a\",\"team\":\"t\",\"cores\":50}", AQ_ERR_REFUSED,
         "quota of team \"t\" is 20"},
        {"{\"id\":\"a\",\"team\":\"none\"}", AQ_ERR_NOT_FOUND, "no team"},
        {"{\"id\":\"a b\",\"team\":\"t\"}", AQ_ERR_INVALID, "letters"},
        {"{\"team\":\"t\"}", AQ_ERR_INVALID, "\"id\" is missing"},
        {"{\"id\":\"a\",\"team\":\"t\",\"cores\":0}", AQ_ERR_INVALID,
         "between 1 and"},
        {"{\"id\":\"a\",\"team\":\"t\",\"cpu\":1}", AQ_ERR_INVALID,
         "\"cpu\" is unknown"},
        {"{\"id\":\"a\",\"team\":\"t\",\"selector\":{\"gen\":1}}",
         AQ_ERR_INVALID, "string"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fake fake;
        AqError error;
        AqJobs *jobs = AqJobs_Create();
        fake_init(&fake, 1);
        fake_add_worker(&fake, "w1", "{\"gen\":\"new\"}", 8);
        fake_add_worker(&fake, "w2", "{\"disk\":\"hdd\"}", 4);
        fake_add_team(&fake, "t", 20);
        AqError_Clear(&error);
        bool ok =
            fake_submit(&fake, jobs, "job.submit", cases[i].args, &error);
        CU_ASSERT_EQUAL(ok, cases[i].kind == AQ_OK);
        CU_ASSERT_EQUAL(error.kind, cases[i].kind);
        if (strstr(error.message, cases[i].in_message) == NULL) {
            printf("case %zu: %s\n", i, error.message);
            CU_FAIL("message");
        }
        AqJobs_Destroy(jobs);
        fake_clear(&fake);
    }
}

/* ---- Mechanisms -----------------------------------------------------------
 */

/* A property of the job planner that one of its mechanisms ensures, with the
 * test of that property. */
typedef struct {
    const char *name;
    uint32_t mechanism; /* AQ_JOBS_DISABLE_* bit of the tested mechanism */
    /* Runs a test scenario in which the mechanisms of the AQ_JOBS_DISABLE_*
     * bits in "disabled" are off; returns whether the tested property held. */
    bool (*holds)(uint32_t disabled);
} Property;

/* Submits job "id" of team t; "extra_args" is "" or further job.submit
 * arguments as JSON text, ",FIELD:VALUE...". */
static void
submit_job(Fake *fake, AqJobs *jobs, const char *id, const char *extra_args)
{
    char args[200];
    snprintf(args, sizeof(args), "{\"id\":\"%s\",\"team\":\"t\"%s}", id,
             extra_args);
    CU_ASSERT_TRUE(fake_submit(fake, jobs, "job.submit", args, NULL));
}

/* Initializes "fake" with team t and returns a new AqJobs in which the
 * mechanisms of the AQ_JOBS_DISABLE_* bits in "disabled" are off.  The caller
 * clears "fake" and destroys the AqJobs. */
static AqJobs *
create_jobs(Fake *fake, uint32_t disabled)
{
    AqJobs *jobs = AqJobs_Create();
    fake_init(fake, 7);
    AqJobs_Disable(jobs, disabled);
    fake_add_team(fake, "t", 1000);
    return jobs;
}

static void
run_rounds(Fake *fake, AqJobs *jobs, int count)
{
    for (int i = 0; i < count; i++) {
        AqError error;
        fake_round(fake, jobs);
        CU_ASSERT_TRUE(AqJobs_CheckConsistency(jobs, &error));
        fake_advance(fake, ROUND_MS);
    }
}

/* Whether a non-idempotent job is started only once although the planner
 * pauses for 60 s of virtual time, in which the lease of the job's task
 * expires. */
static bool
holds_at_most_once(uint32_t disabled)
{
    Fake fake;
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "w", "{}", 8);
    fake.run_ms = 60000;
    submit_job(&fake, jobs, "pay", "");
    run_rounds(&fake, jobs, 4);
    fake_advance(&fake, 60000);
    run_rounds(&fake, jobs, 8);
    bool ok =
        fake_runs(&fake, "t.pay") == 1 && fake_count(jobs, "unknown") == 1;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

/* Whether the cores reserved for a job are estimated from what earlier tasks
 * used: when jobs declare ten times the cores that they use, the worker must
 * not be left so idle that 24 jobs don't finish in 15 s of virtual time. */
static bool
holds_estimates(uint32_t disabled)
{
    Fake fake;
    char id[16];
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "w", "{}", 32);
    fake.cpu_use_percent = 10;
    fake.run_ms = 2000;
    for (int i = 0; i < 24; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        submit_job(&fake, jobs, id, ",\"cores\":16,\"idempotent\":true");
    }
    run_rounds(&fake, jobs, 30);
    bool ok = fake_count(jobs, "done") == 24;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

/* Whether an urgent job that is submitted while all workers are full starts
 * within 3.5 s of virtual time after its submission. */
static bool
holds_urgent(uint32_t disabled)
{
    Fake fake;
    char id[16];
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "w", "{}", 4);
    fake.run_ms = 600000;
    for (int i = 0; i < 8; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        submit_job(&fake, jobs, id, ",\"idempotent\":true");
    }
    run_rounds(&fake, jobs, 4);
    submit_job(&fake, jobs, "now", ",\"urgent\":true");
    int64_t submitted_ms = fake.now_ms;
    while (fake_runs(&fake, "t.now") == 0 &&
           fake.now_ms - submitted_ms < 20000) {
        run_rounds(&fake, jobs, 1);
    }
    bool ok = fake.now_ms - submitted_ms <= 3500;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

/* Whether at most 4 tasks are started on a worker on which every task fails,
 * and all 30 jobs finish on the other worker. */
static bool
holds_bad_worker(uint32_t disabled)
{
    Fake fake;
    char id[16];
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "bad", "{}", 2);
    fake_add_worker(&fake, "good", "{}", 4);
    g_hash_table_add(fake.bad_workers, g_strdup("bad"));
    for (int i = 0; i < 30; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        submit_job(&fake, jobs, id, ",\"idempotent\":true");
    }
    run_rounds(&fake, jobs, 200);
    bool ok = fake.starts_on_bad <= 4 && fake_count(jobs, "done") == 30;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

/* Evaluates an operator's requested change (an intent) of kind "kind", which
 * is job.submit or job.cancel, for job "id" of team t, and doesn't write the
 * changed document to the fake store. */
static void
evaluate_intent(Fake *fake, AqJobs *jobs, const char *kind, const char *id)
{
    json_t *intent = json_pack("{s:s+,s:s,s:{s:s,s:s}}", "op", kind, id,
                               "kind", kind, "args", "id", id, "team", "t");
    CU_ASSERT_TRUE(
        AqJobs_Evaluate(jobs, fake->fleet, intent, fake->now_ms, NULL));
    json_decref(intent);
}

/* Whether one AqJobs_Step() applies at most one batch (256) of 999 job
 * cancellations and still starts the one job that isn't cancelled, and the
 * next 8 AqJobs_Step() calls apply the rest of the cancellations. */
static bool
holds_batches(uint32_t disabled)
{
    Fake fake;
    char id[32];
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "w", "{}", 1);
    for (int i = 0; i < 1000; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        evaluate_intent(&fake, jobs, "job.submit", id);
    }
    for (int i = 1; i < 1000; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        evaluate_intent(&fake, jobs, "job.cancel", id);
    }
    fake_store(&fake, jobs);
    fake_round(&fake, jobs);
    int left = fake_count(jobs, "queued");
    bool ok = left >= 1000 - 256 - 1 && fake_count(jobs, "starting") == 1;
    run_rounds(&fake, jobs, 8);
    ok = ok && fake_count(jobs, "queued") == 0;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

/* Guards against a table of tasks that grows with every job that has ended, in
 * a planner that runs for months. */
static void
test_ended_tasks_are_forgotten(void)
{
    enum {
        JOBS = 2000,
        MOST_REMEMBERED = 200
    };
    Fake fake;
    char id[16];
    AqJobs *jobs = create_jobs(&fake, 0);
    fake_add_worker(&fake, "w", "{}", 64);
    fake.run_ms = 400;
    for (int i = 0; i < JOBS; i++) {
        snprintf(id, sizeof(id), "j%d", i);
        evaluate_intent(&fake, jobs, "job.submit", id);
    }
    fake_store(&fake, jobs);
    run_rounds(&fake, jobs, 400);
    CU_ASSERT_EQUAL(fake_count(jobs, "queued"), 0);
    CU_ASSERT_EQUAL(fake_count(jobs, "running"), 0);
    CU_ASSERT_TRUE(AqJobs_RememberedTasks(jobs) < MOST_REMEMBERED);
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
}

static void
count_starts(void *context, const AqTaskOrder *order)
{
    int *starts = context;
    *starts += order->action == AQ_TASK_START;
}

/* Whether the start of a task is ordered only after the document that records
 * the start has been stored.  Otherwise another planner that takes over would
 * find the job queued and start the job again. */
static bool
holds_stored_first(uint32_t disabled)
{
    Fake fake;
    int starts = 0;
    AqJobs *jobs = create_jobs(&fake, disabled);
    fake_add_worker(&fake, "w", "{}", 1);
    submit_job(&fake, jobs, "pay", "");
    AqJobs_Step(jobs, fake.fleet, fake.now_ms, count_starts, &starts);
    bool ok = starts == 0;
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
    return ok;
}

static const Property properties[] = {
    {"at most once", AQ_JOBS_DISABLE_UNKNOWN, holds_at_most_once},
    {"estimates", AQ_JOBS_DISABLE_ESTIMATES, holds_estimates},
    {"urgent", AQ_JOBS_DISABLE_URGENT, holds_urgent},
    {"bad worker", AQ_JOBS_DISABLE_BAD_WORKER, holds_bad_worker},
    {"batches", AQ_JOBS_DISABLE_BATCHES, holds_batches},
    {"stored first", AQ_JOBS_DISABLE_STORED_FIRST, holds_stored_first},
};

/* Guards against a mechanism without effect and against a test scenario that
 * passes without the mechanism: each property must hold while its mechanism is
 * enabled and fail while that mechanism is disabled. */
static void
test_mechanisms(void)
{
    for (size_t i = 0; i < sizeof(properties) / sizeof(properties[0]); i++) {
        bool holds_enabled = properties[i].holds(0);
        bool holds_disabled = properties[i].holds(properties[i].mechanism);
        if (!holds_enabled || holds_disabled) {
            printf("%s: enabled %d, disabled %d\n", properties[i].name,
                   holds_enabled, holds_disabled);
        }
        CU_ASSERT_TRUE(holds_enabled);
        CU_ASSERT_FALSE(holds_disabled);
    }
}

/* Guards against a drain that ends the tasks of a worker or runs them from the
 * start again: the tasks must resume from a checkpoint on another worker. */
static void
test_drain_moves_tasks(void)
{
    Fake fake;
    AqJobs *jobs = create_jobs(&fake, 0);
    fake_add_worker(&fake, "w1", "{}", 2);
    fake.run_ms = 3000;
    submit_job(&fake, jobs, "pay", "");
    run_rounds(&fake, jobs, 3);
    json_t *set = json_array();
    json_t *intent = json_pack("{s:s,s:s,s:{s:s}}", "op", "d", "kind",
                               "vm.drain", "args", "id", "w1");
    CU_ASSERT_TRUE(
        AqFleet_Evaluate(fake.fleet, intent, fake.now_ms, set, NULL));
    CU_ASSERT_TRUE(AqFleet_Apply(fake.fleet, "d", set, NULL));
    fake_add_worker(&fake, "w2", "{}", 2);
    run_rounds(&fake, jobs, 20);
    CU_ASSERT_EQUAL(fake_count(jobs, "done"), 1);
    CU_ASSERT_EQUAL(fake_runs(&fake, "t.pay"), 1);
    json_decref(set);
    json_decref(intent);
    AqJobs_Destroy(jobs);
    fake_clear(&fake);
}

/* ---- Random interleavings --------------------------------------------------
 */

static void
submit_random(Fake *fake, AqJobs *jobs, int number)
{
    char args[200];
    bool idempotent = AqRandom_Below(&fake->random, 2) == 0;
    snprintf(args, sizeof(args),
             "{\"id\":\"%c%d\",\"team\":\"t%d\",\"cores\":%d,\"urgent\":%s,"
             "\"idempotent\":%s}",
             idempotent ? 'i' : 'n', number,
             (int)AqRandom_Below(&fake->random, 3),
             1 + (int)AqRandom_Below(&fake->random, 4),
             AqRandom_Below(&fake->random, 5) == 0 ? "true" : "false",
             idempotent ? "true" : "false");
    fake_submit(fake, jobs, "job.submit", args, NULL);
}

/* Fails the test if a non-idempotent job (its id starts with "n") was started
 * more than once. */
static void
check_run_counts(const Fake *fake, uint64_t seed)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, fake->run_counts);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const char *job = strchr(key, '.') + 1;
        if (job[0] == 'n' && GPOINTER_TO_INT(value) > 1) {
            printf("seed %llu: %s ran %d times\n", (unsigned long long)seed,
                   (const char *)key, GPOINTER_TO_INT(value));
            CU_FAIL("non-idempotent task ran twice");
        }
    }
}

/* Does 150 random actions: submissions, planner rounds and advances of virtual
 * time.  One of two planners does each submission or round, after which the
 * documents that the other planner has loaded are out of date.  One in five
 * replies of the store and the platform is lost, some advances are longer than
 * the lease of a task, and every task fails on one of the three workers. */
static void
run_random_steps(uint64_t seed)
{
    Fake fake;
    AqJobs *planners[2] = {AqJobs_Create(), AqJobs_Create()};
    fake_init(&fake, seed);
    fake.reply_loss_percent = 20;
    for (int i = 0; i < 3; i++) {
        char name[8];
        snprintf(name, sizeof(name), "t%d", i);
        fake_add_team(&fake, name, 8);
        snprintf(name, sizeof(name), "w%d", i);
        fake_add_worker(&fake, name, "{}", 4);
    }
    g_hash_table_add(fake.bad_workers, g_strdup("w0"));
    for (int step = 0; step < 150; step++) {
        AqJobs *jobs = planners[AqRandom_Below(&fake.random, 2)];
        AqError error;
        switch (AqRandom_Below(&fake.random, 4)) {
        case 0:
            submit_random(&fake, jobs, step);
            break;
        case 1:
            fake_advance(&fake, AqRandom_Below(&fake.random, 20) == 0
                                    ? 60000
                                    : ROUND_MS);
            break;
        default:
            fake_round(&fake, jobs);
            break;
        }
        if (!AqJobs_CheckConsistency(jobs, &error)) {
            printf("seed %llu: %s\n", (unsigned long long)seed, error.message);
            CU_FAIL("consistency");
        }
    }
    check_run_counts(&fake, seed);
    AqJobs_Destroy(planners[0]);
    AqJobs_Destroy(planners[1]);
    fake_clear(&fake);
}

/* Guards against a second start of a non-idempotent job when two planners work
 * on the same documents, replies are lost and leases of tasks expire. */
static void
test_random_interleavings(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_random_steps(seed);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("jobs", NULL, NULL);
    CU_ADD_TEST(suite, test_submit_cases);
    CU_ADD_TEST(suite, test_ended_tasks_are_forgotten);
    CU_ADD_TEST(suite, test_mechanisms);
    CU_ADD_TEST(suite, test_drain_moves_tasks);
    CU_ADD_TEST(suite, test_random_interleavings);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
