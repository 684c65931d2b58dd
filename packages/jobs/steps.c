#include "jobs_internal.h"

#include <string.h>

typedef struct {
    AqJobs *jobs;
    const AqFleet *fleet;
    int64_t wall_ms;
    void (*order)(void *context, const AqTaskOrder *order);
    void *context;
} Step;

static bool
has(const AqJobs *jobs, uint32_t mechanism)
{
    return (jobs->disabled & mechanism) == 0;
}

/* ---- Reports -------------------------------------------------------------
 */

static void
back_to_queue(Team *team, json_t *job)
{
    json_object_del(job, "worker");
    json_object_del(job, "started");
    json_object_del(job, "reserved");
    job_set_state(team, job, "queued");
}

/* The next start is the same try: it keeps the name of the task. */
static void
same_try_again(Team *team, json_t *job)
{
    json_object_set_new(job, "tries", json_integer(job_int(job, "tries") - 1));
    back_to_queue(team, job);
}

static void
note_failure(AqJobs *jobs, const char *worker, const char *task,
             int64_t wall_ms)
{
    WorkerHealth *memory = jobs_worker_health(jobs, worker);
    memory->trial = false;
    if (memory->last_job == NULL || strcmp(memory->last_job, task) != 0) {
        memory->failures++;
        g_free(memory->last_job);
        memory->last_job = g_strdup(task);
    }
    if (memory->failures >= JOBS_BAD_WORKER_FAILURES) {
        memory->bad_until = wall_ms + JOBS_BAD_WORKER_MS;
    }
}

static void
note_success(AqJobs *jobs, const char *worker)
{
    g_hash_table_remove(jobs->workers, worker);
}

static void
retry_or_fail(Team *team, const char *id, json_t *job, const char *reason)
{
    int64_t tries = job_int(job, "tries");
    if (job_flag(job, "cancel")) {
        job_end(team, id, "cancelled", reason);
    }
    else if (tries >= JOBS_MAX_TRIES) {
        job_end(team, id, "failed", reason);
    }
    else {
        back_to_queue(team, job);
    }
}

static void
take_failed(AqJobs *jobs, Team *team, const char *id, json_t *job,
            const char *task, int64_t wall_ms)
{
    note_failure(jobs, job_text(job, "worker"), task, wall_ms);
    if (job_flag(job, "idempotent")) {
        retry_or_fail(team, id, job, "the task failed");
    }
    else {
        job_end(team, id, "failed",
                "the task failed and is non-idempotent, so it is not run "
                "again");
    }
}

static void
take_lapsed(AqJobs *jobs, Team *team, const char *id, json_t *job,
            bool started)
{
    if (started && !job_flag(job, "idempotent") &&
        has(jobs, AQ_JOBS_DISABLE_UNKNOWN)) {
        job_end(team, id, "unknown",
                "the lease lapsed; the task is non-idempotent and may have "
                "run");
        return;
    }
    retry_or_fail(team, id, job, "the lease lapsed");
}

static void
take_stopped(Team *team, const char *id, json_t *job, bool started)
{
    if (job_flag(job, "cancel")) {
        job_end(team, id, "cancelled", "cancelled by an operator");
    }
    else if (!started || job_flag(job, "idempotent")) {
        back_to_queue(team, job);
    }
    else {
        job_end(team, id, "unknown",
                "the task was stopped; it is non-idempotent and may have run "
                "in part");
    }
}

static void
take_state(AqJobs *jobs, Team *team, const char *id, json_t *job,
           const AqTaskReport *report, int64_t wall_ms)
{
    const char *state = report->state;
    if (strcmp(state, "finished") == 0) {
        note_success(jobs, report->worker);
        size_add_sample(team, job, jobs_task_runtime(jobs, report->id));
        job_end(team, id, "done", "");
    }
    else if (strcmp(state, "failed") == 0) {
        take_failed(jobs, team, id, job, report->id, wall_ms);
    }
    else if (strcmp(state, "lapsed") == 0) {
        take_lapsed(jobs, team, id, job, report->started);
    }
    else if (strcmp(state, "stopped") == 0) {
        take_stopped(team, id, job, report->started);
    }
    else if (strcmp(state, "checkpointed") == 0) {
        /* What it did is kept: it goes on elsewhere, also when it is
         * non-idempotent. */
        if (job_flag(job, "cancel")) {
            job_end(team, id, "cancelled", "cancelled by an operator");
        }
        else {
            same_try_again(team, job);
        }
    }
    else if (job_is(job, "starting")) {
        job_set_state(team, job, "running");
        json_object_set_new(job, "started", json_integer(wall_ms));
    }
}

