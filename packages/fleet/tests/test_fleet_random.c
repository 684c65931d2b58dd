#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "fake_daemon.h"

#define SEEDS 320
#define DISABLED_SEEDS 20
#define STEPS 350
#define VMS 16
#define OPERATORS 2
#define DAEMONS 4 /* two daemons serve operators, two run planners */

typedef struct {
    FakeStore store;
    FakePlatform platform;
    FakeDaemon daemons[DAEMONS];
    AqRandom random;
    int serial;
    int accepted;
    int refused;
} Fixture;

static int
random_below(Fixture *fixture, int bound)
{
    return (int)AqRandom_Below(&fixture->random, (uint64_t)bound);
}

/* Writes pools and VMs to the store as version 1 of the fleet document. */
static void
seed_fleet(Fixture *fixture)
{
    static const char *const pools[] = {"a", "b", "c", "spare"};
    json_t *set = json_array();
    for (int p = 0; p < 3; p++) {
        set_put(set, AQ_REC_POOL, pools[p],
                json_pack("{s:s, s:{}, s:i, s:i, s:i, s:i, s:i}", "service",
                          pools[p], "selector", "min_serving", 2, "slots", 8,
                          "connections", 64, "objective", 999,
                          "max_unavailable", 2));
    }
    for (int i = 0; i < VMS; i++) {
        char id[16], rack[16], zone[16];
        g_snprintf(id, sizeof(id), "v%d", i);
        g_snprintf(rack, sizeof(rack), "r%d", i / 2);
        g_snprintf(zone, sizeof(zone), "hal-%c", 'a' + i % 3);
        set_put(set, AQ_REC_VM, id,
                json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:{}}", "pool",
                          pools[i % 4], "state", "serving", "rack", rack,
                          "zone", zone, "address", "10.0.0.1:80", "since", 1,
                          "labels"));
        fake_platform_vm(&fixture->platform, id);
    }
    AqFleet *fleet = AqFleet_Create();
    AqFleet_Apply(fleet, "setup", set, NULL);
    char *head = AqFleet_EncodeHead(fleet);
    fake_store_cas(&fixture->store, head, 0, REPLY_OK);
    free(head);
    json_decref(set);
    AqFleet_Destroy(fleet);
}

static void
fixture_create(Fixture *fixture, uint64_t seed)
{
    memset(fixture, 0, sizeof(*fixture));
    AqRandom_Seed(&fixture->random, seed);
    fake_store_init(&fixture->store, true);
    fake_platform_init(&fixture->platform, seed + 1);
    for (int i = 0; i < DAEMONS; i++) {
        fake_daemon_init(&fixture->daemons[i], &fixture->store,
                         &fixture->platform);
    }
}

static void
fixture_destroy(Fixture *fixture)
{
    for (int i = 0; i < DAEMONS; i++) {
        fake_daemon_clear(&fixture->daemons[i]);
    }
    fake_store_clear(&fixture->store);
    fake_platform_clear(&fixture->platform);
}

static json_t *
random_intent(Fixture *fixture, const char *op)
{
    static const char *const pools[] = {"a", "b", "c", "spare"};
    static const char *const vm_kinds[] = {"vm.drain", "vm.undrain",
                                           "vm.reboot", "vm.remove"};
    static const char *const wave_kinds[] = {"wave.pause", "wave.resume",
                                             "wave.abort"};
    char id[16], wave[16];
    g_snprintf(id, sizeof(id), "v%d", random_below(fixture, VMS));
    g_snprintf(wave, sizeof(wave), "w%d", random_below(fixture, 4));
    switch (random_below(fixture, 12)) {
    case 0:
        return fake_intent(op, "budget.set",
                           json_pack("{s:s, s:i, s:i}", "pool",
                                     pools[random_below(fixture, 3)],
                                     "min_serving", random_below(fixture, 4),
                                     "max_unavailable",
                                     1 + random_below(fixture, 3)));
    case 1:
        return fake_intent(op, "wave.start",
                           json_pack("{s:s, s:i, s:s, s:s}", "name", wave,
                                     "max_parallel",
                                     1 + random_below(fixture, 4), "kind",
                                     "rollout", "release", op));
    case 2:
        return fake_intent(op, wave_kinds[random_below(fixture, 3)],
                           json_pack("{s:s}", "name", wave));
    case 3:
        return fake_intent(op, "vm.set",
                           json_pack("{s:s, s:s, s:s, s:s}", "id", id,
                                     "address", "10.0.0.2:80", "rack", "r9",
                                     "zone", "hal-b"));
    case 4:
        return fake_intent(
            op, "weights.set",
            json_pack("{s:i}", "moves", 1 + random_below(fixture, 10)));
    case 5:
    case 6:
    case 7:
        return fake_intent(op, "vm.move",
                           json_pack("{s:s, s:s}", "id", id, "pool",
                                     pools[random_below(fixture, 4)]));
    default:
        return fake_intent(op, vm_kinds[random_below(fixture, 4)],
                           json_pack("{s:s}", "id", id));
    }
}

