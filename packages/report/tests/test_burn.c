#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_burn.h"
#include "aq_json.h"

#define MINUTE_MS INT64_C(60000)
#define HOUR_MS (60 * MINUTE_MS)
/* Current time in these tests: a Unix time in ms, 20 min past a full hour. */
#define NOW_MS (INT64_C(472222) * HOUR_MS + 20 * MINUTE_MS)

static void
count(AqBurn *burn, int64_t wall_ms, AqBurnKind kind, int requests)
{
    for (int i = 0; i < requests; i++) {
        AqBurn_Count(burn, wall_ms, "track", kind);
    }
}

static AqBurn *
new_burn(const char *holder)
{
    AqBurn *burn = AqBurn_Create();
    AqBurn_SetHolder(burn, holder);
    return burn;
}

/* Returns a numeric field of the first service in the burn report; -1 when the
 * field is null. */
static double
reported_value(const AqBurn *burn, int64_t wall_ms, const char *field)
{
    json_t *report = AqBurn_Report(burn, wall_ms);
    const json_t *service =
        json_array_get(json_object_get(report, "services"), 0);
    const json_t *value = json_object_get(service, field);
    double number = json_is_null(value) ? -1 : json_number_value(value);
    json_decref(report);
    return number;
}

static bool
is_near(double value, double expected)
{
    return fabs(value - expected) <= 1e-9 + 1e-6 * fabs(expected);
}

/* Guards against periods of a report (5 min, 1 h, 24 h) that count a minute
 * too many or too few, and against a wrong burn rate, remaining budget or time
 * at which the budget is used up. */
static void
test_windows(void)
{
    static const struct {
        int64_t age_ms;
        int on_time;
        int missed;
        double burn_5m;
        double burn_1h;
        double left;
        /* Expected "exhausted_at", in ms after NOW_MS; -1 when it must be
         * null. */
        double exhausted_in_ms;
    } cases[] = {
        {0, 99, 1, 1, 1, 0, 0},
        {4 * MINUTE_MS, 199, 1, 0.5, 0.5, 0.5, -1},
        {5 * MINUTE_MS, 99, 1, 0, 1, 0, 0},
        {59 * MINUTE_MS, 98, 2, 0, 2, -1, 0},
        {60 * MINUTE_MS, 98, 2, 0, 0, -1, 0},
        {24 * HOUR_MS - MINUTE_MS, 199, 1, 0, 0, 0.5, -1},
        {24 * HOUR_MS, 50, 50, 0, 0, 1, -1},
        {0, 0, 4, 100, 100, -99, 0},
        {0, 0, 0, 0, 0, 1, -1},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqBurn *burn = new_burn("a");
        AqBurn_SetObjective(burn, "track", 990);
        count(burn, NOW_MS - cases[i].age_ms, AQ_BURN_ON_TIME,
              cases[i].on_time);
        count(burn, NOW_MS - cases[i].age_ms, AQ_BURN_FAILURE,
              cases[i].missed);
        CU_ASSERT_TRUE(is_near(reported_value(burn, NOW_MS, "burn_5m"),
                               cases[i].burn_5m));
        CU_ASSERT_TRUE(is_near(reported_value(burn, NOW_MS, "burn_1h"),
                               cases[i].burn_1h));
        CU_ASSERT_TRUE(is_near(reported_value(burn, NOW_MS, "budget_left"),
                               cases[i].left));
        double exhausted = reported_value(burn, NOW_MS, "exhausted_at");
        double expected = cases[i].exhausted_in_ms;
        expected = expected < 0 ? -1 : (double)NOW_MS + expected;
        CU_ASSERT_TRUE(is_near(exhausted, expected));
        AqBurn_Destroy(burn);
    }
}

/* Guards against an "exhausted_at" that ignores the remaining budget: when 100
 * of 10,000 requests may be late and 50 were, a burn rate of 2 uses up the
 * other 50 in 6 h. */
static void
test_projection(void)
{
    AqBurn *burn = new_burn("a");
    AqBurn_SetObjective(burn, "track", 990);
    count(burn, NOW_MS - 5 * HOUR_MS, AQ_BURN_ON_TIME, 7500);
    count(burn, NOW_MS - MINUTE_MS, AQ_BURN_ON_TIME, 2450);
    count(burn, NOW_MS - MINUTE_MS, AQ_BURN_LATE, 50);
    CU_ASSERT_TRUE(is_near(reported_value(burn, NOW_MS, "burn_1h"), 2));
    CU_ASSERT_TRUE(is_near(reported_value(burn, NOW_MS, "budget_left"), 0.5));
    double exhausted = reported_value(burn, NOW_MS, "exhausted_at");
    CU_ASSERT_TRUE(fabs(exhausted - (double)(NOW_MS + 6 * HOUR_MS)) <= 1);
    AqBurn_Destroy(burn);
}

