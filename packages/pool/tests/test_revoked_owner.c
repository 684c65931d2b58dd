#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site_sim.h"

/* Tests of an owner whose key the store removes while the lease of its node
 * goes on, so that another node claims the pool, and of which the owner hears
 * late.  Each case guards against two live runs of one task.
 *
 * "test_revoked_owner CASE [trace]" runs one of them. */

enum {
    POOL_VMS = 1 | 1 << 2 | 1 << 4, /* bits of the VMs of pool 0 */
    LONG_MS = 60000,
    /* Times after its last reply at which an owner gives up a silent VM's
     * runs, and after which it sends no orders without an answer to the
     * renewal of its lease. */
    LAPSE_MS = 5210,
    OWNER_MS = 2000
};

typedef struct {
    Sim *sim;
    unsigned owner; /* of pool 0 */
    unsigned vm;    /* number of the VM that runs the pool's only task */
} Fixture;

static void
set_up(Fixture *fixture)
{
    Sim *sim = sim_create(1);
    fixture->sim = sim;
    sim_run(sim, 2500);
    fixture->owner = (unsigned)sim_owner(sim, 0);
    sim_add_task(sim, LONG_MS);
    sim_run(sim, 500);
    fixture->vm = (unsigned)sim_find_run(sim, 0);
    CU_ASSERT_TRUE_FATAL(fixture->owner < SIM_NODES && fixture->vm < SIM_VMS);
}

static void
check_and_tear_down(Fixture *fixture)
{
    if (fixture->sim->violation[0] != '\0') {
        printf("%s\n", fixture->sim->violation);
    }
    CU_ASSERT_STRING_EQUAL(fixture->sim->violation, "");
    CU_ASSERT_TRUE(fixture->sim->start_count > 0);
    sim_destroy(fixture->sim);
}

/* Cuts the VMs off from all nodes but the owner. */
static void
cut_others(const Fixture *fixture, unsigned vms)
{
    for (unsigned i = 0; i < SIM_NODES; i++) {
        if (i != fixture->owner) {
            sim_cut_vms(fixture->sim, i, LONG_MS, vms);
        }
    }
}

/* Returns the number of the pool's next owner. */
static unsigned
wait_for_owner(const Fixture *fixture, AqTime end)
{
    Sim *sim = fixture->sim;
    while (sim_owner(sim, 0) < 0 && sim->now < end) {
        sim_run(sim, SIM_STEP_MS);
    }
    CU_ASSERT_TRUE_FATAL(sim_owner(sim, 0) >= 0);
    return (unsigned)sim_owner(sim, 0);
}

/* The owner reaches all VMs but the task's, the others only that one.  The
 * owner's key goes "active_ms" before the owner gives the task's run up. */
static void
lapse_after_takeover(AqTime active_ms)
{
    Fixture fixture;
    set_up(&fixture);
    Sim *sim = fixture.sim;
    cut_others(&fixture, POOL_VMS & ~(1U << fixture.vm));
    sim_cut_vms(sim, fixture.owner, LONG_MS, 1U << fixture.vm);
    sim_run(sim, LAPSE_MS - active_ms);
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_store_revoke(sim, fixture.owner);
    sim_run(sim, 10000);
    check_and_tear_down(&fixture);
}

/* Guards against an owner that starts a task again because the lease that it
 * granted to a silent VM has lapsed, while its successor, which reaches that
 * VM, has extended the lease: within the time for which the successor expects
 * orders of its predecessor. */
static void
test_lapse_soon_after_takeover(void)
{
    lapse_after_takeover(OWNER_MS / 2);
}

/* Guards against the same when the owner hears nothing of the loss of its key
 * for longer, while the renewals of its node's lease are answered. */
static void
test_lapse_long_after_takeover(void)
{
    lapse_after_takeover(OWNER_MS * 3 / 2);
}

/* Guards against an owner that has sent no orders, since the renewals of its
 * lease were not answered, and begins again when they are, although its key
 * has gone and its successor no longer expects orders from it: it extends the
 * lease of a VM that the successor does not reach and takes as lapsed. */
static void
test_orders_begin_again(void)
{
    Fixture fixture;
    set_up(&fixture);
    Sim *sim = fixture.sim;
    cut_others(&fixture, 1U << fixture.vm);
    sim_cut_vms(sim, fixture.owner, LONG_MS, POOL_VMS & ~(1U << fixture.vm));
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_ANSWERS, SIM_CALL_ANY);
    sim_run(sim, 2000);
    sim_store_revoke(sim, fixture.owner);
    sim_run(sim, 2500);
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_run(sim, 10000);
    check_and_tear_down(&fixture);
}

