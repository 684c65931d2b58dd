#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include <stdbool.h>

#include "aq_store.h"

/* Tracks whether the store serves this node, from the results of this node's
 * calls to the store.  A write that is not sent to a failing store is certain
 * to have no effect, unlike a write that got no reply. */

typedef struct {
    /* Number of this node's store calls that have failed since the last one
     * that succeeded. */
    unsigned failures;
} StoreHealth;

/* Records the result of a store call.  Not for watches, whose connection may
 * be cut although the store is serving. */
void store_health_note(StoreHealth *health, AqStoreStatus status);
/* Returns whether the last two or more store calls of this node have
 * failed. */
bool store_health_is_lost(const StoreHealth *health);

#endif
