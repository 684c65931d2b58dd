#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* Encoding and checked decoding of msgpack values for the stored records. */

/* Write callback of a msgpack_packer whose data is an AqBuffer; returns 0. */
int record_write(void *buffer, const char *bytes, size_t size);
/* Packs a text; NULL is written as nil. */
void record_pack_text(msgpack_packer *pk, const char *text);
/* Initialises *unpacked and unpacks the first value into it; false for damaged
 * bytes.  The caller destroys *unpacked in both cases.
 * Array counts are checked against the number of bytes first, because
 * msgpack-c allocates the memory for all elements before it reads them: a
 * damaged count made that 128 GB. */
bool record_unpack(msgpack_unpacked *unpacked, const char *bytes, size_t size);
/* Reads an integer; false when it is not one or not from "low" to "high". */
bool record_int(const msgpack_object *object, int64_t low, int64_t high,
                int64_t *value);
/* Reads a text, or NULL for nil; false for other types.  The caller frees
 * *value. */
bool record_text(const msgpack_object *object, char **value);

#endif