/* Finds the job that a task name belongs to; NULL when the name is of an
 * earlier try. */
static json_t *
find_job(const AqJobs *jobs, const char *task, Team **team, char **id)
{
    const char *last = strrchr(task, '.');
    json_t *job = NULL;
    *id = NULL;
    /* Names may contain dots: try each place. */
    for (const char *dot = strchr(task, '.'); dot != NULL && dot < last;
         dot = strchr(dot + 1, '.')) {
        char *name = g_strndup(task, (gsize)(dot - task));
        g_free(*id);
        *id = g_strndup(dot + 1, (gsize)(last - dot - 1));
        *team = jobs_find_team(jobs, name);
        g_free(name);
        job = *team != NULL ? json_object_get(team_jobs(*team), *id) : NULL;
        if (job != NULL &&
            job_int(job, "tries") == g_ascii_strtoll(last + 1, NULL, 10)) {
            return job;
        }
    }
    return NULL;
}

void
AqJobs_Report(AqJobs *jobs, int64_t wall_ms, const AqTaskReport *report)
{
    Team *team = NULL;
    char *id;
    json_t *job = find_job(jobs, report->id, &team, &id);
    /* A report about another worker is from before a checkpoint. */
    if (job != NULL && !job_is(job, "queued") &&
        strcmp(job_text(job, "worker"), report->worker) == 0) {
        TaskRuntime *memory = jobs_task_runtime(jobs, report->id);
        memory->cores_milli =
            MAX(memory->cores_milli, report->cores_used_milli);
        memory->memory_mb = MAX(memory->memory_mb, report->memory_used_mb);
        take_state(jobs, team, id, job, report, wall_ms);
    }
    g_free(id);
}

void
AqJobs_Started(AqJobs *jobs, int64_t wall_ms, const char *task, bool started,
               bool refused)
{
    Team *team = NULL;
    char *id;
    json_t *job = find_job(jobs, task, &team, &id);
    g_free(id);
    if (job == NULL || !job_is(job, "starting")) {
        return;
    }
    if (started) {
        job_set_state(team, job, "running");
        json_object_set_new(job, "started", json_integer(wall_ms));
    }
    else if (refused) {
        /* No room there although the books show some; not a failed try. */
        same_try_again(team, job);
    }
}

/* ---- Orders --------------------------------------------------------------
 */

static void
send_order(const Step *step, AqTaskAction action, const char *task,
           const json_t *job)
{
    Size size = size_reserved(job);
    AqTaskOrder order = {
        .action = action,
        .task = task,
        .worker = job_text(job, "worker"),
        .job = job,
        .cores = (size.cores_milli + 999) / 1000,
        .memory_mb = size.memory_mb,
        .accelerators = size.accelerators,
    };
    step->order(step->context, &order);
}

/* Repeats an order until it shows its effect. */
static void
send_repeated(const Step *step, AqTaskAction action, const char *task,
              const json_t *job)
{
    TaskRuntime *memory = jobs_task_runtime(step->jobs, task);
    if (step->wall_ms - memory->last_order >= JOBS_ORDER_RETRY_MS) {
        memory->last_order = step->wall_ms;
        send_order(step, action, task, job);
    }
}

static void
order_for(const Step *step, const char *task, const json_t *job)
{
    TaskRuntime *memory = jobs_task_runtime(step->jobs, task);
    if (job_is(job, "starting")) {
        send_repeated(step, AQ_TASK_START, task, job);
        return;
    }
    if (job_is(job, "checkpointing")) {
        send_repeated(step, AQ_TASK_CHECKPOINT, task, job);
    }
    else if (job_is(job, "stopping")) {
        send_repeated(step, AQ_TASK_STOP, task, job);
    }
    if (step->wall_ms - memory->last_renewal >= JOBS_RENEW_MS) {
        memory->last_renewal = step->wall_ms;
        send_order(step, AQ_TASK_RENEW, task, job);
    }
}

/* Orders follow the stored document, so that a planner that takes over knows
 * of every task that may run. */
static void
send_orders(const Step *step, const Team *team)
{
    const json_t *source = has(step->jobs, AQ_JOBS_DISABLE_STORED_FIRST)
                               ? team->stored
                               : team->working;
    const char *id;
    json_t *job;
    json_object_foreach(json_object_get(source, "jobs"), id, job)
    {
        if (!job_is(job, "queued")) {
            char *task = task_name(team->name, id, job);
            order_for(step, task, job);
            g_free(task);
        }
    }
}

/* ---- Starts --------------------------------------------------------------
 */

