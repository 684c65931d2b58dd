#include "pool_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "store_keys.h"
#include "owner_writer.h"
#include "prefix_view.h"

enum {
    /* Shortest time from the end of one write of job progress to the start of
     * the next; the changes in between are stored in one write. */
    SAVE_INTERVAL_MS = 60,
    SAVE_RETRY_MS = 150,
    /* Greatest number of jobs whose progress one write stores; other jobs wait
     * for the next write.  OwnerWriter adds three entries to each commit. */
    MAX_SAVES = AQ_STORE_COMMIT_ENTRIES - 3,
    REPORT_INTERVAL_MS = 800,
    LOAD_RETRY_MS = 150,
    /* Longest time for which the handover of a pool waits until the unsaved
     * progress of the pool's jobs is stored. */
    FINISH_TIMEOUT_MS = 600,
    /* Term of the lease under which a VM runs a task, unless the setting
     * limits.longest_lease_ms is shorter. */
    TASK_LEASE_MS = 5000,
    /* Length in bytes of ".c", the end of the key of a cancellation mark. */
    CANCEL_SUFFIX_LENGTH = 2
};

typedef enum {
    LOADING_USED_VMS,
    LOADING_PROGRESS,
    LOADING_JOBS,
    LOADED
} LoadState;

struct PoolOwner {
    AqJobSave saves[MAX_SAVES];
    size_t save_count;
    NodeContext *node;
    Member *member;
    PoolOwnerOps ops;
    void *context;
    Ownership ownership;
    AqScheduler *scheduler;
    AqTimer load_timer;
    /* Job id -> GBytes: progress records of the pool's jobs, kept until the
     * jobs are loaded. */
    GHashTable *progress_records;
    GHashTable *cancelled; /* ids of jobs with a cancellation mark */
    char *last_progress_key;
    PrefixView *jobs;
    OwnerWriter *writer;
    AqTime save_due;
    AqTime save_sent;
    AqTime gained_at;
    uint64_t used_vms_written;
    uint64_t used_vms_sent_version;
    AqTime used_vms_due;
    /* Text of the pool's report of waiting jobs as last written to the store;
     * NULL: none. */
    char *last_report;
    AqTime report_due;
    /* Callback of pool_owner_finish(), its argument, and the time at which it
     * is called at the latest; finish_done is NULL before pool_owner_finish()
     * and after the callback. */
    void (*finish_done)(void *context);
    void *finish_context;
    AqTime finish_deadline;
    LoadState load_state;
    /* Number of calls to the store, VMs and the advice service that have not
     * ended; each has a pointer to this owner. */
    int calls_in_flight;
    bool could_order; /* pool_owner_may_order() in the last round */
    bool is_dropped;
    bool is_finishing;
    bool is_saving;
    bool is_writing_used_vms;
    bool is_reporting;
};

static void
free_owner(PoolOwner *owner)
{
    AqTimer_Stop(&owner->load_timer);
    prefix_view_destroy(owner->jobs);
    AqScheduler_Destroy(owner->scheduler);
    g_hash_table_destroy(owner->progress_records);
    g_hash_table_destroy(owner->cancelled);
    free(owner->last_progress_key);
    free(owner->last_report);
    free(owner);
}

/* Counts one of the owner's calls as ended.  Returns false if the owner was
 * dropped, in which case it may have been freed. */
static bool
end_call(PoolOwner *owner)
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

static AqTime
now_of(const PoolOwner *owner)
{
    return AqLoop_Now(owner->node->loop);
}

static void
report_superseded(PoolOwner *owner, const char *reason)
{
    owner->ops.superseded(owner->context, owner->ownership.pool, reason);
}

/* ---- Orders ------------------------------------------------------------- */

typedef enum {
    ORDER_START,
    ORDER_STOP,
    ORDER_RENEWAL,
    ORDER_PACE
} OrderKind;

typedef struct {
    PoolOwner *owner;
    OrderKind kind;
    char vm[AQ_VM_ID_SIZE];
    AqTaskName task;
    int64_t run;
    AqTime sent_at;
} Order;

static void
count_order(const PoolOwner *owner, const Order *order,
            const AqOrderReply *reply)
{
    const NodeMetrics *metrics = &owner->node->metrics;
    if (reply->result == AQ_ORDER_UNKNOWN ||
        reply->result == AQ_ORDER_NOT_SENT) {
        AqMetric_Add(metrics->orders_failed, 1);
    }
    else if (order->kind == ORDER_START) {
        AqMetric_Observe(metrics->start_ms, now_of(owner) - order->sent_at);
    }
}

