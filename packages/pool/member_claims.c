#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "aq_log.h"
#include "member_private.h"
#include "store_keys.h"

enum {
    /* Wait after this node has written its membership entry until it first
     * claims a pool, so that it sees the other members first. */
    CLAIM_START_WAIT_MS = 300,
    /* Added to the wait before this node claims a pool, once for each pool
     * that the node owns or is claiming already. */
    CLAIM_WAIT_PER_POOL_MS = 120,
    /* One part of the wait before a node claims a pool is given by a hash of
     * pool and node; that part is shorter than this. */
    CLAIM_SPREAD_MS = 100,
    /* A node that is allotted a CPU share of 0 waits this much longer before
     * it claims a pool, if another member has a greater share; less for shares
     * in between.  This exceeds the wait of a node with a greater share that
     * owns all pools of a site. */
    CLAIM_LOW_CPU_WAIT_MS = 2000,
    CLAIM_RETRY_MS = 100,
    /* Wait before a failed write of a settled term record is repeated. */
    SETTLE_RETRY_MS = 300
};

static size_t
count_owned(const Member *member)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PoolClaim *claim = value;
        count += claim->state == CLAIM_OWNED ||
                 claim->state == CLAIM_READING ||
                 claim->state == CLAIM_WRITING;
    }
    return count;
}

/* Returns whether a node has registered another incarnation than the given
 * one, so that the process with the given one has ended. */
static bool
is_replaced(const Member *member, const char *node, const char *incarnation)
{
    const MemberEntry *registered = g_hash_table_lookup(member->peers, node);
    return registered != NULL &&
           strcmp(registered->incarnation, incarnation) != 0;
}

static bool
is_vacant(const PoolClaim *claim)
{
    /* If this process gives up a claim of the pool that takes effect later,
     * the owner key contains this process's incarnation although the pool has
     * no owner. */
    bool is_ours = claim->state != CLAIM_OWNED &&
                   strcmp(claim->owner_incarnation,
                          claim->member->node->incarnation) == 0;
    return claim->owner_index == 0 || is_ours ||
           is_replaced(claim->member, claim->owner_node,
                       claim->owner_incarnation);
}

static void
retry_claim(PoolClaim *claim)
{
    claim->state = CLAIM_WAITING;
    AqTimer_Start(claim->member->node->loop, &claim->timer,
                  AqLoop_Now(claim->member->node->loop) + CLAIM_RETRY_MS);
}

/* Whether the owner key that this node wrote at store revision "index" is gone
 * already: its lease has ended, or the view has shown a later change. */
static bool
is_claim_over(const PoolClaim *claim, uint64_t index)
{
    return claim->lease != claim->member->lease || claim->was_removed ||
           claim->seen_index > index;
}

/* Takes the pool over after the store has shown, by the reply to a call sent
 * at "confirmed_at", that this node wrote the owner key at revision
 * "fence". */
static void
set_owned(PoolClaim *claim, uint64_t fence, AqTime confirmed_at)
{
    Member *member = claim->member;
    if (is_claim_over(claim, fence)) {
        AqLog_Event(AQ_LOG_WARNING, "claim_outdated",
                    "pool=%s fence=%llu lease=%llu own_lease=%llu seen=%llu "
                    "removed=%d",
                    claim->pool, (unsigned long long)fence,
                    (unsigned long long)claim->lease,
                    (unsigned long long)member->lease,
                    (unsigned long long)claim->seen_index, claim->was_removed);
        retry_claim(claim);
        return;
    }
    Ownership ownership = {
        .fence = fence,
        .generation = claim->generation,
        .previous_owner_may_be_active = claim->previous_owner_may_be_active,
    };
    claim->state = CLAIM_OWNED;
    claim->has_had_owner = true;
    claim->fence = fence;
    claim->owner_index = fence;
    claim->owned_at = AqLoop_Now(member->node->loop);
    claim->confirmed_at = confirmed_at;
    claim->confirmed_index = fence;
    claim->is_settled = !claim->previous_owner_may_be_active;
    if (!claim->is_settled) {
        AqTimer_Start(member->node->loop, &claim->timer,
                      claim->owned_at + MEMBER_LEASE_MS);
    }
    g_strlcpy(claim->owner_node, member->node->settings->node_id,
              sizeof(claim->owner_node));
    g_strlcpy(claim->owner_incarnation, member->node->incarnation,
              sizeof(claim->owner_incarnation));
    g_strlcpy(ownership.pool, claim->pool, sizeof(ownership.pool));
    AqLog_Event(AQ_LOG_INFO, "pool_gained",
                "pool=%s fence=%llu generation=%lld rival=%d", claim->pool,
                (unsigned long long)fence, (long long)claim->generation,
                claim->previous_owner_may_be_active);
    member->ops.gained(member->context, &ownership);
}

