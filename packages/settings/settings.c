#include "aq_settings.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "toml_reader.h"

typedef struct {
    const char *section;
    const char *key;
    bool is_text;
    size_t offset; /* byte offset of the setting's field in AqSettings */
    /* Default of a text setting; NULL if the key is required. */
    const char *default_text;
    /* Allowed values of a text setting, separated by blanks; NULL: any. */
    const char *choices;
    int64_t default_number; /* default value of a number setting */
    /* Allowed range of a number setting, or of the length of a text setting in
     * bytes. */
    int64_t low, high;
    const char *help; /* one-line description for AqSettings_Describe */
} Key;

#define TEXT(section, key, field, text, allowed, low, high, help)             \
    {                                                                         \
        section, key, true, offsetof(AqSettings, field), text, allowed, 0,    \
            low, high, help                                                   \
    }
#define NUMBER(section, key, field, number, low, high, help)                  \
    {                                                                         \
        section, key, false, offsetof(AqSettings, field), "", NULL, number,   \
            low, high, help                                                   \
    }

enum {
    MAX_PORT = 65535,
    MINUTE_MS = 60 * 1000,
    HOUR_MS = 60 * MINUTE_MS,
    DAY_MS = 24 * HOUR_MS,
    MIB = 1024 * 1024
};

static const Key keys[] = {
    TEXT("node", "id", node_id, NULL, NULL, 1, 63, "name of this entry VM"),
    TEXT("node", "zone", node_zone, NULL, NULL, 1, 63,
         "data centre of this entry VM"),
    TEXT("node", "cpu_share", node_cpu_share, "1", NULL, 1, 16,
         "this VM's share of a CPU core, such as 0.25"),
    TEXT("node", "link_mbps", node_link_mbps, "0", NULL, 1, 16,
         "bandwidth of this VM's link in Mbit/s, such as 200; 0: not known"),
    TEXT("node", "log_level", node_log_level, "info",
         "error warning info debug", 1, 16, "least severe level logged"),
    TEXT("callers", "address", callers_address, "127.0.0.1", NULL, 7, 15,
         "IPv4 address for callers"),
    NUMBER("callers", "port", callers_port, 8080, 0, MAX_PORT,
           "TCP port for callers; 0: any free port"),
    NUMBER("callers", "connections", callers_connections, 4096, 1, 16384,
           "largest number of open connections of callers"),
    TEXT("operators", "address", operators_address, "127.0.0.1", NULL, 7, 15,
         "IPv4 address for operators"),
    NUMBER("operators", "port", operators_port, 8081, 0, MAX_PORT,
           "TCP port for operators; 0: any free port"),
    TEXT("operators", "token", operators_token, NULL, NULL, 16, 200,
         "bearer token that operators send"),
    TEXT("peers", "address", peers_address, "127.0.0.1", NULL, 7, 15,
         "IPv4 address for other entry VMs"),
    NUMBER("peers", "port", peers_port, 8082, 0, MAX_PORT,
           "TCP port for other entry VMs; 0: any free port"),
    TEXT("peers", "advertise", peers_advertise, "", NULL, 0, 21,
         "\"IP:port\" that other entry VMs connect to; empty: address and "
         "port"),
    TEXT("peers", "secret", peers_secret, NULL, NULL, 16, 63,
         "secret that all entry VMs share"),
    TEXT("peers", "seeds", peers_seeds, "", NULL, 0, 1000,
         "list of \"IP:port\" of entry VMs, used to start without the store"),
    TEXT("store", "url", store_url, NULL, NULL, 10, 200,
         "URL of the platform's key-value service, such as "
         "http://127.0.0.1:8500"),
    NUMBER("store", "timeout_ms", store_timeout_ms, 1000, 50, 10000,
           "longest wait for a reply of the store, ms"),
    NUMBER("claims", "retention_ms", claims_retention_ms, HOUR_MS, 60000,
           DAY_MS, "how long a non-idempotent request id is remembered, ms"),
    NUMBER("claims", "batch_ms", claims_batch_ms, 40, 1, 1000,
           "shortest time between two writes of a claim partition, ms"),
    NUMBER("router", "queue_limit", router_queue_limit, 512, 1, 100000,
           "largest number of queued requests per service"),
    NUMBER("router", "max_request_bytes", router_max_request_bytes, MIB, 1024,
           16 * MIB, "longest request body, bytes"),
    NUMBER("router", "max_answer_bytes", router_max_answer_bytes, 4 * MIB,
           1024, 64 * MIB, "longest response body, bytes"),
    NUMBER("router", "default_timeout_ms", router_default_timeout_ms, 10000,
           10, 600000, "deadline of a request without Aq-Timeout-Ms, ms"),
    NUMBER("stop", "balancer_wait_ms", stop_balancer_wait_ms, 5000, 0, 600000,
           "time between readiness going false and the listener closing, ms"),
    NUMBER("stop", "limit_ms", stop_limit_ms, 600000, 1000, HOUR_MS,
           "longest graceful stop, ms"),
    NUMBER("stop", "grace_s", stop_grace_s, 6, 1, 600,
           "on the platform: time from SIGTERM to SIGKILL, s"),
    TEXT("platform", "store", platform_store, "", NULL, 0, 21,
         "\"IP:port\" of the platform's store; empty: not on the platform"),
    TEXT("platform", "machines", platform_machines, "", NULL, 0, 21,
         "\"IP:port\" of the platform's VM list; empty: no moves or "
         "maintenance"),
    TEXT("platform", "advice", platform_advice, "", NULL, 0, 21,
         "\"IP:port\" of the service that grants tickets; empty: no tickets"),
    TEXT("callers", "listen", callers_listen, "", NULL, 0, 21,
         "on the platform: \"IP:port\" for callers"),
    TEXT("readiness", "listen", readiness_listen, "", NULL, 0, 21,
         "on the platform: \"IP:port\" for the balancer's readiness check"),
    TEXT("metrics", "listen", metrics_listen, "", NULL, 0, 21,
         "on the platform: \"IP:port\" for metrics; empty: no listener"),
    TEXT("carriers", "listen", carriers_listen, "", NULL, 0, 21,
         "on the platform: \"IP:port\" for orders that other entry VMs send "
         "through this one; empty: it passes on none"),
    NUMBER("limits", "longest_lease_ms", limits_longest_lease_ms, 6000, 1000,
           HOUR_MS, "longest lease of a task on a VM, ms"),
    NUMBER("limits", "machine_pause_ms", limits_machine_pause_ms, 3000, 0,
           HOUR_MS,
           "shortest time between the orders of two entry VMs for "
           "one VM, ms"),
    TEXT("limits", "far_rack_factor", limits_far_rack_factor, "", NULL, 0, 16,
         "how many times as long a task takes away from the rack of its data, "
         "such as 1.5; empty: not known, no task waits for its rack"),
    NUMBER("limits", "place_wait_ms", limits_place_wait_ms, 1000, 0, 1500,
           "longest wait of a task for room in the rack of its data or gang "
           "while there is room elsewhere, ms; 0: it does not wait"),
};

