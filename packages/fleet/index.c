#include "fleet_internal.h"

#include <string.h>

static void
free_vm(void *data)
{
    VmEntry *vm = data;
    g_free(vm->id);
    g_free(vm);
}

static void
free_pool(void *data)
{
    PoolEntry *pool = data;
    g_free(pool->name);
    g_free(pool);
}

void
index_create(AqFleet *fleet)
{
    fleet->vms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
    fleet->pools =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
    fleet->vm_order = g_ptr_array_new();
    fleet->pool_order = g_ptr_array_new();
    fleet->interned_names =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
index_destroy(AqFleet *fleet)
{
    g_hash_table_destroy(fleet->vms);
    g_hash_table_destroy(fleet->pools);
    g_ptr_array_free(fleet->vm_order, TRUE);
    g_ptr_array_free(fleet->pool_order, TRUE);
    g_hash_table_destroy(fleet->interned_names);
}

VmEntry *
index_vm(const AqFleet *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->vms, id);
}

PoolEntry *
index_pool(const AqFleet *fleet, const char *name)
{
    return g_hash_table_lookup(fleet->pools, name);
}

/* Returns the number that VmEntry.rack or VmEntry.zone holds for this name of
 * a rack or data centre; equal names have equal numbers. */
static int
intern(AqFleet *fleet, const char *name)
{
    void *number;
    if (g_hash_table_lookup_extended(fleet->interned_names, name, NULL,
                                     &number)) {
        return GPOINTER_TO_INT(number);
    }
    int next = (int)g_hash_table_size(fleet->interned_names);
    g_hash_table_insert(fleet->interned_names, g_strdup(name),
                        GINT_TO_POINTER(next));
    return next;
}

/* Adds a VM to the counts of its pool and target pool (delta 1) or removes the
 * VM from these counts (delta -1). */
static void
count_vm(VmEntry *vm, int delta)
{
    vm->pool->vm_count += delta;
    vm->pool->by_state[vm->state] += delta;
    vm->pool->buffer_target = -1;
    if (vm->target_pool != NULL) {
        vm->target_pool->incoming += delta;
    }
}

static void
read_vm(AqFleet *fleet, VmEntry *vm, const json_t *record)
{
    const char *target = string_or(record, "target", "");
    vm->record = record;
    vm->pool = index_pool(fleet, string_or(record, "pool", SPARE_POOL));
    vm->target_pool = *target == '\0' ? NULL : index_pool(fleet, target);
    vm->rack = intern(fleet, string_or(record, "rack", ""));
    vm->zone = intern(fleet, string_or(record, "zone", ""));
    vm_state_parse(string_or(record, "state", "failed"), &vm->state);
    vm->is_reboot_planned = json_is_true(json_object_get(record, "reboot"));
    vm->matches_selector = selector_matches(vm->pool->selector,
                                            json_object_get(record, "labels"));
    vm->since_ms = int_or(record, "since", 0);
    vm->moved_at_ms = int_or(record, "moved", 0);
    vm->drain_version = int_or(record, "drain", 0);
    vm->last_wave_id = int_or(record, "done", 0);
    vm->deadline_ms = int_or(record, "due", 0);
    vm->retry_at_ms = int_or(record, "retry", 0);
    vm->wave = string_or(record, "wave", "");
}

static void
remove_vm(AqFleet *fleet, VmEntry *vm)
{
    VmEntry *last = fleet->vm_order->pdata[fleet->vm_order->len - 1];
    fleet->vm_order->pdata[vm->number] = last;
    last->number = vm->number;
    g_ptr_array_set_size(fleet->vm_order, (int)fleet->vm_order->len - 1);
    g_hash_table_remove(fleet->vms, vm->id);
}

