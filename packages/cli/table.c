#include "table.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "aq_buffer.h"
#include "aq_json.h"

enum {
    MAX_COLUMNS = 32,
    MAX_COLUMN_WIDTH = 48
};

/* Fields of a record that are shown in the first columns of a table, in this
 * order; other fields follow in their order in the JSON records. */
static const char *const first_fields[] = {
    "name",        "id",       "team",        "pool",
    "state",       "service",  "members",     "serving",
    "unavailable", "headroom", "min_serving", "max_unavailable",
    "zone",        "rack",     "address",     "worker"};

/* Fields of a record that hold a Unix time in ms, which tables show in UTC. */
static const char *const time_fields[] = {"since",   "moved", "due",
                                          "started", "ended", "submitted"};

typedef struct {
    const char *names[MAX_COLUMNS];
    int widths[MAX_COLUMNS];
    size_t count;
} Columns;

/* ---- Cells -------------------------------------------------------------- */

static bool
is_time(const char *field)
{
    for (size_t i = 0; i < sizeof(time_fields) / sizeof(time_fields[0]); i++) {
        if (strcmp(time_fields[i], field) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns labels as a new string in the form that commands accept
 * ("KEY=VALUE,KEY=VALUE"), or NULL when the value of a label is not a
 * string. */
static char *
labels_text(const json_t *labels)
{
    AqBuffer out;
    const char *name;
    json_t *value;
    AqBuffer_Init(&out);
    json_object_foreach((json_t *)labels, name, value)
    {
        if (!json_is_string(value)) {
            AqBuffer_Clear(&out);
            return NULL;
        }
        AqBuffer_Printf(&out, "%s%s=%s", out.size > 0 ? "," : "", name,
                        json_string_value(value));
    }
    return AqBuffer_Detach(&out, NULL);
}

/* Returns the text of the table cell for a field's value as a new string; "-"
 * for a missing or empty value. */
static char *
cell_text(const char *field, const json_t *value)
{
    char *text = NULL;
    char stamp[32];
    struct tm tm;
    if (value == NULL || json_is_null(value) ||
        (json_is_object(value) && json_object_size(value) == 0)) {
        return strdup("-");
    }
    if (json_is_string(value)) {
        const char *string = json_string_value(value);
        return strdup(string[0] != '\0' ? string : "-");
    }
    if (json_is_integer(value) && is_time(field)) {
        time_t seconds = (time_t)(json_integer_value(value) / 1000);
        if (gmtime_r(&seconds, &tm) != NULL &&
            strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%SZ", &tm) > 0) {
            return strdup(stamp);
        }
    }
    if (json_is_object(value)) {
        text = labels_text(value);
    }
    return text != NULL ? text : AqJson_Dump(value);
}

/* ---- Columns ------------------------------------------------------------ */

static void
widen(Columns *columns, size_t at, const char *text)
{
    int width = (int)strlen(text);
    if (width > MAX_COLUMN_WIDTH) {
        width = MAX_COLUMN_WIDTH;
    }
    if (width > columns->widths[at]) {
        columns->widths[at] = width;
    }
}

static size_t
find_column(Columns *columns, const char *name)
{
    for (size_t i = 0; i < columns->count; i++) {
        if (strcmp(columns->names[i], name) == 0) {
            return i;
        }
    }
    if (columns->count == MAX_COLUMNS) {
        return MAX_COLUMNS;
    }
    columns->names[columns->count] = name;
    columns->widths[columns->count] = (int)strlen(name);
    return columns->count++;
}

static void
measure_record(Columns *columns, const json_t *record)
{
    const char *field;
    json_t *value;
    json_object_foreach((json_t *)record, field, value)
    {
        size_t at = find_column(columns, field);
        char *text = cell_text(field, value);
        if (at < MAX_COLUMNS) {
            widen(columns, at, text);
        }
        free(text);
    }
}

/* Adds table columns for those fields of first_fields that any row has, in the
 * order of first_fields. */
static void
add_first_columns(Columns *columns, const json_t *rows)
{
    for (size_t f = 0; f < sizeof(first_fields) / sizeof(first_fields[0]);
         f++) {
        size_t i;
        json_t *row;
        json_array_foreach((json_t *)rows, i, row)
        {
            if (json_object_get(row, first_fields[f]) != NULL) {
                find_column(columns, first_fields[f]);
            }
        }
    }
}

/* ---- Rows --------------------------------------------------------------- */

static void
write_cell(FILE *out, const Columns *columns, size_t at, const char *text)
{
    if (at + 1 < columns->count) {
        fprintf(out, "%-*s  ", columns->widths[at], text);
    }
    else {
        fprintf(out, "%s\n", text);
    }
}

static void
write_row(FILE *out, const Columns *columns, const json_t *record)
{
    for (size_t i = 0; i < columns->count; i++) {
        const char *name = columns->names[i];
        char *text = cell_text(name, json_object_get(record, name));
        write_cell(out, columns, i, text);
        free(text);
    }
}

/* Replaces the object "status" in a pool's record by the fields of that
 * object. */
static void
flatten_status(json_t *row)
{
    json_t *status = json_object_get(row, "status");
    if (json_is_object(status)) {
        json_object_update_missing(row, status);
        json_object_del(row, "status");
    }
}

/* Returns the records as a new array of table rows.  Records in an object get
 * their key in that object as first field "name"; records in an array stay as
 * they are. */
static json_t *
to_rows(const json_t *records)
{
    json_t *rows = json_array();
    const char *name;
    json_t *record;
    size_t i;
    if (json_is_array(records)) {
        json_array_foreach((json_t *)records, i, record)
        {
            json_array_append(rows, record);
        }
        return rows;
    }
    json_object_foreach((json_t *)records, name, record)
    {
        json_t *row = json_object();
        json_object_set_new(row, "name", json_string(name));
        json_object_update_missing(row, record);
        flatten_status(row);
        json_array_append_new(rows, row);
    }
    return rows;
}

void
table_write(FILE *out, const json_t *records)
{
    Columns columns = {.count = 0};
    json_t *rows = to_rows(records);
    size_t i;
    json_t *row;
    add_first_columns(&columns, rows);
    json_array_foreach(rows, i, row)
    {
        measure_record(&columns, row);
    }
    if (columns.count == 0) {
        fprintf(out, "(none)\n");
    }
    else {
        for (size_t c = 0; c < columns.count; c++) {
            write_cell(out, &columns, c, columns.names[c]);
        }
    }
    json_array_foreach(rows, i, row)
    {
        write_row(out, &columns, row);
    }
    json_decref(rows);
}
