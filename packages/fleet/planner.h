#ifndef FLEET_PLANNER_H
#define FLEET_PLANNER_H

#include "fleet_internal.h"

/* State of one planner step (one call of AqPlanner_Step, whose upserts form
 * one commit).  Counts of VMs start with the values of the document and
 * include the upserts that the step has made so far, so that several planned
 * stops in one commit share a budget. */

/* State of a VM in the platform's VM list. */
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
    /* VMs that the pool should have: min_serving + buffer target */
    int needed_vms;
    /* Number of the data centre in which VMs of the pool are stopped by waves;
     * ZONE_NONE: no VM is, ZONE_MANY: VMs in several data centres are. */
    int active_zone;
} PoolPlan;

/* Most VM upserts of one planner step; later steps make the others.  128 take
 * about 35 KB in head's tail, half of the limit for head. */
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
    /* VMs that the wave has stopped and that neither serve again nor have
     * failed */
    int in_progress;
} WavePlan;

typedef struct {
    AqPlanner *planner;
    const AqFleet *fleet;
    int64_t wall_ms;
    const AqPlannerView *view;
    void *context;
    json_t *set;
    json_t *reboots;
    PoolPlan *pools; /* counts of each pool, by PoolEntry.number */
    /* by VmEntry.number; 1: this step changes the VM */
    unsigned char *is_changed;
    WavePlan *waves;
    int wave_count;
    int upserts;     /* VM upserts that this step has made so far */
    bool list_known; /* the VM list names at least one VM */
    bool hold;       /* this step begins no planned stop of a VM */
} PlanStep;

struct AqPlanner {
    /* pool name -> wall ms since which the pool has had a surplus of VMs */
    GHashTable *surplus;
    /* pool name -> wall ms since which the pool has had a deficit of VMs */
    GHashTable *deficit;
    /* Id of a VM that the VM list has shown not live while rebooting -> wall
     * ms at which the VM entered state rebooting. */
    GHashTable *down;
};

/* Appends a VM's new record (stolen) and counts the VM in its new state.
 * Returns false when the step has STEP_UPSERTS_MAX upserts already; the VM
 * then keeps its record until a later step. */
bool plan_put_vm(PlanStep *step, const VmEntry *vm, json_t *record,
                 AqVmState state);
/* Returns the number of further planned stops of VMs of the pool that the
 * pool's budget allows in this step. */
int plan_headroom(const PlanStep *step, const PoolEntry *pool);

/* Reads the waves of the document into step->waves. */
void plan_waves_load(PlanStep *step);
/* Returns the wave of that name, or NULL; "" names no wave. */
WavePlan *plan_wave(PlanStep *step, const char *name);
/* Counts a VM that a wave has stopped and that does not serve again yet as in
 * progress for that wave; does nothing when no wave stopped the VM. */
void plan_wave_add_in_progress(PlanStep *step, const VmEntry *vm);
/* Counts in the wave that stopped a VM whether the VM serves again
 * ("returned") or failed, enters the wave as finished into the VM's new
 * record, and stops the wave after too many failed VMs. */
void plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record,
                      bool returned);
/* Begins drains of VMs for the running waves and ends the waves that have no
 * VMs left to work on. */
void plan_waves_run(PlanStep *step);
/* Appends the changed wave records to the upserts and frees the waves. */
void plan_waves_finish(PlanStep *step);

/* Begins moves of VMs between pools: fills deficits and returns surpluses to
 * the spare pool. */
void plan_placement(PlanStep *step);

#endif
