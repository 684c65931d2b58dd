#include <math.h>

#include "aq_log.h"
#include "scheduler_internal.h"

/* Speed of each VM, from the runs there: how many times as long they take as
 * other runs of the same step.  Declared durations are too inexact for that.
 * What is known ages, so that a slow VM is tried again, and belongs to one
 * incarnation of the VM. */

enum {
    /* ends of a step's runs that its other runs are compared with */
    LEAST_ENDS = 2,
    /* least progress between two reports that is used; reports come about
     * every 400 ms and round to one percent */
    LEAST_PERCENT = 4,
    /* time after which what is known of a VM counts half */
    HALF_LIFE_MS = 3000,
    /* Time that a new run costs beside its duration: its order and the start
     * of the task. */
    RESTART_MS = 200
};

/* Runs of one step differ by less than this factor on equal VMs. */
static const double least_slowness = 1.5;
/* A step's mean duration leaves out runs that take longer by this factor. */
static const double outlier_factor = 2.0;
/* weight of the latest report against all before */
static const double sample_weight = 0.5;
static const double longest_factor = 10.0;

double
vm_speed_slowness(const AqScheduler *s, const Vm *vm)
{
    if (vm->slowness <= 1.0) {
        return 1.0;
    }
    double age = (double)(s->now - vm->slowness_at);
    double factor = 1.0 + (vm->slowness - 1.0) * exp2(-age / HALF_LIFE_MS);
    return factor >= least_slowness ? factor : 1.0;
}

static double
place_factor(const AqScheduler *s, const Task *task)
{
    return places_is_far(task) && s->config.far_rack_factor > 1.0
               ? s->config.far_rack_factor
               : 1.0;
}

/* Adds that a run of the task takes "whole_ms" on the VM. */
static void
add_sample(AqScheduler *s, Vm *vm, const Task *task, double whole_ms)
{
    const Step *step = task->step;
    if (step->end_count < LEAST_ENDS) {
        return;
    }
    double factor = whole_ms / place_factor(s, task) / step->mean_end_ms;
    double before = vm_speed_slowness(s, vm);
    factor = factor < 1.0 ? 1.0 : factor;
    factor = factor > longest_factor ? longest_factor : factor;
    vm->slowness = before + sample_weight * (factor - before);
    vm->slowness_at = s->now;
    if (before < least_slowness && vm->slowness >= least_slowness) {
        AqLog_Event(AQ_LOG_INFO, "vm_slow",
                    "vm=%s factor=%.1f run_ms=%.0f mean_ms=%.0f ends=%u",
                    vm->report.id, vm->slowness, whole_ms, step->mean_end_ms,
                    step->end_count);
    }
}

void
vm_speed_note_progress(AqScheduler *s, Vm *vm, const Task *task,
                       int64_t percent)
{
    int64_t done = percent - task->percent;
    AqTime passed = s->now - task->progress_at;
    if (task->state == TASK_RUNNING && task->pace >= 100 && passed > 0 &&
        !task->step->spec->is_perpetual && done >= LEAST_PERCENT) {
        add_sample(s, vm, task, (double)passed * 100.0 / (double)done);
    }
}

void
vm_speed_note_end(AqScheduler *s, Vm *vm, const Task *task)
{
    Step *step = task->step;
    if (task->vm != vm || task->started_at == 0 || task->checkpoint != NULL ||
        step->spec->is_perpetual) {
        return;
    }
    vm_speed_note_progress(s, vm, task, 100);
    double whole = (double)(s->now - task->started_at) / place_factor(s, task);
    if (step->end_count < LEAST_ENDS ||
        whole < outlier_factor * step->mean_end_ms) {
        step->end_count++;
        step->mean_end_ms +=
            (whole - step->mean_end_ms) / (double)step->end_count;
    }
}

bool
vm_speed_should_copy(const AqScheduler *s, const Vm *vm, const Task *task)
{
    const Step *step = task->step;
    double slowness = vm_speed_slowness(s, vm);
    if (!step->spec->allows_copies || task->state != TASK_RUNNING ||
        task->is_copied || step->spec->is_gang || slowness <= 1.0 ||
        step->end_count < LEAST_ENDS || crashes_count(task) > 0 ||
        task->open_run_count > 0) {
        return false;
    }
    double left = step->mean_end_ms * place_factor(s, task) * slowness *
                  (double)(100 - task->percent) / 100.0;
    if (left <= (step->mean_end_ms + RESTART_MS) * least_slowness) {
        return false;
    }
    const Vm *other = placement_find_move_target(s, task);
    return other != NULL && other != vm && vm_speed_slowness(s, other) <= 1.0;
}
