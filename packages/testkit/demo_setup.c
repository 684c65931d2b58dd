#include "demo.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_json.h"
#include "aq_test_http.h"

/* Time limit for the start of a child process of the demo and for each
 * configuration call; either fails after this time. */
#define READY_MS 5000
/* Time in seconds during which the callers send requests. */
#define LOAD_SECONDS "19"
/* Time limit of each request of the callers; short enough that the last
 * responses arrive within the time limit of the demo. */
#define REQUEST_TIMEOUT_MS "2500"
/* Token that authenticates the operator to the daemons. */
#define DEMO_TOKEN "demo-operator-token"

static const char *const operator_headers[] = {
    "Authorization: Bearer " DEMO_TOKEN, "Content-Type: application/json",
    NULL};

/* Formats the path of a file in the demo's directory. */
static void
format_path(const Demo *demo, const char *name, char out[512])
{
    snprintf(out, 512, "%s/%s", demo->options.directory, name);
}

/* Records the exit status when a process of the demo has ended. */
static void
on_process_end(AqLoopSource *source)
{
    DemoProcess *process = AqList_Entry(source, DemoProcess, end_source);
    AqError error;
    if (!process->ended &&
        AqProcess_WaitExit(process->process, 0, &process->status, &error)) {
        process->ended = true;
        AqTestLoop_RemoveSource(&process->end_source);
    }
}

/* Starts a program that logs to the file NAME.log in the demo's directory, and
 * with wait_ready waits until the program is ready. */
static bool
start_process(Demo *demo, DemoProcess *process, const char *const *argv,
              const char *name, bool wait_ready, AqError *error)
{
    char log_name[64];
    char log[512];
    snprintf(log_name, sizeof(log_name), "%s.log", name);
    format_path(demo, log_name, log);
    unlink(log);
    process->demo = demo;
    process->process = AqProcess_Spawn(argv, log, error);
    if (process->process == NULL) {
        return false;
    }
    process->end_source =
        (AqLoopSource){.fd = AqProcess_EndDescriptor(process->process),
                       .run = on_process_end};
    AqList_Init(&process->end_source.link);
    AqTestLoop_AddSource(demo->loop, &process->end_source);
    return !wait_ready ||
           AqProcess_WaitReady(process->process, READY_MS, error);
}

bool
Demo_IsRunning(const DemoProcess *process)
{
    return process->process != NULL && !process->ended;
}

/* Formats the path of a program in the build directory and returns out. */
static const char *
program_path(const Demo *demo, const char *name, char out[512])
{
    snprintf(out, 512, "%s/%s", demo->options.bin, name);
    return out;
}

/* ---- Stand-ins --------------------------------------------------------- */

static json_t *
describe_vm(const Demo *demo, int vm)
{
    char name[16];
    char rack[32];
    char endpoint[16];
    Demo_VmName(vm, name);
    snprintf(rack, sizeof(rack), "%s-r1", Demo_ZoneName(Demo_ZoneOf(vm)));
    snprintf(endpoint, sizeof(endpoint), "endpoint%d", vm);
    return json_pack("{s:s s:s s:s s:s}", "id", name, "address",
                     AqProcess_Address(demo->endpoints.process, endpoint),
                     "rack", rack, "zone", Demo_ZoneName(Demo_ZoneOf(vm)));
}

bool
Demo_StartStandIns(Demo *demo, AqError *error)
{
    char path[512];
    char url[128];
    const char *const platform[] = {
        program_path(demo, "testkit/aq-platform", path), "--port=0",
        "--lag-ms=300", NULL};
    if (!start_process(demo, &demo->platform, platform, "platform", true,
                       error)) {
        return false;
    }
    char count[24];
    snprintf(count, sizeof(count), "--count=%d", DEMO_ENDPOINTS);
    const char *const endpoints[] = {
        program_path(demo, "testkit/aq-endpoint", path),
        "--port=0",
        count,
        "--slots=8",
        "--service-ms=20",
        "--distribution=exponential",
        NULL};
    if (!start_process(demo, &demo->endpoints, endpoints, "endpoints", true,
                       error)) {
        return false;
    }
    json_t *vms = json_array();
    for (int vm = 0; vm < DEMO_ENDPOINTS; vm++) {
        json_array_append_new(vms, describe_vm(demo, vm));
    }
    snprintf(url, sizeof(url), "http://%s/test/v1/vms",
             AqProcess_Address(demo->platform.process, "control"));
    json_t *reply = AqTestHttp_Json("POST", url, NULL, vms, NULL, error);
    json_decref(vms);
    json_decref(reply);
    return reply != NULL;
}

/* ---- Daemons ----------------------------------------------------------- */

