#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "cap_escrow.h"
#include "fake_store.h"
#include "store_keys.h"

/* Tests of the owners' changes of the stored parts of a cap, with a store
 * whose calls end as the test says and schedulers without VMs. */

enum {
    CAP = 100000,
    POOLS = 2,
    BASE = CAP / POOLS / 2, /* of each pool, without demand */
    ROUNDS = 60, /* of a test's wait, each with a step of the owners' clock */
    STEP_MS = 50
};

static const char *const pool_names[POOLS] = {"a", "b"};

typedef struct {
    OwnerWriter *writer;
    AqScheduler *scheduler;
    CapEscrow *escrow;
    AqResources limit;
} Owner;

typedef struct {
    FakeStore *fake;
    NodeContext node;
    AqPoolConfig pools[POOLS];
    AqWorkspaceConfig workspace;
    AqTime ahead; /* of the owners' clock, ms */
    Owner owners[POOLS];
} Fixture;

static void
superseded(void *context)
{
    (void)context;
}

/* Adds a VM that an earlier owner has used, and that has not replied since. */
static void
add_used_vm(AqScheduler *scheduler)
{
    static const AqSchedulerConfig config = {.fence = 6, .lease_ms = 5000};
    static const AqSchedulerActions actions = {.superseded = superseded};
    AqVmReport report = {.cpu_millis = CAP, .leaves_ms = -1};
    AqBuffer bytes;
    AqScheduler *earlier = AqScheduler_Create(&config, &actions, NULL, 1000);
    g_strlcpy(report.id, "vm-1", sizeof(report.id));
    AqScheduler_SetVm(earlier, &report, 1000);
    AqBuffer_Init(&bytes);
    AqScheduler_EncodeUsedVms(earlier, &bytes);
    CU_ASSERT_TRUE(AqScheduler_AddUsedVms(scheduler, AqBuffer_Text(&bytes),
                                          bytes.size, 1000));
    AqBuffer_Clear(&bytes);
    AqScheduler_Destroy(earlier);
}

static void
start_owner(Fixture *f, unsigned number, AqTime earlier_owner_ms)
{
    static const AqSchedulerActions actions = {.superseded = superseded};
    Owner *owner = &f->owners[number];
    AqSchedulerConfig config = {
        .fence = 7, .lease_ms = 5000, .earlier_owner_ms = earlier_owner_ms};
    uint64_t fence =
        fake_store_put(f->fake, key_of(KEY_OWNER, pool_names[number]), "this");
    owner->writer = owner_writer_create(&f->node, pool_names[number], fence);
    owner->scheduler = AqScheduler_Create(&config, &actions, NULL, 1000);
    AqScheduler_SetSite(owner->scheduler, &f->node.site);
    if (earlier_owner_ms > 0) {
        add_used_vm(owner->scheduler);
    }
    AqScheduler_SetLoaded(owner->scheduler);
    AqScheduler_ConfirmOwnership(owner->scheduler, 1000);
    AqScheduler_Tick(owner->scheduler, 1000, 1, false);
    owner->escrow = cap_escrow_create(&f->node, pool_names[number],
                                      owner->writer, owner->scheduler);
}

static void
stop_owner(Fixture *f, unsigned number)
{
    Owner *owner = &f->owners[number];
    cap_escrow_destroy(owner->escrow);
    owner_writer_drop(owner->writer);
    AqScheduler_Destroy(owner->scheduler);
}

static void
set_up(Fixture *f, int64_t cap)
{
    AqError error;
    memset(f, 0, sizeof(*f));
    f->fake = fake_store_create();
    f->node.store = fake_store_interface(f->fake);
    f->node.loop = AqLoop_Create(&error);
    f->workspace = (AqWorkspaceConfig){.name = "w", .weight = 1};
    f->workspace.cap.cpu_millis = cap;
    for (unsigned i = 0; i < POOLS; i++) {
        f->pools[i].name = (char *)pool_names[i];
    }
    f->node.site = (AqSiteConfig){.pools = f->pools,
                                  .pool_count = POOLS,
                                  .has_workspaces = true,
                                  .workspaces = &f->workspace,
                                  .workspace_count = 1};
    for (unsigned i = 0; i < POOLS; i++) {
        start_owner(f, i, 0);
    }
}

static void
tear_down(Fixture *f)
{
    for (unsigned i = 0; i < POOLS; i++) {
        stop_owner(f, i);
    }
    fake_store_destroy(f->fake);
    AqLoop_Destroy(f->node.loop);
}

static void
note_limit(void *context, const AqWorkspaceView *view)
{
    *(AqResources *)context = view->limit;
}

