#include "burn.h"

#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

enum {
    /* At least the minutes of the longest period for which a report gives a
     * burn rate (1 h) are encoded one by one.  Older minutes are summed per
     * hour, so that the counters of 53 services take about 120 KB rather than
     * 1.5 MB; a message frame between entry VMs holds at most 256 KB, a store
     * value 1 MB. */
    DETAILED_MINUTES = AQ_BURN_HOUR_MINUTES,
    CELL_FIELDS = 1 + AQ_BURN_KINDS
};

static json_t *
encode_cell(const AqBurnCell *cell)
{
    json_t *array = json_array();
    json_array_append_new(array, json_integer(cell->minute));
    for (int kind = 0; kind < AQ_BURN_KINDS; kind++) {
        json_array_append_new(array, json_integer(cell->counts[kind]));
    }
    return array;
}

static void
add_counts(AqBurnCell *sum, const AqBurnCell *cell)
{
    for (int kind = 0; kind < AQ_BURN_KINDS; kind++) {
        uint32_t headroom = UINT32_MAX - sum->counts[kind];
        uint32_t count = cell->counts[kind];
        sum->counts[kind] += count < headroom ? count : headroom;
    }
}

static json_t *
encode_series(const AqBurnSeries *series, int64_t now)
{
    json_t *array = json_array();
    int64_t detailed =
        (now - DETAILED_MINUTES) / AQ_BURN_HOUR_MINUTES * AQ_BURN_HOUR_MINUTES;
    size_t i = 0;
    while (i < series->count) {
        AqBurnCell sum = series->cells[i++];
        if (sum.minute <= now - AQ_BURN_WINDOW_MINUTES || sum.minute > now) {
            continue;
        }
        if (sum.minute < detailed) {
            int64_t hour = sum.minute / AQ_BURN_HOUR_MINUTES;
            while (i < series->count &&
                   series->cells[i].minute / AQ_BURN_HOUR_MINUTES == hour) {
                add_counts(&sum, &series->cells[i++]);
            }
        }
        json_array_append_new(array, encode_cell(&sum));
    }
    return array;
}

json_t *
AqBurn_Encode(const AqBurn *burn, int64_t wall_ms)
{
    int64_t now = wall_ms / AQ_BURN_MINUTE_MS;
    json_t *services = json_object();
    for (size_t i = 0; i < burn->own.count; i++) {
        const AqBurnSeries *series = &burn->own.series[i];
        json_t *cells = encode_series(series, now);
        if (json_array_size(cells) > 0) {
            json_object_set_new(services, series->service, cells);
        }
        else {
            json_decref(cells);
        }
    }
    json_t *object = json_object();
    json_object_set_new(object, "holder", json_string(burn->own.holder));
    json_object_set_new(object, "at", json_integer(wall_ms));
    json_object_set_new(object, "services", services);
    return object;
}

static bool
read_integer(const json_t *array, size_t index, int64_t low, int64_t high,
             int64_t *value)
{
    const json_t *item = json_array_get(array, index);
    if (!json_is_integer(item)) {
        return false;
    }
    *value = json_integer_value(item);
    return *value >= low && *value <= high;
}

static bool
read_cell(const json_t *array, AqBurnSeries *series, int64_t last)
{
    int64_t previous =
        series->count > 0 ? series->cells[series->count - 1].minute : 0;
    int64_t minute, count;
    if (json_array_size(array) != CELL_FIELDS ||
        !read_integer(array, 0, previous + 1, last, &minute) ||
        minute <= last - AQ_BURN_WINDOW_MINUTES) {
        return false;
    }
    AqBurnCell *cell = AqBurn_FindCell(series, minute);
    for (size_t kind = 0; kind < AQ_BURN_KINDS; kind++) {
        if (!read_integer(array, kind + 1, 0, UINT32_MAX, &count)) {
            return false;
        }
        cell->counts[kind] = (uint32_t)count;
    }
    return true;
}

static bool
read_series(const char *name, const json_t *cells, AqBurnCounters *counters,
            AqError *error)
{
    AqBurnSeries *series = NULL;
    size_t size = json_array_size(cells);
    if (name[0] == '\0' || strlen(name) >= AQ_BURN_MAX_NAME ||
        !json_is_array(cells) || size > AQ_BURN_WINDOW_MINUTES) {
        goto error;
    }
    series = AqBurn_FindSeries(counters, name);
    if (series == NULL) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "burn counters of \"%s\" name more than %d "
                           "services; remove unused services",
                           counters->holder, AQ_BURN_MAX_SERVICES);
    }
    for (size_t i = 0; i < size; i++) {
        if (!read_cell(json_array_get(cells, i), series,
                       counters->encoded_at_ms / AQ_BURN_MINUTE_MS)) {
            goto error;
        }
    }
    return true;

