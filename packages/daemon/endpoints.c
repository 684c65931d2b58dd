#include "endpoints.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "vm_list.h"

enum {
    HEALTH_PERIOD_MS = 1000,
    /* Period of the health checks of a steady endpoint (serving, not leaving,
     * not ejected and healthy at its last check).  This period plus that of
     * the heartbeats, which report a leaving endpoint to the other daemons,
     * stays below 3 s. */
    STEADY_PERIOD_MS = 2000,
    /* Number of daemons that check the health of one steady endpoint (serving,
     * not leaving, not ejected and healthy at its last check). */
    STEADY_CHECKERS = 2,
    HEALTH_TIMEOUT_MS = 1000,
    HEALTH_MAX_RESPONSE_BYTES = 65536,
    CHECK_SLOTS_PERIOD_MS = 100,
    /* How long a peer's report that an endpoint is leaving service is valid;
     * the peer repeats the report in each heartbeat. */
    PEER_LEAVING_MS = 2500
};

typedef struct {
    char *id;
    char *service;
    char *address;
    AqVmState state;
    int slots;
    /* Whether the fleet document that Endpoints_Refresh applies at present
     * lists the endpoint. */
    bool is_in_document;
    /* The endpoint itself reports that it is leaving service. */
    bool reported_leaving;
    /* A peer's last report that the endpoint is leaving service is valid until
     * this time on the loop's clock. */
    AqTime peer_leaving_until;
    /* This daemon's router starts no new requests on the endpoint. */
    bool leaving;
    /* Number of the endpoint's request slots that this daemon's router may
     * use, as last computed by Endpoints_RefreshSlots. */
    int usable;
    /* Number that changes when idle connections to the endpoint must not be
     * used again. */
    uint64_t generation;
    AqHttpCall *check; /* health check in progress, or NULL */
    AqTime next_check;
    /* Time since which every health check of the endpoint has succeeded;
     * AQ_TIME_NEVER after a failed check. */
    AqTime healthy_since;
    Endpoints *owner;
} Endpoint;

struct Endpoints {
    Daemon *daemon;
    GHashTable *by_id;
    AqTimer timer;
    /* Whether this daemon is a member that may rely on its fleet document and,
     * at some time since it became one, has held at least half of the
     * endpoints' slots that are assigned to it. */
    bool has_slots;
    EndpointsCounts counts;
    /* Whether no slot was pending, leased out or leased in (AqSlices_IsSteady)
     * when Endpoints_RefreshSlots last began. */
    bool was_steady;
    /* Whether this daemon could rely on its fleet document
     * (AqMembership_IsFresh) when Endpoints_RefreshSlots last began. */
    bool was_fresh;
};

static Endpoint *
find_endpoint(const Endpoints *endpoints, const char *id)
{
    return g_hash_table_lookup(endpoints->by_id, id);
}

static void
free_endpoint(gpointer data)
{
    Endpoint *e = data;
    if (e->check != NULL) {
        AqHttpClient_Cancel(e->check);
    }
    free(e->id);
    free(e->service);
    free(e->address);
    free(e);
}

/* ---- Leaving ------------------------------------------------------------ */

static bool
is_leaving(const Endpoint *e, AqTime now)
{
    const char *listed = VmList_State(e->owner->daemon->vms, e->id);
    return e->state != AQ_VM_SERVING || e->reported_leaving ||
           e->peer_leaving_until > now ||
           (listed != NULL && strcmp(listed, "live") != 0);
}

static void
update_leaving(Endpoint *e, AqTime now)
{
    bool leaving = is_leaving(e, now);
    if (leaving != e->leaving) {
        e->leaving = leaving;
        AqRouter_SetLeaving(e->owner->daemon->router, now, e->id, leaving);
        AqLog_Event(AQ_LOG_INFO, "endpoint_leaving", "endpoint=%s leaving=%d",
                    e->id, leaving);
    }
}

void
Endpoints_OnLeaving(Endpoints *endpoints, const char *id, bool leaving)
{
    Endpoint *e = find_endpoint(endpoints, id);
    if (e != NULL) {
        e->reported_leaving = leaving;
        update_leaving(e, AqLoop_Now(endpoints->daemon->loop));
    }
}

void
Endpoints_OnPeerLeaving(Endpoints *endpoints, const char *id)
{
    Endpoint *e = find_endpoint(endpoints, id);
    AqTime now = AqLoop_Now(endpoints->daemon->loop);
    if (e != NULL && e->state == AQ_VM_SERVING) {
        e->peer_leaving_until = now + PEER_LEAVING_MS;
        update_leaving(e, now);
    }
}

