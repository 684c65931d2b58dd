#include "sim_store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct SimEvent {
    AqTime at;
    uint64_t event_order;
    void (*run)(Sim *sim, uint64_t argument);
    uint64_t argument;
} Event;

static bool
is_before(const Event *a, const Event *b)
{
    return a->at != b->at ? a->at < b->at : a->event_order < b->event_order;
}

void
Sim_At(Sim *sim, AqTime at, void (*run)(Sim *sim, uint64_t argument),
       uint64_t argument)
{
    if (sim->heap_count == sim->heap_capacity) {
        sim->heap_capacity = 2 * sim->heap_capacity + 64;
        sim->heap =
            realloc(sim->heap, sim->heap_capacity * sizeof(*sim->heap));
    }
    Event event = {at, sim->event_order++, run, argument};
    size_t i = sim->heap_count++;
    for (; i > 0 && is_before(&event, &sim->heap[(i - 1) / 2]);
         i = (i - 1) / 2) {
        sim->heap[i] = sim->heap[(i - 1) / 2];
    }
    sim->heap[i] = event;
}

static Event
pop_event(Sim *sim)
{
    Event first = sim->heap[0];
    Event last = sim->heap[--sim->heap_count];
    size_t i = 0;
    for (size_t child; (child = 2 * i + 1) < sim->heap_count; i = child) {
        if (child + 1 < sim->heap_count &&
            is_before(&sim->heap[child + 1], &sim->heap[child])) {
            child++;
        }
        if (!is_before(&sim->heap[child], &last)) {
            break;
        }
        sim->heap[i] = sim->heap[child];
    }
    sim->heap[i] = last;
    return first;
}

void
Sim_Run(Sim *sim, AqTime until)
{
    while (sim->heap_count > 0 && sim->heap[0].at <= until) {
        Event event = pop_event(sim);
        sim->now = event.at > sim->now ? event.at : sim->now;
        event.run(sim, event.argument);
    }
    sim->now = until;
}

void
Sim_Fail(Sim *sim, const char *rule, uint64_t number)
{
    if (sim->failures++ == 0) {
        snprintf(sim->failure, sizeof(sim->failure), "%s (%" PRIu64 ")", rule,
                 number);
    }
}

/* Returns the time of the node's monotonic clock in ms.  These clocks differ
 * between nodes, as monotonic clocks of machines do. */
static AqTime
node_now(const SimNode *node)
{
    return node->sim->now + 1000000 * (node->index + 1);
}

static AqTime
node_wall(const SimNode *node)
{
    return SIM_WALL_START + node->sim->now + node->skew;
}

static void run_tick(Sim *sim, uint64_t index);

/* Checks the invariants of the node's AqClaims, unless the sim skips checks,
 * and schedules the next AqClaims_Tick call of the node. */
static void
after_step(SimNode *node)
{
    Sim *sim = node->sim;
    AqError error;
    if (!sim->skips_checks &&
        !AqClaims_CheckConsistency(node->claims, &error)) {
        Sim_Fail(sim, error.message, (uint64_t)node->index);
    }
    AqTime due = AqClaims_NextTick(node->claims);
    if (due == AQ_TIME_NEVER) {
        node->tick_at = AQ_TIME_NEVER;
        return;
    }
    AqTime wait = due - node_now(node);
    AqTime at = sim->now + (wait > 0 ? wait : 0);
    if (at != node->tick_at) {
        node->tick_at = at;
        Sim_At(sim, at, run_tick, (uint64_t)node->index);
    }
}

static void
run_tick(Sim *sim, uint64_t index)
{
    SimNode *node = &sim->nodes[index];
    if (node->tick_at > sim->now) {
        return;
    }
    if (node->paused_until > sim->now) {
        node->tick_at = node->paused_until;
        Sim_At(sim, node->paused_until, run_tick, index);
        return;
    }
    node->tick_at = AQ_TIME_NEVER;
    AqClaims_Tick(node->claims, node_now(node), node_wall(node));
    after_step(node);
}

static void
run_reply(Sim *sim, uint64_t argument)
{
    SimCall *call = (SimCall *)(uintptr_t)argument;
    SimNode *node = call->node;
    if (node->paused_until > sim->now) {
        Sim_At(sim, node->paused_until, run_reply, argument);
        return;
    }
    if (node->generation == call->generation) {
        AqClaims_StoreDone(node->claims, node_now(node), node_wall(node),
                           call->token, call->result, call->items,
                           call->count);
        after_step(node);
    }
    SimStore_FreeCall(call);
}

static void
run_effect(Sim *sim, uint64_t argument)
{
    SimCall *call = (SimCall *)(uintptr_t)argument;
    const SimCallPlan *plan = &call->plan;
    SimStore_Execute(sim, call);
    if (plan->pause_after > 0) {
        Sim_Pause(sim, call->node->index, plan->pause_after);
    }
    if (plan->restart_after) {
        Sim_Restart(sim, call->node->index);
    }
    AqTime reply = sim->now + plan->reply_ms;
    if (plan->reply_lost) {
        SimStore_FreeCall(call);
    }
    else {
        Sim_At(sim, reply, run_reply, argument);
    }
}

