#ifndef SCHEDULER_INTERNAL_H
#define SCHEDULER_INTERNAL_H

#include <glib.h>

#include "aq_list.h"
#include "aq_scheduler.h"

/* Types and functions shared by the sources of the scheduler:
 * scheduler.c   jobs, steps, the tick and the reported load
 * vms.c         state of each VM, its leases, renewals and silence
 * used_vms.c    stored list of the VMs that later owners must wait for
 * replies.c     effect of each reply on tasks
 * ranking.c     order in which jobs are placed
 * placement.c   choice of a VM for each task
 * perpetual.c   moves of perpetual tasks off a VM, pacing of fillers
 * progress.c    stored progress record of a job
 * saves.c       which records to store, and what a save allows */

typedef enum {
    TASK_BLOCKED, /* earlier steps are not done */
    TASK_READY,   /* may start; no run is alive, except one copied off a silent
                     VM */
    TASK_STARTING, /* a start is ordered and not confirmed */
    TASK_RUNNING,
    TASK_STOPPING, /* a stop is ordered or due */
    TASK_DONE
} TaskState;

typedef struct Job Job;
typedef struct Step Step;
typedef struct Vm Vm;

/* Times without another note are on the scheduler's clock.  CPU amounts are
 * in thousandths of a core, memory amounts in MB. */

typedef struct {
    Step *step; /* borrowed */
    uint32_t index;
    TaskState state;
    int64_t run;           /* highest run number used so far */
    uint32_t failures;     /* failed runs */
    int64_t *failed_runs;  /* numbers of the failed runs, "failures" of them;
                            * owned; NULL for perpetual tasks, whose failures
                            * are not bounded */
    Vm *vm;                /* VM of the run that may be alive, or NULL;
                            * borrowed */
    AqLink link;           /* in vm->tasks */
    bool is_order_pending; /* a start or stop order awaits its reply */
    bool may_start_late;   /* a start order had no reply; the VM may
                            * still carry it out */
    bool must_stop_after_reply; /* stop the run once the pending start order
                                 * has its reply */
    bool is_stop_acked;         /* the VM has confirmed the stop */
    AqTime resend_at;           /* earliest time to repeat the order */
    AqTime ready_at;            /* when the task became ready */
    AqTime not_before;          /* earliest time of the next start */
    AqTime started_at;   /* when the start was confirmed; 0: not known */
    AqTime listed_after; /* the reply to a renewal sent after this time lists
                          * the run unless it has ended */
    AqTime progress_at;  /* when "percent" last changed */
    int64_t percent;     /* progress reported by the VM */
    int64_t usage;       /* as in AqRunningTask */
    int pace;            /* percent of full speed that a filler may use */
    AqTime pace_changed_at;
    AqTime absent_since; /* when a perpetual task stopped being at work;
                          * AQ_TIME_NEVER while it is at work */
    uint64_t last_listed_renewal; /* vm->renewal_count at the last renewal that
                                   * listed the run */
    char *checkpoint;             /* last saved work, or NULL; owned */
    char avoid[AQ_VM_ID_SIZE];    /* VM of the last failed run or of a run that
                                   * was copied off a silent VM; "": none */
} Task;

/* Permission of the advice service to start a step's tasks on a VM. */
typedef struct {
    char *vm;     /* owned */
    char *ticket; /* owned */
    AqTime expires_at;
} Ticket;

typedef struct Occurrence {
    AqLink link; /* in job->occurrences */
    Job *job;    /* borrowed */
    uint32_t number;
    Step *steps;       /* job->spec.step_count of them; owned */
    size_t steps_left; /* steps that are not done */
    AqTime due_at;     /* when the occurrence was added */
} Occurrence;

struct Step {
    Occurrence *occurrence; /* borrowed */
    const AqStepSpec *spec; /* in the job's spec; borrowed */
    uint32_t number;
    Task *tasks;                /* spec->task_count of them; owned */
    uint32_t done;              /* tasks in state TASK_DONE */
    uint32_t ready;             /* tasks in state TASK_READY */
    GArray *tickets;            /* of Ticket, or NULL; owned */
    bool is_requesting_tickets; /* a ticket request awaits its end */
    AqTime request_tickets_at;  /* earliest time of the next request */
};

struct Job {
    AqLink link;       /* in scheduler->active, while unfinished */
    AqLink dirty_link; /* in scheduler->dirty, while a change is unsaved */
    AqJobSpec spec;    /* owned */
    AqJobStage stage;
    AqJobStage stored_stage; /* stage in the last stored record */
    bool has_started;        /* a run of some task has been confirmed */
    bool is_new;             /* no earlier owner can have started the job */
    bool is_saving;          /* its record is being written */
    bool changed_while_saving;
    uint64_t dirty_seq;       /* change_seq of the oldest change that is not
                               * stored */
    AqLink occurrences;       /* of Occurrence */
    uint32_t next_occurrence; /* number of the next one to add */
    AqTime submitted_at;
    /* Results of ranking_update; valid during one placement. */
    int bucket;             /* rank class; lower is placed first */
    int64_t remaining_work; /* core-milliseconds */
    AqTime slack;           /* time to spare before the job is late */
};

