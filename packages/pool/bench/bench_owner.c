#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "aq_carrier.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "bench_vms.h"
#include "fake_store.h"
#include "pool_owner.h"
#include "store_keys.h"

/* Measures what a run costs the owner of a pool, in processor time and bytes:
 * a real PoolOwner, HTTP client and encoders, a store in memory, and simulated
 * VMs in a second process.  Arguments: number of VMs, jobs a second, seconds,
 * number of carriers, each a process.
 * The figures depend on the machine and on what else it does. */

enum {
    STEPS = 2,
    TASKS = 8,
    TASK_MS = 500,
    VM_CPU = 64000,
    TASK_CPU = 4000,
    MAX_CARRIERS = 16, /* carrier i listens on 127.0.1.(i + 1) */
    CARRIER_PORT = 19465
};

/* ---- Carriers ----------------------------------------------------------- */

static bool
accept_any(void *context, const char *node, const char *incarnation)
{
    (void)context;
    (void)node;
    (void)incarnation;
    return true;
}

static void
name_carrier(int i, char address[32])
{
    snprintf(address, 32, "127.0.1.%d:%d", i + 1, CARRIER_PORT);
}

static void
serve_carrier(int i)
{
    static const AqCarrierServerOps ops = {accept_any};
    AqError error;
    char address[32];
    AqLoop *loop = AqLoop_Create(&error);
    AqHttpClient *http = AqHttpClient_Create(loop, &error);
    AqWorkerClient *workers = AqPlatformWorkers_Create(http, 600);
    name_carrier(i, address);
    if (AqCarrierServer_Create(loop, address, workers, &ops, NULL, &error) ==
        NULL) {
        fprintf(stderr, "bench_owner: %s\n", error.message);
        exit(EXIT_FAILURE);
    }
    AqLoop_Run(loop);
}

/* ---- Owner -------------------------------------------------------------- */

typedef struct {
    FakeStore *store;
    NodeContext node;
    Member *member;
    PoolOwner *owner;
    AqCarrierClient *carriers;
} Bench;

static void
on_superseded(void *context, const char *pool, const char *reason)
{
    (void)context;
    fprintf(stderr, "bench_owner: pool %s lost: %s\n", pool, reason);
    exit(EXIT_FAILURE);
}

static void
on_gained(void *context, const Ownership *ownership)
{
    static const PoolOwnerOps ops = {on_superseded};
    Bench *self = context;
    self->owner =
        pool_owner_create(&self->node, self->member, ownership, &ops, self);
}

static void
on_lost(void *context, const char *pool, const char *reason)
{
    on_superseded(context, pool, reason);
}

static void
create_bench(Bench *self)
{
    static const MemberOps ops = {on_gained, on_lost};
    static AqSettings settings = {.node_id = "n-1",
                                  .node_cpu_share = "0.5",
                                  .callers_listen = "127.0.0.1:1",
                                  .limits_longest_lease_ms = 5000};
    static AqQueueConfig queue = {.name = "q",
                                  .host = "h",
                                  .prefix = "/q/",
                                  .pool = "pool",
                                  .stretch = 1.6,
                                  .target_ms = 600,
                                  .max_attempts = 4};
    static AqPoolConfig pool = {.name = "pool"};
    AqError error;
    NodeMetrics *metrics = &self->node.metrics;
    self->store = fake_store_create();
    self->node.store = fake_store_interface(self->store);
    self->node.settings = &settings;
    self->node.loop = AqLoop_Create(&error);
    self->node.http = AqHttpClient_Create(self->node.loop, &error);
    self->carriers = AqCarrierClient_Create(
        self->node.loop, AqPlatformWorkers_Create(self->node.http, 600), "n-1",
        "bench");
    self->node.workers = AqCarrierClient_Workers(self->carriers);
    strcpy(self->node.incarnation, "bench");
    metrics->all = AqMetrics_Create();
    metrics->save_ms = AqMetrics_Histogram(metrics->all, "save", "");
    metrics->start_ms = AqMetrics_Histogram(metrics->all, "start", "");
    metrics->takeover_ms = AqMetrics_Histogram(metrics->all, "takeover", "");
    metrics->orders_failed = AqMetrics_Counter(metrics->all, "failed", "");
    self->node.site = (AqSiteConfig){.version = 1,
                                     .queues = &queue,
                                     .queue_count = 1,
                                     .pools = &pool,
                                     .pool_count = 1};
    self->member = member_create(&self->node, &ops, self);
    member_site_changed(self->member);
}

static void
run_once(Bench *self)
{
    AqTime now = AqLoop_Now(self->node.loop);
    AqTime due = self->owner != NULL ? pool_owner_round(self->owner) : now + 5;
    AqTime wait = due - now;
    AqLoop_RunOnce(self->node.loop, wait < 0 ? 0 : wait < 5 ? wait : 5);
    fake_store_reply_all(self->store);
}

static void
connect_carriers(Bench *self, int count)
{
    AqCarrierName names[MAX_CARRIERS];
    char ids[MAX_CARRIERS][16];
    char addresses[MAX_CARRIERS][32];
    for (int i = 0; i < count; i++) {
        snprintf(ids[i], sizeof(ids[i]), "c-%d", i);
        name_carrier(i, addresses[i]);
        names[i] = (AqCarrierName){ids[i], addresses[i]};
    }
    AqCarrierClient_SetCarriers(self->carriers, names, (size_t)count);
    while (AqCarrierClient_Connected(self->carriers) < (size_t)count) {
        run_once(self);
    }
}

