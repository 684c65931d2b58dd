#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "aq_log.h"
#include "store_keys.h"
#include "prefix_view.h"

enum {
    KEEP_MS = 450,
    KEEP_RETRY_MS = 150,
    ORDER_MS = 300, /* for an order to leave and be carried out */
    /* The clock of the store may run a little faster than ours. */
    LEASE_MARGIN_MS = 200,
    CONNECTED_MS = 1500, /* a node that has not heard from the store for so
                          * long takes no requests */
    /* Waits before a claim: for the members to be seen after a start, for
     * each pool owned already, and for the spread of the rest. */
    START_WAIT_MS = 300,
    OWNED_WAIT_MS = 120,
    SPREAD_WAIT_MS = 100,
    /* Of a node without any power while a strong one is there: longer than
     * the strong one waits with all pools of a site. */
    WEAK_WAIT_MS = 2000,
    CLAIM_RETRY_MS = 100
};

typedef enum {
    CLAIM_NONE,
    CLAIM_OWNED,
    CLAIM_WAITING,
    CLAIM_READING, /* the term is read */
    CLAIM_WRITING
} ClaimState;

typedef struct {
    Member *member;
    char pool[64];
    bool is_wanted; /* in the configuration */
    ClaimState state;
    AqTimer timer;
    AqTime vacant_since;
    /* The owner's key as last seen; index 0: there is none. */
    uint64_t owner_index;
    char owner_node[64];
    char owner_incarnation[40];
    /* The term as last read. */
    uint64_t term_index;
    int64_t generation;
    bool was_released;
    char term_node[64];
    char term_incarnation[40];
    uint64_t fence; /* while owned */
    bool previous_owner_may_be_active;
} Shard;

/* What a member says of itself. */
typedef struct {
    char incarnation[40];
    char address[32]; /* "IP:port" for callers */
    int power;        /* thousandths of a core */
} Peer;

struct Member {
    NodeContext *node;
    MemberOps ops;
    void *context;
    PrefixView *nodes;
    GHashTable *peers; /* node -> Peer, of all members */
    guint next_peer;
    GHashTable *shards; /* pool -> Shard */
    AqTimer keep_timer;
    uint64_t lease;
    AqTime keep_sent_at;
    AqTime certain_until;
    AqTime last_reply_at;
    AqTime joined_at; /* AQ_TIME_NEVER: not yet */
    bool is_leaving;
};

static void consider(Shard *shard);

/* ---- Lease -------------------------------------------------------------- */

static void
lose_all(Member *member, const char *reason)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Shard *shard = value;
        if (shard->state == CLAIM_OWNED) {
            shard->state = CLAIM_NONE;
            member->ops.lost(member->context, shard->pool, reason);
        }
    }
}

static void
note_reply(Member *member, AqTime sent_at)
{
    AqTime certain = sent_at + MEMBER_LEASE_MS - LEASE_MARGIN_MS;
    member->last_reply_at = AqLoop_Now(member->node->loop);
    if (certain > member->certain_until) {
        member->certain_until = certain;
    }
}

static void
schedule_keep(Member *member, AqTime wait)
{
    AqTimer_Start(member->node->loop, &member->keep_timer,
                  AqLoop_Now(member->node->loop) + wait);
}

static void
consider_all(Member *member)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        consider(value);
    }
}

static void
on_registered(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status);
    if (reply->status != AQ_STORE_OK) {
        member->lease = 0;
        schedule_keep(member, KEEP_RETRY_MS);
        return;
    }
    AqLog_Event(AQ_LOG_INFO, "member_joined", "lease=%llu incarnation=%s",
                (unsigned long long)member->lease, member->node->incarnation);
    member->joined_at = AqLoop_Now(member->node->loop);
    note_reply(member, member->keep_sent_at);
    schedule_keep(member, KEEP_MS);
    consider_all(member);
}

/* Thousandths of a core that this node has. */
static int64_t
own_power(const Member *member)
{
    double share = strtod(member->node->settings->node_cpu_share, NULL);
    return (int64_t)(share * 1000);
}

static void
on_granted(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    NodeContext *node = member->node;
    store_health_note(&node->store_health, reply->status);
    if (reply->status != AQ_STORE_OK || reply->lease == 0) {
        schedule_keep(member, KEEP_RETRY_MS);
        return;
    }
    member->lease = reply->lease;
    char value[100];
    snprintf(value, sizeof(value), "%s %s %lld", node->incarnation,
             node->settings->callers_listen, (long long)own_power(member));
    AqStorePut put = {
        .key = key_of(KEY_MEMBER, node->settings->node_id),
        .value = value,
        .size = strlen(value),
        .lease = member->lease,
    };
    AqStoreCommit commit = {.puts = &put, .put_count = 1};
    node->store->ops->commit(node->store, &commit, on_registered, member);
}

