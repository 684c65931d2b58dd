#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

static void
free_value(gpointer data)
{
    FakeValue *value = data;
    g_free(value->text);
    g_free(value);
}

static void
free_task(gpointer data)
{
    FakeTask *task = data;
    g_free(task->id);
    g_free(task->worker);
    g_free(task->job);
    g_free(task);
}

void
fake_init(Fake *fake, uint64_t seed)
{
    memset(fake, 0, sizeof(*fake));
    fake->values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
    fake->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_task);
    fake->run_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fake->bad_workers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fake->fleet = AqFleet_Create();
    fake->now_ms = 1000000;
    fake->run_ms = 5000;
    fake->cpu_use_percent = 100;
    AqRandom_Seed(&fake->random, seed);
}

void
fake_clear(Fake *fake)
{
    g_hash_table_destroy(fake->values);
    g_hash_table_destroy(fake->tasks);
    g_hash_table_destroy(fake->run_counts);
    g_hash_table_destroy(fake->bad_workers);
    AqFleet_Destroy(fake->fleet);
}

/* ---- Fleet ----------------------------------------------------------------
 */

/* Adds or replaces the fleet record "name" of kind "kind", which is "vm" or
 * "team".  Takes over the caller's reference to "record". */
static void
upsert(Fake *fake, const char *kind, const char *name, json_t *record)
{
    char op[40];
    AqError error;
    json_t *set = json_pack("[[s,s,o]]", kind, name, record);
    snprintf(op, sizeof(op), "op%lld",
             (long long)AqFleet_Version(fake->fleet));
    if (!AqFleet_Apply(fake->fleet, op, set, &error)) {
        fprintf(stderr, "%s\n", error.message);
        abort();
    }
    json_decref(set);
}

void
fake_add_worker(Fake *fake, const char *id, const char *labels, int cores)
{
    json_t *parsed = AqJson_Parse(labels, strlen(labels), NULL);
    upsert(fake, "vm", id,
           json_pack("{s:s,s:o,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}", "pool",
                     "spare", "labels", parsed, "rack", "r", "zone", "z",
                     "address", "127.0.0.1:1", "state", "serving", "since", 1,
                     "cores", cores, "memory_mb", cores * 1024, "accelerators",
                     0));
}

void
fake_add_team(Fake *fake, const char *name, int cores)
{
    upsert(fake, "team", name,
           json_pack("{s:i,s:i,s:i}", "cores", cores, "memory_mb",
                     cores * 1024, "accelerators", 0));
}

/* ---- Store ----------------------------------------------------------------
 */

void
fake_load(Fake *fake, AqJobs *jobs)
{
    GHashTableIter iter;
    gpointer key;
    gpointer data;
    g_hash_table_iter_init(&iter, fake->values);
    while (g_hash_table_iter_next(&iter, &key, &data)) {
        const FakeValue *value = data;
        AqJobs_Load(jobs, key, value->text, strlen(value->text),
                    value->store_revision, NULL);
    }
}

static bool
is_reply_lost(Fake *fake)
{
    return AqRandom_Below(&fake->random, 100) <
           (uint64_t)fake->reply_loss_percent;
}

void
fake_store(Fake *fake, AqJobs *jobs)
{
    const char *team;
    while ((team = AqJobs_NextDirty(jobs)) != NULL) {
        uint64_t index;
        char *name = g_strdup(team);
        char *text = AqJobs_Encode(jobs, name, &index);
        FakeValue *value = g_hash_table_lookup(fake->values, name);
        bool ok = (value != NULL ? value->store_revision : 0) == index;
        if (ok) {
            value = g_new0(FakeValue, 1);
            value->text = g_strdup(text);
            value->store_revision = ++fake->store_revision;
            g_hash_table_replace(fake->values, g_strdup(name), value);
        }
        if (ok && !is_reply_lost(fake)) {
            AqJobs_Stored(jobs, name, fake->store_revision);
        }
        else {
            AqJobs_Rollback(jobs, name);
        }
        free(text);
        g_free(name);
    }
}

bool
fake_submit(Fake *fake, AqJobs *jobs, const char *kind, const char *args,
            AqError *error)
{
    char op[32];
    snprintf(op, sizeof(op), "op-%llx",
             (unsigned long long)AqRandom_Next(&fake->random));
    json_t *intent = json_pack("{s:s,s:s,s:o}", "op", op, "kind", kind, "args",
                               AqJson_Parse(args, strlen(args), NULL));
    bool ok;
    /* Like the daemon, evaluates the intent again on the stored documents
     * until the evaluation changes nothing: the store then has the intent's
     * change. */
    do {
        fake_load(fake, jobs);
        ok = AqJobs_Evaluate(jobs, fake->fleet, intent, fake->now_ms, error);
        bool is_unchanged = AqJobs_NextDirty(jobs) == NULL;
        fake_store(fake, jobs);
        if (is_unchanged) {
            break;
        }
    } while (ok);
    json_decref(intent);
    return ok;
}

/* ---- Platform -------------------------------------------------------------
 */

