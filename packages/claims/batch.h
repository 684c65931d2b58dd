#ifndef AQ_BATCH_H
#define AQ_BATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"
#include "aq_wire.h"

/* Format of a batch of claims and releases of request ids in the store:
 * msgpack [[op, id hash, holder, nonce, Unix time in ms]...].  The first
 * element is a header with op 0, a zero hash, the daemon that wrote the batch
 * in place of the holder, the nonce of the batch, and the Unix time in ms at
 * which the batch was encoded. */

enum {
    AQ_BATCH_HEADER = 0,
    AQ_BATCH_CLAIM = 1,
    AQ_BATCH_RELEASE = 2,
    /* 4,096 entries of at most 105 bytes keep a batch below the 1 MB limit of
     * a store value. */
    AQ_BATCH_MAX_ENTRIES = 4096
};

typedef struct {
    int op;
    uint8_t hash[16];
    uint64_t nonce;
    int64_t wall_ms; /* Unix time of the claim or release in ms, > 0 */
    char holder[AQ_WIRE_MAX_NAME];
} AqBatchEntry;

typedef struct {
    char writer[AQ_WIRE_MAX_NAME];
    uint64_t nonce;
    /* Latest Unix time in the header and the entries of the batch, in ms. */
    int64_t newest_wall_ms;
    AqBatchEntry *entries; /* owned; the claims and releases of the batch,
                            * without its header */
    size_t count;
} AqBatch;

/* Appends the header of a batch to *out; exactly "count" entries must be
 * appended after the header. */
void AqBatch_EncodeHeader(AqBuffer *out, size_t count, const char *writer,
                          uint64_t nonce, int64_t wall_ms);
void AqBatch_EncodeEntry(AqBuffer *out, const AqBatchEntry *entry);

/* Decodes a batch into *batch, to be freed with AqBatch_Clear.  Returns false
 * and sets AQ_ERR_PROTOCOL if the bytes are not exactly one batch in the
 * format that AqBatch_EncodeHeader and AqBatch_EncodeEntry write. */
bool AqBatch_Decode(const void *bytes, size_t size, AqBatch *batch,
                    AqError *error);
void AqBatch_Clear(AqBatch *batch);

#endif
