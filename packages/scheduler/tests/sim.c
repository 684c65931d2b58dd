#include "sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    TICK_MS = 10,
    ANSWER_MS = 2,
    TIMEOUT_MS = 600,
    SAVE_MS = 8,
    UNLIST_MS = 4500, /* an entry that is not renewed lapses */
    MAX_ATTEMPTS = 2
};

typedef struct {
    AqTaskName name;
    int64_t run;
    AqTime began;
    AqTime takes; /* ms of work */
    AqTime worked;
    bool fails;
    bool is_perpetual;
    int64_t cpu;
    int pace;
} Run;

typedef struct {
    int64_t number;
    AqTaskName name;
    int64_t run;
    AqEndKind kind;
    AqTime at;
} End;

typedef struct {
    char id[AQ_VM_ID_SIZE];
    char address[32];
    unsigned slot;
    bool is_alive;
    AqTime silent_until;
    AqTime silent_since;
    bool is_listed;
    bool is_stalled;
    bool is_draining;
    double rate; /* of its clock */
    uint64_t fence;
    AqTime deadline;  /* on its clock */
    AqTime lapsed_at; /* when its lease was last over */
    int64_t tail_ms;
    GArray *runs;       /* of Run */
    GArray *ends;       /* of End that are not forgotten */
    GHashTable *closed; /* task -> highest ended or stopped run */
    int64_t last_end;
} SimVm;

typedef enum {
    ORDER_START,
    ORDER_STOP,
    ORDER_HOLD,
    ORDER_PACE
} OrderKind;

typedef struct SimOwner SimOwner;

typedef struct {
    AqTime at;
    uint64_t sequence;
    bool is_answer;
    OrderKind kind;
    SimOwner *owner; /* gets the answer; NULL: nobody does */
    char vm[AQ_VM_ID_SIZE];
    AqTaskName name;
    int64_t run;
    uint64_t fence;
    AqTime deadline;
    AqHoldOrder hold;
    AqTime sent_at;
    AqTime wait_until;
    int percent;
    AqOrderResult result;
    AqTime clock_ms;
    AqRunningTask *running;
    size_t running_count;
    AqEndedTask *ended;
    size_t ended_count;
} Event;

struct SimOwner {
    Sim *sim;
    AqScheduler *scheduler;
    uint64_t fence;
    AqTime expires_at; /* of one that is replaced; AQ_TIME_NEVER: not */
    bool is_dead;
    AqJobSave saves[16];
    size_t save_count;
    AqTime save_due;
};

/* What is true of a task, whoever believes what. */
typedef struct {
    unsigned failed_noted;
    bool is_done;
    bool is_done_noted;
    AqTime started_at; /* the last run */
    bool is_stopped;   /* by an order, and not started since */
} Truth;

typedef struct {
    AqBuffer spec;
    AqBuffer record;
    bool has_record;
    bool is_cancelled;
    unsigned failing_runs;
    int taken_percent; /* of the declared duration */
    unsigned runs;
} Stored;

struct Sim {
    AqRandom random;
    AqTime now;
    SimFaults faults;
    SimVm *vms[SIM_VMS];
    unsigned lives;
    GPtrArray *past; /* of SimVm that have ended */
    GPtrArray *events;
    uint64_t sequence;
    GPtrArray *owners;
    SimOwner *owner;
    int64_t generation;
    uint64_t fence;
    bool is_certain;
    GHashTable *jobs;   /* id -> Stored */
    GHashTable *truths; /* task -> Truth */
    AqBuffer used_vms;
    AqSiteConfig site;
    AqQueueConfig queue;
    char broken[256];
};

static void
broken(Sim *sim, const char *format, ...)
{
    va_list args;
    if (sim->broken[0] != '\0') {
        return;
    }
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    snprintf(sim->broken, sizeof(sim->broken), "at %lld: %s",
             (long long)sim->now, text);
    g_free(text);
}

static bool
happens(Sim *sim, unsigned thousandths)
{
    return AqRandom_Below(&sim->random, 1000) < thousandths;
}

static bool
is_same_task(const AqTaskName *a, const AqTaskName *b)
{
    return strcmp(a->job, b->job) == 0 && a->occurrence == b->occurrence &&
           a->step == b->step && a->index == b->index;
}

static char *
task_key(const AqTaskName *name)
{
    return g_strdup_printf("%s.%u.%u.%u", name->job, name->occurrence,
                           name->step, name->index);
}

static Truth *
truth_of(Sim *sim, const AqTaskName *name)
{
    char *key = task_key(name);
    Truth *truth = g_hash_table_lookup(sim->truths, key);
    if (truth == NULL) {
        truth = g_new0(Truth, 1);
        g_hash_table_insert(sim->truths, key, truth);
        return truth;
    }
    g_free(key);
    return truth;
}

static Stored *
stored_of(const Sim *sim, const char *id)
{
    return g_hash_table_lookup(sim->jobs, id);
}

