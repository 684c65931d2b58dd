#include "commits.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_random.h"
#include "fleet_sync.h"
#include "snapshots.h"

enum {
    /* Longest time from the submission of a change until the store has it; the
     * result is COMMIT_UNAVAILABLE or COMMIT_UNKNOWN after that. */
    COMMIT_TIMEOUT_MS = 5000,
    /* Longest wait for a majority of the epoch's members to report that a
     * stored change is in force; the result is COMMIT_STORED after that. */
    CONFIRM_TIMEOUT_MS = 2000,
    RETRY_MS = 200,
    /* Greatest number of changes evaluated for one write of the store entry
     * "head"; further changes wait for the next write. */
    BATCH_MAX_CHANGES = 64,
    /* Number of conflicts in a row, in writes of the store entry "head", that
     * are retried without a wait. */
    IMMEDIATE_RETRIES = 2,
    /* Upper bound of the random wait before a write of the store entry "head"
     * is retried after more conflicts in a row than IMMEDIATE_RETRIES. */
    CONFLICT_MAX_WAIT_MS = 20
};

typedef struct {
    AqLink link;
    char *op;
    /* Intent (requested change) from which the change is made; NULL for a
     * change submitted with Commits_Submit. */
    json_t *intent;
    CommitEvaluate evaluate;
    CommitDone done;
    void *context;
    /* End of the wait until the change is stored or, once it is stored, until
     * a majority of the epoch's members has reported it in force. */
    AqTime deadline;
    bool maybe_written; /* a store write of the change got no reply */
    int64_t version;    /* fleet document version that contains the change */
} Commit;

struct Commits {
    Daemon *daemon;
    /* List of the Commits (submitted changes) that are not stored and wait for
     * the next batch. */
    AqLink waiting;
    /* List of the Commits (submitted changes) that the current batch evaluates
     * and stores with one write of the store entry "head". */
    AqLink batch;
    /* List of the Commits (submitted changes) that are stored and that a
     * majority of the epoch's members has not yet reported in force. */
    AqLink confirming;
    /* A batch is in progress: the store entry "head" is being read, changes
     * are being evaluated, or "head" is being written. */
    bool is_batch_running;
    /* Store revision at which the entry "head" was last written, as returned
     * by the read of "head" with which the current batch (the changes that one
     * commit stores together) began. */
    uint64_t head_index;
    /* Fleet document version of the snapshot being written to the store. */
    int64_t snapshot_version;
    /* Fleet document version of the snapshot to remove after the next write of
     * the store entry "head"; 0: none. */
    int64_t old_snapshot_version;
    /* Fleet document with the changes in "batch" applied, to be written to the
     * store; NULL before the evaluation of a batch and after its end. */
    AqFleet *next;
    AqTimer timer;
    /* Number of times that writes of the store entry "head" by this daemon
     * have conflicted with writes by other daemons since this daemon last
     * wrote "head" successfully. */
    int conflicts_in_row;
    AqRandom random;
    AqMetric *writes;
    AqMetric *conflicts;
};

static void start_batch(Commits *commits);

static void
free_commit(Commit *commit)
{
    AqList_Remove(&commit->link);
    json_decref(commit->intent);
    free(commit->op);
    free(commit);
}

static void
finish(Commit *commit, CommitStatus status, const AqError *error)
{
    static const AqError none = {AQ_OK, ""};
    AqList_Remove(&commit->link);
    commit->done(commit->context, status, commit->version,
                 error != NULL ? error : &none);
    free_commit(commit);
}

/* ---- Timer -------------------------------------------------------------- */

static void
expire(Commits *commits, AqTime now)
{
    AqList_ForEachSafe(at, after, &commits->waiting)
    {
        Commit *commit = AqList_Entry(at, Commit, link);
        if (commit->deadline <= now) {
            finish(commit,
                   commit->maybe_written ? COMMIT_UNKNOWN : COMMIT_UNAVAILABLE,
                   NULL);
        }
    }
}

static void
set_timer(Commits *commits)
{
    AqTime due = AqLoop_Now(commits->daemon->loop) + RETRY_MS;
    bool waits = !AqList_IsEmpty(&commits->waiting) ||
                 !AqList_IsEmpty(&commits->confirming);
    if (waits && due < commits->timer.due) {
        AqTimer_Start(commits->daemon->loop, &commits->timer, due);
    }
}

