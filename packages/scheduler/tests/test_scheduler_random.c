#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>

#include "aq_log.h"
#include "sim.h"

/* Random days of a pool.  Guards the rules that the sim checks at each start
 * (no task twice at once or after a noted end, steps in order, attempts, room)
 * under lost and late orders, crashes, silence, kills and unaware previous
 * owners. */

static void
disturb(Sim *sim, AqRandom *random)
{
    switch (AqRandom_Below(random, 10)) {
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
    default:
        break;
    }
}

static bool
play(uint64_t seed)
{
    AqRandom random;
    SimFaults faults;
    SimFaults none = {0};
    AqRandom_Seed(&random, seed * 7919 + 1);
    faults = (SimFaults){
        .lost_answers = (unsigned)AqRandom_Below(&random, 60),
        .late_orders = (unsigned)AqRandom_Below(&random, 40),
        .failing_runs = (unsigned)AqRandom_Below(&random, 80),
        .failed_saves = (unsigned)AqRandom_Below(&random, 200),
    };
    Sim *sim = sim_create(seed);
    sim_set_faults(sim, &faults);
    for (unsigned i = 0; i < 30; i++) {
        char id[16];
        snprintf(id, sizeof(id), "a%u", i);
        sim_add_simple(sim, id, 1 + (unsigned)AqRandom_Below(&random, 3),
                       1 + (unsigned)AqRandom_Below(&random, 8),
                       500 + (int64_t)AqRandom_Below(&random, 4000),
                       100 + (AqTime)AqRandom_Below(&random, 1500));
        sim_run(sim, (AqTime)AqRandom_Below(&random, 500));
        disturb(sim, &random);
    }
    sim_set_faults(sim, &none);
    bool is_finished = sim_finish(sim, 90000);
    const char *text = sim_broken(sim);
    if (!is_finished) {
        fprintf(stderr, "seed %llu: %s\n", (unsigned long long)seed,
                text != NULL ? text : "jobs are left");
    }
    sim_destroy(sim);
    return is_finished;
}

static uint64_t first_seed = 1;
static uint64_t seeds = 200;

static void
test_random_days(void)
{
    for (uint64_t i = 0; i < seeds; i++) {
        CU_ASSERT_TRUE(play(first_seed + i));
    }
}

int
main(int argc, char **argv)
{
    if (argc > 2) {
        first_seed = strtoull(argv[1], NULL, 10);
        seeds = strtoull(argv[2], NULL, 10);
    }
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("scheduler_random", NULL, NULL);
    CU_add_test(suite, "random_days", test_random_days);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
