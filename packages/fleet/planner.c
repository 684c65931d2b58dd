#include "planner.h"

#include <string.h>

/* A VM in state checking returns to service once its health checks have
 * succeeded for this time. */
#define MIN_HEALTHY_MS 5000
/* A rebooting VM that this planner has not seen down in the VM list counts as
 * rebooted when the VM is listed live this long after it entered state
 * rebooting.  Longer than the delay with which the VM list shows an outage. */
#define REBOOT_ASSUMED_DONE_MS (30 * 1000)

AqPlanner *
AqPlanner_Create(void)
{
    AqPlanner *planner = g_new0(AqPlanner, 1);
    planner->surplus =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    planner->deficit =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    planner->down =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return planner;
}

void
AqPlanner_Destroy(AqPlanner *planner)
{
    if (planner != NULL) {
        g_hash_table_destroy(planner->surplus);
        g_hash_table_destroy(planner->deficit);
        g_hash_table_destroy(planner->down);
        g_free(planner);
    }
}

bool
plan_put_vm(PlanStep *step, const VmEntry *vm, json_t *record, AqVmState state)
{
    PoolPlan *pool = &step->pools[vm->pool->number];
    bool served = vm->state == AQ_VM_SERVING;
    bool serves = state == AQ_VM_SERVING;
    /* Counts the VM in its new state even if its upsert no longer fits into
     * this step: a VM that has failed then at once reduces how many VMs the
     * pool's budget allows to be drained. */
    pool->serving += serves - served;
    pool->unavailable += served - serves;
    step->is_changed[vm->number] = 1;
    if (step->upserts >= STEP_UPSERTS_MAX) {
        json_decref(record);
        return false;
    }
    step->upserts++;
    set_put(step->set, AQ_REC_VM, vm->id, record);
    return true;
}

int
plan_headroom(const PlanStep *step, const PoolEntry *pool)
{
    const PoolPlan *plan = &step->pools[pool->number];
    if ((step->fleet->disabled & FLEET_DISABLE_BUDGET) != 0) {
        return plan->serving;
    }
    return budget_headroom(plan->serving, plan->unavailable, pool->min_serving,
                           pool->max_unavailable);
}

static Listing
listing_of(const PlanStep *step, const VmEntry *vm)
{
    const char *state = step->view->listed(step->context, vm->id);
    if (state == NULL) {
        return LISTED_ABSENT;
    }
    return strcmp(state, "live") == 0      ? LISTED_LIVE
           : strcmp(state, "leaving") == 0 ? LISTED_LEAVING
                                           : LISTED_DOWN;
}

static void
put_failed(PlanStep *step, const VmEntry *vm, Listing listing)
{
    json_t *next = vm_in_state(vm->record, AQ_VM_FAILED, step->wall_ms);
    vm_clear_plan(next);
    if (listing == LISTED_LIVE) {
        json_object_set_new(next, "retry",
                            json_integer(step->wall_ms + VM_RETRY_MS));
    }
    if (vm->state == AQ_VM_REBOOTING || vm->state == AQ_VM_CHECKING) {
        plan_wave_result(step, vm, next, false);
    }
    plan_put_vm(step, vm, next, AQ_VM_FAILED);
    step->hold = true;
}

/* Changes the state of a VM as its state in the platform's VM list ("listing")
 * requires; returns whether the VM changed. */
