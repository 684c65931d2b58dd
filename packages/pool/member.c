#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_carrier.h"
#include "aq_hash.h"
#include "aq_log.h"
#include "store_keys.h"
#include "prefix_view.h"

enum {
    /* Time between two renewals of this node's lease in the store. */
    RENEWAL_INTERVAL_MS = 450,
    LEASE_RETRY_MS = 150,
    /* Time allowed for an order to a VM to be sent and carried out. */
    ORDER_DELIVERY_MS = 300,
    /* Subtracted from the term of this node's lease, because the store's clock
     * may run slightly faster than the local one. */
    LEASE_MARGIN_MS = 200,
    /* Once the store's last reply to a call for this node's lease is this old,
     * this node reports not ready, so that callers send it no requests. */
    REPLY_MAX_AGE_MS = 1500,
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
    MEMBER_VALUE_SIZE = 240 /* of a membership entry, with its NUL */
};

typedef enum {
    CLAIM_NONE,
    CLAIM_OWNED,
    CLAIM_WAITING,
    /* The pool's term record, which names its last owner, is being read from
     * the store. */
    CLAIM_READING,
    CLAIM_WRITING
} ClaimState;

typedef struct {
    Member *member;
    char pool[64];
    /* The pool is listed in the site's configuration; for the role of the
     * machine coordinator: a machine service is configured. */
    bool is_configured;
    /* The pool has or had an owner since this process started.  A pool that
     * is no longer configured is claimed as long as its last owner has not
     * released it, since jobs that it accepted may be unfinished. */
    bool has_had_owner;
    ClaimState state;
    AqTimer timer;
    AqTime vacant_since;
    /* The pool's owner key as last seen: store revision (0: the key is
     * absent), id and incarnation of the owning node. */
    uint64_t owner_index;
    char owner_node[64];
    char owner_incarnation[40];
    /* The pool's term record as last read: store revision (0: there is no
     * record), number of ownerships so far, whether the last owner released
     * the pool, and that owner's node id and incarnation. */
    uint64_t term_index;
    int64_t generation;
    bool was_released;
    char term_node[64];
    char term_incarnation[40];
    /* Store revision of the owner key that this node wrote; valid in
     * CLAIM_OWNED. */
    uint64_t fence;
    /* The pool's previous owner may still send orders: it neither released the
     * pool nor was replaced by a new incarnation of its node. */
    bool previous_owner_may_be_active;
} PoolClaim;

/* A member's entry in the store. */
typedef struct {
    char incarnation[40];
    char address[32]; /* "IP:port" on which the member serves callers */
    /* CPU share allotted to the member, in thousandths of a core. */
    int cpu_millis;
    /* "IP:port" on which the member takes orders to pass on, and its zone; "":
     * none, as in the entries of versions without carriers. */
    char carrier_address[32];
    char zone[64];
    int link_mbps; /* 0: not known */
} MemberEntry;

struct Member {
    NodeContext *node;
    MemberOps ops;
    void *context;
    PrefixView *nodes;
    /* Node id -> MemberEntry, of all members including this node. */
    GHashTable *peers;
    guint next_peer;
    GHashTable *claims; /* pool name -> PoolClaim */
    AqTimer renewal_timer;
    uint64_t lease;
    AqTime renewal_sent_at;
    /* This node's lease is certain to hold until this time. */
    AqTime lease_valid_until;
    AqTime last_reply_at;
    /* When this node wrote its membership entry to the store; AQ_TIME_NEVER:
     * the node has no entry. */
    AqTime joined_at;
    bool is_leaving;
};

static void claim_if_vacant(PoolClaim *claim);

/* ---- Lease -------------------------------------------------------------- */

static void
lose_all_pools(Member *member, const char *reason)
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

static void
record_lease_reply(Member *member, AqTime sent_at)
{
    AqTime valid_until = sent_at + MEMBER_LEASE_MS - LEASE_MARGIN_MS;
    member->last_reply_at = AqLoop_Now(member->node->loop);
    if (valid_until > member->lease_valid_until) {
        member->lease_valid_until = valid_until;
    }
}

