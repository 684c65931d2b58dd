#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

#define VMS_PATH "/v1/vms/"

/* Default capacity of a VM as a worker, that of the workers at the larger
 * site: 64 cores and 256 GB of memory. */
#define DEFAULT_CORES 64
#define DEFAULT_MEMORY_MB (256 * 1024)

typedef struct {
    AqLink link;
    Platform *platform;
    char *id;
    /* Current record of the VM, owned: {id, address, rack, zone, state}. */
    json_t *actual;
    /* Record of the VM in the VM list, owned; NULL until the list first shows
     * the VM. */
    json_t *listed;
    WorkerInfo worker;
    /* List of Publication: records of the VM that the VM list does not show
     * yet. */
    AqLink publications;
    AqLoopTimer reboot; /* fires when the reboot of the VM is complete */
    /* Operation id of the VM's last reboot; empty before the first. */
    char last_reboot_op[128];
} Vm;

/* Record of a VM that the VM list will show once the lag of the list has
 * passed. */
typedef struct {
    AqLoopTimer timer; /* fires when the VM list is to show the record */
    AqLink link;       /* link in the VM's list of publications */
    Vm *vm;
    /* Record of the VM that the VM list will show when the timer fires;
     * owned. */
    json_t *record;
} Publication;

static Vm *
find_vm(Platform *platform, const char *id)
{
    AqList_ForEach(at, &platform->vms)
    {
        Vm *vm = AqList_Entry(at, Vm, link);
        if (strcmp(vm->id, id) == 0) {
            return vm;
        }
    }
    return NULL;
}

static const char *
state_of(const Vm *vm)
{
    return json_string_value(json_object_get(vm->actual, "state"));
}

WorkerInfo
Vms_Worker(Platform *platform, const char *id)
{
    WorkerInfo none = {0};
    Vm *vm = find_vm(platform, id);
    if (vm == NULL) {
        return none;
    }
    vm->worker.live = strcmp(state_of(vm), "live") == 0;
    return vm->worker;
}

static void
publish(void *context)
{
    Publication *publication = context;
    Vm *vm = publication->vm;
    json_decref(vm->listed);
    vm->listed = publication->record;
    vm->platform->vms_index++;
    Platform_NotifyWatches(vm->platform);
    AqList_Remove(&publication->link);
    free(publication);
}

/* Makes the VM list show the current record of a VM after the lag of the list.
 * The records of a VM reach the list in order, since all have the same lag. */
static void
schedule_publication(Vm *vm)
{
    Publication *publication = calloc(1, sizeof(*publication));
    publication->vm = vm;
    publication->record = json_deep_copy(vm->actual);
    AqList_Append(&vm->publications, &publication->link);
    AqLoopTimer_Init(&publication->timer, publish, publication);
    AqTestLoop_StartTimer(vm->platform->loop, &publication->timer,
                          vm->platform->options.lag_ms);
}

static void
set_state(Vm *vm, const char *state)
{
    bool down = strcmp(state, "down") == 0;
    json_object_set_new(vm->actual, "state", json_string(state));
    if (down) {
        Tasks_WorkerDown(vm->platform, vm->id);
    }
    schedule_publication(vm);
}

static void
finish_reboot(void *context)
{
    set_state(context, "live");
}

static uint64_t
current_index(Platform *platform, const AqTestRequest *request)
{
    (void)request;
    return platform->vms_index;
}

static void
reply_list(Platform *platform, AqTestRequest *request)
{
    json_t *list = json_array();
    AqList_ForEach(at, &platform->vms)
    {
        json_array_append(list, AqList_Entry(at, Vm, link)->listed);
    }
    Platform_AddIndex(request, platform->vms_index);
    AqTestRequest_ReplyJson(request, 200,
                            json_pack("{s:I s:o}", "index",
                                      (json_int_t)platform->vms_index, "vms",
                                      list));
}

void
Vms_List(Platform *platform, AqTestRequest *request)
{
    Platform_AnswerRead(platform, request, false, current_index, reply_list);
}

static void
start_reboot(Vm *vm, const char *op)
{
    Platform *platform = vm->platform;
    snprintf(vm->last_reboot_op, sizeof(vm->last_reboot_op), "%s",
             op != NULL ? op : "");
    set_state(vm, "down");
    if (platform->faults.failing_reboots > 0) {
        platform->faults.failing_reboots--;
        return;
    }
    AqTestLoop_StartTimer(platform->loop, &vm->reboot,
                          platform->options.reboot_ms);
}

