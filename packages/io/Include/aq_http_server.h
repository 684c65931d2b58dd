#ifndef AQ_HTTP_SERVER_H
#define AQ_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_error.h"
#include "aq_loop.h"

/* HTTP/1.1 server over libmicrohttpd, driven by an AqLoop.  The server calls
 * its handler when a request's whole body has arrived; the handler may send
 * the response later. */

typedef struct AqHttpServer AqHttpServer;
typedef struct AqExchange AqExchange;

/* One response header.  AqExchange_Respond copies both strings. */
typedef struct {
    const char *name;
    const char *value;
} AqHttpHeader;

/* Called for each request with a new exchange.  The exchange stays valid until
 * AqExchange_Respond is called for it, which must happen exactly once, during
 * this callback or later. */
typedef void (*AqHttpHandler)(void *context, AqExchange *exchange);

typedef struct {
    const char *address; /* IPv4 address to listen on */
    uint16_t port;       /* TCP port to listen on; 0: any free port */
    size_t max_body;     /* longest request body, bytes; 413 if exceeded */
    unsigned max_connections;
    /* A connection is closed after this time without received or sent data,
     * between requests or within one. */
    unsigned idle_timeout_s;
    /* Name and value of a header that is added to the 413 responses, which the
     * server sends without calling the handler; the name may be NULL. */
    const char *error_header_name;
    const char *error_header_value;
} AqHttpServerConfig;

AqHttpServer *AqHttpServer_Create(AqLoop *loop,
                                  const AqHttpServerConfig *config,
                                  AqHttpHandler handler, void *context,
                                  AqError *error);
/* Closes the listener and the connections.  May be called from any callback,
 * the server's own handler included.  Requests that are not answered yet keep
 * their exchanges; each still needs its AqExchange_Respond, whose response may
 * no longer reach the caller. */
void AqHttpServer_Destroy(AqHttpServer *server);

uint16_t AqHttpServer_Port(const AqHttpServer *server);
/* Closes the listening socket.  Each open connection is closed after its next
 * response. */
void AqHttpServer_StopListening(AqHttpServer *server);
/* Adds "Connection: close" to all further responses. */
void AqHttpServer_CloseAfterResponse(AqHttpServer *server);
/* Returns the number of requests that were passed to the handler and whose
 * responses have not been sent yet. */
size_t AqHttpServer_Pending(const AqHttpServer *server);

/* Returns the request's HTTP method.  The exchange owns the strings and the
 * bytes that this function and the following ones return. */
const char *AqExchange_Method(const AqExchange *exchange);
const char *AqExchange_Path(const AqExchange *exchange);
/* Returns the part of the request's URL after "?", or "" if there is none. */
const char *AqExchange_Query(const AqExchange *exchange);
const char *AqExchange_Body(const AqExchange *exchange, size_t *size);
const char *AqExchange_Header(const AqExchange *exchange, const char *name);
/* Returns the URL-decoded value of the query argument "name", or NULL if the
 * query does not have it. */
const char *AqExchange_Argument(const AqExchange *exchange, const char *name);
/* Calls "visit" with "context" for each header of the request.  Does nothing
 * if the connection has ended. */
void AqExchange_EachHeader(const AqExchange *exchange,
                           void (*visit)(void *context, const char *name,
                                         const char *value),
                           void *context);

/* Sends the response to a request.  "headers" is an array of "count" entries;
 * "body" has "size" bytes and is copied.  The exchange must not be used
 * afterwards. */
void AqExchange_Respond(AqExchange *exchange, int status,
                        const AqHttpHeader *headers, size_t count,
                        const void *body, size_t size);

#endif
