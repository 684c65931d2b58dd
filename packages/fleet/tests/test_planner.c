#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "fake_daemon.h"

/* One planner on a small fleet in virtual time; the store checks every
 * commit. */
typedef struct {
    FakeStore store;
    FakePlatform platform;
    FakeDaemon daemon;
    int serial;
} Fixture;

typedef struct {
    const char *name;
    int vms;
    int min; /* min_serving of the pool */
    /* value that the label "size" must have on VMs of the pool; NULL: any */
    const char *selector;
} FixturePool;

static void
put_pool(json_t *set, const FixturePool *pool)
{
    json_t *selector = pool->selector == NULL
                           ? json_object()
                           : json_pack("{s:s}", "size", pool->selector);
    set_put(set, AQ_REC_POOL, pool->name,
            json_pack("{s:s, s:o, s:i, s:i, s:i, s:i}", "service", pool->name,
                      "selector", selector, "min_serving", pool->min, "slots",
                      8, "connections", 64, "objective", 999));
}

/* Appends to "set" upserts that add the VMs of a pool: VM i of pool "a" has id
 * "a<i>", two VMs share a rack, and the racks alternate between three data
 * centres. */
static void
put_vms(Fixture *fixture, json_t *set, const FixturePool *pool)
{
    for (int i = 0; i < pool->vms; i++) {
        char id[32], rack[32], zone[32];
        g_snprintf(id, sizeof(id), "%s%d", pool->name, i);
        g_snprintf(rack, sizeof(rack), "%s-r%d", pool->name, i / 2);
        g_snprintf(zone, sizeof(zone), "hal-%c", 'a' + i / 2 % 3);
        set_put(set, AQ_REC_VM, id,
                json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:{s:s}}", "pool",
                          pool->name, "state", "serving", "rack", rack, "zone",
                          zone, "address", "10.0.0.1:80", "since", 1, "labels",
                          "size",
                          pool->selector == NULL ? "big" : pool->selector));
        fake_platform_vm(&fixture->platform, id);
    }
}

static void
fixture_create(Fixture *fixture, const FixturePool *pools, int count,
               unsigned disabled)
{
    memset(fixture, 0, sizeof(*fixture));
    fake_store_init(&fixture->store, true);
    fake_platform_init(&fixture->platform, 7);
    fake_daemon_init(&fixture->daemon, &fixture->store, &fixture->platform);
    fleet_disable(fixture->daemon.fleet, disabled);
    json_t *set = json_array();
    for (int i = 0; i < count; i++) {
        put_pool(set, &pools[i]);
        put_vms(fixture, set, &pools[i]);
    }
    AqFleet *fleet = fixture->daemon.fleet;
    CU_ASSERT_TRUE(AqFleet_Apply(fleet, "setup", set, NULL));
    char *head = AqFleet_EncodeHead(fleet);
    fake_store_cas(&fixture->store, head, 0, REPLY_OK);
    fixture->daemon.index = fixture->store.index;
    free(head);
    json_decref(set);
}

static void
fixture_destroy(Fixture *fixture)
{
    CU_ASSERT_STRING_EQUAL(fixture->store.fault, "");
    fake_daemon_clear(&fixture->daemon);
    fake_store_clear(&fixture->store);
    fake_platform_clear(&fixture->platform);
}

/* Lets the daemon carry out an intent to its end; returns whether the daemon
 * accepted the intent. */
static bool
run_intent(Fixture *fixture, const char *kind, json_t *args)
{
    char op[32];
    g_snprintf(op, sizeof(op), "op-%d", fixture->serial++);
    fake_daemon_begin(&fixture->daemon, fake_intent(op, kind, args), op);
    fake_daemon_finish(&fixture->daemon);
    return fixture->daemon.outcome == OUTCOME_ACCEPTED;
}

static void
run_planner_step(Fixture *fixture)
{
    char op[32];
    g_snprintf(op, sizeof(op), "plan-%d", fixture->serial++);
    fake_daemon_begin(&fixture->daemon, NULL, op);
    fake_daemon_finish(&fixture->daemon);
}

/* Advances virtual time by "seconds", with one planner step each second. */
static void
run_planner(Fixture *fixture, int seconds)
{
    for (int i = 0; i < seconds; i++) {
        fake_platform_advance(&fixture->platform, 1000);
        run_planner_step(fixture);
    }
}

