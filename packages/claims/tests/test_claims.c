#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

enum {
    SECOND = 1000, /* unit of the durations below: ms */
    MINUTE = 60 * SECOND,
    HOUR = 60 * MINUTE,
    SEEDS = 320 /* number of runs with random faults, with the seeds 1 to
                 * SEEDS */
};

enum {
    FAULTS_END = 5 * HOUR, /* no faults or submits from this sim time on */
    /* No pauses of 2 h from this sim time on. */
    LONG_PAUSE_END = 2 * HOUR + 50 * MINUTE,
    IDS = 60 /* number of different request ids that the test claims */
};

static bool
chance(Sim *sim, unsigned per_mille)
{
    return AqRandom_Below(&sim->random, 1000) < per_mille;
}

static AqTime
random_pause(Sim *sim)
{
    bool may_be_long = sim->now < LONG_PAUSE_END && chance(sim, 300);
    return may_be_long ? 2 * HOUR : MINUTE;
}

static SimCallPlan
plan_random_faults(Sim *sim, SimNode *node, AqClaimsStoreCall call)
{
    (void)node;
    (void)call;
    AqRandom *random = &sim->random;
    SimCallPlan plan = {.effect_ms = 1 + (AqTime)AqRandom_Below(random, 20),
                        .reply_ms = 1 + (AqTime)AqRandom_Below(random, 20)};
    if (sim->now >= FAULTS_END) {
        return plan;
    }
    /* An outage of the store, 20 s in every half hour: each store call is
     * slow, fails or loses its reply. */
    bool outage = sim->now % (30 * MINUTE) < 20 * SECOND;
    unsigned kind = (unsigned)AqRandom_Below(random, outage ? 120 : 1000);
    if (kind < 30) {
        plan.effect_ms = (AqTime)AqRandom_Below(random, 900);
    }
    else if (kind < 60) {
        plan.reply_lost = plan.no_effect = true;
    }
    else if (kind < 90) {
        plan.reply_lost = true;
    }
    else if (kind < 105) {
        plan.reply_lost = true;
        plan.effect_ms = (AqTime)AqRandom_Below(random, 5 * SECOND);
    }
    else if (kind < 120) {
        plan.is_unavailable = true;
    }
    else if (kind < 124) {
        plan.pause_before = random_pause(sim);
    }
    else if (kind < 128) {
        plan.pause_after = random_pause(sim);
    }
    else if (kind < 131) {
        plan.restart_before = true;
    }
    else if (kind < 134) {
        plan.restart_after = true;
    }
    return plan;
}

static void
release_later(Sim *sim, uint64_t request)
{
    Sim_Release(sim, request);
}

static void
cancel_later(Sim *sim, uint64_t request)
{
    Sim_Cancel(sim, request);
}

/* Resubmits a claim without a verdict to another node.  Runs 500 ms after the
 * claim was submitted. */
static void
resubmit_later(Sim *sim, uint64_t request)
{
    const SimRequest *first = &sim->requests[request];
    if (first->verdicts == 0 && !first->cancelled) {
        Sim_Resubmit(sim, (first->node + 1) % sim->node_count, request);
    }
}

static void
on_decided(Sim *sim, size_t request)
{
    bool granted = sim->requests[request].verdict == AQ_CLAIM_GRANTED &&
                   sim->requests[request].origin == request;
    if (granted && chance(sim, 600)) {
        AqTime wait = (AqTime)AqRandom_Below(&sim->random, 2 * SECOND);
        Sim_At(sim, sim->now + wait, release_later, request);
    }
}

static void
submit_random(Sim *sim, uint64_t argument)
{
    uint64_t burst = chance(sim, 100) ? 8 : 1;
    for (uint64_t i = 0; i < burst; i++) {
        int node =
            (int)AqRandom_Below(&sim->random, (uint64_t)sim->node_count);
        size_t request =
            Sim_Submit(sim, node, AqRandom_Below(&sim->random, IDS));
        Sim_At(sim, sim->now + 500, resubmit_later, request);
        if (chance(sim, 100)) {
            AqTime wait = (AqTime)AqRandom_Below(&sim->random, 100);
            Sim_At(sim, sim->now + wait, cancel_later, request);
        }
    }
    if (chance(sim, 10)) {
        Sim_Pause(sim, (int)AqRandom_Below(&sim->random, 3),
                  random_pause(sim));
    }
    AqTime wait = (AqTime)AqRandom_Exponential(&sim->random, 15 * SECOND);
    if (sim->now + wait < FAULTS_END) {
        Sim_At(sim, sim->now + wait, submit_random, argument);
    }
}

static bool
holder_restarted(const Sim *sim, const SimRequest *request)
{
    return sim->nodes[request->node].generation != request->generation;
}

static void
check_verdict_counts(Sim *sim)
{
    for (size_t i = 0; i < sim->request_count; i++) {
        const SimRequest *request = &sim->requests[i];
        int expected = request->cancelled ? 0 : 1;
        if (request->verdicts != expected && !holder_restarted(sim, request)) {
            Sim_Fail(sim, "request received too few or too many verdicts", i);
        }
    }
}

/* Returns whether a claim of one of the first "before" requests may still
 * block the request id "id": because the claim was granted and not released,
 * because the node of the claim restarted and so may never have released the
 * claim, or because two daemons wrote the claim, which neither may release
 * without the claim's holder. */