static void
round_of(Fixture *f, unsigned number)
{
    Owner *owner = &f->owners[number];
    f->ahead += STEP_MS;
    cap_escrow_round(owner->escrow, AqLoop_Now(f->node.loop) + f->ahead, true);
    AqScheduler_EachWorkspace(owner->scheduler, note_limit, &owner->limit);
}

/* Runs all owners, with a store that replies. */
static void
run(Fixture *f)
{
    for (unsigned round = 0; round < ROUNDS; round++) {
        for (unsigned i = 0; i < POOLS; i++) {
            round_of(f, i);
        }
        fake_store_reply_all(f->fake);
        AqLoop_RunOnce(f->node.loop, 1);
    }
}

static int64_t
limit_of(const Fixture *f, unsigned number)
{
    return f->owners[number].limit.cpu_millis;
}

/* What the stored record says that the pool holds; -1: it is not readable. */
static int64_t
held_by(const Fixture *f, unsigned number)
{
    AqError error;
    size_t size;
    const char *bytes =
        fake_store_bytes(f->fake, key_of(KEY_CAPS, "parts"), &size);
    AqCapRecord *record =
        bytes != NULL ? AqCapRecord_Decode(bytes, size, &error) : NULL;
    const AqCapPart *part =
        record != NULL ? AqCapRecord_Find(record, "w", pool_names[number])
                       : NULL;
    int64_t held = part != NULL ? part->held.cpu_millis : -1;
    AqCapRecord_Destroy(record);
    return held;
}

/* Guards against store calls where no workspace has a cap. */
static void
test_no_calls_without_caps(void)
{
    Fixture f;
    set_up(&f, 0);
    run(&f);
    CU_ASSERT_EQUAL(fake_store_pending_count(f.fake), 0);
    CU_ASSERT_EQUAL(fake_store_get_count(f.fake), 0);
    tear_down(&f);
}

/* Guards against a workspace that cannot start before it has tasks, and
 * against two owners that write at once: the second finds another record than
 * the one that it has read. */
static void
test_two_writers_share_cap(void)
{
    Fixture f;
    set_up(&f, CAP);
    run(&f);
    CU_ASSERT_EQUAL(limit_of(&f, 0), BASE);
    CU_ASSERT_EQUAL(limit_of(&f, 1), BASE);
    tear_down(&f);
}

/* Guards against an owner that starts before it has read what its pool
 * holds, and one that stops when the store goes. */
static void
test_store_down(void)
{
    Fixture f;
    set_up(&f, CAP);
    for (unsigned round = 0; round < ROUNDS; round++) {
        round_of(&f, 0);
    }
    CU_ASSERT_EQUAL(limit_of(&f, 0), 0);
    run(&f);
    for (unsigned round = 0; round < ROUNDS; round++) {
        round_of(&f, 0);
        while (fake_store_pending_count(f.fake) > 0) {
            fake_store_refuse_call(f.fake);
        }
        AqLoop_RunOnce(f.node.loop, 1);
    }
    CU_ASSERT_EQUAL(limit_of(&f, 0), BASE);
    tear_down(&f);
}

/* Guards against starts in a part that a write without a reply may have given
 * back: the cap was lowered. */
static void
test_unanswered_write(void)
{
    Fixture f;
    set_up(&f, CAP);
    run(&f);
    f.workspace.cap.cpu_millis = CAP / 10;
    AqScheduler_SetSite(f.owners[0].scheduler, &f.node.site);
    round_of(&f, 0);
    CU_ASSERT_TRUE(limit_of(&f, 0) <= CAP / 10);
    fake_store_lose_call(f.fake);
    round_of(&f, 0);
    CU_ASSERT_TRUE(limit_of(&f, 0) <= CAP / 10);
    /* The other owner, whose configuration is older, takes nothing of it. */
    round_of(&f, 1);
    CU_ASSERT_TRUE(limit_of(&f, 1) <= CAP / 2);
    tear_down(&f);
}

/* Guards against starts of a new owner beside those of its predecessor's runs
 * that it does not know: the part that it inherits counts as used. */
static void
test_owner_is_replaced(void)
{
    Fixture f;
    set_up(&f, CAP);
    run(&f);
    stop_owner(&f, 0);
    start_owner(&f, 0, 60000);
    run(&f);
    CU_ASSERT_FALSE(AqScheduler_IsRecovered(f.owners[0].scheduler));
    CU_ASSERT_TRUE(held_by(&f, 0) >= limit_of(&f, 0) + BASE);
    CU_ASSERT_TRUE(held_by(&f, 0) + held_by(&f, 1) <= CAP);
    CU_ASSERT_EQUAL(limit_of(&f, 1), BASE);
    tear_down(&f);
}

