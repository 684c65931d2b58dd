#include "site.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_clock.h"

#define TOKEN "operator-token-of-tests"

enum {
    START_TIMEOUT_MS = 20000
};

SitePrograms site_programs;

static void
fail(const char *what, const AqError *error)
{
    fprintf(stderr, "site: %s: %s\n", what,
            error != NULL ? error->message : "");
    exit(1);
}

/* ---- Processes ------------------------------------------------------------
 */

static AqProcess *
spawn(const Site *site, const char *const *argv, const char *name)
{
    char log[128];
    AqError error;
    snprintf(log, sizeof(log), "%s/%s.log", site->directory, name);
    AqProcess *process = AqProcess_Spawn(argv, log, &error);
    if (process == NULL ||
        !AqProcess_WaitReady(process, START_TIMEOUT_MS, &error)) {
        fail(name, &error);
    }
    return process;
}

static void
write_seeds(const Site *site, int self, FILE *file)
{
    const char *comma = "";
    fprintf(file, "seeds = [");
    for (int i = 0; i < SITE_DAEMONS; i++) {
        if (i != self && site->daemons[i] != NULL) {
            fprintf(file, "%s\"%s\"", comma,
                    AqProcess_Address(site->daemons[i], "peers"));
            comma = ", ";
        }
    }
    fprintf(file, "]\n");
}

void
site_start_daemon(Site *site, int i, int peer_port)
{
    char path[128];
    char name[16];
    snprintf(name, sizeof(name), "entry%d", i);
    snprintf(path, sizeof(path), "%s/%s.toml", site->directory, name);
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        fail(path, NULL);
        return;
    }
    fprintf(file,
            "[node]\nid = \"%s\"\nzone = \"z%d\"\n[callers]\nport = 0\n"
            "[operators]\nport = 0\ntoken = \"" TOKEN "\"\n"
            "[store]\nurl = \"http://%s\"\ntimeout_ms = 500\n"
            "[stop]\nbalancer_wait_ms = 200\n"
            "[peers]\nport = %d\nsecret = \"secret-of-the-tests\"\n",
            name, i, AqProcess_Address(site->platform, "platform"), peer_port);
    if (site->advertise[i][0] != '\0') {
        fprintf(file, "advertise = \"%s\"\n", site->advertise[i]);
    }
    write_seeds(site, i, file);
    fclose(file);
    const char *const argv[] = {site_programs.daemon, "--settings", path,
                                NULL};
    AqProcess_Destroy(site->daemons[i]);
    site->daemons[i] = NULL;
    site->daemons[i] = spawn(site, argv, name);
    if (site->on_started != NULL) {
        site->on_started(site, i);
    }
}

static void
register_vms(Site *site)
{
    char url[128];
    AqError error;
    json_t *vms = json_array();
    for (int i = 0; i < SITE_ENDPOINTS; i++) {
        char name[24];
        char rack[16];
        char endpoint[24];
        snprintf(name, sizeof(name), "vm%d", i);
        snprintf(rack, sizeof(rack), "r%d", i / 2);
        snprintf(endpoint, sizeof(endpoint), "endpoint%d", i);
        json_array_append_new(
            vms,
            json_pack("{s:s,s:s,s:s,s:s,s:i,s:i}", "id", name, "address",
                      AqProcess_Address(site->endpoints, endpoint), "rack",
                      rack, "zone", "z0", "cores", 8, "memory_mb", 8192));
    }
    snprintf(url, sizeof(url), "http://%s/test/v1/vms",
             AqProcess_Address(site->platform, "control"));
    json_t *reply = AqTestHttp_Json("POST", url, NULL, vms, NULL, &error);
    if (reply == NULL) {
        fail(url, &error);
    }
    json_decref(reply);
    json_decref(vms);
}

