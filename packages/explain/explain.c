#include <stdlib.h>
#include <string.h>

#include "explain_internal.h"

enum {
    /* Lines of other events are collected when they are at most this much
     * older than the first line of the request, because an earlier event may
     * have caused the request's outcome. */
    CONTEXT_BEFORE_MS = 5000,
    CONTEXT_AFTER_MS = 1000
};

AqExplain *
AqExplain_Create(const char *id)
{
    AqExplain *explain = g_new0(AqExplain, 1);
    explain->id = g_strdup(id);
    explain->timeline = g_ptr_array_new_with_free_func(line_free);
    explain->context = g_ptr_array_new_with_free_func(line_free);
    explain->missing = g_ptr_array_new_with_free_func(g_free);
    return explain;
}

void
AqExplain_Destroy(AqExplain *explain)
{
    if (explain != NULL) {
        g_free(explain->id);
        g_ptr_array_free(explain->timeline, TRUE);
        g_ptr_array_free(explain->context, TRUE);
        g_ptr_array_free(explain->missing, TRUE);
        g_free(explain);
    }
}

/* ---- Lines -------------------------------------------------------------- */

static int
compare_lines(const void *a, const void *b)
{
    const Line *first = *(const Line *const *)a;
    const Line *second = *(const Line *const *)b;
    if (first->time_ms != second->time_ms) {
        return first->time_ms < second->time_ms ? -1 : 1;
    }
    return first->sequence < second->sequence ? -1 : 1;
}

static void
sort_timeline(AqExplain *explain)
{
    if (!explain->is_sorted) {
        g_ptr_array_sort(explain->timeline, compare_lines);
        explain->is_sorted = true;
    }
}

static void
add_request_line(AqExplain *explain, const char *text, size_t size)
{
    if (g_strstr_len(text, (gssize)size, explain->id) == NULL) {
        return;
    }
    Line *line = line_parse(text, size, explain->line_count);
    if (line == NULL) {
        explain->unreadable_count++;
    }
    else if (strcmp(line_get(line, "request"), explain->id) == 0) {
        g_ptr_array_add(explain->timeline, line);
        explain->is_sorted = false;
    }
    else {
        line_free(line);
    }
}

static bool
is_context(const Line *line)
{
    static const char *const events[] = {
        "pool_gained", "pool_lost",  "pool_released",
        "pool_load",   "store_lost", "lease_ended",
        "stopping",    "started",    "workspace_capped",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (line_is(line, events[i])) {
            return true;
        }
    }
    return false;
}

static void
add_context_line(AqExplain *explain, const char *text, size_t size)
{
    if (explain->timeline->len == 0) {
        return;
    }
    const Line *first = g_ptr_array_index(explain->timeline, 0);
    const Line *last =
        g_ptr_array_index(explain->timeline, explain->timeline->len - 1);
    Line *line = line_parse(text, size, explain->line_count);
    if (line == NULL) {
        return;
    }
    /* "pool_gained" lines are kept however long before the request they were
     * logged, because they name the node that owned the pool when the request
     * arrived. */
    bool is_near = (line->time_ms >= first->time_ms - CONTEXT_BEFORE_MS ||
                    line_is(line, "pool_gained")) &&
                   line->time_ms <= last->time_ms + CONTEXT_AFTER_MS;
    if (is_near && is_context(line)) {
        g_ptr_array_add(explain->context, line);
    }
    else {
        line_free(line);
    }
}

void
AqExplain_AddLine(AqExplain *explain, AqExplainPass pass, const char *line,
                  size_t size)
{
    explain->line_count++;
    if (pass == AQ_EXPLAIN_REQUEST) {
        add_request_line(explain, line, size);
    }
    else {
        sort_timeline(explain);
        add_context_line(explain, line, size);
    }
}

void
AqExplain_AddMissing(AqExplain *explain, const char *name, const char *reason)
{
    g_ptr_array_add(explain->missing, g_strdup_printf("%s: %s", name, reason));
}

size_t
AqExplain_LineCount(const AqExplain *explain)
{
    return explain->timeline->len;
}

/* ---- Report ------------------------------------------------------------- */

static json_t *
describe_line(const Line *line, gint64 begin)
{
    json_t *fields = json_object();
    for (guint i = 0; i < line->fields->len; i++) {
        const Field *field = &g_array_index(line->fields, Field, i);
        if (field_is_detail(field) && strcmp(field->key, "event") != 0) {
            json_object_set_new(fields, field->key, json_string(field->value));
        }
    }
    return json_pack("{s:I,s:I,s:s,s:s,s:o}", "time_ms",
                     (json_int_t)line->time_ms, "after_ms",
                     (json_int_t)(line->time_ms - begin), "node",
                     line_get(line, "process"), "event",
                     line_get(line, "event"), "fields", fields);
}

json_t *
AqExplain_Report(AqExplain *explain)
{
    json_t *report =
        json_pack("{s:s,s:I}", "request", explain->id, "unreadable",
                  (json_int_t)explain->unreadable_count);
    json_t *timeline = json_array();
    json_t *missing = json_array();
    sort_timeline(explain);
    g_ptr_array_sort(explain->context, compare_lines);
    for (guint i = 0; i < explain->timeline->len; i++) {
        const Line *first = g_ptr_array_index(explain->timeline, 0);
        json_array_append_new(
            timeline, describe_line(g_ptr_array_index(explain->timeline, i),
                                    first->time_ms));
    }
    cause_find(explain, report);
    for (guint i = 0; i < explain->missing->len; i++) {
        json_array_append_new(
            missing, json_string(g_ptr_array_index(explain->missing, i)));
    }
    json_object_set_new(report, "life", timeline);
    json_object_set_new(report, "missing", missing);
    return report;
}

static const char *
get_text(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text != NULL ? text : "";
}

static void
write_list(const json_t *report, const char *key, const char *title,
           AqBuffer *out)
{
    size_t i;
    json_t *text;
    json_array_foreach(json_object_get(report, key), i, text)
    {
        AqBuffer_Printf(out, "%-9s %s\n", i == 0 ? title : "",
                        json_string_value(text));
    }
}

static void
write_event(const json_t *event, AqBuffer *out)
{
    const char *key;
    json_t *value;
    double after =
        (double)json_integer_value(json_object_get(event, "after_ms"));
    AqBuffer_Printf(out, "%+9.3f s  %-16s %-14s", after / 1000,
                    get_text(event, "node"), get_text(event, "event"));
    json_object_foreach(json_object_get(event, "fields"), key, value)
    {
        AqBuffer_Printf(out, " %s=%s", key, json_string_value(value));
    }
    AqBuffer_AppendText(out, "\n");
}

void
AqExplain_Write(const json_t *report, AqBuffer *out)
{
    size_t i;
    json_t *event;
    AqBuffer_Printf(out, "%-9s %s\n", "request", get_text(report, "request"));
    AqBuffer_Printf(out, "%-9s %s\n", "outcome", get_text(report, "outcome"));
    AqBuffer_Printf(out, "%-9s %s\n", "cause", get_text(report, "cause"));
    write_list(report, "evidence", "evidence", out);
    write_list(report, "missing", "missing", out);
    json_int_t unreadable =
        json_integer_value(json_object_get(report, "unreadable"));
    if (unreadable > 0) {
        AqBuffer_Printf(out, "%-9s %lld lines with the id\n", "unreadable",
                        (long long)unreadable);
    }
    AqBuffer_AppendText(out, "\n");
    json_array_foreach(json_object_get(report, "life"), i, event)
    {
        write_event(event, out);
    }
}
