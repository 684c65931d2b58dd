#include "pool_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "pool_owner_private.h"
#include "store_keys.h"

enum {
    /* Shortest time from the end of one write of job progress to the start of
     * the next; the changes in between are stored in one write. */
    SAVE_INTERVAL_MS = 60,
    SAVE_RETRY_MS = 150,
    LOAD_RETRY_MS = 150,
    /* Longest time for which the handover of a pool waits until the unsaved
     * progress of the pool's jobs is stored. */
    FINISH_TIMEOUT_MS = 600,
    /* Term of the lease under which a VM runs a task, unless the setting
     * limits.longest_lease_ms is shorter. */
    TASK_LEASE_MS = 5000,
    /* A pool that starts no task for so long although tasks are ready is
     * logged, again after each START_WAIT_LOG_MS. */
    START_WAIT_MS = 1500,
    START_WAIT_LOG_MS = 2000,
    /* Length in bytes of ".c", the end of the key of a cancellation mark. */
    CANCEL_SUFFIX_LENGTH = 2
};

static void
free_owner(PoolOwner *owner)
{
    AqTimer_Stop(&owner->load_timer);
    prefix_view_destroy(owner->jobs);
    AqScheduler_Destroy(owner->scheduler);
    g_hash_table_destroy(owner->progress_records);
    g_hash_table_destroy(owner->cancelled);
    g_ptr_array_free(owner->upgrades, TRUE);
    free(owner->last_progress_key);
    free(owner->last_report);
    free(owner);
}

bool
pool_owner_end_call(PoolOwner *owner)
{
    owner->calls_in_flight--;
    if (!owner->is_dropped) {
        return true;
    }
    if (owner->calls_in_flight == 0) {
        free_owner(owner);
    }
    return false;
}

AqTime
pool_owner_now(const PoolOwner *owner)
{
    return AqLoop_Now(owner->node->loop);
}

void
pool_owner_report_superseded(PoolOwner *owner, const char *reason)
{
    owner->ops.superseded(owner->context, owner->ownership.pool, reason);
}

/* ---- Loading ------------------------------------------------------------ */

static void load_next(PoolOwner *owner);

static void
on_load_due(void *context)
{
    load_next(context);
}

static void
schedule_load_retry(PoolOwner *owner)
{
    AqTimer_Start(owner->node->loop, &owner->load_timer,
                  pool_owner_now(owner) + LOAD_RETRY_MS);
}

static void
on_used_vms(void *context, const AqStoreReply *reply)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    if (reply->status == AQ_STORE_OK && reply->count == 1) {
        if (!AqScheduler_AddUsedVms(owner->scheduler, reply->items[0].value,
                                    reply->items[0].size,
                                    pool_owner_now(owner))) {
            AqLog_Event(AQ_LOG_ERROR, "roster_unreadable", "pool=%s bytes=%zu",
                        owner->ownership.pool, reply->items[0].size);
        }
    }
    else if (reply->status != AQ_STORE_ABSENT) {
        schedule_load_retry(owner);
        return;
    }
    owner->load_state = LOADING_PROGRESS;
    load_next(owner);
}

static void
on_progress(void *context, const AqStoreReply *reply)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    if (reply->status != AQ_STORE_OK) {
        schedule_load_retry(owner);
        return;
    }
    const char *prefix = key_of(KEY_PROGRESS, owner->ownership.pool);
    for (size_t i = 0; i < reply->count; i++) {
        const AqStoreItem *item = &reply->items[i];
        g_hash_table_replace(owner->progress_records,
                             g_strdup(item->key + strlen(prefix)),
                             g_bytes_new(item->value, item->size));
        free(owner->last_progress_key);
        owner->last_progress_key = strdup(item->key);
    }
    if (reply->is_complete || reply->count == 0) {
        owner->load_state = LOADING_JOBS;
    }
    load_next(owner);
}

