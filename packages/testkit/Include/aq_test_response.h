#ifndef AQ_TEST_RESPONSE_H
#define AQ_TEST_RESPONSE_H

#include <stddef.h>

#include "aq_buffer.h"

/* Body of a simulated endpoint's response: the request id, the hash of the
 * request body and a checksum over the whole response.  With these a client
 * can distinguish an intact response to its own request from any other
 * response. */

/* Result of verifying a response body against one request. */
typedef enum {
    /* The response is intact and belongs to the request against which the
     * response was verified. */
    AQ_RESPONSE_OWN,
    /* The response is intact, but belongs to a request other than the one
     * against which the response was verified. */
    AQ_RESPONSE_FOREIGN,
    /* The response is truncated or was modified. */
    AQ_RESPONSE_DAMAGED
} AqTestResponseCheck;

/* Appends to out the response body, of at least "bytes" bytes, for the request
 * with this id and this request body of "size" bytes. */
void AqTestResponse_Build(AqBuffer *out, const char *id, const void *body,
                          size_t size, size_t bytes);
/* Verifies a response body against the request with this id and this request
 * body of "size" bytes, and returns the result. */
AqTestResponseCheck AqTestResponse_Check(const char *response,
                                         size_t response_size, const char *id,
                                         const void *body, size_t size);

#endif
