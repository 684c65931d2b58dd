#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "forwarder.h"
#include "raw_server.h"

/* Tests of the forwarding of callers' requests to other nodes, on loopback. */

enum {
    PEERS = 3,
    DEADLINE_MS = 5000,
    ROUND_MS = 50,
    MAX_ROUNDS = 400
};

/* How a simulated peer responds. */
typedef enum {
    PEER_SERVES,
    PEER_REFUSES, /* status 503 */
    PEER_CLOSES,  /* reads the request and closes the connection */
    /* Serves the first request, and closes its connection when it has read the
     * second one. */
    PEER_SERVES_ONCE,
    PEER_FAILS,          /* status 500 */
    PEER_BAD_GATEWAY,    /* status 502 */
    PEER_GATEWAY_TIMEOUT /* status 504 */
} PeerKind;

typedef struct {
    PeerKind kind;
    AqHttpServer *server; /* NULL: "raw" */
    RawServer raw;
    unsigned requests;
    char address[32];
} Peer;

typedef struct {
    NodeContext node;
    Peer peers[PEERS];
    unsigned next_peer;
    Forwarder *forwarder;
    AqHttpServer *front; /* takes the caller's request */
    AqHttpClient *caller;
    AqExchange *exchange; /* of the last request */
    bool may_have_effect; /* of the forwarded request */
    bool is_returned;     /* the forwarder gave the request back */
    bool is_refused;      /* the forwarder did not take the request */
    int status;           /* that the caller got; 0: none yet */
    bool has_retry_after;
} Fixture;

static void
handle_at_peer(void *context, AqExchange *exchange)
{
    Peer *peer = context;
    static const int statuses[] = {
        [PEER_SERVES] = 200,          [PEER_REFUSES] = 503,
        [PEER_FAILS] = 500,           [PEER_BAD_GATEWAY] = 502,
        [PEER_GATEWAY_TIMEOUT] = 504,
    };
    peer->requests++;
    AqExchange_Respond(exchange, statuses[peer->kind], NULL, 0, "{}", 2);
}

static const char *
pick_peer(void *context,
          bool (*may_use)(const void *choice, const char *address),
          const void *choice)
{
    Fixture *fixture = context;
    for (unsigned i = 0; i < PEERS; i++) {
        const Peer *peer = &fixture->peers[fixture->next_peer++ % PEERS];
        if (may_use(choice, peer->address)) {
            return peer->address;
        }
    }
    return NULL;
}

static void
on_forwarded(void *context, bool has_responded)
{
    Fixture *fixture = context;
    fixture->is_returned = !has_responded;
}

static void
handle_at_front(void *context, AqExchange *exchange)
{
    Fixture *fixture = context;
    fixture->exchange = exchange;
    ForwardOrder order = {.exchange = exchange,
                          .deadline =
                              AqLoop_Now(fixture->node.loop) + DEADLINE_MS,
                          .may_have_effect = fixture->may_have_effect,
                          .done = on_forwarded,
                          .context = fixture};
    if (!forwarder_send(fixture->forwarder, &order)) {
        fixture->is_refused = true;
        AqExchange_Respond(exchange, 503, NULL, 0, "{}", 2);
    }
}

static void
on_reply(void *context, const AqHttpReply *reply)
{
    Fixture *fixture = context;
    fixture->status = reply->result == AQ_HTTP_DONE ? reply->status : -1;
    fixture->has_retry_after =
        AqHttpReply_Header(reply, "Retry-After") != NULL;
}

