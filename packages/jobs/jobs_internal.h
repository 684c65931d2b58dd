#ifndef JOBS_INTERNAL_H
#define JOBS_INTERNAL_H

#include <glib.h>

#include "aq_jobs.h"

enum {
    JOBS_LEASE_MS = 10000,
    JOBS_RENEW_MS = 3000,
    JOBS_ORDER_RETRY_MS = 1000, /* until an order shows its effect */
    JOBS_CANCEL_BATCH = 256,    /* cancellations per step */
    JOBS_MAX_PER_TEAM = 2000,   /* about 300 bytes each; a value holds 1 MB */
    JOBS_MAX_RESULTS = 256,
    JOBS_MAX_TRIES = 3,
    JOBS_FLOOR_CORES_MILLI = 1000,
    JOBS_FLOOR_MEMORY_MB = 64,
    JOBS_MIN_SAMPLES = 3,
    JOBS_MAX_SAMPLES = 20,
    JOBS_BAD_WORKER_FAILURES = 3, /* of different jobs, in a row */
    JOBS_BAD_WORKER_MS = 10 * 60 * 1000
};

/* A document of one team: {"jobs": {ID: record}, "results": [record...],
 * "samples": {CLASS: [[cores_milli, memory_mb]...]}}. */
typedef struct {
    char *name;
    json_t *stored;  /* as in the store */
    json_t *working; /* with decided changes */
    uint64_t index;
    bool dirty;
} Team;

/* What is remembered of a task only while the process lives. */
typedef struct {
    int64_t last_order;   /* Unix ms of the last start, stop or checkpoint */
    int64_t last_renewal; /* Unix ms */
    int64_t cores_milli;  /* highest use reported */
    int64_t memory_mb;
} TaskRuntime;

/* Failures in a row on one worker. */
typedef struct {
    char *last_job; /* the job that failed last */
    int failures;   /* of different jobs */
    int64_t bad_until;
    bool trial; /* one task may run to test it */
} WorkerHealth;

struct AqJobs {
    GHashTable *teams;   /* name -> Team, owned */
    GHashTable *tasks;   /* task -> TaskRuntime, owned */
    GHashTable *workers; /* worker -> WorkerHealth, owned */
    uint32_t disabled;   /* AqJobsMechanism bits */
};

typedef struct {
    int64_t cores_milli;
    int64_t memory_mb;
    int64_t accelerators;
} Size;

/* ---- Teams and records (jobs.c) ------------------------------------------
 */

Team *jobs_find_team(const AqJobs *jobs, const char *name);
/* The jobs of a team's working document; borrowed. */
json_t *team_jobs(const Team *team);
const char *job_state(const json_t *job);
bool job_is(const json_t *job, const char *state);
int64_t job_int(const json_t *job, const char *field);
const char *job_text(const json_t *job, const char *field);
bool job_flag(const json_t *job, const char *field);
/* Changes the state and marks the team dirty. */
void job_set_state(Team *team, json_t *job, const char *state);
/* Ends a job: moves it to the results. */
void job_end(Team *team, const char *id, const char *state,
             const char *reason);
/* "TEAM.JOB.TRY".  A start that was refused and one that resumes after a
 * checkpoint keep the number, so that a delayed duplicate of the first order
 * meets the task of the later one and is refused by the platform.  New; freed
 * with g_free. */
char *task_name(const char *team, const char *id, const json_t *job);

TaskRuntime *jobs_task_runtime(AqJobs *jobs, const char *task);
WorkerHealth *jobs_worker_health(AqJobs *jobs, const char *worker);

/* ---- Sizes (estimate.c) ---------------------------------------------------
 */

Size size_declared(const json_t *job);
/* Learned size after three samples of the class, declared size before. */
Size size_estimate(const Team *team, const json_t *job);
void size_add_sample(Team *team, const json_t *job, const TaskRuntime *memory);
/* What was reserved when the task was started; the same in each repeat of the
 * order. */
Size size_reserved(const json_t *job);
void size_reserve(json_t *job, const Size *size);
bool size_fits(const Size *size, const Size *room);

/* ---- Placement (placement.c) ----------------------------------------------
 */

typedef struct Placement Placement;

/* Free room of all workers of the fleet that serve, less what tasks of all
 * teams use. */
Placement *placement_create(AqJobs *jobs, const AqFleet *fleet,
                            int64_t wall_ms);
void placement_destroy(Placement *placement);
/* Chooses the matching worker with the least free cores that suffices and
 * reserves the room; NULL when there is none.  Borrowed from the fleet. */
const char *placement_place(Placement *placement, const Size *size,
                            const json_t *selector);
/* Whether the quota of the team allows one more; reserves it. */
bool placement_take_quota(Placement *placement, const char *team,
                          const Size *size);
void placement_return_quota(Placement *placement, const char *team,
                            const Size *size);
/* Share of the quota in use, for the order of teams. */
double placement_share(const Placement *placement, const char *team);
/* Looks for a matching worker on which stopping ordinary idempotent tasks,
 * youngest first, makes room; marks those tasks to be checkpointed. */
bool placement_preempt(Placement *placement, const Size *size,
                       const json_t *selector);

/* Whether any worker could ever hold the job; the error names what stands in
 * the way. */
bool placement_is_possible(const AqFleet *fleet, const json_t *job,
                           AqError *error);
bool labels_match(const json_t *selector, const json_t *labels);

#endif
