#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "fair_order.h"
#include "scheduler_internal.h"

/* Placement of tasks on VMs.  A task goes to a VM that may run it and has
 * room, preferably in the rack of its data.  Among these the fullest VM is
 * chosen, so that other VMs become empty and can be released.  The perpetual
 * tasks of a step are spread over racks, so that the loss of one rack affects
 * few of them.  A perpetual task that fits on no such VM goes to a cordoned VM
 * that still has tasks, and moves on later: the wait for room elsewhere may
 * have no end, since cordoned VMs keep the tasks that fit nowhere else. */

enum {
    /* addend of placement_cost() for each task of the same perpetual step in
     * the VM's rack, in the unit of free CPU, thousandths of a core; above any
     * amount of free CPU of a VM */
    RACK_SPREAD_COST = 1000000,
    /* addend of placement_cost(), thousandths of a core, for a VM in a rack
     * other than that of the task's data */
    OTHER_RACK_COST = 10000000,
    /* addend of placement_cost(), thousandths of a core, for a VM in a rack
     * for which other tasks wait; above any amount of free CPU of a VM */
    WANTED_RACK_COST = 1000000,
    /* how many run numbers of each task are reserved for each owner of the
     * pool */
    RUNS_PER_OWNER = 100000,
    TICKET_RETRY_MS = 200,
    MAX_TICKET_REQUEST_VMS = 100
};

static bool
has_label(const Vm *vm, const char *label)
{
    return label == NULL || strcmp(vm->report.kind, label) == 0 ||
           strcmp(vm->report.rack, label) == 0;
}

static bool
fits_on(const Vm *vm, const AqStepSpec *spec)
{
    int64_t cpu = spec->is_filler ? 0 : spec->cpu_millis;
    return vm->used_cpu + vm->reserved_cpu + vm->foreign_cpu + cpu <=
               vm->report.cpu_millis &&
           vm->used_memory + vm->reserved_memory + vm->foreign_memory +
                   spec->memory_mb <=
               vm->report.memory_mb &&
           vm->used_gpus + vm->reserved_gpus + spec->gpus <= vm->report.gpus;
}

/* Number of the step's tasks that are on the VM or have a reservation there.
 */
static uint32_t
count_step_tasks(const Vm *vm, const Step *step)
{
    uint32_t count = 0;
    AqList_ForEach(at, &vm->tasks)
    {
        count += AqList_Entry(at, Task, link)->step == step;
    }
    AqList_ForEach(at, &vm->reservations)
    {
        count += AqList_Entry(at, Task, reservation_link)->step == step;
    }
    return count;
}

static uint32_t
count_step_tasks_on_rack(const AqScheduler *s, const char *rack,
                         const Step *step)
{
    uint32_t count = 0;
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (strcmp(vm->report.rack, rack) == 0) {
            count += count_step_tasks(vm, step);
        }
    }
    return count;
}

static const char *
find_ticket(const AqScheduler *s, const Step *step, const Vm *vm)
{
    enum {
        /* Least time for which a ticket (permission of the advice service to
         * start a task on one VM) must still be valid, since the start order
         * takes time to arrive. */
        TICKET_MARGIN_MS = 300
    };
    for (guint i = 0; step->tickets != NULL && i < step->tickets->len; i++) {
        const Ticket *ticket = &g_array_index(step->tickets, Ticket, i);
        if (ticket->expires_at > s->now + TICKET_MARGIN_MS &&
            ticket->born_ms == vm->born_ms &&
            strcmp(ticket->vm, vm->report.id) == 0) {
            return ticket->ticket;
        }
    }
    return NULL;
}

static bool
needs_ticket(const Step *step)
{
    return step->occurrence->job->terms.needs_tickets;
}

/* The same as placement_check(); "tickets": whether the VM needs a ticket for
 * the task's step. */
