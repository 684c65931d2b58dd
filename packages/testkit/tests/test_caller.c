#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_test_response.h"
#include "aq_test_server.h"
#include "testkit_cases.h"

/* Kinds of valid and invalid responses.  The simulated daemon sends the kinds
 * in this order and then starts again with the first. */
typedef enum {
    RESPONSE_RIGHT,
    RESPONSE_NOT_RUN,
    RESPONSE_NOT_RUN_NO_TIME, /* a not-run response without Retry-After */
    RESPONSE_UNKNOWN,
    RESPONSE_OTHER_ID, /* the header Aq-Request-Id names another request */
    /* The header Aq-Request-Id is right, but the body is for another
     * request. */
    RESPONSE_OTHER_BODY,
    RESPONSE_NO_OUTCOME,
    RESPONSE_DAMAGED,
    RESPONSE_CUT,
    RESPONSE_CLOSED,
    RESPONSE_KIND_COUNT
} ResponseKind;

/* Simulated daemon and the aq-caller process that sends requests to it. */
typedef struct {
    AqTestLoop *loop;
    AqTestServer *server;
    /* Event source for the end of the aq-caller process. */
    AqLoopSource caller_end;
    AqProcess *caller;
    bool ended; /* whether the aq-caller process has ended */
    int status; /* exit status of the aq-caller process */
    /* Number of responses of each kind that the simulated daemon has sent. */
    int response_counts[RESPONSE_KIND_COUNT];
    /* Number of the next response that the simulated daemon sends, counted
     * from 0. */
    unsigned next_response;
    /* The daemon sends the first kind_count kinds of ResponseKind. */
    unsigned kind_count;
    /* Request id -> whether the simulated daemon answered the request, and a
     * second copy with the same id, with the outcome "not-run" each time;
     * owned. */
    json_t *not_run;
    /* Whether aq-caller sends each request twice with the same request id,
     * both times to this daemon. */
    bool sends_copies;
    /* Number of requests after which aq-caller is sent SIGTERM; 0: not
     * sent. */
    int stop_after;
} FakeDaemon;

/* Returns the value of the header Aq-Outcome for a kind of response. */
static const char *
outcome_of(ResponseKind kind)
{
    switch (kind) {
    case RESPONSE_NOT_RUN:
    case RESPONSE_NOT_RUN_NO_TIME:
        return "not-run";
    case RESPONSE_UNKNOWN:
        return "unknown";
    case RESPONSE_NO_OUTCOME:
        return "";
    default:
        return "completed";
    }
}

/* Records in daemon->not_run whether the simulated daemon answered a request,
 * or one of its two copies with the same id, with the outcome "not-run". */
static void
record_not_run(FakeDaemon *daemon, const char *id, bool not_run)
{
    const json_t *before = json_object_get(daemon->not_run, id);
    json_object_set_new(daemon->not_run, id,
                        json_boolean(not_run && !json_is_false(before)));
}

static void
respond(void *context, AqTestRequest *request)
{
    FakeDaemon *daemon = context;
    ResponseKind kind =
        (ResponseKind)(daemon->next_response++ % daemon->kind_count);
    const char *id = AqTestRequest_Header(request, "Aq-Request-Id");
    const AqBuffer *body = AqTestRequest_Body(request);
    AqBuffer response;
    if (strcmp(AqTestRequest_Path(request), "/readyz") == 0) {
        AqTestRequest_Reply(request, 200, "", 0);
        return;
    }
    daemon->response_counts[kind]++;
    record_not_run(daemon, id, kind == RESPONSE_NOT_RUN);
    if (daemon->stop_after > 0 && --daemon->stop_after == 0) {
        AqError error;
        AqProcess_Signal(daemon->caller, SIGTERM, &error);
    }
    AqBuffer_Init(&response);
    AqTestResponse_Build(&response, kind == RESPONSE_OTHER_BODY ? "x" : id,
                         body->bytes, body->size, 200);
    if (kind == RESPONSE_DAMAGED) {
        response.bytes[response.size / 2] ^= 1;
    }
    AqTestRequest_AddHeader(request, "Aq-Outcome", outcome_of(kind));
    AqTestRequest_AddHeader(request, "Aq-Request-Id",
                            kind == RESPONSE_OTHER_ID ? "x" : id);
    if (kind == RESPONSE_NOT_RUN) {
        AqTestRequest_AddHeader(request, "Retry-After", "1");
        AqTestRequest_AddHeader(request, "Aq-Retry-After-Ms", "1000");
    }
    if (kind == RESPONSE_CLOSED) {
        AqTestRequest_Close(request);
    }
    else if (kind == RESPONSE_CUT) {
        AqTestRequest_ReplyCut(request, 200, response.bytes, response.size);
    }
    else {
        AqTestRequest_Reply(request, 200, response.bytes, response.size);
    }
    AqBuffer_Clear(&response);
}

