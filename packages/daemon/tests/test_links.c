#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"
#include "relay.h"

/* Tests with faults of the links between daemons 0 and 1, while the links of
 * daemon 2 work.  They guard against a faulty link that stops the service to
 * callers or makes a request run twice.  Design page, section 10, "peer link
 * cut". */

enum {
    IDEMPOTENT_CALLS = 6,
    COMPLETED_IDS = 8,
    /* Timeout in ms of a request with a claim.  The claim takes longer while a
     * link is cut: the daemon writes the claim to the store itself when the
     * owner of the claim's partition does not reply. */
    CLAIM_TIMEOUT_MS = 5000
};

typedef enum {
    LINK_CUT,
    LINK_DELAY,
    LINK_SILENT
} LinkFault;

typedef struct {
    const char *name;
    LinkFault fault;
    bool to_daemon1; /* the fault affects bytes from daemon 0 to daemon 1 */
    bool to_daemon0;
} Case;

/* Columns: name in failure messages, kind of fault, whether the fault affects
 * bytes from daemon 0 to daemon 1, and those from daemon 1 to daemon 0. */
static const Case cases[] = {
    {"cut towards daemon 1", LINK_CUT, true, false},
    {"cut towards daemon 0", LINK_CUT, false, true},
    {"cut both ways", LINK_CUT, true, true},
    {"delay", LINK_DELAY, true, true},
    {"silent towards daemon 1", LINK_SILENT, true, false},
    {"silent both ways", LINK_SILENT, true, true},
};

typedef struct {
    /* First field, so that set_relay_target() can cast a pointer to Site to
     * one to LinkSite. */
    Site site;
    Relay *relays[2]; /* relays to the peer listeners of daemons 0 and 1 */
} LinkSite;

static void
set_relay_target(Site *site, int daemon)
{
    const LinkSite *links = (const LinkSite *)site;
    if (daemon < 2) {
        relay_set_target(links->relays[daemon],
                         AqProcess_Address(site->daemons[daemon], "peers"));
    }
}

static void
start(LinkSite *links)
{
    memset(links, 0, sizeof(*links));
    for (int i = 0; i < 2; i++) {
        links->relays[i] = relay_create();
        CU_ASSERT_PTR_NOT_NULL_FATAL(links->relays[i]);
        snprintf(links->site.advertise[i], sizeof(links->site.advertise[i]),
                 "%s", relay_address(links->relays[i]));
    }
    links->site.on_started = set_relay_target;
    site_start_prepared(&links->site);
}

static void
stop(LinkSite *links)
{
    site_stop(&links->site);
    relay_destroy(links->relays[0]);
    relay_destroy(links->relays[1]);
}

static void
set_fault(LinkSite *links, const Case *c)
{
    static const char *const senders[] = {"entry1", "entry0"};
    const bool is_affected[] = {c->to_daemon0, c->to_daemon1};
    for (int i = 0; i < 2; i++) {
        if (c->fault == LINK_DELAY) {
            relay_set_delay(links->relays[i], 400);
        }
        else if (is_affected[i]) {
            relay_set(links->relays[i], senders[i],
                      c->fault == LINK_CUT ? RELAY_HOLD : RELAY_DISCARD_OPEN);
        }
    }
}

static void
clear_faults(LinkSite *links)
{
    for (int i = 0; i < 2; i++) {
        relay_set(links->relays[i], NULL, RELAY_PASS);
        relay_set_delay(links->relays[i], 0);
    }
}

static void
format_live_text(int other, bool live, char text[64])
{
    snprintf(text, 64, "{\"id\":\"entry%d\",\"live\":%s}", other,
             live ? "true" : "false");
}

static bool
wait_live(LinkSite *links, int daemon, int other, bool live)
{
    char text[64];
    format_live_text(other, live, text);
    return site_wait_text(&links->site, daemon, "/admin/v1/status", text,
                          FAULT_WAIT_MS);
}

static bool
is_valid_response(const SiteResponse *response)
{
    return response->status == 200 ||
           (response->status == 409 &&
            strcmp(response->outcome, "unknown") == 0) ||
           strcmp(response->outcome, "not-run") == 0;
}

/* Sends a request with the same id to daemons 0 and 1; returns whether the
 * request completed.  The outcome "not-run", and status 409 for an uncertain
 * claim (design page, section 12), are valid when the request did not run. */
