#ifndef AQ_TESTKIT_PLATFORM_H
#define AQ_TESTKIT_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_test_loop.h"
#include "aq_test_server.h"
#include "platform_kv.h"

/* Interfaces between the source files of aq-platform, which share the
 * structure Platform. */

/* Kinds of HTTP calls to the simulated platform.  The platform counts the
 * calls of each kind. */
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

/* Outage of the simulated store that the test interface injects. */
typedef enum {
    STORE_UP,
    /* The platform's port, which VM and task calls share, refuses
     * connections. */
    STORE_REFUSED,
    STORE_503 /* calls to the store are answered with status 503 */
} StoreOutage;

/* Faults that the test interface injects into the platform. */
typedef struct {
    StoreOutage down;
    /* Time in ms from the arrival of each store call until the platform
     * handles the call. */
    int64_t slow_ms;
    /* Number of further store writes that the platform performs without
     * sending a response. */
    int64_t lose_replies;
    /* Number of further task and reboot calls that the platform performs
     * without sending a response. */
    int64_t lose_task_replies;
    /* When a fault suppresses a response, the connection stays open instead of
     * being closed. */
    bool lose_silently;
    /* The platform never responds on the connections that are open when the
     * faults are set; connections opened later work. */
    bool silence_open;
    /* Time in ms from a change of watched data to the response to a watch
     * (blocking query) of the data. */
    int64_t delay_watches_ms;
    /* Number of further reboots that fail: the rebooted VM stays down. */
    int64_t failing_reboots;
    /* Actual run time of a task, in permille of its declared run time. */
    int64_t run_permille;
    /* Actual CPU and memory usage of a task, in permille of its declared
     * size. */
    int64_t usage_permille;
} Faults;

/* Options of aq-platform. */
typedef struct {
    /* Time in ms from a change of a VM until the VM list shows the change. */
    int64_t lag_ms;
    int64_t reboot_ms; /* time in ms for which a reboot keeps a VM down */
    /* Time in ms from a change of a task's state until the task list shows the
     * new resource usage of the task. */
    int64_t usage_lag_ms;
    int port; /* port of the platform's HTTP server; 0 selects a free one */
} PlatformOptions;

typedef struct Platform Platform;

/* HTTP request that is handled later: when a timer fires or, for a watch
 * (blocking query), when the watched data changes. */
typedef struct {
    AqLink link;
    Platform *platform;
    AqTestRequest *request;
    /* Fires when the platform must handle the pending request. */
    AqLoopTimer timer;
    /* Modification index in the query parameter "index" of a watch; the watch
     * is due once the watched data has a higher modification index. */
    uint64_t index;
    /* Whether the pending request is a call to the store. */
    bool is_store_call;
    /* The change that the watch waits for has occurred, and the fault
     * delay_watches_ms delays the response. */
    bool is_due;
    /* Function that returns the current modification index of the data that
     * the request watches; NULL unless the request is a watch (blocking
     * query). */
    uint64_t (*current_index)(Platform *platform,
                              const AqTestRequest *request);
    /* Handles the request when the delay given to Platform_Delay has passed
     * or, for a watch (blocking query), when the watched data has changed and
     * the delay delay_watches_ms has passed, or when the time in the query
     * parameter "wait" has passed without a change.  The PendingRequest has
     * been freed before. */
    void (*handle)(Platform *platform, AqTestRequest *request);
} PendingRequest;

struct Platform {
    AqTestLoop *loop;
    /* HTTP server of the store, VM and task calls; owned */
    AqTestServer *server;
    AqTestServer *control; /* HTTP server of the test interface; owned */
    PlatformOptions options;
    Faults faults;
    /* Number of HTTP calls received so far, by CallKind. */
    uint64_t calls[CALL_KIND_COUNT];
    /* Number of store calls that the platform has answered with status 503
     * because of an injected outage. */
    uint64_t rejected;
    /* Number of responses that the platform has not sent because of an
     * injected fault. */
    uint64_t lost;
    AqKv *kv; /* keys and values of the simulated store; owned */
    /* List of the requests that are handled later, as PendingRequest. */
    AqLink pending;
    AqLink vms;
    /* Modification index of the VM list, incremented by each change. */
    uint64_t vms_index;
    AqLink tasks;
    /* Modification index of the task list, incremented by each change. */
    uint64_t tasks_index;
};

