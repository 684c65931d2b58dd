#ifndef AQ_TESTKIT_PLATFORM_H
#define AQ_TESTKIT_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_test_loop.h"
#include "aq_test_server.h"
#include "platform_kv.h"

/* Interfaces between the source files of aq-platform, which share the
 * structure Platform. */

/* Kinds of calls that are counted separately. */
typedef enum {
    CALL_KV_GET,
    CALL_KV_LIST,
    CALL_KV_WATCH,
    CALL_KV_PUT,
    CALL_KV_DELETE,
    CALL_VMS,
    CALL_VMS_WATCH,
    CALL_REBOOT,
    CALL_TASK_PUT,
    CALL_TASK_ACTION,
    CALL_TASKS,
    CALL_TASKS_WATCH,
    CALL_OTHER,
    CALL_KIND_COUNT
} CallKind;

/* Injected outage of the store. */
typedef enum {
    STORE_UP,
    STORE_REFUSED, /* the port of the platform refuses connections */
    STORE_503      /* store calls are answered with status 503 */
} StoreOutage;

/* Faults that the test interface injects into the platform. */
typedef struct {
    StoreOutage down;
    int64_t slow_ms; /* delay before each store call is handled */
    /* Number of further store writes that are performed but whose responses
     * are lost. */
    int64_t lose_replies;
    /* Number of further task and reboot calls that are performed but whose
     * responses are lost. */
    int64_t lose_task_replies;
    /* The connection of a lost response stays open instead of being closed. */
    bool lose_silently;
    /* Silences the connections that are open when the faults are set; later
     * connections work. */
    bool silence_open;
    /* Delay between a change and the response to a watch for it. */
    int64_t delay_watches_ms;
    /* Number of further reboots after which the VM stays down. */
    int64_t failing_reboots;
    /* Actual run time of a task, in permille of its declared run time. */
    int64_t run_permille;
    /* Actual CPU and memory usage of a task, in permille of its declared
     * size. */
    int64_t usage_permille;
} Faults;

/* Options of aq-platform. */
typedef struct {
    int64_t lag_ms;    /* delay until the VM list shows a change of a VM */
    int64_t reboot_ms; /* time that a VM is down for a reboot */
    /* Delay until the task list shows the usage after a change of state. */
    int64_t usage_lag_ms;
    int port; /* port of the platform; 0 for any */
} PlatformOptions;

typedef struct Platform Platform;

/* Request whose response waits for a change, for a timer, or for both. */
typedef struct {
    AqLink link;
    Platform *platform;
    AqTestRequest *request;
    AqLoopTimer timer; /* calls "handle" when the timer fires */
    /* Index in the request of a watch; the watch is due once the current index
     * is higher. */
    uint64_t index;
    bool is_store_call; /* whether the request is a call to the store */
    /* The change that the watch waits for has occurred, and the timer delays
     * the response. */
    bool is_due;
    /* Returns the current index of the watched data; NULL unless the request
     * is a watch. */
    uint64_t (*current_index)(Platform *platform,
                              const AqTestRequest *request);
    /* Handles the request, which is no longer pending. */
    void (*handle)(Platform *platform, AqTestRequest *request);
} PendingRequest;

struct Platform {
    AqTestLoop *loop;
    AqTestServer *server;  /* server of the store, VM and task calls */
    AqTestServer *control; /* server of the test interface */
    PlatformOptions options;
    Faults faults;
    uint64_t calls[CALL_KIND_COUNT]; /* number of calls by CallKind */
    uint64_t rejected; /* store calls answered with an injected 503 */
    uint64_t lost;     /* responses that an injected fault lost */
    AqKv *kv;          /* data of the store */
    AqLink pending;    /* requests that wait for their response */
    AqLink vms;
    uint64_t vms_index; /* grows with each change of the VM list */
    AqLink tasks;
    uint64_t tasks_index; /* grows with each change of the task list */
};

/* Calls handle for the request after ms milliseconds. */
void Platform_Delay(Platform *platform, AqTestRequest *request, int64_t ms,
                    bool is_store_call,
                    void (*handle)(Platform *platform,
                                   AqTestRequest *request));
/* Answers a read by calling handle: at once when the request has no index
 * parameter, otherwise (a watch) when current_index returns more than that
 * index or the time in the wait parameter is over. */
void Platform_AnswerRead(
    Platform *platform, AqTestRequest *request, bool is_store_call,
    uint64_t (*current_index)(Platform *platform,
                              const AqTestRequest *request),
    void (*handle)(Platform *platform, AqTestRequest *request));
/* Answers the watches whose data now has a higher index than the watch passed,
 * after the delay that the fault delay_watches_ms sets. */
void Platform_NotifyWatches(Platform *platform);
/* Answers all pending store calls with status 503. */
void Platform_RejectStoreCalls(Platform *platform);
/* Returns whether a request is a blocking query: one with an index above 0. */
bool Platform_IsWatch(const AqTestRequest *request);
/* Responds to a write with a JSON value, whose reference it takes over.  When
 * *losses_left is above 0, the function decrements it and loses the response
 * instead. */
void Platform_ReplyWrite(Platform *platform, AqTestRequest *request,
                         int64_t *losses_left, unsigned status, json_t *value);
/* Adds the response header X-Consul-Index. */
void Platform_AddIndex(AqTestRequest *request, uint64_t index);

/* The functions of platform_store.c implement the calls to /v1/kv/. */

/* Returns the kind of a call to the store. */
CallKind Store_Kind(const AqTestRequest *request);
void Store_Handle(Platform *platform, AqTestRequest *request);

/* The functions of platform_vms.c implement the calls to /v1/vms. */

/* Answers GET /v1/vms, which is also a watch. */
void Vms_List(Platform *platform, AqTestRequest *request);
/* Answers PUT /v1/vms/ID/reboot.  A repeated call with the same "op" does not
 * start a second reboot. */
void Vms_Reboot(Platform *platform, AqTestRequest *request);
/* Answers POST /test/v1/vms: creates or changes VMs. */
void Vms_Set(Platform *platform, AqTestRequest *request);
void Vms_Destroy(Platform *platform);

/* VM as a worker that runs tasks. */
typedef struct {
    bool known; /* whether a VM with this id exists */
    bool live;  /* whether the actual state of the VM is "live" */
    bool fails; /* every task fails on the worker at its start */
    int64_t cores;
    int64_t memory_mb;
    int64_t accelerators;
} WorkerInfo;

/* Returns the actual state of a VM as a worker, regardless of the lag of the
 * VM list; all fields are zero for an unknown id. */
WorkerInfo Vms_Worker(Platform *platform, const char *id);

/* The functions of platform_tasks.c implement the calls to /v1/tasks. */

/* Answers PUT /v1/tasks/ID: starts a task, or resumes a checkpointed task. */
void Tasks_Put(Platform *platform, AqTestRequest *request);
/* Answers POST /v1/tasks/ID/ACTION: checkpoint, throttle, stop or renew. */
void Tasks_Act(Platform *platform, AqTestRequest *request);
/* Answers GET /v1/tasks, which is also a watch. */
void Tasks_List(Platform *platform, AqTestRequest *request);
/* Sets the active tasks of a worker that went down to the state "failed". */
void Tasks_WorkerDown(Platform *platform, const char *worker);
void Tasks_Destroy(Platform *platform);

#endif
