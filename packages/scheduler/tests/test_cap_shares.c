#include <CUnit/Basic.h>
#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "aq_cap_shares.h"
#include "aq_random.h"

/* Tests of the division of a workspace's cap among pools: pools that decide
 * from a record which they see late and write under a condition, on a virtual
 * clock. */

enum {
    POOLS = 4,
    CAP = 100000,
    STEP_MS = 10,
    DAY_MS = 40000,
    WRITE_GAP_MS = 150,
    TASK_MS = 800,
    MAX_WAIT_MS = 3000,
    MAX_RUNS = 4096
};

static const char *const pool_names[POOLS] = {"a", "b", "c", "d"};

typedef struct {
    AqCapRecord *view;
    uint64_t view_index;
    AqCapRecord *sent; /* the record of the write in flight; NULL: none */
    uint64_t sent_index;
    int64_t arrives_at;
    int64_t write_due;
    int64_t cap;
    int64_t room; /* CPU of the pool's VMs */
    int64_t unit;
    int64_t used;
    int64_t ready;  /* number of tasks */
    int64_t hidden; /* runs that a new owner does not know yet */
    int64_t known_at;
    int64_t started_at; /* when a task started last */
    int64_t waits_since;
    AqCapPeak peak;
    AqResources allowed;
    unsigned write_count;
    unsigned start_count;
} Pool;

typedef struct {
    unsigned pool;
    int64_t ends_at;
    int64_t cpu;
} Run;

typedef struct Day Day;

typedef struct {
    const char *name;
    int64_t unit;
    void (*play)(Day *day);
    int64_t least_starts;
} Case;

struct Day {
    const Case *at;
    AqRandom random;
    int64_t now;
    AqCapRecord *stored;
    uint64_t index;
    bool is_store_down;
    bool is_in_doubt;    /* no bound holds for waits */
    int64_t highest_cap; /* of the configurations that may be in force */
    Pool pools[POOLS];
    Run runs[MAX_RUNS];
    size_t run_count;
    int64_t start_count;
    unsigned conflict_count;
};

static int64_t
sum_used(const Day *day)
{
    int64_t sum = 0;
    for (unsigned i = 0; i < POOLS; i++) {
        sum += day->pools[i].used;
    }
    return sum;
}

static int64_t
limit_of(const Pool *pool, unsigned number)
{
    AqResources cap = {.cpu_millis = pool->cap};
    AqResources limit;
    AqResources next = {.cpu_millis = INT64_MAX};
    AqCapShares_Limit(pool->view, "w", pool_names[number], &cap, &limit);
    if (pool->sent != NULL) {
        AqCapShares_Limit(pool->sent, "w", pool_names[number], &cap, &next);
    }
    int64_t least = MIN(limit.cpu_millis, next.cpu_millis);
    return MIN(least, pool->allowed.cpu_millis);
}

/* Starts what the pool's part and VMs allow; returns whether only the part
 * held tasks back. */
static bool
start_tasks(Day *day, unsigned number)
{
    Pool *pool = &day->pools[number];
    while (pool->ready > 0 && pool->used + pool->unit <= pool->room) {
        int64_t used = pool->used + pool->hidden;
        if (used + pool->unit > limit_of(pool, number)) {
            return true;
        }
        pool->ready--;
        pool->used += pool->unit;
        pool->started_at = day->now;
        pool->start_count++;
        day->start_count++;
        CU_ASSERT_TRUE_FATAL(day->run_count < MAX_RUNS);
        day->runs[day->run_count++] =
            (Run){number, day->now + TASK_MS, pool->unit};
        if (sum_used(day) > day->highest_cap) {
            printf("%s, %lld ms: %lld in use\n", day->at->name,
                   (long long)day->now, (long long)sum_used(day));
            CU_FAIL_FATAL("above the cap");
        }
    }
    return false;
}

static void
end_runs(Day *day)
{
    for (size_t i = day->run_count; i-- > 0;) {
        if (day->runs[i].ends_at <= day->now) {
            day->pools[day->runs[i].pool].used -= day->runs[i].cpu;
            day->runs[i] = day->runs[--day->run_count];
        }
    }
}

