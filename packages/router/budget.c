#include "router_private.h"

void
AqRouterBudget_Earn(const AqRouter *router, AqService *service)
{
    service->retry_tokens += router->config.retry_ratio;
    if (service->retry_tokens > router->config.retry_burst) {
        service->retry_tokens = router->config.retry_burst;
    }
}

bool
AqRouterBudget_Spend(AqRouter *router, AqService *service)
{
    if (!AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_RETRY_BUDGET)) {
        return true;
    }
    if (service->retry_tokens < 1.0) {
        router->stats.retries_denied++;
        return false;
    }
    service->retry_tokens -= 1.0;
    return true;
}

AqTime
AqRouterBudget_Backoff(AqRouter *router, int attempts)
{
    AqTime bound = router->config.backoff_initial_ms;
    for (int i = 1; i < attempts && bound < router->config.backoff_max_ms;
         i++) {
        bound *= 2;
    }
    if (bound > router->config.backoff_max_ms) {
        bound = router->config.backoff_max_ms;
    }
    if (!AqRouter_IsEnabled(router, AQ_ROUTER_DISABLE_JITTER)) {
        return bound;
    }
    /* A random delay from 0 to the bound, so that requests which failed at the
     * same time are not retried at the same time. */
    return (AqTime)AqRandom_Below(&router->random, (uint64_t)bound + 1);
}
