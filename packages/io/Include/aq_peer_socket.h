#ifndef AQ_PEER_SOCKET_H
#define AQ_PEER_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_error.h"

/* Non-blocking TCP sockets between entry VMs; IPv4 numbers only. */

/* Splits "IP:port" into "ip" and *port.  Returns false if "text" has another
 * form. */
bool AqPeerSocket_Parse(const char *text, char ip[16], uint16_t *port);
/* Opens a listening socket; *port 0 lets the system choose a port.  Returns
 * the socket and sets *port to the port in use, or returns -1 and sets
 * "error". */
int AqPeerSocket_Listen(const char *ip, uint16_t *port, AqError *error);
/* Begins to connect to a peer.  Returns the socket, or -1 on failure. */
int AqPeerSocket_Connect(const char *ip, uint16_t port);
/* Accepts one connection.  Returns its socket, or -1 if none is waiting. */
int AqPeerSocket_Accept(int listener);
/* Whether the connection begun by AqPeerSocket_Connect has been established,
 * once its socket "fd" is writable. */
bool AqPeerSocket_IsConnected(int fd);

#endif
