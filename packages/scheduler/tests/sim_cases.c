#include "sim_cases.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"

void
sim_expect_no_violation(const Sim *sim, uint64_t seed)
{
    const char *text = sim_violation(sim);
    if (text != NULL) {
        fprintf(stderr, "seed %llu: %s\n", (unsigned long long)seed, text);
    }
    CU_ASSERT_PTR_NULL(text);
}

unsigned
sim_find_run(const Sim *sim, const char *job)
{
    unsigned vm = 0;
    while (vm < SIM_VMS - 1 && sim_count_runs(sim, vm, job) == 0) {
        vm++;
    }
    return vm;
}

int
sim_run_cases(const char *suite, const SimCase *cases, size_t count, int argc,
              char **argv)
{
    unsigned added = 0;
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite registered = CU_add_suite(suite, NULL, NULL);
    for (size_t i = 0; i < count; i++) {
        if (argc < 2 || strcmp(argv[1], cases[i].name) == 0) {
            CU_add_test(registered, cases[i].name, cases[i].run);
            added++;
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 && added > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
