#ifndef EXPLAIN_INTERNAL_H
#define EXPLAIN_INTERNAL_H

#include <glib.h>

#include "aq_explain.h"

/* This header declares what the files of the package share:
 * explain_lines.c  parses a log line into its fields
 * explain.c        collects lines in two passes, writes the report
 * explain_cause.c  finds the cause of the request's outcome */

typedef struct {
    char *key;
    char *value; /* value as text, without the quotes around it in the line */
} Field;

typedef struct {
    /* Unix time of the event, by the clock of the node that logged it. */
    gint64 time_ms;
    /* Number of the line among all lines added in both passes. */
    guint sequence;
    GArray *fields; /* the line's key-value pairs, of type Field */
} Line;

struct AqExplain {
    char *id;
    GPtrArray *timeline; /* Line pointers: log lines with the request's id */
    /* Line pointers: log lines of other events that may have affected the
     * request. */
    GPtrArray *context;
    /* Strings "NAME: REASON", one for each missing log or missing kind of log
     * line. */
    GPtrArray *missing;
    size_t unreadable_count; /* unreadable log lines with the request's id */
    bool is_sorted;          /* whether "timeline" is sorted by time */
    guint line_count;        /* log lines added so far, in both passes */
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
/* Whether the field's key is none of time_ms, level, process and request,
 * which most log lines have. */
bool field_is_detail(const Field *field);

/* ---- explain_cause.c */
/* Sets the fields outcome, cause and evidence of the report on the request,
 * and adds the logs that prove to be missing to explain->missing. */
void cause_find(AqExplain *explain, json_t *report);

#endif
