#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "testkit_cases.h"

/* Time limit for the start of a program; long enough for sanitized programs on
 * a loaded machine. */
#define READY_MS 20000
/* Time limit for the exit of a program after the test sent a signal. */
#define EXIT_MS 20000

const char *platform_program;
const char *endpoint_program;
const char *caller_program;

AqProcess *
start_program(const char *program, ...)
{
    const char *argv[32] = {program};
    va_list args;
    AqError error = {0};
    va_start(args, program);
    for (int i = 1; i < 31; i++) {
        argv[i] = va_arg(args, const char *);
        if (argv[i] == NULL) {
            break;
        }
    }
    va_end(args);
    AqProcess *process = AqProcess_Spawn(argv, NULL, &error);
    if (process == NULL || !AqProcess_WaitReady(process, READY_MS, &error)) {
        fprintf(stderr, "%s: %s\n", program, error.message);
        AqProcess_Destroy(process);
        return NULL;
    }
    return process;
}

const char *
url_of(const AqProcess *process, const char *name, const char *path)
{
    static char urls[8][256];
    static unsigned next;
    char *url = urls[next++ % 8];
    snprintf(url, sizeof(urls[0]), "http://%s%s",
             AqProcess_Address(process, name), path);
    return url;
}

json_t *
call_json(const char *method, const char *url, const char *body)
{
    AqError error = {0};
    json_t *value = body != NULL ? json_loads(body, 0, NULL) : NULL;
    CU_ASSERT_TRUE_FATAL(body == NULL || value != NULL);
    json_t *reply = AqTestHttp_Json(method, url, NULL, value, NULL, &error);
    json_decref(value);
    if (reply == NULL) {
        printf("%s\n", error.message);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
    return reply;
}

void
post_control(const AqProcess *process, const char *path, const char *body)
{
    json_decref(call_json("POST", url_of(process, "control", path), body));
}

bool
stop_program(AqProcess *process)
{
    int status = -1;
    AqError error = {0};
    bool ok = AqProcess_Signal(process, SIGTERM, &error) &&
              AqProcess_WaitExit(process, EXIT_MS, &status, &error) &&
              status == 0;
    if (!ok) {
        fprintf(stderr, "exit status %d: %s\n", status, error.message);
    }
    AqProcess_Destroy(process);
    return ok;
}

int64_t
int_at(const json_t *object, const char *field)
{
    const json_t *value = json_object_get(object, field);
    CU_ASSERT_TRUE(json_is_integer(value));
    return json_integer_value(value);
}

/* Guards against AqProcess functions that wait forever, report a running
 * process as ended, or do not report the signal that ended a process. */
static void
test_process_exit(void)
{
    AqProcess *process = start_program(platform_program, "--port", "0", NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(process);
    int status;
    AqError error = {0};
    CU_ASSERT_FALSE(AqProcess_WaitExit(process, 0, &status, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_TIMEOUT);
    CU_ASSERT_TRUE(AqProcess_Signal(process, SIGKILL, &error));
    CU_ASSERT_TRUE(AqProcess_WaitExit(process, EXIT_MS, &status, &error));
    CU_ASSERT_EQUAL(status, 128 + SIGKILL);
    CU_ASSERT_FALSE(AqProcess_Signal(process, SIGTERM, &error));
    AqProcess_Destroy(process);
}

/* Guards against AqProcess functions that report a program as ready although
 * the program could not start. */
static void
test_process_not_started(void)
{
    const char *const missing[] = {"/nonexistent/program", NULL};
    const char *const wrong[] = {platform_program, "--no-such-option", NULL};
    AqError error = {0};
    CU_ASSERT_PTR_NULL(AqProcess_Spawn(missing, NULL, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_NOT_FOUND);
    AqProcess *process = AqProcess_Spawn(wrong, "/dev/null", &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(process);
    CU_ASSERT_FALSE(AqProcess_WaitReady(process, READY_MS, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_SYSTEM);
    AqProcess_Destroy(process);
}

int
main(int argc, char **argv)
{
    if (argc < 4) {
        fprintf(stderr, "usage: test_testkit PLATFORM ENDPOINT CALLER\n");
        return 2;
    }
    platform_program = argv[1];
    endpoint_program = argv[2];
    caller_program = argv[3];
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("process", NULL, NULL);
    CU_ADD_TEST(suite, test_process_exit);
    CU_ADD_TEST(suite, test_process_not_started);
    add_platform_suite();
    add_endpoint_suite();
    add_caller_suite();
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
