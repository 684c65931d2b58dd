#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "fake_daemon.h"

#define NOW_MS 1000000000 /* wall time at which all intents are evaluated */

/* ---- Fixture ---------------------------------------------------------- */

static void
put_vm(json_t *set, const char *id, const char *pool, const char *state,
       const char *more)
{
    json_t *vm =
        json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:{s:s}}", "pool", pool,
                  "state", state, "rack", "r1", "zone", "hal-a", "address",
                  "10.0.0.1:80", "since", 5, "labels", "size", "big");
    json_t *extra = json_loads(more, 0, NULL);
    json_object_update(vm, extra);
    json_decref(extra);
    set_put(set, AQ_REC_VM, id, vm);
}

static void
put_pool(json_t *set, const char *name, int min, const char *more)
{
    json_t *pool = json_pack("{s:s, s:{}, s:i, s:i, s:i, s:i}", "service",
                             name, "selector", "min_serving", min, "slots", 8,
                             "connections", 64, "objective", 999);
    json_t *extra = json_loads(more, 0, NULL);
    json_object_update(pool, extra);
    json_decref(extra);
    set_put(set, AQ_REC_POOL, name, pool);
}

/* Returns a document in which the budget of pool "a" allows one VM to be
 * drained, that of "b" none because of min_serving, and that of "m" none
 * because of max_unavailable; the selector of pool "gpu" matches no VM. */
static AqFleet *
make_fleet(void)
{
    AqFleet *fleet = AqFleet_Create();
    json_t *set = json_array();
    put_pool(set, "a", 2, "{\"max_unavailable\": 2}");
    put_pool(set, "b", 2, "{}");
    put_pool(set, "m", 0, "{\"max_unavailable\": 1}");
    put_pool(set, "gpu", 0, "{\"selector\": {\"card\": \"yes\"}}");
    put_pool(set, "empty", 0, "{}");
    put_vm(set, "a1", "a", "serving", "{}");
    put_vm(set, "a2", "a", "serving", "{}");
    put_vm(set, "a3", "a", "serving", "{}");
    put_vm(set, "a4", "a", "failed", "{}");
    put_vm(set, "b1", "b", "serving", "{}");
    put_vm(set, "b2", "b", "serving", "{}");
    put_vm(set, "m1", "m", "serving", "{}");
    put_vm(set, "m2", "m", "drained", "{}");
    put_vm(set, "s1", "spare", "serving", "{}");
    put_vm(set, "s2", "spare", "drained", "{}");
    put_vm(set, "s3", "spare", "checking", "{\"due\": 9}");
    put_vm(set, "s4", "spare", "draining", "{\"wave\": \"w\"}");
    put_vm(set, "s5", "spare", "drained", "{\"target\": \"a\"}");
    put_vm(set, "s6", "spare", "rebooting", "{\"wave\": \"w\"}");
    put_vm(set, "s7", "spare", "leaving", "{}");
    set_put(set, AQ_REC_WAVE, "w",
            json_pack("{s:s, s:s, s:{}, s:i, s:i, s:s}", "kind", "reboot",
                      "state", "running", "selector", "max_parallel", 2, "id",
                      1, "recent", "x"));
    set_put(set, AQ_REC_WAVE, "old",
            json_pack("{s:s, s:s, s:{}, s:i, s:i}", "kind", "reboot", "state",
                      "done", "selector", "max_parallel", 2, "id", 1));
    set_put(set, AQ_REC_MEMBER, "e1",
            json_pack("{s:s}", "address", "10.0.0.9:1"));
    CU_ASSERT_TRUE_FATAL(AqFleet_Apply(fleet, "setup", set, NULL));
    json_decref(set);
    return fleet;
}

/* ---- Intents ---------------------------------------------------------- */

typedef struct {
    const char *kind;
    const char *args;
    AqErrorKind error;
    /* With "error" other than AQ_OK: texts that the error message must
     * contain.  With AQ_OK: kind and name of a record, a field of the record
     * and the JSON value that the field must have after the intent ("" if
     * absent).  Without a field the intent must delete the record, and without
     * a kind the intent must yield no upserts.  Single quotes in all texts
     * stand for double quotes. */
    const char *expected[4];
} IntentCase;

static const IntentCase cases[] = {
#include "intent_cases.inc"
};

