#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "slices_internal.h"

AqSlices *
AqSlices_Create(const char *self, AqMembership *membership, AqTime now)
{
    AqSlices *slices = calloc(1, sizeof(*slices));
    if (slices == NULL) {
        abort();
    }
    strncpy(slices->self, self, sizeof(slices->self) - 1);
    slices->membership = membership;
    slices->guard_until = TIME_UNKNOWN;
    endpoints_init(slices);
    AqSlices_EpochChanged(slices, now);
    return slices;
}

void
AqSlices_Destroy(AqSlices *slices)
{
    if (slices == NULL) {
        return;
    }
    endpoints_clear(slices);
    slot_leases_clear(&slices->leased_out);
    slot_leases_clear(&slices->leased_in);
    free(slices->members);
    free(slices->hashes);
    free(slices);
}

/* ---- Epochs and endpoints ----------------------------------------------- */

/* Whether a member of the previous epoch, whose members "old" lists, is not a
 * member of the current one. */
static bool
has_member_left(const AqSlices *slices, const char (*old)[AQ_WIRE_MAX_NAME],
                size_t old_count)
{
    for (size_t i = 0; i < old_count; i++) {
        if (!AqMembership_IsMember(slices->membership, old[i])) {
            return true;
        }
    }
    return false;
}

static void
copy_members(AqSlices *slices)
{
    const AqMembership *m = slices->membership;
    size_t n = AqMembership_Count(m);
    slices->members = calloc(n + 1, sizeof(*slices->members));
    slices->hashes = calloc(n + 1, sizeof(*slices->hashes));
    if (slices->members == NULL || slices->hashes == NULL) {
        abort();
    }
    for (size_t i = 0; i < n; i++) {
        strncpy(slices->members[i], AqMembership_Id(m, i),
                sizeof(slices->members[i]) - 1);
        slices->hashes[i] = AqHash_String(slices->members[i]);
    }
    slices->member_count = n;
    slices->is_member = AqMembership_IsMember(m, slices->self);
}

void
AqSlices_EpochChanged(AqSlices *slices, AqTime now)
{
    int64_t epoch = AqMembership_Epoch(slices->membership);
    if (epoch == slices->epoch) {
        return;
    }
    char(*old)[AQ_WIRE_MAX_NAME] = slices->members;
    uint64_t *old_hashes = slices->hashes;
    size_t old_count = slices->member_count;
    bool was_member = slices->is_member;
    copy_members(slices);
    slices->epoch = epoch;
    memset(slices->reported, 0, sizeof(slices->reported));
    /* If this daemon was not a member of the previous epoch, it has no list of
     * that epoch's members, so any of them may have left the epoch and may
     * still use slots. */
    if (!was_member ||
        has_member_left(slices, (const char(*)[AQ_WIRE_MAX_NAME])old,
                        old_count)) {
        slices->guard_needed = true;
    }
    slices->guard_until = TIME_UNKNOWN;
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint *e = slices->buckets[b]; e != NULL; e = e->next) {
            endpoints_record_previous(slices, e,
                                      (const char(*)[AQ_WIRE_MAX_NAME])old,
                                      old_hashes, old_count);
            endpoints_assign_slots(slices, e, was_member);
        }
    }
    slot_leases_epoch_changed(slices);
    free(old);
    free(old_hashes);
    slices_advance(slices, now);
}

void
AqSlices_SetEndpoint(AqSlices *slices, AqTime now, const char *endpoint,
                     int slots)
{
    (void)now;
    if (slots < 0) {
        slots = 0;
    }
    if (slots > SLOTS_MAX) {
        slots = SLOTS_MAX;
    }
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL) {
        e = endpoints_add(slices, endpoint);
    }
    else if (!e->removed && e->slots == slots) {
        return;
    }
    unsigned char *state = calloc((size_t)slots + 1, 1);
    if (state == NULL) {
        abort();
    }
    if (e->state != NULL) {
        memcpy(state, e->state, (size_t)(slots < e->slots ? slots : e->slots));
    }
    free(e->state);
    e->state = state;
    e->slots = slots;
    e->removed = false;
    endpoints_assign_slots(slices, e, true);
}

