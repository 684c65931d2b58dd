#ifndef AQ_ROUTER_SIM_H
#define AQ_ROUTER_SIM_H

#include <glib.h>

#include "aq_random.h"
#include "aq_router.h"

/* Adapter of the router on virtual time, for the tests and the measurement
 * program.  It simulates endpoints with connections and a claim log, knows
 * what really ran, and counts violations of the router's rules. */

enum {
    SIM_MAX_ENDPOINTS = 12
};

typedef enum {
    SIM_OK,
    SIM_FAIL,       /* answers 500 after 1 ms */
    SIM_REFUSE,     /* answers Aq-Not-Run after 1 ms */
    SIM_NO_CONNECT, /* refuses connections after 1 ms */
    SIM_CUT,        /* closes the connection after 1 ms */
    SIM_DEAD        /* accepts, but never answers */
} SimFault;

typedef enum {
    SIM_FINISHED_TWICE,
    SIM_SLOTS_EXCEEDED,
    SIM_STARTED_ON_LEAVING,
    SIM_STARTED_NOT_FRESH,
    SIM_STARTED_UNCLAIMED, /* non-idempotent, without a granted claim */
    SIM_STARTED_AGAIN,     /* non-idempotent, may have run before */
    SIM_FALSE_NOT_RUN,     /* told or released after bytes may have left */
    SIM_RULE_COUNT
} SimRule;

typedef struct {
    char name[16];
    SimFault fault;
    double mean_ms;
    bool fixed_time;  /* every request takes mean_ms; else exponential */
    bool unavailable; /* leaving or removed */
    int slots;
    int in_use;
    int max_in_use;
    int starts;
    int idle;        /* idle connections that work */
    int idle_silent; /* idle connections that have gone silent */
} SimEndpoint;

typedef struct {
    uint64_t request;
    int endpoint;
    bool in_flight;
    bool fresh; /* was asked to use a fresh connection */
    bool sent;  /* bytes of the request may have left */
    AqTime started;
    AqTime timeout_at;
    AqTime due; /* when the adapter reports the result */
    AqAttemptResult result;
} SimAttempt;

typedef struct {
    bool idempotent;
    AqPriority priority;
    uint64_t key; /* the caller's request id */
    AqTime submitted;
    AqTime finished_at;
    int finishes;
    AqOutcome outcome;
    int starts;
    int runs; /* attempts that may have run */
    bool claimed;
    bool claim_pending;
    AqTime claim_due;
} SimRequest;

typedef struct {
    AqRouter *router;
    AqTime now;
    AqRandom random;
    AqRouterConfig config;
    bool manual; /* the test reports results and claims itself */
    bool fresh;
    AqTime claim_ms;
    SimEndpoint endpoints[SIM_MAX_ENDPOINTS];
    GArray *requests;         /* SimRequest; number n is at n - 1 */
    GArray *attempts;         /* SimAttempt; likewise */
    GArray *open_attempts;    /* uint64_t: attempts in flight */
    GArray *pending_claims;   /* uint64_t: requests that wait for a claim */
    GHashTable *claimed_keys; /* claimed keys */
    int closed_idle_count;
    int violations[SIM_RULE_COUNT];
} Sim;

/* Creates the router with sim->config and "endpoints" working endpoints "e0",
 * "e1", ... of the service "s", each with "slots" slots.  Sim_Init sets the
 * default configuration, which a test may change before Sim_Start. */
void Sim_Init(Sim *sim, uint64_t seed, unsigned disabled);
void Sim_Start(Sim *sim, int endpoints, int slots, double mean_ms);
void Sim_Clear(Sim *sim);

uint64_t Sim_Submit(Sim *sim, bool idempotent, AqPriority priority,
                    AqTime timeout_ms, uint64_t key);
void Sim_SetSlots(Sim *sim, int endpoint, int slots);
void Sim_SetLeaving(Sim *sim, int endpoint, bool leaving);
void Sim_SetFresh(Sim *sim, bool fresh);
/* All connections of the endpoint that are open now go silent for good. */
void Sim_SilenceConnections(Sim *sim, int endpoint);
/* Reports the result of an attempt now. */
void Sim_Report(Sim *sim, uint64_t number, AqAttemptResult result);
void Sim_ReportClaim(Sim *sim, uint64_t request, AqRouterClaim result);
/* Runs all events until "ms" from now. */
void Sim_Run(Sim *sim, AqTime ms);

SimRequest *Sim_Request(const Sim *sim, uint64_t request);
SimAttempt *Sim_Attempt(const Sim *sim, uint64_t attempt);
int Sim_Violations(const Sim *sim);
/* Requests that were completed; those with another outcome are not. */
int Sim_Completed(const Sim *sim);

#endif
