#include <string.h>

#include "aq_log.h"
#include "scheduler_internal.h"

/* Caps of workspaces: whether a workspace may start more tasks within the part
 * of its cap that the pool holds, and what its tasks need. */

enum {
    /* Shortest time between two lines about the cap of one workspace. */
    CAPPED_LOG_MS = 2000
};

/* ---- Use ---------------------------------------------------------------- */

void
workspace_caps_add_foreign(Vm *vm, const char *workspace,
                           const AqStepSpec *spec)
{
    if (workspace == NULL) {
        return;
    }
    ForeignUse use = {g_intern_string(workspace),
                      {.cpu_millis = spec->is_filler ? 0 : spec->cpu_millis,
                       .memory_mb = spec->memory_mb,
                       .gpus = spec->gpus}};
    g_array_append_val(vm->foreign_uses, use);
}

static void
each_workspace(AqScheduler *s, void (*visit)(Workspace *workspace))
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        visit(value);
    }
}

static void
clear_foreign(Workspace *workspace)
{
    memset(&workspace->foreign, 0, sizeof(workspace->foreign));
}

static void
add_amounts(AqResources *sum, const AqResources *amounts)
{
    sum->cpu_millis += amounts->cpu_millis;
    sum->memory_mb += amounts->memory_mb;
    sum->gpus += amounts->gpus;
}

/* Counts the runs that are not the current run of any task.  On a VM that has
 * ended, or whose lease has expired, nothing runs. */
static void
count_foreign(AqScheduler *s)
{
    each_workspace(s, clear_foreign);
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        bool is_dead = vm->has_ended || vm->lapsed_at != AQ_TIME_NEVER;
        for (guint i = 0; i < vm->foreign_uses->len && !is_dead; i++) {
            const ForeignUse *use =
                &g_array_index(vm->foreign_uses, ForeignUse, i);
            Workspace *workspace =
                g_hash_table_lookup(s->workspaces, use->workspace);
            if (workspace != NULL) {
                add_amounts(&workspace->foreign, &use->amounts);
            }
        }
    }
}

/* ---- Placement ---------------------------------------------------------- */

static void
clear_held_back(Workspace *workspace)
{
    if (workspace->held_back_tasks == 0) {
        workspace->waiting_since = 0;
    }
    workspace->held_back_tasks = 0;
    memset(&workspace->held_back, 0, sizeof(workspace->held_back));
    memset(&workspace->unit, 0, sizeof(workspace->unit));
}

void
workspace_caps_begin(AqScheduler *s)
{
    each_workspace(s, clear_held_back);
    count_foreign(s);
}

static AqResources
need_of(const AqStepSpec *spec, uint32_t count)
{
    return (AqResources){.cpu_millis =
                             spec->is_filler ? 0 : count * spec->cpu_millis,
                         .memory_mb = count * spec->memory_mb,
                         .gpus = count * spec->gpus};
}

bool
workspace_caps_has_room(const Step *step, uint32_t count)
{
    const Workspace *workspace = step->occurrence->job->workspace;
    if (workspace == NULL) {
        return true;
    }
    AqResources need = need_of(step->spec, count);
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t amount = AqResources_Get(&need, kind);
        int64_t used = AqResources_Get(&workspace->used, kind) +
                       AqResources_Get(&workspace->foreign, kind);
        if (AqResources_Get(&workspace->cap, kind) > 0 && amount > 0 &&
            used + amount > AqResources_Get(&workspace->limit, kind)) {
            return false;
        }
    }
    return true;
}

static void
log_capped(const AqScheduler *s, Workspace *workspace, const Step *step)
{
    if (s->now < workspace->capped_log_due) {
        return;
    }
    workspace->capped_log_due = s->now + CAPPED_LOG_MS;
    AqLog_Event(
        AQ_LOG_INFO, "workspace_capped",
        "request=%s workspace=%s pool=%s tasks=%zu "
        "used_cpu=%lld held_cpu=%lld cap_cpu=%lld "
        "used_memory_mb=%lld held_memory_mb=%lld cap_memory_mb=%lld "
        "used_gpus=%lld held_gpus=%lld cap_gpus=%lld",
        step->occurrence->job->spec.id, workspace->name, s->config.pool,
        workspace->held_back_tasks, (long long)workspace->used.cpu_millis,
        (long long)workspace->limit.cpu_millis,
        (long long)workspace->cap.cpu_millis,
        (long long)workspace->used.memory_mb,
        (long long)workspace->limit.memory_mb,
        (long long)workspace->cap.memory_mb, (long long)workspace->used.gpus,
        (long long)workspace->limit.gpus, (long long)workspace->cap.gpus);
}

