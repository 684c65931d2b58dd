#include "site_sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_http_client.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "store_keys.h"

enum {
    FIRST_TIME_MS = 1000000,
    START_GAP_MS = 300, /* between the first starts of the nodes */
    /* A stopping node ends by itself after this time. */
    STOP_MS = 4200,
    GRACE_S = 6
};

static const AqTime wall_offset = 1700000000000;

/* The simulation that runs, for the clock, and its node that runs, for the
 * clients that AqNode_Create() makes and for log lines. */
static Sim *current_sim;
static SimNode *current_node;
static bool is_tracing;

/* ---- Replaced symbols --------------------------------------------------- */

AqTime __wrap_AqClock_ReadMonotonic(void);
AqTime __wrap_AqClock_ReadWall(void);
AqStore *__wrap_AqPlatformStore_Create(AqHttpClient *client,
                                       const char *address, AqTime timeout_ms);
AqWorkerClient *__wrap_AqPlatformWorkers_Create(AqHttpClient *client,
                                                AqTime timeout_ms);
void __wrap_AqHttpClient_Close(AqHttpClient *client);
void __real_AqHttpClient_Close(AqHttpClient *client);

AqTime
__wrap_AqClock_ReadMonotonic(void)
{
    return current_sim != NULL ? current_sim->now : 0;
}

AqTime
__wrap_AqClock_ReadWall(void)
{
    return current_sim != NULL ? current_sim->now + wall_offset : 0;
}

AqStore *
__wrap_AqPlatformStore_Create(AqHttpClient *client, const char *address,
                              AqTime timeout_ms)
{
    (void)client;
    (void)address;
    (void)timeout_ms;
    return &current_node->store;
}

AqWorkerClient *
__wrap_AqPlatformWorkers_Create(AqHttpClient *client, AqTime timeout_ms)
{
    (void)client;
    (void)timeout_ms;
    return &current_node->workers;
}

/* Ends the node's calls, as the HTTP client does. */
void
__wrap_AqHttpClient_Close(AqHttpClient *client)
{
    AqLink *link;
    __real_AqHttpClient_Close(client);
    while ((link = AqList_PopFirst(&current_node->calls)) != NULL) {
        SimCall *call = AqList_Entry(link, SimCall, link);
        call->has_ended = true;
        call->end(call, false);
    }
}

/* ---- Trace -------------------------------------------------------------- */

static GLogWriterOutput
write_log(GLogLevelFlags flags, const GLogField *fields, gsize count,
          gpointer data)
{
    (void)flags;
    (void)data;
    for (gsize i = 0; i < count; i++) {
        const char *text = fields[i].value;
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            const char *event = strstr(text, "event=");
            fprintf(stderr, "%8lld %s: %s\n",
                    current_sim != NULL
                        ? (long long)(current_sim->now - FIRST_TIME_MS)
                        : 0,
                    current_node != NULL ? current_node->id : "-",
                    event != NULL ? event : text);
        }
    }
    return G_LOG_WRITER_HANDLED;
}

void
sim_set_trace(bool is_traced)
{
    static bool has_writer;
    if (!has_writer) {
        g_log_set_writer_func(write_log, NULL, NULL);
        has_writer = true;
    }
    is_tracing = is_traced;
    AqLog_SetLevel(is_traced ? AQ_LOG_INFO : AQ_LOG_ERROR);
}

void
sim_trace(const Sim *sim, const char *format, ...)
{
    va_list args;
    if (!is_tracing) {
        return;
    }
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    fprintf(stderr, "%8lld    %s\n", (long long)(sim->now - FIRST_TIME_MS),
            text);
    g_free(text);
}

