#include "carrier_wire.h"

#include <glib.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "aq_wire.h"

enum {
    LENGTH_BYTES = 4,
    STRINGS_BLOCK_BYTES = 1024
};

/* ---- Encoding ----------------------------------------------------------- */

static int
append(void *data, const char *bytes, size_t size)
{
    AqBuffer_Append(data, bytes, size);
    return 0;
}

/* Appends room for the length of a frame; returns where it is. */
static size_t
begin_frame(AqBuffer *out)
{
    static const char none[LENGTH_BYTES] = {0};
    size_t at = out->size;
    AqBuffer_Append(out, none, sizeof(none));
    return at;
}

static void
end_frame(AqBuffer *out, size_t at)
{
    size_t size = out->size - at - LENGTH_BYTES;
    for (int i = 0; i < LENGTH_BYTES; i++) {
        out->bytes[at + (size_t)i] =
            (char)(size >> (8 * (LENGTH_BYTES - 1 - i)) & 0xff);
    }
}

static void
pack_text(msgpack_packer *pk, const char *text)
{
    size_t size = strlen(text);
    msgpack_pack_str(pk, size);
    msgpack_pack_str_body(pk, text, size);
}

enum {
    TASK_FIELDS = 4
};

static void
pack_task(msgpack_packer *pk, const AqTaskName *task)
{
    pack_text(pk, task->job);
    msgpack_pack_uint32(pk, task->occurrence);
    msgpack_pack_uint32(pk, task->step);
    msgpack_pack_uint32(pk, task->index);
}

void
carrier_encode_hello(const CarrierHello *hello, AqBuffer *out)
{
    msgpack_packer pk;
    size_t at = begin_frame(out);
    msgpack_packer_init(&pk, out, append);
    msgpack_pack_array(&pk, 4);
    msgpack_pack_int(&pk, CARRIER_HELLO);
    msgpack_pack_int64(&pk, hello->version);
    pack_text(&pk, hello->node);
    pack_text(&pk, hello->incarnation);
    end_frame(out, at);
}

static const uint32_t order_fields[] = {
    [CARRIER_START] = 4 + TASK_FIELDS + 5,
    [CARRIER_STOP] = 4 + TASK_FIELDS + 2,
    [CARRIER_RENEW] = 4 + 4,
    [CARRIER_PACE] = 4 + TASK_FIELDS + 3,
};

void
carrier_encode_order(CarrierKind kind, const CarrierOrder *order,
                     AqBuffer *out)
{
    msgpack_packer pk;
    size_t at = begin_frame(out);
    msgpack_packer_init(&pk, out, append);
    msgpack_pack_array(&pk, order_fields[kind]);
    msgpack_pack_int(&pk, kind);
    msgpack_pack_int64(&pk, order->id);
    pack_text(&pk, order->address);
    pack_text(&pk, order->vm);
    if (kind == CARRIER_RENEW) {
        msgpack_pack_int64(&pk, order->renewal.deadline_ms);
        msgpack_pack_uint64(&pk, order->renewal.fence);
        msgpack_pack_int64(&pk, order->renewal.acked_end);
        msgpack_pack_int64(&pk, order->renewal.wait_ms);
        end_frame(out, at);
        return;
    }
    pack_task(&pk, &order->start.task);
    msgpack_pack_int64(&pk, order->start.run);
    msgpack_pack_uint64(&pk, order->start.fence);
    if (kind == CARRIER_PACE) {
        msgpack_pack_int(&pk, order->percent);
    }
    else if (kind == CARRIER_START) {
        msgpack_pack_int64(&pk, order->start.deadline_ms);
        pack_text(&pk, order->start.checkpoint);
        pack_text(&pk, order->start.ticket);
    }
    end_frame(out, at);
}

void
carrier_encode_text(const CarrierText *text, AqBuffer *out)
{
    msgpack_packer pk;
    size_t at = begin_frame(out);
    msgpack_packer_init(&pk, out, append);
    msgpack_pack_array(&pk, 4);
    msgpack_pack_int(&pk, CARRIER_TEXT);
    pack_text(&pk, text->job);
    pack_text(&pk, text->text);
    msgpack_pack_int(&pk, text->is_first);
    end_frame(out, at);
}

enum {
    REPLY_FIELDS = 7,
    RUNNING_FIELDS = TASK_FIELDS + 4,
    ENDED_FIELDS = TASK_FIELDS + 4
};