/* ---- VMs ---------------------------------------------------------------- */

static SimVm *
new_vm(Sim *sim, unsigned slot)
{
    SimVm *vm = g_new0(SimVm, 1);
    snprintf(vm->id, sizeof(vm->id), "vm-%u-%u", slot, sim->lives++);
    snprintf(vm->address, sizeof(vm->address), "10.0.0.%u:80", slot + 1);
    vm->slot = slot;
    vm->is_alive = true;
    vm->is_listed = true;
    vm->silent_since = AQ_TIME_NEVER;
    vm->rate = 0.98 + AqRandom_Unit(&sim->random) * 0.02;
    vm->runs = g_array_new(FALSE, FALSE, sizeof(Run));
    vm->ends = g_array_new(FALSE, FALSE, sizeof(End));
    vm->closed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return vm;
}

static void
free_vm(gpointer value)
{
    SimVm *vm = value;
    g_array_free(vm->runs, TRUE);
    g_array_free(vm->ends, TRUE);
    g_hash_table_destroy(vm->closed);
    g_free(vm);
}

static AqTime
vm_clock(const Sim *sim, const SimVm *vm)
{
    return 1000 + (AqTime)((double)sim->now * vm->rate);
}

static SimVm *
find_vm(const Sim *sim, const char *id)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if (strcmp(sim->vms[i]->id, id) == 0) {
            return sim->vms[i];
        }
    }
    return NULL;
}

static void
report_vm(const SimVm *vm, AqVmReport *report)
{
    memset(report, 0, sizeof(*report));
    g_strlcpy(report->id, vm->id, sizeof(report->id));
    g_strlcpy(report->address, vm->address, sizeof(report->address));
    snprintf(report->machine, sizeof(report->machine), "m-%u", vm->slot);
    snprintf(report->rack, sizeof(report->rack), "r-%u", vm->slot / 4);
    report->cpu_millis = SIM_VM_CPU;
    report->memory_mb = 65536;
    report->is_draining = vm->is_draining;
    report->leaves_ms = -1;
}

static void
list_vm(Sim *sim, const SimVm *vm)
{
    AqVmReport report;
    report_vm(vm, &report);
    for (guint i = 0; i < sim->owners->len; i++) {
        const SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->is_dead) {
            AqScheduler_SetVm(owner->scheduler, &report, sim->now);
        }
    }
}

static void
unlist_vm(Sim *sim, SimVm *vm)
{
    vm->is_listed = false;
    for (guint i = 0; i < sim->owners->len; i++) {
        const SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->is_dead) {
            AqScheduler_VmUnlisted(owner->scheduler, vm->id, sim->now);
        }
    }
}

static int64_t
closed_run(const SimVm *vm, const AqTaskName *name)
{
    char *key = task_key(name);
    const int64_t *run = g_hash_table_lookup(vm->closed, key);
    g_free(key);
    return run != NULL ? *run : 0;
}

static void
close_run(SimVm *vm, const AqTaskName *name, int64_t run)
{
    if (run > closed_run(vm, name)) {
        int64_t *value = g_new(int64_t, 1);
        *value = run;
        g_hash_table_replace(vm->closed, task_key(name), value);
    }
}

static void
end_run(Sim *sim, SimVm *vm, guint at, AqEndKind kind)
{
    const Run *run = &g_array_index(vm->runs, Run, at);
    End end = {++vm->last_end, run->name, run->run, kind, sim->now};
    if (kind == AQ_END_DONE) {
        truth_of(sim, &run->name)->is_done = true;
    }
    close_run(vm, &run->name, run->run);
    g_array_append_val(vm->ends, end);
    g_array_remove_index(vm->runs, at);
}

static void
work(Sim *sim, SimVm *vm)
{
    bool has_lapsed = vm_clock(sim, vm) > vm->deadline;
    if (has_lapsed) {
        vm->lapsed_at = sim->now;
    }
    for (guint i = vm->runs->len; i-- > 0;) {
        Run *run = &g_array_index(vm->runs, Run, i);
        if (has_lapsed) {
            end_run(sim, vm, i, AQ_END_LAPSED);
            continue;
        }
        if (vm->is_stalled) {
            continue;
        }
        run->worked += TICK_MS * run->pace / 100;
        if (run->fails && run->worked >= run->takes / 4) {
            end_run(sim, vm, i, AQ_END_FAILED);
        }
        else if (!run->is_perpetual && run->worked >= run->takes) {
            end_run(sim, vm, i, AQ_END_DONE);
        }
    }
}

/* ---- Rules -------------------------------------------------------------- */

