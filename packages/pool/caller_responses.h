#ifndef CALLER_RESPONSES_H
#define CALLER_RESPONSES_H

#include <stddef.h>

#include "aq_http_server.h"

/* HTTP responses to callers, from this node or passed on from another. */

/* JSON bodies of error responses: response_unavailable for status 503 (nothing
 * was done), response_unknown for status 504 (the outcome of the request is
 * unknown). */
extern const char response_unavailable[];
extern const char response_unknown[];

/* Sends a JSON response; statuses 429 and 503 get a Retry-After header of
 * one second. */
void respond_json(AqExchange *exchange, int status, const char *body,
                  size_t size);

#endif
