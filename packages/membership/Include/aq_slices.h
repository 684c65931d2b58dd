#ifndef AQ_SLICES_H
#define AQ_SLICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_membership.h"

/* The slots of each endpoint that this daemon may use.  Every slot allows one
 * request in flight and is assigned to one member of the epoch, so that the
 * limit of an endpoint holds over all entry VMs.  Design page, section 4.3. */
typedef struct AqSlices AqSlices;

/* "self" is the id of this daemon and is copied.  "membership" stays owned by
 * the caller and must outlive the result, which the caller owns too. */
AqSlices *AqSlices_Create(const char *self, AqMembership *membership,
                          AqTime now);
void AqSlices_Destroy(AqSlices *slices);

/* Must be called after each AqMembership_SetEpoch; does nothing if the epoch
 * is the same. */
void AqSlices_EpochChanged(AqSlices *slices, AqTime now);
/* Must be called for each received heartbeat, after AqMembership_Heartbeat. */
void AqSlices_Heartbeat(AqSlices *slices, AqTime now, const char *from,
                        const AqMsgHeartbeat *beat);

/* Adds an endpoint or changes its number of slots. */
void AqSlices_SetEndpoint(AqSlices *slices, AqTime now, const char *endpoint,
                          int slots);
/* Removes an endpoint.  Its entry is kept until its requests in flight have
 * ended. */
void AqSlices_RemoveEndpoint(AqSlices *slices, const char *endpoint);

/* Fills over, slot_leases and slots_known of a heartbeat, and sets its epoch
 * to 0 while this daemon cannot release slots yet.  "in_use" returns the
 * number of this daemon's requests in flight on an endpoint; it is also called
 * for removed endpoints until it returns 0.  Without this call no peer can use
 * a slot that it is newly assigned. */
void AqSlices_FillHeartbeat(AqSlices *slices, AqTime now,
                            int (*in_use)(void *context, const char *endpoint),
                            void *context, AqMsgHeartbeat *beat);

/* Number of slots assigned to this daemon in the current epoch, including
 * pending ones, which are not usable yet. */
int AqSlices_Assigned(const AqSlices *slices, const char *endpoint);
/* Number of slots on which this daemon may run requests now: the assigned
 * slots that every other member has released, minus those leased out, plus
 * those leased in.  0 while this daemon is not fresh. */
int AqSlices_Usable(AqSlices *slices, AqTime now, const char *endpoint);

/* Whether no slot is pending, leased out or leased in.  While this is true,
 * AqSlices_Usable changes only with the epoch, the endpoints and freshness. */
bool AqSlices_IsSteady(const AqSlices *slices);

/* Called by the lessor: leases up to "count" of its "idle" slots of an
 * endpoint to a lessee.  Returns the number of slots leased out, 0 if none can
 * be. */
int AqSlices_GrantLease(AqSlices *slices, AqTime now, const char *lessee,
                        const char *endpoint, int idle, int count);
/* Called by the lessor when the lessee has returned slots.  LEND, RETURN and
 * heartbeats must be handled in the order in which they were sent, and no
 * message from an older connection to the same peer may be handled after the
 * first message of a newer one.  The lessee's next heartbeat corrects the
 * count after a lost LEND or RETURN. */
void AqSlices_LeaseReturned(AqSlices *slices, const char *lessee,
                            const char *endpoint, int count);
/* Called by the lessee when the lessor has leased it "count" slots, on which
 * new requests may start for "term_ms".  A grant that cannot be shown to be
 * recent is ignored. */
void AqSlices_LeaseGranted(AqSlices *slices, AqTime now, const char *lessor,
                           const char *endpoint, int count, AqTime term_ms);
/* Called by the lessee, which has "in_use" requests in flight on an endpoint:
 * takes unused leased-in slots of one lessor whose term has ended, or that are
 * not needed, out of use.  Returns their number, which the caller must return
 * to *lessor; 0 if there are none.  *lessor is valid until the next call. */
int AqSlices_NextReturn(AqSlices *slices, AqTime now, const char *endpoint,
                        int in_use, const char **lessor);

/* Number of slots leased out to and leased in from other members; for
 * metrics. */
int AqSlices_LeasedOut(const AqSlices *slices, const char *endpoint);
int AqSlices_LeasedIn(const AqSlices *slices, const char *endpoint);
/* Bytes of memory in use, without the allocator's overhead. */
size_t AqSlices_MemoryBytes(const AqSlices *slices);

/* Checks that the counters of every endpoint agree with its slots and slot
 * leases.  Returns false and sets "error" if they do not. */
bool AqSlices_CheckConsistency(const AqSlices *slices, AqError *error);

#endif
