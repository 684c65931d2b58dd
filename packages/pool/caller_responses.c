#include "caller_responses.h"

#include <stdbool.h>

const char response_unavailable[] =
    "{\"error\":\"the store can't be reached; come back later\"}";
const char response_unknown[] =
    "{\"error\":\"the outcome is not known; ask again with the same id\"}";

void
respond_json(AqExchange *exchange, int status, const char *body, size_t size)
{
    AqHttpHeader headers[] = {{"Content-Type", "application/json"},
                              {"Retry-After", "1"}};
    bool may_retry = status == 429 || status == 503;
    AqExchange_Respond(exchange, status, headers, may_retry ? 2 : 1, body,
                       size);
}
