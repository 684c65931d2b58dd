#ifndef SCHEDULER_INTERNAL_H
#define SCHEDULER_INTERNAL_H

#include <glib.h>

#include "aq_cap_shares.h"
#include "aq_list.h"
#include "aq_load_view.h"
#include "aq_scheduler.h"
#include "start_window.h"

/* Types and functions shared by the sources of the scheduler:
 * scheduler.c   jobs, steps and the tick
 * load.c        the reported load
 * load_view.c   what the owner publishes of a lasting overload
 * scheduler_check.c  whether counts agree with the tasks
 * vms.c         state of each VM, the VM's lease, and VMs that do not reply
 * vm_control.c  cordons, and the owner's view of VMs
 * vm_restart.c  VMs that start again under their id
 * used_vms.c    stored list of the VMs that a later owner must wait for
 * replies.c     effects of the replies to orders on tasks
 * superseded.c  runs that are stopped since another run replaces them
 * ranking.c     order in which jobs are placed
 * workspaces.c  what the jobs of each workspace use
 * workspace_waits.c  what workspaces have of the pool, and wait for
 * fair_order.c  turns of the workspaces while there is less room than work
 * workspace_caps.c  tasks that the caps of workspaces hold back
 * crashes.c     tasks under which VMs have crashed
 * open_runs.c   runs of which it is not known whether they crashed their VM
 * unknown_runs.c  runs that VMs list before their tasks are known
 * start_window.c  limit of start orders in flight
 * start_stall.c what a scheduler that starts no task waits for
 * placement.c   choice of a VM for each task
 * places.c      racks for which tasks wait
 * place_wait.c  whether such a wait pays
 * perpetual.c   moves of perpetual tasks off a VM, speed limits of fillers
 * progress.c    stored progress record of a job
 * saves.c       saves of job records, then confirmation of ends of runs */

typedef enum {
    /* the task's step waits for another step that is not done */
    TASK_BLOCKED,
    /* a run may start: the task has no live run, except perhaps, if the task's
     * step allows copies, one on a VM that does not reply */
    TASK_READY,
    /* the scheduler has ordered the start of a run; the run's VM has not
     * confirmed that start */
    TASK_STARTING,
    TASK_RUNNING,
    /* the scheduler has sent a stop order for the task's run, or will send one
     * as soon as the pool owner may send orders and no other order for the
     * task is pending */
    TASK_STOPPING,
    TASK_DONE
} TaskState;

typedef struct Job Job;
typedef struct Step Step;
typedef struct Vm Vm;

/* A customer whose jobs share the pool with those of others. */
typedef struct {
    char *name; /* owned */
    /* from the configuration in force; 0, and no cap, for a workspace that it
     * does not list */
    double weight;
    AqResources cap;
    bool is_configured;
    /* what the workspace's tasks use that are on a VM: starting, running or
     * stopping; fillers use no CPU */
    AqResources used;
    size_t task_count; /* number of these tasks */
    size_t job_count;  /* number of its jobs, finished ones included */
    /* the workspace's place in the order of jobs; NULL unless that is being
     * made; borrowed */
    struct FairGroup *group;
    /* What the workspace may use in the pool of the resources that its cap
     * limits: the part of the cap that the pool holds.  0 until
     * AqScheduler_SetCapLimit(). */
    AqResources limit;
    /* what its runs use that are not the current run of any task, as counted
     * last */
    AqResources foreign;
    /* Tasks that only the limit held back in the last placement, what they
     * need, and the need of the first of them, or of its gang. */
    size_t held_back_tasks;
    AqResources held_back;
    AqResources unit;
    /* since when tasks are held back and none has started, Unix ms; 0: none is
     * held back */
    int64_t waiting_since;
    uint64_t capped_count; /* how often the limit began to hold tasks back */
    AqTime capped_log_due;
} Workspace;

/* What a run uses that is not the current run of any task. */
typedef struct {
    const char *workspace; /* interned */
    AqResources amounts;
} ForeignUse;

/* In the types below, times without another note are on the scheduler's clock,
 * that of "now" in its functions.  CPU amounts are in thousandths of a core,
 * memory amounts in MB. */

/* How much a crash of a VM says against a run that was alive there, in rising
 * order; crashes.c. */
typedef enum {
    CRASH_LATE,
    CRASH_EARLY, /* the run had just started */
    CRASH_OWN,   /* no other run on the VM had just started */
    CRASH_KINDS
} CrashKind;

/* A run that was alive on a VM when the VM crashed. */
typedef struct {
    int64_t run;
    char vm[AQ_VM_ID_SIZE];
    CrashKind kind;
} Crash;

/* What became of a run of which it was not known whether it crashed its VM. */
typedef enum {
    RUN_DID_NOT_CRASH, /* its VM did not, or for another reason */
    RUN_CRASHED,
    RUN_CRASHED_WITH_RACK /* other VMs of the rack crashed too */
} RunFate;

