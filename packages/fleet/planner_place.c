#include "planner.h"

#include <stdlib.h>
#include <string.h>

/* Section 7.2; all three grow with weights.moves / 5. */
#define SURPLUS_VMS 1
#define SURPLUS_MS (10 * 60 * 1000)
#define STAY_MS (30 * 60 * 1000)
/* Moves begun in one step; the rest follows in the next ones. */
#define STEP_MOVES 16

typedef struct {
    const VmEntry *vm;
    int spare;   /* 1: from the spare pool */
    int surplus; /* of its pool */
    int rack;    /* VMs of the destination in the same rack */
} Source;

typedef struct {
    PlanStep *step;
    int surplus_vms;
    int64_t surplus_ms;
    int64_t stay_ms;
    int moves;
    int *racks; /* VMs per rack of the destination, cleared after use */
    Source *sources;
} Placement;

static bool
is_held(const VmEntry *vm)
{
    return (vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED) &&
           vm->target == NULL && *vm->wave == '\0' && !vm->reboot;
}

static bool
is_spare(const PoolEntry *pool)
{
    return strcmp(pool->name, SPARE_POOL) == 0;
}

/* A VM that an operator holds drained for longer than a surplus must last is
 * no capacity any more.  VMs under reboot are: the buffer covers them. */
static void
count_capacity(Placement *place)
{
    PlanStep *step = place->step;
    const AqFleet *fleet = step->fleet;
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        if (vm->state == AQ_VM_FAILED || vm->state == AQ_VM_LEAVING ||
            (is_held(vm) && step->wall_ms - vm->since >= place->surplus_ms)) {
            continue;
        }
        const PoolEntry *pool = vm->target != NULL ? vm->target : vm->pool;
        step->pools[pool->number].capacity++;
    }
    for (guint i = 0; i < fleet->pool_order->len; i++) {
        PoolEntry *pool = fleet->pool_order->pdata[i];
        step->pools[i].need = pool->min_serving + buffer_target(fleet, pool);
    }
}

static int
surplus_of(const Placement *place, const PoolEntry *pool)
{
    const PoolPlan *plan = &place->step->pools[pool->number];
    return plan->capacity - plan->need;
}

/* Whether a VM may be moved at all now. */
static bool
is_movable(const Placement *place, const VmEntry *vm)
{
    const PlanStep *step = place->step;
    return vm->state == AQ_VM_SERVING && !step->is_changed[vm->number] &&
           (vm->moved == 0 || step->wall_ms - vm->moved >= place->stay_ms) &&
           plan_headroom(step, vm->pool) > 0;
}

static bool
start_move(Placement *place, const VmEntry *vm, const PoolEntry *to)
{
    PlanStep *step = place->step;
    json_t *next;
    if ((step->fleet->switches & FLEET_DISABLE_DRAIN) != 0) {
        next = vm_in_pool(vm, to->name, step->wall_ms);
    }
    else {
        next = vm_draining(step->fleet, vm, step->wall_ms);
        json_object_set_new(next, "target", json_string(to->name));
    }
    if (!plan_put_vm(step, vm, next, AQ_VM_DRAINING)) {
        return false;
    }
    step->pools[vm->pool->number].capacity--;
    step->pools[to->number].capacity++;
    place->moves++;
    return true;
}

/* Whether a condition has lasted long enough for a pool; "seen" remembers
 * when it was first met. */
static bool
has_lasted(const Placement *place, GHashTable *seen, const PoolEntry *pool,
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
    return now - *since >= place->surplus_ms;
}

/* ---- Pools in deficit ------------------------------------------------- */

/* Spare VMs first, then the largest surplus; among those the rack that the
 * destination uses least. */
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

/* Counts the VMs per rack (step 1) or clears the counts (step -1); returns
 * the largest count. */
