#ifndef MACHINE_COORDINATOR_H
#define MACHINE_COORDINATOR_H

#include "node.h"

/* Sends the orders for VMs while this node is the machine coordinator: reads
 * the requests of the pools' owners and sends an order for each, repeated
 * until the platform accepts or refuses the order or the owner withdraws the
 * request. */

typedef struct MachineCoordinator MachineCoordinator;

/* "fence" is the store revision at which this node claimed the role of machine
 * coordinator. */
MachineCoordinator *machine_coordinator_create(NodeContext *node,
                                               uint64_t fence);
/* Sends no further orders; frees the coordinator when its calls to the store
 * and the platform have ended. */
void machine_coordinator_drop(MachineCoordinator *coordinator);
/* Sends the orders for VMs that are not sent yet, and writes the responses to
 * pool owners that the store doesn't have yet.  An order or write that failed
 * is repeated after 250 ms.  "may_order": whether this node is certain to be
 * the machine coordinator; otherwise no order is sent. */
void machine_coordinator_round(MachineCoordinator *coordinator,
                               bool may_order);

#endif
