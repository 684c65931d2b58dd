#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Tests of maintenance waves, which reboot all VMs of a pool on the simulated
 * platform.  They guard against waves that cut off requests, break the
 * disruption budget or continue when they must stop.  Design page, sections
 * 1.2 and 7.1. */

enum {
    MIN_SERVING = SITE_ENDPOINTS - 1,
    /* Longest wait in ms, from the start of the wait, for a maintenance wave
     * over 4 VMs to end or for all VMs to serve again.  A wave takes about 8 s
     * per VM on an idle machine. */
    WAVE_TIMEOUT_MS = 150000,
    LOAD_S = 4,
    MAX_TAIL_CHANGES = 16,
    EXPIRED_DUE = 1 /* due time in ms since 1970, long past */
};

static json_t *
read_state(Site *site, int daemon, const char *kind, const char *name)
{
    char path[64];
    SiteResponse response;
    snprintf(path, sizeof(path), "/admin/v1/state?kind=%s", kind);
    site_get(site, daemon, "operators", path, &response);
    json_t *all = json_loads(response.body, 0, NULL);
    json_t *record = json_incref(json_object_get(all, name));
    json_decref(all);
    return record;
}

static bool
is_wave_state(Site *site, int daemon, const char *state)
{
    json_t *wave = read_state(site, daemon, "waves", "w");
    const char *text = json_string_value(json_object_get(wave, "state"));
    bool result = text != NULL && strcmp(text, state) == 0;
    json_decref(wave);
    return result;
}

static int
read_wave_count(Site *site, int daemon, const char *field)
{
    json_t *wave = read_state(site, daemon, "waves", "w");
    int n = (int)json_integer_value(json_object_get(wave, field));
    json_decref(wave);
    return n;
}

static void
check_budget(Site *site, int daemon, int min_serving)
{
    char seen[32];
    int serving = fault_serving(site, daemon);
    /* -1 means that the daemon did not respond within the call's timeout, so
     * that the number of serving VMs is not known. */
    if (serving >= 0) {
        snprintf(seen, sizeof(seen), "%d serve", serving);
        fault_check(serving >= min_serving, "the budget is kept", seen);
    }
}

static void
start_wave(Site *site, int min_serving)
{
    char args[64];
    SiteResponse response;
    snprintf(args, sizeof(args), "{\"pool\":\"track\",\"min_serving\":%d}",
             min_serving);
    CU_ASSERT_EQUAL(site_intent(site, 0, "budget.set", args, &response), 200);
    long status =
        site_intent(site, 1, "wave.start",
                    "{\"name\":\"w\",\"max_parallel\":2}", &response);
    fault_check(status == 200, "the wave starts", response.body);
}

static void
send_wave_intent(Site *site, const char *kind)
{
    SiteResponse response;
    long status = site_intent(site, 2, kind, "{\"name\":\"w\"}", &response);
    fault_check(status == 200, kind, response.body);
}

/* Sends requests of callers to daemons for LOAD_S seconds and meanwhile checks
 * the disruption budget, that is, that at least MIN_SERVING VMs serve
 * according to daemon "reader"; all requests must complete. */
static void
run_load(Site *site, unsigned daemons, int reader)
{
    static int number;
    FaultLoad load;
    AqError error;
    int status;
    char name[16];
    /* A new name gives the requests of each aq-caller process new request
     * ids. */
    snprintf(name, sizeof(name), "wave%d", ++number);
    const FaultLoadOptions options = {.name = name,
                                      .daemon_mask = daemons,
                                      .path = "/work?service_ms=40",
                                      .rate_per_s = 50,
                                      .duration_s = LOAD_S,
                                      .timeout_ms = 20000,
                                      .non_idempotent_percent = 50};
    fault_load_start(site, &options, &load);
    while (!AqProcess_WaitExit(load.process, 0, &status, &error)) {
        check_budget(site, reader, MIN_SERVING);
        site_wait_change(site);
    }
    load.summary = json_load_file(load.output, 0, NULL);
    fault_load_check_completed(&load);
    fault_load_clear(&load);
}

