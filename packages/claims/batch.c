#include "batch.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

enum {
    ENTRY_FIELDS = 5,
    MIN_ENTRY_BYTES = 23 /* encoded size of an entry with an empty holder and
                          * all numbers of one byte */
};

static int
write_bytes(void *data, const char *bytes, size_t size)
{
    AqBuffer_Append(data, bytes, size);
    return 0;
}

void
AqBatch_EncodeEntry(AqBuffer *out, const AqBatchEntry *entry)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, ENTRY_FIELDS);
    msgpack_pack_int(&packer, entry->op);
    msgpack_pack_bin_with_body(&packer, entry->hash, sizeof(entry->hash));
    msgpack_pack_str_with_body(&packer, entry->holder, strlen(entry->holder));
    msgpack_pack_uint64(&packer, entry->nonce);
    msgpack_pack_uint64(&packer, (uint64_t)entry->wall_ms);
}

void
AqBatch_EncodeHeader(AqBuffer *out, size_t count, const char *writer,
                     uint64_t nonce, int64_t wall_ms)
{
    AqBatchEntry header = {.op = AQ_BATCH_HEADER};
    header.nonce = nonce;
    header.wall_ms = wall_ms;
    strncpy(header.holder, writer, sizeof(header.holder) - 1);
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, write_bytes);
    msgpack_pack_array(&packer, count + 1);
    AqBatch_EncodeEntry(out, &header);
}

/* Reads the few msgpack types that a batch contains.  The unpacker of
 * msgpack-c allocates an array of the announced length before it has read the
 * elements, so that a store value of five bytes could make it allocate 100 GB;
 * this reader allocates nothing. */
typedef struct {
    const uint8_t *at;
    size_t left;
} Reader;

static bool
read_raw(Reader *reader, void *out, size_t size)
{
    if (reader->left < size) {
        return false;
    }
    memcpy(out, reader->at, size);
    reader->at += size;
    reader->left -= size;
    return true;
}

static bool
read_big_endian(Reader *reader, size_t size, uint64_t *value)
{
    uint8_t bytes[8];
    if (!read_raw(reader, bytes, size)) {
        return false;
    }
    *value = 0;
    for (size_t i = 0; i < size; i++) {
        *value = *value << 8 | bytes[i];
    }
    return true;
}

static bool
read_uint(Reader *reader, uint64_t *value)
{
    uint8_t tag;
    if (!read_raw(reader, &tag, 1)) {
        return false;
    }
    if (tag < 0x80) {
        *value = tag;
        return true;
    }
    if (tag < 0xcc || tag > 0xcf) {
        return false;
    }
    return read_big_endian(reader, (size_t)1 << (tag - 0xcc), value);
}

static bool
read_array(Reader *reader, uint64_t *count)
{
    uint8_t tag;
    if (!read_raw(reader, &tag, 1)) {
        return false;
    }
    if ((tag & 0xf0) == 0x90) {
        *count = tag & 0x0f;
        return true;
    }
    if (tag != 0xdc && tag != 0xdd) {
        return false;
    }
    return read_big_endian(reader, tag == 0xdc ? 2 : 4, count);
}

static bool
read_hash(Reader *reader, uint8_t hash[16])
{
    uint8_t head[2];
    return read_raw(reader, head, 2) && head[0] == 0xc4 && head[1] == 16 &&
           read_raw(reader, hash, 16);
}

static bool
read_name(Reader *reader, char name[AQ_WIRE_MAX_NAME])
{
    uint8_t tag;
    uint64_t size;
    if (!read_raw(reader, &tag, 1)) {
        return false;
    }
    if ((tag & 0xe0) == 0xa0) {
        size = tag & 0x1f;
    }
    else if (tag != 0xd9 || !read_big_endian(reader, 1, &size)) {
        return false;
    }
    if (size >= AQ_WIRE_MAX_NAME || !read_raw(reader, name, size)) {
        return false;
    }
    name[size] = '\0';
    return memchr(name, '\0', size) == NULL;
}

static bool
read_entry(Reader *reader, AqBatchEntry *entry)
{
    uint64_t fields, op, wall;
    if (!read_array(reader, &fields) || fields != ENTRY_FIELDS ||
        !read_uint(reader, &op) || op > AQ_BATCH_RELEASE ||
        !read_hash(reader, entry->hash) || !read_name(reader, entry->holder) ||
        !read_uint(reader, &entry->nonce) || !read_uint(reader, &wall) ||
        wall == 0 || wall > INT64_MAX) {
        return false;
    }
    entry->op = (int)op;
    entry->wall_ms = (int64_t)wall;
    return true;
}

static bool
read_entries(Reader *reader, AqBatch *batch)
{
    for (size_t i = 0; i < batch->count; i++) {
        AqBatchEntry *entry = &batch->entries[i];
        if (!read_entry(reader, entry) || entry->op == AQ_BATCH_HEADER) {
            return false;
        }
        if (entry->wall_ms > batch->newest_wall_ms) {
            batch->newest_wall_ms = entry->wall_ms;
        }
    }
    return reader->left == 0;
}

bool
AqBatch_Decode(const void *bytes, size_t size, AqBatch *batch, AqError *error)
{
    Reader reader = {bytes, size};
    AqBatchEntry header;
    uint64_t count;
    memset(batch, 0, sizeof(*batch));
    if (!read_array(&reader, &count) || count == 0 ||
        count - 1 > AQ_BATCH_MAX_ENTRIES || !read_entry(&reader, &header) ||
        header.op != AQ_BATCH_HEADER ||
        count - 1 > reader.left / MIN_ENTRY_BYTES) {
        goto error;
    }
    memcpy(batch->writer, header.holder, sizeof(batch->writer));
    batch->nonce = header.nonce;
    batch->newest_wall_ms = header.wall_ms;
    batch->count = (size_t)count - 1;
    batch->entries = calloc(batch->count + 1, sizeof(AqBatchEntry));
    if (batch->entries == NULL) {
        abort();
    }
    if (read_entries(&reader, batch)) {
        return true;
    }

error:
    AqBatch_Clear(batch);
    return AqError_Set(error, AQ_ERR_PROTOCOL,
                       "claim batch of %zu bytes is malformed at byte %zu; "
                       "delete it once its claims are older than the "
                       "retention",
                       size, size - reader.left);
}

void
AqBatch_Clear(AqBatch *batch)
{
    free(batch->entries);
    memset(batch, 0, sizeof(*batch));
}
