#ifndef MEMBER_PRIVATE_H
#define MEMBER_PRIVATE_H

#include "member.h"
#include "prefix_view.h"

/* Shared by the files that implement Member:
 * member.c         this node's lease, the membership entries, peers
 * member_claims.c  ownership of pools: claims, losses, releases
 * member_confirm.c  reads of the owner keys that confirm the ownership */

typedef enum {
    CLAIM_NONE,
    CLAIM_OWNED,
    CLAIM_WAITING,
    /* The pool's term record, which names its last owner, is being read from
     * the store. */
    CLAIM_READING,
    CLAIM_WRITING
} ClaimState;

typedef struct {
    Member *member;
    char pool[64];
    /* The pool is listed in the site's configuration; for the role of the
     * machine coordinator: a machine service is configured. */
    bool is_configured;
    /* The pool has or had an owner since this process started.  A pool that
     * is no longer configured is claimed as long as its last owner has not
     * released it, since jobs that it accepted may be unfinished. */
    bool has_had_owner;
    ClaimState state;
    AqTimer timer;
    AqTime vacant_since;
    /* The pool's owner key as last seen: store revision (0: the key is
     * absent), id and incarnation of the owning node. */
    uint64_t owner_index;
    char owner_node[64];
    char owner_incarnation[40];
    /* Set while a claim is being written: the highest revision of the owner
     * key that the view has reported since, and whether it has reported the
     * removal of the key. */
    uint64_t seen_index;
    bool was_removed;
    /* The pool's term record as last read: store revision (0: there is no
     * record), number of ownerships so far, whether the last owner released
     * the pool, whether no owner before the last one can have been active when
     * the record was written, and the last owner's node id and incarnation. */
    uint64_t term_index;
    int64_t generation;
    bool was_released;
    bool was_settled;
    char term_node[64];
    char term_incarnation[40];
    /* Store revision of the owner key that this node wrote; valid in
     * CLAIM_OWNED. */
    uint64_t fence;
    /* Lease under which this node last wrote the owner key, and when it sent
     * that write. */
    uint64_t lease;
    AqTime sent_at;
    /* Store revision of the owner key as found after a claim without a clear
     * reply. */
    uint64_t found_index;
    /* When this node learned that it owns the pool, and when it sent the last
     * call whose reply shows that the owner key was still its own; valid in
     * CLAIM_OWNED. */
    AqTime owned_at;
    AqTime confirmed_at;
    /* Store revision of that reply. */
    uint64_t confirmed_index;
    /* An earlier owner of the pool may still send orders: the last one neither
     * released the pool nor was replaced by a new incarnation of its node, or
     * the one before it may not know that it was replaced. */
    bool previous_owner_may_be_active;
    /* The pool's term record says that no earlier owner can be active; valid
     * in CLAIM_OWNED. */
    bool is_settled;
} PoolClaim;

/* A member's entry in the store. */
typedef struct {
    char incarnation[40];
    char address[32]; /* "IP:port" on which the member serves callers */
    /* CPU share allotted to the member, in thousandths of a core. */
    int cpu_millis;
    /* "IP:port" on which the member takes orders to pass on, and its zone; "":
     * none, as in the entries of versions without carriers. */
    char carrier_address[32];
    char zone[64];
    int link_mbps; /* 0: not known */
} MemberEntry;

struct Member {
    NodeContext *node;
    MemberOps ops;
    void *context;
    PrefixView *nodes;
    /* Node id -> MemberEntry, of all members including this node. */
    GHashTable *peers;
    guint next_peer;
    GHashTable *claims; /* pool name -> PoolClaim */
    AqTimer renewal_timer;
    uint64_t lease;
    /* Store revision of this node's membership entry as last seen; 0: there is
     * none. */
    uint64_t entry_index;
    /* The entry has vanished although the lease holds; it is written again
     * after the next renewal. */
    bool is_entry_due;
    AqTime renewal_sent_at;
    /* The owner keys are being read; when that call was sent. */
    bool is_confirming;
    AqTime confirmation_sent_at;
    /* This node's lease is certain to hold until this time. */
    AqTime lease_valid_until;
    AqTime last_reply_at;
    /* When this node wrote its membership entry to the store; AQ_TIME_NEVER:
     * the node has no entry. */
    AqTime joined_at;
    bool is_leaving;
};

/* Returns the CPU share allotted to this node, in thousandths of a core. */
int64_t member_own_cpu_millis(const Member *member);

/* ---- member_claims.c */

/* Claims each pool without an owner, after a wait, if this node may. */
void member_claim_all_vacant(Member *member);
/* Computes again how long this node waits before its claims. */
void member_restart_claim_waits(Member *member);
void member_lose_all_pools(Member *member, const char *reason);
/* An owner key was written to or removed from the store; the context is the
 * Member. */
void member_on_owner_put(void *context, const AqStoreItem *item);
void member_on_owner_removed(void *context, const char *key);
/* Sets which roles the node has. */
void member_add_roles(const Member *member, MemberView *view);

#endif
