#ifndef AQ_CLAIMS_SIM_STORE_H
#define AQ_CLAIMS_SIM_STORE_H

#include "aq_buffer.h"
#include "sim.h"

/* The simulated store: executes a store call at the time of its effect. */

typedef struct {
    SimNode *node;  /* that made the call */
    int generation; /* of the node at that time */
    uint64_t token; /* of the call, from AqClaims */
    AqClaimsStoreCall call;
    int partition;  /* from the key */
    uint64_t first; /* SEQ range of the key or prefix, inclusive */
    uint64_t last;
    char *value; /* owned; of a create */
    size_t size;
    SimCallPlan plan;
    AqClaimsStoreResult result;
    AqBuffer found;      /* of a read: the values, concatenated */
    AqClaimsItem *items; /* owned; of a read: entries found */
    char (*keys)[64];    /* owned; keys of the items */
    size_t count;        /* number of items */
} SimCall;

/* Executes the call, unless its plan makes it fail, and sets its result. */
void SimStore_Execute(Sim *sim, SimCall *call);
void SimStore_FreeCall(SimCall *call);

#endif