static void
check_alone(Sim *sim, const SimVm *starter, const AqTaskName *name)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        const SimVm *vm = sim->vms[i];
        for (guint j = 0; j < vm->runs->len; j++) {
            const Run *run = &g_array_index(vm->runs, Run, j);
            if (strcmp(run->name.job, name->job) == 0 &&
                run->name.step == name->step &&
                run->name.index == name->index) {
                broken(sim, "%s.%u.%u starts on %s and runs on %s", name->job,
                       name->step, name->index, starter->id, vm->id);
            }
        }
    }
}

static void
check_order(Sim *sim, const AqJobSpec *spec, const AqTaskName *name)
{
    const AqStepSpec *step = &spec->steps[name->step];
    for (size_t i = 0; i < step->after_count; i++) {
        AqTaskName earlier = *name;
        earlier.step = step->after[i];
        for (uint32_t j = 0; j < spec->steps[earlier.step].task_count; j++) {
            earlier.index = j;
            if (!truth_of(sim, &earlier)->is_done) {
                broken(sim, "%s.%u starts before step %u is done", name->job,
                       name->step, earlier.step);
            }
        }
    }
}

static void
check_start(Sim *sim, const SimVm *vm, const AqJobSpec *spec,
            const AqTaskName *name)
{
    Truth *truth = truth_of(sim, name);
    const AqStepSpec *step = &spec->steps[name->step];
    unsigned beside = 0;
    int64_t cpu = step->cpu_millis;
    if (!step->allows_copies) {
        truth->started_at = sim->now;
        check_alone(sim, vm, name);
    }
    check_order(sim, spec, name);
    if (truth->is_done_noted && !step->allows_copies) {
        broken(sim, "%s.%u.%u starts after its end was noted", name->job,
               name->step, name->index);
    }
    if (!step->is_perpetual && truth->failed_noted >= MAX_ATTEMPTS) {
        broken(sim, "%s.%u.%u starts after %u failed runs", name->job,
               name->step, name->index, truth->failed_noted);
    }
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        cpu += run->cpu;
        beside += strcmp(run->name.job, name->job) == 0 &&
                  run->name.step == name->step;
    }
    if (step->max_per_vm > 0 && beside >= step->max_per_vm) {
        broken(sim, "%s.%u has %u tasks on %s", name->job, name->step,
               beside + 1, vm->id);
    }
    if (cpu > SIM_VM_CPU) {
        broken(sim, "%s is over its room", vm->id);
    }
}

/* ---- Orders at a VM ----------------------------------------------------- */

static AqOrderResult
do_start(Sim *sim, SimVm *vm, const Event *event)
{
    AqJobSpec spec;
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run == event->run && is_same_task(&run->name, &event->name)) {
            return AQ_ORDER_DONE;
        }
    }
    if (event->deadline < vm_clock(sim, vm)) {
        return AQ_ORDER_LATE;
    }
    if (event->run <= closed_run(vm, &event->name)) {
        return AQ_ORDER_OLD_RUN;
    }
    Stored *stored = stored_of(sim, event->name.job);
    if (stored == NULL || !AqJobSpec_Decode(AqBuffer_Text(&stored->spec),
                                            stored->spec.size, &spec, NULL)) {
        broken(sim, "%s was never submitted", event->name.job);
        return AQ_ORDER_INVALID;
    }
    const AqStepSpec *step = &spec.steps[event->name.step];
    check_start(sim, vm, &spec, &event->name);
    truth_of(sim, &event->name)->is_stopped = false;
    Run run = {
        .name = event->name,
        .run = event->run,
        .began = sim->now,
        .takes = step->estimate_ms * stored->taken_percent / 100,
        .is_perpetual = step->is_perpetual,
        .cpu = step->is_filler ? 0 : step->cpu_millis,
        .pace = 100,
        .fails =
            stored->failing_runs > 0 || happens(sim, sim->faults.failing_runs),
    };
    if (stored->failing_runs > 0) {
        stored->failing_runs--;
    }
    stored->runs++;
    g_array_append_val(vm->runs, run);
    if (event->deadline > vm->deadline) {
        vm->deadline = event->deadline;
    }
    AqJobSpec_Clear(&spec);
    return AQ_ORDER_DONE;
}

/* Whether too many of a perpetual step are away by orders when another is
 * taken away.  One on a VM that drains has to go whatever the step may
 * miss. */
static void
check_stop(Sim *sim, const SimVm *vm, const AqTaskName *name)
{
    AqJobSpec spec;
    const Stored *stored = stored_of(sim, name->job);
    if (vm->is_draining || stored == NULL ||
        !AqJobSpec_Decode(AqBuffer_Text(&stored->spec), stored->spec.size,
                          &spec, NULL)) {
        return;
    }
    const AqStepSpec *step = &spec.steps[name->step];
    unsigned away = 0;
    for (uint32_t i = 0; i < step->task_count; i++) {
        AqTaskName other = *name;
        other.index = i;
        away += i != name->index && truth_of(sim, &other)->is_stopped;
    }
    if (step->limits_missing && away >= step->may_miss) {
        broken(sim, "%s.%u.%u is stopped while %u others are away", name->job,
               name->step, name->index, away);
    }
    AqJobSpec_Clear(&spec);
}

