#ifndef CALLER_RESPONSES_H
#define CALLER_RESPONSES_H

#include <stddef.h>

#include "aq_http_server.h"

/* Answers to callers, by this node or with what a peer has answered. */

/* Nothing was done (503), and: what was done is not known (504). */
extern const char response_unavailable[];
extern const char response_unknown[];

/* Answers with JSON; a refusal says when to come back. */
void respond_json(AqExchange *exchange, int status, const char *body,
                  size_t size);

#endif
