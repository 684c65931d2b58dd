#include "jobs_runner.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_jobs.h"
#include "aq_json.h"
#include "aq_log.h"
#include "operators.h"
#include "planner_runner.h"
#include "task_client.h"

enum {
    STEP_PERIOD_MS = 250,
    /* Period of the reads of all job documents from the store while this
     * daemon is the planner. */
    LIST_PERIOD_MS = 1000,
    /* Longest time to store an operator's intent (requested change) or to read
     * the jobs for a listing; the operator gets an error response after
     * that. */
    INTENT_TIMEOUT_MS = 5000
};

typedef struct {
    AqLink link;
    /* Operator's intent to store; NULL for a request to list all jobs. */
    json_t *intent;
    AqExchange *exchange;
    AqTime deadline;
    /* Whether a write to the store that may contain the intent got no reply.
     */
    bool maybe_written;
} PendingExchange;

struct JobsRunner {
    Daemon *daemon;
    AqJobs *jobs;
    TaskClient *client;
    AqTimer timer;
    /* List of the operators' HTTP requests whose intents are not stored yet
     * (PendingExchange). */
    AqLink intents;
    /* List of the operators' HTTP requests for all jobs (PendingExchange) that
     * have no response yet. */
    AqLink listings;
    /* A read or write of job documents is in progress. */
    bool is_calling_store;
    /* Time of the last read of all job documents from the store. */
    AqTime listed_at;
    /* Name of the team whose job document is being written to the store. */
    char writing_team[AQ_WIRE_MAX_NAME];
};

static void start_store_call(JobsRunner *runner);

/* ---- Responses ---------------------------------------------------------- */

static void
free_pending(PendingExchange *pending)
{
    AqList_Remove(&pending->link);
    json_decref(pending->intent);
    free(pending);
}

static void
respond_stored(PendingExchange *pending)
{
    Operators_Respond(
        pending->exchange, 200,
        json_pack("{s:s,s:i}", "outcome", "accepted", "version", 0));
    free_pending(pending);
}

static void
respond_error(PendingExchange *pending, const AqError *error)
{
    bool invalid = error->kind == AQ_ERR_INVALID;
    Operators_RespondRefused(pending->exchange, invalid ? 400 : 409,
                             invalid ? "invalid" : "refused", error->message);
    free_pending(pending);
}

static void
respond_timeout(PendingExchange *pending)
{
    if (pending->maybe_written) {
        Operators_RespondRefused(pending->exchange, 504, "unknown",
                                 "the store's reply was lost; send the same "
                                 "op again to learn whether it was stored");
    }
    else {
        Operators_RespondRefused(pending->exchange, 503, "unavailable",
                                 "the store cannot be reached and nothing was "
                                 "stored; try again later");
    }
    free_pending(pending);
}

static void
expire(AqLink *waiting, AqTime now)
{
    AqList_ForEachSafe(at, after, waiting)
    {
        PendingExchange *pending = AqList_Entry(at, PendingExchange, link);
        if (pending->deadline <= now) {
            respond_timeout(pending);
        }
    }
}

/* ---- Store -------------------------------------------------------------- */

static void
load_items(JobsRunner *runner, const AqStoreReply *reply)
{
    for (size_t i = 0; i < reply->count; i++) {
        const AqStoreItem *item = &reply->items[i];
        AqError error;
        const char *team = item->key + strlen(AQ_JOBS_PREFIX);
        if (strncmp(item->key, AQ_JOBS_PREFIX, strlen(AQ_JOBS_PREFIX)) == 0 &&
            !AqJobs_Load(runner->jobs, team, item->value, item->size,
                         item->index, &error)) {
            AqLog_Event(AQ_LOG_ERROR, "jobs_document_bad", "error=%s",
                        AqLog_Quote(error.message));
        }
    }
}

static void
on_read_back(void *context, const AqStoreReply *reply)
{
    JobsRunner *runner = context;
    load_items(runner, reply);
    runner->is_calling_store = false;
    if (reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT) {
        start_store_call(runner);
    }
}

