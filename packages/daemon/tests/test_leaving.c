#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* An endpoint that leaves, known in three ways.  Section 1.2, item 6. */

enum {
    NO_NEW_WORK_MS = 3000,
    MAX_LONG = 40
};

typedef enum {
    BY_DRAIN,
    BY_LIST,
    BY_ANSWER
} Way;

static void
mark_left(Site *site, const char *announce)
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
leave_by_list(Site *site)
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

/* Makes endpoint 0 leave; from then on it records its new requests. */
static void
leave(Site *site, Way way)
{
    SiteAnswer answer;
    if (way == BY_DRAIN) {
        CU_ASSERT_EQUAL(
            site_intent(site, 1, "vm.drain", "{\"id\":\"vm0\"}", &answer),
            200);
    }
    if (way == BY_LIST) {
        leave_by_list(site);
    }
    mark_left(site, way == BY_ANSWER ? "true" : "false");
}

static void
check_after_leave(Site *site)
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
                        NO_NEW_WORK_MS,
                    "no new work on a leaving endpoint", text);
        free(text);
    }
    json_decref(runs);
}

/* Starts long requests until one of them runs at endpoint 0. */
static int
start_long(Site *site, SiteRequest *requests)
{
    char id[32];
    int n = 0;
    while (n < MAX_LONG && fault_endpoint_field(site, 0, "slots_in_use") < 1) {
        snprintf(id, sizeof(id), "n-long-%d", n);
        site_send_as(site, n % SITE_DAEMONS, "/work?service_ms=6000", id,
                     false, FAULT_WAIT_MS, &requests[n]);
        n++;
        CU_ASSERT_TRUE(site_wait_running(site, n, FAULT_WAIT_MS));
    }
    return n;
}

/* Guards against new work on a leaving endpoint later than 3 s, cut requests
 * and queued work that is lost with the endpoint. */
static void
run(Way way)
{
    Site site;
    FaultLoad load;
    SiteRequest requests[MAX_LONG];
    SiteAnswer answer;
    site_start(&site);
    int count = start_long(&site, requests);
    CU_ASSERT_TRUE(fault_endpoint_field(&site, 0, "slots_in_use") >= 1);
    const FaultLoadOptions options = {.name = "leaving",
                                      .daemons = 7,
                                      .path = "/work?service_ms=20",
                                      .rate = 80,
                                      .seconds = 7,
                                      .timeout_ms = 20000,
                                      .non_idempotent = 50};
    fault_load_start(&site, &options, &load);
    int before = fault_endpoint_field(&site, 0, "runs");
    CU_ASSERT_TRUE(fault_wait_endpoint(&site, 0, "runs", before + 5, 1000000,
                                       FAULT_WAIT_MS));
    leave(&site, way);
    for (int i = 0; i < count; i++) {
        site_finish(&requests[i], &answer);
        fault_expect(&answer, 200, "completed", "a request in flight");
    }
    fault_load_finish(&load);
    fault_load_all_completed(&load);
    check_after_leave(&site);
    fault_none_twice(&site);
    fault_load_clear(&load);
    site_stop(&site);
}

static void
test_drain(void)
{
    run(BY_DRAIN);
}

static void
test_list(void)
{
    run(BY_LIST);
}

static void
test_answer(void)
{
    run(BY_ANSWER);
}

const FaultTest leaving_tests[] = {
    {"leaving_drain", test_drain},
    {"leaving_list", test_list},
    {"leaving_answer", test_answer},
    {NULL, NULL},
};
