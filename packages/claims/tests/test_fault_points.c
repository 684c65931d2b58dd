#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "sim.h"

enum {
    SECOND = 1000, /* unit of the durations below: ms */
    MINUTE = 60 * SECOND,
    HOUR = 60 * MINUTE,
    REQUEST_DEADLINE_MS = 10 * MINUTE /* time after the submit of a
                                       * request's claim during which the
                                       * request may be executed */
};

enum {
    NONE = 0,
    GRANTED = AQ_CLAIM_GRANTED,
    DUPLICATE = AQ_CLAIM_DUPLICATE,
    UNAVAILABLE = AQ_CLAIM_UNAVAILABLE
};

/* A fault at one point in the course of a claim.  Node 0 claims request id 7
 * at sim time 0, and its first create of a batch has the fault "create".  Node
 * 1 claims the same id at the sim time competing_at, node 2 at the sim time
 * later_at. */
typedef struct {
    const char *fault;       /* name of the fault, for the output */
    const char *fault_point; /* name of the point at which the fault occurs,
                              * for the output */
    /* Delays and faults of the first create that node 0 makes. */
    SimCallPlan create;
    AqTime competing_at;
    AqTime later_at;
    int verdicts[3]; /* expected verdicts on the claims of nodes 0 to 2 */
    int executions;  /* expected number of executions of the request, by all
                      * nodes */
    AqTime outage;   /* duration of the store's outage, which starts after the
                      * first create that node 0 makes; ms */
    AqTime pause_after_verdict;  /* duration of the pause of node 0 once its
                                  * claim is granted; ms */
    bool restarts_after_verdict; /* node 0 restarts between the grant of its
                                  * claim and the execution of the request */
} FaultCase;

/* clang-format off */
static const FaultCase fault_cases[] = {
    {"reply lost", "before the write", {.reply_lost = true, .no_effect = true},
     5 * SECOND, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1},
    {"reply lost", "after the write", {.reply_lost = true, .effect_ms = 2},
     5 * SECOND, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1},
    {"reply lost", "write after the read-back",
     {.reply_lost = true, .effect_ms = 1500},
     5 * SECOND, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1},
    {"store down", "before the write", {.is_unavailable = true},
     30 * SECOND, MINUTE, {UNAVAILABLE, GRANTED, DUPLICATE}, .executions = 1,
     .outage = 20 * SECOND},
    {"store down", "after the write", {.reply_lost = true, .effect_ms = 2},
     30 * SECOND, MINUTE, {UNAVAILABLE, GRANTED, DUPLICATE}, .executions = 1,
     .outage = 20 * SECOND},
    {"store down", "after the write, competing claim as well",
     {.reply_lost = true, .effect_ms = 2},
     10 * SECOND, MINUTE, {UNAVAILABLE, UNAVAILABLE, GRANTED}, .executions = 1,
     .outage = 20 * SECOND},
    {"store down", "between verdict and execution", {.effect_ms = 2},
     30 * SECOND, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1,
     .outage = 20 * SECOND, .pause_after_verdict = 100},
    {"store slow", "before the write", {.effect_ms = 4000},
     5 * SECOND, MINUTE, {UNAVAILABLE, GRANTED, DUPLICATE}, .executions = 1},
    {"store slow", "before the reply", {.reply_ms = 4000},
     3 * SECOND, MINUTE, {UNAVAILABLE, DUPLICATE, GRANTED}, .executions = 1},
    {"rival", "before the write", {.effect_ms = 50},
     10, MINUTE, {DUPLICATE, GRANTED, DUPLICATE}, .executions = 1},
    {"rival", "after the write", {.reply_ms = 50},
     10, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1},
    {"rival", "between verdict and execution", {.reply_ms = 2},
     50, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1,
     .pause_after_verdict = 100},
    {"pause 1 min", "before the write", {.pause_before = MINUTE},
     5 * SECOND, 2 * MINUTE, {UNAVAILABLE, GRANTED, DUPLICATE},
     .executions = 1},
    {"pause 1 min", "after the write", {.pause_after = MINUTE},
     5 * SECOND, 2 * MINUTE, {UNAVAILABLE, DUPLICATE, GRANTED},
     .executions = 1},
    {"pause 1 min", "before the reply",
     {.reply_ms = 100, .pause_after = MINUTE},
     5 * SECOND, 2 * MINUTE, {UNAVAILABLE, DUPLICATE, GRANTED},
     .executions = 1},
    {"pause 1 min", "between verdict and execution", {.effect_ms = 2},
     5 * SECOND, 2 * MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 1,
     .pause_after_verdict = MINUTE},
    {"pause 2 h", "before the write", {.pause_before = 2 * HOUR},
     5 * SECOND, 3 * HOUR, {UNAVAILABLE, GRANTED, GRANTED}, .executions = 2},
    {"pause 2 h", "after the write", {.pause_after = 2 * HOUR},
     5 * SECOND, 2 * HOUR + MINUTE, {UNAVAILABLE, DUPLICATE, GRANTED},
     .executions = 1},
    {"pause 2 h", "before the reply",
     {.reply_ms = 100, .pause_after = 2 * HOUR},
     5 * SECOND, 2 * HOUR + MINUTE, {UNAVAILABLE, DUPLICATE, GRANTED},
     .executions = 1},
    {"pause 2 h", "between verdict and execution", {.effect_ms = 2},
     5 * SECOND, 90 * MINUTE, {GRANTED, DUPLICATE, GRANTED}, .executions = 1,
     .pause_after_verdict = 2 * HOUR},
    {"restart", "before the write", {.restart_before = true},
     5 * SECOND, MINUTE, {NONE, GRANTED, DUPLICATE}, .executions = 1},
    {"restart", "after the write", {.restart_after = true},
     5 * SECOND, MINUTE, {NONE, DUPLICATE, DUPLICATE}, .executions = 0},
    {"restart", "before the reply", {.reply_ms = 50, .restart_after = true},
     5 * SECOND, 2 * HOUR, {NONE, DUPLICATE, GRANTED}, .executions = 1},
    {"restart", "between verdict and execution", {.effect_ms = 2},
     5 * SECOND, MINUTE, {GRANTED, DUPLICATE, DUPLICATE}, .executions = 0,
     .restarts_after_verdict = true},
};
/* clang-format on */

