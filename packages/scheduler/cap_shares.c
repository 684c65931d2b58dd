#include "aq_cap_shares.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"

enum {
    RECORD_VERSION = 1,
    /* What a pool wants counts in steps of 1/SPARE_DIVISOR of the cap, so that
     * small changes of the demand cause no write. */
    SPARE_DIVISOR = 16,
    /* The pools hold 1/BASE_DIVISOR of the cap without demand.  The rest is
     * free, so that a pool whose demand rises gets it by one write; with all
     * of it held, each rise had to wait for the other owners. */
    BASE_DIVISOR = 2,
    /* A pool keeps what it no longer needs until less than 1/MIN_FREE_DIVISOR
     * of the cap is free, since demand comes back. */
    MIN_FREE_DIVISOR = 4,
    /* Least change of AqCapPart.since_ms that is worth a write, ms. */
    MIN_SINCE_CHANGE_MS = 1000,
    /* The largest demand counts for one to two of these spans. */
    PEAK_SPAN_MS = 500
};

typedef struct {
    char *pool; /* owned */
    AqCapPart part;
} Row;

struct AqCapRecord {
    GHashTable *workspaces; /* name -> GArray of Row; owned */
};

int64_t *
AqResources_At(AqResources *resources, int kind)
{
    int64_t *const amounts[AQ_RESOURCE_KINDS] = {
        &resources->cpu_millis, &resources->memory_mb, &resources->gpus};
    return amounts[kind];
}

int64_t
AqResources_Get(const AqResources *resources, int kind)
{
    const int64_t amounts[AQ_RESOURCE_KINDS] = {
        resources->cpu_millis, resources->memory_mb, resources->gpus};
    return amounts[kind];
}

static int64_t
larger(int64_t a, int64_t b)
{
    return a > b ? a : b;
}

static int64_t
smaller(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

/* ---- Record ------------------------------------------------------------- */

static void
clear_row(gpointer row)
{
    free(((Row *)row)->pool);
}

AqCapRecord *
AqCapRecord_Create(void)
{
    AqCapRecord *record = calloc(1, sizeof(*record));
    record->workspaces = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                               (GDestroyNotify)g_array_unref);
    return record;
}

void
AqCapRecord_Destroy(AqCapRecord *record)
{
    if (record != NULL) {
        g_hash_table_destroy(record->workspaces);
        free(record);
    }
}

static Row *
find_row(const AqCapRecord *record, const char *workspace, const char *pool)
{
    GArray *rows = g_hash_table_lookup(record->workspaces, workspace);
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        Row *row = &g_array_index(rows, Row, i);
        if (strcmp(row->pool, pool) == 0) {
            return row;
        }
    }
    return NULL;
}

const AqCapPart *
AqCapRecord_Find(const AqCapRecord *record, const char *workspace,
                 const char *pool)
{
    const Row *row = find_row(record, workspace, pool);
    return row != NULL ? &row->part : NULL;
}

static void
remove_row(AqCapRecord *record, const char *workspace, const char *pool)
{
    GArray *rows = g_hash_table_lookup(record->workspaces, workspace);
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        if (strcmp(g_array_index(rows, Row, i).pool, pool) == 0) {
            g_array_remove_index(rows, i);
            break;
        }
    }
    if (rows != NULL && rows->len == 0) {
        g_hash_table_remove(record->workspaces, workspace);
    }
}

void
AqCapRecord_Set(AqCapRecord *record, const char *workspace, const char *pool,
                const AqCapPart *part)
{
    if (part == NULL) {
        remove_row(record, workspace, pool);
        return;
    }
    Row *row = find_row(record, workspace, pool);
    if (row != NULL) {
        row->part = *part;
        return;
    }
    GArray *rows = g_hash_table_lookup(record->workspaces, workspace);
    if (rows == NULL) {
        rows = g_array_new(FALSE, FALSE, sizeof(Row));
        g_array_set_clear_func(rows, clear_row);
        g_hash_table_insert(record->workspaces, g_strdup(workspace), rows);
    }
    Row fresh = {strdup(pool), *part};
    g_array_append_val(rows, fresh);
}

