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
    /* Instance number in the last heartbeat that this daemon received from the
     * peer; it differs at each start of the peer.  0 before the first
     * heartbeat. */
    uint64_t instance;
    /* Sequence number of the last heartbeat that this daemon received from the
     * peer; 0 if it has received none from the peer's current instance. */
    uint64_t seq;
    /* Number of the epoch that the peer reported in its last heartbeat; 0 if
     * it reported none, or no heartbeat of its current instance was
     * received. */
    int64_t epoch;
    /* Version of the fleet document that the peer had in force, by its last
     * heartbeat; 0 if it had none, or no heartbeat of its current instance was
     * received. */
    int64_t version;
    /* Whether the peer, by its last heartbeat, does not count towards
     * majorities of the members yet; true until a heartbeat of its current
     * instance is received. */
    bool joining;
    /* Time at which this daemon received the peer's last heartbeat, on this
     * daemon's clock; TIME_UNKNOWN before the first. */
    AqTime last_heartbeat_at;
    /* Time, on this daemon's clock, before which the peer cannot have sent the
     * last heartbeat that this daemon received from it; TIME_UNKNOWN if no
     * such time is known. */
    AqTime sent_after;
    /* Time, on this daemon's clock, at or after which the peer last began a
     * read of the store that got a response; TIME_UNKNOWN if no such time is
     * known. */
    AqTime contact;
    /* One element for each daemon that the peer listed in its last heartbeat:
     * the daemon's id, and the milliseconds for which the peer had received no
     * heartbeat from that daemon when the peer sent the list.  NULL if the
     * list is empty. */
    AqWireCount *peer_ages;
    /* Number of elements of peer_ages. */
    size_t peer_age_count;
    /* One element for each VM that the peer listed in its last heartbeat as
     * drained (given no new requests): the VM's name, and the number of the
     * peer's own requests in flight on it.  NULL if the list is empty. */
    AqWireCount *leaving;
    /* Number of elements of "leaving". */
    size_t leaving_count;
} Peer;

typedef struct {
    /* The peers, members or not, in order of id; "count" of the "capacity"
     * elements are in use.  NULL before the first is added. */
    Peer *items;
    size_t count;
    size_t capacity;
} Peers;

/* Finds a peer; NULL if the table has none with this id. */
Peer *peers_find(const Peers *peers, const char *id);
/* Finds the peer with this id, or adds it as a peer from which no heartbeat
 * has been received; NULL if the table is full.  Adding a peer may move the
 * other peers, which makes pointers to them invalid. */
Peer *peers_add(Peers *peers, const char *id);
/* As peers_add(), but if the table is full, the new peer replaces the one that
 * has been silent the longest among those for which "keep" returns false; NULL
 * if there is none. */
Peer *peers_add_replacing(Peers *peers, const char *id,
                          bool (*keep)(const void *context, const char *id),
                          const void *context);
/* Removes the peers whose last heartbeat was received before "limit" and for
 * which "keep" returns false. */
void peers_prune(Peers *peers, AqTime limit,
                 bool (*keep)(const void *context, const char *id),
                 const void *context);
void peers_clear(Peers *peers);

/* Discards what this daemon learned from heartbeats of the peer's previous
 * instance, and sets peer->instance to "instance", the number of the peer's
 * new instance; 0 for a peer from which no heartbeat was received. */
void peer_reset(Peer *peer, uint64_t instance);
/* Copies seq, epoch, version, joining, peer_ages and leaving from the peer's
 * heartbeat "beat", which was received at "now", into "peer". */
void peer_store(Peer *peer, AqTime now, const AqMsgHeartbeat *beat);

/* Value of the item called "name" in "items", or "absent" if there is no such
 * item. */
int64_t count_value(const AqWireCount *items, size_t count, const char *name,
                    int64_t absent);

#endif
