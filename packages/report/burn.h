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

/* Request counts of one minute or, in decoded counters, of one hour; those of
 * an hour are stored under the first minute in it that had requests. */
typedef struct {
    int64_t minute; /* minutes since the Unix epoch */
    uint32_t counts[AQ_BURN_KINDS];
} AqBurnCell;

typedef struct {
    char service[AQ_BURN_MAX_NAME];
    /* Owned array of cells, by ascending minute; at most
     * AQ_BURN_WINDOW_MINUTES cells. */
    AqBurnCell *cells;
    size_t count;
    size_t capacity;
} AqBurnSeries;

/* Request counters of one entry VM, with a series for each service. */
typedef struct {
    char holder[AQ_BURN_MAX_NAME];
    int64_t encoded_at_ms; /* Unix time of the encoding; 0 for own counters */
    AqBurnSeries *series;
    size_t count;
} AqBurnCounters;

typedef struct {
    char service[AQ_BURN_MAX_NAME];
    int per_mille;
} AqBurnObjective;

struct AqBurn {
    AqBurnCounters own;
    bool is_restored; /* own counters were read back after a restart */
    /* First minute with a request counted by this process, in minutes since
     * the Unix epoch; 0 before any request. */
    int64_t first_minute;
    AqBurnCounters *others; /* owned; counters of other entry VMs */
    size_t other_count;
    AqBurnObjective *objectives; /* owned; objectives of services */
    size_t objective_count;
};

/* Returns the series of a service, which is added when missing; NULL when the
 * counters have too many services already. */
AqBurnSeries *AqBurn_FindSeries(AqBurnCounters *counters, const char *service);
/* Returns the cell of a minute, which is added when missing.  Adding a
 * minute after all others drops the cells that are 24 h or more older.  When
 * the series is full, returns the cell of an adjacent minute instead. */
AqBurnCell *AqBurn_FindCell(AqBurnSeries *series, int64_t minute);
void AqBurn_ClearCounters(AqBurnCounters *counters);

/* Reallocates an array to "count" items of "size" bytes; aborts the process
 * when memory runs out. */
void *AqBurn_Resize(void *array, size_t count, size_t size);

#endif
