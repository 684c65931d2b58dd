#include "caller_responses.h"

#include <stdbool.h>
#include <stdio.h>

#include "aq_hash.h"
#include "aq_log.h"

const char response_unavailable[] =
    "{\"error\":\"the store can't be reached; come back later\"}";
const char response_unknown[] =
    "{\"error\":\"the outcome is not known; ask again with the same id\"}";

void
respond_json(NodeContext *node, AqExchange *exchange, int status,
             const char *body, size_t size)
{
    char seconds[16];
    AqHttpHeader headers[] = {{"Content-Type", "application/json"},
                              {"Retry-After", seconds}};
    bool may_retry = status == 429 || status == 503;
    if (may_retry) {
        AqTime now = AqLoop_Now(node->loop);
        /* The path names the job, which a retry has in common. */
        uint64_t caller = AqHash_String(AqExchange_Path(exchange));
        snprintf(seconds, sizeof(seconds), "%d",
                 store_health_retry_after_s(&node->store_health, now, caller));
        AqLog_Event(AQ_LOG_INFO, "caller_refused",
                    "path=%s status=%d retry_after_s=%s store_failures=%u",
                    AqLog_Quote(AqExchange_Path(exchange)), status, seconds,
                    node->store_health.failures);
    }
    AqExchange_Respond(exchange, status, headers, may_retry ? 2 : 1, body,
                       size);
}
