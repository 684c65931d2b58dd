#include "callers.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_log.h"
#include "burn_sync.h"
#include "caller_request.h"
#include "claim_client.h"
#include "endpoints.h"

enum {
    IDLE_TIMEOUT_S = 30,
    MAX_RESPONSE_HEADERS = 72
};

struct Callers {
    Daemon *daemon;
    AqHttpServer *server;
    /* Request number -> CallerRequest, owned by the table. */
    GHashTable *by_number;
    /* Last number used in a request id that this daemon generated. */
    uint64_t last_generated_id;
};

/* ---- Responses ---------------------------------------------------------- */

typedef struct {
    int status;
    const char *reason;
    const char *remedy;
} ReasonText;

static const ReasonText reasons[] = {
    [AQ_REASON_NONE] = {500, "no reason given", "report this as a fault"},
    [AQ_REASON_QUEUE_FULL] = {429, "the queue of the service is full",
                              "send it again after Retry-After"},
    [AQ_REASON_DEADLINE] = {429, "the deadline cannot be met",
                            "send it again after Retry-After, or with a "
                            "longer Aq-Timeout-Ms"},
    [AQ_REASON_NO_ENDPOINT] = {503, "no endpoint can take it now",
                               "send it again after Retry-After"},
    [AQ_REASON_NO_SERVICE] = {503, "no pool serves this service",
                              "check the service's name, or ask the operator "
                              "to set up a pool for it"},
    [AQ_REASON_NOT_FRESH] = {503,
                             "this entry VM has lost contact with the others",
                             "send it again after Retry-After"},
    [AQ_REASON_CLAIM_STORE] = {503,
                               "the store that guards non-idempotent requests "
                               "cannot be reached",
                               "send it again after Retry-After"},
    [AQ_REASON_DUPLICATE] =
        {409,
         "a request with this id was taken before and may "
         "have run",
         "ask the service for its result; use a new id for "
         "a new request"},
    [AQ_REASON_CUT] = {502, "the endpoint's connection closed early",
                       "ask the service for its result; repeat it only if it "
                       "is idempotent"},
    [AQ_REASON_SILENT] = {504, "the endpoint did not answer in time",
                          "ask the service for its result; repeat it only if "
                          "it is idempotent"},
    [AQ_REASON_REFUSED] = {503, "every endpoint tried refused it",
                           "send it again after Retry-After"},
    [AQ_REASON_TOO_LARGE] = {502, "the endpoint's answer is too large",
                             "ask for a smaller part of the result"},
    [AQ_REASON_STOPPING] = {503, "this entry VM is stopping",
                            "send it again after Retry-After"},
};

/* Text for a request of which an earlier attempt may have run.  It replaces
 * the text for the last attempt's reason, because that text alone would mean
 * "not run". */
static const ReasonText ran_before = {
    502, "an attempt may have run and no further one was possible",
    "ask the service for its result; repeat it only if it is idempotent"};

static const ReasonText *
reason_text(const AqOutcome *outcome)
{
    if (outcome->kind == AQ_OUTCOME_UNKNOWN) {
        switch (outcome->reason) {
        case AQ_REASON_DUPLICATE:
        case AQ_REASON_CUT:
        case AQ_REASON_SILENT:
        case AQ_REASON_TOO_LARGE:
            break;
        case AQ_REASON_DEADLINE:
            return &reasons[AQ_REASON_SILENT];
        default:
            return &ran_before;
        }
    }
    return &reasons[outcome->reason];
}

static const char *
outcome_name(AqOutcomeKind kind)
{
    static const char *const names[] = {"completed", "not-run", "unknown"};
    return names[kind];
}

static void
respond_error(AqExchange *exchange, int status, const char *outcome,
              const char *reason, const char *remedy, const char *request_id,
              AqTime retry_after_ms)
{
    AqHttpHeader headers[5];
    char seconds[24];
    char ms[24];
    size_t n = 0;
    headers[n++] = (AqHttpHeader){"Content-Type", "application/json"};
    headers[n++] = (AqHttpHeader){"Aq-Outcome", outcome};
    if (request_id != NULL) {
        headers[n++] = (AqHttpHeader){"Aq-Request-Id", request_id};
    }
    if (strcmp(outcome, "not-run") == 0) {
        /* Retry-After has whole seconds.  The milliseconds are rounded up, so
         * that a caller that obeys the header does not retry too early. */
        snprintf(seconds, sizeof(seconds), "%lld",
                 (long long)((retry_after_ms + 999) / 1000));
        snprintf(ms, sizeof(ms), "%lld", (long long)retry_after_ms);
        headers[n++] = (AqHttpHeader){"Retry-After", seconds};
        headers[n++] = (AqHttpHeader){"Aq-Retry-After-Ms", ms};
    }
    json_t *root =
        json_pack("{s:s,s:s,s:s,s:s?}", "outcome", outcome, "reason", reason,
                  "remedy", remedy, "request_id", request_id);
    char *text = AqJson_Dump(root);
    AqExchange_Respond(exchange, status, headers, n, text, strlen(text));
    free(text);
    json_decref(root);
}

