#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_daemon.h"

enum {
    MAX_WORKERS = 32,
    /* Most latencies that one worker records; later completed requests are not
     * counted. */
    MAX_REQUESTS = 200000,
    SECONDS = 5,
    TIMEOUT_MS = 5000,
    LATE_THRESHOLD_US = 1000000,
    SILENT_ROUNDS = 5,
    SILENCE_DELAY_MS = 2000
};

typedef enum {
    KIND_IDEMPOTENT,
    KIND_NON_IDEMPOTENT
} Kind;

/* Caller thread that sends its next request when the response to the previous
 * request has arrived. */
typedef struct {
    pthread_t thread;
    int number;
    int run;
    Kind kind;
    char url[160];
    double end_us;
    /* Latencies of the worker's completed requests, in us. */
    double *latency_us;
    size_t completed;
    size_t not_run;
    /* Number of requests without a response, or with a response whose outcome
     * is neither completed nor not-run. */
    size_t unknown;
    size_t late; /* requests completed more than 1 s after they began */
} Worker;

static int run_count;

static void
count_reply(Worker *worker, const AqTestHttpReply *reply, double us)
{
    /* Default for the response of an endpoint that is called directly, which
     * has no Aq-Outcome header. */
    char outcome[24] = "completed";
    AqTestHttpReply_Header(reply, "Aq-Outcome", outcome, sizeof(outcome));
    if (reply->status == 200 && strcmp(outcome, "completed") == 0) {
        worker->late += us > LATE_THRESHOLD_US;
        if (worker->completed < MAX_REQUESTS) {
            worker->latency_us[worker->completed++] = us;
        }
    }
    else if (strcmp(outcome, "not-run") == 0) {
        worker->not_run++;
    }
    else {
        worker->unknown++;
    }
}

static void *
run_worker(void *context)
{
    Worker *worker = context;
    AqTestHttpClient *client = AqTestHttpClient_Create();
    bool is_non_idempotent = worker->kind == KIND_NON_IDEMPOTENT;
    for (long i = 0; bench_now_us() < worker->end_us; i++) {
        char id[96];
        AqError error;
        AqTestHttpReply reply = {0};
        snprintf(id, sizeof(id), "Aq-Request-Id: r%d-%d-%ld", worker->run,
                 worker->number, i);
        const char *headers[] = {id, "Aq-Timeout-Ms: 5000", NULL};
        AqTestHttpCall call = {.method = is_non_idempotent ? "POST" : "GET",
                               .url = worker->url,
                               .headers = headers,
                               .body = is_non_idempotent ? "x" : NULL,
                               .size = is_non_idempotent ? 1 : 0,
                               .timeout_ms = TIMEOUT_MS + 3000};
        double start = bench_now_us();
        if (AqTestHttpClient_Call(client, &call, &reply, &error)) {
            count_reply(worker, &reply, bench_now_us() - start);
        }
        else {
            worker->unknown++;
        }
        AqTestHttpReply_Clear(&reply);
    }
    AqTestHttpClient_Destroy(client);
    return NULL;
}

static void
start_workers(Worker *workers, int count, Kind kind, int ms)
{
    for (int i = 0; i < count; i++) {
        Worker *worker = &workers[i];
        worker->number = i;
        worker->run = ++run_count;
        worker->kind = kind;
        worker->end_us = bench_now_us() + ms * 1000.0;
        worker->latency_us = malloc(MAX_REQUESTS * sizeof(double));
        if (worker->latency_us == NULL ||
            pthread_create(&worker->thread, NULL, run_worker, worker) != 0) {
            bench_fail("a caller", "cannot be started");
        }
    }
}

/* Waits for all callers and adds their results to those of workers[0]. */
static void
join_workers(Worker *workers, int count)
{
    Worker *sum = &workers[0];
    for (int i = 0; i < count; i++) {
        pthread_join(workers[i].thread, NULL);
    }
    for (int i = 1; i < count; i++) {
        const Worker *worker = &workers[i];
        sum->latency_us =
            realloc(sum->latency_us,
                    (sum->completed + worker->completed + 1) * sizeof(double));
        if (sum->latency_us == NULL) {
            bench_fail("memory", "is used up");
            return;
        }
        memcpy(sum->latency_us + sum->completed, worker->latency_us,
               worker->completed * sizeof(double));
        sum->completed += worker->completed;
        sum->not_run += worker->not_run;
        sum->unknown += worker->unknown;
        sum->late += worker->late;
        free(worker->latency_us);
    }
}

