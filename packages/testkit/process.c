#include "aq_test_process.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/pidfd.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "aq_buffer.h"
#include "aq_clock.h"

/* Limit on the addresses recorded from the ready line, the line on standard
 * output with which a child process says on which addresses it listens;
 * further addresses are ignored.  Exceeds the number of endpoints that one
 * aq-endpoint process provides. */
#define MAX_READY_ADDRESSES 256
/* Exit status of a child process that could not start its program. */
#define EXIT_NOT_STARTED 127

/* One "NAME=ADDRESS:PORT" of the ready line, "ready NAME=ADDRESS:PORT ...":
 * the line on standard output with which a child process says on which
 * addresses it listens. */
typedef struct {
    char name[32];
    char address[64]; /* "ADDRESS:PORT" on which the process listens */
} ReadyAddress;

struct AqProcess {
    pid_t pid;
    /* Descriptor that is readable once the process has ended; owned. */
    int pid_fd;
    /* Read end of the pipe from the process's standard output; owned. */
    int output;
    bool ended; /* the process has ended and was reaped */
    /* Exit status of the process, or 128 + signal number; valid when ended is
     * true. */
    int status;
    /* Part of the standard output of the process that was read from the pipe
     * but not parsed yet. */
    AqBuffer pending_output;
    ReadyAddress addresses[MAX_READY_ADDRESSES];
    int address_count;
};

/* Runs in the child after fork(): replaces the child by the program, or exits
 * with EXIT_NOT_STARTED. */
static void
run_child(const char *const *argv, const char *log, bool is_output_logged,
          int output, pid_t parent)
{
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, NULL);
    signal(SIGPIPE, SIG_DFL);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(EXIT_NOT_STARTED);
    }
    dup2(output, STDOUT_FILENO);
    if (log != NULL) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        if (fd >= 0) {
            dup2(fd, STDERR_FILENO);
            if (is_output_logged) {
                dup2(fd, STDOUT_FILENO);
            }
            close(fd);
        }
    }
    execv(argv[0], (char *const *)argv);
    _exit(EXIT_NOT_STARTED);
}

static AqProcess *
spawn(const char *const *argv, const char *log, bool is_output_logged,
      AqError *error)
{
    int pipe_fds[2];
    pid_t parent = getpid();
    if (access(argv[0], X_OK) != 0) {
        AqError_Set(error, AQ_ERR_NOT_FOUND,
                    "cannot run %s: %s; build it first", argv[0],
                    strerror(errno));
        return NULL;
    }
    if (pipe2(pipe_fds, O_CLOEXEC) != 0) {
        AqError_Set(error, AQ_ERR_SYSTEM, "cannot create a pipe: %s",
                    strerror(errno));
        return NULL;
    }
    AqProcess *process = calloc(1, sizeof(*process));
    AqBuffer_Init(&process->pending_output);
    process->output = pipe_fds[0];
    process->pid = fork();
    if (process->pid == 0) {
        run_child(argv, log, is_output_logged, pipe_fds[1], parent);
    }
    close(pipe_fds[1]);
    process->pid_fd = process->pid > 0 ? pidfd_open(process->pid, 0) : -1;
    if (process->pid_fd < 0) {
        AqError_Set(error, AQ_ERR_SYSTEM, "cannot start %s: %s", argv[0],
                    strerror(errno));
        process->ended = process->pid < 0;
        AqProcess_Destroy(process);
        return NULL;
    }
    return process;
}

AqProcess *
AqProcess_Spawn(const char *const *argv, const char *log, AqError *error)
{
    return spawn(argv, log, false, error);
}

AqProcess *
AqProcess_SpawnLogged(const char *const *argv, const char *log, AqError *error)
{
    return spawn(argv, log, true, error);
}

/* Reaps the process when the process has ended, and records the exit status.
 * flags are those of waitpid(). */
static void
reap_process(AqProcess *process, int flags)
{
    int status;
    if (!process->ended &&
        waitpid(process->pid, &status, flags) == process->pid) {
        process->ended = true;
        process->status =
            WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    }
}

