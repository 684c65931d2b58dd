#ifndef AQ_DEMO_H
#define AQ_DEMO_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_error.h"
#include "aq_test_loop.h"
#include "aq_test_process.h"

/* Driver of "make demo": one deployment on loopback, its faults and the
 * check of the invariants. */

enum {
    DEMO_DAEMONS = 3,
    DEMO_ENDPOINTS = 12,
    DEMO_POOLS = 2,
    DEMO_ZONES = 3,
    DEMO_KILLED = 0,  /* daemon that gets SIGKILL */
    DEMO_STOPPED = 1, /* daemon that gets SIGTERM */
    DEMO_KEPT = 2,    /* daemon that runs to the end; gets the commands */
    DEMO_DRAINED = 2  /* VM that the operator drains; pool 0 */
};

/* Of 6 VMs per pool, so that one planned stop is allowed. */
#define DEMO_MIN_SERVING 5

typedef struct {
    const char *bin;             /* directory of the packages' programs */
    const char *directory;       /* settings, logs and summaries */
    const char *daemon_program;  /* NULL: in bin */
    const char *command_program; /* NULL: in bin */
    double rate;                 /* requests per second of each caller */
} DemoOptions;

typedef struct Demo Demo;

typedef struct {
    AqProcess *process;
    AqLoopSource end; /* its end; linked while it is watched */
    Demo *demo;
    bool ended;
    int status; /* valid when ended */
} DemoProcess;

/* What was seen of the configuration while the load ran. */
typedef struct {
    int lowest[DEMO_POOLS]; /* VMs serving; -1: never read */
    AqTime drained_at;      /* 0: not yet */
    uint64_t reads;
    uint64_t wrong_pool; /* VM records without their pool */
    uint64_t reverted;   /* drained VM shown as serving 4 s after "accepted" */
} DemoObserved;

struct Demo {
    DemoOptions options;
    AqTestLoop *loop;
    AqTime started;
    AqTime load_started;
    DemoProcess platform;
    DemoProcess endpoints;
    DemoProcess daemons[DEMO_DAEMONS];
    DemoProcess callers[DEMO_POOLS];
    DemoProcess drain;  /* the operator's commands */
    DemoProcess refuse; /* second drain, over the budget */
    AqTime drain_started;
    AqTime drain_accepted; /* 0: not yet */
    AqTime stop_started;
    AqTime stop_ended;
    DemoObserved observed;
    AqError error; /* of the last Demo_Configure that failed */
    bool finished; /* all callers have ended */
    bool expired;  /* the time limit was reached */
};

/* demo_common.c */
/* Name of the pool, and of its service. */
const char *Demo_PoolName(int pool);
const char *Demo_ZoneName(int zone);
/* Pool and zone of a VM; its name is "vm-NN". */
int Demo_PoolOf(int vm);
int Demo_ZoneOf(int vm);
void Demo_VmName(int vm, char out[16]);
/* One line of progress with the time since the start. */
void Demo_Log(const Demo *demo, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* demo_setup.c */
bool Demo_StartStandIns(Demo *demo, AqError *error);
bool Demo_StartDaemons(Demo *demo, AqError *error);
/* Sets pools and VMs through the operators' interface.  May be repeated: the
 * operation ids stay the same. */
bool Demo_Configure(Demo *demo);
bool Demo_StartCallers(Demo *demo, AqError *error);
bool Demo_StartCommand(Demo *demo, DemoProcess *process, const char *log,
                       const char *vm, AqError *error);
void Demo_StopProcesses(Demo *demo);
/* Whether a started process has not ended. */
bool Demo_IsRunning(const DemoProcess *process);

/* demo_state.c */
/* The answer of a state call; a new reference, or NULL. */
json_t *Demo_ReadState(Demo *demo, int daemon, const char *kind);
/* Reads the VMs' records of every running daemon into demo->observed. */
void Demo_Observe(Demo *demo);
/* VMs serving according to a daemon, at first; -1 when it does not answer. */
int Demo_CountServing(Demo *demo, int daemon);
bool Demo_IsReady(Demo *demo, int daemon);

/* demo_plan.c */
/* Runs "check" every 50 ms until it is true, at most for ms. */
bool Demo_WaitFor(Demo *demo, bool (*check)(Demo *demo), AqTime ms);
/* Runs the load and the faults to their end. */
void Demo_RunPlan(Demo *demo);

/* demo_report.c */
/* Prints the table; whether all invariants held. */
bool Demo_Report(Demo *demo);

#endif
