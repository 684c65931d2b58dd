#include "fault_site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_clock.h"

const char *fault_caller_program;

bool
fault_check(bool holds, const char *what, const char *seen)
{
    if (!holds) {
        printf("failed: %s: %s\n", what, seen);
    }
    CU_ASSERT_TRUE(holds);
    return holds;
}

void
fault_expect(const SiteResponse *response, long status, const char *outcome,
             const char *what)
{
    char seen[4400];
    snprintf(seen, sizeof(seen), "expected %ld %s, got %ld %s: %s", status,
             outcome, response->status, response->outcome, response->body);
    fault_check(response->status == status &&
                    strcmp(response->outcome, outcome) == 0,
                what, seen);
}

/* ---- Stand-ins ----------------------------------------------------------
 */

json_t *
fault_control(const AqProcess *process, const char *method, const char *path,
              const char *json)
{
    char url[256];
    AqError error;
    json_t *body = json != NULL ? json_loads(json, 0, NULL) : NULL;
    snprintf(url, sizeof(url), "http://%s%s",
             AqProcess_Address(process, "control"), path);
    json_t *reply = AqTestHttp_Json(method, url, NULL, body, NULL, &error);
    json_decref(body);
    if (reply == NULL) {
        fprintf(stderr, "%s: %s\n", url, error.message);
        exit(1);
    }
    return reply;
}

json_t *
fault_runs(Site *site)
{
    return fault_control(site->endpoints, "GET", "/test/v1/runs?ids", NULL);
}

static int
aggregate_endpoint_field(Site *site, int endpoint, const char *field,
                         bool largest)
{
    json_t *runs =
        fault_control(site->endpoints, "GET", "/test/v1/runs", NULL);
    json_t *value;
    size_t i;
    int result = 0;
    json_array_foreach(json_object_get(runs, "endpoints"), i, value)
    {
        int n = (int)json_integer_value(json_object_get(value, field));
        if (endpoint >= 0 && (int)i != endpoint) {
            continue;
        }
        if (!largest) {
            result += n;
        }
        else if (n > result) {
            result = n;
        }
    }
    json_decref(runs);
    return result;
}

int
fault_endpoint_sum(Site *site, const char *field)
{
    return aggregate_endpoint_field(site, -1, field, false);
}

int
fault_endpoint_max(Site *site, const char *field)
{
    return aggregate_endpoint_field(site, -1, field, true);
}

int
fault_endpoint_field(Site *site, int endpoint, const char *field)
{
    return aggregate_endpoint_field(site, endpoint, field, false);
}

