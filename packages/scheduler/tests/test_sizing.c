#include <CUnit/Basic.h>
#include <stdlib.h>

#include "aq_sizing.h"

enum {
    CORE_CPU_MILLIS = 1000,
    VM_CPU_MILLIS = 16 * CORE_CPU_MILLIS
};

/* Each row is the load of a pool at one moment and the sizing decision
 * expected for it. */
static const struct {
    const char *pattern;
    AqSizingInput input;
    size_t acquire_vms;
    size_t release_vms;
    /* expected number of VMs that the pool needs in addition, including those
     * that become available only when other pools release VMs */
    size_t needed_vms;
} cases[] = {
    {"quiet pool with perpetual tasks releases its idle VMs",
     {.used_cpu_millis = 2 * VM_CPU_MILLIS,
      .perpetual_cpu_millis = 2 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 12 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 12,
      .perpetual_vms = 4,
      .widest_spread = 4},
     0,
     7,
     0},
    {"quiet pool keeps one VM beside those that a perpetual step needs",
     {.used_cpu_millis = VM_CPU_MILLIS / 2,
      .perpetual_cpu_millis = VM_CPU_MILLIS / 2,
      .capacity_cpu_millis = 9 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 9,
      .perpetual_vms = 6,
      .widest_spread = 6},
     0,
     2,
     0},
    {"pool whose tasks crash VMs does not take those of other pools",
     {.used_cpu_millis = 10 * VM_CPU_MILLIS,
      .ready_cpu_millis = 90 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 4 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 4,
      .pending_vms = 3,
      .recent_crashes = 6,
      .site_vms = 50},
     3,
     0,
     3},
    {"pool whose tasks crash VMs leaves an eighth of the site in reserve",
     {.used_cpu_millis = 10 * VM_CPU_MILLIS,
      .ready_cpu_millis = 90 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 4 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 4,
      .pending_vms = 3,
      .recent_crashes = 6,
      .spare_vms = 20,
      .site_vms = 50},
     14,
     0,
     14},
    {"single crashes do not limit a pool",
     {.used_cpu_millis = 10 * VM_CPU_MILLIS,
      .ready_cpu_millis = 8 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 10 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 10,
      .recent_crashes = 4,
      .site_vms = 50},
     8,
     0,
     8},
    {"burst begins: tasks wait and the offered load exceeds the capacity",
     {.used_cpu_millis = 4 * VM_CPU_MILLIS,
      .ready_cpu_millis = 2 * VM_CPU_MILLIS,
      .offered_cpu_millis = 10 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 4 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 4},
     9,
     0,
     9},
    {"burst rises in a half full pool: VMs are acquired ahead of the need",
     {.used_cpu_millis = 11 * VM_CPU_MILLIS,
      .offered_cpu_millis = 30 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 20 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 20},
     13,
     0,
     13},
    {"a few large jobs in one second, less than half of the pool in use",
     {.used_cpu_millis = 2 * VM_CPU_MILLIS,
      .offered_cpu_millis = 20 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 8 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 8},
     0,
     0,
     0},
    {"burst begins on a small site: acquires no more than the fixed limit",
     {.used_cpu_millis = 28 * VM_CPU_MILLIS,
      .ready_cpu_millis = 26 * VM_CPU_MILLIS,
      .offered_cpu_millis = 133 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 31 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 31,
      .site_vms = 50},
     16,
     0,
     131},
    {"burst begins on a large site: acquires a quarter of its VMs",
     {.used_cpu_millis = 28 * VM_CPU_MILLIS,
      .ready_cpu_millis = 26 * VM_CPU_MILLIS,
      .offered_cpu_millis = 133 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 31 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 31,
      .site_vms = 350},
     87,
     0,
     131},
    {"large site: at most a quarter of it in one decision, the rest is needed "
     "from pools that release VMs",
     {.used_cpu_millis = 100 * VM_CPU_MILLIS,
      .ready_cpu_millis = 250 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 100 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 100,
      .site_vms = 352},
     88,
     0,
     250},
    {"peak of a burst: pending VMs are counted",
     {.used_cpu_millis = 4 * VM_CPU_MILLIS,
      .ready_cpu_millis = 5 * VM_CPU_MILLIS,
      .offered_cpu_millis = 6 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 4 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 4,
      .pending_vms = 5},
     0,
     0,
     0},
    {"burst has ended: releases the VMs above the need and its reserve",
     {
         .used_cpu_millis = 4 * VM_CPU_MILLIS,
         .capacity_cpu_millis = 16 * VM_CPU_MILLIS,
         .vm_cpu_millis = VM_CPU_MILLIS,
         .usable_vms = 16,
     },
     0,
     9,
     0},
    {"wave: VMs in maintenance do not keep idle ones in the pool",
     {.used_cpu_millis = 4 * VM_CPU_MILLIS,
      .capacity_cpu_millis = 16 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 16,
      .maintenance_vms = 2},
     0,
     9,
     0},
    {"no VM is released while a task waits",
     {
         .used_cpu_millis = 4 * VM_CPU_MILLIS,
         .ready_cpu_millis = CORE_CPU_MILLIS,
         .capacity_cpu_millis = 16 * VM_CPU_MILLIS,
         .vm_cpu_millis = VM_CPU_MILLIS,
         .usable_vms = 16,
     },
     0,
     0,
     0},
    {"a task waits too long although the total capacity suffices",
     {.used_cpu_millis = 2 * VM_CPU_MILLIS,
      .ready_cpu_millis = CORE_CPU_MILLIS,
      .longest_wait_ms = 1500,
      .capacity_cpu_millis = 8 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 8},
     1,
     0,
     1},
    {"a rack is lost: fewer VMs than a perpetual step needs",
     {.used_cpu_millis = VM_CPU_MILLIS,
      .perpetual_cpu_millis = VM_CPU_MILLIS,
      .capacity_cpu_millis = 3 * VM_CPU_MILLIS,
      .vm_cpu_millis = VM_CPU_MILLIS,
      .usable_vms = 3,
      .perpetual_vms = 3,
      .widest_spread = 5},
     3,
     0,
     3},
};