static bool
merge(AqBurn *burn, const AqBurn *from, int64_t wall_ms)
{
    json_t *counters = AqBurn_Encode(from, wall_ms);
    bool ok = AqBurn_Merge(burn, counters, NULL);
    json_decref(counters);
    return ok;
}

/* Guards against counts that double when the same counters are merged twice,
 * or that decrease when older counters of an entry VM arrive late. */
static void
test_merge_once(void)
{
    AqBurn *a = new_burn("a"), *b = new_burn("b"), *c = new_burn("c");
    count(a, NOW_MS, AQ_BURN_ON_TIME, 10);
    count(b, NOW_MS - 3 * HOUR_MS, AQ_BURN_ON_TIME, 20);
    count(b, NOW_MS - 3 * HOUR_MS - MINUTE_MS, AQ_BURN_LATE, 2);
    json_t *early = AqBurn_Encode(b, NOW_MS - HOUR_MS);
    CU_ASSERT_TRUE(merge(a, b, NOW_MS));
    CU_ASSERT_TRUE(merge(a, b, NOW_MS));
    count(b, NOW_MS, AQ_BURN_ON_TIME, 5);
    CU_ASSERT_TRUE(merge(a, b, NOW_MS + 1));
    CU_ASSERT_TRUE(AqBurn_Merge(a, early, NULL));
    CU_ASSERT_TRUE(merge(a, c, NOW_MS));
    CU_ASSERT_EQUAL(reported_value(a, NOW_MS, "on_time"), 35);
    CU_ASSERT_EQUAL(reported_value(a, NOW_MS, "late"), 2);
    json_decref(early);
    AqBurn_Destroy(a);
    AqBurn_Destroy(b);
    AqBurn_Destroy(c);
}

/* Guards against losing the counts of 24 h when an entry VM's daemon restarts,
 * and against counting them twice when several other daemons send its own
 * counters back to it. */
static void
test_restart(void)
{
    AqBurn *before = new_burn("a"), *after = new_burn("a");
    count(before, NOW_MS - 3 * HOUR_MS, AQ_BURN_ON_TIME, 7);
    count(before, NOW_MS - 2 * MINUTE_MS, AQ_BURN_ON_TIME, 30);
    count(after, NOW_MS, AQ_BURN_ON_TIME, 4);
    CU_ASSERT_TRUE(merge(after, before, NOW_MS));
    CU_ASSERT_TRUE(merge(after, before, NOW_MS));
    CU_ASSERT_TRUE(merge(after, after, NOW_MS));
    CU_ASSERT_EQUAL(reported_value(after, NOW_MS, "on_time"), 41);
    AqBurn_Destroy(before);
    AqBurn_Destroy(after);
}

/* Guards against invalid counters that AqBurn_Merge merges, in whole or in
 * part, or for which it sets no error. */
static void
test_bad_input(void)
{
    static const char *const cases[] = {
        "[]",
        "{\"holder\":\"b\",\"at\":1}",
        "{\"holder\":\"\",\"at\":6000000,\"services\":{}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":[]}",
        "{\"holder\":\"b\",\"at\":0,\"services\":{}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":{},\"x\":1}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":{\"s\":[[1,2]]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":"
        "{\"s\":[[9,1,0,0,0,0],[9,1,0,0,0,0]]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":"
        "{\"s\":[[9,1,0,0,0,-1]]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":"
        "{\"s\":[[9,1,0,0,0,4294967296]]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":"
        "{\"s\":[[101,1,0,0,0,0]]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":"
        "{\"s\":[[9,1,0,0,0,0]],\"t\":[9]}}",
        "{\"holder\":\"b\",\"at\":6000000,\"services\":{\"s\":{}}}",
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqBurn *burn = new_burn("a");
        AqError error;
        AqError_Clear(&error);
        json_t *input = AqJson_Parse(cases[i], strlen(cases[i]), &error);
        CU_ASSERT_FALSE(AqBurn_Merge(burn, input, &error));
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        json_t *report = AqBurn_Report(burn, NOW_MS);
        CU_ASSERT_EQUAL(json_array_size(json_object_get(report, "services")),
                        0);
        json_decref(report);
        json_decref(input);
        AqBurn_Destroy(burn);
    }
}

/* Guards against memory, message frames and store values for counters that
 * grow without limit with the number of services or entry VMs, or when the
 * wall clock jumps. */
