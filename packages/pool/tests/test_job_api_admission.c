#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_load_view.h"
#include "aq_log.h"
#include "job_api_fixture.h"
#include "load_views.h"
#include "store_keys.h"

static const char short_job[] =
    "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
    "\"estimate_ms\":900}]}";
static const char perpetual_job[] =
    "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,"
    "\"perpetual\":true}]}";
static const char recurring_job[] =
    "{\"spec\":\"text\",\"repeats\":4,\"interval_ms\":500,\"steps\":["
    "{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":900}]}";

enum {
    LASTING_MS = 600000,
    STALE_MS = 2000 /* above the age up to which a view is used */
};

/* Writes a report of pool p, which has one core and is submitted smaller jobs
 * for "offered_cores". */
static void
publish(Fixture *fixture, uint64_t fence, AqTime age_ms, int64_t offered_cores)
{
    AqBuffer text;
    AqLoadView view = {.made_ms = AqClock_ReadWall() - age_ms,
                       .fence = fence,
                       .lasting_ms = LASTING_MS,
                       .duration_permille = 1000,
                       .capacity_cpu_millis = 1000};
    view.offered[0][0] = offered_cores * 1000;
    AqBuffer_Init(&text);
    AqBuffer_AppendText(&text, "q 3\n");
    AqLoadView_Encode(&view, &text);
    fake_store_put(fixture->fake, key_of(KEY_REPORT, "p"),
                   AqBuffer_Text(&text));
    AqBuffer_Clear(&text);
}

static void
send_and_serve(Fixture *fixture, const char *path)
{
    fixture->status = 0;
    unsigned count = fixture->response_count;
    send_to(fixture, "POST", path);
    while (fixture->response_count == count) {
        AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
        fake_store_reply_all(fixture->fake);
    }
}

/* Submits two jobs, so that the node has read the view in the report. */
static void
read_view(Fixture *fixture)
{
    send_and_serve(fixture, "/q/a1");
    send_and_serve(fixture, "/q/a2");
    AqLoop_RunOnce(fixture->node.loop, ROUND_MS);
    fake_store_reply_all(fixture->fake);
}

static void
set_up_loaded(Fixture *fixture)
{
    set_up(fixture);
    fixture->queue.target_ms = 600;
    fixture->queue.stretch = 1.5;
    fixture->body = short_job;
}

/* Guards against a job that is accepted although there will be no room for it,
 * and against refusals for load of what must never be refused: perpetual and
 * recurring jobs, jobs of queues without a target, and jobs whose pool has no
 * view, an old one, or one of an earlier owner. */
static void
test_refused_for_load(void)
{
    static const struct {
        const char *what;
        const char *body;
        AqTime target_ms;
        int64_t offered_cores; /* -1: no report */
        AqTime age_ms;
        int status;
    } cases[] = {
        {"offered 60 times the CPU", short_job, 600, 60, 0, 429},
        {"offered the CPU", short_job, 600, 1, 0, 200},
        {"perpetual", perpetual_job, 600, 60, 0, 200},
        {"recurring", recurring_job, 600, 60, 0, 200},
        {"queue without a target", short_job, 0, 60, 0, 200},
        {"no view", short_job, 600, -1, 0, 200},
        {"old view", short_job, 600, 60, STALE_MS, 200},
        {"view of the future", short_job, 600, 60, -STALE_MS, 200},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Fixture fixture;
        set_up_loaded(&fixture);
        fixture.body = cases[i].body;
        fixture.queue.target_ms = cases[i].target_ms;
        if (cases[i].offered_cores >= 0) {
            publish(&fixture, 5, cases[i].age_ms, cases[i].offered_cores);
        }
        read_view(&fixture);
        send_and_serve(&fixture, "/q/ab12");
        if (fixture.status != cases[i].status) {
            printf("%s: status %d\n", cases[i].what, fixture.status);
        }
        CU_ASSERT_EQUAL(fixture.status, cases[i].status);
        bool is_stored =
            fake_store_value(fixture.fake, key_of_job("p", "ab12")) != NULL;
        CU_ASSERT_EQUAL(is_stored, cases[i].status == 200);
        CU_ASSERT_EQUAL(fixture.retry_after_s >= 2, cases[i].status == 429);
        tear_down(&fixture);
    }
}

