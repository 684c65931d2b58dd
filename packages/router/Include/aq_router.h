#ifndef AQ_ROUTER_H
#define AQ_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"

/* Schedules requests to endpoints: decides when and where each attempt runs,
 * whether it is retried, and which outcome the caller gets.  Performs no I/O:
 * attempts, claims and outcomes go out through AqRouterOps, and their results
 * come back as function calls.  All times are milliseconds of the caller's
 * monotonic clock, passed as "now".  Design page, section 5.3. */

typedef struct AqRouter AqRouter;

typedef enum {
    AQ_PRIORITY_LIVE,
    AQ_PRIORITY_ARCHIVE
} AqPriority;

typedef struct {
    const char *service; /* name; read during the call only */
    bool idempotent;
    AqPriority priority;
    AqTime deadline; /* absolute time at which the caller stops waiting */
} AqRequestSpec;

typedef enum {
    AQ_OUTCOME_COMPLETED, /* the caller gets the last attempt's response */
    AQ_OUTCOME_NOT_RUN,   /* certain that no endpoint executed it */
    AQ_OUTCOME_UNKNOWN    /* an endpoint may have executed it */
} AqOutcomeKind;

typedef enum {
    AQ_REASON_NONE,
    AQ_REASON_QUEUE_FULL,
    AQ_REASON_DEADLINE,    /* it has passed, or the expected wait exceeds it */
    AQ_REASON_NO_ENDPOINT, /* none with slots, or no connection was made */
    AQ_REASON_NO_SERVICE,  /* the service name is unknown */
    AQ_REASON_NOT_FRESH,   /* the configuration may be out of date */
    AQ_REASON_CLAIM_STORE, /* the claim could not be written */
    AQ_REASON_DUPLICATE,   /* the request id was claimed before */
    AQ_REASON_CUT,         /* the connection closed after sending */
    AQ_REASON_SILENT,      /* the attempt timed out after sending */
    AQ_REASON_REFUSED,     /* the last endpoint tried refused to run it */
    AQ_REASON_TOO_LARGE,   /* the response is over the size limit */
    AQ_REASON_STOPPING     /* submitted after AqRouter_Stop */
} AqReason;

typedef struct {
    AqOutcomeKind kind;
    AqReason reason;
    AqTime retry_after_ms; /* suggested delay; set for AQ_OUTCOME_NOT_RUN */
} AqOutcome;

typedef enum {
    AQ_ATTEMPT_ANSWERED, /* complete response, status below 500 */
    AQ_ATTEMPT_FAILED,   /* complete response, status 500 or above */
    AQ_ATTEMPT_REFUSED,  /* complete response with Aq-Not-Run: did not run */
    AQ_ATTEMPT_NOT_SENT, /* no connection; no byte of the request was sent */
    AQ_ATTEMPT_CUT,      /* closed or malformed response after sending */
    AQ_ATTEMPT_TOO_LARGE /* the response is over the size limit */
} AqAttemptResult;

typedef struct {
    uint64_t request;      /* number returned by AqRouter_Submit */
    uint64_t attempt;      /* number, unique within the router */
    const char *endpoint;  /* name, owned by the router */
    bool fresh_connection; /* must not reuse an idle connection */
    AqTime timeout_at;     /* when the router calls cancel_attempt by itself */

} AqAttempt;

/* Operations that the caller implements.  start_attempt and claim are called
 * from AqRouter_Tick only, the others from any function but
 * AqRouter_Submit. */
