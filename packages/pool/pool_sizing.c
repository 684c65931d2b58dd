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
           !wave_book_has(self->waves, machine, AQ_WAVE_BEGUN);
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
        if (!vm->is_usable || vm->lasting > 0 || is_just_idle ||
            !is_free(self, vm->machine)) {
            continue;
        }
        machines_cordon(self, vm, PLAN_GIVE, "surplus");
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
        if (plan->kind != PLAN_GIVE || plan->phase != VM_CORDONED) {
            continue;
        }
        if (does_work_wait) {
            machines_remove_plan(self, plan);
        }
        else if (AqScheduler_IsIdle(s, plan->vm)) {
            machines_ask(self, plan);
        }
    }
    g_list_free(plans);
}

static void
set_wanted(PoolMachines *self, size_t wanted)
{
    if (wanted > AQ_ASKS_MAX) {
        wanted = AQ_ASKS_MAX;
    }
    self->are_asks_changed = self->are_asks_changed || self->wanted != wanted;
    self->wanted = wanted;
}

/* Whether the VM is off in the spare pool and free to be taken. */
static bool
is_spare_vm(const PoolMachines *self, const AqMachine *machine,
            const char *spare)
{
    return strcmp(machine->pool, spare) == 0 &&
           machine->state == AQ_MACHINE_UP && is_free(self, machine->machine);
}

/* Takes up to "count" VMs whose upkeep is due, or is not; returns how many
 * are still wanted. */
static size_t
take_some(PoolMachines *self, const char *spare, bool is_due, size_t count)
{
    /* Owners that take at the same time begin at different places. */
    size_t offset = g_str_hash(self->pool);
    for (guint i = 0; i < self->list->len && count > 0; i++) {
        const AqMachine *machine = &g_array_index(
            self->list, AqMachine, (i + offset) % self->list->len);
        if (!is_spare_vm(self, machine, spare) ||
            wave_book_has(self->waves, machine->machine, AQ_WAVE_WAITING) !=
                is_due) {
            continue;
        }
        AqLog_Event(AQ_LOG_INFO, "vm_taken",
                    "machine=%s pool=%s due=%d listed_ms_ago=%lld",
                    machine->machine, self->pool, is_due,
                    (long long)(machines_now(self) - self->listed_at));
        machines_ask(self,
                     machines_add_plan(self, machine->machine, "", PLAN_TAKE));
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
    /* A VM that is due has its upkeep better while it is off. */
    size_t left = take_some(self, spare, false, decision->take);
    left = take_some(self, spare, true, left);
    set_wanted(self, decision->need - (decision->take - left));
}

/* Whether a move has ended: the VM has come, or gone, or will not. */
static bool
is_move_over(const PoolMachines *self, const Plan *plan, const char *spare)
{
    if (plan->kind == PLAN_GIVE && plan->phase == VM_CORDONED) {
        return machines_is_life_over(self, plan->vm);
    }
    if (machines_now(self) - plan->since > ASK_MS) {
        return true;
    }
    if (plan->kind == PLAN_GIVE) {
        return plan->is_ordered || machines_is_life_over(self, plan->vm);
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
        if (plan->kind != PLAN_UPKEEP && is_move_over(self, plan, spare)) {
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
                self->pool, jobs, input->usable_vms, idle, input->lasting_vms,
                input->coming_vms, (long long)input->used_cpu_millis,
                (long long)input->ready_cpu_millis,
                (long long)input->offered_cpu_millis,
                (long long)input->room_cpu_millis,
                (long long)input->longest_wait_ms, decision->take,
                decision->give);
}

void
machines_sizes_round(PoolMachines *self, AqScheduler *s)
{
    const char *spare = machines_spare_pool(self);
    AqSchedulerLoad load;
    AqSizingDecision decision;
    AqTime now = machines_now(self);
    AqScheduler_GetLoad(s, now, &load);
    if (spare == NULL || strcmp(spare, self->pool) == 0 || !load.is_settled) {
        return;
    }
    end_moves(self, spare);
    follow_given(self, load.ready_cpu_millis > 0);
    AqSizingInput input = {
        .now = now,
        .used_cpu_millis = load.used_cpu_millis,
        .ready_cpu_millis = load.ready_cpu_millis,
        .lasting_cpu_millis = load.lasting_cpu_millis,
        .offered_cpu_millis = load.offered_cpu_millis,
        .longest_wait_ms = load.longest_wait_ms,
        .room_cpu_millis = load.room_cpu_millis,
        .coming_vms = machines_count_plans(self, PLAN_TAKE),
        .upkeep_vms = machines_count_plans(self, PLAN_UPKEEP),
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
        input.lasting_vms += vm->lasting > 0;
        idle += vm->tasks == 0;
    }
    AqSizing_Decide(&input, &decision);
    log_load(self, &input, &decision, load.jobs, idle);
    if (decision.take > 0) {
        take(self, &decision, spare);
        return;
    }
    set_wanted(self, 0);
    if (decision.give > 0) {
        give(self, decision.give);
    }
}