typedef struct {
    Step *step; /* borrowed */
    uint32_t index;
    TaskState state;
    /* number of the task's latest run, the highest so far; 0: none */
    int64_t run;
    uint32_t failures; /* number of failed runs of the task */
    /* number of the task's runs in AqScheduler.open_runs */
    uint32_t open_run_count;
    /* array of the run numbers of the task's failed runs, "failures" of them;
     * owned.  NULL for a perpetual task, whose failures are not limited */
    int64_t *failed_runs;
    /* array of Crash: the task's runs under which a VM crashed; NULL: none;
     * owned */
    GArray *crashes;
    /* the start order is sent once all changes up to this one, as in
     * AqScheduler.change_seq, are stored; 0: at once */
    uint64_t start_seq;
    /* when the last run of the task came into AqScheduler.open_runs */
    AqTime open_run_since;
    /* when the start order was last sent for the task's run; before, when the
     * task was assigned to the VM */
    AqTime attached_at;
    /* when the VM last listed the current run; before, as attached_at */
    AqTime last_alive_at;
    /* VM on which the task's current run may be alive; NULL: there is none;
     * borrowed */
    Vm *vm;
    AqLink link; /* links the task into vm->tasks */
    /* VM that holds room for the next run of the task, whose present run is
     * being stopped to move there; NULL: none; borrowed */
    Vm *reserved_vm;
    /* links the task into reserved_vm->reservations */
    AqLink reservation_link;
    /* a start or stop order for the task has had no reply yet */
    bool is_order_pending;
    /* a start order for the current run has been sent, by this owner of the
     * pool or an earlier one */
    bool is_start_ordered;
    /* the job's record names the current run and its VM, in case it crashes
     * the VM and this owner of the pool does not learn of it */
    bool is_start_stored;
    /* the task counts in suspect_count of its VM */
    bool counts_as_suspect;
    /* when the last start order for the run was sent */
    AqTime start_sent_at;
    /* a start order for the run ended without a reply; the VM may still
     * execute that order */
    bool may_start_late;
    /* the same, also after the VM has confirmed another start order for the
     * run: its next incarnation would execute the order */
    bool has_unanswered_start;
    /* the scheduler must order the stop of the run once the VM has replied to
     * the run's pending start order */
    bool must_stop_after_reply;
    /* the VM has confirmed the stop order for the task's run */
    bool is_stop_acked;
    /* earliest time to send the task's start or stop order again */
    AqTime resend_at;
    /* when the task last became TASK_READY */
    AqTime ready_at;
    /* earliest time to start the task's next run */
    AqTime not_before;
    /* Of a task that waits for room at its place, or of the first task of such
     * a gang: since when, until when the last decision to wait holds, and the
     * wait that was expected at first, ms; 0: it does not wait. */
    AqTime place_wait_since;
    AqTime place_wait_until;
    AqTime place_wait_expected_ms;
    /* a run was started after such a wait; later runs do not wait */
    bool has_waited_for_place;
    /* when this scheduler received the VM's confirmation that the task's
     * current run has started, on the scheduler's clock; 0: not known */
    AqTime started_at;
    /* the VM's reply to a lease renewal that was sent after this time lists
     * the task's current run unless that run has ended */
    AqTime listed_after;
    /* when this scheduler last received a changed "percent" of the task's run
     * (percent of the task's work that is done), or the confirmation that the
     * run has started */
    AqTime progress_at;
    /* percent of the task's work that its run has done, as the VM last
     * reported */
    int64_t percent;
    /* the task's AqRunningTask.usage when the VM last listed the run: tail
     * latency in ms of a task that serves requests, for other tasks
     * thousandths of a core in use */
    int64_t usage;
    /* percent of full speed to which the scheduler limits the task's run;
     * below 100 only for a filler, a task that uses only CPU that others
     * leave */
    int pace;
    AqTime pace_changed_at;
    /* the VM has not confirmed the last order that set the pace */
    bool is_pace_unconfirmed;
    /* Of a perpetual task: since when the task is not at work, because it has
     * no run, its run is being stopped to move, or its run is not slowed and
     * reports a percent below 100.  AQ_TIME_NEVER while the task is at
     * work. */
    AqTime absent_since;
    /* value of vm->renewal_count when the VM last listed the task's run in a
     * reply to a lease renewal */
    uint64_t last_listed_renewal;
    /* last checkpoint that a VM reported, from which the task's next run
     * continues; NULL: none; owned */
    char *checkpoint;
    /* id of the VM on which a run of the task failed most recently, or that
     * was silent when the task was made ready again; the scheduler prefers
     * another VM for the task's next run; "": none */
    char avoid[AQ_VM_ID_SIZE];
} Task;

/* Ticket: permission of the advice service to start tasks of a step on one VM
 * until the ticket expires. */
typedef struct {
    char *vm;        /* id of the VM; owned */
    int64_t born_ms; /* incarnation of the VM, as Vm.born_ms */
    char *ticket;    /* text of the ticket, sent with the start order; owned */
    AqTime expires_at;
} Ticket;

typedef struct Occurrence {
    /* links the occurrence into job->occurrences */
    AqLink link;
    Job *job; /* borrowed */
    uint32_t number;
    /* array of job->spec.step_count steps; owned */
    Step *steps;
    /* number of the occurrence's steps that are not done */
    size_t steps_left;
    /* when the scheduler added this occurrence to the job */
    AqTime due_at;
} Occurrence;

struct Step {
    Occurrence *occurrence; /* borrowed */
    /* this step's element of job->spec.steps; borrowed */
    const AqStepSpec *spec;
    uint32_t number;
    /* array of spec->task_count tasks; owned */
    Task *tasks;
    /* number of the step's tasks in state TASK_DONE */
    uint32_t done;
    /* number of the step's tasks in state TASK_READY */
    uint32_t ready;
    /* a VM has crashed under one of the step's tasks */
    bool has_crashes;
    /* array of Ticket (the advice service's permissions to start tasks of the
     * step, each on one VM until it expires), or NULL; owned */
    GArray *tickets;
    /* the scheduler has requested tickets (permissions to start tasks of the
     * step) from the advice service, and that request has not ended */
    bool is_requesting_tickets;
    /* earliest time to request tickets (permissions to start tasks of the
     * step) from the advice service again */
    AqTime request_tickets_at;
};

