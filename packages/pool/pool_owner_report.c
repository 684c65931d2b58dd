#include <stdlib.h>
#include <string.h>

#include "aq_load_view.h"
#include "pool_owner_private.h"
#include "store_keys.h"

/* The owner's report: waiting jobs of each queue, and the load in a lasting
 * overload. */

enum {
    REPORT_INTERVAL_MS = 800
};

static void
on_reported(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    owner->is_reporting = false;
    if (status != AQ_STORE_OK) {
        free(owner->last_report);
        owner->last_report = NULL;
    }
    if (status == AQ_STORE_ABSENT) {
        pool_owner_report_superseded(owner, "report_conflict");
    }
}

static void
append_waiting(void *text, const char *queue, size_t count)
{
    AqBuffer_Printf(text, "%s %zu\n", queue, count);
}

/* Appends the pool's load to its report in a lasting overload. */
static void
append_load(PoolOwner *owner, AqBuffer *text)
{
    AqLoadView view;
    if (AqScheduler_GetLoadView(owner->scheduler, owner->arriving_cpu_millis,
                                AqClock_ReadWall(), &view)) {
        AqLoadView_Encode(&view, text);
    }
}

void
pool_owner_write_report(PoolOwner *owner)
{
    AqBuffer text;
    if (owner->is_reporting || owner->report_due > pool_owner_now(owner)) {
        return;
    }
    owner->report_due = pool_owner_now(owner) + REPORT_INTERVAL_MS;
    AqBuffer_Init(&text);
    AqScheduler_EachWaiting(owner->scheduler, append_waiting, &text);
    append_load(owner, &text);
    if (owner->last_report == NULL ||
        strcmp(owner->last_report, AqBuffer_Text(&text)) != 0) {
        free(owner->last_report);
        owner->last_report = strdup(AqBuffer_Text(&text));
        AqStorePut put = {key_of(KEY_REPORT, owner->ownership.pool),
                          owner->last_report, strlen(owner->last_report),
                          member_lease(owner->member)};
        owner->is_reporting = true;
        pool_owner_commit(owner, &put, 1, on_reported);
    }
    AqBuffer_Clear(&text);
}
