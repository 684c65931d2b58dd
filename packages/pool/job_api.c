#include "job_api_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller_responses.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "aq_scheduler.h"
#include "store_keys.h"

enum {
    /* Time from the arrival of a request without the deadline header to its
     * deadline. */
    DEFAULT_DEADLINE_MS = 2500,
    /* Most of that time that a request with the deadline header may ask for:
     * it keeps a connection and is repeated at a failing store meanwhile. */
    MAX_DEADLINE_MS = 60000,
    /* Time kept before a request's deadline for the response to reach the
     * caller. */
    RESPONSE_RESERVE_MS = 150,
    STORE_RETRY_MS = 100 /* wait between two attempts of a store call */
};

AqTime
job_api_now(const JobApi *job_api)
{
    return AqLoop_Now(job_api->node->loop);
}

static void try_state(void *context);
static void on_forwarded(void *context, bool has_responded);

/* ---- Responses ---------------------------------------------------------- */

static void
respond_error(const JobApi *job_api, AqExchange *exchange, int status,
              const char *message)
{
    char body[AQ_ERROR_MESSAGE_SIZE + 32];
    snprintf(body, sizeof(body), "{\"error\":%s}", AqLog_Quote(message));
    CallerResponse response = {status, body, strlen(body)};
    correct_refusal(job_api->node, exchange, &response);
    respond_json(job_api->node, exchange, response.status, response.body,
                 response.size, 0);
}

static void
count_response(const Request *request, int status)
{
    const NodeMetrics *metrics = &request->job_api->node->metrics;
    AqTime elapsed_ms = job_api_now(request->job_api) - request->arrived_at;
    bool is_submission = request->encoded_job.size > 0;
    if (status == 200 && (is_submission || request->try == try_state)) {
        AqMetric_Observe(is_submission ? metrics->accept_ms
                                       : metrics->state_ms,
                         elapsed_ms);
    }
    if (status == 200 && is_submission) {
        AqMetric_Add(metrics->stored, 1);
    }
    else if (status == 429) {
        AqMetric_Add(metrics->refused_load, 1);
    }
    else if (status == 503) {
        AqMetric_Add(metrics->refused, 1);
    }
    else if (status == 504) {
        AqMetric_Add(metrics->unknown, 1);
    }
}

static void
free_request(Request *request)
{
    AqTimer_Stop(&request->retry_timer);
    AqBuffer_Clear(&request->encoded_job);
    free(request->workspace);
    free(request);
}

void
job_api_finish(Request *request, int status, const char *body,
               const char *reason)
{
    CallerResponse response = {status, body, strlen(body)};
    correct_refusal(request->job_api->node, request->exchange, &response);
    AqLog_Event(
        response.status >= 400 ? AQ_LOG_WARNING : AQ_LOG_INFO, "answered",
        "request=%s queue=%s pool=%s located=%d method=%s status=%d reason=%s "
        "tries=%u took_ms=%lld config=%lld",
        request->id, request->queue, request->pool, request->is_located,
        AqExchange_Method(request->exchange), response.status, reason,
        request->attempts,
        (long long)(job_api_now(request->job_api) - request->arrived_at),
        (long long)request->job_api->node->site.version);
    count_response(request, response.status);
    respond_json(request->job_api->node, request->exchange, response.status,
                 response.body, response.size, request->retry_after_s);
    free_request(request);
}

/* Forwards a request to another node; returns false if that is not
 * possible.  Submissions and cancellations are idempotent, so they may be
 * forwarded even after a write without a reply. */
static bool
forward(Request *request)
{
    const JobApi *job_api = request->job_api;
    ForwardOrder order = {request->exchange, request->deadline,
                          request->may_have_effect, on_forwarded, request};
    return job_api->ops.forward(job_api->context, &order);
}

/* Ends a request that the store didn't serve.  Status 503 states that
 * nothing was done, so it is sent only if that is certain; otherwise the
 * status is 504. */
