#ifndef AQ_ROUTER_SIM_H
#define AQ_ROUTER_SIM_H

#include <glib.h>

#include "aq_random.h"
#include "aq_router.h"

/* Simulated environment of a router on virtual time, for tests and benchmarks.
 * Implements AqRouterOps with endpoints, their connections and a claim log,
 * records which attempts were executed, and counts violations of the router's
 * rules. */

enum {
    SIM_MAX_ENDPOINTS = 12
};

typedef enum {
    SIM_OK,         /* responds after the service time */
    SIM_FAIL,       /* responds with status 500 after 1 ms */
    SIM_REFUSE,     /* responds with Aq-Not-Run after 1 ms */
    SIM_NO_CONNECT, /* refuses the connection after 1 ms */
    SIM_CUT,        /* closes the connection after 1 ms */
    SIM_DEAD        /* accepts the connection, but never responds */
} SimFault;

/* Violations that are counted. */
typedef enum {
    SIM_FINISHED_TWICE,
    SIM_SLOTS_EXCEEDED,
    SIM_STARTED_ON_LEAVING, /* or on a removed endpoint */
    SIM_STARTED_NOT_FRESH,
    SIM_STARTED_UNCLAIMED, /* non-idempotent, without a granted claim */
    SIM_STARTED_AGAIN,     /* non-idempotent, may have run before */
    SIM_FALSE_NOT_RUN,     /* or its claim released, though it may have run */
    SIM_RULE_COUNT
} SimRule;

typedef struct {
    char name[16];
    SimFault fault;
    double mean_ms; /* mean service time */
    /* Service times are mean_ms if true, exponentially distributed if not. */
    bool fixed_time;
    bool unavailable; /* leaving or removed */
    int slots;
    int in_use;      /* attempts in flight */
    int max_in_use;  /* maximum of in_use so far */
    int starts;      /* attempts started so far */
    int idle;        /* idle connections that work */
    int idle_silent; /* idle connections that get no response */
} SimEndpoint;

typedef struct {
    uint64_t request; /* number */
    int endpoint;     /* index in Sim.endpoints */
    bool in_flight;
    bool fresh;        /* AqAttempt.fresh_connection */
    bool sent;         /* bytes of the request may have been sent */
    AqTime started;    /* when it started */
    AqTime timeout_at; /* AqAttempt.timeout_at */
    AqTime due; /* when Sim_Run reports the result; may be AQ_TIME_NEVER */
    AqAttemptResult result; /* the result that is reported then */
} SimAttempt;

typedef struct {
    bool idempotent;
    AqPriority priority;
    uint64_t key;     /* request id of the caller */
    AqTime submitted; /* when it was submitted */
    AqTime finished_at;
    int finishes; /* calls of AqRouterOps.finish */
    AqOutcome outcome;
    int starts;   /* attempts started */
    int runs;     /* attempts that may have run */
    bool claimed; /* has a granted claim */
    bool claim_pending;
    AqTime claim_due; /* when Sim_Run reports the claim's result */
} SimRequest;

typedef struct {
    AqRouter *router;
    AqTime now;
    AqRandom random;
    AqRouterConfig config;
    bool manual;     /* the test reports results and claims, not Sim_Run */
    bool fresh;      /* last argument of Sim_SetFresh */
    AqTime claim_ms; /* duration of a claim */
    SimEndpoint endpoints[SIM_MAX_ENDPOINTS];
    GArray *requests;         /* SimRequest; number n is at index n - 1 */
    GArray *attempts;         /* SimAttempt; number n is at index n - 1 */
    GArray *open_attempts;    /* uint64_t: numbers of attempts in flight */
    GArray *pending_claims;   /* uint64_t: numbers of claiming requests */
    GHashTable *claimed_keys; /* SimRequest.key, as uint64_t */
    int closed_idle_count;    /* idle connections closed by the router */
    int violations[SIM_RULE_COUNT]; /* by SimRule */
} Sim;

/* Sets the default configuration, with the AQ_ROUTER_DISABLE_* bits of
 * "disabled"; a test may change sim->config before Sim_Start. */
void Sim_Init(Sim *sim, uint64_t seed, unsigned disabled);
/* Creates the router with sim->config and "endpoints" working endpoints "e0",
 * "e1", ... of the service "s", each with "slots" slots. */
void Sim_Start(Sim *sim, int endpoints, int slots, double mean_ms);
void Sim_Clear(Sim *sim);

/* Submits a request that times out in timeout_ms; returns its number. */
uint64_t Sim_Submit(Sim *sim, bool idempotent, AqPriority priority,
                    AqTime timeout_ms, uint64_t key);
void Sim_SetSlots(Sim *sim, int endpoint, int slots);
void Sim_SetLeaving(Sim *sim, int endpoint, bool leaving);
void Sim_SetFresh(Sim *sim, bool fresh);
/* From now on, nothing arrives on the connections that are open to the
 * endpoint. */
void Sim_SilenceConnections(Sim *sim, int endpoint);
/* Reports the result of an attempt or of a claim now. */
void Sim_Report(Sim *sim, uint64_t number, AqAttemptResult result);
void Sim_ReportClaim(Sim *sim, uint64_t request, AqRouterClaim result);
/* Advances the time by "ms" and handles all events that are due until then. */
void Sim_Run(Sim *sim, AqTime ms);

/* Return the record of a request or attempt by its number; it is valid until
 * the next one is added. */
SimRequest *Sim_Request(const Sim *sim, uint64_t request);
SimAttempt *Sim_Attempt(const Sim *sim, uint64_t attempt);
/* Total number of violations. */
int Sim_Violations(const Sim *sim);
/* Number of requests with AQ_OUTCOME_COMPLETED. */
int Sim_Completed(const Sim *sim);

#endif
