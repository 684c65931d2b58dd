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
    STEP_MS = 250,
    LIST_MS = 1000,        /* reads of all documents while planning */
    INTENT_LIMIT_MS = 5000 /* longest time to store an intent */
};

typedef struct {
    AqLink link;
    json_t *intent;
    AqExchange *exchange;
    AqTime deadline;
    bool maybe_written;
} Pending;

struct JobsRunner {
    Daemon *daemon;
    AqJobs *jobs;
    TaskClient *client;
    AqTimer timer;
    AqLink intents;
    AqLink listings; /* exchanges that wait for a list of all documents */
    bool busy;       /* a store call is under way */
    AqTime listed_at;
    char writing[AQ_WIRE_MAX_NAME]; /* team of the write under way */
};

static void run(JobsRunner *task);

/* ---- Answers -------------------------------------------------------------
 */

static void
free_pending(Pending *pending)
{
    AqList_Remove(&pending->link);
    json_decref(pending->intent);
    free(pending);
}

static void
answer_stored(Pending *pending)
{
    Operators_Respond(
        pending->exchange, 200,
        json_pack("{s:s,s:i}", "outcome", "accepted", "version", 0));
    free_pending(pending);
}

static void
answer_error(Pending *pending, const AqError *error)
{
    bool invalid = error->kind == AQ_ERR_INVALID;
    Operators_RespondRefused(pending->exchange, invalid ? 400 : 409,
                             invalid ? "invalid" : "refused", error->message);
    free_pending(pending);
}

static void
answer_late(Pending *pending)
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
expire(JobsRunner *task, AqTime now)
{
    AqList_ForEachSafe(at, after, &task->intents)
    {
        Pending *pending = AqList_Entry(at, Pending, link);
        if (pending->deadline <= now) {
            answer_late(pending);
        }
    }
}

/* ---- Store ---------------------------------------------------------------
 */

static void
load_items(JobsRunner *task, const AqStoreReply *reply)
{
    for (size_t i = 0; i < reply->count; i++) {
        const AqStoreItem *item = &reply->items[i];
        AqError error;
        const char *team = item->key + strlen(AQ_JOBS_PREFIX);
        if (strncmp(item->key, AQ_JOBS_PREFIX, strlen(AQ_JOBS_PREFIX)) == 0 &&
            !AqJobs_Load(task->jobs, team, item->value, item->size,
                         item->index, &error)) {
            AqLog_Event(AQ_LOG_ERROR, "jobs_document_bad", "error=%s",
                        AqLog_Quote(error.message));
        }
    }
}

static void
on_read_back(void *context, const AqStoreReply *reply)
{
    JobsRunner *task = context;
    load_items(task, reply);
    task->busy = false;
    if (reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT) {
        run(task);
    }
}

/* Whatever the write did, the document is read back: after a success for its
 * index, after a conflict or a lost reply for its content. */
static void
on_written(void *context, const AqStoreReply *reply)
{
    JobsRunner *task = context;
    AqStore *store = task->daemon->store;
    char key[sizeof(AQ_JOBS_PREFIX) + AQ_WIRE_MAX_NAME];
    if (reply->status == AQ_STORE_UNKNOWN) {
        AqList_ForEach(at, &task->intents)
        {
            AqList_Entry(at, Pending, link)->maybe_written = true;
        }
    }
    AqJobs_Rollback(task->jobs, task->writing);
    snprintf(key, sizeof(key), "%s%s", AQ_JOBS_PREFIX, task->writing);
    store->ops->get(store, key, on_read_back, task);
}

static void
write_team(JobsRunner *task, const char *team)
{
    AqStore *store = task->daemon->store;
    uint64_t index;
    char key[sizeof(AQ_JOBS_PREFIX) + AQ_WIRE_MAX_NAME];
    char *text = AqJobs_Encode(task->jobs, team, &index);
    task->busy = true;
    g_strlcpy(task->writing, team, sizeof(task->writing));
    snprintf(key, sizeof(key), "%s%s", AQ_JOBS_PREFIX, task->writing);
    store->ops->put(store, key, text, strlen(text), index, on_written, task);
    free(text);
}

static void
answer_listings(JobsRunner *task, bool ok)
{
    AqLink *link;
    while ((link = AqList_PopFirst(&task->listings)) != NULL) {
        Pending *pending = AqList_Entry(link, Pending, link);
        if (ok) {
            Operators_Respond(pending->exchange, 200,
                              AqJobs_Describe(task->jobs));
        }
        else {
            Operators_RespondRefused(pending->exchange, 503, "unavailable",
                                     "the store cannot be reached; try again "
                                     "later");
        }
        free(pending);
    }
}

static void take_intents(JobsRunner *task);

static void
on_listed(void *context, const AqStoreReply *reply)
{
    JobsRunner *task = context;
    bool ok = reply->status == AQ_STORE_OK || reply->status == AQ_STORE_ABSENT;
    task->busy = false;
    if (ok) {
        load_items(task, reply);
        task->listed_at = AqLoop_Now(task->daemon->loop);
    }
    answer_listings(task, ok);
    if (ok) {
        take_intents(task);
        run(task);
    }
}