static void
begin_operation(Fixture *fixture, int i)
{
    FakeDaemon *daemon = &fixture->daemons[i];
    char op[32];
    fixture->accepted += daemon->outcome == OUTCOME_ACCEPTED;
    fixture->refused += daemon->outcome == OUTCOME_REFUSED;
    g_snprintf(op, sizeof(op), "d%d-%d", i, fixture->serial++);
    fake_daemon_begin(daemon,
                      i < OPERATORS ? random_intent(fixture, op) : NULL, op);
}

static void
inject_event(Fixture *fixture)
{
    char id[16];
    g_snprintf(id, sizeof(id), "v%d", random_below(fixture, VMS));
    FakeVm *vm = fake_platform_vm(&fixture->platform, id);
    int64_t later =
        fixture->platform.now_ms + 5000 + random_below(fixture, 300000);
    switch (random_below(fixture, 12)) {
    case 0:
        fake_platform_fail(vm, later);
        break;
    case 1:
        vm->leaving = true;
        vm->up_at_ms = later;
        break;
    case 2:
        vm->never_returns = !vm->never_returns;
        break;
    case 3:
        fake_store_deliver(&fixture->store);
        break;
    case 4:
        fake_daemon_crash(&fixture->daemons[random_below(fixture, DAEMONS)]);
        break;
    case 5:
    case 6:
        fake_daemon_read(&fixture->daemons[random_below(fixture, DAEMONS)]);
        break;
    default:
        fake_platform_advance(&fixture->platform,
                              random_below(fixture, 20000));
        break;
    }
}

static void
run_random(Fixture *fixture)
{
    static const FakeReply replies[] = {REPLY_LOST_BEFORE, REPLY_LOST_AFTER,
                                        REPLY_LATE};
    for (int i = 0; i < STEPS && fixture->store.fault[0] == '\0'; i++) {
        int at = random_below(fixture, DAEMONS);
        FakeDaemon *daemon = &fixture->daemons[at];
        if (daemon->phase == PHASE_IDLE) {
            begin_operation(fixture, at);
        }
        fake_daemon_step(daemon, random_below(fixture, 6) == 0
                                     ? replies[random_below(fixture, 3)]
                                     : REPLY_OK);
        if (random_below(fixture, 3) == 0) {
            inject_event(fixture);
        }
    }
}

/* Returns the number of VMs that the planner still has to bring to another
 * state: all but those that serve and those that an operator keeps drained. */
static int
count_stuck(const Fixture *fixture)
{
    const AqFleet *fleet = fixture->store.oracle;
    int stuck = 0;
    for (guint i = 0; i < fleet->vm_order->len; i++) {
        const VmEntry *vm = fleet->vm_order->pdata[i];
        stuck += vm->state != AQ_VM_SERVING &&
                 (vm->state != AQ_VM_DRAINED || vm->target_pool != NULL ||
                  vm->is_reboot_planned || *vm->wave != '\0');
    }
    return stuck;
}

/* Runs one planner without faults until no VM is left that the planner should
 * advance, for at most two hours of virtual time: longer than VM_RETRY_MS and
 * every delay in the planner's hysteresis of moves. */
static void
run_until_idle(Fixture *fixture)
{
    GHashTableIter at;
    void *value;
    for (int i = 0; i < OPERATORS; i++) {
        fake_daemon_finish(&fixture->daemons[i]);
    }
    g_hash_table_iter_init(&at, fixture->platform.vms);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        FakeVm *vm = value;
        vm->never_returns = false;
        vm->leaving = false;
        vm->up_at_ms = vm->up ? 0 : fixture->platform.now_ms + 1000;
    }
    for (int i = 0; i < 1440 && (i < 20 || count_stuck(fixture) > 0); i++) {
        FakeDaemon *daemon = &fixture->daemons[DAEMONS - 1];
        fake_platform_advance(&fixture->platform, 5000);
        if (daemon->phase == PHASE_IDLE) {
            begin_operation(fixture, DAEMONS - 1);
        }
        fake_daemon_read(daemon);
        fake_daemon_finish(daemon);
    }
}

/* Guards against violations of the invariants in sections 1.2 and 4.1 of the
 * design page through sequences of conflicts, crashes of daemons, lost and
 * late replies of the store, late watches and failures of VMs, and against VMs
 * that never leave an intermediate state. */
