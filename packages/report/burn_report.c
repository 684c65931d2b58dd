#include <stdlib.h>
#include <string.h>

#include "burn.h"

enum {
    SHORT_WINDOW_MINUTES = 5,
    HOUR_COUNT = 24,
    SERVICES_MAX = AQ_BURN_MAX_SERVICES
};

typedef struct {
    uint64_t all;
    uint64_t missed;
} Tally;

typedef struct {
    uint64_t counts[AQ_BURN_KINDS];
    Tally day;
    Tally hour;
    Tally short_window;
    Tally hourly[HOUR_COUNT];
} Totals;

static void
add_to_tally(Tally *sum, const AqBurnCell *cell)
{
    for (int kind = 0; kind < AQ_BURN_KINDS; kind++) {
        sum->all += cell->counts[kind];
        sum->missed += kind != AQ_BURN_ON_TIME ? cell->counts[kind] : 0;
    }
}

static void
add_series(Totals *totals, const AqBurnSeries *series, int64_t now)
{
    for (size_t i = 0; i < series->count; i++) {
        const AqBurnCell *cell = &series->cells[i];
        int64_t age = now - cell->minute;
        if (age < 0 || age >= AQ_BURN_WINDOW_MINUTES) {
            continue;
        }
        for (int kind = 0; kind < AQ_BURN_KINDS; kind++) {
            totals->counts[kind] += cell->counts[kind];
        }
        add_to_tally(&totals->day, cell);
        add_to_tally(
            &totals->hourly[HOUR_COUNT - 1 - age / AQ_BURN_HOUR_MINUTES],
            cell);
        if (age < AQ_BURN_HOUR_MINUTES) {
            add_to_tally(&totals->hour, cell);
        }
        if (age < SHORT_WINDOW_MINUTES) {
            add_to_tally(&totals->short_window, cell);
        }
    }
}

static void
add_counters(Totals *totals, const AqBurnCounters *counters,
             const char *service, int64_t now)
{
    for (size_t i = 0; i < counters->count; i++) {
        if (strcmp(counters->series[i].service, service) == 0) {
            add_series(totals, &counters->series[i], now);
        }
    }
}

static int
objective_of(const AqBurn *burn, const char *service)
{
    for (size_t i = 0; i < burn->objective_count; i++) {
        if (strcmp(burn->objectives[i].service, service) == 0) {
            return burn->objectives[i].per_mille;
        }
    }
    return AQ_BURN_DEFAULT_OBJECTIVE_PERMILLE;
}

/* Returns the burn rate: the share of the requests in "sum" that were not on
 * time, divided by the share that the objective allows not to be on time; 0
 * without requests.  "objective" is the share that must be on time, in per
 * mille. */
static double
burn_rate(const Tally *sum, int objective)
{
    if (sum->all == 0) {
        return 0;
    }
    double missed = (double)sum->missed / (double)sum->all;
    return missed / ((1000 - objective) / 1000.0);
}

static json_t *
exhausted_at(double left, double rate, int64_t wall_ms)
{
    const double window_ms =
        (double)AQ_BURN_WINDOW_MINUTES * (double)AQ_BURN_MINUTE_MS;
    if (left <= 0) {
        return json_integer(wall_ms);
    }
    if (rate <= 1) {
        return json_null();
    }
    return json_integer(wall_ms + (int64_t)(left * window_ms / rate));
}

static json_t *
encode_hourly(const Totals *totals)
{
    json_t *array = json_array();
    for (int i = 0; i < HOUR_COUNT; i++) {
        json_array_append_new(
            array, json_pack("[I, I]", (json_int_t)totals->hourly[i].all,
                             (json_int_t)totals->hourly[i].missed));
    }
    return array;
}

static json_t *
report_service(const AqBurn *burn, const char *service, int64_t wall_ms)
{
    static const char *const kinds[AQ_BURN_KINDS] = {
        "on_time", "late", "overload", "failure", "drain"};
    int64_t now = wall_ms / AQ_BURN_MINUTE_MS;
    int objective = objective_of(burn, service);
    Totals totals;
    memset(&totals, 0, sizeof(totals));
    add_counters(&totals, &burn->own, service, now);
    for (size_t i = 0; i < burn->other_count; i++) {
        add_counters(&totals, &burn->others[i], service, now);
    }
    double left = 1 - burn_rate(&totals.day, objective);
    double rate = burn_rate(&totals.hour, objective);
    json_t *object = json_object();
    json_object_set_new(object, "service", json_string(service));
    json_object_set_new(object, "objective", json_integer(objective));
    for (int kind = 0; kind < AQ_BURN_KINDS; kind++) {
        json_object_set_new(object, kinds[kind],
                            json_integer((json_int_t)totals.counts[kind]));
    }
    json_object_set_new(object, "burn_5m",
                        json_real(burn_rate(&totals.short_window, objective)));
    json_object_set_new(object, "burn_1h", json_real(rate));
    json_object_set_new(object, "budget_left", json_real(left));
    json_object_set_new(object, "exhausted_at",
                        exhausted_at(left, rate, wall_ms));
    json_object_set_new(object, "hourly", encode_hourly(&totals));
    return object;
}

static int
compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Adds the name of a service to the array unless the array contains the name
 * or has SERVICES_MAX names.  Returns the new number of names in the array. */
static size_t
add_name(const char **names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return count;
        }
    }
    if (count < SERVICES_MAX) {
        names[count++] = name;
    }
    return count;
}

/* Fills "names" with the sorted names of the services that have counters or an
 * objective, and returns the number of names.  "burn" owns the names. */
static size_t
list_services(const AqBurn *burn, const char **names)
{
    size_t count = 0;
    for (size_t i = 0; i < burn->objective_count; i++) {
        count = add_name(names, count, burn->objectives[i].service);
    }
    for (size_t i = 0; i <= burn->other_count; i++) {
        const AqBurnCounters *counters =
            i < burn->other_count ? &burn->others[i] : &burn->own;
        for (size_t j = 0; j < counters->count; j++) {
            count = add_name(names, count, counters->series[j].service);
        }
    }
    qsort(names, count, sizeof(names[0]), compare_names);
    return count;
}

json_t *
AqBurn_Report(const AqBurn *burn, int64_t wall_ms)
{
    const char *names[SERVICES_MAX];
    size_t count = list_services(burn, names);
    json_t *services = json_array();
    for (size_t i = 0; i < count; i++) {
        json_array_append_new(services,
                              report_service(burn, names[i], wall_ms));
    }
    json_t *report = json_object();
    json_object_set_new(report, "at", json_integer(wall_ms));
    json_object_set_new(report, "holders",
                        json_integer((json_int_t)burn->other_count + 1));
    json_object_set_new(report, "services", services);
    return report;
}
