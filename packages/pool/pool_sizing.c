#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_sizing.h"
#include "pool_machines_private.h"

enum {
    LOG_EVERY_MS = 1000,
    LIST_FRESH_MS = 400, /* a list is good for choosing spare VMs */
    ASK_MS = 6000 /* a VM that has not moved by then is left where it is */
};

/* Whether nothing else is under way with the VM. */
static bool
is_free(const PoolMachines *self, const char *machine)
{
    return machines_find_plan(self, machine) == NULL &&
           !wave_table_has(self->waves, machine, AQ_WAVE_BEGUN);
}

static void
give(PoolMachines *self, size_t count)
{
    /* The VMs are sorted by what runs there. */
    for (guint i = 0; i < self->vms->len && count > 0; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        bool is_just_idle =
            vm->tasks == 0 &&
            machines_now(self) - vm->idle_since < AQ_SIZING_IDLE_MS;
        if (!vm->is_usable || vm->perpetual > 0 || is_just_idle ||
            !is_free(self, vm->machine)) {
            continue;
        }
        machines_cordon(self, vm, PLAN_RELEASE, "surplus");
        count--;
    }
}

/* Asks for the moves of VMs that have become empty; while work waits, those
 * that have not serve on. */
static void
follow_given(PoolMachines *self, bool does_work_wait)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    GList *plans = g_hash_table_get_values(self->plans);
    for (GList *at = plans; at != NULL; at = at->next) {
        Plan *plan = at->data;
        if (plan->kind != PLAN_RELEASE || plan->phase != VM_CORDONED) {
            continue;
        }
        if (does_work_wait) {
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

/* Whether the VM is off in the spare pool and free to be taken. */
static bool
is_spare_vm(const PoolMachines *self, const AqMachine *machine,
            const char *spare)
{
    return strcmp(machine->pool, spare) == 0 &&
           machine->state == AQ_MACHINE_UP && is_free(self, machine->machine);
}

/* Takes up to "count" VMs whose maintenance is due, or is not; returns how
 * many are still wanted. */
static size_t
take_some(PoolMachines *self, const char *spare, bool is_due, size_t count)
{
    /* Owners that take at the same time begin at different places. */
    size_t offset = g_str_hash(self->pool);
    for (guint i = 0; i < self->list->len && count > 0; i++) {
        const AqMachine *machine = &g_array_index(
            self->list, AqMachine, (i + offset) % self->list->len);
        if (!is_spare_vm(self, machine, spare) ||
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

static void
take(PoolMachines *self, const AqSizingDecision *decision, const char *spare)
{
    if (!machines_need_list(self, LIST_FRESH_MS)) {
        return;
    }
    /* A VM that is due has its maintenance better while it is off. */
    size_t left = take_some(self, spare, false, decision->acquire_vms);
    left = take_some(self, spare, true, left);
    set_requested_vms(self,
                      decision->needed_vms - (decision->acquire_vms - left));
}

/* Whether a move has ended: the VM has come, or gone, or will not. */
static bool
is_move_over(const PoolMachines *self, const Plan *plan, const char *spare)
{
    if (plan->kind == PLAN_RELEASE && plan->phase == VM_CORDONED) {
        return machines_is_incarnation_over(self, plan->vm);
    }
    if (machines_now(self) - plan->since > ASK_MS) {
        return true;
    }
    if (plan->kind == PLAN_RELEASE) {
        return plan->is_ordered ||
               machines_is_incarnation_over(self, plan->vm);
    }
    const VmCopy *vm = machines_find_vm(self, plan->machine);
    const AqMachine *listed = machines_find_listed(self, plan->machine);
    bool went_elsewhere = listed != NULL && self->listed_at > plan->since &&
                          strcmp(listed->pool, self->pool) != 0 &&
                          strcmp(listed->pool, spare) != 0;
    return (vm != NULL && vm->is_usable) || went_elsewhere;
}

static void
end_moves(PoolMachines *self, const char *spare)
{
    GList *plans = g_hash_table_get_values(self->plans);
    for (GList *at = plans; at != NULL; at = at->next) {
        const Plan *plan = at->data;
        if (plan->kind != PLAN_MAINTENANCE &&
            is_move_over(self, plan, spare)) {
            machines_remove_plan(self, plan);
        }
    }
    g_list_free(plans);
}

static void
log_load(PoolMachines *self, const AqSizingInput *input,
         const AqSizingDecision *decision, size_t jobs, size_t idle)
{
    if (machines_now(self) < self->log_due) {
        return;
    }
    self->log_due = machines_now(self) + LOG_EVERY_MS;
    AqLog_Event(AQ_LOG_INFO, "pool_load",
                "pool=%s jobs=%zu vms=%zu idle=%zu lasting=%zu coming=%zu "
                "used_cpu=%lld ready_cpu=%lld offered_cpu=%lld room_cpu=%lld "
                "wait_ms=%lld take=%zu give=%zu",
                self->pool, jobs, input->usable_vms, idle,
                input->perpetual_vms, input->pending_vms,
                (long long)input->used_cpu_millis,
                (long long)input->ready_cpu_millis,
                (long long)input->offered_cpu_millis,
                (long long)input->capacity_cpu_millis,
                (long long)input->longest_wait_ms, decision->acquire_vms,
                decision->release_vms);
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
    end_moves(self, spare);
    follow_given(self, load.ready_cpu_millis > 0);
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
    };
    size_t idle = 0;
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (!vm->is_usable) {
            continue;
        }
        input.usable_vms++;
        input.vm_cpu_millis = vm->cpu;
        input.perpetual_vms += vm->perpetual > 0;
        idle += vm->tasks == 0;
    }
    AqSizing_Decide(&input, &decision);
    log_load(self, &input, &decision, load.jobs, idle);
    if (decision.acquire_vms > 0) {
        take(self, &decision, spare);
        return;
    }
    set_requested_vms(self, 0);
    if (decision.release_vms > 0) {
        give(self, decision.release_vms);
    }
}
