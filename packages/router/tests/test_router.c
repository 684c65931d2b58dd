#include "test_router.h"

#include <CUnit/Basic.h>

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("router", NULL, NULL);
    CU_ADD_TEST(suite, test_mechanisms);
    CU_ADD_TEST(suite, test_outcomes);
    CU_ADD_TEST(suite, test_attempt_timeouts);
    CU_ADD_TEST(suite, test_short_deadline_starts);
    CU_ADD_TEST(suite, test_slower_service_recovers);
    CU_ADD_TEST(suite, test_ejection_thresholds);
    CU_ADD_TEST(suite, test_ejection_time_doubles);
    CU_ADD_TEST(suite, test_trial_of_non_idempotent);
    CU_ADD_TEST(suite, test_move_resets_failures);
    CU_ADD_TEST(suite, test_failing_is_not_preferred);
    CU_ADD_TEST(suite, test_backoff);
    CU_ADD_TEST(suite, test_lost_slots_fail_queued_requests);
    CU_ADD_TEST(suite, test_admission_margin);
    CU_ADD_TEST(suite, test_timeout_closes_idle);
    CU_ADD_TEST(suite, test_short_deadlines_eject_nothing);
    CU_ADD_TEST(suite, test_old_mean_expires);
    CU_ADD_TEST(suite, test_no_retry_without_endpoint);
    CU_ADD_TEST(suite, test_archive_does_not_delay_live);
    CU_ADD_TEST(suite, test_random_calls);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
