#ifndef AQ_MEMBERSHIP_INTERNAL_H
#define AQ_MEMBERSHIP_INTERNAL_H

#include "aq_membership.h"
#include "peers.h"

typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    uint64_t hash;
    AqTime since; /* when this daemon learned of the member */
} Member;

struct AqMembership {
    char self[AQ_WIRE_MAX_NAME];
    uint64_t instance;
    unsigned faults;
    AqTime created;
    uint64_t seq_base; /* seq of a heartbeat is base + 1 + ms since created */
    AqTime last_fill;
    AqTime listening_since;   /* creation or the end of the last pause */
    bool counts_for_majority; /* may be counted in a majority */
    bool has_epoch;
    int64_t epoch;
    int64_t version;
    AqTime contact; /* start of the last answered store read */
    AqTime
        relayed_contact; /* latest contact of a peer not above own version */
    Member *members;     /* in order of id */
    size_t count;
    Peers peers;
};

bool membership_is_majority(const AqMembership *m, size_t count);
bool membership_is_self(const AqMembership *m, const char *id);
/* Whether the peer's last heartbeat was certainly sent within AQ_FRESH_MS. */
bool membership_is_dated(const Peer *peer, AqTime now);
/* Milliseconds for which this daemon has listened without hearing the peer. */
AqTime membership_silence(const AqMembership *m, AqTime now, const Peer *peer);

#endif
