#ifndef AQ_SIZING_H
#define AQ_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* Sizing of a pool.  The pool releases idle VMs to the spare pool, where they
 * are powered off, and acquires VMs from it when work arrives.
 *
 * A VM is usable only more than a second after its request, so the pool is
 * sized for the rate at which work is submitted, not only for the ready tasks.
 * A move costs as much as running a VM for about a second, so VMs are released
 * soon after a burst of the queue has ended; a few are kept so that the next
 * burst can begin at once. */

typedef struct {
    AqTime now;
    int64_t used_cpu_millis;      /* taken by running tasks */
    int64_t ready_cpu_millis;     /* needed by ready tasks */
    int64_t perpetual_cpu_millis; /* part of used_cpu_millis */
    int64_t offered_cpu_millis;   /* needed at the recent submission rate */
    AqTime longest_wait_ms;       /* longest time a task has been ready */
    int64_t capacity_cpu_millis;  /* total of the usable VMs */
    int64_t vm_cpu_millis;        /* of one typical VM */
    size_t usable_vms;
    size_t perpetual_vms;   /* VMs with perpetual tasks */
    size_t pending_vms;     /* requested VMs that have not arrived */
    size_t maintenance_vms; /* VMs in maintenance or about to be */
    size_t widest_spread;   /* most VMs that one perpetual step needs for its
                             * limit of tasks per VM */
    size_t site_vms;        /* VMs of all pools; 0: not known */
} AqSizingInput;

typedef struct {
    size_t needed_vms;  /* VMs that the pool needs in addition */
    size_t acquire_vms; /* part of them to acquire from the spare pool now */
    size_t release_vms; /* VMs to release once their tasks have ended */
} AqSizingDecision;

enum {
    AQ_SIZING_IDLE_MS = 400 /* a VM idle for less is not released */
};

/* Sets *decision for the current load of a pool. */
void AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision);

#endif
