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
    /* Time from a multiple of AQ_HEARTBEAT_MS to the member's heartbeats; also
     * from the start of the cluster to the member's first store read. */
    AqTime phase;
    bool reaches_store;
    AqTime read_started;
    /* Slots that the member uses on each endpoint. */
    int used[BENCH_ENDPOINTS];
    int demand; /* requests that the member is to run at once */
} BenchMember;

struct BenchCluster {
    AqTime now;
    int members;
    /* Number of members, from the first, that exchange heartbeats; the others
     * neither send nor receive any. */
    int connected_count;
    int endpoints;
    int leaving; /* endpoints that each heartbeat lists as leaving */
    BenchMember member[BENCH_MEMBERS];
    char endpoint[BENCH_ENDPOINTS][AQ_WIRE_MAX_NAME];
    /* Counters and CPU times (microseconds) of bench_run, summed over all
     * members. */
    uint64_t frames;      /* heartbeats received, summed over all members */
    uint64_t frame_bytes; /* bytes of the received heartbeats */
    /* CPU time to decode and process all received heartbeats. */
    double handle_us;
    uint64_t fills; /* heartbeats filled, each to be sent to all peers */
    /* CPU time to fill and encode all those heartbeats. */
    double fill_us;
};

/* Creates a cluster whose members all have the same epoch; each heartbeat
 * lists 2% of the endpoints as leaving.  The caller owns the result. */
BenchCluster *bench_create(int members, int endpoints);
void bench_destroy(BenchCluster *c);
/* Runs the cluster for "ms" of virtual time. */
void bench_run(BenchCluster *c, AqTime ms);
/* Sets the slots in use of each member to its demand, as far as its usable
 * slots allow; returns the slots in use over all members. */
int bench_load(BenchCluster *c);
/* Returns unused leased slots whose term has ended or that are not needed,
 * then lets each member whose demand exceeds its slots lease idle slots from
 * the others. */
void bench_lease_slots(BenchCluster *c);

#endif
