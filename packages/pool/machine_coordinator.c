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
    REQUEST_WAITING,
    REQUEST_ORDERED,
    REQUEST_ENDED
} MachineRequestState;

typedef struct {
    AqMachineRequest request;
    char pool[64];
    uint64_t fence; /* of the pool's owner */
    MachineRequestState state;
    bool is_refused;
    bool is_requested;
    AqTime retry_at;
    char target[64]; /* where a VM that is given away goes */
} Entry;

/* A pool that would take VMs, whichever they are. */
typedef struct {
    size_t requested_vms;
    GArray *sent; /* of AqTime: when VMs were sent there */
} Demand;

/* What this coordinator has done with a VM last. */
typedef struct {
    char pool[64];  /* it was moved there; "": not moved */
    uint64_t claim; /* 0: not known */
} Place;

struct MachineCoordinator {
    NodeContext *node;
    uint64_t fence;
    PrefixView *view;
    OwnerWriter *writer;
    GPtrArray *entries;    /* of Entry */
    GHashTable *demands;   /* pool -> Demand */
    GHashTable *places;    /* machine -> Place */
    GHashTable *responses; /* pools with responses to be written */
    bool is_writing_responses;
    AqTime responses_due;
    int calls;
    bool is_dropped;
};

typedef struct {
    MachineCoordinator *coordinator;
    Entry *entry;
} CoordinatorCall;

static void
free_coordinator(MachineCoordinator *coordinator)
{
    g_ptr_array_free(coordinator->entries, TRUE);
    g_hash_table_destroy(coordinator->responses);
    g_hash_table_destroy(coordinator->demands);
    g_hash_table_destroy(coordinator->places);
    free(coordinator);
}

/* ---- Requests ----------------------------------------------------------- */

