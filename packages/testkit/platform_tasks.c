#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

#define TASKS_PATH "/v1/tasks/"
/* Limit on the lease and on the declared run time of a task: 24 h.  A call
 * with a longer time is rejected. */
#define MAX_DURATION_MS 86400000

/* State of a task; only running and throttled tasks occupy capacity of their
 * worker. */
typedef enum {
    TASK_RUNNING,
    TASK_CHECKPOINTED,
    TASK_THROTTLED, /* the task runs at half speed on its worker */
    TASK_STOPPED,
    TASK_FINISHED,
    TASK_FAILED,
    TASK_LAPSED /* the task ended because its lease expired */
} TaskState;

static const char *const state_names[] = {
    "running",  "checkpointed", "throttled", "stopped",
    "finished", "failed",       "lapsed"};

typedef struct {
    AqLink link;
    Platform *platform;
    char *id;
    /* Body of the HTTP call that last started or resumed the task; owned. */
    json_t *request;
    TaskState state;
    bool started; /* whether the task was ever started on its worker */
    int64_t cores;
    int64_t memory_mb;
    int64_t accelerators;
    /* Duration of the task's lease in ms, counted from each start, resumption
     * and renewal of the task. */
    int64_t lease_ms;
    /* Run time in ms, at full speed, that the task still needed at the time
     * progress_at. */
    int64_t remaining_work_ms;
    /* Monotonic time at which remaining_work_ms was last updated. */
    AqTime progress_at;
    /* Resource usage of the task as the task list shows it, owned; NULL until
     * the list first shows a usage. */
    json_t *usage;
    /* Fires when remaining_work_ms is used up and the task finishes. */
    AqLoopTimer finish;
    AqLoopTimer lease; /* fires when the lease of the task expires */
    /* Fires when the task list is to show the task's current usage. */
    AqLoopTimer report;
} Task;

static bool
is_active(const Task *task)
{
    return task->state == TASK_RUNNING || task->state == TASK_THROTTLED;
}

static const char *
worker_of(const Task *task)
{
    return json_string_value(json_object_get(task->request, "worker"));
}

static Task *
find_task(Platform *platform, const char *id)
{
    AqList_ForEach(at, &platform->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (strcmp(task->id, id) == 0) {
            return task;
        }
    }
    return NULL;
}

/* Increments the modification index of the task list and answers the watches
 * (blocking queries) of the list. */
static void
tasks_changed(Platform *platform)
{
    platform->tasks_index++;
    Platform_NotifyWatches(platform);
}

static void
report_usage(void *context)
{
    Task *task = context;
    int64_t share = task->platform->faults.usage_permille;
    bool active = is_active(task);
    json_decref(task->usage);
    task->usage = json_pack(
        "{s:f s:I s:I}", "cores",
        active ? (double)task->cores * (double)share / 1000 : 0.0, "memory_mb",
        (json_int_t)(active ? task->memory_mb * share / 1000 : 0),
        "accelerators", (json_int_t)(active ? task->accelerators : 0));
    tasks_changed(task->platform);
}

/* Subtracts the work that the task has done since progress_at from
 * remaining_work_ms, and sets progress_at to the current time. */
static void
update_progress(Task *task)
{
    AqTime now = AqTestLoop_Now(task->platform->loop);
    if (task->state == TASK_RUNNING) {
        task->remaining_work_ms -= now - task->progress_at;
    }
    else if (task->state == TASK_THROTTLED) {
        task->remaining_work_ms -= (now - task->progress_at) / 2;
    }
    task->progress_at = now;
}

static void
set_state(Task *task, TaskState state)
{
    AqTestLoop *loop = task->platform->loop;
    update_progress(task);
    task->state = state;
    AqLoopTimer_Stop(&task->finish);
    if (is_active(task)) {
        int64_t left =
            task->remaining_work_ms > 0 ? task->remaining_work_ms : 0;
        AqTestLoop_StartTimer(loop, &task->finish,
                              state == TASK_THROTTLED ? 2 * left : left);
    }
    else {
        AqLoopTimer_Stop(&task->lease);
    }
    AqTestLoop_StartTimer(loop, &task->report,
                          task->platform->options.usage_lag_ms);
    tasks_changed(task->platform);
}

static void
finish_task(void *context)
{
    set_state(context, TASK_FINISHED);
}

/* Ends a task whose lease has expired. */
static void
lapse_task(void *context)
{
    set_state(context, TASK_LAPSED);
}

static json_t *
describe_task(const Task *task)
{
    json_t *object = json_deep_copy(task->request);
    json_object_set_new(object, "id", json_string(task->id));
    json_object_set_new(object, "state",
                        json_string(state_names[task->state]));
    json_object_set_new(object, "started", json_boolean(task->started));
    json_object_set_new(object, "usage",
                        task->usage != NULL ? json_deep_copy(task->usage)
                                            : json_null());
    return object;
}

