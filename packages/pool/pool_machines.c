#include "pool_machines_private.h"

#include <stdlib.h>
#include <string.h>

#include "aq_log.h"

enum {
    ROUND_INTERVAL_MS = 100,
    /* Until the platform's first list of VMs is received, the list counts as
     * this old; so great an age that a list is requested at once. */
    LIST_INITIAL_AGE_MS = 60000,
    /* Age from which the platform's list is requested again while a VM doesn't
     * reply to orders. */
    SILENT_LIST_MAX_AGE_MS = 1000,
    /* When VMs are sorted by load, a perpetual task counts as this many
     * ordinary tasks. */
    PERPETUAL_TASK_WEIGHT = 100
};

AqTime
machines_now(const PoolMachines *self)
{
    return AqLoop_Now(self->node->loop);
}

static void
free_machines(PoolMachines *self)
{
    g_hash_table_destroy(self->plans);
    g_array_free(self->vms, TRUE);
    g_array_free(self->list, TRUE);
    g_array_free(self->wave_changes, TRUE);
    free(self);
}

bool
machines_end_call(PoolMachines *self)
{
    self->calls--;
    if (!self->is_dropped) {
        return true;
    }
    if (self->calls == 0) {
        free_machines(self);
    }
    return false;
}

/* ---- VMs and plans ------------------------------------------------------ */

static void
copy_vm(void *context, const AqScheduledVm *view)
{
    PoolMachines *self = context;
    VmCopy copy = {
        .born_ms = view->born_ms,
        .is_usable = view->is_usable,
        .is_answering = view->is_answering,
        .silent_since = view->silent_since,
        .tasks = view->tasks,
        .perpetual = view->perpetual_tasks,
        .cpu_millis = view->cpu_millis,
        .idle_since = view->idle_since,
    };
    g_strlcpy(copy.vm, view->vm, sizeof(copy.vm));
    g_strlcpy(copy.machine, view->machine, sizeof(copy.machine));
    g_array_append_val(self->vms, copy);
}

const VmCopy *
machines_find_vm(const PoolMachines *self, const char *machine)
{
    const VmCopy *found = NULL;
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (strcmp(vm->machine, machine) == 0 &&
            (found == NULL || vm->is_answering)) {
            found = vm;
        }
    }
    return found;
}

bool
machines_is_incarnation_over(const PoolMachines *self, const char *incarnation)
{
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (strcmp(vm->vm, incarnation) == 0) {
            return !vm->is_answering;
        }
    }
    return true;
}

static int
compare_vm_loads(const void *a, const void *b)
{
    const VmCopy *first = a;
    const VmCopy *second = b;
    size_t left = first->tasks + PERPETUAL_TASK_WEIGHT * first->perpetual;
    size_t right = second->tasks + PERPETUAL_TASK_WEIGHT * second->perpetual;
    if (left != right) {
        return left < right ? -1 : 1;
    }
    return strcmp(first->machine, second->machine);
}

Plan *
machines_find_plan(const PoolMachines *self, const char *machine)
{
    return g_hash_table_lookup(self->plans, machine);
}

Plan *
machines_add_plan(PoolMachines *self, const char *machine, const char *vm,
                  PlanKind kind)
{
    Plan *plan = calloc(1, sizeof(*plan));
    g_strlcpy(plan->machine, machine, sizeof(plan->machine));
    g_strlcpy(plan->vm, vm, sizeof(plan->vm));
    plan->kind = kind;
    plan->started_at = machines_now(self);
    g_hash_table_replace(self->plans, plan->machine, plan);
    return plan;
}

void
machines_remove_plan(PoolMachines *self, const Plan *plan)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (s != NULL && plan->vm[0] != '\0') {
        AqScheduler_SetCordon(s, plan->vm, false);
    }
    self->are_requests_changed =
        self->are_requests_changed || plan->request_number != 0;
    g_hash_table_remove(self->plans, plan->machine);
}

Plan *
machines_cordon(PoolMachines *self, const VmCopy *vm, PlanKind kind,
                const char *reason)
{
    Plan *plan = machines_add_plan(self, vm->machine, vm->vm, kind);
    plan->phase = VM_CORDONED;
    plan->born_ms = vm->born_ms;
    AqScheduler_SetCordon(pool_owner_scheduler(self->owner), vm->vm, true);
    AqLog_Event(AQ_LOG_INFO, "vm_cordoned",
                "vm=%s machine=%s pool=%s reason=%s tasks=%zu lasting=%zu",
                vm->vm, vm->machine, self->pool, reason, vm->tasks,
                vm->perpetual);
    return plan;
}

size_t
machines_count_plans(const PoolMachines *self, PlanKind kind)
{
    GHashTableIter iter;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iter, self->plans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += ((const Plan *)value)->kind == kind;
    }
    return count;
}

const char *
machines_spare_pool(const PoolMachines *self)
{
    return AqSiteConfig_SparePool(&self->node->site);
}

/* ---- The platform's list ------------------------------------------------ */

