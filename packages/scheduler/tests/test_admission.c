#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_admission.h"
#include "aq_random.h"
#include "order_fixture.h"

/* Decisions under load patterns on a virtual clock.  The pool works like a
 * fluid: it serves the smallest job that can still be useful first.  Each
 * pattern is played without refusals, to know which jobs would have been
 * useful, and the decisions are compared with that. */

enum {
    END_MS = 120000, /* of the arrivals */
    DRAIN_MS = 140000,
    STEP_MS = 20,
    VIEW_MS = 800, /* interval of the owner's reports */
    TASK_MS = 800, /* mean declared duration */
    POOL_CPU_MILLIS = 100000,
    TARGET_MS = 600,
    MAX_JOBS = 8192,
    /* from when on the overload has lasted four times as long as the result of
     * any job has value */
    KNOWN_MS = 36000,
    /* An overload that has lasted four times as long as a job's result has
     * value ends before that in one case of five. */
    MOST_WRONG_PERCENT = 20
};

typedef struct {
    const char *pattern;
    double load;  /* of the pool's CPU, while jobs arrive */
    AqTime on_ms; /* jobs arrive for so long of each period */
    AqTime period_ms;
    double spread; /* actual durations: up to this factor off either way */
    AqTime vms_at; /* when twice as many VMs more are usable; 0: never */
    int width;     /* tasks of a job */
    /* least refusals after KNOWN_MS of the jobs that could not have been
     * useful, percent */
    int least_refused;
} Pattern;

static const Pattern patterns[] = {
    {"turn's height: 4 x the CPU for 1.25 s of every 5 s", 4, 1250, 5000, 1, 0,
     8, 0},
    {"turn's height: 4 x the CPU for 10 s of every 40 s", 4, 10000, 40000, 1,
     0, 8, 0},
    {"light load", 0.6, END_MS, END_MS, 1, 0, 8, 0},
    {"burst of wide jobs", 6, 3000, END_MS, 1, 0, 32, 0},
    {"4 x the CPU without end", 4, END_MS, END_MS, 1, 0, 8, 50},
    {"4 x without end, durations wrong by a factor 2 either way", 4, END_MS,
     END_MS, 2, 0, 8, 50},
    {"3 x until VMs arrive", 3, END_MS, END_MS, 1, 20000, 8, 0},
};

typedef struct {
    AqJobSpec spec;
    AqStepSpec step;
    AqTime arrived_at;
    int64_t work;     /* actual core-milliseconds that are left */
    int64_t whole;    /* actual core-milliseconds */
    int64_t declared; /* core-milliseconds as declared */
    AqTime useful_until;
    AqTime done_at;
    bool is_refused;
} SimJob;

static SimJob jobs[MAX_JOBS];
static const AqQueueConfig queue = {.stretch = 1.6, .target_ms = TARGET_MS};

static size_t
make_jobs(const Pattern *pattern, AqRandom *random)
{
    size_t count = 0;
    double mean = pattern->width * 1.0 * TASK_MS;
    double due = 0;
    for (AqTime now = 0; now < END_MS && count < MAX_JOBS; now += STEP_MS) {
        if (now % pattern->period_ms < pattern->on_ms) {
            due += pattern->load * POOL_CPU_MILLIS / 1000.0 * STEP_MS / mean;
        }
        for (; due >= 1 && count < MAX_JOBS; due--) {
            SimJob *job = &jobs[count++];
            memset(job, 0, sizeof(*job));
            int64_t declared =
                TASK_MS / 4 + (int64_t)AqRandom_Below(random, TASK_MS * 3 / 2);
            double off = 1 + (pattern->spread - 1) *
                                 (double)AqRandom_Below(random, 1000) / 1000;
            off = AqRandom_Below(random, 2) == 0 ? off : 1 / off;
            int64_t actual = (int64_t)((double)declared * off);
            job->step = (AqStepSpec){.task_count = (uint32_t)pattern->width,
                                     .cpu_millis = 1000,
                                     .estimate_ms = declared};
            job->spec.steps = &job->step;
            job->spec.step_count = 1;
            job->arrived_at = now;
            job->work = actual * pattern->width;
            job->whole = job->work;
            job->declared = declared * pattern->width;
            job->useful_until =
                now + 3 * ((AqTime)(1.6 * (double)actual) + TARGET_MS);
            job->done_at = AQ_TIME_NEVER;
        }
    }
    return count;
}

static int64_t
pool_cpu(const Pattern *pattern, AqTime now)
{
    bool has_more = pattern->vms_at > 0 && now >= pattern->vms_at;
    return POOL_CPU_MILLIS * (has_more ? 3 : 1);
}

