#ifndef AQ_SERVER_PRIVATE_H
#define AQ_SERVER_PRIVATE_H

#include <microhttpd.h>

#include "aq_test_server.h"

/* Progress of an HTTP request on an AqTestServer. */
typedef enum {
    /* The body of the request is not complete yet. */
    REQUEST_READING,
    /* The request handler has the request and has not responded yet. */
    REQUEST_DISPATCHED,
    /* The handler has responded; the response is to be queued with
     * libmicrohttpd. */
    REQUEST_RESPONDED,
    /* The server will close the connection of the request. */
    REQUEST_CLOSING,
    /* The request is never answered, and its connection stays open. */
    REQUEST_SILENT
} RequestState;

/* Open connection of a client to the test server. */
typedef struct {
    AqLink link; /* link in the server's list of connections */
    AqTestServer *server;
    int fd; /* connected socket; owned by libmicrohttpd */
    /* The server sends no byte and handles no request on this connection. */
    bool silent;
} Connection;

struct AqTestRequest {
    AqLink link; /* link in the server's list of requests */
    AqTestServer *server;
    /* Connection on which the request arrived; owned by the server. */
    Connection *client;
    /* libmicrohttpd's handle of the connection; owned by libmicrohttpd. */
    struct MHD_Connection *connection;
    RequestState state;
    /* The connection of the request is suspended: libmicrohttpd does not
     * process the connection until MHD_resume_connection is called. */
    bool suspended;
    /* Whether the server closes the connection at the first byte of the
     * request body. */
    bool close_in_body;
    /* The handler has the request and has not responded yet. */
    bool awaits_response;
    char *method;
    char *path;
    AqBuffer body;
    /* Response of the handler to the request, owned; NULL until the handler
     * responds. */
    struct MHD_Response *response;
    /* HTTP status of the response; valid after the handler responded. */
    unsigned status;
    json_t *headers; /* response headers, name -> value; owned */
    /* Pointer that the request handler stored for its own use; borrowed from
     * the handler. */
    void *user;
};

struct AqTestServer {
    /* First member, since run_server casts the source to its AqTestServer. */
    AqLoopSource source;
    AqTestLoop *loop;
    const AqTestServerOps *ops;
    /* First argument of the functions in ops; borrowed from the creator of the
     * server. */
    void *context;
    int port;
    /* Socket that is bound to the server's port but never listens, so that the
     * port stays reserved while the server is closed; owned. */
    int reserved_fd;
    /* libmicrohttpd server, owned; NULL while the test server is closed. */
    struct MHD_Daemon *daemon;
    AqLink connections;
    AqLink requests;
};

#endif
