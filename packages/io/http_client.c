#include "aq_http_client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "aq_buffer.h"
#include "aq_hash.h"
#include "aq_log.h"
#include "http_sockets.h"

enum {
    MAX_HEADER_LINES = 64, /* further header lines of a response are dropped */
    /* Most bytes of all header lines of a response together, each line counted
     * with a final NUL; the call fails if a response has more. */
    MAX_HEADER_BYTES = 16384,
    MAX_IDLE_CONNECTIONS =
        4096,            /* of a group; above the usual limit of files */
    MAX_IDLE_AGE_S = 30, /* connections idle for longer are not reused */
    /* A large response that stalls for so long ends the call. */
    STALL_TIMEOUT_S = 2,
    /* Idle time before the first TCP keepalive probe of a connection, and the
     * interval between its probes. */
    KEEPALIVE_INTERVAL_S = 5,
    /* Once a second libcurl (7.88.1) checks each idle connection of a multi
     * handle, with a system call, and begins again at the first one after each
     * connection that it finds closed: 2000 idle connections of which 200 are
     * closed took 176,000 system calls.  So the connections are divided among
     * several handles. */
    GROUP_COUNT = 16,
    /* Most calls that AqHttpClient_Close ends; the limit prevents an endless
     * loop if "done" callbacks always start a new call. */
    MAX_CLOSE_CALLS = 100000
};

/* Calls to part of the addresses, with their connections. */
typedef struct {
    AqHttpClient *client;
    CURLM *multi; /* NULL: no call has needed it yet */
    AqTimer timer;
} CallGroup;

struct AqHttpClient {
    AqLoop *loop;
    HttpSockets sockets;
    CallGroup groups[GROUP_COUNT];
    AqLink calls;
    bool closed;
    /* Number of this file's functions on the stack that call "done" callbacks
     * and use the client afterwards. */
    unsigned users;
    /* AqHttpClient_Destroy was called; the client is freed once "users" is
     * 0. */
    bool is_destroyed;
    uint64_t sent;
    uint64_t received;
    /* Further copies of repeatable requests, which libcurl has sent after a
     * reused connection had closed. */
    uint64_t resent;
    /* Calls that ended with AQ_HTTP_INTERRUPTED. */
    uint64_t interrupted;
};

struct AqHttpCall {
    AqLink link;
    AqHttpClient *client;
    CallGroup *group;
    CURL *easy;
    struct curl_slist *headers;
    struct curl_slist *connect_to;
    struct sockaddr_in to; /* address from connect_to; family 0: no address */
    char *request_body;
    AqBuffer body;
    AqBuffer header_text; /* response header lines, each followed by a NUL */
    size_t max_response_bytes;
    AqTime large_timeout_ms; /* AqHttpRequest.large_timeout_ms */
    bool headers_ended; /* the empty line after the response headers arrived */
    bool has_length;    /* the response has Content-Length or
                           Transfer-Encoding, so that its end is known */
    bool is_head;       /* the request's method is HEAD */
    bool may_repeat;    /* AqHttpRequest.may_repeat */
    /* Number of times that libcurl has begun to send the request; counted just
     * before the first byte is written to a connection. */
    unsigned copies;
    bool is_response_too_large;
    AqHttpDone done;
    void *context;
};