static const AqTestServerOps daemon_ops = {.request = respond};

/* Records that aq-caller has ended. */
static void
on_caller_end(AqLoopSource *source)
{
    FakeDaemon *daemon = AqList_Entry(source, FakeDaemon, caller_end);
    AqError error;
    daemon->ended =
        daemon->ended ||
        AqProcess_WaitExit(daemon->caller, 0, &daemon->status, &error);
}

/* Runs aq-caller for a number of seconds against the simulated daemon and,
 * unless NULL, the daemon at the address second_daemon.  Returns the summary
 * of aq-caller as a new reference. */
static json_t *
run_caller(FakeDaemon *daemon, const char *seconds, const char *second_daemon)
{
    char address[32];
    char output[] = "/tmp/aq-caller-test-XXXXXX";
    AqError error = {0};
    int fd = mkstemp(output);
    CU_ASSERT_TRUE_FATAL(fd >= 0);
    close(fd);
    daemon->loop = AqTestLoop_Create();
    daemon->server =
        AqTestServer_Create(daemon->loop, 0, &daemon_ops, daemon, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(daemon->server);
    snprintf(address, sizeof(address), "127.0.0.1:%d",
             AqTestServer_Port(daemon->server));
    const char *second = daemon->sends_copies ? address : second_daemon;
    daemon->not_run = json_object();
    daemon->status = -1;
    daemon->caller = start_program(
        caller_program, "--port=0", "--daemon", address, "--rate=300",
        "--service=s", daemon->sends_copies ? "--repeat=100" : "--repeat=0",
        "--check-ms=0", "--seconds", seconds, "--output", output,
        second != NULL ? "--daemon" : NULL, second, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(daemon->caller);
    daemon->caller_end = (AqLoopSource){
        .fd = AqProcess_EndDescriptor(daemon->caller), .run = on_caller_end};
    AqList_Init(&daemon->caller_end.link);
    AqTestLoop_AddSource(daemon->loop, &daemon->caller_end);
    CU_ASSERT_TRUE(AqTestLoop_RunUntil(daemon->loop, &daemon->ended, 60000));
    CU_ASSERT_EQUAL(daemon->status, 0);
    AqProcess_Destroy(daemon->caller);
    AqTestServer_Destroy(daemon->server);
    AqTestLoop_Destroy(daemon->loop);
    json_t *summary = json_load_file(output, 0, NULL);
    unlink(output);
    CU_ASSERT_PTR_NOT_NULL_FATAL(summary);
    return summary;
}

/* Guards against a response that aq-caller counts as the wrong kind of result,
 * which would hide a broken invariant. */
static void
test_classification(void)
{
    FakeDaemon daemon = {.kind_count = RESPONSE_KIND_COUNT};
    json_t *summary = run_caller(&daemon, "0.5", NULL);
    const int *response_counts = daemon.response_counts;
    CU_ASSERT_TRUE(response_counts[RESPONSE_CLOSED] > 0);
    CU_ASSERT_EQUAL(int_at(summary, "completed"),
                    response_counts[RESPONSE_RIGHT]);
    CU_ASSERT_EQUAL(int_at(summary, "not_run"),
                    response_counts[RESPONSE_NOT_RUN] +
                        response_counts[RESPONSE_NOT_RUN_NO_TIME]);
    CU_ASSERT_EQUAL(int_at(summary, "no_retry_after"),
                    response_counts[RESPONSE_NOT_RUN_NO_TIME]);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(summary, "not_run_ids")),
                    (size_t)int_at(summary, "not_run"));
    CU_ASSERT_EQUAL(int_at(summary, "unknown"),
                    response_counts[RESPONSE_UNKNOWN]);
    CU_ASSERT_EQUAL(int_at(summary, "wrong"),
                    response_counts[RESPONSE_OTHER_ID] +
                        response_counts[RESPONSE_OTHER_BODY] +
                        response_counts[RESPONSE_NO_OUTCOME]);
    CU_ASSERT_EQUAL(int_at(summary, "cut"),
                    response_counts[RESPONSE_CUT] +
                        response_counts[RESPONSE_DAMAGED]);
    CU_ASSERT_EQUAL(int_at(summary, "closed"),
                    response_counts[RESPONSE_CLOSED]);
    CU_ASSERT_EQUAL(int_at(summary, "in_flight"), 0);
    json_decref(daemon.not_run);
    json_decref(summary);
}

