#ifndef PREFIX_VIEW_H
#define PREFIX_VIEW_H

#include "aq_loop.h"
#include "aq_store.h"

/* A copy of the keys under a prefix that follows the store: one listing, then
 * long watches; a new listing when the history is gone. */

typedef struct PrefixView PrefixView;

typedef struct {
    /* A key was written; "item" is borrowed for the call. */
    void (*put)(void *context, const AqStoreItem *item);
    void (*removed)(void *context, const char *key); /* NULL: not wanted */
    /* A listing is complete: the view is whole.  NULL: not wanted. */
    void (*listed)(void *context);
    /* Pause after changes before the next watch, so that it finds more of
     * them, ms.  0: each change is heard of at once. */
    AqTime coalesce_ms;
    /* A watch that the store has lost without a word is noticed after one
     * second instead of three; a quiet prefix costs two calls a second. */
    bool is_prompt;
} PrefixViewOps;

/* "loop" and "store" are borrowed.  No call comes from inside. */
PrefixView *prefix_view_create(AqLoop *loop, AqStore *store,
                               const char *prefix, const PrefixViewOps *ops,
                               void *context);
/* Safe from a callback of the view. */
void prefix_view_destroy(PrefixView *view);

/* When the store last answered; AQ_TIME_NEVER: not yet. */
AqTime prefix_view_last_reply_at(const PrefixView *view);
bool prefix_view_is_listed(const PrefixView *view);

#endif
