#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_machine_requests.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "fake_store.h"
#include "store_keys.h"
#include "machine_coordinator.h"
#include "owner_writer.h"
#include "pool_machines.h"
#include "pool_owner.h"
#include "platform_samples.h"
#include "prefix_view.h"
#include "vm_directory.h"

typedef struct {
    FakeStore *fake;
    NodeContext node;
    AqClock clock; /* clock that the loop reads */
} Fixture;

static void
set_up(Fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->fake = fake_store_create();
    fixture->node.store = fake_store_interface(fixture->fake);
    fixture->node.loop = AqLoop_Create(NULL);
    /* The loop's time starts close to the monotonic clock, which
     * fenced_order.c reads directly. */
    fixture->clock.now = AqClock_ReadMonotonic();
    AqLoop_SetClock(fixture->node.loop, &fixture->clock);
    strcpy(fixture->node.incarnation, "this-process");
}

static void
tear_down(Fixture *fixture)
{
    fake_store_destroy(fixture->fake);
    AqLoop_Destroy(fixture->node.loop);
}

/* ---- Writes of an owner ------------------------------------------------- */

typedef struct {
    int count;
    AqStoreStatus last;
    /* Writer that the callback of a write drops; NULL: none. */
    OwnerWriter *drop;
} Outcome;

static void
on_written(void *context, AqStoreStatus status)
{
    Outcome *outcome = context;
    outcome->count++;
    outcome->last = status;
    if (outcome->drop != NULL) {
        owner_writer_drop(outcome->drop);
        outcome->drop = NULL;
    }
}

static void
write_value(OwnerWriter *writer, const char *value, Outcome *outcome)
{
    AqStorePut put = {"record", value, strlen(value), 0};
    owner_writer_commit(writer, NULL, 0, &put, 1, on_written, outcome);
}

static OwnerWriter *
make_writer(Fixture *fixture)
{
    uint64_t fence =
        fake_store_put(fixture->fake, key_of(KEY_OWNER, "pool"), "this");
    return owner_writer_create(&fixture->node, "pool", fence);
}

/* Runs the loop until the store gets a call, for instance when the retry timer
 * of an OwnerWriter reads the write stamp, the key that every write of the
 * owner replaces. */
static void
run_until_call(Fixture *fixture)
{
    for (int i = 0; i < 100 && fake_store_pending_count(fixture->fake) == 0;
         i++) {
        AqLoop_RunOnce(fixture->node.loop, 50);
    }
}

/* Guards against an old record overwriting a newer one: a write of an owner
 * gets no reply, and the store executes it after a newer write of the same
 * owner. */
static void
test_late_write_has_no_effect(void)
{
    Fixture fixture;
    Outcome first = {0};
    Outcome second = {0};
    set_up(&fixture);
    OwnerWriter *writer = make_writer(&fixture);
    write_value(writer, "old", &first);
    /* Reply to the writer's read of the write stamp, the key that each of its
     * writes replaces. */
    fake_store_reply(fixture.fake);
    fake_store_lose_call(fixture.fake);
    run_until_call(&fixture);
    /* Reply to the writer's read of the write stamp, the key that each of its
     * writes replaces: the stamp shows that the lost write had no effect. */
    fake_store_reply(fixture.fake);
    /* Reply to the lost write, which the writer has sent again. */
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(first.last, AQ_STORE_OK);
    write_value(writer, "new", &second);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(second.last, AQ_STORE_OK);
    fake_store_execute_lost(fixture.fake);
    CU_ASSERT_STRING_EQUAL(fake_store_value(fixture.fake, "record"), "new");
    owner_writer_drop(writer);
    tear_down(&fixture);
}

/* Guards against a write that took effect but got no reply being reported as
 * failed, or sent a second time. */
static void
test_effect_without_reply(void)
{
    Fixture fixture;
    Outcome outcome = {0};
    set_up(&fixture);
    OwnerWriter *writer = make_writer(&fixture);
    write_value(writer, "value", &outcome);
    fake_store_reply(fixture.fake);
    fake_store_lose_call(fixture.fake);
    fake_store_execute_lost(fixture.fake);
    run_until_call(&fixture);
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(outcome.count, 1);
    CU_ASSERT_EQUAL(outcome.last, AQ_STORE_OK);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 0);
    owner_writer_drop(writer);
    tear_down(&fixture);
}

/* Guards against an owner that continues to write after another node has
 * become the owner of the pool. */
static void
test_lost_ownership(void)
{
    Fixture fixture;
    Outcome outcome = {0};
    set_up(&fixture);
    OwnerWriter *writer = make_writer(&fixture);
    fake_store_put(fixture.fake, key_of(KEY_OWNER, "pool"), "other");
    write_value(writer, "value", &outcome);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(outcome.last, AQ_STORE_ABSENT);
    CU_ASSERT_PTR_NULL(fake_store_value(fixture.fake, "record"));
    owner_writer_drop(writer);
    tear_down(&fixture);
}

/* Guards against an OwnerWriter that reports the failure of a condition that
 * the caller gave with a write as the loss of the ownership. */
static void
test_own_condition(void)
{
    Fixture fixture;
    Outcome outcome = {0};
    AqStoreExpect expect = {"other", 3};
    AqStorePut put = {"record", "x", 1, 0};
    set_up(&fixture);
    OwnerWriter *writer = make_writer(&fixture);
    owner_writer_commit(writer, &expect, 1, &put, 1, on_written, &outcome);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(outcome.last, AQ_STORE_CONFLICT);
    owner_writer_drop(writer);
    tear_down(&fixture);
}

/* Guards against use after free when the callback of a write drops the
 * OwnerWriter, as at the end of an ownership, while other writes are
 * queued. */
