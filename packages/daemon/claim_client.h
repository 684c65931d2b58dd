#ifndef CLAIM_CLIENT_H
#define CLAIM_CLIENT_H

#include "daemon.h"

/* Claims non-idempotent requests, so that each runs at most once.  A claim is
 * sent to the daemon that owns the claim's partition.  This daemon writes the
 * claim to the store itself if it is the owner or the owner does not reply.
 * Also handles the claims that peers send to this daemon. */

ClaimClient *ClaimClient_Create(Daemon *daemon);
void ClaimClient_Destroy(ClaimClient *client);

/* Claims request number "request".  AqRouter_ClaimDone is called with the
 * verdict, unless ClaimClient_Forget is called first. */
void ClaimClient_Claim(ClaimClient *client, uint64_t request,
                       const char *service, const char *request_id);
/* Drops a claim whose verdict is no longer needed, and releases the claim if
 * it may have been written. */
void ClaimClient_Forget(ClaimClient *client, uint64_t request);
/* Releases the claim of a request that certainly did not run. */
void ClaimClient_Release(ClaimClient *client, uint64_t request);
/* Drops the state of the claim of a request that has ended; the claim stays in
 * the store. */
void ClaimClient_End(ClaimClient *client, uint64_t request);

/* Handles a claim that the peer "from" sent; the verdict is sent back. */
void ClaimClient_OnPeerClaim(ClaimClient *client, const char *from,
                             const AqMsgClaim *claim);
/* Handles the release of a claim that a peer sent. */
void ClaimClient_OnPeerRelease(ClaimClient *client, const AqMsgClaim *claim);
/* Handles the verdict that a peer sent on a claim of this daemon. */
void ClaimClient_OnPeerResult(ClaimClient *client,
                              const AqMsgClaimResult *result);

#endif
