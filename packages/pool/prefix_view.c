#include "prefix_view.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"

enum {
    /* Longest time that the store waits for a change before it replies to a
     * watch.  A watch that misses changes, or whose connection is broken, is
     * detected after this time plus the timeout of store calls. */
    WATCH_WAIT_MS = 2000,
    /* Longest time that the store waits for a change before it replies to a
     * watch of a view with is_prompt. */
    PROMPT_WAIT_MS = 500,
    /* How much later than PROMPT_WAIT_MS a reply to a watch may arrive before
     * another watch is started in parallel. */
    PROMPT_REPLY_MARGIN_MS = 500,
    FIRST_RETRY_MS = 120,
    MAX_RETRY_MS = 500
};

struct PrefixView {
    AqLoop *loop;
    AqStore *store;
    char *prefix;
    PrefixViewOps ops;
    void *context;
    AqTimer retry_timer;
    AqTimer silence_timer;
    /* Number of the last watch started.  Replies to earlier watches are
     * applied, but start no further call. */
    uint64_t last_watch;
    /* Key -> store revision of the key's last write, as uint64_t*. */
    GHashTable *indexes;
    /* Keys received in the listing in progress; NULL: none. */
    GHashTable *listing;
    /* Last key received in the listing in progress, which arrives in pages; ""
     * before the first page. */
    char *last_listed_key;
    /* Store revision after which the next watch returns changes. */
    uint64_t index;
    bool is_listed;
    bool is_destroyed;
    bool is_reachable;
    int in_flight;
    unsigned failures;
    AqTime last_reply_at;
    AqTime listing_sent_at; /* of the first page of the listing */
    AqTime confirmed_at;
};

static void start_call(PrefixView *view);

static void
free_view(PrefixView *view)
{
    AqTimer_Stop(&view->retry_timer);
    AqTimer_Stop(&view->silence_timer);
    g_hash_table_destroy(view->indexes);
    if (view->listing != NULL) {
        g_hash_table_destroy(view->listing);
    }
    free(view->last_listed_key);
    free(view->prefix);
    free(view);
}

static void
update_reachable(PrefixView *view, bool is_reachable, AqStoreStatus status)
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
schedule_retry(PrefixView *view)
{
    AqTime wait = (AqTime)FIRST_RETRY_MS
                  << (view->failures < 3 ? view->failures : 3);
    view->failures++;
    if (wait > MAX_RETRY_MS) {
        wait = MAX_RETRY_MS;
    }
    AqTimer_Start(view->loop, &view->retry_timer,
                  AqLoop_Now(view->loop) + wait);
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

/* Reports the changes that a watch has returned; skips those that another
 * watch of the same view has returned already. */
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

/* Reports the keys as removed that were known before the completed listing but
 * are not in it. */
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

/* Counts a store call of the view as ended.  Returns false if the view was
 * destroyed, in which case it may have been freed. */
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
    AqTime sent_at;
} WatchCall;

static void
note_confirmed(PrefixView *view, AqTime sent_at)
{
    if (sent_at > view->confirmed_at) {
        view->confirmed_at = sent_at;
    }
}

static void
follow_changes(PrefixView *view, const AqStoreReply *reply)
{
    if (reply->status == AQ_STORE_OK && reply->count > 0 &&
        view->ops.coalesce_ms > 0) {
        AqTimer_Start(view->loop, &view->retry_timer,
                      AqLoop_Now(view->loop) + view->ops.coalesce_ms);
    }
    else if (reply->status == AQ_STORE_OK) {
        start_call(view);
    }
    else if (reply->status == AQ_STORE_COMPACTED) {
        AqLog_Event(AQ_LOG_INFO, "history_gone", "prefix=%s index=%llu",
                    view->prefix, (unsigned long long)view->index);
        view->is_listed = false;
        start_call(view);
    }
    else {
        update_reachable(view, false, reply->status);
        schedule_retry(view);
    }
}

static void
on_changes(void *context, const AqStoreReply *reply)
{
    WatchCall *call = context;
    PrefixView *view = call->view;
    bool is_last = call->number == view->last_watch;
    AqTime sent_at = call->sent_at;
    free(call);
    if (!view->is_destroyed && reply->status == AQ_STORE_OK &&
        view->is_listed) {
        update_reachable(view, true, reply->status);
        apply_changes(view, reply);
        note_confirmed(view, sent_at);
    }
    if (end_call(view) && is_last) {
        AqTimer_Stop(&view->silence_timer);
        follow_changes(view, reply);
    }
}

