#include <string.h>

#include "scheduler_internal.h"

/* Runs on a VM whose stop was ordered because another run of their task
 * replaces them. */

static bool
is_same_run(const SupersededRun *superseded, const AqTaskName *task,
            int64_t run)
{
    return superseded->run == run &&
           strcmp(superseded->task.job, task->job) == 0 &&
           superseded->task.occurrence == task->occurrence &&
           superseded->task.step == task->step &&
           superseded->task.index == task->index;
}

void
superseded_note_stop(const AqScheduler *s, const Vm *vm,
                     const AqTaskName *task, int64_t run)
{
    for (guint i = 0; i < vm->superseded->len; i++) {
        SupersededRun *superseded =
            &g_array_index(vm->superseded, SupersededRun, i);
        if (is_same_run(superseded, task, run)) {
            superseded->stopped_at = s->now;
        }
    }
}

void
superseded_stop_again(AqScheduler *s, Vm *vm)
{
    for (guint i = 0; i < vm->superseded->len; i++) {
        SupersededRun *superseded =
            &g_array_index(vm->superseded, SupersededRun, i);
        superseded->stopped_at = AQ_TIME_NEVER;
        replies_stop_stray(s, vm, &superseded->task, superseded->run);
    }
}

static bool
is_listed(const AqOrderReply *reply, const SupersededRun *superseded)
{
    for (size_t i = 0; i < reply->running_count; i++) {
        if (is_same_run(superseded, &reply->running[i].task,
                        reply->running[i].run)) {
            return true;
        }
    }
    return false;
}

void
superseded_add_usage(const AqScheduler *s, Vm *vm, AqTime sent_at,
                     const AqOrderReply *reply)
{
    for (guint i = vm->superseded->len; i-- > 0;) {
        const SupersededRun *superseded =
            &g_array_index(vm->superseded, SupersededRun, i);
        if (is_listed(reply, superseded)) {
            continue;
        }
        if (superseded->stopped_at < sent_at ||
            superseded->start_expires_at < s->now) {
            g_array_remove_index_fast(vm->superseded, i);
            continue;
        }
        vm->foreign_cpu += superseded->cpu_millis;
        vm->foreign_memory += superseded->memory_mb;
        AqStepSpec spec = {.cpu_millis = superseded->cpu_millis,
                           .memory_mb = superseded->memory_mb,
                           .gpus = superseded->gpus};
        workspace_caps_add_foreign(vm, superseded->workspace, &spec);
    }
}
