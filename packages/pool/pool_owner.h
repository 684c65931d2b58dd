#ifndef POOL_OWNER_H
#define POOL_OWNER_H

#include "aq_scheduler.h"
#include "member.h"
#include "node.h"
#include "owner_writer.h"

/* One pool that this node owns: loads its jobs from the store, runs its
 * scheduler, and stores what the scheduler has to remember. */

typedef struct PoolOwner PoolOwner;

typedef struct {
    /* A write conflicted or a VM knows a later owner. */
    void (*superseded)(void *context, const char *pool, const char *reason);
} PoolOwnerOps;

PoolOwner *pool_owner_create(NodeContext *node, Member *member,
                             const Ownership *ownership,
                             const PoolOwnerOps *ops, void *context);
/* Stops all orders at once; frees the owner when its calls have ended. */
void pool_owner_drop(PoolOwner *owner);

const char *pool_owner_pool(const PoolOwner *owner);
/* NULL until the jobs are loaded. */
AqScheduler *pool_owner_scheduler(PoolOwner *owner);
uint64_t pool_owner_fence(const PoolOwner *owner);
/* For all writes of this ownership; borrowed. */
OwnerWriter *pool_owner_writer(PoolOwner *owner);

/* Whether this node is certain to be the owner, for a while yet. */
bool pool_owner_may_order(const PoolOwner *owner);

void pool_owner_site_changed(PoolOwner *owner);
/* An entry in the list of VMs; those of other pools are passed over. */
void pool_owner_set_vm(PoolOwner *owner, const AqVmReport *report);
void pool_owner_vm_unlisted(PoolOwner *owner, const char *vm);

/* Stops giving orders and stores what is left; "done" is called when all is
 * stored, or could not be.  For a graceful hand-over. */
void pool_owner_finish(PoolOwner *owner, void (*done)(void *context),
                       void *context);

/* Runs what is due; returns when to call again at the latest. */
AqTime pool_owner_round(PoolOwner *owner);

#endif
