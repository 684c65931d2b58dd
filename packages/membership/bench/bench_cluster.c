#include "bench_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
    /* Time for which a read of the store waits for a new version of the fleet
     * document before the store responds. */
    STORE_READ_WAIT_MS = 1000,
    STORE_LATENCY_MS = 3,
    SLOT_LEASE_TERM_MS = 2000,
    LEAVING_PERCENT = 2
};

/* CPU time, in microseconds, that this process has used since its start. */
static double
cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static void
start_member(BenchCluster *c, int i, const char *const *ids)
{
    BenchMember *b = &c->member[i];
    b->cluster = c;
    b->index = i;
    b->reaches_store = true;
    b->phase =
        (AqTime)i * 137 % AQ_HEARTBEAT_MS / BENCH_STEP_MS * BENCH_STEP_MS;
    b->read_started = c->now + b->phase;
    b->m = AqMembership_Create(b->id, (uint64_t)i + 1, c->now);
    b->s = AqSlices_Create(b->id, b->m, c->now);
    for (int e = 0; e < c->endpoints; e++) {
        AqSlices_SetEndpoint(b->s, c->now, c->endpoint[e], BENCH_SLOTS);
    }
    AqMembership_SetEpoch(b->m, c->now, 1, ids, (size_t)c->members);
    AqMembership_SetVersion(b->m, 1);
    AqMembership_StoreContact(b->m, c->now);
    AqSlices_EpochChanged(b->s, c->now);
}

BenchCluster *
bench_create(int members, int endpoints)
{
    BenchCluster *c = calloc(1, sizeof(*c));
    if (c == NULL) {
        abort();
    }
    c->now = 100000;
    c->members = members;
    c->connected_count = members;
    c->endpoints = endpoints;
    c->leaving = endpoints * LEAVING_PERCENT / 100;
    const char *ids[BENCH_MEMBERS];
    for (int e = 0; e < endpoints; e++) {
        snprintf(c->endpoint[e], AQ_WIRE_MAX_NAME, "worker-%04d", e);
    }
    for (int i = 0; i < members; i++) {
        snprintf(c->member[i].id, AQ_WIRE_MAX_NAME, "entry-vm-%02d", i);
        ids[i] = c->member[i].id;
    }
    for (int i = 0; i < members; i++) {
        start_member(c, i, ids);
    }
    return c;
}

void
bench_destroy(BenchCluster *c)
{
    for (int i = 0; i < c->members; i++) {
        AqSlices_Destroy(c->member[i].s);
        AqMembership_Destroy(c->member[i].m);
    }
    free(c);
}

static int
in_use(void *context, const char *endpoint)
{
    const BenchMember *b = context;
    return b->used[atoi(endpoint + strlen("worker-"))];
}

static void
add_daemon_lists(const BenchCluster *c, AqMsgHeartbeat *beat)
{
    beat->leaving_count = (size_t)c->leaving;
    beat->leaving = calloc((size_t)c->leaving + 1, sizeof(*beat->leaving));
    beat->service_count = BENCH_SERVICES;
    beat->services = calloc(BENCH_SERVICES, sizeof(*beat->services));
    if (beat->leaving == NULL || beat->services == NULL) {
        abort();
    }
    for (int e = 0; e < c->leaving; e++) {
        memcpy(beat->leaving[e].name, c->endpoint[e], AQ_WIRE_MAX_NAME);
        beat->leaving[e].value = 2;
    }
    for (int k = 0; k < BENCH_SERVICES; k++) {
        snprintf(beat->services[k].name, AQ_WIRE_MAX_NAME, "service-name-%d",
                 k);
        beat->services[k].queued = 100;
        beat->services[k].idle = 20;
    }
}

static void
handle_frame(BenchCluster *c, BenchMember *to, const char *from,
             const AqBuffer *frame)
{
    AqMsg msg;
    size_t used;
    AqError error;
    if (AqWire_Decode(frame->bytes, frame->size, &msg, &used, &error) !=
        AQ_WIRE_MSG) {
        fprintf(stderr, "bench_membership: %s\n", error.message);
        exit(1);
    }
    AqMembership_Heartbeat(to->m, c->now, from, &msg.as.heartbeat);
    AqSlices_Heartbeat(to->s, c->now, from, &msg.as.heartbeat);
    AqMsg_Clear(&msg);
}

