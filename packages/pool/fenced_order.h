#ifndef FENCED_ORDER_H
#define FENCED_ORDER_H

#include "member.h"
#include "node.h"

/* Orders for VMs: moves between pools and maintenance.  One node gives them
 * all, the machine coordinator; the owners of the pools send it requests
 * (machine_coordinator.c).
 *
 * Each order is claimed first by one write that requires the ownership of the
 * coordination, the requesting owner's pool and the VM's last claim; its index
 * is the order's fence.  So fences rise for each VM over all nodes, and
 * neither a node that has lost the coordination without knowing nor one that
 * has lost its pool has an order given.  After another node's order for the VM
 * there is a pause. */

typedef enum {
    FENCED_ORDER_DONE,    /* accepted, or done already */
    FENCED_ORDER_RETRY,   /* not ordered, or not accepted now */
    FENCED_ORDER_REFUSED, /* the platform knows no such VM, pool or wave */
    FENCED_ORDER_UNKNOWN  /* no answer; it may be carried out */
} FencedOrderResult;

/* "claim" is the index of the order's claim; 0: it was not claimed. */
typedef void (*FencedOrderDone)(void *context, FencedOrderResult result,
                                uint64_t claim);

typedef struct {
    const char *pool; /* whose owner requests it, and its fence */
    uint64_t pool_fence;
    uint64_t coordinator_fence;
    const char *machine;
    const char *to_pool; /* a move; "": maintenance */
    int64_t wave;        /* of maintenance */
    /* This node's last claim for the VM, which saves a look at the store; 0:
     * not known.  If another node has claimed it since, the order ends with
     * FENCED_ORDER_RETRY. */
    uint64_t last_claim;
} FencedOrder;

/* "done" is called once, from the loop. */
void fenced_order_send(NodeContext *node, const FencedOrder *order,
                       FencedOrderDone done, void *context);

#endif
