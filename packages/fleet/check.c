#include "fleet_internal.h"

#include <string.h>

/* Fills *error with the kind and name of a record and the invariant "why" that
 * the record violates; returns false. */
static bool
inconsistency(AqError *error, const char *kind, const char *name,
              const char *why)
{
    return AqError_Set(error, AQ_ERR_PROTOCOL,
                       "%s \"%s\": %s; restore the document from a snapshot "
                       "and report the operation ids since then",
                       kind, name, why);
}

static bool
check_records(const AqFleet *fleet, AqError *error)
{
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        const char *name;
        json_t *record;
        json_object_foreach(fleet->records[k], name, record)
        {
            if (!record_check((AqRecordKind)k, name, record, error)) {
                return false;
            }
        }
    }
    return true;
}

static bool
check_vm(const AqFleet *fleet, const VmEntry *vm, AqError *error)
{
    const char *name = string_or(vm->record, "pool", "");
    const char *target = string_or(vm->record, "target", "");
    bool stopped = vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED;
    if (vm->record != AqFleet_Get(fleet, AQ_REC_VM, vm->id)) {
        return inconsistency(error, "VM", vm->id,
                             "the index refers to an outdated record");
    }
    if (AqFleet_Get(fleet, AQ_REC_POOL, name) == NULL ||
        vm->pool != index_pool(fleet, name)) {
        return inconsistency(error, "VM", vm->id, "its pool does not exist");
    }
    if (vm->target_pool != NULL && (!stopped || vm->target_pool == vm->pool)) {
        return inconsistency(error, "VM", vm->id,
                             "its target pool requires a drain and must be "
                             "another pool");
    }
    if ((*target != '\0') != (vm->target_pool != NULL)) {
        return inconsistency(error, "VM", vm->id, "its target does not exist");
    }
    if (vm->drain_version > fleet->version ||
        vm->last_wave_id > fleet->version) {
        return inconsistency(
            error, "VM", vm->id,
            "it refers to a version later than the document's");
    }
    if ((vm->state == AQ_VM_SERVING) && *vm->wave != '\0') {
        return inconsistency(error, "VM", vm->id,
                             "it is serving although a wave has stopped it");
    }
    return true;
}

/* Counts the VMs per pool and state; returns false with an error when the VM
 * and pool index has other counts. */
static bool
check_counts(const AqFleet *fleet, AqError *error)
{
    int n = (int)fleet->pool_order->len;
    int(*states)[VM_STATE_COUNT] = g_malloc0_n((size_t)n, sizeof(*states));
    int *incoming = g_new0(int, (size_t)n);
    bool ok =
        json_object_size(fleet->records[AQ_REC_VM]) == fleet->vm_order->len;
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        states[vm->pool->number][vm->state]++;
        if (vm->target_pool != NULL) {
            incoming[vm->target_pool->number]++;
        }
    }
    for (int p = 0; p < n && ok; p++) {
        const PoolEntry *pool = fleet->pool_order->pdata[p];
        int members = 0;
        for (int s = 0; s < VM_STATE_COUNT; s++) {
            members += states[p][s];
            ok = ok && states[p][s] == pool->by_state[s];
        }
        ok = ok && members == pool->vm_count &&
             incoming[p] == pool->incoming &&
             (int)AqList_Length(&pool->vms) == members;
    }
    g_free(states);
    g_free(incoming);
    return ok || inconsistency(error, "index", "pools", "the counts disagree");
}

bool
AqFleet_CheckConsistency(const AqFleet *fleet, AqError *error)
{
    if (AqFleet_Get(fleet, AQ_REC_POOL, SPARE_POOL) == NULL ||
        AqFleet_Get(fleet, AQ_REC_WEIGHTS, WEIGHTS_NAME) == NULL) {
        return inconsistency(error, "document", "spare, weights",
                             "a record that always exists is missing");
    }
    if (fleet->epoch > fleet->version ||
        fleet->snapshot_version > fleet->version ||
        fleet->version - fleet->snapshot_version !=
            (int64_t)json_array_size(fleet->tail)) {
        return inconsistency(
            error, "document", "version",
            "epoch, snapshot and tail do not fit the version");
    }
    if (!check_records(fleet, error)) {
        return false;
    }
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        if (!check_vm(fleet, fleet->vm_order->pdata[i], error)) {
            return false;
        }
    }
    return check_counts(fleet, error);
}

