#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "platform.h"

/* Names of the values of CallKind in the test interface. */
static const char *const call_names[CALL_KIND_COUNT] = {
    "kv_get", "kv_list",     "kv_watch", "kv_put",   "kv_delete",
    "vms",    "vms_watch",   "reboot",   "task_put", "task_action",
    "tasks",  "tasks_watch", "other"};

/* ---- The platform's own port ------------------------------------------ */

/* HTTP call of the VM or task interface, and the function that handles the
 * call. */
typedef struct {
    const char *method;
    const char *prefix; /* start of the request path */
    /* End of the request path, after the id of a VM or task; NULL when prefix
     * is the whole path. */
    const char *suffix;
    CallKind kind; /* kind under which the platform counts the call */
    /* Kind under which the platform counts the call when the call is a watch
     * (blocking query). */
    CallKind watch_kind;
    void (*handle)(Platform *platform, AqTestRequest *request);
} Route;

static const Route routes[] = {
    {"GET", "/v1/vms", NULL, CALL_VMS, CALL_VMS_WATCH, Vms_List},
    {"PUT", "/v1/vms/", "/reboot", CALL_REBOOT, CALL_REBOOT, Vms_Reboot},
    {"GET", "/v1/tasks", NULL, CALL_TASKS, CALL_TASKS_WATCH, Tasks_List},
    {"PUT", "/v1/tasks/", "", CALL_TASK_PUT, CALL_TASK_PUT, Tasks_Put},
    {"POST", "/v1/tasks/", "", CALL_TASK_ACTION, CALL_TASK_ACTION, Tasks_Act},
};

/* Returns whether a request has the method and path of a route.  A route with
 * a NULL suffix matches only a path that equals its prefix. */
static bool
matches(const Route *route, const AqTestRequest *request)
{
    const char *path = AqTestRequest_Path(request);
    size_t prefix = strlen(route->prefix);
    if (strcmp(AqTestRequest_Method(request), route->method) != 0) {
        return false;
    }
    if (route->suffix == NULL) {
        return strcmp(path, route->prefix) == 0;
    }
    size_t size = strlen(path);
    size_t suffix = strlen(route->suffix);
    return strncmp(path, route->prefix, prefix) == 0 &&
           size > prefix + suffix &&
           strcmp(path + size - suffix, route->suffix) == 0;
}

static void
handle_store(Platform *platform, AqTestRequest *request)
{
    platform->calls[Store_Kind(request)]++;
    if (platform->faults.down == STORE_503) {
        platform->rejected++;
        AqTestRequest_Reply(request, 503, "", 0);
    }
    else if (platform->faults.slow_ms > 0) {
        Platform_Delay(platform, request, platform->faults.slow_ms, true,
                       Store_Handle);
    }
    else {
        Store_Handle(platform, request);
    }
}

static void
on_request(void *context, AqTestRequest *request)
{
    Platform *platform = context;
    if (strncmp(AqTestRequest_Path(request), "/v1/kv/", 7) == 0) {
        handle_store(platform, request);
        return;
    }
    for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
        if (matches(&routes[i], request)) {
            platform->calls[Platform_IsWatch(request) ? routes[i].watch_kind
                                                      : routes[i].kind]++;
            routes[i].handle(platform, request);
            return;
        }
    }
    platform->calls[CALL_OTHER]++;
    AqTestRequest_Reply(request, 404, "", 0);
}

static void
on_dropped(void *context, AqTestRequest *request)
{
    PendingRequest *pending = AqTestRequest_User(request);
    (void)context;
    if (pending != NULL) {
        AqLoopTimer_Stop(&pending->timer);
        AqList_Remove(&pending->link);
        free(pending);
    }
}

static const AqTestServerOps platform_ops = {.request = on_request,
                                             .dropped = on_dropped};

/* ---- Test interface ---------------------------------------------------- */

static bool
parse_down(const json_t *body, StoreOutage *down, AqError *error)
{
    static const char *const names[] = {"none", "refused", "503"};
    const char *text;
    if (!AqJson_OptString(body, "down", names[*down], &text, error)) {
        return false;
    }
    for (int i = 0; i < 3; i++) {
        if (strcmp(text, names[i]) == 0) {
            *down = (StoreOutage)i;
            return true;
        }
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "down is \"%s\"; use none, refused or 503", text);
}

/* Reads the faults from a JSON object; a fault that is absent keeps its value,
 * except that silence_open is reset to false. */
static bool
parse_faults(const json_t *body, Faults *faults, AqError *error)
{
    static const char *const allowed[] = {"down",
                                          "slow_ms",
                                          "lose_replies",
                                          "lose_silently",
                                          "delay_watches_ms",
                                          "lose_task_replies",
                                          "run_permille",
                                          "usage_permille",
                                          "failing_reboots",
                                          "silence_open",
                                          NULL};
    const struct {
        const char *name;
        int64_t *value;
    } numbers[] = {
        {"slow_ms", &faults->slow_ms},
        {"lose_replies", &faults->lose_replies},
        {"lose_task_replies", &faults->lose_task_replies},
        {"delay_watches_ms", &faults->delay_watches_ms},
        {"failing_reboots", &faults->failing_reboots},
        {"run_permille", &faults->run_permille},
        {"usage_permille", &faults->usage_permille},
    };
    bool ok = AqJson_CheckFields(body, allowed, error) &&
              parse_down(body, &faults->down, error) &&
              AqJson_OptBool(body, "lose_silently", faults->lose_silently,
                             &faults->lose_silently, error) &&
              AqJson_OptBool(body, "silence_open", false,
                             &faults->silence_open, error);
    for (size_t i = 0; ok && i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        ok = AqJson_OptInt(body, numbers[i].name, 0, 1000000,
                           *numbers[i].value, numbers[i].value, error);
    }
    return ok;
}

