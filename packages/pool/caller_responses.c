#include "caller_responses.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "aq_hash.h"
#include "aq_log.h"

const char response_unavailable[] =
    "{\"error\":\"the store can't be reached; come back later\"}";
const char response_unknown[] =
    "{\"error\":\"the outcome is not known; ask again with the same id\"}";
const char response_overload[] =
    "{\"error\":\"the job can't be completed in time; come back later\"}";

static bool
is_submission(const AqExchange *exchange)
{
    return strcmp(AqExchange_Method(exchange), "POST") == 0;
}

static bool
is_refusal(int status)
{
    return status == 429 || status == 503;
}

void
correct_refusal(NodeContext *node, const AqExchange *exchange,
                CallerResponse *response)
{
    const char *path = AqExchange_Path(exchange);
    if (!is_refusal(response->status) || !is_submission(exchange)) {
        return;
    }
    switch (recent_submissions_state(&node->recent_submissions, path,
                                     AqLoop_Now(node->loop))) {
    case SUBMISSION_NOT_STORED:
        return;
    case SUBMISSION_OPEN:
        *response = (CallerResponse){504, response_unknown,
                                     sizeof(response_unknown) - 1};
        break;
    case SUBMISSION_STORED:
        *response = (CallerResponse){200, "{}", 2};
        break;
    }
    AqLog_Event(AQ_LOG_INFO, "refusal_corrected", "path=%s status=%d",
                AqLog_Quote(path), response->status);
}

void
respond_json(NodeContext *node, AqExchange *exchange, int status,
             const char *body, size_t size, int retry_after_s)
{
    char seconds[16];
    AqHttpHeader headers[] = {{"Content-Type", "application/json"},
                              {"Retry-After", seconds}};
    bool may_retry = is_refusal(status);
    if (is_submission(exchange)) {
        recent_submissions_note_response(&node->recent_submissions,
                                         AqExchange_Path(exchange), status,
                                         AqLoop_Now(node->loop));
    }
    if (may_retry) {
        AqTime now = AqLoop_Now(node->loop);
        /* The path names the job, which a retry has in common. */
        uint64_t caller = AqHash_String(AqExchange_Path(exchange));
        if (retry_after_s == 0) {
            retry_after_s =
                store_health_retry_after_s(&node->store_health, now, caller);
        }
        snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
        AqLog_Event(AQ_LOG_INFO, "caller_refused",
                    "path=%s status=%d retry_after_s=%s store_failures=%u",
                    AqLog_Quote(AqExchange_Path(exchange)), status, seconds,
                    node->store_health.failures);
    }
    AqExchange_Respond(exchange, status, headers, may_retry ? 2 : 1, body,
                       size);
}
