#include <stdlib.h>
#include <string.h>

#include "aq_carrier.h"
#include "aq_hash.h"

enum {
    /* An owner calls so many VMs itself for each core that its entry VM has,
     * at half of its processor time: the burst of a pool brings 10 starts and
     * renewals a second to each VM, of 0.15 ms each (bench_owner), and the
     * platform charges up to twice that. */
    VMS_PER_CORE = 120,
    /* VMs for each carrier.  A carrier of 0.12 cores then uses less than half
     * of them at the height of a burst. */
    VMS_PER_CARRIER = 16
};

typedef struct {
    size_t index;
    bool is_near;
    uint64_t weight;
} Ranked;

static int
compare(const void *a, const void *b)
{
    const Ranked *x = a;
    const Ranked *y = b;
    if (x->is_near != y->is_near) {
        return x->is_near ? -1 : 1;
    }
    return (x->weight < y->weight) - (x->weight > y->weight);
}

size_t
AqCarrier_Choose(const AqCarrierNeed *need,
                 const AqCarrierCandidate *candidates, size_t count,
                 size_t *chosen)
{
    size_t wanted = (need->vms + VMS_PER_CARRIER - 1) / VMS_PER_CARRIER;
    size_t free_count = 0;
    Ranked *ranked = calloc(count + 1, sizeof(*ranked));
    uint64_t key = AqHash_String(need->owner);
    for (size_t i = 0; i < count; i++) {
        const AqCarrierCandidate *candidate = &candidates[i];
        if (candidate->is_owner || candidate->address[0] == '\0' ||
            strcmp(candidate->id, need->owner) == 0) {
            continue;
        }
        ranked[free_count++] = (Ranked){
            .index = i,
            .is_near = strcmp(candidate->zone, need->zone) == 0,
            .weight = AqHash_Rendezvous(key, AqHash_String(candidate->id))};
    }
    qsort(ranked, free_count, sizeof(*ranked), compare);
    /* Each pool gets a share, so that the owners do not load the same entry
     * VMs; with less than two carriers an owner gains nothing. */
    size_t share = need->pools > 0 ? free_count / need->pools : 0;
    wanted = wanted < share ? wanted : share;
    wanted = wanted < AQ_CARRIER_MAX ? wanted : AQ_CARRIER_MAX;
    size_t own_vms = (size_t)need->cpu_millis * VMS_PER_CORE / 1000;
    if (need->vms <= own_vms || wanted < 2) {
        wanted = 0;
    }
    for (size_t i = 0; i < wanted; i++) {
        chosen[i] = ranked[i].index;
    }
    free(ranked);
    return wanted;
}