static void
add_job(PoolOwner *owner, const char *id, const AqStoreItem *item)
{
    AqError error;
    AqJobSpec spec;
    AqTime now = pool_owner_now(owner);
    if (!AqJobSpec_Decode(item->value, item->size, &spec, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "job_unreadable", "request=%s error=%s", id,
                    AqLog_Quote(error.message));
        return;
    }
    gsize size = 0;
    GBytes *record = g_hash_table_lookup(owner->progress_records, id);
    const char *bytes =
        record != NULL ? g_bytes_get_data(record, &size) : NULL;
    if (!AqScheduler_AddJob(owner->scheduler, &spec, bytes, size,
                            item->index > owner->quiet_index, now, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "job_unreadable", "request=%s error=%s", id,
                    AqLog_Quote(error.message));
        return;
    }
    pool_owner_add_upgrade(owner, item);
    AqLog_Event(AQ_LOG_DEBUG, "job_seen", "request=%s index=%llu", id,
                (unsigned long long)item->index);
    if (g_hash_table_contains(owner->cancelled, id)) {
        AqScheduler_CancelJob(owner->scheduler, id, now);
    }
}

static void
on_job_put(void *context, const AqStoreItem *item)
{
    PoolOwner *owner = context;
    const char *prefix = key_of(KEY_JOBS, owner->ownership.pool);
    char id[AQ_JOB_ID_SIZE + CANCEL_SUFFIX_LENGTH];
    g_strlcpy(id, item->key + strlen(prefix), sizeof(id));
    size_t length = strlen(id);
    if (length > CANCEL_SUFFIX_LENGTH &&
        strcmp(id + length - CANCEL_SUFFIX_LENGTH, ".c") == 0) {
        id[length - CANCEL_SUFFIX_LENGTH] = '\0';
        AqLog_Event(AQ_LOG_INFO, "cancel_seen", "request=%s index=%llu", id,
                    (unsigned long long)item->index);
        g_hash_table_add(owner->cancelled, g_strdup(id));
        AqScheduler_CancelJob(owner->scheduler, id, pool_owner_now(owner));
        return;
    }
    add_job(owner, id, item);
}

static void
on_job_removed(void *context, const char *key)
{
    PoolOwner *owner = context;
    const char *prefix = key_of(KEY_JOBS, owner->ownership.pool);
    AqScheduler_RemoveJob(owner->scheduler, key + strlen(prefix));
    g_hash_table_remove(owner->cancelled, key + strlen(prefix));
}

static void
on_jobs_listed(void *context)
{
    PoolOwner *owner = context;
    if (owner->load_state != LOADED) {
        owner->load_state = LOADED;
        AqScheduler_SetLoaded(owner->scheduler);
        g_hash_table_remove_all(owner->progress_records);
        AqMetric_Observe(owner->node->metrics.takeover_ms,
                         pool_owner_now(owner) - owner->gained_at);
        AqLog_Event(AQ_LOG_INFO, "pool_loaded", "pool=%s fence=%llu",
                    owner->ownership.pool,
                    (unsigned long long)owner->ownership.fence);
    }
}

static const PrefixViewOps job_ops = {on_job_put, on_job_removed,
                                      on_jobs_listed, 0, true};

static void
load_next(PoolOwner *owner)
{
    AqStore *store = owner->node->store;
    const char *pool = owner->ownership.pool;
    switch (owner->load_state) {
    case LOADING_USED_VMS:
        owner->calls_in_flight++;
        store->ops->get(store, key_of(KEY_USED_VMS, pool), on_used_vms, owner);
        break;
    case LOADING_PROGRESS:
        owner->calls_in_flight++;
        store->ops->list_after(store, key_of(KEY_PROGRESS, pool),
                               owner->last_progress_key, false, on_progress,
                               owner);
        break;
    case LOADING_JOBS:
        owner->jobs = prefix_view_create(
            owner->node->loop, store, key_of(KEY_JOBS, pool), &job_ops, owner);
        break;
    case LOADED:
        break;
    }
}

/* ---- Storing ------------------------------------------------------------ */

void
pool_owner_commit(PoolOwner *owner, const AqStorePut *puts, size_t count,
                  OwnerWriteDone done)
{
    owner->calls_in_flight++;
    owner_writer_commit(owner->writer, NULL, 0, puts, count, done, owner);
}

