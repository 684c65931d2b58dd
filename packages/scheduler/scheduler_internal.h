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
 * job_terms.c   what applies to a job of its queue
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
    /* what applies now: spec.terms, except for what follows the configuration
     * in force; set by job_terms_update() */
    AqJobTerms terms;
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

#include "scheduler_functions.h"

#endif
