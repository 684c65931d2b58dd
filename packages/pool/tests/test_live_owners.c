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
 * "test_live_owners FIRST_SEED COUNT [WITHOUT [SKIPPED [trace]]]" runs other
 * seeds, without the kinds of faults (SimFault) in the bits of WITHOUT and the
 * faults whose numbers are in the bits of SKIPPED. */

static uint64_t first_seed = 1;
static uint64_t seed_count = 150;
static unsigned without;
static uint64_t skipped;

static bool
run_seed(uint64_t seed)
{
    Sim *sim = sim_create(seed);
    sim->without = without;
    sim->skipped = skipped;
    sim_play(sim);
    bool is_clean = sim->violation[0] == '\0';
    if (!is_clean) {
        printf("seed %llu: %u faults, %s\n", (unsigned long long)seed,
               sim->fault_count, sim->violation);
        fflush(stdout);
    }
    sim_trace(sim, "%u faults, %u starts, %u done", sim->fault_count,
              sim->start_count, sim->done_count);
    sim_destroy(sim);
    return is_clean;
}

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
    without = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 0) : 0;
    skipped = argc > 4 ? strtoull(argv[4], NULL, 0) : 0;
    sim_set_trace(argc > 5);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("live_owners", NULL, NULL);
    CU_add_test(suite, "random_faults", test_random_faults);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