static void
configure_pool(Site *site)
{
    SiteResponse response;
    char args[256];
    snprintf(args, sizeof(args), "{\"name\":\"track\",\"min_serving\":%d}",
             SITE_MIN_SERVING);
    if (site_intent(site, 0, "pool.set", args, &response) != 200) {
        fail(response.body, NULL);
    }
    for (int i = 0; i < SITE_ENDPOINTS; i++) {
        char endpoint[24];
        snprintf(endpoint, sizeof(endpoint), "endpoint%d", i);
        snprintf(args, sizeof(args),
                 "{\"id\":\"vm%d\",\"address\":\"%s\",\"rack\":\"r%d\","
                 "\"zone\":\"z0\",\"pool\":\"track\"}",
                 i, AqProcess_Address(site->endpoints, endpoint), i / 2);
        if (site_intent(site, 0, "vm.set", args, &response) != 200) {
            fail(response.body, NULL);
        }
    }
}

static bool
wait_all_serving(Site *site)
{
    char text[48];
    snprintf(text, sizeof(text), "\"serving\":%d", SITE_ENDPOINTS);
    return site_wait_text(site, 0, "/admin/v1/state?kind=pools", text,
                          START_TIMEOUT_MS);
}

void
site_start(Site *site)
{
    memset(site, 0, sizeof(*site));
    site_start_prepared(site);
}

void
site_start_prepared(Site *site)
{
    strcpy(site->directory, "site-XXXXXX");
    if (mkdtemp(site->directory) == NULL) {
        fail(strerror(errno), NULL);
    }
    const char *const platform[] = {site_programs.platform, "--lag-ms=200",
                                    "--reboot-ms=200", NULL};
    const char *slots =
        site->endpoint_slots != NULL ? site->endpoint_slots : "8";
    const char *const endpoints[] = {site_programs.endpoint,
                                     "--count=4",
                                     "--service-ms=5",
                                     "--slots",
                                     slots,
                                     NULL};
    site->platform = spawn(site, platform, "platform");
    site->endpoints = spawn(site, endpoints, "endpoints");
    for (int i = 0; i < SITE_DAEMONS; i++) {
        site_start_daemon(site, i, 0);
    }
    for (int i = 0; i < SITE_DAEMONS; i++) {
        if (!site_wait_status(site, i, "callers", "/readyz", 200,
                              START_TIMEOUT_MS)) {
            fail("a daemon does not become ready", NULL);
        }
    }
    register_vms(site);
    configure_pool(site);
    if (!wait_all_serving(site)) {
        fail("not all VMs of the pool serve", NULL);
    }
}

static void
remove_files(const Site *site)
{
    static const char *const names[] = {
        "platform.log", "endpoints.log", "entry0.log",  "entry1.log",
        "entry2.log",   "entry0.toml",   "entry1.toml", "entry2.toml"};
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        char path[128];
        snprintf(path, sizeof(path), "%s/%s", site->directory, names[i]);
        unlink(path);
    }
    rmdir(site->directory);
}

void
site_stop(Site *site)
{
    for (int i = 0; i < SITE_DAEMONS; i++) {
        AqProcess_Destroy(site->daemons[i]);
    }
    AqProcess_Destroy(site->endpoints);
    AqProcess_Destroy(site->platform);
    remove_files(site);
}

/* ---- Calls ----------------------------------------------------------------
 */

static void
copy_reply(const AqTestHttpReply *reply, SiteResponse *response)
{
    response->status = reply->status;
    if (!AqTestHttpReply_Header(reply, "Aq-Outcome", response->outcome,
                                sizeof(response->outcome))) {
        response->outcome[0] = '\0';
    }
    snprintf(response->body, sizeof(response->body), "%s",
             AqBuffer_Text(&reply->body));
}

