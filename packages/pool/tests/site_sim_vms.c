#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_platform.h"
#include "site_sim.h"

enum {
    TIMEOUT_MS = 600,
    HEARTBEAT_MS = 1000,
    UNIX_START_MS = 1700000000, /* Unix time at 0 on the clock of Sim.now */
    /* An entry goes after so long a silence. */
    LISTING_TTL_MS = 3000,
    STOP_MS = 300, /* longest time that a stop takes */
    /* of 1000 VMs that crash, how many start again under their id */
    KEEP_ID_PERMILLE = 500,
    VM_CPU_MILLIS = 8000
};

typedef enum {
    ORDER_START,
    ORDER_STOP,
    ORDER_RENEWAL,
    ORDER_PACE
} OrderKind;

typedef struct {
    AqTaskName name;
    int64_t run;
    AqTime ends_at;
    bool will_fail;
    bool allows_copies;
    AqTime stops_at; /* AQ_TIME_NEVER: it is not being stopped */
} Run;

typedef struct {
    int64_t number;
    AqTaskName name;
    int64_t run;
    AqEndKind kind;
    AqTime ended_at;
} RunEnd;

typedef struct OrderCall OrderCall;

/* One incarnation of a VM. */
struct SimVm {
    unsigned number;
    char id[AQ_VM_ID_SIZE];
    AqTime up_at; /* of an incarnation that has not begun: when it begins */
    AqTime born_at;
    double clock_rate;
    uint64_t fence;
    AqTime deadline; /* on its own clock */
    AqTime lapsed_at;
    GArray *runs;
    GArray *ends;
    GHashTable *closed; /* task -> highest run that was stopped or ended */
    int64_t last_end;
    GPtrArray *held;  /* of OrderCall: renewals that wait; borrowed */
    AqTime listed_at; /* of its last entry; 0: it has none */
    /* Faults. */
    AqTime trouble_until[SIM_VM_TROUBLES];
    unsigned trouble_permille[SIM_VM_TROUBLES];
};

struct OrderCall {
    SimCall base; /* first, so that SimCall * can be cast */
    OrderKind kind;
    unsigned slot;
    char vm[AQ_VM_ID_SIZE];
    AqTime vm_born_at; /* of the incarnation that was there when it was sent */
    AqTaskName name;
    int64_t run;
    uint64_t fence;
    AqTime deadline;
    int64_t acked_end;
    AqTime wait_until;
    char *text;
    bool is_sent; /* a byte has left the node */
    AqOrderDone done;
    void *context;
    /* The reply. */
    AqOrderResult result;
    AqTime clock_ms;
    int64_t born_ms; /* 0: the reply does not say */
    GArray *running;
    GArray *ended;
};

typedef struct {
    bool is_done_confirmed;
    AqTime last_started_at;
} TaskState;

/* ---- Tasks -------------------------------------------------------------- */

static const char *
task_text(const AqTaskName *name)
{
    static char text[AQ_JOB_ID_SIZE + 40];
    snprintf(text, sizeof(text), "%s.%u.%u.%u", name->job, name->occurrence,
             name->step, name->index);
    return text;
}

static bool
is_same_task(const AqTaskName *a, const AqTaskName *b)
{
    return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
           a->step == b->step && a->index == b->index;
}

static TaskState *
task_state(Sim *sim, const AqTaskName *name)
{
    const char *text = task_text(name);
    TaskState *state = g_hash_table_lookup(sim->task_states, text);
    if (state == NULL) {
        state = g_new0(TaskState, 1);
        g_hash_table_insert(sim->task_states, g_strdup(text), state);
    }
    return state;
}

/* ---- Checks ------------------------------------------------------------- */

