#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "place_wait.h"
#include "scheduler_internal.h"

/* What the scheduler knows of the racks for which tasks wait: which runs end
 * there soon, and which tasks are to get that room first.  place_wait.c
 * decides. */

enum {
    /* A stopped run ends within 400 to 900 ms, by platform, of its order. */
    STOP_MS = 500,
    /* from the first order to a listed VM until tasks may start there: one
     * reply and one write to the store */
    VM_JOIN_MS = 300,
    /* An overdue run is expected to end after its expected duration divided by
     * this: how far the estimate was wrong is not known. */
    OVERDUE_DIVISOR = 4,
    /* how long a rack counts as wanted after a task has waited for it; longer
     * than the longest time between two placements */
    WANTED_MS = 200
};

/* The room of one rack in one placement. */
typedef struct {
    char rack[64];
    AqTime at;        /* when it was computed */
    AqTime wanted_at; /* when a task last waited for the rack */
    /* the step that was last looked at in this placement, borrowed, and the
     * expected time until the rack has room for its ready tasks */
    const Step *step;
    AqTime expected_ms;
    int64_t queued_cpu; /* of the tasks that wait in this placement */
    GArray *vms;        /* of const Vm *, borrowed; valid at "at" */
    GArray *room;       /* of PlaceVm, one for each of "vms" */
    GArray *releases;   /* of PlaceRelease, in order */
} Rack;

static void
free_rack(gpointer data)
{
    Rack *rack = data;
    g_array_free(rack->vms, TRUE);
    g_array_free(rack->room, TRUE);
    g_array_free(rack->releases, TRUE);
    free(rack);
}

GHashTable *
places_create(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_rack);
}

/* ---- Room of a rack ----------------------------------------------------- */

static bool
is_far(const Task *task)
{
    const char *rack = task->step->spec->near_rack;
    return rack != NULL && strcmp(task->vm->report.rack, rack) != 0;
}

/* Expected time until the task's run ends; AQ_TIME_NEVER: unknown. */
static AqTime
expect_end(const AqScheduler *s, const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    if (task->state == TASK_STOPPING) {
        return STOP_MS;
    }
    if (spec->is_perpetual) {
        return AQ_TIME_NEVER;
    }
    double factor = is_far(task) ? s->config.far_rack_factor : 1.0;
    AqTime whole = (AqTime)(factor * (double)scheduler_estimate(s, spec));
    AqTime left = whole;
    if (task->state == TASK_RUNNING && task->percent > 0) {
        bool is_timed = task->started_at > 0 && task->checkpoint == NULL;
        AqTime per_percent = is_timed ? task->progress_at - task->started_at
                                      : whole * task->percent / 100;
        left = per_percent * (100 - task->percent) / task->percent -
               (s->now - task->progress_at);
    }
    else if (task->state == TASK_RUNNING && task->started_at > 0) {
        left = task->started_at + whole - s->now;
    }
    return left > 0 ? left : 1 + whole / OVERDUE_DIVISOR;
}

/* Time until tasks may start on the VM; AQ_TIME_NEVER: unknown. */
static AqTime
expect_usable(const AqScheduler *s, const Vm *vm)
{
    switch (vms_state(s, vm)) {
    case VM_USABLE:
        return vm->blocked_until > s->now ? vm->blocked_until - s->now : 0;
    case VM_QUARANTINED:
        return vm->quarantined_until - s->now;
    case VM_NOT_HEARD:
    case VM_USE_UNRECORDED:
        return vm->used_by_earlier_owner ? AQ_TIME_NEVER : VM_JOIN_MS;
    default:
        return AQ_TIME_NEVER;
    }
}

static int
compare_releases(gconstpointer a, gconstpointer b)
{
    const PlaceRelease *first = a;
    const PlaceRelease *second = b;
    return (first->after_ms > second->after_ms) -
           (first->after_ms < second->after_ms);
}

static void
add_vm(const AqScheduler *s, Rack *rack, const Vm *vm)
{
    AqTime usable = expect_usable(s, vm);
    PlaceRelease free = {.vm = rack->vms->len,
                         .after_ms = usable,
                         .cpu_millis = vm->report.cpu_millis - vm->used_cpu -
                                       vm->reserved_cpu - vm->foreign_cpu,
                         .memory_mb = vm->report.memory_mb - vm->used_memory -
                                      vm->reserved_memory - vm->foreign_memory,
                         .gpus = vm->report.gpus - vm->used_gpus -
                                 vm->reserved_gpus};
    PlaceVm room = {0};
    if (usable == AQ_TIME_NEVER) {
        return;
    }
    if (usable == 0) {
        room.cpu_millis = free.cpu_millis;
        room.memory_mb = free.memory_mb;
        room.gpus = free.gpus;
    }
    else {
        g_array_append_val(rack->releases, free);
    }
    AqList_ForEach(at, &vm->tasks)
    {
        const Task *task = AqList_Entry(at, Task, link);
        const AqStepSpec *spec = task->step->spec;
        AqTime end = expect_end(s, task);
        PlaceRelease release = {.vm = rack->vms->len,
                                .after_ms = end > usable ? end : usable,
                                .cpu_millis =
                                    spec->is_filler ? 0 : spec->cpu_millis,
                                .memory_mb = spec->memory_mb,
                                .gpus = spec->gpus};
        if (end != AQ_TIME_NEVER) {
            g_array_append_val(rack->releases, release);
        }
    }
    g_array_append_val(rack->vms, vm);
    g_array_append_val(rack->room, room);
}

