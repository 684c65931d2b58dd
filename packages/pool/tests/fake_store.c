#include "fake_store.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

typedef enum {
    CALL_GET,
    CALL_LIST,
    CALL_CHANGES,
    CALL_COMMIT,
    CALL_GRANT,
    CALL_KEEP
} CallKind;

typedef struct {
    char *key;
    char *value;
    size_t size;
    uint64_t index; /* store revision of the key's last write or removal */
    /* Id of the lease under which the key was written; 0: none. */
    uint64_t lease;
    bool removed;
} Record;

typedef struct {
    CallKind kind;
    /* Key of the call; CALL_LIST and CALL_CHANGES: prefix of keys. */
    char *key;
    char *after; /* CALL_LIST: last key of the page before this one */
    /* CALL_CHANGES: store revision after which changes are returned;
     * CALL_KEEP: id of the lease. */
    uint64_t index;
    GPtrArray *expects; /* of Record: keys with required store revisions */
    GPtrArray *puts;    /* of Record: keys with the values to be written */
    GPtrArray *deletes; /* of Record: keys to be removed */
    AqStoreDone done;
    void *context;
} Call;

/* A reply that was not delivered yet. */
typedef struct {
    Call *call; /* NULL: none */
    AqStoreReply reply;
    GArray *items;      /* of AqStoreItem */
    GPtrArray *records; /* of Record: copies of what "items" point to */
} HeldReply;

struct FakeStore {
    AqStore store; /* first, so that AqStore * can be cast to FakeStore * */
    GPtrArray *records; /* of Record; removed keys stay, marked as removed */
    GQueue *calls;      /* of Call: not ended yet, oldest first */
    /* Of Call: ended by fake_store_lose_call() and not executed since, oldest
     * first. */
    GQueue *lost;
    HeldReply held;
    uint64_t index; /* store revision: increased by 1 with each write */
    /* A watch for the changes after a store revision smaller than this ends
     * with AQ_STORE_COMPACTED. */
    uint64_t compacted_index;
    int64_t max_wait_ms;
    int64_t last_wait_ms; /* that the last watch requested */
    unsigned get_count;
    /* Id of the last lease granted; 0: none, or it has ended. */
    uint64_t lease;
    uint64_t lease_count; /* number of leases granted so far */
};

static void
free_record(gpointer value)
{
    Record *record = value;
    g_free(record->key);
    g_free(record->value);
    g_free(record);
}

static void
free_call(Call *call)
{
    g_free(call->key);
    g_free(call->after);
    g_ptr_array_free(call->expects, TRUE);
    g_ptr_array_free(call->puts, TRUE);
    g_ptr_array_free(call->deletes, TRUE);
    g_free(call);
}

/* Returns a copy with a NUL added: values may hold any bytes, but tests read
 * those that are text as strings. */
static char *
copy_bytes(const char *bytes, size_t size)
{
    char *copy = g_malloc0(size + 1);
    memcpy(copy, bytes, size);
    return copy;
}

static Record *
find(const FakeStore *fake, const char *key)
{
    for (guint i = 0; i < fake->records->len; i++) {
        Record *record = g_ptr_array_index(fake->records, i);
        if (strcmp(record->key, key) == 0) {
            return record;
        }
    }
    return NULL;
}

static void
write_record(FakeStore *fake, const char *key, const char *value, size_t size,
             uint64_t lease)
{
    Record *record = find(fake, key);
    if (record == NULL) {
        record = g_new0(Record, 1);
        record->key = g_strdup(key);
        g_ptr_array_add(fake->records, record);
    }
    g_free(record->value);
    record->value = copy_bytes(value, size);
    record->size = size;
    record->removed = false;
    record->lease = lease;
    record->index = fake->index;
}

static void
remove_record(FakeStore *fake, Record *record)
{
    record->removed = true;
    record->index = fake->index;
}

/* ---- Calls -------------------------------------------------------------- */

static Call *
add_call(AqStore *store, CallKind kind, const char *key, AqStoreDone done,
         void *context)
{
    FakeStore *fake = (FakeStore *)store;
    Call *call = g_new0(Call, 1);
    call->kind = kind;
    call->key = g_strdup(key);
    call->after = g_strdup("");
    call->expects = g_ptr_array_new_with_free_func(free_record);
    call->puts = g_ptr_array_new_with_free_func(free_record);
    call->deletes = g_ptr_array_new_with_free_func(free_record);
    call->done = done;
    call->context = context;
    g_queue_push_tail(fake->calls, call);
    return call;
}

