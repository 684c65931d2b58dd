#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "endpoint.h"

#define MAX_ENDPOINTS 128
/* Value in place of an endpoint number that selects all endpoints of the
 * aq-endpoint process. */
#define ALL_ENDPOINTS (-1)

/* State of an aq-endpoint process. */
typedef struct {
    EndpointCommon common;
    AqTestServer *control; /* HTTP server of the test interface; owned */
    Endpoint *endpoints[MAX_ENDPOINTS];
    int count;
    /* Port of the first endpoint; the other endpoints use the ports after the
     * first.  0 selects free ports. */
    int first_port;
    int64_t seed; /* seed of the random service times of requests */
} EndpointProcess;

/* ---- Test interface ---------------------------------------------------- */

static void
reply_runs(EndpointProcess *process, AqTestRequest *request)
{
    json_t *result = RunRecord_Describe(
        &process->common.runs, AqTestRequest_Query(request, "ids") != NULL);
    json_t *endpoints = json_array();
    for (int i = 0; i < process->count; i++) {
        json_array_append_new(endpoints,
                              Endpoint_Describe(process->endpoints[i]));
    }
    json_object_set_new(result, "endpoints", endpoints);
    AqTestRequest_ReplyJson(request, 200, result);
}

static bool
set_faults(Endpoint *endpoint, const json_t *body, AqError *error)
{
    static const char *const allowed[] = {
        "endpoint",      "close",   "close_count",  "fail_all", "fail_health",
        "slow_permille", "crossed", "silence_open", NULL};
    return AqJson_CheckFields(body, allowed, error) &&
           Endpoint_SetFaults(endpoint, body, error);
}

static bool
set_leaving(Endpoint *endpoint, const json_t *body, AqError *error)
{
    static const char *const allowed[] = {"endpoint", "leaving", "announce",
                                          NULL};
    bool leaving;
    bool announce;
    if (!AqJson_CheckFields(body, allowed, error) ||
        !AqJson_OptBool(body, "leaving", true, &leaving, error) ||
        !AqJson_OptBool(body, "announce", true, &announce, error)) {
        return false;
    }
    Endpoint_SetLeaving(endpoint, leaving, announce);
    return true;
}

/* Applies a change to the endpoint whose number is the field "endpoint" of
 * body, or to all endpoints without that field.  Returns false with an error
 * when the change is invalid. */
static bool
apply_change(EndpointProcess *process, const json_t *body,
             bool (*change)(Endpoint *endpoint, const json_t *body,
                            AqError *error),
             AqError *error)
{
    int64_t number;
    if (!AqJson_OptInt(body, "endpoint", 0, process->count - 1, ALL_ENDPOINTS,
                       &number, error)) {
        return false;
    }
    for (int i = 0; i < process->count; i++) {
        if ((number == ALL_ENDPOINTS || number == i) &&
            !change(process->endpoints[i], body, error)) {
            return false;
        }
    }
    return true;
}

static void
on_control(void *context, AqTestRequest *request)
{
    EndpointProcess *process = context;
    const AqBuffer *text = AqTestRequest_Body(request);
    const char *path = AqTestRequest_Path(request);
    bool post = strcmp(AqTestRequest_Method(request), "POST") == 0;
    bool faults = strcmp(path, "/test/v1/faults") == 0;
    AqError error;
    if (!post && strcmp(path, "/test/v1/runs") == 0) {
        reply_runs(process, request);
        return;
    }
    if (!post || (!faults && strcmp(path, "/test/v1/leave") != 0)) {
        AqTestRequest_Reply(request, 404, "", 0);
        return;
    }
    json_t *body = AqJson_Parse(AqBuffer_Text(text), text->size, &error);
    if (body == NULL ||
        !apply_change(process, body, faults ? set_faults : set_leaving,
                      &error)) {
        AqTestRequest_ReplyError(request, &error);
    }
    else {
        AqTestRequest_ReplyJson(request, 200, json_object());
    }
    json_decref(body);
}

static const AqTestServerOps control_ops = {.request = on_control};

