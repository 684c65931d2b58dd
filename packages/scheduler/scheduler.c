#include "aq_scheduler.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

enum {
    /* longest time that AqScheduler_Tick() allows until its next call */
    MAX_TICK_INTERVAL_MS = 100,
    /* The duration of a finished task has the weight 1 / DURATION_MEAN_DIVISOR
     * in the moving averages of durations. */
    DURATION_MEAN_DIVISOR = 32,
    /* Bound of estimates, since a caller may declare any duration. */
    MAX_ESTIMATE_MS = 1000000000,
    /* Most occurrences of a job that are open at a time.  Occurrences that are
     * due every few seconds overlap in far smaller numbers. */
    MAX_OPEN_OCCURRENCES = 64
};

/* ---- Jobs --------------------------------------------------------------- */

Job *
scheduler_find_job(const AqScheduler *s, const char *id)
{
    return g_hash_table_lookup(s->jobs, id);
}

bool
scheduler_is_finished(const Job *job)
{
    return job->stage >= AQ_STAGE_COMPLETED;
}

static Occurrence *
find_occurrence(const Job *job, uint32_t number)
{
    AqList_ForEach(at, &job->occurrences)
    {
        Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        if (occurrence->number == number) {
            return occurrence;
        }
    }
    return NULL;
}

Task *
scheduler_find_task(const AqScheduler *s, const AqTaskName *name)
{
    const Job *job = scheduler_find_job(s, name->job);
    if (job == NULL || name->step >= job->spec.step_count) {
        return NULL;
    }
    Occurrence *occurrence = find_occurrence(job, name->occurrence);
    if (occurrence == NULL ||
        name->index >= job->spec.steps[name->step].task_count) {
        return NULL;
    }
    return &occurrence->steps[name->step].tasks[name->index];
}

void
scheduler_name_task(const Task *task, AqTaskName *name)
{
    const Step *step = task->step;
    memset(name, 0, sizeof(*name));
    g_strlcpy(name->job, step->occurrence->job->spec.id, sizeof(name->job));
    name->occurrence = step->occurrence->number;
    name->step = step->number;
    name->index = task->index;
}

static void
init_task(const AqScheduler *s, Step *step, uint32_t index)
{
    Task *task = &step->tasks[index];
    task->step = step;
    task->index = index;
    task->pace = 100;
    task->absent_since = s->now;
    AqList_Init(&task->link);
    AqList_Init(&task->reservation_link);
}

Occurrence *
scheduler_add_occurrence(AqScheduler *s, Job *job, uint32_t number)
{
    Occurrence *occurrence = calloc(1, sizeof(*occurrence));
    occurrence->job = job;
    occurrence->number = number;
    occurrence->steps = calloc(job->spec.step_count, sizeof(Step));
    occurrence->steps_left = job->spec.step_count;
    occurrence->due_at = s->now;
    for (size_t i = 0; i < job->spec.step_count; i++) {
        Step *step = &occurrence->steps[i];
        step->occurrence = occurrence;
        step->spec = &job->spec.steps[i];
        step->number = (uint32_t)i;
        step->tasks = calloc(step->spec->task_count, sizeof(Task));
        for (uint32_t j = 0; j < step->spec->task_count; j++) {
            init_task(s, step, j);
        }
    }
    AqList_Append(&job->occurrences, &occurrence->link);
    job->open_occurrences++;
    return occurrence;
}

static void
clear_step(AqScheduler *s, Step *step)
{
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        vms_detach(s, &step->tasks[i]);
        vms_end_reservation(&step->tasks[i]);
        free(step->tasks[i].checkpoint);
        free(step->tasks[i].failed_runs);
        crashes_clear(&step->tasks[i]);
    }
    if (step->tickets != NULL) {
        for (guint i = 0; i < step->tickets->len; i++) {
            Ticket *ticket = &g_array_index(step->tickets, Ticket, i);
            free(ticket->vm);
            free(ticket->ticket);
        }
        g_array_free(step->tickets, TRUE);
    }
    free(step->tasks);
}