static void
test_drop_from_callback(void)
{
    Fixture fixture;
    Outcome first = {0};
    Outcome second = {0};
    set_up(&fixture);
    OwnerWriter *writer = make_writer(&fixture);
    first.drop = writer;
    write_value(writer, "a", &first);
    write_value(writer, "b", &second);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(first.count, 1);
    CU_ASSERT_EQUAL(second.count, 1);
    CU_ASSERT_EQUAL(second.last, AQ_STORE_UNAVAILABLE);
    tear_down(&fixture);
}

/* ---- Views -------------------------------------------------------------- */

typedef struct {
    unsigned puts;
    unsigned removals;
    unsigned listings;
    char last[64];
} ViewCounts;

static void
on_put(void *context, const AqStoreItem *item)
{
    ViewCounts *counts = context;
    counts->puts++;
    snprintf(counts->last, sizeof(counts->last), "%.*s", (int)item->size,
             item->value);
}

static void
on_removed(void *context, const char *key)
{
    ViewCounts *counts = context;
    (void)key;
    counts->removals++;
}

static void
on_listed(void *context)
{
    ((ViewCounts *)context)->listings++;
}

static const PrefixViewOps view_ops = {on_put, on_removed, on_listed, 0,
                                       false};

/* Guards against a PrefixView that misses changes of keys or reports them
 * twice. */
static void
test_view_follows(void)
{
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    fake_store_put(fixture.fake, "p/a", "1");
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &view_ops, &counts);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 1);
    CU_ASSERT_EQUAL(counts.listings, 1);
    fake_store_put(fixture.fake, "p/b", "2");
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 2);
    fake_store_remove(fixture.fake, "p/a");
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.removals, 1);
    CU_ASSERT_EQUAL(counts.puts, 2);
    prefix_view_destroy(view);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

/* Guards against a PrefixView that misses the removal of a key when the store
 * has dropped the history that contained the removal. */
static void
test_view_survives_compaction(void)
{
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    fake_store_put(fixture.fake, "p/a", "1");
    fake_store_put(fixture.fake, "p/b", "2");
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &view_ops, &counts);
    fake_store_reply_all(fixture.fake);
    fake_store_remove(fixture.fake, "p/a");
    fake_store_put(fixture.fake, "p/b", "3");
    fake_store_compact(fixture.fake);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.removals, 1);
    CU_ASSERT_EQUAL(counts.puts, 3);
    CU_ASSERT_STRING_EQUAL(counts.last, "3");
    CU_ASSERT_EQUAL(counts.listings, 2);
    prefix_view_destroy(view);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

/* Guards against every node sending one watch for each of many changes under a
 * prefix. */
static void
test_view_coalesces_changes(void)
{
    static const PrefixViewOps ops = {on_put, on_removed, on_listed, 20,
                                      false};
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &ops, &counts);
    fake_store_reply_all(fixture.fake);
    fake_store_put(fixture.fake, "p/a", "1");
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 1);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 0);
    fake_store_put(fixture.fake, "p/b", "2");
    fake_store_put(fixture.fake, "p/c", "3");
    run_until_call(&fixture);
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 3);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 0);
    prefix_view_destroy(view);
    tear_down(&fixture);
}

/* Guards against a watch without a reply that makes a node notice changes in
 * the store too late: a cancellation must be noticed within 3 s of the write
 * of its mark, and a configuration within 2 s of its write by a node that has
 * been in contact with the store for 3 s. */
static void
test_view_limits_watch_wait(void)
{
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &view_ops, &counts);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_TRUE(fake_store_max_wait_ms(fixture.fake) <= 2000);
    prefix_view_destroy(view);
    tear_down(&fixture);
}

/* Guards against a node that refuses callers for seconds after the store has
 * returned: the reply to a watch without a change comes only after its whole
 * wait, and until then the node's configuration counts as out of date. */
static void
test_first_watch_after_outage(void)
{
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &view_ops, &counts);
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(fake_store_last_wait_ms(fixture.fake), 2000);
    for (int i = 0; i < 3; i++) {
        fake_store_refuse_call(fixture.fake);
        run_until_call(&fixture);
        CU_ASSERT_EQUAL(fake_store_last_wait_ms(fixture.fake), 0);
    }
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(fake_store_last_wait_ms(fixture.fake), 2000);
    prefix_view_destroy(view);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

/* Guards against changes of keys that are received seconds late because the
 * store has lost a watch without an error, and against changes that are
 * reported twice when the store replies to that watch after all. */
static void
test_silent_watch_is_replaced(void)
{
    static const PrefixViewOps ops = {on_put, on_removed, on_listed, 0, true};
    Fixture fixture;
    ViewCounts counts = {0};
    set_up(&fixture);
    PrefixView *view = prefix_view_create(
        fixture.node.loop, fixture.node.store, "p/", &ops, &counts);
    fake_store_reply(fixture.fake);
    fake_store_put(fixture.fake, "p/a", "1");
    for (int i = 0; i < 100 && fake_store_pending_count(fixture.fake) < 2;
         i++) {
        AqLoop_RunOnce(fixture.node.loop, 50);
    }
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 2);
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 1);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 1);
    fake_store_put(fixture.fake, "p/b", "1");
    fake_store_reply(fixture.fake);
    CU_ASSERT_EQUAL(counts.puts, 2);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 1);
    prefix_view_destroy(view);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

/* ---- VMs ---------------------------------------------------------------- */

typedef struct {
    unsigned listed;
    unsigned unlisted;
    char last[64];
} VmCounts;

static void
on_vm_listed(void *context, const AqVmReport *report)
{
    VmCounts *counts = context;
    counts->listed++;
    snprintf(counts->last, sizeof(counts->last), "%s", report->id);
}

static void
on_vm_unlisted(void *context, const char *vm)
{
    VmCounts *counts = context;
    counts->unlisted++;
    snprintf(counts->last, sizeof(counts->last), "%s", vm);
}