static void read_term(PoolClaim *claim, const AqStoreReply *reply);

/* Handles the read of the term after the owner key has shown that a claim
 * without a clear reply took effect: it may be another one than the last, and
 * only the term shows which generation it wrote. */
static void
on_claimed_term_read(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    const NodeContext *node = claim->member->node;
    if (claim->state != CLAIM_WRITING) {
        return;
    }
    if (reply->status == AQ_STORE_OK) {
        read_term(claim, reply);
    }
    if (reply->status != AQ_STORE_OK || claim->generation == 0 ||
        strcmp(claim->term_incarnation, node->incarnation) != 0) {
        retry_claim(claim);
        return;
    }
    claim->generation--;
    set_owned(claim, claim->found_index, claim->sent_at);
}

static void
on_claim_read(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    const NodeContext *node = claim->member->node;
    if (claim->state != CLAIM_WRITING) {
        return;
    }
    if (reply->status == AQ_STORE_OK && reply->count == 1 &&
        g_strstr_len(reply->items[0].value, (gssize)reply->items[0].size,
                     node->incarnation) != NULL) {
        claim->found_index = reply->items[0].index;
        node->store->ops->get(node->store, key_of(KEY_TERM, claim->pool),
                              on_claimed_term_read, claim);
        return;
    }
    retry_claim(claim);
}

static void
on_claimed(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    NodeContext *node = claim->member->node;
    if (claim->state != CLAIM_WRITING) {
        return;
    }
    if (reply->status == AQ_STORE_OK) {
        set_owned(claim, reply->index, claim->sent_at);
    }
    else if (reply->status == AQ_STORE_UNKNOWN ||
             reply->status == AQ_STORE_CONFLICT) {
        /* The claim may have taken effect: without a clear reply the store may
         * have carried it out, and after a conflict an earlier claim without a
         * reply may be what conflicts.  Read the owner key to find out. */
        node->store->ops->get(node->store, key_of(KEY_OWNER, claim->pool),
                              on_claim_read, claim);
    }
    else {
        retry_claim(claim);
    }
}

static void
read_term(PoolClaim *claim, const AqStoreReply *reply)
{
    char text[200];
    long long generation = 0;
    int released = 0;
    int settled = 0;
    claim->term_index = 0;
    claim->generation = 0;
    claim->was_released = true;
    claim->was_settled = true;
    claim->term_node[0] = '\0';
    claim->term_incarnation[0] = '\0';
    if (reply->status != AQ_STORE_OK || reply->count != 1) {
        return;
    }
    const AqStoreItem *item = &reply->items[0];
    key_text(item, text, sizeof(text));
    claim->term_index = item->index;
    /* Earlier versions write no fifth field. */
    if (sscanf(text, "%lld %63s %39s %d %d", &generation, claim->term_node,
               claim->term_incarnation, &released, &settled) >= 4) {
        claim->generation = generation;
        claim->was_released = released != 0;
        claim->was_settled = settled != 0;
    }
    else {
        AqLog_Event(AQ_LOG_WARNING, "term_unreadable", "pool=%s index=%llu",
                    claim->pool, (unsigned long long)item->index);
        claim->was_released = false;
        claim->was_settled = false;
    }
}

static size_t
format_term(char *out, size_t size, const PoolClaim *claim, bool is_released,
            bool is_settled)
{
    const NodeContext *node = claim->member->node;
    return (size_t)snprintf(
        out, size, "%lld %s %s %d %d", (long long)claim->generation + 1,
        node->settings->node_id, node->incarnation, is_released, is_settled);
}

