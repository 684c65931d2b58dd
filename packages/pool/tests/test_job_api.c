#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "forwarder.h"
#include "job_api_fixture.h"
#include "platform_samples.h"
#include "store_keys.h"

/* Guards against a caller's deadline that overflows the clock or keeps a
 * request, and its connection, for hours. */
static void
test_deadline_header(void)
{
    static const struct {
        const char *text; /* NULL: the request has no such header */
        AqTime wait_ms;
    } cases[] = {
        {NULL, 2500},
        {"", 2500},
        {"0", 2500},
        {"-1", 2500},
        {"soon", 2500},
        {"1", 1},
        {"3000", 3000},
        {"60000", 60000},
        {"60001", 60000},
        {"9223372036854775807", 60000},
        {"99999999999999999999999", 60000},
        {"-99999999999999999999999", 2500},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(job_api_wait_ms(cases[i].text), cases[i].wait_ms);
    }
}

/* Guards against a request that waits until the caller's deadline because only
 * this node gets no reply to its write from the store, although a peer could
 * serve the request. */
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
        fake_store_lose_call(fixture.fake);
        run(&fixture);
        CU_ASSERT_EQUAL(fixture.forward_count, 1);
        CU_ASSERT_TRUE(fixture.may_have_effect);
        CU_ASSERT_EQUAL(fixture.status, 200);
        tear_down(&fixture);
    }
}

/* Guards against a request being forwarded as one that may have had an effect
 * after the store has refused the request's write, which means that nothing
 * was done. */
static void
test_refusing_store_hands_on(void)
{
    Fixture fixture;
    set_up(&fixture);
    fixture.has_peer = true;
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_refuse_call(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.forward_count, 1);
    CU_ASSERT_FALSE(fixture.may_have_effect);
    tear_down(&fixture);
}

/* Guards against a response to the caller that says that nothing was done,
 * sent after a write to the store without a reply, which may still take
 * effect. */
static void
test_refusal_after_silence(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose_call(fixture.fake);
    while (fixture.response_count == 0) {
        run(&fixture);
        if (fake_store_pending_count(fixture.fake) > 0) {
            fake_store_refuse_call(fixture.fake);
        }
    }
    CU_ASSERT_EQUAL(fixture.status, 504);
    tear_down(&fixture);
}

/* Guards against a refusal, which tells that nothing was done, after a write
 * that ended with a status that does not show this, and against 504 after one
 * that does. */
static void
test_status_of_write(void)
{
    static const struct {
        const char *method;
        AqStoreStatus status;
        int expected_status; /* HTTP status of the response to the caller */
    } cases[] = {
        {"POST", AQ_STORE_UNAVAILABLE, 503},
        {"POST", AQ_STORE_UNKNOWN, 504},
        {"POST", AQ_STORE_ABSENT, 504},
        {"POST", AQ_STORE_COMPACTED, 504},
        {"DELETE", AQ_STORE_UNAVAILABLE, 503},
        {"DELETE", AQ_STORE_CONFLICT, 503},
        {"DELETE", AQ_STORE_UNKNOWN, 504},
        {"DELETE", AQ_STORE_ABSENT, 504},
        {"DELETE", AQ_STORE_COMPACTED, 504},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        fixture.deadline_ms = SHORT_DEADLINE_MS;
        send_request(&fixture, cases[i].method);
        while (fixture.response_count == 0) {
            run(&fixture);
            if (fake_store_pending_count(fixture.fake) > 0) {
                fake_store_end_call(fixture.fake, cases[i].status);
            }
        }
        if (fixture.status != cases[i].expected_status) {
            printf("case %zu: status %d\n", i, fixture.status);
        }
        CU_ASSERT_EQUAL(fixture.status, cases[i].expected_status);
        tear_down(&fixture);
    }
}

/* Guards against a response that says that the outcome is unknown (504) when a
 * peer could not determine the outcome of a forwarded request, although
 * another store call of this node would show the outcome. */
static void
test_unsure_peer_gives_back(void)
{
    Fixture fixture;
    set_up(&fixture);
    fixture.has_peer = true;
    fixture.is_first_returned = true;
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose_call(fixture.fake);
    run(&fixture);
    CU_ASSERT_EQUAL(fixture.forward_count, 1);
    fake_store_reply(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a write to a store that is known not to reply to this node:
 * the caller would get status 504 (outcome unknown), and would not retry. */
static void
test_lost_store_is_not_written_to(void)
{
    static const char *const methods[] = {"POST", "DELETE"};
    for (size_t i = 0; i < 2; i++) {
        Fixture fixture;
        set_up(&fixture);
        StoreHealth *health = &fixture.node.store_health;
        store_health_note(health, AQ_STORE_UNKNOWN, 0);
        CU_ASSERT_FALSE(store_health_is_lost(health));
        store_health_note(health, AQ_STORE_UNKNOWN, 0);
        send_request(&fixture, methods[i]);
        run(&fixture);
        CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 0);
        CU_ASSERT_EQUAL(fixture.status, 503);
        store_health_note(health, AQ_STORE_ABSENT, 0);
        send_request(&fixture, methods[i]);
        run(&fixture);
        CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 1);
        fake_store_reply_all(fixture.fake);
        run(&fixture);
        tear_down(&fixture);
    }
}

