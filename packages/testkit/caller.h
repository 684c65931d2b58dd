#ifndef AQ_CALLER_H
#define AQ_CALLER_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_random.h"
#include "aq_test_loop.h"

#define MAX_DAEMONS 16
#define MAX_SERVICES 16

/* Options of the load generator aq-caller. */
typedef struct {
    /* "ADDRESS:PORT" of each daemon's listener for callers; borrowed. */
    const char *daemons[MAX_DAEMONS];
    int daemon_count;
    /* Names of the services to call; borrowed. */
    const char *services[MAX_SERVICES];
    int service_count;
    /* Part of the request path after /v1/services/NAME; borrowed. */
    const char *path;
    const char *name; /* part of every request id; borrowed */
    double rate;      /* mean number of requests sent per second */
    int64_t run_ms;   /* time during which the load generator sends requests */
    /* Time limit of each request, in the header Aq-Timeout-Ms. */
    int64_t timeout_ms;
    /* Interval of the readiness checks of the daemons; 0: none. */
    int64_t check_ms;
    int non_idempotent_percent; /* share of requests that are not idempotent */
    int repeat_percent; /* share of requests sent to two daemons at once */
    size_t body_bytes;  /* minimum size of a request body */
    /* Whether connections to daemons stay open for later requests. */
    bool reuse_connections;
    /* Seed of the random send times and kinds of requests. */
    uint64_t seed;
} CallerOptions;

/* Result of one copy of a request, as the load generator observes the copy. */
typedef enum {
    RESULT_COMPLETED,
    RESULT_NOT_RUN,
    RESULT_UNKNOWN,
    /* The response belongs to another request or has no valid header
     * Aq-Outcome. */
    RESULT_WRONG,
    /* The response is truncated or damaged. */
    RESULT_CUT,
    /* The connection was closed before any byte of a response. */
    RESULT_CLOSED,
    /* No complete response within 3 s after the request's time limit. */
    RESULT_NO_RESPONSE,
    RESULT_KIND_COUNT
} ResultKind;

/* Response to one copy of a request, or the failure to receive a response. */
typedef struct {
    const char *id; /* request id; borrowed */
    /* Position in options->daemons of the daemon to which the copy was
     * sent. */
    int daemon;
    bool idempotent;
    ResultKind kind;
    long status; /* HTTP status of the response; 0 when none arrived */
    /* The response has both headers Retry-After and Aq-Retry-After-Ms. */
    bool has_retry_after;
    double latency_ms;
    const char *detail; /* reason for an unexpected result; may be NULL */
} CallResult;

/* Counts of one run of the load generator. */
typedef struct {
    const CallerOptions *options; /* options of the load generator; borrowed */
    /* Number of copies of requests sent, including copies that no daemon
     * accepted. */
    uint64_t sent;
    /* Number of times that a copy of a request was sent to another daemon
     * after a refused connection. */
    uint64_t reconnected;
    /* Number of copies of requests that were never sent, because the
     * connection was refused on every attempt. */
    uint64_t unsent;
    /* Number of results by daemon and kind of result. */
    uint64_t counts[MAX_DAEMONS][RESULT_KIND_COUNT];
    /* Number of responses with the outcome "unknown" to idempotent
     * requests. */
    uint64_t unknown_idempotent;
    /* Number of responses with the outcome "not-run" that lack the header
     * Retry-After or Aq-Retry-After-Ms. */
    uint64_t no_retry_after;
    /* Latency of each completed copy of a request, double in ms. */
    GArray *latencies;
    /* HTTP status of a result (0 without a response) -> number of results. */
    GHashTable *statuses;
    /* Ids of the requests that were answered not-run and no copy of which has
     * run. */
    json_t *not_run_ids;
    /* Descriptions of the first 20 unexpected results; later ones are only
     * counted. */
    json_t *problems;
} Summary;

/* Initializes an empty summary; options is borrowed. */
void Summary_Init(Summary *summary, const CallerOptions *options);
void Summary_Clear(Summary *summary);
void Summary_Add(Summary *summary, const CallResult *result);
/* Adds the id of a request that was answered not-run and no copy of which has
 * run. */
void Summary_AddNotRun(Summary *summary, const char *id);
/* Returns the summary as a new JSON object.  in_flight is the number of copies
 * of requests that have no result yet. */
json_t *Summary_Describe(const Summary *summary, int in_flight);

/* Load generator that sends requests at random times without waiting for
 * earlier responses. */
typedef struct Caller Caller;

/* Creates a load generator that starts to send requests at once and stops the
 * loop once every request has a result.  options and loop are borrowed. */
Caller *Caller_Create(AqTestLoop *loop, const CallerOptions *options);
void Caller_Destroy(Caller *caller);
/* Returns the summary of the results so far as a new JSON object. */
json_t *Caller_Describe(const Caller *caller);

#endif
