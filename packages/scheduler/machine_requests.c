#include "aq_machine_requests.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"

enum {
    LIST_FIELDS = 3,
    ASK_FIELDS = 5
};

void
AqAskList_Clear(AqAskList *list)
{
    free(list->asks);
    memset(list, 0, sizeof(*list));
}

void
AqAskList_Encode(const AqAskList *list, AqBuffer *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, record_write);
    msgpack_pack_array(&packer, LIST_FIELDS);
    msgpack_pack_uint64(&packer, list->fence);
    msgpack_pack_uint64(&packer, list->wanted);
    msgpack_pack_array(&packer, list->count);
    for (size_t i = 0; i < list->count; i++) {
        const AqAsk *ask = &list->asks[i];
        msgpack_pack_array(&packer, ASK_FIELDS);
        msgpack_pack_int64(&packer, ask->number);
        record_pack_text(&packer, ask->machine);
        record_pack_text(&packer, ask->to_pool);
        msgpack_pack_int64(&packer, ask->wave);
        msgpack_pack_int(&packer, ask->is_refused);
    }
}

static bool
copy_text(const msgpack_object *object, char *out, size_t size)
{
    if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size) {
        return false;
    }
    memcpy(out, object->via.str.ptr, object->via.str.size);
    out[object->via.str.size] = '\0';
    return true;
}

static bool
decode_ask(const msgpack_object *row, AqAsk *ask)
{
    if (row->type != MSGPACK_OBJECT_ARRAY ||
        row->via.array.size < ASK_FIELDS) {
        return false;
    }
    const msgpack_object *at = row->via.array.ptr;
    int64_t is_refused;
    if (!record_int(&at[4], 0, 1, &is_refused)) {
        return false;
    }
    ask->is_refused = is_refused != 0;
    return record_int(&at[0], 0, INT64_MAX, &ask->number) &&
           copy_text(&at[1], ask->machine, sizeof(ask->machine)) &&
           copy_text(&at[2], ask->to_pool, sizeof(ask->to_pool)) &&
           record_int(&at[3], 0, INT64_MAX, &ask->wave);
}

static bool
decode_list(const msgpack_object *root, AqAskList *list)
{
    int64_t fence;
    int64_t wanted;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < LIST_FIELDS ||
        !record_int(&root->via.array.ptr[0], 0, INT64_MAX, &fence) ||
        !record_int(&root->via.array.ptr[1], 0, AQ_ASKS_MAX, &wanted)) {
        return false;
    }
    const msgpack_object *rows = &root->via.array.ptr[2];
    if (rows->type != MSGPACK_OBJECT_ARRAY ||
        rows->via.array.size > AQ_ASKS_MAX) {
        return false;
    }
    list->fence = (uint64_t)fence;
    list->wanted = (size_t)wanted;
    list->asks = calloc(rows->via.array.size + 1, sizeof(*list->asks));
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        if (!decode_ask(&rows->via.array.ptr[i], &list->asks[i])) {
            return false;
        }
        list->count++;
    }
    return true;
}

bool
AqAskList_Decode(const char *bytes, size_t size, AqAskList *list)
{
    msgpack_unpacked unpacked;
    memset(list, 0, sizeof(*list));
    bool ok = record_unpack(&unpacked, bytes, size) &&
              decode_list(&unpacked.data, list);
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        AqAskList_Clear(list);
    }
    return ok;
}
