#include "pool_machines.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_asks.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "aq_sizing.h"
#include "keys.h"
#include "prefix_view.h"

enum {
    ROUND_MS = 100,
    LOG_EVERY_MS = 1000,
    LIST_EVERY_MS = 2500, /* while VMs outside of the pools' view matter */
    LIST_FRESH_MS = 400,  /* a list is good for choosing spare VMs */
    RETRY_MS = 150,       /* of a write that was not accepted */
    ASK_MS = 6000,  /* a VM that has not moved by then is left where it is */
    BACK_MS = 4000, /* a VM that is there so long after its order is back */
    LASTING_WEIGHT = 100 /* a lasting task counts as so many others */
};

typedef enum {
    VM_CORDONED, /* being made empty */
    VM_CLAIMING, /* the wave's record is being written */
    VM_ASKED,    /* the order is asked for */
    VM_BACK      /* it serves again; the wave's record is to say so */
} VmPhase;

typedef enum {
    PLAN_UPKEEP,
    PLAN_GIVE, /* to the spare pool */
    PLAN_TAKE  /* from the spare pool */
} PlanKind;

/* What this owner is doing with one VM. */
typedef struct {
    char machine[AQ_VM_ID_SIZE];
    char vm[AQ_VM_ID_SIZE]; /* its life when we began, or "" */
    PlanKind kind;
    VmPhase phase;
    int64_t wave;
    int64_t ask;     /* number; 0: nothing is asked for */
    bool is_ordered; /* the answer says that the order was accepted */
    AqTime ordered_at;
    AqTime since;
    AqTime retry_at;
} Plan;

struct PoolMachines {
    NodeContext *node;
    WaveBook *waves;
    PoolOwner *owner;
    char pool[64];
    uint64_t fence;
    bool is_dropped;
    int calls;
    AqTime due;
    AqTime log_due;
    int64_t last_ask;
    bool are_asks_changed;
    size_t wanted; /* VMs that the spare pool does not have */
    bool is_writing_asks;
    AqTime asks_due;
    PrefixView *answers;
    bool is_writing_wave;
    char claiming[AQ_VM_ID_SIZE]; /* VM of the write of a wave's record */
    GHashTable *plans;            /* machine -> Plan */
    GArray *vms;                  /* of VmCopy, of this round */
    /* The platform's list of VMs. */
    GArray *list; /* of AqMachine */
    AqTime listed_at;
    bool is_listing;
};

typedef struct {
    char vm[AQ_VM_ID_SIZE];
    char machine[AQ_VM_ID_SIZE];
    bool is_usable;
    bool is_answering;
    bool is_draining;
    size_t tasks;
    size_t lasting;
    int64_t cpu;
    AqTime idle_since;
} VmCopy;

static AqTime
now_of(const PoolMachines *self)
{
    return AqLoop_Now(self->node->loop);
}

static void
free_machines(PoolMachines *self)
{
    g_hash_table_destroy(self->plans);
    g_array_free(self->vms, TRUE);
    g_array_free(self->list, TRUE);
    free(self);
}

static void on_answer(void *context, const AqStoreItem *item);

static void
ignore_removed(void *context, const char *key)
{
    (void)context;
    (void)key;
}

static void
ignore_listed(void *context)
{
    (void)context;
}

static const PrefixViewOps answer_ops = {on_answer, ignore_removed,
                                         ignore_listed};

static bool
end_call(PoolMachines *self)
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

/* ---- What is there -------------------------------------------------------
 */

static void
copy_vm(void *context, const AqVmView *view)
{
    PoolMachines *self = context;
    VmCopy copy = {
        .is_usable = view->is_usable,
        .is_answering = view->is_answering,
        .is_draining = view->is_draining,
        .tasks = view->tasks,
        .lasting = view->lasting_tasks,
        .cpu = view->cpu_millis,
        .idle_since = view->idle_since,
    };
    g_strlcpy(copy.vm, view->vm, sizeof(copy.vm));
    g_strlcpy(copy.machine, view->machine, sizeof(copy.machine));
    g_array_append_val(self->vms, copy);
}