static void
count_vm(void *context, const AqVmReport *report)
{
    (void)report;
    ++*(unsigned *)context;
}

/* Guards against orders to a VM whose entry in the store can no longer be
 * decoded, and against such an entry removing other VMs from the
 * VmDirectory. */
static void
test_unreadable_vm_is_unlisted(void)
{
    static const VmDirectoryOps ops = {on_vm_listed, on_vm_unlisted};
    char first[64];
    char second[64];
    Fixture fixture;
    VmCounts counts = {0};
    unsigned known = 0;
    set_up(&fixture);
    snprintf(first, sizeof(first), "%si-1", AqPlatform_WorkerPrefix);
    snprintf(second, sizeof(second), "%si-2", AqPlatform_WorkerPrefix);
    fake_store_put(fixture.fake, first, sample_worker);
    fake_store_put(fixture.fake, second, sample_worker);
    VmDirectory *directory = vm_directory_create(
        fixture.node.loop, fixture.node.store, &ops, &counts);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.listed, 2);
    fake_store_put(fixture.fake, first, "{\"port");
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.unlisted, 1);
    CU_ASSERT_STRING_EQUAL(counts.last, "i-1");
    vm_directory_each(directory, count_vm, &known);
    CU_ASSERT_EQUAL(known, 1);
    fake_store_put(fixture.fake, first, sample_worker);
    run_until_call(&fixture);
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_EQUAL(counts.listed, 3);
    vm_directory_destroy(directory);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

/* ---- Report ------------------------------------------------------------- */

typedef struct {
    Fixture *fixture;
    Member *member;
    PoolOwner *owner;
} OwnerFixture;

static void
on_superseded(void *context, const char *pool, const char *reason)
{
    (void)context;
    (void)pool;
    (void)reason;
}

static void
on_gained(void *context, const Ownership *ownership)
{
    static const PoolOwnerOps ops = {on_superseded};
    OwnerFixture *self = context;
    self->owner = pool_owner_create(&self->fixture->node, self->member,
                                    ownership, &ops, self);
}

static void
on_lost(void *context, const char *pool, const char *reason)
{
    OwnerFixture *self = context;
    (void)pool;
    (void)reason;
    pool_owner_drop(self->owner);
    self->owner = NULL;
}

/* Ends every lease renewal of a VM as if the VM had not replied. */
static void
renew_silently(AqWorkerClient *calls, const AqOrderTarget *target,
               const AqRenewalOrder *order, AqOrderDone done, void *context)
{
    AqOrderReply reply = {.result = AQ_ORDER_UNKNOWN, .clock_ms = -1};
    (void)calls;
    (void)target;
    (void)order;
    done(context, &reply);
}

/* Creates the node's Member.  The fixture's store may already contain what
 * earlier owners of the pool have written. */
static void
set_up_member(OwnerFixture *self, Fixture *fixture)
{
    static const AqWorkerClientOps worker_ops = {.renew = renew_silently};
    static AqWorkerClient workers = {&worker_ops};
    static const MemberOps ops = {on_gained, on_lost};
    static AqSettings settings = {.node_id = "n-1",
                                  .node_cpu_share = "0.25",
                                  .callers_listen = "127.0.0.1:1",
                                  .limits_longest_lease_ms = 5000};
    static AqQueueConfig queue = {
        .name = "q", .host = "h", .prefix = "/q/", .pool = "pool"};
    static AqPoolConfig pool = {.name = "pool"};
    NodeMetrics *metrics = &fixture->node.metrics;
    fixture->node.workers = &workers;
    metrics->all = AqMetrics_Create();
    metrics->save_ms = AqMetrics_Histogram(metrics->all, "save", "");
    metrics->takeover_ms = AqMetrics_Histogram(metrics->all, "takeover", "");
    metrics->orders_failed = AqMetrics_Counter(metrics->all, "unanswered", "");
    fixture->node.settings = &settings;
    fixture->node.site = (AqSiteConfig){.version = 1,
                                        .queues = &queue,
                                        .queue_count = 1,
                                        .pools = &pool,
                                        .pool_count = 1};
    *self = (OwnerFixture){.fixture = fixture};
    self->member = member_create(&fixture->node, &ops, self);
    member_site_changed(self->member);
}

static void
run_member(OwnerFixture *self)
{
    AqLoop_RunOnce(self->fixture->node.loop, 10);
    fake_store_reply_all(self->fixture->fake);
    if (self->owner != NULL) {
        pool_owner_round(self->owner);
    }
}

static void
set_up_owner(OwnerFixture *self, Fixture *fixture)
{
    set_up_member(self, fixture);
    while (fake_store_value(fixture->fake, key_of(KEY_REPORT, "pool")) ==
           NULL) {
        run_member(self);
    }
}

static void
tear_down_owner(OwnerFixture *self)
{
    if (self->owner != NULL) {
        pool_owner_drop(self->owner);
    }
    AqMetrics_Destroy(self->fixture->node.metrics.all);
    member_destroy(self->member);
    tear_down(self->fixture);
}

/* Guards against a live node without a membership entry, which peers take for
 * gone: a write of the entry by the node's previous process, which had no
 * reply, is carried out late and ends with the lease of that process. */
static void
test_late_registration_has_no_effect(void)
{
    Fixture fixture;
    OwnerFixture self;
    char key[64];
    set_up(&fixture);
    set_up_member(&self, &fixture);
    g_strlcpy(key, key_of(KEY_MEMBER, fixture.node.settings->node_id),
              sizeof(key));
    while (!fake_store_reply_until_put(fixture.fake, key)) {
        AqLoop_RunOnce(fixture.node.loop, 10);
    }
    fake_store_lose_call(fixture.fake);
    member_destroy(self.member);
    AqMetrics_Destroy(fixture.node.metrics.all);
    strcpy(fixture.node.incarnation, "next-process");
    set_up_member(&self, &fixture);
    while (fake_store_value(fixture.fake, key) == NULL) {
        run_member(&self);
    }
    fake_store_execute_lost(fixture.fake);
    CU_ASSERT_TRUE(
        g_str_has_prefix(fake_store_value(fixture.fake, key), "next-process"));
    tear_down_owner(&self);
}

