#ifndef BENCH_SITE_H
#define BENCH_SITE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_test_http.h"
#include "aq_test_process.h"

/* A site is the set of processes of one measurement, on loopback: the
 * simulated platform, endpoint processes and daemons.  The fleet may have any
 * size; its VMs share the ports of a few endpoint processes. */

enum {
    BENCH_MAX_DAEMONS = 27,
    BENCH_MAX_ENDPOINTS = 8,     /* most endpoint processes of a site */
    BENCH_PORTS_PER_ENDPOINT = 4 /* listening ports of each endpoint process */
};

typedef struct {
    int daemons;
    int vms;
    int pools;
    int slots;      /* requests that may run on one VM at once */
    int endpoints;  /* endpoint processes */
    int service_ms; /* time in ms for which an endpoint runs a request */
    int jobs;       /* jobs that run during the measurement; 0: none */
} BenchPlan;

typedef struct {
    BenchPlan plan;
    AqProcess *platform;
    AqProcess *endpoints[BENCH_MAX_ENDPOINTS];
    AqProcess *daemons[BENCH_MAX_DAEMONS];
    char directory[32];
    /* Number of operators' intents that the program has sent to this site;
     * makes operation ids unique. */
    int op_count;
} BenchSite;

/* Directory with the built packages, "build/packages" by default; main() may
 * set another string, which is not copied. */
extern const char *bench_bin;

/* Starts the processes of a site with the numbers of daemons, VMs and pools in
 * "plan" and returns when every daemon is ready and a member.  Ends the
 * program on an error. */
void bench_start(BenchSite *site, const BenchPlan *plan);
void bench_stop(BenchSite *site);
void bench_fail(const char *what, const char *why);
void bench_sleep(int ms);

/* Writes the URL of "path" at a listener ("callers" or "operators") of a
 * daemon to "out", a buffer of "room" bytes. */
void bench_url(const BenchSite *site, int daemon, const char *listener,
               const char *path, char *out, size_t room);
/* Returns the status page of a daemon as a new reference.  Ends the program on
 * an error. */
json_t *bench_status(const BenchSite *site, int daemon);
/* Sends an operator's intent (requested change) to daemon 0 and returns the
 * HTTP status of the response. */
long bench_intent(BenchSite *site, const char *kind, const char *args);
/* Sends GET or POST to the control port of a simulated service and returns the
 * response as a new reference.  Ends the program on an error. */
json_t *bench_control(const AqProcess *process, const char *method,
                      const char *path, const char *json);

#define BENCH_TOKEN "operator-token-of-benchmarks"

#endif
