#include "endpoint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_test_response.h"

/* Limit on the service time of a request; a longer service time is shortened
 * to this limit. */
#define MAX_SERVICE_MS 600000

struct Endpoint {
    EndpointCommon *common;
    AqTestServer *server;
    EndpointFaults faults;
    /* List of the requests that occupy a slot of the endpoint, as
     * SlotRequest. */
    AqLink slot_requests;
    int slots_in_use;
    /* Highest number of slots of the endpoint that were in use at the same
     * time so far. */
    int max_slots;
    /* Highest number of connections to the endpoint that were open at the same
     * time so far. */
    unsigned max_connections;
    uint64_t runs; /* number of requests that the endpoint has run */
    /* Number of requests that the endpoint has rejected for lack of a free
     * slot. */
    uint64_t not_run;
    bool leaving;
    /* While the endpoint leaves, its responses announce this with the header
     * Aq-Leaving. */
    bool announce;
    /* Monotonic time of the last call of Endpoint_SetLeaving. */
    AqTime leaving_since;
    /* Requests that the endpoint has received while leaving, as [{id,
     * delay_ms}]; delay_ms is the time from leaving_since to the request.
     * Owned. */
    json_t *after_leave;
};

/* Request that occupies a slot until its service time has passed. */
typedef struct {
    AqLink link;
    Endpoint *endpoint;
    /* Request that occupies the slot, owned by the endpoint's server; NULL
     * after the server dropped the request. */
    AqTestRequest *request;
    /* Fires at the end of the request's service time. */
    AqLoopTimer timer;
} SlotRequest;

/* Names of the values of CloseMode, in their order, in JSON bodies of the test
 * interface of aq-endpoint. */
static const char *const close_names[] = {"none", "before-reading", "in-body",
                                          "before-answer", "inside-answer"};

static const char *
request_id_of(const AqTestRequest *request)
{
    const char *id = AqTestRequest_Header(request, "Aq-Request-Id");
    return id != NULL ? id : "";
}

static bool
is_health(const AqTestRequest *request)
{
    return strcmp(AqTestRequest_Path(request), "/health") == 0 &&
           strcmp(AqTestRequest_Method(request), "GET") == 0;
}

/* Returns whether the endpoint must close the connection of the current
 * request at the moment that mode names.  If so, the request counts as one of
 * the close_count requests that the fault "close" affects. */
static bool
consume_close(Endpoint *endpoint, CloseMode mode)
{
    EndpointFaults *faults = &endpoint->faults;
    if (faults->close != mode || faults->close_count == 0) {
        return false;
    }
    if (faults->close_count > 0) {
        faults->close_count--;
    }
    return true;
}

static bool
has_body(const AqTestRequest *request)
{
    const char *size = AqTestRequest_Header(request, "Content-Length");
    return (size != NULL && strtoll(size, NULL, 10) > 0) ||
           AqTestRequest_Header(request, "Transfer-Encoding") != NULL;
}

static bool
on_headers(void *context, AqTestRequest *request)
{
    Endpoint *endpoint = context;
    if (is_health(request)) {
        return true;
    }
    if (has_body(request) && consume_close(endpoint, CLOSE_IN_BODY)) {
        AqTestRequest_CloseInBody(request);
    }
    return !consume_close(endpoint, CLOSE_BEFORE_READING);
}

/* Adds the headers that every response of an endpoint carries. */
static void
add_headers(Endpoint *endpoint, AqTestRequest *request)
{
    const char *attempt = AqTestRequest_Header(request, "Aq-Attempt-Id");
    if (attempt != NULL) {
        AqTestRequest_AddHeader(request, "Aq-Attempt-Id", attempt);
    }
    if (endpoint->leaving && endpoint->announce) {
        AqTestRequest_AddHeader(request, "Aq-Leaving", "1");
    }
}

static void
reply_not_run(Endpoint *endpoint, AqTestRequest *request)
{
    static const char text[] = "no free slot\n";
    endpoint->not_run++;
    add_headers(endpoint, request);
    AqTestRequest_AddHeader(request, "Aq-Not-Run", "1");
    AqTestRequest_Reply(request, 503, text, strlen(text));
}

/* Responds to a request that was run, in the way that the injected faults
 * require. */
