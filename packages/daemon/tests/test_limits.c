#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fault_site.h"

/* Tests of the limits on concurrent requests and connections at one endpoint.
 * They guard against daemons that together exceed a limit; the endpoints
 * themselves would accept more. */

enum {
    MAX_SLOTS = 8,
    MAX_CONNECTIONS = 64
};

static void
check_limits(Site *site, const char *when)
{
    char seen[96];
    int slots = fault_endpoint_max(site, "max_slots");
    int connections = fault_endpoint_max(site, "max_connections");
    snprintf(seen, sizeof(seen), "%s: %d requests, %d connections", when,
             slots, connections);
    fault_check(slots <= MAX_SLOTS, "the limit of concurrent requests is kept",
                seen);
    fault_check(connections <= MAX_CONNECTIONS,
                "the limit of concurrent connections is kept", seen);
}

static void
check_load(FaultLoad *load, bool is_killed)
{
    fault_load_finish(load);
    CU_ASSERT_EQUAL(fault_load_count(load, "wrong"), 0);
    if (!is_killed) {
        CU_ASSERT_EQUAL(fault_load_count(load, "cut"), 0);
        CU_ASSERT_EQUAL(fault_load_count(load, "closed"), 0);
        CU_ASSERT_EQUAL(fault_load_count(load, "unknown"), 0);
    }
    CU_ASSERT_TRUE(fault_load_count(load, "completed") > 0);
    fault_load_clear(load);
}

/* More requests a second than 4 endpoints with 8 slots each serve at 600 ms
 * per request.  The long service time and timeout avoid abandoned attempts: an
 * endpoint continues with the work of such an attempt, which the daemon cannot
 * see. */
static const FaultLoadOptions overload = {.name = "l1",
                                          .daemon_mask = 7,
                                          .path = "/work?service_ms=600",
                                          .rate_per_s = 90,
                                          .duration_s = 10,
                                          .timeout_ms = 60000,
                                          .non_idempotent_percent = 50};

/* Guards against more concurrent requests or connections at an endpoint than
 * its pool allows, while a daemon is killed or stops gracefully and is started
 * again. */
static void
run_signal(int signal_number)
{
    Site site;
    FaultLoad loads[2];
    AqError error;
    int status = -1;
    memset(&site, 0, sizeof(site));
    site.endpoint_slots = "1000";
    site_start_prepared(&site);
    fault_load_start(&site, &overload, &loads[0]);
    CU_ASSERT_TRUE(fault_wait_endpoint(&site, -1, "slots_in_use",
                                       SITE_ENDPOINTS * MAX_SLOTS / 2, 1000,
                                       FAULT_WAIT_MS));
    CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[2], signal_number, &error));
    CU_ASSERT_TRUE(AqProcess_WaitExit(site.daemons[2], 4 * FAULT_WAIT_MS,
                                      &status, &error));
    check_limits(&site, "after the end of one daemon");
    site_start_daemon(&site, 2, 0);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 2, "callers", "/readyz", 200, FAULT_WAIT_MS));
    FaultLoadOptions second_load = overload;
    second_load.name = "l2";
    second_load.duration_s = 6;
    fault_load_start(&site, &second_load, &loads[1]);
    check_load(&loads[0], signal_number == SIGKILL);
    check_load(&loads[1], false);
    check_limits(&site, "at the end");
    fault_check_at_most_once(&site);
    site_stop(&site);
}

static void
test_kill(void)
{
    run_signal(SIGKILL);
}

static void
test_stop(void)
{
    run_signal(SIGTERM);
}

const FaultTest limit_tests[] = {
    {"limits_kill", test_kill},
    {"limits_stop", test_stop},
    {NULL, NULL},
};