static void
on_kept(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status);
    if (reply->status == AQ_STORE_OK) {
        note_reply(member, member->keep_sent_at);
        schedule_keep(member, KEEP_MS);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        AqLog_Event(AQ_LOG_WARNING, "lease_ended", "lease=%llu",
                    (unsigned long long)member->lease);
        member->lease = 0;
        member->certain_until = 0;
        member->joined_at = AQ_TIME_NEVER;
        lose_all(member, "lease_ended");
        schedule_keep(member, 0);
    }
    else {
        schedule_keep(member, KEEP_RETRY_MS);
    }
}

static void
on_keep_due(void *context)
{
    Member *member = context;
    NodeContext *node = member->node;
    if (member->is_leaving) {
        return;
    }
    member->keep_sent_at = AqLoop_Now(node->loop);
    if (member->lease == 0) {
        node->store->ops->lease_grant(node->store, MEMBER_LEASE_MS, on_granted,
                                      member);
    }
    else {
        node->store->ops->lease_keep(node->store, member->lease, on_kept,
                                     member);
    }
}

bool
member_may_order(const Member *member)
{
    /* The loop's time is too old on a machine that is short of processor. */
    return AqClock_ReadMonotonic() + ORDER_MS < member->certain_until;
}

uint64_t
member_lease(const Member *member)
{
    return member->lease;
}

bool
member_is_connected(const Member *member)
{
    return AqLoop_Now(member->node->loop) - member->last_reply_at <
           CONNECTED_MS;
}

/* ---- Claims ------------------------------------------------------------- */

static size_t
count_owned(const Member *member)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, member->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Shard *shard = value;
        count += shard->state == CLAIM_OWNED ||
                 shard->state == CLAIM_READING ||
                 shard->state == CLAIM_WRITING;
    }
    return count;
}

/* Whether the process that owns the pool has been replaced by a later one of
 * the same node. */
static bool
is_replaced(const Member *member, const char *node, const char *incarnation)
{
    const Peer *present = g_hash_table_lookup(member->peers, node);
    return present != NULL && strcmp(present->incarnation, incarnation) != 0;
}

static bool
is_vacant(const Shard *shard)
{
    /* A claim of ours that was carried out late leaves a key of ours. */
    bool is_ours = shard->state != CLAIM_OWNED &&
                   strcmp(shard->owner_incarnation,
                          shard->member->node->incarnation) == 0;
    return shard->owner_index == 0 || is_ours ||
           is_replaced(shard->member, shard->owner_node,
                       shard->owner_incarnation);
}

static void
retry_claim(Shard *shard)
{
    shard->state = CLAIM_WAITING;
    AqTimer_Start(shard->member->node->loop, &shard->timer,
                  AqLoop_Now(shard->member->node->loop) + CLAIM_RETRY_MS);
}

static void
owned(Shard *shard, uint64_t fence)
{
    Member *member = shard->member;
    Ownership ownership = {
        .fence = fence,
        .generation = shard->generation,
        .previous_owner_may_be_active = shard->previous_owner_may_be_active,
    };
    shard->state = CLAIM_OWNED;
    shard->fence = fence;
    shard->owner_index = fence;
    g_strlcpy(shard->owner_node, member->node->settings->node_id,
              sizeof(shard->owner_node));
    g_strlcpy(shard->owner_incarnation, member->node->incarnation,
              sizeof(shard->owner_incarnation));
    g_strlcpy(ownership.pool, shard->pool, sizeof(ownership.pool));
    AqLog_Event(AQ_LOG_INFO, "pool_gained",
                "pool=%s fence=%llu generation=%lld rival=%d", shard->pool,
                (unsigned long long)fence, (long long)shard->generation,
                shard->previous_owner_may_be_active);
    member->ops.gained(member->context, &ownership);
}

static void
on_claim_read(void *context, const AqStoreReply *reply)
{
    Shard *shard = context;
    const NodeContext *node = shard->member->node;
    if (shard->state != CLAIM_WRITING) {
        return;
    }
    if (reply->status == AQ_STORE_OK && reply->count == 1 &&
        g_strstr_len(reply->items[0].value, (gssize)reply->items[0].size,
                     node->incarnation) != NULL) {
        owned(shard, reply->items[0].index);
        return;
    }
    retry_claim(shard);
}

