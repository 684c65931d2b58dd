#include <CUnit/Basic.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "order_fixture.h"
#include "sim.h"

/* Shares of workspaces in a pool that has less room than work: SIM_VMS VMs of
 * SIM_VM_CPU_MILLIS, which run 10 jobs of "checks" a second. */

enum {
    MAX_SENDERS = 12,
    MAX_JOBS = 600,
    /* objective of a job of two steps of 400 ms in the sim's queue */
    AIM_MS = 800 * 16 / 10 + 600,
    LATE_FACTOR = 3
};

typedef struct {
    const char *workspace;
    double weight;
    double jobs_per_s;
    unsigned tasks; /* of each of two steps of 400 ms */
    int64_t cpu_millis;
    int64_t memory_mb;
} Sender;

typedef struct {
    size_t sender;
    AqTime sent_at;
    char id[AQ_JOB_ID_SIZE];
    bool is_done;
} Sent;

typedef struct {
    unsigned asked;
    unsigned in_aim;
    unsigned late;
} Outcome;

typedef struct {
    const Sender *senders;
    size_t count;
    AqTime for_ms;
    /* all arrivals of PERIOD_MS come in its first quarter */
    bool has_turns;
    uint64_t seed;
} Load;

static void
add_job(Sim *sim, const Sender *sender, const char *id)
{
    AqJobSpec spec = {.step_count = 2};
    g_strlcpy(spec.id, id, sizeof(spec.id));
    spec.workspace = strdup(sender->workspace);
    spec.steps = calloc(2, sizeof(*spec.steps));
    for (size_t i = 0; i < 2; i++) {
        spec.steps[i] = (AqStepSpec){.task_count = sender->tasks,
                                     .cpu_millis = sender->cpu_millis,
                                     .memory_mb = sender->memory_mb,
                                     .estimate_ms = 400};
    }
    spec.steps[1].after = calloc(1, sizeof(*spec.steps[1].after));
    spec.steps[1].after_count = 1;
    sim_add_job(sim, &spec);
}

static void
note_ends(const Sim *sim, Sent *sent, size_t count, Outcome *outcomes)
{
    for (size_t i = 0; i < count; i++) {
        if (sent[i].is_done ||
            sim_stage(sim, sent[i].id) != AQ_STAGE_COMPLETED) {
            continue;
        }
        AqTime took = sim_now(sim) - sent[i].sent_at;
        Outcome *outcome = &outcomes[sent[i].sender];
        sent[i].is_done = true;
        outcome->in_aim += took <= AIM_MS;
        outcome->late += took > AIM_MS && took <= LATE_FACTOR * AIM_MS;
    }
}

static void
play(const Load *load, bool has_shares, Outcome *outcomes)
{
    enum {
        STEP_MS = 20,
        PERIOD_MS = 5000
    };
    static Sent sent[MAX_JOBS];
    AqWorkspaceConfig workspaces[MAX_SENDERS];
    AqRandom random;
    size_t jobs = 0;
    Sim *sim = sim_create(load->seed);
    AqRandom_Seed(&random, load->seed);
    memset(workspaces, 0, sizeof(workspaces));
    memset(outcomes, 0, load->count * sizeof(*outcomes));
    for (size_t i = 0; i < load->count; i++) {
        workspaces[i].name = (char *)load->senders[i].workspace;
        workspaces[i].weight = load->senders[i].weight;
    }
    sim_set_workspaces(sim, workspaces, load->count);
    if (!has_shares) {
        AqScheduler_DisableShares(sim_scheduler(sim));
    }
    sim_run(sim, 1000);
    for (AqTime t = 0; t < load->for_ms + LATE_FACTOR * AIM_MS; t += STEP_MS) {
        for (size_t i = 0; i < load->count && t < load->for_ms; i++) {
            double rate = load->senders[i].jobs_per_s;
            if (load->has_turns) {
                rate *= t % PERIOD_MS < PERIOD_MS / 4 ? 4.0 : 0.0;
            }
            if (AqRandom_Unit(&random) < rate * STEP_MS / 1000.0 &&
                jobs < MAX_JOBS) {
                Sent *job = &sent[jobs++];
                *job = (Sent){.sender = i, .sent_at = sim_now(sim)};
                snprintf(job->id, sizeof(job->id), "%016zx", jobs);
                outcomes[i].asked++;
                add_job(sim, &load->senders[i], job->id);
            }
        }
        sim_run(sim, STEP_MS);
        note_ends(sim, sent, jobs, outcomes);
    }
    CU_ASSERT_PTR_NULL(sim_violation(sim));
    sim_destroy(sim);
}

/* ---- One placement ------------------------------------------------------ */

