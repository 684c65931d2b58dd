#ifndef ANSWERS_H
#define ANSWERS_H

#include <stddef.h>

#include "aq_http_server.h"

/* Answers to callers, by this node or with what a peer has answered. */

/* Nothing was done (503), and: what was done is not known (504). */
extern const char answer_unavailable[];
extern const char answer_unknown[];

/* Answers with JSON; a refusal says when to come back. */
void answer_json(AqExchange *exchange, int status, const char *body,
                 size_t size);

#endif