static PlacementResult
check_vm(const AqScheduler *s, const Vm *vm, const Task *task, bool tickets)
{
    const Step *step = task->step;
    const AqStepSpec *spec = step->spec;
    if (vm->blocked_until > s->now) {
        return PLACEMENT_BLOCKED;
    }
    if (!fits_on(vm, spec)) {
        return PLACEMENT_NO_ROOM;
    }
    if (!crashes_allow_vm(s, vm, task)) {
        return PLACEMENT_SUSPECT;
    }
    if (!has_label(vm, spec->required_label)) {
        return PLACEMENT_OTHER_LABEL;
    }
    if (spec->max_per_vm > 0 &&
        (vm->foreign_cpu > 0 ||
         count_step_tasks(vm, step) >= spec->max_per_vm)) {
        return PLACEMENT_STEP_LIMIT;
    }
    if (tickets && find_ticket(s, step, vm) == NULL) {
        return PLACEMENT_NO_TICKET;
    }
    return PLACEMENT_POSSIBLE;
}

PlacementResult
placement_check(const AqScheduler *s, const Vm *vm, const Task *task)
{
    return check_vm(s, vm, task, needs_ticket(task->step));
}

uint32_t
placement_task_limit(const Vm *vm, const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    if (!has_label(vm, spec->required_label) ||
        strcmp(vm->report.id, task->avoid) == 0) {
        return 0;
    }
    if (spec->max_per_vm == 0) {
        return UINT32_MAX;
    }
    uint32_t count = count_step_tasks(vm, task->step);
    return count < spec->max_per_vm ? spec->max_per_vm - count : 0;
}

/* Returns the cost of running the task on the VM, in thousandths of a core:
 * the VM's free CPU plus addends for unwanted VMs and racks.  The VM with the
 * lowest cost is chosen. */
static int64_t
placement_cost(const AqScheduler *s, const Vm *vm, const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    int64_t cost = vm->report.cpu_millis - vm->used_cpu;
    if (spec->is_perpetual) {
        cost += (int64_t)RACK_SPREAD_COST *
                count_step_tasks_on_rack(s, vm->report.rack, task->step);
    }
    bool is_near = spec->near_rack != NULL &&
                   strcmp(vm->report.rack, spec->near_rack) == 0;
    if (spec->near_rack != NULL && !is_near) {
        cost += OTHER_RACK_COST;
    }
    if (!is_near && !spec->is_perpetual &&
        places_is_wanted(s, vm->report.rack)) {
        cost += WANTED_RACK_COST;
    }
    if (strcmp(vm->report.id, task->avoid) == 0) {
        cost += 2 * (int64_t)OTHER_RACK_COST;
    }
    return cost + crashes_placement_cost(vm, task);
}

/* Chooses among the VMs for which "may_use" is true; NULL: none has room. With
 * "tickets" the VM needs a ticket for the task's step. */
static Vm *
choose_vm(const AqScheduler *s, const Task *task, const char *rack,
          bool tickets, bool (*may_use)(const AqScheduler *s, const Vm *vm))
{
    Vm *best = NULL;
    int64_t best_cost = INT64_MAX;
    AqList_ForEach(at, &s->vms)
    {
        Vm *vm = AqList_Entry(at, Vm, link);
        if (rack != NULL && strcmp(vm->report.rack, rack) != 0) {
            continue;
        }
        if (may_use(s, vm) &&
            check_vm(s, vm, task, tickets) == PLACEMENT_POSSIBLE) {
            int64_t cost = placement_cost(s, vm, task);
            if (cost < best_cost) {
                best = vm;
                best_cost = cost;
            }
        }
    }
    return best;
}

Vm *
placement_find_move_target(const AqScheduler *s, const Task *task)
{
    /* Tickets are requested once the task is ready. */
    return choose_vm(s, task, NULL, false, vms_is_usable);
}

