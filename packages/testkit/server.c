#include "server_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Memory that libmicrohttpd uses for one connection: holds up to 16 KiB of
 * headers and a part of the body. */
#define CONNECTION_MEMORY_BYTES (64 * 1024)
#define MAX_CONNECTIONS 1000
#define LISTEN_BACKLOG 512

static int
bind_socket(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr = {htonl(INADDR_LOOPBACK)}};
    if (fd < 0) {
        return -1;
    }
    /* With SO_REUSEADDR a second socket can bind the reserved port, as long as
     * no other socket listens on it. */
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Returns the port to which a socket is bound. */
static int
bound_port(int fd)
{
    struct sockaddr_in at;
    socklen_t size = sizeof(at);
    memset(&at, 0, sizeof(at));
    getsockname(fd, (struct sockaddr *)&at, &size);
    return ntohs(at.sin_port);
}

static void
run_server(AqLoopSource *source)
{
    AqTestServer *server = (AqTestServer *)source;
    if (server->daemon != NULL) {
        MHD_run(server->daemon);
    }
}

static int
server_timeout(AqLoopSource *source)
{
    AqTestServer *server = (AqTestServer *)source;
    MHD_UNSIGNED_LONG_LONG ms;
    if (server->daemon == NULL ||
        MHD_get_timeout(server->daemon, &ms) != MHD_YES) {
        return -1;
    }
    return ms > 60000 ? 60000 : (int)ms;
}

AqTestServer *
AqTestServer_Create(AqTestLoop *loop, int port, const AqTestServerOps *ops,
                    void *context, AqError *error)
{
    AqTestServer *server = calloc(1, sizeof(*server));
    server->loop = loop;
    server->ops = ops;
    server->context = context;
    server->source =
        (AqLoopSource){.fd = -1, .run = run_server, .timeout = server_timeout};
    AqList_Init(&server->source.link);
    AqList_Init(&server->connections);
    AqList_Init(&server->requests);
    server->reserved_fd = bind_socket(port);
    if (server->reserved_fd < 0) {
        AqError_Set(error, AQ_ERR_SYSTEM,
                    "cannot bind 127.0.0.1:%d: %s; choose another port", port,
                    strerror(errno));
        goto error;
    }
    server->port = bound_port(server->reserved_fd);
    if (!AqTestServer_Open(server, error)) {
        goto error;
    }
    AqTestLoop_AddSource(loop, &server->source);
    return server;
error:
    AqTestServer_Destroy(server);
    return NULL;
}

void
AqTestServer_Destroy(AqTestServer *server)
{
    if (server == NULL) {
        return;
    }
    AqTestServer_Close(server);
    AqTestLoop_RemoveSource(&server->source);
    if (server->reserved_fd >= 0) {
        close(server->reserved_fd);
    }
    free(server);
}

int
AqTestServer_Port(const AqTestServer *server)
{
    return server->port;
}

/* Queues the response to a request with libmicrohttpd.  Returns MHD_NO, which
 * closes the connection, for a request in the state REQUEST_CLOSING. */
static enum MHD_Result
queue_response(AqTestRequest *request)
{
    const char *name;
    json_t *value;
    if (request->state == REQUEST_CLOSING) {
        return MHD_NO;
    }
    json_object_foreach(request->headers, name, value)
    {
        MHD_add_response_header(request->response, name,
                                json_string_value(value));
    }
    return MHD_queue_response(request->connection, request->status,
                              request->response);
}

static Connection *
connection_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info->socket_context;
}

static enum MHD_Result
start_request(AqTestServer *server, struct MHD_Connection *connection,
              const char *method, const char *path, void **state)
{
    AqTestRequest *request = calloc(1, sizeof(*request));
    request->server = server;
    request->client = connection_of(connection);
    request->connection = connection;
    request->method = strdup(method);
    request->path = strdup(path);
    request->headers = json_object();
    AqBuffer_Init(&request->body);
    AqList_Append(&server->requests, &request->link);
    *state = request;
    if (!request->client->silent && server->ops->headers != NULL &&
        !server->ops->headers(server->context, request)) {
        return MHD_NO;
    }
    return MHD_YES;
}

/* libmicrohttpd callback, called first when the headers of a request have
 * arrived, then for each part of the body and after the body's end. */
