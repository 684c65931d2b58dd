#ifndef PEERS_PRIVATE_H
#define PEERS_PRIVATE_H

#include "aq_buffer.h"
#include "peers.h"

/* Declarations shared by peers.c (sending), peers_members.c (which peers to
 * dial) and peers_in.c (receiving). */

/* A connection that this daemon dialled; used only for sending. */
typedef struct {
    AqLink link;
    Peers *peers;
    /* The peer's id; "" for a seed (address in the setting peers.seeds), whose
     * id is not known yet. */
    char id[AQ_WIRE_MAX_NAME];
    char address[32]; /* the peer's IP:port */
    int fd;           /* socket of the connection, -1 while closed */
    AqWatch *watch;
    bool connected;
    /* This daemon must dial the peer; set by Peers_Refresh. */
    bool is_required;
    /* When the connection was established or, until then, dialled. */
    AqTime since;
    AqTime retry_at; /* time from which the peer may be dialled again */
    AqBuffer out;    /* bytes waiting to be sent to the peer */
} Outgoing;

/* A connection that a peer dialled; used only for receiving. */
typedef struct {
    AqLink link;
    Peers *peers;
    /* The peer's id; "" before its HELLO message. */
    char id[AQ_WIRE_MAX_NAME];
    char address[AQ_WIRE_MAX_NAME]; /* IP:port at which to dial the peer */
    int fd;
    AqWatch *watch;
    AqTime since;            /* when the connection was accepted */
    AqTime last_received_at; /* when the peer's last bytes arrived */
    AqBuffer in; /* bytes received from the peer, not handled yet */
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
    uint64_t sent;     /* bytes sent to peers since the daemon started */
    uint64_t received; /* bytes received from peers since the daemon started */
};

/* ---- peers.c ------------------------------------------------------------ */

/* Returns the connection that this daemon dialled to a peer, or NULL.  The
 * connection is owned by "peers". */
Outgoing *peers_find_outgoing(const Peers *peers, const char *id);
/* Closes a connection that this daemon dialled and dials the peer again after
 * a short delay.  "why" is the reason for the log. */
void peers_schedule_redial(Outgoing *out, const char *why);

/* Begins to connect to a peer. */
void peers_dial(Outgoing *out, AqTime now);
/* Closes a connection that this daemon dialled; the peer may be dialled again
 * from "retry_at". */
void peers_disconnect(Outgoing *out, AqTime retry_at);

/* ---- peers_members.c (Peers_Refresh) ------------------------------------ */

void peers_free_outgoing(Outgoing *out);

/* ---- peers_in.c --------------------------------------------------------- */

/* Returns the connection that a peer dialled to this daemon, or NULL.  The
 * connection is owned by "peers". */
Incoming *peers_find_incoming(const Peers *peers, const char *id);
void peers_free_incoming(Incoming *in);
/* Accepts a connection of a peer that waits at the listener; "context" is the
 * Peers. */
void peers_on_listener(void *context, int events);

#endif
