#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Measures the claim log in virtual time: store calls per claimed request and
 * the latency that the claim adds to a request, with claims sent to the daemon
 * that owns the partition, with claims submitted where the request arrives,
 * and with one write per request as the baseline.  Prints one line per
 * request rate and Scheme. */

enum {
    SEEDS = 20, /* number of simulation runs per rate and scheme */
    DAEMONS = 9,
    STORE_HALF_MS = 2, /* half of the 4 ms that a store call takes */
    /* Short, so that batches are removed in the measured time. */
    RETENTION_MS = 60000,
    WARM_UP_MS = 70000,     /* sim time at which the measured time starts */
    END_MS = 130000,        /* sim time at which the measured time ends */
    MAX_LATENCY_MS = 20000, /* latency of the last bucket of
                             * Bench.histogram, which also counts all longer
                             * latencies */
    MEMORY_IDS = 1000000,   /* number of request ids that measure_memory
                             * claims */
    MEMORY_BATCH = 40       /* number of request ids per batch in
                             * measure_memory */
};

typedef enum {
    BASELINE,
    UNROUTED,
    ROUTED,
    ROUTED_PREFIX,
    SCHEMES
} Scheme;

static const char *const scheme_names[SCHEMES] = {
    "one write per request", "claimed where received", "sent to the owner",
    "the same, prefix removal"};

typedef struct {
    Scheme scheme;
    double interval_ms; /* mean time between the arrivals of two consecutive
                         * requests */
    double next_arrival_at; /* sim time at which the next request arrives */
    uint64_t measured;      /* number of decided claims that were submitted in
                             * the measured time (WARM_UP_MS to END_MS) */
    uint64_t granted;
    /* Number of store creates and removals in the measured time (WARM_UP_MS to
     * END_MS). */
    uint64_t writes;
    uint64_t reads;
    uint64_t creates;
    /* Number of measured claims, indexed by their latency in ms. */
    uint64_t histogram[MAX_LATENCY_MS + 1];
    /* Owned; network time of each claim to the daemon that owns the claim's
     * partition and back, in ms.  Written at the index of the request id, but
     * read at the index of the claim in Sim.requests. */
    AqTime *round_trips;
} Bench;

static SimCallPlan
plan_measured_call(Sim *sim, SimNode *node, AqClaimsStoreCall call)
{
    (void)node;
    Bench *bench = sim->user;
    if (sim->now >= WARM_UP_MS && sim->now < END_MS) {
        bench->writes += call != AQ_CLAIMS_READ;
        bench->creates += call == AQ_CLAIMS_CREATE;
        bench->reads += call == AQ_CLAIMS_READ;
    }
    return (SimCallPlan){.effect_ms = STORE_HALF_MS,
                         .reply_ms = STORE_HALF_MS};
}

/* Returns a one-way network delay in whole ms, of 1.4 ms on average. */
static AqTime
random_one_way_ms(Sim *sim)
{
    return AqRandom_Below(&sim->random, 10) < 4 ? 2 : 1;
}

static void
on_verdict(Sim *sim, size_t number)
{
    Bench *bench = sim->user;
    const SimRequest *request = &sim->requests[number];
    if (request->submitted < WARM_UP_MS || request->submitted >= END_MS) {
        return;
    }
    AqTime latency =
        sim->now - request->submitted + bench->round_trips[number];
    bench->measured++;
    bench->granted += request->verdict == AQ_CLAIM_GRANTED;
    bench->histogram[latency < MAX_LATENCY_MS ? latency : MAX_LATENCY_MS]++;
}

static void
submit_at_owner(Sim *sim, uint64_t id)
{
    uint8_t hash[16];
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, id);
    AqClaims_Hash("track", text, hash);
    Sim_Submit(sim, AqClaims_Partition(hash), id);
}

static void
run_arrival(Sim *sim, uint64_t id)
{
    Bench *bench = sim->user;
    int node = (int)AqRandom_Below(&sim->random, DAEMONS);
    uint8_t hash[16];
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, id);
    AqClaims_Hash("track", text, hash);
    bool local = bench->scheme == UNROUTED || node == AqClaims_Partition(hash);
    AqTime there = local ? 0 : random_one_way_ms(sim);
    bench->round_trips[id] = local ? 0 : there + random_one_way_ms(sim);
    if (local) {
        Sim_Submit(sim, node, id);
    }
    else {
        Sim_At(sim, sim->now + there, submit_at_owner, id);
    }
    bench->next_arrival_at +=
        AqRandom_Exponential(&sim->random, bench->interval_ms);
    if (bench->next_arrival_at < END_MS) {
        Sim_At(sim, (AqTime)bench->next_arrival_at, run_arrival, id + 1);
    }
}

/* Runs one simulation with the seed.  bench->round_trips is written at the
 * index of the request id, which follows the order of arrivals, but read at
 * the index of the claim in Sim.requests, which follows the order of submits.
 * The orders differ if claims are sent to the owner of their partition.  The
 * sum of the latencies is not affected, as the round trips are drawn
 * independently. */
static void
run_seed(Bench *bench, uint64_t seed)
{
    AqClaimsConfig config = {.retention_ms = RETENTION_MS};
    Sim sim;
    config.store_timeout_ms = 1000;
    config.prefix_removal = bench->scheme == ROUTED_PREFIX;
    Sim_Create(&sim, seed, DAEMONS, &config);
    sim.plan_call = plan_measured_call;
    sim.decided = on_verdict;
    sim.user = bench;
    sim.skips_checks = true;
    bench->next_arrival_at = 0;
    Sim_At(&sim, 0, run_arrival, 0);
    Sim_Run(&sim, END_MS + 10000);
    if (sim.failures > 0) {
        printf("seed %" PRIu64 ": %s\n", seed, sim.failure);
    }
    Sim_Destroy(&sim);
}

