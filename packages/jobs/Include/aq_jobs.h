#ifndef AQ_JOBS_H
#define AQ_JOBS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_fleet.h"

/* Jobs submitted by teams, and the tasks that run them on workers.  Design
 * page, section 7.3.  The store holds one JSON document per team under
 * "aq/jobs/TEAM"; this module decides the changes to it, and the caller
 * writes them.  Times are Unix ms of the caller's clock. */

/* Store key of a team's document, up to the team's name. */
#define AQ_JOBS_PREFIX "aq/jobs/"

typedef struct AqJobs AqJobs;

/* Bits that disable mechanisms, for measurements and for tests that show the
 * failure each mechanism prevents.  The comments state the behaviour while
 * the bit is set. */
enum {
    /* A non-idempotent task whose lease expired is started again. */
    AQ_JOBS_DISABLE_UNKNOWN = 1,
    /* The declared size is reserved instead of the estimated one. */
    AQ_JOBS_DISABLE_ESTIMATES = 2,
    /* Urgent jobs have no priority and preempt no tasks. */
    AQ_JOBS_DISABLE_URGENT = 4,
    /* Workers with repeated failures still get new tasks. */
    AQ_JOBS_DISABLE_BAD_WORKER = 8,
    /* Each step applies all cancellations, and does so before the starts. */
    AQ_JOBS_DISABLE_BATCHES = 16,
    /* Starts are ordered before the document that records them is stored. */
    AQ_JOBS_DISABLE_STORED_FIRST = 32
};

AqJobs *AqJobs_Create(void);
void AqJobs_Destroy(AqJobs *jobs);

/* Disables the mechanisms in "disabled", a set of AQ_JOBS_DISABLE_* bits that
 * replaces the previous set. */
void AqJobs_Disable(AqJobs *jobs, uint32_t disabled);

/* Installs a team's document as read from the store, and drops the team's
 * changes that are not stored yet.  "index" is the store index of the
 * document; one that isn't above the installed index has no effect.  Returns
 * false with AQ_ERR_INVALID if the text isn't a valid document. */
bool AqJobs_Load(AqJobs *jobs, const char *name, const char *text, size_t size,
                 uint64_t index, AqError *error);
/* Returns the text of a known team's document with all decided changes; the
 * caller frees it with free().  *index receives the store index that the
 * changes are based on, for a compare-and-swap. */
char *AqJobs_Encode(const AqJobs *jobs, const char *name, uint64_t *index);
/* Returns the name of a team that has decided changes not stored yet, or
 * NULL if there is none.  Borrowed. */
const char *AqJobs_NextDirty(const AqJobs *jobs);
/* Marks a team's decided changes as stored at store index "index". */
void AqJobs_Stored(AqJobs *jobs, const char *name, uint64_t index);
/* Drops a team's decided changes when their write failed or isn't confirmed.
 * The caller then loads the document again and evaluates the pending intents
 * again. */
void AqJobs_Rollback(AqJobs *jobs, const char *name);

/* Evaluates an intent {"op", "kind", "args"} of kind job.submit or job.cancel
 * and changes the team's document.  A repeated job.submit with the same "op"
 * changes nothing and succeeds; so does a repeated job.cancel until the job
 * has ended, and then it fails with AQ_ERR_NOT_FOUND.  job.submit fails at
 * once with AQ_ERR_REFUSED if the team's quota or every worker in "fleet" is
 * too small for the job even when nothing else runs; the message names the
 * label or size that prevents it. */
bool AqJobs_Evaluate(AqJobs *jobs, const AqFleet *fleet, const json_t *intent,
                     int64_t wall_ms, AqError *error);

/* A task as the platform lists it.  The usage lags behind the state. */
typedef struct {
    const char *id;     /* name of the task; strings are borrowed */
    const char *worker; /* VM that runs the task or last did */
    /* "running", "checkpointed", "throttled", "stopped", "finished", "failed"
     * or "lapsed" (its lease expired). */
    const char *state;
    bool started;             /* false only if the task certainly never ran */
    int64_t cores_used_milli; /* thousandths of a core */
    int64_t memory_used_mb;
} AqTaskReport;

/* Applies a report to the job that the task runs.  A report on an earlier try
 * of the job, or from a worker other than the recorded one, has no effect. */
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
    const char *task; /* name; all pointers are valid during the call only */
    const char *worker;
    const json_t *job; /* record in the team's document */
    int64_t cores;     /* reserved by START, as the next two; rounded up */
    int64_t memory_mb;
    int64_t accelerators;
} AqTaskOrder;

/* Decides starts, checkpoints and stops, and calls "order" for each order that
 * is due, lease renewals included.  A start is ordered only after the document
 * that records it has been stored: one call decides it and leaves the team
 * with changes to store, and a later call orders it. */
void AqJobs_Step(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms,
                 void (*order)(void *context, const AqTaskOrder *order),
                 void *context);
/* Applies the platform's reply to a START order.  "started": the task runs on
 * the worker; "refused": the worker has no room for it.  Both are false after
 * another error, which leaves the order to be repeated. */
void AqJobs_Started(AqJobs *jobs, int64_t wall_ms, const char *task,
                    bool started, bool refused);

/* Returns a new JSON array of all jobs and kept results, for operators. */
json_t *AqJobs_Describe(const AqJobs *jobs);

/* Whether every document is valid and every team with unstored changes is
 * marked; for tests. */
bool AqJobs_CheckConsistency(const AqJobs *jobs, AqError *error);

#endif
