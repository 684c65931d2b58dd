#ifndef AQ_CLAIMS_SIM_H
#define AQ_CLAIMS_SIM_H

#include "aq_claims.h"
#include "aq_random.h"
#include "batch.h"

/* Simulation in virtual time of several AqClaims instances ("nodes") that
 * share one store, for the tests and for bench_claims. */

enum {
    SIM_MAX_NODES = 9,
    /* Batch sequence numbers (SEQ) stay below this; the create of a later
     * batch aborts the test. */
    SIM_MAX_SEQ = 1 << 15
};

/* Unix time in ms at sim time 0. */
#define SIM_WALL_START INT64_C(1700000000000)

typedef struct Sim Sim;

/* Delays and faults of one store call. */
typedef struct {
    AqTime effect_ms;    /* from the store call until it takes effect */
    AqTime reply_ms;     /* from the effect in the store until the reply */
    bool no_effect;      /* the store call has no effect; its result is
                          * AQ_CLAIMS_STORE_UNKNOWN */
    bool reply_lost;     /* no reply; reported as AQ_CLAIMS_STORE_UNKNOWN after
                          * store_timeout_ms */
    bool is_unavailable; /* the store call has no effect; its result is
                          * AQ_CLAIMS_STORE_UNAVAILABLE */
    AqTime pause_before; /* pause of the node before it sends the store call */
    AqTime pause_after; /* pause of the node once the store call took effect */
    /* The node restarts instead of sending the store call. */
    bool restart_before;
    bool restart_after; /* the node restarts once the store call took effect */
} SimCallPlan;

typedef struct {
    uint64_t id; /* claimed request id, any number; several SimRequests may
                  * share it */
    /* Index in Sim.nodes of the node that the claim is submitted to. */
    int node;
    int generation;    /* SimNode.generation of the node when the claim was
                        * submitted */
    AqTime submitted;  /* sim time at which the claim was submitted */
    AqTime decided_at; /* sim time of the verdict on the claim */
    size_t origin;     /* index in Sim.requests of the first submit of the same
                        * claim */
    bool resubmitted;  /* the claim was submitted to more than one node */
    AqMsgClaim claim;  /* the nonce of the claim is "origin" plus 1 */
    int verdicts;      /* number of verdicts reported on the claim */
    AqClaimVerdict verdict;
    bool cancelled; /* the claim was cancelled by Sim_Cancel */
    bool released;  /* the claim was released by Sim_Release */
    AqTime released_at;
    int written;  /* number of successful creates of a batch with the claim */
    uint64_t seq; /* sequence number (SEQ) of the last batch created with the
                   * claim */
    bool out_of_order; /* the batch "seq" was created after one with a higher
                        * sequence number */
} SimRequest;

typedef struct {
    Sim *sim;
    int index;
    int generation;   /* number of restarts of the node */
    AqClaims *claims; /* owned */
    AqTime skew;      /* wall clock of the node minus that of the sim, ms */
    AqTime paused_until;
    AqTime tick_at; /* sim time of the next AqClaims_Tick of the node */
} SimNode;

typedef struct {
    char *bytes; /* owned; the batch as stored; NULL while it is not in the
                  * store */
    size_t size;
    AqTime newest;     /* latest time in the batch, as sim time */
    bool out_of_order; /* the batch was created after one with a higher
                        * sequence number (SEQ) */
} SimBatch;

struct Sim {
    AqTime now;
    AqRandom random;
    AqClaimsConfig config;
    int node_count;
    SimNode nodes[SIM_MAX_NODES];
    /* Owned; the stored batches of each partition, by sequence number
     * (SEQ). */
    SimBatch *batches[AQ_CLAIM_PARTITIONS];
    /* Highest batch sequence number (SEQ) ever created in each partition. */
    uint64_t newest[AQ_CLAIM_PARTITIONS];
    SimRequest *requests;
    size_t request_count;
    size_t request_capacity;
    /* Owned; the scheduled events as a heap, the next one first. */
    struct SimEvent *heap;
    size_t heap_count;
    size_t heap_capacity;
    uint64_t event_order; /* number of events scheduled so far; orders events
                           * of equal times */
    uint64_t removed; /* number of batches removed from the simulated store */
    /* Maximum difference of the wall clocks of two nodes, ms. */
    AqTime max_skew;
    /* Returns the delays and faults of the store call that "node" makes. */
    SimCallPlan (*plan_call)(Sim *sim, SimNode *node, AqClaimsStoreCall call);
    /* Called at each verdict on a claim, with the index of its SimRequest in
     * "requests"; may be NULL. */
    void (*decided)(Sim *sim, size_t request);
    void *user;        /* data of the test or benchmark; not used by the sim */
    bool skips_checks; /* the sim does not check invariants of the claim log,
                        * for measurements */
    char failure[600]; /* message about the first broken rule of the claim log;
                        * "" if none */
    /* Number of times that a rule of the claim log was broken. */
    uint64_t failures;
    uint64_t double_grants; /* number of grants of a request id while another
                             * grant of the id was in force */
};

/* Starts "nodes" nodes with an empty store in *sim; free with Sim_Destroy. */
void Sim_Create(Sim *sim, uint64_t seed, int nodes,
                const AqClaimsConfig *config);
void Sim_Destroy(Sim *sim);
/* Schedules a call of "run" with the argument at the sim time "at". */
void Sim_At(Sim *sim, AqTime at, void (*run)(Sim *sim, uint64_t argument),
            uint64_t argument);
/* Runs all events up to and including the sim time "until". */
void Sim_Run(Sim *sim, AqTime until);
/* Submits a claim of the request id "id" to a node; a paused node receives the
 * claim when the pause ends.  Returns the index of the new SimRequest. */
size_t Sim_Submit(Sim *sim, int node, uint64_t id);
/* Submits the claim of sim->requests[number], with the same nonce, to another
 * node.  Returns the index of the new SimRequest. */
size_t Sim_Resubmit(Sim *sim, int node, size_t number);
/* Release or cancel the claim of sim->requests[number].  Both do nothing if
 * the node of the claim is paused or has restarted since the submit;
 * Sim_Cancel also does nothing if the claim is decided. */
void Sim_Release(Sim *sim, size_t number);
void Sim_Cancel(Sim *sim, size_t number);
/* Pauses a node for "ms": store replies, ticks and submits to the node wait
 * until the pause ends. */
void Sim_Pause(Sim *sim, int index, AqTime ms);
/* Restarts a node: replaces its claim log by a new one with the same daemon
 * name and an empty memory. */
void Sim_Restart(Sim *sim, int index);
/* Records that a rule of the claim log is broken; "number" is the request,
 * request id, node or batch sequence number (SEQ) that broke the rule. */
void Sim_Fail(Sim *sim, const char *rule, uint64_t number);

#endif
