#ifndef AQ_SIZING_H
#define AQ_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* Sizing of a pool.  The pool releases idle VMs to the spare pool, where they
 * are powered off, and acquires VMs from the spare pool when jobs arrive.  A
 * VM is usable only more than a second after its request, so the pool is sized
 * for the rate at which jobs are submitted, not only for the ready tasks.  A
 * move of a VM costs as much as running it for about a second, so VMs are
 * released soon after a burst (many jobs submitted within a short time) has
 * ended; a few are kept so that tasks of the next burst can start
 * immediately. */

typedef struct {
    AqTime now;
    /* CPU of all tasks that are starting, running or stopping on the pool's
     * VMs, in thousandths of a core */
    int64_t used_cpu_millis;
    /* CPU that the pool's ready tasks need, in thousandths of a core */
    int64_t ready_cpu_millis;
    /* part of used_cpu_millis that perpetual tasks take, in thousandths of a
     * core */
    int64_t perpetual_cpu_millis;
    /* CPU that the pool needs if callers keep submitting jobs at the recent
     * rate, in thousandths of a core */
    int64_t offered_cpu_millis;
    /* how long the longest-waiting ready task has been ready to start */
    AqTime longest_wait_ms;
    /* total CPU of the pool's usable VMs, in thousandths of a core */
    int64_t capacity_cpu_millis;
    /* CPU of one typical VM of the pool, in thousandths of a core */
    int64_t vm_cpu_millis;
    size_t usable_vms;
    /* number of the pool's VMs with perpetual tasks */
    size_t perpetual_vms;
    /* number of VMs requested for the pool that have not arrived in it */
    size_t pending_vms;
    /* number of the pool's VMs that are in maintenance or are about to go into
     * maintenance */
    size_t maintenance_vms;
    /* largest number of VMs that any one perpetual step (its tasks run until
     * the job is cancelled) needs, given the step's limit on tasks per VM */
    size_t widest_spread;
    /* number of VMs in the spare pool */
    size_t spare_vms;
    /* AqSchedulerLoad.recent_crashes */
    size_t recent_crashes;
    /* number of VMs of all pools of the site; 0: not known */
    size_t site_vms;
} AqSizingInput;

typedef struct {
    /* number of VMs that the pool needs beside its usable VMs, the VMs
     * requested for it, and its VMs in maintenance */
    size_t needed_vms;
    /* how many of needed_vms the pool acquires from the spare pool now */
    size_t acquire_vms;
    /* number of VMs that the pool releases to the spare pool, each VM once its
     * tasks have ended */
    size_t release_vms;
} AqSizingDecision;

enum {
    /* the pool does not release a VM that has had no tasks for less than
     * this */
    AQ_SIZING_IDLE_MS = 400
};

/* Sets *decision for the pool whose load *input describes. */
void AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision);

#endif
