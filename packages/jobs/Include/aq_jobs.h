#ifndef AQ_JOBS_H
#define AQ_JOBS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_fleet.h"

/* Jobs of the teams and the tasks that run them on workers.  Design page,
 * section 7.3.  One JSON document per team is kept in the store under
 * "aq/jobs/TEAM"; this module decides changes to it.  Times are Unix ms. */

#define AQ_JOBS_PREFIX "aq/jobs/"

typedef struct AqJobs AqJobs;

/* Mechanisms that can be left out, for tests that show what each is for and
 * for measurements. */
enum {
    AQ_JOBS_DISABLE_UNKNOWN = 1,    /* lapsed non-idempotent tasks restart */
    AQ_JOBS_DISABLE_ESTIMATES = 2,  /* declared sizes are believed */
    AQ_JOBS_DISABLE_URGENT = 4,     /* urgent jobs wait their turn */
    AQ_JOBS_DISABLE_BAD_WORKER = 8, /* failing workers get new tasks */
    AQ_JOBS_DISABLE_BATCHES = 16,   /* all cancellations in one step, first */
    AQ_JOBS_DISABLE_STORED_FIRST = 32 /* starts are ordered before stored */
};

AqJobs *AqJobs_Create(void);
void AqJobs_Destroy(AqJobs *jobs);

/* Bits of the enumeration above. */
void AqJobs_Disable(AqJobs *jobs, uint32_t disabled);

/* Installs the document of a team as read from the store at "index".  An
 * index that is not above the installed one is ignored. */
bool AqJobs_Load(AqJobs *jobs, const char *name, const char *text, size_t size,
                 uint64_t index, AqError *error);
/* Text of a team's document with all decided changes and the index it is
 * based on; new, freed with free(). */
char *AqJobs_Encode(const AqJobs *jobs, const char *name, uint64_t *index);
/* Teams with decided changes that are not stored yet: the first such team or
 * NULL; borrowed. */
const char *AqJobs_NextDirty(const AqJobs *jobs);
/* The write of a team's document took effect at "index". */
void AqJobs_Stored(AqJobs *jobs, const char *name, uint64_t index);
/* The write failed; decided changes of the team are dropped.  The document is
 * loaded again and the intents are evaluated again. */
void AqJobs_Rollback(AqJobs *jobs, const char *name);

/* Evaluates job.submit or job.cancel.  job.submit fails at once with
 * AQ_ERR_REFUSED when no worker in "fleet" can ever hold the job; the message
 * names the label or size in the way. */
bool AqJobs_Evaluate(AqJobs *jobs, const AqFleet *fleet, const json_t *intent,
                     int64_t wall_ms, AqError *error);

/* A task as the platform lists it (state, usage with a lag). */
typedef struct {
    const char *id; /* borrowed */
    const char *worker;
    const char *state; /* running, checkpointed, throttled, stopped, ... */
    bool started;      /* false: it certainly never started */
    int64_t cores_used_milli;
    int64_t memory_used_mb;
} AqTaskReport;

void AqJobs_Report(AqJobs *jobs, int64_t wall_ms, const AqTaskReport *report);

typedef enum {
    AQ_TASK_START,
    AQ_TASK_CHECKPOINT,
    AQ_TASK_THROTTLE,
    AQ_TASK_STOP,
    AQ_TASK_RENEW
} AqTaskAction;

typedef struct {
    AqTaskAction action;
    const char *task; /* borrowed for the call */
    const char *worker;
    const json_t *job; /* the job record */
    int64_t cores;     /* START: to reserve, whole cores */
    int64_t memory_mb;
    int64_t accelerators;
} AqTaskOrder;

/* Decides starts, stops and renewals.  A start is ordered only after the
 * document that records it was stored: it is first decided here (the team
 * becomes dirty) and ordered by a later call.  "order" is called for each. */
void AqJobs_Step(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms,
                 void (*order)(void *context, const AqTaskOrder *order),
                 void *context);
/* Result of a START: refused means that the worker had no room. */
void AqJobs_Started(AqJobs *jobs, int64_t wall_ms, const char *task,
                    bool started, bool refused);

/* All jobs as a new JSON array, for operators. */
json_t *AqJobs_Describe(const AqJobs *jobs);

bool AqJobs_CheckConsistency(const AqJobs *jobs, AqError *error);

#endif