enum {
    KEY_COUNT = sizeof(keys) / sizeof(keys[0])
};

typedef struct {
    const char *path;
    AqSettings *settings;
    bool is_present[KEY_COUNT];
    AqError *error;
    bool failed;
} Loader;

static char **
text_field(AqSettings *settings, const Key *key)
{
    return (char **)((char *)settings + key->offset);
}

static int64_t *
number_field(AqSettings *settings, const Key *key)
{
    return (int64_t *)((char *)settings + key->offset);
}

static bool
is_choice(const char *choices, const char *text)
{
    size_t length = strlen(text);
    const char *at = choices;
    while ((at = strstr(at, text)) != NULL) {
        bool starts = at == choices || at[-1] == ' ';
        if (starts && (at[length] == ' ' || at[length] == '\0')) {
            return true;
        }
        at++;
    }
    return false;
}

static bool
set_text(Loader *loader, const Key *key, const TomlEntry *entry)
{
    if (entry->type != TOML_STRING) {
        return AqError_Set(
            loader->error, AQ_ERR_INVALID,
            "%s:%u: %s.%s = %s is not a string; write the value "
            "in double quotes",
            loader->path, entry->line, key->section, key->key, entry->text);
    }
    int64_t length = (int64_t)strlen(entry->text);
    if (length < key->low || length > key->high) {
        return AqError_Set(loader->error, AQ_ERR_INVALID,
                           "%s:%u: %s.%s = \"%.80s\" has %lld bytes; allowed "
                           "are %lld to %lld; change its length",
                           loader->path, entry->line, key->section, key->key,
                           entry->text, (long long)length, (long long)key->low,
                           (long long)key->high);
    }
    if (key->choices != NULL && !is_choice(key->choices, entry->text)) {
        return AqError_Set(loader->error, AQ_ERR_INVALID,
                           "%s:%u: %s.%s = \"%.80s\" is not allowed; choose "
                           "one of: %s",
                           loader->path, entry->line, key->section, key->key,
                           entry->text, key->choices);
    }
    char **field = text_field(loader->settings, key);
    free(*field);
    *field = strdup(entry->text);
    return true;
}

