#include "bench_site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "aq_clock.h"
#include "aq_fleet.h"

enum {
    START_TIMEOUT_MS = 60000,
    POLL_MS = 50,
    VMS_PER_RACK = 4,
    ZONES = 2,
    MAX_KEPT_OPS = 256, /* most operation ids that a fleet document keeps */
    /* Number of changes in the tail, that is, since the snapshot, when all
     * daemons have become members. */
    JOINED_TAIL_CHANGES = 8,
    MAX_TAIL_CHANGES = 16
};

const char *bench_bin = "build/packages";

void
bench_fail(const char *what, const char *why)
{
    fprintf(stderr, "bench_daemon: %s: %s\n", what, why);
    exit(1);
}

void
bench_sleep(int ms)
{
    struct timespec time = {ms / 1000, (long)(ms % 1000) * 1000000};
    nanosleep(&time, NULL);
}

/* ---- Processes ---------------------------------------------------------- */

static AqProcess *
spawn(const BenchSite *site, const char *const *argv, const char *name)
{
    char log[96];
    AqError error;
    snprintf(log, sizeof(log), "%s/%s.log", site->directory, name);
    AqProcess *process = AqProcess_Spawn(argv, log, &error);
    if (process == NULL ||
        !AqProcess_WaitReady(process, START_TIMEOUT_MS, &error)) {
        bench_fail(name, error.message);
    }
    return process;
}

static void
program_path(const char *name, char *out, size_t room)
{
    snprintf(out, room, "%s/%s", bench_bin, name);
}

static void
start_platform(BenchSite *site)
{
    char path[256];
    program_path("testkit/aq-platform", path, sizeof(path));
    const char *const argv[] = {path, "--lag-ms=200", "--reboot-ms=200", NULL};
    site->platform = spawn(site, argv, "platform");
}

static void
start_endpoints(BenchSite *site)
{
    char path[256];
    char count[24];
    char service[32];
    program_path("testkit/aq-endpoint", path, sizeof(path));
    snprintf(count, sizeof(count), "--count=%d", BENCH_PORTS_PER_ENDPOINT);
    snprintf(service, sizeof(service), "--service-ms=%d",
             site->plan.service_ms);
    const char *const argv[] = {path, count, service, "--slots=10000", NULL};
    for (int i = 0; i < site->plan.endpoints; i++) {
        site->endpoints[i] = spawn(site, argv, "endpoints");
    }
}

static void
start_daemon(BenchSite *site, int i)
{
    char path[96];
    char binary[256];
    char name[16];
    snprintf(name, sizeof(name), "entry%d", i);
    snprintf(path, sizeof(path), "%s/%s.toml", site->directory, name);
    program_path("daemon/amaranthquayd", binary, sizeof(binary));
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        bench_fail(path, "cannot be written");
        return;
    }
    fprintf(file,
            "[node]\nid = \"%s\"\nzone = \"z%d\"\nlog_level = \"warning\"\n"
            "[callers]\nport = 0\n"
            "[operators]\nport = 0\ntoken = \"" BENCH_TOKEN "\"\n"
            "[store]\nurl = \"http://%s\"\n"
            "[peers]\nport = 0\nsecret = \"secret-of-the-benchmarks\"\n",
            name, i % ZONES, AqProcess_Address(site->platform, "platform"));
    fclose(file);
    const char *const argv[] = {binary, "--settings", path, NULL};
    site->daemons[i] = spawn(site, argv, name);
}

/* ---- Fleet -------------------------------------------------------------- */

static const char *
vm_address(const BenchSite *site, int vm)
{
    char name[24];
    int port = vm / site->plan.endpoints % BENCH_PORTS_PER_ENDPOINT;
    snprintf(name, sizeof(name), "endpoint%d", port);
    return AqProcess_Address(site->endpoints[vm % site->plan.endpoints], name);
}

static json_t *
describe_vm(const BenchSite *site, int vm)
{
    char id[24];
    char rack[24];
    char zone[24];
    snprintf(id, sizeof(id), "vm-%04d", vm);
    snprintf(rack, sizeof(rack), "rack-%03d", vm / VMS_PER_RACK);
    snprintf(zone, sizeof(zone), "hal-%c", 'a' + vm / VMS_PER_RACK % ZONES);
    return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id", id, "address",
                     vm_address(site, vm), "rack", rack, "zone", zone, "cores",
                     64, "memory_mb", 262144);
}

