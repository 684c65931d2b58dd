#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench_daemon.h"

enum {
    /* Wait in ms from the time when all daemons are ready, and the jobs
     * submitted, until the measurement.  It covers the guard time of 4 s
     * (AQ_GUARD_MS), in which a new member may use no endpoint slots, and the
     * daemons' first reads from the store. */
    SETTLE_MS = 8000,
    MEASURE_MS = 10000,
    TEAMS = 10
};

typedef struct {
    double cpu_ns;
    double rss_mb;
    double peer_bytes;
    /* Bytes that the daemon has sent and received since its start in store
     * calls, reads of the VM list, task calls and health checks. */
    double http_bytes;
    double checks;
    double check_bytes;
    bool planner;
} Sample;

static double
field(const json_t *status, const char *object, const char *name)
{
    return (double)json_integer_value(
        json_object_get(json_object_get(status, object), name));
}

/* Reads the CPU time and the resident memory of a process.  The file schedstat
 * counts the same CPU time as the file stat, but in ns, not in ticks of 10 ms
 * each. */
static void
read_process(pid_t pid, Sample *sample)
{
    char path[64];
    long pages = 0;
    snprintf(path, sizeof(path), "/proc/%d/schedstat", (int)pid);
    FILE *file = fopen(path, "r");
    if (file == NULL || fscanf(file, "%lf", &sample->cpu_ns) != 1) {
        bench_fail(path, "cannot be read");
    }
    fclose(file);
    snprintf(path, sizeof(path), "/proc/%d/statm", (int)pid);
    file = fopen(path, "r");
    if (file == NULL || fscanf(file, "%*s %ld", &pages) != 1) {
        bench_fail(path, "cannot be read");
    }
    fclose(file);
    sample->rss_mb = (double)(pages * sysconf(_SC_PAGESIZE)) / 1048576.0;
}

static void
take_sample(const BenchSite *site, int daemon, Sample *sample)
{
    json_t *status = bench_status(site, daemon);
    sample->peer_bytes = field(status, "peers", "bytes_sent") +
                         field(status, "peers", "bytes_received");
    sample->http_bytes = field(status, "http", "bytes_sent") +
                         field(status, "http", "bytes_received");
    sample->checks = field(status, "health", "checks");
    sample->check_bytes = field(status, "health", "bytes");
    sample->planner = json_is_true(json_object_get(status, "planner"));
    json_decref(status);
    read_process(AqProcess_Pid(site->daemons[daemon]), sample);
}

/* ---- Jobs --------------------------------------------------------------- */

static void
submit_jobs(BenchSite *site)
{
    char args[256];
    for (int i = 0; i < TEAMS && site->plan.jobs > 0; i++) {
        snprintf(args, sizeof(args),
                 "{\"name\":\"team%d\",\"cores\":100000,"
                 "\"memory_mb\":100000000}",
                 i);
        if (bench_intent(site, "team.set", args) != 200) {
            bench_fail("team.set", "was not accepted");
        }
    }
    for (int i = 0; i < site->plan.jobs; i++) {
        snprintf(args, sizeof(args),
                 "{\"id\":\"job%d\",\"team\":\"team%d\",\"cores\":1,"
                 "\"memory_mb\":1024,\"run_ms\":600000}",
                 i, i % TEAMS);
        long status = bench_intent(site, "job.submit", args);
        if (status != 200 && status != 202) {
            bench_fail("job.submit", "was not accepted");
        }
    }
}

/* ---- Table -------------------------------------------------------------- */

static const char *const store_call_kinds[] = {
    "kv_get",    "kv_list",  "kv_watch",    "kv_put",
    "vms_watch", "task_put", "tasks_watch", "task_action"};

enum {
    STORE_CALL_KINDS = sizeof(store_call_kinds) / sizeof(store_call_kinds[0])
};

/* Columns after the numbers of daemons, VMs, pools, slots and jobs: processor
 * use of a daemon without the planner and of the one with it, in percent of a
 * core; largest resident memory of a daemon; bytes a second per daemon to and
 * from peers; HTTP bytes a second without health checks of a daemon without
 * the planner and of the one with it; health checks a second and their bytes
 * per daemon; store calls of each kind a second by all daemons; size of one VM
 * list. */
