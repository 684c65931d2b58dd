#ifndef AQ_ROUTER_H
#define AQ_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"

/* Schedules requests to endpoints: decides when and on which endpoint each
 * attempt of a request runs, whether the request is retried, and which outcome
 * it gets.  Performs no I/O: the daemon implements attempts, claims and the
 * delivery of outcomes as AqRouterOps, and reports the results of attempts and
 * claims by calling the functions below.  All times are milliseconds of the
 * daemon's monotonic clock, passed as "now".  See docs/design.md, section
 * 5.3. */

typedef struct AqRouter AqRouter;

typedef enum {
    AQ_PRIORITY_LIVE,
    AQ_PRIORITY_ARCHIVE
} AqPriority;

typedef struct {
    const char *service; /* service name; read only during AqRouter_Submit */
    bool idempotent;
    AqPriority priority;
    /* Absolute monotonic time at which the caller stops waiting for the
     * response. */
    AqTime deadline;
} AqRequestSpec;

typedef enum {
    /* The caller gets the response of the last attempt. */
    AQ_OUTCOME_COMPLETED,
    AQ_OUTCOME_NOT_RUN, /* certainly no endpoint executed the request */
    AQ_OUTCOME_UNKNOWN  /* an endpoint may have executed the request */
} AqOutcomeKind;

typedef enum {
    AQ_REASON_NONE,
    AQ_REASON_QUEUE_FULL,
    /* The deadline has passed, or the request is not expected to complete
     * before it. */
    AQ_REASON_DEADLINE,
    /* The service has no endpoint with slots, or the request's last attempt
     * could not connect to its endpoint. */
    AQ_REASON_NO_ENDPOINT,
    AQ_REASON_NO_SERVICE, /* the service name is unknown */
    AQ_REASON_NOT_FRESH,  /* the daemon's configuration may be out of date */
    /* The claim on the request id could not be written to the claim store. */
    AQ_REASON_CLAIM_STORE,
    AQ_REASON_DUPLICATE, /* an earlier request claimed the same request id */
    /* After bytes of the request were sent, the connection closed or the
     * response was malformed. */
    AQ_REASON_CUT,
    /* The attempt timed out after bytes of the request may have been sent. */
    AQ_REASON_SILENT,
    /* The endpoint of the request's last attempt responded that it did not run
     * the request. */
    AQ_REASON_REFUSED,
    AQ_REASON_TOO_LARGE, /* the endpoint's response is over the size limit */
    AQ_REASON_STOPPING   /* the request was submitted after AqRouter_Stop */
} AqReason;

typedef struct {
    AqOutcomeKind kind;
    AqReason reason;
    /* Delay suggested to the caller before submitting again; 0 unless "kind"
     * is AQ_OUTCOME_NOT_RUN. */
    AqTime retry_after_ms;
} AqOutcome;

typedef enum {
    AQ_ATTEMPT_ANSWERED, /* complete response, status below 500 */
    AQ_ATTEMPT_FAILED,   /* complete response, status 500 or above */
    /* Complete response with the header Aq-Not-Run: the endpoint did not run
     * the request. */
    AQ_ATTEMPT_REFUSED,
    AQ_ATTEMPT_NOT_SENT, /* no connection; no byte of the request was sent */
    /* After bytes of the request were sent, the connection closed or the
     * response was malformed. */
    AQ_ATTEMPT_CUT,
    AQ_ATTEMPT_TOO_LARGE /* the endpoint's response is over the size limit */
} AqAttemptResult;

typedef struct {
    uint64_t request;     /* number returned by AqRouter_Submit */
    uint64_t attempt;     /* id of the attempt, unique within the router */
    const char *endpoint; /* name of the endpoint, owned by the router */
    /* The attempt must open a new connection rather than reuse an idle one. */
    bool fresh_connection;
    /* When the router will call cancel_attempt if the attempt is still in
     * flight. */
    AqTime timeout_at;

} AqAttempt;

