#include "machine_desk.h"

#include <stdlib.h>
#include <string.h>

#include "aq_asks.h"
#include "aq_log.h"
#include "duty.h"
#include "keys.h"
#include "prefix_view.h"

enum {
    RETRY_MS = 250,
    MOST_AT_ONCE = 12 /* orders under way; the platform takes some 64 a
                       * second */
};

typedef enum {
    ASK_WAITING,
    ASK_ORDERED,
    ASK_ENDED
} AskState;

typedef struct {
    AqAsk ask;
    char pool[64];
    uint64_t fence; /* of the pool's owner */
    AskState state;
    bool is_wanted;
    AqTime retry_at;
} Entry;

struct MachineDesk {
    NodeContext *node;
    uint64_t fence;
    PrefixView *view;
    GPtrArray *entries; /* of Entry */
    int calls;
    bool is_dropped;
};

typedef struct {
    MachineDesk *desk;
    Entry *entry;
} DeskCall;

static void
free_desk(MachineDesk *desk)
{
    g_ptr_array_free(desk->entries, TRUE);
    free(desk);
}

/* ---- What is asked for --------------------------------------------------- */

static Entry *
find_entry(const MachineDesk *desk, const char *pool, uint64_t fence,
           int64_t number)
{
    for (guint i = 0; i < desk->entries->len; i++) {
        Entry *entry = g_ptr_array_index(desk->entries, i);
        if (entry->ask.number == number && entry->fence == fence &&
            strcmp(entry->pool, pool) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Whether another pool's owner asks for the same VM: the first one has it.
 * One that was given away is free for others once that is done. */
static bool
is_asked_elsewhere(const MachineDesk *desk, const Entry *entry)
{
    for (guint i = 0; i < desk->entries->len; i++) {
        const Entry *other = g_ptr_array_index(desk->entries, i);
        bool is_open = other->state != ASK_ENDED ||
                       strcmp(other->ask.to_pool, other->pool) == 0;
        if (other->is_wanted && is_open &&
            strcmp(other->pool, entry->pool) != 0 &&
            strcmp(other->ask.machine, entry->ask.machine) == 0) {
            return true;
        }
    }
    return false;
}

static void
forget_unwanted(MachineDesk *desk)
{
    for (guint i = desk->entries->len; i-- > 0;) {
        const Entry *entry = g_ptr_array_index(desk->entries, i);
        if (!entry->is_wanted && entry->state != ASK_ORDERED) {
            g_ptr_array_remove_index_fast(desk->entries, i);
        }
    }
}

static void
set_unwanted(MachineDesk *desk, const char *pool)
{
    for (guint i = 0; i < desk->entries->len; i++) {
        Entry *entry = g_ptr_array_index(desk->entries, i);
        if (strcmp(entry->pool, pool) == 0) {
            entry->is_wanted = false;
        }
    }
}

static void
on_put(void *context, const AqStoreItem *item)
{
    MachineDesk *desk = context;
    const char *pool = item->key + strlen(KEYS_ASKS);
    AqAskList list;
    if (!AqAskList_Decode(item->value, item->size, &list)) {
        AqLog_Event(AQ_LOG_ERROR, "asks_unreadable", "pool=%s index=%llu",
                    pool, (unsigned long long)item->index);
        return;
    }
    set_unwanted(desk, pool);
    for (size_t i = 0; i < list.count; i++) {
        Entry *entry =
            find_entry(desk, pool, list.fence, list.asks[i].number);
        if (entry == NULL) {
            entry = calloc(1, sizeof(*entry));
            entry->ask = list.asks[i];
            entry->fence = list.fence;
            g_strlcpy(entry->pool, pool, sizeof(entry->pool));
            if (is_asked_elsewhere(desk, entry)) {
                AqLog_Event(AQ_LOG_INFO, "ask_refused",
                            "machine=%s pool=%s reason=asked_by_other_pool",
                            entry->ask.machine, pool);
                entry->state = ASK_ENDED;
            }
            g_ptr_array_add(desk->entries, entry);
        }
        entry->is_wanted = true;
    }
    AqAskList_Clear(&list);
    forget_unwanted(desk);
}

static void
on_removed(void *context, const char *key)
{
    MachineDesk *desk = context;
    set_unwanted(desk, key + strlen(KEYS_ASKS));
    forget_unwanted(desk);
}

static void
on_listed(void *context)
{
    (void)context;
}

static const PrefixViewOps ask_ops = {on_put, on_removed, on_listed};

/* ---- Orders -------------------------------------------------------------- */

static void
on_done(void *context, DutyResult result)
{
    DeskCall *call = context;
    MachineDesk *desk = call->desk;
    Entry *entry = call->entry;
    free(call);
    desk->calls--;
    if (result == DUTY_DONE || result == DUTY_REFUSED) {
        entry->state = ASK_ENDED;
    }
    else {
        entry->state = ASK_WAITING;
        entry->retry_at = AqLoop_Now(desk->node->loop) + RETRY_MS;
    }
    if (desk->is_dropped && desk->calls == 0) {
        free_desk(desk);
    }
}

static void
give_order(MachineDesk *desk, Entry *entry)
{
    DutyOrder order = {
        .pool = entry->pool,
        .pool_fence = entry->fence,
        .duty_fence = desk->fence,
        .machine = entry->ask.machine,
        .to_pool = entry->ask.to_pool,
        .wave = entry->ask.wave,
    };
    DeskCall *call = calloc(1, sizeof(*call));
    call->desk = desk;
    call->entry = entry;
    entry->state = ASK_ORDERED;
    desk->calls++;
    duty_order(desk->node, &order, on_done, call);
}

void
machine_desk_round(MachineDesk *desk, bool may_order)
{
    AqTime now = AqLoop_Now(desk->node->loop);
    forget_unwanted(desk);
    for (guint i = 0; i < desk->entries->len && may_order; i++) {
        Entry *entry = g_ptr_array_index(desk->entries, i);
        if (entry->state == ASK_WAITING && entry->retry_at <= now &&
            desk->calls < MOST_AT_ONCE) {
            give_order(desk, entry);
        }
    }
}

MachineDesk *
machine_desk_create(NodeContext *node, uint64_t fence)
{
    MachineDesk *desk = calloc(1, sizeof(*desk));
    desk->node = node;
    desk->fence = fence;
    desk->entries = g_ptr_array_new_with_free_func(free);
    desk->view = prefix_view_create(node->loop, node->store, KEYS_ASKS,
                                    &ask_ops, desk);
    return desk;
}

void
machine_desk_drop(MachineDesk *desk)
{
    if (desk == NULL) {
        return;
    }
    prefix_view_destroy(desk->view);
    desk->is_dropped = true;
    if (desk->calls == 0) {
        free_desk(desk);
    }
}
