#ifndef AQ_ROUTER_PRIVATE_H
#define AQ_ROUTER_PRIVATE_H

#include <glib.h>

#include "aq_list.h"
#include "aq_random.h"
#include "aq_router.h"

/* Data structures and functions shared by the sources of the router. */

enum {
    /* An endpoint is ejected after this many consecutive failed attempts, or
     * after this many consecutive failed health checks (docs/design.md,
     * section 12). */
    AQ_EJECT_CONSECUTIVE_FAILURES = 5,
    /* The failure rate of an endpoint is computed over this many of its last
     * attempts.  Once so many are recorded, the endpoint is ejected when more
     * than half of them failed (docs/design.md, section 5.3). */
    AQ_EJECT_WINDOW_COUNT = 20,
    /* Last response times kept per service to compute the 95th percentile
     * (p95): enough for six values above it. */
    AQ_LATENCY_SAMPLES = 128,
    /* Mean time for which an attempt occupies a slot, assumed for a service
     * without samples (docs/design.md, section 12). */
    AQ_DEFAULT_MEAN_MS = 100,
    /* 95th percentile of the response time, assumed for a service without
     * samples (docs/design.md, section 12). */
    AQ_DEFAULT_P95_MS = 1000,
    /* Least timeout of an attempt of an idempotent request, used when four
     * times the 95th percentile of the service's response times is shorter
     * (docs/design.md, section 5.3).  A near deadline of the request may make
     * the timeout shorter still. */
    AQ_ATTEMPT_TIMEOUT_MIN_MS = 250,
    /* Delay, in ms, suggested to the caller of a refused request before
     * submitting it again.  Used when the refusal is not due to the expected
     * wait or that wait cannot be computed. */
    AQ_DEFAULT_RETRY_AFTER_MS = 1000,
    /* An endpoint's mean latency expires when its last sample is this old.
     * Short enough to detect that an endpoint has become faster, and long
     * enough that the slowest endpoint gets few requests at low load. */
    AQ_LATENCY_MAX_AGE_MS = 10000,
    /* Interval between two sweeps of a service's queues, which fail the
     * requests that are not expected to complete before their deadlines. */
    AQ_SWEEP_INTERVAL_MS = 100,
    /* For this many last attempts of a request, the router records the
     * endpoint, so that retries prefer other endpoints. */
    AQ_TRIED_MAX = 4
};

typedef struct AqEndpoint AqEndpoint;
typedef struct AqService AqService;

/* Moving average of times in ms: the plain mean of up to 64 samples; after
 * that, each new sample has the weight 1/64. */
typedef struct {
    double ms;
    uint64_t count; /* samples added to the mean so far */
} AqRouterMean;

struct AqEndpoint {
    char *name;
    /* Identifies the endpoint within the router and is never reused, unlike
     * the address of its AqEndpoint.  An endpoint that is moved to another
     * service or added again gets a new number. */
    uint64_t number;
    AqService *service;
    int slots;  /* maximum of attempts in flight on the endpoint */
    int in_use; /* attempts in flight on the endpoint */
    bool leaving;
    /* The endpoint was removed; it is freed when in_use is 0. */
    bool removed;
    /* When the last sample was added to "latency". */
    AqTime last_latency_at;
    /* Mean response time of the endpoint, in ms, over its responses with a
     * status below 500 and its responses over the size limit. */
    AqRouterMean latency;

