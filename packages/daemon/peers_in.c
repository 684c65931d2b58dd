#include "peers_private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_log.h"
#include "aq_peer_socket.h"

enum {
    /* If a peer reports that it has received no heartbeat of this daemon for
     * this long, this daemon dials the peer again. */
    HEARTBEAT_LOST_MS = 2000,
    READ_BYTES = 65536,
    MAX_INCOMING_CONNECTIONS = 256,
    /* Longest wait for the HELLO message, which identifies the peer, on a new
     * connection.  A connection without this message is closed when the next
     * connection arrives after that time. */
    HELLO_TIMEOUT_MS = 3000
};

void
peers_free_incoming(Incoming *in)
{
    AqLoop_Unwatch(in->peers->daemon->loop, in->watch);
    close(in->fd);
    AqList_Remove(&in->link);
    in->peers->incoming_count--;
    AqBuffer_Clear(&in->in);
    free(in);
}

Incoming *
peers_find_incoming(const Peers *peers, const char *id)
{
    AqList_ForEach(at, &peers->incoming)
    {
        Incoming *in = AqList_Entry(at, Incoming, link);
        if (strcmp(in->id, id) == 0) {
            return in;
        }
    }
    return NULL;
}

static bool
check_hello(Incoming *in, const AqMsg *msg)
{
    const AqSettings *settings = in->peers->daemon->settings;
    if (msg->type != AQ_MSG_HELLO ||
        strcmp(msg->as.hello.secret, settings->peers_secret) != 0) {
        AqLog_Event(AQ_LOG_WARNING, "peer_refused",
                    "reason=\"wrong secret or no HELLO; set the same "
                    "peers.secret on all entry VMs\"");
        return false;
    }
    if (strcmp(msg->as.hello.id, settings->node_id) == 0) {
        if (msg->as.hello.instance != in->peers->daemon->instance) {
            AqLog_Event(AQ_LOG_ERROR, "peer_refused",
                        "reason=\"another daemon has the same node.id; give "
                        "each entry VM its own\" id=%s",
                        settings->node_id);
        }
        return false;
    }
    /* An older connection of the same peer is closed, so that no message on
     * the older connection is handled after the first message on the newer
     * one. */
    Incoming *older = peers_find_incoming(in->peers, msg->as.hello.id);
    if (older != NULL) {
        /* Messages that still arrive on a connection without an id are
         * rejected. */
        older->id[0] = '\0';
        shutdown(older->fd, SHUT_RD);
    }
    memcpy(in->id, msg->as.hello.id, sizeof(in->id));
    memcpy(in->address, msg->as.hello.address, sizeof(in->address));
    Peers_Refresh(in->peers);
    return true;
}

/* Dials a peer again if the heartbeat "beat" reports that the peer has
 * received no heartbeat of this daemon for HEARTBEAT_LOST_MS, although the
 * connection is open. */
static void
check_heartbeats_received(Incoming *in, const AqMsgHeartbeat *beat)
{
    AqTime now = AqLoop_Now(in->peers->daemon->loop);
    Outgoing *out = peers_find_outgoing(in->peers, in->id);
    if (out == NULL || !out->connected ||
        now - out->since < HEARTBEAT_LOST_MS) {
        return;
    }
    for (size_t i = 0; i < beat->peer_age_count; i++) {
        if (strcmp(beat->peer_ages[i].name,
                   in->peers->daemon->settings->node_id) == 0 &&
            beat->peer_ages[i].value < HEARTBEAT_LOST_MS) {
            return;
        }
    }
    peers_schedule_redial(out,
                          "the peer receives no heartbeats from this daemon");
}

/* Handles all complete frames (messages) that were received on a connection.
 * Returns false if the connection must be closed. */
static bool
handle_frames(Incoming *in)
{
    size_t at = 0;
    bool ok = true;
    while (ok) {
        AqMsg msg;
        AqError error;
        size_t used = 0;
        AqWireResult result =
            AqWire_Decode(AqBuffer_Text(&in->in) + at, in->in.size - at, &msg,
                          &used, &error);
        if (result == AQ_WIRE_NEED_MORE) {
            break;
        }
        if (result == AQ_WIRE_BAD) {
            AqLog_Event(AQ_LOG_WARNING, "peer_bad_frame", "peer=%s error=%s",
                        in->id[0] != '\0' ? in->id : "-",
                        AqLog_Quote(error.message));
            return false;
        }
        at += used;
        if (in->id[0] == '\0') {
            ok = check_hello(in, &msg);
        }
        else {
            if (msg.type == AQ_MSG_HEARTBEAT) {
                check_heartbeats_received(in, &msg.as.heartbeat);
            }
            Daemon_PeerMessage(in->peers->daemon, in->id, &msg);
        }
        AqMsg_Clear(&msg);
    }
    AqBuffer_Consume(&in->in, at);
    return ok;
}

static void
on_incoming(void *context, int events)
{
    Incoming *in = context;
    char bytes[READ_BYTES];
    (void)events;
    ssize_t n = recv(in->fd, bytes, sizeof(bytes), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return;
    }
    if (n > 0) {
        in->last_received_at = AqLoop_Now(in->peers->daemon->loop);
        in->peers->received += (uint64_t)n;
        AqBuffer_Append(&in->in, bytes, (size_t)n);
        if (handle_frames(in)) {
            return;
        }
    }
    if (in->id[0] != '\0') {
        AqMembership_Disconnected(in->peers->daemon->membership,
                                  AqLoop_Now(in->peers->daemon->loop), in->id);
    }
    peers_free_incoming(in);
}

/* Closes the connections of peers that did not identify themselves with a
 * HELLO message in time. */
static void
drop_unidentified(Peers *peers, AqTime now)
{
    AqList_ForEachSafe(at, after, &peers->incoming)
    {
        Incoming *in = AqList_Entry(at, Incoming, link);
        if (in->id[0] == '\0' && now - in->since > HELLO_TIMEOUT_MS) {
            peers_free_incoming(in);
        }
    }
}

void
peers_on_listener(void *context, int events)
{
    Peers *peers = context;
    (void)events;
    drop_unidentified(peers, AqLoop_Now(peers->daemon->loop));
    int fd = AqPeerSocket_Accept(peers->listener);
    if (fd < 0) {
        return;
    }
    if (peers->incoming_count >= MAX_INCOMING_CONNECTIONS) {
        close(fd);
        return;
    }
    Incoming *in = calloc(1, sizeof(*in));
    in->peers = peers;
    in->fd = fd;
    in->since = AqLoop_Now(peers->daemon->loop);
    AqBuffer_Init(&in->in);
    in->watch = AqLoop_Watch(peers->daemon->loop, fd, AQ_READABLE, on_incoming,
                             in, NULL);
    if (in->watch == NULL) {
        close(fd);
        free(in);
        return;
    }
    AqList_Append(&peers->incoming, &in->link);
    peers->incoming_count++;
}
