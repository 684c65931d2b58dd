#ifndef AQ_PEERS_H
#define AQ_PEERS_H

#include "aq_membership.h"

enum {
    /* Most peers in a Peers table, members or not; heartbeats of further peers
     * are ignored.  Bounds the memory that other hosts with a valid secret can
     * make this daemon use. */
    PEERS_MAX = 512
};

/* AqTime value for an unknown time; it is before every other time. */
#define TIME_UNKNOWN INT64_MIN

/* State of one peer as reported in its heartbeats.  The lists are copies that
 * this struct owns. */
typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    uint64_t hash; /* hash of the peer's id, for rendezvous hashing */
    /* Number that differs at each start of the peer; 0 until this daemon
     * receives a heartbeat of the peer. */
    uint64_t instance;
    uint64_t seq;
    int64_t epoch;
    int64_t version;
    bool joining;
    /* Time at which this daemon received the peer's last heartbeat, on this
     * daemon's clock; TIME_UNKNOWN before the first. */
    AqTime last_heartbeat_at;
    /* Time, on this daemon's clock, before which the peer cannot have sent the
     * last heartbeat that this daemon received from it; TIME_UNKNOWN if no
     * such time is known. */
    AqTime sent_after;
    /* Time, on this daemon's clock, at or after which the peer last reached
     * the store; TIME_UNKNOWN if no such time is known. */
    AqTime contact;
    /* For each daemon other than the peer, milliseconds for which the peer had
     * received no heartbeat from that daemon when the peer sent its own last
     * heartbeat. */
    AqWireCount *peer_ages;
    size_t peer_age_count;
    /* Number of the peer's requests in flight on each VM that the peer reports
     * as drained (given no new requests), by the peer's last heartbeat. */
    AqWireCount *leaving;
    size_t leaving_count;
} Peer;

typedef struct {
    Peer *items; /* the peers, in order of id */
    size_t count;
    size_t capacity;
} Peers;

/* Finds a peer; NULL if the table has none with this id. */
Peer *peers_find(const Peers *peers, const char *id);
/* Finds the peer with this id, or adds it as a peer from which no heartbeat
 * has been received; NULL if the table is full.  Adding a peer may move the
 * other peers, which makes pointers to them invalid. */
Peer *peers_add(Peers *peers, const char *id);
/* Removes the peers whose last heartbeat was received before "limit" and for
 * which "keep" returns false. */
void peers_prune(Peers *peers, AqTime limit,
                 bool (*keep)(const void *context, const char *id),
                 const void *context);
void peers_clear(Peers *peers);

/* Discards what heartbeats of the peer's previous instance reported, and sets
 * peer->instance to "instance". */
void peer_reset(Peer *peer, uint64_t instance);
/* Copies seq, epoch, version, joining, peer_ages and leaving from the peer's
 * heartbeat "beat", which was received at "now", into "peer". */
void peer_store(Peer *peer, AqTime now, const AqMsgHeartbeat *beat);

/* Value of the item called "name" in "items", or "absent" if there is no such
 * item. */
int64_t count_value(const AqWireCount *items, size_t count, const char *name,
                    int64_t absent);

#endif
