#ifndef SCHEDULER_FUNCTIONS_H
#define SCHEDULER_FUNCTIONS_H

/* Functions that the sources of the scheduler share, by source.  Included by
 * scheduler_internal.h, which has their types. */

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

/* ---- job_terms.c */
/* Sets job->terms; completes job->spec.terms from the configuration in force
 * if they are not known yet. */
void job_terms_update(const AqScheduler *s, Job *job);
/* Whether the job's limit of failed runs allows another run of the task. */
bool job_terms_allow_run(const Task *task);
/* Whether a task of the job that is not done may not run any more. */
bool job_terms_are_exhausted(const Job *job);

/* ---- load.c */
/* Brings the sums of offered work up to the present time. */
void load_decay(AqScheduler *s);
/* Adds the work of a new job to the offered load. */
void load_add_job(AqScheduler *s, const Job *job);

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
void workspaces_free(gpointer pointer);
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
