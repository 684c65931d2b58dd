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
    const AqSiteConfig *site = &owner->node->site;
    AqBuffer text;
    if (owner->is_reporting || owner->report_due > pool_owner_now(owner)) {
        return;
    }
    owner->report_due = pool_owner_now(owner) + REPORT_INTERVAL_MS;
    AqBuffer_Init(&text);
    for (size_t i = 0; i < site->queue_count; i++) {
        if (strcmp(site->queues[i].pool, owner->ownership.pool) == 0) {
            AqBuffer_Printf(&text, "%s %zu\n", site->queues[i].name,
                            AqScheduler_CountWaiting(owner->scheduler,
                                                     site->queues[i].name));
        }
    }
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
