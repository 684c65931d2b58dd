#ifndef AQ_MEMBERSHIP_H
#define AQ_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_wire.h"

/* One daemon's view of the cluster of entry VMs: the members of the current
 * epoch, the peers that are live, and whether this daemon's copy of the fleet
 * document is fresh.  An epoch is the set of members that one version of the
 * fleet document sets; its number is that version.  The module does no I/O and
 * reads no clock: the caller passes heartbeats, store contacts and the time of
 * this daemon's own monotonic clock. */

enum {
    AQ_HEARTBEAT_MS = 500, /* interval between heartbeats */
    AQ_SUSPECT_MS = 2000,  /* silence after which a peer is not live */
    AQ_REMOVE_MS = 5000,   /* silence after which a member may be removed */
    /* Age up to which a store contact or a peer's report proves freshness. */
    AQ_FRESH_MS = 3000,
    /* Wait after a removal is accepted, or after the start of a daemon, before
     * slots that another daemon may still use are reused. */
    AQ_GUARD_MS = 4000,
    AQ_MAX_MEMBERS = 256 /* members of one epoch; the design page expects 27 */
};

/* Fault injection for tests: each bit disables one protection, so that a test
 * can show that it fails without it.  The daemon never sets them. */
enum {
    AQ_FAULT_ALWAYS_FRESH = 1, /* this daemon always counts as fresh */
    AQ_FAULT_RECEIPT_AGE = 2,  /* a heartbeat's age counts from its receipt */
    AQ_FAULT_REMOVE_ALONE = 4, /* one report of silence removes a member */
    AQ_FAULT_NO_GUARD = 8,     /* no wait for AQ_GUARD_MS */
    AQ_FAULT_IGNORE_OVER = 16, /* ignores the "over" list of heartbeats */
    /* Waits only for the member that held a slot in the previous epoch. */
    AQ_FAULT_PREVIOUS_ONLY = 32,
    /* Members may change before a majority has the epoch in force. */
    AQ_FAULT_CHANGE_UNACCEPTED = 64,
    /* A heartbeat with a later epoch releases slots of this epoch too. */
    AQ_FAULT_LATER_EPOCH = 128
};

typedef struct AqMembership AqMembership;

/* "self" is the id of this daemon and is copied.  "instance" is a number that
 * differs at each start of the daemon; it must not be 0.  The caller owns the
 * result. */
AqMembership *AqMembership_Create(const char *self, uint64_t instance,
                                  AqTime now);
void AqMembership_Destroy(AqMembership *m);
/* Sets the AQ_FAULT_* bits; for tests only. */
void AqMembership_SetFaults(AqMembership *m, unsigned faults);
unsigned AqMembership_Faults(const AqMembership *m);

/* Installs the members of an epoch, as read from the fleet document in force.
 * An epoch that is not newer than the installed one is ignored.  So are ids
 * beyond the first AQ_MAX_MEMBERS; the fleet document must not name more. */
void AqMembership_SetEpoch(AqMembership *m, AqTime now, int64_t epoch,
                           const char *const *ids, size_t count);
int64_t AqMembership_Epoch(const AqMembership *m);
size_t AqMembership_Count(const AqMembership *m);
/* Id of member "i" in order of id; valid until the next SetEpoch. */
const char *AqMembership_Id(const AqMembership *m, size_t i);
bool AqMembership_IsMember(const AqMembership *m, const char *id);

/* Sets the version of the fleet document that this daemon has in force.  A
 * version below the current one is ignored. */
void AqMembership_SetVersion(AqMembership *m, int64_t version);
/* Records that the store answered a read of the newest version (head) that
 * began at "started".  The version that was read must already be in force
 * (AqMembership_SetVersion), because freshness is derived from this. */
void AqMembership_StoreContact(AqMembership *m, AqTime started);
/* Processes a heartbeat that was received from the peer "from" at "now". */
void AqMembership_Heartbeat(AqMembership *m, AqTime now, const char *from,
                            const AqMsgHeartbeat *beat);
/* Reports that the connection of a peer has closed.  The peer's state does not
 * change: it stays live until AQ_SUSPECT_MS after its last heartbeat. */
void AqMembership_Disconnected(AqMembership *m, AqTime now, const char *id);

