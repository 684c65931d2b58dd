#ifndef AQ_ROUTER_PRIVATE_H
#define AQ_ROUTER_PRIVATE_H

#include <glib.h>

#include "aq_list.h"
#include "aq_random.h"
#include "aq_router.h"

/* Data structures and functions shared by the sources of this package. */

enum {
    /* Consecutive failures, of requests or of health checks, that eject an
     * endpoint (design page, section 12). */
    AQ_EJECT_CONSECUTIVE_FAILURES = 5,
    /* Last outcomes of an endpoint over which its failure rate is computed: it
     * is ejected when more than half of them failed (section 5.3). */
    AQ_EJECT_WINDOW_COUNT = 20,
    /* Latencies kept per service to compute the p95: enough for six values
     * above it. */
    AQ_LATENCY_SAMPLES = 128,
    /* Mean and p95 of a service without samples (design page, section 12). */
    AQ_DEFAULT_MEAN_MS = 100,
    AQ_DEFAULT_P95_MS = 1000,
    /* Lower bound of the limit that the p95 sets for the attempt timeout
     * (design page, section 5.3). */
    AQ_ATTEMPT_TIMEOUT_MIN_MS = 250,
    /* Suggested to callers when the expected wait is not the reason of the
     * refusal or cannot be computed. */
    AQ_DEFAULT_RETRY_AFTER_MS = 1000,
    /* An endpoint's mean latency expires at this age of its last sample.
     * Short enough to detect that an endpoint has become faster, and long
     * enough that the slowest one gets few requests at low load. */
    AQ_LATENCY_MAX_AGE_MS = 10000,
    /* Interval in which the deadlines of queued requests are compared with
     * the expected wait. */
    AQ_SWEEP_INTERVAL_MS = 100,
    /* Number of last attempts per request whose endpoints are recorded, so
     * that retries prefer others. */
    AQ_TRIED_MAX = 4
};

typedef struct AqEndpoint AqEndpoint;
typedef struct AqService AqService;

/* Moving average: the mean of up to 64 samples, exponentially weighted with
 * 1/64 after that. */
typedef struct {
    double ms;
    uint64_t count; /* samples added so far */
} AqRouterMean;

struct AqEndpoint {
    char *name;
    /* Unique and never reused, unlike the address.  An endpoint that is moved
     * or added again gets a new one. */
    uint64_t number;
    AqService *service;
    int slots;  /* concurrent attempts allowed */
    int in_use; /* attempts in flight */
    bool leaving;
    bool removed;           /* freed when in_use is 0 */
    AqTime last_latency_at; /* when the last sample of latency was added */
    AqRouterMean latency; /* of responses below 500, too large ones included */

    int consecutive_failures; /* of requests, since the last success */
    int health_failures;      /* of health checks, since the last passed one */
    /* Ring buffer of the last outcomes, true for a failure. */
    bool recent_failed[AQ_EJECT_WINDOW_COUNT];
    int recent_count;     /* valid entries of recent_failed */
    int recent_next;      /* index that the next outcome is written to */
    AqTime suspect_until; /* until then other endpoints are preferred */
    bool ejected;
    bool healthy_since_eject; /* the last health check since then passed */
    AqTime eject_until;       /* when a trial may start */
    AqTime eject_last_ms;   /* length of the last ejection; 0 after recovery */
    uint64_t trial_attempt; /* number of the attempt that is the trial, or 0 */
};

struct AqService {
    AqLink link;
    char *name;
    GPtrArray *endpoints;      /* AqEndpoint, owned by AqRouter.endpoints */
    AqLink live;               /* queue of AqRouterRequest.queue_link */
    AqLink archive;            /* the same for AQ_PRIORITY_ARCHIVE */
    int live_count;            /* length of live */
    int archive_count;         /* length of archive */
    int claiming;              /* requests in state AQ_REQUEST_CLAIMING */
    unsigned contended_starts; /* starts while both priorities waited */
    double retry_tokens;       /* balance of the retry budget */
    AqRouterMean slot_time;    /* how long an attempt occupies its slot */
    AqTime latencies[AQ_LATENCY_SAMPLES]; /* ring buffer, ms */
    size_t latency_count;                 /* samples added so far */
    AqTime p95_ms;                        /* of latencies */
    AqTime next_sweep_at;                 /* when AqRouterQueue_Sweep is due */
    AqTime no_slots_since; /* AQ_TIME_NEVER while there are slots */
};

typedef enum {
    AQ_REQUEST_REFUSED,  /* not admitted; the next tick finishes it */
    AQ_REQUEST_CLAIMING, /* waits for its claim */
    AQ_REQUEST_QUEUED,   /* waits for a slot */
    AQ_REQUEST_BACKOFF,  /* waits for the time of its retry */
    AQ_REQUEST_RUNNING   /* an attempt is in flight */
} AqRequestState;

