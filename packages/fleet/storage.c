#include "fleet_internal.h"

#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

/* Head holds only the commits after the last snapshot, because every daemon
 * reads head once a second; older operation ids are in the snapshot. */
char *
AqFleet_EncodeHead(const AqFleet *fleet)
{
    json_t *head = json_pack(
        "{s:I, s:I, s:O}", "version", (json_int_t)fleet->version, "snapshot",
        (json_int_t)fleet->snapshot_version, "tail", fleet->tail);
    char *text = AqJson_Dump(head);
    json_decref(head);
    return text;
}

bool
AqFleet_NeedsSnapshot(const AqFleet *fleet)
{
    return !fleet->snapshot_stored ||
           json_array_size(fleet->tail) >= TAIL_MAX_ENTRIES ||
           fleet->tail_bytes > TAIL_MAX_BYTES;
}

int64_t
AqFleet_SnapshotVersion(const AqFleet *fleet)
{
    return fleet->snapshot_version;
}

char *
AqFleet_EncodeSnapshot(const AqFleet *fleet)
{
    json_t *records = json_object();
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        json_object_set(records, record_kind_name((AqRecordKind)k),
                        fleet->records[k]);
    }
    json_t *snapshot = json_pack(
        "{s:I, s:I, s:O, s:o}", "version", (json_int_t)fleet->version, "epoch",
        (json_int_t)fleet->epoch, "ops", fleet->ops, "records", records);
    char *text = AqJson_Dump(snapshot);
    json_decref(snapshot);
    return text;
}

void
AqFleet_SnapshotWritten(AqFleet *fleet)
{
    fleet->snapshot_version = fleet->version;
    fleet->snapshot_stored = true;
    json_array_clear(fleet->tail);
    fleet->tail_bytes = 0;
}

/* ---- Loading ---------------------------------------------------------- */

/* Fills *error with the reason "why" for which a head or snapshot cannot be
 * read; returns AQ_LOAD_BAD. */
static AqLoadResult
load_error(AqError *error, const char *text_name, const char *why)
{
    AqError_Set(error, AQ_ERR_PROTOCOL,
                "%s cannot be read: %s; check that only daemons of this "
                "release write under aq/fleet/",
                text_name, why);
    return AQ_LOAD_BAD;
}

static bool
check_ops(const json_t *ops, int64_t version)
{
    size_t i;
    json_t *pair;
    if (!json_is_array(ops)) {
        return false;
    }
    json_array_foreach((json_t *)ops, i, pair)
    {
        int64_t at = json_integer_value(json_array_get(pair, 1));
        if (!json_is_string(json_array_get(pair, 0)) || at < 1 ||
            at > version) {
            return false;
        }
    }
    return true;
}

/* Whether the tail has one entry for each document version from "snapshot" + 1
 * to "version", in order. */
static bool
check_tail(const json_t *tail, int64_t snapshot, int64_t version)
{
    size_t i;
    json_t *entry;
    if (!json_is_array(tail) || snapshot < 0 ||
        version - snapshot != (int64_t)json_array_size(tail)) {
        return false;
    }
    json_array_foreach((json_t *)tail, i, entry)
    {
        if (int_or(entry, "version", 0) != snapshot + 1 + (int64_t)i ||
            !json_is_string(json_object_get(entry, "op"))) {
            return false;
        }
    }
    return true;
}

/* Restores the old records of a document by applying the undo lists "undos" in
 * reverse order, and sets the document's version and epoch to the given
 * ones. */
static void
restore(AqFleet *fleet, const json_t *undos, int64_t version, int64_t epoch)
{
    for (size_t i = json_array_size(undos); i > 0; i--) {
        const json_t *undo = json_array_get(undos, i - 1);
        for (size_t j = json_array_size(undo); j > 0; j--) {
            json_t *one = json_pack("[O]", json_array_get(undo, j - 1));
            document_put(fleet, one, NULL);
            json_decref(one);
        }
    }
    fleet->version = version;
    fleet->epoch = epoch;
}

/* Adds the operation ids of the tail to those that the document keeps; leaves
 * out tail entries of document version "version" and older ones. */
static void
record_ops(AqFleet *fleet, const json_t *tail, int64_t version)
{
    size_t i;
    json_t *entry;
    json_array_foreach((json_t *)tail, i, entry)
    {
        int64_t at = int_or(entry, "version", 0);
        if (at > version) {
            document_record_op(
                fleet, json_string_value(json_object_get(entry, "op")), at);
        }
    }
}

