#include "fleet_internal.h"

#include <string.h>

/* Returns the VM named by field "id" of the intent; NULL with an error when
 * there is no such VM or the intent has a field not in "allowed". */
static VmEntry *
find_vm(const Intent *intent, const char *const *allowed, AqError *error)
{
    const char *id;
    if (!check_known_fields(intent->args, allowed, error) ||
        !field_name(intent->args, "id", &id, error)) {
        return NULL;
    }
    VmEntry *vm = index_vm(intent->fleet, id);
    if (vm == NULL) {
        AqError_Set(error, AQ_ERR_NOT_FOUND,
                    "field \"id\" is \"%s\", which is no VM; list the VMs or "
                    "add it with vm.set",
                    id);
    }
    return vm;
}

/* Fills *error for an action that a VM's state does not allow ("action" is a
 * past participle such as "moved"); returns false. */
static bool
refuse_state(const VmEntry *vm, const char *action, const char *remedy,
             AqError *error)
{
    return AqError_Set(error, AQ_ERR_REFUSED,
                       "VM \"%s\" of pool \"%s\" (%d of %d VMs serving) is "
                       "%s and cannot be %s; %s",
                       vm->id, vm->pool->name, pool_serving(vm->pool),
                       vm->pool->vm_count, AqVmState_Name(vm->state), action,
                       remedy);
}

static bool
is_drained(const VmEntry *vm)
{
    return vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED;
}

/* Checks the labels of a VM ("vm" NULL: a new VM) against the selector of a
 * pool.  The error message names the label that does not match, with the value
 * that the pool selects and that of the VM. */
static bool
check_selector(const VmEntry *vm, const json_t *labels, const PoolEntry *pool,
               AqError *error)
{
    const char *label;
    json_t *value;
    json_object_foreach((json_t *)pool->selector, label, value)
    {
        const char *found = string_or(labels, label, "");
        if (strcmp(found, json_string_value(value)) != 0) {
            return AqError_Set(
                error, AQ_ERR_REFUSED,
                "pool \"%s\" (%d of %d VMs serving) takes VMs with label "
                "\"%s\" = \"%s\", but VM \"%s\" has \"%s\"; set the label "
                "with vm.set or choose another pool",
                pool->name, pool_serving(pool), pool->vm_count, label,
                json_string_value(value), vm == NULL ? "new" : vm->id, found);
        }
    }
    return true;
}

static bool
set_new_vm(const Intent *intent, const char *id, AqError *error)
{
    const char *name = string_or(intent->args, "pool", SPARE_POOL);
    const PoolEntry *pool = index_pool(intent->fleet, name);
    if (pool == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "field \"pool\" is \"%s\", which is no pool; add "
                           "it with pool.set first",
                           name);
    }
    json_t *record = json_pack("{s:s, s:{}}", "pool", name, "labels");
    json_object_update(record, (json_t *)intent->args);
    json_object_del(record, "id");
    json_t *next = vm_in_state(record, AQ_VM_CHECKING, intent->wall_ms);
    json_object_set_new(next, "due",
                        json_integer(intent->wall_ms + WAVE_RETURN_LIMIT_MS));
    json_decref(record);
    bool ok =
        record_check(AQ_REC_VM, id, next, error) &&
        check_selector(NULL, json_object_get(next, "labels"), pool, error);
    if (ok) {
        set_put(intent->set, AQ_REC_VM, id, json_incref(next));
    }
    json_decref(next);
    return ok;
}

static bool
set_known_vm(const Intent *intent, const VmEntry *vm, AqError *error)
{
    const char *pool = string_or(intent->args, "pool", vm->pool->name);
    if (strcmp(pool, vm->pool->name) != 0) {
        return refuse_state(vm, "put in another pool by vm.set", "use vm.move",
                            error);
    }
    json_t *next = json_copy((json_t *)vm->record);
    json_object_update(next, (json_t *)intent->args);
    json_object_del(next, "id");
    bool moved = strcmp(string_or(next, "address", ""),
                        string_or(vm->record, "address", "")) != 0;
    bool ok = record_check(AQ_REC_VM, vm->id, next, error);
    /* A serving or draining VM must keep its address, since requests may be in
     * flight on the old address. */
    if (ok && moved &&
        (vm->state == AQ_VM_SERVING || vm->state == AQ_VM_DRAINING)) {
        ok = refuse_state(vm, "given another address",
                          "drain it with vm.drain first", error);
    }
    if (ok && !json_equal(next, (json_t *)vm->record)) {
        set_put(intent->set, AQ_REC_VM, vm->id, json_incref(next));
    }
    json_decref(next);
    return ok;
}

bool
intent_vm_set(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {
        "id",      "pool",  "labels",    "rack",         "zone",
        "address", "cores", "memory_mb", "accelerators", NULL};
    const char *id;
    if (!check_known_fields(intent->args, allowed, error) ||
        !field_name(intent->args, "id", &id, error) ||
        (json_object_get(intent->args, "pool") != NULL &&
         !field_name(intent->args, "pool", NULL, error))) {
        return false;
    }
    const VmEntry *vm = index_vm(intent->fleet, id);
    return vm == NULL ? set_new_vm(intent, id, error)
                      : set_known_vm(intent, vm, error);
}

