#include "raw_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MAX_REQUEST_BYTES = 65536,
    TRICKLE_MS = 100
};

typedef struct {
    RawServer *server;
    int fd;
    AqWatch *watch;
    char bytes[MAX_REQUEST_BYTES + 1];
    size_t size;
    AqTimer trickle_timer;
    const char *trickle_rest; /* of the body that trickles */
} Connection;

static void
close_connection(Connection *c)
{
    AqTimer_Stop(&c->trickle_timer);
    AqLoop_Unwatch(c->server->loop, c->watch);
    close(c->fd);
    free(c);
}

static void
send_text(Connection *c, const char *text)
{
    ssize_t n = send(c->fd, text, strlen(text), MSG_NOSIGNAL);
    (void)n;
}

static void
on_trickle(void *context)
{
    Connection *c = context;
    ssize_t n = send(c->fd, c->trickle_rest, 1, MSG_NOSIGNAL);
    if (n == 1 && *++c->trickle_rest != '\0') {
        AqTimer_Start(c->server->loop, &c->trickle_timer,
                      AqLoop_Now(c->server->loop) + TRICKLE_MS);
    }
}

static void
start_trickle(Connection *c)
{
    char header[64];
    c->trickle_rest = c->server->trickle_body;
    snprintf(header, sizeof(header),
             "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
             strlen(c->trickle_rest));
    send_text(c, header);
    AqTimer_Start(c->server->loop, &c->trickle_timer,
                  AqLoop_Now(c->server->loop) + TRICKLE_MS);
}

/* Sends a complete response with "status", or 200 if that is 0. */
static void
send_complete_response(Connection *c, int status)
{
    char text[256];
    const char *body = c->server->body != NULL ? c->server->body : "ok";
    snprintf(text, sizeof(text),
             "HTTP/1.1 %d Status\r\nContent-Length: %zu\r\n\r\n%s",
             status != 0 ? status : 200, strlen(body), body);
    send_text(c, text);
}

/* Returns whether the whole header and body of the request have arrived. */
static int
is_request_complete(const Connection *c)
{
    const char *end = strstr(c->bytes, "\r\n\r\n");
    const char *length = strcasestr(c->bytes, "Content-Length:");
    size_t body = length != NULL ? strtoul(length + 15, NULL, 10) : 0;
    return end != NULL && c->size >= (size_t)(end + 4 - c->bytes) + body;
}

/* Processes the bytes received so far as the stage requires: sends a response,
 * a part of one, or nothing.  Returns whether the connection stays open. */
static int
handle_received_bytes(Connection *c, RawStage stage)
{
    int is_first = c->server->requests < c->server->complete_responses_first;
    int has_header = strstr(c->bytes, "\r\n\r\n") != NULL;
    if (stage == STAGE_IN_HEADER || (stage == STAGE_IN_BODY && has_header)) {
        return 0;
    }
    if (!is_request_complete(c)) {
        return 1;
    }
    c->server->requests++;
    c->size = 0;
    c->bytes[0] = '\0';
    switch (stage) {
    case STAGE_BEFORE_RESPONSE:
        return 0;
    case STAGE_IN_RESPONSE_HEADER:
        send_text(c, "HTTP/1.1 200 OK\r\nContent-Le");
        return 0;
    case STAGE_IN_RESPONSE_BODY:
        send_text(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345");
        return 0;
    case STAGE_IN_CHUNK:
        send_text(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\n12345\r\n");
        return 0;
    case STAGE_WITHOUT_LENGTH:
        send_text(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n12345");
        return 0;
    case STAGE_NO_RESPONSE:
        return 1;
    case STAGE_TRICKLE:
        start_trickle(c);
        return 1;
    default:
        send_complete_response(c, is_first ? 0 : c->server->status);
        return 1;
    }
}

static void
on_bytes(void *context, int events)
{
    Connection *c = context;
    RawStage stage = c->server->requests < c->server->complete_responses_first
                         ? STAGE_COMPLETE_RESPONSE
                         : c->server->stage;
    (void)events;
    if (stage == STAGE_BEFORE_READING) {
        close_connection(c);
        return;
    }
    ssize_t n =
        recv(c->fd, c->bytes + c->size, MAX_REQUEST_BYTES - c->size, 0);
    if (n <= 0) {
        close_connection(c);
        return;
    }
    c->size += (size_t)n;
    c->bytes[c->size] = '\0';
    if (!handle_received_bytes(c, stage)) {
        close_connection(c);
    }
}

static void
on_connection(void *context, int events)
{
    RawServer *server = context;
    (void)events;
    int fd = accept4(server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    server->connections++;
    if (server->stage == STAGE_BEFORE_READING &&
        server->requests >= server->complete_responses_first) {
        close(fd);
        return;
    }
    Connection *c = calloc(1, sizeof(*c));
    c->server = server;
    c->fd = fd;
    AqTimer_Init(&c->trickle_timer, on_trickle, c);
    c->watch = AqLoop_Watch(server->loop, fd, AQ_READABLE, on_bytes, c, NULL);
}

void
raw_server_start(RawServer *server, AqLoop *loop)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->loop = loop;
    server->fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(server->fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(server->fd, 16) != 0 ||
        getsockname(server->fd, (struct sockaddr *)&address, &size) != 0) {
        abort();
    }
    server->port = ntohs(address.sin_port);
    server->watch = AqLoop_Watch(loop, server->fd, AQ_READABLE, on_connection,
                                 server, NULL);
}

void
raw_server_stop(RawServer *server)
{
    AqLoop_Unwatch(server->loop, server->watch);
    close(server->fd);
}
