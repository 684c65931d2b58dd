#ifndef STORE_HEALTH_H
#define STORE_HEALTH_H

#include <stdbool.h>

#include "aq_store.h"

/* Whether the store serves this node, by the outcomes of its calls.  A write
 * that is not sent to a lost store is certain to have no effect, which one
 * without an answer is not. */

typedef struct {
    unsigned failures; /* calls in a row that were not served */
} StoreHealth;

/* The outcome of any call but a watch, which is cut now and then. */
void store_health_note(StoreHealth *health, AqStoreStatus status);
bool store_health_is_lost(const StoreHealth *health);

#endif
