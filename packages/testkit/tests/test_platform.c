#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_clock.h"
#include "testkit_cases.h"

static AqProcess *platform;

static int
set_up(void)
{
    platform = start_program(platform_program, "--port", "0", "--lag-ms", "20",
                             "--reboot-ms", "60", NULL);
    return platform == NULL;
}

static int
tear_down(void)
{
    return !stop_program(platform);
}

static const char *
store_url(const char *path)
{
    return url_of(platform, "platform", path);
}

/* Performs one HTTP call to the platform; returns the status of the response,
 * or 0 without a response. */
static long
call(const char *method, const char *path, const char *body,
     AqTestHttpReply *out)
{
    AqTestHttpCall call = {.method = method,
                           .url = store_url(path),
                           .body = body,
                           .size = body != NULL ? strlen(body) : 0};
    AqError error = {0};
    return AqTestHttp_Call(&call, out, &error) ? out->status : 0;
}

/* Returns the value of the header X-Consul-Index of a response. */
static uint64_t
index_of(const AqTestHttpReply *reply)
{
    char text[32] = "0";
    CU_ASSERT_TRUE(
        AqTestHttpReply_Header(reply, "X-Consul-Index", text, sizeof(text)));
    return strtoull(text, NULL, 10);
}

static uint64_t
read_index(const char *path)
{
    AqTestHttpReply reply = {0};
    call("GET", path, NULL, &reply);
    uint64_t index = index_of(&reply);
    AqTestHttpReply_Clear(&reply);
    return index;
}

/* Performs a PUT or DELETE on a key of the simulated store; returns whether
 * the store reports that the write took effect. */
static bool
write_key(const char *method, const char *path, const char *body)
{
    AqTestHttpReply reply = {0};
    CU_ASSERT_EQUAL(call(method, path, body, &reply), 200);
    bool done = strcmp(AqBuffer_Text(&reply.body), "true") == 0;
    CU_ASSERT_TRUE(done || strcmp(AqBuffer_Text(&reply.body), "false") == 0);
    AqTestHttpReply_Clear(&reply);
    return done;
}

/* Guards against a compare-and-swap that succeeds for two writers, and against
 * modification indexes that are reused after a delete. */
static void
test_compare_and_swap(void)
{
    char path[64];
    CU_ASSERT_TRUE(write_key("PUT", "/v1/kv/cas/a?cas=0", "1"));
    CU_ASSERT_FALSE(write_key("PUT", "/v1/kv/cas/a?cas=0", "2"));
    uint64_t first = read_index("/v1/kv/cas/a");
    snprintf(path, sizeof(path), "/v1/kv/cas/a?cas=%llu",
             (unsigned long long)first);
    CU_ASSERT_TRUE(write_key("PUT", path, "2"));
    CU_ASSERT_FALSE(write_key("PUT", path, "3"));
    CU_ASSERT_FALSE(write_key("DELETE", path, NULL));
    CU_ASSERT_TRUE(write_key("DELETE", "/v1/kv/cas/a", NULL));
    CU_ASSERT_FALSE(write_key("PUT", path, "4"));
    CU_ASSERT_TRUE(write_key("PUT", "/v1/kv/cas/a?cas=0", "5"));
    CU_ASSERT_TRUE(read_index("/v1/kv/cas/a") > first + 2);
}

/* Guards against read responses in a format that a Consul client cannot
 * parse. */
static void
test_read_format(void)
{
    AqTestHttpReply reply = {0};
    write_key("PUT", "/v1/kv/read/b", "two");
    write_key("PUT", "/v1/kv/read/a", "one");
    write_key("PUT", "/v1/kv/readiness", "");
    json_t *items = call_json("GET", store_url("/v1/kv/read/?recurse"), NULL);
    CU_ASSERT_EQUAL(json_array_size(items), 2);
    const json_t *item = json_array_get(items, 0);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(item, "Key")),
                           "read/a");
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(item, "Value")),
                           "b25l");
    CU_ASSERT_EQUAL(int_at(item, "ModifyIndex"),
                    (int64_t)read_index("/v1/kv/read/a"));
    json_decref(items);
    CU_ASSERT_TRUE(write_key("DELETE", "/v1/kv/read/?recurse", NULL));
    CU_ASSERT_EQUAL(call("GET", "/v1/kv/read/a", NULL, &reply), 404);
    AqTestHttpReply_Clear(&reply);
    CU_ASSERT_EQUAL(call("PUT", "/v1/kv/read/a?cas=x", "1", &reply), 400);
    AqTestHttpReply_Clear(&reply);
}

