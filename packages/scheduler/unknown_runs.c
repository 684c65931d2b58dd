#include <string.h>

#include "aq_log.h"
#include "scheduler_internal.h"

/* Runs that VMs have listed, as alive or ended, before the scheduler knew
 * their tasks: the job or occurrence had not been read yet. */

void
unknown_runs_add(AqScheduler *s, const Vm *vm, const AqTaskName *task,
                 int64_t run)
{
    NamedRun unknown = {.task = *task, .run = run};
    g_strlcpy(unknown.vm, vm->report.id, sizeof(unknown.vm));
    g_array_append_val(s->unknown_runs, unknown);
}

void
unknown_runs_clear(AqScheduler *s, const char *vm)
{
    for (guint i = s->unknown_runs->len; i-- > 0;) {
        if (strcmp(g_array_index(s->unknown_runs, NamedRun, i).vm, vm) == 0) {
            g_array_remove_index_fast(s->unknown_runs, i);
        }
    }
}

void
unknown_runs_adopt(AqScheduler *s, const Job *job)
{
    for (guint i = s->unknown_runs->len; i-- > 0;) {
        NamedRun unknown = g_array_index(s->unknown_runs, NamedRun, i);
        AqRunningTask row = {
            .task = unknown.task, .run = unknown.run, .checkpoint = ""};
        Task *task = scheduler_find_task(s, &unknown.task);
        Vm *vm = vms_find(s, unknown.vm);
        if (strcmp(unknown.task.job, job->spec.id) != 0 || task == NULL) {
            continue;
        }
        g_array_remove_index_fast(s->unknown_runs, i);
        if (vm != NULL && task->state != TASK_DONE && row.run >= task->run) {
            AqLog_Event(AQ_LOG_INFO, "run_adopted",
                        "request=%s occurrence=%u step=%u task=%u run=%lld "
                        "vm=%s fence=%llu outcome=listed_before",
                        unknown.task.job, unknown.task.occurrence,
                        unknown.task.step, unknown.task.index,
                        (long long)unknown.run, unknown.vm,
                        (unsigned long long)s->config.fence);
            replies_adopt_run(s, vm, task, &row);
            task->last_listed_renewal = vm->renewal_count;
        }
    }
}