/* Guards against an owner that waits too short for the leases of silent VMs:
 * its predecessor has released the pool, but the owner before that one was
 * active until after the release, within the time for which the predecessor
 * expected its orders. */
static void
test_release_soon_after_takeover(void)
{
    Fixture fixture;
    set_up(&fixture);
    Sim *sim = fixture.sim;
    cut_others(&fixture, 1U << fixture.vm);
    sim_cut_vms(sim, fixture.owner, LONG_MS, POOL_VMS & ~(1U << fixture.vm));
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_store_revoke(sim, fixture.owner);
    AqTime end = sim->now + OWNER_MS - 100;
    unsigned next = wait_for_owner(&fixture, end);
    sim_run(sim, 100);
    sim_stop_node(sim, next, LONG_MS);
    sim_run(sim, end - sim->now);
    sim_kill_node(sim, fixture.owner, LONG_MS);
    sim_run(sim, 10000);
    check_and_tear_down(&fixture);
}

/* Guards against an owner that takes a VM's refusal for a proof that the VM
 * refuses the orders of its predecessor: the refused order had no effect, and
 * the predecessor, which is active for a while, extends the VM's lease. */
static void
test_refusal_soon_after_takeover(void)
{
    Fixture fixture;
    set_up(&fixture);
    Sim *sim = fixture.sim;
    sim_cut_vms(sim, fixture.owner, LONG_MS, POOL_VMS & ~(1U << fixture.vm));
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_vm_trouble(sim, fixture.vm, SIM_VM_REFUSES, OWNER_MS / 2, 1000);
    sim_store_revoke(sim, fixture.owner);
    sim_run(sim, OWNER_MS / 2 - 50);
    cut_others(&fixture, 1U << fixture.vm);
    sim_run(sim, OWNER_MS / 2 - 50);
    sim_kill_node(sim, fixture.owner, LONG_MS);
    sim_run(sim, 10000);
    check_and_tear_down(&fixture);
}

/* Guards against an owner that takes a job for one that its predecessor cannot
 * have started, since it sees the job late: the job was stored while the
 * predecessor was still active. */
static void
test_job_seen_late(void)
{
    Fixture fixture;
    set_up(&fixture);
    Sim *sim = fixture.sim;
    cut_others(&fixture, 1U << fixture.vm);
    sim_cut_vms(sim, fixture.owner, LONG_MS, POOL_VMS & ~(1U << fixture.vm));
    /* Only the watch of the owner keys is lost, since nothing else changes. */
    sim_cut_store(sim, fixture.owner, SIM_STEP_MS, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_store_revoke(sim, fixture.owner);
    AqTime end = sim->now + OWNER_MS - 100;
    /* The reads by which the owner would learn of its successor are lost. */
    sim_cut_store(sim, fixture.owner, LONG_MS, SIM_CUT_SILENT, SIM_CALL_LIST);
    unsigned next = wait_for_owner(&fixture, end);
    sim_run(sim, OWNER_MS / 4);
    sim_cut_store(sim, next, end + OWNER_MS / 4 - sim->now, SIM_CUT_SILENT,
                  SIM_CALL_CHANGES);
    sim_add_task(sim, LONG_MS);
    sim_run(sim, end - sim->now);
    CU_ASSERT_EQUAL(sim->start_count, 2);
    sim_kill_node(sim, fixture.owner, LONG_MS);
    sim_run(sim, 10000);
    check_and_tear_down(&fixture);
}

static const struct {
    const char *name;
    CU_TestFunc fn;
} cases[] = {
    {"lapse_soon_after_takeover", test_lapse_soon_after_takeover},
    {"lapse_long_after_takeover", test_lapse_long_after_takeover},
    {"orders_begin_again", test_orders_begin_again},
    {"release_soon_after_takeover", test_release_soon_after_takeover},
    {"refusal_soon_after_takeover", test_refusal_soon_after_takeover},
    {"job_seen_late", test_job_seen_late},
};

int
main(int argc, char **argv)
{
    sim_set_trace(argc > 2);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("revoked_owner", NULL, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        if (argc < 2 || strcmp(argv[1], cases[i].name) == 0) {
            CU_add_test(suite, cases[i].name, cases[i].fn);
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    unsigned run = CU_get_number_of_tests_run();
    CU_cleanup_registry();
    return failed == 0 && run > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