static void
free_call(AqHttpCall *call)
{
    AqList_Remove(&call->link);
    curl_multi_remove_handle(call->group->multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    curl_slist_free_all(call->connect_to);
    free(call->request_body);
    AqBuffer_Clear(&call->body);
    AqBuffer_Clear(&call->header_text);
    free(call);
}

/* Returns whether the response certainly arrived as a whole.  libcurl (7.88.1)
 * reports success also if the connection closes within the response header, or
 * if the response has no length and ends when the connection closes. */
static bool
is_response_complete(const AqHttpCall *call)
{
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    bool has_no_body = call->is_head || status == 204 || status == 304;
    return call->headers_ended && (call->has_length || has_no_body);
}

/* ---- Results ------------------------------------------------------------ */

static AqHttpResult
classify(const AqHttpCall *call, CURLcode code)
{
    if (code == CURLE_OK) {
        return is_response_complete(call) ? AQ_HTTP_DONE : AQ_HTTP_INTERRUPTED;
    }
    if (call->is_response_too_large) {
        return AQ_HTTP_TOO_LARGE;
    }
    if (call->copies == 0) {
        return AQ_HTTP_NOT_SENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? AQ_HTTP_TIMEOUT
                                            : AQ_HTTP_INTERRUPTED;
}

static void
count_bytes(AqHttpCall *call, AqHttpReply *reply)
{
    long request_bytes = 0;
    long header_bytes = 0;
    curl_off_t body_bytes = 0;
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_HEADER_SIZE, &header_bytes);
    curl_easy_getinfo(call->easy, CURLINFO_SIZE_DOWNLOAD_T, &body_bytes);
    reply->sent = (uint64_t)request_bytes;
    reply->received = (uint64_t)header_bytes + (uint64_t)body_bytes;
    call->client->sent += reply->sent;
    call->client->received += reply->received;
}

/* Counts copies and interrupted calls.  Logs an interrupted request that must
 * not be repeated, since its outcome is unknown. */
static void
note_result(AqHttpCall *call, AqHttpResult result)
{
    const char *url = NULL;
    call->client->resent += call->copies > 1 ? call->copies - 1 : 0;
    if (result != AQ_HTTP_INTERRUPTED) {
        return;
    }
    call->client->interrupted++;
    if (!call->may_repeat) {
        curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
        AqLog_Event(AQ_LOG_WARNING, "request_interrupted", "url=%s",
                    AqLog_Quote(url));
    }
}

static void
finish_call(AqHttpCall *call, CURLcode code)
{
    const char *lines[MAX_HEADER_LINES + 1];
    size_t count = 0;
    const char *text = AqBuffer_Text(&call->header_text);
    const char *end = text + call->header_text.size;
    while (text < end && count < MAX_HEADER_LINES) {
        lines[count++] = text;
        text += strlen(text) + 1;
    }
    lines[count] = NULL;

    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    AqHttpReply reply = {
        .result = classify(call, code),
        .status = (int)status,
        .body = AqBuffer_Text(&call->body),
        .size = call->body.size,
        .headers = lines,
        .message = curl_easy_strerror(code),
    };
    count_bytes(call, &reply);
    note_result(call, reply.result);
    AqHttpDone done = call->done;
    void *context = call->context;
    /* The call is unlinked first, so that it is not freed twice if "done"
     * destroys the client, which then stays until its users have ended. */
    AqList_Remove(&call->link);
    done(context, &reply);
    free_call(call);
}

static void
free_client(AqHttpClient *client)
{
    for (int i = 0; i < GROUP_COUNT; i++) {
        curl_multi_cleanup(client->groups[i].multi);
        AqTimer_Stop(&client->groups[i].timer);
    }
    HttpSockets_Clear(&client->sockets);
    free(client);
}

static void
begin_use(AqHttpClient *client)
{
    client->users++;
}

/* Frees the client if a callback has destroyed it meanwhile. */
static void
end_use(AqHttpClient *client)
{
    client->users--;
    if (client->users == 0 && client->is_destroyed) {
        free_client(client);
    }
}

static void
collect_finished(const CallGroup *group)
{
    AqHttpClient *client = group->client;
    CURLMsg *msg;
    int left;
    begin_use(client);
    while (!client->is_destroyed &&
           (msg = curl_multi_info_read(group->multi, &left)) != NULL) {
        if (msg->msg == CURLMSG_DONE) {
            AqHttpCall *call = NULL;
            CURLcode code = msg->data.result;
            curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
            finish_call(call, code);
        }
    }
    end_use(client);
}

/* ---- Event loop integration --------------------------------------------- */

typedef struct {
    CallGroup *group;
    AqWatch *watch;
    curl_socket_t fd;
} SocketState;

static void
on_socket(void *context, int events)
{
    SocketState *state = context;
    /* libcurl may free the state. */
    const CallGroup *group = state->group;
    int mask = 0;
    int running;
    if (events & AQ_READABLE) {
        mask |= CURL_CSELECT_IN;
    }
    if (events & AQ_WRITABLE) {
        mask |= CURL_CSELECT_OUT;
    }
    curl_multi_socket_action(group->multi, state->fd, mask, &running);
    collect_finished(group);
}

static int
socket_changed(CURL *easy, curl_socket_t fd, int what, void *data,
               void *socket_data)
{
    CallGroup *group = data;
    AqHttpClient *client = group->client;
    SocketState *state = socket_data;
    (void)easy;
    HttpSockets_SetWatched(&client->sockets, fd, what != CURL_POLL_REMOVE);
    if (what == CURL_POLL_REMOVE) {
        if (state != NULL) {
            AqLoop_Unwatch(client->loop, state->watch);
            free(state);
            curl_multi_assign(group->multi, fd, NULL);
        }
        return 0;
    }
    int events = 0;
    if (what & CURL_POLL_IN) {
        events |= AQ_READABLE;
    }
    if (what & CURL_POLL_OUT) {
        events |= AQ_WRITABLE;
    }
    if (state == NULL) {
        state = calloc(1, sizeof(*state));
        state->group = group;
        state->fd = fd;
        state->watch =
            AqLoop_Watch(client->loop, fd, events, on_socket, state, NULL);
        if (state->watch == NULL) {
            free(state);
            return -1;
        }
        curl_multi_assign(group->multi, fd, state);
    }
    else {
        AqLoop_SetEvents(client->loop, state->watch, events);
    }
    return 0;
}

static int
timeout_changed(CURLM *multi, long timeout_ms, void *data)
{
    CallGroup *group = data;
    AqLoop *loop = group->client->loop;
    (void)multi;
    if (timeout_ms < 0) {
        AqTimer_Stop(&group->timer);
    }
    else {
        AqTimer_Start(loop, &group->timer, AqLoop_Now(loop) + timeout_ms);
    }
    return 0;
}

static void
on_timeout(void *context)
{
    const CallGroup *group = context;
    int running;
    curl_multi_socket_action(group->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    collect_finished(group);
}

static bool
open_group(CallGroup *group)
{
    if (group->multi != NULL) {
        return true;
    }
    group->multi = curl_multi_init();
    if (group->multi == NULL) {
        return false;
    }
    curl_multi_setopt(group->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
    curl_multi_setopt(group->multi, CURLMOPT_SOCKETDATA, group);
    curl_multi_setopt(group->multi, CURLMOPT_TIMERFUNCTION, timeout_changed);
    curl_multi_setopt(group->multi, CURLMOPT_TIMERDATA, group);
    curl_multi_setopt(group->multi, CURLMOPT_MAXCONNECTS,
                      (long)MAX_IDLE_CONNECTIONS);
    return true;
}

/* Returns the group for calls to the address to which the request goes. */
static CallGroup *
find_group(AqHttpClient *client, const AqHttpRequest *request)
{
    const char *address = request->connect_to;
    size_t length;
    if (address != NULL) {
        length = strlen(address);
    }
    else {
        const char *scheme = strstr(request->url, "://");
        address = scheme != NULL ? scheme + 3 : request->url;
        length = strcspn(address, "/");
    }
    CallGroup *group =
        &client->groups[AqHash_Bytes(address, length) % GROUP_COUNT];
    return open_group(group) ? group : &client->groups[0];
}

AqHttpClient *
AqHttpClient_Create(AqLoop *loop, AqError *error)
{
    AqHttpClient *client = calloc(1, sizeof(*client));
    client->loop = loop;
    AqList_Init(&client->calls);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (int i = 0; i < GROUP_COUNT; i++) {
        client->groups[i].client = client;
        AqTimer_Init(&client->groups[i].timer, on_timeout, &client->groups[i]);
    }
    if (!open_group(&client->groups[0])) {
        AqError_Set(error, AQ_ERR_SYSTEM, "libcurl cannot be initialised");
        free(client);
        return NULL;
    }
    return client;
}

void
AqHttpClient_Close(AqHttpClient *client)
{
    client->closed = true;
    begin_use(client);
    /* The limit prevents an endless loop if "done" callbacks always start a
     * new call. */
    for (int i = 0; i < MAX_CLOSE_CALLS; i++) {
        AqLink *link = AqList_PopFirst(&client->calls);
        if (link == NULL) {
            break;
        }
        finish_call(AqList_Entry(link, AqHttpCall, link),
                    CURLE_ABORTED_BY_CALLBACK);
    }
    end_use(client);
}

void
AqHttpClient_Destroy(AqHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    AqLink *link;
    while ((link = AqList_PopFirst(&client->calls)) != NULL) {
        free_call(AqList_Entry(link, AqHttpCall, link));
    }
    client->is_destroyed = true;
    if (client->users == 0) {
        free_client(client);
    }
}

void
AqHttpClient_CloseIdle(AqHttpClient *client, const char *address)
{
    struct sockaddr_in to;
    if (!HttpSockets_ParseAddress(address, &to)) {
        return;
    }
    AqList_ForEach(at, &client->calls)
    {
        const AqHttpCall *call = AqList_Entry(at, AqHttpCall, link);
        if (HttpSockets_IsSameAddress(&call->to, &to)) {
            curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
        }
    }
    HttpSockets_ShutDownIdle(&client->sockets, &to);
}

/* ---- One call ----------------------------------------------------------- */

static size_t
on_body(char *bytes, size_t unit, size_t count, void *context)
{
    AqHttpCall *call = context;
    size_t size = unit * count;
    if (call->body.size + size > call->max_response_bytes) {
        call->is_response_too_large = true;
        return 0;
    }
    AqBuffer_Append(&call->body, bytes, size);
    return size;
}

static void
allow_large_response(const AqHttpCall *call)
{
    if (call->large_timeout_ms > 0) {
        curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS,
                         (long)call->large_timeout_ms);
        curl_easy_setopt(call->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(call->easy, CURLOPT_LOW_SPEED_TIME,
                         (long)STALL_TIMEOUT_S);
    }
}

static size_t
on_header(char *bytes, size_t unit, size_t count, void *context)
{
    AqHttpCall *call = context;
    size_t size = unit * count;
    size_t length = size;
    while (length > 0 &&
           (bytes[length - 1] == '\r' || bytes[length - 1] == '\n')) {
        length--;
    }
    if (length >= 5 && strncmp(bytes, "HTTP/", 5) == 0) {
        allow_large_response(call);
        /* A status line begins a new response, for example after 100 Continue
         * or after libcurl has sent the request again. */
        AqBuffer_Clear(&call->header_text);
        call->headers_ended = false;
        call->has_length = false;
        return size;
    }
    if (length == 0) {
        call->headers_ended = true;
        return size;
    }
    if ((length > 15 && strncasecmp(bytes, "Content-Length:", 15) == 0) ||
        (length > 18 && strncasecmp(bytes, "Transfer-Encoding:", 18) == 0)) {
        call->has_length = true;
    }
    if (call->header_text.size + length + 1 > MAX_HEADER_BYTES) {
        call->is_response_too_large = true;
        return 0;
    }
    AqBuffer_Append(&call->header_text, bytes, length);
    AqBuffer_Append(&call->header_text, "", 1);
    return size;
}

/* Whether libcurl may send the request now.  It sends a request again, POST
 * included, when a reused connection closes before the first byte of the
 * response.  The reply to another copy would not tell whether the server has
 * carried out the first one. */
static bool
may_send(const AqHttpCall *call)
{
    return call->copies == 0 || call->may_repeat;
}

static curl_socket_t
on_open_socket(void *context, curlsocktype purpose,
               struct curl_sockaddr *address)
{
    AqHttpCall *call = context;
    (void)purpose;
    return may_send(call) ? HttpSockets_Open(&call->client->sockets, address)
                          : CURL_SOCKET_BAD;
}

static int
on_before_send(void *context, char *primary_ip, char *local_ip,
               int primary_port, int local_port)
{
    AqHttpCall *call = context;
    (void)primary_ip;
    (void)local_ip;
    (void)primary_port;
    (void)local_port;
    if (!may_send(call)) {
        return CURL_PREREQFUNC_ABORT;
    }
    call->copies++;
    return CURL_PREREQFUNC_OK;
}

static void
set_body(AqHttpCall *call, const AqHttpRequest *request)
{
    if (!request->has_body) {
        if (strcmp(request->method, "HEAD") == 0) {
            curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
        }
        return;
    }
    call->request_body = malloc(request->size + 1);
    if (request->size > 0) {
        memcpy(call->request_body, request->body, request->size);
    }
    curl_easy_setopt(call->easy, CURLOPT_POST, 1L);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     (curl_off_t)request->size);
    curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->request_body);
}

static void
set_headers(AqHttpCall *call, const AqHttpRequest *request)
{
    for (const char *const *at = request->headers; at != NULL && *at != NULL;
         at++) {
        call->headers = curl_slist_append(call->headers, *at);
    }
    /* An empty Expect header disables libcurl's wait of one second for 100
     * Continue before it sends a body. */
    call->headers = curl_slist_append(call->headers, "Expect:");
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    if (request->connect_to != NULL) {
        char entry[300];
        snprintf(entry, sizeof(entry), "::%s", request->connect_to);
        call->connect_to = curl_slist_append(NULL, entry);
        curl_easy_setopt(call->easy, CURLOPT_CONNECT_TO, call->connect_to);
        HttpSockets_ParseAddress(request->connect_to, &call->to);
    }
}

static void
set_connection(AqHttpCall *call, const AqHttpRequest *request)
{
    CURL *easy = call->easy;
    HttpSockets_Track(&call->client->sockets, easy);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, call);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, (long)KEEPALIVE_INTERVAL_S);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, (long)MAX_IDLE_AGE_S);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)request->connect_timeout_ms);
    if (request->fresh_connection) {
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

AqHttpCall *
AqHttpClient_Start(AqHttpClient *client, const AqHttpRequest *request,
                   AqHttpDone done, void *context)
{
    AqHttpCall *call = calloc(1, sizeof(*call));
    call->client = client;
    call->group = find_group(client, request);
    call->done = done;
    call->context = context;
    call->max_response_bytes = request->max_response_bytes;
    call->large_timeout_ms = request->large_timeout_ms;
    AqBuffer_Init(&call->body);
    AqBuffer_Init(&call->header_text);
    AqList_Init(&call->link);
    call->is_head = strcmp(request->method, "HEAD") == 0;
    call->may_repeat = request->may_repeat;
    call->easy = curl_easy_init();
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_URL, request->url);
    set_body(call, request);
    curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
    set_headers(call, request);
    set_connection(call, request);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_before_send);
    curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
    AqList_Append(&client->calls, &call->link);
    if (!client->closed) {
        curl_multi_add_handle(call->group->multi, call->easy);
    }
    return call;
}

bool
AqHttpClient_Cancel(AqHttpCall *call)
{
    bool not_sent = call->copies == 0;
    free_call(call);
    return not_sent;
}

void
AqHttpClient_GetTraffic(const AqHttpClient *client, uint64_t *sent,
                        uint64_t *received)
{
    *sent = client->sent;
    *received = client->received;
}

void
AqHttpClient_GetDisturbed(const AqHttpClient *client, uint64_t *resent,
                          uint64_t *interrupted)
{
    *resent = client->resent;
    *interrupted = client->interrupted;
}

const char *
AqHttpReply_Header(const AqHttpReply *reply, const char *name)
{
    size_t length = strlen(name);
    for (const char *const *at = reply->headers; *at != NULL; at++) {
        if (strncasecmp(*at, name, length) == 0 && (*at)[length] == ':') {
            const char *value = *at + length + 1;
            while (*value == ' ' || *value == '\t') {
                value++;
            }
            return value;
        }
    }
    return NULL;
}