static void
check_start(Sim *sim, const SimVm *starter, const OrderCall *call,
            bool allows_copies)
{
    TaskState *state = task_state(sim, &call->name);
    sim->start_count++;
    if (allows_copies) {
        return;
    }
    state->last_started_at = sim->now;
    if (state->is_done_confirmed) {
        sim_violation(sim, "%s run %lld starts on %s after a confirmed end",
                      task_text(&call->name), (long long)call->run,
                      starter->id);
    }
    for (unsigned i = 0; i < SIM_VMS; i++) {
        const SimVm *vm = sim->vms[i];
        for (guint j = 0; j < vm->runs->len; j++) {
            const Run *run = &g_array_index(vm->runs, Run, j);
            if (is_same_task(&run->name, &call->name)) {
                sim_violation(
                    sim, "%s run %lld starts on %s while run %lld is on %s",
                    task_text(&call->name), (long long)call->run, starter->id,
                    (long long)run->run, vm->id);
            }
        }
    }
}

static bool
is_in_trouble(Sim *sim, const SimVm *vm, SimVmTrouble trouble)
{
    return sim->now < vm->trouble_until[trouble] &&
           sim_draw(sim, vm->trouble_permille[trouble]);
}

/* ---- Runs --------------------------------------------------------------- */

static AqTime
vm_clock(const Sim *sim, const SimVm *vm)
{
    return 1000 + (AqTime)((double)(sim->now - vm->born_at) * vm->clock_rate);
}

static int64_t
closed_run(const SimVm *vm, const AqTaskName *name)
{
    const int64_t *run = g_hash_table_lookup(vm->closed, task_text(name));
    return run != NULL ? *run : 0;
}

static void
close_run(SimVm *vm, const AqTaskName *name, int64_t run)
{
    if (run > closed_run(vm, name)) {
        int64_t *value = g_new(int64_t, 1);
        *value = run;
        g_hash_table_replace(vm->closed, g_strdup(task_text(name)), value);
    }
}

static void
end_run(Sim *sim, SimVm *vm, guint at, AqEndKind kind)
{
    const Run *run = &g_array_index(vm->runs, Run, at);
    RunEnd end = {++vm->last_end, run->name, run->run, kind, sim->now};
    sim_trace(sim, "%s: %s run %lld ends, kind %d", vm->id,
              task_text(&run->name), (long long)run->run, (int)kind);
    sim->done_count += kind == AQ_END_DONE;
    close_run(vm, &run->name, run->run);
    g_array_append_val(vm->ends, end);
    g_array_remove_index(vm->runs, at);
}

static void
run_tasks(Sim *sim, SimVm *vm)
{
    bool has_lapsed = vm_clock(sim, vm) > vm->deadline;
    if (has_lapsed) {
        vm->lapsed_at = sim->now;
    }
    for (guint i = vm->runs->len; i-- > 0;) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (has_lapsed) {
            end_run(sim, vm, i, AQ_END_LAPSED);
        }
        else if (run->stops_at <= sim->now) {
            end_run(sim, vm, i, AQ_END_STOPPED);
        }
        else if (run->ends_at <= sim->now) {
            end_run(sim, vm, i, run->will_fail ? AQ_END_FAILED : AQ_END_DONE);
        }
    }
}

/* ---- Orders at a VM ----------------------------------------------------- */

/* A VM that has started again may get a deadline of its earlier clock. */
static void
extend(const Sim *sim, SimVm *vm, AqTime deadline)
{
    AqTime latest = vm_clock(sim, vm) + SIM_LONGEST_LEASE_MS;
    deadline = deadline < latest ? deadline : latest;
    if (deadline > vm->deadline) {
        vm->deadline = deadline;
    }
}

/* The job's text holds what its runs do: duration, whether runs may be
 * copied, and how many of a thousand runs fail. */
static AqOrderResult
start(Sim *sim, SimVm *vm, const OrderCall *call)
{
    int duration = 0;
    int copies = 0;
    int failing = 0;
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run == call->run && is_same_task(&run->name, &call->name)) {
            extend(sim, vm, call->deadline);
            return AQ_ORDER_DONE;
        }
    }
    if (call->deadline < vm_clock(sim, vm)) {
        return AQ_ORDER_LATE;
    }
    extend(sim, vm, call->deadline);
    if (call->run <= closed_run(vm, &call->name)) {
        return AQ_ORDER_OLD_RUN;
    }
    sscanf(call->text, "%d %d %d", &duration, &copies, &failing);
    check_start(sim, vm, call, copies != 0);
    Run run = {
        .name = call->name,
        .run = call->run,
        .ends_at = sim->now + duration,
        .will_fail = sim_draw(sim, (unsigned)failing),
        .allows_copies = copies != 0,
        .stops_at = AQ_TIME_NEVER,
    };
    g_array_append_val(vm->runs, run);
    sim_trace(sim, "%s: %s run %lld begins by %s, fence %llu", vm->id,
              task_text(&call->name), (long long)call->run,
              call->base.node->id, (unsigned long long)call->fence);
    return AQ_ORDER_DONE;
}