/* Guards against a job that is stored twice, or a caller that gets no
 * response, when the first write of the job takes effect but the store's reply
 * is lost. */
static void
test_effect_without_reply(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_request(&fixture, "POST");
    run(&fixture);
    fake_store_lose_call(fixture.fake);
    fake_store_execute_lost(fixture.fake);
    run(&fixture);
    fake_store_reply(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a response with a count of waiting jobs that is made up, or
 * older than allowed, while a pool has no owner: the owner's report, from
 * which the count is read, is removed when the owner's lease ends. */
static void
test_waiting_count_needs_owner(void)
{
    Fixture fixture;
    set_up(&fixture);
    send_to(&fixture, "GET", "/q/");
    run(&fixture);
    fake_store_reply(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 503);
    fake_store_put(fixture.fake, key_of(KEY_REPORT, "p"), "q 7\n");
    fixture.response_count = 0;
    send_to(&fixture, "GET", "/q/");
    run(&fixture);
    fake_store_reply(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a peer's refusal (503 or 429: nothing was done) or error,
 * such as the 404 of a peer with another configuration, passed on to the
 * caller although an earlier write may have had an effect, and against a
 * status 504 (outcome unknown) where nothing can have been done. */
static void
test_status_after_forwarding(void)
{
    static const struct {
        int status; /* HTTP status of the peer's response; 0: no response */
        bool was_sent;
        bool is_read;
        bool may_have_effect;
        int expected_status; /* HTTP status of the response to the caller */
    } cases[] = {
        {200, true, false, true, 200}, {503, true, false, false, 503},
        {503, true, false, true, 504}, {429, true, false, true, 504},
        {410, true, false, true, 410}, {0, false, false, false, 503},
        {404, true, false, true, 504}, {404, true, false, false, 404},
        {400, true, false, true, 504}, {400, true, false, false, 400},
        {500, true, false, true, 504}, {500, true, false, false, 500},
        {0, true, false, false, 504},  {0, true, true, false, 503},
        {0, false, false, true, 504},  {202, true, false, true, 202},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(forwarder_status(cases[i].status, cases[i].was_sent,
                                         cases[i].is_read,
                                         cases[i].may_have_effect),
                        cases[i].expected_status);
    }
}

/* Sends a submission that the node refuses unless it knows better, since the
 * store counts as failing; returns the status of the response. */
static int
submit_to_lost_store(Fixture *fixture, const char *path)
{
    unsigned response_count = fixture->response_count;
    fixture->node.store_health.failures = 10;
    send_to(fixture, "POST", path);
    while (fixture->response_count == response_count) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
    return fixture->status;
}

/* Guards against a job that runs after this node has refused it: a caller's
 * second request for it is refused while the first one's write is still in
 * flight, has had no reply, or has stored the job. */
static void
test_no_refusal_beside_open_write(void)
{
    static const struct {
        void (*end)(FakeStore *fake); /* of the first write; NULL: in flight */
        int status;                   /* of the second response */
    } cases[] = {
        {NULL, 504},
        {fake_store_reply, 200},
        {fake_store_lose_call, 504},
        {fake_store_refuse_call, 503},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        send_to(&fixture, "POST", "/q/ab12");
        run(&fixture);
        if (cases[i].end != NULL) {
            cases[i].end(fixture.fake);
            AqLoop_RunOnce(fixture.node.loop, 0);
        }
        CU_ASSERT_EQUAL(submit_to_lost_store(&fixture, "/q/ab12"),
                        cases[i].status);
        CU_ASSERT_EQUAL(submit_to_lost_store(&fixture, "/q/cd34"), 503);
        while (fixture.response_count < 3) {
            run(&fixture);
            if (fake_store_pending_count(fixture.fake) > 0) {
                fake_store_refuse_call(fixture.fake);
            }
        }
        tear_down(&fixture);
    }
}

/* Guards against a route that is gone again for a caller: a node hands the
 * request to a peer that has an older configuration, and passes its 404 on. */
static void
test_older_peer_does_not_answer(void)
{
    static const struct {
        const char *headers[2];
        const char *path;
        int status;
    } cases[] = {
        {{"Aq-Forwarded: 1", "Aq-Config-Version: 2"}, "/new/ab12", 503},
        {{"Aq-Forwarded: 1", "Aq-Config-Version: 2"}, "/q/ab12", 503},
        {{"Aq-Forwarded: 1", "Aq-Config-Version: 1"}, "/new/ab12", 404},
        {{"Aq-Forwarded: 1", NULL}, "/new/ab12", 404},
        {{"Aq-Config-Version: 2", NULL}, "/new/ab12", 404},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        memcpy(fixture.headers, cases[i].headers, sizeof(fixture.headers));
        send_to(&fixture, "GET", cases[i].path);
        run(&fixture);
        CU_ASSERT_EQUAL(fixture.status, cases[i].status);
        while (fixture.response_count == 0) {
            fake_store_reply_all(fixture.fake);
            run(&fixture);
        }
        tear_down(&fixture);
    }
}

/* ---- Keys of workspaces ------------------------------------------------- */

enum {
    WORKSPACES = 2
};

/* Replaces the site by one with two workspaces, whose names and keys are "a"
 * and "b"; without keys if "are_withdrawn". */
static void
use_workspaces(Fixture *fixture, bool are_withdrawn)
{
    static char *keys[WORKSPACES] = {"a", "b"};
    static AqWorkspaceConfig workspaces[WORKSPACES];
    AqSiteConfig site = {.version = fixture->node.site.version + 1,
                         .queues = &fixture->queue,
                         .queue_count = 1,
                         .has_workspaces = true,
                         .workspaces = workspaces,
                         .workspace_count = WORKSPACES};
    for (size_t i = 0; i < WORKSPACES; i++) {
        workspaces[i] = (AqWorkspaceConfig){
            .name = keys[i], .keys = &keys[i], .key_count = !are_withdrawn};
    }
    free_site_index(fixture);
    AqSiteConfig_Index(&site);
    fixture->node.site = site;
}

/* Guards against requests that run with an unknown, withdrawn or missing key,
 * and against valid or public ones that are refused. */
static void
test_keys(void)
{
    static const struct {
        const char *key;
        bool has_workspaces;
        bool is_public;
        bool are_withdrawn;
        int status;
    } cases[] = {
        {"a", true, false, false, 200},   {"b", true, false, false, 200},
        {"ab", true, false, false, 401},  {"", true, false, false, 401},
        {NULL, true, false, false, 401},  {"a", true, false, true, 401},
        {NULL, true, true, false, 200},   {"ab", true, true, false, 200},
        {NULL, false, false, false, 200}, {"ab", false, false, false, 200},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        fixture.queue.is_public = cases[i].is_public;
        if (cases[i].has_workspaces) {
            use_workspaces(&fixture, cases[i].are_withdrawn);
        }
        CU_ASSERT_EQUAL(call(&fixture, "POST", cases[i].key), cases[i].status);
        CU_ASSERT_EQUAL(
            fake_store_value(fixture.fake, key_of_job("p", "ab12")) != NULL,
            cases[i].status == 200);
        CU_ASSERT_EQUAL(call(&fixture, "GET", cases[i].key), cases[i].status);
        CU_ASSERT_EQUAL(call(&fixture, "DELETE", cases[i].key),
                        cases[i].status);
        tear_down(&fixture);
    }
}

/* Guards against a withdrawn key that still serves a caller whose connection
 * was open before. */
static void
test_key_withdrawn_on_open_connection(void)
{
    Fixture fixture;
    set_up(&fixture);
    use_workspaces(&fixture, false);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "a"), 200);
    use_workspaces(&fixture, true);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "a"), 401);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "a"), 401);
    use_workspaces(&fixture, false);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "a"), 200);
    tear_down(&fixture);
}