static void
finish_unserved(Request *request)
{
    if (request->may_have_effect) {
        job_api_finish(request, 504, response_unknown, "store_silent");
    }
    else {
        job_api_finish(request, 503, response_unavailable,
                       "store_unavailable");
    }
}

void
job_api_forward_or_finish(Request *request)
{
    if (!forward(request)) {
        finish_unserved(request);
    }
}

void
job_api_record_status(const Request *request, const AqStoreReply *reply)
{
    store_health_note(&request->job_api->node->store_health, reply->status,
                      job_api_now(request->job_api));
}

/* Starts the first attempt of a request that writes; forwards the request
 * instead if the store is known not to serve this node. */
static void
begin_write(Request *request, void (*try)(void *request))
{
    request->try = try;
    if (store_health_is_lost(&request->job_api->node->store_health)) {
        job_api_forward_or_finish(request);
        return;
    }
    try(request);
}

static void
on_retry(void *context)
{
    Request *request = context;
    request->try(request);
}

/* Schedules another attempt of the request; returns false if too little time
 * is left before the request's deadline. */
static bool
schedule_retry(Request *request)
{
    AqTime next = job_api_now(request->job_api) + STORE_RETRY_MS;
    if (next + RESPONSE_RESERVE_MS > request->deadline) {
        return false;
    }
    AqTimer_Start(request->job_api->node->loop, &request->retry_timer, next);
    return true;
}

void
job_api_retry_or_finish(Request *request)
{
    if (!schedule_retry(request)) {
        finish_unserved(request);
    }
}

/* For reads, which have no effect, and for requests with a write that got no
 * reply, whose outcome only another attempt can show: forwards the request to
 * another node or, if that is not possible, retries it on this one. */
void
job_api_forward_or_retry(Request *request)
{
    if (!forward(request)) {
        job_api_retry_or_finish(request);
    }
}

/* Called when the forwarding of a request has ended.  If the other node
 * could not determine the request's outcome either, this node retries the
 * request. */
static void
on_forwarded(void *context, bool has_responded)
{
    Request *request = context;
    if (has_responded) {
        free_request(request);
    }
    else {
        job_api_retry_or_finish(request);
    }
}

/* ---- Location of jobs --------------------------------------------------- */

void
job_api_locate(Request *request, const AqStoreItem *item)
{
    char pool[sizeof(request->pool)];
    key_text(item, pool, sizeof(pool));
    if (strcmp(pool, request->pool) != 0) {
        AqLog_Event(AQ_LOG_INFO, "job_located",
                    "request=%s queue=%s pool=%s queue_pool=%s index=%llu "
                    "config=%lld",
                    request->id, request->queue, pool, request->pool,
                    (unsigned long long)item->index,
                    (long long)request->job_api->node->site.version);
    }
    g_strlcpy(request->pool, pool, sizeof(request->pool));
    request->is_located = true;
}

const AqStoreItem *
job_api_find_item(const AqStoreReply *reply, const char *key)
{
    for (size_t i = 0; i < reply->count; i++) {
        if (strcmp(reply->items[i].key, key) == 0) {
            return &reply->items[i];
        }
    }
    return NULL;
}

/* ---- Submission --------------------------------------------------------- */

static void
on_submitted(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    job_api_record_status(request, reply);
    recent_submissions_end_write(&request->job_api->node->recent_submissions,
                                 AqExchange_Path(request->exchange),
                                 reply->status == AQ_STORE_UNKNOWN,
                                 job_api_now(request->job_api));
    switch (reply->status) {
    case AQ_STORE_OK:
        job_api_finish(request, 200, "{}", "stored");
        break;
    case AQ_STORE_CONFLICT: {
        /* The job is in the store already, in whichever pool, or was cancelled
         * before its submission arrived. */
        const AqStoreItem *item =
            job_api_find_item(reply, key_of(KEY_JOB_POOL, request->id));
        if (item != NULL) {
            job_api_locate(request, item);
        }
        job_api_finish(request, 200, "{}", "known");
        break;
    }
    case AQ_STORE_UNAVAILABLE:
        /* This write had no effect; an earlier write for the same request that
         * got no reply may still take effect. */
        if (request->may_have_effect) {
            job_api_forward_or_retry(request);
        }
        else {
            job_api_forward_or_finish(request);
        }
        break;
    case AQ_STORE_UNKNOWN:
    /* A submission names no lease and watches nothing, so that these statuses
     * do not show its outcome. */
    case AQ_STORE_ABSENT:
    case AQ_STORE_COMPACTED:
        request->may_have_effect = true;
        job_api_forward_or_retry(request);
        break;
    }
}

