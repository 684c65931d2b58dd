#include "planner.h"

#include <stdlib.h>
#include <string.h>

/* Hysteresis of moves between pools (design page, section 7.2): the surplus
 * that a pool may keep, the time that a surplus or deficit must persist, and
 * the time that a VM stays in a pool after a move.  All three are scaled by
 * weights.moves / 5. */
#define TOLERATED_SURPLUS_VMS 1
#define IMBALANCE_MIN_MS (10 * 60 * 1000)
#define MIN_STAY_MS (30 * 60 * 1000)
/* Most moves of VMs that one planner step begins; later steps begin the
 * others. */
#define STEP_MOVES_MAX 16

/* A VM that may move to a pool in deficit. */
typedef struct {
    const VmEntry *vm;
    int spare;   /* 1: the VM is in the spare pool */
    int surplus; /* surplus of the VM's pool, in VMs */
    int rack;    /* number of the destination pool's VMs in this VM's rack */
} Source;

typedef struct {
    PlanStep *step;
    int tolerated_surplus_vms;
    int64_t imbalance_min_ms;
    int64_t min_stay_ms;
    int moves;
    /* Number of VMs of one pool in each rack, by VmEntry.rack; all 0 except
     * while fill_pool or release_pool_surplus works on that pool. */
    int *racks;
    Source *sources;
} Placement;

/* Whether a VM is draining or drained because of an operator's intent
 * vm.drain, not for a wave, move or reboot. */
static bool
is_held_by_operator(const VmEntry *vm)
{
    return (vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED) &&
           vm->target_pool == NULL && *vm->wave == '\0' &&
           !vm->is_reboot_planned;
}

static bool
is_spare(const PoolEntry *pool)
{
    return strcmp(pool->name, SPARE_POOL) == 0;
}

/* Sets capacity_vms and needed_vms of each pool.  A VM that an operator keeps
 * drained for imbalance_min_ms or longer is no longer capacity, nor is a
 * failed or leaving VM.  A rebooting VM is capacity, since the VMs above
 * min_serving cover its outage. */
static void
count_capacity(Placement *place)
{
    PlanStep *step = place->step;
    const AqFleet *fleet = step->fleet;
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        if (vm->state == AQ_VM_FAILED || vm->state == AQ_VM_LEAVING ||
            (is_held_by_operator(vm) &&
             step->wall_ms - vm->since_ms >= place->imbalance_min_ms)) {
            continue;
        }
        const PoolEntry *pool =
            vm->target_pool != NULL ? vm->target_pool : vm->pool;
        step->pools[pool->number].capacity_vms++;
    }
    for (guint i = 0; i < fleet->pool_order->len; i++) {
        PoolEntry *pool = fleet->pool_order->pdata[i];
        step->pools[i].needed_vms =
            pool->min_serving + buffer_target(fleet, pool);
    }
}

/* Returns by how many VMs a pool's capacity_vms exceeds its needed_vms;
 * negative for a deficit. */
static int
surplus_of(const Placement *place, const PoolEntry *pool)
{
    const PoolPlan *plan = &place->step->pools[pool->number];
    return plan->capacity_vms - plan->needed_vms;
}

/* Whether a VM may leave its pool in this planner step: it serves, the step
 * has not changed it so far, its last move is at least min_stay_ms ago, and
 * the budget of its pool allows one more VM to be drained. */
static bool
is_movable(const Placement *place, const VmEntry *vm)
{
    const PlanStep *step = place->step;
    return vm->state == AQ_VM_SERVING && !step->is_changed[vm->number] &&
           (vm->moved_at_ms == 0 ||
            step->wall_ms - vm->moved_at_ms >= place->min_stay_ms) &&
           plan_headroom(step, vm->pool) > 0;
}

/* Begins the move of a VM to the pool "to"; returns false when the planner
 * step has STEP_UPSERTS_MAX upserts already. */
static bool
start_move(Placement *place, const VmEntry *vm, const PoolEntry *to)
{
    PlanStep *step = place->step;
    json_t *next;
    if ((step->fleet->disabled & FLEET_DISABLE_DRAIN) != 0) {
        next = vm_in_pool(vm, to->name, step->wall_ms);
    }
    else {
        next = vm_draining(step->fleet, vm, step->wall_ms);
        json_object_set_new(next, "target", json_string(to->name));
    }
    if (!plan_put_vm(step, vm, next, AQ_VM_DRAINING)) {
        return false;
    }
    step->pools[vm->pool->number].capacity_vms--;
    step->pools[to->number].capacity_vms++;
    place->moves++;
    return true;
}

/* Whether a condition of a pool has been true for imbalance_min_ms; "met" says
 * whether the condition is true now.  "seen" maps the name of each pool for
 * which the condition was true at the last call to the wall ms since which it
 * has been true. */
