#include "prefix_view.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"

enum {
    /* A watch that hears nothing although there are changes, or whose
     * connection has gone silent, is noticed after this and the store's
     * time-out. */
    WATCH_WAIT_MS = 2000,
    /* Of a prompt view: the wait, and how much later the answer may come
     * before another watch is begun beside it. */
    PROMPT_WAIT_MS = 500,
    ANSWER_MS = 500,
    RETRY_MS = 120,
    LONGEST_RETRY_MS = 500
};

struct PrefixView {
    AqLoop *loop;
    AqStore *store;
    char *prefix;
    PrefixViewOps ops;
    void *context;
    AqTimer retry;
    AqTimer silence;
    uint64_t watch; /* number of the last watch; answers to earlier ones are
                     * used, but nothing follows them */
    GHashTable *indexes; /* key -> index of its last write, as uint64_t* */
    GHashTable *listing; /* keys of the listing under way, or NULL */
    char *after;         /* last key of the pages so far */
    uint64_t index;      /* the next watch begins after it */
    bool is_listed;
    bool is_destroyed;
    bool is_reachable;
    int in_flight;
    unsigned failures;
    AqTime last_reply_at;
};

static void begin(PrefixView *view);

static void
free_view(PrefixView *view)
{
    AqTimer_Stop(&view->retry);
    AqTimer_Stop(&view->silence);
    g_hash_table_destroy(view->indexes);
    if (view->listing != NULL) {
        g_hash_table_destroy(view->listing);
    }
    free(view->after);
    free(view->prefix);
    free(view);
}

static void
note_reachable(PrefixView *view, bool is_reachable, AqStoreStatus status)
{
    if (view->is_reachable != is_reachable) {
        view->is_reachable = is_reachable;
        AqLog_Event(is_reachable ? AQ_LOG_INFO : AQ_LOG_WARNING,
                    is_reachable ? "store_regained" : "store_lost",
                    "prefix=%s status=%d index=%llu", view->prefix,
                    (int)status, (unsigned long long)view->index);
    }
    if (is_reachable) {
        view->last_reply_at = AqLoop_Now(view->loop);
        view->failures = 0;
    }
}

static void
retry_later(PrefixView *view)
{
    AqTime wait = (AqTime)RETRY_MS
                  << (view->failures < 3 ? view->failures : 3);
    view->failures++;
    if (wait > LONGEST_RETRY_MS) {
        wait = LONGEST_RETRY_MS;
    }
    AqTimer_Start(view->loop, &view->retry, AqLoop_Now(view->loop) + wait);
}

/* ---- Applying ----------------------------------------------------------- */

static void
apply_put(PrefixView *view, const AqStoreItem *item)
{
    const uint64_t *known = g_hash_table_lookup(view->indexes, item->key);
    if (known != NULL && *known >= item->index) {
        return;
    }
    uint64_t *index = g_new(uint64_t, 1);
    *index = item->index;
    g_hash_table_replace(view->indexes, g_strdup(item->key), index);
    view->ops.put(view->context, item);
}

static void
apply_removed(PrefixView *view, const char *key)
{
    if (g_hash_table_remove(view->indexes, key) && view->ops.removed != NULL) {
        view->ops.removed(view->context, key);
    }
}

/* Passes over what another watch has told already. */
static void
apply_changes(PrefixView *view, const AqStoreReply *reply)
{
    uint64_t known = view->index;
    if (reply->index > view->index) {
        view->index = reply->index;
    }
    for (size_t i = 0; i < reply->count && !view->is_destroyed; i++) {
        const AqStoreItem *item = &reply->items[i];
        if (item->index <= known) {
            continue;
        }
        if (item->removed) {
            apply_removed(view, item->key);
        }
        else {
            apply_put(view, item);
        }
    }
}

/* Keys that the listing has not found were removed in between. */
static void
remove_unlisted(PrefixView *view)
{
    GHashTableIter iter;
    gpointer key;
    GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
    g_hash_table_iter_init(&iter, view->indexes);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        if (!g_hash_table_contains(view->listing, key)) {
            g_ptr_array_add(gone, g_strdup(key));
        }
    }
    for (guint i = 0; i < gone->len && !view->is_destroyed; i++) {
        apply_removed(view, g_ptr_array_index(gone, i));
    }
    g_ptr_array_free(gone, TRUE);
}

/* ---- Calls -------------------------------------------------------------- */

/* Ends the handling of a reply; false when the view was destroyed. */
static bool
end_call(PrefixView *view)
{
    view->in_flight--;
    if (view->is_destroyed) {
        if (view->in_flight == 0) {
            free_view(view);
        }
        return false;
    }
    return true;
}

typedef struct {
    PrefixView *view;
    uint64_t number;
} WatchCall;

