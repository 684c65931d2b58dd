#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_http_client.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "fake_store.h"
#include "forwarder.h"
#include "job_api.h"
#include "store_keys.h"
#include "platform_samples.h"

enum {
    CALL_TIMEOUT_MS = 5000,
    DEADLINE_MS = 3000,
    TURN_MS = 20
};

/* A job API on loopback with a store whose answers the test gives out, and a
 * peer that takes what it is handed, or not. */
typedef struct {
    FakeStore *fake;
    NodeContext node;
    AqHttpServer *server;
    AqHttpClient *client;
    JobApi *job_api;
    AqQueueConfig queue;
    bool has_peer;
    bool is_peer_unsure; /* it gives the first request back */
    unsigned handed_on;
    bool may_have_effect; /* as the peer was told */
    unsigned answers;
    int status; /* of the last answer */
} Fixture;

static bool
is_current(void *context)
{
    (void)context;
    return true;
}

static bool
hand_on(void *context, const ForwardOrder *order)
{
    Fixture *fixture = context;
    if (!fixture->has_peer) {
        return false;
    }
    fixture->handed_on++;
    fixture->may_have_effect = order->may_have_effect;
    if (fixture->is_peer_unsure) {
        fixture->has_peer = false;
        order->done(order->context, false);
        return true;
    }
    AqExchange_Respond(order->exchange, 200, NULL, 0, "{}", 2);
    order->done(order->context, true);
    return true;
}

static void
set_up(Fixture *fixture)
{
    static const JobApiOps ops = {is_current, hand_on};
    AqError error;
    AqHttpServerConfig config = {.address = "127.0.0.1",
                                 .max_body = 4096,
                                 .max_connections = 4,
                                 .idle_timeout_s = 5};
    memset(fixture, 0, sizeof(*fixture));
    fixture->fake = fake_store_create();
    fixture->node.store = fake_store_interface(fixture->fake);
    fixture->node.loop = AqLoop_Create(&error);
    fixture->queue = (AqQueueConfig){
        .name = "q", .host = "127.0.0.1", .prefix = "/q/", .pool = "p"};
    fixture->node.site = (AqSiteConfig){
        .version = 1, .queues = &fixture->queue, .queue_count = 1};
    NodeMetrics *metrics = &fixture->node.metrics;
    metrics->all = AqMetrics_Create();
    metrics->accept_ms = AqMetrics_Histogram(metrics->all, "accept", "");
    metrics->state_ms = AqMetrics_Histogram(metrics->all, "state", "");
    metrics->stored = AqMetrics_Counter(metrics->all, "stored", "");
    metrics->refused = AqMetrics_Counter(metrics->all, "refused", "");
    metrics->unknown = AqMetrics_Counter(metrics->all, "unknown", "");
    fixture->job_api = job_api_create(&fixture->node, &ops, fixture);
    fixture->client = AqHttpClient_Create(fixture->node.loop, &error);
    fixture->server = AqHttpServer_Create(
        fixture->node.loop, &config, job_api_handle, fixture->job_api, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
}

static void
tear_down(Fixture *fixture)
{
    AqHttpClient_Close(fixture->client);
    AqHttpServer_Destroy(fixture->server);
    AqHttpClient_Destroy(fixture->client);
    job_api_destroy(fixture->job_api);
    AqMetrics_Destroy(fixture->node.metrics.all);
    fake_store_destroy(fixture->fake);
    AqLoop_Destroy(fixture->node.loop);
}

static void
on_reply(void *context, const AqHttpReply *reply)
{
    Fixture *fixture = context;
    fixture->answers++;
    fixture->status = reply->result == AQ_HTTP_DONE ? reply->status : 0;
}

static void
send_to(Fixture *fixture, const char *method, const char *path)
{
    char deadline[64];
    const char *headers[] = {deadline, NULL};
    char url[64];
    bool has_body = strcmp(method, "POST") == 0;
    snprintf(deadline, sizeof(deadline), "%s: %d", AqPlatform_DeadlineHeader,
             DEADLINE_MS);
    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
             AqHttpServer_Port(fixture->server), path);
    AqHttpRequest request = {.method = method,
                             .url = url,
                             .headers = headers,
                             .body = sample_job,
                             .size = has_body ? strlen(sample_job) : 0,
                             .has_body = has_body,
                             .timeout_ms = CALL_TIMEOUT_MS,
                             .connect_timeout_ms = CALL_TIMEOUT_MS,
                             .max_response_bytes = 4096};
    AqHttpClient_Start(fixture->client, &request, on_reply, fixture);
}

static void
send_request(Fixture *fixture, const char *method)
{
    send_to(fixture, method, "/q/ab12");
}

/* Until the job API asks the store, or the caller has an answer. */
static void
run(Fixture *fixture)
{
    unsigned answers = fixture->answers;
    while (fake_store_waiting(fixture->fake) == 0 &&
           fixture->answers == answers) {
        AqLoop_RunOnce(fixture->node.loop, TURN_MS);
    }
}

static void
run_to_answer(Fixture *fixture)
{
    while (fixture->answers == 0) {
        AqLoop_RunOnce(fixture->node.loop, TURN_MS);
    }
}

/* Guards against a write that is held until the caller's deadline because the
 * store is silent to this node only, though a peer can serve it. */
