#include "fleet_internal.h"

#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

AqFleet *
AqFleet_Create(void)
{
    AqFleet *fleet = g_new0(AqFleet, 1);
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        fleet->records[k] = json_object();
    }
    fleet->ops = json_array();
    fleet->tail = json_array();
    fleet->snapshot_stored = true;
    index_create(fleet);
    json_t *set = json_array();
    set_put(set, AQ_REC_POOL, SPARE_POOL,
            json_pack("{s:s, s:{}, s:i, s:i, s:i, s:i}", "service", SPARE_POOL,
                      "selector", "min_serving", 0, "slots", 8, "connections",
                      64, "objective", 999));
    set_put(set, AQ_REC_WEIGHTS, WEIGHTS_NAME,
            json_pack("{s:i, s:i, s:i}", "buffer", 5, "moves", 5, "time", 5));
    document_put(fleet, set, NULL);
    json_decref(set);
    return fleet;
}

AqFleet *
AqFleet_Clone(const AqFleet *fleet)
{
    AqFleet *copy = g_new0(AqFleet, 1);
    copy->version = fleet->version;
    copy->epoch = fleet->epoch;
    copy->snapshot_version = fleet->snapshot_version;
    copy->snapshot_stored = fleet->snapshot_stored;
    copy->disabled = fleet->disabled;
    copy->tail_bytes = fleet->tail_bytes;
    copy->ops = json_copy(fleet->ops);
    copy->tail = json_copy(fleet->tail);
    index_create(copy);
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        copy->records[k] = json_copy(fleet->records[k]);
        const char *name;
        json_t *record;
        json_object_foreach(copy->records[k], name, record)
        {
            index_update(copy, (AqRecordKind)k, name, record);
        }
    }
    return copy;
}

void
AqFleet_Destroy(AqFleet *fleet)
{
    if (fleet == NULL) {
        return;
    }
    index_destroy(fleet);
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        json_decref(fleet->records[k]);
    }
    json_decref(fleet->ops);
    json_decref(fleet->tail);
    g_free(fleet);
}

int64_t
AqFleet_Version(const AqFleet *fleet)
{
    return fleet->version;
}

int64_t
AqFleet_Epoch(const AqFleet *fleet)
{
    return fleet->epoch;
}

void
fleet_disable(AqFleet *fleet, unsigned disabled)
{
    fleet->disabled = disabled;
}

const json_t *
AqFleet_Get(const AqFleet *fleet, AqRecordKind kind, const char *name)
{
    return json_object_get(fleet->records[kind], name);
}

const json_t *
AqFleet_All(const AqFleet *fleet, AqRecordKind kind)
{
    return fleet->records[kind];
}

void
set_put(json_t *set, AqRecordKind kind, const char *name, json_t *record)
{
    json_array_append_new(set,
                          json_pack("[s, s, o]", record_kind_name(kind), name,
                                    record == NULL ? json_null() : record));
}

/* Whether pool "name" exists once a set of upserts is applied; "pools" maps
 * the name of each pool that the set changes to the pool's record, or to null
 * when the set deletes the pool. */
static bool
pool_exists_after(const AqFleet *fleet, const json_t *pools, const char *name)
{
    const json_t *changed = json_object_get(pools, name);
    return changed == NULL ? index_pool(fleet, name) != NULL
                           : json_is_object(changed);
}

static bool
check_vm_pools(const AqFleet *fleet, const json_t *pools, const char *id,
               const json_t *record, AqError *error)
{
    const char *pool = string_or(record, "pool", "");
    const char *target = string_or(record, "target", SPARE_POOL);
    if (pool_exists_after(fleet, pools, pool) &&
        pool_exists_after(fleet, pools, target)) {
        return true;
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "VM \"%s\" names pool \"%s\" and target \"%s\", which "
                       "must both exist; add the pool first",
                       id, pool, target);
}

static bool
check_upsert(const json_t *upsert, AqRecordKind *kind, AqError *error)
{
    const char *name = json_string_value(json_array_get(upsert, 1));
    const json_t *record = json_array_get(upsert, 2);
    const char *text = json_string_value(json_array_get(upsert, 0));
    if (json_array_size(upsert) != 3 || name == NULL || text == NULL ||
        !record_kind_parse(text, kind) ||
        !(json_is_object(record) || json_is_null(record))) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "an upsert is not [kind, name, record or null]; "
                           "read the document from the store again");
    }
    if (json_is_null(record)) {
        return true;
    }
    return record_check(*kind, name, record, error);
}

static bool
check_deletion(const AqFleet *fleet, AqRecordKind kind, const char *name,
               AqError *error)
{
    const PoolEntry *pool =
        kind == AQ_REC_POOL ? index_pool(fleet, name) : NULL;
    if (kind == AQ_REC_WEIGHTS ||
        (kind == AQ_REC_POOL &&
         (strcmp(name, SPARE_POOL) == 0 ||
          (pool != NULL && pool->vm_count + pool->incoming > 0)))) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "%s \"%s\" is in use and cannot be deleted; move "
                           "its VMs to another pool first",
                           record_kind_name(kind), name);
    }
    return true;
}