static AqHttpServer *
open_server(Fixture *fixture, AqHttpHandler handler, void *context)
{
    AqError error;
    AqHttpServerConfig config = {.address = "127.0.0.1",
                                 .max_body = 4096,
                                 .max_connections = 16,
                                 .idle_timeout_s = 5};
    AqHttpServer *server = AqHttpServer_Create(fixture->node.loop, &config,
                                               handler, context, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    return server;
}

static bool
is_raw(PeerKind kind)
{
    return kind == PEER_CLOSES || kind == PEER_SERVES_ONCE;
}

static void
set_up(Fixture *fixture, const PeerKind kinds[PEERS])
{
    static const ForwarderOps ops = {pick_peer};
    AqError error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->node.loop = AqLoop_Create(&error);
    fixture->node.http = AqHttpClient_Create(fixture->node.loop, &error);
    fixture->caller = AqHttpClient_Create(fixture->node.loop, &error);
    fixture->front = open_server(fixture, handle_at_front, fixture);
    fixture->forwarder = forwarder_create(&fixture->node, &ops, fixture);
    for (int i = 0; i < PEERS; i++) {
        Peer *peer = &fixture->peers[i];
        unsigned port;
        peer->kind = kinds[i];
        if (is_raw(peer->kind)) {
            peer->raw.stage = STAGE_BEFORE_RESPONSE;
            peer->raw.complete_responses_first =
                peer->kind == PEER_SERVES_ONCE ? 1 : 0;
            raw_server_start(&peer->raw, fixture->node.loop);
            port = peer->raw.port;
        }
        else {
            peer->server = open_server(fixture, handle_at_peer, peer);
            port = AqHttpServer_Port(peer->server);
        }
        snprintf(peer->address, sizeof(peer->address), "127.0.0.1:%u", port);
    }
}

static void
send_request(Fixture *fixture, const char *method)
{
    char url[64];
    bool has_body = strcmp(method, "POST") == 0;
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/q/ab12",
             AqHttpServer_Port(fixture->front));
    AqHttpRequest request = {.method = method,
                             .url = url,
                             .body = "{}",
                             .size = has_body ? 2 : 0,
                             .has_body = has_body,
                             .timeout_ms = DEADLINE_MS,
                             .connect_timeout_ms = DEADLINE_MS,
                             .max_response_bytes = 4096};
    fixture->status = 0;
    AqHttpClient_Start(fixture->caller, &request, on_reply, fixture);
    for (int i = 0;
         i < MAX_ROUNDS && fixture->status == 0 && !fixture->is_returned;
         i++) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
}

static void
tear_down(Fixture *fixture)
{
    AqHttpClient_Close(fixture->caller);
    AqHttpClient_Close(fixture->node.http);
    AqHttpServer_Destroy(fixture->front);
    for (int i = 0; i < PEERS; i++) {
        AqHttpServer_Destroy(fixture->peers[i].server);
        if (is_raw(fixture->peers[i].kind)) {
            raw_server_stop(&fixture->peers[i].raw);
        }
    }
    AqHttpClient_Destroy(fixture->caller);
    AqHttpClient_Destroy(fixture->node.http);
    forwarder_destroy(fixture->forwarder);
    store_health_clear(&fixture->node.store_health);
    open_writes_clear(&fixture->node.open_writes);
    AqLoop_Destroy(fixture->node.loop);
}

/* Guards against a caller that is refused because the first peer is turned
 * away by the store too, and against a refusal, which tells that nothing was
 * done, after a peer that may have carried out the request. */
