#include <CUnit/Basic.h>
#include <stdio.h>

#include "sim.h"
#include "test_router.h"

enum {
    SEEDS = 300,
    STEPS = 600, /* calls of step_once per seed */
    ENDPOINTS = 7
};

static uint64_t
below(Sim *sim, uint64_t bound)
{
    return AqRandom_Below(&sim->random, bound);
}

/* Returns a random element of "values". */
static uint64_t
any_of(Sim *sim, const GArray *values)
{
    return g_array_index(values, uint64_t, below(sim, values->len));
}

/* Returns AQ_ATTEMPT_NOT_SENT if no byte of the attempt's request was sent;
 * otherwise returns a random one of the other results. */
static AqAttemptResult
any_result(Sim *sim, uint64_t attempt)
{
    static const AqAttemptResult sent[] = {
        AQ_ATTEMPT_ANSWERED, AQ_ATTEMPT_ANSWERED, AQ_ATTEMPT_FAILED,
        AQ_ATTEMPT_REFUSED,  AQ_ATTEMPT_CUT,      AQ_ATTEMPT_TOO_LARGE,
    };
    return Sim_Attempt(sim, attempt)->sent
               ? sent[below(sim, G_N_ELEMENTS(sent))]
               : AQ_ATTEMPT_NOT_SENT;
}

/* Makes one random change to a random endpoint: removes it, adds it, moves it
 * to another service, or sets its number of slots or whether it is leaving. */
static void
change_endpoint(Sim *sim)
{
    int e = (int)below(sim, ENDPOINTS);
    SimEndpoint *ep = &sim->endpoints[e];
    switch (below(sim, 5)) {
    case 0:
        ep->unavailable = true;
        AqRouter_RemoveEndpoint(sim->router, sim->now, ep->name);
        break;
    case 1:
        /* Adds the endpoint again if it was removed.  Otherwise moves it to
         * the service drawn here, unless it already belongs to it. */
        AqRouter_SetEndpoint(sim->router, sim->now, ep->name,
                             below(sim, 4) == 0 ? "other" : "s");
        Sim_SetLeaving(sim, e, false);
        Sim_SetSlots(sim, e, 2);
        break;
    case 2:
        Sim_SetLeaving(sim, e, below(sim, 2) == 0);
        break;
    default:
        Sim_SetSlots(sim, e, (int)below(sim, 5));
    }
}

/* Sets at random whether the daemon's configuration is fresh.  In the last
 * quarter of the STEPS calls of step_once, stops the router instead with a
 * probability of 1/40. */
static void
change_daemon(Sim *sim, int step)
{
    if (below(sim, 40) == 0 && step > STEPS * 3 / 4) {
        AqRouter_Stop(sim->router, sim->now);
    }
    else {
        Sim_SetFresh(sim, below(sim, 8) != 0);
    }
}

/* Performs one random action: submits or cancels a request, reports the result
 * of an attempt, claim or health check, changes an endpoint, stops the router,
 * changes whether the configuration is fresh, or advances the time. */
static void
step_once(Sim *sim, int step)
{
    uint64_t action = below(sim, 100);
    if (action < 30) {
        AqTime timeout =
            (AqTime)below(sim, 10) == 0 ? 0 : (AqTime)below(sim, 3000);
        Sim_Submit(sim, below(sim, 2) == 0,
                   below(sim, 2) ? AQ_PRIORITY_LIVE : AQ_PRIORITY_ARCHIVE,
                   timeout, below(sim, 1000));
    }
    else if (action < 55 && sim->open_attempts->len > 0) {
        uint64_t attempt = any_of(sim, sim->open_attempts);
        Sim_Report(sim, attempt, any_result(sim, attempt));
    }
    else if (action < 70 && sim->pending_claims->len > 0) {
        Sim_ReportClaim(sim, any_of(sim, sim->pending_claims),
                        below(sim, 3) > 0 ? AQ_ROUTER_CLAIM_GRANTED
                                          : (AqRouterClaim)below(sim, 3));
    }
    else if (action < 74 && sim->requests->len > 0) {
        AqRouter_Cancel(sim->router, sim->now,
                        1 + below(sim, sim->requests->len));
    }
    else if (action < 80) {
        change_endpoint(sim);
    }
    else if (action < 82) {
        change_daemon(sim, step);
    }
    else if (action < 86) {
        AqRouter_HealthDone(sim->router, sim->now,
                            sim->endpoints[below(sim, ENDPOINTS)].name,
                            below(sim, 2) == 0);
    }
    else if (action < 95) {
        sim->now += (AqTime)below(sim, 60);
        AqRouter_Tick(sim->router, sim->now);
    }
    else {
        Sim_Run(sim, (AqTime)below(sim, 1000));
    }
}