void
bench_idle_header(void)
{
    printf("| daemons | VMs | pools | slots | jobs | core %% | of the planner "
           "| MB | peer B/s | HTTP B/s without checks | of the planner "
           "| checks/s | check B/s");
    for (int i = 0; i < STORE_CALL_KINDS; i++) {
        printf(" | %s/s", store_call_kinds[i]);
    }
    printf(" | VM list bytes |\n");
}

static void
print_row(const BenchPlan *plan, const Sample *before, const Sample *after,
          double seconds)
{
    double cpu = 0;
    double planner_cpu = 0;
    double memory = 0;
    double peers = 0;
    double http = 0;
    double planner_http = 0;
    double checks = 0;
    double check_bytes = 0;
    int others = 0;
    for (int i = 0; i < plan->daemons; i++) {
        double core = (after[i].cpu_ns - before[i].cpu_ns) / 1e7 / seconds;
        double bytes = (after[i].check_bytes - before[i].check_bytes);
        double rest =
            (after[i].http_bytes - before[i].http_bytes - bytes) / seconds;
        check_bytes += bytes / seconds / plan->daemons;
        checks +=
            (after[i].checks - before[i].checks) / seconds / plan->daemons;
        peers += (after[i].peer_bytes - before[i].peer_bytes) / seconds /
                 plan->daemons;
        memory = after[i].rss_mb > memory ? after[i].rss_mb : memory;
        if (after[i].planner) {
            planner_cpu = core;
            planner_http = rest;
        }
        else {
            cpu += core;
            http += rest;
            others++;
        }
    }
    others = others > 0 ? others : 1;
    printf("| %d | %d | %d | %d | %d | %.2f | %.2f | %.1f | %.0f | %.0f "
           "| %.0f | %.1f | %.0f",
           plan->daemons, plan->vms, plan->pools, plan->slots, plan->jobs,
           cpu / others, planner_cpu, memory, peers, http / others,
           planner_http, checks, check_bytes);
}

/* Returns the size of the VM list in bytes.  Every daemon receives the list at
 * each change and at the end of each long poll of 30 s, which is longer than
 * the measurement. */
static size_t
read_vm_list_bytes(const BenchSite *site)
{
    char url[128];
    AqError error;
    AqTestHttpReply reply = {0};
    AqTestHttpCall call = {.method = "GET", .url = url};
    snprintf(url, sizeof(url), "http://%s/v1/vms",
             AqProcess_Address(site->platform, "platform"));
    if (!AqTestHttp_Call(&call, &reply, &error)) {
        bench_fail(url, error.message);
    }
    size_t size = reply.body.size;
    AqTestHttpReply_Clear(&reply);
    return size;
}

void
bench_idle(const BenchPlan *plan)
{
    BenchSite site;
    Sample before[BENCH_MAX_DAEMONS];
    Sample after[BENCH_MAX_DAEMONS];
    bench_start(&site, plan);
    submit_jobs(&site);
    bench_sleep(SETTLE_MS);
    json_t *first =
        bench_control(site.platform, "GET", "/test/v1/calls", NULL);
    double start = bench_now_us();
    for (int i = 0; i < plan->daemons; i++) {
        take_sample(&site, i, &before[i]);
    }
    bench_sleep(MEASURE_MS);
    for (int i = 0; i < plan->daemons; i++) {
        take_sample(&site, i, &after[i]);
    }
    double seconds = (bench_now_us() - start) / 1e6;
    json_t *last = bench_control(site.platform, "GET", "/test/v1/calls", NULL);
    print_row(plan, before, after, seconds);
    for (int i = 0; i < STORE_CALL_KINDS; i++) {
        double count =
            (double)(json_integer_value(
                         json_object_get(last, store_call_kinds[i])) -
                     json_integer_value(
                         json_object_get(first, store_call_kinds[i])));
        printf(" | %.1f", count / seconds);
    }
    printf(" | %zu |\n", read_vm_list_bytes(&site));
    fflush(stdout);
    json_decref(first);
    json_decref(last);
    bench_stop(&site);
}
