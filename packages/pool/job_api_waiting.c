#include <stdlib.h>
#include <string.h>

#include "aq_platform.h"
#include "job_api_private.h"
#include "store_keys.h"

/* Counts of the waiting jobs of a queue, from the reports of pool owners. */

enum {
    /* Age up to which a pool's cached report of waiting jobs is used. */
    REPORT_MAX_AGE_MS = 400
};

static const char response_no_owner[] =
    "{\"error\":\"no node counts the queue's jobs now; come back later\"}";

/* A cached copy of the counts of waiting jobs in a pool's queues, as the
 * pool's owner wrote them to the store. */
typedef struct {
    char *text;
    AqTime read_at;
} Report;

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

static void
finish_waiting(Request *request, const char *report)
{
    AqBuffer body;
    AqBuffer_Init(&body);
    AqPlatform_EncodeWaiting(find_waiting(report, request->queue), &body);
    job_api_finish(request, 200, AqBuffer_Text(&body), "report");
    AqBuffer_Clear(&body);
}

void
job_api_free_report(void *value)
{
    Report *report = value;
    free(report->text);
    free(report);
}

static void
on_report(void *context, const AqStoreReply *reply)
{
    Request *request = context;
    job_api_record_status(request, reply);
    if (reply->status == AQ_STORE_OK && reply->count == 1) {
        Report *report = calloc(1, sizeof(*report));
        report->text = strndup(reply->items[0].value, reply->items[0].size);
        report->read_at = job_api_now(request->job_api);
        g_hash_table_replace(request->job_api->reports,
                             g_strdup(request->pool), report);
        finish_waiting(request, report->text);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        job_api_finish(request, 503, response_no_owner, "no_owner");
    }
    else {
        job_api_forward_or_retry(request);
    }
}

void
job_api_try_waiting(void *context)
{
    Request *request = context;
    AqStore *store = request->job_api->node->store;
    const Report *cached =
        g_hash_table_lookup(request->job_api->reports, request->pool);
    request->attempts++;
    if (cached != NULL &&
        job_api_now(request->job_api) - cached->read_at < REPORT_MAX_AGE_MS) {
        finish_waiting(request, cached->text);
        return;
    }
    store->ops->get(store, key_of(KEY_REPORT, request->pool), on_report,
                    request);
}
