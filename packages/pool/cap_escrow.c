#include "cap_escrow.h"

#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "prefix_view.h"
#include "store_keys.h"

enum {
    /* Shortest time between two looks at the demand. */
    CHECK_INTERVAL_MS = 25,
    /* Shortest time between two writes of an owner, as long as tasks wait for
     * the change, and otherwise. */
    URGENT_WRITE_MS = 150,
    LATER_WRITE_MS = 1500,
    /* Time for which the watch may be late with the result of a write. */
    WATCH_LATE_MS = 1000,
    /* A decision holds while the demand changes by less than
     * 1/DEMAND_STEP_DIVISOR of the cap, for this long at most. */
    DEMAND_STEP_DIVISOR = 32,
    DECISION_HOLDS_MS = 500,
    /* Delay from the report of a change to the next watch. */
    COALESCE_MS = 50,
    /* Longest time to the next look at the demand; other events of the pool
     * lead to earlier ones. */
    IDLE_INTERVAL_MS = 100
};

#define RECORD_NAME "parts"

/* A workspace with a cap. */
typedef struct {
    AqCapDemand demand; /* of the last look */
    AqCapPeak peak;
    /* What the pool held when this owner gained it.  Earlier owners' runs that
     * are not known yet count as using that much, as far as they can. */
    AqResources inherited;
    bool has_inherited; /* "inherited" is known */
    /* the part of "inherited" that no run is known to use */
    AqResources hidden;
    bool is_seen; /* the last look found the workspace */
    AqCapPart next;
    AqResources allowed; /* as decided last */
    /* the demand of the last decision, and when it was made */
    AqCapDemand decided;
    AqTime decided_at;
    bool is_decided; /* in this round */
    AqCapChange change;
} Account;

struct CapEscrow {
    NodeContext *node;
    AqScheduler *scheduler;
    OwnerWriter *writer;
    char *pool;
    PrefixView *view; /* NULL: no workspace has a cap */
    AqCapRecord *record;
    /* Store revision of the record; 0: there is none. */
    uint64_t index;
    /* The record is damaged or gone; "record" is the last good one. */
    bool is_damaged;
    bool was_listed;
    GHashTable *accounts; /* workspace -> Account; owned */
    AqTime now;           /* of the last round */
    AqTime check_due;
    AqTime write_due;
    AqTime later_due;
    AqCapRecord *written; /* the record of the write in flight; NULL: none */
    uint64_t sent_index;  /* the revision that this write replaces */
    AqTime watch_due;     /* until then the next write waits for the watch */
    /* The record, or what is known of a write, has changed since the last
     * round. */
    bool has_changed;
    bool is_destroyed;
};

static const char *
record_key(void)
{
    return key_of(KEY_CAPS, RECORD_NAME);
}

static void
free_escrow(CapEscrow *escrow)
{
    AqCapRecord_Destroy(escrow->record);
    AqCapRecord_Destroy(escrow->written);
    g_hash_table_destroy(escrow->accounts);
    free(escrow->pool);
    free(escrow);
}

/* Notes that decisions and limits have to be made anew. */
static void
mark_changed(CapEscrow *escrow)
{
    escrow->has_changed = true;
    escrow->check_due = 0;
}

/* ---- Record ------------------------------------------------------------- */

static void
set_record(CapEscrow *escrow, AqCapRecord *record)
{
    AqCapRecord_Destroy(escrow->record);
    escrow->record = record;
    escrow->is_damaged = false;
    mark_changed(escrow);
}

static void
on_record(void *context, const AqStoreItem *item)
{
    CapEscrow *escrow = context;
    AqError error;
    if (strcmp(item->key, record_key()) != 0) {
        return;
    }
    escrow->index = item->index;
    escrow->watch_due = 0;
    AqCapRecord *record = AqCapRecord_Decode(item->value, item->size, &error);
    if (record != NULL) {
        set_record(escrow, record);
        return;
    }
    escrow->is_damaged = true;
    mark_changed(escrow);
    AqLog_Event(AQ_LOG_ERROR, "caps_unreadable",
                "pool=%s index=%llu bytes=%zu error=%s", escrow->pool,
                (unsigned long long)item->index, item->size,
                AqLog_Quote(error.message));
}

static void
on_record_removed(void *context, const char *key)
{
    CapEscrow *escrow = context;
    if (strcmp(key, record_key()) == 0) {
        escrow->index = 0;
        escrow->is_damaged = true;
        mark_changed(escrow);
        AqLog_Event(AQ_LOG_ERROR, "caps_removed", "pool=%s", escrow->pool);
    }
}

static void
on_listed(void *context)
{
    CapEscrow *escrow = context;
    escrow->was_listed = true;
    mark_changed(escrow);
}