/* Guards against a node whose membership entry was removed while its lease
 * holds and that never writes it again. */
static void
test_removed_entry_is_written_again(void)
{
    Fixture fixture;
    OwnerFixture self;
    char key[64];
    set_up(&fixture);
    set_up_owner(&self, &fixture);
    g_strlcpy(key, key_of(KEY_MEMBER, fixture.node.settings->node_id),
              sizeof(key));
    fake_store_remove(fixture.fake, key);
    for (int i = 0; i < 200 && fake_store_value(fixture.fake, key) == NULL;
         i++) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NOT_NULL(fake_store_value(fixture.fake, key));
    CU_ASSERT_PTR_NOT_NULL(self.owner);
    tear_down_owner(&self);
}

/* Guards against a pool's outdated report that stays in the store after the
 * lease of the pool's owner has ended: callers would get too low a count of
 * waiting jobs. */
static void
test_report_ends_with_lease(void)
{
    Fixture fixture;
    OwnerFixture self;
    set_up(&fixture);
    set_up_owner(&self, &fixture);
    fake_store_end_lease(fixture.fake);
    CU_ASSERT_PTR_NULL(
        fake_store_value(fixture.fake, key_of(KEY_REPORT, "pool")));
    tear_down_owner(&self);
}

/* Guards against a pool's outdated report that stays in the store after the
 * pool's owner has released the pool and kept its lease. */
static void
test_report_ends_with_release(void)
{
    Fixture fixture;
    OwnerFixture self;
    set_up(&fixture);
    set_up_owner(&self, &fixture);
    member_release(self.member, "pool");
    fake_store_reply_all(fixture.fake);
    CU_ASSERT_PTR_NULL(
        fake_store_value(fixture.fake, key_of(KEY_REPORT, "pool")));
    tear_down_owner(&self);
}

/* Guards against a node claiming a pool at once although another member has a
 * greater CPU share, and against a pool that stays without an owner after that
 * member has left. */
static void
test_weak_node_defers_claim(void)
{
    enum {
        /* For this long the node with the smaller CPU share leaves the pool
         * for the other node to claim. */
        DEFER_MS = 1300,
        /* Time within which the node with the smaller CPU share claims the
         * pool after the other node has left. */
        CLAIM_LIMIT_MS = 400
    };
    Fixture fixture;
    OwnerFixture self;
    set_up(&fixture);
    fake_store_put(fixture.fake, key_of(KEY_MEMBER, "n-9"),
                   "strong 127.0.0.1:1 1000");
    set_up_member(&self, &fixture);
    AqTime begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < DEFER_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NULL(self.owner);
    fake_store_remove(fixture.fake, key_of(KEY_MEMBER, "n-9"));
    begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < CLAIM_LIMIT_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NOT_NULL(self.owner);
    tear_down_owner(&self);
}

/* Guards against a wait that is computed from the time at which this node
 * joined while it has not joined again: its lease has ended while it waits to
 * claim a pool, and a member with a greater CPU share leaves. */
static void
test_member_leaves_without_lease(void)
{
    enum {
        RUN_MS = 700,         /* within the wait of a smaller CPU share */
        CLAIM_LIMIT_MS = 4000 /* for a new lease and the claim */
    };
    Fixture fixture;
    OwnerFixture self;
    set_up(&fixture);
    fake_store_put(fixture.fake, key_of(KEY_MEMBER, "n-9"),
                   "strong 127.0.0.1:1 1000");
    set_up_member(&self, &fixture);
    AqTime begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < RUN_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NULL(self.owner);
    fake_store_end_lease(fixture.fake);
    while (member_lease(self.member) != 0) {
        AqLoop_RunOnce(fixture.node.loop, 10);
        if (fake_store_pending_count(fixture.fake) > 0) {
            fake_store_reply(fixture.fake);
        }
    }
    fake_store_remove(fixture.fake, key_of(KEY_MEMBER, "n-9"));
    begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < CLAIM_LIMIT_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NOT_NULL(self.owner);
    tear_down_owner(&self);
}

/* Ends the ownership as a crash does: the lease ends, and the node that gets a
 * new one finds the pool without an owner. */
static void
run_after_lost_lease(OwnerFixture *self, AqTime run_ms)
{
    fake_store_end_lease(self->fixture->fake);
    AqTime begin = AqLoop_Now(self->fixture->node.loop);
    while (AqLoop_Now(self->fixture->node.loop) - begin < run_ms) {
        run_member(self);
    }
}

/* Guards against a pool that is claimed on and on after it was removed from
 * the configuration and released, and against one that nobody claims although
 * its owner was lost before it released the pool: its jobs would never end. */
static void
test_removed_pool_is_given_up(void)
{
    enum {
        CLAIM_MS = 4000
    };
    for (int is_released = 0; is_released < 2; is_released++) {
        Fixture fixture;
        OwnerFixture self;
        set_up(&fixture);
        set_up_owner(&self, &fixture);
        fixture.node.site.pool_count = 0;
        member_site_changed(self.member);
        if (is_released) {
            member_release(self.member, "pool");
            pool_owner_drop(self.owner);
            self.owner = NULL;
            fake_store_reply_all(fixture.fake);
        }
        run_after_lost_lease(&self, CLAIM_MS);
        CU_ASSERT_EQUAL(self.owner == NULL, is_released);
        fixture.node.site.pool_count = 1;
        member_site_changed(self.member);
        run_after_lost_lease(&self, CLAIM_MS);
        CU_ASSERT_PTR_NOT_NULL(self.owner);
        tear_down_owner(&self);
    }
}

