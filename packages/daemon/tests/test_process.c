#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "aq_clock.h"
#include "site.h"

enum {
    WAIT_MS = 15000
};

static void
expect(const SiteResponse *response, long status, const char *outcome)
{
    if (response->status != status ||
        strcmp(response->outcome, outcome) != 0) {
        printf("expected %ld %s, got %ld %s: %s\n", status, outcome,
               response->status, response->outcome, response->body);
    }
    CU_ASSERT_EQUAL(response->status, status);
    CU_ASSERT_STRING_EQUAL(response->outcome, outcome);
}

static void
signal_daemon(Site *site, int daemon, int number)
{
    AqError error;
    CU_ASSERT_TRUE(AqProcess_Signal(site->daemons[daemon], number, &error));
}

/* Guards against a second run when requests with the same id reach two daemons
 * at once, and against a run of a later repeat. */
static void
test_same_id_at_two_daemons(void)
{
    Site site;
    site_start(&site);
    for (int i = 0; i < 20; i++) {
        char id[16];
        SiteRequest requests[2];
        SiteResponse responses[2];
        snprintf(id, sizeof(id), "pay-%d", i);
        site_send(&site, 0, "/pay", id, 5000, &requests[0]);
        site_send(&site, 1, "/pay", id, 5000, &requests[1]);
        site_finish(&requests[0], &responses[0]);
        site_finish(&requests[1], &responses[1]);
        CU_ASSERT_EQUAL(
            (responses[0].status == 200) + (responses[1].status == 200), 1);
        expect(&responses[responses[0].status == 200], 409, "unknown");
        CU_ASSERT_EQUAL(site_runs(&site, id), 1);
        site_call(&site, 2, "/pay", id, &responses[0]);
        expect(&responses[0], 409, "unknown");
        CU_ASSERT_EQUAL(site_runs(&site, id), 1);
    }
    site_stop(&site);
}

/* Guards against a second run of a request whose daemon was killed, and
 * against slots of the killed daemon that the other daemons can never use. */
static void
test_kill(void)
{
    Site site;
    SiteRequest request;
    SiteResponse response;
    site_start(&site);
    site_send(&site, 0, "/pay?service_ms=3000", "kill-1", 10000, &request);
    CU_ASSERT_TRUE(site_wait_running(&site, 1, WAIT_MS));
    signal_daemon(&site, 0, SIGKILL);
    site_finish(&request, &response);
    CU_ASSERT_EQUAL(response.status, 0);
    site_call(&site, 1, "/pay", "kill-1", &response);
    expect(&response, 409, "unknown");
    site_call(&site, 1, "/list", NULL, &response);
    expect(&response, 200, "completed");
    CU_ASSERT_EQUAL(site_runs(&site, "kill-1"), 1);
    /* The other daemons remove the killed daemon from the epoch (set of
     * members). */
    CU_ASSERT_TRUE(site_wait_text(&site, 1, "/admin/v1/status",
                                  "\"members\":[{\"id\":\"entry1\"", WAIT_MS));
    site_call(&site, 1, "/pay", "kill-2", &response);
    expect(&response, 200, "completed");
    site_stop(&site);
}

/* Guards against a daemon that acts on an outdated fleet document after its
 * process was paused, and against a second run of a request that was in flight
 * at the daemon during the pause. */