static int
count_racks(Placement *place, const PoolEntry *pool, int step)
{
    int most = 0;
    AqList_ForEach(at, &pool->vms)
    {
        const VmEntry *vm = AqList_Entry(at, VmEntry, link);
        place->racks[vm->rack] += step;
        most = place->racks[vm->rack] > most ? place->racks[vm->rack] : most;
    }
    return most;
}

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
            if ((surplus > 0 || !vm->matches) && is_movable(place, vm) &&
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

/* Whether one more VM of this rack leaves the deficit as it is, because it
 * raises the largest rack share and with it the buffer target. */
static bool
is_useless(const Placement *place, const PoolEntry *to, const Source *source,
           int most)
{
    const PoolPlan *plan = &place->step->pools[to->number];
    return plan->capacity >= to->min_serving &&
           place->racks[source->vm->rack] >= most && most > 0 &&
           plan->need < 2 * to->min_serving;
}

static void
fill_pool(Placement *place, const PoolEntry *to)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    int most = count_racks(place, to, 1);
    int count = collect_sources(place, to, pools);
    for (int i = 0;
         i < count && surplus_of(place, to) < 0 && place->moves < STEP_MOVES;
         i++) {
        const Source *source = &place->sources[i];
        const PoolEntry *from = source->vm->pool;
        if (!is_movable(place, source->vm) ||
            (source->vm->matches && surplus_of(place, from) <= 0) ||
            is_useless(place, to, source, most)) {
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

/* A pool below its promise gets VMs at once.  When only its buffer is short,
 * the VMs that are away are often back within minutes: filling it at once
 * gave 20 moves a day at the design size, against 3. */
static bool
must_fill(const Placement *place, const PoolEntry *pool)
{
    bool lasted = has_lasted(place, place->step->planner->deficit, pool,
                             surplus_of(place, pool) < 0);
    return lasted ||
           place->step->pools[pool->number].capacity < pool->min_serving;
}

static void
fill_deficits(Placement *place)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    GPtrArray *missing = g_ptr_array_new();
    for (guint i = 0; i < pools->len; i++) {
        if (must_fill(place, pools->pdata[i])) {
            g_ptr_array_add(missing, pools->pdata[i]);
        }
    }
    g_ptr_array_sort_with_data(missing, compare_deficits, place);
    for (guint i = 0; i < missing->len && place->moves < STEP_MOVES; i++) {
        fill_pool(place, missing->pdata[i]);
    }
    g_ptr_array_free(missing, TRUE);
}

/* ---- Pools in surplus ------------------------------------------------- */

/* Gives the surplus over the hysteresis to the spare pool, from the fullest
 * racks; VMs that the pool's selector no longer takes go first. */
static void
empty_pool(Placement *place, const PoolEntry *pool, bool lasted)
{
    const PoolEntry *spare = index_pool(place->step->fleet, SPARE_POOL);
    int most = count_racks(place, pool, 1);
    for (int rack = most; rack > 0 && place->moves < STEP_MOVES; rack--) {
        AqList_ForEach(at, &pool->vms)
        {
            const VmEntry *vm = AqList_Entry(at, VmEntry, link);
            bool wanted =
                !vm->matches || (lasted && place->racks[vm->rack] == rack &&
                                 surplus_of(place, pool) > place->surplus_vms);
            if (wanted && place->moves < STEP_MOVES && is_movable(place, vm) &&
                !start_move(place, vm, spare)) {
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
        if (!AqList_Entry(at, VmEntry, link)->matches) {
            return true;
        }
    }
    return false;
}

static void
empty_surpluses(Placement *place)
{
    const GPtrArray *pools = place->step->fleet->pool_order;
    for (guint i = 0; i < pools->len; i++) {
        const PoolEntry *pool = pools->pdata[i];
        if (is_spare(pool)) {
            continue;
        }
        bool lasted = has_lasted(place, place->step->planner->surplus, pool,
                                 surplus_of(place, pool) > place->surplus_vms);
        if (lasted || has_mismatch(pool)) {
            empty_pool(place, pool, lasted);
        }
    }
}

void
plan_placement(PlanStep *step)
{
    const AqFleet *fleet = step->fleet;
    int buffer, moves, time;
    buffer_weights(fleet, &buffer, &moves, &time);
    Placement place = {.step = step,
                       .surplus_vms = SURPLUS_VMS * moves / 5,
                       .surplus_ms = (int64_t)SURPLUS_MS * moves / 5,
                       .stay_ms = (int64_t)STAY_MS * moves / 5};
    place.surplus_vms = place.surplus_vms < 1 ? 1 : place.surplus_vms;
    if ((fleet->switches & FLEET_DISABLE_HYSTERESIS) != 0) {
        place.surplus_vms = 0;
        place.surplus_ms = 0;
        place.stay_ms = 0;
    }
    count_capacity(&place);
    if (!step->hold) {
        place.racks = g_new0(int, g_hash_table_size(fleet->names) + 1);
        place.sources = g_new(Source, fleet->vm_order->len + 1);
        fill_deficits(&place);
        empty_surpluses(&place);
        g_free(place.racks);
        g_free(place.sources);
    }
}
