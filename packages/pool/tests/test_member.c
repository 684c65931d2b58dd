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
    Ownership ownership; /* the last that the node gained */
    bool owns_pool;
} Fixture;

static void
on_gained(void *context, const Ownership *ownership)
{
    Fixture *fixture = context;
    fixture->ownership = *ownership;
    fixture->owns_pool = true;
}

static void
on_lost(void *context, const char *pool, const char *reason)
{
    (void)pool;
    (void)reason;
    ((Fixture *)context)->owns_pool = false;
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

/* Sets up a node that is configured with one pool and runs it until its next
 * call is the claim of that pool. */
static void
set_up_claim(Fixture *fixture)
{
    static AqPoolConfig pool = {.name = "pool"};
    char *key = g_strdup(key_of(KEY_OWNER, "pool"));
    set_up(fixture);
    fixture->node.site = (AqSiteConfig){.pools = &pool, .pool_count = 1};
    member_site_changed(fixture->member);
    bool is_due = false;
    for (int i = 0; i < MAX_ROUNDS && !is_due; i++) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
        is_due = fake_store_reply_until_put(fixture->fake, key);
    }
    CU_ASSERT_TRUE_FATAL(is_due);
    g_free(key);
}

static void
run_for(Fixture *fixture, AqTime ms)
{
    AqTime begin = AqLoop_Now(fixture->node.loop);
    while (AqLoop_Now(fixture->node.loop) - begin < ms) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
        fake_store_reply_all(fixture->fake);
    }
}

/* Guards against a node that takes a pool for its own after another node has
 * claimed it: the reply to its own claim comes after the changes that show the
 * removal of its owner key and the other node's key. */
static void
test_reply_to_claim_after_loss(void)
{
    Fixture fixture;
    set_up_claim(&fixture);
    char *key = g_strdup(key_of(KEY_OWNER, "pool"));
    fake_store_hold_reply(fixture.fake);
    fake_store_reply_all(fixture.fake);
    fake_store_remove(fixture.fake, key);
    fake_store_reply_all(fixture.fake);
    fake_store_put(fixture.fake, key, "n-2 other");
    fake_store_reply_all(fixture.fake);
    fake_store_release_reply(fixture.fake);
    run_for(&fixture, 300);
    CU_ASSERT_FALSE(fixture.owns_pool);
    g_free(key);
    tear_down(&fixture);
}

/* Guards against a node that takes a pool for its own after the lease of its
 * owner key has ended: the reply to its claim comes when the node has another
 * lease already. */
static void
test_reply_to_claim_after_lease(void)
{
    Fixture fixture;
    set_up_claim(&fixture);
    uint64_t lease = member_lease(fixture.member);
    fake_store_hold_reply(fixture.fake);
    fake_store_end_lease(fixture.fake);
    for (int i = 0; i < MAX_ROUNDS && (member_lease(fixture.member) == lease ||
                                       !member_may_order(fixture.member));
         i++) {
        AqLoop_RunOnce(fixture.node.loop, ROUND_MS);
        fake_store_reply_all(fixture.fake);
    }
    CU_ASSERT_PTR_NULL(
        fake_store_value(fixture.fake, key_of(KEY_OWNER, "pool")));
    fake_store_release_reply(fixture.fake);
    CU_ASSERT_FALSE(fixture.owns_pool && member_may_order(fixture.member));
    tear_down(&fixture);
}

/* Guards against run numbers that repeat: a claim without a reply takes effect
 * late, and the claim that follows it finds the term of the first. */
static void
test_late_claim_keeps_generation(void)
{
    Fixture fixture;
    set_up_claim(&fixture);
    fake_store_lose_call(fixture.fake);
    /* The read of the owner key finds none. */
    fake_store_reply_newest(fixture.fake);
    while (fake_store_get_count(fixture.fake) < 3) {
        AqLoop_RunOnce(fixture.node.loop, ROUND_MS);
    }
    /* The first claim takes effect before the term is read again; the change
     * of the owner key is not seen yet. */
    fake_store_execute_lost(fixture.fake);
    for (int i = 0; i < MAX_ROUNDS && !fixture.owns_pool; i++) {
        fake_store_reply_newest(fixture.fake);
        AqLoop_RunOnce(fixture.node.loop, 0);
    }
    CU_ASSERT_TRUE(fixture.owns_pool);
    /* The term counts the ownerships so far, this one included. */
    const char *term =
        fake_store_value(fixture.fake, key_of(KEY_TERM, "pool"));
    CU_ASSERT_EQUAL(strtoll(term, NULL, 10), fixture.ownership.generation + 1);
    tear_down(&fixture);
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *suite;
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"member", "late_registration_keeps_lease",
         test_late_registration_keeps_lease},
        {"member", "ended_lease_is_replaced", test_ended_lease_is_replaced},
        {"reply_to_claim_after_loss", "reply_to_claim_after_loss",
         test_reply_to_claim_after_loss},
        {"reply_to_claim_after_lease", "reply_to_claim_after_lease",
         test_reply_to_claim_after_lease},
        {"late_claim_keeps_generation", "late_claim_keeps_generation",
         test_late_claim_keeps_generation},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("member", NULL, NULL);
    unsigned count = 0;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (argc < 2 || strcmp(argv[1], cases[i].suite) == 0) {
            CU_add_test(suite, cases[i].name, cases[i].run);
            count++;
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 && count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