static bool
has_persisted(const Placement *place, GHashTable *seen, const PoolEntry *pool,
              bool met)
{
    int64_t now = place->step->wall_ms;
    if (!met) {
        g_hash_table_remove(seen, pool->name);
        return false;
    }
    int64_t *since = g_hash_table_lookup(seen, pool->name);
    if (since == NULL) {
        since = g_new(int64_t, 1);
        *since = now;
        g_hash_table_insert(seen, g_strdup(pool->name), since);
    }
    return now - *since >= place->imbalance_min_ms;
}

/* ---- Pools in deficit ------------------------------------------------- */

/* Orders the VMs that may move to a destination pool: VMs of the spare pool
 * first, then by the number of the destination pool's VMs in the VM's rack,
 * fewest first, then by the surplus of the VM's own pool, largest first. */
static int
compare_sources(const void *left, const void *right)
{
    const Source *a = left;
    const Source *b = right;
    if (a->spare != b->spare) {
        return b->spare - a->spare;
    }
    if (a->rack != b->rack) {
        return a->rack - b->rack;
    }
    if (a->surplus != b->surplus) {
        return b->surplus - a->surplus;
    }
    return strcmp(a->vm->id, b->vm->id);
}

/* Adds the VMs of a pool to the counts per rack in place->racks (step 1) or
 * subtracts them (step -1); with step 1 returns the largest count of a
 * rack. */
static int
count_racks(Placement *place, const PoolEntry *pool, int step)
{
    int largest = 0;
    AqList_ForEach(at, &pool->vms)
    {
        const VmEntry *vm = AqList_Entry(at, VmEntry, link);
        place->racks[vm->rack] += step;
        largest = place->racks[vm->rack] > largest ? place->racks[vm->rack]
                                                   : largest;
    }
    return largest;
}

/* Fills place->sources with the VMs that may move to the pool "to" and returns
 * their number.  VMs of the spare pool come first, then VMs in racks with few
 * VMs of the pool "to", then VMs of pools with a large surplus. */
static int
collect_sources(Placement *place, const PoolEntry *to,
                const GPtrArray *pool_list)
{
    int count = 0;
    for (guint i = 0; i < pool_list->len; i++) {
        const PoolEntry *from = pool_list->pdata[i];
        int surplus = surplus_of(place, from);
        if (from == to || plan_headroom(place->step, from) == 0) {
            continue;
        }
        AqList_ForEach(at, &from->vms)
        {
            const VmEntry *vm = AqList_Entry(at, VmEntry, link);
            if ((surplus > 0 || !vm->matches_selector) &&
                is_movable(place, vm) &&
                selector_matches(to->selector,
                                 json_object_get(vm->record, "labels"))) {
                place->sources[count++] = (Source){vm, is_spare(from), surplus,
                                                   place->racks[vm->rack]};
            }
        }
    }
    qsort(place->sources, (size_t)count, sizeof(Source), compare_sources);
    return count;
}

/* Whether a move of the VM of "source" to the pool "to" leaves that pool's
 * deficit unchanged: the VM is in the pool's fullest rack, so the move also
 * raises the buffer target (VMs that the pool should have above min_serving).
 * "largest" is the number of the pool's VMs in its fullest rack. */
static bool
cannot_reduce_deficit(const Placement *place, const PoolEntry *to,
                      const Source *source, int largest)
{
    const PoolPlan *plan = &place->step->pools[to->number];
    return plan->capacity_vms >= to->min_serving &&
           place->racks[source->vm->rack] >= largest && largest > 0 &&
           plan->needed_vms < 2 * to->min_serving;
}

/* Begins moves of VMs to the pool "to" until its deficit is filled, no further
 * VM may move to it, or the planner step has begun STEP_MOVES_MAX moves or has
 * STEP_UPSERTS_MAX upserts. */
static void
fill_pool(Placement *place, const PoolEntry *to)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    int largest = count_racks(place, to, 1);
    int count = collect_sources(place, to, pools);
    for (int i = 0; i < count && surplus_of(place, to) < 0 &&
                    place->moves < STEP_MOVES_MAX;
         i++) {
        const Source *source = &place->sources[i];
        const PoolEntry *from = source->vm->pool;
        if (!is_movable(place, source->vm) ||
            (source->vm->matches_selector && surplus_of(place, from) <= 0) ||
            cannot_reduce_deficit(place, to, source, largest)) {
            continue;
        }
        if (!start_move(place, source->vm, to)) {
            break;
        }
    }
    count_racks(place, to, -1);
}

