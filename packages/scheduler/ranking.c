#include "scheduler_internal.h"

/* Order in which jobs are placed when the pool has less capacity than work.
 *
 * The queue's priority comes first.  Within a priority, jobs with perpetual
 * tasks precede all others, because their users are waiting and starts of such
 * tasks are rare.  Next are the jobs that can still meet their objective, the
 * completion time of AqJobTerms.stretch and target_ms: the job with the
 * least remaining work first, so that the most jobs meet their objective.
 * Late jobs follow in the same order.  Last are the very late jobs, oldest
 * first, since a faster completion has no value for them any more. */

enum {
    BUCKET_PERPETUAL,
    BUCKET_IN_TIME,
    BUCKET_LATE,
    BUCKET_VERY_LATE,
    BUCKET_COUNT,
    /* a job is very late when it takes longer than its objective times this
     * factor, since its result then has no value */
    VERY_LATE_FACTOR = 3
};

/* Most core-milliseconds that are told apart, since a caller may declare any
 * duration. */
#define MAX_WORK 1e15

/* Estimated duration, ms, of the occurrence's longest chain of dependent
 * steps: of all steps if "whole", otherwise of the steps that are not done. */
static AqTime
longest_chain(const AqScheduler *s, const Occurrence *occurrence, bool whole)
{
    AqTime ends[AQ_JOB_MAX_STEPS];
    AqTime longest = 0;
    size_t count = occurrence->job->spec.step_count;
    for (size_t i = 0; i < count; i++) {
        const Step *step = &occurrence->steps[i];
        bool is_done = step->done == step->spec->task_count;
        AqTime start = 0;
        for (size_t j = 0; j < step->spec->after_count; j++) {
            AqTime end = ends[step->spec->after[j]];
            start = end > start ? end : start;
        }
        ends[i] = start;
        if (whole || !is_done) {
            ends[i] += scheduler_estimate(s, step->spec);
        }
        longest = ends[i] > longest ? ends[i] : longest;
    }
    return longest;
}

/* Returns the core-milliseconds that the occurrence still needs: cores times
 * declared duration, summed over the tasks that are not done. */
static double
work_left(const Occurrence *occurrence)
{
    double work = 0;
    for (size_t i = 0; i < occurrence->job->spec.step_count; i++) {
        const Step *step = &occurrence->steps[i];
        work += (double)(step->spec->task_count - step->done) *
                (double)step->spec->cpu_millis *
                (double)step->spec->estimate_ms / 1000;
    }
    return work;
}

/* Whether the occurrence has ready tasks.  Sets *is_perpetual_task when one of
 * these is perpetual, and leaves it unchanged otherwise. */
static bool
has_ready_tasks(const Occurrence *occurrence, bool *is_perpetual_task)
{
    bool has_ready = false;
    for (size_t i = 0; i < occurrence->job->spec.step_count; i++) {
        const Step *step = &occurrence->steps[i];
        if (step->ready > 0) {
            has_ready = true;
            *is_perpetual_task =
                *is_perpetual_task || step->spec->is_perpetual;
        }
    }
    return has_ready;
}

bool
ranking_update(const AqScheduler *s, Job *job)
{
    const AqJobTerms *terms = &job->terms;
    bool has_ready = false;
    bool is_perpetual_task = false;
    AqTime chain = 0;
    AqTime left = 0;
    AqTime since = job->submitted_at;
    double work = 0;
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        if (!has_ready_tasks(occurrence, &is_perpetual_task)) {
            continue;
        }
        if (!has_ready && job->spec.occurrences > 0) {
            since = occurrence->due_at;
        }
        has_ready = true;
        AqTime whole = longest_chain(s, occurrence, true);
        AqTime rest = longest_chain(s, occurrence, false);
        chain = whole > chain ? whole : chain;
        left = rest > left ? rest : left;
        work += work_left(occurrence);
    }
    job->remaining_work = (int64_t)(work < MAX_WORK ? work : MAX_WORK);
    AqTime objective =
        (AqTime)((double)chain * terms->stretch) + terms->target_ms;
    job->slack = since + objective - s->now - left;
    if (is_perpetual_task) {
        job->bucket = BUCKET_PERPETUAL;
    }
    else if (job->slack >= 0) {
        job->bucket = BUCKET_IN_TIME;
    }
    else if (since + VERY_LATE_FACTOR * objective - s->now - left >= 0) {
        job->bucket = BUCKET_LATE;
    }
    else {
        job->bucket = BUCKET_VERY_LATE;
    }
    job->bucket += BUCKET_COUNT * terms->priority;
    return has_ready;
}

int
ranking_compare(const void *a, const void *b)
{
    const Job *first = *(const Job *const *)a;
    const Job *second = *(const Job *const *)b;
    if (first->bucket != second->bucket) {
        return first->bucket < second->bucket ? -1 : 1;
    }
    if (first->bucket % BUCKET_COUNT != BUCKET_VERY_LATE &&
        first->remaining_work != second->remaining_work) {
        return first->remaining_work < second->remaining_work ? -1 : 1;
    }
    if (first->submitted_at != second->submitted_at) {
        return first->submitted_at < second->submitted_at ? -1 : 1;
    }
    return 0;
}

int
ranking_priority(const Job *job)
{
    return job->bucket / BUCKET_COUNT;
}

bool
ranking_is_very_late(const Job *job)
{
    return job->bucket % BUCKET_COUNT == BUCKET_VERY_LATE;
}
