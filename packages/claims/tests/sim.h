#ifndef AQ_CLAIMS_SIM_H
#define AQ_CLAIMS_SIM_H

#include "aq_claims.h"
#include "aq_random.h"
#include "batch.h"

/* Simulation in virtual time of several AqClaims instances ("nodes") that
 * share one store, for the tests and for bench_claims. */

enum {
    SIM_MAX_NODES = 9,
    /* Batch sequence numbers (SEQ) stay below this number; the create of a
     * batch with this number or a higher one aborts the test. */
    SIM_MAX_SEQ = 1 << 15
};

/* Unix time in ms at sim time 0. */
#define SIM_WALL_START INT64_C(1700000000000)

typedef struct Sim Sim;

/* Delays and faults of one store call. */
typedef struct {
    AqTime effect_ms;    /* time from the sending of the store call until it
                          * takes effect in the store */
    AqTime reply_ms;     /* time from the effect in the store until the node
                          * receives the reply */
    bool no_effect;      /* the store call has no effect; its result is
                          * AQ_CLAIMS_STORE_UNKNOWN */
    bool reply_lost;     /* the reply is lost: the node receives the result
                          * AQ_CLAIMS_STORE_UNKNOWN once store_timeout_ms
                          * have passed since it sent the store call */
    bool is_unavailable; /* the store call has no effect; its result is
                          * AQ_CLAIMS_STORE_UNAVAILABLE */
    AqTime pause_before; /* pause of the node before it sends the store
                          * call, ms */
    AqTime pause_after;  /* pause of the node once the store call took
                          * effect, ms */
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
    size_t origin;     /* index in Sim.requests of the SimRequest with the
                        * first submit of the same claim */
    bool resubmitted;  /* the claim was passed to Sim_Resubmit, or is the
                        * copy that Sim_Resubmit submitted */
    AqMsgClaim claim;  /* the nonce of the claim is "origin" plus 1 */
    int verdicts;      /* number of verdicts reported on the claim */
    AqClaimVerdict verdict;
    bool cancelled; /* the claim was cancelled by Sim_Cancel */
    bool released;  /* the claim was released by Sim_Release */
    AqTime released_at;
    int written;  /* number of successful creates of a batch with the claim;
                   * counted only in the SimRequest "origin" */
    uint64_t seq; /* sequence number (SEQ) of the last batch created with
                   * the claim; set only in the SimRequest "origin" */
    bool out_of_order; /* the batch "seq" was created after one of its
                        * partition with a higher sequence number; set only
                        * in the SimRequest "origin" */
} SimRequest;

typedef struct {
    Sim *sim;
    int index;
    int generation; /* number of restarts of the node */
    AqClaims
        *claims; /* owned; claim log of the node, replaced at each restart */
    AqTime skew; /* wall clock of the node minus that of the sim, ms */
    AqTime paused_until;
    AqTime tick_at; /* sim time of the next AqClaims_Tick of the node */
} SimNode;

typedef struct {
    char *bytes; /* owned; the batch as stored; NULL while it is not in the
                  * store */
    size_t size;
    AqTime newest;     /* latest time in the header, claims and releases of
                        * the batch, as sim time */
    bool out_of_order; /* the batch was created after one of its partition
                        * with a higher sequence number (SEQ) */
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
    /* Highest sequence number (SEQ) of any batch created so far in each
     * partition. */
    uint64_t newest[AQ_CLAIM_PARTITIONS];
    SimRequest *requests;
    size_t request_count;
    size_t request_capacity;
    /* Owned; the scheduled events as a binary heap, with the event that runs
     * next at its start. */
    struct SimEvent *heap;
    size_t heap_count;
    size_t heap_capacity;
    uint64_t event_order; /* number of events scheduled so far; events of
                           * the same sim time run in the order of this
                           * number */
    uint64_t removed; /* number of batches removed from the simulated store */
    /* Maximum difference of the wall clocks of any two nodes, ms. */
    AqTime max_skew;
    /* Returns the delays and faults of the store call that "node" makes. */
    SimCallPlan (*plan_call)(Sim *sim, SimNode *node, AqClaimsStoreCall call);
    /* Called at each verdict on a claim, with the index of its SimRequest in
     * "requests"; may be NULL. */
    void (*decided)(Sim *sim, size_t request);
    void *user;        /* data of the test or benchmark; not used by the sim */
    bool skips_checks; /* the sim does not check invariants of the claim
                        * logs and verdicts, which would take too long in
                        * measurements and tests with many ids */
    char failure[600]; /* message of the first Sim_Fail call about a broken
                        * rule of the claim log; "" if none */
    /* Number of Sim_Fail calls, each about one broken rule of the claim
     * log. */
    uint64_t failures;
    uint64_t double_grants; /* number of grants of a request id while a
                             * grant of another claim of the id was in force */
};

/* Starts "nodes" nodes with an empty store in *sim; free with Sim_Destroy. */
void Sim_Create(Sim *sim, uint64_t seed, int nodes,
                const AqClaimsConfig *config);
void Sim_Destroy(Sim *sim);
/* Schedules a call of "run" with "argument" at the sim time "at". */
void Sim_At(Sim *sim, AqTime at, void (*run)(Sim *sim, uint64_t argument),
            uint64_t argument);
/* Runs all events up to and including the sim time "until". */
void Sim_Run(Sim *sim, AqTime until);
/* Submits a claim of the request id "id" to a node; a paused node receives the
 * claim when the pause ends.  Returns the index of the new SimRequest in
 * sim->requests. */
size_t Sim_Submit(Sim *sim, int node, uint64_t id);
/* Submits the claim of sim->requests[number], with the same nonce, to another
 * node.  Returns the index of the new SimRequest in sim->requests. */
size_t Sim_Resubmit(Sim *sim, int node, size_t number);
/* Sim_Release releases and Sim_Cancel cancels the claim of
 * sim->requests[number].  Both do nothing if the node of the claim is paused
 * or has restarted since the submit; Sim_Cancel also does nothing if the claim
 * is decided. */
void Sim_Release(Sim *sim, size_t number);
void Sim_Cancel(Sim *sim, size_t number);
/* Pauses the node sim->nodes[index] for "ms" milliseconds: store replies,
 * AqClaims_Tick calls and submits to the node wait until the pause ends. */
void Sim_Pause(Sim *sim, int index, AqTime ms);
/* Restarts a node: replaces its AqClaims by a new one with the same daemon
 * name and without cached batches or pending claims; ends a pause of the
 * node. */
void Sim_Restart(Sim *sim, int index);
/* Records that a rule of the claim log is broken.  "number" tells what broke
 * the rule: depending on the rule, the index of a SimRequest in sim->requests,
 * a request id, the index of a node in sim->nodes or a batch sequence number
 * (SEQ). */
void Sim_Fail(Sim *sim, const char *rule, uint64_t number);

#endif
