#include <CUnit/Basic.h>

#include "sim.h"
#include "test_router.h"

/* Each scenario runs a simulation and returns whether the property that the
 * scenario checks holds.  The property must hold with all mechanisms enabled
 * and must not hold with the tested one disabled, which shows that the
 * scenario detects a fault of that mechanism. */

/* Guards against a queue of requests that grows without bound. */
static bool
queue_is_bounded(Sim *sim)
{
    sim->config.queue_limit = 16;
    Sim_Start(sim, 1, 1, 100);
    int most = 0;
    for (int i = 0; i < 100; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 600000, 0);
        Sim_Run(sim, 1);
        int n = AqRouter_Queued(sim->router, "s");
        most = n > most ? n : most;
    }
    return most <= 16;
}

/* Guards against a request that is kept until near its deadline, although the
 * expected wait shows at submission that the request cannot start in time.
 * Also guards against a refusal whose retry_after_ms is much less than that
 * wait. */
static bool
unmeetable_deadline_is_refused_at_once(Sim *sim)
{
    Sim_Start(sim, 1, 1, 100);
    sim->endpoints[0].fixed_time = true;
    for (int i = 0; i < 200; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 2000, 0);
    }
    Sim_Run(sim, 5000);
    int wrong = 0;
    for (uint64_t i = 1; i <= 200; i++) {
        const SimRequest *r = Sim_Request(sim, i);
        wrong += r->outcome.kind == AQ_OUTCOME_NOT_RUN &&
                 (r->finished_at - r->submitted > 500 ||
                  r->outcome.retry_after_ms < 500);
    }
    return wrong == 0;
}

/* Guards against live requests that wait behind archive requests, and against
 * archive requests that never start while live requests are queued. */
static bool
live_starts_first(Sim *sim)
{
    Sim_Start(sim, 1, 1, 10);
    for (int i = 0; i < 80; i++) {
        Sim_Submit(sim, true, i < 40 ? AQ_PRIORITY_ARCHIVE : AQ_PRIORITY_LIVE,
                   600000, 0);
    }
    while (sim->attempts->len < 40) {
        Sim_Run(sim, 1);
    }
    int archive = 0;
    for (uint64_t i = 1; i <= 40; i++) {
        archive += Sim_Request(sim, Sim_Attempt(sim, i)->request)->priority ==
                   AQ_PRIORITY_ARCHIVE;
    }
    return archive == 40 / 8;
}

/* Guards against a choice of endpoints that ignores their latency: a uniform
 * choice gives the slow one of ten a tenth of the starts, twice as many as
 * this test allows. */
static bool
slow_endpoint_gets_less(Sim *sim)
{
    Sim_Start(sim, 10, 64, 20);
    sim->endpoints[0].mean_ms = 200;
    for (int i = 0; i < 2000; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        Sim_Run(sim, 1);
    }
    return sim->endpoints[0].starts < 2000 / 20;
}

/* Guards against a second execution of the same request id. */
static bool
duplicate_is_not_run(Sim *sim)
{
    Sim_Start(sim, 2, 8, 20);
    for (int i = 0; i < 2; i++) {
        Sim_Submit(sim, false, AQ_PRIORITY_LIVE, 10000, 7);
        Sim_Run(sim, 500);
    }
    const SimRequest *second = Sim_Request(sim, 2);
    return sim->attempts->len == 1 &&
           second->outcome.kind == AQ_OUTCOME_UNKNOWN &&
           second->outcome.reason == AQ_REASON_DUPLICATE;
}

/* Guards against idempotent requests that fail because one endpoint closes its
 * connections. */
static bool
closed_connection_is_retried(Sim *sim)
{
    Sim_Start(sim, 4, 8, 20);
    sim->endpoints[0].fault = SIM_CUT;
    for (int i = 0; i < 20; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 10000, 0);
    }
    Sim_Run(sim, 10000);
    return sim->endpoints[0].starts > 0 && Sim_Completed(sim) == 20;
}