error:
    return AqError_Set(error, AQ_ERR_INVALID,
                       "burn counters of \"%s\": service \"%.64s\" is not a "
                       "list of [minute, 5 counts] by ascending minute "
                       "within 24 h; send the output of AqBurn_Encode",
                       counters->holder, name);
}

static bool
read_counters(const json_t *object, AqBurnCounters *counters, AqError *error)
{
    static const char *const fields[] = {"holder", "at", "services", NULL};
    const char *holder, *name;
    json_t *services = json_object_get(object, "services");
    json_t *cells;
    if (!AqJson_GetString(object, "holder", &holder, error) ||
        !AqJson_GetInt(object, "at", 1, INT64_MAX, &counters->encoded_at_ms,
                       error) ||
        !AqJson_CheckFields(object, fields, error)) {
        return false;
    }
    if (holder[0] == '\0' || strlen(holder) >= AQ_BURN_MAX_NAME ||
        !json_is_object(services)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "burn counters need a \"holder\" of 1 to %d bytes "
                           "and an object \"services\"; call "
                           "AqBurn_SetHolder before AqBurn_Encode",
                           AQ_BURN_MAX_NAME - 1);
    }
    memcpy(counters->holder, holder, strlen(holder) + 1);
    json_object_foreach(services, name, cells)
    {
        if (!read_series(name, cells, counters, error)) {
            return false;
        }
    }
    return true;
}

/* Copies the counts of minutes before the first minute counted by this process
 * from "copy", this entry VM's counters from before a restart, into burn->own.
 * Does nothing after the first call. */
static void
restore_own(AqBurn *burn, const AqBurnCounters *copy)
{
    for (size_t i = 0; i < copy->count && !burn->is_restored; i++) {
        const AqBurnSeries *from = &copy->series[i];
        AqBurnSeries *to = AqBurn_FindSeries(&burn->own, from->service);
        for (size_t j = 0; to != NULL && j < from->count; j++) {
            const AqBurnCell *cell = &from->cells[j];
            if (burn->first_minute == 0 || cell->minute < burn->first_minute) {
                *AqBurn_FindCell(to, cell->minute) = *cell;
            }
        }
    }
    burn->is_restored = true;
}

/* Returns the entry of burn->others for the counters of "holder", the name of
 * another entry VM: the entry that has these counters, a new one or, when
 * there are AQ_BURN_MAX_HOLDERS entries, the one with the oldest counters,
 * cleared. */
static AqBurnCounters *
find_other_counters(AqBurn *burn, const char *holder)
{
    AqBurnCounters *oldest = NULL;
    for (size_t i = 0; i < burn->other_count; i++) {
        AqBurnCounters *other = &burn->others[i];
        if (strcmp(other->holder, holder) == 0) {
            return other;
        }
        oldest = oldest == NULL || other->encoded_at_ms < oldest->encoded_at_ms
                     ? other
                     : oldest;
    }
    if (burn->other_count == AQ_BURN_MAX_HOLDERS) {
        AqBurn_ClearCounters(oldest);
        return oldest;
    }
    burn->others = AqBurn_Resize(burn->others, burn->other_count + 1,
                                 sizeof(AqBurnCounters));
    AqBurnCounters *added = &burn->others[burn->other_count++];
    memset(added, 0, sizeof(*added));
    return added;
}

bool
AqBurn_Merge(AqBurn *burn, const json_t *counters, AqError *error)
{
    AqBurnCounters copy = {0};
    if (!read_counters(counters, &copy, error)) {
        AqBurn_ClearCounters(&copy);
        return false;
    }
    if (strcmp(copy.holder, burn->own.holder) == 0) {
        restore_own(burn, &copy);
        AqBurn_ClearCounters(&copy);
        return true;
    }
    AqBurnCounters *held = find_other_counters(burn, copy.holder);
    if (copy.encoded_at_ms < held->encoded_at_ms) {
        AqBurn_ClearCounters(&copy);
        return true;
    }
    AqBurn_ClearCounters(held);
    *held = copy;
    return true;
}
