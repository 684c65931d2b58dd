#ifndef AQ_ENDPOINT_H
#define AQ_ENDPOINT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_random.h"
#include "aq_test_loop.h"
#include "aq_test_server.h"

/* Distribution of the random service times of requests. */
typedef enum {
    DISTRIBUTION_FIXED,
    DISTRIBUTION_UNIFORM, /* service times between 0 and twice the mean */
    DISTRIBUTION_EXPONENTIAL
} Distribution;

/* Moment at which the endpoint closes the connection of a request. */
typedef enum {
    CLOSE_NONE,
    /* The endpoint closes the connection when the headers of the request have
     * arrived; the request does not run. */
    CLOSE_BEFORE_READING,
    /* The endpoint closes the connection at the first byte of the request
     * body; the request does not run. */
    CLOSE_IN_BODY,
    /* The endpoint closes the connection after the request has run, before any
     * byte of the response. */
    CLOSE_BEFORE_RESPONSE,
    /* The endpoint closes the connection after the request has run and half of
     * the response was sent. */
    CLOSE_INSIDE_RESPONSE
} CloseMode;

/* Faults that the test interface injects into an endpoint. */
typedef struct {
    CloseMode close;
    /* Number of further requests whose connection the endpoint closes because
     * of the fault "close"; -1: the connections of all further requests. */
    int64_t close_count;
    /* The endpoint counts every request as run and responds with status 500 at
     * once, without a service time. */
    bool fail_all;
    /* Health checks of the endpoint are answered with status 500. */
    bool fail_health;
    /* Factor, in permille, by which every service time is multiplied. */
    int64_t slow_permille;
    /* Number of further responses that carry the request id "another-request"
     * and the attempt id "another-attempt" in place of the request's own
     * ids. */
    int64_t crossed;
} EndpointFaults;

/* Numbers of runs of requests at all endpoints of one aq-endpoint process.  A
 * run is one execution of a request by an endpoint. */
typedef struct {
    GHashTable *counts; /* request id -> number of runs; owned */
    uint64_t total;     /* number of runs of all requests together */
} RunRecord;

void RunRecord_Init(RunRecord *record);
void RunRecord_Clear(RunRecord *record);
/* Counts one run of the request with this id, that is one execution by an
 * endpoint. */
void RunRecord_Add(RunRecord *record, const char *id);
/* Returns {total, ids, more_than_once: {id: runs}} as a new JSON object.  A
 * run is one execution of a request by an endpoint.  The field "total" is the
 * number of runs of all requests, "ids" the number of distinct request ids
 * that ran, "more_than_once" the number of runs of each id that ran more than
 * once.  With "all" the object also has "counts", the number of runs of each
 * id. */
json_t *RunRecord_Describe(const RunRecord *record, bool all);

/* Data and options that all endpoints of one aq-endpoint process have in
 * common. */
typedef struct {
    AqTestLoop *loop;
    RunRecord runs;
    AqRandom random;
    /* Number of slots of each endpoint: the maximum number of requests that an
     * endpoint runs at the same time. */
    int slots;
    double service_ms; /* mean service time of a request in ms */
    /* Distribution of the service times of requests. */
    Distribution distribution;
    size_t response_bytes; /* minimum size of a response body in bytes */
} EndpointCommon;

/* Simulated endpoint that runs requests in a limited number of slots. */
typedef struct Endpoint Endpoint;

/* Creates an endpoint that listens on a port of 127.0.0.1; port 0 selects a
 * free port.  common is borrowed until Endpoint_Destroy is called.  Returns
 * NULL on error. */
Endpoint *Endpoint_Create(EndpointCommon *common, int port, AqError *error);
void Endpoint_Destroy(Endpoint *endpoint);
/* Returns the port on which the endpoint listens. */
int Endpoint_Port(const Endpoint *endpoint);
/* Starts or ends leaving, according to "leaving".  While an endpoint leaves,
 * it records each request in "after_leave" and still runs the request; with
 * "announce" it also adds the header Aq-Leaving to its responses.  Each call
 * empties "after_leave". */
void Endpoint_SetLeaving(Endpoint *endpoint, bool leaving, bool announce);
/* Sets the faults that a JSON object names.  All other faults keep their
 * values, except that "close" without "close_count" sets the count to -1: the
 * fault "close" then affects all further requests, without a limit. */
bool Endpoint_SetFaults(Endpoint *endpoint, const json_t *body,
                        AqError *error);
/* Returns the port and counters of the endpoint, and whether it is leaving, as
 * a new JSON object. */
json_t *Endpoint_Describe(const Endpoint *endpoint);

#endif
