#ifndef AQ_MEMBERSHIP_INTERNAL_H
#define AQ_MEMBERSHIP_INTERNAL_H

#include "aq_membership.h"
#include "peers.h"

typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    /* hash of the member's id, for rendezvous hashing */
    uint64_t hash;
    /* Time on this daemon's clock since which every installed epoch has listed
     * this member. */
    AqTime known_since;
} Member;

struct AqMembership {
    /* id of this daemon */
    char self[AQ_WIRE_MAX_NAME];
    /* Number that differs at each start of this daemon; never 0. */
    uint64_t instance;
    unsigned faults; /* AQ_FAULT_* bits that are set in this daemon */
    /* Time, on this daemon's clock, at which this daemon started (created this
     * struct). */
    AqTime created;
    /* The sequence number (seq) of a heartbeat that this daemon sends is
     * seq_base + 1 + the milliseconds from "created" until the heartbeat is
     * filled. */
    uint64_t seq_base;
    /* Time, on this daemon's clock, at which this daemon last filled a
     * heartbeat to be sent; "created" before the first.  A gap of more than
     * three heartbeat intervals counts as a pause of this daemon. */
    AqTime last_fill;
    /* Time, on this daemon's clock, from which this daemon measures the
     * silence of peers: the end of its last pause, or its start if it has not
     * paused. */
    AqTime listening_since;
    /* Whether this daemon counts towards majorities of the members: false from
     * its start, which may set it back to an older version of the fleet
     * document, until it certainly has every version that a majority of the
     * members accepted. */
    bool counts_for_majority;
    /* Whether an epoch has been installed since this daemon started. */
    bool has_epoch;
    /* Number of the installed epoch; 0 before the first. */
    int64_t epoch;
    /* Version of the fleet document that this daemon has in force; 0 before
     * the first. */
    int64_t version;
    /* Time, on this daemon's clock, at which this daemon began its last store
     * read that got a response; TIME_UNKNOWN before the first. */
    AqTime contact;
    /* Latest time, on this daemon's clock, known from heartbeats at or after
     * which some peer reached the store; TIME_UNKNOWN if there is none.  A
     * heartbeat does not count if it reported a version of the fleet document
     * above the version that this daemon had when it received the
     * heartbeat. */
    AqTime relayed_contact;
    Member *members; /* the installed epoch's members, in order of id */
    /* Number of elements of "members". */
    size_t count;
    /* The daemons other than this one, members or not. */
    Peers peers;
};

/* Whether "count" members are more than half of the installed epoch's
 * members. */
bool membership_is_majority(const AqMembership *m, size_t count);
bool membership_is_self(const AqMembership *m, const char *id);
/* Whether the last heartbeat that this daemon received from the peer was
 * certainly sent at most AQ_FRESH_MS before "now". */
bool membership_has_recent_heartbeat(const Peer *peer, AqTime now);
/* Milliseconds since the last heartbeat of the peer was received, not counting
 * time before the peer became a member or before the end of this daemon's last
 * pause. */
AqTime membership_silence(const AqMembership *m, AqTime now, const Peer *peer);

#endif
