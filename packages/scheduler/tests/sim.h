#ifndef SIM_H
#define SIM_H

#include <glib.h>

#include "aq_random.h"
#include "aq_scheduler.h"

/* A pool on a virtual clock: VMs that run tasks under leases, a store, and
 * one or two owners with a scheduler each.  Orders and answers may be lost or
 * late, VMs crash or fall silent, owners are killed or unaware that they are
 * replaced.  Everything follows from the seed. */

enum {
    SIM_VMS = 8,
    SIM_LEASE_MS = 5000,
    SIM_OWNER_LEASE_MS = 3000,
    SIM_VM_CPU = 16000
};

typedef struct Sim Sim;

/* What may go wrong, in thousandths of each order. */
typedef struct {
    unsigned lost_answers;
    unsigned late_orders; /* carried out 1 to 6 s later, without an answer */
    unsigned failing_runs;
    unsigned failed_saves;
} SimFaults;

Sim *sim_create(uint64_t seed);
void sim_destroy(Sim *sim);
void sim_set_faults(Sim *sim, const SimFaults *faults);

AqTime sim_now(const Sim *sim);
/* Runs for so long.  Stops at the first broken rule. */
void sim_run(Sim *sim, AqTime ms);
/* Runs until all jobs are finished as the store has it; false when that takes
 * longer. */
bool sim_finish(Sim *sim, AqTime most_ms);

/* Text of the first broken rule, or NULL. */
const char *sim_broken(const Sim *sim);

/* ---- Owners ------------------------------------------------------------- */

/* Starts an owner that loads what is stored.  "previous_may_be_active": the
 * earlier one is unaware and gives orders for the rest of its lease. */
void sim_start_owner(Sim *sim, bool previous_may_be_active);
void sim_kill_owner(Sim *sim);
/* Ends the owner as a graceful stop does, and starts the next one. */
void sim_hand_over(Sim *sim);
AqScheduler *sim_scheduler(const Sim *sim);
/* The owner's lease is in doubt: it gives no orders. */
void sim_set_certain(Sim *sim, bool is_certain);

/* ---- VMs ---------------------------------------------------------------- */

/* Silent for so long; its tasks go on. */
void sim_silence_vm(Sim *sim, unsigned vm, AqTime ms);
/* A new incarnation, empty, under another id; the old one has ended. */
void sim_crash_vm(Sim *sim, unsigned vm);
/* Its runs make no progress. */
void sim_stall_vm(Sim *sim, unsigned vm, bool is_stalled);
/* It is listed as draining from now on. */
void sim_drain_vm(Sim *sim, unsigned vm);
const char *sim_vm_id(const Sim *sim, unsigned vm);
/* Runs there now; of one job when "job" is not NULL. */
unsigned sim_count_runs(const Sim *sim, unsigned vm, const char *job);
/* The tail latency that the VM's serving tasks show. */
void sim_set_tail(Sim *sim, unsigned vm, int64_t ms);
/* The lowest share that a run of the VM is paced to, percent. */
int sim_lowest_pace(const Sim *sim, unsigned vm);

/* ---- Jobs --------------------------------------------------------------- */

/* Accepts a job; what *spec owns is taken. */
void sim_add_job(Sim *sim, AqJobSpec *spec);
/* A job of "steps" steps in a chain, each of "tasks" tasks. */
void sim_add_simple(Sim *sim, const char *id, unsigned steps, unsigned tasks,
                    int64_t cpu_millis, AqTime duration_ms);
/* Runs of the job take so many percent of what it declares. */
void sim_misdeclare(Sim *sim, const char *id, int percent);
/* The next runs of a job fail. */
void sim_fail_job(Sim *sim, const char *id, unsigned runs);
void sim_cancel_job(Sim *sim, const char *id);
/* The stage that the store has. */
AqJobStage sim_stage(const Sim *sim, const char *id);
/* Runs of the job that were begun. */
unsigned sim_runs(const Sim *sim, const char *id);

#endif