/* Returns a copy of "text" with double quotes for single quotes, in one of
 * four static buffers that are used in turn. */
static const char *
quoted(const char *text)
{
    static char buffers[4][256];
    static unsigned next;
    char *copy = buffers[next++ % 4];
    g_strlcpy(copy, text, sizeof(buffers[0]));
    return g_strdelimit(copy, "'", '"');
}

static void
check_record(const IntentCase *at, const AqFleet *fleet)
{
    AqRecordKind kind = AQ_REC_POOL;
    CU_ASSERT_TRUE_FATAL(record_kind_parse(at->expected[0], &kind));
    const json_t *record = AqFleet_Get(fleet, kind, at->expected[1]);
    if (at->expected[2] == NULL) {
        CU_ASSERT_PTR_NULL(record);
        return;
    }
    const json_t *value = json_object_get(record, at->expected[2]);
    char *text = value == NULL ? strdup("") : AqJson_Dump(value);
    if (strcmp(text, quoted(at->expected[3])) != 0) {
        fprintf(stderr, "%s %s: %s is %s, not %s\n", at->kind, at->args,
                at->expected[2], text, at->expected[3]);
        CU_FAIL("wrong record");
    }
    free(text);
}

static void
check_message(const IntentCase *at, const AqError *error)
{
    CU_ASSERT_EQUAL(error->kind, at->error);
    for (int i = 0; i < 4 && at->expected[i] != NULL; i++) {
        if (strstr(error->message, quoted(at->expected[i])) == NULL) {
            fprintf(stderr, "%s %s: \"%s\" not in: %s\n", at->kind, at->args,
                    at->expected[i], error->message);
            CU_FAIL("the message lacks an expected text");
        }
    }
}

/* Guards against intents that are accepted although they must be refused, or
 * that change the wrong record.  Guards also against error messages that do
 * not name the field, its value and valid range, or the pool's VM counts and
 * the remedy. */
static void
test_intents(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        const IntentCase *at = &cases[i];
        AqFleet *fleet = make_fleet();
        AqFleet *before = AqFleet_Clone(fleet);
        AqError error = {0};
        json_t *set = json_array();
        json_t *intent = fake_intent("op-1", at->kind,
                                     json_loads(quoted(at->args), 0, NULL));
        bool ok = AqFleet_Evaluate(fleet, intent, NOW_MS, set, &error);
        if (ok != (at->error == AQ_OK)) {
            fprintf(stderr, "%s %s: %s\n", at->kind, at->args, error.message);
            CU_FAIL("wrong result");
        }
        else if (!ok) {
            check_message(at, &error);
            CU_ASSERT_EQUAL(json_array_size(set), 0);
        }
        else if (at->expected[0] == NULL) {
            CU_ASSERT_EQUAL(json_array_size(set), 0);
        }
        else {
            bool good = AqFleet_Apply(fleet, "op-1", set, &error) &&
                        AqFleet_CheckConsistency(fleet, &error) &&
                        AqFleet_CheckStep(before, fleet, &error);
            if (!good) {
                fprintf(stderr, "%s: %s\n", at->args, error.message);
            }
            CU_ASSERT_TRUE(good);
            check_record(at, fleet);
        }
        json_decref(set);
        json_decref(intent);
        AqFleet_Destroy(fleet);
        AqFleet_Destroy(before);
    }
}

/* Guards against accepting an intent with a missing or invalid "op", "kind" or
 * "args", or with an unknown field. */
static void
test_envelope(void)
{
    /* Each row: an intent that must be refused, and a text that the error
     * message must contain. */
    static const char *const bad[][2] = {
        {"[]", "not a JSON object"},
        {"{\"kind\": \"vm.drain\", \"args\": {}}", "\"op\" is missing"},
        {"{\"op\": \"\", \"kind\": \"x\", \"args\": {}}", "1 to 128"},
        {"{\"op\": \"a b\", \"kind\": \"x\", \"args\": {}}", "\"a b\""},
        {"{\"op\": \"a\", \"kind\": \"vm.fly\", \"args\": {}}", "vm.undrain"},
        {"{\"op\": \"a\", \"kind\": \"vm.drain\"}", "\"args\" is missing"},
        {"{\"op\": \"a\", \"args\": {}, \"x\": 1}", "\"x\" is unknown"},
    };
    AqFleet *fleet = make_fleet();
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        AqError error = {0};
        json_t *set = json_array();
        json_t *intent = json_loads(bad[i][0], 0, NULL);
        CU_ASSERT_FALSE(AqFleet_Evaluate(fleet, intent, NOW_MS, set, &error));
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, bad[i][1]));
        json_decref(intent);
        json_decref(set);
    }
    AqFleet_Destroy(fleet);
}

