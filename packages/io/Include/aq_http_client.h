#ifndef AQ_HTTP_CLIENT_H
#define AQ_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_loop.h"

/* HTTP/1.1 client over libcurl's multi interface, joined to an AqLoop. */

typedef struct AqHttpClient AqHttpClient;
typedef struct AqHttpCall AqHttpCall;

typedef enum {
    AQ_HTTP_DONE,     /* a whole answer */
    AQ_HTTP_NOT_SENT, /* no byte of the request left */
    AQ_HTTP_CUT,      /* closed or broken after sending began */
    AQ_HTTP_TIMEOUT,  /* timed out after sending began */
    AQ_HTTP_TOO_LARGE /* the answer is over max_response_bytes */
} AqHttpResult;

typedef struct {
    AqHttpResult result;
    int status;                 /* AQ_HTTP_DONE only */
    const char *body;           /* borrowed for the call */
    size_t size;                /* bytes */
    const char *const *headers; /* "Name: value" lines, NULL-terminated */
    const char *message;        /* libcurl's text for a failure */
    uint64_t sent;              /* bytes of HTTP, without TCP/IP headers */
    uint64_t received;
} AqHttpReply;

typedef void (*AqHttpDone)(void *context, const AqHttpReply *reply);

typedef struct {
    const char *method;
    const char *url;
    /* "IP:port" that the connection goes to although the URL names another
     * host, or NULL.  A URL with another host name never reuses connections
     * of the former name. */
    const char *connect_to;
    const char *const *headers; /* "Name: value", NULL-terminated, or NULL */
    const void *body;           /* copied */
    size_t size;
    bool has_body;
    /* A new connection, closed afterwards.  libcurl 7.88 sends a request
     * again when a reused connection closes before the first byte of the
     * answer; on a fresh connection it does not. */
    bool fresh_connection;
    AqTime timeout_ms;
    AqTime connect_timeout_ms;
    size_t max_response_bytes; /* bytes */
} AqHttpRequest;

AqHttpClient *AqHttpClient_Create(AqLoop *loop, AqError *error);
void AqHttpClient_Destroy(AqHttpClient *client);
/* Ends all calls now, with "done" (not sent, or cut), as well as those that
 * are started from there.  Comes before the owners of the contexts are
 * destroyed. */
void AqHttpClient_Close(AqHttpClient *client);

/* Starts a call; "done" is called once from the loop, never from inside, and
 * the call is freed after it. */
AqHttpCall *AqHttpClient_Start(AqHttpClient *client,
                               const AqHttpRequest *request, AqHttpDone done,
                               void *context);
/* Ends a call without "done" and closes its connection.  Returns whether no
 * byte of the request left. */
bool AqHttpClient_Cancel(AqHttpCall *call);

/* Bytes of HTTP sent and received by finished calls since the start. */
void AqHttpClient_GetTraffic(const AqHttpClient *client, uint64_t *sent,
                             uint64_t *received);

/* Closes the idle connections to "IP:port".  Calls under way with that
 * connect_to go on; their connections close when they end. */
void AqHttpClient_CloseIdle(AqHttpClient *client, const char *address);

/* Value of a header in a reply (case-insensitive name), or NULL; borrowed. */
const char *AqHttpReply_Header(const AqHttpReply *reply, const char *name);

#endif
