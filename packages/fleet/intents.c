#include "fleet_internal.h"

#include <string.h>

static bool
check_args(const Intent *intent, const char *const *allowed, AqError *error)
{
    return check_known_fields(intent->args, allowed, error);
}

static bool
unknown_pool(const char *field, const char *name, AqError *error)
{
    return AqError_Set(error, AQ_ERR_NOT_FOUND,
                       "field \"%s\" is \"%s\", which is no pool; list the "
                       "pools or add it with pool.set",
                       field, name);
}

/* Returns a copy of "base" with new values for the fields listed in "fields":
 * each of them that "args" contains gets the value in "args", and a null value
 * removes the field. */
static json_t *
merge_fields(const json_t *base, const json_t *args, const char *const *fields)
{
    json_t *record = json_copy((json_t *)base);
    for (int i = 0; fields[i] != NULL; i++) {
        json_t *value = json_object_get(args, fields[i]);
        if (json_is_null(value)) {
            json_object_del(record, fields[i]);
        }
        else if (value != NULL) {
            json_object_set(record, fields[i], value);
        }
    }
    return record;
}

/* Checks a new record and appends an upsert of it to the intent's set, unless
 * the document has an equal record of that kind and name.  Takes over the
 * caller's reference to the record. */
static bool
check_and_put(const Intent *intent, AqRecordKind kind, const char *name,
              json_t *record, AqError *error)
{
    const json_t *old = AqFleet_Get(intent->fleet, kind, name);
    bool ok = record_check(kind, name, record, error);
    if (ok && (old == NULL || !json_equal((json_t *)old, record))) {
        set_put(intent->set, kind, name, json_incref(record));
    }
    json_decref(record);
    return ok;
}

static bool
intent_pool_set(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {
        "name",  "service",     "selector",  "min_serving", "max_unavailable",
        "slots", "connections", "objective", NULL};
    const char *name;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "name", &name, error)) {
        return false;
    }
    const json_t *selector = json_object_get(intent->args, "selector");
    if (strcmp(name, SPARE_POOL) == 0 && json_object_size(selector) > 0) {
        return field_error(
            intent->args, "selector",
            "absent or {} for pool \"spare\", which takes every "
            "VM",
            error);
    }
    const json_t *old = AqFleet_Get(intent->fleet, AQ_REC_POOL, name);
    json_t *base = json_pack("{s:s, s:{}, s:i, s:i, s:i, s:i}", "service",
                             name, "selector", "min_serving", 0, "slots", 8,
                             "connections", 64, "objective", 999);
    /* Null as the value of an argument sets that field of the pool back to its
     * default; max_unavailable has no default and is removed. */
    json_t *record =
        merge_fields(old == NULL ? base : old, intent->args, allowed + 1);
    json_object_update_missing(record, base);
    json_decref(base);
    return check_and_put(intent, AQ_REC_POOL, name, record, error);
}

static bool
intent_budget_set(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"pool", "min_serving",
                                          "max_unavailable", NULL};
    const char *name;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "pool", &name, error)) {
        return false;
    }
    const json_t *old = AqFleet_Get(intent->fleet, AQ_REC_POOL, name);
    if (old == NULL) {
        return unknown_pool("pool", name, error);
    }
    if (json_object_size(intent->args) < 2) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "fields \"min_serving\" and \"max_unavailable\" "
                           "are missing; give one of them, a whole number "
                           "from 0 to 10000");
    }
    json_t *record = merge_fields(old, intent->args, allowed + 1);
    return check_and_put(intent, AQ_REC_POOL, name, record, error);
}

static bool
intent_pool_delete(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"name", NULL};
    const char *name;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "name", &name, error)) {
        return false;
    }
    const PoolEntry *pool = index_pool(intent->fleet, name);
    if (pool == NULL) {
        return unknown_pool("name", name, error);
    }
    if (strcmp(name, SPARE_POOL) == 0) {
        return field_error(intent->args, "name",
                           "another pool than \"spare\", which always exists",
                           error);
    }
    if (pool->vm_count + pool->incoming > 0) {
        return AqError_Set(error, AQ_ERR_REFUSED,
                           "pool \"%s\" has %d VMs and %d are moving to it; "
                           "move them to another pool first",
                           name, pool->vm_count, pool->incoming);
    }
    set_put(intent->set, AQ_REC_POOL, name, NULL);
    return true;
}

