#include "aq_json.h"

#include <string.h>

json_t *
AqJson_Parse(const char *text, size_t size, AqError *error)
{
    json_error_t at;
    json_t *value = json_loadb(text, size, JSON_REJECT_DUPLICATES, &at);
    if (value == NULL) {
        AqError_Set(error, AQ_ERR_INVALID,
                    "bad JSON at line %d, column %d: %s; send one JSON value "
                    "without duplicate fields",
                    at.line, at.column, at.text);
    }
    return value;
}

char *
AqJson_Dump(const json_t *value)
{
    return json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
}

static const char *
type_name(const json_t *value)
{
    static const char *const names[] = {"object",  "array",  "string",
                                        "number",  "number", "boolean",
                                        "boolean", "null"};
    return names[json_typeof(value)];
}

static bool
set_type_error(const char *field, const char *expected_type,
               const json_t *found, AqError *error)
{
    if (found == NULL) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "field \"%s\" is missing; add it as a %s", field,
                           expected_type);
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "field \"%s\" is a %s; it must be a %s", field,
                       type_name(found), expected_type);
}

bool
AqJson_GetString(const json_t *object, const char *field, const char **value,
                 AqError *error)
{
    const json_t *found = json_object_get(object, field);
    if (!json_is_string(found)) {
        return set_type_error(field, "string", found, error);
    }
    *value = json_string_value(found);
    return true;
}

bool
AqJson_GetInt(const json_t *object, const char *field, int64_t low,
              int64_t high, int64_t *value, AqError *error)
{
    const json_t *found = json_object_get(object, field);
    if (!json_is_integer(found)) {
        return set_type_error(field, "whole number", found, error);
    }
    int64_t n = json_integer_value(found);
    if (n < low || n > high) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "field \"%s\" is %lld; it must be between %lld and "
                           "%lld",
                           field, (long long)n, (long long)low,
                           (long long)high);
    }
    *value = n;
    return true;
}

bool
AqJson_OptString(const json_t *object, const char *field,
                 const char *default_value, const char **value, AqError *error)
{
    if (json_object_get(object, field) == NULL) {
        *value = default_value;
        return true;
    }
    return AqJson_GetString(object, field, value, error);
}

bool
AqJson_OptInt(const json_t *object, const char *field, int64_t low,
              int64_t high, int64_t default_value, int64_t *value,
              AqError *error)
{
    if (json_object_get(object, field) == NULL) {
        *value = default_value;
        return true;
    }
    return AqJson_GetInt(object, field, low, high, value, error);
}

bool
AqJson_OptBool(const json_t *object, const char *field, bool default_value,
               bool *value, AqError *error)
{
    const json_t *found = json_object_get(object, field);
    if (found == NULL) {
        *value = default_value;
        return true;
    }
    if (!json_is_boolean(found)) {
        return set_type_error(field, "boolean", found, error);
    }
    *value = json_is_true(found);
    return true;
}

bool
AqJson_CheckFields(const json_t *object, const char *const *allowed,
                   AqError *error)
{
    const char *field;
    json_t *value;
    json_object_foreach((json_t *)object, field, value)
    {
        const char *const *at = allowed;
        while (*at != NULL && strcmp(*at, field) != 0) {
            at++;
        }
        if (*at == NULL) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "field \"%s\" is unknown; remove it or check "
                               "its spelling",
                               field);
        }
    }
    return true;
}