static const PrefixViewOps record_ops = {on_record, on_record_removed,
                                         on_listed, COALESCE_MS, false};

/* ---- Demand ------------------------------------------------------------- */

static Account *
find_or_add(CapEscrow *escrow, const char *workspace)
{
    Account *account = g_hash_table_lookup(escrow->accounts, workspace);
    if (account == NULL) {
        account = calloc(1, sizeof(*account));
        g_hash_table_insert(escrow->accounts, g_strdup(workspace), account);
    }
    return account;
}

static void
on_demand(void *context, const AqCapDemand *demand)
{
    CapEscrow *escrow = context;
    Account *account = find_or_add(escrow, demand->workspace);
    account->is_seen = true;
    account->demand = *demand;
    AqResources *used = &account->demand.used;
    AqResources *want = &account->demand.want;
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t most = AqResources_Get(&account->inherited, kind) +
                       AqResources_Get(&demand->used_by_new, kind);
        int64_t hidden = most - AqResources_Get(used, kind);
        int64_t unknown = AqResources_Get(&demand->unknown, kind);
        hidden = hidden < unknown ? hidden : unknown;
        hidden = hidden > 0 ? hidden : 0;
        *AqResources_At(&account->hidden, kind) = hidden;
        *AqResources_At(used, kind) += hidden;
        *AqResources_At(want, kind) += hidden;
    }
    AqCapPeak_Note(&account->peak, escrow->now, want);
}

static gboolean
is_unseen(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    return !((Account *)value)->is_seen;
}

static void
read_demand(CapEscrow *escrow)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, escrow->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Account *)value)->is_seen = false;
    }
    AqScheduler_EachCapDemand(escrow->scheduler, on_demand, escrow);
    g_hash_table_foreach_remove(escrow->accounts, is_unseen, NULL);
}

/* ---- Limits ------------------------------------------------------------- */

/* Returns the pools among which the caps are divided, a new array of borrowed
 * names. */
static const char **
list_pools(const CapEscrow *escrow, size_t *count)
{
    const AqSiteConfig *site = &escrow->node->site;
    const char **pools = calloc(site->pool_count + 1, sizeof(*pools));
    *count = 0;
    for (size_t i = 0; i < site->pool_count; i++) {
        if (!site->pools[i].is_spare) {
            pools[(*count)++] = site->pools[i].name;
        }
    }
    return pools;
}

static bool
is_configured(const CapEscrow *escrow)
{
    const AqPoolConfig *pool =
        AqSiteConfig_FindPool(&escrow->node->site, escrow->pool);
    return pool != NULL && !pool->is_spare;
}

static void
lower_to(AqResources *amounts, const AqResources *others)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t *amount = AqResources_At(amounts, kind);
        int64_t other = AqResources_Get(others, kind);
        *amount = other < *amount ? other : *amount;
    }
}

/* Sets the resources without a limit to INT64_MAX. */
static void
divide_cap(const AqResources *cap, size_t pool_count, AqResources *base)
{
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t most = AqResources_Get(cap, kind);
        *AqResources_At(base, kind) = most > 0 && pool_count > 0
                                          ? most / (int64_t)pool_count
                                      : most > 0 ? 0
                                                 : INT64_MAX;
    }
}

/* Tells the scheduler what the workspace may use. */
static void
set_limit(const CapEscrow *escrow, const Account *account, size_t pool_count)
{
    const AqCapDemand *demand = &account->demand;
    AqResources limit;
    AqCapShares_Limit(escrow->record, demand->workspace, escrow->pool,
                      &demand->cap, &limit);
    if (escrow->written != NULL) {
        /* The write may have taken effect, or not. */
        AqResources next;
        AqCapShares_Limit(escrow->written, demand->workspace, escrow->pool,
                          &demand->cap, &next);
        lower_to(&limit, &next);
    }
    lower_to(&limit, &account->allowed);
    if (escrow->is_damaged) {
        /* It is not known what the other pools hold. */
        AqResources base;
        divide_cap(&demand->cap, pool_count, &base);
        lower_to(&limit, &base);
    }
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        *AqResources_At(&limit, kind) -=
            AqResources_Get(&account->hidden, kind);
    }
    AqScheduler_SetCapLimit(escrow->scheduler, demand->workspace, &limit);
}

/* ---- Writes ------------------------------------------------------------- */