typedef struct {
    const char *workspace; /* NULL: none */
    const char *queue;     /* NULL: "queue" */
    unsigned jobs;         /* of one task each */
    int64_t cpu_millis;
    int64_t memory_mb;
    bool is_perpetual;
} Batch;

typedef struct {
    const char *name;
    Batch batches[4];
    /* workspaces of the tasks that start on an empty VM, in the order of their
     * starts; "-": none */
    const char *starts;
    /* the same if shares do not count */
    const char *starts_without;
} Case;

/* The VM has FIXTURE_VM_CPU_MILLIS, 4000, and 1000 MB. */
static const Case cases[] = {
    /* a light workspace's job waits behind all jobs of a hot one */
    {"hot beside light",
     {{"h", NULL, 7, 1000, 10, false}, {"l", NULL, 1, 1000, 10, false}},
     "hhhl",
     "hhhh"},
    /* workspaces get equal parts although their weights differ */
    {"weights 1, 2 and 4",
     {{"x", NULL, 7, 571, 10, false},
      {"y", NULL, 7, 571, 10, false},
      {"z", NULL, 7, 571, 10, false}},
     "xyyzzzz",
     "xxxxxxx"},
    /* room stays empty because the only workspace has used up its share */
    {"one workspace alone", {{"h", NULL, 7, 1000, 10, false}}, "hhhh", "hhhh"},
    /* a part of the room that others do not want stays empty */
    {"light ones leave room",
     {{"h", NULL, 7, 500, 10, false},
      {"l", NULL, 1, 500, 10, false},
      {"m", NULL, 1, 500, 10, false}},
     "hhhhhhlm",
     "hhhhhhhl"},
    /* only CPU counts, so that a workspace takes all memory */
    {"memory-heavy beside CPU-heavy",
     {{"h", NULL, 6, 100, 250, false}, {"l", NULL, 6, 1000, 25, false}},
     "hhhlll",
     "hhhh"},
    /* a share goes before the priority of the queue */
    {"priority beats share",
     {{"l", "low", 1, 1000, 10, false}, {"h", NULL, 7, 1000, 10, false}},
     "hhhh",
     "hhhh"},
    /* perpetual tasks do not count, so that their workspace gets as much again
     * for its other tasks */
    {"perpetual tasks count",
     {{"h", NULL, 1, 2000, 10, true},
      {"h", NULL, 4, 500, 10, false},
      {"l", NULL, 4, 500, 10, false}},
     "hllll",
     "hhhhh"},
    /* a workspace that the configuration does not list, or lists without a
     * weight, starts nothing */
    {"unlisted workspace and weight 0",
     {{"h", NULL, 7, 1000, 10, false},
      {"unlisted", NULL, 7, 1000, 10, false},
      {"0", NULL, 7, 1000, 10, false}},
     "hu0h",
     "hhhh"},
    /* jobs without a workspace take all room, or get none */
    {"jobs without a workspace",
     {{NULL, NULL, 7, 1000, 10, false}, {"h", NULL, 7, 1000, 10, false}},
     "--hh",
     "----"},
    /* the order changes although there is room for all */
    {"room for all",
     {{"h", NULL, 3, 1000, 10, false}, {"l", NULL, 1, 1000, 10, false}},
     "hhhl",
     "hhhl"},
};

static char
first_letter(const char *workspace)
{
    return workspace != NULL ? workspace[0] : '-';
}

static void
get_starts(const Case *tested, bool has_shares, char starts[64])
{
    static AqWorkspaceConfig workspaces[] = {
        {.name = "h", .weight = 1}, {.name = "l", .weight = 1},
        {.name = "m", .weight = 1}, {.name = "x", .weight = 1},
        {.name = "y", .weight = 2}, {.name = "z", .weight = 4},
        {.name = "0", .weight = 0}};
    static AqQueueConfig queues[] = {
        {.name = "queue", .pool = "pool", .target_ms = 600, .stretch = 1.6},
        {.name = "low", .pool = "pool", .priority = 1}};
    Fixture f;
    unsigned jobs = 0;
    fixture_set_up_loaded(&f);
    f.site = (AqSiteConfig){.queues = queues,
                            .queue_count = G_N_ELEMENTS(queues),
                            .workspaces = workspaces,
                            .workspace_count = G_N_ELEMENTS(workspaces)};
    AqScheduler_SetSite(f.s, &f.site);
    if (!has_shares) {
        AqScheduler_DisableShares(f.s);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(tested->batches); i++) {
        const Batch *batch = &tested->batches[i];
        for (unsigned j = 0; j < batch->jobs; j++) {
            AqStepSpec step = {.task_count = 1,
                               .cpu_millis = batch->cpu_millis,
                               .memory_mb = batch->memory_mb,
                               .estimate_ms = 1000,
                               .is_perpetual = batch->is_perpetual};
            char id[AQ_JOB_ID_SIZE];
            snprintf(id, sizeof(id), "%c-%u", first_letter(batch->workspace),
                     jobs++);
            /* Jobs of the same work are placed in the order of their
             * submission. */
            fixture_tick(&f, 20);
            fixture_add_job_of(&f, id, batch->workspace,
                               batch->queue != NULL ? batch->queue : "queue",
                               &step);
        }
    }
    fixture_add_vm(&f, "i-1");
    fixture_tick(&f, 20);
    for (unsigned i = 0; i < f.starts->len; i++) {
        starts[i] = g_array_index(f.starts, FixtureStart, i).task.job[0];
    }
    starts[f.starts->len] = '\0';
    fixture_tear_down(&f);
}

