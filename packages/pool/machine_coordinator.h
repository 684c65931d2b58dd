#ifndef MACHINE_DESK_H
#define MACHINE_DESK_H

#include "node.h"

/* The duty of ordering VMs about, while this node has it: reads what the
 * owners of the pools ask for, and orders it, again while it is not accepted
 * and still asked for. */

typedef struct MachineDesk MachineDesk;

MachineDesk *machine_desk_create(NodeContext *node, uint64_t fence);
/* No orders from now on; frees the desk when its calls have ended. */
void machine_desk_drop(MachineDesk *desk);
/* Runs what is due; "may_order" as of the duty's ownership. */
void machine_desk_round(MachineDesk *desk, bool may_order);

#endif
