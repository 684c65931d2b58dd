#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "demo.h"

/* Time limit of each step of the demo's setup, such as all daemons reporting
 * all VMs as serving.  A new VM may have to pass 5 s of health checks
 * first. */
#define SETUP_STEP_LIMIT_MS 8000

static const struct argp_option option_table[] = {
    {"bin", 'b', "DIR", 0,
     "directory of the programs (default build/packages)", 0},
    {"directory", 'd', "DIR", 0, "directory for settings, logs and summaries",
     0},
    {"daemon-program", 'D', "FILE", 0, "amaranthquayd", 0},
    {"command-program", 'C', "FILE", 0, "amaranthquay", 0},
    {"rate", 'r', "N", 0, "requests per second of each caller (default 150)",
     0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    DemoOptions *options = state->input;
    switch (key) {
    case 'b':
        options->bin = arg;
        return 0;
    case 'd':
        options->directory = arg;
        return 0;
    case 'D':
        options->daemon_program = arg;
        return 0;
    case 'C':
        options->command_program = arg;
        return 0;
    case 'r':
        options->rate = arg != NULL ? strtod(arg, NULL) : 0;
        return options->rate > 0 ? 0 : EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
all_ready(Demo *demo)
{
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        if (!Demo_IsReady(demo, i)) {
            return false;
        }
    }
    return true;
}

static bool
all_serving(Demo *demo)
{
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        if (Demo_CountServing(demo, i) != DEMO_ENDPOINTS ||
            !Demo_IsReady(demo, i)) {
            return false;
        }
    }
    return true;
}

static bool
set_up(Demo *demo, AqError *error)
{
    Demo_Log(demo, "starting the platform and %d endpoints", DEMO_ENDPOINTS);
    if (!Demo_StartStandIns(demo, error)) {
        return false;
    }
    Demo_Log(demo, "starting %d daemons", DEMO_DAEMONS);
    if (!Demo_StartDaemons(demo, error)) {
        return false;
    }
    if (!Demo_WaitFor(demo, all_ready, SETUP_STEP_LIMIT_MS)) {
        return AqError_Set(error, AQ_ERR_TIMEOUT,
                           "not every daemon was ready within %d ms; read the "
                           "logs in %s",
                           SETUP_STEP_LIMIT_MS, demo->options.directory);
    }
    Demo_Log(demo, "setting %d pools and %d VMs", DEMO_POOLS, DEMO_ENDPOINTS);
    if (!Demo_WaitFor(demo, Demo_Configure, SETUP_STEP_LIMIT_MS)) {
        *error = demo->error;
        return false;
    }
    if (!Demo_WaitFor(demo, all_serving, SETUP_STEP_LIMIT_MS)) {
        return AqError_Set(
            error, AQ_ERR_TIMEOUT,
            "not every daemon reported %d VMs as serving within %d ms; "
            "read the logs in %s",
            DEMO_ENDPOINTS, SETUP_STEP_LIMIT_MS, demo->options.directory);
    }
    Demo_Log(demo, "starting %d callers", DEMO_POOLS);
    return Demo_StartCallers(demo, error);
}

/* Runs the demo and returns its exit status: 0 when all invariants held and
 * all steps of the plan happened, 1 when not, 2 when the demo could not be set
 * up. */
static int
run_demo(Demo *demo)
{
    AqError error;
    if (mkdir(demo->options.directory, 0700) != 0 && errno != EEXIST) {
        fprintf(stderr, "aq-demo: cannot create %s: %s\n",
                demo->options.directory, strerror(errno));
        return 2;
    }
    if (!set_up(demo, &error)) {
        fprintf(stderr, "aq-demo: %s\n", error.message);
        return 2;
    }
    Demo_RunPlan(demo);
    return Demo_Report(demo) ? 0 : 1;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        option_table,
        parse_option,
        NULL,
        "Runs amaranthquay under load and faults and checks the invariants.",
        NULL,
        NULL,
        NULL};
    Demo demo = {.options = {.bin = "build/packages",
                             .directory = "build/demo",
                             .rate = 150}};
    argp_parse(&argp, argc, argv, 0, NULL, &demo.options);
    demo.started = AqClock_ReadMonotonic();
    demo.loop = AqTestLoop_Create();
    for (int i = 0; i < DEMO_POOLS; i++) {
        demo.observed.lowest_serving[i] = -1;
    }
    int status = run_demo(&demo);
    Demo_StopProcesses(&demo);
    AqTestLoop_Destroy(demo.loop);
    return status;
}
