#include "http_sockets.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

void
HttpSockets_Clear(HttpSockets *sockets)
{
    free(sockets->by_fd);
    memset(sockets, 0, sizeof(*sockets));
}

static HttpSocket *
find_socket(const HttpSockets *sockets, curl_socket_t fd)
{
    return (size_t)fd < sockets->count ? &sockets->by_fd[fd] : NULL;
}

static HttpSocket *
add_socket(HttpSockets *sockets, curl_socket_t fd)
{
    if ((size_t)fd >= sockets->count) {
        size_t count = (size_t)fd * 2 + 16;
        sockets->by_fd =
            realloc(sockets->by_fd, count * sizeof(*sockets->by_fd));
        memset(sockets->by_fd + sockets->count, 0,
               (count - sockets->count) * sizeof(*sockets->by_fd));
        sockets->count = count;
    }
    HttpSocket *socket = &sockets->by_fd[fd];
    memset(socket, 0, sizeof(*socket));
    return socket;
}

curl_socket_t
HttpSockets_Open(HttpSockets *sockets, const struct curl_sockaddr *address)
{
    int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                    address->protocol);
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    HttpSocket *entry = add_socket(sockets, fd);
    entry->is_open = true;
    if (address->family == AF_INET) {
        memcpy(&entry->to, &address->addr, sizeof(entry->to));
    }
    return fd;
}

static int
on_close(void *context, curl_socket_t fd)
{
    HttpSocket *entry = find_socket(context, fd);
    if (entry != NULL) {
        entry->is_open = false;
    }
    return close(fd);
}

void
HttpSockets_Track(HttpSockets *sockets, CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, sockets);
}

void
HttpSockets_SetWatched(HttpSockets *sockets, curl_socket_t fd, bool is_watched)
{
    HttpSocket *entry = find_socket(sockets, fd);
    if (entry != NULL) {
        entry->is_watched = is_watched;
    }
}

void
HttpSockets_ShutDownIdle(HttpSockets *sockets, const struct sockaddr_in *to)
{
    for (size_t fd = 0; fd < sockets->count; fd++) {
        const HttpSocket *entry = &sockets->by_fd[fd];
        if (entry->is_open && !entry->is_watched &&
            HttpSockets_IsSameAddress(&entry->to, to)) {
            /* libcurl detects the closed connection and closes the descriptor
             * later. */
            shutdown((int)fd, SHUT_RDWR);
        }
    }
}

bool
HttpSockets_ParseAddress(const char *text, struct sockaddr_in *to)
{
    char ip[16];
    const char *colon = strrchr(text, ':');
    memset(to, 0, sizeof(*to));
    if (colon == NULL || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    if (inet_pton(AF_INET, ip, &to->sin_addr) != 1) {
        return false;
    }
    to->sin_family = AF_INET;
    to->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return true;
}

bool
HttpSockets_IsSameAddress(const struct sockaddr_in *a,
                          const struct sockaddr_in *b)
{
    return a->sin_family == b->sin_family && a->sin_port == b->sin_port &&
           a->sin_addr.s_addr == b->sin_addr.s_addr;
}
