#include "fleet_internal.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

#define NAME_MAX_LENGTH 64
#define LABELS_MAX 32
/* largest allowed number of cores, MB of memory or accelerators of one VM */
#define RESOURCE_MAX 1000000000
#define NAME_FORMAT                                                           \
    "1 to 64 letters, digits, \".\", \"_\" or \"-\", the first a letter or "  \
    "digit"

static const char *const kind_names[AQ_REC_KINDS] = {
    "pool", "vm", "wave", "team", "weights", "member"};

static const char *const state_names[VM_STATE_COUNT + 1] = {
    "serving",  "draining", "drained", "rebooting",
    "checking", "failed",   "leaving", NULL};

const char *
record_kind_name(AqRecordKind kind)
{
    return kind_names[kind];
}

bool
record_kind_parse(const char *name, AqRecordKind *kind)
{
    for (int k = 0; k < AQ_REC_KINDS; k++) {
        if (strcmp(kind_names[k], name) == 0) {
            *kind = (AqRecordKind)k;
            return true;
        }
    }
    return false;
}

const char *
AqVmState_Name(AqVmState state)
{
    return (unsigned)state < VM_STATE_COUNT ? state_names[state] : "unknown";
}

bool
vm_state_parse(const char *name, AqVmState *state)
{
    for (int s = 0; s < VM_STATE_COUNT; s++) {
        if (strcmp(state_names[s], name) == 0) {
            *state = (AqVmState)s;
            return true;
        }
    }
    return false;
}