/* Reads a team's job document from the store again after each write: after a
 * success to get the new store revision, after a conflict or a lost reply to
 * get the content. */
static void
on_written(void *context, const AqStoreReply *reply)
{
    JobsRunner *runner = context;
    AqStore *store = runner->daemon->store;
    char key[sizeof(AQ_JOBS_PREFIX) + AQ_WIRE_MAX_NAME];
    if (reply->status == AQ_STORE_UNKNOWN) {
        AqList_ForEach(at, &runner->intents)
        {
            AqList_Entry(at, PendingExchange, link)->maybe_written = true;
        }
    }
    AqJobs_Rollback(runner->jobs, runner->writing_team);
    snprintf(key, sizeof(key), "%s%s", AQ_JOBS_PREFIX, runner->writing_team);
    store->ops->get(store, key, on_read_back, runner);
}

static void
write_team(JobsRunner *runner, const char *team)
{
    AqStore *store = runner->daemon->store;
    uint64_t index;
    char key[sizeof(AQ_JOBS_PREFIX) + AQ_WIRE_MAX_NAME];
    char *text = AqJobs_Encode(runner->jobs, team, &index);
    runner->is_calling_store = true;
    g_strlcpy(runner->writing_team, team, sizeof(runner->writing_team));
    snprintf(key, sizeof(key), "%s%s", AQ_JOBS_PREFIX, runner->writing_team);
    store->ops->put(store, key, text, strlen(text), index, on_written, runner);
    free(text);
}

static void
respond_listings(JobsRunner *runner, bool ok)
{
    AqLink *link;
    while ((link = AqList_PopFirst(&runner->listings)) != NULL) {
        PendingExchange *pending = AqList_Entry(link, PendingExchange, link);
        if (ok) {
            Operators_Respond(pending->exchange, 200,
                              AqJobs_Describe(runner->jobs));
        }
        else {
            Operators_RespondRefused(pending->exchange, 503, "unavailable",
                                     "the store cannot be reached; try again "
                                     "later");
        }
        free(pending);
    }
}

static void evaluate_intents(JobsRunner *runner);

static void
on_listed(void *context, const AqStoreReply *reply)
{
    JobsRunner *runner = context;
    bool ok = reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT;
    runner->is_calling_store = false;
    if (ok) {
        load_items(runner, reply);
        runner->listed_at = AqLoop_Now(runner->daemon->loop);
    }
    respond_listings(runner, ok);
    if (ok) {
        evaluate_intents(runner);
        start_store_call(runner);
    }
}

static void
list_all(JobsRunner *runner)
{
    AqStore *store = runner->daemon->store;
    runner->is_calling_store = true;
    store->ops->list(store, AQ_JOBS_PREFIX, on_listed, runner);
}

/* ---- Intents ------------------------------------------------------------ */

/* Evaluates all waiting intents of operators on the job documents that were
 * just read from the store.  An intent that changes nothing has been stored
 * already, and its operator gets the response; the other intents wait until
 * their write has been read back. */
static void
evaluate_intents(JobsRunner *runner)
{
    AqList_ForEachSafe(at, after, &runner->intents)
    {
        PendingExchange *pending = AqList_Entry(at, PendingExchange, link);
        AqError error;
        bool was_dirty = AqJobs_NextDirty(runner->jobs) != NULL;
        if (!AqJobs_Evaluate(runner->jobs, Daemon_Fleet(runner->daemon),
                             pending->intent, AqClock_ReadWall(), &error)) {
            respond_error(pending, &error);
        }
        else if (!was_dirty && AqJobs_NextDirty(runner->jobs) == NULL) {
            respond_stored(pending);
        }
    }
}

