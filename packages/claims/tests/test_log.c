#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "id_table.h"
#include "sim.h"

static SimCallPlan
plan_steady_call(Sim *sim, SimNode *node, AqClaimsStoreCall call)
{
    (void)node;
    uint64_t *calls = sim->user;
    calls[call]++;
    return (SimCallPlan){.effect_ms = 2, .reply_ms = 2};
}

static void
start(Sim *sim, int nodes, uint64_t calls[3])
{
    AqClaimsConfig config = {.retention_ms = 3600000,
                             .store_timeout_ms = 1000};
    memset(calls, 0, 3 * sizeof(calls[0]));
    Sim_Create(sim, 3, nodes, &config);
    sim->plan_call = plan_steady_call;
    sim->user = calls;
}

static int
verdict_of(const Sim *sim, size_t request)
{
    const SimRequest *found = &sim->requests[request];
    return found->verdicts == 1 ? (int)found->verdict : 0;
}

static void
encode_sample(AqBuffer *out, size_t count)
{
    AqBatchEntry entry = {
        .op = AQ_BATCH_CLAIM, .nonce = 1 << 20, .wall_ms = 9};
    strcpy(entry.holder, "entry-1");
    AqBatch_EncodeHeader(out, count, "entry-2", UINT64_MAX, 7);
    for (size_t i = 0; i < count; i++) {
        entry.hash[1] = (uint8_t)i;
        AqBatch_EncodeEntry(out, &entry);
    }
}

/* Guards against a decoder of batches that reads past the end of the value,
 * accepts a truncated value or trusts a length announced in the value. */