static void
test_freeze(void)
{
    Site site;
    SiteRequest request;
    SiteResponse response;
    site_start(&site);
    site_send(&site, 0, "/pay?service_ms=1000", "freeze-1", 20000, &request);
    CU_ASSERT_TRUE(site_wait_running(&site, 1, WAIT_MS));
    signal_daemon(&site, 0, SIGSTOP);
    site_call(&site, 1, "/pay", "freeze-1", &response);
    expect(&response, 409, "unknown");
    /* An operator's change is accepted while daemon 0 is paused, because the
     * other daemons remove daemon 0 from the members. */
    CU_ASSERT_EQUAL(
        site_intent(&site, 1, "vm.drain", "{\"id\":\"vm0\"}", &response), 200);
    CU_ASSERT_TRUE(site_wait_text(&site, 1, "/admin/v1/status",
                                  "\"members\":[{\"id\":\"entry1\"", WAIT_MS));
    signal_daemon(&site, 0, SIGCONT);
    site_finish(&request, &response);
    CU_ASSERT_EQUAL(site_runs(&site, "freeze-1"), 1);
    /* Daemon 0, which was removed from the members while it was paused,
     * becomes a member again with the current fleet document. */
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 200, WAIT_MS));
    site_get(&site, 0, "operators", "/admin/v1/state?kind=vms", &response);
    CU_ASSERT_PTR_NOT_NULL(strstr(response.body, "\"drain"));
    site_stop(&site);
}

/* Guards against a request that is reported as "not-run" but did run, and
 * against a second run, when the store has carried out the write of a
 * request's claim and the store's reply is lost. */
static void
test_lost_reply(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    for (int i = 0; i < 5; i++) {
        char id[16];
        snprintf(id, sizeof(id), "lost-%d", i);
        site_platform_faults(&site, "{\"lose_replies\":1}");
        site_call(&site, i % SITE_DAEMONS, "/pay", id, &response);
        if (response.status == 200) {
            CU_ASSERT_EQUAL(site_runs(&site, id), 1);
        }
        else {
            expect(&response, 503, "not-run");
            CU_ASSERT_EQUAL(site_runs(&site, id), 0);
        }
        site_call(&site, 1, "/pay", id, &response);
        CU_ASSERT_TRUE(site_runs(&site, id) <= 1);
    }
    site_platform_faults(&site, "{\"lose_replies\":1}");
    CU_ASSERT_EQUAL(
        site_intent(&site, 0, "vm.drain", "{\"id\":\"vm1\"}", &response), 200);
    site_stop(&site);
}

/* Returns the number of store reads that a daemon has counted. */
static long long
store_reads(Site *site, int daemon)
{
    SiteResponse response;
    site_get(site, daemon, "operators", "/admin/v1/status", &response);
    const char *at = strstr(response.body, "\"reads\":");
    CU_ASSERT_PTR_NOT_NULL(at);
    return at != NULL ? atoll(at + strlen("\"reads\":")) : 0;
}

/* Guards against store reads without a pause while the store is down: each
 * daemon has a few readers of the store, each of which may read at most once
 * per 100 ms. */
static void
check_reads_while_down(Site *site)
{
    long long before[SITE_DAEMONS];
    AqTime began = AqClock_ReadMonotonic();
    for (int i = 0; i < SITE_DAEMONS; i++) {
        before[i] = store_reads(site, i);
    }
    site_wait_text(site, 0, "/admin/v1/status", "(never)", 1000);
    AqTime passed = AqClock_ReadMonotonic() - began;
    for (int i = 0; i < SITE_DAEMONS; i++) {
        CU_ASSERT_TRUE(store_reads(site, i) - before[i] <= 50 + passed / 20);
    }
}

/* Guards, while the store is down, against non-idempotent requests that run
 * without a claim, idempotent requests that wait for the store, wrong
 * responses to operators, and store reads without a pause. */
static void
test_store_down(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    site_platform_faults(&site, "{\"down\":\"refused\"}");
    site_call(&site, 0, "/list", NULL, &response);
    expect(&response, 200, "completed");
    site_call(&site, 0, "/pay", "down-1", &response);
    expect(&response, 503, "not-run");
    CU_ASSERT_EQUAL(site_runs(&site, "down-1"), 0);
    long status =
        site_intent(&site, 0, "vm.drain", "{\"id\":\"vm0\"}", &response);
    CU_ASSERT_EQUAL(status, 503);
    check_reads_while_down(&site);
    /* Although the store is down, the daemon may serve requests: messages of
     * its peers show that its fleet document is up to date. */
    site_call(&site, 2, "/list", NULL, &response);
    expect(&response, 200, "completed");
    site_platform_faults(&site, "{\"down\":\"none\"}");
    CU_ASSERT_TRUE(site_wait_text(&site, 0, "/admin/v1/status",
                                  "\"fresh\":true", WAIT_MS));
    AqTime until = AqClock_ReadMonotonic() + WAIT_MS;
    do {
        site_call(&site, 0, "/pay", "down-1", &response);
    } while (response.status == 503 && AqClock_ReadMonotonic() < until);
    expect(&response, 200, "completed");
    CU_ASSERT_EQUAL(site_runs(&site, "down-1"), 1);
    site_stop(&site);
}

