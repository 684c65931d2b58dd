#ifndef AQ_SCHEDULER_H
#define AQ_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_job_spec.h"
#include "aq_site_config.h"
#include "aq_worker_client.h"

/* Scheduler of a pool, run by the pool's single owner.  It decides which task
 * runs on which VM, when it is restarted, and what must be stored before a VM
 * may forget the end of a run.  It does no I/O and reads no clock: replies and
 * times are passed in, orders are emitted through AqSchedulerActions.
 *
 * Invariants (see AqScheduler_CheckConsistency):
 * - a task has at most one run that may be alive, unless its step allows
 *   copies; the next run starts only after the last one has ended, its stop is
 *   confirmed, or its lease has expired on the VM's own clock, which may be 2%
 *   slow;
 * - a run's number is above those of all earlier runs, across all owners;
 * - an end is confirmed to its VM only after the job's record is stored.
 *
 * A new owner reads from the stored list of used VMs which VMs earlier owners
 * used.  It starts nothing that an earlier owner may have started until each
 * of these VMs has replied under the new fence or its leases must have
 * expired. */

typedef struct AqScheduler AqScheduler;

typedef enum {
    AQ_STAGE_WAITING, /* accepted, no task has started */
    AQ_STAGE_RUNNING,
    AQ_STAGE_COMPLETED,
    AQ_STAGE_FAILED,
    AQ_STAGE_CANCELLED
} AqJobStage;

/* Static storage. */
const char *AqJobStage_Name(AqJobStage stage);

typedef struct {
    char pool[64];
    uint64_t fence;     /* fencing number of this owner; above all earlier */
    int64_t generation; /* number of owners before this one */
    AqTime lease_ms;    /* lease that each order grants to a VM */
    /* How long after the creation an earlier owner may still send orders;
     * 0: it is known to have ended. */
    AqTime earlier_owner_ms;
} AqSchedulerConfig;

/* Calls by which the scheduler sends its orders.  The caller reports the reply
 * to each with the AqScheduler_On* function of that order; "pace" has none. */
typedef struct {
    void (*start)(void *context, const AqOrderTarget *target,
                  const AqStartOrder *order);
    void (*stop)(void *context, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run);
    void (*renew)(void *context, const AqOrderTarget *target,
                  const AqRenewalOrder *order);
    void (*pace)(void *context, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, int percent);
    void (*request_tickets)(void *context, const AqTaskName *step,
                            const char *const *vms, size_t count);
    /* A VM replied that it has orders with a higher fence. */
    void (*superseded)(void *context);
} AqSchedulerActions;

AqScheduler *AqScheduler_Create(const AqSchedulerConfig *config,
                                const AqSchedulerActions *actions,
                                void *context, AqTime now);
void AqScheduler_Destroy(AqScheduler *scheduler);

/* Sets the site configuration, which is borrowed until the next call.  "site"
 * must not be NULL. */
void AqScheduler_SetSite(AqScheduler *scheduler, const AqSiteConfig *site);

/* Adds a job and takes over what *spec owns.  "record" is its stored progress,
 * or NULL.  A job that was added before stays unchanged.  False with
 * AQ_ERR_INVALID when the record is damaged. */
bool AqScheduler_AddJob(AqScheduler *scheduler, AqJobSpec *spec,
                        const char *record, size_t size, AqTime now,
                        AqError *error);
void AqScheduler_CancelJob(AqScheduler *scheduler, const char *id, AqTime now);
/* Removes a finished job whose record is stored; otherwise has no effect. */
void AqScheduler_RemoveJob(AqScheduler *scheduler, const char *id);
/* Sets *stage; of a finished job to the stored stage.  False when the job is
 * not known. */
bool AqScheduler_GetStage(const AqScheduler *scheduler, const char *id,
                          AqJobStage *stage);
/* Reads the stage from a stored record; AQ_ERR_INVALID when it is damaged. */
bool AqScheduler_ReadStage(const char *record, size_t size, AqJobStage *stage,
                           AqError *error);
/* Number of jobs of the queue, recurring ones excluded, of which no task has
 * started. */
size_t AqScheduler_CountWaiting(const AqScheduler *scheduler,
                                const char *queue);

/* ---- VMs ---------------------------------------------------------------- */

/* Adds a VM or updates its report; the store has an entry of it. */
void AqScheduler_SetVm(AqScheduler *scheduler, const AqVmReport *report,
                       AqTime now);
/* Records that the VM's entry in the store has disappeared. */
void AqScheduler_VmUnlisted(AqScheduler *scheduler, const char *id,
                            AqTime now);
/* Records that an order took the VM down or to another pool, so that all runs
 * there have ended.  The VM is used again if it replies later. */
void AqScheduler_VmEnded(AqScheduler *scheduler, const char *id, AqTime now);
/* A cordoned VM gets no new tasks; its perpetual tasks move to other VMs as
 * far as their steps' limits on missing tasks allow. */
void AqScheduler_SetCordon(AqScheduler *scheduler, const char *id,
                           bool is_cordoned);
/* Stops the tasks on the VM, except perpetual ones, so that they start
 * elsewhere from their last checkpoint. */
void AqScheduler_StopTasks(AqScheduler *scheduler, const char *id, AqTime now);
/* Whether no run is starting, running or stopping on the VM and all ends of
 * its runs are stored, so that it may be moved, rebooted or switched off. */
bool AqScheduler_IsIdle(const AqScheduler *scheduler, const char *id);