static void
on_timer(void *context)
{
    Commits *commits = context;
    if (!commits->is_batch_running) {
        expire(commits, AqLoop_Now(commits->daemon->loop));
    }
    Commits_CheckConfirmed(commits);
    start_batch(commits);
    set_timer(commits);
}

Commits *
Commits_Create(Daemon *daemon)
{
    Commits *commits = calloc(1, sizeof(*commits));
    commits->daemon = daemon;
    AqList_Init(&commits->waiting);
    AqList_Init(&commits->batch);
    AqList_Init(&commits->confirming);
    AqTimer_Init(&commits->timer, on_timer, commits);
    AqRandom_Seed(&commits->random, daemon->instance);
    commits->writes =
        AqMetrics_Counter(daemon->metrics, "aq_commit_writes_total", "");
    commits->conflicts =
        AqMetrics_Counter(daemon->metrics, "aq_commit_conflicts_total", "");
    return commits;
}

static void
free_all(AqLink *list)
{
    AqLink *link;
    while ((link = AqList_PopFirst(list)) != NULL) {
        free_commit(AqList_Entry(link, Commit, link));
    }
}

void
Commits_Destroy(Commits *commits)
{
    if (commits == NULL) {
        return;
    }
    AqTimer_Stop(&commits->timer);
    free_all(&commits->waiting);
    free_all(&commits->batch);
    free_all(&commits->confirming);
    AqFleet_Destroy(commits->next);
    free(commits);
}

/* ---- One batch ---------------------------------------------------------- */

static void
move_all(AqLink *from, AqLink *to)
{
    AqLink *link;
    while ((link = AqList_PopFirst(from)) != NULL) {
        AqList_Append(to, link);
    }
}

/* Ends the current batch, the changes that one commit stores together, without
 * a result and puts these changes at the front of the list "waiting". */
static void
requeue_batch(Commits *commits)
{
    move_all(&commits->waiting, &commits->batch);
    move_all(&commits->batch, &commits->waiting);
    AqFleet_Destroy(commits->next);
    commits->next = NULL;
    commits->is_batch_running = false;
    set_timer(commits);
}

static void
await_confirmation(Commits *commits, Commit *commit, int64_t version)
{
    commit->version = version;
    commit->deadline = AqLoop_Now(commits->daemon->loop) + CONFIRM_TIMEOUT_MS;
    AqList_Remove(&commit->link);
    AqList_Append(&commits->confirming, &commit->link);
}

/* Starts the next batch of changes after a write conflict with another daemon.
 * After several conflicts in a row the batch starts after a random wait, so
 * that daemons that commit at the same time stop conflicting. */
static void
retry_after_conflict(Commits *commits)
{
    if (++commits->conflicts_in_row <= IMMEDIATE_RETRIES) {
        start_batch(commits);
        return;
    }
    AqTimer_Start(
        commits->daemon->loop, &commits->timer,
        AqLoop_Now(commits->daemon->loop) + 1 +
            (AqTime)AqRandom_Below(&commits->random, CONFLICT_MAX_WAIT_MS));
}

static void
on_written(void *context, const AqStoreReply *reply)
{
    Commits *commits = context;
    if (reply->status == AQ_STORE_OK) {
        AqFleet *next = commits->next;
        commits->next = NULL;
        AqList_ForEachSafe(at, after, &commits->batch)
        {
            Commit *commit = AqList_Entry(at, Commit, link);
            int64_t version = AqFleet_FindOp(next, commit->op);
            /* A change that added no record has no operation id in the fleet
             * document, so it waits for the reports of the newest version that
             * the batch stored. */
            await_confirmation(commits, commit,
                               version > 0 ? version : AqFleet_Version(next));
        }
        commits->is_batch_running = false;
        commits->conflicts_in_row = 0;
        /* The store entry "head" names the new snapshot now, not the old one.
         */
        if (commits->old_snapshot_version > 0) {
            Snapshots_Remove(commits->daemon, commits->old_snapshot_version);
            commits->old_snapshot_version = 0;
        }
        FleetSync_Install(commits->daemon->sync, next);
        Commits_CheckConfirmed(commits);
        start_batch(commits);
        return;
    }
    if (reply->status == AQ_STORE_CONFLICT) {
        AqMetric_Add(commits->conflicts, 1);
        requeue_batch(commits);
        retry_after_conflict(commits);
        return;
    }
    AqList_ForEach(at, &commits->batch)
    {
        Commit *commit = AqList_Entry(at, Commit, link);
        if (reply->status == AQ_STORE_UNKNOWN) {
            commit->maybe_written = true;
        }
    }
    requeue_batch(commits);
}

