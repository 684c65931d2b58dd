#include "planner.h"

#include <stdlib.h>
#include <string.h>

/* A wave has one result for each VM on which it has finished: returned to
 * service or failed.  The planner stops a wave when the wave's latest
 * RECENT_RESULTS_MAX results include FAILED_RESULTS_LIMIT or more failures;
 * design page, section 7.1. */
#define RECENT_RESULTS_MAX 10
#define FAILED_RESULTS_LIMIT 2

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
        wave->in_progress++;
        pool->active_zone =
            pool->active_zone == ZONE_NONE || pool->active_zone == vm->zone
                ? vm->zone
                : ZONE_MANY;
    }
}

static void
count_result(json_t *wave, const char *field)
{
    json_object_set_new(wave, field, json_integer(int_or(wave, field, 0) + 1));
}

/* Appends the result of a wave for one VM to the field "recent" of the wave's
 * record and returns the number of failures in the field.  The field has one
 * character for each of the latest RECENT_RESULTS_MAX results, the latest at
 * the end: "o" (VM returned to service) or "x" (VM failed). */
static int
append_recent(json_t *wave, bool returned)
{
    char recent[RECENT_RESULTS_MAX + 1];
    const char *old = string_or(wave, "recent", "");
    size_t size = strlen(old);
    size_t skip =
        size >= RECENT_RESULTS_MAX ? size - RECENT_RESULTS_MAX + 1 : 0;
    int failed = 0;
    g_snprintf(recent, sizeof(recent), "%s%c", old + skip,
               returned ? 'o' : 'x');
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
plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record,
                 bool returned)
{
    WavePlan *wave = plan_wave(step, vm->wave);
    /* A step with STEP_UPSERTS_MAX upserts does not change the VM's record, so
     * a later step counts the result. */
    if (wave == NULL || step->upserts >= STEP_UPSERTS_MAX) {
        return;
    }
    const char *release = string_or(wave->record, "release", "");
    if (returned && *release != '\0') {
        set_release(record, release);
    }
    json_object_set_new(record, "done",
                        json_integer(wave->id > vm->last_wave_id
                                         ? wave->id
                                         : vm->last_wave_id));
    count_result(wave->record, returned ? "done" : "failed");
    int failed = append_recent(wave->record, returned);
    wave->changed = true;
    if (wave->running && failed >= FAILED_RESULTS_LIMIT &&
        (step->fleet->disabled & FLEET_DISABLE_WAVE_STOP) == 0) {
        char reason[160];
        g_snprintf(reason, sizeof(reason),
                   "%d of the last %d VMs failed; check them and resume or "
                   "abort the wave",
                   failed, RECENT_RESULTS_MAX);
        wave->running = false;
        json_object_set_new(wave->record, "state", json_string("stopped"));
        json_object_set_new(wave->record, "reason", json_string(reason));
    }
}

/* ---- Choice of the next VMs ------------------------------------------- */

typedef struct {
    const VmEntry *vm;
    /* the wave is working or has worked on a VM of this VM's rack */
    bool started;
} Candidate;

/* Orders VMs that a wave may drain by their pools.  Within a pool, VMs in
 * racks on which the wave has worked already come first; the order is then by
 * data centre, by rack and by id. */
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
    /* VMs that the wave has yet to drain, in any state but failed and
     * leaving */
    int pending;
    /* for each pool, by PoolEntry.number: position in "list" of the pool's
     * next candidate */
    int *first;
    /* for each pool, by PoolEntry.number: position in "list" after the pool's
     * last candidate */
    int *end;
} CandidateList;

/* Whether a wave has to work on a VM: the wave's selector matches the VM, the
 * wave has not finished on the VM, and the VM does not have the release of the
 * wave yet. */
static bool
wave_includes(const WavePlan *wave, const VmEntry *vm)
{
    const json_t *labels = json_object_get(vm->record, "labels");
    const char *release = string_or(wave->record, "release", "");
    return vm->last_wave_id < wave->id &&
           selector_matches(json_object_get(wave->record, "selector"),
                            labels) &&
           (*release == '\0' ||
            strcmp(string_or(labels, "release", ""), release) != 0);
}

/* Collects and orders the serving VMs that a wave may drain;
 * candidates_destroy frees the list. */
