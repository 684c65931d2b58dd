#ifndef POOL_MACHINES_H
#define POOL_MACHINES_H

#include "pool_owner.h"
#include "wave_table.h"

/* The VMs of one pool that this node owns: maintenance of the VMs, and how
 * many VMs the pool keeps.  The orders for this are requested from the machine
 * coordinator, which sends them through fenced_order.c. */

typedef struct PoolMachines PoolMachines;

/* All arguments are borrowed.  "node" and "waves" must outlive the result; the
 * owner may be freed before the result is, once the result was dropped. */
PoolMachines *pool_machines_create(NodeContext *node, WaveTable *waves,
                                   PoolOwner *owner);
/* Requests no further orders; frees "self" when its calls to the store and the
 * platform have ended. */
void pool_machines_drop(PoolMachines *self);

/* Advances the maintenance and the moves of the pool's VMs; called in every
 * round of the loop.  "may_order": whether this node is certain to be the
 * pool's owner; otherwise nothing is done. */
void pool_machines_round(PoolMachines *self, bool may_order);

#endif
