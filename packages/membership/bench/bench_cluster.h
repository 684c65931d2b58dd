#ifndef AQ_BENCH_CLUSTER_H
#define AQ_BENCH_CLUSTER_H

#include "aq_membership.h"
#include "aq_slices.h"

/* This file declares a simulated cluster without faults.  The cluster runs in
 * virtual time, in which messages arrive without delay. */

enum {
    BENCH_MEMBERS = 27,    /* most members of a cluster */
    BENCH_ENDPOINTS = 900, /* most endpoints of a cluster */
    BENCH_SERVICES = 5,    /* services listed in each heartbeat */
    BENCH_SLOTS = 8,       /* slots of each endpoint */
    BENCH_STEP_MS = 50
};

typedef struct BenchCluster BenchCluster;

typedef struct {
    BenchCluster *cluster;
    int index;
    char id[AQ_WIRE_MAX_NAME];
    AqMembership *m;
    AqSlices *s;
    /* Time from each multiple of AQ_HEARTBEAT_MS to the member's next
     * heartbeat; also the time from the start of the cluster to the member's
     * first store read. */
    AqTime phase;
    bool reaches_store;
    AqTime read_started;
    /* For each endpoint, number of slots on which the member runs a
     * request. */
    int used[BENCH_ENDPOINTS];
    /* Number of requests, over all endpoints, that the member needs to run at
     * the same time. */
    int demand;
} BenchMember;

struct BenchCluster {
    AqTime now;
    int members;
    /* Number of members, from the first, that exchange heartbeats; the others
     * neither send nor receive any. */
    int connected_count;
    int endpoints;
    /* Number of endpoints that each heartbeat lists as drained (given no new
     * requests). */
    int leaving;
    BenchMember member[BENCH_MEMBERS];
    char endpoint[BENCH_ENDPOINTS][AQ_WIRE_MAX_NAME];
    /* Number of heartbeats received, summed over all members.  bench_run adds
     * to frames, frame_bytes, handle_us, fills and fill_us. */
    uint64_t frames;
    /* Bytes of the encoded heartbeats received, summed over all members. */
    uint64_t frame_bytes;
    /* CPU time, in microseconds, to decode and process the heartbeats
     * received, summed over all members. */
    double handle_us;
    /* Number of heartbeats filled, summed over all members. */
    uint64_t fills;
    /* CPU time, in microseconds, to fill and encode heartbeats, summed over
     * all members. */
    double fill_us;
};

/* Creates a cluster whose members all have the same epoch; each heartbeat
 * lists 2% of the endpoints as drained (given no new requests).  The caller
 * owns the result. */
BenchCluster *bench_create(int members, int endpoints);
void bench_destroy(BenchCluster *c);
/* Runs the cluster for "ms" of virtual time. */
void bench_run(BenchCluster *c, AqTime ms);
/* Lets each member use one slot for each request that it needs to run
 * ("demand"), or all of its usable slots if these are fewer; returns the
 * number of slots in use, summed over all members. */
int bench_load(BenchCluster *c);
/* Lets each member in turn return to the lessors its leased-in slots that run
 * no request, if the term of these slots has ended or the member has free
 * slots of its own.  If the member needs to run more requests ("demand") than
 * it has slots in use, it then leases idle slots from the other members. */
void bench_lease_slots(BenchCluster *c);

#endif