static void
register_vms(const BenchSite *site)
{
    json_t *vms = json_array();
    for (int i = 0; i < site->plan.vms; i++) {
        json_array_append_new(vms, describe_vm(site, i));
    }
    char *text = json_dumps(vms, JSON_COMPACT);
    json_decref(bench_control(site->platform, "POST", "/test/v1/vms", text));
    free(text);
    json_decref(vms);
}

static void
evaluate(const AqFleet *fleet, const char *kind, json_t *args, json_t *set)
{
    AqError error;
    json_t *intent =
        json_pack("{s:s,s:s,s:o}", "op", "bench", "kind", kind, "args", args);
    if (!AqFleet_Evaluate(fleet, intent, AqClock_ReadWall(), set, &error)) {
        bench_fail(kind, error.message);
    }
    json_decref(intent);
}

static void
apply(AqFleet *fleet, const char *op, json_t *set)
{
    AqError error;
    if (!AqFleet_Apply(fleet, op, set, &error)) {
        bench_fail(op, error.message);
    }
    json_decref(set);
}

/* Adds "count" changes to the fleet document, with operation ids as long as a
 * UUID, like those of operators. */
static void
change_budgets(AqFleet *fleet, int count)
{
    for (int i = 0; i < count; i++) {
        char op[48];
        json_t *set = json_array();
        snprintf(op, sizeof(op), "00000000-0000-4000-8000-%012lld",
                 (long long)AqFleet_Version(fleet));
        evaluate(fleet, "budget.set",
                 json_pack("{s:s,s:i}", "pool", "service-00",
                           "max_unavailable", 1 + i % 7),
                 set);
        apply(fleet, op, set);
    }
}

/* Returns a new fleet document with all pools and VMs.  The VMs serve from the
 * start: up to 900 health checks and commits before each case would only take
 * time. */
static AqFleet *
create_fleet(const BenchSite *site)
{
    const BenchPlan *plan = &site->plan;
    AqFleet *fleet = AqFleet_Create();
    json_t *set = json_array();
    char name[24];
    for (int i = 0; i < plan->pools; i++) {
        snprintf(name, sizeof(name), "service-%02d", i);
        evaluate(fleet, "pool.set",
                 json_pack("{s:s,s:i,s:i,s:i}", "name", name, "min_serving",
                           plan->vms / plan->pools * 3 / 4, "slots",
                           plan->slots, "connections", plan->slots * 8),
                 set);
    }
    apply(fleet, "bench-pools", set);
    set = json_array();
    for (int i = 0; i < plan->vms; i++) {
        json_t *args = describe_vm(site, i);
        snprintf(name, sizeof(name), "service-%02d", i % plan->pools);
        json_object_set_new(args, "pool", json_string(name));
        json_object_set_new(args, "labels",
                            json_pack("{s:s}", "release", "2026.48"));
        evaluate(fleet, "vm.set", args, set);
        json_t *record =
            json_array_get(json_array_get(set, json_array_size(set) - 1), 2);
        json_object_set_new(record, "state", json_string("serving"));
    }
    apply(fleet, "bench-vms", set);
    change_budgets(fleet, MAX_KEPT_OPS);
    return fleet;
}

static void
put(const BenchSite *site, const char *key, const char *value)
{
    char url[192];
    AqError error;
    AqTestHttpReply reply = {0};
    snprintf(url, sizeof(url), "http://%s/v1/kv/%s?cas=0",
             AqProcess_Address(site->platform, "platform"), key);
    AqTestHttpCall call = {
        .method = "PUT", .url = url, .body = value, .size = strlen(value)};
    if (!AqTestHttp_Call(&call, &reply, &error) || reply.status != 200) {
        bench_fail(key, "was not stored");
    }
    AqTestHttpReply_Clear(&reply);
}

static void
store_fleet(const BenchSite *site)
{
    char key[64];
    AqFleet *fleet = create_fleet(site);
    char *snapshot = AqFleet_EncodeSnapshot(fleet);
    snprintf(key, sizeof(key), "%s%lld", AQ_FLEET_SNAPSHOT_PREFIX,
             (long long)AqFleet_Version(fleet));
    put(site, key, snapshot);
    AqFleet_SnapshotWritten(fleet);
    /* Each daemon that joins adds one change to the tail (the changes since
     * the snapshot), and a full tail is emptied by a new snapshot. */
    change_budgets(fleet, (JOINED_TAIL_CHANGES + MAX_TAIL_CHANGES * 2 -
                           site->plan.daemons) %
                              MAX_TAIL_CHANGES);
    char *head = AqFleet_EncodeHead(fleet);
    put(site, AQ_FLEET_HEAD_KEY, head);
    free(head);
    free(snapshot);
    AqFleet_Destroy(fleet);
}