bool
document_check_set(const AqFleet *fleet, const json_t *set, AqError *error)
{
    bool ok = json_is_array(set);
    json_t *pools = json_object();
    size_t i;
    json_t *upsert;
    AqRecordKind kind = AQ_REC_KINDS;
    if (!ok) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "\"set\" is not an array of "
                    "upserts; send an array");
    }
    json_array_foreach((json_t *)set, i, upsert)
    {
        ok = ok && check_upsert(upsert, &kind, error);
        if (ok && kind == AQ_REC_POOL) {
            json_object_set(pools,
                            json_string_value(json_array_get(upsert, 1)),
                            json_array_get(upsert, 2));
        }
    }
    json_array_foreach((json_t *)set, i, upsert)
    {
        if (!ok) {
            break;
        }
        const char *name = json_string_value(json_array_get(upsert, 1));
        const json_t *record = json_array_get(upsert, 2);
        record_kind_parse(json_string_value(json_array_get(upsert, 0)), &kind);
        if (json_is_null(record)) {
            ok = check_deletion(fleet, kind, name, error);
        }
        else if (kind == AQ_REC_VM) {
            ok = check_vm_pools(fleet, pools, name, record, error);
        }
    }
    json_decref(pools);
    return ok;
}

static void
put_record(AqFleet *fleet, AqRecordKind kind, const char *name, json_t *record,
           json_t *undo)
{
    json_t *old = json_object_get(fleet->records[kind], name);
    if (undo != NULL) {
        set_put(undo, kind, name, json_incref(old));
    }
    /* The VM and pool index points into the old record until index_update has
     * run, so the old record is kept until then. */
    json_incref(old);
    if (json_is_null(record)) {
        index_update(fleet, kind, name, NULL);
        json_object_del(fleet->records[kind], name);
    }
    else {
        json_object_set(fleet->records[kind], name, record);
        index_update(fleet, kind, name, record);
    }
    json_decref(old);
}

void
document_put(AqFleet *fleet, const json_t *set, json_t *undo)
{
    size_t i;
    json_t *upsert;
    /* Applies the upserts that set a pool first, because a VM may be in a new
     * pool of the same set.  Applies all other upserts, also those that delete
     * a pool, after that. */
    for (int pools = 1; pools >= 0; pools--) {
        json_array_foreach((json_t *)set, i, upsert)
        {
            AqRecordKind kind;
            json_t *record = json_array_get(upsert, 2);
            record_kind_parse(json_string_value(json_array_get(upsert, 0)),
                              &kind);
            if ((kind == AQ_REC_POOL && !json_is_null(record)) == pools) {
                put_record(fleet, kind,
                           json_string_value(json_array_get(upsert, 1)),
                           record, undo);
            }
        }
    }
}

static bool
changes_members(const AqFleet *fleet, const json_t *set)
{
    size_t i;
    json_t *upsert;
    json_array_foreach((json_t *)set, i, upsert)
    {
        const char *kind = json_string_value(json_array_get(upsert, 0));
        const char *name = json_string_value(json_array_get(upsert, 1));
        bool now = AqFleet_Get(fleet, AQ_REC_MEMBER, name) != NULL;
        if (strcmp(kind, "member") == 0 &&
            now == json_is_null(json_array_get(upsert, 2))) {
            return true;
        }
    }
    return false;
}

bool
document_advance(AqFleet *fleet, const json_t *set, json_t *undo,
                 AqError *error)
{
    if (!document_check_set(fleet, set, error)) {
        return false;
    }
    bool members = changes_members(fleet, set);
    document_put(fleet, set, undo);
    fleet->version++;
    if (members) {
        fleet->epoch = fleet->version;
    }
    return true;
}

void
document_record_op(AqFleet *fleet, const char *op, int64_t version)
{
    json_array_append_new(fleet->ops,
                          json_pack("[s, I]", op, (json_int_t)version));
    while (json_array_size(fleet->ops) > OPERATION_IDS_MAX) {
        json_array_remove(fleet->ops, 0);
    }
}

bool
AqFleet_Apply(AqFleet *fleet, const char *op, const json_t *set,
              AqError *error)
{
    if (AqFleet_FindOp(fleet, op) != 0) {
        return AqError_Set(error, AQ_ERR_CONFLICT,
                           "operation \"%.128s\" was already applied at "
                           "version %lld; use a new operation id for a new "
                           "intent",
                           op, (long long)AqFleet_FindOp(fleet, op));
    }
    if (!document_advance(fleet, set, NULL, error)) {
        return false;
    }
    document_record_op(fleet, op, fleet->version);
    json_t *entry =
        json_pack("{s:I, s:s, s:O}", "version", (json_int_t)fleet->version,
                  "op", op, "set", set);
    char *text = AqJson_Dump(entry);
    fleet->tail_bytes += strlen(text) + 1;
    free(text);
    json_array_append_new(fleet->tail, entry);
    return true;
}

int64_t
AqFleet_FindOp(const AqFleet *fleet, const char *op)
{
    for (size_t i = json_array_size(fleet->ops); i > 0; i--) {
        const json_t *pair = json_array_get(fleet->ops, i - 1);
        if (strcmp(json_string_value(json_array_get(pair, 0)), op) == 0) {
            return json_integer_value(json_array_get(pair, 1));
        }
    }
    return 0;
}