void
placement_send_start(AqScheduler *s, Task *task)
{
    AqOrderTarget target;
    const char *ticket = find_ticket(s, task->step, task->vm);
    const char *workspace = task->step->occurrence->job->spec.workspace;
    AqStartOrder order = {
        .run = task->run,
        .text = task->step->occurrence->job->spec.text,
        .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
        .ticket = ticket != NULL ? ticket : "",
        .deadline_ms = vms_grant_lease(s, task->vm),
        .fence = s->config.fence,
    };
    scheduler_name_task(task, &order.task);
    vms_target(task->vm, &target);
    task->is_order_pending = true;
    task->is_start_ordered = true;
    task->start_sent_at = s->now;
    crashes_note_start_sent(s, task);
    start_window_sent(&s->start_window, s->now);
    AqLog_Event(AQ_LOG_INFO, "run_ordered",
                "request=%s occurrence=%u step=%u task=%u run=%lld vm=%s "
                "fence=%llu waited_ms=%lld place=%s%s%s",
                order.task.job, order.task.occurrence, order.task.step,
                order.task.index, (long long)order.run, target.vm,
                (unsigned long long)s->config.fence,
                (long long)(s->now - task->ready_at), places_name(task),
                workspace != NULL ? " workspace=" : "",
                workspace != NULL ? workspace : "");
    s->actions.start(s->context, &target, &order);
}

static void
assign_task(AqScheduler *s, Vm *vm, Task *task, int64_t run)
{
    s->counters.assigned++;
    task->step->ready--;
    task->state = TASK_STARTING;
    task->run = run;
    task->may_start_late = false;
    task->must_stop_after_reply = false;
    task->percent = 0;
    task->resend_at = 0;
    task->start_seq = 0;
    task->is_start_ordered = false;
    task->has_unanswered_start = false;
    vms_attach(s, vm, task);
}

/* Sends the start order of a task that has been assigned to a VM, or leaves it
 * to replies_tick() when the job must be stored first. */
static void
order_start(AqScheduler *s, Task *task)
{
    places_note_start(s, task);
    workspace_caps_note_start(task);
    if (!crashes_store_start(s, task)) {
        placement_send_start(s, task);
    }
}

static void
request_tickets(AqScheduler *s, Step *step)
{
    const char *vms[MAX_TICKET_REQUEST_VMS];
    size_t count = 0;
    AqTaskName name;
    if (step->is_requesting_tickets || step->request_tickets_at > s->now) {
        return;
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (count < MAX_TICKET_REQUEST_VMS && vms_is_usable(s, vm)) {
            vms[count++] = vm->report.id;
        }
    }
    if (count == 0) {
        return;
    }
    scheduler_name_task(&step->tasks[0], &name);
    step->is_requesting_tickets = true;
    step->request_tickets_at = s->now + TICKET_RETRY_MS;
    s->actions.request_tickets(s->context, &name, vms, count);
}

/* Returns the number of a new run of a task whose highest run number is
 * "last": above all earlier runs of the task, including those that an earlier
 * owner may have ordered without receiving a reply. */
static int64_t
next_run(const AqScheduler *s, int64_t last)
{
    int64_t base = s->config.generation * RUNS_PER_OWNER;
    return (last > base ? last : base) + 1;
}

static bool
is_startable(const AqScheduler *s, const Task *task)
{
    return task->state == TASK_READY && task->not_before <= s->now &&
           !open_runs_hold_start(s, task);
}

static void
update_largest_free(AqScheduler *s)
{
    s->largest_free_cpu_millis = 0;
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        int64_t free = vm->report.cpu_millis - vm->used_cpu - vm->foreign_cpu;
        if (free > s->largest_free_cpu_millis && vms_is_usable(s, vm)) {
            s->largest_free_cpu_millis = free;
        }
    }
}

/* Chooses the VM for a run of the task, which no longer needs the room that
 * was reserved for it.  NULL: no VM has room, or the task waits for room near
 * its data. */
static Vm *
choose_vm_for_run(AqScheduler *s, Task *task)
{
    const char *near_rack = task->step->spec->near_rack;
    bool tickets = needs_ticket(task->step);
    vms_end_reservation(task);
    Vm *vm = choose_vm(s, task, NULL, tickets, vms_is_usable);
    if (vm == NULL && task->step->spec->is_perpetual) {
        vm = choose_vm(s, task, NULL, tickets, vms_is_being_emptied);
    }
    /* A ticket may be missing for the VMs near the data, which no end of a run
     * brings. */
    if (vm != NULL && near_rack != NULL && !tickets &&
        strcmp(vm->report.rack, near_rack) != 0 &&
        places_wait_for_data(s, task)) {
        return NULL;
    }
    return vm;
}