/* The life of a VM that answers, or else any; NULL when there is none. */
static const VmCopy *
find_vm(const PoolMachines *self, const char *machine)
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

static bool
is_life_over(const PoolMachines *self, const char *life)
{
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        if (strcmp(vm->vm, life) == 0) {
            return !vm->is_answering;
        }
    }
    return true;
}

static int
compare_vms(const void *a, const void *b)
{
    const VmCopy *first = a;
    const VmCopy *second = b;
    size_t left = first->tasks + LASTING_WEIGHT * first->lasting;
    size_t right = second->tasks + LASTING_WEIGHT * second->lasting;
    if (left != right) {
        return left < right ? -1 : 1;
    }
    return strcmp(first->machine, second->machine);
}

static Plan *
find_plan(const PoolMachines *self, const char *machine)
{
    return g_hash_table_lookup(self->plans, machine);
}

static Plan *
add_plan(PoolMachines *self, const char *machine, const char *vm,
         PlanKind kind)
{
    Plan *plan = calloc(1, sizeof(*plan));
    g_strlcpy(plan->machine, machine, sizeof(plan->machine));
    g_strlcpy(plan->vm, vm, sizeof(plan->vm));
    plan->kind = kind;
    plan->since = now_of(self);
    g_hash_table_replace(self->plans, plan->machine, plan);
    return plan;
}

static void
remove_plan(PoolMachines *self, const Plan *plan)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (s != NULL && plan->vm[0] != '\0') {
        AqScheduler_SetCordon(s, plan->vm, false);
    }
    self->are_asks_changed = self->are_asks_changed || plan->ask != 0;
    g_hash_table_remove(self->plans, plan->machine);
}

static Plan *
cordon(PoolMachines *self, const VmCopy *vm, PlanKind kind, const char *reason)
{
    Plan *plan = add_plan(self, vm->machine, vm->vm, kind);
    plan->phase = VM_CORDONED;
    AqScheduler_SetCordon(pool_owner_scheduler(self->owner), vm->vm, true);
    AqLog_Event(AQ_LOG_INFO, "vm_cordoned",
                "vm=%s machine=%s pool=%s reason=%s tasks=%zu lasting=%zu",
                vm->vm, vm->machine, self->pool, reason, vm->tasks,
                vm->lasting);
    return plan;
}

static size_t
count_plans(const PoolMachines *self, PlanKind kind)
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

/* ---- Orders --------------------------------------------------------------
 */

static const char *
spare_pool(const PoolMachines *self)
{
    const AqSiteConfig *site = &self->node->site;
    for (size_t i = 0; i < site->pool_count; i++) {
        if (site->pools[i].is_spare) {
            return site->pools[i].name;
        }
    }
    return NULL;
}

static void
ask(PoolMachines *self, Plan *plan)
{
    plan->phase = VM_ASKED;
    plan->since = now_of(self);
    plan->ask = ++self->last_ask;
    plan->is_ordered = false;
    self->are_asks_changed = true;
}

/* The machine duty has ended some of our asks. */
static void
take_answer(PoolMachines *self, const AqAsk *answer)
{
    Plan *plan = find_plan(self, answer->machine);
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (plan == NULL || plan->ask != answer->number || plan->is_ordered) {
        return;
    }
    if (answer->is_refused) {
        AqLog_Event(AQ_LOG_WARNING, "ask_refused",
                    "machine=%s pool=%s wave=%lld", answer->machine,
                    self->pool, (long long)answer->wave);
        remove_plan(self, plan);
        return;
    }
    plan->is_ordered = true;
    plan->ordered_at = now_of(self);
    if (s != NULL && plan->vm[0] != '\0') {
        AqScheduler_VmEnded(s, plan->vm, now_of(self));
    }
}

