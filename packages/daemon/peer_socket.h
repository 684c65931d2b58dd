#ifndef PEER_SOCKET_H
#define PEER_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_error.h"

/* Non-blocking TCP sockets between daemons; IPv4 numbers only. */

/* Splits "IP:port" into "ip" and *port.  Returns false if "text" has another
 * form. */
bool peer_socket_parse(const char *text, char ip[16], uint16_t *port);
/* Opens a listening socket; *port 0 lets the system choose a port.  Returns
 * the socket and sets *port to the port in use, or returns -1 and sets
 * "error". */
int peer_socket_listen(const char *ip, uint16_t *port, AqError *error);
/* Begins to connect to a peer.  Returns the socket, or -1 on failure. */
int peer_socket_connect(const char *ip, uint16_t port);
/* Accepts one connection.  Returns its socket, or -1 if none is waiting. */
int peer_socket_accept(int listener);
/* Whether the connection begun by peer_socket_connect has been established,
 * once its socket "fd" is writable. */
bool peer_socket_is_connected(int fd);

#endif