static void
reply_after_run(Endpoint *endpoint, AqTestRequest *request, unsigned status)
{
    const AqBuffer *body = AqTestRequest_Body(request);
    const char *id = request_id_of(request);
    AqBuffer response;
    add_headers(endpoint, request);
    if (endpoint->faults.crossed > 0) {
        endpoint->faults.crossed--;
        id = "another-request";
        AqTestRequest_AddHeader(request, "Aq-Attempt-Id", "another-attempt");
    }
    AqBuffer_Init(&response);
    AqTestResponse_Build(&response, id, body->bytes, body->size,
                         endpoint->common->response_bytes);
    if (consume_close(endpoint, CLOSE_BEFORE_RESPONSE)) {
        AqTestRequest_Close(request);
    }
    else if (consume_close(endpoint, CLOSE_INSIDE_RESPONSE)) {
        AqTestRequest_ReplyCut(request, status, response.bytes, response.size);
    }
    else {
        AqTestRequest_Reply(request, status, response.bytes, response.size);
    }
    AqBuffer_Clear(&response);
}

static void
finish_slot_request(void *context)
{
    SlotRequest *slot_request = context;
    Endpoint *endpoint = slot_request->endpoint;
    AqTestRequest *request = slot_request->request;
    endpoint->slots_in_use--;
    AqList_Remove(&slot_request->link);
    free(slot_request);
    if (request != NULL) {
        AqTestRequest_SetUser(request, NULL);
        reply_after_run(endpoint, request, 200);
    }
}

/* Returns the service time of a request in ms: the query parameter service_ms
 * or a random time, multiplied by the factor slow_permille. */
static int64_t
draw_service_ms(Endpoint *endpoint, const AqTestRequest *request)
{
    EndpointCommon *common = endpoint->common;
    const char *given = AqTestRequest_Query(request, "service_ms");
    double ms = common->service_ms;
    if (given != NULL) {
        ms = strtod(given, NULL);
    }
    else if (common->distribution == DISTRIBUTION_UNIFORM) {
        ms = 2 * ms * AqRandom_Unit(&common->random);
    }
    else if (common->distribution == DISTRIBUTION_EXPONENTIAL) {
        ms = AqRandom_Exponential(&common->random, ms);
    }
    ms = ms * (double)endpoint->faults.slow_permille / 1000;
    return ms < MAX_SERVICE_MS ? (int64_t)(ms + 0.5) : MAX_SERVICE_MS;
}

static void
start_slot_request(Endpoint *endpoint, AqTestRequest *request)
{
    SlotRequest *slot_request = calloc(1, sizeof(*slot_request));
    slot_request->endpoint = endpoint;
    slot_request->request = request;
    AqTestRequest_SetUser(request, slot_request);
    AqList_Append(&endpoint->slot_requests, &slot_request->link);
    AqLoopTimer_Init(&slot_request->timer, finish_slot_request, slot_request);
    endpoint->slots_in_use++;
    if (endpoint->slots_in_use > endpoint->max_slots) {
        endpoint->max_slots = endpoint->slots_in_use;
    }
    AqTestLoop_StartTimer(endpoint->common->loop, &slot_request->timer,
                          draw_service_ms(endpoint, request));
}

static void
record_after_leave(Endpoint *endpoint, const AqTestRequest *request)
{
    AqTime delay =
        AqTestLoop_Now(endpoint->common->loop) - endpoint->leaving_since;
    json_array_append_new(endpoint->after_leave,
                          json_pack("{s:s s:I}", "id", request_id_of(request),
                                    "delay_ms", (json_int_t)delay));
}

static void
on_request(void *context, AqTestRequest *request)
{
    Endpoint *endpoint = context;
    if (is_health(request)) {
        add_headers(endpoint, request);
        AqTestRequest_Reply(request, endpoint->faults.fail_health ? 500 : 200,
                            "ok\n", 3);
        return;
    }
    if (endpoint->leaving) {
        record_after_leave(endpoint, request);
    }
    if (endpoint->slots_in_use >= endpoint->common->slots) {
        reply_not_run(endpoint, request);
        return;
    }
    endpoint->runs++;
    RunRecord_Add(&endpoint->common->runs, request_id_of(request));
    if (endpoint->faults.fail_all) {
        reply_after_run(endpoint, request, 500);
        return;
    }
    start_slot_request(endpoint, request);
}

static void
on_connected(void *context)
{
    Endpoint *endpoint = context;
    unsigned count = AqTestServer_CountConnections(endpoint->server);
    if (count > endpoint->max_connections) {
        endpoint->max_connections = count;
    }
}

