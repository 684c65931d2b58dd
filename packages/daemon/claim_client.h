#ifndef CLAIM_CLIENT_H
#define CLAIM_CLIENT_H

#include "daemon.h"

/* Creates the object that claims the ids of non-idempotent requests, so that
 * each request runs at most once.  A claim is sent to the daemon that owns the
 * partition of the claim.  This daemon writes the claim to the store itself if
 * it owns the partition or the owner does not reply.  The object also handles
 * the claims that peers send to this daemon. */

ClaimClient *ClaimClient_Create(Daemon *daemon);
void ClaimClient_Destroy(ClaimClient *client);

/* Claims "request_id" of "service" for the request that the router numbered
 * "request".  AqRouter_ClaimDone is called with the verdict (granted,
 * duplicate or unavailable), unless ClaimClient_Forget is called first. */
void ClaimClient_Claim(ClaimClient *client, uint64_t request,
                       const char *service, const char *request_id);
/* Drops the claim of the router's request number "request", whose verdict the
 * router no longer needs.  Releases the claim if it may have been written to
 * the store. */
void ClaimClient_Forget(ClaimClient *client, uint64_t request);
/* Releases the claim of the router's request number "request", which certainly
 * did not run, so that its id may be claimed again. */
void ClaimClient_Release(ClaimClient *client, uint64_t request);
/* Frees this daemon's record of the claim of the router's request number
 * "request", which has ended; the claim stays in the store. */
void ClaimClient_End(ClaimClient *client, uint64_t request);

/* Handles a claim of a request id that the peer "from" sent; the verdict is
 * sent to that peer. */
void ClaimClient_OnPeerClaim(ClaimClient *client, const char *from,
                             const AqMsgClaim *claim);
/* Releases "claim", a claim of a request id, as the peer that made the claim
 * has requested. */
void ClaimClient_OnPeerRelease(ClaimClient *client, const AqMsgClaim *claim);
/* Handles the verdict of a peer on a claim that this daemon sent to the peer.
 */
void ClaimClient_OnPeerResult(ClaimClient *client,
                              const AqMsgClaimResult *result);

#endif
