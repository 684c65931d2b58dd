#include "store_health.h"

#include "aq_log.h"

enum {
    /* Number of consecutive failed calls after which the store counts as
     * failing; one failed call may be a reply lost in transit. */
    LOST_AFTER_FAILURES = 2
};

void
store_health_note(StoreHealth *health, AqStoreStatus status)
{
    if (status == AQ_STORE_UNAVAILABLE || status == AQ_STORE_UNKNOWN) {
        health->failures++;
        if (health->failures == LOST_AFTER_FAILURES) {
            AqLog_Event(AQ_LOG_WARNING, "store_calls_failing",
                        "failures=%u status=%d", health->failures,
                        (int)status);
        }
        return;
    }
    if (health->failures >= LOST_AFTER_FAILURES) {
        AqLog_Event(AQ_LOG_INFO, "store_calls_served", "failures=%u",
                    health->failures);
    }
    health->failures = 0;
}

bool
store_health_is_lost(const StoreHealth *health)
{
    return health->failures >= LOST_AFTER_FAILURES;
}
