#include "jobs_internal.h"

#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

/* ---- Lifecycle -----------------------------------------------------------
 */

static void
free_team(gpointer data)
{
    Team *team = data;
    json_decref(team->stored);
    json_decref(team->working);
    g_free(team->name);
    g_free(team);
}

static void
free_worker_health(gpointer data)
{
    WorkerHealth *health = data;
    g_free(health->last_failed_task);
    g_free(health);
}

AqJobs *
AqJobs_Create(void)
{
    AqJobs *jobs = calloc(1, sizeof(*jobs));
    jobs->teams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_team);
    jobs->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    jobs->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          free_worker_health);
    return jobs;
}

void
AqJobs_Destroy(AqJobs *jobs)
{
    if (jobs == NULL) {
        return;
    }
    g_hash_table_destroy(jobs->teams);
    g_hash_table_destroy(jobs->tasks);
    g_hash_table_destroy(jobs->workers);
    free(jobs);
}

void
AqJobs_Disable(AqJobs *jobs, uint32_t disabled)
{
    jobs->disabled = disabled;
}

/* ---- Teams ---------------------------------------------------------------
 */

Team *
jobs_find_team(const AqJobs *jobs, const char *name)
{
    return g_hash_table_lookup(jobs->teams, name);
}

static json_t *
new_empty_document(void)
{
    return json_pack("{s:{},s:[],s:{}}", "jobs", "results", "samples");
}

static Team *
add_team(AqJobs *jobs, const char *name)
{
    Team *team = g_new0(Team, 1);
    team->name = g_strdup(name);
    team->stored = new_empty_document();
    team->working = new_empty_document();
    g_hash_table_insert(jobs->teams, team->name, team);
    return team;
}

/* Whether a team's document has the objects "jobs" and "samples" and the array
 * "results", and each job's record has a state that is a string.  The other
 * functions don't check this again. */
static bool
is_valid_document(const json_t *root)
{
    const char *id;
    json_t *job;
    if (!json_is_object(json_object_get(root, "jobs")) ||
        !json_is_array(json_object_get(root, "results")) ||
        !json_is_object(json_object_get(root, "samples"))) {
        return false;
    }
    json_object_foreach(json_object_get(root, "jobs"), id, job)
    {
        if (!json_is_string(json_object_get(job, "state"))) {
            return false;
        }
    }
    return true;
}

bool
AqJobs_Load(AqJobs *jobs, const char *name, const char *text, size_t size,
            uint64_t index, AqError *error)
{
    Team *team = jobs_find_team(jobs, name);
    if (team != NULL && index <= team->store_revision) {
        return true;
    }
    json_t *root = AqJson_Parse(text, size, error);
    if (root == NULL || !is_valid_document(root)) {
        json_decref(root);
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the document of team \"%s\" is damaged; restore "
                           "%s%s in the store",
                           name, AQ_JOBS_PREFIX, name);
    }
    if (team == NULL) {
        team = add_team(jobs, name);
    }
    json_decref(team->stored);
    json_decref(team->working);
    team->stored = root;
    team->working = json_deep_copy(root);
    team->store_revision = index;
    /* The unstored changes that this call drops were based on an older
     * revision of the document, so the store would refuse to write them:
     * nothing is left to store. */
    team->dirty = false;
    return true;
}

char *
AqJobs_Encode(const AqJobs *jobs, const char *name, uint64_t *index)
{
    const Team *team = jobs_find_team(jobs, name);
    *index = team->store_revision;
    return AqJson_Dump(team->working);
}

const char *
AqJobs_NextDirty(const AqJobs *jobs)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Team *team = value;
        if (team->dirty) {
            return team->name;
        }
    }
    return NULL;
}

void
AqJobs_Stored(AqJobs *jobs, const char *name, uint64_t index)
{
    Team *team = jobs_find_team(jobs, name);
    if (team == NULL || index <= team->store_revision) {
        return;
    }
    json_decref(team->stored);
    team->stored = json_deep_copy(team->working);
    team->store_revision = index;
    team->dirty = false;
}

void
AqJobs_Rollback(AqJobs *jobs, const char *name)
{
    Team *team = jobs_find_team(jobs, name);
    if (team == NULL) {
        return;
    }
    json_decref(team->working);
    team->working = json_deep_copy(team->stored);
    team->dirty = false;
}

/* ---- Records -------------------------------------------------------------
 */

