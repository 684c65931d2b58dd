#ifndef AQ_BENCH_CLUSTER_H
#define AQ_BENCH_CLUSTER_H

#include "aq_membership.h"
#include "aq_slices.h"

/* Simulates a cluster without faults in virtual time, in which messages arrive
 * without delay. */

enum {
    BENCH_MEMBERS = 27,    /* largest number of members */
    BENCH_ENDPOINTS = 900, /* largest number of endpoints */
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
    AqTime phase; /* offset of the member's heartbeats and store reads */
    bool reaches_store;
    AqTime read_started;
    int used[BENCH_ENDPOINTS]; /* slots in use on each endpoint */
    int demand;                /* requests that the member is to run at once */
} BenchMember;

struct BenchCluster {
    AqTime now;
    int members;
    /* Number of members, from the first, that exchange heartbeats. */
    int connected_count;
    int endpoints;
    int leaving; /* leaving endpoints listed in each heartbeat */
    BenchMember member[BENCH_MEMBERS];
    char endpoint[BENCH_ENDPOINTS][AQ_WIRE_MAX_NAME];
    /* Counters and CPU time of bench_run. */
    uint64_t frames;      /* heartbeats received by all members */
    uint64_t frame_bytes; /* bytes of these heartbeats */
    double handle_us; /* CPU time to decode and process received heartbeats */
    uint64_t fills;   /* heartbeats filled; each goes to all peers */
    double fill_us;   /* CPU time to fill and encode heartbeats */
};

/* Creates a cluster whose members all use one epoch; heartbeats list 2% of the
 * endpoints as leaving.  The caller owns the result. */
BenchCluster *bench_create(int members, int endpoints);
void bench_destroy(BenchCluster *c);
/* Runs the cluster for "ms" of virtual time. */
void bench_run(BenchCluster *c, AqTime ms);
/* Sets the slots in use of each member to its demand, as far as its usable
 * slots allow; returns the slots in use over all members. */
int bench_load(BenchCluster *c);
/* Returns leased slots whose return is due, then lets each member whose demand
 * exceeds its slots lease idle slots from the others. */
void bench_lease_slots(BenchCluster *c);

#endif
