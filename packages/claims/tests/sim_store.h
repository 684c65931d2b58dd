#ifndef AQ_CLAIMS_SIM_STORE_H
#define AQ_CLAIMS_SIM_STORE_H

#include "aq_buffer.h"
#include "sim.h"

/* The store of the simulation: what a call does when it takes effect. */

typedef struct {
    SimNode *node;
    int generation;
    uint64_t token;
    AqClaimsStoreCall call;
    int partition;
    uint64_t first; /* SEQ range of the key or prefix */
    uint64_t last;
    char *value; /* owned */
    size_t size;
    SimFate fate;
    AqClaimsStoreResult result;
    AqBuffer found; /* of a read: values one after another */
    AqClaimsItem *items;
    char (*keys)[64];
    size_t count;
} SimCall;

/* Carries the call out, unless its fate forbids it, and sets its result. */
void SimStore_Take(Sim *sim, SimCall *call);
void SimStore_FreeCall(SimCall *call);

#endif
