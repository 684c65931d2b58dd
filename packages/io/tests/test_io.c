#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_http_client.h"
#include "aq_http_server.h"
#include "raw_server.h"

enum {
    ROUND_MS = 1000,
    MAX_ROUNDS = 1000
};

typedef struct {
    bool done;
    AqHttpResult result;
    int status;
    char body[128];
    char outcome[32];
} Reply;

static void
on_reply(void *context, const AqHttpReply *reply)
{
    Reply *to = context;
    const char *outcome = AqHttpReply_Header(reply, "aq-outcome");
    to->done = true;
    to->result = reply->result;
    to->status = reply->status;
    snprintf(to->body, sizeof(to->body), "%.*s", (int)reply->size,
             reply->body);
    snprintf(to->outcome, sizeof(to->outcome), "%s",
             outcome != NULL ? outcome : "");
}

static void
run_until(AqLoop *loop, const bool *done)
{
    for (int i = 0; i < MAX_ROUNDS && !*done; i++) {
        AqLoop_RunOnce(loop, ROUND_MS);
    }
    CU_ASSERT_TRUE(*done);
}

static Reply
call(AqLoop *loop, AqHttpClient *client, unsigned port, const char *method,
     const char *body, bool fresh, AqTime timeout_ms)
{
    char url[64];
    Reply reply = {0};
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/x", port);
    AqHttpRequest request = {
        .method = method,
        .url = url,
        .body = body,
        .size = body != NULL ? strlen(body) : 0,
        .has_body = body != NULL,
        .fresh_connection = fresh,
        .timeout_ms = timeout_ms,
        .connect_timeout_ms = 1000,
        .max_response_bytes = 100,
    };
    AqHttpClient_Start(client, &request, on_reply, &reply);
    run_until(loop, &reply.done);
    return reply;
}

/* Guards against a POST that libcurl sends again on its own, so that the
 * server runs it twice, against truncated responses that are reported as
 * complete, and against "not sent" for a request that may have been sent in
 * part. */
static void
test_close_at_each_stage(void)
{
    static const struct {
        RawStage stage;
        AqHttpResult result;
        int post_count;
    } cases[] = {
        {STAGE_COMPLETE_RESPONSE, AQ_HTTP_DONE, 1},
        {STAGE_BEFORE_READING, AQ_HTTP_INTERRUPTED, 0},
        {STAGE_IN_HEADER, AQ_HTTP_INTERRUPTED, 0},
        {STAGE_IN_BODY, AQ_HTTP_INTERRUPTED, 0},
        {STAGE_BEFORE_RESPONSE, AQ_HTTP_INTERRUPTED, 1},
        {STAGE_IN_RESPONSE_HEADER, AQ_HTTP_INTERRUPTED, 1},
        {STAGE_IN_RESPONSE_BODY, AQ_HTTP_INTERRUPTED, 1},
        {STAGE_IN_CHUNK, AQ_HTTP_INTERRUPTED, 1},
        {STAGE_WITHOUT_LENGTH, AQ_HTTP_INTERRUPTED, 1},
        {STAGE_NO_RESPONSE, AQ_HTTP_TIMEOUT, 1},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        AqLoop *loop = AqLoop_Create(&error);
        AqHttpClient *client = AqHttpClient_Create(loop, &error);
        RawServer server = {.stage = cases[i].stage,
                            .complete_responses_first = 1};
        raw_server_start(&server, loop);
        /* Leaves an idle connection, which the POST below must not reuse. */
        Reply first =
            call(loop, client, server.port, "GET", NULL, false, 2000);
        CU_ASSERT_EQUAL(first.result, AQ_HTTP_DONE);
        Reply reply =
            call(loop, client, server.port, "POST", "0123456789", true, 300);
        if (reply.result != cases[i].result) {
            printf("case %zu: result %d\n", i, reply.result);
        }
        CU_ASSERT_EQUAL(reply.result, cases[i].result);
        CU_ASSERT_EQUAL(server.requests, 1 + cases[i].post_count);
        CU_ASSERT_EQUAL(server.connections, 2);
        AqHttpClient_Destroy(client);
        AqLoop_RunOnce(loop, 0);
        raw_server_stop(&server);
        AqLoop_Destroy(loop);
    }
}

/* Guards against a request that libcurl sends a second time after the server
 * has carried it out and closed a reused connection: the server runs it twice,
 * and a refusal of the second copy passes for the outcome of the first. */