static bool
start_job(const Step *step, Placement *placement, Team *team, json_t *job)
{
    Size size = has(step->jobs, AQ_JOBS_DISABLE_ESTIMATES)
                    ? size_estimate(team, job)
                    : size_declared(job);
    const json_t *selector = json_object_get(job, "selector");
    if (!placement_take_quota(placement, team->name, &size)) {
        return false;
    }
    const char *worker = placement_place(placement, &size, selector);
    if (worker == NULL) {
        placement_return_quota(placement, team->name, &size);
        if (job_flag(job, "urgent") &&
            has(step->jobs, AQ_JOBS_DISABLE_URGENT)) {
            placement_preempt(placement, &size, selector);
        }
        return false;
    }
    size_reserve(job, &size);
    json_object_set_new(job, "worker", json_string(worker));
    json_object_set_new(job, "tries", json_integer(job_int(job, "tries") + 1));
    job_set_state(team, job, "starting");
    return true;
}

typedef struct {
    Team *team;
    json_t *job;
    bool urgent;
    double share; /* of the team's quota in use */
    int64_t submitted;
} Waiting;

static int
compare_waiting(gconstpointer a, gconstpointer b)
{
    const Waiting *x = a;
    const Waiting *y = b;
    if (x->urgent != y->urgent) {
        return x->urgent ? -1 : 1;
    }
    if (x->share != y->share) {
        return x->share < y->share ? -1 : 1;
    }
    return (x->submitted > y->submitted) - (x->submitted < y->submitted);
}

static GArray *
collect_waiting(const Step *step, const Placement *placement)
{
    GArray *waiting = g_array_new(FALSE, TRUE, sizeof(Waiting));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, step->jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Team *team = value;
        double share = placement_share(placement, team->name);
        const char *id;
        json_t *job;
        json_object_foreach(team_jobs(team), id, job)
        {
            if (job_is(job, "queued") && !job_flag(job, "cancel")) {
                Waiting entry = {team, job,
                                 job_flag(job, "urgent") &&
                                     has(step->jobs, AQ_JOBS_DISABLE_URGENT),
                                 share, job_int(job, "submitted")};
                g_array_append_val(waiting, entry);
            }
        }
    }
    g_array_sort(waiting, compare_waiting);
    return waiting;
}

static void
start_waiting(const Step *step)
{
    Placement *placement =
        placement_create(step->jobs, step->fleet, step->wall_ms);
    GArray *waiting = collect_waiting(step, placement);
    for (guint i = 0; i < waiting->len; i++) {
        Waiting *entry = &g_array_index(waiting, Waiting, i);
        start_job(step, placement, entry->team, entry->job);
    }
    g_array_free(waiting, TRUE);
    placement_destroy(placement);
}

/* ---- Cancellations and drains --------------------------------------------
 */

/* Handles up to *left cancellations of a team. */
static void
cancel_jobs(Team *team, int *left)
{
    const char *id;
    json_t *job;
    void *next;
    json_object_foreach_safe(team_jobs(team), next, id, job)
    {
        if (*left == 0) {
            return;
        }
        if (!job_flag(job, "cancel") || job_is(job, "stopping")) {
            continue;
        }
        (*left)--;
        if (job_is(job, "queued")) {
            job_end(team, id, "cancelled", "cancelled by an operator");
        }
        else {
            job_set_state(team, job, "stopping");
        }
    }
}

static void
cancel_all(const Step *step)
{
    int left =
        has(step->jobs, AQ_JOBS_DISABLE_BATCHES) ? JOBS_CANCEL_BATCH : INT_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, step->jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cancel_jobs(value, &left);
    }
}

/* Tasks on workers that drain are checkpointed and go on elsewhere. */
static void
leave_draining(const Step *step, Team *team)
{
    const char *id;
    json_t *job;
    json_object_foreach(team_jobs(team), id, job)
    {
        AqVmView view;
        if (job_is(job, "running") &&
            AqFleet_GetVm(step->fleet, job_text(job, "worker"), &view) &&
            view.state == AQ_VM_DRAINING) {
            job_set_state(team, job, "checkpointing");
        }
    }
}

void
AqJobs_Step(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms,
            void (*order)(void *context, const AqTaskOrder *order),
            void *context)
{
    Step step = {jobs, fleet, wall_ms, order, context};
    GHashTableIter iter;
    gpointer value;
    if (!has(jobs, AQ_JOBS_DISABLE_BATCHES)) {
        cancel_all(&step);
    }
    start_waiting(&step);
    if (has(jobs, AQ_JOBS_DISABLE_BATCHES)) {
        cancel_all(&step);
    }
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        leave_draining(&step, value);
        send_orders(&step, value);
    }
}
