#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "aq_http_client.h"

enum {
    ADDRESSES = 40,
    PER_ADDRESS = 10,
    CONNECTIONS = ADDRESSES * PER_ADDRESS,
    CLOSED = 100,
    MAX_ROUNDS = 5000
};

/* ---- System calls of libcurl -------------------------------------------- */

static unsigned polls;        /* calls of poll() so far */
static time_t clock_offset_s; /* added to each clock */

/* The functions below replace those of the C library, also for libcurl, which
 * checks with poll() whether an idle connection is closed.  The clock is set,
 * so that the test need not wait. */
int count_poll(struct pollfd *fds, nfds_t count,
               int timeout_ms) __asm__("poll");
int read_clock(clockid_t clock,
               struct timespec *time) __asm__("clock_gettime");

int
count_poll(struct pollfd *fds, nfds_t count, int timeout_ms)
{
    polls++;
    struct timespec timeout = {.tv_sec = timeout_ms / 1000,
                               .tv_nsec = timeout_ms % 1000 * 1000000L};
    /* SYS_poll does not exist on arm64. */
    return (int)syscall(SYS_ppoll, fds, count,
                        timeout_ms < 0 ? NULL : &timeout, NULL, 0);
}

int
read_clock(clockid_t clock, struct timespec *time)
{
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    time->tv_sec += clock_offset_s;
    return result;
}

/* ---- Server ------------------------------------------------------------- */

typedef struct {
    AqLoop *loop;
    AqHttpClient *client;
    int listener;
    unsigned port;
    int connections[CONNECTIONS * 2];
    int count;
    int ended; /* calls that have ended with a response */
} Fixture;

static void
set_up(Fixture *f)
{
    struct sockaddr_in any = {.sin_family = AF_INET};
    socklen_t size = sizeof(any);
    AqError error;
    memset(f, 0, sizeof(*f));
    f->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    CU_ASSERT_EQUAL(bind(f->listener, (struct sockaddr *)&any, size), 0);
    CU_ASSERT_EQUAL(listen(f->listener, CONNECTIONS), 0);
    getsockname(f->listener, (struct sockaddr *)&any, &size);
    f->port = ntohs(any.sin_port);
    f->loop = AqLoop_Create(&error);
    f->client = AqHttpClient_Create(f->loop, &error);
}

static void
tear_down(Fixture *f)
{
    AqHttpClient_Destroy(f->client);
    AqLoop_Destroy(f->loop);
    for (int i = 0; i < f->count; i++) {
        close(f->connections[i]);
    }
    close(f->listener);
}

static void
on_done(void *context, const AqHttpReply *reply)
{
    Fixture *f = context;
    f->ended += reply->result == AQ_HTTP_DONE;
}

static void
start_call(Fixture *f, int address)
{
    char url[64];
    snprintf(url, sizeof(url), "http://127.0.1.%d:%u/", address + 1, f->port);
    AqHttpRequest request = {.method = "GET",
                             .url = url,
                             .timeout_ms = 10000,
                             .connect_timeout_ms = 10000,
                             .max_response_bytes = 1000};
    AqHttpClient_Start(f->client, &request, on_done, f);
}

static void
accept_all(Fixture *f)
{
    int fd;
    while (f->count < CONNECTIONS * 2 &&
           (fd = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
        f->connections[f->count++] = fd;
    }
}

/* Answers the requests that have arrived. */
static void
answer_all(const Fixture *f)
{
    static const char response[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    char request[1000];
    for (int i = 0; i < f->count; i++) {
        if (recv(f->connections[i], request, sizeof(request), 0) > 0) {
            CU_ASSERT_TRUE(send(f->connections[i], response,
                                sizeof(response) - 1, MSG_NOSIGNAL) > 0);
        }
    }
}

/* Opens all connections, which are idle afterwards. */
static void
open_connections(Fixture *f)
{
    for (int i = 0; i < CONNECTIONS; i++) {
        start_call(f, i % ADDRESSES);
    }
    for (int i = 0; i < MAX_ROUNDS && f->count < CONNECTIONS; i++) {
        AqLoop_RunOnce(f->loop, 1);
        accept_all(f);
    }
    for (int i = 0; i < MAX_ROUNDS && f->ended < CONNECTIONS; i++) {
        answer_all(f);
        AqLoop_RunOnce(f->loop, 1);
    }
    CU_ASSERT_EQUAL(f->ended, CONNECTIONS);
    CU_ASSERT_EQUAL(f->count, CONNECTIONS);
}

/* Guards against a loop that stands still for seconds when the next call finds
 * many idle connections closed, as after the move or restart of many VMs:
 * libcurl checks all of them once more for each closed one. */
static void
test_many_closed(void)
{
    Fixture f;
    set_up(&f);
    open_connections(&f);
    for (int i = 0; i < CLOSED; i++) {
        shutdown(f.connections[i * CONNECTIONS / CLOSED], SHUT_RDWR);
    }
    clock_offset_s += 2; /* libcurl checks the connections once a second */
    polls = 0;
    f.ended = 0;
    for (int i = 0; i < ADDRESSES; i++) {
        start_call(&f, i);
    }
    for (int i = 0; i < MAX_ROUNDS && f.ended < ADDRESSES; i++) {
        AqLoop_RunOnce(f.loop, 1);
        accept_all(&f);
        answer_all(&f);
    }
    printf("\n    %u calls of poll, ", polls);
    CU_ASSERT_EQUAL(f.ended, ADDRESSES);
    CU_ASSERT_TRUE(polls > 0); /* else libcurl checks in another way */
    CU_ASSERT_TRUE(polls < 10 * CONNECTIONS);
    tear_down(&f);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("idle_connections", NULL, NULL);
    CU_ADD_TEST(suite, test_many_closed);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