static void
do_stop(Sim *sim, SimVm *vm, const Event *event)
{
    for (guint i = vm->runs->len; i-- > 0;) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run <= event->run && is_same_task(&run->name, &event->name)) {
            check_stop(sim, vm, &event->name);
            truth_of(sim, &event->name)->is_stopped = true;
            end_run(sim, vm, i, AQ_END_STOPPED);
        }
    }
    close_run(vm, &event->name, event->run);
}

static void
forget_ends(Sim *sim, SimVm *vm, int64_t acked_end)
{
    for (guint i = vm->ends->len; i-- > 0;) {
        const End *end = &g_array_index(vm->ends, End, i);
        if (end->number > acked_end) {
            continue;
        }
        Truth *truth = truth_of(sim, &end->name);
        /* An end from before a lapse does not count. */
        if (end->kind == AQ_END_DONE && vm->lapsed_at < end->at) {
            truth->is_done_noted = true;
            if (truth->started_at > end->at) {
                broken(sim, "%s.%u.%u started after an end that is noted now",
                       end->name.job, end->name.step, end->name.index);
            }
        }
        truth->failed_noted += end->kind == AQ_END_FAILED;
        g_array_remove_index(vm->ends, i);
    }
}

static void
fill_lists(const SimVm *vm, Event *answer)
{
    answer->running = g_new0(AqRunningTask, vm->runs->len + 1);
    answer->ended = g_new0(AqEndedTask, vm->ends->len + 1);
    answer->running_count = vm->runs->len;
    answer->ended_count = vm->ends->len;
    for (guint i = 0; i < vm->runs->len; i++) {
        const Run *run = &g_array_index(vm->runs, Run, i);
        AqTime takes = run->takes > 0 ? run->takes : 1;
        answer->running[i] = (AqRunningTask){
            .task = run->name,
            .run = run->run,
            .checkpoint = "",
            .percent = run->is_perpetual ? 100 : run->worked * 100 / takes,
            .usage = run->is_perpetual ? vm->tail_ms : run->cpu,
        };
    }
    for (guint i = 0; i < vm->ends->len; i++) {
        const End *end = &g_array_index(vm->ends, End, i);
        answer->ended[i] = (AqEndedTask){
            .number = end->number,
            .task = end->name,
            .run = end->run,
            .kind = end->kind,
            .checkpoint = "",
        };
    }
}

static void
do_pace(SimVm *vm, const Event *event)
{
    for (guint i = 0; i < vm->runs->len; i++) {
        Run *run = &g_array_index(vm->runs, Run, i);
        if (run->run == event->run && is_same_task(&run->name, &event->name)) {
            run->pace = event->percent;
        }
    }
}

static AqOrderResult
carry_out(Sim *sim, SimVm *vm, const Event *event)
{
    if (event->fence < vm->fence) {
        return AQ_ORDER_FENCED;
    }
    vm->fence = event->fence;
    switch (event->kind) {
    case ORDER_START:
        return do_start(sim, vm, event);
    case ORDER_STOP:
        do_stop(sim, vm, event);
        break;
    case ORDER_HOLD:
        forget_ends(sim, vm, event->hold.acked_end);
        if (event->hold.deadline_ms > vm->deadline) {
            vm->deadline = event->hold.deadline_ms;
        }
        break;
    case ORDER_PACE:
        do_pace(vm, event);
        break;
    }
    return AQ_ORDER_DONE;
}

/* ---- Events ------------------------------------------------------------- */

static void
free_event(gpointer value)
{
    Event *event = value;
    g_free(event->running);
    g_free(event->ended);
    g_free(event);
}

static void
push(Sim *sim, Event *event)
{
    event->sequence = sim->sequence++;
    g_ptr_array_add(sim->events, event);
}

static Event *
copy_event(const Event *event)
{
    Event *copy = g_new0(Event, 1);
    *copy = *event;
    copy->running = NULL;
    copy->ended = NULL;
    return copy;
}

static void
answer(Sim *sim, const Event *order, SimVm *vm, AqOrderResult result,
       AqTime at)
{
    if (order->owner == NULL) {
        return;
    }
    Event *event = copy_event(order);
    event->is_answer = true;
    event->at = at;
    event->result = result;
    event->clock_ms = vm != NULL ? vm_clock(sim, vm) : -1;
    if (vm != NULL && result == AQ_ORDER_DONE && order->kind == ORDER_HOLD) {
        fill_lists(vm, event);
    }
    push(sim, event);
}

