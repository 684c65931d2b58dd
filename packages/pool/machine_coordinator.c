#include "machine_coordinator.h"

#include <stdlib.h>
#include <string.h>

#include "aq_machine_requests.h"
#include "aq_log.h"
#include "fenced_order.h"
#include "order_limit.h"
#include "store_keys.h"
#include "owner_writer.h"
#include "prefix_view.h"

enum {
    /* Wait before the coordinator repeats an order that the platform has not
     * accepted, or a failed write of its responses to pool owners. */
    RETRY_MS = 250,
    /* For this long after the coordinator has chosen a pool for a released VM,
     * the VM is subtracted from the number of VMs that the pool requests.
     * After that the VM has arrived, and the pool requests one VM less. */
    MOVE_IN_PROGRESS_MS = 2300
};

typedef enum {
    /* The request's order is to be sent, or to be repeated. */
    REQUEST_WAITING,
    REQUEST_ORDERED, /* the request's order was sent; no result yet */
    /* The platform accepted the request's order, or the platform or this
     * coordinator refused the request. */
    REQUEST_ENDED
} MachineRequestState;

typedef struct {
    AqMachineRequest request;
    char pool[64]; /* pool whose owner sent the request */
    /* Store revision at which the requesting owner claimed "pool". */
    uint64_t fence;
    MachineRequestState state;
    /* The platform or this coordinator refused the request; valid in
     * REQUEST_ENDED. */
    bool is_refused;
    /* The pool owner's list of requests in the store still contains this
     * request. */
    bool is_requested;
    /* Earliest time at which the request's order is sent again. */
    AqTime retry_at;
    /* Pool to which the VM is to move; "": the pool is not chosen yet, or the
     * request is for maintenance. */
    char target[64];
} RequestEntry;

/* Number of VMs that a pool requests without naming them, and the latest moves
 * of released VMs to the pool. */
typedef struct {
    size_t requested_vms;
    /* Of AqTime: when the coordinator chose this pool for released VMs, oldest
     * first. */
    GArray *sent_at;
} Demand;

/* Outcome of this coordinator's last orders for a VM. */
typedef struct {
    /* Pool to which this coordinator's last order moved the VM; "": the VM was
     * not moved, or its pool is not known. */
    char moved_to_pool[64];
    /* Store revision at which this node last claimed the VM; 0: not known. */
    uint64_t claim_index;
} VmRecord;

struct MachineCoordinator {
    NodeContext *node;
    /* Store revision at which this node claimed the role of machine
     * coordinator. */
    uint64_t fence;
    PrefixView *view;    /* view of the requests that pool owners wrote */
    OwnerWriter *writer; /* writes the responses to pool owners */
    /* Of RequestEntry: requests of pool owners; owned. */
    GPtrArray *entries;
    GHashTable *demands;    /* pool name -> Demand */
    GHashTable *vm_records; /* VM id -> VmRecord */
    /* Set of pool names: for these pools, the responses to ended requests are
     * still to be written to the store. */
    GHashTable *responses;
    bool is_writing_responses;
    /* Responses to pool owners are not written to the store before this time.
     */
    AqTime responses_due;
    /* Number of calls in progress: orders for VMs, and writes of responses to
     * pool owners. */
    int calls;
    OrderLimit limit; /* of calls in progress */
    /* The coordinator was dropped (machine_coordinator_drop) and is freed once
     * "calls" is 0. */
    bool is_dropped;
};

typedef struct {
    MachineCoordinator *coordinator;
    RequestEntry *entry;
} CoordinatorCall;

static void
free_coordinator(MachineCoordinator *coordinator)
{
    g_ptr_array_free(coordinator->entries, TRUE);
    g_hash_table_destroy(coordinator->responses);
    g_hash_table_destroy(coordinator->demands);
    g_hash_table_destroy(coordinator->vm_records);
    free(coordinator);
}

/* ---- Requests ----------------------------------------------------------- */

