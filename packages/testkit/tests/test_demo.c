#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_test_http.h"
#include "demo.h"

/* Time limit for the start of the endpoint. */
#define READY_MS 20000

static const char *endpoint_program;

/* Simulated results of a run of the demo, as input of the report; a field that
 * is zero describes a run without that fault. */
typedef struct {
    const char *name;
    /* Id, a static string, of a request that the daemons answered with the
     * outcome "not-run"; NULL for no such request. */
    const char *not_run;
    /* Number of runs of the request with the id n-x after its first run. */
    int extra_runs;
    /* Number of responses that the summary of each caller reports as wrong. */
    int wrong;
    /* Number of connections that each daemon closed without a response. */
    int closed[DEMO_DAEMONS];
    /* Number of requests to daemon DEMO_KEPT that got no response. */
    int no_answer;
    /* Number of VMs by which the serving VMs of the first pool fall below
     * DEMO_MIN_SERVING. */
    int missing_vms;
    /* Number of VM records read that do not name the VM's pool. */
    int wrong_pool;
    /* Number of VM lists read that showed the drained VM as serving more than
     * 4 s after the drain was accepted. */
    int reverted;
    int stop_status; /* exit status of the daemon to which SIGTERM was sent */
    /* Whether the daemon accepts the second drain, which exceeds the budget
     * (DEMO_MIN_SERVING). */
    bool is_second_drain_accepted;
    /* Whether no daemon ever reports the drained VM as drained. */
    bool is_never_drained;
    bool is_success; /* expected result of Demo_Report */
} DemoCase;

static const DemoCase cases[] = {
    {.name = "good", .is_success = true},
    {.name = "closed by SIGKILL", .is_success = true, .closed = {7, 0, 0}},
    {.name = "not run, answered not-run",
     .is_success = true,
     .not_run = "n-y"},
    {.name = "run, but answered not-run", .not_run = "n-x"},
    {.name = "run twice", .extra_runs = 1},
    {.name = "wrong response", .wrong = 1},
    {.name = "closed by SIGTERM", .closed = {0, 1, 0}},
    {.name = "closed by the kept daemon", .closed = {0, 0, 1}},
    {.name = "no response", .no_answer = 1},
    {.name = "low capacity", .missing_vms = 1},
    {.name = "capacity not read", .missing_vms = DEMO_MIN_SERVING + 1},
    {.name = "VM without its pool", .wrong_pool = 1},
    {.name = "reverted", .reverted = 1},
    {.name = "over the budget", .is_second_drain_accepted = true},
    {.name = "failed stop", .stop_status = 1},
    {.name = "never drained", .is_never_drained = true},
};

/* Writes the summary file that a caller of the pool would leave after a run of
 * the demo. */
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

/* Starts an endpoint and makes it run the request with the id n-x the given
 * number of times. */
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

/* Creates the files, endpoint and Demo that a run of the demo would leave
 * behind, and returns the result of Demo_Report for this run. */
static bool
run_report(const DemoCase *run)
{
    char directory[] = "/tmp/aq-demo-test-XXXXXX";
    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(directory));
    Demo demo = {
        .options = {.directory = directory},
        .drain_started = 1,
        .drain_accepted = 2,
        .second_drain = {.ended = true,
                         .status = run->is_second_drain_accepted ? 0 : 3},
        .observed = {.lowest_serving = {DEMO_MIN_SERVING - run->missing_vms,
                                        DEMO_MIN_SERVING},
                     .drained_at = run->is_never_drained ? 0 : 3,
                     .wrong_pool = (uint64_t)run->wrong_pool,
                     .reverted = (uint64_t)run->reverted}};
    demo.daemons[DEMO_STOPPED].ended = true;
    demo.daemons[DEMO_STOPPED].status = run->stop_status;
    demo.endpoints.process = start_endpoint(1 + run->extra_runs);
    /* Demo_Report only checks that the process of daemon DEMO_KEPT is running,
     * so that the endpoint's process can take its place. */
    demo.daemons[DEMO_KEPT].process = demo.endpoints.process;
    for (int i = 0; i < DEMO_POOLS; i++) {
        write_summary(directory, Demo_PoolName(i), run);
    }
    bool is_success = Demo_Report(&demo);
    AqProcess_Destroy(demo.endpoints.process);
    remove_summaries(directory);
    return is_success;
}

/* Guards against a demo that ends with success although an invariant did not
 * hold or a step did not happen. */
static void
test_report(void)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        printf("\n%s:", cases[i].name);
        CU_ASSERT_EQUAL(run_report(&cases[i]), cases[i].is_success);
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
