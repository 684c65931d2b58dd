#include "peers_private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_buffer.h"
#include "aq_log.h"
#include "aq_peer_socket.h"

enum {
    DIAL_RETRY_MS = 500,
    /* Least time between two heartbeats to the peers, also when the second is
     * sent early (Peers_TriggerHeartbeat). */
    MIN_HEARTBEAT_INTERVAL_MS = 20,
    /* Longest wait for a dialled connection to be established before it is
     * closed and dialled again. */
    CONNECT_TIMEOUT_MS = 2000,
    /* A connected peer that sends nothing for this long may have lost the
     * connections of both directions without an error, so that neither end can
     * report the loss.  This daemon then dials the peer again. */
    PEER_SILENT_MS = 4000,
    /* Greatest number of bytes that may wait to be sent to one peer; the
     * connection is closed and dialled again when there are more. */
    MAX_QUEUED_BYTES = 4 * 1024 * 1024
};

/* ---- Sending ------------------------------------------------------------ */

void
peers_disconnect(Outgoing *out, AqTime retry_at)
{
    if (out->fd >= 0) {
        AqLoop_Unwatch(out->peers->daemon->loop, out->watch);
        close(out->fd);
        out->fd = -1;
    }
    out->connected = false;
    out->retry_at = retry_at;
    AqBuffer_Clear(&out->out);
}

void
peers_schedule_redial(Outgoing *out, const char *why)
{
    AqTime now = AqLoop_Now(out->peers->daemon->loop);
    if (out->connected) {
        AqLog_Event(AQ_LOG_WARNING, "peer_disconnected",
                    "peer=%s address=%s reason=%s", out->id, out->address,
                    AqLog_Quote(why));
    }
    peers_disconnect(out, now + DIAL_RETRY_MS);
}

