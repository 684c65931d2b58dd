#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "burn.h"

/* Geometry of the SVG plot of a report; positions and sizes are in pixels. */
enum {
    ROW_HEIGHT = 34,
    ROWS_Y = 56,
    NAME_X = 12,
    BAR_X = 180,
    BAR_WIDTH = 160,
    HOURLY_X = 420,
    HOUR_WIDTH = 12,
    HOUR_COUNT = 24,
    TEXT_X = 730,
    WIDTH = 960,
    BAR_HEIGHT = 20,
    /* Burn rate of an hour at and above which the plot's bar for the hour has
     * its full height. */
    FULL_BAR_BURN_RATE = 10
};

/* The fields of one service in a report; strings and JSON values are owned by
 * the report. */
typedef struct {
    const char *service;
    int objective;
    json_int_t on_time, late, overload, failure, drain;
    double burn_5m, burn_1h, budget_left;
    const json_t *exhausted_at;
    const json_t *hourly;
} Row;

static bool
read_row(json_t *object, Row *row)
{
    json_t *exhausted = NULL;
    json_t *hourly = NULL;
    if (json_unpack(object,
                    "{s:s, s:i, s:I, s:I, s:I, s:I, s:I, s:F, s:F, s:F, s:o,"
                    " s:o}",
                    "service", &row->service, "objective", &row->objective,
                    "on_time", &row->on_time, "late", &row->late, "overload",
                    &row->overload, "failure", &row->failure, "drain",
                    &row->drain, "burn_5m", &row->burn_5m, "burn_1h",
                    &row->burn_1h, "budget_left", &row->budget_left,
                    "exhausted_at", &exhausted, "hourly", &hourly) != 0) {
        return false;
    }
    row->exhausted_at = exhausted;
    row->hourly = hourly;
    return row->objective >= 1 && row->objective <= 999 &&
           (json_is_null(exhausted) || json_is_integer(exhausted)) &&
           json_array_size(hourly) == HOUR_COUNT;
}

/* Returns the list of services, owned by the report, and sets *at to the time
 * of the report (Unix ms).  Returns NULL with AQ_ERR_INVALID when "report" has
 * no valid time or list of services. */
static const json_t *
read_report(const json_t *report, json_int_t *at, AqError *error)
{
    const json_t *services = json_object_get(report, "services");
    const json_t *time = json_object_get(report, "at");
    if (!json_is_array(services) || !json_is_integer(time)) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "the burn report lacks \"at\" or \"services\"; pass the "
                    "result of AqBurn_Report");
        return NULL;
    }
    *at = json_integer_value(time);
    return services;
}

static bool
set_row_error(size_t i, AqError *error)
{
    return AqError_Set(error, AQ_ERR_INVALID,
                       "service %zu of the burn report is incomplete; pass "
                       "the result of AqBurn_Report",
                       i + 1);
}

/* Writes "value", a Unix time in ms, to "text" in UTC, or "-" when "value" is
 * null. */
static void
format_time(const json_t *value, char text[32])
{
    time_t seconds = (time_t)(json_integer_value(value) / 1000);
    struct tm parts;
    if (!json_is_integer(value) || gmtime_r(&seconds, &parts) == NULL ||
        strftime(text, 32, "%Y-%m-%dT%H:%MZ", &parts) == 0) {
        snprintf(text, 32, "-");
    }
}

static void
write_table_row(const Row *row, AqBuffer *out)
{
    char when[32];
    format_time(row->exhausted_at, when);
    AqBuffer_Printf(out,
                    "%-20s %8.1f%% %10lld %8lld %8lld %8lld %8lld %8.2f "
                    "%8.2f %8.1f%%  %s\n",
                    row->service, row->objective / 10.0,
                    (long long)row->on_time, (long long)row->late,
                    (long long)row->overload, (long long)row->failure,
                    (long long)row->drain, row->burn_5m, row->burn_1h,
                    100 * row->budget_left, when);
}

bool
AqBurn_WriteTable(const json_t *report, AqBuffer *out, AqError *error)
{
    json_int_t at;
    AqBuffer text;
    const json_t *services = read_report(report, &at, error);
    if (services == NULL) {
        return false;
    }
    AqBuffer_Init(&text);
    AqBuffer_Printf(&text, "%-20s %9s %10s %8s %8s %8s %8s %8s %8s %9s  %s\n",
                    "service", "objective", "on time", "late", "overload",
                    "failure", "drain", "burn 5m", "burn 1h", "left",
                    "exhausted at");
    for (size_t i = 0; i < json_array_size(services); i++) {
        Row row;
        if (!read_row(json_array_get(services, i), &row)) {
            AqBuffer_Clear(&text);
            return set_row_error(i, error);
        }
        write_table_row(&row, &text);
    }
    AqBuffer_Append(out, text.bytes, text.size);
    AqBuffer_Clear(&text);
    return true;
}

/* Appends text as the content of an XML element.  Control characters, which
 * XML 1.0 does not allow, are replaced by question marks. */