static void
on_term_read(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    Member *member = claim->member;
    NodeContext *node = member->node;
    char owner[120];
    char term[200];
    if (claim->state != CLAIM_READING) {
        return;
    }
    bool is_read =
        reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT;
    if (!is_read || !is_vacant(claim) || member->lease == 0 ||
        node->is_stopping) {
        retry_claim(claim);
        return;
    }
    read_term(claim, reply);
    if (!claim->is_configured && claim->was_released) {
        claim->has_had_owner = false;
        claim->state = CLAIM_NONE;
        return;
    }
    claim->previous_owner_may_be_active =
        !claim->was_settled ||
        (!claim->was_released &&
         !is_replaced(member, claim->term_node, claim->term_incarnation));
    snprintf(owner, sizeof(owner), "%s %s", node->settings->node_id,
             node->incarnation);
    size_t term_size = format_term(term, sizeof(term), claim, false,
                                   !claim->previous_owner_may_be_active);
    AqStoreExpect expects[] = {
        {key_of(KEY_OWNER, claim->pool), claim->owner_index},
        {key_of(KEY_TERM, claim->pool), claim->term_index},
    };
    AqStorePut puts[] = {
        {key_of(KEY_OWNER, claim->pool), owner, strlen(owner), member->lease},
        {key_of(KEY_TERM, claim->pool), term, term_size, 0},
    };
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 2, .puts = puts, .put_count = 2};
    claim->state = CLAIM_WRITING;
    claim->lease = member->lease;
    claim->sent_at = AqLoop_Now(node->loop);
    claim->seen_index = 0;
    claim->was_removed = false;
    node->store->ops->commit(node->store, &commit, on_claimed, claim);
}

/* Returns by how many ms longer this node waits before it claims a pool
 * because another member has a greater CPU share.  A pool's owner sends 1000
 * orders a second at the peak of a burst, so nodes with greater shares claim
 * first. */
static AqTime
low_cpu_wait(const Member *member)
{
    GHashTableIter iter;
    gpointer value;
    int64_t own = member_own_cpu_millis(member);
    int64_t max_cpu_millis = own;
    g_hash_table_iter_init(&iter, member->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        int64_t cpu_millis = ((const MemberEntry *)value)->cpu_millis;
        max_cpu_millis =
            cpu_millis > max_cpu_millis ? cpu_millis : max_cpu_millis;
    }
    return max_cpu_millis > 0 ? CLAIM_LOW_CPU_WAIT_MS *
                                    (max_cpu_millis - own) / max_cpu_millis
                              : 0;
}

/* Returns the loop time from which this node may claim a pool without an
 * owner. */
static AqTime
claim_due(const PoolClaim *claim)
{
    const Member *member = claim->member;
    const char *id = member->node->settings->node_id;
    uint64_t weight =
        AqHash_Rendezvous(AqHash_String(claim->pool), AqHash_String(id));
    AqTime wait =
        (AqTime)(weight % CLAIM_SPREAD_MS) +
        (AqTime)CLAIM_WAIT_PER_POOL_MS * (AqTime)count_owned(member) +
        low_cpu_wait(member);
    AqTime joined = member->joined_at + CLAIM_START_WAIT_MS;
    AqTime since = claim->vacant_since > joined ? claim->vacant_since : joined;
    return since + wait;
}

static bool
may_claim(const PoolClaim *claim)
{
    return claim->is_configured || claim->has_had_owner;
}

static void
on_settled(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    const NodeContext *node = claim->member->node;
    bool is_due = AqLoop_Now(node->loop) - claim->owned_at >= MEMBER_LEASE_MS;
    if (claim->state != CLAIM_OWNED || claim->is_settled || !is_due) {
        /* Also the reply to a write of an ownership that has ended. */
        return;
    }
    claim->is_settled = reply->status == AQ_STORE_OK;
    if (!claim->is_settled && reply->status != AQ_STORE_CONFLICT) {
        AqTimer_Start(node->loop, &claim->timer,
                      AqLoop_Now(node->loop) + SETTLE_RETRY_MS);
    }
}