/* Returns how many whole cores of a worker no running task has reserved. */
static int64_t
free_cores(const Fake *fake, const char *worker)
{
    const json_t *vm = AqFleet_Get(fake->fleet, AQ_REC_VM, worker);
    int64_t cores = json_integer_value(json_object_get(vm, "cores"));
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init(&iter, fake->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        const FakeTask *task = data;
        if (strcmp(task->state, "running") == 0 &&
            strcmp(task->worker, worker) == 0) {
            cores -= task->cores;
        }
    }
    return cores;
}

static void
count_run(Fake *fake, const char *job)
{
    int runs = GPOINTER_TO_INT(g_hash_table_lookup(fake->run_counts, job));
    g_hash_table_replace(fake->run_counts, g_strdup(job),
                         GINT_TO_POINTER(runs + 1));
}

int
fake_runs(const Fake *fake, const char *job)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(fake->run_counts, job));
}

typedef struct {
    Fake *fake;
    AqJobs *jobs;
} OrderContext;

/* Executes a START order: starts the task or, if it is checkpointed, resumes
 * it on the order's worker.  An order for a task that was started already is a
 * duplicate, which succeeds if it names the task's worker and is refused if it
 * names another worker. */
static void
start_task(Fake *fake, AqJobs *jobs, const AqTaskOrder *order)
{
    FakeTask *task = g_hash_table_lookup(fake->tasks, order->task);
    bool resumes = task != NULL && strcmp(task->state, "checkpointed") == 0;
    if (task != NULL && !resumes) {
        bool same = strcmp(task->worker, order->worker) == 0;
        AqJobs_Started(jobs, fake->now_ms, order->task, same, !same);
        return;
    }
    if (free_cores(fake, order->worker) < order->cores) {
        AqJobs_Started(jobs, fake->now_ms, order->task, false, true);
        return;
    }
    if (task == NULL) {
        task = g_new0(FakeTask, 1);
        task->id = g_strdup(order->task);
        task->job = g_strndup(
            order->task, (gsize)(strrchr(order->task, '.') - order->task));
        g_hash_table_replace(fake->tasks, task->id, task);
        count_run(fake, task->job);
    }
    bool is_bad = g_hash_table_contains(fake->bad_workers, order->worker);
    g_free(task->worker);
    task->worker = g_strdup(order->worker);
    task->state = is_bad ? "failed" : "running";
    fake->starts_on_bad += is_bad;
    task->started = true;
    task->lease_until_ms = fake->now_ms + 10000;
    task->finish_at_ms = fake->now_ms + fake->run_ms;
    task->cores = order->cores;
    task->memory_mb = order->memory_mb;
    task->cores_used_milli =
        json_integer_value(json_object_get(order->job, "cores")) * 10 *
        fake->cpu_use_percent;
    if (!is_reply_lost(fake)) {
        AqJobs_Started(jobs, fake->now_ms, order->task, true, false);
    }
}

static void
execute_order(void *context, const AqTaskOrder *order)
{
    OrderContext *c = context;
    FakeTask *task = g_hash_table_lookup(c->fake->tasks, order->task);
    bool is_active = task != NULL && strcmp(task->state, "running") == 0;
    switch (order->action) {
    case AQ_TASK_START:
        start_task(c->fake, c->jobs, order);
        break;
    case AQ_TASK_RENEW:
        if (is_active) {
            task->lease_until_ms = c->fake->now_ms + 10000;
        }
        break;
    case AQ_TASK_CHECKPOINT:
        if (is_active) {
            task->state = "checkpointed";
        }
        break;
    case AQ_TASK_STOP:
        if (is_active) {
            task->state = "stopped";
        }
        break;
    default:
        break;
    }
}

void
fake_advance(Fake *fake, int64_t ms)
{
    GHashTableIter iter;
    gpointer data;
    fake->now_ms += ms;
    g_hash_table_iter_init(&iter, fake->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        FakeTask *task = data;
        if (strcmp(task->state, "running") != 0) {
            continue;
        }
        if (task->finish_at_ms <= fake->now_ms &&
            task->finish_at_ms <= task->lease_until_ms) {
            task->state = "finished";
        }
        else if (task->lease_until_ms < fake->now_ms) {
            task->state = "lapsed";
        }
    }
}

static void
report_all(Fake *fake, AqJobs *jobs)
{
    GHashTableIter iter;
    gpointer data;
    g_hash_table_iter_init(&iter, fake->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &data)) {
        const FakeTask *task = data;
        AqTaskReport report = {
            .id = task->id,
            .worker = task->worker,
            .state = task->state,
            .started = task->started,
            .cores_used_milli = task->cores_used_milli,
            .memory_used_mb = 64,
        };
        AqJobs_Report(jobs, fake->now_ms, &report);
    }
}

void
fake_round(Fake *fake, AqJobs *jobs)
{
    OrderContext context = {fake, jobs};
    fake_load(fake, jobs);
    report_all(fake, jobs);
    AqJobs_Step(jobs, fake->fleet, fake->now_ms, execute_order, &context);
    fake_store(fake, jobs);
}

int
fake_count(AqJobs *jobs, const char *state)
{
    json_t *all = AqJobs_Describe(jobs);
    json_t *job;
    size_t i;
    int count = 0;
    json_array_foreach(all, i, job)
    {
        const char *found = json_string_value(json_object_get(job, "state"));
        count += found != NULL && strcmp(found, state) == 0;
    }
    json_decref(all);
    return count;
}
