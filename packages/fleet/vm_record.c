#include "fleet_internal.h"

#include <string.h>

json_t *
vm_in_state(const json_t *record, AqVmState state, int64_t wall_ms)
{
    json_t *next = json_copy((json_t *)record);
    json_object_set_new(next, "state", json_string(AqVmState_Name(state)));
    json_object_set_new(next, "since", json_integer(wall_ms));
    json_object_del(next, "retry");
    if (state != AQ_VM_REBOOTING && state != AQ_VM_CHECKING) {
        json_object_del(next, "due");
    }
    if (state != AQ_VM_DRAINING && state != AQ_VM_DRAINED) {
        json_object_del(next, "drain");
    }
    return next;
}

void
vm_clear_plan(json_t *record)
{
    json_object_del(record, "wave");
    json_object_del(record, "target");
    json_object_del(record, "reboot");
}

/* Returns a new record of the VM in state draining, with field "drain" set to
 * the document's current version plus 1.  The commit that stores the record
 * creates exactly that version: its compare-and-swap on head fails if another
 * commit came first. */
json_t *
vm_draining(const AqFleet *fleet, const VmEntry *vm, int64_t wall_ms)
{
    json_t *next = vm_in_state(vm->record, AQ_VM_DRAINING, wall_ms);
    vm_clear_plan(next);
    json_object_set_new(next, "drain", json_integer(fleet->version + 1));
    return next;
}

json_t *
vm_serving(const VmEntry *vm, int64_t wall_ms)
{
    json_t *next = vm_in_state(vm->record, AQ_VM_SERVING, wall_ms);
    vm_clear_plan(next);
    return next;
}

json_t *
vm_checking(const VmEntry *vm, int64_t wall_ms)
{
    json_t *next = vm_in_state(vm->record, AQ_VM_CHECKING, wall_ms);
    if (vm->state != AQ_VM_REBOOTING) {
        vm_clear_plan(next);
        json_object_set_new(next, "due",
                            json_integer(wall_ms + WAVE_RETURN_LIMIT_MS));
    }
    return next;
}

json_t *
vm_in_pool(const VmEntry *vm, const char *pool, int64_t wall_ms)
{
    json_t *next = vm_serving(vm, wall_ms);
    json_object_set_new(next, "pool", json_string(pool));
    json_object_set_new(next, "moved", json_integer(wall_ms));
    return next;
}
