#ifndef WAVE_TABLE_H
#define WAVE_TABLE_H

#include "aq_waves.h"
#include "node.h"

/* The maintenance waves that the operator has requested.  Each wave has a
 * record in the store that the owners of all pools share; the table holds the
 * copy of the record that this node received last. */

typedef struct WaveTable WaveTable;

typedef struct {
    AqWave *wave; /* owned by the table */
    /* Store revision of the wave's record as last read; 0: no record was read.
     */
    uint64_t record_index;
    /* The wave's record was read, or a listing of the store showed that there
     * is none. */
    bool is_record_read;
} WaveEntry;

WaveTable *wave_table_create(NodeContext *node);
void wave_table_destroy(WaveTable *table);

/* Starts to list and watch the waves' records in the store.  Only nodes that
 * own a pool need this; each change of a record costs a store call of every
 * watching node. */
void wave_table_follow(WaveTable *table);
/* Adds a wave, unless the table has one with the same number.  "spec" is
 * copied if the wave is added, and its contents are freed in both cases. */
void wave_table_add(WaveTable *table, AqWaveSpec *spec);
/* Calls "visit" for each wave whose record was read from the store, or is
 * known not to exist. */
void wave_table_each(WaveTable *table,
                     void (*visit)(void *context, WaveEntry *entry),
                     void *context);
/* Returns whether the VM with id "machine" is in state "state" in any wave. */
bool wave_table_has(WaveTable *table, const char *machine, AqWaveState state);

#endif
