#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "aq_platform.h"
#include "node_metrics.h"
#include "node_private.h"

enum {
    MAX_JOB_BYTES = 262144,
    IDLE_TIMEOUT_S = 30,
    /* This node's copy of the configuration counts as out of date once the
     * store's last reply to a watch of the configuration is this old; a watch
     * returns at least every 2 s. */
    CONFIG_MAX_AGE_MS = 4000
};

bool
node_is_current(void *context)
{
    const AqNode *node = context;
    AqTime last_reply_at = prefix_view_last_reply_at(node->operator_view);
    const AqLoop *loop = node->context.loop;
    /* After a pause a reply of before it, which is read only now, shows
     * nothing. */
    return node->context.site.version > 0 && last_reply_at != AQ_TIME_NEVER &&
           AqLoop_Now(loop) - last_reply_at < CONFIG_MAX_AGE_MS &&
           prefix_view_confirmed_at(node->operator_view) >=
               AqLoop_ResumedAt(loop);
}

static bool
is_ready(AqNode *node)
{
    bool ready = !node->context.is_stopping && node_is_current(node) &&
                 member_is_connected(node->member);
    if (ready != node->was_ready) {
        node->was_ready = ready;
        AqLog_Event(AQ_LOG_INFO, ready ? "ready" : "not_ready",
                    "stopping=%d config=%lld store=%d",
                    node->context.is_stopping,
                    (long long)node->context.site.version,
                    member_is_connected(node->member));
    }
    return ready;
}

static void
handle_readiness(void *context, AqExchange *exchange)
{
    AqNode *node = context;
    if (strcmp(AqExchange_Path(exchange), AqPlatform_ReadyPath) != 0) {
        AqExchange_Respond(exchange, 404, NULL, 0, "", 0);
        return;
    }
    AqExchange_Respond(exchange, is_ready(node) ? 200 : 503, NULL, 0, "", 0);
}

static void
handle_metrics(void *context, AqExchange *exchange)
{
    AqNode *node = context;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    uint64_t resent;
    uint64_t interrupted;
    AqBuffer out;
    AqTime now = AqLoop_Now(node->context.loop);
    AqBuffer_Init(&out);
    AqMetrics_Write(node->context.metrics.all, &out);
    AqBuffer_Printf(&out, "aq_config_version %lld\n",
                    (long long)node->context.site.version);
    AqBuffer_Printf(&out, "aq_ready %d\n", is_ready(node));
    AqBuffer_Printf(&out, "aq_loop_longest_stall_ms %lld\n",
                    (long long)AqLoop_LongestStall(node->context.loop));
    AqBuffer_Printf(&out, "aq_loop_busy_ms_total %lld\n",
                    (long long)AqLoop_BusyTime(node->context.loop));
    AqBuffer_Printf(&out, "aq_carriers_connected %zu\n",
                    carrier_duty_connected(node->carriers));
    AqBuffer_Printf(
        &out, "aq_store_calls_total %llu\n",
        (unsigned long long)AqPlatformStore_Calls(node->context.store));
    AqHttpClient_GetDisturbed(node->context.http, &resent, &interrupted);
    AqBuffer_Printf(&out, "aq_http_requests_resent_total %llu\n",
                    (unsigned long long)resent);
    AqBuffer_Printf(&out, "aq_http_requests_interrupted_total %llu\n",
                    (unsigned long long)interrupted);
    AqBuffer_Printf(&out, "aq_log_lines_dropped_total %lu\n", AqLog_Dropped());
    g_hash_table_iter_init(&iter, node->owners);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        AqScheduler *s =
            pool_owner_scheduler(((const OwnedPool *)value)->owner);
        if (s != NULL) {
            node_metrics_write_pool(key, s, now, &out);
            node_metrics_write_workspaces(key, s, &out);
        }
    }
    AqHttpHeader header = {"Content-Type", "text/plain; version=0.0.4"};
    AqExchange_Respond(exchange, 200, &header, 1, AqBuffer_Text(&out),
                       out.size);
    AqBuffer_Clear(&out);
}

/* Splits "IP:port" into its parts; returns false with an error if the text
 * has another form. */
static bool
split_address(const char *text, char ip[16], uint16_t *port, AqError *error)
{
    const char *colon = strrchr(text, ':');
    char *end = NULL;
    long number = colon != NULL ? strtol(colon + 1, &end, 10) : 0;
    if (colon == NULL || colon - text >= 16 || *end != '\0' || number < 0 ||
        number > UINT16_MAX) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "\"%s\" is not of the form \"IP:port\"; write one "
                           "like 10.0.0.1:8080",
                           text);
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    *port = (uint16_t)number;
    return true;
}

static bool
open_metrics_server(AqNode *node, AqError *error)
{
    const AqSettings *settings = node->context.settings;
    char ip[16];
    uint16_t port;
    if (settings->metrics_listen[0] == '\0') {
        return true;
    }
    if (!split_address(settings->metrics_listen, ip, &port, error)) {
        return false;
    }
    AqHttpServerConfig config = {
        .address = ip,
        .port = port,
        .max_body = 1024,
        .max_connections = 16,
        .idle_timeout_s = IDLE_TIMEOUT_S,
    };
    node->metrics = AqHttpServer_Create(node->context.loop, &config,
                                        handle_metrics, node, error);
    return node->metrics != NULL;
}

bool
node_open_servers(AqNode *node, AqError *error)
{
    const AqSettings *settings = node->context.settings;
    char callers_ip[16];
    char readiness_ip[16];
    uint16_t callers_port;
    uint16_t readiness_port;
    if (!split_address(settings->callers_listen, callers_ip, &callers_port,
                       error) ||
        !split_address(settings->readiness_listen, readiness_ip,
                       &readiness_port, error)) {
        return false;
    }
    AqHttpServerConfig callers = {
        .address = callers_ip,
        .port = callers_port,
        .max_body = MAX_JOB_BYTES,
        .max_connections = (unsigned)settings->callers_connections,
        .idle_timeout_s = IDLE_TIMEOUT_S,
    };
    AqHttpServerConfig readiness = {
        .address = readiness_ip,
        .port = readiness_port,
        .max_body = 1024,
        .max_connections = 64,
        .idle_timeout_s = IDLE_TIMEOUT_S,
    };
    node->callers = AqHttpServer_Create(node->context.loop, &callers,
                                        job_api_handle, node->job_api, error);
    if (node->callers == NULL) {
        return false;
    }
    node->readiness = AqHttpServer_Create(node->context.loop, &readiness,
                                          handle_readiness, node, error);
    return node->readiness != NULL && open_metrics_server(node, error);
}
