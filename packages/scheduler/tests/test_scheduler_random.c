#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "aq_log.h"
#include "sim.h"

/* Runs the simulated pool with random jobs and faults: lost replies, delayed
 * orders, failing runs and saves, crashed, restarted and silent VMs, killed
 * owners, hand-overs, previous owners that do not notice that they were
 * replaced, and queues that are dropped or changed. Guards against violations
 * of the invariants that the simulation checks: a task does not run twice at a
 * time or after a confirmed end, steps start in order, and the limits on
 * failed runs and on CPU are kept.  Guards also against jobs that do not
 * finish once the faults have ended.
 *
 * "test_scheduler_random FIRST_SEED COUNT" runs other seeds. */

/* In half of the calls, does one of six things: kills the pool's owner and
 * starts the next owner; starts the next owner while the current one does not
 * notice and goes on; hands the pool over to the next owner; crashes a VM;
 * crashes a VM that starts again under its id; or makes a VM silent. */
static void
inject_fault(Sim *sim, AqRandom *random)
{
    switch (AqRandom_Below(random, 12)) {
    case 0:
        sim_kill_owner(sim);
        sim_start_owner(sim, false);
        break;
    case 1:
        sim_start_owner(sim, true);
        break;
    case 2:
        sim_crash_vm(sim, (unsigned)AqRandom_Below(random, SIM_VMS));
        break;
    case 3:
        sim_silence_vm(sim, (unsigned)AqRandom_Below(random, SIM_VMS),
                       (AqTime)AqRandom_Below(random, 8000));
        break;
    case 4:
        sim_hand_over(sim);
        break;
    case 5:
        sim_restart_vm(sim, (unsigned)AqRandom_Below(random, SIM_VMS),
                       SIM_REPLY_TIMEOUT_MS +
                           (AqTime)AqRandom_Below(random, 3000));
        break;
    default:
        break;
    }
}

/* In a fifth of the calls, replaces the queue: by none, by one of another
 * pool, by one with other terms, or by the first one again. */
static void
change_queue(Sim *sim, AqRandom *random)
{
    static const AqQueueConfig elsewhere = {
        .name = "queue", .pool = "other", .max_attempts = 9, .stretch = 1.6};
    static const AqQueueConfig patient = {
        .name = "queue", .pool = "pool", .max_attempts = 9, .priority = 1};
    static const AqQueueConfig strict = {
        .name = "queue", .pool = "pool", .max_attempts = 1, .stretch = 3};
    static const AqQueueConfig first = {
        .name = "queue", .pool = "pool", .max_attempts = 2, .stretch = 1.6};
    static const AqQueueConfig *const queues[] = {&elsewhere, &patient,
                                                  &strict, &first};
    enum {
        QUEUES = sizeof(queues) / sizeof(queues[0])
    };
    size_t number = AqRandom_Below(random, 5 * (QUEUES + 1));
    if (number <= QUEUES) {
        sim_set_queue(sim, number < QUEUES ? queues[number] : NULL);
    }
}

/* Returns whether all jobs of the simulation with this seed finish without a
 * violated invariant. */
static bool
run_seed(uint64_t seed)
{
    AqRandom random;
    AqRandom queue_random; /* does not change the faults of a seed */
    SimFaults faults;
    SimFaults none = {0};
    AqRandom_Seed(&random, seed * 7919 + 1);
    AqRandom_Seed(&queue_random, seed * 104729 + 1);
    faults = (SimFaults){
        .lost_replies_permille = (unsigned)AqRandom_Below(&random, 60),
        .delayed_orders_permille = (unsigned)AqRandom_Below(&random, 40),
        .failing_runs_permille = (unsigned)AqRandom_Below(&random, 80),
        .failed_saves_permille = (unsigned)AqRandom_Below(&random, 200),
    };
    Sim *sim = sim_create(seed);
    sim_set_faults(sim, &faults);
    for (unsigned i = 0; i < 30; i++) {
        char id[16];
        snprintf(id, sizeof(id), "a%u", i);
        sim_add_chain(sim, id, 1 + (unsigned)AqRandom_Below(&random, 3),
                      1 + (unsigned)AqRandom_Below(&random, 8),
                      500 + (int64_t)AqRandom_Below(&random, 4000),
                      100 + (AqTime)AqRandom_Below(&random, 1500));
        sim_run(sim, (AqTime)AqRandom_Below(&random, 500));
        inject_fault(sim, &random);
        change_queue(sim, &queue_random);
    }
    sim_set_faults(sim, &none);
    bool is_finished = sim_run_until_finished(sim, 90000);
    const char *violation = sim_violation(sim);
    if (!is_finished) {
        fprintf(stderr, "seed %llu: %s\n", (unsigned long long)seed,
                violation != NULL ? violation
                                  : "some jobs did not finish in time");
    }
    sim_destroy(sim);
    return is_finished;
}

static uint64_t first_seed = 1;
static uint64_t seed_count = 200;

static void
test_random_faults(void)
{
    for (uint64_t i = 0; i < seed_count; i++) {
        CU_ASSERT_TRUE(run_seed(first_seed + i));
    }
}

int
main(int argc, char **argv)
{
    if (argc > 2) {
        first_seed = strtoull(argv[1], NULL, 10);
        seed_count = strtoull(argv[2], NULL, 10);
    }
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("scheduler_random", NULL, NULL);
    CU_add_test(suite, "random_faults", test_random_faults);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
