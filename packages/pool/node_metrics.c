#include "node_metrics.h"

#include <string.h>

enum {
    /* Workspaces of a pool with labels of their own, so that their number is
     * bounded; the others are summed up as "other". */
    MAX_LABELLED_WORKSPACES = 50
};

void
node_metrics_create(NodeMetrics *metrics)
{
    AqMetrics *all = AqMetrics_Create();
    metrics->all = all;
    metrics->accept_ms = AqMetrics_Histogram(all, "aq_accept_ms", "");
    metrics->state_ms = AqMetrics_Histogram(all, "aq_state_ms", "");
    metrics->start_ms = AqMetrics_Histogram(all, "aq_start_order_ms", "");
    metrics->save_ms = AqMetrics_Histogram(all, "aq_save_ms", "");
    metrics->takeover_ms = AqMetrics_Histogram(all, "aq_takeover_ms", "");
    metrics->stored =
        AqMetrics_Counter(all, "aq_requests_total", "outcome=\"stored\"");
    metrics->refused =
        AqMetrics_Counter(all, "aq_requests_total", "outcome=\"refused\"");
    metrics->refused_load = AqMetrics_Counter(all, "aq_requests_total",
                                              "outcome=\"refused_load\"");
    metrics->unknown =
        AqMetrics_Counter(all, "aq_requests_total", "outcome=\"unknown\"");
    metrics->keys_refused =
        AqMetrics_Counter(all, "aq_keys_refused_total", "");
    metrics->orders_failed =
        AqMetrics_Counter(all, "aq_orders_unanswered_total", "");
    metrics->pools_gained =
        AqMetrics_Counter(all, "aq_pools_gained_total", "");
    metrics->pools_lost = AqMetrics_Counter(all, "aq_pools_lost_total", "");
}

/* The workspaces that wait longest; the others have no labels, so that a pool
 * has few of them however many workspaces there are. */
static void
write_shares(const char *pool, AqScheduler *s, AqTime now, AqBuffer *out)
{
    enum {
        MAX_WORKSPACES = 20
    };
    AqWorkspaceShare shares[MAX_WORKSPACES];
    size_t count = AqScheduler_GetShares(s, now, shares, MAX_WORKSPACES);
    for (size_t i = 0; i < count; i++) {
        AqBuffer_Printf(
            out, "aq_workspace_share{pool=\"%s\",workspace=\"%s\"} %.4f\n",
            pool, shares[i].name, shares[i].share);
        AqBuffer_Printf(
            out, "aq_workspace_wait_ms{pool=\"%s\",workspace=\"%s\"} %lld\n",
            pool, shares[i].name, (long long)shares[i].longest_wait_ms);
        AqBuffer_Printf(
            out,
            "aq_workspace_ready_tasks{pool=\"%s\",workspace=\"%s\"} %zu\n",
            pool, shares[i].name, shares[i].ready_tasks);
    }
}

static void
write_places(const char *pool, const AqSchedulerCounters *counters,
             AqBuffer *out)
{
    const struct {
        const char *place;
        const char *wait;
        uint64_t count;
    } rows[] = {{"near", "none", counters->near_starts},
                {"far", "none", counters->far_starts},
                {"near", "ended", counters->near_after_wait},
                {"far", "ended", counters->far_after_wait}};
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        AqBuffer_Printf(
            out,
            "aq_placed_starts_total{pool=\"%s\",place=\"%s\",wait=\"%s\"} "
            "%llu\n",
            pool, rows[i].place, rows[i].wait,
            (unsigned long long)rows[i].count);
    }
}