static const VmEntry *
vm_of(const Fixture *fixture, const char *id)
{
    return index_vm(fixture->daemon.fleet, id);
}

static int
count_state(const Fixture *fixture, AqVmState state)
{
    int count = 0;
    const GPtrArray *vms = fixture->daemon.fleet->vm_order;
    for (guint i = 0; i < vms->len; i++) {
        count += ((const VmEntry *)vms->pdata[i])->state == state;
    }
    return count;
}

static const char *
wave_state(const Fixture *fixture)
{
    return string_or(AqFleet_Get(fixture->daemon.fleet, AQ_REC_WAVE, "w"),
                     "state", "");
}

static void
start_wave(Fixture *fixture, int parallel)
{
    CU_ASSERT_TRUE(run_intent(fixture, "wave.start",
                              json_pack("{s:s, s:i, s:s, s:s}", "name", "w",
                                        "max_parallel", parallel, "kind",
                                        "rollout", "release", "r2")));
}

static const FixturePool two_pools[] = {{"a", 6, 3, NULL}, {"b", 6, 4, NULL}};

/* Guards against a wave that skips a VM, reboots a VM twice, does not set the
 * release label, has more than max_parallel VMs out of service, or has VMs of
 * a pool out of service in two data centres at the same time. */
static void
test_wave(void)
{
    Fixture fixture;
    fixture_create(&fixture, two_pools, 2, FLEET_DISABLE_PLACEMENT);
    start_wave(&fixture, 3);
    int seconds = 0;
    while (strcmp(wave_state(&fixture), "running") == 0 && seconds < 3600) {
        run_planner(&fixture, 1);
        seconds++;
        const GPtrArray *vms = fixture.daemon.fleet->vm_order;
        int zones[2] = {-1, -1};
        int working = 0;
        for (guint i = 0; i < vms->len; i++) {
            const VmEntry *vm = vms->pdata[i];
            if (*vm->wave != '\0') {
                int *zone = &zones[vm->pool->name[0] - 'a'];
                CU_ASSERT_TRUE(*zone < 0 || *zone == vm->zone);
                *zone = vm->zone;
                working++;
            }
        }
        CU_ASSERT_TRUE(working <= 3);
    }
    CU_ASSERT_STRING_EQUAL(wave_state(&fixture), "done");
    const json_t *wave = AqFleet_Get(fixture.daemon.fleet, AQ_REC_WAVE, "w");
    CU_ASSERT_EQUAL(int_or(wave, "done", 0), 12);
    const GPtrArray *vms = fixture.daemon.fleet->vm_order;
    for (guint i = 0; i < vms->len; i++) {
        const VmEntry *vm = vms->pdata[i];
        const json_t *labels = json_object_get(vm->record, "labels");
        CU_ASSERT_STRING_EQUAL(string_or(labels, "release", ""), "r2");
        CU_ASSERT_EQUAL(vm->state, AQ_VM_SERVING);
    }
    fixture_destroy(&fixture);
}

/* Returns the number of VMs that fail in a wave over 12 VMs when no VM comes
 * up after its reboot; "disabled": FLEET_DISABLE_* flags. */
static int
wave_losses(unsigned disabled)
{
    static const FixturePool pool = {"a", 12, 2, NULL};
    Fixture fixture;
    fixture_create(&fixture, &pool, 1, disabled | FLEET_DISABLE_PLACEMENT);
    for (int i = 0; i < 12; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "a%d", i);
        fake_platform_vm(&fixture.platform, id)->never_returns = true;
    }
    start_wave(&fixture, 2);
    run_planner(&fixture, 7200);
    int lost = count_state(&fixture, AQ_VM_FAILED);
    CU_ASSERT_EQUAL(strcmp(wave_state(&fixture), "stopped") == 0,
                    disabled == 0);
    fixture_destroy(&fixture);
    return lost;
}

/* Guards against a wave that continues although its VMs fail: the wave must
 * stop after two failed VMs.  With FLEET_DISABLE_WAVE_STOP it loses all VMs
 * that the budget of the pool allows to be drained. */
static void
test_wave_stops_itself(void)
{
    CU_ASSERT_EQUAL(wave_losses(0), 2);
    CU_ASSERT_EQUAL(wave_losses(FLEET_DISABLE_WAVE_STOP), 10);
}

