#ifndef AQ_PEERS_H
#define AQ_PEERS_H

#include "aq_membership.h"

enum {
    /* Most peers in the table, members or not.  Bounds the memory that other
     * hosts with a valid secret can use. */
    PEERS_MAX = 512
};

/* AqTime value for an unknown time; it is before every other time. */
#define TIME_UNKNOWN INT64_MIN

/* State of one peer as its heartbeats reported it.  The lists are copies owned
 * by the peer. */
typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    uint64_t hash;     /* of the id; for rendezvous hashing */
    uint64_t instance; /* 0: no heartbeat received yet */
    uint64_t seq;
    int64_t epoch;
    int64_t version;
    bool joining;
    AqTime last_heartbeat_at; /* receipt of the last heartbeat, own clock */
    /* Lower bound, on this daemon's clock, of the time at which the peer sent
     * a heartbeat that has been received. */
    AqTime sent_after;
    /* Lower bound of the peer's last store contact, on the own clock. */
    AqTime contact;
    /* For each other daemon, milliseconds since the peer last received its
     * heartbeat. */
    AqWireCount *peer_ages;
    size_t peer_age_count;
    AqWireCount *leaving; /* leaving VMs and the peer's requests on them */
    size_t leaving_count;
} Peer;

typedef struct {
    Peer *items; /* in order of id */
    size_t count;
    size_t capacity;
} Peers;

/* Finds a peer; NULL if the table has none with this id. */
Peer *peers_find(const Peers *peers, const char *id);
/* Finds a peer or adds it without any report; NULL if the table is full.  The
 * call may move the other peers. */
Peer *peers_add(Peers *peers, const char *id);
/* Removes the peers whose last heartbeat was received before "limit" and for
 * which "keep" returns false. */
void peers_prune(Peers *peers, AqTime limit,
                 bool (*keep)(const void *context, const char *id),
                 const void *context);
void peers_clear(Peers *peers);

/* Discards the reports of the peer's previous instance and sets "instance". */
void peer_reset(Peer *peer, uint64_t instance);
/* Stores copies of the fields and lists of a heartbeat received at "now". */
void peer_store(Peer *peer, AqTime now, const AqMsgHeartbeat *beat);

/* Value for "name" in a list, or "absent" if the list does not contain it. */
int64_t count_value(const AqWireCount *items, size_t count, const char *name,
                    int64_t absent);

#endif
