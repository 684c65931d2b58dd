#ifndef AQ_ROUTER_SIM_H
#define AQ_ROUTER_SIM_H

#include <glib.h>

#include "aq_random.h"
#include "aq_router.h"

/* Simulated environment of a router on virtual time, for tests and benchmarks.
 * Implements AqRouterOps with endpoints, their connections and a claim log,
 * records which attempts were executed, and counts the violations of each rule
 * in SimRule. */

enum {
    SIM_MAX_ENDPOINTS = 12
};

typedef enum {
    SIM_OK,   /* the endpoint responds after its service time */
    SIM_FAIL, /* the endpoint responds with status 500 after 1 ms */
    /* The endpoint responds with the header Aq-Not-Run after 1 ms. */
    SIM_REFUSE,
    SIM_NO_CONNECT, /* the endpoint refuses the connection after 1 ms */
    SIM_CUT,        /* the endpoint closes the connection after 1 ms */
    SIM_DEAD /* the endpoint accepts the connection, but never responds */
} SimFault;

/* Rules of the router, each named after its violation; Sim.violations counts
 * the violations of each. */
typedef enum {
    SIM_FINISHED_TWICE,
    SIM_SLOTS_EXCEEDED,
    /* An attempt started on a leaving or removed endpoint. */
    SIM_STARTED_ON_LEAVING,
    SIM_STARTED_NOT_FRESH,
    /* A non-idempotent request started without a granted claim. */
    SIM_STARTED_UNCLAIMED,
    /* A non-idempotent request started again though it may have run. */
    SIM_STARTED_AGAIN,
    /* A request was reported as not run, or its claim was released, though it
     * may have run. */
    SIM_FALSE_NOT_RUN,
    SIM_RULE_COUNT
} SimRule;

typedef struct {
    char name[16];
    SimFault fault;
    double mean_ms; /* mean service time of the endpoint */
    /* The service times of the endpoint are mean_ms if true, exponentially
     * distributed with this mean if not. */
    bool fixed_time;
    bool unavailable; /* the endpoint is leaving or removed */
    int slots;
    int in_use;     /* attempts in flight on the endpoint */
    int max_in_use; /* maximum of in_use so far; tests may reset it to 0 */
    /* Attempts started on this endpoint so far; tests may reset it to 0. */
    int starts;
    /* Idle connections to the endpoint on which a request gets a response. */
    int idle;
    /* Idle connections to the endpoint that seem usable, but on which a
     * request gets no response. */
    int idle_silent;
} SimEndpoint;

typedef struct {
    uint64_t request; /* number of the request that the attempt belongs to */
    int endpoint;     /* array index in Sim.endpoints */
    bool in_flight;
    /* The attempt must open a new connection rather than reuse an idle one. */
    bool fresh;
    bool sent;         /* bytes of the request may have been sent */
    AqTime started;    /* when the attempt started */
    AqTime timeout_at; /* when the router will cancel the attempt */
    /* When Sim_Run reports the result of the attempt; may be AQ_TIME_NEVER. */
    AqTime due;
    AqAttemptResult result; /* result that Sim_Run reports for the attempt */
} SimAttempt;

typedef struct {
    bool idempotent;
    AqPriority priority;
    uint64_t key;     /* request id from the caller, to be claimed */
    AqTime submitted; /* when the request was submitted */
    AqTime finished_at;
    int finishes; /* calls of AqRouterOps.finish for the request */
    AqOutcome outcome;
    int starts;   /* attempts of the request that have started */
    int runs;     /* attempts of the request that may have run */
    bool claimed; /* the claim on "key" is granted */
    bool claim_pending;
    AqTime claim_due; /* when Sim_Run reports the claim's result */
} SimRequest;

typedef struct {
    AqRouter *router;
    AqTime now;
    AqRandom random;
    AqRouterConfig config;
    /* The test, rather than Sim_Run, reports the results of attempts and
     * claims. */
    bool manual;
    /* The daemon's configuration is certainly still in force, as last set with
     * Sim_SetFresh. */
    bool fresh;
    AqTime claim_ms; /* time from a claim to its result */
    SimEndpoint endpoints[SIM_MAX_ENDPOINTS];
    /* SimRequest; the request with number n at array index n - 1. */
    GArray *requests;
    /* SimAttempt; the attempt with id n at array index n - 1. */
    GArray *attempts;
    GArray *open_attempts; /* uint64_t: ids of attempts in flight */
    /* uint64_t: numbers of requests whose claim is pending. */
    GArray *pending_claims;
    /* Set of uint64_t: the SimRequest.key of each claim granted and not
     * released. */
    GHashTable *claimed_keys;
    int closed_idle_count; /* idle connections closed by the router */
    /* How often the router violated each rule in SimRule. */
    int violations[SIM_RULE_COUNT];
} Sim;

/* Initializes "sim" with the default router configuration and the
 * AQ_ROUTER_DISABLE_* bits of "disabled"; a test may change sim->config before
 * Sim_Start. */
void Sim_Init(Sim *sim, uint64_t seed, unsigned disabled);
/* Creates the router with sim->config and "endpoints" working endpoints "e0",
 * "e1", ... of the service "s", each with "slots" slots and the mean service
 * time "mean_ms". */
void Sim_Start(Sim *sim, int endpoints, int slots, double mean_ms);
void Sim_Clear(Sim *sim);

/* Submits a request whose deadline is timeout_ms from now; returns its
 * number. */
uint64_t Sim_Submit(Sim *sim, bool idempotent, AqPriority priority,
                    AqTime timeout_ms, uint64_t key);
void Sim_SetSlots(Sim *sim, int endpoint, int slots);
void Sim_SetLeaving(Sim *sim, int endpoint, bool leaving);
void Sim_SetFresh(Sim *sim, bool fresh);
/* From now on, requests get no response on those connections to the endpoint
 * that are open now, whether idle or used by attempts in flight. */
void Sim_SilenceConnections(Sim *sim, int endpoint);
/* Reports to the router now that the attempt with the id "number" ended with
 * "result". */
void Sim_Report(Sim *sim, uint64_t number, AqAttemptResult result);
/* Reports to the router now that the request's claim ended with "result". */
void Sim_ReportClaim(Sim *sim, uint64_t request, AqRouterClaim result);
/* Advances the virtual time by "ms" ms.  Reports the results of attempts and
 * claims that are due until then, and calls AqRouter_Tick whenever it is
 * due. */
void Sim_Run(Sim *sim, AqTime ms);

/* Returns the record of the request with this number; the pointer is valid
 * until the next Sim_Submit. */
SimRequest *Sim_Request(const Sim *sim, uint64_t request);
/* Returns the record of the attempt with this id; the pointer is valid until
 * the next attempt starts. */
SimAttempt *Sim_Attempt(const Sim *sim, uint64_t attempt);
/* Returns the sum of Sim.violations: how often the router has violated any of
 * the rules in SimRule. */
int Sim_Violations(const Sim *sim);
/* Returns the number of requests finished with AQ_OUTCOME_COMPLETED. */
int Sim_Completed(const Sim *sim);

#endif
