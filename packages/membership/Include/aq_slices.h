#ifndef AQ_SLICES_H
#define AQ_SLICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_membership.h"

/* Which slots of each endpoint this daemon may use, so that the limit of an
 * endpoint holds over all entry VMs.  Design page, section 4.3. */
typedef struct AqSlices AqSlices;

/* "membership" is borrowed and must outlive the result. */
AqSlices *AqSlices_Create(const char *self, AqMembership *membership,
                          AqTime now);
void AqSlices_Destroy(AqSlices *slices);

/* Called when the set of members changes, after AqMembership_SetEpoch. */
void AqSlices_EpochChanged(AqSlices *slices, AqTime now);
/* Called for each heartbeat, after AqMembership_Heartbeat. */
void AqSlices_Heartbeat(AqSlices *slices, AqTime now, const char *from,
                        const AqMsgHeartbeat *beat);

/* Adds an endpoint or changes its number of slots. */
void AqSlices_SetEndpoint(AqSlices *slices, AqTime now, const char *endpoint,
                          int slots);
void AqSlices_RemoveEndpoint(AqSlices *slices, const char *endpoint);

/* Fills over, slot_leases and slots_known of a heartbeat.  "in_use" returns
 * the requests in flight on an endpoint; it is also asked about removed
 * endpoints until it returns 0.  Without this call no peer uses a slot that it
 * gains. */
void AqSlices_FillHeartbeat(AqSlices *slices, AqTime now,
                            int (*in_use)(void *context, const char *endpoint),
                            void *context, AqMsgHeartbeat *beat);

/* Slots of this daemon in the current epoch, whether usable yet or not. */
int AqSlices_Assigned(const AqSlices *slices, const char *endpoint);
/* Slots that may be used now: those assigned whose earlier holder let go, less
 * those leased out, plus those leased in.  0 while not fresh. */
int AqSlices_Usable(AqSlices *slices, AqTime now, const char *endpoint);

/* Whether no slot is pending, leased out or in.  While this holds,
 * AqSlices_Usable changes only with the epoch, the endpoints and freshness. */
bool AqSlices_IsSteady(const AqSlices *slices);

/* Lessor: reserves up to "count" of the "idle" slots for a lessee; returns
 * how many were leased out. */
int AqSlices_GrantLease(AqSlices *slices, AqTime now, const char *lessee,
                        const char *endpoint, int idle, int count);
/* Lessor: the lessee gave slots back.  LEND, RETURN and heartbeats must
 * arrive in the order in which they were sent, and nothing from an older
 * connection to the same peer may be handled after the first message of a
 * newer one.  A lost LEND or RETURN is made good by the lessee's next
 * heartbeat. */
void AqSlices_LeaseReturned(AqSlices *slices, const char *lessee,
                            const char *endpoint, int count);
/* Lessee: got slots for term_ms. */
void AqSlices_LeaseGranted(AqSlices *slices, AqTime now, const char *lessor,
                           const char *endpoint, int count, AqTime term_ms);
/* Lessee: with "in_use" requests in flight, how many slots of which lessor
 * are over their term (or not needed) and go back now; 0 when none.  They are
 * no longer usable when this returns; *lessor is borrowed. */
int AqSlices_NextReturn(AqSlices *slices, AqTime now, const char *endpoint,
                        int in_use, const char **lessor);

/* Slots leased to and from other members; for metrics. */
int AqSlices_LeasedOut(const AqSlices *slices, const char *endpoint);
int AqSlices_LeasedIn(const AqSlices *slices, const char *endpoint);
/* Bytes of memory held, without the allocator's overhead. */
size_t AqSlices_MemoryBytes(const AqSlices *slices);

/* Checks that the counts of every endpoint agree with its slots. */
bool AqSlices_CheckConsistency(const AqSlices *slices, AqError *error);

#endif
