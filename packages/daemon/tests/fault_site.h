#ifndef FAULT_SITE_H
#define FAULT_SITE_H

#include <CUnit/CUnit.h>

#include "site.h"

/* Functions that all fault tests use: they read counters of the endpoints,
 * send callers' requests through aq-caller (load) and check results. */

enum {
    FAULT_WAIT_MS = 30000
};

typedef struct {
    const char *name;
    CU_TestFunc run;
} FaultTest;

/* Each of these tables lists the fault tests of one test file; the last entry
 * has a NULL name. */
extern const FaultTest endpoint_tests[];
extern const FaultTest limit_tests[];
extern const FaultTest leaving_tests[];
extern const FaultTest configuration_tests[];
extern const FaultTest wave_tests[];
extern const FaultTest link_tests[];
extern const FaultTest once_tests[];

extern const char *fault_caller_program;

/* Prints "what" and "seen" and fails the test when "holds" is false; returns
 * "holds". */
bool fault_check(bool holds, const char *what, const char *seen);
void fault_expect(const SiteResponse *response, long status,
                  const char *outcome, const char *what);

/* Returns the sum of a counter of the endpoints, named by its JSON field, over
 * all endpoints (fault_endpoint_max(): the largest value of one endpoint). */
int fault_endpoint_sum(Site *site, const char *field);
int fault_endpoint_max(Site *site, const char *field);
int fault_endpoint_field(Site *site, int endpoint, const char *field);
/* Returns the response of the process that runs all endpoints to
 * /test/v1/runs?ids, with the number of runs of each request id, as a new
 * reference. */
json_t *fault_runs(Site *site);
/* Polls until a counter of one endpoint, or its sum over all endpoints when
 * "endpoint" is -1, is from "low" to "high"; returns false if that does not
 * happen within "ms" milliseconds of the call. */
bool fault_wait_endpoint(Site *site, int endpoint, const char *field, int low,
                         int high, int ms);
/* Calls the test interface of a simulated service and returns the response as
 * a new reference, never NULL.  Ends the test program on failure. */
json_t *fault_control(const AqProcess *process, const char *method,
                      const char *path, const char *json);
/* Returns the number of store calls of a kind that the simulated platform has
 * counted so far. */
int fault_count_calls(Site *site, const char *kind);
bool fault_wait_calls(Site *site, const char *kind, int above, int ms);

/* Sets "state" to the state in which a daemon reports the VM; empty when the
 * daemon does not respond or does not list the VM. */
void fault_vm_state(Site *site, int daemon, int vm, char state[24]);
/* Returns the number of VMs that serve according to a daemon; -1 when the
 * daemon does not respond. */
int fault_serving(Site *site, int daemon);

/* Running aq-caller process that sends requests to some of the daemons. */
typedef struct {
    AqProcess *process;
    char output[96];
    char log[96];
    json_t *summary; /* aq-caller's results; NULL before fault_load_finish() */
} FaultLoad;

typedef struct {
    const char *name; /* part of the request ids and file names of aq-caller */
    unsigned daemon_mask; /* bit i is set: daemon i receives requests */
    const char *path;
    int rate_per_s; /* requests that aq-caller sends per second */
    int duration_s;
    int timeout_ms;
    /* Share of non-idempotent requests, in percent. */
    int non_idempotent_percent;
} FaultLoadOptions;

void fault_load_start(Site *site, const FaultLoadOptions *options,
                      FaultLoad *load);
/* Returns one counter, named by its JSON field, of the requests that the
 * running aq-caller process has sent so far. */
int fault_load_current(const FaultLoad *load, const char *field);
/* Waits until the aq-caller process of "load" has ended and reads its
 * results. */
void fault_load_finish(FaultLoad *load);
int fault_load_count(const FaultLoad *load, const char *field);
void fault_load_clear(FaultLoad *load);
/* Fails the test unless aq-caller has sent requests and all of them completed
 * with the right response. */
void fault_load_check_completed(const FaultLoad *load);
/* Fails the test when a non-idempotent request ran more than once. */
void fault_check_at_most_once(Site *site);

#endif