static AqTestHttpClient *
start_watch(const char *path)
{
    AqTestHttpClient *client = AqTestHttpClient_Create();
    AqTestHttpCall call = {.method = "GET", .url = store_url(path)};
    AqError error = {0};
    CU_ASSERT_TRUE_FATAL(AqTestHttpClient_Start(client, &call, &error));
    return client;
}

/* Returns the number of watches (blocking queries) that the platform has not
 * answered yet. */
static int64_t
watches_waiting(void)
{
    json_t *calls =
        call_json("GET", url_of(platform, "control", "/test/v1/calls"), NULL);
    int64_t waiting = int_at(calls, "watches_waiting");
    json_decref(calls);
    return waiting;
}

/* Waits for the response to a watch (blocking query) and destroys the client
 * that sent the watch; returns whether a response arrived. */
static bool
finish_watch(AqTestHttpClient *client, AqTestHttpReply *reply, AqError *error)
{
    bool ok = AqTestHttpClient_Finish(client, reply, error);
    AqTestHttpClient_Destroy(client);
    return ok;
}

/* Guards against a blocking query that returns without a change, misses a
 * change, or never ends. */
static void
test_blocking_query(void)
{
    char path[96];
    AqTestHttpReply reply = {0};
    AqError error = {0};
    write_key("PUT", "/v1/kv/watch/a", "1");
    uint64_t index = read_index("/v1/kv/watch/a");
    snprintf(path, sizeof(path), "/v1/kv/watch/a?index=%llu&wait=9s",
             (unsigned long long)index);
    AqTestHttpClient *client = start_watch(path);
    write_key("PUT", "/v1/kv/watch/other", "1");
    write_key("PUT", "/v1/kv/watch/a", "2");
    CU_ASSERT_TRUE(finish_watch(client, &reply, &error));
    CU_ASSERT_EQUAL(index_of(&reply), index + 2);
    AqTestHttpReply_Clear(&reply);
    snprintf(path, sizeof(path), "/v1/kv/watch/a?index=%llu&wait=10ms",
             (unsigned long long)index + 2);
    CU_ASSERT_EQUAL(call("GET", path, NULL, &reply), 200);
    CU_ASSERT_EQUAL(index_of(&reply), index + 2);
    AqTestHttpReply_Clear(&reply);
}

/* Guards against a watch that is answered at once in spite of the fault
 * delay_watches_ms, or with the state at the time of the change instead of the
 * latest state. */
static void
test_delayed_watch(void)
{
    char path[96];
    AqTestHttpReply reply = {0};
    AqError error = {0};
    write_key("PUT", "/v1/kv/late", "1");
    uint64_t index = read_index("/v1/kv/late");
    post_control(platform, "/test/v1/faults", "{\"delay_watches_ms\": 100}");
    snprintf(path, sizeof(path), "/v1/kv/late?index=%llu&wait=9s",
             (unsigned long long)index);
    AqTestHttpClient *client = start_watch(path);
    while (watches_waiting() == 0) {
    }
    AqTime start = AqClock_ReadMonotonic();
    write_key("PUT", "/v1/kv/late", "2");
    write_key("PUT", "/v1/kv/late", "3");
    CU_ASSERT_TRUE(finish_watch(client, &reply, &error));
    CU_ASSERT_TRUE(AqClock_ReadMonotonic() - start >= 100);
    CU_ASSERT_EQUAL(index_of(&reply), index + 2);
    AqTestHttpReply_Clear(&reply);
    post_control(platform, "/test/v1/faults", "{\"delay_watches_ms\": 0}");
}

