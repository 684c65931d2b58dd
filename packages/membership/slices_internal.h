#ifndef AQ_SLICES_INTERNAL_H
#define AQ_SLICES_INTERNAL_H

#include "aq_slices.h"
#include "peers.h"

enum {
    /* Length of an array of 64-bit words with one bit per member: member p, by
     * position in the array "members" of AqSlices, has bit p % 64 of word p /
     * 64. */
    MEMBER_WORDS = AQ_MAX_MEMBERS / 64,
    /* Most slots of one endpoint, the largest value of the pool field "slots"
     * in the fleet document; a larger number is lowered to this. */
    SLOTS_MAX = 1000,
    /* Most slot leases in one SlotLeaseTable; a further one is not added. */
    SLOT_LEASES_MAX = AQ_WIRE_MAX_ITEMS,
    /* Value that means "no member" where the position of a member in the array
     * "members" of AqSlices is expected. */
    NO_MEMBER = UINT16_MAX
};

/* State of one slot of an endpoint for this daemon. */
typedef enum {
    /* Assigned to another member, or to none if the epoch has no members. */
    SLOT_OTHER,
    /* Assigned to this daemon but not usable yet, because other daemons may
     * still run requests on the slot. */
    SLOT_PENDING,
    /* Assigned to this daemon, which may run requests on the slot or lease it
     * out, because no other daemon runs requests on the slot without such a
     * lease. */
    SLOT_HELD
} SlotState;

typedef struct Endpoint {
    /* Next endpoint in the same hash bucket; NULL for the last. */
    struct Endpoint *next;
    char name[AQ_WIRE_MAX_NAME];
    /* Hash of the name, by which the endpoint is found in the table and its
     * slots are assigned to members. */
    uint64_t hash;
    /* Whether AqSlices_RemoveEndpoint has removed the endpoint.  The entry is
     * freed once this daemon has no request in flight on the endpoint. */
    bool removed;
    /* Number of slots of the endpoint, summed over all members: the most
     * requests that all members together may have in flight on the endpoint; 0
     * once the endpoint is removed. */
    int slots;
    /* Number of elements of "state" that are SLOT_PENDING: slots assigned to
     * this daemon in the current epoch that it cannot use yet. */
    int pending;
    /* Number of elements of "state" that are SLOT_HELD: slots assigned to this
     * daemon that it may use or lease out, including those leased out now. */
    int held;
    /* Number of the endpoint's slots that this daemon has leased out, summed
     * over all lessees; also counts slots whose lessee has left the epoch or
     * restarted, until this daemon takes them back. */
    int leased_out;
    /* Number of the endpoint's slots that this daemon has leased in, summed
     * over all lessors; also counts slots whose lessor has left the epoch, and
     * slots whose term has ended, until this daemon returns them. */
    int leased_in;
    /* For each slot of the endpoint, its SlotState for this daemon.  The index
     * is the slot's number, from 0 to "slots" - 1. */
    unsigned char *state;
    /* For each slot of the endpoint, by the slot's number: the member to which
     * the slot was assigned in the previous epoch, as its position in
     * "members" of the current epoch, or NO_MEMBER if it is not a member any
     * more; SLOTS_MAX elements; NULL unless AQ_FAULT_PREVIOUS_ONLY is set. */
    uint16_t *previous;
    /* Time, on this daemon's clock, before which no slot of this endpoint goes
     * from SLOT_PENDING to SLOT_HELD: AQ_FRESH_MS after this daemon last
     * received a heartbeat whose "over" list names the endpoint from a daemon
     * that is not a member.  TIME_UNKNOWN if there was none. */
    AqTime blocked_until;
    /* Value that report_number of AqSlices had for the last heartbeat of a
     * member whose "over" list names this endpoint; 0 if there was none.  The
     * list names the endpoints on which the sender had, when it sent the
     * heartbeat, more requests in flight than slots. */
    uint64_t last_over_report;
    /* One bit per member, by position in "members" of AqSlices: set if the
     * member, in a heartbeat that it sent in the current epoch, reported no
     * more requests in flight on this endpoint than the member had slots of
     * the endpoint when it sent that heartbeat.  All bits are cleared when the
     * endpoint's slots are reassigned to the members. */
    uint64_t released_by[MEMBER_WORDS];
} Endpoint;

/* Slots of one endpoint that this daemon has leased out to one peer, the
 * lessee, if the entry is in the table leased_out of AqSlices; or leased in
 * from one peer, the lessor, if it is in the table leased_in. */
