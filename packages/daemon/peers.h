#ifndef PEERS_H
#define PEERS_H

#include "daemon.h"

/* TCP connections between daemons.  Each daemon dials every other member and
 * sends only on the connections that it dialled, so that a link that is cut
 * one way shows as such. */

Peers *Peers_Create(Daemon *daemon, AqError *error);
void Peers_Destroy(Peers *peers);

uint16_t Peers_Port(const Peers *peers);
/* "IP:port" that the other daemons dial. */
void Peers_Address(const Peers *peers, char address[AQ_WIRE_MAX_NAME]);

/* Installs the members to dial: from the fleet document, or from the seeds
 * while there is no document.  Members that left are disconnected. */
void Peers_Refresh(Peers *peers);

/* Sends a message, or drops it when the peer is not connected or its buffer
 * is full.  The message stays with the caller. */
bool Peers_Send(Peers *peers, const char *to, const AqMsg *msg);
bool Peers_IsConnected(const Peers *peers, const char *to);

/* Sends a heartbeat out of turn, so that the others learn at once of a new
 * version in force. */
void Peers_TriggerHeartbeat(Peers *peers);

/* Bytes sent and received since the start. */
void Peers_GetTraffic(const Peers *peers, uint64_t *sent, uint64_t *received);

#endif
