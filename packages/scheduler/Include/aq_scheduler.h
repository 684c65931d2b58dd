#ifndef AQ_SCHEDULER_H
#define AQ_SCHEDULER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_cap_shares.h"
#include "aq_clock.h"
#include "aq_job_spec.h"
#include "aq_site_config.h"
#include "aq_worker_client.h"

/* Scheduler of a pool, run by the pool's single owner.  It decides which task
 * runs on which VM, when a task is restarted, and what must be stored before a
 * VM may forget the end of a run.  It does no I/O and reads no clock: replies
 * and times are passed in, orders are emitted through AqSchedulerActions.
 *
 * Invariants (see AqScheduler_CheckConsistency):
 * - a task has at most one run that may be alive, unless its step allows
 *   copies; the task's next run starts only after the last run has ended, the
 *   stop of that run is confirmed, or the lease of its VM has expired on the
 *   VM's own clock, which may be 2% slow;
 * - a run's number is above those of all earlier runs of the task, across all
 *   owners;
 * - the end of a run is confirmed to its VM only after the record of the run's
 *   job is stored.
 *
 * A new owner reads the stored list of used VMs: those to which an earlier
 * owner of the pool may have sent orders.  The new owner starts no task that
 * an earlier owner may have started until each of these VMs has replied to the
 * new owner or the VM's lease must have expired.  The lease of a VM is the
 * time until which the VM runs tasks without a renewal. */

typedef struct AqScheduler AqScheduler;

typedef enum {
    /* the job is accepted; none of its tasks has started */
    AQ_STAGE_WAITING,
    AQ_STAGE_RUNNING,
    AQ_STAGE_COMPLETED,
    AQ_STAGE_FAILED,
    AQ_STAGE_CANCELLED
} AqJobStage;

/* Returns the name of the stage; static storage. */
const char *AqJobStage_Name(AqJobStage stage);

typedef struct {
    char pool[64];
    /* fencing number of this owner of the pool; above those of all earlier
     * owners */
    uint64_t fence;
    /* number of owners that the pool had before the current owner */
    int64_t generation;
    /* duration of the lease that each start order or renewal order (extends
     * the lease) grants to its VM */
    AqTime lease_ms;
    /* longest lease that a VM accepts; a longer one is shortened; 0: not
     * known */
    AqTime longest_lease_ms;
    /* How long after the scheduler's creation an earlier owner of the pool may
     * still send orders; 0: the earlier owner is known to have ended. */
    AqTime earlier_owner_ms;
    /* how many times as long a task takes away from the rack of its data, or a
     * gang that prefers one rack on several; 1 or less: not known */
    double far_rack_factor;
    /* longest wait of a ready task for room at its place while there is room
     * elsewhere; 0: it never waits */
    AqTime place_wait_ms;
} AqSchedulerConfig;

/* Use of a pool by a workspace. */
typedef struct {
    const char *name; /* borrowed */
    size_t jobs;
    AqResources used; /* by its tasks that are on VMs */
    AqResources cap;  /* over all pools; each resource 0: no limit */
    /* what it may use in this pool of the resources that "cap" limits */
    AqResources limit;
    size_t held_back_tasks; /* number of ready tasks that only this limits */
    uint64_t capped_count;  /* how often the limit began to hold tasks back */
} AqWorkspaceView;

/* Calls by which the scheduler sends its orders.  The caller reports the reply
 * to each order with the AqScheduler_On* function of that order.  "pace"
 * limits the speed of a run. */
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
    /* A VM replied that it has received orders with a higher fencing number
     * than that of this owner of the pool: a later owner exists. */
    void (*superseded)(void *context);
} AqSchedulerActions;

AqScheduler *AqScheduler_Create(const AqSchedulerConfig *config,
                                const AqSchedulerActions *actions,
                                void *context, AqTime now);
void AqScheduler_Destroy(AqScheduler *scheduler);

/* Sets the site configuration, which is borrowed until the next call of this
 * function.  "site" must not be NULL. */
void AqScheduler_SetSite(AqScheduler *scheduler, const AqSiteConfig *site);

/* Adds a job and takes over what *spec owns.  "record" is the job's stored
 * progress of "size" bytes, or NULL.  "is_new" states that the job was stored
 * when no earlier owner of the pool could send orders any more, so that its
 * tasks need not wait for what VMs report.  A job that was added before stays
 * unchanged.  False with AQ_ERR_INVALID when the record is damaged. */
bool AqScheduler_AddJob(AqScheduler *scheduler, AqJobSpec *spec,
                        const char *record, size_t size, bool is_new,
                        AqTime now, AqError *error);
void AqScheduler_CancelJob(AqScheduler *scheduler, const char *id, AqTime now);
/* Removes the job from the scheduler if the job is finished and its record is
 * stored; otherwise has no effect. */
