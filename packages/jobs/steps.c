#include "jobs_internal.h"

#include <string.h>

/* Arguments of one AqJobs_Step() call. */
typedef struct {
    AqJobs *jobs;
    const AqFleet *fleet;
    int64_t wall_ms; /* current Unix time of the caller's clock */
    void (*order)(void *context, const AqTaskOrder *order);
    void *context;
} Step;

/* Whether a mechanism is enabled; "mechanism" is its AQ_JOBS_DISABLE_* bit. */
static bool
is_enabled(const AqJobs *jobs, uint32_t mechanism)
{
    return (jobs->disabled & mechanism) == 0;
}

/* ---- Reports -------------------------------------------------------------
 */

/* Sets a job to state queued, and removes the worker, the start time and the
 * reserved size from the job's record. */
static void
requeue_job(Team *team, json_t *job)
{
    json_object_del(job, "worker");
    json_object_del(job, "started");
    json_object_del(job, "reserved");
    job_set_state(team, job, "queued");
}

/* Queues a job again such that the job's next start has the same try number,
 * and thus the same task name, as the job's current task. */
static void
requeue_same_try(Team *team, json_t *job)
{
    json_object_set_new(job, "tries", json_integer(job_int(job, "tries") - 1));
    requeue_job(team, job);
}

/* Counts the failure of a task on a worker; further reports on the task that
 * failed last on that worker aren't counted.  After JOBS_BAD_WORKER_FAILURES
 * consecutive failures, the worker gets no tasks for JOBS_BAD_WORKER_PAUSE_MS.
 */
static void
record_failure(AqJobs *jobs, const char *worker, const char *task,
               int64_t wall_ms)
{
    WorkerHealth *health = jobs_worker_health(jobs, worker);
    health->is_on_trial = false;
    if (health->last_failed_task == NULL ||
        strcmp(health->last_failed_task, task) != 0) {
        health->consecutive_failures++;
        g_free(health->last_failed_task);
        health->last_failed_task = g_strdup(task);
    }
    if (health->consecutive_failures >= JOBS_BAD_WORKER_FAILURES) {
        health->bad_until_ms = wall_ms + JOBS_BAD_WORKER_PAUSE_MS;
    }
}

/* Clears the counted failures of a worker after a task finished on that
 * worker. */
static void
record_success(AqJobs *jobs, const char *worker)
{
    g_hash_table_remove(jobs->workers, worker);
}

/* Queues job "id" again after an unsuccessful try.  Ends the job with "reason"
 * instead if its cancellation was requested or it has used all JOBS_MAX_TRIES
 * tries. */
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
        requeue_job(team, job);
    }
}

static void
handle_task_failed(AqJobs *jobs, Team *team, const char *id, json_t *job,
                   const char *task, int64_t wall_ms)
{
    record_failure(jobs, job_text(job, "worker"), task, wall_ms);
    if (job_flag(job, "idempotent")) {
        retry_or_fail(team, id, job, "the task failed");
    }
    else {
        job_end(team, id, "failed",
                "the task failed and is non-idempotent, so it is not run "
                "again");
    }
}

/* Changes job "id" after the lease of the job's task expired.  A
 * non-idempotent job whose task may have run ("started") isn't started again
 * but ends in state unknown; any other job is tried again unless its
 * cancellation was requested or it has no tries left. */
static void
handle_task_lapsed(AqJobs *jobs, Team *team, const char *id, json_t *job,
                   bool started)
{
    if (started && !job_flag(job, "idempotent") &&
        is_enabled(jobs, AQ_JOBS_DISABLE_UNKNOWN)) {
        job_end(team, id, "unknown",
                "the lease lapsed; the task is non-idempotent and may have "
                "run");
        return;
    }
    retry_or_fail(team, id, job, "the lease lapsed");
}

static void
handle_task_stopped(Team *team, const char *id, json_t *job, bool started)
{
    if (job_flag(job, "cancel")) {
        job_end(team, id, "cancelled", "cancelled by an operator");
    }
    else if (!started || job_flag(job, "idempotent")) {
        requeue_job(team, job);
    }
    else {
        job_end(team, id, "unknown",
                "the task was stopped; it is non-idempotent and may have run "
                "in part");
    }
}

static void
apply_report(AqJobs *jobs, Team *team, const char *id, json_t *job,
             const AqTaskReport *report, int64_t wall_ms)
{
    const char *state = report->state;
    if (strcmp(state, "finished") == 0) {
        record_success(jobs, report->worker);
        size_add_sample(team, job, jobs_task_runtime(jobs, report->id));
        job_end(team, id, "done", "");
    }
    else if (strcmp(state, "failed") == 0) {
        handle_task_failed(jobs, team, id, job, report->id, wall_ms);
    }
    else if (strcmp(state, "lapsed") == 0) {
        handle_task_lapsed(jobs, team, id, job, report->started);
    }
    else if (strcmp(state, "stopped") == 0) {
        handle_task_stopped(team, id, job, report->started);
    }
    else if (strcmp(state, "checkpointed") == 0) {
        /* The checkpoint keeps the work that the task has done, and the job's
         * next start resumes from that checkpoint.  No work is done twice, so
         * non-idempotent jobs are queued again too; only a cancelled job ends.
         */
        if (job_flag(job, "cancel")) {
            job_end(team, id, "cancelled", "cancelled by an operator");
        }
        else {
            requeue_same_try(team, job);
        }
    }
    else if (job_is(job, "starting")) {
        job_set_state(team, job, "running");
        json_object_set_new(job, "started", json_integer(wall_ms));
    }
}

