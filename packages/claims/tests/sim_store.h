#ifndef AQ_CLAIMS_SIM_STORE_H
#define AQ_CLAIMS_SIM_STORE_H

#include "aq_buffer.h"
#include "sim.h"

/* The simulated store of the claim log: executes a store call at the sim time
 * at which the call is to take effect. */

typedef struct {
    SimNode *node;  /* the node that made the store call */
    int generation; /* SimNode.generation of the node when it made the store
                     * call */
    uint64_t token; /* token that AqClaims gave the store call */
    AqClaimsStoreCall call;
    int partition;  /* number of the claim log partition in the key of the
                     * store call */
    uint64_t first; /* lowest batch sequence number (SEQ) that the key or
                     * key prefix of the store call covers */
    uint64_t last;  /* highest batch sequence number (SEQ) that the key or
                     * key prefix of the store call covers */
    char *value;    /* owned; value that a create writes; NULL for another
                     * call */
    size_t size;
    SimCallPlan plan;
    AqClaimsStoreResult result;
    AqBuffer found;      /* values that a read found, concatenated in the
                          * order of "items" */
    AqClaimsItem *items; /* owned; store entries that a read found */
    char (*keys)[64];    /* owned; keys of the store entries in "items" */
    size_t count;        /* number of store entries in "items" */
} SimCall;

/* Executes the store call "call", unless call->plan makes it fail, and sets
 * call->result. */
void SimStore_Execute(Sim *sim, SimCall *call);
void SimStore_FreeCall(SimCall *call);

#endif
