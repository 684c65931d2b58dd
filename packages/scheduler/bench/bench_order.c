#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "aq_log.h"
#include "order_fixture.h"
#include "scheduler_internal.h"

/* Measures what the start of a task costs the scheduler in a full pool, for
 * jobs of several numbers of workspaces.  In each round some tasks end and
 * others take their room.  The figures depend on the machine and on what else
 * it does. */

enum {
    VMS = 300,
    TASKS_PER_VM = 10,
    TASKS = 8,
    WAITING_JOBS = 1000,
    ENDS_PER_ROUND = 60,
    ROUNDS = 1000,
    ROUND_MS = 5,
    FILLING_TICKS = 40,  /* until the start window has let all start */
    OBJECTIVE_MS = 60000 /* no job is late */
};

static unsigned job_count;

static void
add_job(Fixture *f, unsigned workspaces)
{
    static const AqStepSpec step = {.task_count = TASKS,
                                    .cpu_millis =
                                        FIXTURE_VM_CPU_MILLIS / TASKS_PER_VM,
                                    .memory_mb = 10,
                                    .estimate_ms = 1000};
    char id[AQ_JOB_ID_SIZE];
    char workspace[16];
    snprintf(id, sizeof(id), "%u", job_count);
    /* Half of the jobs come from one workspace. */
    snprintf(workspace, sizeof(workspace), "w%u",
             job_count % 2 == 0 ? 0 : job_count / 2 % (workspaces + 1));
    fixture_add_job_of(f, id, workspaces > 0 ? workspace : NULL, "queue",
                       &step);
    job_count++;
}

static void
confirm_starts(Fixture *f, unsigned *next)
{
    for (; *next < f->starts->len; (*next)++) {
        fixture_answer_start(f, *next, AQ_ORDER_DONE);
    }
}

/* Ends the tasks that started first.  Returns how many jobs have ended. */
static unsigned
end_tasks(Fixture *f, unsigned *first)
{
    unsigned ended = 0;
    for (unsigned i = 0; i < ENDS_PER_ROUND; i++) {
        const FixtureStart *start =
            &g_array_index(f->starts, FixtureStart, (*first)++);
        Task *task = scheduler_find_task(f->s, &start->task);
        scheduler_task_done(f->s, task);
        ended += scheduler_is_finished(task->step->occurrence->job);
    }
    return ended;
}

static void
add_vms(Fixture *f)
{
    char id[AQ_VM_ID_SIZE];
    for (unsigned i = 0; i < VMS; i++) {
        snprintf(id, sizeof(id), "i-%u", i);
        AqVmReport report = fixture_report(id);
        AqScheduler_SetVm(f->s, &report, f->now);
    }
    AqScheduler_UsedVmsSaved(f->s, AqScheduler_UsedVmsVersion(f->s));
    fixture_tick(f, 20);
    for (unsigned i = 0; i < VMS; i++) {
        snprintf(id, sizeof(id), "i-%u", i);
        fixture_answer_renewal(f, id, AQ_ORDER_DONE);
    }
}

static double
measure(unsigned workspaces)
{
    Fixture f;
    unsigned answered = 0;
    unsigned first = 0;
    clock_t spent = 0;
    job_count = 0;
    fixture_set_up_loaded(&f);
    f.queue.stretch = 1.6;
    f.queue.target_ms = OBJECTIVE_MS;
    add_vms(&f);
    while (job_count < WAITING_JOBS + VMS * TASKS_PER_VM / TASKS) {
        add_job(&f, workspaces);
    }
    for (unsigned i = 0; i < FILLING_TICKS; i++) {
        fixture_tick(&f, 20);
        confirm_starts(&f, &answered);
    }
    unsigned before = f.starts->len;
    for (unsigned i = 0; i < ROUNDS; i++) {
        for (unsigned ended = end_tasks(&f, &first); ended > 0; ended--) {
            add_job(&f, workspaces);
        }
        f.s->placement_due = true;
        f.now += ROUND_MS;
        f.s->now = f.now;
        clock_t start = clock();
        placement_run(f.s);
        spent += clock() - start;
        confirm_starts(&f, &answered);
    }
    double us = 1e6 * (double)spent / CLOCKS_PER_SEC /
                (double)(f.starts->len - before);
    AqScheduler_Destroy(f.s);
    g_array_free(f.starts, TRUE);
    g_array_free(f.stops, TRUE);
    return us;
}

static void
bench_order(void)
{
    enum {
        REPEATS = 5 /* the least counts: other load only adds time */
    };
    static const unsigned counts[] = {0, 20, 1000};
    double least[G_N_ELEMENTS(counts)] = {0.0};
    for (int repeat = 0; repeat < REPEATS; repeat++) {
        for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
            double us = measure(counts[i]);
            least[i] = repeat == 0 || us < least[i] ? us : least[i];
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
        printf("%u workspaces: %.2f us a start, %.2f times that without\n",
               counts[i], least[i], least[i] / least[0]);
    }
}

int
main(void)
{
    AqLog_Start("bench", AQ_LOG_ERROR);
    /* The fixture asserts. */
    CU_initialize_registry();
    CU_add_test(CU_add_suite("order", NULL, NULL), "order", bench_order);
    CU_basic_run_tests();
    CU_cleanup_registry();
    return EXIT_SUCCESS;
}
