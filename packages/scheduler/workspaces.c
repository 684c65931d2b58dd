#include <stdlib.h>
#include <string.h>

#include "scheduler_internal.h"

/* Workspaces with jobs in the pool, and what their tasks use there. */

void
workspaces_free(gpointer pointer)
{
    Workspace *workspace = pointer;
    free(workspace->name);
    free(workspace);
}

static Workspace *
find_or_add(AqScheduler *s, const char *name)
{
    Workspace *workspace = g_hash_table_lookup(s->workspaces, name);
    if (workspace == NULL) {
        workspace = calloc(1, sizeof(*workspace));
        workspace->name = strdup(name);
        g_hash_table_insert(s->workspaces, workspace->name, workspace);
    }
    return workspace;
}

static void
remove_if_unused(AqScheduler *s, const Workspace *workspace)
{
    if (!workspace->is_configured && workspace->job_count == 0) {
        g_hash_table_remove(s->workspaces, workspace->name);
    }
}

void
workspaces_set_site(AqScheduler *s)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Workspace *workspace = value;
        workspace->is_configured = false;
        workspace->weight = 0;
        memset(&workspace->cap, 0, sizeof(workspace->cap));
    }
    for (size_t i = 0; i < s->site->workspace_count; i++) {
        const AqWorkspaceConfig *config = &s->site->workspaces[i];
        Workspace *workspace = find_or_add(s, config->name);
        workspace->is_configured = true;
        workspace->weight = config->weight;
        workspace->cap = config->cap;
    }
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Workspace *workspace = value;
        if (!workspace->is_configured && workspace->job_count == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
workspaces_add_job(AqScheduler *s, Job *job)
{
    job->account = &s->without_workspace;
    if (job->spec.workspace != NULL) {
        job->workspace = find_or_add(s, job->spec.workspace);
        job->workspace->job_count++;
        job->account = job->workspace;
    }
}

void
workspaces_remove_job(AqScheduler *s, Job *job)
{
    if (job->workspace != NULL) {
        job->workspace->job_count--;
        remove_if_unused(s, job->workspace);
        job->workspace = NULL;
        job->account = &s->without_workspace;
    }
}

void
workspaces_count_task(const Task *task, int sign)
{
    const AqStepSpec *spec = task->step->spec;
    Workspace *workspace = task->step->occurrence->job->account;
    workspace->used.cpu_millis +=
        sign * (spec->is_filler ? 0 : spec->cpu_millis);
    workspace->used.memory_mb += sign * spec->memory_mb;
    workspace->used.gpus += sign * spec->gpus;
    workspace->task_count = (size_t)((int64_t)workspace->task_count + sign);
}
