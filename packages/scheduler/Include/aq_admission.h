#ifndef AQ_ADMISSION_H
#define AQ_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_job_spec.h"
#include "aq_load_view.h"
#include "aq_site_config.h"

/* Decides whether there will be room for a job that is submitted to a pool in
 * a lasting overload, while the job's result has value.  Jobs for which there
 * will be none are refused at once: what is accepted is owed to its end.
 *
 * The owner places the jobs of a priority by least work and passes over those
 * whose result has no value any more (ranking.c).  The work that waits can
 * therefore not decide about a job: most of it is done or worthless by the
 * time up to which the job's result has value.  What decides are the smaller
 * jobs that are submitted until then: while they need all CPU, the job is not
 * placed.  docs/design/admission.md has the trials. */

typedef enum {
    AQ_ADMISSION_ACCEPT,
    /* no view, or one that does not tell of the present load */
    AQ_ADMISSION_UNKNOWN,
    AQ_ADMISSION_REFUSE
} AqAdmissionVerdict;

typedef struct {
    AqAdmissionVerdict verdict;
    int64_t work; /* core-milliseconds that the job needs */
    /* time from now until which the job's result has value, ms */
    AqTime useful_ms;
    /* CPU that the submissions placed before the job need, in thousandths of a
     * core */
    int64_t offered_ahead;
    AqTime view_age_ms;
} AqAdmission;

/* Judges a job of the queue at "wall", Unix ms.  "view" is the latest view of
 * the queue's pool, or NULL. */
void AqAdmission_Decide(const AqLoadView *view, const AqJobSpec *spec,
                        const AqQueueConfig *queue, int64_t wall,
                        AqAdmission *out);

/* Returns the value of the Retry-After header, in s, of a refused job: spread
 * by "hash", which differs between jobs, so that the refused callers do not
 * come back together. */
int AqAdmission_RetryAfter(uint64_t hash);

#endif