static void
on_claimed(void *context, const AqStoreReply *reply)
{
    Shard *shard = context;
    NodeContext *node = shard->member->node;
    if (shard->state != CLAIM_WRITING) {
        return;
    }
    if (reply->status == AQ_STORE_OK) {
        owned(shard, reply->index);
    }
    else if (reply->status == AQ_STORE_UNKNOWN ||
             reply->status == AQ_STORE_CONFLICT) {
        /* The write may have had its effect, also when a second sending of
         * the same call conflicts with the first. */
        node->store->ops->get(node->store, key_of(KEY_OWNER, shard->pool),
                              on_claim_read, shard);
    }
    else {
        retry_claim(shard);
    }
}

static void
read_term(Shard *shard, const AqStoreReply *reply)
{
    char text[200];
    long long generation = 0;
    int released = 0;
    shard->term_index = 0;
    shard->generation = 0;
    shard->was_released = true;
    shard->term_node[0] = '\0';
    shard->term_incarnation[0] = '\0';
    if (reply->status != AQ_STORE_OK || reply->count != 1) {
        return;
    }
    const AqStoreItem *item = &reply->items[0];
    key_text(item, text, sizeof(text));
    shard->term_index = item->index;
    if (sscanf(text, "%lld %63s %39s %d", &generation, shard->term_node,
               shard->term_incarnation, &released) == 4) {
        shard->generation = generation;
        shard->was_released = released != 0;
    }
}

static size_t
format_term(char *out, size_t size, const Shard *shard, int64_t generation,
            bool is_released)
{
    const NodeContext *node = shard->member->node;
    return (size_t)snprintf(out, size, "%lld %s %s %d", (long long)generation,
                            node->settings->node_id, node->incarnation,
                            is_released);
}

static void
on_term(void *context, const AqStoreReply *reply)
{
    Shard *shard = context;
    Member *member = shard->member;
    NodeContext *node = member->node;
    char owner[120];
    char term[200];
    if (shard->state != CLAIM_READING) {
        return;
    }
    bool is_read =
        reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT;
    if (!is_read || !is_vacant(shard) || member->lease == 0 ||
        node->is_stopping) {
        retry_claim(shard);
        return;
    }
    read_term(shard, reply);
    shard->previous_owner_may_be_active =
        !shard->was_released &&
        !is_replaced(member, shard->term_node, shard->term_incarnation);
    snprintf(owner, sizeof(owner), "%s %s", node->settings->node_id,
             node->incarnation);
    size_t term_size =
        format_term(term, sizeof(term), shard, shard->generation + 1, false);
    AqStoreExpect expects[] = {
        {key_of(KEY_OWNER, shard->pool), shard->owner_index},
        {key_of(KEY_TERM, shard->pool), shard->term_index},
    };
    AqStorePut puts[] = {
        {key_of(KEY_OWNER, shard->pool), owner, strlen(owner), member->lease},
        {key_of(KEY_TERM, shard->pool), term, term_size, 0},
    };
    AqStoreCommit commit = {
        .expects = expects, .expect_count = 2, .puts = puts, .put_count = 2};
    shard->state = CLAIM_WRITING;
    node->store->ops->commit(node->store, &commit, on_claimed, shard);
}

/* Extra wait of a node that is weaker than the strongest member: a pool at the
 * height of its turn needs a thousand orders a second. */
static AqTime
weakness_wait(const Member *member)
{
    GHashTableIter iter;
    gpointer value;
    int64_t own = own_power(member);
    int64_t most = own;
    g_hash_table_iter_init(&iter, member->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        int64_t power = ((const Peer *)value)->power;
        most = power > most ? power : most;
    }
    return most > 0 ? WEAK_WAIT_MS * (most - own) / most : 0;
}

/* When this node may claim a pool without an owner. */
static AqTime
claim_due(const Shard *shard)
{
    const Member *member = shard->member;
    const char *id = member->node->settings->node_id;
    uint64_t weight =
        AqHash_Rendezvous(AqHash_String(shard->pool), AqHash_String(id));
    AqTime wait = (AqTime)(weight % SPREAD_WAIT_MS) +
                  (AqTime)OWNED_WAIT_MS * (AqTime)count_owned(member) +
                  weakness_wait(member);
    AqTime joined = member->joined_at + START_WAIT_MS;
    AqTime since = shard->vacant_since > joined ? shard->vacant_since : joined;
    return since + wait;
}

