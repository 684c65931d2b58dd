#include "burn.h"

#include <stdlib.h>
#include <string.h>

static const char other_service[] = "(other)";

AqBurn *
AqBurn_Create(void)
{
    AqBurn *burn = calloc(1, sizeof(*burn));
    if (burn == NULL) {
        abort();
    }
    return burn;
}

void
AqBurn_ClearCounters(AqBurnCounters *counters)
{
    for (size_t i = 0; i < counters->count; i++) {
        free(counters->series[i].cells);
    }
    free(counters->series);
    memset(counters, 0, sizeof(*counters));
}

void
AqBurn_Destroy(AqBurn *burn)
{
    if (burn == NULL) {
        return;
    }
    for (size_t i = 0; i < burn->other_count; i++) {
        AqBurn_ClearCounters(&burn->others[i]);
    }
    AqBurn_ClearCounters(&burn->own);
    free(burn->others);
    free(burn->objectives);
    free(burn);
}

void *
AqBurn_Resize(void *array, size_t count, size_t size)
{
    void *resized = realloc(array, count * size);
    if (resized == NULL) {
        abort();
    }
    return resized;
}

static void
copy_name(char name[AQ_BURN_MAX_NAME], const char *text)
{
    size_t size = strnlen(text, AQ_BURN_MAX_NAME - 1);
    memmove(name, text, size);
    name[size] = '\0';
}

void
AqBurn_SetHolder(AqBurn *burn, const char *holder)
{
    copy_name(burn->own.holder, holder);
}

AqBurnSeries *
AqBurn_FindSeries(AqBurnCounters *counters, const char *service)
{
    char name[AQ_BURN_MAX_NAME];
    copy_name(name, service);
    for (size_t i = 0; i < counters->count; i++) {
        if (strcmp(counters->series[i].service, name) == 0) {
            return &counters->series[i];
        }
    }
    /* The last of the AQ_BURN_MAX_SERVICES series is reserved for "(other)",
     * which counts the requests to services without a series. */
    bool is_other = strcmp(name, other_service) == 0;
    if (counters->count >= AQ_BURN_MAX_SERVICES - (is_other ? 0U : 1U)) {
        return NULL;
    }
    counters->series = AqBurn_Resize(counters->series, counters->count + 1,
                                     sizeof(AqBurnSeries));
    AqBurnSeries *series = &counters->series[counters->count++];
    memset(series, 0, sizeof(*series));
    copy_name(series->service, name);
    return series;
}

static void
drop_old_cells(AqBurnSeries *series, int64_t newest)
{
    size_t old = 0;
    while (old < series->count &&
           series->cells[old].minute <= newest - AQ_BURN_WINDOW_MINUTES) {
        old++;
    }
    if (old > 0) {
        series->count -= old;
        memmove(series->cells, series->cells + old,
                series->count * sizeof(AqBurnCell));
    }
}

AqBurnCell *
AqBurn_FindCell(AqBurnSeries *series, int64_t minute)
{
    size_t i = series->count;
    while (i > 0 && series->cells[i - 1].minute > minute) {
        i--;
    }
    if (i > 0 && series->cells[i - 1].minute == minute) {
        return &series->cells[i - 1];
    }
    if (i == series->count) {
        drop_old_cells(series, minute);
        i = series->count;
    }
    /* The series can be full when the wall clock was set back, because it then
     * holds cells of future minutes. */
    if (series->count == AQ_BURN_WINDOW_MINUTES) {
        size_t nearest = i > 0 ? i - 1 : 0;
        return &series->cells[nearest];
    }
    if (series->count == series->capacity) {
        series->capacity = 2 * series->capacity + 16;
        if (series->capacity > AQ_BURN_WINDOW_MINUTES) {
            series->capacity = AQ_BURN_WINDOW_MINUTES;
        }
        series->cells =
            AqBurn_Resize(series->cells, series->capacity, sizeof(AqBurnCell));
    }
    memmove(series->cells + i + 1, series->cells + i,
            (series->count - i) * sizeof(AqBurnCell));
    memset(&series->cells[i], 0, sizeof(AqBurnCell));
    series->cells[i].minute = minute;
    series->count++;
    return &series->cells[i];
}

void
AqBurn_Count(AqBurn *burn, int64_t wall_ms, const char *service,
             AqBurnKind kind)
{
    int64_t minute = wall_ms / AQ_BURN_MINUTE_MS;
    AqBurnSeries *series = AqBurn_FindSeries(&burn->own, service);
    if (series == NULL) {
        series = AqBurn_FindSeries(&burn->own, other_service);
    }
    if (series == NULL || (unsigned)kind >= AQ_BURN_KINDS) {
        return;
    }
    uint32_t *count = &AqBurn_FindCell(series, minute)->counts[kind];
    *count += *count < UINT32_MAX;
    if (burn->first_minute == 0 || minute < burn->first_minute) {
        burn->first_minute = minute;
    }
}

void
AqBurn_SetObjective(AqBurn *burn, const char *service, int per_mille)
{
    char name[AQ_BURN_MAX_NAME];
    copy_name(name, service);
    per_mille = per_mille < 1 ? 1 : per_mille;
    per_mille = per_mille > 999 ? 999 : per_mille;
    for (size_t i = 0; i < burn->objective_count; i++) {
        if (strcmp(burn->objectives[i].service, name) == 0) {
            burn->objectives[i].per_mille = per_mille;
            return;
        }
    }
    if (burn->objective_count >= AQ_BURN_MAX_SERVICES) {
        return;
    }
    burn->objectives = AqBurn_Resize(
        burn->objectives, burn->objective_count + 1, sizeof(AqBurnObjective));
    AqBurnObjective *added = &burn->objectives[burn->objective_count++];
    copy_name(added->service, name);
    added->per_mille = per_mille;
}
