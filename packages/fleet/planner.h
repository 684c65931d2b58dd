#ifndef FLEET_PLANNER_H
#define FLEET_PLANNER_H

#include "fleet_internal.h"

/* State of one planner step.  Counts start with the values of the document
 * and include the upserts made so far, so that several stops in one commit
 * share a budget. */

/* State of a VM in the platform's VM list. */
typedef enum {
    LISTED_LIVE,
    LISTED_LEAVING,
    LISTED_DOWN,
    LISTED_ABSENT
} Listing;

/* Counts of a pool within a step. */
typedef struct {
    int serving;     /* VMs in state serving */
    int unavailable; /* VMs in any other state */
    /* VMs that serve or will serve again, including those that move here and
     * without those that move away. */
    int capacity_vms;
    int needed_vms; /* min_serving + buffer target */
    /* Data centre in which waves have stopped VMs of the pool, or ZONE_NONE,
     * ZONE_MANY. */
    int active_zone;
} PoolPlan;

/* VM upserts of one step: about 35 KB in head's tail, half of the limit for
 * head. */
#define STEP_UPSERTS_MAX 128

#define ZONE_NONE (-1)
#define ZONE_MANY (-2)

typedef struct {
    const char *name; /* borrowed from the document */
    json_t *record;   /* owned copy that the step changes */
    bool changed;     /* the record differs from the document's */
    bool running;
    int64_t id;
    int max_parallel;
    int in_progress; /* VMs that the wave has stopped and not finished */
} WavePlan;

typedef struct {
    AqPlanner *planner;
    const AqFleet *fleet;
    int64_t wall_ms;
    const AqPlannerView *view;
    void *context;
    json_t *set;
    json_t *reboots;
    PoolPlan *pools;           /* by PoolEntry.number */
    unsigned char *is_changed; /* by VmEntry.number: changed in this step */
    WavePlan *waves;
    int wave_count;
    int upserts;     /* VM upserts made so far */
    bool list_known; /* the VM list names at least one VM */
    bool hold;       /* begin no planned stop in this step */
} PlanStep;

struct AqPlanner {
    GHashTable *surplus; /* pool name -> wall ms of its first surplus */
    GHashTable *deficit; /* pool name -> wall ms of its first deficit */
    /* Id of a rebooting VM -> "since" of the reboot during which the VM list
     * showed the VM not live. */
    GHashTable *down;
};

/* Appends a VM's new record (stolen) and counts the VM in its new state.
 * Returns false when the step has STEP_UPSERTS_MAX upserts already; the VM
 * then keeps its record until a later step. */
bool plan_put_vm(PlanStep *step, const VmEntry *vm, json_t *record,
                 AqVmState state);
/* Returns the number of planned stops of the pool that its budget still
 * allows in this step. */
int plan_headroom(const PlanStep *step, const PoolEntry *pool);

/* Reads the waves of the document into step->waves. */
void plan_waves_load(PlanStep *step);
/* Returns the wave of that name, or NULL; "" names no wave. */
WavePlan *plan_wave(PlanStep *step, const char *name);
/* Counts a VM that a wave has stopped and that does not serve again yet; does
 * nothing when no wave stopped the VM. */
void plan_wave_add_in_progress(PlanStep *step, const VmEntry *vm);
/* Counts the result of a wave for a VM ("returned": it serves again), enters
 * it into the VM's new record, and stops the wave after too many failures. */
void plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record,
                      bool returned);
/* Begins drains for the running waves and ends those without VMs left. */
void plan_waves_run(PlanStep *step);
/* Appends the changed wave records to the upserts and frees the waves. */
void plan_waves_finish(PlanStep *step);

/* Begins moves of VMs between pools: fills deficits and returns surpluses to
 * the spare pool. */
void plan_placement(PlanStep *step);

#endif