/* Checks that a worker is live and has enough free capacity for a task;
 * returns false with an error when not. */
static bool
check_capacity(Platform *platform, const char *worker, const Task *task,
               AqError *error)
{
    WorkerInfo info = Vms_Worker(platform, worker);
    if (!info.known || !info.live) {
        return AqError_Set(error, AQ_ERR_REFUSED,
                           "worker \"%s\" is not live; choose another",
                           worker);
    }
    int64_t cores = info.cores - task->cores;
    int64_t memory = info.memory_mb - task->memory_mb;
    int64_t accelerators = info.accelerators - task->accelerators;
    AqList_ForEach(at, &platform->tasks)
    {
        const Task *other = AqList_Entry(at, Task, link);
        if (is_active(other) && strcmp(worker_of(other), worker) == 0) {
            cores -= other->cores;
            memory -= other->memory_mb;
            accelerators -= other->accelerators;
        }
    }
    if (cores < 0 || memory < 0 || accelerators < 0) {
        return AqError_Set(error, AQ_ERR_REFUSED,
                           "worker \"%s\" lacks %lld cores, %lld MB, %lld "
                           "accelerators; choose another",
                           worker, (long long)(cores < 0 ? -cores : 0),
                           (long long)(memory < 0 ? -memory : 0),
                           (long long)(accelerators < 0 ? -accelerators : 0));
    }
    return true;
}

static Task *
create_task(Platform *platform, const char *id)
{
    Task *task = calloc(1, sizeof(*task));
    task->platform = platform;
    task->id = strdup(id);
    task->state = TASK_CHECKPOINTED;
    AqList_Init(&task->link);
    AqLoopTimer_Init(&task->finish, finish_task, task);
    AqLoopTimer_Init(&task->lease, lapse_task, task);
    AqLoopTimer_Init(&task->report, report_usage, task);
    return task;
}

static void
destroy_task(Task *task)
{
    AqLoopTimer_Stop(&task->finish);
    AqLoopTimer_Stop(&task->lease);
    AqLoopTimer_Stop(&task->report);
    json_decref(task->request);
    json_decref(task->usage);
    free(task->id);
    free(task);
}

static bool
parse_task(Task *task, const json_t *body, AqError *error)
{
    static const char *const allowed[] = {
        "worker",       "lease_ms", "cores", "memory_mb",
        "accelerators", "run_ms",   "job",   NULL};
    const char *worker;
    int64_t run_ms;
    if (!AqJson_CheckFields(body, allowed, error) ||
        !AqJson_GetString(body, "worker", &worker, error) ||
        !AqJson_GetInt(body, "lease_ms", 1, MAX_DURATION_MS, &task->lease_ms,
                       error) ||
        !AqJson_GetInt(body, "cores", 0, 1 << 20, &task->cores, error) ||
        !AqJson_GetInt(body, "memory_mb", 0, 1 << 30, &task->memory_mb,
                       error) ||
        !AqJson_OptInt(body, "accelerators", 0, 1 << 20, 0,
                       &task->accelerators, error) ||
        !AqJson_GetInt(body, "run_ms", 0, MAX_DURATION_MS, &run_ms, error)) {
        return false;
    }
    task->remaining_work_ms =
        run_ms * task->platform->faults.run_permille / 1000;
    return check_capacity(task->platform, worker, task, error);
}

static void
start_task(Task *task)
{
    Platform *platform = task->platform;
    bool fails = Vms_Worker(platform, worker_of(task)).fails;
    task->progress_at = AqTestLoop_Now(platform->loop);
    task->started = true;
    AqTestLoop_StartTimer(platform->loop, &task->lease, task->lease_ms);
    set_state(task, fails ? TASK_FAILED : TASK_RUNNING);
}

/* Starts or resumes a task.  Returns the HTTP status and sets *result to a new
 * description of the task, or returns 0 with an error. */
static unsigned
put_task(Platform *platform, const char *id, json_t *body, json_t **result,
         AqError *error)
{
    Task *found = find_task(platform, id);
    if (found != NULL && json_equal(found->request, body) &&
        found->state != TASK_CHECKPOINTED) {
        *result = describe_task(found);
        return 200;
    }
    if (found != NULL && found->state != TASK_CHECKPOINTED) {
        AqError_Set(error, AQ_ERR_CONFLICT,
                    "task \"%s\" exists with another body; use a new id", id);
        return 0;
    }
    Task *task = create_task(platform, id);
    if (!parse_task(task, body, error)) {
        destroy_task(task);
        return 0;
    }
    if (found != NULL) {
        /* The task resumes from its checkpoint with the remaining work. */
        task->remaining_work_ms = found->remaining_work_ms;
        AqList_Remove(&found->link);
        destroy_task(found);
    }
    task->request = json_deep_copy(body);
    AqList_Append(&platform->tasks, &task->link);
    start_task(task);
    *result = describe_task(task);
    return 201;
}

