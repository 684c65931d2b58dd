#include "fake_daemon.h"

#include <stdlib.h>
#include <string.h>

/* ---- Store ------------------------------------------------------------ */

void
fake_store_init(FakeStore *store, bool check)
{
    memset(store, 0, sizeof(*store));
    store->snapshots = json_object();
    store->check = check;
    store->oracle = check ? AqFleet_Create() : NULL;
    store->ops = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
fake_store_clear(FakeStore *store)
{
    free(store->head);
    free(store->delayed_head);
    json_decref(store->snapshots);
    AqFleet_Destroy(store->oracle);
    g_hash_table_destroy(store->ops);
}

/* Records a violated invariant in store->fault, unless one was recorded there
 * before. */
static void
record_fault(FakeStore *store, const char *rule, const char *detail)
{
    if (store->fault[0] == '\0') {
        g_snprintf(store->fault, sizeof(store->fault), "%s: %s", rule, detail);
    }
}

/* Updates a document to the version of head.  When the tail in head begins
 * after the document's next version, first loads the snapshot that head refers
 * to. */
static AqLoadResult
load(FakeStore *store, AqFleet *fleet, AqError *error)
{
    int64_t snapshot = 0;
    AqLoadResult result = AqFleet_LoadHead(
        fleet, store->head, strlen(store->head), &snapshot, error);
    if (result != AQ_LOAD_SNAPSHOT) {
        return result;
    }
    char key[64];
    g_snprintf(key, sizeof(key), "%s%lld", AQ_FLEET_SNAPSHOT_PREFIX,
               (long long)snapshot);
    const char *text =
        json_string_value(json_object_get(store->snapshots, key));
    if (text == NULL) {
        AqError_Set(error, AQ_ERR_NOT_FOUND, "%s is missing", key);
        return AQ_LOAD_BAD;
    }
    result = AqFleet_LoadSnapshot(fleet, text, strlen(text), error);
    return result == AQ_LOAD_OK || result == AQ_LOAD_OLDER
               ? AqFleet_LoadHead(fleet, store->head, strlen(store->head),
                                  &snapshot, error)
               : result;
}

/* Checks the document version just written to head against the previous
 * one. */
static void
check_written(FakeStore *store)
{
    AqError error = {0};
    AqFleet *before = AqFleet_Clone(store->oracle);
    if (load(store, store->oracle, &error) != AQ_LOAD_OK) {
        record_fault(store, "head is invalid or its version is not newer",
                     error.message);
    }
    else if (store->oracle->version != before->version + 1) {
        record_fault(store, "a commit skipped a version", "");
    }
    else if (!AqFleet_CheckConsistency(store->oracle, &error) ||
             !AqFleet_CheckStep(before, store->oracle, &error)) {
        record_fault(store, "check", error.message);
    }
    else {
        const json_t *ops = store->oracle->ops;
        const char *op = json_string_value(
            json_array_get(json_array_get(ops, json_array_size(ops) - 1), 0));
        if (!g_hash_table_add(store->ops, g_strdup(op))) {
            record_fault(store, "an operation was applied twice", op);
        }
    }
    AqFleet_Destroy(before);
}

static bool
write_head(FakeStore *store, const char *text, int64_t index)
{
    if (index != store->index && !store->no_cas) {
        return false;
    }
    free(store->head);
    store->head = strdup(text);
    store->index++;
    store->writes++;
    if (store->check) {
        check_written(store);
    }
    return true;
}

FakeCas
fake_store_cas(FakeStore *store, const char *text, int64_t index,
               FakeReply reply)
{
    if (reply == REPLY_LATE) {
        free(store->delayed_head);
        store->delayed_head = strdup(text);
        store->delayed_index = index;
    }
    if (reply == REPLY_LATE || reply == REPLY_LOST_BEFORE) {
        return CAS_UNKNOWN;
    }
    bool done = write_head(store, text, index);
    return reply == REPLY_LOST_AFTER ? CAS_UNKNOWN
           : done                    ? CAS_DONE
                                     : CAS_CONFLICT;
}

void
fake_store_deliver(FakeStore *store)
{
    if (store->delayed_head != NULL) {
        write_head(store, store->delayed_head, store->delayed_index);
        free(store->delayed_head);
        store->delayed_head = NULL;
    }
}

/* ---- Platform --------------------------------------------------------- */

void
fake_platform_init(FakePlatform *platform, uint64_t seed)
{
    memset(platform, 0, sizeof(*platform));
    AqRandom_Seed(&platform->random, seed);
    platform->vms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    platform->now_ms = 1000000;
    platform->list_lag_ms = 3000;
    platform->reboot_ms = 30000;
    platform->in_flight_ms = 2000;
}

void
fake_platform_clear(FakePlatform *platform)
{
    g_hash_table_destroy(platform->vms);
}

FakeVm *
fake_platform_vm(FakePlatform *platform, const char *id)
{
    FakeVm *vm = g_hash_table_lookup(platform->vms, id);
    if (vm == NULL) {
        vm = g_new0(FakeVm, 1);
        vm->up = true;
        vm->listed = "live";
        g_hash_table_insert(platform->vms, g_strdup(id), vm);
    }
    return vm;
}

void
fake_platform_advance(FakePlatform *platform, int64_t ms)
{
    GHashTableIter at;
    void *value;
    platform->now_ms += ms;
    bool list =
        platform->now_ms - platform->listed_at_ms >= platform->list_lag_ms;
    platform->listed_at_ms = list ? platform->now_ms : platform->listed_at_ms;
    g_hash_table_iter_init(&at, platform->vms);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        FakeVm *vm = value;
        if (!vm->up && vm->up_at_ms != 0 && platform->now_ms >= vm->up_at_ms) {
            vm->up = true;
            vm->leaving = false;
            vm->up_since_ms = vm->up_at_ms;
        }
        if (list) {
            vm->listed = !vm->up ? "down" : vm->leaving ? "leaving" : "live";
        }
    }
}

