#include "jobs_internal.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *id;       /* id of this worker's VM, borrowed from the fleet */
    const json_t *labels; /* this VM's labels, borrowed from the fleet */
    /* Resources of this worker that no task has reserved; negative while tasks
     * have reserved more than the worker has. */
    Size free;
    bool accepts_tasks;
} Worker;

/* Resources that one team may reserve, and those reserved by its tasks. */
typedef struct {
    Size used; /* resources that the team's tasks have reserved */
    Size limit;
} Quota;

struct Placement {
    AqJobs *jobs;
    const AqFleet *fleet;
    int64_t wall_ms;
    GArray *workers;    /* array of Worker, one for each VM of "fleet" */
    GHashTable *by_id;  /* worker id -> 1 + array position in "workers" */
    GHashTable *quotas; /* team name -> Quota, owned */
};

/* Returns the resources in a fleet record: for a VM, all resources that the VM
 * has, free or reserved; for a team, the resources that its quota allows. */
static Size
capacity(const json_t *record)
{
    Size size = {
        .cores_milli = job_int(record, "cores") * 1000,
        .memory_mb = job_int(record, "memory_mb"),
        .accelerators = job_int(record, "accelerators"),
    };
    return size;
}

static void
subtract_size(Size *from, const Size *size)
{
    from->cores_milli -= size->cores_milli;
    from->memory_mb -= size->memory_mb;
    from->accelerators -= size->accelerators;
}

static void
add_size(Size *to, const Size *size)
{
    to->cores_milli += size->cores_milli;
    to->memory_mb += size->memory_mb;
    to->accelerators += size->accelerators;
}

bool
labels_match(const json_t *selector, const json_t *labels)
{
    const char *key;
    json_t *required;
    json_object_foreach((json_t *)selector, key, required)
    {
        if (!json_equal(required, json_object_get(labels, key))) {
            return false;
        }
    }
    return true;
}

static Worker *
find_worker(const Placement *p, const char *id)
{
    guint at = GPOINTER_TO_UINT(g_hash_table_lookup(p->by_id, id));
    return at == 0 ? NULL : &g_array_index(p->workers, Worker, at - 1);
}

/* Returns the quota of team "team", borrowed from the placement.  The quota's
 * limit is read from the fleet at the first call for that team. */
static Quota *
get_quota(const Placement *p, const char *team)
{
    Quota *quota = g_hash_table_lookup(p->quotas, team);
    if (quota == NULL) {
        quota = g_new0(Quota, 1);
        quota->limit = capacity(AqFleet_Get(p->fleet, AQ_REC_TEAM, team));
        g_hash_table_insert(p->quotas, g_strdup(team), quota);
    }
    return quota;
}

/* ---- Construction -------------------------------------------------------
 */

/* Whether worker "id" gets no new tasks at "wall_ms", because tasks failed on
 * that worker repeatedly and either the pause after the last failure isn't
 * over or the one task that tests the worker hasn't ended. */
static bool
is_bad_worker(AqJobs *jobs, const char *id, int64_t wall_ms)
{
    const WorkerHealth *health = g_hash_table_lookup(jobs->workers, id);
    if (health == NULL || (jobs->disabled & AQ_JOBS_DISABLE_BAD_WORKER)) {
        return false;
    }
    return health->consecutive_failures >= JOBS_BAD_WORKER_FAILURES &&
           (health->bad_until_ms > wall_ms || health->is_on_trial);
}

static bool
add_worker(void *context, const AqVmView *view)
{
    Placement *p = context;
    const json_t *record = AqFleet_Get(p->fleet, AQ_REC_VM, view->id);
    Worker worker = {
        .id = view->id,
        .labels = json_object_get(record, "labels"),
        .free = capacity(record),
        .accepts_tasks = view->state == AQ_VM_SERVING &&
                         !is_bad_worker(p->jobs, view->id, p->wall_ms),
    };
    g_array_append_val(p->workers, worker);
    g_hash_table_insert(p->by_id, (gpointer)worker.id,
                        GUINT_TO_POINTER(p->workers->len));
    return true;
}

/* For each task of a team, subtracts the size reserved for the task from the
 * free resources of the task's worker, and adds that size to the team's used
 * quota. */
static void
add_tasks(Placement *p, const Team *team)
{
    const char *id;
    json_t *job;
    json_object_foreach(team_jobs(team), id, job)
    {
        if (job_is(job, "queued")) {
            continue;
        }
        Size size = size_reserved(job);
        Worker *worker = find_worker(p, job_text(job, "worker"));
        if (worker != NULL) {
            subtract_size(&worker->free, &size);
        }
        add_size(&get_quota(p, team->name)->used, &size);
    }
}

