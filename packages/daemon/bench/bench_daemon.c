#include "bench_daemon.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Measures daemons in real processes on loopback and prints tables.  Usage:
 *   bench_daemon [--bin DIRECTORY] requests|silent|changes|idle|jobs
 *   bench_daemon [--bin DIRECTORY] case DAEMONS VMS POOLS SLOTS JOBS
 * "requests": requests a second and their latency, through daemons and
 * directly at the endpoints.  "silent": numbers of requests that take more
 * than 1 s, are not run or end with an unknown outcome when open connections
 * of endpoints carry no more bytes.  "changes": time from an operator's change
 * until it is in force at all daemons.  "idle", "jobs" and "case": CPU time,
 * memory and network bytes of daemons without requests of callers, for several
 * fleet sizes, several numbers of running jobs, or the numbers given.  The
 * current directory must be writable. */

enum {
    ENDPOINTS = 8,
    SLOTS = 8
};

/* Columns: number of VMs, number of pools. */
static const int fleet_sizes[][2] = {{50, 5}, {200, 12}, {450, 27}, {900, 53}};

double
bench_now_us(void)
{
    struct timespec time;
    clock_gettime(CLOCK_MONOTONIC, &time);
    return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

double
bench_percentile(double *values, size_t count, double percent)
{
    if (count == 0) {
        return 0;
    }
    qsort(values, count, sizeof(*values), compare);
    size_t rank = (size_t)((double)count * percent / 100);
    return values[rank < count ? rank : count - 1];
}

static void
run_idle(int daemons, int vms, int pools, int slots, int jobs)
{
    BenchPlan plan = {.daemons = daemons,
                      .vms = vms,
                      .pools = pools,
                      .slots = slots,
                      .endpoints = ENDPOINTS,
                      .jobs = jobs};
    bench_idle(&plan);
}

static void
run_idle_sizes(void)
{
    static const int daemons[] = {1, 3, 9, 18};
    bench_idle_header();
    for (size_t i = 0; i < sizeof(fleet_sizes) / sizeof(fleet_sizes[0]); i++) {
        run_idle(3, fleet_sizes[i][0], fleet_sizes[i][1], SLOTS, 0);
        run_idle(9, fleet_sizes[i][0], fleet_sizes[i][1], SLOTS, 0);
        /* With one request slot per VM, fewer daemons check the health of each
         * VM; the difference from the previous row of the table is the CPU
         * time and the bytes that the other health checks need. */
        run_idle(9, fleet_sizes[i][0], fleet_sizes[i][1], 1, 0);
    }
    for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++) {
        if (daemons[i] != 3 && daemons[i] != 9) {
            run_idle(daemons[i], 200, 12, SLOTS, 0);
        }
    }
}

static void
run_jobs(void)
{
    static const int jobs[] = {0, 100, 200, 400};
    bench_idle_header();
    for (size_t i = 0; i < sizeof(jobs) / sizeof(jobs[0]); i++) {
        run_idle(3, 50, 5, SLOTS, jobs[i]);
    }
}

static void
run_changes(void)
{
    /* Columns: numbers of daemons, VMs and pools. */
    static const int cases[][3] = {{1, 200, 12}, {3, 200, 12}, {9, 50, 5},
                                   {9, 200, 12}, {9, 450, 27}, {9, 900, 53}};
    /* "reply": time in ms from sending an intent to its response; "reply to in
     * force" and "sent to in force": time in ms from the response, or from
     * sending, until the change is in force at all daemons. */
    printf("| daemons | VMs | reply p50 ms | p99 | reply to in force p50 "
           "| p99 | max | sent to in force p50 | p99 | max | not accepted "
           "|\n");
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        BenchPlan plan = {.daemons = cases[i][0],
                          .vms = cases[i][1],
                          .pools = cases[i][2],
                          .slots = SLOTS,
                          .endpoints = ENDPOINTS};
        bench_changes(&plan);
    }
}

static void
run_requests(void)
{
    static const int daemons[] = {1, 3, 9};
    /* "way": requests sent directly to the endpoints or through the daemons;
     * p50 and p99: latency of completed requests; "not completed": number of
     * requests that were not run or whose outcome is unknown. */
    printf("| daemons | callers at once | way | kind | requests/s | p50 ms "
           "| p99 ms | not completed |\n");
    for (size_t i = 0; i < sizeof(daemons) / sizeof(daemons[0]); i++) {
        bench_requests(daemons[i]);
    }
}

int
main(int argc, char **argv)
{
    int at = 1;
    if (argc > 2 && strcmp(argv[1], "--bin") == 0) {
        bench_bin = argv[2];
        at = 3;
    }
    const char *part = at < argc ? argv[at] : "";
    if (strcmp(part, "requests") == 0) {
        run_requests();
    }
    else if (strcmp(part, "silent") == 0) {
        bench_silent();
    }
    else if (strcmp(part, "changes") == 0) {
        run_changes();
    }
    else if (strcmp(part, "idle") == 0) {
        run_idle_sizes();
    }
    else if (strcmp(part, "jobs") == 0) {
        run_jobs();
    }
    else if (strcmp(part, "case") == 0 && argc == at + 6) {
        int n[5];
        for (int i = 0; i < 5; i++) {
            n[i] = (int)strtol(argv[at + 1 + i], NULL, 10);
        }
        bench_idle_header();
        run_idle(n[0], n[1], n[2], n[3], n[4]);
    }
    else {
        fprintf(stderr, "usage: bench_daemon [--bin DIRECTORY] requests|"
                        "silent|changes|idle|jobs|case DAEMONS VMS POOLS "
                        "SLOTS JOBS\n");
        return 2;
    }
    return 0;
}
