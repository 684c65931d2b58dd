#include "id_table.h"

#include <stdlib.h>
#include <string.h>

enum {
    /* Minimum number of slots of a table that is not empty. */
    MIN_CAPACITY = 64
};

void
AqIdTable_Clear(AqIdTable *table)
{
    free(table->slots);
    memset(table, 0, sizeof(*table));
}

/* Returns the slot where the search for a key starts.  All keys of a table may
 * agree in their first byte modulo AQ_CLAIM_PARTITIONS, which selects the
 * partition, so the slot is derived from the last eight bytes. */
static size_t
home_slot(const AqIdTable *table, const uint8_t key[16])
{
    uint64_t bits;
    memcpy(&bits, key + 8, sizeof(bits));
    return (size_t)(((__uint128_t)bits * table->capacity) >> 64);
}

static size_t
next_slot(const AqIdTable *table, size_t i)
{
    return i + 1 < table->capacity ? i + 1 : 0;
}

/* Returns the position in table->slots of the record with the key, or of the
 * free slot where a record with the key belongs. */
static size_t
probe(const AqIdTable *table, const uint8_t key[16])
{
    size_t i = home_slot(table, key);
    while (table->slots[i].wall_ms != 0 &&
           memcmp(table->slots[i].key, key, 16) != 0) {
        i = next_slot(table, i);
    }
    return i;
}

/* Replaces table->slots by an array of "capacity" slots and keeps only the
 * records whose wall_ms (Unix time) is oldest_ms or later. */
static void
rebuild(AqIdTable *table, size_t capacity, int64_t oldest_ms)
{
    AqIdTable rebuilt = {calloc(capacity, sizeof(AqIdRecord)), capacity, 0};
    if (rebuilt.slots == NULL) {
        abort();
    }
    for (size_t i = 0; i < table->capacity; i++) {
        const AqIdRecord *record = &table->slots[i];
        if (record->wall_ms != 0 && record->wall_ms >= oldest_ms) {
            rebuilt.slots[probe(&rebuilt, record->key)] = *record;
            rebuilt.count++;
        }
    }
    free(table->slots);
    *table = rebuilt;
}

AqIdRecord *
AqIdTable_Find(const AqIdTable *table, const uint8_t key[16])
{
    if (table->count == 0) {
        return NULL;
    }
    AqIdRecord *record = &table->slots[probe(table, key)];
    return record->wall_ms != 0 ? record : NULL;
}

void
AqIdTable_Put(AqIdTable *table, const uint8_t key[16], uint64_t nonce,
              int64_t wall_ms)
{
    /* A table is at most 7/8 full and grows by half: 37 to 55 bytes per
     * record. */
    if ((table->count + 1) * 8 > table->capacity * 7) {
        size_t larger = table->capacity + table->capacity / 2;
        rebuild(table, larger > MIN_CAPACITY ? larger : MIN_CAPACITY, 0);
    }
    AqIdRecord *record = &table->slots[probe(table, key)];
    if (record->wall_ms == 0) {
        table->count++;
        memcpy(record->key, key, 16);
    }
    record->nonce = nonce;
    record->wall_ms = wall_ms;
}

/* Returns the number of linear probing steps from one slot to another. */
static size_t
distance(const AqIdTable *table, size_t from, size_t to)
{
    return to >= from ? to - from : to + table->capacity - from;
}

/* Moves later records of the same cluster (adjoining used slots) back over the
 * removed record, so that a search for one of these records does not end at a
 * free slot. */
void
AqIdTable_Remove(AqIdTable *table, AqIdRecord *record)
{
    size_t gap = (size_t)(record - table->slots);
    for (size_t i = next_slot(table, gap); table->slots[i].wall_ms != 0;
         i = next_slot(table, i)) {
        size_t home = home_slot(table, table->slots[i].key);
        if (distance(table, home, i) >= distance(table, gap, i)) {
            table->slots[gap] = table->slots[i];
            gap = i;
        }
    }
    memset(&table->slots[gap], 0, sizeof(AqIdRecord));
    table->count--;
}

void
AqIdTable_Sweep(AqIdTable *table, int64_t oldest_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < table->capacity; i++) {
        int64_t wall_ms = table->slots[i].wall_ms;
        kept += wall_ms != 0 && wall_ms >= oldest_ms;
    }
    if (kept == table->count) {
        return;
    }
    if (kept == 0) {
        AqIdTable_Clear(table);
        return;
    }
    size_t capacity = kept + kept / 3;
    rebuild(table, capacity > MIN_CAPACITY ? capacity : MIN_CAPACITY,
            oldest_ms);
}

bool
AqIdTable_CheckConsistency(const AqIdTable *table)
{
    size_t count = 0;
    for (size_t i = 0; i < table->capacity; i++) {
        if (table->slots[i].wall_ms == 0) {
            continue;
        }
        count++;
        if (probe(table, table->slots[i].key) != i) {
            return false;
        }
    }
    return count == table->count && count * 8 <= table->capacity * 7;
}
