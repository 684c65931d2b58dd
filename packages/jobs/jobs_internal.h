#ifndef JOBS_INTERNAL_H
#define JOBS_INTERNAL_H

#include <glib.h>

#include "aq_jobs.h"

enum {
    /* Length of a task's lease.  No code reads this constant: the daemon's
     * task client, which sends the orders to the platform, has a constant of
     * its own. */
    JOBS_LEASE_MS = 10000,
    JOBS_RENEW_INTERVAL_MS = 3000,
    /* Interval at which a start, checkpoint or stop order for a task is
     * repeated until the state of the task's job shows the order's effect. */
    JOBS_ORDER_RETRY_INTERVAL_MS = 1000,
    /* Most job cancellations that one AqJobs_Step() applies over all teams;
     * later calls apply the rest. */
    JOBS_CANCEL_BATCH_SIZE = 256,
    /* Most unfinished jobs of a team; further submissions are refused.  A
     * job's record takes about 300 bytes, and a value in the store holds at
     * most 1 MB. */
    JOBS_MAX_PER_TEAM = 2000,
    /* Most results of ended jobs that are kept per team; older results are
     * dropped. */
    JOBS_MAX_RESULTS = 256,
    /* Most tries of a job.  If the task of the last try fails or that task's
     * lease expires, the job ends in state failed. */
    JOBS_MAX_TRIES = 3,
    /* Fewest TaskRuntime entries of ended tasks that are removed at once; with
     * fewer, each removal would visit all entries for little memory. */
    JOBS_PRUNE_TASKS = 64,
    JOBS_MIN_ESTIMATE_CORES_MILLI = 1000,
    JOBS_MIN_ESTIMATE_MEMORY_MB = 64,
    /* Fewest samples needed to estimate the size to reserve for a team's jobs
     * that declare the same size; with fewer samples, the declared size is
     * reserved.  A sample is the most cores and memory that one finished task
     * of these jobs was reported to use. */
    JOBS_MIN_SAMPLES = 3,
    /* Most samples that are kept for a team's jobs that declare the same size;
     * older samples are dropped.  A sample is the most cores and memory that
     * one finished task of these jobs was reported to use. */
    JOBS_MAX_SAMPLES = 20,
    /* Number of consecutive failures of tasks on a worker after which that
     * worker gets no tasks for JOBS_BAD_WORKER_PAUSE_MS. */
    JOBS_BAD_WORKER_FAILURES = 3,
    JOBS_BAD_WORKER_PAUSE_MS = 10 * 60 * 1000
};

/* A team and its document: {"jobs": {ID: record of an unfinished job},
 * "results": [result of an ended job...], "samples": {CLASS: [[cores_milli,
 * memory_mb]...]}}.  A sample is the most cores and memory that one finished
 * task was reported to use, and CLASS names all jobs of the team that declare
 * the same size. */
typedef struct {
    char *name;
    /* The team's document as last read from or written to the store. */
    json_t *stored;
    /* The team's document with all changes made to it in memory, stored or not
     * stored yet. */
    json_t *working;
    /* Store revision of the document "stored"; 0: the store has no document of
     * this team. */
    uint64_t store_revision;
    /* The document "working" has changes that aren't in the store yet. */
    bool dirty;
} Team;

/* Times of the last orders for one task, and the most cores and memory that
 * the task was reported to use.  The data is kept in memory only and lost when
 * the process ends. */
typedef struct {
    /* Unix ms at which the last start, stop or checkpoint order for this task
     * was sent. */
    int64_t last_order_ms;
    /* Unix ms at which the last order to renew this task's lease was sent. */
    int64_t last_renewal_ms;
    /* Most cores that this task was reported to use, in thousandths of a core.
     */
    int64_t peak_cores_milli;
    int64_t peak_memory_mb;
} TaskRuntime;

/* Failures of tasks on one worker since a task last finished on that worker.
 */
typedef struct {
    /* Name of the task that failed last on this worker; repeated reports of
     * that failure count once. */
    char *last_failed_task;
    /* Number of tasks that failed on this worker since a task last finished on
     * this worker. */
    int consecutive_failures;
    int64_t bad_until_ms; /* Unix ms before which this worker gets no tasks */
    /* A task was placed on this worker after "bad_until_ms", to test the
     * worker; no other task is placed on the worker until that task has failed
     * or finished. */
    bool is_on_trial;
} WorkerHealth;

struct AqJobs {
    GHashTable *teams;   /* team name -> Team, owned */
    GHashTable *tasks;   /* task name -> TaskRuntime, owned */
    GHashTable *workers; /* worker id -> WorkerHealth, owned */
    /* Size of "tasks" at which the entries of tasks that have ended are
     * removed next. */
    guint prune_tasks_at;
    uint32_t disabled; /* AQ_JOBS_DISABLE_* bits of the disabled mechanisms */
};

/* Amounts of the resources of a task, a worker or a team's quota. */
typedef struct {
    int64_t cores_milli; /* thousandths of a core */
    int64_t memory_mb;
    int64_t accelerators;
} Size;

/* ---- Teams and records (jobs.c) ------------------------------------------
 */

/* Returns team "name", borrowed from "jobs", or NULL if no document of that
 * team was loaded. */
Team *jobs_find_team(const AqJobs *jobs, const char *name);
/* Returns the unfinished jobs in the team's document, with all changes that
 * are stored or not stored yet: an object from job id to job record, borrowed
 * from "team". */