/* ---- Health checks ------------------------------------------------------ */

static void
on_checked(void *context, const AqHttpReply *reply)
{
    Endpoint *e = context;
    Daemon *daemon = e->owner->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    bool healthy = reply->result == AQ_HTTP_DONE && reply->status == 200;
    e->check = NULL;
    e->owner->counts.checks++;
    e->owner->counts.bytes += reply->sent + reply->received;
    if (!healthy) {
        e->healthy_since = AQ_TIME_NEVER;
    }
    else if (e->healthy_since == AQ_TIME_NEVER) {
        e->healthy_since = now;
    }
    if (reply->result == AQ_HTTP_DONE) {
        const char *text = AqHttpReply_Header(reply, "Aq-Leaving");
        e->reported_leaving = text != NULL && strcmp(text, "1") == 0;
    }
    AqRouter_HealthDone(daemon->router, now, e->id, healthy);
}

/* Whether the endpoint is steady: serving, not leaving, not ejected and
 * healthy at its last check.  A failure of such an endpoint is detected by the
 * requests sent to it before a health check detects the failure. */
static bool
is_steady(const Endpoint *e)
{
    return e->state == AQ_VM_SERVING && e->healthy_since != AQ_TIME_NEVER &&
           !e->reported_leaving &&
           !AqRouter_IsEjected(e->owner->daemon->router, e->id);
}

/* Whether this daemon is one of the STEADY_CHECKERS daemons that check the
 * health of a steady endpoint.  Health checks by all of 9 daemons used 4.6% of
 * a core at 900 VMs. */
static bool
is_checker(const Endpoint *e, AqTime now)
{
    const Daemon *daemon = e->owner->daemon;
    for (int i = 0; i < STEADY_CHECKERS; i++) {
        char role[AQ_WIRE_MAX_NAME + 24];
        snprintf(role, sizeof(role), "health/%d/%s", i, e->id);
        if (AqMembership_IsOwner(daemon->membership, now, role)) {
            return true;
        }
    }
    return false;
}

/* Whether this daemon must check the health of the endpoint now.  All daemons
 * check an endpoint that returns from maintenance, since any of them may be
 * the planner.  A steady endpoint is checked by STEADY_CHECKERS daemons, any
 * other endpoint by the daemons that are assigned slots of it. */
static bool
needs_check(const Endpoint *e, AqTime now)
{
    if (e->state == AQ_VM_REBOOTING || e->state == AQ_VM_CHECKING ||
        e->state == AQ_VM_FAILED) {
        return true;
    }
    return is_steady(e)
               ? is_checker(e, now)
               : AqSlices_Assigned(e->owner->daemon->slices, e->id) > 0;
}

static void
start_check(Endpoint *e)
{
    char url[128];
    snprintf(url, sizeof(url), "http://%s/health", e->address);
    AqHttpRequest request = {
        .method = "GET",
        .url = url,
        .fresh_connection = true,
        .timeout_ms = HEALTH_TIMEOUT_MS,
        .connect_timeout_ms = HEALTH_TIMEOUT_MS,
        .max_response_bytes = HEALTH_MAX_RESPONSE_BYTES,
    };
    e->check =
        AqHttpClient_Start(e->owner->daemon->http, &request, on_checked, e);
}

static void
on_timer(void *context)
{
    Endpoints *endpoints = context;
    AqTime now = AqLoop_Now(endpoints->daemon->loop);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Endpoint *e = value;
        update_leaving(e, now);
        if (e->check == NULL && e->next_check <= now) {
            e->next_check =
                now + (is_steady(e) ? STEADY_PERIOD_MS : HEALTH_PERIOD_MS);
            if (needs_check(e, now)) {
                start_check(e);
            }
        }
    }
    Endpoints_CheckSlots(endpoints);
    AqTimer_Start(endpoints->daemon->loop, &endpoints->timer,
                  now + CHECK_SLOTS_PERIOD_MS);
}

bool
Endpoints_HealthyFor(const Endpoints *endpoints, const char *id, int64_t ms)
{
    const Endpoint *e = find_endpoint(endpoints, id);
    AqTime now = AqLoop_Now(endpoints->daemon->loop);
    return e != NULL && e->healthy_since != AQ_TIME_NEVER &&
           now - e->healthy_since >= ms;
}

/* ---- Document ----------------------------------------------------------- */

