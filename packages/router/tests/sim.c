#include "sim.h"

#include <stdio.h>
#include <stdlib.h>

SimRequest *
Sim_Request(const Sim *sim, uint64_t request)
{
    return &g_array_index(sim->requests, SimRequest, request - 1);
}

SimAttempt *
Sim_Attempt(const Sim *sim, uint64_t attempt)
{
    return &g_array_index(sim->attempts, SimAttempt, attempt - 1);
}

static void
remove_value(GArray *values, uint64_t value)
{
    for (guint i = 0; i < values->len; i++) {
        if (g_array_index(values, uint64_t, i) == value) {
            g_array_remove_index_fast(values, i);
            return;
        }
    }
}

/* If the endpoint has idle connections, takes one drawn uniformly and sets
 * "silent" to whether a request on this connection gets no response. */
static void
use_idle_connection(Sim *sim, SimEndpoint *ep, bool *silent)
{
    int n = ep->idle + ep->idle_silent;
    if (n == 0) {
        return;
    }
    *silent = (int)AqRandom_Below(&sim->random, (uint64_t)n) < ep->idle_silent;
    *(*silent ? &ep->idle_silent : &ep->idle) -= 1;
}

/* Decides the result of a starting attempt and when that result is
 * reported. */
static void
plan_result(Sim *sim, SimEndpoint *ep, SimAttempt *attempt, bool fresh)
{
    static const AqAttemptResult results[] = {
        AQ_ATTEMPT_ANSWERED, AQ_ATTEMPT_FAILED, AQ_ATTEMPT_REFUSED,
        AQ_ATTEMPT_NOT_SENT, AQ_ATTEMPT_CUT,    AQ_ATTEMPT_ANSWERED,
    };
    bool silent = false;
    attempt->fresh = fresh;
    if (!fresh) {
        use_idle_connection(sim, ep, &silent);
    }
    attempt->sent = ep->fault != SIM_NO_CONNECT;
    attempt->result = results[ep->fault];
    attempt->due = sim->now + 1;
    if (silent || ep->fault == SIM_DEAD) {
        attempt->due = AQ_TIME_NEVER;
    }
    else if (ep->fault == SIM_OK) {
        double ms = ep->fixed_time
                        ? ep->mean_ms
                        : AqRandom_Exponential(&sim->random, ep->mean_ms);
        attempt->due = sim->now + 1 + (AqTime)ms;
    }
    if (sim->manual) {
        attempt->due = AQ_TIME_NEVER;
        attempt->sent = AqRandom_Below(&sim->random, 2) == 0;
    }
}

/* Counts in Sim.violations each rule that is violated if an attempt of the
 * request starts on the endpoint now. */
static void
check_start(Sim *sim, const SimRequest *r, const SimEndpoint *ep)
{
    sim->violations[SIM_SLOTS_EXCEEDED] += ep->in_use >= ep->slots;
    sim->violations[SIM_STARTED_ON_LEAVING] += ep->unavailable;
    sim->violations[SIM_STARTED_NOT_FRESH] += !sim->fresh;
    sim->violations[SIM_STARTED_UNCLAIMED] += !r->idempotent && !r->claimed;
    sim->violations[SIM_STARTED_AGAIN] += !r->idempotent && r->runs > 0;
}

static void
start_attempt(void *context, const AqAttempt *started)
{
    Sim *sim = context;
    int at = atoi(started->endpoint + 1);
    SimEndpoint *ep = &sim->endpoints[at];
    SimRequest *r = Sim_Request(sim, started->request);
    SimAttempt attempt = {.request = started->request,
                          .endpoint = at,
                          .in_flight = true,
                          .started = sim->now,
                          .timeout_at = started->timeout_at};
    check_start(sim, r, ep);
    plan_result(sim, ep, &attempt, started->fresh_connection);
    ep->in_use++;
    ep->starts++;
    if (ep->in_use > ep->max_in_use) {
        ep->max_in_use = ep->in_use;
    }
    r->starts++;
    g_array_append_val(sim->attempts, attempt);
    g_array_append_val(sim->open_attempts, started->attempt);
}

/* Ends the attempt with the id "number"; "ran" is whether the endpoint may
 * have executed the attempt's request. */
static void
close_attempt(Sim *sim, uint64_t number, bool ran)
{
    SimAttempt *attempt = Sim_Attempt(sim, number);
    attempt->in_flight = false;
    sim->endpoints[attempt->endpoint].in_use--;
    Sim_Request(sim, attempt->request)->runs += ran;
    remove_value(sim->open_attempts, number);
}