/* ---- Start and stop ----------------------------------------------------- */

static bool
is_up(const BenchSite *site, int daemon)
{
    json_t *status = bench_status(site, daemon);
    bool up = json_is_true(json_object_get(status, "ready")) &&
              json_array_size(json_object_get(status, "members")) ==
                  (size_t)site->plan.daemons;
    json_decref(status);
    return up;
}

void
bench_start(BenchSite *site, const BenchPlan *plan)
{
    memset(site, 0, sizeof(*site));
    site->plan = *plan;
    strcpy(site->directory, "bench-XXXXXX");
    if (mkdtemp(site->directory) == NULL) {
        bench_fail(site->directory, "cannot be created");
    }
    start_platform(site);
    start_endpoints(site);
    register_vms(site);
    store_fleet(site);
    for (int i = 0; i < plan->daemons; i++) {
        start_daemon(site, i);
    }
    AqTime end = AqClock_ReadMonotonic() + START_TIMEOUT_MS;
    for (int i = 0; i < plan->daemons; i++) {
        while (!is_up(site, i)) {
            if (AqClock_ReadMonotonic() > end) {
                bench_fail("start", "a daemon is not ready; read its log");
            }
            bench_sleep(POLL_MS);
        }
    }
}

static void
remove_file(const BenchSite *site, const char *name, const char *suffix)
{
    char path[96];
    snprintf(path, sizeof(path), "%s/%s%s", site->directory, name, suffix);
    unlink(path);
}

void
bench_stop(BenchSite *site)
{
    for (int i = 0; i < site->plan.daemons; i++) {
        char name[16];
        AqProcess_Destroy(site->daemons[i]);
        snprintf(name, sizeof(name), "entry%d", i);
        remove_file(site, name, ".log");
        remove_file(site, name, ".toml");
    }
    for (int i = 0; i < site->plan.endpoints; i++) {
        AqProcess_Destroy(site->endpoints[i]);
    }
    AqProcess_Destroy(site->platform);
    remove_file(site, "endpoints", ".log");
    remove_file(site, "platform", ".log");
    rmdir(site->directory);
}

/* ---- Calls -------------------------------------------------------------- */

static const char *const headers[] = {"Authorization: Bearer " BENCH_TOKEN,
                                      NULL};

void
bench_url(const BenchSite *site, int daemon, const char *listener,
          const char *path, char *out, size_t room)
{
    snprintf(out, room, "http://%s%s",
             AqProcess_Address(site->daemons[daemon], listener), path);
}

json_t *
bench_status(const BenchSite *site, int daemon)
{
    char url[128];
    AqError error;
    bench_url(site, daemon, "operators", "/admin/v1/status", url, sizeof(url));
    json_t *status = AqTestHttp_Json("GET", url, headers, NULL, NULL, &error);
    if (status == NULL) {
        bench_fail(url, error.message);
    }
    return status;
}

long
bench_intent(BenchSite *site, const char *kind, const char *args)
{
    char url[128];
    char op[32];
    AqError error;
    long status = 0;
    snprintf(op, sizeof(op), "bench-%d", ++site->op_count);
    bench_url(site, 0, "operators", "/admin/v1/intents", url, sizeof(url));
    json_t *body = json_pack("{s:s,s:s,s:o}", "op", op, "kind", kind, "args",
                             json_loads(args, 0, NULL));
    json_decref(AqTestHttp_Json("POST", url, headers, body, &status, &error));
    json_decref(body);
    return status;
}

json_t *
bench_control(const AqProcess *process, const char *method, const char *path,
              const char *json)
{
    char url[128];
    AqError error;
    json_t *body = json != NULL ? json_loads(json, 0, NULL) : NULL;
    snprintf(url, sizeof(url), "http://%s%s",
             AqProcess_Address(process, "control"), path);
    json_t *reply = AqTestHttp_Json(method, url, NULL, body, NULL, &error);
    json_decref(body);
    if (reply == NULL) {
        bench_fail(url, error.message);
    }
    return reply;
}
