#include "fleet_internal.h"

#include <math.h>

/* Expected share of the time that a VM is out of service for unplanned
 * reasons, at the design size of 900 VMs (design page, section 1.6): 11
 * failures a day, each replaced within about 60 min, and 96 restarts a day of
 * about 10 min. */
#define UNPLANNED_SHARE ((11.0 * 60.0 + 96.0 * 10.0) / (900.0 * 24.0 * 60.0))
/* Share of a pool's VMs that a running wave is expected to have out of service
 * at once.  At the design size of 900 VMs, 10% raises the buffer target of
 * every pool when a wave starts: 86 VM moves and 2903 buffer VM-hours a day,
 * and 0.49 h for a wave, against 3 moves, 2573 VM-hours and 0.52 h with 5%. */
#define WAVE_SHARE 0.05

int
pool_serving(const PoolEntry *pool)
{
    return pool->by_state[AQ_VM_SERVING];
}

int
pool_unavailable(const PoolEntry *pool)
{
    return pool->vm_count - pool->by_state[AQ_VM_SERVING];
}

int
budget_headroom(int serving, int unavailable, int min_serving,
                int max_unavailable)
{
    int headroom = serving - min_serving;
    if (max_unavailable >= 0 && max_unavailable - unavailable < headroom) {
        headroom = max_unavailable - unavailable;
    }
    return headroom < 0 ? 0 : headroom;
}

bool
budget_allow_stop(const AqFleet *fleet, const PoolEntry *pool, const char *vm,
                  AqError *error)
{
    int serving = pool_serving(pool);
    int unavailable = pool_unavailable(pool);
    if ((fleet->disabled & FLEET_DISABLE_BUDGET) != 0 ||
        budget_headroom(serving, unavailable, pool->min_serving,
                        pool->max_unavailable) > 0) {
        return true;
    }
    if (serving <= pool->min_serving) {
        return AqError_Set(
            error, AQ_ERR_REFUSED,
            "pool \"%s\": stopping VM \"%s\" would leave %d of %d VMs "
            "serving, and min_serving is %d; move a VM into the pool, wait "
            "until %d unavailable VMs are back or lower min_serving",
            pool->name, vm, serving - 1, pool->vm_count, pool->min_serving,
            unavailable);
    }
    return AqError_Set(
        error, AQ_ERR_REFUSED,
        "pool \"%s\": stopping VM \"%s\" would make %d of %d VMs "
        "unavailable, and max_unavailable is %d; wait until %d unavailable "
        "VMs are back or raise max_unavailable",
        pool->name, vm, unavailable + 1, pool->vm_count, pool->max_unavailable,
        unavailable);
}

void
buffer_weights(const AqFleet *fleet, int *buffer, int *moves, int *time)
{
    const json_t *weights = AqFleet_Get(fleet, AQ_REC_WEIGHTS, WEIGHTS_NAME);
    *buffer = (int)int_or(weights, "buffer", 5);
    *moves = (int)int_or(weights, "moves", 5);
    *time = (int)int_or(weights, "time", 5);
}

/* Returns the number of the pool's VMs that a running wave is expected to have
 * out of service at once: the largest number over all running waves that still
 * have VMs of the pool to work on. */
static int
wave_held_vms(const AqFleet *fleet, const PoolEntry *pool)
{
    const char *name;
    json_t *wave;
    int largest = 0;
    json_object_foreach(fleet->records[AQ_REC_WAVE], name, wave)
    {
        if (strcmp(string_or(wave, "state", ""), "running") != 0) {
            continue;
        }
        const json_t *selector = json_object_get(wave, "selector");
        int64_t id = int_or(wave, "id", 0);
        bool has_work = false;
        AqList_ForEach(at, &pool->vms)
        {
            const VmEntry *vm = AqList_Entry(at, VmEntry, link);
            if (vm->last_wave_id < id &&
                selector_matches(selector,
                                 json_object_get(vm->record, "labels"))) {
                has_work = true;
                break;
            }
        }
        int limit = (int)int_or(wave, "max_parallel", 1);
        int share = (int)ceil(WAVE_SHARE * pool->vm_count);
        int held_vms = limit < share ? limit : share;
        largest = has_work && held_vms > largest ? held_vms : largest;
    }
    return largest;
}

/* Returns the largest number of VMs that the pool has in one rack; failed and
 * leaving VMs do not count. */
static int
fullest_rack_vms(const AqFleet *fleet, const PoolEntry *pool)
{
    int *counts = g_new0(int, g_hash_table_size(fleet->interned_names) + 1);
    int largest = 0;
    AqList_ForEach(at, &pool->vms)
    {
        const VmEntry *vm = AqList_Entry(at, VmEntry, link);
        if (vm->state != AQ_VM_FAILED && vm->state != AQ_VM_LEAVING) {
            counts[vm->rack]++;
            largest = counts[vm->rack] > largest ? counts[vm->rack] : largest;
        }
    }
    g_free(counts);
    return largest;
}

/* The buffer target is the number of the pool's VMs in its fullest rack or the
 * number expected to be out of service, whichever is larger, scaled by the
 * weights (design page, sections 7.2 and 12).  The target is at most
 * min_serving: a larger buffer protects min_serving no better, and in a pool
 * whose VMs share one rack each added VM would raise the target again. */
int
buffer_target(const AqFleet *fleet, PoolEntry *pool)
{
    if (pool->buffer_target >= 0) {
        return pool->buffer_target;
    }
    pool->buffer_target = 0;
    if (pool->vm_count > 0 && strcmp(pool->name, SPARE_POOL) != 0) {
        int buffer, moves, time;
        buffer_weights(fleet, &buffer, &moves, &time);
        double racks = fullest_rack_vms(fleet, pool);
        double failures =
            UNPLANNED_SHARE * pool->vm_count + wave_held_vms(fleet, pool);
        double exact_target = (racks > failures ? racks : failures) *
                              (0.5 + time / 10.0) * 5.0 / buffer;
        /* 1e-9 absorbs the floating point error in exact_target, which ceil
         * would round up to one more VM. */
        int target = (int)ceil(exact_target - 1e-9);
        target = target > pool->min_serving ? pool->min_serving : target;
        pool->buffer_target = target < 1 ? 1 : target;
    }
    return pool->buffer_target;
}

bool
AqFleet_GetPool(const AqFleet *fleet, const char *name, AqPoolStatus *status)
{
    PoolEntry *pool = index_pool(fleet, name);
    if (pool == NULL) {
        return false;
    }
    status->members = pool->vm_count;
    status->serving = pool_serving(pool);
    status->unavailable = pool_unavailable(pool);
    status->min_serving = pool->min_serving;
    status->max_unavailable = pool->max_unavailable;
    status->headroom =
        budget_headroom(status->serving, status->unavailable,
                        pool->min_serving, pool->max_unavailable);
    status->buffer_target = buffer_target(fleet, pool);
    return true;
}