typedef struct {
    /* Id of the lessee (leased-out slots) or of the lessor (leased-in
     * slots). */
    char peer[AQ_WIRE_MAX_NAME];
    /* Instance number of the peer, by the last heartbeat that this daemon had
     * received from it when this daemon last granted it slots (leased-out
     * slots) or last received a grant from it (leased-in slots); for a grant
     * of this daemon's previous instance, by the heartbeat by which this
     * instance learned of the grant.  Another number in a later heartbeat
     * shows that the peer has restarted since. */
    uint64_t instance;
    Endpoint *endpoint;
    /* Number of slots leased out or leased in under this slot lease. */
    int count;
    /* Time, on this daemon's clock, at which this daemon last granted slots to
     * the lessee under this slot lease (leased-out slots) or last received a
     * grant from the lessor (leased-in slots).  For a grant of this daemon's
     * previous instance, the time of the heartbeat by which this instance
     * learned of the grant. */
    AqTime granted_at;
    /* For leased-in slots: time, on this daemon's clock, from which this
     * daemon starts no new request on them; TIME_UNKNOWN if the lessor or this
     * daemon has left the epoch or the endpoint is removed.  Not used for
     * leased-out slots. */
    AqTime term_end;
    /* For leased-out slots: whether the lessee has left the epoch or
     * restarted; this daemon then takes the slots back at reclaim_at.  For
     * leased-in slots: whether the lessor has left the epoch; the slots are
     * then assigned to other members, and this daemon starts no new request on
     * them. */
    bool is_orphaned;
    /* For leased-out slots whose lessee has left the epoch or restarted: time,
     * on this daemon's clock, at which this daemon takes the slots back,
     * AQ_GUARD_MS after it saw a majority of the members accept the epoch or
     * saw the restart; TIME_UNKNOWN until it has seen one of these, and for
     * all other slots. */
    AqTime reclaim_at;
} SlotLease;

/* Slot leases that all have the same direction, leased out or leased in; at
 * most one for each pair of a peer and an endpoint. */
typedef struct {
    /* The slot leases, in no fixed order; "count" of the "capacity" elements
     * are in use.  NULL before the first is added. */
    SlotLease *items;
    size_t count;
    size_t capacity;
} SlotLeaseTable;

struct AqSlices {
    /* Id of this daemon. */
    char self[AQ_WIRE_MAX_NAME];
    /* This daemon's view of the members, owned by the caller of
     * AqSlices_Create. */
    AqMembership *membership;
    /* Number of the current epoch, to whose members the slots are assigned; 0
     * before the first. */
    int64_t epoch;
    /* Whether this daemon is a member of the current epoch. */
    bool is_member;
    /* Number of members of the current epoch: the length of "members" and of
     * "hashes". */
    size_t member_count;
    /* Ids of the members of the current epoch, in ascending order.  This
     * daemon's own id is among them if it is a member. */
    char (*members)[AQ_WIRE_MAX_NAME];
    /* Hash of each id in "members", at the same index; used to assign slots to
     * members. */
    uint64_t *hashes;
    /* Whether no slot of this daemon goes from SLOT_PENDING to SLOT_HELD until
     * guard_until, because a daemon that is not a member of the current epoch
     * may still run requests on the slot. */
    bool guard_needed;
    /* If guard_needed: time, on this daemon's clock, before which no slot goes
     * from SLOT_PENDING to SLOT_HELD, AQ_GUARD_MS after this daemon saw a
     * majority of the members accept the current epoch; TIME_UNKNOWN until
     * this daemon has seen that. */
    AqTime guard_until;
    /* Whether, since this daemon started, there was an epoch in which every
     * other member reported to this daemon the slots that the member had
     * leased in; stays true in later epochs. */
    bool all_reported;
    /* One bit per member, by position in "members": set if this daemon has
     * received from the member, since the current epoch was installed here, a
     * heartbeat that lists the slots that the member has leased in. */
    uint64_t reported[MEMBER_WORDS];
    /* Number of heartbeats of members that record_release has processed since
     * this daemon started; also serves as the number of the last such
     * heartbeat, from 1. */
    uint64_t report_number;
    /* The hash table of endpoints: the first endpoint of each bucket, NULL if
     * the bucket is empty.  An endpoint is in the bucket whose index is the
     * lowest bits of its hash. */
    Endpoint **buckets;
    size_t bucket_count; /* length of "buckets", a power of two */
    /* Number of endpoints in the table, including removed ones that are not
     * freed yet. */
    size_t endpoint_count;
    /* Sum of the counters "pending" of all endpoints: slots assigned to this
     * daemon in the current epoch that it cannot use yet. */
    int pending;
    /* Slots that this daemon, as the lessor, has leased out to other
     * members. */
    SlotLeaseTable leased_out;
    /* Slots that this daemon, as the lessee, has leased in from other
     * members. */
    SlotLeaseTable leased_in;
    /* Id of the lessor that the last call of AqSlices_NextReturn passed to its
     * caller through *lessor. */
    char lessor[AQ_WIRE_MAX_NAME];
};