json_t *team_jobs(const Team *team);
const char *job_state(const json_t *job);
/* Whether the state in the job's record is "state". */
bool job_is(const json_t *job, const char *state);
/* job_int(), job_text() and job_flag() return the value of a field of a job's
 * record; an absent field reads as 0, "" or false. */
int64_t job_int(const json_t *job, const char *field);
const char *job_text(const json_t *job, const char *field);
bool job_flag(const json_t *job, const char *field);
/* Sets the state in the job's record to "state", and marks the team's document
 * as having changes that aren't stored yet (dirty). */
void job_set_state(Team *team, json_t *job, const char *state);
/* Ends job "id" of the team: removes the job's record, and appends a result
 * with the final state and the reason for that state ("": no reason).  Only
 * the last JOBS_MAX_RESULTS results of the team are kept. */
void job_end(Team *team, const char *id, const char *state,
             const char *reason);
/* Returns the name of the job's current task, "TEAM.JOB.TRY", which the caller
 * frees with g_free.  A start after a refused start and a start that resumes
 * from a checkpoint keep the number of the try.  A duplicate of the earlier
 * START order that arrives after the later START order therefore names a task
 * that the platform has already, and the platform refuses the duplicate. */
char *task_name(const char *team, const char *id, const json_t *job);

/* jobs_task_runtime() returns the times of the last orders for task "task" and
 * the most cores and memory that the task was reported to use, and
 * jobs_worker_health() returns the failures of tasks on worker "worker".  Both
 * results are borrowed from "jobs"; if "jobs" has none for that task or worker
 * yet, one with all fields 0 is added. */
TaskRuntime *jobs_task_runtime(AqJobs *jobs, const char *task);
WorkerHealth *jobs_worker_health(AqJobs *jobs, const char *worker);

/* ---- Sizes (estimate.c) ---------------------------------------------------
 */

/* Returns the size that the job.submit request of the job declared. */
Size size_declared(const json_t *job);
/* Returns the size to reserve for the job's task.  Cores and memory are
 * estimated from what finished tasks of the team's jobs that declare the same
 * size used (samples); with fewer than JOBS_MIN_SAMPLES samples, the cores and
 * memory are as declared. */
Size size_estimate(const Team *team, const json_t *job);
/* Adds the most cores and memory that a finished task of the job was reported
 * to use, read from "runtime", to the samples of the team's jobs that declare
 * the same size as the job.  Adds nothing if no use of the task was
 * reported. */
void size_add_sample(Team *team, const json_t *job,
                     const TaskRuntime *runtime);
/* Returns the size that was reserved for the job's task when the start of that
 * task was decided.  The size is stored in the job's record, so that every
 * repeat of the START order carries the same size. */
Size size_reserved(const json_t *job);
/* Stores "size" in the job's record as the size reserved for the job's task.
 */
void size_reserve(json_t *job, const Size *size);
/* Whether "size" is at most "room" in cores, memory and accelerators. */
bool size_fits(const Size *size, const Size *room);

/* ---- Placement (placement.c) ----------------------------------------------
 */

/* Free resources of the workers and used quotas of the teams during one
 * AqJobs_Step(). */
typedef struct Placement Placement;

/* Computes, for each worker in the fleet, the worker's resources less what
 * tasks have reserved on that worker and, for each team, the used quota.  Only
 * workers in state serving on which tasks haven't failed repeatedly accept new
 * tasks.  "wall_ms" is the current Unix time in ms. */
Placement *placement_create(AqJobs *jobs, const AqFleet *fleet,
                            int64_t wall_ms);
void placement_destroy(Placement *placement);
/* Selects the worker with the fewest free cores (best fit) among the workers
 * that accept tasks, match the selector and have room for "size", and reserves
 * "size" on that worker.  Returns the worker's id, borrowed from the fleet, or
 * NULL if there is no such worker. */
const char *placement_place(Placement *placement, const Size *size,
                            const json_t *selector);
/* Reserves "size" in the team's quota.  Returns false and reserves nothing if
 * the unused part of the quota is smaller than "size". */
bool placement_reserve_quota(Placement *placement, const char *team,
                             const Size *size);
/* Undoes a placement_reserve_quota() of the same team and size. */
void placement_release_quota(Placement *placement, const char *team,
                             const Size *size);
/* Returns the fraction of the team's core quota that the team's tasks have
 * reserved.  Jobs of teams with a smaller fraction are started first. */
double placement_quota_share(const Placement *placement, const char *team);
/* Makes room for an urgent job of size "size".  Selects, among the workers
 * that accept tasks and match the selector, the worker on which the fewest
 * non-urgent idempotent tasks must stop; on each worker, tasks that started
 * later are stopped before tasks that started earlier.  Sets the jobs of those
 * tasks to state checkpointing, and reserves "size" on the worker for the rest
 * of this AqJobs_Step().  Returns false if stopping such tasks makes enough
 * room on no worker. */
bool placement_preempt(Placement *placement, const Size *size,
                       const json_t *selector);

/* Whether some worker in "fleet" matches the job's selector and has in total,
 * free or reserved, the resources that the job declares.  If there is no such
 * worker, "error" names the label or size that prevents the job. */
bool placement_is_possible(const AqFleet *fleet, const json_t *job,
                           AqError *error);
/* Whether the labels of a worker, "labels", include every label of the job's
 * selector with the same value. */
bool labels_match(const json_t *selector, const json_t *labels);

#endif