typedef struct {
    const FaultCase *fault;
    /* Delays and faults of the creates that node 2 makes; NULL for delays of 2
     * ms and no faults but the outage. */
    const SimCallPlan *create;
    AqTime outage_end; /* sim time at which the outage of the store ends */
    bool is_injected;  /* node 0 has made its first create, which got the
                        * fault FaultCase.create */
    /* Number of executions of the request so far, by all nodes. */
    int executions;
} FaultRun;

static SimCallPlan
plan_scripted_fault(Sim *sim, SimNode *node, AqClaimsStoreCall call)
{
    FaultRun *run = sim->user;
    SimCallPlan plan = {.effect_ms = 2, .reply_ms = 2};
    if (!run->is_injected && node->index == 0 && call == AQ_CLAIMS_CREATE) {
        run->is_injected = true;
        run->outage_end = sim->now + run->fault->outage;
        return run->fault->create;
    }
    if (node->index == 2 && call == AQ_CLAIMS_CREATE && run->create != NULL) {
        return *run->create;
    }
    plan.is_unavailable = sim->now < run->outage_end;
    return plan;
}

/* Executes a request on the node that its claim was granted to, or releases
 * the claim once REQUEST_DEADLINE_MS have passed since the submit.  Waits
 * while the node is paused; does nothing if the node has restarted since the
 * submit. */
static void
execute_request(Sim *sim, uint64_t request)
{
    FaultRun *run = sim->user;
    const SimRequest *used = &sim->requests[request];
    const SimNode *node = &sim->nodes[used->node];
    if (node->paused_until > sim->now) {
        Sim_At(sim, node->paused_until, execute_request, request);
    }
    else if (node->generation != used->generation) {
        return;
    }
    else if (sim->now - used->submitted < REQUEST_DEADLINE_MS) {
        run->executions++;
    }
    else {
        Sim_Release(sim, request);
    }
}

static void
on_scripted_verdict(Sim *sim, size_t request)
{
    const FaultRun *run = sim->user;
    if (sim->requests[request].verdict != AQ_CLAIM_GRANTED) {
        return;
    }
    if (request == 0 && run->fault->pause_after_verdict > 0) {
        Sim_Pause(sim, 0, run->fault->pause_after_verdict);
    }
    Sim_At(sim, sim->now + 10, execute_request, request);
}

static void
restart_after_verdict(Sim *sim, uint64_t argument)
{
    (void)argument;
    Sim_Restart(sim, 0);
}

static void
claim_seven(Sim *sim, uint64_t node)
{
    Sim_Submit(sim, (int)node, 7);
}

static bool
run_fault(const FaultCase *fault, char *seen, size_t size)
{
    AqClaimsConfig config = {.retention_ms = HOUR, .store_timeout_ms = SECOND};
    FaultRun run = {.fault = fault};
    Sim sim;
    Sim_Create(&sim, 5, 3, &config);
    sim.plan_call = plan_scripted_fault;
    sim.decided = on_scripted_verdict;
    sim.user = &run;
    Sim_At(&sim, 0, claim_seven, 0);
    Sim_At(&sim, fault->competing_at, claim_seven, 1);
    Sim_At(&sim, fault->later_at, claim_seven, 2);
    if (fault->restarts_after_verdict) {
        Sim_At(&sim, 12, restart_after_verdict, 0);
    }
    Sim_Run(&sim, 4 * HOUR);
    int verdicts[3];
    for (int i = 0; i < 3; i++) {
        const SimRequest *request = &sim.requests[i];
        verdicts[i] = request->verdicts > 0 ? (int)request->verdict : NONE;
    }
    snprintf(seen, size, "%d %d %d, %d executions, %s", verdicts[0],
             verdicts[1], verdicts[2], run.executions, sim.failure);
    bool ok = memcmp(verdicts, fault->verdicts, sizeof(verdicts)) == 0 &&
              run.executions == fault->executions && sim.failures == 0;
    Sim_Destroy(&sim);
    return ok;
}