static void
try_submit(void *context)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    AqStoreExpect expects[] = {
        {key_of_job(request->pool, request->id), 0},
        /* Jobs and marks of earlier versions have no KEY_JOB_POOL key. */
        {key_of_cancel(request->pool, request->id), 0},
        {key_of(KEY_JOB_POOL, request->id), 0},
    };
    AqStorePut puts[] = {
        {expects[0].key, AqBuffer_Text(&request->encoded_job),
         request->encoded_job.size, 0},
        {expects[2].key, request->pool, strlen(request->pool), 0},
    };
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 3, .puts = puts, .put_count = 2};
    request->attempts++;
    recent_submissions_begin_write(&request->job_api->node->recent_submissions,
                                   AqExchange_Path(request->exchange),
                                   job_api_now(request->job_api));
    store->ops->commit(store, &commit, on_submitted, request);
}

void
job_api_store(Request *request)
{
    begin_write(request, try_submit);
}

static void
submit(Request *request, const AqQueueConfig *queue)
{
    AqError error;
    AqJobSpec spec;
    size_t size;
    const char *body = AqExchange_Body(request->exchange, &size);
    if (!AqPlatform_DecodeJob(body, size, &spec, &error)) {
        job_api_finish(request, 400, "{\"error\":\"the job is malformed\"}",
                       "malformed");
        return;
    }
    g_strlcpy(spec.id, request->id, sizeof(spec.id));
    spec.queue = strdup(request->queue);
    spec.workspace =
        request->workspace != NULL ? strdup(request->workspace) : NULL;
    spec.submitted_ms = AqClock_ReadWall();
    spec.has_terms = true;
    AqJobTerms_Set(&spec.terms, queue);
    if (!AqJobSpec_Check(&spec, &error)) {
        AqLog_Event(AQ_LOG_WARNING, "job_refused", "request=%s error=%s",
                    request->id, AqLog_Quote(error.message));
        job_api_finish(request, 400, "{\"error\":\"the job is malformed\"}",
                       "invalid");
        AqJobSpec_Clear(&spec);
        return;
    }
    AqJobSpec_Encode(&spec, &request->encoded_job);
    job_api_admit(request, &spec);
    AqJobSpec_Clear(&spec);
}

/* ---- State -------------------------------------------------------------- */

static void
finish_state(Request *request, AqJobState state)
{
    AqBuffer body;
    AqBuffer_Init(&body);
    AqPlatform_EncodeState(state, &body);
    job_api_finish(request, 200, AqBuffer_Text(&body), "read");
    AqBuffer_Clear(&body);
}

static void
on_pool_read(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_OK && reply->count == 1) {
        /* Also if it is the same pool: the job may have been stored since its
         * key was read. */
        job_api_locate(request, &reply->items[0]);
        try_state(request);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        job_api_finish(request, 410, "{\"error\":\"there is no such job\"}",
                       "absent");
    }
    else {
        job_api_forward_or_retry(request);
    }
}

static void
on_job_read(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_OK) {
        finish_state(request, AQ_JOB_QUEUED);
    }
    else if (reply->status == AQ_STORE_ABSENT && !request->is_located) {
        store->ops->get(store, key_of(KEY_JOB_POOL, request->id), on_pool_read,
                        request);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        job_api_finish(request, 410, "{\"error\":\"there is no such job\"}",
                       "cancelled_before");
    }
    else {
        job_api_forward_or_retry(request);
    }
}

