#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "pool_machines_private.h"

enum {
    /* Greatest age at which the platform's list of VMs is used to look up VMs
     * that no scheduler has; an older list is requested again. */
    LIST_MAX_AGE_MS = 800,
    /* A VM that replies to orders this long after its maintenance order was
     * accepted has returned to service, even with the same incarnation. */
    WAVE_RETURN_LIMIT_MS = 4000
};

/* ---- Record ------------------------------------------------------------- */

/* A new state of one VM of a wave, for the next write of the wave's record. */
typedef struct {
    size_t at; /* position of the VM in the wave */
    /* The VM's state before the change, as in the wave's record last read. */
    AqWaveState before;
} WaveChange;

static void
on_wave_written(void *context, AqStoreStatus status)
{
    PoolMachines *self = context;
    GHashTableIter iter;
    gpointer value;
    if (!machines_end_call(self)) {
        return;
    }
    self->is_writing_wave = false;
    g_hash_table_iter_init(&iter, self->plans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Plan *plan = value;
        if (plan->phase != VM_CLAIMING) {
            continue;
        }
        if (status == AQ_STORE_OK) {
            machines_add_request(self, plan);
        }
        else {
            plan->phase = VM_CORDONED;
            plan->retry_at = machines_now(self) + MACHINES_RETRY_MS;
        }
    }
}

/* Sets a new state of the VM at position "at" of a wave; all new states are
 * written together at the end of the round.  Returns false and changes nothing
 * while a write of a wave's record is in progress. */
static bool
stage_wave_state(PoolMachines *self, WaveEntry *entry, size_t at,
                 AqWaveState state)
{
    WaveChange change = {at, AqWave_State(entry->wave, at)};
    if (self->is_writing_wave) {
        return false;
    }
    AqLog_Event(AQ_LOG_INFO, "wave_state",
                "wave=%lld machine=%s state=%d pool=%s index=%llu",
                (long long)AqWave_Number(entry->wave),
                AqWave_Machine(entry->wave, at), (int)state, self->pool,
                (unsigned long long)entry->record_index);
    AqWave_Set(entry->wave, at, state);
    g_array_append_val(self->wave_changes, change);
    return true;
}

static void
commit_wave_record(PoolMachines *self, const WaveEntry *entry)
{
    char name[32];
    AqBuffer record;
    AqBuffer status_key;
    AqBuffer status;
    AqBuffer_Init(&record);
    AqBuffer_Init(&status_key);
    AqBuffer_Init(&status);
    snprintf(name, sizeof(name), "%lld",
             (long long)AqWave_Number(entry->wave));
    AqWave_Encode(entry->wave, &record);
    AqPlatform_WaveStatus(AqWave_Number(entry->wave),
                          AqWave_IsOver(entry->wave), &status_key, &status);
    AqStoreExpect expect = {key_of(KEY_WAVE, name), entry->record_index};
    AqStorePut puts[] = {
        {expect.key, AqBuffer_Text(&record), record.size, 0},
        {AqBuffer_Text(&status_key), AqBuffer_Text(&status), status.size, 0},
    };
    self->is_writing_wave = true;
    self->calls++;
    owner_writer_commit(pool_owner_writer(self->owner), &expect, 1, puts, 2,
                        on_wave_written, self);
    AqBuffer_Clear(&record);
    AqBuffer_Clear(&status_key);
    AqBuffer_Clear(&status);
}

/* Writes this round's changes of VM states to the wave's record in one call
 * and undoes them in the wave table's copy of the record, which is changed
 * only when the written record is received from the store. */
static void
write_wave_changes(PoolMachines *self, const WaveEntry *entry)
{
    if (self->wave_changes->len == 0) {
        return;
    }
    commit_wave_record(self, entry);
    for (guint i = self->wave_changes->len; i-- > 0;) {
        const WaveChange *change =
            &g_array_index(self->wave_changes, WaveChange, i);
        AqWave_Set(entry->wave, change->at, change->before);
    }
    g_array_set_size(self->wave_changes, 0);
}

GArray *
machines_new_wave_changes(void)
{
    return g_array_new(FALSE, FALSE, sizeof(WaveChange));
}

/* ---- Rounds ------------------------------------------------------------- */

/* Requests the maintenance of an idle VM if the wave's record shows this
 * maintenance as begun.  Otherwise, if fewer VMs than the wave's cap have
 * begun maintenance, adds the VM's state "begun" to the next write of the
 * record; on_wave_written() then requests the maintenance. */
static void
request_maintenance(PoolMachines *self, WaveEntry *entry, size_t at,
                    Plan *plan)
{
    plan->wave = AqWave_Number(entry->wave);
    if (plan->retry_at > machines_now(self)) {
        return;
    }
    if (AqWave_State(entry->wave, at) == AQ_WAVE_BEGUN) {
        machines_add_request(self, plan);
    }
    else if (AqWave_HasSlot(entry->wave) &&
             stage_wave_state(self, entry, at, AQ_WAVE_BEGUN)) {
        plan->phase = VM_CLAIMING;
    }
}

