#include "platform.h"

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define KV_PATH "/v1/kv/"
/* Limit in bytes on a value in the store; a write of a larger value is
 * answered with status 413. */
#define MAX_VALUE_BYTES (1024 * 1024)

static const char *
key_of(const AqTestRequest *request)
{
    return AqTestRequest_Path(request) + strlen(KV_PATH);
}

static bool
is_method(const AqTestRequest *request, const char *method)
{
    return strcmp(AqTestRequest_Method(request), method) == 0;
}

CallKind
Store_Kind(const AqTestRequest *request)
{
    if (is_method(request, "PUT")) {
        return CALL_KV_PUT;
    }
    if (is_method(request, "DELETE")) {
        return CALL_KV_DELETE;
    }
    if (!is_method(request, "GET")) {
        return CALL_OTHER;
    }
    if (Platform_IsWatch(request)) {
        return CALL_KV_WATCH;
    }
    return AqTestRequest_Query(request, "recurse") != NULL ? CALL_KV_LIST
                                                           : CALL_KV_GET;
}

/* Appends an item in the format of the Consul KV API to a JSON array. */
static void
append_item(void *context, const AqKvItem *item)
{
    json_t *value = json_null();
    if (item->size > 0) {
        char *text = g_base64_encode((const guchar *)item->value, item->size);
        value = json_string(text);
        g_free(text);
    }
    json_array_append_new(
        context, json_pack("{s:i s:s s:i s:o s:I s:I}", "LockIndex", 0, "Key",
                           item->key, "Flags", 0, "Value", value,
                           "CreateIndex", (json_int_t)item->create_index,
                           "ModifyIndex", (json_int_t)item->modify_index));
}

/* Returns the modification index of the key or prefix that a request names,
 * for a blocking query on this key or prefix. */
static uint64_t
current_index(Platform *platform, const AqTestRequest *request)
{
    return AqTestRequest_Query(request, "recurse") != NULL
               ? AqKv_PrefixIndex(platform->kv, key_of(request))
               : AqKv_KeyIndex(platform->kv, key_of(request));
}

static void
reply_items(Platform *platform, AqTestRequest *request)
{
    json_t *items = json_array();
    if (AqTestRequest_Query(request, "recurse") != NULL) {
        AqKv_Each(platform->kv, key_of(request), append_item, items);
    }
    else {
        const AqKvItem *item = AqKv_Get(platform->kv, key_of(request));
        if (item != NULL) {
            append_item(items, item);
        }
    }
    Platform_AddIndex(request, current_index(platform, request));
    if (json_array_size(items) == 0) {
        json_decref(items);
        AqTestRequest_Reply(request, 404, "", 0);
        return;
    }
    AqTestRequest_ReplyJson(request, 200, items);
}

/* Reads the query parameter "cas" (compare-and-swap), or sets *cas to
 * AQ_KV_NO_CAS when the parameter is absent.  Returns false when the parameter
 * is not a number. */
static bool
parse_cas(const AqTestRequest *request, uint64_t *cas)
{
    const char *text = AqTestRequest_Query(request, "cas");
    char *end;
    *cas = AQ_KV_NO_CAS;
    if (text == NULL) {
        return true;
    }
    *cas = strtoull(text, &end, 10);
    return *text >= '0' && *text <= '9' && *end == '\0';
}

static void
handle_write(Platform *platform, AqTestRequest *request)
{
    const AqBuffer *body = AqTestRequest_Body(request);
    const char *key = key_of(request);
    uint64_t cas;
    bool done = true;
    AqError error;
    if (!parse_cas(request, &cas) || *key == '\0') {
        AqError_Set(&error, AQ_ERR_INVALID,
                    "invalid key or ?cas; specify a key and a whole number");
        AqTestRequest_ReplyError(request, &error);
        return;
    }
    if (body->size > MAX_VALUE_BYTES) {
        AqTestRequest_Reply(request, 413, "", 0);
        return;
    }
    if (is_method(request, "PUT")) {
        done = AqKv_Put(platform->kv, key, body->bytes, body->size, cas);
    }
    else if (AqTestRequest_Query(request, "recurse") != NULL) {
        AqKv_DeletePrefix(platform->kv, key);
    }
    else {
        done = AqKv_Delete(platform->kv, key, cas);
    }
    Platform_ReplyWrite(platform, request, &platform->faults.lose_replies, 200,
                        json_boolean(done));
    Platform_NotifyWatches(platform);
}

void
Store_Handle(Platform *platform, AqTestRequest *request)
{
    if (is_method(request, "GET")) {
        Platform_AnswerRead(platform, request, true, current_index,
                            reply_items);
    }
    else if (is_method(request, "PUT") || is_method(request, "DELETE")) {
        handle_write(platform, request);
    }
    else {
        AqTestRequest_Reply(request, 405, "", 0);
    }
}