struct Job {
    /* the workspace that submitted the job; NULL: none; borrowed */
    Workspace *workspace;
    /* where the use of the job's tasks is counted: the job's workspace, or
     * AqScheduler.without_workspace; borrowed */
    Workspace *account;
    /* links the job into scheduler->active while the job is unfinished */
    AqLink link;
    /* links the job into scheduler->dirty while a change of the job waits for
     * a save */
    AqLink dirty_link;
    AqJobSpec spec; /* the job's specification; owned */
    AqJobStage stage;
    /* stage in the job's last stored record */
    AqJobStage stored_stage;
    /* a VM has confirmed the start of a run of one of the job's tasks */
    bool has_started;
    /* no earlier owner of the pool can have started tasks of the job */
    bool is_new;
    /* the job's record is being written to the store */
    bool is_saving;
    bool changed_while_saving;
    /* number, counted by scheduler->change_seq, of the job's oldest change
     * that is neither stored nor part of the save under way; 1 after a failed
     * save; 0: no such change */
    uint64_t dirty_seq;
    AqLink occurrences; /* list of Occurrence; owned */
    /* number of these that have steps that are not done */
    uint32_t open_occurrences;
    /* number that the next occurrence added to "occurrences" of this job gets;
     * 0 before the first */
    uint32_t next_occurrence;
    AqTime submitted_at;
    /* Jobs with a lower bucket are placed first.  The bucket follows from the
     * priority of the job's queue, whether a ready task of the job is
     * perpetual, and how late the job is expected to be.  Set by
     * ranking_update() and valid during one placement_run(), as are
     * remaining_work and slack. */
    int bucket;
    /* Core-milliseconds that the job still needs: cores times declared
     * duration, summed over the tasks that are not done.  Only occurrences
     * with ready tasks count. */
    int64_t remaining_work;
    /* expected time, ms, from the job's completion to its objective; negative:
     * the job will be late */
    AqTime slack;
};

/* A run on a VM, named by ids: one that the previous owner of the pool stored
 * with the list of used VMs when it handed the pool over, or one that a VM has
 * listed before the scheduler knew the run's task. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];
    AqTaskName task;
    int64_t run;
} NamedRun;

/* A run whose VM may have crashed under it; open_runs.c. */
typedef struct {
    AqTaskName task;
    Crash crash; /* the crash if there was one */
    /* id that all incarnations of the VM share; "": not known */
    char machine[AQ_VM_ID_SIZE];
    /* incarnation of the VM, as Vm.born_ms */
    int64_t born_ms;
    AqTime since; /* when it became open */
} OpenRun;

/* A crash of a VM. */
typedef struct {
    char vm[AQ_VM_ID_SIZE];
    char rack[64];   /* "": not known */
    AqTime heard_at; /* when the VM was last heard of */
    bool is_common;  /* other VMs of the rack crashed too */
} VmCrash;

/* The end of one run, which a VM has listed in a reply to a lease renewal.
 * "number" is the AqEndedTask.number of the end, which may be confirmed to
 * that VM once all changes of jobs with numbers up to "seq" are stored. */
typedef struct {
    int64_t number;
    uint64_t seq;
} PendingEnd;

/* A run on a VM whose stop was ordered because another run of its task
 * replaces it.  It keeps its room until it can neither be alive nor start
 * late. */
typedef struct {
    AqTaskName task;
    int64_t run;
    int64_t cpu_millis; /* at least 1, so that the VM does not count as idle */
    int64_t memory_mb;
    int64_t gpus;
    const char *workspace; /* interned; NULL: none */
    /* when the VM confirmed the stop; AQ_TIME_NEVER: not yet */
    AqTime stopped_at;
    /* from when on the VM refuses the run's start order, whose lease has
     * expired, on the scheduler's clock */
    AqTime start_expires_at;
} SupersededRun;

