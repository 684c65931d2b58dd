#ifndef AQ_MEMBERSHIP_INTERNAL_H
#define AQ_MEMBERSHIP_INTERNAL_H

#include "aq_membership.h"
#include "peers.h"

typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    uint64_t hash;
    AqTime known_since; /* when this daemon installed the member; own clock */
} Member;

struct AqMembership {
    char self[AQ_WIRE_MAX_NAME];
    uint64_t instance;
    unsigned faults; /* AQ_FAULT_* bits */
    AqTime created;
    /* seq of a heartbeat is seq_base + 1 + milliseconds since "created". */
    uint64_t seq_base;
    AqTime last_fill;       /* last call of AqMembership_FillHeartbeat */
    AqTime listening_since; /* creation or the end of the last pause */
    /* False after a start, until this daemon certainly has every accepted
     * version again; a majority must not include it before. */
    bool counts_for_majority;
    bool has_epoch;
    int64_t epoch;
    int64_t version;
    AqTime contact; /* start of the last store read that got a response */
    /* Latest store contact of a peer whose version was not above this
     * daemon's when its heartbeat was received. */
    AqTime relayed_contact;
    Member *members; /* of the epoch, in order of id */
    size_t count;
    Peers peers;
};

/* Whether "count" members are a majority of the epoch. */
bool membership_is_majority(const AqMembership *m, size_t count);
bool membership_is_self(const AqMembership *m, const char *id);
/* Whether the peer certainly sent its last heartbeat within AQ_FRESH_MS. */
bool membership_has_recent_heartbeat(const Peer *peer, AqTime now);
/* Milliseconds since the last heartbeat of the peer, not counting time before
 * the peer became a member or before the end of this daemon's last pause. */
AqTime membership_silence(const AqMembership *m, AqTime now, const Peer *peer);

#endif