/* ---- Rate and latency --------------------------------------------------- */

static void
set_urls(const BenchSite *site, Worker *workers, int count, bool direct)
{
    memset(workers, 0, sizeof(*workers) * (size_t)count);
    for (int i = 0; i < count; i++) {
        if (direct) {
            char name[24];
            snprintf(name, sizeof(name), "endpoint%d",
                     i % BENCH_PORTS_PER_ENDPOINT);
            snprintf(workers[i].url, sizeof(workers[i].url), "http://%s/work",
                     AqProcess_Address(
                         site->endpoints[i % site->plan.endpoints], name));
        }
        else {
            bench_url(site, i % site->plan.daemons, "callers",
                      "/v1/services/service-00/work", workers[i].url,
                      sizeof(workers[i].url));
        }
    }
}

static void
measure(const BenchSite *site, int callers, bool direct, Kind kind)
{
    Worker workers[MAX_WORKERS];
    set_urls(site, workers, callers, direct);
    start_workers(workers, callers, kind, SECONDS * 1000);
    join_workers(workers, callers);
    Worker *sum = &workers[0];
    double p99 = bench_percentile(sum->latency_us, sum->completed, 99);
    printf("| %d | %d | %s | %s | %.0f | %.2f | %.2f | %zu |\n",
           site->plan.daemons, callers, direct ? "direct" : "daemon",
           kind == KIND_IDEMPOTENT ? "idempotent" : "non-idempotent",
           (double)sum->completed / SECONDS,
           bench_percentile(sum->latency_us, sum->completed, 50) / 1000,
           p99 / 1000, sum->not_run + sum->unknown);
    fflush(stdout);
    free(sum->latency_us);
}

void
bench_requests(int daemons)
{
    static const int callers[] = {1, 8, MAX_WORKERS};
    BenchSite site;
    BenchPlan plan = {.daemons = daemons,
                      .vms = 16,
                      .pools = 1,
                      .slots = 64,
                      .endpoints = 4,
                      .service_ms = 1};
    bench_start(&site, &plan);
    /* The wait covers the guard time of 4 s (AQ_GUARD_MS) after the start of
     * the daemons, in which a new member may use no endpoint slots. */
    bench_sleep(6000);
    for (size_t i = 0; i < sizeof(callers) / sizeof(callers[0]); i++) {
        measure(&site, callers[i], true, KIND_IDEMPOTENT);
        measure(&site, callers[i], false, KIND_IDEMPOTENT);
        measure(&site, callers[i], true, KIND_NON_IDEMPOTENT);
        measure(&site, callers[i], false, KIND_NON_IDEMPOTENT);
    }
    bench_stop(&site);
}

/* ---- Silent connections ------------------------------------------------- */

static void
run_silent_round(BenchSite *site, int round)
{
    Worker workers[2][8];
    for (int kind = 0; kind < 2; kind++) {
        set_urls(site, workers[kind], 8, false);
        start_workers(workers[kind], 8, (Kind)kind, 10000);
    }
    bench_sleep(SILENCE_DELAY_MS);
    /* All open connections of one of the four endpoint processes become
     * silent: they stay open but carry no more bytes. */
    json_decref(bench_control(site->endpoints[round % site->plan.endpoints],
                              "POST", "/test/v1/faults",
                              "{\"silence_open\":true}"));
    printf("| %d", round + 1);
    for (int kind = 0; kind < 2; kind++) {
        Worker *sum = &workers[kind][0];
        join_workers(workers[kind], 8);
        printf(" | %zu | %zu | %zu | %zu", sum->completed, sum->late,
               sum->not_run, sum->unknown);
        free(sum->latency_us);
    }
    printf(" |\n");
    fflush(stdout);
}

void
bench_silent(void)
{
    BenchSite site;
    BenchPlan plan = {.daemons = 3,
                      .vms = 16,
                      .pools = 1,
                      .slots = 8,
                      .endpoints = 4,
                      .service_ms = 20};
    /* Columns: numbers of requests in one round by kind and outcome; "after 1
     * s" counts the completed requests that took more than 1 s. */
    printf("| round | idempotent: completed | after 1 s | not run | unknown "
           "| non-idempotent: completed | after 1 s | not run | unknown |\n");
    bench_start(&site, &plan);
    bench_sleep(6000);
    for (int round = 0; round < SILENT_ROUNDS; round++) {
        run_silent_round(&site, round);
    }
    bench_stop(&site);
}
