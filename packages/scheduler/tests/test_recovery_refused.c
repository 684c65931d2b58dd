#include <CUnit/Basic.h>

#include "aq_log.h"
#include "order_fixture.h"

/* Guards against a pool that starts nothing as long as a VM that an earlier
 * owner used refuses each renewal: the refused renewals extend the lease that
 * the scheduler believes the VM to have, so that it never lapses. */
static void
test_refusing_vm_does_not_stop_pool(void)
{
    static const AqStepSpec step = {
        .task_count = 1, .cpu_millis = 1000, .estimate_ms = 500};
    Fixture f;
    Fixture earlier;
    AqBuffer list;
    AqSchedulerLoad load;
    AqBuffer_Init(&list);
    fixture_set_up_loaded(&earlier);
    fixture_add_vm(&earlier, "vm-1");
    AqScheduler_EncodeUsedVms(earlier.s, &list);
    fixture_tear_down(&earlier);
    fixture_set_up(&f, FIXTURE_EARLIER_OWNER_MS);
    CU_ASSERT_TRUE(AqScheduler_AddUsedVms(f.s, list.bytes, list.size, f.now));
    AqScheduler_SetLoaded(f.s);
    fixture_add_vm(&f, "vm-2");
    fixture_add_job(&f, "a1", &step);
    for (int i = 0; i < 100; i++) {
        fixture_tick(&f, 200);
        fixture_answer_renewal(&f, "vm-1", AQ_ORDER_UNHEALTHY);
        fixture_answer_renewal(&f, "vm-2", AQ_ORDER_DONE);
    }
    AqScheduler_GetLoad(f.s, f.now, &load);
    CU_ASSERT_TRUE(load.is_recovered);
    CU_ASSERT_EQUAL(f.starts->len, 1);
    AqBuffer_Clear(&list);
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("recovery_refused", NULL, NULL);
    CU_ADD_TEST(suite, test_refusing_vm_does_not_stop_pool);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
