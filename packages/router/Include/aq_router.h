#ifndef AQ_ROUTER_H
#define AQ_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"

/* Decides for each request when and where it is tried, and what its caller is
 * told.  Pure: attempts, claims and answers go out through AqRouterOps, their
 * results come back as calls.  Design page, section 5.3. */

typedef struct AqRouter AqRouter;

typedef enum {
    AQ_PRIORITY_LIVE,
    AQ_PRIORITY_ARCHIVE
} AqPriority;

typedef struct {
    const char *service; /* copied */
    bool idempotent;
    AqPriority priority;
    AqTime deadline; /* when the caller stops waiting */
} AqRequestSpec;

typedef enum {
    AQ_OUTCOME_COMPLETED, /* the answer of the last attempt */
    AQ_OUTCOME_NOT_RUN,
    AQ_OUTCOME_UNKNOWN
} AqOutcomeKind;

typedef enum {
    AQ_REASON_NONE,
    AQ_REASON_QUEUE_FULL,
    AQ_REASON_DEADLINE, /* cannot be met, or passed */
    AQ_REASON_NO_ENDPOINT,
    AQ_REASON_NO_SERVICE,
    AQ_REASON_NOT_FRESH,
    AQ_REASON_CLAIM_STORE,
    AQ_REASON_DUPLICATE,
    AQ_REASON_CUT,     /* the connection closed after sending */
    AQ_REASON_SILENT,  /* the attempt timed out after sending */
    AQ_REASON_REFUSED, /* every endpoint tried refused it */
    AQ_REASON_TOO_LARGE,
    AQ_REASON_STOPPING
} AqReason;

typedef struct {
    AqOutcomeKind kind;
    AqReason reason;
    AqTime retry_after_ms; /* not-run: when to come back */
} AqOutcome;

typedef enum {
    AQ_ATTEMPT_ANSWERED, /* a whole answer, status below 500 */
    AQ_ATTEMPT_FAILED,   /* a whole answer, status 500 or above */
    AQ_ATTEMPT_REFUSED,  /* whole answer with Aq-Not-Run: did not run */
    AQ_ATTEMPT_NOT_SENT, /* no connection; no byte of the request left */
    AQ_ATTEMPT_CUT,      /* closed, partial or wrong answer after sending */
    AQ_ATTEMPT_TOO_LARGE /* the answer is over the size limit */
} AqAttemptResult;

typedef struct {
    uint64_t request;
    uint64_t attempt;     /* unique in this daemon */
    const char *endpoint; /* borrowed */
    bool fresh_connection;
    AqTime timeout_at; /* the router cancels the attempt by itself then */
} AqAttempt;

/* start_attempt and claim are called from AqRouter_Tick only; the others from
 * any call but AqRouter_Submit. */
typedef struct {
    /* Starts an attempt; exactly one AqRouter_AttemptDone follows, unless
     * cancel_attempt comes before. */
    void (*start_attempt)(void *context, const AqAttempt *attempt);
    /* Stops an attempt and closes its connection; it reports nothing more.
     * Returns true when it is certain that no byte of the request left. */
    bool (*cancel_attempt)(void *context, uint64_t attempt);
    /* Closes all idle connections to an endpoint. */
    void (*close_idle)(void *context, const char *endpoint);
    /* Asks for a claim; AqRouter_ClaimDone follows, unless forget_claim comes
     * before. */
    void (*claim)(void *context, uint64_t request);
    void (*forget_claim)(void *context, uint64_t request);
    /* The claimed request certainly did not run. */
    void (*release_claim)(void *context, uint64_t request);
    /* The request's final outcome; the request is gone afterwards.  For
     * AQ_OUTCOME_COMPLETED the answer is that of "attempt". */
    void (*finish)(void *context, uint64_t request, uint64_t attempt,
                   const AqOutcome *outcome);
} AqRouterOps;

/* Mechanisms that AqRouterConfig.disabled leaves out, one bit each.  For
 * measurements and tests only: without them the rules of the design page,
 * section 5.3, do not hold. */
enum {
    AQ_ROUTER_DISABLE_QUEUE_LIMIT = 1 << 0, /* queues are unbounded */
    AQ_ROUTER_DISABLE_ADMISSION = 1 << 1,   /* no refusal by expected wait */
    AQ_ROUTER_DISABLE_PRIORITY = 1 << 2,    /* one queue in order of arrival */
    AQ_ROUTER_DISABLE_LOAD_CHOICE = 1 << 3, /* one random endpoint */
    AQ_ROUTER_DISABLE_CLAIM = 1 << 4,       /* starts without a claim */
    AQ_ROUTER_DISABLE_RETRY = 1 << 5,       /* one attempt only */
    AQ_ROUTER_DISABLE_RETRY_RULE = 1 << 6,  /* retries whatever may have run */
    AQ_ROUTER_DISABLE_RETRY_BUDGET = 1 << 7, /* retries without tokens */
    AQ_ROUTER_DISABLE_JITTER = 1 << 8,       /* backoff at its upper bound */
    AQ_ROUTER_DISABLE_EJECTION = 1 << 9,     /* no endpoint is set aside */
    AQ_ROUTER_DISABLE_EJECTION_SHARE = 1 << 10, /* eject_percent is ignored */
    AQ_ROUTER_DISABLE_TRIAL =
        1 << 11, /* set aside: back with all slots at once */
    AQ_ROUTER_DISABLE_SILENT = 1 << 12,    /* attempts last until the deadline,
                                       reuse    connections, close no idle ones */
    AQ_ROUTER_DISABLE_LEAVING = 1 << 13,   /* leaving endpoints get new work */
    AQ_ROUTER_DISABLE_FRESHNESS = 1 << 14, /* serves while not fresh */
    AQ_ROUTER_DISABLE_STOP = 1 << 15, /* takes requests after AqRouter_Stop */
    AQ_ROUTER_DISABLE_RUN_MARK = 1 << 16 /* what was given up was not run */
};