void
fake_platform_fail(FakeVm *vm, int64_t up_at_ms)
{
    vm->up = false;
    vm->up_at_ms = up_at_ms;
}

void
fake_platform_reboot(FakePlatform *platform, const AqFleet *fleet,
                     const json_t *reboots)
{
    size_t i;
    json_t *id;
    json_array_foreach((json_t *)reboots, i, id)
    {
        FakeVm *vm = fake_platform_vm(platform, json_string_value(id));
        AqVmView view;
        if (AqFleet_GetVm(fleet, json_string_value(id), &view) &&
            view.since > vm->last_reboot_since_ms) {
            vm->last_reboot_since_ms = view.since;
            int64_t ms = platform->reboot_ms / 2 +
                         (int64_t)AqRandom_Below(
                             &platform->random, (uint64_t)platform->reboot_ms);
            fake_platform_fail(vm,
                               vm->never_returns ? 0 : platform->now_ms + ms);
        }
    }
}

static const char *
fake_listed(void *context, const char *id)
{
    return fake_platform_vm(context, id)->listed;
}

static int64_t
fake_in_flight(void *context, const char *id, int64_t version)
{
    FakePlatform *platform = context;
    AqVmView view;
    (void)version;
    AqFleet_GetVm(platform->fleet, id, &view);
    int64_t age = platform->now_ms - view.since;
    return age < 1000 ? -1 : age < platform->in_flight_ms ? 3 : 0;
}

static bool
fake_healthy_for(void *context, const char *id, int64_t ms)
{
    FakePlatform *platform = context;
    const FakeVm *vm = fake_platform_vm(platform, id);
    return vm->up && !vm->unhealthy &&
           platform->now_ms - vm->up_since_ms >= ms;
}

const AqPlannerView fake_platform_view = {
    .listed = fake_listed,
    .in_flight = fake_in_flight,
    .healthy_for = fake_healthy_for,
};

/* ---- Daemon ----------------------------------------------------------- */

void
fake_daemon_init(FakeDaemon *daemon, FakeStore *store, FakePlatform *platform)
{
    memset(daemon, 0, sizeof(*daemon));
    daemon->store = store;
    daemon->platform = platform;
    daemon->fleet = AqFleet_Create();
    daemon->planner = AqPlanner_Create();
}

static void
discard_next(FakeDaemon *daemon)
{
    AqFleet_Destroy(daemon->next);
    json_decref(daemon->set);
    daemon->next = NULL;
    daemon->set = NULL;
}

void
fake_daemon_clear(FakeDaemon *daemon)
{
    discard_next(daemon);
    json_decref(daemon->intent);
    AqFleet_Destroy(daemon->fleet);
    AqPlanner_Destroy(daemon->planner);
}

void
fake_daemon_begin(FakeDaemon *daemon, json_t *intent, const char *op)
{
    json_decref(daemon->intent);
    daemon->intent = intent;
    daemon->phase = PHASE_EVALUATE;
    daemon->outcome = OUTCOME_NONE;
    daemon->is_head_read = false;
    daemon->is_needless_refusal = false;
    g_strlcpy(daemon->op, op, sizeof(daemon->op));
}

void
fake_daemon_read(FakeDaemon *daemon)
{
    FakeStore *store = daemon->store;
    int64_t version = daemon->fleet->version;
    store->reads++;
    if (store->head != NULL && daemon->index != store->index) {
        AqLoadResult result = load(store, daemon->fleet, &daemon->error);
        if (result == AQ_LOAD_BAD || daemon->fleet->version < version) {
            record_fault(
                store,
                "a daemon could not load head or went back to an older "
                "version",
                daemon->error.message);
        }
    }
    daemon->index = store->index;
}

static void
end_operation(FakeDaemon *daemon, FakeOutcome outcome)
{
    FakeStore *store = daemon->store;
    bool written = g_hash_table_contains(store->ops, daemon->op);
    daemon->outcome = outcome;
    daemon->phase = PHASE_IDLE;
    if (daemon->intent == NULL || outcome != OUTCOME_REFUSED ||
        !store->check) {
        return;
    }
    if (written) {
        record_fault(store, "an applied operation was reported as refused",
                     daemon->op);
    }
    AqError error;
    json_t *set = json_array();
    daemon->is_needless_refusal = AqFleet_Evaluate(
        store->oracle, daemon->intent, daemon->platform->now_ms, set, &error);
    json_decref(set);
}

