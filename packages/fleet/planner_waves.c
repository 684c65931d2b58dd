#include "planner.h"

#include <stdlib.h>
#include <string.h>

/* A wave stops itself when this many of the last VMs failed; section 7.1. */
#define RESULTS_KEPT 10
#define FAILED_MOST 2

void
plan_waves_load(PlanStep *step)
{
    const json_t *waves = AqFleet_All(step->fleet, AQ_REC_WAVE);
    const char *name;
    json_t *record;
    step->waves = g_new0(WavePlan, json_object_size(waves) + 1);
    json_object_foreach((json_t *)waves, name, record)
    {
        WavePlan *wave = &step->waves[step->wave_count++];
        wave->name = name;
        wave->record = json_copy(record);
        wave->running = strcmp(string_or(record, "state", ""), "running") == 0;
        wave->id = int_or(record, "id", 0);
        wave->max_parallel = (int)int_or(record, "max_parallel", 1);
    }
}

WavePlan *
plan_wave(PlanStep *step, const char *name)
{
    for (int i = 0; i < step->wave_count && *name != '\0'; i++) {
        if (strcmp(step->waves[i].name, name) == 0) {
            return &step->waves[i];
        }
    }
    return NULL;
}

void
plan_wave_add_in_progress(PlanStep *step, const VmEntry *vm)
{
    WavePlan *wave = plan_wave(step, vm->wave);
    PoolPlan *pool = &step->pools[vm->pool->number];
    if (wave != NULL) {
        wave->in_work++;
        pool->zone = pool->zone == ZONE_NONE || pool->zone == vm->zone
                         ? vm->zone
                         : ZONE_MANY;
    }
}

static void
count_result(json_t *wave, const char *field)
{
    json_object_set_new(wave, field, json_integer(int_or(wave, field, 0) + 1));
}

/* Appends to "recent", a string of "o" (back) and "x" (failed); returns the
 * number of failed VMs in it. */
static int
note_recent(json_t *wave, bool back)
{
    char recent[RESULTS_KEPT + 1];
    const char *old = string_or(wave, "recent", "");
    size_t size = strlen(old);
    size_t skip = size >= RESULTS_KEPT ? size - RESULTS_KEPT + 1 : 0;
    int failed = 0;
    g_snprintf(recent, sizeof(recent), "%s%c", old + skip, back ? 'o' : 'x');
    for (const char *c = recent; *c != '\0'; c++) {
        failed += *c == 'x';
    }
    json_object_set_new(wave, "recent", json_string(recent));
    return failed;
}

static void
set_release(json_t *vm, const char *release)
{
    json_t *labels = json_copy(json_object_get(vm, "labels"));
    json_object_set_new(labels, "release", json_string(release));
    json_object_set_new(vm, "labels", labels);
}

void
plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record, bool back)
{
    WavePlan *wave = plan_wave(step, vm->wave);
    /* A full step leaves the VM, and with it the result, to the next one. */
    if (wave == NULL || step->upserts >= STEP_UPSERTS) {
        return;
    }
    const char *release = string_or(wave->record, "release", "");
    if (back && *release != '\0') {
        set_release(record, release);
    }
    json_object_set_new(
        record, "done",
        json_integer(wave->id > vm->done ? wave->id : vm->done));
    count_result(wave->record, back ? "done" : "failed");
    int failed = note_recent(wave->record, back);
    wave->changed = true;
    if (wave->running && failed >= FAILED_MOST &&
        (step->fleet->switches & FLEET_DISABLE_WAVE_STOP) == 0) {
        char reason[160];
        g_snprintf(reason, sizeof(reason),
                   "%d of the last %d VMs failed; check them and resume or "
                   "abort the wave",
                   failed, RESULTS_KEPT);
        wave->running = false;
        json_object_set_new(wave->record, "state", json_string("stopped"));
        json_object_set_new(wave->record, "reason", json_string(reason));
    }
}

/* ---- Choice of the next VMs ------------------------------------------- */

typedef struct {
    const VmEntry *vm;
    bool started; /* the wave has begun to work on its rack */
} Candidate;

/* Orders by pool; within a pool racks in work come first, then data centre
 * by data centre and rack by rack. */
static int
compare_candidates(const void *left, const void *right)
{
    const Candidate *a = left;
    const Candidate *b = right;
    if (a->vm->pool != b->vm->pool) {
        return a->vm->pool->number < b->vm->pool->number ? -1 : 1;
    }
    if (a->started != b->started) {
        return a->started ? -1 : 1;
    }
    if (a->vm->zone != b->vm->zone) {
        return a->vm->zone < b->vm->zone ? -1 : 1;
    }
    if (a->vm->rack != b->vm->rack) {
        return a->vm->rack < b->vm->rack ? -1 : 1;
    }
    return strcmp(a->vm->id, b->vm->id);
}

typedef struct {
    Candidate *list;
    int count;
    int pending; /* VMs that the wave has not finished, stopped or not */
    int *first;  /* by pool: next candidate, and the end of its list */
    int *end;
} Choice;