/* Operations that the daemon implements.  The router calls start_attempt and
 * claim from AqRouter_Tick only, the others from any function but
 * AqRouter_Submit. */
typedef struct {
    /* Starts an attempt.  The daemon then calls AqRouter_AttemptDone for it
     * exactly once, unless the router calls cancel_attempt before. */
    void (*start_attempt)(void *context, const AqAttempt *attempt);
    /* Aborts an attempt and closes its connection; the daemon calls no
     * AqRouter_AttemptDone for it.  Returns true if certainly no byte of the
     * request was sent. */
    bool (*cancel_attempt)(void *context, uint64_t attempt);
    /* Closes all idle connections to the endpoint. */
    void (*close_idle)(void *context, const char *endpoint);
    /* Requests a claim on the id of the request, which prevents a second
     * execution of a request with this id.  The daemon then calls
     * AqRouter_ClaimDone, unless the router calls forget_claim before. */
    void (*claim)(void *context, uint64_t request);
    /* Cancels the pending claim of the request; the daemon calls no
     * AqRouter_ClaimDone for it. */
    void (*forget_claim)(void *context, uint64_t request);
    /* Releases the claim granted on the id of the request, because the request
     * certainly did not run. */
    void (*release_claim)(void *context, uint64_t request);
    /* Reports the final outcome of a request, once; the router does not use
     * the request's number afterwards.  With AQ_OUTCOME_COMPLETED, the caller
     * gets the response of "attempt", which is 0 for other outcomes. */
    void (*finish)(void *context, uint64_t request, uint64_t attempt,
                   const AqOutcome *outcome);
} AqRouterOps;

/* Bits of AqRouterConfig.disabled, one per mechanism; each comment says what
 * happens when the bit is set.  For measurements and tests only: with any of
 * these bits set, the rules in docs/design.md, section 5.3, do not hold. */
enum {
    /* The queues of requests are unbounded. */
    AQ_ROUTER_DISABLE_QUEUE_LIMIT = 1 << 0,
    /* No request fails because of the expected wait for a slot. */
    AQ_ROUTER_DISABLE_ADMISSION = 1 << 1,
    /* Live and archive requests of a service share one queue in order of
     * arrival. */
    AQ_ROUTER_DISABLE_PRIORITY = 1 << 2,
    /* The endpoint of an attempt is chosen at random. */
    AQ_ROUTER_DISABLE_LOAD_CHOICE = 1 << 3,
    /* Non-idempotent requests start without a claim. */
    AQ_ROUTER_DISABLE_CLAIM = 1 << 4,
    AQ_ROUTER_DISABLE_RETRY = 1 << 5, /* a request gets one attempt only */
    /* Non-idempotent requests that may have run are retried too. */
    AQ_ROUTER_DISABLE_RETRY_RULE = 1 << 6,
    AQ_ROUTER_DISABLE_RETRY_BUDGET = 1 << 7, /* retries need no retry token */
    /* The delay before a retry is always its upper bound. */
    AQ_ROUTER_DISABLE_JITTER = 1 << 8,
    AQ_ROUTER_DISABLE_EJECTION = 1 << 9, /* no endpoint is ejected */
    /* All endpoints of a service may be ejected at a time. */
    AQ_ROUTER_DISABLE_EJECTION_SHARE = 1 << 10,
    /* Ejections end when their time is over; no single request first has to
     * find out whether the endpoint works again. */
    AQ_ROUTER_DISABLE_TRIAL = 1 << 11,
    /* Attempts time out only at the deadline of their request, may always
     * reuse an idle connection, and a timeout leaves idle connections open. */
    AQ_ROUTER_DISABLE_SILENT = 1 << 12,
    /* Leaving endpoints get new requests. */
    AQ_ROUTER_DISABLE_LEAVING = 1 << 13,
    /* Requests are accepted and started although the daemon's configuration
     * may be out of date. */
    AQ_ROUTER_DISABLE_FRESHNESS = 1 << 14,
    AQ_ROUTER_DISABLE_STOP = 1 << 15, /* AqRouter_Stop has no effect */
    /* Requests that may have run are reported as not run when they fail. */
    AQ_ROUTER_DISABLE_RUN_MARK = 1 << 16
};