/* Splits a header line "Name: value" in place, so that "line" becomes the
 * name, and returns the value; NULL if the line has no colon. */
static char *
split_header(char *line)
{
    char *colon = strchr(line, ':');
    if (colon == NULL) {
        return NULL;
    }
    *colon = '\0';
    char *value = colon + 1;
    while (*value == ' ' || *value == '\t') {
        value++;
    }
    return value;
}

static void
respond_completed(CallerRequest *request)
{
    EndpointResponse *response = request->response;
    AqHttpHeader headers[MAX_RESPONSE_HEADERS];
    size_t n = 0;
    headers[n++] = (AqHttpHeader){"Aq-Outcome", "completed"};
    headers[n++] = (AqHttpHeader){"Aq-Request-Id", request->request_id};
    for (char **at = response->headers;
         *at != NULL && n < MAX_RESPONSE_HEADERS; at++) {
        char *value = split_header(*at);
        if (value != NULL) {
            headers[n++] = (AqHttpHeader){*at, value};
        }
    }
    AqExchange_Respond(request->exchange, response->status, headers, n,
                       response->body, response->size);
}

/* ---- Router operations -------------------------------------------------- */

static CallerRequest *
find_request(const Daemon *daemon, uint64_t number)
{
    return g_hash_table_lookup(daemon->callers->by_number, &number);
}

static void
start_attempt(void *context, const AqAttempt *attempt)
{
    Daemon *daemon = context;
    const CallerRequest *request = find_request(daemon, attempt->request);
    AttemptRequest order = {
        .method = AqExchange_Method(request->exchange),
        .path = request->path,
        .request_id = request->request_id,
        .headers = (const char *const *)request->headers,
        .deadline = request->started + request->timeout_ms,
    };
    order.body = AqExchange_Body(request->exchange, &order.size);
    Attempts_Start(daemon->attempts, attempt, &order);
}

static bool
cancel_attempt(void *context, uint64_t attempt)
{
    const Daemon *daemon = context;
    return Attempts_Cancel(daemon->attempts, attempt);
}

static void
close_idle(void *context, const char *endpoint)
{
    const Daemon *daemon = context;
    Endpoints_CloseIdle(daemon->endpoints, endpoint);
}

static void
claim(void *context, uint64_t number)
{
    const Daemon *daemon = context;
    const CallerRequest *request = find_request(daemon, number);
    ClaimClient_Claim(daemon->claims, number, request->service,
                      request->request_id);
}

static void
forget_claim(void *context, uint64_t number)
{
    const Daemon *daemon = context;
    ClaimClient_Forget(daemon->claims, number);
}

static void
release_claim(void *context, uint64_t number)
{
    const Daemon *daemon = context;
    ClaimClient_Release(daemon->claims, number);
}

static void
count_outcome(const Daemon *daemon, const CallerRequest *request,
              const AqOutcome *outcome, AqTime now)
{
    char labels[160];
    snprintf(labels, sizeof(labels), "service=\"%s\",outcome=\"%s\"",
             request->service, outcome_name(outcome->kind));
    AqMetric_Add(
        AqMetrics_Counter(daemon->metrics, "aq_requests_total", labels), 1);
    BurnSync_Count(daemon->burn, request->service, outcome,
                   now - request->started <= request->timeout_ms);
}

static void
finish(void *context, uint64_t number, uint64_t attempt,
       const AqOutcome *outcome)
{
    const Daemon *daemon = context;
    CallerRequest *request = find_request(daemon, number);
    count_outcome(daemon, request, outcome, AqLoop_Now(daemon->loop));
    ClaimClient_End(daemon->claims, number);
    if (outcome->kind == AQ_OUTCOME_COMPLETED && request->response != NULL &&
        request->response_attempt == attempt) {
        respond_completed(request);
    }
    else {
        const ReasonText *text = reason_text(outcome);
        AqLog_Event(AQ_LOG_INFO, "request_not_completed",
                    "service=%s request_id=%s outcome=%s reason=%s "
                    "retry_after_ms=%lld",
                    request->service, AqLog_Quote(request->request_id),
                    outcome_name(outcome->kind), AqLog_Quote(text->reason),
                    (long long)outcome->retry_after_ms);
        respond_error(request->exchange, text->status,
                      outcome_name(outcome->kind), text->reason, text->remedy,
                      request->request_id, outcome->retry_after_ms);
    }
    g_hash_table_remove(daemon->callers->by_number, &number);
}

