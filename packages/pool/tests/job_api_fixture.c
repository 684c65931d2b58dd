#include "job_api_fixture.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_platform.h"
#include "platform_samples.h"

enum {
    CALL_TIMEOUT_MS = 5000
};

static bool
is_current(void *context)
{
    (void)context;
    return true;
}

static bool
forward_request(void *context, const ForwardOrder *order)
{
    Fixture *fixture = context;
    if (!fixture->has_peer) {
        return false;
    }
    fixture->forward_count++;
    fixture->may_have_effect = order->may_have_effect;
    if (fixture->is_first_returned) {
        fixture->has_peer = false;
        order->done(order->context, false);
        return true;
    }
    AqExchange_Respond(order->exchange, 200, NULL, 0, "{}", 2);
    order->done(order->context, true);
    return true;
}

void
set_up(Fixture *fixture)
{
    static const JobApiOps ops = {is_current, forward_request};
    AqError error;
    AqHttpServerConfig config = {.address = "127.0.0.1",
                                 .max_body = 4096,
                                 .max_connections = 4,
                                 .idle_timeout_s = 5};
    memset(fixture, 0, sizeof(*fixture));
    fixture->deadline_ms = DEADLINE_MS;
    fixture->body = sample_job;
    fixture->fake = fake_store_create();
    fixture->node.store = fake_store_interface(fixture->fake);
    fixture->node.loop = AqLoop_Create(&error);
    fixture->queue = (AqQueueConfig){
        .name = "q", .host = "127.0.0.1", .prefix = "/q/", .pool = "p"};
    fixture->node.site = (AqSiteConfig){
        .version = 1, .queues = &fixture->queue, .queue_count = 1};
    NodeMetrics *metrics = &fixture->node.metrics;
    metrics->all = AqMetrics_Create();
    metrics->accept_ms = AqMetrics_Histogram(metrics->all, "accept", "");
    metrics->state_ms = AqMetrics_Histogram(metrics->all, "state", "");
    metrics->stored = AqMetrics_Counter(metrics->all, "stored", "");
    metrics->refused = AqMetrics_Counter(metrics->all, "refused", "");
    metrics->refused_load = AqMetrics_Counter(metrics->all, "load", "");
    metrics->unknown = AqMetrics_Counter(metrics->all, "unknown", "");
    metrics->keys_refused = AqMetrics_Counter(metrics->all, "keys", "");
    fixture->job_api = job_api_create(&fixture->node, &ops, fixture);
    fixture->client = AqHttpClient_Create(fixture->node.loop, &error);
    fixture->server = AqHttpServer_Create(
        fixture->node.loop, &config, job_api_handle, fixture->job_api, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
}

void
free_site_index(Fixture *fixture)
{
    AqSiteConfig site = {.index = fixture->node.site.index};
    AqSiteConfig_Clear(&site);
    fixture->node.site.index = NULL;
}

void
tear_down(Fixture *fixture)
{
    free_site_index(fixture);
    AqHttpClient_Close(fixture->client);
    AqHttpServer_Destroy(fixture->server);
    AqHttpClient_Destroy(fixture->client);
    job_api_destroy(fixture->job_api);
    AqMetrics_Destroy(fixture->node.metrics.all);
    fake_store_destroy(fixture->fake);
    recent_submissions_clear(&fixture->node.recent_submissions);
    AqLoop_Destroy(fixture->node.loop);
}

static void
on_reply(void *context, const AqHttpReply *reply)
{
    Fixture *fixture = context;
    fixture->response_count++;
    bool has_status = reply->result == AQ_HTTP_DONE;
    const char *seconds =
        has_status ? AqHttpReply_Header(reply, "Retry-After") : NULL;
    fixture->status = has_status ? reply->status : 0;
    snprintf(fixture->response, sizeof(fixture->response), "%.*s",
             has_status ? (int)reply->size : 0,
             has_status && reply->size > 0 ? reply->body : "");
    fixture->retry_after_s = seconds != NULL ? atoi(seconds) : 0;
}

void
send_to(Fixture *fixture, const char *method, const char *path)
{
    char deadline[64];
    const char *headers[] = {deadline, fixture->headers[0],
                             fixture->headers[1], NULL};
    char url[64];
    bool has_body = strcmp(method, "POST") == 0;
    snprintf(deadline, sizeof(deadline), "%s: %lld", AqPlatform_DeadlineHeader,
             (long long)fixture->deadline_ms);
    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
             AqHttpServer_Port(fixture->server), path);
    AqHttpRequest request = {.method = method,
                             .url = url,
                             .headers = headers,
                             .body = fixture->body,
                             .size = has_body ? strlen(fixture->body) : 0,
                             .has_body = has_body,
                             .timeout_ms = CALL_TIMEOUT_MS,
                             .connect_timeout_ms = CALL_TIMEOUT_MS,
                             .max_response_bytes = 4096};
    AqHttpClient_Start(fixture->client, &request, on_reply, fixture);
}

void
send_request(Fixture *fixture, const char *method)
{
    send_to(fixture, method, "/q/ab12");
}

void
run(Fixture *fixture)
{
    unsigned response_count = fixture->response_count;
    while (fake_store_pending_count(fixture->fake) == 0 &&
           fixture->response_count == response_count) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
}

void
run_to_response(Fixture *fixture)
{
    while (fixture->response_count == 0) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    }
}

int
call(Fixture *fixture, const char *method, const char *key)
{
    unsigned response_count = fixture->response_count;
    char header[64];
    snprintf(header, sizeof(header), "%s: %s", AqPlatform_KeyHeader,
             key != NULL ? key : "");
    fixture->headers[0] = key != NULL ? header : NULL;
    send_request(fixture, method);
    while (fixture->response_count == response_count) {
        run(fixture);
        fake_store_reply_all(fixture->fake);
    }
    return fixture->status;
}
