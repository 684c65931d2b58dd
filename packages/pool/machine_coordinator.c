#include "machine_coordinator.h"

#include <stdlib.h>
#include <string.h>

#include "aq_machine_requests.h"
#include "aq_log.h"
#include "fenced_order.h"
#include "store_keys.h"
#include "owner_writer.h"
#include "prefix_view.h"

enum {
    RETRY_MS = 250,
    /* A VM that was sent to a pool that wants one is there after that, and
     * the pool wants one less. */
    UNDER_WAY_MS = 2300,
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
    bool is_refused;
    bool is_wanted;
    AqTime retry_at;
    char target[64]; /* where a VM that is given away goes */
} Entry;

/* A pool that would take VMs, whichever they are. */
typedef struct {
    size_t wanted;
    GArray *sent; /* of AqTime: when VMs were sent there */
} Demand;

/* What this desk has done with a VM last. */
typedef struct {
    char pool[64];  /* it was moved there; "": not moved */
    uint64_t claim; /* 0: not known */
} Place;

struct MachineDesk {
    NodeContext *node;
    uint64_t fence;
    PrefixView *view;
    OwnerWriter *writer;
    GPtrArray *entries;  /* of Entry */
    GHashTable *demands; /* pool -> Demand */
    GHashTable *places;  /* machine -> Place */
    GHashTable *answers; /* pools with answers to be written */
    bool is_answering;
    AqTime answers_due;
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
    g_hash_table_destroy(desk->answers);
    g_hash_table_destroy(desk->demands);
    g_hash_table_destroy(desk->places);
    free(desk);
}

/* ---- What is asked for -------------------------------------------------- */

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

/* Whether the VM has been moved away from where the owner saw it: the list
 * that the owner has read is older than the move, and the order would end
 * tasks of another pool. */
static bool
is_moved_away(const MachineDesk *desk, const Entry *entry)
{
    const Place *place = g_hash_table_lookup(desk->places, entry->ask.machine);
    if (place == NULL || place->pool[0] == '\0' ||
        strcmp(place->pool, entry->pool) == 0) {
        return false;
    }
    /* One in the spare pool is there to be taken. */
    const char *spare = AqSiteConfig_SparePool(&desk->node->site);
    bool is_taken = strcmp(entry->ask.to_pool, entry->pool) == 0;
    return !is_taken || spare == NULL || strcmp(place->pool, spare) != 0;
}

/* Why an ask is refused, or NULL. */
static const char *
find_objection(const MachineDesk *desk, const Entry *entry)
{
    if (is_asked_elsewhere(desk, entry)) {
        return "asked_by_other_pool";
    }
    return is_moved_away(desk, entry) ? "moved_away" : NULL;
}

