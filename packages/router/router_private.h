#ifndef AQ_ROUTER_PRIVATE_H
#define AQ_ROUTER_PRIVATE_H

#include <glib.h>

#include "aq_list.h"
#include "aq_random.h"
#include "aq_router.h"

/* Structures shared by the modules of this package. */

enum {
    /* Consecutive failures that eject an endpoint (design page, section 12),
     * and the outcomes over which the failure share is taken (5.3). */
    AQ_EJECT_CONSECUTIVE = 5,
    AQ_EJECT_WINDOW_COUNT = 20,
    /* Service times kept for the p95: enough for six values above it. */
    AQ_LATENCY_SAMPLES = 128,
    /* Assumed without samples (design page, section 12). */
    AQ_DEFAULT_MEAN_MS = 100,
    AQ_DEFAULT_P95_MS = 1000,
    /* Lower bound of the attempt timeout (design page, section 5.3). */
    AQ_SILENT_MIN_MS = 250,
    AQ_RETRY_AFTER_MS = 1000,
    /* An endpoint's mean is forgotten when its last sample is older.  Short
     * enough to find a faster endpoint again, and long enough that the
     * slowest one gets few requests at low load. */
    AQ_MEAN_AGE_MS = 10000,
    /* How often the deadlines of waiting requests are compared with the
     * expected wait. */
    AQ_SWEEP_MS = 100,
    /* Attempts per request whose endpoints are remembered. */
    AQ_TRIED_MAX = 4
};

typedef struct AqEndpoint AqEndpoint;
typedef struct AqService AqService;

/* Average that follows the last 64 samples or so. */
typedef struct {
    double ms;
    uint64_t count;
} AqRouterMean;

struct AqEndpoint {
    char *name;
    uint64_t number; /* unique; never reused, unlike the address */
    AqService *service;
    int slots;
    int in_use;
    bool leaving;
    bool removed;         /* freed when in_use is 0 */
    AqTime latency_at;    /* of the last sample */
    AqRouterMean latency; /* of answers below 500 only */

    int consecutive; /* failures without a success between them */
    int health_failures;
    bool recent_failed[AQ_EJECT_WINDOW_COUNT]; /* ring of the last outcomes */
    int recent_count;
    int recent_at;
    AqTime suspect_until; /* not preferred before */
    bool ejected;
    bool healthy_since_eject;
    AqTime eject_until;
    AqTime eject_last_ms; /* length of the last ejection; 0 when forgotten */
    uint64_t trial;       /* attempt of the trial request, or 0 */
};

struct AqService {
    AqLink link;
    char *name;
    GPtrArray *endpoints; /* AqEndpoint, borrowed */
    AqLink live;          /* AqRouterRequest.queue_link */
    AqLink archive;
    int live_count;
    int archive_count;
    int claiming;
    unsigned contended_starts; /* starts while both priorities waited */
    double retry_tokens;
    AqRouterMean hold; /* time for which an attempt holds its slot */
    AqTime times[AQ_LATENCY_SAMPLES]; /* ring */
    size_t times_count;
    AqTime p95;
    AqTime next_sweep;
    AqTime no_slots_since; /* AQ_TIME_NEVER while there are slots */
};

typedef enum {
    AQ_REQUEST_REFUSED, /* answered by the next tick */
    AQ_REQUEST_CLAIMING,
    AQ_REQUEST_QUEUED,
    AQ_REQUEST_BACKOFF,
    AQ_REQUEST_RUNNING
} AqRequestState;

typedef struct {
    uint64_t id;
    AqService *service; /* NULL for an unknown one */
    bool idempotent;
    AqPriority priority;
    AqTime deadline;
    AqRequestState state;
    AqLink link;       /* in AqRouter.requests */
    AqLink queue_link; /* in the queue of the service */
    bool waits;        /* no slot was free for it when it was queued */
    AqTime wake;       /* when the timer is due */
    size_t timer_index;

    AqReason refusal; /* in state REFUSED */
    AqTime retry_after_ms;

    bool claim_requested;
    bool claimed;
    bool may_have_run;
    AqReason run_reason; /* why it is not known, or NONE */
    int attempts;
    uint64_t tried[AQ_TRIED_MAX]; /* numbers of the endpoints tried */
    uint64_t attempt;             /* in flight, or 0 */
    AqEndpoint *endpoint;         /* of the attempt in flight, or NULL */
    AqTime started;
    bool fresh_connection;
} AqRouterRequest;

struct AqRouter {
    AqRouterConfig config;
    AqRouterOps ops;
    void *context;
    AqRandom random;
    AqTime now; /* of the last call */
    bool fresh;
    bool stopping;
    bool work_due; /* an event may allow a start */
    uint64_t last_request;
    uint64_t last_attempt;
    uint64_t last_endpoint;
    int in_flight;
    AqLink services;
    AqLink requests;
    GHashTable *by_id;      /* id -> AqRouterRequest, owned */
    GHashTable *by_attempt; /* attempt -> AqRouterRequest, borrowed */
    GHashTable *endpoints;  /* name -> AqEndpoint, owned */
    GPtrArray *timers;      /* binary heap of AqRouterRequest by wake */
    AqRouterStats stats;
};

static inline bool
AqRouter_IsEnabled(const AqRouter *router, unsigned mechanism)
{
    return (router->config.disabled & mechanism) == 0;
}

