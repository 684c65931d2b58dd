#ifndef WAVE_TABLE_H
#define WAVE_TABLE_H

#include "aq_waves.h"
#include "node.h"

/* The maintenance waves that the operator has requested.  Each has a record
 * in the store that the owners of all pools share; the table holds the copy
 * that this node received last. */

typedef struct WaveTable WaveTable;

typedef struct {
    AqWave *wave;          /* owned by the table */
    uint64_t record_index; /* its store index; 0: no record is known */
    bool is_record_read;   /* the record was read, or a listing showed none */
} WaveEntry;

WaveTable *wave_table_create(NodeContext *node);
void wave_table_destroy(WaveTable *table);

/* Lists and watches the records from now on.  Only nodes that own a pool need
 * this; each change of a record costs a store call of every watching node. */
void wave_table_follow(WaveTable *table);
/* Adds a wave, unless one with its number is there; clears "spec". */
void wave_table_add(WaveTable *table, AqWaveSpec *spec);
/* Calls "visit" for each wave whose record was read, or is known not to
 * exist. */
void wave_table_each(WaveTable *table,
                     void (*visit)(void *context, WaveEntry *entry),
                     void *context);
/* Returns whether any wave has the VM in this state. */
bool wave_table_has(WaveTable *table, const char *machine, AqWaveState state);

#endif
