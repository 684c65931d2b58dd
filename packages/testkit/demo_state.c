#include <stdio.h>
#include <string.h>

#include "aq_json.h"
#include "aq_test_http.h"
#include "demo.h"

/* Time limit of a GET request to a daemon.  Shorter than the time between two
 * steps of the plan, so that a daemon that does not respond delays no step. */
#define READ_TIMEOUT_MS 300L
/* Time within which an accepted intent must be in force on every daemon: item
 * 8 of section 1.2 of the requirements. */
#define INTENT_IN_FORCE_LIMIT_MS 4000

/* Sends a GET request to a listener of a daemon ("operators" or "callers");
 * returns false when no response arrives. */
static bool
get_from_daemon(const Demo *demo, int daemon, const char *listener,
                const char *path, AqTestHttpReply *reply)
{
    static const char *const headers[] = {
        "Authorization: Bearer demo-operator-token", NULL};
    char url[192];
    AqError error;
    snprintf(url, sizeof(url), "http://%s%s",
             AqProcess_Address(demo->daemons[daemon].process, listener), path);
    AqTestHttpCall call = {.method = "GET",
                           .url = url,
                           .headers = headers,
                           .timeout_ms = READ_TIMEOUT_MS};
    return AqTestHttp_Call(&call, reply, &error);
}

json_t *
Demo_ReadState(Demo *demo, int daemon, const char *kind)
{
    char path[64];
    AqTestHttpReply reply = {0};
    AqError error;
    json_t *value = NULL;
    snprintf(path, sizeof(path), "/admin/v1/state?kind=%s", kind);
    if (get_from_daemon(demo, daemon, "operators", path, &reply) &&
        reply.status == 200) {
        value =
            AqJson_Parse(AqBuffer_Text(&reply.body), reply.body.size, &error);
    }
    AqTestHttpReply_Clear(&reply);
    return value;
}

bool
Demo_IsReady(Demo *demo, int daemon)
{
    AqTestHttpReply reply = {0};
    bool ready = get_from_daemon(demo, daemon, "callers", "/readyz", &reply) &&
                 reply.status == 200;
    AqTestHttpReply_Clear(&reply);
    return ready;
}

/* Returns the records in a daemon's response to a request for its VMs: a list,
 * or an object that maps names to records.  The records are the response
 * itself or the field "vms", "items" or "records" of the response; owned by
 * state. */
static const json_t *
records_of(const json_t *state)
{
    static const char *const fields[] = {"vms", "items", "records", NULL};
    for (int i = 0; json_is_object(state) && fields[i] != NULL; i++) {
        const json_t *inner = json_object_get(state, fields[i]);
        if (inner != NULL) {
            return inner;
        }
    }
    return state;
}

/* Returns the record of one VM in the VM list "state" that a daemon reported,
 * or NULL when the VM is missing; the record is owned by state. */
static const json_t *
find_vm(const json_t *state, const char *vm)
{
    const json_t *records = records_of(state);
    size_t i;
    json_t *record;
    if (json_is_object(records)) {
        return json_object_get(records, vm);
    }
    json_array_foreach(records, i, record)
    {
        const char *id = json_string_value(json_object_get(record, "id"));
        if (id == NULL) {
            id = json_string_value(json_object_get(record, "name"));
        }
        if (id != NULL && strcmp(id, vm) == 0) {
            return record;
        }
    }
    return NULL;
}

static bool
field_is(const json_t *record, const char *field, const char *value)
{
    const char *text = json_string_value(json_object_get(record, field));
    return text != NULL && strcmp(text, value) == 0;
}

/* Updates the fields drained_at and reverted of demo->observed from the record
 * of the drained VM that a daemon reported. */
static void
check_drained(Demo *demo, const json_t *record)
{
    AqTime now = AqClock_ReadMonotonic();
    if (demo->drain_started == 0) {
        return;
    }
    if (field_is(record, "state", "drained") &&
        demo->observed.drained_at == 0) {
        demo->observed.drained_at = now;
        Demo_Log(demo, "the drained VM is free %lld ms after the command",
                 (long long)(now - demo->drain_started));
    }
    if (demo->drain_accepted > 0 &&
        now - demo->drain_accepted > INTENT_IN_FORCE_LIMIT_MS &&
        field_is(record, "state", "serving")) {
        demo->observed.reverted++;
    }
}

/* Updates demo->observed from the VM records that one daemon reported. */
static void
observe_daemon(Demo *demo, const json_t *state)
{
    DemoObservations *observed = &demo->observed;
    int serving[DEMO_POOLS] = {0};
    for (int vm = 0; vm < DEMO_ENDPOINTS; vm++) {
        char name[16];
        int pool = Demo_PoolOf(vm);
        Demo_VmName(vm, name);
        const json_t *record = find_vm(state, name);
        serving[pool] += field_is(record, "state", "serving");
        observed->wrong_pool += !field_is(record, "pool", Demo_PoolName(pool));
        if (vm == DEMO_DRAINED) {
            check_drained(demo, record);
        }
    }
    for (int pool = 0; pool < DEMO_POOLS; pool++) {
        if (observed->lowest_serving[pool] < 0 ||
            serving[pool] < observed->lowest_serving[pool]) {
            observed->lowest_serving[pool] = serving[pool];
        }
    }
    observed->reads++;
}

void
Demo_Observe(Demo *demo)
{
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        if (!Demo_IsRunning(&demo->daemons[i])) {
            continue;
        }
        json_t *state = Demo_ReadState(demo, i, "vms");
        if (state != NULL) {
            observe_daemon(demo, state);
        }
        json_decref(state);
    }
}

int
Demo_CountServing(Demo *demo, int daemon)
{
    int serving = 0;
    json_t *state = Demo_ReadState(demo, daemon, "vms");
    if (state == NULL) {
        return -1;
    }
    for (int vm = 0; vm < DEMO_ENDPOINTS; vm++) {
        char name[16];
        Demo_VmName(vm, name);
        serving += field_is(find_vm(state, name), "state", "serving");
    }
    json_decref(state);
    return serving;
}