static void
on_list(void *context, const AqMachineList *list)
{
    PoolMachines *self = context;
    if (!machines_end_call(self)) {
        return;
    }
    self->is_listing = false;
    if (!list->is_whole) {
        self->listed_at += MACHINES_RETRY_MS;
        return;
    }
    g_array_set_size(self->list, 0);
    g_array_append_vals(self->list, list->machines, (guint)list->count);
    self->listed_at = machines_now(self);
    self->list_requested_at = self->listing_since;
}

static void
request_list(PoolMachines *self)
{
    if (!self->is_listing) {
        self->is_listing = true;
        self->listing_since = machines_now(self);
        self->calls++;
        self->node->machines->ops->list(self->node->machines, on_list, self);
    }
}

bool
machines_ensure_list(PoolMachines *self, AqTime max_age_ms)
{
    if (machines_now(self) - self->listed_at <= max_age_ms) {
        return true;
    }
    request_list(self);
    return false;
}

const AqMachine *
machines_find_listed(const PoolMachines *self, const char *machine)
{
    for (guint i = 0; i < self->list->len; i++) {
        const AqMachine *entry = &g_array_index(self->list, AqMachine, i);
        if (strcmp(entry->machine, machine) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* Whether the platform has ended the given incarnation of a VM because of an
 * order: the VM is being moved or maintained, or is up again as another
 * incarnation. */
static bool
is_replaced(const AqMachine *listed, const char *incarnation)
{
    return listed->state == AQ_MACHINE_MOVING ||
           listed->state == AQ_MACHINE_MAINTENANCE ||
           (listed->state == AQ_MACHINE_UP && listed->vm[0] != '\0' &&
            strcmp(listed->vm, incarnation) != 0);
}

/* What ended an incarnation that the list shows as replaced. */
static AqVmEnd
end_of(const PoolMachines *self, const AqMachine *listed)
{
    return listed->state == AQ_MACHINE_UP &&
                   strcmp(listed->pool, self->pool) == 0
               ? AQ_VM_CRASHED
               : AQ_VM_ENDED_BY_ORDER;
}

/* Reports VMs to the scheduler as ended whose incarnation the platform has
 * ended.  A VM that doesn't reply counts as running until the leases of its
 * tasks have expired; the platform's list shows earlier whether an order has
 * ended the VM's incarnation, for instance an order that an earlier owner of
 * the pool had requested. */
static void
end_replaced_vms(PoolMachines *self, AqScheduler *s)
{
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (vm->silent_since == AQ_TIME_NEVER || vm->machine[0] == '\0') {
            continue;
        }
        /* A list that was requested before the VM stopped replying may show
         * the VM as it was before this incarnation began. */
        if (self->list_requested_at <= vm->silent_since ||
            machines_now(self) - self->listed_at > SILENT_LIST_MAX_AGE_MS) {
            request_list(self);
            continue;
        }
        const AqMachine *listed = machines_find_listed(self, vm->machine);
        if (listed != NULL && is_replaced(listed, vm->vm)) {
            AqLog_Event(AQ_LOG_INFO, "vm_replaced",
                        "vm=%s machine=%s pool=%s now=%s state=%d "
                        "listed_ms_ago=%lld",
                        vm->vm, vm->machine, self->pool, listed->vm,
                        (int)listed->state,
                        (long long)(machines_now(self) - self->listed_at));
            AqScheduler_VmEnded(s, vm->vm, end_of(self, listed),
                                machines_now(self));
        }
    }
}

/* ---- Rounds ------------------------------------------------------------- */

void
pool_machines_round(PoolMachines *self, bool may_order)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (s == NULL || !may_order || self->node->machines == NULL ||
        machines_now(self) < self->next_round_at) {
        return;
    }
    self->next_round_at = machines_now(self) + ROUND_INTERVAL_MS;
    g_array_set_size(self->vms, 0);
    AqScheduler_EachVm(s, copy_vm, self);
    g_array_sort(self->vms, compare_vm_loads);
    end_replaced_vms(self, s);
    machines_maintenance_round(self);
    machines_sizing_round(self, s);
    machines_write_requests(self);
}

PoolMachines *
pool_machines_create(NodeContext *node, WaveTable *waves, PoolOwner *owner)
{
    PoolMachines *self = calloc(1, sizeof(*self));
    self->node = node;
    self->waves = waves;
    self->owner = owner;
    self->fence = pool_owner_fence(owner);
    self->listed_at = -LIST_INITIAL_AGE_MS;
    self->list_requested_at = -LIST_INITIAL_AGE_MS;
    self->logged_at = machines_now(self);
    self->logged_busy = AqLoop_BusyTime(node->loop);
    g_strlcpy(self->pool, pool_owner_pool(owner), sizeof(self->pool));
    self->plans = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    self->vms = g_array_new(FALSE, FALSE, sizeof(VmCopy));
    self->list = g_array_new(FALSE, FALSE, sizeof(AqMachine));
    self->wave_changes = machines_new_wave_changes();
    machines_watch_responses(self);
    return self;
}

void
pool_machines_drop(PoolMachines *self)
{
    self->is_dropped = true;
    prefix_view_destroy(self->responses);
    if (self->calls == 0) {
        free_machines(self);
    }
}
