#ifndef WAVE_BOOK_H
#define WAVE_BOOK_H

#include "aq_waves.h"
#include "node.h"

/* The waves that the operator has asked for, with their shared records as
 * this node has last seen them. */

typedef struct WaveBook WaveBook;

typedef struct {
    AqWave *wave;
    uint64_t index; /* of the record; 0: there is none */
    bool is_read;   /* the record, or that there is none, has been seen */
} WaveEntry;

WaveBook *wave_book_create(NodeContext *node);
void wave_book_destroy(WaveBook *book);

/* Reads and follows the records from now on, for a node that owns a pool;
 * each change of a record is a call of every node that follows it. */
void wave_book_follow(WaveBook *book);
/* A wave of the operator; the spec is taken. */
void wave_book_add(WaveBook *book, AqWaveSpec *spec);
/* Calls "visit" for each wave whose record has been read. */
void wave_book_each(WaveBook *book,
                    void (*visit)(void *context, WaveEntry *entry),
                    void *context);
/* Whether a wave has the VM in that state. */
bool wave_book_has(WaveBook *book, const char *machine, AqWaveState state);

#endif
