#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* Encoding and checked decoding of msgpack values for the stored records. */

/* Write callback of a msgpack_packer whose data is an AqBuffer, to which it
 * appends "bytes"; returns 0. */
int record_write(void *buffer, const char *bytes, size_t size);
/* Packs "text"; NULL is written as nil. */
void record_pack_text(msgpack_packer *pk, const char *text);
/* Initialises *unpacked and unpacks the first value of "bytes" into it; false
 * for damaged bytes.  The caller destroys *unpacked in both cases.  The counts
 * of arrays are first checked against the number of bytes, because msgpack-c
 * allocates the memory for all elements before reading them: a damaged count
 * once made msgpack-c allocate 128 GB. */
bool record_unpack(msgpack_unpacked *unpacked, const char *bytes, size_t size);
/* Sets *value to the integer of "object"; false when "object" is not an
 * integer or not from "low" to "high". */
bool record_int(const msgpack_object *object, int64_t low, int64_t high,
                int64_t *value);
/* Sets *value to a copy of the text of "object", or to NULL for nil; false for
 * other types.  The caller frees *value. */
bool record_text(const msgpack_object *object, char **value);

#endif
