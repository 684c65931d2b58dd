#include "forwarder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller_responses.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "peer_choice.h"

enum {
    /* A request is not forwarded with less than this left until its deadline,
     * because another node could not respond in time. */
    MIN_REMAINING_MS = 300,
    /* Time kept before a request's deadline for the response to reach the
     * caller. */
    RESPONSE_RESERVE_MS = 150,
    CONNECT_TIMEOUT_MS = 250,
    /* Most peers that one request is sent to, so that an outage of the whole
     * store does not multiply the requests. */
    MAX_PEER_TRIES = 3,
    MAX_RESPONSE_BYTES = 65536
};

/* HTTP header that marks a forwarded request, so that the receiving node does
 * not forward it again. */
static const char forwarded_header[] = "Aq-Forwarded";
/* HTTP header of a forwarded request: the version of the configuration of the
 * node that forwards it. */
static const char version_header[] = "Aq-Config-Version";

struct Forwarder {
    NodeContext *node;
    ForwarderOps ops;
    void *context;
    PeerChoice *choice;
};

typedef struct {
    Forwarder *forwarder;
    ForwardOrder order;
    char peer[32];
    AqTime sent_at; /* when the request was sent to the first peer */
    unsigned tries; /* number of peers that the request was sent to */
    bool is_read;   /* the request is a GET, which is safe to repeat */
    /* A write for the request, of this node or of an earlier peer, got no
     * reply. */
    bool may_have_effect;
} Forward;

static void
respond(const Forward *forward, int status, const char *body, size_t size)
{
    CallerResponse response = {status, body, size};
    correct_refusal(forward->forwarder->node, forward->order.exchange,
                    &response);
    AqLog_Event(response.status >= 400 ? AQ_LOG_WARNING : AQ_LOG_INFO,
                "forwarded",
                "path=%s method=%s peer=%s tries=%u status=%d took_ms=%lld",
                AqLog_Quote(AqExchange_Path(forward->order.exchange)),
                AqExchange_Method(forward->order.exchange), forward->peer,
                forward->tries, response.status,
                (long long)(AqLoop_Now(forward->forwarder->node->loop) -
                            forward->sent_at));
    respond_json(forward->forwarder->node, forward->order.exchange,
                 response.status, response.body, response.size, 0);
}

int
forwarder_status(int status, bool was_sent, bool is_read, bool may_have_effect)
{
    /* Of a request whose earlier copy may have taken effect, a peer's success,
     * or 410 to a cancellation, tells the outcome.  A refusal, or a 404 of a
     * peer with another configuration, tells only that the peer did nothing.
     */
    bool is_outcome = (status >= 200 && status < 300) || status == 410;
    if (status != 0 && (is_outcome || !may_have_effect)) {
        return status;
    }
    if (may_have_effect || (status == 0 && was_sent && !is_read)) {
        return 504;
    }
    return 503;
}

/* Ends a forwarded request with the HTTP status of the last peer, 0 if that
 * peer did not respond. */
static void
finish(Forward *forward, int peer_status, bool was_sent,
       const AqHttpReply *reply)
{
    int status = forwarder_status(peer_status, was_sent, forward->is_read,
                                  forward->may_have_effect);
    bool has_responded = status != 504 || !forward->order.may_have_effect ||
                         forward->order.done == NULL;
    if (!has_responded) {
        AqLog_Event(AQ_LOG_WARNING, "forward_failed",
                    "path=%s peer=%s result=%d status=%d tries=%u",
                    AqLog_Quote(AqExchange_Path(forward->order.exchange)),
                    forward->peer, (int)reply->result, reply->status,
                    forward->tries);
    }
    else if (status == peer_status) {
        respond(forward, status, reply->body, reply->size);
    }
    else {
        const char *body =
            status == 503 ? response_unavailable : response_unknown;
        respond(forward, status, body, strlen(body));
    }
    if (forward->order.done != NULL) {
        forward->order.done(forward->order.context, has_responded);
    }
    free(forward);
}

static bool send_to_peer(Forward *forward);

