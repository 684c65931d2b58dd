#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

/* Measures the claim log in virtual time: store calls per claimed request and
 * added latency, with claims sent to the partition's owner and without,
 * against one write per request.  Prints one line per rate and scheme. */

enum {
    SEEDS = 20,
    DAEMONS = 9,
    STORE_HALF_MS = 2, /* the store answers after 4 ms */
    /* A short retention, so that removals are part of the measured time. */
    RETENTION_MS = 60000,
    WARM_UP_MS = 70000,
    END_MS = 130000,
    MAX_LATENCY_MS = 20000,
    MEMORY_IDS = 1000000,
    MEMORY_BATCH = 40
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
    double interval_ms;
    double next;
    uint64_t measured;
    uint64_t granted;
    uint64_t writes;
    uint64_t reads;
    uint64_t creates;
    uint64_t histogram[MAX_LATENCY_MS + 1];
    AqTime *trips; /* way to the owner and back, by request */
} Bench;

static SimFate
steady_store(Sim *sim, SimNode *node, AqClaimsStoreCall call)
{
    (void)node;
    Bench *bench = sim->user;
    if (sim->now >= WARM_UP_MS && sim->now < END_MS) {
        bench->writes += call != AQ_CLAIMS_READ;
        bench->creates += call == AQ_CLAIMS_CREATE;
        bench->reads += call == AQ_CLAIMS_READ;
    }
    return (SimFate){.effect_ms = STORE_HALF_MS, .reply_ms = STORE_HALF_MS};
}

/* 1.4 ms one way on average, in whole ms. */
static AqTime
one_way(Sim *sim)
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
    AqTime latency = sim->now - request->submitted + bench->trips[number];
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
arrive(Sim *sim, uint64_t id)
{
    Bench *bench = sim->user;
    int node = (int)AqRandom_Below(&sim->random, DAEMONS);
    uint8_t hash[16];
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, id);
    AqClaims_Hash("track", text, hash);
    bool local = bench->scheme == UNROUTED || node == AqClaims_Partition(hash);
    AqTime there = local ? 0 : one_way(sim);
    bench->trips[id] = local ? 0 : there + one_way(sim);
    if (local) {
        Sim_Submit(sim, node, id);
    }
    else {
        Sim_At(sim, sim->now + there, submit_at_owner, id);
    }
    bench->next += AqRandom_Exponential(&sim->random, bench->interval_ms);
    if (bench->next < END_MS) {
        Sim_At(sim, (AqTime)bench->next, arrive, id + 1);
    }
}

/* The trips are looked up by request number, which follows the order of
 * submits; with routing that is not the order of arrival.  The latency sum is
 * unaffected, as trips are drawn independently. */
static void
run_seed(Bench *bench, uint64_t seed)
{
    AqClaimsConfig config = {.retention_ms = RETENTION_MS};
    Sim sim;
    config.store_timeout_ms = 1000;
    config.prefix_removal = bench->scheme == ROUTED_PREFIX;
    Sim_Create(&sim, seed, DAEMONS, &config);
    sim.fate = steady_store;
    sim.decided = on_verdict;
    sim.user = bench;
    sim.unchecked = true;
    bench->next = 0;
    Sim_At(&sim, 0, arrive, 0);
    Sim_Run(&sim, END_MS + 10000);
    if (sim.failures > 0) {
        printf("seed %" PRIu64 ": %s\n", seed, sim.failure);
    }
    Sim_Destroy(&sim);
}

/* One create of 4 ms for each request and one removal after the retention. */
static void
run_baseline(Bench *bench, double rate)
{
    bench->measured = (uint64_t)(rate * (END_MS - WARM_UP_MS) / 1000) * SEEDS;
    bench->granted = bench->measured;
    bench->creates = bench->measured;
    bench->writes = 2 * bench->measured;
    bench->histogram[2 * STORE_HALF_MS] = bench->measured;
}

static int
percentile(const Bench *bench, double share)
{
    uint64_t wanted = (uint64_t)((double)bench->measured * share);
    uint64_t sum = 0;
    for (int ms = 0; ms < MAX_LATENCY_MS; ms++) {
        sum += bench->histogram[ms];
        if (sum > wanted) {
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
    bench->trips =
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
    free(bench->trips);
    free(bench);
}

typedef struct {
    uint64_t token;
    AqClaimsStoreCall call;
} Pending;

static void
hold_call(void *context, uint64_t token, AqClaimsStoreCall call,
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

/* Bytes per remembered id while the table of one partition grows to its share
 * of one million ids, as at 278 claims a second over an hour. */
static void
measure_memory(void)
{
    static const AqClaimsOps ops = {hold_call, ignore_verdict};
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
        size_t count = AqClaims_Remembered(claims);
        double bytes = (double)AqClaims_MemoryBytes(claims) / (double)count;
        if (count > 10000) {
            least = bytes < least ? bytes : least;
            most = bytes > most ? bytes : most;
        }
    }
    printf("\nmemory: %zu ids, %zu bytes, %.1f to %.1f bytes per id\n",
           AqClaims_Remembered(claims), AqClaims_MemoryBytes(claims), least,
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
