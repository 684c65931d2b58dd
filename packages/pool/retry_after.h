#ifndef RETRY_AFTER_H
#define RETRY_AFTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"

/* Decides when callers that are refused while the store is away (does not
 * serve this node) may come back.
 *
 * A caller has a few retries, and its answer has most value within a second or
 * two.  A fixed short wait spends all retries within an outage of some
 * seconds; a long one makes callers late after a short outage.  An outage of
 * unknown length is as likely to go on for as long as it has lasted as to end
 * before, so the long wait is the time that the store has been away, or less
 * if the outages that this process has seen tell more.  A caller that was
 * refused here before in this outage waits that long.  Of the others, which
 * may come for the first time or from another node, half come back soon and
 * half after the long wait.  The waits are spread, so that the refused callers
 * do not come back at the same moment. */

enum {
    /* Number of the last outages of this process that are remembered. */
    OUTAGE_HISTORY_SIZE = 8
};

typedef struct {
    AqTime lengths_ms[OUTAGE_HISTORY_SIZE];
    size_t count; /* of all outages, also those no longer remembered */
} OutageHistory;

/* Records an outage that has ended. */
void outage_history_add(OutageHistory *history, AqTime length_ms);

/* A caller that is refused. */
typedef struct {
    AqTime away_ms;    /* since when the store has been away */
    unsigned refused;  /* callers that were refused in this outage */
    bool is_returning; /* refused here before in this outage */
    uint64_t hash;     /* spreads the callers; differs between their retries */
} RefusedCaller;

/* Returns the value of the Retry-After header, in s, at least 1. */
int retry_after_s(const OutageHistory *history, const RefusedCaller *caller);

#endif
