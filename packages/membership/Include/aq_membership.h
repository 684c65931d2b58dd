#ifndef AQ_MEMBERSHIP_H
#define AQ_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_wire.h"

/* What one daemon knows of the other entry VMs: who is a member of the epoch,
 * who is heard, whether this daemon is fresh.  Pure: fed with heartbeats and
 * store contacts. */

enum {
    AQ_HEARTBEAT_MS = 500,
    AQ_SUSPECT_MS = 2000,
    AQ_REMOVE_MS = 5000,
    AQ_FRESH_MS = 3000,
    AQ_GUARD_MS = 4000,
    AQ_MAX_MEMBERS = 256 /* of an epoch; the page foresees 27 */
};

/* Test switches: each leaves out one protection, so that a test can show that
 * it fails without it.  The daemon never sets them. */
enum {
    AQ_FAULT_ALWAYS_FRESH = 1,   /* no freshness rule */
    AQ_FAULT_RECEIPT_AGE = 2,    /* a heartbeat's age counts from receipt */
    AQ_FAULT_REMOVE_ALONE = 4,   /* removal without a majority */
    AQ_FAULT_NO_GUARD = 8,       /* no wait for removed members */
    AQ_FAULT_IGNORE_OVER = 16,   /* no wait for requests of the holder */
    AQ_FAULT_PREVIOUS_ONLY = 32, /* wait only for the last known holder */
    AQ_FAULT_CHANGE_UNACCEPTED = 64, /* member changes need no acceptance */
    AQ_FAULT_LATER_EPOCH = 128 /* reports of a later epoch count as well */
};

typedef struct AqMembership AqMembership;

/* "self" is copied.  "instance" identifies this start of the daemon. */
AqMembership *AqMembership_Create(const char *self, uint64_t instance,
                                  AqTime now);
void AqMembership_Destroy(AqMembership *m);
/* Sets AQ_FAULT_* bits; for tests only. */
void AqMembership_SetFaults(AqMembership *m, unsigned faults);
unsigned AqMembership_Faults(const AqMembership *m);

/* Installs the members of an epoch, as read from the fleet document in force.
 * Older epochs than the installed one are ignored.  Ids over AQ_MAX_MEMBERS
 * are ignored too; the fleet document must not name so many. */
void AqMembership_SetEpoch(AqMembership *m, AqTime now, int64_t epoch,
                           const char *const *ids, size_t count);
int64_t AqMembership_Epoch(const AqMembership *m);
size_t AqMembership_Count(const AqMembership *m);
/* Borrowed id of member "i" in order of id. */
const char *AqMembership_Id(const AqMembership *m, size_t i);
bool AqMembership_IsMember(const AqMembership *m, const char *id);

/* Version of the fleet document that this daemon has in force. */
void AqMembership_SetVersion(AqMembership *m, int64_t version);
/* A read of head that began at "started" was answered.  The version that was
 * read must be in force already (AqMembership_SetVersion): freshness relies on
 * it. */
void AqMembership_StoreContact(AqMembership *m, AqTime started);
void AqMembership_Heartbeat(AqMembership *m, AqTime now, const char *from,
                            const AqMsgHeartbeat *beat);
/* The connection of a peer closed; it counts as heard until it is silent. */
void AqMembership_Disconnected(AqMembership *m, AqTime now, const char *id);

/* Fills seq, instance, epoch, version, store_age_ms, joining and peer_ages;
 * the caller adds the rest (AqSlices_FillHeartbeat for over and slot_leases)
 * and clears the message.  Called every AQ_HEARTBEAT_MS: a longer gap is taken
 * as a pause of this daemon, after which the silence of the peers counts
 * anew. */
void AqMembership_FillHeartbeat(AqMembership *m, AqTime now,
                                AqMsgHeartbeat *beat);

/* Whether the peer was heard within AQ_SUSPECT_MS and hears this daemon too;
 * always true for this daemon itself. */
bool AqMembership_IsLive(const AqMembership *m, AqTime now, const char *id);
/* Freshness rule: see the design page, section 4.2. */
bool AqMembership_IsFresh(const AqMembership *m, AqTime now);
/* Whether a majority of the epoch, this daemon included, has reported a
 * version of at least "version" in force. */
bool AqMembership_IsAccepted(const AqMembership *m, AqTime now,
                             int64_t version);
/* Whether every member reports "version" or more in force. */
bool AqMembership_IsAppliedByAll(const AqMembership *m, int64_t version);
/* Highest version any peer reported, and who (borrowed, may be NULL). */
int64_t AqMembership_HighestVersion(const AqMembership *m, const char **peer);
/* Whether a commit may add or remove one member now: a majority of the
 * installed epoch has it in force, or the epoch is empty.  Every change of
 * members changes exactly one, on top of the installed epoch; after a conflict
 * the daemon asks again.  So majorities of successive epochs intersect. */
bool AqMembership_MayChangeMembers(const AqMembership *m, AqTime now);
/* A member that a majority has not heard for AQ_REMOVE_MS, or NULL; borrowed.
 * NULL while AqMembership_MayChangeMembers is false.  The daemon then commits
 * its removal. */
const char *AqMembership_ToRemove(const AqMembership *m, AqTime now);
/* Whether this daemon is the live member with the lowest rendezvous rank for
 * "role" ("planner", "claims/3", ...). */
bool AqMembership_IsOwner(const AqMembership *m, AqTime now, const char *role);
/* Id of that member; borrowed; this daemon's own id when nobody is live. */
const char *AqMembership_Owner(const AqMembership *m, AqTime now,
                               const char *role);
/* Requests in flight on a leaving VM over all other members, to which the
 * caller adds its own; -1 while a member, this daemon included, has not yet
 * reported a version of at least "version". */
int64_t AqMembership_LeavingInFlight(const AqMembership *m, const char *vm,
                                     int64_t version);

/* ---- For AqSlices ------------------------------------------------------ */

/* Index of a member of the epoch, or -1. */
int AqMembership_Index(const AqMembership *m, const char *id);
/* Instance that a peer last reported; 0 when it was never heard. */
uint64_t AqMembership_Instance(const AqMembership *m, const char *id);
/* This daemon's time before which the peer's last heartbeat was certainly not
 * sent: when this daemon sent the heartbeat that the peer last acknowledged.
 * False when the peer has acknowledged none of this instance. */
bool AqMembership_SentAfter(const AqMembership *m, const char *id, AqTime *at);
/* Whether the guard of this daemon's start has passed. */
bool AqMembership_IsStarted(const AqMembership *m, AqTime now);

/* Bytes of memory held, without the allocator's overhead. */
size_t AqMembership_MemoryBytes(const AqMembership *m);

#endif
