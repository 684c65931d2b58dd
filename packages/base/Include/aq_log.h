#ifndef AQ_LOG_H
#define AQ_LOG_H

#include <stdbool.h>

/* Structured logging through GLib.  Each event is one line of key=value pairs
 * on standard error, or on standard output after AqLog_UseStandardOutput.  The
 * line of AqLog_Event(AQ_LOG_INFO, "request_refused", "service=%s reason=%s",
 * ...) starts with the time, the level, the process name and the event name.
 */

typedef enum {
    AQ_LOG_ERROR,
    AQ_LOG_WARNING,
    AQ_LOG_INFO,
    AQ_LOG_DEBUG
} AqLogLevel;

/* Installs the GLib log writer and sets the least severe level that is logged.
 * "process" is copied and written into every line. */
void AqLog_Start(const char *process, AqLogLevel level);
void AqLog_SetLevel(AqLogLevel level);
/* Writes all further log lines to standard output, which is made non-blocking,
 * so that logging never waits for the reader.  A line that cannot be written
 * at once is dropped.  A log_lines_dropped event with the number of dropped
 * lines precedes the next line that is written. */
void AqLog_UseStandardOutput(void);
/* Returns the number of log lines dropped since the process started. */
unsigned long AqLog_Dropped(void);
/* Sets *level from "error", "warning", "info" or "debug".  Returns false for
 * any other text. */
bool AqLog_ParseLevel(const char *text, AqLogLevel *level);

/* Logs an event unless "level" is less severe than the current log level.
 * "event" is a snake_case name.  "format" yields the remaining key=value
 * pairs; a value that may contain blanks is passed through AqLog_Quote. */
void AqLog_Event(AqLogLevel level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Returns the text in double quotes, with quotes, backslashes and control
 * characters escaped.  The result lies in one of four static buffers, which
 * are reused in turn, and is truncated to about 500 bytes. */
const char *AqLog_Quote(const char *text);

#endif