static void
write_head(Commits *commits)
{
    AqStore *store = commits->daemon->store;
    char *head = AqFleet_EncodeHead(commits->next);
    AqMetric_Add(commits->writes, 1);
    store->ops->put(store, AQ_FLEET_HEAD_KEY, head, strlen(head),
                    commits->head_index, on_written, commits);
    free(head);
}

/* Handles a change that adds no record because "version" of the fleet document
 * already has its effect.  If that version is stored, the change waits until a
 * majority reports the version in force, otherwise for the write of the batch
 * that creates the version. */
static void
await_existing_version(Commits *commits, Commit *commit, int64_t version)
{
    if (version <= AqFleet_Version(Daemon_Fleet(commits->daemon))) {
        await_confirmation(commits, commit, version);
        return;
    }
    AqList_Remove(&commit->link);
    AqList_Append(&commits->batch, &commit->link);
}

/* Evaluates one change on the fleet document with the earlier changes of the
 * batch (the changes that one commit stores together) applied.  The write of
 * the earlier changes may still fail, so a result that depends on them is not
 * reported before the store confirms the write. */
static void
evaluate(Commits *commits, Commit *commit)
{
    AqError error;
    int64_t version = AqFleet_FindOp(commits->next, commit->op);
    AqError_Clear(&error);
    if (version > 0) {
        await_existing_version(commits, commit, version);
        return;
    }
    json_t *set = json_array();
    bool ok = commit->evaluate(commit->context, commits->next,
                               AqClock_ReadWall(), set, &error);
    if (ok && json_array_size(set) > 0) {
        ok = AqFleet_Apply(commits->next, commit->op, set, &error);
        if (ok) {
            AqList_Remove(&commit->link);
            AqList_Append(&commits->batch, &commit->link);
        }
    }
    else if (ok) {
        await_existing_version(commits, commit,
                               AqFleet_Version(commits->next));
    }
    json_decref(set);
    /* The refusal is final only if the batch is empty, so that the refusal
     * depends on the stored document alone.  Otherwise the change is evaluated
     * again in the next batch. */
    if (!ok && AqList_IsEmpty(&commits->batch)) {
        finish(commit, COMMIT_REFUSED, &error);
    }
}

static void
evaluate_waiting(Commits *commits)
{
    int count = 0;
    AqList_ForEachSafe(at, after, &commits->waiting)
    {
        if (count++ == BATCH_MAX_CHANGES) {
            break;
        }
        evaluate(commits, AqList_Entry(at, Commit, link));
    }
}

static void
write_batch(Commits *commits)
{
    commits->next = AqFleet_Clone(Daemon_Fleet(commits->daemon));
    evaluate_waiting(commits);
    if (AqList_IsEmpty(&commits->batch)) {
        AqFleet_Destroy(commits->next);
        commits->next = NULL;
        commits->is_batch_running = false;
        Commits_CheckConfirmed(commits);
        set_timer(commits);
        return;
    }
    write_head(commits);
}

static void
on_snapshot_written(void *context, const AqStoreReply *reply)
{
    Commits *commits = context;
    /* A conflict means that another daemon has written the same snapshot. */
    if (reply->status != AQ_STORE_OK && reply->status != AQ_STORE_CONFLICT) {
        requeue_batch(commits);
        return;
    }
    AqFleet *fleet = Daemon_Fleet(commits->daemon);
    if (AqFleet_Version(fleet) != commits->snapshot_version) {
        /* FleetSync, which watches the store entry "head", has installed a
         * newer fleet document while the snapshot was written, so the changes
         * of the batch must be evaluated again. */
        requeue_batch(commits);
        return;
    }
    AqFleet_SnapshotWritten(fleet);
    write_batch(commits);
}

static void
on_refreshed(void *context, bool ok, uint64_t index)
{
    Commits *commits = context;
    AqFleet *fleet = Daemon_Fleet(commits->daemon);
    if (!ok) {
        requeue_batch(commits);
        return;
    }
    commits->head_index = index;
    commits->old_snapshot_version = 0;
    if (!AqFleet_NeedsSnapshot(fleet)) {
        write_batch(commits);
        return;
    }
    AqStore *store = commits->daemon->store;
    char key[SNAPSHOT_KEY_SIZE];
    char *text = AqFleet_EncodeSnapshot(fleet);
    commits->snapshot_version = AqFleet_Version(fleet);
    if (AqFleet_SnapshotVersion(fleet) != commits->snapshot_version) {
        commits->old_snapshot_version = AqFleet_SnapshotVersion(fleet);
    }
    Snapshots_Key(commits->snapshot_version, key);
    store->ops->put(store, key, text, strlen(text), 0, on_snapshot_written,
                    commits);
    free(text);
}

