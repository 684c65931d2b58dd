#ifndef FORWARDER_H
#define FORWARDER_H

#include "aq_http_server.h"
#include "node.h"

/* Hands a caller's request to another node, for a node that the store turns
 * away while it serves others.  The peer does not hand it on again. */

typedef struct Forwarder Forwarder;

typedef struct {
    /* "IP:port" where another node takes callers, or NULL.  Borrowed. */
    const char *(*peer)(void *context);
} ForwarderOps;

Forwarder *forwarder_create(NodeContext *node, const ForwarderOps *ops,
                            void *context);
void forwarder_destroy(Forwarder *forwarder);

typedef struct {
    AqExchange *exchange;
    AqTime deadline;
    /* This node has sent the request to the store and does not know what
     * became of it, so that no later failure shows that nothing was done. */
    bool may_have_effect;
    /* Called once when the peer is done with it, NULL: not wanted.  With
     * "is_answered" false the outcome is still not known and the exchange is
     * the caller's again. */
    void (*done)(void *context, bool is_answered);
    void *context;
} ForwardOrder;

/* Sends the request to a peer and answers the exchange with its answer; false,
 * and nothing is done, when there is no peer, the request has been handed on
 * already, or peers have lately been turned away too. */
bool forwarder_send(Forwarder *forwarder, const ForwardOrder *order);

/* What the caller is told when a peer's answer is "status", or none came (0)
 * and "was_sent" says whether the peer may have got the request.  A refusal
 * says that nothing was done, which holds only where nothing can have been. */
int forwarder_status(int status, bool was_sent, bool is_read,
                     bool may_have_effect);

#endif