static void
on_peer_reply(void *context, const AqHttpReply *reply)
{
    Forward *forward = context;
    Forwarder *forwarder = forward->forwarder;
    AqTime now = AqLoop_Now(forwarder->node->loop);
    bool was_sent = reply->result != AQ_HTTP_NOT_SENT;
    int status = reply->result == AQ_HTTP_DONE ? reply->status : 0;
    if (status != 0 && status != 503) {
        peer_choice_served(forwarder->choice, forward->peer, now);
        finish(forward, status, was_sent, reply);
        return;
    }
    peer_choice_failed(forwarder->choice, forward->peer, now);
    /* Submissions and cancellings are idempotent, so that another peer may get
     * the request also after a peer without a response. */
    bool had_effect = forward->may_have_effect;
    forward->may_have_effect |= status == 0 && was_sent && !forward->is_read;
    if (forward->tries < MAX_PEER_TRIES && send_to_peer(forward)) {
        return;
    }
    forward->may_have_effect = had_effect;
    finish(forward, status, was_sent, reply);
}

static bool
may_use_peer(const void *context, const char *address)
{
    const Forwarder *forwarder = context;
    return peer_choice_may_use(forwarder->choice, address,
                               AqLoop_Now(forwarder->node->loop));
}

/* Chooses a peer and sends the request; returns false if there is no peer or
 * too little time. */
static bool
send_to_peer(Forward *forward)
{
    Forwarder *forwarder = forward->forwarder;
    const AqExchange *exchange = forward->order.exchange;
    AqTime now = AqLoop_Now(forwarder->node->loop);
    AqTime left = forward->order.deadline - now;
    if (left <= MIN_REMAINING_MS ||
        !peer_choice_may_forward(forwarder->choice, now)) {
        return false;
    }
    const char *peer =
        forwarder->ops.peer(forwarder->context, may_use_peer, forwarder);
    const char *host = AqExchange_Header(exchange, "Host");
    size_t size;
    if (peer == NULL || host == NULL) {
        return false;
    }
    forward->tries++;
    g_strlcpy(forward->peer, peer, sizeof(forward->peer));
    char *url =
        g_strdup_printf("http://%s%s", peer, AqExchange_Path(exchange));
    char *host_line = g_strdup_printf("Host: %s", host);
    char *forwarded_line = g_strdup_printf("%s: 1", forwarded_header);
    char *version_line = g_strdup_printf(
        "%s: %lld", version_header, (long long)forwarder->node->site.version);
    /* The peer checks the key by its own configuration, which may be newer. */
    const char *key = AqExchange_Header(exchange, AqPlatform_KeyHeader);
    char *key_line = key != NULL
                         ? g_strdup_printf("%s: %s", AqPlatform_KeyHeader, key)
                         : NULL;
    const char *headers[] = {host_line,    forwarded_line,
                             version_line, "Content-Type: application/json",
                             key_line,     NULL};
    const char *body = AqExchange_Body(exchange, &size);
    AqHttpRequest request = {
        .method = AqExchange_Method(exchange),
        .url = url,
        .headers = headers,
        .body = body,
        .size = size,
        .has_body = size > 0,
        .may_repeat = forward->is_read,
        .timeout_ms = left - RESPONSE_RESERVE_MS,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_response_bytes = MAX_RESPONSE_BYTES,
    };
    AqHttpClient_Start(forwarder->node->http, &request, on_peer_reply,
                       forward);
    g_free(url);
    g_free(host_line);
    g_free(forwarded_line);
    g_free(version_line);
    g_free(key_line);
    return true;
}

bool
forwarder_is_sender_newer(const AqExchange *exchange, int64_t version)
{
    const char *text = AqExchange_Header(exchange, version_header);
    return AqExchange_Header(exchange, forwarded_header) != NULL &&
           text != NULL && strtoll(text, NULL, 10) > version;
}

bool
forwarder_send(Forwarder *forwarder, const ForwardOrder *order)
{
    if (AqExchange_Header(order->exchange, forwarded_header) != NULL) {
        return false;
    }
    Forward *forward = calloc(1, sizeof(*forward));
    forward->forwarder = forwarder;
    forward->order = *order;
    forward->may_have_effect = order->may_have_effect;
    forward->sent_at = AqLoop_Now(forwarder->node->loop);
    forward->is_read = strcmp(AqExchange_Method(order->exchange), "GET") == 0;
    if (!send_to_peer(forward)) {
        free(forward);
        return false;
    }
    return true;
}

Forwarder *
forwarder_create(NodeContext *node, const ForwarderOps *ops, void *context)
{
    Forwarder *forwarder = calloc(1, sizeof(*forwarder));
    forwarder->node = node;
    forwarder->ops = *ops;
    forwarder->context = context;
    forwarder->choice = peer_choice_create();
    return forwarder;
}

void
forwarder_destroy(Forwarder *forwarder)
{
    if (forwarder != NULL) {
        peer_choice_destroy(forwarder->choice);
        free(forwarder);
    }
}
