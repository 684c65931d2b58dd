#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site_sim.h"

enum {
    TIMEOUT_MS = 800,
    MAX_SLOW_MS = 700
};

/* A key's value, or one change of a key. */
typedef struct {
    char *key;
    char *value;
    size_t size;
    uint64_t index;
    uint64_t lease;
    bool removed;
} Item;

typedef struct {
    uint64_t id;
    unsigned node;
    AqTime ttl_ms;
    AqTime ends_at;
} Lease;

struct SimStore {
    Sim *sim;
    GTree *items;       /* key -> Item */
    GPtrArray *history; /* of Item: all changes, oldest first */
    GArray *leases;     /* of Lease */
    GPtrArray *watches; /* of StoreCall: watches that wait; borrowed */
    uint64_t index;
    uint64_t compacted_index; /* changes up to this one are forgotten */
    uint64_t lease_count;
    AqTime trouble_until[SIM_STORE_TROUBLES];
    unsigned trouble_permille[SIM_STORE_TROUBLES];
    AqTime down_until;
    bool do_leases_pause;
};

typedef struct {
    SimCall base; /* first, so that SimCall * can be cast */
    unsigned kind;
    char *key; /* or prefix */
    char *after;
    uint64_t index; /* of a watch; or the id of a lease */
    AqTime wait_until;
    GPtrArray *expects; /* of Item */
    GPtrArray *puts;    /* of Item; removed: a deletion */
    AqStoreDone done;
    void *context;
    bool is_refused; /* ends as a call that had no effect */
    /* The reply. */
    AqStoreStatus status;
    GPtrArray *found; /* of Item */
    uint64_t reply_index;
    uint64_t reply_lease;
} StoreCall;

