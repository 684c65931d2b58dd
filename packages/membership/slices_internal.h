#ifndef AQ_SLICES_INTERNAL_H
#define AQ_SLICES_INTERNAL_H

#include "aq_slices.h"
#include "peers.h"

enum {
    MEMBER_WORDS = AQ_MAX_MEMBERS / 64,
    /* Most slots of one endpoint, the largest value of the pool field "slots";
     * a larger number is lowered to this. */
    SLOTS_MAX = 1000,
    /* Most slot leases in one SlotLeaseTable; a further one is not added. */
    SLOT_LEASES_MAX = AQ_WIRE_MAX_ITEMS,
    /* Value that means "no member" where the position of a member is
     * expected. */
    NO_MEMBER = UINT16_MAX
};

/* State of one slot of an endpoint for this daemon. */
typedef enum {
    SLOT_OTHER,   /* assigned to another member */
    SLOT_PENDING, /* assigned to this daemon, perhaps in use by others */
    SLOT_HELD     /* assigned to this daemon, released by all other members */
} SlotState;

typedef struct Endpoint {
    struct Endpoint *next; /* next endpoint in the same hash bucket */
    char name[AQ_WIRE_MAX_NAME];
    uint64_t hash;
    /* Whether AqSlices_RemoveEndpoint has removed the endpoint; the entry is
     * freed once this daemon's requests in flight on the endpoint have
     * ended. */
    bool removed;
    /* Number of slots of the endpoint, summed over all members: the endpoint's
     * limit of requests in flight. */
    int slots;
    /* Number of the endpoint's slots in SLOT_PENDING: assigned to this daemon,
     * not yet released by all other members. */
    int pending;
    /* Number of the endpoint's slots in SLOT_HELD: assigned to this daemon,
     * released by all other members. */
    int held;
    /* Number of the endpoint's slots that this daemon has leased out to other
     * members. */
    int leased_out;
    /* Number of the endpoint's slots that this daemon has leased in from other
     * members. */
    int leased_in;
    unsigned char *state; /* SlotState of each slot */
    /* Only for AQ_FAULT_PREVIOUS_ONLY.  For each slot, position in "members"
     * of the member to which the slot was assigned in the previous epoch;
     * NO_MEMBER if that member has left the epoch. */
    uint16_t *previous;
    /* Time before which no slot of this endpoint goes from SLOT_PENDING to
     * SLOT_HELD; AQ_FRESH_MS after a daemon that is not a member last reported
     * requests on the endpoint. */
    AqTime blocked_until;
    /* Number (value of report_number) of the last heartbeat that named this
     * endpoint in its "over" list.  The list names the endpoints on which the
     * sender had, when it sent the list, more requests in flight than
     * slots. */
    uint64_t last_over_report;
    /* One bit per member, by position in "members": set if the member has
     * released, in this epoch, its former slots of this endpoint: it reported
     * no more requests in flight on the endpoint than it had slots of the
     * endpoint at that time. */
    uint64_t released_by[MEMBER_WORDS];
} Endpoint;

/* Slots of one endpoint that this daemon has leased out to, or leased in from,
 * one peer. */
typedef struct {
    char peer[AQ_WIRE_MAX_NAME];
    uint64_t instance; /* instance number of the peer at the last grant */
    Endpoint *endpoint;
    int count;
    /* Time of the last grant under this slot lease, on this daemon's clock. */
    AqTime granted_at;
    /* For leased-in slots: time from which no new request may start on
     * them. */
    AqTime term_end;
    /* For leased-out slots: whether the lessee has left the epoch or
     * restarted; this daemon then takes the slots back at reclaim_at.  For
     * leased-in slots: whether the lessor has left the epoch; the slots are
     * then assigned to other members, and this daemon starts no new request on
     * them. */
    bool is_orphaned;
    /* For leased-out slots whose lessee has left the epoch or restarted: time
     * at which this daemon takes the slots back, AQ_GUARD_MS after this daemon
     * saw a majority of the members accept the epoch or saw the restart;
     * TIME_UNKNOWN until this daemon has seen one of these. */
    AqTime reclaim_at;
} SlotLease;

typedef struct {
    SlotLease *items;
    size_t count;
    size_t capacity;
} SlotLeaseTable;

struct AqSlices {
    char self[AQ_WIRE_MAX_NAME];
    AqMembership *membership;
    int64_t epoch;
    bool is_member;
    size_t member_count;
    /* Ids of the epoch's members, in ascending order. */
    char (*members)[AQ_WIRE_MAX_NAME];
    uint64_t *hashes; /* hash of each id in "members", same order */
    /* Whether the slots in SLOT_PENDING stay unused by this daemon until
     * guard_until, because a daemon that is not a member may still run
     * requests on them. */
    bool guard_needed;
    /* If guard_needed: no slot goes from SLOT_PENDING to SLOT_HELD before this
     * time, AQ_GUARD_MS after this daemon saw a majority of the members accept
     * the epoch; TIME_UNKNOWN until this daemon has seen that. */
    AqTime guard_until;
    /* Whether all other members of one epoch have reported their leased-in
     * slots to this daemon since it started; stays true when the epoch
     * changes. */
    bool all_reported;
    /* One bit per member, by position in "members": set if the member has
     * reported, in this epoch, the slots that it has leased in from other
     * members. */
    uint64_t reported[MEMBER_WORDS];
    /* Number of heartbeats that record_release has processed since this daemon
     * started; also serves as the number of the last such heartbeat. */
    uint64_t report_number;
    Endpoint **buckets;
    size_t bucket_count; /* length of "buckets", a power of two */
    size_t endpoint_count;
    /* Number of slots of all endpoints in SLOT_PENDING: assigned to this
     * daemon, not yet released by all other members. */
    int pending;
    SlotLeaseTable leased_out;
    SlotLeaseTable leased_in;
    /* Id of the lessor that the last call of AqSlices_NextReturn passed to its
     * caller through *lessor. */
    char lessor[AQ_WIRE_MAX_NAME];
};

/* Creates the empty table of endpoints. */
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

/* Finds an endpoint; NULL if the table has none of this name. */
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
/* Updates the slot leases for the new epoch.  Leased-out slots are marked to
 * be taken back (is_orphaned) if their lessee is not a member or has
 * restarted.  This daemon starts no new request on leased-in slots if their
 * lessor, or this daemon, is not a member any more. */
void slot_leases_epoch_changed(AqSlices *slices);
/* Updates the slot leases between this daemon and the peer "from" by a
 * heartbeat of the peer, which lists the slots that the peer has leased in. */
void slot_leases_heartbeat(AqSlices *slices, AqTime now, const char *from,
                           const AqMsgHeartbeat *beat);
/* Removes all slot leases of the endpoint "e", those with slots leased out and
 * those with slots leased in. */
void slot_leases_drop_endpoint(AqSlices *slices, Endpoint *e);
/* Number of slots of "e" that this daemon has leased in from lessors that have
 * not left the epoch since the grant. */
int slot_leases_valid(const AqSlices *slices, const Endpoint *e);
/* Number of slots of "e" that this daemon has leased in and on which new
 * requests may still start at "now": the term of the slot lease has not
 * ended. */
int slot_leases_in_term(const AqSlices *slices, const Endpoint *e, AqTime now);
/* Fills the list slot_leases of a heartbeat with the slots that this daemon
 * has leased in. */
void slot_leases_fill(const AqSlices *slices, AqMsgHeartbeat *beat);

#endif