static void
test_silent_store_hands_on(void)
{
    static const char *const methods[] = {"POST", "DELETE"};
    for (size_t i = 0; i < 2; i++) {
        Fixture fixture;
        set_up(&fixture);
        fixture.has_peer = true;
        send_request(&fixture, methods[i]);
        run(&fixture);
        fake_store_lose(fixture.fake);
        run(&fixture);
        CU_ASSERT_EQUAL(fixture.handed_on, 1);
        CU_ASSERT_TRUE(fixture.may_have_effect);
        CU_ASSERT_EQUAL(fixture.status, 200);
        tear_down(&fixture);
    }
}

/* Guards against a request of which nothing was done being called uncertain.
 */
static void
test_refusing_store_hands_on(void)
{
    Fixture fixture;
    set_up(&fixture);
    fixture.has_peer = true;
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_refuse(fixture.fake);
    run_to_answer(&fixture);
    CU_ASSERT_EQUAL(fixture.handed_on, 1);
    CU_ASSERT_FALSE(fixture.may_have_effect);
    tear_down(&fixture);
}

/* Guards against a refusal, which says that nothing was done, after a write
 * that may still take effect. */
static void
test_refusal_after_silence(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose(fixture.fake);
    while (fixture.answers == 0) {
        run(&fixture);
        if (fake_store_waiting(fixture.fake) > 0) {
            fake_store_refuse(fixture.fake);
        }
    }
    CU_ASSERT_EQUAL(fixture.status, 504);
    tear_down(&fixture);
}

/* Guards against an unknown outcome that is told although a later try would
 * have shown it. */
static void
test_unsure_peer_gives_back(void)
{
    Fixture fixture;
    set_up(&fixture);
    fixture.has_peer = true;
    fixture.is_peer_unsure = true;
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose(fixture.fake);
    run(&fixture);
    CU_ASSERT_EQUAL(fixture.handed_on, 1);
    fake_store_answer(fixture.fake);
    run_to_answer(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a write to a store that is known not to serve the node: its
 * caller would learn only that the outcome is unknown, and not come back. */
static void
test_lost_store_is_not_written_to(void)
{
    static const char *const methods[] = {"POST", "DELETE"};
    for (size_t i = 0; i < 2; i++) {
        Fixture fixture;
        set_up(&fixture);
        StoreHealth *health = &fixture.node.store_health;
        store_health_note(health, AQ_STORE_UNKNOWN);
        CU_ASSERT_FALSE(store_health_is_lost(health));
        store_health_note(health, AQ_STORE_UNKNOWN);
        send_request(&fixture, methods[i]);
        run(&fixture);
        CU_ASSERT_EQUAL(fake_store_waiting(fixture.fake), 0);
        CU_ASSERT_EQUAL(fixture.status, 503);
        store_health_note(health, AQ_STORE_ABSENT);
        send_request(&fixture, methods[i]);
        run(&fixture);
        CU_ASSERT_EQUAL(fake_store_waiting(fixture.fake), 1);
        fake_store_answer_all(fixture.fake);
        run(&fixture);
        tear_down(&fixture);
    }
}

/* Guards against a job that is stored twice, or an answer that is lost, when
 * the first write takes effect without an answer. */
static void
test_effect_without_answer(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose(fixture.fake);
    fake_store_carry_out_late(fixture.fake);
    run(&fixture);
    fake_store_answer(fixture.fake);
    run_to_answer(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a count of waiting jobs that is older than its bound, or made
 * up, while a pool has no owner: its report has ended with the owner's lease.
 */
static void
test_waiting_needs_an_owner(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_to(&fixture, "GET", "/q/");
    run(&fixture);
    fake_store_answer(fixture.fake);
    run_to_answer(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 503);
    fake_store_put(fixture.fake, key_of(KEY_REPORT, "p"), "q 7\n");
    fixture.answers = 0;
    send_to(&fixture, "GET", "/q/");
    run(&fixture);
    fake_store_answer(fixture.fake);
    run_to_answer(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a peer's failure that is passed on as a certain refusal
 * where this node's own write may have effect, and the other way round. */
static void
test_status_after_peer(void)
{
    static const struct {
        int status; /* of the peer; 0: no answer */
        bool was_sent;
        bool is_read;
        bool may_have_effect;
        int told;
    } cases[] = {
        {200, true, false, true, 200}, {503, true, false, false, 503},
        {503, true, false, true, 504}, {429, true, false, true, 504},
        {410, true, false, true, 410}, {0, false, false, false, 503},
        {0, true, false, false, 504},  {0, true, true, false, 503},
        {0, false, false, true, 504},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(forwarder_status(cases[i].status, cases[i].was_sent,
                                         cases[i].is_read,
                                         cases[i].may_have_effect),
                        cases[i].told);
    }
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"silent_store_hands_on", test_silent_store_hands_on},
        {"refusing_store_hands_on", test_refusing_store_hands_on},
        {"refusal_after_silence", test_refusal_after_silence},
        {"unsure_peer_gives_back", test_unsure_peer_gives_back},
        {"lost_store_is_not_written_to", test_lost_store_is_not_written_to},
        {"effect_without_answer", test_effect_without_answer},
        {"waiting_needs_an_owner", test_waiting_needs_an_owner},
        {"status_after_peer", test_status_after_peer},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("front", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