static void
on_claim_due(void *context)
{
    Shard *shard = context;
    Member *member = shard->member;
    NodeContext *node = member->node;
    if (shard->state != CLAIM_WAITING) {
        return;
    }
    if (!is_vacant(shard) || !shard->is_wanted || node->is_stopping ||
        member->lease == 0 || member->joined_at == AQ_TIME_NEVER) {
        shard->state = CLAIM_NONE;
        return;
    }
    AqTime due = claim_due(shard);
    if (due > AqLoop_Now(node->loop)) {
        /* Other pools were gained meanwhile. */
        AqTimer_Start(node->loop, &shard->timer, due);
        return;
    }
    shard->state = CLAIM_READING;
    node->store->ops->get(node->store, key_of(KEY_TERM, shard->pool), on_term,
                          shard);
}

/* Begins a claim when the pool has no owner. */
static void
consider(Shard *shard)
{
    Member *member = shard->member;
    if (shard->state != CLAIM_NONE || !shard->is_wanted ||
        member->joined_at == AQ_TIME_NEVER || member->node->is_stopping ||
        !prefix_view_is_listed(member->nodes) || !is_vacant(shard)) {
        return;
    }
    shard->state = CLAIM_WAITING;
    shard->vacant_since = AqLoop_Now(member->node->loop);
    AqTimer_Start(member->node->loop, &shard->timer, claim_due(shard));
}

/* ---- Views -------------------------------------------------------------- */

static Shard *
find_shard(Member *member, const char *pool)
{
    Shard *shard = g_hash_table_lookup(member->shards, pool);
    if (shard == NULL) {
        shard = calloc(1, sizeof(*shard));
        shard->member = member;
        g_strlcpy(shard->pool, pool, sizeof(shard->pool));
        AqTimer_Init(&shard->timer, on_claim_due, shard);
        g_hash_table_insert(member->shards, shard->pool, shard);
    }
    return shard;
}

static void
on_owner_put(void *context, const AqStoreItem *item)
{
    Member *member = context;
    Shard *shard = find_shard(member, item->key + strlen(KEYS_OWNERS));
    char text[120];
    key_text(item, text, sizeof(text));
    if (shard->state == CLAIM_OWNED) {
        if (item->index > shard->fence) {
            member_superseded(member, shard->pool, "other_owner_seen");
        }
        else {
            return;
        }
    }
    shard->owner_index = item->index;
    if (sscanf(text, "%63s %39s", shard->owner_node,
               shard->owner_incarnation) != 2) {
        AqLog_Event(AQ_LOG_WARNING, "owner_unreadable", "pool=%s index=%llu",
                    shard->pool, (unsigned long long)item->index);
    }
    consider(shard);
}

static void
on_owner_removed(void *context, const char *key)
{
    Member *member = context;
    Shard *shard = find_shard(member, key + strlen(KEYS_OWNERS));
    shard->owner_index = 0;
    if (shard->state == CLAIM_OWNED) {
        member_superseded(member, shard->pool, "owner_key_removed");
    }
    consider(shard);
}

static void
on_member_put(void *context, const AqStoreItem *item)
{
    Member *member = context;
    const char *node = item->key + strlen(KEYS_MEMBERS);
    char text[100];
    Peer peer;
    key_text(item, text, sizeof(text));
    if (sscanf(text, "%39s %31s %d", peer.incarnation, peer.address,
               &peer.power) != 3) {
        AqLog_Event(AQ_LOG_WARNING, "member_unreadable", "node=%s", node);
        return;
    }
    g_hash_table_replace(member->peers, g_strdup(node),
                         g_memdup2(&peer, sizeof(peer)));
    consider_all(member);
}

static void
on_member_removed(void *context, const char *key)
{
    Member *member = context;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove(member->peers, key + strlen(KEYS_MEMBERS));
    /* What was left to a stronger node may be this one's now. */
    g_hash_table_iter_init(&iter, member->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Shard *shard = value;
        if (shard->state == CLAIM_WAITING) {
            AqTimer_Start(member->node->loop, &shard->timer, claim_due(shard));
        }
    }
}

static bool
is_member_key(const char *key)
{
    return strncmp(key, KEYS_MEMBERS, strlen(KEYS_MEMBERS)) == 0;
}

static void
on_put(void *context, const AqStoreItem *item)
{
    if (is_member_key(item->key)) {
        on_member_put(context, item);
    }
    else {
        on_owner_put(context, item);
    }
}

