#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_machine_requests.h"
#include "aq_job_spec.h"
#include "aq_random.h"
#include "aq_scheduler.h"
#include "aq_site_config.h"
#include "aq_waves.h"

/* ---- Jobs --------------------------------------------------------------- */

static void
fill_job(AqJobSpec *spec)
{
    memset(spec, 0, sizeof(*spec));
    strcpy(spec->id, "5c0e7a21d94b36f8");
    spec->queue = strdup("queue");
    spec->workspace = strdup("workspace");
    spec->text = strdup("text with \"quotes\" and \n");
    spec->first_due_ms = 1700000000000;
    spec->interval_ms = 500;
    spec->occurrences = 3;
    spec->submitted_ms = 1700000000001;
    spec->has_terms = true;
    spec->terms = (AqJobTerms){.max_attempts = 3,
                               .needs_tickets = true,
                               .priority = 2,
                               .stretch = 1.625,
                               .target_ms = 600};
    spec->step_count = 2;
    spec->steps = calloc(2, sizeof(*spec->steps));
    spec->steps[0] = (AqStepSpec){.task_count = 4,
                                  .cpu_millis = 500,
                                  .memory_mb = 256,
                                  .gpus = 1,
                                  .estimate_ms = 900,
                                  .is_gang = true,
                                  .prefers_one_rack = true,
                                  .near_rack = strdup("r1-3")};
    spec->steps[1] = (AqStepSpec){.task_count = 20,
                                  .is_checkpointable = true,
                                  .allows_copies = true,
                                  .is_perpetual = true,
                                  .is_filler = true,
                                  .required_label = strdup("a"),
                                  .image = strdup("image"),
                                  .max_per_vm = 2,
                                  .latency_target_ms = 80,
                                  .may_miss = 0,
                                  .limits_missing = true};
    spec->steps[1].after = calloc(1, sizeof(uint32_t));
    spec->steps[1].after_count = 1;
}

/* Guards against a field of a job that is lost or changed between the node
 * that accepts the job and the pool's owner. */
static void
test_job_round_trip(void)
{
    AqJobSpec spec;
    AqJobSpec copy;
    AqBuffer first;
    AqBuffer second;
    fill_job(&spec);
    AqBuffer_Init(&first);
    AqBuffer_Init(&second);
    AqJobSpec_Encode(&spec, &first);
    CU_ASSERT_TRUE_FATAL(
        AqJobSpec_Decode(AqBuffer_Text(&first), first.size, &copy, NULL));
    AqJobSpec_Encode(&copy, &second);
    CU_ASSERT_EQUAL_FATAL(first.size, second.size);
    CU_ASSERT_EQUAL(memcmp(first.bytes, second.bytes, first.size), 0);
    CU_ASSERT_STRING_EQUAL(copy.id, spec.id);
    CU_ASSERT_STRING_EQUAL(copy.workspace, "workspace");
    CU_ASSERT_STRING_EQUAL(copy.steps[0].near_rack, "r1-3");
    CU_ASSERT_TRUE(copy.steps[1].is_perpetual && copy.steps[1].is_filler);
    CU_ASSERT_TRUE(copy.steps[1].limits_missing);
    CU_ASSERT_EQUAL(copy.steps[1].after[0], 0);
    CU_ASSERT_TRUE(copy.has_pool_record && copy.has_terms);
    CU_ASSERT_EQUAL(copy.terms.max_attempts, 3);
    CU_ASSERT_TRUE(copy.terms.needs_tickets);
    CU_ASSERT_EQUAL(copy.terms.priority, 2);
    CU_ASSERT_EQUAL(copy.terms.stretch, 1.625);
    CU_ASSERT_EQUAL(copy.terms.target_ms, 600);
    AqJobSpec_Clear(&spec);
    AqJobSpec_Clear(&copy);
    AqBuffer_Clear(&first);
    AqBuffer_Clear(&second);
}

/* Guards against crashes and huge allocations from damaged stored jobs: every
 * prefix of a stored job is refused, and stored jobs with random changed bytes
 * are refused or decode to a job that passes AqJobSpec_Check(). */
static void
test_damaged_job(void)
{
    AqJobSpec spec;
    AqBuffer bytes;
    AqRandom random;
    fill_job(&spec);
    AqBuffer_Init(&bytes);
    AqJobSpec_Encode(&spec, &bytes);
    AqJobSpec_Clear(&spec);
    for (size_t i = 0; i < bytes.size; i++) {
        CU_ASSERT_FALSE(AqJobSpec_Decode(bytes.bytes, i, &spec, NULL));
    }
    AqRandom_Seed(&random, 4);
    for (int i = 0; i < 20000; i++) {
        char *copy = malloc(bytes.size + 1);
        memcpy(copy, bytes.bytes, bytes.size);
        for (int j = 0; j < 3; j++) {
            copy[AqRandom_Below(&random, bytes.size)] =
                (char)AqRandom_Next(&random);
        }
        if (AqJobSpec_Decode(copy, bytes.size, &spec, NULL)) {
            CU_ASSERT_TRUE(AqJobSpec_Check(&spec, NULL));
            AqJobSpec_Clear(&spec);
        }
        free(copy);
    }
    AqBuffer_Clear(&bytes);
}

