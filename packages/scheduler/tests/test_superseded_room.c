#include <CUnit/Basic.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"

static void
answer_with_ends(Fixture *f, const char *vm, unsigned first_start,
                 unsigned count)
{
    AqEndedTask ends[8] = {0};
    for (unsigned i = 0; i < count; i++) {
        const FixtureStart *start =
            &g_array_index(f->starts, FixtureStart, first_start + i);
        ends[i] = (AqEndedTask){.number = i + 1,
                                .task = start->task,
                                .run = start->run,
                                .kind = AQ_END_DONE,
                                .checkpoint = ""};
    }
    AqOrderReply reply = {.result = AQ_ORDER_DONE,
                          .clock_ms = f->now,
                          .ended = ends,
                          .ended_count = count};
    AqScheduler_OnRenewal(f->s, vm, f->now - 5, &reply, f->now);
}

static unsigned
count_starts_on(const Fixture *f, const char *vm)
{
    unsigned count = 0;
    for (guint i = 0; i < f->starts->len; i++) {
        count += strcmp(g_array_index(f->starts, FixtureStart, i).vm, vm) == 0;
    }
    return count;
}

/* Guards against more tasks of a step on a VM than the step allows: copies of
 * two tasks are ordered on the VM, the first runs turn out to be done, so the
 * copies are stopped, and the VM's next reply does not list them yet because
 * their late starts arrive after it. */
static void
test_unlisted_copies_keep_their_room(void)
{
    static const AqStepSpec step = {.task_count = 4,
                                    .cpu_millis = 100,
                                    .memory_mb = 1,
                                    .estimate_ms = 5000,
                                    .allows_copies = true,
                                    .max_per_vm = 2};
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm-1");
    fixture_add_vm(&f, "vm-2");
    fixture_add_job(&f, "a1", &step);
    fixture_tick(&f, 20);
    CU_ASSERT_EQUAL_FATAL(f.starts->len, 4);
    for (unsigned i = 0; i < 4; i++) {
        fixture_answer_start(&f, i, AQ_ORDER_DONE);
    }
    fixture_add_vm(&f, "vm-3");
    /* Both VMs fall silent; the copies of two tasks fit on the third. */
    fixture_answer_renewal(&f, "vm-1", AQ_ORDER_UNKNOWN);
    fixture_answer_renewal(&f, "vm-2", AQ_ORDER_UNKNOWN);
    fixture_tick(&f, 1000);
    CU_ASSERT_EQUAL(count_starts_on(&f, "vm-3"), 2);
    const char *silent = g_array_index(f.starts, FixtureStart, 0).vm;
    unsigned first = 0;
    while (strcmp(g_array_index(f.starts, FixtureStart, first).vm, silent) !=
           0) {
        first++;
    }
    /* The first two tasks ended on their first VM, which gets no others. */
    AqScheduler_SetCordon(f.s, silent, true);
    answer_with_ends(&f, silent, first, 2);
    fixture_answer_renewal(&f, "vm-3", AQ_ORDER_DONE);
    fixture_tick(&f, 100);
    CU_ASSERT_EQUAL(count_starts_on(&f, "vm-3"), 2);
    fixture_tear_down(&f);
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("superseded_room", NULL, NULL);
    CU_ADD_TEST(suite, test_unlisted_copies_keep_their_room);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