/* ---- Steps and storage ------------------------------------------------ */

/* Guards against AqFleet_CheckStep accepting a change of a VM's state that
 * section 12 of the design page does not allow, or rejecting one that the
 * section allows. */
static void
test_transitions(void)
{
    /* One row per state of a VM before a change and one character per state
     * after it, both in the order of AqVmState; "y": AqFleet_CheckStep must
     * accept the change, ".": it must reject the change. */
    static const char *const allowed[VM_STATE_COUNT] = {
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a serving VM may stay so or become draining, failed or
         * leaving. */
        "yy...yy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a draining VM may become serving, stay draining, or become
         * drained, failed or leaving. */
        "yyy..yy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a drained VM may become serving, stay drained, or become
         * rebooting, failed or leaving. */
        "y.yy.yy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a rebooting VM may stay so or become checking, failed or
         * leaving. */
        "...yyyy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a checking VM may become serving, stay checking, or become
         * failed or leaving. */
        "y...yyy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a failed VM may become checking, stay failed, or become
         * leaving. */
        "....yyy",
        /* One character per next state in the order of AqVmState, "y" if
         * allowed: a leaving VM may become checking or failed, or stay
         * leaving. */
        "....yyy",
    };
    for (int from = 0; from < VM_STATE_COUNT; from++) {
        for (int to = 0; to < VM_STATE_COUNT; to++) {
            AqFleet *before = AqFleet_Create();
            json_t *set = json_array();
            AqError error;
            put_vm(set, "v", SPARE_POOL, AqVmState_Name((AqVmState)from),
                   "{}");
            AqFleet_Apply(before, "one", set, NULL);
            AqFleet *after = AqFleet_Clone(before);
            json_array_clear(set);
            put_vm(set, "v", SPARE_POOL, AqVmState_Name((AqVmState)to),
                   "{\"labels\": {}}");
            CU_ASSERT_TRUE(AqFleet_Apply(after, "two", set, NULL));
            CU_ASSERT_EQUAL(AqFleet_CheckStep(before, after, &error),
                            allowed[from][to] == 'y');
            json_decref(set);
            AqFleet_Destroy(before);
            AqFleet_Destroy(after);
        }
    }
}

/* Guards against AqFleet_CheckStep accepting a drain of a VM beyond its pool's
 * budget, a move or removal of a VM without a drain, or a document version
 * that does not grow. */