static void
on_answer(void *context, const AqStoreItem *item)
{
    PoolMachines *self = context;
    AqAskList list;
    if (strcmp(item->key, key_of(KEY_ANSWER, self->pool)) != 0) {
        return; /* of a pool whose name begins with ours */
    }
    if (!AqAskList_Decode(item->value, item->size, &list)) {
        AqLog_Event(AQ_LOG_ERROR, "answers_unreadable", "pool=%s index=%llu",
                    self->pool, (unsigned long long)item->index);
        return;
    }
    for (size_t i = 0; i < list.count && list.fence == self->fence; i++) {
        take_answer(self, &list.asks[i]);
    }
    AqAskList_Clear(&list);
}

static void
on_asks_written(void *context, AqStoreStatus status)
{
    PoolMachines *self = context;
    if (!end_call(self)) {
        return;
    }
    self->is_writing_asks = false;
    if (status != AQ_STORE_OK) {
        self->are_asks_changed = true;
        self->asks_due = now_of(self) + RETRY_MS;
    }
}

static void
fill_asks(const PoolMachines *self, AqAskList *list)
{
    GHashTableIter iter;
    gpointer value;
    const char *spare = spare_pool(self);
    list->fence = self->fence;
    list->wanted = self->wanted;
    list->count = 0;
    g_hash_table_iter_init(&iter, self->plans);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Plan *plan = value;
        if (plan->ask == 0 || list->count == AQ_ASKS_MAX) {
            continue;
        }
        AqAsk *entry = &list->asks[list->count++];
        memset(entry, 0, sizeof(*entry));
        entry->number = plan->ask;
        entry->wave = plan->wave;
        g_strlcpy(entry->machine, plan->machine, sizeof(entry->machine));
        if (plan->kind == PLAN_TAKE) {
            g_strlcpy(entry->to_pool, self->pool, sizeof(entry->to_pool));
        }
        else if (plan->kind == PLAN_GIVE && spare != NULL) {
            g_strlcpy(entry->to_pool, spare, sizeof(entry->to_pool));
        }
    }
}

static void
write_asks(PoolMachines *self)
{
    AqBuffer bytes;
    if (!self->are_asks_changed || self->is_writing_asks ||
        self->asks_due > now_of(self)) {
        return;
    }
    AqAskList list = {.asks = calloc(AQ_ASKS_MAX, sizeof(AqAsk))};
    fill_asks(self, &list);
    AqBuffer_Init(&bytes);
    AqAskList_Encode(&list, &bytes);
    AqStorePut put = {key_of(KEY_ASK, self->pool), AqBuffer_Text(&bytes),
                      bytes.size, 0};
    self->are_asks_changed = false;
    self->is_writing_asks = true;
    self->calls++;
    owner_writer_commit(pool_owner_writer(self->owner), NULL, 0, &put, 1,
                        on_asks_written, self);
    AqBuffer_Clear(&bytes);
    AqAskList_Clear(&list);
}

/* Fills the writes of a wave's record for a new state of one VM. */
typedef struct {
    AqBuffer record_key;
    AqBuffer record;
    AqBuffer status_key;
    AqBuffer status;
    AqStoreExpect expect;
    AqStorePut puts[2];
} WaveWrite;

static void
begin_wave_write(WaveWrite *write, WaveEntry *entry, size_t at,
                 AqWaveState state)
{
    char name[32];
    AqWaveState before = AqWave_State(entry->wave, at);
    AqBuffer_Init(&write->record_key);
    AqBuffer_Init(&write->record);
    AqBuffer_Init(&write->status_key);
    AqBuffer_Init(&write->status);
    snprintf(name, sizeof(name), "%lld",
             (long long)AqWave_Number(entry->wave));
    AqBuffer_AppendText(&write->record_key, key_of(KEY_WAVE, name));
    AqWave_Set(entry->wave, at, state);
    AqWave_Encode(entry->wave, &write->record);
    AqPlatform_WaveStatus(AqWave_Number(entry->wave),
                          AqWave_IsOver(entry->wave), &write->status_key,
                          &write->status);
    AqWave_Set(entry->wave, at, before);
    write->expect.key = AqBuffer_Text(&write->record_key);
    write->expect.index = entry->index;
    write->puts[0] =
        (AqStorePut){AqBuffer_Text(&write->record_key),
                     AqBuffer_Text(&write->record), write->record.size, 0};
    write->puts[1] =
        (AqStorePut){AqBuffer_Text(&write->status_key),
                     AqBuffer_Text(&write->status), write->status.size, 0};
}