void
AqSlices_RemoveEndpoint(AqSlices *slices, const char *endpoint)
{
    Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL) {
        return;
    }
    e->removed = true;
    e->slots = 0;
    endpoints_assign_slots(slices, e, false);
    for (size_t i = 0; i < slices->leased_in.count; i++) {
        if (slices->leased_in.items[i].endpoint == e) {
            slices->leased_in.items[i].term_end = TIME_UNKNOWN;
        }
    }
}

/* ---- Release of slots --------------------------------------------------- */

static bool
has_bit(const uint64_t *words, size_t i)
{
    return words[i / 64] >> (i % 64) & 1;
}

static void
set_bit(uint64_t *words, size_t i)
{
    words[i / 64] |= (uint64_t)1 << (i % 64);
}

/* Whether "words", which has one bit per member by position in "members", has
 * the bits of all members other than this daemon set. */
static bool
has_every_peer(const AqSlices *slices, const uint64_t *words)
{
    for (size_t i = 0; i < slices->member_count; i++) {
        if (!has_bit(words, i) &&
            strcmp(slices->members[i], slices->self) != 0) {
            return false;
        }
    }
    return true;
}

static void
hold_slot(AqSlices *slices, Endpoint *e, int slot)
{
    e->state[slot] = SLOT_HELD;
    e->held++;
    e->pending--;
    slices->pending--;
}

/* Changes the state of each slot of "e" from SLOT_PENDING to SLOT_HELD if all
 * other members have released the slot. */
static void
hold_released_slots(AqSlices *slices, Endpoint *e)
{
    bool all = has_every_peer(slices, e->released_by);
    bool previous_only =
        AqMembership_Faults(slices->membership) & AQ_FAULT_PREVIOUS_ONLY;
    int self = AqMembership_Index(slices->membership, slices->self);
    for (int i = 0; e->pending > 0 && i < e->slots; i++) {
        bool ready = all;
        if (previous_only && e->previous != NULL) {
            uint16_t p = e->previous[i];
            ready = p == NO_MEMBER || p == self || has_bit(e->released_by, p);
        }
        if (ready && e->state[i] == SLOT_PENDING) {
            hold_slot(slices, e, i);
        }
    }
}

/* Whether this daemon has ended its wait for daemons outside the epoch, which
 * may still run requests on slots in SLOT_PENDING; true if no wait is needed.
 * The wait begins when this daemon sees that a majority of the members has
 * accepted the epoch, lasts AQ_GUARD_MS, and does not end before AQ_GUARD_MS
 * after this daemon's start. */
static bool
is_guard_over(AqSlices *slices, AqTime now)
{
    if (!slices->guard_needed) {
        return true;
    }
    if (AqMembership_Faults(slices->membership) & AQ_FAULT_NO_GUARD) {
        slices->guard_needed = false;
        return true;
    }
    if (slices->guard_until == TIME_UNKNOWN &&
        AqMembership_IsAccepted(slices->membership, now, slices->epoch)) {
        slices->guard_until = now + AQ_GUARD_MS;
    }
    slices->guard_needed = slices->guard_until == TIME_UNKNOWN ||
                           now < slices->guard_until ||
                           !AqMembership_IsStarted(slices->membership, now);
    return !slices->guard_needed;
}

void
slices_advance(AqSlices *slices, AqTime now)
{
    slot_leases_advance(slices, now);
    if (!is_guard_over(slices, now) || slices->pending == 0) {
        return;
    }
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint *e = slices->buckets[b]; e != NULL; e = e->next) {
            if (e->pending > 0 && now >= e->blocked_until) {
                hold_released_slots(slices, e);
            }
        }
    }
}

/* Records that member "i" has released its former slots of each endpoint that
 * the "over" list of its heartbeat "beat" does not name: when the member sent
 * the list, it had no more requests in flight on such an endpoint than
 * slots. */
