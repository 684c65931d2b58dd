#include <stdio.h>
#include <string.h>

#include "aq_clock.h"
#include "fault_site.h"

/* Tests of operators' changes that several daemons receive at the same time,
 * while the store loses replies and delays watches.  They guard against
 * accepted changes that are lost, come into force late or break the disruption
 * budget.  Design page, section 1.2, items 1 and 8. */

enum {
    IN_FORCE_MS = 4000,
    ROUNDS = 8,
    RACING_INTENTS = 4
};

/* Intent to drain a VM, sent at the same time as others.  Each drain uses up
 * the disruption budget: 3 of the 4 VMs must serve. */
typedef struct {
    /* Operation id of the intent, to which the test adds the round number. */
    const char *op;
    int daemon;
    int vm;
} RacingIntent;

/* Columns: operation id, daemon that receives the intent, VM to drain.
 * Operations "a" and "b" drain the same VM at one daemon, so that one of them
 * changes nothing when the daemon evaluates both together.  The second entry
 * "a" repeats operation "a". */
static const RacingIntent racing_intents[RACING_INTENTS] = {
    {"a", 0, 0}, {"b", 0, 0}, {"a", 0, 0}, {"c", 1, 1}};

/* Faults of the simulated platform, which contains the store; each round of
 * the test uses the next entry. */
static const char *const faults[] = {
    "{\"slow_ms\":60}",
    "{\"slow_ms\":60,\"delay_watches_ms\":700}",
    "{\"slow_ms\":60,\"lose_replies\":1}",
    "{\"slow_ms\":60,\"delay_watches_ms\":700,\"lose_replies\":1}",
};

#define NO_FAULTS "{\"slow_ms\":0,\"delay_watches_ms\":0,\"lose_replies\":0}"

static bool
is_leaving_service(Site *site, int daemon, int vm)
{
    char state[24];
    fault_vm_state(site, daemon, vm, state);
    return strcmp(state, "draining") == 0 || strcmp(state, "drained") == 0;
}

/* Checks that every daemon shows an accepted drain of a VM within 4 s of
 * "accepted", the time at which the test received the response to the
 * intent. */
static void
check_in_force(Site *site, const RacingIntent *racing_intent, AqTime accepted)
{
    char seen[64];
    for (int d = 0; d < SITE_DAEMONS; d++) {
        AqTime began;
        bool shown;
        do {
            /* The check fails only when the first read of the VM's state that
             * began more than IN_FORCE_MS after "accepted" does not show the
             * drain. */
            began = AqClock_ReadMonotonic();
            shown = is_leaving_service(site, d, racing_intent->vm);
        } while (!shown && began - accepted <= IN_FORCE_MS);
        snprintf(seen, sizeof(seen), "operation %s, vm%d at daemon %d",
                 racing_intent->op, racing_intent->vm, d);
        fault_check(shown, "an accepted change is in force within 4 s", seen);
    }
}

static void
check_budget(Site *site)
{
    char seen[64];
    for (int d = 0; d < SITE_DAEMONS; d++) {
        int serving = fault_serving(site, d);
        snprintf(seen, sizeof(seen), "%d serve at daemon %d", serving, d);
        fault_check(serving >= SITE_ENDPOINTS - 1, "the budget is kept", seen);
    }
}

static int
count_accepted(Site *site, const long status[RACING_INTENTS],
               const AqTime responded_at[RACING_INTENTS])
{
    int accepted = 0;
    for (int i = 0; i < RACING_INTENTS; i++) {
        /* A change with response status 202, "stored", is in the fleet
         * document as well. */
        if (status[i] == 200 || status[i] == 202) {
            accepted++;
        }
        if (status[i] == 200) {
            check_in_force(site, &racing_intents[i], responded_at[i]);
        }
    }
    return accepted;
}

static void
undrain_vm(Site *site, int vm)
{
    char args[32];
    SiteResponse response;
    snprintf(args, sizeof(args), "{\"id\":\"vm%d\"}", vm);
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    while (fault_serving(site, 2) < SITE_ENDPOINTS &&
           AqClock_ReadMonotonic() < until) {
        site_intent(site, 2, "vm.undrain", args, &response);
    }
}