/* Guards against a second execution of a non-idempotent request whose
 * connection was closed after sending. */
static bool
non_idempotent_is_not_retried(Sim *sim)
{
    Sim_Start(sim, 2, 8, 20);
    sim->endpoints[0].fault = SIM_CUT;
    for (uint64_t i = 0; i < 20; i++) {
        Sim_Submit(sim, false, AQ_PRIORITY_LIVE, 10000, i);
    }
    Sim_Run(sim, 10000);
    return sim->endpoints[0].starts > 0 &&
           sim->violations[SIM_STARTED_AGAIN] == 0;
}

/* Guards against AQ_OUTCOME_NOT_RUN for a request that may have been sent. */
static bool
not_run_is_never_false(Sim *sim)
{
    Sim_Start(sim, 1, 8, 20);
    sim->endpoints[0].fault = SIM_CUT;
    for (uint64_t i = 0; i < 20; i++) {
        Sim_Submit(sim, false, AQ_PRIORITY_LIVE, 10000, i);
    }
    Sim_Run(sim, 10000);
    return sim->endpoints[0].starts > 0 &&
           sim->violations[SIM_FALSE_NOT_RUN] == 0;
}

/* Guards against retries that multiply the load on endpoints which all
 * fail. */
static bool
retries_are_bounded(Sim *sim)
{
    Sim_Start(sim, 4, 8, 20);
    for (int i = 0; i < 4; i++) {
        sim->endpoints[i].fault = SIM_CUT;
    }
    for (int i = 0; i < 400; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        Sim_Run(sim, 5);
    }
    Sim_Run(sim, 10000);
    return sim->attempts->len <= 400 + 400 / 10 + 10;
}

/* Guards against simultaneous retries of requests that failed at the same
 * time. */
static bool
retries_are_spread(Sim *sim)
{
    sim->config.retry_burst = 100;
    Sim_Start(sim, 8, 8, 20);
    for (int i = 0; i < 8; i++) {
        sim->endpoints[i].fault = SIM_CUT;
    }
    for (int i = 0; i < 60; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 10000, 0);
    }
    Sim_Run(sim, 26);
    int most = 0;
    for (guint i = 60; i < sim->attempts->len; i++) {
        int same = 0;
        for (guint j = 60; j < sim->attempts->len; j++) {
            same += Sim_Attempt(sim, i + 1)->started ==
                    Sim_Attempt(sim, j + 1)->started;
        }
        most = same > most ? same : most;
    }
    return sim->attempts->len > 60 && most < 20;
}

/* Guards against an endpoint that gets more requests than the others because
 * its requests fail fast. */
static bool
failing_endpoint_is_ejected(Sim *sim)
{
    Sim_Start(sim, 10, 1, 20);
    sim->endpoints[0].fault = SIM_FAIL;
    for (int i = 0; i < 2000; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 1000, 0);
        Sim_Run(sim, 2);
    }
    return sim->endpoints[0].starts <= 6 &&
           AqRouter_IsEjected(sim->router, "e0");
}

/* Guards against any request to an endpoint whose health checks fail, until a
 * health check passes.  Not even the one request is sent that tries an ejected
 * endpoint again. */
static bool
unhealthy_endpoint_is_ejected(Sim *sim)
{
    Sim_Start(sim, 4, 8, 20);
    for (int i = 0; i < 5; i++) {
        AqRouter_HealthDone(sim->router, sim->now, "e0", false);
    }
    for (int i = 0; i < 1000; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 1000, 0);
        Sim_Run(sim, 10);
    }
    int before = sim->endpoints[0].starts;
    AqRouter_HealthDone(sim->router, sim->now, "e0", true);
    Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 1000, 0);
    Sim_Run(sim, 1000);
    return before == 0 && sim->endpoints[0].starts == 1 &&
           !AqRouter_IsEjected(sim->router, "e0");
}

