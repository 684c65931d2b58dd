#ifndef AQ_SIZING_H
#define AQ_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* How many VMs a pool should have: it gives idle ones to the spare pool,
 * where they are off, and takes some back when work waits.
 *
 * A move costs about as much as a VM does in MOVE_PAYBACK_MS (design page), so
 * a VM is given back only when it has been idle for longer than that, and
 * only while enough room stays for work to begin at once when the next turn
 * of the queue comes. */

typedef struct {
    AqTime now;
    int64_t used_cpu_millis;  /* of running tasks */
    int64_t ready_cpu_millis; /* of tasks that wait */
    AqTime longest_wait_ms;   /* of a task that could start */
    int64_t room_cpu_millis;  /* of usable VMs */
    int64_t vm_cpu_millis;    /* of one VM, typically */
    size_t usable_vms;
    size_t idle_vms;    /* idle for AQ_SIZING_IDLE_MS */
    size_t lasting_vms; /* with lasting tasks */
    size_t coming_vms;  /* ordered, not here yet */
    size_t widest_spread; /* VMs that a step needs that wants one each */
} AqSizingInput;

typedef struct {
    size_t take; /* VMs to take from the spare pool */
    size_t give; /* idle VMs to give to it */
} AqSizingDecision;

enum {
    AQ_SIZING_IDLE_MS = 1500
};

void AqSizing_Decide(const AqSizingInput *input, AqSizingDecision *decision);

#endif
