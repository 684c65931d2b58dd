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
 * unchanged.  The store index of the claim is the fence of the order.  So
 * fences increase for each VM over all nodes, and no order is sent for a node
 * that has lost the role or the pool without noticing.  After a claim of
 * another node there is a pause (limits.machine_pause_ms). */

typedef enum {
    FENCED_ORDER_DONE,    /* accepted, or done already */
    FENCED_ORDER_RETRY,   /* not sent, or not accepted at present */
    FENCED_ORDER_REFUSED, /* the platform has no such VM, pool or wave */
    FENCED_ORDER_UNKNOWN  /* no response; it may be carried out */
} FencedOrderResult;

/* "claim_index" is the store index of the order's claim; 0: the VM was not
 * claimed. */
typedef void (*FencedOrderDone)(void *context, FencedOrderResult result,
                                uint64_t claim_index);

typedef struct {
    const char *pool;           /* the pool whose owner requests the order */
    uint64_t pool_fence;        /* of that ownership */
    uint64_t coordinator_fence; /* of this node's coordinator role */
    const char *machine;
    const char *to_pool; /* destination of a move; "": maintenance */
    int64_t wave;        /* number of the wave; maintenance only */
    /* Store index of this node's last claim of the VM, which saves reading the
     * claim from the store; 0: not known.  If another node has claimed the VM
     * since, the order ends with FENCED_ORDER_RETRY. */
    uint64_t last_claim_index;
} FencedOrder;

/* Claims the VM and sends the order, which is copied.  "done" is called once,
 * from the loop. */
void fenced_order_send(NodeContext *node, const FencedOrder *order,
                       FencedOrderDone done, void *context);

#endif