static void
free_occurrence(AqScheduler *s, Occurrence *occurrence)
{
    for (size_t i = 0; i < occurrence->job->spec.step_count; i++) {
        clear_step(s, &occurrence->steps[i]);
    }
    AqList_Remove(&occurrence->link);
    free(occurrence->steps);
    free(occurrence);
}

static void
free_job(AqScheduler *s, Job *job)
{
    AqList_ForEachSafe(at, after, &job->occurrences)
    {
        free_occurrence(s, AqList_Entry(at, Occurrence, link));
    }
    AqList_Remove(&job->link);
    AqList_Remove(&job->dirty_link);
    workspaces_remove_job(s, job);
    AqJobSpec_Clear(&job->spec);
    free(job);
}

static bool
is_unlocked(const Occurrence *occurrence, const Step *step)
{
    for (size_t i = 0; i < step->spec->after_count; i++) {
        const Step *earlier = &occurrence->steps[step->spec->after[i]];
        if (earlier->done < earlier->spec->task_count) {
            return false;
        }
    }
    return true;
}

void
scheduler_unlock(AqScheduler *s, Occurrence *occurrence)
{
    for (size_t i = 0; i < occurrence->job->spec.step_count; i++) {
        Step *step = &occurrence->steps[i];
        if (!is_unlocked(occurrence, step)) {
            continue;
        }
        for (uint32_t j = 0; j < step->spec->task_count; j++) {
            Task *task = &step->tasks[j];
            if (task->state == TASK_BLOCKED) {
                task->state = TASK_READY;
                task->ready_at = s->now;
                step->ready++;
                s->placement_due = true;
            }
        }
    }
}

/* Returns how many of the job's occurrences may be open at a time.  All of
 * them are due at once if the first due time lies far back. */
static uint32_t
max_open_occurrences(const Job *job)
{
    uint32_t tasks = 0;
    for (size_t i = 0; i < job->spec.step_count; i++) {
        tasks += job->spec.steps[i].task_count;
    }
    uint32_t most = tasks > 0 ? AQ_JOB_MAX_TASKS / tasks : 1;
    most = most > 0 ? most : 1;
    return most < MAX_OPEN_OCCURRENCES ? most : MAX_OPEN_OCCURRENCES;
}

/* Returns the due time of the job's next occurrence, Unix ms; INT64_MAX for
 * one beyond the range of the type. */
static int64_t
next_due_time(const Job *job)
{
    int64_t passed;
    int64_t due;
    if (__builtin_mul_overflow((int64_t)job->next_occurrence,
                               job->spec.interval_ms, &passed) ||
        __builtin_add_overflow(job->spec.first_due_ms, passed, &due)) {
        return INT64_MAX;
    }
    return due;
}

static void
add_due_occurrences(AqScheduler *s, Job *job)
{
    uint32_t most = job->spec.occurrences > 0 ? job->spec.occurrences : 1;
    uint32_t max_open = max_open_occurrences(job);
    while (job->next_occurrence < most && job->open_occurrences < max_open &&
           next_due_time(job) <= s->wall) {
        scheduler_unlock(
            s, scheduler_add_occurrence(s, job, job->next_occurrence));
        job->next_occurrence++;
        unknown_runs_adopt(s, job);
        scheduler_changed(s, job);
    }
}

void
scheduler_changed(AqScheduler *s, Job *job)
{
    s->change_seq++;
    if (job->is_saving) {
        job->changed_while_saving = true;
        if (job->dirty_seq == 0) {
            job->dirty_seq = s->change_seq;
        }
        return;
    }
    if (!AqList_IsLinked(&job->dirty_link)) {
        job->dirty_seq = s->change_seq;
        AqList_Append(&s->dirty, &job->dirty_link);
    }
}

/* Ends the job with the given stage and orders the stop of all its runs. */
static void
finish_job(AqScheduler *s, Job *job, AqJobStage stage)
{
    if (scheduler_is_finished(job)) {
        return;
    }
    job->stage = stage;
    AqList_Remove(&job->link);
    scheduler_changed(s, job);
    AqList_ForEach(at, &job->occurrences)
    {
        Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            Step *step = &occurrence->steps[i];
            for (uint32_t j = 0; j < step->spec->task_count; j++) {
                Task *task = &step->tasks[j];
                vms_end_reservation(task);
                if (task->vm != NULL) {
                    replies_order_stop(s, task);
                }
            }
        }
    }
}