Placement *
placement_create(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms)
{
    Placement *p = g_new0(Placement, 1);
    GHashTableIter iter;
    gpointer value;
    p->jobs = jobs;
    p->fleet = fleet;
    p->wall_ms = wall_ms;
    p->workers = g_array_new(FALSE, TRUE, sizeof(Worker));
    p->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    p->quotas = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqFleet_EachVm(fleet, add_worker, p);
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        add_tasks(p, value);
    }
    return p;
}

void
placement_destroy(Placement *p)
{
    g_array_free(p->workers, TRUE);
    g_hash_table_destroy(p->by_id);
    g_hash_table_destroy(p->quotas);
    g_free(p);
}

/* ---- Selection ----------------------------------------------------------
 */

/* Records that a task was just placed on worker "id".  If tasks failed on that
 * worker repeatedly before, the worker gets no other task until this task has
 * failed or finished. */
static void
start_trial(Placement *p, const char *id)
{
    WorkerHealth *health = g_hash_table_lookup(p->jobs->workers, id);
    if (health != NULL &&
        health->consecutive_failures >= JOBS_BAD_WORKER_FAILURES) {
        health->is_on_trial = true;
        find_worker(p, id)->accepts_tasks =
            (p->jobs->disabled & AQ_JOBS_DISABLE_BAD_WORKER) != 0;
    }
}

const char *
placement_place(Placement *p, const Size *size, const json_t *selector)
{
    Worker *best = NULL;
    for (guint i = 0; i < p->workers->len; i++) {
        Worker *worker = &g_array_index(p->workers, Worker, i);
        if (worker->accepts_tasks && size_fits(size, &worker->free) &&
            labels_match(selector, worker->labels) &&
            (best == NULL ||
             worker->free.cores_milli < best->free.cores_milli)) {
            best = worker;
        }
    }
    if (best == NULL) {
        return NULL;
    }
    subtract_size(&best->free, size);
    start_trial(p, best->id);
    return best->id;
}

bool
placement_reserve_quota(Placement *p, const char *team, const Size *size)
{
    Quota *quota = get_quota(p, team);
    Size room = quota->limit;
    subtract_size(&room, &quota->used);
    if (!size_fits(size, &room)) {
        return false;
    }
    add_size(&quota->used, size);
    return true;
}

void
placement_release_quota(Placement *p, const char *team, const Size *size)
{
    subtract_size(&get_quota(p, team)->used, size);
}

double
placement_quota_share(const Placement *p, const char *team)
{
    const Quota *quota = get_quota(p, team);
    return (double)quota->used.cores_milli /
           (double)(quota->limit.cores_milli + 1);
}

/* ---- Preemption ----------------------------------------------------------
 */

/* A task that may be stopped to make room for an urgent job. */
typedef struct {
    Team *team;
    json_t *job;
    Size size; /* resources reserved for the task on its worker */
} Victim;

static int
youngest_first(gconstpointer a, gconstpointer b)
{
    int64_t x = job_int(((const Victim *)a)->job, "started");
    int64_t y = job_int(((const Victim *)b)->job, "started");
    return (x < y) - (x > y);
}

/* Returns the non-urgent idempotent tasks of all teams that run on worker
 * "worker", as a new array of Victim; the task that started last comes
 * first. */
static GArray *
collect_victims(const Placement *p, const char *worker)
{
    GArray *victims = g_array_new(FALSE, TRUE, sizeof(Victim));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, p->jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Team *team = value;
        const char *id;
        json_t *job;
        json_object_foreach(team_jobs(team), id, job)
        {
            if (job_is(job, "running") && !job_flag(job, "urgent") &&
                job_flag(job, "idempotent") &&
                strcmp(job_text(job, "worker"), worker) == 0) {
                Victim victim = {team, job, size_reserved(job)};
                g_array_append_val(victims, victim);
            }
        }
    }
    g_array_sort(victims, youngest_first);
    return victims;
}

/* Returns how many tasks from the start of "victims" must stop so that the
 * worker has room for "size"; 0 if stopping all the victims doesn't make
 * enough room or the array is empty. */
static guint
count_victims_needed(const Worker *worker, const GArray *victims,
                     const Size *size)
{
    Size room = worker->free;
    for (guint i = 0; i < victims->len; i++) {
        add_size(&room, &g_array_index(victims, Victim, i).size);
        if (size_fits(size, &room)) {
            return i + 1;
        }
    }
    return 0;
}