/* Guards against a stop that cuts off requests, and against a daemon that
 * reports itself as ready while it stops. */
static void
test_graceful_stop(void)
{
    Site site;
    SiteRequest request;
    SiteResponse response;
    AqError error;
    int status = -1;
    site_start(&site);
    site_send(&site, 0, "/pay?service_ms=1500", "stop-1", 10000, &request);
    CU_ASSERT_TRUE(site_wait_running(&site, 1, WAIT_MS));
    signal_daemon(&site, 0, SIGTERM);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 503, WAIT_MS));
    site_finish(&request, &response);
    expect(&response, 200, "completed");
    CU_ASSERT_TRUE(
        AqProcess_WaitExit(site.daemons[0], WAIT_MS, &status, &error));
    CU_ASSERT_EQUAL(status, 0);
    site_get(&site, 1, "operators", "/admin/v1/status", &response);
    CU_ASSERT_PTR_NULL(strstr(response.body, "entry0"));
    site_stop(&site);
}

/* Guards against a response that is passed on although it belongs to another
 * attempt: a payment must end as unknown, and an idempotent request must be
 * attempted again. */
static void
test_crossed_response(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    site_endpoint_faults(&site, "{\"crossed\":1}");
    site_call(&site, 0, "/pay", "crossed-1", &response);
    expect(&response, 502, "unknown");
    CU_ASSERT_EQUAL(site_runs(&site, "crossed-1"), 1);
    /* From here on only endpoint 0 sends responses that belong to another
     * attempt.  The daemon repeats an idempotent request that gets such a
     * response, and its second attempt succeeds at another endpoint. */
    site_endpoint_faults(&site, "{\"crossed\":0}");
    site_endpoint_faults(&site, "{\"endpoint\":0,\"crossed\":1}");
    for (int i = 0; i < 8; i++) {
        site_call(&site, 0, "/list", NULL, &response);
        expect(&response, 200, "completed");
    }
    site_stop(&site);
}

/* Guards against a new daemon that reports that it is ready before it holds
 * slots of endpoints, and then refuses the requests that the load balancer
 * sends to it. */
static void
test_ready_with_slots(void)
{
    Site site;
    SiteRequest requests[12];
    SiteResponse response;
    AqError error;
    int status = -1;
    site_start(&site);
    signal_daemon(&site, 0, SIGTERM);
    CU_ASSERT_TRUE(
        AqProcess_WaitExit(site.daemons[0], WAIT_MS, &status, &error));
    site_start_daemon(&site, 0, 0);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 200, WAIT_MS));
    for (int i = 0; i < 12; i++) {
        site_send(&site, 0, "/list?service_ms=50", NULL, 5000, &requests[i]);
    }
    for (int i = 0; i < 12; i++) {
        site_finish(&requests[i], &response);
        expect(&response, 200, "completed");
    }
    site_stop(&site);
}

/* Guards against a daemon that continues with an outdated fleet document when
 * it is cut off from the store and from the majority of the daemons. */
static void
test_cut_off_daemon_refuses(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    site_platform_faults(&site, "{\"down\":\"refused\"}");
    signal_daemon(&site, 1, SIGSTOP);
    signal_daemon(&site, 2, SIGSTOP);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 503, 4000));
    site_call(&site, 0, "/list", NULL, &response);
    expect(&response, 503, "not-run");
    signal_daemon(&site, 1, SIGCONT);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 200, WAIT_MS));
    signal_daemon(&site, 2, SIGCONT);
    site_stop(&site);
}

