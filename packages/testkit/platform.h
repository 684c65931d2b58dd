#ifndef AQ_TESTKIT_PLATFORM_H
#define AQ_TESTKIT_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "aq_test_loop.h"
#include "aq_test_server.h"
#include "platform_kv.h"

/* Parts of aq-platform that share one state. */

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
    CALL_KINDS
} CallKind;

typedef enum {
    STORE_UP,
    STORE_REFUSED, /* the port refuses connections */
    STORE_503      /* store calls are answered 503 */
} StoreDown;

typedef struct {
    StoreDown down;
    int64_t slow_ms;           /* before a store call is handled */
    int64_t lose_replies;      /* store writes left to lose */
    int64_t lose_task_replies; /* task and reboot calls left to lose */
    bool lose_silently;        /* keep the connection open */
    bool silence_open;         /* once: connections open now go silent */
    int64_t delay_watches_ms;
    int64_t failing_reboots; /* reboots left that never come back */
    int64_t run_permille;    /* true run time by declared run time */
    int64_t usage_permille;  /* true usage by declared size */
} Faults;

typedef struct {
    int64_t lag_ms;
    int64_t reboot_ms;
    int64_t usage_lag_ms;
    int port;
} PlatformOptions;

typedef struct Platform Platform;

/* A request that waits: for a change, for its time, or for both. */
typedef struct {
    AqLink link;
    Platform *platform;
    AqTestRequest *request;
    AqLoopTimer timer;
    uint64_t index; /* watches: answered above it */
    bool store;     /* a call to the store */
    bool woken;
    uint64_t (*current)(Platform *platform, const AqTestRequest *request);
    void (*go)(Platform *platform, AqTestRequest *request);
} Pending;

struct Platform {
    AqTestLoop *loop;
    AqTestServer *server;
    AqTestServer *control;
    PlatformOptions options;
    Faults faults;
    uint64_t calls[CALL_KINDS];
    uint64_t rejected;
    uint64_t lost;
    AqKv *kv;
    AqLink pending;
    AqLink vms;
    uint64_t vms_index;
    AqLink tasks;
    uint64_t tasks_index;
};

/* Runs "go" after ms. */
void Platform_Delay(Platform *platform, AqTestRequest *request, int64_t ms,
                    bool store,
                    void (*go)(Platform *platform, AqTestRequest *request));
/* Answers a read by "go": at once without an index, else when "current" is
 * above the index or the wait is over. */
void Platform_Watch(Platform *platform, AqTestRequest *request, bool store,
                    uint64_t (*current)(Platform *platform,
                                        const AqTestRequest *request),
                    void (*go)(Platform *platform, AqTestRequest *request));
/* Answers the watches whose index was passed. */
void Platform_Wake(Platform *platform);
/* Answers all waiting store calls with 503. */
void Platform_RejectStoreCalls(Platform *platform);
bool Platform_IsWatch(const AqTestRequest *request);
/* Answers a write, or loses the answer when a fault says so. */
void Platform_ReplyWrite(Platform *platform, AqTestRequest *request,
                         int64_t *losses, unsigned status, json_t *value);
/* X-Consul-Index. */
void Platform_AddIndex(AqTestRequest *request, uint64_t index);

/* platform_store.c: /v1/kv/... */
CallKind Store_Kind(const AqTestRequest *request);
void Store_Handle(Platform *platform, AqTestRequest *request);

/* platform_vms.c */
void Vms_List(Platform *platform, AqTestRequest *request);
void Vms_Reboot(Platform *platform, AqTestRequest *request);
/* POST /test/v1/vms */
void Vms_Set(Platform *platform, AqTestRequest *request);
void Vms_Destroy(Platform *platform);

typedef struct {
    bool known;
    bool live;
    bool fails; /* fails every task */
    int64_t cores;
    int64_t memory_mb;
    int64_t accelerators;
} WorkerInfo;

/* True state of a VM as a worker. */
WorkerInfo Vms_Worker(Platform *platform, const char *id);

/* platform_tasks.c */
void Tasks_Put(Platform *platform, AqTestRequest *request);
void Tasks_Act(Platform *platform, AqTestRequest *request);
void Tasks_List(Platform *platform, AqTestRequest *request);
/* Fails the tasks of a worker that went down. */
void Tasks_WorkerDown(Platform *platform, const char *worker);
void Tasks_Destroy(Platform *platform);

#endif
