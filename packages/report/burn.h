#ifndef AQ_BURN_INTERNAL_H
#define AQ_BURN_INTERNAL_H

#include <stddef.h>

#include "aq_burn.h"

enum {
    AQ_BURN_MINUTE_MS = 60 * 1000,
    AQ_BURN_HOUR_MINUTES = 60,
    AQ_BURN_WINDOW_MINUTES = 24 * 60,
    AQ_BURN_DEFAULT_OBJECTIVE_PERMILLE = 999
};

/* One service's request counts of one minute or, in counters decoded from
 * JSON, of one hour; those of an hour are stored under the first minute in it
 * that had requests. */
typedef struct {
    int64_t minute; /* minute of the requests, counted from the Unix epoch */
    uint32_t counts[AQ_BURN_KINDS];
} AqBurnCell;

typedef struct {
    char service[AQ_BURN_MAX_NAME];
    /* Owned array of the service's request counts, by ascending minute; at
     * most AQ_BURN_WINDOW_MINUTES cells. */
    AqBurnCell *cells;
    size_t count;
    size_t capacity;
} AqBurnSeries;

/* Request counters of one entry VM, with a series for each service. */
typedef struct {
    char holder[AQ_BURN_MAX_NAME];
    /* Unix time when the entry VM encoded the counters; 0 for this entry VM's
     * own counters. */
    int64_t encoded_at_ms;
    AqBurnSeries *series;
    size_t count;
} AqBurnCounters;

typedef struct {
    char service[AQ_BURN_MAX_NAME];
    int per_mille;
} AqBurnObjective;

struct AqBurn {
    AqBurnCounters own;
    /* Whether counts from before a restart of the process were merged into
     * "own". */
    bool is_restored;
    /* Earliest minute in which this process counted a request, in minutes
     * since the Unix epoch; 0 before any request. */
    int64_t first_minute;
    /* Owned array of the counters of other entry VMs. */
    AqBurnCounters *others;
    size_t other_count;
    /* Owned array of the objectives of services. */
    AqBurnObjective *objectives;
    size_t objective_count;
};

/* Returns the series of a service in the counters, which is added when
 * missing; NULL when the counters have no room for a further service. */
AqBurnSeries *AqBurn_FindSeries(AqBurnCounters *counters, const char *service);
/* Returns the cell of a minute (since the Unix epoch) in the series, which is
 * added when missing.  Adding a minute after all others drops the cells that
 * are 24 h or more older.  When the series is full, returns the cell of an
 * adjacent minute instead. */
AqBurnCell *AqBurn_FindCell(AqBurnSeries *series, int64_t minute);
void AqBurn_ClearCounters(AqBurnCounters *counters);

/* Reallocates an array to "count" items of "size" bytes; aborts the process
 * when memory runs out. */
void *AqBurn_Resize(void *array, size_t count, size_t size);

#endif