static bool
apply_listing(PlanStep *step, const VmEntry *vm, Listing listing)
{
    bool is_out_of_service =
        vm->state == AQ_VM_FAILED || vm->state == AQ_VM_LEAVING;
    if (!step->list_known) {
        return false;
    }
    if (listing == LISTED_LEAVING && vm->state != AQ_VM_LEAVING) {
        json_t *next = vm_in_state(vm->record, AQ_VM_LEAVING, step->wall_ms);
        vm_clear_plan(next);
        plan_put_vm(step, vm, next, AQ_VM_LEAVING);
        step->hold = true;
        return true;
    }
    if (listing == LISTED_LIVE && is_out_of_service &&
        step->wall_ms >= vm->retry_at_ms) {
        plan_put_vm(step, vm, vm_checking(vm, step->wall_ms), AQ_VM_CHECKING);
        return true;
    }
    /* A rebooting or checking VM may be down; VmEntry.deadline_ms
     * limits for how long. */
    if ((listing == LISTED_DOWN || listing == LISTED_ABSENT) &&
        (vm->state == AQ_VM_SERVING || vm->state == AQ_VM_DRAINING ||
         vm->state == AQ_VM_DRAINED)) {
        put_failed(step, vm, listing);
        return true;
    }
    return false;
}

/* Whether an entry of AqPlanner.down is obsolete: the VM is no longer in the
 * reboot during which the VM list showed it down.  For
 * g_hash_table_foreach_remove. */
static gboolean
is_outage_obsolete(void *id, void *since, void *fleet)
{
    const VmEntry *vm = index_vm(fleet, id);
    return vm == NULL || vm->state != AQ_VM_REBOOTING ||
           vm->since_ms != *(const int64_t *)since;
}

/* Whether a rebooting VM is listed live, either after the VM list has shown it
 * as not live or REBOOT_ASSUMED_DONE_MS after it entered state rebooting.  The
 * VM's entry in AqPlanner.down stays, since a planner step is evaluated once
 * more before its commit and after a conflict, and each evaluation must have
 * the same result. */
static bool
is_back_from_reboot(PlanStep *step, const VmEntry *vm, Listing listing)
{
    GHashTable *down = step->planner->down;
    const int64_t *seen = g_hash_table_lookup(down, vm->id);
    if (listing == LISTED_LIVE) {
        if ((seen == NULL || *seen != vm->since_ms) &&
            step->wall_ms - vm->since_ms < REBOOT_ASSUMED_DONE_MS) {
            return false;
        }
        return true;
    }
    if (step->list_known && (seen == NULL || *seen != vm->since_ms)) {
        int64_t *since = g_new(int64_t, 1);
        *since = vm->since_ms;
        g_hash_table_replace(down, g_strdup(vm->id), since);
    }
    return false;
}

/* Advances a VM in state rebooting or checking to its next state, if that is
 * due: checking, serving, or failed after deadline_ms. */
static void
advance_reboot(PlanStep *step, const VmEntry *vm, Listing listing)
{
    if (step->wall_ms >= vm->deadline_ms) {
        put_failed(step, vm, listing);
        return;
    }
    if (vm->state == AQ_VM_REBOOTING) {
        if (is_back_from_reboot(step, vm, listing)) {
            plan_put_vm(step, vm, vm_checking(vm, step->wall_ms),
                        AQ_VM_CHECKING);
        }
        else {
            json_array_append_new(step->reboots, json_string(vm->id));
        }
    }
    else if ((listing == LISTED_LIVE || !step->list_known) &&
             step->view->healthy_for(step->context, vm->id, MIN_HEALTHY_MS)) {
        json_t *next = vm_serving(vm, step->wall_ms);
        plan_wave_result(step, vm, next, true);
        plan_put_vm(step, vm, next, AQ_VM_SERVING);
        return;
    }
    plan_wave_add_in_progress(step, vm);
}

static void
put_rebooting(PlanStep *step, const VmEntry *vm)
{
    json_t *next = vm_in_state(vm->record, AQ_VM_REBOOTING, step->wall_ms);
    json_object_set_new(next, "due",
                        json_integer(step->wall_ms + WAVE_RETURN_LIMIT_MS));
    if (plan_put_vm(step, vm, next, AQ_VM_REBOOTING)) {
        /* The next planner step requests the reboot from the platform, once
         * this step's commit has succeeded. */
        plan_wave_add_in_progress(step, vm);
    }
}

/* Advances a VM in state draining or drained to its next state, if that is
 * due: drained, rebooting, or serving. */