static void
test_random_sequences(void)
{
    int accepted = 0;
    int refused = 0;
    int64_t versions = 0;
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Fixture fixture;
        fixture_create(&fixture, seed);
        seed_fleet(&fixture);
        run_random(&fixture);
        run_until_idle(&fixture);
        int stuck = count_stuck(&fixture);
        if (fixture.store.fault[0] != '\0' || stuck > 0) {
            fprintf(stderr, "seed %d: %d stuck; %s\n", (int)seed, stuck,
                    fixture.store.fault);
            CU_FAIL("an invariant was violated or a VM is stuck");
        }
        accepted += fixture.accepted;
        refused += fixture.refused;
        versions += fixture.store.oracle->version;
        fixture_destroy(&fixture);
    }
    fprintf(stderr, "%d seeds, %lld versions, %d accepted, %d refused ", SEEDS,
            (long long)versions, accepted, refused);
    CU_ASSERT_TRUE(versions > SEEDS * 50);
}

/* ---- Test switches ---------------------------------------------------- */

/* Returns the number of seeds, out of DISABLED_SEEDS, with which a random
 * sequence violates an invariant.  "disabled" are FLEET_DISABLE_* flags,
 * "no_cas" is the test switch FakeStore.no_cas, and "no_read_back" is the test
 * switch FakeDaemon.no_read_back. */
static int
count_faults(unsigned disabled, bool no_cas, bool no_read_back)
{
    int faults = 0;
    for (uint64_t seed = 1; seed <= DISABLED_SEEDS; seed++) {
        Fixture fixture;
        fixture_create(&fixture, seed);
        fixture.store.no_cas = no_cas;
        for (int i = 0; i < DAEMONS; i++) {
            fleet_disable(fixture.daemons[i].fleet, disabled);
            fixture.daemons[i].no_read_back = no_read_back;
        }
        seed_fleet(&fixture);
        run_random(&fixture);
        faults += fixture.store.fault[0] != '\0';
        fixture_destroy(&fixture);
    }
    return faults;
}

/* Guards against checks that cannot fail: random sequences, which violate no
 * invariant with all mechanisms, must violate one when any of the mechanisms
 * is disabled. */
static void
test_mechanisms_are_needed(void)
{
    int none = count_faults(0, false, false);
    int budget = count_faults(FLEET_DISABLE_BUDGET, false, false);
    int drain = count_faults(FLEET_DISABLE_DRAIN, false, false);
    int cas = count_faults(0, true, false);
    int read_back = count_faults(0, false, true);
    fprintf(stderr,
            "runs of %d with a violation: none disabled %d, budget %d, "
            "drain %d, "
            "compare-and-swap %d, read-back %d ",
            DISABLED_SEEDS, none, budget, drain, cas, read_back);
    CU_ASSERT_EQUAL(none, 0);
    CU_ASSERT_TRUE(budget > 0);
    CU_ASSERT_TRUE(drain > 0);
    CU_ASSERT_TRUE(cas > 0);
    CU_ASSERT_TRUE(read_back > 0);
}

/* Returns the number of intents that are refused although the document in the
 * store allows them, when two operators drain VMs of different pools at the
 * same time. */
static int
count_needless_refusals(bool no_reevaluate)
{
    Fixture fixture;
    char op[32], id[16];
    fixture_create(&fixture, 5);
    seed_fleet(&fixture);
    int needless_refusals = 0;
    for (int i = 0; i < OPERATORS; i++) {
        FakeDaemon *daemon = &fixture.daemons[i];
        daemon->no_reevaluate = no_reevaluate;
        fake_daemon_read(daemon);
        g_snprintf(op, sizeof(op), "op-%d", i);
        g_snprintf(id, sizeof(id), "v%d", i);
        fake_daemon_begin(
            daemon, fake_intent(op, "vm.drain", json_pack("{s:s}", "id", id)),
            op);
        fake_daemon_step(daemon, REPLY_OK);
    }
    for (int i = 0; i < OPERATORS; i++) {
        fake_daemon_finish(&fixture.daemons[i]);
        needless_refusals += fixture.daemons[i].is_needless_refusal;
    }
    CU_ASSERT_STRING_EQUAL(fixture.store.fault, "");
    fixture_destroy(&fixture);
    return needless_refusals;
}

/* Guards against refusing an intent only because an independent intent was
 * committed first, which happens when the daemon does not evaluate an intent
 * again after a conflict. */
static void
test_conflict_is_evaluated_again(void)
{
    CU_ASSERT_EQUAL(count_needless_refusals(false), 0);
    CU_ASSERT_EQUAL(count_needless_refusals(true), 1);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("fleet_random", NULL, NULL);
    CU_ADD_TEST(suite, test_random_sequences);
    CU_ADD_TEST(suite, test_mechanisms_are_needed);
    CU_ADD_TEST(suite, test_conflict_is_evaluated_again);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