static void
start_batch(Commits *commits)
{
    if (commits->is_batch_running || AqList_IsEmpty(&commits->waiting)) {
        return;
    }
    commits->is_batch_running = true;
    FleetSync_Refresh(commits->daemon->sync, on_refreshed, commits);
}

/* ---- Interface ---------------------------------------------------------- */

static Commit *
queue(Commits *commits, const char *op, CommitEvaluate evaluate,
      CommitDone done, void *context)
{
    Commit *commit = calloc(1, sizeof(*commit));
    AqList_Init(&commit->link);
    commit->op = strdup(op);
    commit->evaluate = evaluate;
    commit->done = done;
    commit->context = context;
    commit->deadline = AqLoop_Now(commits->daemon->loop) + COMMIT_TIMEOUT_MS;
    AqList_Append(&commits->waiting, &commit->link);
    /* The timer starts the batch with this change, so that "done" is never
     * called from inside this function. */
    AqTimer_Start(commits->daemon->loop, &commits->timer,
                  AqLoop_Now(commits->daemon->loop));
    return commit;
}

void
Commits_Submit(Commits *commits, const char *op, CommitEvaluate evaluate,
               CommitDone done, void *context)
{
    queue(commits, op, evaluate, done, context);
}

typedef struct {
    const Daemon *daemon;
    json_t *intent;
    CommitDone done;
    void *context;
} IntentCommit;

static bool
evaluate_intent(void *context, const AqFleet *fleet, int64_t wall_ms,
                json_t *set, AqError *error)
{
    IntentCommit *state = context;
    return AqFleet_Evaluate(fleet, state->intent, wall_ms, set, error);
}

/* Evaluates the addition or removal of one member.  Members change one at a
 * time, based on the epoch in force, so that the majorities of successive
 * epochs intersect. */
static bool
evaluate_member(void *context, const AqFleet *fleet, int64_t wall_ms,
                json_t *set, AqError *error)
{
    IntentCommit *state = context;
    const AqMembership *membership = state->daemon->membership;
    AqTime now = AqLoop_Now(state->daemon->loop);
    if (AqFleet_Epoch(fleet) != AqMembership_Epoch(membership) ||
        !AqMembership_MayChangeMembers(membership, now)) {
        return AqError_Set(error, AQ_ERR_CONFLICT,
                           "the epoch has not been accepted by a majority "
                           "yet; retry later");
    }
    return AqFleet_Evaluate(fleet, state->intent, wall_ms, set, error);
}

static void
intent_done(void *context, CommitStatus status, int64_t version,
            const AqError *error)
{
    IntentCommit *state = context;
    state->done(state->context, status, version, error);
    free(state);
}

static void
submit_intent(Commits *commits, json_t *intent, CommitEvaluate evaluate,
              CommitDone done, void *context)
{
    IntentCommit *state = calloc(1, sizeof(*state));
    state->daemon = commits->daemon;
    state->intent = intent;
    state->done = done;
    state->context = context;
    const char *op = json_string_value(json_object_get(intent, "op"));
    Commit *commit =
        queue(commits, op != NULL ? op : "", evaluate, intent_done, state);
    commit->intent = json_incref(intent);
}

void
Commits_SubmitIntent(Commits *commits, json_t *intent, CommitDone done,
                     void *context)
{
    submit_intent(commits, intent, evaluate_intent, done, context);
}

void
Commits_SubmitMember(Commits *commits, json_t *intent, CommitDone done,
                     void *context)
{
    submit_intent(commits, intent, evaluate_member, done, context);
}

void
Commits_CheckConfirmed(Commits *commits)
{
    AqTime now = AqLoop_Now(commits->daemon->loop);
    const AqMembership *membership = commits->daemon->membership;
    AqList_ForEachSafe(at, after, &commits->confirming)
    {
        Commit *commit = AqList_Entry(at, Commit, link);
        if (AqMembership_IsAccepted(membership, now, commit->version)) {
            finish(commit, COMMIT_ACCEPTED, NULL);
        }
        else if (commit->deadline <= now) {
            finish(commit, COMMIT_STORED, NULL);
        }
    }
    set_timer(commits);
}
