#include "store_health.h"

#include "aq_hash.h"
#include "aq_log.h"

enum {
    /* Number of consecutive failed calls after which the store counts as
     * failing; one failed call may be a reply lost in transit. */
    LOST_AFTER_FAILURES = 2,
    /* Bounds the memory for refused callers; more of them count as new. */
    MAX_REFUSED_CALLERS = 4096
};

static unsigned
count_refused(const StoreHealth *health)
{
    return health->refused != NULL ? g_hash_table_size(health->refused) : 0;
}

void
store_health_note(StoreHealth *health, AqStoreStatus status, AqTime now)
{
    if (status == AQ_STORE_UNAVAILABLE || status == AQ_STORE_UNKNOWN) {
        if (health->failures == 0) {
            health->failing_since = now;
        }
        health->failures++;
        if (health->failures == LOST_AFTER_FAILURES) {
            AqLog_Event(AQ_LOG_WARNING, "store_calls_failing",
                        "failures=%u status=%d", health->failures,
                        (int)status);
        }
        return;
    }
    if (health->failures >= LOST_AFTER_FAILURES) {
        AqTime length_ms = now - health->failing_since;
        AqLog_Event(AQ_LOG_INFO, "store_calls_served",
                    "failures=%u away_ms=%lld refused=%u", health->failures,
                    (long long)length_ms, count_refused(health));
        outage_history_add(&health->outages, length_ms);
    }
    store_health_clear(health);
    health->failures = 0;
}

/* Remembers a refused caller; returns whether it was refused before. */
static bool
add_refused(StoreHealth *health, uint64_t caller)
{
    gpointer key = GSIZE_TO_POINTER((gsize)caller);
    if (health->refused == NULL) {
        health->refused = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    if (g_hash_table_contains(health->refused, key)) {
        return true;
    }
    if (count_refused(health) < MAX_REFUSED_CALLERS) {
        g_hash_table_add(health->refused, key);
    }
    return false;
}

int
store_health_retry_after_s(StoreHealth *health, AqTime now, uint64_t caller)
{
    RefusedCaller refused = {.hash = AqHash_Rendezvous(caller, (uint64_t)now)};
    if (health->failures > 0) {
        refused.is_returning = add_refused(health, caller);
        refused.away_ms = now - health->failing_since;
        refused.refused = count_refused(health);
    }
    return retry_after_s(&health->outages, &refused);
}

void
store_health_clear(StoreHealth *health)
{
    if (health->refused != NULL) {
        g_hash_table_destroy(health->refused);
        health->refused = NULL;
    }
}

bool
store_health_is_lost(const StoreHealth *health)
{
    return health->failures >= LOST_AFTER_FAILURES;
}
