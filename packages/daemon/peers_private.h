#ifndef PEERS_PRIVATE_H
#define PEERS_PRIVATE_H

#include "aq_buffer.h"
#include "peers.h"

/* What peers.c (sending), peers_members.c (whom to dial) and peers_in.c
 * (receiving) share. */

/* A connection that this daemon dialled; only for sending. */
typedef struct {
    AqLink link;
    Peers *peers;
    char id[AQ_WIRE_MAX_NAME]; /* "" for a seed */
    char address[32];          /* IP:port */
    int fd;                    /* -1 while not connected */
    AqWatch *watch;
    bool connected;
    bool wanted;  /* used while the list is refreshed */
    AqTime since; /* of the dial or the connect */
    AqTime retry_at;
    AqBuffer out;
} Outgoing;

/* A connection that a peer dialled; only for receiving. */
typedef struct {
    AqLink link;
    Peers *peers;
    char id[AQ_WIRE_MAX_NAME];      /* "" until HELLO was checked */
    char address[AQ_WIRE_MAX_NAME]; /* for the way back */
    int fd;
    AqWatch *watch;
    AqTime since;
    AqTime last_received_at; /* when the last bytes came */
    AqBuffer in;
} Incoming;

struct Peers {
    Daemon *daemon;
    int listener;
    uint16_t port;
    AqWatch *listener_watch;
    AqLink outgoing;
    AqLink incoming;
    size_t incoming_count;
    AqTimer heartbeat;
    AqTime last_heartbeat;
    uint64_t sent;
    uint64_t received;
};

/* ---- peers.c --------------------------------------------------------------
 */

/* The connection dialled to a peer, or NULL; borrowed. */
Outgoing *peers_find_outgoing(const Peers *peers, const char *id);
/* Closes a dialled connection and dials again a little later. */
void peers_schedule_redial(Outgoing *out, const char *why);

void peers_dial(Outgoing *out, AqTime now);
void peers_disconnect(Outgoing *out, AqTime retry_at);

/* ---- peers_members.c (Peers_Refresh) ---------------------------------------
 */

void peers_free_outgoing(Outgoing *out);

/* ---- peers_in.c -----------------------------------------------------------
 */

/* The connection that a peer dialled, or NULL; borrowed. */
Incoming *peers_find_incoming(const Peers *peers, const char *id);
void peers_free_incoming(Incoming *in);
/* A connection waits at the listener; the context is the Peers. */
void peers_on_listener(void *context, int events);

#endif