static void
free_item(gpointer value)
{
    Item *item = value;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static Item *
new_item(const char *key, const void *value, size_t size, uint64_t index)
{
    Item *item = g_new0(Item, 1);
    item->key = g_strdup(key);
    item->value = g_malloc0(size + 1);
    if (size > 0) {
        memcpy(item->value, value, size);
    }
    item->size = size;
    item->index = index;
    return item;
}

static Item *
copy_item(const Item *item)
{
    Item *copy = new_item(item->key, item->value, item->size, item->index);
    copy->lease = item->lease;
    copy->removed = item->removed;
    return copy;
}

/* ---- Replies ------------------------------------------------------------ */

static void
end_call(SimCall *base, bool is_answered)
{
    StoreCall *call = (StoreCall *)base;
    AqStoreReply reply = {.status = call->status};
    GArray *items = g_array_new(FALSE, TRUE, sizeof(AqStoreItem));
    if (!is_answered) {
        bool is_write = call->kind != SIM_CALL_GET &&
                        call->kind != SIM_CALL_LIST &&
                        call->kind != SIM_CALL_CHANGES;
        reply.status = is_write && !call->is_refused ? AQ_STORE_UNKNOWN
                                                     : AQ_STORE_UNAVAILABLE;
    }
    else {
        for (guint i = 0; i < call->found->len; i++) {
            const Item *item = g_ptr_array_index(call->found, i);
            AqStoreItem view = {item->key, item->value, item->size,
                                item->index, item->removed};
            g_array_append_val(items, view);
        }
        reply.items = (const AqStoreItem *)(void *)items->data;
        reply.count = items->len;
        reply.index = call->reply_index;
        reply.lease = call->reply_lease;
        reply.is_complete = true;
    }
    call->done(call->context, &reply);
    g_array_free(items, TRUE);
}

static void
free_call(SimCall *base)
{
    StoreCall *call = (StoreCall *)base;
    g_free(call->key);
    g_free(call->after);
    g_ptr_array_free(call->expects, TRUE);
    g_ptr_array_free(call->puts, TRUE);
    g_ptr_array_free(call->found, TRUE);
    g_free(call);
}

static bool
is_in_trouble(Sim *sim, SimStoreTrouble trouble)
{
    return sim->now < sim->store->trouble_until[trouble] &&
           sim_draw(sim, sim->store->trouble_permille[trouble]);
}

static AqTime
latency(Sim *sim)
{
    return is_in_trouble(sim, SIM_STORE_IS_SLOW)
               ? sim_between(sim, 50, MAX_SLOW_MS)
               : sim_between(sim, 1, 5);
}

/* Whether the call's kind now fails on the node's path to the store. */
static bool
is_cut(const StoreCall *call)
{
    const SimNode *node = call->base.node;
    return call->base.sim->now < node->store_cut_until &&
           (node->store_cut_calls & call->kind) != 0;
}

static void
answer(Sim *sim, StoreCall *call, AqStoreStatus status)
{
    const SimStore *store = sim->store;
    call->status = status;
    call->reply_index = store->index;
    if (is_cut(call)) {
        return;
    }
    if (is_in_trouble(sim, SIM_STORE_LOSES)) {
        if (sim_draw(sim, 500)) {
            sim_fail(&call->base, sim->now + 5);
        }
        return;
    }
    sim_reply(&call->base, sim->now + latency(sim));
}

/* ---- Changes ------------------------------------------------------------ */

static bool
find_changes(const SimStore *store, StoreCall *call)
{
    g_ptr_array_set_size(call->found, 0);
    for (guint i = store->history->len; i-- > 0;) {
        const Item *item = g_ptr_array_index(store->history, i);
        if (item->index <= call->index) {
            break;
        }
        if (g_str_has_prefix(item->key, call->key)) {
            g_ptr_array_insert(call->found, 0, copy_item(item));
        }
    }
    return call->found->len > 0;
}

static void
change(SimStore *store, const char *key, const void *value, size_t size,
       uint64_t lease, bool removed)
{
    Item *item = new_item(key, value, size, store->index);
    item->lease = lease;
    item->removed = removed;
    g_ptr_array_add(store->history, item);
    if (removed) {
        g_tree_remove(store->items, key);
    }
    else {
        Item *copy = copy_item(item);
        g_tree_replace(store->items, copy->key, copy);
    }
}

/* Answers the watches that have something to tell, or have waited enough. */
static void
check_watches(SimStore *store)
{
    Sim *sim = store->sim;
    for (guint i = store->watches->len; i-- > 0;) {
        StoreCall *call = g_ptr_array_index(store->watches, i);
        if (call->base.has_ended) {
            g_ptr_array_remove_index_fast(store->watches, i);
        }
        else if (find_changes(store, call) || call->wait_until <= sim->now) {
            g_ptr_array_remove_index_fast(store->watches, i);
            answer(sim, call, AQ_STORE_OK);
        }
    }
}

static gboolean
collect_of_lease(gpointer key, gpointer value, gpointer data)
{
    const Item *item = value;
    GPtrArray *out = data;
    const Item *wanted = g_ptr_array_index(out, 0);
    if (item->lease == wanted->lease) {
        g_ptr_array_add(out, new_item(key, NULL, 0, 0));
    }
    return FALSE;
}

static void
remove_keys_of(SimStore *store, uint64_t lease)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(free_item);
    Item *wanted = new_item("", NULL, 0, 0);
    wanted->lease = lease;
    g_ptr_array_add(keys, wanted);
    g_tree_foreach(store->items, collect_of_lease, keys);
    for (guint i = 1; i < keys->len; i++) {
        const Item *item = g_ptr_array_index(keys, i);
        store->index++;
        sim_trace(store->sim, "store: %s is removed at %llu", item->key,
                  (unsigned long long)store->index);
        change(store, item->key, NULL, 0, 0, true);
    }
    g_ptr_array_free(keys, TRUE);
    check_watches(store);
}

/* ---- Carrying out ------------------------------------------------------- */

static Lease *
find_lease(const SimStore *store, uint64_t id)
{
    for (guint i = 0; i < store->leases->len; i++) {
        Lease *lease = &g_array_index(store->leases, Lease, i);
        if (lease->id == id) {
            return lease;
        }
    }
    return NULL;
}

