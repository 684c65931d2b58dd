#ifndef HTTP_SOCKETS_H
#define HTTP_SOCKETS_H

#include <curl/curl.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

/* State of one descriptor that libcurl has opened as a socket. */
typedef struct {
    struct sockaddr_in to; /* IPv4 address and port of the remote end */
    bool is_open;
    /* Whether libcurl has the socket watched, which it does only while an HTTP
     * call uses the socket.  An open socket that is not watched is idle. */
    bool is_watched;
} HttpSocket;

/* Table of the sockets that libcurl has open.  It serves to close the idle
 * connections to one address, for which libcurl 7.88 has no function.  The
 * table must be zero-initialised, and must not be moved or freed while an easy
 * handle passed to HttpSockets_Track, or a connection of such a handle,
 * exists. */
typedef struct {
    HttpSocket *by_fd; /* array indexed by descriptor, owned by this table */
    size_t count;      /* number of elements of by_fd */
} HttpSockets;

void HttpSockets_Clear(HttpSockets *sockets);
/* Opens a socket and records it in the table.  Returns CURL_SOCKET_BAD on
 * failure. */
curl_socket_t HttpSockets_Open(HttpSockets *sockets,
                               const struct curl_sockaddr *address);
/* Sets the callback of an easy handle that closes sockets, so that each one it
 * closes is recorded in the table. */
void HttpSockets_Track(HttpSockets *sockets, CURL *easy);
void HttpSockets_SetWatched(HttpSockets *sockets, curl_socket_t fd,
                            bool is_watched);
/* Shuts down the idle connections to the address *to. */
void HttpSockets_ShutDownIdle(HttpSockets *sockets,
                              const struct sockaddr_in *to);

/* Sets *to from a text "IP:port".  Returns false if the text has no colon or
 * no valid IPv4 address; the port is not checked. */
bool HttpSockets_ParseAddress(const char *text, struct sockaddr_in *to);
bool HttpSockets_IsSameAddress(const struct sockaddr_in *a,
                               const struct sockaddr_in *b);

#endif
