#include <stdio.h>
#include <string.h>

#include "aq_test_response.h"
#include "testkit_cases.h"

static AqProcess *endpoint;

static int
set_up(void)
{
    endpoint = start_program(endpoint_program, "--port", "0", "--slots", "1",
                             "--service-ms", "1", "--count", "2", NULL);
    return endpoint == NULL;
}

static int
tear_down(void)
{
    return !stop_program(endpoint);
}

/* HTTP call to the first endpoint, with the strings that the call refers
 * to. */
typedef struct {
    char id[64];
    char id_header[96];
    const char *headers[3];
    AqTestHttpCall call;
} EndpointCall;

static void
prepare_call(EndpointCall *call, const char *id, const char *path,
             const char *body)
{
    memset(call, 0, sizeof(*call));
    snprintf(call->id, sizeof(call->id), "%s", id);
    snprintf(call->id_header, sizeof(call->id_header), "Aq-Request-Id: %s",
             id);
    call->headers[0] = call->id_header;
    call->headers[1] = "Aq-Attempt-Id: attempt-7";
    call->call.method = "POST";
    call->call.url = url_of(endpoint, "endpoint0", path);
    call->call.headers = call->headers;
    call->call.body = body;
    call->call.size = strlen(body);
}

static json_t *
read_runs(void)
{
    return call_json("GET", url_of(endpoint, "control", "/test/v1/runs?ids"),
                     NULL);
}

/* Returns the number of runs of the request with this id. */
static int64_t
runs_of(const char *id)
{
    json_t *runs = read_runs();
    int64_t n = json_integer_value(
        json_object_get(json_object_get(runs, "counts"), id));
    json_decref(runs);
    return n;
}

/* Guards against AqTestResponse_Check taking a response to another request, or
 * a truncated or modified response, for the intact response to a request. */
static void
test_response_check(void)
{
    AqBuffer response;
    AqBuffer_Init(&response);
    AqTestResponse_Build(&response, "id", "body", 4, 100);
    CU_ASSERT_TRUE(response.size >= 100);
    const char *bytes = response.bytes;
    size_t size = response.size;
    CU_ASSERT_EQUAL(AqTestResponse_Check(bytes, size, "id", "body", 4),
                    AQ_RESPONSE_OWN);
    CU_ASSERT_EQUAL(AqTestResponse_Check(bytes, size, "i", "body", 4),
                    AQ_RESPONSE_FOREIGN);
    CU_ASSERT_EQUAL(AqTestResponse_Check(bytes, size, "id", "bodx", 4),
                    AQ_RESPONSE_FOREIGN);
    CU_ASSERT_EQUAL(AqTestResponse_Check(bytes, size - 1, "id", "body", 4),
                    AQ_RESPONSE_DAMAGED);
    response.bytes[70] = 'y';
    CU_ASSERT_EQUAL(AqTestResponse_Check(bytes, size, "id", "body", 4),
                    AQ_RESPONSE_DAMAGED);
    AqBuffer_Clear(&response);
}

/* Guards against an endpoint whose response cannot be matched to its request,
 * and against runs of requests that are not counted. */
static void
test_own_response(void)
{
    EndpointCall call;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    char attempt[32] = "";
    prepare_call(&call, "own", "/any/path", "payload");
    for (int i = 1; i <= 2; i++) {
        CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
        CU_ASSERT_EQUAL(reply.status, 200);
        CU_ASSERT_EQUAL(AqTestResponse_Check(reply.body.bytes, reply.body.size,
                                             "own", "payload", 7),
                        AQ_RESPONSE_OWN);
        CU_ASSERT_TRUE(AqTestHttpReply_Header(&reply, "aq-attempt-id", attempt,
                                              sizeof(attempt)));
        CU_ASSERT_STRING_EQUAL(attempt, "attempt-7");
        AqTestHttpReply_Clear(&reply);
        CU_ASSERT_EQUAL(runs_of("own"), i);
    }
}

