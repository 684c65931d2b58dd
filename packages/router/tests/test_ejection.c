#include <CUnit/Basic.h>

#include "sim.h"
#include "test_router.h"

/* Starts four endpoints, of which one (30%, rounded down) may be ejected; only
 * e0 has slots. */
static void
start_with_one_usable(Sim *sim, unsigned disabled)
{
    Sim_Init(sim, 1, disabled);
    Sim_Start(sim, 4, 0, 5);
    Sim_SetSlots(sim, 0, 8);
}

/* Sends one request to e0 per letter of "outcomes": F makes the request fail,
 * any other letter makes it succeed. */
static void
send_outcomes(Sim *sim, const char *outcomes)
{
    for (const char *at = outcomes; *at != '\0'; at++) {
        sim->endpoints[0].fault = *at == 'F' ? SIM_FAIL : SIM_OK;
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        Sim_Run(sim, 100);
    }
}

/* Guards against ejecting an endpoint for scattered failures, and against not
 * ejecting one that fails more than half of its requests. */
void
test_ejection_thresholds(void)
{
    static const struct {
        const char *outcomes;
        bool ejected;
    } rows[] = {
        {"FFFF", false},
        {"FFFFF", true},
        {"FFFFSFFFF", false},
        /* 13 of 19 outcomes are failures, but the failure rate counts only
         * once 20 outcomes are recorded. */
        {"FFSFFSFFSFFSFFSFFSF", false},
        {"FFSFFSFFSFFSFFSFFSFF", true},
        /* Half of the last 20 outcomes are failures, not more. */
        {"FSFSFSFSFSFSFSFSFSFSFSFS", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Sim sim;
        start_with_one_usable(&sim, AQ_ROUTER_DISABLE_RETRY);
        send_outcomes(&sim, rows[i].outcomes);
        CU_ASSERT_EQUAL(AqRouter_IsEjected(sim.router, "e0"), rows[i].ejected);
        Sim_Clear(&sim);
    }
}

/* Submits requests until the next attempt starts on e0; returns the virtual
 * time, in ms, after that start.  Gives up after 10000 requests. */
static AqTime
run_until_next_start(Sim *sim)
{
    int starts = sim->endpoints[0].starts;
    for (int i = 0; i < 10000 && sim->endpoints[0].starts == starts; i++) {
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, 1000, 0);
        Sim_Run(sim, 10);
    }
    return sim->now;
}

/* Submits requests until e0 is ejected.  Fails the test if e0 is not ejected
 * after 20 attempts on it. */
static void
run_until_ejected(Sim *sim)
{
    for (int i = 0; i < 20 && !AqRouter_IsEjected(sim->router, "e0"); i++) {
        run_until_next_start(sim);
    }
    CU_ASSERT_TRUE_FATAL(AqRouter_IsEjected(sim->router, "e0"));
}

/* Guards against sending requests too often to an ejected endpoint that keeps
 * failing, to find out whether it works again.  Also guards against a long
 * ejection of an endpoint that has recovered since its last ejection. */
void
test_ejection_time_doubles(void)
{
    static const AqTime expected_ms[] = {5000,  10000, 20000,
                                         40000, 60000, 60000};
    Sim sim;
    Sim_Init(&sim, 1, AQ_ROUTER_DISABLE_RETRY);
    Sim_Start(&sim, 4, 8, 5);
    sim.endpoints[0].fault = SIM_FAIL;
    run_until_ejected(&sim);
    AqTime last = sim.now;
    for (size_t i = 0; i < G_N_ELEMENTS(expected_ms); i++) {
        AqTime next = run_until_next_start(&sim);
        CU_ASSERT_TRUE(next - last >= expected_ms[i] - 20);
        CU_ASSERT_TRUE(next - last <= expected_ms[i] + 20);
        last = next;
    }
    sim.endpoints[0].fault = SIM_OK;
    for (int i = 0; i < 30; i++) {
        run_until_next_start(&sim);
    }
    sim.endpoints[0].fault = SIM_FAIL;
    run_until_ejected(&sim);
    last = sim.now;
    CU_ASSERT_TRUE(run_until_next_start(&sim) - last <= 5020);
    Sim_Clear(&sim);
}

/* Guards against a non-idempotent request as the one that finds out whether an
 * ejected endpoint works again, unless the endpoint has passed a health check
 * since its ejection. */
void
test_trial_of_non_idempotent(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    Sim_Start(&sim, 4, 8, 5);
    for (int i = 0; i < 5; i++) {
        AqRouter_HealthDone(sim.router, sim.now, "e0", false);
    }
    AqRouter_HealthDone(sim.router, sim.now, "e0", true);
    sim.endpoints[0].fault = SIM_FAIL;
    Sim_Run(&sim, 6000);
    /* This request finds out whether the ejected e0 works again.  It fails, so
     * that e0 is ejected again. */
    Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 1000, 0);
    Sim_Run(&sim, 11000);
    CU_ASSERT_EQUAL(sim.endpoints[0].starts, 1);
    Sim_Submit(&sim, false, AQ_PRIORITY_LIVE, 1000, 1);
    Sim_Run(&sim, 100);
    CU_ASSERT_EQUAL(sim.endpoints[0].starts, 1);
    AqRouter_HealthDone(sim.router, sim.now, "e0", true);
    Sim_Submit(&sim, false, AQ_PRIORITY_LIVE, 1000, 2);
    Sim_Run(&sim, 100);
    CU_ASSERT_EQUAL(sim.endpoints[0].starts, 2);
    Sim_Clear(&sim);
}