typedef struct {
    /* Maximum number of a service's requests that wait for a claim or a slot.
     * While so many wait, new ones are refused with AQ_REASON_QUEUE_FULL. */
    int queue_limit;
    /* Maximum number of attempts of a request, its retries included. */
    int max_attempts;
    /* Retry tokens that a service earns per admitted request. */
    double retry_ratio;
    /* Maximum and initial number of a service's retry tokens; each retry of a
     * request uses up one. */
    double retry_burst;
    /* The delay before a retry is random, from 0 to an upper bound.  The bound
     * is backoff_initial_ms for the first retry of a request and doubles with
     * each further one, up to backoff_max_ms. */
    AqTime backoff_initial_ms;
    AqTime backoff_max_ms;
    /* While both live and archive requests of a service are queued, one of
     * every archive_start_interval attempts is started for an archive
     * request.  A value below 2 counts as 2. */
    int archive_start_interval;
    /* Percentage of a service's endpoints that may be ejected at a time. */
    int max_ejected_percent;
    /* Length of an endpoint's first ejection; doubles with each further one,
     * up to eject_max_ms, until the endpoint has recovered. */
    AqTime eject_initial_ms;
    AqTime eject_max_ms;
    /* After a service has had no slot for this long, its waiting and new
     * requests fail with AQ_REASON_NO_ENDPOINT. */
    AqTime slot_wait_ms;
    /* AQ_ROUTER_DISABLE_* bits, for measurements and tests; 0 by default. */
    unsigned disabled;
} AqRouterConfig;

/* Sets all fields to the defaults given in docs/design.md, section 12. */
void AqRouterConfig_Init(AqRouterConfig *config);

/* Creates a router without endpoints; free it with AqRouter_Destroy.  "config"
 * and "ops" are copied; "context" is passed to each operation of "ops"; "seed"
 * starts the random numbers. */
AqRouter *AqRouter_Create(const AqRouterConfig *config, const AqRouterOps *ops,
                          void *context, uint64_t seed);
void AqRouter_Destroy(AqRouter *router);

/* Adds an endpoint with 0 slots to the service.  An endpoint of another
 * service is moved to this service and keeps its number of slots.  The names
 * are copied. */
void AqRouter_SetEndpoint(AqRouter *router, AqTime now, const char *endpoint,
                          const char *service);
/* Removes an endpoint: no new attempt starts on it; attempts in flight
 * finish. */
void AqRouter_RemoveEndpoint(AqRouter *router, AqTime now,
                             const char *endpoint);
/* Sets the number of concurrent attempts that this daemon may run on the
 * endpoint.  Attempts already in flight beyond that number finish. */
void AqRouter_SetSlots(AqRouter *router, AqTime now, const char *endpoint,
                       int slots);
/* Sets whether the endpoint is leaving: then no new attempt starts on it, and
 * attempts in flight finish. */
void AqRouter_SetLeaving(AqRouter *router, AqTime now, const char *endpoint,
                         bool leaving);
/* Sets whether the daemon's configuration is fresh, i.e. certainly still in
 * force.  While it is not, new requests are refused and no attempt starts;
 * waiting requests fail as soon as it ceases to be fresh.  A new router's
 * configuration is not fresh. */
void AqRouter_SetFresh(AqRouter *router, AqTime now, bool fresh);
/* Refuses new requests from now on; requests already accepted finish. */
void AqRouter_Stop(AqRouter *router, AqTime now);

/* Submits a request and returns its number.  The router later calls
 * AqRouterOps.finish for the request, also when it is refused, but never from
 * inside this call. */
