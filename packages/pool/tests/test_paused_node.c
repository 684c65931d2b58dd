#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "fake_store.h"
#include "node_private.h"

/* A node that was suspended and goes on: what it knew of the configuration,
 * and of the keys in it, may be out of date. */

enum {
    START_MS = 1000,
    PAUSE_MS = 2000 /* below the age up to which a configuration counts */
};

typedef struct {
    FakeStore *fake;
    AqClock clock;
    AqNode node;
} Fixture;

static void
ignore_put(void *context, const AqStoreItem *item)
{
    (void)context;
    (void)item;
}

static void
suspend(void *context)
{
    AqClock_Advance(context, PAUSE_MS);
}

/* A node whose view of the configuration is listed, with a watch under way. */
static void
set_up(Fixture *fixture)
{
    static const PrefixViewOps ops = {ignore_put, NULL, NULL, 0, false};
    AqError error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->clock.now = START_MS;
    fixture->fake = fake_store_create();
    NodeContext *context = &fixture->node.context;
    context->loop = AqLoop_Create(&error);
    context->store = fake_store_interface(fixture->fake);
    context->site.version = 1;
    AqLoop_SetClock(context->loop, &fixture->clock);
    fixture->node.operator_view =
        prefix_view_create(context->loop, context->store, "conf/", &ops, NULL);
    fake_store_reply(fixture->fake);
}

static void
tear_down(Fixture *fixture)
{
    prefix_view_destroy(fixture->node.operator_view);
    fake_store_reply_all(fixture->fake);
    AqLoop_Destroy(fixture->node.context.loop);
    fake_store_destroy(fixture->fake);
}

static void
run_paused(Fixture *fixture)
{
    AqLoop *loop = fixture->node.context.loop;
    AqTimer timer;
    AqTimer_Init(&timer, suspend, &fixture->clock);
    AqTimer_Start(loop, &timer, fixture->clock.now + 1);
    AqLoop_RunOnce(loop, 1);
    AqLoop_RunOnce(loop, 0);
}

/* Guards against a process that was paused and then acts on a key that was
 * withdrawn meanwhile: the reply to a watch that was sent before the pause is
 * read only after it. */
static void
test_paused_node_asks_first(void)
{
    Fixture fixture;
    set_up(&fixture);
    CU_ASSERT_TRUE(node_is_current(&fixture.node));
    run_paused(&fixture);
    CU_ASSERT_FALSE(node_is_current(&fixture.node));
    fake_store_put(fixture.fake, "conf/keys", "1");
    fake_store_reply(fixture.fake);
    CU_ASSERT_FALSE(node_is_current(&fixture.node));
    /* the next watch, which was sent after the pause */
    fake_store_reply(fixture.fake);
    CU_ASSERT_TRUE(node_is_current(&fixture.node));
    tear_down(&fixture);
}

/* Guards against a node that takes no requests after a pause until its watch
 * ends, which may take seconds. */
static void
test_refresh_asks_at_once(void)
{
    Fixture fixture;
    set_up(&fixture);
    run_paused(&fixture);
    prefix_view_refresh(fixture.node.operator_view);
    CU_ASSERT_EQUAL(fake_store_last_wait_ms(fixture.fake), 0);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 2);
    fake_store_reply(fixture.fake);
    CU_ASSERT_FALSE(node_is_current(&fixture.node));
    fake_store_reply(fixture.fake);
    CU_ASSERT_TRUE(node_is_current(&fixture.node));
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("paused_node", NULL, NULL);
    CU_ADD_TEST(suite, test_paused_node_asks_first);
    CU_ADD_TEST(suite, test_refresh_asks_at_once);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