/* Whether this pool's owner maintains the VMs that no scheduler has: VMs
 * that are off, and VMs that no longer exist.  That is the task of the
 * owner of the spare pool or, without a spare pool, of the first pool in
 * the configuration. */
static bool
maintains_unscheduled_vms(const PoolMachines *self)
{
    const char *spare = machines_spare_pool(self);
    const AqSiteConfig *site = &self->node->site;
    if (spare == NULL && site->pool_count > 0) {
        spare = site->pools[0].name;
    }
    return spare != NULL && strcmp(spare, self->pool) == 0;
}

typedef struct {
    PoolMachines *self;
    /* Number of VMs of the wave in this pool whose maintenance has not begun.
     */
    size_t waiting;
} WaveRound;

/* Returns a VM to service after its maintenance and writes the VM to the
 * wave's record as done.  Called in every round until the record shows the VM
 * as done, so that a failed write is repeated. */
static void
record_maintenance_done(WaveRound *round, WaveEntry *entry, size_t at,
                        Plan *plan)
{
    PoolMachines *self = round->self;
    if (plan->phase != VM_RETURNED) {
        plan->phase = VM_RETURNED;
        AqScheduler_SetCordon(pool_owner_scheduler(self->owner), plan->vm,
                              false);
    }
    if (plan->retry_at <= machines_now(self) &&
        stage_wave_state(self, entry, at, AQ_WAVE_DONE)) {
        plan->retry_at = machines_now(self) + MACHINES_RETRY_MS;
    }
}

/* Advances the maintenance of a VM that this owner of the pool or an earlier
 * one has begun. */
static void
advance_begun_vm(WaveRound *round, WaveEntry *entry, size_t at)
{
    PoolMachines *self = round->self;
    const char *machine = AqWave_Machine(entry->wave, at);
    const VmCopy *vm = machines_find_vm(self, machine);
    Plan *plan = machines_find_plan(self, machine);
    if (plan == NULL) {
        if (vm != NULL && vm->is_usable) {
            /* An earlier owner has begun the VM's maintenance but may not have
             * requested the order for it.  Request the order again; this has
             * no effect if the maintenance was ordered before. */
            machines_cordon(self, vm, PLAN_MAINTENANCE, "wave_taken_over");
        }
        return;
    }
    if (plan->kind != PLAN_MAINTENANCE) {
        return; /* the VM is moving; its maintenance is done after that */
    }
    if (plan->phase == VM_CORDONED) {
        bool is_empty =
            plan->vm[0] == '\0' || vm == NULL ||
            AqScheduler_IsIdle(pool_owner_scheduler(self->owner), plan->vm);
        if (is_empty) {
            request_maintenance(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_RETURNED) {
        record_maintenance_done(round, entry, at, plan);
        return;
    }
    if (plan->phase != VM_REQUESTED || vm == NULL || !plan->is_ordered) {
        return;
    }
    /* If an earlier owner's order was carried out, the repeated order has no
     * effect and the VM keeps its incarnation, so its return to service is
     * recognized by the time since the order. */
    bool is_new_incarnation =
        (strcmp(vm->vm, plan->vm) != 0 || vm->born_ms > plan->born_ms) &&
        vm->is_usable;
    bool is_recovered =
        machines_now(self) - plan->ordered_at > WAVE_RETURN_LIMIT_MS &&
        vm->is_answering;
    if (is_new_incarnation || is_recovered) {
        record_maintenance_done(round, entry, at, plan);
    }
}

/* Removes the maintenance plan for a VM that the wave's record shows as done
 * or gone. */
static void
remove_ended_plan(PoolMachines *self, const WaveEntry *entry, size_t at)
{
    const Plan *plan =
        machines_find_plan(self, AqWave_Machine(entry->wave, at));
    if (plan != NULL && plan->kind == PLAN_MAINTENANCE) {
        machines_remove_plan(self, plan);
    }
}

/* Requests the maintenance of a cordoned VM once the VM is idle; stops the
 * VM's tasks when too little of the wave's time is left to wait for their
 * end. */
static void
advance_cordoned_vm(WaveRound *round, WaveEntry *entry, size_t at, Plan *plan,
                    const VmCopy *vm)
{
    PoolMachines *self = round->self;
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (vm == NULL || strcmp(vm->vm, plan->vm) != 0) {
        /* The incarnation that was cordoned has ended. */
        machines_remove_plan(self, plan);
        return;
    }
    if (AqScheduler_IsIdle(s, plan->vm)) {
        request_maintenance(self, entry, at, plan);
    }
    else if (AqWave_MustStopTasks(entry->wave, round->waiting,
                                  plan->started_at, machines_now(self))) {
        AqScheduler_StopTasks(s, plan->vm, machines_now(self));
    }
}

/* Counts the VMs of this pool that wait for their maintenance in a wave. */
static size_t
count_waiting(const PoolMachines *self, const WaveEntry *entry)
{
    size_t count = 0;
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        count +=
            AqWave_State(entry->wave, i) == AQ_WAVE_WAITING &&
            machines_find_vm(self, AqWave_Machine(entry->wave, i)) != NULL;
    }
    return count;
}

/* Cordons VMs of the pool for their maintenance in the wave: as many as the
 * pool can do without at a time, and up to two more VMs that are idle. */
static void
cordon_for_wave(WaveRound *round, const WaveEntry *entry)
{
    PoolMachines *self = round->self;
    size_t parallel = AqWave_MaxDrains(entry->wave, round->waiting,
                                       self->vms->len, machines_now(self));
    size_t plan_count = machines_count_plans(self, PLAN_MAINTENANCE);
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        int at = AqWave_Find(entry->wave, vm->machine);
        if (at < 0 || !vm->is_usable ||
            AqWave_State(entry->wave, (size_t)at) != AQ_WAVE_WAITING ||
            machines_find_plan(self, vm->machine) != NULL) {
            continue;
        }
        size_t limit = vm->tasks == 0 ? parallel + 2 : parallel;
        if (plan_count < limit) {
            machines_cordon(self, vm, PLAN_MAINTENANCE, "wave");
            plan_count++;
        }
    }
}