/* Guards against a fault "crossed" without effect: the response must not pass
 * as the response to the test's own request. */
static void
test_crossed_response(void)
{
    EndpointCall call;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    char attempt[32] = "";
    prepare_call(&call, "crossed", "/", "");
    post_control(endpoint, "/test/v1/faults",
                 "{\"crossed\": 1, \"endpoint\": 0}");
    CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
    AqTestHttpReply_Header(&reply, "Aq-Attempt-Id", attempt, sizeof(attempt));
    CU_ASSERT_STRING_NOT_EQUAL(attempt, "attempt-7");
    CU_ASSERT_EQUAL(AqTestResponse_Check(reply.body.bytes, reply.body.size,
                                         "crossed", "", 0),
                    AQ_RESPONSE_FOREIGN);
    AqTestHttpReply_Clear(&reply);
}

/* Guards against a request that is rejected for lack of a free slot but runs
 * nevertheless, and against wrong reported maxima of slots and connections in
 * use. */
static void
test_not_run(void)
{
    EndpointCall slow;
    EndpointCall refused;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    char header[8] = "";
    AqTestHttpClient *client = AqTestHttpClient_Create();
    prepare_call(&slow, "slow", "", "");
    prepare_call(&refused, "refused", "", "");
    /* The calls go to the second endpoint, so that the only slot of the first
     * endpoint stays free for the other tests. */
    slow.call.url = url_of(endpoint, "endpoint1", "/?service_ms=600000");
    refused.call.url = url_of(endpoint, "endpoint1", "/");
    CU_ASSERT_TRUE(AqTestHttpClient_Start(client, &slow.call, &error));
    while (runs_of("slow") == 0) {
    }
    CU_ASSERT_TRUE(AqTestHttp_Call(&refused.call, &reply, &error));
    CU_ASSERT_EQUAL(reply.status, 503);
    CU_ASSERT_TRUE(
        AqTestHttpReply_Header(&reply, "Aq-Not-Run", header, sizeof(header)));
    CU_ASSERT_STRING_EQUAL(header, "1");
    AqTestHttpReply_Clear(&reply);
    CU_ASSERT_EQUAL(runs_of("refused"), 0);
    json_t *runs = read_runs();
    const json_t *second =
        json_array_get(json_object_get(runs, "endpoints"), 1);
    CU_ASSERT_EQUAL(int_at(second, "max_slots"), 1);
    CU_ASSERT_EQUAL(int_at(second, "max_connections"), 2);
    CU_ASSERT_EQUAL(int_at(second, "not_run"), 1);
    json_decref(runs);
    AqTestHttpClient_Destroy(client);
}

/* Guards against a connection closed at the wrong moment: the record of runs
 * must show whether the request ran before the close. */
static void
test_close_modes(void)
{
    static const struct {
        const char *mode;
        int64_t runs;
    } cases[] = {{"before-reading", 0},
                 {"in-body", 0},
                 {"before-answer", 1},
                 {"inside-answer", 1}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        EndpointCall call;
        AqTestHttpReply reply = {0};
        AqError error = {0};
        char faults[96];
        prepare_call(&call, cases[i].mode, "/", "some body");
        snprintf(faults, sizeof(faults),
                 "{\"close\": \"%s\", \"close_count\": 1, \"endpoint\": 0}",
                 cases[i].mode);
        post_control(endpoint, "/test/v1/faults", faults);
        CU_ASSERT_FALSE(AqTestHttp_Call(&call.call, &reply, &error));
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_PROTOCOL);
        CU_ASSERT_EQUAL(runs_of(cases[i].mode), cases[i].runs);
        CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
        CU_ASSERT_EQUAL(runs_of(cases[i].mode), cases[i].runs + 1);
        AqTestHttpReply_Clear(&reply);
    }
    post_control(endpoint, "/test/v1/faults", "{\"close\": \"none\"}");
}

