#include "wave_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_log.h"
#include "store_keys.h"
#include "prefix_view.h"

struct WaveTable {
    NodeContext *node;
    GHashTable *entries; /* wave number in decimal -> WaveEntry */
    bool is_watching;
    /* View of the waves' records in the store; NULL until is_watching is set
     * and a wave is added. */
    PrefixView *records;
};

static void
free_entry(void *value)
{
    WaveEntry *entry = value;
    AqWave_Destroy(entry->wave);
    free(entry);
}

static void
on_put(void *context, const AqStoreItem *item)
{
    WaveTable *table = context;
    WaveEntry *entry =
        g_hash_table_lookup(table->entries, item->key + strlen(KEYS_WAVES));
    if (entry == NULL || item->index <= entry->record_index) {
        return;
    }
    if (!AqWave_Decode(entry->wave, item->value, item->size)) {
        AqLog_Event(AQ_LOG_ERROR, "wave_unreadable", "key=%s index=%llu",
                    item->key, (unsigned long long)item->index);
        return;
    }
    entry->record_index = item->index;
    entry->is_record_read = true;
}

static void
on_removed(void *context, const char *key)
{
    (void)context;
    AqLog_Event(AQ_LOG_WARNING, "wave_record_removed", "key=%s", key);
}

static void
on_listed(void *context)
{
    WaveTable *table = context;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((WaveEntry *)value)->is_record_read = true;
    }
}

static const PrefixViewOps record_ops = {on_put, on_removed, on_listed, 0,
                                         false};

/* Lists the waves' records in the store anew, because a record received before
 * its wave was in the table was ignored. */
static void
read_records(WaveTable *table)
{
    if (table->is_watching && g_hash_table_size(table->entries) > 0) {
        prefix_view_destroy(table->records);
        table->records =
            prefix_view_create(table->node->loop, table->node->store,
                               KEYS_WAVES, &record_ops, table);
    }
}

void
wave_table_follow(WaveTable *table)
{
    if (!table->is_watching) {
        table->is_watching = true;
        read_records(table);
    }
}

void
wave_table_add(WaveTable *table, AqWaveSpec *spec)
{
    char name[32];
    snprintf(name, sizeof(name), "%lld", (long long)spec->number);
    if (g_hash_table_contains(table->entries, name)) {
        AqWaveSpec_Clear(spec);
        return;
    }
    WaveEntry *entry = calloc(1, sizeof(*entry));
    entry->wave = AqWave_Create(spec, AqLoop_Now(table->node->loop));
    AqLog_Event(AQ_LOG_INFO, "wave_seen",
                "wave=%s machines=%zu within_ms=%lld cap=%u", name,
                spec->machine_count, (long long)spec->within_ms, spec->cap);
    AqWaveSpec_Clear(spec);
    g_hash_table_insert(table->entries, g_strdup(name), entry);
    read_records(table);
}

void
wave_table_each(WaveTable *table,
                void (*visit)(void *context, WaveEntry *entry), void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        WaveEntry *entry = value;
        if (entry->is_record_read) {
            visit(context, entry);
        }
    }
}

bool
wave_table_has(WaveTable *table, const char *machine, AqWaveState state)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const WaveEntry *entry = value;
        int at = AqWave_Find(entry->wave, machine);
        if (at >= 0 && AqWave_State(entry->wave, (size_t)at) == state) {
            return true;
        }
    }
    return false;
}

WaveTable *
wave_table_create(NodeContext *node)
{
    WaveTable *table = calloc(1, sizeof(*table));
    table->node = node;
    table->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    return table;
}

void
wave_table_destroy(WaveTable *table)
{
    if (table != NULL) {
        prefix_view_destroy(table->records);
        g_hash_table_destroy(table->entries);
        free(table);
    }
}
