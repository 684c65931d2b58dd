#ifndef RECORD_CODEC_H
#define RECORD_CODEC_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

/* What the stored records share: msgpack values with checked types. */

/* Writer of a packer whose data is an AqBuffer. */
int record_write(void *buffer, const char *bytes, size_t size);
/* NULL is written as nil. */
void record_pack_text(msgpack_packer *pk, const char *text);
/* Initialises "unpacked" and unpacks the first value into it; false for
 * damaged bytes.  The caller destroys it in both cases.
 * msgpack-c allocates what the count of an array says before it reads the
 * elements, which a damaged count makes 128 GB; so the counts are checked
 * against the bytes first. */
bool record_unpack(msgpack_unpacked *unpacked, const char *bytes, size_t size);
/* Reads a whole number from "low" to "high". */
bool record_int(const msgpack_object *object, int64_t low, int64_t high,
                int64_t *value);
/* Reads a text, or NULL for nil; *value is new. */
bool record_text(const msgpack_object *object, char **value);

#endif
