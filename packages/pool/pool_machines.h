#ifndef POOL_MACHINES_H
#define POOL_MACHINES_H

#include "pool_owner.h"
#include "wave_table.h"

/* The VMs of one owned pool: their maintenance, and how many of them the pool
 * keeps.  Orders go out through fenced_order.c. */

typedef struct PoolMachines PoolMachines;

/* Everything is borrowed and outlives the result, but for the owner, which
 * may go first. */
PoolMachines *pool_machines_create(NodeContext *node, WaveTable *waves,
                                   PoolOwner *owner);
/* No orders from now on; frees it when its calls have ended. */
void pool_machines_drop(PoolMachines *self);

/* Runs what is due; "may_order" as of the pool's ownership. */
void pool_machines_round(PoolMachines *self, bool may_order);

#endif