static void
run_race(Site *site, int round)
{
    SiteIntent intents[RACING_INTENTS];
    SiteResponse responses[RACING_INTENTS];
    long status[RACING_INTENTS];
    AqTime responded_at[RACING_INTENTS];
    char op[32];
    char args[32];
    site_platform_faults(
        site, faults[(size_t)round % (sizeof(faults) / sizeof(faults[0]))]);
    for (int k = 0; k < RACING_INTENTS; k++) {
        /* The order of the intents is reversed after every 4 rounds, so that
         * daemons 0 and 1 each receive the first intent in half of the
         * rounds. */
        int i = round / 4 % 2 == 0 ? k : RACING_INTENTS - 1 - k;
        snprintf(op, sizeof(op), "race-%d-%s", round, racing_intents[i].op);
        snprintf(args, sizeof(args), "{\"id\":\"vm%d\"}",
                 racing_intents[i].vm);
        site_intent_send(site, racing_intents[i].daemon, op, "vm.drain", args,
                         &intents[i]);
    }
    for (int i = 0; i < RACING_INTENTS; i++) {
        status[i] = site_intent_finish(&intents[i], &responses[i]);
        responded_at[i] = AqClock_ReadMonotonic();
        CU_ASSERT_TRUE(status[i] == 200 || status[i] == 202 ||
                       status[i] == 409);
    }
    check_budget(site);
    int accepted = count_accepted(site, status, responded_at);
    CU_ASSERT_TRUE(accepted >= 1);
    check_budget(site);
    bool first = is_leaving_service(site, 0, 0);
    bool second = is_leaving_service(site, 0, 1);
    CU_ASSERT_TRUE(first != second);
    for (int i = 0; i < RACING_INTENTS; i++) {
        if (status[i] == 200 || status[i] == 202) {
            /* Guards against a response that accepts an operator's change
             * which never takes effect. */
            fault_check(racing_intents[i].vm == (first ? 0 : 1),
                        "an accepted change takes effect", responses[i].body);
        }
    }
    site_platform_faults(site, NO_FAULTS);
    undrain_vm(site, first ? 0 : 1);
}

/* Guards against more VMs out of service than the disruption budget allows,
 * accepted changes that are lost, and daemons that show accepted changes after
 * more than 4 s. */
static void
test_race(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    CU_ASSERT_EQUAL(site_intent(&site, 0, "budget.set",
                                "{\"pool\":\"track\",\"min_serving\":3}",
                                &response),
                    200);
    for (int round = 0; round < ROUNDS; round++) {
        run_race(&site, round);
    }
    site_stop(&site);
}

static long long
response_version(const SiteResponse *response)
{
    json_t *body = json_loads(response->body, 0, NULL);
    long long version = json_integer_value(json_object_get(body, "version"));
    json_decref(body);
    return version;
}

/* Guards against a drain of a VM that is accepted after another operator has
 * raised "min_serving", the least number of serving VMs, so that the drain is
 * no longer allowed. */
static void
test_budget_race(void)
{
    Site site;
    char seen[96];
    site_start(&site);
    for (int round = 0; round < ROUNDS; round++) {
        SiteIntent intents[2];
        SiteResponse responses[2];
        char op[32];
        site_platform_faults(
            &site,
            faults[(size_t)round % (sizeof(faults) / sizeof(faults[0]))]);
        int first = round / 4 % 2;
        for (int k = 0; k < 2; k++) {
            int i = k == 0 ? first : 1 - first;
            snprintf(op, sizeof(op), "budget-%d-%d", round, i);
            site_intent_send(&site, i, op, i == 0 ? "budget.set" : "vm.drain",
                             i == 0 ? "{\"pool\":\"track\",\"min_serving\":4}"
                                    : "{\"id\":\"vm2\"}",
                             &intents[i]);
        }
        for (int i = 0; i < 2; i++) {
            site_intent_finish(&intents[i], &responses[i]);
        }
        bool drained =
            responses[1].status == 200 || responses[1].status == 202;
        snprintf(seen, sizeof(seen), "budget %ld at %lld, drain %ld at %lld",
                 responses[0].status, response_version(&responses[0]),
                 responses[1].status, response_version(&responses[1]));
        fault_check(responses[0].status == 200 || responses[0].status == 202,
                    "the budget can be set", seen);
        fault_check(!drained || response_version(&responses[1]) <
                                    response_version(&responses[0]),
                    "no drain is accepted after a budget that forbids it",
                    seen);
        fault_check(drained == is_leaving_service(&site, 1, 2),
                    "the drain's response matches the state of the VM", seen);
        site_platform_faults(&site, NO_FAULTS);
        undrain_vm(&site, 2);
        SiteResponse response;
        CU_ASSERT_EQUAL(site_intent(&site, 0, "budget.set",
                                    "{\"pool\":\"track\",\"min_serving\":3}",
                                    &response),
                        200);
    }
    site_stop(&site);
}