/* Guards against a daemon that cannot become a member again when it restarts
 * while the store is down. */
static void
test_restart_without_store(void)
{
    Site site;
    SiteResponse response;
    AqError error;
    int status;
    site_start(&site);
    const char *address = AqProcess_Address(site.daemons[0], "peers");
    int port = atoi(strrchr(address, ':') + 1);
    site_platform_faults(&site, "{\"down\":\"refused\"}");
    signal_daemon(&site, 0, SIGKILL);
    CU_ASSERT_TRUE(
        AqProcess_WaitExit(site.daemons[0], WAIT_MS, &status, &error));
    site_start_daemon(&site, 0, port);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 200, WAIT_MS));
    AqTime until = AqClock_ReadMonotonic() + WAIT_MS;
    do {
        site_call(&site, 0, "/list", NULL, &response);
    } while (response.status != 200 && AqClock_ReadMonotonic() < until);
    expect(&response, 200, "completed");
    site_stop(&site);
}

static int
connect_to(const char *address)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    to.sin_port = htons((uint16_t)atoi(strrchr(address, ':') + 1));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Guards against bytes of unknown clients that crash a daemon, block it or
 * increase its memory without a limit. */
static void
test_bad_bytes(void)
{
    static const struct {
        const char *bytes;
        size_t size;
    } cases[] = {
        {"\xff\xff\xff\xff", 4},     {"\0\0\0\2\1\xc0", 6},
        {"\0\0\0\3\x09\x91\x01", 7}, {"GET / HTTP/1.1\r\n\r\n", 18},
        {"\0\0\0\1\1", 5},
    };
    Site site;
    SiteResponse response;
    site_start(&site);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        char byte;
        int fd = connect_to(AqProcess_Address(site.daemons[0], "peers"));
        ssize_t n = send(fd, cases[i].bytes, cases[i].size, MSG_NOSIGNAL);
        CU_ASSERT_EQUAL(n, (ssize_t)cases[i].size);
        /* The daemon must close the connection on which it received the bad
         * bytes. */
        CU_ASSERT_TRUE(recv(fd, &byte, 1, 0) <= 0);
        close(fd);
    }
    int fd = connect_to(AqProcess_Address(site.daemons[0], "callers"));
    char header[40000];
    int used = snprintf(header, sizeof(header), "GET / HTTP/1.1\r\nA: ");
    memset(header + used, 'x', sizeof(header) - (size_t)used);
    ssize_t n = send(fd, header, sizeof(header), MSG_NOSIGNAL);
    CU_ASSERT_TRUE(n > 0);
    char reply[64] = "";
    CU_ASSERT_TRUE(recv(fd, reply, sizeof(reply) - 1, 0) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(reply, " 4"));
    close(fd);
    site_call(&site, 0, "/list", NULL, &response);
    expect(&response, 200, "completed");
    site_get(&site, 0, "callers", "/admin/v1/status", &response);
    CU_ASSERT_EQUAL(response.status, 404);
    site_stop(&site);
}

/* Guards against heartbeats that do not show the idle slots of the peers to a
 * daemon that has queued requests, and against slot leases that are not
 * returned. */
static void
test_slot_leasing(void)
{
    enum {
        /* More requests than the about 11 of the endpoints' 32 slots that one
         * daemon has. */
        REQUESTS = 20
    };
    Site site;
    SiteRequest requests[REQUESTS];
    SiteResponse response;
    site_start(&site);
    for (int round = 0; round < 2; round++) {
        for (int i = 0; i < REQUESTS; i++) {
            site_send(&site, round, "/list?service_ms=3000", NULL, 20000,
                      &requests[i]);
        }
        CU_ASSERT_TRUE(site_wait_running(&site, REQUESTS, 2500));
        for (int i = 0; i < REQUESTS; i++) {
            site_finish(&requests[i], &response);
            expect(&response, 200, "completed");
        }
    }
    site_stop(&site);
}

/* Guards against a job that an operator submitted and that never runs, and
 * against an urgent job that starts late. */
