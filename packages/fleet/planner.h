#ifndef FLEET_PLANNER_H
#define FLEET_PLANNER_H

#include "fleet_internal.h"

/* One decision of the planner.  Counts start as in the document and follow
 * the upserts of this step, so that several stops in one commit share the
 * budget. */

typedef enum {
    LISTED_LIVE,
    LISTED_LEAVING,
    LISTED_DOWN,
    LISTED_ABSENT
} Listing;

typedef struct {
    int serving;
    int unavailable;
    int capacity; /* VMs that serve or will serve again, with arrivals */
    int need;     /* min_serving + buffer target */
    int zone;     /* data centre in work by waves; ZONE_NONE, ZONE_MANY */
} PoolPlan;

/* Upserts of one step: about 35 KB of head's tail, half of its limit. */
#define STEP_UPSERTS 128

#define ZONE_NONE (-1)
#define ZONE_MANY (-2)

typedef struct {
    const char *name; /* borrowed from the document */
    json_t *record;   /* owned; the changed copy */
    bool changed;
    bool running;
    int64_t id;
    int max_parallel;
    int in_work;
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
    int upserts;
    bool list_known;
    bool hold; /* start no planned stop in this step */
} PlanStep;

struct AqPlanner {
    GHashTable *surplus; /* pool name -> wall ms when it was first seen */
    GHashTable *deficit; /* the same */
    GHashTable *down;    /* rebooting VM -> "since" of the reboot in which
                          * the VM list showed it not live */
};

/* Puts a VM's new record (stolen) and counts it in its new state.  False when
 * the step is full; the VM then keeps its record. */
bool plan_put_vm(PlanStep *step, const VmEntry *vm, json_t *record,
                 AqVmState state);
/* Planned stops that the budget still allows in this step. */
int plan_headroom(const PlanStep *step, const PoolEntry *pool);

void plan_waves_load(PlanStep *step);
WavePlan *plan_wave(PlanStep *step, const char *name);
/* Counts a VM that a wave has stopped and that is not back yet. */
void plan_wave_add_in_progress(PlanStep *step, const VmEntry *vm);
/* Notes the end of a wave's work on a VM; the VM's new record is changed. */
void plan_wave_result(PlanStep *step, const VmEntry *vm, json_t *record,
                      bool back);
void plan_waves_run(PlanStep *step);
/* Appends the changed wave records and frees all. */
void plan_waves_finish(PlanStep *step);

void plan_placement(PlanStep *step);

#endif
