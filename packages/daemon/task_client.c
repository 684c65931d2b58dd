#include "task_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_log.h"
#include "planner_runner.h"

enum {
    /* Term of a task's lease in ms, which an order to start the task requests
     * from the platform. */
    LEASE_MS = 10000,
    LIST_WAIT_S = 5,
    LIST_TIMEOUT_MARGIN_MS = 2000,
    RETRY_MS = 1000,
    MAX_LIST_BYTES = 32 * 1024 * 1024,
    MAX_RESPONSE_BYTES = 65536
};

struct TaskClient {
    Daemon *daemon;
    AqJobs *jobs;
    json_t *tasks; /* latest JSON list of tasks from the platform, or NULL */
    int64_t index; /* platform's change counter at the latest list of tasks */
    /* Long poll for the platform's list of tasks: an HTTP call to which the
     * platform replies after a change of a task, at the latest after
     * LIST_WAIT_S.  NULL if no call is in progress. */
    AqHttpCall *watch;
    AqTimer retry;
    /* List of the Orders to which the platform has not replied. */
    AqLink orders;
};

typedef struct {
    AqLink link;
    TaskClient *client;
    AqHttpCall *call;
    AqTaskAction action;
    char *task;
} Order;

/* ---- Orders ------------------------------------------------------------- */

static void
free_order(Order *order)
{
    AqList_Remove(&order->link);
    free(order->task);
    free(order);
}

static void
on_order_reply(void *context, const AqHttpReply *reply)
{
    Order *order = context;
    if (order->action == AQ_TASK_START && reply->result == AQ_HTTP_DONE) {
        bool started = reply->status == 200 || reply->status == 201;
        AqJobs_Started(order->client->jobs, AqClock_ReadWall(), order->task,
                       started, reply->status == 409);
    }
    if (reply->result != AQ_HTTP_DONE || reply->status >= 400) {
        AqLog_Event(AQ_LOG_INFO, "task_order_refused",
                    "task=%s status=%d answer=%s", order->task, reply->status,
                    AqLog_Quote(reply->body));
    }
    free_order(order);
}

static json_t *
start_body(const AqTaskOrder *order)
{
    return json_pack("{s:s,s:i,s:I,s:I,s:I,s:O,s:s}", "worker", order->worker,
                     "lease_ms", LEASE_MS, "cores", (json_int_t)order->cores,
                     "memory_mb", (json_int_t)order->memory_mb, "accelerators",
                     (json_int_t)order->accelerators, "run_ms",
                     json_object_get(order->job, "run_ms"), "job",
                     order->task);
}

void
TaskClient_Send(TaskClient *client, const AqTaskOrder *order)
{
    static const char *const verbs[] = {"", "/checkpoint", "/throttle",
                                        "/stop", "/renew"};
    const AqSettings *settings = client->daemon->settings;
    char url[512];
    bool is_start = order->action == AQ_TASK_START;
    json_t *root = is_start ? start_body(order) : json_object();
    char *body = AqJson_Dump(root);
    snprintf(url, sizeof(url), "%s/v1/tasks/%s%s", settings->store_url,
             order->task, verbs[order->action]);
    AqHttpRequest request = {
        .method = is_start ? "PUT" : "POST",
        .url = url,
        .body = body,
        .size = strlen(body),
        .has_body = true,
        .timeout_ms = settings->store_timeout_ms,
        .connect_timeout_ms = settings->store_timeout_ms,
        .max_response_bytes = MAX_RESPONSE_BYTES,
    };
    Order *call = calloc(1, sizeof(*call));
    call->client = client;
    call->action = order->action;
    call->task = strdup(order->task);
    AqList_Init(&call->link);
    AqList_Append(&client->orders, &call->link);
    call->call = AqHttpClient_Start(client->daemon->http, &request,
                                    on_order_reply, call);
    free(body);
    json_decref(root);
}

/* ---- Reports ------------------------------------------------------------ */

