#ifndef AQ_SLICES_INTERNAL_H
#define AQ_SLICES_INTERNAL_H

#include "aq_slices.h"
#include "peers.h"

enum {
    MEMBER_WORDS = AQ_MAX_MEMBERS / 64,
    SLOTS_MAX = 1000, /* pool field "slots" of the design page */
    SLOT_LEASES_MAX = AQ_WIRE_MAX_ITEMS,
    NO_MEMBER = UINT16_MAX
};

/* State of one slot of an endpoint for this daemon. */
typedef enum {
    SLOT_OTHER,   /* assigned to another member */
    SLOT_PENDING, /* assigned to this one, maybe still in use elsewhere */
    SLOT_HELD     /* assigned to this one and let go by everybody else */
} SlotState;

typedef struct Endpoint {
    struct Endpoint *next; /* in its hash bucket */
    char name[AQ_WIRE_MAX_NAME];
    uint64_t hash;
    bool removed; /* kept until its requests in flight have ended */
    int slots;
    int pending;
    int held;
    int leased_out;       /* sum of the slot leases below */
    int leased_in;        /* the same, of slots leased in */
    unsigned char *state; /* SlotState of each slot */
    uint16_t *previous;   /* member that held it before; for
                             AQ_FAULT_PREVIOUS_ONLY */
    AqTime blocked_until; /* a removed daemon still has requests there */
    uint64_t over_stamp;  /* heartbeat that last listed it as over */
    uint64_t confirmed[MEMBER_WORDS]; /* members that let go, by index */
} Endpoint;

/* Slots leased out to, or leased in from, one peer on one endpoint. */
typedef struct {
    char peer[AQ_WIRE_MAX_NAME];
    uint64_t instance; /* of the peer, when the slot lease was made */
    Endpoint *endpoint;
    int count;
    AqTime since;
    AqTime until;      /* leased in: end of the term */
    bool gone;         /* leased out: the lessee left the epoch or restarted;
                          leased in: the lessor left, its slots are assigned to
                          others */
    AqTime reclaim_at; /* leased out: end of the guard, once it has begun */
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
    char (*members)[AQ_WIRE_MAX_NAME]; /* of the epoch, in order of id */
    uint64_t *hashes;
    bool guard_needed;  /* somebody outside the epoch may still use slots */
    AqTime guard_until; /* TIME_UNKNOWN until the epoch is accepted */
    bool
        all_reported; /* every member has told this instance its slot leases */
    uint64_t reported[MEMBER_WORDS]; /* members that did, by index */
    uint64_t stamp;
    Endpoint **buckets;
    size_t bucket_count; /* power of two */
    size_t endpoint_count;
    int pending; /* sum over all endpoints */
    SlotLeaseTable leased_out;
    SlotLeaseTable leased_in;
    char lessor[AQ_WIRE_MAX_NAME]; /* last result of AqSlices_NextReturn */
};

void endpoints_init(AqSlices *slices);
void endpoints_clear(AqSlices *slices);
Endpoint *endpoints_add(AqSlices *slices, const char *name);
/* Frees one endpoint that is in no bucket any more. */
void endpoints_free(Endpoint *e);
/* Assigns every slot anew.  Slots held before are kept when "keep" is set and
 * they are assigned to this daemon again. */
void endpoints_assign_slots(AqSlices *slices, Endpoint *e, bool keep);
/* Notes, for AQ_FAULT_PREVIOUS_ONLY, who held each slot in the epoch before,
 * as an index in the new one. */
void endpoints_note_previous(const AqSlices *slices, Endpoint *e,
                             const char (*old)[AQ_WIRE_MAX_NAME],
                             const uint64_t *old_hashes, size_t old_count);

Endpoint *slices_find(const AqSlices *slices, const char *name);
/* Applies the passing of time: the guard, and slot leases to reclaim. */
void slices_advance(AqSlices *slices, AqTime now);

void slot_leases_clear(SlotLeaseTable *leases);
/* Reclaims slot leases whose lessee is gone and whose guard has passed. */
void slot_leases_advance(AqSlices *slices, AqTime now);
/* Ends the term of slot leases that no longer hold in the new epoch, and marks
 * those whose other side has left it. */
void slot_leases_epoch_changed(AqSlices *slices);
/* Takes in a peer's report of what it has leased in. */
void slot_leases_heartbeat(AqSlices *slices, AqTime now, const char *from,
                           const AqMsgHeartbeat *beat);
/* Drops every slot lease on an endpoint. */
void slot_leases_drop_endpoint(AqSlices *slices, Endpoint *e);
/* Leased-in slots whose lessor still counts them as its own. */
int slot_leases_valid(const AqSlices *slices, const Endpoint *e);
/* Leased-in slots on which new requests may start. */
int slot_leases_in_term(const AqSlices *slices, const Endpoint *e, AqTime now);
void slot_leases_fill(const AqSlices *slices, AqMsgHeartbeat *beat);

#endif
