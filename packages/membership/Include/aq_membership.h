#ifndef AQ_MEMBERSHIP_H
#define AQ_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_wire.h"

/* This file declares one daemon's view of the cluster of entry VMs: the
 * members of the current epoch, the peers that are live, and whether this
 * daemon's copy of the fleet document is fresh.  An epoch is the set of
 * members that one version of the fleet document sets; its number is that
 * version.  The module does no I/O and reads no clock: the caller passes
 * heartbeats, store contacts and the time of this daemon's own monotonic
 * clock. */

enum {
    AQ_HEARTBEAT_MS = 500, /* interval between a daemon's heartbeats */
    /* A peer does not count as live after this time without a heartbeat from
     * the peer. */
    AQ_SUSPECT_MS = 2000,
    /* Time without a heartbeat from a member after which the other members may
     * remove that member from the epoch. */
    AQ_REMOVE_MS = 5000,
    /* Greatest age at which a store contact of this daemon, or a heartbeat of
     * a peer, counts in deciding whether this daemon's fleet document is
     * fresh. */
    AQ_FRESH_MS = 3000,
    /* Time for which a daemon waits before it takes slots that another daemon
     * may still use.  The wait starts when the waiting daemon sees that a
     * majority of the members has accepted the removal of the other daemon, or
     * when one of the two daemons starts. */
    AQ_GUARD_MS = 4000,
    /* Most members of one epoch; AqMembership_SetEpoch ignores further ids.
     * The design page expects 27 members. */
    AQ_MAX_MEMBERS = 256
};

/* Fault injection for tests: each bit disables one protection, so that a test
 * can show that it notices the lack of this protection.  The daemon never sets
 * these bits. */
enum {
    /* With this bit set, AqMembership_IsFresh is always true. */
    AQ_FAULT_ALWAYS_FRESH = 1,
    /* With this bit set, the age of a heartbeat counts from its receipt
     * instead of from the earliest time at which it may have been sent. */
    AQ_FAULT_RECEIPT_AGE = 2,
    /* With this bit set, a member is removed as soon as a single other member,
     * instead of a majority of the members, has received no heartbeat from
     * that member for AQ_REMOVE_MS. */
    AQ_FAULT_REMOVE_ALONE = 4,
    /* With this bit set, a daemon skips the wait of AQ_GUARD_MS before it
     * takes slots that another daemon may still use. */
    AQ_FAULT_NO_GUARD = 8,
    /* With this bit set, the "over" list of a received heartbeat is ignored.
     * The list names the endpoints on which the sender had, when it sent the
     * list, more requests in flight than slots. */
    AQ_FAULT_IGNORE_OVER = 16,
    /* With this bit set, a slot newly assigned to this daemon becomes usable
     * once the member to which the slot was assigned in the previous epoch has
     * released it, instead of once all other members have released it. */
    AQ_FAULT_PREVIOUS_ONLY = 32,
    /* With this bit set, AqMembership_MayChangeMembers is true even before a
     * majority of the members has accepted the installed epoch (put it in
     * force). */
    AQ_FAULT_CHANGE_UNACCEPTED = 64,
    /* With this bit set, a member's heartbeat counts as a release of the
     * member's former slots if the heartbeat is from this daemon's epoch or a
     * later one, instead of from this daemon's epoch only. */
    AQ_FAULT_LATER_EPOCH = 128
};

typedef struct AqMembership AqMembership;

/* "self" is the id of this daemon and is copied.  "instance" is a number that
 * differs at each start of the daemon; it must not be 0.  The caller owns the
 * result. */
AqMembership *AqMembership_Create(const char *self, uint64_t instance,
                                  AqTime now);
void AqMembership_Destroy(AqMembership *m);
/* Sets the AQ_FAULT_* bits, each of which disables one protection; for tests
 * only. */
void AqMembership_SetFaults(AqMembership *m, unsigned faults);
unsigned AqMembership_Faults(const AqMembership *m);

/* Installs the members of an epoch, as read from the fleet document in force.
 * An epoch that is not newer than the installed one is ignored.  Ids beyond
 * the first AQ_MAX_MEMBERS are ignored too; the fleet document must not name
 * more. */
void AqMembership_SetEpoch(AqMembership *m, AqTime now, int64_t epoch,
                           const char *const *ids, size_t count);
int64_t AqMembership_Epoch(const AqMembership *m);
size_t AqMembership_Count(const AqMembership *m);
/* Id of the member at position "i" in the order of ids.  It is valid until the
 * next AqMembership_SetEpoch. */
const char *AqMembership_Id(const AqMembership *m, size_t i);
bool AqMembership_IsMember(const AqMembership *m, const char *id);

/* Sets the version of the fleet document that this daemon has in force.  A
 * version below the one already set is ignored. */
void AqMembership_SetVersion(AqMembership *m, int64_t version);
/* Records that the store responded to a read of the fleet document's newest
 * version (head) that this daemon began at "started".  The version that was
 * read must already be set with AqMembership_SetVersion, because this contact
 * counts as proof that the version set was the newest at "started". */
void AqMembership_StoreContact(AqMembership *m, AqTime started);
/* Records a heartbeat that was received from the peer "from" at "now"; ignores
 * it if a later heartbeat of the same instance of the peer has been
 * received. */