static void
on_get(AqStore *store, const char *key, AqStoreDone done, void *context)
{
    ((FakeStore *)store)->get_count++;
    add_call(store, CALL_GET, key, done, context);
}

static void
on_list(AqStore *store, const char *prefix, const char *after, bool stale,
        AqStoreDone done, void *context)
{
    Call *call = add_call(store, CALL_LIST, prefix, done, context);
    (void)stale;
    g_free(call->after);
    call->after = g_strdup(after);
}

static void
on_changes(AqStore *store, const char *prefix, uint64_t index, int64_t wait_ms,
           AqStoreDone done, void *context)
{
    FakeStore *fake = (FakeStore *)store;
    add_call(store, CALL_CHANGES, prefix, done, context)->index = index;
    fake->last_wait_ms = wait_ms;
    if (wait_ms > fake->max_wait_ms) {
        fake->max_wait_ms = wait_ms;
    }
}

static void
on_commit(AqStore *store, const AqStoreCommit *commit, AqStoreDone done,
          void *context)
{
    Call *call = add_call(store, CALL_COMMIT, "", done, context);
    for (size_t i = 0; i < commit->expect_count; i++) {
        Record *record = g_new0(Record, 1);
        record->key = g_strdup(commit->expects[i].key);
        record->index = commit->expects[i].index;
        g_ptr_array_add(call->expects, record);
    }
    for (size_t i = 0; i < commit->put_count; i++) {
        Record *record = g_new0(Record, 1);
        record->key = g_strdup(commit->puts[i].key);
        record->value =
            copy_bytes(commit->puts[i].value, commit->puts[i].size);
        record->size = commit->puts[i].size;
        record->lease = commit->puts[i].lease;
        g_ptr_array_add(call->puts, record);
    }
    for (size_t i = 0; i < commit->delete_count; i++) {
        Record *record = g_new0(Record, 1);
        record->key = g_strdup(commit->deletes[i]);
        g_ptr_array_add(call->deletes, record);
    }
}

static void
on_grant(AqStore *store, int64_t ttl_ms, AqStoreDone done, void *context)
{
    (void)ttl_ms;
    add_call(store, CALL_GRANT, "", done, context);
}

static void
on_keep(AqStore *store, uint64_t lease, AqStoreDone done, void *context)
{
    add_call(store, CALL_KEEP, "", done, context)->index = lease;
}

static const AqStoreOps ops = {
    .get = on_get,
    .list_after = on_list,
    .changes = on_changes,
    .commit = on_commit,
    .lease_grant = on_grant,
    .lease_keep = on_keep,
};

/* ---- Replies ------------------------------------------------------------ */

static void
add_item(GArray *items, const Record *record)
{
    AqStoreItem item = {.key = record->key,
                        .value = record->value,
                        .size = record->size,
                        .index = record->index,
                        .removed = record->removed};
    g_array_append_val(items, item);
}

static AqStoreStatus
execute_commit(FakeStore *fake, const Call *call, GArray *items)
{
    bool holds = true;
    for (guint i = 0; i < call->expects->len; i++) {
        const Record *expect = g_ptr_array_index(call->expects, i);
        const Record *record = find(fake, expect->key);
        bool exists = record != NULL && !record->removed;
        holds = holds && expect->index == (exists ? record->index : 0);
        if (exists) {
            add_item(items, record);
        }
    }
    if (!holds) {
        return AQ_STORE_CONFLICT;
    }
    g_array_set_size(items, 0);
    fake->index++;
    for (guint i = 0; i < call->puts->len; i++) {
        const Record *put = g_ptr_array_index(call->puts, i);
        write_record(fake, put->key, put->value, put->size, put->lease);
    }
    for (guint i = 0; i < call->deletes->len; i++) {
        const Record *key = g_ptr_array_index(call->deletes, i);
        Record *record = find(fake, key->key);
        if (record != NULL) {
            remove_record(fake, record);
        }
    }
    return AQ_STORE_OK;
}

