#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "aq_json.h"
#include "aq_test_http.h"
#include "demo.h"

/* Time in ms after the start of a drain within which new requests may still
 * reach the drained VM: item 6 of section 1.2 of the requirements. */
#define NEW_WORK_LIMIT_MS 3000

/* Sums and maxima over the summary files of all load generators (callers) of
 * the demo.  Two copies of a request, sent with the same request id, count as
 * two requests. */
typedef struct {
    int64_t sent;
    int64_t completed;
    int64_t not_run;
    int64_t unknown; /* number of responses with the outcome "unknown" */
    /* Number of responses with the outcome "unknown" to idempotent
     * requests. */
    int64_t unknown_idempotent;
    /* Number of responses with status 409, with which a daemon refuses a
     * second copy of a request because the request id is already claimed. */
    int64_t unknown_repeats;
    /* Number of responses that belong to another request or have no valid
     * outcome. */
    int64_t wrong;
    /* Number of responses that were truncated or did not arrive, from the
     * daemons to which the demo sent no SIGKILL. */
    int64_t lost;
    /* Number of responses that were truncated or did not arrive, from daemon
     * DEMO_KILLED. */
    int64_t lost_by_kill;
    /* Number of requests that were never sent, because the daemons refused the
     * connection on every attempt. */
    int64_t unsent;
    /* Number of responses with the outcome "not-run" that lack the header
     * Retry-After or Aq-Retry-After-Ms. */
    int64_t no_retry_after;
    /* Number of requests to which daemons responded with the outcome "not-run"
     * although an endpoint ran the request. */
    int64_t not_run_but_run;
    double p50_ms; /* highest median latency of a caller's requests in ms */
    /* Highest 99th percentile of the latencies of a caller's requests in
     * ms. */
    double p99_ms;
    int summaries; /* number of callers whose summary file was read */
} CallerTally;

/* Sums and maxima over the counters of all simulated endpoints of the demo. */
typedef struct {
    int64_t runs; /* number of times that an endpoint ran a request */
    /* Number of ids of non-idempotent requests that ran more than once. */
    int64_t non_idempotent_repeats;
    /* Number of ids of idempotent requests that ran more than once. */
    int64_t idempotent_repeats;
    /* Number of requests that reached the drained endpoint more than 3 s after
     * the start of the drain. */
    int64_t late_requests;
    /* Time in ms from the start of the drain to the last request that reached
     * the drained endpoint; -1 without such a request. */
    int64_t last_delay_ms;
    /* Number of requests that endpoints rejected for lack of a free slot. */
    int64_t rejected;
    /* Highest number of slots of one endpoint that were in use at the same
     * time. */
    int64_t max_slots;
    /* Highest number of connections to one endpoint that were open at the same
     * time. */
    int64_t max_connections;
    /* Request id -> number of times that an endpoint ran the request; owned.
     */
    json_t *counts;
} EndpointTally;

/* Returns an integer field of a JSON object; 0 when the field is absent. */
static int64_t
int_field(const json_t *object, const char *field)
{
    return json_integer_value(json_object_get(object, field));
}

/* ---- Results of the endpoints ------------------------------------------ */

static void
tally_endpoint(EndpointTally *tally, const json_t *endpoint)
{
    size_t i;
    json_t *late;
    json_array_foreach(json_object_get(endpoint, "after_leave"), i, late)
    {
        int64_t delay = int_field(late, "delay_ms");
        tally->late_requests += delay > NEW_WORK_LIMIT_MS;
        tally->last_delay_ms =
            delay > tally->last_delay_ms ? delay : tally->last_delay_ms;
    }
    int64_t slots = int_field(endpoint, "max_slots");
    int64_t connections = int_field(endpoint, "max_connections");
    tally->rejected += int_field(endpoint, "not_run");
    tally->max_slots = slots > tally->max_slots ? slots : tally->max_slots;
    tally->max_connections = connections > tally->max_connections
                                 ? connections
                                 : tally->max_connections;
}

static bool
tally_endpoints(const Demo *demo, EndpointTally *tally, AqError *error)
{
    char url[128];
    size_t i;
    json_t *endpoint;
    const char *id;
    json_t *runs;
    tally->last_delay_ms = -1;
    snprintf(url, sizeof(url), "http://%s/test/v1/runs?ids",
             AqProcess_Address(demo->endpoints.process, "control"));
    json_t *record = AqTestHttp_Json("GET", url, NULL, NULL, NULL, error);
    if (record == NULL) {
        return false;
    }
    tally->runs = int_field(record, "total");
    tally->counts = json_incref(json_object_get(record, "counts"));
    json_object_foreach(json_object_get(record, "more_than_once"), id, runs)
    {
        tally->non_idempotent_repeats += strncmp(id, "n-", 2) == 0;
        tally->idempotent_repeats += strncmp(id, "i-", 2) == 0;
    }
    json_array_foreach(json_object_get(record, "endpoints"), i, endpoint)
    {
        tally_endpoint(tally, endpoint);
    }
    json_decref(record);
    return true;
}

