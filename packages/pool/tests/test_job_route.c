#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_job_spec.h"
#include "aq_log.h"
#include "job_api_fixture.h"
#include "store_keys.h"

/* Requests for a job whose queue has changed its pool since the job was
 * accepted: the configuration dropped the queue and added it again. */

static void
set_pool(Fixture *fixture, const char *pool)
{
    static char pools[2][8];
    char *copy = pools[strcmp(pool, "p") != 0];
    g_strlcpy(copy, pool, sizeof(pools[0]));
    fixture->queue.pool = copy;
    fixture->node.site.version++;
}

static bool
has_key(const Fixture *fixture, const char *key)
{
    size_t size;
    return fake_store_bytes(fixture->fake, key, &size) != NULL;
}

/* Guards against an accepted job that is answered 410, can't be cancelled, or
 * is stored in the other pool too, where its tasks run beside themselves. */
static void
test_job_is_found_in_its_pool(void)
{
    static const struct {
        const char *before; /* method of the request before the change */
        const char *after;
        int status;
        bool is_cancelled;
    } cases[] = {
        {"POST", "GET", 200, false},     {"POST", "POST", 200, false},
        {"POST", "DELETE", 200, true},   {"DELETE", "POST", 200, true},
        {"DELETE", "DELETE", 410, true}, {"DELETE", "GET", 410, true},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        call(&fixture, cases[i].before, NULL);
        set_pool(&fixture, "other");
        CU_ASSERT_EQUAL(call(&fixture, cases[i].after, NULL), cases[i].status);
        CU_ASSERT_EQUAL(has_key(&fixture, key_of_job("p", "ab12")),
                        strcmp(cases[i].before, "POST") == 0);
        CU_ASSERT_EQUAL(has_key(&fixture, key_of_cancel("p", "ab12")),
                        cases[i].is_cancelled);
        CU_ASSERT_FALSE(has_key(&fixture, key_of_job("other", "ab12")));
        CU_ASSERT_FALSE(has_key(&fixture, key_of_cancel("other", "ab12")));
        tear_down(&fixture);
    }
}

/* Guards against the same after a write without a reply, also if the store
 * carries it out only when the configuration has changed, and against a late
 * write that stores the job a second time. */
static void
test_write_without_reply(void)
{
    static const struct {
        bool is_late; /* carried out after the change */
        const char *job_pool;
    } cases[] = {{false, "p"}, {true, "other"}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up(&fixture);
        fixture.has_peer = true;
        send_request(&fixture, "POST");
        run(&fixture);
        fake_store_lose_call(fixture.fake);
        if (!cases[i].is_late) {
            fake_store_execute_lost(fixture.fake);
        }
        run_to_response(&fixture);
        set_pool(&fixture, "other");
        CU_ASSERT_EQUAL(call(&fixture, "POST", NULL), 200);
        if (cases[i].is_late) {
            fake_store_execute_lost(fixture.fake);
        }
        const char *pool =
            fake_store_value(fixture.fake, key_of(KEY_JOB_POOL, "ab12"));
        CU_ASSERT_EQUAL(g_strcmp0(pool, cases[i].job_pool), 0);
        CU_ASSERT_EQUAL(has_key(&fixture, key_of_job("p", "ab12")),
                        !cases[i].is_late);
        CU_ASSERT_EQUAL(has_key(&fixture, key_of_job("other", "ab12")),
                        cases[i].is_late);
        CU_ASSERT_EQUAL(call(&fixture, "GET", NULL), 200);
        tear_down(&fixture);
    }
}

/* Guards against a cancellation that its job never gets, or against one that
 * is confirmed without a mark, when the store serves none or only some of its
 * calls. */
static void
test_cancel_beside_store_faults(void)
{
    /* the call of the cancellation that fails: the conditional mark, the read
     * of the job in its pool, the mark there */
    for (int failing = 0; failing < 3; failing++) {
        Fixture fixture;
        set_up(&fixture);
        CU_ASSERT_EQUAL(call(&fixture, "POST", NULL), 200);
        set_pool(&fixture, "other");
        fixture.response_count = 0;
        send_request(&fixture, "DELETE");
        for (int i = 0; i < failing; i++) {
            run(&fixture);
            fake_store_reply(fixture.fake);
            AqLoop_RunOnce(fixture.node.loop, 0);
        }
        run(&fixture);
        fake_store_lose_call(fixture.fake);
        while (fixture.response_count == 0) {
            run(&fixture);
            fake_store_reply_all(fixture.fake);
        }
        CU_ASSERT_EQUAL(fixture.status == 200,
                        has_key(&fixture, key_of_cancel("p", "ab12")));
        CU_ASSERT_TRUE(fixture.status == 200 || fixture.status == 503);
        CU_ASSERT_EQUAL(call(&fixture, "DELETE", NULL), 200);
        CU_ASSERT_TRUE(has_key(&fixture, key_of_cancel("p", "ab12")));
        CU_ASSERT_FALSE(has_key(&fixture, key_of_cancel("other", "ab12")));
        tear_down(&fixture);
    }
}

/* Guards against a count of waiting jobs without those that wait in the pool
 * that the queue had before. */
static void
test_waiting_jobs_of_both_pools(void)
{
    Fixture fixture;
    set_up(&fixture);
    fake_store_put(fixture.fake, key_of(KEY_REPORT, "p"), "q 7\nqq 100\n");
    fake_store_put(fixture.fake, key_of(KEY_REPORT, "other"), "a 5\nq 2\n");
    fake_store_put(fixture.fake, key_of(KEY_REPORT, "third"), "");
    set_pool(&fixture, "other");
    fixture.response_count = 0;
    send_to(&fixture, "GET", "/q/");
    run(&fixture);
    fake_store_reply(fixture.fake);
    run_to_response(&fixture);
    CU_ASSERT_EQUAL(fixture.status, 200);
    CU_ASSERT_STRING_EQUAL(fixture.response, "{\"waiting\":9}");
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("job_route", NULL, NULL);
    CU_ADD_TEST(suite, test_job_is_found_in_its_pool);
    CU_ADD_TEST(suite, test_write_without_reply);
    CU_ADD_TEST(suite, test_cancel_beside_store_faults);
    CU_ADD_TEST(suite, test_waiting_jobs_of_both_pools);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