const AqRouterOps Callers_RouterOps = {
    .start_attempt = start_attempt,
    .cancel_attempt = cancel_attempt,
    .close_idle = close_idle,
    .claim = claim,
    .forget_claim = forget_claim,
    .release_claim = release_claim,
    .finish = finish,
};

void
Callers_TakeResponse(Callers *callers, uint64_t number, uint64_t attempt,
                     EndpointResponse *response)
{
    CallerRequest *request = g_hash_table_lookup(callers->by_number, &number);
    if (request == NULL) {
        EndpointResponse_Destroy(response);
        return;
    }
    EndpointResponse_Destroy(request->response);
    request->response = response;
    request->response_attempt = attempt;
}

/* ---- Requests ----------------------------------------------------------- */

static void
respond_text(AqExchange *exchange, int status, const char *type,
             const char *text)
{
    AqHttpHeader header = {"Content-Type", type};
    AqExchange_Respond(exchange, status, &header, 1, text, strlen(text));
}

static void
respond_metrics(const Callers *callers, AqExchange *exchange)
{
    AqBuffer out;
    AqBuffer_Init(&out);
    AqMetrics_Write(callers->daemon->metrics, &out);
    respond_text(exchange, 200, "text/plain; version=0.0.4",
                 AqBuffer_Text(&out));
    AqBuffer_Clear(&out);
}

static void
forward(Callers *callers, AqExchange *exchange)
{
    Daemon *daemon = callers->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    AqError error;
    char fallback[96];
    snprintf(fallback, sizeof(fallback), "%s-%llx-%llu",
             daemon->settings->node_id, (unsigned long long)daemon->instance,
             (unsigned long long)++callers->last_generated_id);
    CallerRequest *request = CallerRequest_Create(
        exchange, now, daemon->settings->router_default_timeout_ms, fallback,
        &error);
    if (request == NULL) {
        respond_error(exchange, 400, "not-run", error.message,
                      "correct the request", NULL, 0);
        return;
    }
    AqRequestSpec spec = {
        .service = request->service,
        .idempotent = request->idempotent,
        .priority = request->priority,
        .deadline = now + request->timeout_ms,
    };
    request->number = AqRouter_Submit(daemon->router, now, &spec);
    g_hash_table_replace(callers->by_number, &request->number, request);
}

static void
on_request(void *context, AqExchange *exchange)
{
    Callers *callers = context;
    const char *path = AqExchange_Path(exchange);
    if (strncmp(path, CALLER_PATH_PREFIX, strlen(CALLER_PATH_PREFIX)) == 0) {
        forward(callers, exchange);
    }
    else if (strcmp(path, "/healthz") == 0) {
        respond_text(exchange, 200, "text/plain", "ok\n");
    }
    else if (strcmp(path, "/readyz") == 0) {
        bool ready = Daemon_IsReady(callers->daemon);
        respond_text(exchange, ready ? 200 : 503, "text/plain",
                     ready ? "ready\n" : "not ready\n");
    }
    else if (strcmp(path, "/metrics") == 0) {
        respond_metrics(callers, exchange);
    }
    else {
        respond_error(exchange, 404, "not-run", "there is no such path",
                      "use /v1/services/SERVICE/PATH, /healthz, /readyz or "
                      "/metrics",
                      NULL, 0);
    }
}

static void
free_request(gpointer data)
{
    CallerRequest_Destroy(data);
}

Callers *
Callers_Create(Daemon *daemon, AqError *error)
{
    const AqSettings *settings = daemon->settings;
    Callers *callers = calloc(1, sizeof(*callers));
    AqHttpServerConfig config = {
        .address = settings->callers_address,
        .port = (uint16_t)settings->callers_port,
        .max_body = (size_t)settings->router_max_request_bytes,
        .max_connections = (unsigned)settings->callers_connections,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .error_header_name = "Aq-Outcome",
        .error_header_value = "not-run",
    };
    callers->daemon = daemon;
    callers->by_number =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    callers->server =
        AqHttpServer_Create(daemon->loop, &config, on_request, callers, error);
    if (callers->server == NULL) {
        Callers_Destroy(callers);
        return NULL;
    }
    return callers;
}

void
Callers_Destroy(Callers *callers)
{
    if (callers == NULL) {
        return;
    }
    AqHttpServer_Destroy(callers->server);
    g_hash_table_destroy(callers->by_number);
    free(callers);
}

uint16_t
Callers_Port(const Callers *callers)
{
    return AqHttpServer_Port(callers->server);
}

size_t
Callers_Pending(const Callers *callers)
{
    return AqHttpServer_Pending(callers->server);
}

void
Callers_CloseAfterResponse(Callers *callers)
{
    AqHttpServer_CloseAfterResponse(callers->server);
}

void
Callers_StopListening(Callers *callers)
{
    AqHttpServer_StopListening(callers->server);
}