/* Sets the results in *bench for the baseline, without a simulation: one
 * create of 4 ms for each request and one removal after the retention. */
static void
run_baseline(Bench *bench, double rate)
{
    bench->measured = (uint64_t)(rate * (END_MS - WARM_UP_MS) / 1000) * SEEDS;
    bench->granted = bench->measured;
    bench->creates = bench->measured;
    bench->writes = 2 * bench->measured;
    bench->histogram[2 * STORE_HALF_MS] = bench->measured;
}

/* Returns the latency, in ms, that the given share (0 to 1) of the measured
 * claims do not exceed. */
static int
percentile(const Bench *bench, double share)
{
    uint64_t rank = (uint64_t)((double)bench->measured * share);
    uint64_t sum = 0;
    for (int ms = 0; ms < MAX_LATENCY_MS; ms++) {
        sum += bench->histogram[ms];
        if (sum > rank) {
            return ms;
        }
    }
    return MAX_LATENCY_MS;
}

static void
measure(Scheme scheme, double rate)
{
    Bench *bench = calloc(1, sizeof(*bench));
    bench->scheme = scheme;
    bench->interval_ms = 1000.0 / rate;
    bench->round_trips =
        calloc((size_t)(rate * END_MS / 1000 * 2) + 1000, sizeof(AqTime));
    if (scheme == BASELINE) {
        run_baseline(bench, rate);
    }
    for (uint64_t seed = 1; scheme != BASELINE && seed <= SEEDS; seed++) {
        run_seed(bench, seed);
    }
    double claims = (double)bench->measured;
    double seconds = (END_MS - WARM_UP_MS) / 1000.0 * SEEDS;
    printf("%6.0f  %-24s %8.3f %8.3f %8.3f %9.1f %7d %7d %9.4f\n", rate,
           scheme_names[scheme], (double)bench->creates / claims,
           (double)(bench->writes - bench->creates) / claims,
           (double)bench->reads / claims, (double)bench->writes / seconds,
           percentile(bench, 0.5), percentile(bench, 0.99),
           (double)bench->granted / claims);
    fflush(stdout);
    free(bench->round_trips);
    free(bench);
}

typedef struct {
    uint64_t token;
    AqClaimsStoreCall call;
} Pending;

static void
record_call(void *context, uint64_t token, AqClaimsStoreCall call,
            bool is_prefix, const char *key, const void *value, size_t size)
{
    (void)is_prefix;
    (void)key;
    (void)value;
    (void)size;
    *(Pending *)context = (Pending){token, call};
}

static void
ignore_verdict(void *context, uint64_t request, AqClaimVerdict verdict)
{
    (void)context;
    (void)request;
    (void)verdict;
}

/* Measures the memory of AqClaims per claimed id, in bytes, while the id table
 * of one partition grows to one million ids, as at 278 claims per second for
 * an hour. */
static void
measure_memory(void)
{
    static const AqClaimsOps ops = {record_call, ignore_verdict};
    AqClaimsConfig config = {0};
    Pending pending = {0};
    AqClaims *claims = AqClaims_Create("entry-0", &config, &ops, &pending, 1);
    AqTime now = 1000;
    double least = 1e9, most = 0;
    AqMsgClaim claim = {.holder = "entry-0"};
    for (uint64_t id = 0; id < MEMORY_IDS; id++) {
        char text[32];
        snprintf(text, sizeof(text), "%" PRIu64, id);
        AqClaims_Hash("track", text, claim.hash);
        claim.hash[0] = 0;
        claim.nonce = id + 1;
        AqClaims_Submit(claims, now, SIM_WALL_START + now, id, &claim);
        if (id % MEMORY_BATCH != MEMORY_BATCH - 1) {
            continue;
        }
        for (int i = 0; i < 4; i++) {
            uint64_t token = pending.token;
            pending.token = 0;
            AqClaimsStoreResult result = pending.call == AQ_CLAIMS_READ
                                             ? AQ_CLAIMS_STORE_ABSENT
                                             : AQ_CLAIMS_STORE_OK;
            AqClaims_StoreDone(claims, now, SIM_WALL_START + now, token,
                               result, NULL, 0);
            now += 40;
            AqClaims_Tick(claims, now, SIM_WALL_START + now);
        }
        size_t count = AqClaims_RecordCount(claims);
        double bytes = (double)AqClaims_MemoryBytes(claims) / (double)count;
        if (count > 10000) {
            least = bytes < least ? bytes : least;
            most = bytes > most ? bytes : most;
        }
    }
    printf("\nmemory: %zu ids, %zu bytes, %.1f to %.1f bytes per id\n",
           AqClaims_RecordCount(claims), AqClaims_MemoryBytes(claims), least,
           most);
    AqClaims_Destroy(claims);
}

int
main(void)
{
    static const double rates[] = {10, 100, 500, 1000};
    printf("claims/s  scheme                 creates  removes    reads "
           "writes/s  p50 ms  p99 ms   granted\n");
    for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
        for (int scheme = 0; scheme < SCHEMES; scheme++) {
            measure((Scheme)scheme, rates[i]);
        }
    }
    measure_memory();
    return 0;
}