/* ---- Results of the callers -------------------------------------------- */

static void
tally_daemons(CallerTally *tally, const json_t *daemons)
{
    size_t i;
    json_t *daemon;
    json_array_foreach(daemons, i, daemon)
    {
        int64_t lost = int_field(daemon, "cut") + int_field(daemon, "closed") +
                       int_field(daemon, "no_answer");
        if (i == DEMO_KILLED) {
            tally->lost_by_kill += lost;
        }
        else {
            tally->lost += lost;
        }
    }
}

static void
tally_summary(CallerTally *tally, const json_t *summary, const json_t *counts)
{
    size_t i;
    json_t *id;
    const json_t *latency = json_object_get(summary, "latency_ms");
    double p50 = json_number_value(json_object_get(latency, "p50"));
    double p99 = json_number_value(json_object_get(latency, "p99"));
    tally->summaries++;
    tally->sent += int_field(summary, "sent");
    tally->completed += int_field(summary, "completed");
    tally->not_run += int_field(summary, "not_run");
    tally->unknown += int_field(summary, "unknown");
    tally->unknown_idempotent += int_field(summary, "unknown_idempotent");
    tally->unknown_repeats +=
        int_field(json_object_get(summary, "statuses"), "409");
    tally->wrong += int_field(summary, "wrong");
    tally->unsent += int_field(summary, "unsent");
    tally->no_retry_after += int_field(summary, "no_retry_after");
    tally->p50_ms = p50 > tally->p50_ms ? p50 : tally->p50_ms;
    tally->p99_ms = p99 > tally->p99_ms ? p99 : tally->p99_ms;
    tally_daemons(tally, json_object_get(summary, "daemons"));
    json_array_foreach(json_object_get(summary, "not_run_ids"), i, id)
    {
        tally->not_run_but_run +=
            json_object_get(counts, json_string_value(id)) != NULL;
    }
}

static void
tally_callers(const Demo *demo, CallerTally *tally, const json_t *counts)
{
    for (int i = 0; i < DEMO_POOLS; i++) {
        char path[640];
        snprintf(path, sizeof(path), "%s/caller-%s.json",
                 demo->options.directory, Demo_PoolName(i));
        json_t *summary = json_load_file(path, 0, NULL);
        if (summary != NULL) {
            tally_summary(tally, summary, counts);
        }
        json_decref(summary);
    }
}

/* ---- Table ------------------------------------------------------------- */

static void
print_row(const char *name, const char *value, const char *verdict)
{
    printf("| %-45s | %14s | %-22s |\n", name, value, verdict);
}

static void
print_rule(void)
{
    char line[88];
    memset(line, '-', sizeof(line) - 1);
    line[sizeof(line) - 1] = '\0';
    printf("+%s+\n", line);
}

static void
print_count(const char *name, int64_t count)
{
    char value[24];
    snprintf(value, sizeof(value), "%" PRId64, count);
    print_row(name, value, "");
}

/* Prints a count that must be 0 according to an invariant, item "item" of
 * section 1.2 of the requirements.  Returns whether the count is 0. */
static bool
print_zero_invariant(const char *name, int64_t count, int item)
{
    char value[24];
    char verdict[40];
    snprintf(value, sizeof(value), "%" PRId64, count);
    snprintf(verdict, sizeof(verdict), "%s (item %d)",
             count == 0 ? "held" : "DID NOT HOLD", item);
    print_row(name, value, verdict);
    return count == 0;
}

/* Prints a row of the report: whether a step of the demo's plan happened
 * ("done") and how many ms the step took; ms is -1 for a step whose time is
 * not measured.  Returns "done".  The demo fails when a step did not happen,
 * because the checks of the invariants, such as that no non-idempotent request
 * ran twice, then did not cover the fault of that step. */
static bool
print_step(const char *name, bool done, AqTime ms)
{
    char value[24] = "-";
    if (done && ms >= 0) {
        snprintf(value, sizeof(value), "%lld ms", (long long)ms);
    }
    print_row(name, value, done ? "done" : "DID NOT HAPPEN");
    return done;
}

/* Prints, for each pool, the lowest number of serving VMs that a daemon
 * reported.  Returns whether no pool had fewer than DEMO_MIN_SERVING serving
 * VMs. */
