#ifndef JOB_API_PRIVATE_H
#define JOB_API_PRIVATE_H

#include <glib.h>

#include "job_api.h"
#include "load_views.h"

/* Parts of the job API that its sources share:
 * job_api.c         dispatch, submissions and states
 * job_api_waiting.c  counts of waiting jobs
 * job_api_admission.c  submissions to overloaded pools
 * job_api_cancel.c  cancellations */

typedef struct Request Request;

struct JobApi {
    NodeContext *node;
    JobApiOps ops;
    void *context;
    /* Pool name -> text of its owner's report of waiting jobs, of all pools,
     * as last read from the store. */
    GHashTable *reports;
    AqTime reports_read_at; /* AQ_TIME_NEVER: not read yet */
    LoadViews *load_views;
};

/* A request of a caller, from its arrival to its response. */
struct Request {
    JobApi *job_api;
    AqExchange *exchange;
    /* Pool of the request's queue in the configuration in force, or, once it
     * is located, the pool that has the job. */
    char pool[64];
    bool is_located;
    char queue[128];
    char id[AQ_JOB_ID_SIZE];
    /* name of the workspace whose key the request has; NULL: the queue needs
     * none; owned */
    char *workspace;
    AqTime deadline;
    AqTime arrived_at;
    AqTimer retry_timer;
    void (*try)(void *request);
    /* Submitted job, encoded; empty for other requests. */
    AqBuffer encoded_job;
    unsigned attempts;
    /* value of the Retry-After header of a refusal, s; 0: it follows from the
     * store's health */
    int retry_after_s;
    /* A write to the store for this request got no clear reply. */
    bool may_have_effect;
};

AqTime job_api_now(const JobApi *job_api);
/* Responds to the caller and frees the request.  "reason" is for the log. */
void job_api_finish(Request *request, int status, const char *body,
                    const char *reason);
/* Forwards the request to another node; otherwise ends it with status 503, or
 * 504 if it may have had an effect. */
void job_api_forward_or_finish(Request *request);
/* Tries the request again on this node; otherwise ends it in the same way. */
void job_api_retry_or_finish(Request *request);
/* For reads, which have no effect, and for requests with a write that got no
 * reply, whose outcome only another attempt can show: forwards the request to
 * another node or, if that is not possible, retries it on this one. */
void job_api_forward_or_retry(Request *request);
/* Notes what a reply of the store tells of the store's health. */
void job_api_record_status(const Request *request, const AqStoreReply *reply);

/* Sets the request's pool to the one that a job's KEY_JOB_POOL key names. */
void job_api_locate(Request *request, const AqStoreItem *item);
/* Returns the item with the key, or NULL if the reply has none. */
const AqStoreItem *job_api_find_item(const AqStoreReply *reply,
                                     const char *key);

/* Starts the first attempt to store a submission. */
void job_api_store(Request *request);

/* ---- job_api_admission.c */
/* Refuses a submission that an overloaded pool can't complete while its result
 * has value, unless the job may be stored already; otherwise calls
 * job_api_store(), perhaps later. */
void job_api_admit(Request *request, const AqJobSpec *spec);

/* ---- job_api_waiting.c */
/* Starts an attempt to count the waiting jobs of the request's queue. */
void job_api_try_waiting(void *context);

/* ---- job_api_cancel.c */
/* Starts an attempt of a cancellation. */
void job_api_try_cancel(void *context);

#endif