typedef struct {
    int queue_limit;        /* requests waiting per service */
    int max_attempts;       /* per request */
    double retry_ratio;     /* retry tokens earned per request */
    double retry_burst;     /* most retry tokens of a service */
    AqTime backoff_low_ms;  /* first backoff */
    AqTime backoff_high_ms; /* longest backoff */
    int archive_share;      /* one in so many starts when both wait */
    int eject_percent;      /* most endpoints of a service set aside */
    AqTime eject_ms;        /* first time set aside */
    AqTime eject_max_ms;
    AqTime slot_wait_ms; /* longest wait while a service has no slot at all */
    unsigned
        disabled; /* AQ_ROUTER_DISABLE_*, for measurements; 0 by default */
} AqRouterConfig;

/* The defaults of the design page. */
void AqRouterConfig_Init(AqRouterConfig *config);

/* "config" and "ops" are copied; "context" is passed to the operations. */
AqRouter *AqRouter_Create(const AqRouterConfig *config, const AqRouterOps *ops,
                          void *context, uint64_t seed);
void AqRouter_Destroy(AqRouter *router);

/* Adds an endpoint or moves it to another service.  Strings are copied. */
void AqRouter_SetEndpoint(AqRouter *router, AqTime now, const char *endpoint,
                          const char *service);
/* Removes it once its requests in flight have ended; nothing new starts. */
void AqRouter_RemoveEndpoint(AqRouter *router, AqTime now,
                             const char *endpoint);
/* Slots that this daemon may use on the endpoint now. */
void AqRouter_SetSlots(AqRouter *router, AqTime now, const char *endpoint,
                       int slots);
/* Leaving endpoints get nothing new; requests in flight finish. */
void AqRouter_SetLeaving(AqRouter *router, AqTime now, const char *endpoint,
                         bool leaving);
/* A daemon that is not fresh refuses new requests and starts nothing; what
 * waits is given up on at once.  A router starts not fresh. */
void AqRouter_SetFresh(AqRouter *router, AqTime now, bool fresh);
/* New requests are refused; those taken finish. */
void AqRouter_Stop(AqRouter *router, AqTime now);

/* Takes a request; finish comes later (never from inside this call) with the
 * number that is returned. */
uint64_t AqRouter_Submit(AqRouter *router, AqTime now,
                         const AqRequestSpec *spec);
/* The caller is gone.  finish is called as for an unknown outcome or not-run
 * so that counters stay right. */
void AqRouter_Cancel(AqRouter *router, AqTime now, uint64_t request);

typedef enum {
    AQ_ROUTER_CLAIM_GRANTED,
    AQ_ROUTER_CLAIM_DUPLICATE,
    AQ_ROUTER_CLAIM_UNAVAILABLE
} AqRouterClaim;

void AqRouter_ClaimDone(AqRouter *router, AqTime now, uint64_t request,
                        AqRouterClaim result);
void AqRouter_AttemptDone(AqRouter *router, AqTime now, uint64_t attempt,
                          AqAttemptResult result);
void AqRouter_HealthDone(AqRouter *router, AqTime now, const char *endpoint,
                         bool healthy);

/* Carries out what is due: starts, retries, timeouts, answers. */
void AqRouter_Tick(AqRouter *router, AqTime now);
/* When AqRouter_Tick is due next: "now" or earlier when work waits already. */
AqTime AqRouter_NextTick(const AqRouter *router);

int AqRouter_InFlight(const AqRouter *router, const char *endpoint);
int AqRouter_TotalInFlight(const AqRouter *router);
/* Requests waiting and free slots of a service; 0 for an unknown one. */
int AqRouter_Queued(const AqRouter *router, const char *service);
int AqRouter_Idle(const AqRouter *router, const char *service);
/* Calls "visit" for each service that has endpoints. */
void AqRouter_EachService(const AqRouter *router,
                          void (*visit)(void *context, const char *service),
                          void *context);
bool AqRouter_IsEjected(const AqRouter *router, const char *endpoint);

typedef struct {
    uint64_t submitted;
    uint64_t attempts;
    uint64_t retries;
    uint64_t retries_denied; /* by the retry budget */
    uint64_t completed;
    uint64_t not_run;
    uint64_t unknown;
    uint64_t ejections;
    uint64_t silent; /* attempts timed out on an open connection */
} AqRouterStats;

void AqRouter_GetStats(const AqRouter *router, AqRouterStats *stats);

bool AqRouter_CheckConsistency(const AqRouter *router, AqError *error);

#endif
