#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include <stddef.h>

#include "aq_loop.h"

/* Stage of an HTTP request or response at which the test server RawServer
 * closes the connection. */
typedef enum {
    STAGE_COMPLETE_RESPONSE,
    STAGE_BEFORE_READING,
    STAGE_IN_HEADER,
    STAGE_IN_BODY,
    STAGE_BEFORE_RESPONSE,
    STAGE_IN_RESPONSE_HEADER,
    STAGE_IN_RESPONSE_BODY,
    STAGE_IN_CHUNK,
    STAGE_WITHOUT_LENGTH, /* the close ends a response without a length */
    STAGE_NO_RESPONSE,
    /* The response arrives one byte each 100 ms, as over a full link. */
    STAGE_TRICKLE
} RawStage;

/* TCP server for tests.  It counts the complete HTTP requests it receives, and
 * closes the connection at the configured stage. */
typedef struct {
    AqLoop *loop;
    int fd;
    AqWatch *watch;
    unsigned port;
    RawStage stage;
    const char *trickle_body; /* of STAGE_TRICKLE */
    /* Of STAGE_COMPLETE_RESPONSE: HTTP status, 0 for 200, and body, NULL for
     * "ok".  The responses of complete_responses_first have status 200. */
    int status;
    const char *body;
    /* Number of requests that get a complete response before "stage"
     * applies. */
    int complete_responses_first;
    int requests;    /* number of requests received completely */
    int connections; /* number of connections accepted */
} RawServer;

void raw_server_start(RawServer *server, AqLoop *loop);
void raw_server_stop(RawServer *server);

#endif