/* A run listed by the earlier owner when it handed the pool over. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];
    AqTaskName task;
    int64_t run;
} InheritedRun;

/* An end of a run; it may be confirmed to the VM once all changes up to "seq"
 * are stored. */
typedef struct {
    int64_t number;
    uint64_t seq;
} PendingEnd;

struct Vm {
    AqVmReport report;
    AqLink link;  /* in scheduler->vms */
    AqLink tasks; /* tasks with a run here that may be alive */
    size_t task_count;
    bool is_listed;     /* the store has an entry of the VM */
    AqTime unlisted_at; /* when that entry disappeared */
    bool is_cordoned;
    uint64_t used_since_version; /* first version of the list of used VMs that
                                  * includes the VM */
    bool is_use_recorded;        /* that version is stored */
    bool has_replied;            /* to a renewal under this owner's fence */
    bool used_by_earlier_owner;  /* in the stored list of used VMs; cleared
                                  * when the VM's leases have expired */
    bool has_ended;     /* moved or taken down by an order; cleared when the
                         * VM replies again */
    AqTime clock_ms;    /* VM's own clock as read at clock_at; -1: unknown */
    AqTime clock_at;    /* when the last reply with a clock arrived */
    AqTime deadline_ms; /* latest deadline granted to the VM, on its clock */
    bool is_renewal_pending;  /* a renewal awaits its reply */
    AqTime renewal_due;       /* earliest time of the next renewal */
    AqTime silent_since;      /* first order without a reply; AQ_TIME_NEVER
                               * while the VM replies */
    AqTime blocked_until;     /* no starts until then, after "no room" */
    AqTime quarantined_until; /* not usable until then */
    unsigned consecutive_failures;
    int64_t used_cpu;
    int64_t perpetual_cpu; /* part of used_cpu taken by perpetual tasks */
    int64_t used_memory;
    int64_t used_gpus;
    int64_t foreign_cpu; /* taken by listed runs that are not the current run
                          * of a task here */
    int64_t foreign_memory;
    AqTime foreign_since; /* since when runs or ends of unknown jobs have been
                           * listed; 0: none are */
    AqTime idle_since;    /* when the last task left; AQ_TIME_NEVER while the
                           * VM has tasks */
    int64_t last_end_number;      /* highest end processed */
    int64_t confirmed_end_number; /* highest end that the VM may forget */
    GArray *pending_ends;         /* PendingEnd in rising order; owned */
    uint64_t renewal_count;       /* renewals with a successful reply */
};

struct AqScheduler {
    AqSchedulerConfig config;
    AqSchedulerActions actions;
    void *context;            /* passed to the actions */
    const AqSiteConfig *site; /* borrowed */
    AqTime created_at;
    AqTime now;   /* time of the last call */
    int64_t wall; /* Unix ms of the last tick */
    bool may_order;
    GArray *inherited_runs; /* of InheritedRun, until the jobs are loaded */
    bool is_loaded;         /* stored used VMs and jobs have all been added */
    bool is_closed;         /* no more orders are sent */
    bool is_handed_over;    /* the earlier owner stored all its live runs in a
                             * hand-over */
    bool is_recovered;      /* no run of an earlier owner can be unknown */
    bool is_superseded;     /* a later owner gives orders */
    GHashTable *jobs;       /* id -> Job; owns the jobs */
    AqLink active;          /* unfinished jobs */
    AqLink dirty;        /* jobs with unsaved changes, oldest change first */
    uint64_t change_seq; /* number of the last change of a job */
    uint64_t stored_seq; /* all changes up to this one are stored */
    size_t saving_count; /* records in the current save; 0: no save */
    GHashTable *vms_by_id;
    AqLink vms;                /* owned */
    uint64_t used_vms_version; /* version of the list of used VMs */
    bool placement_due;
    AqTime next_placement_at;     /* due even without an event */
    AqTime earliest_placement_at; /* not before, whatever happens */
    AqTime next_scan_at; /* of all tasks, for repeated orders and pacing */
    int64_t largest_free_cpu_millis; /* free on one usable VM, during a
                                      * placement */
    /* Submitted work in core-milliseconds, decaying exponentially. */
    double offered_work;
    double offered_work_long; /* the same with a longer time constant */
    AqTime offered_at;        /* time of the last decay */
    /* Moving averages over the tasks done: declared and actual duration. */
    double mean_declared_ms;
    double mean_actual_ms;
    AqSchedulerCounters counters;
};