static void
record_release(AqSlices *slices, size_t i, const AqMsgHeartbeat *beat)
{
    slices->report_number++;
    bool ignore =
        AqMembership_Faults(slices->membership) & AQ_FAULT_IGNORE_OVER;
    for (size_t k = 0; !ignore && k < beat->over_count; k++) {
        Endpoint *e = slices_find(slices, beat->over[k].name);
        if (e != NULL) {
            e->last_over_report = slices->report_number;
        }
    }
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint *e = slices->buckets[b]; e != NULL; e = e->next) {
            if (e->pending > 0 &&
                e->last_over_report != slices->report_number) {
                set_bit(e->released_by, i);
            }
        }
    }
}

/* Processes the heartbeat of a daemon that is not a member, such as a removed
 * one.  That daemon still has requests in flight on the endpoints in its
 * "over" list, so no slot of these endpoints goes to SLOT_HELD until
 * AQ_FRESH_MS from now. */
static void
block_endpoints(AqSlices *slices, AqTime now, const AqMsgHeartbeat *beat)
{
    if (AqMembership_Faults(slices->membership) & AQ_FAULT_IGNORE_OVER) {
        return;
    }
    for (size_t k = 0; k < beat->over_count; k++) {
        Endpoint *e = slices_find(slices, beat->over[k].name);
        if (e != NULL) {
            e->blocked_until = now + AQ_FRESH_MS;
        }
    }
}

void
AqSlices_Heartbeat(AqSlices *slices, AqTime now, const char *from,
                   const AqMsgHeartbeat *beat)
{
    int i = AqMembership_Index(slices->membership, from);
    AqTime sent_after;
    /* Until the peer acknowledges a heartbeat of this instance of the daemon,
     * the peer's heartbeat may have been sent before this instance started,
     * and is ignored. */
    if (!beat->slots_known || strcmp(from, slices->self) == 0 ||
        !AqMembership_SentAfter(slices->membership, from, &sent_after)) {
        return;
    }
    if (i < 0) {
        block_endpoints(slices, now, beat);
        return;
    }
    slot_leases_heartbeat(slices, now, from, beat);
    set_bit(slices->reported, (size_t)i);
    slices->all_reported =
        slices->all_reported || has_every_peer(slices, slices->reported);
    bool adopted =
        AqMembership_Faults(slices->membership) & AQ_FAULT_LATER_EPOCH
            ? beat->epoch >= slices->epoch
            : beat->epoch == slices->epoch;
    if (adopted && slices->pending > 0) {
        record_release(slices, (size_t)i, beat);
    }
    slices_advance(slices, now);
}

/* ---- Use ---------------------------------------------------------------- */

int
AqSlices_Assigned(const AqSlices *slices, const char *endpoint)
{
    const Endpoint *e = slices_find(slices, endpoint);
    return e != NULL ? e->held + e->pending : 0;
}

int
AqSlices_Usable(AqSlices *slices, AqTime now, const char *endpoint)
{
    if (!AqMembership_IsFresh(slices->membership, now)) {
        return 0;
    }
    slices_advance(slices, now);
    const Endpoint *e = slices_find(slices, endpoint);
    if (e == NULL) {
        return 0;
    }
    int n = e->held - e->leased_out + slot_leases_in_term(slices, e, now);
    return n > 0 ? n : 0;
}

bool
AqSlices_IsSteady(const AqSlices *slices)
{
    return slices->pending == 0 && slices->leased_out.count == 0 &&
           slices->leased_in.count == 0;
}

int
AqSlices_LeasedOut(const AqSlices *slices, const char *endpoint)
{
    const Endpoint *e = slices_find(slices, endpoint);
    return e != NULL ? e->leased_out : 0;
}

int
AqSlices_LeasedIn(const AqSlices *slices, const char *endpoint)
{
    const Endpoint *e = slices_find(slices, endpoint);
    return e != NULL ? e->leased_in : 0;
}

/* Returns the number of endpoints on which this daemon has more requests in
 * flight than slots.  The slots are those in SLOT_HELD, minus those leased
 * out, plus those leased in from lessors that have not left the epoch.  Unless
 * "items" is NULL, lists these endpoints in it, each with the number of excess
 * requests.  Frees removed endpoints on which this daemon has no requests. */