static bool
cancel_attempt(void *context, uint64_t number)
{
    Sim *sim = context;
    bool sent = Sim_Attempt(sim, number)->sent;
    close_attempt(sim, number, sent);
    return !sent;
}

static void
close_idle(void *context, const char *endpoint)
{
    Sim *sim = context;
    SimEndpoint *ep = &sim->endpoints[atoi(endpoint + 1)];
    sim->closed_idle_count += ep->idle + ep->idle_silent;
    ep->idle = 0;
    ep->idle_silent = 0;
}

static void
claim(void *context, uint64_t request)
{
    Sim *sim = context;
    SimRequest *r = Sim_Request(sim, request);
    r->claim_pending = true;
    r->claim_due = sim->manual ? AQ_TIME_NEVER : sim->now + sim->claim_ms;
    g_array_append_val(sim->pending_claims, request);
}

static void
forget_claim(void *context, uint64_t request)
{
    Sim *sim = context;
    Sim_Request(sim, request)->claim_pending = false;
    remove_value(sim->pending_claims, request);
}

static void
release_claim(void *context, uint64_t request)
{
    Sim *sim = context;
    SimRequest *r = Sim_Request(sim, request);
    sim->violations[SIM_FALSE_NOT_RUN] += r->runs > 0;
    r->claimed = false;
    g_hash_table_remove(sim->claimed_keys, &r->key);
}

static void
finish(void *context, uint64_t request, uint64_t attempt,
       const AqOutcome *outcome)
{
    Sim *sim = context;
    SimRequest *r = Sim_Request(sim, request);
    (void)attempt;
    sim->violations[SIM_FINISHED_TWICE] += r->finishes++ > 0;
    sim->violations[SIM_FALSE_NOT_RUN] +=
        outcome->kind == AQ_OUTCOME_NOT_RUN && r->runs > 0;
    r->outcome = *outcome;
    r->finished_at = sim->now;
}

static const AqRouterOps ops = {
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .close_idle = close_idle,
    .claim = claim,
    .forget_claim = forget_claim,
    .release_claim = release_claim,
    .finish = finish,
};

