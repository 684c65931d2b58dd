#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "command.h"
#include "table.h"

enum {
    MAX_WORDS = 8
};

/* Guards against command-line words that are sent as another intent than the
 * operator meant, and against invalid words that are sent instead of
 * refused. */
static void
test_commands(void)
{
    static const struct {
        const char *words[MAX_WORDS];
        /* Kind of the intent that the words mean; NULL when they must be
         * refused. */
        const char *kind;
        const char *result;
    } cases[] = {
        {{"drain", "start", "vm1"}, "vm.drain", "{\"id\":\"vm1\"}"},
        {{"move", "vm1", "road"},
         "vm.move",
         "{\"id\":\"vm1\",\"pool\":\"road\"}"},
        {{"pool", "set", "track", "min_serving=7", "selector=gen=old,disk=ssd",
          "max_unavailable=null"},
         "pool.set",
         "{\"max_unavailable\":null,\"min_serving\":7,\"name\":\"track\","
         "\"selector\":{\"disk\":\"ssd\",\"gen\":\"old\"}}"},
        {{"job", "submit", "j", "urgent=true"},
         "job.submit",
         "{\"id\":\"j\",\"urgent\":true}"},
        {{"job", "submit", "j", "urgent=yes"}, NULL, "true or false"},
        {{"pool", "set", "track", "min_serving=x"}, NULL, "whole number"},
        {{"pool", "set", "track", "selector=old"}, NULL, "KEY=VALUE"},
        {{"pool", "set", "track", "minserving=1"}, NULL, "allowed are"},
        {{"pool", "set"}, NULL, "the name is missing"},
        {{"pool", "frob"}, NULL, "no command"},
        {{NULL}, NULL, "no command"},
        {{"drain", "start", "vm1", "vm2"}, NULL, "(none)"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char **words = (char **)cases[i].words;
        size_t count = 0;
        size_t used = 0;
        AqError error;
        json_t *args = NULL;
        while (count < MAX_WORDS && words[count] != NULL) {
            count++;
        }
        const Command *c = command_find(words, count, &used, &error);
        if (c != NULL) {
            args = command_args(c, words + used, count - used, &error);
        }
        if (cases[i].kind != NULL) {
            CU_ASSERT_PTR_NOT_NULL_FATAL(args);
            char *text = AqJson_Dump(args);
            CU_ASSERT_STRING_EQUAL(c != NULL ? c->kind : "", cases[i].kind);
            CU_ASSERT_STRING_EQUAL(text, cases[i].result);
            free(text);
        }
        else {
            CU_ASSERT_PTR_NULL_FATAL(args);
            CU_ASSERT_PTR_NOT_NULL(strstr(error.message, cases[i].result));
        }
        json_decref(args);
    }
}

/* Guards against help lines that argp breaks in the middle, and against
 * commands and optional arguments that are missing in the help text. */
static void
test_help(void)
{
    for (const Command *c = commands; c->group != NULL; c++) {
        AqBuffer out;
        AqBuffer_Init(&out);
        command_describe(c, &out);
        const char *text = AqBuffer_Text(&out);
        for (const char *line = text; *line != '\0';) {
            size_t length = strcspn(line, "\n");
            CU_ASSERT_TRUE(length < 80);
            line += length + (line[length] == '\n');
        }
        for (const char *field = c->fields; *field != '\0';) {
            char name[40];
            size_t length = strcspn(field, " ");
            snprintf(name, sizeof(name), " [%.*s=...]", (int)length, field);
            CU_ASSERT_PTR_NOT_NULL(strstr(text, name));
            field += length;
            field += strspn(field, " ");
        }
        CU_ASSERT_PTR_NOT_NULL(strstr(text, c->help));
        AqBuffer_Clear(&out);
    }
}

/* Guards against tables that an operator cannot read: nested JSON, times in
 * ms, a column order that changes with the records, blanks at the end of
 * lines. */
static void
test_tables(void)
{
    static const struct {
        const char *records;
        const char *table;
    } cases[] = {
        {"{}", "(none)\n"},
        {"{\"vm1\":{\"cores\":8,\"labels\":{\"gen\":\"old\",\"use\":\"a\"},"
         "\"pool\":\"track\",\"since\":1796331783788,\"state\":\"serving\"},"
         "\"vm2\":{\"labels\":{},\"pool\":\"b\",\"state\":\"failed\"}}",
         "name  pool   state    cores  labels         since\n"
         "vm1   track  serving  8      gen=old,use=a  2026-12-03T21:03:03Z\n"
         "vm2   b      failed   -      -              -\n"},
        {"{\"a\":{\"slots\":8,\"status\":{\"members\":4,\"serving\":3}}}",
         "name  members  serving  slots\n"
         "a     4        3        8\n"},
        {"[{\"op\":\"x\",\"id\":\"j\",\"reason\":\"\",\"reserved\":[2,64,0]}]",
         "id  op  reason  reserved\n"
         "j   x   -       [2,64,0]\n"},
    };
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char *text = NULL;
        size_t size = 0;
        AqError error;
        FILE *out = open_memstream(&text, &size);
        json_t *records =
            AqJson_Parse(cases[i].records, strlen(cases[i].records), &error);
        table_write(out, records);
        fclose(out);
        CU_ASSERT_STRING_EQUAL(text, cases[i].table);
        if (strcmp(text, cases[i].table) != 0) {
            printf("case %zu:\n%s", i, text);
        }
        free(text);
        json_decref(records);
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("cli", NULL, NULL);
    CU_ADD_TEST(suite, test_commands);
    CU_ADD_TEST(suite, test_help);
    CU_ADD_TEST(suite, test_tables);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