static size_t
list_over(AqSlices *slices, int (*in_use)(void *context, const char *endpoint),
          void *context, AqWireCount *items)
{
    size_t n = 0;
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint **at = &slices->buckets[b]; *at != NULL;) {
            Endpoint *e = *at;
            int used = in_use(context, e->name);
            int over =
                used + e->leased_out - e->held - slot_leases_valid(slices, e);
            if (e->removed && used == 0) {
                slot_leases_drop_endpoint(slices, e);
                *at = e->next;
                slices->endpoint_count--;
                endpoints_free(e);
                continue;
            }
            if (over > 0) {
                if (items != NULL) {
                    memcpy(items[n].name, e->name, sizeof(e->name));
                    items[n].value = over;
                }
                n++;
            }
            at = &e->next;
        }
    }
    return n;
}

void
AqSlices_FillHeartbeat(AqSlices *slices, AqTime now,
                       int (*in_use)(void *context, const char *endpoint),
                       void *context, AqMsgHeartbeat *beat)
{
    slices_advance(slices, now);
    size_t n = list_over(slices, in_use, context, NULL);
    if (n > 0) {
        beat->over = calloc(n, sizeof(*beat->over));
        if (beat->over == NULL) {
            abort();
        }
        list_over(slices, in_use, context, beat->over);
    }
    beat->over_count = n;
    slot_leases_fill(slices, beat);
    beat->slots_known = true;
    /* A heartbeat with epoch 0 releases no slots.  This daemon sends epoch 0
     * if its "over" list is too long for a heartbeat, and until every other
     * member has reported its leased-in slots: a previous instance of this
     * daemon may have granted them. */
    slices->all_reported =
        slices->all_reported ||
        (slices->is_member && has_every_peer(slices, slices->reported));
    if (n > AQ_WIRE_MAX_ITEMS || !slices->all_reported) {
        beat->epoch = 0;
    }
}

size_t
AqSlices_MemoryBytes(const AqSlices *slices)
{
    size_t n = sizeof(*slices) + slices->bucket_count * sizeof(Endpoint *) +
               slices->member_count *
                   (sizeof(*slices->members) + sizeof(*slices->hashes)) +
               (slices->leased_out.capacity + slices->leased_in.capacity) *
                   sizeof(SlotLease);
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint *e = slices->buckets[b]; e != NULL; e = e->next) {
            n += sizeof(*e) + (size_t)e->slots + 1;
        }
    }
    return n;
}

static int
count_state(const Endpoint *e, SlotState state)
{
    int n = 0;
    for (int i = 0; i < e->slots; i++) {
        n += e->state[i] == state;
    }
    return n;
}

static int
sum_slot_leases(const SlotLeaseTable *leases, const Endpoint *e)
{
    int n = 0;
    for (size_t i = 0; i < leases->count; i++) {
        n += leases->items[i].endpoint == e ? leases->items[i].count : 0;
    }
    return n;
}

bool
AqSlices_CheckConsistency(const AqSlices *slices, AqError *error)
{
    int pending = 0;
    for (size_t b = 0; b < slices->bucket_count; b++) {
        for (Endpoint *e = slices->buckets[b]; e != NULL; e = e->next) {
            pending += e->pending;
            if (count_state(e, SLOT_HELD) != e->held ||
                count_state(e, SLOT_PENDING) != e->pending ||
                sum_slot_leases(&slices->leased_out, e) != e->leased_out ||
                sum_slot_leases(&slices->leased_in, e) != e->leased_in) {
                return AqError_Set(error, AQ_ERR_INVALID,
                                   "slot counts of endpoint %s do not agree "
                                   "with its slots; this is a fault of the "
                                   "slices module",
                                   e->name);
            }
        }
    }
    if (pending != slices->pending) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "sum of pending slots is %d, not %d; this is a "
                           "fault of the slices module",
                           pending, slices->pending);
    }
    return true;
}
