#ifndef AQ_TEST_SERVER_H
#define AQ_TEST_SERVER_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"
#include "aq_test_loop.h"

/* HTTP server on 127.0.0.1 that stand-ins use, based on libmicrohttpd.  The
 * server passes a request to the stand-in's handler once the request body is
 * complete; the handler responds at once or later. */
typedef struct AqTestServer AqTestServer;
/* HTTP request that an AqTestServer received; owned by that server. */
typedef struct AqTestRequest AqTestRequest;

/* Functions that a stand-in provides and its AqTestServer calls. */
typedef struct {
    /* Handles a request whose body is complete.  The function must respond to
     * the request exactly once, during this call or later. */
    void (*request)(void *context, AqTestRequest *request);
    /* Called when the headers of a request have arrived, before its body.
     * Returns false to make the server close the connection.  May be NULL. */
    bool (*headers)(void *context, AqTestRequest *request);
    /* Called after the server has accepted a connection.  May be NULL. */
    void (*connected)(void *context);
    /* Called when the server is closed before the handler has responded to a
     * request.  The request must not be used after this call.  May be
     * NULL. */
    void (*dropped)(void *context, AqTestRequest *request);
} AqTestServerOps;

/* Creates a server that listens on 127.0.0.1:port; port 0 selects a free
 * port.  loop, ops and context are borrowed.  Returns NULL on error. */
AqTestServer *AqTestServer_Create(AqTestLoop *loop, int port,
                                  const AqTestServerOps *ops, void *context,
                                  AqError *error);
/* Closes all connections of the server and frees the server.  Requests without
 * a response are reported to the "dropped" function.  Ignores NULL. */
void AqTestServer_Destroy(AqTestServer *server);

int AqTestServer_Port(const AqTestServer *server);
/* Closes the listening socket and all connections of the server.  The port
 * stays reserved and refuses connections until AqTestServer_Open is called.
 * Must not be called from this server's own handlers. */
void AqTestServer_Close(AqTestServer *server);
/* Makes the server listen again after AqTestServer_Close; does nothing on an
 * open server. */
bool AqTestServer_Open(AqTestServer *server, AqError *error);
/* Silences all connections that are open at this moment: the server sends no
 * byte and handles no request on these connections any more, but leaves them
 * open. */
void AqTestServer_SilenceOpen(AqTestServer *server);
/* Returns the number of connections to the server that neither side has
 * closed. */
unsigned AqTestServer_CountConnections(const AqTestServer *server);

/* Pointers to the data of a request, as the following functions return them,
 * are valid until the handler responds to the request. */
const char *AqTestRequest_Method(const AqTestRequest *request);
const char *AqTestRequest_Path(const AqTestRequest *request);
const AqBuffer *AqTestRequest_Body(const AqTestRequest *request);
/* Returns the value of a request header, or NULL when the request lacks the
 * header. */
const char *AqTestRequest_Header(const AqTestRequest *request,
                                 const char *name);
/* Returns the value of a query parameter of a request: NULL when the parameter
 * is absent, "" when the parameter has no value. */
const char *AqTestRequest_Query(const AqTestRequest *request,
                                const char *name);

/* Stores a pointer for the handler's own use with the request.  The pointer
 * is borrowed; AqTestRequest_User returns NULL until this call. */
void AqTestRequest_SetUser(AqTestRequest *request, void *user);
void *AqTestRequest_User(const AqTestRequest *request);

/* Adds a header to the response to the request; name and value are copied. */
void AqTestRequest_AddHeader(AqTestRequest *request, const char *name,
                             const char *value);
/* Responds to the request with an HTTP status and a body of "size" bytes,
 * which is copied. */
void AqTestRequest_Reply(AqTestRequest *request, unsigned status,
                         const char *body, size_t size);
/* Responds to the request with an HTTP status and value as the JSON body;
 * takes over the caller's reference to value. */
void AqTestRequest_ReplyJson(AqTestRequest *request, unsigned status,
                             json_t *value);
/* Responds to the request with the JSON body {"reason": message of the error}
 * and status 400 for AQ_ERR_INVALID, 404 for AQ_ERR_NOT_FOUND and 409 for any
 * other error. */
void AqTestRequest_ReplyError(AqTestRequest *request, const AqError *error);
/* Responds to the request with a truncated body: announces "size" bytes, sends
 * the first half of the body and closes the connection. */
void AqTestRequest_ReplyCut(AqTestRequest *request, unsigned status,
                            const char *body, size_t size);
/* Closes the connection of the request without a response. */
void AqTestRequest_Close(AqTestRequest *request);
/* Leaves the request without a response; its connection stays open. */
void AqTestRequest_Silence(AqTestRequest *request);
/* Makes the server close the connection of the request as soon as a byte of
 * the request body arrives. */
void AqTestRequest_CloseInBody(AqTestRequest *request);

#endif