json_t *
team_jobs(const Team *team)
{
    return json_object_get(team->working, "jobs");
}

const char *
job_text(const json_t *job, const char *field)
{
    const char *text = json_string_value(json_object_get(job, field));
    return text != NULL ? text : "";
}

const char *
job_state(const json_t *job)
{
    return job_text(job, "state");
}

bool
job_is(const json_t *job, const char *state)
{
    return strcmp(job_state(job), state) == 0;
}

int64_t
job_int(const json_t *job, const char *field)
{
    return json_integer_value(json_object_get(job, field));
}

bool
job_flag(const json_t *job, const char *field)
{
    return json_is_true(json_object_get(job, field));
}

void
job_set_state(Team *team, json_t *job, const char *state)
{
    json_object_set_new(job, "state", json_string(state));
    team->dirty = true;
}

void
job_end(Team *team, const char *id, const char *state, const char *reason)
{
    json_t *results = json_object_get(team->working, "results");
    const json_t *job = json_object_get(team_jobs(team), id);
    json_array_append_new(results, json_pack("{s:s,s:s,s:s,s:s}", "id", id,
                                             "state", state, "reason", reason,
                                             "op", job_text(job, "op")));
    while (json_array_size(results) > JOBS_MAX_RESULTS) {
        json_array_remove(results, 0);
    }
    json_object_del(team_jobs(team), id);
    team->dirty = true;
}

char *
task_name(const char *team, const char *id, const json_t *job)
{
    return g_strdup_printf("%s.%s.%lld", team, id,
                           (long long)job_int(job, "tries"));
}

TaskRuntime *
jobs_task_runtime(AqJobs *jobs, const char *task)
{
    TaskRuntime *runtime = g_hash_table_lookup(jobs->tasks, task);
    if (runtime == NULL) {
        runtime = g_new0(TaskRuntime, 1);
        g_hash_table_insert(jobs->tasks, g_strdup(task), runtime);
    }
    return runtime;
}

WorkerHealth *
jobs_worker_health(AqJobs *jobs, const char *worker)
{
    WorkerHealth *health = g_hash_table_lookup(jobs->workers, worker);
    if (health == NULL) {
        health = g_new0(WorkerHealth, 1);
        g_hash_table_insert(jobs->workers, g_strdup(worker), health);
    }
    return health;
}

size_t
AqJobs_RememberedTasks(const AqJobs *jobs)
{
    return g_hash_table_size(jobs->tasks);
}

/* ---- Inspection ---------------------------------------------------------
 */

json_t *
AqJobs_Describe(const AqJobs *jobs)
{
    json_t *result = json_array();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Team *team = value;
        const char *id;
        json_t *job;
        size_t i;
        json_object_foreach(team_jobs(team), id, job)
        {
            json_t *row = json_pack("{s:s,s:s}", "id", id, "team", team->name);
            json_object_update_missing(row, job);
            json_array_append_new(result, row);
        }
        json_array_foreach(json_object_get(team->working, "results"), i, job)
        {
            json_t *row = json_pack("{s:s}", "team", team->name);
            json_object_update_missing(row, job);
            json_array_append_new(result, row);
        }
    }
    return result;
}

/* Whether a job's record has a known state, a worker unless the job is queued
 * (and none if it is queued), and no negative tries or cores. */
static bool
check_record(const Team *team, const char *id, const json_t *job,
             AqError *error)
{
    static const char *const states[] = {
        "queued", "starting", "running", "checkpointing", "stopping", NULL};
    int i = 0;
    while (states[i] != NULL && !job_is(job, states[i])) {
        i++;
    }
    bool has_worker = job_text(job, "worker")[0] != '\0';
    if (states[i] == NULL || has_worker != (i > 0) ||
        job_int(job, "tries") < 0 || job_int(job, "cores") < 0) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "job \"%s\" of team \"%s\" is inconsistent: state "
                           "\"%s\", worker \"%s\"",
                           id, team->name, job_state(job),
                           job_text(job, "worker"));
    }
    return true;
}

bool
AqJobs_CheckConsistency(const AqJobs *jobs, AqError *error)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Team *team = value;
        const char *id;
        json_t *job;
        if (!team->dirty && !json_equal(team->stored, team->working)) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "team \"%s\" has changes but is not marked "
                               "dirty",
                               team->name);
        }
        json_object_foreach(team_jobs(team), id, job)
        {
            if (!check_record(team, id, job, error)) {
                return false;
            }
        }
    }
    return true;
}
