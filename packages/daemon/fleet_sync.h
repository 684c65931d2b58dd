#ifndef FLEET_SYNC_H
#define FLEET_SYNC_H

#include "daemon.h"

/* Keeps the fleet document in force up to date: watches head (the store's
 * record of the newest document), and requests the document from a peer while
 * the store does not reply. */

FleetSync *FleetSync_Create(Daemon *daemon);
void FleetSync_Destroy(FleetSync *sync);

/* Returns the fleet document in force, owned by "sync". */
AqFleet *FleetSync_Fleet(const FleetSync *sync);

/* Called when FleetSync_Refresh has ended.  "ok": the document is up to date;
 * "index": store index of head, 0 if the store has no head yet. */
typedef void (*FleetSyncDone)(void *context, bool ok, uint64_t index);
/* Reads head now and updates the document in force from it. */
void FleetSync_Refresh(FleetSync *sync, FleetSyncDone done, void *context);

/* Replaces the document in force by a later version that was written to the
 * store.  Takes ownership of "fleet". */
void FleetSync_Install(FleetSync *sync, AqFleet *fleet);

/* Handles the document version that the peer "from" has reported. */
void FleetSync_OnPeerVersion(FleetSync *sync, const char *from,
                             int64_t version);
/* Handles a part of the document that the peer "from" has sent. */
void FleetSync_OnPeerChunk(FleetSync *sync, const char *from,
                           const AqMsgFleet *chunk);
/* Sends the document in force to the peer "from", which has requested it. */
void FleetSync_OnPeerRequest(FleetSync *sync, const char *from);

#endif