void
node_metrics_write_pool(const char *pool, AqScheduler *s, AqTime now,
                        AqBuffer *out)
{
    AqSchedulerLoad load;
    const AqSchedulerCounters *counters = AqScheduler_Counters(s);
    AqScheduler_GetLoad(s, now, &load);
    AqBuffer_Printf(out, "aq_pool_jobs{pool=\"%s\"} %zu\n", pool, load.jobs);
    AqBuffer_Printf(out, "aq_pool_ready_tasks{pool=\"%s\"} %zu\n", pool,
                    load.ready_tasks);
    AqBuffer_Printf(out, "aq_pool_wait_ms{pool=\"%s\"} %lld\n", pool,
                    (long long)load.longest_wait_ms);
    AqBuffer_Printf(out, "aq_pool_start_wait_ms{pool=\"%s\"} %lld\n", pool,
                    (long long)AqScheduler_StartWait(s));
    AqBuffer_Printf(out, "aq_pool_used_cpu_millis{pool=\"%s\"} %lld\n", pool,
                    (long long)load.used_cpu_millis);
    AqBuffer_Printf(out, "aq_pool_room_cpu_millis{pool=\"%s\"} %lld\n", pool,
                    (long long)load.capacity_cpu_millis);
    AqBuffer_Printf(out, "aq_pool_settled{pool=\"%s\"} %d\n", pool,
                    load.is_recovered);
    AqBuffer_Printf(out, "aq_pool_jobs_ranked_total{pool=\"%s\"} %llu\n", pool,
                    (unsigned long long)counters->ranked);
    AqBuffer_Printf(out, "aq_runs_total{pool=\"%s\",end=\"done\"} %llu\n",
                    pool, (unsigned long long)counters->done);
    AqBuffer_Printf(out, "aq_runs_total{pool=\"%s\",end=\"failed\"} %llu\n",
                    pool, (unsigned long long)counters->failed);
    AqBuffer_Printf(out, "aq_runs_total{pool=\"%s\",end=\"lost\"} %llu\n",
                    pool, (unsigned long long)counters->lost);
    AqBuffer_Printf(out, "aq_runs_total{pool=\"%s\",end=\"stalled\"} %llu\n",
                    pool, (unsigned long long)counters->stalled);
    AqBuffer_Printf(out, "aq_runs_total{pool=\"%s\",end=\"crashed\"} %llu\n",
                    pool, (unsigned long long)counters->crashed_runs);
    write_places(pool, counters, out);
    AqBuffer_Printf(out, "aq_jobs_given_up_total{pool=\"%s\"} %llu\n", pool,
                    (unsigned long long)counters->given_up);
    write_shares(pool, s, now, out);
}

/* ---- Workspaces --------------------------------------------------------- */

static void
collect_view(void *context, const AqWorkspaceView *view)
{
    g_array_append_val((GArray *)context, *view);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(((const AqWorkspaceView *)a)->name,
                  ((const AqWorkspaceView *)b)->name);
}

static void
write_workspace(const char *pool, const AqWorkspaceView *view, AqBuffer *out)
{
    char labels[300];
    g_snprintf(labels, sizeof(labels), "{pool=\"%s\",workspace=\"%s\"}", pool,
               view->name);
    AqBuffer_Printf(out, "aq_workspace_jobs%s %zu\n", labels, view->jobs);
    AqBuffer_Printf(out, "aq_workspace_used_cpu_millis%s %lld\n", labels,
                    (long long)view->used.cpu_millis);
    if (view->cap.cpu_millis > 0) {
        AqBuffer_Printf(out, "aq_workspace_held_cpu_millis%s %lld\n", labels,
                        (long long)view->limit.cpu_millis);
    }
    AqBuffer_Printf(out, "aq_workspace_capped_tasks%s %zu\n", labels,
                    view->held_back_tasks);
    AqBuffer_Printf(out, "aq_workspace_capped_total%s %llu\n", labels,
                    (unsigned long long)view->capped_count);
}

void
node_metrics_write_workspaces(const char *pool, const AqScheduler *s,
                              AqBuffer *out)
{
    GArray *views = g_array_new(FALSE, FALSE, sizeof(AqWorkspaceView));
    AqWorkspaceView others = {.name = "other"};
    AqScheduler_EachWorkspace(s, collect_view, views);
    g_array_sort(views, compare_names);
    for (guint i = 0; i < views->len; i++) {
        const AqWorkspaceView *view =
            &g_array_index(views, AqWorkspaceView, i);
        if (i < MAX_LABELLED_WORKSPACES) {
            write_workspace(pool, view, out);
            continue;
        }
        others.jobs += view->jobs;
        others.used.cpu_millis += view->used.cpu_millis;
        others.held_back_tasks += view->held_back_tasks;
        others.capped_count += view->capped_count;
    }
    if (views->len > MAX_LABELLED_WORKSPACES) {
        write_workspace(pool, &others, out);
    }
    g_array_free(views, TRUE);
}
