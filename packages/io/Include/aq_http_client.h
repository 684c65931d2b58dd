#ifndef AQ_HTTP_CLIENT_H
#define AQ_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_loop.h"

/* HTTP/1.1 client over libcurl's multi interface, driven by an AqLoop. */

typedef struct AqHttpClient AqHttpClient;
typedef struct AqHttpCall AqHttpCall;

typedef enum {
    AQ_HTTP_DONE,     /* a complete response was received */
    AQ_HTTP_NOT_SENT, /* the call failed before any request byte was sent */
    /* The connection closed or failed after the client began to send the
     * request, and before the end of the response arrived. */
    AQ_HTTP_INTERRUPTED,
    /* The call timed out after the client began to send the request. */
    AQ_HTTP_TIMEOUT,
    /* The response body exceeds max_response_bytes of the request, or the
     * response header exceeds a fixed limit of 16384 bytes. */
    AQ_HTTP_TOO_LARGE
} AqHttpResult;

typedef struct {
    AqHttpResult result;
    int status; /* HTTP status; valid only for AQ_HTTP_DONE */
    /* Response body; valid only during the "done" callback. */
    const char *body;
    size_t size; /* length of the body, bytes */
    /* NULL-terminated array of the response's "Name: value" header lines;
     * valid only during the "done" callback. */
    const char *const *headers;
    const char *message; /* libcurl's description of the result */
    uint64_t sent;       /* bytes of the request, without TCP/IP headers */
    uint64_t received;   /* bytes of the response, without TCP/IP headers */
} AqHttpReply;

typedef void (*AqHttpDone)(void *context, const AqHttpReply *reply);

typedef struct {
    const char *method;
    const char *url;
    /* "IP:port" to connect to instead of the URL's host and port, or NULL.  A
     * connection is only reused for requests whose URL has the same host name,
     * even if "connect_to" is the same. */
    const char *connect_to;
    /* NULL-terminated array of "Name: value" request header lines, or NULL. */
    const char *const *headers;
    const void *body; /* request body, copied by AqHttpClient_Start */
    size_t size;      /* length of the body, bytes */
    bool has_body;
    /* Whether the client may send the request again by itself, which it does
     * when a reused connection closes before the first byte of the response.
     * Only for requests that have the same effect however often they are
     * carried out, and for which the reply to a later copy holds for all of
     * them, such as reads.  Without it, the request is sent at most once, so
     * that the reply tells its outcome. */
    bool may_repeat;
    /* Whether to open a new connection for the request and to close it
     * afterwards, so that the request is not lost on an idle connection that
     * has died. */
    bool fresh_connection;
    AqTime timeout_ms;
    /* For responses that may be large, whose time depends on the link: once
     * the response has begun, this time limit from the start of the call
     * replaces timeout_ms, and the call also ends when no byte arrives for
     * some seconds; 0: timeout_ms holds. */
    AqTime large_timeout_ms;
    AqTime connect_timeout_ms;
    size_t max_response_bytes; /* longest response body that is accepted */
} AqHttpRequest;

AqHttpClient *AqHttpClient_Create(AqLoop *loop, AqError *error);
/* Ends all calls without their "done" callbacks.  May be called from a "done"
 * callback of the client. */
void AqHttpClient_Destroy(AqHttpClient *client);
/* Ends all calls at once, including those that their "done" callbacks start,
 * up to 100000 calls: calls "done" with AQ_HTTP_NOT_SENT, or with
 * AQ_HTTP_INTERRUPTED after sending began.  Must be called before the owners
 * of the "context" pointers are destroyed. */
void AqHttpClient_Close(AqHttpClient *client);

/* Starts an HTTP call and returns it.  The event loop calls "done" exactly
 * once, never from within AqHttpClient_Start, and then frees the call. */
AqHttpCall *AqHttpClient_Start(AqHttpClient *client,
                               const AqHttpRequest *request, AqHttpDone done,
                               void *context);
/* Ends and frees a call without calling its "done" callback, and closes its
 * connection.  Returns true if no byte of the request was sent. */
bool AqHttpClient_Cancel(AqHttpCall *call);

/* Sets *sent and *received to the bytes of HTTP that finished calls have sent
 * and received since the client was created. */
void AqHttpClient_GetTraffic(const AqHttpClient *client, uint64_t *sent,
                             uint64_t *received);

/* Sets *resent to the number of further copies of repeatable requests, and
 * *interrupted to the number of calls with AQ_HTTP_INTERRUPTED, of calls that
 * have finished since the client was created. */
void AqHttpClient_GetDisturbed(const AqHttpClient *client, uint64_t *resent,
                               uint64_t *interrupted);

/* Closes the idle connections to "address" ("IP:port").  Calls in progress
 * whose "connect_to" is this address continue; each of their connections is
 * closed when its call ends. */
void AqHttpClient_CloseIdle(AqHttpClient *client, const char *address);

/* Returns the value of the header with this case-insensitive name, or NULL if
 * the reply has none.  The reply owns the result. */
const char *AqHttpReply_Header(const AqHttpReply *reply, const char *name);

#endif
