#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "aq_random.h"
#include "node_metrics.h"
#include "node_private.h"

enum {
    /* Timeout of store calls; the store's slow replies take up to 0.3 s. */
    STORE_TIMEOUT_MS = 800,
    /* Timeout of orders to VMs, which usually reply within a few ms. */
    ORDER_TIMEOUT_MS = 600,
    MACHINE_TIMEOUT_MS = 1500,
    /* Timeout of calls to the advice service, which handles calls one after
     * another; so it is longer than for other calls. */
    ADVICE_TIMEOUT_MS = 3000,
    /* A graceful stop: the node reports not ready at once, so that callers
     * switch to other nodes; after STOP_CLOSE_MS the node closes each
     * connection with the response; after STOP_END_MS the node ends once no
     * request is pending. */
    STOP_CLOSE_MS = 3000,
    STOP_END_MS = 4000,
    /* The node ends at the latest this long before the platform sends
     * SIGKILL. */
    STOP_RESERVE_MS = 700,
    ROUND_INTERVAL_MS = 200
};

/* ---- Configuration ------------------------------------------------------ */

static void
for_each_owner(AqNode *node, void (*visit)(PoolOwner *owner))
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(((const OwnedPool *)value)->owner);
    }
}

static void
on_wave(AqNode *node, const AqStoreItem *item)
{
    AqError error;
    AqWaveSpec spec;
    if (!AqPlatform_DecodeWave(item->value, item->size, &spec, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "wave_unreadable", "key=%s error=%s",
                    item->key, AqLog_Quote(error.message));
        return;
    }
    wave_table_add(node->waves, &spec);
}

static void
on_config(AqNode *node, const AqStoreItem *item)
{
    AqError error;
    AqSiteConfig site;
    if (!AqPlatform_DecodeConfig(item->value, item->size, &site, &error)) {
        AqLog_Event(AQ_LOG_ERROR, "config_unreadable", "index=%llu error=%s",
                    (unsigned long long)item->index,
                    AqLog_Quote(error.message));
        return;
    }
    if (site.version < node->context.site.version) {
        AqLog_Event(AQ_LOG_WARNING, "config_older", "version=%lld known=%lld",
                    (long long)site.version,
                    (long long)node->context.site.version);
        AqSiteConfig_Clear(&site);
        return;
    }
    AqLog_Event(AQ_LOG_INFO, "config_applied",
                "version=%lld index=%llu queues=%zu pools=%zu",
                (long long)site.version, (unsigned long long)item->index,
                site.queue_count, site.pool_count);
    AqSiteConfig_Clear(&node->context.site);
    node->context.site = site;
    for_each_owner(node, pool_owner_site_changed);
    member_site_changed(node->member);
}

static void
on_operator_put(void *context, const AqStoreItem *item)
{
    AqNode *node = context;
    if (strcmp(item->key, AqPlatform_ConfigKey) == 0) {
        on_config(node, item);
    }
    else if (AqPlatform_WaveOfKey(item->key) >= 0) {
        on_wave(node, item);
    }
}

static void
on_operator_removed(void *context, const char *key)
{
    (void)context;
    AqLog_Event(AQ_LOG_WARNING, "operator_key_removed", "key=%s", key);
}

static const PrefixViewOps operator_ops = {
    on_operator_put, on_operator_removed, NULL, 0, false};

static const char *
pick_peer(void *context,
          bool (*may_use)(const void *choice, const char *address),
          const void *choice)
{
    return member_peer(((AqNode *)context)->member, may_use, choice);
}

static bool
forward(void *context, const ForwardOrder *order)
{
    return forwarder_send(((AqNode *)context)->forwarder, order);
}

/* ---- VMs ---------------------------------------------------------------- */

static void
on_vm_listed(void *context, const AqVmReport *report)
{
    AqNode *node = context;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pool_owner_set_vm(((const OwnedPool *)value)->owner, report);
    }
}

static void
on_vm_unlisted(void *context, const char *vm)
{
    AqNode *node = context;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pool_owner_vm_unlisted(((const OwnedPool *)value)->owner, vm);
    }
}