void
scheduler_fail_job(AqScheduler *s, Job *job)
{
    finish_job(s, job, AQ_STAGE_FAILED);
}

static void
finish_if_done(AqScheduler *s, Job *job)
{
    uint32_t most = job->spec.occurrences > 0 ? job->spec.occurrences : 1;
    if (job->next_occurrence < most) {
        return;
    }
    AqList_ForEach(at, &job->occurrences)
    {
        if (AqList_Entry(at, Occurrence, link)->steps_left > 0) {
            return;
        }
    }
    finish_job(s, job, AQ_STAGE_COMPLETED);
}

bool
AqScheduler_AddJob(AqScheduler *s, AqJobSpec *spec, const char *record,
                   size_t size, bool is_new, AqTime now, AqError *error)
{
    s->now = now;
    if (scheduler_find_job(s, spec->id) != NULL) {
        AqJobSpec_Clear(spec);
        return true;
    }
    Job *job = calloc(1, sizeof(*job));
    job->spec = *spec;
    memset(spec, 0, sizeof(*spec));
    AqList_Init(&job->link);
    AqList_Init(&job->dirty_link);
    AqList_Init(&job->occurrences);
    workspaces_add_job(s, job);
    job_terms_update(s, job);
    int64_t age = s->wall - job->spec.submitted_ms;
    job->submitted_at = now - (age > 0 ? age : 0);
    if (record != NULL && !progress_apply(s, job, record, size)) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "the stored progress of job %s is damaged; it is kept "
                    "unchanged, remove both keys",
                    job->spec.id);
        free_job(s, job);
        return false;
    }
    g_hash_table_insert(s->jobs, job->spec.id, job);
    if (scheduler_is_finished(job)) {
        return true;
    }
    if (s->is_loaded) {
        load_add_job(s, job);
    }
    job->is_new = is_new;
    AqList_Append(&s->active, &job->link);
    AqList_ForEach(at, &job->occurrences)
    {
        scheduler_unlock(s, AqList_Entry(at, Occurrence, link));
    }
    if (job->spec.occurrences == 0 && job->next_occurrence == 0) {
        scheduler_unlock(s, scheduler_add_occurrence(s, job, 0));
        job->next_occurrence = 1;
    }
    unknown_runs_adopt(s, job);
    finish_if_done(s, job);
    if (job_terms_are_exhausted(job)) {
        /* An earlier version went on with a job whose queue was gone. */
        scheduler_fail_job(s, job);
    }
    s->placement_due = true;
    return true;
}

void
AqScheduler_CancelJob(AqScheduler *s, const char *id, AqTime now)
{
    Job *job = scheduler_find_job(s, id);
    s->now = now;
    if (job != NULL) {
        finish_job(s, job, AQ_STAGE_CANCELLED);
    }
}

void
AqScheduler_RemoveJob(AqScheduler *s, const char *id)
{
    Job *job = scheduler_find_job(s, id);
    if (job != NULL && scheduler_is_finished(job) && !job->is_saving &&
        !AqList_IsLinked(&job->dirty_link)) {
        g_hash_table_remove(s->jobs, id);
        free_job(s, job);
    }
}

bool
AqScheduler_GetStage(const AqScheduler *s, const char *id, AqJobStage *stage)
{
    const Job *job = scheduler_find_job(s, id);
    if (job == NULL) {
        return false;
    }
    *stage = scheduler_is_finished(job) ? job->stored_stage : job->stage;
    return true;
}

bool
AqScheduler_HasUnfinishedJobs(const AqScheduler *s)
{
    return !AqList_IsEmpty(&s->active);
}

/* ---- Ends of tasks ------------------------------------------------------ */

/* Adds the task, which is done, to the averages of declared and actual
 * durations.  Declared durations are too long or too short by large factors,
 * so the mean of the tasks' ratios of actual to declared duration is far above
 * the ratio of the two means, and only the ratio of the means gives the amount
 * of work. */
