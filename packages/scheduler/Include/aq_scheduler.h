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

/* Decisions of the one owner of a pool: which task runs on which VM, when it
 * is started again, and what has to be stored before a VM may forget an end.
 * No I/O and no clock: replies and times come in, orders go out.
 *
 * What holds at all times (AqScheduler_CheckConsistency):
 * - a task has at most one run that may be alive; the next one starts only
 *   when the last has ended, was stopped for good, or its lease has lapsed on
 *   the VM's own clock, which may be 2% slow;
 * - a run's number is above all earlier ones, over all owners;
 * - an end is confirmed to its VM only when the job's record is stored.
 *
 * A new owner knows from the stored list of used VMs which ones earlier owners
 * used.  Until each of them has answered under the new fence, or its leases
 * must have lapsed, nothing is started. */

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
    uint64_t fence;     /* of this ownership; above all earlier ones */
    int64_t generation; /* owners before this one */
    AqTime lease_ms;    /* of each order to a VM */
    /* An earlier owner may give orders until so long after the creation;
     * 0: it is known to have ended. */
    AqTime earlier_owner_ms;
} AqSchedulerConfig;

/* What the scheduler wants done.  Orders come back by AqScheduler_On*. */
typedef struct {
    void (*start)(void *context, const AqOrderTarget *target,
                  const AqStartOrder *order);
    void (*stop)(void *context, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run);
    void (*hold)(void *context, const AqOrderTarget *target,
                 const AqHoldOrder *order);
    void (*pace)(void *context, const AqOrderTarget *target,
                 const AqTaskName *task, int64_t run, int percent);
    void (*request_tickets)(void *context, const AqTaskName *step,
                            const char *const *vms, size_t count);
    /* A VM answered that a later owner gives orders. */
    void (*superseded)(void *context);
} AqSchedulerActions;

AqScheduler *AqScheduler_Create(const AqSchedulerConfig *config,
                                const AqSchedulerActions *actions,
                                void *context, AqTime now);
void AqScheduler_Destroy(AqScheduler *scheduler);

/* Borrowed until the next call; NULL is not allowed. */
void AqScheduler_SetSite(AqScheduler *scheduler, const AqSiteConfig *site);

/* Adds a job, which takes what *spec owns.  "record" is its stored progress,
 * or NULL.  A known job is left as it is. */
bool AqScheduler_AddJob(AqScheduler *scheduler, AqJobSpec *spec,
                        const char *record, size_t size, AqTime now,
                        AqError *error);
void AqScheduler_CancelJob(AqScheduler *scheduler, const char *id, AqTime now);
/* Forgets a finished job. */
void AqScheduler_RemoveJob(AqScheduler *scheduler, const char *id);
/* Whether the job is known; its stage as stored. */
bool AqScheduler_GetStage(const AqScheduler *scheduler, const char *id,
                          AqJobStage *stage);
/* The stage in a stored record; AQ_ERR_INVALID when it is damaged. */
bool AqScheduler_ReadStage(const char *record, size_t size, AqJobStage *stage,
                           AqError *error);
/* Plain jobs of a queue whose first task has not started. */
size_t AqScheduler_Waiting(const AqScheduler *scheduler, const char *queue);

/* ---- VMs ---------------------------------------------------------------- */

void AqScheduler_SetVm(AqScheduler *scheduler, const AqVmReport *report,
                       AqTime now);
/* The store has no entry of the VM any more. */
void AqScheduler_VmUnlisted(AqScheduler *scheduler, const char *id,
                            AqTime now);
/* The VM has gone down or to another pool by an order: all that ran there has
 * ended.  One that answers again is taken back. */
void AqScheduler_VmEnded(AqScheduler *scheduler, const char *id, AqTime now);
/* No new tasks there; perpetual ones move away as their steps allow. */
void AqScheduler_SetCordon(AqScheduler *scheduler, const char *id,
                           bool is_cordoned);
/* Stops what runs on the VM, but for perpetual tasks, to be started elsewhere.
 * Saved work is kept. */
void AqScheduler_StopTasks(AqScheduler *scheduler, const char *id, AqTime now);
/* Whether nothing runs, starts or stops there, and no end of a run is known to
 * the VM alone: it may be moved, rebooted or switched off. */
bool AqScheduler_IsIdle(const AqScheduler *scheduler, const char *id);

typedef struct {
    const char *vm;      /* borrowed */
    const char *machine; /* borrowed */
    bool is_usable;      /* listed, answering, not draining or cordoned */
    bool is_answering;
    size_t tasks;           /* running, starting and stopping */
    size_t perpetual_tasks; /* of them perpetual */
    int64_t cpu_millis;
    AqTime idle_since; /* when the last task ended; AQ_TIME_NEVER: not idle */
    /* Orders may have gone to it, it is not known to have ended, and does not
     * answer since then; AQ_TIME_NEVER: none of that. */
    AqTime silent_since;
} AqScheduledVm;