static void
deliver(Day *day, Pool *pool)
{
    /* A watch is 20 to 60 ms late. */
    if (!day->is_store_down && pool->view_index != day->index &&
        pool->sent == NULL && AqRandom_Below(&day->random, 4) == 0) {
        AqCapRecord_Destroy(pool->view);
        pool->view = AqCapRecord_Copy(day->stored);
        pool->view_index = day->index;
    }
}

static void
finish_write(Day *day, Pool *pool)
{
    if (pool->sent == NULL || pool->arrives_at > day->now) {
        return;
    }
    if (!day->is_store_down && pool->sent_index == day->index) {
        AqCapRecord_Destroy(day->stored);
        day->stored = AqCapRecord_Copy(pool->sent);
        AqCapRecord_Destroy(pool->view);
        pool->view = pool->sent;
        pool->view_index = ++day->index;
        pool->sent = NULL;
        return;
    }
    day->conflict_count += !day->is_store_down;
    AqCapRecord_Destroy(pool->sent);
    pool->sent = NULL;
}

static void
decide(Day *day, unsigned number, bool is_held_back)
{
    Pool *pool = &day->pools[number];
    int64_t used = pool->used + pool->hidden;
    AqCapDemand demand = {
        .workspace = "w",
        .cap = {.cpu_millis = pool->cap},
        .used = {.cpu_millis = used},
        .want = {.cpu_millis =
                     used + (is_held_back ? pool->ready * pool->unit : 0)},
        .unit = {.cpu_millis = is_held_back ? pool->unit : 0},
        .since_ms = is_held_back ? pool->started_at + 1 : 0};
    AqCapPeak_Note(&pool->peak, day->now, &demand.want);
    AqCapPart part;
    AqCapChange change =
        AqCapShares_Decide(pool->view, pool_names[number], pool_names, POOLS,
                           &demand, &part, &pool->allowed);
    if (pool->sent != NULL || change == AQ_CAP_KEEP ||
        pool->write_due > day->now) {
        return;
    }
    pool->sent = AqCapRecord_Copy(pool->view);
    AqCapRecord_Set(pool->sent, "w", pool_names[number], &part);
    pool->sent_index = pool->view_index;
    pool->arrives_at = day->now + 10 + AqRandom_Below(&day->random, 40);
    pool->write_due = day->now + WRITE_GAP_MS;
    pool->write_count++;
}

/* A pool with room whose workspace is under half of its cap starts a task
 * within MAX_WAIT_MS. */
static void
check_wait(Day *day, unsigned number)
{
    Pool *pool = &day->pools[number];
    bool waits = pool->ready > 0 && pool->used + 2 * pool->unit <= pool->room;
    if (!waits || day->is_in_doubt || sum_used(day) >= pool->cap / 2 ||
        pool->started_at > pool->waits_since) {
        pool->waits_since = day->now;
    }
    if (day->now - pool->waits_since > MAX_WAIT_MS) {
        printf("%s, %lld ms: pool %u waits, %lld in use\n", day->at->name,
               (long long)day->now, number, (long long)sum_used(day));
        CU_FAIL_FATAL("waits for the cap");
    }
}

static void
play_step(Day *day)
{
    day->now += STEP_MS;
    end_runs(day);
    day->at->play(day);
    for (unsigned i = 0; i < POOLS; i++) {
        Pool *pool = &day->pools[i];
        if (pool->hidden > 0 && day->now >= pool->known_at) {
            pool->hidden = 0;
        }
        finish_write(day, pool);
        deliver(day, pool);
        bool is_held_back = start_tasks(day, i);
        decide(day, i, is_held_back);
        check_wait(day, i);
    }
}

/* ---- Loads -------------------------------------------------------------- */

static void
keep_ready(Day *day, unsigned pool, int64_t count)
{
    if (day->pools[pool].ready < count) {
        day->pools[pool].ready = count;
    }
}

static void
play_turns(Day *day)
{
    for (unsigned i = 0; i < POOLS; i++) {
        day->pools[i].ready = day->now / 5000 % POOLS == i ? 200 : 0;
    }
    /* The other pools have a task now and then. */
    if (AqRandom_Below(&day->random, 10) == 0) {
        keep_ready(day, (unsigned)AqRandom_Below(&day->random, POOLS), 1);
    }
}

static void
play_all_hot(Day *day)
{
    for (unsigned i = 0; i < POOLS; i++) {
        keep_ready(day, i, 200);
    }
}

