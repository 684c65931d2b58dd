#include "aq_sizing.h"

#include <string.h>

enum {
    /* CPU that the pool keeps free, in percent of the CPU in use or of the CPU
     * for the offered load (jobs submitted at the recent rate) */
    RESERVE_PERCENT = 30,
    /* least number of VMs that a pool keeps, so that its perpetual tasks do
     * not all share one VM */
    MIN_VMS = 3,
    /* VMs that a pool keeps beyond its need, so that tasks of a burst (many
     * jobs submitted within a short time) start before more VMs arrive */
    RESERVE_VMS = 1,
    /* One decision acquires at most MAX_ACQUIRED_VMS or, on a large site, the
     * site's VMs divided by MAX_ACQUIRED_SITE_DIVISOR, so that one wrong
     * estimate does not empty the other pools. */
    MAX_ACQUIRED_VMS = 16,
    MAX_ACQUIRED_SITE_DIVISOR = 4,
    /* A pool in which VMs go on crashing grows to the site's VMs divided by
     * this, and further only while an eighth of the site's VMs stays in the
     * spare pool: its tasks would crash the VMs that the other pools need. */
    CRASHING_POOL_SITE_DIVISOR = 5,
    CRASHING_POOL_SPARE_DIVISOR = 8,
    /* limit on the CPU that the pool acquires in advance, beyond what its
     * running and ready tasks need, in percent of that need */
    MAX_AHEAD_PERCENT = 200,
    /* the pool acquires VMs in advance only when its running and ready tasks
     * need more than this percentage of its CPU capacity */
    AHEAD_LOAD_PERCENT = 50,
    /* when a task has been ready for longer than this, its pool acquires one
     * more VM even if the pool's total capacity suffices */
    STUCK_WAIT_MS = 800
};

/* Least number of VMs that the pool keeps whatever its load is. */
static size_t
min_vms(const AqSizingInput *input)
{
    size_t spread = input->widest_spread + 1;
    size_t perpetual = input->perpetual_vms;
    size_t least = spread > perpetual ? spread : perpetual;
    return least > MIN_VMS ? least : MIN_VMS;
}

/* Number of VMs needed for "cpu" thousandths of a core; 0 for a negative
 * amount. */
static size_t
vms_for_cpu(const AqSizingInput *input, int64_t cpu)
{
    if (cpu <= 0 || input->vm_cpu_millis <= 0) {
        return 0;
    }
    return (size_t)((cpu + input->vm_cpu_millis - 1) / input->vm_cpu_millis);
}

/* Thousandths of a core that perpetual tasks and the offered load (jobs
 * submitted at the recent rate) need, with RESERVE_PERCENT added to the
 * offered load. */
static int64_t
offered_cpu_with_reserve(const AqSizingInput *input)
{
    return input->perpetual_cpu_millis + input->offered_cpu_millis +
           input->offered_cpu_millis * RESERVE_PERCENT / 100;
}

/* Number of VMs that the pool needs beside those that are usable, requested or
 * in maintenance. */
static size_t
count_needed_vms(const AqSizingInput *input)
{
    size_t pending_vms = input->pending_vms + input->maintenance_vms;
    int64_t pending = (int64_t)pending_vms * input->vm_cpu_millis;
    int64_t have = input->capacity_cpu_millis + pending;
    int64_t need = input->used_cpu_millis + input->ready_cpu_millis;
    size_t needed = 0;
    if (input->ready_cpu_millis > 0) {
        bool is_stuck = input->longest_wait_ms > STUCK_WAIT_MS && pending == 0;
        needed = vms_for_cpu(input, need - have);
        needed = needed == 0 && is_stuck ? 1 : needed;
    }
    /* The offered load (CPU for jobs at the recent rate of submission) counts
     * only when the current need exceeds AHEAD_LOAD_PERCENT of the capacity,
     * since a few large jobs raise the offered load far above the real need
     * for a moment. */
    if (need * 100 > input->capacity_cpu_millis * AHEAD_LOAD_PERCENT) {
        int64_t most = need + need * MAX_AHEAD_PERCENT / 100;
        int64_t offered = offered_cpu_with_reserve(input);
        size_t for_offered =
            vms_for_cpu(input, (offered < most ? offered : most) - have);
        needed = for_offered > needed ? for_offered : needed;
    }
    size_t vms = input->usable_vms + pending_vms;
    size_t least = input->widest_spread + 1;
    if (vms < least && needed < least - vms) {
        needed = least - vms;
    }
    return needed;
}

/* Returns "need", limited to the number of VMs that one decision may acquire
 * from the spare pool.  AqSizingDecision.needed_vms is not limited, since VMs
 * that other pools release as surplus may also meet that need. */
static size_t
limit_acquired_vms(const AqSizingInput *input, size_t need)
{
    size_t part = input->site_vms / MAX_ACQUIRED_SITE_DIVISOR;
    size_t limit = part > MAX_ACQUIRED_VMS ? part : MAX_ACQUIRED_VMS;
    return need < limit ? need : limit;
}

/* Limits "need" if as many VMs have crashed as half of those that are usable.
 */
static size_t
limit_crashing_pool(const AqSizingInput *input, size_t need)
{
    size_t vms =
        input->usable_vms + input->pending_vms + input->maintenance_vms;
    size_t most = input->site_vms / CRASHING_POOL_SITE_DIVISOR;
    if (input->site_vms == 0 || input->recent_crashes == 0 ||
        input->recent_crashes * 2 < input->usable_vms) {
        return need;
    }
    size_t room = most > vms ? most - vms : 0;
    size_t kept = input->site_vms / CRASHING_POOL_SPARE_DIVISOR;
    if (input->spare_vms > kept + room) {
        room = input->spare_vms - kept;
    }
    return need < room ? need : room;
}

/* Number of VMs to release to the spare pool: the usable VMs that the pool
 * neither needs nor keeps in reserve.  0 while tasks are ready or VMs are
 * requested for the pool. */
static size_t
count_released_vms(const AqSizingInput *input)
{
    if (input->ready_cpu_millis > 0 || input->pending_vms > 0) {
        return 0;
    }
    int64_t used = input->used_cpu_millis +
                   input->used_cpu_millis * RESERVE_PERCENT / 100;
    int64_t offered = offered_cpu_with_reserve(input);
    size_t target =
        vms_for_cpu(input, used > offered ? used : offered) + RESERVE_VMS;
    size_t least = min_vms(input);
    size_t keep = target > least ? target : least;
    return input->usable_vms > keep ? input->usable_vms - keep : 0;
}

void
AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision)
{
    memset(decision, 0, sizeof(*decision));
    decision->needed_vms = limit_crashing_pool(input, count_needed_vms(input));
    decision->acquire_vms = limit_acquired_vms(input, decision->needed_vms);
    if (decision->needed_vms == 0) {
        decision->release_vms = count_released_vms(input);
    }
}
