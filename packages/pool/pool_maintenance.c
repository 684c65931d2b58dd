#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "pool_machines_private.h"

enum {
    LIST_EVERY_MS = 800, /* while VMs outside of the pools' view matter */
    WAVE_RETURN_LIMIT_MS =
        4000 /* a VM that is there so long after its order is back */
};

/* ---- Record ------------------------------------------------------------- */

/* A new state that goes into the next write of the wave's record. */
typedef struct {
    size_t at;
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

/* Sets a new state of one VM, to be written at the end of the round with the
 * others; false while a write is under way. */
static bool
change_wave(PoolMachines *self, WaveEntry *entry, size_t at, AqWaveState state)
{
    WaveChange change = {at, AqWave_State(entry->wave, at)};
    if (self->is_writing_wave) {
        return false;
    }
    AqLog_Event(AQ_LOG_INFO, "wave_state",
                "wave=%lld machine=%s state=%d pool=%s index=%llu",
                (long long)AqWave_Number(entry->wave),
                AqWave_Machine(entry->wave, at), (int)state, self->pool,
                (unsigned long long)entry->index);
    AqWave_Set(entry->wave, at, state);
    g_array_append_val(self->wave_changes, change);
    return true;
}

static void
commit_wave(PoolMachines *self, const WaveEntry *entry)
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
    AqStoreExpect expect = {key_of(KEY_WAVE, name), entry->index};
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

/* Writes the changes of this round in one call.  The copy here changes only
 * when the record is seen to have changed. */
static void
write_wave(PoolMachines *self, const WaveEntry *entry)
{
    if (self->wave_changes->len == 0) {
        return;
    }
    commit_wave(self, entry);
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

/* Has an empty VM taken down: claims a slot of the wave first, unless the
 * record says that it has one. */
static void
order_maintenance(PoolMachines *self, WaveEntry *entry, size_t at, Plan *plan)
{
    plan->wave = AqWave_Number(entry->wave);
    if (plan->retry_at > machines_now(self)) {
        return;
    }
    if (AqWave_State(entry->wave, at) == AQ_WAVE_BEGUN) {
        machines_add_request(self, plan);
    }
    else if (AqWave_HasSlot(entry->wave) &&
             change_wave(self, entry, at, AQ_WAVE_BEGUN)) {
        plan->phase = VM_CLAIMING;
    }
}

/* The owner of one pool sees to VMs that no scheduler knows: those that are
 * off, and those that are gone. */
static bool
is_caretaker(const PoolMachines *self)
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
    size_t waiting; /* VMs of the wave here that have not begun */
} WaveRound;

/* Says in the record that a VM is back, until the record says so. */
static void
finish_wave_vm(WaveRound *round, WaveEntry *entry, size_t at, Plan *plan)
{
    PoolMachines *self = round->self;
    if (plan->phase != VM_RETURNED) {
        plan->phase = VM_RETURNED;
        AqScheduler_SetCordon(pool_owner_scheduler(self->owner), plan->vm,
                              false);
    }
    if (plan->retry_at <= machines_now(self) &&
        change_wave(self, entry, at, AQ_WAVE_DONE)) {
        plan->retry_at = machines_now(self) + MACHINES_RETRY_MS;
    }
}

/* A VM whose maintenance has begun, by this owner or an earlier one. */
static void
follow_begun(WaveRound *round, WaveEntry *entry, size_t at)
{
    PoolMachines *self = round->self;
    const char *machine = AqWave_Machine(entry->wave, at);
    const VmCopy *vm = machines_find_vm(self, machine);
    Plan *plan = machines_find_plan(self, machine);
    if (plan == NULL) {
        if (vm != NULL && vm->is_usable) {
            /* Begun by an earlier owner, which may not have ordered it: order
             * it again, which does nothing when it was. */
            machines_cordon(self, vm, PLAN_MAINTENANCE, "wave_taken_over");
        }
        return;
    }
    if (plan->kind != PLAN_MAINTENANCE) {
        return; /* it comes or goes; its maintenance is seen to then */
    }
    if (plan->phase == VM_CORDONED) {
        bool is_empty =
            plan->vm[0] == '\0' || vm == NULL ||
            AqScheduler_IsIdle(pool_owner_scheduler(self->owner), plan->vm);
        if (is_empty) {
            order_maintenance(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_RETURNED) {
        finish_wave_vm(round, entry, at, plan);
        return;
    }
    if (plan->phase != VM_REQUESTED || vm == NULL || !plan->is_ordered) {
        return;
    }
    /* One whose maintenance an earlier owner had ordered keeps its
     * incarnation. */
    bool is_new_incarnation = strcmp(vm->vm, plan->vm) != 0 && vm->is_usable;
    bool is_recovered =
        machines_now(self) - plan->ordered_at > WAVE_RETURN_LIMIT_MS &&
        vm->is_answering;
    if (is_new_incarnation || is_recovered) {
        finish_wave_vm(round, entry, at, plan);
    }
}

/* Ends the plans of VMs whose maintenance is recorded as done. */
static void
end_finished(PoolMachines *self, const WaveEntry *entry, size_t at)
{
    const Plan *plan =
        machines_find_plan(self, AqWave_Machine(entry->wave, at));
    if (plan != NULL && plan->kind == PLAN_MAINTENANCE) {
        machines_remove_plan(self, plan);
    }
}

static void
follow_cordoned(WaveRound *round, WaveEntry *entry, size_t at, Plan *plan,
                const VmCopy *vm)
{
    PoolMachines *self = round->self;
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (vm == NULL || strcmp(vm->vm, plan->vm) != 0) {
        machines_remove_plan(self, plan); /* it has gone meanwhile */
        return;
    }
    if (AqScheduler_IsIdle(s, plan->vm)) {
        order_maintenance(self, entry, at, plan);
    }
    else if (AqWave_MustStopTasks(entry->wave, round->waiting, plan->since,
                                  machines_now(self))) {
        AqScheduler_StopTasks(s, plan->vm, machines_now(self));
    }
}

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

/* Chooses VMs to make empty: idle ones at once, others as far as the pool can
 * do without them. */
static void
choose_for_wave(WaveRound *round, const WaveEntry *entry)
{
    PoolMachines *self = round->self;
    size_t parallel = AqWave_MaxDrains(entry->wave, round->waiting,
                                       self->vms->len, machines_now(self));
    size_t busy = machines_count_plans(self, PLAN_MAINTENANCE);
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        int at = AqWave_Find(entry->wave, vm->machine);
        if (at < 0 || !vm->is_usable ||
            AqWave_State(entry->wave, (size_t)at) != AQ_WAVE_WAITING ||
            machines_find_plan(self, vm->machine) != NULL) {
            continue;
        }
        size_t most = vm->tasks == 0 ? parallel + 2 : parallel;
        if (busy < most) {
            machines_cordon(self, vm, PLAN_MAINTENANCE, "wave");
            busy++;
        }
    }
}

/* A VM of the wave that is off, in the pool of the caretaker. */
static void
care_for_listed(WaveRound *round, WaveEntry *entry, size_t at,
                const AqMachine *listed)
{
    PoolMachines *self = round->self;
    Plan *plan = machines_find_plan(self, listed->machine);
    if (plan != NULL && plan->kind != PLAN_MAINTENANCE) {
        return;
    }
    if (plan == NULL) {
        /* One that an earlier owner has begun has its slot already. */
        bool is_begun = AqWave_State(entry->wave, at) == AQ_WAVE_BEGUN;
        if (is_begun ||
            (AqWave_HasSlot(entry->wave) && !self->is_writing_wave)) {
            plan =
                machines_add_plan(self, listed->machine, "", PLAN_MAINTENANCE);
            order_maintenance(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_CORDONED) {
        order_maintenance(self, entry, at, plan);
    }
    else if (plan->phase >= VM_REQUESTED && plan->is_ordered &&
             self->listed_at - plan->ordered_at > WAVE_RETURN_LIMIT_MS / 2) {
        /* Listed as up again, by a list read after the maintenance. */
        finish_wave_vm(round, entry, at, plan);
    }
}

/* VMs of the wave that are off, or gone. */
static void
care_for_rest(WaveRound *round, WaveEntry *entry)
{
    PoolMachines *self = round->self;
    if (!machines_need_list(self, LIST_EVERY_MS) || self->list->len == 0) {
        return;
    }
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        const AqMachine *listed =
            machines_find_listed(self, AqWave_Machine(entry->wave, i));
        if (AqWave_State(entry->wave, i) >= AQ_WAVE_DONE) {
            continue;
        }
        if (listed == NULL) {
            change_wave(self, entry, i, AQ_WAVE_GONE);
        }
        else if (strcmp(listed->pool, self->pool) == 0 &&
                 listed->state == AQ_MACHINE_UP) {
            care_for_listed(round, entry, i, listed);
        }
    }
}

static void
visit_wave(void *context, WaveEntry *entry)
{
    WaveRound *round = context;
    PoolMachines *self = round->self;
    round->waiting = count_waiting(self, entry);
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        const char *machine = AqWave_Machine(entry->wave, i);
        AqWaveState state = AqWave_State(entry->wave, i);
        Plan *plan = machines_find_plan(self, machine);
        if (state >= AQ_WAVE_DONE) {
            end_finished(self, entry, i);
        }
        else if (state == AQ_WAVE_BEGUN) {
            follow_begun(round, entry, i);
        }
        else if (state == AQ_WAVE_WAITING && plan != NULL &&
                 plan->kind == PLAN_MAINTENANCE &&
                 plan->phase == VM_CORDONED && plan->vm[0] != '\0') {
            follow_cordoned(round, entry, i, plan,
                            machines_find_vm(self, machine));
        }
    }
    if (!AqWave_IsOver(entry->wave)) {
        choose_for_wave(round, entry);
        if (is_caretaker(self)) {
            care_for_rest(round, entry);
        }
    }
    write_wave(self, entry);
}

void
machines_maintenance_round(PoolMachines *self)
{
    WaveRound round = {.self = self};
    wave_table_each(self->waves, visit_wave, &round);
}