static void
on_order_reply(void *context, const AqOrderReply *reply)
{
    Order *order = context;
    PoolOwner *owner = order->owner;
    /* Read the clock: the loop's time may be before the arrival of the VM's
     * reply, which would make the VM's clock seem ahead and the leases on the
     * VM expire too early. */
    AqTime now = AqClock_ReadMonotonic();
    if (end_call(owner)) {
        AqScheduler *s = owner->scheduler;
        count_order(owner, order, reply);
        switch (order->kind) {
        case ORDER_START:
            AqScheduler_OnStart(s, order->vm, &order->task, order->run, reply,
                                now);
            break;
        case ORDER_STOP:
            AqScheduler_OnStop(s, order->vm, &order->task, order->run, reply,
                               now);
            break;
        case ORDER_RENEWAL:
            AqScheduler_OnRenewal(s, order->vm, order->sent_at, reply, now);
            break;
        case ORDER_PACE:
            break;
        }
    }
    free(order);
}

static Order *
new_order(PoolOwner *owner, OrderKind kind, const AqOrderTarget *target)
{
    Order *order = calloc(1, sizeof(*order));
    order->owner = owner;
    order->kind = kind;
    order->sent_at = now_of(owner);
    g_strlcpy(order->vm, target->vm, sizeof(order->vm));
    owner->calls_in_flight++;
    return order;
}

static void
order_start(void *context, const AqOrderTarget *target,
            const AqStartOrder *start)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_START, target);
    order->task = start->task;
    order->run = start->run;
    owner->node->workers->ops->start(owner->node->workers, target, start,
                                     on_order_reply, order);
}

static void
order_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
           int64_t run)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_STOP, target);
    order->task = *task;
    order->run = run;
    owner->node->workers->ops->stop(owner->node->workers, target, task, run,
                                    owner->ownership.fence, on_order_reply,
                                    order);
}

static void
order_renewal(void *context, const AqOrderTarget *target,
              const AqRenewalOrder *renewal)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_RENEWAL, target);
    owner->node->workers->ops->renew(owner->node->workers, target, renewal,
                                     on_order_reply, order);
}

static void
order_pace(void *context, const AqOrderTarget *target, const AqTaskName *task,
           int64_t run, int percent)
{
    PoolOwner *owner = context;
    Order *order = new_order(owner, ORDER_PACE, target);
    owner->node->workers->ops->pace(owner->node->workers, target, task, run,
                                    percent, owner->ownership.fence,
                                    on_order_reply, order);
}

typedef struct {
    PoolOwner *owner;
    AqTaskName step;
} TicketCall;

static void
on_tickets(void *context, const AqAdviceReply *reply)
{
    TicketCall *call = context;
    PoolOwner *owner = call->owner;
    AqTime now = now_of(owner);
    if (end_call(owner)) {
        for (size_t i = 0; i < reply->count; i++) {
            AqScheduler_OnTicket(
                owner->scheduler, &call->step, reply->tickets[i].vm,
                reply->tickets[i].ticket, reply->valid_ms, now);
        }
        AqScheduler_OnTicketsEnd(owner->scheduler, &call->step,
                                 reply->result == AQ_ORDER_DONE, now);
    }
    free(call);
}

static void
request_tickets(void *context, const AqTaskName *step, const char *const *vms,
                size_t count)
{
    PoolOwner *owner = context;
    AqAdviceClient *advice = owner->node->advice;
    if (advice == NULL) {
        AqLog_Event(AQ_LOG_ERROR, "tickets_unavailable",
                    "request=%s reason=no_advice_service", step->job);
        return;
    }
    TicketCall *call = calloc(1, sizeof(*call));
    call->owner = owner;
    call->step = *step;
    owner->calls_in_flight++;
    advice->ops->request_tickets(advice, step, vms, count, on_tickets, call);
}

static void
on_superseded(void *context)
{
    report_superseded(context, "later_fence_at_vm");
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
                  now_of(owner) + LOAD_RETRY_MS);
}