static void
test_jobs(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    CU_ASSERT_EQUAL(site_intent(&site, 0, "vm.set",
                                "{\"id\":\"vm0\",\"cores\":8,\"memory_mb\":"
                                "8192}",
                                &response),
                    200);
    CU_ASSERT_EQUAL(site_intent(&site, 0, "team.set",
                                "{\"name\":\"t\",\"cores\":4,\"memory_mb\":"
                                "4096}",
                                &response),
                    200);
    CU_ASSERT_EQUAL(site_intent(&site, 1, "job.submit",
                                "{\"id\":\"big\",\"team\":\"t\",\"cores\":9}",
                                &response),
                    409);
    AqTime began = AqClock_ReadMonotonic();
    CU_ASSERT_EQUAL(site_intent(&site, 1, "job.submit",
                                "{\"id\":\"now\",\"team\":\"t\",\"urgent\":"
                                "true,\"run_ms\":1000}",
                                &response),
                    200);
    CU_ASSERT_TRUE(site_wait_text(&site, 2, "/admin/v1/state?kind=jobs",
                                  "\"running\"", WAIT_MS));
    CU_ASSERT_TRUE(AqClock_ReadMonotonic() - began <= 3500);
    CU_ASSERT_TRUE(site_wait_text(&site, 2, "/admin/v1/state?kind=jobs",
                                  "\"done\"", WAIT_MS));
    site_stop(&site);
}

/* Guards against snapshots of the fleet document that accumulate in the store,
 * and against the deletion of the snapshot that the store entry "head"
 * names. */
static void
test_snapshots(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    for (int i = 0; i < 60; i++) {
        char args[64];
        snprintf(args, sizeof(args), "{\"pool\":\"track\",\"min_serving\":%d}",
                 i % 2);
        CU_ASSERT_EQUAL(site_intent(&site, i % SITE_DAEMONS, "budget.set",
                                    args, &response),
                        200);
    }
    CU_ASSERT_TRUE(site_count_keys(&site, "aq/fleet/snapshot/") <= 3);
    /* A daemon that starts now must read the snapshot that the store entry
     * "head" names. */
    site_start_daemon(&site, 0, 0);
    CU_ASSERT_TRUE(
        site_wait_status(&site, 0, "callers", "/readyz", 200, WAIT_MS));
    CU_ASSERT_TRUE(site_wait_text(&site, 0, "/admin/v1/state?kind=pools",
                                  "\"serving\":4", WAIT_MS));
    site_stop(&site);
}

static const struct {
    const char *name;
    CU_TestFunc run;
} tests[] = {
    {"same_id_at_two_daemons", test_same_id_at_two_daemons},
    {"kill", test_kill},
    {"freeze", test_freeze},
    {"lost_reply", test_lost_reply},
    {"store_down", test_store_down},
    {"graceful_stop", test_graceful_stop},
    {"crossed_answer", test_crossed_response},
    {"ready_with_slots", test_ready_with_slots},
    {"cut_off_daemon_refuses", test_cut_off_daemon_refuses},
    {"restart_without_store", test_restart_without_store},
    {"bad_bytes", test_bad_bytes},
    {"jobs", test_jobs},
    {"snapshots", test_snapshots},
    {"lending", test_slot_leasing},
};

/* Runs only the test that the last argument names, because every test starts
 * its own site (platform, endpoints and daemons) and CTest runs several tests
 * in parallel. */
int
main(int argc, char **argv)
{
    if (argc != 5) {
        fprintf(stderr, "usage: test_process PLATFORM ENDPOINT DAEMON TEST\n");
        return 2;
    }
    site_programs.platform = argv[1];
    site_programs.endpoint = argv[2];
    site_programs.daemon = argv[3];
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("process", NULL, NULL);
    for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {
        if (strcmp(tests[i].name, argv[4]) == 0) {
            CU_add_test(suite, tests[i].name, tests[i].run);
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned run = CU_get_number_of_tests_run();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return run != 1 || failures > 0;
}
