#include "wire_internal.h"

/* Read position in the msgpack bytes under check.  msgpack-c allocates an
 * array as soon as it has read the element count, so that a header of five
 * bytes could make it allocate gigabytes.  The check therefore limits every
 * count to the number of remaining bytes before msgpack-c decodes them. */
typedef struct {
    const unsigned char *at;  /* next byte to read */
    const unsigned char *end; /* just after the last byte under check */
    AqError *error;
} ShapeCursor;

static size_t
bytes_left(const ShapeCursor *cursor)
{
    return (size_t)(cursor->end - cursor->at);
}

/* Reads a big-endian number of "width" bytes into *number.  Returns false and
 * sets the error if fewer bytes are left. */
static bool
read_number(ShapeCursor *cursor, size_t width, uint64_t *number)
{
    if (bytes_left(cursor) < width) {
        return AqError_Set(cursor->error, AQ_ERR_PROTOCOL,
                           "msgpack value ends early: %zu bytes left, %zu "
                           "needed; the peer sent a truncated message",
                           bytes_left(cursor), width);
    }
    *number = 0;
    for (size_t i = 0; i < width; i++) {
        *number = *number << 8 | *cursor->at++;
    }
    return true;
}

static bool
skip_bytes(ShapeCursor *cursor, uint64_t count)
{
    if (count > bytes_left(cursor)) {
        return AqError_Set(cursor->error, AQ_ERR_PROTOCOL,
                           "msgpack string or binary of %llu bytes, but only "
                           "%zu are left; the peer sent a truncated message",
                           (unsigned long long)count, bytes_left(cursor));
    }
    cursor->at += count;
    return true;
}

static bool
skip_length_prefixed(ShapeCursor *cursor, size_t width)
{
    uint64_t count = 0;
    return read_number(cursor, width, &count) && skip_bytes(cursor, count);
}

/* Reads the header of one msgpack value, and skips the content of a string,
 * binary or integer.  Sets *elements to the number of elements that follow if
 * the value is an array, otherwise to 0. */
static bool
read_value_header(ShapeCursor *cursor, uint64_t *elements)
{
    uint64_t tag = 0;
    *elements = 0;
    if (!read_number(cursor, 1, &tag)) {
        return false;
    }
    if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc2 || tag == 0xc3) {
        return true;
    }
    if (tag >= 0x90 && tag <= 0x9f) {
        *elements = tag & 0x0f;
        return true;
    }
    if (tag >= 0xa0 && tag <= 0xbf) {
        return skip_bytes(cursor, tag & 0x1f);
    }
    switch (tag) {
    case 0xc4: /* binary with a length field of 8, 16 or 32 bits */
    case 0xc5:
    case 0xc6:
        return skip_length_prefixed(cursor, (size_t)1 << (tag - 0xc4));
    case 0xcc: /* unsigned integer of 8, 16, 32 or 64 bits */
    case 0xcd:
    case 0xce:
    case 0xcf:
        return skip_bytes(cursor, (uint64_t)1 << (tag - 0xcc));
    case 0xd0: /* signed integer of 8, 16, 32 or 64 bits */
    case 0xd1:
    case 0xd2:
    case 0xd3:
        return skip_bytes(cursor, (uint64_t)1 << (tag - 0xd0));
    case 0xd9: /* string with a length field of 8, 16 or 32 bits */
    case 0xda:
    case 0xdb:
        return skip_length_prefixed(cursor, (size_t)1 << (tag - 0xd9));
    case 0xdc: /* array with an element count of 16 or 32 bits */
        return read_number(cursor, 2, elements);
    case 0xdd:
        return read_number(cursor, 4, elements);
    default:
        return AqError_Set(cursor->error, AQ_ERR_PROTOCOL,
                           "msgpack type byte 0x%02x is not allowed; peers "
                           "send arrays, strings, binaries, booleans and "
                           "integers only",
                           (unsigned)tag);
    }
}

static bool
check_array(ShapeCursor *cursor, uint64_t elements, int depth)
{
    if (depth >= WIRE_MAX_DEPTH) {
        return AqError_Set(cursor->error, AQ_ERR_PROTOCOL,
                           "msgpack arrays are nested more than %d deep; no "
                           "message has such a form",
                           WIRE_MAX_DEPTH);
    }
    if (elements > bytes_left(cursor)) {
        return AqError_Set(cursor->error, AQ_ERR_PROTOCOL,
                           "msgpack array of %llu elements, but only %zu "
                           "bytes are left; the peer sent a bad count",
                           (unsigned long long)elements, bytes_left(cursor));
    }
    return true;
}

bool
AqWire_CheckShape(const char *bytes, size_t size, AqError *error)
{
    ShapeCursor cursor = {(const unsigned char *)bytes,
                          (const unsigned char *)bytes + size, error};
    /* Number of elements still to read of the array at each level of nesting.
     */
    uint64_t elements_left[WIRE_MAX_DEPTH];
    int depth = 0;
    do {
        uint64_t elements = 0;
        if (!read_value_header(&cursor, &elements)) {
            return false;
        }
        if (depth > 0) {
            elements_left[depth - 1]--;
        }
        if (elements > 0) {
            if (!check_array(&cursor, elements, depth)) {
                return false;
            }
            elements_left[depth++] = elements;
        }
        while (depth > 0 && elements_left[depth - 1] == 0) {
            depth--;
        }
    } while (depth > 0);
    if (cursor.at != cursor.end) {
        return AqError_Set(error, AQ_ERR_PROTOCOL,
                           "%zu bytes follow the message in its frame; a "
                           "frame holds exactly one message",
                           bytes_left(&cursor));
    }
    return true;
}
