#include "aq_http_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_buffer.h"
#include "aq_log.h"

enum {
    /* Memory that libmicrohttpd reserves per connection, mainly for headers.
     */
    CONNECTION_MEMORY_BYTES = 32768,
    LISTEN_BACKLOG = 1024
};

struct AqHttpServer {
    AqLoop *loop;
    struct MHD_Daemon *daemon;
    AqWatch *watch;
    AqHttpHandler handler;
    void *context;
    size_t max_body;
    size_t pending;
    /* Requests that were passed to the handler and that AqExchange_Respond has
     * not answered; their exchanges point to this server. */
    size_t unanswered;
    const char *error_header_name;
    const char *error_header_value;
    uint16_t port;
    bool close_after_response;
    bool is_in_library; /* MHD_run is active */
    /* AqHttpServer_Destroy was called; the server is freed as soon as no
     * callback of the library is active and no request is unanswered. */
    bool is_destroyed;
    /* Whether connections were resumed since the last MHD_run. */
    bool has_resumed_connections;
};

struct AqExchange {
    AqHttpServer *server;
    struct MHD_Connection *connection;
    char *method;
    char *path;
    char *query;
    AqBuffer body;
    bool is_body_too_large;
    bool is_passed_to_handler;
    bool is_suspended;
    /* Whether the connection ended before AqExchange_Respond was called. */
    bool is_connection_ended;
    struct MHD_Response *response;
    int status;
};

/* ---- Requests ----------------------------------------------------------- */

static void *
on_uri(void *context, const char *uri, struct MHD_Connection *connection)
{
    AqExchange *exchange = calloc(1, sizeof(*exchange));
    (void)context;
    exchange->connection = connection;
    const char *query_mark = strchr(uri, '?');
    exchange->path = query_mark != NULL
                         ? strndup(uri, (size_t)(query_mark - uri))
                         : strdup(uri);
    exchange->query = strdup(query_mark != NULL ? query_mark + 1 : "");
    AqBuffer_Init(&exchange->body);
    return exchange;
}

static void
free_exchange(AqExchange *exchange)
{
    if (exchange->response != NULL) {
        MHD_destroy_response(exchange->response);
    }
    free(exchange->method);
    free(exchange->path);
    free(exchange->query);
    AqBuffer_Clear(&exchange->body);
    free(exchange);
}

static void
on_completed(void *context, struct MHD_Connection *connection,
             void **request_context, enum MHD_RequestTerminationCode code)
{
    AqHttpServer *server = context;
    AqExchange *exchange = *request_context;
    (void)connection;
    (void)code;
    if (exchange == NULL) {
        return;
    }
    *request_context = NULL;
    if (exchange->is_passed_to_handler && exchange->response == NULL) {
        /* The handler's owner still uses the exchange; AqExchange_Respond
         * frees the exchange. */
        exchange->is_connection_ended = true;
        exchange->connection = NULL;
        return;
    }
    if (exchange->is_passed_to_handler) {
        server->pending--;
    }
    free_exchange(exchange);
}

static enum MHD_Result
respond_too_large(AqExchange *exchange)
{
    static const char text[] =
        "{\"outcome\":\"not-run\",\"reason\":\"the request body is too "
        "large\",\"remedy\":\"send a smaller body\"}\n";
    AqHttpServer *server = exchange->server;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        sizeof(text) - 1, (void *)text, MHD_RESPMEM_PERSISTENT);
    MHD_add_response_header(response, "Content-Type", "application/json");
    MHD_add_response_header(response, "Connection", "close");
    if (server->error_header_name != NULL) {
        MHD_add_response_header(response, server->error_header_name,
                                server->error_header_value);
    }
    enum MHD_Result result = MHD_queue_response(
        exchange->connection, MHD_HTTP_CONTENT_TOO_LARGE, response);
    MHD_destroy_response(response);
    return result;
}

/* Returns whether the request's Content-Length exceeds the server's limit for
 * request bodies. */
static bool
is_declared_length_too_large(AqHttpServer *server,
                             struct MHD_Connection *connection)
{
    const char *text = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    return text != NULL && strtoull(text, NULL, 10) > server->max_body;
}

static enum MHD_Result
append_body(AqExchange *exchange, const char *bytes, size_t *size)
{
    if (exchange->body.size + *size > exchange->server->max_body) {
        exchange->is_body_too_large = true;
    }
    if (!exchange->is_body_too_large) {
        AqBuffer_Append(&exchange->body, bytes, *size);
    }
    *size = 0;
    return MHD_YES;
}

