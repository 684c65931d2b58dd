#ifndef AQ_TESTKIT_CASES_H
#define AQ_TESTKIT_CASES_H

#include <CUnit/Basic.h>
#include <jansson.h>
#include <stdint.h>

#include "aq_test_http.h"
#include "aq_test_process.h"

/* Paths of the stand-in programs under test, from the test's command line. */
extern const char *platform_program;
extern const char *endpoint_program;
extern const char *caller_program;

/* Starts a program with the given arguments, ended by NULL, and waits until
 * the program prints the line "ready NAME=ADDRESS:PORT ...", which says on
 * which addresses it listens.  Returns NULL on failure. */
AqProcess *start_program(const char *program, ...);
/* Returns the URL of a path on the address that the process printed for a name
 * in the line "ready NAME=ADDRESS:PORT ..." on its standard output.  The URL
 * is in one of eight static buffers, which are used in turn. */
const char *url_of(const AqProcess *process, const char *name,
                   const char *path);
/* Sends a JSON text as the request body (NULL for none) and returns the JSON
 * body of the response as a new reference.  Aborts the test on failure. */
json_t *call_json(const char *method, const char *url, const char *body);
/* Posts a JSON text to a path of the test interface of a stand-in process.
 * Aborts the test on failure. */
void post_control(const AqProcess *process, const char *path,
                  const char *body);
/* Sends SIGTERM to a process, waits for its end and frees it.  Returns whether
 * the exit status was 0. */
bool stop_program(AqProcess *process);
/* Returns an integer field of a JSON object; the test fails when the field is
 * absent. */
int64_t int_at(const json_t *object, const char *field);

void add_platform_suite(void);
void add_endpoint_suite(void);
void add_caller_suite(void);

#endif