void
AqCapRecord_Each(const AqCapRecord *record, const char *pool,
                 void (*visit)(void *context, const char *workspace,
                               const AqCapPart *part),
                 void *context)
{
    GHashTableIter iter;
    gpointer name;
    g_hash_table_iter_init(&iter, record->workspaces);
    while (g_hash_table_iter_next(&iter, &name, NULL)) {
        const AqCapPart *part = AqCapRecord_Find(record, name, pool);
        if (part != NULL) {
            visit(context, name, part);
        }
    }
}

AqCapRecord *
AqCapRecord_Copy(const AqCapRecord *record)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    AqCapRecord *copy = AqCapRecord_Create();
    g_hash_table_iter_init(&iter, record->workspaces);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const GArray *rows = value;
        for (guint i = 0; i < rows->len; i++) {
            const Row *row = &g_array_index(rows, Row, i);
            AqCapRecord_Set(copy, name, row->pool, &row->part);
        }
    }
    return copy;
}

static void
pack_resources(msgpack_packer *pk, const AqResources *resources)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        msgpack_pack_int64(pk, AqResources_Get(resources, kind));
    }
}

/* [version, [[workspace, [[pool, held..., want..., unit..., since], ...]],
 * ...]]; each resource as three numbers. */
void
AqCapRecord_Encode(const AqCapRecord *record, AqBuffer *out)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    msgpack_packer pk;
    msgpack_packer_init(&pk, out, record_write);
    msgpack_pack_array(&pk, 2);
    msgpack_pack_int(&pk, RECORD_VERSION);
    msgpack_pack_array(&pk, g_hash_table_size(record->workspaces));
    g_hash_table_iter_init(&iter, record->workspaces);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const GArray *rows = value;
        msgpack_pack_array(&pk, 2);
        record_pack_text(&pk, name);
        msgpack_pack_array(&pk, rows->len);
        for (guint i = 0; i < rows->len; i++) {
            const Row *row = &g_array_index(rows, Row, i);
            msgpack_pack_array(&pk, 2 + 3 * AQ_RESOURCE_KINDS);
            record_pack_text(&pk, row->pool);
            pack_resources(&pk, &row->part.held);
            pack_resources(&pk, &row->part.want);
            pack_resources(&pk, &row->part.unit);
            msgpack_pack_int64(&pk, row->part.since_ms);
        }
    }
}

static const msgpack_object_array *
get_array(const msgpack_object *object)
{
    return object->type == MSGPACK_OBJECT_ARRAY ? &object->via.array : NULL;
}

static bool
read_resources(const msgpack_object *objects, AqResources *resources)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        /* The sum over many pools must not overflow. */
        if (!record_int(&objects[kind], 0, INT64_MAX / 65536,
                        AqResources_At(resources, kind))) {
            return false;
        }
    }
    return true;
}

static bool
read_row(const msgpack_object *object, AqCapRecord *record,
         const char *workspace)
{
    const msgpack_object_array *row = get_array(object);
    AqCapPart part;
    char *pool = NULL;
    bool is_valid = row != NULL && row->size == 2 + 3 * AQ_RESOURCE_KINDS &&
                    record_text(&row->ptr[0], &pool) && pool != NULL &&
                    read_resources(&row->ptr[1], &part.held) &&
                    read_resources(&row->ptr[4], &part.want) &&
                    read_resources(&row->ptr[7], &part.unit) &&
                    record_int(&row->ptr[10], 0, INT64_MAX, &part.since_ms) &&
                    find_row(record, workspace, pool) == NULL;
    if (is_valid) {
        AqCapRecord_Set(record, workspace, pool, &part);
    }
    free(pool);
    return is_valid;
}

static bool
read_workspace(const msgpack_object *object, AqCapRecord *record)
{
    const msgpack_object_array *pair = get_array(object);
    char *name = NULL;
    bool is_valid = pair != NULL && pair->size == 2 &&
                    record_text(&pair->ptr[0], &name) && name != NULL;
    const msgpack_object_array *rows =
        is_valid ? get_array(&pair->ptr[1]) : NULL;
    is_valid = rows != NULL;
    for (uint32_t i = 0; is_valid && i < rows->size; i++) {
        is_valid = read_row(&rows->ptr[i], record, name);
    }
    free(name);
    return is_valid;
}

