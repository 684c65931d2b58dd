#ifndef AQ_SIZING_H
#define AQ_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* How many VMs a pool should have: it gives idle ones to the spare pool,
 * where they are off, and takes some back when work comes.
 *
 * A VM takes more than a second to come, so the pool is sized for the work
 * that is submitted, not only for what waits.  A move costs as much as a VM
 * does in about a second, so VMs go back soon after a burst of the queue has
 * ended; a few stay, so that the next burst can begin at once. */

typedef struct {
    AqTime now;
    int64_t used_cpu_millis;      /* of running tasks */
    int64_t ready_cpu_millis;     /* of tasks that wait */
    int64_t perpetual_cpu_millis; /* of running perpetual tasks */
    int64_t offered_cpu_millis;   /* needed for what is submitted lately */
    AqTime longest_wait_ms;       /* of a task that could start */
    int64_t capacity_cpu_millis;  /* of usable VMs */
    int64_t vm_cpu_millis;        /* of one VM, typically */
    size_t usable_vms;
    size_t perpetual_vms;   /* with perpetual tasks */
    size_t pending_vms;     /* requested, not here yet */
    size_t maintenance_vms; /* away for maintenance, or about to be */
    size_t widest_spread;   /* VMs that a step needs that wants one each */
    size_t site_vms;        /* of all pools; 0: not known */
} AqSizingInput;

typedef struct {
    size_t needed_vms;  /* VMs that would be of use */
    size_t acquire_vms; /* of them to take from the spare pool now */
    size_t release_vms; /* VMs to give to it, once their tasks have ended */
} AqSizingDecision;

enum {
    AQ_SIZING_IDLE_MS = 400
};

void AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision);

#endif
