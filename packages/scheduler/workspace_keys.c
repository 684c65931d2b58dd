#include "workspace_keys.h"

#include <glib.h>
#include <string.h>

#include "aq_hash.h"

/* The table is keyed by a 64-bit hash of the key, so that a lookup reads no
 * stored key unless the whole hash agrees, and then reads all of it. */

typedef struct {
    const char *key;                    /* borrowed */
    const AqWorkspaceConfig *workspace; /* borrowed */
} Entry;

struct WorkspaceKeys {
    GHashTable *by_hash; /* hash of a key -> GArray of Entry */
};

static void
free_entries(gpointer entries)
{
    g_array_free(entries, TRUE);
}

/* Whether the texts are equal; the time depends on the lengths only. */
static bool
is_equal(const char *a, const char *b)
{
    size_t length = strlen(a);
    unsigned char difference = 0;
    if (strlen(b) != length) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        difference |= (unsigned char)(a[i] ^ b[i]);
    }
    return difference == 0;
}

static void
add_key(WorkspaceKeys *keys, const char *key,
        const AqWorkspaceConfig *workspace)
{
    Entry entry = {key, workspace};
    gint64 hash = (gint64)AqHash_String(key);
    GArray *entries = g_hash_table_lookup(keys->by_hash, &hash);
    if (entries == NULL) {
        entries = g_array_new(FALSE, FALSE, sizeof(Entry));
        g_hash_table_insert(keys->by_hash, g_memdup2(&hash, sizeof(hash)),
                            entries);
    }
    g_array_append_val(entries, entry);
}

const AqWorkspaceConfig *
workspace_keys_find(const WorkspaceKeys *keys, const char *key)
{
    gint64 hash = (gint64)AqHash_String(key);
    const GArray *entries = g_hash_table_lookup(keys->by_hash, &hash);
    for (guint i = 0; entries != NULL && i < entries->len; i++) {
        const Entry *entry = &g_array_index(entries, Entry, i);
        if (is_equal(entry->key, key)) {
            return entry->workspace;
        }
    }
    return NULL;
}

WorkspaceKeys *
workspace_keys_create(const AqSiteConfig *config)
{
    WorkspaceKeys *keys = g_new0(WorkspaceKeys, 1);
    keys->by_hash = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                          free_entries);
    for (size_t i = 0; i < config->workspace_count; i++) {
        const AqWorkspaceConfig *workspace = &config->workspaces[i];
        for (size_t j = 0; j < workspace->key_count; j++) {
            add_key(keys, workspace->keys[j], workspace);
        }
    }
    return keys;
}

void
workspace_keys_destroy(WorkspaceKeys *keys)
{
    if (keys != NULL) {
        g_hash_table_destroy(keys->by_hash);
        g_free(keys);
    }
}