AqCapRecord *
AqCapRecord_Decode(const char *bytes, size_t size, AqError *error)
{
    AqCapRecord *record = AqCapRecord_Create();
    msgpack_unpacked unpacked;
    int64_t version = 0;
    bool is_valid = record_unpack(&unpacked, bytes, size);
    const msgpack_object_array *top =
        is_valid ? get_array(&unpacked.data) : NULL;
    const msgpack_object_array *workspaces =
        top != NULL && top->size == 2 &&
                record_int(&top->ptr[0], RECORD_VERSION, RECORD_VERSION,
                           &version)
            ? get_array(&top->ptr[1])
            : NULL;
    is_valid = workspaces != NULL;
    for (uint32_t i = 0; is_valid && i < workspaces->size; i++) {
        is_valid = read_workspace(&workspaces->ptr[i], record);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (!is_valid) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "the record of caps, %zu bytes, is damaged; the owners of "
                    "the pools write it again",
                    size);
        AqCapRecord_Destroy(record);
        return NULL;
    }
    return record;
}

/* ---- Demand ------------------------------------------------------------- */

static void
raise_to(AqResources *amounts, const AqResources *others)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t *amount = AqResources_At(amounts, kind);
        *amount = larger(*amount, AqResources_Get(others, kind));
    }
}

void
AqCapPeak_Note(AqCapPeak *peak, AqTime now, AqResources *want)
{
    static const AqResources none;
    if (now - peak->began_at >= PEAK_SPAN_MS) {
        bool is_recent = now - peak->began_at < 2 * PEAK_SPAN_MS;
        peak->most[1] = is_recent ? peak->most[0] : none;
        peak->most[0] = none;
        peak->began_at = now;
    }
    raise_to(&peak->most[0], want);
    raise_to(want, &peak->most[0]);
    raise_to(want, &peak->most[1]);
}

/* ---- Decision ----------------------------------------------------------- */

/* A pool's part of one resource. */
typedef struct {
    const char *pool; /* borrowed */
    int64_t held;
    int64_t want;
    int64_t unit;
    int64_t since;
    int64_t floor; /* what the pool is to hold at least */
    bool is_passed_over;
} Holder;

static int
compare_since(const void *a, const void *b)
{
    const Holder *left = *(Holder *const *)a;
    const Holder *right = *(Holder *const *)b;
    if (left->since != right->since) {
        return left->since < right->since ? -1 : 1;
    }
    /* Each owner has to find the same order. */
    return strcmp(left->pool, right->pool);
}

/* Grants each pool that lacks a part the task or gang that waits there, first
 * the pool that has waited longest.  A pool for which nothing is left is
 * passed over: a smaller part would be of no use to it. */
static int64_t
grant_units(int64_t cap, Holder *holders, size_t count)
{
    Holder **waiting = g_new0(Holder *, count);
    size_t waiting_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (holders[i].unit > 0 && holders[i].want > holders[i].held) {
            waiting[waiting_count++] = &holders[i];
        }
    }
    qsort(waiting, waiting_count, sizeof(Holder *), compare_since);
    for (size_t i = 0; i < waiting_count; i++) {
        if (waiting[i]->unit <= cap) {
            waiting[i]->floor = waiting[i]->unit;
            cap -= waiting[i]->unit;
        }
        else {
            waiting[i]->is_passed_over = true;
        }
    }
    g_free(waiting);
    return cap;
}

static int64_t
share_at(const Holder *holder, int64_t level)
{
    int64_t share = holder->want < level ? holder->want : level;
    if (holder->is_passed_over) {
        return 0;
    }
    return share > holder->floor ? share : holder->floor;
}

/* Returns the share of holder 0: the max-min fair division of the cap by what
 * the pools want, in which no pool gets less than its floor. */
