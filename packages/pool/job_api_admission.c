#include "job_api_private.h"

#include "aq_admission.h"
#include "aq_hash.h"
#include "aq_log.h"
#include "caller_responses.h"
#include "store_keys.h"

/* Another node may have accepted the job although its response did not reach
 * the caller, perhaps when the queue had another pool.  A refusal tells the
 * caller that the job never runs, so that the keys of the job and of its pool
 * are read before it. */

/* Handles a reply to the read of one of these keys.  Returns whether the key
 * is absent; otherwise the request has gone on. */
static bool
check_absent(Request *request, const AqStoreReply *reply)
{
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_ABSENT) {
        return true;
    }
    if (reply->status == AQ_STORE_OK) {
        job_api_finish(request, 200, "{}", "known");
    }
    else {
        request->retry_after_s = 0;
        job_api_store(request);
    }
    return false;
}

static void
on_pool_read(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    if (check_absent(request, reply)) {
        job_api_finish(request, 429, response_overload, "load");
    }
}

/* A job that an earlier version stored may have no KEY_JOB_POOL key yet. */
static void
on_job_read(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    if (check_absent(request, reply)) {
        store->ops->get(store, key_of(KEY_JOB_POOL, request->id), on_pool_read,
                        request);
    }
}

static void
log_refusal(const Request *request, const AqLoadView *view,
            const AqAdmission *admission)
{
    AqLog_Event(
        AQ_LOG_INFO, "refused",
        "request=%s queue=%s reason=load useful_ms=%lld work=%lld "
        "offered_cpu=%lld room_cpu=%lld waiting_work=%lld lasting_ms=%lld "
        "ratio=%lld view_age_ms=%lld fence=%llu retry_after_s=%d",
        request->id, request->queue, (long long)admission->useful_ms,
        (long long)admission->work, (long long)admission->offered_ahead,
        (long long)view->capacity_cpu_millis, (long long)view->waiting_work,
        (long long)view->lasting_ms, (long long)view->duration_permille,
        (long long)admission->view_age_ms, (unsigned long long)view->fence,
        request->retry_after_s);
}

void
job_api_admit(Request *request, const AqJobSpec *spec)
{
    const JobApi *job_api = request->job_api;
    NodeContext *node = job_api->node;
    const AqQueueConfig *queue =
        AqSiteConfig_FindQueue(&node->site, request->queue);
    const char *path = AqExchange_Path(request->exchange);
    AqAdmission admission;
    if (queue == NULL || queue->target_ms <= 0 ||
        store_health_is_lost(&node->store_health) ||
        recent_submissions_state(&node->recent_submissions, path,
                                 job_api_now(job_api)) !=
            SUBMISSION_NOT_STORED) {
        job_api_store(request);
        return;
    }
    const AqLoadView *view =
        load_views_get(job_api->load_views, request->pool);
    AqAdmission_Decide(view, spec, queue, spec->submitted_ms, &admission);
    if (admission.verdict != AQ_ADMISSION_REFUSE) {
        job_api_store(request);
        return;
    }
    request->retry_after_s = AqAdmission_RetryAfter(AqHash_String(path));
    log_refusal(request, view, &admission);
    AqStore *store = node->store;
    store->ops->get(store, key_of_job(request->pool, request->id), on_job_read,
                    request);
}