typedef struct {
    uint64_t id;        /* number returned by AqRouter_Submit */
    AqService *service; /* NULL if the name is unknown */
    bool idempotent;
    AqPriority priority;
    AqTime deadline;
    AqRequestState state;
    AqLink link;              /* in AqRouter.requests */
    AqLink queue_link;        /* in AqService.live or .archive */
    bool queued_without_slot; /* no slot was free for it when it was queued */
    AqTime timer_at;          /* when the timer is due */
    size_t timer_index;       /* in AqRouter.timers; SIZE_MAX if not there */

    AqReason refusal_reason; /* in state AQ_REQUEST_REFUSED */
    AqTime retry_after_ms;   /* in state AQ_REQUEST_REFUSED */

    bool claim_requested; /* AqRouterOps.claim was called and has no result */
    bool claimed;         /* the claim was granted */
    bool may_have_run;    /* an endpoint may have executed an attempt */
    AqReason unknown_reason; /* why the outcome would be unknown, or NONE */
    int attempts;            /* started so far */
    /* Ring buffer of AqEndpoint.number, one per attempt. */
    uint64_t tried[AQ_TRIED_MAX];
    uint64_t attempt;      /* number of the attempt in flight, or 0 */
    AqEndpoint *endpoint;  /* of the attempt in flight, or NULL */
    AqTime started_at;     /* of the last attempt */
    bool fresh_connection; /* the last attempt must not reuse a connection */
} AqRouterRequest;

struct AqRouter {
    AqRouterConfig config;
    AqRouterOps ops;
    void *context;
    AqRandom random;
    AqTime now;    /* argument of the last call */
    bool fresh;    /* the configuration is certainly in force */
    bool stopping; /* AqRouter_Stop was called */
    bool work_due; /* an attempt may be able to start since the last tick */
    uint64_t last_request;  /* highest request number used so far */
    uint64_t last_attempt;  /* highest attempt number used so far */
    uint64_t last_endpoint; /* highest AqEndpoint.number used so far */
    int in_flight;          /* attempts in flight on all endpoints */
    AqLink services;        /* AqService.link */
    AqLink requests;        /* AqRouterRequest.link, all requests by age */
    GHashTable *by_id;      /* request number -> AqRouterRequest, owned */
    GHashTable *by_attempt; /* attempt number -> AqRouterRequest, not owned */
    GHashTable *endpoints;  /* name -> AqEndpoint, owned */
    GPtrArray *timers;      /* binary heap of AqRouterRequest by timer_at */
    AqRouterStats stats;
};

/* Whether the mechanism, given as its AQ_ROUTER_DISABLE_* bit, is in use. */
static inline bool
AqRouter_IsEnabled(const AqRouter *router, unsigned mechanism)
{
    return (router->config.disabled & mechanism) == 0;
}

/* ---- timers.c: one timer per request ------------------------------------ */

/* Sets the request's timer, or moves it. */
void AqRouterTimers_Set(AqRouter *router, AqRouterRequest *r, AqTime timer_at);
/* Removes the request's timer, if it has one. */
void AqRouterTimers_Remove(AqRouter *router, AqRouterRequest *r);
/* Returns the request whose timer is due first, or NULL. */
AqRouterRequest *AqRouterTimers_First(const AqRouter *router);

/* ---- service.c: services and their statistics --------------------------- */

/* Returns the service of this name, or NULL. */
AqService *AqRouterService_Find(const AqRouter *router, const char *name);
/* Returns the service of this name, which is created if necessary. */
AqService *AqRouterService_Ensure(AqRouter *router, const char *name);
void AqRouterService_Destroy(AqService *service);
/* Adds a sample of "ms" milliseconds to the moving average. */
void AqRouterMean_Add(AqRouterMean *mean, AqTime ms);
/* Adds a latency sample and updates the p95. */
void AqRouterService_AddLatency(AqService *service, AqTime ms);
/* Returns the mean time for which an attempt occupies its slot. */
double AqRouterService_MeanMs(const AqService *service);
/* Return the total and the free slots of the endpoints that accept requests
 * and are not ejected. */
int AqRouterService_Slots(const AqRouter *router, const AqService *service);
int AqRouterService_FreeSlots(const AqRouter *router,
                              const AqService *service);
/* Whether any endpoint accepts requests, be it ejected or without slots. */
bool AqRouterService_HasEndpoint(const AqRouter *router,
                                 const AqService *service);
/* Updates no_slots_since after a change of endpoints or slots. */
void AqRouterService_UpdateNoSlots(AqRouter *router, AqService *service,
                                   AqTime now);

/* ---- endpoint.c: endpoints and the choice of one ------------------------ */

/* Whether new attempts may start on the endpoint, apart from slots and
 * ejection: it is neither removed nor leaving. */
bool AqRouterEndpoint_AcceptsRequests(const AqRouter *router,
                                      const AqEndpoint *ep);
/* Returns the endpoint for the request's next attempt, or NULL if none has a
 * free slot: one that is due for a trial, or the better of two drawn at
 * random. */
AqEndpoint *AqRouterEndpoint_Choose(AqRouter *router, AqTime now,
                                    const AqRouterRequest *r);
