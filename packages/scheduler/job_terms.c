#include "scheduler_internal.h"

/* What applies to a job of its queue.  The operator may drop the queue, add it
 * again with other terms, or send it to another pool, while the job goes on:
 * what callers were promised and what VMs demand stays as it was when the job
 * was accepted; the order of jobs follows the configuration in force. */

/* The limit for a job that an earlier version stored and whose queue is gone.
 * Its own limit is not known; the lowest one of the site allows no run beyond
 * it that any queue of the site would not allow. */
static uint32_t
lowest_max_attempts(const AqSiteConfig *site)
{
    uint32_t lowest = 0;
    for (size_t i = 0; site != NULL && i < site->queue_count; i++) {
        uint32_t limit = site->queues[i].max_attempts;
        if (limit > 0 && (lowest == 0 || limit < lowest)) {
            lowest = limit;
        }
    }
    return lowest;
}

void
job_terms_update(const AqScheduler *s, Job *job)
{
    const AqQueueConfig *queue =
        s->site != NULL ? AqSiteConfig_FindQueueOfPool(
                              s->site, job->spec.queue, s->config.pool)
                        : NULL;
    if (queue != NULL && !job->spec.has_terms) {
        AqJobTerms_Set(&job->spec.terms, queue);
        job->spec.has_terms = true;
    }
    if (!job->spec.has_terms) {
        job->terms = (AqJobTerms){.max_attempts = lowest_max_attempts(s->site),
                                  .stretch = 1.0};
        return;
    }
    job->terms = job->spec.terms;
    if (queue != NULL) {
        job->terms.priority = queue->priority;
        job->terms.stretch = queue->stretch;
        job->terms.target_ms = queue->target_ms;
    }
}

bool
job_terms_allow_run(const Task *task)
{
    uint32_t limit = task->step->occurrence->job->terms.max_attempts;
    return task->step->spec->is_perpetual || limit == 0 ||
           task->failures < limit;
}

bool
job_terms_are_exhausted(const Job *job)
{
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            const Step *step = &occurrence->steps[i];
            for (uint32_t j = 0; j < step->spec->task_count; j++) {
                const Task *task = &step->tasks[j];
                if (task->state != TASK_DONE && !job_terms_allow_run(task)) {
                    return true;
                }
            }
        }
    }
    return false;
}