static void
end_wave_write(WaveWrite *write)
{
    AqBuffer_Clear(&write->record_key);
    AqBuffer_Clear(&write->record);
    AqBuffer_Clear(&write->status_key);
    AqBuffer_Clear(&write->status);
}

static void
on_wave_written(void *context, AqStoreStatus status)
{
    PoolMachines *self = context;
    if (!end_call(self)) {
        return;
    }
    self->is_writing_wave = false;
    Plan *plan = find_plan(self, self->claiming);
    if (plan == NULL || plan->phase != VM_CLAIMING) {
        return;
    }
    if (status == AQ_STORE_OK) {
        ask(self, plan);
    }
    else {
        plan->phase = VM_CORDONED;
        plan->retry_at = now_of(self) + RETRY_MS;
    }
}

/* Writes a new state of one VM; one write at a time. */
static bool
write_wave(PoolMachines *self, WaveEntry *entry, size_t at, AqWaveState state)
{
    WaveWrite write;
    if (self->is_writing_wave) {
        return false;
    }
    begin_wave_write(&write, entry, at, state);
    self->is_writing_wave = true;
    self->calls++;
    g_strlcpy(self->claiming, AqWave_Machine(entry->wave, at),
              sizeof(self->claiming));
    AqLog_Event(AQ_LOG_INFO, "wave_state",
                "wave=%lld machine=%s state=%d pool=%s",
                (long long)AqWave_Number(entry->wave),
                AqWave_Machine(entry->wave, at), (int)state, self->pool);
    owner_writer_commit(pool_owner_writer(self->owner), &write.expect, 1,
                        write.puts, 2, on_wave_written, self);
    end_wave_write(&write);
    return true;
}

/* Has an empty VM taken down: claims a slot of the wave first, unless the
 * record says that it has one. */
static void
order_upkeep(PoolMachines *self, WaveEntry *entry, size_t at, Plan *plan)
{
    plan->wave = AqWave_Number(entry->wave);
    if (plan->retry_at > now_of(self)) {
        return;
    }
    if (AqWave_State(entry->wave, at) == AQ_WAVE_BEGUN) {
        ask(self, plan);
    }
    else if (AqWave_HasSlot(entry->wave) &&
             write_wave(self, entry, at, AQ_WAVE_BEGUN)) {
        plan->phase = VM_CLAIMING;
    }
}

/* ---- The platform's list -------------------------------------------------
 */

static void
on_list(void *context, const AqMachineList *list)
{
    PoolMachines *self = context;
    if (!end_call(self)) {
        return;
    }
    self->is_listing = false;
    if (!list->is_whole) {
        self->listed_at += RETRY_MS;
        return;
    }
    g_array_set_size(self->list, 0);
    g_array_append_vals(self->list, list->machines, (guint)list->count);
    self->listed_at = now_of(self);
}

static bool
need_list(PoolMachines *self, AqTime age)
{
    if (now_of(self) - self->listed_at <= age) {
        return true;
    }
    if (!self->is_listing) {
        self->is_listing = true;
        self->calls++;
        self->node->machines->ops->list(self->node->machines, on_list, self);
    }
    return false;
}

static const AqMachine *
find_listed(const PoolMachines *self, const char *machine)
{
    for (guint i = 0; i < self->list->len; i++) {
        const AqMachine *entry = &g_array_index(self->list, AqMachine, i);
        if (strcmp(entry->machine, machine) == 0) {
            return entry;
        }
    }
    return NULL;
}

/* The owner of one pool sees to VMs that no scheduler knows: those that are
 * off, and those that are gone. */
static bool
is_caretaker(const PoolMachines *self)
{
    const char *spare = spare_pool(self);
    const AqSiteConfig *site = &self->node->site;
    if (spare == NULL && site->pool_count > 0) {
        spare = site->pools[0].name;
    }
    return spare != NULL && strcmp(spare, self->pool) == 0;
}

/* ---- Waves ---------------------------------------------------------------
 */

