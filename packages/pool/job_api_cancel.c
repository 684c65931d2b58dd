#include <string.h>

#include "aq_scheduler.h"
#include "job_api_private.h"
#include "store_keys.h"

/* Cancellation of jobs: a mark beside the job's record in the store. */

/* Continues a cancellation whose write was not carried out or got no clear
 * reply: forwards it to another node, retries it on this one, or ends it with
 * status 503 or 504. */
static void
retry_cancel(Request *request, const AqStoreReply *reply)
{
    /* Only these statuses show that the write had no effect. */
    bool had_no_effect = reply->status == AQ_STORE_CONFLICT ||
                         reply->status == AQ_STORE_UNAVAILABLE;
    request->may_have_effect |= !had_no_effect;
    if (request->may_have_effect) {
        job_api_forward_or_retry(request);
    }
    else if (reply->status == AQ_STORE_CONFLICT) {
        job_api_retry_or_finish(request);
    }
    else {
        job_api_forward_or_finish(request);
    }
}

static void
on_cancelled(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_OK) {
        job_api_finish(request, 200, "{}", "cancelled");
    }
    else {
        retry_cancel(request, reply);
    }
}

/* Writes the cancellation mark of a job that is in the store, on condition
 * that the job was last written at store revision "job_index". */
static void
mark_cancelled(Request *request, uint64_t job_index)
{
    AqStore *store = request->job_api->node->store;
    AqStoreExpect expect = {key_of_job(request->pool, request->id), job_index};
    AqStorePut put = {key_of_cancel(request->pool, request->id), "1", 1, 0};
    AqStoreCommit commit = {
        .expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};
    store->ops->commit(store, &commit, on_cancelled, request);
}

/* Whether the stored job belongs to another workspace than the request.  A job
 * that an older version stored belongs to none, and is anyone's. */
static bool
is_of_other_workspace(const Request *request, const AqStoreItem *job)
{
    AqJobSpec spec;
    AqError error;
    if (request->workspace == NULL ||
        !AqJobSpec_Decode(job->value, job->size, &spec, &error)) {
        return false;
    }
    bool is_other = spec.workspace != NULL &&
                    strcmp(spec.workspace, request->workspace) != 0;
    AqJobSpec_Clear(&spec);
    return is_other;
}

static void
cancel_job(Request *request, const AqStoreItem *job)
{
    if (is_of_other_workspace(request, job)) {
        job_api_finish(request, 410, "{\"error\":\"there is no such job\"}",
                       "other_workspace");
    }
    else {
        mark_cancelled(request, job->index);
    }
}

static void
finish_cancelled_before(Request *request)
{
    job_api_finish(request, 410, "{\"error\":\"there is no such job\"}",
                   "cancelled_before");
}

/* Handles the reply to the read of a job in the pool that its KEY_JOB_POOL key
 * names.  Without a job, that pool has an earlier cancellation mark. */
static void
on_located_job_read(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_OK && reply->count == 1) {
        cancel_job(request, &reply->items[0]);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        finish_cancelled_before(request);
    }
    else {
        retry_cancel(request, reply);
    }
}

/* Handles the reply to a write of a job's cancellation mark that took effect
 * only if the job was not in the store. */
static void
on_cancelled_before_job(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    job_api_record_status(request, reply);
    const AqStoreItem *job =
        job_api_find_item(reply, key_of_job(request->pool, request->id));
    const AqStoreItem *pool =
        job_api_find_item(reply, key_of(KEY_JOB_POOL, request->id));
    if (reply->status == AQ_STORE_OK) {
        /* The cancellation mark stays in the store: a submission of the job
         * that arrives later finds the mark, and the job never runs. */
        finish_cancelled_before(request);
    }
    else if (reply->status == AQ_STORE_CONFLICT && job != NULL) {
        cancel_job(request, job);
    }
    else if (reply->status == AQ_STORE_CONFLICT && pool != NULL) {
        job_api_locate(request, pool);
        store->ops->get(store, key_of_job(request->pool, request->id),
                        on_located_job_read, request);
    }
    else {
        retry_cancel(request, reply);
    }
}

void
job_api_try_cancel(void *context)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    AqStoreExpect expects[] = {
        {key_of_job(request->pool, request->id), 0},
        {key_of(KEY_JOB_POOL, request->id), 0},
    };
    AqStorePut puts[] = {
        {key_of_cancel(request->pool, request->id), "1", 1, 0},
        {expects[1].key, request->pool, strlen(request->pool), 0},
    };
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 2, .puts = puts, .put_count = 2};
    request->attempts++;
    store->ops->commit(store, &commit, on_cancelled_before_job, request);
}
