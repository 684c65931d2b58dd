#ifndef FRONT_H
#define FRONT_H

#include "aq_http_server.h"
#include "forwarder.h"
#include "node.h"

/* Callers' requests: jobs are submitted, asked for and cancelled at any node.
 * A job is accepted when the store has it; an answer that depends on the
 * store says so when the store can't be reached. */

typedef struct Front Front;

typedef struct {
    /* Whether the node's copy of the configuration follows the store. */
    bool (*is_current)(void *context);
    /* Hands a request to another node; false when that is not possible. */
    bool (*forward)(void *context, const ForwardOrder *order);
} FrontOps;

Front *front_create(NodeContext *node, const FrontOps *ops, void *context);
void front_destroy(Front *front);

/* Handler for AqHttpServer; "context" is the Front. */
void front_handle(void *context, AqExchange *exchange);

#endif