/* ---- scheduler.c */
/* NULL when the job is not known. */
Job *scheduler_find_job(const AqScheduler *s, const char *id);
/* NULL when the job, occurrence, step or task is not known. */
Task *scheduler_find_task(const AqScheduler *s, const AqTaskName *name);
void scheduler_name_task(const Task *task, AqTaskName *name);
/* Marks the job's record as unsaved. */
void scheduler_changed(AqScheduler *s, Job *job);
/* Marks the task as done; when it is one of a gang, the whole gang. */
void scheduler_task_done(AqScheduler *s, Task *task);
/* Records a failed run.  A run that was recorded before is ignored, since a VM
 * may list an end several times. */
void scheduler_task_failed(AqScheduler *s, Task *task, int64_t run);
/* Adds the run to the task's failures without any other effect. */
void scheduler_add_failure(Task *task, int64_t run);
/* Makes a task ready for its next run, after the last one has ended or its VM
 * is silent and the step allows copies. */
void scheduler_requeue_task(AqScheduler *s, Task *task);
bool scheduler_is_finished(const Job *job);
/* Queue of the job, or NULL when the site has none of that name. */
const AqQueueConfig *scheduler_queue(const AqScheduler *s, const Job *job);
Occurrence *scheduler_add_occurrence(AqScheduler *s, Job *job,
                                     uint32_t number);
/* Makes the blocked tasks ready whose earlier steps are all done. */
void scheduler_unlock(AqScheduler *s, Occurrence *occurrence);
/* Expected duration of a task of the step, ms: the declared one, scaled by the
 * ratio of actual to declared durations seen so far. */
AqTime scheduler_estimate(const AqScheduler *s, const AqStepSpec *spec);

/* ---- vms.c */
/* NULL when the VM is not known. */
Vm *vms_find(const AqScheduler *s, const char *id);
Vm *vms_add(AqScheduler *s, const AqVmReport *report);
/* Assigns the task to the VM and accounts for its resources there. */
void vms_attach(AqScheduler *s, Vm *vm, Task *task);
/* Undoes vms_attach; no effect on a task without a VM. */
void vms_detach(AqScheduler *s, Task *task);
/* Whether tasks may be started on the VM, provided that they fit. */
bool vms_is_usable(const AqScheduler *s, const Vm *vm);
/* Records that the VM replied, and its clock. */
void vms_on_reply(AqScheduler *s, Vm *vm, const AqOrderReply *reply);
/* Records that an order had no reply. */
void vms_on_no_reply(AqScheduler *s, Vm *vm);
/* Extends the VM's lease; returns the deadline for an order sent now, on the
 * VM's clock. */
AqTime vms_grant_lease(AqScheduler *s, Vm *vm);
/* Requeues the VM's tasks as lost, removes the VM and frees it. */
void vms_remove(AqScheduler *s, Vm *vm);
void vms_free(Vm *vm);
/* Sends the renewals that are due and handles silent VMs.  Returns when the
 * next renewal is due. */
AqTime vms_tick(AqScheduler *s);
/* Raises the VM's confirmed end to the last one whose job record is stored. */
void vms_confirm_ends(const AqScheduler *s, Vm *vm);
/* Sets *target, which borrows from the VM. */
void vms_target(const Vm *vm, AqOrderTarget *target);
/* Counts consecutive failures on the VM and quarantines it after several. */
void vms_record_result(AqScheduler *s, Vm *vm, const Task *task,
                       bool is_failure);
/* Sets when the next renewal is sent, after the reply to the last one. */
void vms_schedule_renewal(AqScheduler *s, Vm *vm);
/* Whether runs or ends of unknown jobs have been listed for longer than this
 * owner needs to see a new job in the store. */
bool vms_is_foreign_run_overdue(const AqScheduler *s, const Vm *vm);

/* ---- replies.c */
/* Orders the stop of the task's run, or defers it while a start is pending. */
void replies_order_stop(AqScheduler *s, Task *task);
/* Logs a run that is given up although its VM has not listed an end. */
void replies_log_lost(const AqScheduler *s, const Task *task,
                      const char *reason);
/* Repeats the orders that had no reply and are due again. */
void replies_tick(AqScheduler *s);

/* ---- ranking.c */
/* Sets the ranking fields of a job.  Returns whether it has ready tasks. */
bool ranking_update(const AqScheduler *s, Job *job);
/* Order of two Job pointers for qsort: the job to place first comes first. */
int ranking_compare(const void *a, const void *b);

/* ---- placement.c */
/* Starts ready tasks when a placement is due. */
void placement_run(AqScheduler *s);
/* Sends the start order of a task that is assigned to a VM. */
void placement_send_start(AqScheduler *s, Task *task);

/* ---- perpetual.c */
/* Repeats due orders, moves perpetual tasks and paces fillers. */
void perpetual_tick(AqScheduler *s);

/* ---- progress.c */
/* Appends the record of the job's progress. */
void progress_encode(const Job *job, AqBuffer *out);
/* Sets the job's progress from its record; false when it is damaged. */
bool progress_apply(AqScheduler *s, Job *job, const char *bytes, size_t size);

#endif
