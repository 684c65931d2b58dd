#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "fair_order.h"

/* What operators see of the shares of workspaces. */

typedef struct {
    Workspace *workspace; /* borrowed */
    AqTime wait_ms;
    size_t ready_tasks;
} Wait;

/* Adds the job's ready tasks; a task that may not start before a later time is
 * not waiting for room. */
static void
add_waits(const AqScheduler *s, const Job *job, Wait *wait)
{
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            const Step *step = &occurrence->steps[i];
            for (uint32_t j = 0; j < step->spec->task_count && step->ready > 0;
                 j++) {
                const Task *task = &step->tasks[j];
                if (task->state == TASK_READY && task->not_before <= s->now) {
                    wait->ready_tasks++;
                    wait->wait_ms =
                        MAX(wait->wait_ms, s->now - task->ready_at);
                }
            }
        }
    }
}

/* Returns a table from Workspace to a new Wait of the workspaces that are
 * configured or have tasks on VMs or ready ones. */
static GHashTable *
collect_waits(const AqScheduler *s)
{
    GHashTable *waits = g_hash_table_new_full(NULL, NULL, NULL, free);
    AqList_ForEach(at, &s->active)
    {
        const Job *job = AqList_Entry(at, Job, link);
        if (job->workspace == NULL) {
            continue;
        }
        Wait *wait = g_hash_table_lookup(waits, job->workspace);
        if (wait == NULL) {
            wait = calloc(1, sizeof(*wait));
            wait->workspace = job->workspace;
            g_hash_table_insert(waits, job->workspace, wait);
        }
        add_waits(s, job, wait);
    }
    return waits;
}

static int
compare_shares(const void *a, const void *b)
{
    const AqWorkspaceShare *first = a;
    const AqWorkspaceShare *second = b;
    if (first->longest_wait_ms != second->longest_wait_ms) {
        return first->longest_wait_ms > second->longest_wait_ms ? -1 : 1;
    }
    if (first->share != second->share) {
        return first->share > second->share ? -1 : 1;
    }
    return strcmp(first->name, second->name);
}

size_t
AqScheduler_GetShares(AqScheduler *s, AqTime now, AqWorkspaceShare *shares,
                      size_t most)
{
    GHashTableIter iter;
    gpointer value;
    s->now = now;
    AqResources total = fair_order_total(s);
    GHashTable *waits = collect_waits(s);
    GArray *all = g_array_new(FALSE, FALSE, sizeof(AqWorkspaceShare));
    g_hash_table_iter_init(&iter, waits);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Wait *wait = value;
        AqWorkspaceShare share = {
            .name = wait->workspace->name,
            .share = fair_order_dominant_share(&wait->workspace->used, &total),
            .weight = wait->workspace->weight,
            .ready_tasks = wait->ready_tasks,
            .longest_wait_ms = wait->wait_ms};
        g_array_append_val(all, share);
    }
    g_array_sort(all, compare_shares);
    size_t count = MIN(most, all->len);
    if (count > 0) {
        memcpy(shares, all->data, count * sizeof(*shares));
    }
    g_array_free(all, TRUE);
    g_hash_table_destroy(waits);
    return count;
}

void
workspace_waits_log(AqScheduler *s, uint64_t starts)
{
    enum {
        /* A job of some hundred ms that waits so long misses its objective. */
        LONG_WAIT_MS = 1000,
        LOOK_EVERY_MS = 1000,
        LOG_EVERY_MS = 5000
    };
    AqWorkspaceShare longest;
    if (starts == 0 || s->now < s->next_wait_log_at) {
        return;
    }
    s->next_wait_log_at = s->now + LOOK_EVERY_MS;
    if (AqScheduler_GetShares(s, s->now, &longest, 1) == 0 ||
        longest.longest_wait_ms < LONG_WAIT_MS) {
        return;
    }
    s->next_wait_log_at = s->now + LOG_EVERY_MS;
    AqLog_Event(AQ_LOG_INFO, "workspace_waits",
                "pool=%s workspace=%s wait_ms=%lld ready_tasks=%zu "
                "share_percent=%.1f weight=%g starts=%llu",
                s->config.pool, longest.name,
                (long long)longest.longest_wait_ms, longest.ready_tasks,
                100.0 * longest.share, longest.weight,
                (unsigned long long)starts);
}
