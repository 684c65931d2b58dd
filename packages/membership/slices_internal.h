#ifndef AQ_SLICES_INTERNAL_H
#define AQ_SLICES_INTERNAL_H

#include "aq_slices.h"
#include "peers.h"

enum {
    MEMBER_WORDS = AQ_MAX_MEMBERS / 64,
    SLOTS_MAX = 1000, /* largest value of the pool field "slots" */
    SLOT_LEASES_MAX = AQ_WIRE_MAX_ITEMS, /* of each SlotLeaseTable */
    NO_MEMBER = UINT16_MAX               /* index that no member has */
};

/* State of one slot of an endpoint for this daemon. */
typedef enum {
    SLOT_OTHER,   /* assigned to another member */
    SLOT_PENDING, /* assigned to this daemon, may be in use elsewhere */
    SLOT_HELD     /* assigned to this daemon, released by all others */
} SlotState;

typedef struct Endpoint {
    struct Endpoint *next; /* next entry of the hash bucket */
    char name[AQ_WIRE_MAX_NAME];
    uint64_t hash;
    bool removed;         /* freed once its requests in flight have ended */
    int slots;            /* limit of the endpoint, over all members */
    int pending;          /* number of slots in SLOT_PENDING */
    int held;             /* number of slots in SLOT_HELD */
    int leased_out;       /* slots leased out to other members */
    int leased_in;        /* slots leased in from other members */
    unsigned char *state; /* SlotState of each slot */
    uint16_t *previous;   /* index of each slot's member in the previous epoch;
                             only for AQ_FAULT_PREVIOUS_ONLY */
    /* Time before which no pending slot becomes held; set when a daemon that
     * is not a member reports requests on the endpoint. */
    AqTime blocked_until;
    /* Number of the last report that listed the endpoint as over. */
    uint64_t last_over_report;
    /* Members that have released their former slots, by index. */
    uint64_t released_by[MEMBER_WORDS];
} Endpoint;

/* Slots of one endpoint leased out to, or leased in from, one peer. */
typedef struct {
    char peer[AQ_WIRE_MAX_NAME];
    uint64_t instance; /* of the peer when the slot lease was granted */
    Endpoint *endpoint;
    int count;
    AqTime granted_at; /* last grant under this slot lease, own clock */
    AqTime term_end;   /* leased in: time from which no request may start */
    bool is_orphaned;  /* leased out: the lessee left the epoch or restarted;
                          leased in: the lessor left the epoch, so its slots
                          are assigned to others */
    AqTime reclaim_at; /* leased out and orphaned: end of the wait of
                          AQ_GUARD_MS; TIME_UNKNOWN before it begins */
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
    uint64_t *hashes;                  /* of the members' ids, same order */
    /* Whether a daemon that is not a member may still use slots. */
    bool guard_needed;
    /* End of the wait for such daemons; TIME_UNKNOWN until the epoch is
     * accepted. */
    AqTime guard_until;
    /* Whether every member has reported its slot leases to this instance. */
    bool all_reported;
    /* Members that have reported their slot leases in this epoch, by index. */
    uint64_t reported[MEMBER_WORDS];
    uint64_t report_number; /* number of the last report processed */
    Endpoint **buckets;
    size_t bucket_count; /* power of two */
    size_t endpoint_count;
    int pending; /* number of pending slots of all endpoints */
    SlotLeaseTable leased_out;
    SlotLeaseTable leased_in;
    char lessor[AQ_WIRE_MAX_NAME]; /* last result of AqSlices_NextReturn */
};

/* Creates the empty table of endpoints. */
void endpoints_init(AqSlices *slices);
/* Frees the table and every endpoint in it. */
void endpoints_clear(AqSlices *slices);
/* Adds an endpoint of 0 slots, whose name must not be in the table yet. */
Endpoint *endpoints_add(AqSlices *slices, const char *name);
/* Frees an endpoint that has been removed from its bucket. */
void endpoints_free(Endpoint *e);
/* Reassigns every slot of "e" by rendezvous hashing over the members.  With
 * "keep", a held slot that stays assigned to this daemon stays held; every
 * other slot assigned to it becomes pending. */
void endpoints_assign_slots(AqSlices *slices, Endpoint *e, bool keep);
/* For AQ_FAULT_PREVIOUS_ONLY: records the member to which each slot was
 * assigned in the previous epoch, as an index in the current one. */
void endpoints_record_previous(const AqSlices *slices, Endpoint *e,
                               const char (*old)[AQ_WIRE_MAX_NAME],
                               const uint64_t *old_hashes, size_t old_count);

/* Finds an endpoint; NULL if the table has none of this name. */
Endpoint *slices_find(const AqSlices *slices, const char *name);
/* Applies what is due at "now": reclaims orphaned slot leases and, after the
 * wait of AQ_GUARD_MS, holds pending slots that all members have released. */
void slices_advance(AqSlices *slices, AqTime now);

/* Frees the table's slot leases. */
void slot_leases_clear(SlotLeaseTable *leases);
/* Reclaims leased-out slots whose lessee has left or restarted, once the wait
 * of AQ_GUARD_MS has ended. */
void slot_leases_advance(AqSlices *slices, AqTime now);
/* Updates the slot leases for the new epoch: marks those whose peer is not a
 * member, or whose lessee has restarted, as orphaned, and ends the term of
 * leased-in slots that are no longer valid. */
void slot_leases_epoch_changed(AqSlices *slices);
/* Updates the slot leases with a peer after its heartbeat, which lists the
 * slots that it has leased in. */
void slot_leases_heartbeat(AqSlices *slices, AqTime now, const char *from,
                           const AqMsgHeartbeat *beat);
/* Removes every slot lease on an endpoint. */
void slot_leases_drop_endpoint(AqSlices *slices, Endpoint *e);
/* Number of leased-in slots whose lessor has not left the epoch. */
int slot_leases_valid(const AqSlices *slices, const Endpoint *e);
/* Number of leased-in slots on which new requests may start. */
int slot_leases_in_term(const AqSlices *slices, const Endpoint *e, AqTime now);
/* Fills slot_leases of a heartbeat with the leased-in slots. */
void slot_leases_fill(const AqSlices *slices, AqMsgHeartbeat *beat);

#endif