void AqScheduler_RemoveJob(AqScheduler *scheduler, const char *id);
/* Sets *stage to the job's stage; for a finished job, to the stage in the
 * job's stored record.  False when the job is not known. */
bool AqScheduler_GetStage(const AqScheduler *scheduler, const char *id,
                          AqJobStage *stage);
/* Reads a job's stage from the job's stored record; false with AQ_ERR_INVALID
 * when the record is damaged. */
bool AqScheduler_ReadStage(const char *record, size_t size, AqJobStage *stage,
                           AqError *error);
/* Calls "visit" for each queue with jobs that are not recurring and have
 * started no task yet, in order of name; also for queues that the
 * configuration in force does not have or sends to another pool. */
void AqScheduler_EachWaiting(const AqScheduler *scheduler,
                             void (*visit)(void *context, const char *queue,
                                           size_t count),
                             void *context);

/* ---- Workspaces ----------------------------------------------------------
 */

/* Calls "visit" for each workspace that has a cap. */
void AqScheduler_EachCapDemand(AqScheduler *scheduler,
                               void (*visit)(void *context,
                                             const AqCapDemand *demand),
                               void *context);
/* Sets what the workspace may use in this pool of the resources that its cap
 * limits; nothing until the first call. */
void AqScheduler_SetCapLimit(AqScheduler *scheduler, const char *workspace,
                             const AqResources *limit);
/* Calls "visit" for each workspace that has jobs or is configured. */
void AqScheduler_EachWorkspace(const AqScheduler *scheduler,
                               void (*visit)(void *context,
                                             const AqWorkspaceView *view),
                               void *context);
/* Whether the scheduler knows all live runs that earlier owners of the pool
 * may have started. */
bool AqScheduler_IsRecovered(const AqScheduler *scheduler);

/* ---- VMs ---------------------------------------------------------------- */

/* Adds the reported VM, or updates the report of a known VM.  The store has an
 * entry of this VM.  An entry of an earlier incarnation than the known one
 * only shows that the store has one. */
void AqScheduler_SetVm(AqScheduler *scheduler, const AqVmReport *report,
                       AqTime now);
/* Records that the VM's entry in the store has disappeared. */
void AqScheduler_VmUnlisted(AqScheduler *scheduler, const char *id,
                            AqTime now);
typedef enum {
    /* the platform has accepted a move or maintenance of the VM, or lists it
     * in such a state or in another pool */
    AQ_VM_ENDED_BY_ORDER,
    /* the platform lists another incarnation of the VM in the same pool */
    AQ_VM_CRASHED
} AqVmEnd;

/* Records that the VM's incarnation with this id has ended with all its runs.
 * Tasks may start on the VM again if this incarnation replies later. */
void AqScheduler_VmEnded(AqScheduler *scheduler, const char *id, AqVmEnd end,
                         AqTime now);
/* Sets whether the VM is cordoned.  A cordoned VM gets no new tasks, except,
 * until it first has no tasks, perpetual ones that fit on no other VM.  The
 * scheduler moves its perpetual tasks to other VMs unless more tasks of a step
 * would be missing than the step's limit allows. */
void AqScheduler_SetCordon(AqScheduler *scheduler, const char *id,
                           bool is_cordoned);
/* Orders the stop of the tasks on the VM, except perpetual ones, so that these
 * tasks start on other VMs from their last checkpoint. */
void AqScheduler_StopTasks(AqScheduler *scheduler, const char *id, AqTime now);
/* Whether no run is starting, running or stopping on the VM, no task is about
 * to move there and all ends of the VM's runs are stored, so that the VM may
 * be moved, rebooted or switched off. */
bool AqScheduler_IsIdle(const AqScheduler *scheduler, const char *id);

typedef struct {
    /* id of the VM's current incarnation; borrowed */
    const char *vm;
    /* id that all incarnations of the VM share, or "": not known; borrowed */
    const char *machine;
    /* AqVmReport.born_ms of the current incarnation; 0: not known */
    int64_t born_ms;
    bool is_usable; /* tasks may be started on the VM */
    /* the VM replies to the orders of this owner of the pool */
    bool is_answering;
    /* number of tasks running, starting or stopping on the VM */
    size_t tasks;
    /* number of perpetual tasks among "tasks" */
    size_t perpetual_tasks;
    int64_t cpu_millis;
    /* since when the VM has had no starting, running or stopping tasks;
     * AQ_TIME_NEVER while it has such tasks */
    AqTime idle_since;
    /* Since when the VM, which may have received orders, has not replied;
     * AQ_TIME_NEVER for a VM that replies or is known to have ended. */
    AqTime silent_since;
} AqScheduledVm;

