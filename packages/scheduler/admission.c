#include "aq_admission.h"

#include <string.h>

enum {
    /* as VERY_LATE_FACTOR in ranking.c: a job's result has no value once the
     * job takes longer than its objective times this factor */
    VERY_LATE_FACTOR = 3,
    /* A view is used up to this age: owners publish one each 800 ms, and nodes
     * read it up to 500 ms later. */
    VIEW_MAX_AGE_MS = 1500,
    /* largest difference of the clocks of two nodes in normal operation */
    CLOCK_DIFFERENCE_MS = 300,
    /* A job is refused only if even this part of the submissions placed before
     * it takes all CPU, in percent: sums over a second vary by 15% at 50 jobs
     * a second. */
    OFFERED_MARGIN_PERCENT = 75,
    /* A job is refused only if the overload has lasted for this many times the
     * time up to which the job's result has value.  If nothing else is known
     * of its length, it then outlasts that time in four cases of five. */
    LASTING_FACTOR = 4,
    /* The end of a lasting overload is not known.  Refused callers come back
     * within this range, whose end callers mostly wait for. */
    MIN_RETRY_MS = 2000,
    MAX_RETRY_MS = 8000
};

/* A caller may declare any duration and any CPU. */
#define MAX_DURATION_MS 1e9
#define MAX_WORK 1e15

/* Expected duration, ms, of the job's longest chain of dependent steps; sets
 * *work to the core-milliseconds that the job needs. */
static AqTime
measure_job(const AqLoadView *view, const AqJobSpec *spec, int64_t *work)
{
    AqTime ends[AQ_JOB_MAX_STEPS];
    AqTime chain = 0;
    double sum = 0;
    for (size_t i = 0; i < spec->step_count; i++) {
        const AqStepSpec *step = &spec->steps[i];
        double each =
            (double)step->estimate_ms * (double)view->duration_permille / 1000;
        each = each < MAX_DURATION_MS ? each : MAX_DURATION_MS;
        ends[i] = 0;
        for (size_t j = 0; j < step->after_count; j++) {
            AqTime end = ends[step->after[j]];
            ends[i] = end > ends[i] ? end : ends[i];
        }
        ends[i] += (AqTime)each;
        chain = ends[i] > chain ? ends[i] : chain;
        if (!step->is_filler) {
            sum += (double)step->cpu_millis * each / 1000 * step->task_count;
        }
    }
    *work = (int64_t)(sum < MAX_WORK ? sum : MAX_WORK);
    return chain;
}

/* Sums the classes of "by_class" that precede a job of "work"
 * core-milliseconds: those of higher priorities, those of smaller jobs and a
 * part of its own class, whose jobs are taken as evenly spread over it. */
static int64_t
sum_ahead(const int64_t by_class[AQ_LOAD_PRIORITIES][AQ_LOAD_CLASSES],
          size_t priority, int64_t work)
{
    size_t class = AqLoadView_Class(work);
    int64_t low = AqLoadView_ClassStart(class);
    int64_t size = AqLoadView_ClassStart(class + 1) - low;
    int64_t part = work - low < size ? work - low : size;
    int64_t sum = (int64_t)((double)by_class[priority][class] * (double)part /
                            (double)size);
    for (size_t i = 0; i < priority; i++) {
        for (size_t j = 0; j < AQ_LOAD_CLASSES; j++) {
            sum += by_class[i][j];
        }
    }
    for (size_t j = 0; j < class; j++) {
        sum += by_class[priority][j];
    }
    return sum;
}

static bool
is_judged(const AqJobSpec *spec, const AqQueueConfig *queue)
{
    if (spec->occurrences > 0 || queue->target_ms <= 0) {
        return false;
    }
    for (size_t i = 0; i < spec->step_count; i++) {
        if (spec->steps[i].is_perpetual) {
            return false;
        }
    }
    return true;
}

void
AqAdmission_Decide(const AqLoadView *view, const AqJobSpec *spec,
                   const AqQueueConfig *queue, int64_t wall, AqAdmission *out)
{
    memset(out, 0, sizeof(*out));
    out->verdict = AQ_ADMISSION_UNKNOWN;
    if (view == NULL) {
        return;
    }
    out->view_age_ms = wall - view->made_ms;
    if (view->capacity_cpu_millis <= 0 || out->view_age_ms > VIEW_MAX_AGE_MS ||
        out->view_age_ms < -CLOCK_DIFFERENCE_MS) {
        return;
    }
    out->verdict = AQ_ADMISSION_ACCEPT;
    if (!is_judged(spec, queue)) {
        return;
    }
    AqTime chain = measure_job(view, spec, &out->work);
    AqTime objective =
        (AqTime)((double)chain * queue->stretch) + queue->target_ms;
    out->useful_ms = VERY_LATE_FACTOR * objective;
    out->offered_ahead = sum_ahead(
        view->offered, AqLoadView_Priority(queue->priority), out->work);
    if (out->offered_ahead * OFFERED_MARGIN_PERCENT / 100 >
            view->capacity_cpu_millis &&
        view->lasting_ms > LASTING_FACTOR * out->useful_ms) {
        out->verdict = AQ_ADMISSION_REFUSE;
    }
}

int
AqAdmission_RetryAfter(uint64_t hash)
{
    return (int)((MIN_RETRY_MS + hash % (MAX_RETRY_MS - MIN_RETRY_MS)) / 1000);
}