static void
report_task(TaskClient *client, const json_t *task)
{
    const json_t *usage = json_object_get(task, "usage");
    AqTaskReport report = {
        .id = json_string_value(json_object_get(task, "id")),
        .worker = json_string_value(json_object_get(task, "worker")),
        .state = json_string_value(json_object_get(task, "state")),
        .started = json_is_true(json_object_get(task, "started")),
        .cores_used_milli =
            json_integer_value(json_object_get(usage, "cores_milli")),
        .memory_used_mb =
            json_integer_value(json_object_get(usage, "memory_mb")),
    };
    if (report.id != NULL && report.worker != NULL && report.state != NULL) {
        AqJobs_Report(client->jobs, AqClock_ReadWall(), &report);
    }
}

void
TaskClient_Report(TaskClient *client)
{
    size_t i;
    json_t *task;
    json_array_foreach(client->tasks, i, task)
    {
        report_task(client, task);
    }
}

static void
on_list(void *context, const AqHttpReply *reply)
{
    TaskClient *client = context;
    AqTime now = AqLoop_Now(client->daemon->loop);
    json_t *root = NULL;
    int64_t index = 0;
    client->watch = NULL;
    if (reply->result == AQ_HTTP_DONE && reply->status == 200) {
        root = AqJson_Parse(reply->body, reply->size, NULL);
    }
    json_t *tasks = json_object_get(root, "tasks");
    bool ok = json_is_array(tasks) &&
              AqJson_GetInt(root, "index", 0, INT64_MAX, &index, NULL);
    if (ok) {
        json_decref(client->tasks);
        client->tasks = json_incref(tasks);
        client->index = index;
    }
    json_decref(root);
    AqTimer_Start(client->daemon->loop, &client->retry,
                  ok ? now : now + RETRY_MS);
}

static void
request_list(void *context)
{
    TaskClient *client = context;
    const AqSettings *settings = client->daemon->settings;
    char url[512];
    /* The platform sends the whole list of tasks after each change of a task,
     * so only the planner, which acts on the list, requests it. */
    if (!PlannerRunner_IsActive(client->daemon->planner)) {
        json_decref(client->tasks);
        client->tasks = NULL;
        client->index = 0;
        AqTimer_Start(client->daemon->loop, &client->retry,
                      AqLoop_Now(client->daemon->loop) + RETRY_MS);
        return;
    }
    snprintf(url, sizeof(url), "%s/v1/tasks?index=%lld&wait=%ds",
             settings->store_url, (long long)client->index, LIST_WAIT_S);
    AqHttpRequest request = {
        .method = "GET",
        .url = url,
        .may_repeat = true,
        .timeout_ms = LIST_WAIT_S * 1000 + LIST_TIMEOUT_MARGIN_MS,
        .connect_timeout_ms = settings->store_timeout_ms,
        .max_response_bytes = MAX_LIST_BYTES,
    };
    client->watch =
        AqHttpClient_Start(client->daemon->http, &request, on_list, client);
}

TaskClient *
TaskClient_Create(Daemon *daemon, AqJobs *jobs)
{
    TaskClient *client = calloc(1, sizeof(*client));
    client->daemon = daemon;
    client->jobs = jobs;
    AqList_Init(&client->orders);
    AqTimer_Init(&client->retry, request_list, client);
    AqTimer_Start(daemon->loop, &client->retry, AqLoop_Now(daemon->loop));
    return client;
}

void
TaskClient_Destroy(TaskClient *client)
{
    AqLink *link;
    if (client == NULL) {
        return;
    }
    AqTimer_Stop(&client->retry);
    if (client->watch != NULL) {
        AqHttpClient_Cancel(client->watch);
    }
    while ((link = AqList_PopFirst(&client->orders)) != NULL) {
        Order *order = AqList_Entry(link, Order, link);
        AqHttpClient_Cancel(order->call);
        free_order(order);
    }
    json_decref(client->tasks);
    free(client);
}