bool
placement_preempt(Placement *p, const Size *size, const json_t *selector)
{
    Worker *best = NULL;
    GArray *best_victims = NULL;
    guint best_count = 0;
    for (guint i = 0; i < p->workers->len; i++) {
        Worker *worker = &g_array_index(p->workers, Worker, i);
        if (!worker->accepts_tasks ||
            !labels_match(selector, worker->labels)) {
            continue;
        }
        GArray *victims = collect_victims(p, worker->id);
        guint count = count_victims_needed(worker, victims, size);
        if (count == 0 || (best != NULL && count >= best_count)) {
            g_array_free(victims, TRUE);
            continue;
        }
        if (best_victims != NULL) {
            g_array_free(best_victims, TRUE);
        }
        best = worker;
        best_victims = victims;
        best_count = count;
    }
    if (best == NULL) {
        return false;
    }
    for (guint i = 0; i < best_count; i++) {
        Victim *victim = &g_array_index(best_victims, Victim, i);
        job_set_state(victim->team, victim->job, "checkpointing");
    }
    /* Reserves "size" on the selected worker, so that the rest of this
     * AqJobs_Step() neither gives these resources to another job nor counts
     * them as free for another preemption. */
    subtract_size(&best->free, size);
    g_array_free(best_victims, TRUE);
    return true;
}

/* ---- Feasibility --------------------------------------------------------
 */

/* State of a search for a worker that matches a job's selector and has in
 * total, free or reserved, the resources that the job declares. */
typedef struct {
    const AqFleet *fleet;
    const json_t *job;
    bool any_match; /* some worker checked so far matches the job's selector */
    /* Some worker that matches the job's selector has in total, free or
     * reserved, the resources that the job declares. */
    bool any_fit;
    /* For each resource, the most that a worker which matches the job's
     * selector has in total, free or reserved. */
    Size largest;
} FitSearch;

/* Compares one VM with the job of the FitSearch "context".  Returns false,
 * which ends the search, if the VM matches the job's selector and has in
 * total, free or reserved, the resources that the job declares. */
static bool
check_vm_fit(void *context, const AqVmView *view)
{
    FitSearch *state = context;
    const json_t *record = AqFleet_Get(state->fleet, AQ_REC_VM, view->id);
    if (!labels_match(json_object_get(state->job, "selector"),
                      json_object_get(record, "labels"))) {
        return true;
    }
    Size room = capacity(record);
    Size size = size_declared(state->job);
    state->any_match = true;
    state->any_fit = size_fits(&size, &room);
    state->largest.cores_milli =
        MAX(state->largest.cores_milli, room.cores_milli);
    state->largest.memory_mb = MAX(state->largest.memory_mb, room.memory_mb);
    state->largest.accelerators =
        MAX(state->largest.accelerators, room.accelerators);
    return !state->any_fit;
}

/* Sets "error" so that it names the first label of the job's selector that no
 * VM has or, if each label is on some VM, says that no VM has all labels of
 * the selector.  Returns false. */
static bool
set_selector_error(const FitSearch *state, AqError *error)
{
    const json_t *selector = json_object_get(state->job, "selector");
    const json_t *vms = AqFleet_All(state->fleet, AQ_REC_VM);
    const char *key;
    json_t *required;
    json_object_foreach((json_t *)selector, key, required)
    {
        bool found = false;
        const char *id;
        json_t *vm;
        json_object_foreach((json_t *)vms, id, vm)
        {
            found = found ||
                    json_equal(
                        required,
                        json_object_get(json_object_get(vm, "labels"), key));
        }
        if (!found) {
            return AqError_Set(error, AQ_ERR_REFUSED,
                               "no worker has the label %s=%s of the "
                               "selector; change the selector or label a VM",
                               key, json_string_value(required));
        }
    }
    return AqError_Set(error, AQ_ERR_REFUSED,
                       "no worker has all labels of the selector at once; "
                       "drop one of them or label a VM");
}

bool
placement_is_possible(const AqFleet *fleet, const json_t *job, AqError *error)
{
    FitSearch state = {.fleet = fleet, .job = job};
    Size size = size_declared(job);
    AqFleet_EachVm(fleet, check_vm_fit, &state);
    if (state.any_fit) {
        return true;
    }
    if (!state.any_match) {
        return set_selector_error(&state, error);
    }
    const struct {
        const char *field;
        int64_t required;
        int64_t largest;
    } sizes[] = {
        {"cores", size.cores_milli / 1000, state.largest.cores_milli / 1000},
        {"memory_mb", size.memory_mb, state.largest.memory_mb},
        {"accelerators", size.accelerators, state.largest.accelerators},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        if (sizes[i].required > sizes[i].largest) {
            return AqError_Set(error, AQ_ERR_REFUSED,
                               "%s is %lld and the largest matching worker "
                               "has %lld; ask for less or widen the selector",
                               sizes[i].field, (long long)sizes[i].required,
                               (long long)sizes[i].largest);
        }
    }
    return AqError_Set(error, AQ_ERR_REFUSED,
                       "no single matching worker has %lld cores, %lld MB and "
                       "%lld accelerators together; ask for less or widen the "
                       "selector",
                       (long long)(size.cores_milli / 1000),
                       (long long)size.memory_mb,
                       (long long)size.accelerators);
}