typedef struct {
    const char *vm;         /* borrowed */
    const char *machine;    /* borrowed */
    bool is_usable;         /* tasks may be started on it */
    bool is_answering;      /* it replies to this owner's orders */
    size_t tasks;           /* running, starting and stopping */
    size_t perpetual_tasks; /* part of "tasks" */
    int64_t cpu_millis;
    AqTime idle_since; /* when the last task ended; AQ_TIME_NEVER: not idle */
    /* Since when a VM that may have orders has not replied; AQ_TIME_NEVER for
     * one that replies or is known to have ended. */
    AqTime silent_since;
} AqScheduledVm;

/* Calls "visit" for each VM. */
void AqScheduler_EachVm(const AqScheduler *scheduler,
                        void (*visit)(void *context,
                                      const AqScheduledVm *view),
                        void *context);

/* Stops sending orders, for a hand-over.  The list of used VMs then has only
 * the VMs that have runs or come from an earlier owner's list, each with its
 * runs, so that the next owner waits for no other VM. */
void AqScheduler_Close(AqScheduler *scheduler);

/* The list of used VMs: those that may have received orders.  A VM gets its
 * first task only after a version of the list that includes it is stored and
 * reported by AqScheduler_UsedVmsSaved. */
uint64_t AqScheduler_UsedVmsVersion(const AqScheduler *scheduler);
void AqScheduler_EncodeUsedVms(const AqScheduler *scheduler, AqBuffer *out);
void AqScheduler_UsedVmsSaved(AqScheduler *scheduler, uint64_t version);
/* Adds the VMs of a stored list of used VMs; false when it is damaged. */
bool AqScheduler_AddUsedVms(AqScheduler *scheduler, const char *bytes,
                            size_t size, AqTime now);

/* Reports that all stored used VMs and jobs have been added.  No task starts
 * before this call. */
void AqScheduler_SetLoaded(AqScheduler *scheduler);

/* ---- Replies ------------------------------------------------------------ */

void AqScheduler_OnStart(AqScheduler *scheduler, const char *id,
                         const AqTaskName *name, int64_t run,
                         const AqOrderReply *reply, AqTime now);
void AqScheduler_OnStop(AqScheduler *scheduler, const char *id,
                        const AqTaskName *name, int64_t run,
                        const AqOrderReply *reply, AqTime now);
/* "sent_at" is the scheduler's time when the renewal was sent. */
void AqScheduler_OnRenewal(AqScheduler *scheduler, const char *id,
                           AqTime sent_at, const AqOrderReply *reply,
                           AqTime now);
/* Adds a ticket for the step on one VM, valid for "valid_ms" from now.
 * AqScheduler_OnTicketsEnd ends the request; "is_answered" says whether the
 * advice service responded. */
void AqScheduler_OnTicket(AqScheduler *scheduler, const AqTaskName *name,
                          const char *vm, const char *ticket, AqTime valid_ms,
                          AqTime now);
void AqScheduler_OnTicketsEnd(AqScheduler *scheduler, const AqTaskName *name,
                              bool is_answered, AqTime now);

/* ---- Durability --------------------------------------------------------- */

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    AqBuffer record; /* owned; cleared by AqScheduler_EndSave */
    AqJobStage stage;
} AqJobSave;

/* Fills "saves" with up to "most" records of changed jobs, oldest change
 * first, and returns how many.  Returns 0 while a save is under way. */
size_t AqScheduler_BeginSave(AqScheduler *scheduler, AqJobSave *saves,
                             size_t most);
void AqScheduler_EndSave(AqScheduler *scheduler, AqJobSave *saves,
                         size_t count, bool is_stored, AqTime now);
/* Whether a changed record is not stored yet. */
bool AqScheduler_HasUnsaved(const AqScheduler *scheduler);

/* ---- Time --------------------------------------------------------------- */

/* Sends the orders that are due.  "wall" is Unix ms.  While "may_order" is
 * false no order is sent, since another owner may exist.  Returns the latest
 * time for the next call. */
AqTime AqScheduler_Tick(AqScheduler *scheduler, AqTime now, int64_t wall,
                        bool may_order);

typedef struct {
    int64_t ready_cpu_millis;     /* needed by the ready tasks */
    int64_t used_cpu_millis;      /* taken by tasks on all VMs */
    int64_t perpetual_cpu_millis; /* part of used_cpu_millis */
    int64_t capacity_cpu_millis;  /* total of the usable VMs */
    /* Needed if work keeps being submitted at the recent rate. */
    int64_t offered_cpu_millis;
    size_t ready_tasks;
    size_t jobs;            /* unfinished ones */
    AqTime longest_wait_ms; /* longest time that a task has been ready */
    size_t widest_spread;   /* most VMs that one perpetual step needs for its
                             * limit of tasks per VM */
    bool is_recovered;      /* no run of an earlier owner can be unknown */
} AqSchedulerLoad;

void AqScheduler_GetLoad(AqScheduler *scheduler, AqTime now,
                         AqSchedulerLoad *load);

/* Counters since the creation. */
typedef struct {
    uint64_t starts;         /* confirmed by the VM */
    uint64_t starts_refused; /* start orders refused or not sent */
    uint64_t done;           /* tasks */
    uint64_t failed;         /* runs */
    uint64_t lost;    /* runs that ended with their VM, lease or gang, or are
                       * no longer listed */
    uint64_t stalled; /* runs stopped because they made no progress */
    uint64_t copied;  /* tasks requeued while their run on a silent VM may
                       * continue */
    uint64_t paced;   /* changes of a filler's pace */
} AqSchedulerCounters;

const AqSchedulerCounters *AqScheduler_Counters(const AqScheduler *scheduler);

/* Checks the counts and states of tasks and VMs; false with an error when one
 * is inconsistent.  For tests. */
bool AqScheduler_CheckConsistency(const AqScheduler *scheduler,
                                  AqError *error);

#endif
