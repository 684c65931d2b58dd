#include "carrier_link.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_peer_socket.h"

enum {
    READ_BYTES = 16384,
    /* A peer that reads nothing for so many bytes is taken to be stuck. */
    MAX_OUTPUT_BYTES = 4 * 1024 * 1024
};

struct CarrierLink {
    AqLoop *loop;
    int fd;
    AqWatch *watch;
    AqTimer flush_timer; /* due at once, so that it fires after the round */
    AqBuffer in;
    AqBuffer out;
    CarrierLinkOps ops;
    void *context;
    bool is_connected;
    bool is_in_callback;
    bool is_destroyed;
};

static void
free_link(CarrierLink *link)
{
    AqTimer_Stop(&link->flush_timer);
    AqLoop_Unwatch(link->loop, link->watch);
    close(link->fd);
    AqBuffer_Clear(&link->in);
    AqBuffer_Clear(&link->out);
    free(link);
}

void
carrier_link_destroy(CarrierLink *link)
{
    if (link == NULL) {
        return;
    }
    link->is_destroyed = true;
    if (!link->is_in_callback) {
        free_link(link);
    }
}

/* ---- Writing ------------------------------------------------------------ */

/* Sends what the socket takes at once; the rest follows when it is writable.
 * Returns false if the connection has failed, with the reason. */
static bool
flush(CarrierLink *link, const char **reason)
{
    if (link->is_connected && link->out.size > 0) {
        /* One call a round: a peer that reads slowly takes a few bytes at a
         * time, and a loop until the socket is full would not end. */
        ssize_t n =
            send(link->fd, link->out.bytes, link->out.size, MSG_NOSIGNAL);
        if (n > 0) {
            AqBuffer_Consume(&link->out, (size_t)n);
        }
        else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
            *reason = strerror(errno);
            return false;
        }
    }
    if (link->out.size > MAX_OUTPUT_BYTES) {
        *reason = "the peer reads nothing";
        return false;
    }
    bool has_more = !link->is_connected || link->out.size > 0;
    AqLoop_SetEvents(link->loop, link->watch,
                     AQ_READABLE | (has_more ? AQ_WRITABLE : 0));
    return true;
}

AqBuffer *
carrier_link_output(CarrierLink *link)
{
    if (!AqList_IsLinked(&link->flush_timer.link)) {
        AqTimer_Start(link->loop, &link->flush_timer, AqLoop_Now(link->loop));
    }
    return &link->out;
}

bool
carrier_link_is_connected(const CarrierLink *link)
{
    return link->is_connected;
}

/* ---- Reading ------------------------------------------------------------ */

/* Passes on the complete messages.  Returns false if the bytes are malformed,
 * with the reason. */
static bool
pass_messages(CarrierLink *link, AqError *error)
{
    size_t done = 0;
    bool ok = true;
    while (!link->is_destroyed) {
        CarrierMessage message;
        size_t used;
        CarrierDecode result =
            carrier_decode(link->in.bytes + done, link->in.size - done, &used,
                           &message, error);
        if (result != CARRIER_COMPLETE) {
            ok = result == CARRIER_INCOMPLETE;
            break;
        }
        done += used;
        link->ops.message(link->context, &message);
        carrier_message_clear(&message);
    }
    AqBuffer_Consume(&link->in, done);
    return ok;
}

/* Reads what has arrived; returns false if the connection has ended, with the
 * reason. */
static bool
receive(CarrierLink *link, const char **reason, AqError *error)
{
    char bytes[READ_BYTES];
    ssize_t n;
    n = recv(link->fd, bytes, sizeof(bytes), 0);
    if (n > 0) {
        AqBuffer_Append(&link->in, bytes, (size_t)n);
    }
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        *reason = n == 0 ? "closed by the peer" : strerror(errno);
        return false;
    }
    if (link->in.size > 0 && !pass_messages(link, error)) {
        *reason = error->message;
        return false;
    }
    return true;
}

static void
on_event(void *context, int events)
{
    CarrierLink *link = context;
    const char *reason = "";
    AqError error;
    bool ok = true;
    link->is_in_callback = true;
    if (!link->is_connected) {
        link->is_connected = AqPeerSocket_IsConnected(link->fd);
        ok = link->is_connected;
        reason = "connect failed";
        if (ok && link->ops.connected != NULL) {
            link->ops.connected(link->context);
        }
    }
    if (ok && !link->is_destroyed && (events & AQ_READABLE)) {
        ok = receive(link, &reason, &error);
    }
    if (ok && !link->is_destroyed) {
        ok = flush(link, &reason);
    }
    if (!ok && !link->is_destroyed) {
        link->ops.closed(link->context, reason);
    }
    link->is_in_callback = false;
    if (link->is_destroyed) {
        free_link(link);
    }
}

static void
on_flush(void *context)
{
    const CarrierLink *link = context;
    /* Before the connection is established, its socket is watched. */
    if (link->is_connected) {
        on_event(context, 0);
    }
}

CarrierLink *
carrier_link_create(AqLoop *loop, int fd, bool is_connected,
                    const CarrierLinkOps *ops, void *context)
{
    CarrierLink *link = calloc(1, sizeof(*link));
    link->loop = loop;
    link->fd = fd;
    link->ops = *ops;
    link->context = context;
    link->is_connected = is_connected;
    AqBuffer_Init(&link->in);
    AqBuffer_Init(&link->out);
    AqTimer_Init(&link->flush_timer, on_flush, link);
    link->watch =
        AqLoop_Watch(loop, fd, AQ_READABLE | (is_connected ? 0 : AQ_WRITABLE),
                     on_event, link, NULL);
    if (link->watch == NULL) {
        close(fd);
        free(link);
        return NULL;
    }
    return link;
}