static bool
set_number(Loader *loader, const Key *key, const TomlEntry *entry)
{
    if (entry->type != TOML_INTEGER || entry->number < key->low ||
        entry->number > key->high) {
        return AqError_Set(loader->error, AQ_ERR_INVALID,
                           "%s:%u: %s.%s = %.80s is out of range; write a "
                           "whole number from %lld to %lld",
                           loader->path, entry->line, key->section, key->key,
                           entry->text, (long long)key->low,
                           (long long)key->high);
    }
    *number_field(loader->settings, key) = entry->number;
    return true;
}

static bool
visit_entry(void *context, const TomlEntry *entry)
{
    Loader *loader = context;
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const Key *key = &keys[i];
        if (strcmp(key->section, entry->section) == 0 &&
            strcmp(key->key, entry->key) == 0) {
            loader->is_present[i] = true;
            loader->failed = !(key->is_text ? set_text(loader, key, entry)
                                            : set_number(loader, key, entry));
            return !loader->failed;
        }
    }
    loader->failed = true;
    return AqError_Set(loader->error, AQ_ERR_INVALID,
                       "%s:%u: %s%s%s = %.80s is not a known setting; remove "
                       "it or check its spelling with --list-settings",
                       loader->path, entry->line, entry->section,
                       entry->section[0] != '\0' ? "." : "", entry->key,
                       entry->text);
}

static void
set_defaults(AqSettings *settings)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const Key *key = &keys[i];
        if (!key->is_text) {
            *number_field(settings, key) = key->default_number;
        }
        else if (key->default_text != NULL) {
            *text_field(settings, key) = strdup(key->default_text);
        }
    }
}

/* Returns whether the key must be present in the settings file.  On the
 * platform only keys of [node] can be required, because operators, peers and
 * the store are then reached through the platform. */
static bool
is_required(const Loader *loader, const Key *key)
{
    bool is_on_platform = loader->settings->platform_store[0] != '\0';
    return key->is_text && key->default_text == NULL &&
           (!is_on_platform || strcmp(key->section, "node") == 0);
}

static bool
check_addresses(Loader *loader)
{
    const AqSettings *settings = loader->settings;
    if (settings->platform_store[0] != '\0' &&
        (settings->callers_listen[0] == '\0' ||
         settings->readiness_listen[0] == '\0')) {
        return AqError_Set(loader->error, AQ_ERR_INVALID,
                           "%s: platform.store is set, but callers.listen or "
                           "readiness.listen is not; write both as "
                           "\"IP:port\"",
                           loader->path);
    }
    return true;
}

static bool
check_required(Loader *loader)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const Key *key = &keys[i];
        if (is_required(loader, key) && !loader->is_present[i]) {
            return AqError_Set(loader->error, AQ_ERR_INVALID,
                               "%s: %s.%s is missing (%s); add \"%s = ...\" "
                               "under [%s]",
                               loader->path, key->section, key->key, key->help,
                               key->key, key->section);
        }
    }
    return true;
}

AqSettings *
AqSettings_Load(const char *path, AqError *error)
{
    char message[400];
    AqSettings *settings = calloc(1, sizeof(*settings));
    Loader loader = {.path = path, .settings = settings, .error = error};
    set_defaults(settings);
    if (!toml_read(path, visit_entry, &loader, message, sizeof(message))) {
        AqError_Set(error, AQ_ERR_INVALID, "%s:%s", path, message);
        goto error;
    }
    if (loader.failed || !check_required(&loader) ||
        !check_addresses(&loader)) {
        goto error;
    }
    return settings;

error:
    AqSettings_Destroy(settings);
    return NULL;
}

void
AqSettings_Destroy(AqSettings *settings)
{
    if (settings == NULL) {
        return;
    }
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (keys[i].is_text) {
            free(*text_field(settings, &keys[i]));
        }
    }
    free(settings);
}

void
AqSettings_Describe(AqBuffer *out)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        const Key *key = &keys[i];
        if (key->is_text) {
            AqBuffer_Printf(
                out, "%s.%s\ttext\t%s\t%lld..%lld bytes\t%s\n", key->section,
                key->key,
                key->default_text != NULL ? key->default_text : "(required)",
                (long long)key->low, (long long)key->high, key->help);
        }
        else {
            AqBuffer_Printf(
                out, "%s.%s\tnumber\t%lld\t%lld..%lld\t%s\n", key->section,
                key->key, (long long)key->default_number, (long long)key->low,
                (long long)key->high, key->help);
        }
    }
}
