#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_test_http.h"
#include "demo.h"

/* Interval at which Demo_WaitFor calls its check. */
#define CHECK_INTERVAL_MS 50
/* Interval at which the demo reads the VM records of the daemons. */
#define OBSERVE_INTERVAL_MS 100
/* Interval at which the demo prints a progress line. */
#define PROGRESS_INTERVAL_MS 1000
/* Time limit of the demo's setup and plan together.  The whole demo must end
 * within 30 s; the remaining time is for the report. */
#define TIME_LIMIT_MS 28500

/* Step of the demo's plan: an operator's command or a fault. */
typedef struct {
    AqTime at; /* time in ms from the start of the callers to this step */
    void (*run)(Demo *demo);
} PlanStep;

/* Function check, which Demo_WaitFor calls repeatedly until the function
 * returns true. */
typedef struct {
    AqLoopTimer timer;
    Demo *demo;
    bool (*check)(Demo *demo);
    bool done; /* whether the function check has returned true */
} PeriodicCheck;

static void
run_check(void *context)
{
    PeriodicCheck *periodic = context;
    periodic->done = periodic->check(periodic->demo);
    if (!periodic->done) {
        AqTestLoop_StartTimer(periodic->demo->loop, &periodic->timer,
                              CHECK_INTERVAL_MS);
    }
}

/* Returns the time in ms until the time limit of the demo; 0 after the
 * limit. */
static AqTime
time_left(const Demo *demo)
{
    AqTime left = TIME_LIMIT_MS - (AqClock_ReadMonotonic() - demo->started);
    return left > 0 ? left : 0;
}

bool
Demo_WaitFor(Demo *demo, bool (*check)(Demo *demo), AqTime ms)
{
    PeriodicCheck periodic = {.demo = demo, .check = check};
    AqTime left = time_left(demo);
    AqLoopTimer_Init(&periodic.timer, run_check, &periodic);
    AqTestLoop_StartTimer(demo->loop, &periodic.timer, 0);
    AqTestLoop_RunUntil(demo->loop, &periodic.done, ms < left ? ms : left);
    AqLoopTimer_Stop(&periodic.timer);
    return periodic.done;
}

/* ---- Steps ------------------------------------------------------------- */

static bool
post_control(const DemoProcess *process, const char *path, json_t *body)
{
    char url[128];
    AqError error;
    snprintf(url, sizeof(url), "http://%s%s",
             AqProcess_Address(process->process, "control"), path);
    json_t *reply = AqTestHttp_Json("POST", url, NULL, body, NULL, &error);
    json_decref(body);
    json_decref(reply);
    return reply != NULL;
}

static void
start_drain(Demo *demo)
{
    char vm[16];
    AqError error;
    Demo_VmName(DEMO_DRAINED, vm);
    Demo_Log(demo, "operator: amaranthquay drain start %s", vm);
    /* The endpoint of the drained VM records the requests that it receives
     * from now on.  The endpoint does not announce that it leaves, so that
     * only the drain can stop new work. */
    post_control(
        &demo->endpoints, "/test/v1/leave",
        json_pack("{s:i s:b}", "endpoint", DEMO_DRAINED, "announce", 0));
    demo->drain_started = AqClock_ReadMonotonic();
    if (!Demo_StartCommand(demo, &demo->drain, "drain", vm, &error)) {
        Demo_Log(demo, "%s", error.message);
    }
}

static void
start_second_drain(Demo *demo)
{
    char vm[16];
    AqError error;
    Demo_VmName(DEMO_DRAINED + DEMO_POOLS, vm);
    Demo_Log(demo, "operator: amaranthquay drain start %s (over the budget)",
             vm);
    if (!Demo_StartCommand(demo, &demo->second_drain, "refuse", vm, &error)) {
        Demo_Log(demo, "%s", error.message);
    }
}

static void
kill_daemon(Demo *demo)
{
    AqError error = {0};
    Demo_Log(demo, "SIGKILL to entry-%d", DEMO_KILLED + 1);
    AqProcess_Signal(demo->daemons[DEMO_KILLED].process, SIGKILL, &error);
}

static void
start_store_outage(Demo *demo)
{
    Demo_Log(demo, "the store refuses connections");
    post_control(&demo->platform, "/test/v1/faults",
                 json_pack("{s:s}", "down", "refused"));
}

static void
end_store_outage(Demo *demo)
{
    Demo_Log(demo, "the store accepts connections again");
    post_control(&demo->platform, "/test/v1/faults",
                 json_pack("{s:s}", "down", "none"));
}

static void
stop_daemon(Demo *demo)
{
    AqError error = {0};
    Demo_Log(demo, "SIGTERM to entry-%d", DEMO_STOPPED + 1);
    demo->stop_started = AqClock_ReadMonotonic();
    AqProcess_Signal(demo->daemons[DEMO_STOPPED].process, SIGTERM, &error);
}

/* Steps of the plan in order of time.  The membership of the killed daemon
 * ends 5 s after the kill, which requires the store; the endpoint slots of
 * that daemon become available to the other daemons 4 s later.  Both happen
 * before the graceful stop. */