static bool
decide(FakeDaemon *daemon)
{
    FakePlatform *platform = daemon->platform;
    if (daemon->intent != NULL) {
        return AqFleet_Evaluate(daemon->fleet, daemon->intent,
                                platform->now_ms, daemon->set, &daemon->error);
    }
    json_t *reboots = json_array();
    platform->fleet = daemon->fleet;
    AqPlanner_Step(daemon->planner, daemon->fleet, platform->now_ms,
                   &fake_platform_view, platform, daemon->set, reboots);
    fake_platform_reboot(platform, daemon->fleet, reboots);
    json_decref(reboots);
    return true;
}

static void
evaluate(FakeDaemon *daemon)
{
    bool known = AqFleet_FindOp(daemon->fleet, daemon->op) != 0;
    discard_next(daemon);
    if (known && !daemon->no_read_back) {
        end_operation(daemon, OUTCOME_ACCEPTED);
        return;
    }
    daemon->set = json_array();
    if (known || !decide(daemon)) {
        /* A refusal of an intent is final only if head was read since the
         * intent arrived; an older document may refuse what the newest
         * allows. */
        if (daemon->is_head_read) {
            end_operation(daemon, OUTCOME_REFUSED);
        }
        else {
            daemon->phase = PHASE_READ;
        }
        return;
    }
    if (json_array_size(daemon->set) == 0) {
        end_operation(daemon, OUTCOME_ACCEPTED);
        return;
    }
    daemon->next = AqFleet_Clone(daemon->fleet);
    daemon->next_index = daemon->index;
    daemon->phase =
        AqFleet_NeedsSnapshot(daemon->next) ? PHASE_SNAPSHOT : PHASE_CAS;
}

static void
write_snapshot(FakeDaemon *daemon)
{
    char key[64];
    g_snprintf(key, sizeof(key), "%s%lld", AQ_FLEET_SNAPSHOT_PREFIX,
               (long long)daemon->next->version);
    if (json_object_get(daemon->store->snapshots, key) == NULL) {
        char *text = AqFleet_EncodeSnapshot(daemon->next);
        json_object_set_new(daemon->store->snapshots, key, json_string(text));
        free(text);
        daemon->store->writes++;
    }
    AqFleet_SnapshotWritten(daemon->next);
    daemon->phase = PHASE_CAS;
}

static void
commit(FakeDaemon *daemon, FakeReply reply)
{
    if (!AqFleet_Apply(daemon->next, daemon->op, daemon->set,
                       &daemon->error)) {
        record_fault(daemon->store,
                     "the upserts of an evaluated operation are invalid",
                     daemon->error.message);
        end_operation(daemon, OUTCOME_REFUSED);
        return;
    }
    char *text = AqFleet_EncodeHead(daemon->next);
    FakeCas result =
        fake_store_cas(daemon->store, text, daemon->next_index, reply);
    free(text);
    if (result == CAS_DONE) {
        AqFleet *old = daemon->fleet;
        daemon->fleet = daemon->next;
        daemon->next = old;
        daemon->index = daemon->store->index;
        end_operation(daemon, OUTCOME_ACCEPTED);
    }
    else if (result == CAS_CONFLICT && daemon->no_reevaluate) {
        end_operation(daemon, OUTCOME_REFUSED);
    }
    else if (result == CAS_CONFLICT && daemon->intent == NULL) {
        end_operation(daemon, OUTCOME_REFUSED);
        fake_daemon_read(daemon);
    }
    else {
        daemon->phase = PHASE_READ;
    }
    discard_next(daemon);
}

void
fake_daemon_step(FakeDaemon *daemon, FakeReply reply)
{
    switch (daemon->phase) {
    case PHASE_READ:
        fake_daemon_read(daemon);
        daemon->is_head_read = true;
        daemon->phase = PHASE_EVALUATE;
        break;
    case PHASE_EVALUATE:
        evaluate(daemon);
        break;
    case PHASE_SNAPSHOT:
        write_snapshot(daemon);
        break;
    case PHASE_CAS:
        commit(daemon, reply);
        break;
    default:
        break;
    }
}

void
fake_daemon_finish(FakeDaemon *daemon)
{
    while (daemon->phase != PHASE_IDLE) {
        fake_daemon_step(daemon, REPLY_OK);
    }
}

void
fake_daemon_crash(FakeDaemon *daemon)
{
    discard_next(daemon);
    AqFleet_Destroy(daemon->fleet);
    AqPlanner_Destroy(daemon->planner);
    daemon->fleet = AqFleet_Create();
    daemon->planner = AqPlanner_Create();
    daemon->index = 0;
    if (daemon->phase != PHASE_IDLE) {
        daemon->phase = daemon->intent == NULL ? PHASE_IDLE : PHASE_READ;
    }
}

json_t *
fake_intent(const char *op, const char *kind, json_t *args)
{
    return json_pack("{s:s, s:s, s:o}", "op", op, "kind", kind, "args", args);
}