/* Guards against requests that are lost, or counted with the result "closed",
 * when a daemon refuses connections. */
static void
test_refused_daemon(void)
{
    FakeDaemon daemon = {.kind_count = 1};
    /* Nothing listens on port 9, the discard port. */
    json_t *summary = run_caller(&daemon, "0.5", "127.0.0.1:9");
    CU_ASSERT_TRUE(int_at(summary, "sent") > 0);
    CU_ASSERT_EQUAL(int_at(summary, "completed"), int_at(summary, "sent"));
    CU_ASSERT_TRUE(int_at(summary, "reconnected") > 0);
    CU_ASSERT_EQUAL(int_at(summary, "unsent"), 0);
    json_decref(daemon.not_run);
    json_decref(summary);
}

/* Guards against a request id that the summary of aq-caller lists as not run
 * although one of the two copies sent with this id ran, and against a request
 * id that is missing from the list. */
static void
test_repeats(void)
{
    FakeDaemon daemon = {.kind_count = 2, .sends_copies = true};
    json_t *summary = run_caller(&daemon, "0.5", NULL);
    const json_t *listed = json_object_get(summary, "not_run_ids");
    size_t expected = 0;
    size_t i;
    const char *id;
    json_t *value;
    json_object_foreach(daemon.not_run, id, value)
    {
        expected += json_is_true(value);
    }
    json_array_foreach(listed, i, value)
    {
        CU_ASSERT_TRUE(json_is_true(
            json_object_get(daemon.not_run, json_string_value(value))));
    }
    CU_ASSERT_EQUAL(json_array_size(listed), expected);
    CU_ASSERT_EQUAL((size_t)int_at(summary, "sent"),
                    2 * json_object_size(daemon.not_run));
    CU_ASSERT_TRUE(int_at(summary, "not_run") > (int64_t)expected);
    json_decref(daemon.not_run);
    json_decref(summary);
}

/* Guards against an aq-caller process that loses its counts when SIGTERM stops
 * the process before all requests are sent. */
static void
test_stopped_caller(void)
{
    FakeDaemon daemon = {.kind_count = 1, .stop_after = 10};
    json_t *summary = run_caller(&daemon, "600", NULL);
    CU_ASSERT_TRUE(int_at(summary, "sent") >= 10);
    CU_ASSERT_TRUE(int_at(summary, "completed") > 0);
    CU_ASSERT_EQUAL(int_at(summary, "completed") +
                        int_at(summary, "in_flight"),
                    int_at(summary, "sent"));
    json_decref(daemon.not_run);
    json_decref(summary);
}

void
add_caller_suite(void)
{
    CU_pSuite suite = CU_add_suite("caller", NULL, NULL);
    CU_ADD_TEST(suite, test_classification);
    CU_ADD_TEST(suite, test_refused_daemon);
    CU_ADD_TEST(suite, test_repeats);
    CU_ADD_TEST(suite, test_stopped_caller);
}