void
site_get(Site *site, int daemon, const char *listener, const char *path,
         SiteResponse *response)
{
    static const char *const headers[] = {"Authorization: Bearer " TOKEN,
                                          NULL};
    char url[256];
    AqError error;
    AqTestHttpReply reply = {0};
    AqTestHttpCall call = {
        .method = "GET", .url = url, .headers = headers, .timeout_ms = 2000};
    memset(response, 0, sizeof(*response));
    snprintf(url, sizeof(url), "http://%s%s",
             AqProcess_Address(site->daemons[daemon], listener), path);
    if (AqTestHttp_Call(&call, &reply, &error)) {
        copy_reply(&reply, response);
    }
    AqTestHttpReply_Clear(&reply);
}

static void
start_request(Site *site, int daemon, const char *path, const char *id,
              const char *idempotent, int timeout_ms, SiteRequest *request)
{
    AqError error;
    size_t n = 0;
    memset(request, 0, sizeof(*request));
    snprintf(request->url, sizeof(request->url),
             "http://%s/v1/services/track%s",
             AqProcess_Address(site->daemons[daemon], "callers"), path);
    snprintf(request->timeout, sizeof(request->timeout), "Aq-Timeout-Ms: %d",
             timeout_ms);
    request->headers[n++] = request->timeout;
    if (id != NULL) {
        snprintf(request->id, sizeof(request->id), "Aq-Request-Id: %s", id);
        request->headers[n++] = request->id;
        request->headers[n++] = idempotent;
    }
    AqTestHttpCall call = {.method = id != NULL ? "POST" : "GET",
                           .url = request->url,
                           .headers = request->headers,
                           .body = id != NULL ? "x" : NULL,
                           .size = id != NULL ? 1 : 0,
                           .timeout_ms = timeout_ms + 5000};
    request->client = AqTestHttpClient_Create();
    request->is_started =
        AqTestHttpClient_Start(request->client, &call, &error);
}

void
site_send(Site *site, int daemon, const char *path, const char *id,
          int timeout_ms, SiteRequest *request)
{
    start_request(site, daemon, path, id, NULL, timeout_ms, request);
}

void
site_send_post(Site *site, int daemon, const char *path, const char *id,
               bool idempotent, int timeout_ms, SiteRequest *request)
{
    start_request(site, daemon, path, id,
                  idempotent ? "Aq-Idempotent: true" : "Aq-Idempotent: false",
                  timeout_ms, request);
}

void
site_finish(SiteRequest *request, SiteResponse *response)
{
    AqError error;
    AqTestHttpReply reply = {0};
    memset(response, 0, sizeof(*response));
    if (request->is_started &&
        AqTestHttpClient_Finish(request->client, &reply, &error)) {
        copy_reply(&reply, response);
    }
    AqTestHttpReply_Clear(&reply);
    AqTestHttpClient_Destroy(request->client);
}

void
site_call(Site *site, int daemon, const char *path, const char *id,
          SiteResponse *response)
{
    SiteRequest request;
    site_send(site, daemon, path, id, 5000, &request);
    site_finish(&request, response);
}

void
site_intent_send(Site *site, int daemon, const char *op, const char *kind,
                 const char *args, SiteIntent *intent)
{
    static const char *const headers[] = {"Authorization: Bearer " TOKEN,
                                          NULL};
    AqError error;
    snprintf(intent->url, sizeof(intent->url), "http://%s/admin/v1/intents",
             AqProcess_Address(site->daemons[daemon], "operators"));
    snprintf(intent->body, sizeof(intent->body),
             "{\"op\":\"%s\",\"kind\":\"%s\",\"args\":%s}", op, kind, args);
    AqTestHttpCall call = {.method = "POST",
                           .url = intent->url,
                           .headers = headers,
                           .body = intent->body,
                           .size = strlen(intent->body)};
    intent->client = AqTestHttpClient_Create();
    intent->is_started = AqTestHttpClient_Start(intent->client, &call, &error);
}

