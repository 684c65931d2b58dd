#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_sizing.h"
#include "pool_machines_private.h"

enum {
    LOG_INTERVAL_MS = 1000,
    /* Greatest age at which the platform's list of VMs is used to choose spare
     * VMs; an older list is requested again. */
    LIST_MAX_AGE_MS = 400,
    /* A request for the move of a VM is withdrawn if the move has not ended
     * after this time; the VM then stays in its pool. */
    MOVE_TIMEOUT_MS = 6000
};

/* Whether this pool's owner has no plan for the VM, and no wave has begun the
 * VM's maintenance. */
static bool
is_available(const PoolMachines *self, const char *machine)
{
    return machines_find_plan(self, machine) == NULL &&
           !wave_table_has(self->waves, machine, AQ_WAVE_BEGUN);
}

static void
release_vms(PoolMachines *self, size_t count)
{
    /* The VMs are sorted by load, idle ones first. */
    for (guint i = 0; i < self->vms->len && count > 0; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        bool is_recently_idle =
            vm->tasks == 0 &&
            machines_now(self) - vm->idle_since < AQ_SIZING_IDLE_MS;
        if (!vm->is_usable || vm->perpetual > 0 || is_recently_idle ||
            !is_available(self, vm->machine)) {
            continue;
        }
        machines_cordon(self, vm, PLAN_RELEASE, "surplus");
        count--;
    }
}

/* Requests the moves of VMs that were cordoned for release and are idle now.
 * While tasks wait to start, all VMs that are still cordoned for release
 * return to service instead. */
static void
advance_releases(PoolMachines *self, bool has_waiting_tasks)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    GList *plans = g_hash_table_get_values(self->plans);
    for (GList *at = plans; at != NULL; at = at->next) {
        Plan *plan = at->data;
        if (plan->kind != PLAN_RELEASE || plan->phase != VM_CORDONED) {
            continue;
        }
        if (has_waiting_tasks) {
            machines_remove_plan(self, plan);
        }
        else if (AqScheduler_IsIdle(s, plan->vm)) {
            machines_add_request(self, plan);
        }
    }
    g_list_free(plans);
}

static void
set_requested_vms(PoolMachines *self, size_t requested_vms)
{
    if (requested_vms > AQ_MACHINE_REQUESTS_MAX) {
        requested_vms = AQ_MACHINE_REQUESTS_MAX;
    }
    self->are_requests_changed =
        self->are_requests_changed || self->requested_vms != requested_vms;
    self->requested_vms = requested_vms;
}

/* Whether the VM is in the spare pool, neither moving nor in maintenance, and
 * is_available() returns true for it. */
static bool
is_acquirable(const PoolMachines *self, const AqMachine *machine,
              const char *spare)
{
    return strcmp(machine->pool, spare) == 0 &&
           machine->state == AQ_MACHINE_UP &&
           is_available(self, machine->machine);
}

/* Requests the moves of up to "count" VMs from the spare pool to this pool: if
 * "is_due" is set, of VMs that wait for their maintenance in a wave, otherwise
 * of other VMs.  Returns "count" less the number of moves requested. */
static size_t
acquire_listed_vms(PoolMachines *self, const char *spare, bool is_due,
                   size_t count)
{
    /* Start at an offset that depends on the pool, so that owners which
     * acquire VMs at the same time request different ones. */
    size_t offset = g_str_hash(self->pool);
    for (guint i = 0; i < self->list->len && count > 0; i++) {
        const AqMachine *machine = &g_array_index(
            self->list, AqMachine, (i + offset) % self->list->len);
        if (!is_acquirable(self, machine, spare) ||
            wave_table_has(self->waves, machine->machine, AQ_WAVE_WAITING) !=
                is_due) {
            continue;
        }
        AqLog_Event(AQ_LOG_INFO, "vm_taken",
                    "machine=%s pool=%s due=%d listed_ms_ago=%lld",
                    machine->machine, self->pool, is_due,
                    (long long)(machines_now(self) - self->listed_at));
        machines_add_request(
            self, machines_add_plan(self, machine->machine, "", PLAN_ACQUIRE));
        count--;
    }
    return count;
}

static size_t
count_spare_vms(const PoolMachines *self, const char *spare)
{
    size_t count = 0;
    for (guint i = 0; i < self->list->len; i++) {
        count += is_acquirable(self, &g_array_index(self->list, AqMachine, i),
                               spare);
    }
    return count;
}

static void
acquire_vms(PoolMachines *self, const AqSizingDecision *decision,
            const char *spare)
{
    if (!machines_ensure_list(self, LIST_MAX_AGE_MS)) {
        return;
    }
    /* VMs that wait for their maintenance in a wave are acquired last:
     * maintenance is better done while the VMs are powered off in the spare
     * pool. */
    size_t left =
        acquire_listed_vms(self, spare, false, decision->acquire_vms);
    left = acquire_listed_vms(self, spare, true, left);
    set_requested_vms(self,
                      decision->needed_vms - (decision->acquire_vms - left));
}

