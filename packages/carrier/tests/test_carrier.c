#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_carrier.h"
#include "aq_log.h"
#include "aq_peer_socket.h"
#include "aq_random.h"
#include "carrier_wire.h"

/* ---- Choice ------------------------------------------------------------- */

enum {
    MAX_NODES = 150
};

typedef struct {
    char ids[MAX_NODES][32];
    AqCarrierCandidate candidates[MAX_NODES];
} Site;

/* A site whose first nodes own the pools, one each; the zones follow in
 * turn. */
static void
make_site(Site *site, size_t nodes, size_t pools, size_t capacity)
{
    static const char *const zones[] = {"z-0", "z-1", "z-2"};
    for (size_t i = 0; i < nodes; i++) {
        snprintf(site->ids[i], sizeof(site->ids[i]), "n-%zu", i);
        site->candidates[i] = (AqCarrierCandidate){.id = site->ids[i],
                                                   .zone = zones[i % 3],
                                                   .address = "10.0.0.1:1",
                                                   .capacity = capacity,
                                                   .owns_pool = i < pools};
    }
}

static void
test_capacity(void)
{
    CU_ASSERT_EQUAL(AqCarrier_Capacity(500, 200), 60);
    CU_ASSERT_EQUAL(AqCarrier_Capacity(120, 20), 14);
    CU_ASSERT_EQUAL(AqCarrier_Capacity(120, 2), 6);
    CU_ASSERT_EQUAL(AqCarrier_Capacity(250, 0), 30);
    CU_ASSERT_EQUAL(AqCarrier_Capacity(0, 0), 0);
    CU_ASSERT_EQUAL(AqCarrier_Capacity(-5, -5), 0);
}

/* Guards against carriers for small pools, against too few for a large pool or
 * a weak owner, and against those that can do less than the owner. */
static void
test_number_of_carriers(void)
{
    static const struct {
        size_t nodes;
        size_t pools;
        size_t vms;
        size_t owner_capacity;
        size_t capacity; /* of each other node */
        size_t low;      /* range of the number of carriers */
        size_t high;
    } cases[] = {
        {8, 6, 12, 30, 30, 0, 0},  /* today's small sites */
        {9, 6, 300, 30, 30, 0, 3}, /* many VMs, few idle entry VMs */
        {34, 6, 59, 60, 14, 0, 0}, /* few VMs */
        {34, 6, 59, 14, 14, 2, 9}, /* few VMs, but a weak owner */
        {23, 5, 25, 6, 6, 2, 9},   /* all entry VMs are weak */
        {147, 5, 195, 60, 14, 15, 28}, {147, 5, 1100, 60, 14, 15, 32},
        {147, 5, 195, 60, 0, 0, 0},   /* none can carry */
        {147, 5, 195, 600, 14, 0, 0}, /* a strong owner */
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Site site;
        size_t chosen[AQ_CARRIER_MAX];
        make_site(&site, cases[i].nodes, cases[i].pools, cases[i].capacity);
        AqCarrierNeed need = {.owner = "n-0",
                              .capacity = cases[i].owner_capacity,
                              .vms = cases[i].vms};
        size_t count =
            AqCarrier_Choose(&need, site.candidates, cases[i].nodes, chosen);
        if (count < cases[i].low || count > cases[i].high) {
            printf("case %zu: %zu carriers\n", i, count);
        }
        CU_ASSERT_TRUE(count >= cases[i].low && count <= cases[i].high);
        for (size_t j = 0; j < count; j++) {
            CU_ASSERT_FALSE(site.candidates[chosen[j]].owns_pool);
        }
    }
}