struct Vm {
    AqVmReport report;
    AqLink link; /* links the VM into scheduler->vms */
    /* list of Task: the tasks whose current run may be alive on this VM */
    AqLink tasks;
    size_t task_count;
    /* number of "tasks" that were suspects when they came */
    size_t suspect_count;
    /* list of Task: the tasks for whose next run the VM holds room */
    AqLink reservations;
    /* AqVmReport.born_ms of the current incarnation, the latest that is known
     * of; 0: not known */
    int64_t born_ms;
    /* when this scheduler learned of the current incarnation although the VM
     * had another one before; AQ_TIME_NEVER: it knows of no other one */
    AqTime restarted_at;
    bool is_listed; /* the store has an entry of this VM */
    /* when the VM's entry in the store last disappeared, or, for a VM known
     * only from the stored list of used VMs, when this scheduler read that
     * list; not used while is_listed is true */
    AqTime unlisted_at;
    /* the VM's last list had ends of runs */
    bool lists_ends;
    bool is_cordoned;
    /* only suspects start on the VM, while they and other tasks wait */
    bool is_for_trials;
    /* The VM has been without tasks at some time since it was cordoned: the
     * order to move it or take it down may have been sent. */
    bool is_vacated;
    /* first version of the list of used VMs (VMs to which this pool owner may
     * have sent orders) in which this VM is included */
    uint64_t used_since_version;
    /* the stored version of the list of used VMs (VMs to which this pool owner
     * may have sent orders) includes this VM */
    bool is_use_recorded;
    /* the VM has replied to a lease renewal that this owner of the pool
     * sent */
    bool has_replied;
    /* a reply of the VM shows that it has seen this owner's fence, so that it
     * refuses the orders of earlier owners */
    bool has_seen_fence;
    /* the VM comes from the list of used VMs that an earlier owner of the pool
     * stored, since that owner may have sent the VM orders; false again once
     * the VM has been silent until its lease expired */
    bool used_by_earlier_owner;
    /* AqScheduler_VmEnded() was called for this VM, because the platform
     * accepted a move or maintenance of the VM, or lists another incarnation
     * of the VM; false again once this incarnation replies */
    bool has_ended;
    /* time on the VM's own clock that the VM reported in the reply received at
     * clock_at; -1: not known */
    AqTime clock_ms;
    /* when this scheduler received the VM's last reply that reports the VM's
     * clock */
    AqTime clock_at;
    /* end of the VM's lease, on the VM's clock: until then the VM runs tasks
     * without a renewal; not valid while clock_ms is -1 */
    AqTime deadline_ms;
    /* when the scheduler first found that the VM's lease has expired;
     * AQ_TIME_NEVER while it has not */
    AqTime lapsed_at;
    /* a lease renewal sent to the VM has had no reply yet */
    bool is_renewal_pending;
    /* earliest time to send the VM the next renewal order, which extends the
     * VM's lease; not used while is_renewal_pending is true */
    AqTime renewal_due;
    /* when an order to the VM first ended without a reply after the VM's last
     * reply; AQ_TIME_NEVER while the VM replies */
    AqTime silent_since;
    /* no task starts on the VM before this time, after the VM refused a start
     * with AQ_ORDER_NO_ROOM */
    AqTime blocked_until;
    /* no task starts on the VM before this time, after runs failed or stalled
     * there or the VM refused orders */
    AqTime quarantined_until;
    unsigned consecutive_failures;
    int64_t used_cpu;
    /* part of used_cpu that perpetual tasks take, in thousandths of a core */
    int64_t perpetual_cpu;
    int64_t used_memory;
    int64_t used_gpus;
    /* resources of the tasks in "reservations" */
    int64_t reserved_cpu;
    int64_t reserved_memory;
    int64_t reserved_gpus;
    /* CPU, in thousandths of a core, of those runs on the VM that are not the
     * current run of any task of this scheduler (foreign usage) */
    int64_t foreign_cpu;
    int64_t foreign_memory;
    /* of ForeignUse: the part of the foreign usage that workspaces have;
     * owned */
    GArray *foreign_uses;
    GArray *superseded; /* of SupersededRun; owned */
    /* since when the VM has listed runs, or ends of runs, of jobs that this
     * scheduler does not know; 0: it lists none */
    AqTime foreign_since;
    /* since when the VM has had no tasks; AQ_TIME_NEVER while it has tasks */
    AqTime idle_since;
    /* highest AqEndedTask.number among the ends of runs on this VM whose
     * effects this scheduler has applied to the tasks; 0: none */
    int64_t last_end_number;
    /* the VM need no longer list ends of runs with an AqEndedTask.number up to
     * this one, since the job changes that these ends caused are stored; 0:
     * none */
    int64_t confirmed_end_number;
    /* array of PendingEnd, in rising order of number: each end of a run that
     * the scheduler has applied and not yet confirmed to the VM; owned */
    GArray *pending_ends;
    /* number of renewal orders (each extends the VM's lease) to which the VM
     * replied AQ_ORDER_DONE */
    uint64_t renewal_count;
};

/* Why no task starts on a VM; the first reason that applies, in this order. */
typedef enum {
    VM_USABLE,
    VM_UNLISTED,
    VM_ENDED,
    VM_NOT_HEARD, /* it has not replied to a renewal of this owner */
    VM_SILENT,
    VM_USE_UNRECORDED, /* the stored list of used VMs does not include it */
    VM_DRAINING,
    VM_QUARANTINED,
    VM_CORDONED,
    VM_STATES
} VmState;

/* Why a task does not start on a usable VM; the first reason that applies, in
 * this order. */
typedef enum {
    PLACEMENT_POSSIBLE,
    PLACEMENT_BLOCKED, /* the VM refused a start for want of room just now */
    PLACEMENT_NO_ROOM,
    PLACEMENT_OTHER_LABEL,
    PLACEMENT_STEP_LIMIT, /* the VM has max_per_vm tasks of the step */
    PLACEMENT_NO_TICKET,
    /* the task, or one that has just started on the VM, may crash its VM */
    PLACEMENT_SUSPECT,
    PLACEMENT_CAPPED, /* the cap of the task's workspace holds it back */
    PLACEMENT_RESULTS
} PlacementResult;