static void
update_mean_durations(AqScheduler *s, const Task *task)
{
    AqTime declared = task->step->spec->estimate_ms;
    AqTime taken = s->now - task->started_at;
    if (declared > 0 && task->started_at > 0 && taken > 0 &&
        task->checkpoint == NULL) {
        s->mean_declared_ms +=
            ((double)declared - s->mean_declared_ms) / DURATION_MEAN_DIVISOR;
        s->mean_actual_ms +=
            ((double)taken - s->mean_actual_ms) / DURATION_MEAN_DIVISOR;
    }
}

AqTime
scheduler_estimate(const AqScheduler *s, const AqStepSpec *spec)
{
    double estimate =
        (double)spec->estimate_ms * s->mean_actual_ms / s->mean_declared_ms;
    return (AqTime)(estimate < MAX_ESTIMATE_MS ? estimate : MAX_ESTIMATE_MS);
}

static void
complete_step(AqScheduler *s, Step *step)
{
    Occurrence *occurrence = step->occurrence;
    occurrence->steps_left--;
    scheduler_unlock(s, occurrence);
    if (occurrence->steps_left == 0) {
        occurrence->job->open_occurrences--;
        finish_if_done(s, occurrence->job);
    }
}

static void
mark_done(AqScheduler *s, Task *task)
{
    Step *step = task->step;
    if (task->state == TASK_DONE) {
        return;
    }
    if (task->state == TASK_READY) {
        step->ready--;
    }
    /* the task may be on a VM while another task of its gang (step whose tasks
     * run together) has ended */
    vms_detach(s, task);
    vms_end_reservation(task);
    task->state = TASK_DONE;
    step->done++;
}

void
scheduler_task_done(AqScheduler *s, Task *task)
{
    Step *step = task->step;
    if (task->state == TASK_DONE) {
        return;
    }
    update_mean_durations(s, task);
    s->counters.done++;
    mark_done(s, task);
    if (step->spec->is_gang) {
        for (uint32_t i = 0; i < step->spec->task_count; i++) {
            mark_done(s, &step->tasks[i]);
        }
    }
    scheduler_changed(s, step->occurrence->job);
    s->placement_due = true;
    if (step->done == step->spec->task_count) {
        complete_step(s, step);
    }
}

void
scheduler_requeue_task(AqScheduler *s, Task *task)
{
    vms_detach(s, task);
    if (task->state != TASK_READY && task->state != TASK_DONE) {
        task->step->ready++;
        task->ready_at = s->now;
        task->state = TASK_READY;
    }
    task->is_order_pending = false;
    task->may_start_late = false;
    task->must_stop_after_reply = false;
    task->is_stop_acked = false;
    task->started_at = 0;
    task->percent = 0;
    task->pace = 100;
    if (task->absent_since == AQ_TIME_NEVER) {
        task->absent_since = s->now;
    }
    s->placement_due = true;
}

static bool
is_failure_known(const Task *task, int64_t run)
{
    for (uint32_t i = 0; task->failed_runs != NULL && i < task->failures;
         i++) {
        if (task->failed_runs[i] == run) {
            return true;
        }
    }
    return false;
}

void
scheduler_add_failure(Task *task, int64_t run)
{
    if (!task->step->spec->is_perpetual) {
        size_t size = (task->failures + 1) * sizeof(*task->failed_runs);
        task->failed_runs = realloc(task->failed_runs, size);
        task->failed_runs[task->failures] = run;
    }
    task->failures++;
}

void
scheduler_task_failed(AqScheduler *s, Task *task, int64_t run)
{
    enum {
        RESTART_PAUSE_MS = 20,
        MAX_RESTART_PAUSE_MS = 1000
    };
    Job *job = task->step->occurrence->job;
    AqTime pause = RESTART_PAUSE_MS;
    if (is_failure_known(task, run)) {
        return;
    }
    s->counters.failed++;
    scheduler_add_failure(task, run);
    scheduler_changed(s, job);
    if (!job_terms_allow_run(task)) {
        scheduler_fail_job(s, job);
        return;
    }
    if (task->step->spec->is_perpetual) {
        /* The pause before the task's next start grows with the number of its
         * failed runs, so that most of the scheduler's orders are not for a
         * perpetual task whose runs fail as soon as they have started. */
        pause *= task->failures < 50 ? task->failures : 50;
    }
    task->not_before =
        s->now + (pause < MAX_RESTART_PAUSE_MS ? pause : MAX_RESTART_PAUSE_MS);
}