static void
end_entry(MachineDesk *desk, Entry *entry, bool is_refused)
{
    entry->state = ASK_ENDED;
    entry->is_refused = is_refused;
    g_hash_table_add(desk->answers, g_strdup(entry->pool));
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
free_demand(void *value)
{
    Demand *demand = value;
    g_array_free(demand->sent, TRUE);
    free(demand);
}

static Demand *
find_demand(MachineDesk *desk, const char *pool)
{
    Demand *demand = g_hash_table_lookup(desk->demands, pool);
    if (demand == NULL) {
        demand = calloc(1, sizeof(*demand));
        demand->sent = g_array_new(FALSE, FALSE, sizeof(AqTime));
        g_hash_table_insert(desk->demands, g_strdup(pool), demand);
    }
    return demand;
}

/* VMs that a pool wants beside those under way to it. */
static size_t
open_demand(const MachineDesk *desk, Demand *demand)
{
    AqTime now = AqLoop_Now(desk->node->loop);
    while (demand->sent->len > 0 &&
           now - g_array_index(demand->sent, AqTime, 0) > UNDER_WAY_MS) {
        g_array_remove_index(demand->sent, 0);
    }
    return demand->wanted > demand->sent->len
               ? demand->wanted - demand->sent->len
               : 0;
}

/* Chooses where a VM that a pool gives away goes: straight to the pool that
 * wants the most, which saves the way through the spare pool, or there. */
static void
choose_target(MachineDesk *desk, Entry *entry)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    Demand *best = NULL;
    size_t most = 0;
    AqTime now = AqLoop_Now(desk->node->loop);
    g_strlcpy(entry->target, entry->ask.to_pool, sizeof(entry->target));
    if (entry->target[0] == '\0' || strcmp(entry->target, entry->pool) == 0) {
        return; /* upkeep, or a VM that the pool takes itself */
    }
    g_hash_table_iter_init(&iter, desk->demands);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        size_t wanted = open_demand(desk, value);
        if (wanted > most && strcmp(key, entry->pool) != 0) {
            most = wanted;
            best = value;
            g_strlcpy(entry->target, key, sizeof(entry->target));
        }
    }
    if (best != NULL) {
        g_array_append_val(best->sent, now);
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
    find_demand(desk, pool)->wanted = list.wanted;
    for (size_t i = 0; i < list.count; i++) {
        Entry *entry = find_entry(desk, pool, list.fence, list.asks[i].number);
        if (entry == NULL) {
            entry = calloc(1, sizeof(*entry));
            entry->ask = list.asks[i];
            entry->fence = list.fence;
            g_strlcpy(entry->pool, pool, sizeof(entry->pool));
            const char *objection = find_objection(desk, entry);
            if (objection != NULL) {
                AqLog_Event(AQ_LOG_INFO, "ask_refused",
                            "machine=%s pool=%s reason=%s", entry->ask.machine,
                            pool, objection);
                end_entry(desk, entry, true);
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
    find_demand(desk, key + strlen(KEYS_ASKS))->wanted = 0;
    forget_unwanted(desk);
}

static const PrefixViewOps ask_ops = {on_put, on_removed, NULL, 0, true};

/* ---- Answers ------------------------------------------------------------ */

static void
on_answered(void *context, AqStoreStatus status)
{
    MachineDesk *desk = context;
    desk->is_answering = false;
    desk->calls--;
    if (status != AQ_STORE_OK) {
        /* All answers of the pools are written again. */
        for (guint i = 0; i < desk->entries->len; i++) {
            const Entry *entry = g_ptr_array_index(desk->entries, i);
            if (entry->state == ASK_ENDED) {
                g_hash_table_add(desk->answers, g_strdup(entry->pool));
            }
        }
        desk->answers_due = AqLoop_Now(desk->node->loop) + RETRY_MS;
    }
    if (desk->is_dropped && desk->calls == 0) {
        free_desk(desk);
    }
}

static void
write_answers(MachineDesk *desk, const char *pool)
{
    AqBuffer bytes;
    AqAskList list = {.asks = calloc(AQ_ASKS_MAX, sizeof(AqAsk))};
    for (guint i = 0; i < desk->entries->len; i++) {
        const Entry *entry = g_ptr_array_index(desk->entries, i);
        if (entry->state == ASK_ENDED && entry->is_wanted &&
            strcmp(entry->pool, pool) == 0 && list.count < AQ_ASKS_MAX) {
            list.fence = entry->fence;
            list.asks[list.count] = entry->ask;
            list.asks[list.count++].is_refused = entry->is_refused;
        }
    }
    AqBuffer_Init(&bytes);
    AqAskList_Encode(&list, &bytes);
    AqStorePut put = {key_of(KEY_ANSWER, pool), AqBuffer_Text(&bytes),
                      bytes.size, 0};
    desk->is_answering = true;
    desk->calls++;
    owner_writer_commit(desk->writer, NULL, 0, &put, 1, on_answered, desk);
    AqBuffer_Clear(&bytes);
    AqAskList_Clear(&list);
}

static void
write_next_answers(MachineDesk *desk)
{
    GHashTableIter iter;
    gpointer key;
    if (desk->is_answering ||
        desk->answers_due > AqLoop_Now(desk->node->loop)) {
        return;
    }
    g_hash_table_iter_init(&iter, desk->answers);
    if (g_hash_table_iter_next(&iter, &key, NULL)) {
        char *pool = g_strdup(key);
        g_hash_table_remove(desk->answers, pool);
        write_answers(desk, pool);
        g_free(pool);
    }
}

/* ---- Orders ------------------------------------------------------------- */

static Place *
find_place(const MachineDesk *desk, const char *machine)
{
    Place *place = g_hash_table_lookup(desk->places, machine);
    if (place == NULL) {
        place = calloc(1, sizeof(*place));
        g_hash_table_insert(desk->places, g_strdup(machine), place);
    }
    return place;
}

static void
on_done(void *context, DutyResult result, uint64_t claim)
{
    DeskCall *call = context;
    MachineDesk *desk = call->desk;
    Entry *entry = call->entry;
    free(call);
    desk->calls--;
    Place *place = find_place(desk, entry->ask.machine);
    place->claim = claim;
    if (result == DUTY_DONE && entry->target[0] != '\0') {
        g_strlcpy(place->pool, entry->target, sizeof(place->pool));
    }
    else if (result == DUTY_UNKNOWN) {
        place->pool[0] = '\0'; /* it may be there or not */
    }
    if (result == DUTY_DONE || result == DUTY_REFUSED) {
        end_entry(desk, entry, result == DUTY_REFUSED);
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
    if (entry->target[0] == '\0') {
        choose_target(desk, entry);
    }
    DutyOrder order = {
        .pool = entry->pool,
        .pool_fence = entry->fence,
        .duty_fence = desk->fence,
        .machine = entry->ask.machine,
        .to_pool = entry->target,
        .wave = entry->ask.wave,
        .last_claim = find_place(desk, entry->ask.machine)->claim,
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
    write_next_answers(desk);
}

MachineDesk *
machine_desk_create(NodeContext *node, uint64_t fence)
{
    MachineDesk *desk = calloc(1, sizeof(*desk));
    desk->node = node;
    desk->fence = fence;
    desk->entries = g_ptr_array_new_with_free_func(free);
    desk->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_demand);
    desk->places =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    desk->answers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    desk->writer = owner_writer_create(node, MEMBER_MACHINE_DUTY, fence);
    desk->view =
        prefix_view_create(node->loop, node->store, KEYS_ASKS, &ask_ops, desk);
    return desk;
}

void
machine_desk_drop(MachineDesk *desk)
{
    if (desk == NULL) {
        return;
    }
    prefix_view_destroy(desk->view);
    desk->calls++; /* the writer may end calls now */
    owner_writer_drop(desk->writer);
    desk->calls--;
    desk->is_dropped = true;
    if (desk->calls == 0) {
        free_desk(desk);
    }
}
