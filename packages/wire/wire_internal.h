#ifndef AQ_WIRE_INTERNAL_H
#define AQ_WIRE_INTERNAL_H

#include "aq_wire.h"

enum {
    WIRE_LENGTH_SIZE = 4, /* bytes of a frame's big-endian length field */
    WIRE_HEADER_SIZE = 5, /* bytes of a frame's length field and version */
    WIRE_MAX_DEPTH = 3,   /* levels of arrays: message, list, list element */
    WIRE_HASH_SIZE = 16,  /* bytes of an XXH3 hash of 128 bits */
    /* Most slots in one BORROW, LEND or RETURN message or slot lease. */
    WIRE_MAX_SLOTS = 10000
};

/* Longest fleet document, in bytes, that a FLEET message may announce.  The
 * document consists of two store values of at most 1 MB, the head and the
 * snapshot; the rest is space for JSON escapes. */
#define WIRE_MAX_DOCUMENT_BYTES ((int64_t)4 * 1024 * 1024)

/* Returns the name of a message type for error messages, or "unknown".  The
 * string has static storage. */
const char *wire_type_name(int type);

#endif