static void
run_until_done(Site *site, unsigned daemons, int reader)
{
    AqTime until = AqClock_ReadMonotonic() + WAVE_TIMEOUT_MS;
    do {
        run_load(site, daemons, reader);
    } while (!is_wave_state(site, reader, "done") &&
             AqClock_ReadMonotonic() < until);
    CU_ASSERT_TRUE(is_wave_state(site, reader, "done"));
    CU_ASSERT_EQUAL(read_wave_count(site, reader, "done"), SITE_ENDPOINTS);
    CU_ASSERT_EQUAL(read_wave_count(site, reader, "failed"), 0);
    CU_ASSERT_EQUAL(fault_serving(site, reader), SITE_ENDPOINTS);
}

/* Guards against requests that a maintenance wave cuts off, and against a wave
 * that takes more VMs out of service than the disruption budget allows. */
static void
test_load(void)
{
    Site site;
    site_start(&site);
    start_wave(&site, MIN_SERVING);
    run_until_done(&site, 7, 0);
    site_stop(&site);
}

static bool
wait_vm_out_of_service(Site *site, int daemon)
{
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        if (fault_serving(site, daemon) < SITE_ENDPOINTS) {
            return true;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return false;
}

/* Polls until all VMs serve; fails the test when a VM that was serving at the
 * start of this function leaves service. */
static void
check_no_new_drain(Site *site, int daemon, const char *what)
{
    bool is_out_of_service[SITE_ENDPOINTS];
    char state[24];
    AqTime until = AqClock_ReadMonotonic() + WAVE_TIMEOUT_MS;
    for (int i = 0; i < SITE_ENDPOINTS; i++) {
        fault_vm_state(site, daemon, i, state);
        is_out_of_service[i] = strcmp(state, "serving") != 0;
    }
    int serving;
    do {
        serving = 0;
        for (int i = 0; i < SITE_ENDPOINTS; i++) {
            fault_vm_state(site, daemon, i, state);
            bool serves = strcmp(state, "serving") == 0;
            fault_check(serves || is_out_of_service[i], what, state);
            serving += serves;
        }
        site_wait_change(site);
    } while (serving < SITE_ENDPOINTS && AqClock_ReadMonotonic() < until);
    CU_ASSERT_EQUAL(serving, SITE_ENDPOINTS);
}

/* Guards against a maintenance wave that takes further VMs out of service
 * after the wave was paused or aborted. */
static void
test_pause_abort(void)
{
    Site site;
    site_start(&site);
    start_wave(&site, MIN_SERVING);
    CU_ASSERT_TRUE(wait_vm_out_of_service(&site, 2));
    send_wave_intent(&site, "wave.pause");
    check_no_new_drain(&site, 2, "after the pause");
    CU_ASSERT_TRUE(is_wave_state(&site, 2, "paused"));
    send_wave_intent(&site, "wave.resume");
    CU_ASSERT_TRUE(wait_vm_out_of_service(&site, 2));
    send_wave_intent(&site, "wave.abort");
    check_no_new_drain(&site, 2, "after the abort");
    CU_ASSERT_TRUE(is_wave_state(&site, 2, "aborted"));
    site_stop(&site);
}

/* ---- Failing reboots ----------------------------------------------------
 */

static json_t *
make_next_head(const json_t *head, const char *vm, const json_t *record)
{
    static int number;
    char op[32];
    json_t *next = json_deep_copy(head);
    json_int_t version =
        json_integer_value(json_object_get(head, "version")) + 1;
    snprintf(op, sizeof(op), "test-expire-%d", ++number);
    json_object_set_new(next, "version", json_integer(version));
    json_array_append_new(json_object_get(next, "ops"),
                          json_pack("[s,I]", op, version));
    json_array_append_new(json_object_get(next, "tail"),
                          json_pack("{s:I,s:s,s:[[s,s,O]]}", "version",
                                    version, "op", op, "set", "vm", vm,
                                    record));
    return next;
}

/* Writes the store entry "head", which describes the newest fleet document,
 * with one more change.  The write has no effect when another writer was
 * faster; the caller's next round repeats it. */
static void
write_head(Site *site, const json_t *head, long long revision, const char *vm,
           const json_t *record)
{
    char url[160];
    AqError error;
    AqTestHttpReply reply = {0};
    json_t *next = make_next_head(head, vm, record);
    char *text = json_dumps(next, JSON_COMPACT);
    AqTestHttpCall put = {
        .method = "PUT", .url = url, .body = text, .size = strlen(text)};
    snprintf(url, sizeof(url), "http://%s/v1/kv/aq/fleet/head?cas=%lld",
             AqProcess_Address(site->platform, "platform"), revision);
    if (!AqTestHttp_Call(&put, &reply, &error)) {
        printf("%s\n", error.message);
    }
    AqTestHttpReply_Clear(&reply);
    free(text);
    json_decref(next);
}

/* Reads a JSON document from a daemon's operators' interface.  A call without
 * a complete answer fails the test by the name of its path. */
static json_t *
read_operators_json(Site *site, int daemon, const char *path)
{
    SiteResponse response;
    char seen[48];
    site_get(site, daemon, "operators", path, &response);
    json_t *root = json_loads(response.body, 0, NULL);
    snprintf(seen, sizeof(seen), "status %ld, %zu bytes", response.status,
             strlen(response.body));
    fault_check(response.status == 200 && root != NULL, path, seen);
    return root;
}

/* Reads the store entry "head" and its modify index.  Returns NULL while there
 * is no such entry. */
static json_t *
read_head(Site *site, long long *revision)
{
    char url[160];
    AqError error;
    gsize size = 0;
    snprintf(url, sizeof(url), "http://%s/v1/kv/aq/fleet/head",
             AqProcess_Address(site->platform, "platform"));
    json_t *items = AqTestHttp_Json("GET", url, NULL, NULL, NULL, &error);
    fault_check(items != NULL, "reading the store entry \"head\"",
                items != NULL ? "" : error.message);
    const json_t *item = json_array_get(items, 0);
    const char *value = json_string_value(json_object_get(item, "Value"));
    json_t *head = NULL;
    if (value != NULL) {
        guchar *bytes = g_base64_decode(value, &size);
        head = json_loadb((const char *)bytes, size, 0, NULL);
        *revision = json_integer_value(json_object_get(item, "ModifyIndex"));
        g_free(bytes);
    }
    json_decref(items);
    return head;
}

/* Reads a VM's record from a daemon whose fleet document is at least as new as
 * "head"; NULL if the daemon's document is older or has no such VM. */
static json_t *
read_record_since(Site *site, int daemon, const json_t *head, const char *vm)
{
    json_t *status = read_operators_json(site, daemon, "/admin/v1/status");
    bool is_older = json_integer_value(json_object_get(status, "version")) <
                    json_integer_value(json_object_get(head, "version"));
    json_decref(status);
    if (is_older) {
        return NULL;
    }
    json_t *vms =
        read_operators_json(site, daemon, "/admin/v1/state?kind=vms");
    json_t *record = json_incref(json_object_get(vms, vm));
    json_decref(vms);
    return record;
}

/* Moves the due time of a rebooting VM, in the fleet document, into the past,
 * as if the VM's 10 minutes for a reboot had passed.  The head is read before
 * the record: a record that a daemon shows later is as new as the head or
 * newer, and a newer one makes the conditional write fail.  In the other order
 * the write could put back a state that the planner has replaced. */
static void
expire_reboot(Site *site, const char *vm)
{
    long long revision = 0;
    json_t *head = read_head(site, &revision);
    json_t *record = read_record_since(site, 0, head, vm);
    const char *state = json_string_value(json_object_get(record, "state"));
    bool is_due =
        json_integer_value(json_object_get(record, "due")) == EXPIRED_DUE;
    /* Nothing is written when the tail, the list of changes since the snapshot
     * in the store entry "head", is full: the daemons empty the tail by
     * writing a snapshot. */
    if (state != NULL && strcmp(state, "rebooting") == 0 && !is_due &&
        json_array_size(json_object_get(head, "tail")) < MAX_TAIL_CHANGES) {
        json_object_set_new(record, "due", json_integer(EXPIRED_DUE));
        write_head(site, head, revision, vm, record);
    }
    json_decref(head);
    json_decref(record);
}

/* Guards against a maintenance wave that continues while the VMs that it
 * reboots do not return to service. */
static void
test_failing_reboots(void)
{
    Site site;
    char name[8];
    AqTime until = AqClock_ReadMonotonic() + WAVE_TIMEOUT_MS;
    site_start(&site);
    site_platform_faults(&site, "{\"failing_reboots\":1000}");
    start_wave(&site, SITE_MIN_SERVING);
    while (!is_wave_state(&site, 0, "stopped") &&
           AqClock_ReadMonotonic() < until) {
        check_budget(&site, 0, SITE_MIN_SERVING);
        for (int i = 0; i < SITE_ENDPOINTS; i++) {
            snprintf(name, sizeof(name), "vm%d", i);
            expire_reboot(&site, name);
        }
        site_wait_change(&site);
    }
    CU_ASSERT_TRUE(is_wave_state(&site, 0, "stopped"));
    json_t *waves =
        read_operators_json(&site, 0, "/admin/v1/state?kind=waves");
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(
                        json_object_get(waves, "w"), "failed")),
                    2);
    json_decref(waves);
    json_t *vms = read_operators_json(&site, 0, "/admin/v1/state?kind=vms");
    const char *vm;
    json_t *record;
    int serving = 0;
    int failed = 0;
    json_object_foreach(vms, vm, record)
    {
        const char *state =
            json_string_value(json_object_get(record, "state"));
        serving += state != NULL && strcmp(state, "serving") == 0;
        failed += state != NULL && strcmp(state, "failed") == 0;
    }
    json_decref(vms);
    CU_ASSERT_EQUAL(serving, SITE_ENDPOINTS - 2);
    CU_ASSERT_EQUAL(failed, 2);
    site_stop(&site);
}