static bool
print_capacity(const Demo *demo)
{
    bool ok = true;
    for (int pool = 0; pool < DEMO_POOLS; pool++) {
        char name[64];
        char value[24];
        int lowest = demo->observed.lowest_serving[pool];
        bool held = lowest >= DEMO_MIN_SERVING;
        snprintf(name, sizeof(name), "lowest capacity of pool %s (budget %d)",
                 Demo_PoolName(pool), DEMO_MIN_SERVING);
        snprintf(value, sizeof(value), lowest >= 0 ? "%d VMs" : "not read",
                 lowest);
        print_row(name, value,
                  held ? "held (item 1)" : "DID NOT HOLD (item 1)");
        ok = ok && held;
    }
    return ok;
}

static bool
print_steps(const Demo *demo, const CallerTally *callers)
{
    const DemoObservations *observed = &demo->observed;
    const DemoProcess *stopped = &demo->daemons[DEMO_STOPPED];
    bool ok = print_step("drain accepted", demo->drain_accepted > 0,
                         demo->drain_accepted - demo->drain_started);
    ok = print_step("drain time", observed->drained_at > 0,
                    observed->drained_at - demo->drain_started) &&
         ok;
    ok = print_step("second drain refused (exit status 3)",
                    demo->second_drain.ended && demo->second_drain.status == 3,
                    -1) &&
         ok;
    ok = print_step("graceful stop, exit status 0",
                    stopped->ended && stopped->status == 0,
                    demo->stop_ended - demo->stop_started) &&
         ok;
    ok = print_step("third daemon still running",
                    Demo_IsRunning(&demo->daemons[DEMO_KEPT]), -1) &&
         ok;
    ok = print_step("callers ended in time",
                    !demo->expired && callers->summaries == DEMO_POOLS, -1) &&
         ok;
    return print_step("at least one request completed", callers->completed > 0,
                      -1) &&
           ok;
}

static bool
print_invariants(const Demo *demo, const CallerTally *callers,
                 const EndpointTally *endpoints)
{
    const DemoObservations *observed = &demo->observed;
    bool ok = print_capacity(demo);
    ok = print_zero_invariant("VM records without their pool",
                              (int64_t)observed->wrong_pool, 2) &&
         ok;
    ok = print_zero_invariant("wrong or crossed answer", callers->wrong, 3) &&
         ok;
    ok = print_zero_invariant("told not-run but run", callers->not_run_but_run,
                              4) &&
         ok;
    ok = print_zero_invariant("run twice (non-idempotent)",
                              endpoints->non_idempotent_repeats, 5) &&
         ok;
    ok = print_zero_invariant("new work over 3 s after the drain",
                              endpoints->late_requests, 6) &&
         ok;
    ok = print_zero_invariant("cut off or unanswered (SIGKILL aside)",
                              callers->lost, 7) &&
         ok;
    return print_zero_invariant("configuration reverted or late",
                                (int64_t)observed->reverted, 8) &&
           ok;
}

static void
print_counts(const CallerTally *callers, const EndpointTally *endpoints)
{
    char value[32];
    print_count("requests sent", callers->sent);
    print_count("requests completed", callers->completed);
    print_count("answered not-run", callers->not_run);
    print_count("  of them without a time to come back",
                callers->no_retry_after);
    print_count("answered outcome-unknown", callers->unknown);
    print_count("  of them idempotent", callers->unknown_idempotent);
    print_count("  of them repeats of a claimed id", callers->unknown_repeats);
    print_count("no answer because of SIGKILL", callers->lost_by_kill);
    print_count("refused by every daemon (not sent)", callers->unsent);
    print_count("idempotent run more than once (with repeats)",
                endpoints->idempotent_repeats);
    print_count("refused by an endpoint without a free slot",
                endpoints->rejected);
    print_count("most slots in use at one endpoint (limit 8)",
                endpoints->max_slots);
    print_count("most connections at one endpoint (limit 64)",
                endpoints->max_connections);
    print_count("last new work after the drain (ms; -1: none)",
                endpoints->last_delay_ms);
    snprintf(value, sizeof(value), "%.1f / %.1f", callers->p50_ms,
             callers->p99_ms);
    print_row("latency p50 / p99 of the slower caller (ms)", value, "");
}

bool
Demo_Report(Demo *demo)
{
    CallerTally callers = {0};
    EndpointTally endpoints = {0};
    AqError error;
    if (!tally_endpoints(demo, &endpoints, &error)) {
        fprintf(stderr, "aq-demo: %s\n", error.message);
        return false;
    }
    tally_callers(demo, &callers, endpoints.counts);
    json_decref(endpoints.counts);
    printf("\n");
    print_rule();
    print_counts(&callers, &endpoints);
    print_rule();
    bool steps = print_steps(demo, &callers);
    print_rule();
    bool held = print_invariants(demo, &callers, &endpoints);
    print_rule();
    printf("%s\n", held && steps ? "All invariants held."
                   : held        ? "A step of the demo did not happen."
                                 : "An invariant did not hold.");
    return held && steps;
}
