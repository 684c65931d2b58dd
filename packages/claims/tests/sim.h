#ifndef AQ_CLAIMS_SIM_H
#define AQ_CLAIMS_SIM_H

#include "aq_claims.h"
#include "aq_random.h"
#include "batch.h"

/* Simulation in virtual time of several AqClaims instances ("nodes") that
 * share one store, for the tests and for bench_claims. */

enum {
    SIM_MAX_NODES = 9,
    /* Batches have a SEQ below this. */
    SIM_MAX_SEQ = 1 << 15
};

/* Unix time in ms at sim time 0. */
#define SIM_WALL_START INT64_C(1700000000000)

typedef struct Sim Sim;

/* Delays and faults of one store call. */
typedef struct {
    AqTime effect_ms;    /* from the call until it takes effect */
    AqTime reply_ms;     /* from the effect until the reply */
    bool no_effect;      /* fails without effect, as STORE_UNKNOWN */
    bool reply_lost;     /* reported as STORE_UNKNOWN after store_timeout_ms */
    bool is_unavailable; /* fails without effect, as STORE_UNAVAILABLE */
    AqTime pause_before; /* pause of the node before it sends the call */
    AqTime pause_after;  /* pause of the node once the call took effect */
    bool restart_before; /* the node restarts instead of sending the call */
    bool restart_after;  /* the node restarts once the call took effect */
} SimCallPlan;

typedef struct {
    uint64_t id;       /* request id, any number; several requests share it */
    int node;          /* index of the node that it is submitted to */
    int generation;    /* of the node at the submit */
    AqTime submitted;  /* sim time */
    AqTime decided_at; /* sim time of the verdict */
    size_t origin;     /* index of the first submit of the claim */
    bool resubmitted;  /* the claim was submitted to more than one node */
    AqMsgClaim claim;  /* its nonce is the index of the origin plus 1 */
    int verdicts;      /* number of verdicts reported */
    AqClaimVerdict verdict;
    bool cancelled; /* by Sim_Cancel */
    bool released;  /* by Sim_Release */
    AqTime released_at;
    int written;       /* number of creates of the claim in the store */
    uint64_t seq;      /* SEQ of the last of these */
    bool out_of_order; /* that SEQ was below one created earlier */
} SimRequest;

typedef struct {
    Sim *sim;
    int index;
    int generation;   /* number of restarts */
    AqClaims *claims; /* owned */
    AqTime skew;      /* wall clock of the node minus that of the sim, ms */
    AqTime paused_until;
    AqTime tick_at; /* sim time of the next tick */
} SimNode;

typedef struct {
    char *bytes; /* owned; NULL while absent */
    size_t size;
    AqTime newest;     /* sim time of its newest claim */
    bool out_of_order; /* created below a SEQ created earlier */
} SimBatch;

struct Sim {
    AqTime now;
    AqRandom random;
    AqClaimsConfig config;
    int node_count;
    SimNode nodes[SIM_MAX_NODES];
    SimBatch *batches[AQ_CLAIM_PARTITIONS]; /* owned; stored batches by SEQ */
    uint64_t newest[AQ_CLAIM_PARTITIONS];   /* highest SEQ ever created */
    SimRequest *requests;
    size_t request_count;
    size_t request_capacity;
    struct SimEvent *heap; /* pending events, the next one first */
    size_t heap_count;
    size_t heap_capacity;
    uint64_t event_order; /* number of events so far; orders equal times */
    uint64_t removed;     /* batches removed from the store */
    AqTime max_skew;      /* maximum difference of two wall clocks, ms */
    /* Plans a store call when a node makes it. */
    SimCallPlan (*plan_call)(Sim *sim, SimNode *node, AqClaimsStoreCall call);
    /* Called at each verdict with the index of the request, or NULL. */
    void (*decided)(Sim *sim, size_t request);
    void *user;             /* data of the test */
    bool skips_checks;      /* does not check invariants, for measurements */
    char failure[600];      /* the first broken rule; "" if none */
    uint64_t failures;      /* number of broken rules */
    uint64_t double_grants; /* grants of an id with a grant in force */
};

/* Starts "nodes" nodes with an empty store; free with Sim_Destroy. */
void Sim_Create(Sim *sim, uint64_t seed, int nodes,
                const AqClaimsConfig *config);
void Sim_Destroy(Sim *sim);
/* Schedules a call of "run" with the argument at the sim time "at". */
void Sim_At(Sim *sim, AqTime at, void (*run)(Sim *sim, uint64_t argument),
            uint64_t argument);
/* Runs all events up to and including the sim time "until". */
void Sim_Run(Sim *sim, AqTime until);
/* Submits a claim of the request id to a node; a paused node receives it when
 * it resumes.  Returns the index of the new SimRequest. */
size_t Sim_Submit(Sim *sim, int node, uint64_t id);
/* Submits the claim of request "number", with the same nonce, to another node.
 * Returns the index of the new SimRequest. */
size_t Sim_Resubmit(Sim *sim, int node, size_t number);
/* Release or cancel the claim of request "number", unless its node is paused
 * or has restarted since the submit; only an undecided one is cancelled. */
void Sim_Release(Sim *sim, size_t number);
void Sim_Cancel(Sim *sim, size_t number);
/* Pauses a node for "ms": replies, ticks and submits wait until it resumes. */
void Sim_Pause(Sim *sim, int index, AqTime ms);
/* Replaces a node by a new one with the same name and without memory. */
void Sim_Restart(Sim *sim, int index);
/* Records a broken rule and the request, id or SEQ that broke it. */
void Sim_Fail(Sim *sim, const char *rule, uint64_t number);

#endif