static void
run_restart(Sim *sim, uint64_t index)
{
    Sim_Restart(sim, (int)index);
}

static void
store_call(void *context, uint64_t token, AqClaimsStoreCall kind,
           bool is_prefix, const char *key, const void *value, size_t size)
{
    SimNode *node = context;
    Sim *sim = node->sim;
    SimCallPlan plan = sim->plan_call(sim, node, kind);
    if (plan.restart_before) {
        Sim_At(sim, sim->now, run_restart, (uint64_t)node->index);
        return;
    }
    SimCall *call = calloc(1, sizeof(*call));
    call->node = node;
    call->generation = node->generation;
    call->token = token;
    call->call = kind;
    call->plan = plan;
    unsigned digits = (unsigned)strlen(key + strlen("aq/claims/P/"));
    call->partition = key[strlen("aq/claims/")] - '0';
    call->first = strtoull(key + strlen("aq/claims/P/"), NULL, 16);
    call->last = UINT64_MAX;
    if (digits > 0) {
        call->first <<= 4 * (16 - digits);
        call->last = call->first + ((UINT64_C(1) << (4 * (16 - digits))) - 1);
    }
    if (is_prefix == (digits == 16) || call->partition < 0 ||
        call->partition >= AQ_CLAIM_PARTITIONS) {
        Sim_Fail(sim, key, call->first);
    }
    if (size > 0) {
        call->value = malloc(size);
        memcpy(call->value, value, size);
        call->size = size;
    }
    AqTime start = sim->now;
    if (plan.pause_before > 0) {
        Sim_Pause(sim, node->index, plan.pause_before);
        start += plan.pause_before;
    }
    Sim_At(sim, start + plan.effect_ms, run_effect, (uint64_t)(uintptr_t)call);
    if (plan.reply_lost) {
        SimCall *notice = calloc(1, sizeof(*notice));
        notice->node = node;
        notice->generation = node->generation;
        notice->token = token;
        notice->result = AQ_CLAIMS_STORE_UNKNOWN;
        Sim_At(sim, start + sim->config.store_timeout_ms, run_reply,
               (uint64_t)(uintptr_t)notice);
    }
}

/* Returns whether a stored batch has another claim of the same request id than
 * the claim of "request".  A claim that was submitted to several nodes counts
 * as another claim, since one of the other nodes may have granted it. */
static bool
has_other_claim(const Sim *sim, const SimRequest *request)
{
    int partition = AqClaims_Partition(request->claim.hash);
    for (size_t i = 0; i < sim->request_count; i++) {
        const SimRequest *other = &sim->requests[i];
        bool differs =
            other->origin != request->origin || request->resubmitted;
        if (differs && other->id == request->id && other->written > 0 &&
            sim->batches[partition][other->seq].bytes != NULL) {
            return true;
        }
    }
    return false;
}

/* Checks that the granted claim of the request is in the store, in a batch
 * created in the order of sequence numbers (SEQ), and that no other granted
 * claim of its request id is in force.  A claim that its holder has released
 * is not checked: several daemons may grant the same claim, even after the
 * release; the holder acts on the first grant. */
static void
check_granted(Sim *sim, const SimRequest *request)
{
    const SimRequest *origin = &sim->requests[request->origin];
    int partition = AqClaims_Partition(request->claim.hash);
    if (origin->released) {
        return;
    }
    if (origin->written == 0 || origin->out_of_order ||
        sim->batches[partition][origin->seq].bytes == NULL) {
        Sim_Fail(sim, "id was granted without a stored batch", request->id);
    }
    for (size_t i = 0; i < sim->request_count; i++) {
        const SimRequest *other = &sim->requests[i];
        if (other->origin == request->origin || other->id != request->id ||
            other->verdict != AQ_CLAIM_GRANTED ||
            sim->requests[other->origin].released) {
            continue;
        }
        AqTime age = sim->now - other->submitted;
        if (age < sim->config.retention_ms - sim->max_skew) {
            sim->double_grants++;
            Sim_Fail(sim, "id was granted twice", request->id);
        }
    }
}

static void
decided(void *context, uint64_t number, AqClaimVerdict verdict)
{
    SimNode *node = context;
    Sim *sim = node->sim;
    SimRequest *request = &sim->requests[number];
    request->verdicts++;
    request->verdict = verdict;
    request->decided_at = sim->now;
    if (request->verdicts > 1 || request->cancelled ||
        request->generation != node->generation) {
        Sim_Fail(sim, "request received more verdicts than expected", number);
    }
    if (verdict == AQ_CLAIM_GRANTED && !sim->skips_checks) {
        check_granted(sim, request);
    }
    else if (verdict == AQ_CLAIM_DUPLICATE && !sim->skips_checks &&
             !has_other_claim(sim, request)) {
        Sim_Fail(sim, "id was rejected as duplicate without another claim",
                 request->id);
    }
    if (sim->decided != NULL) {
        sim->decided(sim, number);
    }
}