static void
add_listed_vm(void *context, const AqVmReport *report)
{
    pool_owner_set_vm(context, report);
}

/* ---- Pools -------------------------------------------------------------- */

static void
on_superseded(void *context, const char *pool, const char *reason)
{
    AqNode *node = context;
    member_superseded(node->member, pool, reason);
}

static void
on_gained(void *context, const Ownership *ownership)
{
    static const PoolOwnerOps ops = {on_superseded};
    static const VmDirectoryOps vm_ops = {on_vm_listed, on_vm_unlisted};
    AqNode *node = context;
    if (strcmp(ownership->pool, MEMBER_MACHINE_COORDINATOR) == 0) {
        node->coordinator =
            machine_coordinator_create(&node->context, ownership->fence);
        return;
    }
    AqMetric_Add(node->context.metrics.pools_gained, 1);
    OwnedPool *pool = calloc(1, sizeof(*pool));
    pool->owner =
        pool_owner_create(&node->context, node->member, ownership, &ops, node);
    pool->machines =
        pool_machines_create(&node->context, node->waves, pool->owner);
    g_hash_table_insert(node->owners, g_strdup(ownership->pool), pool);
    wave_table_follow(node->waves);
    if (node->vms == NULL) {
        node->vms = vm_directory_create(node->context.loop,
                                        node->context.store, &vm_ops, node);
    }
    vm_directory_each(node->vms, add_listed_vm, pool->owner);
}

static void
drop_pool(OwnedPool *pool)
{
    pool_machines_drop(pool->machines);
    pool_owner_drop(pool->owner);
    free(pool);
}

static void
on_lost(void *context, const char *pool, const char *reason)
{
    AqNode *node = context;
    OwnedPool *owned = g_hash_table_lookup(node->owners, pool);
    (void)reason;
    if (strcmp(pool, MEMBER_MACHINE_COORDINATOR) == 0) {
        machine_coordinator_drop(node->coordinator);
        node->coordinator = NULL;
        return;
    }
    if (owned != NULL) {
        AqMetric_Add(node->context.metrics.pools_lost, 1);
        g_hash_table_remove(node->owners, pool);
        drop_pool(owned);
    }
}

/* ---- Stopping ----------------------------------------------------------- */

static void
on_stop_due(void *context)
{
    AqNode *node = context;
    AqTime now = AqLoop_Now(node->context.loop);
    AqTime elapsed = now - node->stop_began;
    AqTime limit =
        node->context.settings->stop_grace_s * 1000 - STOP_RESERVE_MS;
    if (elapsed >= STOP_CLOSE_MS) {
        AqHttpServer_CloseAfterResponse(node->callers);
    }
    if ((elapsed >= STOP_END_MS && AqHttpServer_Pending(node->callers) == 0) ||
        elapsed >= limit) {
        AqLoop_Stop(node->context.loop);
        return;
    }
    AqTimer_Start(node->context.loop, &node->stop_timer,
                  now + ROUND_INTERVAL_MS);
}

typedef struct {
    AqNode *node;
    char pool[64];
} Handover;

static void
on_pool_finished(void *context)
{
    Handover *handover = context;
    AqNode *node = handover->node;
    member_release(node->member, handover->pool);
    on_lost(node, handover->pool, "released");
    if (--node->unfinished_handover_count == 0 && node->context.is_stopping) {
        member_leave(node->member);
    }
    free(handover);
}

static void
start_handover(AqNode *node, PoolOwner *owner)
{
    Handover *handover = calloc(1, sizeof(*handover));
    handover->node = node;
    g_strlcpy(handover->pool, pool_owner_pool(owner), sizeof(handover->pool));
    node->unfinished_handover_count++;
    pool_owner_finish(owner, on_pool_finished, handover);
}

static void
hand_over_pools(AqNode *node)
{
    GHashTableIter iter;
    gpointer value;
    if (node->coordinator != NULL) {
        member_release(node->member, MEMBER_MACHINE_COORDINATOR);
        on_lost(node, MEMBER_MACHINE_COORDINATOR, "released");
    }
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PoolOwner *owner = ((const OwnedPool *)value)->owner;
        if (!pool_owner_is_finishing(owner)) {
            start_handover(node, owner);
        }
    }
    if (node->unfinished_handover_count == 0) {
        member_leave(node->member);
    }
}