/* Returns the record of the unfinished job that the task name "task" belongs
 * to, borrowed, or NULL if there is no such job or "task" isn't the job's
 * current try.  *team and *id receive the job's team and id; the caller frees
 * *id with g_free, also if the function returns NULL. */
static json_t *
find_job(const AqJobs *jobs, const char *task, Team **team, char **id)
{
    const char *last = strrchr(task, '.');
    json_t *job = NULL;
    *id = NULL;
    /* A task name is TEAM.JOB.TRY, and TEAM and JOB may contain dots: each dot
     * before the last dot may be the one that separates TEAM from JOB. */
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
    /* A report from a worker other than the one in the job's record has no
     * effect: the report was made before a checkpoint moved the task to the
     * recorded worker. */
    if (job != NULL && !job_is(job, "queued") &&
        strcmp(job_text(job, "worker"), report->worker) == 0) {
        TaskRuntime *runtime = jobs_task_runtime(jobs, report->id);
        runtime->peak_cores_milli =
            MAX(runtime->peak_cores_milli, report->cores_used_milli);
        runtime->peak_memory_mb =
            MAX(runtime->peak_memory_mb, report->memory_used_mb);
        apply_report(jobs, team, id, job, report, wall_ms);
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
        /* The worker has less room than the teams' documents show.  A refused
         * start doesn't count as a try of the job. */
        requeue_same_try(team, job);
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

/* Sends a start, checkpoint or stop order for a task unless such an order for
 * this task was sent less than JOBS_ORDER_RETRY_INTERVAL_MS ago.  Each
 * AqJobs_Step() calls this function until the job's state shows the order's
 * effect. */
static void
send_order_with_retry(const Step *step, AqTaskAction action, const char *task,
                      const json_t *job)
{
    TaskRuntime *runtime = jobs_task_runtime(step->jobs, task);
    if (step->wall_ms - runtime->last_order_ms >=
        JOBS_ORDER_RETRY_INTERVAL_MS) {
        runtime->last_order_ms = step->wall_ms;
        send_order(step, action, task, job);
    }
}

/* Sends the start, checkpoint or stop order that the job's state requires.
 * Also renews the task's lease every JOBS_RENEW_INTERVAL_MS, except in state
 * starting. */
static void
send_state_orders(const Step *step, const char *task, const json_t *job)
{
    TaskRuntime *runtime = jobs_task_runtime(step->jobs, task);
    if (job_is(job, "starting")) {
        send_order_with_retry(step, AQ_TASK_START, task, job);
        return;
    }
    if (job_is(job, "checkpointing")) {
        send_order_with_retry(step, AQ_TASK_CHECKPOINT, task, job);
    }
    else if (job_is(job, "stopping")) {
        send_order_with_retry(step, AQ_TASK_STOP, task, job);
    }
    if (step->wall_ms - runtime->last_renewal_ms >= JOBS_RENEW_INTERVAL_MS) {
        runtime->last_renewal_ms = step->wall_ms;
        send_order(step, AQ_TASK_RENEW, task, job);
    }
}

/* Sends the orders that are due for a team's tasks.  The orders are based on
 * the stored document of the team, which therefore lists every task that may
 * run; another planner that takes over finds these tasks in the document. */
static void
send_orders(const Step *step, const Team *team)
{
    const json_t *source = is_enabled(step->jobs, AQ_JOBS_DISABLE_STORED_FIRST)
                               ? team->stored
                               : team->working;
    const char *id;
    json_t *job;
    json_object_foreach(json_object_get(source, "jobs"), id, job)
    {
        if (!job_is(job, "queued")) {
            char *task = task_name(team->name, id, job);
            send_state_orders(step, task, job);
            g_free(task);
        }
    }
}

/* ---- Starts --------------------------------------------------------------
 */

/* Decides the start of a queued job: reserves the size of the job's task in
 * the team's quota and on a worker, and sets the job's record to state
 * starting.  Returns false if the job stays queued.  If no worker has room for
 * an urgent job, other tasks are preempted, and a later AqJobs_Step() starts
 * the job. */
static bool
start_job(const Step *step, Placement *placement, Team *team, json_t *job)
{
    Size size = is_enabled(step->jobs, AQ_JOBS_DISABLE_ESTIMATES)
                    ? size_estimate(team, job)
                    : size_declared(job);
    const json_t *selector = json_object_get(job, "selector");
    if (!placement_reserve_quota(placement, team->name, &size)) {
        return false;
    }
    const char *worker = placement_place(placement, &size, selector);
    if (worker == NULL) {
        placement_release_quota(placement, team->name, &size);
        if (job_flag(job, "urgent") &&
            is_enabled(step->jobs, AQ_JOBS_DISABLE_URGENT)) {
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
    /* Fraction of the team's core quota that the team's tasks have reserved.
     */
    double share;
    int64_t submitted_ms; /* Unix time at which the job was submitted */
} QueuedJob;

/* Sorts urgent jobs before all others, then jobs of teams that have reserved a
 * smaller fraction of their core quota, then jobs that were submitted earlier.
 */
static int
compare_queued_jobs(gconstpointer a, gconstpointer b)
{
    const QueuedJob *x = a;
    const QueuedJob *y = b;
    if (x->urgent != y->urgent) {
        return x->urgent ? -1 : 1;
    }
    if (x->share != y->share) {
        return x->share < y->share ? -1 : 1;
    }
    return (x->submitted_ms > y->submitted_ms) -
           (x->submitted_ms < y->submitted_ms);
}

/* Returns the queued jobs of all teams, except those to be cancelled, in the
 * order in which to start the jobs, as a new array of QueuedJob. */
static GArray *
collect_queued_jobs(const Step *step, const Placement *placement)
{
    GArray *queued = g_array_new(FALSE, TRUE, sizeof(QueuedJob));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, step->jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Team *team = value;
        double share = placement_quota_share(placement, team->name);
        const char *id;
        json_t *job;
        json_object_foreach(team_jobs(team), id, job)
        {
            if (job_is(job, "queued") && !job_flag(job, "cancel")) {
                QueuedJob entry = {
                    team, job,
                    job_flag(job, "urgent") &&
                        is_enabled(step->jobs, AQ_JOBS_DISABLE_URGENT),
                    share, job_int(job, "submitted")};
                g_array_append_val(queued, entry);
            }
        }
    }
    g_array_sort(queued, compare_queued_jobs);
    return queued;
}

static void
start_queued_jobs(const Step *step)
{
    Placement *placement =
        placement_create(step->jobs, step->fleet, step->wall_ms);
    GArray *queued = collect_queued_jobs(step, placement);
    for (guint i = 0; i < queued->len; i++) {
        QueuedJob *entry = &g_array_index(queued, QueuedJob, i);
        start_job(step, placement, entry->team, entry->job);
    }
    g_array_free(queued, TRUE);
    placement_destroy(placement);
}

/* ---- Cancellations and drains --------------------------------------------
 */

/* Applies up to *remaining requested job cancellations of a team, and lowers
 * *remaining by the number applied; a later AqJobs_Step() applies the rest. */
static void
cancel_jobs(Team *team, int *remaining)
{
    const char *id;
    json_t *job;
    void *next;
    json_object_foreach_safe(team_jobs(team), next, id, job)
    {
        if (*remaining == 0) {
            return;
        }
        if (!job_flag(job, "cancel") || job_is(job, "stopping")) {
            continue;
        }
        (*remaining)--;
        if (job_is(job, "queued")) {
            job_end(team, id, "cancelled", "cancelled by an operator");
        }
        else {
            job_set_state(team, job, "stopping");
        }
    }
}

static void
cancel_all_teams(const Step *step)
{
    int remaining = is_enabled(step->jobs, AQ_JOBS_DISABLE_BATCHES)
                        ? JOBS_CANCEL_BATCH_SIZE
                        : INT_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, step->jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cancel_jobs(value, &remaining);
    }
}

/* Sets the team's jobs that run on draining workers to state checkpointing, so
 * that these jobs resume on other workers. */
static void
checkpoint_draining(const Step *step, Team *team)
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

static gboolean
is_ended_task(gpointer key, gpointer value, gpointer context)
{
    Team *team = NULL;
    char *id;
    (void)value;
    bool is_ended = find_job(context, key, &team, &id) == NULL;
    g_free(id);
    return is_ended;
}

/* Removes what is remembered of tasks that are no job's current try, whenever
 * the table has doubled since the last removal: each entry is then visited a
 * constant number of times on average. */
static void
prune_tasks(AqJobs *jobs)
{
    if (g_hash_table_size(jobs->tasks) < jobs->prune_tasks_at) {
        return;
    }
    g_hash_table_foreach_remove(jobs->tasks, is_ended_task, jobs);
    jobs->prune_tasks_at =
        2 * g_hash_table_size(jobs->tasks) + JOBS_PRUNE_TASKS;
}

void
AqJobs_Step(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms,
            void (*order)(void *context, const AqTaskOrder *order),
            void *context)
{
    Step step = {jobs, fleet, wall_ms, order, context};
    GHashTableIter iter;
    gpointer value;
    if (!is_enabled(jobs, AQ_JOBS_DISABLE_BATCHES)) {
        cancel_all_teams(&step);
    }
    start_queued_jobs(&step);
    if (is_enabled(jobs, AQ_JOBS_DISABLE_BATCHES)) {
        cancel_all_teams(&step);
    }
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        checkpoint_draining(&step, value);
        send_orders(&step, value);
    }
    prune_tasks(jobs);
}
