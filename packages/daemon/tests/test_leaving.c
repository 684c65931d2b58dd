#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Tests of an endpoint that leaves service.  They guard against requests that
 * start too late on the endpoint, are cut off or are lost, whether a drain
 * intent, the platform's VM list or a response of the endpoint announces that
 * it leaves.  Design page, section 1.2, item 6. */

enum {
    MAX_NEW_WORK_DELAY_MS = 3000,
    MAX_LONG_REQUESTS = 40
};

typedef enum {
    LEAVE_BY_DRAIN,
    LEAVE_BY_VM_LIST,
    LEAVE_BY_RESPONSE
} LeaveMethod;

static void
set_endpoint_leaving(Site *site, const char *announce)
{
    char body[96];
    snprintf(body, sizeof(body), "{\"endpoint\":0,\"announce\":%s}", announce);
    json_decref(
        fault_control(site->endpoints, "POST", "/test/v1/leave", body));
}

static bool
is_listed_leaving(Site *site)
{
    char url[128];
    AqError error;
    json_t *vm;
    size_t i;
    bool result = false;
    snprintf(url, sizeof(url), "http://%s/v1/vms",
             AqProcess_Address(site->platform, "platform"));
    json_t *list = AqTestHttp_Json("GET", url, NULL, NULL, NULL, &error);
    json_array_foreach(json_object_get(list, "vms"), i, vm)
    {
        const char *id = json_string_value(json_object_get(vm, "id"));
        const char *state = json_string_value(json_object_get(vm, "state"));
        result = result ||
                 (strcmp(id, "vm0") == 0 && strcmp(state, "leaving") == 0);
    }
    json_decref(list);
    return result;
}

static void
leave_by_vm_list(Site *site)
{
    char body[256];
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    snprintf(body, sizeof(body),
             "{\"id\":\"vm0\",\"address\":\"%s\",\"rack\":\"r0\","
             "\"zone\":\"z0\",\"state\":\"leaving\"}",
             AqProcess_Address(site->endpoints, "endpoint0"));
    json_decref(fault_control(site->platform, "POST", "/test/v1/vms", body));
    while (!is_listed_leaving(site) && AqClock_ReadMonotonic() < until) {
        site_wait_change(site);
    }
    CU_ASSERT_TRUE(is_listed_leaving(site));
}

/* Makes endpoint 0 leave service; from then on the endpoint records the
 * requests that start on it. */
static void
leave(Site *site, LeaveMethod method)
{
    SiteResponse response;
    if (method == LEAVE_BY_DRAIN) {
        CU_ASSERT_EQUAL(
            site_intent(site, 1, "vm.drain", "{\"id\":\"vm0\"}", &response),
            200);
    }
    if (method == LEAVE_BY_VM_LIST) {
        leave_by_vm_list(site);
    }
    set_endpoint_leaving(site, method == LEAVE_BY_RESPONSE ? "true" : "false");
}

static void
check_new_work_delay(Site *site)
{
    json_t *runs = fault_runs(site);
    const json_t *endpoint =
        json_array_get(json_object_get(runs, "endpoints"), 0);
    json_t *late;
    size_t i;
    json_array_foreach(json_object_get(endpoint, "after_leave"), i, late)
    {
        char *text = json_dumps(late, JSON_COMPACT);
        fault_check(json_integer_value(json_object_get(late, "delay_ms")) <=
                        MAX_NEW_WORK_DELAY_MS,
                    "no new work on a leaving endpoint", text);
        free(text);
    }
    json_decref(runs);
}

/* Starts long requests until one of them runs at endpoint 0; returns the
 * number of requests started, at most MAX_LONG_REQUESTS. */
static int
start_long_requests(Site *site, SiteRequest *requests)
{
    char id[32];
    int n = 0;
    while (n < MAX_LONG_REQUESTS &&
           fault_endpoint_field(site, 0, "slots_in_use") < 1) {
        snprintf(id, sizeof(id), "n-long-%d", n);
        site_send_post(site, n % SITE_DAEMONS, "/work?service_ms=6000", id,
                       false, FAULT_WAIT_MS, &requests[n]);
        n++;
        CU_ASSERT_TRUE(site_wait_running(site, n, FAULT_WAIT_MS));
    }
    return n;
}

/* Guards against requests that start on an endpoint more than 3 s after the
 * endpoint began to leave service, requests that are cut off, and queued
 * requests that are lost with the endpoint. */
static void
run_method(LeaveMethod method)
{
    Site site;
    FaultLoad load;
    SiteRequest requests[MAX_LONG_REQUESTS];
    SiteResponse response;
    site_start(&site);
    int count = start_long_requests(&site, requests);
    CU_ASSERT_TRUE(fault_endpoint_field(&site, 0, "slots_in_use") >= 1);
    const FaultLoadOptions options = {.name = "leaving",
                                      .daemon_mask = 7,
                                      .path = "/work?service_ms=20",
                                      .rate_per_s = 80,
                                      .duration_s = 7,
                                      .timeout_ms = 20000,
                                      .non_idempotent_percent = 50};
    fault_load_start(&site, &options, &load);
    int before = fault_endpoint_field(&site, 0, "runs");
    CU_ASSERT_TRUE(fault_wait_endpoint(&site, 0, "runs", before + 5, 1000000,
                                       FAULT_WAIT_MS));
    leave(&site, method);
    for (int i = 0; i < count; i++) {
        site_finish(&requests[i], &response);
        fault_expect(&response, 200, "completed", "request in flight");
    }
    fault_load_finish(&load);
    fault_load_check_completed(&load);
    check_new_work_delay(&site);
    fault_check_at_most_once(&site);
    fault_load_clear(&load);
    site_stop(&site);
}

static void
test_drain(void)
{
    run_method(LEAVE_BY_DRAIN);
}

static void
test_vm_list(void)
{
    run_method(LEAVE_BY_VM_LIST);
}

static void
test_response(void)
{
    run_method(LEAVE_BY_RESPONSE);
}

const FaultTest leaving_tests[] = {
    {"leaving_drain", test_drain},
    {"leaving_list", test_vm_list},
    {"leaving_answer", test_response},
    {NULL, NULL},
};