static void
stop(Sim *sim, SimVm *vm, const OrderCall *call)
{
    for (guint i = 0; i < vm->runs->len; i++) {
        Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run <= call->run && is_same_task(&run->name, &call->name) &&
            run->stops_at == AQ_TIME_NEVER) {
            run->stops_at = sim->now + sim_between(sim, 0, STOP_MS);
        }
    }
    close_run(vm, &call->name, call->run);
}

static void
forget_ends(Sim *sim, SimVm *vm, int64_t acked_end)
{
    for (guint i = vm->ends->len; i-- > 0;) {
        const RunEnd *end = &g_array_index(vm->ends, RunEnd, i);
        if (end->number > acked_end) {
            continue;
        }
        /* A lease that lapsed between the end and now may have let the task
         * start again. */
        if (end->kind == AQ_END_DONE && vm->lapsed_at < end->ended_at) {
            TaskState *state = task_state(sim, &end->name);
            state->is_done_confirmed = true;
            if (state->last_started_at > end->ended_at) {
                sim_violation(sim,
                              "%s was started after its end that %s confirms",
                              task_text(&end->name), vm->id);
            }
        }
        g_array_remove_index(vm->ends, i);
    }
}

static AqOrderResult
execute(Sim *sim, SimVm *vm, const OrderCall *call)
{
    if (call->fence < vm->fence) {
        return AQ_ORDER_FENCED;
    }
    if (call->fence > vm->fence) {
        sim_trace(sim, "%s: fence %llu of %s", vm->id,
                  (unsigned long long)call->fence, call->base.node->id);
    }
    vm->fence = call->fence;
    switch (call->kind) {
    case ORDER_START:
        return start(sim, vm, call);
    case ORDER_STOP:
        stop(sim, vm, call);
        break;
    case ORDER_RENEWAL:
        extend(sim, vm, call->deadline);
        forget_ends(sim, vm, call->acked_end);
        break;
    case ORDER_PACE:
        break;
    }
    return AQ_ORDER_DONE;
}

static void
list_runs(const Sim *sim, const SimVm *vm, OrderCall *call)
{
    bool is_stalled = sim->now < vm->trouble_until[SIM_VM_STALLS];
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        AqRunningTask row = {.task = run->name,
                             .run = run->run,
                             .checkpoint = "",
                             .percent = is_stalled ? 5 : sim->now / 100 % 97,
                             .usage = 100};
        g_array_append_val(call->running, row);
    }
    for (guint i = 0; i < vm->ends->len; i++) {
        const RunEnd *end = &g_array_index(vm->ends, RunEnd, i);
        AqEndedTask row = {.number = end->number,
                           .task = end->name,
                           .run = end->run,
                           .kind = end->kind,
                           .checkpoint = ""};
        g_array_append_val(call->ended, row);
    }
}

static bool
is_path_cut(const Sim *sim, const OrderCall *call)
{
    return sim->now < call->base.node->vm_cut_until[call->slot];
}

/* "vm" is NULL in the reply of another incarnation. */
static void
answer(Sim *sim, SimVm *vm, OrderCall *call, AqOrderResult result)
{
    call->result = result;
    call->clock_ms = vm != NULL ? vm_clock(sim, vm) : -1;
    if (result == AQ_ORDER_UNHEALTHY && sim_draw(sim, 500)) {
        call->clock_ms = -1;
    }
    if (result == AQ_ORDER_DONE && call->kind == ORDER_RENEWAL) {
        list_runs(sim, vm, call);
        call->born_ms = UNIX_START_MS + vm->born_at;
    }
    if (is_path_cut(sim, call)) {
        return;
    }
    if (vm != NULL && is_in_trouble(sim, vm, SIM_VM_LOSES)) {
        if (sim_draw(sim, 300)) {
            sim_fail(&call->base, sim->now + 2); /* the connection ends */
        }
        return;
    }
    sim_reply(&call->base, sim->now + sim_between(sim, 1, 4));
}

