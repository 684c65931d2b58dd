#ifndef FAKE_H
#define FAKE_H

#include <glib.h>
#include <stdbool.h>

#include "aq_fleet.h"
#include "aq_jobs.h"
#include "aq_random.h"

/* A fake store for the documents of teams and a fake platform that runs tasks,
 * both in virtual time. */

/* Document of one team in the fake store. */
typedef struct {
    char *text;
    uint64_t store_revision; /* revision of the last write of this document */
} FakeValue;

/* A task on the fake platform. */
typedef struct {
    char *id; /* task name, TEAM.JOB.TRY */
    char *worker;
    char *job; /* the job that the task runs, TEAM.JOB */
    const char *state;
    bool started;
    /* Virtual time at which the task's lease expires. */
    int64_t lease_until_ms;
    int64_t finish_at_ms;
    int64_t cores; /* whole cores reserved for the task */
    int64_t memory_mb;
    int64_t cores_used_milli;
} FakeTask;

typedef struct {
    GHashTable *values;      /* team name -> FakeValue, owned */
    uint64_t store_revision; /* revision of the latest write of any document */
    GHashTable *tasks;       /* task name -> FakeTask, owned */
    /* TEAM.JOB -> number of tasks started for that job. */
    GHashTable *run_counts;
    /* Set of the ids of workers on which every task fails. */
    GHashTable *bad_workers;
    AqFleet *fleet;
    AqRandom random;
    int64_t now_ms; /* current virtual time */
    int64_t run_ms; /* virtual time that a task takes to finish */
    /* Cores that a task uses, in percent of the cores that its job declares.
     */
    int cpu_use_percent;
    /* Percentage of store writes and START orders that take effect but whose
     * reply is lost. */
    int reply_loss_percent;
    /* Number of task starts on workers in "bad_workers". */
    int starts_on_bad;
    int64_t most_used_cores_milli; /* no code sets or reads this field */
} Fake;

void fake_init(Fake *fake, uint64_t seed);
void fake_clear(Fake *fake);

/* Adds a VM in state serving to the fleet.  "labels" is a JSON object; the VM
 * has 1024 MB of memory for each core. */
void fake_add_worker(Fake *fake, const char *id, const char *labels,
                     int cores);
/* Adds a team whose quota is "cores" and 1024 MB of memory for each core. */
void fake_add_team(Fake *fake, const char *name, int cores);

/* Evaluates an operator's requested change of kind "kind" (an intent) with a
 * new operation id and writes the changed document to the fake store,
 * repeatedly until the store has the change or the intent is refused.  "args"
 * is the text of a JSON object.  Returns whether the intent was accepted;
 * "error" may be NULL. */
bool fake_submit(Fake *fake, AqJobs *jobs, const char *kind, const char *args,
                 AqError *error);

/* Loads the documents of all teams from the fake store into "jobs". */
void fake_load(Fake *fake, AqJobs *jobs);
/* Writes each document that has changes in "jobs" which aren't stored yet to
 * the fake store.  The changes to a document are rolled back in "jobs" if the
 * write of that document conflicts with an earlier write or its reply is
 * lost. */
void fake_store(Fake *fake, AqJobs *jobs);
/* Runs one round of the planner "jobs": loads all documents from the fake
 * store, reports all tasks of the fake platform, runs AqJobs_Step(), executes
 * the orders from that call and stores the changes. */
void fake_round(Fake *fake, AqJobs *jobs);
/* Advances virtual time by "ms".  Each running task that is due to finish by
 * the new time finishes; a task whose lease expires first gets state lapsed.
 */
void fake_advance(Fake *fake, int64_t ms);

/* Returns how many tasks were started for "job", which is TEAM.JOB. */
int fake_runs(const Fake *fake, const char *job);
/* Returns how many unfinished jobs and kept results of ended jobs, over all
 * teams, are in state "state". */
int fake_count(AqJobs *jobs, const char *state);

#endif