static bool
apply_tail(AqFleet *fleet, const json_t *tail, AqError *error)
{
    int64_t version = fleet->version;
    int64_t epoch = fleet->epoch;
    json_t *undos = json_array();
    size_t i;
    json_t *entry;
    bool ok = true;
    json_array_foreach((json_t *)tail, i, entry)
    {
        if (ok && int_or(entry, "version", 0) > version) {
            json_t *undo = json_array();
            ok = document_advance(fleet, json_object_get(entry, "set"), undo,
                                  error);
            json_array_append_new(undos, undo);
        }
    }
    if (!ok) {
        restore(fleet, undos, version, epoch);
    }
    else {
        record_ops(fleet, tail, version);
    }
    json_decref(undos);
    return ok;
}

static AqLoadResult
load_head(AqFleet *fleet, const json_t *head, size_t size, int64_t *snapshot,
          AqError *error)
{
    int64_t version = int_or(head, "version", -1);
    int64_t base = int_or(head, "snapshot", -1);
    json_t *tail = json_object_get(head, "tail");
    if (version < 0 || !check_tail(tail, base, version)) {
        return load_error(error, "head", "version, snapshot or tail is wrong");
    }
    if (version <= fleet->version) {
        return AQ_LOAD_OLDER;
    }
    if (base > fleet->version) {
        *snapshot = base;
        return AQ_LOAD_SNAPSHOT;
    }
    if (!apply_tail(fleet, tail, error)) {
        return AQ_LOAD_BAD;
    }
    json_decref(fleet->tail);
    fleet->tail = json_copy(tail);
    fleet->snapshot_version = base;
    fleet->snapshot_stored = true;
    fleet->tail_bytes = size;
    return AQ_LOAD_OK;
}

AqLoadResult
AqFleet_LoadHead(AqFleet *fleet, const char *head, size_t size,
                 int64_t *snapshot, AqError *error)
{
    json_t *value = AqJson_Parse(head, size, error);
    if (value == NULL) {
        return AQ_LOAD_BAD;
    }
    AqLoadResult result = load_head(fleet, value, size, snapshot, error);
    json_decref(value);
    return result;
}

/* Returns all records of a snapshot as one set of upserts; NULL when a kind of
 * record is missing. */
static json_t *
snapshot_set(const json_t *records)
{
    json_t *set = json_array();
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        json_t *all =
            json_object_get(records, record_kind_name((AqRecordKind)k));
        const char *name;
        json_t *record;
        if (!json_is_object(all)) {
            json_decref(set);
            return NULL;
        }
        json_object_foreach(all, name, record)
        {
            set_put(set, (AqRecordKind)k, name, json_incref(record));
        }
    }
    return set;
}

/* Swaps the contents of two documents. */
static void
swap_documents(AqFleet *a, AqFleet *b)
{
    AqFleet saved = *a;
    *a = *b;
    *b = saved;
}

static AqLoadResult
load_snapshot(AqFleet *fleet, const json_t *snapshot, AqError *error)
{
    int64_t version = int_or(snapshot, "version", -1);
    int64_t epoch = int_or(snapshot, "epoch", -1);
    json_t *ops = json_object_get(snapshot, "ops");
    if (version < 0 || epoch < 0 || epoch > version ||
        !check_ops(ops, version)) {
        return load_error(error, "snapshot", "version, epoch or ops is wrong");
    }
    if (version <= fleet->version) {
        return AQ_LOAD_OLDER;
    }
    json_t *set = snapshot_set(json_object_get(snapshot, "records"));
    if (set == NULL) {
        return load_error(error, "snapshot", "a kind of record is missing");
    }
    AqFleet *fresh = AqFleet_Create();
    bool ok = document_check_set(fresh, set, error);
    if (ok) {
        document_put(fresh, set, NULL);
        fresh->version = version;
        fresh->epoch = epoch;
        fresh->snapshot_version = version;
        /* The snapshot may come from another daemon without being in the
         * store; only head says which snapshot is stored. */
        fresh->snapshot_stored = false;
        fresh->disabled = fleet->disabled;
        json_decref(fresh->ops);
        fresh->ops = json_copy(ops);
        swap_documents(fleet, fresh);
    }
    json_decref(set);
    AqFleet_Destroy(fresh);
    return ok ? AQ_LOAD_OK : AQ_LOAD_BAD;
}

AqLoadResult
AqFleet_LoadSnapshot(AqFleet *fleet, const char *text, size_t size,
                     AqError *error)
{
    json_t *snapshot = AqJson_Parse(text, size, error);
    if (snapshot == NULL) {
        return AQ_LOAD_BAD;
    }
    AqLoadResult result = load_snapshot(fleet, snapshot, error);
    json_decref(snapshot);
    return result;
}