static void
schedule_renewal(Member *member, AqTime wait)
{
    AqTimer_Start(member->node->loop, &member->renewal_timer,
                  AqLoop_Now(member->node->loop) + wait);
}

static void
claim_all_vacant(Member *member)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        claim_if_vacant(value);
    }
}

static void
on_registered(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status,
                      AqLoop_Now(member->node->loop));
    if (reply->status != AQ_STORE_OK) {
        member->lease = 0;
        schedule_renewal(member, LEASE_RETRY_MS);
        return;
    }
    AqLog_Event(AQ_LOG_INFO, "member_joined", "lease=%llu incarnation=%s",
                (unsigned long long)member->lease, member->node->incarnation);
    member->joined_at = AqLoop_Now(member->node->loop);
    record_lease_reply(member, member->renewal_sent_at);
    schedule_renewal(member, RENEWAL_INTERVAL_MS);
    claim_all_vacant(member);
}

/* Returns the CPU share allotted to this node, in thousandths of a core. */
static int64_t
own_cpu_millis(const Member *member)
{
    double share = strtod(member->node->settings->node_cpu_share, NULL);
    return (int64_t)(share * 1000);
}

/* Returns the bandwidth of this node's link in Mbit/s; 0: not known. */
static int64_t
own_link_mbps(const Member *member)
{
    const char *text = member->node->settings->node_link_mbps;
    return text != NULL ? (int64_t)strtod(text, NULL) : 0;
}

size_t
member_own_capacity(const Member *member)
{
    return AqCarrier_Capacity(own_cpu_millis(member), own_link_mbps(member));
}

static void
on_granted(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    NodeContext *node = member->node;
    store_health_note(&node->store_health, reply->status,
                      AqLoop_Now(node->loop));
    if (reply->status != AQ_STORE_OK || reply->lease == 0) {
        schedule_renewal(member, LEASE_RETRY_MS);
        return;
    }
    member->lease = reply->lease;
    char value[MEMBER_VALUE_SIZE];
    const AqSettings *settings = node->settings;
    bool is_carrier = settings->carriers_listen != NULL &&
                      settings->carriers_listen[0] != '\0';
    snprintf(value, sizeof(value), "%s %s %lld %s %s %lld", node->incarnation,
             settings->callers_listen, (long long)own_cpu_millis(member),
             is_carrier ? settings->carriers_listen : "-",
             settings->node_zone != NULL ? settings->node_zone : "-",
             (long long)own_link_mbps(member));
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
on_renewed(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status,
                      AqLoop_Now(member->node->loop));
    if (reply->status == AQ_STORE_OK) {
        record_lease_reply(member, member->renewal_sent_at);
        schedule_renewal(member, RENEWAL_INTERVAL_MS);
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        AqLog_Event(AQ_LOG_WARNING, "lease_ended", "lease=%llu",
                    (unsigned long long)member->lease);
        member->lease = 0;
        member->lease_valid_until = 0;
        member->joined_at = AQ_TIME_NEVER;
        lose_all_pools(member, "lease_ended");
        schedule_renewal(member, 0);
    }
    else {
        schedule_renewal(member, LEASE_RETRY_MS);
    }
}

static void
on_renewal_due(void *context)
{
    Member *member = context;
    NodeContext *node = member->node;
    if (member->is_leaving) {
        return;
    }
    member->renewal_sent_at = AqLoop_Now(node->loop);
    if (member->lease == 0) {
        node->store->ops->lease_grant(node->store, MEMBER_LEASE_MS, on_granted,
                                      member);
    }
    else {
        node->store->ops->lease_keep(node->store, member->lease, on_renewed,
                                     member);
    }
}