bool
is_valid_name(const char *name)
{
    size_t size = strlen(name);
    if (size == 0 || size > NAME_MAX_LENGTH ||
        !isalnum((unsigned char)name[0])) {
        return false;
    }
    for (size_t i = 0; i < size; i++) {
        if (!isalnum((unsigned char)name[i]) &&
            strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/* Fills *error for a missing or invalid field, with the field's value
 * (truncated to 80 bytes) and the allowed values ("expected"); returns
 * false. */
bool
field_error(const json_t *object, const char *field, const char *expected,
            AqError *error)
{
    const json_t *found = json_object_get(object, field);
    if (found == NULL) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "field \"%s\" is missing; add it: it must be %s",
                           field, expected);
    }
    char *text = AqJson_Dump(found);
    AqError_Set(error, AQ_ERR_INVALID,
                "field \"%s\" is %.80s; it must be %s; correct it and send "
                "the intent again",
                field, text == NULL ? "not printable" : text, expected);
    free(text);
    return false;
}

bool
field_name(const json_t *object, const char *field, const char **value,
           AqError *error)
{
    const char *text = json_string_value(json_object_get(object, field));
    if (text == NULL || !is_valid_name(text)) {
        return field_error(object, field, "a string of " NAME_FORMAT, error);
    }
    if (value != NULL) {
        *value = text;
    }
    return true;
}

bool
field_int(const json_t *object, const char *field, int64_t low, int64_t high,
          AqError *error)
{
    const json_t *found = json_object_get(object, field);
    if (json_is_integer(found) && json_integer_value(found) >= low &&
        json_integer_value(found) <= high) {
        return true;
    }
    char expected[80];
    g_snprintf(expected, sizeof(expected), "a whole number from %lld to %lld",
               (long long)low, (long long)high);
    return field_error(object, field, expected, error);
}

static bool
is_valid_address(const char *text)
{
    char host[INET6_ADDRSTRLEN + 3];
    unsigned char bytes[16];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    size_t size = (size_t)(colon - text);
    memcpy(host, text, size);
    host[size] = '\0';
    char *end;
    long port = strtol(colon + 1, &end, 10);
    if (!isdigit((unsigned char)colon[1]) || *end != '\0' || port < 1 ||
        port > 65535) {
        return false;
    }
    if (host[0] == '[' && size > 2 && host[size - 1] == ']') {
        host[size - 1] = '\0';
        return inet_pton(AF_INET6, host + 1, bytes) == 1;
    }
    return inet_pton(AF_INET, host, bytes) == 1;
}

bool
field_address(const json_t *object, const char *field, AqError *error)
{
    const char *text = json_string_value(json_object_get(object, field));
    if (text == NULL || !is_valid_address(text)) {
        return field_error(object, field,
                           "a string \"IPv4:port\" or \"[IPv6]:port\" with a "
                           "port from 1 to 65535",
                           error);
    }
    return true;
}

bool
field_labels(const json_t *object, const char *field, AqError *error)
{
    const json_t *labels = json_object_get(object, field);
    bool ok = json_is_object(labels) && json_object_size(labels) <= LABELS_MAX;
    const char *label;
    json_t *value;
    json_object_foreach((json_t *)labels, label, value)
    {
        const char *text = json_string_value(value);
        ok = ok && is_valid_name(label) && text != NULL && is_valid_name(text);
    }
    if (!ok) {
        return field_error(object, field,
                           "an object of at most 32 labels, names and values "
                           "strings of " NAME_FORMAT,
                           error);
    }
    return true;
}

bool
field_choice(const json_t *object, const char *field,
             const char *const *choices, AqError *error)
{
    const char *text = json_string_value(json_object_get(object, field));
    for (int i = 0; text != NULL && choices[i] != NULL; i++) {
        if (strcmp(choices[i], text) == 0) {
            return true;
        }
    }
    GString *expected = g_string_new("one of");
    for (int i = 0; choices[i] != NULL; i++) {
        g_string_append_printf(expected, "%s \"%s\"", i == 0 ? "" : ",",
                               choices[i]);
    }
    field_error(object, field, expected->str, error);
    g_string_free(expected, TRUE);
    return false;
}

bool
check_known_fields(const json_t *object, const char *const *allowed,
                   AqError *error)
{
    const char *field;
    json_t *value;
    json_object_foreach((json_t *)object, field, value)
    {
        if (g_strv_contains(allowed, field)) {
            continue;
        }
        char *list = g_strjoinv(", ", (char **)allowed);
        AqError_Set(error, AQ_ERR_INVALID,
                    "field \"%.80s\" is unknown; the fields of this kind are "
                    "%s; remove it or correct its spelling",
                    field, list);
        g_free(list);
        return false;
    }
    return true;
}

const char *
string_or(const json_t *object, const char *field, const char *default_value)
{
    const char *text = json_string_value(json_object_get(object, field));
    return text == NULL ? default_value : text;
}

int64_t
int_or(const json_t *object, const char *field, int64_t default_value)
{
    const json_t *value = json_object_get(object, field);
    return json_is_integer(value) ? json_integer_value(value) : default_value;
}

bool
selector_matches(const json_t *selector, const json_t *labels)
{
    const char *label;
    json_t *value;
    json_object_foreach((json_t *)selector, label, value)
    {
        if (strcmp(string_or(labels, label, ""), json_string_value(value)) !=
            0) {
            return false;
        }
    }
    return true;
}

/* ---- Whole records ---------------------------------------------------- */

static bool
check_pool(const json_t *pool, AqError *error)
{
    return field_name(pool, "service", NULL, error) &&
           field_labels(pool, "selector", error) &&
           field_int(pool, "min_serving", 0, 10000, error) &&
           (json_object_get(pool, "max_unavailable") == NULL ||
            field_int(pool, "max_unavailable", 0, 10000, error)) &&
           field_int(pool, "slots", 1, 1000, error) &&
           field_int(pool, "connections", 1, 10000, error) &&
           field_int(pool, "objective", 0, 1000, error);
}

/* Checks the resources of a VM that jobs may use; an absent field means that
 * the VM has none of that resource. */
static bool
check_resources(const json_t *vm, AqError *error)
{
    static const char *const fields[] = {"cores", "memory_mb", "accelerators"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        if (json_object_get(vm, fields[i]) != NULL &&
            !field_int(vm, fields[i], 0, RESOURCE_MAX, error)) {
            return false;
        }
    }
    return true;
}

static bool
check_vm(const json_t *vm, AqError *error)
{
    return field_name(vm, "pool", NULL, error) &&
           field_choice(vm, "state", state_names, error) &&
           field_address(vm, "address", error) &&
           field_name(vm, "rack", NULL, error) &&
           field_name(vm, "zone", NULL, error) &&
           field_labels(vm, "labels", error) &&
           field_int(vm, "since", 0, INT64_MAX, error) &&
           check_resources(vm, error) &&
           (json_object_get(vm, "wave") == NULL ||
            field_name(vm, "wave", NULL, error)) &&
           (json_object_get(vm, "target") == NULL ||
            field_name(vm, "target", NULL, error));
}

static bool
check_wave(const json_t *wave, AqError *error)
{
    static const char *const kinds[] = {"reboot", "rollout", NULL};
    static const char *const states[] = {"running", "paused", "aborted",
                                         "stopped", "done",   NULL};
    return field_choice(wave, "kind", kinds, error) &&
           field_choice(wave, "state", states, error) &&
           field_labels(wave, "selector", error) &&
           field_int(wave, "max_parallel", 1, 1000, error) &&
           field_int(wave, "id", 1, INT64_MAX, error);
}

static bool
check_team(const json_t *team, AqError *error)
{
    return field_int(team, "cores", 0, 10000000, error) &&
           field_int(team, "memory_mb", 0, 10000000000, error) &&
           field_int(team, "accelerators", 0, 1000000, error);
}

static bool
check_weights(const char *name, const json_t *weights, AqError *error)
{
    if (strcmp(name, WEIGHTS_NAME) != 0) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "weights record \"%s\" is unknown; the only one "
                           "is \"weights\"",
                           name);
    }
    return field_int(weights, "buffer", 1, 10, error) &&
           field_int(weights, "moves", 1, 10, error) &&
           field_int(weights, "time", 1, 10, error);
}

bool
record_check(AqRecordKind kind, const char *name, const json_t *record,
             AqError *error)
{
    if (!is_valid_name(name)) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "%s name \"%.80s\" is bad; it must be " NAME_FORMAT
                           "; choose another name",
                           kind_names[kind], name);
    }
    switch (kind) {
    case AQ_REC_POOL:
        return check_pool(record, error);
    case AQ_REC_VM:
        return check_vm(record, error);
    case AQ_REC_WAVE:
        return check_wave(record, error);
    case AQ_REC_TEAM:
        return check_team(record, error);
    case AQ_REC_WEIGHTS:
        return check_weights(name, record, error);
    default:
        return field_address(record, "address", error);
    }
}
