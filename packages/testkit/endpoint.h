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
    /* Number of further requests whose connection the fault "close" closes; -1
     * for all. */
    int64_t close_count;
    /* Every request is counted as run and answered with status 500 at once,
     * without a service time. */
    bool fail_all;
    /* Health checks of the endpoint are answered with status 500. */
    bool fail_health;
    /* Factor, in permille, by which every service time is multiplied. */
    int64_t slow_permille;
    /* Number of further responses that carry the ids of another request and
     * attempt. */
    int64_t crossed;
} EndpointFaults;

/* Runs of requests on all endpoints of a process. */
typedef struct {
    GHashTable *counts; /* request id -> number of runs */
    uint64_t total;     /* number of runs of all requests */
} RunRecord;

void RunRecord_Init(RunRecord *record);
void RunRecord_Clear(RunRecord *record);
/* Counts one run of the request with this id. */
void RunRecord_Add(RunRecord *record, const char *id);
/* Returns {total, ids, more_than_once: {id: runs}} as a new JSON object.  The
 * field "total" is the number of runs of all requests, "ids" the number of
 * distinct request ids.  With "all" the object also has "counts", the number
 * of runs by request id. */
json_t *RunRecord_Describe(const RunRecord *record, bool all);

/* Data and options that all endpoints of a process have in common. */
typedef struct {
    AqTestLoop *loop;
    RunRecord runs;
    AqRandom random;
    /* Maximum number of requests that one endpoint runs at the same time. */
    int slots;
    double service_ms; /* mean service time of a request */
    /* Distribution of the service times of requests. */
    Distribution distribution;
    size_t response_bytes; /* minimum size of a response body */
} EndpointCommon;

/* Simulated endpoint that runs requests in a limited number of slots. */
typedef struct Endpoint Endpoint;

/* Creates an endpoint that listens on a port of 127.0.0.1; port 0 selects a
 * free one.  common is borrowed.  Returns NULL on error. */
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
 * values, except that "close" without "close_count" sets the count to -1. */
bool Endpoint_SetFaults(Endpoint *endpoint, const json_t *body,
                        AqError *error);
/* Returns the port, counters and leaving state of the endpoint as a new JSON
 * object. */
json_t *Endpoint_Describe(const Endpoint *endpoint);

#endif
