#include <string.h>

#include "explain_internal.h"

/* Returns the value of a KEY=VALUE field that begins at *at as a new string,
 * without its quotes, and moves *at behind the value.  A value ends at a blank
 * or, when quoted, at the closing quote. */
static char *
parse_value(const char **at, const char *end)
{
    GString *value = g_string_new(NULL);
    bool is_quoted = *at < end && **at == '"';
    if (is_quoted) {
        ++*at;
    }
    while (*at < end && **at != (is_quoted ? '"' : ' ')) {
        if (is_quoted && **at == '\\' && *at + 1 < end) {
            ++*at;
        }
        g_string_append_c(value, **at);
        ++*at;
    }
    if (is_quoted && *at < end) {
        ++*at;
    }
    return g_string_free(value, FALSE);
}

static void
free_field(void *value)
{
    Field *field = value;
    g_free(field->key);
    g_free(field->value);
}

static void
parse_fields(Line *line, const char *at, const char *end)
{
    while (at < end) {
        const char *key = at;
        while (at < end && *at != ' ' && *at != '=') {
            at++;
        }
        if (at < end && *at == '=' && at > key) {
            Field field = {.key = g_strndup(key, (gsize)(at - key))};
            at++;
            field.value = parse_value(&at, end);
            g_array_append_val(line->fields, field);
        }
        else if (at < end) {
            at++;
        }
    }
}

Line *
line_parse(const char *text, size_t size, guint sequence)
{
    Line *line = g_new0(Line, 1);
    line->sequence = sequence;
    line->fields = g_array_new(FALSE, FALSE, sizeof(Field));
    g_array_set_clear_func(line->fields, free_field);
    parse_fields(line, text, text + size);
    line->time_ms = line_number(line, "time_ms");
    if (line->time_ms <= 0 || line_get(line, "event")[0] == '\0') {
        line_free(line);
        return NULL;
    }
    return line;
}

void
line_free(void *value)
{
    Line *line = value;
    g_array_free(line->fields, TRUE);
    g_free(line);
}

const char *
line_get(const Line *line, const char *key)
{
    for (guint i = 0; i < line->fields->len; i++) {
        const Field *field = &g_array_index(line->fields, Field, i);
        if (strcmp(field->key, key) == 0) {
            return field->value;
        }
    }
    return "";
}

gint64
line_number(const Line *line, const char *key)
{
    return g_ascii_strtoll(line_get(line, key), NULL, 10);
}

bool
line_is(const Line *line, const char *event)
{
    return strcmp(line_get(line, "event"), event) == 0;
}

bool
field_is_detail(const Field *field)
{
    static const char *const common_keys[] = {"time_ms", "level", "process",
                                              "request"};
    for (size_t i = 0; i < G_N_ELEMENTS(common_keys); i++) {
        if (strcmp(field->key, common_keys[i]) == 0) {
            return false;
        }
    }
    return true;
}