/* ---- Planner ------------------------------------------------------------
 */

static int
find_planner(Site *site)
{
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    SiteResponse response;
    do {
        for (int i = 0; i < SITE_DAEMONS; i++) {
            site_get(site, i, "operators", "/admin/v1/status", &response);
            if (strstr(response.body, "\"planner\":true") != NULL) {
                return i;
            }
        }
    } while (AqClock_ReadMonotonic() < until);
    return -1;
}

/* Guards against a maintenance wave that ends when the daemon with the planner
 * is killed, and against VMs that the next planner reboots twice or leaves out
 * of service. */
static void
test_planner_killed(void)
{
    Site site;
    AqError error;
    site_start(&site);
    start_wave(&site, MIN_SERVING);
    int planner = find_planner(&site);
    CU_ASSERT_TRUE(planner >= 0);
    if (planner >= 0) {
        int reader = planner == 0 ? 1 : 0;
        CU_ASSERT_TRUE(wait_vm_out_of_service(&site, reader));
        CU_ASSERT_TRUE(
            AqProcess_Signal(site.daemons[planner], SIGKILL, &error));
        run_until_done(&site, 7U & ~(1U << planner), reader);
    }
    site_stop(&site);
}

const FaultTest wave_tests[] = {
    {"wave_load", test_load},
    {"wave_pause_abort", test_pause_abort},
    {"wave_failing_reboots", test_failing_reboots},
    {"wave_planner_killed", test_planner_killed},
    {NULL, NULL},
};