static bool
intent_team_set(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"name", "cores", "memory_mb",
                                          "accelerators", NULL};
    const char *name;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "name", &name, error)) {
        return false;
    }
    const json_t *old = AqFleet_Get(intent->fleet, AQ_REC_TEAM, name);
    json_t *base = json_pack("{s:i, s:i, s:i}", "cores", 0, "memory_mb", 0,
                             "accelerators", 0);
    json_t *record =
        merge_fields(old == NULL ? base : old, intent->args, allowed + 1);
    json_object_update_missing(record, base);
    json_decref(base);
    return check_and_put(intent, AQ_REC_TEAM, name, record, error);
}

static bool
intent_weights_set(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"buffer", "moves", "time", NULL};
    if (!check_args(intent, allowed, error)) {
        return false;
    }
    json_t *record =
        merge_fields(AqFleet_Get(intent->fleet, AQ_REC_WEIGHTS, WEIGHTS_NAME),
                     intent->args, allowed);
    return check_and_put(intent, AQ_REC_WEIGHTS, WEIGHTS_NAME, record, error);
}

static bool
intent_member_add(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", "address", NULL};
    const char *id;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "id", &id, error) ||
        !field_address(intent->args, "address", error)) {
        return false;
    }
    json_t *record = json_pack("{s:O}", "address",
                               json_object_get(intent->args, "address"));
    return check_and_put(intent, AQ_REC_MEMBER, id, record, error);
}

static bool
intent_member_remove(const Intent *intent, AqError *error)
{
    static const char *const allowed[] = {"id", NULL};
    const char *id;
    if (!check_args(intent, allowed, error) ||
        !field_name(intent->args, "id", &id, error)) {
        return false;
    }
    if (AqFleet_Get(intent->fleet, AQ_REC_MEMBER, id) == NULL) {
        return AqError_Set(error, AQ_ERR_NOT_FOUND,
                           "field \"id\" is \"%s\", which is no entry VM "
                           "member; it may have been removed already",
                           id);
    }
    set_put(intent->set, AQ_REC_MEMBER, id, NULL);
    return true;
}

static const struct {
    const char *kind;
    IntentHandler handler;
} handlers[] = {
    {"pool.set", intent_pool_set},
    {"pool.delete", intent_pool_delete},
    {"budget.set", intent_budget_set},
    {"vm.set", intent_vm_set},
    {"vm.remove", intent_vm_remove},
    {"vm.drain", intent_vm_drain},
    {"vm.undrain", intent_vm_undrain},
    {"vm.move", intent_vm_move},
    {"vm.reboot", intent_vm_reboot},
    {"wave.start", intent_wave_start},
    {"wave.pause", intent_wave_pause},
    {"wave.resume", intent_wave_resume},
    {"wave.abort", intent_wave_abort},
    {"team.set", intent_team_set},
    {"weights.set", intent_weights_set},
    {"member.add", intent_member_add},
    {"member.remove", intent_member_remove},
};

static bool
unknown_kind(const json_t *intent, AqError *error)
{
    GString *kinds = g_string_new("one of");
    for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
        g_string_append_printf(kinds, "%s %s", i == 0 ? "" : ",",
                               handlers[i].kind);
    }
    field_error(intent, "kind", kinds->str, error);
    g_string_free(kinds, TRUE);
    return false;
}

static bool
is_valid_op(const char *op)
{
    size_t size = op == NULL ? 0 : strlen(op);
    for (size_t i = 0; i < size; i++) {
        if (op[i] <= ' ' || op[i] > '~') {
            return false;
        }
    }
    return size >= 1 && size <= 128;
}

bool
AqFleet_Evaluate(const AqFleet *fleet, const json_t *intent, int64_t wall_ms,
                 json_t *set, AqError *error)
{
    static const char *const allowed[] = {"op", "kind", "args", NULL};
    if (!json_is_object(intent)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the intent is not a JSON object; send {\"op\", "
                           "\"kind\", \"args\"}");
    }
    if (!check_known_fields(intent, allowed, error)) {
        return false;
    }
    if (!is_valid_op(json_string_value(json_object_get(intent, "op")))) {
        return field_error(intent, "op",
                           "a string of 1 to 128 visible ASCII characters",
                           error);
    }
    Intent at = {fleet, json_object_get(intent, "args"), wall_ms, set};
    if (!json_is_object(at.args)) {
        return field_error(intent, "args", "an object", error);
    }
    const char *kind = string_or(intent, "kind", "");
    for (size_t i = 0; i < G_N_ELEMENTS(handlers); i++) {
        if (strcmp(handlers[i].kind, kind) == 0) {
            return handlers[i].handler(&at, error);
        }
    }
    return unknown_kind(intent, error);
}