static void
test_request_is_sent_once(void)
{
    static const struct {
        const char *method;
        bool may_repeat;
        int copies; /* that the server receives */
    } cases[] = {
        {"POST", false, 1},   {"PUT", false, 1}, {"PATCH", false, 1},
        {"DELETE", false, 1}, {"POST", true, 2}, {"GET", false, 1},
        {"GET", true, 2},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        Reply reply = {0};
        char url[64];
        uint64_t resent;
        uint64_t interrupted;
        AqLoop *loop = AqLoop_Create(&error);
        AqHttpClient *client = AqHttpClient_Create(loop, &error);
        RawServer server = {.stage = STAGE_BEFORE_RESPONSE,
                            .complete_responses_first = 1};
        raw_server_start(&server, loop);
        call(loop, client, server.port, "GET", NULL, false, 2000);
        snprintf(url, sizeof(url), "http://127.0.0.1:%u/x", server.port);
        AqHttpRequest request = {.method = cases[i].method,
                                 .url = url,
                                 .body = "x",
                                 .size = 1,
                                 .has_body = cases[i].method[0] == 'P',
                                 .may_repeat = cases[i].may_repeat,
                                 .timeout_ms = 2000,
                                 .connect_timeout_ms = 1000,
                                 .max_response_bytes = 100};
        AqHttpClient_Start(client, &request, on_reply, &reply);
        run_until(loop, &reply.done);
        AqHttpClient_GetDisturbed(client, &resent, &interrupted);
        CU_ASSERT_EQUAL(reply.result, AQ_HTTP_INTERRUPTED);
        CU_ASSERT_EQUAL(server.requests, 1 + cases[i].copies);
        CU_ASSERT_EQUAL(server.connections, cases[i].copies);
        CU_ASSERT_EQUAL(resent, (uint64_t)cases[i].copies - 1);
        CU_ASSERT_EQUAL(interrupted, 1);
        AqHttpClient_Destroy(client);
        AqLoop_RunOnce(loop, 0);
        raw_server_stop(&server);
        AqLoop_Destroy(loop);
    }
}

/* Guards against a result other than "not sent" for a request whose connection
 * was refused. */
static void
test_refused_connection_is_not_sent(void)
{
    AqError error;
    AqLoop *loop = AqLoop_Create(&error);
    AqHttpClient *client = AqHttpClient_Create(loop, &error);
    RawServer server = {0};
    raw_server_start(&server, loop);
    raw_server_stop(&server);
    Reply reply = call(loop, client, server.port, "POST", "x", true, 2000);
    CU_ASSERT_EQUAL(reply.result, AQ_HTTP_NOT_SENT);
    AqHttpClient_Destroy(client);
    AqLoop_Destroy(loop);
}

/* Guards against a call whose "done" callback is never called because its
 * client is closed. */
static void
test_close_ends_calls(void)
{
    AqError error;
    AqLoop *loop = AqLoop_Create(&error);
    AqHttpClient *client = AqHttpClient_Create(loop, &error);
    AqHttpRequest request = {.method = "GET",
                             .url = "http://127.0.0.1:9/",
                             .timeout_ms = 1000,
                             .connect_timeout_ms = 1000};
    Reply reply = {0};
    AqHttpClient_Start(client, &request, on_reply, &reply);
    AqHttpClient_Close(client);
    CU_ASSERT_TRUE(reply.done);
    CU_ASSERT_EQUAL(reply.result, AQ_HTTP_NOT_SENT);
    AqHttpClient_Destroy(client);
    AqLoop_Destroy(loop);
}

/* ---- Server ------------------------------------------------------------- */

static void
on_request(void *context, AqExchange *exchange)
{
    AqExchange **held = context;
    size_t size;
    const char *body = AqExchange_Body(exchange, &size);
    AqHttpHeader header = {"Aq-Outcome", "completed"};
    if (strcmp(AqExchange_Method(exchange), "PUT") == 0) {
        *held = exchange;
        return;
    }
    AqExchange_Respond(exchange, 200, &header, 1, body, size);
}

/* Guards against request or response bodies above the limit that are accepted,
 * against a 413 response without the configured header, and against a request
 * that cannot be answered after its handler has returned. */