/* Guards against carriers that come after the burst that needs them. */
static void
test_vms_needed(void)
{
    static const struct {
        size_t own;
        size_t own_pools;
        size_t pools;
        size_t site_peak;
        size_t needed;
    } cases[] = {
        {0, 0, 5, 349, 0},     /* owns no pool */
        {15, 1, 5, 349, 69},   /* few now, its part in the burst */
        {15, 2, 5, 349, 139},  /* of two pools */
        {130, 1, 5, 349, 130}, /* more than its part */
        {12, 1, 0, 12, 12},    /* pools not read yet */
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        CU_ASSERT_EQUAL(AqCarrier_VmsNeeded(cases[i].own, cases[i].own_pools,
                                            cases[i].pools,
                                            cases[i].site_peak),
                        cases[i].needed);
    }
}

/* Guards against two owners that load the same entry VM, and against an owner
 * that gets none. */
static void
test_carriers_are_not_shared(void)
{
    enum {
        NODES = 147,
        POOLS = 5
    };
    Site site;
    unsigned used[NODES] = {0};
    make_site(&site, NODES, POOLS, 14);
    site.candidates[NODES - 1].is_busy = true;
    for (size_t owner = 0; owner < POOLS; owner++) {
        size_t chosen[AQ_CARRIER_MAX];
        AqCarrierNeed need = {
            .owner = site.ids[owner], .capacity = 60, .vms = 195};
        size_t count = AqCarrier_Choose(&need, site.candidates, NODES, chosen);
        CU_ASSERT_TRUE(count * 14 >= 195);
        for (size_t i = 0; i < count; i++) {
            CU_ASSERT_EQUAL(used[chosen[i]]++, 0);
            CU_ASSERT_STRING_EQUAL(site.candidates[chosen[i]].zone,
                                   site.candidates[owner].zone);
        }
    }
    CU_ASSERT_EQUAL(used[NODES - 1], 0);
}

static bool
contains(const Site *site, const size_t *chosen, size_t count, const char *id)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(site->candidates[chosen[i]].id, id) == 0) {
            return true;
        }
    }
    return false;
}

/* Guards against a choice that changes altogether when one node comes or goes,
 * so that all connections are made anew. */
static void
test_choice_is_stable(void)
{
    AqCarrierNeed need = {.owner = "n-0", .capacity = 60, .vms = 195};
    Site before;
    size_t first[AQ_CARRIER_MAX];
    make_site(&before, 147, 5, 14);
    size_t count = AqCarrier_Choose(&need, before.candidates, 147, first);
    for (size_t gone = 5; gone < 147; gone++) {
        Site after = before;
        size_t second[AQ_CARRIER_MAX];
        size_t kept = 0;
        after.candidates[gone].address = "";
        size_t left = AqCarrier_Choose(&need, after.candidates, 147, second);
        for (size_t i = 0; i < left; i++) {
            kept += contains(&before, first, count,
                             after.candidates[second[i]].id);
        }
        CU_ASSERT_TRUE(kept + 1 >= count);
    }
}

/* ---- Messages ----------------------------------------------------------- */

static const AqRunningTask running[] = {
    {{"ab12", 0, 1, 2}, 9007199254740993, "c0ffee", 41, 4000},
    {{"ab13", 7, 0, 0}, 1, "", 100, -1},
};

static const AqEndedTask ended[] = {
    {5, {"ab12", 0, 1, 3}, 100001, AQ_END_FAILED, ""},
    {6, {"ab12", 0, 1, 4}, 100002, AQ_END_DONE, "beef"},
};

static void
encode_samples(AqBuffer *out)
{
    CarrierHello hello = {CARRIER_VERSION, "n-1", "0011223344556677"};
    CarrierOrder order = {.id = 7,
                          .address = "10.0.0.1:80",
                          .vm = "i-1",
                          .start = {.task = {"ab12", 0, 1, 2},
                                    .run = 100001,
                                    .checkpoint = "c0ffee",
                                    .ticket = "t-1",
                                    .deadline_ms = 486000,
                                    .fence = 18446744073709551615U},
                          .renewal = {.deadline_ms = -1,
                                      .fence = 12,
                                      .acked_end = 57,
                                      .wait_ms = 400},
                          .percent = 50};
    CarrierText text = {"ab12", "the job's text", true};
    CarrierReply reply = {.id = 8,
                          .reply = {.result = AQ_ORDER_DONE,
                                    .clock_ms = 482113,
                                    .born_ms = 1779112272123,
                                    .running = running,
                                    .running_count = 2,
                                    .ended = ended,
                                    .ended_count = 2}};
    carrier_encode_hello(&hello, out);
    carrier_encode_order(CARRIER_START, &order, out);
    carrier_encode_order(CARRIER_STOP, &order, out);
    carrier_encode_order(CARRIER_RENEW, &order, out);
    carrier_encode_order(CARRIER_PACE, &order, out);
    carrier_encode_text(&text, out);
    carrier_encode_reply(&reply, out);
}