/* Core-milliseconds that the job still needs by its declaration, the only one
 * that the owner knows. */
static int64_t
declared_rest(const SimJob *job)
{
    return job->declared * job->work / job->whole;
}

static SimJob *
smallest_job(size_t count, AqTime now)
{
    SimJob *best = NULL;
    for (size_t i = 0; i < count && jobs[i].arrived_at <= now; i++) {
        SimJob *job = &jobs[i];
        if (!job->is_refused && job->work > 0 && job->useful_until > now &&
            (best == NULL || declared_rest(job) < declared_rest(best))) {
            best = job;
        }
    }
    return best;
}

/* Makes the owner's view; returns whether it is published. */
static bool
make_view(const Pattern *pattern, size_t next, AqTime now, AqTime *since,
          AqLoadView *view)
{
    int64_t offered = 0;
    memset(view, 0, sizeof(*view));
    view->made_ms = now;
    view->duration_permille = 1000;
    view->capacity_cpu_millis = pool_cpu(pattern, now);
    for (size_t i = next; i > 0 && jobs[i - 1].arrived_at > now - 1000; i--) {
        const SimJob *job = &jobs[i - 1];
        if (!job->is_refused) {
            view->offered[0][AqLoadView_Class(job->declared)] += job->declared;
            offered += job->declared;
        }
    }
    *since = offered > view->capacity_cpu_millis ? *since : now;
    view->lasting_ms = now - *since;
    return view->lasting_ms >= 5000;
}

/* Plays the pattern's jobs; "has_admission": with refusals. */
static void
play(const Pattern *pattern, size_t count, bool has_admission)
{
    AqLoadView view;
    bool has_view = false;
    AqTime since = 0;
    size_t next = 0;
    for (AqTime now = 0; now < DRAIN_MS; now += STEP_MS) {
        if (now % VIEW_MS == 0 && has_admission) {
            has_view = make_view(pattern, next, now, &since, &view);
        }
        for (; next < count && jobs[next].arrived_at <= now; next++) {
            AqAdmission admission;
            AqAdmission_Decide(has_view ? &view : NULL, &jobs[next].spec,
                               &queue, now, &admission);
            jobs[next].is_refused = admission.verdict == AQ_ADMISSION_REFUSE;
        }
        int64_t room = pool_cpu(pattern, now) * STEP_MS / 1000;
        while (room > 0) {
            SimJob *job = smallest_job(count, now);
            if (job == NULL) {
                break;
            }
            int64_t part = job->work < room ? job->work : room;
            job->work -= part;
            room -= part;
            job->done_at = job->work == 0 ? now : AQ_TIME_NEVER;
        }
    }
}

/* Guards against refusals of jobs that would have been completed while their
 * results had value, against accepting the jobs that can't be, and against
 * refusals that cost other jobs their value. */
static void
test_patterns(void)
{
    static bool was_useful[MAX_JOBS];
    for (size_t i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++) {
        const Pattern *pattern = &patterns[i];
        int refused = 0;
        int wrong = 0;
        int useless = 0;
        int known = 0; /* of the useless jobs, after KNOWN_MS */
        int known_refused = 0;
        int served = 0;
        int served_before = 0;
        AqRandom random;
        AqRandom_Seed(&random, 7);
        size_t count = make_jobs(pattern, &random);
        play(pattern, count, false);
        for (size_t j = 0; j < count; j++) {
            was_useful[j] = jobs[j].done_at <= jobs[j].useful_until;
            served_before += was_useful[j];
        }
        AqRandom_Seed(&random, 7);
        make_jobs(pattern, &random);
        play(pattern, count, true);
        for (size_t j = 0; j < count; j++) {
            refused += jobs[j].is_refused;
            wrong += jobs[j].is_refused && was_useful[j];
            useless += !was_useful[j];
            bool is_known = !was_useful[j] && jobs[j].arrived_at > KNOWN_MS;
            known += is_known;
            known_refused += is_known && jobs[j].is_refused;
            served +=
                !jobs[j].is_refused && jobs[j].done_at <= jobs[j].useful_until;
        }
        printf(
            "\n    %s: %zu jobs, %d useless, %d refused, %d of them wrongly, "
            "%d served (%d before)",
            pattern->pattern, count, useless, refused, wrong, served,
            served_before);
        CU_ASSERT_TRUE(wrong * 100 <= MOST_WRONG_PERCENT * refused);
        CU_ASSERT_TRUE(known_refused * 100 >= pattern->least_refused * known);
        CU_ASSERT_TRUE(served >= served_before - wrong);
    }
}