/* Calls "visit" for each VM. */
void AqScheduler_EachVm(const AqScheduler *scheduler,
                        void (*visit)(void *context,
                                      const AqScheduledVm *view),
                        void *context);

/* Gives no more orders, for a hand-over: the list of used VMs then holds only
 * those that have tasks, and names these, so that the next owner waits for
 * nothing else. */
void AqScheduler_Close(AqScheduler *scheduler);

/* VMs that orders may have gone to.  They must be stored before the first
 * order: AqScheduler_UsedVmsSaved with the version that was written. */
uint64_t AqScheduler_UsedVmsVersion(const AqScheduler *scheduler);
void AqScheduler_EncodeUsedVms(const AqScheduler *scheduler, AqBuffer *out);
void AqScheduler_UsedVmsSaved(AqScheduler *scheduler, uint64_t version);
/* Adds the VMs of a stored list of used VMs; false when it is damaged. */
bool AqScheduler_AddUsedVms(AqScheduler *scheduler, const char *bytes,
                            size_t size, AqTime now);

/* The stored used VMs and jobs are all added.  Nothing starts before. */
void AqScheduler_SetLoaded(AqScheduler *scheduler);

/* ---- Replies ------------------------------------------------------------ */

void AqScheduler_OnStart(AqScheduler *scheduler, const char *id,
                         const AqTaskName *name, int64_t run,
                         const AqOrderReply *reply, AqTime now);
void AqScheduler_OnStop(AqScheduler *scheduler, const char *id,
                        const AqTaskName *name, int64_t run,
                        const AqOrderReply *reply, AqTime now);
/* "sent_at" is when the hold was ordered. */
void AqScheduler_OnHold(AqScheduler *scheduler, const char *id, AqTime sent_at,
                        const AqOrderReply *reply, AqTime now);
/* Tickets for a step; "valid_ms" from now.  No VMs: ask again later. */
void AqScheduler_OnTicket(AqScheduler *scheduler, const AqTaskName *name,
                          const char *vm, const char *ticket, AqTime valid_ms,
                          AqTime now);
void AqScheduler_OnTicketsEnd(AqScheduler *scheduler, const AqTaskName *name,
                              bool is_answered, AqTime now);

/* ---- Durability --------------------------------------------------------- */

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    AqBuffer record; /* cleared by AqScheduler_EndSave */
    AqJobStage stage;
} AqJobSave;

/* Records of jobs that have changed, oldest change first; returns how many.
 * None while a save is under way. */
size_t AqScheduler_BeginSave(AqScheduler *scheduler, AqJobSave *saves,
                             size_t most);
void AqScheduler_EndSave(AqScheduler *scheduler, AqJobSave *saves,
                         size_t count, bool is_stored, AqTime now);
bool AqScheduler_HasUnsaved(const AqScheduler *scheduler);

/* ---- Time --------------------------------------------------------------- */

/* Gives the orders that are due.  "wall" is Unix ms.  While "may_order" is
 * false nothing is ordered, since another owner may exist.  Returns when to
 * call again at the latest. */
AqTime AqScheduler_Tick(AqScheduler *scheduler, AqTime now, int64_t wall,
                        bool may_order);

typedef struct {
    int64_t ready_cpu_millis; /* of tasks that could start now */
    int64_t used_cpu_millis;
    int64_t perpetual_cpu_millis; /* of it by perpetual tasks */
    int64_t capacity_cpu_millis;  /* of usable VMs */
    /* Cores that the work submitted lately needs, were it to go on so. */
    int64_t offered_cpu_millis;
    size_t ready_tasks;
    size_t jobs;            /* not finished */
    AqTime longest_wait_ms; /* of a ready task */
    size_t widest_spread; /* VMs that a perpetual step needs, one for a task */
    bool is_recovered;    /* starts are allowed */
} AqSchedulerLoad;

void AqScheduler_GetLoad(AqScheduler *scheduler, AqTime now,
                         AqSchedulerLoad *load);

/* Counters since the creation. */
typedef struct {
    uint64_t starts;
    uint64_t starts_refused;
    uint64_t done;
    uint64_t failed;
    uint64_t lost;    /* runs that ended with their VM or lease */
    uint64_t stalled; /* stopped for standing still */
    uint64_t copied;  /* started beside a run on a silent VM */
    uint64_t paced;
} AqSchedulerCounters;

const AqSchedulerCounters *AqScheduler_Counters(const AqScheduler *scheduler);

/* Fails with a message when an invariant does not hold; for tests. */
bool AqScheduler_CheckConsistency(const AqScheduler *scheduler,
                                  AqError *error);

#endif