static void
update_vm(AqFleet *fleet, const char *id, const json_t *record)
{
    VmEntry *vm = index_vm(fleet, id);
    if (vm != NULL) {
        count_vm(vm, -1);
        AqList_Remove(&vm->link);
        if (record == NULL) {
            remove_vm(fleet, vm);
            return;
        }
    }
    else {
        if (record == NULL) {
            return;
        }
        vm = g_new0(VmEntry, 1);
        vm->id = g_strdup(id);
        vm->number = (int)fleet->vm_order->len;
        AqList_Init(&vm->link);
        g_ptr_array_add(fleet->vm_order, vm);
        g_hash_table_insert(fleet->vms, vm->id, vm);
    }
    read_vm(fleet, vm, record);
    AqList_Append(&vm->pool->vms, &vm->link);
    count_vm(vm, 1);
}

static void
remove_pool(AqFleet *fleet, PoolEntry *pool)
{
    PoolEntry *last = fleet->pool_order->pdata[fleet->pool_order->len - 1];
    fleet->pool_order->pdata[pool->number] = last;
    last->number = pool->number;
    g_ptr_array_set_size(fleet->pool_order, (int)fleet->pool_order->len - 1);
    g_hash_table_remove(fleet->pools, pool->name);
}

static void
update_pool(AqFleet *fleet, const char *name, const json_t *record)
{
    PoolEntry *pool = index_pool(fleet, name);
    if (record == NULL) {
        if (pool != NULL) {
            remove_pool(fleet, pool);
        }
        return;
    }
    if (pool == NULL) {
        pool = g_new0(PoolEntry, 1);
        pool->name = g_strdup(name);
        pool->number = (int)fleet->pool_order->len;
        AqList_Init(&pool->vms);
        g_ptr_array_add(fleet->pool_order, pool);
        g_hash_table_insert(fleet->pools, pool->name, pool);
    }
    pool->record = record;
    pool->min_serving = (int)int_or(record, "min_serving", 0);
    pool->max_unavailable = (int)int_or(record, "max_unavailable", -1);
    pool->slots = (int)int_or(record, "slots", 8);
    pool->connections = (int)int_or(record, "connections", 64);
    pool->service = string_or(record, "service", pool->name);
    pool->selector = json_object_get(record, "selector");
    pool->buffer_target = -1;
    AqList_ForEach(at, &pool->vms)
    {
        VmEntry *vm = AqList_Entry(at, VmEntry, link);
        vm->matches_selector = selector_matches(
            pool->selector, json_object_get(vm->record, "labels"));
    }
}

void
index_update(AqFleet *fleet, AqRecordKind kind, const char *name,
             const json_t *record)
{
    if (kind == AQ_REC_VM) {
        update_vm(fleet, name, record);
    }
    else if (kind == AQ_REC_POOL) {
        update_pool(fleet, name, record);
    }
    else if (kind == AQ_REC_WAVE || kind == AQ_REC_WEIGHTS) {
        /* The buffer target of every pool depends on the waves and weights;
         * with -1 the function buffer_target computes the target again. */
        for (guint i = 0; i < fleet->pool_order->len; i++) {
            ((PoolEntry *)fleet->pool_order->pdata[i])->buffer_target = -1;
        }
    }
}

static void
fill_view(const VmEntry *vm, AqVmView *view)
{
    view->id = vm->id;
    view->pool = vm->pool->name;
    view->service = vm->pool->service;
    view->address = string_or(vm->record, "address", "");
    view->rack = string_or(vm->record, "rack", "");
    view->zone = string_or(vm->record, "zone", "");
    view->wave = vm->wave;
    view->state = vm->state;
    view->since = vm->since_ms;
    view->slots = vm->pool->slots;
    view->connections = vm->pool->connections;
}

bool
AqFleet_GetVm(const AqFleet *fleet, const char *id, AqVmView *view)
{
    const VmEntry *vm = index_vm(fleet, id);
    if (vm == NULL) {
        return false;
    }
    fill_view(vm, view);
    return true;
}

void
AqFleet_EachVm(const AqFleet *fleet,
               bool (*visit)(void *context, const AqVmView *view),
               void *context)
{
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        AqVmView view;
        fill_view(fleet->vm_order->pdata[i], &view);
        if (!visit(context, &view)) {
            return;
        }
    }
}