static AqStoreStatus
execute(FakeStore *fake, const Call *call, GArray *items)
{
    if (call->kind == CALL_COMMIT) {
        return execute_commit(fake, call, items);
    }
    if (call->kind == CALL_GRANT) {
        fake->lease = ++fake->lease_count;
        return AQ_STORE_OK;
    }
    if (call->kind == CALL_KEEP) {
        return call->index == fake->lease ? AQ_STORE_OK : AQ_STORE_ABSENT;
    }
    if (call->kind == CALL_CHANGES && call->index < fake->compacted_index) {
        return AQ_STORE_COMPACTED;
    }
    for (guint i = 0; i < fake->records->len; i++) {
        const Record *record = g_ptr_array_index(fake->records, i);
        bool matches = call->kind == CALL_GET
                           ? strcmp(record->key, call->key) == 0
                           : g_str_has_prefix(record->key, call->key);
        bool is_new = call->kind == CALL_CHANGES ? record->index > call->index
                                                 : !record->removed;
        if (matches && is_new) {
            add_item(items, record);
        }
    }
    return call->kind == CALL_GET && items->len == 0 ? AQ_STORE_ABSENT
                                                     : AQ_STORE_OK;
}

static void
reply_to(FakeStore *fake, Call *call)
{
    GArray *items = g_array_new(FALSE, FALSE, sizeof(AqStoreItem));
    AqStoreReply reply = {.status = execute(fake, call, items),
                          .items = (const AqStoreItem *)(void *)items->data,
                          .count = items->len,
                          .index = fake->index,
                          .lease = fake->lease,
                          .is_complete = true};
    call->done(call->context, &reply);
    g_array_free(items, TRUE);
    free_call(call);
}

void
fake_store_hold_reply(FakeStore *fake)
{
    HeldReply *held = &fake->held;
    held->call = g_queue_pop_head(fake->calls);
    held->items = g_array_new(FALSE, FALSE, sizeof(AqStoreItem));
    held->records = g_ptr_array_new_with_free_func(free_record);
    held->reply =
        (AqStoreReply){.status = execute(fake, held->call, held->items),
                       .index = fake->index,
                       .lease = fake->lease,
                       .is_complete = true};
    for (guint i = 0; i < held->items->len; i++) {
        AqStoreItem *item = &g_array_index(held->items, AqStoreItem, i);
        Record *copy = g_new0(Record, 1);
        copy->key = g_strdup(item->key);
        copy->value = copy_bytes(item->value, item->size);
        item->key = copy->key;
        item->value = copy->value;
        g_ptr_array_add(held->records, copy);
    }
    held->reply.items = (const AqStoreItem *)(void *)held->items->data;
    held->reply.count = held->items->len;
}

void
fake_store_release_reply(FakeStore *fake)
{
    HeldReply held = fake->held;
    fake->held.call = NULL;
    held.call->done(held.call->context, &held.reply);
    g_array_free(held.items, TRUE);
    g_ptr_array_free(held.records, TRUE);
    free_call(held.call);
}

size_t
fake_store_pending_count(const FakeStore *fake)
{
    return g_queue_get_length(fake->calls);
}

void
fake_store_reply(FakeStore *fake)
{
    reply_to(fake, g_queue_pop_head(fake->calls));
}

void
fake_store_reply_newest(FakeStore *fake)
{
    for (guint i = g_queue_get_length(fake->calls); i-- > 0;) {
        Call *call = g_queue_peek_nth(fake->calls, i);
        if (call->kind != CALL_CHANGES) {
            g_queue_pop_nth(fake->calls, i);
            reply_to(fake, call);
            return;
        }
    }
}

static bool
is_put_of(const Call *call, const char *key)
{
    for (guint i = 0; call->kind == CALL_COMMIT && i < call->puts->len; i++) {
        const Record *put = g_ptr_array_index(call->puts, i);
        if (strcmp(put->key, key) == 0) {
            return true;
        }
    }
    return false;
}

bool
fake_store_reply_until_put(FakeStore *fake, const char *key)
{
    enum {
        /* Number of calls after which the loop ends, since each reply to a
         * watch may cause another watch. */
        MAX_CALLS = 100
    };
    for (int i = 0; i < MAX_CALLS && fake_store_pending_count(fake) > 0; i++) {
        Call *call = g_queue_peek_head(fake->calls);
        if (is_put_of(call, key)) {
            return true;
        }
        if (call->kind == CALL_CHANGES && call->index >= fake->index) {
            g_queue_push_tail(fake->calls, g_queue_pop_head(fake->calls));
            continue;
        }
        fake_store_reply(fake);
    }
    return false;
}

void
fake_store_reply_all(FakeStore *fake)
{
    fake_store_reply_until_put(fake, "");
}