/* Three pools want the whole cap, and their VMs are full of other work. */
static void
play_full_pools(Day *day)
{
    for (unsigned i = 0; i < POOLS; i++) {
        keep_ready(day, i, 200);
        day->pools[i].room = i == 0 ? CAP : 12000;
    }
}

static void
play_lowered(Day *day)
{
    play_all_hot(day);
    if (day->now >= 10000) {
        /* Each owner applies the configuration at another time. */
        for (unsigned i = 0; i < POOLS; i++) {
            if (day->now >= 10000 + 900 * (int64_t)i) {
                day->pools[i].cap = CAP / 4;
            }
        }
    }
    /* The runs of before may go on for as long as a task takes. */
    if (day->now >= 10000 + 900 * POOLS + TASK_MS) {
        day->highest_cap = CAP / 4;
    }
}

static void
play_two_versions(Day *day)
{
    play_turns(day);
    for (unsigned i = 0; i < POOLS; i++) {
        bool is_behind = (day->now + 1500 * (int64_t)i) / 3000 % 2 == 0;
        day->pools[i].cap = is_behind ? CAP : CAP / 2;
    }
}

static void
play_store_down(Day *day)
{
    play_turns(day);
    day->is_store_down = day->now / 4000 % 2 == 1;
    day->is_in_doubt = day->is_store_down;
}

/* An owner is killed each 3 s; the next one knows its runs 2 s later and
 * counts its part as used until then. */
static void
play_killed_owners(Day *day)
{
    play_turns(day);
    if (day->now % 3000 == 0) {
        unsigned number = (unsigned)AqRandom_Below(&day->random, POOLS);
        Pool *pool = &day->pools[number];
        AqCapRecord_Destroy(pool->view);
        AqCapRecord_Destroy(pool->sent);
        pool->sent = NULL;
        pool->view = AqCapRecord_Copy(day->stored);
        pool->view_index = day->index;
        const AqCapPart *part =
            AqCapRecord_Find(pool->view, "w", pool_names[number]);
        pool->hidden = part != NULL ? part->held.cpu_millis - pool->used : 0;
        pool->hidden = pool->hidden > 0 ? pool->hidden : 0;
        pool->known_at = day->now + 2000;
    }
    day->is_in_doubt = false;
    for (unsigned i = 0; i < POOLS; i++) {
        day->is_in_doubt = day->is_in_doubt || day->pools[i].hidden > 0;
    }
}

/* A gang of more than half of the cap beside three pools with many tasks. */
static void
play_gang(Day *day)
{
    play_all_hot(day);
    day->pools[0].unit = CAP * 6 / 10;
}

/* ---- Cases -------------------------------------------------------------- */

static const Case cases[] = {
    /* A hot workspace whose demand turns from pool to pool waits for a part
     * that an idle pool holds, or starts more than its cap. */
    {"turns", 6000, play_turns, 350},
    /* Pools that all want the whole cap start more than it together. */
    {"all_hot", 6000, play_all_hot, 600},
    /* Pools that share the cap so evenly that no task fits into any part. */
    {"large_tasks", 40000, play_all_hot, 70},
    /* A pool waits for parts that pools without room keep. */
    {"full_pools", 6000, play_full_pools, 300},
    /* Starts go on within a part of a cap that was lowered. */
    {"lowered_cap", 4000, play_lowered, 100},
    /* An owner that has not read the new configuration takes what the others
     * may still use. */
    {"two_versions", 4000, play_two_versions, 300},
    /* Owners start beyond their parts, or nothing, without the store. */
    {"store_down", 6000, play_store_down, 300},
    /* A pool's next owner starts beside runs of which it does not know. */
    {"killed_owners", 6000, play_killed_owners, 250},
    /* A gang never fits into what the other pools leave. */
    {"gang", 5000, play_gang, 100},
};