typedef struct {
    /* Starts an attempt; exactly one AqRouter_AttemptDone follows, unless
     * cancel_attempt comes before. */
    void (*start_attempt)(void *context, const AqAttempt *attempt);
    /* Aborts an attempt and closes its connection; no AqRouter_AttemptDone
     * follows.  Returns true if certainly no byte of the request was sent. */
    bool (*cancel_attempt)(void *context, uint64_t attempt);
    /* Closes all idle connections to the endpoint. */
    void (*close_idle)(void *context, const char *endpoint);
    /* Requests a claim on the request's id, which prevents a second
     * execution.  AqRouter_ClaimDone follows, unless forget_claim comes
     * before. */
    void (*claim)(void *context, uint64_t request);
    /* Cancels the pending claim; no AqRouter_ClaimDone follows. */
    void (*forget_claim)(void *context, uint64_t request);
    /* Releases a granted claim, because the request certainly did not run. */
    void (*release_claim)(void *context, uint64_t request);
    /* Reports the final outcome, once per request; its number is not used
     * afterwards.  For AQ_OUTCOME_COMPLETED the response is that of
     * "attempt", which is 0 otherwise. */
    void (*finish)(void *context, uint64_t request, uint64_t attempt,
                   const AqOutcome *outcome);
} AqRouterOps;

/* Bits of AqRouterConfig.disabled, one per mechanism; each comment says what
 * happens when the bit is set.  For measurements and tests only: with any of
 * them set, the rules of the design page, section 5.3, do not hold. */
enum {
    AQ_ROUTER_DISABLE_QUEUE_LIMIT = 1 << 0, /* queues are unbounded */
    AQ_ROUTER_DISABLE_ADMISSION = 1 << 1,   /* expected wait is ignored */
    AQ_ROUTER_DISABLE_PRIORITY = 1 << 2,    /* one queue in order of arrival */
    AQ_ROUTER_DISABLE_LOAD_CHOICE = 1 << 3, /* endpoint chosen at random */
    AQ_ROUTER_DISABLE_CLAIM = 1 << 4,       /* starts without a claim */
    AQ_ROUTER_DISABLE_RETRY = 1 << 5,       /* one attempt only */
    AQ_ROUTER_DISABLE_RETRY_RULE = 1 << 6, /* retries even what may have run */
    AQ_ROUTER_DISABLE_RETRY_BUDGET = 1 << 7, /* retries need no token */
    AQ_ROUTER_DISABLE_JITTER = 1 << 8,       /* backoff is its upper bound */
    AQ_ROUTER_DISABLE_EJECTION = 1 << 9,     /* no endpoint is ejected */
    AQ_ROUTER_DISABLE_EJECTION_SHARE = 1 << 10, /* all may be ejected */
    AQ_ROUTER_DISABLE_TRIAL = 1 << 11, /* ejections end without a trial */
    /* Attempts time out at the deadline only, may always reuse an idle
     * connection, and a timeout leaves idle connections open. */
    AQ_ROUTER_DISABLE_SILENT = 1 << 12,
    AQ_ROUTER_DISABLE_LEAVING = 1 << 13,   /* leaving endpoints get requests */
    AQ_ROUTER_DISABLE_FRESHNESS = 1 << 14, /* serves while not fresh */
    AQ_ROUTER_DISABLE_STOP = 1 << 15,      /* AqRouter_Stop has no effect */
    /* Requests that may have run are reported as not run when they fail. */
    AQ_ROUTER_DISABLE_RUN_MARK = 1 << 16
};

typedef struct {
    int queue_limit;    /* queued and claiming requests per service */
    int max_attempts;   /* per request, retries included */
    double retry_ratio; /* retry tokens earned per request */
    double retry_burst; /* maximum of retry tokens per service */
    /* The random backoff before a retry has an upper bound, which starts at
     * the first value and doubles with each retry up to the second. */
    AqTime backoff_initial_ms;
    AqTime backoff_max_ms;
    /* While both priorities wait, one start in this many is of the archive. */
    int archive_start_interval;
    /* Percentage of a service's endpoints that may be ejected at a time. */
    int max_ejected_percent;
    /* Length of an endpoint's first ejection, which doubles with each further
     * one up to the maximum. */
    AqTime eject_initial_ms;
    AqTime eject_max_ms;
    /* After a service has had no slot for this long, its requests fail. */
    AqTime slot_wait_ms;
    /* AQ_ROUTER_DISABLE_* bits, for measurements and tests; 0 by default. */
    unsigned disabled;
} AqRouterConfig;

/* Sets the defaults of the design page. */
void AqRouterConfig_Init(AqRouterConfig *config);

/* Creates a router without endpoints, which the caller destroys.  "config" and
 * "ops" are copied; "context" is passed to the operations. */
