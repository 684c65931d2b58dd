#ifndef AQ_TEST_ROUTER_H
#define AQ_TEST_ROUTER_H

void test_mechanisms(void);
void test_outcomes(void);
void test_attempt_timeouts(void);
void test_short_deadline_starts(void);
void test_slower_service_recovers(void);
void test_ejection_thresholds(void);
void test_ejection_time_doubles(void);
void test_trial_of_non_idempotent(void);
void test_move_resets_failures(void);
void test_failing_is_not_preferred(void);
void test_backoff(void);
void test_lost_slots_fail_queued_requests(void);
void test_admission_margin(void);
void test_timeout_closes_idle(void);
void test_short_deadlines_eject_nothing(void);
void test_old_mean_expires(void);
void test_no_retry_without_endpoint(void);
void test_archive_does_not_delay_live(void);
void test_random_calls(void);

#endif