    /* Failed attempts on the endpoint since its last successful attempt or its
     * last ejection. */
    int consecutive_failures;
    /* Failed health checks of the endpoint since its last passed one. */
    int health_failures;
    /* Ring buffer of the outcomes of the last attempts on the endpoint; true
     * for a failed attempt. */
    bool recent_failed[AQ_EJECT_WINDOW_COUNT];
    int recent_count; /* number of valid entries of recent_failed */
    int recent_next;  /* array index in recent_failed to write next */
    /* Until this time, the router prefers other endpoints, because attempts on
     * this endpoint have failed. */
    AqTime suspect_until;
    bool ejected;
    /* The endpoint passed its last health check, and that check was made after
     * the endpoint's last ejection. */
    bool healthy_since_eject;
    /* When the time of the endpoint's ejection is over.  From then on, one
     * request may be sent to the endpoint; the success of that request ends
     * the ejection. */
    AqTime eject_until;
    /* Length, in ms, of the endpoint's last ejection; 0 if the endpoint was
     * never ejected or has recovered, i.e. since then less than half of its
     * last AQ_EJECT_WINDOW_COUNT attempts failed. */
    AqTime eject_last_ms;
    /* Id of the attempt in flight that finds out whether the ejected endpoint
     * works again (the trial); 0 if no trial is in flight. */
    uint64_t trial_attempt;
};

struct AqService {
    AqLink link;
    char *name;
    GPtrArray *endpoints; /* AqEndpoint, owned by AqRouter.endpoints */
    /* Queue of AQ_PRIORITY_LIVE requests, linked by
     * AqRouterRequest.queue_link. */
    AqLink live;
    /* Queue of AQ_PRIORITY_ARCHIVE requests, linked by
     * AqRouterRequest.queue_link. */
    AqLink archive;
    int live_count;    /* number of requests in the queue "live" */
    int archive_count; /* number of requests in the queue "archive" */
    /* Number of the service's requests in the state AQ_REQUEST_CLAIMING. */
    int claiming;
    /* Attempts of this service's requests that started while requests of both
     * priorities, live and archive, were queued in the service. */
    unsigned contended_starts;
    /* Retry tokens that the service has left; each retry uses up one. */
    double retry_tokens;
    /* Mean time, in ms, for which an attempt of the service's requests
     * occupies its slot. */
    AqRouterMean slot_time;
    /* Ring buffer of the last response times of the service, in ms. */
    AqTime latencies[AQ_LATENCY_SAMPLES];
    size_t latency_count; /* samples added to "latencies" so far */
    AqTime p95_ms;        /* 95th percentile of "latencies" */
    /* When AqRouterQueue_Sweep is due for the service. */
    AqTime next_sweep_at;
    /* Time since which none of the service's endpoints that accept requests
     * has had slots; AQ_TIME_NEVER while one of them has slots. */
    AqTime no_slots_since;
};

typedef enum {
    /* The request was not admitted; the next AqRouter_Tick reports the
     * outcome. */
    AQ_REQUEST_REFUSED,
    /* The request waits for the result of the claim on its request id. */
    AQ_REQUEST_CLAIMING,
    AQ_REQUEST_QUEUED,  /* the request waits for a free slot */
    AQ_REQUEST_BACKOFF, /* the request waits until its retry is due */
    AQ_REQUEST_RUNNING  /* an attempt of the request is in flight */
} AqRequestState;

typedef struct {
    uint64_t id;        /* number returned by AqRouter_Submit */
    AqService *service; /* NULL if the service name is unknown */
    bool idempotent;
    AqPriority priority;
    AqTime deadline;
    AqRequestState state;
    AqLink link;       /* list link in AqRouter.requests */
    AqLink queue_link; /* list link in AqService.live or .archive */
    /* No slot was free for the request when it was queued. */
    bool queued_without_slot;
    AqTime timer_at; /* when the request's timer is due */
    /* Array index in AqRouter.timers; SIZE_MAX if the request has no timer. */
    size_t timer_index;

    /* Why the request was not admitted; set in the state AQ_REQUEST_REFUSED
     * only. */
    AqReason refusal_reason;
    /* Delay suggested to the caller before submitting again; set in the state
     * AQ_REQUEST_REFUSED only. */
    AqTime retry_after_ms;

    /* AqRouterOps.claim was called for the request and has no result yet. */
    bool claim_requested;
    bool claimed;      /* the claim on the request id was granted */
    bool may_have_run; /* an endpoint may have executed the request */
    /* Reason to report with AQ_OUTCOME_UNKNOWN unless the deadline is the
     * reason; AQ_REASON_NONE if nothing made the outcome unknown. */
    AqReason unknown_reason;
    int attempts; /* attempts of the request that have started */
    /* Ring buffer that holds, for each of the request's last attempts, the
     * AqEndpoint.number of the endpoint on which it started. */
    uint64_t tried[AQ_TRIED_MAX];
    uint64_t attempt;     /* id of the attempt in flight, or 0 */
    AqEndpoint *endpoint; /* endpoint of the attempt in flight, or NULL */
    AqTime started_at;    /* when the request's last attempt started */
    /* The request's last attempt must open a new connection rather than reuse
     * an idle one. */
    bool fresh_connection;
} AqRouterRequest;