/* Guards against an unreadable owner key that counts as that of the owner
 * before: when that node starts again, the pool would count as vacant while
 * the unknown owner runs. */
static void
test_unreadable_owner_is_unknown(void)
{
    enum {
        CLAIM_MS = 4000
    };
    Fixture fixture;
    OwnerFixture self;
    set_up(&fixture);
    fake_store_put(fixture.fake, key_of(KEY_MEMBER, "n-9"),
                   "first 127.0.0.1:1 100");
    fake_store_put(fixture.fake, key_of(KEY_OWNER, "pool"), "n-9 first");
    set_up_member(&self, &fixture);
    run_member(&self);
    fake_store_put(fixture.fake, key_of(KEY_OWNER, "pool"), "n-9");
    run_member(&self);
    fake_store_put(fixture.fake, key_of(KEY_MEMBER, "n-9"),
                   "second 127.0.0.1:1 100");
    AqTime begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < CLAIM_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NULL(self.owner);
    fake_store_remove(fixture.fake, key_of(KEY_OWNER, "pool"));
    begin = AqLoop_Now(fixture.node.loop);
    while (AqLoop_Now(fixture.node.loop) - begin < CLAIM_MS) {
        run_member(&self);
    }
    CU_ASSERT_PTR_NOT_NULL(self.owner);
    tear_down_owner(&self);
}

/* ---- New incarnations of VMs -------------------------------------------- */

enum {
    WAVE_VMS = 6, /* number of VMs in the platform's list; m-0 to m-5 */
    WAVE_CAP = 4,
    /* Number, in the platform's list, of the VM that is in no wave. */
    VM_NOT_DUE = 4,
    /* Time allowed for the scheduler's recovery after a change of the pool's
     * owner; well below the 5000 ms of a task's lease. */
    RECOVERY_LIMIT_MS = 2000
};

/* Replies with the platform's list: WAVE_VMS VMs, all up in one pool. */
static void
reply_with_list(const char *pool, AqMachineListDone done, void *context)
{
    AqMachine machines[WAVE_VMS];
    AqMachineList list = {
        .is_whole = true, .machines = machines, .count = WAVE_VMS};
    memset(machines, 0, sizeof(machines));
    for (int i = 0; i < WAVE_VMS; i++) {
        snprintf(machines[i].machine, sizeof(machines[i].machine), "m-%d", i);
        snprintf(machines[i].vm, sizeof(machines[i].vm), "i-%d", i);
        snprintf(machines[i].pool, sizeof(machines[i].pool), "%s", pool);
        machines[i].state = AQ_MACHINE_UP;
    }
    done(context, &list);
}

static void
list_machines(AqMachineClient *calls, AqMachineListDone done, void *context)
{
    (void)calls;
    reply_with_list("pool", done, context);
}

static void
list_spare_machines(AqMachineClient *calls, AqMachineListDone done,
                    void *context)
{
    (void)calls;
    reply_with_list("spare", done, context);
}

static void
ignore_reply(void *context, const AqStoreReply *reply)
{
    (void)context;
    (void)reply;
}

static void
store_bytes(Fixture *fixture, const char *key, const AqBuffer *bytes)
{
    AqStore *store = fixture->node.store;
    AqStorePut put = {key, AqBuffer_Text(bytes), bytes->size, 0};
    AqStoreCommit commit = {.puts = &put, .put_count = 1};
    store->ops->commit(store, &commit, ignore_reply, NULL);
    fake_store_reply_all(fixture->fake);
}

/* Stores the used VMs that an earlier owner of the pool recorded: one
 * incarnation of VM m-0. */
static void
store_used_vms(Fixture *fixture)
{
    static const AqSchedulerActions actions = {0};
    AqVmReport report = {.id = "i-old", .machine = "m-0", .leaves_ms = -1};
    AqSchedulerConfig config = {.pool = "pool", .fence = 1, .lease_ms = 5000};
    AqScheduler *earlier = AqScheduler_Create(&config, &actions, NULL, 0);
    AqBuffer bytes;
    AqBuffer_Init(&bytes);
    AqScheduler_SetVm(earlier, &report, 0);
    AqScheduler_EncodeUsedVms(earlier, &bytes);
    store_bytes(fixture, key_of(KEY_USED_VMS, "pool"), &bytes);
    AqBuffer_Clear(&bytes);
    AqScheduler_Destroy(earlier);
}

/* Guards against an owner that starts no tasks for the length of a task's
 * lease, because it waits for a VM's incarnation that was moved or rebooted
 * under the previous owner, although the VM is up again as another
 * incarnation. */
static void
test_replaced_vm_has_ended(void)
{
    static const AqMachineClientOps ops = {.list = list_machines};
    AqMachineClient machines = {&ops};
    Fixture fixture;
    OwnerFixture self;
    AqSchedulerLoad load = {0};
    set_up(&fixture);
    store_used_vms(&fixture);
    set_up_owner(&self, &fixture);
    fixture.node.machines = &machines;
    WaveTable *table = wave_table_create(&fixture.node);
    PoolMachines *pool =
        pool_machines_create(&fixture.node, table, self.owner);
    AqScheduler *s = pool_owner_scheduler(self.owner);
    AqTime begin = AqLoop_Now(fixture.node.loop);
    while (!load.is_recovered &&
           AqLoop_Now(fixture.node.loop) - begin < RECOVERY_LIMIT_MS) {
        AqLoop_RunOnce(fixture.node.loop, 10);
        pool_machines_round(pool, true);
        AqScheduler_ConfirmOwnership(s, AqLoop_Now(fixture.node.loop));
        AqScheduler_Tick(s, AqLoop_Now(fixture.node.loop), 0, false);
        AqScheduler_GetLoad(s, AqLoop_Now(fixture.node.loop), &load);
    }
    CU_ASSERT_TRUE(load.is_recovered);
    pool_machines_drop(pool);
    wave_table_destroy(table);
    fake_store_reply_all(fixture.fake);
    tear_down_owner(&self);
}

