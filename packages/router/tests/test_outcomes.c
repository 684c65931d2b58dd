#include <CUnit/Basic.h>
#include <stdio.h>

#include "sim.h"
#include "test_router.h"

/* Stage of a request in which a fault is injected. */
typedef enum {
    CLAIMING,
    QUEUED,
    CONNECTING, /* an attempt is in flight, no byte of the request was sent */
    /* An attempt is in flight, bytes of the request may have been sent. */
    SENT,
    /* The request waits for its retry after an attempt that did not run. */
    BACKOFF,
    /* The request waits for its retry after an attempt that may have run. */
    BACKOFF_CUT
} RequestStage;

/* Fault that a case injects into request 1 or its environment. */
typedef enum {
    /* The test injects each of these five faults by reporting this
     * AqAttemptResult to the router for attempt 1 of request 1. */
    NOT_SENT = AQ_ATTEMPT_NOT_SENT,
    REFUSED = AQ_ATTEMPT_REFUSED,
    FAILED = AQ_ATTEMPT_FAILED,
    CUT = AQ_ATTEMPT_CUT,
    TOO_LARGE = AQ_ATTEMPT_TOO_LARGE,
    /* Faults that are not a result of attempt 1. */
    NO_REPLY = 100, /* request 1 gets no claim result, slot or response */
    CANCELLED,      /* the caller cancels the request */
    NOT_FRESH,
    LEAVING, /* all endpoints leave */
    REMOVED, /* all endpoints are removed */
    STOPPED,
    CLAIM_DUPLICATE,
    CLAIM_UNAVAILABLE
} Fault;

enum {
    COMPLETED = AQ_OUTCOME_COMPLETED,
    NOT_RUN = AQ_OUTCOME_NOT_RUN,
    UNKNOWN = AQ_OUTCOME_UNKNOWN,
    IDEMPOTENT = 1,
    NON_IDEMPOTENT = 0
};