/* Calls "visit" for each VM that the scheduler knows. */
void AqScheduler_EachVm(const AqScheduler *scheduler,
                        void (*visit)(void *context,
                                      const AqScheduledVm *view),
                        void *context);

/* Stops sending orders, for a hand-over to the next owner.  The list of used
 * VMs, to which an owner of the pool may have sent orders, then has only the
 * VMs that have runs or come from an earlier owner's list, each VM with its
 * runs, so that the next owner waits for no other VM. */
void AqScheduler_Close(AqScheduler *scheduler);

/* Returns the version of the list of used VMs, which names the VMs to which an
 * owner of the pool may have sent orders.  A VM gets its first task only after
 * the caller has stored a version that includes the VM and has reported that
 * with AqScheduler_UsedVmsSaved(). */
uint64_t AqScheduler_UsedVmsVersion(const AqScheduler *scheduler);
void AqScheduler_EncodeUsedVms(const AqScheduler *scheduler, AqBuffer *out);
void AqScheduler_UsedVmsSaved(AqScheduler *scheduler, uint64_t version);
/* Adds the VMs in a stored list of used VMs, which are those to which an
 * earlier owner of the pool may have sent orders; false when the list is
 * damaged. */
bool AqScheduler_AddUsedVms(AqScheduler *scheduler, const char *bytes,
                            size_t size, AqTime now);

/* Reports that all stored jobs have been added, and all used VMs, to which an
 * earlier owner of the pool may have sent orders.  No task starts before this
 * call. */
void AqScheduler_SetLoaded(AqScheduler *scheduler);

/* ---- Replies ------------------------------------------------------------ */

void AqScheduler_OnStart(AqScheduler *scheduler, const char *id,
                         const AqTaskName *name, int64_t run,
                         const AqOrderReply *reply, AqTime now);
void AqScheduler_OnStop(AqScheduler *scheduler, const char *id,
                        const AqTaskName *name, int64_t run,
                        const AqOrderReply *reply, AqTime now);
void AqScheduler_OnPace(AqScheduler *scheduler, const char *id,
                        const AqTaskName *name, int64_t run,
                        const AqOrderReply *reply, AqTime now);
/* Handles the VM's reply to a renewal order (extends the VM's lease).
 * "sent_at" is when that order was sent, on the scheduler's clock. */
void AqScheduler_OnRenewal(AqScheduler *scheduler, const char *id,
                           AqTime sent_at, const AqOrderReply *reply,
                           AqTime now);
/* Adds a ticket: the advice service's permission to start tasks of the step on
 * the VM "vm" until "valid_ms" after "now".  AqScheduler_OnTicketsEnd() ends
 * the request for tickets; its "is_answered" is true when the advice service
 * responded. */
void AqScheduler_OnTicket(AqScheduler *scheduler, const AqTaskName *name,
                          const char *vm, const char *ticket, AqTime valid_ms,
                          AqTime now);
void AqScheduler_OnTicketsEnd(AqScheduler *scheduler, const AqTaskName *name,
                              bool is_answered, AqTime now);

/* ---- Durability --------------------------------------------------------- */

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    /* stored form of the job's progress; owned; cleared by
     * AqScheduler_EndSave() */
    AqBuffer record;
    AqJobStage stage;
} AqJobSave;

/* Fills "saves" with up to "most" records of changed jobs, the job with the
 * oldest change first, and returns the number of records.  Returns 0 while an
 * earlier save is under way. */
size_t AqScheduler_BeginSave(AqScheduler *scheduler, AqJobSave *saves,
                             size_t most);
void AqScheduler_EndSave(AqScheduler *scheduler, AqJobSave *saves,
                         size_t count, bool is_stored, AqTime now);
/* Returns whether a job that the scheduler knows is unfinished. */
bool AqScheduler_HasUnfinishedJobs(const AqScheduler *s);
/* Whether a change of any job is not stored yet. */
bool AqScheduler_HasUnsaved(const AqScheduler *scheduler);

/* ---- Time --------------------------------------------------------------- */

/* Tells the scheduler that the store's reply to a call sent at "sent_at" shows
 * that this owner still had the pool.  A run on a silent VM counts as lost
 * only once the ownership is confirmed after the VM's lease has expired: a
 * later owner may have extended the lease. */
void AqScheduler_ConfirmOwnership(AqScheduler *scheduler, AqTime sent_at);
/* Whether the scheduler waits for a confirmation. */
bool AqScheduler_AwaitsConfirmation(const AqScheduler *scheduler);

/* Sends the orders that are due.  "wall" is Unix ms.  While "may_order" is
 * false no order is sent, since the pool may have another owner.  Returns the
 * time, on the clock of "now", by which the caller must call the function
 * again. */
AqTime AqScheduler_Tick(AqScheduler *scheduler, AqTime now, int64_t wall,
                        bool may_order);

