#include <stdio.h>

#include "tests/sim.h"

/* Measures the router on virtual time, with all mechanisms and with some of
 * them disabled.  Prints each figure as the mean over the seeds, with the
 * minimum and the maximum in brackets.  The figures depend on the simulation
 * only, not on the machine. */

enum {
    SEEDS = 20,
    SLOTS = 8,     /* slots per endpoint */
    MEAN_MS = 100, /* mean service time of each endpoint */
    /* For how long, in ms of virtual time, requests arrive in
     * measure_overload. */
    LOAD_MS = 20000
};

typedef struct {
    double sum;
    double min;
    double max;
    int count;
} Summary;

static void
add(Summary *summary, double value)
{
    if (summary->count == 0 || value < summary->min) {
        summary->min = value;
    }
    if (summary->count == 0 || value > summary->max) {
        summary->max = value;
    }
    summary->sum += value;
    summary->count++;
}

static void
print_summary(const Summary *summary)
{
    printf("  %8.3f [%.3f, %.3f]", summary->sum / summary->count, summary->min,
           summary->max);
}

/* Submits requests for "ms" ms of virtual time, as a Poisson process with a
 * mean of "per_ms" requests per ms.  The deadline of each request is
 * "timeout_ms" ms after its submission. */
static void
run_load(Sim *sim, double per_ms, AqTime ms, AqTime timeout_ms)
{
    AqTime end = sim->now + ms;
    double at = (double)sim->now;
    while (sim->now < end) {
        at += AqRandom_Exponential(&sim->random, 1.0 / per_ms);
        if ((AqTime)at > sim->now) {
            Sim_Run(sim, (AqTime)at - sim->now);
        }
        Sim_Submit(sim, true, AQ_PRIORITY_LIVE, timeout_ms, 0);
    }
}

/* Router configuration to measure, with its name in the output. */
typedef struct {
    const char *name;
    /* AQ_ROUTER_DISABLE_* bits that are set in this configuration. */
    unsigned disabled;
} Variant;

/* Measures, with requests arriving at "load" times the capacity of the
 * endpoints: the goodput, i.e. requests completed while others arrive, as a
 * share of that capacity; the mean time from submission to refusal, in ms; and
 * the attempts per completed request. */
static void
measure_overload(const Variant *variant, int load)
{
    const int endpoints = 8;
    const AqTime timeout_ms = 1000;
    Summary goodput = {0};
    Summary refused_ms = {0};
    Summary attempts = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim sim;
        Sim_Init(&sim, seed, variant->disabled);
        Sim_Start(&sim, endpoints, SLOTS, MEAN_MS);
        double capacity = (double)endpoints * SLOTS / MEAN_MS;
        run_load(&sim, load * capacity, LOAD_MS, timeout_ms);
        Sim_Run(&sim, timeout_ms);
        double waited_ms = 0;
        int refused = 0;
        int in_time = 0;
        for (guint i = 1; i <= sim.requests->len; i++) {
            const SimRequest *r = Sim_Request(&sim, i);
            in_time += r->outcome.kind == AQ_OUTCOME_COMPLETED &&
                       r->finished_at <= LOAD_MS;
            if (r->outcome.kind == AQ_OUTCOME_NOT_RUN) {
                refused++;
                waited_ms += (double)(r->finished_at - r->submitted);
            }
        }
        add(&goodput, in_time / (capacity * LOAD_MS));
        add(&refused_ms, refused == 0 ? 0 : waited_ms / refused);
        add(&attempts, (double)sim.attempts->len / Sim_Completed(&sim));
        Sim_Clear(&sim);
    }
    printf("%dx  %-28s", load, variant->name);
    print_summary(&goodput);
    print_summary(&refused_ms);
    print_summary(&attempts);
    printf("\n");
}

/* Measures the attempts per request and the share of completed requests in the
 * 5 s after a third of the endpoints gets the fault, at 60% load.  A load of
 * 100% is the capacity of all endpoints. */