static void
on_written(void *context, AqStoreStatus status)
{
    CapEscrow *escrow = context;
    if (escrow->is_destroyed) {
        free_escrow(escrow);
        return;
    }
    AqCapRecord *written = escrow->written;
    escrow->written = NULL;
    mark_changed(escrow);
    bool is_overtaken = escrow->index != escrow->sent_index;
    if (status == AQ_STORE_OK && is_overtaken && !escrow->is_damaged) {
        /* The watch has already reported this write, or a later one of another
         * owner. */
        AqCapRecord_Destroy(written);
        return;
    }
    if (status == AQ_STORE_OK) {
        set_record(escrow, written);
        escrow->is_damaged = is_overtaken;
        if (!is_overtaken) {
            /* The watch reports the record's revision. */
            escrow->watch_due = escrow->now + WATCH_LATE_MS;
        }
        return;
    }
    AqCapRecord_Destroy(written);
    AqLog_Event(AQ_LOG_INFO, "caps_not_written",
                "pool=%s status=%d index=%llu", escrow->pool, (int)status,
                (unsigned long long)escrow->index);
}

typedef struct {
    const CapEscrow *escrow;
    GPtrArray *names; /* owned */
} UnusedParts;

static void
find_unused(void *context, const char *workspace, const AqCapPart *part)
{
    UnusedParts *unused = context;
    (void)part;
    if (!g_hash_table_contains(unused->escrow->accounts, workspace)) {
        g_ptr_array_add(unused->names, g_strdup(workspace));
    }
}

/* Returns the names of the workspaces without a cap of which the pool holds
 * parts, from the time when they had one; a new array. */
static GPtrArray *
list_unused(const CapEscrow *escrow)
{
    UnusedParts unused = {escrow, g_ptr_array_new_with_free_func(g_free)};
    AqCapRecord_Each(escrow->record, escrow->pool, find_unused, &unused);
    return unused.names;
}

static bool
has_unused_parts(const CapEscrow *escrow)
{
    GPtrArray *names = list_unused(escrow);
    bool has_any = names->len > 0;
    g_ptr_array_free(names, TRUE);
    return has_any;
}

static bool
is_empty(const AqCapPart *part)
{
    static const AqResources none;
    return memcmp(&part->held, &none, sizeof(none)) == 0;
}

/* Returns a copy of the record with the decided parts of the pool; new. */
static AqCapRecord *
make_record(CapEscrow *escrow)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    AqCapRecord *record = AqCapRecord_Copy(escrow->record);
    bool is_listed = is_configured(escrow);
    GPtrArray *unused = list_unused(escrow);
    for (guint i = 0; i < unused->len; i++) {
        AqCapRecord_Set(record, g_ptr_array_index(unused, i), escrow->pool,
                        NULL);
    }
    g_ptr_array_free(unused, TRUE);
    g_hash_table_iter_init(&iter, escrow->accounts);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const Account *account = value;
        if (account->change != AQ_CAP_KEEP) {
            bool is_gone = !is_listed && is_empty(&account->next);
            AqCapRecord_Set(record, name, escrow->pool,
                            is_gone ? NULL : &account->next);
        }
    }
    return record;
}

static void
write_record(CapEscrow *escrow, AqTime now)
{
    AqBuffer bytes;
    AqStoreExpect expect = {record_key(), escrow->index};
    AqBuffer_Init(&bytes);
    escrow->written = make_record(escrow);
    escrow->sent_index = escrow->index;
    AqCapRecord_Encode(escrow->written, &bytes);
    AqStorePut put = {expect.key, AqBuffer_Text(&bytes), bytes.size, 0};
    escrow->has_changed = true;
    escrow->write_due = now + URGENT_WRITE_MS;
    escrow->later_due = now + LATER_WRITE_MS;
    AqLog_Event(AQ_LOG_DEBUG, "caps_write", "pool=%s index=%llu bytes=%zu",
                escrow->pool, (unsigned long long)escrow->index, bytes.size);
    owner_writer_commit(escrow->writer, &expect, 1, &put, 1, on_written,
                        escrow);
    AqBuffer_Clear(&bytes);
}

/* ---- Rounds ------------------------------------------------------------- */

/* Whether the last decision for the account still holds. */
static bool
is_settled_account(const CapEscrow *escrow, const Account *account)
{
    const AqCapDemand *demand = &account->demand;
    const AqCapDemand *decided = &account->decided;
    if (escrow->has_changed || account->change != AQ_CAP_KEEP ||
        escrow->now - account->decided_at >= DECISION_HOLDS_MS ||
        memcmp(&demand->cap, &decided->cap, sizeof(demand->cap)) != 0 ||
        memcmp(&demand->unit, &decided->unit, sizeof(demand->unit)) != 0) {
        return false;
    }
    for (int kind = 0; kind < AQ_RESOURCE_KINDS; kind++) {
        int64_t change = AqResources_Get(&demand->want, kind) -
                         AqResources_Get(&decided->want, kind);
        bool is_stopped = AqResources_Get(&account->allowed, kind) <
                          AqResources_Get(&account->next.held, kind);
        if (is_stopped || AqResources_Get(&account->hidden, kind) > 0 ||
            llabs(change) * DEMAND_STEP_DIVISOR >
                AqResources_Get(&demand->cap, kind)) {
            return false;
        }
    }
    return true;
}