static void
candidates_create(CandidateList *candidates, const PlanStep *step,
                  const WavePlan *wave)
{
    const GPtrArray *vms = step->fleet->vm_order;
    guint pools = step->fleet->pool_order->len;
    bool *started =
        g_new0(bool, g_hash_table_size(step->fleet->interned_names) + 1);
    candidates->list = g_new(Candidate, vms->len + 1);
    candidates->first = g_new0(int, pools);
    candidates->end = g_new0(int, pools);
    for (guint i = 0; i < vms->len; i++) {
        const VmEntry *vm = vms->pdata[i];
        bool in_progress = strcmp(vm->wave, wave->name) == 0;
        started[vm->rack] |= in_progress || vm->last_wave_id == wave->id;
        if (in_progress || vm->state == AQ_VM_FAILED ||
            vm->state == AQ_VM_LEAVING || !wave_includes(wave, vm)) {
            continue;
        }
        candidates->pending++;
        if (vm->state == AQ_VM_SERVING && !step->is_changed[i]) {
            candidates->list[candidates->count++].vm = vm;
        }
    }
    for (int i = 0; i < candidates->count; i++) {
        candidates->list[i].started = started[candidates->list[i].vm->rack];
    }
    qsort(candidates->list, (size_t)candidates->count, sizeof(Candidate),
          compare_candidates);
    for (int i = 0; i < candidates->count; i++) {
        int pool = candidates->list[i].vm->pool->number;
        if (i == 0 || candidates->list[i - 1].vm->pool->number != pool) {
            candidates->first[pool] = i;
        }
        candidates->end[pool] = i + 1;
    }
    g_free(started);
}

static void
candidates_destroy(CandidateList *candidates)
{
    g_free(candidates->list);
    g_free(candidates->first);
    g_free(candidates->end);
}

/* Returns the candidate in a pool that the wave drains next.  Returns NULL
 * when the pool's budget allows no further drain, or when waves already work
 * on the pool and no candidate is in the data centre where they work. */
static const Candidate *
pool_candidate(CandidateList *candidates, const PlanStep *step,
               const PoolEntry *pool)
{
    int zone = step->pools[pool->number].active_zone;
    int *at = &candidates->first[pool->number];
    if (plan_headroom(step, pool) == 0) {
        return NULL;
    }
    while (*at < candidates->end[pool->number]) {
        if (zone == ZONE_NONE || candidates->list[*at].vm->zone == zone) {
            return &candidates->list[*at];
        }
        ++*at;
    }
    return NULL;
}

/* Returns the VM that the wave drains next and removes it from the candidates;
 * NULL when there is none.  Prefers VMs in racks on which the wave has worked
 * already, then VMs of the pool whose budget allows most further drains. */
static const VmEntry *
choose_vm(CandidateList *candidates, const PlanStep *step)
{
    const Candidate *best = NULL;
    int best_headroom = 0;
    const GPtrArray *pools = step->fleet->pool_order;
    for (guint i = 0; i < pools->len; i++) {
        const PoolEntry *pool = pools->pdata[i];
        const Candidate *next = pool_candidate(candidates, step, pool);
        if (next == NULL) {
            continue;
        }
        int headroom = plan_headroom(step, pool);
        if (best == NULL || (next->started && !best->started) ||
            (next->started == best->started && headroom > best_headroom)) {
            best = next;
            best_headroom = headroom;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    candidates->first[best->vm->pool->number]++;
    return best->vm;
}

/* Begins drains of VMs until max_parallel VMs of the wave are in progress;
 * sets the wave's state to done when no VM is in progress or left to drain. */
static void
run_wave(PlanStep *step, WavePlan *wave)
{
    CandidateList candidates = {0};
    candidates_create(&candidates, step, wave);
    while (!step->hold && wave->in_progress < wave->max_parallel) {
        const VmEntry *vm = choose_vm(&candidates, step);
        if (vm == NULL) {
            break;
        }
        json_t *next = vm_draining(step->fleet, vm, step->wall_ms);
        json_object_set_new(next, "wave", json_string(wave->name));
        if (!plan_put_vm(step, vm, next, AQ_VM_DRAINING)) {
            break;
        }
        wave->in_progress++;
        step->pools[vm->pool->number].active_zone = vm->zone;
    }
    if (wave->in_progress == 0 && candidates.pending == 0) {
        wave->running = false;
        wave->changed = true;
        json_object_set_new(wave->record, "state", json_string("done"));
        json_object_set_new(wave->record, "ended",
                            json_integer(step->wall_ms));
    }
    candidates_destroy(&candidates);
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
