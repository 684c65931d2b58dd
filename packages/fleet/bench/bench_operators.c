/* Compares evaluating an intent again after a conflicting commit with refusing
 * the intent, for concurrent operators on different daemons.  In virtual time
 * a read of the store takes 4 ms, a write 6 ms, a watch delivers a commit
 * after 4 ms, and an operator waits 20 ms on average between intents. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "fake_daemon.h"

#define SEEDS 20
#define OPERATORS_MAX 8
#define VMS 50
#define POOLS 5
#define RUN_MS 10000
#define READ_LATENCY_MS 4
#define WRITE_LATENCY_MS 6
#define WATCH_LATENCY_MS 4
#define MEAN_THINK_MS 20

typedef struct {
    int accepted;
    int refused;
    /* intents refused though the document in the store allows them */
    int needless_refusals;
    /* writes of head that failed because another commit came first */
    int conflicts;
} Totals;

typedef struct {
    FakeStore store;
    FakePlatform platform;
    FakeDaemon daemons[OPERATORS_MAX];
    /* virtual time of each daemon's next action */
    int64_t due_ms[OPERATORS_MAX];
    int64_t committed_ms; /* virtual time of the last commit */
    AqRandom random;
    int serial;
} OperatorRun;

static void
seed_fleet(OperatorRun *run)
{
    json_t *set = json_array();
    char name[16], id[16];
    for (int p = 0; p < POOLS; p++) {
        g_snprintf(name, sizeof(name), "p%d", p);
        set_put(set, AQ_REC_POOL, name,
                json_pack("{s:s, s:{}, s:i, s:i, s:i, s:i}", "service", name,
                          "selector", "min_serving", VMS / POOLS - 3, "slots",
                          8, "connections", 64, "objective", 999));
    }
    for (int i = 0; i < VMS; i++) {
        g_snprintf(id, sizeof(id), "v%d", i);
        g_snprintf(name, sizeof(name), "p%d", i % POOLS);
        set_put(set, AQ_REC_VM, id,
                json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:{}}", "pool", name,
                          "state", "serving", "rack", "r", "zone", "z",
                          "address", "10.0.0.1:80", "since", 1, "labels"));
    }
    AqFleet *fleet = AqFleet_Create();
    AqFleet_Apply(fleet, "setup", set, NULL);
    char *head = AqFleet_EncodeHead(fleet);
    fake_store_cas(&run->store, head, 0, REPLY_OK);
    free(head);
    json_decref(set);
    AqFleet_Destroy(fleet);
}

static json_t *
random_intent(OperatorRun *run, const char *op)
{
    char name[16];
    int at = (int)AqRandom_Below(&run->random, VMS);
    int kind = (int)AqRandom_Below(&run->random, 10);
    if (kind == 0) {
        g_snprintf(name, sizeof(name), "p%d", at % POOLS);
        return fake_intent(
            op, "pool.set",
            json_pack("{s:s, s:i}", "name", name, "slots", 4 + at % 8));
    }
    if (kind == 1) {
        return fake_intent(op, "team.set",
                           json_pack("{s:s, s:i}", "name", "t", "cores", at));
    }
    g_snprintf(name, sizeof(name), "v%d", at);
    return fake_intent(op, kind < 6 ? "vm.drain" : "vm.undrain",
                       json_pack("{s:s}", "id", name));
}

static void
record_outcome(OperatorRun *run, int at, Totals *totals)
{
    const FakeDaemon *daemon = &run->daemons[at];
    totals->accepted += daemon->outcome == OUTCOME_ACCEPTED;
    totals->refused += daemon->outcome == OUTCOME_REFUSED;
    totals->needless_refusals += daemon->is_needless_refusal;
    run->due_ms[at] +=
        (int64_t)AqRandom_Exponential(&run->random, MEAN_THINK_MS);
}

/* Runs the next part of the commit procedure of daemon number "at"; if the
 * daemon is idle, first gives the daemon a new intent. */
static void
advance(OperatorRun *run, int at, Totals *totals)
{
    FakeDaemon *daemon = &run->daemons[at];
    int64_t now = run->due_ms[at];
    char op[32];
    run->platform.now_ms = now;
    if (daemon->phase == PHASE_IDLE) {
        g_snprintf(op, sizeof(op), "op-%d", run->serial++);
        if (now - run->committed_ms >= WATCH_LATENCY_MS) {
            fake_daemon_read(daemon);
        }
        fake_daemon_begin(daemon, random_intent(run, op), op);
        daemon->is_head_read = daemon->no_reevaluate;
    }
    int64_t index = run->store.index;
    bool write = daemon->phase == PHASE_CAS;
    fake_daemon_step(daemon, REPLY_OK);
    if (run->store.index != index) {
        run->committed_ms = now;
    }
    else {
        totals->conflicts += write;
    }
    if (daemon->phase == PHASE_IDLE) {
        record_outcome(run, at, totals);
    }
    else {
        run->due_ms[at] += daemon->phase == PHASE_READ ? READ_LATENCY_MS
                           : daemon->phase == PHASE_EVALUATE
                               ? 0
                               : WRITE_LATENCY_MS;
    }
}

static void
run_operators(int operators, bool no_reevaluate, uint64_t seed, Totals *totals)
{
    OperatorRun run;
    memset(&run, 0, sizeof(run));
    AqRandom_Seed(&run.random, seed);
    fake_store_init(&run.store, true);
    fake_platform_init(&run.platform, seed);
    seed_fleet(&run);
    for (int i = 0; i < operators; i++) {
        fake_daemon_init(&run.daemons[i], &run.store, &run.platform);
        run.daemons[i].no_reevaluate = no_reevaluate;
        fake_daemon_read(&run.daemons[i]);
        run.due_ms[i] = (int64_t)AqRandom_Below(&run.random, MEAN_THINK_MS);
    }
    for (;;) {
        int next = 0;
        for (int i = 1; i < operators; i++) {
            next = run.due_ms[i] < run.due_ms[next] ? i : next;
        }
        if (run.due_ms[next] >= RUN_MS) {
            break;
        }
        advance(&run, next, totals);
    }
    if (run.store.fault[0] != '\0') {
        fprintf(stderr, "seed %d: %s\n", (int)seed, run.store.fault);
        exit(1);
    }
    for (int i = 0; i < operators; i++) {
        fake_daemon_clear(&run.daemons[i]);
    }
    fake_store_clear(&run.store);
    fake_platform_clear(&run.platform);
}

void
measure_operators(void)
{
    printf("concurrent operators, %d seeds of %d s, per second\n", SEEDS,
           RUN_MS / 1000);
    printf("  %-10s %-16s %9s %9s %9s %9s\n", "operators", "on conflict",
           "accepted", "refused", "needless", "conflicts");
    for (int operators = 2; operators <= OPERATORS_MAX; operators *= 2) {
        for (int no_reevaluate = 0; no_reevaluate <= 1; no_reevaluate++) {
            Totals totals = {0};
            for (uint64_t seed = 1; seed <= SEEDS; seed++) {
                run_operators(operators, no_reevaluate == 1, seed, &totals);
            }
            double seconds = SEEDS * RUN_MS / 1000.0;
            printf("  %-10d %-16s %9.2f %9.2f %9.2f %9.2f\n", operators,
                   no_reevaluate ? "refuse" : "evaluate again",
                   totals.accepted / seconds, totals.refused / seconds,
                   totals.needless_refusals / seconds,
                   totals.conflicts / seconds);
            fflush(stdout);
        }
    }
}