static void
check_order(const CarrierMessage *message)
{
    const CarrierOrder *order = &message->as.order;
    CU_ASSERT_EQUAL(order->id, 7);
    CU_ASSERT_STRING_EQUAL(order->address, "10.0.0.1:80");
    CU_ASSERT_STRING_EQUAL(order->vm, "i-1");
    if (message->kind == CARRIER_RENEW) {
        CU_ASSERT_EQUAL(order->renewal.deadline_ms, -1);
        CU_ASSERT_EQUAL(order->renewal.fence, 12);
        CU_ASSERT_EQUAL(order->renewal.acked_end, 57);
        CU_ASSERT_EQUAL(order->renewal.wait_ms, 400);
        return;
    }
    CU_ASSERT_STRING_EQUAL(order->start.task.job, "ab12");
    CU_ASSERT_EQUAL(order->start.task.index, 2);
    CU_ASSERT_EQUAL(order->start.run, 100001);
    CU_ASSERT_EQUAL(order->start.fence, 18446744073709551615U);
    if (message->kind == CARRIER_START) {
        CU_ASSERT_STRING_EQUAL(order->start.checkpoint, "c0ffee");
        CU_ASSERT_STRING_EQUAL(order->start.ticket, "t-1");
        CU_ASSERT_EQUAL(order->start.deadline_ms, 486000);
    }
    else if (message->kind == CARRIER_PACE) {
        CU_ASSERT_EQUAL(order->percent, 50);
    }
}

static void
check_reply(const CarrierReply *reply)
{
    const AqOrderReply *order = &reply->reply;
    CU_ASSERT_EQUAL(reply->id, 8);
    CU_ASSERT_EQUAL(order->clock_ms, 482113);
    CU_ASSERT_EQUAL(order->born_ms, 1779112272123);
    CU_ASSERT_EQUAL_FATAL(order->running_count, 2);
    CU_ASSERT_EQUAL_FATAL(order->ended_count, 2);
    for (size_t i = 0; i < 2; i++) {
        CU_ASSERT_STRING_EQUAL(order->running[i].task.job,
                               running[i].task.job);
        CU_ASSERT_EQUAL(order->running[i].task.occurrence,
                        running[i].task.occurrence);
        CU_ASSERT_EQUAL(order->running[i].run, running[i].run);
        CU_ASSERT_STRING_EQUAL(order->running[i].checkpoint,
                               running[i].checkpoint);
        CU_ASSERT_EQUAL(order->running[i].percent, running[i].percent);
        CU_ASSERT_EQUAL(order->running[i].usage, running[i].usage);
        CU_ASSERT_EQUAL(order->ended[i].number, ended[i].number);
        CU_ASSERT_EQUAL(order->ended[i].task.index, ended[i].task.index);
        CU_ASSERT_EQUAL(order->ended[i].run, ended[i].run);
        CU_ASSERT_EQUAL(order->ended[i].kind, ended[i].kind);
        CU_ASSERT_STRING_EQUAL(order->ended[i].checkpoint,
                               ended[i].checkpoint);
    }
}

/* Guards against fields that are lost or exchanged on the way, and against
 * frames that are decoded before they have arrived as a whole. */
