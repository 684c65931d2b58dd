#include "aq_site_config.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "workspace_keys.h"

struct AqQueueIndex {
    GHashTable *by_name; /* name -> AqQueueConfig */
    /* route_key() of host and prefix -> AqQueueConfig */
    GHashTable *by_route;
    GArray *prefix_lengths; /* of size_t: those in use, longest first */
    GHashTable *workspaces; /* name -> AqWorkspaceConfig */
    WorkspaceKeys *keys;
};

static void
free_index(struct AqQueueIndex *index)
{
    if (index != NULL) {
        g_hash_table_destroy(index->by_name);
        g_hash_table_destroy(index->by_route);
        g_array_free(index->prefix_lengths, TRUE);
        g_hash_table_destroy(index->workspaces);
        workspace_keys_destroy(index->keys);
        free(index);
    }
}

static void
clear_workspace(AqWorkspaceConfig *workspace)
{
    for (size_t i = 0; i < workspace->key_count; i++) {
        free(workspace->keys[i]);
    }
    free(workspace->keys);
    free(workspace->name);
}

void
AqSiteConfig_Clear(AqSiteConfig *config)
{
    for (size_t i = 0; i < config->queue_count; i++) {
        free(config->queues[i].name);
        free(config->queues[i].host);
        free(config->queues[i].prefix);
        free(config->queues[i].pool);
    }
    for (size_t i = 0; i < config->pool_count; i++) {
        free(config->pools[i].name);
    }
    for (size_t i = 0; i < config->workspace_count; i++) {
        clear_workspace(&config->workspaces[i]);
    }
    free_index(config->index);
    free(config->queues);
    free(config->pools);
    free(config->workspaces);
    memset(config, 0, sizeof(*config));
}

static bool
is_host(const char *host, const char *wanted)
{
    size_t length = strlen(wanted);
    return strncasecmp(host, wanted, length) == 0 &&
           (host[length] == '\0' || host[length] == ':');
}

/* ---- Index -------------------------------------------------------------- */

/* Returns a new key of a host, whose case does not count, and a prefix. */
static char *
route_key(const char *host, size_t host_length, const char *prefix,
          size_t prefix_length)
{
    GString *key = g_string_new_len(host, (gssize)host_length);
    g_string_ascii_down(key);
    g_string_append_c(key, '\n');
    g_string_append_len(key, prefix, (gssize)prefix_length);
    return g_string_free(key, FALSE);
}

static gint
compare_lengths(gconstpointer a, gconstpointer b)
{
    size_t x = *(const size_t *)a;
    size_t y = *(const size_t *)b;
    return (x < y) - (x > y);
}

static void
add_length(GArray *lengths, size_t length)
{
    for (guint i = 0; i < lengths->len; i++) {
        if (g_array_index(lengths, size_t, i) == length) {
            return;
        }
    }
    g_array_append_val(lengths, length);
}

void
AqSiteConfig_Index(AqSiteConfig *config)
{
    struct AqQueueIndex *index = calloc(1, sizeof(*index));
    index->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    index->by_route =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    index->prefix_lengths = g_array_new(FALSE, FALSE, sizeof(size_t));
    for (size_t i = 0; i < config->queue_count; i++) {
        AqQueueConfig *queue = &config->queues[i];
        size_t length = strlen(queue->prefix);
        if (!g_hash_table_contains(index->by_name, queue->name)) {
            g_hash_table_insert(index->by_name, queue->name, queue);
        }
        g_hash_table_replace(
            index->by_route,
            route_key(queue->host, strlen(queue->host), queue->prefix, length),
            queue);
        add_length(index->prefix_lengths, length);
    }
    g_array_sort(index->prefix_lengths, compare_lengths);
    index->workspaces = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < config->workspace_count; i++) {
        AqWorkspaceConfig *workspace = &config->workspaces[i];
        g_hash_table_replace(index->workspaces, workspace->name, workspace);
    }
    index->keys = workspace_keys_create(config);
    free_index(config->index);
    config->index = index;
}

/* Finds the queue of a host, given by its first host_length bytes, with the
 * longest prefix of the path. */
