#include "aq_error.h"

#include <stdarg.h>
#include <stdio.h>

bool
AqError_Set(AqError *error, AqErrorKind kind, const char *format, ...)
{
    if (error != NULL) {
        va_list args;
        error->kind = kind;
        va_start(args, format);
        vsnprintf(error->message, sizeof(error->message), format, args);
        va_end(args);
    }
    return false;
}

void
AqError_Clear(AqError *error)
{
    error->kind = AQ_OK;
    error->message[0] = '\0';
}

const char *
AqErrorKind_Name(AqErrorKind kind)
{
    static const char *const names[] = {
        "ok",          "invalid", "not_found", "refused",  "conflict",
        "unavailable", "timeout", "limit",     "protocol", "system",
    };
    if ((unsigned)kind >= sizeof(names) / sizeof(names[0])) {
        return "unknown";
    }
    return names[kind];
}