uint64_t AqRouter_Submit(AqRouter *router, AqTime now,
                         const AqRequestSpec *spec);
/* Cancels a request whose caller has disconnected.  AqRouterOps.finish is
 * called with AQ_OUTCOME_UNKNOWN or AQ_OUTCOME_NOT_RUN, so that AqRouterStats
 * counts every request under an outcome.  Unknown numbers are ignored. */
void AqRouter_Cancel(AqRouter *router, AqTime now, uint64_t request);

typedef enum {
    AQ_ROUTER_CLAIM_GRANTED,
    AQ_ROUTER_CLAIM_DUPLICATE,
    AQ_ROUTER_CLAIM_UNAVAILABLE
} AqRouterClaim;

/* Reports the result of AqRouterOps.claim. */
void AqRouter_ClaimDone(AqRouter *router, AqTime now, uint64_t request,
                        AqRouterClaim result);
/* Reports the result of AqRouterOps.start_attempt. */
void AqRouter_AttemptDone(AqRouter *router, AqTime now, uint64_t attempt,
                          AqAttemptResult result);
/* Reports the result of a health check of the endpoint. */
void AqRouter_HealthDone(AqRouter *router, AqTime now, const char *endpoint,
                         bool healthy);

/* Performs what is due at "now": times out attempts, requests claims, queues
 * retries, fails or refuses requests, and starts attempts. */
void AqRouter_Tick(AqRouter *router, AqTime now);
/* Returns when AqRouter_Tick must be called next; AQ_TIME_NEVER if nothing is
 * due until another function is called.  If an attempt may be able to start at
 * once, returns the "now" of the last call. */
AqTime AqRouter_NextTick(const AqRouter *router);

/* Returns the number of attempts in flight on the endpoint; 0 if its name is
 * unknown. */
int AqRouter_InFlight(const AqRouter *router, const char *endpoint);
/* Returns the number of attempts in flight on all endpoints together. */
int AqRouter_TotalInFlight(const AqRouter *router);
/* Returns the number of queued requests of the service, live and archive; 0 if
 * its name is unknown. */
int AqRouter_Queued(const AqRouter *router, const char *service);
/* Returns the number of free slots of the service, without the slots of
 * ejected, leaving and removed endpoints; 0 if the service name is unknown. */
int AqRouter_FreeSlots(const AqRouter *router, const char *service);
/* Calls "visit" for each service that has endpoints. */
void AqRouter_EachService(const AqRouter *router,
                          void (*visit)(void *context, const char *service),
                          void *context);
/* Whether the endpoint is ejected because too many of its requests or health
 * checks failed.  An ejected endpoint gets no requests; after the time of the
 * ejection, one request finds out whether it works again. */
bool AqRouter_IsEjected(const AqRouter *router, const char *endpoint);

/* Counters since AqRouter_Create. */
typedef struct {
    uint64_t submitted; /* requests submitted, refused ones included */
    uint64_t attempts;  /* attempts started, retries included */
    uint64_t retries;
    uint64_t retries_denied; /* retries not made for lack of a retry token */
    uint64_t completed;      /* requests with AQ_OUTCOME_COMPLETED */
    uint64_t not_run;        /* requests with AQ_OUTCOME_NOT_RUN */
    uint64_t unknown;        /* requests with AQ_OUTCOME_UNKNOWN */
    /* Ejections of endpoints.  An ejection counts again each time it is
     * renewed because the one request that tried the endpoint again (its
     * trial) failed. */
    uint64_t ejections;
    /* Attempts that timed out after bytes of the request may have been
     * sent. */
    uint64_t silent;
} AqRouterStats;

void AqRouter_GetStats(const AqRouter *router, AqRouterStats *stats);

/* Checks the invariants of all internal tables of the router, for tests.
 * Returns false and sets "error" (may be NULL) if one is violated. */
bool AqRouter_CheckConsistency(const AqRouter *router, AqError *error);

#endif