static void
test_step_check(void)
{
    static const struct {
        const char *vm; /* id of the VM that is changed; make_fleet adds it */
        /* pool of the VM after the change; NULL: the VM is removed */
        const char *pool;
        const char *state; /* state of the VM after the change */
        /* text that the error message of AqFleet_CheckStep must contain; NULL:
         * AqFleet_CheckStep must accept the change */
        const char *fault;
    } steps[] = {
        {"a1", "a", "draining", NULL},
        {"b1", "b", "draining", "planned stop"},
        {"b1", "b", "failed", NULL},
        {"m1", "m", "draining", "planned stop"},
        {"a1", "b", "serving", "without a drain"},
        {"s2", "b", "serving", NULL},
        {"s2", "b", "drained", "without a drain"},
        {"a1", NULL, NULL, "without a drain"},
        {"s2", NULL, NULL, NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        AqFleet *before = make_fleet();
        AqFleet *after = AqFleet_Clone(before);
        AqError error = {0};
        json_t *set = json_array();
        if (steps[i].pool == NULL) {
            set_put(set, AQ_REC_VM, steps[i].vm, NULL);
        }
        else {
            put_vm(set, steps[i].vm, steps[i].pool, steps[i].state, "{}");
        }
        CU_ASSERT_TRUE(AqFleet_Apply(after, "two", set, &error));
        CU_ASSERT_EQUAL(AqFleet_CheckStep(before, after, &error),
                        steps[i].fault == NULL);
        CU_ASSERT_TRUE(steps[i].fault == NULL ||
                       strstr(error.message, steps[i].fault) != NULL);
        CU_ASSERT_FALSE(AqFleet_CheckStep(after, before, &error));
        CU_ASSERT_FALSE(AqFleet_CheckStep(before, before, &error));
        json_decref(set);
        AqFleet_Destroy(before);
        AqFleet_Destroy(after);
    }
}

/* Guards against a set of upserts that is invalid but is applied in part. */
static void
test_apply_is_atomic(void)
{
    static const char *const bad[] = {
        "{}",
        "[[\"vm\"]]",
        "[[\"ship\", \"x\", {}]]",
        "[[\"pool\", \"spare\", null]]",
        "[[\"pool\", \"a\", null]]",
        "[[\"weights\", \"weights\", null]]",
        "[[\"member\", \"e2\", {\"address\": \"10.0.0.2:1\"}],"
        " [\"member\", \"e 3\", {\"address\": \"10.0.0.2:1\"}]]",
        "[[\"vm\", \"v\", {\"pool\": \"none\", \"state\": \"serving\","
        " \"labels\": {}, \"rack\": \"r\", \"zone\": \"z\", \"since\": 0,"
        " \"address\": \"10.0.0.1:1\"}]]",
    };
    AqFleet *fleet = make_fleet();
    char *was = AqFleet_EncodeSnapshot(fleet);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        AqError error = {0};
        json_t *set = json_loads(bad[i], 0, NULL);
        CU_ASSERT_FALSE(AqFleet_Apply(fleet, "two", set, &error));
        CU_ASSERT_EQUAL(error.kind, AQ_ERR_INVALID);
        json_decref(set);
    }
    json_t *none = json_array();
    AqError error = {0};
    CU_ASSERT_FALSE(AqFleet_Apply(fleet, "setup", none, &error));
    CU_ASSERT_EQUAL(error.kind, AQ_ERR_CONFLICT);
    json_decref(none);
    char *is = AqFleet_EncodeSnapshot(fleet);
    CU_ASSERT_STRING_EQUAL(was, is);
    free(was);
    free(is);
    AqFleet_Destroy(fleet);
}

static void
add_member(AqFleet *fleet, int i)
{
    char op[32], id[32];
    g_snprintf(op, sizeof(op), "op%d", i);
    g_snprintf(id, sizeof(id), "e%d", i % 40);
    json_t *set = json_array();
    set_put(set, AQ_REC_MEMBER, id,
            json_pack("{s:s}", "address", "10.1.1.1:7"));
    CU_ASSERT_TRUE(AqFleet_Apply(fleet, op, set, NULL));
    json_decref(set);
}

/* Guards against a reader of head that misses document versions, accepts an
 * older head, or loses the epoch or operation ids, and against a tail in head
 * that grows without limit. */