static AqStoreStatus
commit(Sim *sim, StoreCall *call)
{
    SimStore *store = sim->store;
    bool holds = true;
    g_ptr_array_set_size(call->found, 0);
    for (guint i = 0; i < call->expects->len; i++) {
        const Item *expect = g_ptr_array_index(call->expects, i);
        const Item *item = g_tree_lookup(store->items, expect->key);
        holds = holds && expect->index == (item != NULL ? item->index : 0);
        if (item != NULL) {
            g_ptr_array_add(call->found, copy_item(item));
        }
    }
    for (guint i = 0; i < call->puts->len; i++) {
        const Item *put = g_ptr_array_index(call->puts, i);
        if (put->lease != 0 && find_lease(store, put->lease) == NULL) {
            return AQ_STORE_ABSENT;
        }
    }
    if (!holds) {
        return AQ_STORE_CONFLICT;
    }
    g_ptr_array_set_size(call->found, 0);
    store->index++;
    for (guint i = 0; i < call->puts->len; i++) {
        const Item *put = g_ptr_array_index(call->puts, i);
        if (!put->removed || g_tree_lookup(store->items, put->key) != NULL) {
            change(store, put->key, put->value, put->size, put->lease,
                   put->removed);
        }
        if (strncmp(put->key, "aq/node/", 8) == 0) {
            sim_trace(sim, "store: %s %s at %llu by %s under lease %llu",
                      put->key, put->removed ? "is deleted" : put->value,
                      (unsigned long long)store->index, call->base.node->id,
                      (unsigned long long)put->lease);
        }
    }
    check_watches(store);
    return AQ_STORE_OK;
}

static gboolean
collect_listed(gpointer key, gpointer value, gpointer data)
{
    StoreCall *call = data;
    if (g_str_has_prefix(key, call->key) && strcmp(key, call->after) > 0) {
        g_ptr_array_add(call->found, copy_item(value));
    }
    return FALSE;
}

static AqStoreStatus
execute(Sim *sim, StoreCall *call)
{
    SimStore *store = sim->store;
    const Item *item;
    Lease *lease;
    switch (call->kind) {
    case SIM_CALL_GET:
        item = g_tree_lookup(store->items, call->key);
        if (item == NULL) {
            return AQ_STORE_ABSENT;
        }
        g_ptr_array_add(call->found, copy_item(item));
        return AQ_STORE_OK;
    case SIM_CALL_LIST:
        g_tree_foreach(store->items, collect_listed, call);
        return AQ_STORE_OK;
    case SIM_CALL_COMMIT:
        return commit(sim, call);
    case SIM_CALL_GRANT: {
        Lease granted = {++store->lease_count, call->base.node->number,
                         (AqTime)call->index, sim->now + (AqTime)call->index};
        g_array_append_val(store->leases, granted);
        call->reply_lease = granted.id;
        return AQ_STORE_OK;
    }
    case SIM_CALL_KEEP:
        lease = find_lease(store, call->index);
        if (lease == NULL) {
            return AQ_STORE_ABSENT;
        }
        lease->ends_at = sim->now + lease->ttl_ms;
        return AQ_STORE_OK;
    case SIM_CALL_END:
        lease = find_lease(store, call->index);
        if (lease == NULL) {
            return AQ_STORE_ABSENT;
        }
        lease->ends_at = sim->now;
        return AQ_STORE_OK;
    default:
        return AQ_STORE_OK;
    }
}

static void
on_late_call(Sim *sim, void *context)
{
    StoreCall *call = context;
    AqStoreStatus status = execute(sim, call);
    if (call->puts->len > 0) {
        const Item *put = g_ptr_array_index(call->puts, 0);
        sim_trace(sim, "store: late write of %s by %s, status %d", put->key,
                  call->base.node->id, (int)status);
    }
}

static void
watch(SimStore *store, StoreCall *call)
{
    if (call->index < store->compacted_index) {
        answer(store->sim, call, AQ_STORE_COMPACTED);
    }
    else if (find_changes(store, call) ||
             call->wait_until <= store->sim->now) {
        answer(store->sim, call, AQ_STORE_OK);
    }
    else {
        g_ptr_array_add(store->watches, call);
    }
}