/* Returns the rack as it is in this placement. */
static Rack *
find_rack(const AqScheduler *s, const char *name)
{
    Rack *rack = g_hash_table_lookup(s->racks, name);
    if (rack == NULL) {
        rack = calloc(1, sizeof(*rack));
        g_strlcpy(rack->rack, name, sizeof(rack->rack));
        rack->at = -1;
        rack->wanted_at = s->now - WANTED_MS - 1;
        rack->vms = g_array_new(FALSE, FALSE, sizeof(const Vm *));
        rack->room = g_array_new(FALSE, FALSE, sizeof(PlaceVm));
        rack->releases = g_array_new(FALSE, FALSE, sizeof(PlaceRelease));
        g_hash_table_insert(s->racks, rack->rack, rack);
    }
    if (rack->at == s->now) {
        return rack;
    }
    rack->at = s->now;
    rack->step = NULL;
    rack->queued_cpu = 0;
    g_array_set_size(rack->vms, 0);
    g_array_set_size(rack->room, 0);
    g_array_set_size(rack->releases, 0);
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (strcmp(vm->report.rack, name) == 0) {
            add_vm(s, rack, vm);
        }
    }
    g_array_sort(rack->releases, compare_releases);
    return rack;
}

/* Time until the rack has room for "count" tasks of the task's step, after the
 * tasks that already wait for the rack. */
static AqTime
expect_room(const Rack *rack, const Task *task, uint32_t count)
{
    const AqStepSpec *spec = task->step->spec;
    PlaceNeed need = {.cpu_millis = spec->is_filler ? 0 : spec->cpu_millis,
                      .memory_mb = spec->memory_mb,
                      .gpus = spec->gpus};
    PlaceRoom room = {.vm_count = rack->vms->len,
                      .releases = (const PlaceRelease *)rack->releases->data,
                      .release_count = rack->releases->len};
    if (need.cpu_millis > 0) {
        int64_t ahead = rack->queued_cpu + need.cpu_millis - 1;
        count += (uint32_t)(ahead / need.cpu_millis);
    }
    room.vms = malloc((room.vm_count + 1) * sizeof(*room.vms));
    memcpy(room.vms, rack->room->data, room.vm_count * sizeof(*room.vms));
    for (size_t i = 0; i < room.vm_count; i++) {
        room.vms[i].task_limit = placement_task_limit(
            g_array_index(rack->vms, const Vm *, i), task);
    }
    AqTime expected = place_wait_estimate(&room, &need, count);
    free(room.vms);
    return expected;
}

/* ---- Decisions ---------------------------------------------------------- */

static bool
may_wait(const AqScheduler *s, const Task *task)
{
    const Job *job = task->step->occurrence->job;
    /* How long the tasks of a job have waited under an earlier owner is not
     * known. */
    return s->config.far_rack_factor > 1.0 && s->config.place_wait_ms > 0 &&
           job->is_new && !task->has_waited_for_place &&
           !task->step->spec->is_perpetual && !crashes_is_suspect(task);
}

/* Decides for the task, or for the gang that it stands for, and notes a
 * wait. */
static bool
decide(AqScheduler *s, Task *task, AqTime expected_ms)
{
    PlaceWaitInput input = {.far_factor = s->config.far_rack_factor,
                            .duration_ms =
                                scheduler_estimate(s, task->step->spec),
                            .expected_ms = expected_ms,
                            .slack_ms = task->step->occurrence->job->slack,
                            .waited_ms = s->now - task->ready_at,
                            .limit_ms = s->config.place_wait_ms};
    if (!place_wait_pays(&input)) {
        task->place_wait_until = s->now;
        return false;
    }
    if (task->place_wait_since == 0) {
        task->place_wait_since = s->now;
        task->place_wait_expected_ms = expected_ms;
    }
    task->place_wait_until = s->now + WANTED_MS;
    return true;
}

/* Counts the ready tasks of the step as the next ones that get room there. */
static void
note_queued(AqScheduler *s, Rack *rack, const Step *step)
{
    rack->queued_cpu += step->spec->cpu_millis * step->ready;
    rack->wanted_at = s->now;
    s->rack_wanted_at = s->now;
}