static void
follow_changes(PrefixView *view, const AqStoreReply *reply)
{
    if (reply->status == AQ_STORE_OK && reply->count > 0 &&
        view->ops.coalesce_ms > 0) {
        AqTimer_Start(view->loop, &view->retry,
                      AqLoop_Now(view->loop) + view->ops.coalesce_ms);
    }
    else if (reply->status == AQ_STORE_OK) {
        begin(view);
    }
    else if (reply->status == AQ_STORE_COMPACTED) {
        AqLog_Event(AQ_LOG_INFO, "history_gone", "prefix=%s index=%llu",
                    view->prefix, (unsigned long long)view->index);
        view->is_listed = false;
        begin(view);
    }
    else {
        note_reachable(view, false, reply->status);
        retry_later(view);
    }
}

static void
on_changes(void *context, const AqStoreReply *reply)
{
    WatchCall *call = context;
    PrefixView *view = call->view;
    bool is_last = call->number == view->watch;
    free(call);
    if (!view->is_destroyed && reply->status == AQ_STORE_OK &&
        view->is_listed) {
        note_reachable(view, true, reply->status);
        apply_changes(view, reply);
    }
    if (end_call(view) && is_last) {
        AqTimer_Stop(&view->silence);
        follow_changes(view, reply);
    }
}

static void
take_page(PrefixView *view, const AqStoreReply *reply)
{
    if (view->after[0] == '\0') {
        view->index = reply->index;
    }
    for (size_t i = 0; i < reply->count && !view->is_destroyed; i++) {
        const AqStoreItem *item = &reply->items[i];
        g_hash_table_add(view->listing, g_strdup(item->key));
        free(view->after);
        view->after = strdup(item->key);
        apply_put(view, item);
    }
}

static void
on_page(void *context, const AqStoreReply *reply)
{
    PrefixView *view = context;
    bool ok = reply->status == AQ_STORE_OK;
    bool is_last = ok && (reply->is_complete || reply->count == 0);
    if (!view->is_destroyed && ok) {
        note_reachable(view, true, reply->status);
        take_page(view, reply);
        if (is_last && !view->is_destroyed) {
            remove_unlisted(view);
        }
        if (is_last && !view->is_destroyed) {
            g_hash_table_destroy(view->listing);
            view->listing = NULL;
            view->is_listed = true;
            if (view->ops.listed != NULL) {
                view->ops.listed(view->context);
            }
        }
    }
    if (!end_call(view)) {
        return;
    }
    if (!ok) {
        note_reachable(view, false, reply->status);
        if (view->listing != NULL) {
            g_hash_table_destroy(view->listing);
            view->listing = NULL;
        }
        retry_later(view);
        return;
    }
    begin(view);
}

static void
begin_watch(PrefixView *view)
{
    AqTime wait = view->ops.is_prompt ? PROMPT_WAIT_MS : WATCH_WAIT_MS;
    WatchCall *call = malloc(sizeof(*call));
    call->view = view;
    call->number = ++view->watch;
    if (view->ops.is_prompt) {
        AqTimer_Start(view->loop, &view->silence,
                      AqLoop_Now(view->loop) + wait + ANSWER_MS);
    }
    view->store->ops->changes(view->store, view->prefix, view->index, wait,
                              on_changes, call);
}

static void
begin(PrefixView *view)
{
    view->in_flight++;
    if (view->is_listed) {
        begin_watch(view);
        return;
    }
    if (view->listing == NULL) {
        view->listing =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        free(view->after);
        view->after = strdup("");
    }
    view->store->ops->list_after(view->store, view->prefix, view->after, false,
                                 on_page, view);
}

static void
on_retry(void *context)
{
    begin(context);
}

/* The watch may be cut off without a word: another one begins.  An answer
 * that is only late is used when it comes. */
static void
on_silence(void *context)
{
    PrefixView *view = context;
    AqLog_Event(AQ_LOG_INFO, "watch_silent", "prefix=%s index=%llu",
                view->prefix, (unsigned long long)view->index);
    begin(view);
}

/* ---- Lifecycle ---------------------------------------------------------- */

PrefixView *
prefix_view_create(AqLoop *loop, AqStore *store, const char *prefix,
                   const PrefixViewOps *ops, void *context)
{
    PrefixView *view = calloc(1, sizeof(*view));
    view->loop = loop;
    view->store = store;
    view->prefix = strdup(prefix);
    view->ops = *ops;
    view->context = context;
    view->after = strdup("");
    view->is_reachable = true;
    view->last_reply_at = AQ_TIME_NEVER;
    view->indexes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqTimer_Init(&view->retry, on_retry, view);
    AqTimer_Init(&view->silence, on_silence, view);
    begin(view);
    return view;
}

void
prefix_view_destroy(PrefixView *view)
{
    if (view == NULL) {
        return;
    }
    view->is_destroyed = true;
    AqTimer_Stop(&view->retry);
    AqTimer_Stop(&view->silence);
    if (view->in_flight == 0) {
        free_view(view);
    }
}

AqTime
prefix_view_last_reply_at(const PrefixView *view)
{
    return view->last_reply_at;
}

bool
prefix_view_is_listed(const PrefixView *view)
{
    return view->is_listed;
}
