#include "load_views.h"

#include <stdlib.h>
#include <string.h>

#include "store_keys.h"

enum {
    /* The view is read only if submissions to the pool come to this node at
     * shorter intervals: after a longer one it would be too old. */
    BUSY_INTERVAL_MS = 1500
};

typedef struct {
    LoadViews *views; /* borrowed */
    char pool[64];
    AqLoadView view; /* the last one that was read */
    bool has_view;   /* "view" may be used */
    bool is_reading;
    AqTime read_due;
    AqTime asked_at; /* when the view was last asked for; 0: never */
} Entry;

struct LoadViews {
    NodeContext *node;
    GHashTable *by_pool; /* pool name -> Entry */
    unsigned reads;      /* in flight */
    bool is_dropped;
};

LoadViews *
load_views_create(NodeContext *node)
{
    LoadViews *views = calloc(1, sizeof(*views));
    views->node = node;
    views->by_pool =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free);
    return views;
}

static void
free_views(LoadViews *views)
{
    g_hash_table_destroy(views->by_pool);
    free(views);
}

void
load_views_drop(LoadViews *views)
{
    views->is_dropped = true;
    if (views->reads == 0) {
        free_views(views);
    }
}

/* Takes over the view in a pool's report.  A read may reply with old data, so
 * that neither an earlier owner's view nor an older one of the same owner
 * replaces what is known. */
static void
take_report(Entry *entry, const AqStoreItem *item)
{
    AqLoadView view;
    char *text = strndup(item->value, item->size);
    bool has_view = AqLoadView_Decode(text, &view);
    free(text);
    if (!has_view || view.fence < entry->view.fence) {
        entry->has_view = false;
    }
    else if (view.fence > entry->view.fence ||
             view.made_ms > entry->view.made_ms) {
        entry->has_view = true;
        entry->view = view;
    }
}

static void
on_read(void *context, const AqStoreReply *reply)
{
    Entry *entry = context;
    LoadViews *views = entry->views;
    const char *key = key_of(KEY_REPORT, entry->pool);
    views->reads--;
    entry->is_reading = false;
    if (views->is_dropped) {
        if (views->reads == 0) {
            free_views(views);
        }
        return;
    }
    if (reply->status != AQ_STORE_OK) {
        return;
    }
    bool has_report = false;
    for (size_t i = 0; i < reply->count; i++) {
        if (strcmp(reply->items[i].key, key) == 0) {
            take_report(entry, &reply->items[i]);
            has_report = true;
        }
    }
    entry->has_view = entry->has_view && has_report;
}

static void
start_read(LoadViews *views, Entry *entry, AqTime now)
{
    AqStore *store = views->node->store;
    if (entry->is_reading || now < entry->read_due ||
        store->ops->list_after == NULL) {
        return;
    }
    entry->is_reading = true;
    entry->read_due = now + LOAD_VIEW_READ_MS;
    views->reads++;
    /* The list of one key, since a read of a key has no cheap form that may
     * be old. */
    store->ops->list_after(store, key_of(KEY_REPORT, entry->pool), "", true,
                           on_read, entry);
}

const AqLoadView *
load_views_get(LoadViews *views, const char *pool)
{
    Entry *entry = g_hash_table_lookup(views->by_pool, pool);
    if (entry == NULL) {
        entry = calloc(1, sizeof(*entry));
        entry->views = views;
        g_strlcpy(entry->pool, pool, sizeof(entry->pool));
        g_hash_table_insert(views->by_pool, entry->pool, entry);
    }
    AqTime now = AqLoop_Now(views->node->loop);
    if (entry->asked_at != 0 && now - entry->asked_at < BUSY_INTERVAL_MS) {
        start_read(views, entry, now);
    }
    entry->asked_at = now;
    return entry->has_view ? &entry->view : NULL;
}