/* Sets "pool" to the pool in which a daemon reports the VM; empty when the
 * daemon does not respond. */
static void
read_vm_pool(Site *site, int daemon, const char *vm, char pool[24])
{
    SiteResponse response;
    site_get(site, daemon, "operators", "/admin/v1/state?kind=vms", &response);
    json_t *vms = json_loads(response.body, 0, NULL);
    const char *name =
        json_string_value(json_object_get(json_object_get(vms, vm), "pool"));
    snprintf(pool, 24, "%s", name != NULL ? name : "");
    json_decref(vms);
}

static bool
is_in_pool_everywhere(Site *site, const char *vm, const char *pool)
{
    char seen[24];
    for (int d = 0; d < SITE_DAEMONS; d++) {
        read_vm_pool(site, d, vm, seen);
        if (strcmp(seen, pool) != 0) {
            return false;
        }
    }
    return true;
}

/* Waits until all daemons show a VM in pool "a", or all in pool "b", and
 * returns that pool; NULL after FAULT_WAIT_MS.  Every response of a daemon
 * must show the VM in exactly one known pool: "track", "a" or "b". */
static const char *
wait_for_pool(Site *site, const char *vm, const char *a, const char *b)
{
    AqTime until = AqClock_ReadMonotonic() + FAULT_WAIT_MS;
    do {
        char seen[24];
        read_vm_pool(site, 0, vm, seen);
        fault_check(strcmp(seen, "track") == 0 || strcmp(seen, a) == 0 ||
                        strcmp(seen, b) == 0,
                    "the VM is in one pool", seen);
        if (is_in_pool_everywhere(site, vm, a)) {
            return a;
        }
        if (is_in_pool_everywhere(site, vm, b)) {
            return b;
        }
        site_wait_change(site);
    } while (AqClock_ReadMonotonic() < until);
    return NULL;
}

/* Guards against a VM that is in two pools, or in none, when two operators
 * move the VM at two daemons, one right after the other, and against a move
 * that never ends. */
static void
test_move(void)
{
    Site site;
    SiteResponse response;
    site_start(&site);
    CU_ASSERT_EQUAL(
        site_intent(&site, 0, "pool.set", "{\"name\":\"road\"}", &response),
        200);
    site_platform_faults(&site, "{\"slow_ms\":60,\"lose_replies\":1}");
    long first = site_intent(&site, 0, "vm.move",
                             "{\"id\":\"vm3\",\"pool\":\"road\"}", &response);
    long second = site_intent(
        &site, 1, "vm.move", "{\"id\":\"vm3\",\"pool\":\"spare\"}", &response);
    site_platform_faults(&site, NO_FAULTS);
    fault_check(first == 200, "the first move is accepted", response.body);
    fault_check(second == 200 || second == 409,
                "the second move is accepted or refused", response.body);
    const char *pool = wait_for_pool(&site, "vm3", "road", "spare");
    fault_check(pool != NULL, "the move ends", "still in track");
    CU_ASSERT_TRUE(site_wait_text(&site, 2, "/admin/v1/state?kind=pools",
                                  "\"serving\":3", FAULT_WAIT_MS));
    site_stop(&site);
}

const FaultTest configuration_tests[] = {
    {"configuration_race", test_race},
    {"configuration_budget", test_budget_race},
    {"configuration_move", test_move},
    {NULL, NULL},
};