static void
on_used_vms(void *context, const AqStoreReply *reply)
{
    PoolOwner *owner = context;
    if (!end_call(owner)) {
        return;
    }
    if (reply->status == AQ_STORE_OK && reply->count == 1) {
        if (!AqScheduler_AddUsedVms(owner->scheduler, reply->items[0].value,
                                    reply->items[0].size, now_of(owner))) {
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
    if (!end_call(owner)) {
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
    AqTime now = now_of(owner);
    if (!AqJobSpec_Decode(item->value, item->size, &spec, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "job_unreadable", "request=%s error=%s", id,
                    AqLog_Quote(error.message));
        return;
    }
    gsize size = 0;
    GBytes *record = g_hash_table_lookup(owner->progress_records, id);
    const char *bytes =
        record != NULL ? g_bytes_get_data(record, &size) : NULL;
    if (!AqScheduler_AddJob(owner->scheduler, &spec, bytes, size, now,
                            &error)) {
        AqLog_Event(AQ_LOG_ERROR, "job_unreadable", "request=%s error=%s", id,
                    AqLog_Quote(error.message));
        return;
    }
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
        AqScheduler_CancelJob(owner->scheduler, id, now_of(owner));
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
                         now_of(owner) - owner->gained_at);
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

static void
commit_as_owner(PoolOwner *owner, const AqStorePut *puts, size_t count,
                OwnerWriteDone done)
{
    owner->calls_in_flight++;
    owner_writer_commit(owner->writer, NULL, 0, puts, count, done, owner);
}

static void
on_saved(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!end_call(owner)) {
        return;
    }
    bool is_stored = status == AQ_STORE_OK;
    owner->is_saving = false;
    AqMetric_Observe(owner->node->metrics.save_ms,
                     now_of(owner) - owner->save_sent);
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
                        is_stored, now_of(owner));
    owner->save_count = 0;
    owner->save_due =
        now_of(owner) + (is_stored ? SAVE_INTERVAL_MS : SAVE_RETRY_MS);
    if (status == AQ_STORE_ABSENT) {
        report_superseded(owner, "save_conflict");
    }
    else if (!is_stored) {
        AqLog_Event(AQ_LOG_WARNING, "save_failed", "pool=%s status=%d",
                    owner->ownership.pool, (int)status);
    }
}

static void
save_progress(PoolOwner *owner)
{
    AqStorePut puts[MAX_SAVES];
    if (owner->is_saving || owner->save_due > now_of(owner)) {
        return;
    }
    owner->save_count =
        AqScheduler_BeginSave(owner->scheduler, owner->saves, MAX_SAVES);
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
    owner->save_sent = now_of(owner);
    commit_as_owner(owner, puts, owner->save_count, on_saved);
    g_ptr_array_free(keys, TRUE);
}

static void
on_used_vms_written(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!end_call(owner)) {
        return;
    }
    owner->is_writing_used_vms = false;
    if (status == AQ_STORE_OK) {
        owner->used_vms_written = owner->used_vms_sent_version;
        AqScheduler_UsedVmsSaved(owner->scheduler, owner->used_vms_written);
    }
    else if (status == AQ_STORE_ABSENT) {
        report_superseded(owner, "roster_conflict");
    }
    else {
        owner->used_vms_due = now_of(owner) + SAVE_RETRY_MS;
    }
}

static void
write_used_vms(PoolOwner *owner)
{
    uint64_t version = AqScheduler_UsedVmsVersion(owner->scheduler);
    AqBuffer bytes;
    if (owner->is_writing_used_vms || version == owner->used_vms_written ||
        owner->used_vms_due > now_of(owner)) {
        return;
    }
    AqBuffer_Init(&bytes);
    AqScheduler_EncodeUsedVms(owner->scheduler, &bytes);
    AqStorePut put = {key_of(KEY_USED_VMS, owner->ownership.pool),
                      AqBuffer_Text(&bytes), bytes.size, 0};
    owner->is_writing_used_vms = true;
    owner->used_vms_sent_version = version;
    commit_as_owner(owner, &put, 1, on_used_vms_written);
    AqBuffer_Clear(&bytes);
}

/* ---- Report ------------------------------------------------------------- */

static void
on_reported(void *context, AqStoreStatus status)
{
    PoolOwner *owner = context;
    if (!end_call(owner)) {
        return;
    }
    owner->is_reporting = false;
    if (status != AQ_STORE_OK) {
        free(owner->last_report);
        owner->last_report = NULL;
    }
    if (status == AQ_STORE_ABSENT) {
        report_superseded(owner, "report_conflict");
    }
}