struct AqRouter {
    AqRouterConfig config;
    AqRouterOps ops;
    void *context;
    AqRandom random;
    /* Argument "now" of the last call to the router that had this argument. */
    AqTime now;
    /* The daemon's configuration is certainly still in force, as last set with
     * AqRouter_SetFresh. */
    bool fresh;
    bool stopping; /* AqRouter_Stop was called */
    /* A change since the last AqRouter_Tick may allow an attempt to start. */
    bool work_due;
    uint64_t last_request;  /* highest request number used so far */
    uint64_t last_attempt;  /* highest attempt id used so far */
    uint64_t last_endpoint; /* highest AqEndpoint.number used so far */
    int in_flight;          /* attempts in flight on all endpoints */
    AqLink services;        /* AqService list, linked by AqService.link */
    /* All unfinished requests, oldest first, linked by
     * AqRouterRequest.link. */
    AqLink requests;
    GHashTable *by_id;      /* request number -> AqRouterRequest, owned */
    GHashTable *by_attempt; /* attempt id -> AqRouterRequest, not owned */
    GHashTable *endpoints;  /* endpoint name -> AqEndpoint, owned */
    /* Binary heap of AqRouterRequest, the earliest timer_at at the root. */
    GPtrArray *timers;
    AqRouterStats stats;
};

/* Whether the mechanism, given as its AQ_ROUTER_DISABLE_* bit, is in use, i.e.
 * that bit is not set in AqRouterConfig.disabled. */
static inline bool
AqRouter_IsEnabled(const AqRouter *router, unsigned mechanism)
{
    return (router->config.disabled & mechanism) == 0;
}

/* ---- timers.c: one timer per request ------------------------------------ */

/* Sets the request's timer to timer_at, in place of a time set before. */
void AqRouterTimers_Set(AqRouter *router, AqRouterRequest *r, AqTime timer_at);
/* Removes the request's timer, if it has one. */
void AqRouterTimers_Remove(AqRouter *router, AqRouterRequest *r);
/* Returns the request whose timer is due first, or NULL if no request has a
 * timer. */
AqRouterRequest *AqRouterTimers_First(const AqRouter *router);

/* ---- service.c: services and their statistics --------------------------- */

/* Returns the service of this name, or NULL if there is none. */
AqService *AqRouterService_Find(const AqRouter *router, const char *name);
/* Returns the service of this name, which is created if necessary. */
AqService *AqRouterService_Ensure(AqRouter *router, const char *name);
void AqRouterService_Destroy(AqService *service);
/* Adds a sample of "ms" milliseconds to the moving average. */
void AqRouterMean_Add(AqRouterMean *mean, AqTime ms);
/* Adds a response time of "ms" milliseconds to the service's samples, from
 * which its p95_ms is computed. */
void AqRouterService_AddLatency(AqService *service, AqTime ms);
/* Returns the mean time, in ms, for which an attempt of the service occupies
 * its slot. */