static void
fail_call(FakeStore *fake, AqStoreStatus status, bool keep)
{
    Call *call = g_queue_pop_head(fake->calls);
    AqStoreReply reply = {.status = status};
    call->done(call->context, &reply);
    if (keep) {
        g_queue_push_tail(fake->lost, call);
    }
    else {
        free_call(call);
    }
}

void
fake_store_lose_call(FakeStore *fake)
{
    const Call *call = g_queue_peek_head(fake->calls);
    fail_call(fake,
              call->kind == CALL_COMMIT ? AQ_STORE_UNKNOWN
                                        : AQ_STORE_UNAVAILABLE,
              true);
}

void
fake_store_refuse_call(FakeStore *fake)
{
    fail_call(fake, AQ_STORE_UNAVAILABLE, false);
}

void
fake_store_end_call(FakeStore *fake, AqStoreStatus status)
{
    fail_call(fake, status, true);
}

void
fake_store_execute_lost(FakeStore *fake)
{
    Call *call = g_queue_pop_head(fake->lost);
    GArray *items = g_array_new(FALSE, FALSE, sizeof(AqStoreItem));
    execute(fake, call, items);
    g_array_free(items, TRUE);
    free_call(call);
}

void
fake_store_compact(FakeStore *fake)
{
    fake->compacted_index = fake->index + 1;
    fake->index++;
}

uint64_t
fake_store_put_bytes(FakeStore *fake, const char *key, const char *bytes,
                     size_t size)
{
    fake->index++;
    write_record(fake, key, bytes, size, 0);
    return fake->index;
}

uint64_t
fake_store_put(FakeStore *fake, const char *key, const char *value)
{
    return fake_store_put_bytes(fake, key, value, strlen(value));
}

void
fake_store_remove(FakeStore *fake, const char *key)
{
    fake->index++;
    remove_record(fake, find(fake, key));
}

void
fake_store_end_lease(FakeStore *fake)
{
    fake->index++;
    for (guint i = 0; i < fake->records->len; i++) {
        Record *record = g_ptr_array_index(fake->records, i);
        if (record->lease != 0 && record->lease == fake->lease) {
            remove_record(fake, record);
        }
    }
    fake->lease = 0;
}

bool
fake_store_is_next_write(const FakeStore *fake, const char *key)
{
    const Call *call = g_queue_peek_head(fake->calls);
    return call != NULL && is_put_of(call, key);
}

bool
fake_store_has_last_lease(const FakeStore *fake, const char *key)
{
    const Record *record = find(fake, key);
    return record != NULL && !record->removed && record->lease != 0 &&
           record->lease == fake->lease;
}

const char *
fake_store_bytes(const FakeStore *fake, const char *key, size_t *size)
{
    const Record *record = find(fake, key);
    bool exists = record != NULL && !record->removed;
    *size = exists ? record->size : 0;
    return exists ? record->value : NULL;
}

const char *
fake_store_value(const FakeStore *fake, const char *key)
{
    size_t size;
    return fake_store_bytes(fake, key, &size);
}

unsigned
fake_store_get_count(const FakeStore *fake)
{
    return fake->get_count;
}

int64_t
fake_store_last_wait_ms(const FakeStore *fake)
{
    return fake->last_wait_ms;
}

int64_t
fake_store_max_wait_ms(const FakeStore *fake)
{
    return fake->max_wait_ms;
}

/* ---- Lifecycle ---------------------------------------------------------- */

FakeStore *
fake_store_create(void)
{
    FakeStore *fake = g_new0(FakeStore, 1);
    fake->store.ops = &ops;
    fake->records = g_ptr_array_new_with_free_func(free_record);
    fake->calls = g_queue_new();
    fake->lost = g_queue_new();
    fake->index = 10;
    return fake;
}

AqStore *
fake_store_interface(FakeStore *fake)
{
    return &fake->store;
}

void
fake_store_destroy(FakeStore *fake)
{
    Call *call;
    /* End the queued calls, so that their callers free their contexts. */
    while (fake_store_pending_count(fake) > 0) {
        fake_store_refuse_call(fake);
    }
    while ((call = g_queue_pop_head(fake->lost)) != NULL) {
        free_call(call);
    }
    g_queue_free(fake->calls);
    g_queue_free(fake->lost);
    g_ptr_array_free(fake->records, TRUE);
    g_free(fake);
}