/* A call arrives at the store. */
static void
on_call(Sim *sim, void *context)
{
    StoreCall *call = context;
    SimStore *store = sim->store;
    const SimNode *node = call->base.node;
    if (sim->now < store->down_until) {
        call->is_refused = sim_draw(sim, 500);
        if (call->is_refused) {
            sim_fail(&call->base, sim->now + 1);
        }
        return;
    }
    if (is_cut(call)) {
        if (node->store_cut_mode == SIM_CUT_REFUSED) {
            call->is_refused = true;
            sim_fail(&call->base, sim->now + 1);
        }
        else if (node->store_cut_mode == SIM_CUT_ANSWERS &&
                 call->kind != SIM_CALL_CHANGES) {
            execute(sim, call);
        }
        return;
    }
    if (call->kind == SIM_CALL_CHANGES) {
        watch(store, call);
        return;
    }
    if (call->kind == SIM_CALL_COMMIT &&
        is_in_trouble(sim, SIM_STORE_DELAYS)) {
        sim_at(sim, sim->now + sim_between(sim, 1000, 6000), on_late_call,
               call);
        return;
    }
    answer(sim, call, execute(sim, call));
}

/* ---- Operations --------------------------------------------------------- */

static StoreCall *
add_call(AqStore *ops, unsigned kind, const char *key, AqTime wait_ms,
         AqStoreDone done, void *context)
{
    SimNode *node =
        (SimNode *)(void *)((char *)ops - offsetof(SimNode, store));
    StoreCall *call = g_new0(StoreCall, 1);
    call->kind = kind;
    call->key = g_strdup(key);
    call->after = g_strdup("");
    call->expects = g_ptr_array_new_with_free_func(free_item);
    call->puts = g_ptr_array_new_with_free_func(free_item);
    call->found = g_ptr_array_new_with_free_func(free_item);
    call->done = done;
    call->context = context;
    call->base.end = end_call;
    call->base.free = free_call;
    sim_begin_call(node, &call->base, wait_ms + TIMEOUT_MS);
    call->wait_until = node->sim->now + wait_ms;
    sim_at(node->sim, sim_departure(node) + latency(node->sim), on_call, call);
    return call;
}

static void
store_get(AqStore *store, const char *key, AqStoreDone done, void *context)
{
    add_call(store, SIM_CALL_GET, key, 0, done, context);
}

static void
store_list(AqStore *store, const char *prefix, const char *after, bool stale,
           AqStoreDone done, void *context)
{
    StoreCall *call = add_call(store, SIM_CALL_LIST, prefix, 0, done, context);
    (void)stale;
    g_free(call->after);
    call->after = g_strdup(after);
}

static void
store_changes(AqStore *store, const char *prefix, uint64_t index,
              int64_t wait_ms, AqStoreDone done, void *context)
{
    add_call(store, SIM_CALL_CHANGES, prefix, wait_ms, done, context)->index =
        index;
}

static void
store_commit(AqStore *store, const AqStoreCommit *request, AqStoreDone done,
             void *context)
{
    StoreCall *call = add_call(store, SIM_CALL_COMMIT, "", 0, done, context);
    for (size_t i = 0; i < request->expect_count; i++) {
        g_ptr_array_add(call->expects, new_item(request->expects[i].key, NULL,
                                                0, request->expects[i].index));
    }
    for (size_t i = 0; i < request->put_count; i++) {
        const AqStorePut *put = &request->puts[i];
        Item *item = new_item(put->key, put->value, put->size, 0);
        item->lease = put->lease;
        g_ptr_array_add(call->puts, item);
    }
    for (size_t i = 0; i < request->delete_count; i++) {
        Item *item = new_item(request->deletes[i], NULL, 0, 0);
        item->removed = true;
        g_ptr_array_add(call->puts, item);
    }
}

static void
store_grant(AqStore *store, int64_t ttl_ms, AqStoreDone done, void *context)
{
    add_call(store, SIM_CALL_GRANT, "", 0, done, context)->index =
        (uint64_t)ttl_ms;
}

