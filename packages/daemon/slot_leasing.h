#ifndef SLOT_LEASING_H
#define SLOT_LEASING_H

#include "daemon.h"

/* Leases idle slots out to peers that have a queue, and leases slots in when
 * requests wait here. */

typedef struct SlotLeasing SlotLeasing;

SlotLeasing *SlotLeasing_Create(Daemon *daemon);
void SlotLeasing_Destroy(SlotLeasing *leasing);

/* A peer reported its queues and idle slots: requests a lease when that
 * helps. */
void SlotLeasing_OnHeartbeat(Daemon *daemon, const char *from,
                             const AqMsgHeartbeat *beat);
void SlotLeasing_OnRequest(Daemon *daemon, const char *from,
                           const AqMsgSlots *msg);
void SlotLeasing_OnGrant(Daemon *daemon, const char *from,
                         const AqMsgSlots *msg);

#endif
