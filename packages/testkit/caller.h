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
    /* "ADDRESS:PORT" of the listener for callers of each daemon to which the
     * load generator sends requests; borrowed from the command line of
     * aq-caller. */
    const char *daemons[MAX_DAEMONS];
    int daemon_count;
    /* Names of the services that the load generator calls; borrowed from the
     * command line of aq-caller. */
    const char *services[MAX_SERVICES];
    int service_count;
    /* Part of the path of each request after /v1/services/NAME; borrowed from
     * the command line or the defaults of aq-caller. */
    const char *path;
    /* Name of this load generator process, which the ids of all its requests
     * contain; borrowed from the command line or the defaults of aq-caller. */
    const char *name;
    double rate; /* mean number of requests sent per second to all daemons */
    int64_t run_ms; /* time during which the load generator sends requests */
    /* Time limit in ms of each request, sent to the daemon in the header
     * Aq-Timeout-Ms. */
    int64_t timeout_ms;
    /* Interval in ms at which the load generator checks whether each daemon is
     * ready; 0: no checks. */
    int64_t check_ms;
    /* Share in percent of the requests that are marked as not idempotent. */
    int non_idempotent_percent;
    /* Share in percent of the requests that the load generator sends as two
     * copies with the same id at once, to two daemons if two are ready. */
    int repeat_percent;
    size_t body_bytes; /* minimum size of a request body in bytes */
    /* Whether the load generator keeps connections to daemons open for later
     * requests. */
    bool reuse_connections;
    /* Seed of the random send times and kinds of requests. */
    uint64_t seed;
} CallerOptions;

/* How a request ended for the load generator; when two copies of the request
 * were sent with the same request id, each copy has its own result. */
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
    /* No complete response arrived within 3 s after the request's time
     * limit. */
    RESULT_NO_RESPONSE,
    RESULT_KIND_COUNT
} ResultKind;

/* Response of a daemon to a request, or the failure to receive a response.
 * Two copies of a request, sent with the same request id, have one CallResult
 * each. */
typedef struct {
    const char *id; /* id of the request; owned by the load generator */
    /* Position in options->daemons of the daemon to which the request was
     * sent. */
    int daemon;
    bool idempotent;
    ResultKind kind;
    long status; /* HTTP status of the response; 0 when none arrived */
    /* The response has both headers Retry-After and Aq-Retry-After-Ms. */
    bool has_retry_after;
    double latency_ms;
    /* Reason why the result is unexpected, a static string; NULL without a
     * reason. */
    const char *detail;
} CallResult;

/* Counts of the requests and results of one load generator process since its
 * start. */
typedef struct {
    /* Options of the load generator; borrowed from the caller of
     * Summary_Init. */
    const CallerOptions *options;
    /* Number of requests sent, including requests that no daemon accepted; two
     * copies with the same request id count as two. */
    uint64_t sent;
    /* Number of times that the load generator sent a request to another daemon
     * because the connection to a daemon was refused. */
    uint64_t reconnected;
    /* Number of requests that were never sent, because the connection was
     * refused on every attempt; two copies with the same request id count as
     * two. */
    uint64_t unsent;
    /* Number of results of requests by daemon and kind of result. */
    uint64_t counts[MAX_DAEMONS][RESULT_KIND_COUNT];
    /* Number of responses with the outcome "unknown" to idempotent
     * requests. */
    uint64_t unknown_idempotent;
    /* Number of responses with the outcome "not-run" that lack the header
     * Retry-After or Aq-Retry-After-Ms. */
    uint64_t no_retry_after;
    /* Latency in ms, as a double, of each request with RESULT_COMPLETED; two
     * copies with the same request id have one latency each.  Owned. */
    GArray *latencies;
    /* HTTP status of a response (0 when none arrived) -> number of results of
     * requests with this status; owned. */
    GHashTable *statuses;
    /* Ids of the requests that ended with RESULT_NOT_RUN only: a second copy,
     * sent with the same request id, had no other result.  Owned. */
    json_t *not_run_ids;
    /* Descriptions of the first 20 unexpected results of requests; later
     * unexpected results are only counted.  Owned. */
    json_t *problems;
} Summary;

/* Initializes a summary whose counts are all 0; options is borrowed until
 * Summary_Clear is called. */
void Summary_Init(Summary *summary, const CallerOptions *options);
void Summary_Clear(Summary *summary);
void Summary_Add(Summary *summary, const CallResult *result);
/* Adds the id of a request that ended with RESULT_NOT_RUN only: a second copy,
 * sent with the same request id, had no other result. */
void Summary_AddNotRun(Summary *summary, const char *id);
/* Returns the summary as a new JSON object.  in_flight is the number of
 * requests whose result is not known yet; two copies with the same request id
 * count as two. */
json_t *Summary_Describe(const Summary *summary, int in_flight);

/* Load generator that sends requests at random times without waiting for
 * earlier responses. */
typedef struct Caller Caller;

/* Creates a load generator that starts to send requests at once, and that
 * stops the loop once the time options->run_ms has passed and every request
 * has a result.  options and loop are borrowed until Caller_Destroy is
 * called. */
Caller *Caller_Create(AqTestLoop *loop, const CallerOptions *options);
void Caller_Destroy(Caller *caller);
/* Returns the counts of the requests that the load generator has sent so far,
 * and of their results, as a new JSON object. */
json_t *Caller_Describe(const Caller *caller);

#endif