/* ---- Start ------------------------------------------------------------- */

static const struct argp_option option_table[] = {
    {"port", 'p', "PORT", 0, "port of the first endpoint (0: any)", 0},
    {"count", 'c', "N", 0, "number of endpoints (default 1)", 0},
    {"slots", 's', "N", 0, "slots of each endpoint (default 8)", 0},
    {"service-ms", 'm', "MS", 0, "mean service time (default 20)", 0},
    {"distribution", 'd', "KIND", 0, "fixed (default), uniform or exponential",
     0},
    {"answer-bytes", 'a', "N", 0, "minimum size of a response (default 256)",
     0},
    {"seed", 'S', "N", 0, "seed of the random service times (default 1)", 0},
    {0}};

static bool
parse_distribution(const char *text, Distribution *distribution)
{
    static const char *const names[] = {"fixed", "uniform", "exponential"};
    for (int i = 0; i < 3; i++) {
        if (strcmp(text, names[i]) == 0) {
            *distribution = (Distribution)i;
            return true;
        }
    }
    return false;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    EndpointProcess *process = state->input;
    if (arg == NULL) {
        /* This option key is one of those that argp itself defines. */
        return ARGP_ERR_UNKNOWN;
    }
    int64_t number = strtoll(arg, NULL, 10);
    switch (key) {
    case 'p':
        process->first_port = (int)number;
        return 0;
    case 'c':
        if (number < 1 || number > MAX_ENDPOINTS) {
            argp_error(state, "--count must be 1..%d", MAX_ENDPOINTS);
        }
        process->count = (int)number;
        return 0;
    case 's':
        process->common.slots = (int)number;
        return 0;
    case 'm':
        process->common.service_ms = (double)number;
        return 0;
    case 'a':
        process->common.response_bytes = (size_t)number;
        return 0;
    case 'S':
        process->seed = number;
        return 0;
    case 'd':
        if (!parse_distribution(arg, &process->common.distribution)) {
            argp_error(state, "unknown distribution \"%s\"", arg);
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
open_process(EndpointProcess *process, AqError *error)
{
    process->common.loop = AqTestLoop_Create();
    RunRecord_Init(&process->common.runs);
    AqRandom_Seed(&process->common.random, (uint64_t)process->seed);
    for (int i = 0; i < process->count; i++) {
        int port = process->first_port > 0 ? process->first_port + i : 0;
        process->endpoints[i] = Endpoint_Create(&process->common, port, error);
        if (process->endpoints[i] == NULL) {
            return false;
        }
    }
    process->control = AqTestServer_Create(process->common.loop, 0,
                                           &control_ops, process, error);
    return process->control != NULL;
}

static void
close_process(EndpointProcess *process)
{
    for (int i = 0; i < process->count; i++) {
        Endpoint_Destroy(process->endpoints[i]);
    }
    AqTestServer_Destroy(process->control);
    RunRecord_Clear(&process->common.runs);
    AqTestLoop_Destroy(process->common.loop);
}

static void
print_ready(const EndpointProcess *process)
{
    printf("ready control=127.0.0.1:%d", AqTestServer_Port(process->control));
    for (int i = 0; i < process->count; i++) {
        printf(" endpoint%d=127.0.0.1:%d", i,
               Endpoint_Port(process->endpoints[i]));
    }
    printf("\n");
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        option_table, parse_option,
        NULL,         "Stand-in for endpoints (back ends).",
        NULL,         NULL,
        NULL};
    EndpointProcess process = {
        .common = {.slots = 8, .service_ms = 20, .response_bytes = 256},
        .count = 1,
        .seed = 1};
    AqError error;
    argp_parse(&argp, argc, argv, 0, NULL, &process);
    bool ok = open_process(&process, &error);
    if (ok) {
        print_ready(&process);
        AqTestLoop_Run(process.common.loop);
    }
    else {
        fprintf(stderr, "aq-endpoint: %s\n", error.message);
    }
    close_process(&process);
    return ok ? 0 : 1;
}