static void
list_all(JobsRunner *task)
{
    AqStore *store = task->daemon->store;
    task->busy = true;
    store->ops->list(store, AQ_JOBS_PREFIX, on_listed, task);
}

/* ---- Intents -------------------------------------------------------------
 */

/* Evaluates all waiting intents on the documents just read.  One that changes
 * nothing has been applied; the others stay until their write is read back. */
static void
take_intents(JobsRunner *task)
{
    AqList_ForEachSafe(at, after, &task->intents)
    {
        Pending *pending = AqList_Entry(at, Pending, link);
        AqError error;
        bool was_dirty = AqJobs_NextDirty(task->jobs) != NULL;
        if (!AqJobs_Evaluate(task->jobs, Daemon_Fleet(task->daemon),
                             pending->intent, AqClock_ReadWall(), &error)) {
            answer_error(pending, &error);
        }
        else if (!was_dirty && AqJobs_NextDirty(task->jobs) == NULL) {
            answer_stored(pending);
        }
    }
}

static Pending *
create_pending(JobsRunner *task, AqExchange *exchange)
{
    Pending *pending = calloc(1, sizeof(*pending));
    AqList_Init(&pending->link);
    pending->exchange = exchange;
    pending->deadline = AqLoop_Now(task->daemon->loop) + INTENT_LIMIT_MS;
    /* The answer must not be sent from inside the handler's caller. */
    AqTimer_Start(task->daemon->loop, &task->timer,
                  AqLoop_Now(task->daemon->loop));
    return pending;
}

void
JobsRunner_Submit(JobsRunner *task, json_t *intent, AqExchange *exchange)
{
    Pending *pending = create_pending(task, exchange);
    pending->intent = json_incref(intent);
    AqList_Append(&task->intents, &pending->link);
}

void
JobsRunner_List(JobsRunner *task, AqExchange *exchange)
{
    Pending *pending = create_pending(task, exchange);
    AqList_Append(&task->listings, &pending->link);
}

/* ---- Planning ------------------------------------------------------------
 */

static void
on_order(void *context, const AqTaskOrder *order)
{
    JobsRunner *task = context;
    TaskClient_Send(task->client, order);
}

static void
plan(JobsRunner *task)
{
    TaskClient_Report(task->client);
    AqJobs_Step(task->jobs, Daemon_Fleet(task->daemon), AqClock_ReadWall(),
                on_order, task);
}

/* Starts the next store call that is needed.  After a failed read only the
 * timer calls this: a refused connection fails at once, and calls in a row
 * were seen to reach 50,000 a second in a store outage. */
static void
run(JobsRunner *task)
{
    AqTime now = AqLoop_Now(task->daemon->loop);
    bool active = PlannerRunner_IsActive(task->daemon->planner);
    if (task->busy) {
        return;
    }
    const char *dirty = AqJobs_NextDirty(task->jobs);
    if (dirty != NULL) {
        write_team(task, dirty);
    }
    else if (!AqList_IsEmpty(&task->intents) ||
             !AqList_IsEmpty(&task->listings) ||
             (active && now - task->listed_at >= LIST_MS)) {
        list_all(task);
    }
}

static void
on_timer(void *context)
{
    JobsRunner *task = context;
    AqTime now = AqLoop_Now(task->daemon->loop);
    AqTimer_Start(task->daemon->loop, &task->timer, now + STEP_MS);
    if (task->busy) {
        return;
    }
    expire(task, now);
    if (PlannerRunner_IsActive(task->daemon->planner) &&
        now - task->listed_at < 2 * LIST_MS) {
        plan(task);
    }
    run(task);
}

JobsRunner *
JobsRunner_Create(Daemon *daemon)
{
    JobsRunner *task = calloc(1, sizeof(*task));
    task->daemon = daemon;
    task->jobs = AqJobs_Create();
    task->client = TaskClient_Create(daemon, task->jobs);
    task->listed_at = -LIST_MS;
    AqList_Init(&task->intents);
    AqList_Init(&task->listings);
    AqTimer_Init(&task->timer, on_timer, task);
    AqTimer_Start(daemon->loop, &task->timer, AqLoop_Now(daemon->loop));
    return task;
}

void
JobsRunner_Destroy(JobsRunner *task)
{
    AqLink *link;
    if (task == NULL) {
        return;
    }
    AqTimer_Stop(&task->timer);
    while ((link = AqList_PopFirst(&task->intents)) != NULL) {
        free_pending(AqList_Entry(link, Pending, link));
    }
    while ((link = AqList_PopFirst(&task->listings)) != NULL) {
        free_pending(AqList_Entry(link, Pending, link));
    }
    TaskClient_Destroy(task->client);
    AqJobs_Destroy(task->jobs);
    free(task);
}