/* Returns the incarnation to which the order is addressed; NULL: it is over,
 * or has not begun.  An order that comes late is lost with the incarnation to
 * which it was sent. */
static SimVm *
addressee(const Sim *sim, const OrderCall *call)
{
    SimVm *vm = sim->vms[call->slot];
    return strcmp(vm->id, call->vm) == 0 && vm->born_at == call->vm_born_at
               ? vm
               : NULL;
}

static void
on_late_order(Sim *sim, void *context)
{
    OrderCall *call = context;
    SimVm *vm = addressee(sim, call);
    if (vm != NULL) {
        AqOrderResult result = execute(sim, vm, call);
        sim_trace(sim, "%s: late order %d for %s run %lld of %s: %s", vm->id,
                  (int)call->kind, task_text(&call->name),
                  (long long)call->run, call->base.node->id,
                  AqOrderResult_Name(result));
    }
}

static void
on_order(Sim *sim, void *context)
{
    OrderCall *call = context;
    SimVm *vm = sim->vms[call->slot];
    call->vm_born_at = vm->born_at;
    if (sim->now < vm->up_at ||
        sim->now < vm->trouble_until[SIM_VM_IS_SILENT] ||
        is_path_cut(sim, call)) {
        call->is_sent = sim_draw(sim, 700);
        if (!call->is_sent && sim_draw(sim, 300)) {
            sim_fail(&call->base, sim->now + 1); /* connection refused */
        }
        if (call->is_sent && sim_draw(sim, 300)) {
            /* What the node's host still has to send arrives later. */
            sim_at(sim, sim->now + sim_between(sim, 500, 8000), on_late_order,
                   call);
        }
        return;
    }
    if (addressee(sim, call) == NULL) {
        answer(sim, NULL, call, AQ_ORDER_OTHER_LIFE);
        return;
    }
    if (is_in_trouble(sim, vm, SIM_VM_REFUSES)) {
        answer(sim, vm, call, AQ_ORDER_UNHEALTHY);
        return;
    }
    if (is_in_trouble(sim, vm, SIM_VM_DELAYS)) {
        sim_at(sim, sim->now + sim_between(sim, 2000, 12000), on_late_order,
               call);
        return;
    }
    AqOrderResult result = execute(sim, vm, call);
    if (call->kind == ORDER_RENEWAL && result == AQ_ORDER_DONE &&
        vm->ends->len == 0 && call->wait_until > sim->now) {
        g_ptr_array_add(vm->held, call);
        return;
    }
    answer(sim, vm, call, result);
}

static void
answer_held(Sim *sim, SimVm *vm)
{
    for (guint i = vm->held->len; i-- > 0;) {
        OrderCall *call = g_ptr_array_index(vm->held, i);
        if (vm->ends->len > 0 || call->wait_until <= sim->now) {
            g_ptr_array_remove_index_fast(vm->held, i);
            answer(sim, vm, call, AQ_ORDER_DONE);
        }
    }
}

/* ---- Client ------------------------------------------------------------- */

static void
end_call(SimCall *base, bool is_answered)
{
    OrderCall *call = (OrderCall *)base;
    AqOrderReply reply = {.result = call->is_sent ? AQ_ORDER_UNKNOWN
                                                  : AQ_ORDER_NOT_SENT,
                          .clock_ms = -1};
    if (is_answered) {
        reply = (AqOrderReply){
            .result = call->result,
            .clock_ms = call->clock_ms,
            .born_ms = call->born_ms,
            .running = (const AqRunningTask *)(void *)call->running->data,
            .running_count = call->running->len,
            .ended = (const AqEndedTask *)(void *)call->ended->data,
            .ended_count = call->ended->len,
        };
    }
    call->done(call->context, &reply);
}