/* Creates the hash table of this daemon's endpoints, without entries. */
void endpoints_init(AqSlices *slices);
/* Frees the table of endpoints and every endpoint in it. */
void endpoints_clear(AqSlices *slices);
/* Adds an endpoint of 0 slots, whose name must not be in the table yet. */
Endpoint *endpoints_add(AqSlices *slices, const char *name);
/* Frees an endpoint that has been removed from its bucket. */
void endpoints_free(Endpoint *e);
/* Reassigns every slot of "e" by rendezvous hashing over the members of the
 * epoch.  A slot assigned to this daemon becomes SLOT_PENDING; but if "keep"
 * is true and the slot was SLOT_HELD, it stays SLOT_HELD. */
void endpoints_assign_slots(AqSlices *slices, Endpoint *e, bool keep);
/* For AQ_FAULT_PREVIOUS_ONLY: stores in e->previous, for each slot of "e", the
 * member to which the slot was assigned in the previous epoch.  The member is
 * stored as its position in the current epoch, or as NO_MEMBER if it has
 * left.  "old" lists the members of the previous epoch, old_hashes the hashes
 * of their ids. */
void endpoints_record_previous(const AqSlices *slices, Endpoint *e,
                               const char (*old)[AQ_WIRE_MAX_NAME],
                               const uint64_t *old_hashes, size_t old_count);

/* Finds the endpoint with this name; NULL if the table has none. */
Endpoint *slices_find(const AqSlices *slices, const char *name);
/* Takes back leased-out slots whose lessee has left the epoch or restarted,
 * when the time reclaim_at of their slot lease has come.  Changes the state of
 * slots from SLOT_PENDING to SLOT_HELD once all other members have released
 * these slots, but not before the endpoint's blocked_until, and, if
 * guard_needed, not before guard_until (AQ_GUARD_MS after this daemon saw a
 * majority of the members accept the epoch). */
void slices_advance(AqSlices *slices, AqTime now);

/* Frees all slot leases in the table. */
void slot_leases_clear(SlotLeaseTable *leases);
/* Takes back leased-out slots whose lessee has left the epoch or restarted,
 * AQ_GUARD_MS after this daemon saw a majority of the members accept the
 * epoch, or saw the lessee restart. */
void slot_leases_advance(AqSlices *slices, AqTime now);
/* Updates this daemon's slot leases for the members of the new epoch: marks
 * leased-out slots to be taken back (is_orphaned) if their lessee is not a
 * member or has restarted.  This daemon starts no new request on leased-in
 * slots if their lessor, or this daemon, is not a member any more. */
void slot_leases_epoch_changed(AqSlices *slices);
/* Processes a heartbeat of the peer "from", which lists the slots that the
 * peer has leased in.  The number of slots that this daemon counts as leased
 * out to the peer becomes the number that the heartbeat lists as leased in
 * from this daemon; it is lowered only if the peer had received the last grant
 * before it sent the heartbeat.  If the peer has restarted since the grant,
 * this daemon takes slots leased out to the peer back after AQ_GUARD_MS, and
 * starts no new request on slots leased in from the peer. */
void slot_leases_heartbeat(AqSlices *slices, AqTime now, const char *from,
                           const AqMsgHeartbeat *beat);
/* Removes all slot leases of the endpoint "e" from both tables, leased_out and
 * leased_in. */
void slot_leases_drop_endpoint(AqSlices *slices, Endpoint *e);
/* Number of slots of "e" that this daemon has leased in, without those whose
 * lessor has left the epoch since it granted them. */
int slot_leases_valid(const AqSlices *slices, const Endpoint *e);
/* Number of slots of "e" that this daemon has leased in and on which new
 * requests may still start at "now": the term of the slot lease has not
 * ended. */
int slot_leases_in_term(const AqSlices *slices, const Endpoint *e, AqTime now);
/* Sets the list slot_leases of a heartbeat that this daemon sends to the slots
 * that this daemon has leased in. */
void slot_leases_fill(const AqSlices *slices, AqMsgHeartbeat *beat);

#endif