static void
apply_page(PrefixView *view, const AqStoreReply *reply)
{
    if (view->last_listed_key[0] == '\0') {
        view->index = reply->index;
    }
    for (size_t i = 0; i < reply->count && !view->is_destroyed; i++) {
        const AqStoreItem *item = &reply->items[i];
        g_hash_table_add(view->listing, g_strdup(item->key));
        free(view->last_listed_key);
        view->last_listed_key = strdup(item->key);
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
        update_reachable(view, true, reply->status);
        apply_page(view, reply);
        if (is_last && !view->is_destroyed) {
            remove_unlisted(view);
        }
        if (is_last && !view->is_destroyed) {
            g_hash_table_destroy(view->listing);
            view->listing = NULL;
            view->is_listed = true;
            note_confirmed(view, view->listing_sent_at);
            if (view->ops.listed != NULL) {
                view->ops.listed(view->context);
            }
        }
    }
    if (!end_call(view)) {
        return;
    }
    if (!ok) {
        update_reachable(view, false, reply->status);
        if (view->listing != NULL) {
            g_hash_table_destroy(view->listing);
            view->listing = NULL;
        }
        schedule_retry(view);
        return;
    }
    start_call(view);
}

static void
start_watch(PrefixView *view, AqTime wait)
{
    WatchCall *call = malloc(sizeof(*call));
    call->view = view;
    call->sent_at = AqLoop_Now(view->loop);
    call->number = ++view->last_watch;
    if (view->ops.is_prompt) {
        AqTimer_Start(view->loop, &view->silence_timer,
                      AqLoop_Now(view->loop) + wait + PROMPT_REPLY_MARGIN_MS);
    }
    view->store->ops->changes(view->store, view->prefix, view->index, wait,
                              on_changes, call);
}

static void
start_call(PrefixView *view)
{
    view->in_flight++;
    if (view->is_listed) {
        /* After a failure the store is to reply at once: the reply to a watch
         * without a change would show only after its whole wait that the store
         * serves this node again. */
        start_watch(view, !view->is_reachable   ? 0
                          : view->ops.is_prompt ? PROMPT_WAIT_MS
                                                : WATCH_WAIT_MS);
        return;
    }
    if (view->listing == NULL) {
        view->listing_sent_at = AqLoop_Now(view->loop);
        view->listing =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        free(view->last_listed_key);
        view->last_listed_key = strdup("");
    }
    view->store->ops->list_after(view->store, view->prefix,
                                 view->last_listed_key, false, on_page, view);
}

static void
on_retry(void *context)
{
    start_call(context);
}

/* The store may have dropped the last watch without an error, so another one
 * is started.  If the reply to the last watch is only late, it is still
 * applied. */
static void
on_silence(void *context)
{
    PrefixView *view = context;
    AqLog_Event(AQ_LOG_INFO, "watch_silent", "prefix=%s index=%llu",
                view->prefix, (unsigned long long)view->index);
    start_call(view);
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
    view->last_listed_key = strdup("");
    view->is_reachable = true;
    view->last_reply_at = AQ_TIME_NEVER;
    view->indexes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    AqTimer_Init(&view->retry_timer, on_retry, view);
    AqTimer_Init(&view->silence_timer, on_silence, view);
    start_call(view);
    return view;
}

void
prefix_view_destroy(PrefixView *view)
{
    if (view == NULL) {
        return;
    }
    view->is_destroyed = true;
    AqTimer_Stop(&view->retry_timer);
    AqTimer_Stop(&view->silence_timer);
    if (view->in_flight == 0) {
        free_view(view);
    }
}

AqTime
prefix_view_last_reply_at(const PrefixView *view)
{
    return view->last_reply_at;
}

AqTime
prefix_view_confirmed_at(const PrefixView *view)
{
    return view->confirmed_at;
}

void
prefix_view_refresh(PrefixView *view)
{
    if (view->is_listed) {
        view->in_flight++;
        start_watch(view, 0);
    }
}

bool
prefix_view_is_listed(const PrefixView *view)
{
    return view->is_listed;
}