void
carrier_encode_reply(const CarrierReply *reply, AqBuffer *out)
{
    msgpack_packer pk;
    size_t at = begin_frame(out);
    const AqOrderReply *order = &reply->reply;
    msgpack_packer_init(&pk, out, append);
    msgpack_pack_array(&pk, REPLY_FIELDS);
    msgpack_pack_int(&pk, CARRIER_REPLY);
    msgpack_pack_int64(&pk, reply->id);
    msgpack_pack_int(&pk, (int)order->result);
    msgpack_pack_int64(&pk, order->clock_ms);
    msgpack_pack_int64(&pk, order->born_ms);
    msgpack_pack_array(&pk, order->running_count);
    for (size_t i = 0; i < order->running_count; i++) {
        const AqRunningTask *task = &order->running[i];
        msgpack_pack_array(&pk, RUNNING_FIELDS);
        pack_task(&pk, &task->task);
        msgpack_pack_int64(&pk, task->run);
        pack_text(&pk, task->checkpoint);
        msgpack_pack_int64(&pk, task->percent);
        msgpack_pack_int64(&pk, task->usage);
    }
    msgpack_pack_array(&pk, order->ended_count);
    for (size_t i = 0; i < order->ended_count; i++) {
        const AqEndedTask *task = &order->ended[i];
        msgpack_pack_array(&pk, ENDED_FIELDS);
        pack_task(&pk, &task->task);
        msgpack_pack_int64(&pk, task->run);
        pack_text(&pk, task->checkpoint);
        msgpack_pack_int64(&pk, task->number);
        msgpack_pack_int(&pk, (int)task->kind);
    }
    end_frame(out, at);
}

/* ---- Decoding ----------------------------------------------------------- */

/* Reads the elements of one array in order.  After an element of another type
 * "failed" is set, and all later ones read as 0 or "". */
typedef struct {
    const msgpack_object_array *array;
    uint32_t at;
    GStringChunk *strings;
    bool failed;
} Reader;

static const msgpack_object *
next(Reader *reader)
{
    if (reader->at >= reader->array->size) {
        reader->failed = true;
        return NULL;
    }
    return &reader->array->ptr[reader->at++];
}

static int64_t
read_int(Reader *reader, int64_t low, int64_t high)
{
    const msgpack_object *value = next(reader);
    int64_t number = low;
    if (value != NULL && value->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
        value->via.u64 <= (uint64_t)INT64_MAX) {
        number = (int64_t)value->via.u64;
    }
    else if (value != NULL && value->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        number = value->via.i64;
    }
    else {
        reader->failed = true;
    }
    if (number < low || number > high) {
        reader->failed = true;
        return low;
    }
    return number;
}

static uint64_t
read_uint(Reader *reader)
{
    const msgpack_object *value = next(reader);
    if (value == NULL || value->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
        reader->failed = true;
        return 0;
    }
    return value->via.u64;
}

/* Returns a string of at most max_size - 1 bytes; 0: any length. */
static const char *
read_text(Reader *reader, size_t max_size)
{
    const msgpack_object *value = next(reader);
    if (value == NULL || value->type != MSGPACK_OBJECT_STR ||
        memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL ||
        (max_size > 0 && value->via.str.size >= max_size)) {
        reader->failed = true;
        return "";
    }
    return g_string_chunk_insert_len(reader->strings, value->via.str.ptr,
                                     (gssize)value->via.str.size);
}

static void
read_task(Reader *reader, AqTaskName *task)
{
    g_strlcpy(task->job, read_text(reader, sizeof(task->job)),
              sizeof(task->job));
    task->occurrence = (uint32_t)read_int(reader, 0, UINT32_MAX);
    task->step = (uint32_t)read_int(reader, 0, UINT32_MAX);
    task->index = (uint32_t)read_int(reader, 0, UINT32_MAX);
}

static void
read_hello(Reader *reader, CarrierHello *hello)
{
    hello->version = read_int(reader, 0, INT32_MAX);
    hello->node = read_text(reader, 64);
    hello->incarnation = read_text(reader, 40);
}

static void
read_job_text(Reader *reader, CarrierText *text)
{
    text->job = read_text(reader, AQ_JOB_ID_SIZE);
    text->text = read_text(reader, 0);
    text->is_first = read_int(reader, 0, 1) == 1;
}

static void
read_order(Reader *reader, CarrierKind kind, CarrierOrder *order)
{
    order->id = read_int(reader, 0, INT64_MAX);
    order->address = read_text(reader, 32);
    order->vm = read_text(reader, AQ_VM_ID_SIZE);
    if (kind == CARRIER_RENEW) {
        order->renewal.deadline_ms = read_int(reader, -1, INT64_MAX);
        order->renewal.fence = read_uint(reader);
        order->renewal.acked_end = read_int(reader, 0, INT64_MAX);
        order->renewal.wait_ms = read_int(reader, 0, 2000);
        return;
    }
    read_task(reader, &order->start.task);
    order->start.run = read_int(reader, 0, INT64_MAX);
    order->start.fence = read_uint(reader);
    if (kind == CARRIER_PACE) {
        order->percent = (int)read_int(reader, 0, 100);
    }
    else if (kind == CARRIER_START) {
        order->start.deadline_ms = read_int(reader, INT64_MIN, INT64_MAX);
        order->start.checkpoint = read_text(reader, AQ_CHECKPOINT_SIZE);
        order->start.ticket = read_text(reader, 0);
    }
}

/* Begins to read the next element, a list of "fields" elements a row; returns
 * the number of rows. */
static size_t
begin_rows(Reader *reader, const msgpack_object_array **rows)
{
    static const msgpack_object_array none = {0, NULL};
    const msgpack_object *value = next(reader);
    *rows = &none;
    if (value == NULL || value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > CARRIER_MAX_TASKS) {
        reader->failed = true;
        return 0;
    }
    *rows = &value->via.array;
    return value->via.array.size;
}

