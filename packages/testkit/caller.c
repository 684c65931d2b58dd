#include "caller.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"
#include "aq_test_response.h"
#include "aq_test_http.h"

/* Time for which the load generator still waits for a response after the
 * request's own time limit.  A daemon responds when the limit expires; a
 * daemon that has not responded within this margin has lost the request. */
#define RESPONSE_MARGIN_MS 3000
/* Time limit of a readiness check of a daemon by the load generator; a daemon
 * that has not responded by then counts as not ready. */
#define CHECK_TIMEOUT_MS 1000L
/* Limit on the descriptors of the event loop that one call of wait_with_curl
 * polls; further descriptors are not polled. */
#define MAX_WAIT_FDS 64

/* Request that the load generator sends: once to one daemon, or as two copies
 * with the same request id, to two daemons if two are ready. */
typedef struct {
    char id[96];
    /* Number of copies of the request, sent with the same id, whose result is
     * not known yet. */
    int open_copies;
    /* Number of copies of the request, sent with the same id, that ended with
     * a result other than RESULT_NOT_RUN. */
    int other_results;
    /* Number of copies of the request, sent with the same id, that ended with
     * RESULT_NOT_RUN. */
    int not_run_results;
    bool idempotent;
    AqBuffer body;
} RequestGroup;

/* libcurl transfer between the load generator and one daemon: sends a request,
 * or one of two copies of a request with the same request id, or makes a
 * readiness check. */
typedef struct {
    AqLink link;
    Caller *caller;
    CURL *easy;
    struct curl_slist *headers;
    /* Request that this transfer sends, shared with the transfer of a second
     * copy with the same id; NULL for a readiness check. */
    RequestGroup *group;
    /* Position in options->services of the service that the request calls. */
    int service;
    /* Position in options->daemons of the daemon to which the transfer
     * connects. */
    int daemon;
    /* Number of connection attempts so far for this request, or for this copy
     * of the request, including this transfer's own attempt. */
    int tries;
    AqTestHttpReply reply;
} Transfer;

struct Caller {
    /* First member, since run_transfers casts the source to its Caller. */
    AqLoopSource source;
    AqTestLoop *loop;
    const CallerOptions *options;
    CURLM *multi;
    AqLink transfers;
    /* Number of requests whose result is not known yet; two copies with the
     * same request id count as two. */
    int in_flight;
    AqLoopTimer send_timer;
    AqLoopTimer check_timer;
    /* Monotonic time in ms at which the load generator sends the request that
     * is next. */
    double next_send_ms;
    /* Monotonic time from which on the load generator sends no more
     * requests. */
    AqTime send_end;
    /* Number at the end of the id of the next request; two copies of a request
     * share the number. */
    uint64_t sequence;
    /* Position in options->daemons at which the round-robin search for the
     * daemon of the next request, or of the second copy of a request,
     * starts. */
    int next_daemon;
    /* Whether the load generator counts each daemon as ready: true at the
     * start, then whether the daemon passed the last readiness check, and
     * false after the daemon refused a connection. */
    bool ready[MAX_DAEMONS];
    /* Whether the load generator waits for the response to a readiness check,
     * by daemon. */
    bool checking[MAX_DAEMONS];
    AqRandom random;
    Summary summary;
};

/* libcurl callback that appends received bytes to an AqBuffer; returns the
 * number of bytes accepted, which is all of them. */
static size_t
append_received(char *bytes, size_t size, size_t count, void *buffer)
{
    AqBuffer_Append(buffer, bytes, size * count);
    return size * count;
}

static void
add_header(Transfer *transfer, const char *name, const char *value)
{
    char line[160];
    snprintf(line, sizeof(line), "%s: %s", name, value);
    transfer->headers = curl_slist_append(transfer->headers, line);
}

