#include <stdlib.h>
#include <string.h>

#include "aq_carrier.h"
#include "aq_hash.h"

enum {
    /* VMs whose calls in a burst take half of a core. */
    VMS_PER_CORE = 120,
    /* VMs whose calls in a burst take half of 1 Mbit/s. */
    VMS_PER_MBPS = 3,
    /* The carriers of an owner have room for so many times its VMs: the other
     * work of their entry VMs comes first. */
    SPARE_FACTOR = 2
};

size_t
AqCarrier_Capacity(int64_t cpu_millis, int64_t link_mbps)
{
    int64_t by_cpu = cpu_millis * VMS_PER_CORE / 1000;
    int64_t by_link = link_mbps * VMS_PER_MBPS;
    int64_t vms = link_mbps > 0 && by_link < by_cpu ? by_link : by_cpu;
    return vms > 0 ? (size_t)vms : 0;
}

size_t
AqCarrier_VmsNeeded(size_t own, size_t own_pools, size_t pools,
                    size_t site_peak)
{
    size_t part = pools > 0 ? site_peak * own_pools / pools : 0;
    return own > part ? own : part;
}

/* Returns the owner, an index of the candidates, that the candidate may carry
 * for: the one with the highest weight among those of its zone or, if its zone
 * has none, among all; "count" if there is no owner. */
static size_t
find_owner(const AqCarrierCandidate *candidates, size_t count, size_t index)
{
    const AqCarrierCandidate *self = &candidates[index];
    uint64_t key = AqHash_String(self->id);
    uint64_t best_weight = 0;
    size_t best = count;
    bool is_best_near = false;
    for (size_t i = 0; i < count; i++) {
        if (!candidates[i].owns_pool) {
            continue;
        }
        bool is_near = strcmp(candidates[i].zone, self->zone) == 0;
        uint64_t weight =
            AqHash_Rendezvous(key, AqHash_String(candidates[i].id));
        if (best == count || (is_near && !is_best_near) ||
            (is_near == is_best_near && weight > best_weight)) {
            best = i;
            best_weight = weight;
            is_best_near = is_near;
        }
    }
    return best;
}

typedef struct {
    size_t index;
    uint64_t weight;
} Ranked;

static int
compare(const void *a, const void *b)
{
    uint64_t x = ((const Ranked *)a)->weight;
    uint64_t y = ((const Ranked *)b)->weight;
    return (x < y) - (x > y);
}

/* Returns the candidates that may carry for the owner in the order in which
 * they are chosen. */
static Ranked *
rank_free(const char *owner, const AqCarrierCandidate *candidates,
          size_t count, size_t *free_count)
{
    Ranked *ranked = calloc(count + 1, sizeof(*ranked));
    uint64_t key = AqHash_String(owner);
    *free_count = 0;
    for (size_t i = 0; i < count; i++) {
        const AqCarrierCandidate *candidate = &candidates[i];
        if (candidate->owns_pool || candidate->is_busy ||
            candidate->address[0] == '\0' || candidate->capacity == 0) {
            continue;
        }
        size_t found = find_owner(candidates, count, i);
        if (found < count && strcmp(candidates[found].id, owner) == 0) {
            ranked[(*free_count)++] = (Ranked){
                i, AqHash_Rendezvous(key, AqHash_String(candidate->id))};
        }
    }
    qsort(ranked, *free_count, sizeof(*ranked), compare);
    return ranked;
}

size_t
AqCarrier_Choose(const AqCarrierNeed *need,
                 const AqCarrierCandidate *candidates, size_t count,
                 size_t *chosen)
{
    size_t free_count;
    size_t chosen_count = 0;
    size_t capacity = 0;
    if (need->vms <= need->capacity) {
        return 0;
    }
    Ranked *ranked = rank_free(need->owner, candidates, count, &free_count);
    for (size_t i = 0; i < free_count && chosen_count < AQ_CARRIER_MAX &&
                       capacity < SPARE_FACTOR * need->vms;
         i++) {
        chosen[chosen_count++] = ranked[i].index;
        capacity += candidates[ranked[i].index].capacity;
    }
    free(ranked);
    /* Carriers that can do less than the owner itself would slow it down. */
    return capacity > need->capacity ? chosen_count : 0;
}