static const struct {
    RequestStage stage;
    Fault fault;
    int idempotent;
    int kind;   /* expected AqOutcomeKind of request 1 */
    int reason; /* expected AqReason of request 1 */
    int starts; /* expected number of attempts of request 1 */
    /* Expected number of attempts of request 1 that may have run. */
    int runs;
} cases[] = {
    {CLAIMING, CLAIM_DUPLICATE, NON_IDEMPOTENT, UNKNOWN, AQ_REASON_DUPLICATE,
     0, 0},
    {CLAIMING, CLAIM_UNAVAILABLE, NON_IDEMPOTENT, NOT_RUN,
     AQ_REASON_CLAIM_STORE, 0, 0},
    {CLAIMING, NO_REPLY, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_DEADLINE, 0, 0},
    {CLAIMING, CANCELLED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 0, 0},
    {CLAIMING, NOT_FRESH, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NOT_FRESH, 0, 0},
    {CLAIMING, LEAVING, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},
    {CLAIMING, REMOVED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},
    {CLAIMING, STOPPED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},

    {QUEUED, NO_REPLY, IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},
    {QUEUED, NO_REPLY, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},
    {QUEUED, CANCELLED, IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 0, 0},
    {QUEUED, CANCELLED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 0, 0},
    {QUEUED, NOT_FRESH, IDEMPOTENT, NOT_RUN, AQ_REASON_NOT_FRESH, 0, 0},
    {QUEUED, NOT_FRESH, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NOT_FRESH, 0, 0},
    {QUEUED, LEAVING, IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},
    {QUEUED, REMOVED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 0, 0},

    {CONNECTING, NOT_SENT, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {CONNECTING, NOT_SENT, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {CONNECTING, NO_REPLY, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {CONNECTING, NO_REPLY, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_DEADLINE, 1, 0},
    {CONNECTING, CANCELLED, IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 1, 0},
    {CONNECTING, CANCELLED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 1, 0},
    {CONNECTING, NOT_FRESH, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {CONNECTING, LEAVING, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},

    {SENT, REFUSED, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {SENT, REFUSED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {SENT, FAILED, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 2},
    {SENT, FAILED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {SENT, CUT, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 2},
    {SENT, CUT, NON_IDEMPOTENT, UNKNOWN, AQ_REASON_CUT, 1, 1},
    {SENT, TOO_LARGE, IDEMPOTENT, UNKNOWN, AQ_REASON_TOO_LARGE, 1, 1},
    {SENT, TOO_LARGE, NON_IDEMPOTENT, UNKNOWN, AQ_REASON_TOO_LARGE, 1, 1},
    {SENT, NO_REPLY, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 2},
    {SENT, NO_REPLY, NON_IDEMPOTENT, UNKNOWN, AQ_REASON_DEADLINE, 1, 1},
    {SENT, CANCELLED, IDEMPOTENT, UNKNOWN, AQ_REASON_NONE, 1, 1},
    {SENT, CANCELLED, NON_IDEMPOTENT, UNKNOWN, AQ_REASON_NONE, 1, 1},
    {SENT, NOT_FRESH, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {SENT, NOT_FRESH, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {SENT, LEAVING, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {SENT, REMOVED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},
    {SENT, STOPPED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 1, 1},

    {BACKOFF, CANCELLED, IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 1, 0},
    {BACKOFF, CANCELLED, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NONE, 1, 0},
    {BACKOFF, NOT_FRESH, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NOT_FRESH, 1, 0},
    {BACKOFF, LEAVING, NON_IDEMPOTENT, NOT_RUN, AQ_REASON_NO_ENDPOINT, 1, 0},
    {BACKOFF, STOPPED, NON_IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 1},
    {BACKOFF_CUT, CANCELLED, IDEMPOTENT, UNKNOWN, AQ_REASON_CUT, 1, 1},
    {BACKOFF_CUT, NOT_FRESH, IDEMPOTENT, UNKNOWN, AQ_REASON_CUT, 1, 1},
    {BACKOFF_CUT, LEAVING, IDEMPOTENT, UNKNOWN, AQ_REASON_CUT, 1, 1},
    {BACKOFF_CUT, STOPPED, IDEMPOTENT, COMPLETED, AQ_REASON_NONE, 2, 2},
};

/* Starts two endpoints, submits request 1 and runs until the request is in the
 * stage. */
static void
advance_to_stage(Sim *sim, RequestStage stage, bool idempotent)
{
    Sim_Start(sim, 2, stage == QUEUED ? 0 : 1, 20);
    Sim_Submit(sim, idempotent, AQ_PRIORITY_LIVE, 2000, 1);
    Sim_Run(sim, 1);
    if (stage == CLAIMING) {
        return;
    }
    if (!idempotent) {
        Sim_ReportClaim(sim, 1, AQ_ROUTER_CLAIM_GRANTED);
        Sim_Run(sim, 1);
    }
    if (stage == QUEUED) {
        return;
    }
    Sim_Attempt(sim, 1)->sent = stage == SENT || stage == BACKOFF_CUT;
    if (stage == BACKOFF || stage == BACKOFF_CUT) {
        Sim_Report(sim, 1,
                   stage == BACKOFF ? AQ_ATTEMPT_NOT_SENT : AQ_ATTEMPT_CUT);
        Sim_Run(sim, 1);
    }
}

/* Injects the fault into request 1, its attempt 1 or the whole simulation. */
static void
inject_fault(Sim *sim, Fault fault)
{
    switch (fault) {
    case NO_REPLY:
        break;
    case CANCELLED:
        AqRouter_Cancel(sim->router, sim->now, 1);
        break;
    case NOT_FRESH:
        Sim_SetFresh(sim, false);
        break;
    case LEAVING:
        Sim_SetLeaving(sim, 0, true);
        Sim_SetLeaving(sim, 1, true);
        break;
    case REMOVED:
        AqRouter_RemoveEndpoint(sim->router, sim->now, "e0");
        AqRouter_RemoveEndpoint(sim->router, sim->now, "e1");
        break;
    case STOPPED:
        AqRouter_Stop(sim->router, sim->now);
        break;
    case CLAIM_DUPLICATE:
        Sim_ReportClaim(sim, 1, AQ_ROUTER_CLAIM_DUPLICATE);
        break;
    case CLAIM_UNAVAILABLE:
        Sim_ReportClaim(sim, 1, AQ_ROUTER_CLAIM_UNAVAILABLE);
        break;
    default:
        Sim_Report(sim, 1, (AqAttemptResult)fault);
    }
}

/* Runs for 5 s of virtual time and lets all claims and attempts succeed.  With
 * the fault NO_REPLY, the claim and attempt 1 get no result. */
static void
run_to_completion(Sim *sim, Fault fault)
{
    for (int i = 0; i < 200; i++) {
        Sim_Run(sim, 25);
        if (sim->pending_claims->len > 0 && fault != NO_REPLY) {
            Sim_ReportClaim(sim, 1, AQ_ROUTER_CLAIM_GRANTED);
        }
        if (sim->open_attempts->len > 0) {
            uint64_t attempt = g_array_index(sim->open_attempts, uint64_t, 0);
            if (attempt > 1 || fault != NO_REPLY) {
                Sim_Report(sim, attempt, AQ_ATTEMPT_ANSWERED);
            }
        }
    }
}

/* Guards against a wrong outcome and against a second execution of a
 * non-idempotent request, for faults in each stage of a request. */
void
test_outcomes(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Sim sim;
        Sim_Init(&sim, i, AQ_ROUTER_DISABLE_JITTER);
        sim.manual = true;
        advance_to_stage(&sim, cases[i].stage, cases[i].idempotent);
        inject_fault(&sim, cases[i].fault);
        run_to_completion(&sim, cases[i].fault);
        const SimRequest *r = Sim_Request(&sim, 1);
        bool ok = r->finishes == 1 && (int)r->outcome.kind == cases[i].kind &&
                  (int)r->outcome.reason == cases[i].reason &&
                  r->starts == cases[i].starts && r->runs == cases[i].runs &&
                  Sim_Violations(&sim) == 0 &&
                  r->claimed == (!cases[i].idempotent && r->runs > 0);
        CU_ASSERT_TRUE(ok);
        if (!ok) {
            printf("\ncase %d (stage %d, fault %d, idempotent %d): "
                   "finishes %d, kind %d, reason %d, starts %d, runs %d",
                   (int)i, cases[i].stage, cases[i].fault, cases[i].idempotent,
                   r->finishes, r->outcome.kind, r->outcome.reason, r->starts,
                   r->runs);
        }
        Sim_Clear(&sim);
    }
}

/* Guards against attempts that time out too early or too late, and against
 * non-idempotent requests on idle connections, which may be dead. */
void
test_attempt_timeouts(void)
{
    static const struct {
        bool idempotent;
        /* Number of requests, each with a service time of 10 ms, that complete
         * before the request whose timeout is checked starts. */
        int samples;
        AqTime deadline_ms;
        AqTime expected_timeout_ms;
    } rows[] = {
        /* The attempt times out after half of the 1000 ms to the deadline. */
        {true, 0, 1000, 500},
        /* The attempt times out after four times 1 s, the 95th percentile of
         * the response time assumed for a service without samples. */
        {true, 0, 600000, 4000},
        /* The attempt times out after 250 ms, the least timeout: four times
         * the 95th percentile of the response times is shorter. */
        {true, 50, 600000, 250},
        /* The attempt times out after half of the 300 ms to the deadline. */
        {true, 50, 300, 150},
        /* The attempt times out at the deadline, as the request is not
         * idempotent and cannot be retried. */
        {false, 50, 2000, 2000},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Sim sim;
        Sim_Init(&sim, i, 0);
        Sim_Start(&sim, 1, 8, 10);
        sim.endpoints[0].fixed_time = true;
        sim.claim_ms = 0;
        for (int n = 0; n < rows[i].samples; n++) {
            Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
            Sim_Run(&sim, 20);
        }
        Sim_Submit(&sim, rows[i].idempotent, AQ_PRIORITY_LIVE,
                   rows[i].deadline_ms, 1);
        Sim_Run(&sim, 1);
        const SimAttempt *last = Sim_Attempt(&sim, sim.attempts->len);
        CU_ASSERT_EQUAL(last->timeout_at - last->started,
                        rows[i].expected_timeout_ms);
        CU_ASSERT_EQUAL(last->fresh, !rows[i].idempotent);
        Sim_Clear(&sim);
    }
}

/* Guards against refusing a request with a short deadline although a slot is
 * free, because AqRouter_Tick runs a few milliseconds after the submission. */
void
test_short_deadline_starts(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    Sim_Start(&sim, 1, 8, 10);
    Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 60, 0);
    sim.now += 5;
    AqRouter_Tick(sim.router, sim.now);
    CU_ASSERT_EQUAL(Sim_Request(&sim, 1)->starts, 1);
    Sim_Clear(&sim);
}

/* Guards against a service that never completes a request again after it has
 * become slower than the timeout of its attempts.  That timeout is computed
 * from the 95th percentile of the response times, which then no completed
 * request raises. */
void
test_slower_service_recovers(void)
{
    for (uint64_t seed = 1; seed <= 5; seed++) {
        Sim sim;
        Sim_Init(&sim, seed, 0);
        Sim_Start(&sim, 4, 8, 20);
        for (int i = 0; i < 3000; i++) {
            for (int e = 0; i == 500 && e < 4; e++) {
                sim.endpoints[e].mean_ms = 800;
                sim.endpoints[e].fixed_time = true;
            }
            Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 20000, 0);
            Sim_Run(&sim, i < 500 ? 10 : 50);
        }
        Sim_Run(&sim, 20000);
        int last = 0;
        for (guint i = sim.requests->len - 200; i < sim.requests->len; i++) {
            last +=
                Sim_Request(&sim, i + 1)->outcome.kind == AQ_OUTCOME_COMPLETED;
        }
        CU_ASSERT_TRUE(last >= 195);
        Sim_Clear(&sim);
    }
}

/* Guards against requests that are kept until near their deadline although
 * most slots of the service were taken away before. */
void
test_lost_slots_fail_queued_requests(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    Sim_Start(&sim, 2, 8, 100);
    for (int i = 0; i < 150; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 3000, 0);
    }
    Sim_Run(&sim, 1);
    CU_ASSERT_TRUE(AqRouter_Queued(sim.router, "s") > 100);
    Sim_SetSlots(&sim, 0, 1);
    Sim_SetSlots(&sim, 1, 0);
    Sim_Run(&sim, 1);
    /* The one slot left serves about 30 requests in the 3 s until their
     * deadlines. */
    CU_ASSERT_TRUE(AqRouter_Queued(sim.router, "s") <= 30);
    CU_ASSERT_TRUE(AqRouter_Queued(sim.router, "s") > 10);
    Sim_Clear(&sim);
}

/* Guards against a wrong expected wait.  With one slot and 100 ms per request,
 * a request is admitted if its deadline leaves 1.5 x 100 ms for each place in
 * the queue, its own included, plus 400 ms. */
void
test_admission_margin(void)
{
    static const struct {
        AqTime deadline_ms;
        int admitted;
    } rows[] = {{540, 0}, {560, 1}, {1010, 4}, {2010, 10}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Sim sim;
        Sim_Init(&sim, i, 0);
        Sim_Start(&sim, 1, 1, 99);
        sim.endpoints[0].fixed_time = true;
        for (int n = 0; n < 10; n++) {
            Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
            Sim_Run(&sim, 200);
        }
        for (int n = 0; n < 20; n++) {
            Sim_Submit(&sim, true, AQ_PRIORITY_LIVE,
                       n ? rows[i].deadline_ms : 10000, 0);
            Sim_Run(&sim, 0);
        }
        CU_ASSERT_EQUAL(AqRouter_Queued(sim.router, "s"), rows[i].admitted);
        Sim_Clear(&sim);
    }
}

/* Guards against detecting dead connections one by one: the first timeout must
 * close all idle connections to the endpoint. */
void
test_timeout_closes_idle(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    Sim_Start(&sim, 1, 8, 20);
    for (int i = 0; i < 8; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
    }
    Sim_Run(&sim, 1000);
    Sim_SilenceConnections(&sim, 0);
    CU_ASSERT_TRUE(sim.endpoints[0].idle_silent > 1);
    Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 10000, 0);
    Sim_Run(&sim, 5000);
    CU_ASSERT_EQUAL(sim.endpoints[0].idle_silent, 0);
    CU_ASSERT_EQUAL(Sim_Request(&sim, 9)->outcome.kind, AQ_OUTCOME_COMPLETED);
    Sim_Clear(&sim);
}

/* Guards against a retry that waits although all endpoints have started to
 * leave since the attempt started: the request must finish at once. */
void
test_no_retry_without_endpoint(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    sim.manual = true;
    advance_to_stage(&sim, SENT, true);
    inject_fault(&sim, LEAVING);
    AqTime now = sim.now;
    Sim_Report(&sim, 1, AQ_ATTEMPT_CUT);
    Sim_Run(&sim, 1000);
    const SimRequest *r = Sim_Request(&sim, 1);
    CU_ASSERT_EQUAL(r->finishes, 1);
    CU_ASSERT_EQUAL(r->finished_at, now);
    CU_ASSERT_EQUAL(r->outcome.kind, AQ_OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(r->outcome.reason, AQ_REASON_CUT);
    Sim_Clear(&sim);
}

/* Guards against refusing live requests because of queued archive requests: of
 * the 40 archive requests, only a few start before a given live request. */
void
test_archive_does_not_delay_live(void)
{
    Sim sim;
    Sim_Init(&sim, 1, 0);
    Sim_Start(&sim, 1, 1, 100);
    for (int i = 0; i < 60; i++) {
        Sim_Submit(&sim, true, i < 40 ? AQ_PRIORITY_ARCHIVE : AQ_PRIORITY_LIVE,
                   i < 40 ? 60000 : 5000, 0);
    }
    /* With the default mean of 100 ms in a slot, a live request with 20 live
     * and 2 archive requests to start before it needs 1.5 x 2.2 s + 0.4 s,
     * less than its deadline of 5 s; with 60 requests before it, it would need
     * 9.4 s. */
    CU_ASSERT_EQUAL(AqRouter_Queued(sim.router, "s"), 60);
    Sim_Submit(&sim, true, AQ_PRIORITY_ARCHIVE, 5000, 0);
    CU_ASSERT_EQUAL(AqRouter_Queued(sim.router, "s"), 60);
    /* A live request with a deadline of 5 s is admitted with up to 30 requests
     * to start before it.  With one archive start per 7 live starts, these are
     * 27 live and 3 archive requests: the 29th live request is refused. */
    for (int i = 0; i < 20; i++) {
        Sim_Submit(&sim, true, AQ_PRIORITY_LIVE, 5000, 0);
    }
    CU_ASSERT_EQUAL(AqRouter_Queued(sim.router, "s"), 68);
    Sim_Clear(&sim);
}
