#include "aq_log.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <fcntl.h>
#include <unistd.h>

#include "aq_buffer.h"
#include "aq_clock.h"

enum {
    QUOTE_BUFFER_COUNT = 4,
    QUOTE_BUFFER_BYTES = 512,
    LINE_BYTES = 2048
};

static AqLogLevel current_level = AQ_LOG_INFO;
static char process_name[64] = "-";

static bool uses_standard_output;
/* Number of log lines dropped since the process started. */
static unsigned long dropped_lines;
/* Number of dropped lines that log_lines_dropped events have reported. */
static unsigned long reported_dropped_lines;

static const char *const level_names[] = {"error", "warning", "info", "debug"};

/* Writes a line to standard output and returns whether all of it was written.
 * A non-blocking write of at most PIPE_BUF bytes to a pipe writes all bytes or
 * none. */
static bool
write_line_whole(const char *line, size_t size)
{
    return write(STDOUT_FILENO, line, size) == (ssize_t)size;
}

static void
write_nonblocking(const char *text)
{
    char line[LINE_BYTES + 256];
    if (dropped_lines > reported_dropped_lines) {
        int size =
            snprintf(line, sizeof(line),
                     "level=warning event=log_lines_dropped count=%lu\n",
                     dropped_lines - reported_dropped_lines);
        if (!write_line_whole(line, (size_t)size)) {
            dropped_lines++;
            return;
        }
        reported_dropped_lines = dropped_lines;
    }
    int size = snprintf(line, sizeof(line), "%s\n", text);
    if (size >= (int)sizeof(line)) {
        size = (int)sizeof(line) - 1;
        line[size - 1] = '\n';
    }
    if (!write_line_whole(line, (size_t)size)) {
        dropped_lines++;
    }
}

void
AqLog_UseStandardOutput(void)
{
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    uses_standard_output = true;
}

unsigned long
AqLog_Dropped(void)
{
    return dropped_lines;
}

static GLogWriterOutput
glib_log_writer(GLogLevelFlags flags, const GLogField *fields, gsize count,
                gpointer data)
{
    (void)flags;
    (void)data;
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            const char *text = fields[i].value;
            if (uses_standard_output) {
                write_nonblocking(text);
            }
            else {
                fprintf(stderr, "%s\n", text);
            }
            return G_LOG_WRITER_HANDLED;
        }
    }
    return G_LOG_WRITER_UNHANDLED;
}

void
AqLog_Start(const char *process, AqLogLevel level)
{
    g_strlcpy(process_name, process, sizeof(process_name));
    current_level = level;
    g_log_set_writer_func(glib_log_writer, NULL, NULL);
}

void
AqLog_SetLevel(AqLogLevel level)
{
    current_level = level;
}

bool
AqLog_ParseLevel(const char *text, AqLogLevel *level)
{
    for (int i = 0; i <= AQ_LOG_DEBUG; i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (AqLogLevel)i;
            return true;
        }
    }
    return false;
}

static GLogLevelFlags
glib_level(AqLogLevel level)
{
    switch (level) {
    case AQ_LOG_ERROR:
        return G_LOG_LEVEL_CRITICAL;
    case AQ_LOG_WARNING:
        return G_LOG_LEVEL_WARNING;
    case AQ_LOG_INFO:
        return G_LOG_LEVEL_INFO;
    default:
        return G_LOG_LEVEL_DEBUG;
    }
}

void
AqLog_Event(AqLogLevel level, const char *event, const char *format, ...)
{
    if (level > current_level) {
        return;
    }
    char pairs[LINE_BYTES];
    va_list args;
    va_start(args, format);
    vsnprintf(pairs, sizeof(pairs), format, args);
    va_end(args);
    g_log_structured("amaranthquay", glib_level(level), "MESSAGE",
                     "time_ms=%lld level=%s process=%s event=%s%s%s",
                     (long long)AqClock_ReadWall(), level_names[level],
                     process_name, event, pairs[0] != '\0' ? " " : "", pairs);
}

/* Writes the byte c, escaped if necessary, to "out" without a final NUL.
 * Returns a pointer to the byte after the output. */
static char *
escape_byte(char *out, unsigned char c)
{
    if (c == '"' || c == '\\') {
        *out++ = '\\';
        *out++ = (char)c;
    }
    else if (c < 0x20 || c == 0x7f) {
        out += sprintf(out, "\\x%02x", c);
    }
    else {
        *out++ = (char)c;
    }
    return out;
}

const char *
AqLog_Quote(const char *text)
{
    static char buffers[QUOTE_BUFFER_COUNT][QUOTE_BUFFER_BYTES];
    static unsigned next_buffer;
    char *buffer = buffers[next_buffer++ % QUOTE_BUFFER_COUNT];
    char *out = buffer;
    /* Reserves space for the longest escape sequence (4 bytes), the closing
     * quote and the NUL. */
    char *end = buffer + QUOTE_BUFFER_BYTES - 6;
    *out++ = '"';
    for (; *text != '\0' && out < end; text++) {
        out = escape_byte(out, (unsigned char)*text);
    }
    *out++ = '"';
    *out = '\0';
    return buffer;
}