bool
workspace_caps_allow(AqScheduler *s, const Step *step, uint32_t count)
{
    if (workspace_caps_has_room(step, count)) {
        return true;
    }
    Workspace *workspace = step->occurrence->job->workspace;
    AqResources need = need_of(step->spec, step->ready);
    if (workspace->held_back_tasks == 0) {
        workspace->unit = need_of(step->spec, count);
    }
    if (workspace->waiting_since == 0) {
        workspace->waiting_since = s->wall;
        workspace->capped_count++;
    }
    workspace->held_back_tasks += step->ready;
    add_amounts(&workspace->held_back, &need);
    log_capped(s, workspace, step);
    return false;
}

void
workspace_caps_note_start(const Task *task)
{
    Workspace *workspace = task->step->occurrence->job->workspace;
    if (workspace != NULL) {
        workspace->waiting_since = 0;
    }
}

/* ---- Interface ---------------------------------------------------------- */

static bool
has_cap(const Workspace *workspace)
{
    return workspace->cap.cpu_millis > 0 || workspace->cap.memory_mb > 0 ||
           workspace->cap.gpus > 0;
}

/* Sums up what the workspace's tasks of new jobs use on VMs. */
static AqResources
count_new(const AqScheduler *s, const Workspace *workspace)
{
    AqResources sum = {0};
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        AqList_ForEach(each, &vm->tasks)
        {
            const Task *task = AqList_Entry(each, Task, link);
            const Job *job = task->step->occurrence->job;
            if (job->workspace == workspace && job->is_new) {
                AqResources need = need_of(task->step->spec, 1);
                add_amounts(&sum, &need);
            }
        }
    }
    return sum;
}

/* Returns the most that runs of earlier owners can use that this one does not
 * know: what the VMs have that have not answered it. */
static AqResources
count_unknown(const AqScheduler *s)
{
    static const AqResources any = {INT64_MAX, INT64_MAX, INT64_MAX};
    AqResources sum = {0};
    if (!s->is_loaded) {
        return any;
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        if (!vms_is_awaited(s, vm)) {
            continue;
        }
        if (vm->report.cpu_millis == 0) {
            /* known only from the stored list of used VMs */
            return any;
        }
        sum.cpu_millis += vm->report.cpu_millis;
        sum.memory_mb += vm->report.memory_mb;
        sum.gpus += vm->report.gpus;
    }
    return sum;
}

void
AqScheduler_EachCapDemand(AqScheduler *s,
                          void (*visit)(void *context,
                                        const AqCapDemand *demand),
                          void *context)
{
    GHashTableIter iter;
    gpointer value;
    AqResources unknown = count_unknown(s);
    count_foreign(s);
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Workspace *workspace = value;
        if (!has_cap(workspace)) {
            continue;
        }
        AqCapDemand demand = {.workspace = workspace->name,
                              .cap = workspace->cap,
                              .used = workspace->used,
                              .unit = workspace->unit,
                              .since_ms = workspace->waiting_since};
        add_amounts(&demand.used, &workspace->foreign);
        if (!s->is_recovered) {
            demand.used_by_new = count_new(s, workspace);
            demand.unknown = unknown;
        }
        demand.want = demand.used;
        add_amounts(&demand.want, &workspace->held_back);
        visit(context, &demand);
    }
}

void
AqScheduler_SetCapLimit(AqScheduler *s, const char *workspace,
                        const AqResources *limit)
{
    Workspace *known = g_hash_table_lookup(s->workspaces, workspace);
    if (known == NULL) {
        return;
    }
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t amount = AqResources_Get(limit, kind);
        int64_t *old = AqResources_At(&known->limit, kind);
        s->placement_due =
            s->placement_due || (amount > *old && known->held_back_tasks > 0);
        *old = amount;
    }
}

void
AqScheduler_EachWorkspace(const AqScheduler *s,
                          void (*visit)(void *context,
                                        const AqWorkspaceView *view),
                          void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Workspace *workspace = value;
        AqWorkspaceView view = {.name = workspace->name,
                                .jobs = workspace->job_count,
                                .used = workspace->used,
                                .cap = workspace->cap,
                                .limit = workspace->limit,
                                .held_back_tasks = workspace->held_back_tasks,
                                .capped_count = workspace->capped_count};
        visit(context, &view);
    }
}

bool
AqScheduler_IsRecovered(const AqScheduler *s)
{
    return s->is_recovered;
}
