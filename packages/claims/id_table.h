#ifndef AQ_ID_TABLE_H
#define AQ_ID_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Hash table with open addressing and 16-byte keys.  A record takes 32 bytes
 * and holds no pointer, because a daemon keeps every request id claimed within
 * the retention, one hour by default, in memory. */

typedef struct {
    uint8_t key[16];
    uint64_t nonce;
    /* Unix time of the claim or release in ms; 0 marks a free slot. */
    int64_t wall_ms;
} AqIdRecord;

typedef struct {
    AqIdRecord *slots; /* owned; array of "capacity" slots */
    size_t capacity;   /* number of slots */
    size_t count;      /* number of records */
} AqIdTable;

void AqIdTable_Clear(AqIdTable *table);
/* Returns the record of the key, borrowed until the table changes next, or
 * NULL if the table has none. */
AqIdRecord *AqIdTable_Find(const AqIdTable *table, const uint8_t key[16]);
/* Adds or replaces the record of the key; wall_ms must be > 0. */
void AqIdTable_Put(AqIdTable *table, const uint8_t key[16], uint64_t nonce,
                   int64_t wall_ms);
void AqIdTable_Remove(AqIdTable *table, AqIdRecord *record);
/* Removes all records whose wall_ms is below oldest_ms (Unix time in ms) and,
 * if there are any, rebuilds the table with fewer slots. */
void AqIdTable_Sweep(AqIdTable *table, int64_t oldest_ms);
/* Returns whether table->count is the number of used slots and at most 7/8 of
 * table->capacity, and every record can be found by its key. */
bool AqIdTable_CheckConsistency(const AqIdTable *table);

#endif
