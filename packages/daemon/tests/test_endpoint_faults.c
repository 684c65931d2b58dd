#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Tests with faults of endpoints.  They guard against an outcome, received by
 * the caller, that contradicts the number of runs that the endpoints counted
 * for the request. */

enum {
    CASE_TIMEOUT_MS = 3000,
    /* Longest time in ms from a request's deadline until the test has the
     * response, also on a busy machine. */
    DEADLINE_SLACK_MS = 2000,
    MAX_ATTEMPTS = 3 /* most attempts per request; design page, section 5.3 */
};

#define NO_FAULTS                                                             \
    "{\"close\":\"none\",\"fail_all\":false,\"crossed\":0,"                   \
    "\"slow_permille\":1000}"

typedef struct {
    const char *name;
    const char *faults; /* JSON of the faults set at all endpoints */
    int timeout_ms;
    bool idempotent;
    long status;
    const char *outcome;
    int min_runs; /* fewest runs of the request allowed, over all endpoints */
    int max_runs;
} Case;

/* Columns: name in failure messages, faults, timeout of the request in ms,
 * whether the request is idempotent; then what the caller must receive (HTTP
 * status and header Aq-Outcome) and the fewest and the most runs allowed. */
static const Case cases[] = {
    {"before reading", "{\"close\":\"before-reading\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 0, 0},
    {"before reading, idempotent", "{\"close\":\"before-reading\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 0, 0},
    {"in the body", "{\"close\":\"in-body\"}", CASE_TIMEOUT_MS, false, 502,
     "unknown", 0, 0},
    {"in the body, idempotent", "{\"close\":\"in-body\"}", CASE_TIMEOUT_MS,
     true, 502, "unknown", 0, 0},
    {"before the response", "{\"close\":\"before-answer\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 1, 1},
    {"before the response, idempotent", "{\"close\":\"before-answer\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 1, MAX_ATTEMPTS},
    {"inside the response", "{\"close\":\"inside-answer\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 1, 1},
    {"inside the response, idempotent", "{\"close\":\"inside-answer\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 1, MAX_ATTEMPTS},
    {"crossed", "{\"crossed\":1000}", CASE_TIMEOUT_MS, false, 502, "unknown",
     1, 1},
    {"crossed, idempotent", "{\"crossed\":1000}", CASE_TIMEOUT_MS, true, 502,
     "unknown", 1, MAX_ATTEMPTS},
    {"failing", "{\"fail_all\":true}", CASE_TIMEOUT_MS, false, 500,
     "completed", 1, 1},
    {"failing, idempotent", "{\"fail_all\":true}", CASE_TIMEOUT_MS, true, 500,
     "completed", 1, MAX_ATTEMPTS},
    /* The fault multiplies the service time of 5 ms by 1000; the resulting 5 s
     * are longer than the request's timeout of 500 ms. */
    {"slow", "{\"slow_permille\":1000000}", 500, false, 504, "unknown", 1, 1},
    {"slow, idempotent", "{\"slow_permille\":1000000}", 500, true, 504,
     "unknown", 1, MAX_ATTEMPTS},
};

static void
run_case(Site *site, const Case *c, int i)
{
    SiteRequest request;
    SiteResponse response;
    char id[32];
    char seen[96];
    int daemon = i % SITE_DAEMONS;
    snprintf(id, sizeof(id), "%s-%d", c->idempotent ? "i" : "n", i);
    site_endpoint_faults(site, c->faults);
    AqTime began = AqClock_ReadMonotonic();
    site_send_post(site, daemon, "/work", id, c->idempotent, c->timeout_ms,
                   &request);
    site_finish(&request, &response);
    AqTime elapsed = AqClock_ReadMonotonic() - began;
    site_endpoint_faults(site, NO_FAULTS);
    fault_expect(&response, c->status, c->outcome, c->name);
    int runs = site_runs(site, id);
    snprintf(seen, sizeof(seen), "%d runs, %lld ms", runs, (long long)elapsed);
    fault_check(runs >= c->min_runs && runs <= c->max_runs, c->name, seen);
    fault_check(elapsed <= c->timeout_ms + DEADLINE_SLACK_MS, c->name, seen);
    if (!c->idempotent) {
        site_call(site, (daemon + 1) % SITE_DAEMONS, "/work", id, &response);
        fault_expect(&response, 409, "unknown", c->name);
        fault_check(site_runs(site, id) == runs, "the repeat does not run",
                    c->name);
    }
}

/* Guards against a wrong outcome, and against a second run of a non-idempotent
 * request, after each kind of endpoint fault. */
static void
test_outcomes(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        run_case(&site, &cases[i], (int)i);
    }
    site_call(&site, 0, "/list", NULL, &response);
    fault_expect(&response, 200, "completed", "after the faults");
    site_stop(&site);
}

enum {
    SLOTS = 8,
    FILLERS = SITE_ENDPOINTS * SLOTS
};

static void
fill_endpoint(Site *site, int endpoint, int i, SiteRequest *filler)
{
    char name[24];
    AqError error;
    memset(filler, 0, sizeof(*filler));
    snprintf(name, sizeof(name), "endpoint%d", endpoint);
    snprintf(filler->url, sizeof(filler->url),
             "http://%s/fill?service_ms=4000",
             AqProcess_Address(site->endpoints, name));
    snprintf(filler->id, sizeof(filler->id), "Aq-Request-Id: i-fill-%d", i);
    filler->headers[0] = filler->id;
    AqTestHttpCall call = {.method = "GET",
                           .url = filler->url,
                           .headers = filler->headers,
                           .timeout_ms = FAULT_WAIT_MS};
    filler->client = AqTestHttpClient_Create();
    filler->is_started = AqTestHttpClient_Start(filler->client, &call, &error);
}

/* Guards against a request that is reported as not run but did run, and
 * against a claim that remains after every endpoint has refused the claimed
 * request with the header Aq-Not-Run. */
static void
test_not_run(void)
{
    Site site;
    SiteRequest fillers[FILLERS];
    SiteResponse response;
    site_start(&site);
    for (int i = 0; i < FILLERS; i++) {
        fill_endpoint(&site, i / SLOTS, i, &fillers[i]);
    }
    CU_ASSERT_TRUE(site_wait_running(&site, FILLERS, FAULT_WAIT_MS));
    for (int i = 0; i < 2; i++) {
        SiteRequest request;
        const char *id = i == 0 ? "n-refused" : "i-refused";
        site_send_post(&site, i, "/work", id, i == 1, CASE_TIMEOUT_MS,
                       &request);
        site_finish(&request, &response);
        fault_expect(&response, 503, "not-run", id);
        CU_ASSERT_EQUAL(site_runs(&site, id), 0);
    }
    for (int i = 0; i < FILLERS; i++) {
        site_finish(&fillers[i], &response);
        CU_ASSERT_EQUAL(response.status, 200);
    }
    /* The daemon responds with status 409 until the release of the request's
     * claim is stored. */
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        site_call(&site, 2, "/work", "n-refused", &response);
    } while (response.status != 200 && AqClock_ReadMonotonic() < until);
    fault_expect(&response, 200, "completed", "after the refusal");
    CU_ASSERT_EQUAL(site_runs(&site, "n-refused"), 1);
    site_stop(&site);
}

/* Guards against a response whose status contradicts its outcome, when one
 * attempt ran and failed and the endpoints refused all other attempts. */
static void
test_failed_then_refused(void)
{
    enum {
        CALLS = 12
    };
    Site site;
    SiteRequest fillers[FILLERS];
    SiteResponse response;
    char seen[64];
    site_start(&site);
    site_endpoint_faults(&site, "{\"endpoint\":0,\"fail_all\":true}");
    for (int i = SLOTS; i < FILLERS; i++) {
        fill_endpoint(&site, i / SLOTS, i, &fillers[i]);
    }
    CU_ASSERT_TRUE(site_wait_running(&site, FILLERS - SLOTS, FAULT_WAIT_MS));
    for (int i = 0; i < CALLS; i++) {
        SiteRequest request;
        char id[16];
        snprintf(id, sizeof(id), "i-mixed-%d", i);
        site_send_post(&site, i % SITE_DAEMONS, "/work", id, true,
                       CASE_TIMEOUT_MS, &request);
        site_finish(&request, &response);
        int runs = site_runs(&site, id);
        snprintf(seen, sizeof(seen), "%ld %s, %d runs", response.status,
                 response.outcome, runs);
        bool has_run = runs > 0;
        fault_check((has_run && response.status == 500 &&
                     strcmp(response.outcome, "completed") == 0) ||
                        (has_run && response.status == 502 &&
                         strcmp(response.outcome, "unknown") == 0) ||
                        (!has_run && response.status == 503 &&
                         strcmp(response.outcome, "not-run") == 0),
                    id, seen);
    }
    for (int i = SLOTS; i < FILLERS; i++) {
        site_finish(&fillers[i], &response);
    }
    site_stop(&site);
}

/* Guards against an endpoint that fails all requests quickly and, because it
 * therefore has idle slots, gets most of the requests. */
static void
test_fail_fast(void)
{
    Site site;
    FaultLoad load;
    char seen[64];
    site_start(&site);
    site_endpoint_faults(&site, "{\"endpoint\":0,\"fail_all\":true}");
    const FaultLoadOptions options = {.name = "failfast",
                                      .daemon_mask = 7,
                                      .path = "/work",
                                      .rate_per_s = 100,
                                      .duration_s = 4,
                                      .timeout_ms = 5000};
    fault_load_start(&site, &options, &load);
    fault_load_finish(&load);
    fault_load_check_completed(&load);
    const json_t *statuses = json_object_get(load.summary, "statuses");
    int failed = (int)json_integer_value(json_object_get(statuses, "500"));
    int runs = fault_endpoint_field(&site, 0, "runs");
    snprintf(seen, sizeof(seen), "%d runs, %d responses of status 500", runs,
             failed);
    /* Each of the three daemons ejects the endpoint (sends it no more
     * requests) after 5 failed requests. */
    fault_check(runs <= 40 && failed <= 4, "a failing endpoint is ejected",
                seen);
    fault_load_clear(&load);
    site_stop(&site);
}

enum {
    SILENT_ROUNDS = 4,
    SILENT_CALLS = 24,
    PARALLEL_CALLS = 16,
    CLOSE_TIMEOUT_MS = 5000
};

static int
read_silent_attempts(Site *site)
{
    SiteResponse response;
    site_get(site, 0, "operators", "/admin/v1/status", &response);
    json_t *status = json_loads(response.body, 0, NULL);
    int n = (int)json_integer_value(
        json_object_get(json_object_get(status, "requests"), "silent"));
    json_decref(status);
    return n;
}

/* Sends requests one after another.  In each round after round 0 the
 * connections that are open at its start are silent: they stay open but carry
 * no more bytes.  After the first attempt on a silent connection the daemon
 * drops all idle connections to that endpoint, so at most one request per
 * endpoint is affected. */
static void
check_silent_round(Site *site, int round)
{
    char id[32];
    char seen[64];
    SiteResponse response;
    int before = read_silent_attempts(site);
    for (int i = 0; i < SILENT_CALLS; i++) {
        site_call(site, 0, "/list", NULL, &response);
        fault_expect(&response, 200, "completed",
                     "request on a silent connection");
    }
    int silent = read_silent_attempts(site) - before;
    snprintf(seen, sizeof(seen), "%d silent attempts", silent);
    fault_check(silent <= SITE_ENDPOINTS,
                "at most one request per endpoint is affected", seen);
    fault_check(round == 0 || silent > 0, "the fault took effect", seen);
    snprintf(id, sizeof(id), "n-silent-%d", round);
    site_call(site, 0, "/pay", id, &response);
    fault_expect(&response, 200, "completed", "request on a new connection");
    CU_ASSERT_EQUAL(site_runs(site, id), 1);
}

/* Sends requests in parallel, so that daemon 0 opens several connections to
 * each endpoint. */
static void
call_in_parallel(Site *site)
{
    SiteRequest requests[PARALLEL_CALLS];
    SiteResponse response;
    for (int i = 0; i < PARALLEL_CALLS; i++) {
        site_send(site, 0, "/list?service_ms=150", NULL, FAULT_WAIT_MS,
                  &requests[i]);
    }
    for (int i = 0; i < PARALLEL_CALLS; i++) {
        site_finish(&requests[i], &response);
        fault_expect(&response, 200, "completed", "parallel requests");
    }
}

/* Guards against requests that continue to use silent connections, which carry
 * no more bytes, and against silent connections that stay open and use up an
 * endpoint's limit of 64 connections. */
static void
test_silent_connections(void)
{
    Site site;
    char seen[64];
    site_start(&site);
    check_silent_round(&site, 0);
    call_in_parallel(&site);
    for (int i = 1; i <= SILENT_ROUNDS; i++) {
        site_endpoint_faults(&site, "{\"silence_open\":true}");
        check_silent_round(&site, i);
    }
    /* At most one idle connection to each endpoint remains.  The silent
     * connections of earlier rounds are closed at once and not only at
     * libcurl's maximum connection age.  Health checks open short connections
     * of their own. */
    bool closed = fault_wait_endpoint(&site, -1, "connections", 0,
                                      SITE_ENDPOINTS, CLOSE_TIMEOUT_MS);
    snprintf(seen, sizeof(seen), "%d connections",
             fault_endpoint_sum(&site, "connections"));
    fault_check(closed, "silent connections are closed", seen);
    site_stop(&site);
}

/* Guards against a wrong outcome of requests that are in flight when the
 * process that runs all endpoints is killed, and of requests sent
 * afterwards. */
static void
test_killed(void)
{
    Site site;
    SiteRequest requests[2];
    SiteResponse response;
    AqError error;
    site_start(&site);
    site_send_post(&site, 0, "/work?service_ms=20000", "n-killed", false,
                   30000, &requests[0]);
    CU_ASSERT_TRUE(site_wait_running(&site, 1, FAULT_WAIT_MS));
    site_send_post(&site, 1, "/work?service_ms=20000", "i-killed", true, 30000,
                   &requests[1]);
    CU_ASSERT_TRUE(site_wait_running(&site, 2, FAULT_WAIT_MS));
    CU_ASSERT_TRUE(AqProcess_Signal(site.endpoints, SIGKILL, &error));
    site_finish(&requests[0], &response);
    fault_expect(&response, 502, "unknown", "request in flight");
    site_finish(&requests[1], &response);
    /* The idempotent request may have run once, whatever the result of its
     * later attempts. */
    CU_ASSERT_STRING_EQUAL(response.outcome, "unknown");
    site_call(&site, 2, "/work", "n-killed", &response);
    fault_expect(&response, 409, "unknown", "repeat of the request in flight");
    site_call(&site, 0, "/work", "n-after", &response);
    fault_expect(&response, 503, "not-run", "nothing listens");
    site_call(&site, 1, "/list", NULL, &response);
    fault_expect(&response, 503, "not-run", "nothing listens, idempotent");
    site_stop(&site);
}

const FaultTest endpoint_tests[] = {
    {"endpoint_outcomes", test_outcomes},
    {"endpoint_not_run", test_not_run},
    {"endpoint_failed_then_refused", test_failed_then_refused},
    {"endpoint_fail_fast", test_fail_fast},
    {"endpoint_silent", test_silent_connections},
    {"endpoint_killed", test_killed},
    {NULL, NULL},
};