static void
on_saved(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    bool is_stored = status == AQ_STORE_OK;
    owner->is_saving = false;
    AqMetric_Observe(owner->node->metrics.save_ms,
                     pool_owner_now(owner) - owner->save_sent);
    for (size_t i = 0; i < owner->save_count && is_stored; i++) {
        if (owner->saves[i].stage >= AQ_STAGE_COMPLETED) {
            AqLog_Event(
                AQ_LOG_INFO, "job_finished",
                "request=%s stage=%s pool=%s fence=%llu", owner->saves[i].id,
                AqJobStage_Name(owner->saves[i].stage), owner->ownership.pool,
                (unsigned long long)owner->ownership.fence);
        }
    }
    AqScheduler_EndSave(owner->scheduler, owner->saves, owner->save_count,
                        is_stored, pool_owner_now(owner));
    owner->save_count = 0;
    owner->save_due =
        pool_owner_now(owner) + (is_stored ? SAVE_INTERVAL_MS : SAVE_RETRY_MS);
    if (status == AQ_STORE_ABSENT) {
        pool_owner_report_superseded(owner, "save_conflict");
    }
    else if (!is_stored) {
        AqLog_Event(AQ_LOG_WARNING, "save_failed", "pool=%s status=%d",
                    owner->ownership.pool, (int)status);
    }
}

static void
save_progress(PoolOwner *owner)
{
    AqStorePut puts[POOL_OWNER_MAX_SAVES];
    if (owner->is_saving || owner->save_due > pool_owner_now(owner)) {
        return;
    }
    owner->save_count = AqScheduler_BeginSave(owner->scheduler, owner->saves,
                                              POOL_OWNER_MAX_SAVES);
    if (owner->save_count == 0) {
        return;
    }
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < owner->save_count; i++) {
        const AqJobSave *job = &owner->saves[i];
        char *key = g_strdup(key_of_progress(owner->ownership.pool, job->id));
        g_ptr_array_add(keys, key);
        puts[i].key = key;
        puts[i].value = AqBuffer_Text(&job->record);
        puts[i].size = job->record.size;
        puts[i].lease = 0;
    }
    owner->is_saving = true;
    owner->save_sent = pool_owner_now(owner);
    pool_owner_commit(owner, puts, owner->save_count, on_saved);
    g_ptr_array_free(keys, TRUE);
}

static void
on_used_vms_written(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!pool_owner_end_call(owner)) {
        return;
    }
    owner->is_writing_used_vms = false;
    if (status == AQ_STORE_OK) {
        owner->used_vms_written = owner->used_vms_sent_version;
        AqScheduler_UsedVmsSaved(owner->scheduler, owner->used_vms_written);
    }
    else if (status == AQ_STORE_ABSENT) {
        pool_owner_report_superseded(owner, "roster_conflict");
    }
    else {
        owner->used_vms_due = pool_owner_now(owner) + SAVE_RETRY_MS;
    }
}

static void
write_used_vms(PoolOwner *owner)
{
    uint64_t version = AqScheduler_UsedVmsVersion(owner->scheduler);
    AqBuffer bytes;
    if (owner->is_writing_used_vms || version == owner->used_vms_written ||
        owner->used_vms_due > pool_owner_now(owner)) {
        return;
    }
    AqBuffer_Init(&bytes);
    AqScheduler_EncodeUsedVms(owner->scheduler, &bytes);
    AqStorePut put = {key_of(KEY_USED_VMS, owner->ownership.pool),
                      AqBuffer_Text(&bytes), bytes.size, 0};
    owner->is_writing_used_vms = true;
    owner->used_vms_sent_version = version;
    pool_owner_commit(owner, &put, 1, on_used_vms_written);
    AqBuffer_Clear(&bytes);
}

/* ---- Rounds ------------------------------------------------------------- */

/* Logs what the pool waits for while it starts no task. */
static void
log_start_wait(PoolOwner *owner, AqTime waited_ms)
{
    static const char *const stages[] = {"used_vms", "progress", "jobs"};
    AqTime now = pool_owner_now(owner);
    AqBuffer text;
    if (waited_ms < START_WAIT_MS || now < owner->wait_log_due) {
        return;
    }
    owner->wait_log_due = now + START_WAIT_LOG_MS;
    AqBuffer_Init(&text);
    if (owner->load_state == LOADED) {
        AqScheduler_DescribeStartWait(owner->scheduler, &text);
    }
    else {
        AqBuffer_Printf(&text, "reason=loading stage=%s",
                        stages[owner->load_state]);
    }
    AqLog_Event(
        AQ_LOG_WARNING, "starts_wait",
        "pool=%s fence=%llu waited_ms=%lld %s calls=%d saving=%d "
        "writing_used_vms=%d",
        owner->ownership.pool, (unsigned long long)owner->ownership.fence,
        (long long)waited_ms, AqBuffer_Text(&text), owner->calls_in_flight,
        owner->is_saving, owner->is_writing_used_vms);
    AqBuffer_Clear(&text);
}