/* Returns for how long, ms, no VM has confirmed a start although tasks were
 * ready or starting; 0: no task waits for its start. */
AqTime AqScheduler_StartWait(const AqScheduler *scheduler);
/* Appends what the ready tasks of a scheduler that starts none wait for, as
 * "reason=NAME" and further key=value pairs, separated by spaces.
 * docs/OPERATIONS.md lists them. */
void AqScheduler_DescribeStartWait(const AqScheduler *scheduler,
                                   AqBuffer *out);

typedef struct {
    /* CPU that the ready tasks need, in thousandths of a core */
    int64_t ready_cpu_millis;
    /* CPU of all tasks that are starting, running or stopping on the pool's
     * VMs, in thousandths of a core */
    int64_t used_cpu_millis;
    /* part of used_cpu_millis that perpetual tasks take, in thousandths of a
     * core */
    int64_t perpetual_cpu_millis;
    /* total CPU of the usable VMs, in thousandths of a core */
    int64_t capacity_cpu_millis;
    /* CPU that the pool needs if callers keep submitting jobs at the recent
     * rate, in thousandths of a core */
    int64_t offered_cpu_millis;
    size_t ready_tasks;
    size_t jobs; /* number of unfinished jobs */
    /* start orders without a reply yet, and most such orders at a time */
    unsigned starts_in_flight;
    unsigned start_window;
    /* how long the longest-waiting ready task has been ready to start */
    AqTime longest_wait_ms;
    /* largest number of VMs that any one perpetual step (its tasks run until
     * the job is cancelled) needs, given the step's limit on tasks per VM */
    size_t widest_spread;
    /* the scheduler knows all live runs that earlier owners of the pool may
     * have started */
    bool is_recovered;
    /* number of crashes of VMs in the last 10 s, without those of whole
     * racks */
    size_t recent_crashes;
} AqSchedulerLoad;

void AqScheduler_GetLoad(AqScheduler *scheduler, AqTime now,
                         AqSchedulerLoad *load);

/* Counters since the creation of the scheduler. */
typedef struct {
    /* runs (executions of a task on a VM) whose start the VM has confirmed */
    uint64_t starts;
    /* start orders that a VM refused or that were not sent */
    uint64_t starts_refused;
    uint64_t done;   /* tasks completed since the scheduler's creation */
    uint64_t failed; /* runs (executions of a task on a VM) that failed */
    /* runs (executions of a task on a VM) that ended with their VM, the VM's
     * lease or their gang (step whose tasks run together), or that their VM no
     * longer lists */
    uint64_t lost;
    /* runs that were alive on a VM when it crashed */
    uint64_t crashed_runs;
    /* jobs that failed since too many VMs crashed under one of their tasks */
    uint64_t given_up;
    /* runs that the scheduler stopped because they made no progress */
    uint64_t stalled;
    /* how often a job with ready tasks was ranked, for a placement of tasks */
    uint64_t ranked;
    /* tasks that were made ready again while their run on a silent VM may
     * continue */
    uint64_t copied;
    /* orders that changed the speed limit (pace) of a filler, a task that uses
     * only CPU that others leave */
    uint64_t paced;
    /* how often a task was assigned to a VM, members of gangs that then did
     * not all fit included */
    uint64_t assigned;
    /* Starts of tasks that have a place, the rack of their data or one rack
     * for their gang: at that place or away from it, without a wait for room
     * there or after one. */
    uint64_t near_starts;
    uint64_t far_starts;
    uint64_t near_after_wait;
    uint64_t far_after_wait;
} AqSchedulerCounters;

const AqSchedulerCounters *AqScheduler_Counters(const AqScheduler *scheduler);

/* What a workspace has of a pool, and how long it waits for more. */
typedef struct {
    const char *name; /* borrowed from the scheduler */
    /* largest part, 0 to 1, of the pool's CPU, memory or GPUs that the
     * workspace's tasks use */
    double share;
    double weight;
    size_t ready_tasks;
    /* how long the longest-waiting ready task has been ready to start */
    AqTime longest_wait_ms;
} AqWorkspaceShare;

/* Fills in the workspaces with unfinished jobs, at most "most", those that
 * wait longest first.  Returns their number. */
size_t AqScheduler_GetShares(AqScheduler *scheduler, AqTime now,
                             AqWorkspaceShare *shares, size_t most);

/* Places jobs without regard to shares of workspaces from now on.  For
 * tests. */
void AqScheduler_DisableShares(AqScheduler *scheduler);

/* Checks the counts and states of the scheduler's tasks and VMs; false with an
 * error when one is inconsistent.  For tests. */
bool AqScheduler_CheckConsistency(const AqScheduler *scheduler,
                                  AqError *error);

#endif
