#include "relay.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_clock.h"
#include "aq_list.h"

enum {
    MAX_CONNECTIONS = 64,
    CHUNK_SIZE = 16384,
    NAME_SIZE = 16,
    POLL_MS = 20 /* most ms between two checks of held or delayed bytes */
};

/* Bytes that the relay has received and not yet sent completely. */
typedef struct {
    AqLink link;
    AqTime send_at;
    size_t size;
    size_t sent;
    char bytes[CHUNK_SIZE];
} Chunk;

/* Connection from a daemon through the relay to the target.  Peers send in
 * this direction only; the relay watches the other only for the end of the
 * connection. */
typedef struct {
    int from; /* socket of the incoming connection; -1: entry is free */
    int to;
    /* Id of the daemon that dialled; empty until its HELLO frame arrives. */
    char sender[NAME_SIZE];
    bool is_discarded;
    AqLink chunks;
} Connection;

struct Relay {
    int listener;
    int wake_fd;
    char address[32];
    pthread_t thread;
    pthread_mutex_t lock; /* protects all fields of the relay below this one */
    bool is_stopping;
    bool has_target;
    struct sockaddr_in target;
    /* Id of the daemon whose bytes the relay holds back; "": none, "*":
     * all. */
    char held_sender[NAME_SIZE];
    int delay_ms;
    Connection connections[MAX_CONNECTIONS];
};

static void
close_connection(Connection *c)
{
    AqLink *at;
    close(c->from);
    close(c->to);
    c->from = -1;
    while ((at = AqList_PopFirst(&c->chunks)) != NULL) {
        free(AqList_Entry(at, Chunk, link));
    }
}

static Connection *
free_connection(Relay *relay)
{
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        if (relay->connections[i].from < 0) {
            return &relay->connections[i];
        }
    }
    return NULL;
}

static void
accept_connection(Relay *relay)
{
    Connection *c = free_connection(relay);
    int fd = accept4(relay->listener, NULL, NULL, SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    int to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (c == NULL || !relay->has_target ||
        connect(to, (struct sockaddr *)&relay->target,
                sizeof(relay->target)) != 0) {
        close(fd);
        close(to);
        return;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    fcntl(to, F_SETFL, O_NONBLOCK);
    memset(c, 0, sizeof(*c));
    c->from = fd;
    c->to = to;
    AqList_Init(&c->chunks);
}

/* Reads the sender's id, "entryN", which is the first text of the HELLO
 * frame. */
static void
read_sender(Connection *c, const Chunk *chunk)
{
    const char *at = memmem(chunk->bytes, chunk->size, "entry", 5);
    if (c->sender[0] == '\0' && at != NULL &&
        at + 6 <= chunk->bytes + chunk->size) {
        memcpy(c->sender, at, 6);
        c->sender[6] = '\0';
    }
}

static bool
is_held(const Relay *relay, const Connection *c)
{
    return strcmp(relay->held_sender, "*") == 0 ||
           (relay->held_sender[0] != '\0' &&
            strcmp(relay->held_sender, c->sender) == 0);
}

/* Receives bytes of a connection, at most one chunk; returns false when the
 * sender has closed the connection or receiving failed. */
static bool
read_chunk(const Relay *relay, Connection *c)
{
    Chunk *chunk = calloc(1, sizeof(*chunk));
    ssize_t n = recv(c->from, chunk->bytes, sizeof(chunk->bytes), 0);
    if (n <= 0) {
        free(chunk);
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
    chunk->size = (size_t)n;
    read_sender(c, chunk);
    if (c->is_discarded) {
        free(chunk);
        return true;
    }
    chunk->send_at = AqClock_ReadMonotonic() + relay->delay_ms;
    AqList_Append(&c->chunks, &chunk->link);
    return true;
}

static bool
write_chunks(const Relay *relay, Connection *c)
{
    AqTime now = AqClock_ReadMonotonic();
    AqLink *at;
    while (!is_held(relay, c) && (at = AqList_PopFirst(&c->chunks)) != NULL) {
        Chunk *chunk = AqList_Entry(at, Chunk, link);
        ssize_t n = chunk->send_at > now
                        ? 0
                        : send(c->to, chunk->bytes + chunk->sent,
                               chunk->size - chunk->sent, MSG_NOSIGNAL);
        bool failed = n < 0 && errno != EAGAIN && errno != EWOULDBLOCK;
        chunk->sent += n > 0 ? (size_t)n : 0;
        if (failed || chunk->sent == chunk->size) {
            free(chunk);
        }
        else {
            AqList_Prepend(&c->chunks, &chunk->link);
        }
        if (n <= 0) {
            return !failed;
        }
    }
    return true;
}

static bool
has_ended(int fd)
{
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_PEEK);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static void
serve(Relay *relay)
{
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        Connection *c = &relay->connections[i];
        if (c->from >= 0 && (!read_chunk(relay, c) ||
                             !write_chunks(relay, c) || has_ended(c->to))) {
            close_connection(c);
        }
    }
}

static int
poll_timeout_ms(const Relay *relay)
{
    /* While chunks of received bytes are held or delayed, the thread checks
     * them every POLL_MS; otherwise it waits for an event. */
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        const Connection *c = &relay->connections[i];
        if (c->from >= 0 && !AqList_IsEmpty(&c->chunks)) {
            return POLL_MS;
        }
    }
    return -1;
}

static void *
run_thread(void *context)
{
    Relay *relay = context;
    pthread_mutex_lock(&relay->lock);
    while (!relay->is_stopping) {
        struct pollfd fds[2 + 2 * MAX_CONNECTIONS];
        nfds_t n = 0;
        fds[n++] = (struct pollfd){relay->wake_fd, POLLIN, 0};
        if (relay->has_target) {
            fds[n++] = (struct pollfd){relay->listener, POLLIN, 0};
        }
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            const Connection *c = &relay->connections[i];
            if (c->from >= 0) {
                fds[n++] = (struct pollfd){c->from, POLLIN, 0};
                fds[n++] = (struct pollfd){c->to, POLLIN, 0};
            }
        }
        int wait = poll_timeout_ms(relay);
        pthread_mutex_unlock(&relay->lock);
        poll(fds, n, wait);
        pthread_mutex_lock(&relay->lock);
        uint64_t count;
        if (fds[0].revents != 0 &&
            read(relay->wake_fd, &count, sizeof(count)) < 0) {
            break;
        }
        if (n > 1 && fds[1].fd == relay->listener && fds[1].revents != 0) {
            accept_connection(relay);
        }
        serve(relay);
    }
    pthread_mutex_unlock(&relay->lock);
    return NULL;
}