static void
test_messages(void)
{
    AqBuffer bytes;
    size_t at = 0;
    AqBuffer_Init(&bytes);
    encode_samples(&bytes);
    for (int kind = CARRIER_HELLO; kind <= CARRIER_REPLY; kind++) {
        CarrierMessage message;
        size_t used = 0;
        AqError error;
        CU_ASSERT_EQUAL_FATAL(carrier_decode(bytes.bytes + at, bytes.size - at,
                                             &used, &message, &error),
                              CARRIER_COMPLETE);
        CU_ASSERT_EQUAL(message.kind, kind);
        if (kind == CARRIER_HELLO) {
            CU_ASSERT_STRING_EQUAL(message.as.hello.node, "n-1");
            CU_ASSERT_STRING_EQUAL(message.as.hello.incarnation,
                                   "0011223344556677");
        }
        else if (kind == CARRIER_TEXT) {
            CU_ASSERT_STRING_EQUAL(message.as.text.job, "ab12");
            CU_ASSERT_STRING_EQUAL(message.as.text.text, "the job's text");
            CU_ASSERT_TRUE(message.as.text.is_first);
        }
        else if (kind == CARRIER_REPLY) {
            check_reply(&message.as.reply);
        }
        else {
            check_order(&message);
        }
        carrier_message_clear(&message);
        for (size_t size = 0; size < used; size++) {
            size_t ignored;
            CU_ASSERT_EQUAL(carrier_decode(bytes.bytes + at, size, &ignored,
                                           &message, &error),
                            CARRIER_INCOMPLETE);
        }
        at += used;
    }
    CU_ASSERT_EQUAL(at, bytes.size);
    AqBuffer_Clear(&bytes);
}

/* Guards against crashes, leaks and large allocations when bytes of messages
 * are damaged. */
static void
test_damaged_messages(void)
{
    AqBuffer bytes;
    AqRandom random;
    AqRandom_Seed(&random, 5);
    AqBuffer_Init(&bytes);
    encode_samples(&bytes);
    for (int i = 0; i < 20000; i++) {
        char *copy = malloc(bytes.size);
        size_t at = 0;
        memcpy(copy, bytes.bytes, bytes.size);
        for (int j = 0; j < 3; j++) {
            copy[AqRandom_Below(&random, bytes.size)] =
                (char)AqRandom_Next(&random);
        }
        CarrierMessage message;
        size_t used;
        AqError error;
        while (carrier_decode(copy + at, bytes.size - at, &used, &message,
                              &error) == CARRIER_COMPLETE) {
            carrier_message_clear(&message);
            at += used;
        }
        free(copy);
    }
    AqBuffer_Clear(&bytes);
}

/* ---- Orders over carriers ----------------------------------------------- */

enum {
    CARRIERS = 3,
    VMS = 12,
    MAX_HELD = 64,
    MAX_ROUNDS = 500,
    ROUND_MS = 20
};

/* VMs behind one carrier, or behind the direct client: hold the orders until
 * the test lets them reply. */
typedef struct {
    AqWorkerClient base;
    unsigned orders;
    unsigned wrong_texts; /* starts with another text than their job's */
    bool replies;         /* at once */
    struct {
        AqOrderDone done;
        void *context;
    } held[MAX_HELD];
    size_t held_count;
} FakeVms;

static void
take(FakeVms *vms, AqOrderDone done, void *context)
{
    AqOrderReply reply = {.result = AQ_ORDER_DONE, .clock_ms = 5};
    vms->orders++;
    if (vms->replies) {
        done(context, &reply);
        return;
    }
    vms->held[vms->held_count].done = done;
    vms->held[vms->held_count++].context = context;
}

static void
text_of(const char *job, char text[32])
{
    snprintf(text, 32, "text of %.16s", job);
}

static void
fake_start(AqWorkerClient *base, const AqOrderTarget *target,
           const AqStartOrder *order, AqOrderDone done, void *context)
{
    FakeVms *vms = (FakeVms *)base;
    char text[32];
    (void)target;
    text_of(order->task.job, text);
    vms->wrong_texts += strcmp(order->text, text) != 0;
    take(vms, done, context);
}