static void
free_call(SimCall *base)
{
    OrderCall *call = (OrderCall *)base;
    g_array_free(call->running, TRUE);
    g_array_free(call->ended, TRUE);
    g_free(call->text);
    g_free(call);
}

static OrderCall *
add_call(AqWorkerClient *workers, OrderKind kind, const AqOrderTarget *target,
         uint64_t fence, AqTime wait_ms, AqOrderDone done, void *context)
{
    SimNode *node =
        (SimNode *)(void *)((char *)workers - offsetof(SimNode, workers));
    OrderCall *call = g_new0(OrderCall, 1);
    call->kind = kind;
    call->slot = (unsigned)atoi(target->address + strlen("10.0.0."));
    g_strlcpy(call->vm, target->vm, sizeof(call->vm));
    call->fence = fence;
    call->deadline = -1;
    call->is_sent = true;
    call->done = done;
    call->context = context;
    call->running = g_array_new(FALSE, TRUE, sizeof(AqRunningTask));
    call->ended = g_array_new(FALSE, TRUE, sizeof(AqEndedTask));
    call->base.end = end_call;
    call->base.free = free_call;
    sim_begin_call(node, &call->base, wait_ms + TIMEOUT_MS);
    call->wait_until = node->sim->now + wait_ms;
    if (node->freezes_sending_ms > 0) {
        sim_freeze_node(node->sim, node->number, node->freezes_sending_ms,
                        false);
        node->freezes_sending_ms = 0;
    }
    sim_at(node->sim, sim_departure(node) + sim_between(node->sim, 1, 4),
           on_order, call);
    return call;
}

static void
order_start(AqWorkerClient *workers, const AqOrderTarget *target,
            const AqStartOrder *order, AqOrderDone done, void *context)
{
    OrderCall *call =
        add_call(workers, ORDER_START, target, order->fence, 0, done, context);
    call->name = order->task;
    call->run = order->run;
    call->deadline = order->deadline_ms;
    call->text = g_strdup(order->text);
}

static void
order_stop(AqWorkerClient *workers, const AqOrderTarget *target,
           const AqTaskName *task, int64_t run, uint64_t fence,
           AqOrderDone done, void *context)
{
    OrderCall *call =
        add_call(workers, ORDER_STOP, target, fence, 0, done, context);
    call->name = *task;
    call->run = run;
}

static void
order_renewal(AqWorkerClient *workers, const AqOrderTarget *target,
              const AqRenewalOrder *order, AqOrderDone done, void *context)
{
    OrderCall *call = add_call(workers, ORDER_RENEWAL, target, order->fence,
                               order->wait_ms, done, context);
    call->deadline = order->deadline_ms;
    call->acked_end = order->acked_end;
}

static void
order_pace(AqWorkerClient *workers, const AqOrderTarget *target,
           const AqTaskName *task, int64_t run, int percent, uint64_t fence,
           AqOrderDone done, void *context)
{
    (void)percent;
    OrderCall *call =
        add_call(workers, ORDER_PACE, target, fence, 0, done, context);
    call->name = *task;
    call->run = run;
}

static void
destroy_workers(AqWorkerClient *workers)
{
    (void)workers;
}

const AqWorkerClientOps *
sim_worker_ops(void)
{
    static const AqWorkerClientOps ops = {
        order_start, order_stop, order_renewal, order_pace, destroy_workers};
    return &ops;
}

/* ---- Entries in the store ----------------------------------------------- */

static void
remove_entry(Sim *sim, SimVm *vm)
{
    char key[AQ_VM_ID_SIZE + 16];
    snprintf(key, sizeof(key), "%s%s", AqPlatform_WorkerPrefix, vm->id);
    vm->listed_at = 0;
    sim_store_remove(sim, key);
}

