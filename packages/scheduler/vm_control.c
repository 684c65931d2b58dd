#include "scheduler_internal.h"

/* What the pool's owner orders of VMs as a whole, and sees of them. */

void
AqScheduler_SetCordon(AqScheduler *s, const char *id, bool is_cordoned)
{
    Vm *vm = vms_find(s, id);
    if (vm != NULL && vm->is_cordoned != is_cordoned) {
        vm->is_cordoned = is_cordoned;
        vm->is_vacated = is_cordoned && vm->task_count == 0;
        s->placement_due = true;
    }
}

void
AqScheduler_StopTasks(AqScheduler *s, const char *id, AqTime now)
{
    const Vm *vm = vms_find(s, id);
    s->now = now;
    if (vm == NULL) {
        return;
    }
    AqList_ForEachSafe(at, after, &vm->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (!task->step->spec->is_perpetual) {
            replies_order_stop(s, task);
        }
    }
}

bool
AqScheduler_IsIdle(const AqScheduler *s, const char *id)
{
    const Vm *vm = vms_find(s, id);
    return vm == NULL ||
           (vm->task_count == 0 && vm->foreign_cpu == 0 &&
            vm->pending_ends->len == 0 && AqList_IsEmpty(&vm->reservations));
}

void
AqScheduler_EachVm(const AqScheduler *s,
                   void (*visit)(void *context, const AqScheduledVm *view),
                   void *context)
{
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        AqScheduledVm view = {
            .vm = vm->report.id,
            .machine = vm->report.machine,
            .born_ms = vm->born_ms,
            .is_usable = vms_is_usable(s, vm),
            .is_answering =
                vm->has_replied && vm->silent_since == AQ_TIME_NEVER,
            .silent_since = vms_silent_since(s, vm),
            .tasks = vm->task_count,
            .cpu_millis = vm->report.cpu_millis,
            .idle_since = vm->idle_since,
        };
        AqList_ForEach(each, &vm->tasks)
        {
            const Task *task = AqList_Entry(each, Task, link);
            view.perpetual_tasks += task->step->spec->is_perpetual;
        }
        visit(context, &view);
    }
}