void
sim_violation(Sim *sim, const char *format, ...)
{
    va_list args;
    if (sim->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    snprintf(sim->violation, sizeof(sim->violation), "at %lld ms: %s",
             (long long)(sim->now - FIRST_TIME_MS), text);
    sim_trace(sim, "VIOLATION %s", text);
    g_free(text);
}

/* ---- Events ------------------------------------------------------------- */

typedef struct {
    AqTime time;
    uint64_t sequence;
    SimEventFn fn;
    void *context;
} Event;

static int
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const Event *first = a;
    const Event *second = b;
    (void)data;
    if (first->time != second->time) {
        return first->time < second->time ? -1 : 1;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

void
sim_at(Sim *sim, AqTime time, SimEventFn fn, void *context)
{
    Event *event = g_new(Event, 1);
    *event = (Event){time > sim->now ? time : sim->now, sim->sequence++, fn,
                     context};
    g_sequence_insert_sorted(sim->events, event, compare_events, NULL);
}

bool
sim_draw(Sim *sim, unsigned permille)
{
    return AqRandom_Below(&sim->random, 1000) < permille;
}

AqTime
sim_between(Sim *sim, AqTime least, AqTime most)
{
    return least +
           (AqTime)AqRandom_Below(&sim->random, (uint64_t)(most - least + 1));
}

/* ---- Calls of nodes ----------------------------------------------------- */

/* What arrived at a node: the reply to a call, or the end of its time. */
typedef struct {
    SimCall *call;
    bool is_reply;
} Arrival;

static void
arrive(SimCall *call, bool is_reply)
{
    if (call->has_ended) {
        return;
    }
    Arrival *arrival = g_new(Arrival, 1);
    *arrival = (Arrival){call, is_reply};
    g_queue_push_tail(&call->node->inbox, arrival);
    AqTimer_Start(AqNode_Loop(call->node->node), &call->node->inbox_timer, 0);
}

static void
on_reply_arrives(Sim *sim, void *context)
{
    (void)sim;
    arrive(context, true);
}

static void
on_failure_arrives(Sim *sim, void *context)
{
    (void)sim;
    arrive(context, false);
}

static void
on_inbox(void *context)
{
    SimNode *node = context;
    Arrival *arrival;
    while ((arrival = g_queue_pop_head(&node->inbox)) != NULL) {
        SimCall *call = arrival->call;
        bool is_in_time =
            node->sim->now < call->ends_by || node->was_suspended;
        bool is_answered = arrival->is_reply && is_in_time;
        g_free(arrival);
        if (!call->has_ended) {
            call->has_ended = true;
            AqList_Remove(&call->link);
            call->end(call, is_answered);
        }
    }
    node->was_suspended = false;
}

void
sim_begin_call(SimNode *node, SimCall *call, AqTime timeout_ms)
{
    call->node = node;
    call->sim = node->sim;
    call->ends_by = node->sim->now + timeout_ms;
    AqList_Init(&call->link);
    AqList_Append(&node->calls, &call->link);
    g_ptr_array_add(node->sim->calls, call);
    sim_fail(call, call->ends_by);
}

AqTime
sim_departure(const SimNode *node)
{
    AqTime now = node->sim->now;
    return node->frozen_until > now ? node->frozen_until : now;
}

void
sim_reply(SimCall *call, AqTime at)
{
    sim_at(call->sim, at, on_reply_arrives, call);
}

void
sim_fail(SimCall *call, AqTime at)
{
    sim_at(call->sim, at, on_failure_arrives, call);
}

static void
free_call(gpointer value)
{
    SimCall *call = value;
    call->free(call);
}

/* ---- Nodes -------------------------------------------------------------- */

static void
start_node(Sim *sim, SimNode *node)
{
    AqError error;
    current_node = node;
    sim_trace(sim, "%s starts", node->id);
    node->node = AqNode_Create(&node->settings, &error);
    if (node->node == NULL) {
        fprintf(stderr, "%s\n", error.message);
        abort();
    }
    node->ends_at = AQ_TIME_NEVER;
    node->frozen_until = 0;
    node->freezes_sending_ms = 0;
    current_node = NULL;
}

/* Ends the node's process; what it has sent is still carried out. */
static void
end_node(Sim *sim, SimNode *node, AqTime down_ms)
{
    if (node->node == NULL) {
        return;
    }
    Arrival *arrival;
    AqLogLevel level = is_tracing ? AQ_LOG_INFO : AQ_LOG_ERROR;
    sim_trace(sim, "%s has ended", node->id);
    current_node = node;
    /* The calls that end now end only in this process. */
    AqLog_SetLevel(AQ_LOG_ERROR);
    AqTimer_Stop(&node->inbox_timer);
    AqNode_Destroy(node->node);
    AqLog_SetLevel(level);
    node->node = NULL;
    while ((arrival = g_queue_pop_head(&node->inbox)) != NULL) {
        g_free(arrival);
    }
    node->starts_at = sim->now + down_ms;
    current_node = NULL;
}

void
sim_kill_node(Sim *sim, unsigned node, AqTime down_ms)
{
    end_node(sim, &sim->nodes[node], down_ms);
}

void
sim_stop_node(Sim *sim, unsigned number, AqTime down_ms)
{
    SimNode *node = &sim->nodes[number];
    if (node->node != NULL && node->ends_at == AQ_TIME_NEVER &&
        node->frozen_until <= sim->now) {
        sim_trace(sim, "%s is told to stop", node->id);
        node->ends_at = sim->now + STOP_MS;
        node->starts_at = node->ends_at + down_ms;
        current_node = node;
        AqNode_Stop(node->node);
        current_node = NULL;
    }
}

void
sim_freeze_node(Sim *sim, unsigned number, AqTime ms, bool is_suspended)
{
    SimNode *node = &sim->nodes[number];
    if (node->node != NULL && node->frozen_until <= sim->now) {
        sim_trace(sim, "%s is frozen for %lld ms%s", node->id, (long long)ms,
                  is_suspended ? " with its host" : "");
        node->frozen_until = sim->now + ms;
        node->was_suspended = is_suspended;
    }
}

void
sim_cut_store(Sim *sim, unsigned number, AqTime ms, SimCutMode mode,
              unsigned calls)
{
    SimNode *node = &sim->nodes[number];
    node->store_cut_until = sim->now + ms;
    node->store_cut_mode = mode;
    node->store_cut_calls = calls;
    sim_trace(sim, "%s loses store calls %u, mode %d, for %lld ms", node->id,
              calls, (int)mode, (long long)ms);
}

void
sim_cut_vms(Sim *sim, unsigned node, AqTime ms, unsigned vms)
{
    for (unsigned i = 0; i < SIM_VMS; i++) {
        if ((vms & (1U << i)) != 0) {
            sim_trace(sim, "n-%u does not reach vm-%u for %lld ms", node, i,
                      (long long)ms);
            sim->nodes[node].vm_cut_until[i] = sim->now + ms;
        }
    }
}

int
sim_owner(const Sim *sim, unsigned pool)
{
    char name[8];
    snprintf(name, sizeof(name), "p%u", pool);
    const char *owner = sim_store_value(sim, key_of(KEY_OWNER, name));
    return owner != NULL ? atoi(owner + 2) : -1;
}

static void
step_node(Sim *sim, SimNode *node)
{
    if (node->node == NULL) {
        if (sim->now >= node->starts_at) {
            start_node(sim, node);
        }
        return;
    }
    if (sim->now < node->frozen_until) {
        return;
    }
    if (sim->now >= node->ends_at) {
        end_node(sim, node, node->starts_at - node->ends_at);
        return;
    }
    current_node = node;
    AqLoop_RunOnce(AqNode_Loop(node->node), 0);
    current_node = NULL;
}

static void
init_node(Sim *sim, unsigned number)
{
    static char share[] = "0.5";
    static char zero[] = "0";
    static char zone[] = "z";
    static char none[] = "";
    static char listen[] = "127.0.0.1:0";
    SimNode *node = &sim->nodes[number];
    node->sim = sim;
    node->number = number;
    node->store.ops = sim_store_ops();
    node->workers.ops = sim_worker_ops();
    node->starts_at = sim->now + START_GAP_MS * (AqTime)number;
    AqList_Init(&node->calls);
    g_queue_init(&node->inbox);
    AqTimer_Init(&node->inbox_timer, on_inbox, node);
    snprintf(node->id, sizeof(node->id), "n-%u", number);
    node->settings =
        (AqSettings){.node_id = node->id,
                     .node_zone = zone,
                     .node_cpu_share = share,
                     .node_link_mbps = zero,
                     .platform_store = none,
                     .platform_machines = none,
                     .platform_advice = none,
                     .callers_listen = listen,
                     .readiness_listen = listen,
                     .metrics_listen = none,
                     .carriers_listen = none,
                     .callers_connections = 4,
                     .limits_longest_lease_ms = SIM_LONGEST_LEASE_MS,
                     .stop_grace_s = GRACE_S};
}

/* ---- Simulation --------------------------------------------------------- */

Sim *
sim_create(uint64_t seed)
{
    static const char config[] =
        "{\"version\":1,\"routes\":["
        "{\"name\":\"q0\",\"host\":\"h\",\"prefix\":\"/q0/\","
        "\"service\":\"p0\",\"max_attempts\":4},"
        "{\"name\":\"q1\",\"host\":\"h\",\"prefix\":\"/q1/\","
        "\"service\":\"p1\",\"max_attempts\":4}],"
        "\"services\":[{\"name\":\"p0\"},{\"name\":\"p1\"}]}";
    Sim *sim = g_new0(Sim, 1);
    AqRandom_Seed(&sim->random, seed);
    AqRandom_Seed(&sim->fault_random, seed * 7919 + 1);
    sim->now = FIRST_TIME_MS;
    sim->events = g_sequence_new(g_free);
    sim->calls = g_ptr_array_new_with_free_func(free_call);
    sim->task_states =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    current_sim = sim;
    sim->store = sim_store_create(sim);
    sim_store_put(sim, AqPlatform_ConfigKey, config, strlen(config));
    for (unsigned i = 0; i < SIM_VMS; i++) {
        sim->vms[i] = sim_vm_create(sim, i);
    }
    for (unsigned i = 0; i < SIM_NODES; i++) {
        init_node(sim, i);
    }
    return sim;
}

void
sim_destroy(Sim *sim)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        end_node(sim, &sim->nodes[i], 0);
    }
    for (unsigned i = 0; i < SIM_VMS; i++) {
        sim_vm_destroy(sim->vms[i]);
    }
    sim_store_destroy(sim->store);
    g_sequence_free(sim->events);
    g_ptr_array_free(sim->calls, TRUE);
    g_hash_table_destroy(sim->task_states);
    current_sim = NULL;
    g_free(sim);
}

static void
run_events(Sim *sim, AqTime until)
{
    while (!g_sequence_is_empty(sim->events)) {
        GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
        Event event = *(const Event *)g_sequence_get(first);
        if (event.time > until) {
            return;
        }
        g_sequence_remove(first);
        sim->now = event.time;
        event.fn(sim, event.context);
    }
}

void
sim_run(Sim *sim, AqTime ms)
{
    AqTime end = sim->now + ms;
    while (sim->now < end && sim->violation[0] == '\0') {
        AqTime next = sim->now + SIM_STEP_MS;
        run_events(sim, next);
        sim->now = next;
        sim_store_step(sim);
        sim_vms_step(sim);
        for (unsigned i = 0; i < SIM_NODES; i++) {
            step_node(sim, &sim->nodes[i]);
        }
    }
}