/* Notes in the term record that owners before this node can no longer be
 * active, so that the next owner has to wait for this node alone. */
static void
settle_term(PoolClaim *claim)
{
    NodeContext *node = claim->member->node;
    char term[200];
    size_t size = format_term(term, sizeof(term), claim, false, true);
    AqStoreExpect expect = {key_of(KEY_OWNER, claim->pool), claim->fence};
    AqStorePut put = {key_of(KEY_TERM, claim->pool), term, size, 0};
    AqStoreCommit commit = {
        .expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};
    node->store->ops->commit(node->store, &commit, on_settled, claim);
}

static void
on_claim_due(void *context)
{
    PoolClaim *claim = context;
    Member *member = claim->member;
    NodeContext *node = member->node;
    if (claim->state == CLAIM_OWNED && !claim->is_settled) {
        settle_term(claim);
        return;
    }
    if (claim->state != CLAIM_WAITING) {
        return;
    }
    if (!is_vacant(claim) || !may_claim(claim) || node->is_stopping ||
        member->lease == 0 || member->joined_at == AQ_TIME_NEVER) {
        claim->state = CLAIM_NONE;
        return;
    }
    AqTime due = claim_due(claim);
    if (due > AqLoop_Now(node->loop)) {
        /* The wait before this claim has become longer since the timer was
         * started, for instance because this node gained another pool. */
        AqTimer_Start(node->loop, &claim->timer, due);
        return;
    }
    claim->state = CLAIM_READING;
    node->store->ops->get(node->store, key_of(KEY_TERM, claim->pool),
                          on_term_read, claim);
}

/* Starts this node's claim of the pool if the pool has no owner and is
 * configured or may have unfinished jobs. */
static void
claim_if_vacant(PoolClaim *claim)
{
    Member *member = claim->member;
    if (claim->state != CLAIM_NONE || !may_claim(claim) ||
        member->joined_at == AQ_TIME_NEVER || member->node->is_stopping ||
        !prefix_view_is_listed(member->nodes) || !is_vacant(claim)) {
        return;
    }
    claim->state = CLAIM_WAITING;
    claim->vacant_since = AqLoop_Now(member->node->loop);
    AqTimer_Start(member->node->loop, &claim->timer, claim_due(claim));
}

static PoolClaim *
find_or_add_claim(Member *member, const char *pool)
{
    PoolClaim *claim = g_hash_table_lookup(member->claims, pool);
    if (claim == NULL) {
        claim = calloc(1, sizeof(*claim));
        claim->member = member;
        g_strlcpy(claim->pool, pool, sizeof(claim->pool));
        AqTimer_Init(&claim->timer, on_claim_due, claim);
        g_hash_table_insert(member->claims, claim->pool, claim);
    }
    return claim;
}

void
member_lose_all_pools(Member *member, const char *reason)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PoolClaim *claim = value;
        if (claim->state == CLAIM_OWNED) {
            claim->state = CLAIM_NONE;
            member->ops.lost(member->context, claim->pool, reason);
        }
    }
}

void
member_claim_all_vacant(Member *member)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        claim_if_vacant(value);
    }
}

void
member_on_owner_put(void *context, const AqStoreItem *item)
{
    Member *member = context;
    PoolClaim *claim =
        find_or_add_claim(member, item->key + strlen(KEYS_OWNERS));
    char text[120];
    key_text(item, text, sizeof(text));
    if (claim->state == CLAIM_WRITING && item->index > claim->seen_index) {
        claim->seen_index = item->index;
    }
    if (claim->state == CLAIM_OWNED) {
        if (item->index > claim->fence) {
            member_superseded(member, claim->pool, "other_owner_seen");
        }
        else {
            return;
        }
    }
    claim->owner_index = item->index;
    claim->has_had_owner = true;
    if (sscanf(text, "%63s %39s", claim->owner_node,
               claim->owner_incarnation) != 2) {
        /* The key keeps its pool from being claimed, but names no node. */
        claim->owner_node[0] = '\0';
        claim->owner_incarnation[0] = '\0';
        AqLog_Event(AQ_LOG_WARNING, "owner_unreadable", "pool=%s index=%llu",
                    claim->pool, (unsigned long long)item->index);
    }
    claim_if_vacant(claim);
}

