#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "fake_store.h"
#include "member.h"
#include "store_keys.h"

/* Tests of a node's membership with a store whose calls end as the test says.
 */

enum {
    ROUND_MS = 10,
    MAX_ROUNDS = 2000
};

typedef struct {
    FakeStore *fake;
    NodeContext node;
    Member *member;
} Fixture;

static void
on_gained(void *context, const Ownership *ownership)
{
    (void)context;
    (void)ownership;
}

static void
on_lost(void *context, const char *pool, const char *reason)
{
    (void)context;
    (void)pool;
    (void)reason;
}

static void
set_up(Fixture *fixture)
{
    static const MemberOps ops = {on_gained, on_lost};
    static AqSettings settings = {.node_id = "n-1",
                                  .node_cpu_share = "0.25",
                                  .callers_listen = "127.0.0.1:1"};
    AqError error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->fake = fake_store_create();
    fixture->node.store = fake_store_interface(fixture->fake);
    fixture->node.loop = AqLoop_Create(&error);
    fixture->node.settings = &settings;
    g_strlcpy(fixture->node.incarnation, "this",
              sizeof(fixture->node.incarnation));
    fixture->member = member_create(&fixture->node, &ops, fixture);
}

static void
tear_down(Fixture *fixture)
{
    member_destroy(fixture->member);
    fake_store_destroy(fixture->fake);
    store_health_clear(&fixture->node.store_health);
    AqLoop_Destroy(fixture->node.loop);
}

/* Carries out the store's calls until the next one writes the node's
 * membership entry. */
static bool
run_to_registration(Fixture *fixture, const char *key)
{
    for (int i = 0; i < MAX_ROUNDS; i++) {
        if (fake_store_is_next_write(fixture->fake, key)) {
            return true;
        }
        if (fake_store_pending_count(fixture->fake) > 0) {
            fake_store_reply(fixture->fake);
        }
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
    return false;
}

/* Guards against a node that vanishes for the others: the write of its entry
 * ends without a clear reply, the node writes the entry under another lease,
 * and the store then carries out the first write under the first lease, which
 * nobody renews. */
static void
test_late_registration_keeps_lease(void)
{
    for (int is_refused = 0; is_refused < 2; is_refused++) {
        Fixture fixture;
        set_up(&fixture);
        char *key = g_strdup(key_of(KEY_MEMBER, "n-1"));
        CU_ASSERT_TRUE_FATAL(run_to_registration(&fixture, key));
        fake_store_end_call(fixture.fake, AQ_STORE_UNKNOWN);
        CU_ASSERT_TRUE_FATAL(run_to_registration(&fixture, key));
        if (is_refused) {
            fake_store_refuse_call(fixture.fake);
            CU_ASSERT_TRUE_FATAL(run_to_registration(&fixture, key));
        }
        fake_store_reply(fixture.fake);
        CU_ASSERT_TRUE(fake_store_has_last_lease(fixture.fake, key));
        fake_store_execute_lost(fixture.fake);
        CU_ASSERT_TRUE(fake_store_has_last_lease(fixture.fake, key));
        g_free(key);
        tear_down(&fixture);
    }
}

/* Guards against a node that goes on to write its entry under a lease that has
 * ended. */
static void
test_ended_lease_is_replaced(void)
{
    Fixture fixture;
    set_up(&fixture);
    char *key = g_strdup(key_of(KEY_MEMBER, "n-1"));
    CU_ASSERT_TRUE_FATAL(run_to_registration(&fixture, key));
    fake_store_end_call(fixture.fake, AQ_STORE_ABSENT);
    fake_store_end_lease(fixture.fake);
    CU_ASSERT_TRUE_FATAL(run_to_registration(&fixture, key));
    fake_store_reply(fixture.fake);
    CU_ASSERT_TRUE(fake_store_has_last_lease(fixture.fake, key));
    g_free(key);
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("member", NULL, NULL);
    CU_ADD_TEST(suite, test_late_registration_keeps_lease);
    CU_ADD_TEST(suite, test_ended_lease_is_replaced);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
