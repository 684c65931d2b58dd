#ifndef MACHINE_COORDINATOR_H
#define MACHINE_COORDINATOR_H

#include "node.h"

/* Coordinates the orders for VMs, while this node is the coordinator: reads
 * what the owners of the pools request, and orders it, again while it is not
 * accepted and still requested. */

typedef struct MachineCoordinator MachineCoordinator;

MachineCoordinator *machine_coordinator_create(NodeContext *node,
                                               uint64_t fence);
/* No orders from now on; frees the coordinator when its calls have ended. */
void machine_coordinator_drop(MachineCoordinator *coordinator);
/* Runs what is due; "may_order" as of the coordinator's ownership. */
void machine_coordinator_round(MachineCoordinator *coordinator,
                               bool may_order);

#endif