void
Sim_Init(Sim *sim, uint64_t seed, unsigned disabled)
{
    *sim = (Sim){.claim_ms = 5};
    AqRandom_Seed(&sim->random, seed);
    AqRouterConfig_Init(&sim->config);
    sim->config.disabled = disabled;
    sim->requests = g_array_new(FALSE, TRUE, sizeof(SimRequest));
    sim->attempts = g_array_new(FALSE, TRUE, sizeof(SimAttempt));
    sim->open_attempts = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    sim->pending_claims = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    sim->claimed_keys =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
Sim_Start(Sim *sim, int endpoints, int slots, double mean_ms)
{
    sim->router =
        AqRouter_Create(&sim->config, &ops, sim, AqRandom_Next(&sim->random));
    for (int i = 0; i < endpoints; i++) {
        SimEndpoint *ep = &sim->endpoints[i];
        snprintf(ep->name, sizeof(ep->name), "e%d", i);
        ep->mean_ms = mean_ms;
        AqRouter_SetEndpoint(sim->router, sim->now, ep->name, "s");
        Sim_SetSlots(sim, i, slots);
    }
    Sim_SetFresh(sim, true);
}

void
Sim_Clear(Sim *sim)
{
    AqRouter_Destroy(sim->router);
    g_array_free(sim->requests, TRUE);
    g_array_free(sim->attempts, TRUE);
    g_array_free(sim->open_attempts, TRUE);
    g_array_free(sim->pending_claims, TRUE);
    g_hash_table_destroy(sim->claimed_keys);
}

uint64_t
Sim_Submit(Sim *sim, bool idempotent, AqPriority priority, AqTime timeout_ms,
           uint64_t key)
{
    AqRequestSpec spec = {"s", idempotent, priority, sim->now + timeout_ms};
    SimRequest r = {.idempotent = idempotent,
                    .priority = priority,
                    .key = key,
                    .submitted = sim->now};
    g_array_append_val(sim->requests, r);
    return AqRouter_Submit(sim->router, sim->now, &spec);
}

void
Sim_SetSlots(Sim *sim, int endpoint, int slots)
{
    SimEndpoint *ep = &sim->endpoints[endpoint];
    ep->slots = slots;
    AqRouter_SetSlots(sim->router, sim->now, ep->name, slots);
}

void
Sim_SetLeaving(Sim *sim, int endpoint, bool leaving)
{
    SimEndpoint *ep = &sim->endpoints[endpoint];
    ep->unavailable = leaving;
    AqRouter_SetLeaving(sim->router, sim->now, ep->name, leaving);
}

void
Sim_SetFresh(Sim *sim, bool fresh)
{
    sim->fresh = fresh;
    AqRouter_SetFresh(sim->router, sim->now, fresh);
}

void
Sim_SilenceConnections(Sim *sim, int endpoint)
{
    SimEndpoint *ep = &sim->endpoints[endpoint];
    ep->idle_silent += ep->idle;
    ep->idle = 0;
    for (guint i = 0; i < sim->open_attempts->len; i++) {
        SimAttempt *attempt =
            Sim_Attempt(sim, g_array_index(sim->open_attempts, uint64_t, i));
        if (attempt->endpoint == endpoint) {
            attempt->due = AQ_TIME_NEVER;
        }
    }
}

void
Sim_Report(Sim *sim, uint64_t number, AqAttemptResult result)
{
    const SimAttempt *attempt = Sim_Attempt(sim, number);
    SimEndpoint *ep = &sim->endpoints[attempt->endpoint];
    bool ran = result != AQ_ATTEMPT_REFUSED && result != AQ_ATTEMPT_NOT_SENT;
    if (ran && result != AQ_ATTEMPT_CUT) {
        ep->idle++;
    }
    close_attempt(sim, number, ran);
    AqRouter_AttemptDone(sim->router, sim->now, number, result);
}

void
Sim_ReportClaim(Sim *sim, uint64_t request, AqRouterClaim result)
{
    SimRequest *r = Sim_Request(sim, request);
    r->claim_pending = false;
    remove_value(sim->pending_claims, request);
    r->claimed = result == AQ_ROUTER_CLAIM_GRANTED;
    if (r->claimed) {
        uint64_t *key = g_new(uint64_t, 1);
        *key = r->key;
        g_hash_table_add(sim->claimed_keys, key);
    }
    AqRouter_ClaimDone(sim->router, sim->now, request, result);
}

/* Returns when the next result of an attempt or claim is due, or AQ_TIME_NEVER
 * if none is due.  Sets "attempt" to the id of that attempt, or "request" to
 * the number of the request with that claim, and the other one to 0. */
static AqTime
next_event(const Sim *sim, uint64_t *attempt, uint64_t *request)
{
    AqTime next = AQ_TIME_NEVER;
    *attempt = 0;
    *request = 0;
    for (guint i = 0; i < sim->open_attempts->len; i++) {
        uint64_t number = g_array_index(sim->open_attempts, uint64_t, i);
        if (Sim_Attempt(sim, number)->due < next) {
            next = Sim_Attempt(sim, number)->due;
            *attempt = number;
        }
    }
    for (guint i = 0; i < sim->pending_claims->len; i++) {
        uint64_t number = g_array_index(sim->pending_claims, uint64_t, i);
        if (Sim_Request(sim, number)->claim_due < next) {
            next = Sim_Request(sim, number)->claim_due;
            *request = number;
            *attempt = 0;
        }
    }
    return next;
}

void
Sim_Run(Sim *sim, AqTime ms)
{
    AqTime end = sim->now + ms;
    for (;;) {
        uint64_t attempt;
        uint64_t request;
        AqTime event = next_event(sim, &attempt, &request);
        AqTime tick = AqRouter_NextTick(sim->router);
        AqTime next = event < tick ? event : tick;
        if (next > end) {
            sim->now = end;
            return;
        }
        sim->now = next > sim->now ? next : sim->now;
        if (attempt != 0 && event <= sim->now) {
            Sim_Report(sim, attempt, Sim_Attempt(sim, attempt)->result);
        }
        else if (request != 0 && event <= sim->now) {
            bool is_claimed = g_hash_table_contains(
                sim->claimed_keys, &Sim_Request(sim, request)->key);
            Sim_ReportClaim(sim, request,
                            is_claimed ? AQ_ROUTER_CLAIM_DUPLICATE
                                       : AQ_ROUTER_CLAIM_GRANTED);
        }
        AqRouter_Tick(sim->router, sim->now);
    }
}

int
Sim_Violations(const Sim *sim)
{
    int n = 0;
    for (int i = 0; i < SIM_RULE_COUNT; i++) {
        n += sim->violations[i];
    }
    return n;
}

int
Sim_Completed(const Sim *sim)
{
    int n = 0;
    for (guint i = 0; i < sim->requests->len; i++) {
        const SimRequest *r = &g_array_index(sim->requests, SimRequest, i);
        n += r->finishes > 0 && r->outcome.kind == AQ_OUTCOME_COMPLETED;
    }
    return n;
}
