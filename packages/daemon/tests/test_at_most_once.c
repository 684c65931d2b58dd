#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Tests of non-idempotent requests.  They guard against a second run, and
 * against a wrong outcome, of a request that a fault reaches between the claim
 * of its id and its run at an endpoint: the daemon is killed or frozen, or the
 * store's replies are lost or late.  Design page, section 1.2, items 4 and 5.
 */

enum {
    /* Number of requests that the test sends with each fault; their ids are
     * spread over the claim partitions. */
    BATCH_REQUESTS = 4
};

typedef enum {
    /* The test kills or freezes daemon 0 when the store has received the write
     * of the claim of at least one request and has not yet carried out the
     * write. */
    CLAIM_REQUESTED,
    /* The test kills or freezes daemon 0 when the claim of at least one
     * request is stored and the store's reply to that write is lost. */
    CLAIM_WRITTEN,
    /* The test kills or freezes daemon 0 when at least one of the
     * BATCH_REQUESTS requests runs at an endpoint. */
    REQUEST_SENT
} FaultPoint;

static const char *const fault_point_names[] = {"claim requested",
                                                "claim written", "sent"};

typedef struct {
    char ids[BATCH_REQUESTS][32];
    SiteRequest requests[BATCH_REQUESTS];
    SiteResponse first[BATCH_REQUESTS];
    SiteResponse repeats[BATCH_REQUESTS];
} Batch;

static void
send_batch(Site *site, const char *name, Batch *batch)
{
    for (int i = 0; i < BATCH_REQUESTS; i++) {
        snprintf(batch->ids[i], sizeof(batch->ids[i]), "n-%s-%d", name, i);
        site_send_post(site, 0, "/pay?service_ms=1500", batch->ids[i], false,
                       20000, &batch->requests[i]);
    }
}

/* Waits until daemon 0 completes a request.  A daemon that has become a member
 * again reports that it is ready some seconds before it holds slots of
 * endpoints; until then it responds "not-run" at once and writes no claim. */
static void
wait_for_slots(Site *site)
{
    SiteResponse response;
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        site_call(site, 0, "/list", NULL, &response);
    } while (response.status != 200 && AqClock_ReadMonotonic() < until);
    fault_expect(&response, 200, "completed", "before the fault");
}

static void
reach_fault_point(Site *site, FaultPoint fault_point, const char *name,
                  Batch *batch)
{
    bool is_reached = false;
    wait_for_slots(site);
    int writes = fault_count_calls(site, "kv_put");
    int lost = fault_count_calls(site, "lost");
    if (fault_point != REQUEST_SENT) {
        site_platform_faults(
            site, fault_point == CLAIM_REQUESTED
                      ? "{\"slow_ms\":300}"
                      : "{\"lose_replies\":8,\"lose_silently\":true}");
    }
    send_batch(site, name, batch);
    switch (fault_point) {
    case CLAIM_REQUESTED:
        is_reached = fault_wait_calls(site, "kv_put", writes, FAULT_WAIT_MS);
        break;
    case CLAIM_WRITTEN:
        is_reached = fault_wait_calls(site, "lost", lost, FAULT_WAIT_MS);
        break;
    case REQUEST_SENT:
        is_reached = fault_wait_endpoint(site, -1, "slots_in_use", 1,
                                         BATCH_REQUESTS, FAULT_WAIT_MS);
        break;
    }
    fault_check(is_reached, "the fault point is reached",
                fault_point_names[fault_point]);
}

static void
clear_store_faults(Site *site)
{
    site_platform_faults(site, "{\"slow_ms\":0,\"lose_replies\":0,"
                               "\"lose_silently\":false}");
}

/* Sends the BATCH_REQUESTS requests of "batch" again, with the same ids, to
 * daemon "daemon".  A repeat that receives status 503 was not run and may be
 * sent again. */
static void
repeat_batch(Site *site, int daemon, Batch *batch)
{
    for (int i = 0; i < BATCH_REQUESTS; i++) {
        AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
        do {
            site_call(site, daemon, "/pay?service_ms=1500", batch->ids[i],
                      &batch->repeats[i]);
        } while (batch->repeats[i].status == 503 &&
                 AqClock_ReadMonotonic() < until);
        fault_check(batch->repeats[i].status == 200 ||
                        batch->repeats[i].status == 409,
                    "the repeat gets a final outcome", batch->repeats[i].body);
    }
}

static void
finish_batch(Batch *batch)
{
    for (int i = 0; i < BATCH_REQUESTS; i++) {
        site_finish(&batch->requests[i], &batch->first[i]);
    }
}

static bool
has_outcome(const SiteResponse *response, const char *outcome)
{
    return strcmp(response->outcome, outcome) == 0;
}