static bool
may_stay_claimed(const Sim *sim, uint64_t id, size_t before)
{
    for (size_t i = 0; i < before; i++) {
        const SimRequest *request = &sim->requests[i];
        const SimRequest *origin = &sim->requests[request->origin];
        bool granted = request->verdicts > 0 &&
                       request->verdict == AQ_CLAIM_GRANTED &&
                       !origin->released;
        bool recent = sim->now - request->submitted <=
                      sim->config.retention_ms + sim->max_skew;
        if (request->id == id && origin->written > 0 && recent &&
            (granted || holder_restarted(sim, request) ||
             origin->written > 1)) {
            return true;
        }
    }
    return false;
}

/* Claims every request id once more after the faults have ended.  An id that
 * no earlier claim may block must be granted, else an earlier claim was never
 * released after the result of its create was unknown. */
static void
check_leaked_claims(Sim *sim)
{
    size_t before = sim->request_count;
    for (uint64_t id = 0; id < IDS; id++) {
        size_t i = Sim_Submit(sim, (int)(id % 3), id);
        Sim_Run(sim, sim->now + SECOND);
        if (sim->requests[i].verdict != AQ_CLAIM_GRANTED &&
            !may_stay_claimed(sim, id, before)) {
            Sim_Fail(sim, "id stays claimed without a holder", id);
        }
    }
}

typedef struct {
    uint64_t failures;
    uint64_t double_grants;
    uint64_t granted;
    uint64_t duplicate;
    uint64_t unavailable;
    uint64_t removed;
    char first[640];
} Outcome;

static void
count_verdicts(const Sim *sim, Outcome *outcome)
{
    for (size_t i = 0; i < sim->request_count; i++) {
        const SimRequest *request = &sim->requests[i];
        if (request->verdicts > 0) {
            outcome->granted += request->verdict == AQ_CLAIM_GRANTED;
            outcome->duplicate += request->verdict == AQ_CLAIM_DUPLICATE;
            outcome->unavailable += request->verdict == AQ_CLAIM_UNAVAILABLE;
        }
    }
}

static void
run_random_faults(uint64_t seed, unsigned disabled, Outcome *outcome)
{
    AqClaimsConfig config = {.retention_ms = HOUR,
                             .batch_ms = 40,
                             .store_timeout_ms = SECOND,
                             .prefix_removal = seed % 2 == 0,
                             .disabled = disabled};
    Sim sim;
    Sim_Create(&sim, seed, 3, &config);
    sim.plan_call = plan_random_faults;
    sim.decided = on_decided;
    sim.max_skew = 40 * SECOND;
    for (int i = 0; i < sim.node_count; i++) {
        sim.nodes[i].skew =
            (AqTime)AqRandom_Below(&sim.random, 40 * SECOND) - 20 * SECOND;
    }
    Sim_At(&sim, 0, submit_random, 0);
    Sim_Run(&sim, FAULTS_END + 3 * MINUTE);
    check_verdict_counts(&sim);
    check_leaked_claims(&sim);
    count_verdicts(&sim, outcome);
    outcome->removed += sim.removed;
    if (sim.failures > 0 && outcome->failures == 0) {
        snprintf(outcome->first, sizeof(outcome->first),
                 "seed %" PRIu64 ": %s", seed, sim.failure);
    }
    outcome->failures += sim.failures;
    outcome->double_grants += sim.double_grants;
    Sim_Destroy(&sim);
}

/* Guards against broken guarantees of the claim log under random faults: an id
 * granted twice, a missing or repeated verdict, a grant of a claim whose batch
 * was removed from the store, a DUPLICATE verdict on an id of which no stored
 * batch has another claim, removal of batches out of order, and a claim that
 * is never released after the result of its create was unknown. */
static void
test_random_faults(void)
{
    Outcome outcome = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_random_faults(seed, 0, &outcome);
    }
    printf(" seeds=%d granted=%" PRIu64 " duplicate=%" PRIu64
           " unavailable=%" PRIu64 " removed=%" PRIu64 " failures=%" PRIu64
           " %s ",
           SEEDS, outcome.granted, outcome.duplicate, outcome.unavailable,
           outcome.removed, outcome.failures, outcome.first);
    CU_ASSERT_EQUAL(outcome.failures, 0);
    /* The test proves nothing unless each kind of verdict and removals of
     * batches occur often. */
    CU_ASSERT_TRUE(outcome.granted > 1000 && outcome.duplicate > 1000 &&
                   outcome.unavailable > 1000 && outcome.removed > 1000);
}

/* Guards against checks that cannot fail: with any one mechanism of
 * AqClaimsDisabled disabled, the runs with random faults must find a request
 * id that is granted twice. */
static void
test_random_faults_disabled_mechanisms(void)
{
    static const struct {
        unsigned disabled;
        const char *name;
    } cases[] = {
        {AQ_CLAIMS_DISABLE_CREATE_ONLY, "create-only"},
        {AQ_CLAIMS_DISABLE_READ_BACK, "read-back"},
        {AQ_CLAIMS_DISABLE_REREAD, "re-read"},
        {AQ_CLAIMS_DISABLE_RELEASE_NONCE, "release-nonce"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Outcome outcome = {0};
        uint64_t seed = 0;
        while (outcome.double_grants == 0 && seed < SEEDS) {
            run_random_faults(++seed, cases[i].disabled, &outcome);
        }
        printf("\n    %s disabled: granted twice in seed %" PRIu64
               "; first failure in %s ",
               cases[i].name, seed, outcome.first);
        CU_ASSERT_TRUE(outcome.double_grants > 0);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("claims", NULL, NULL);
    CU_ADD_TEST(suite, test_random_faults);
    CU_ADD_TEST(suite, test_random_faults_disabled_mechanisms);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
