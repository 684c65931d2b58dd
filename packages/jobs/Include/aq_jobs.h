#ifndef AQ_JOBS_H
#define AQ_JOBS_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_fleet.h"

/* Jobs submitted by teams, and the tasks that run the jobs on workers (VMs); a
 * task is one try of a job.  Design page, section 7.3.  The store holds one
 * JSON document per team under "aq/jobs/TEAM", with a record of each
 * unfinished job.  This module changes the documents in memory, and its caller
 * writes the changed documents to the store.  Times are Unix ms of the
 * caller's clock. */

/* Start of the store key of a team's document; the team's name follows. */
#define AQ_JOBS_PREFIX "aq/jobs/"

typedef struct AqJobs AqJobs;

/* Bits for AqJobs_Disable().  Each disables one mechanism of the job planner,
 * for measurements and for tests that show the failure which that mechanism
 * prevents. */
enum {
    /* While this bit is set, a non-idempotent job is tried again after the
     * lease of its task expired, instead of ending in state unknown. */
    AQ_JOBS_DISABLE_UNKNOWN = 1,
    /* While this bit is set, the size that a job declares is reserved for its
     * task, not the size estimated from the use of earlier tasks. */
    AQ_JOBS_DISABLE_ESTIMATES = 2,
    /* While this bit is set, urgent jobs are queued like all others and
     * preempt no tasks. */
    AQ_JOBS_DISABLE_URGENT = 4,
    /* While this bit is set, workers on which tasks failed repeatedly still
     * get new tasks. */
    AQ_JOBS_DISABLE_BAD_WORKER = 8,
    /* While this bit is set, each AqJobs_Step() applies all requested job
     * cancellations instead of at most 256, and does so before it starts jobs.
     */
    AQ_JOBS_DISABLE_BATCHES = 16,
    /* While this bit is set, AqJobs_Step() orders the start of a task before
     * the document that records the start has been stored. */
    AQ_JOBS_DISABLE_STORED_FIRST = 32
};

AqJobs *AqJobs_Create(void);
void AqJobs_Destroy(AqJobs *jobs);

/* Disables the mechanisms of the job planner whose AQ_JOBS_DISABLE_* bits are
 * set in "disabled", and enables all other mechanisms. */
void AqJobs_Disable(AqJobs *jobs, uint32_t disabled);

/* Makes "text", which is the document of team "name" as read from the store,
 * the document of that team in memory; changes made in memory that are not
 * stored yet are lost.  "index" is the store revision at which "text" was
 * written.  If the document that is already in memory was written to the store
 * at that revision or a later one, the call has no effect and returns true.
 * Returns false with AQ_ERR_INVALID if the text isn't a valid document. */
bool AqJobs_Load(AqJobs *jobs, const char *name, const char *text, size_t size,
                 uint64_t index, AqError *error);
/* Returns the document of team "name" as JSON text, including the changes made
 * in memory that are not stored yet; the caller frees the text with free().  A
 * document of that team must have been loaded.  *index receives the store
 * revision of the document that the changes are based on, for the
 * compare-and-swap that stores the text. */
char *AqJobs_Encode(const AqJobs *jobs, const char *name, uint64_t *index);
/* Returns the name of a team whose document has changes made in memory that
 * are not stored yet, or NULL if there is no such team.  The name is borrowed
 * from "jobs". */
const char *AqJobs_NextDirty(const AqJobs *jobs);
/* Marks all changes made in memory to the document of team "name" as stored;
 * "index" is the store revision of the write that stored them. */
void AqJobs_Stored(AqJobs *jobs, const char *name, uint64_t index);
/* Undoes the changes made in memory to the document of team "name" that are
 * not marked as stored, for when the write of that document failed or isn't
 * confirmed.  The caller then loads the document from the store again, and
 * again evaluates each intent that has no confirmed result yet. */
void AqJobs_Rollback(AqJobs *jobs, const char *name);

