#ifndef AQ_BENCH_CLUSTER_H
#define AQ_BENCH_CLUSTER_H

#include "aq_membership.h"
#include "aq_slices.h"

/* Daemons without faults, in virtual time, whose messages arrive at once. */

enum {
    BENCH_MEMBERS = 27,
    BENCH_ENDPOINTS = 900,
    BENCH_SERVICES = 5,
    BENCH_SLOTS = 8,
    BENCH_STEP_MS = 50
};

typedef struct BenchCluster BenchCluster;

typedef struct {
    BenchCluster *cluster;
    int index;
    char id[AQ_WIRE_MAX_NAME];
    AqMembership *m;
    AqSlices *s;
    AqTime phase; /* of its heartbeats and store reads */
    bool reaches_store;
    AqTime read_started;
    int used[BENCH_ENDPOINTS];
    int demand; /* requests that want to run at once */
} BenchMember;

struct BenchCluster {
    AqTime now;
    int members;
    int talking; /* only the first so many hear each other */
    int endpoints;
    int leaving;
    BenchMember member[BENCH_MEMBERS];
    char endpoint[BENCH_ENDPOINTS][AQ_WIRE_MAX_NAME];
    /* Measured while running. */
    uint64_t frames;      /* handled by any member */
    uint64_t frame_bytes; /* of them */
    double handle_us;     /* decoding and handling them */
    uint64_t fills;
    double fill_us; /* filling and encoding, once for all peers */
};

/* 2% of the endpoints leave. */
BenchCluster *bench_create(int members, int endpoints);
void bench_destroy(BenchCluster *c);
void bench_run(BenchCluster *c, AqTime ms);
/* Runs as many requests as each member wants and its slots allow; returns the
 * slots in use over all members. */
int bench_load(BenchCluster *c);
/* Members with a queue lease idle slots from the others, once. */
void bench_lease_slots(BenchCluster *c);

#endif
