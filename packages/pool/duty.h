#ifndef DUTY_H
#define DUTY_H

#include "member.h"
#include "node.h"

/* Orders for VMs: moves between pools and upkeep.
 *
 * Each order is claimed first by one write that requires the pool's ownership
 * and the VM's last claim; its index is the order's fence.  So fences rise
 * for each VM over all nodes, and a node that has lost its pool without
 * knowing gives no order.  After another node's order for the VM there is a
 * pause. */

typedef enum {
    DUTY_DONE,    /* accepted, or done already */
    DUTY_LATER,   /* not ordered, or not accepted now */
    DUTY_REFUSED, /* the platform knows no such VM, pool or wave */
    DUTY_UNKNOWN  /* no answer; it may be carried out */
} DutyResult;

typedef void (*DutyDone)(void *context, const char *machine,
                         DutyResult result);

typedef struct {
    const char *machine;
    const char *to_pool; /* a move; NULL: upkeep */
    int64_t wave;        /* of an upkeep */
    /* Written with the claim; count 0 for none. */
    const AqStoreExpect *expects;
    size_t expect_count; /* at most 1 */
    const AqStorePut *puts;
    size_t put_count; /* at most 2 */
} DutyOrder;

/* "pool" and "fence" are those of the ownership that orders.  "done" is
 * called once, from the loop. */
void duty_order(NodeContext *node, const char *pool, uint64_t fence,
                const DutyOrder *order, DutyDone done, void *context);

#endif