static void
deliver_order(Sim *sim, Event *event)
{
    SimVm *vm = find_vm(sim, event->vm);
    if (vm == NULL) {
        answer(sim, event, NULL, AQ_ORDER_OTHER_LIFE, sim->now + ANSWER_MS);
        return;
    }
    if (vm->silent_until > sim->now) {
        answer(sim, event, NULL, AQ_ORDER_UNKNOWN, sim->now + TIMEOUT_MS);
        return;
    }
    bool is_waiting = event->kind == ORDER_HOLD &&
                      event->wait_until > sim->now && vm->ends->len == 0;
    if (is_waiting && event->hold.wait_ms > 0) {
        if (event->fence >= vm->fence) {
            carry_out(sim, vm, event);
        }
        Event *again = copy_event(event);
        again->at = sim->now + TICK_MS;
        push(sim, again);
        return;
    }
    AqOrderResult result = carry_out(sim, vm, event);
    if (happens(sim, sim->faults.lost_answers)) {
        answer(sim, event, NULL, AQ_ORDER_UNKNOWN, sim->now + TIMEOUT_MS);
    }
    else {
        answer(sim, event, vm, result, sim->now + ANSWER_MS);
    }
}

static void
deliver_answer(Sim *sim, const Event *event)
{
    AqScheduler *s = event->owner->scheduler;
    AqOrderReply reply = {
        .result = event->result,
        .clock_ms = event->clock_ms,
        .running = event->running,
        .running_count = event->running_count,
        .ended = event->ended,
        .ended_count = event->ended_count,
    };
    if (event->owner->is_dead) {
        return;
    }
    switch (event->kind) {
    case ORDER_START:
        AqScheduler_OnStart(s, event->vm, &event->name, event->run, &reply,
                            sim->now);
        break;
    case ORDER_STOP:
        AqScheduler_OnStop(s, event->vm, &event->name, event->run, &reply,
                           sim->now);
        break;
    case ORDER_HOLD:
        AqScheduler_OnHold(s, event->vm, event->sent_at, &reply, sim->now);
        break;
    case ORDER_PACE:
        break;
    }
}