/* Guards against urgent jobs that are refused for less urgent submissions, or
 * small ones for large ones, against refusals in a short overload, and against
 * decisions by a view that tells nothing of the present. */
static void
test_offered_ahead(void)
{
    static const struct {
        const char *what;
        size_t priority; /* of the submissions; the job has priority 1 */
        size_t class;    /* of the submissions; the job is in class 3 */
        int64_t offered_cpu_millis;
        AqTime lasting_ms;
        AqTime age_ms;
        AqAdmissionVerdict verdict;
        bool has_no_vms;
    } cases[] = {
        {"less urgent", 2, 1, 9000, 60000, 0, AQ_ADMISSION_ACCEPT, false},
        {"more urgent", 0, 15, 9000, 60000, 0, AQ_ADMISSION_REFUSE, false},
        {"larger", 1, 8, 9000, 60000, 0, AQ_ADMISSION_ACCEPT, false},
        {"smaller", 1, 1, 9000, 60000, 0, AQ_ADMISSION_REFUSE, false},
        {"within the margin", 1, 1, 1300, 60000, 0, AQ_ADMISSION_ACCEPT,
         false},
        {"short", 1, 1, 9000, 20000, 0, AQ_ADMISSION_ACCEPT, false},
        {"stale", 1, 1, 9000, 60000, 1501, AQ_ADMISSION_UNKNOWN, false},
        {"clocks differ", 1, 1, 9000, 60000, -301, AQ_ADMISSION_UNKNOWN,
         false},
        {"no VMs", 1, 1, 9000, 60000, 0, AQ_ADMISSION_UNKNOWN, true},
    };
    AqStepSpec step = {
        .task_count = 8, .cpu_millis = 1000, .estimate_ms = TASK_MS};
    AqJobSpec spec = {.steps = &step, .step_count = 1};
    AqQueueConfig urgent = queue;
    AqAdmission admission;
    urgent.priority = 1;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        AqLoadView view = {.made_ms = 5000,
                           .duration_permille = 1000,
                           .capacity_cpu_millis =
                               cases[i].has_no_vms ? 0 : 1000,
                           .lasting_ms = cases[i].lasting_ms};
        view.offered[cases[i].priority][cases[i].class] =
            cases[i].offered_cpu_millis;
        AqAdmission_Decide(&view, &spec, &urgent, 5000 + cases[i].age_ms,
                           &admission);
        if (admission.verdict != cases[i].verdict) {
            printf("%s: verdict %d\n", cases[i].what, admission.verdict);
        }
        CU_ASSERT_EQUAL(admission.verdict, cases[i].verdict);
    }
    AqAdmission_Decide(NULL, &spec, &urgent, 0, &admission);
    CU_ASSERT_EQUAL(admission.verdict, AQ_ADMISSION_UNKNOWN);
}

/* Guards against a job whose declared figures overflow the sums. */
static void
test_huge_job(void)
{
    AqStepSpec step = {.task_count = 20000,
                       .cpu_millis = INT64_MAX,
                       .estimate_ms = INT64_MAX};
    AqJobSpec spec = {.steps = &step, .step_count = 1};
    AqLoadView view = {.duration_permille = 3000,
                       .capacity_cpu_millis = 1000,
                       .lasting_ms = 60000};
    AqAdmission admission;
    view.offered[0][15] = 9000;
    AqAdmission_Decide(&view, &spec, &queue, 0, &admission);
    CU_ASSERT_EQUAL(admission.verdict, AQ_ADMISSION_ACCEPT);
    CU_ASSERT_TRUE(admission.work > 0 && admission.useful_ms > 0);
}

/* Guards against refused callers that come back at the same moment or at
 * once. */
static void
test_retry_after(void)
{
    unsigned counts[9] = {0};
    for (uint64_t hash = 0; hash < 10000; hash++) {
        int seconds = AqAdmission_RetryAfter(hash * 2654435761U);
        CU_ASSERT_TRUE_FATAL(seconds >= 1 && seconds <= 8);
        counts[seconds]++;
    }
    for (size_t i = 0; i < 9; i++) {
        CU_ASSERT_TRUE(counts[i] < 2500);
    }
}

/* Guards against a report that an older node can't read, a damaged one that
 * ends the process or is believed, and a view that changes on its way. */
