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
    *value = strndup(object->via.str.ptr, object->via.str.size);
    return true;
}
