#include "record_codec.h"

#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"

int
record_write(void *buffer, const char *bytes, size_t size)
{
    AqBuffer_Append(buffer, bytes, size);
    return 0;
}

void
record_pack_text(msgpack_packer *pk, const char *text)
{
    if (text == NULL) {
        msgpack_pack_nil(pk);
        return;
    }
    size_t size = strlen(text);
    msgpack_pack_str(pk, size);
    msgpack_pack_str_body(pk, text, size);
}

/* The part of some msgpack bytes that has not been scanned yet. */
typedef struct {
    const unsigned char *at;
    const unsigned char *end;
} Scanner;

enum {
    /* deepest nesting of arrays that scan_value() reads, which bounds its
     * recursion; more deeply nested bytes count as damaged; stored records
     * nest less deeply */
    MAX_DEPTH = 16
};

/* Reads a big-endian unsigned number of "bytes" bytes into *value; false when
 * fewer bytes are left. */
static bool
scan_number(Scanner *scan, size_t bytes, uint64_t *value)
{
    if ((size_t)(scan->end - scan->at) < bytes) {
        return false;
    }
    *value = 0;
    for (size_t i = 0; i < bytes; i++) {
        *value = *value << 8 | *scan->at++;
    }
    return true;
}

static bool
scan_skip(Scanner *scan, uint64_t bytes)
{
    if ((uint64_t)(scan->end - scan->at) < bytes) {
        return false;
    }
    scan->at += bytes;
    return true;
}

static bool scan_value(Scanner *scan, int depth);

static bool
scan_array(Scanner *scan, uint64_t count, int depth)
{
    /* Each array element takes at least one byte. */
    if (depth == MAX_DEPTH || (uint64_t)(scan->end - scan->at) < count) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!scan_value(scan, depth + 1)) {
            return false;
        }
    }
    return true;
}

/* Skips one msgpack value; false when the value is truncated or of a type that
 * stored records do not have. */
static bool
scan_value(Scanner *scan, int depth)
{
    uint64_t size;
    if (scan->at == scan->end) {
        return false;
    }
    unsigned type = *scan->at++;
    if (type <= 0x7f || type >= 0xe0 || type == 0xc0 || type == 0xc2 ||
        type == 0xc3) {
        /* a small number, nil or a bool has no further bytes */
        return true;
    }
    if (type >= 0x90 && type <= 0x9f) {
        return scan_array(scan, type & 0x0f, depth);
    }
    if (type >= 0xa0 && type <= 0xbf) {
        return scan_skip(scan, type & 0x1f);
    }
    if (type >= 0xcc && type <= 0xd3) {
        /* number of 1 to 8 bytes */
        return scan_skip(scan, (uint64_t)1 << (type & 3));
    }
    if (type >= 0xc4 && type <= 0xc6) { /* type codes of byte strings */
        return scan_number(scan, (size_t)1 << (type - 0xc4), &size) &&
               scan_skip(scan, size);
    }
    if (type >= 0xd9 && type <= 0xdb) { /* type codes of text strings */
        return scan_number(scan, (size_t)1 << (type - 0xd9), &size) &&
               scan_skip(scan, size);
    }
    if (type == 0xdc || type == 0xdd) {
        return scan_number(scan, type == 0xdc ? 2 : 4, &size) &&
               scan_array(scan, size, depth);
    }
    return false;
}

bool
record_unpack(msgpack_unpacked *unpacked, const char *bytes, size_t size)
{
    size_t offset = 0;
    msgpack_unpacked_init(unpacked);
    const unsigned char *start = (const unsigned char *)bytes;
    Scanner scan = {start, start + size};
    return scan_value(&scan, 0) &&
           msgpack_unpack_next(unpacked, bytes, size, &offset) ==
               MSGPACK_UNPACK_SUCCESS;
}

bool
record_int(const msgpack_object *object, int64_t low, int64_t high,
           int64_t *value)
{
    if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER) {
        if (object->via.u64 > INT64_MAX) {
            return false;
        }
        *value = (int64_t)object->via.u64;
    }
    else if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *value = object->via.i64;
    }
    else {
        return false;
    }
    return *value >= low && *value <= high;
}

bool
record_text(const msgpack_object *object, char **value)
{
    *value = NULL;
    if (object->type == MSGPACK_OBJECT_NIL) {
        return true;
    }
    if (object->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    /* msgpack-c gives a NULL pointer for an empty text. */
    *value = object->via.str.size == 0
                 ? strdup("")
                 : strndup(object->via.str.ptr, object->via.str.size);
    return true;
}