void
AqProcess_Destroy(AqProcess *process)
{
    if (process == NULL) {
        return;
    }
    if (!process->ended) {
        kill(process->pid, SIGKILL);
        reap_process(process, 0);
    }
    if (process->pid_fd >= 0) {
        close(process->pid_fd);
    }
    close(process->output);
    AqBuffer_Clear(&process->pending_output);
    free(process);
}

pid_t
AqProcess_Pid(const AqProcess *process)
{
    return process->pid;
}

int
AqProcess_EndDescriptor(const AqProcess *process)
{
    return process->pid_fd;
}

/* Records the addresses in the ready line, "ready NAME=ADDRESS:PORT ...", with
 * which a child process says on which addresses it listens; modifies the
 * line. */
static void
parse_ready(AqProcess *process, char *line)
{
    char *state = NULL;
    char *word;
    strtok_r(line, " \n", &state); /* skips the word "ready" */
    while ((word = strtok_r(NULL, " \n", &state)) != NULL) {
        char *equals = strchr(word, '=');
        if (equals != NULL && process->address_count < MAX_READY_ADDRESSES) {
            ReadyAddress *at = &process->addresses[process->address_count++];
            *equals = '\0';
            snprintf(at->name, sizeof(at->name), "%s", word);
            snprintf(at->address, sizeof(at->address), "%s", equals + 1);
        }
    }
}

/* Removes complete lines from the process's pending output up to and including
 * the ready line, with which the process says on which addresses it listens.
 * Returns whether the ready line was found and parsed. */
static bool
parse_output_lines(AqProcess *process)
{
    char *end;
    while (process->pending_output.size > 0 &&
           (end = strchr(process->pending_output.bytes, '\n')) != NULL) {
        size_t size = (size_t)(end - process->pending_output.bytes) + 1;
        bool ready = strncmp(process->pending_output.bytes, "ready ", 6) == 0;
        *end = '\0';
        if (ready) {
            parse_ready(process, process->pending_output.bytes);
        }
        AqBuffer_Consume(&process->pending_output, size);
        if (ready) {
            return true;
        }
    }
    return false;
}

bool
AqProcess_WaitReady(AqProcess *process, int ms, AqError *error)
{
    AqTime end = AqClock_ReadMonotonic() + ms;
    for (;;) {
        char part[512];
        AqTime left = end - AqClock_ReadMonotonic();
        struct pollfd fd = {.fd = process->output, .events = POLLIN};
        if (parse_output_lines(process)) {
            return true;
        }
        if (left <= 0 || poll(&fd, 1, (int)left) == 0) {
            return AqError_Set(error, AQ_ERR_TIMEOUT,
                               "process %d printed no ready line in %d ms; "
                               "read its log",
                               (int)process->pid, ms);
        }
        ssize_t n = read(process->output, part, sizeof(part));
        if (n == 0) {
            return AqError_Set(error, AQ_ERR_SYSTEM,
                               "process %d ended before its ready line; "
                               "read its log",
                               (int)process->pid);
        }
        if (n > 0) {
            AqBuffer_Append(&process->pending_output, part, (size_t)n);
        }
    }
}

const char *
AqProcess_Address(const AqProcess *process, const char *name)
{
    for (int i = 0; i < process->address_count; i++) {
        if (strcmp(process->addresses[i].name, name) == 0) {
            return process->addresses[i].address;
        }
    }
    return NULL;
}

bool
AqProcess_Signal(AqProcess *process, int signal, AqError *error)
{
    reap_process(process, WNOHANG);
    if (process->ended || kill(process->pid, signal) != 0) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "process %d has ended; no signal was sent",
                           (int)process->pid);
    }
    return true;
}

bool
AqProcess_WaitExit(AqProcess *process, int ms, int *status, AqError *error)
{
    AqTime end = AqClock_ReadMonotonic() + ms;
    reap_process(process, WNOHANG);
    while (!process->ended) {
        AqTime left = end - AqClock_ReadMonotonic();
        struct pollfd fd = {.fd = process->pid_fd, .events = POLLIN};
        if (left <= 0 || poll(&fd, 1, (int)left) == 0) {
            return AqError_Set(error, AQ_ERR_TIMEOUT,
                               "process %d still runs after %d ms",
                               (int)process->pid, ms);
        }
        reap_process(process, WNOHANG);
    }
    *status = process->status;
    return true;
}
