#ifndef POOL_OWNER_H
#define POOL_OWNER_H

#include "aq_scheduler.h"
#include "member.h"
#include "node.h"
#include "owner_writer.h"

/* One pool that this node owns: loads its jobs from the store, runs its
 * scheduler, and stores the scheduler's persistent state. */

typedef struct PoolOwner PoolOwner;

typedef struct {
    /* A write conflicted, or a VM has received an order of a later owner.
     * The callback may drop the owner. */
    void (*superseded)(void *context, const char *pool, const char *reason);
} PoolOwnerOps;

PoolOwner *pool_owner_create(NodeContext *node, Member *member,
                             const Ownership *ownership,
                             const PoolOwnerOps *ops, void *context);
/* Stops all orders at once.  The owner is freed when its calls in flight
 * have ended. */
void pool_owner_drop(PoolOwner *owner);

const char *pool_owner_pool(const PoolOwner *owner);
/* Returns the pool's scheduler, borrowed; NULL until the jobs are loaded. */
AqScheduler *pool_owner_scheduler(PoolOwner *owner);
uint64_t pool_owner_fence(const PoolOwner *owner);
/* The writer that carries all writes of this ownership.  Borrowed. */
OwnerWriter *pool_owner_writer(PoolOwner *owner);

/* Returns whether this node is certain to be the owner for long enough that
 * an order given now is carried out within its lease, and the owner is not
 * finishing. */
bool pool_owner_may_order(const PoolOwner *owner);

void pool_owner_site_changed(PoolOwner *owner);
/* Adds or updates a VM from its entry in the store; VMs of other pools are
 * ignored. */
void pool_owner_set_vm(PoolOwner *owner, const AqVmReport *report);
void pool_owner_vm_unlisted(PoolOwner *owner, const char *vm);

/* Stops giving orders and stores unsaved progress, for a graceful
 * handover.  "done" is called from a later round, when all is stored or
 * after 600 ms at the latest. */
void pool_owner_finish(PoolOwner *owner, void (*done)(void *context),
                       void *context);

/* Runs the scheduler and the writes that are due; returns when to call
 * again at the latest, on the loop's clock. */
AqTime pool_owner_round(PoolOwner *owner);

#endif
