#ifndef MEMBER_H
#define MEMBER_H

#include "node.h"

/* This node's lease in the store, its entry among the members, and which
 * pools it owns.
 *
 * A pool without an owner is claimed by one write that requires that it has
 * none.  Nodes wait before it by what they own already and by a hash of pool
 * and node, so that pools spread and claims seldom collide.  A pool whose
 * owner has started anew since is claimed at once: that process is gone. */

typedef struct Member Member;

/* A name beside the pools: the ownership of the machine coordinator. */
#define MEMBER_MACHINE_COORDINATOR "@machines"

typedef struct {
    char pool[64];
    uint64_t fence;                    /* index of the owner's key */
    int64_t generation;                /* owners before this one */
    bool previous_owner_may_be_active; /* the earlier owner is not known to
                                          have ended */
} Ownership;

typedef struct {
    void (*gained)(void *context, const Ownership *ownership);
    /* Orders must stop at once. */
    void (*lost)(void *context, const char *pool, const char *reason);
} MemberOps;

Member *member_create(NodeContext *node, const MemberOps *ops, void *context);
void member_destroy(Member *member);

/* The pools of the configuration may have changed. */
void member_site_changed(Member *member);
/* Whether this node's lease holds for certain, and for long enough that an
 * order given now is carried out within it. */
bool member_may_order(const Member *member);
/* For keys that are to go with this node's ownerships; 0: there is none. */
uint64_t member_lease(const Member *member);
/* Whether the store has answered lately. */
bool member_is_connected(const Member *member);
/* "IP:port" where some other member takes callers, each time another one; or
 * NULL.  Borrowed until the next change of members. */
const char *member_peer(Member *member);
/* Another owner was seen, or a write of the owner conflicted. */
void member_superseded(Member *member, const char *pool, const char *reason);
/* Gives a pool up for others to take.  Its orders have stopped. */
void member_release(Member *member, const char *pool);
/* Ends the lease, with the entry and all ownerships. */
void member_leave(Member *member);

enum {
    MEMBER_LEASE_MS = 2000 /* a node that is gone is replaced after that */
};

#endif