static bool
write_settings(const Demo *demo, int daemon, const char *path, AqError *error)
{
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        return AqError_Set(error, AQ_ERR_SYSTEM, "cannot write %s: %s", path,
                           strerror(errno));
    }
    fprintf(file,
            "[node]\nid = \"entry-%d\"\nzone = \"%s\"\nlog_level = \"info\"\n"
            "\n[callers]\naddress = \"127.0.0.1\"\nport = 0\n"
            "\n[operators]\naddress = \"127.0.0.1\"\nport = 0\n"
            "token = \"" DEMO_TOKEN "\"\n"
            "\n[peers]\naddress = \"127.0.0.1\"\nport = 0\n"
            "secret = \"demo-peers-secret\"\nseeds = []\n"
            "\n[store]\nurl = \"http://%s\"\ntimeout_ms = 1000\n"
            "\n[stop]\nbalancer_wait_ms = 500\n",
            daemon + 1, Demo_ZoneName(daemon % DEMO_ZONES),
            AqProcess_Address(demo->platform.process, "platform"));
    fclose(file);
    return true;
}

static bool
start_daemon(Demo *demo, int daemon, AqError *error)
{
    char name[32];
    char file[48];
    char settings[512];
    char path[512];
    const char *own = demo->options.daemon_program;
    snprintf(name, sizeof(name), "entry-%d", daemon + 1);
    snprintf(file, sizeof(file), "%s.toml", name);
    format_path(demo, file, settings);
    const char *const argv[] = {
        own != NULL ? own : program_path(demo, "daemon/amaranthquayd", path),
        "--settings", settings, NULL};
    return write_settings(demo, daemon, settings, error) &&
           start_process(demo, &demo->daemons[daemon], argv, name, true,
                         error);
}

bool
Demo_StartDaemons(Demo *demo, AqError *error)
{
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        if (!start_daemon(demo, i, error)) {
            return false;
        }
    }
    return true;
}

/* ---- Configuration ----------------------------------------------------- */

static json_t *
pool_intent(int pool)
{
    return json_pack("{s:s s:{s:s s:s s:i s:{s:s} s:i s:i}}", "kind",
                     "pool.set", "args", "name", Demo_PoolName(pool),
                     "service", Demo_PoolName(pool), "min_serving",
                     DEMO_MIN_SERVING, "selector", "use", Demo_PoolName(pool),
                     "slots", 8, "connections", 64);
}

static json_t *
vm_intent(const Demo *demo, int vm)
{
    const char *pool = Demo_PoolName(Demo_PoolOf(vm));
    json_t *args = describe_vm(demo, vm);
    json_object_set_new(args, "pool", json_string(pool));
    json_object_set_new(args, "labels", json_pack("{s:s}", "use", pool));
    return json_pack("{s:s s:o}", "kind", "vm.set", "args", args);
}

/* Sends all intents (configuration changes) and only then waits for the
 * responses: a daemon accepts an intent only after the next heartbeats of a
 * majority of the daemons, so that sending one intent after the other would
 * take longer. */
static bool
send_intents(const Demo *demo, json_t *const *intents, int count,
             AqError *error)
{
    AqTestHttpClient *clients[DEMO_ENDPOINTS];
    char *texts[DEMO_ENDPOINTS];
    char url[128];
    bool ok = true;
    snprintf(url, sizeof(url), "http://%s/admin/v1/intents",
             AqProcess_Address(demo->daemons[DEMO_KEPT].process, "operators"));
    for (int i = 0; i < count; i++) {
        texts[i] = AqJson_Dump(intents[i]);
        AqTestHttpCall call = {.method = "POST",
                               .url = url,
                               .headers = operator_headers,
                               .body = texts[i],
                               .size = strlen(texts[i]),
                               .timeout_ms = READY_MS};
        clients[i] = AqTestHttpClient_Create();
        ok = ok && AqTestHttpClient_Start(clients[i], &call, error);
    }
    for (int i = 0; i < count; i++) {
        AqTestHttpReply reply = {0};
        ok = ok && AqTestHttpClient_Finish(clients[i], &reply, error);
        if (ok && reply.status != 200 && reply.status != 202) {
            ok = AqError_Set(error, AQ_ERR_REFUSED,
                             "intent %.120s: status %ld: %.200s", texts[i],
                             reply.status, AqBuffer_Text(&reply.body));
        }
        AqTestHttpReply_Clear(&reply);
        AqTestHttpClient_Destroy(clients[i]);
        free(texts[i]);
    }
    return ok;
}

/* Adds an operation id to each intent (configuration change), the same id on
 * every call for a pool or VM.  Sends the intents and releases the references
 * to the intents. */