static enum MHD_Result
pass_to_handler(AqExchange *exchange)
{
    AqHttpServer *server = exchange->server;
    exchange->is_passed_to_handler = true;
    server->pending++;
    server->unanswered++;
    server->handler(server->context, exchange);
    if (exchange->response != NULL) {
        return MHD_queue_response(exchange->connection,
                                  (unsigned)exchange->status,
                                  exchange->response);
    }
    exchange->is_suspended = true;
    MHD_suspend_connection(exchange->connection);
    return MHD_YES;
}

static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *bytes,
           size_t *size, void **request_context)
{
    AqHttpServer *server = context;
    AqExchange *exchange = *request_context;
    (void)url;
    (void)version;
    if (exchange->method == NULL) {
        exchange->server = server;
        exchange->method = strdup(method);
        if (is_declared_length_too_large(server, connection)) {
            return respond_too_large(exchange);
        }
        return MHD_YES;
    }
    if (*size > 0) {
        return append_body(exchange, bytes, size);
    }
    if (exchange->is_body_too_large) {
        return respond_too_large(exchange);
    }
    if (exchange->response != NULL) {
        return MHD_queue_response(connection, (unsigned)exchange->status,
                                  exchange->response);
    }
    if (exchange->is_passed_to_handler) {
        return MHD_YES;
    }
    return pass_to_handler(exchange);
}

/* ---- Server ------------------------------------------------------------- */

/* Frees a destroyed server unless a callback of the library is active or a
 * request is unanswered.  libmicrohttpd must not be stopped while it has
 * suspended connections, and those are connections of unanswered requests.
 * Returns whether the server was freed. */
static bool
free_if_unused(AqHttpServer *server)
{
    if (!server->is_destroyed || server->is_in_library ||
        server->unanswered > 0) {
        return false;
    }
    if (server->daemon != NULL) {
        MHD_stop_daemon(server->daemon);
    }
    free(server);
    return true;
}

/* Returns false if a handler has destroyed the server, which is then freed or
 * must not be used any more. */
static bool
run_library(AqHttpServer *server)
{
    server->has_resumed_connections = false;
    server->is_in_library = true;
    MHD_run(server->daemon);
    server->is_in_library = false;
    bool is_destroyed = server->is_destroyed;
    free_if_unused(server);
    return !is_destroyed;
}

static void
on_event(void *context, int events)
{
    (void)events;
    run_library(context);
}

static AqTime
on_round(void *context)
{
    AqHttpServer *server = context;
    MHD_UNSIGNED_LONG_LONG timeout;
    if (server->has_resumed_connections && !run_library(server)) {
        return AQ_TIME_NEVER;
    }
    if (MHD_get_timeout(server->daemon, &timeout) != MHD_YES ||
        (timeout == 0 && !run_library(server))) {
        return AQ_TIME_NEVER;
    }
    return AqLoop_Now(server->loop) + (AqTime)timeout;
}

static int
open_listener(const AqHttpServerConfig *config, uint16_t *port, AqError *error)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t size = sizeof(address);
    int on = 1;
    if (inet_pton(AF_INET, config->address, &address.sin_addr) != 1) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "\"%s\" is not an IPv4 address; write one like 127.0.0.1",
                    config->address);
        return -1;
    }
    address.sin_port = htons(config->port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        goto error;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) != 0) {
        goto error;
    }
    *port = ntohs(address.sin_port);
    return fd;