static bool
claim_at_both(Site *site, const char *id, const char *what)
{
    SiteRequest requests[2];
    SiteResponse responses[2];
    char seen[160];
    for (int k = 0; k < 2; k++) {
        site_send_post(site, k, "/pay", id, false, CLAIM_TIMEOUT_MS,
                       &requests[k]);
    }
    for (int k = 0; k < 2; k++) {
        site_finish(&requests[k], &responses[k]);
    }
    int completed =
        (responses[0].status == 200) + (responses[1].status == 200);
    int runs = site_runs(site, id);
    snprintf(seen, sizeof(seen), "%s, %s: %ld %s, %ld %s, %d runs", what, id,
             responses[0].status, responses[0].outcome, responses[1].status,
             responses[1].outcome, runs);
    fault_check(runs <= 1 && completed == runs &&
                    is_valid_response(&responses[0]) &&
                    is_valid_response(&responses[1]),
                "at most one run and valid responses", seen);
    return completed == 1;
}

/* Checks that every daemon completes idempotent requests, that requests with
 * claims succeed, and that a request id sent to daemons 0 and 1 runs at most
 * once, during a fault of the links and after it. */
static void
check_service(LinkSite *links, const char *what, int round)
{
    Site *site = &links->site;
    SiteResponse response;
    char id[40];
    int tries = 0;
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    for (int d = 0; d < SITE_DAEMONS; d++) {
        site_get(site, d, "callers", "/readyz", &response);
        fault_check(response.status == 200, "every daemon is ready", what);
    }
    for (int i = 0; i < IDEMPOTENT_CALLS; i++) {
        site_call(site, i % SITE_DAEMONS, "/list", NULL, &response);
        fault_expect(&response, 200, "completed", what);
    }
    for (int completed = 0; completed < COMPLETED_IDS;) {
        snprintf(id, sizeof(id), "n-link-%d-%d", round, tries++);
        completed += claim_at_both(site, id, what);
        if (AqClock_ReadMonotonic() >= until) {
            fault_check(completed == COMPLETED_IDS, "claims still succeed",
                        what);
            break;
        }
    }
}

static void
run_case(LinkSite *links, const Case *c, int round)
{
    set_fault(links, c);
    if (c->fault != LINK_DELAY) {
        /* The daemon that receives no bytes over the link detects the link's
         * fault first. */
        fault_check(wait_live(links, c->to_daemon1 ? 1 : 0,
                              c->to_daemon1 ? 0 : 1, false),
                    "the fault is detected", c->name);
    }
    check_service(links, c->name, round);
    if (c->fault != LINK_SILENT) {
        clear_faults(links);
    }
    /* The relays pass the bytes of new connections, so the daemons must
     * replace a silent connection. */
    fault_check(wait_live(links, 0, 1, true) && wait_live(links, 1, 0, true),
                "the link is restored", c->name);
    clear_faults(links);
    check_service(links, c->name, 100 + round);
}

/* Guards against a cut, slow or silent link between two daemons that stops the
 * service to callers, makes a request run twice or is never restored. */
static void
run_cases(size_t first, size_t count)
{
    LinkSite links;
    SiteResponse response;
    start(&links);
    for (int i = 0; i < 2; i++) {
        CU_ASSERT_TRUE(wait_live(&links, i, 1 - i, true));
    }
    site_get(&links.site, 2, "operators", "/admin/v1/state?kind=members",
             &response);
    char members[4096];
    memcpy(members, response.body, sizeof(members));
    for (size_t i = first; i < first + count; i++) {
        run_case(&links, &cases[i], (int)i);
    }
    site_get(&links.site, 2, "operators", "/admin/v1/state?kind=members",
             &response);
    CU_ASSERT_STRING_EQUAL(members, response.body);
    stop(&links);
}

static void
test_cut(void)
{
    run_cases(0, 3);
}

static void
test_delay(void)
{
    run_cases(3, 1);
}

static void
test_silent(void)
{
    run_cases(4, 2);
}

const FaultTest link_tests[] = {
    {"links_cut", test_cut},
    {"links_delay", test_delay},
    {"links_silent", test_silent},
    {NULL, NULL},
};
