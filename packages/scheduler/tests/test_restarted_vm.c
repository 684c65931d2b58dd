#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "sim.h"

/* VMs that start again under their id: the next incarnation knows nothing of
 * the one before and counts ends and time anew.  "test_restarted_vm CASE" runs
 * one case. */

enum {
    SEEDS = 20,
    DOWN_MS = 700,
    RUN_MS = 400
};

static void
expect_no_violation(const Sim *sim, uint64_t seed)
{
    const char *text = sim_violation(sim);
    if (text != NULL) {
        fprintf(stderr, "seed %llu: %s\n", (unsigned long long)seed, text);
    }
    CU_ASSERT_PTR_NULL(text);
}

/* Guards against the restart of a task whose run is done (TWICE): the ends
 * that a restarted VM lists, numbered from 1 again, are passed over as known
 * ones, and confirmed to it by the number of an earlier end. */
static void
test_ends_of_restarted_vm(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Sim *sim = sim_create(seed);
        sim_add_chain(sim, "a1", 4, 40, 1000, RUN_MS);
        CU_ASSERT_TRUE(sim_run_until_finished(sim, 30000));
        for (unsigned vm = 0; vm < SIM_VMS; vm++) {
            sim_restart_vm(sim, vm, DOWN_MS);
        }
        sim_run(sim, DOWN_MS + 500);
        sim_add_chain(sim, "a2", 4, 40, 1000, RUN_MS);
        bool is_finished = sim_run_until_finished(sim, 30000);
        expect_no_violation(sim, seed);
        CU_ASSERT_TRUE(is_finished);
        CU_ASSERT_EQUAL(sim_count_starts(sim, "a2"), 160);
        sim_destroy(sim);
    }
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"ends_of_restarted_vm", test_ends_of_restarted_vm},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("restarted_vm", NULL, NULL);
    unsigned count = 0;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        if (argc < 2 || strcmp(argv[1], cases[i].name) == 0) {
            CU_add_test(suite, cases[i].name, cases[i].run);
            count++;
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 && count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