/* Whether all progress and, after it, the list of used VMs is stored, so that
 * the next owner can rely on them. */
static bool
is_all_stored(const PoolOwner *owner)
{
    return !AqScheduler_HasUnsaved(owner->scheduler) &&
           owner->used_vms_written ==
               AqScheduler_UsedVmsVersion(owner->scheduler);
}

/* Ends the hand-over, if one is under way. */
static void
end_finish(PoolOwner *owner)
{
    void (*done)(void *context) = owner->finish_done;
    owner->finish_done = NULL;
    if (done != NULL) {
        done(owner->finish_context);
    }
}

/* Calls the callback of pool_owner_finish() if all that the next owner needs
 * is stored, the jobs aren't loaded, or 600 ms have passed since
 * pool_owner_finish().  The callback may free the owner. */
static void
check_finished(PoolOwner *owner)
{
    if (owner->finish_done == NULL) {
        return;
    }
    bool is_saved = owner->load_state != LOADED || is_all_stored(owner);
    if (is_saved || pool_owner_now(owner) >= owner->finish_deadline) {
        end_finish(owner);
    }
}

bool
pool_owner_may_order(const PoolOwner *owner)
{
    return !owner->is_finishing &&
           member_may_order_for(owner->member, owner->ownership.pool);
}

static void
update_quiet_index(PoolOwner *owner, AqTime confirmed_at)
{
    if (owner->quiet_index == UINT64_MAX &&
        confirmed_at >= owner->gained_at + MEMBER_LEASE_MS) {
        owner->quiet_index =
            member_confirmed_index(owner->member, owner->ownership.pool);
    }
}

AqTime
pool_owner_round(PoolOwner *owner)
{
    AqTime now = pool_owner_now(owner);
    if (owner->load_state != LOADED) {
        log_start_wait(owner, now - owner->gained_at);
        check_finished(owner);
        return now + LOAD_RETRY_MS;
    }
    bool may_order = pool_owner_may_order(owner);
    if (may_order != owner->could_order) {
        owner->could_order = may_order;
        AqLog_Event(AQ_LOG_INFO, may_order ? "orders_begin" : "orders_pause",
                    "pool=%s fence=%llu calls=%d", owner->ownership.pool,
                    (unsigned long long)owner->ownership.fence,
                    owner->calls_in_flight);
    }
    AqTime confirmed_at =
        member_confirmed_at(owner->member, owner->ownership.pool);
    if (confirmed_at != AQ_TIME_NEVER) {
        AqScheduler_ConfirmOwnership(owner->scheduler, confirmed_at);
        update_quiet_index(owner, confirmed_at);
    }
    AqTime caps_due = cap_escrow_round(owner->caps, now, !owner->is_finishing);
    AqTime due =
        AqScheduler_Tick(owner->scheduler, now, AqClock_ReadWall(), may_order);
    if (AqScheduler_AwaitsConfirmation(owner->scheduler)) {
        member_confirm_pools(owner->member);
    }
    log_start_wait(owner, AqScheduler_StartWait(owner->scheduler));
    save_progress(owner);
    if (!owner->is_finishing) {
        write_used_vms(owner);
        pool_owner_write_report(owner);
        pool_owner_upgrade_jobs(owner);
    }
    else if (!AqScheduler_HasUnsaved(owner->scheduler)) {
        /* Only a list that is written after all progress hands over. */
        write_used_vms(owner);
    }
    if (AqScheduler_HasUnsaved(owner->scheduler) && !owner->is_saving &&
        owner->save_due < due) {
        due = owner->save_due;
    }
    check_finished(owner);
    return caps_due < due ? caps_due : due;
}

/* ---- Interface ---------------------------------------------------------- */

/* 1 if the setting is empty or no number. */
static double
far_rack_factor(const AqSettings *settings)
{
    const char *text = settings->limits_far_rack_factor;
    double factor = text != NULL ? strtod(text, NULL) : 1.0;
    return factor > 1.0 ? factor : 1.0;
}

