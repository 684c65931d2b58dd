#include "aq_machine_requests.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"

enum {
    LIST_FIELDS = 3,
    REQUEST_FIELDS = 5
};

void
AqMachineRequestList_Clear(AqMachineRequestList *list)
{
    free(list->requests);
    memset(list, 0, sizeof(*list));
}

void
AqMachineRequestList_Encode(const AqMachineRequestList *list, AqBuffer *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, record_write);
    msgpack_pack_array(&packer, LIST_FIELDS);
    msgpack_pack_uint64(&packer, list->fence);
    msgpack_pack_uint64(&packer, list->requested_vms);
    msgpack_pack_array(&packer, list->count);
    for (size_t i = 0; i < list->count; i++) {
        const AqMachineRequest *request = &list->requests[i];
        msgpack_pack_array(&packer, REQUEST_FIELDS);
        msgpack_pack_int64(&packer, request->number);
        record_pack_text(&packer, request->machine);
        record_pack_text(&packer, request->to_pool);
        msgpack_pack_int64(&packer, request->wave);
        msgpack_pack_int(&packer, request->is_refused);
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
decode_request(const msgpack_object *row, AqMachineRequest *request)
{
    if (row->type != MSGPACK_OBJECT_ARRAY ||
        row->via.array.size < REQUEST_FIELDS) {
        return false;
    }
    const msgpack_object *at = row->via.array.ptr;
    int64_t is_refused;
    if (!record_int(&at[4], 0, 1, &is_refused)) {
        return false;
    }
    request->is_refused = is_refused != 0;
    return record_int(&at[0], 0, INT64_MAX, &request->number) &&
           copy_text(&at[1], request->machine, sizeof(request->machine)) &&
           copy_text(&at[2], request->to_pool, sizeof(request->to_pool)) &&
           record_int(&at[3], 0, INT64_MAX, &request->wave);
}

static bool
decode_list(const msgpack_object *root, AqMachineRequestList *list)
{
    int64_t fence;
    int64_t requested_vms;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < LIST_FIELDS ||
        !record_int(&root->via.array.ptr[0], 0, INT64_MAX, &fence) ||
        !record_int(&root->via.array.ptr[1], 0, AQ_MACHINE_REQUESTS_MAX,
                    &requested_vms)) {
        return false;
    }
    const msgpack_object *rows = &root->via.array.ptr[2];
    if (rows->type != MSGPACK_OBJECT_ARRAY ||
        rows->via.array.size > AQ_MACHINE_REQUESTS_MAX) {
        return false;
    }
    list->fence = (uint64_t)fence;
    list->requested_vms = (size_t)requested_vms;
    list->requests = calloc(rows->via.array.size + 1, sizeof(*list->requests));
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        if (!decode_request(&rows->via.array.ptr[i], &list->requests[i])) {
            return false;
        }
        list->count++;
    }
    return true;
}

bool
AqMachineRequestList_Decode(const char *bytes, size_t size,
                            AqMachineRequestList *list)
{
    msgpack_unpacked unpacked;
    memset(list, 0, sizeof(*list));
    bool ok = record_unpack(&unpacked, bytes, size) &&
              decode_list(&unpacked.data, list);
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        AqMachineRequestList_Clear(list);
    }
    return ok;
}
