#ifndef AQ_SIZING_H
#define AQ_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* Sizing of a pool.  The pool releases idle VMs to the spare pool, where they
 * are powered off, and acquires VMs from the spare pool when jobs arrive.
 *
 * A VM is usable only more than a second after its request, so the pool is
 * sized for the rate at which jobs are submitted, not only for the ready
 * tasks.  A move of a VM costs as much as running it for about a second, so
 * VMs are released soon after a burst of jobs has ended; a few are kept so
 * that tasks of the next burst can start at once. */

typedef struct {
    AqTime now;
    /* CPU taken by the pool's running tasks */
    int64_t used_cpu_millis;
    /* CPU needed by the pool's ready tasks */
    int64_t ready_cpu_millis;
    /* part of used_cpu_millis that perpetual tasks take */
    int64_t perpetual_cpu_millis;
    /* CPU needed if jobs keep being submitted at the recent rate */
    int64_t offered_cpu_millis;
    /* longest time that a ready task has been ready */
    AqTime longest_wait_ms;
    int64_t capacity_cpu_millis; /* total CPU of the pool's usable VMs */
    int64_t vm_cpu_millis;       /* CPU of one typical VM of the pool */
    size_t usable_vms;
    /* number of the pool's VMs with perpetual tasks */
    size_t perpetual_vms;
    /* number of VMs requested for the pool that have not arrived in it */
    size_t pending_vms;
    /* number of the pool's VMs in maintenance or about to be */
    size_t maintenance_vms;
    /* most VMs that one perpetual step needs because its tasks per VM are
     * limited */
    size_t widest_spread;
    /* number of VMs of all pools of the site; 0: not known */
    size_t site_vms;
} AqSizingInput;

typedef struct {
    /* VMs that the pool needs beside its usable, pending and maintenance
     * VMs */
    size_t needed_vms;
    /* part of needed_vms to acquire from the spare pool now */
    size_t acquire_vms;
    /* VMs to release to the spare pool, each once its tasks have ended */
    size_t release_vms;
} AqSizingDecision;

enum {
    /* a VM that has been idle for less than this is not released */
    AQ_SIZING_IDLE_MS = 400
};

/* Sets *decision for the pool whose load *input describes. */
void AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision);

#endif
