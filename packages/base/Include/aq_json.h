#ifndef AQ_JSON_H
#define AQ_JSON_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "aq_error.h"

/* Typed access to the fields of JSON objects.  Error messages name the field,
 * its value or type, and what is allowed. */

/* Parses "size" bytes of JSON text.  Returns a new reference that the caller
 * releases with json_decref, or NULL and fills *error (AQ_ERR_INVALID). */
json_t *AqJson_Parse(const char *text, size_t size, AqError *error);
/* Returns the value as compact JSON text with sorted keys.  The caller
 * releases the text with free(). */
char *AqJson_Dump(const json_t *value);

/* Read a field that must be present.  Return false and fill *error
 * (AQ_ERR_INVALID) if the field is missing, has another type or, for an
 * integer, is less than "low" or greater than "high".  The object owns the
 * string that *value points to. */
bool AqJson_GetString(const json_t *object, const char *field,
                      const char **value, AqError *error);
bool AqJson_GetInt(const json_t *object, const char *field, int64_t low,
                   int64_t high, int64_t *value, AqError *error);

/* Read a field that may be missing; *value is then "default_value".  Return
 * false and fill *error (AQ_ERR_INVALID) if the field has another type or, for
 * an integer, is less than "low" or greater than "high".  The object owns the
 * string that *value points to. */
bool AqJson_OptString(const json_t *object, const char *field,
                      const char *default_value, const char **value,
                      AqError *error);
bool AqJson_OptInt(const json_t *object, const char *field, int64_t low,
                   int64_t high, int64_t default_value, int64_t *value,
                   AqError *error);
bool AqJson_OptBool(const json_t *object, const char *field,
                    bool default_value, bool *value, AqError *error);

/* Checks that every field of the object is named in the NULL-terminated array
 * "allowed".  Otherwise returns false and fills *error (AQ_ERR_INVALID),
 * naming the first unknown field. */
bool AqJson_CheckFields(const json_t *object, const char *const *allowed,
                        AqError *error);

#endif
