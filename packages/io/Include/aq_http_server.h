#ifndef AQ_HTTP_SERVER_H
#define AQ_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_error.h"
#include "aq_loop.h"

/* HTTP/1.1 server over libmicrohttpd, joined to an AqLoop.  A request is
 * handed on when its whole body is there, and answered later. */

typedef struct AqHttpServer AqHttpServer;
typedef struct AqExchange AqExchange;

/* One header of an answer; both strings are copied. */
typedef struct {
    const char *name;
    const char *value;
} AqHttpHeader;

/* Takes a request.  The exchange stays valid until it is answered with
 * AqExchange_Respond, which must happen exactly once, now or later. */
typedef void (*AqHttpHandler)(void *context, AqExchange *exchange);

typedef struct {
    const char *address; /* IP number */
    uint16_t port;       /* 0: any free port */
    size_t max_body;     /* bytes; longer ones are answered 413 */
    unsigned max_connections;
    unsigned idle_timeout_s; /* also the longest pause inside a request */
    /* Header added to the server's own error answers (413), or NULL. */
    const char *error_header_name;
    const char *error_header_value;
} AqHttpServerConfig;

AqHttpServer *AqHttpServer_Create(AqLoop *loop,
                                  const AqHttpServerConfig *config,
                                  AqHttpHandler handler, void *context,
                                  AqError *error);
void AqHttpServer_Destroy(AqHttpServer *server);

uint16_t AqHttpServer_Port(const AqHttpServer *server);
/* Closes the listening socket; open connections are closed after their
 * answer. */
void AqHttpServer_StopListening(AqHttpServer *server);
/* Answers carry "Connection: close" from now on. */
void AqHttpServer_CloseAfterResponse(AqHttpServer *server);
/* Requests taken and not yet answered. */
size_t AqHttpServer_Pending(const AqHttpServer *server);

/* Borrowed for the life of the exchange. */
const char *AqExchange_Method(const AqExchange *exchange);
const char *AqExchange_Path(const AqExchange *exchange);
/* The query text after "?", "" when there is none. */
const char *AqExchange_Query(const AqExchange *exchange);
const char *AqExchange_Body(const AqExchange *exchange, size_t *size);
const char *AqExchange_Header(const AqExchange *exchange, const char *name);
/* A decoded query argument, or NULL. */
const char *AqExchange_Argument(const AqExchange *exchange, const char *name);
/* Calls "visit" for each header of the request. */
void AqExchange_EachHeader(const AqExchange *exchange,
                           void (*visit)(void *context, const char *name,
                                         const char *value),
                           void *context);

/* Answers; "headers" has "count" entries; the body is copied. */
void AqExchange_Respond(AqExchange *exchange, int status,
                        const AqHttpHeader *headers, size_t count,
                        const void *body, size_t size);

#endif