/* Guards against a paused wave that still begins reboots of VMs or keeps its
 * VMs out of service; an abort of a wave runs the same code. */
static void
test_wave_pause(void)
{
    Fixture fixture;
    fixture_create(&fixture, two_pools, 2, FLEET_DISABLE_PLACEMENT);
    start_wave(&fixture, 4);
    run_planner(&fixture, 1);
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_DRAINING), 4);
    CU_ASSERT_TRUE(
        run_intent(&fixture, "wave.pause", json_pack("{s:s}", "name", "w")));
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_SERVING), 12);
    run_planner(&fixture, 60);
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_SERVING), 12);
    CU_ASSERT_TRUE(
        run_intent(&fixture, "wave.resume", json_pack("{s:s}", "name", "w")));
    run_planner(&fixture, 1200);
    CU_ASSERT_STRING_EQUAL(wave_state(&fixture), "done");
    fixture_destroy(&fixture);
}

/* Guards against a drain that begins while the VM list shows new failures or
 * is not available, and against budgets that do not count failed VMs. */
static void
test_wave_holds_back(void)
{
    Fixture fixture;
    fixture_create(&fixture, two_pools, 2, FLEET_DISABLE_PLACEMENT);
    GHashTableIter at;
    void *value;
    g_hash_table_iter_init(&at, fixture.platform.vms);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        ((FakeVm *)value)->listed = NULL;
    }
    start_wave(&fixture, 6);
    run_planner_step(&fixture);
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_SERVING), 12);
    fake_platform_fail(fake_platform_vm(&fixture.platform, "a0"), 0);
    fake_platform_fail(fake_platform_vm(&fixture.platform, "a1"), 0);
    fake_platform_vm(&fixture.platform, "b5")->leaving = true;
    fake_platform_advance(&fixture.platform, 5000);
    run_planner_step(&fixture);
    CU_ASSERT_EQUAL(vm_of(&fixture, "a0")->state, AQ_VM_FAILED);
    CU_ASSERT_EQUAL(vm_of(&fixture, "b5")->state, AQ_VM_LEAVING);
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_DRAINING), 0);
    run_planner_step(&fixture);
    /* Pool "a" has 4 VMs serving with min_serving 3, pool "b" 5 VMs with
     * min_serving 4, so each budget allows one VM to be drained. */
    CU_ASSERT_EQUAL(count_state(&fixture, AQ_VM_DRAINING), 2);
    CU_ASSERT_TRUE(
        run_intent(&fixture, "wave.abort", json_pack("{s:s}", "name", "w")));
    fake_platform_fail(fake_platform_vm(&fixture.platform, "a0"),
                       fixture.platform.now_ms + 1000);
    fake_platform_fail(fake_platform_vm(&fixture.platform, "b5"),
                       fixture.platform.now_ms + 1000);
    run_planner(&fixture, 60);
    CU_ASSERT_EQUAL(vm_of(&fixture, "a0")->state, AQ_VM_SERVING);
    CU_ASSERT_EQUAL(vm_of(&fixture, "b5")->state, AQ_VM_SERVING);
    fixture_destroy(&fixture);
}

static AqVmState
state_after(Fixture *fixture, const char *id, int seconds)
{
    run_planner(fixture, seconds);
    return vm_of(fixture, id)->state;
}

/* Guards against a reboot without a time limit, a VM that never returns to
 * service although it comes up after the limit, and a VM that is listed live
 * but fails its health checks being checked again without a delay. */
static void
test_reboot_timeout(void)
{
    Fixture fixture;
    fixture_create(&fixture, two_pools, 2, FLEET_DISABLE_PLACEMENT);
    FakeVm *down = fake_platform_vm(&fixture.platform, "a0");
    FakeVm *sick = fake_platform_vm(&fixture.platform, "b0");
    down->never_returns = true;
    sick->unhealthy = true;
    CU_ASSERT_TRUE(
        run_intent(&fixture, "vm.reboot", json_pack("{s:s}", "id", "a0")));
    CU_ASSERT_TRUE(
        run_intent(&fixture, "vm.reboot", json_pack("{s:s}", "id", "b0")));
    CU_ASSERT_EQUAL(state_after(&fixture, "a0", 590), AQ_VM_REBOOTING);
    CU_ASSERT_EQUAL(state_after(&fixture, "b0", 0), AQ_VM_CHECKING);
    CU_ASSERT_EQUAL(state_after(&fixture, "a0", 30), AQ_VM_FAILED);
    CU_ASSERT_EQUAL(state_after(&fixture, "b0", 0), AQ_VM_FAILED);
    fake_platform_fail(down, fixture.platform.now_ms + 1);
    CU_ASSERT_EQUAL(state_after(&fixture, "a0", 30), AQ_VM_SERVING);
    sick->unhealthy = false;
    CU_ASSERT_EQUAL(state_after(&fixture, "b0", 3400), AQ_VM_FAILED);
    CU_ASSERT_EQUAL(state_after(&fixture, "b0", 300), AQ_VM_SERVING);
    fixture_destroy(&fixture);
}