static void
test_one_placement(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char starts[64];
        get_starts(&cases[i], true, starts);
        CU_ASSERT_STRING_EQUAL(starts, cases[i].starts);
        if (strcmp(starts, cases[i].starts) != 0) {
            printf("%s: %s\n", cases[i].name, starts);
        }
        get_starts(&cases[i], false, starts);
        CU_ASSERT_STRING_EQUAL(starts, cases[i].starts_without);
        if (strcmp(starts, cases[i].starts_without) != 0) {
            printf("%s, without shares: %s\n", cases[i].name, starts);
        }
    }
}

/* A configuration without workspaces gets another order than before. */
static void
test_no_workspaces(void)
{
    for (uint64_t seed = 1; seed <= 50; seed++) {
        GArray *starts[2];
        for (int has_shares = 0; has_shares < 2; has_shares++) {
            AqRandom random;
            Fixture f;
            AqRandom_Seed(&random, seed);
            fixture_set_up_loaded(&f);
            if (!has_shares) {
                AqScheduler_DisableShares(f.s);
            }
            for (unsigned i = 0; i < 40; i++) {
                AqStepSpec step = {
                    .task_count = 1 + (uint32_t)AqRandom_Below(&random, 4),
                    .cpu_millis = 100 + (int64_t)AqRandom_Below(&random, 1000),
                    .memory_mb = 10 + (int64_t)AqRandom_Below(&random, 200),
                    .estimate_ms =
                        100 + (int64_t)AqRandom_Below(&random, 2000),
                    .is_perpetual = AqRandom_Below(&random, 10) == 0};
                char id[AQ_JOB_ID_SIZE];
                snprintf(id, sizeof(id), "%u", i);
                fixture_tick(&f, (AqTime)AqRandom_Below(&random, 100));
                fixture_add_job(&f, id, &step);
            }
            fixture_add_vm(&f, "i-1");
            fixture_add_vm(&f, "i-2");
            fixture_tick(&f, 20);
            starts[has_shares] = g_array_ref(f.starts);
            fixture_tear_down(&f);
        }
        CU_ASSERT_EQUAL(starts[0]->len, starts[1]->len);
        for (unsigned i = 0; i < MIN(starts[0]->len, starts[1]->len); i++) {
            const FixtureStart *a = &g_array_index(starts[0], FixtureStart, i);
            const FixtureStart *b = &g_array_index(starts[1], FixtureStart, i);
            CU_ASSERT_STRING_EQUAL(a->task.job, b->task.job);
            CU_ASSERT_EQUAL(a->task.index, b->task.index);
            CU_ASSERT_STRING_EQUAL(a->vm, b->vm);
        }
        g_array_unref(starts[0]);
        g_array_unref(starts[1]);
    }
}

/* An operator does not see which workspace waits, or sees more workspaces than
 * metrics may have labels. */
static void
test_waits_shown(void)
{
    static AqWorkspaceConfig workspaces[] = {{.name = "h", .weight = 1},
                                             {.name = "l", .weight = 2}};
    static const AqStepSpec step = {.task_count = 1,
                                    .cpu_millis = FIXTURE_VM_CPU_MILLIS / 4,
                                    .estimate_ms = 1000};
    AqWorkspaceShare shares[2];
    Fixture f;
    fixture_set_up_loaded(&f);
    f.site.workspaces = workspaces;
    f.site.workspace_count = 2;
    AqScheduler_SetSite(f.s, &f.site);
    fixture_add_vm(&f, "i-1");
    fixture_add_job_of(&f, "h-1", "h", "queue", &step);
    fixture_add_job_of(&f, "h-2", "h", "queue", &step);
    fixture_add_job_of(&f, "h-3", "h", "queue", &step);
    fixture_add_job_of(&f, "h-4", "h", "queue", &step);
    fixture_tick(&f, 100);
    fixture_add_job_of(&f, "l-1", "l", "queue", &step);
    fixture_tick(&f, 200);
    CU_ASSERT_EQUAL(AqScheduler_GetShares(f.s, f.now, shares, 2), 2);
    CU_ASSERT_STRING_EQUAL(shares[0].name, "l");
    CU_ASSERT_EQUAL(shares[0].ready_tasks, 1);
    CU_ASSERT_EQUAL(shares[0].longest_wait_ms, 200);
    CU_ASSERT_EQUAL(shares[0].weight, 2.0);
    CU_ASSERT_EQUAL(shares[0].share, 0.0);
    CU_ASSERT_STRING_EQUAL(shares[1].name, "h");
    CU_ASSERT_EQUAL(shares[1].longest_wait_ms, 0);
    CU_ASSERT_EQUAL(shares[1].share, 1.0);
    CU_ASSERT_EQUAL(AqScheduler_GetShares(f.s, f.now, shares, 1), 1);
    fixture_tear_down(&f);
}

