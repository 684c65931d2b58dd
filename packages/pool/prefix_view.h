#ifndef PREFIX_VIEW_H
#define PREFIX_VIEW_H

#include "aq_loop.h"
#include "aq_store.h"

/* Follows the keys under a prefix of the store: lists the keys once, then
 * watches them for changes with long polls, and lists them again when the
 * store has discarded the history since the last change seen. */

typedef struct PrefixView PrefixView;

typedef struct {
    /* A key was written; "item" is borrowed for the call.  Not called twice
     * for the same write. */
    void (*put)(void *context, const AqStoreItem *item);
    /* A key was removed.  May be NULL. */
    void (*removed)(void *context, const char *key);
    /* A listing is complete: all keys under the prefix have been reported.
     * May be NULL. */
    void (*listed)(void *context);
    /* Delay in ms from the report of a change to the next watch, which then
     * returns several changes at once.  0: each change is reported at once. */
    AqTime coalesce_ms;
    /* Detects after 1 s instead of 3 s that the store has dropped a watch
     * without an error; costs two calls a second while no key under the prefix
     * changes. */
    bool is_prompt;
} PrefixViewOps;

/* "loop" and "store" are borrowed.  Callbacks are called from the event
 * loop only, not from inside this call. */
PrefixView *prefix_view_create(AqLoop *loop, AqStore *store,
                               const char *prefix, const PrefixViewOps *ops,
                               void *context);
/* May be called from a callback of the view.  "view" may be NULL. */
void prefix_view_destroy(PrefixView *view);

/* Returns the loop time of the store's last successful reply to the view;
 * AQ_TIME_NEVER if there was none. */
AqTime prefix_view_last_reply_at(const PrefixView *view);
/* Returns the loop time at which the last call was sent to which the store has
 * replied: the view holds all changes of before; 0: not known. */
AqTime prefix_view_confirmed_at(const PrefixView *view);
/* Asks the store at once for changes, beside the watch under way; no effect
 * while a listing is. */
void prefix_view_refresh(PrefixView *view);
/* Returns whether all keys under the prefix have been listed and all changes
 * since can still be watched. */
bool prefix_view_is_listed(const PrefixView *view);

#endif
