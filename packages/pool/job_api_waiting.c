#include <stdlib.h>
#include <string.h>

#include "aq_platform.h"
#include "job_api_private.h"
#include "store_keys.h"

/* Counts of the waiting jobs of a queue, from the reports of pool owners. */

enum {
    /* Age up to which the cached reports of waiting jobs are used. */
    REPORT_MAX_AGE_MS = 400
};

static const char response_no_owner[] =
    "{\"error\":\"no node counts the queue's jobs now; come back later\"}";

/* Returns the number that the report gives for the queue. */
static int64_t
find_waiting(const char *report, const char *queue)
{
    size_t length = strlen(queue);
    for (const char *line = report; line != NULL && *line != '\0';) {
        if (strncmp(line, queue, length) == 0 && line[length] == ' ') {
            return strtoll(line + length + 1, NULL, 10);
        }
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    return 0;
}

/* Responds with the sum over all pools: a job stays in the pool that the queue
 * had when it accepted the job.  Without a report of the queue's present pool
 * most of its jobs may not be counted. */
static void
finish_waiting(Request *request)
{
    GHashTable *reports = request->job_api->reports;
    GHashTableIter iter;
    gpointer report;
    int64_t count = 0;
    AqBuffer body;
    if (!g_hash_table_contains(reports, request->pool)) {
        job_api_finish(request, 503, response_no_owner, "no_owner");
        return;
    }
    g_hash_table_iter_init(&iter, reports);
    while (g_hash_table_iter_next(&iter, NULL, &report)) {
        count += find_waiting(report, request->queue);
    }
    AqBuffer_Init(&body);
    AqPlatform_EncodeWaiting(count, &body);
    job_api_finish(request, 200, AqBuffer_Text(&body), "report");
    AqBuffer_Clear(&body);
}

static void
on_reports(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    JobApi *job_api = request->job_api;
    const char *prefix = key_of(KEY_REPORT, "");
    job_api_record_status(request, reply);
    if (reply->status != AQ_STORE_OK || !reply->is_complete) {
        job_api_forward_or_retry(request);
        return;
    }
    g_hash_table_remove_all(job_api->reports);
    for (size_t i = 0; i < reply->count; i++) {
        const AqStoreItem *item = &reply->items[i];
        g_hash_table_replace(job_api->reports,
                             g_strdup(item->key + strlen(prefix)),
                             g_strndup(item->value, item->size));
    }
    job_api->reports_read_at = job_api_now(job_api);
    finish_waiting(request);
}

void
job_api_try_waiting(void *context)
{
    Request *request = context;
    const JobApi *job_api = request->job_api;
    AqStore *store = job_api->node->store;
    request->attempts++;
    if (job_api->reports_read_at != AQ_TIME_NEVER &&
        job_api_now(job_api) - job_api->reports_read_at < REPORT_MAX_AGE_MS &&
        g_hash_table_contains(job_api->reports, request->pool)) {
        finish_waiting(request);
        return;
    }
    store->ops->list_after(store, key_of(KEY_REPORT, ""), "", false,
                           on_reports, request);
}