static void
test_next_peer(void)
{
    static const struct {
        const char *method;
        PeerKind kinds[PEERS];
        int status;
        unsigned requests; /* at all peers */
    } cases[] = {
        {"POST", {PEER_SERVES, PEER_SERVES, PEER_SERVES}, 200, 1},
        {"POST", {PEER_REFUSES, PEER_SERVES, PEER_SERVES}, 200, 2},
        {"GET", {PEER_REFUSES, PEER_REFUSES, PEER_SERVES}, 200, 3},
        {"POST", {PEER_REFUSES, PEER_REFUSES, PEER_REFUSES}, 503, 3},
        {"POST", {PEER_CLOSES, PEER_SERVES, PEER_SERVES}, 200, 2},
        {"POST", {PEER_CLOSES, PEER_REFUSES, PEER_REFUSES}, 504, 3},
        {"POST", {PEER_REFUSES, PEER_REFUSES, PEER_CLOSES}, 504, 3},
        {"GET", {PEER_CLOSES, PEER_REFUSES, PEER_REFUSES}, 503, 3},
        {"POST", {PEER_FAILS, PEER_SERVES, PEER_SERVES}, 500, 1},
        {"POST", {PEER_BAD_GATEWAY, PEER_SERVES, PEER_SERVES}, 502, 1},
        {"POST", {PEER_GATEWAY_TIMEOUT, PEER_SERVES, PEER_SERVES}, 504, 1},
        {"POST", {PEER_CLOSES, PEER_FAILS, PEER_SERVES}, 504, 2},
        {"POST", {PEER_CLOSES, PEER_GATEWAY_TIMEOUT, PEER_SERVES}, 504, 2},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        unsigned requests = 0;
        set_up(&fixture, cases[i].kinds);
        send_request(&fixture, cases[i].method);
        for (int j = 0; j < PEERS; j++) {
            requests += fixture.peers[j].requests +
                        (unsigned)fixture.peers[j].raw.requests;
        }
        if (fixture.status != cases[i].status) {
            printf("case %zu: status %d\n", i, fixture.status);
        }
        CU_ASSERT_EQUAL(fixture.status, cases[i].status);
        CU_ASSERT_EQUAL(requests, cases[i].requests);
        CU_ASSERT_EQUAL(fixture.has_retry_after, cases[i].status == 503);
        tear_down(&fixture);
    }
}

/* Guards against a second copy of a submission to a peer that closes the idle
 * connection of an earlier request when it has read the first copy: the reply
 * to the second copy would pass for the outcome. */
static void
test_reused_connection_closes(void)
{
    static const struct {
        PeerKind others;
        int status;
    } cases[] = {{PEER_REFUSES, 504}, {PEER_SERVES, 200}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        PeerKind kinds[PEERS] = {PEER_SERVES_ONCE, cases[i].others,
                                 cases[i].others};
        set_up(&fixture, kinds);
        send_request(&fixture, "POST");
        CU_ASSERT_EQUAL(fixture.status, 200);
        fixture.next_peer = 0;
        send_request(&fixture, "POST");
        CU_ASSERT_EQUAL(fixture.status, cases[i].status);
        CU_ASSERT_EQUAL(fixture.peers[0].raw.requests, 2);
        tear_down(&fixture);
    }
}

/* Guards against a peer that gets request after request although it has just
 * failed. */
static void
test_failed_peer_is_left_out(void)
{
    static const PeerKind kinds[PEERS] = {PEER_REFUSES, PEER_SERVES,
                                          PEER_SERVES};
    Fixture fixture;
    set_up(&fixture, kinds);
    for (int i = 0; i < 10; i++) {
        send_request(&fixture, "POST");
        CU_ASSERT_EQUAL(fixture.status, 200);
    }
    CU_ASSERT_EQUAL(fixture.peers[0].requests, 1);
    tear_down(&fixture);
}

/* Guards against a request with an earlier write without a reply that is
 * refused when no peer knows its outcome: it goes back to its node. */
static void
test_unknown_outcome_is_returned(void)
{
    static const PeerKind kinds[PEERS] = {PEER_REFUSES, PEER_REFUSES,
                                          PEER_REFUSES};
    Fixture fixture;
    set_up(&fixture, kinds);
    fixture.may_have_effect = true;
    send_request(&fixture, "POST");
    CU_ASSERT_TRUE(fixture.is_returned);
    CU_ASSERT_EQUAL(fixture.status, 0);
    AqExchange_Respond(fixture.exchange, 504, NULL, 0, "{}", 2);
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("forwarder", NULL, NULL);
    CU_ADD_TEST(suite, test_next_peer);
    CU_ADD_TEST(suite, test_reused_connection_closes);
    CU_ADD_TEST(suite, test_failed_peer_is_left_out);
    CU_ADD_TEST(suite, test_unknown_outcome_is_returned);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