static int64_t
find_share(int64_t cap, Holder *holders, size_t count)
{
    int64_t low = 0;
    int64_t high = cap;
    grant_units(cap, holders, count);
    while (low < high) {
        int64_t level = low + (high - low + 1) / 2;
        int64_t sum = 0;
        for (size_t i = 0; i < count; i++) {
            sum += share_at(&holders[i], level);
        }
        if (sum <= cap) {
            low = level;
        }
        else {
            high = level - 1;
        }
    }
    return share_at(&holders[0], low);
}

/* Whether a task or another pool gains by the change to "next". */
static bool
is_worth_writing(const Holder *self, int64_t used, int64_t next, int64_t spare)
{
    return next < self->held ||
           (next > self->held && next >= used + self->unit &&
            next - self->held >= smaller(spare, self->unit));
}

/* Decides what holder 0 is to hold.  "base" is its part while no pool lacks
 * any.  Sets *is_needed if tasks may wait for the change. */
static int64_t
decide_amount(int64_t cap, int64_t base, Holder *holders, size_t count,
              bool *is_needed)
{
    Holder *self = &holders[0];
    int64_t free_part = cap - self->held;
    int64_t lacking = 0;
    for (size_t i = 1; i < count; i++) {
        free_part -= holders[i].held;
        lacking += larger(holders[i].want - holders[i].held, 0);
    }
    int64_t reach = self->held + larger(free_part, 0);
    /* A pool that the configuration does not list keeps no more than its tasks
     * need. */
    int64_t spare = base > 0 ? cap / SPARE_DIVISOR : 0;
    int64_t next;
    if (free_part < 0 || lacking > 0) {
        int64_t share = find_share(cap, holders, count);
        int64_t missing = lacking - free_part;
        if (self->held <= share) {
            next = smaller(share, reach);
        }
        else {
            next = larger(share, self->held - larger(missing, 0));
        }
        /* A pool that lacks a part always wants the little that another pool
         * gives back. */
        *is_needed = true;
    }
    else {
        int64_t ahead = larger(base, 2 * self->want);
        next = self->held;
        bool is_short = self->want + spare > self->held;
        if (self->want > self->held ||
            (is_short && smaller(ahead, reach) >= next + spare)) {
            next = larger(next, smaller(ahead, reach));
            *is_needed = true;
        }
        else if (self->held < base) {
            next = smaller(base, reach);
        }
        else if (self->held > larger(base, 2 * ahead) &&
                 (base == 0 || free_part < cap / MIN_FREE_DIVISOR)) {
            next = larger(base, ahead);
        }
    }
    return next;
}

static bool
is_among(const char *const *pools, size_t count, const char *pool)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(pools[i], pool) == 0) {
            return true;
        }
    }
    return false;
}

/* Fills "holders" for one resource, the pool itself first, and returns their
 * number.  A pool without a row counts as if it held "even", an even part:
 * what it holds is not known, or it is to find a part when it writes its first
 * row. */
static size_t
fill_holders(const GArray *rows, const char *pool, const char *const *pools,
             size_t pool_count, const AqCapDemand *demand, int kind,
             int64_t even, Holder *holders)
{
    size_t count = 1;
    size_t missing = pool_count - is_among(pools, pool_count, pool);
    holders[0] = (Holder){.pool = pool,
                          .want = AqResources_Get(&demand->want, kind),
                          .unit = AqResources_Get(&demand->unit, kind),
                          .since = demand->since_ms};
    for (guint i = 0; rows != NULL && i < rows->len; i++) {
        const Row *row = &g_array_index(rows, Row, i);
        int64_t held = AqResources_Get(&row->part.held, kind);
        if (strcmp(row->pool, pool) == 0) {
            holders[0].held = held;
            continue;
        }
        missing -= is_among(pools, pool_count, row->pool);
        holders[count++] =
            (Holder){.pool = row->pool,
                     .held = held,
                     .want = AqResources_Get(&row->part.want, kind),
                     .unit = AqResources_Get(&row->part.unit, kind),
                     .since = row->part.since_ms};
    }
    if (missing > 0) {
        int64_t held = even * (int64_t)missing;
        holders[count++] = (Holder){.pool = "", .held = held, .want = held};
    }
    return count;
}

static int64_t
lack_of(const AqCapPart *part, int kind)
{
    return AqResources_Get(&part->want, kind) -
           AqResources_Get(&part->held, kind);
}