static void
play(const Case *at, uint64_t seed)
{
    static Day day;
    memset(&day, 0, sizeof(day));
    day.at = at;
    AqRandom_Seed(&day.random, seed);
    day.stored = AqCapRecord_Create();
    day.highest_cap = CAP;
    for (unsigned i = 0; i < POOLS; i++) {
        day.pools[i].view = AqCapRecord_Create();
        day.pools[i].cap = CAP;
        day.pools[i].room = 10 * CAP;
        day.pools[i].unit = at->unit;
    }
    while (day.now < DAY_MS) {
        play_step(&day);
    }
    unsigned writes = 0;
    unsigned least = UINT_MAX; /* starts of a pool */
    for (unsigned i = 0; i < POOLS; i++) {
        least = MIN(least, day.pools[i].start_count);
        writes += day.pools[i].write_count;
        AqCapRecord_Destroy(day.pools[i].view);
        AqCapRecord_Destroy(day.pools[i].sent);
    }
    AqCapRecord_Destroy(day.stored);
    if (seed == 1) {
        printf("%s: %lld starts (%u at least of each pool), %u writes, %u "
               "conflicts in %d s\n",
               at->name, (long long)day.start_count, least, writes,
               day.conflict_count, DAY_MS / 1000);
    }
    CU_ASSERT_TRUE(day.start_count >= at->least_starts);
    CU_ASSERT_TRUE(least >= at->least_starts / 20);
    CU_ASSERT_TRUE(writes <= POOLS * DAY_MS / WRITE_GAP_MS);
}

/* Guards against starts above the cap and against a workspace under half of
 * its cap that waits for it, for each load of the table. */
static void
test_loads(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        for (uint64_t seed = 1; seed <= 20; seed++) {
            play(&cases[i], seed);
        }
    }
}

/* Guards against writes for a workspace that uses little of its cap. */
static void
test_light_workspace_writes_once(void)
{
    AqCapRecord *record = AqCapRecord_Create();
    AqCapDemand demand = {.workspace = "w",
                          .cap = {.cpu_millis = CAP, .memory_mb = 1000}};
    unsigned writes = 0;
    for (unsigned step = 0; step < 200; step++) {
        for (unsigned i = 0; i < POOLS; i++) {
            AqCapPart part;
            AqResources allowed;
            demand.used.cpu_millis = (step * 37 + i * 11) % (CAP / POOLS / 4);
            demand.want = demand.used;
            if (AqCapShares_Decide(record, pool_names[i], pool_names, POOLS,
                                   &demand, &part, &allowed) != AQ_CAP_KEEP) {
                AqCapRecord_Set(record, "w", pool_names[i], &part);
                writes++;
            }
        }
    }
    CU_ASSERT_EQUAL(writes, POOLS);
    AqCapRecord_Destroy(record);
}

/* Guards against a damaged record that is read as another one, or that ends
 * the process: each byte is changed, and each length is tried. */
static void
test_damaged_record(void)
{
    AqError error;
    AqBuffer bytes;
    AqCapRecord *record = AqCapRecord_Create();
    AqCapPart part = {.held = {5, 6, 7}, .want = {8, 9, 10}, .since_ms = 11};
    AqCapRecord_Set(record, "w", "a", &part);
    AqCapRecord_Set(record, "w", "b", &part);
    AqBuffer_Init(&bytes);
    AqCapRecord_Encode(record, &bytes);
    for (size_t size = 0; size < bytes.size; size++) {
        CU_ASSERT_PTR_NULL(
            AqCapRecord_Decode(AqBuffer_Text(&bytes), size, &error));
    }
    for (size_t i = 0; i < 256 * bytes.size; i++) {
        char *copy = g_malloc(bytes.size);
        memcpy(copy, AqBuffer_Text(&bytes), bytes.size);
        copy[i / 256] = (char)(i % 256);
        AqCapRecord *read = AqCapRecord_Decode(copy, bytes.size, &error);
        AqCapRecord_Destroy(read);
        g_free(copy);
    }
    AqCapRecord *read =
        AqCapRecord_Decode(AqBuffer_Text(&bytes), bytes.size, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(read);
    const AqCapPart *known = AqCapRecord_Find(read, "w", "b");
    CU_ASSERT_TRUE(known != NULL && memcmp(known, &part, sizeof(part)) == 0);
    AqCapRecord_Destroy(read);
    AqCapRecord_Destroy(record);
    AqBuffer_Clear(&bytes);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("cap_shares", NULL, NULL);
    CU_ADD_TEST(suite, test_loads);
    CU_ADD_TEST(suite, test_light_workspace_writes_once);
    CU_ADD_TEST(suite, test_damaged_record);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
