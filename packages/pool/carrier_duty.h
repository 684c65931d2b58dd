#ifndef CARRIER_DUTY_H
#define CARRIER_DUTY_H

#include "aq_carrier.h"
#include "member.h"
#include "node.h"
#include "vm_directory.h"

/* A node's part in the carrying of orders (aq_carrier.h): it is a carrier for
 * the owners of other nodes, and chooses the carriers of the pools that it
 * owns. */

typedef struct CarrierDuty CarrierDuty;

/* Creates the node's carrier server, if carriers.listen is set, and its
 * carrier client, which sends through "direct", borrowed, what no carrier
 * takes. */
CarrierDuty *carrier_duty_create(NodeContext *node, AqWorkerClient *direct,
                                 AqError *error);
void carrier_duty_destroy(CarrierDuty *duty);
/* Returns the interface for orders of this node's owners, borrowed. */
AqWorkerClient *carrier_duty_workers(CarrierDuty *duty);
/* Sets the members from which carriers are chosen and among which owners must
 * be to be carried for; borrowed. */
void carrier_duty_set_member(CarrierDuty *duty, Member *member);
/* Returns the number of carriers that are connected. */
size_t carrier_duty_connected(const CarrierDuty *duty);
/* Chooses the carriers anew once a second.  "vms" may be NULL; "owns_pool"
 * tells which pools this node owns. */
void carrier_duty_round(CarrierDuty *duty, const VmDirectory *vms,
                        bool (*owns_pool)(void *context, const char *pool),
                        void *context);

#endif