static int
compare_events(gconstpointer a, gconstpointer b)
{
    const Event *first = *(const Event *const *)a;
    const Event *second = *(const Event *const *)b;
    if (first->at != second->at) {
        return first->at < second->at ? -1 : 1;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

static void
deliver_due(Sim *sim)
{
    GPtrArray *due = g_ptr_array_new_with_free_func(free_event);
    for (guint i = sim->events->len; i-- > 0;) {
        const Event *event = g_ptr_array_index(sim->events, i);
        if (event->at <= sim->now) {
            g_ptr_array_add(due, g_ptr_array_steal_index_fast(sim->events, i));
        }
    }
    g_ptr_array_sort(due, compare_events);
    for (guint i = 0; i < due->len; i++) {
        Event *event = g_ptr_array_index(due, i);
        if (event->is_answer) {
            deliver_answer(sim, event);
        }
        else {
            deliver_order(sim, event);
        }
    }
    g_ptr_array_free(due, TRUE);
}

/* ---- Actions of a scheduler --------------------------------------------- */

static Event *
new_order(SimOwner *owner, OrderKind kind, const AqOrderTarget *target)
{
    Event *event = g_new0(Event, 1);
    event->owner = owner;
    event->kind = kind;
    event->fence = owner->fence;
    event->sent_at = owner->sim->now;
    event->at =
        owner->sim->now + 1 + (AqTime)AqRandom_Below(&owner->sim->random, 3);
    g_strlcpy(event->vm, target->vm, sizeof(event->vm));
    return event;
}

static void
send_order(SimOwner *owner, Event *event)
{
    Sim *sim = owner->sim;
    if (happens(sim, sim->faults.late_orders)) {
        Event *late = copy_event(event);
        late->owner = NULL;
        late->at =
            sim->now + 1000 + (AqTime)AqRandom_Below(&sim->random, 5000);
        push(sim, late);
        answer(sim, event, NULL, AQ_ORDER_UNKNOWN, sim->now + TIMEOUT_MS);
        free_event(event);
        return;
    }
    push(sim, event);
}

static void
on_start(void *context, const AqOrderTarget *target, const AqStartOrder *order)
{
    Event *event = new_order(context, ORDER_START, target);
    event->name = order->task;
    event->run = order->run;
    event->deadline = order->deadline_ms;
    send_order(context, event);
}

static void
on_stop(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run)
{
    Event *event = new_order(context, ORDER_STOP, target);
    event->name = *task;
    event->run = run;
    send_order(context, event);
}

static void
on_hold(void *context, const AqOrderTarget *target, const AqHoldOrder *order)
{
    SimOwner *owner = context;
    Event *event = new_order(owner, ORDER_HOLD, target);
    event->hold = *order;
    event->wait_until = owner->sim->now + order->wait_ms;
    send_order(owner, event);
}

static void
on_pace(void *context, const AqOrderTarget *target, const AqTaskName *task,
        int64_t run, int percent)
{
    Event *event = new_order(context, ORDER_PACE, target);
    event->name = *task;
    event->run = run;
    event->percent = percent;
    send_order(context, event);
}

static void
on_request_tickets(void *context, const AqTaskName *step,
                   const char *const *vms, size_t count)
{
    SimOwner *owner = context;
    for (size_t i = 0; i < count; i++) {
        AqScheduler_OnTicket(owner->scheduler, step, vms[i], "ticket", 3000,
                             owner->sim->now);
    }
    AqScheduler_OnTicketsEnd(owner->scheduler, step, true, owner->sim->now);
}

static void
on_superseded(void *context)
{
    SimOwner *owner = context;
    owner->expires_at = owner->sim->now;
}

/* ---- Owners ------------------------------------------------------------- */

static void step(Sim *sim);

static void
end_save(SimOwner *owner)
{
    Sim *sim = owner->sim;
    bool is_owner = owner == sim->owner;
    bool is_stored = is_owner && !happens(sim, sim->faults.failed_saves);
    for (size_t i = 0; is_stored && i < owner->save_count; i++) {
        Stored *stored = stored_of(sim, owner->saves[i].id);
        AqBuffer_Clear(&stored->record);
        AqBuffer_Append(&stored->record,
                        AqBuffer_Text(&owner->saves[i].record),
                        owner->saves[i].record.size);
        stored->has_record = true;
    }
    AqScheduler_EndSave(owner->scheduler, owner->saves, owner->save_count,
                        is_stored, sim->now);
    owner->save_count = 0;
}

static void
save(SimOwner *owner)
{
    Sim *sim = owner->sim;
    AqScheduler *s = owner->scheduler;
    if (owner->save_count > 0) {
        if (owner->save_due <= sim->now) {
            end_save(owner);
        }
        return;
    }
    owner->save_count = AqScheduler_BeginSave(s, owner->saves, 16);
    owner->save_due = sim->now + SAVE_MS;
    if (owner == sim->owner) {
        AqBuffer_Clear(&sim->used_vms);
        AqScheduler_EncodeUsedVms(s, &sim->used_vms);
        AqScheduler_UsedVmsSaved(s, AqScheduler_UsedVmsVersion(s));
    }
}

static void
run_owner(SimOwner *owner)
{
    Sim *sim = owner->sim;
    AqError error;
    bool may_order =
        (owner == sim->owner ? sim->is_certain : sim->now < owner->expires_at);
    AqScheduler_Tick(owner->scheduler, sim->now, sim->now, may_order);
    save(owner);
    if (!AqScheduler_CheckConsistency(owner->scheduler, &error)) {
        broken(sim, "%s", error.message);
    }
}

static void
load_job(SimOwner *owner, const Stored *stored)
{
    AqJobSpec spec;
    AqError error;
    char id[AQ_JOB_ID_SIZE];
    if (!AqJobSpec_Decode(AqBuffer_Text(&stored->spec), stored->spec.size,
                          &spec, &error)) {
        broken(owner->sim, "%s", error.message);
        return;
    }
    memcpy(id, spec.id, sizeof(id));
    const char *record =
        stored->has_record ? AqBuffer_Text(&stored->record) : NULL;
    if (!AqScheduler_AddJob(owner->scheduler, &spec, record,
                            stored->record.size, owner->sim->now, &error)) {
        broken(owner->sim, "%s", error.message);
    }
    if (stored->is_cancelled) {
        AqScheduler_CancelJob(owner->scheduler, id, owner->sim->now);
    }
}

void
sim_start_owner(Sim *sim, bool previous_may_be_active)
{
    static const AqSchedulerActions actions = {
        on_start, on_stop, on_hold, on_pace, on_request_tickets, on_superseded,
    };
    GHashTableIter iter;
    gpointer value;
    SimOwner *owner = g_new0(SimOwner, 1);
    AqSchedulerConfig config = {
        .pool = "pool",
        .fence = ++sim->fence,
        .generation = sim->generation++,
        .lease_ms = SIM_LEASE_MS,
        .earlier_owner_ms = previous_may_be_active ? SIM_OWNER_LEASE_MS : 0,
    };
    if (sim->owner != NULL) {
        sim->owner->expires_at =
            previous_may_be_active ? sim->now + SIM_OWNER_LEASE_MS : sim->now;
    }
    owner->sim = sim;
    owner->fence = config.fence;
    owner->expires_at = AQ_TIME_NEVER;
    owner->scheduler = AqScheduler_Create(&config, &actions, owner, sim->now);
    AqScheduler_SetSite(owner->scheduler, &sim->site);
    AqScheduler_Tick(owner->scheduler, sim->now, sim->now, false);
    g_ptr_array_add(sim->owners, owner);
    sim->owner = owner;
    sim->is_certain = true;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        AqVmReport report;
        report_vm(sim->vms[i], &report);
        if (sim->vms[i]->is_listed) {
            AqScheduler_SetVm(owner->scheduler, &report, sim->now);
        }
    }
    if (sim->used_vms.size > 0) {
        AqScheduler_AddUsedVms(owner->scheduler, AqBuffer_Text(&sim->used_vms),
                               sim->used_vms.size, sim->now);
    }
    g_hash_table_iter_init(&iter, sim->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        load_job(owner, value);
    }
    AqScheduler_SetLoaded(owner->scheduler);
}

void
sim_kill_owner(Sim *sim)
{
    sim->owner->is_dead = true;
    sim->owner->expires_at = sim->now;
}

void
sim_hand_over(Sim *sim)
{
    SimOwner *owner = sim->owner;
    AqScheduler *s = owner->scheduler;
    AqScheduler_Close(s);
    while (AqScheduler_HasUnsaved(s) && sim->broken[0] == '\0') {
        step(sim);
    }
    AqBuffer_Clear(&sim->used_vms);
    AqScheduler_EncodeUsedVms(s, &sim->used_vms);
    sim_kill_owner(sim);
    sim_start_owner(sim, false);
}

AqScheduler *
sim_scheduler(const Sim *sim)
{
    return sim->owner->scheduler;
}

void
sim_set_certain(Sim *sim, bool is_certain)
{
    sim->is_certain = is_certain;
}

/* ---- Time --------------------------------------------------------------- */

static void
update_listing(Sim *sim, SimVm *vm)
{
    bool is_silent = vm->silent_until > sim->now;
    if (is_silent && vm->is_listed &&
        sim->now - vm->silent_since > UNLIST_MS) {
        unlist_vm(sim, vm);
    }
    else if (!is_silent && !vm->is_listed) {
        vm->is_listed = true;
        list_vm(sim, vm);
    }
}

static void
step(Sim *sim)
{
    sim->now += TICK_MS;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        work(sim, sim->vms[i]);
        update_listing(sim, sim->vms[i]);
    }
    deliver_due(sim);
    for (guint i = 0; i < sim->owners->len; i++) {
        SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->is_dead) {
            run_owner(owner);
        }
    }
}