bool
member_may_order(const Member *member)
{
    /* Read the clock, because the loop's time may be behind it on a machine
     * that is short of CPU. */
    return AqClock_ReadMonotonic() + ORDER_DELIVERY_MS <
           member->lease_valid_until;
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
           REPLY_MAX_AGE_MS;
}

/* ---- Claims ------------------------------------------------------------- */

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

static void
set_owned(PoolClaim *claim, uint64_t fence)
{
    Member *member = claim->member;
    Ownership ownership = {
        .fence = fence,
        .generation = claim->generation,
        .previous_owner_may_be_active = claim->previous_owner_may_be_active,
    };
    claim->state = CLAIM_OWNED;
    claim->has_had_owner = true;
    claim->fence = fence;
    claim->owner_index = fence;
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
        set_owned(claim, reply->items[0].index);
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
        set_owned(claim, reply->index);
    }
    else if (reply->status == AQ_STORE_UNKNOWN ||
             reply->status == AQ_STORE_CONFLICT) {
        /* The claim may have taken effect: without a reply the store may have
         * carried it out, and a copy of the call that the HTTP client resent
         * conflicts with the first one.  Read the owner key to find out. */
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
    claim->term_index = 0;
    claim->generation = 0;
    claim->was_released = true;
    claim->term_node[0] = '\0';
    claim->term_incarnation[0] = '\0';
    if (reply->status != AQ_STORE_OK || reply->count != 1) {
        return;
    }
    const AqStoreItem *item = &reply->items[0];
    key_text(item, text, sizeof(text));
    claim->term_index = item->index;
    if (sscanf(text, "%lld %63s %39s %d", &generation, claim->term_node,
               claim->term_incarnation, &released) == 4) {
        claim->generation = generation;
        claim->was_released = released != 0;
    }
}