/* Whether a planned move of a VM has ended: the VM has arrived in this pool,
 * left this pool, or gone to a third one, or the move has timed out. */
static bool
is_move_ended(const PoolMachines *self, const Plan *plan, const char *spare)
{
    if (plan->kind == PLAN_RELEASE && plan->phase == VM_CORDONED) {
        return machines_is_incarnation_over(self, plan->vm);
    }
    if (machines_now(self) - plan->started_at > MOVE_TIMEOUT_MS) {
        return true;
    }
    if (plan->kind == PLAN_RELEASE) {
        return plan->is_ordered ||
               machines_is_incarnation_over(self, plan->vm);
    }
    const VmCopy *vm = machines_find_vm(self, plan->machine);
    const AqMachine *listed = machines_find_listed(self, plan->machine);
    bool is_in_third_pool = listed != NULL &&
                            self->listed_at > plan->started_at &&
                            strcmp(listed->pool, self->pool) != 0 &&
                            strcmp(listed->pool, spare) != 0;
    return (vm != NULL && vm->is_usable) || is_in_third_pool;
}

static void
remove_ended_moves(PoolMachines *self, const char *spare)
{
    GList *plans = g_hash_table_get_values(self->plans);
    for (GList *at = plans; at != NULL; at = at->next) {
        const Plan *plan = at->data;
        if (plan->kind != PLAN_MAINTENANCE &&
            is_move_ended(self, plan, spare)) {
            machines_remove_plan(self, plan);
        }
    }
    g_list_free(plans);
}

static void
log_load(PoolMachines *self, const AqSizingInput *input,
         const AqSizingDecision *decision, const AqSchedulerLoad *load,
         size_t idle)
{
    AqTime now = machines_now(self);
    AqTime busy = AqLoop_BusyTime(self->node->loop);
    if (now < self->next_log_at) {
        return;
    }
    AqTime passed = now - self->logged_at;
    AqTime busy_percent =
        passed > 0 ? (busy - self->logged_busy) * 100 / passed : 0;
    self->next_log_at = now + LOG_INTERVAL_MS;
    self->logged_at = now;
    self->logged_busy = busy;
    AqLog_Event(AQ_LOG_INFO, "pool_load",
                "pool=%s jobs=%zu vms=%zu idle=%zu lasting=%zu coming=%zu "
                "used_cpu=%lld ready_cpu=%lld offered_cpu=%lld room_cpu=%lld "
                "wait_ms=%lld starting=%u window=%u loop_busy=%lld take=%zu "
                "give=%zu",
                self->pool, load->jobs, input->usable_vms, idle,
                input->perpetual_vms, input->pending_vms,
                (long long)input->used_cpu_millis,
                (long long)input->ready_cpu_millis,
                (long long)input->offered_cpu_millis,
                (long long)input->capacity_cpu_millis,
                (long long)input->longest_wait_ms, load->starts_in_flight,
                load->start_window, (long long)busy_percent,
                decision->acquire_vms, decision->release_vms);
}

void
machines_sizing_round(PoolMachines *self, AqScheduler *s)
{
    const char *spare = machines_spare_pool(self);
    AqSchedulerLoad load;
    AqSizingDecision decision;
    AqTime now = machines_now(self);
    AqScheduler_GetLoad(s, now, &load);
    if (spare == NULL || strcmp(spare, self->pool) == 0 ||
        !load.is_recovered) {
        return;
    }
    remove_ended_moves(self, spare);
    advance_releases(self, load.ready_cpu_millis > 0);
    AqSizingInput input = {
        .now = now,
        .used_cpu_millis = load.used_cpu_millis,
        .ready_cpu_millis = load.ready_cpu_millis,
        .perpetual_cpu_millis = load.perpetual_cpu_millis,
        .offered_cpu_millis = load.offered_cpu_millis,
        .longest_wait_ms = load.longest_wait_ms,
        .capacity_cpu_millis = load.capacity_cpu_millis,
        .pending_vms = machines_count_plans(self, PLAN_ACQUIRE),
        .maintenance_vms = machines_count_plans(self, PLAN_MAINTENANCE),
        .widest_spread = load.widest_spread,
        .site_vms = self->list->len,
        .spare_vms = count_spare_vms(self, spare),
        .recent_crashes = load.recent_crashes,
    };
    size_t idle = 0;
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (!vm->is_usable) {
            continue;
        }
        input.usable_vms++;
        input.vm_cpu_millis = vm->cpu_millis;
        input.perpetual_vms += vm->perpetual > 0;
        idle += vm->tasks == 0;
    }
    pool_owner_set_arriving(self->owner,
                            (int64_t)input.pending_vms * input.vm_cpu_millis);
    AqSizing_Decide(&input, &decision);
    log_load(self, &input, &decision, &load, idle);
    if (decision.acquire_vms > 0) {
        acquire_vms(self, &decision, spare);
        return;
    }
    set_requested_vms(self, 0);
    if (decision.release_vms > 0) {
        release_vms(self, decision.release_vms);
    }
}