static void
write_report(PoolOwner *owner)
{
    const AqSiteConfig *site = &owner->node->site;
    AqBuffer text;
    if (owner->is_reporting || owner->report_due > now_of(owner)) {
        return;
    }
    owner->report_due = now_of(owner) + REPORT_INTERVAL_MS;
    AqBuffer_Init(&text);
    for (size_t i = 0; i < site->queue_count; i++) {
        if (strcmp(site->queues[i].pool, owner->ownership.pool) == 0) {
            AqBuffer_Printf(&text, "%s %zu\n", site->queues[i].name,
                            AqScheduler_CountWaiting(owner->scheduler,
                                                     site->queues[i].name));
        }
    }
    if (owner->last_report == NULL ||
        strcmp(owner->last_report, AqBuffer_Text(&text)) != 0) {
        free(owner->last_report);
        owner->last_report = strdup(AqBuffer_Text(&text));
        AqStorePut put = {key_of(KEY_REPORT, owner->ownership.pool),
                          owner->last_report, strlen(owner->last_report),
                          member_lease(owner->member)};
        owner->is_reporting = true;
        commit_as_owner(owner, &put, 1, on_reported);
    }
    AqBuffer_Clear(&text);
}

/* ---- Rounds ------------------------------------------------------------- */

/* Calls the callback of pool_owner_finish() if the progress of all jobs is
 * stored, the jobs aren't loaded, or 600 ms have passed since
 * pool_owner_finish().  The callback may free the owner. */
static void
check_finished(PoolOwner *owner)
{
    if (owner->finish_done == NULL) {
        return;
    }
    bool is_saved = owner->load_state != LOADED ||
                    !AqScheduler_HasUnsaved(owner->scheduler);
    if (is_saved || now_of(owner) >= owner->finish_deadline) {
        void (*done)(void *context) = owner->finish_done;
        owner->finish_done = NULL;
        done(owner->finish_context);
    }
}

bool
pool_owner_may_order(const PoolOwner *owner)
{
    return !owner->is_finishing && member_may_order(owner->member);
}

AqTime
pool_owner_round(PoolOwner *owner)
{
    AqTime now = now_of(owner);
    if (owner->load_state != LOADED) {
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
    AqTime due =
        AqScheduler_Tick(owner->scheduler, now, AqClock_ReadWall(), may_order);
    save_progress(owner);
    write_used_vms(owner);
    if (!owner->is_finishing) {
        write_report(owner);
    }
    if (AqScheduler_HasUnsaved(owner->scheduler) && !owner->is_saving &&
        owner->save_due < due) {
        due = owner->save_due;
    }
    check_finished(owner);
    return due;
}

/* ---- Interface ---------------------------------------------------------- */

PoolOwner *
pool_owner_create(NodeContext *node, Member *member,
                  const Ownership *ownership, const PoolOwnerOps *ops,
                  void *context)
{
    static const AqSchedulerActions actions = {
        order_start, order_stop,      order_renewal,
        order_pace,  request_tickets, on_superseded,
    };
    PoolOwner *owner = calloc(1, sizeof(*owner));
    AqSchedulerConfig config = {
        .fence = ownership->fence,
        .generation = ownership->generation,
        .lease_ms = TASK_LEASE_MS,
        .earlier_owner_ms =
            ownership->previous_owner_may_be_active ? MEMBER_LEASE_MS : 0,
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
    owner->gained_at = now_of(owner);
    owner->progress_records = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
    owner->cancelled =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    owner->writer =
        owner_writer_create(node, ownership->pool, ownership->fence);
    owner->scheduler =
        AqScheduler_Create(&config, &actions, owner, now_of(owner));
    AqScheduler_SetSite(owner->scheduler, &node->site);
    AqScheduler_Tick(owner->scheduler, now_of(owner), AqClock_ReadWall(),
                     false);
    AqTimer_Init(&owner->load_timer, on_load_due, owner);
    load_next(owner);
    return owner;
}

void
pool_owner_drop(PoolOwner *owner)
{
    owner->is_dropped = true;
    AqTimer_Stop(&owner->load_timer);
    prefix_view_destroy(owner->jobs);
    owner->jobs = NULL;
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
        AqScheduler_SetVm(owner->scheduler, report, now_of(owner));
    }
}

void
pool_owner_vm_unlisted(PoolOwner *owner, const char *vm)
{
    AqScheduler_VmUnlisted(owner->scheduler, vm, now_of(owner));
}

bool
pool_owner_is_done(const PoolOwner *owner)
{
    return owner->load_state == LOADED &&
           !AqScheduler_HasUnfinishedJobs(owner->scheduler) &&
           !AqScheduler_HasUnsaved(owner->scheduler);
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
    owner->finish_deadline = now_of(owner) + FINISH_TIMEOUT_MS;
    owner->save_due = 0;
}