static void
unlock_and_wake(Relay *relay)
{
    uint64_t one = 1;
    pthread_mutex_unlock(&relay->lock);
    if (write(relay->wake_fd, &one, sizeof(one)) < 0) {
        perror("relay");
    }
}

Relay *
relay_create(void)
{
    struct sockaddr_in at = {.sin_family = AF_INET};
    socklen_t size = sizeof(at);
    Relay *relay = calloc(1, sizeof(*relay));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    relay->wake_fd = eventfd(0, EFD_CLOEXEC);
    relay->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    pthread_mutex_init(&relay->lock, NULL);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        relay->connections[i].from = -1;
    }
    if (bind(relay->listener, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(relay->listener, MAX_CONNECTIONS) != 0 ||
        getsockname(relay->listener, (struct sockaddr *)&at, &size) != 0 ||
        pthread_create(&relay->thread, NULL, run_thread, relay) != 0) {
        close(relay->listener);
        close(relay->wake_fd);
        free(relay);
        return NULL;
    }
    snprintf(relay->address, sizeof(relay->address), "127.0.0.1:%d",
             ntohs(at.sin_port));
    return relay;
}

void
relay_destroy(Relay *relay)
{
    if (relay == NULL) {
        return;
    }
    pthread_mutex_lock(&relay->lock);
    relay->is_stopping = true;
    unlock_and_wake(relay);
    pthread_join(relay->thread, NULL);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        if (relay->connections[i].from >= 0) {
            close_connection(&relay->connections[i]);
        }
    }
    close(relay->listener);
    close(relay->wake_fd);
    pthread_mutex_destroy(&relay->lock);
    free(relay);
}

const char *
relay_address(const Relay *relay)
{
    return relay->address;
}

void
relay_set_target(Relay *relay, const char *address)
{
    pthread_mutex_lock(&relay->lock);
    relay->target.sin_family = AF_INET;
    relay->target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    relay->target.sin_port =
        htons((uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
    relay->has_target = true;
    unlock_and_wake(relay);
}

static void
discard_open(Relay *relay, const char *from)
{
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        Connection *c = &relay->connections[i];
        if (c->from >= 0 && (from == NULL || strcmp(from, c->sender) == 0)) {
            c->is_discarded = true;
        }
    }
}

void
relay_set(Relay *relay, const char *from, RelayMode mode)
{
    pthread_mutex_lock(&relay->lock);
    relay->held_sender[0] = '\0';
    if (mode == RELAY_HOLD) {
        snprintf(relay->held_sender, sizeof(relay->held_sender), "%s",
                 from != NULL ? from : "*");
    }
    else if (mode == RELAY_DISCARD_OPEN) {
        discard_open(relay, from);
    }
    unlock_and_wake(relay);
}

void
relay_set_delay(Relay *relay, int ms)
{
    pthread_mutex_lock(&relay->lock);
    relay->delay_ms = ms;
    unlock_and_wake(relay);
}
