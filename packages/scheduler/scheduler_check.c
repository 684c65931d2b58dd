/* Checks that the counts of a scheduler agree with its tasks. */

#include "scheduler_internal.h"

static bool
check_task(const Task *task, AqError *error)
{
    const char *id = task->step->occurrence->job->spec.id;
    bool is_on_vm = task->state == TASK_STARTING ||
                    task->state == TASK_RUNNING ||
                    task->state == TASK_STOPPING;
    if (is_on_vm != (task->vm != NULL) ||
        is_on_vm != AqList_IsLinked(&task->link)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "task %u of job %s is in state %d, on a VM: %d",
                           task->index, id, task->state, task->vm != NULL);
    }
    return true;
}

static bool
check_step(const Step *step, AqError *error)
{
    uint32_t ready = 0;
    uint32_t done = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        ready += step->tasks[i].state == TASK_READY;
        done += step->tasks[i].state == TASK_DONE;
        if (!check_task(&step->tasks[i], error)) {
            return false;
        }
    }
    if (ready != step->ready || done != step->done) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "step %u of job %s counts %u ready and %u done, "
                           "not %u and %u",
                           step->number, step->occurrence->job->spec.id,
                           step->ready, step->done, ready, done);
    }
    return true;
}

static bool
check_vm(const Vm *vm, AqError *error)
{
    int64_t cpu = 0;
    int64_t reserved = 0;
    size_t count = 0;
    size_t suspects = 0;
    AqList_ForEach(at, &vm->tasks)
    {
        const Task *task = AqList_Entry(at, Task, link);
        cpu += task->step->spec->is_filler ? 0 : task->step->spec->cpu_millis;
        count++;
        suspects += task->counts_as_suspect;
    }
    if (suspects != vm->suspect_count) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "VM %s counts %zu suspects, not %zu", vm->report.id,
                           vm->suspect_count, suspects);
    }
    AqList_ForEach(at, &vm->reservations)
    {
        const Task *task = AqList_Entry(at, Task, reservation_link);
        reserved +=
            task->step->spec->is_filler ? 0 : task->step->spec->cpu_millis;
        if (task->reserved_vm != vm ||
            (task->state != TASK_STOPPING && task->state != TASK_READY)) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "VM %s holds room for task %u, which is in "
                               "state %d",
                               vm->report.id, task->index, task->state);
        }
    }
    if (reserved != vm->reserved_cpu) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "VM %s holds %lld thousandths of a core, not %lld",
                           vm->report.id, (long long)vm->reserved_cpu,
                           (long long)reserved);
    }
    if (cpu != vm->used_cpu || count != vm->task_count) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "VM %s counts %zu tasks, not %zu", vm->report.id,
                           vm->task_count, count);
    }
    return true;
}

/* Sums up what the workspace's tasks on VMs use. */
static AqResources
sum_workspace(const AqScheduler *s, const Workspace *workspace, size_t *count)
{
    AqResources sum = {0};
    *count = 0;
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        AqList_ForEach(each, &vm->tasks)
        {
            const Task *task = AqList_Entry(each, Task, link);
            const AqStepSpec *spec = task->step->spec;
            if (task->step->occurrence->job->workspace == workspace) {
                sum.cpu_millis += spec->is_filler ? 0 : spec->cpu_millis;
                sum.memory_mb += spec->memory_mb;
                sum.gpus += spec->gpus;
                (*count)++;
            }
        }
    }
    return sum;
}

static bool
check_workspaces(const AqScheduler *s, AqError *error)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->workspaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Workspace *workspace = value;
        size_t count;
        AqResources sum = sum_workspace(s, workspace, &count);
        if (sum.cpu_millis != workspace->used.cpu_millis ||
            sum.memory_mb != workspace->used.memory_mb ||
            sum.gpus != workspace->used.gpus ||
            count != workspace->task_count) {
            return AqError_Set(
                error, AQ_ERR_INVALID,
                "workspace %s counts %zu tasks with %lld thousandths of a "
                "core, not %zu with %lld",
                workspace->name, workspace->task_count,
                (long long)workspace->used.cpu_millis, count,
                (long long)sum.cpu_millis);
        }
    }
    return true;
}

bool
AqScheduler_CheckConsistency(const AqScheduler *s, AqError *error)
{
    AqList_ForEach(at, &s->active)
    {
        const Job *job = AqList_Entry(at, Job, link);
        AqList_ForEach(each, &job->occurrences)
        {
            const Occurrence *occurrence =
                AqList_Entry(each, Occurrence, link);
            for (size_t i = 0; i < job->spec.step_count; i++) {
                if (!check_step(&occurrence->steps[i], error)) {
                    return false;
                }
            }
        }
    }
    AqList_ForEach(at, &s->vms)
    {
        if (!check_vm(AqList_Entry(at, Vm, link), error)) {
            return false;
        }
    }
    return check_workspaces(s, error);
}