static void
on_dropped(void *context, AqTestRequest *request)
{
    SlotRequest *slot_request = AqTestRequest_User(request);
    (void)context;
    if (slot_request != NULL) {
        slot_request->request = NULL;
    }
}

static const AqTestServerOps server_ops = {.request = on_request,
                                           .headers = on_headers,
                                           .connected = on_connected,
                                           .dropped = on_dropped};

Endpoint *
Endpoint_Create(EndpointCommon *common, int port, AqError *error)
{
    Endpoint *endpoint = calloc(1, sizeof(*endpoint));
    endpoint->common = common;
    endpoint->faults.slow_permille = 1000;
    endpoint->after_leave = json_array();
    AqList_Init(&endpoint->slot_requests);
    endpoint->server =
        AqTestServer_Create(common->loop, port, &server_ops, endpoint, error);
    if (endpoint->server == NULL) {
        Endpoint_Destroy(endpoint);
        return NULL;
    }
    return endpoint;
}

void
Endpoint_Destroy(Endpoint *endpoint)
{
    AqLink *at;
    if (endpoint == NULL) {
        return;
    }
    AqTestServer_Destroy(endpoint->server);
    while ((at = AqList_PopFirst(&endpoint->slot_requests)) != NULL) {
        SlotRequest *slot_request = AqList_Entry(at, SlotRequest, link);
        AqLoopTimer_Stop(&slot_request->timer);
        free(slot_request);
    }
    json_decref(endpoint->after_leave);
    free(endpoint);
}

int
Endpoint_Port(const Endpoint *endpoint)
{
    return AqTestServer_Port(endpoint->server);
}

void
Endpoint_SetLeaving(Endpoint *endpoint, bool leaving, bool announce)
{
    endpoint->leaving = leaving;
    endpoint->announce = announce;
    endpoint->leaving_since = AqTestLoop_Now(endpoint->common->loop);
    json_array_clear(endpoint->after_leave);
}

static bool
parse_close(const json_t *body, CloseMode *mode, AqError *error)
{
    const char *text;
    if (!AqJson_OptString(body, "close", close_names[*mode], &text, error)) {
        return false;
    }
    for (int i = 0; i <= CLOSE_INSIDE_RESPONSE; i++) {
        if (strcmp(text, close_names[i]) == 0) {
            *mode = (CloseMode)i;
            return true;
        }
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "close is \"%s\"; use none, before-reading, in-body, "
                       "before-answer or inside-answer",
                       text);
}

bool
Endpoint_SetFaults(Endpoint *endpoint, const json_t *body, AqError *error)
{
    EndpointFaults faults = endpoint->faults;
    bool silence;
    int64_t count =
        json_object_get(body, "close") != NULL ? -1 : faults.close_count;
    if (!parse_close(body, &faults.close, error) ||
        !AqJson_OptInt(body, "close_count", -1, 1000000, count,
                       &faults.close_count, error) ||
        !AqJson_OptBool(body, "fail_all", faults.fail_all, &faults.fail_all,
                        error) ||
        !AqJson_OptBool(body, "fail_health", faults.fail_health,
                        &faults.fail_health, error) ||
        !AqJson_OptInt(body, "slow_permille", 0, 1000000, faults.slow_permille,
                       &faults.slow_permille, error) ||
        !AqJson_OptInt(body, "crossed", 0, 1000000, faults.crossed,
                       &faults.crossed, error) ||
        !AqJson_OptBool(body, "silence_open", false, &silence, error)) {
        return false;
    }
    endpoint->faults = faults;
    if (silence) {
        AqTestServer_SilenceOpen(endpoint->server);
    }
    return true;
}

json_t *
Endpoint_Describe(const Endpoint *endpoint)
{
    return json_pack(
        "{s:i s:I s:I s:i s:i s:i s:i s:b s:O}", "port",
        Endpoint_Port(endpoint), "runs", (json_int_t)endpoint->runs, "not_run",
        (json_int_t)endpoint->not_run, "slots_in_use", endpoint->slots_in_use,
        "max_slots", endpoint->max_slots, "max_connections",
        (int)endpoint->max_connections, "connections",
        (int)AqTestServer_CountConnections(endpoint->server), "leaving",
        endpoint->leaving, "after_leave", endpoint->after_leave);
}