static void
fake_renew(AqWorkerClient *base, const AqOrderTarget *target,
           const AqRenewalOrder *order, AqOrderDone done, void *context)
{
    (void)target;
    (void)order;
    take((FakeVms *)base, done, context);
}

static const AqWorkerClientOps fake_ops = {.start = fake_start,
                                           .renew = fake_renew};

static void
release_held(FakeVms *vms)
{
    AqOrderReply reply = {.result = AQ_ORDER_DONE, .clock_ms = 5};
    for (size_t i = 0; i < vms->held_count; i++) {
        vms->held[i].done(vms->held[i].context, &reply);
    }
    vms->held_count = 0;
}

typedef struct {
    AqLoop *loop;
    FakeVms direct;
    FakeVms behind[CARRIERS];
    AqCarrierServer *servers[CARRIERS];
    char addresses[CARRIERS][32];
    AqCarrierClient *client;
    bool accepts; /* the carriers accept the owner as a member */
    unsigned done;
    unsigned unknown;
} Fixture;

static bool
is_member(void *context, const char *node, const char *incarnation)
{
    const Fixture *fixture = context;
    return fixture->accepts && strcmp(node, "n-0") == 0 &&
           strcmp(incarnation, "1234") == 0;
}

static void
open_carrier(Fixture *fixture, int i)
{
    static const AqCarrierServerOps ops = {is_member};
    AqError error;
    char listen[32] = "127.0.0.1:0";
    uint16_t port = 0;
    if (fixture->addresses[i][0] == '\0') {
        /* Finds a free port, since the settings take no port 0. */
        int fd = AqPeerSocket_Listen("127.0.0.1", &port, &error);
        close(fd);
        snprintf(fixture->addresses[i], sizeof(fixture->addresses[i]),
                 "127.0.0.1:%u", port);
    }
    snprintf(listen, sizeof(listen), "%s", fixture->addresses[i]);
    fixture->servers[i] =
        AqCarrierServer_Create(fixture->loop, listen, &fixture->behind[i].base,
                               &ops, fixture, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->servers[i]);
}

static void
set_up(Fixture *fixture)
{
    AqError error;
    memset(fixture, 0, sizeof(*fixture));
    fixture->accepts = true;
    fixture->loop = AqLoop_Create(&error);
    fixture->direct = (FakeVms){.base = {&fake_ops}, .replies = true};
    for (int i = 0; i < CARRIERS; i++) {
        fixture->behind[i] = (FakeVms){.base = {&fake_ops}, .replies = true};
        open_carrier(fixture, i);
    }
    fixture->client = AqCarrierClient_Create(
        fixture->loop, &fixture->direct.base, "n-0", "1234");
}

static void
set_carriers(Fixture *fixture, size_t count)
{
    static const char *const ids[CARRIERS] = {"c-0", "c-1", "c-2"};
    AqCarrierName names[CARRIERS];
    for (size_t i = 0; i < count; i++) {
        names[i] = (AqCarrierName){ids[i], fixture->addresses[i]};
    }
    AqCarrierClient_SetCarriers(fixture->client, names, count);
}

static void
run_until_connected(Fixture *fixture, size_t count)
{
    for (int i = 0;
         i < MAX_ROUNDS && AqCarrierClient_Connected(fixture->client) != count;
         i++) {
        AqLoop_RunOnce(fixture->loop, ROUND_MS);
    }
    CU_ASSERT_EQUAL(AqCarrierClient_Connected(fixture->client), count);
}

static void
on_done(void *context, const AqOrderReply *reply)
{
    Fixture *fixture = context;
    fixture->done += reply->result == AQ_ORDER_DONE;
    fixture->unknown += reply->result == AQ_ORDER_UNKNOWN;
}