bool
fault_wait_endpoint(Site *site, int endpoint, const char *field, int low,
                    int high, int ms)
{
    AqTime until = AqClock_ReadMonotonic() + ms;
    do {
        int n = aggregate_endpoint_field(site, endpoint, field, false);
        if (n >= low && n <= high) {
            return true;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return false;
}

int
fault_count_calls(Site *site, const char *kind)
{
    json_t *calls =
        fault_control(site->platform, "GET", "/test/v1/calls", NULL);
    int n = (int)json_integer_value(json_object_get(calls, kind));
    json_decref(calls);
    return n;
}

bool
fault_wait_calls(Site *site, const char *kind, int above, int ms)
{
    AqTime until = AqClock_ReadMonotonic() + ms;
    do {
        if (fault_count_calls(site, kind) > above) {
            return true;
        }
    } while (AqClock_ReadMonotonic() < until);
    return false;
}

/* ---- Daemons ------------------------------------------------------------
 */

static json_t *
read_vm_records(Site *site, int daemon)
{
    SiteResponse response;
    site_get(site, daemon, "operators", "/admin/v1/state?kind=vms", &response);
    return response.status == 200 ? json_loads(response.body, 0, NULL) : NULL;
}

void
fault_vm_state(Site *site, int daemon, int vm, char state[24])
{
    char name[16];
    json_t *vms = read_vm_records(site, daemon);
    snprintf(name, sizeof(name), "vm%d", vm);
    const char *text = json_string_value(
        json_object_get(json_object_get(vms, name), "state"));
    snprintf(state, 24, "%s", text != NULL ? text : "");
    json_decref(vms);
}

int
fault_serving(Site *site, int daemon)
{
    json_t *vms = read_vm_records(site, daemon);
    const char *name;
    json_t *record;
    int count = vms != NULL ? 0 : -1;
    json_object_foreach(vms, name, record)
    {
        const char *state =
            json_string_value(json_object_get(record, "state"));
        count += state != NULL && strcmp(state, "serving") == 0;
    }
    json_decref(vms);
    return count;
}

/* ---- Load ---------------------------------------------------------------
 */

void
fault_load_start(Site *site, const FaultLoadOptions *options, FaultLoad *load)
{
    const char *argv[32];
    char numbers[4][16];
    size_t n = 0;
    AqError error;
    memset(load, 0, sizeof(*load));
    snprintf(load->output, sizeof(load->output), "%s/%s.json", site->directory,
             options->name);
    snprintf(load->log, sizeof(load->log), "%s/%s.log", site->directory,
             options->name);
    const int values[] = {options->rate_per_s, options->duration_s,
                          options->timeout_ms,
                          options->non_idempotent_percent};
    static const char *const names[] = {"--rate", "--seconds", "--timeout-ms",
                                        "--non-idempotent"};
    argv[n++] = fault_caller_program;
    for (int i = 0; i < 4; i++) {
        snprintf(numbers[i], sizeof(numbers[i]), "%d", values[i]);
        argv[n++] = names[i];
        argv[n++] = numbers[i];
    }
    for (int i = 0; i < SITE_DAEMONS; i++) {
        if (options->daemon_mask & (1U << i)) {
            argv[n++] = "--daemon";
            argv[n++] = AqProcess_Address(site->daemons[i], "callers");
        }
    }
    const char *const rest[] = {
        "--service",   "track",    "--name",     options->name, "--path",
        options->path, "--output", load->output, "--repeat",    "0"};
    for (size_t i = 0; i < sizeof(rest) / sizeof(rest[0]); i++) {
        argv[n++] = rest[i];
    }
    argv[n] = NULL;
    load->process = AqProcess_Spawn(argv, load->log, &error);
    if (load->process == NULL ||
        !AqProcess_WaitReady(load->process, FAULT_WAIT_MS, &error)) {
        fprintf(stderr, "aq-caller: %s\n", error.message);
        exit(1);
    }
}

int
fault_load_current(const FaultLoad *load, const char *field)
{
    json_t *summary =
        fault_control(load->process, "GET", "/test/v1/summary", NULL);
    int n = (int)json_integer_value(json_object_get(summary, field));
    json_decref(summary);
    return n;
}

void
fault_load_finish(FaultLoad *load)
{
    int status = -1;
    AqError error;
    fault_check(AqProcess_WaitExit(load->process, 4 * FAULT_WAIT_MS, &status,
                                   &error) &&
                    status == 0,
                "the load ends with status 0", load->output);
    load->summary = json_load_file(load->output, 0, NULL);
    fault_check(load->summary != NULL, "the load has a summary", load->output);
}

int
fault_load_count(const FaultLoad *load, const char *field)
{
    return (int)json_integer_value(json_object_get(load->summary, field));
}

void
fault_load_clear(FaultLoad *load)
{
    AqProcess_Destroy(load->process);
    json_decref(load->summary);
    unlink(load->output);
    unlink(load->log);
}

void
fault_load_check_completed(const FaultLoad *load)
{
    char *text = json_dumps(load->summary, JSON_COMPACT);
    int sent = fault_load_count(load, "sent");
    fault_check(sent > 0 && fault_load_count(load, "completed") == sent &&
                    fault_load_count(load, "wrong") == 0,
                "every request completes", text);
    free(text);
}

void
fault_check_at_most_once(Site *site)
{
    json_t *runs = fault_runs(site);
    const char *id;
    json_t *count;
    json_object_foreach(json_object_get(runs, "more_than_once"), id, count)
    {
        /* Ids that begin with "i-" belong to idempotent requests, which may
         * run more than once. */
        fault_check(strncmp(id, "i-", 2) == 0, "at most one run", id);
    }
    json_decref(runs);
}