/* Decides each account's next part; returns the most urgent change. */
static AqCapChange
decide(CapEscrow *escrow, const char *const *pools, size_t pool_count)
{
    AqCapChange most = escrow->is_damaged ? AQ_CAP_NOW : AQ_CAP_KEEP;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, escrow->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Account *account = value;
        account->is_decided = !is_settled_account(escrow, account);
        if (account->is_decided) {
            account->change = AqCapShares_Decide(
                escrow->record, escrow->pool, pools, pool_count,
                &account->demand, &account->next, &account->allowed);
            account->decided = account->demand;
            account->decided_at = escrow->now;
        }
        most = account->change > most ? account->change : most;
    }
    return most;
}

static void
set_limits(const CapEscrow *escrow, size_t pool_count)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, escrow->accounts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Account *account = value;
        if (account->is_decided || escrow->has_changed) {
            set_limit(escrow, account, pool_count);
        }
    }
}

/* Reads what the pool held when this owner gained it, for accounts that are
 * new; returns whether there are such. */
static bool
inherit(CapEscrow *escrow, size_t pool_count)
{
    bool has_any = false;
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, escrow->accounts);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        Account *account = value;
        if (account->has_inherited) {
            continue;
        }
        const AqCapPart *part =
            AqCapRecord_Find(escrow->record, name, escrow->pool);
        account->has_inherited = true;
        has_any = true;
        if (part != NULL) {
            account->inherited = part->held;
        }
        else if (escrow->is_damaged) {
            divide_cap(&account->demand.cap, pool_count, &account->inherited);
            lower_to(&account->inherited, &account->demand.cap);
        }
    }
    return has_any;
}

AqTime
cap_escrow_round(CapEscrow *escrow, AqTime now, bool may_write)
{
    if (now < escrow->check_due) {
        return escrow->check_due;
    }
    escrow->now = now;
    escrow->check_due = now + CHECK_INTERVAL_MS;
    read_demand(escrow);
    bool has_caps = g_hash_table_size(escrow->accounts) > 0;
    if (!has_caps && escrow->view == NULL) {
        return AQ_TIME_NEVER;
    }
    if (escrow->view == NULL) {
        escrow->view =
            prefix_view_create(escrow->node->loop, escrow->node->store,
                               key_of(KEY_CAPS, ""), &record_ops, escrow);
    }
    if (!escrow->was_listed) {
        return escrow->check_due;
    }
    size_t pool_count;
    const char **pools = list_pools(escrow, &pool_count);
    AqTime next = now + IDLE_INTERVAL_MS;
    if (inherit(escrow, pool_count)) {
        read_demand(escrow);
    }
    if (escrow->written != NULL) {
        escrow->has_changed = true;
    }
    else {
        AqCapChange change = decide(escrow, pools, pool_count);
        if (has_unused_parts(escrow) && change == AQ_CAP_KEEP) {
            change = AQ_CAP_LATER;
        }
        AqTime due =
            change == AQ_CAP_NOW ? escrow->write_due : escrow->later_due;
        if (may_write && change != AQ_CAP_KEEP && now >= due &&
            now >= escrow->watch_due) {
            write_record(escrow, now);
        }
        else if (change == AQ_CAP_NOW) {
            next = escrow->check_due;
        }
    }
    set_limits(escrow, pool_count);
    escrow->has_changed = false;
    free(pools);
    return next;
}

/* ---- Interface ---------------------------------------------------------- */

static void
count_part(void *context, const char *workspace, const AqCapPart *part)
{
    (void)workspace;
    (void)part;
    (*(size_t *)context)++;
}

bool
cap_escrow_is_settled(const CapEscrow *escrow)
{
    size_t count = 0;
    AqCapRecord_Each(escrow->record, escrow->pool, count_part, &count);
    return count == 0 || is_configured(escrow);
}

CapEscrow *
cap_escrow_create(NodeContext *node, const char *pool, OwnerWriter *writer,
                  AqScheduler *scheduler)
{
    CapEscrow *escrow = calloc(1, sizeof(*escrow));
    escrow->node = node;
    escrow->pool = strdup(pool);
    escrow->writer = writer;
    escrow->scheduler = scheduler;
    escrow->record = AqCapRecord_Create();
    escrow->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free);
    return escrow;
}

void
cap_escrow_destroy(CapEscrow *escrow)
{
    prefix_view_destroy(escrow->view);
    escrow->is_destroyed = true;
    if (escrow->written == NULL) {
        free_escrow(escrow);
    }
}