static void
send_heartbeat(BenchCluster *c, BenchMember *b)
{
    AqBuffer frame;
    AqBuffer_Init(&frame);
    double start = cpu_us();
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    AqMembership_FillHeartbeat(b->m, c->now, &msg.as.heartbeat);
    AqSlices_FillHeartbeat(b->s, c->now, in_use, b, &msg.as.heartbeat);
    add_daemon_lists(c, &msg.as.heartbeat);
    AqWire_Encode(&msg, &frame);
    AqMsg_Clear(&msg);
    c->fill_us += cpu_us() - start;
    c->fills++;
    start = cpu_us();
    for (int i = 0; i < c->members; i++) {
        if (i != b->index && i < c->connected_count &&
            b->index < c->connected_count) {
            handle_frame(c, &c->member[i], b->id, &frame);
            c->frames++;
            c->frame_bytes += frame.size;
        }
    }
    c->handle_us += cpu_us() - start;
    AqBuffer_Clear(&frame);
}

static void
step_member(BenchCluster *c, BenchMember *b)
{
    if (b->reaches_store &&
        c->now >= b->read_started + STORE_READ_WAIT_MS + STORE_LATENCY_MS) {
        AqMembership_StoreContact(b->m, b->read_started);
        b->read_started = c->now;
    }
    if (c->now % AQ_HEARTBEAT_MS == b->phase) {
        send_heartbeat(c, b);
    }
}

void
bench_run(BenchCluster *c, AqTime ms)
{
    for (AqTime end = c->now + ms; c->now < end;) {
        c->now += BENCH_STEP_MS;
        for (int i = 0; i < c->members; i++) {
            step_member(c, &c->member[i]);
        }
    }
}

int
bench_load(BenchCluster *c)
{
    int sum = 0;
    for (int i = 0; i < c->members; i++) {
        BenchMember *b = &c->member[i];
        int left = b->demand;
        for (int e = 0; e < c->endpoints; e++) {
            int usable = AqSlices_Usable(b->s, c->now, c->endpoint[e]);
            b->used[e] = left < usable ? left : usable;
            left -= b->used[e];
            sum += b->used[e];
        }
    }
    return sum;
}

/* Number of slots that the member "b" uses, summed over all endpoints. */
static int
sum_used_slots(const BenchCluster *c, const BenchMember *b)
{
    int n = 0;
    for (int e = 0; e < c->endpoints; e++) {
        n += b->used[e];
    }
    return n;
}

/* Leases up to "slot_count" idle slots of "lessor" to the member "b"; returns
 * the number of slots leased. */
static int
request_slots_from(BenchCluster *c, BenchMember *b, BenchMember *lessor,
                   int slot_count)
{
    int got = 0;
    for (int e = 0; e < c->endpoints && got < slot_count; e++) {
        const char *name = c->endpoint[e];
        int idle = AqSlices_Usable(lessor->s, c->now, name) - lessor->used[e];
        int n = AqSlices_GrantLease(lessor->s, c->now, b->id, name, idle,
                                    slot_count - got);
        if (n > 0) {
            AqSlices_LeaseGranted(b->s, c->now, lessor->id, name, n,
                                  SLOT_LEASE_TERM_MS);
        }
        got += n;
    }
    return got;
}

/* Returns to their lessors the leased-in slots on which "b" runs no request,
 * if the term of these slots has ended or "b" has free slots of its own. */
static void
return_slot_leases(BenchCluster *c, BenchMember *b)
{
    for (int e = 0; e < c->endpoints; e++) {
        const char *lessor;
        int n;
        while ((n = AqSlices_NextReturn(b->s, c->now, c->endpoint[e],
                                        b->used[e], &lessor)) > 0) {
            int i = atoi(lessor + strlen("entry-vm-"));
            AqSlices_LeaseReturned(c->member[i].s, b->id, c->endpoint[e], n);
        }
    }
}

void
bench_lease_slots(BenchCluster *c)
{
    for (int i = 0; i < c->members; i++) {
        BenchMember *b = &c->member[i];
        return_slot_leases(c, b);
        int needed = b->demand - sum_used_slots(c, b);
        for (int k = 1; k < c->members && needed > 0; k++) {
            needed -= request_slots_from(
                c, b, &c->member[(i + k) % c->members], needed);
        }
    }
}