void
AqNode_Stop(AqNode *node)
{
    if (node->context.is_stopping) {
        AqLoop_Stop(node->context.loop);
        return;
    }
    node->context.is_stopping = true;
    node->stop_began = AqLoop_Now(node->context.loop);
    AqLog_Event(AQ_LOG_INFO, "stopping", "pools=%u pending=%zu",
                g_hash_table_size(node->owners),
                AqHttpServer_Pending(node->callers));
    hand_over_pools(node);
    on_stop_due(node);
}

/* ---- Lifecycle ---------------------------------------------------------- */

/* Hands over the pools that the configuration no longer lists and that have no
 * unfinished jobs.  No node claims such a pool. */
static void
release_removed_pools(AqNode *node)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        PoolOwner *owner = ((const OwnedPool *)value)->owner;
        if (!pool_owner_is_finishing(owner) && pool_owner_is_done(owner) &&
            AqSiteConfig_FindPool(&node->context.site, key) == NULL) {
            AqLog_Event(AQ_LOG_INFO, "pool_removed", "pool=%s config=%lld",
                        (const char *)key,
                        (long long)node->context.site.version);
            start_handover(node, owner);
        }
    }
}

static bool
owns_pool(void *context, const char *pool)
{
    return g_hash_table_contains(((const AqNode *)context)->owners, pool);
}

static AqTime
on_round(void *context)
{
    AqNode *node = context;
    if (AqLoop_ResumedAt(node->context.loop) != node->refreshed_at) {
        node->refreshed_at = AqLoop_ResumedAt(node->context.loop);
        prefix_view_refresh(node->operator_view);
    }
    release_removed_pools(node);
    carrier_duty_round(node->carriers, node->vms, owns_pool, node);
    AqTime due = AqLoop_Now(node->context.loop) + ROUND_INTERVAL_MS;
    GList *pools = g_hash_table_get_keys(node->owners);
    for (GList *at = pools; at != NULL; at = at->next) {
        at->data = g_strdup(at->data);
    }
    for (GList *at = pools; at != NULL; at = at->next) {
        /* The round of a pool may lead to this node's loss of that pool or
         * another, so each pool is looked up again. */
        const OwnedPool *pool = g_hash_table_lookup(node->owners, at->data);
        if (pool == NULL) {
            continue;
        }
        AqTime next = pool_owner_round(pool->owner);
        due = next < due ? next : due;
        pool = g_hash_table_lookup(node->owners, at->data);
        if (pool != NULL) {
            pool_machines_round(pool->machines,
                                pool_owner_may_order(pool->owner));
        }
    }
    g_list_free_full(pools, g_free);
    if (node->coordinator != NULL) {
        machine_coordinator_round(
            node->coordinator,
            member_may_order_for(node->member, MEMBER_MACHINE_COORDINATOR));
    }
    return due;
}

static bool
create_clients(AqNode *node, AqError *error)
{
    NodeContext *context = &node->context;
    const AqSettings *settings = context->settings;
    context->store = AqPlatformStore_Create(
        context->http, settings->platform_store, STORE_TIMEOUT_MS);
    node->direct_workers =
        AqPlatformWorkers_Create(context->http, ORDER_TIMEOUT_MS);
    node->carriers = carrier_duty_create(context, node->direct_workers, error);
    if (node->carriers == NULL) {
        return false;
    }
    context->workers = carrier_duty_workers(node->carriers);
    if (settings->platform_machines[0] != '\0') {
        context->machines = AqPlatformMachines_Create(
            context->http, settings->platform_machines, MACHINE_TIMEOUT_MS);
    }
    if (settings->platform_advice[0] != '\0') {
        context->advice = AqPlatformAdvice_Create(
            context->http, settings->platform_advice, ADVICE_TIMEOUT_MS);
    }
    return true;
}

