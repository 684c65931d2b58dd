#include "caller.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"
#include "aq_test_answer.h"
#include "aq_test_http.h"

/* A daemon answers at the deadline; later than this it has lost the
 * request. */
#define ANSWER_MARGIN_MS 3000
#define CHECK_TIMEOUT_MS 1000L
#define MAX_WAIT_FDS 64

/* One request id, sent in one or two copies. */
typedef struct {
    char id[96];
    int copies; /* without a result */
    int ran;    /* copies with another result than not-run */
    int not_run;
    bool idempotent;
    AqBuffer body;
} Group;

/* A transfer: a copy of a request, or a readiness check. */
typedef struct {
    AqLink link;
    Caller *caller;
    CURL *easy;
    struct curl_slist *headers;
    Group *group; /* NULL: a readiness check */
    int service;
    int daemon;
    int tries;
    AqTestHttpReply reply;
} Transfer;

struct Caller {
    AqLoopSource source; /* first */
    AqTestLoop *loop;
    const CallerOptions *options;
    CURLM *multi;
    AqLink transfers;
    int in_flight; /* requests, without readiness checks */
    AqLoopTimer send;
    AqLoopTimer check;
    double next_at; /* ms */
    AqTime end;
    uint64_t sequence;
    int next_daemon;
    bool ready[MAX_DAEMONS];
    bool checking[MAX_DAEMONS];
    AqRandom random;
    Summary summary;
};

