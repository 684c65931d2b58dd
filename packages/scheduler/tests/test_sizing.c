#include <CUnit/Basic.h>
#include <stdlib.h>

#include "aq_sizing.h"

enum {
    CORE = 1000,
    VM = 16 * CORE
};

/* Each row is a load pattern at one moment and what the pool should do. */
static const struct {
    const char *pattern;
    AqSizingInput input;
    size_t acquire_vms;
    size_t release_vms;
    size_t
        needed_vms; /* with those that only come when other pools give them */
} cases[] = {
    {"quiet pool with its lasting tasks gives its idle VMs",
     {.used_cpu_millis = 2 * VM,
      .perpetual_cpu_millis = 2 * VM,
      .capacity_cpu_millis = 12 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 12,
      .perpetual_vms = 4,
      .widest_spread = 4},
     0,
     7,
     0},
    {"quiet pool keeps one VM beside those that a lasting step needs",
     {.used_cpu_millis = VM / 2,
      .perpetual_cpu_millis = VM / 2,
      .capacity_cpu_millis = 9 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 9,
      .perpetual_vms = 6,
      .widest_spread = 6},
     0,
     2,
     0},
    {"turn begins: work waits and more is offered than the pool holds",
     {.used_cpu_millis = 4 * VM,
      .ready_cpu_millis = 2 * VM,
      .offered_cpu_millis = 10 * VM,
      .capacity_cpu_millis = 4 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 4},
     9,
     0,
     9},
    {"turn rises in a pool that is half full: VMs are taken ahead of need",
     {.used_cpu_millis = 11 * VM,
      .offered_cpu_millis = 30 * VM,
      .capacity_cpu_millis = 20 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 20},
     13,
     0,
     13},
    {"a few large jobs in one second, the pool half empty",
     {.used_cpu_millis = 2 * VM,
      .offered_cpu_millis = 20 * VM,
      .capacity_cpu_millis = 8 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 8},
     0,
     0,
     0},
    {"turn begins on a small site: no more than the fixed limit",
     {.used_cpu_millis = 28 * VM,
      .ready_cpu_millis = 26 * VM,
      .offered_cpu_millis = 133 * VM,
      .capacity_cpu_millis = 31 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 31,
      .site_vms = 50},
     16,
     0,
     131},
    {"turn begins on a large site: all that one decision may take",
     {.used_cpu_millis = 28 * VM,
      .ready_cpu_millis = 26 * VM,
      .offered_cpu_millis = 133 * VM,
      .capacity_cpu_millis = 31 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 31,
      .site_vms = 350},
     87,
     0,
     131},
    {"large site: at most a quarter of it in one decision, the rest is wanted "
     "from pools that give VMs away",
     {.used_cpu_millis = 100 * VM,
      .ready_cpu_millis = 250 * VM,
      .capacity_cpu_millis = 100 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 100,
      .site_vms = 352},
     88,
     0,
     250},
    {"height of a turn: VMs that come are counted",
     {.used_cpu_millis = 4 * VM,
      .ready_cpu_millis = 5 * VM,
      .offered_cpu_millis = 6 * VM,
      .capacity_cpu_millis = 4 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 4,
      .pending_vms = 5},
     0,
     0,
     0},
    {"turn has ended: VMs go back as far as the rest leaves them",
     {
         .used_cpu_millis = 4 * VM,
         .capacity_cpu_millis = 16 * VM,
         .vm_cpu_millis = VM,
         .usable_vms = 16,
     },
     0,
     9,
     0},
    {"wave: VMs away for upkeep do not keep idle ones in the pool",
     {.used_cpu_millis = 4 * VM,
      .capacity_cpu_millis = 16 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 16,
      .maintenance_vms = 2},
     0,
     9,
     0},
    {"nothing goes back while VMs come or work waits",
     {
         .used_cpu_millis = 4 * VM,
         .ready_cpu_millis = CORE,
         .capacity_cpu_millis = 16 * VM,
         .vm_cpu_millis = VM,
         .usable_vms = 16,
     },
     0,
     0,
     0},
    {"a task finds no place although there is room",
     {.used_cpu_millis = 2 * VM,
      .ready_cpu_millis = CORE,
      .longest_wait_ms = 1500,
      .capacity_cpu_millis = 8 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 8},
     1,
     0,
     1},
    {"a rack is lost: fewer VMs than a lasting step needs",
     {.used_cpu_millis = VM,
      .perpetual_cpu_millis = VM,
      .capacity_cpu_millis = 3 * VM,
      .vm_cpu_millis = VM,
      .usable_vms = 3,
      .perpetual_vms = 3,
      .widest_spread = 5},
     3,
     0,
     3},
};

/* Guards against pools that lag behind a burst, hoard VMs after it, or send
 * them back and forth. */
static void
test_patterns(void)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqSizingDecision decision;
        AqSizing_Decide(&cases[i].input, &decision);
        if (decision.acquire_vms != cases[i].acquire_vms ||
            decision.release_vms != cases[i].release_vms) {
            fprintf(stderr, "%s: take %zu, give %zu\n", cases[i].pattern,
                    decision.acquire_vms, decision.release_vms);
        }
        CU_ASSERT_EQUAL(decision.acquire_vms, cases[i].acquire_vms);
        CU_ASSERT_EQUAL(decision.release_vms, cases[i].release_vms);
        CU_ASSERT_EQUAL(decision.needed_vms, cases[i].needed_vms);
    }
}

/* Guards against a pool that takes VMs in one decision and gives them in the
 * next with the same load. */
static void
test_no_flapping(void)
{
    for (int64_t used = 0; used < 20; used++) {
        for (int64_t offered = 0; offered < 20; offered++) {
            AqSizingInput input = {.used_cpu_millis = used * VM / 2,
                                   .offered_cpu_millis = offered * VM / 2,
                                   .capacity_cpu_millis = 4 * VM,
                                   .vm_cpu_millis = VM,
                                   .usable_vms = 4};
            AqSizingDecision decision;
            AqSizing_Decide(&input, &decision);
            input.usable_vms += decision.acquire_vms;
            input.capacity_cpu_millis += (int64_t)decision.acquire_vms * VM;
            size_t taken = decision.acquire_vms;
            AqSizing_Decide(&input, &decision);
            CU_ASSERT_TRUE(taken == 0 || decision.release_vms == 0);
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
