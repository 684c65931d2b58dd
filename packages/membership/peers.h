#ifndef AQ_PEERS_H
#define AQ_PEERS_H

#include "aq_membership.h"

enum {
    /* Peers remembered, members or not.  Bounds the memory that strangers
     * with the right secret can use. */
    PEERS_MAX = 512
};

/* No time known. */
#define TIME_UNKNOWN INT64_MIN

/* What the last heartbeats of one peer said. */
typedef struct {
    char id[AQ_WIRE_MAX_NAME];
    uint64_t hash;     /* for rendezvous */
    uint64_t instance; /* 0: never heard */
    uint64_t seq;
    int64_t epoch;
    int64_t version;
    bool joining;
    AqTime last_heartbeat_at; /* receipt of the last heartbeat */
    AqTime sent_after;        /* lower bound of when it was sent, own clock */
    AqTime contact; /* lower bound of its last store contact, own clock */
    AqWireCount *peer_ages; /* owned copies of the last lists */
    size_t peer_age_count;
    AqWireCount *leaving;
    size_t leaving_count;
} Peer;

typedef struct {
    Peer *items; /* in order of id */
    size_t count;
    size_t capacity;
} Peers;

Peer *peers_find(const Peers *peers, const char *id);
/* Finds or adds; NULL when the table is full. */
Peer *peers_add(Peers *peers, const char *id);
/* Drops peers last heard before "limit" for which "keep" is false. */
void peers_prune(Peers *peers, AqTime limit,
                 bool (*keep)(const void *context, const char *id),
                 const void *context);
void peers_clear(Peers *peers);

/* Forgets what an earlier instance of the peer reported. */
void peer_restart(Peer *peer, uint64_t instance);
/* Copies the fields and lists of a heartbeat. */
void peer_store(Peer *peer, AqTime now, const AqMsgHeartbeat *beat);

/* The value for "name" in a list, or "absent". */
int64_t count_value(const AqWireCount *items, size_t count, const char *name,
                    int64_t absent);

#endif
