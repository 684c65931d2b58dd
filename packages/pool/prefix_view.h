#ifndef PREFIX_VIEW_H
#define PREFIX_VIEW_H

#include "aq_loop.h"
#include "aq_store.h"

/* Follows the keys under a prefix of the store: lists them once, then
 * watches for changes with long polls, and lists them again when the store
 * has discarded the history since the last change seen. */

typedef struct PrefixView PrefixView;

typedef struct {
    /* A key was written; "item" is borrowed for the call.  Not called twice
     * for the same write. */
    void (*put)(void *context, const AqStoreItem *item);
    void (*removed)(void *context, const char *key); /* may be NULL */
    /* A listing is complete: all keys have been reported.  May be NULL. */
    void (*listed)(void *context);
    /* Delay in ms from a change to the next watch, which then returns
     * several changes at once.  0: each change is reported at once. */
    AqTime coalesce_ms;
    /* Detects after 1 s instead of 3 s that the store has dropped a watch
     * silently; costs two calls a second while the prefix is unchanged. */
    bool is_prompt;
} PrefixViewOps;

/* "loop" and "store" are borrowed.  Callbacks are called from the event
 * loop only, not from inside this call. */
PrefixView *prefix_view_create(AqLoop *loop, AqStore *store,
                               const char *prefix, const PrefixViewOps *ops,
                               void *context);
/* Safe to call from a callback of the view.  NULL is allowed. */
void prefix_view_destroy(PrefixView *view);

/* Returns the loop time of the last successful reply; AQ_TIME_NEVER if
 * there was none. */
AqTime prefix_view_last_reply_at(const PrefixView *view);
/* Returns whether the last listing is complete and still being followed. */
bool prefix_view_is_listed(const PrefixView *view);

#endif