/* ---- Maintenance -------------------------------------------------------- */

/* Fills in a wave of all VMs of the platform's list except number "left_out";
 * -1: of all VMs. */
static void
init_wave_spec(AqWaveSpec *spec, int left_out)
{
    *spec = (AqWaveSpec){.number = 1, .within_ms = 20000, .cap = WAVE_CAP};
    spec->machines = calloc(WAVE_VMS, sizeof(*spec->machines));
    for (int i = 0; i < WAVE_VMS; i++) {
        if (i != left_out) {
            snprintf(spec->machines[spec->machine_count++], AQ_VM_ID_SIZE,
                     "m-%d", i);
        }
    }
}

static WaveTable *
make_wave_table(NodeContext *node, int left_out)
{
    AqWaveSpec spec;
    WaveTable *table = wave_table_create(node);
    init_wave_spec(&spec, left_out);
    wave_table_follow(table);
    wave_table_add(table, &spec);
    return table;
}

static void
count_begun(void *context, WaveEntry *entry)
{
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        *(int *)context += AqWave_State(entry->wave, i) == AQ_WAVE_BEGUN;
    }
}

/* Guards against a wave that is late because the new states of its VMs are
 * written one by one although many of the VMs are idle, and against one write
 * that begins the maintenance of more VMs than the wave's cap. */
static void
test_wave_states_in_one_write(void)
{
    static const AqMachineClientOps ops = {.list = list_machines};
    AqMachineClient machines = {&ops};
    Fixture fixture;
    OwnerFixture self;
    int begun = 0;
    set_up(&fixture);
    set_up_owner(&self, &fixture);
    fixture.node.machines = &machines;
    WaveTable *table = make_wave_table(&fixture.node, -1);
    PoolMachines *pool =
        pool_machines_create(&fixture.node, table, self.owner);
    while (fake_store_value(fixture.fake, key_of(KEY_WAVE, "1")) == NULL) {
        fake_store_reply_all(fixture.fake);
        AqLoop_RunOnce(fixture.node.loop, 10);
        pool_machines_round(pool, true);
    }
    fake_store_reply_all(fixture.fake);
    wave_table_each(table, count_begun, &begun);
    CU_ASSERT_EQUAL(begun, WAVE_CAP);
    pool_machines_drop(pool);
    wave_table_destroy(table);
    fake_store_reply_all(fixture.fake);
    tear_down_owner(&self);
}

/* Stores the wave's record as an earlier owner of the pool left it: as many
 * VMs as the wave's cap allows at a time have begun maintenance, but no
 * maintenance order was requested. */
static void
store_begun_wave(Fixture *fixture)
{
    AqBuffer bytes;
    AqWaveSpec spec;
    init_wave_spec(&spec, -1);
    AqWave *wave = AqWave_Create(&spec, 0);
    for (size_t i = 0; i < WAVE_CAP; i++) {
        AqWave_Set(wave, i, AQ_WAVE_BEGUN);
    }
    AqBuffer_Init(&bytes);
    AqWave_Encode(wave, &bytes);
    store_bytes(fixture, key_of(KEY_WAVE, "1"), &bytes);
    AqBuffer_Clear(&bytes);
    AqWave_Destroy(wave);
    AqWaveSpec_Clear(&spec);
}

/* Guards against a wave that stops because an earlier owner of the pool
 * recorded as many VMs as the wave's cap allows at a time as in maintenance,
 * and handed the pool over before it requested any maintenance order. */
static void
test_begun_maintenance_is_requested_again(void)
{
    static const AqMachineClientOps ops = {.list = list_machines};
    AqMachineClient machines = {&ops};
    Fixture fixture;
    OwnerFixture self;
    AqMachineRequestList list;
    size_t size = 0;
    set_up(&fixture);
    store_begun_wave(&fixture);
    set_up_owner(&self, &fixture);
    fixture.node.machines = &machines;
    WaveTable *table = make_wave_table(&fixture.node, -1);
    PoolMachines *pool =
        pool_machines_create(&fixture.node, table, self.owner);
    const char *bytes = NULL;
    for (int i = 0; i < 100 && bytes == NULL; i++) {
        fake_store_reply_all(fixture.fake);
        AqLoop_RunOnce(fixture.node.loop, 10);
        pool_machines_round(pool, true);
        bytes = fake_store_bytes(fixture.fake,
                                 key_of(KEY_MACHINE_REQUESTS, "pool"), &size);
    }
    CU_ASSERT_PTR_NOT_NULL(bytes);
    if (bytes != NULL && AqMachineRequestList_Decode(bytes, size, &list)) {
        CU_ASSERT_EQUAL(list.count, WAVE_CAP);
        AqMachineRequestList_Clear(&list);
    }
    pool_machines_drop(pool);
    wave_table_destroy(table);
    fake_store_reply_all(fixture.fake);
    tear_down_owner(&self);
}

/* ---- The machine coordinator -------------------------------------------- */

typedef struct {
    AqMachineClient calls;
    unsigned moves;
    unsigned maintenances;
    AqMachineResult move_result;
} CountedMachines;

static void
count_move(AqMachineClient *calls, const char *machine, const char *pool,
           const char *holder, uint64_t fence, AqMachineOrderDone done,
           void *context)
{
    (void)machine;
    (void)pool;
    (void)holder;
    (void)fence;
    CountedMachines *machines = (CountedMachines *)calls;
    machines->moves++;
    done(context, machines->move_result);
}