error:
    AqError_Set(error, AQ_ERR_SYSTEM,
                "cannot listen on %s:%u: %s; choose a free port or another "
                "address",
                config->address, config->port, strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

static void
log_library_message(void *context, const char *format, va_list args)
{
    char text[256];
    (void)context;
    vsnprintf(text, sizeof(text), format, args);
    AqLog_Event(AQ_LOG_DEBUG, "http_server_message", "text=%s",
                AqLog_Quote(text));
}

AqHttpServer *
AqHttpServer_Create(AqLoop *loop, const AqHttpServerConfig *config,
                    AqHttpHandler handler, void *context, AqError *error)
{
    AqHttpServer *server = calloc(1, sizeof(*server));
    server->loop = loop;
    server->handler = handler;
    server->context = context;
    server->max_body = config->max_body;
    server->error_header_name = config->error_header_name;
    server->error_header_value = config->error_header_value;
    int fd = open_listener(config, &server->port, error);
    if (fd < 0) {
        goto error;
    }
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
        NULL, on_request, server, MHD_OPTION_LISTEN_SOCKET, fd,
        MHD_OPTION_EXTERNAL_LOGGER, log_library_message, NULL,
        MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
        MHD_OPTION_CONNECTION_LIMIT, config->max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, config->idle_timeout_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
        MHD_OPTION_END);
    if (server->daemon == NULL) {
        AqError_Set(error, AQ_ERR_SYSTEM,
                    "the HTTP server cannot be started; raise the limit of "
                    "open files");
        close(fd);
        goto error;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
    server->watch = AqLoop_Watch(loop, info->epoll_fd, AQ_READABLE, on_event,
                                 server, error);
    if (server->watch == NULL) {
        goto error;
    }
    AqLoop_OnRound(loop, on_round, server);
    return server;

error:
    AqHttpServer_Destroy(server);
    return NULL;
}

void
AqHttpServer_Destroy(AqHttpServer *server)
{
    if (server == NULL) {
        return;
    }
    server->is_destroyed = true;
    AqLoop_Unwatch(server->loop, server->watch);
    AqLoop_OffRound(server->loop, on_round, server);
    free_if_unused(server);
}

uint16_t
AqHttpServer_Port(const AqHttpServer *server)
{
    return server->port;
}

void
AqHttpServer_StopListening(AqHttpServer *server)
{
    int fd = MHD_quiesce_daemon(server->daemon);
    if (fd >= 0) {
        close(fd);
    }
    server->close_after_response = true;
}

void
AqHttpServer_CloseAfterResponse(AqHttpServer *server)
{
    server->close_after_response = true;
}

size_t
AqHttpServer_Pending(const AqHttpServer *server)
{
    return server->pending;
}

/* ---- Exchange ----------------------------------------------------------- */

const char *
AqExchange_Method(const AqExchange *exchange)
{
    return exchange->method;
}

const char *
AqExchange_Path(const AqExchange *exchange)
{
    return exchange->path;
}

const char *
AqExchange_Query(const AqExchange *exchange)
{
    return exchange->query;
}

const char *
AqExchange_Body(const AqExchange *exchange, size_t *size)
{
    *size = exchange->body.size;
    return AqBuffer_Text(&exchange->body);
}

const char *
AqExchange_Header(const AqExchange *exchange, const char *name)
{
    if (exchange->connection == NULL) {
        return NULL;
    }
    return MHD_lookup_connection_value(exchange->connection, MHD_HEADER_KIND,
                                       name);
}

const char *
AqExchange_Argument(const AqExchange *exchange, const char *name)
{
    if (exchange->connection == NULL) {
        return NULL;
    }
    return MHD_lookup_connection_value(exchange->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

typedef struct {
    void (*visit)(void *context, const char *name, const char *value);
    void *context;
} HeaderVisit;

static enum MHD_Result
visit_header(void *context, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
    HeaderVisit *visit = context;
    (void)kind;
    visit->visit(visit->context, name, value != NULL ? value : "");
    return MHD_YES;
}

void
AqExchange_EachHeader(const AqExchange *exchange,
                      void (*visit)(void *context, const char *name,
                                    const char *value),
                      void *context)
{
    HeaderVisit state = {visit, context};
    if (exchange->connection != NULL) {
        MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
                                  visit_header, &state);
    }
}

void
AqExchange_Respond(AqExchange *exchange, int status,
                   const AqHttpHeader *headers, size_t count, const void *body,
                   size_t size)
{
    AqHttpServer *server = exchange->server;
    server->unanswered--;
    if (exchange->is_connection_ended) {
        server->pending--;
        free_exchange(exchange);
        free_if_unused(server);
        return;
    }
    exchange->status = status;
    exchange->response = MHD_create_response_from_buffer(
        size, (void *)body, MHD_RESPMEM_MUST_COPY);
    for (size_t i = 0; i < count; i++) {
        MHD_add_response_header(exchange->response, headers[i].name,
                                headers[i].value);
    }
    if (server->close_after_response) {
        MHD_add_response_header(exchange->response, "Connection", "close");
    }
    if (exchange->is_suspended) {
        exchange->is_suspended = false;
        server->has_resumed_connections = true;
        MHD_resume_connection(exchange->connection);
    }
    free_if_unused(server);
}