static size_t
append(char *bytes, size_t size, size_t count, void *buffer)
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
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->reply.body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer->reply.headers);
    if (!caller->options->reuse) {
        /* On a reused connection libcurl sends a request again by itself
         * when the connection is closed before the first byte. */
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
destroy_group(Group *group)
{
    AqBuffer_Clear(&group->body);
    free(group);
}

/* ---- Sending ----------------------------------------------------------- */

/* The next daemon in turn that is ready and not "other"; else "other" itself
 * when it is ready; else any other one.  A daemon that is not ready gets
 * nothing while one is, as behind a balancer. */
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
send_copy(Caller *caller, Group *group, int service, int daemon, int tries)
{
    char path[256];
    char timeout[24];
    const CallerOptions *options = caller->options;
    snprintf(path, sizeof(path), "/v1/services/%s%s",
             options->services[service], options->path);
    snprintf(timeout, sizeof(timeout), "%lld", (long long)options->timeout_ms);
    Transfer *transfer = create_transfer(
        caller, daemon, path, (long)(options->timeout_ms + ANSWER_MARGIN_MS));
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

static bool
percent(Caller *caller, int share)
{
    return (int)AqRandom_Below(&caller->random, 100) < share;
}

static void
send_request(Caller *caller)
{
    const CallerOptions *options = caller->options;
    Group *group = calloc(1, sizeof(*group));
    int service =
        (int)AqRandom_Below(&caller->random, (uint64_t)options->service_count);
    int daemon = choose_daemon(caller, -1);
    bool twice = options->daemon_count > 1 && percent(caller, options->repeat);
    group->idempotent = !percent(caller, options->non_idempotent);
    snprintf(group->id, sizeof(group->id), "%s-%s-%llu",
             group->idempotent ? "i" : "n", options->name,
             (unsigned long long)caller->sequence++);
    AqBuffer_Printf(&group->body, "body of %s ", group->id);
    while (group->body.size < options->body_bytes) {
        AqBuffer_AppendText(&group->body, "b");
    }
    group->copies = twice ? 2 : 1;
    caller->summary.sent += (uint64_t)group->copies;
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
    while (caller->next_at <= (double)now && now < caller->end) {
        send_request(caller);
        caller->next_at += AqRandom_Exponential(&caller->random,
                                                1000 / caller->options->rate);
    }
    if (now < caller->end) {
        AqTestLoop_StartTimer(caller->loop, &caller->send,
                              (AqTime)(caller->next_at - (double)now) + 1);
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
    AqTestLoop_StartTimer(caller->loop, &caller->check,
                          caller->options->check_ms);
}

/* ---- Results ----------------------------------------------------------- */

static void
classify_answer(Transfer *transfer, CallResult *result)
{
    char outcome[32] = "";
    char id[160] = "";
    char text[32];
    const AqTestHttpReply *reply = &transfer->reply;
    const Group *group = transfer->group;
    AqTestHttpReply_Header(reply, "Aq-Outcome", outcome, sizeof(outcome));
    AqTestHttpReply_Header(reply, "Aq-Request-Id", id, sizeof(id));
    result->retry_after =
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
        AqAnswerCheck check =
            AqAnswer_Check(AqBuffer_Text(&reply->body), reply->body.size,
                           group->id, group->body.bytes, group->body.size);
        result->kind = check == AQ_ANSWER_OWN       ? RESULT_COMPLETED
                       : check == AQ_ANSWER_FOREIGN ? RESULT_WRONG
                                                    : RESULT_CUT;
        result->detail = "body of the answer";
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
    result.ms = (double)us / 1000;
    if (code == CURLE_OK) {
        classify_answer(transfer, &result);
        return result;
    }
    result.detail = curl_easy_strerror(code);
    if (code == CURLE_OPERATION_TIMEDOUT) {
        result.kind = RESULT_NO_ANSWER;
    }
    else {
        result.kind =
            transfer->reply.headers.size > 0 ? RESULT_CUT : RESULT_CLOSED;
    }
    return result;
}

static void
finish_copy(Caller *caller, Group *group)
{
    if (--group->copies > 0) {
        return;
    }
    /* A repeat that was not run says nothing about the other copy. */
    if (group->ran == 0 && group->not_run > 0) {
        Summary_AddNotRun(&caller->summary, group->id);
    }
    destroy_group(group);
}

/* A refused connection carried nothing, so the request goes to another
 * daemon, as the balancer does. */
static void
finish_refused(Transfer *transfer)
{
    Caller *caller = transfer->caller;
    Group *group = transfer->group;
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
        transfer->group->ran += result.kind != RESULT_NOT_RUN;
        transfer->group->not_run += result.kind == RESULT_NOT_RUN;
        Summary_Add(&caller->summary, &result);
        finish_copy(caller, transfer->group);
    }
    destroy_transfer(transfer);
}

static void
perform(AqLoopSource *source)
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
        AqTestLoop_Now(caller->loop) >= caller->end) {
        AqTestLoop_Stop(caller->loop);
    }
}

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
    caller->source = (AqLoopSource){.fd = -1, .run = perform};
    AqList_Init(&caller->source.link);
    AqList_Init(&caller->transfers);
    AqRandom_Seed(&caller->random, options->seed);
    Summary_Init(&caller->summary, options);
    for (int i = 0; i < options->daemon_count; i++) {
        caller->ready[i] = true;
    }
    caller->next_at = (double)AqTestLoop_Now(loop);
    caller->end = AqTestLoop_Now(loop) + options->run_ms;
    AqLoopTimer_Init(&caller->send, send_due, caller);
    AqLoopTimer_Init(&caller->check, check_daemons, caller);
    AqTestLoop_AddSource(loop, &caller->source);
    AqTestLoop_SetWait(loop, wait_with_curl, caller);
    AqTestLoop_StartTimer(loop, &caller->send, 0);
    if (options->check_ms > 0) {
        AqTestLoop_StartTimer(loop, &caller->check, 0);
    }
    return caller;
}

void
Caller_Destroy(Caller *caller)
{
    AqLoopTimer_Stop(&caller->send);
    AqLoopTimer_Stop(&caller->check);
    AqList_ForEachSafe(at, after, &caller->transfers)
    {
        Transfer *transfer = AqList_Entry(at, Transfer, link);
        Group *group = transfer->group;
        destroy_transfer(transfer);
        if (group != NULL && --group->copies == 0) {
            destroy_group(group);
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