struct AqScheduler {
    AqSchedulerConfig config;
    AqSchedulerActions actions;
    void *context;            /* first argument of each call of "actions" */
    const AqSiteConfig *site; /* borrowed */
    AqTime created_at;
    /* "now" of the latest call of a scheduler function that has this
     * parameter */
    AqTime now;
    /* "wall" of the last AqScheduler_Tick(), Unix ms */
    int64_t wall;
    bool may_order;
    /* when the last call was sent whose reply shows that this owner still had
     * the pool */
    AqTime confirmed_at;
    /* the lease of a VM has expired, or an awaited VM has ended, since
     * confirmed_at */
    bool awaits_confirmation;
    /* when a VM that vms_is_awaited() ended.  That its runs are gone does not
     * show that no later owner has taken note of their ends. */
    AqTime awaited_vm_ended_at;
    /* array of NamedRun; emptied by AqScheduler_SetLoaded() */
    GArray *inherited_runs;
    /* array of NamedRun: runs, and ends of runs that were not applied, in the
     * last reply of each VM to a lease renewal, of tasks that the scheduler
     * did not know */
    GArray *unknown_runs;
    GArray *open_runs;      /* of OpenRun; owned */
    GArray *recent_crashes; /* of VmCrash; owned */
    /* all stored jobs have been added, and all VMs from the stored list of
     * used VMs, to which an earlier pool owner may have sent orders */
    bool is_loaded;
    /* AqScheduler_Close() was called: the scheduler sends no more orders */
    bool is_closed;
    /* the previous pool owner handed the pool over and stored all its live
     * runs of tasks with the list of used VMs */
    bool is_handed_over;
    /* the scheduler knows all live runs that earlier owners of the pool may
     * have started */
    bool is_recovered;
    /* a VM reported that a later owner of the pool has sent it orders; this
     * scheduler sends no more orders */
    bool is_superseded;
    GHashTable *jobs; /* job id -> Job; owns the jobs */
    /* name -> Workspace: those that the configuration lists or that have jobs;
     * owned */
    GHashTable *workspaces;
    Workspace without_workspace; /* counts the jobs that have no workspace */
    AqLink active;               /* list of the unfinished jobs */
    /* list of the jobs with changes that wait for a save, the job with the
     * oldest change first */
    AqLink dirty;
    /* number of changes of jobs so far; the last change has this number */
    uint64_t change_seq;
    /* all changes of jobs with numbers up to this one are stored */
    uint64_t stored_seq;
    /* number of job records in the save under way; 0: none is */
    size_t saving_count;
    GHashTable *vms_by_id;
    AqLink vms; /* list of Vm; owned */
    /* version of the list of used VMs (VMs to which this pool owner may have
     * sent orders) */
    uint64_t used_vms_version;
    bool disables_shares; /* see AqScheduler_DisableShares() */
    /* when workspace_waits_log() next looks for waiting workspaces */
    AqTime next_wait_log_at;
    bool placement_due;
    /* when the scheduler next places tasks on VMs, unless placement_due
     * becomes true earlier */
    AqTime next_placement_at;
    /* no placement of tasks takes place before this time */
    AqTime earliest_placement_at;
    /* when the scheduler next scans all tasks, to repeat start and stop
     * orders, to move perpetual tasks off cordoned and draining VMs, and to
     * change the speed limits of fillers, which are tasks that use only CPU
     * that others leave */
    AqTime next_scan_at;
    /* most free CPU on one usable VM, in thousandths of a core; valid only
     * while tasks are placed */
    int64_t largest_free_cpu_millis;
    /* until when suspects, and tasks that are none, count as waiting */
    AqTime suspects_wait_until;
    AqTime others_wait_until;
    /* number of VMs with is_for_trials */
    size_t trial_vm_count;
    /* Core-milliseconds that the submitted jobs need: cores times expected
     * duration, summed over the tasks.  Perpetual tasks and recurring jobs do
     * not count.  The sum shrinks exponentially with the time constant
     * offered_decay_ms. */
    double offered_work;
    /* the same sum as offered_work, but it shrinks with the longer time
     * constant offered_long_decay_ms */
    double offered_work_long;
    /* when offered_work and offered_work_long were last reduced for the time
     * that had passed */
    AqTime offered_at;
    /* Core-milliseconds of the submitted jobs by priority and class, as in
     * AqLoadView.offered; the sums shrink as offered_work does. */
    double offered_by_class[AQ_LOAD_PRIORITIES][AQ_LOAD_CLASSES];
    /* when a load view last showed that the submissions needed no more CPU
     * than the pool has */
    AqTime sufficient_at;
    /* Moving averages over finished tasks: the declared and the actual
     * duration of a task. */
    double mean_declared_ms;
    double mean_actual_ms;
    StartWindow start_window;
    GHashTable *racks; /* places.c; owned */
    /* when a task last waited for a rack */
    AqTime rack_wanted_at;
    /* when a VM last confirmed a start, or no task was ready or starting,
     * whichever is later */
    AqTime no_start_since;
    /* when start_stall_tick() next looks for ready tasks */
    AqTime next_stall_check_at;
    AqSchedulerCounters counters;
};

/* ---- scheduler.c */
/* Returns the job with this id; NULL when the scheduler has no such job. */
Job *scheduler_find_job(const AqScheduler *s, const char *id);
/* Returns the named task; NULL when its job, occurrence, step or index is not
 * known. */
Task *scheduler_find_task(const AqScheduler *s, const AqTaskName *name);
void scheduler_name_task(const Task *task, AqTaskName *name);
/* Marks the job as changed, so that a later save includes its record. */
void scheduler_changed(AqScheduler *s, Job *job);
/* Marks the task as done; if its step is a gang, all tasks of the step. */
void scheduler_task_done(AqScheduler *s, Task *task);
/* Records that run number "run" of the task failed.  Has no effect if this was
 * recorded before, since a VM may list the end of a run several times. */
void scheduler_task_failed(AqScheduler *s, Task *task, int64_t run);
/* Adds run number "run" to the task's failed runs, without any other
 * effect. */
void scheduler_add_failure(Task *task, int64_t run);
/* Ends the job as failed and orders the stop of all its runs. */
void scheduler_fail_job(AqScheduler *s, Job *job);
/* Makes the task ready for its next run, after its last run has ended, or
 * while the VM of that run is silent and the step allows copies. */
void scheduler_requeue_task(AqScheduler *s, Task *task);
bool scheduler_is_finished(const Job *job);
/* Returns the job's queue; NULL when the site configuration has no queue of
 * that name. */