static void
test_server(void)
{
    char large[300];
    AqError error;
    AqExchange *held = NULL;
    AqLoop *loop = AqLoop_Create(&error);
    AqHttpClient *client = AqHttpClient_Create(loop, &error);
    AqHttpServerConfig config = {
        .address = "127.0.0.1",
        .max_body = 200,
        .max_connections = 16,
        .idle_timeout_s = 5,
        .error_header_name = "Aq-Outcome",
        .error_header_value = "not-run",
    };
    AqHttpServer *server =
        AqHttpServer_Create(loop, &config, on_request, &held, &error);
    CU_ASSERT_PTR_NOT_NULL(server);
    if (server == NULL) {
        return;
    }
    unsigned port = AqHttpServer_Port(server);

    Reply reply = call(loop, client, port, "POST", "hello", false, 2000);
    CU_ASSERT_EQUAL(reply.status, 200);
    CU_ASSERT_STRING_EQUAL(reply.body, "hello");
    CU_ASSERT_STRING_EQUAL(reply.outcome, "completed");

    memset(large, 'x', sizeof(large) - 1);
    large[sizeof(large) - 1] = '\0';
    reply = call(loop, client, port, "POST", large, false, 2000);
    CU_ASSERT_EQUAL(reply.status, 413);
    CU_ASSERT_STRING_EQUAL(reply.outcome, "not-run");

    large[150] = '\0';
    reply = call(loop, client, port, "POST", large, false, 2000);
    CU_ASSERT_EQUAL(reply.result, AQ_HTTP_TOO_LARGE);

    char url[64];
    Reply late = {0};
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/later", port);
    AqHttpRequest request = {
        .method = "PUT",
        .url = url,
        .body = "x",
        .size = 1,
        .has_body = true,
        .timeout_ms = 2000,
        .connect_timeout_ms = 1000,
        .max_response_bytes = 100,
    };
    AqHttpClient_Start(client, &request, on_reply, &late);
    for (int i = 0; i < MAX_ROUNDS && held == NULL; i++) {
        AqLoop_RunOnce(loop, ROUND_MS);
    }
    CU_ASSERT_EQUAL(AqHttpServer_Pending(server), 1);
    AqHttpServer_StopListening(server);
    AqExchange_Respond(held, 202, NULL, 0, "late", 4);
    run_until(loop, &late.done);
    CU_ASSERT_EQUAL(late.status, 202);
    CU_ASSERT_STRING_EQUAL(late.body, "late");

    reply = call(loop, client, port, "POST", "x", true, 2000);
    CU_ASSERT_EQUAL(reply.result, AQ_HTTP_NOT_SENT);
    AqHttpClient_Destroy(client);
    AqHttpServer_Destroy(server);
    AqLoop_Destroy(loop);
}

/* ---- Destruction in callbacks --------------------------------------------
 */

/* Client, server and the state of one request in the tests of destruction. */
typedef struct {
    AqLoop *loop;
    AqHttpClient *client;
    AqHttpServer *server;
    AqExchange *held; /* request that the handler has not answered */
    bool responds;    /* the handler answers before it destroys the server */
    bool done;
} Destruction;

static void
destroy_client(void *context, const AqHttpReply *reply)
{
    Destruction *state = context;
    (void)reply;
    AqHttpClient_Destroy(state->client);
    state->client = NULL;
    state->done = true;
}

static void
destroy_server(void *context, AqExchange *exchange)
{
    Destruction *state = context;
    if (state->responds) {
        AqExchange_Respond(exchange, 200, NULL, 0, "x", 1);
    }
    else {
        state->held = exchange;
    }
    AqHttpServer_Destroy(state->server);
    state->server = NULL;
}

static void
start_destruction(Destruction *state, AqHttpDone done, void *context)
{
    char url[64];
    AqError error;
    AqHttpServerConfig config = {.address = "127.0.0.1",
                                 .max_body = 200,
                                 .max_connections = 16,
                                 .idle_timeout_s = 5};
    state->loop = AqLoop_Create(&error);
    state->client = AqHttpClient_Create(state->loop, &error);
    state->server = AqHttpServer_Create(state->loop, &config, destroy_server,
                                        state, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(state->server);
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/x",
             AqHttpServer_Port(state->server));
    AqHttpRequest request = {.method = "GET",
                             .url = url,
                             .timeout_ms = 2000,
                             .connect_timeout_ms = 1000,
                             .max_response_bytes = 100};
    AqHttpClient_Start(state->client, &request, done, context);
}

/* Guards against use after free when a callback destroys the client whose call
 * has ended, and when a handler destroys its server, with and without an
 * answer to its request. */
static void
test_destroyed_in_callbacks(void)
{
    for (int responds = 0; responds < 2; responds++) {
        Destruction state = {.responds = responds == 1};
        start_destruction(&state, destroy_client, &state);
        for (int i = 0; i < MAX_ROUNDS && state.server != NULL; i++) {
            AqLoop_RunOnce(state.loop, ROUND_MS);
        }
        CU_ASSERT_PTR_NULL(state.server);
        if (state.held != NULL) {
            AqExchange_Respond(state.held, 200, NULL, 0, "x", 1);
        }
        run_until(state.loop, &state.done);
        CU_ASSERT_PTR_NULL(state.client);
        AqLoop_RunOnce(state.loop, 0);
        AqLoop_Destroy(state.loop);
    }
}

