#ifndef SIM_H
#define SIM_H

#include <glib.h>

#include "aq_random.h"
#include "aq_scheduler.h"

/* Simulation of a pool on a virtual clock: VMs that run tasks while their
 * leases last, a store, and one or two active owners of the pool with a
 * scheduler each.  Orders may be delayed and replies lost, VMs crash or stop
 * replying, owners are killed or go on sending orders after they were
 * replaced.  The seed determines the whole simulation.
 *
 * The simulation checks invariants at each start, stop and confirmed end of a
 * run, and the schedulers' consistency at each tick.  It stops at the first
 * violation.  Times are ms of the virtual clock.  The VMs are numbered from 0
 * to SIM_VMS - 1. */

enum {
    SIM_VMS = 8,
    /* duration of the lease that an order of the pool owner grants to a VM;
     * the VM runs tasks until the lease ends without a renewal */
    SIM_LEASE_MS = 5000,
    /* a VM shortens a longer lease to this one */
    SIM_LONGEST_LEASE_MS = 6000,
    /* duration of a pool owner's lease on the pool: how long a pool owner that
     * does not notice its replacement goes on sending orders */
    SIM_OWNER_LEASE_MS = 3000,
    SIM_VM_CPU_MILLIS = 16000,
    /* an order without a reply ends with AQ_ORDER_UNKNOWN after this time */
    SIM_REPLY_TIMEOUT_MS = 600,
    SIM_CRASHES_PER_TASK = 3,
    SIM_STARTS_AFTER_CRASHES = 2
};

typedef struct Sim Sim;

/* Probabilities, in thousandths, of the faults that the simulation injects:
 * into each order that a pool owner sends, each run that a VM starts, and each
 * save of job records by a pool owner. */
typedef struct {
    /* of 1000 orders that a VM has executed, the number whose reply does not
     * reach the pool owner */
    unsigned lost_replies_permille;
    /* of 1000 orders that a pool owner sends, the number that reach the VM
     * only 1 to 6 s later; the pool owner gets no reply to these orders */
    unsigned delayed_orders_permille;
    /* an order that a VM has not executed when it crashes is executed by its
     * next incarnation under the same id; else the VM loses it */
    bool do_orders_outlive_vms;
    unsigned failing_runs_permille;
    unsigned failed_saves_permille;
} SimFaults;

/* Creates a simulated pool without faults and jobs and starts the pool's first
 * owner. */
Sim *sim_create(uint64_t seed);
void sim_destroy(Sim *sim);
void sim_set_faults(Sim *sim, const SimFaults *faults);

/* Limits the link over which the orders of all owners go; 0: no limit. */
void sim_set_link(Sim *sim, unsigned bytes_per_s);

AqTime sim_now(const Sim *sim);
/* Advances the simulation by "ms" of the virtual clock, or to the first
 * violation of an invariant. */
void sim_run(Sim *sim, AqTime ms);
/* Advances the simulation until the stage in the stored record of every job is
 * final.  False when "timeout_ms" of the virtual clock passes or an invariant
 * is violated before that. */
bool sim_run_until_finished(Sim *sim, AqTime timeout_ms);

/* Message that describes the first violated invariant, or NULL.  Borrowed. */
const char *sim_violation(const Sim *sim);

/* ---- Owners ------------------------------------------------------------- */

/* Starts a new owner of the pool, which loads the stored jobs and the stored
 * list of used VMs, to which an earlier pool owner may have sent orders.  With
 * "previous_may_be_active" the previous pool owner does not notice that it was
 * replaced and sends orders until its lease on the pool ends. */
void sim_start_owner(Sim *sim, bool previous_may_be_active);
/* Ends the pool's current owner immediately; changes of jobs that this pool
 * owner has not saved are lost. */
void sim_kill_owner(Sim *sim);
/* Hands the pool over: the current pool owner saves the records of all changed
 * jobs, stores its live runs with the list of used VMs and exits; then the
 * next pool owner starts. */
void sim_hand_over(Sim *sim);
/* Like sim_hand_over, but the changed records are not stored, as when the time
 * for a hand-over is up. */
void sim_hand_over_unsaved(Sim *sim);
/* Hands the pool over like sim_hand_over().  The job is cancelled after the
 * current pool owner has stored its runs; the next one reads the cancelling
 * with the jobs. */
void sim_hand_over_cancelling(Sim *sim, const char *id);
/* Sets the workspaces of the configuration; borrowed. */
void sim_set_workspaces(Sim *sim, AqWorkspaceConfig *workspaces, size_t count);
/* Replaces the configuration's only queue, "queue" of the pool "pool", whose
 * terms the jobs are accepted under all the while; NULL: by none.  The strings
 * of the queue are borrowed. */
void sim_set_queue(Sim *sim, const AqQueueConfig *queue);
/* Returns the scheduler of the current pool owner; borrowed. */
AqScheduler *sim_scheduler(const Sim *sim);
/* Sets whether the current pool owner is certain to hold its lease on the
 * pool; a pool owner that is not certain sends no orders. */
void sim_set_lease_certain(Sim *sim, bool is_lease_certain);
/* Sets by how many ms the wall clock of the current pool owner is ahead of
 * sim_now(); 0 at the owner's start. */
