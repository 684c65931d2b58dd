#ifndef SCHEDULER_INTERNAL_H
#define SCHEDULER_INTERNAL_H

#include <glib.h>

#include "aq_list.h"
#include "aq_scheduler.h"

/* Shared by the files of the scheduler.  Each file owns one decision:
 * scheduler.c   jobs, steps and time
 * vms.c         what is believed of each VM, leases and silence
 * used_vms.c    which VMs later owners have to hear from
 * replies.c     what a reply means for tasks
 * ranking.c     which job comes first
 * placement.c   which VM a task goes to
 * perpetual.c   perpetual tasks: moves off a VM, pacing of fillers
 * progress.c    the stored record of a job */

typedef enum {
    TASK_BLOCKED,  /* earlier steps are not done */
    TASK_READY,    /* may start; no run can be alive */
    TASK_STARTING, /* ordered, not confirmed */
    TASK_RUNNING,
    TASK_STOPPING, /* a stop is ordered or due */
    TASK_DONE
} TaskState;

typedef struct Job Job;
typedef struct Step Step;
typedef struct Vm Vm;

typedef struct {
    Step *step; /* borrowed */
    uint32_t index;
    TaskState state;
    int64_t run; /* highest number used */
    uint32_t failures;
    int64_t *failed_runs; /* numbers of "failures" runs; owned; not kept of
                           * perpetual tasks, which may fail for ever */
    Vm *vm;               /* of the run that may be alive; borrowed */
    AqLink link;          /* in vm->tasks */
    bool is_order_out;    /* a start or stop has no answer yet */
    bool is_uncertain;    /* an order had no answer and may come late */
    bool must_stop;       /* stop once the order under way is answered */
    bool is_stop_acked;   /* the VM has confirmed the stop */
    AqTime resend_at;
    AqTime ready_at;     /* became ready */
    AqTime not_before;   /* of the next start */
    AqTime started_at;   /* the start was confirmed */
    AqTime listed_after; /* a hold sent later must list the run */
    AqTime progress_at;  /* "percent" last changed */
    int64_t percent;
    int64_t usage;
    int pace; /* percent it may work at */
    AqTime paced_at;
    AqTime absent_since; /* perpetual: not at work; AQ_TIME_NEVER: at work */
    uint64_t seen_in;    /* the VM's hold that listed it last */
    char *checkpoint;    /* or NULL; owned */
    char avoid[AQ_VM_ID_SIZE]; /* VM of the last failed run */
} Task;

typedef struct {
    char *vm;
    char *ticket;
    AqTime until;
} Ticket;

typedef struct Occurrence {
    AqLink link; /* in job->occurrences */
    Job *job;
    uint32_t number;
    Step *steps; /* job->spec.step_count */
    size_t steps_left;
    AqTime due_at; /* scheduler time */
} Occurrence;

struct Step {
    Occurrence *occurrence;
    const AqStepSpec *spec;
    uint32_t number;
    Task *tasks; /* spec->task_count */
    uint32_t done;
    uint32_t ready;
    GArray *tickets; /* of Ticket, or NULL */
    bool is_requesting_tickets;
    AqTime request_tickets_at;
};

struct Job {
    AqLink link;       /* in scheduler->active, while unfinished */
    AqLink dirty_link; /* in scheduler->dirty */
    AqJobSpec spec;
    AqJobStage stage;
    AqJobStage stored_stage;
    bool has_started;
    bool is_new; /* no earlier owner can have started it */
    bool is_saving;
    bool changed_while_saving;
    uint64_t dirty_seq; /* of the oldest change that is not stored */
    AqLink occurrences;
    uint32_t next_occurrence;
    AqTime submitted_at; /* scheduler time */
    /* Ranking, worked out for one placement. */
    int bucket;
    int64_t remaining_work;
    AqTime slack;
};

/* A run that the earlier owner named when it handed the pool over. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];
    AqTaskName task;
    int64_t run;
} InheritedRun;

/* An end that is confirmed once the change "seq" is stored. */
typedef struct {
    int64_t number;
    uint64_t seq;
} PendingEnd;

struct Vm {
    AqVmReport report;
    AqLink link; /* in scheduler->vms */
    AqLink tasks;
    size_t task_count;
    bool is_listed;
    AqTime unlisted_at;
    bool is_cordoned;
    uint64_t used_since_version; /* version that has it */
    bool is_use_recorded;        /* that version is stored */
    bool has_answered;           /* a hold under our fence */
    bool was_used;               /* in the used VMs of an earlier owner */
    bool has_ended;              /* by an order, unless it answers again */
    AqTime clock_ms;             /* of the VM, at clock_at */
    AqTime clock_at;
    AqTime deadline_ms; /* highest in an order, on the VM's clock */
    bool is_hold_out;
    AqTime hold_due;
    AqTime silent_since; /* AQ_TIME_NEVER: it answers */
    AqTime blocked_until;
    AqTime quarantined_until;
    unsigned bad_ends; /* failed ends in a row */
    int64_t used_cpu;
    int64_t perpetual_cpu; /* of it by perpetual tasks */
    int64_t used_memory;
    int64_t used_gpus;
    int64_t foreign_cpu; /* of listed runs that are not ours */
    int64_t foreign_memory;
    AqTime foreign_since;
    AqTime idle_since;
    int64_t last_end;     /* highest end processed */
    int64_t confirmed;    /* highest end that may be forgotten */
    GArray *pending_ends; /* of PendingEnd, in order */
    uint64_t holds;
};

