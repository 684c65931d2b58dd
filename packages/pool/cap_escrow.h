#ifndef CAP_ESCROW_H
#define CAP_ESCROW_H

#include "aq_scheduler.h"
#include "node.h"
#include "owner_writer.h"

/* The part of each workspace's cap that a pool holds (aq_cap_shares.h): reads
 * and watches the stored record of all parts, changes the pool's parts in it
 * as the pool's owner, and tells the scheduler what it may use.  Makes no call
 * while the configuration has no workspace with a cap.
 *
 * A part belongs to the pool: the next owner inherits it, and with it what the
 * runs of its predecessors use.  While the store is away, the owner goes on
 * with what the pool holds. */

typedef struct CapEscrow CapEscrow;

/* All arguments are borrowed. */
CapEscrow *cap_escrow_create(NodeContext *node, const char *pool,
                             OwnerWriter *writer, AqScheduler *scheduler);
/* The escrow is freed when its write in flight has ended. */
void cap_escrow_destroy(CapEscrow *escrow);

/* Starts a write if one is due and "may_write"; returns the loop time at which
 * to call this function again at the latest. */
AqTime cap_escrow_round(CapEscrow *escrow, AqTime now, bool may_write);
/* Whether the pool holds no part, or the configuration lists the pool. */
bool cap_escrow_is_settled(const CapEscrow *escrow);

#endif