static void
measure_loss(const Variant *variant, SimFault fault, const char *fault_name)
{
    Summary amplification = {0};
    Summary completed = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim sim;
        Sim_Init(&sim, seed, variant->disabled);
        Sim_Start(&sim, 9, SLOTS, MEAN_MS);
        double capacity = 9.0 * SLOTS / MEAN_MS;
        run_load(&sim, 0.6 * capacity, 5000, 2000);
        guint requests = sim.requests->len;
        guint attempts = sim.attempts->len;
        for (int i = 0; i < 3; i++) {
            sim.endpoints[i].fault = fault;
        }
        run_load(&sim, 0.6 * capacity, 5000, 2000);
        Sim_Run(&sim, 2000);
        double n = (double)(sim.requests->len - requests);
        add(&amplification, (double)(sim.attempts->len - attempts) / n);
        int done = 0;
        for (guint i = requests + 1; i <= sim.requests->len; i++) {
            done += Sim_Request(&sim, i)->outcome.kind == AQ_OUTCOME_COMPLETED;
        }
        add(&completed, done / n);
        Sim_Clear(&sim);
    }
    printf("%-10s %-28s", fault_name, variant->name);
    print_summary(&amplification);
    print_summary(&completed);
    printf("\n");
}

/* Measures how many requests are not completed, and how many are completed
 * after more than 1 s, when the open connections of a third of the endpoints
 * get no responses any more.  The load is 50%, i.e. half the capacity of all
 * endpoints. */
static void
measure_silent(const Variant *variant)
{
    Summary lost = {0};
    Summary late = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim sim;
        Sim_Init(&sim, seed, variant->disabled);
        Sim_Start(&sim, 9, SLOTS, MEAN_MS);
        double capacity = 9.0 * SLOTS / MEAN_MS;
        run_load(&sim, 0.5 * capacity, 5000, 10000);
        for (int i = 0; i < 3; i++) {
            Sim_SilenceConnections(&sim, i);
        }
        run_load(&sim, 0.5 * capacity, 20000, 10000);
        Sim_Run(&sim, 10000);
        int slow = 0;
        for (guint i = 1; i <= sim.requests->len; i++) {
            const SimRequest *r = Sim_Request(&sim, i);
            slow += r->outcome.kind == AQ_OUTCOME_COMPLETED &&
                    r->finished_at - r->submitted > 1000;
        }
        add(&lost, (double)sim.requests->len - Sim_Completed(&sim));
        add(&late, slow);
        Sim_Clear(&sim);
    }
    printf("%-28s", variant->name);
    print_summary(&lost);
    print_summary(&late);
    printf("\n");
}

static const Variant overload_variants[] = {
    {"all", 0},
    {"no admission", AQ_ROUTER_DISABLE_ADMISSION},
    {"no queue limit", AQ_ROUTER_DISABLE_QUEUE_LIMIT},
    {"no admission, no queue limit",
     AQ_ROUTER_DISABLE_ADMISSION | AQ_ROUTER_DISABLE_QUEUE_LIMIT},
    {"no load choice", AQ_ROUTER_DISABLE_LOAD_CHOICE},
};

static const Variant loss_variants[] = {
    {"all", 0},
    {"no retry budget", AQ_ROUTER_DISABLE_RETRY_BUDGET},
    {"no ejection", AQ_ROUTER_DISABLE_EJECTION},
    {"no retry budget, no ejection",
     AQ_ROUTER_DISABLE_RETRY_BUDGET | AQ_ROUTER_DISABLE_EJECTION},
    {"no retry", AQ_ROUTER_DISABLE_RETRY},
};

static const Variant silent_variants[] = {
    {"all", 0},
    {"no detection", AQ_ROUTER_DISABLE_SILENT},
    {"no ejection", AQ_ROUTER_DISABLE_EJECTION},
    {"no retry budget", AQ_ROUTER_DISABLE_RETRY_BUDGET},
    {"no detection, no ejection",
     AQ_ROUTER_DISABLE_SILENT | AQ_ROUTER_DISABLE_EJECTION},
};

int
main(void)
{
    printf("Overload: goodput per capacity; ms until a refusal; attempts per "
           "completed request\n");
    for (int load = 1; load <= 4; load *= 2) {
        for (size_t i = 0; i < G_N_ELEMENTS(overload_variants); i++) {
            measure_overload(&overload_variants[i], load);
        }
    }
    printf("Loss of 3 of 9 endpoints: attempts per request; share "
           "completed\n");
    for (size_t i = 0; i < G_N_ELEMENTS(loss_variants); i++) {
        measure_loss(&loss_variants[i], SIM_CUT, "cut");
        measure_loss(&loss_variants[i], SIM_DEAD, "dead");
    }
    printf("Silent connections on 3 of 9 endpoints: requests lost; completed "
           "after 1 s\n");
    for (size_t i = 0; i < G_N_ELEMENTS(silent_variants); i++) {
        measure_silent(&silent_variants[i]);
    }
    return 0;
}
