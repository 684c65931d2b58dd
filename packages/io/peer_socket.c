#include "aq_peer_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    BACKLOG = 64,
    /* The operating system closes a connection on which sent data stays
     * unacknowledged for this long: something between the two ends has lost
     * the connection. */
    USER_TIMEOUT_MS = 2000
};

bool
AqPeerSocket_Parse(const char *text, char ip[16], uint16_t *port)
{
    struct in_addr address;
    const char *colon = strrchr(text, ':');
    char *end;
    if (colon == NULL || colon - text >= 16) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    long number = strtol(colon + 1, &end, 10);
    if (*end != '\0' || end == colon + 1 || number < 1 || number > 65535) {
        return false;
    }
    *port = (uint16_t)number;
    return inet_pton(AF_INET, ip, &address) == 1;
}

static int
open_socket(const char *ip, uint16_t port, struct sockaddr_in *address)
{
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons(port);
    if (inet_pton(AF_INET, ip, &address->sin_addr) != 1) {
        errno = EINVAL;
        return -1;
    }
    return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

int
AqPeerSocket_Listen(const char *ip, uint16_t *port, AqError *error)
{
    struct sockaddr_in address;
    socklen_t size = sizeof(address);
    int on = 1;
    int fd = open_socket(ip, *port, &address);
    if (fd < 0) {
        goto error;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        goto error;
    }
    *port = ntohs(address.sin_port);
    return fd;

error:
    AqError_Set(error, AQ_ERR_SYSTEM,
                "cannot listen for peers on %s:%u: %s; choose a free port or "
                "another address",
                ip, *port, strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

static void
set_options(int fd)
{
    int on = 1;
    unsigned timeout = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

int
AqPeerSocket_Connect(const char *ip, uint16_t port)
{
    struct sockaddr_in address;
    int fd = open_socket(ip, port, &address);
    if (fd < 0) {
        return -1;
    }
    set_options(fd);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

int
AqPeerSocket_Accept(int listener)
{
    int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd >= 0) {
        set_options(fd);
    }
    return fd;
}

bool
AqPeerSocket_IsConnected(int fd)
{
    int code = 0;
    socklen_t size = sizeof(code);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &size) == 0 &&
           code == 0;
}