void
Vms_Reboot(Platform *platform, AqTestRequest *request)
{
    char id[128];
    const char *op = AqTestRequest_Query(request, "op");
    AqError error;
    snprintf(id, sizeof(id), "%s",
             AqTestRequest_Path(request) + strlen(VMS_PATH));
    *strchrnul(id, '/') = '\0';
    Vm *vm = find_vm(platform, id);
    if (vm == NULL) {
        AqError_Set(&error, AQ_ERR_NOT_FOUND,
                    "there is no VM \"%s\"; see the VM list", id);
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    if (op == NULL || strcmp(op, vm->last_reboot_op) != 0) {
        start_reboot(vm, op);
    }
    Platform_ReplyWrite(platform, request, &platform->faults.lose_task_replies,
                        200, json_deep_copy(vm->actual));
}

static Vm *
add_vm(Platform *platform, const char *id)
{
    Vm *vm = calloc(1, sizeof(*vm));
    vm->platform = platform;
    vm->id = strdup(id);
    vm->actual = json_pack("{s:s s:s s:s s:s s:s}", "id", id, "address", "",
                           "rack", "", "zone", "", "state", "live");
    vm->worker.known = true;
    vm->worker.cores = DEFAULT_CORES;
    vm->worker.memory_mb = DEFAULT_MEMORY_MB;
    AqList_Init(&vm->publications);
    AqLoopTimer_Init(&vm->reboot, finish_reboot, vm);
    AqList_Append(&platform->vms, &vm->link);
    return vm;
}

static bool
check_vm(const json_t *object, AqError *error)
{
    static const char *const allowed[] = {
        "id",    "address", "rack",      "zone",         "state",
        "cores", "fails",   "memory_mb", "accelerators", NULL};
    const char *id;
    const char *state;
    if (!AqJson_CheckFields(object, allowed, error) ||
        !AqJson_GetString(object, "id", &id, error) ||
        !AqJson_OptString(object, "state", "live", &state, error)) {
        return false;
    }
    if (strcmp(state, "live") != 0 && strcmp(state, "leaving") != 0 &&
        strcmp(state, "down") != 0) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "state \"%s\"; use live, leaving or down", state);
    }
    return true;
}

static bool
set_worker(Vm *vm, const json_t *object, AqError *error)
{
    WorkerInfo *worker = &vm->worker;
    return AqJson_OptInt(object, "cores", 0, 1 << 20, worker->cores,
                         &worker->cores, error) &&
           AqJson_OptInt(object, "memory_mb", 0, 1 << 30, worker->memory_mb,
                         &worker->memory_mb, error) &&
           AqJson_OptInt(object, "accelerators", 0, 1 << 20,
                         worker->accelerators, &worker->accelerators, error) &&
           AqJson_OptBool(object, "fails", worker->fails, &worker->fails,
                          error);
}

static bool
set_vm(Platform *platform, const json_t *object, AqError *error)
{
    static const char *const fields[] = {"address", "rack", "zone", NULL};
    if (!check_vm(object, error)) {
        return false;
    }
    const char *id = json_string_value(json_object_get(object, "id"));
    const char *state = json_string_value(json_object_get(object, "state"));
    Vm *vm = find_vm(platform, id);
    if (vm == NULL) {
        vm = add_vm(platform, id);
    }
    for (const char *const *field = fields; *field != NULL; field++) {
        json_t *value = json_object_get(object, *field);
        if (json_is_string(value)) {
            json_object_set(vm->actual, *field, value);
        }
    }
    if (state != NULL) {
        AqLoopTimer_Stop(&vm->reboot);
    }
    set_state(vm, state != NULL ? state : state_of(vm));
    return set_worker(vm, object, error);
}

void
Vms_Set(Platform *platform, AqTestRequest *request)
{
    const AqBuffer *body = AqTestRequest_Body(request);
    AqError error;
    json_t *value = AqJson_Parse(AqBuffer_Text(body), body->size, &error);
    bool ok = value != NULL;
    if (json_is_array(value)) {
        size_t i;
        json_t *object;
        json_array_foreach(value, i, object)
        {
            ok = ok && set_vm(platform, object, &error);
        }
    }
    else if (ok) {
        ok = set_vm(platform, value, &error);
    }
    json_decref(value);
    if (!ok) {
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    AqTestRequest_ReplyJson(request, 200, json_object());
}

void
Vms_Destroy(Platform *platform)
{
    AqLink *at;
    AqLink *waiting;
    while ((at = AqList_PopFirst(&platform->vms)) != NULL) {
        Vm *vm = AqList_Entry(at, Vm, link);
        AqLoopTimer_Stop(&vm->reboot);
        while ((waiting = AqList_PopFirst(&vm->publications)) != NULL) {
            Publication *publication =
                AqList_Entry(waiting, Publication, link);
            AqLoopTimer_Stop(&publication->timer);
            json_decref(publication->record);
            free(publication);
        }
        json_decref(vm->actual);
        json_decref(vm->listed);
        free(vm->id);
        free(vm);
    }
}