const AqQueueConfig *scheduler_queue(const AqScheduler *s, const Job *job);
Occurrence *scheduler_add_occurrence(AqScheduler *s, Job *job,
                                     uint32_t number);
/* Makes the occurrence's blocked tasks ready if all steps that must be done
 * before their step are done. */
void scheduler_unlock(AqScheduler *s, Occurrence *occurrence);
/* Returns the expected duration, ms, of a task of the step: the declared one,
 * scaled by the ratio of actual to declared durations of finished tasks. */
AqTime scheduler_estimate(const AqScheduler *s, const AqStepSpec *spec);

/* ---- vms.c */
/* Returns the VM with this id; NULL when the scheduler has no such VM. */
Vm *vms_find(const AqScheduler *s, const char *id);
Vm *vms_add(AqScheduler *s, const AqVmReport *report);
/* Assigns the task to the VM, adds the task's resources to the VM's usage and
 * ends the task's reservation. */
void vms_attach(AqScheduler *s, Vm *vm, Task *task);
/* Takes the task off its VM and subtracts the task's resources from the VM's
 * usage; no effect on a task without a VM. */
void vms_detach(AqScheduler *s, Task *task);
/* Holds room on the VM for the next run of the task, until that run is placed
 * or the reservation is ended. */
void vms_reserve(Vm *vm, Task *task);
/* Ends the task's reservation; no effect on a task without one. */
void vms_end_reservation(Task *task);
VmState vms_state(const AqScheduler *s, const Vm *vm);
/* Since when the VM has not replied; AQ_TIME_NEVER for a VM that replies or is
 * known to have ended.  A VM that an earlier pool owner used counts as silent
 * from the scheduler's creation until the VM replies. */
AqTime vms_silent_since(const AqScheduler *s, const Vm *vm);
/* Whether an earlier pool owner may have sent the VM orders, and the VM has
 * neither replied to this one nor ended and may still have a valid lease. */
bool vms_is_awaited(const AqScheduler *s, const Vm *vm);
/* Whether tasks may be started on the VM, provided that its free resources
 * suffice for them. */
bool vms_is_usable(const AqScheduler *s, const Vm *vm);
/* Whether the VM would be usable but for its cordon and has had tasks ever
 * since it was cordoned, so that nobody has ordered its move or
 * maintenance. */
bool vms_is_being_emptied(const AqScheduler *s, const Vm *vm);
/* Records that the VM replied, the VM's clock from the reply, and whether the
 * reply shows that the VM has seen this owner's fence.  A reply that does not
 * say which incarnation sent it has no effect, since the VM may have started
 * again. */
void vms_on_reply(AqScheduler *s, Vm *vm, const AqOrderReply *reply);
/* Records that an order to the VM ended without a reply. */
void vms_on_no_reply(AqScheduler *s, Vm *vm);
/* Extends the VM's lease for an order that is sent now.  Returns the new end
 * of the lease, on the VM's clock. */
AqTime vms_grant_lease(AqScheduler *s, Vm *vm);
/* Makes the VM's tasks ready for new runs, counts their runs on the VM as
 * lost, removes the VM from the scheduler's table of VMs and frees the Vm
 * struct. */
void vms_remove(AqScheduler *s, Vm *vm);
void vms_free(Vm *vm);
/* Sends the lease renewals that are due.  Makes tasks of VMs that do not reply
 * ready for new runs: tasks that allow copies after COPY_AFTER_SILENCE_MS, all
 * tasks once the VM's lease has expired.  Removes VMs without tasks whose
 * entry in the store has disappeared.  Returns when the next lease renewal is
 * due. */
AqTime vms_tick(AqScheduler *s);
/* Removes ends of runs from the front of the VM's pending_ends, up to the
 * first end whose job change is not stored.  Sets confirmed_end_number to the
 * number of the last end removed. */
void vms_confirm_ends(const AqScheduler *s, Vm *vm);
/* Sets *target to the VM's address and id, both borrowed from the VM. */
void vms_target(const Vm *vm, AqOrderTarget *target);
/* Counts a run of the task on the VM as failed or not.  After
 * QUARANTINE_AFTER_FAILURES consecutive failed runs no task starts on the VM
 * for QUARANTINE_MS. */
void vms_record_result(AqScheduler *s, Vm *vm, const Task *task,
                       bool is_failure);
/* Sets when the VM's next lease renewal is due.  Called when a lease renewal
 * has ended, with or without a reply. */
void vms_schedule_renewal(AqScheduler *s, Vm *vm);
/* Whether the VM has listed runs, or ends of runs, of unknown jobs for longer
 * than UNKNOWN_JOB_GRACE_MS, which is longer than this owner of the pool needs
 * to read a new job from the store. */
bool vms_is_foreign_run_overdue(const AqScheduler *s, const Vm *vm);

/* Returns by when the VM refuses a start order that is sent now. */
AqTime vms_start_expiry(const AqScheduler *s);

/* ---- vm_restart.c */
/* Notes that the VM's incarnation with this born_ms exists, 0: not known; if
 * it is a later one than the known one, the VM has started again.  Returns
 * false if it is an earlier one. */
bool vm_restart_note_born(AqScheduler *s, Vm *vm, int64_t born_ms);
/* Does the same for the incarnation that sent a reply, and returns the reply
 * to use: AQ_ORDER_UNKNOWN in place of one of an earlier incarnation, or of a
 * list of runs that does not say whose it is. */
AqOrderReply vm_restart_filter_reply(AqScheduler *s, Vm *vm,
                                     const AqOrderReply *reply, bool is_list);