static void
flush(Outgoing *out)
{
    while (out->out.size > 0) {
        ssize_t n = send(out->fd, out->out.bytes, out->out.size, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (n <= 0) {
            peers_schedule_redial(out, strerror(errno));
            return;
        }
        out->peers->sent += (uint64_t)n;
        AqBuffer_Consume(&out->out, (size_t)n);
    }
    AqLoop_SetEvents(out->peers->daemon->loop, out->watch,
                     AQ_READABLE | (out->out.size > 0 ? AQ_WRITABLE : 0));
}

void
Peers_Address(const Peers *peers, char address[AQ_WIRE_MAX_NAME])
{
    const AqSettings *settings = peers->daemon->settings;
    if (settings->peers_advertise[0] != '\0') {
        snprintf(address, AQ_WIRE_MAX_NAME, "%s", settings->peers_advertise);
    }
    else {
        snprintf(address, AQ_WIRE_MAX_NAME, "%s:%u", settings->peers_address,
                 peers->port);
    }
}

static void
send_hello(Outgoing *out)
{
    const Daemon *daemon = out->peers->daemon;
    AqMsg msg = {.type = AQ_MSG_HELLO};
    AqMsgHello *hello = &msg.as.hello;
    strncpy(hello->id, daemon->settings->node_id, sizeof(hello->id) - 1);
    strncpy(hello->secret, daemon->settings->peers_secret,
            sizeof(hello->secret) - 1);
    Peers_Address(out->peers, hello->address);
    hello->instance = daemon->instance;
    hello->epoch = AqMembership_Epoch(daemon->membership);
    AqWire_Encode(&msg, &out->out);
}

static void
on_outgoing(void *context, int events)
{
    Outgoing *out = context;
    if (!out->connected) {
        if (!AqPeerSocket_IsConnected(out->fd)) {
            peers_schedule_redial(out, "connect failed");
            return;
        }
        out->connected = true;
        out->since = AqLoop_Now(out->peers->daemon->loop);
        AqLog_Event(AQ_LOG_DEBUG, "peer_connected", "peer=%s address=%s",
                    out->id, out->address);
        send_hello(out);
    }
    if (events & AQ_READABLE) {
        char byte;
        ssize_t n = recv(out->fd, &byte, 1, 0);
        if (n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            peers_schedule_redial(out, n == 0 ? "closed by the peer"
                                              : "unexpected bytes or error");
            return;
        }
    }
    flush(out);
}

void
peers_dial(Outgoing *out, AqTime now)
{
    char ip[16];
    uint16_t port;
    AqLoop *loop = out->peers->daemon->loop;
    out->retry_at = now + DIAL_RETRY_MS;
    if (!AqPeerSocket_Parse(out->address, ip, &port)) {
        return;
    }
    out->fd = AqPeerSocket_Connect(ip, port);
    if (out->fd < 0) {
        return;
    }
    out->since = now;
    out->watch =
        AqLoop_Watch(loop, out->fd, AQ_WRITABLE, on_outgoing, out, NULL);
    if (out->watch == NULL) {
        close(out->fd);
        out->fd = -1;
    }
}

static bool
is_peer_silent(const Outgoing *out, AqTime now)
{
    const Incoming *in =
        out->id[0] != '\0' ? peers_find_incoming(out->peers, out->id) : NULL;
    return out->connected && out->id[0] != '\0' &&
           now - out->since > PEER_SILENT_MS &&
           (in == NULL || now - in->last_received_at > PEER_SILENT_MS);
}

static void
dial_all(Peers *peers, AqTime now)
{
    AqList_ForEach(at, &peers->outgoing)
    {
        Outgoing *out = AqList_Entry(at, Outgoing, link);
        if (out->fd >= 0 && !out->connected &&
            now - out->since > CONNECT_TIMEOUT_MS) {
            peers_schedule_redial(out, "connect timed out");
        }
        if (is_peer_silent(out, now)) {
            peers_schedule_redial(out, "no bytes received from the peer");
            out->retry_at = now;
        }
        if (out->fd < 0 && out->retry_at <= now) {
            peers_dial(out, now);
        }
    }
}

static bool
send_on(Outgoing *out, const AqMsg *msg)
{
    if (!out->connected) {
        return false;
    }
    if (out->out.size > MAX_QUEUED_BYTES) {
        peers_schedule_redial(out, "the send buffer is full");
        return false;
    }
    AqWire_Encode(msg, &out->out);
    flush(out);
    return out->connected;
}

Outgoing *
peers_find_outgoing(const Peers *peers, const char *id)
{
    AqList_ForEach(at, &peers->outgoing)
    {
        Outgoing *out = AqList_Entry(at, Outgoing, link);
        if (strcmp(out->id, id) == 0) {
            return out;
        }
    }
    return NULL;
}

bool
Peers_Send(Peers *peers, const char *to, const AqMsg *msg)
{
    Outgoing *out = peers_find_outgoing(peers, to);
    if (out != NULL) {
        return send_on(out, msg);
    }
    /* While this daemon has no fleet document, it does not know the ids of the
     * seeds (addresses in the setting peers.seeds), and the message goes to
     * all seeds. */
    bool sent = false;
    AqList_ForEach(at, &peers->outgoing)
    {
        Outgoing *seed = AqList_Entry(at, Outgoing, link);
        if (seed->id[0] == '\0') {
            sent = send_on(seed, msg) || sent;
        }
    }
    return sent;
}

bool
Peers_IsConnected(const Peers *peers, const char *to)
{
    const Outgoing *out = peers_find_outgoing(peers, to);
    return out != NULL && out->connected;
}

static void
on_heartbeat(void *context)
{
    Peers *peers = context;
    AqTime now = AqLoop_Now(peers->daemon->loop);
    AqMsg msg = {.type = AQ_MSG_HEARTBEAT};
    peers->last_heartbeat = now;
    Peers_Refresh(peers);
    dial_all(peers, now);
    Daemon_FillHeartbeat(peers->daemon, &msg.as.heartbeat);
    AqList_ForEach(at, &peers->outgoing)
    {
        send_on(AqList_Entry(at, Outgoing, link), &msg);
    }
    AqMsg_Clear(&msg);
    AqTimer_Start(peers->daemon->loop, &peers->heartbeat,
                  now + AQ_HEARTBEAT_MS);
}

void
Peers_TriggerHeartbeat(Peers *peers)
{
    AqTime due = peers->last_heartbeat + MIN_HEARTBEAT_INTERVAL_MS;
    AqTime now = AqLoop_Now(peers->daemon->loop);
    if (due < now) {
        due = now;
    }
    if (due < peers->heartbeat.due) {
        AqTimer_Start(peers->daemon->loop, &peers->heartbeat, due);
    }
}

/* ---- Lifecycle ---------------------------------------------------------- */

Peers *
Peers_Create(Daemon *daemon, AqError *error)
{
    Peers *peers = calloc(1, sizeof(*peers));
    peers->daemon = daemon;
    AqList_Init(&peers->outgoing);
    AqList_Init(&peers->incoming);
    AqTimer_Init(&peers->heartbeat, on_heartbeat, peers);
    peers->port = (uint16_t)daemon->settings->peers_port;
    peers->listener = AqPeerSocket_Listen(daemon->settings->peers_address,
                                          &peers->port, error);
    if (peers->listener < 0) {
        goto error;
    }
    peers->listener_watch =
        AqLoop_Watch(daemon->loop, peers->listener, AQ_READABLE,
                     peers_on_listener, peers, error);
    if (peers->listener_watch == NULL) {
        goto error;
    }
    AqTimer_Start(daemon->loop, &peers->heartbeat, AqLoop_Now(daemon->loop));
    return peers;

error:
    Peers_Destroy(peers);
    return NULL;
}

void
Peers_Destroy(Peers *peers)
{
    if (peers == NULL) {
        return;
    }
    AqTimer_Stop(&peers->heartbeat);
    AqLink *link;
    while ((link = AqList_PopFirst(&peers->outgoing)) != NULL) {
        peers_free_outgoing(AqList_Entry(link, Outgoing, link));
    }
    while ((link = AqList_PopFirst(&peers->incoming)) != NULL) {
        peers_free_incoming(AqList_Entry(link, Incoming, link));
    }
    if (peers->listener >= 0) {
        AqLoop_Unwatch(peers->daemon->loop, peers->listener_watch);
        close(peers->listener);
    }
    free(peers);
}

uint16_t
Peers_Port(const Peers *peers)
{
    return peers->port;
}

void
Peers_GetTraffic(const Peers *peers, uint64_t *sent, uint64_t *received)
{
    *sent = peers->sent;
    *received = peers->received;
}
