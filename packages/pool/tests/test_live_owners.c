#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site_sim.h"

/* Runs live nodes that share a store and VMs, with random jobs and faults:
 * nodes that freeze, are killed, stop, or lose the store or single VMs, keys
 * that are removed although their lease holds, takeovers that follow one
 * another, late orders and writes, lost replies.  Guards against a task of
 * which two runs are alive at once, and against a start after an end that was
 * confirmed.
 *
 * "test_live_owners FIRST_SEED COUNT [trace]" runs other seeds. */

static bool
run_seed(uint64_t seed)
{
    Sim *sim = sim_create(seed);
    unsigned faults = 5 + (unsigned)AqRandom_Below(&sim->random, 15);
    sim_run(sim, 2500);
    for (unsigned i = 0; i < faults && sim->violation[0] == '\0'; i++) {
        for (uint64_t j = AqRandom_Below(&sim->random, 4); j > 0; j--) {
            sim_add_job(sim);
        }
        sim_random_fault(sim);
        sim_run(sim, sim_between(sim, 50, 4000));
    }
    sim_run(sim, 15000);
    bool is_clean = sim->violation[0] == '\0';
    if (!is_clean) {
        printf("seed %llu: %s\n", (unsigned long long)seed, sim->violation);
        fflush(stdout);
    }
    sim_trace(sim, "%u starts, %u done", sim->start_count, sim->done_count);
    sim_destroy(sim);
    return is_clean;
}

static uint64_t first_seed = 1;
static uint64_t seed_count = 100;

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
    sim_set_trace(argc > 3);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("live_owners", NULL, NULL);
    CU_add_test(suite, "random_faults", test_random_faults);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
