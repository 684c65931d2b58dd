#ifndef CLAIM_CLIENT_H
#define CLAIM_CLIENT_H

#include "daemon.h"

/* Claims for non-idempotent requests: sends them to the owner of the
 * partition, or writes them itself when it is the owner or the owner does not
 * answer.  Also serves the claims of peers. */

ClaimClient *ClaimClient_Create(Daemon *daemon);
void ClaimClient_Destroy(ClaimClient *client);

/* Claims a request; AqRouter_ClaimDone follows unless it is forgotten. */
void ClaimClient_Claim(ClaimClient *client, uint64_t request,
                       const char *service, const char *request_id);
void ClaimClient_Forget(ClaimClient *client, uint64_t request);
/* The claimed request certainly did not run. */
void ClaimClient_Release(ClaimClient *client, uint64_t request);
/* The request has ended; its claim stays. */
void ClaimClient_End(ClaimClient *client, uint64_t request);

/* Messages of peers. */
void ClaimClient_OnPeerClaim(ClaimClient *client, const char *from,
                             const AqMsgClaim *claim);
void ClaimClient_OnPeerRelease(ClaimClient *client, const AqMsgClaim *claim);
void ClaimClient_OnPeerResult(ClaimClient *client,
                              const AqMsgClaimResult *result);

#endif