/* Guards against ejecting all endpoints of a service whose requests fail on
 * each endpoint. */
static bool
ejected_share_is_bounded(Sim *sim)
{
    Sim_Start(sim, 10, 8, 20);
    int most = 0;
    for (int i = 0; i < 10; i++) {
        sim->endpoints[i].fault = SIM_FAIL;
    }
    for (int i = 0; i < 400; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 1000, 0);
        Sim_Run(sim, 5);
        int n = 0;
        for (int e = 0; e < 10; e++) {
            n += AqRouter_IsEjected(sim->router, sim->endpoints[e].name);
        }
        most = n > most ? n : most;
    }
    return most == 3;
}

/* Guards against an endpoint that gets requests on all its slots after the
 * time of its ejection, although the endpoint is still dead. */
static bool
ejected_endpoint_returns_by_one_trial(Sim *sim)
{
    Sim_Start(sim, 4, 4, 50);
    sim->endpoints[0].fault = SIM_DEAD;
    while (!AqRouter_IsEjected(sim->router, "e0") || sim->now < 3000) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 4000, 0);
        Sim_Run(sim, 4);
    }
    Sim_Run(sim, 3000);
    sim->endpoints[0].max_in_use = 0;
    int starts = sim->endpoints[0].starts;
    for (int i = 0; i < 2000; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 4000, 0);
        Sim_Run(sim, 4);
    }
    return sim->endpoints[0].starts > starts &&
           sim->endpoints[0].max_in_use == 1;
}

/* Guards against requests that wait until their deadlines for a response on a
 * dead connection. */
static bool
silent_connections_are_detected(Sim *sim)
{
    Sim_Start(sim, 4, 8, 20);
    for (int i = 0; i < 1000; i++) {
        if (i == 500) {
            Sim_SilenceConnections(sim, 0);
        }
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 5000, 0);
        Sim_Run(sim, 2);
    }
    Sim_Run(sim, 10000);
    return Sim_Completed(sim) == 1000 && sim->endpoints[0].idle_silent == 0;
}

/* Guards against new requests to a leaving endpoint, and against aborting
 * requests in flight on that endpoint. */
static bool
leaving_endpoint_gets_no_new_requests(Sim *sim)
{
    Sim_Start(sim, 2, 8, 50);
    for (int i = 0; i < 300; i++) {
        if (i == 100) {
            Sim_SetLeaving(sim, 0, true);
        }
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 5000, 0);
        Sim_Run(sim, 10);
    }
    Sim_Run(sim, 5000);
    return sim->violations[SIM_STARTED_ON_LEAVING] == 0 &&
           Sim_Completed(sim) == 300;
}

/* Guards against starting requests while the daemon's configuration may be out
 * of date. */
static bool
not_fresh_starts_nothing(Sim *sim)
{
    Sim_Start(sim, 1, 1, 50);
    for (int i = 0; i < 20; i++) {
        if (i == 10) {
            Sim_SetFresh(sim, false);
        }
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 5000, 0);
        Sim_Run(sim, 1);
    }
    Sim_Run(sim, 1000);
    return sim->violations[SIM_STARTED_NOT_FRESH] == 0 &&
           Sim_Request(sim, 20)->outcome.reason == AQ_REASON_NOT_FRESH;
}

/* Guards against accepting requests while the daemon stops, and against losing
 * requests accepted before. */
static bool
stop_finishes_accepted_requests(Sim *sim)
{
    Sim_Start(sim, 1, 1, 20);
    for (int i = 0; i < 10; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 5000, 0);
    }
    AqRouter_Stop(sim->router, sim->now);
    Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 5000, 0);
    Sim_Run(sim, 5000);
    return Sim_Completed(sim) == 10 &&
           Sim_Request(sim, 11)->outcome.reason == AQ_REASON_STOPPING;
}

