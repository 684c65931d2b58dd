#ifndef AQ_SLICES_H
#define AQ_SLICES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_membership.h"

/* For each endpoint, the slots that this daemon may use.  Every slot allows
 * one request in flight on the endpoint and is assigned to one member of the
 * epoch, so that the endpoint's limit of requests in flight holds over all
 * entry VMs.  Design page, section 4.3. */
typedef struct AqSlices AqSlices;

/* "self" is the id of this daemon and is copied.  "membership" stays owned by
 * the caller and must outlive the returned AqSlices, which the caller owns
 * too. */
AqSlices *AqSlices_Create(const char *self, AqMembership *membership,
                          AqTime now);
void AqSlices_Destroy(AqSlices *slices);

/* Reassigns the slots of every endpoint to the members of the installed epoch.
 * Must be called after each AqMembership_SetEpoch; does nothing if the epoch
 * is still the same as at the last call. */
void AqSlices_EpochChanged(AqSlices *slices, AqTime now);
/* Must be called for each received heartbeat, after AqMembership_Heartbeat has
 * processed the same heartbeat. */
void AqSlices_Heartbeat(AqSlices *slices, AqTime now, const char *from,
                        const AqMsgHeartbeat *beat);

/* Adds an endpoint with this number of slots, or gives an existing endpoint
 * this number of slots. */
void AqSlices_SetEndpoint(AqSlices *slices, AqTime now, const char *endpoint,
                          int slots);
/* Removes an endpoint.  Its entry in the table is kept until this daemon's
 * requests in flight on the endpoint have ended. */
void AqSlices_RemoveEndpoint(AqSlices *slices, const char *endpoint);

/* Fills over (the endpoints on which this daemon has more requests in flight
 * than slots), slot_leases (the slots that it has leased in) and slots_known
 * of a heartbeat.  Sets the heartbeat's epoch to 0, so that the heartbeat
 * releases no slots, if "over" is too long for a heartbeat or not every other
 * member has reported its leased-in slots to this daemon since this daemon
 * started.  "in_use" returns the number of this daemon's requests in flight on
 * an endpoint; it is also called for removed endpoints until it returns 0.
 * Without this call no peer can use slots that are newly assigned to that
 * peer. */
void AqSlices_FillHeartbeat(AqSlices *slices, AqTime now,
                            int (*in_use)(void *context, const char *endpoint),
                            void *context, AqMsgHeartbeat *beat);

/* Number of slots of an endpoint that are assigned to this daemon in the
 * current epoch, including those that it cannot use until the other members
 * have released them. */
int AqSlices_Assigned(const AqSlices *slices, const char *endpoint);
/* Number of slots of an endpoint on which this daemon may run requests now:
 * the assigned slots that every other member has released, minus those leased
 * out, plus those leased in.  0 while AqMembership_IsFresh is false. */
int AqSlices_Usable(AqSlices *slices, AqTime now, const char *endpoint);

/* Whether no slot of this daemon is pending (assigned to it but not yet
 * released by the other members), leased out or leased in.  While this is
 * true, the result of AqSlices_Usable changes only when the epoch, the
 * endpoints or AqMembership_IsFresh change. */
bool AqSlices_IsSteady(const AqSlices *slices);

/* Called by the lessor: leases up to "count" more slots of an endpoint to
 * "lessee", in addition to those already leased to the lessee, but at most
 * "idle", the number of slots on which the lessor runs no request.  Returns
 * the number of slots added; 0 if none can be. */
int AqSlices_GrantLease(AqSlices *slices, AqTime now, const char *lessee,
                        const char *endpoint, int idle, int count);
/* Called by the lessor when the lessee has returned "count" slots of an
 * endpoint.  A peer's heartbeats, LEND messages (which grant slots) and RETURN
 * messages (which give leased slots back) must be handled in the order in
 * which they were sent, and no message from an older connection to the peer
 * may be handled after the first message of a newer one.  After a lost LEND or
 * RETURN message, a later heartbeat of the lessee corrects the lessor's count
 * of leased-out slots. */
void AqSlices_LeaseReturned(AqSlices *slices, const char *lessee,
                            const char *endpoint, int count);
/* Called by the lessee when the lessor has leased it "count" more slots of an
 * endpoint: adds them to the slots already leased in from this lessor.  New
 * requests may start on all of these slots for "term_ms" from now.  The grant
 * is ignored unless the last heartbeat received from the lessor was certainly
 * sent at most AQ_FRESH_MS ago. */
void AqSlices_LeaseGranted(AqSlices *slices, AqTime now, const char *lessor,
                           const char *endpoint, int count, AqTime term_ms);
/* Called by the lessee, which has "in_use" requests in flight on an endpoint:
 * takes out of use slots that it has leased in from one lessor and on which it
 * runs no request.  Only slots whose term has ended are taken, or, if the
 * lessee has free slots of its own, slots granted at least AQ_HEARTBEAT_MS
 * ago.  Returns the number of slots taken out of use, which the caller must
 * return to *lessor; 0 if there are none.  *lessor is valid until the next
 * call of this function. */
int AqSlices_NextReturn(AqSlices *slices, AqTime now, const char *endpoint,
                        int in_use, const char **lessor);

/* Number of slots of an endpoint that this daemon has leased out, summed over
 * all lessees; for metrics.  0 if the endpoint is unknown. */
int AqSlices_LeasedOut(const AqSlices *slices, const char *endpoint);
/* Number of slots of an endpoint that this daemon has leased in, summed over
 * all lessors; for metrics.  0 if the endpoint is unknown. */
int AqSlices_LeasedIn(const AqSlices *slices, const char *endpoint);
/* Bytes of memory that "slices" and its tables use, without the overhead of
 * the allocator. */
size_t AqSlices_MemoryBytes(const AqSlices *slices);

/* Checks, for every endpoint, that the counters of this daemon's held,
 * pending, leased-out and leased-in slots equal the number of such slots in
 * the endpoint's slot states and in the slot leases, and that the pending
 * slots of all endpoints add up to their total.  Returns false and sets
 * "error" if any counter differs. */
bool AqSlices_CheckConsistency(const AqSlices *slices, AqError *error);

#endif