struct AqScheduler {
    AqSchedulerConfig config;
    AqSchedulerActions actions;
    void *context;
    const AqSiteConfig *site;
    AqTime created_at;
    AqTime now;
    int64_t wall;
    bool may_order;
    GArray *inherited_runs; /* of InheritedRun, until the jobs are loaded */
    bool is_loaded;
    bool is_closed;      /* no more orders are given */
    bool is_handed_over; /* by an earlier owner that named all its runs */
    bool is_recovered;
    bool is_superseded;
    GHashTable *jobs; /* id -> Job, owns them */
    AqLink active;
    AqLink dirty;
    uint64_t change_seq;
    uint64_t stored_seq;
    size_t saving;
    GHashTable *vms_by_id;
    AqLink vms;
    uint64_t used_vms_version;
    bool placement_due;
    AqTime next_place;
    AqTime earliest_place;
    AqTime next_scan;     /* of all tasks, for orders due again and pacing */
    int64_t largest_free; /* cores of one usable VM, during a placement */
    double offered;      /* work submitted lately, core-milliseconds, fading */
    double offered_long; /* the same over a longer time */
    AqTime offered_at;
    /* Means over the last tasks that were done: declared and measured. */
    double declared_ms;
    double taken_ms;
    AqSchedulerCounters counters;
};

/* ---- scheduler.c */
Job *scheduler_find_job(const AqScheduler *s, const char *id);
Task *scheduler_find_task(const AqScheduler *s, const AqTaskName *name);
void scheduler_name_task(const Task *task, AqTaskName *name);
void scheduler_changed(AqScheduler *s, Job *job);
void scheduler_task_done(AqScheduler *s, Task *task);
/* Counts a failed run once, however often it is listed. */
void scheduler_task_failed(AqScheduler *s, Task *task, int64_t run);
void scheduler_add_failure(Task *task, int64_t run);
/* The run has ended; the task may start again. */
void scheduler_requeue_task(AqScheduler *s, Task *task);
bool scheduler_is_finished(const Job *job);
const AqQueueConfig *scheduler_queue(const AqScheduler *s, const Job *job);
Occurrence *scheduler_add_occurrence(AqScheduler *s, Job *job,
                                     uint32_t number);
/* Makes the tasks ready whose earlier steps are done. */
void scheduler_unlock(AqScheduler *s, Occurrence *occurrence);
AqTime scheduler_estimate(const AqScheduler *s, const AqStepSpec *spec);

/* ---- vms.c */
Vm *vms_find(const AqScheduler *s, const char *id);
Vm *vms_add(AqScheduler *s, const AqVmReport *report);
void vms_attach(AqScheduler *s, Vm *vm, Task *task);
void vms_detach(AqScheduler *s, Task *task);
bool vms_is_usable(const AqScheduler *s, const Vm *vm);
void vms_on_reply(AqScheduler *s, Vm *vm, const AqOrderReply *reply);
void vms_on_no_reply(AqScheduler *s, Vm *vm);
/* Deadline for an order given now; remembers it. */
AqTime vms_grant(AqScheduler *s, Vm *vm);
void vms_end(AqScheduler *s, Vm *vm);
void vms_free(Vm *vm);
AqTime vms_tick(AqScheduler *s);
/* Confirms the ends of the VM that are stored. */
void vms_confirm_ends(const AqScheduler *s, Vm *vm);
void vms_target(const Vm *vm, AqOrderTarget *target);
/* Counts an end for or against the VM. */
void vms_note_end(AqScheduler *s, Vm *vm, const Task *task, bool is_failure);
/* Sets when the VM is looked at next, after a hold has been answered. */
void vms_schedule_hold(AqScheduler *s, Vm *vm);
/* Whether runs of unknown jobs have been listed for longer than their job
 * may take to be seen. */
bool vms_is_foreign_old(const AqScheduler *s, const Vm *vm);

/* ---- replies.c */
void replies_order_stop(AqScheduler *s, Task *task);
/* Logs that a run is given up without an end that its VM has listed. */
void replies_log_lost(const AqScheduler *s, const Task *task,
                      const char *reason);
/* Gives the orders again that had no answer. */
void replies_tick(AqScheduler *s);

/* ---- ranking.c */
/* Fills the ranking fields of a job and says whether it has ready tasks. */
bool ranking_update(const AqScheduler *s, Job *job);
int ranking_compare(const void *a, const void *b);

/* ---- placement.c */
void placement_run(AqScheduler *s);
void placement_send_start(AqScheduler *s, Task *task);

/* ---- perpetual.c */
void perpetual_tick(AqScheduler *s);

/* ---- progress.c */
void progress_encode(const Job *job, AqBuffer *out);
bool progress_apply(AqScheduler *s, Job *job, const char *bytes, size_t size);

#endif