/* Guards against a silenced endpoint connection that is closed or carries a
 * response, and against silence on connections opened later. */
static void
test_silent_connection(void)
{
    EndpointCall call;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    AqTestHttpClient *client = AqTestHttpClient_Create();
    prepare_call(&call, "heard", "/", "x");
    CU_ASSERT_TRUE(AqTestHttpClient_Call(client, &call.call, &reply, &error));
    AqTestHttpReply_Clear(&reply);
    post_control(endpoint, "/test/v1/faults", "{\"silence_open\": true}");
    prepare_call(&call, "unheard", "/", "x");
    call.call.timeout_ms = 100;
    CU_ASSERT_FALSE(AqTestHttpClient_Call(client, &call.call, &reply, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_TIMEOUT);
    CU_ASSERT_EQUAL(runs_of("unheard"), 0);
    call.call.timeout_ms = 0;
    CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
    CU_ASSERT_EQUAL(reply.status, 200);
    AqTestHttpReply_Clear(&reply);
    AqTestHttpClient_Destroy(client);
}

/* Guards against an endpoint with the fault "fail_all" that does not count the
 * runs, and against a failure response that cannot be matched to its
 * request. */
static void
test_fail_all(void)
{
    EndpointCall call;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    prepare_call(&call, "failed", "/?service_ms=600000", "x");
    post_control(endpoint, "/test/v1/faults", "{\"fail_all\": true}");
    CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
    CU_ASSERT_EQUAL(reply.status, 500);
    CU_ASSERT_EQUAL(AqTestResponse_Check(AqBuffer_Text(&reply.body),
                                         reply.body.size, "failed", "x", 1),
                    AQ_RESPONSE_OWN);
    AqTestHttpReply_Clear(&reply);
    CU_ASSERT_EQUAL(runs_of("failed"), 1);
    post_control(endpoint, "/test/v1/faults", "{\"fail_all\": false}");
}

/* Guards against requests that a leaving endpoint receives but does not
 * record, and against health checks that appear in the same record. */
static void
test_leaving(void)
{
    EndpointCall call;
    AqTestHttpReply reply = {0};
    AqError error = {0};
    char header[8] = "";
    AqTestHttpCall health = {.method = "GET",
                             .url = url_of(endpoint, "endpoint0", "/health")};
    post_control(endpoint, "/test/v1/leave", "{\"endpoint\": 0}");
    CU_ASSERT_TRUE(AqTestHttp_Call(&health, &reply, &error));
    CU_ASSERT_EQUAL(reply.status, 200);
    CU_ASSERT_TRUE(
        AqTestHttpReply_Header(&reply, "Aq-Leaving", header, sizeof(header)));
    AqTestHttpReply_Clear(&reply);
    prepare_call(&call, "late", "/", "");
    CU_ASSERT_TRUE(AqTestHttp_Call(&call.call, &reply, &error));
    AqTestHttpReply_Clear(&reply);
    json_t *runs = read_runs();
    const json_t *first =
        json_array_get(json_object_get(runs, "endpoints"), 0);
    const json_t *late = json_object_get(first, "after_leave");
    CU_ASSERT_EQUAL(json_array_size(late), 1);
    CU_ASSERT_TRUE(int_at(json_array_get(late, 0), "delay_ms") >= 0);
    json_decref(runs);
    post_control(endpoint, "/test/v1/leave", "{\"leaving\": false}");
}

void
add_endpoint_suite(void)
{
    CU_pSuite suite = CU_add_suite("endpoint", set_up, tear_down);
    CU_ADD_TEST(suite, test_response_check);
    CU_ADD_TEST(suite, test_own_response);
    CU_ADD_TEST(suite, test_crossed_response);
    CU_ADD_TEST(suite, test_not_run);
    CU_ADD_TEST(suite, test_close_modes);
    CU_ADD_TEST(suite, test_silent_connection);
    CU_ADD_TEST(suite, test_fail_all);
    CU_ADD_TEST(suite, test_leaving);
}
