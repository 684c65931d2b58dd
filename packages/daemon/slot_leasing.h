#ifndef SLOT_LEASING_H
#define SLOT_LEASING_H

#include "daemon.h"

/* The part of the daemon that leases idle slots of endpoints to peers whose
 * requests are queued, and requests slot leases from peers while requests are
 * queued at this daemon. */

typedef struct SlotLeasing SlotLeasing;

SlotLeasing *SlotLeasing_Create(Daemon *daemon);
void SlotLeasing_Destroy(SlotLeasing *leasing);

/* Handles the heartbeat of a peer: requests slot leases from that peer for the
 * services that have a queue at this daemon, and idle slots and no queue at
 * the peer. */
void SlotLeasing_OnHeartbeat(Daemon *daemon, const char *from,
                             const AqMsgHeartbeat *beat);
/* Handles the request of the peer "from" for leases of slots of one service:
 * leases at most half of this daemon's idle slots of that service to the peer,
 * unless requests of the service are queued at this daemon. */
void SlotLeasing_OnRequest(Daemon *daemon, const char *from,
                           const AqMsgSlots *msg);
/* Adds the slots of an endpoint that the peer "from" has leased to this daemon
 * in "msg" to the slots that this daemon's router may use, for the term of the
 * lease. */
void SlotLeasing_OnGrant(Daemon *daemon, const char *from,
                         const AqMsgSlots *msg);

#endif