AqRouter *AqRouter_Create(const AqRouterConfig *config, const AqRouterOps *ops,
                          void *context, uint64_t seed);
void AqRouter_Destroy(AqRouter *router);

/* Adds an endpoint, without slots, or moves it to another service.  The names
 * are copied. */
void AqRouter_SetEndpoint(AqRouter *router, AqTime now, const char *endpoint,
                          const char *service);
/* Removes an endpoint: no new attempt starts on it, those in flight finish. */
void AqRouter_RemoveEndpoint(AqRouter *router, AqTime now,
                             const char *endpoint);
/* Sets the number of concurrent attempts that this daemon may run on the
 * endpoint.  Attempts in flight above it finish. */
void AqRouter_SetSlots(AqRouter *router, AqTime now, const char *endpoint,
                       int slots);
/* Sets whether the endpoint is leaving: then no new attempt starts on it, and
 * those in flight finish. */
void AqRouter_SetLeaving(AqRouter *router, AqTime now, const char *endpoint,
                         bool leaving);
/* Sets whether the daemon's configuration is fresh, i.e. certainly still in
 * force.  While it is not, new requests are refused and no attempt starts;
 * waiting requests fail as soon as it ceases to be.  Initially not fresh. */
void AqRouter_SetFresh(AqRouter *router, AqTime now, bool fresh);
/* Refuses new requests from now on; those already accepted finish. */
void AqRouter_Stop(AqRouter *router, AqTime now);

/* Submits a request and returns its number.  AqRouterOps.finish follows for
 * it, also when it is refused, but never from inside this call. */
uint64_t AqRouter_Submit(AqRouter *router, AqTime now,
                         const AqRequestSpec *spec);
/* Cancels a request whose caller has disconnected.  AqRouterOps.finish is
 * called with AQ_OUTCOME_UNKNOWN or AQ_OUTCOME_NOT_RUN, so that every request
 * is counted under an outcome.  Unknown numbers are ignored. */
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

/* Performs what is due: timeouts, retries, refusals, starts. */
void AqRouter_Tick(AqRouter *router, AqTime now);
/* Returns when AqRouter_Tick must be called next: the time of the last call if
 * an attempt may be able to start already, AQ_TIME_NEVER if nothing is due. */
AqTime AqRouter_NextTick(const AqRouter *router);

/* Attempts in flight on one endpoint (0 for an unknown one), and on all. */
int AqRouter_InFlight(const AqRouter *router, const char *endpoint);
int AqRouter_TotalInFlight(const AqRouter *router);
/* Queued requests and free slots of a service; 0 for an unknown one. */
int AqRouter_Queued(const AqRouter *router, const char *service);
int AqRouter_FreeSlots(const AqRouter *router, const char *service);
/* Calls "visit" for each service that has endpoints. */
void AqRouter_EachService(const AqRouter *router,
                          void (*visit)(void *context, const char *service),
                          void *context);
/* Whether the endpoint is ejected: its requests or health checks have failed,
 * and it gets no request but a trial when the ejection is over. */
bool AqRouter_IsEjected(const AqRouter *router, const char *endpoint);

/* Counters since AqRouter_Create. */
typedef struct {
    uint64_t submitted; /* requests, refused ones included */
    uint64_t attempts;  /* started, retries included */
    uint64_t retries;
    uint64_t retries_denied; /* by the retry budget */
    uint64_t completed;      /* requests with AQ_OUTCOME_COMPLETED */
    uint64_t not_run;        /* requests with AQ_OUTCOME_NOT_RUN */
    uint64_t unknown;        /* requests with AQ_OUTCOME_UNKNOWN */
    uint64_t ejections;      /* failed trials included */
    uint64_t silent;         /* attempts timed out after sending */
} AqRouterStats;

void AqRouter_GetStats(const AqRouter *router, AqRouterStats *stats);

/* Checks the invariants of all internal tables, for tests.  Returns false and
 * sets "error" (may be NULL) if one is violated. */
bool AqRouter_CheckConsistency(const AqRouter *router, AqError *error);

#endif
