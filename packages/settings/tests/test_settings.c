#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "aq_buffer.h"
#include "aq_settings.h"

#define REQUIRED                                                              \
    "[node]\nid = \"e1\"\nzone = \"hal-a\"\n"                                 \
    "[operators]\ntoken = \"0123456789abcdef\"\n"                             \
    "[peers]\nsecret = \"0123456789abcdef\"\n"                                \
    "[store]\nurl = \"http://127.0.0.1:1\"\n"

static AqSettings *
load_text(const char *text, AqError *error)
{
    char path[] = "settings-XXXXXX";
    int fd = mkstemp(path);
    FILE *file = fdopen(fd, "w");
    fputs(text, file);
    fclose(file);
    AqError_Clear(error);
    AqSettings *settings = AqSettings_Load(path, error);
    unlink(path);
    return settings;
}

/* Guards against invalid settings that are accepted, and against error
 * messages that do not name the key, the value and the allowed range. */
static void
test_bad_settings(void)
{
    static const struct {
        const char *text;
        const char *in_message;
    } cases[] = {
        {REQUIRED "[router]\nqueue_limit = 0\n",
         "router.queue_limit = 0 is out of range; write a whole number from "
         "1 to 100000"},
        {REQUIRED "[router]\nqueue_limit = \"many\"\n", "out of range"},
        {REQUIRED "[router]\nqueue_limt = 5\n", "router.queue_limt"},
        {REQUIRED "extra = 5\n", "store.extra = 5 is not a known setting"},
        {"extra = 5\n" REQUIRED, "extra = 5 is not a known setting"},
        {"[node]\nid = \"e1\"\n", "is missing"},
        {"[node]\nid = 5\n", "is not a string"},
        {"[node]\nid = \"e1\"\nlog_level = \"war\"\n",
         "choose one of: error warning info debug"},
        {"[operators]\ntoken = \"short\"\n", "allowed are 16 to 200"},
        {"[node\n", "1 | [node"},
        {"[node]\nid = \"a\"\nid = \"b\"\n", "id"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        AqSettings *settings = load_text(cases[i].text, &error);
        CU_ASSERT_PTR_NULL(settings);
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        if (strstr(error.message, cases[i].in_message) == NULL) {
            printf("case %zu: %s\n", i, error.message);
            CU_FAIL("message");
        }
        AqSettings_Destroy(settings);
    }
}

/* Guards against a crash of the parser, which is recursive, on deeply nested
 * values, and against a refusal of values that only look nested. */
static void
test_nested_settings(void)
{
    enum {
        DEPTH = 100000
    };
    static const struct {
        const char *begin; /* text before the brackets */
        const char *opening;
        bool closes;
    } cases[] = {
        {"[node]\nid = ", "[", false},
        {"[node]\nid = ", "[", true},
        {"[node]\nid = ", "{a=", false},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqError error;
        AqBuffer text;
        AqBuffer_Init(&text);
        AqBuffer_AppendText(&text, cases[i].begin);
        for (int j = 0; j < DEPTH; j++) {
            AqBuffer_AppendText(&text, cases[i].opening);
        }
        for (int j = 0; cases[i].closes && j < DEPTH; j++) {
            AqBuffer_AppendText(&text, "]");
        }
        CU_ASSERT_PTR_NULL(load_text(AqBuffer_Text(&text), &error));
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "settings-"));
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, ":2: id"));
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "remove brackets"));
        AqBuffer_Clear(&text);
    }
    AqError error;
    AqSettings *settings =
        load_text("# [[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\n"
                  "[node]\nid = \"e1\"\nzone = \"hal-a\"\n"
                  "[operators]\n"
                  "token = \"[[[[[[[[[[[[[[[[[[[[[[[[[[[[\\\"[[[[[[[[[[[[\"\n"
                  "[peers]\nsecret = '[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[['\n"
                  "[store]\nurl = \"http://127.0.0.1:1\"\n",
                  &error);
    CU_ASSERT_PTR_NOT_NULL(settings);
    AqSettings_Destroy(settings);
}

/* Guards against the message of a failed allocation when the path is that of a
 * directory. */
static void
test_directory(void)
{
    AqError error;
    CU_ASSERT_PTR_NULL(AqSettings_Load("/", &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "/: is a directory"));
}

/* Guards against defaults that differ from the documented ones, and against
 * values that are stored in the wrong field. */
static void
test_good_settings(void)
{
    AqError error;
    AqSettings *settings =
        load_text(REQUIRED "[router]\nqueue_limit = 7\n", &error);
    CU_ASSERT_PTR_NOT_NULL(settings);
    if (settings == NULL) {
        return;
    }
    CU_ASSERT_STRING_EQUAL(settings->node_id, "e1");
    CU_ASSERT_STRING_EQUAL(settings->node_log_level, "info");
    CU_ASSERT_STRING_EQUAL(settings->peers_seeds, "");
    CU_ASSERT_EQUAL(settings->router_queue_limit, 7);
    CU_ASSERT_EQUAL(settings->claims_retention_ms, 3600000);
    AqSettings_Destroy(settings);
    CU_ASSERT_PTR_NULL(AqSettings_Load("does-not-exist.toml", &error));
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "does-not-exist.toml"));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("settings", NULL, NULL);
    CU_ADD_TEST(suite, test_bad_settings);
    CU_ADD_TEST(suite, test_good_settings);
    CU_ADD_TEST(suite, test_nested_settings);
    CU_ADD_TEST(suite, test_directory);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
