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
 * and its pools are claimed without waiting for its lease to expire. */

typedef struct Member Member;

/* Claimed like a pool: the ownership of the machine coordinator. */
#define MEMBER_MACHINE_COORDINATOR "@machines"

typedef struct {
    char pool[64];
    uint64_t fence;                    /* modify index of the owner key */
    int64_t generation;                /* number of earlier owners */
    bool previous_owner_may_be_active; /* the previous owner neither released
                                          the pool nor was replaced by a new
                                          incarnation of its node */
} Ownership;

typedef struct {
    void (*gained)(void *context, const Ownership *ownership);
    /* The pool's owner must stop giving orders at once. */
    void (*lost)(void *context, const char *pool, const char *reason);
} MemberOps;

Member *member_create(NodeContext *node, const MemberOps *ops, void *context);
void member_destroy(Member *member);

/* Called when the configuration, and with it the set of pools, may have
 * changed. */
void member_site_changed(Member *member);
/* Returns whether this node's lease is certain to hold for long enough that
 * an order given now is carried out within it. */
bool member_may_order(const Member *member);
/* Returns the lease for keys that are to expire with this node's
 * ownerships; 0: there is none. */
uint64_t member_lease(const Member *member);
/* Returns whether the store has replied to a lease call lately (in the last
 * 1500 ms). */
bool member_is_connected(const Member *member);
/* Returns "IP:port" on which another member serves callers, a different
 * member with each call, or NULL if there is no other.  Borrowed until the
 * members change. */
const char *member_peer(Member *member);
/* Ends an ownership after another owner was seen or a write of the owner
 * conflicted; "reason" is logged. */
void member_superseded(Member *member, const char *pool, const char *reason);
/* Releases a pool, so that another node can claim it.  The caller has
 * stopped giving orders for it. */
void member_release(Member *member, const char *pool);
/* Ends the lease, which removes the membership entry and all owner keys. */
void member_leave(Member *member);

enum {
    /* Term of the lease, after which a failed node's pools can be
     * claimed. */
    MEMBER_LEASE_MS = 2000
};

#endif