static PendingExchange *
create_pending(JobsRunner *runner, AqExchange *exchange)
{
    PendingExchange *pending = calloc(1, sizeof(*pending));
    AqList_Init(&pending->link);
    pending->exchange = exchange;
    pending->deadline = AqLoop_Now(runner->daemon->loop) + INTENT_TIMEOUT_MS;
    /* The response is sent from the timer, because it must not be sent while
     * the HTTP server still calls the request handler. */
    AqTimer_Start(runner->daemon->loop, &runner->timer,
                  AqLoop_Now(runner->daemon->loop));
    return pending;
}

void
JobsRunner_Submit(JobsRunner *runner, json_t *intent, AqExchange *exchange)
{
    PendingExchange *pending = create_pending(runner, exchange);
    pending->intent = json_incref(intent);
    AqList_Append(&runner->intents, &pending->link);
}

void
JobsRunner_List(JobsRunner *runner, AqExchange *exchange)
{
    PendingExchange *pending = create_pending(runner, exchange);
    AqList_Append(&runner->listings, &pending->link);
}

/* ---- Planning ----------------------------------------------------------- */

static void
on_order(void *context, const AqTaskOrder *order)
{
    JobsRunner *runner = context;
    TaskClient_Send(runner->client, order);
}

static void
plan(JobsRunner *runner)
{
    TaskClient_Report(runner->client);
    AqJobs_Step(runner->jobs, Daemon_Fleet(runner->daemon), AqClock_ReadWall(),
                on_order, runner);
}

/* Starts the next store call for job documents that is needed.  After a failed
 * read only the timer calls this function: a refused connection fails at once,
 * and calls without a pause reached 50,000 a second in a store outage. */
static void
start_store_call(JobsRunner *runner)
{
    AqTime now = AqLoop_Now(runner->daemon->loop);
    bool active = PlannerRunner_IsActive(runner->daemon->planner);
    if (runner->is_calling_store) {
        return;
    }
    const char *dirty = AqJobs_NextDirty(runner->jobs);
    if (dirty != NULL) {
        write_team(runner, dirty);
    }
    else if (!AqList_IsEmpty(&runner->intents) ||
             !AqList_IsEmpty(&runner->listings) ||
             (active && now - runner->listed_at >= LIST_PERIOD_MS)) {
        list_all(runner);
    }
}

static void
on_timer(void *context)
{
    JobsRunner *runner = context;
    AqTime now = AqLoop_Now(runner->daemon->loop);
    AqTimer_Start(runner->daemon->loop, &runner->timer, now + STEP_PERIOD_MS);
    /* A listing has no effect, so it ends at its deadline also while a store
     * call is in progress. */
    expire(&runner->listings, now);
    if (runner->is_calling_store) {
        return;
    }
    expire(&runner->intents, now);
    if (PlannerRunner_IsActive(runner->daemon->planner) &&
        now - runner->listed_at < 2 * LIST_PERIOD_MS) {
        plan(runner);
    }
    start_store_call(runner);
}

JobsRunner *
JobsRunner_Create(Daemon *daemon)
{
    JobsRunner *runner = calloc(1, sizeof(*runner));
    runner->daemon = daemon;
    runner->jobs = AqJobs_Create();
    runner->client = TaskClient_Create(daemon, runner->jobs);
    runner->listed_at = -LIST_PERIOD_MS;
    AqList_Init(&runner->intents);
    AqList_Init(&runner->listings);
    AqTimer_Init(&runner->timer, on_timer, runner);
    AqTimer_Start(daemon->loop, &runner->timer, AqLoop_Now(daemon->loop));
    return runner;
}

void
JobsRunner_Destroy(JobsRunner *runner)
{
    AqLink *link;
    if (runner == NULL) {
        return;
    }
    AqTimer_Stop(&runner->timer);
    while ((link = AqList_PopFirst(&runner->intents)) != NULL) {
        free_pending(AqList_Entry(link, PendingExchange, link));
    }
    while ((link = AqList_PopFirst(&runner->listings)) != NULL) {
        free_pending(AqList_Entry(link, PendingExchange, link));
    }
    TaskClient_Destroy(runner->client);
    AqJobs_Destroy(runner->jobs);
    free(runner);
}
