#ifndef TOML_READER_H
#define TOML_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* C interface to the TOML parser toml11, which is a C++ library. */

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    TOML_STRING,
    TOML_INTEGER,
    TOML_OTHER
} TomlType;

typedef struct {
    const char *section; /* name of the key's table; "": no table */
    const char *key;
    TomlType type;
    /* The string, the strings of an array joined with commas, or the text of
     * any other value. */
    const char *text;
    int64_t number; /* value of an integer, otherwise 0 */
    unsigned line;  /* line number of the value in the file */
} TomlEntry;

/* Calls "visit" with "context" for each key of the file until "visit" returns
 * false.  Returns false if the file cannot be read or parsed, and writes the
 * reason to "message", a buffer of "size" bytes.  The message continues the
 * text "PATH:": it begins with a line number or with a space. */
bool toml_read(const char *path,
               bool (*visit)(void *context, const TomlEntry *entry),
               void *context, char *message, size_t size);

#ifdef __cplusplus
}
#endif

#endif