/* Guards against a loop that calls the round callback of a server that was
 * destroyed, and against servers that use up the callbacks of a loop. */
static void
test_destroyed_servers_leave_loop(void)
{
    enum {
        SERVERS = 20
    };
    AqError error;
    AqExchange *held = NULL;
    AqHttpServerConfig config = {.address = "127.0.0.1",
                                 .max_body = 200,
                                 .max_connections = 16,
                                 .idle_timeout_s = 5};
    AqLoop *loop = AqLoop_Create(&error);
    for (int i = 0; i < SERVERS; i++) {
        AqHttpServer *server =
            AqHttpServer_Create(loop, &config, on_request, &held, &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(server);
        AqHttpServer_Destroy(server);
        AqLoop_RunOnce(loop, 0);
    }
    AqLoop_Destroy(loop);
}

static void
record_time(void *context)
{
    AqTime **pair = context;
    *pair[0] = *pair[1];
}

/* Guards against tests whose result depends on the load of the host: on a
 * virtual clock a timer must fire exactly at its due time, without a real
 * wait. */
static void
test_virtual_clock(void)
{
    enum {
        HOUR_MS = 3600000
    };
    AqError error;
    AqLoop *loop = AqLoop_Create(&error);
    AqClock clock = {.now = 1000};
    AqTime fired_at = 0;
    AqTime *pair[] = {&fired_at, &clock.now};
    AqTimer timer;
    AqLoop_SetClock(loop, &clock);
    AqTimer_Init(&timer, record_time, pair);
    AqTimer_Start(loop, &timer, clock.now + HOUR_MS);
    AqLoop_RunOnce(loop, HOUR_MS - 1);
    CU_ASSERT_EQUAL(fired_at, 0);
    AqLoop_RunOnce(loop, HOUR_MS);
    CU_ASSERT_EQUAL(fired_at, 1000 + HOUR_MS);
    AqLoop_Destroy(loop);
}

static void
advance_clock(void *context)
{
    AqClock_Advance(context, 150);
}

static AqTime
advance_clock_in_round(void *context)
{
    AqClock_Advance(context, 200);
    return AQ_TIME_NEVER;
}

/* Guards against a loop that stands still for long without a trace, in a timer
 * or in a callback of the round, or has too little processor. */
static void
test_longest_stall(void)
{
    AqError error;
    AqLoop *loop = AqLoop_Create(&error);
    AqClock clock = {.now = 1000};
    AqTimer timer;
    AqLoop_SetClock(loop, &clock);
    AqTimer_Init(&timer, advance_clock, &clock);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_LongestStall(loop), 0);
    AqTimer_Start(loop, &timer, clock.now + 5);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_LongestStall(loop), 150);
    CU_ASSERT_EQUAL(AqLoop_BusyTime(loop), 150);
    AqLoop_OnRound(loop, advance_clock_in_round, &clock);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_LongestStall(loop), 200);
    CU_ASSERT_EQUAL(AqLoop_BusyTime(loop), 350);
    AqLoop_Destroy(loop);
}

static void
pause_clock(void *context)
{
    AqClock_Advance(context, 2500);
}

/* Guards against a pause of the process that its loop does not notice, and
 * against a long wait that counts as one. */
static void
test_pause(void)
{
    AqError error;
    AqLoop *loop = AqLoop_Create(&error);
    AqClock clock = {.now = 1000};
    AqTimer timer;
    AqLoop_SetClock(loop, &clock);
    AqTimer_Init(&timer, pause_clock, &clock);
    AqLoop_RunOnce(loop, 5000);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_ResumedAt(loop), 0);
    AqTimer_Start(loop, &timer, clock.now + 5);
    AqLoop_RunOnce(loop, 10);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_ResumedAt(loop), clock.now);
    AqLoop_RunOnce(loop, 10);
    CU_ASSERT_EQUAL(AqLoop_ResumedAt(loop), clock.now - 10);
    AqLoop_Destroy(loop);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("io", NULL, NULL);
    CU_ADD_TEST(suite, test_pause);
    CU_ADD_TEST(suite, test_close_at_each_stage);
    CU_ADD_TEST(suite, test_request_is_sent_once);
    CU_ADD_TEST(suite, test_refused_connection_is_not_sent);
    CU_ADD_TEST(suite, test_close_ends_calls);
    CU_ADD_TEST(suite, test_virtual_clock);
    CU_ADD_TEST(suite, test_longest_stall);
    CU_ADD_TEST(suite, test_server);
    CU_ADD_TEST(suite, test_destroyed_in_callbacks);
    CU_ADD_TEST(suite, test_destroyed_servers_leave_loop);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