static void
count_maintenance(AqMachineClient *calls, const char *machine, int64_t wave,
                  const char *holder, uint64_t fence, AqMachineOrderDone done,
                  void *context)
{
    (void)machine;
    (void)wave;
    (void)holder;
    (void)fence;
    ((CountedMachines *)calls)->maintenances++;
    done(context, AQ_MACHINE_ORDER_DONE);
}

/* Stores a pool's request for VM m-1: a move or, with "to_pool" empty, its
 * maintenance. */
static void
store_machine_request(Fixture *fixture, const char *pool, uint64_t fence,
                      int64_t number, const char *to_pool)
{
    AqMachineRequest request = {.number = number, .wave = to_pool[0] == '\0'};
    AqMachineRequestList list = {
        .fence = fence, .requests = &request, .count = 1};
    AqBuffer bytes;
    AqBuffer_Init(&bytes);
    snprintf(request.machine, sizeof(request.machine), "m-1");
    snprintf(request.to_pool, sizeof(request.to_pool), "%s", to_pool);
    AqMachineRequestList_Encode(&list, &bytes);
    store_bytes(fixture, key_of(KEY_MACHINE_REQUESTS, pool), &bytes);
    AqBuffer_Clear(&bytes);
}

static void
run_coordinator(Fixture *fixture, MachineCoordinator *coordinator)
{
    fake_store_reply_all(fixture->fake);
    machine_coordinator_round(coordinator, true);
    fake_store_reply_all(fixture->fake);
}

typedef struct {
    Fixture fixture;
    CountedMachines machines;
    MachineCoordinator *coordinator;
    uint64_t pool_fence; /* store revision of the owner key of pool "a" */
    /* Store revision of the owner key of pool "spare". */
    uint64_t spare_fence;
} CoordinatorFixture;

static void
set_up_coordinator(CoordinatorFixture *self)
{
    static const AqMachineClientOps ops = {.move = count_move,
                                           .maintenance = count_maintenance};
    static AqSettings settings = {.node_id = "n-1",
                                  .limits_machine_pause_ms = 3000};
    static AqPoolConfig pools[] = {{.name = "a"},
                                   {.name = "spare", .is_spare = true}};
    Fixture *fixture = &self->fixture;
    self->machines = (CountedMachines){{&ops}, 0, 0, AQ_MACHINE_ORDER_DONE};
    set_up(fixture);
    fixture->node.settings = &settings;
    fixture->node.machines = &self->machines.calls;
    fixture->node.site =
        (AqSiteConfig){.version = 1, .pools = pools, .pool_count = 2};
    uint64_t coordinator_fence = fake_store_put(
        fixture->fake, key_of(KEY_OWNER, MEMBER_MACHINE_COORDINATOR), "n-1");
    self->pool_fence =
        fake_store_put(fixture->fake, key_of(KEY_OWNER, "a"), "n-1");
    self->spare_fence =
        fake_store_put(fixture->fake, key_of(KEY_OWNER, "spare"), "n-1");
    self->coordinator =
        machine_coordinator_create(&fixture->node, coordinator_fence);
}

static void
tear_down_coordinator(CoordinatorFixture *self)
{
    machine_coordinator_drop(self->coordinator);
    fake_store_reply_all(self->fixture.fake);
    tear_down(&self->fixture);
}

/* Guards against the maintenance of a VM that already runs tasks of another
 * pool: the owner of the spare pool requests the maintenance because it read
 * the platform's list before the VM was moved. */
static void
test_moved_vm_is_not_maintained(void)
{
    CoordinatorFixture self;
    set_up_coordinator(&self);
    store_machine_request(&self.fixture, "a", self.pool_fence, 1, "a");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.moves, 1);
    /* Withdraw the request for the VM's move, as the owner of pool "a" does
     * after the VM has arrived there. */
    fake_store_remove(self.fixture.fake, key_of(KEY_MACHINE_REQUESTS, "a"));
    store_machine_request(&self.fixture, "spare", self.spare_fence, 1, "");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.maintenances, 0);
    store_machine_request(&self.fixture, "a", self.pool_fence, 2, "");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.maintenances, 1);
    tear_down_coordinator(&self);
}

/* Guards against a VM whose orders are all refused after a move of the VM got
 * no response, its request was withdrawn, and the move was carried out all the
 * same. */
static void
test_unknown_move_blocks_no_order(void)
{
    CoordinatorFixture self;
    set_up_coordinator(&self);
    store_machine_request(&self.fixture, "a", self.pool_fence, 1, "a");
    run_coordinator(&self.fixture, self.coordinator);
    self.machines.move_result = AQ_MACHINE_ORDER_UNKNOWN;
    store_machine_request(&self.fixture, "a", self.pool_fence, 2, "spare");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.moves, 2);
    fake_store_remove(self.fixture.fake, key_of(KEY_MACHINE_REQUESTS, "a"));
    store_machine_request(&self.fixture, "spare", self.spare_fence, 1, "");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.maintenances, 1);
    tear_down_coordinator(&self);
}

/* Guards against all later requests for a VM being refused because its
 * maintenance was recorded as a move to another pool. */
static void
test_maintenance_moves_no_vm(void)
{
    CoordinatorFixture self;
    set_up_coordinator(&self);
    for (int64_t i = 1; i <= 2; i++) {
        store_machine_request(&self.fixture, "a", self.pool_fence, i, "");
        run_coordinator(&self.fixture, self.coordinator);
        CU_ASSERT_EQUAL(self.machines.maintenances, i);
    }
    tear_down_coordinator(&self);
}

