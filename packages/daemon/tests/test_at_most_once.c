#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Non-idempotent requests while their daemon is killed or frozen, or the
 * store's replies are lost, at each moment between claim and send.  Section
 * 1.2, items 4 and 5. */

enum {
    AT_ONCE = 4 /* ids of a case; they spread over the claim partitions */
};

typedef enum {
    CLAIM_ASKED,   /* the write is at the store and has no effect yet */
    CLAIM_WRITTEN, /* it has its effect; the reply is lost */
    SENT           /* a request runs at an endpoint */
} Moment;

static const char *const moment_names[] = {"claim asked", "claim written",
                                           "sent"};

typedef struct {
    char ids[AT_ONCE][32];
    SiteRequest requests[AT_ONCE];
    SiteAnswer first[AT_ONCE];
    SiteAnswer repeats[AT_ONCE];
} Batch;

static void
send_batch(Site *site, const char *name, Batch *batch)
{
    for (int i = 0; i < AT_ONCE; i++) {
        snprintf(batch->ids[i], sizeof(batch->ids[i]), "n-%s-%d", name, i);
        site_send_as(site, 0, "/pay?service_ms=1500", batch->ids[i], false,
                     20000, &batch->requests[i]);
    }
}

/* A daemon that joined again is ready some seconds before it has slots; until
 * then it tells "not run" at once and no moment is reached. */
static void
wait_for_slots(Site *site)
{
    SiteAnswer answer;
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        site_call(site, 0, "/list", NULL, &answer);
    } while (answer.status != 200 && AqClock_ReadMonotonic() < until);
    fault_expect(&answer, 200, "completed", "before the fault");
}

static void
reach(Site *site, Moment moment, const char *name, Batch *batch)
{
    bool reached = false;
    wait_for_slots(site);
    int writes = fault_calls(site, "kv_put");
    int lost = fault_calls(site, "lost");
    if (moment != SENT) {
        site_platform_faults(
            site, moment == CLAIM_ASKED
                      ? "{\"slow_ms\":300}"
                      : "{\"lose_replies\":8,\"lose_silently\":true}");
    }
    send_batch(site, name, batch);
    switch (moment) {
    case CLAIM_ASKED:
        reached = fault_wait_calls(site, "kv_put", writes, FAULT_WAIT_MS);
        break;
    case CLAIM_WRITTEN:
        reached = fault_wait_calls(site, "lost", lost, FAULT_WAIT_MS);
        break;
    case SENT:
        reached = fault_wait_endpoint(site, -1, "slots_in_use", 1, AT_ONCE,
                                      FAULT_WAIT_MS);
        break;
    }
    fault_check(reached, "the moment", moment_names[moment]);
}

static void
clear_store_faults(Site *site)
{
    site_platform_faults(site, "{\"slow_ms\":0,\"lose_replies\":0,"
                               "\"lose_silently\":false}");
}

/* A repeat that was not run may be sent again. */
static void
repeat_batch(Site *site, int daemon, Batch *batch)
{
    for (int i = 0; i < AT_ONCE; i++) {
        AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
        do {
            site_call(site, daemon, "/pay?service_ms=1500", batch->ids[i],
                      &batch->repeats[i]);
        } while (batch->repeats[i].status == 503 &&
                 AqClock_ReadMonotonic() < until);
        fault_check(batch->repeats[i].status == 200 ||
                        batch->repeats[i].status == 409,
                    "the repeat is decided", batch->repeats[i].body);
    }
}

static void
finish_batch(Batch *batch)
{
    for (int i = 0; i < AT_ONCE; i++) {
        site_finish(&batch->requests[i], &batch->first[i]);
    }
}

static bool
is(const SiteAnswer *answer, const char *outcome)
{
    return strcmp(answer->outcome, outcome) == 0;
}