static size_t
format_term(char *out, size_t size, const PoolClaim *claim, int64_t generation,
            bool is_released)
{
    const NodeContext *node = claim->member->node;
    return (size_t)snprintf(out, size, "%lld %s %s %d", (long long)generation,
                            node->settings->node_id, node->incarnation,
                            is_released);
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
        !claim->was_released &&
        !is_replaced(member, claim->term_node, claim->term_incarnation);
    snprintf(owner, sizeof(owner), "%s %s", node->settings->node_id,
             node->incarnation);
    size_t term_size =
        format_term(term, sizeof(term), claim, claim->generation + 1, false);
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
    int64_t own = own_cpu_millis(member);
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
on_claim_due(void *context)
{
    PoolClaim *claim = context;
    Member *member = claim->member;
    NodeContext *node = member->node;
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

/* ---- Views -------------------------------------------------------------- */

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

static void
on_owner_put(void *context, const AqStoreItem *item)
{
    Member *member = context;
    PoolClaim *claim =
        find_or_add_claim(member, item->key + strlen(KEYS_OWNERS));
    char text[120];
    key_text(item, text, sizeof(text));
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

static void
on_owner_removed(void *context, const char *key)
{
    Member *member = context;
    PoolClaim *claim = find_or_add_claim(member, key + strlen(KEYS_OWNERS));
    claim->owner_index = 0;
    if (claim->state == CLAIM_OWNED) {
        member_superseded(member, claim->pool, "owner_key_removed");
    }
    claim_if_vacant(claim);
}

static void
on_member_put(void *context, const AqStoreItem *item)
{
    Member *member = context;
    const char *node = item->key + strlen(KEYS_MEMBERS);
    char text[MEMBER_VALUE_SIZE];
    MemberEntry entry = {0};
    key_text(item, text, sizeof(text));
    int fields = sscanf(text, "%39s %31s %d %31s %63s %d", entry.incarnation,
                        entry.address, &entry.cpu_millis,
                        entry.carrier_address, entry.zone, &entry.link_mbps);
    if (fields < 5 || strcmp(entry.carrier_address, "-") == 0) {
        entry.carrier_address[0] = '\0';
    }
    if (fields < 3) {
        AqLog_Event(AQ_LOG_WARNING, "member_unreadable", "node=%s", node);
        return;
    }
    g_hash_table_replace(member->peers, g_strdup(node),
                         g_memdup2(&entry, sizeof(entry)));
    claim_all_vacant(member);
}

static void
on_member_removed(void *context, const char *key)
{
    Member *member = context;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_remove(member->peers, key + strlen(KEYS_MEMBERS));
    /* This node waits longer before it claims a pool while another member has
     * a greater CPU share.  The removed member may have had that share, so all
     * waits are computed again. */
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        PoolClaim *claim = value;
        if (claim->state == CLAIM_WAITING) {
            AqTimer_Start(member->node->loop, &claim->timer, claim_due(claim));
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
    claim_all_vacant(context);
}

static const PrefixViewOps node_ops = {on_put, on_removed, on_listed, 0,
                                       false};

/* ---- Interface ---------------------------------------------------------- */

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
    claim_all_vacant(member);
}

const char *
member_peer(Member *member,
            bool (*may_use)(const void *context, const char *address),
            const void *context)
{
    const char *found = NULL;
    const char *own = member->node->settings->node_id;
    GList *nodes = g_hash_table_get_keys(member->peers);
    guint count = g_list_length(nodes);
    for (guint i = 0; i < count && found == NULL; i++) {
        const char *node = g_list_nth_data(nodes, member->next_peer++ % count);
        const MemberEntry *entry = g_hash_table_lookup(member->peers, node);
        if (strcmp(node, own) != 0 && may_use(context, entry->address)) {
            found = entry->address;
        }
    }
    g_list_free(nodes);
    return found;
}

bool
member_is_registered(const Member *member, const char *node,
                     const char *incarnation)
{
    const MemberEntry *entry = g_hash_table_lookup(member->peers, node);
    return entry != NULL && strcmp(entry->incarnation, incarnation) == 0;
}

/* Sets which roles the node has. */
static void
add_roles(const Member *member, MemberView *view)
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
member_each(const Member *member,
            void (*visit)(void *context, const MemberView *view),
            void *context)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, member->peers);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const MemberEntry *entry = value;
        MemberView view = {.node = key,
                           .zone = entry->zone,
                           .carrier_address = entry->carrier_address,
                           .capacity = AqCarrier_Capacity(entry->cpu_millis,
                                                          entry->link_mbps)};
        add_roles(member, &view);
        visit(context, &view);
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
    size_t size =
        format_term(term, sizeof(term), claim, claim->generation + 1, true);
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

static void
on_lease_ended(void *context, const AqStoreReply *reply)
{
    (void)context;
    AqLog_Event(AQ_LOG_INFO, "member_left", "status=%d", (int)reply->status);
}

void
member_leave(Member *member)
{
    NodeContext *node = member->node;
    if (member->lease != 0 && !member->is_leaving) {
        node->store->ops->lease_end(node->store, member->lease, on_lease_ended,
                                    NULL);
    }
    member->is_leaving = true;
    AqTimer_Stop(&member->renewal_timer);
}

Member *
member_create(NodeContext *node, const MemberOps *ops, void *context)
{
    Member *member = calloc(1, sizeof(*member));
    member->node = node;
    member->ops = *ops;
    member->context = context;
    member->joined_at = AQ_TIME_NEVER;
    member->last_reply_at = -REPLY_MAX_AGE_MS;
    member->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    member->claims =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    AqTimer_Init(&member->renewal_timer, on_renewal_due, member);
    member->nodes = prefix_view_create(node->loop, node->store, KEYS_NODES,
                                       &node_ops, member);
    schedule_renewal(member, 0);
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
    AqTimer_Stop(&member->renewal_timer);
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        AqTimer_Stop(&((PoolClaim *)value)->timer);
    }
    prefix_view_destroy(member->nodes);
    g_hash_table_destroy(member->peers);
    g_hash_table_destroy(member->claims);
    free(member);
}
