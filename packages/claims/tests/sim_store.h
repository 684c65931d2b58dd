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
    uint64_t token; /* token of the store call, from AqClaims */
    AqClaimsStoreCall call;
    int partition;  /* partition of the claim log in the key */
    uint64_t first; /* lowest batch sequence number (SEQ) that the key or
                     * prefix covers */
    uint64_t last;  /* highest batch sequence number (SEQ) that the key or
                     * prefix covers */
    char *value;    /* owned; the value to write, of a create */
    size_t size;
    SimCallPlan plan;
    AqClaimsStoreResult result;
    AqBuffer found;      /* of a read: the values found, concatenated */
    AqClaimsItem *items; /* owned; of a read: the entries found */
    char (*keys)[64];    /* owned; of a read: keys of the items */
    size_t count;        /* number of items */
} SimCall;

/* Executes the store call "call", unless call->plan makes it fail, and sets
 * call->result. */
void SimStore_Execute(Sim *sim, SimCall *call);
void SimStore_FreeCall(SimCall *call);

#endif
