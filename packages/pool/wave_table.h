#ifndef WAVE_TABLE_H
#define WAVE_TABLE_H

#include "aq_waves.h"
#include "node.h"

/* The waves that the operator has asked for, with their shared records as
 * this node has last seen them. */

typedef struct WaveTable WaveTable;

typedef struct {
    AqWave *wave;
    uint64_t index; /* of the record; 0: there is none */
    bool is_read;   /* the record, or that there is none, has been seen */
} WaveEntry;

WaveTable *wave_table_create(NodeContext *node);
void wave_table_destroy(WaveTable *table);

/* Reads and follows the records from now on, for a node that owns a pool;
 * each change of a record is a call of every node that follows it. */
void wave_table_follow(WaveTable *table);
/* A wave of the operator; the spec is taken. */
void wave_table_add(WaveTable *table, AqWaveSpec *spec);
/* Calls "visit" for each wave whose record has been read. */
void wave_table_each(WaveTable *table,
                     void (*visit)(void *context, WaveEntry *entry),
                     void *context);
/* Whether a wave has the VM in that state. */
bool wave_table_has(WaveTable *table, const char *machine, AqWaveState state);

#endif