/* Guards against a refusal, which tells that the job never runs, of a job that
 * another node has accepted, or that this node may still store. */
static void
test_repeat_is_not_refused(void)
{
    Fixture fixture;
    set_up_loaded(&fixture);
    publish(&fixture, 5, 0, 60);
    read_view(&fixture);
    fake_store_put(fixture.fake, key_of_job("p", "ab12"), "by another node");
    send_and_serve(&fixture, "/q/ab12");
    CU_ASSERT_EQUAL(fixture.status, 200);
    send_and_serve(&fixture, "/q/a1");
    CU_ASSERT_EQUAL(fixture.status, 200);
    fake_store_put(fixture.fake, key_of(KEY_JOB_POOL, "cd34"),
                   "earlier pool of the queue");
    send_and_serve(&fixture, "/q/cd34");
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

/* Guards against a refusal for load by a node that cannot read whether the job
 * is stored. */
static void
test_no_refusal_without_store(void)
{
    Fixture fixture;
    set_up_loaded(&fixture);
    publish(&fixture, 5, 0, 60);
    read_view(&fixture);
    fixture.response_count = 0;
    fixture.deadline_ms = SHORT_DEADLINE_MS;
    send_request(&fixture, "POST");
    while (fixture.response_count == 0) {
        AqLoop_RunOnce(fixture.node.loop, ROUND_MS);
        if (fake_store_pending_count(fixture.fake) > 0) {
            fake_store_refuse_call(fixture.fake);
        }
    }
    CU_ASSERT_EQUAL(fixture.status, 503);
    tear_down(&fixture);
}

/* Guards against decisions by the view of a replaced owner, which an old read
 * returns after that of the new owner. */
static void
test_view_of_earlier_owner(void)
{
    Fixture fixture;
    set_up_loaded(&fixture);
    publish(&fixture, 6, 0, 1);
    read_view(&fixture);
    publish(&fixture, 5, -100, 60);
    AqTime until = AqLoop_Now(fixture.node.loop) + 2 * LOAD_VIEW_READ_MS;
    for (int i = 0; AqLoop_Now(fixture.node.loop) < until; i++) {
        char path[32];
        snprintf(path, sizeof(path), "/q/b%d", i);
        send_and_serve(&fixture, path);
        CU_ASSERT_EQUAL(fixture.status, 200);
    }
    tear_down(&fixture);
}

/* Guards against store calls for views while submissions are rare: a view
 * would be too old for the next one. */
static void
test_no_read_for_rare_submissions(void)
{
    Fixture fixture;
    set_up_loaded(&fixture);
    send_request(&fixture, "POST");
    while (fixture.response_count == 0) {
        AqLoop_RunOnce(fixture.node.loop, ROUND_MS);
        CU_ASSERT_TRUE(fake_store_pending_count(fixture.fake) <= 1);
        fake_store_reply_all(fixture.fake);
    }
    CU_ASSERT_EQUAL(fixture.status, 200);
    tear_down(&fixture);
}

int
main(void)
{
    static const struct {
        const char *name;
        void (*run)(void);
    } tests[] = {
        {"refused_for_load", test_refused_for_load},
        {"repeat_is_not_refused", test_repeat_is_not_refused},
        {"no_refusal_without_store", test_no_refusal_without_store},
        {"view_of_earlier_owner", test_view_of_earlier_owner},
        {"no_read_for_rare_submissions", test_no_read_for_rare_submissions},
    };
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("job_api_admission", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? 0 : 1;
}
