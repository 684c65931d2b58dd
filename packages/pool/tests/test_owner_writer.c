#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "fake_store.h"
#include "owner_writer.h"
#include "store_keys.h"

/* Tests of an owner's writes whose outcome is unknown, with a store whose
 * calls end as the test says. */

enum {
    ROUND_MS = 50,
    MAX_ROUNDS = 100
};

typedef struct {
    FakeStore *fake;
    NodeContext node;
    OwnerWriter *writer;
    int end_count; /* of writes */
    AqStoreStatus last;
} Fixture;

static void
on_written(void *context, AqStoreStatus status)
{
    Fixture *fixture = context;
    fixture->end_count++;
    fixture->last = status;
}

static void
set_up(Fixture *fixture)
{
    AqError error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->fake = fake_store_create();
    fixture->node.store = fake_store_interface(fixture->fake);
    fixture->node.loop = AqLoop_Create(&error);
    uint64_t fence =
        fake_store_put(fixture->fake, key_of(KEY_OWNER, "pool"), "this");
    fixture->writer = owner_writer_create(&fixture->node, "pool", fence);
}

static void
tear_down(Fixture *fixture)
{
    owner_writer_drop(fixture->writer);
    fake_store_destroy(fixture->fake);
    AqLoop_Destroy(fixture->node.loop);
}

/* Runs the loop until the writer's retry timer has read the write stamp, and
 * replies to that read. */
static void
reply_to_stamp_read(Fixture *fixture)
{
    for (int i = 0;
         i < MAX_ROUNDS && fake_store_pending_count(fixture->fake) == 0; i++) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
    fake_store_reply(fixture->fake);
}

/* Writes the key "record", which must not exist yet, and ends the call without
 * a clear reply; the writer has sent the write again when this returns. */
static void
write_twice(Fixture *fixture)
{
    AqStoreExpect expect = {"record", 0};
    AqStorePut put = {"record", "x", 1, 0};
    owner_writer_commit(fixture->writer, &expect, 1, &put, 1, on_written,
                        fixture);
    fake_store_reply(fixture->fake);
    fake_store_lose_call(fixture->fake);
    reply_to_stamp_read(fixture);
    CU_ASSERT_EQUAL(fixture->end_count, 0);
}

/* Guards against a write that is reported as refused by its own condition,
 * which its first copy has changed: that copy is carried out after the write
 * stamp was read. */
static void
test_late_first_copy_counts(void)
{
    /* Whether the second copy gets a reply, or its outcome is unknown too. */
    for (int is_answered = 0; is_answered < 2; is_answered++) {
        Fixture fixture;
        set_up(&fixture);
        write_twice(&fixture);
        fake_store_execute_lost(fixture.fake);
        if (is_answered) {
            fake_store_reply_all(fixture.fake);
        }
        else {
            fake_store_lose_call(fixture.fake);
            reply_to_stamp_read(&fixture);
            fake_store_reply_all(fixture.fake);
        }
        CU_ASSERT_EQUAL(fixture.end_count, 1);
        CU_ASSERT_EQUAL(fixture.last, AQ_STORE_OK);
        tear_down(&fixture);
    }
}

/* Guards against a write that is reported as done although another write has
 * changed its condition. */
static void
test_other_write_is_conflict(void)
{
    Fixture fixture;
    set_up(&fixture);
    write_twice(&fixture);
    fake_store_put(fixture.fake, "record", "other");
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(fixture.end_count, 1);
    CU_ASSERT_EQUAL(fixture.last, AQ_STORE_CONFLICT);
    tear_down(&fixture);
}

/* Guards against the write stamp of an earlier ownership of the same process
 * that passes for that of a write without a reply. */
static void
test_stamp_of_earlier_ownership(void)
{
    Fixture fixture;
    AqStorePut put = {"other", "x", 1, 0};
    set_up(&fixture);
    for (int i = 0; i < 2; i++) {
        owner_writer_commit(fixture.writer, NULL, 0, &put, 1, on_written,
                            &fixture);
        fake_store_reply_all(fixture.fake);
    }
    owner_writer_drop(fixture.writer);
    uint64_t fence =
        fake_store_put(fixture.fake, key_of(KEY_OWNER, "pool"), "this");
    fixture.writer = owner_writer_create(&fixture.node, "pool", fence);
    fixture.end_count = 0;
    write_twice(&fixture);
    fake_store_lose_call(fixture.fake);
    reply_to_stamp_read(&fixture);
    CU_ASSERT_EQUAL(fixture.end_count, 0);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(fixture.end_count, 1);
    CU_ASSERT_PTR_NOT_NULL(fake_store_value(fixture.fake, "record"));
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("owner_writer", NULL, NULL);
    CU_ADD_TEST(suite, test_late_first_copy_counts);
    CU_ADD_TEST(suite, test_other_write_is_conflict);
    CU_ADD_TEST(suite, test_stamp_of_earlier_ownership);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
