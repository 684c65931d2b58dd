#include <math.h>
#include <string.h>

#include "scheduler_internal.h"

enum {
    /* time from requesting a VM for the pool until the VM is usable */
    VM_ARRIVAL_MS = 2000
};

/* Time constants, ms, with which offered_work and offered_work_long, sums of
 * the work of submitted jobs, shrink exponentially. */
static const double offered_decay_ms = 1000.0;
static const double offered_long_decay_ms = 2000.0;

void
load_decay(AqScheduler *s)
{
    double passed = (double)(s->now - s->offered_at);
    if (passed > 0) {
        double factor = exp(-passed / offered_decay_ms);
        s->offered_work *= factor;
        for (size_t i = 0; i < AQ_LOAD_PRIORITIES; i++) {
            for (size_t j = 0; j < AQ_LOAD_CLASSES; j++) {
                s->offered_by_class[i][j] *= factor;
            }
        }
        s->offered_work_long *= exp(-passed / offered_long_decay_ms);
        s->offered_at = s->now;
    }
}

/* Returns the number of cores needed for the offered load, the recently
 * submitted work, at the time when a VM requested now is usable.  While the
 * load rises steadily, each of its two averages lags by the average's time
 * constant, so the rate of the rise is the difference of the two averages
 * divided by the difference of their time constants. */
static double
forecast_offered_cores(const AqScheduler *s)
{
    double now = s->offered_work / offered_decay_ms;
    double rise = (now - s->offered_work_long / offered_long_decay_ms) /
                  (offered_long_decay_ms - offered_decay_ms);
    return rise > 0 ? now + rise * VM_ARRIVAL_MS : now;
}

void
load_add_job(AqScheduler *s, const Job *job)
{
    const AqJobSpec *spec = &job->spec;
    double sum = 0;
    load_decay(s);
    for (size_t i = 0; i < spec->step_count; i++) {
        const AqStepSpec *step = &spec->steps[i];
        if (!step->is_perpetual && spec->occurrences == 0) {
            double work = (double)step->task_count * (double)step->cpu_millis /
                          1000.0 * (double)scheduler_estimate(s, step);
            s->offered_work += work;
            s->offered_work_long += work;
            sum += work;
        }
    }
    size_t priority = AqLoadView_Priority(job->terms.priority);
    size_t class =
        AqLoadView_Class(sum < INT64_MAX ? (int64_t)sum : INT64_MAX);
    s->offered_by_class[priority][class] += sum;
}

static void
add_step_load(const AqScheduler *s, const Step *step, AqTime now,
              AqSchedulerLoad *load)
{
    const AqStepSpec *spec = step->spec;
    int64_t cpu = spec->is_filler ? 0 : spec->cpu_millis;
    if (spec->is_perpetual && spec->max_per_vm > 0) {
        size_t spread =
            (spec->task_count + spec->max_per_vm - 1) / spec->max_per_vm;
        if (spread > load->widest_spread) {
            load->widest_spread = spread;
        }
    }
    if (step->ready == 0) {
        return;
    }
    load->ready_tasks += step->ready;
    load->ready_cpu_millis += cpu * step->ready;
    for (uint32_t i = 0; i < spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        /* A task that waits for its place needs no further VM. */
        if (task->state == TASK_READY && !places_is_waiting(s, task) &&
            now - task->ready_at > load->longest_wait_ms) {
            load->longest_wait_ms = now - task->ready_at;
        }
    }
}

void
AqScheduler_GetLoad(AqScheduler *s, AqTime now, AqSchedulerLoad *load)
{
    memset(load, 0, sizeof(*load));
    s->now = now;
    load_decay(s);
    load->offered_cpu_millis = (int64_t)(forecast_offered_cores(s) * 1000.0);
    load->is_recovered = s->is_recovered;
    load->starts_in_flight = s->start_window.in_flight;
    load->start_window = (unsigned)s->start_window.size;
    load->recent_crashes = crashes_count_recent(s);
    AqList_ForEach(at, &s->active)
    {
        const Job *job = AqList_Entry(at, Job, link);
        load->jobs++;
        AqList_ForEach(each, &job->occurrences)
        {
            const Occurrence *occurrence =
                AqList_Entry(each, Occurrence, link);
            for (size_t i = 0; i < job->spec.step_count; i++) {
                add_step_load(s, &occurrence->steps[i], now, load);
            }
        }
    }
    AqList_ForEach(at, &s->vms)
    {
        const Vm *vm = AqList_Entry(at, Vm, link);
        load->used_cpu_millis += vm->used_cpu;
        load->perpetual_cpu_millis += vm->perpetual_cpu;
        if (vms_is_usable(s, vm)) {
            load->capacity_cpu_millis += vm->report.cpu_millis;
        }
    }
}

void
AqScheduler_EachWaiting(const AqScheduler *s,
                        void (*visit)(void *context, const char *queue,
                                      size_t count),
                        void *context)
{
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
    AqList_ForEach(at, &s->active)
    {
        const Job *job = AqList_Entry(at, Job, link);
        if (!job->has_started && job->spec.occurrences == 0) {
            size_t count =
                GPOINTER_TO_SIZE(g_hash_table_lookup(counts, job->spec.queue));
            g_hash_table_replace(counts, job->spec.queue,
                                 GSIZE_TO_POINTER(count + 1));
        }
    }
    GList *queues =
        g_list_sort(g_hash_table_get_keys(counts), (GCompareFunc)strcmp);
    for (const GList *at = queues; at != NULL; at = at->next) {
        visit(context, at->data,
              GPOINTER_TO_SIZE(g_hash_table_lookup(counts, at->data)));
    }
    g_list_free(queues);
    g_hash_table_destroy(counts);
}
