#ifndef AQ_TEST_HTTP_H
#define AQ_TEST_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* HTTP client of tests and of the demo driver, based on libcurl. */

/* HTTP request that an AqTestHttpClient sends; the strings are borrowed until
 * the call has ended. */
typedef struct {
    const char *method;
    const char *url;
    /* Request headers as "Name: value", ended by a NULL entry; NULL for a
     * request without such headers. */
    const char *const *headers;
    /* Request body of "size" bytes; NULL for a request without a body. */
    const char *body;
    size_t size;     /* size of the request body in bytes */
    long timeout_ms; /* time limit of the HTTP call in ms; 0 selects 10 s */
} AqTestHttpCall;

/* HTTP response that an AqTestHttpClient received. */
typedef struct {
    long status;
    AqBuffer headers; /* status line and header lines as received */
    AqBuffer body;
} AqTestHttpReply;

void AqTestHttpReply_Clear(AqTestHttpReply *reply);
/* Copies the value of a response header into out, truncated to room bytes
 * with the final NUL.  Returns false when the response lacks the header. */
bool AqTestHttpReply_Header(const AqTestHttpReply *reply, const char *name,
                            char *out, size_t room);

/* HTTP client that keeps its connection open and reuses it for the next
 * call. */
typedef struct AqTestHttpClient AqTestHttpClient;

AqTestHttpClient *AqTestHttpClient_Create(void);
void AqTestHttpClient_Destroy(AqTestHttpClient *client);
/* Sends the request of a call and returns once the request is sent or the call
 * has failed.  A client supports one call at a time.  The strings of the call
 * are borrowed until AqTestHttpClient_Finish returns. */
bool AqTestHttpClient_Start(AqTestHttpClient *client,
                            const AqTestHttpCall *call, AqError *error);
/* Waits for the response to the call that AqTestHttpClient_Start sent, and
 * moves the response to *reply.  Fails with AQ_ERR_UNAVAILABLE when the
 * connection was refused, with AQ_ERR_TIMEOUT when no complete response
 * arrived within timeout_ms, and with AQ_ERR_PROTOCOL when the connection was
 * closed before the response was complete or for any other error of the
 * transfer. */
bool AqTestHttpClient_Finish(AqTestHttpClient *client, AqTestHttpReply *reply,
                             AqError *error);
/* Sends the request of a call and waits for the response.  Fails with
 * AQ_ERR_UNAVAILABLE when the connection was refused, with AQ_ERR_TIMEOUT when
 * no complete response arrived within timeout_ms, and with AQ_ERR_PROTOCOL
 * when the connection was closed before the response was complete or for any
 * other error of the transfer. */
bool AqTestHttpClient_Call(AqTestHttpClient *client,
                           const AqTestHttpCall *call, AqTestHttpReply *reply,
                           AqError *error);

/* Performs one HTTP call on a new connection, which is closed afterwards.
 * Fails with AQ_ERR_UNAVAILABLE when the connection was refused, with
 * AQ_ERR_TIMEOUT when no complete response arrived within timeout_ms, and with
 * AQ_ERR_PROTOCOL when the connection was closed before the response was
 * complete or for any other error of the transfer. */
bool AqTestHttp_Call(const AqTestHttpCall *call, AqTestHttpReply *reply,
                     AqError *error);
/* Sends a JSON body (borrowed; NULL for none) and returns the JSON body of
 * the response as a new reference.  Returns NULL with an error when the call
 * fails, the status is not 2xx or the response is not JSON.  Unless status is
 * NULL, *status is set to the HTTP status, or to 0 without a response. */
json_t *AqTestHttp_Json(const char *method, const char *url,
                        const char *const *headers, const json_t *body,
                        long *status, AqError *error);

#endif
