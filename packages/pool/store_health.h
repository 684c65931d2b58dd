#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include <glib.h>
#include <stdbool.h>

#include "aq_clock.h"
#include "aq_store.h"
#include "retry_after.h"

/* Tracks whether the store serves this node, from the results of this node's
 * calls to the store.  A write that is not sent to a failing store is certain
 * to have no effect, unlike a write that got no reply. */

typedef struct {
    /* Number of this node's store calls that have failed since the last one
     * that succeeded. */
    unsigned failures;
    /* When the first of these calls ended. */
    AqTime failing_since;
    /* Hashes of the callers that were refused since then; NULL: none.  Once it
     * holds MAX_REFUSED_CALLERS of them, no more are added. */
    GHashTable *refused;
    OutageHistory outages; /* earlier ones of this process */
} StoreHealth;

/* Records the result of a store call that ended at "now".  Not for watches,
 * whose connection may be cut although the store is serving. */
void store_health_note(StoreHealth *health, AqStoreStatus status, AqTime now);
/* Returns whether the last two or more store calls of this node have
 * failed. */
bool store_health_is_lost(const StoreHealth *health);
void store_health_clear(StoreHealth *health);
/* Returns the value of the Retry-After header, in s, for a caller that is
 * refused at "now", and remembers that caller until the store serves this node
 * again.  "caller" is a hash of what its retries have in common. */
int store_health_retry_after_s(StoreHealth *health, AqTime now,
                               uint64_t caller);

#endif
