#ifndef LENDING_H
#define LENDING_H

#include "daemon.h"

/* Lends idle slots to peers that have a queue, and borrows when requests wait
 * here. */

typedef struct Lending Lending;

Lending *Lending_Create(Daemon *daemon);
void Lending_Destroy(Lending *lending);

/* A peer reported its queues and idle slots: borrows when that helps. */
void Lending_Heartbeat(Daemon *daemon, const char *from,
                       const AqMsgHeartbeat *beat);
void Lending_PeerBorrows(Daemon *daemon, const char *from,
                         const AqMsgSlots *msg);
void Lending_PeerLends(Daemon *daemon, const char *from,
                       const AqMsgSlots *msg);

#endif
