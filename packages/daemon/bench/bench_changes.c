#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench_daemon.h"

enum {
    CHANGES = 100,
    SETTLE_MS = 8000,
    GIVE_UP_US = 10000000
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
    double reply[CHANGES];
    double spread[CHANGES]; /* from the reply */
    double total[CHANGES];  /* from sending */
    size_t count;
    size_t refused;
} Changes;

static void
one_change(BenchSite *site, Changes *changes, int number)
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
        changes->refused++;
        return;
    }
    for (int i = 0; i < site->plan.daemons; i++) {
        while (read_version(changes->clients[i], changes->urls[i]) <= before) {
            if (bench_now_us() - sent > GIVE_UP_US) {
                bench_fail("change", "is not in force after 10 s");
            }
        }
    }
    double now = bench_now_us();
    changes->reply[changes->count] = (replied - sent) / 1000;
    changes->spread[changes->count] = (now - replied) / 1000;
    changes->total[changes->count++] = (now - sent) / 1000;
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
        one_change(&site, c, i);
    }
    printf("| %d | %d", plan->daemons, plan->vms);
    printf(" | %.1f | %.1f", bench_percentile(c->reply, c->count, 50),
           bench_percentile(c->reply, c->count, 99));
    printf(" | %.1f | %.1f | %.1f", bench_percentile(c->spread, c->count, 50),
           bench_percentile(c->spread, c->count, 99),
           bench_percentile(c->spread, c->count, 100));
    printf(" | %.1f | %.1f | %.1f | %zu |\n",
           bench_percentile(c->total, c->count, 50),
           bench_percentile(c->total, c->count, 99),
           bench_percentile(c->total, c->count, 100), c->refused);
    fflush(stdout);
    for (int i = 0; i < plan->daemons; i++) {
        AqTestHttpClient_Destroy(c->clients[i]);
    }
    free(c);
    bench_stop(&site);
}
