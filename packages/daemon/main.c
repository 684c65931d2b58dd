#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "aq_daemon.h"
#include "aq_log.h"
#include "aq_node.h"
#include "aq_platform.h"

enum {
    EXIT_USAGE = 2,
    EXIT_SETTINGS = 3
};

const char *argp_program_version = "amaranthquayd " AQ_VERSION;

typedef struct {
    const char *settings;
    bool check_only;
    bool list;
} Arguments;

static const struct argp_option options[] = {
    {"settings", 's', "FILE", 0, "Run with the settings of FILE (TOML)", 0},
    {"check-settings", 'c', "FILE", 0, "Check FILE and exit", 0},
    {"list-settings", 'l', NULL, 0, "List all settings and exit", 0},
    {0},
};

static error_t
parse_option(int key, char *text, struct argp_state *state)
{
    Arguments *arguments = state->input;
    switch (key) {
    case 's':
        arguments->settings = text;
        return 0;
    case 'c':
        arguments->settings = text;
        arguments->check_only = true;
        return 0;
    case 'l':
        arguments->list = true;
        return 0;
    case ARGP_KEY_ARG:
        argp_error(state, "unexpected argument \"%s\"", text);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    .options = options,
    .parser = parse_option,
    .doc = "Daemon of an amaranthquay entry VM.\v"
           "SIGTERM and SIGINT begin a graceful stop, a second one ends it at "
           "once.  SIGHUP reads node.log_level again.\n"
           "Exit status: 0 stopped, 1 failed, 2 usage, 3 bad settings.",
};

/* The running process: the daemon of an entry VM (AqDaemon) or a node of the
 * platform (AqNode). */
typedef struct {
    void *process;
    AqLoop *(*loop)(void *process);
    void (*stop)(void *process);
} Process;

typedef struct {
    Process process;
    const char *path;
    int fd;
} Signals;

static void
reload_log_level(const char *path)
{
    AqError error;
    AqLogLevel level;
    AqSettings *settings = AqSettings_Load(path, &error);
    if (settings == NULL) {
        AqLog_Event(AQ_LOG_ERROR, "settings_not_reloaded", "error=%s",
                    AqLog_Quote(error.message));
        return;
    }
    if (AqLog_ParseLevel(settings->node_log_level, &level)) {
        AqLog_SetLevel(level);
        AqLog_Event(AQ_LOG_INFO, "settings_reloaded", "log_level=%s",
                    settings->node_log_level);
    }
    AqSettings_Destroy(settings);
}

static void
on_signal(void *context, int events)
{
    const Signals *signals = context;
    struct signalfd_siginfo info;
    (void)events;
    while (read(signals->fd, &info, sizeof(info)) == (ssize_t)sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
            reload_log_level(signals->path);
        }
        else {
            signals->process.stop(signals->process.process);
        }
    }
}

static AqLoop *
daemon_loop(void *process)
{
    return AqDaemon_Loop(process);
}

static void
daemon_stop(void *process)
{
    AqDaemon_Stop(process);
}

static AqLoop *
node_loop(void *process)
{
    return AqNode_Loop(process);
}

static void
node_stop(void *process)
{
    AqNode_Stop(process);
}

static bool
open_signals(Signals *signals, AqWatch **watch, AqError *error)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, NULL);
    signals->fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    *watch = AqLoop_Watch(signals->process.loop(signals->process.process),
                          signals->fd, AQ_READABLE, on_signal, signals, error);
    if (*watch == NULL) {
        close(signals->fd);
    }
    return *watch != NULL;
}

static void
close_signals(Signals *signals, AqWatch *watch)
{
    AqLoop_Unwatch(signals->process.loop(signals->process.process), watch);
    close(signals->fd);
}

static int
run_daemon(const AqSettings *settings, const char *path)
{
    AqError error;
    AqWatch *watch;
    AqDaemon *daemon = AqDaemon_Create(settings, &error);
    Signals signals = {{daemon, daemon_loop, daemon_stop}, path, -1};
    if (daemon == NULL || !open_signals(&signals, &watch, &error)) {
        fprintf(stderr, "amaranthquayd: %s\n", error.message);
        AqDaemon_Destroy(daemon);
        return EXIT_FAILURE;
    }
    AqDaemon_WriteReady(daemon, stdout);
    AqLog_Event(AQ_LOG_INFO, "started", "zone=%s", settings->node_zone);
    AqDaemon_Run(daemon);
    AqLog_Event(AQ_LOG_INFO, "stopped", "zone=%s", settings->node_zone);
    close_signals(&signals, watch);
    AqDaemon_Destroy(daemon);
    return EXIT_SUCCESS;
}

static int
run_node(const AqSettings *settings, const char *path)
{
    AqError error;
    AqWatch *watch;
    AqLog_UseStandardOutput();
    AqNode *node = AqNode_Create(settings, &error);
    Signals signals = {{node, node_loop, node_stop}, path, -1};
    if (node == NULL || !open_signals(&signals, &watch, &error)) {
        fprintf(stderr, "amaranthquayd: %s\n", error.message);
        AqNode_Destroy(node);
        return EXIT_FAILURE;
    }
    AqLog_Event(AQ_LOG_INFO, "started", "zone=%s version=%s",
                settings->node_zone, AQ_VERSION);
    AqNode_Run(node);
    AqLog_Event(AQ_LOG_INFO, "stopped", "zone=%s", settings->node_zone);
    close_signals(&signals, watch);
    AqNode_Destroy(node);
    return EXIT_SUCCESS;
}

static int
run(const AqSettings *settings, const char *path)
{
    signal(SIGPIPE, SIG_IGN);
    return settings->platform_store[0] != '\0' ? run_node(settings, path)
                                               : run_daemon(settings, path);
}

static void
list_settings(void)
{
    AqBuffer out;
    AqBuffer_Init(&out);
    AqSettings_Describe(&out);
    fputs(AqBuffer_Text(&out), stdout);
    AqBuffer_Clear(&out);
}

int
main(int argc, char **argv)
{
    Arguments arguments = {0};
    AqError error;
    AqLogLevel level = AQ_LOG_INFO;
    argp_err_exit_status = EXIT_USAGE;
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    if (arguments.list) {
        list_settings();
        return EXIT_SUCCESS;
    }
    if (arguments.settings == NULL) {
        arguments.settings = AqPlatform_SettingsPath();
    }
    if (arguments.settings == NULL) {
        fprintf(stderr, "amaranthquayd: no settings; start it with "
                        "--settings FILE\n");
        return EXIT_USAGE;
    }
    AqSettings *settings = AqSettings_Load(arguments.settings, &error);
    if (settings == NULL) {
        fprintf(stderr, "amaranthquayd: %s\n", error.message);
        return EXIT_SETTINGS;
    }
    int status = EXIT_SUCCESS;
    if (arguments.check_only) {
        printf("%s: ok\n", arguments.settings);
    }
    else {
        AqLog_ParseLevel(settings->node_log_level, &level);
        AqLog_Start(settings->node_id, level);
        status = run(settings, arguments.settings);
    }
    AqSettings_Destroy(settings);
    return status;
}
