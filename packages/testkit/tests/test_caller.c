#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_test_response.h"
#include "aq_test_server.h"
#include "testkit_cases.h"

/* A daemon whose answers go through the ways in which an answer can be right
 * or wrong, in turn. */
typedef enum {
    ANSWER_RIGHT,
    ANSWER_NOT_RUN,
    ANSWER_NOT_RUN_NO_TIME, /* without Retry-After */
    ANSWER_UNKNOWN,
    ANSWER_OTHER_ID,   /* of the header */
    ANSWER_OTHER_BODY, /* another request's answer under the right id */
    ANSWER_NO_OUTCOME,
    ANSWER_DAMAGED,
    ANSWER_CUT,
    ANSWER_CLOSED,
    ANSWER_KINDS
} AnswerKind;

typedef struct {
    AqTestLoop *loop;
    AqTestServer *server;
    AqLoopSource caller_end;
    AqProcess *caller;
    bool ended;
    int status; /* of the caller */
    int given[ANSWER_KINDS];
    unsigned next;
    unsigned kinds;  /* answers in turn: the first ones of AnswerKind */
    json_t *not_run; /* id -> whether every copy was not run; new */
    bool twice;      /* each id is sent twice, both times to this daemon */
    int stop_after;  /* requests until SIGTERM; 0: never */
} FakeDaemon;

static const char *
outcome_of(AnswerKind kind)
{
    switch (kind) {
    case ANSWER_NOT_RUN:
    case ANSWER_NOT_RUN_NO_TIME:
        return "not-run";
    case ANSWER_UNKNOWN:
        return "unknown";
    case ANSWER_NO_OUTCOME:
        return "";
    default:
        return "completed";
    }
}

static void
note_not_run(FakeDaemon *daemon, const char *id, bool not_run)
{
    const json_t *before = json_object_get(daemon->not_run, id);
    json_object_set_new(daemon->not_run, id,
                        json_boolean(not_run && !json_is_false(before)));
}

static void
answer_request(void *context, AqTestRequest *request)
{
    FakeDaemon *daemon = context;
    AnswerKind kind = (AnswerKind)(daemon->next++ % daemon->kinds);
    const char *id = AqTestRequest_Header(request, "Aq-Request-Id");
    const AqBuffer *body = AqTestRequest_Body(request);
    AqBuffer answer;
    if (strcmp(AqTestRequest_Path(request), "/readyz") == 0) {
        AqTestRequest_Reply(request, 200, "", 0);
        return;
    }
    daemon->given[kind]++;
    note_not_run(daemon, id, kind == ANSWER_NOT_RUN);
    if (daemon->stop_after > 0 && --daemon->stop_after == 0) {
        AqError error;
        AqProcess_Signal(daemon->caller, SIGTERM, &error);
    }
    AqBuffer_Init(&answer);
    AqTestResponse_Build(&answer, kind == ANSWER_OTHER_BODY ? "x" : id, body->bytes,
                   body->size, 200);
    if (kind == ANSWER_DAMAGED) {
        answer.bytes[answer.size / 2] ^= 1;
    }
    AqTestRequest_AddHeader(request, "Aq-Outcome", outcome_of(kind));
    AqTestRequest_AddHeader(request, "Aq-Request-Id",
                            kind == ANSWER_OTHER_ID ? "x" : id);
    if (kind == ANSWER_NOT_RUN) {
        AqTestRequest_AddHeader(request, "Retry-After", "1");
        AqTestRequest_AddHeader(request, "Aq-Retry-After-Ms", "1000");
    }
    if (kind == ANSWER_CLOSED) {
        AqTestRequest_Close(request);
    }
    else if (kind == ANSWER_CUT) {
        AqTestRequest_ReplyCut(request, 200, answer.bytes, answer.size);
    }
    else {
        AqTestRequest_Reply(request, 200, answer.bytes, answer.size);
    }
    AqBuffer_Clear(&answer);
}