/* Releases the slot of an attempt that has ended.  Frees the endpoint if it is
 * removed and this was its last attempt. */
void AqRouterEndpoint_ReleaseSlot(AqRouter *router, AqEndpoint *ep);
/* Frees an AqEndpoint; a GDestroyNotify. */
void AqRouterEndpoint_Destroy(void *endpoint);

/* ---- eject.c: failures, ejection and trials ----------------------------- */

/* Records the outcome of an attempt, which may eject the endpoint or, when the
 * attempt is its trial, end or renew the ejection. */
void AqRouterEject_Record(AqRouter *router, AqTime now, AqEndpoint *ep,
                          uint64_t attempt, bool failed);
/* Clears the failures and the ejection of an endpoint that is new in its
 * service. */
void AqRouterEject_Reset(AqEndpoint *ep);
/* Whether the endpoint is due for a trial and the request may serve as it. */
bool AqRouterEject_TrialDue(const AqRouter *router, AqTime now,
                            const AqEndpoint *ep, const AqRouterRequest *r);
/* Return how many endpoints of the service may be ejected, and how many are;
 * only endpoints that accept requests count. */
int AqRouterEject_Limit(const AqRouter *router, const AqService *service);
int AqRouterEject_Count(const AqRouter *router, const AqService *service);
/* Ends ejections above the limit, which falls with the number of endpoints;
 * those that are over soonest end first. */
void AqRouterEject_EnforceLimit(AqRouter *router, const AqService *service);

/* ---- budget.c: retry tokens and backoff --------------------------------- */

/* Adds the tokens that one new request earns. */
void AqRouterBudget_Earn(const AqRouter *router, AqService *service);
/* Takes a token for a retry; returns false if there is none. */
bool AqRouterBudget_Spend(AqRouter *router, AqService *service);
/* Returns the delay before the retry that follows this many attempts, in
 * ms. */
AqTime AqRouterBudget_Backoff(AqRouter *router, int attempts);

/* ---- queue.c: queued requests and admission ----------------------------- */

/* Returns the number of queued requests of both priorities. */
int AqRouterQueue_Count(const AqService *service);
/* Queues the request, at the front if "first" is true. */
void AqRouterQueue_Push(AqRouter *router, AqRouterRequest *r, bool first);
/* Removes the request from its queue, with its timer. */
void AqRouterQueue_Remove(AqRouter *router, AqRouterRequest *r);
/* Returns the request to start next or, if "other" is true, the first one of
 * the other priority; NULL if there is none.  Removes nothing. */
AqRouterRequest *AqRouterQueue_Next(const AqRouter *router,
                                    const AqService *service, bool other);
/* Counts a start, which decides when the archive is next; call it before the
 * request leaves its queue. */
void AqRouterQueue_CountStart(AqService *service);
/* Returns how long a new request would wait for a slot, in ms; 0 if one is
 * free for it. */
AqTime AqRouterQueue_ExpectedWait(const AqRouter *router,
                                  const AqService *service,
                                  AqPriority priority);
/* Returns why a new request is refused, or AQ_REASON_NONE. */
AqReason AqRouterQueue_Admit(const AqRouter *router, AqTime now,
                             const AqService *service,
                             const AqRequestSpec *spec);
/* Whether a request that had to wait has too little time left to start. */
bool AqRouterQueue_TooLate(const AqRouter *router, AqTime now,
                           const AqRouterRequest *r);
/* Fails queued requests that cannot start in time, and all requests that wait
 * for a service which has had no slot for slot_wait_ms. */
void AqRouterQueue_Sweep(AqRouter *router, AqTime now, AqService *service);

/* ---- request.c: submission and outcome of requests ---------------------- */

/* Handles the expired timer of a request. */
void AqRouterRequest_OnTimer(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Reports the request's outcome and frees the request. */
void AqRouterRequest_Finish(AqRouter *router, AqRouterRequest *r,
                            const AqOutcome *outcome, uint64_t attempt);
/* Finishes a request that has no attempt in flight, without a response: as not
 * run if that is certain, as unknown otherwise. */
void AqRouterRequest_Fail(AqRouter *router, AqRouterRequest *r,
                          AqReason reason);
/* Fails the requests of the service, or of all if it is NULL, that have no
 * attempt in flight and are not refused already. */
void AqRouterRequest_FailWaiting(AqRouter *router, const AqService *service,
                                 AqReason reason);

/* ---- attempt.c: starts, results, timeouts and retries ------------------- */

/* Starts an attempt of a queued request on the endpoint. */
void AqRouterAttempt_Start(AqRouter *router, AqTime now, AqRouterRequest *r,
                           AqEndpoint *ep);
/* Cancels the attempt in flight, which has timed out, and retries or fails the
 * request. */
void AqRouterAttempt_Timeout(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Cancels the attempt in flight and releases its slot.  Returns whether
 * certainly no byte of it was sent. */
bool AqRouterAttempt_Cancel(AqRouter *router, AqRouterRequest *r);

#endif