void AqMembership_Heartbeat(AqMembership *m, AqTime now, const char *from,
                            const AqMsgHeartbeat *beat);
/* Reports that the connection of a peer has closed.  The peer's state does not
 * change: the peer stays live until AQ_SUSPECT_MS after its last heartbeat. */
void AqMembership_Disconnected(AqMembership *m, AqTime now, const char *id);

/* Fills seq, instance, epoch, version, store_age_ms, joining, peer_ages and
 * acked_seq of a heartbeat.  The caller fills the other fields (over,
 * slot_leases and slots_known with AqSlices_FillHeartbeat), and clears the
 * message with AqMsg_Clear once it is encoded.  Must be called every
 * AQ_HEARTBEAT_MS: a gap of more than three such intervals between calls
 * counts as a pause of this daemon, after which the silence of every peer is
 * measured from the end of the pause. */
void AqMembership_FillHeartbeat(AqMembership *m, AqTime now,
                                AqMsgHeartbeat *beat);

/* Whether the last heartbeat of the peer was received at most AQ_SUSPECT_MS
 * ago, and the peer has acknowledged a heartbeat that this daemon sent at most
 * AQ_FRESH_MS ago; always true for this daemon itself. */
bool AqMembership_IsLive(const AqMembership *m, AqTime now, const char *id);
/* Whether this daemon may rely on its version of the fleet document.  True if
 * this daemon, or a peer whose version is not newer than this daemon's,
 * reached the store in the last AQ_FRESH_MS; or if in that time a majority of
 * the members reported versions that are not newer and no member with a newer
 * version reached the store.  Design page, section 4.2. */
bool AqMembership_IsFresh(const AqMembership *m, AqTime now);
/* Whether a majority of the epoch's members, this daemon included, has
 * "version" or a later version of the fleet document in force, by the last
 * heartbeat received from each.  False if this daemon itself has a lower
 * version. */
bool AqMembership_IsAccepted(const AqMembership *m, AqTime now,
                             int64_t version);
/* Whether every member, this daemon included, has "version" or a later version
 * of the fleet document in force, by the last heartbeat received from each. */
bool AqMembership_IsAppliedByAll(const AqMembership *m, int64_t version);
/* Highest version of the fleet document that any peer has reported in its last
 * heartbeat; 0 if no peer has sent a heartbeat.  If "peer" is not NULL, *peer
 * becomes the id of the peer with that version, or NULL if no peer has sent a
 * heartbeat; the id is valid until the next call that changes "m". */
int64_t AqMembership_HighestVersion(const AqMembership *m, const char **peer);
/* Whether a commit of the fleet document may add or remove one member now: a
 * majority of the installed epoch's members has accepted this epoch (put it in
 * force), or the epoch has no members.  A commit that changes the members must
 * add or remove exactly one member of the installed epoch, so that any
 * majority of the old members and any majority of the new members have a
 * member in common.  After a write conflict the daemon must call this function
 * again before it retries the commit. */
bool AqMembership_MayChangeMembers(const AqMembership *m, AqTime now);
/* Id of a member from which a majority of the members has received no
 * heartbeat for AQ_REMOVE_MS; the caller commits the removal of that member.
 * NULL if there is no such member or AqMembership_MayChangeMembers is false.
 * The id is valid until the next AqMembership_SetEpoch. */
const char *AqMembership_ToRemove(const AqMembership *m, AqTime now);
/* Whether this daemon is a member and owns "role" ("planner", "claims/3",
 * ...): of all live members it has the highest rendezvous weight for
 * "role". */
bool AqMembership_IsOwner(const AqMembership *m, AqTime now, const char *role);
/* Id of the live member that owns "role"; this daemon's own id if no member is
 * live.  The id is valid until the next AqMembership_SetEpoch. */
const char *AqMembership_Owner(const AqMembership *m, AqTime now,
                               const char *role);
/* Number of requests that the other members report as in flight on "vm", a VM
 * that is drained (gets no new requests); the caller adds the requests of this
 * daemon.  -1 until every member, this daemon included, has "version" or a
 * later version of the fleet document in force. */
int64_t AqMembership_LeavingInFlight(const AqMembership *m, const char *vm,
                                     int64_t version);

/* ---- For AqSlices ------------------------------------------------------ */

/* Position, from 0, of the member "id" among the epoch's members in order of
 * id; -1 if "id" is not a member. */
int AqMembership_Index(const AqMembership *m, const char *id);
/* Instance number in the last heartbeat received from a peer; it differs at
 * each start of the peer.  0 if no heartbeat of the peer has been received. */
uint64_t AqMembership_Instance(const AqMembership *m, const char *id);
/* Sets *at to the time, on this daemon's clock, at which this daemon sent the
 * heartbeat that the peer last acknowledged; the last heartbeat that this
 * daemon received from the peer was sent after that time.  Returns false, and
 * leaves *at unset, if the peer has acknowledged no heartbeat since the last
 * start of the peer or of this daemon. */
bool AqMembership_SentAfter(const AqMembership *m, const char *id, AqTime *at);
/* Whether AQ_GUARD_MS have passed since this daemon started (created "m"). */
bool AqMembership_IsStarted(const AqMembership *m, AqTime now);

/* Bytes of memory that "m" and its lists use, without the overhead of the
 * allocator. */
size_t AqMembership_MemoryBytes(const AqMembership *m);

#endif