/* Runs for 10 s of virtual time, in which each pending claim and each attempt
 * in flight gets a result.  Returns the number of requests that were not
 * finished exactly once. */
static int
count_unfinished(Sim *sim)
{
    for (int i = 0; i < 100; i++) {
        Sim_Run(sim, 100);
        while (sim->pending_claims->len > 0) {
            Sim_ReportClaim(sim, any_of(sim, sim->pending_claims),
                            AQ_ROUTER_CLAIM_UNAVAILABLE);
        }
        while (sim->open_attempts->len > 0) {
            Sim_Report(sim, any_of(sim, sim->open_attempts),
                       AQ_ATTEMPT_ANSWERED);
        }
    }
    int n = 0;
    for (guint i = 1; i <= sim->requests->len; i++) {
        n += Sim_Request(sim, i)->finishes != 1;
    }
    return n;
}

/* Performs STEPS random actions in a new simulation.  Returns true if no rule
 * in SimRule was violated, the router's tables stayed consistent and every
 * request was finished exactly once. */
static bool
run_seed(uint64_t seed, unsigned disabled)
{
    Sim sim;
    AqError error;
    AqError_Clear(&error);
    Sim_Init(&sim, seed, disabled);
    sim.manual = true;
    /* These settings cause more refused requests, retries and requests that
     * try an ejected endpoint again than the default settings. */
    sim.config.queue_limit = 20;
    sim.config.retry_burst = 40;
    sim.config.eject_initial_ms = 500;
    Sim_Start(&sim, ENDPOINTS, 2, 20);
    bool ok = true;
    for (int i = 0; i < STEPS && ok; i++) {
        step_once(&sim, i);
        ok = AqRouter_CheckConsistency(sim.router, &error) &&
             Sim_Violations(&sim) == 0;
    }
    int unfinished = ok ? count_unfinished(&sim) : 0;
    ok = ok && unfinished == 0 && Sim_Violations(&sim) == 0 &&
         AqRouter_TotalInFlight(sim.router) == 0;
    if (!ok && disabled == 0) {
        printf("\nseed %d: %s; %d unfinished; violations", (int)seed,
               error.message, unfinished);
        for (int i = 0; i < SIM_RULE_COUNT; i++) {
            printf(" %d", sim.violations[i]);
        }
    }
    Sim_Clear(&sim);
    return ok;
}

/* Guards against faults in a random order of calls: a request finished twice
 * or never, more attempts in flight than an endpoint has slots, a second
 * execution of a non-idempotent request, AQ_OUTCOME_NOT_RUN for a request that
 * may have run, a start on a leaving endpoint, inconsistent tables. */
void
test_random_calls(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        CU_ASSERT_TRUE(run_seed(seed, 0));
    }
    /* Each of these bits disables one mechanism.  With that mechanism
     * disabled, run_seed must return false for more than half of 20 seeds. */
    static const unsigned rules[] = {
        AQ_ROUTER_DISABLE_CLAIM,
        AQ_ROUTER_DISABLE_RETRY_RULE,
        AQ_ROUTER_DISABLE_LEAVING,
        AQ_ROUTER_DISABLE_FRESHNESS,
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rules); i++) {
        int caught = 0;
        for (uint64_t seed = 1; seed <= 20; seed++) {
            caught += !run_seed(seed, rules[i]);
        }
        CU_ASSERT_TRUE(caught > 10);
    }
}