static const struct {
    const char *name;
    /* AQ_ROUTER_DISABLE_* bit of the mechanism that the scenario tests. */
    unsigned bit;
    /* AQ_ROUTER_DISABLE_* bits set in both runs of the scenario, so that only
     * the tested mechanism makes a difference. */
    unsigned always;
    bool (*holds)(Sim *sim);
} scenarios[] = {
    {"queue limit", AQ_ROUTER_DISABLE_QUEUE_LIMIT, 0, queue_is_bounded},
    {"admission", AQ_ROUTER_DISABLE_ADMISSION, 0,
     unmeetable_deadline_is_refused_at_once},
    {"priority", AQ_ROUTER_DISABLE_PRIORITY, 0, live_starts_first},
    {"load choice", AQ_ROUTER_DISABLE_LOAD_CHOICE, AQ_ROUTER_DISABLE_EJECTION,
     slow_endpoint_gets_less},
    {"claim", AQ_ROUTER_DISABLE_CLAIM, 0, duplicate_is_not_run},
    {"retry", AQ_ROUTER_DISABLE_RETRY, 0, closed_connection_is_retried},
    {"retry rule", AQ_ROUTER_DISABLE_RETRY_RULE, 0,
     non_idempotent_is_not_retried},
    {"run mark", AQ_ROUTER_DISABLE_RUN_MARK, 0, not_run_is_never_false},
    {"retry budget", AQ_ROUTER_DISABLE_RETRY_BUDGET, 0, retries_are_bounded},
    {"jitter", AQ_ROUTER_DISABLE_JITTER, 0, retries_are_spread},
    {"ejection", AQ_ROUTER_DISABLE_EJECTION, 0, failing_endpoint_is_ejected},
    {"health", AQ_ROUTER_DISABLE_EJECTION, 0, unhealthy_endpoint_is_ejected},
    {"share", AQ_ROUTER_DISABLE_EJECTION_SHARE, 0, ejected_share_is_bounded},
    {"trial", AQ_ROUTER_DISABLE_TRIAL, 0,
     ejected_endpoint_returns_by_one_trial},
    {"silent", AQ_ROUTER_DISABLE_SILENT, AQ_ROUTER_DISABLE_EJECTION,
     silent_connections_are_detected},
    {"leaving", AQ_ROUTER_DISABLE_LEAVING, 0,
     leaving_endpoint_gets_no_new_requests},
    {"freshness", AQ_ROUTER_DISABLE_FRESHNESS, 0, not_fresh_starts_nothing},
    {"stop", AQ_ROUTER_DISABLE_STOP, 0, stop_finishes_accepted_requests},
};

/* Runs scenario i with the AQ_ROUTER_DISABLE_* bits of "disabled"; returns
 * whether the scenario's property holds. */
static bool
run_scenario(size_t i, unsigned disabled, uint64_t seed)
{
    Sim sim;
    Sim_Init(&sim, seed, disabled | scenarios[i].always);
    bool holds = scenarios[i].holds(&sim);
    CU_ASSERT_TRUE(AqRouter_CheckConsistency(sim.router, NULL));
    CU_ASSERT_TRUE(disabled != 0 || Sim_Violations(&sim) == 0);
    Sim_Clear(&sim);
    return holds;
}

/* Guards against mechanisms that have no effect: runs each scenario with all
 * mechanisms enabled and with the mechanism that it tests disabled. */
void
test_mechanisms(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        for (uint64_t seed = 1; seed <= 5; seed++) {
            bool enabled = run_scenario(i, 0, seed);
            bool disabled = run_scenario(i, scenarios[i].bit, seed);
            CU_ASSERT_TRUE(enabled);
            CU_ASSERT_FALSE(disabled);
            if (!enabled || disabled) {
                printf("\n%s, seed %d: holds %d, holds when disabled %d",
                       scenarios[i].name, (int)seed, enabled, disabled);
            }
        }
    }
}