/* timers.c: one timer per request. */
void AqRouterTimers_Set(AqRouter *router, AqRouterRequest *r, AqTime wake);
void AqRouterTimers_Remove(AqRouter *router, AqRouterRequest *r);
AqRouterRequest *AqRouterTimers_First(const AqRouter *router);

/* service.c: services and their statistics. */
AqService *AqRouterService_Find(const AqRouter *router, const char *name);
AqService *AqRouterService_Ensure(AqRouter *router, const char *name);
void AqRouterService_Destroy(AqService *service);
void AqRouterMean_Add(AqRouterMean *mean, AqTime ms);
void AqRouterService_AddTime(AqService *service, AqTime ms);
double AqRouterService_MeanMs(const AqService *service);
/* Slots of the endpoints that take new work, and how many of them are free. */
int AqRouterService_Slots(const AqRouter *router, const AqService *service);
int AqRouterService_Free(const AqRouter *router, const AqService *service);
/* Whether an endpoint may take work, now or once it has a slot. */
bool AqRouterService_HasEndpoint(const AqRouter *router,
                                 const AqService *service);
/* Notes whether the service has any slot, for slot_wait_ms. */
void AqRouterService_NoteSlots(AqRouter *router, AqService *service,
                               AqTime now);

/* endpoint.c: endpoint records and choice. */
bool AqRouterEndpoint_TakesWork(const AqRouter *router, const AqEndpoint *ep);
AqEndpoint *AqRouterEndpoint_Choose(AqRouter *router, AqTime now,
                                    const AqRouterRequest *r);
void AqRouterEndpoint_FreeSlot(AqRouter *router, AqEndpoint *ep);
void AqRouterEndpoint_Destroy(void *endpoint);

/* eject.c: failures, ejection and trials. */
void AqRouterEject_Record(AqRouter *router, AqTime now, AqEndpoint *ep,
                          uint64_t attempt, bool failed);
void AqRouterEject_Reset(AqEndpoint *ep);
/* Whether the endpoint is due for a trial that this request may be. */
bool AqRouterEject_TrialDue(const AqRouter *router, AqTime now,
                            const AqEndpoint *ep, const AqRouterRequest *r);
/* Most endpoints of the service that may be ejected, and how many are. */
int AqRouterEject_Limit(const AqRouter *router, const AqService *service);
int AqRouterEject_Count(const AqRouter *router, const AqService *service);
/* Ends ejections when the service has become smaller. */
void AqRouterEject_KeepShare(AqRouter *router, const AqService *service);

/* budget.c: retry tokens and backoff. */
void AqRouterBudget_Earn(const AqRouter *router, AqService *service);
bool AqRouterBudget_Spend(AqRouter *router, AqService *service);
AqTime AqRouterBudget_Backoff(AqRouter *router, int attempts);

/* queue.c: waiting requests and admission. */
int AqRouterQueue_Count(const AqService *service);
void AqRouterQueue_Push(AqRouter *router, AqRouterRequest *r, bool first);
void AqRouterQueue_Remove(AqRouter *router, AqRouterRequest *r);
/* Takes the requests in order: the one to start next, or when "other" is
 * true the first of the other priority; NULL when there is none. */
AqRouterRequest *AqRouterQueue_Next(const AqRouter *router,
                                    const AqService *service, bool other);
/* Counts a start for the share of the archive. */
void AqRouterQueue_NoteStart(AqService *service);
AqTime AqRouterQueue_ExpectedWait(const AqRouter *router,
                                  const AqService *service,
                                  AqPriority priority);
/* Why a new request is not taken, or NONE. */
AqReason AqRouterQueue_Admit(const AqRouter *router, AqTime now,
                             const AqService *service,
                             const AqRequestSpec *spec);
/* Whether a request that waited has too little time left to be started. */
bool AqRouterQueue_TooLate(const AqRouter *router, AqTime now,
                           const AqRouterRequest *r);
/* Gives up on waiting requests that cannot be started in time. */
void AqRouterQueue_Sweep(AqRouter *router, AqTime now, AqService *service);

/* request.c: the life of a request outside its attempts. */
/* Handles the timer of a request that is due. */
void AqRouterRequest_Wake(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Ends the request with this outcome and frees it. */
void AqRouterRequest_Finish(AqRouter *router, AqRouterRequest *r,
                            const AqOutcome *outcome, uint64_t attempt);
/* Ends a request that has no attempt in flight: not-run when that is certain,
 * unknown otherwise. */
void AqRouterRequest_GiveUp(AqRouter *router, AqRouterRequest *r,
                            AqReason reason);
/* Gives up on all requests of the service (NULL: of all) that wait. */
void AqRouterRequest_GiveUpWaiting(AqRouter *router, const AqService *service,
                                   AqReason reason);

/* attempt.c: starts, results, timeouts and retries. */
void AqRouterAttempt_Start(AqRouter *router, AqTime now, AqRouterRequest *r,
                           AqEndpoint *ep);
void AqRouterAttempt_Timeout(AqRouter *router, AqTime now, AqRouterRequest *r);
/* Cancels the attempt in flight and frees its slot.  Returns whether it is
 * certain that no byte of it left. */
bool AqRouterAttempt_Cancel(AqRouter *router, AqRouterRequest *r);

#endif