static void
test_storage(void)
{
    AqFleet *writer = AqFleet_Create();
    AqFleet *near = AqFleet_Create();
    AqFleet *far = AqFleet_Create();
    AqError error = {0};
    char *snapshot = NULL;
    int64_t snapshot_version = 0;
    char *first = NULL;
    for (int i = 0; i < 300; i++) {
        if (AqFleet_NeedsSnapshot(writer)) {
            free(snapshot);
            snapshot = AqFleet_EncodeSnapshot(writer);
            AqFleet_SnapshotWritten(writer);
        }
        add_member(writer, i);
        CU_ASSERT_TRUE(json_array_size(writer->tail) <= TAIL_MAX_ENTRIES);
        char *head = AqFleet_EncodeHead(writer);
        CU_ASSERT_EQUAL(AqFleet_LoadHead(near, head, strlen(head),
                                         &snapshot_version, &error),
                        AQ_LOAD_OK);
        CU_ASSERT_EQUAL(AqFleet_LoadHead(near, head, strlen(head),
                                         &snapshot_version, &error),
                        AQ_LOAD_OLDER);
        first = first == NULL ? strdup(head) : first;
        free(head);
    }
    char *head = AqFleet_EncodeHead(writer);
    CU_ASSERT_EQUAL(
        AqFleet_LoadHead(far, head, strlen(head), &snapshot_version, &error),
        AQ_LOAD_SNAPSHOT);
    CU_ASSERT_EQUAL(snapshot_version, writer->snapshot_version);
    CU_ASSERT_EQUAL(
        AqFleet_LoadSnapshot(far, snapshot, strlen(snapshot), &error),
        AQ_LOAD_OK);
    /* The loaded snapshot may have come from another daemon without being in
     * the store, so the next commit must store a snapshot. */
    CU_ASSERT_TRUE(AqFleet_NeedsSnapshot(far));
    CU_ASSERT_EQUAL(
        AqFleet_LoadHead(far, head, strlen(head), &snapshot_version, &error),
        AQ_LOAD_OK);
    CU_ASSERT_EQUAL(
        AqFleet_LoadHead(far, first, strlen(first), &snapshot_version, &error),
        AQ_LOAD_OLDER);
    CU_ASSERT_EQUAL(
        AqFleet_LoadSnapshot(far, snapshot, strlen(snapshot), &error),
        AQ_LOAD_OLDER);
    char *a = AqFleet_EncodeSnapshot(far);
    char *b = AqFleet_EncodeSnapshot(writer);
    char *c = AqFleet_EncodeSnapshot(near);
    CU_ASSERT_STRING_EQUAL(a, b);
    CU_ASSERT_STRING_EQUAL(c, b);
    CU_ASSERT_EQUAL(AqFleet_Epoch(far), 40);
    CU_ASSERT_EQUAL(AqFleet_FindOp(far, "op299"), 300);
    CU_ASSERT_EQUAL(AqFleet_FindOp(far, "op44"), 45);
    CU_ASSERT_EQUAL(AqFleet_FindOp(far, "op43"), 0);
    CU_ASSERT_TRUE(AqFleet_CheckConsistency(far, &error));
    free(a);
    free(b);
    free(c);
    free(head);
    free(first);
    free(snapshot);
    AqFleet_Destroy(writer);
    AqFleet_Destroy(near);
    AqFleet_Destroy(far);
}

/* Guards against a damaged head or snapshot that crashes the daemon reading it
 * or is applied in part. */
static void
test_bad_texts(void)
{
    static const char *const heads[] = {
        "",
        "{}",
        "{\"version\":3,\"snapshot\":0,\"tail\":[]}",
        "{\"version\":1,\"snapshot\":0,\"tail\":[{}]}",
        "{\"version\":1,\"snapshot\":0,\"tail\":"
        "[{\"version\":1,\"op\":1,\"set\":[]}]}",
        "{\"version\":1,\"epoch\":0,\"ops\":[1],\"records\":{}}",
        "{\"version\":1,\"snapshot\":0,\"tail\":"
        "[{\"version\":2,\"op\":\"x\",\"set\":[]}]}",
        "{\"version\":2,\"snapshot\":0,\"tail\":"
        "[{\"version\":1,\"op\":\"x\",\"set\":[[\"member\",\"e1\","
        "{\"address\":\"10.0.0.1:1\"}]]},"
        "{\"version\":2,\"op\":\"y\",\"set\":[[\"pool\",\"spare\",null]]}]}",
    };
    AqFleet *fleet = AqFleet_Create();
    char *was = AqFleet_EncodeSnapshot(fleet);
    int64_t snapshot_version;
    for (size_t i = 0; i < G_N_ELEMENTS(heads); i++) {
        AqError error = {0};
        CU_ASSERT_EQUAL(AqFleet_LoadHead(fleet, heads[i], strlen(heads[i]),
                                         &snapshot_version, &error),
                        AQ_LOAD_BAD);
        CU_ASSERT_NOT_EQUAL(error.kind, AQ_OK);
        CU_ASSERT_EQUAL(
            AqFleet_LoadSnapshot(fleet, heads[i], strlen(heads[i]), &error),
            AQ_LOAD_BAD);
        CU_ASSERT_TRUE(AqFleet_CheckConsistency(fleet, &error));
    }
    char *is = AqFleet_EncodeSnapshot(fleet);
    CU_ASSERT_STRING_EQUAL(was, is);
    free(was);
    free(is);
    AqFleet_Destroy(fleet);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("fleet", NULL, NULL);
    CU_ADD_TEST(suite, test_intents);
    CU_ADD_TEST(suite, test_envelope);
    CU_ADD_TEST(suite, test_transitions);
    CU_ADD_TEST(suite, test_step_check);
    CU_ADD_TEST(suite, test_apply_is_atomic);
    CU_ADD_TEST(suite, test_storage);
    CU_ADD_TEST(suite, test_bad_texts);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures > 0;
}