static void
generate_incarnation(NodeContext *context)
{
    AqRandom random;
    uint64_t seed =
        (uint64_t)AqClock_ReadWall() * 1000003U + (uint64_t)(uintptr_t)context;
    for (const char *at = context->settings->node_id; *at != '\0'; at++) {
        seed = seed * 31U + (unsigned char)*at;
    }
    AqRandom_Seed(&random, seed);
    snprintf(context->incarnation, sizeof(context->incarnation), "%016llx",
             (unsigned long long)AqRandom_Next(&random));
}

AqNode *
AqNode_Create(const AqSettings *settings, AqError *error)
{
    static const MemberOps member_ops = {on_gained, on_lost};
    static const JobApiOps job_api_ops = {node_is_current, forward};
    static const ForwarderOps forwarder_ops = {pick_peer};
    AqNode *node = calloc(1, sizeof(*node));
    NodeContext *context = &node->context;
    context->settings = settings;
    node->owners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    AqTimer_Init(&node->stop_timer, on_stop_due, node);
    generate_incarnation(context);
    node_metrics_create(&context->metrics);
    context->loop = AqLoop_Create(error);
    if (context->loop == NULL) {
        goto error;
    }
    context->http = AqHttpClient_Create(context->loop, error);
    if (context->http == NULL) {
        goto error;
    }
    if (!create_clients(node, error)) {
        goto error;
    }
    node->job_api = job_api_create(context, &job_api_ops, node);
    node->forwarder = forwarder_create(context, &forwarder_ops, node);
    node->waves = wave_table_create(context);
    if (!node_open_servers(node, error)) {
        goto error;
    }
    node->operator_view =
        prefix_view_create(context->loop, context->store,
                           AqPlatform_OperatorPrefix, &operator_ops, node);
    node->member = member_create(context, &member_ops, node);
    carrier_duty_set_member(node->carriers, node->member);
    AqLoop_OnRound(context->loop, on_round, node);
    return node;

error:
    AqNode_Destroy(node);
    return NULL;
}

AqLoop *
AqNode_Loop(AqNode *node)
{
    return node->context.loop;
}

void
AqNode_Run(AqNode *node)
{
    AqLoop_Run(node->context.loop);
}

static void
drop_pools(AqNode *node)
{
    GList *pools = g_hash_table_get_values(node->owners);
    /* The end of a hand-over looks its pool up. */
    g_hash_table_remove_all(node->owners);
    for (GList *at = pools; at != NULL; at = at->next) {
        drop_pool(at->data);
    }
    g_list_free(pools);
}

void
AqNode_Destroy(AqNode *node)
{
    if (node == NULL) {
        return;
    }
    NodeContext *context = &node->context;
    AqTimer_Stop(&node->stop_timer);
    machine_coordinator_drop(node->coordinator);
    drop_pools(node);
    if (context->http != NULL) {
        /* Ends all HTTP calls in flight while the contexts of their callbacks
         * still exist. */
        AqHttpClient_Close(context->http);
    }
    carrier_duty_destroy(node->carriers);
    member_destroy(node->member);
    prefix_view_destroy(node->operator_view);
    vm_directory_destroy(node->vms);
    wave_table_destroy(node->waves);
    AqHttpServer_Destroy(node->callers);
    AqHttpServer_Destroy(node->readiness);
    if (node->metrics != NULL) {
        AqHttpServer_Destroy(node->metrics);
    }
    job_api_destroy(node->job_api);
    forwarder_destroy(node->forwarder);
    AqHttpClient_Destroy(context->http);
    if (context->store != NULL) {
        context->store->ops->destroy(context->store);
    }
    if (node->direct_workers != NULL) {
        node->direct_workers->ops->destroy(node->direct_workers);
    }
    if (context->machines != NULL) {
        context->machines->ops->destroy(context->machines);
    }
    if (context->advice != NULL) {
        context->advice->ops->destroy(context->advice);
    }
    AqMetrics_Destroy(context->metrics.all);
    AqSiteConfig_Clear(&context->site);
    store_health_clear(&context->store_health);
    recent_submissions_clear(&context->recent_submissions);
    g_hash_table_destroy(node->owners);
    AqLoop_Destroy(context->loop);
    free(node);
}