/* Guards against a workspace that cancels the jobs of another. */
static void
test_cancel_by_other_workspace(void)
{
    Fixture fixture;
    set_up(&fixture);
    use_workspaces(&fixture, false);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "a"), 200);
    CU_ASSERT_EQUAL(call(&fixture, "DELETE", "b"), 410);
    CU_ASSERT_PTR_NULL(
        fake_store_value(fixture.fake, key_of_cancel("p", "ab12")));
    CU_ASSERT_EQUAL(call(&fixture, "DELETE", "a"), 200);
    CU_ASSERT_PTR_NOT_NULL(
        fake_store_value(fixture.fake, key_of_cancel("p", "ab12")));
    tear_down(&fixture);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"deadline_header", test_deadline_header},
        {"silent_store_hands_on", test_silent_store_hands_on},
        {"refusing_store_hands_on", test_refusing_store_hands_on},
        {"refusal_after_silence", test_refusal_after_silence},
        {"status_of_write", test_status_of_write},
        {"unsure_peer_gives_back", test_unsure_peer_gives_back},
        {"lost_store_is_not_written_to", test_lost_store_is_not_written_to},
        {"effect_without_reply", test_effect_without_reply},
        {"waiting_count_needs_owner", test_waiting_count_needs_owner},
        {"status_after_forwarding", test_status_after_forwarding},
        {"no_refusal_beside_open_write", test_no_refusal_beside_open_write},
        {"older_peer_does_not_answer", test_older_peer_does_not_answer},
        {"keys", test_keys},
        {"key_withdrawn_on_open_connection",
         test_key_withdrawn_on_open_connection},
        {"cancel_by_other_workspace", test_cancel_by_other_workspace},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("job_api", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