static RequestEntry *
find_entry(const MachineCoordinator *coordinator, const char *pool,
           uint64_t fence, int64_t number)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        RequestEntry *entry = g_ptr_array_index(coordinator->entries, i);
        if (entry->request.number == number && entry->fence == fence &&
            strcmp(entry->pool, pool) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Whether the owner of another pool has already requested an order for the VM
 * of "entry": the first request for a VM has precedence.  A request that has
 * ended counts only if it was for a move to the pool that made it; a VM that a
 * pool has released is free for others. */
static bool
is_requested_elsewhere(const MachineCoordinator *coordinator,
                       const RequestEntry *entry)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        const RequestEntry *other = g_ptr_array_index(coordinator->entries, i);
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

/* Whether this coordinator has moved the VM out of the pool where the
 * requesting owner saw it: the owner read the platform's list before the move,
 * and the requested order would end tasks of another pool. */
static bool
is_moved_away(const MachineCoordinator *coordinator, const RequestEntry *entry)
{
    const VmRecord *record =
        g_hash_table_lookup(coordinator->vm_records, entry->request.machine);
    if (record == NULL || record->moved_to_pool[0] == '\0' ||
        strcmp(record->moved_to_pool, entry->pool) == 0) {
        return false;
    }
    /* Any pool may acquire a VM of the spare pool. */
    const char *spare = AqSiteConfig_SparePool(&coordinator->node->site);
    bool is_acquisition = strcmp(entry->request.to_pool, entry->pool) == 0;
    return !is_acquisition || spare == NULL ||
           strcmp(record->moved_to_pool, spare) != 0;
}

/* Returns the reason, as logged, for which a new request is refused; NULL: the
 * request is not refused. */
static const char *
find_refusal_reason(const MachineCoordinator *coordinator,
                    const RequestEntry *entry)
{
    if (is_requested_elsewhere(coordinator, entry)) {
        return "asked_by_other_pool";
    }
    return is_moved_away(coordinator, entry) ? "moved_away" : NULL;
}

static void
end_entry(MachineCoordinator *coordinator, RequestEntry *entry,
          bool is_refused)
{
    entry->state = REQUEST_ENDED;
    entry->is_refused = is_refused;
    g_hash_table_add(coordinator->responses, g_strdup(entry->pool));
}

static void
remove_withdrawn_requests(MachineCoordinator *coordinator)
{
    for (guint i = coordinator->entries->len; i-- > 0;) {
        const RequestEntry *entry = g_ptr_array_index(coordinator->entries, i);
        if (!entry->is_requested && entry->state != REQUEST_ORDERED) {
            g_ptr_array_remove_index_fast(coordinator->entries, i);
        }
    }
}

static void
set_withdrawn(MachineCoordinator *coordinator, const char *pool)
{
    for (guint i = 0; i < coordinator->entries->len; i++) {
        RequestEntry *entry = g_ptr_array_index(coordinator->entries, i);
        if (strcmp(entry->pool, pool) == 0) {
            entry->is_requested = false;
        }
    }
}

static void
free_demand(void *value)
{
    Demand *demand = value;
    g_array_free(demand->sent_at, TRUE);
    free(demand);
}

static Demand *
find_demand(MachineCoordinator *coordinator, const char *pool)
{
    Demand *demand = g_hash_table_lookup(coordinator->demands, pool);
    if (demand == NULL) {
        demand = calloc(1, sizeof(*demand));
        demand->sent_at = g_array_new(FALSE, FALSE, sizeof(AqTime));
        g_hash_table_insert(coordinator->demands, g_strdup(pool), demand);
    }
    return demand;
}

/* Returns how many VMs a pool requests beyond the released VMs that are moving
 * to it; removes moves older than MOVE_IN_PROGRESS_MS from "demand". */
static size_t
unmet_demand(const MachineCoordinator *coordinator, Demand *demand)
{
    AqTime now = AqLoop_Now(coordinator->node->loop);
    while (demand->sent_at->len > 0 &&
           now - g_array_index(demand->sent_at, AqTime, 0) >
               MOVE_IN_PROGRESS_MS) {
        g_array_remove_index(demand->sent_at, 0);
    }
    return demand->requested_vms > demand->sent_at->len
               ? demand->requested_vms - demand->sent_at->len
               : 0;
}

/* Sets the pool to which the VM of a requested move goes.  A VM that a pool
 * releases goes straight to the pool with the greatest unmet demand, which
 * saves the move through the spare pool; without such a pool it goes to the
 * spare pool. */
static void
choose_target(MachineCoordinator *coordinator, RequestEntry *entry)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    Demand *best = NULL;
    size_t most = 0;
    AqTime now = AqLoop_Now(coordinator->node->loop);
    g_strlcpy(entry->target, entry->request.to_pool, sizeof(entry->target));
    if (entry->target[0] == '\0' || strcmp(entry->target, entry->pool) == 0) {
        /* The request is for maintenance, or for a move to the requesting
         * pool: there is no pool to choose. */
        return;
    }
    g_hash_table_iter_init(&iter, coordinator->demands);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        size_t unmet = unmet_demand(coordinator, value);
        if (unmet > most && strcmp(key, entry->pool) != 0) {
            most = unmet;
            best = value;
            g_strlcpy(entry->target, key, sizeof(entry->target));
        }
    }
    if (best != NULL) {
        g_array_append_val(best->sent_at, now);
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
        RequestEntry *entry =
            find_entry(coordinator, pool, list.fence, list.requests[i].number);
        if (entry == NULL) {
            entry = calloc(1, sizeof(*entry));
            entry->request = list.requests[i];
            entry->fence = list.fence;
            g_strlcpy(entry->pool, pool, sizeof(entry->pool));
            const char *reason = find_refusal_reason(coordinator, entry);
            if (reason != NULL) {
                AqLog_Event(AQ_LOG_INFO, "ask_refused",
                            "machine=%s pool=%s reason=%s",
                            entry->request.machine, pool, reason);
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
        /* The write of responses failed.  Write again the responses for every
         * pool that has ended requests. */
        for (guint i = 0; i < coordinator->entries->len; i++) {
            const RequestEntry *entry =
                g_ptr_array_index(coordinator->entries, i);
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
        const RequestEntry *entry = g_ptr_array_index(coordinator->entries, i);
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

static VmRecord *
find_vm_record(const MachineCoordinator *coordinator, const char *machine)
{
    VmRecord *record = g_hash_table_lookup(coordinator->vm_records, machine);
    if (record == NULL) {
        record = calloc(1, sizeof(*record));
        g_hash_table_insert(coordinator->vm_records, g_strdup(machine),
                            record);
    }
    return record;
}

static void
on_order_done(void *context, FencedOrderResult result, uint64_t claim_index)
{
    CoordinatorCall *call = context;
    MachineCoordinator *coordinator = call->coordinator;
    RequestEntry *entry = call->entry;
    free(call);
    coordinator->calls--;
    VmRecord *record = find_vm_record(coordinator, entry->request.machine);
    record->claim_index = claim_index;
    if (result == FENCED_ORDER_DONE && entry->target[0] != '\0') {
        g_strlcpy(record->moved_to_pool, entry->target,
                  sizeof(record->moved_to_pool));
    }
    else if (result == FENCED_ORDER_UNKNOWN) {
        /* An order without a response may have moved the VM, or may still do
         * so: the VM's pool is not known. */
        record->moved_to_pool[0] = '\0';
    }
    if (result == FENCED_ORDER_DONE) {
        order_limit_accepted(&coordinator->limit);
    }
    else if (result == FENCED_ORDER_RETRY) {
        order_limit_put_off(&coordinator->limit);
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
send_order(MachineCoordinator *coordinator, RequestEntry *entry)
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
        .last_claim_index =
            find_vm_record(coordinator, entry->request.machine)->claim_index,
    };
    CoordinatorCall *call = calloc(1, sizeof(*call));
    call->coordinator = coordinator;
    call->entry = entry;
    entry->state = REQUEST_ORDERED;
    coordinator->calls++;
    fenced_order_send(coordinator->node, &order, on_order_done, call);
}

void
machine_coordinator_round(MachineCoordinator *coordinator, bool may_order)
{
    AqTime now = AqLoop_Now(coordinator->node->loop);
    remove_withdrawn_requests(coordinator);
    for (guint i = 0; i < coordinator->entries->len && may_order; i++) {
        RequestEntry *entry = g_ptr_array_index(coordinator->entries, i);
        if (entry->state == REQUEST_WAITING && entry->retry_at <= now &&
            order_limit_is_open(&coordinator->limit, coordinator->calls)) {
            send_order(coordinator, entry);
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
    order_limit_init(&coordinator->limit);
    coordinator->entries = g_ptr_array_new_with_free_func(free);
    coordinator->demands =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_demand);
    coordinator->vm_records =
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
    /* Counts one more call, so that the coordinator isn't freed while
     * owner_writer_drop() calls the "done" callbacks of the queued writes. */
    coordinator->calls++;
    owner_writer_drop(coordinator->writer);
    coordinator->calls--;
    coordinator->is_dropped = true;
    if (coordinator->calls == 0) {
        free_coordinator(coordinator);
    }
}
