#include "forwarder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller_responses.h"
#include "aq_log.h"

enum {
    /* A request is not forwarded with less than this left until its deadline,
     * because another node could not respond in time. */
    MIN_REMAINING_MS = 300,
    /* Time kept before a request's deadline for the response to reach the
     * caller. */
    RESPONSE_RESERVE_MS = 150,
    CONNECT_TIMEOUT_MS = 250,
    /* For this long after a peer failed to serve a request, no request is
     * forwarded. */
    PEER_FAILURE_PAUSE_MS = 500,
    MAX_RESPONSE_BYTES = 65536
};

/* HTTP header that marks a forwarded request, so that the receiving node does
 * not forward it again. */
static const char forwarded_header[] = "Aq-Forwarded";

struct Forwarder {
    NodeContext *node;
    ForwarderOps ops;
    void *context;
    AqTime pause_until;
};

typedef struct {
    Forwarder *forwarder;
    ForwardOrder order;
    char peer[32];
    AqTime sent_at;
    bool is_read; /* the request is a GET, which is safe to repeat */
} Forward;

static void
respond(const Forward *forward, int status, const char *body, size_t size)
{
    AqLog_Event(status >= 400 ? AQ_LOG_WARNING : AQ_LOG_INFO, "forwarded",
                "path=%s method=%s peer=%s status=%d took_ms=%lld",
                AqLog_Quote(AqExchange_Path(forward->order.exchange)),
                AqExchange_Method(forward->order.exchange), forward->peer,
                status,
                (long long)(AqLoop_Now(forward->forwarder->node->loop) -
                            forward->sent_at));
    respond_json(forward->order.exchange, status, body, size);
}

int
forwarder_status(int status, bool was_sent, bool is_read, bool may_have_effect)
{
    bool is_refusal = status == 429 || status == 503;
    if (status != 0 && !(is_refusal && may_have_effect)) {
        return status;
    }
    if (may_have_effect || (status == 0 && was_sent && !is_read)) {
        return 504;
    }
    return 503;
}

static void
on_peer_reply(void *context, const AqHttpReply *reply)
{
    Forward *forward = context;
    Forwarder *forwarder = forward->forwarder;
    bool is_complete = reply->result == AQ_HTTP_DONE;
    if (!is_complete || reply->status == 503) {
        forwarder->pause_until =
            AqLoop_Now(forwarder->node->loop) + PEER_FAILURE_PAUSE_MS;
    }
    int status = forwarder_status(
        is_complete ? reply->status : 0, reply->result != AQ_HTTP_NOT_SENT,
        forward->is_read, forward->order.may_have_effect);
    bool has_responded = status != 504 || !forward->order.may_have_effect ||
                         forward->order.done == NULL;
    if (!has_responded) {
        AqLog_Event(AQ_LOG_WARNING, "forward_failed",
                    "path=%s peer=%s result=%d status=%d",
                    AqLog_Quote(AqExchange_Path(forward->order.exchange)),
                    forward->peer, (int)reply->result, reply->status);
    }
    else if (is_complete && status == reply->status) {
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

static bool
may_forward(const Forwarder *forwarder, const AqExchange *exchange,
            AqTime deadline)
{
    AqTime now = AqLoop_Now(forwarder->node->loop);
    return AqExchange_Header(exchange, forwarded_header) == NULL &&
           forwarder->pause_until <= now && deadline - now > MIN_REMAINING_MS;
}

bool
forwarder_send(Forwarder *forwarder, const ForwardOrder *order)
{
    const AqExchange *exchange = order->exchange;
    const char *peer = forwarder->ops.peer(forwarder->context);
    const char *host = AqExchange_Header(exchange, "Host");
    size_t size;
    if (peer == NULL || host == NULL ||
        !may_forward(forwarder, exchange, order->deadline)) {
        return false;
    }
    Forward *forward = calloc(1, sizeof(*forward));
    forward->forwarder = forwarder;
    forward->order = *order;
    forward->sent_at = AqLoop_Now(forwarder->node->loop);
    forward->is_read = strcmp(AqExchange_Method(exchange), "GET") == 0;
    g_strlcpy(forward->peer, peer, sizeof(forward->peer));
    char *url =
        g_strdup_printf("http://%s%s", peer, AqExchange_Path(exchange));
    char *host_line = g_strdup_printf("Host: %s", host);
    char *forwarded_line = g_strdup_printf("%s: 1", forwarded_header);
    const char *headers[] = {host_line, forwarded_line,
                             "Content-Type: application/json", NULL};
    const char *body = AqExchange_Body(exchange, &size);
    AqHttpRequest request = {
        .method = AqExchange_Method(exchange),
        .url = url,
        .headers = headers,
        .body = body,
        .size = size,
        .has_body = size > 0,
        .timeout_ms = order->deadline - forward->sent_at - RESPONSE_RESERVE_MS,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_response_bytes = MAX_RESPONSE_BYTES,
    };
    AqHttpClient_Start(forwarder->node->http, &request, on_peer_reply,
                       forward);
    g_free(url);
    g_free(host_line);
    g_free(forwarded_line);
    return true;
}

Forwarder *
forwarder_create(NodeContext *node, const ForwarderOps *ops, void *context)
{
    Forwarder *forwarder = calloc(1, sizeof(*forwarder));
    forwarder->node = node;
    forwarder->ops = *ops;
    forwarder->context = context;
    return forwarder;
}

void
forwarder_destroy(Forwarder *forwarder)
{
    free(forwarder);
}
