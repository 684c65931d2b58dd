#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Faults of endpoints: what the caller is told must agree with the runs that
 * the endpoints counted. */

enum {
    CASE_TIMEOUT_MS = 3000,
    /* Longest time from a deadline to the answer, also on a busy machine. */
    LATE_MS = 2000,
    ATTEMPTS = 3 /* most attempts of a request; section 5.3 */
};

#define NO_FAULTS                                                             \
    "{\"close\":\"none\",\"fail_all\":false,\"crossed\":0,"                   \
    "\"slow_permille\":1000}"

typedef struct {
    const char *name;
    const char *faults; /* of all endpoints */
    int timeout_ms;
    bool idempotent;
    long status;
    const char *outcome;
    int low; /* runs at the endpoints */
    int high;
} Case;

static const Case cases[] = {
    {"before reading", "{\"close\":\"before-reading\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 0, 0},
    {"before reading, idempotent", "{\"close\":\"before-reading\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 0, 0},
    {"in the body", "{\"close\":\"in-body\"}", CASE_TIMEOUT_MS, false, 502,
     "unknown", 0, 0},
    {"in the body, idempotent", "{\"close\":\"in-body\"}", CASE_TIMEOUT_MS,
     true, 502, "unknown", 0, 0},
    {"before the answer", "{\"close\":\"before-answer\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 1, 1},
    {"before the answer, idempotent", "{\"close\":\"before-answer\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 1, ATTEMPTS},
    {"inside the answer", "{\"close\":\"inside-answer\"}", CASE_TIMEOUT_MS,
     false, 502, "unknown", 1, 1},
    {"inside the answer, idempotent", "{\"close\":\"inside-answer\"}",
     CASE_TIMEOUT_MS, true, 502, "unknown", 1, ATTEMPTS},
    {"crossed", "{\"crossed\":1000}", CASE_TIMEOUT_MS, false, 502, "unknown",
     1, 1},
    {"crossed, idempotent", "{\"crossed\":1000}", CASE_TIMEOUT_MS, true, 502,
     "unknown", 1, ATTEMPTS},
    {"failing", "{\"fail_all\":true}", CASE_TIMEOUT_MS, false, 500,
     "completed", 1, 1},
    {"failing, idempotent", "{\"fail_all\":true}", CASE_TIMEOUT_MS, true, 500,
     "completed", 1, ATTEMPTS},
    /* 5 ms of service become 5 s. */
    {"slow", "{\"slow_permille\":1000000}", 500, false, 504, "unknown", 1, 1},
    {"slow, idempotent", "{\"slow_permille\":1000000}", 500, true, 504,
     "unknown", 1, ATTEMPTS},
};

static void
run_case(Site *site, const Case *c, int i)
{
    SiteRequest request;
    SiteAnswer answer;
    char id[32];
    char seen[96];
    int daemon = i % SITE_DAEMONS;
    snprintf(id, sizeof(id), "%s-%d", c->idempotent ? "i" : "n", i);
    site_endpoint_faults(site, c->faults);
    AqTime began = AqClock_ReadMonotonic();
    site_send_as(site, daemon, "/work", id, c->idempotent, c->timeout_ms,
                 &request);
    site_finish(&request, &answer);
    AqTime took = AqClock_ReadMonotonic() - began;
    site_endpoint_faults(site, NO_FAULTS);
    fault_expect(&answer, c->status, c->outcome, c->name);
    int runs = site_runs(site, id);
    snprintf(seen, sizeof(seen), "%d runs, %lld ms", runs, (long long)took);
    fault_check(runs >= c->low && runs <= c->high, c->name, seen);
    fault_check(took <= c->timeout_ms + LATE_MS, c->name, seen);
    if (!c->idempotent) {
        site_call(site, (daemon + 1) % SITE_DAEMONS, "/work", id, &answer);
        fault_expect(&answer, 409, "unknown", c->name);
        fault_check(site_runs(site, id) == runs, "the repeat does not run",
                    c->name);
    }
}

/* Guards against a false outcome and a second run after each way in which an
 * endpoint may fail. */
static void
test_outcomes(void)
{
    Site site;
    SiteAnswer answer;
    site_start(&site);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        run_case(&site, &cases[i], (int)i);
    }
    site_call(&site, 0, "/list", NULL, &answer);
    fault_expect(&answer, 200, "completed", "after the faults");
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
    filler->started = AqTestHttpClient_Start(filler->client, &call, &error);
}

/* Guards against a "not run" that did run, and a claim that stays after every
 * endpoint refused by Aq-Not-Run. */
static void
test_not_run(void)
{
    Site site;
    SiteRequest fillers[FILLERS];
    SiteAnswer answer;
    site_start(&site);
    for (int i = 0; i < FILLERS; i++) {
        fill_endpoint(&site, i / SLOTS, i, &fillers[i]);
    }
    CU_ASSERT_TRUE(site_wait_running(&site, FILLERS, FAULT_WAIT_MS));
    for (int i = 0; i < 2; i++) {
        SiteRequest request;
        const char *id = i == 0 ? "n-refused" : "i-refused";
        site_send_as(&site, i, "/work", id, i == 1, CASE_TIMEOUT_MS, &request);
        site_finish(&request, &answer);
        fault_expect(&answer, 503, "not-run", id);
        CU_ASSERT_EQUAL(site_runs(&site, id), 0);
    }
    for (int i = 0; i < FILLERS; i++) {
        site_finish(&fillers[i], &answer);
        CU_ASSERT_EQUAL(answer.status, 200);
    }
    /* 409 until the release of the claim is written. */
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        site_call(&site, 2, "/work", "n-refused", &answer);
    } while (answer.status != 200 && AqClock_ReadMonotonic() < until);
    fault_expect(&answer, 200, "completed", "after the refusal");
    CU_ASSERT_EQUAL(site_runs(&site, "n-refused"), 1);
    site_stop(&site);
}

/* Guards against an answer whose status contradicts its outcome, after an
 * attempt that ran and failed and others that every endpoint refused. */
static void
test_failed_then_refused(void)
{
    enum {
        CALLS = 12
    };
    Site site;
    SiteRequest fillers[FILLERS];
    SiteAnswer answer;
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
        site_send_as(&site, i % SITE_DAEMONS, "/work", id, true,
                     CASE_TIMEOUT_MS, &request);
        site_finish(&request, &answer);
        int runs = site_runs(&site, id);
        snprintf(seen, sizeof(seen), "%ld %s, %d runs", answer.status,
                 answer.outcome, runs);
        bool ran = runs > 0;
        fault_check((ran && answer.status == 500 &&
                     strcmp(answer.outcome, "completed") == 0) ||
                        (ran && answer.status == 502 &&
                         strcmp(answer.outcome, "unknown") == 0) ||
                        (!ran && answer.status == 503 &&
                         strcmp(answer.outcome, "not-run") == 0),
                    id, seen);
    }
    for (int i = SLOTS; i < FILLERS; i++) {
        site_finish(&fillers[i], &answer);
    }
    site_stop(&site);
}

/* Guards against an endpoint that fails everything quickly and so draws the
 * load. */
static void
test_fail_fast(void)
{
    Site site;
    FaultLoad load;
    char seen[64];
    site_start(&site);
    site_endpoint_faults(&site, "{\"endpoint\":0,\"fail_all\":true}");
    const FaultLoadOptions options = {.name = "failfast",
                                      .daemons = 7,
                                      .path = "/work",
                                      .rate = 100,
                                      .seconds = 4,
                                      .timeout_ms = 5000};
    fault_load_start(&site, &options, &load);
    fault_load_finish(&load);
    fault_load_all_completed(&load);
    const json_t *statuses = json_object_get(load.summary, "statuses");
    int failed = (int)json_integer_value(json_object_get(statuses, "500"));
    int runs = fault_endpoint_field(&site, 0, "runs");
    snprintf(seen, sizeof(seen), "%d runs, %d answers of status 500", runs,
             failed);
    /* 5 failures eject it at each of the three daemons. */
    fault_check(runs <= 40 && failed <= 4, "a failing endpoint", seen);
    fault_load_clear(&load);
    site_stop(&site);
}

enum {
    SILENT_ROUNDS = 4,
    SILENT_CALLS = 24,
    AT_ONCE = 16,
    CLOSE_MS = 5000
};

static int
silent_attempts(Site *site)
{
    SiteAnswer answer;
    site_get(site, 0, "operators", "/admin/v1/status", &answer);
    json_t *status = json_loads(answer.body, 0, NULL);
    int n = (int)json_integer_value(
        json_object_get(json_object_get(status, "requests"), "silent"));
    json_decref(status);
    return n;
}

/* One request after another: after the first silent one all idle connections
 * to its endpoint are given up, so at most one request per endpoint is hurt.
 */
static void
call_many(Site *site, int round)
{
    char id[32];
    char seen[64];
    SiteAnswer answer;
    int before = silent_attempts(site);
    for (int i = 0; i < SILENT_CALLS; i++) {
        site_call(site, 0, "/list", NULL, &answer);
        fault_expect(&answer, 200, "completed", "on silent connections");
    }
    int silent = silent_attempts(site) - before;
    snprintf(seen, sizeof(seen), "%d silent attempts", silent);
    fault_check(silent <= SITE_ENDPOINTS, "hurt requests", seen);
    fault_check(round == 0 || silent > 0, "the fault took effect", seen);
    snprintf(id, sizeof(id), "n-silent-%d", round);
    site_call(site, 0, "/pay", id, &answer);
    fault_expect(&answer, 200, "completed", "on a fresh connection");
    CU_ASSERT_EQUAL(site_runs(site, id), 1);
}

/* Opens several connections of daemon 0 to each endpoint. */
static void
call_at_once(Site *site)
{
    SiteRequest requests[AT_ONCE];
    SiteAnswer answer;
    for (int i = 0; i < AT_ONCE; i++) {
        site_send(site, 0, "/list?service_ms=150", NULL, FAULT_WAIT_MS,
                  &requests[i]);
    }
    for (int i = 0; i < AT_ONCE; i++) {
        site_finish(&requests[i], &answer);
        fault_expect(&answer, 200, "completed", "many at once");
    }
}

/* Guards against requests that keep using silent connections, and against
 * silent connections that stay open and use up the endpoint's 64. */
static void
test_silent_connections(void)
{
    Site site;
    char seen[64];
    site_start(&site);
    call_many(&site, 0);
    call_at_once(&site);
    for (int i = 1; i <= SILENT_ROUNDS; i++) {
        site_endpoint_faults(&site, "{\"silence_open\":true}");
        call_many(&site, i);
    }
    /* One idle connection to each endpoint; those of the earlier rounds are
     * closed at once and not only at libcurl's limit of age.  Health checks
     * come and go. */
    bool closed = fault_wait_endpoint(&site, -1, "connections", 0,
                                      SITE_ENDPOINTS, CLOSE_MS);
    snprintf(seen, sizeof(seen), "%d connections",
             fault_endpoint_sum(&site, "connections"));
    fault_check(closed, "silent connections are closed", seen);
    site_stop(&site);
}

/* Guards against a false outcome when the endpoints' process is killed with
 * requests in flight, and afterwards. */
static void
test_killed(void)
{
    Site site;
    SiteRequest requests[2];
    SiteAnswer answer;
    AqError error;
    site_start(&site);
    site_send_as(&site, 0, "/work?service_ms=20000", "n-killed", false, 30000,
                 &requests[0]);
    CU_ASSERT_TRUE(site_wait_running(&site, 1, FAULT_WAIT_MS));
    site_send_as(&site, 1, "/work?service_ms=20000", "i-killed", true, 30000,
                 &requests[1]);
    CU_ASSERT_TRUE(site_wait_running(&site, 2, FAULT_WAIT_MS));
    CU_ASSERT_TRUE(AqProcess_Signal(site.endpoints, SIGKILL, &error));
    site_finish(&requests[0], &answer);
    fault_expect(&answer, 502, "unknown", "in flight");
    site_finish(&requests[1], &answer);
    /* It may have run once, whatever the later attempts met. */
    CU_ASSERT_STRING_EQUAL(answer.outcome, "unknown");
    site_call(&site, 2, "/work", "n-killed", &answer);
    fault_expect(&answer, 409, "unknown", "the repeat");
    site_call(&site, 0, "/work", "n-after", &answer);
    fault_expect(&answer, 503, "not-run", "nothing listens");
    site_call(&site, 1, "/list", NULL, &answer);
    fault_expect(&answer, 503, "not-run", "nothing listens, idempotent");
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