typedef struct {
    PoolMachines *self;
    size_t waiting; /* VMs of the wave here that have not begun */
} WaveRound;

/* Says in the record that a VM is back, until the record says so. */
static void
finish_wave_vm(WaveRound *round, WaveEntry *entry, size_t at, Plan *plan)
{
    PoolMachines *self = round->self;
    if (plan->phase != VM_BACK) {
        plan->phase = VM_BACK;
        AqScheduler_SetCordon(pool_owner_scheduler(self->owner), plan->vm,
                              false);
    }
    if (plan->retry_at <= now_of(self) &&
        write_wave(self, entry, at, AQ_WAVE_DONE)) {
        plan->retry_at = now_of(self) + RETRY_MS;
    }
}

/* A VM whose upkeep has begun, by this owner or an earlier one. */
static void
follow_begun(WaveRound *round, WaveEntry *entry, size_t at)
{
    PoolMachines *self = round->self;
    const char *machine = AqWave_Machine(entry->wave, at);
    const VmCopy *vm = find_vm(self, machine);
    Plan *plan = find_plan(self, machine);
    if (plan == NULL) {
        if (vm != NULL && vm->is_usable) {
            /* Begun by an earlier owner, which may not have ordered it: order
             * it again, which does nothing when it was. */
            cordon(self, vm, PLAN_UPKEEP, "wave_taken_over");
        }
        return;
    }
    if (plan->kind != PLAN_UPKEEP) {
        return; /* it comes or goes; its upkeep is seen to then */
    }
    if (plan->phase == VM_CORDONED) {
        bool is_empty =
            plan->vm[0] == '\0' || vm == NULL ||
            AqScheduler_IsIdle(pool_owner_scheduler(self->owner), plan->vm);
        if (is_empty) {
            order_upkeep(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_BACK) {
        finish_wave_vm(round, entry, at, plan);
        return;
    }
    if (plan->phase != VM_ASKED || vm == NULL || !plan->is_ordered) {
        return;
    }
    /* One whose upkeep an earlier owner had ordered keeps its life. */
    bool is_new_life = strcmp(vm->vm, plan->vm) != 0 && vm->is_usable;
    bool is_settled =
        now_of(self) - plan->ordered_at > BACK_MS && vm->is_answering;
    if (is_new_life || is_settled) {
        finish_wave_vm(round, entry, at, plan);
    }
}

/* Ends the plans of VMs whose upkeep is recorded as done. */
static void
end_finished(PoolMachines *self, const WaveEntry *entry, size_t at)
{
    const Plan *plan = find_plan(self, AqWave_Machine(entry->wave, at));
    if (plan != NULL && plan->kind == PLAN_UPKEEP) {
        remove_plan(self, plan);
    }
}

static void
follow_cordoned(WaveRound *round, WaveEntry *entry, size_t at, Plan *plan,
                const VmCopy *vm)
{
    PoolMachines *self = round->self;
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (vm == NULL || strcmp(vm->vm, plan->vm) != 0) {
        remove_plan(self, plan); /* it has gone meanwhile */
        return;
    }
    if (AqScheduler_IsIdle(s, plan->vm)) {
        order_upkeep(self, entry, at, plan);
    }
    else if (AqWave_IsPressing(entry->wave, round->waiting, plan->since,
                               now_of(self))) {
        AqScheduler_StopTasks(s, plan->vm, now_of(self));
    }
}

static size_t
count_waiting(const PoolMachines *self, const WaveEntry *entry)
{
    size_t count = 0;
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        count += AqWave_State(entry->wave, i) == AQ_WAVE_WAITING &&
                 find_vm(self, AqWave_Machine(entry->wave, i)) != NULL;
    }
    return count;
}

/* Chooses VMs to make empty: idle ones at once, others as far as the pool can
 * do without them. */
static void
choose_for_wave(WaveRound *round, const WaveEntry *entry)
{
    PoolMachines *self = round->self;
    size_t parallel = AqWave_Parallel(entry->wave, round->waiting,
                                      self->vms->len, now_of(self));
    for (guint i = 0; i < self->vms->len; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        int at = AqWave_Find(entry->wave, vm->machine);
        size_t busy = count_plans(self, PLAN_UPKEEP);
        if (at < 0 || !vm->is_usable ||
            AqWave_State(entry->wave, (size_t)at) != AQ_WAVE_WAITING ||
            find_plan(self, vm->machine) != NULL) {
            continue;
        }
        size_t most = vm->tasks == 0 ? parallel + 2 : parallel;
        if (busy < most) {
            cordon(self, vm, PLAN_UPKEEP, "wave");
        }
    }
}

/* A VM of the wave that is off, in the pool of the caretaker. */
static void
care_for_listed(WaveRound *round, WaveEntry *entry, size_t at,
                const AqMachine *listed)
{
    PoolMachines *self = round->self;
    Plan *plan = find_plan(self, listed->machine);
    if (plan != NULL && plan->kind != PLAN_UPKEEP) {
        return;
    }
    if (plan == NULL) {
        if (AqWave_HasSlot(entry->wave) && !self->is_writing_wave) {
            plan = add_plan(self, listed->machine, "", PLAN_UPKEEP);
            order_upkeep(self, entry, at, plan);
        }
        return;
    }
    if (plan->phase == VM_CORDONED) {
        order_upkeep(self, entry, at, plan);
    }
    else if (plan->phase >= VM_ASKED && plan->is_ordered &&
             self->listed_at - plan->ordered_at > BACK_MS / 2) {
        /* Listed as up again, by a list read after the upkeep. */
        finish_wave_vm(round, entry, at, plan);
    }
}

/* VMs of the wave that are off, or gone. */
static void
care_for_rest(WaveRound *round, WaveEntry *entry)
{
    PoolMachines *self = round->self;
    if (!need_list(self, LIST_EVERY_MS) || self->list->len == 0) {
        return;
    }
    for (size_t i = 0; i < AqWave_Count(entry->wave); i++) {
        const AqMachine *listed =
            find_listed(self, AqWave_Machine(entry->wave, i));
        if (AqWave_State(entry->wave, i) >= AQ_WAVE_DONE) {
            continue;
        }
        if (listed == NULL) {
            write_wave(self, entry, i, AQ_WAVE_GONE);
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
        Plan *plan = find_plan(self, machine);
        if (state >= AQ_WAVE_DONE) {
            end_finished(self, entry, i);
        }
        else if (state == AQ_WAVE_BEGUN) {
            follow_begun(round, entry, i);
        }
        else if (state == AQ_WAVE_WAITING && plan != NULL &&
                 plan->kind == PLAN_UPKEEP && plan->phase == VM_CORDONED &&
                 plan->vm[0] != '\0') {
            follow_cordoned(round, entry, i, plan, find_vm(self, machine));
        }
    }
    if (AqWave_IsOver(entry->wave)) {
        return;
    }
    choose_for_wave(round, entry);
    if (is_caretaker(self)) {
        care_for_rest(round, entry);
    }
}

/* ---- Sizes ---------------------------------------------------------------
 */

static void
give(PoolMachines *self, size_t count)
{
    /* The VMs are sorted by what runs there. */
    for (guint i = 0; i < self->vms->len && count > 0; i++) {
        const VmCopy *vm = &g_array_index(self->vms, VmCopy, i);
        bool is_just_idle = vm->tasks == 0 &&
                            now_of(self) - vm->idle_since < AQ_SIZING_IDLE_MS;
        if (!vm->is_usable || vm->lasting > 0 || is_just_idle ||
            find_plan(self, vm->machine) != NULL ||
            wave_book_is_begun(self->waves, vm->machine)) {
            continue;
        }
        cordon(self, vm, PLAN_GIVE, "surplus");
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
            remove_plan(self, plan);
        }
        else if (AqScheduler_IsIdle(s, plan->vm)) {
            ask(self, plan);
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

static void
take(PoolMachines *self, size_t count, const char *spare)
{
    if (!need_list(self, LIST_FRESH_MS)) {
        return;
    }
    /* Owners that take at the same time begin at different places. */
    size_t offset = g_str_hash(self->pool);
    for (guint i = 0; i < self->list->len && count > 0; i++) {
        const AqMachine *machine = &g_array_index(
            self->list, AqMachine, (i + offset) % self->list->len);
        if (strcmp(machine->pool, spare) != 0 ||
            machine->state != AQ_MACHINE_UP ||
            find_plan(self, machine->machine) != NULL ||
            wave_book_is_begun(self->waves, machine->machine)) {
            continue;
        }
        AqLog_Event(AQ_LOG_INFO, "vm_taken",
                    "machine=%s pool=%s listed_ms_ago=%lld", machine->machine,
                    self->pool, (long long)(now_of(self) - self->listed_at));
        ask(self, add_plan(self, machine->machine, "", PLAN_TAKE));
        count--;
    }
    set_wanted(self, count);
}

/* Whether a move has ended: the VM has come, or gone, or will not. */
static bool
is_move_over(const PoolMachines *self, const Plan *plan, const char *spare)
{
    if (plan->kind == PLAN_GIVE && plan->phase == VM_CORDONED) {
        return is_life_over(self, plan->vm);
    }
    if (now_of(self) - plan->since > ASK_MS) {
        return true;
    }
    if (plan->kind == PLAN_GIVE) {
        return plan->is_ordered || is_life_over(self, plan->vm);
    }
    const VmCopy *vm = find_vm(self, plan->machine);
    const AqMachine *listed = find_listed(self, plan->machine);
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
            remove_plan(self, plan);
        }
    }
    g_list_free(plans);
}

static void
log_load(PoolMachines *self, const AqSizingInput *input,
         const AqSizingDecision *decision, size_t jobs, size_t idle)
{
    if (now_of(self) < self->log_due) {
        return;
    }
    self->log_due = now_of(self) + LOG_EVERY_MS;
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

static void
resize(PoolMachines *self, AqScheduler *s)
{
    const char *spare = spare_pool(self);
    AqSchedulerLoad load;
    AqSizingDecision decision;
    AqTime now = now_of(self);
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
        .coming_vms = count_plans(self, PLAN_TAKE),
        .upkeep_vms = count_plans(self, PLAN_UPKEEP),
        .widest_spread = load.widest_spread,
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
        take(self, decision.take, spare);
        return;
    }
    set_wanted(self, 0);
    if (decision.give > 0) {
        give(self, decision.give);
    }
}

/* ---- Rounds --------------------------------------------------------------
 */

void
pool_machines_round(PoolMachines *self, bool may_order)
{
    AqScheduler *s = pool_owner_scheduler(self->owner);
    if (s == NULL || !may_order || self->node->machines == NULL ||
        now_of(self) < self->due) {
        return;
    }
    self->due = now_of(self) + ROUND_MS;
    g_array_set_size(self->vms, 0);
    AqScheduler_EachVm(s, copy_vm, self);
    g_array_sort(self->vms, compare_vms);
    WaveRound round = {.self = self};
    wave_book_each(self->waves, visit_wave, &round);
    resize(self, s);
    write_asks(self);
}

PoolMachines *
pool_machines_create(NodeContext *node, WaveBook *waves, PoolOwner *owner)
{
    PoolMachines *self = calloc(1, sizeof(*self));
    self->node = node;
    self->waves = waves;
    self->owner = owner;
    self->fence = pool_owner_fence(owner);
    self->listed_at = -LIST_EVERY_MS;
    g_strlcpy(self->pool, pool_owner_pool(owner), sizeof(self->pool));
    self->answers =
        prefix_view_create(node->loop, node->store,
                           key_of(KEY_ANSWER, self->pool), &answer_ops, self);
    self->plans = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    self->vms = g_array_new(FALSE, FALSE, sizeof(VmCopy));
    self->list = g_array_new(FALSE, FALSE, sizeof(AqMachine));
    return self;
}

void
pool_machines_drop(PoolMachines *self)
{
    self->is_dropped = true;
    prefix_view_destroy(self->answers);
    if (self->calls == 0) {
        free_machines(self);
    }
}