void
sim_run(Sim *sim, AqTime ms)
{
    AqTime end = sim->now + ms;
    while (sim->now < end && sim->broken[0] == '\0') {
        step(sim);
    }
}

bool
sim_finish(Sim *sim, AqTime most_ms)
{
    AqTime end = sim->now + most_ms;
    while (sim->now < end && sim->broken[0] == '\0') {
        GHashTableIter iter;
        gpointer key;
        bool is_finished = true;
        g_hash_table_iter_init(&iter, sim->jobs);
        while (g_hash_table_iter_next(&iter, &key, NULL)) {
            is_finished =
                is_finished && sim_stage(sim, key) >= AQ_STAGE_COMPLETED;
        }
        if (is_finished) {
            return true;
        }
        step(sim);
    }
    return false;
}

AqTime
sim_now(const Sim *sim)
{
    return sim->now;
}

const char *
sim_broken(const Sim *sim)
{
    return sim->broken[0] != '\0' ? sim->broken : NULL;
}

/* ---- VMs from outside --------------------------------------------------- */

void
sim_silence_vm(Sim *sim, unsigned vm, AqTime ms)
{
    sim->vms[vm]->silent_since = sim->now;
    sim->vms[vm]->silent_until = sim->now + ms;
}

void
sim_crash_vm(Sim *sim, unsigned vm)
{
    SimVm *old = sim->vms[vm];
    old->is_alive = false;
    unlist_vm(sim, old);
    g_array_set_size(old->runs, 0);
    g_ptr_array_add(sim->past, old);
    sim->vms[vm] = new_vm(sim, vm);
    list_vm(sim, sim->vms[vm]);
}

void
sim_stall_vm(Sim *sim, unsigned vm, bool is_stalled)
{
    sim->vms[vm]->is_stalled = is_stalled;
}

void
sim_drain_vm(Sim *sim, unsigned vm)
{
    sim->vms[vm]->is_draining = true;
    list_vm(sim, sim->vms[vm]);
}

const char *
sim_vm_id(const Sim *sim, unsigned vm)
{
    return sim->vms[vm]->id;
}

unsigned
sim_count_runs(const Sim *sim, unsigned vm, const char *job)
{
    unsigned count = 0;
    for (guint i = 0; i < sim->vms[vm]->runs->len; i++) {
        const Run *run = &g_array_index(sim->vms[vm]->runs, Run, i);
        count += job == NULL || strcmp(run->name.job, job) == 0;
    }
    return count;
}

void
sim_set_tail(Sim *sim, unsigned vm, int64_t ms)
{
    sim->vms[vm]->tail_ms = ms;
}

int
sim_lowest_pace(const Sim *sim, unsigned vm)
{
    int lowest = 100;
    for (guint i = 0; i < sim->vms[vm]->runs->len; i++) {
        const Run *run = &g_array_index(sim->vms[vm]->runs, Run, i);
        lowest = run->pace < lowest ? run->pace : lowest;
    }
    return lowest;
}

