#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_carrier.h"
#include "aq_log.h"
#include "member_private.h"
#include "store_keys.h"

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
    MEMBER_VALUE_SIZE = 240 /* of a membership entry, with its NUL */
};

/* ---- Lease -------------------------------------------------------------- */

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

static void write_entry(Member *member);

static void
end_lease(Member *member)
{
    AqLog_Event(AQ_LOG_WARNING, "lease_ended", "lease=%llu",
                (unsigned long long)member->lease);
    member->lease = 0;
    member->lease_valid_until = 0;
    member->joined_at = AQ_TIME_NEVER;
    member_lose_all_pools(member, "lease_ended");
    schedule_renewal(member, 0);
}

static void
on_registered(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status,
                      AqLoop_Now(member->node->loop));
    if (reply->status == AQ_STORE_CONFLICT) {
        member->entry_index = reply->count > 0 ? reply->items[0].index : 0;
        write_entry(member);
        return;
    }
    if (reply->status == AQ_STORE_ABSENT) {
        end_lease(member);
        return;
    }
    if (reply->status != AQ_STORE_OK) {
        schedule_renewal(member, LEASE_RETRY_MS);
        return;
    }
    member->entry_index = reply->index;
    member->is_entry_due = false;
    if (member->joined_at == AQ_TIME_NEVER) {
        AqLog_Event(AQ_LOG_INFO, "member_joined", "lease=%llu incarnation=%s",
                    (unsigned long long)member->lease,
                    member->node->incarnation);
        member->joined_at = AqLoop_Now(member->node->loop);
    }
    record_lease_reply(member, member->renewal_sent_at);
    AqTime now = AqLoop_Now(member->node->loop);
    AqTime due = member->renewal_sent_at + RENEWAL_INTERVAL_MS;
    schedule_renewal(member, due > now ? due - now : 0);
    member_claim_all_vacant(member);
}

int64_t
member_own_cpu_millis(const Member *member)
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
    return AqCarrier_Capacity(member_own_cpu_millis(member),
                              own_link_mbps(member));
}

/* Writes this node's membership entry under its lease.  An earlier write
 * without a reply may be carried out later.  The condition keeps it from
 * replacing the entry, which would then end with the lease of that write. */
static void
write_entry(Member *member)
{
    NodeContext *node = member->node;
    char value[MEMBER_VALUE_SIZE];
    const AqSettings *settings = node->settings;
    bool is_carrier = settings->carriers_listen != NULL &&
                      settings->carriers_listen[0] != '\0';
    snprintf(value, sizeof(value), "%s %s %lld %s %s %lld", node->incarnation,
             settings->callers_listen,
             (long long)member_own_cpu_millis(member),
             is_carrier ? settings->carriers_listen : "-",
             settings->node_zone != NULL ? settings->node_zone : "-",
             (long long)own_link_mbps(member));
    AqStoreExpect expect = {key_of(KEY_MEMBER, node->settings->node_id),
                            member->entry_index};
    AqStorePut put = {
        .key = expect.key,
        .value = value,
        .size = strlen(value),
        .lease = member->lease,
    };
    AqStoreCommit commit = {
        .expects = &expect, .expect_count = 1, .puts = &put, .put_count = 1};
    node->store->ops->commit(node->store, &commit, on_registered, member);
}

static void
on_granted(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status,
                      AqLoop_Now(member->node->loop));
    if (reply->status != AQ_STORE_OK || reply->lease == 0) {
        schedule_renewal(member, LEASE_RETRY_MS);
        return;
    }
    member->lease = reply->lease;
    write_entry(member);
}

static void
on_renewed(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    store_health_note(&member->node->store_health, reply->status,
                      AqLoop_Now(member->node->loop));
    if (reply->status == AQ_STORE_OK) {
        record_lease_reply(member, member->renewal_sent_at);
        member_confirm_pools(member);
        if (member->is_entry_due) {
            write_entry(member);
        }
        else {
            schedule_renewal(member, RENEWAL_INTERVAL_MS);
        }
    }
    else if (reply->status == AQ_STORE_ABSENT) {
        end_lease(member);
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
    if (member->lease != 0 && member->joined_at == AQ_TIME_NEVER) {
        /* The lease's term still runs from the call that granted it. */
        write_entry(member);
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

bool
member_may_order_for(const Member *member, const char *pool)
{
    AqTime confirmed_at = member_confirmed_at(member, pool);
    return confirmed_at != AQ_TIME_NEVER && member_may_order(member) &&
           AqClock_ReadMonotonic() + ORDER_DELIVERY_MS <
               confirmed_at + MEMBER_LEASE_MS - LEASE_MARGIN_MS;
}

/* ---- Views -------------------------------------------------------------- */

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
    if (strcmp(node, member->node->settings->node_id) == 0) {
        member->entry_index = item->index;
    }
    if (fields < 3) {
        AqLog_Event(AQ_LOG_WARNING, "member_unreadable", "node=%s", node);
        return;
    }
    g_hash_table_replace(member->peers, g_strdup(node),
                         g_memdup2(&entry, sizeof(entry)));
    member_claim_all_vacant(member);
}

static void
on_member_removed(void *context, const char *key)
{
    Member *member = context;
    const char *node = key + strlen(KEYS_MEMBERS);
    g_hash_table_remove(member->peers, node);
    if (strcmp(node, member->node->settings->node_id) == 0 &&
        member->joined_at != AQ_TIME_NEVER && !member->is_leaving) {
        /* Peers neither forward requests to a node without an entry nor count
         * its pools as owned. */
        AqLog_Event(AQ_LOG_WARNING, "member_entry_removed", "lease=%llu",
                    (unsigned long long)member->lease);
        member->entry_index = 0;
        member->is_entry_due = true;
    }
    /* This node waits longer before it claims a pool while another member has
     * a greater CPU share.  The removed member may have had that share, so all
     * waits are computed again. */
    member_restart_claim_waits(member);
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
        member_on_owner_put(context, item);
    }
}

static void
on_removed(void *context, const char *key)
{
    if (is_member_key(key)) {
        on_member_removed(context, key);
    }
    else {
        member_on_owner_removed(context, key);
    }
}

static void
on_listed(void *context)
{
    member_claim_all_vacant(context);
}

static const PrefixViewOps node_ops = {on_put, on_removed, on_listed, 0,
                                       false};

/* ---- Interface ---------------------------------------------------------- */

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
        member_add_roles(member, &view);
        visit(context, &view);
    }
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
