#include "place_wait.h"

enum {
    /* A wait must save more than this, about the time from one reply of a VM
     * to the next placement. */
    LEAST_GAIN_MS = 50,
    /* Waits last up to twice as long as estimated: other tasks take part of
     * the room, and an end becomes known only with a reply of its VM. */
    ESTIMATE_FACTOR = 2
};

/* From this factor on, a task that keeps its objective elsewhere waits to save
 * room: elsewhere it would take the room of two. */
static const double least_factor_in_time = 2.0;

/* Number of tasks of this need that the VM has room for, up to "most". */
static uint32_t
count_fitting(const PlaceVm *vm, const PlaceNeed *need, uint32_t most)
{
    const int64_t room[] = {vm->cpu_millis, vm->memory_mb, vm->gpus};
    const int64_t each[] = {need->cpu_millis, need->memory_mb, need->gpus};
    int64_t count = most < vm->task_limit ? most : vm->task_limit;
    for (size_t i = 0; i < sizeof(each) / sizeof(each[0]); i++) {
        if (room[i] < 0) {
            return 0;
        }
        if (each[i] > 0 && room[i] / each[i] < count) {
            count = room[i] / each[i];
        }
    }
    return (uint32_t)count;
}

AqTime
place_wait_estimate(PlaceRoom *room, const PlaceNeed *need, uint32_t count)
{
    uint32_t fitting = 0;
    for (size_t i = 0; i < room->vm_count; i++) {
        fitting += count_fitting(&room->vms[i], need, count);
    }
    if (fitting >= count) {
        return 0;
    }
    for (size_t i = 0; i < room->release_count; i++) {
        const PlaceRelease *release = &room->releases[i];
        PlaceVm *vm = &room->vms[release->vm];
        fitting -= count_fitting(vm, need, count);
        vm->cpu_millis += release->cpu_millis;
        vm->memory_mb += release->memory_mb;
        vm->gpus += release->gpus;
        fitting += count_fitting(vm, need, count);
        if (fitting >= count) {
            return release->after_ms;
        }
    }
    return AQ_TIME_NEVER;
}

bool
place_wait_pays(const PlaceWaitInput *input)
{
    if (input->expected_ms <= 0 || input->expected_ms == AQ_TIME_NEVER ||
        input->waited_ms + input->expected_ms > input->limit_ms) {
        return false;
    }
    AqTime extra =
        (AqTime)((input->far_factor - 1.0) * (double)input->duration_ms);
    AqTime expected = ESTIMATE_FACTOR * input->expected_ms;
    if (expected + LEAST_GAIN_MS > extra) {
        return false;
    }
    if (input->slack_ms < extra) {
        return true;
    }
    /* A start elsewhere keeps the objective.  A wait then only saves room for
     * others, and must keep the objective also if the task starts elsewhere
     * after it. */
    return input->far_factor >= least_factor_in_time &&
           expected <= input->slack_ms - extra;
}