static Transfer *
create_transfer(Caller *caller, int daemon, const char *path, long timeout_ms)
{
    char url[512];
    Transfer *transfer = calloc(1, sizeof(*transfer));
    CURL *easy = curl_easy_init();
    transfer->caller = caller;
    transfer->easy = easy;
    transfer->daemon = daemon;
    snprintf(url, sizeof(url), "http://%s%s", caller->options->daemons[daemon],
             path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_received);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->reply.body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append_received);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer->reply.headers);
    if (!caller->options->reuse_connections) {
        /* libcurl resends a request on its own when a reused connection is
         * closed before the first byte of the response.  A fresh connection
         * prevents that. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    AqList_Append(&caller->transfers, &transfer->link);
    return transfer;
}

static void
destroy_transfer(Transfer *transfer)
{
    curl_multi_remove_handle(transfer->caller->multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    AqTestHttpReply_Clear(&transfer->reply);
    AqList_Remove(&transfer->link);
    free(transfer);
}

static void
destroy_request_group(RequestGroup *group)
{
    AqBuffer_Clear(&group->body);
    free(group);
}

/* ---- Sending ----------------------------------------------------------- */

/* Returns the position in options->daemons of the next daemon in round-robin
 * order that is ready and differs from "other"; without one, "other" when
 * "other" is ready, and otherwise any different daemon.  As behind a load
 * balancer, a daemon that is not ready receives no request while another
 * daemon is ready.  With -1 for "other" no daemon is excluded. */
static int
choose_daemon(Caller *caller, int other)
{
    int count = caller->options->daemon_count;
    int fallback = -1;
    for (int i = 0; i < count; i++) {
        int daemon = (caller->next_daemon + i) % count;
        if (daemon == other) {
            continue;
        }
        if (caller->ready[daemon]) {
            caller->next_daemon = (daemon + 1) % count;
            return daemon;
        }
        if (fallback < 0) {
            fallback = daemon;
        }
    }
    caller->next_daemon = (caller->next_daemon + 1) % count;
    if (other >= 0 && caller->ready[other]) {
        return other;
    }
    return fallback < 0 ? 0 : fallback;
}

static void
send_copy(Caller *caller, RequestGroup *group, int service, int daemon,
          int tries)
{
    char path[256];
    char timeout[24];
    const CallerOptions *options = caller->options;
    snprintf(path, sizeof(path), "/v1/services/%s%s",
             options->services[service], options->path);
    snprintf(timeout, sizeof(timeout), "%lld", (long long)options->timeout_ms);
    Transfer *transfer =
        create_transfer(caller, daemon, path,
                        (long)(options->timeout_ms + RESPONSE_MARGIN_MS));
    transfer->group = group;
    transfer->service = service;
    transfer->tries = tries;
    add_header(transfer, "Expect", "");
    add_header(transfer, "Aq-Request-Id", group->id);
    add_header(transfer, "Aq-Idempotent",
               group->idempotent ? "true" : "false");
    add_header(transfer, "Aq-Timeout-Ms", timeout);
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE,
                     (long)group->body.size);
    curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS,
                     AqBuffer_Text(&group->body));
    curl_multi_add_handle(caller->multi, transfer->easy);
    caller->in_flight++;
}

/* Returns true with a probability of "share" percent. */
static bool
draw_percent(Caller *caller, int share)
{
    return (int)AqRandom_Below(&caller->random, 100) < share;
}

static void
send_request(Caller *caller)
{
    const CallerOptions *options = caller->options;
    RequestGroup *group = calloc(1, sizeof(*group));
    int service =
        (int)AqRandom_Below(&caller->random, (uint64_t)options->service_count);
    int daemon = choose_daemon(caller, -1);
    bool twice = options->daemon_count > 1 &&
                 draw_percent(caller, options->repeat_percent);
    group->idempotent = !draw_percent(caller, options->non_idempotent_percent);
    snprintf(group->id, sizeof(group->id), "%s-%s-%llu",
             group->idempotent ? "i" : "n", options->name,
             (unsigned long long)caller->sequence++);
    AqBuffer_Printf(&group->body, "body of %s ", group->id);
    while (group->body.size < options->body_bytes) {
        AqBuffer_AppendText(&group->body, "b");
    }
    group->open_copies = twice ? 2 : 1;
    caller->summary.sent += (uint64_t)group->open_copies;
    send_copy(caller, group, service, daemon, 1);
    if (twice) {
        send_copy(caller, group, service, choose_daemon(caller, daemon), 1);
    }
}

static void
send_due(void *context)
{
    Caller *caller = context;
    AqTime now = AqTestLoop_Now(caller->loop);
    while (caller->next_send_ms <= (double)now && now < caller->send_end) {
        send_request(caller);
        caller->next_send_ms += AqRandom_Exponential(
            &caller->random, 1000 / caller->options->rate);
    }
    if (now < caller->send_end) {
        AqTestLoop_StartTimer(caller->loop, &caller->send_timer,
                              (AqTime)(caller->next_send_ms - (double)now) +
                                  1);
    }
}