/* Advances the maintenance of the VM at position "at" of a wave, which the
 * platform's list shows in this pool in state AQ_MACHINE_UP; a VM of the spare
 * pool has this state while it is powered off. */
static void
advance_listed_vm(WaveRound *round, WaveEntry *entry, size_t at,
                  const AqMachine *listed)
{
    PoolMachines *self = round->self;
    Plan *plan = machines_find_plan(self, listed->machine);
    if (plan != NULL && plan->kind != PLAN_MAINTENANCE) {
        return;
    }
    if (plan == NULL) {
        /* A VM whose maintenance an earlier owner of the pool has begun
         * already counts toward the wave's cap, the greatest number of VMs in
         * maintenance at a time. */
        bool is_begun = AqWave_State(entry->wave, at) == AQ_WAVE_BEGUN;
        if (is_begun ||
            (AqWave_HasSlot(entry->wave) && !self->is_writing_wave)) {
            plan =
                machines_add_plan(self, listed->machine, "", PLAN_MAINTENANCE);
            request_maintenance(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_CORDONED) {
        request_maintenance(self, entry, at, plan);
    }
    else if (plan->phase >= VM_REQUESTED && plan->is_ordered &&
             self->listed_at - plan->ordered_at > WAVE_RETURN_LIMIT_MS / 2) {
        /* The platform's list, received more than 2 s after the maintenance
         * order was accepted, shows the VM in state AQ_MACHINE_UP, so the
         * maintenance is done. */
        record_maintenance_done(round, entry, at, plan);
    }
}

/* Advances the maintenance of the wave's VMs that no scheduler has: VMs that
 * are off in this pool, and VMs that no longer exist. */
static void
advance_unscheduled_vms(WaveRound *round, WaveEntry *entry)
{
    PoolMachines *self = round->self;
    if (!machines_ensure_list(self, LIST_MAX_AGE_MS) || self->list->len == 0) {
        return;
    }
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        const AqMachine *listed =
            machines_find_listed(self, AqWave_Machine(entry->wave, i));
        if (AqWave_State(entry->wave, i) >= AQ_WAVE_DONE) {
            continue;
        }
        if (listed == NULL) {
            stage_wave_state(self, entry, i, AQ_WAVE_GONE);
        }
        else if (strcmp(listed->pool, self->pool) == 0 &&
                 listed->state == AQ_MACHINE_UP) {
            advance_listed_vm(round, entry, i, listed);
        }
    }
}

static void
advance_wave(void *context, WaveEntry *entry)
{
    WaveRound *round = context;
    PoolMachines *self = round->self;
    round->waiting = count_waiting(self, entry);
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        const char *machine = AqWave_Machine(entry->wave, i);
        AqWaveState state = AqWave_State(entry->wave, i);
        Plan *plan = machines_find_plan(self, machine);
        if (state >= AQ_WAVE_DONE) {
            remove_ended_plan(self, entry, i);
        }
        else if (state == AQ_WAVE_BEGUN) {
            advance_begun_vm(round, entry, i);
        }
        else if (state == AQ_WAVE_WAITING && plan != NULL &&
                 plan->kind == PLAN_MAINTENANCE &&
                 plan->phase == VM_CORDONED && plan->vm[0] != '\0') {
            advance_cordoned_vm(round, entry, i, plan,
                                machines_find_vm(self, machine));
        }
    }
    if (!AqWave_IsOver(entry->wave)) {
        cordon_for_wave(round, entry);
        if (maintains_unscheduled_vms(self)) {
            advance_unscheduled_vms(round, entry);
        }
    }
    write_wave_changes(self, entry);
}

void
machines_maintenance_round(PoolMachines *self)
{
    WaveRound round = {.self = self};
    wave_table_each(self->waves, advance_wave, &round);
}
