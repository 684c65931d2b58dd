#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_test_http.h"
#include "demo.h"

#define READY_MS 20000

static const char *endpoint_program;

/* One way in which a run of the demo can have gone; zero is a good run. */
typedef struct {
    const char *name;
    const char *not_run; /* id that a caller was told not-run, or NULL */
    int more_runs;       /* of the id n-x, which runs once */
    int wrong;
    int closed[DEMO_DAEMONS];
    int no_answer; /* on the daemon that is kept */
    int fewer;     /* VMs below the budget of the first pool */
    int wrong_pool;
    int reverted;
    int stop_status;
    bool second_accepted; /* the drain over the budget */
    bool not_drained;
    bool held;
} DemoCase;

static const DemoCase cases[] = {
    {.name = "good", .held = true},
    {.name = "closed by SIGKILL", .held = true, .closed = {7, 0, 0}},
    {.name = "not run, told so", .held = true, .not_run = "n-y"},
    {.name = "not run, but run", .not_run = "n-x"},
    {.name = "run twice", .more_runs = 1},
    {.name = "wrong answer", .wrong = 1},
    {.name = "closed by SIGTERM", .closed = {0, 1, 0}},
    {.name = "closed by the kept daemon", .closed = {0, 0, 1}},
    {.name = "no answer", .no_answer = 1},
    {.name = "low capacity", .fewer = 1},
    {.name = "capacity not read", .fewer = DEMO_MIN_SERVING + 1},
    {.name = "VM without its pool", .wrong_pool = 1},
    {.name = "reverted", .reverted = 1},
    {.name = "over the budget", .second_accepted = true},
    {.name = "failed stop", .stop_status = 1},
    {.name = "never drained", .not_drained = true},
};

static void
write_summary(const char *directory, const char *pool, const DemoCase *run)
{
    char path[128];
    json_t *ids = json_array();
    json_t *daemons = json_array();
    if (run->not_run != NULL) {
        json_array_append_new(ids, json_string(run->not_run));
    }
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        json_array_append_new(daemons,
                              json_pack("{s:i s:i s:i}", "closed",
                                        run->closed[i], "cut", 0, "no_answer",
                                        i == DEMO_KEPT ? run->no_answer : 0));
    }
    json_t *summary =
        json_pack("{s:i s:i s:o s:o}", "completed", 1, "wrong", run->wrong,
                  "not_run_ids", ids, "daemons", daemons);
    snprintf(path, sizeof(path), "%s/caller-%s.json", directory, pool);
    CU_ASSERT_EQUAL(json_dump_file(summary, path, 0), 0);
    json_decref(summary);
}

static void
remove_summaries(const char *directory)
{
    for (int i = 0; i < DEMO_POOLS; i++) {
        char path[128];
        snprintf(path, sizeof(path), "%s/caller-%s.json", directory,
                 Demo_PoolName(i));
        unlink(path);
    }
    rmdir(directory);
}

static AqProcess *
start_endpoint(int runs)
{
    const char *const argv[] = {endpoint_program, "--port=0", "--service-ms=0",
                                NULL};
    static const char *const headers[] = {"Aq-Request-Id: n-x", NULL};
    char url[64];
    AqError error = {0};
    AqProcess *process = AqProcess_Spawn(argv, NULL, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(process);
    CU_ASSERT_TRUE_FATAL(AqProcess_WaitReady(process, READY_MS, &error));
    snprintf(url, sizeof(url), "http://%s/",
             AqProcess_Address(process, "endpoint0"));
    for (int i = 0; i < runs; i++) {
        AqTestHttpCall call = {
            .method = "GET", .url = url, .headers = headers};
        AqTestHttpReply reply = {0};
        CU_ASSERT_TRUE(AqTestHttp_Call(&call, &reply, &error));
        AqTestHttpReply_Clear(&reply);
    }
    return process;
}

/* The report on one run. */
static bool
report(const DemoCase *run)
{
    char directory[] = "/tmp/aq-demo-test-XXXXXX";
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(directory));
    Demo demo = {
        .options = {.directory = directory},
        .drain_started = 1,
        .drain_accepted = 2,
        .refuse = {.ended = true, .status = run->second_accepted ? 0 : 3},
        .observed = {
            .lowest = {DEMO_MIN_SERVING - run->fewer, DEMO_MIN_SERVING},
            .drained_at = run->not_drained ? 0 : 3,
            .wrong_pool = (uint64_t)run->wrong_pool,
            .reverted = (uint64_t)run->reverted}};
    demo.daemons[DEMO_STOPPED].ended = true;
    demo.daemons[DEMO_STOPPED].status = run->stop_status;
    demo.endpoints.process = start_endpoint(1 + run->more_runs);
    /* Any running process stands for the daemon that is kept. */
    demo.daemons[DEMO_KEPT].process = demo.endpoints.process;
    for (int i = 0; i < DEMO_POOLS; i++) {
        write_summary(directory, Demo_PoolName(i), run);
    }
    bool held = Demo_Report(&demo);
    AqProcess_Destroy(demo.endpoints.process);
    remove_summaries(directory);
    return held;
}

/* Guards against a demo that ends with success although an invariant did not
 * hold or a step did not happen. */
static void
test_report(void)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        printf("\n%s:", cases[i].name);
        CU_ASSERT_EQUAL(report(&cases[i]), cases[i].held);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 2) {
        fprintf(stderr, "usage: test_demo ENDPOINT\n");
        return 2;
    }
    endpoint_program = argv[1];
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("demo", NULL, NULL);
    CU_ADD_TEST(suite, test_report);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