PoolOwner *
pool_owner_create(NodeContext *node, Member *member,
                  const Ownership *ownership, const PoolOwnerOps *ops,
                  void *context)
{
    PoolOwner *owner = calloc(1, sizeof(*owner));
    AqSchedulerConfig config = {
        .fence = ownership->fence,
        .generation = ownership->generation,
        .lease_ms = TASK_LEASE_MS,
        .longest_lease_ms = node->settings->limits_longest_lease_ms,
        .earlier_owner_ms =
            ownership->previous_owner_may_be_active ? MEMBER_LEASE_MS : 0,
        .far_rack_factor = far_rack_factor(node->settings),
        .place_wait_ms = node->settings->limits_place_wait_ms,
    };
    if (config.lease_ms > node->settings->limits_longest_lease_ms) {
        config.lease_ms = node->settings->limits_longest_lease_ms;
    }
    g_strlcpy(config.pool, ownership->pool, sizeof(config.pool));
    owner->node = node;
    owner->member = member;
    owner->ops = *ops;
    owner->context = context;
    owner->ownership = *ownership;
    owner->last_progress_key = strdup("");
    owner->upgrades = pool_owner_create_upgrades();
    owner->gained_at = pool_owner_now(owner);
    owner->quiet_index = ownership->previous_owner_may_be_active
                             ? UINT64_MAX
                             : ownership->fence;
    owner->progress_records = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
    owner->cancelled =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->writer =
        owner_writer_create(node, ownership->pool, ownership->fence);
    owner->scheduler = AqScheduler_Create(&config, &pool_owner_actions, owner,
                                          pool_owner_now(owner));
    owner->caps = cap_escrow_create(node, ownership->pool, owner->writer,
                                    owner->scheduler);
    AqScheduler_SetSite(owner->scheduler, &node->site);
    AqScheduler_Tick(owner->scheduler, pool_owner_now(owner),
                     AqClock_ReadWall(), false);
    AqTimer_Init(&owner->load_timer, on_load_due, owner);
    load_next(owner);
    return owner;
}

void
pool_owner_drop(PoolOwner *owner)
{
    end_finish(owner);
    owner->is_dropped = true;
    AqTimer_Stop(&owner->load_timer);
    prefix_view_destroy(owner->jobs);
    owner->jobs = NULL;
    cap_escrow_destroy(owner->caps);
    /* Counts one more call, so that the owner isn't freed while
     * owner_writer_drop() calls the "done" callbacks of the queued writes. */
    owner->calls_in_flight++;
    owner_writer_drop(owner->writer);
    owner->calls_in_flight--;
    for (size_t i = 0; i < owner->save_count; i++) {
        AqBuffer_Clear(&owner->saves[i].record);
    }
    owner->save_count = 0;
    if (owner->calls_in_flight == 0) {
        free_owner(owner);
    }
}

OwnerWriter *
pool_owner_writer(PoolOwner *owner)
{
    return owner->writer;
}

const char *
pool_owner_pool(const PoolOwner *owner)
{
    return owner->ownership.pool;
}

AqScheduler *
pool_owner_scheduler(PoolOwner *owner)
{
    return owner->load_state == LOADED ? owner->scheduler : NULL;
}

uint64_t
pool_owner_fence(const PoolOwner *owner)
{
    return owner->ownership.fence;
}

void
pool_owner_site_changed(PoolOwner *owner)
{
    AqScheduler_SetSite(owner->scheduler, &owner->node->site);
}

void
pool_owner_set_vm(PoolOwner *owner, const AqVmReport *report)
{
    if (strcmp(report->pool, owner->ownership.pool) == 0) {
        AqScheduler_SetVm(owner->scheduler, report, pool_owner_now(owner));
    }
}

void
pool_owner_vm_unlisted(PoolOwner *owner, const char *vm)
{
    AqScheduler_VmUnlisted(owner->scheduler, vm, pool_owner_now(owner));
}

void
pool_owner_set_arriving(PoolOwner *owner, int64_t cpu_millis)
{
    owner->arriving_cpu_millis = cpu_millis;
}

bool
pool_owner_is_done(const PoolOwner *owner)
{
    return owner->load_state == LOADED &&
           !AqScheduler_HasUnfinishedJobs(owner->scheduler) &&
           !AqScheduler_HasUnsaved(owner->scheduler) &&
           cap_escrow_is_settled(owner->caps);
}

bool
pool_owner_is_finishing(const PoolOwner *owner)
{
    return owner->is_finishing;
}

void
pool_owner_finish(PoolOwner *owner, void (*done)(void *context), void *context)
{
    owner->is_finishing = true;
    AqScheduler_Close(owner->scheduler);
    owner->finish_done = done;
    owner->finish_context = context;
    owner->finish_deadline = pool_owner_now(owner) + FINISH_TIMEOUT_MS;
    owner->save_due = 0;
}