static void
store_keep(AqStore *store, uint64_t lease, AqStoreDone done, void *context)
{
    add_call(store, SIM_CALL_KEEP, "", 0, done, context)->index = lease;
}

static void
store_end(AqStore *store, uint64_t lease, AqStoreDone done, void *context)
{
    add_call(store, SIM_CALL_END, "", 0, done, context)->index = lease;
}

static void
store_destroy(AqStore *store)
{
    (void)store;
}

const AqStoreOps *
sim_store_ops(void)
{
    static const AqStoreOps ops = {
        .get = store_get,
        .list_after = store_list,
        .changes = store_changes,
        .commit = store_commit,
        .lease_grant = store_grant,
        .lease_keep = store_keep,
        .lease_end = store_end,
        .destroy = store_destroy,
    };
    return &ops;
}

/* ---- Control ------------------------------------------------------------ */

void
sim_store_step(Sim *sim)
{
    SimStore *store = sim->store;
    bool is_down = sim->now < store->down_until;
    for (guint i = store->leases->len; i-- > 0;) {
        Lease *lease = &g_array_index(store->leases, Lease, i);
        if (is_down && store->do_leases_pause) {
            lease->ends_at += SIM_STEP_MS;
        }
        if (lease->ends_at <= sim->now) {
            uint64_t id = lease->id;
            sim_trace(sim, "store: lease %llu of n-%u ends",
                      (unsigned long long)id, lease->node);
            g_array_remove_index(store->leases, i);
            remove_keys_of(store, id);
        }
    }
    check_watches(store);
}

void
sim_store_put(Sim *sim, const char *key, const char *value, size_t size)
{
    sim->store->index++;
    change(sim->store, key, value, size, 0, false);
    check_watches(sim->store);
}

void
sim_store_remove(Sim *sim, const char *key)
{
    if (g_tree_lookup(sim->store->items, key) != NULL) {
        sim->store->index++;
        change(sim->store, key, NULL, 0, 0, true);
        check_watches(sim->store);
    }
}

const char *
sim_store_value(const Sim *sim, const char *key)
{
    const Item *item = g_tree_lookup(sim->store->items, key);
    return item != NULL ? item->value : NULL;
}

void
sim_store_revoke(Sim *sim, unsigned node)
{
    SimStore *store = sim->store;
    sim_trace(sim, "store: keys of n-%u are revoked", node);
    for (guint i = 0; i < store->leases->len; i++) {
        const Lease *lease = &g_array_index(store->leases, Lease, i);
        if (lease->node == node) {
            remove_keys_of(store, lease->id);
        }
    }
}

void
sim_store_compact(Sim *sim)
{
    sim_trace(sim, "store: history is dropped");
    sim->store->compacted_index = ++sim->store->index;
    if (sim_draw(sim, 500)) {
        /* The waiting watches hear nothing any more. */
        g_ptr_array_set_size(sim->store->watches, 0);
    }
}

void
sim_store_trouble(Sim *sim, SimStoreTrouble trouble, AqTime ms,
                  unsigned permille)
{
    sim->store->trouble_until[trouble] = sim->now + ms;
    sim->store->trouble_permille[trouble] = permille;
}

void
sim_store_down(Sim *sim, AqTime ms, bool do_leases_pause)
{
    sim_trace(sim, "store: down");
    sim->store->down_until = sim->now + ms;
    sim->store->do_leases_pause = do_leases_pause;
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

SimStore *
sim_store_create(Sim *sim)
{
    SimStore *store = g_new0(SimStore, 1);
    store->sim = sim;
    store->items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
    store->history = g_ptr_array_new_with_free_func(free_item);
    store->leases = g_array_new(FALSE, TRUE, sizeof(Lease));
    store->watches = g_ptr_array_new();
    store->index = 10;
    return store;
}

void
sim_store_destroy(SimStore *store)
{
    g_tree_destroy(store->items);
    g_ptr_array_free(store->history, TRUE);
    g_array_free(store->leases, TRUE);
    g_ptr_array_free(store->watches, TRUE);
    g_free(store);
}