/* Guards against pools that have too few VMs during a burst (many jobs
 * submitted within a short time), keep too many VMs after the burst, or
 * acquire VMs from the spare pool and soon release the same VMs to it. */
static void
test_patterns(void)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqSizingDecision decision;
        AqSizing_Decide(&cases[i].input, &decision);
        if (decision.acquire_vms != cases[i].acquire_vms ||
            decision.release_vms != cases[i].release_vms) {
            fprintf(stderr, "%s: acquires %zu, releases %zu\n",
                    cases[i].pattern, decision.acquire_vms,
                    decision.release_vms);
        }
        CU_ASSERT_EQUAL(decision.acquire_vms, cases[i].acquire_vms);
        CU_ASSERT_EQUAL(decision.release_vms, cases[i].release_vms);
        CU_ASSERT_EQUAL(decision.needed_vms, cases[i].needed_vms);
    }
}

/* Guards against a pool that acquires VMs in one decision and releases them in
 * the next one although the load is the same. */
static void
test_no_flapping(void)
{
    for (int64_t used = 0; used < 20; used++) {
        for (int64_t offered = 0; offered < 20; offered++) {
            AqSizingInput input = {.used_cpu_millis = used * VM_CPU_MILLIS / 2,
                                   .offered_cpu_millis =
                                       offered * VM_CPU_MILLIS / 2,
                                   .capacity_cpu_millis = 4 * VM_CPU_MILLIS,
                                   .vm_cpu_millis = VM_CPU_MILLIS,
                                   .usable_vms = 4};
            AqSizingDecision decision;
            AqSizing_Decide(&input, &decision);
            input.usable_vms += decision.acquire_vms;
            input.capacity_cpu_millis +=
                (int64_t)decision.acquire_vms * VM_CPU_MILLIS;
            size_t acquired = decision.acquire_vms;
            AqSizing_Decide(&input, &decision);
            CU_ASSERT_TRUE(acquired == 0 || decision.release_vms == 0);
        }
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("sizing", NULL, NULL);
    CU_add_test(suite, "patterns", test_patterns);
    CU_add_test(suite, "no_flapping", test_no_flapping);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