static void
write_escaped(AqBuffer *out, const char *text)
{
    for (; *text != '\0'; text++) {
        switch (*text) {
        case '&':
            AqBuffer_AppendText(out, "&amp;");
            break;
        case '<':
            AqBuffer_AppendText(out, "&lt;");
            break;
        case '>':
            AqBuffer_AppendText(out, "&gt;");
            break;
        default:
            AqBuffer_Append(out, (unsigned char)*text < 0x20 ? "?" : text, 1);
        }
    }
}

static void
write_text(AqBuffer *out, int x, int y, const char *text)
{
    AqBuffer_Printf(out, "<text x=\"%d\" y=\"%d\">", x, y);
    write_escaped(out, text);
    AqBuffer_AppendText(out, "</text>\n");
}

static void
write_rect(AqBuffer *out, double x, double y, double width, double height,
           const char *fill)
{
    AqBuffer_Printf(out,
                    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
                    "height=\"%.1f\" fill=\"%s\"/>\n",
                    x, y, width, height, fill);
}

/* Returns the fill colour of the bar for an hour's burn rate: green up to 1,
 * the rate that the budget allows, red from 10, yellow between. */
static const char *
burn_rate_colour(double rate)
{
    if (rate <= 1) {
        return "#2e7d32";
    }
    return rate < FULL_BAR_BURN_RATE ? "#f9a825" : "#c62828";
}

static void
write_hours(const Row *row, int y, AqBuffer *out)
{
    for (int i = 0; i < HOUR_COUNT; i++) {
        const json_t *hour = json_array_get(row->hourly, (size_t)i);
        double all = json_number_value(json_array_get(hour, 0));
        double missed = json_number_value(json_array_get(hour, 1));
        if (!(all > 0) || !(missed > 0)) {
            continue;
        }
        double rate = missed / all / ((1000 - row->objective) / 1000.0);
        double height = fmin(rate / FULL_BAR_BURN_RATE, 1) * BAR_HEIGHT;
        height = fmax(height, 1);
        write_rect(out, HOURLY_X + i * HOUR_WIDTH, y + BAR_HEIGHT - height,
                   HOUR_WIDTH - 2, height, burn_rate_colour(rate));
    }
}

static void
write_plot_row(const Row *row, int y, AqBuffer *out)
{
    char text[96];
    char when[32];
    double left = fmax(0, fmin(1, row->budget_left));
    write_text(out, NAME_X, y + 15, row->service);
    write_rect(out, BAR_X, y, BAR_WIDTH, BAR_HEIGHT, "#e0e0e0");
    write_rect(out, BAR_X, y, left * BAR_WIDTH, BAR_HEIGHT,
               left > 0.25 ? "#2e7d32" : "#c62828");
    snprintf(text, sizeof(text), "%.0f%%", 100 * row->budget_left);
    write_text(out, BAR_X + BAR_WIDTH + 8, y + 15, text);
    write_hours(row, y, out);
    format_time(row->exhausted_at, when);
    snprintf(text, sizeof(text), "%.2f / %.2f, %s", row->burn_5m, row->burn_1h,
             when);
    write_text(out, TEXT_X, y + 15, text);
}

static void
write_plot_head(json_int_t at, int height, AqBuffer *out)
{
    char when[32];
    char title[64];
    json_t *time = json_integer(at);
    format_time(time, when);
    json_decref(time);
    AqBuffer_Printf(out,
                    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                    "height=\"%d\" font-family=\"sans-serif\" "
                    "font-size=\"12\">\n",
                    WIDTH, height);
    write_rect(out, 0, 0, WIDTH, height, "#ffffff");
    snprintf(title, sizeof(title), "Service-level burn at %s", when);
    write_text(out, NAME_X, 20, title);
    write_text(out, NAME_X, 44, "service");
    write_text(out, BAR_X, 44, "budget left of 24 h");
    write_text(out, HOURLY_X, 44, "burn rate per hour, 24 h (full bar: 10)");
    write_text(out, TEXT_X, 44, "burn 5 min / 1 h, exhausted at");
}

bool
AqBurn_WriteSvg(const json_t *report, AqBuffer *out, AqError *error)
{
    json_int_t at;
    AqBuffer text;
    const json_t *services = read_report(report, &at, error);
    if (services == NULL) {
        return false;
    }
    size_t count = json_array_size(services);
    AqBuffer_Init(&text);
    write_plot_head(at, ROWS_Y + (int)count * ROW_HEIGHT + 8, &text);
    for (size_t i = 0; i < count; i++) {
        Row row;
        if (!read_row(json_array_get(services, i), &row)) {
            AqBuffer_Clear(&text);
            return set_row_error(i, error);
        }
        write_plot_row(&row, ROWS_Y + (int)i * ROW_HEIGHT, &text);
    }
    AqBuffer_AppendText(&text, "</svg>\n");
    AqBuffer_Append(out, text.bytes, text.size);
    AqBuffer_Clear(&text);
    return true;
}