static void
on_progress_read(void *context, const AqStoreReply *reply)
{
    static const AqJobState states[] = {
        [AQ_STAGE_WAITING] = AQ_JOB_QUEUED,
        [AQ_STAGE_RUNNING] = AQ_JOB_RUNNING,
        [AQ_STAGE_COMPLETED] = AQ_JOB_COMPLETED,
        [AQ_STAGE_FAILED] = AQ_JOB_FAILED,
        [AQ_STAGE_CANCELLED] = AQ_JOB_CANCELLED,
    };
    Request *request = context;
    job_api_record_status(request, reply);
    AqStore *store = request->job_api->node->store;
    AqError error;
    AqJobStage stage;
    if (reply->status == AQ_STORE_ABSENT) {
        store->ops->get(store, key_of_job(request->pool, request->id),
                        on_job_read, request);
    }
    else if (reply->status != AQ_STORE_OK || reply->count != 1) {
        job_api_forward_or_retry(request);
    }
    else if (!AqScheduler_ReadStage(reply->items[0].value,
                                    reply->items[0].size, &stage, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "progress_unreadable", "request=%s error=%s",
                    request->id, AqLog_Quote(error.message));
        job_api_finish(request, 500,
                       "{\"error\":\"the job's record is damaged\"}",
                       "damaged");
    }
    else {
        finish_state(request, states[stage]);
    }
}

static void
try_state(void *context)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    request->attempts++;
    store->ops->get(store, key_of_progress(request->pool, request->id),
                    on_progress_read, request);
}

/* ---- Dispatch ----------------------------------------------------------- */

static bool
is_id(const char *text)
{
    size_t length = strlen(text);
    return length < AQ_JOB_ID_SIZE &&
           strspn(text, "0123456789abcdefABCDEF") == length;
}

AqTime
job_api_wait_ms(const char *text)
{
    long long deadline = text != NULL ? strtoll(text, NULL, 10) : 0;
    if (deadline <= 0) {
        return DEFAULT_DEADLINE_MS;
    }
    return deadline < MAX_DEADLINE_MS ? deadline : MAX_DEADLINE_MS;
}

static Request *
new_request(JobApi *job_api, AqExchange *exchange, const AqQueueConfig *queue,
            const AqWorkspaceConfig *workspace, const char *id)
{
    Request *request = calloc(1, sizeof(*request));
    const char *text = AqExchange_Header(exchange, AqPlatform_DeadlineHeader);
    request->job_api = job_api;
    request->exchange = exchange;
    request->arrived_at = job_api_now(job_api);
    request->deadline = request->arrived_at + job_api_wait_ms(text);
    g_strlcpy(request->pool, queue->pool, sizeof(request->pool));
    g_strlcpy(request->queue, queue->name, sizeof(request->queue));
    g_strlcpy(request->id, id, sizeof(request->id));
    request->workspace = workspace != NULL ? strdup(workspace->name) : NULL;
    AqBuffer_Init(&request->encoded_job);
    AqTimer_Init(&request->retry_timer, on_retry, request);
    return request;
}

static void
dispatch(Request *request, const AqQueueConfig *queue)
{
    const char *method = AqExchange_Method(request->exchange);
    bool has_id = request->id[0] != '\0';
    if (strcmp(method, "POST") == 0 && has_id) {
        submit(request, queue);
    }
    else if (strcmp(method, "GET") == 0) {
        request->try = has_id ? try_state : job_api_try_waiting;
        request->try(request);
    }
    else if (strcmp(method, "DELETE") == 0 && has_id) {
        begin_write(request, job_api_try_cancel);
    }
    else {
        job_api_finish(
            request, 405,
            "{\"error\":\"send POST, GET or DELETE with the id of a "
            "job\"}",
            "method");
    }
}

/* Finds the workspace of the request's key, NULL if the queue needs no key.
 * Returns false if the queue needs one and the request has none that the
 * configuration in force lists. */