static void
start_node(SimNode *node)
{
    static const AqClaimsOps ops = {store_call, decided};
    char name[16];
    snprintf(name, sizeof(name), "entry-%d", node->index);
    node->claims = AqClaims_Create(name, &node->sim->config, &ops, node,
                                   AqRandom_Next(&node->sim->random));
    node->tick_at = AQ_TIME_NEVER;
}

void
Sim_Create(Sim *sim, uint64_t seed, int nodes, const AqClaimsConfig *config)
{
    memset(sim, 0, sizeof(*sim));
    AqRandom_Seed(&sim->random, seed);
    sim->config = *config;
    sim->node_count = nodes;
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        sim->batches[i] = calloc(SIM_MAX_SEQ, sizeof(SimBatch));
    }
    for (int i = 0; i < nodes; i++) {
        sim->nodes[i].sim = sim;
        sim->nodes[i].index = i;
        start_node(&sim->nodes[i]);
    }
}

static bool
holds_call(const Event *event)
{
    return event->run == run_reply || event->run == run_effect;
}

void
Sim_Destroy(Sim *sim)
{
    for (size_t i = 0; i < sim->heap_count; i++) {
        if (holds_call(&sim->heap[i])) {
            SimStore_FreeCall((SimCall *)(uintptr_t)sim->heap[i].argument);
        }
    }
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        for (uint64_t seq = 0; seq <= sim->newest[i]; seq++) {
            free(sim->batches[i][seq].bytes);
        }
        free(sim->batches[i]);
    }
    for (int i = 0; i < sim->node_count; i++) {
        AqClaims_Destroy(sim->nodes[i].claims);
    }
    free(sim->requests);
    free(sim->heap);
}

void
Sim_Pause(Sim *sim, int index, AqTime ms)
{
    SimNode *node = &sim->nodes[index];
    AqTime until = sim->now + ms;
    node->paused_until =
        until > node->paused_until ? until : node->paused_until;
}

void
Sim_Restart(Sim *sim, int index)
{
    SimNode *node = &sim->nodes[index];
    node->generation++;
    node->paused_until = 0;
    AqClaims_Destroy(node->claims);
    start_node(node);
}

static void
run_submit(Sim *sim, uint64_t number)
{
    SimRequest *request = &sim->requests[number];
    SimNode *node = &sim->nodes[request->node];
    if (node->paused_until > sim->now) {
        Sim_At(sim, node->paused_until, run_submit, number);
        return;
    }
    request->submitted = sim->now;
    request->generation = node->generation;
    AqClaims_Submit(node->claims, node_now(node), node_wall(node), number,
                    &request->claim);
    after_step(node);
}

static size_t
add_request(Sim *sim, int node, uint64_t id)
{
    if (sim->request_count == sim->request_capacity) {
        sim->request_capacity = 2 * sim->request_capacity + 64;
        sim->requests =
            realloc(sim->requests, sim->request_capacity * sizeof(SimRequest));
    }
    size_t number = sim->request_count++;
    SimRequest *request = &sim->requests[number];
    memset(request, 0, sizeof(*request));
    request->id = id;
    request->node = node;
    request->origin = number;
    request->claim.request = number;
    request->claim.nonce = number + 1;
    snprintf(request->claim.holder, sizeof(request->claim.holder), "entry-%d",
             node);
    char text[32];
    snprintf(text, sizeof(text), "%" PRIu64, id);
    AqClaims_Hash("track", text, request->claim.hash);
    return number;
}

size_t
Sim_Submit(Sim *sim, int node, uint64_t id)
{
    size_t number = add_request(sim, node, id);
    run_submit(sim, number);
    return number;
}

size_t
Sim_Resubmit(Sim *sim, int node, size_t number)
{
    size_t copy = add_request(sim, node, sim->requests[number].id);
    sim->requests[number].resubmitted = true;
    sim->requests[copy].resubmitted = true;
    sim->requests[copy].origin = number;
    sim->requests[copy].claim = sim->requests[number].claim;
    run_submit(sim, copy);
    return copy;
}

/* Returns the node of the request, or NULL if this node is paused or has
 * restarted since the submit and so cannot release or cancel the claim. */
static SimNode *
acting_node(Sim *sim, const SimRequest *request)
{
    SimNode *node = &sim->nodes[request->node];
    bool acts = node->paused_until <= sim->now &&
                node->generation == request->generation;
    return acts ? node : NULL;
}

void
Sim_Release(Sim *sim, size_t number)
{
    SimRequest *request = &sim->requests[number];
    SimNode *node = acting_node(sim, request);
    if (node == NULL) {
        return;
    }
    request->released = true;
    request->released_at = sim->now;
    AqClaims_Release(node->claims, node_now(node), node_wall(node),
                     &request->claim);
    after_step(node);
}

void
Sim_Cancel(Sim *sim, size_t number)
{
    SimRequest *request = &sim->requests[number];
    SimNode *node = acting_node(sim, request);
    if (node == NULL || request->verdicts > 0) {
        return;
    }
    request->cancelled = true;
    AqClaims_Cancel(node->claims, node_now(node), node_wall(node), number);
    after_step(node);
}