void sim_set_wall_ahead(Sim *sim, AqTime ms);
/* Sets whether the current pool owner is told of jobs that are added from now
 * on; once it is told again, it gets those that it has missed. */
void sim_set_told_of_jobs(Sim *sim, bool is_told);

/* ---- VMs ---------------------------------------------------------------- */

/* Makes the VM drop all orders for "ms" of the virtual clock; the VM's runs
 * continue while the VM's lease lasts. */
void sim_silence_vm(Sim *sim, unsigned vm, AqTime ms);
/* Lets only the orders of the owners from number "first" to number "last"
 * reach the VM, as when the network is partitioned; the first owner of the
 * pool has the number 1.  The VM's next incarnation is reached by all. */
void sim_limit_reach(Sim *sim, unsigned vm, uint64_t first, uint64_t last);
/* Makes the VM answer the next "count" orders of the current pool owner with
 * AQ_ORDER_UNHEALTHY; these orders have no effect. */
void sim_refuse_orders(Sim *sim, unsigned vm, unsigned count);
/* Loses the next "count" orders that stop a run: the VM does not execute them
 * and does not reply. */
void sim_lose_stops(Sim *sim, unsigned count);
/* Ends the VM's current incarnation with all runs on it, and starts a new
 * incarnation of the VM without runs under another id. */
void sim_crash_vm(Sim *sim, unsigned vm);
/* Ends all runs on the VM, which drops all orders until it starts again after
 * "down_ms" as another incarnation. */
void sim_crash_vm_for(Sim *sim, unsigned vm, AqTime down_ms);
/* Like sim_crash_vm_for(), but the next incarnation has the same id and a
 * later born_ms; its entry in the store follows up to a second after its
 * start.  The orders under way end without a reply only SIM_REPLY_TIMEOUT_MS
 * after the crash, as if the VM had lost power. */
void sim_restart_vm(Sim *sim, unsigned vm, AqTime down_ms);
/* From now on all VMs that crash for a time keep their ids. */
void sim_keep_ids(Sim *sim);
/* Sets whether the VM is stalled.  While a VM is stalled, its runs make no
 * progress. */
void sim_stall_vm(Sim *sim, unsigned vm, bool is_stalled);
/* Makes the VM report that it is draining, from now on. */
void sim_drain_vm(Sim *sim, unsigned vm);
/* Id of the VM's current incarnation; borrowed. */
const char *sim_vm_id(const Sim *sim, unsigned vm);
/* Number of live runs on the VM: of the job with the id "job", or of all jobs
 * when "job" is NULL. */
unsigned sim_count_runs(const Sim *sim, unsigned vm, const char *job);
/* Sets the tail latency, ms, that the VM reports for each of its perpetual
 * tasks. */
void sim_set_tail_latency(Sim *sim, unsigned vm, int64_t ms);
/* Loses the next "count" orders that limit the speed of a run, as when their
 * connection ends. */
void sim_lose_paces(Sim *sim, unsigned count);
/* Returns the lowest speed to which an order has limited a run on the VM, in
 * percent of full speed; 100 when the VM has no runs. */
int sim_lowest_pace(const Sim *sim, unsigned vm);

/* ---- Jobs --------------------------------------------------------------- */

/* Stores a job and adds the job to the schedulers of all pool owners that may
 * still send orders.  Takes over what *spec owns; sets the job's text and
 * time of submission, and the queue "queue" unless there is one. */
void sim_add_job(Sim *sim, AqJobSpec *spec);
/* From now on the stored jobs lack the queue's terms, as those of the version
 * before. */
void sim_store_old_jobs(Sim *sim);
/* Adds a job of "steps" steps with "tasks" tasks each; each step waits for the
 * step before it.  "duration_ms" is the declared duration of a task. */
void sim_add_chain(Sim *sim, const char *id, unsigned steps, unsigned tasks,
                   int64_t cpu_millis, AqTime duration_ms);
/* Adds a job of one step with "tasks" perpetual tasks, one at most on a VM, of
 * which "may_miss" may be away at a time. */
void sim_add_perpetual(Sim *sim, const char *id, unsigned tasks,
                       unsigned may_miss);
/* Sets the actual duration of the job's runs, in percent of the declared
 * duration of their tasks. */
void sim_set_actual_duration(Sim *sim, const char *id, int percent);
/* Makes the next "runs" runs that VMs start for the job's tasks fail. */
void sim_fail_next_runs(Sim *sim, const char *id, unsigned runs);
/* Makes each run of the job's first task crash its VM CRASH_DELAY_MS after its
 * start; the VM is back after "down_ms", as another incarnation.  A start of
 * the task is a violation once SIM_STARTS_AFTER_CRASHES others have followed
 * SIM_CRASHES_PER_TASK crashes. */
void sim_crash_vms_of(Sim *sim, const char *id, AqTime down_ms);
void sim_cancel_job(Sim *sim, const char *id);
/* Stage in the job's stored record; AQ_STAGE_WAITING when the job has no
 * stored record. */
AqJobStage sim_stage(const Sim *sim, const char *id);
/* Number of runs of the job that have been started on VMs so far. */
unsigned sim_count_starts(const Sim *sim, const char *id);
/* Number of crashes of VMs caused by the job's runs so far. */
unsigned sim_count_crashes(const Sim *sim, const char *id);

#endif
