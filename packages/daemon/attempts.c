#include "attempts.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "aq_log.h"
#include "callers.h"
#include "endpoints.h"

enum {
    CONNECT_TIMEOUT_MS = 1000,
    MAX_SENT_HEADERS = 80,
    /* Time in ms from the deadline of a request until libcurl's timeout ends
     * an attempt of the request.  The router ends the request at the deadline;
     * libcurl's timeout applies only if the router fails to do so. */
    TIMEOUT_MARGIN_MS = 2000
};

typedef struct {
    uint64_t id;
    uint64_t request; /* number that the router assigned to the request */
    char *endpoint;
    char name[96];    /* value of the header Aq-Attempt-Id */
    AqHttpCall *call; /* HTTP call in progress; NULL after its reply */
    Attempts *owner;
} Attempt;

struct Attempts {
    Daemon *daemon;
    GHashTable *by_id; /* attempt id -> Attempt, owned by the table */
};

void
EndpointResponse_Destroy(EndpointResponse *response)
{
    if (response == NULL) {
        return;
    }
    g_strfreev(response->headers);
    free(response->body);
    free(response);
}

bool
Attempts_IsOwnHeader(const char *line)
{
    static const char *const names[] = {
        "Connection:",          "Keep-Alive:", "Proxy-Authenticate:",
        "Proxy-Connection:",    "TE:",         "Trailer:",
        "Transfer-Encoding:",   "Upgrade:",    "Host:",
        "Content-Length:",      "Expect:",     "Aq-",
        "Proxy-Authorization:", "Date:",
    };
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strncasecmp(line, names[i], strlen(names[i])) == 0) {
            return true;
        }
    }
    return false;
}

/* ---- Responses ---------------------------------------------------------- */

static EndpointResponse *
copy_response(const AqHttpReply *reply)
{
    EndpointResponse *response = calloc(1, sizeof(*response));
    GPtrArray *headers = g_ptr_array_new();
    for (const char *const *at = reply->headers; *at != NULL; at++) {
        if (!Attempts_IsOwnHeader(*at)) {
            g_ptr_array_add(headers, g_strdup(*at));
        }
    }
    g_ptr_array_add(headers, NULL);
    response->headers = (char **)g_ptr_array_free(headers, FALSE);
    response->status = reply->status;
    response->size = reply->size;
    response->body = malloc(reply->size + 1);
    memcpy(response->body, reply->body, reply->size);
    return response;
}

static bool
is_header_set(const AqHttpReply *reply, const char *name)
{
    const char *value = AqHttpReply_Header(reply, name);
    return value != NULL && strcmp(value, "1") == 0;
}

static AqAttemptResult
classify_response(Attempt *attempt, const AqHttpReply *reply)
{
    const char *echo = AqHttpReply_Header(reply, "Aq-Attempt-Id");
    if (echo != NULL && strcmp(echo, attempt->name) != 0) {
        AqLog_Event(AQ_LOG_WARNING, "answer_crossed",
                    "endpoint=%s expected=%s got=%s", attempt->endpoint,
                    attempt->name, AqLog_Quote(echo));
        Endpoints_CloseIdle(attempt->owner->daemon->endpoints,
                            attempt->endpoint);
        return AQ_ATTEMPT_CUT;
    }
    if (is_header_set(reply, "Aq-Leaving")) {
        Endpoints_OnLeaving(attempt->owner->daemon->endpoints,
                            attempt->endpoint, true);
    }
    if (reply->status == 503 && is_header_set(reply, "Aq-Not-Run")) {
        return AQ_ATTEMPT_REFUSED;
    }
    return reply->status >= 500 ? AQ_ATTEMPT_FAILED : AQ_ATTEMPT_ANSWERED;
}

static AqAttemptResult
classify(Attempt *attempt, const AqHttpReply *reply)
{
    switch (reply->result) {
    case AQ_HTTP_DONE:
        return classify_response(attempt, reply);
    case AQ_HTTP_NOT_SENT:
        return AQ_ATTEMPT_NOT_SENT;
    case AQ_HTTP_TOO_LARGE:
        return AQ_ATTEMPT_TOO_LARGE;
    default:
        return AQ_ATTEMPT_CUT;
    }
}

static void
on_reply(void *context, const AqHttpReply *reply)
{
    Attempt *attempt = context;
    Daemon *daemon = attempt->owner->daemon;
    uint64_t id = attempt->id;
    AqAttemptResult result = classify(attempt, reply);
    attempt->call = NULL;
    if (result == AQ_ATTEMPT_ANSWERED || result == AQ_ATTEMPT_FAILED) {
        Callers_TakeResponse(daemon->callers, attempt->request, id,
                             copy_response(reply));
    }
    else if (result != AQ_ATTEMPT_REFUSED) {
        AqLog_Event(AQ_LOG_INFO, "attempt_failed",
                    "endpoint=%s attempt=%s error=%s", attempt->endpoint,
                    attempt->name, AqLog_Quote(reply->message));
    }
    g_hash_table_remove(attempt->owner->by_id, &id);
    AqRouter_AttemptDone(daemon->router, AqLoop_Now(daemon->loop), id, result);
}