static bool
apply_faults(Platform *platform, const Faults *faults, AqError *error)
{
    platform->faults = *faults;
    if (faults->down == STORE_REFUSED) {
        AqTestServer_Close(platform->server);
        return true;
    }
    if (faults->silence_open) {
        AqTestServer_SilenceOpen(platform->server);
    }
    if (faults->down == STORE_503) {
        Platform_RejectStoreCalls(platform);
    }
    return AqTestServer_Open(platform->server, error);
}

static void
set_faults(Platform *platform, AqTestRequest *request)
{
    const AqBuffer *text = AqTestRequest_Body(request);
    Faults faults = platform->faults;
    AqError error;
    json_t *body = AqJson_Parse(AqBuffer_Text(text), text->size, &error);
    bool ok = body != NULL && parse_faults(body, &faults, &error) &&
              apply_faults(platform, &faults, &error);
    json_decref(body);
    if (!ok) {
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    AqTestRequest_ReplyJson(request, 200, json_object());
}

static void
reply_calls(Platform *platform, AqTestRequest *request)
{
    json_t *calls = json_object();
    unsigned waiting = 0;
    for (int i = 0; i < CALL_KIND_COUNT; i++) {
        json_object_set_new(calls, call_names[i],
                            json_integer((json_int_t)platform->calls[i]));
    }
    AqList_ForEach(at, &platform->pending)
    {
        waiting +=
            AqList_Entry(at, PendingRequest, link)->current_index != NULL;
    }
    json_object_set_new(calls, "rejected",
                        json_integer((json_int_t)platform->rejected));
    json_object_set_new(calls, "lost",
                        json_integer((json_int_t)platform->lost));
    json_object_set_new(calls, "watches_waiting", json_integer(waiting));
    AqTestRequest_ReplyJson(request, 200, calls);
}

static void
on_control(void *context, AqTestRequest *request)
{
    Platform *platform = context;
    const char *path = AqTestRequest_Path(request);
    bool post = strcmp(AqTestRequest_Method(request), "POST") == 0;
    if (post && strcmp(path, "/test/v1/faults") == 0) {
        set_faults(platform, request);
    }
    else if (post && strcmp(path, "/test/v1/vms") == 0) {
        Vms_Set(platform, request);
    }
    else if (!post && strcmp(path, "/test/v1/calls") == 0) {
        reply_calls(platform, request);
    }
    else {
        AqTestRequest_Reply(request, 404, "", 0);
    }
}

static const AqTestServerOps control_ops = {.request = on_control};

/* ---- Start ------------------------------------------------------------- */

static const struct argp_option option_table[] = {
    {"port", 'p', "PORT", 0, "port of the platform (0: any)", 0},
    {"lag-ms", 'l', "MS", 0, "lag of the VM list (default 500)", 0},
    {"reboot-ms", 'r', "MS", 0, "duration of a reboot (default 1000)", 0},
    {"usage-lag-ms", 'u', "MS", 0, "lag of task usage (default 500)", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    PlatformOptions *options = state->input;
    switch (key) {
    case 'p':
        options->port = (int)strtol(arg, NULL, 10);
        return 0;
    case 'l':
        options->lag_ms = strtoll(arg, NULL, 10);
        return 0;
    case 'r':
        options->reboot_ms = strtoll(arg, NULL, 10);
        return 0;
    case 'u':
        options->usage_lag_ms = strtoll(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
open_platform(Platform *platform, AqError *error)
{
    platform->loop = AqTestLoop_Create();
    platform->kv = AqKv_Create();
    AqList_Init(&platform->pending);
    AqList_Init(&platform->vms);
    AqList_Init(&platform->tasks);
    platform->vms_index = 1;
    platform->tasks_index = 1;
    platform->faults.run_permille = 1000;
    platform->faults.usage_permille = 1000;
    platform->server =
        AqTestServer_Create(platform->loop, platform->options.port,
                            &platform_ops, platform, error);
    platform->control =
        platform->server != NULL
            ? AqTestServer_Create(platform->loop, 0, &control_ops, platform,
                                  error)
            : NULL;
    return platform->control != NULL;
}

static void
close_platform(Platform *platform)
{
    AqTestServer_Destroy(platform->server);
    AqTestServer_Destroy(platform->control);
    Tasks_Destroy(platform);
    Vms_Destroy(platform);
    AqKv_Destroy(platform->kv);
    AqTestLoop_Destroy(platform->loop);
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        option_table, parse_option,
        NULL,         "Stand-in for the platform: store, VM list and tasks.",
        NULL,         NULL,
        NULL};
    Platform platform = {
        .options = {.lag_ms = 500, .reboot_ms = 1000, .usage_lag_ms = 500}};
    AqError error;
    argp_parse(&argp, argc, argv, 0, NULL, &platform.options);
    bool ok = open_platform(&platform, &error);
    if (ok) {
        printf("ready platform=127.0.0.1:%d control=127.0.0.1:%d\n",
               AqTestServer_Port(platform.server),
               AqTestServer_Port(platform.control));
        fflush(stdout);
        AqTestLoop_Run(platform.loop);
    }
    else {
        fprintf(stderr, "aq-platform: %s\n", error.message);
    }
    close_platform(&platform);
    return ok ? 0 : 1;
}
