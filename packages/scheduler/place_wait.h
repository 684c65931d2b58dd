#ifndef PLACE_WAIT_H
#define PLACE_WAIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* Whether a task that finds no room near its data, or a gang that finds no
 * rack with room for all its tasks, starts elsewhere now or waits for such a
 * place.  The decisions are functions of their arguments alone. */

/* Something that makes room on a VM: the end of a run, or the VM's becoming
 * usable. */
typedef struct {
    size_t vm; /* index in PlaceRoom.vms */
    AqTime after_ms;
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
} PlaceRelease;

/* Room of a VM that is free now, or will be after a release. */
typedef struct {
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
    /* most further tasks of the step; 0: none */
    uint32_t task_limit;
} PlaceVm;

typedef struct {
    PlaceVm *vms; /* changed by place_wait_estimate() */
    size_t vm_count;
    const PlaceRelease *releases; /* in rising order of after_ms */
    size_t release_count;
} PlaceRoom;

typedef struct {
    int64_t cpu_millis;
    int64_t memory_mb;
    int64_t gpus;
} PlaceNeed;

/* Time, ms, until the rack has room for "count" tasks of this need;
 * AQ_TIME_NEVER: the releases do not suffice. */
AqTime place_wait_estimate(PlaceRoom *room, const PlaceNeed *need,
                           uint32_t count);

typedef struct {
    /* how many times as long a task takes away from its place; 1 or less: not
     * known */
    double far_factor;
    AqTime duration_ms; /* expected duration at its place */
    /* expected time until there is room at the place; 0: there is room, but
     * something else keeps the task from it */
    AqTime expected_ms;
    /* time from the job's expected completion, if the task starts at its place
     * now, to the job's objective; negative: the job will be late */
    AqTime slack_ms;
    AqTime waited_ms; /* for how long the task has been ready */
    AqTime limit_ms;  /* longest waited_ms; 0: no wait */
} PlaceWaitInput;

/* Whether a further wait pays. */
bool place_wait_pays(const PlaceWaitInput *input);

#endif