static const AqTestServerOps daemon_ops = {.request = answer_request};

static void
note_end(AqLoopSource *source)
{
    FakeDaemon *daemon = AqList_Entry(source, FakeDaemon, caller_end);
    int status;
    AqError error;
    daemon->ended = daemon->ended ||
                    AqProcess_WaitExit(daemon->caller, 0, &status, &error);
}

/* Runs aq-caller against the fake daemon; its summary. */
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
    const char *second = daemon->twice ? address : second_daemon;
    daemon->not_run = json_object();
    daemon->caller = start_program(
        caller_program, "--port=0", "--daemon", address, "--rate=300",
        "--service=s", daemon->twice ? "--repeat=100" : "--repeat=0",
        "--check-ms=0", "--seconds", seconds, "--output", output,
        second != NULL ? "--daemon" : NULL, second, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(daemon->caller);
    daemon->caller_end = (AqLoopSource){
        .fd = AqProcess_EndDescriptor(daemon->caller), .run = note_end};
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

/* Guards against an answer that the caller counts under another heading, so
 * that a broken invariant would not be seen. */
static void
test_classification(void)
{
    FakeDaemon daemon = {.kinds = ANSWER_KINDS};
    json_t *summary = run_caller(&daemon, "0.5", NULL);
    const int *given = daemon.given;
    CU_ASSERT_TRUE(given[ANSWER_CLOSED] > 0);
    CU_ASSERT_EQUAL(int_at(summary, "completed"), given[ANSWER_RIGHT]);
    CU_ASSERT_EQUAL(int_at(summary, "not_run"),
                    given[ANSWER_NOT_RUN] + given[ANSWER_NOT_RUN_NO_TIME]);
    CU_ASSERT_EQUAL(int_at(summary, "no_retry_after"),
                    given[ANSWER_NOT_RUN_NO_TIME]);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(summary, "not_run_ids")),
                    (size_t)int_at(summary, "not_run"));
    CU_ASSERT_EQUAL(int_at(summary, "unknown"), given[ANSWER_UNKNOWN]);
    CU_ASSERT_EQUAL(int_at(summary, "wrong"), given[ANSWER_OTHER_ID] +
                                                  given[ANSWER_OTHER_BODY] +
                                                  given[ANSWER_NO_OUTCOME]);
    CU_ASSERT_EQUAL(int_at(summary, "cut"),
                    given[ANSWER_CUT] + given[ANSWER_DAMAGED]);
    CU_ASSERT_EQUAL(int_at(summary, "closed"), given[ANSWER_CLOSED]);
    CU_ASSERT_EQUAL(int_at(summary, "in_flight"), 0);
    json_decref(daemon.not_run);
    json_decref(summary);
}

/* Guards against requests that are lost, or counted as closed, when a daemon
 * refuses connections. */
static void
test_refused_daemon(void)
{
    FakeDaemon daemon = {.kinds = 1};
    /* The discard port, where nothing listens. */
    json_t *summary = run_caller(&daemon, "0.5", "127.0.0.1:9");
    CU_ASSERT_TRUE(int_at(summary, "sent") > 0);
    CU_ASSERT_EQUAL(int_at(summary, "completed"), int_at(summary, "sent"));
    CU_ASSERT_TRUE(int_at(summary, "reconnected") > 0);
    CU_ASSERT_EQUAL(int_at(summary, "unsent"), 0);
    json_decref(daemon.not_run);
    json_decref(summary);
}

/* Guards against an id listed as not run although one of its copies ran, and
 * against one that is left out. */
static void
test_repeats(void)
{
    FakeDaemon daemon = {.kinds = 2, .twice = true};
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

/* Guards against a caller that loses its counts when it is stopped before its
 * time. */
static void
test_stopped_caller(void)
{
    FakeDaemon daemon = {.kinds = 1, .stop_after = 10};
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
