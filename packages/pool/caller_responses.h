#ifndef CALLER_RESPONSES_H
#define CALLER_RESPONSES_H

#include <stddef.h>

#include "aq_http_server.h"
#include "node.h"

/* HTTP responses to callers, from this node or passed on from another. */

/* JSON bodies of error responses: response_unavailable for status 503 (nothing
 * was done), response_unknown for status 504 (the outcome of the request is
 * unknown). */
extern const char response_unavailable[];
extern const char response_unknown[];
extern const char response_overload[]; /* status 429 */

typedef struct {
    int status;
    const char *body; /* borrowed */
    size_t size;      /* length of the body, bytes */
} CallerResponse;

/* Replaces a refusal (429 or 503) of a submission, which promises that the job
 * never runs, if this node knows better: by 200 if the job is stored, by 504
 * if another request of the caller for it has an open outcome.  To be called
 * for each response before respond_json. */
void correct_refusal(NodeContext *node, const AqExchange *exchange,
                     CallerResponse *response);

/* Sends a JSON response; statuses 429 and 503 get a Retry-After header of
 * retry_after_s or, if that is 0, of a time that depends on how long the store
 * has not served this node. */
void respond_json(NodeContext *node, AqExchange *exchange, int status,
                  const char *body, size_t size, int retry_after_s);

#endif