/* ---- Load over time ----------------------------------------------------- */

static double
part_in_aim(const Outcome *outcome)
{
    return (double)outcome->in_aim / outcome->asked;
}

/* A workspace with 7 times its usual jobs takes the room of light ones in a
 * full pool, so that their jobs are late. */
static void
test_hot_workspace(void)
{
    enum {
        COUNT = 9
    };
    static const char *const names[COUNT] = {"h", "a", "b", "c", "d",
                                             "e", "f", "g", "i"};
    Sender senders[COUNT];
    for (size_t i = 0; i < COUNT; i++) {
        senders[i] = (Sender){names[i], 1, i == 0 ? 7 : 1, 4, 4000, 100};
    }
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Load load = {senders, COUNT, 10000, false, seed};
        for (int has_shares = 0; has_shares < 2; has_shares++) {
            Outcome outcomes[COUNT];
            double worst = 1.0;
            play(&load, has_shares, outcomes);
            for (size_t i = 1; i < COUNT; i++) {
                worst = fmin(worst, part_in_aim(&outcomes[i]));
            }
            printf("worst light workspace %.3f in aim; ", worst);
            CU_ASSERT_EQUAL(worst >= 0.8, has_shares);
        }
    }
}

/* A workspace that is alone in the pool, or whose neighbours want little,
 * leaves room unused because of its share. */
static void
test_alone(void)
{
    static const Sender senders[] = {{"h", 1, 14, 4, 4000, 100},
                                     {"l", 1, 0.2, 4, 4000, 100}};
    for (size_t count = 1; count <= 2; count++) {
        Load load = {senders, count, 10000, false, 1};
        Outcome with[2];
        Outcome without[2];
        play(&load, true, with);
        play(&load, false, without);
        CU_ASSERT(with[0].in_aim + with[0].late + 5 >=
                  without[0].in_aim + without[0].late);
    }
}

/* At a turn's height, 4 times the mean for a quarter of each 5 s in a pool
 * with room for the mean, small jobs take all room, so that no wide job of
 * another workspace ends in time. */
static void
test_small_beside_wide(void)
{
    enum {
        SMALL,
        WIDE,
        KINDS
    };
    static const Sender senders[] = {{"w", 1, 2, 8, 4000, 100},
                                     {"s", 1, 6, 4, 2000, 100},
                                     {"t", 1, 6, 4, 2000, 100}};
    for (int has_shares = 0; has_shares < 2; has_shares++) {
        Outcome sums[KINDS] = {{0, 0, 0}, {0, 0, 0}};
        for (uint64_t seed = 1; seed <= 4; seed++) {
            Load load = {senders, 3, 20000, true, seed};
            Outcome outcomes[3];
            play(&load, has_shares, outcomes);
            for (size_t i = 0; i < 3; i++) {
                Outcome *sum = &sums[i == 0 ? WIDE : SMALL];
                sum->asked += outcomes[i].asked;
                sum->in_aim += outcomes[i].in_aim;
            }
        }
        double small = part_in_aim(&sums[SMALL]);
        double wide = part_in_aim(&sums[WIDE]);
        double mean = (small + wide) / KINDS;
        printf("small %.3f wide %.3f in aim; ", small, wide);
        CU_ASSERT_EQUAL(small >= 0.7 * mean && wide >= 0.7 * mean, has_shares);
    }
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("fair_order", NULL, NULL);
    CU_add_test(suite, "one_placement", test_one_placement);
    CU_add_test(suite, "no_workspaces", test_no_workspaces);
    CU_add_test(suite, "waits_shown", test_waits_shown);
    CU_add_test(suite, "hot_workspace", test_hot_workspace);
    CU_add_test(suite, "alone", test_alone);
    CU_add_test(suite, "small_beside_wide", test_small_beside_wide);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