/* Calls handle for the request after ms milliseconds.  Until then the request
 * is pending. */
void Platform_Delay(Platform *platform, AqTestRequest *request, int64_t ms,
                    bool is_store_call,
                    void (*handle)(Platform *platform,
                                   AqTestRequest *request));
/* Answers a read by calling handle: at once when the request has no query
 * parameter "index", otherwise (a watch) when current_index returns more than
 * that index or the time in the query parameter "wait" is over. */
void Platform_AnswerRead(
    Platform *platform, AqTestRequest *request, bool is_store_call,
    uint64_t (*current_index)(Platform *platform,
                              const AqTestRequest *request),
    void (*handle)(Platform *platform, AqTestRequest *request));
/* Answers the watches whose data now has a higher modification index than the
 * request gave, after the delay that the fault delay_watches_ms sets. */
void Platform_NotifyWatches(Platform *platform);
/* Answers all pending store calls with status 503. */
void Platform_RejectStoreCalls(Platform *platform);
/* Returns whether a request is a watch (blocking query): a request whose query
 * parameter "index" is above 0. */
bool Platform_IsWatch(const AqTestRequest *request);
/* Responds to a write call with an HTTP status and a JSON value, and takes
 * over the reference to value.  When *losses_left is above 0, the function
 * decrements *losses_left and sends no response. */
void Platform_ReplyWrite(Platform *platform, AqTestRequest *request,
                         int64_t *losses_left, unsigned status, json_t *value);
/* Adds the header X-Consul-Index, with this modification index, to the
 * response to the request. */
void Platform_AddIndex(AqTestRequest *request, uint64_t index);

/* The functions of platform_store.c implement the calls to /v1/kv/. */

/* Returns the kind under which the platform counts a call to the store. */
CallKind Store_Kind(const AqTestRequest *request);
void Store_Handle(Platform *platform, AqTestRequest *request);

/* The functions of platform_vms.c implement the calls to /v1/vms. */

/* Answers GET /v1/vms with the VM list: at once or, for a watch (blocking
 * query), when the list has changed or the watch's wait is over. */
void Vms_List(Platform *platform, AqTestRequest *request);
/* Answers PUT /v1/vms/ID/reboot.  A call with the query parameter "op" of the
 * VM's last reboot does not start a second reboot. */
void Vms_Reboot(Platform *platform, AqTestRequest *request);
/* Answers POST /test/v1/vms of the test interface: creates or changes VMs. */
void Vms_Set(Platform *platform, AqTestRequest *request);
void Vms_Destroy(Platform *platform);

/* Properties of a VM as a worker that runs tasks. */
typedef struct {
    bool known; /* whether the platform has a VM with the requested id */
    bool live;  /* whether the VM is live now, whatever the VM list shows */
    bool fails; /* every task that is started on the worker fails at once */
    int64_t cores;
    int64_t memory_mb;
    int64_t accelerators;
} WorkerInfo;

/* Returns the current properties of a VM as a worker, including changes that
 * the VM list does not show yet; all fields are zero for an unknown VM id. */
WorkerInfo Vms_Worker(Platform *platform, const char *id);

/* The functions of platform_tasks.c implement the calls to /v1/tasks. */

/* Answers PUT /v1/tasks/ID: starts a task, or resumes a checkpointed task. */
void Tasks_Put(Platform *platform, AqTestRequest *request);
/* Answers POST /v1/tasks/ID/ACTION: checkpoint, throttle, stop or renew. */
void Tasks_Act(Platform *platform, AqTestRequest *request);
/* Answers GET /v1/tasks with the task list: at once or, for a watch (blocking
 * query), when the list has changed or the watch's wait is over. */
void Tasks_List(Platform *platform, AqTestRequest *request);
/* Sets the state of the running and throttled tasks on a worker to "failed",
 * because the worker went down. */
void Tasks_WorkerDown(Platform *platform, const char *worker);
void Tasks_Destroy(Platform *platform);

#endif