/* Guards against a wave that starts on a rack before it has finished the VMs
 * of the previous rack. */
static void
test_wave_finishes_racks(void)
{
    static const FixturePool pool = {"a", 12, 8, NULL};
    Fixture fixture;
    fixture_create(&fixture, &pool, 1, FLEET_DISABLE_PLACEMENT);
    start_wave(&fixture, 1);
    int last = -1;
    int changes = 0;
    while (strcmp(wave_state(&fixture), "running") == 0) {
        run_planner(&fixture, 1);
        const GPtrArray *vms = fixture.daemon.fleet->vm_order;
        for (guint i = 0; i < vms->len; i++) {
            const VmEntry *vm = vms->pdata[i];
            if (*vm->wave != '\0') {
                changes += vm->rack != last;
                last = vm->rack;
            }
        }
    }
    /* "changes" counts how often the wave went on to a VM in another rack.
     * The pool has six racks of two VMs, so a wave that finishes each rack
     * before it begins the next enters six racks. */
    CU_ASSERT_EQUAL(changes, 6);
    fixture_destroy(&fixture);
}

/* Returns the seconds of virtual time from the intent vm.reboot for a VM until
 * the VM serves again, when the planner evaluates "dry_runs" steps without a
 * commit before each step that it commits. */
static int
reboot_time(int dry_runs)
{
    Fixture fixture;
    fixture_create(&fixture, two_pools, 2, FLEET_DISABLE_PLACEMENT);
    fixture.platform.reboot_ms = 4000;
    CU_ASSERT_TRUE(
        run_intent(&fixture, "vm.reboot", json_pack("{s:s}", "id", "a0")));
    int seconds = 0;
    while (vm_of(&fixture, "a0")->state != AQ_VM_SERVING && seconds < 600) {
        fake_platform_advance(&fixture.platform, 1000);
        fixture.platform.fleet = fixture.daemon.fleet;
        for (int i = 0; i < dry_runs; i++) {
            json_t *set = json_array();
            json_t *reboots = json_array();
            AqPlanner_Step(fixture.daemon.planner, fixture.daemon.fleet,
                           fixture.platform.now_ms, &fake_platform_view,
                           &fixture.platform, set, reboots);
            json_decref(set);
            json_decref(reboots);
        }
        run_planner_step(&fixture);
        seconds++;
    }
    fixture_destroy(&fixture);
    return seconds;
}

/* Guards against a planner step whose evaluation clears the planner's record
 * that a VM was down.  The daemon evaluates a step once to see whether there
 * is work and again to commit the step; with this fault every reboot took the
 * 30 s of REBOOT_ASSUMED_DONE_MS. */
static void
test_step_can_be_repeated(void)
{
    int once = reboot_time(0);
    CU_ASSERT_TRUE(once < 25);
    CU_ASSERT_EQUAL(reboot_time(1), once);
    CU_ASSERT_EQUAL(reboot_time(2), once);
}

/* Guards against a pool's deficit of VMs that is not filled, a move of a VM
 * whose labels do not match the selector of the pool, and more moves than VMs
 * are missing. */
static void
test_deficit_is_filled(void)
{
    static const FixturePool pools[] = {
        {"a", 5, 4, "big"}, {"b", 6, 3, "small"}, {"spare", 3, 0, NULL}};
    Fixture fixture;
    fixture_create(&fixture, pools, 3, 0);
    fake_platform_fail(fake_platform_vm(&fixture.platform, "a0"), 0);
    fake_platform_fail(fake_platform_vm(&fixture.platform, "a1"), 0);
    run_planner(&fixture, 60);
    const PoolEntry *a = index_pool(fixture.daemon.fleet, "a");
    AqPoolStatus status;
    CU_ASSERT_TRUE(AqFleet_GetPool(fixture.daemon.fleet, "a", &status));
    CU_ASSERT_TRUE(status.serving >= status.min_serving);
    AqList_ForEach(at, &a->vms)
    {
        CU_ASSERT_TRUE(AqList_Entry(at, VmEntry, link)->matches_selector);
    }
    CU_ASSERT_EQUAL(index_pool(fixture.daemon.fleet, "b")->vm_count, 6);
    fixture_destroy(&fixture);
}