static enum MHD_Result
handle_request_data(void *context, struct MHD_Connection *connection,
                    const char *path, const char *method, const char *version,
                    const char *upload, size_t *upload_size, void **state)
{
    AqTestServer *server = context;
    AqTestRequest *request = *state;
    (void)version;
    if (request == NULL) {
        return start_request(server, connection, method, path, state);
    }
    if (request->state == REQUEST_READING && *upload_size > 0) {
        AqBuffer_Append(&request->body, upload, *upload_size);
        *upload_size = 0;
        return request->close_in_body ? MHD_NO : MHD_YES;
    }
    if (request->state == REQUEST_READING) {
        request->state =
            request->client->silent ? REQUEST_SILENT : REQUEST_DISPATCHED;
        if (request->state == REQUEST_DISPATCHED) {
            request->awaits_response = true;
            server->ops->request(server->context, request);
        }
    }
    if (request->state == REQUEST_DISPATCHED ||
        request->state == REQUEST_SILENT) {
        request->suspended = true;
        MHD_suspend_connection(connection);
        return MHD_YES;
    }
    return queue_response(request);
}

static void
finish_request(void *context, struct MHD_Connection *connection, void **state,
               enum MHD_RequestTerminationCode code)
{
    AqTestRequest *request = *state;
    (void)context;
    (void)connection;
    (void)code;
    if (request == NULL) {
        return;
    }
    AqList_Remove(&request->link);
    if (request->awaits_response && request->server->ops->dropped != NULL) {
        request->server->ops->dropped(request->server->context, request);
    }
    if (request->response != NULL) {
        MHD_destroy_response(request->response);
    }
    json_decref(request->headers);
    AqBuffer_Clear(&request->body);
    free(request->method);
    free(request->path);
    free(request);
    *state = NULL;
}

static void
notify_connection(void *context, struct MHD_Connection *connection,
                  void **state, enum MHD_ConnectionNotificationCode code)
{
    AqTestServer *server = context;
    Connection *own = *state;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        own = calloc(1, sizeof(*own));
        own->server = server;
        own->fd = MHD_get_connection_info(connection,
                                          MHD_CONNECTION_INFO_CONNECTION_FD)
                      ->connect_fd;
        AqList_Append(&server->connections, &own->link);
        *state = own;
        if (server->ops->connected != NULL) {
            server->ops->connected(server->context);
        }
    }
    else if (own != NULL) {
        AqList_Remove(&own->link);
        free(own);
        *state = NULL;
    }
}

bool
AqTestServer_Open(AqTestServer *server, AqError *error)
{
    if (server->daemon != NULL) {
        return true;
    }
    int fd = bind_socket(server->port);
    if (fd < 0 || listen(fd, LISTEN_BACKLOG) != 0) {
        goto error;
    }
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
        handle_request_data, server, MHD_OPTION_LISTEN_SOCKET, fd,
        MHD_OPTION_NOTIFY_COMPLETED, finish_request, server,
        MHD_OPTION_NOTIFY_CONNECTION, notify_connection, server,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
        MHD_OPTION_END);
    if (server->daemon == NULL) {
        goto error;
    }
    server->source.fd =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd;
    return true;
error:
    if (fd >= 0) {
        close(fd);
    }
    return AqError_Set(error, AQ_ERR_SYSTEM,
                       "cannot listen on 127.0.0.1:%d: %s; choose another "
                       "port",
                       server->port, strerror(errno));
}

/* Sets all requests of the server to the state REQUEST_CLOSING and resumes the
 * suspended connections.  Returns whether any connection was suspended. */
static bool
resume_all(AqTestServer *server)
{
    bool any = false;
    AqList_ForEach(at, &server->requests)
    {
        AqTestRequest *request = AqList_Entry(at, AqTestRequest, link);
        request->state = REQUEST_CLOSING;
        if (request->suspended) {
            request->suspended = false;
            any = true;
            MHD_resume_connection(request->connection);
        }
    }
    return any;
}

void
AqTestServer_Close(AqTestServer *server)
{
    if (server->daemon == NULL) {
        return;
    }
    /* MHD_stop_daemon aborts the process when a connection is suspended.  The
     * MHD_run that resumes the connections may accept requests that suspend
     * other connections, hence the loop. */
    while (resume_all(server)) {
        MHD_run(server->daemon);
    }
    MHD_stop_daemon(server->daemon);
    server->daemon = NULL;
    server->source.fd = -1;
}

void
AqTestServer_SilenceOpen(AqTestServer *server)
{
    AqList_ForEach(at, &server->connections)
    {
        AqList_Entry(at, Connection, link)->silent = true;
    }
}

unsigned
AqTestServer_CountConnections(const AqTestServer *server)
{
    unsigned count = 0;
    AqList_ForEach(at, &server->connections)
    {
        /* libmicrohttpd does not detect that the peer has closed a suspended
         * connection, but recv() reports the end of the stream. */
        char byte;
        ssize_t n = recv(AqList_Entry(at, Connection, link)->fd, &byte, 1,
                         MSG_PEEK | MSG_DONTWAIT);
        count += n > 0 || (n < 0 && errno == EAGAIN);
    }
    return count;
}