static void
list_vms(Bench *self, int count, uint16_t port)
{
    for (int i = 0; i < count; i++) {
        AqVmReport report = {
            .cpu_millis = VM_CPU, .memory_mb = 128000, .leaves_ms = -1};
        snprintf(report.id, sizeof(report.id), "i-%d", i);
        snprintf(report.machine, sizeof(report.machine), "m-%d", i);
        snprintf(report.rack, sizeof(report.rack), "r-%d", i / 8);
        snprintf(report.address, sizeof(report.address), "127.0.0.%d:%u",
                 i + 2, port);
        snprintf(report.pool, sizeof(report.pool), "pool");
        pool_owner_set_vm(self->owner, &report);
    }
}

static void
on_stored(void *context, const AqStoreReply *reply)
{
    (void)context;
    if (reply->status != AQ_STORE_OK) {
        fprintf(stderr, "bench_owner: a job was not stored\n");
    }
}

static void
submit_job(Bench *self, unsigned number)
{
    AqJobSpec spec;
    AqBuffer encoded;
    char text[400];
    snprintf(text, sizeof(text),
             "{\"spec\":\"s\",\"steps\":[{\"count\":%d,\"cpu\":%d,"
             "\"mem_mb\":256,\"estimate_ms\":%d},{\"count\":%d,\"cpu\":%d,"
             "\"mem_mb\":256,\"estimate_ms\":%d,\"after\":[0]}]}",
             TASKS, TASK_CPU, TASK_MS, TASKS, TASK_CPU, TASK_MS);
    if (!AqPlatform_DecodeJob(text, strlen(text), &spec, NULL)) {
        exit(EXIT_FAILURE);
    }
    snprintf(spec.id, sizeof(spec.id), "%016x", number);
    spec.queue = strdup("q");
    spec.submitted_ms = AqClock_ReadWall();
    AqBuffer_Init(&encoded);
    AqJobSpec_Encode(&spec, &encoded);
    AqJobSpec_Clear(&spec);
    char *key = g_strdup_printf("%s%016x", key_of(KEY_JOBS, "pool"), number);
    AqStorePut put = {key, AqBuffer_Text(&encoded), encoded.size, 0};
    AqStoreCommit commit = {.puts = &put, .put_count = 1};
    self->node.store->ops->commit(self->node.store, &commit, on_stored, NULL);
    g_free(key);
    AqBuffer_Clear(&encoded);
}

static double
processor_ms(void)
{
    struct timespec time;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return (double)time.tv_sec * 1000.0 + (double)time.tv_nsec / 1e6;
}

static void
run_load(Bench *self, int jobs_per_s, int seconds)
{
    uint64_t sent[2];
    uint64_t received[2];
    AqTime begin = AqLoop_Now(self->node.loop);
    unsigned submitted = 0;
    const AqSchedulerCounters *counters =
        AqScheduler_Counters(pool_owner_scheduler(self->owner));
    AqHttpClient_GetTraffic(self->node.http, &sent[0], &received[0]);
    double before = processor_ms();
    AqTime passed = 0;
    while (passed < (AqTime)seconds * 1000) {
        while (submitted < passed * jobs_per_s / 1000) {
            submit_job(self, submitted++);
        }
        run_once(self);
        passed = AqLoop_Now(self->node.loop) - begin;
    }
    double used = processor_ms() - before;
    AqHttpClient_GetTraffic(self->node.http, &sent[1], &received[1]);
    double done = counters->done > 0 ? (double)counters->done : 1;
    fprintf(stderr,
            "%u jobs, %.0f runs done in %d s; processor %.0f ms, %.3f of a "
            "core, %.3f ms a run; bytes a run: %.0f sent, %.0f received\n",
            submitted, done, seconds, used, used / (1000.0 * seconds),
            used / done, (double)(sent[1] - sent[0]) / done,
            (double)(received[1] - received[0]) / done);
}

int
main(int argc, char **argv)
{
    int vms = argc > 1 ? atoi(argv[1]) : 100;
    int jobs_per_s = argc > 2 ? atoi(argv[2]) : 40;
    int seconds = argc > 3 ? atoi(argv[3]) : 10;
    int carriers = argc > 4 ? atoi(argv[4]) : 0;
    pid_t children[MAX_CARRIERS + 1];
    int ready[2];
    uint16_t port;
    if (vms < 1 || vms > BENCH_VMS_MAX || jobs_per_s < 0 || seconds < 1 ||
        carriers < 0 || carriers > MAX_CARRIERS || pipe(ready) != 0) {
        fprintf(stderr, "usage: bench_owner [VMS [JOBS_PER_S [SECONDS "
                        "[CARRIERS]]]]\n");
        return EXIT_FAILURE;
    }
    children[carriers] = fork();
    if (children[carriers] == 0) {
        bench_vms_serve(ready[1], TASK_MS);
    }
    for (int i = 0; i < carriers; i++) {
        children[i] = fork();
        if (children[i] == 0) {
            serve_carrier(i);
        }
    }
    if (read(ready[0], &port, sizeof(port)) != sizeof(port)) {
        return EXIT_FAILURE;
    }
    Bench self = {0};
    AqLog_UseStandardOutput();
    AqLog_Start("bench", AQ_LOG_INFO);
    create_bench(&self);
    while (self.owner == NULL || pool_owner_scheduler(self.owner) == NULL) {
        run_once(&self);
    }
    connect_carriers(&self, carriers);
    list_vms(&self, vms, port);
    run_load(&self, 0, 3);
    run_load(&self, jobs_per_s, seconds);
    for (int i = 0; i <= carriers; i++) {
        kill(children[i], SIGKILL);
        waitpid(children[i], NULL, 0);
    }
    return EXIT_SUCCESS;
}