/* Guards against reading a VM's claim from the store before every order for
 * the VM, and against an order during the pause after another node's claim,
 * which only this read shows. */
static void
test_known_claim_is_not_read(void)
{
    CoordinatorFixture self;
    set_up_coordinator(&self);
    store_machine_request(&self.fixture, "a", self.pool_fence, 1, "a");
    run_coordinator(&self.fixture, self.coordinator);
    /* The coordinator writes its response to the owner of pool "a". */
    run_coordinator(&self.fixture, self.coordinator);
    unsigned reads = fake_store_get_count(self.fixture.fake);
    store_machine_request(&self.fixture, "a", self.pool_fence, 2, "");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.maintenances, 1);
    CU_ASSERT_EQUAL(fake_store_get_count(self.fixture.fake), reads);
    char claim[64];
    snprintf(claim, sizeof(claim), "n-2 %lld", (long long)AqClock_ReadWall());
    fake_store_put(self.fixture.fake, key_of(KEY_MACHINE, "m-1"), claim);
    store_machine_request(&self.fixture, "a", self.pool_fence, 3, "");
    run_coordinator(&self.fixture, self.coordinator);
    CU_ASSERT_EQUAL(self.machines.maintenances, 1);
    tear_down_coordinator(&self);
}

/* ---- Acquiring VMs ------------------------------------------------------ */

/* Guards against a pool's owner acquiring a VM that waits for its maintenance
 * in a wave while the spare pool has a VM that doesn't. */
static void
test_due_vm_is_acquired_last(void)
{
    static const AqMachineClientOps ops = {.list = list_spare_machines};
    AqMachineClient machines = {&ops};
    static AqPoolConfig pools[] = {{.name = "pool"},
                                   {.name = "spare", .is_spare = true}};
    Fixture fixture;
    OwnerFixture self;
    AqMachineRequestList list;
    set_up(&fixture);
    set_up_owner(&self, &fixture);
    fixture.node.machines = &machines;
    fixture.node.site.pools = pools;
    fixture.node.site.pool_count = 2;
    WaveTable *table = make_wave_table(&fixture.node, VM_NOT_DUE);
    PoolMachines *pool =
        pool_machines_create(&fixture.node, table, self.owner);
    while (fake_store_value(fixture.fake,
                            key_of(KEY_MACHINE_REQUESTS, "pool")) == NULL) {
        fake_store_reply_all(fixture.fake);
        AqLoop_RunOnce(fixture.node.loop, 10);
        pool_machines_round(pool, true);
    }
    size_t size;
    const char *bytes = fake_store_bytes(
        fixture.fake, key_of(KEY_MACHINE_REQUESTS, "pool"), &size);
    CU_ASSERT_TRUE_FATAL(AqMachineRequestList_Decode(bytes, size, &list));
    CU_ASSERT_EQUAL_FATAL(list.count, 1);
    CU_ASSERT_STRING_EQUAL(list.requests[0].machine, "m-4");
    AqMachineRequestList_Clear(&list);
    pool_machines_drop(pool);
    wave_table_destroy(table);
    fake_store_reply_all(fixture.fake);
    tear_down_owner(&self);
}

/* Guards against every node sending a store call for each change of a wave's
 * record; only owners of pools need the record. */
static void
test_only_owners_follow_waves(void)
{
    Fixture fixture;
    set_up(&fixture);
    WaveTable *table = wave_table_create(&fixture.node);
    AqWaveSpec spec = {.number = 1, .within_ms = 20000, .cap = WAVE_CAP};
    wave_table_add(table, &spec);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 0);
    wave_table_follow(table);
    CU_ASSERT_EQUAL(fake_store_pending_count(fixture.fake), 1);
    wave_table_destroy(table);
    fake_store_reply_all(fixture.fake);
    tear_down(&fixture);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"late_write_has_no_effect", test_late_write_has_no_effect},
        {"effect_without_reply", test_effect_without_reply},
        {"lost_ownership", test_lost_ownership},
        {"own_condition", test_own_condition},
        {"drop_from_callback", test_drop_from_callback},
        {"view_follows", test_view_follows},
        {"view_survives_compaction", test_view_survives_compaction},
        {"view_coalesces_changes", test_view_coalesces_changes},
        {"view_limits_watch_wait", test_view_limits_watch_wait},
        {"first_watch_after_outage", test_first_watch_after_outage},
        {"silent_watch_is_replaced", test_silent_watch_is_replaced},
        {"unreadable_vm_is_unlisted", test_unreadable_vm_is_unlisted},
        {"late_registration_has_no_effect",
         test_late_registration_has_no_effect},
        {"removed_entry_is_written_again",
         test_removed_entry_is_written_again},
        {"report_ends_with_lease", test_report_ends_with_lease},
        {"report_ends_with_release", test_report_ends_with_release},
        {"weak_node_defers_claim", test_weak_node_defers_claim},
        {"member_leaves_without_lease", test_member_leaves_without_lease},
        {"removed_pool_is_given_up", test_removed_pool_is_given_up},
        {"unreadable_owner_is_unknown", test_unreadable_owner_is_unknown},
        {"replaced_vm_has_ended", test_replaced_vm_has_ended},
        {"wave_states_in_one_write", test_wave_states_in_one_write},
        {"begun_maintenance_is_requested_again",
         test_begun_maintenance_is_requested_again},
        {"moved_vm_is_not_maintained", test_moved_vm_is_not_maintained},
        {"unknown_move_blocks_no_order", test_unknown_move_blocks_no_order},
        {"maintenance_moves_no_vm", test_maintenance_moves_no_vm},
        {"known_claim_is_not_read", test_known_claim_is_not_read},
        {"due_vm_is_acquired_last", test_due_vm_is_acquired_last},
        {"only_owners_follow_waves", test_only_owners_follow_waves},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("pool", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
