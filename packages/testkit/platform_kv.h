#ifndef AQ_PLATFORM_KV_H
#define AQ_PLATFORM_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Key-value table with the modification indexes of the Consul KV API.  One
 * modification index serves the whole table and grows with each write. */
typedef struct AqKv AqKv;

/* Key and value in an AqKv table; a deleted key keeps its item. */
typedef struct {
    char *key;
    char *value;
    size_t size; /* size of the value in bytes */
    /* Modification index of the table after the write that created the key. */
    uint64_t create_index;
    /* Modification index of the table after the last write to the key or, when
     * the key is absent, after the deletion of the key. */
    uint64_t modify_index;
    /* Whether the table has the key; false once the key was deleted. */
    bool present;
} AqKvItem;

/* Value of the parameter cas (compare-and-swap) that makes a write
 * unconditional. */
#define AQ_KV_NO_CAS UINT64_MAX

AqKv *AqKv_Create(void);
void AqKv_Destroy(AqKv *kv);

/* Returns the item of a key, or NULL when the key is absent.  The item is
 * owned by the table and valid until the next write to the table. */
const AqKvItem *AqKv_Get(AqKv *kv, const char *key);
/* Sets the value of a key to a copy of "size" bytes.  Returns false without a
 * change when cas is neither AQ_KV_NO_CAS nor the key's modify_index; an
 * absent key has 0. */
bool AqKv_Put(AqKv *kv, const char *key, const void *value, size_t size,
              uint64_t cas);
/* Deletes a key.  Returns false without a change when the key exists and cas
 * is neither AQ_KV_NO_CAS nor the key's modify_index. */
bool AqKv_Delete(AqKv *kv, const char *key, uint64_t cas);
/* Deletes all keys that start with prefix. */
void AqKv_DeletePrefix(AqKv *kv, const char *prefix);
/* Calls visit for each item whose key starts with prefix, in key order. */
void AqKv_Each(AqKv *kv, const char *prefix,
               void (*visit)(void *context, const AqKvItem *item),
               void *context);
/* Returns the modification index for blocking queries on a key: the key's
 * modify_index, or the index of the whole table for a key that was never
 * written.  Never 0. */
uint64_t AqKv_KeyIndex(AqKv *kv, const char *key);
/* Returns the modification index for blocking queries on a prefix: the highest
 * modify_index of the keys with the prefix, deleted keys included, or the
 * index of the whole table without such keys.  Never 0. */
uint64_t AqKv_PrefixIndex(AqKv *kv, const char *prefix);

#endif