static void
check_daemons(void *context)
{
    Caller *caller = context;
    for (int i = 0; i < caller->options->daemon_count; i++) {
        if (!caller->checking[i]) {
            Transfer *transfer =
                create_transfer(caller, i, "/readyz", CHECK_TIMEOUT_MS);
            caller->checking[i] = true;
            curl_multi_add_handle(caller->multi, transfer->easy);
        }
    }
    AqTestLoop_StartTimer(caller->loop, &caller->check_timer,
                          caller->options->check_ms);
}

/* ---- Results ----------------------------------------------------------- */

static void
classify_response(Transfer *transfer, CallResult *result)
{
    char outcome[32] = "";
    char id[160] = "";
    char text[32];
    const AqTestHttpReply *reply = &transfer->reply;
    const RequestGroup *group = transfer->group;
    AqTestHttpReply_Header(reply, "Aq-Outcome", outcome, sizeof(outcome));
    AqTestHttpReply_Header(reply, "Aq-Request-Id", id, sizeof(id));
    result->has_retry_after =
        AqTestHttpReply_Header(reply, "Retry-After", text, sizeof(text)) &&
        AqTestHttpReply_Header(reply, "Aq-Retry-After-Ms", text, sizeof(text));
    result->kind = RESULT_WRONG;
    if (strcmp(id, group->id) != 0) {
        result->detail = "wrong or no Aq-Request-Id";
    }
    else if (strcmp(outcome, "not-run") == 0) {
        result->kind = RESULT_NOT_RUN;
    }
    else if (strcmp(outcome, "unknown") == 0) {
        result->kind = RESULT_UNKNOWN;
    }
    else if (strcmp(outcome, "completed") != 0) {
        result->detail = "wrong or no Aq-Outcome";
    }
    else {
        AqTestResponseCheck check = AqTestResponse_Check(
            AqBuffer_Text(&reply->body), reply->body.size, group->id,
            group->body.bytes, group->body.size);
        result->kind = check == AQ_RESPONSE_OWN       ? RESULT_COMPLETED
                       : check == AQ_RESPONSE_FOREIGN ? RESULT_WRONG
                                                      : RESULT_CUT;
        result->detail = "body of the response";
    }
}

static CallResult
classify(Transfer *transfer, CURLcode code)
{
    CallResult result = {.id = transfer->group->id,
                         .daemon = transfer->daemon,
                         .idempotent = transfer->group->idempotent};
    curl_off_t us = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &result.status);
    curl_easy_getinfo(transfer->easy, CURLINFO_TOTAL_TIME_T, &us);
    result.latency_ms = (double)us / 1000;
    if (code == CURLE_OK) {
        classify_response(transfer, &result);
        return result;
    }
    result.detail = curl_easy_strerror(code);
    if (code == CURLE_OPERATION_TIMEDOUT) {
        result.kind = RESULT_NO_RESPONSE;
    }
    else {
        result.kind =
            transfer->reply.headers.size > 0 ? RESULT_CUT : RESULT_CLOSED;
    }
    return result;
}

static void
finish_copy(Caller *caller, RequestGroup *group)
{
    if (--group->open_copies > 0) {
        return;
    }
    /* When two copies of the request were sent with the same id,
     * RESULT_NOT_RUN for one copy does not show that the request was not run:
     * the other copy may have run. */
    if (group->other_results == 0 && group->not_run_results > 0) {
        Summary_AddNotRun(&caller->summary, group->id);
    }
    destroy_request_group(group);
}

/* Sends a request, or one of its two copies with the same id, to another
 * daemon after a refused connection, as a load balancer does.  Sending again
 * is safe because no byte of the request was transmitted.  After as many
 * refused connections as there are daemons, the request or copy counts as
 * unsent. */
static void
finish_refused(Transfer *transfer)
{
    Caller *caller = transfer->caller;
    RequestGroup *group = transfer->group;
    caller->ready[transfer->daemon] = false;
    if (transfer->tries < caller->options->daemon_count) {
        caller->summary.reconnected++;
        send_copy(caller, group, transfer->service,
                  choose_daemon(caller, transfer->daemon),
                  transfer->tries + 1);
        return;
    }
    caller->summary.unsent++;
    finish_copy(caller, group);
}