/* Guards against counting a failed attempt as a failure of its endpoint if the
 * endpoint was moved to another service after the attempt had started. */
void
test_move_resets_failures(void)
{
    for (int moved = 0; moved <= 1; moved++) {
        Sim sim;
        start_with_one_usable(&sim, AQ_ROUTER_DISABLE_RETRY);
        sim.manual = true;
        for (int i = 0; i < 5; i++) {
            Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        }
        Sim_Run(&sim, 1);
        for (int e = 0; moved && e < 4; e++) {
            AqRouter_SetEndpoint(sim.router, sim.now, sim.endpoints[e].name,
                                 "other");
        }
        CU_ASSERT_EQUAL(AqRouter_InFlight(sim.router, "e0"), 5);
        for (uint64_t i = 1; i <= 5; i++) {
            Sim_Report(&sim, i, AQ_ATTEMPT_CUT);
        }
        CU_ASSERT_EQUAL(AqRouter_IsEjected(sim.router, "e0"), !moved);
        Sim_Clear(&sim);
    }
}

/* Guards against an endpoint that, while ejection is disabled, is preferred
 * because it fails fast and so appears to be idle. */
void
test_failing_is_not_preferred(void)
{
    Sim sim;
    Sim_Init(&sim, 1, AQ_ROUTER_DISABLE_EJECTION);
    Sim_Start(&sim, 10, 8, 20);
    sim.endpoints[0].fault = SIM_FAIL;
    for (int i = 0; i < 1000; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 1000, 0);
        Sim_Run(&sim, 5);
    }
    CU_ASSERT_TRUE(sim.endpoints[0].starts > 0);
    CU_ASSERT_TRUE(sim.endpoints[0].starts <= 10);
    Sim_Clear(&sim);
}

/* Guards against a delay that does not double with each retry or exceeds its
 * maximum.  Also guards against a retry on an endpoint that the request has
 * already tried while there are others. */
void
test_backoff(void)
{
    static const AqTime expected_ms[] = {25, 50, 100, 200, 400, 800, 1000};
    Sim sim;
    Sim_Init(&sim, 1, AQ_ROUTER_DISABLE_JITTER | AQ_ROUTER_DISABLE_EJECTION);
    sim.config.max_attempts = 8;
    Sim_Start(&sim, 3, 1, 20);
    for (int i = 0; i < 3; i++) {
        sim.endpoints[i].fault = SIM_FAIL;
    }
    Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 100000, 0);
    Sim_Run(&sim, 10000);
    CU_ASSERT_EQUAL_FATAL(sim.attempts->len, 8);
    for (uint64_t i = 0; i < 7; i++) {
        CU_ASSERT_EQUAL(Sim_Attempt(&sim, i + 2)->started -
                            Sim_Attempt(&sim, i + 1)->started,
                        1 + expected_ms[i]);
    }
    int first = Sim_Attempt(&sim, 1)->endpoint;
    int second = Sim_Attempt(&sim, 2)->endpoint;
    int third = Sim_Attempt(&sim, 3)->endpoint;
    CU_ASSERT_TRUE(first != second && second != third && first != third);
    Sim_Clear(&sim);
}

/* Guards against ejecting an endpoint because of timeouts of requests whose
 * deadlines are shorter than the usual latency of its service. */
void
test_short_deadlines_eject_nothing(void)
{
    Sim sim;
    start_with_one_usable(&sim, 0);
    sim.endpoints[0].mean_ms = 200;
    sim.endpoints[0].fixed_time = true;
    send_outcomes(&sim, "SSSSSSSSSS");
    Sim_Run(&sim, 1000);
    for (int i = 0; i < 10; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 20, 0);
        Sim_Run(&sim, 100);
    }
    CU_ASSERT_FALSE(AqRouter_IsEjected(sim.router, "e0"));
    Sim_Clear(&sim);
}

/* Guards against an endpoint that was slow and gets no requests at low load
 * from then on, because its old mean latency never expires. */
void
test_old_mean_expires(void)
{
    Sim sim;
    Sim_Init(&sim, 1, AQ_ROUTER_DISABLE_EJECTION);
    Sim_Start(&sim, 4, 8, 20);
    sim.endpoints[0].mean_ms = 400;
    for (int i = 0; i < 500; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        Sim_Run(&sim, 50);
    }
    sim.endpoints[0].mean_ms = 2;
    sim.endpoints[0].starts = 0;
    for (int i = 0; i < 1000; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
        Sim_Run(&sim, 100);
    }
    CU_ASSERT_TRUE(sim.endpoints[0].starts > 100);
    Sim_Clear(&sim);
}