static void
order_start(Fixture *fixture, const char *vm, unsigned job)
{
    AqWorkerClient *workers = AqCarrierClient_Workers(fixture->client);
    char text[32];
    AqOrderTarget target = {.address = "10.0.0.1:80", .vm = vm};
    AqStartOrder order = {.run = 1,
                          .text = text,
                          .checkpoint = "",
                          .ticket = "",
                          .deadline_ms = 5000,
                          .fence = 1};
    snprintf(order.task.job, sizeof(order.task.job), "%x", job);
    text_of(order.task.job, text);
    workers->ops->start(workers, &target, &order, on_done, fixture);
}

static void
order_starts(Fixture *fixture)
{
    fixture->done = 0;
    fixture->unknown = 0;
    for (unsigned i = 0; i < VMS; i++) {
        char vm[16];
        snprintf(vm, sizeof(vm), "i-%u", i);
        order_start(fixture, vm, i / 4);
    }
}

static void
run_until_ended(Fixture *fixture, unsigned orders)
{
    for (int i = 0;
         i < MAX_ROUNDS && fixture->done + fixture->unknown < orders; i++) {
        AqLoop_RunOnce(fixture->loop, ROUND_MS);
    }
    CU_ASSERT_EQUAL(fixture->done + fixture->unknown, orders);
}

static void
tear_down(Fixture *fixture)
{
    AqCarrierClient_Destroy(fixture->client);
    for (int i = 0; i < CARRIERS; i++) {
        release_held(&fixture->behind[i]);
        AqCarrierServer_Destroy(fixture->servers[i]);
    }
    AqLoop_RunOnce(fixture->loop, 0);
    AqLoop_Destroy(fixture->loop);
}

/* Guards against orders that do not spread over the carriers, are carried
 * twice, or go through the owner while it has carriers; and against orders
 * without a way while it has none. */
static void
test_orders_are_carried(void)
{
    Fixture fixture;
    set_up(&fixture);
    order_starts(&fixture);
    CU_ASSERT_EQUAL(fixture.direct.orders, VMS);
    set_carriers(&fixture, CARRIERS);
    run_until_connected(&fixture, CARRIERS);
    order_starts(&fixture);
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.done, VMS);
    CU_ASSERT_EQUAL(fixture.direct.orders, VMS);
    unsigned carried = 0;
    for (int i = 0; i < CARRIERS; i++) {
        CU_ASSERT_TRUE(fixture.behind[i].orders > 0);
        CU_ASSERT_EQUAL(fixture.behind[i].wrong_texts, 0);
        carried += fixture.behind[i].orders;
    }
    CU_ASSERT_EQUAL(carried, VMS);
    tear_down(&fixture);
}

/* Guards against starts with the text of another job, or without one, when
 * more jobs run than a carrier keeps texts of. */
static void
test_texts_of_many_jobs(void)
{
    enum {
        JOBS = 2 * CARRIER_MAX_TEXTS + 100,
        BATCH = 100
    };
    Fixture fixture;
    set_up(&fixture);
    set_carriers(&fixture, 1);
    run_until_connected(&fixture, 1);
    for (unsigned job = 0; job < JOBS; job += BATCH) {
        fixture.done = 0;
        for (unsigned i = 0; i < BATCH; i++) {
            order_start(&fixture, "i-1", job + i);
            order_start(&fixture, "i-1", (job + i) / 2);
        }
        run_until_ended(&fixture, 2 * BATCH);
    }
    CU_ASSERT_EQUAL(fixture.unknown, 0);
    CU_ASSERT_EQUAL(fixture.behind[0].wrong_texts, 0);
    CU_ASSERT_EQUAL(fixture.direct.orders, 0);
    tear_down(&fixture);
}

/* Guards against orders that never end when their carrier is lost, and against
 * VMs that stay without orders afterwards. */
