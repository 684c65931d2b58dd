#include "status.h"

#include <string.h>

#include "aq_store_http.h"
#include "endpoints.h"
#include "peers.h"
#include "planner_runner.h"

static json_t *
describe_pools(const Daemon *daemon)
{
    const AqFleet *fleet = Daemon_Fleet(daemon);
    json_t *result = json_object();
    const char *name;
    json_t *record;
    json_object_foreach((json_t *)AqFleet_All(fleet, AQ_REC_POOL), name,
                        record)
    {
        AqPoolStatus status;
        json_t *copy = json_deep_copy(record);
        if (AqFleet_GetPool(fleet, name, &status)) {
            json_object_set_new(
                copy, "status",
                json_pack("{s:i,s:i,s:i,s:i,s:i}", "members", status.members,
                          "serving", status.serving, "unavailable",
                          status.unavailable, "headroom", status.headroom,
                          "buffer_target", status.buffer_target));
        }
        json_object_set_new(result, name, copy);
    }
    return result;
}

json_t *
Status_State(const Daemon *daemon, const char *kind)
{
    static const struct {
        const char *name;
        AqRecordKind kind;
    } kinds[] = {
        {"vms", AQ_REC_VM},         {"waves", AQ_REC_WAVE},
        {"teams", AQ_REC_TEAM},     {"weights", AQ_REC_WEIGHTS},
        {"members", AQ_REC_MEMBER},
    };
    if (strcmp(kind, "pools") == 0) {
        return describe_pools(daemon);
    }
    for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
        if (strcmp(kind, kinds[i].name) == 0) {
            return json_deep_copy(
                AqFleet_All(Daemon_Fleet(daemon), kinds[i].kind));
        }
    }
    return NULL;
}

static const char *
phase_name(DaemonPhase phase)
{
    static const char *const names[] = {"running", "unready", "draining",
                                        "leaving"};
    return names[phase];
}

static json_t *
describe_members(const Daemon *daemon)
{
    const AqMembership *membership = daemon->membership;
    AqTime now = AqLoop_Now(daemon->loop);
    json_t *result = json_array();
    for (size_t i = 0; i < AqMembership_Count(membership); i++) {
        const char *id = AqMembership_Id(membership, i);
        json_array_append_new(
            result, json_pack("{s:s,s:b}", "id", id, "live",
                              AqMembership_IsLive(membership, now, id)));
    }
    return result;
}

json_t *
Status_Status(const Daemon *daemon)
{
    AqRouterStats router;
    AqStoreCalls calls;
    uint64_t sent;
    uint64_t received;
    uint64_t http_sent;
    uint64_t http_received;
    EndpointsCounts health;
    AqTime now = AqLoop_Now(daemon->loop);
    AqRouter_GetStats(daemon->router, &router);
    AqStoreHttp_GetCalls(daemon->store, &calls);
    Peers_GetTraffic(daemon->peers, &sent, &received);
    AqHttpClient_GetTraffic(daemon->http, &http_sent, &http_received);
    Endpoints_GetCounts(daemon->endpoints, &health);
    json_t *result = json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:I,s:I,s:b,s:o}", "id",
        daemon->settings->node_id, "zone", daemon->settings->node_zone,
        "phase", phase_name(daemon->phase), "ready", Daemon_IsReady(daemon),
        "fresh", AqMembership_IsFresh(daemon->membership, now), "version",
        (json_int_t)AqFleet_Version(Daemon_Fleet(daemon)), "epoch",
        (json_int_t)AqMembership_Epoch(daemon->membership), "planner",
        PlannerRunner_IsActive(daemon->planner), "members",
        describe_members(daemon));
    json_object_set_new(result, "requests",
                        json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
                                  "submitted", (json_int_t)router.submitted,
                                  "attempts", (json_int_t)router.attempts,
                                  "retries", (json_int_t)router.retries,
                                  "completed", (json_int_t)router.completed,
                                  "not_run", (json_int_t)router.not_run,
                                  "unknown", (json_int_t)router.unknown,
                                  "ejections", (json_int_t)router.ejections,
                                  "silent", (json_int_t)router.silent));
    json_object_set_new(result, "store",
                        json_pack("{s:I,s:I,s:I}", "reads",
                                  (json_int_t)calls.reads, "writes",
                                  (json_int_t)calls.writes, "watches",
                                  (json_int_t)calls.watches));
    json_object_set_new(result, "peers",
                        json_pack("{s:I,s:I}", "bytes_sent", (json_int_t)sent,
                                  "bytes_received", (json_int_t)received));
    json_object_set_new(result, "http",
                        json_pack("{s:I,s:I}", "bytes_sent",
                                  (json_int_t)http_sent, "bytes_received",
                                  (json_int_t)http_received));
    json_object_set_new(result, "health",
                        json_pack("{s:I,s:I}", "checks",
                                  (json_int_t)health.checks, "bytes",
                                  (json_int_t)health.bytes));
    return result;
}
