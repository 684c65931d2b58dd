#include <stdio.h>

#include "bench_cluster.h"

/* This program prints, for clusters of 3 to 27 members, what heartbeats cost
 * each member in bytes per second, CPU time and memory, and the share of the
 * slots that are in use with and without slot leasing.  The bytes are those of
 * the encoded heartbeats, without TCP/IP headers.  It also prints the share of
 * time in which a member that cannot reach the store may still rely on its
 * version of the fleet document, because of the heartbeats of one peer. */

enum {
    WARM_UP_MS = 10000,
    MEASURE_MS = 60000
};

/* Prints, for a cluster of "members" members and "endpoints" endpoints, what
 * heartbeats cost one member: bytes received per heartbeat and per second, CPU
 * time in microseconds to process and to fill one heartbeat, percent of one
 * CPU core, bytes of memory of AqMembership per member of the cluster, and
 * bytes of memory of AqSlices. */
static void
measure_cost(int members, int endpoints)
{
    BenchCluster *c = bench_create(members, endpoints);
    bench_run(c, WARM_UP_MS);
    size_t peers = AqMembership_MemoryBytes(c->member[0].m);
    size_t slices = AqSlices_MemoryBytes(c->member[0].s);
    c->frames = c->frame_bytes = c->fills = 0;
    c->handle_us = c->fill_us = 0;
    bench_run(c, MEASURE_MS);
    double seconds = MEASURE_MS / 1000.0;
    double beats = (double)c->frames / members / seconds;
    double handle = c->handle_us / (double)c->frames;
    double fill = c->fill_us / (double)c->fills;
    double core = (handle * beats + fill * 2) / 1e6;
    printf("%7d %9d %7.0f %8.0f %8.1f %8.1f %8.3f %9zu %9zu\n", members,
           endpoints, (double)c->frame_bytes / (double)c->frames,
           (double)c->frame_bytes / members / seconds, handle, fill,
           core * 100, peers / (size_t)members, slices);
    bench_destroy(c);
}

/* Sets how many requests each member needs to run at the same time; the sum is
 * 90% of the slots of the cluster.  Each of the first "loaded_count" members
 * gets an equal share of the sum, or, if loaded_count is 0, member i gets a
 * share in proportion to 1/(i + 1). */
static void
set_demand(BenchCluster *c, int loaded_count)
{
    int total = c->endpoints * BENCH_SLOTS * 9 / 10;
    double weight = 0;
    for (int i = 0; i < c->members; i++) {
        weight += loaded_count > 0 ? i < loaded_count : 1.0 / (i + 1);
    }
    for (int i = 0; i < c->members; i++) {
        double share = loaded_count > 0 ? i < loaded_count : 1.0 / (i + 1);
        c->member[i].demand = (int)(total * share / weight);
    }
}

/* Prints the share of a cluster's slots that are in use, without and with slot
 * leasing.  The members together need 90% of the slots: each of the first
 * "loaded_count" members needs an equal share, or, if loaded_count is 0,
 * member i needs a share in proportion to 1/(i + 1).  "load" is the name of
 * this demand in the output. */
static void
measure_slot_leasing(int members, const char *load, int loaded_count)
{
    BenchCluster *c = bench_create(members, 50);
    bench_run(c, WARM_UP_MS);
    set_demand(c, loaded_count);
    double slots = c->endpoints * BENCH_SLOTS;
    double without_leasing = bench_load(c) / slots;
    double sum = 0;
    int samples = 0;
    for (int i = 0; i < 200; i++) {
        bench_run(c, BENCH_STEP_MS);
        sum += bench_load(c) / slots;
        samples++;
        bench_lease_slots(c);
    }
    printf("%7d  %-22s %6.1f%% %6.1f%%\n", members, load,
           without_leasing * 100, sum / samples * 100);
    bench_destroy(c);
}

/* Prints the share of time in which a member relies on its version of the
 * fleet document (counts as fresh) although it cannot reach the store and
 * receives heartbeats only from one peer, which reaches the store.  The share
 * is measured for each offset between the heartbeats of the member and of the
 * peer; the least and the mean share are printed. */
static void
measure_relayed_freshness(void)
{
    double least = 1;
    double sum = 0;
    int phases = 0;
    for (AqTime phase = 0; phase < AQ_HEARTBEAT_MS; phase += BENCH_STEP_MS) {
        BenchCluster *c = bench_create(9, 1);
        bench_run(c, WARM_UP_MS);
        c->connected_count = 2;
        c->member[1].reaches_store = false;
        c->member[1].phase = phase;
        bench_run(c, WARM_UP_MS);
        int fresh = 0;
        int samples = 0;
        for (int t = 0; t < MEASURE_MS; t += BENCH_STEP_MS) {
            bench_run(c, BENCH_STEP_MS);
            fresh += AqMembership_IsFresh(c->member[1].m, c->now);
            samples++;
        }
        double share = (double)fresh / samples;
        least = share < least ? share : least;
        sum += share;
        phases++;
        bench_destroy(c);
    }
    printf("fresh through one peer only: least %.1f%%, mean %.1f%%\n",
           least * 100, sum / phases * 100);
}

int
main(void)
{
    static const int sizes[] = {3, 9, 18, 27};
    printf("members endpoints bytes/b  bytes/s us/beat  us/fill core%%  "
           "  mem/peer  slices/daemon\n");
    for (int i = 0; i < 4; i++) {
        measure_cost(sizes[i], 50);
        measure_cost(sizes[i], 900);
    }
    printf("\nslots in use at a demand of 90%% of the slots\n"
           "members  load                   static leasing\n");
    for (int i = 0; i < 4; i++) {
        measure_slot_leasing(sizes[i], "all at a third", sizes[i] / 3);
        measure_slot_leasing(sizes[i], "share 1/rank", 0);
        measure_slot_leasing(sizes[i], "even", sizes[i]);
    }
    printf("\n");
    measure_relayed_freshness();
    return 0;
}
