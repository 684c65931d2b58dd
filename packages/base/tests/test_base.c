#include <CUnit/Basic.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"
#include "aq_error.h"
#include "aq_hash.h"
#include "aq_json.h"
#include "aq_list.h"
#include "aq_log.h"
#include "aq_metrics.h"
#include "aq_random.h"

/* Guards against a list link that stays linked after its removal, or whose
 * second removal corrupts the links that were next to it. */
static void
test_list_removal(void)
{
    AqLink list, a, b;
    AqList_Init(&list);
    AqList_Init(&a);
    AqList_Init(&b);
    AqList_Append(&list, &a);
    AqList_Append(&list, &b);
    AqList_Remove(&a);
    AqList_Remove(&a);
    CU_ASSERT_EQUAL(AqList_Length(&list), 1);
    CU_ASSERT_FALSE(AqList_IsLinked(&a));
    CU_ASSERT_PTR_EQUAL(AqList_PopFirst(&list), &b);
    CU_ASSERT_PTR_NULL(AqList_PopFirst(&list));
}

/* Guards against generators with the same seed that return different numbers,
 * and against exponentially distributed numbers with a wrong mean. */
static void
test_random(void)
{
    AqRandom a, b;
    AqRandom_Seed(&a, 7);
    AqRandom_Seed(&b, 7);
    double sum = 0;
    for (int i = 0; i < 20000; i++) {
        CU_ASSERT_EQUAL(AqRandom_Next(&a), AqRandom_Next(&b));
        sum += AqRandom_Exponential(&a, 10.0);
        AqRandom_Next(&b);
    }
    CU_ASSERT_TRUE(fabs(sum / 20000 - 10.0) < 0.5);
    CU_ASSERT_EQUAL(AqRandom_Below(&a, 0), 0);
}

/* Guards against a rendezvous hash that reassigns keys between the remaining
 * candidates when another candidate is removed. */
static void
test_rendezvous_moves_only_lost_keys(void)
{
    for (uint64_t key = 0; key < 500; key++) {
        int winner[2];
        for (int members = 4; members <= 5; members++) {
            uint64_t best = 0;
            for (int m = 0; m < members; m++) {
                uint64_t weight = AqHash_Rendezvous(key, (uint64_t)m);
                if (weight > best) {
                    best = weight;
                    winner[members - 4] = m;
                }
            }
        }
        CU_ASSERT_TRUE(winner[1] == 4 || winner[1] == winner[0]);
    }
}

/* Guards against a buffer that loses bytes when it grows or when bytes at its
 * start are consumed. */
static void
test_buffer(void)
{
    AqBuffer buffer;
    AqBuffer_Init(&buffer);
    CU_ASSERT_STRING_EQUAL(AqBuffer_Text(&buffer), "");
    for (int i = 0; i < 1000; i++) {
        AqBuffer_Printf(&buffer, "%d,", i);
    }
    AqBuffer_Consume(&buffer, 4);
    CU_ASSERT_EQUAL(memcmp(AqBuffer_Text(&buffer), "2,3,", 4), 0);
    AqBuffer_Consume(&buffer, buffer.size + 10);
    CU_ASSERT_STRING_EQUAL(AqBuffer_Text(&buffer), "");
    AqBuffer_Clear(&buffer);
}

/* Guards against invalid JSON input that is accepted, and against error
 * messages that do not name the field or the allowed range. */
static void
test_json_errors(void)
{
    static const struct {
        const char *text;
        const char *in_message;
    } cases[] = {
        {"{\"n\": 11}", "between 0 and 10"},
        {"{\"n\": \"x\"}", "\"n\" is a string"},
        {"{}", "\"n\" is missing"},
        {"{\"n\": 1, \"m\": 2}", "\"m\" is unknown"},
        {"{\"n\": 1, \"n\": 2}", "bad JSON"},
        {"{\"n\": ", "bad JSON"},
    };
    static const char *const allowed[] = {"n", NULL};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        int64_t n;
        AqError_Clear(&error);
        json_t *object =
            AqJson_Parse(cases[i].text, strlen(cases[i].text), &error);
        bool ok = object != NULL &&
                  AqJson_GetInt(object, "n", 0, 10, &n, &error) &&
                  AqJson_CheckFields(object, allowed, &error);
        CU_ASSERT_FALSE(ok);
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[i].in_message));
        json_decref(object);
    }
}

/* Guards against a quoted log value that breaks the one-line key=value format
 * because it contains a quote or a line feed, or exceeds its buffer. */
static void
test_log_quote(void)
{
    CU_ASSERT_STRING_EQUAL(AqLog_Quote("a \"b\"\n"), "\"a \\\"b\\\"\\x0a\"");
    char longer[2000];
    memset(longer, '\n', sizeof(longer) - 1);
    longer[sizeof(longer) - 1] = '\0';
    CU_ASSERT_TRUE(strlen(AqLog_Quote(longer)) < 512);
}

/* Guards against two metrics with the same name and labels, and against a
 * repeated TYPE line for one name, which Prometheus rejects. */
static void
test_metrics(void)
{
    AqMetrics *metrics = AqMetrics_Create();
    AqMetric *a = AqMetrics_Counter(metrics, "aq_x_total", "s=\"a\"");
    AqMetric *b = AqMetrics_Counter(metrics, "aq_x_total", "s=\"b\"");
    CU_ASSERT_PTR_EQUAL(a,
                        AqMetrics_Counter(metrics, "aq_x_total", "s=\"a\""));
    AqMetric_Add(a, 3);
    AqMetric_Set(b, 4);
    AqBuffer out;
    AqBuffer_Init(&out);
    AqMetrics_Write(metrics, &out);
    CU_ASSERT_STRING_EQUAL(AqBuffer_Text(&out), "# TYPE aq_x_total counter\n"
                                                "aq_x_total{s=\"a\"} 3\n"
                                                "aq_x_total{s=\"b\"} 4\n");
    AqBuffer_Clear(&out);
    AqMetrics_Destroy(metrics);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("base", NULL, NULL);
    CU_ADD_TEST(suite, test_list_removal);
    CU_ADD_TEST(suite, test_random);
    CU_ADD_TEST(suite, test_rendezvous_moves_only_lost_keys);
    CU_ADD_TEST(suite, test_buffer);
    CU_ADD_TEST(suite, test_json_errors);
    CU_ADD_TEST(suite, test_log_quote);
    CU_ADD_TEST(suite, test_metrics);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