static void
finish_transfer(Transfer *transfer, CURLcode code)
{
    Caller *caller = transfer->caller;
    if (transfer->group == NULL) {
        long status = 0;
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        caller->ready[transfer->daemon] = code == CURLE_OK && status == 200;
        caller->checking[transfer->daemon] = false;
        destroy_transfer(transfer);
        return;
    }
    caller->in_flight--;
    if (code == CURLE_COULDNT_CONNECT) {
        finish_refused(transfer);
    }
    else {
        CallResult result = classify(transfer, code);
        transfer->group->other_results += result.kind != RESULT_NOT_RUN;
        transfer->group->not_run_results += result.kind == RESULT_NOT_RUN;
        Summary_Add(&caller->summary, &result);
        finish_copy(caller, transfer->group);
    }
    destroy_transfer(transfer);
}

static void
run_transfers(AqLoopSource *source)
{
    Caller *caller = (Caller *)source;
    int running;
    int left;
    CURLMsg *message;
    curl_multi_perform(caller->multi, &running);
    while ((message = curl_multi_info_read(caller->multi, &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            char *transfer = NULL;
            CURLcode code = message->data.result;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                              &transfer);
            finish_transfer((Transfer *)(void *)transfer, code);
        }
    }
    if (caller->in_flight == 0 &&
        AqTestLoop_Now(caller->loop) >= caller->send_end) {
        AqTestLoop_Stop(caller->loop);
    }
}

/* Waits for libcurl's descriptors and those of the event loop, at most timeout
 * ms and at most 1 s. */
static void
wait_with_curl(void *context, struct pollfd *fds, unsigned count, int timeout)
{
    Caller *caller = context;
    struct curl_waitfd extra[MAX_WAIT_FDS];
    count = count < MAX_WAIT_FDS ? count : MAX_WAIT_FDS;
    for (unsigned i = 0; i < count; i++) {
        extra[i] =
            (struct curl_waitfd){.fd = fds[i].fd, .events = CURL_WAIT_POLLIN};
    }
    curl_multi_poll(caller->multi, extra, count,
                    timeout < 0 || timeout > 1000 ? 1000 : timeout, NULL);
}

Caller *
Caller_Create(AqTestLoop *loop, const CallerOptions *options)
{
    Caller *caller = calloc(1, sizeof(*caller));
    caller->loop = loop;
    caller->options = options;
    caller->multi = curl_multi_init();
    caller->source = (AqLoopSource){.fd = -1, .run = run_transfers};
    AqList_Init(&caller->source.link);
    AqList_Init(&caller->transfers);
    AqRandom_Seed(&caller->random, options->seed);
    Summary_Init(&caller->summary, options);
    for (int i = 0; i < options->daemon_count; i++) {
        caller->ready[i] = true;
    }
    caller->next_send_ms = (double)AqTestLoop_Now(loop);
    caller->send_end = AqTestLoop_Now(loop) + options->run_ms;
    AqLoopTimer_Init(&caller->send_timer, send_due, caller);
    AqLoopTimer_Init(&caller->check_timer, check_daemons, caller);
    AqTestLoop_AddSource(loop, &caller->source);
    AqTestLoop_SetWait(loop, wait_with_curl, caller);
    AqTestLoop_StartTimer(loop, &caller->send_timer, 0);
    if (options->check_ms > 0) {
        AqTestLoop_StartTimer(loop, &caller->check_timer, 0);
    }
    return caller;
}

void
Caller_Destroy(Caller *caller)
{
    AqLoopTimer_Stop(&caller->send_timer);
    AqLoopTimer_Stop(&caller->check_timer);
    AqList_ForEachSafe(at, after, &caller->transfers)
    {
        Transfer *transfer = AqList_Entry(at, Transfer, link);
        RequestGroup *group = transfer->group;
        destroy_transfer(transfer);
        if (group != NULL && --group->open_copies == 0) {
            destroy_request_group(group);
        }
    }
    curl_multi_cleanup(caller->multi);
    AqTestLoop_RemoveSource(&caller->source);
    Summary_Clear(&caller->summary);
    free(caller);
}

json_t *
Caller_Describe(const Caller *caller)
{
    return Summary_Describe(&caller->summary, caller->in_flight);
}
