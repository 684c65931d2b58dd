#ifndef FLEET_SYNC_H
#define FLEET_SYNC_H

#include "daemon.h"

/* Keeps the fleet document in force up to date: watches head in the store and
 * takes the document from a peer when the store does not answer. */

FleetSync *FleetSync_Create(Daemon *daemon);
void FleetSync_Destroy(FleetSync *sync);

AqFleet *FleetSync_Fleet(const FleetSync *sync);

/* Reads head now and brings the document up to date; "done" gets whether that
 * worked and head's index (0: there is no head yet). */
typedef void (*FleetSyncDone)(void *context, bool ok, uint64_t index);
void FleetSync_Refresh(FleetSync *sync, FleetSyncDone done, void *context);

/* Replaces the document by a successor that was written to the store.  Takes
 * ownership. */
void FleetSync_Install(FleetSync *sync, AqFleet *fleet);

/* A peer reported a version, sent a chunk, or asks for the document. */
void FleetSync_OnPeerVersion(FleetSync *sync, const char *from,
                             int64_t version);
void FleetSync_OnPeerChunk(FleetSync *sync, const char *from,
                           const AqMsgFleet *chunk);
void FleetSync_OnPeerRequest(FleetSync *sync, const char *from);

#endif