double AqRouterService_MeanMs(const AqService *service);
/* Returns the number of slots, free or in use, of the service's endpoints that
 * accept requests and are not ejected. */
int AqRouterService_Slots(const AqRouter *router, const AqService *service);
/* Returns the number of free slots of the service's endpoints that accept
 * requests and are not ejected. */
int AqRouterService_FreeSlots(const AqRouter *router,
                              const AqService *service);
/* Whether any endpoint of the service accepts requests, even if that endpoint
 * is ejected or has no slots. */
bool AqRouterService_HasEndpoint(const AqRouter *router,
                                 const AqService *service);
/* Updates AqService.no_slots_since after a change of the service's endpoints
 * or of their slots. */
void AqRouterService_UpdateNoSlots(AqRouter *router, AqService *service,
                                   AqTime now);

/* ---- endpoint.c: endpoints and the choice of one ------------------------ */

/* Whether new attempts may start on the endpoint, apart from free slots and
 * ejection: the endpoint is neither removed nor leaving. */
bool AqRouterEndpoint_AcceptsRequests(const AqRouter *router,
                                      const AqEndpoint *ep);
/* Returns the endpoint for the request's next attempt, or NULL if no endpoint
 * can take it.  An ejected endpoint comes first if the request is allowed to
 * find out whether it works again.  Otherwise two endpoints with a free slot
 * are drawn at random: one without recent failures is preferred, then the one
 * expected to complete the request earlier. */
AqEndpoint *AqRouterEndpoint_Choose(AqRouter *router, AqTime now,
                                    const AqRouterRequest *r);
/* Releases the slot of an ended attempt on the endpoint.  Frees the endpoint
 * if it was removed and no other attempt on it is in flight. */
void AqRouterEndpoint_ReleaseSlot(AqRouter *router, AqEndpoint *ep);
/* Frees an AqEndpoint; a GDestroyNotify. */
void AqRouterEndpoint_Destroy(void *endpoint);

/* ---- eject.c: failures, ejection and trials ----------------------------- */

/* Records whether an attempt on the endpoint failed.  This may eject the
 * endpoint.  If the attempt is the trial of an ejected endpoint, i.e. the one
 * request that finds out whether it works again, success ends the ejection and
 * failure renews it. */
void AqRouterEject_Record(AqRouter *router, AqTime now, AqEndpoint *ep,
                          uint64_t attempt, bool failed);
/* Clears the recorded failures and the ejection of an endpoint that is new in
 * its service. */
void AqRouterEject_Reset(AqEndpoint *ep);
/* Whether the request "r" is allowed to be the trial of the ejected endpoint
 * now.  A trial is the one request that, after the time of the ejection, finds
 * out whether the endpoint works again. */
bool AqRouterEject_TrialDue(const AqRouter *router, AqTime now,
                            const AqEndpoint *ep, const AqRouterRequest *r);
/* Returns how many endpoints of the service may be ejected at a time:
 * max_ejected_percent of the endpoints that accept requests, rounded down. */
int AqRouterEject_Limit(const AqRouter *router, const AqService *service);
/* Returns how many endpoints of the service are ejected, counting only those
 * that accept requests. */
int AqRouterEject_Count(const AqRouter *router, const AqService *service);
/* Ends ejections in the service until no more than AqRouterEject_Limit are
 * left, since that limit falls with the number of endpoints.  The ejections
 * with the least time left end first. */
void AqRouterEject_EnforceLimit(AqRouter *router, const AqService *service);

/* ---- budget.c: retry tokens and backoff --------------------------------- */

/* Adds to the service's retry tokens the number that one admitted request
 * earns. */
void AqRouterBudget_Earn(const AqRouter *router, AqService *service);
/* Takes one retry token of the service; returns false if none is left. */
bool AqRouterBudget_Spend(AqRouter *router, AqService *service);
/* Returns the delay, in ms, before the next retry of a request of which
 * "attempts" attempts have started so far. */