/* ---- Time --------------------------------------------------------------- */

AqTime
AqScheduler_Tick(AqScheduler *s, AqTime now, int64_t wall, bool may_order)
{
    s->now = now;
    s->wall = wall;
    s->may_order = may_order && !s->is_superseded && !s->is_closed;
    AqList_ForEachSafe(at, after, &s->active)
    {
        Job *job = AqList_Entry(at, Job, link);
        if (job->spec.occurrences > 0) {
            add_due_occurrences(s, job);
        }
    }
    open_runs_tick(s);
    AqTime due = vms_tick(s);
    if (s->may_order) {
        perpetual_tick(s);
        placement_run(s);
    }
    start_stall_tick(s);
    AqTime latest = s->placement_due ? s->earliest_placement_at
                                     : now + MAX_TICK_INTERVAL_MS;
    return due < latest ? due : latest;
}

const AqSchedulerCounters *
AqScheduler_Counters(const AqScheduler *s)
{
    return &s->counters;
}

/* ---- Lifecycle ---------------------------------------------------------- */

AqScheduler *
AqScheduler_Create(const AqSchedulerConfig *config,
                   const AqSchedulerActions *actions, void *context,
                   AqTime now)
{
    AqScheduler *s = calloc(1, sizeof(*s));
    s->config = *config;
    s->actions = *actions;
    s->context = context;
    s->created_at = now;
    s->sufficient_at = now;
    s->confirmed_at = now;
    s->awaited_vm_ended_at = now;
    s->now = now;
    s->no_start_since = now;
    start_window_init(&s->start_window);
    s->mean_declared_ms = 1000.0;
    s->mean_actual_ms = 1000.0;
    s->jobs = g_hash_table_new(g_str_hash, g_str_equal);
    s->workspaces =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, workspaces_free);
    s->racks = places_create();
    s->rack_wanted_at = INT64_MIN / 2;
    s->vms_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    s->inherited_runs = g_array_new(FALSE, FALSE, sizeof(NamedRun));
    s->unknown_runs = g_array_new(FALSE, FALSE, sizeof(NamedRun));
    s->open_runs = g_array_new(FALSE, FALSE, sizeof(OpenRun));
    s->recent_crashes = g_array_new(FALSE, FALSE, sizeof(VmCrash));
    AqList_Init(&s->active);
    AqList_Init(&s->dirty);
    AqList_Init(&s->vms);
    return s;
}

void
AqScheduler_Destroy(AqScheduler *s)
{
    GHashTableIter iter;
    gpointer value;
    if (s == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, s->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        free_job(s, value);
    }
    g_hash_table_destroy(s->jobs);
    g_hash_table_destroy(s->workspaces);
    AqList_ForEachSafe(at, after, &s->vms)
    {
        vms_free(AqList_Entry(at, Vm, link));
    }
    g_hash_table_destroy(s->vms_by_id);
    g_hash_table_destroy(s->racks);
    g_array_free(s->inherited_runs, TRUE);
    g_array_free(s->unknown_runs, TRUE);
    g_array_free(s->open_runs, TRUE);
    g_array_free(s->recent_crashes, TRUE);
    free(s);
}

void
AqScheduler_SetSite(AqScheduler *s, const AqSiteConfig *site)
{
    s->site = site;
    workspaces_set_site(s);
    AqList_ForEachSafe(at, after, &s->active)
    {
        Job *job = AqList_Entry(at, Job, link);
        uint32_t max_attempts = job->terms.max_attempts;
        job_terms_update(s, job);
        if (job->terms.max_attempts != max_attempts &&
            job_terms_are_exhausted(job)) {
            scheduler_fail_job(s, job);
        }
    }
    s->placement_due = true;
}