static void
place_tasks(AqScheduler *s, Step *step)
{
    bool has_placed = false;
    /* No VM has room for a task of the step.  Each of them needs the same, so
     * only those with a reservation are tried after that. */
    bool is_full = false;
    if (!step->spec->is_filler && !step->spec->is_perpetual &&
        !step->has_crashes &&
        step->spec->cpu_millis > s->largest_free_cpu_millis) {
        /* no usable VM has enough free CPU for a task of the step; checked
         * before the single VMs to save time, since many jobs wait in a full
         * pool */
        crashes_note_wait(s, &step->tasks[0]);
        return;
    }
    for (uint32_t i = 0; i < step->spec->task_count && step->ready > 0; i++) {
        Task *task = &step->tasks[i];
        if (!is_startable(s, task) || (is_full && task->reserved_vm == NULL &&
                                       !crashes_is_suspect(task))) {
            continue;
        }
        if (!start_window_is_open(&s->start_window) ||
            !workspace_caps_allow(s, step, 1)) {
            break;
        }
        Vm *vm = choose_vm_for_run(s, task);
        if (vm == NULL) {
            bool is_waiting = places_is_waiting(s, task);
            if (!is_waiting) {
                crashes_note_wait(s, task);
            }
            is_full = is_full || !(crashes_is_suspect(task) || is_waiting);
            continue;
        }
        assign_task(s, vm, task, next_run(s, task->run));
        order_start(s, task);
        has_placed = true;
    }
    if (has_placed) {
        update_largest_free(s);
    }
}

/* Orders the start of all tasks of a gang, or of none when they do not all
 * fit.  With a "rack" only VMs in that rack are used; NULL allows all racks.
 * Returns whether the starts were ordered. */
static bool
place_gang_on(AqScheduler *s, Step *step, const char *rack)
{
    int64_t run = 0;
    uint32_t placed = 0;
    uint32_t count = step->spec->task_count;
    for (uint32_t i = 0; i < count; i++) {
        run = step->tasks[i].run > run ? step->tasks[i].run : run;
    }
    int64_t *earlier = calloc(count + 1, sizeof(*earlier));
    for (; placed < count; placed++) {
        Task *task = &step->tasks[placed];
        vms_end_reservation(task);
        Vm *vm = choose_vm(s, task, rack, needs_ticket(step), vms_is_usable);
        if (vm == NULL) {
            break;
        }
        earlier[placed] = task->run;
        assign_task(s, vm, task, next_run(s, run));
    }
    if (placed < count) {
        while (placed-- > 0) {
            Task *task = &step->tasks[placed];
            AqTime since = task->ready_at;
            scheduler_requeue_task(s, task);
            task->run = earlier[placed];
            task->ready_at = since;
        }
        free(earlier);
        return false;
    }
    free(earlier);
    for (uint32_t i = 0; i < count; i++) {
        order_start(s, &step->tasks[i]);
    }
    return true;
}

static void
place_gang(AqScheduler *s, Step *step)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        if (!is_startable(s, &step->tasks[i])) {
            /* a task of the gang (step whose tasks run together) is not ready,
             * or its earliest start time, Task.not_before, has not come */
            return;
        }
    }
    if (!workspace_caps_allow(s, step, step->spec->task_count)) {
        return;
    }
    if (step->spec->prefers_one_rack) {
        AqList_ForEach(at, &s->vms)
        {
            const Vm *vm = AqList_Entry(at, Vm, link);
            char rack[sizeof(vm->report.rack)];
            g_strlcpy(rack, vm->report.rack, sizeof(rack));
            if (vms_is_usable(s, vm) && place_gang_on(s, step, rack)) {
                return;
            }
        }
        if (!needs_ticket(step) && places_wait_for_rack(s, step)) {
            return;
        }
    }
    place_gang_on(s, step, NULL);
}

static void
place_job(AqScheduler *s, Job *job)
{
    AqList_ForEach(at, &job->occurrences)
    {
        Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            Step *step = &occurrence->steps[i];
            if (step->ready == 0) {
                continue;
            }
            if (needs_ticket(step)) {
                request_tickets(s, step);
            }
            if (step->spec->is_gang) {
                place_gang(s, step);
            }
            else {
                place_tasks(s, step);
            }
        }
    }
}

