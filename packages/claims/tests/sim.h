#ifndef AQ_CLAIMS_SIM_H
#define AQ_CLAIMS_SIM_H

#include "aq_claims.h"
#include "aq_random.h"
#include "batch.h"

/* Virtual-time simulation of several AqClaims instances ("nodes") over one
 * store, for the tests and for bench_claims. */

enum {
    SIM_MAX_NODES = 9,
    SIM_MAX_SEQ = 1 << 15
};

#define SIM_WALL_START INT64_C(1700000000000)

typedef struct Sim Sim;

/* What happens to one store call. */
typedef struct {
    AqTime effect_ms; /* until it takes effect */
    AqTime reply_ms;  /* from then until the reply */
    bool no_effect;
    bool lost;           /* reported as LOST after timeout_ms */
    bool down;           /* reported as DOWN */
    AqTime pause_before; /* the node stops before the call leaves it */
    AqTime pause_after;  /* the node stops once the call took effect */
    bool restart_before; /* the node restarts before the call leaves it */
    bool restart_after;  /* the node restarts once the call took effect */
} SimFate;

typedef struct {
    uint64_t id;       /* of the request, any number */
    int node;          /* that claims */
    int generation;    /* of the node at the submit */
    AqTime submitted;  /* sim time */
    AqTime decided_at; /* sim time of the verdict */
    size_t origin;     /* index of the first submit of the claim */
    bool resubmitted;
    AqMsgClaim claim; /* its nonce is the index of the origin plus 1 */
    int verdicts;
    AqClaimVerdict verdict;
    bool forgotten;
    bool released;
    AqTime released_at;
    int written;    /* times that it took effect in the store */
    uint64_t seq;   /* where it was written last */
    bool displaced; /* written below a SEQ that had existed before */
} SimRequest;

typedef struct {
    Sim *sim;
    int index;
    int generation;
    AqClaims *claims;
    AqTime skew; /* of the wall clock */
    AqTime paused_until;
    AqTime tick_at;
} SimNode;

typedef struct {
    char *bytes; /* owned; NULL while absent */
    size_t size;
    AqTime newest; /* sim time of the newest claim in it */
    bool displaced;
} SimBatch;

struct Sim {
    AqTime now;
    AqRandom random;
    AqClaimsConfig config;
    int node_count;
    SimNode nodes[SIM_MAX_NODES];
    SimBatch *batches[AQ_CLAIM_PARTITIONS]; /* by SEQ */
    uint64_t newest[AQ_CLAIM_PARTITIONS];   /* SEQ ever created */
    SimRequest *requests;
    size_t request_count;
    size_t request_capacity;
    struct SimEvent *heap;
    size_t heap_count;
    size_t heap_capacity;
    uint64_t order;
    uint64_t removed;
    AqTime max_skew;
    /* Decides what happens to a store call. */
    SimFate (*fate)(Sim *sim, SimNode *node, AqClaimsStoreCall call);
    /* Called at each verdict, may be NULL. */
    void (*decided)(Sim *sim, size_t request);
    void *user;
    bool unchecked;    /* skips the checks after each step, for measurements */
    char failure[600]; /* the first broken rule; "" if none */
    uint64_t failures;
    uint64_t double_grants;
};

void Sim_Create(Sim *sim, uint64_t seed, int nodes,
                const AqClaimsConfig *config);
void Sim_Destroy(Sim *sim);
/* Calls "run" at a sim time. */
void Sim_At(Sim *sim, AqTime at, void (*run)(Sim *sim, uint64_t argument),
            uint64_t argument);
/* Runs all events up to and including "until". */
void Sim_Run(Sim *sim, AqTime until);
/* Submits a claim for "id" at a node; a paused node gets it on resume.
 * Returns the index of the request. */
size_t Sim_Submit(Sim *sim, int node, uint64_t id);
/* Submits the same claim, with the same nonce, at another node. */
size_t Sim_Resubmit(Sim *sim, int node, size_t number);
void Sim_Release(Sim *sim, size_t number);
void Sim_Forget(Sim *sim, size_t number);
void Sim_Pause(Sim *sim, int index, AqTime ms);
void Sim_Restart(Sim *sim, int index);
/* Notes a broken rule, with the number of a request, id or SEQ. */
void Sim_Fail(Sim *sim, const char *rule, uint64_t number);

#endif