/* Guards against a write that does not take effect when a fault suppresses its
 * response, and against a fault that suppresses more responses than
 * requested. */
static void
test_lost_reply(void)
{
    AqTestHttpReply reply = {0};
    post_control(platform, "/test/v1/faults", "{\"lose_replies\": 1}");
    CU_ASSERT_EQUAL(call("PUT", "/v1/kv/lost?cas=0", "x", &reply), 0);
    CU_ASSERT_EQUAL(call("GET", "/v1/kv/lost", NULL, &reply), 200);
    AqTestHttpReply_Clear(&reply);
    CU_ASSERT_FALSE(write_key("PUT", "/v1/kv/lost?cas=0", "y"));
    json_t *calls =
        call_json("GET", url_of(platform, "control", "/test/v1/calls"), NULL);
    CU_ASSERT_EQUAL(int_at(calls, "lost"), 1);
    json_decref(calls);
}

/* Guards against a simulated outage of the store that loses data, keeps
 * connections open, or cannot be ended. */
static void
test_store_down(void)
{
    AqTestHttpReply reply = {0};
    AqError error = {0};
    AqTestHttpCall get = {.method = "GET", .url = store_url("/v1/kv/down")};
    write_key("PUT", "/v1/kv/down", "x");
    post_control(platform, "/test/v1/faults", "{\"down\": \"503\"}");
    CU_ASSERT_EQUAL(call("GET", "/v1/kv/down", NULL, &reply), 503);
    AqTestHttpReply_Clear(&reply);
    post_control(platform, "/test/v1/faults", "{\"down\": \"none\"}");
    AqTestHttpClient *client =
        start_watch("/v1/kv/down?index=1000000&wait=9s");
    post_control(platform, "/test/v1/faults", "{\"down\": \"refused\"}");
    CU_ASSERT_FALSE(finish_watch(client, &reply, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_PROTOCOL);
    CU_ASSERT_FALSE(AqTestHttp_Call(&get, &reply, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_UNAVAILABLE);
    post_control(platform, "/test/v1/faults", "{\"down\": \"none\"}");
    CU_ASSERT_EQUAL(call("GET", "/v1/kv/down", NULL, &reply), 200);
    AqTestHttpReply_Clear(&reply);
}

/* Guards against a silenced store connection that still carries a response,
 * and against silence on store connections opened later. */
static void
test_store_silent(void)
{
    AqTestHttpReply reply = {0};
    AqError error = {0};
    AqTestHttpCall get = {.method = "GET", .url = store_url("/v1/kv/silent")};
    AqTestHttpClient *client = AqTestHttpClient_Create();
    CU_ASSERT_TRUE(AqTestHttpClient_Call(client, &get, &reply, &error));
    AqTestHttpReply_Clear(&reply);
    post_control(platform, "/test/v1/faults", "{\"silence_open\": true}");
    get.timeout_ms = 100;
    CU_ASSERT_FALSE(AqTestHttpClient_Call(client, &get, &reply, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_TIMEOUT);
    get.timeout_ms = 0;
    CU_ASSERT_TRUE(AqTestHttp_Call(&get, &reply, &error));
    CU_ASSERT_EQUAL(reply.status, 404);
    AqTestHttpReply_Clear(&reply);
    AqTestHttpClient_Destroy(client);
}

/* Guards against a slow store that responds at once, and against a write that
 * is dropped because its client closed the connection. */
static void
test_store_slow(void)
{
    AqTestHttpReply reply = {0};
    AqError error = {0};
    char path[96];
    AqTestHttpCall put = {.method = "PUT",
                          .url = store_url("/v1/kv/slow"),
                          .body = "x",
                          .size = 1};
    uint64_t index = read_index("/v1/kv/slow");
    post_control(platform, "/test/v1/faults", "{\"slow_ms\": 80}");
    AqTime start = AqClock_ReadMonotonic();
    AqTestHttpClient *client = AqTestHttpClient_Create();
    CU_ASSERT_TRUE(AqTestHttpClient_Start(client, &put, &error));
    AqTestHttpClient_Destroy(client);
    CU_ASSERT_EQUAL(call("GET", "/v1/kv/other", NULL, &reply), 404);
    CU_ASSERT_TRUE(AqClock_ReadMonotonic() - start >= 80);
    AqTestHttpReply_Clear(&reply);
    post_control(platform, "/test/v1/faults", "{\"slow_ms\": 0}");
    snprintf(path, sizeof(path), "/v1/kv/slow?index=%llu&wait=9s",
             (unsigned long long)index);
    CU_ASSERT_EQUAL(call("GET", path, NULL, &reply), 200);
    AqTestHttpReply_Clear(&reply);
}

/* Watches the VM list until the list shows a VM in the given state; returns
 * false when 50 reads did not show the state. */
static bool
wait_for_vm(const char *id, const char *state)
{
    int64_t index = 0;
    for (int attempt = 0; attempt < 50; attempt++) {
        char path[64];
        size_t i;
        json_t *vm;
        bool found = false;
        snprintf(path, sizeof(path), "/v1/vms?index=%lld&wait=5s",
                 (long long)index);
        json_t *list = call_json("GET", store_url(path), NULL);
        index = int_at(list, "index");
        json_array_foreach(json_object_get(list, "vms"), i, vm)
        {
            found = found ||
                    (strcmp(json_string_value(json_object_get(vm, "id")),
                            id) == 0 &&
                     strcmp(json_string_value(json_object_get(vm, "state")),
                            state) == 0);
        }
        json_decref(list);
        if (found) {
            return true;
        }
    }
    return false;
}

/* Guards against a second reboot for the same operation id, and against a
 * reboot that the VM list never shows. */
static void
test_reboot(void)
{
    post_control(platform, "/test/v1/vms",
                 "[{\"id\": \"v1\", \"rack\": \"r1\", \"zone\": \"z1\", "
                 "\"address\": \"127.0.0.1:1\"}]");
    CU_ASSERT_TRUE(wait_for_vm("v1", "live"));
    /* The VM stays down after the first reboot, so that the test cannot miss
     * the state "down". */
    post_control(platform, "/test/v1/faults", "{\"failing_reboots\": 1}");
    json_t *vm = call_json("PUT", store_url("/v1/vms/v1/reboot?op=0"), NULL);
    json_decref(vm);
    CU_ASSERT_TRUE(wait_for_vm("v1", "down"));
    vm = call_json("PUT", store_url("/v1/vms/v1/reboot?op=1"), NULL);
    json_decref(vm);
    CU_ASSERT_TRUE(wait_for_vm("v1", "live"));
    vm = call_json("PUT", store_url("/v1/vms/v1/reboot?op=1"), NULL);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(vm, "state")),
                           "live");
    json_decref(vm);
    AqTestHttpReply reply = {0};
    CU_ASSERT_EQUAL(call("PUT", "/v1/vms/none/reboot", NULL, &reply), 404);
    AqTestHttpReply_Clear(&reply);
}

/* Watches the task list until the list shows a task in the given state and,
 * with "usage", the resource usage of the task.  Returns false when 50 reads
 * did not show that. */
static bool
wait_for_task(const char *id, const char *state, bool usage)
{
    int64_t index = 0;
    for (int attempt = 0; attempt < 50; attempt++) {
        char path[64];
        size_t i;
        json_t *task;
        bool found = false;
        snprintf(path, sizeof(path), "/v1/tasks?index=%lld&wait=5s",
                 (long long)index);
        json_t *list = call_json("GET", store_url(path), NULL);
        index = int_at(list, "index");
        json_array_foreach(json_object_get(list, "tasks"), i, task)
        {
            const json_t *used = json_object_get(task, "usage");
            found = found ||
                    (strcmp(json_string_value(json_object_get(task, "id")),
                            id) == 0 &&
                     strcmp(json_string_value(json_object_get(task, "state")),
                            state) == 0 &&
                     (!usage || json_is_object(used)));
        }
        json_decref(list);
        if (found) {
            return true;
        }
    }
    return false;
}

#define TASK_BODY                                                             \
    "{\"worker\": \"w1\", \"lease_ms\": 9000, \"cores\": 40, "                \
    "\"memory_mb\": 10, \"run_ms\": 60000, \"job\": \"j\"}"
#define SHORT_TASK                                                            \
    "{\"worker\": \"w1\", \"lease_ms\": 9000, \"cores\": 1, "                 \
    "\"memory_mb\": 10, \"run_ms\": 10, \"job\": \"j\"}"
#define LAPSING_TASK                                                          \
    "{\"worker\": \"w1\", \"lease_ms\": 10, \"cores\": 1, "                   \
    "\"memory_mb\": 10, \"run_ms\": 60000, \"job\": \"j\"}"

/* Guards against a task that is started twice, runs without a lease, or starts
 * on a worker without enough free capacity. */
static void
test_tasks(void)
{
    AqTestHttpReply reply = {0};
    static const struct {
        const char *method;
        const char *path;
        const char *body;
        /* Expected HTTP status of the call; 0 for an entry whose body is
         * posted to the test interface to change a worker. */
        long status;
    } cases[] = {
        /* Worker w1 does not exist yet. */
        {"PUT", "/v1/tasks/none", TASK_BODY, 409},
        {"POST", "", "{\"id\": \"w1\", \"cores\": 64}", 0},
        {"PUT", "/v1/tasks/t1", TASK_BODY, 201},
        {"PUT", "/v1/tasks/t1", TASK_BODY, 200},
        {"PUT", "/v1/tasks/t1", SHORT_TASK, 409},
        /* Tasks t1 and t2 need 80 cores, but worker w1 has 64. */
        {"PUT", "/v1/tasks/t2", TASK_BODY, 409},
        {"PUT", "/v1/tasks/t3", SHORT_TASK, 201},
        {"PUT", "/v1/tasks/t4", LAPSING_TASK, 201},
        {"POST", "/v1/tasks/t1/renew", "{\"lease_ms\": 8000}", 200},
        {"POST", "/v1/tasks/t1/throttle", NULL, 200},
        {"POST", "/v1/tasks/t1/checkpoint", NULL, 200},
        /* Task t1 resumes from its checkpoint. */
        {"PUT", "/v1/tasks/t1", TASK_BODY, 201},
        {"POST", "/v1/tasks/t1/stop", NULL, 200},
        {"POST", "/v1/tasks/t1/stop", NULL, 409},
        {"POST", "/v1/tasks/t9/stop", NULL, 404},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (cases[i].status == 0) {
            post_control(platform, "/test/v1/vms", cases[i].body);
            continue;
        }
        CU_ASSERT_EQUAL(
            call(cases[i].method, cases[i].path, cases[i].body, &reply),
            cases[i].status);
        AqTestHttpReply_Clear(&reply);
    }
    CU_ASSERT_TRUE(wait_for_task("t3", "finished", true));
    CU_ASSERT_TRUE(wait_for_task("t4", "lapsed", true));
    CU_ASSERT_TRUE(wait_for_task("t1", "stopped", false));
}

void
add_platform_suite(void)
{
    CU_pSuite suite = CU_add_suite("platform", set_up, tear_down);
    CU_ADD_TEST(suite, test_compare_and_swap);
    CU_ADD_TEST(suite, test_read_format);
    CU_ADD_TEST(suite, test_blocking_query);
    CU_ADD_TEST(suite, test_delayed_watch);
    CU_ADD_TEST(suite, test_lost_reply);
    CU_ADD_TEST(suite, test_store_down);
    CU_ADD_TEST(suite, test_store_slow);
    CU_ADD_TEST(suite, test_store_silent);
    CU_ADD_TEST(suite, test_reboot);
    CU_ADD_TEST(suite, test_tasks);
}