bool
intent_vm_remove(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", NULL};
    const VmEntry *vm = find_vm(intent, allowed, error);
    if (vm == NULL) {
        return false;
    }
    if (vm->state != AQ_VM_DRAINED && vm->state != AQ_VM_FAILED &&
        vm->state != AQ_VM_LEAVING) {
        return refuse_state(vm, "removed",
                            "drain it with vm.drain and wait until it is "
                            "drained",
                            error);
    }
    set_put(intent->set, AQ_REC_VM, vm->id, NULL);
    return true;
}

bool
intent_vm_drain(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", NULL};
    const VmEntry *vm = find_vm(intent, allowed, error);
    if (vm == NULL) {
        return false;
    }
    if (is_drained(vm)) {
        /* A drain that was part of a wave, move or reboot now lasts until an
         * operator ends it. */
        if (*vm->wave != '\0' || vm->target_pool != NULL ||
            vm->is_reboot_planned) {
            json_t *next = json_copy((json_t *)vm->record);
            vm_clear_plan(next);
            set_put(intent->set, AQ_REC_VM, vm->id, next);
        }
        return true;
    }
    if (vm->state != AQ_VM_SERVING) {
        return refuse_state(vm, "drained",
                            "it has no work now; wait until it serves again",
                            error);
    }
    if (!budget_allow_stop(intent->fleet, vm->pool, vm->id, error)) {
        return false;
    }
    set_put(intent->set, AQ_REC_VM, vm->id,
            vm_draining(intent->fleet, vm, intent->wall_ms));
    return true;
}

bool
intent_vm_undrain(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", NULL};
    const VmEntry *vm = find_vm(intent, allowed, error);
    if (vm == NULL) {
        return false;
    }
    if (vm->state == AQ_VM_SERVING) {
        return true;
    }
    if (!is_drained(vm)) {
        return refuse_state(vm, "undrained",
                            "wait until the planner puts it back in service",
                            error);
    }
    set_put(intent->set, AQ_REC_VM, vm->id, vm_serving(vm, intent->wall_ms));
    return true;
}

/* Returns a new record of a VM that must be drained for a move or a reboot.  A
 * serving VM begins to drain if the budget of its pool allows the drain, and a
 * draining or drained VM loses its planned wave, move or reboot.  Returns NULL
 * with an error when the VM has another state or the budget forbids the
 * drain. */
static json_t *
planned_stop(const Intent *intent, const VmEntry *vm, const char *action,
             AqError *error)
{
    if (is_drained(vm)) {
        json_t *next = json_copy((json_t *)vm->record);
        vm_clear_plan(next);
        return next;
    }
    if (vm->state != AQ_VM_SERVING) {
        refuse_state(vm, action, "wait until it serves again", error);
        return NULL;
    }
    if (!budget_allow_stop(intent->fleet, vm->pool, vm->id, error)) {
        return NULL;
    }
    return vm_draining(intent->fleet, vm, intent->wall_ms);
}

/* Appends to the intent's set an upsert that gives a VM the record "next",
 * unless the VM has an equal record already.  Takes over the caller's
 * reference to "next". */
static void
put_if_changed(const Intent *intent, const VmEntry *vm, json_t *next)
{
    if (json_equal(next, (json_t *)vm->record)) {
        json_decref(next);
    }
    else {
        set_put(intent->set, AQ_REC_VM, vm->id, next);
    }
}

bool
intent_vm_move(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", "pool", NULL};
    const VmEntry *vm = find_vm(intent, allowed, error);
    const char *name;
    if (vm == NULL || !field_name(intent->args, "pool", &name, error)) {
        return false;
    }
    const PoolEntry *pool = index_pool(intent->fleet, name);
    if (pool == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "field \"pool\" is \"%s\", which is no pool; list "
                           "the pools or add it with pool.set",
                           name);
    }
    if (pool == vm->pool) {
        /* A move to the VM's own pool cancels the VM's move in progress. */
        if (vm->target_pool != NULL) {
            set_put(intent->set, AQ_REC_VM, vm->id,
                    vm_serving(vm, intent->wall_ms));
        }
        return true;
    }
    if (!check_selector(vm, json_object_get(vm->record, "labels"), pool,
                        error)) {
        return false;
    }
    if ((intent->fleet->disabled & FLEET_DISABLE_DRAIN) != 0) {
        set_put(intent->set, AQ_REC_VM, vm->id,
                vm_in_pool(vm, name, intent->wall_ms));
        return true;
    }
    json_t *next = planned_stop(intent, vm, "moved", error);
    if (next == NULL) {
        return false;
    }
    json_object_set_new(next, "target", json_string(name));
    put_if_changed(intent, vm, next);
    return true;
}

bool
intent_vm_reboot(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", NULL};
    const VmEntry *vm = find_vm(intent, allowed, error);
    if (vm == NULL) {
        return false;
    }
    json_t *next = planned_stop(intent, vm, "rebooted", error);
    if (next == NULL) {
        return false;
    }
    json_object_set_new(next, "reboot", json_true());
    put_if_changed(intent, vm, next);
    return true;
}