static int
compare_deficits(const void *left, const void *right, void *context)
{
    const PoolEntry *a = *(PoolEntry *const *)left;
    const PoolEntry *b = *(PoolEntry *const *)right;
    int d = surplus_of(context, a) - surplus_of(context, b);
    return d != 0 ? d : strcmp(a->name, b->name);
}

/* Whether moves to a pool in deficit are due.  A pool with capacity below
 * min_serving gets VMs at once.  When only the pool's buffer is short, the
 * missing VMs often return within minutes: at the design size of 900 VMs,
 * filling the buffer at once takes 20 moves a day, and filling it after a
 * delay of IMBALANCE_MIN_MS takes 3. */
static bool
is_fill_due(const Placement *place, const PoolEntry *pool)
{
    bool persisted = has_persisted(place, place->step->planner->deficit, pool,
                                   surplus_of(place, pool) < 0);
    return persisted ||
           place->step->pools[pool->number].capacity_vms < pool->min_serving;
}

static void
fill_deficits(Placement *place)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    GPtrArray *deficits = g_ptr_array_new();
    for (guint i = 0; i < pools->len; i++) {
        if (is_fill_due(place, pools->pdata[i])) {
            g_ptr_array_add(deficits, pools->pdata[i]);
        }
    }
    g_ptr_array_sort_with_data(deficits, compare_deficits, place);
    for (guint i = 0; i < deficits->len && place->moves < STEP_MOVES_MAX;
         i++) {
        fill_pool(place, deficits->pdata[i]);
    }
    g_ptr_array_free(deficits, TRUE);
}

/* ---- Pools in surplus ------------------------------------------------- */

/* Begins moves of VMs from a pool to the spare pool.  Moves all VMs that the
 * pool's selector no longer matches.  If the pool's surplus has lasted for
 * imbalance_min_ms ("persisted"), also moves VMs in the pool's fullest racks
 * until the surplus is at most tolerated_surplus_vms. */
static void
release_pool_surplus(Placement *place, const PoolEntry *pool, bool persisted)
{
    const PoolEntry *spare = index_pool(place->step->fleet, SPARE_POOL);
    int largest = count_racks(place, pool, 1);
    for (int rack = largest; rack > 0 && place->moves < STEP_MOVES_MAX;
         rack--) {
        AqList_ForEach(at, &pool->vms)
        {
            const VmEntry *vm = AqList_Entry(at, VmEntry, link);
            bool is_released =
                !vm->matches_selector ||
                (persisted && place->racks[vm->rack] == rack &&
                 surplus_of(place, pool) > place->tolerated_surplus_vms);
            if (is_released && place->moves < STEP_MOVES_MAX &&
                is_movable(place, vm) && !start_move(place, vm, spare)) {
                break;
            }
        }
    }
    count_racks(place, pool, -1);
}

static bool
has_mismatch(const PoolEntry *pool)
{
    AqList_ForEach(at, &pool->vms)
    {
        if (!AqList_Entry(at, VmEntry, link)->matches_selector) {
            return true;
        }
    }
    return false;
}

static void
release_surpluses(Placement *place)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    for (guint i = 0; i < pools->len; i++) {
        const PoolEntry *pool = pools->pdata[i];
        if (is_spare(pool)) {
            continue;
        }
        bool persisted = has_persisted(
            place, place->step->planner->surplus, pool,
            surplus_of(place, pool) > place->tolerated_surplus_vms);
        if (persisted || has_mismatch(pool)) {
            release_pool_surplus(place, pool, persisted);
        }
    }
}

void
plan_placement(PlanStep *step)
{
    const AqFleet *fleet = step->fleet;
    int buffer, moves, time;
    buffer_weights(fleet, &buffer, &moves, &time);
    Placement place = {
        .step = step,
        .tolerated_surplus_vms = TOLERATED_SURPLUS_VMS * moves / 5,
        .imbalance_min_ms = (int64_t)IMBALANCE_MIN_MS * moves / 5,
        .min_stay_ms = (int64_t)MIN_STAY_MS * moves / 5};
    place.tolerated_surplus_vms =
        place.tolerated_surplus_vms < 1 ? 1 : place.tolerated_surplus_vms;
    if ((fleet->disabled & FLEET_DISABLE_HYSTERESIS) != 0) {
        place.tolerated_surplus_vms = 0;
        place.imbalance_min_ms = 0;
        place.min_stay_ms = 0;
    }
    count_capacity(&place);
    if (!step->hold) {
        place.racks =
            g_new0(int, g_hash_table_size(fleet->interned_names) + 1);
        place.sources = g_new(Source, fleet->vm_order->len + 1);
        fill_deficits(&place);
        release_surpluses(&place);
        g_free(place.racks);
        g_free(place.sources);
    }
}