static Endpoint *
add_endpoint(Endpoints *endpoints, const AqVmView *view)
{
    Endpoint *e = calloc(1, sizeof(*e));
    e->owner = endpoints;
    e->id = strdup(view->id);
    e->service = strdup("");
    e->address = strdup("");
    e->healthy_since = AQ_TIME_NEVER;
    /* Spreads the first health checks of different endpoints over
     * HEALTH_PERIOD_MS. */
    e->next_check = AqLoop_Now(endpoints->daemon->loop) +
                    (AqTime)(g_str_hash(e->id) % HEALTH_PERIOD_MS);
    g_hash_table_insert(endpoints->by_id, e->id, e);
    return e;
}

static void
replace_string(char **field, const char *value)
{
    if (strcmp(*field, value) != 0) {
        free(*field);
        *field = strdup(value);
    }
}

static bool
refresh_vm(void *context, const AqVmView *view)
{
    Endpoints *endpoints = context;
    Daemon *daemon = endpoints->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    Endpoint *e = find_endpoint(endpoints, view->id);
    if (e == NULL) {
        e = add_endpoint(endpoints, view);
    }
    e->is_in_document = true;
    if (strcmp(e->service, view->service) != 0) {
        replace_string(&e->service, view->service);
        AqRouter_SetEndpoint(daemon->router, now, e->id, e->service);
        AqRouter_SetLeaving(daemon->router, now, e->id, e->leaving);
        AqRouter_SetSlots(daemon->router, now, e->id, e->usable);
    }
    if (strcmp(e->address, view->address) != 0) {
        replace_string(&e->address, view->address);
        e->generation++;
    }
    if (e->slots != view->slots) {
        e->slots = view->slots;
        AqSlices_SetEndpoint(daemon->slices, now, e->id, e->slots);
    }
    e->state = view->state;
    update_leaving(e, now);
    return true;
}

static gboolean
remove_absent(gpointer key, gpointer value, gpointer context)
{
    Endpoints *endpoints = context;
    Endpoint *e = value;
    (void)key;
    if (e->is_in_document) {
        return FALSE;
    }
    AqRouter_RemoveEndpoint(endpoints->daemon->router,
                            AqLoop_Now(endpoints->daemon->loop), e->id);
    AqSlices_RemoveEndpoint(endpoints->daemon->slices, e->id);
    return TRUE;
}

void
Endpoints_Refresh(Endpoints *endpoints)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Endpoint *)value)->is_in_document = false;
    }
    AqFleet_EachVm(Daemon_Fleet(endpoints->daemon), refresh_vm, endpoints);
    g_hash_table_foreach_remove(endpoints->by_id, remove_absent, endpoints);
    Endpoints_RefreshSlots(endpoints);
}

void
Endpoints_RefreshSlots(Endpoints *endpoints)
{
    Daemon *daemon = endpoints->daemon;
    AqTime now = AqLoop_Now(daemon->loop);
    int64_t assigned = 0;
    int64_t held = 0;
    GHashTableIter iter;
    gpointer value;
    endpoints->was_steady = AqSlices_IsSteady(daemon->slices);
    endpoints->was_fresh = AqMembership_IsFresh(daemon->membership, now);
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Endpoint *e = value;
        int usable = AqSlices_Usable(daemon->slices, now, e->id);
        assigned += AqSlices_Assigned(daemon->slices, e->id);
        held += usable + AqSlices_LeasedOut(daemon->slices, e->id);
        if (usable != e->usable) {
            e->usable = usable;
            AqRouter_SetSlots(daemon->router, now, e->id, usable);
        }
    }
    bool member =
        AqMembership_IsMember(daemon->membership, daemon->settings->node_id) &&
        AqMembership_IsFresh(daemon->membership, now);
    /* "has_slots" stays true while this daemon is a member that may rely on
     * its fleet document: a later epoch (set of members) takes slots away only
     * until its guard period (AQ_GUARD_MS) has passed, and meanwhile the other
     * daemons lease slots to this one. */
    endpoints->has_slots =
        member && (endpoints->has_slots || 2 * held >= assigned);
}

/* Called for each heartbeat received from a peer, 2 (n - 1) times a second
 * with n members.  Skipping the computation of the usable slots of each of 900
 * endpoints saves most of the processor time that an idle daemon can avoid. */
void
Endpoints_CheckSlots(Endpoints *endpoints)
{
    const Daemon *daemon = endpoints->daemon;
    bool fresh =
        AqMembership_IsFresh(daemon->membership, AqLoop_Now(daemon->loop));
    if (!endpoints->was_steady || fresh != endpoints->was_fresh ||
        !AqSlices_IsSteady(daemon->slices)) {
        Endpoints_RefreshSlots(endpoints);
    }
}