static void
on_removed(void *context, const char *key)
{
    if (is_member_key(key)) {
        on_member_removed(context, key);
    }
    else {
        on_owner_removed(context, key);
    }
}

static void
on_listed(void *context)
{
    consider_all(context);
}

static const PrefixViewOps node_ops = {on_put, on_removed, on_listed, 0,
                                       false};

/* ---- Interface ---------------------------------------------------------- */

void
member_site_changed(Member *member)
{
    const AqSiteConfig *site = &member->node->site;
    find_shard(member, MEMBER_MACHINE_COORDINATOR)->is_wanted =
        member->node->machines != NULL;
    for (size_t i = 0; i < site->pool_count; i++) {
        find_shard(member, site->pools[i].name)->is_wanted = true;
    }
    consider_all(member);
}

const char *
member_peer(Member *member)
{
    const char *found = NULL;
    const char *own = member->node->settings->node_id;
    GList *nodes = g_hash_table_get_keys(member->peers);
    guint count = g_list_length(nodes);
    for (guint i = 0; i < count && found == NULL; i++) {
        const char *node =
            g_list_nth_data(nodes, (member->next_peer + i) % count);
        if (strcmp(node, own) != 0) {
            found = ((const Peer *)g_hash_table_lookup(member->peers, node))
                        ->address;
        }
    }
    member->next_peer++;
    g_list_free(nodes);
    return found;
}

void
member_superseded(Member *member, const char *pool, const char *reason)
{
    Shard *shard = find_shard(member, pool);
    if (shard->state != CLAIM_OWNED) {
        return;
    }
    shard->state = CLAIM_NONE;
    AqLog_Event(AQ_LOG_WARNING, "pool_lost", "pool=%s fence=%llu reason=%s",
                pool, (unsigned long long)shard->fence, reason);
    member->ops.lost(member->context, pool, reason);
    consider(shard);
}

static void
on_released(void *context, const AqStoreReply *reply)
{
    Shard *shard = context;
    AqLog_Event(AQ_LOG_INFO, "pool_released", "pool=%s status=%d", shard->pool,
                (int)reply->status);
}

void
member_release(Member *member, const char *pool)
{
    Shard *shard = find_shard(member, pool);
    NodeContext *node = member->node;
    char term[200];
    if (shard->state != CLAIM_OWNED) {
        return;
    }
    shard->state = CLAIM_NONE;
    size_t size =
        format_term(term, sizeof(term), shard, shard->generation + 1, true);
    const char *deletes[] = {key_of(KEY_OWNER, pool),
                             key_of(KEY_REPORT, pool)};
    AqStoreExpect expect = {deletes[0], shard->fence};
    AqStorePut put = {key_of(KEY_TERM, pool), term, size, 0};
    AqStoreCommit commit = {.expects = &expect,
                            .expect_count = 1,
                            .puts = &put,
                            .put_count = 1,
                            .deletes = deletes,
                            .delete_count = 2};
    node->store->ops->commit(node->store, &commit, on_released, shard);
}

static void
on_left(void *context, const AqStoreReply *reply)
{
    (void)context;
    AqLog_Event(AQ_LOG_INFO, "member_left", "status=%d", (int)reply->status);
}

void
member_leave(Member *member)
{
    NodeContext *node = member->node;
    if (member->lease != 0 && !member->is_leaving) {
        node->store->ops->lease_end(node->store, member->lease, on_left, NULL);
    }
    member->is_leaving = true;
    AqTimer_Stop(&member->keep_timer);
}

Member *
member_create(NodeContext *node, const MemberOps *ops, void *context)
{
    Member *member = calloc(1, sizeof(*member));
    member->node = node;
    member->ops = *ops;
    member->context = context;
    member->joined_at = AQ_TIME_NEVER;
    member->last_reply_at = -CONNECTED_MS;
    member->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    member->shards =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    AqTimer_Init(&member->keep_timer, on_keep_due, member);
    member->nodes = prefix_view_create(node->loop, node->store, KEYS_NODES,
                                       &node_ops, member);
    schedule_keep(member, 0);
    return member;
}

void
member_destroy(Member *member)
{
    GHashTableIter iter;
    gpointer value;
    if (member == NULL) {
        return;
    }
    AqTimer_Stop(&member->keep_timer);
    g_hash_table_iter_init(&iter, member->shards);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AqTimer_Stop(&((Shard *)value)->timer);
    }
    prefix_view_destroy(member->nodes);
    g_hash_table_destroy(member->peers);
    g_hash_table_destroy(member->shards);
    free(member);
}