/* ---- load.c */
/* Brings the sums of offered work up to the present time. */
void load_decay(AqScheduler *s);
/* Adds the work of a new job to the offered load. */
void load_add_job(AqScheduler *s, const AqJobSpec *spec);

/* ---- places.c */
/* Returns the table of racks, AqScheduler.racks. */
GHashTable *places_create(void);
/* Whether the task, for which there is now room only away from its data,
 * waits for room in the rack of its data. */
bool places_wait_for_data(AqScheduler *s, Task *task);
/* Whether the gang, for which no rack has room now, waits for one. */
bool places_wait_for_rack(AqScheduler *s, Step *step);
/* Whether the task is ready and waits for room at its place although there is
 * room elsewhere. */
bool places_is_waiting(const AqScheduler *s, const Task *task);
/* Whether a task waited for this rack in the last placements. */
bool places_is_wanted(const AqScheduler *s, const char *rack);
/* Returns "near" or "far" for a task that is on a VM and has a place, else
 * "any"; static storage. */
const char *places_name(const Task *task);
/* Counts the start of a task that has a place, and logs the end of its wait.
 * Called when all tasks of a gang are assigned to their VMs. */
void places_note_start(AqScheduler *s, Task *task);

/* ---- replies.c */
/* Orders the stop of the task's run.  While a start order for the task is
 * pending, the stop is deferred until the VM has replied to the start
 * order. */
void replies_order_stop(AqScheduler *s, Task *task);
/* Orders the stop of a run on the VM that is not the current run of any task,
 * for example a run of a finished job. */
void replies_stop_stray(AqScheduler *s, const Vm *vm, const AqTaskName *name,
                        int64_t run);
/* Logs that the task's run is given up as lost although its VM has not listed
 * an end of that run. */
void replies_log_lost(const AqScheduler *s, const Task *task,
                      const char *reason);
/* Logs that the task is made ready although its run on a silent VM may
 * continue. */
void replies_log_copy(const AqScheduler *s, const Task *task);
/* Makes a run that the VM lists the task's current run.  The run was started
 * by an earlier pool owner, or by a start order of this pool owner that had no
 * reply. */
void replies_adopt_run(AqScheduler *s, Vm *vm, Task *task,
                       const AqRunningTask *row);
/* Sends again each start order that had no reply, once the VM replies to other
 * orders, and each stop order that the VM has not confirmed; both not before
 * the task's resend_at. */
void replies_tick(AqScheduler *s);

/* ---- crashes.c */
/* Number of the task's runs under which a VM has crashed. */
uint32_t crashes_count(const Task *task);
/* Adds a crash under a run of the task, without any other effect. */
void crashes_add(Task *task, const Crash *crash);
void crashes_clear(Task *task);
/* Number of runs on the VM that have just started. */
unsigned crashes_count_young(const Vm *vm);
/* The kind of a crash of the task's VM, which had so many young runs. */
CrashKind crashes_kind(const Task *task, unsigned young_count);
/* Records that a VM crashed under a run of the task, unless that is known.
 * The job fails if there were too many. */
void crashes_record_run(AqScheduler *s, Task *task, const Crash *crash);
/* Records that the VM has crashed with all runs that may be alive there; no
 * crash counts on a VM that was draining or that an order may have ended. */
void crashes_record_vm(AqScheduler *s, const Vm *vm);
/* Records a crash that an earlier owner stored with one of its tasks. */
void crashes_note_stored(AqScheduler *s, const Crash *crash);
/* Number of crashes of VMs in the last 10 s, without those of whole racks. */
size_t crashes_count_recent(const AqScheduler *s);
/* Whether the job fails if so many further VMs crash under the task. */
bool crashes_is_last(const Task *task, uint32_t further);
/* Whether the task may crash its VM.  It may then find no VM although other
 * tasks of its step do. */
bool crashes_is_suspect(const Task *task);
/* Prepares the start of the task, which has been assigned to a VM.  Returns
 * whether the start order must wait until the job is stored. */
bool crashes_store_start(AqScheduler *s, Task *task);
/* Whether the task may share the VM with what runs there. */
bool crashes_allow_vm(const AqScheduler *s, const Vm *vm, const Task *task);
/* Records that the ready task found no VM. */
void crashes_note_wait(AqScheduler *s, const Task *task);
/* Chooses the VMs that only suspects may use in this placement. */
void crashes_choose_trial_vms(AqScheduler *s);
/* Addend of the cost of running the task on the VM, thousandths of a core. */
int64_t crashes_placement_cost(const Vm *vm, const Task *task);
/* Counts the task among the suspects of its VM, or no longer. */
void crashes_attach(const AqScheduler *s, Vm *vm, Task *task);
void crashes_detach(AqScheduler *s, Task *task);
/* Called when the start order of the task's run is sent, also again. */
void crashes_note_start_sent(const AqScheduler *s, Task *task);
/* Called when a run that was alive before becomes the task's current run: its
 * start was some time ago. */
void crashes_note_adopted(Task *task);
/* Called when the VM lists the task's current run as alive. */
void crashes_note_alive(AqScheduler *s, Task *task);

/* ---- open_runs.c */
/* Adds a run of the task that may have crashed the incarnation "born_ms" of
 * its VM, 0: not known; no effect if the VM is draining. */
void open_runs_add(AqScheduler *s, Task *task, const Crash *crash,
                   int64_t born_ms);
/* The same for the task's current run, which is about to be given up, on a VM
 * that had so many young runs. */
void open_runs_add_current(AqScheduler *s, Task *task, unsigned young_count);
/* Orders the stop of the open runs on the VM: its next incarnation may still
 * receive their start orders. */