/* Evaluates an intent, which is an operator's request {"op": operation id,
 * "kind", "args"} of kind job.submit or job.cancel, and changes the team's
 * document in memory.  Returns whether the intent was accepted.  A repeated
 * job.submit with the same "op" changes nothing and returns true as long as
 * the team keeps the job or its result.  A repeated job.cancel changes nothing
 * and returns true until the job has ended, and fails with AQ_ERR_NOT_FOUND
 * after that.  job.submit fails at once with AQ_ERR_REFUSED if the team's
 * quota or every worker in "fleet" is too small for the job even while no
 * other job runs, or no worker has the labels that the job selects; the
 * message names the label, size or quota that prevents the job. */
bool AqJobs_Evaluate(AqJobs *jobs, const AqFleet *fleet, const json_t *intent,
                     int64_t wall_ms, AqError *error);

/* State and resource use of a task, as the platform lists them; the listed use
 * may be older than the listed state.  The strings belong to the caller of
 * AqJobs_Report(). */
typedef struct {
    const char *id;     /* task name, "TEAM.JOB.TRY" */
    const char *worker; /* id of the VM that runs the task or last ran it */
    /* State of the task: "running", "checkpointed", "throttled", "stopped",
     * "finished", "failed" or "lapsed" (the task's lease expired). */
    const char *state;
    bool started;             /* false only if the task certainly never ran */
    int64_t cores_used_milli; /* thousandths of a core */
    int64_t memory_used_mb;
} AqTaskReport;

/* Applies a report on a task to the record of the task's job.  A report on an
 * earlier try of the job, or from a worker other than the one in the job's
 * record, has no effect. */
void AqJobs_Report(AqJobs *jobs, int64_t wall_ms, const AqTaskReport *report);

typedef enum {
    AQ_TASK_START,
    AQ_TASK_CHECKPOINT,
    AQ_TASK_THROTTLE,
    AQ_TASK_STOP,
    AQ_TASK_RENEW
} AqTaskAction;

/* Order to the platform about one task.  The cores, memory and accelerators
 * are those that are reserved for the task on its worker.  All pointers are
 * valid only during the call that passes the order. */
typedef struct {
    AqTaskAction action;
    const char *task; /* task name, "TEAM.JOB.TRY" */
    const char *worker;
    const json_t *job; /* record of the task's job in its team's document */
    int64_t cores;     /* whole cores reserved for the task, rounded up */
    int64_t memory_mb;
    int64_t accelerators;
} AqTaskOrder;

/* Decides which jobs to start, checkpoint and stop, and calls "order" for each
 * order that is due, renewals of task leases included.  A start is ordered
 * only after the document that records the start has been stored: one
 * AqJobs_Step() decides the start and leaves an unstored change to the team's
 * document, and a later AqJobs_Step() sends the START order. */
void AqJobs_Step(AqJobs *jobs, const AqFleet *fleet, int64_t wall_ms,
                 void (*order)(void *context, const AqTaskOrder *order),
                 void *context);
/* Applies the platform's reply to the START order of task "task".  "started":
 * the task runs on its worker; "refused": the worker has no room for the task.
 * Both are false after any other error; a later AqJobs_Step() then repeats the
 * order. */
void AqJobs_Started(AqJobs *jobs, int64_t wall_ms, const char *task,
                    bool started, bool refused);

/* Returns a new JSON array with an object for each unfinished job and for each
 * kept result of an ended job, for display to operators. */
json_t *AqJobs_Describe(const AqJobs *jobs);

/* Returns for how many tasks the planner remembers the times of its orders and
 * the resources that they used: those of unfinished jobs, and of some jobs
 * that have ended. */
size_t AqJobs_RememberedTasks(const AqJobs *jobs);
/* Whether each job's record in memory is valid and each team whose document
 * has unstored changes is marked as dirty, that is, found by
 * AqJobs_NextDirty().  Returns false and sets "error" otherwise.  Used by
 * tests only. */
bool AqJobs_CheckConsistency(const AqJobs *jobs, AqError *error);

#endif
