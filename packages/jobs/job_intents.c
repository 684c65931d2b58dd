#include "jobs_internal.h"

#include <string.h>

#include "aq_json.h"

enum {
    MAX_NAME_LENGTH = 63,
    MAX_CORES = 4096,
    MAX_RUN_MS = 7 * 24 * 3600 * 1000
};

static bool
check_name(const char *field, const char *name, AqError *error)
{
    size_t length = strlen(name);
    bool ok = length >= 1 && length <= MAX_NAME_LENGTH;
    for (size_t i = 0; i < length && ok; i++) {
        ok = g_ascii_isalnum(name[i]) || strchr("._-", name[i]) != NULL;
    }
    return ok || AqError_Set(error, AQ_ERR_INVALID,
                             "field \"%s\" is \"%.80s\"; use 1 to %d letters, "
                             "digits, dots, underscores or hyphens",
                             field, name, MAX_NAME_LENGTH);
}

static bool
check_selector(const json_t *args, AqError *error)
{
    const json_t *selector = json_object_get(args, "selector");
    const char *key;
    json_t *value;
    if (selector != NULL && !json_is_object(selector)) {
        return AqError_Set(
            error, AQ_ERR_INVALID,
            "field \"selector\" must be an object from label to "
            "value");
    }
    json_object_foreach((json_t *)selector, key, value)
    {
        if (!json_is_string(value)) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "label \"%s\" of the selector must have a "
                               "string as value",
                               key);
        }
    }
    return true;
}

/* Returns a new job record in state queued, made from the arguments of a
 * job.submit, or NULL with "error" set if an argument is invalid. */
static json_t *
parse_job(const json_t *args, AqError *error)
{
    static const char *const allowed[] = {
        "id",    "team",      "urgent",       "idempotent", "selector",
        "cores", "memory_mb", "accelerators", "run_ms",     NULL};
    const char *id;
    const char *team;
    bool urgent;
    bool idempotent;
    int64_t cores;
    int64_t memory_mb;
    int64_t accelerators;
    int64_t run_ms;
    if (!AqJson_CheckFields(args, allowed, error) ||
        !AqJson_GetString(args, "id", &id, error) ||
        !check_name("id", id, error) ||
        !AqJson_GetString(args, "team", &team, error) ||
        !check_name("team", team, error) ||
        !AqJson_OptBool(args, "urgent", false, &urgent, error) ||
        !AqJson_OptBool(args, "idempotent", false, &idempotent, error) ||
        !AqJson_OptInt(args, "cores", 1, MAX_CORES, 1, &cores, error) ||
        !AqJson_OptInt(args, "memory_mb", 1, 64 * 1024 * 1024, 64, &memory_mb,
                       error) ||
        !AqJson_OptInt(args, "accelerators", 0, 1024, 0, &accelerators,
                       error) ||
        !AqJson_OptInt(args, "run_ms", 1, MAX_RUN_MS, 60000, &run_ms, error) ||
        !check_selector(args, error)) {
        return NULL;
    }
    json_t *selector = json_object_get(args, "selector");
    return json_pack(
        "{s:b,s:b,s:o,s:I,s:I,s:I,s:I,s:s,s:i}", "urgent", urgent,
        "idempotent", idempotent, "selector",
        selector != NULL ? json_deep_copy(selector) : json_object(), "cores",
        (json_int_t)cores, "memory_mb", (json_int_t)memory_mb, "accelerators",
        (json_int_t)accelerators, "run_ms", (json_int_t)run_ms, "state",
        "queued", "tries", 0);
}

/* Whether the team's quota is large enough for the job while no other job of
 * the team runs. */
static bool
check_quota(const AqFleet *fleet, const char *team, const json_t *job,
            AqError *error)
{
    static const char *const fields[] = {"cores", "memory_mb", "accelerators"};
    const json_t *quota = AqFleet_Get(fleet, AQ_REC_TEAM, team);
    if (quota == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "there is no team \"%s\"; set its quota with "
                           "\"team set\" first",
                           team);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        int64_t requested = job_int(job, fields[i]);
        int64_t limit = job_int(quota, fields[i]);
        if (requested > limit) {
            return AqError_Set(error, AQ_ERR_REFUSED,
                               "%s is %lld and the quota of team \"%s\" is "
                               "%lld; ask for less or raise the quota",
                               fields[i], (long long)requested, team,
                               (long long)limit);
        }
    }
    return true;
}

/* Whether the job.submit with operation id "op" has been applied: the team's
 * unfinished job "id" or one of the team's kept results records that operation
 * id. */
