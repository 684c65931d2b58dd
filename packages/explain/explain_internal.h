#ifndef EXPLAIN_INTERNAL_H
#define EXPLAIN_INTERNAL_H

#include <glib.h>

#include "aq_explain.h"

/* Shared by the files of the package:
 * explain_lines.c  a line of a log and its fields
 * explain.c        passes, the timeline in order, the report
 * explain_cause.c  why the request ended so */

typedef struct {
    char *key;
    char *value; /* without quotes */
} Field;

typedef struct {
    gint64 time_ms; /* Unix, of the node */
    guint number;   /* of the line, over all logs */
    GArray *fields; /* of Field */
} Line;

struct AqExplain {
    char *id;
    GPtrArray *timeline; /* of Line, of the request */
    GPtrArray *context;  /* of Line, around it */
    GPtrArray *missing;  /* of text */
    size_t unreadable;
    bool is_sorted; /* the timeline; from the second pass on */
    guint lines;
};

/* ---- explain_lines.c */
/* NULL when the line has no time or no event. */
Line *line_parse(const char *text, size_t size, guint number);
void line_free(void *value);
/* Borrowed; "" when there is no such field. */
const char *line_get(const Line *line, const char *key);
gint64 line_number(const Line *line, const char *key);
bool line_is(const Line *line, const char *event);
/* Whether a field says more than when, where and of which request. */
bool field_is_detail(const Field *field);

/* ---- explain_cause.c */
/* Sets outcome, cause and evidence in the report and adds what is missing. */
void cause_find(AqExplain *explain, json_t *report);

#endif