/* Whether the other pools would give more for the new part than for the old
 * one. */
static bool
is_more_wanted(const AqCapPart *part, const AqCapPart *old)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t lack = lack_of(part, kind);
        if (lack > 0 && lack > 2 * lack_of(old, kind)) {
            return true;
        }
    }
    return false;
}

static bool
is_less_wanted(const AqCapPart *part, const AqCapPart *old)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t lack = lack_of(old, kind);
        if (lack > 0 && lack > 2 * lack_of(part, kind)) {
            return true;
        }
    }
    return false;
}

/* Rounds up to steps of the cap, so that small changes of what a pool wants
 * cause no writes. */
static int64_t
round_up(int64_t want, int64_t cap)
{
    int64_t step = cap / SPARE_DIVISOR;
    return step > 0 ? (want + step - 1) / step * step : want;
}

AqCapChange
AqCapShares_Decide(const AqCapRecord *record, const char *pool,
                   const char *const *pools, size_t pool_count,
                   const AqCapDemand *demand, AqCapPart *part,
                   AqResources *allowed)
{
    static const AqCapPart none;
    const GArray *rows =
        g_hash_table_lookup(record->workspaces, demand->workspace);
    const AqCapPart *old = AqCapRecord_Find(record, demand->workspace, pool);
    Holder *holders =
        calloc((rows != NULL ? rows->len : 0) + 2, sizeof(*holders));
    bool is_urgent = false;
    bool is_lacking = false;
    bool is_missing = old == NULL;
    old = is_missing ? &none : old;
    *part = none;
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t cap = AqResources_Get(&demand->cap, kind);
        if (cap == 0) {
            *AqResources_At(allowed, kind) = INT64_MAX;
            continue;
        }
        int64_t used = AqResources_Get(&demand->used, kind);
        int64_t even = cap / larger((int64_t)pool_count, 1);
        size_t count = fill_holders(rows, pool, pools, pool_count, demand,
                                    kind, even, holders);
        int64_t base =
            is_among(pools, pool_count, pool) ? even / BASE_DIVISOR : 0;
        int64_t want = smaller(round_up(holders[0].want, cap), cap);
        holders[0].want = want;
        bool is_needed = false;
        int64_t next = decide_amount(cap, base, holders, count, &is_needed);
        *AqResources_At(allowed, kind) = next;
        next = larger(next, used);
        is_urgent = is_urgent ||
                    (is_needed && is_worth_writing(&holders[0], used, next,
                                                   cap / SPARE_DIVISOR));
        *AqResources_At(&part->held, kind) = next;
        *AqResources_At(&part->want, kind) = larger(want, next);
        is_lacking = is_lacking || want > next;
    }
    free(holders);
    if (is_lacking) {
        part->unit = demand->unit;
        part->since_ms = demand->since_ms;
    }
    if (is_missing || is_urgent || is_more_wanted(part, old)) {
        return AQ_CAP_NOW;
    }
    bool is_same = memcmp(&part->held, &old->held, sizeof(part->held)) == 0 &&
                   !is_less_wanted(part, old) &&
                   part->since_ms - old->since_ms < MIN_SINCE_CHANGE_MS;
    return is_same ? AQ_CAP_KEEP : AQ_CAP_LATER;
}

void
AqCapShares_Limit(const AqCapRecord *record, const char *workspace,
                  const char *pool, const AqResources *cap, AqResources *limit)
{
    const GArray *rows = g_hash_table_lookup(record->workspaces, workspace);
    const AqCapPart *part = AqCapRecord_Find(record, workspace, pool);
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t most = AqResources_Get(cap, kind);
        int64_t held = part != NULL ? AqResources_Get(&part->held, kind) : 0;
        int64_t sum = 0;
        for (guint i = 0; rows != NULL && i < rows->len; i++) {
            sum +=
                AqResources_Get(&g_array_index(rows, Row, i).part.held, kind);
        }
        if (sum > most) {
            held = (int64_t)((double)held * (double)most / (double)sum);
        }
        *AqResources_At(limit, kind) = most == 0 ? INT64_MAX : held;
    }
}
