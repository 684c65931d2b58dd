#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "slices_internal.h"

enum {
    INITIAL_BUCKET_COUNT = 64
};

/* ---- Table of endpoints ------------------------------------------------- */

Endpoint *
slices_find(const AqSlices *slices, const char *name)
{
    uint64_t hash = AqHash_String(name);
    Endpoint *e = slices->buckets[hash & (slices->bucket_count - 1)];
    while (e != NULL && (e->hash != hash || strcmp(e->name, name) != 0)) {
        e = e->next;
    }
    return e;
}

static void
link_endpoint(Endpoint **buckets, size_t count, Endpoint *e)
{
    Endpoint **bucket = &buckets[e->hash & (count - 1)];
    e->next = *bucket;
    *bucket = e;
}

static void
grow_table(AqSlices *slices)
{
    size_t count = slices->bucket_count * 2;
    Endpoint **buckets = calloc(count, sizeof(Endpoint *));
    if (buckets == NULL) {
        abort();
    }
    for (size_t b = 0; b < slices->bucket_count; b++) {
        while (slices->buckets[b] != NULL) {
            Endpoint *e = slices->buckets[b];
            slices->buckets[b] = e->next;
            link_endpoint(buckets, count, e);
        }
    }
    free(slices->buckets);
    slices->buckets = buckets;
    slices->bucket_count = count;
}

Endpoint *
endpoints_add(AqSlices *slices, const char *name)
{
    if (slices->endpoint_count >= slices->bucket_count) {
        grow_table(slices);
    }
    Endpoint *e = calloc(1, sizeof(*e));
    if (e == NULL) {
        abort();
    }
    strncpy(e->name, name, sizeof(e->name) - 1);
    e->hash = AqHash_String(e->name);
    e->blocked_until = TIME_UNKNOWN;
    link_endpoint(slices->buckets, slices->bucket_count, e);
    slices->endpoint_count++;
    return e;
}

void
endpoints_init(AqSlices *slices)
{
    slices->bucket_count = INITIAL_BUCKET_COUNT;
    slices->buckets = calloc(INITIAL_BUCKET_COUNT, sizeof(Endpoint *));
    if (slices->buckets == NULL) {
        abort();
    }
}

void
endpoints_free(Endpoint *e)
{
    free(e->state);
    free(e->previous);
    free(e);
}

void
endpoints_clear(AqSlices *slices)
{
    for (size_t b = 0; b < slices->bucket_count; b++) {
        while (slices->buckets[b] != NULL) {
            Endpoint *e = slices->buckets[b];
            slices->buckets[b] = e->next;
            endpoints_free(e);
        }
    }
    free(slices->buckets);
}

/* ---- Assignment --------------------------------------------------------- */

/* Position in "hashes" of the member to which a slot of "e" is assigned: the
 * one with the highest rendezvous weight; NO_MEMBER if there are no
 * members. */
static uint16_t
assign_slot(const uint64_t *hashes, size_t count, const Endpoint *e, int slot)
{
    uint64_t key = AqHash_Rendezvous(e->hash, (uint64_t)slot);
    uint64_t best = 0;
    uint16_t winner = NO_MEMBER;
    for (size_t i = 0; i < count; i++) {
        uint64_t weight = AqHash_Rendezvous(key, hashes[i]);
        if (winner == NO_MEMBER || weight > best) {
            best = weight;
            winner = (uint16_t)i;
        }
    }
    return winner;
}

void
endpoints_assign_slots(AqSlices *slices, Endpoint *e, bool keep)
{
    int self = AqMembership_Index(slices->membership, slices->self);
    slices->pending -= e->pending;
    e->pending = 0;
    e->held = 0;
    for (int i = 0; i < e->slots; i++) {
        bool is_own =
            self >= 0 &&
            assign_slot(slices->hashes, slices->member_count, e, i) == self;
        if (!is_own) {
            e->state[i] = SLOT_OTHER;
        }
        else if (keep && e->state[i] == SLOT_HELD) {
            e->held++;
        }
        else {
            e->state[i] = SLOT_PENDING;
            e->pending++;
        }
    }
    slices->pending += e->pending;
    memset(e->released_by, 0, sizeof(e->released_by));
}

void
endpoints_record_previous(const AqSlices *slices, Endpoint *e,
                          const char (*old)[AQ_WIRE_MAX_NAME],
                          const uint64_t *old_hashes, size_t old_count)
{
    if (!(AqMembership_Faults(slices->membership) & AQ_FAULT_PREVIOUS_ONLY)) {
        return;
    }
    if (e->previous == NULL) {
        e->previous = calloc(SLOTS_MAX, sizeof(*e->previous));
    }
    for (int i = 0; e->previous != NULL && i < e->slots; i++) {
        uint16_t holder = assign_slot(old_hashes, old_count, e, i);
        int now_at = holder == NO_MEMBER
                         ? -1
                         : AqMembership_Index(slices->membership, old[holder]);
        e->previous[i] = now_at < 0 ? NO_MEMBER : (uint16_t)now_at;
    }
}