static void
test_batch_decode(void)
{
    AqBuffer good;
    AqBatch batch;
    AqError error;
    AqBuffer_Init(&good);
    encode_sample(&good, 20);
    CU_ASSERT_TRUE(AqBatch_Decode(good.bytes, good.size, &batch, &error));
    CU_ASSERT_EQUAL(batch.count, 20);
    CU_ASSERT_EQUAL(batch.nonce, UINT64_MAX);
    CU_ASSERT_EQUAL(batch.newest_wall_ms, 9);
    CU_ASSERT_STRING_EQUAL(batch.entries[19].holder, "entry-1");
    CU_ASSERT_EQUAL(batch.entries[19].hash[1], 19);
    AqBatch_Clear(&batch);
    for (size_t size = 0; size < good.size; size++) {
        char *cut = malloc(size + 1);
        memcpy(cut, good.bytes, size);
        CU_ASSERT_FALSE(AqBatch_Decode(cut, size, &batch, &error));
        free(cut);
    }
    AqBuffer_Append(&good, "", 1);
    CU_ASSERT_FALSE(AqBatch_Decode(good.bytes, good.size, &batch, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_PROTOCOL);
    /* A value with one changed byte is decoded or rejected without a crash. */
    for (size_t i = 0; i + 1 < good.size; i++) {
        for (int change = 1; change < 256; change += 17) {
            good.bytes[i] = (char)(good.bytes[i] ^ change);
            if (AqBatch_Decode(good.bytes, good.size - 1, &batch, NULL)) {
                AqBatch_Clear(&batch);
            }
            good.bytes[i] = (char)(good.bytes[i] ^ change);
        }
    }
    AqBuffer_Clear(&good);
}

/* Guards against an id table that loses records when it grows, when another
 * record is removed or when AqIdTable_Sweep removes old records. */
static void
test_id_table(void)
{
    enum {
        KEYS = 400
    };
    AqIdTable table = {0};
    int64_t walls[KEYS] = {0};
    AqRandom random;
    AqRandom_Seed(&random, 11);
    for (int step = 0; step < 20000; step++) {
        uint64_t k = AqRandom_Below(&random, KEYS);
        uint8_t key[16] = {0};
        /* The searches for the keys start at few different slots, so that many
         * adjoining slots are used. */
        key[15] = (uint8_t)(k % 16);
        memcpy(key, &k, sizeof(k));
        AqIdRecord *record = AqIdTable_Find(&table, key);
        CU_ASSERT_EQUAL(record != NULL, walls[k] != 0);
        if (record != NULL && AqRandom_Below(&random, 2) == 0) {
            AqIdTable_Remove(&table, record);
            walls[k] = 0;
        }
        else {
            walls[k] = step + 1;
            AqIdTable_Put(&table, key, k, walls[k]);
        }
        if (step % 500 == 499) {
            int64_t oldest = step - 300;
            AqIdTable_Sweep(&table, oldest);
            for (int i = 0; i < KEYS; i++) {
                walls[i] = walls[i] < oldest ? 0 : walls[i];
            }
        }
        CU_ASSERT_TRUE(AqIdTable_CheckConsistency(&table));
    }
    AqIdTable_Clear(&table);
}

/* Guards against a daemon that, when it becomes the owner of a partition
 * again, tries one create for each stored batch that it has not read. */
static void
test_catch_up(void)
{
    Sim sim;
    uint64_t calls[3];
    start(&sim, 2, calls);
    /* The checks of invariants after each step would take too long, as each
     * visits thousands of ids. */
    sim.skips_checks = true;
    Sim_Submit(&sim, 1, 0);
    for (uint64_t id = 0; id < 8000; id++) {
        Sim_Submit(&sim, 0, id);
        Sim_Run(&sim, sim.now + 20);
    }
    memset(calls, 0, sizeof(calls));
    AqTime before = sim.now;
    size_t last = Sim_Submit(&sim, 1, 0);
    Sim_Run(&sim, before + 1000);
    CU_ASSERT_EQUAL(verdict_of(&sim, last), AQ_CLAIM_DUPLICATE);
    CU_ASSERT_TRUE(calls[AQ_CLAIMS_CREATE] <= 1);
    CU_ASSERT_TRUE(calls[AQ_CLAIMS_READ] <= 12);
    CU_ASSERT_EQUAL(sim.failures, 0);
    Sim_Destroy(&sim);
}

/* Guards against a DUPLICATE verdict that a daemon bases on a cached log from
 * before the older claim of the request id was released by another daemon. */
static void
test_released_elsewhere(void)
{
    Sim sim;
    uint64_t calls[3];
    start(&sim, 2, calls);
    size_t first = Sim_Submit(&sim, 0, 5);
    Sim_Run(&sim, 100);
    size_t other = Sim_Submit(&sim, 1, 5);
    Sim_Run(&sim, 200);
    CU_ASSERT_EQUAL(verdict_of(&sim, first), AQ_CLAIM_GRANTED);
    CU_ASSERT_EQUAL(verdict_of(&sim, other), AQ_CLAIM_DUPLICATE);
    Sim_Release(&sim, first);
    Sim_Run(&sim, 300);
    size_t again = Sim_Submit(&sim, 1, 5);
    Sim_Run(&sim, 400);
    CU_ASSERT_EQUAL(verdict_of(&sim, again), AQ_CLAIM_GRANTED);
    CU_ASSERT_EQUAL(sim.failures, 0);
    Sim_Destroy(&sim);
}

/* Guards against a claim that is written to the store after its release: the
 * request id would stay claimed without a holder until the retention ends. */
static void
test_release_before_claim(void)
{
    Sim sim;
    uint64_t calls[3];
    start(&sim, 2, calls);
    size_t first = Sim_Submit(&sim, 0, 5);
    Sim_Run(&sim, 100);
    Sim_Release(&sim, first);
    Sim_Run(&sim, 200);
    SimNode *late = &sim.nodes[1];
    AqClaims_Submit(late->claims, sim.now + 2000000, SIM_WALL_START + sim.now,
                    first, &sim.requests[first].claim);
    sim.requests[first].verdicts = 0;
    Sim_Run(&sim, 300);
    CU_ASSERT_EQUAL(verdict_of(&sim, first), AQ_CLAIM_UNAVAILABLE);
    size_t again = Sim_Submit(&sim, 0, 5);
    Sim_Run(&sim, 400);
    CU_ASSERT_EQUAL(verdict_of(&sim, again), AQ_CLAIM_GRANTED);
    Sim_Destroy(&sim);
}

/* Guards against an unbounded queue: pending claims beyond the capacity of a
 * batch must be refused as UNAVAILABLE, and no claim may stay without a
 * verdict. */
static void
test_overload(void)
{
    enum {
        CLAIMS = 60000
    };
    Sim sim;
    uint64_t calls[3];
    start(&sim, 1, calls);
    sim.skips_checks = true;
    for (uint64_t id = 0; id < CLAIMS; id++) {
        Sim_Submit(&sim, 0, id);
    }
    Sim_Run(&sim, 3000);
    size_t granted = 0, refused = 0;
    for (size_t i = 0; i < CLAIMS; i++) {
        granted += verdict_of(&sim, i) == AQ_CLAIM_GRANTED;
        refused += verdict_of(&sim, i) == AQ_CLAIM_UNAVAILABLE;
    }
    CU_ASSERT_EQUAL(granted, AQ_CLAIM_PARTITIONS * AQ_BATCH_MAX_ENTRIES);
    CU_ASSERT_EQUAL(granted + refused, CLAIMS);
    CU_ASSERT_EQUAL(sim.failures, 0);
    Sim_Destroy(&sim);
}

/* Guards against skipping a stored batch that cannot be decoded: the claims in
 * this batch are unknown, so no claim in its partition may be granted. */
static void
test_damaged_batch(void)
{
    Sim sim;
    uint64_t calls[3];
    start(&sim, 2, calls);
    size_t first = Sim_Submit(&sim, 0, 5);
    Sim_Run(&sim, 100);
    int partition = AqClaims_Partition(sim.requests[first].claim.hash);
    sim.batches[partition][1].bytes[0] = 0x11;
    size_t other = Sim_Submit(&sim, 1, 5);
    Sim_Run(&sim, 200);
    CU_ASSERT_EQUAL(verdict_of(&sim, other), AQ_CLAIM_UNAVAILABLE);
    CU_ASSERT_TRUE(AqClaims_BadBatches(sim.nodes[1].claims) > 0);
    Sim_Destroy(&sim);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("claims log", NULL, NULL);
    CU_ADD_TEST(suite, test_batch_decode);
    CU_ADD_TEST(suite, test_id_table);
    CU_ADD_TEST(suite, test_catch_up);
    CU_ADD_TEST(suite, test_released_elsewhere);
    CU_ADD_TEST(suite, test_release_before_claim);
    CU_ADD_TEST(suite, test_overload);
    CU_ADD_TEST(suite, test_damaged_batch);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