/* Guards against a write that undoes another owner's: the reply to a write
 * arrives after the watch has reported the other owner's next one. */
static void
test_reply_after_next_write(void)
{
    Fixture f;
    AqBuffer bytes;
    AqError error;
    size_t size;
    char *key = g_strdup(key_of(KEY_CAPS, "parts"));
    set_up(&f, CAP);
    run(&f);
    f.workspace.cap.cpu_millis = CAP / 4;
    AqScheduler_SetSite(f.owners[0].scheduler, &f.node.site);
    for (unsigned round = 0; round < ROUNDS; round++) {
        round_of(&f, 0);
        AqLoop_RunOnce(f.node.loop, 2);
    }
    CU_ASSERT_TRUE_FATAL(fake_store_reply_until_put(f.fake, key));
    fake_store_hold_reply(f.fake);
    const char *text = fake_store_bytes(f.fake, key, &size);
    AqCapRecord *record = AqCapRecord_Decode(text, size, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(record);
    AqCapPart part = {.held = {.cpu_millis = 1234},
                      .want = {.cpu_millis = 1234}};
    AqCapRecord_Set(record, "w", pool_names[1], &part);
    AqBuffer_Init(&bytes);
    AqCapRecord_Encode(record, &bytes);
    fake_store_put_bytes(f.fake, key, AqBuffer_Text(&bytes), bytes.size);
    AqCapRecord_Destroy(record);
    AqBuffer_Clear(&bytes);
    fake_store_reply_all(f.fake);
    fake_store_release_reply(f.fake);
    f.workspace.cap.cpu_millis = CAP;
    AqScheduler_SetSite(f.owners[0].scheduler, &f.node.site);
    for (unsigned round = 0; round < ROUNDS; round++) {
        round_of(&f, 0);
        fake_store_reply_all(f.fake);
        AqLoop_RunOnce(f.node.loop, 2);
    }
    CU_ASSERT_EQUAL(held_by(&f, 0), BASE);
    CU_ASSERT_EQUAL(held_by(&f, 1), 1234);
    g_free(key);
    tear_down(&f);
}

/* Guards against owners that stand still, or start beyond the cap, after the
 * record was damaged or removed: they write it again from what they know. */
static void
test_damaged_record_is_repaired(void)
{
    for (int is_removed = 0; is_removed < 2; is_removed++) {
        Fixture f;
        char *key = g_strdup(key_of(KEY_CAPS, "parts"));
        set_up(&f, CAP);
        run(&f);
        if (is_removed) {
            fake_store_remove(f.fake, key);
        }
        else {
            fake_store_put(f.fake, key, "\xff\xff garbage");
        }
        run(&f);
        CU_ASSERT_EQUAL(limit_of(&f, 0), BASE);
        CU_ASSERT_EQUAL(limit_of(&f, 1), BASE);
        CU_ASSERT_EQUAL(held_by(&f, 0), BASE);
        CU_ASSERT_EQUAL(held_by(&f, 1), BASE);
        g_free(key);
        tear_down(&f);
    }
}

/* Guards against workspaces and pools of a new configuration that wait for a
 * restart, and against parts that stay with what the configuration dropped. */
static void
test_configuration_changes(void)
{
    Fixture f;
    set_up(&f, 0);
    run(&f);
    f.workspace.cap.cpu_millis = CAP;
    f.node.site.pool_count = 1;
    for (unsigned i = 0; i < POOLS; i++) {
        AqScheduler_SetSite(f.owners[i].scheduler, &f.node.site);
    }
    run(&f);
    CU_ASSERT_EQUAL(limit_of(&f, 0), CAP / 2);
    CU_ASSERT_TRUE(cap_escrow_is_settled(f.owners[1].escrow));
    f.node.site.pool_count = POOLS;
    run(&f);
    CU_ASSERT_TRUE(limit_of(&f, 0) + limit_of(&f, 1) <= CAP);
    CU_ASSERT_EQUAL(limit_of(&f, 1), BASE);
    f.node.site.pool_count = 1;
    run(&f);
    CU_ASSERT_TRUE(cap_escrow_is_settled(f.owners[1].escrow));
    tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("cap_escrow", NULL, NULL);
    CU_ADD_TEST(suite, test_no_calls_without_caps);
    CU_ADD_TEST(suite, test_two_writers_share_cap);
    CU_ADD_TEST(suite, test_store_down);
    CU_ADD_TEST(suite, test_unanswered_write);
    CU_ADD_TEST(suite, test_owner_is_replaced);
    CU_ADD_TEST(suite, test_reply_after_next_write);
    CU_ADD_TEST(suite, test_damaged_record_is_repaired);
    CU_ADD_TEST(suite, test_configuration_changes);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