void
member_on_owner_removed(void *context, const char *key)
{
    Member *member = context;
    PoolClaim *claim = find_or_add_claim(member, key + strlen(KEYS_OWNERS));
    claim->owner_index = 0;
    claim->was_removed = claim->was_removed || claim->state == CLAIM_WRITING;
    if (claim->state == CLAIM_OWNED) {
        member_superseded(member, claim->pool, "owner_key_removed");
    }
    claim_if_vacant(claim);
}

void
member_site_changed(Member *member)
{
    const AqSiteConfig *site = &member->node->site;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((PoolClaim *)value)->is_configured = false;
    }
    find_or_add_claim(member, MEMBER_MACHINE_COORDINATOR)->is_configured =
        member->node->machines != NULL;
    for (size_t i = 0; i < site->pool_count; i++) {
        find_or_add_claim(member, site->pools[i].name)->is_configured = true;
    }
    member_claim_all_vacant(member);
}

void
member_add_roles(const Member *member, MemberView *view)
{
    GHashTableIter iter;
    gpointer value;
    const char *spare = AqSiteConfig_SparePool(&member->node->site);
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const PoolClaim *claim = value;
        if (spare != NULL && strcmp(claim->pool, spare) == 0) {
            continue; /* its VMs are powered off */
        }
        bool is_own = claim->owner_index != 0 &&
                      strcmp(claim->owner_node, view->node) == 0;
        bool is_machines =
            strcmp(claim->pool, MEMBER_MACHINE_COORDINATOR) == 0;
        view->owns_pool |= is_own && !is_machines;
        view->is_coordinator |= is_own && is_machines;
    }
}

void
member_superseded(Member *member, const char *pool, const char *reason)
{
    PoolClaim *claim = find_or_add_claim(member, pool);
    if (claim->state != CLAIM_OWNED) {
        return;
    }
    claim->state = CLAIM_NONE;
    AqLog_Event(AQ_LOG_WARNING, "pool_lost", "pool=%s fence=%llu reason=%s",
                pool, (unsigned long long)claim->fence, reason);
    member->ops.lost(member->context, pool, reason);
    claim_if_vacant(claim);
}

static void
on_released(void *context, const AqStoreReply *reply)
{
    PoolClaim *claim = context;
    AqLog_Event(AQ_LOG_INFO, "pool_released", "pool=%s status=%d", claim->pool,
                (int)reply->status);
}

void
member_release(Member *member, const char *pool)
{
    PoolClaim *claim = find_or_add_claim(member, pool);
    NodeContext *node = member->node;
    char term[200];
    if (claim->state != CLAIM_OWNED) {
        return;
    }
    claim->state = CLAIM_NONE;
    bool is_settled =
        claim->is_settled ||
        AqLoop_Now(node->loop) - claim->owned_at >= MEMBER_LEASE_MS;
    size_t size = format_term(term, sizeof(term), claim, true, is_settled);
    const char *deletes[] = {key_of(KEY_OWNER, pool),
                             key_of(KEY_REPORT, pool)};
    AqStoreExpect expect = {deletes[0], claim->fence};
    AqStorePut put = {key_of(KEY_TERM, pool), term, size, 0};
    AqStoreCommit commit = {.expects = &expect,
                            .expect_count = 1,
                            .puts = &put,
                            .put_count = 1,
                            .deletes = deletes,
                            .delete_count = 2};
    node->store->ops->commit(node->store, &commit, on_released, claim);
}

void
member_restart_claim_waits(Member *member)
{
    GHashTableIter iter;
    gpointer value;
    if (member->joined_at == AQ_TIME_NEVER) {
        /* on_claim_due gives each claim up until this node joins again. */
        return;
    }
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PoolClaim *claim = value;
        if (claim->state == CLAIM_WAITING) {
            AqTimer_Start(member->node->loop, &claim->timer, claim_due(claim));
        }
    }
}