/* Guards against a single fault that makes a request execute twice, leaves the
 * request id claimed without a holder or yields a wrong verdict. */
static void
test_faults_at_points(void)
{
    size_t count = sizeof(fault_cases) / sizeof(fault_cases[0]);
    for (size_t i = 0; i < count; i++) {
        char seen[700];
        bool ok = run_fault(&fault_cases[i], seen, sizeof(seen));
        if (!ok) {
            printf("\n    %s, %s: %s ", fault_cases[i].fault,
                   fault_cases[i].fault_point, seen);
        }
        CU_ASSERT_TRUE(ok);
    }
}

/* Returns the request id at the position "index" (from 0) among those of
 * partition 0, in ascending order. */
static uint64_t
partition_zero_id(uint64_t index)
{
    uint64_t id = 0;
    for (;; id++) {
        uint8_t hash[16];
        char text[32];
        snprintf(text, sizeof(text), "%" PRIu64, id);
        AqClaims_Hash("track", text, hash);
        if (AqClaims_Partition(hash) == 0 && index-- == 0) {
            return id;
        }
    }
}

/* Node 0 pauses before its create of the batch with the sequence number (SEQ)
 * 15, which therefore takes effect at the sim time 2 h + 0.7 s, with claims
 * that are 2 h old.  Node 2 reads that SEQ as free at the sim time read_at,
 * node 1 is granted an id in the batch with SEQ 17, and node 2 claims the same
 * id at the sim time claim_at. */
typedef struct {
    AqTime read_at;
    AqTime claim_at;
    SimCallPlan create;     /* delays and faults of the creates that node 2
                             * makes */
    AqClaimVerdict verdict; /* expected verdict on the claim of node 2 */
} LateCase;

static const LateCase late_cases[] = {
    /* Guards against removing a batch by the age of its claims alone: node 2
     * would create the batch with sequence number (SEQ) 15 again and grant the
     * id that node 1 was granted. */
    {2 * HOUR - 10 * MINUTE,
     2 * HOUR + 5 * SECOND,
     {.effect_ms = 2},
     AQ_CLAIM_DUPLICATE},
    /* Guards against a create that starts less than half of the retention
     * after node 2 read the log and takes effect after the batch with sequence
     * number (SEQ) 15 was removed. */
    {2 * HOUR - SECOND,
     2 * HOUR + 30 * MINUTE - 1500,
     {.effect_ms = 2600},
     AQ_CLAIM_UNAVAILABLE},
    /* Guards against a grant of a batch that node 2 creates after the batch
     * with sequence number (SEQ) 15 was removed, if the reply to that create
     * is lost and the created batch is read back. */
    {2 * HOUR + 300,
     2 * HOUR + 30 * MINUTE + 200,
     {.effect_ms = 900, .reply_lost = true},
     AQ_CLAIM_UNAVAILABLE},
};

static AqClaimVerdict
run_late_write(const LateCase *late)
{
    static const FaultCase pause = {.create = {.pause_before = 2 * HOUR}};
    AqClaimsConfig config = {.retention_ms = HOUR, .store_timeout_ms = SECOND};
    FaultRun run = {.fault = &pause, .create = &late->create};
    Sim sim;
    Sim_Create(&sim, 5, 3, &config);
    sim.plan_call = plan_scripted_fault;
    sim.user = &run;
    for (uint64_t i = 0; i < 14; i++) {
        Sim_Submit(&sim, 1, partition_zero_id(i));
        Sim_Run(&sim, sim.now + 50);
    }
    Sim_Submit(&sim, 0, partition_zero_id(14));
    Sim_Run(&sim, late->read_at);
    Sim_Cancel(&sim, Sim_Submit(&sim, 2, partition_zero_id(15)));
    Sim_Run(&sim, 2 * HOUR + 3 * SECOND);
    size_t first = Sim_Submit(&sim, 1, partition_zero_id(16));
    Sim_Run(&sim, late->claim_at);
    size_t second = Sim_Submit(&sim, 2, partition_zero_id(16));
    Sim_Run(&sim, late->claim_at + 5 * SECOND);
    CU_ASSERT_EQUAL(sim.requests[first].verdict, AQ_CLAIM_GRANTED);
    CU_ASSERT_EQUAL(sim.failures, 0);
    AqClaimVerdict verdict = sim.requests[second].verdict;
    Sim_Destroy(&sim);
    return verdict;
}

/* Guards against a grant in a batch whose sequence number (SEQ) had already
 * been used by a batch that was removed since. */
static void
test_late_write_of_old_claims(void)
{
    size_t count = sizeof(late_cases) / sizeof(late_cases[0]);
    for (size_t i = 0; i < count; i++) {
        CU_ASSERT_EQUAL(run_late_write(&late_cases[i]), late_cases[i].verdict);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("claims fault points", NULL, NULL);
    CU_ADD_TEST(suite, test_faults_at_points);
    CU_ADD_TEST(suite, test_late_write_of_old_claims);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
