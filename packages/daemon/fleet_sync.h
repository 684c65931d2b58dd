#ifndef FLEET_SYNC_H
#define FLEET_SYNC_H

#include "daemon.h"

/* Creates the object that keeps the fleet document in force up to date.  It
 * watches the store entry "head", which describes the newest document, and
 * requests the document from a peer while the store does not reply. */

FleetSync *FleetSync_Create(Daemon *daemon);
void FleetSync_Destroy(FleetSync *sync);

/* Returns the fleet document in force, owned by "sync". */
AqFleet *FleetSync_Fleet(const FleetSync *sync);

/* Called when FleetSync_Refresh has ended.  "ok": the fleet document in force
 * is as new as that in the store; "index": store revision at which the entry
 * "head" was last written, 0 if the store has no such entry. */
typedef void (*FleetSyncDone)(void *context, bool ok, uint64_t index);
/* Reads the store entry "head", which describes the newest fleet document,
 * updates the document in force from that entry and calls "done". */
void FleetSync_Refresh(FleetSync *sync, FleetSyncDone done, void *context);

/* Replaces the fleet document in force by "fleet", a document that was written
 * to the store, if its version is later.  Takes ownership of "fleet". */
void FleetSync_Install(FleetSync *sync, AqFleet *fleet);

/* Handles the report of the peer "from" that it has "version" of the fleet
 * document: requests the document from that peer if the version is later than
 * the one in force and the store does not reply. */
void FleetSync_OnPeerVersion(FleetSync *sync, const char *from,
                             int64_t version);
/* Handles a part of the fleet document that the peer "from" has sent. */
void FleetSync_OnPeerChunk(FleetSync *sync, const char *from,
                           const AqMsgFleet *chunk);
/* Sends the fleet document in force to the peer "from", which has requested
 * it. */
void FleetSync_OnPeerRequest(FleetSync *sync, const char *from);

#endif
