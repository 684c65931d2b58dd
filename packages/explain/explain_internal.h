#ifndef EXPLAIN_INTERNAL_H
#define EXPLAIN_INTERNAL_H

#include <glib.h>

#include "aq_explain.h"

/* Declarations shared by the files of the package:
 * explain_lines.c  parses a log line into its fields
 * explain.c        collects lines in two passes, writes the report
 * explain_cause.c  finds the cause of the request's outcome */

typedef struct {
    char *key;
    char *value; /* text of the field's value, without its quotes */
} Field;

typedef struct {
    gint64 time_ms; /* Unix time by the clock of the logging node */
    guint sequence; /* position among all lines added, in both passes */
    GArray *fields; /* the line's key-value pairs, of type Field */
} Line;

struct AqExplain {
    char *id;
    GPtrArray *timeline;     /* Line pointers: the lines of the request */
    GPtrArray *context;      /* Line pointers: events around the request */
    GPtrArray *missing;      /* strings: missing logs as "NAME: REASON" */
    size_t unreadable_count; /* unreadable lines with the request's id */
    bool is_sorted;          /* whether the timeline is in order of time */
    guint line_count;        /* lines added so far, in both passes */
};

/* ---- explain_lines.c */
/* Parses a log line; the result is freed with line_free.  Returns NULL when
 * the text has no field "time_ms" above 0 or no field "event". */
Line *line_parse(const char *text, size_t size, guint sequence);
void line_free(void *value);
/* Returns the value of the field with this key, owned by the line, or "" when
 * the line has no such field. */
const char *line_get(const Line *line, const char *key);
gint64 line_number(const Line *line, const char *key);
bool line_is(const Line *line, const char *event);
/* Whether a field is none of those that most lines have: time, level, process
 * and request. */
bool field_is_detail(const Field *field);

/* ---- explain_cause.c */
/* Sets outcome, cause and evidence in the report, and adds the missing logs
 * to explain->missing. */
void cause_find(AqExplain *explain, json_t *report);

#endif
