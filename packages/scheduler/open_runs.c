#include <string.h>

#include "scheduler_internal.h"

/* Runs that are not the current run of their task any more although it is not
 * known what became of them: their VM was silent, or an earlier owner of the
 * pool ordered them.  They may have crashed their VM, which shows only when
 * the next incarnation of the VM is seen. */

enum {
    /* A VM that crashed is back after some seconds; a run is forgotten that
     * has not been settled for this long. */
    KEEP_MS = 10000,
    /* A task with this many open runs, or with so many that its job fails if
     * all of them crashed their VMs, waits until one is settled, for HOLD_MS
     * at most. */
    HOLD_COUNT = 2,
    HOLD_MS = 10000
};

void
open_runs_add(AqScheduler *s, Task *task, const Crash *crash, int64_t born_ms)
{
    OpenRun open = {.crash = *crash, .born_ms = born_ms, .since = s->now};
    const Vm *vm = vms_find(s, crash->vm);
    if (vm != NULL && vm->report.is_draining) {
        return;
    }
    scheduler_name_task(task, &open.task);
    g_strlcpy(open.machine, vm != NULL ? vm->report.machine : "",
              sizeof(open.machine));
    g_array_append_val(s->open_runs, open);
    task->open_run_count++;
    task->open_run_since = s->now;
}

void
open_runs_add_current(AqScheduler *s, Task *task, unsigned young_count)
{
    Crash crash = {.run = task->run, .kind = crashes_kind(task, young_count)};
    if (task->is_start_ordered) {
        g_strlcpy(crash.vm, task->vm->report.id, sizeof(crash.vm));
        open_runs_add(s, task, &crash, task->vm->born_ms);
    }
}

/* Removes the open run at "index". */
static void
settle(AqScheduler *s, guint index, RunFate fate)
{
    OpenRun open = g_array_index(s->open_runs, OpenRun, index);
    Task *task = scheduler_find_task(s, &open.task);
    g_array_remove_index(s->open_runs, index);
    if (task == NULL) {
        return;
    }
    task->open_run_count -= task->open_run_count > 0;
    s->placement_due = true;
    if (fate != RUN_DID_NOT_CRASH) {
        if (fate == RUN_CRASHED_WITH_RACK) {
            open.crash.kind = CRASH_LATE;
        }
        crashes_record_run(s, task, &open.crash);
    }
}

void
open_runs_settle(AqScheduler *s, const char *vm, RunFate fate)
{
    for (guint i = s->open_runs->len; i-- > 0;) {
        const OpenRun *open = &g_array_index(s->open_runs, OpenRun, i);
        if (strcmp(open->crash.vm, vm) == 0) {
            settle(s, i, fate);
        }
    }
}

void
open_runs_stop(AqScheduler *s, const Vm *vm)
{
    for (guint i = 0; i < s->open_runs->len; i++) {
        const OpenRun *open = &g_array_index(s->open_runs, OpenRun, i);
        if (strcmp(open->crash.vm, vm->report.id) == 0) {
            replies_stop_stray(s, vm, &open->task, open->crash.run);
        }
    }
}

void
open_runs_note_reply(AqScheduler *s, const Vm *vm)
{
    for (guint i = s->open_runs->len; i-- > 0;) {
        const OpenRun *open = &g_array_index(s->open_runs, OpenRun, i);
        if (strcmp(open->crash.vm, vm->report.id) != 0) {
            continue;
        }
        if (open->born_ms > 0 && vm->born_ms > open->born_ms) {
            replies_stop_stray(s, vm, &open->task, open->crash.run);
            settle(s, i, RUN_CRASHED);
        }
        else {
            settle(s, i, RUN_DID_NOT_CRASH);
        }
    }
}

void
open_runs_note_listed(AqScheduler *s, const AqVmReport *report)
{
    for (guint i = s->open_runs->len; i-- > 0;) {
        const OpenRun *open = &g_array_index(s->open_runs, OpenRun, i);
        if (open->machine[0] != '\0' &&
            strcmp(open->machine, report->machine) == 0 &&
            strcmp(open->crash.vm, report->id) != 0) {
            settle(s, i, RUN_CRASHED);
        }
    }
}

void
open_runs_tick(AqScheduler *s)
{
    for (guint i = s->open_runs->len; i-- > 0;) {
        const OpenRun *open = &g_array_index(s->open_runs, OpenRun, i);
        if (s->now - open->since > KEEP_MS) {
            settle(s, i, RUN_DID_NOT_CRASH);
        }
    }
}

bool
open_runs_hold_start(const AqScheduler *s, const Task *task)
{
    uint32_t open = task->open_run_count;
    bool may_be_last = open > 0 && crashes_is_last(task, open);
    return (open >= HOLD_COUNT || may_be_last) &&
           s->now - task->open_run_since < HOLD_MS;
}