static bool
runs_elsewhere(const Step *step)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        if (step->tasks[i].vm != NULL && is_far(&step->tasks[i])) {
            return true;
        }
    }
    return false;
}

bool
places_wait_for_data(AqScheduler *s, Task *task)
{
    const Step *step = task->step;
    const char *name = step->spec->near_rack;
    /* A step ends with its slowest task: where one runs elsewhere, or must
     * start there, the wait of the others gains nothing. */
    if (name == NULL || !may_wait(s, task) || runs_elsewhere(step)) {
        return false;
    }
    Rack *rack = find_rack(s, name);
    if (rack->vms->len == 0) {
        /* Callers may name racks that do not exist. */
        g_hash_table_remove(s->racks, rack->rack);
        return false;
    }
    bool is_first = rack->step != step;
    if (is_first) {
        rack->step = step;
        rack->expected_ms = expect_room(rack, task, step->ready);
    }
    if (!decide(s, task, rack->expected_ms)) {
        return false;
    }
    if (is_first) {
        note_queued(s, rack, step);
    }
    return true;
}

bool
places_wait_for_rack(AqScheduler *s, Step *step)
{
    AqTime soonest = AQ_TIME_NEVER;
    Rack *best = NULL;
    Task *task = &step->tasks[0];
    if (!step->spec->prefers_one_rack || !may_wait(s, task)) {
        return false;
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        Rack *rack = find_rack(s, vm->report.rack);
        if (rack->step == step) {
            continue;
        }
        rack->step = step;
        AqTime expected = expect_room(rack, task, step->spec->task_count);
        if (expected < soonest) {
            soonest = expected;
            best = rack;
        }
    }
    if (best == NULL || !decide(s, task, soonest)) {
        return false;
    }
    note_queued(s, best, step);
    return true;
}

bool
places_is_waiting(const AqScheduler *s, const Task *task)
{
    const Task *decided =
        task->step->spec->is_gang ? &task->step->tasks[0] : task;
    return task->state == TASK_READY && decided->place_wait_until > s->now;
}

bool
places_is_wanted(const AqScheduler *s, const char *rack)
{
    if (s->now - s->rack_wanted_at > WANTED_MS) {
        return false;
    }
    const Rack *known = g_hash_table_lookup(s->racks, rack);
    return known != NULL && s->now - known->wanted_at <= WANTED_MS;
}

/* ---- Starts ------------------------------------------------------------- */

static bool
is_away(const Task *task)
{
    const Step *step = task->step;
    if (!step->spec->is_gang || !step->spec->prefers_one_rack) {
        return is_far(task);
    }
    for (uint32_t i = 1; i < step->spec->task_count; i++) {
        if (strcmp(step->tasks[i].vm->report.rack,
                   step->tasks[0].vm->report.rack) != 0) {
            return true;
        }
    }
    return false;
}

const char *
places_name(const Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    bool has_place =
        spec->near_rack != NULL || (spec->is_gang && spec->prefers_one_rack);
    if (!has_place) {
        return "any";
    }
    return is_away(task) ? "far" : "near";
}

static void
log_wait(const AqScheduler *s, const Task *task, bool away)
{
    AqTaskName name;
    const Job *job = task->step->occurrence->job;
    /* Without a new decision the pool had no room elsewhere either. */
    AqTime end =
        task->place_wait_until < s->now ? task->place_wait_until : s->now;
    scheduler_name_task(task, &name);
    AqLog_Event(
        AQ_LOG_INFO, "place_wait_ended",
        "request=%s occurrence=%u step=%u task=%u outcome=%s waited_ms=%lld "
        "expected_ms=%lld duration_ms=%lld slack_ms=%lld factor=%.2f",
        name.job, name.occurrence, name.step, name.index,
        away ? "far" : "near", (long long)(end - task->place_wait_since),
        (long long)task->place_wait_expected_ms,
        (long long)scheduler_estimate(s, task->step->spec),
        (long long)job->slack, s->config.far_rack_factor);
}

void
places_note_start(AqScheduler *s, Task *task)
{
    const AqStepSpec *spec = task->step->spec;
    bool is_gang = spec->is_gang && spec->prefers_one_rack;
    if (is_gang ? task->index > 0 : spec->near_rack == NULL) {
        return;
    }
    unsigned count = is_gang ? spec->task_count : 1;
    bool away = is_away(task);
    if (task->place_wait_since == 0) {
        *(away ? &s->counters.far_starts : &s->counters.near_starts) += count;
        return;
    }
    *(away ? &s->counters.far_after_wait : &s->counters.near_after_wait) +=
        count;
    log_wait(s, task, away);
    task->place_wait_since = 0;
    task->place_wait_until = 0;
    task->has_waited_for_place = true;
}