static void
test_lost_carrier(void)
{
    Fixture fixture;
    set_up(&fixture);
    set_carriers(&fixture, CARRIERS);
    run_until_connected(&fixture, CARRIERS);
    fixture.behind[0].replies = false;
    order_starts(&fixture);
    for (int i = 0; i < MAX_ROUNDS && (fixture.behind[0].held_count == 0 ||
                                       fixture.done < VMS / 3);
         i++) {
        AqLoop_RunOnce(fixture.loop, ROUND_MS);
    }
    size_t lost = fixture.behind[0].held_count;
    AqCarrierServer_Destroy(fixture.servers[0]);
    fixture.servers[0] = NULL;
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.unknown, lost);
    /* The carrier's own orders end after its connection has. */
    release_held(&fixture.behind[0]);
    order_starts(&fixture);
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.done, VMS);
    tear_down(&fixture);
}

/* Guards against orders that wait for ever for a carrier that is frozen or cut
 * off: its connection stays open, and nothing comes. */
static void
test_silent_carrier(void)
{
    Fixture fixture;
    AqClock clock;
    AqError error;
    uint16_t port = 0;
    set_up(&fixture);
    int fd = AqPeerSocket_Listen("127.0.0.1", &port, &error);
    snprintf(fixture.addresses[0], sizeof(fixture.addresses[0]),
             "127.0.0.1:%u", port);
    set_carriers(&fixture, 1);
    run_until_connected(&fixture, 1);
    clock.now = AqLoop_Now(fixture.loop);
    AqLoop_SetClock(fixture.loop, &clock);
    AqTime begin = clock.now;
    order_starts(&fixture);
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.unknown, VMS);
    CU_ASSERT_TRUE(clock.now - begin <= 1200);
    order_starts(&fixture);
    CU_ASSERT_EQUAL(fixture.done, VMS);
    CU_ASSERT_EQUAL(fixture.direct.orders, VMS);
    close(fd);
    tear_down(&fixture);
}

/* Guards against carriers that take orders of processes that are no members,
 * or are no longer. */
static void
test_stranger_is_refused(void)
{
    Fixture fixture;
    set_up(&fixture);
    fixture.accepts = false;
    set_carriers(&fixture, 1);
    run_until_connected(&fixture, 1);
    order_starts(&fixture);
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.unknown, VMS);
    CU_ASSERT_EQUAL(fixture.behind[0].orders, 0);
    tear_down(&fixture);
}

/* Guards against orders that are cut off when their carrier is no longer
 * chosen. */
static void
test_carrier_leaves(void)
{
    Fixture fixture;
    set_up(&fixture);
    set_carriers(&fixture, 2);
    run_until_connected(&fixture, 2);
    fixture.behind[0].replies = false;
    fixture.behind[1].replies = false;
    order_starts(&fixture);
    for (int i = 0;
         i < MAX_ROUNDS &&
         fixture.behind[0].held_count + fixture.behind[1].held_count < VMS;
         i++) {
        AqLoop_RunOnce(fixture.loop, ROUND_MS);
    }
    set_carriers(&fixture, 0);
    release_held(&fixture.behind[0]);
    release_held(&fixture.behind[1]);
    run_until_ended(&fixture, VMS);
    CU_ASSERT_EQUAL(fixture.done, VMS);
    run_until_connected(&fixture, 0);
    order_starts(&fixture);
    CU_ASSERT_EQUAL(fixture.direct.orders, VMS);
    tear_down(&fixture);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("carrier", NULL, NULL);
    CU_ADD_TEST(suite, test_capacity);
    CU_ADD_TEST(suite, test_number_of_carriers);
    CU_ADD_TEST(suite, test_vms_needed);
    CU_ADD_TEST(suite, test_carriers_are_not_shared);
    CU_ADD_TEST(suite, test_choice_is_stable);
    CU_ADD_TEST(suite, test_messages);
    CU_ADD_TEST(suite, test_damaged_messages);
    CU_ADD_TEST(suite, test_orders_are_carried);
    CU_ADD_TEST(suite, test_texts_of_many_jobs);
    CU_ADD_TEST(suite, test_lost_carrier);
    CU_ADD_TEST(suite, test_silent_carrier);
    CU_ADD_TEST(suite, test_stranger_is_refused);
    CU_ADD_TEST(suite, test_carrier_leaves);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
