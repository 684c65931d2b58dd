#include <stdio.h>

#include "bench_cluster.h"

/* Prints what heartbeats cost and what slot leasing gains, for 3 to 27
 * members.  Bytes are those of the frames, without TCP/IP headers. */

enum {
    SETTLE_MS = 10000,
    MEASURE_MS = 60000
};

static void
measure_cost(int members, int endpoints)
{
    BenchCluster *c = bench_create(members, endpoints);
    bench_run(c, SETTLE_MS);
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

/* Demand of 90% of all slots, of which "hot" members have all, or, for hot 0,
 * member i a share in proportion to 1/(i + 1). */
static void
set_demand(BenchCluster *c, int hot)
{
    int total = c->endpoints * BENCH_SLOTS * 9 / 10;
    double weight = 0;
    for (int i = 0; i < c->members; i++) {
        weight += hot > 0 ? i < hot : 1.0 / (i + 1);
    }
    for (int i = 0; i < c->members; i++) {
        double share = hot > 0 ? i < hot : 1.0 / (i + 1);
        c->member[i].demand = (int)(total * share / weight);
    }
}

static void
measure_slot_leasing(int members, const char *load, int hot)
{
    BenchCluster *c = bench_create(members, 50);
    bench_run(c, SETTLE_MS);
    set_demand(c, hot);
    double slots = c->endpoints * BENCH_SLOTS;
    double alone = bench_load(c) / slots;
    double sum = 0;
    int samples = 0;
    for (int i = 0; i < 200; i++) {
        bench_run(c, BENCH_STEP_MS);
        sum += bench_load(c) / slots;
        samples++;
        bench_lease_slots(c);
    }
    printf("%7d  %-22s %6.1f%% %6.1f%%\n", members, load, alone * 100,
           sum / samples * 100);
    bench_destroy(c);
}

/* Share of the time in which a member is fresh that hears nothing but one
 * peer, which reaches the store.  Prints the least and the mean over the
 * phases of its heartbeats against the peer's. */
static void
measure_relayed_freshness(void)
{
    double least = 1;
    double sum = 0;
    int phases = 0;
    for (AqTime phase = 0; phase < AQ_HEARTBEAT_MS; phase += BENCH_STEP_MS) {
        BenchCluster *c = bench_create(9, 1);
        bench_run(c, SETTLE_MS);
        c->talking = 2;
        c->member[1].reaches_store = false;
        c->member[1].phase = phase;
        bench_run(c, SETTLE_MS);
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
           "members  load                   static lending\n");
    for (int i = 0; i < 4; i++) {
        measure_slot_leasing(sizes[i], "all at a third", sizes[i] / 3);
        measure_slot_leasing(sizes[i], "share 1/rank", 0);
        measure_slot_leasing(sizes[i], "even", sizes[i]);
    }
    printf("\n");
    measure_relayed_freshness();
    return 0;
}
