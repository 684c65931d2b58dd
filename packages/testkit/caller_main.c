#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_test_server.h"
#include "caller.h"

typedef struct {
    CallerOptions options;
    /* Path of the file to which aq-caller writes its summary; NULL selects
     * standard output.  Borrowed from the command line. */
    const char *output;
    /* Port of aq-caller's test interface; 0 selects a free one. */
    int port;
} CallerArguments;

static const struct argp_option option_table[] = {
    {"port", 'p', "PORT", 0, "port of the test interface (0: any)", 0},
    {"daemon", 'd', "ADDRESS:PORT", 0, "listener for callers; repeat for more",
     0},
    {"service", 's', "NAME", 0, "service to call; repeat for more", 0},
    {"path", 'P', "PATH", 0, "path after the service (default /work)", 0},
    {"name", 'n', "NAME", 0, "part of each request id (default c)", 0},
    {"rate", 'r', "N", 0, "requests per second (default 100)", 0},
    {"seconds", 't', "S", 0, "time during which to send (default 5)", 0},
    {"timeout-ms", 'T', "MS", 0, "Aq-Timeout-Ms (default 5000)", 0},
    {"check-ms", 'c', "MS", 0,
     "interval of /readyz checks (default 100; 0: none)", 0},
    {"non-idempotent", 'N', "PERCENT", 0,
     "share of non-idempotent requests (default 30)", 0},
    {"repeat", 'R', "PERCENT", 0,
     "share sent to two daemons at once (default 2)", 0},
    {"body-bytes", 'b', "N", 0, "minimum size of a request body (default 64)",
     0},
    {"reuse", 'u', NULL, 0, "keep and reuse connections", 0},
    {"seed", 'S', "N", 0, "seed of the random request mix (default 1)", 0},
    {"output", 'o', "FILE", 0, "file for the summary", 0},
    {0}};

static bool
add_name(const char **names, int *count, int limit, const char *name)
{
    if (*count == limit) {
        return false;
    }
    names[(*count)++] = name;
    return true;
}

static error_t
parse_number(int key, const char *arg, CallerArguments *arguments)
{
    CallerOptions *options = &arguments->options;
    int64_t number = strtoll(arg, NULL, 10);
    switch (key) {
    case 'p':
        arguments->port = (int)number;
        return 0;
    case 'r':
        options->rate = strtod(arg, NULL);
        return options->rate > 0 ? 0 : EINVAL;
    case 't':
        options->run_ms = (int64_t)(strtod(arg, NULL) * 1000);
        return 0;
    case 'T':
        options->timeout_ms = number;
        return 0;
    case 'c':
        options->check_ms = number;
        return 0;
    case 'N':
        options->non_idempotent_percent = (int)number;
        return 0;
    case 'R':
        options->repeat_percent = (int)number;
        return 0;
    case 'b':
        options->body_bytes = (size_t)number;
        return 0;
    case 'S':
        options->seed = (uint64_t)number;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    CallerArguments *arguments = state->input;
    CallerOptions *options = &arguments->options;
    if (key == 'u') {
        options->reuse_connections = true;
        return 0;
    }
    if (arg == NULL) {
        /* This option key is one of those that argp itself defines. */
        return ARGP_ERR_UNKNOWN;
    }
    switch (key) {
    case 'd':
        return add_name(options->daemons, &options->daemon_count, MAX_DAEMONS,
                        arg)
                   ? 0
                   : EINVAL;
    case 's':
        return add_name(options->services, &options->service_count,
                        MAX_SERVICES, arg)
                   ? 0
                   : EINVAL;
    case 'P':
        options->path = arg;
        return 0;
    case 'n':
        options->name = arg;
        return 0;
    case 'o':
        arguments->output = arg;
        return 0;
    default:
        return parse_number(key, arg, arguments);
    }
}

static void
on_control(void *context, AqTestRequest *request)
{
    if (strcmp(AqTestRequest_Path(request), "/test/v1/summary") == 0) {
        AqTestRequest_ReplyJson(request, 200, Caller_Describe(context));
    }
    else {
        AqTestRequest_Reply(request, 404, "", 0);
    }
}

static const AqTestServerOps control_ops = {.request = on_control};

static bool
write_summary(const Caller *caller, const char *output)
{
    json_t *summary = Caller_Describe(caller);
    char *text = AqJson_Dump(summary);
    FILE *file = output != NULL ? fopen(output, "w") : stdout;
    bool ok = file != NULL && fprintf(file, "%s\n", text) > 0;
    if (file != NULL && file != stdout) {
        ok = fclose(file) == 0 && ok;
    }
    if (!ok) {
        fprintf(stderr, "aq-caller: cannot write %s\n",
                output != NULL ? output : "standard output");
    }
    free(text);
    json_decref(summary);
    return ok;
}

static bool
run(const CallerArguments *arguments)
{
    AqTestLoop *loop = AqTestLoop_Create();
    Caller *caller = Caller_Create(loop, &arguments->options);
    AqError error;
    bool ok = false;
    AqTestServer *control = AqTestServer_Create(loop, arguments->port,
                                                &control_ops, caller, &error);
    if (control != NULL) {
        printf("ready control=127.0.0.1:%d\n", AqTestServer_Port(control));
        fflush(stdout);
        AqTestLoop_Run(loop);
        ok = write_summary(caller, arguments->output);
    }
    else {
        fprintf(stderr, "aq-caller: %s\n", error.message);
    }
    AqTestServer_Destroy(control);
    Caller_Destroy(caller);
    AqTestLoop_Destroy(loop);
    return ok;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        option_table, parse_option,
        NULL,         "Open-loop load generator that verifies each response.",
        NULL,         NULL,
        NULL};
    CallerArguments arguments = {.options = {.path = "/work",
                                             .name = "c",
                                             .rate = 100,
                                             .run_ms = 5000,
                                             .timeout_ms = 5000,
                                             .check_ms = 100,
                                             .non_idempotent_percent = 30,
                                             .repeat_percent = 2,
                                             .body_bytes = 64,
                                             .seed = 1}};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.options.daemon_count == 0 ||
        arguments.options.service_count == 0) {
        fprintf(stderr, "aq-caller: give --daemon and --service\n");
        return 2;
    }
    return run(&arguments) ? 0 : 1;
}
