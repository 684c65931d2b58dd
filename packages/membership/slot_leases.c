#include <stdlib.h>
#include <string.h>

#include "slices_internal.h"

void
slot_leases_clear(SlotLeaseTable *leases)
{
    free(leases->items);
    memset(leases, 0, sizeof(*leases));
}

static SlotLease *
find_slot_lease(const SlotLeaseTable *leases, const char *peer,
                const Endpoint *e)
{
    for (size_t i = 0; i < leases->count; i++) {
        SlotLease *lease = &leases->items[i];
        if (lease->endpoint == e && strcmp(lease->peer, peer) == 0) {
            return lease;
        }
    }
    return NULL;
}

/* Adds to the table a slot lease with "peer" for 0 slots of "e"; returns NULL
 * if the table is full. */
static SlotLease *
add_slot_lease(SlotLeaseTable *leases, const char *peer, Endpoint *e)
{
    if (leases->count >= SLOT_LEASES_MAX) {
        return NULL;
    }
    if (leases->count == leases->capacity) {
        size_t capacity = leases->capacity > 0 ? leases->capacity * 2 : 8;
        SlotLease *items = realloc(leases->items, capacity * sizeof(*items));
        if (items == NULL) {
            abort();
        }
        leases->items = items;
        leases->capacity = capacity;
    }
    SlotLease *lease = &leases->items[leases->count++];
    memset(lease, 0, sizeof(*lease));
    strncpy(lease->peer, peer, sizeof(lease->peer) - 1);
    lease->endpoint = e;
    lease->reclaim_at = TIME_UNKNOWN;
    return lease;
}

/* Removes the slot lease at position "i" of the table and moves the last slot
 * lease to that position. */
static void
remove_slot_lease(SlotLeaseTable *leases, size_t i)
{
    leases->items[i] = leases->items[--leases->count];
}

/* Sets the number of slots that this daemon leases out under "lease"; a count
 * of 0 removes "lease" from the table. */
static void
set_leased_out(AqSlices *slices, SlotLease *lease, int count)
{
    lease->endpoint->leased_out += count - lease->count;
    lease->count = count;
    if (count == 0) {
        remove_slot_lease(&slices->leased_out,
                          (size_t)(lease - slices->leased_out.items));
    }
}

/* Sets the number of slots that this daemon leases in under "lease"; a count
 * of 0 removes "lease" from the table. */
static void
set_leased_in(AqSlices *slices, SlotLease *lease, int count)
{
    lease->endpoint->leased_in += count - lease->count;
    lease->count = count;
    if (count == 0) {
        remove_slot_lease(&slices->leased_in,
                          (size_t)(lease - slices->leased_in.items));
    }
}

/* ---- Lessor ------------------------------------------------------------- */

int
AqSlices_GrantLease(AqSlices *slices, AqTime now, const char *lessee,
                    const char *endpoint, int idle, int count)
{
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL || e->removed || !slices->is_member ||
        strcmp(lessee, slices->self) == 0 ||
        !AqMembership_IsMember(slices->membership, lessee) ||
        !AqMembership_IsFresh(slices->membership, now)) {
        return 0;
    }
    slices_advance(slices, now);
    /* Only slots in state SLOT_HELD are leased out; leased-in slots are not
     * leased out again. */
    int granted = e->held - e->leased_out;
    granted = idle < granted ? idle : granted;
    granted = count < granted ? count : granted;
    if (granted <= 0) {
        return 0;
    }
    uint64_t instance = AqMembership_Instance(slices->membership, lessee);
    SlotLease *lease = find_slot_lease(&slices->leased_out, lessee, e);
    if (lease != NULL && (lease->is_orphaned || lease->instance != instance)) {
        return 0;
    }
    if (lease == NULL) {
        lease = add_slot_lease(&slices->leased_out, lessee, e);
    }
    if (lease == NULL) {
        return 0;
    }
    lease->instance = instance;
    lease->granted_at = now;
    set_leased_out(slices, lease, lease->count + granted);
    return granted;
}

void
AqSlices_LeaseReturned(AqSlices *slices, const char *lessee,
                       const char *endpoint, int count)
{
    Endpoint *e = slices_find(slices, endpoint);
    SlotLease *lease =
        e != NULL ? find_slot_lease(&slices->leased_out, lessee, e) : NULL;
    if (lease != NULL && count > 0) {
        set_leased_out(slices, lease,
                       count < lease->count ? lease->count - count : 0);
    }
}

void
slot_leases_advance(AqSlices *slices, AqTime now)
{
    unsigned faults = AqMembership_Faults(slices->membership);
    for (size_t i = slices->leased_out.count; i-- > 0;) {
        SlotLease *lease = &slices->leased_out.items[i];
        if (!lease->is_orphaned) {
            continue;
        }
        if (lease->reclaim_at == TIME_UNKNOWN &&
            AqMembership_IsAccepted(slices->membership, now, slices->epoch)) {
            lease->reclaim_at = now + AQ_GUARD_MS;
        }
        if ((faults & AQ_FAULT_NO_GUARD) ||
            (lease->reclaim_at != TIME_UNKNOWN && now >= lease->reclaim_at)) {
            set_leased_out(slices, lease, 0);
        }
    }
}