static bool
find_workspace(const JobApi *job_api, const AqExchange *exchange,
               const AqQueueConfig *queue, const AqWorkspaceConfig **workspace)
{
    const AqSiteConfig *site = &job_api->node->site;
    *workspace = NULL;
    if (!site->has_workspaces || queue->is_public) {
        return true;
    }
    *workspace = AqSiteConfig_FindKey(
        site, AqExchange_Header(exchange, AqPlatform_KeyHeader));
    return *workspace != NULL;
}

static void
refuse_key(const JobApi *job_api, AqExchange *exchange,
           const AqQueueConfig *queue, const char *id)
{
    bool has_key = AqExchange_Header(exchange, AqPlatform_KeyHeader) != NULL;
    AqMetric_Add(job_api->node->metrics.keys_refused, 1);
    AqLog_Event(AQ_LOG_INFO, "refused",
                "request=%s queue=%s reason=%s method=%s config=%lld", id,
                queue->name, has_key ? "unknown_key" : "no_key",
                AqExchange_Method(exchange),
                (long long)job_api->node->site.version);
    respond_error(job_api, exchange, 401,
                  "the queue needs a key of a workspace, and this one is in "
                  "no configuration in force");
}

void
job_api_handle(void *context, AqExchange *exchange)
{
    JobApi *job_api = context;
    const char *host = AqExchange_Header(exchange, "Host");
    const char *path = AqExchange_Path(exchange);
    if (!job_api->ops.is_current(job_api->context)) {
        ForwardOrder order = {.exchange = exchange,
                              .deadline =
                                  job_api_now(job_api) + DEFAULT_DEADLINE_MS};
        if (job_api->ops.forward(job_api->context, &order)) {
            return;
        }
        AqLog_Event(AQ_LOG_WARNING, "refused", "path=%s reason=no_config",
                    AqLog_Quote(path));
        respond_error(
            job_api, exchange, 503,
            "the node has no current configuration; come back later");
        return;
    }
    if (forwarder_is_sender_newer(exchange, job_api->node->site.version)) {
        AqLog_Event(AQ_LOG_WARNING, "refused",
                    "path=%s reason=older_config config=%lld",
                    AqLog_Quote(path), (long long)job_api->node->site.version);
        respond_error(job_api, exchange, 503,
                      "the node's configuration is older than that of the "
                      "node that forwards the request");
        return;
    }
    const AqQueueConfig *queue = AqSiteConfig_Match(
        &job_api->node->site, host != NULL ? host : "", path);
    const char *id = queue != NULL ? path + strlen(queue->prefix) : "";
    if (queue == NULL || !is_id(id)) {
        AqLog_Event(AQ_LOG_INFO, "refused",
                    "path=%s host=%s reason=no_queue config=%lld",
                    AqLog_Quote(path), AqLog_Quote(host != NULL ? host : ""),
                    (long long)job_api->node->site.version);
        respond_error(job_api, exchange, 404,
                      "there is no such queue; check the host "
                      "and the path");
        return;
    }
    const AqWorkspaceConfig *workspace;
    if (!find_workspace(job_api, exchange, queue, &workspace)) {
        refuse_key(job_api, exchange, queue, id);
        return;
    }
    dispatch(new_request(job_api, exchange, queue, workspace, id), queue);
}

JobApi *
job_api_create(NodeContext *node, const JobApiOps *ops, void *context)
{
    JobApi *job_api = calloc(1, sizeof(*job_api));
    job_api->node = node;
    job_api->ops = *ops;
    job_api->context = context;
    job_api->load_views = load_views_create(node);
    job_api->reports =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    job_api->reports_read_at = AQ_TIME_NEVER;
    return job_api;
}

void
job_api_destroy(JobApi *job_api)
{
    if (job_api != NULL) {
        g_hash_table_destroy(job_api->reports);
        load_views_drop(job_api->load_views);
        free(job_api);
    }
}
