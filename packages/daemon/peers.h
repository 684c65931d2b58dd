#ifndef PEERS_H
#define PEERS_H

#include "daemon.h"

/* Creates the TCP connections between this daemon and its peers.  Each daemon
 * dials every other member and sends only on the connections that it dialled,
 * so that a link that fails in one direction only is detected as such. */

Peers *Peers_Create(Daemon *daemon, AqError *error);
void Peers_Destroy(Peers *peers);

uint16_t Peers_Port(const Peers *peers);
/* Writes to "address" the "IP:port" at which other daemons dial this daemon.
 */
void Peers_Address(const Peers *peers, char address[AQ_WIRE_MAX_NAME]);

/* Updates the set of peers to dial: the members in the fleet document, or the
 * addresses in the setting peers.seeds while this daemon has no document.
 * Members that have left are disconnected. */
void Peers_Refresh(Peers *peers);

/* Sends a message to a peer.  Returns false, and drops the message, if the
 * peer is not connected or its send buffer is full.  The caller keeps
 * ownership of "msg". */
bool Peers_Send(Peers *peers, const char *to, const AqMsg *msg);
bool Peers_IsConnected(const Peers *peers, const char *to);

/* Sends the next heartbeat to all peers early, so that the peers learn at once
 * which version of the fleet document is in force here. */
void Peers_TriggerHeartbeat(Peers *peers);

/* Sets *sent and *received to the numbers of bytes sent to and received from
 * peers since the daemon started. */
void Peers_GetTraffic(const Peers *peers, uint64_t *sent, uint64_t *received);

#endif
