#ifndef AQ_LOG_H
#define AQ_LOG_H

#include <stdbool.h>

/* Logging through GLib: one line of key=value pairs for each event, on
 * standard error.  AqLog_Event("info", "request_refused", "service=%s
 * reason=%s", ...) prints time, level, process name and event first. */

typedef enum {
    AQ_LOG_ERROR,
    AQ_LOG_WARNING,
    AQ_LOG_INFO,
    AQ_LOG_DEBUG
} AqLogLevel;

/* Installs the writer.  "process" is copied and printed in every line. */
void AqLog_Start(const char *process, AqLogLevel level);
void AqLog_SetLevel(AqLogLevel level);
/* Writes to standard output from now on, without ever waiting for its reader:
 * a line that does not fit is dropped, and the next one that does says how
 * many were. */
void AqLog_UseStandardOutput(void);
/* Lines dropped since the start. */
unsigned long AqLog_Dropped(void);
/* Reads "error", "warning", "info" or "debug"; false for anything else. */
bool AqLog_ParseLevel(const char *text, AqLogLevel *level);

/* "event" is a snake_case name; the format gives the other pairs.  A value
 * with blanks is written with "%s" around AqLog_Quote. */
void AqLog_Event(AqLogLevel level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* The text in double quotes, with quotes, backslashes and control characters
 * escaped.  Points into one of four static buffers used in turn; texts over
 * 500 bytes are cut. */
const char *AqLog_Quote(const char *text);

#endif
