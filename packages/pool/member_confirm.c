#include <string.h>

#include "member_private.h"
#include "store_keys.h"

/* Confirmation that this node still owns its pools: reads of the owner keys.
 * A lease that holds does not show that, since a key may be removed, or
 * written by another node, before the lease ends. */

enum {
    /* Shortest time between two reads of the owner keys. */
    CONFIRM_INTERVAL_MS = 100
};

static const AqStoreItem *
find_owner(const AqStoreReply *reply, const char *pool)
{
    for (size_t i = 0; i < reply->count; i++) {
        if (strcmp(reply->items[i].key + strlen(KEYS_OWNERS), pool) == 0) {
            return &reply->items[i];
        }
    }
    return NULL;
}

/* Applies a read of the owner keys to a pool that this node has owned since
 * before the read was sent. */
static void
apply_owner(PoolClaim *claim, const AqStoreReply *reply, AqTime sent_at)
{
    const AqStoreItem *item = find_owner(reply, claim->pool);
    if (item != NULL && item->index == claim->fence) {
        claim->confirmed_at = sent_at;
        claim->confirmed_index = reply->index;
    }
    else if (item != NULL && item->index > claim->fence) {
        member_superseded(claim->member, claim->pool, "other_owner_read");
    }
    else if (item == NULL && reply->is_complete) {
        /* The view may have missed the removal. */
        claim->owner_index = 0;
        member_superseded(claim->member, claim->pool, "owner_key_absent");
    }
}

static void
on_owners_read(void *context, const AqStoreReply *reply)
{
    Member *member = context;
    AqTime sent_at = member->confirmation_sent_at;
    GList *claims = g_hash_table_get_values(member->claims);
    member->is_confirming = false;
    for (GList *at = claims; at != NULL && reply->status == AQ_STORE_OK;
         at = at->next) {
        PoolClaim *claim = at->data;
        if (claim->state == CLAIM_OWNED && claim->owned_at <= sent_at) {
            apply_owner(claim, reply, sent_at);
        }
    }
    g_list_free(claims);
}

static bool
owns_pool(const Member *member)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, member->claims);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const PoolClaim *)value)->state == CLAIM_OWNED) {
            return true;
        }
    }
    return false;
}

void
member_confirm_pools(Member *member)
{
    AqStore *store = member->node->store;
    AqTime now = AqLoop_Now(member->node->loop);
    if (member->is_confirming || !owns_pool(member) ||
        now < member->confirmation_sent_at + CONFIRM_INTERVAL_MS) {
        return;
    }
    member->is_confirming = true;
    member->confirmation_sent_at = now;
    store->ops->list_after(store, KEYS_OWNERS, "", false, on_owners_read,
                           member);
}

AqTime
member_confirmed_at(const Member *member, const char *pool)
{
    const PoolClaim *claim = g_hash_table_lookup(member->claims, pool);
    return claim != NULL && claim->state == CLAIM_OWNED ? claim->confirmed_at
                                                        : AQ_TIME_NEVER;
}

uint64_t
member_confirmed_index(const Member *member, const char *pool)
{
    const PoolClaim *claim = g_hash_table_lookup(member->claims, pool);
    return claim != NULL ? claim->confirmed_index : 0;
}