static const PlanStep steps[] = {
    {2000, start_drain},       {3500, start_second_drain},
    {5000, kill_daemon},       {11500, start_store_outage},
    {14000, end_store_outage}, {16000, stop_daemon},
};

#define STEP_COUNT (sizeof(steps) / sizeof(steps[0]))

/* ---- Running the plan -------------------------------------------------- */

/* Timers and next step of the demo's plan while the plan runs. */
typedef struct {
    Demo *demo;
    /* Fires when the demo is to read the VM records of the daemons. */
    AqLoopTimer observe;
    AqLoopTimer progress; /* fires when a progress line is to be printed */
    AqLoopTimer next;     /* fires when the next step of the plan is due */
    /* Position of the plan's next step in the array "steps". */
    size_t step;
    AqLoopTimer limit; /* fires at the time limit of the demo */
} Plan;

/* Adds to counts the numbers of requests that a caller reports as sent and as
 * ended with the outcomes completed, not-run and unknown, in this order.
 * Returns 1, or 0 when the caller is not running. */
static int64_t
read_counts(const DemoProcess *caller, int64_t counts[4])
{
    static const char *const fields[4] = {"sent", "completed", "not_run",
                                          "unknown"};
    char url[128];
    AqError error;
    if (!Demo_IsRunning(caller)) {
        return 0;
    }
    snprintf(url, sizeof(url), "http://%s/test/v1/summary",
             AqProcess_Address(caller->process, "control"));
    json_t *summary = AqTestHttp_Json("GET", url, NULL, NULL, NULL, &error);
    for (int i = 0; i < 4; i++) {
        counts[i] += json_integer_value(json_object_get(summary, fields[i]));
    }
    json_decref(summary);
    return 1;
}

static void
show_progress(void *context)
{
    Plan *plan = context;
    Demo *demo = plan->demo;
    int64_t counts[4] = {0};
    int64_t running = 0;
    for (int i = 0; i < DEMO_POOLS; i++) {
        running += read_counts(&demo->callers[i], counts);
    }
    if (running == DEMO_POOLS) {
        Demo_Log(demo, "sent %lld, completed %lld, not run %lld, unknown %lld",
                 (long long)counts[0], (long long)counts[1],
                 (long long)counts[2], (long long)counts[3]);
    }
    AqTestLoop_StartTimer(demo->loop, &plan->progress, PROGRESS_INTERVAL_MS);
}

static void
observe(void *context)
{
    Plan *plan = context;
    Demo *demo = plan->demo;
    bool callers = false;
    if (demo->drain_accepted == 0 && demo->drain.ended &&
        demo->drain.status == 0) {
        demo->drain_accepted = AqClock_ReadMonotonic();
    }
    if (demo->stop_ended == 0 && demo->daemons[DEMO_STOPPED].ended) {
        demo->stop_ended = AqClock_ReadMonotonic();
    }
    Demo_Observe(demo);
    for (int i = 0; i < DEMO_POOLS; i++) {
        callers = callers || Demo_IsRunning(&demo->callers[i]);
    }
    demo->finished = !callers && demo->stop_ended > 0;
    AqTestLoop_StartTimer(demo->loop, &plan->observe, OBSERVE_INTERVAL_MS);
}

static void
run_step(void *context)
{
    Plan *plan = context;
    Demo *demo = plan->demo;
    steps[plan->step++].run(demo);
    if (plan->step < STEP_COUNT) {
        AqTime due = demo->load_started + steps[plan->step].at;
        AqTime now = AqClock_ReadMonotonic();
        AqTestLoop_StartTimer(demo->loop, &plan->next,
                              due > now ? due - now : 0);
    }
}

static void
expire(void *context)
{
    Plan *plan = context;
    plan->demo->expired = true;
    plan->demo->finished = true;
}

void
Demo_RunPlan(Demo *demo)
{
    Plan plan = {.demo = demo};
    demo->load_started = AqClock_ReadMonotonic();
    AqLoopTimer_Init(&plan.observe, observe, &plan);
    AqLoopTimer_Init(&plan.progress, show_progress, &plan);
    AqLoopTimer_Init(&plan.next, run_step, &plan);
    AqLoopTimer_Init(&plan.limit, expire, &plan);
    AqTestLoop_StartTimer(demo->loop, &plan.observe, 0);
    AqTestLoop_StartTimer(demo->loop, &plan.progress, PROGRESS_INTERVAL_MS);
    AqTestLoop_StartTimer(demo->loop, &plan.next, steps[0].at);
    AqTestLoop_StartTimer(demo->loop, &plan.limit, time_left(demo));
    AqTestLoop_RunUntil(demo->loop, &demo->finished, TIME_LIMIT_MS);
    AqLoopTimer_Stop(&plan.observe);
    AqLoopTimer_Stop(&plan.progress);
    AqLoopTimer_Stop(&plan.next);
    AqLoopTimer_Stop(&plan.limit);
}
