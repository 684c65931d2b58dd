#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_daemon.h"

enum {
    CHANGES = 100,
    SETTLE_MS = 8000,
    IN_FORCE_TIMEOUT_US = 10000000
};

static long long
read_version(AqTestHttpClient *client, const char *url)
{
    static const char *const headers[] = {"Authorization: Bearer " BENCH_TOKEN,
                                          NULL};
    AqError error;
    AqTestHttpReply reply = {0};
    AqTestHttpCall call = {.method = "GET", .url = url, .headers = headers};
    long long version = 0;
    if (AqTestHttpClient_Call(client, &call, &reply, &error)) {
        const char *at = strstr(AqBuffer_Text(&reply.body), "\"version\":");
        version = at != NULL ? atoll(at + strlen("\"version\":")) : 0;
    }
    AqTestHttpReply_Clear(&reply);
    return version;
}

typedef struct {
    AqTestHttpClient *clients[BENCH_MAX_DAEMONS];
    char urls[BENCH_MAX_DAEMONS][128];
    double reply_ms[CHANGES];
    /* Time in ms of each change from the response to its intent until the
     * change is in force at all daemons. */
    double reply_to_in_force_ms[CHANGES];
    /* Time in ms of each change from the sending of its intent until the
     * change is in force at all daemons. */
    double sent_to_in_force_ms[CHANGES];
    size_t count;
    size_t refused_count;
} Changes;

static void
measure_change(BenchSite *site, Changes *changes, int number)
{
    char args[96];
    snprintf(args, sizeof(args),
             "{\"pool\":\"service-%02d\",\"max_unavailable\":%d}",
             number % site->plan.pools, 10 + number);
    long long before = read_version(changes->clients[0], changes->urls[0]);
    double sent = bench_now_us();
    long status = bench_intent(site, "budget.set", args);
    double replied = bench_now_us();
    if (status != 200) {
        changes->refused_count++;
        return;
    }
    for (int i = 0; i < site->plan.daemons; i++) {
        while (read_version(changes->clients[i], changes->urls[i]) <= before) {
            if (bench_now_us() - sent > IN_FORCE_TIMEOUT_US) {
                bench_fail("change", "is not in force after 10 s");
            }
        }
    }
    double now = bench_now_us();
    changes->reply_ms[changes->count] = (replied - sent) / 1000;
    changes->reply_to_in_force_ms[changes->count] = (now - replied) / 1000;
    changes->sent_to_in_force_ms[changes->count++] = (now - sent) / 1000;
}

void
bench_changes(const BenchPlan *plan)
{
    BenchSite site;
    Changes *c = calloc(1, sizeof(*c));
    bench_start(&site, plan);
    bench_sleep(SETTLE_MS);
    for (int i = 0; i < plan->daemons; i++) {
        c->clients[i] = AqTestHttpClient_Create();
        bench_url(&site, i, "operators", "/admin/v1/status", c->urls[i],
                  sizeof(c->urls[i]));
    }
    for (int i = 0; i < CHANGES; i++) {
        measure_change(&site, c, i);
    }
    printf("| %d | %d", plan->daemons, plan->vms);
    printf(" | %.1f | %.1f", bench_percentile(c->reply_ms, c->count, 50),
           bench_percentile(c->reply_ms, c->count, 99));
    printf(" | %.1f | %.1f | %.1f",
           bench_percentile(c->reply_to_in_force_ms, c->count, 50),
           bench_percentile(c->reply_to_in_force_ms, c->count, 99),
           bench_percentile(c->reply_to_in_force_ms, c->count, 100));
    printf(" | %.1f | %.1f | %.1f | %zu |\n",
           bench_percentile(c->sent_to_in_force_ms, c->count, 50),
           bench_percentile(c->sent_to_in_force_ms, c->count, 99),
           bench_percentile(c->sent_to_in_force_ms, c->count, 100),
           c->refused_count);
    fflush(stdout);
    for (int i = 0; i < plan->daemons; i++) {
        AqTestHttpClient_Destroy(c->clients[i]);
    }
    free(c);
    bench_stop(&site);
}
