#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_test_http.h"
#include "demo.h"

#define CHECK_MS 50
#define OBSERVE_MS 100
#define PROGRESS_MS 1000
/* The demo ends by itself within 30 s; the report needs the rest. */
#define TIME_LIMIT_MS 28500

typedef struct {
    AqTime at; /* ms since the load started */
    void (*run)(Demo *demo);
} PlanStep;

typedef struct {
    AqLoopTimer timer;
    Demo *demo;
    bool (*check)(Demo *demo);
    bool done;
} Waiting;

static void
check_again(void *context)
{
    Waiting *waiting = context;
    waiting->done = waiting->check(waiting->demo);
    if (!waiting->done) {
        AqTestLoop_StartTimer(waiting->demo->loop, &waiting->timer, CHECK_MS);
    }
}

static AqTime
time_left(const Demo *demo)
{
    AqTime left = TIME_LIMIT_MS - (AqClock_ReadMonotonic() - demo->started);
    return left > 0 ? left : 0;
}

bool
Demo_WaitFor(Demo *demo, bool (*check)(Demo *demo), AqTime ms)
{
    Waiting waiting = {.demo = demo, .check = check};
    AqTime left = time_left(demo);
    AqLoopTimer_Init(&waiting.timer, check_again, &waiting);
    AqTestLoop_StartTimer(demo->loop, &waiting.timer, 0);
    AqTestLoop_RunUntil(demo->loop, &waiting.done, ms < left ? ms : left);
    AqLoopTimer_Stop(&waiting.timer);
    return waiting.done;
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
    /* The endpoint records what it receives from now on, and says nothing
     * about its leave, so that only the drain can stop new work. */
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
    if (!Demo_StartCommand(demo, &demo->refuse, "refuse", vm, &error)) {
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
take_store_away(Demo *demo)
{
    Demo_Log(demo, "the store refuses connections");
    post_control(&demo->platform, "/test/v1/faults",
                 json_pack("{s:s}", "down", "refused"));
}

static void
bring_store_back(Demo *demo)
{
    Demo_Log(demo, "the store is back");
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

/* The killed daemon's membership ends 5 s after the kill, which needs the
 * store, and its slots return 4 s later; both before the graceful stop. */
static const PlanStep steps[] = {
    {2000, start_drain},      {3500, start_second_drain}, {5000, kill_daemon},
    {11500, take_store_away}, {14000, bring_store_back},  {16000, stop_daemon},
};

#define STEP_COUNT (sizeof(steps) / sizeof(steps[0]))

/* ---- Watching ---------------------------------------------------------- */

typedef struct {
    Demo *demo;
    AqLoopTimer observe;
    AqLoopTimer progress;
    AqLoopTimer next;
    size_t step;
    AqLoopTimer limit;
} Plan;

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
    AqTestLoop_StartTimer(demo->loop, &plan->progress, PROGRESS_MS);
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
    AqTestLoop_StartTimer(demo->loop, &plan->observe, OBSERVE_MS);
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
    AqTestLoop_StartTimer(demo->loop, &plan.progress, PROGRESS_MS);
    AqTestLoop_StartTimer(demo->loop, &plan.next, steps[0].at);
    AqTestLoop_StartTimer(demo->loop, &plan.limit, time_left(demo));
    AqTestLoop_RunUntil(demo->loop, &demo->finished, TIME_LIMIT_MS);
    AqLoopTimer_Stop(&plan.observe);
    AqLoopTimer_Stop(&plan.progress);
    AqLoopTimer_Stop(&plan.next);
    AqLoopTimer_Stop(&plan.limit);
}