static bool
send_and_free(const Demo *demo, json_t **intents, int count, AqError *error)
{
    for (int i = 0; i < count; i++) {
        char op[32];
        const json_t *args = json_object_get(intents[i], "args");
        const json_t *name = json_object_get(args, "name");
        if (name == NULL) {
            name = json_object_get(args, "id");
        }
        snprintf(op, sizeof(op), "demo-%s", json_string_value(name));
        json_object_set_new(intents[i], "op", json_string(op));
    }
    bool ok = send_intents(demo, intents, count, error);
    for (int i = 0; i < count; i++) {
        json_decref(intents[i]);
    }
    return ok;
}

bool
Demo_Configure(Demo *demo)
{
    json_t *pools[DEMO_POOLS];
    json_t *vms[DEMO_ENDPOINTS];
    for (int i = 0; i < DEMO_POOLS; i++) {
        pools[i] = pool_intent(i);
    }
    if (!send_and_free(demo, pools, DEMO_POOLS, &demo->error)) {
        return false;
    }
    for (int i = 0; i < DEMO_ENDPOINTS; i++) {
        vms[i] = vm_intent(demo, i);
    }
    return send_and_free(demo, vms, DEMO_ENDPOINTS, &demo->error);
}

/* ---- Callers and commands ---------------------------------------------- */

static bool
start_caller(Demo *demo, int pool, AqError *error)
{
    char path[512];
    char name[32];
    char file[48];
    char output[512];
    char rate[32];
    char seed[24];
    const char *argv[32];
    int n = 0;
    snprintf(name, sizeof(name), "caller-%s", Demo_PoolName(pool));
    snprintf(file, sizeof(file), "%s.json", name);
    format_path(demo, file, output);
    unlink(output);
    snprintf(rate, sizeof(rate), "--rate=%.3f", demo->options.rate);
    snprintf(seed, sizeof(seed), "--seed=%d", pool + 1);
    argv[n++] = program_path(demo, "testkit/aq-caller", path);
    argv[n++] = "--port=0";
    argv[n++] = rate;
    argv[n++] = seed;
    argv[n++] = "--seconds=" LOAD_SECONDS;
    argv[n++] = "--timeout-ms=" REQUEST_TIMEOUT_MS;
    argv[n++] = "--name";
    argv[n++] = Demo_PoolName(pool);
    argv[n++] = "--service";
    argv[n++] = Demo_PoolName(pool);
    argv[n++] = "--output";
    argv[n++] = output;
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        argv[n++] = "--daemon";
        argv[n++] = AqProcess_Address(demo->daemons[i].process, "callers");
    }
    argv[n] = NULL;
    return start_process(demo, &demo->callers[pool], argv, name, true, error);
}

bool
Demo_StartCallers(Demo *demo, AqError *error)
{
    for (int i = 0; i < DEMO_POOLS; i++) {
        if (!start_caller(demo, i, error)) {
            return false;
        }
    }
    return true;
}

static bool
write_token(const char *path, AqError *error)
{
    FILE *file = fopen(path, "w");
    if (file == NULL || fputs(DEMO_TOKEN "\n", file) < 0) {
        AqError_Set(error, AQ_ERR_SYSTEM, "cannot write %s: %s", path,
                    strerror(errno));
        goto error;
    }
    return fclose(file) == 0;
error:
    if (file != NULL) {
        fclose(file);
    }
    return false;
}

bool
Demo_StartCommand(Demo *demo, DemoProcess *process, const char *log,
                  const char *vm, AqError *error)
{
    char path[512];
    char token[512];
    char server[96];
    const char *own = demo->options.command_program;
    format_path(demo, "token", token);
    snprintf(server, sizeof(server), "http://%s",
             AqProcess_Address(demo->daemons[DEMO_KEPT].process, "operators"));
    const char *const argv[] = {
        own != NULL ? own : program_path(demo, "cli/amaranthquay", path),
        "--server",
        server,
        "--token-file",
        token,
        "drain",
        "start",
        vm,
        NULL};
    return write_token(token, error) &&
           start_process(demo, process, argv, log, false, error);
}

void
Demo_StopProcesses(Demo *demo)
{
    DemoProcess *all[5 + DEMO_DAEMONS + DEMO_POOLS] = {
        &demo->drain, &demo->second_drain, &demo->platform, &demo->endpoints};
    int count = 4;
    for (int i = 0; i < DEMO_DAEMONS; i++) {
        all[count++] = &demo->daemons[i];
    }
    for (int i = 0; i < DEMO_POOLS; i++) {
        all[count++] = &demo->callers[i];
    }
    for (int i = 0; i < count; i++) {
        if (all[i]->process != NULL) {
            AqTestLoop_RemoveSource(&all[i]->end_source);
            AqProcess_Destroy(all[i]->process);
        }
    }
}