/* ---- Steps ------------------------------------------------------------ */

/* Whether one commit may change a VM's state from "before" to "after"; design
 * page, section 12.  The change from drained to serving covers an undrain, the
 * end of a move, and a wave that ends and returns its drained VMs to
 * service. */
static bool
is_allowed_transition(AqVmState before, AqVmState after)
{
    static const unsigned allowed[VM_STATE_COUNT] = {
        [AQ_VM_SERVING] = 1u << AQ_VM_DRAINING,
        [AQ_VM_DRAINING] = 1u << AQ_VM_DRAINED | 1u << AQ_VM_SERVING,
        [AQ_VM_DRAINED] = 1u << AQ_VM_REBOOTING | 1u << AQ_VM_SERVING,
        [AQ_VM_REBOOTING] = 1u << AQ_VM_CHECKING,
        [AQ_VM_CHECKING] = 1u << AQ_VM_SERVING,
        [AQ_VM_FAILED] = 1u << AQ_VM_CHECKING,
        [AQ_VM_LEAVING] = 1u << AQ_VM_CHECKING,
    };
    return after == before || after == AQ_VM_FAILED ||
           after == AQ_VM_LEAVING || (allowed[before] & 1u << after) != 0;
}

/* Checks that the change of one VM from "old" to "vm" (NULL: removed) is
 * allowed.  Sets *stopped to whether the VM was serving and now drains or is
 * removed. */
static bool
check_vm_step(const VmEntry *old, const VmEntry *vm, bool *stopped,
              AqError *error)
{
    *stopped = old->state == AQ_VM_SERVING &&
               (vm == NULL || vm->state == AQ_VM_DRAINING);
    if (vm == NULL) {
        if (old->state == AQ_VM_DRAINED || old->state == AQ_VM_FAILED ||
            old->state == AQ_VM_LEAVING) {
            return true;
        }
        return inconsistency(error, "VM", old->id,
                             "it was removed without a drain");
    }
    if (!is_allowed_transition(old->state, vm->state)) {
        return inconsistency(error, "VM", old->id,
                             "its state changed by a transition that is not "
                             "allowed");
    }
    if (strcmp(old->pool->name, vm->pool->name) != 0 &&
        (old->state != AQ_VM_DRAINED || vm->state != AQ_VM_SERVING)) {
        return inconsistency(error, "VM", old->id,
                             "its pool changed without a drain");
    }
    return true;
}

/* Checks that a pool keeps to its budget (min_serving and max_unavailable).
 * "pool" is the pool after the commit, since one commit may drain several VMs
 * of a pool. */
static bool
check_budget(const PoolEntry *pool, AqError *error)
{
    int serving = pool_serving(pool);
    int unavailable = pool_unavailable(pool);
    if (serving >= pool->min_serving &&
        (pool->max_unavailable < 0 || unavailable <= pool->max_unavailable)) {
        return true;
    }
    return AqError_Set(error, AQ_ERR_REFUSED,
                       "pool \"%s\": a planned stop left %d VMs serving with "
                       "min_serving %d, and %d unavailable with "
                       "max_unavailable %d; undrain a VM and report the "
                       "operation",
                       pool->name, serving, pool->min_serving, unavailable,
                       pool->max_unavailable);
}

bool
AqFleet_CheckStep(const AqFleet *before, const AqFleet *after, AqError *error)
{
    if (after->version <= before->version) {
        return AqError_Set(error, AQ_ERR_CONFLICT,
                           "version %lld follows version %lld; the "
                           "version must grow: read head again",
                           (long long)after->version,
                           (long long)before->version);
    }
    if (after->epoch < before->epoch) {
        return inconsistency(error, "document", "epoch",
                             "it is lower than in the version before");
    }
    if (after->version > before->version + 1) {
        /* More than one commit lies between the documents "before" and
         * "after", and the document after each single commit is not known, so
         * the changes of VMs and budgets cannot be checked. */
        return true;
    }
    for (guint i = 0; i < before->vm_order->len; i++) {
        const VmEntry *old = before->vm_order->pdata[i];
        const VmEntry *vm = index_vm(after, old->id);
        bool stopped;
        if (!check_vm_step(old, vm, &stopped, error)) {
            return false;
        }
        const PoolEntry *pool = index_pool(after, old->pool->name);
        if (stopped && pool != NULL && !check_budget(pool, error)) {
            return false;
        }
    }
    return true;
}