static void
test_codec(void)
{
    static const char *const damaged[] = {
        "",
        "q 3\n",
        "\tload\n",
        "\tload 1 2 3\n",
        "\tload 2 1 1 1 1 1 1\n",
        "\tload 1 1 1 1 -1 1 1\n",
        "\tload 1 1 1 1 1 1 9999999999999999\n",
        "\tload 1 1 1 1 1 1 1 4.0:1\n",
        "\tload 1 1 1 1 1 1 1 0.16:1\n",
        "\tload 1 1 1 1 1 1 1 0.1\n",
        "\tload 1 1 1 1 1 1 1 0.1:1x\n",
    };
    AqLoadView view = {.made_ms = 1764860000000,
                       .fence = 77,
                       .lasting_ms = 9,
                       .duration_permille = 1300,
                       .capacity_cpu_millis = 5,
                       .waiting_work = 6};
    AqLoadView read;
    AqBuffer text;
    view.offered[3][15] = 10;
    view.offered[0][2] = 11;
    AqBuffer_Init(&text);
    AqBuffer_AppendText(&text, "q 3\nload 5\n");
    AqLoadView_Encode(&view, &text);
    CU_ASSERT_TRUE(AqLoadView_Decode(AqBuffer_Text(&text), &read));
    CU_ASSERT_EQUAL(memcmp(&read, &view, sizeof(view)), 0);
    CU_ASSERT_EQUAL(strncmp(AqBuffer_Text(&text), "q 3\nload 5\n\t", 12), 0);
    AqBuffer_Clear(&text);
    for (size_t i = 0; i < sizeof(damaged) / sizeof(damaged[0]); i++) {
        CU_ASSERT_FALSE(AqLoadView_Decode(damaged[i], &read));
    }
}

/* Guards against a view of a pool that is calm, overloaded for a moment or
 * without VMs, and
 * against one that counts running and perpetual tasks as waiting or offered
 * ones. */
static void
test_view_of_scheduler(void)
{
    static const AqStepSpec step = {.task_count = 6,
                                    .cpu_millis = 2000,
                                    .memory_mb = 1,
                                    .estimate_ms = 1000};
    /* no VM has the label, and the job takes over the text */
    AqStepSpec perpetual = {.task_count = 9,
                            .cpu_millis = 2000,
                            .memory_mb = 1,
                            .required_label = strdup("none"),
                            .is_perpetual = true};
    AqLoadView view;
    Fixture f;
    fixture_set_up_loaded(&f);
    fixture_add_vm(&f, "vm1");
    fixture_add_job(&f, "p", &perpetual);
    fixture_tick(&f, 20);
    for (int i = 0; i < 60; i++) {
        char id[8];
        snprintf(id, sizeof(id), "a%d", i);
        bool is_published = AqScheduler_GetLoadView(f.s, 0, 1000, &view);
        CU_ASSERT_EQUAL(is_published, view.lasting_ms >= 5000);
        CU_ASSERT_TRUE(i < 50 || is_published);
        CU_ASSERT_TRUE(i > 45 || !is_published);
        fixture_add_job(&f, id, &step);
        fixture_answer_renewal(&f, "vm1", AQ_ORDER_DONE);
        fixture_tick(&f, 100);
    }
    CU_ASSERT_EQUAL(view.capacity_cpu_millis, FIXTURE_VM_CPU_MILLIS);
    CU_ASSERT_TRUE(view.waiting_work <= 59 * 6 * 2000);
    CU_ASSERT_TRUE(view.waiting_work >= 58 * 6 * 2000);
    CU_ASSERT_TRUE(view.offered[0][AqLoadView_Class(12000)] > 100000);
    CU_ASSERT_FALSE(AqScheduler_GetLoadView(f.s, 200000, 1000, &view));
    CU_ASSERT_EQUAL(view.lasting_ms, 0);
    AqScheduler_VmUnlisted(f.s, "vm1", f.now);
    for (int i = 0; i < 60; i++) {
        fixture_tick(&f, 100);
        CU_ASSERT_FALSE(AqScheduler_GetLoadView(f.s, 0, 1000, &view));
    }
    CU_ASSERT_EQUAL(view.capacity_cpu_millis, 0);
    fixture_tear_down(&f);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("admission", NULL, NULL);
    CU_add_test(suite, "patterns", test_patterns);
    CU_add_test(suite, "offered_ahead", test_offered_ahead);
    CU_add_test(suite, "huge_job", test_huge_job);
    CU_add_test(suite, "retry_after", test_retry_after);
    CU_add_test(suite, "codec", test_codec);
    CU_add_test(suite, "view_of_scheduler", test_view_of_scheduler);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