/* Begins to read row "i" of a list. */
static Reader
begin_row(const Reader *list, const msgpack_object_array *rows, size_t i,
          uint32_t fields)
{
    const msgpack_object *value = &rows->ptr[i];
    Reader row = {.array = &value->via.array, .strings = list->strings};
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size != fields) {
        row.array = rows;
        row.at = rows->size;
        row.failed = true;
    }
    return row;
}

static void
read_reply(Reader *reader, CarrierMessage *message)
{
    const msgpack_object_array *rows;
    CarrierReply *reply = &message->as.reply;
    reply->id = read_int(reader, 0, INT64_MAX);
    reply->reply.result =
        (AqOrderResult)read_int(reader, AQ_ORDER_DONE, AQ_ORDER_UNKNOWN);
    reply->reply.clock_ms = read_int(reader, -1, INT64_MAX);
    reply->reply.born_ms = read_int(reader, 0, INT64_MAX);
    size_t count = begin_rows(reader, &rows);
    message->running = calloc(count + 1, sizeof(*message->running));
    for (size_t i = 0; i < count; i++) {
        Reader row = begin_row(reader, rows, i, RUNNING_FIELDS);
        AqRunningTask *task = &message->running[i];
        read_task(&row, &task->task);
        task->run = read_int(&row, 0, INT64_MAX);
        task->checkpoint = read_text(&row, 0);
        task->percent = read_int(&row, INT64_MIN, INT64_MAX);
        task->usage = read_int(&row, INT64_MIN, INT64_MAX);
        reader->failed |= row.failed;
    }
    reply->reply.running = message->running;
    reply->reply.running_count = count;
    count = begin_rows(reader, &rows);
    message->ended = calloc(count + 1, sizeof(*message->ended));
    for (size_t i = 0; i < count; i++) {
        Reader row = begin_row(reader, rows, i, ENDED_FIELDS);
        AqEndedTask *task = &message->ended[i];
        read_task(&row, &task->task);
        task->run = read_int(&row, 0, INT64_MAX);
        task->checkpoint = read_text(&row, 0);
        task->number = read_int(&row, 0, INT64_MAX);
        task->kind = (AqEndKind)read_int(&row, AQ_END_DONE, AQ_END_OTHER);
        reader->failed |= row.failed;
    }
    reply->reply.ended = message->ended;
    reply->reply.ended_count = count;
}

static bool
read_message(const msgpack_object *root, CarrierMessage *message)
{
    if (root->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    Reader reader = {.array = &root->via.array, .strings = message->strings};
    message->kind =
        (CarrierKind)read_int(&reader, CARRIER_HELLO, CARRIER_REPLY);
    switch (message->kind) {
    case CARRIER_HELLO:
        read_hello(&reader, &message->as.hello);
        break;
    case CARRIER_TEXT:
        read_job_text(&reader, &message->as.text);
        break;
    case CARRIER_REPLY:
        read_reply(&reader, message);
        break;
    default:
        read_order(&reader, message->kind, &message->as.order);
        break;
    }
    return !reader.failed && reader.at == reader.array->size;
}

static size_t
read_length(const char *bytes)
{
    size_t length = 0;
    for (int i = 0; i < LENGTH_BYTES; i++) {
        length = length << 8 | (unsigned char)bytes[i];
    }
    return length;
}

CarrierDecode
carrier_decode(const char *bytes, size_t size, size_t *used,
               CarrierMessage *message, AqError *error)
{
    if (size < LENGTH_BYTES) {
        return CARRIER_INCOMPLETE;
    }
    size_t length = read_length(bytes);
    if (length > CARRIER_MAX_FRAME) {
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "a frame of %zu bytes is longer than %d; the peer runs "
                    "another program",
                    length, CARRIER_MAX_FRAME);
        return CARRIER_MALFORMED;
    }
    if (size - LENGTH_BYTES < length) {
        return CARRIER_INCOMPLETE;
    }
    /* msgpack-c allocates by the counts in the bytes, so that these are
     * checked first. */
    if (!AqWire_CheckShape(bytes + LENGTH_BYTES, length, error)) {
        return CARRIER_MALFORMED;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    memset(message, 0, sizeof(*message));
    message->strings = g_string_chunk_new(STRINGS_BLOCK_BYTES);
    bool ok = msgpack_unpack_next(&unpacked, bytes + LENGTH_BYTES, length,
                                  NULL) == MSGPACK_UNPACK_SUCCESS &&
              read_message(&unpacked.data, message);
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        carrier_message_clear(message);
        AqError_Set(error, AQ_ERR_PROTOCOL,
                    "a message between an owner and a carrier has other "
                    "fields than expected; the peer runs another version");
        return CARRIER_MALFORMED;
    }
    *used = LENGTH_BYTES + length;
    return CARRIER_COMPLETE;
}

void
carrier_message_clear(CarrierMessage *message)
{
    free(message->running);
    free(message->ended);
    if (message->strings != NULL) {
        g_string_chunk_free(message->strings);
    }
    memset(message, 0, sizeof(*message));
}
