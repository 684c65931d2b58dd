#ifndef FORWARDER_H
#define FORWARDER_H

#include "aq_http_server.h"
#include "node.h"

/* Forwards callers' requests to another node, the peer, when the store fails
 * this node's calls but may serve those of the peer.  A peer that fails to
 * serve a request is followed by another one, while time is left.  The peers
 * do not forward the requests again. */

typedef struct Forwarder Forwarder;

typedef struct {
    /* Returns the "IP:port" on which another node serves callers, borrowed,
     * among those that may_use accepts; NULL if there is none. */
    const char *(*peer)(void *context,
                        bool (*may_use)(const void *choice,
                                        const char *address),
                        const void *choice);
} ForwarderOps;

Forwarder *forwarder_create(NodeContext *node, const ForwarderOps *ops,
                            void *context);
void forwarder_destroy(Forwarder *forwarder);

typedef struct {
    AqExchange *exchange;
    AqTime deadline;
    /* This node has sent a write for the request to the store and got no
     * reply, so no later failure proves that nothing was done. */
    bool may_have_effect;
    /* Called once when the peer's response has arrived or the call to the peer
     * has failed.  With "has_responded" true, the exchange has got its
     * response; with false, the outcome of the request is still unknown and
     * the caller of forwarder_send owns the exchange again.  NULL: no
     * callback; the exchange always gets a response. */
    void (*done)(void *context, bool has_responded);
    void *context;
} ForwardOrder;

/* Sends the request to another node, the peer, and responds to the exchange
 * with the peer's response.  Returns false and does nothing if there is no
 * peer that has served requests lately (peer_choice.h), another node has
 * forwarded the request to this one, or too little time is left until the
 * deadline. */
bool forwarder_send(Forwarder *forwarder, const ForwardOrder *order);

/* Returns the HTTP status for the caller of a forwarded request when the peer
 * responded with "status", or didn't respond (0), in which case "was_sent"
 * says whether the peer may have received the request.  "is_read": the request
 * has no effect.  "may_have_effect": this node has sent a write for the
 * request to the store and got no reply.  A refusal tells the caller that
 * nothing was done, so that only a peer's 2xx or 410 is returned if a write
 * for the request can have taken effect; otherwise the status is 504. */
int forwarder_status(int status, bool was_sent, bool is_read,
                     bool may_have_effect);

#endif