/* Number of slots of "e" that the sender of a heartbeat reports as leased in
 * from "lessor". */
static int
reported_count(const AqMsgHeartbeat *beat, const char *lessor,
               const Endpoint *e)
{
    int64_t sum = 0;
    for (size_t i = 0; i < beat->slot_lease_count; i++) {
        const AqWireSlotLease *lease = &beat->slot_leases[i];
        if (strcmp(lease->lessor, lessor) == 0 &&
            strcmp(lease->endpoint, e->name) == 0) {
            sum += lease->count;
        }
    }
    return sum < SLOTS_MAX ? (int)sum : SLOTS_MAX;
}

/* Lowers the number of slots in each slot lease granted to "from" to the
 * number that the heartbeat of "from" lists, if that is less: a LEND message,
 * which grants slots, or a RETURN message, which gives them back, was lost.
 * The number is lowered only if "from" has acknowledged a heartbeat that this
 * daemon sent after the last LEND message under this slot lease.  If "from"
 * has restarted since that LEND message, this daemon does not lower the
 * number: it takes back all slots of the slot lease AQ_GUARD_MS after it
 * received the first heartbeat of the new instance. */
static void
lower_slot_leases(AqSlices *slices, AqTime now, const char *from,
                  const AqMsgHeartbeat *beat)
{
    AqTime sent_after = TIME_UNKNOWN;
    AqMembership_SentAfter(slices->membership, from, &sent_after);
    for (size_t i = slices->leased_out.count; i-- > 0;) {
        SlotLease *lease = &slices->leased_out.items[i];
        if (strcmp(lease->peer, from) != 0) {
            continue;
        }
        if (lease->instance != beat->instance) {
            /* The lessee restarted; requests of its previous instance may
             * still run on the slots. */
            if (!lease->is_orphaned) {
                lease->is_orphaned = true;
                lease->reclaim_at = now + AQ_GUARD_MS;
            }
            continue;
        }
        int reported = reported_count(beat, slices->self, lease->endpoint);
        if (sent_after > lease->granted_at && reported < lease->count) {
            set_leased_out(slices, lease, reported);
        }
    }
}

/* Raises the number of slots in each slot lease granted to "from" to the
 * number that the heartbeat of "from" lists as leased in from this daemon, and
 * adds a slot lease that is missing: a previous instance of this daemon may
 * have granted the slots. */
static void
raise_slot_leases(AqSlices *slices, AqTime now, const char *from,
                  const AqMsgHeartbeat *beat)
{
    for (size_t i = 0; i < beat->slot_lease_count; i++) {
        if (strcmp(beat->slot_leases[i].lessor, slices->self) != 0) {
            continue;
        }
        Endpoint *e = slices_find(slices, beat->slot_leases[i].endpoint);
        if (e == NULL) {
            continue;
        }
        int reported = reported_count(beat, slices->self, e);
        SlotLease *lease = find_slot_lease(&slices->leased_out, from, e);
        if (lease == NULL && reported > 0) {
            lease = add_slot_lease(&slices->leased_out, from, e);
            if (lease != NULL) {
                lease->instance = beat->instance;
                lease->granted_at = now;
            }
        }
        if (lease != NULL && reported > lease->count) {
            set_leased_out(slices, lease, reported);
        }
    }
}

/* ---- Lessee ------------------------------------------------------------- */

void
AqSlices_LeaseGranted(AqSlices *slices, AqTime now, const char *lessor,
                      const char *endpoint, int count, AqTime term_ms)
{
    Endpoint *e = slices_find(slices, endpoint);
    /* The slots of a lessor that is not in this epoch are assigned to other
     * members, so a grant of this lessor is ignored. */
    if (e == NULL || e->removed || count <= 0 || count > SLOTS_MAX ||
        !slices->is_member ||
        !AqMembership_IsMember(slices->membership, lessor)) {
        return;
    }
    /* The LEND message, by which the lessor grants the slots, was sent after
     * the last heartbeat that was received from the lessor.  If that heartbeat
     * may be older than AQ_FRESH_MS, so may the LEND message, and the lessor
     * may already have taken the slots back after its wait of AQ_GUARD_MS. */
    AqTime sent_after;
    if (!AqMembership_SentAfter(slices->membership, lessor, &sent_after) ||
        now - sent_after > AQ_FRESH_MS) {
        return;
    }
    SlotLease *lease = find_slot_lease(&slices->leased_in, lessor, e);
    if (lease == NULL) {
        lease = add_slot_lease(&slices->leased_in, lessor, e);
    }
    if (lease == NULL || lease->is_orphaned) {
        return;
    }
    lease->instance = AqMembership_Instance(slices->membership, lessor);
    lease->granted_at = now;
    lease->term_end = now + term_ms;
    set_leased_in(slices, lease, lease->count + count);
}