void open_runs_stop(AqScheduler *s, const Vm *vm);
/* Settles the open runs on the VM, whose current incarnation has sent a list:
 * those on earlier incarnations have crashed, and are stopped, since the
 * current one may still receive their start orders. */
void open_runs_note_reply(AqScheduler *s, const Vm *vm);
/* Settles the open runs on the VM. */
void open_runs_settle(AqScheduler *s, const char *vm, RunFate fate);
/* Settles the open runs on earlier incarnations of the reported VM, which have
 * crashed. */
void open_runs_note_listed(AqScheduler *s, const AqVmReport *report);
/* Forgets open runs that stay unsettled. */
void open_runs_tick(AqScheduler *s);
/* Whether the task must not start now since too many of its runs are open. */
bool open_runs_hold_start(const AqScheduler *s, const Task *task);

/* ---- unknown_runs.c */
/* Keeps a run of an unknown task until the VM's next list. */
void unknown_runs_add(AqScheduler *s, const Vm *vm, const AqTaskName *task,
                      int64_t run);
/* Forgets what the VM has listed. */
void unknown_runs_clear(AqScheduler *s, const char *vm);
/* Makes the runs that VMs have listed before the scheduler knew their tasks
 * the current runs of those of the job's tasks that are known now. */
void unknown_runs_adopt(AqScheduler *s, const Job *job);

/* ---- superseded.c */
/* Records that the VM has confirmed the stop of the run, if the run is a
 * superseded one. */
void superseded_note_stop(const AqScheduler *s, const Vm *vm,
                          const AqTaskName *task, int64_t run);
/* Orders the stop of the VM's superseded runs again, which is not confirmed by
 * its current incarnation. */
void superseded_stop_again(AqScheduler *s, Vm *vm);
/* Adds the superseded runs that the VM does not list, but whose start orders
 * it may still execute, to its foreign usage, and forgets the others.  The
 * renewal order was sent at "sent_at". */
void superseded_add_usage(const AqScheduler *s, Vm *vm, AqTime sent_at,
                          const AqOrderReply *reply);

/* ---- ranking.c */
/* Sets "bucket", "remaining_work" and "slack" of the job.  Returns whether the
 * job has ready tasks. */
bool ranking_update(const AqScheduler *s, Job *job);
/* Order of two Job pointers for qsort: the job to place first comes first. */
int ranking_compare(const void *a, const void *b);
/* Both as of the last ranking_update(): the priority of the job's queue, and
 * whether the job's result has no value any more. */
int ranking_priority(const Job *job);
bool ranking_is_very_late(const Job *job);

/* ---- workspaces.c */
void workspaces_free(gpointer workspace);
/* Reads weights and caps from the site configuration. */
void workspaces_set_site(AqScheduler *s);
/* Sets the job's workspace, and ends that. */
void workspaces_add_job(AqScheduler *s, Job *job);
void workspaces_remove_job(AqScheduler *s, Job *job);
/* Adds what the task needs to its workspace's use if "sign" is 1, subtracts it
 * if it is -1. */
void workspaces_count_task(const Task *task, int sign);

/* ---- workspace_waits.c */
/* Logs at times which workspace waits longest, after a placement in which
 * shares counted and so many tasks were assigned to VMs. */
void workspace_waits_log(AqScheduler *s, uint64_t starts);
/* ---- workspace_caps.c */
/* Adds a run of a task with this specification, which is not the current run
 * of any task, to the VM's foreign usage; "workspace" NULL: it has none. */
void workspace_caps_add_foreign(Vm *vm, const char *workspace,
                                const AqStepSpec *spec);
/* Prepares a placement of tasks. */
void workspace_caps_begin(AqScheduler *s);
/* Whether "count" tasks of the step may start within the cap of their
 * workspace. */
bool workspace_caps_has_room(const Step *step, uint32_t count);
/* The same; if not, notes that the step's ready tasks are held back. */
bool workspace_caps_allow(AqScheduler *s, const Step *step, uint32_t count);
/* Notes that a start of the task is ordered. */
void workspace_caps_note_start(const Task *task);

/* ---- placement.c */
/* Orders the start of ready tasks if a placement of tasks is due. */
void placement_run(AqScheduler *s);
/* Returns a usable VM with room for a task that is to move off its VM; NULL:
 * there is none. */
Vm *placement_find_move_target(const AqScheduler *s, const Task *task);
/* Whether the VM, if it may get tasks, may run the task and has room for
 * it. */
/* Number of further tasks of the task's step that the VM may run if it has
 * room for them; 0 if the VM does not suit the task. */
uint32_t placement_task_limit(const Vm *vm, const Task *task);
PlacementResult placement_check(const AqScheduler *s, const Vm *vm,
                                const Task *task);
/* Sends the start order of a task that is assigned to a VM. */
void placement_send_start(AqScheduler *s, Task *task);

/* ---- start_stall.c */
/* Notes whether tasks wait for their start. */
void start_stall_tick(AqScheduler *s);

/* ---- perpetual.c */
/* Repeats start and stop orders that had no reply, moves perpetual tasks off
 * cordoned and draining VMs, and changes the speed limits of fillers, which
 * are tasks that use only CPU that others leave. */
void perpetual_tick(AqScheduler *s);

/* ---- progress.c */
/* Appends the job's progress in its stored form to "out". */
void progress_encode(const AqScheduler *s, const Job *job, AqBuffer *out);
/* Sets the job's progress from its stored form "bytes"; false when these are
 * damaged. */
bool progress_apply(AqScheduler *s, Job *job, const char *bytes, size_t size);

#endif