static Entry *
find_entry(const MachineCoordinator *coordinator, const char *pool,
           uint64_t fence, int64_t number)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        Entry *entry = g_ptr_array_index(coordinator->entries, i);
        if (entry->request.number == number && entry->fence == fence &&
            strcmp(entry->pool, pool) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Whether another pool's owner requests the same VM: the first one has it.
 * One that was given away is free for others once that is done. */
static bool
is_requested_elsewhere(const MachineCoordinator *coordinator,
                       const Entry *entry)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        const Entry *other = g_ptr_array_index(coordinator->entries, i);
        bool is_open = other->state != REQUEST_ENDED ||
                       strcmp(other->request.to_pool, other->pool) == 0;
        if (other->is_requested && is_open &&
            strcmp(other->pool, entry->pool) != 0 &&
            strcmp(other->request.machine, entry->request.machine) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether the VM has been moved away from where the owner saw it: the list
 * that the owner has read is older than the move, and the order would end
 * tasks of another pool. */
static bool
is_moved_away(const MachineCoordinator *coordinator, const Entry *entry)
{
    const Place *place =
        g_hash_table_lookup(coordinator->places, entry->request.machine);
    if (place == NULL || place->pool[0] == '\0' ||
        strcmp(place->pool, entry->pool) == 0) {
        return false;
    }
    /* One in the spare pool is there to be taken. */
    const char *spare = AqSiteConfig_SparePool(&coordinator->node->site);
    bool is_taken = strcmp(entry->request.to_pool, entry->pool) == 0;
    return !is_taken || spare == NULL || strcmp(place->pool, spare) != 0;
}

/* Why a request is refused, or NULL. */
static const char *
find_objection(const MachineCoordinator *coordinator, const Entry *entry)
{
    if (is_requested_elsewhere(coordinator, entry)) {
        return "asked_by_other_pool";
    }
    return is_moved_away(coordinator, entry) ? "moved_away" : NULL;
}

static void
end_entry(MachineCoordinator *coordinator, Entry *entry, bool is_refused)
{
    entry->state = REQUEST_ENDED;
    entry->is_refused = is_refused;
    g_hash_table_add(coordinator->responses, g_strdup(entry->pool));
}

static void
remove_withdrawn_requests(MachineCoordinator *coordinator)
{
    for (guint i = coordinator->entries->len; i-- > 0;) {
        const Entry *entry = g_ptr_array_index(coordinator->entries, i);
        if (!entry->is_requested && entry->state != REQUEST_ORDERED) {
            g_ptr_array_remove_index_fast(coordinator->entries, i);
        }
    }
}

static void
set_withdrawn(MachineCoordinator *coordinator, const char *pool)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        Entry *entry = g_ptr_array_index(coordinator->entries, i);
        if (strcmp(entry->pool, pool) == 0) {
            entry->is_requested = false;
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
find_demand(MachineCoordinator *coordinator, const char *pool)
{
    Demand *demand = g_hash_table_lookup(coordinator->demands, pool);
    if (demand == NULL) {
        demand = calloc(1, sizeof(*demand));
        demand->sent = g_array_new(FALSE, FALSE, sizeof(AqTime));
        g_hash_table_insert(coordinator->demands, g_strdup(pool), demand);
    }
    return demand;
}

/* VMs that a pool wants beside those under way to it. */
static size_t
open_demand(const MachineCoordinator *coordinator, Demand *demand)
{
    AqTime now = AqLoop_Now(coordinator->node->loop);
    while (demand->sent->len > 0 &&
           now - g_array_index(demand->sent, AqTime, 0) > UNDER_WAY_MS) {
        g_array_remove_index(demand->sent, 0);
    }
    return demand->requested_vms > demand->sent->len
               ? demand->requested_vms - demand->sent->len
               : 0;
}

/* Chooses where a VM that a pool gives away goes: straight to the pool that
 * wants the most, which saves the way through the spare pool, or there. */
static void
choose_target(MachineCoordinator *coordinator, Entry *entry)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    Demand *best = NULL;
    size_t most = 0;
    AqTime now = AqLoop_Now(coordinator->node->loop);
    g_strlcpy(entry->target, entry->request.to_pool, sizeof(entry->target));
    if (entry->target[0] == '\0' || strcmp(entry->target, entry->pool) == 0) {
        return; /* maintenance, or a VM that the pool takes itself */
    }
    g_hash_table_iter_init(&iter, coordinator->demands);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        size_t wanted = open_demand(coordinator, value);
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
    MachineCoordinator *coordinator = context;
    const char *pool = item->key + strlen(KEYS_MACHINE_REQUESTS);
    AqMachineRequestList list;
    if (!AqMachineRequestList_Decode(item->value, item->size, &list)) {
        AqLog_Event(AQ_LOG_ERROR, "asks_unreadable", "pool=%s index=%llu",
                    pool, (unsigned long long)item->index);
        return;
    }
    set_withdrawn(coordinator, pool);
    find_demand(coordinator, pool)->requested_vms = list.requested_vms;
    for (size_t i = 0; i < list.count; i++) {
        Entry *entry =
            find_entry(coordinator, pool, list.fence, list.requests[i].number);
        if (entry == NULL) {
            entry = calloc(1, sizeof(*entry));
            entry->request = list.requests[i];
            entry->fence = list.fence;
            g_strlcpy(entry->pool, pool, sizeof(entry->pool));
            const char *objection = find_objection(coordinator, entry);
            if (objection != NULL) {
                AqLog_Event(AQ_LOG_INFO, "ask_refused",
                            "machine=%s pool=%s reason=%s",
                            entry->request.machine, pool, objection);
                end_entry(coordinator, entry, true);
            }
            g_ptr_array_add(coordinator->entries, entry);
        }
        entry->is_requested = true;
    }
    AqMachineRequestList_Clear(&list);
    remove_withdrawn_requests(coordinator);
}

static void
on_removed(void *context, const char *key)
{
    MachineCoordinator *coordinator = context;
    set_withdrawn(coordinator, key + strlen(KEYS_MACHINE_REQUESTS));
    find_demand(coordinator, key + strlen(KEYS_MACHINE_REQUESTS))
        ->requested_vms = 0;
    remove_withdrawn_requests(coordinator);
}

static const PrefixViewOps request_ops = {on_put, on_removed, NULL, 0, true};

/* ---- Responses ---------------------------------------------------------- */

static void
on_responses_written(void *context, AqStoreStatus status)
{
    MachineCoordinator *coordinator = context;
    coordinator->is_writing_responses = false;
    coordinator->calls--;
    if (status != AQ_STORE_OK) {
        /* All responses to the pools are written again. */
        for (guint i = 0; i < coordinator->entries->len; i++) {
            const Entry *entry = g_ptr_array_index(coordinator->entries, i);
            if (entry->state == REQUEST_ENDED) {
                g_hash_table_add(coordinator->responses,
                                 g_strdup(entry->pool));
            }
        }
        coordinator->responses_due =
            AqLoop_Now(coordinator->node->loop) + RETRY_MS;
    }
    if (coordinator->is_dropped && coordinator->calls == 0) {
        free_coordinator(coordinator);
    }
}

static void
write_responses(MachineCoordinator *coordinator, const char *pool)
{
    AqBuffer bytes;
    AqMachineRequestList list = {
        .requests = calloc(AQ_MACHINE_REQUESTS_MAX, sizeof(AqMachineRequest))};
    for (guint i = 0; i < coordinator->entries->len; i++) {
        const Entry *entry = g_ptr_array_index(coordinator->entries, i);
        if (entry->state == REQUEST_ENDED && entry->is_requested &&
            strcmp(entry->pool, pool) == 0 &&
            list.count < AQ_MACHINE_REQUESTS_MAX) {
            list.fence = entry->fence;
            list.requests[list.count] = entry->request;
            list.requests[list.count++].is_refused = entry->is_refused;
        }
    }
    AqBuffer_Init(&bytes);
    AqMachineRequestList_Encode(&list, &bytes);
    AqStorePut put = {key_of(KEY_MACHINE_RESPONSES, pool),
                      AqBuffer_Text(&bytes), bytes.size, 0};
    coordinator->is_writing_responses = true;
    coordinator->calls++;
    owner_writer_commit(coordinator->writer, NULL, 0, &put, 1,
                        on_responses_written, coordinator);
    AqBuffer_Clear(&bytes);
    AqMachineRequestList_Clear(&list);
}

static void
write_next_responses(MachineCoordinator *coordinator)
{
    GHashTableIter iter;
    gpointer key;
    if (coordinator->is_writing_responses ||
        coordinator->responses_due > AqLoop_Now(coordinator->node->loop)) {
        return;
    }
    g_hash_table_iter_init(&iter, coordinator->responses);
    if (g_hash_table_iter_next(&iter, &key, NULL)) {
        char *pool = g_strdup(key);
        g_hash_table_remove(coordinator->responses, pool);
        write_responses(coordinator, pool);
        g_free(pool);
    }
}

/* ---- Orders ------------------------------------------------------------- */

static Place *
find_place(const MachineCoordinator *coordinator, const char *machine)
{
    Place *place = g_hash_table_lookup(coordinator->places, machine);
    if (place == NULL) {
        place = calloc(1, sizeof(*place));
        g_hash_table_insert(coordinator->places, g_strdup(machine), place);
    }
    return place;
}

static void
on_done(void *context, FencedOrderResult result, uint64_t claim)
{
    CoordinatorCall *call = context;
    MachineCoordinator *coordinator = call->coordinator;
    Entry *entry = call->entry;
    free(call);
    coordinator->calls--;
    Place *place = find_place(coordinator, entry->request.machine);
    place->claim = claim;
    if (result == FENCED_ORDER_DONE && entry->target[0] != '\0') {
        g_strlcpy(place->pool, entry->target, sizeof(place->pool));
    }
    else if (result == FENCED_ORDER_UNKNOWN) {
        place->pool[0] = '\0'; /* it may be there or not */
    }
    if (result == FENCED_ORDER_DONE || result == FENCED_ORDER_REFUSED) {
        end_entry(coordinator, entry, result == FENCED_ORDER_REFUSED);
    }
    else {
        entry->state = REQUEST_WAITING;
        entry->retry_at = AqLoop_Now(coordinator->node->loop) + RETRY_MS;
    }
    if (coordinator->is_dropped && coordinator->calls == 0) {
        free_coordinator(coordinator);
    }
}

static void
give_order(MachineCoordinator *coordinator, Entry *entry)
{
    if (entry->target[0] == '\0') {
        choose_target(coordinator, entry);
    }
    FencedOrder order = {
        .pool = entry->pool,
        .pool_fence = entry->fence,
        .coordinator_fence = coordinator->fence,
        .machine = entry->request.machine,
        .to_pool = entry->target,
        .wave = entry->request.wave,
        .last_claim = find_place(coordinator, entry->request.machine)->claim,
    };
    CoordinatorCall *call = calloc(1, sizeof(*call));
    call->coordinator = coordinator;
    call->entry = entry;
    entry->state = REQUEST_ORDERED;
    coordinator->calls++;
    fenced_order_send(coordinator->node, &order, on_done, call);
}

void
machine_coordinator_round(MachineCoordinator *coordinator, bool may_order)
{
    AqTime now = AqLoop_Now(coordinator->node->loop);
    remove_withdrawn_requests(coordinator);
    for (guint i = 0; i < coordinator->entries->len && may_order; i++) {
        Entry *entry = g_ptr_array_index(coordinator->entries, i);
        if (entry->state == REQUEST_WAITING && entry->retry_at <= now &&
            coordinator->calls < MOST_AT_ONCE) {
            give_order(coordinator, entry);
        }
    }
    write_next_responses(coordinator);
}

MachineCoordinator *
machine_coordinator_create(NodeContext *node, uint64_t fence)
{
    MachineCoordinator *coordinator = calloc(1, sizeof(*coordinator));
    coordinator->node = node;
    coordinator->fence = fence;
    coordinator->entries = g_ptr_array_new_with_free_func(free);
    coordinator->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_demand);
    coordinator->places =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    coordinator->responses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    coordinator->writer =
        owner_writer_create(node, MEMBER_MACHINE_COORDINATOR, fence);
    coordinator->view =
        prefix_view_create(node->loop, node->store, KEYS_MACHINE_REQUESTS,
                           &request_ops, coordinator);
    return coordinator;
}

void
machine_coordinator_drop(MachineCoordinator *coordinator)
{
    if (coordinator == NULL) {
        return;
    }
    prefix_view_destroy(coordinator->view);
    coordinator->calls++; /* the writer may end calls now */
    owner_writer_drop(coordinator->writer);
    coordinator->calls--;
    coordinator->is_dropped = true;
    if (coordinator->calls == 0) {
        free_coordinator(coordinator);
    }
}
