#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "pool_owner_private.h"
#include "store_keys.h"

/* Jobs that a node of an earlier version stored get what this version stores
 * with each job.  Only the owner does this: a job's pool is that of the prefix
 * under which the owner finds it, whatever the configuration says by then. */

enum {
    /* two puts a job; OwnerWriter adds three entries to each commit */
    MAX_UPGRADES = (AQ_STORE_COMMIT_ENTRIES - 3) / 2,
    /* With 14 jobs a write, 10,000 stored jobs take 75 s and a 40th of 400
     * writes a second. */
    UPGRADE_INTERVAL_MS = 100,
    UPGRADE_RETRY_MS = 500
};

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    AqBuffer record;
} Upgrade;

static void
free_upgrade(void *value)
{
    Upgrade *upgrade = value;
    AqBuffer_Clear(&upgrade->record);
    free(upgrade);
}

GPtrArray *
pool_owner_create_upgrades(void)
{
    return g_ptr_array_new_with_free_func(free_upgrade);
}

void
pool_owner_add_upgrade(PoolOwner *owner, const AqStoreItem *item)
{
    AqError error;
    AqJobSpec spec;
    if (!AqJobSpec_Decode(item->value, item->size, &spec, &error)) {
        return;
    }
    if (!spec.has_pool_record) {
        const AqQueueConfig *queue = AqSiteConfig_FindQueueOfPool(
            &owner->node->site, spec.queue, owner->ownership.pool);
        if (queue != NULL) {
            AqJobTerms_Set(&spec.terms, queue);
            spec.has_terms = true;
        }
        Upgrade *upgrade = calloc(1, sizeof(*upgrade));
        memcpy(upgrade->id, spec.id, sizeof(upgrade->id));
        AqBuffer_Init(&upgrade->record);
        AqJobSpec_Encode(&spec, &upgrade->record);
        g_ptr_array_add(owner->upgrades, upgrade);
    }
    AqJobSpec_Clear(&spec);
}

static void
on_upgraded(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    unsigned count = owner->upgrades_in_flight;
    owner->upgrades_in_flight = 0;
    owner->upgrade_due =
        pool_owner_now(owner) +
        (status == AQ_STORE_OK ? UPGRADE_INTERVAL_MS : UPGRADE_RETRY_MS);
    if (status == AQ_STORE_OK) {
        AqLog_Event(AQ_LOG_INFO, "jobs_upgraded",
                    "pool=%s fence=%llu count=%u first=%s",
                    owner->ownership.pool,
                    (unsigned long long)owner->ownership.fence, count,
                    ((const Upgrade *)owner->upgrades->pdata[0])->id);
        g_ptr_array_remove_range(owner->upgrades, 0, count);
    }
    else if (status == AQ_STORE_ABSENT) {
        pool_owner_report_superseded(owner, "upgrade_conflict");
    }
}

void
pool_owner_upgrade_jobs(PoolOwner *owner)
{
    AqStorePut puts[2 * MAX_UPGRADES];
    const char *pool = owner->ownership.pool;
    if (owner->upgrades->len == 0 || owner->upgrades_in_flight > 0 ||
        owner->upgrade_due > pool_owner_now(owner)) {
        return;
    }
    unsigned count = owner->upgrades->len < MAX_UPGRADES ? owner->upgrades->len
                                                         : MAX_UPGRADES;
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    for (unsigned i = 0; i < count; i++) {
        Upgrade *upgrade = owner->upgrades->pdata[i];
        char *job = g_strdup(key_of_job(pool, upgrade->id));
        char *job_pool = g_strdup(key_of(KEY_JOB_POOL, upgrade->id));
        g_ptr_array_add(keys, job);
        g_ptr_array_add(keys, job_pool);
        puts[2 * i] = (AqStorePut){job, AqBuffer_Text(&upgrade->record),
                                   upgrade->record.size, 0};
        puts[2 * i + 1] = (AqStorePut){job_pool, pool, strlen(pool), 0};
    }
    owner->upgrades_in_flight = count;
    pool_owner_commit(owner, puts, (size_t)2 * count, on_upgraded);
    g_ptr_array_free(keys, TRUE);
}
