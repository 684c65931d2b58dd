#ifndef DUTY_H
#define DUTY_H

#include "member.h"
#include "node.h"

/* Orders for VMs: moves between pools and upkeep.  One node gives them all,
 * the owner of the duty; the owners of the pools ask it
 * (machine_coordinator.c).
 *
 * Each order is claimed first by one write that requires the duty, the asking
 * owner's pool and the VM's last claim; its index is the order's fence.  So
 * fences rise for each VM over all nodes, and neither a node that has lost
 * the duty without knowing nor one that has lost its pool has an order given.
 * After another node's order for the VM there is a pause. */

typedef enum {
    DUTY_DONE,    /* accepted, or done already */
    DUTY_LATER,   /* not ordered, or not accepted now */
    DUTY_REFUSED, /* the platform knows no such VM, pool or wave */
    DUTY_UNKNOWN  /* no answer; it may be carried out */
} DutyResult;

/* "claim" is the index of the order's claim; 0: it was not claimed. */
typedef void (*DutyDone)(void *context, DutyResult result, uint64_t claim);

typedef struct {
    const char *pool; /* whose owner asks, and its fence */
    uint64_t pool_fence;
    uint64_t duty_fence;
    const char *machine;
    const char *to_pool; /* a move; "": upkeep */
    int64_t wave;        /* of an upkeep */
    /* This node's last claim for the VM, which saves a look at the store; 0:
     * not known.  If another node has claimed it since, the order ends with
     * DUTY_LATER. */
    uint64_t last_claim;
} DutyOrder;

/* "done" is called once, from the loop. */
void duty_order(NodeContext *node, const DutyOrder *order, DutyDone done,
                void *context);

#endif