static bool
wave_wants(const WavePlan *wave, const VmEntry *vm)
{
    const json_t *labels = json_object_get(vm->record, "labels");
    const char *release = string_or(wave->record, "release", "");
    return vm->done < wave->id &&
           selector_matches(json_object_get(wave->record, "selector"),
                            labels) &&
           (*release == '\0' ||
            strcmp(string_or(labels, "release", ""), release) != 0);
}

static void
choice_create(Choice *choice, const PlanStep *step, const WavePlan *wave)
{
    const GPtrArray *vms = step->fleet->vm_order;
    guint pools = step->fleet->pool_order->len;
    bool *started = g_new0(bool, g_hash_table_size(step->fleet->names) + 1);
    choice->list = g_new(Candidate, vms->len + 1);
    choice->first = g_new0(int, pools);
    choice->end = g_new0(int, pools);
    for (guint i = 0; i < vms->len; i++) {
        const VmEntry *vm = vms->pdata[i];
        bool in_work = strcmp(vm->wave, wave->name) == 0;
        started[vm->rack] |= in_work || vm->done == wave->id;
        if (in_work || vm->state == AQ_VM_FAILED ||
            vm->state == AQ_VM_LEAVING || !wave_wants(wave, vm)) {
            continue;
        }
        choice->pending++;
        if (vm->state == AQ_VM_SERVING && !step->is_changed[i]) {
            choice->list[choice->count++].vm = vm;
        }
    }
    for (int i = 0; i < choice->count; i++) {
        choice->list[i].started = started[choice->list[i].vm->rack];
    }
    qsort(choice->list, (size_t)choice->count, sizeof(Candidate),
          compare_candidates);
    for (int i = 0; i < choice->count; i++) {
        int pool = choice->list[i].vm->pool->number;
        if (i == 0 || choice->list[i - 1].vm->pool->number != pool) {
            choice->first[pool] = i;
        }
        choice->end[pool] = i + 1;
    }
    g_free(started);
}

static void
choice_destroy(Choice *choice)
{
    g_free(choice->list);
    g_free(choice->first);
    g_free(choice->end);
}

/* The next candidate of a pool that its data centre in work and its budget
 * allow, or NULL. */
static const Candidate *
pool_candidate(Choice *choice, const PlanStep *step, const PoolEntry *pool)
{
    int zone = step->pools[pool->number].zone;
    int *at = &choice->first[pool->number];
    if (plan_headroom(step, pool) == 0) {
        return NULL;
    }
    while (*at < choice->end[pool->number]) {
        if (zone == ZONE_NONE || choice->list[*at].vm->zone == zone) {
            return &choice->list[*at];
        }
        ++*at;
    }
    return NULL;
}

/* Racks already started first, then the pool with most headroom. */
static const VmEntry *
choose(Choice *choice, const PlanStep *step)
{
    const Candidate *best = NULL;
    int room = 0;
    const GPtrArray *pools = step->fleet->pool_order;
    for (guint i = 0; i < pools->len; i++) {
        const PoolEntry *pool = pools->pdata[i];
        const Candidate *next = pool_candidate(choice, step, pool);
        if (next == NULL) {
            continue;
        }
        int headroom = plan_headroom(step, pool);
        if (best == NULL || (next->started && !best->started) ||
            (next->started == best->started && headroom > room)) {
            best = next;
            room = headroom;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    choice->first[best->vm->pool->number]++;
    return best->vm;
}

static void
run_wave(PlanStep *step, WavePlan *wave)
{
    Choice choice = {0};
    choice_create(&choice, step, wave);
    while (!step->hold && wave->in_work < wave->max_parallel) {
        const VmEntry *vm = choose(&choice, step);
        if (vm == NULL) {
            break;
        }
        json_t *next = vm_draining(step->fleet, vm, step->wall_ms);
        json_object_set_new(next, "wave", json_string(wave->name));
        if (!plan_put_vm(step, vm, next, AQ_VM_DRAINING)) {
            break;
        }
        wave->in_work++;
        step->pools[vm->pool->number].zone = vm->zone;
    }
    if (wave->in_work == 0 && choice.pending == 0) {
        wave->running = false;
        wave->changed = true;
        json_object_set_new(wave->record, "state", json_string("done"));
        json_object_set_new(wave->record, "ended",
                            json_integer(step->wall_ms));
    }
    choice_destroy(&choice);
}

void
plan_waves_run(PlanStep *step)
{
    for (int i = 0; i < step->wave_count; i++) {
        if (step->waves[i].running) {
            run_wave(step, &step->waves[i]);
        }
    }
}

void
plan_waves_finish(PlanStep *step)
{
    for (int i = 0; i < step->wave_count; i++) {
        WavePlan *wave = &step->waves[i];
        if (wave->changed) {
            set_put(step->set, AQ_REC_WAVE, wave->name,
                    json_incref(wave->record));
        }
        json_decref(wave->record);
    }
    g_free(step->waves);
}