/* Guards against accepting jobs that the scheduler could not hold: jobs
 * without steps or tasks, with too many tasks, or with a step that does not
 * come after the steps it depends on. */
static void
test_job_limits(void)
{
    static const struct {
        uint32_t tasks;
        uint32_t after;
        size_t steps;
        const char *text;
    } cases[] = {
        {0, 0, 2, "has 0 tasks"},
        {AQ_JOB_MAX_TASKS + 1, 0, 2, "20001 tasks"},
        {AQ_JOB_MAX_TASKS, 0, 2, "the job has 40000 tasks"},
        {1, 1, 2, "not earlier"},
        {1, 0, 0, "no steps"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        uint32_t after[1] = {cases[i].after};
        AqStepSpec steps[2] = {
            {.task_count = cases[i].tasks},
            {.task_count = cases[i].tasks, .after = after, .after_count = 1},
        };
        AqJobSpec spec = {.steps = steps, .step_count = cases[i].steps};
        CU_ASSERT_FALSE(AqJobSpec_Check(&spec, &error));
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[i].text));
    }
}

/* Guards against a damaged progress record that is read as a finished job. */
static void
test_damaged_stage(void)
{
    static const char *const cases[] = {"",
                                        "\x94",
                                        "\x94\x01",
                                        "\x93\x01\x02\x00",
                                        "\x94\x02\x02\x00\x90",
                                        "\x94\x01\x09\x00\x90",
                                        "completed"};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqJobStage stage;
        AqError error;
        size_t size =
            i == 3 || i == 4 || i == 5 ? i == 3 ? 4 : 5 : strlen(cases[i]);
        CU_ASSERT_FALSE(AqScheduler_ReadStage(cases[i], size, &stage, &error));
    }
    AqJobStage stage;
    CU_ASSERT_TRUE(
        AqScheduler_ReadStage("\x94\x01\x02\x00\x90", 5, &stage, NULL));
    CU_ASSERT_EQUAL(stage, AQ_STAGE_COMPLETED);
}

/* ---- Machine requests --------------------------------------------------- */

/* Guards against machine requests that change between encoding and decoding,
 * and against accepting truncated lists. */
static void
test_machine_requests(void)
{
    AqMachineRequest requests[] = {
        {.number = 7, .machine = "m-1", .to_pool = "spare"},
        {.number = 8, .machine = "m-2", .wave = 3, .is_refused = true}};
    AqMachineRequestList list = {
        .fence = 99, .requested_vms = 5, .requests = requests, .count = 2};
    AqMachineRequestList copy;
    AqBuffer bytes;
    AqBuffer_Init(&bytes);
    AqMachineRequestList_Encode(&list, &bytes);
    CU_ASSERT_TRUE_FATAL(
        AqMachineRequestList_Decode(bytes.bytes, bytes.size, &copy));
    CU_ASSERT_EQUAL(copy.fence, 99);
    CU_ASSERT_EQUAL(copy.requested_vms, 5);
    CU_ASSERT_EQUAL(copy.count, 2);
    CU_ASSERT_STRING_EQUAL(copy.requests[0].to_pool, "spare");
    CU_ASSERT_EQUAL(copy.requests[1].wave, 3);
    CU_ASSERT_TRUE(copy.requests[1].is_refused);
    AqMachineRequestList_Clear(&copy);
    for (size_t i = 0; i < bytes.size; i++) {
        CU_ASSERT_FALSE(AqMachineRequestList_Decode(bytes.bytes, i, &copy));
    }
    AqBuffer_Clear(&bytes);
}

/* ---- Queues ------------------------------------------------------------- */

/* Guards against a caller's request that is matched to a queue with a shorter
 * path prefix than another matching queue, or to a queue of another host. */
static void
test_queue_match(void)
{
    char a[] = "a";
    char b[] = "b";
    char c[] = "c";
    char host[] = "one.example";
    char other[] = "two.example";
    char root[] = "/x/";
    char longer[] = "/x/y/";
    AqQueueConfig queues[] = {{.name = a, .host = host, .prefix = root},
                              {.name = b, .host = host, .prefix = longer},
                              {.name = c, .host = other, .prefix = root}};
    AqSiteConfig site = {.queues = queues, .queue_count = 3};
    static const struct {
        const char *host;
        const char *path;
        const char *name;
    } cases[] = {
        {"one.example", "/x/1", "a"},
        {"one.example", "/x/y/1", "b"},
        {"ONE.example:80", "/x/1", "a"},
        {"two.example", "/x/y/1", "c"},
        {"one.example.org", "/x/1", NULL},
        {"one.example", "/z/1", NULL},
        {"", "/x/1", NULL},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        const AqQueueConfig *queue =
            AqSiteConfig_Match(&site, cases[i].host, cases[i].path);
        CU_ASSERT_EQUAL(queue != NULL, cases[i].name != NULL);
        if (queue != NULL && cases[i].name != NULL) {
            CU_ASSERT_STRING_EQUAL(queue->name, cases[i].name);
        }
    }
}

