#include "platform_kv.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

struct AqKv {
    GTree *items; /* key -> AqKvItem, including deleted keys */
    /* Modification index after the last write; 1 in an unwritten table. */
    uint64_t index;
};

static int
compare_keys(const void *a, const void *b, void *context)
{
    (void)context;
    return strcmp(a, b);
}

static void
free_item(void *at)
{
    AqKvItem *item = at;
    free(item->key);
    free(item->value);
    free(item);
}

AqKv *
AqKv_Create(void)
{
    AqKv *kv = calloc(1, sizeof(*kv));
    kv->items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
    kv->index = 1;
    return kv;
}

void
AqKv_Destroy(AqKv *kv)
{
    g_tree_destroy(kv->items);
    free(kv);
}

const AqKvItem *
AqKv_Get(AqKv *kv, const char *key)
{
    const AqKvItem *item = g_tree_lookup(kv->items, key);
    return item != NULL && item->present ? item : NULL;
}

bool
AqKv_Put(AqKv *kv, const char *key, const void *value, size_t size,
         uint64_t cas)
{
    const AqKvItem *present = AqKv_Get(kv, key);
    uint64_t found = present != NULL ? present->modify_index : 0;
    if (cas != AQ_KV_NO_CAS && cas != found) {
        return false;
    }
    AqKvItem *item = g_tree_lookup(kv->items, key);
    if (item == NULL) {
        item = calloc(1, sizeof(*item));
        item->key = strdup(key);
        g_tree_insert(kv->items, item->key, item);
    }
    kv->index++;
    if (!item->present) {
        item->create_index = kv->index;
    }
    free(item->value);
    item->value = malloc(size + 1);
    if (size > 0) {
        memcpy(item->value, value, size);
    }
    item->size = size;
    item->modify_index = kv->index;
    item->present = true;
    return true;
}

/* Marks an item as deleted by the write that gave the table this modification
 * index. */
static void
mark_deleted(AqKvItem *item, uint64_t index)
{
    free(item->value);
    item->value = NULL;
    item->size = 0;
    item->present = false;
    item->modify_index = index;
}

bool
AqKv_Delete(AqKv *kv, const char *key, uint64_t cas)
{
    AqKvItem *item = g_tree_lookup(kv->items, key);
    if (item == NULL || !item->present) {
        return true;
    }
    if (cas != AQ_KV_NO_CAS && cas != item->modify_index) {
        return false;
    }
    mark_deleted(item, ++kv->index);
    return true;
}

/* Returns the first node of the table whose key starts with prefix or sorts
 * after prefix, or NULL. */
static GTreeNode *
first_node(AqKv *kv, const char *prefix)
{
    return g_tree_lower_bound(kv->items, prefix);
}

/* Returns the item of a node when its key starts with prefix, else NULL. */
static AqKvItem *
item_with_prefix(GTreeNode *node, const char *prefix)
{
    if (node == NULL) {
        return NULL;
    }
    AqKvItem *item = g_tree_node_value(node);
    return strncmp(item->key, prefix, strlen(prefix)) == 0 ? item : NULL;
}

void
AqKv_DeletePrefix(AqKv *kv, const char *prefix)
{
    AqKvItem *item;
    uint64_t index = kv->index + 1;
    for (GTreeNode *at = first_node(kv, prefix);
         (item = item_with_prefix(at, prefix)) != NULL;
         at = g_tree_node_next(at)) {
        if (item->present) {
            mark_deleted(item, index);
            kv->index = index;
        }
    }
}

void
AqKv_Each(AqKv *kv, const char *prefix,
          void (*visit)(void *context, const AqKvItem *item), void *context)
{
    const AqKvItem *item;
    for (GTreeNode *at = first_node(kv, prefix);
         (item = item_with_prefix(at, prefix)) != NULL;
         at = g_tree_node_next(at)) {
        if (item->present) {
            visit(context, item);
        }
    }
}

uint64_t
AqKv_KeyIndex(AqKv *kv, const char *key)
{
    const AqKvItem *item = g_tree_lookup(kv->items, key);
    return item != NULL ? item->modify_index : kv->index;
}

uint64_t
AqKv_PrefixIndex(AqKv *kv, const char *prefix)
{
    const AqKvItem *item;
    uint64_t index = 0;
    for (GTreeNode *at = first_node(kv, prefix);
         (item = item_with_prefix(at, prefix)) != NULL;
         at = g_tree_node_next(at)) {
        if (item->modify_index > index) {
            index = item->modify_index;
        }
    }
    return index > 0 ? index : kv->index;
}