static void
update_entry(Sim *sim, SimVm *vm)
{
    char key[AQ_VM_ID_SIZE + 16];
    char value[300];
    bool is_heard = sim->now >= vm->trouble_until[SIM_VM_IS_SILENT] &&
                    sim->now >= vm->trouble_until[SIM_VM_IS_UNLISTED] &&
                    sim->now >= vm->up_at;
    if (!is_heard && vm->listed_at != 0 &&
        (sim->now < vm->trouble_until[SIM_VM_IS_UNLISTED] ||
         sim->now - vm->listed_at > LISTING_TTL_MS)) {
        remove_entry(sim, vm);
    }
    if (!is_heard || sim->now - vm->listed_at < HEARTBEAT_MS) {
        return;
    }
    vm->listed_at = sim->now;
    snprintf(key, sizeof(key), "%s%s", AqPlatform_WorkerPrefix, vm->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"p%u\",\"address\":\"10.0.0.%u:80\","
             "\"zone\":\"z\",\"version\":\"1\",\"slots\":8,"
             "\"state\":\"ready\",\"cold_left_ms\":0,\"room\":{\"cpu\":%d,"
             "\"mem_mb\":65536,\"gpu\":0},\"labels\":[\"a\",\"r-%u\"],"
             "\"sequence\":%lld,\"machine\":\"m-%u\",\"born\":%lld}",
             vm->number % SIM_POOLS, vm->number, VM_CPU_MILLIS, vm->number,
             (long long)sim->now, vm->number,
             (long long)UNIX_START_MS + vm->born_at);
    sim_store_put(sim, key, value, strlen(value));
}

/* ---- Control ------------------------------------------------------------ */

void
sim_vms_step(Sim *sim)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        SimVm *vm = sim->vms[i];
        run_tasks(sim, vm);
        answer_held(sim, vm);
        update_entry(sim, vm);
    }
}

int
sim_find_run(const Sim *sim, unsigned pool)
{
    for (unsigned i = pool; i < SIM_VMS; i += SIM_POOLS) {
        if (sim->vms[i]->runs->len > 0) {
            return (int)i;
        }
    }
    return -1;
}

void
sim_crash_vm(Sim *sim, unsigned number, AqTime down_ms)
{
    SimVm *vm = sim->vms[number];
    sim_trace(sim, "%s crashes", vm->id);
    for (guint i = 0; i < vm->held->len; i++) {
        OrderCall *call = g_ptr_array_index(vm->held, i);
        sim_fail(&call->base, sim->now + 1);
    }
    SimVm *next = sim_vm_create(sim, number);
    next->up_at = sim->now + down_ms;
    next->born_at = next->up_at;
    if (sim_draw(sim, KEEP_ID_PERMILLE)) {
        g_strlcpy(next->id, vm->id, sizeof(next->id));
        next->listed_at = vm->listed_at;
    }
    else {
        remove_entry(sim, vm);
    }
    sim_vm_destroy(vm);
    sim->vms[number] = next;
}

void
sim_vm_trouble(Sim *sim, unsigned number, SimVmTrouble trouble, AqTime ms,
               unsigned permille)
{
    SimVm *vm = sim->vms[number];
    sim_trace(sim, "%s: trouble %d for %lld ms", vm->id, (int)trouble,
              (long long)ms);
    vm->trouble_until[trouble] = sim->now + ms;
    vm->trouble_permille[trouble] = permille;
}

SimVm *
sim_vm_create(Sim *sim, unsigned number)
{
    SimVm *vm = g_new0(SimVm, 1);
    vm->number = number;
    snprintf(vm->id, sizeof(vm->id), "vm-%u-%u", number,
             sim->incarnation_count++);
    vm->born_at = sim->now;
    vm->clock_rate = 0.98 + AqRandom_Unit(&sim->random) * 0.02;
    vm->runs = g_array_new(FALSE, FALSE, sizeof(Run));
    vm->ends = g_array_new(FALSE, FALSE, sizeof(RunEnd));
    vm->closed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    vm->held = g_ptr_array_new();
    return vm;
}

void
sim_vm_destroy(SimVm *vm)
{
    g_array_free(vm->runs, TRUE);
    g_array_free(vm->ends, TRUE);
    g_hash_table_destroy(vm->closed);
    g_ptr_array_free(vm->held, TRUE);
    g_free(vm);
}