/* ---- Waves -------------------------------------------------------------- */

static AqWave *
make_wave(uint32_t cap, AqTime within_ms)
{
    char machines[4][AQ_VM_ID_SIZE] = {"m0", "m1", "m2", "m3"};
    AqWaveSpec spec = {.number = 1,
                       .machines = machines,
                       .machine_count = 4,
                       .within_ms = within_ms,
                       .cap = cap};
    return AqWave_Create(&spec, 0);
}

/* Guards against more VMs of a wave being down at a time than the wave's cap,
 * and against a wave that is reported as over while one of its VMs is down. */
static void
test_wave_slots(void)
{
    AqWave *wave = make_wave(2, 20000);
    AqWave_Set(wave, 0, AQ_WAVE_BEGUN);
    CU_ASSERT_TRUE(AqWave_HasSlot(wave));
    AqWave_Set(wave, 1, AQ_WAVE_BEGUN);
    CU_ASSERT_FALSE(AqWave_HasSlot(wave));
    AqWave_Set(wave, 0, AQ_WAVE_DONE);
    CU_ASSERT_TRUE(AqWave_HasSlot(wave));
    AqWave_Set(wave, 2, AQ_WAVE_GONE);
    AqWave_Set(wave, 3, AQ_WAVE_BEGUN);
    CU_ASSERT_TRUE(AqWave_IsCompleted(wave));
    CU_ASSERT_FALSE(AqWave_IsOver(wave));
    AqWave_Set(wave, 1, AQ_WAVE_DONE);
    AqWave_Set(wave, 3, AQ_WAVE_DONE);
    CU_ASSERT_TRUE(AqWave_IsOver(wave));
    AqWave_Destroy(wave);
}

/* Guards against a damaged wave record that changes the states of VMs. */
static void
test_wave_record(void)
{
    AqWave *wave = make_wave(2, 20000);
    AqWave *other = make_wave(2, 20000);
    AqBuffer bytes;
    AqBuffer_Init(&bytes);
    AqWave_Set(wave, 1, AQ_WAVE_BEGUN);
    AqWave_Set(wave, 2, AQ_WAVE_DONE);
    AqWave_Encode(wave, &bytes);
    CU_ASSERT_FALSE(AqWave_Decode(other, bytes.bytes, bytes.size - 1));
    CU_ASSERT_EQUAL(AqWave_State(other, 1), AQ_WAVE_WAITING);
    CU_ASSERT_TRUE(AqWave_Decode(other, bytes.bytes, bytes.size));
    CU_ASSERT_EQUAL(AqWave_State(other, 1), AQ_WAVE_BEGUN);
    CU_ASSERT_EQUAL(AqWave_State(other, 2), AQ_WAVE_DONE);
    AqBuffer_Clear(&bytes);
    AqWave_Destroy(wave);
    AqWave_Destroy(other);
}

/* Guards against a wave that misses its deadline because VMs are drained one
 * by one, and against a pool that drains most of its VMs together. */
static void
test_wave_pace(void)
{
    static const struct {
        AqTime now;
        size_t waiting;
        size_t pool;
        size_t parallel;
    } cases[] = {
        /* 20 s left until the wave's deadline for 4 VMs: three rounds of
         * maintenance of 5 s and one in reserve, so two VMs may drain at the
         * same time */
        {0, 4, 12, 2},
        /* 20 s left until the wave's deadline for one VM, which may drain */
        {0, 1, 12, 1},
        /* 8 s left until the wave's deadline for 4 VMs: all may drain at the
         * same time, which are a third of the pool's 12 VMs */
        {12000, 4, 12, 4},
        /* 1 s left until the wave's deadline for 4 VMs: still only a third of
         * the pool's 9 VMs may drain at the same time */
        {19000, 4, 9, 3},
        /* 1 s left until the wave's deadline for 4 VMs: one VM may drain,
         * although a third of the pool's 2 VMs is less */
        {19000, 4, 2, 1},
    };
    AqWave *wave = make_wave(4, 20000);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(AqWave_MaxDrains(wave, cases[i].waiting, cases[i].pool,
                                         cases[i].now),
                        cases[i].parallel);
    }
    CU_ASSERT_FALSE(AqWave_MustStopTasks(wave, 1, 0, 3000));
    CU_ASSERT_TRUE(AqWave_MustStopTasks(wave, 1, 0, 6000));
    CU_ASSERT_TRUE(AqWave_MustStopTasks(wave, 4, 17000, 19000));
    AqWave_Destroy(wave);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"job_round_trip", test_job_round_trip},
        {"damaged_job", test_damaged_job},
        {"job_limits", test_job_limits},
        {"damaged_stage", test_damaged_stage},
        {"machine_requests", test_machine_requests},
        {"queue_match", test_queue_match},
        {"wave_slots", test_wave_slots},
        {"wave_record", test_wave_record},
        {"wave_pace", test_wave_pace},
    };
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("records", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