static void
advance_drain(PlanStep *step, const VmEntry *vm)
{
    WavePlan *wave = plan_wave(step, vm->wave);
    if (*vm->wave != '\0' && (wave == NULL || !wave->running)) {
        plan_put_vm(step, vm, vm_serving(vm, step->wall_ms), AQ_VM_SERVING);
        return;
    }
    if (vm->state == AQ_VM_DRAINING) {
        plan_wave_add_in_progress(step, vm);
        if (step->view->in_flight(step->context, vm->id, vm->drain_version) ==
            0) {
            json_t *next =
                vm_in_state(vm->record, AQ_VM_DRAINED, step->wall_ms);
            plan_put_vm(step, vm, next, AQ_VM_DRAINED);
        }
    }
    else if (vm->target_pool != NULL) {
        json_t *next = vm_in_pool(vm, vm->target_pool->name, step->wall_ms);
        if (plan_put_vm(step, vm, next, AQ_VM_DRAINED)) {
            step->pools[vm->pool->number].unavailable--;
            step->pools[vm->target_pool->number].serving++;
        }
    }
    else if (vm->is_reboot_planned || *vm->wave != '\0') {
        put_rebooting(step, vm);
    }
}

static void
step_init(PlanStep *step)
{
    const AqFleet *fleet = step->fleet;
    step->pools = g_new0(PoolPlan, fleet->pool_order->len);
    step->is_changed = g_new0(unsigned char, fleet->vm_order->len + 1);
    for (guint i = 0; i < fleet->pool_order->len; i++) {
        const PoolEntry *pool = fleet->pool_order->pdata[i];
        step->pools[i].serving = pool_serving(pool);
        step->pools[i].unavailable = pool_unavailable(pool);
        step->pools[i].active_zone = ZONE_NONE;
    }
    plan_waves_load(step);
}

/* Advances all VMs.  First applies the VM list to all VMs and advances the
 * rebooting and checking VMs, since a failure of one of these may stop a
 * wave.  Then advances the draining and drained VMs: a VM whose wave no longer
 * runs returns to service. */
static void
advance_vms(PlanStep *step)
{
    const GPtrArray *vms = step->fleet->vm_order;
    Listing *listings = g_new(Listing, vms->len + 1);
    for (guint i = 0; i < vms->len; i++) {
        listings[i] = listing_of(step, vms->pdata[i]);
        step->list_known |= listings[i] != LISTED_ABSENT;
    }
    for (guint i = 0; i < vms->len; i++) {
        const VmEntry *vm = vms->pdata[i];
        if (!apply_listing(step, vm, listings[i]) &&
            (vm->state == AQ_VM_REBOOTING || vm->state == AQ_VM_CHECKING)) {
            advance_reboot(step, vm, listings[i]);
        }
    }
    for (guint i = 0; i < vms->len; i++) {
        const VmEntry *vm = vms->pdata[i];
        if (!step->is_changed[i] &&
            (vm->state == AQ_VM_DRAINING || vm->state == AQ_VM_DRAINED)) {
            advance_drain(step, vm);
        }
    }
    g_free(listings);
}

void
AqPlanner_Step(AqPlanner *planner, const AqFleet *fleet, int64_t wall_ms,
               const AqPlannerView *view, void *context, json_t *set,
               json_t *reboots)
{
    PlanStep step = {.planner = planner,
                     .fleet = fleet,
                     .wall_ms = wall_ms,
                     .view = view,
                     .context = context,
                     .set = set,
                     .reboots = reboots};
    g_hash_table_foreach_remove(planner->down, is_outage_obsolete,
                                (void *)fleet);
    step_init(&step);
    advance_vms(&step);
    /* Without a VM list it is not known which VMs have failed, so the step
     * begins no drains of VMs. */
    step.hold |= !step.list_known;
    plan_waves_run(&step);
    if ((fleet->disabled & FLEET_DISABLE_PLACEMENT) == 0) {
        plan_placement(&step);
    }
    plan_waves_finish(&step);
    g_free(step.pools);
    g_free(step.is_changed);
}
