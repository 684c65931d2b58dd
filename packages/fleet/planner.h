#ifndef FLEET_PLANNER_H
#define FLEET_PLANNER_H

#include "fleet_internal.h"

/* State of a VM as the platform's VM list shows it. */
typedef enum {
    LISTED_LIVE,
    LISTED_LEAVING,
    LISTED_DOWN,
    LISTED_ABSENT
} Listing;

/* Counts of one pool's VMs within a planner step. */
typedef struct {
    int serving;     /* VMs of the pool in state serving */
    int unavailable; /* VMs of the pool in any state but serving */
    /* VMs that serve in the pool or will serve again, including VMs that are
     * moving into the pool and without those that are moving out of it. */
    int capacity_vms;
    /* VMs that the pool should have: min_serving plus the result of the
     * function buffer_target */
    int needed_vms;
    /* Number (VmEntry.zone) of the data centre in which waves keep VMs of the
     * pool out of service; ZONE_NONE: in no data centre, ZONE_MANY: in
     * several. */
    int active_zone;
} PoolPlan;

/* Most VM upserts of one planner step; later steps make the others.  128 VM
 * upserts take about 35 KB in the tail of head (AQ_FLEET_HEAD_KEY), half of
 * the size limit for head. */
#define STEP_UPSERTS_MAX 128

#define ZONE_NONE (-1)
#define ZONE_MANY (-2)

typedef struct {
    const char *name; /* name of the wave, owned by the document */
    /* owned copy of the wave's record, which the step changes */
    json_t *record;
    bool changed; /* "record" differs from the wave's record in the document */
    bool running;
    int64_t id;
    int max_parallel;
    /* VMs that the wave has taken out of service and that neither serve again
     * nor have failed */
    int in_progress;
} WavePlan;

/* State of one planner step (one call of AqPlanner_Step, whose upserts form
 * one commit).  Counts of VMs start with the values of the document and
 * include the upserts that the step has made so far, so that all drains that
 * one commit begins in a pool share the pool's budget. */
typedef struct {
    AqPlanner *planner;
    const AqFleet *fleet;
    int64_t wall_ms;
    const AqPlannerView *view;
    void *context;
    json_t *set;
    json_t *reboots;
    PoolPlan *pools; /* VM counts of each pool, by PoolEntry.number */
    /* for each VM, by VmEntry.number, 1 if this step has changed the VM */
    unsigned char *is_changed;
    WavePlan *waves;
    int wave_count;
    int upserts; /* VM upserts that this step has made so far */
    /* the platform's VM list has at least one VM of the fleet document; if
     * not, the step treats the VM list as not available */
    bool list_known;
    bool hold; /* this step begins no drain of a VM */
} PlanStep;

struct AqPlanner {
    /* pool name -> wall ms since which the pool has had a surplus of VMs */
    GHashTable *surplus;
    /* pool name -> wall ms since which the pool has had a deficit of VMs */
    GHashTable *deficit;
    /* Id of a rebooting VM that the VM list has shown as not live -> wall ms
     * at which the VM entered state rebooting. */
    GHashTable *down;
};

/* Appends to step->set an upsert that gives a VM the new record "record", and
 * counts the VM as being in state "state".  Takes over the caller's reference
 * to the record.  Returns false when the step has STEP_UPSERTS_MAX upserts
 * already; the VM then keeps its old record until a later step. */
bool plan_put_vm(PlanStep *step, const VmEntry *vm, json_t *record,
                 AqVmState state);
/* Returns how many further VMs of the pool the pool's budget allows to be
 * drained in this step. */
int plan_headroom(const PlanStep *step, const PoolEntry *pool);

/* Reads the waves of the document into step->waves. */
void plan_waves_load(PlanStep *step);
/* Returns the wave "name" of step->waves; NULL when the document has no such
 * wave or "name" is "". */
WavePlan *plan_wave(PlanStep *step, const char *name);
/* Counts a VM as in progress for the wave that keeps it out of service, and
 * enters the VM's data centre in active_zone of the VM's pool.  Does nothing
 * when no wave keeps the VM out of service. */
void plan_wave_add_in_progress(PlanStep *step, const VmEntry *vm);
/* Enters the result of a VM into the record of the wave that took the VM out
 * of service: the VM serves again ("returned") or has failed.  Also marks in
 * "record", the new record of the VM, that the wave has finished on the VM.
 * Stops the wave when the wave's latest RECENT_RESULTS_MAX results include
 * FAILED_RESULTS_LIMIT or more failures. */
void plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record,
                      bool returned);
/* Begins drains of VMs for the running waves; sets the state of a running wave
 * to done when the wave has no VMs left to work on. */
void plan_waves_run(PlanStep *step);
/* Appends upserts of the changed wave records to step->set and frees
 * step->waves. */
void plan_waves_finish(PlanStep *step);

/* Begins moves of VMs between pools: fills deficits and returns surpluses to
 * the spare pool. */
void plan_placement(PlanStep *step);

#endif