static bool
is_applied(const Team *team, const char *id, const char *op)
{
    const json_t *job = json_object_get(team_jobs(team), id);
    const json_t *result;
    size_t i;
    if (job != NULL && strcmp(job_text(job, "op"), op) == 0) {
        return true;
    }
    json_array_foreach(json_object_get(team->working, "results"), i, result)
    {
        if (strcmp(job_text(result, "op"), op) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns team "name".  If no document of that team was loaded, the team is
 * first added with an empty document. */
static Team *
get_or_create_team(AqJobs *jobs, const char *name)
{
    static const char empty[] = "{\"jobs\":{},\"results\":[],\"samples\":{}}";
    Team *team = jobs_find_team(jobs, name);
    if (team == NULL) {
        /* Store revision 0 means that the store has no key of this team; the
         * first write of the team's document creates the key. */
        AqJobs_Load(jobs, name, empty, sizeof(empty) - 1, 0, NULL);
        team = jobs_find_team(jobs, name);
    }
    return team;
}

static bool
submit(AqJobs *jobs, const AqFleet *fleet, const char *op, const json_t *args,
       int64_t wall_ms, AqError *error)
{
    json_t *job = parse_job(args, error);
    if (job == NULL) {
        return false;
    }
    const char *id = json_string_value(json_object_get(args, "id"));
    const char *name = json_string_value(json_object_get(args, "team"));
    Team *team = get_or_create_team(jobs, name);
    bool ok = false;
    if (is_applied(team, id, op)) {
        ok = true;
        goto done;
    }
    if (json_object_get(team_jobs(team), id) != NULL) {
        AqError_Set(error, AQ_ERR_REFUSED,
                    "team \"%s\" has a job \"%s\" already; choose another id",
                    name, id);
        goto done;
    }
    if (json_object_size(team_jobs(team)) >= JOBS_MAX_PER_TEAM) {
        AqError_Set(error, AQ_ERR_REFUSED,
                    "team \"%s\" has %d unfinished jobs, the most allowed; "
                    "submit the job after some have finished",
                    name, JOBS_MAX_PER_TEAM);
        goto done;
    }
    if (!check_quota(fleet, name, job, error) ||
        !placement_is_possible(fleet, job, error)) {
        goto done;
    }
    json_object_set_new(job, "op", json_string(op));
    json_object_set_new(job, "submitted", json_integer(wall_ms));
    json_object_set(team_jobs(team), id, job);
    team->dirty = true;
    ok = true;

done:
    json_decref(job);
    return ok;
}

/* Returns a team that has an unfinished job "id", or NULL if no team has such
 * a job.  Used for a job.cancel that doesn't name the job's team. */
static Team *
find_team_of_job(const AqJobs *jobs, const char *id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs->teams);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (json_object_get(team_jobs(value), id) != NULL) {
            return value;
        }
    }
    return NULL;
}

static bool
cancel(AqJobs *jobs, const json_t *args, AqError *error)
{
    static const char *const allowed[] = {"id", "team", NULL};
    const char *id;
    const char *name;
    if (!AqJson_CheckFields(args, allowed, error) ||
        !AqJson_GetString(args, "id", &id, error) ||
        !AqJson_OptString(args, "team", NULL, &name, error)) {
        return false;
    }
    Team *team =
        name != NULL ? jobs_find_team(jobs, name) : find_team_of_job(jobs, id);
    json_t *job = team != NULL ? json_object_get(team_jobs(team), id) : NULL;
    if (job == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "there is no unfinished job \"%s\"; list the jobs, "
                           "it may have finished",
                           id);
    }
    if (!job_flag(job, "cancel")) {
        json_object_set_new(job, "cancel", json_true());
        team->dirty = true;
    }
    return true;
}

bool
AqJobs_Evaluate(AqJobs *jobs, const AqFleet *fleet, const json_t *intent,
                int64_t wall_ms, AqError *error)
{
    const char *op;
    const char *kind;
    const json_t *args = json_object_get(intent, "args");
    if (!AqJson_GetString(intent, "op", &op, error) ||
        !AqJson_GetString(intent, "kind", &kind, error)) {
        return false;
    }
    if (!json_is_object(args)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "field \"args\" must be an object");
    }
    if (strcmp(kind, "job.submit") == 0) {
        return submit(jobs, fleet, op, args, wall_ms, error);
    }
    if (strcmp(kind, "job.cancel") == 0) {
        return cancel(jobs, args, error);
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "kind \"%.40s\" is not about jobs; use job.submit or "
                       "job.cancel",
                       kind);
}