/* Fills seq, instance, epoch, version, store_age_ms, joining, peer_ages and
 * acked_seq; the caller adds the rest (AqSlices_FillHeartbeat for over and
 * slot_leases) and clears the message.  Must be called every AQ_HEARTBEAT_MS:
 * a gap of more than three intervals counts as a pause of this daemon, after
 * which the silence of every peer is measured from the end of the pause. */
void AqMembership_FillHeartbeat(AqMembership *m, AqTime now,
                                AqMsgHeartbeat *beat);

/* Whether a heartbeat of the peer was received within AQ_SUSPECT_MS and
 * acknowledges a heartbeat that this daemon sent within AQ_FRESH_MS; always
 * true for this daemon itself. */
bool AqMembership_IsLive(const AqMembership *m, AqTime now, const char *id);
/* Whether this daemon may rely on its version of the fleet document.  True if
 * it, or a peer without a newer version, reached the store within AQ_FRESH_MS;
 * or if a majority reports no newer version and no member with a newer one
 * reached the store in that time.  Design page, section 4.2. */
bool AqMembership_IsFresh(const AqMembership *m, AqTime now);
/* Whether a majority of the epoch, this daemon included, has reported that
 * "version" or a later version is in force.  False if this daemon itself has a
 * version below it. */
bool AqMembership_IsAccepted(const AqMembership *m, AqTime now,
                             int64_t version);
/* Whether every member, this daemon included, has reported that "version" or
 * a later version is in force. */
bool AqMembership_IsAppliedByAll(const AqMembership *m, int64_t version);
/* Highest version that any peer has reported, 0 if none has.  If "peer" is not
 * NULL, *peer becomes the id of that peer, or NULL if there is none; the id is
 * valid until the next call that changes "m". */
int64_t AqMembership_HighestVersion(const AqMembership *m, const char **peer);
/* Whether a commit may add or remove one member now: a majority of the
 * installed epoch has it in force, or the epoch is empty.  Each commit must
 * change exactly one member of the installed epoch; after a write conflict the
 * daemon must call this function again.  Majorities of successive epochs
 * therefore intersect. */
bool AqMembership_MayChangeMembers(const AqMembership *m, AqTime now);
/* Id of a member from which a majority has received no heartbeat for
 * AQ_REMOVE_MS, or NULL if there is none or AqMembership_MayChangeMembers is
 * false.  The daemon commits the removal of that member.  The id is valid
 * until the next SetEpoch. */
const char *AqMembership_ToRemove(const AqMembership *m, AqTime now);
/* Whether this daemon is a member and owns "role" ("planner", "claims/3",
 * ...): among the live members it has the highest rendezvous weight for the
 * role. */
bool AqMembership_IsOwner(const AqMembership *m, AqTime now, const char *role);
/* Id of the live member that owns "role"; this daemon's own id if no member is
 * live.  Valid until the next SetEpoch. */
const char *AqMembership_Owner(const AqMembership *m, AqTime now,
                               const char *role);
/* Number of requests that all other members report in flight on a leaving VM;
 * the caller adds its own.  -1 until every member, this daemon included, has
 * reported "version" or a later version. */
int64_t AqMembership_LeavingInFlight(const AqMembership *m, const char *vm,
                                     int64_t version);

/* ---- For AqSlices ------------------------------------------------------ */

/* Index of a member of the epoch in order of id, or -1 for other ids. */
int AqMembership_Index(const AqMembership *m, const char *id);
/* Instance that a peer last reported; 0 if no heartbeat has been received. */
uint64_t AqMembership_Instance(const AqMembership *m, const char *id);
/* Sets *at to a lower bound, on this daemon's clock, of the time at which the
 * peer sent its last heartbeat: the time at which this daemon sent the
 * heartbeat that the peer last acknowledged.  Returns false, and leaves *at
 * unset, if the peer has acknowledged no heartbeat of this instance. */
bool AqMembership_SentAfter(const AqMembership *m, const char *id, AqTime *at);
/* Whether AQ_GUARD_MS have passed since this daemon started. */
bool AqMembership_IsStarted(const AqMembership *m, AqTime now);

/* Bytes of memory in use, without the allocator's overhead. */
size_t AqMembership_MemoryBytes(const AqMembership *m);

#endif