int
AqSlices_NextReturn(AqSlices *slices, AqTime now, const char *endpoint,
                    int in_use, const char **lessor)
{
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL) {
        return 0;
    }
    int own = e->held - e->leased_out;
    int unused = own + e->leased_in - in_use;
    for (size_t i = 0; i < slices->leased_in.count && unused > 0; i++) {
        SlotLease *lease = &slices->leased_in.items[i];
        if (lease->endpoint != e) {
            continue;
        }
        /* The first request for a newly granted slot may not have come yet, so
         * the slot is kept for at least one heartbeat interval. */
        bool is_unneeded =
            in_use < own && now - lease->granted_at >= AQ_HEARTBEAT_MS;
        if (now < lease->term_end && !is_unneeded) {
            continue;
        }
        int count = unused < lease->count ? unused : lease->count;
        memcpy(slices->lessor, lease->peer, sizeof(slices->lessor));
        *lessor = slices->lessor;
        set_leased_in(slices, lease, lease->count - count);
        return count;
    }
    return 0;
}

int
slot_leases_valid(const AqSlices *slices, const Endpoint *e)
{
    int n = 0;
    for (size_t i = 0; e->leased_in > 0 && i < slices->leased_in.count; i++) {
        const SlotLease *lease = &slices->leased_in.items[i];
        n += lease->endpoint == e && !lease->is_orphaned ? lease->count : 0;
    }
    return n;
}

int
slot_leases_in_term(const AqSlices *slices, const Endpoint *e, AqTime now)
{
    int n = 0;
    for (size_t i = 0; e->leased_in > 0 && i < slices->leased_in.count; i++) {
        const SlotLease *lease = &slices->leased_in.items[i];
        if (lease->endpoint == e && now < lease->term_end) {
            n += lease->count;
        }
    }
    return n;
}

/* ---- Lessor and lessee -------------------------------------------------- */

void
slot_leases_epoch_changed(AqSlices *slices)
{
    for (size_t i = slices->leased_in.count; i-- > 0;) {
        SlotLease *lease = &slices->leased_in.items[i];
        /* If the lessor has left the epoch, the slot lease is kept until this
         * daemon's requests on the slots end: the lessor treats a slot lease
         * that is missing from this daemon's heartbeat as returned. */
        if (!AqMembership_IsMember(slices->membership, lease->peer)) {
            lease->is_orphaned = true;
        }
        if (lease->is_orphaned || !slices->is_member) {
            lease->term_end = TIME_UNKNOWN;
        }
    }
    for (size_t i = 0; i < slices->leased_out.count; i++) {
        SlotLease *lease = &slices->leased_out.items[i];
        bool is_orphaned =
            !AqMembership_IsMember(slices->membership, lease->peer) ||
            AqMembership_Instance(slices->membership, lease->peer) !=
                lease->instance;
        if (is_orphaned != lease->is_orphaned) {
            lease->is_orphaned = is_orphaned;
            lease->reclaim_at = TIME_UNKNOWN;
        }
    }
}

void
slot_leases_heartbeat(AqSlices *slices, AqTime now, const char *from,
                      const AqMsgHeartbeat *beat)
{
    lower_slot_leases(slices, now, from, beat);
    raise_slot_leases(slices, now, from, beat);
    for (size_t i = 0; i < slices->leased_in.count; i++) {
        SlotLease *lease = &slices->leased_in.items[i];
        if (strcmp(lease->peer, from) == 0 &&
            lease->instance != beat->instance) {
            /* The lessor restarted, so this daemon starts no new request on
             * the slots leased in from the lessor, and returns them. */
            lease->term_end = now;
        }
    }
}

void
slot_leases_drop_endpoint(AqSlices *slices, Endpoint *e)
{
    for (size_t i = slices->leased_in.count; i-- > 0;) {
        if (slices->leased_in.items[i].endpoint == e) {
            set_leased_in(slices, &slices->leased_in.items[i], 0);
        }
    }
    for (size_t i = slices->leased_out.count; i-- > 0;) {
        if (slices->leased_out.items[i].endpoint == e) {
            set_leased_out(slices, &slices->leased_out.items[i], 0);
        }
    }
}

void
slot_leases_fill(const AqSlices *slices, AqMsgHeartbeat *beat)
{
    size_t count = slices->leased_in.count;
    beat->slot_leases =
        count > 0 ? calloc(count, sizeof(*beat->slot_leases)) : NULL;
    beat->slot_lease_count = count;
    for (size_t i = 0; i < count; i++) {
        const SlotLease *lease = &slices->leased_in.items[i];
        memcpy(beat->slot_leases[i].lessor, lease->peer, sizeof(lease->peer));
        memcpy(beat->slot_leases[i].endpoint, lease->endpoint->name,
               sizeof(lease->endpoint->name));
        beat->slot_leases[i].count = lease->count;
    }
}
