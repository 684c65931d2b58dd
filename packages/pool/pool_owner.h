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
    /* Another node may own the pool: a write of this owner conflicted, or a VM
     * replied that it had received an order of a later owner.  The callback
     * may drop the owner. */
    void (*superseded)(void *context, const char *pool, const char *reason);
} PoolOwnerOps;

PoolOwner *pool_owner_create(NodeContext *node, Member *member,
                             const Ownership *ownership,
                             const PoolOwnerOps *ops, void *context);
/* The owner sends no further orders, and is freed when its calls in flight
 * have ended. */
void pool_owner_drop(PoolOwner *owner);

const char *pool_owner_pool(const PoolOwner *owner);
/* Returns the pool's scheduler, borrowed; NULL until the jobs are loaded. */
AqScheduler *pool_owner_scheduler(PoolOwner *owner);
uint64_t pool_owner_fence(const PoolOwner *owner);
/* Returns the writer for all of this owner's writes to the store, borrowed. */
OwnerWriter *pool_owner_writer(PoolOwner *owner);

/* Returns whether an order sent now is certain to be carried out while this
 * node owns the pool, and the owner is not finishing (pool_owner_finish). */
bool pool_owner_may_order(const PoolOwner *owner);

void pool_owner_site_changed(PoolOwner *owner);
/* Adds or updates a VM in the pool's scheduler from the VM's entry in the
 * store; VMs of other pools are ignored. */
void pool_owner_set_vm(PoolOwner *owner, const AqVmReport *report);
void pool_owner_vm_unlisted(PoolOwner *owner, const char *vm);

/* Records the CPU of the VMs that are on their way to the pool, in thousandths
 * of a core. */
void pool_owner_set_arriving(PoolOwner *owner, int64_t cpu_millis);

/* Returns whether all jobs of the pool are known to be finished and stored, so
 * that a pool that is no longer configured can be released. */
bool pool_owner_is_done(const PoolOwner *owner);
/* Returns whether pool_owner_finish() was called. */
bool pool_owner_is_finishing(const PoolOwner *owner);
/* Stops sending orders and stores the unsaved progress of the pool's jobs, for
 * a graceful handover.  "done" is called from a later pool_owner_round(), when
 * all progress is stored or after 600 ms at the latest. */
void pool_owner_finish(PoolOwner *owner, void (*done)(void *context),
                       void *context);

/* Runs the pool's scheduler and starts the writes to the store whose intervals
 * have passed; returns the loop time at which to call this function again at
 * the latest. */
AqTime pool_owner_round(PoolOwner *owner);

#endif
