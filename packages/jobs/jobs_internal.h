#ifndef JOBS_INTERNAL_H
#define JOBS_INTERNAL_H

#include <glib.h>

#include "aq_jobs.h"

enum {
    JOBS_LEASE_MS = 10000, /* length of a task's lease */
    JOBS_RENEW_INTERVAL_MS = 3000,
    /* Interval at which an order is repeated until the job's state shows its
     * effect. */
    JOBS_ORDER_RETRY_INTERVAL_MS = 1000,
    JOBS_CANCEL_BATCH_SIZE = 256, /* cancellations per step, all teams */
    /* Unfinished jobs.  A record takes about 300 bytes, and a value in the
     * store holds 1 MB. */
    JOBS_MAX_PER_TEAM = 2000,
    JOBS_MAX_RESULTS = 256, /* kept per team */
    JOBS_MAX_TRIES = 3, /* failure or expiry of the last one ends the job */
    JOBS_MIN_ESTIMATE_CORES_MILLI = 1000,
    JOBS_MIN_ESTIMATE_MEMORY_MB = 64,
    JOBS_MIN_SAMPLES = 3,  /* of a class, before its estimate is used */
    JOBS_MAX_SAMPLES = 20, /* latest ones kept per class */
    /* Consecutive failures on a worker after which it gets no tasks for
     * JOBS_BAD_WORKER_PAUSE_MS. */
    JOBS_BAD_WORKER_FAILURES = 3,
    JOBS_BAD_WORKER_PAUSE_MS = 10 * 60 * 1000
};

/* A team and its document: {"jobs": {ID: record}, "results": [record...],
 * "samples": {CLASS: [[cores_milli, memory_mb]...]}}. */
typedef struct {
    char *name;
    json_t *stored;  /* document as last read from the store */
    json_t *working; /* the same with the decided changes */
    uint64_t index;  /* store index of "stored"; 0: not in the store */
    bool dirty;      /* "working" has changes that are not stored */
} Team;

/* Data on a task that is kept in memory only and lost with the process. */
typedef struct {
    int64_t last_order_ms;    /* Unix ms of the last start, stop or checkpoint
                               * order */
    int64_t last_renewal_ms;  /* Unix ms of the last lease renewal order */
    int64_t peak_cores_milli; /* highest use reported so far */
    int64_t peak_memory_mb;
} TaskRuntime;

/* Failures on a worker since a task last finished there. */
typedef struct {
    char *last_failed_task;   /* name; repeated reports on it count once */
    int consecutive_failures; /* of different tasks */
    int64_t bad_until_ms;     /* Unix ms; no tasks before that time */
    /* A task was placed after that time, to test the worker; no other task is
     * placed until it has failed or finished. */
    bool is_on_trial;
} WorkerHealth;

struct AqJobs {
    GHashTable *teams;   /* name -> Team, owned */
    GHashTable *tasks;   /* task -> TaskRuntime, owned */
    GHashTable *workers; /* worker -> WorkerHealth, owned */
    uint32_t disabled;   /* AQ_JOBS_DISABLE_* bits */
};

/* Resources of a task, a worker or a quota. */
typedef struct {
    int64_t cores_milli; /* thousandths of a core */
    int64_t memory_mb;
    int64_t accelerators;
} Size;

/* ---- Teams and records (jobs.c) ------------------------------------------
 */

/* Returns a team, borrowed, or NULL if no document of it was loaded. */
Team *jobs_find_team(const AqJobs *jobs, const char *name);
/* Returns the unfinished jobs in a team's working document, an object from id
 * to record.  Borrowed. */
json_t *team_jobs(const Team *team);
const char *job_state(const json_t *job);
/* Whether the job is in "state". */
bool job_is(const json_t *job, const char *state);
/* Fields of a record; an absent field reads as 0, "" or false. */
int64_t job_int(const json_t *job, const char *field);
const char *job_text(const json_t *job, const char *field);
bool job_flag(const json_t *job, const char *field);
/* Changes the job's state and marks the team dirty. */
void job_set_state(Team *team, json_t *job, const char *state);
/* Ends a job: removes its record and appends a result with the final state and
 * the reason for it; "" for none.  Only the last JOBS_MAX_RESULTS results of
 * the team are kept. */
void job_end(Team *team, const char *id, const char *state,
             const char *reason);
/* Returns the name of a job's current task, "TEAM.JOB.TRY"; freed with g_free.
 * A start after a refused one and a start that resumes from a checkpoint keep
 * the number of the try, so that a delayed duplicate of the earlier order
 * finds the task of the later one and is refused by the platform. */
char *task_name(const char *team, const char *id, const json_t *job);

/* Both return the entry of that name, which they add if there is none.
 * Borrowed. */
TaskRuntime *jobs_task_runtime(AqJobs *jobs, const char *task);
WorkerHealth *jobs_worker_health(AqJobs *jobs, const char *worker);

/* ---- Sizes (estimate.c) ---------------------------------------------------
 */

/* The size that was given in job.submit. */
Size size_declared(const json_t *job);
/* Returns the size to reserve for a job: estimated from the samples of its
 * class, or the declared size while there are fewer than JOBS_MIN_SAMPLES. */
Size size_estimate(const Team *team, const json_t *job);
/* Adds the highest use of a finished task to the samples of its job's class.
 */
void size_add_sample(Team *team, const json_t *job,
                     const TaskRuntime *runtime);
/* Returns the size that was reserved when the start was decided.  It is stored
 * in the record, so that every repeat of the order carries the same size. */
Size size_reserved(const json_t *job);
/* Stores "size" in the record as the reserved size. */
void size_reserve(json_t *job, const Size *size);
/* Whether "size" fits into the free resources "room". */
bool size_fits(const Size *size, const Size *room);

/* ---- Placement (placement.c) ----------------------------------------------
 */

/* Free resources of the workers and used quotas of the teams in one step. */
typedef struct Placement Placement;

/* Computes the free resources of all workers in the fleet, less what the tasks
 * of all teams have reserved.  Only workers that serve and aren't marked as
 * bad accept new tasks.  "wall_ms" is the current Unix time in ms. */
Placement *placement_create(AqJobs *jobs, const AqFleet *fleet,
                            int64_t wall_ms);
void placement_destroy(Placement *placement);
/* Selects the worker with the fewest free cores among those that match the
 * selector and have room for "size", and reserves the room (best fit).
 * Returns its id, borrowed from the fleet, or NULL if there is none. */
const char *placement_place(Placement *placement, const Size *size,
                            const json_t *selector);
/* Reserves "size" in the team's quota.  Returns false and reserves nothing if
 * the rest of the quota doesn't suffice. */
bool placement_reserve_quota(Placement *placement, const char *team,
                             const Size *size);
/* Undoes placement_reserve_quota(). */
void placement_release_quota(Placement *placement, const char *team,
                             const Size *size);
/* Returns the used fraction of the team's core quota.  Teams with a smaller
 * fraction are served first. */
double placement_quota_share(const Placement *placement, const char *team);
/* Selects the matching worker on which the fewest non-urgent idempotent tasks,
 * youngest first, must stop to make room for "size".  Sets their jobs to
 * checkpointing and reserves the room for the rest of the step.  Returns
 * false if there is no such worker. */
bool placement_preempt(Placement *placement, const Size *size,
                       const json_t *selector);

/* Whether any worker could hold the job's declared size when idle.  If none
 * could, the error names the label or size that prevents it. */
bool placement_is_possible(const AqFleet *fleet, const json_t *job,
                           AqError *error);
/* Whether "labels" has every label of the selector with the same value. */
bool labels_match(const json_t *selector, const json_t *labels);

#endif