static void
check_batch(Site *site, const Batch *batch, const char *name)
{
    for (int i = 0; i < AT_ONCE; i++) {
        const SiteAnswer *first = &batch->first[i];
        const SiteAnswer *repeat = &batch->repeats[i];
        int runs = site_runs(site, batch->ids[i]);
        char seen[160];
        snprintf(seen, sizeof(seen),
                 "%s, %s: told %ld %s, repeat %ld %s, %d runs", name,
                 batch->ids[i], first->status, first->outcome, repeat->status,
                 repeat->outcome, runs);
        fault_check(runs <= 1, "at most one run", seen);
        int completed = is(first, "completed") + is(repeat, "completed");
        fault_check(completed <= runs, "a completed request ran", seen);
        if (is(first, "not-run") && !is(repeat, "completed")) {
            fault_check(runs == 0, "not run", seen);
        }
    }
}

/* Guards against a second run, and a false outcome, of requests whose daemon
 * is killed. */
static void
test_kill(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (Moment moment = CLAIM_ASKED; moment <= SENT; moment++) {
        char name[16];
        AqError error;
        int status;
        snprintf(name, sizeof(name), "kill%d", (int)moment);
        reach(&site, moment, name, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGKILL, &error));
        finish_batch(&batch);
        clear_store_faults(&site);
        repeat_batch(&site, 1, &batch);
        check_batch(&site, &batch, moment_names[moment]);
        CU_ASSERT_TRUE(AqProcess_WaitExit(site.daemons[0], FAULT_WAIT_MS,
                                          &status, &error));
        site_start_daemon(&site, 0, 0);
        CU_ASSERT_TRUE(site_wait_status(&site, 0, "callers", "/readyz", 200,
                                        FAULT_WAIT_MS));
    }
    site_stop(&site);
}

/* Guards against a daemon that sends, after a pause longer than its lease,
 * what it had claimed before. */
static void
test_freeze(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (Moment moment = CLAIM_ASKED; moment <= SENT; moment++) {
        char name[16];
        AqError error;
        snprintf(name, sizeof(name), "freeze%d", (int)moment);
        reach(&site, moment, name, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGSTOP, &error));
        clear_store_faults(&site);
        CU_ASSERT_TRUE(site_wait_text(&site, 1, "/admin/v1/status",
                                      "\"members\":[{\"id\":\"entry1\"",
                                      FAULT_WAIT_MS));
        repeat_batch(&site, 1, &batch);
        CU_ASSERT_TRUE(AqProcess_Signal(site.daemons[0], SIGCONT, &error));
        finish_batch(&batch);
        check_batch(&site, &batch, moment_names[moment]);
        CU_ASSERT_TRUE(site_wait_status(&site, 0, "callers", "/readyz", 200,
                                        FAULT_WAIT_MS));
    }
    site_stop(&site);
}

static const struct {
    const char *name;
    const char *faults;
} losses[] = {
    {"one reply", "{\"lose_replies\":1}"},
    {"three replies", "{\"lose_replies\":3}"},
    {"many replies", "{\"lose_replies\":12}"},
    {"one reply, silently", "{\"lose_replies\":1,\"lose_silently\":true}"},
    {"many replies, silently", "{\"lose_replies\":12,\"lose_silently\":true}"},
    {"one reply, slowly", "{\"lose_replies\":1,\"slow_ms\":300}"},
    {"late replies", "{\"slow_ms\":700}"}, /* over the daemon's 500 ms */
};

/* Guards against a second run and a false outcome when the claim was written
 * and its reply was lost. */
static void
test_lost_replies(void)
{
    Site site;
    Batch batch;
    site_start(&site);
    for (size_t i = 0; i < sizeof(losses) / sizeof(losses[0]); i++) {
        char name[16];
        snprintf(name, sizeof(name), "lost%d", (int)i);
        site_platform_faults(&site, losses[i].faults);
        send_batch(&site, name, &batch);
        finish_batch(&batch);
        clear_store_faults(&site);
        repeat_batch(&site, 1, &batch);
        check_batch(&site, &batch, losses[i].name);
    }
    site_stop(&site);
}

const FaultTest once_tests[] = {
    {"once_kill", test_kill},
    {"once_freeze", test_freeze},
    {"once_lost_replies", test_lost_replies},
    {NULL, NULL},
};