/* Returns the number of VM moves between pools in 8 hours of virtual time,
 * during which a VM fails for 5 minutes every 20 minutes; "disabled":
 * FLEET_DISABLE_* flags. */
static int
count_moves(unsigned disabled)
{
    static const FixturePool pools[] = {
        {"a", 6, 4, NULL}, {"b", 6, 4, NULL}, {"spare", 3, 0, NULL}};
    Fixture fixture;
    fixture_create(&fixture, pools, 3, disabled);
    int moves = 0;
    for (int i = 0; i < 24; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "%c%d", i % 2 == 0 ? 'a' : 'b', i / 2 % 6);
        FakeVm *vm = fake_platform_vm(&fixture.platform, id);
        fake_platform_fail(vm, fixture.platform.now_ms + 300000);
        for (int second = 0; second < 1200; second++) {
            int64_t now = fixture.platform.now_ms + 1000;
            run_planner(&fixture, 1);
            const GPtrArray *vms = fixture.daemon.fleet->vm_order;
            for (guint v = 0; v < vms->len; v++) {
                moves += ((const VmEntry *)vms->pdata[v])->moved_at_ms == now;
            }
        }
    }
    fixture_destroy(&fixture);
    return moves;
}

/* Guards against VMs that move back and forth between pools with every short
 * failure of a VM. */
static void
test_hysteresis(void)
{
    int with = count_moves(0);
    int without = count_moves(FLEET_DISABLE_HYSTERESIS);
    fprintf(stderr, "%d moves, %d without hysteresis ", with, without);
    CU_ASSERT_TRUE(with <= 8);
    CU_ASSERT_TRUE(without > 2 * with);
}

/* Guards against a planner step that takes much longer than one scan of the
 * VMs at the design size of about 900 VMs.  The bound of 100 ms allows for a
 * sanitizer build on a busy machine. */
static void
test_decision_time(void)
{
    FixturePool pools[53];
    char names[53][8];
    for (int i = 0; i < 53; i++) {
        g_snprintf(names[i], sizeof(names[i]), "p%d-", i);
        pools[i] = (FixturePool){names[i], 17, 13, NULL};
    }
    Fixture fixture;
    fixture_create(&fixture, pools, 53, 0);
    start_wave(&fixture, 20);
    fake_platform_advance(&fixture.platform, 4000);
    fixture.platform.fleet = fixture.daemon.fleet;
    clock_t from = clock();
    for (int i = 0; i < 20; i++) {
        json_t *set = json_array();
        json_t *reboots = json_array();
        AqPlanner_Step(fixture.daemon.planner, fixture.daemon.fleet,
                       fixture.platform.now_ms, &fake_platform_view,
                       &fixture.platform, set, reboots);
        CU_ASSERT_TRUE(json_array_size(set) >= 20);
        json_decref(set);
        json_decref(reboots);
    }
    double ms = (double)(clock() - from) * 1000 / CLOCKS_PER_SEC / 20;
    fprintf(stderr, "%.2f ms per step for 901 VMs ", ms);
    CU_ASSERT_TRUE(ms < 100);
    fixture_destroy(&fixture);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("planner", NULL, NULL);
    CU_ADD_TEST(suite, test_wave);
    CU_ADD_TEST(suite, test_wave_finishes_racks);
    CU_ADD_TEST(suite, test_wave_stops_itself);
    CU_ADD_TEST(suite, test_wave_pause);
    CU_ADD_TEST(suite, test_wave_holds_back);
    CU_ADD_TEST(suite, test_reboot_timeout);
    CU_ADD_TEST(suite, test_step_can_be_repeated);
    CU_ADD_TEST(suite, test_deficit_is_filled);
    CU_ADD_TEST(suite, test_hysteresis);
    CU_ADD_TEST(suite, test_decision_time);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