void
Tasks_Put(Platform *platform, AqTestRequest *request)
{
    const AqBuffer *text = AqTestRequest_Body(request);
    const char *id = AqTestRequest_Path(request) + strlen(TASKS_PATH);
    AqError error;
    json_t *result = NULL;
    json_t *body = AqJson_Parse(AqBuffer_Text(text), text->size, &error);
    unsigned status = 0;
    if (body != NULL) {
        status = put_task(platform, id, body, &result, &error);
    }
    json_decref(body);
    if (status == 0) {
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    Platform_ReplyWrite(platform, request, &platform->faults.lose_task_replies,
                        status, result);
}

static bool
renew_lease(Task *task, const AqTestRequest *request, AqError *error)
{
    const AqBuffer *text = AqTestRequest_Body(request);
    bool ok = true;
    if (text->size > 0) {
        json_t *body = AqJson_Parse(AqBuffer_Text(text), text->size, error);
        ok = body != NULL &&
             AqJson_OptInt(body, "lease_ms", 1, MAX_DURATION_MS,
                           task->lease_ms, &task->lease_ms, error);
        json_decref(body);
    }
    if (ok) {
        AqTestLoop_StartTimer(task->platform->loop, &task->lease,
                              task->lease_ms);
    }
    return ok;
}

/* Performs the action that a POST names on a task; returns false with an error
 * when the action is unknown or the task's state does not allow it. */
static bool
apply_action(Task *task, const char *verb, const AqTestRequest *request,
             AqError *error)
{
    bool stop = strcmp(verb, "stop") == 0;
    bool is_checkpointed = task->state == TASK_CHECKPOINTED;
    if (!is_active(task) && !(stop && is_checkpointed)) {
        return AqError_Set(error, AQ_ERR_REFUSED,
                           "task \"%s\" is %s; start it first", task->id,
                           state_names[task->state]);
    }
    if (strcmp(verb, "renew") == 0) {
        return renew_lease(task, request, error);
    }
    if (strcmp(verb, "checkpoint") == 0) {
        set_state(task, TASK_CHECKPOINTED);
    }
    else if (strcmp(verb, "throttle") == 0) {
        set_state(task, TASK_THROTTLED);
    }
    else if (stop) {
        set_state(task, TASK_STOPPED);
    }
    else {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "action \"%s\"; use checkpoint, throttle, stop or "
                           "renew",
                           verb);
    }
    return true;
}

void
Tasks_Act(Platform *platform, AqTestRequest *request)
{
    char id[256];
    AqError error;
    snprintf(id, sizeof(id), "%s",
             AqTestRequest_Path(request) + strlen(TASKS_PATH));
    char *verb = strrchr(id, '/');
    Task *task = NULL;
    if (verb != NULL) {
        *verb++ = '\0';
        task = find_task(platform, id);
    }
    if (task == NULL) {
        AqError_Set(&error, AQ_ERR_NOT_FOUND,
                    "there is no task \"%s\"; start it with PUT", id);
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    if (!apply_action(task, verb, request, &error)) {
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    Platform_ReplyWrite(platform, request, &platform->faults.lose_task_replies,
                        200, describe_task(task));
}

static uint64_t
current_index(Platform *platform, const AqTestRequest *request)
{
    (void)request;
    return platform->tasks_index;
}

static void
reply_list(Platform *platform, AqTestRequest *request)
{
    json_t *list = json_array();
    AqList_ForEach(at, &platform->tasks)
    {
        json_array_append_new(list,
                              describe_task(AqList_Entry(at, Task, link)));
    }
    Platform_AddIndex(request, platform->tasks_index);
    AqTestRequest_ReplyJson(request, 200,
                            json_pack("{s:I s:o}", "index",
                                      (json_int_t)platform->tasks_index,
                                      "tasks", list));
}

void
Tasks_List(Platform *platform, AqTestRequest *request)
{
    Platform_AnswerRead(platform, request, false, current_index, reply_list);
}

void
Tasks_WorkerDown(Platform *platform, const char *worker)
{
    AqList_ForEach(at, &platform->tasks)
    {
        Task *task = AqList_Entry(at, Task, link);
        if (is_active(task) && strcmp(worker_of(task), worker) == 0) {
            set_state(task, TASK_FAILED);
        }
    }
}

void
Tasks_Destroy(Platform *platform)
{
    AqLink *at;
    while ((at = AqList_PopFirst(&platform->tasks)) != NULL) {
        destroy_task(AqList_Entry(at, Task, link));
    }
}
