#ifndef FAKE_H
#define FAKE_H

#include <glib.h>
#include <stdbool.h>

#include "aq_fleet.h"
#include "aq_jobs.h"
#include "aq_random.h"

/* A fake store for the documents of teams and a fake platform that runs tasks,
 * both in virtual time. */

/* Document of one team in the store. */
typedef struct {
    char *text;
    uint64_t index; /* store index of the last write */
} FakeValue;

/* Task on the platform. */
typedef struct {
    char *id; /* TEAM.JOB.TRY */
    char *worker;
    char *job; /* TEAM.JOB */
    const char *state;
    bool started;
    int64_t lease_until_ms; /* virtual time */
    int64_t finish_at_ms;
    int64_t cores; /* reserved; whole cores */
    int64_t memory_mb;
    int64_t cores_used_milli;
} FakeTask;

typedef struct {
    GHashTable *values;      /* team -> FakeValue, owned */
    uint64_t index;          /* store index of the latest write */
    GHashTable *tasks;       /* task id -> FakeTask, owned */
    GHashTable *run_counts;  /* TEAM.JOB -> tasks that were started for it */
    GHashTable *bad_workers; /* set of workers on which every task fails */
    AqFleet *fleet;
    AqRandom random;
    int64_t now_ms;         /* virtual time */
    int64_t run_ms;         /* time that a task takes */
    int cpu_use_percent;    /* cores that a task uses, of the declared ones */
    int reply_loss_percent; /* calls that take effect but lose their reply */
    int starts_on_bad;      /* tasks started on bad workers */
    int64_t most_used_cores_milli; /* highest use on one worker */
} Fake;

void fake_init(Fake *fake, uint64_t seed);
void fake_clear(Fake *fake);

/* Adds a VM in state serving to the fleet.  "labels" is a JSON object; the VM
 * has 1024 MB of memory for each core. */
void fake_add_worker(Fake *fake, const char *id, const char *labels,
                     int cores);
/* Adds a team whose quota is "cores" and 1024 MB of memory for each core. */
void fake_add_team(Fake *fake, const char *name, int cores);

/* Evaluates an intent with a new operation id and writes the result,
 * repeatedly until it is in the store or refused.  "args" is a JSON object.
 * Returns whether it was accepted; "error" may be NULL. */
bool fake_submit(Fake *fake, AqJobs *jobs, const char *kind, const char *args,
                 AqError *error);

/* Loads all documents from the store into "jobs". */
void fake_load(Fake *fake, AqJobs *jobs);
/* Writes all decided changes to the store.  They are rolled back in "jobs" if
 * the write conflicts or its reply is lost. */
void fake_store(Fake *fake, AqJobs *jobs);
/* Runs one round of a planner: loads the documents, reports all tasks, runs a
 * step and stores the changes. */
void fake_round(Fake *fake, AqJobs *jobs);
/* Advances virtual time; tasks finish, or lapse if the lease expires first. */
void fake_advance(Fake *fake, int64_t ms);

/* Returns how many tasks were started for "job", which is TEAM.JOB. */
int fake_runs(const Fake *fake, const char *job);
/* Returns the number of jobs and results in a state, over all teams. */
int fake_count(AqJobs *jobs, const char *state);

#endif