/* ---- Queries ------------------------------------------------------------ */

bool
Endpoints_HaveSlots(const Endpoints *endpoints)
{
    return endpoints->has_slots;
}

const char *
Endpoints_Address(const Endpoints *endpoints, const char *id)
{
    const Endpoint *e = find_endpoint(endpoints, id);
    return e != NULL ? e->address : NULL;
}

uint64_t
Endpoints_Generation(const Endpoints *endpoints, const char *id)
{
    const Endpoint *e = find_endpoint(endpoints, id);
    return e != NULL ? e->generation : 0;
}

void
Endpoints_CloseIdle(Endpoints *endpoints, const char *id)
{
    Endpoint *e = find_endpoint(endpoints, id);
    if (e != NULL) {
        e->generation++;
        AqHttpClient_CloseIdle(endpoints->daemon->http, e->address);
    }
}

static AqWireCount
count_of(const char *name, int64_t value)
{
    AqWireCount count = {.value = value};
    strncpy(count.name, name, sizeof(count.name) - 1);
    return count;
}

typedef struct {
    const AqRouter *router;
    AqMsgHeartbeat *beat;
} ServiceFill;

/* Adds a service to the heartbeat only if requests of the service are queued
 * at this daemon or none of its slots here is idle: a list of all 53 services
 * took more than half of the heartbeat's bytes. */
static void
fill_service(void *context, const char *service)
{
    const ServiceFill *fill = context;
    AqMsgHeartbeat *beat = fill->beat;
    int queued = AqRouter_Queued(fill->router, service);
    int idle = AqRouter_FreeSlots(fill->router, service);
    if (queued > 0 || idle == 0) {
        AqWireService *s = &beat->services[beat->service_count++];
        strncpy(s->name, service, sizeof(s->name) - 1);
        s->queued = queued;
        s->idle = idle;
    }
}

static void
fill_services(const Endpoints *endpoints, AqMsgHeartbeat *beat)
{
    ServiceFill fill = {endpoints->daemon->router, beat};
    /* Each service has at least one endpoint, so there are no more services
     * than endpoints. */
    beat->services = calloc(g_hash_table_size(endpoints->by_id) + 1,
                            sizeof(*beat->services));
    AqRouter_EachService(fill.router, fill_service, &fill);
}

static int
in_use(void *context, const char *endpoint)
{
    const AqRouter *router = context;
    return AqRouter_InFlight(router, endpoint);
}

void
Endpoints_FillHeartbeat(const Endpoints *endpoints, AqMsgHeartbeat *beat)
{
    const Daemon *daemon = endpoints->daemon;
    size_t count = g_hash_table_size(endpoints->by_id);
    GHashTableIter iter;
    gpointer value;
    beat->leaving = calloc(count + 1, sizeof(*beat->leaving));
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *e = value;
        int in_flight = AqRouter_InFlight(daemon->router, e->id);
        /* An endpoint that itself reports that it is leaving is always listed
         * in the heartbeat, also when no request to it is in flight. */
        if (e->reported_leaving ||
            (e->state != AQ_VM_SERVING && in_flight > 0)) {
            beat->leaving[beat->leaving_count++] = count_of(e->id, in_flight);
        }
    }
    fill_services(endpoints, beat);
    AqSlices_FillHeartbeat(daemon->slices, AqLoop_Now(daemon->loop), in_use,
                           daemon->router, beat);
}

void
Endpoints_GetCounts(const Endpoints *endpoints, EndpointsCounts *counts)
{
    *counts = endpoints->counts;
}

void
Endpoints_Each(const Endpoints *endpoints, const char *service,
               void (*visit)(void *context, const char *id, int slots),
               void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, endpoints->by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Endpoint *e = value;
        if (strcmp(e->service, service) == 0) {
            visit(context, e->id, e->slots);
        }
    }
}

Endpoints *
Endpoints_Create(Daemon *daemon)
{
    Endpoints *endpoints = calloc(1, sizeof(*endpoints));
    endpoints->daemon = daemon;
    endpoints->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_endpoint);
    AqTimer_Init(&endpoints->timer, on_timer, endpoints);
    AqTimer_Start(daemon->loop, &endpoints->timer, AqLoop_Now(daemon->loop));
    return endpoints;
}

void
Endpoints_Destroy(Endpoints *endpoints)
{
    if (endpoints == NULL) {
        return;
    }
    AqTimer_Stop(&endpoints->timer);
    g_hash_table_destroy(endpoints->by_id);
    free(endpoints);
}