static void
test_bounds(void)
{
    AqBurn *burn = new_burn("a"), *busy = new_burn("busy");
    char name[32];
    for (int i = 0; i < 400; i++) {
        snprintf(name, sizeof(name), "service-%d", i);
        AqBurn_Count(burn, NOW_MS, name, AQ_BURN_ON_TIME);
        AqBurn *other = new_burn(name);
        count(other, NOW_MS + i, AQ_BURN_LATE, 1);
        CU_ASSERT_TRUE(merge(burn, other, NOW_MS + i));
        AqBurn_Destroy(other);
    }
    for (int day = -2; day <= 2; day++) {
        for (int minute = 0; minute < 3000; minute++) {
            int64_t jump_ms = (day * 7919 % 5) * 24 * HOUR_MS;
            count(burn, NOW_MS + jump_ms + minute * MINUTE_MS, AQ_BURN_LATE,
                  1);
        }
    }
    json_t *report = AqBurn_Report(burn, NOW_MS);
    CU_ASSERT_EQUAL(json_array_size(json_object_get(report, "services")),
                    AQ_BURN_MAX_SERVICES);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(report, "holders")),
                    AQ_BURN_MAX_HOLDERS + 1);
    json_decref(report);
    for (int pool = 0; pool < 53; pool++) {
        snprintf(name, sizeof(name), "pool-%d", pool);
        for (int64_t age = 0; age < 24 * 60; age++) {
            for (int n = 0; n < 12; n++) {
                AqBurn_Count(busy, NOW_MS - (24 * 60 - 1 - age) * MINUTE_MS,
                             name, AQ_BURN_ON_TIME);
            }
        }
    }
    json_t *counters = AqBurn_Encode(busy, NOW_MS);
    char *text = AqJson_Dump(counters);
    printf(" 53 pools: %zu bytes ", strlen(text));
    CU_ASSERT_TRUE(strlen(text) < 200 * 1024);
    free(text);
    json_decref(counters);
    AqBurn_Destroy(burn);
    AqBurn_Destroy(busy);
}

/* Guards against a table or SVG plot that lacks a service, becomes malformed
 * by markup in a service's name or refers to external resources, and against a
 * crash or partial output on a damaged report. */
static void
test_output(void)
{
    AqBurn *burn = new_burn("a");
    AqError error;
    AqBuffer table, plot;
    AqBuffer_Init(&table);
    AqBuffer_Init(&plot);
    AqBurn_Count(burn, NOW_MS, "a<b&c", AQ_BURN_DRAIN);
    count(burn, NOW_MS, AQ_BURN_ON_TIME, 12);
    json_t *report = AqBurn_Report(burn, NOW_MS);
    CU_ASSERT_TRUE(AqBurn_WriteTable(report, &table, &error));
    CU_ASSERT_PTR_NOT_NULL(strstr(AqBuffer_Text(&table), "track "));
    CU_ASSERT_PTR_NOT_NULL(strstr(AqBuffer_Text(&table), "1000.00"));
    CU_ASSERT_TRUE(AqBurn_WriteSvg(report, &plot, &error));
    const char *svg = AqBuffer_Text(&plot);
    CU_ASSERT_PTR_NOT_NULL(strstr(svg, "a&lt;b&amp;c"));
    CU_ASSERT_PTR_NULL(strstr(svg, "a<b"));
    CU_ASSERT_PTR_NULL(strstr(svg, "href"));
    CU_ASSERT_PTR_NULL(strstr(svg, "url("));
    CU_ASSERT_STRING_EQUAL(svg + plot.size - 7, "</svg>\n");
    size_t written = table.size;
    json_object_del(json_array_get(json_object_get(report, "services"), 1),
                    "late");
    CU_ASSERT_FALSE(AqBurn_WriteTable(report, &table, &error));
    CU_ASSERT_FALSE(AqBurn_WriteSvg(report, &plot, &error));
    CU_ASSERT_FALSE(AqBurn_WriteSvg(NULL, &plot, &error));
    CU_ASSERT_EQUAL(table.size, written);
    json_decref(report);
    AqBuffer_Clear(&table);
    AqBuffer_Clear(&plot);
    AqBurn_Destroy(burn);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("report", NULL, NULL);
    CU_ADD_TEST(suite, test_windows);
    CU_ADD_TEST(suite, test_projection);
    CU_ADD_TEST(suite, test_merge_once);
    CU_ADD_TEST(suite, test_restart);
    CU_ADD_TEST(suite, test_bad_input);
    CU_ADD_TEST(suite, test_bounds);
    CU_ADD_TEST(suite, test_output);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