AqTime AqRouterBudget_Backoff(AqRouter *router, int attempts);

/* ---- queue.c: queued requests and admission ----------------------------- */

/* Returns the number of queued requests of the service, live and archive. */
int AqRouterQueue_Count(const AqService *service);
/* Adds the request to the queue of its priority, where it waits for a free
 * slot: at the front if "first" is true, at the end otherwise. */
void AqRouterQueue_Push(AqRouter *router, AqRouterRequest *r, bool first);
/* Removes the request from its queue and removes its timer. */
void AqRouterQueue_Remove(AqRouter *router, AqRouterRequest *r);
/* Returns the queued request of the service that is to start next; NULL if
 * none is queued.  If "other" is true, returns the first queued request of the
 * other priority instead, or NULL if that queue is empty.  The request stays
 * in its queue. */
AqRouterRequest *AqRouterQueue_Next(const AqRouter *router,
                                    const AqService *service, bool other);
/* Call this before the started request leaves its queue.  Counts the start in
 * AqService.contended_starts if both live and archive requests of the service
 * are queued; that count decides when an archive request starts next. */
void AqRouterQueue_CountStart(AqService *service);
/* Returns how long a new request of this priority would wait for a slot, in
 * ms; 0 if a slot is free for it, AQ_DEFAULT_RETRY_AFTER_MS if the service has
 * no slots. */
AqTime AqRouterQueue_ExpectedWait(const AqRouter *router,
                                  const AqService *service,
                                  AqPriority priority);
/* Returns why a new request to the service is refused, or AQ_REASON_NONE if it
 * is admitted. */
AqReason AqRouterQueue_Admit(const AqRouter *router, AqTime now,
                             const AqService *service,
                             const AqRequestSpec *spec);
/* Whether the request had to wait for a slot and has too little time left
 * before its deadline to start now. */
bool AqRouterQueue_TooLate(const AqRouter *router, AqTime now,
                           const AqRouterRequest *r);
/* Fails the service's queued requests that are not expected to complete before
 * their deadlines.  If the service has had no slots for slot_wait_ms, fails
 * all its waiting requests. */
void AqRouterQueue_Sweep(AqRouter *router, AqTime now, AqService *service);

/* ---- request.c: submission and outcome of requests ---------------------- */

/* Handles the expired timer of a request: depending on the request's state,
 * times out its attempt, fails it, queues it or requests its claim. */
void AqRouterRequest_OnTimer(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Reports the request's outcome to the daemon and frees the request.
 * "attempt" is the id of the attempt whose response the caller gets; 0 if the
 * caller gets none. */
void AqRouterRequest_Finish(AqRouter *router, AqRouterRequest *r,
                            const AqOutcome *outcome, uint64_t attempt);
/* Finishes a request that has no attempt in flight, without a response: with
 * AQ_OUTCOME_NOT_RUN if it certainly did not run, with AQ_OUTCOME_UNKNOWN
 * otherwise. */
void AqRouterRequest_Fail(AqRouter *router, AqRouterRequest *r,
                          AqReason reason);
/* Fails the requests that have no attempt in flight and are not refused
 * already: those of "service", or of all services if "service" is NULL. */
void AqRouterRequest_FailWaiting(AqRouter *router, const AqService *service,
                                 AqReason reason);

/* ---- attempt.c: starts, results, timeouts and retries ------------------- */

/* Starts an attempt of the queued request on the endpoint. */
void AqRouterAttempt_Start(AqRouter *router, AqTime now, AqRouterRequest *r,
                           AqEndpoint *ep);
/* Cancels the request's attempt in flight, which has timed out, and retries or
 * fails the request. */
void AqRouterAttempt_Timeout(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Cancels the request's attempt in flight and releases its slot.  Returns
 * whether certainly no byte of the request was sent. */
bool AqRouterAttempt_Cancel(AqRouter *router, AqRouterRequest *r);

#endif