static void
check_batch(Site *site, const Batch *batch, const char *name)
{
    for (int i = 0; i < BATCH_REQUESTS; i++) {
        const SiteResponse *first = &batch->first[i];
        const SiteResponse *repeat = &batch->repeats[i];
        int runs = site_runs(site, batch->ids[i]);
        char seen[160];
        snprintf(seen, sizeof(seen),
                 "%s, %s: first %ld %s, repeat %ld %s, %d runs", name,
                 batch->ids[i], first->status, first->outcome, repeat->status,
                 repeat->outcome, runs);
        fault_check(runs <= 1, "at most one run", seen);
        int completed =
            has_outcome(first, "completed") + has_outcome(repeat, "completed");
        fault_check(completed <= runs, "a completed request has a run", seen);
        if (has_outcome(first, "not-run") &&
            !has_outcome(repeat, "completed")) {
            fault_check(runs == 0, "a request reported as not-run has no run",
                        seen);
        }
    }
}

/* Guards against a second run, and against a wrong outcome, of non-idempotent
 * requests whose daemon is killed. */
static void
test_kill(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (FaultPoint fault_point = CLAIM_REQUESTED; fault_point <= REQUEST_SENT;
         fault_point++) {
        char name[16];
        AqError error;
        int status;
        snprintf(name, sizeof(name), "kill%d", (int)fault_point);
        reach_fault_point(&site, fault_point, name, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGKILL, &error));
        finish_batch(&batch);
        clear_store_faults(&site);
        repeat_batch(&site, 1, &batch);
        check_batch(&site, &batch, fault_point_names[fault_point]);
        CU_ASSERT_TRUE(AqProcess_WaitExit(site.daemons[0], FAULT_WAIT_MS,
                                          &status, &error));
        site_start_daemon(&site, 0, 0);
        CU_ASSERT_TRUE(site_wait_status(&site, 0, "callers", "/readyz", 200,
                                        FAULT_WAIT_MS));
    }
    site_stop(&site);
}

/* Guards against a daemon that was frozen until the other daemons removed it
 * from the members, and that then sends to endpoints the requests that it had
 * claimed before, although another daemon has received repeats of them. */
static void
test_freeze(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (FaultPoint fault_point = CLAIM_REQUESTED; fault_point <= REQUEST_SENT;
         fault_point++) {
        char name[16];
        AqError error;
        snprintf(name, sizeof(name), "freeze%d", (int)fault_point);
        reach_fault_point(&site, fault_point, name, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGSTOP, &error));
        clear_store_faults(&site);
        CU_ASSERT_TRUE(site_wait_text(&site, 1, "/admin/v1/status",
                                      "\"members\":[{\"id\":\"entry1\"",
                                      FAULT_WAIT_MS));
        repeat_batch(&site, 1, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGCONT, &error));
        finish_batch(&batch);
        check_batch(&site, &batch, fault_point_names[fault_point]);
        CU_ASSERT_TRUE(site_wait_status(&site, 0, "callers", "/readyz", 200,
                                        FAULT_WAIT_MS));
    }
    site_stop(&site);
}

/* Columns: name in failure messages, faults of the simulated platform, which
 * contains the store. */
static const struct {
    const char *name;
    const char *faults;
} reply_losses[] = {
    {"one reply", "{\"lose_replies\":1}"},
    {"three replies", "{\"lose_replies\":3}"},
    {"many replies", "{\"lose_replies\":12}"},
    {"one reply, silently", "{\"lose_replies\":1,\"lose_silently\":true}"},
    {"many replies, silently", "{\"lose_replies\":12,\"lose_silently\":true}"},
    {"one reply, slowly", "{\"lose_replies\":1,\"slow_ms\":300}"},
    /* The store replies after 700 ms, later than the daemons' store timeout of
     * 500 ms. */
    {"late replies", "{\"slow_ms\":700}"},
};

/* Guards against a second run, and against a wrong outcome, of a request whose
 * claim was stored while the store's reply was lost. */
static void
test_lost_replies(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (size_t i = 0; i < sizeof(reply_losses) / sizeof(reply_losses[0]);
         i++) {
        char name[16];
        snprintf(name, sizeof(name), "lost%d", (int)i);
        site_platform_faults(&site, reply_losses[i].faults);
        send_batch(&site, name, &batch);
        finish_batch(&batch);
        clear_store_faults(&site);
        repeat_batch(&site, 1, &batch);
        check_batch(&site, &batch, reply_losses[i].name);
    }
    site_stop(&site);
}

const FaultTest once_tests[] = {
    {"once_kill", test_kill},
    {"once_freeze", test_freeze},
    {"once_lost_replies", test_lost_replies},
    {NULL, NULL},
};