/* ---- Jobs --------------------------------------------------------------- */

void
sim_add_job(Sim *sim, AqJobSpec *spec)
{
    Stored *stored = g_new0(Stored, 1);
    spec->queue = strdup("queue");
    spec->text = strdup("text");
    spec->submitted_ms = sim->now;
    stored->taken_percent = 100;
    AqBuffer_Init(&stored->spec);
    AqBuffer_Init(&stored->record);
    AqJobSpec_Encode(spec, &stored->spec);
    g_hash_table_insert(sim->jobs, g_strdup(spec->id), stored);
    AqJobSpec_Clear(spec);
    for (guint i = 0; i < sim->owners->len; i++) {
        SimOwner *owner = g_ptr_array_index(sim->owners, i);
        if (!owner->is_dead && sim->now < owner->expires_at) {
            load_job(owner, stored);
        }
    }
}

void
sim_add_simple(Sim *sim, const char *id, unsigned steps, unsigned tasks,
               int64_t cpu_millis, AqTime duration_ms)
{
    AqJobSpec spec = {.step_count = steps};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.steps = calloc(steps, sizeof(*spec.steps));
    for (unsigned i = 0; i < steps; i++) {
        AqStepSpec *step = &spec.steps[i];
        step->task_count = tasks;
        step->cpu_millis = cpu_millis;
        step->memory_mb = 100;
        step->estimate_ms = duration_ms;
        if (i > 0) {
            step->after = calloc(1, sizeof(*step->after));
            step->after[0] = i - 1;
            step->after_count = 1;
        }
    }
    sim_add_job(sim, &spec);
}

void
sim_misdeclare(Sim *sim, const char *id, int percent)
{
    stored_of(sim, id)->taken_percent = percent;
}

void
sim_fail_job(Sim *sim, const char *id, unsigned runs)
{
    stored_of(sim, id)->failing_runs = runs;
}

void
sim_cancel_job(Sim *sim, const char *id)
{
    stored_of(sim, id)->is_cancelled = true;
    AqScheduler_CancelJob(sim->owner->scheduler, id, sim->now);
}

AqJobStage
sim_stage(const Sim *sim, const char *id)
{
    const Stored *stored = stored_of(sim, id);
    AqJobStage stage = AQ_STAGE_WAITING;
    if (stored->has_record) {
        AqScheduler_ReadStage(AqBuffer_Text(&stored->record),
                              stored->record.size, &stage, NULL);
    }
    return stage;
}

unsigned
sim_runs(const Sim *sim, const char *id)
{
    return stored_of(sim, id)->runs;
}

/* ---- Lifecycle ---------------------------------------------------------- */

static void
free_stored(gpointer value)
{
    Stored *stored = value;
    AqBuffer_Clear(&stored->spec);
    AqBuffer_Clear(&stored->record);
    g_free(stored);
}

static void
free_sim_owner(gpointer value)
{
    SimOwner *owner = value;
    for (size_t i = 0; i < owner->save_count; i++) {
        AqBuffer_Clear(&owner->saves[i].record);
    }
    AqScheduler_Destroy(owner->scheduler);
    g_free(owner);
}

Sim *
sim_create(uint64_t seed)
{
    static char queue_name[] = "queue";
    static char pool_name[] = "pool";
    Sim *sim = g_new0(Sim, 1);
    AqRandom_Seed(&sim->random, seed);
    sim->now = 1000;
    sim->events = g_ptr_array_new_with_free_func(free_event);
    sim->past = g_ptr_array_new_with_free_func(free_vm);
    sim->owners = g_ptr_array_new_with_free_func(free_sim_owner);
    sim->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_stored);
    sim->truths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqBuffer_Init(&sim->used_vms);
    sim->queue = (AqQueueConfig){
        .name = queue_name,
        .pool = pool_name,
        .target_ms = 600,
        .stretch = 1.6,
        .max_attempts = MAX_ATTEMPTS,
    };
    sim->site.queues = &sim->queue;
    sim->site.queue_count = 1;
    for (unsigned i = 0; i < SIM_VMS; i++) {
        sim->vms[i] = new_vm(sim, i);
    }
    sim_start_owner(sim, false);
    return sim;
}

void
sim_set_faults(Sim *sim, const SimFaults *faults)
{
    sim->faults = *faults;
}

void
sim_destroy(Sim *sim)
{
    g_ptr_array_free(sim->events, TRUE);
    g_ptr_array_free(sim->owners, TRUE);
    g_ptr_array_free(sim->past, TRUE);
    g_hash_table_destroy(sim->jobs);
    g_hash_table_destroy(sim->truths);
    AqBuffer_Clear(&sim->used_vms);
    for (unsigned i = 0; i < SIM_VMS; i++) {
        free_vm(sim->vms[i]);
    }
    g_free(sim);
}
