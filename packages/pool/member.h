#ifndef MEMBER_H
#define MEMBER_H

#include "node.h"

/* This node's lease in the store, its membership entry, and the pools that it
 * owns.
 *
 * A pool without an owner is claimed by one write that requires the owner key
 * to be unchanged.  Before that, a node waits for a time that grows with the
 * number of pools that it owns, plus one that depends on a hash of pool and
 * node, so that pools are spread evenly and claims seldom collide.  If the
 * owner's node has registered a new incarnation, the owning process has ended,
 * and that process's pools are claimed without waiting for its lease to
 * expire. */

typedef struct Member Member;

/* Name under which a node claims the role of machine coordinator, in the same
 * way as it claims a pool. */
#define MEMBER_MACHINE_COORDINATOR "@machines"

typedef struct {
    char pool[64];
    /* Fence of the owner's orders: store revision (modify index) at which the
     * pool's owner key was written. */
    uint64_t fence;
    /* How often any node gained the pool before this ownership; a node that
     * has owned the pool repeatedly counts each time. */
    int64_t generation;
    /* An earlier owner of the pool may still send orders: the last one neither
     * released the pool nor was replaced by a new incarnation of its node, or
     * the one before it may not know that it was replaced. */
    bool previous_owner_may_be_active;
} Ownership;

typedef struct {
    void (*gained)(void *context, const Ownership *ownership);
    /* This node no longer owns the pool and must send no further orders for
     * it. */
    void (*lost)(void *context, const char *pool, const char *reason);
} MemberOps;

Member *member_create(NodeContext *node, const MemberOps *ops, void *context);
void member_destroy(Member *member);

/* To be called when the site's configuration, and with it the set of pools,
 * may have changed. */
void member_site_changed(Member *member);
/* Returns whether this node's lease in the store is certain to hold for long
 * enough that an order sent now is carried out before the lease ends. */
bool member_may_order(const Member *member);
/* Returns whether this node may send orders as the owner of the pool:
 * member_may_order(), and the store has shown recently enough that the pool's
 * owner key is this node's.  The lease alone does not show that, since a key
 * may be removed before its lease ends. */
bool member_may_order_for(const Member *member, const char *pool);
/* Returns when the last call was sent whose reply shows that this node owned
 * the pool; AQ_TIME_NEVER: this node does not own it. */
AqTime member_confirmed_at(const Member *member, const char *pool);
/* Returns the store revision of that reply: what has a higher one was written
 * later than member_confirmed_at(). */
uint64_t member_confirmed_index(const Member *member, const char *pool);
/* Reads the owner keys, unless that is in progress, so that
 * member_confirmed_at() advances. */
void member_confirm_pools(Member *member);
/* Returns the id of this node's lease in the store, for keys that are to be
 * removed when the lease ends; 0: the node has no lease. */
uint64_t member_lease(const Member *member);
/* Returns whether the store has replied to a call for this node's lease in the
 * last 1500 ms. */
bool member_is_connected(const Member *member);
/* Returns the "IP:port" on which another member serves callers, a different
 * member with each call, among those that may_use accepts; NULL if there is
 * none.  The result is valid until the members change. */
const char *member_peer(Member *member,
                        bool (*may_use)(const void *context,
                                        const char *address),
                        const void *context);
/* Returns for how many VMs this node can make the calls
 * (AqCarrier_Capacity). */
size_t member_own_capacity(const Member *member);
/* Returns whether a process with this incarnation is a member now. */
bool member_is_registered(const Member *member, const char *node,
                          const char *incarnation);

typedef struct {
    const char *node;
    const char *zone;            /* "": not known */
    const char *carrier_address; /* "IP:port"; "": takes no orders */
    size_t capacity;             /* AqCarrier_Capacity */
    bool owns_pool;              /* other than the spare pool */
    bool is_coordinator;         /* machine coordinator */
} MemberView;

/* Calls "visit" for each member, this node included; the strings are borrowed
 * for the call and until the members change. */
void member_each(const Member *member,
                 void (*visit)(void *context, const MemberView *view),
                 void *context);
/* Ends this node's ownership of a pool after another owner was seen in the
 * store or a write of this node as the pool's owner conflicted; "reason" is
 * logged. */
void member_superseded(Member *member, const char *pool, const char *reason);
/* Releases a pool that this node owns, so that another node can claim the
 * pool.  This node must have stopped sending orders for the pool. */
void member_release(Member *member, const char *pool);
/* Ends this node's lease, which removes its membership entry and all its owner
 * keys from the store. */
void member_leave(Member *member);

enum {
    /* A node's lease in the store ends this long after its last renewal; other
     * nodes can then claim the pools of a failed node. */
    MEMBER_LEASE_MS = 2000
};

#endif
