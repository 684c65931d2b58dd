#ifndef FENCED_ORDER_H
#define FENCED_ORDER_H

#include "member.h"
#include "node.h"

/* Orders for VMs: moves between pools and maintenance.  Only one node sends
 * them, the machine coordinator; the owners of the pools send it requests
 * (machine_coordinator.c).
 *
 * Before each order its VM is claimed: one conditional write to the VM's key,
 * which requires that this node still owns the coordinator role, that the
 * requesting owner still owns its pool, and that the VM's last claim is
 * unchanged.  The store revision of this write is the fence of the order.  So
 * the fences of a VM's orders increase over all nodes, and no order is sent
 * for a node that has lost the role or the pool without noticing.  After
 * another node's claim of the VM, no order for the VM is sent for
 * limits.machine_pause_ms. */

typedef enum {
    /* The platform accepted the order, or had carried it out before. */
    FENCED_ORDER_DONE,
    /* The order was not sent, or the platform does not accept it at present.
     */
    FENCED_ORDER_RETRY,
    FENCED_ORDER_REFUSED, /* the platform has no such VM, pool or wave */
    /* The platform did not respond and may carry out the order. */
    FENCED_ORDER_UNKNOWN
} FencedOrderResult;

/* "claim_index" is the store revision at which this node claimed the VM for
 * the order; 0: no claim is known to be written. */
typedef void (*FencedOrderDone)(void *context, FencedOrderResult result,
                                uint64_t claim_index);

typedef struct {
    const char *pool; /* the pool whose owner requests the order */
    /* Store revision at which the owner that requests the order claimed
     * "pool". */
    uint64_t pool_fence;
    /* Store revision at which this node claimed the role of machine
     * coordinator. */
    uint64_t coordinator_fence;
    const char *machine;
    const char *to_pool; /* pool to which the VM moves; "": maintenance */
    int64_t wave;        /* number of the maintenance wave; 0 for a move */
    /* Store revision at which this node last claimed the VM; 0: not known, so
     * the VM's last claim is read from the store first.  If another node has
     * claimed the VM since, the order ends with FENCED_ORDER_RETRY. */
    uint64_t last_claim_index;
} FencedOrder;

/* Claims the VM and sends the order; "order" is copied.  "done" is called once
 * with the order's result, from the loop. */
void fenced_order_send(NodeContext *node, const FencedOrder *order,
                       FencedOrderDone done, void *context);

#endif