long
site_intent_finish(SiteIntent *intent, SiteResponse *response)
{
    AqError error;
    AqTestHttpReply reply = {0};
    memset(response, 0, sizeof(*response));
    if (intent->is_started &&
        AqTestHttpClient_Finish(intent->client, &reply, &error)) {
        copy_reply(&reply, response);
    }
    AqTestHttpReply_Clear(&reply);
    AqTestHttpClient_Destroy(intent->client);
    return response->status;
}

long
site_intent(Site *site, int daemon, const char *kind, const char *args,
            SiteResponse *response)
{
    SiteIntent intent;
    char op[32];
    snprintf(op, sizeof(op), "test-%d", ++site->op_count);
    site_intent_send(site, daemon, op, kind, args, &intent);
    return site_intent_finish(&intent, response);
}

static json_t *
call_control(const AqProcess *process, const char *method, const char *path,
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
        fail(url, &error);
    }
    return reply;
}

void
site_platform_faults(Site *site, const char *json)
{
    json_decref(call_control(site->platform, "POST", "/test/v1/faults", json));
}

void
site_endpoint_faults(Site *site, const char *json)
{
    json_decref(
        call_control(site->endpoints, "POST", "/test/v1/faults", json));
}

int
site_count_keys(Site *site, const char *prefix)
{
    char url[160];
    AqError error;
    snprintf(url, sizeof(url), "http://%s/v1/kv/%s?recurse=true",
             AqProcess_Address(site->platform, "platform"), prefix);
    json_t *items = AqTestHttp_Json("GET", url, NULL, NULL, NULL, &error);
    int count = (int)json_array_size(items);
    json_decref(items);
    return count;
}

int
site_runs(Site *site, const char *id)
{
    json_t *runs =
        call_control(site->endpoints, "GET", "/test/v1/runs?ids", NULL);
    const json_t *counts = json_object_get(runs, "counts");
    int count = (int)json_integer_value(json_object_get(counts, id));
    json_decref(runs);
    return count;
}

int
site_running_requests(Site *site)
{
    json_t *runs = call_control(site->endpoints, "GET", "/test/v1/runs", NULL);
    json_t *endpoint;
    size_t i;
    int count = 0;
    json_array_foreach(json_object_get(runs, "endpoints"), i, endpoint)
    {
        count +=
            (int)json_integer_value(json_object_get(endpoint, "slots_in_use"));
    }
    json_decref(runs);
    return count;
}

/* ---- Waiting --------------------------------------------------------------
 */

void
site_wait_change(Site *site)
{
    char url[160];
    char index[32];
    AqError error;
    AqTestHttpReply reply = {0};
    AqTestHttpCall call = {.method = "GET", .url = url, .timeout_ms = 1000};
    snprintf(
        url, sizeof(url), "http://%s/v1/kv/aq/fleet/head?index=%lld&wait=50ms",
        AqProcess_Address(site->platform, "platform"), site->head_revision);
    if (AqTestHttp_Call(&call, &reply, &error) &&
        AqTestHttpReply_Header(&reply, "X-Consul-Index", index,
                               sizeof(index))) {
        site->head_revision = atoll(index);
    }
    AqTestHttpReply_Clear(&reply);
}

bool
site_wait_status(Site *site, int daemon, const char *listener,
                 const char *path, long status, int ms)
{
    AqTime until = AqClock_ReadMonotonic() + ms;
    SiteResponse response;
    do {
        site_get(site, daemon, listener, path, &response);
        if (response.status == status) {
            return true;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return false;
}

bool
site_wait_text(Site *site, int daemon, const char *path, const char *text,
               int ms)
{
    AqTime until = AqClock_ReadMonotonic() + ms;
    SiteResponse response;
    do {
        site_get(site, daemon, "operators", path, &response);
        if (strstr(response.body, text) != NULL) {
            return true;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return false;
}

bool
site_wait_running(Site *site, int count, int ms)
{
    AqTime until = AqClock_ReadMonotonic() + ms;
    do {
        if (site_running_requests(site) == count) {
            return true;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return false;
}