void
placement_run(AqScheduler *s)
{
    if (!s->is_loaded ||
        (!s->placement_due && s->now < s->next_placement_at)) {
        return;
    }
    enum {
        /* longest time from one placement of tasks to the next; needed since
         * no event reports the end of a pause in which a task is not started
         * or a VM gets no tasks */
        PLACEMENT_PERIOD_MS = 100,
        /* least time from one placement of tasks to the next, since a
         * placement visits all jobs, and each end of a run makes a placement
         * due */
        MIN_PLACEMENT_GAP_MS = 5
    };
    if (s->now < s->earliest_placement_at) {
        return;
    }
    s->placement_due = false;
    s->next_placement_at = s->now + PLACEMENT_PERIOD_MS;
    if (!start_window_is_open(&s->start_window)) {
        /* The end of a start order that opens the window makes a placement
         * due. */
        return;
    }
    s->earliest_placement_at = s->now + MIN_PLACEMENT_GAP_MS;
    update_largest_free(s);
    crashes_choose_trial_vms(s);
    workspace_caps_begin(s);
    size_t count = 0;
    Job **jobs = malloc((AqList_Length(&s->active) + 1) * sizeof(Job *));
    AqList_ForEach(at, &s->active)
    {
        Job *job = AqList_Entry(at, Job, link);
        bool may_start = s->is_recovered || job->is_new;
        if (may_start && ranking_update(s, job)) {
            jobs[count++] = job;
        }
    }
    s->counters.ranked += count;
    qsort(jobs, count, sizeof(Job *), ranking_compare);
    FairOrder *order = fair_order_create(s, jobs, count);
    uint64_t earlier_starts = s->counters.assigned;
    Job *next;
    while (start_window_is_open(&s->start_window) &&
           (next = fair_order_next(order)) != NULL) {
        place_job(s, next);
    }
    if (fair_order_is_contended(order)) {
        workspace_waits_log(s, s->counters.assigned - earlier_starts);
    }
    fair_order_destroy(order);
    free(jobs);
}

void
AqScheduler_DisableShares(AqScheduler *s)
{
    s->disables_shares = true;
}

/* ---- Tickets ------------------------------------------------------------ */

static Step *
find_step(const AqScheduler *s, const AqTaskName *name)
{
    AqTaskName first = *name;
    first.index = 0;
    Task *task = scheduler_find_task(s, &first);
    return task != NULL ? task->step : NULL;
}

void
AqScheduler_OnTicket(AqScheduler *s, const AqTaskName *name, const char *vm,
                     const char *ticket, AqTime valid_ms, AqTime now)
{
    Step *step = find_step(s, name);
    s->now = now;
    if (step == NULL) {
        return;
    }
    const Vm *known_vm = vms_find(s, vm);
    int64_t born_ms = known_vm != NULL ? known_vm->born_ms : 0;
    if (step->tickets == NULL) {
        step->tickets = g_array_new(FALSE, FALSE, sizeof(Ticket));
    }
    for (guint i = 0; i < step->tickets->len; i++) {
        Ticket *known = &g_array_index(step->tickets, Ticket, i);
        if (strcmp(known->vm, vm) == 0) {
            free(known->ticket);
            known->ticket = strdup(ticket);
            known->expires_at = now + valid_ms;
            known->born_ms = born_ms;
            return;
        }
    }
    Ticket fresh = {strdup(vm), born_ms, strdup(ticket), now + valid_ms};
    g_array_append_val(step->tickets, fresh);
}

void
AqScheduler_OnTicketsEnd(AqScheduler *s, const AqTaskName *name,
                         bool is_answered, AqTime now)
{
    enum {
        TICKET_REFRESH_MS = 1000
    };
    Step *step = find_step(s, name);
    s->now = now;
    if (step != NULL) {
        step->is_requesting_tickets = false;
        step->request_tickets_at =
            now + (is_answered ? TICKET_REFRESH_MS : TICKET_RETRY_MS);
        s->placement_due = true;
    }
}
