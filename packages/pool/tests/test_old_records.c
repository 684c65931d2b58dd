#include <CUnit/Basic.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "aq_job_spec.h"
#include "aq_log.h"
#include "aq_platform.h"
#include "site_sim.h"
#include "store_keys.h"

/* Jobs in the form of the version before, which live nodes find in the
 * store. */

static int
append(void *buffer, const char *bytes, size_t size)
{
    AqBuffer_Append(buffer, bytes, size);
    return 0;
}

static void
pack_text(msgpack_packer *pk, const char *text)
{
    msgpack_pack_str(pk, strlen(text));
    msgpack_pack_str_body(pk, text, strlen(text));
}

/* Stores a job of queue q0 and pool p0 with one task, as the version before
 * has done. */
static void
put_old_job(Sim *sim, const char *id, const char *text)
{
    AqBuffer bytes;
    msgpack_packer pk;
    AqBuffer_Init(&bytes);
    msgpack_packer_init(&pk, &bytes, append);
    msgpack_pack_array(&pk, 10);
    msgpack_pack_int(&pk, 1);
    pack_text(&pk, id);
    pack_text(&pk, "q0");
    pack_text(&pk, text);
    for (int i = 0; i < 3; i++) {
        msgpack_pack_int(&pk, 0); /* no times, no occurrences */
    }
    msgpack_pack_int64(&pk, sim->now);
    msgpack_pack_array(&pk, 1);
    msgpack_pack_array(&pk, 14);
    msgpack_pack_int(&pk, 1);
    msgpack_pack_int(&pk, 500); /* cpu_millis */
    msgpack_pack_int(&pk, 100); /* memory_mb */
    msgpack_pack_int(&pk, 0);
    msgpack_pack_int(&pk, 1000); /* estimate_ms */
    msgpack_pack_int(&pk, 0);
    msgpack_pack_array(&pk, 0);
    for (int i = 0; i < 3; i++) {
        msgpack_pack_nil(&pk);
    }
    for (int i = 0; i < 4; i++) {
        msgpack_pack_int(&pk, 0);
    }
    msgpack_pack_nil(&pk); /* workspace */
    sim_store_put(sim, key_of_job("p0", id), AqBuffer_Text(&bytes),
                  bytes.size);
    AqBuffer_Clear(&bytes);
}

static void
expect_sound(const Sim *sim)
{
    CU_ASSERT_STRING_EQUAL(sim->violation, "");
}

/* Guards against a job of the version before that is not found, or is run a
 * second time, once its queue has another pool: nothing tells its pool.  The
 * owner changes while the records are rewritten, and no task starts twice. */
static void
test_pool_of_old_jobs(void)
{
    enum {
        JOBS = 40 /* more than two writes of the owner rewrite */
    };
    Sim *sim = sim_create(1);
    char id[AQ_JOB_ID_SIZE];
    sim_run(sim, 2500);
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof(id), "%04x", i);
        put_old_job(sim, id, "1000 0 0");
    }
    sim_run(sim, 150);
    sim_kill_node(sim, (unsigned)sim_owner(sim, 0), 100);
    sim_run(sim, 20000);
    for (int i = 0; i < JOBS; i++) {
        g_snprintf(id, sizeof(id), "%04x", i);
        const char *pool = sim_store_value(sim, key_of(KEY_JOB_POOL, id));
        CU_ASSERT_PTR_NOT_NULL_FATAL(pool);
        CU_ASSERT_STRING_EQUAL(pool, "p0");
    }
    CU_ASSERT_EQUAL(sim->done_count, JOBS);
    expect_sound(sim);
    sim_destroy(sim);
}

/* Guards against a job of the version before that fails without end, since its
 * queue is gone before or after the owner has read the job, also when the next
 * owner finds the rewritten record. */
static void
test_limit_of_old_jobs(void)
{
    static const char config[] =
        "{\"version\":9,\"routes\":["
        "{\"name\":\"q1\",\"host\":\"h\",\"prefix\":\"/q1/\","
        "\"service\":\"p1\",\"max_attempts\":4}],"
        "\"services\":[{\"name\":\"p0\"},{\"name\":\"p1\"}]}";
    for (int is_read_before = 0; is_read_before < 2; is_read_before++) {
        Sim *sim = sim_create(1);
        sim_run(sim, 2500);
        if (is_read_before) {
            put_old_job(sim, "ab12", "1000 0 1000");
            sim_run(sim, 1500);
        }
        sim_store_put(sim, AqPlatform_ConfigKey, config, strlen(config));
        sim_run(sim, 1000);
        if (!is_read_before) {
            put_old_job(sim, "ab12", "1000 0 1000");
            sim_run(sim, 500);
        }
        sim_kill_node(sim, (unsigned)sim_owner(sim, 0), 100);
        sim_run(sim, 20000);
        CU_ASSERT_EQUAL(sim->start_count, 4);
        expect_sound(sim);
        sim_destroy(sim);
    }
}

int
main(void)
{
    AqLog_Start("test", AQ_LOG_ERROR);
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("old_records", NULL, NULL);
    CU_ADD_TEST(suite, test_pool_of_old_jobs);
    CU_ADD_TEST(suite, test_limit_of_old_jobs);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
