#ifndef AQ_DEMO_H
#define AQ_DEMO_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_error.h"
#include "aq_test_loop.h"
#include "aq_test_process.h"

/* Driver of "make demo": runs three daemons with simulated endpoints and a
 * simulated platform on the loopback interface, injects faults and checks the
 * invariants of section 1.2 of the requirements. */

enum {
    DEMO_DAEMONS = 3,
    DEMO_ENDPOINTS = 12,
    DEMO_POOLS = 2,
    DEMO_ZONES = 3,
    /* Number of the daemon to which the demo sends SIGKILL. */
    DEMO_KILLED = 0,
    /* Number of the daemon to which the demo sends SIGTERM. */
    DEMO_STOPPED = 1,
    /* Number of the daemon that runs to the end of the demo and receives the
     * operator's commands. */
    DEMO_KEPT = 2,
    DEMO_DRAINED = 2 /* number of the VM that the operator drains; in pool 0 */
};

/* Minimum number of serving VMs in each pool (budget).  A pool has 6 VMs, so
 * the budget permits one planned stop at a time. */
#define DEMO_MIN_SERVING 5

/* Options of aq-demo. */
typedef struct {
    /* Build directory that contains the programs that aq-demo starts; borrowed
     * from the command line or the defaults of aq-demo. */
    const char *bin;
    /* Directory in which the demo writes settings, logs and summary files;
     * borrowed from the command line or the defaults of aq-demo. */
    const char *directory;
    /* Path of the program that the demo starts as each daemon, borrowed from
     * the command line of aq-demo; NULL for the program in the directory
     * bin. */
    const char *daemon_program;
    /* Path of the operator's command line program that the demo starts,
     * borrowed from the command line of aq-demo; NULL for the program in the
     * directory bin. */
    const char *command_program;
    /* Mean number of requests per second that each caller sends. */
    double rate;
} DemoOptions;

typedef struct Demo Demo;

/* Child process that aq-demo starts, and its exit status. */
typedef struct {
    /* Handle of the child process, owned; NULL until the demo starts the
     * process. */
    AqProcess *process;
    /* Event source for the end of the process; linked to the loop until the
     * process has ended. */
    AqLoopSource end_source;
    Demo *demo;
    bool ended;
    int status; /* exit status of the process; valid when ended is true */
} DemoProcess;

/* What the demo has found in the VM records that the daemons report while the
 * callers send requests. */
typedef struct {
    /* Lowest number of serving VMs that a daemon reported for each pool; -1
     * before the first report. */
    int lowest_serving[DEMO_POOLS];
    /* Monotonic time at which a daemon first reported the drained VM as
     * drained; 0 before that. */
    AqTime drained_at;
    uint64_t reads; /* number of VM lists read from daemons */
    /* Number of VM records read that do not name the VM's pool. */
    uint64_t wrong_pool;
    /* Number of VM lists read that showed the drained VM as serving more than
     * 4 s after the drain was accepted. */
    uint64_t reverted;
} DemoObservations;

struct Demo {
    DemoOptions options;
    AqTestLoop *loop;
    AqTime started;      /* monotonic time at which the demo started */
    AqTime load_started; /* monotonic time at which the callers started */
    DemoProcess platform;
    DemoProcess endpoints;
    DemoProcess daemons[DEMO_DAEMONS];
    DemoProcess callers[DEMO_POOLS];
    DemoProcess drain; /* operator's command that drains VM DEMO_DRAINED */
    /* Second drain command; the daemon must refuse the command because a
     * second drain exceeds the budget. */
    DemoProcess second_drain;
    /* Monotonic time at which the command "drain" was started. */
    AqTime drain_started;
    /* Monotonic time at which the command "drain" was seen to have succeeded;
     * 0 before that. */
    AqTime drain_accepted;
    /* Monotonic time at which SIGTERM was sent to daemon DEMO_STOPPED. */
    AqTime stop_started;
    /* Monotonic time at which daemon DEMO_STOPPED was seen to have ended; 0
     * before that. */
    AqTime stop_ended;
    DemoObservations observed;
    AqError error; /* error of the last Demo_Configure that failed */
    /* Whether all callers and daemon DEMO_STOPPED have ended or the time limit
     * of the demo was reached. */
    bool finished;
    bool expired; /* whether the time limit of the demo was reached */
};

/* ---- demo_common.c ------------------------------------------------------ */

/* Returns the name of a pool, which is also the name of its service. */
const char *Demo_PoolName(int pool);
const char *Demo_ZoneName(int zone);
/* Returns the number of the pool to which a VM belongs. */
int Demo_PoolOf(int vm);
/* Returns the number of the zone in which a VM runs. */
int Demo_ZoneOf(int vm);
/* Formats the name of a VM, "vm-NN". */
void Demo_VmName(int vm, char out[16]);
/* Prints one line of progress with the time since the start of the demo. */
void Demo_Log(const Demo *demo, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* ---- demo_setup.c ------------------------------------------------------- */

/* Starts the simulated platform and endpoints and registers the VMs with the
 * platform. */
bool Demo_StartStandIns(Demo *demo, AqError *error);
bool Demo_StartDaemons(Demo *demo, AqError *error);
/* Configures pools and VMs through the operators' interface.  On failure the
 * function stores the reason in demo->error and may be called again, since the
 * operation ids stay the same. */
bool Demo_Configure(Demo *demo);
bool Demo_StartCallers(Demo *demo, AqError *error);
/* Starts the operator's command that drains a VM, with a log file of the given
 * name. */
bool Demo_StartCommand(Demo *demo, DemoProcess *process, const char *log,
                       const char *vm, AqError *error);
/* Kills all processes of the demo that are still running. */
void Demo_StopProcesses(Demo *demo);
/* Returns whether a process was started and has not ended. */
bool Demo_IsRunning(const DemoProcess *process);

/* ---- demo_state.c ------------------------------------------------------- */

/* Returns the JSON records of one kind, such as "vms", that a daemon reports
 * to operators, as a new reference, or NULL when the daemon does not respond
 * with status 200 and a JSON body. */
json_t *Demo_ReadState(Demo *demo, int daemon, const char *kind);
/* Reads the VM records of every running daemon and updates demo->observed. */
void Demo_Observe(Demo *demo);
/* Returns the number of serving VMs that a daemon reports, or -1 when the
 * daemon does not respond with status 200. */
int Demo_CountServing(Demo *demo, int daemon);
/* Returns whether a daemon responds to GET /readyz with status 200. */
bool Demo_IsReady(Demo *demo, int daemon);

/* ---- demo_plan.c -------------------------------------------------------- */

/* Calls the function check every 50 ms until check returns true, ms
 * milliseconds have passed or the time limit of the demo is reached.  Returns
 * whether check returned true. */
bool Demo_WaitFor(Demo *demo, bool (*check)(Demo *demo), AqTime ms);
/* Runs the plan, a sequence of operator's commands and faults, while the
 * callers send requests.  Returns when the callers and daemon DEMO_STOPPED
 * have ended or the time limit of the demo is reached. */
void Demo_RunPlan(Demo *demo);

/* ---- demo_report.c ------------------------------------------------------ */

/* Prints the table of the demo's counts, invariants and steps.  Returns
 * whether all invariants held and all steps of the plan happened. */
bool Demo_Report(Demo *demo);

#endif