/* ---- Starting and cancelling -------------------------------------------- */

static void
free_attempt(gpointer data)
{
    Attempt *attempt = data;
    if (attempt->call != NULL) {
        AqHttpClient_Cancel(attempt->call);
    }
    free(attempt->endpoint);
    free(attempt);
}

static void
send_attempt(Attempt *attempt, const AqAttempt *order,
             const AttemptRequest *request, const char *address)
{
    Daemon *daemon = attempt->owner->daemon;
    const char *headers[MAX_SENT_HEADERS + 5];
    char own[4][256];
    size_t n = 0;
    AqTime left = request->deadline - AqLoop_Now(daemon->loop);
    snprintf(own[0], sizeof(own[0]), "Aq-Request-Id: %s", request->request_id);
    snprintf(own[1], sizeof(own[1]), "Aq-Attempt-Id: %s", attempt->name);
    snprintf(own[2], sizeof(own[2]), "Aq-Timeout-Ms: %lld", (long long)left);
    snprintf(own[3], sizeof(own[3]), "Host: %s", address);
    for (int i = 0; i < 4; i++) {
        headers[n++] = own[i];
    }
    for (const char *const *at = request->headers;
         *at != NULL && n < MAX_SENT_HEADERS + 4; at++) {
        headers[n++] = *at;
    }
    headers[n] = NULL;

    /* libcurl reuses idle connections by host name.  The host name contains
     * the generation of the endpoint, a number that changes when idle
     * connections to the endpoint must not be used again. */
    char *url = g_strdup_printf("http://g%llu.endpoint.invalid%s",
                                (unsigned long long)Endpoints_Generation(
                                    daemon->endpoints, attempt->endpoint),
                                request->path);
    AqHttpRequest call = {
        .method = request->method,
        .url = url,
        .connect_to = address,
        .headers = headers,
        .body = request->body,
        .size = request->size,
        .has_body = request->size > 0 ||
                    strcmp(request->method, "POST") == 0 ||
                    strcmp(request->method, "PUT") == 0 ||
                    strcmp(request->method, "PATCH") == 0,
        .fresh_connection = order->fresh_connection,
        .timeout_ms = (left > 0 ? left : 0) + TIMEOUT_MARGIN_MS,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        .max_response_bytes =
            (size_t)daemon->settings->router_max_answer_bytes,
    };
    attempt->call = AqHttpClient_Start(daemon->http, &call, on_reply, attempt);
    g_free(url);
}

void
Attempts_Start(Attempts *attempts, const AqAttempt *order,
               const AttemptRequest *request)
{
    Daemon *daemon = attempts->daemon;
    Attempt *attempt = calloc(1, sizeof(*attempt));
    const char *address =
        Endpoints_Address(daemon->endpoints, order->endpoint);
    attempt->owner = attempts;
    attempt->id = order->attempt;
    attempt->request = order->request;
    attempt->endpoint = strdup(order->endpoint);
    snprintf(attempt->name, sizeof(attempt->name), "%s-%llx-%llu",
             daemon->settings->node_id, (unsigned long long)daemon->instance,
             (unsigned long long)order->attempt);
    g_hash_table_replace(attempts->by_id, &attempt->id, attempt);
    /* An endpoint without an address is replaced by port 9 (discard) on
     * loopback, which refuses connections: the attempt ends as not sent. */
    send_attempt(attempt, order, request,
                 address != NULL ? address : "127.0.0.1:9");
}

bool
Attempts_Cancel(Attempts *attempts, uint64_t id)
{
    Attempt *attempt = g_hash_table_lookup(attempts->by_id, &id);
    if (attempt == NULL) {
        return true;
    }
    bool not_sent = true;
    if (attempt->call != NULL) {
        not_sent = AqHttpClient_Cancel(attempt->call);
        attempt->call = NULL;
    }
    g_hash_table_remove(attempts->by_id, &id);
    return not_sent;
}

Attempts *
Attempts_Create(Daemon *daemon)
{
    Attempts *attempts = calloc(1, sizeof(*attempts));
    attempts->daemon = daemon;
    attempts->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
    return attempts;
}

void
Attempts_Destroy(Attempts *attempts)
{
    if (attempts == NULL) {
        return;
    }
    g_hash_table_destroy(attempts->by_id);
    free(attempts);
}