static const AqQueueConfig *
match_host(const struct AqQueueIndex *index, const char *host,
           size_t host_length, const char *path)
{
    size_t path_length = strlen(path);
    for (guint i = 0; i < index->prefix_lengths->len; i++) {
        size_t length = g_array_index(index->prefix_lengths, size_t, i);
        if (length > path_length) {
            continue;
        }
        char *key = route_key(host, host_length, path, length);
        const AqQueueConfig *queue = g_hash_table_lookup(index->by_route, key);
        g_free(key);
        if (queue != NULL) {
            return queue;
        }
    }
    return NULL;
}

/* As AqSiteConfig_Match(): the queue's host is the request's whole host or
 * what stands before a colon in it. */
static const AqQueueConfig *
match_indexed(const struct AqQueueIndex *index, const char *host,
              const char *path)
{
    const AqQueueConfig *best = NULL;
    size_t best_length = 0;
    size_t end = 0;
    do {
        end += strcspn(host + end, ":");
        const AqQueueConfig *queue = match_host(index, host, end, path);
        size_t length = queue != NULL ? strlen(queue->prefix) : 0;
        /* The last one of the configuration counts, as without an index. */
        if (queue != NULL && (best == NULL || length > best_length ||
                              (length == best_length && queue > best))) {
            best = queue;
            best_length = length;
        }
    } while (host[end++] != '\0');
    return best;
}

const AqQueueConfig *
AqSiteConfig_Match(const AqSiteConfig *config, const char *host,
                   const char *path)
{
    const AqQueueConfig *best = NULL;
    size_t best_length = 0;
    if (config->index != NULL) {
        return match_indexed(config->index, host, path);
    }
    for (size_t i = 0; i < config->queue_count; i++) {
        const AqQueueConfig *queue = &config->queues[i];
        size_t length = strlen(queue->prefix);
        if (length >= best_length && is_host(host, queue->host) &&
            strncmp(path, queue->prefix, length) == 0) {
            best = queue;
            best_length = length;
        }
    }
    return best;
}

const AqQueueConfig *
AqSiteConfig_FindQueue(const AqSiteConfig *config, const char *name)
{
    if (config->index != NULL) {
        return g_hash_table_lookup(config->index->by_name, name);
    }
    for (size_t i = 0; i < config->queue_count; i++) {
        if (strcmp(config->queues[i].name, name) == 0) {
            return &config->queues[i];
        }
    }
    return NULL;
}

const AqQueueConfig *
AqSiteConfig_FindQueueOfPool(const AqSiteConfig *config, const char *name,
                             const char *pool)
{
    const AqQueueConfig *queue = AqSiteConfig_FindQueue(config, name);
    return queue != NULL && strcmp(queue->pool, pool) == 0 ? queue : NULL;
}

const AqPoolConfig *
AqSiteConfig_FindPool(const AqSiteConfig *config, const char *name)
{
    for (size_t i = 0; i < config->pool_count; i++) {
        if (strcmp(config->pools[i].name, name) == 0) {
            return &config->pools[i];
        }
    }
    return NULL;
}

const char *
AqSiteConfig_SparePool(const AqSiteConfig *config)
{
    for (size_t i = 0; i < config->pool_count; i++) {
        if (config->pools[i].is_spare) {
            return config->pools[i].name;
        }
    }
    return NULL;
}

const AqWorkspaceConfig *
AqSiteConfig_FindWorkspace(const AqSiteConfig *config, const char *name)
{
    if (config->index != NULL) {
        return g_hash_table_lookup(config->index->workspaces, name);
    }
    for (size_t i = 0; i < config->workspace_count; i++) {
        if (strcmp(config->workspaces[i].name, name) == 0) {
            return &config->workspaces[i];
        }
    }
    return NULL;
}

const AqWorkspaceConfig *
AqSiteConfig_FindKey(const AqSiteConfig *config, const char *key)
{
    if (config->index == NULL || key == NULL) {
        return NULL;
    }
    return workspace_keys_find(config->index->keys, key);
}
