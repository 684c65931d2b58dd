#include "aq_store_http.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_json.h"
#include "aq_list.h"

enum {
    MAX_URL_BYTES = 1024,
    /* Longest accepted reply body.  The longest replies are those of "list",
     * in which each value has up to 1 MB. */
    MAX_REPLY_BYTES = 32 * 1024 * 1024,
    /* Time added to the timeout of a watch, besides its wait_ms, for the reply
     * to arrive. */
    WATCH_REPLY_MARGIN_MS = 500
};

typedef struct {
    AqStore base;
    AqHttpClient *client;
    char *url;
    AqTime timeout_ms;
    AqStoreCalls calls;
    /* Calls without a reply yet.  Those left when the store is destroyed are
     * freed without calling "done". */
    AqLink pending;
} StoreHttp;

typedef struct {
    AqLink link;
    AqStoreDone done;
    void *context;
    bool is_write;
} PendingCall;

/* ---- Replies ------------------------------------------------------------ */

static void
reply_status(PendingCall *pending, AqStoreStatus status, uint64_t index)
{
    AqStoreReply reply = {.status = status, .index = index};
    pending->done(pending->context, &reply);
}

/* Fills *item from one element of the reply's JSON array.  Sets *value to the
 * decoded value, which the caller frees with g_free.  Returns false if a field
 * is missing or invalid. */
static bool
parse_item(const json_t *element, AqStoreItem *item, guchar **value)
{
    const char *encoded;
    int64_t index;
    gsize size = 0;
    if (!AqJson_GetString(element, "Key", &item->key, NULL) ||
        !AqJson_GetInt(element, "ModifyIndex", 0, INT64_MAX, &index, NULL) ||
        !AqJson_OptString(element, "Value", "", &encoded, NULL)) {
        return false;
    }
    *value = g_base64_decode(encoded, &size);
    item->value = (const char *)*value;
    item->size = size;
    item->index = (uint64_t)index;
    return true;
}

static void
reply_items(PendingCall *pending, const json_t *array, uint64_t index)
{
    size_t count = json_array_size(array);
    AqStoreItem *items = calloc(count + 1, sizeof(*items));
    guchar **values = calloc(count + 1, sizeof(*values));
    bool ok = count > 0;
    for (size_t i = 0; i < count && ok; i++) {
        ok = parse_item(json_array_get(array, i), &items[i], &values[i]);
    }
    if (ok) {
        AqStoreReply reply = {
            .status = AQ_STORE_OK,
            .items = items,
            .count = count,
            .index = index != 0 ? index : items[0].index,
        };
        pending->done(pending->context, &reply);
    }
    else {
        reply_status(pending, AQ_STORE_UNAVAILABLE, 0);
    }
    for (size_t i = 0; i < count; i++) {
        g_free(values[i]);
    }
    free(values);
    free(items);
}

static void
finish_read(PendingCall *pending, const AqHttpReply *reply)
{
    const char *text = AqHttpReply_Header(reply, "X-Consul-Index");
    uint64_t index = text != NULL ? strtoull(text, NULL, 10) : 0;
    if (reply->status == 404) {
        reply_status(pending, AQ_STORE_ABSENT, index);
        return;
    }
    json_t *array = reply->status == 200
                        ? AqJson_Parse(reply->body, reply->size, NULL)
                        : NULL;
    if (json_is_array(array)) {
        reply_items(pending, array, index);
    }
    else {
        reply_status(pending, AQ_STORE_UNAVAILABLE, 0);
    }
    json_decref(array);
}

static void
finish_write(PendingCall *pending, const AqHttpReply *reply)
{
    AqStoreStatus status = AQ_STORE_UNKNOWN;
    if (reply->status == 200 && strncmp(reply->body, "true", 4) == 0) {
        status = AQ_STORE_OK;
    }
    else if (reply->status == 200 && strncmp(reply->body, "false", 5) == 0) {
        status = AQ_STORE_CONFLICT;
    }
    /* Any other HTTP status is reported as AQ_STORE_UNKNOWN, since an error
     * status does not prove that the write had no effect. */
    reply_status(pending, status, 0);
}

static void
on_reply(void *context, const AqHttpReply *reply)
{
    PendingCall *pending = context;
    if (reply->result == AQ_HTTP_NOT_SENT) {
        reply_status(pending, AQ_STORE_UNAVAILABLE, 0);
    }
    else if (reply->result != AQ_HTTP_DONE) {
        reply_status(
            pending,
            pending->is_write ? AQ_STORE_UNKNOWN : AQ_STORE_UNAVAILABLE, 0);
    }
    else if (pending->is_write) {
        finish_write(pending, reply);
    }
    else {
        finish_read(pending, reply);
    }
    AqList_Remove(&pending->link);
    free(pending);
}

/* ---- Calls -------------------------------------------------------------- */

static void
start_call(StoreHttp *store, const char *method, const char *url,
           const void *body, size_t size, AqTime extra_ms, AqStoreDone done,
           void *context)
{
    PendingCall *pending = calloc(1, sizeof(*pending));
    AqList_Append(&store->pending, &pending->link);
    pending->done = done;
    pending->context = context;
    pending->is_write = strcmp(method, "GET") != 0;
    AqHttpRequest request = {
        .method = method,
        .url = url,
        .body = body,
        .size = size,
        .has_body = body != NULL,
        /* On an idle connection that has died, the outcome of a write would
         * be unknown. */
        .fresh_connection = pending->is_write,
        .may_repeat = !pending->is_write,
        .timeout_ms = store->timeout_ms + extra_ms,
        .connect_timeout_ms = store->timeout_ms,
        .max_response_bytes = MAX_REPLY_BYTES,
    };
    AqHttpClient_Start(store->client, &request, on_reply, pending);
}

static void
store_get(AqStore *base, const char *key, AqStoreDone done, void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.reads++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s", store->url, key);
    start_call(store, "GET", url, NULL, 0, 0, done, context);
}

static void
store_list(AqStore *base, const char *prefix, AqStoreDone done, void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.reads++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s?recurse=true", store->url, prefix);
    start_call(store, "GET", url, NULL, 0, 0, done, context);
}

static void
store_put(AqStore *base, const char *key, const void *value, size_t size,
          uint64_t index, AqStoreDone done, void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.writes++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s?cas=%llu", store->url, key,
             (unsigned long long)index);
    start_call(store, "PUT", url, value, size, 0, done, context);
}

static void
store_remove(AqStore *base, const char *key, uint64_t index, AqStoreDone done,
             void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.writes++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s?cas=%llu", store->url, key,
             (unsigned long long)index);
    start_call(store, "DELETE", url, NULL, 0, 0, done, context);
}

static void
store_remove_all(AqStore *base, const char *prefix, AqStoreDone done,
                 void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.writes++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s?recurse=true", store->url, prefix);
    start_call(store, "DELETE", url, NULL, 0, 0, done, context);
}

static void
store_watch(AqStore *base, const char *key, uint64_t index, int64_t wait_ms,
            AqStoreDone done, void *context)
{
    StoreHttp *store = (StoreHttp *)base;
    char url[MAX_URL_BYTES];
    store->calls.watches++;
    snprintf(url, sizeof(url), "%s/v1/kv/%s?index=%llu&wait=%lldms",
             store->url, key, (unsigned long long)index, (long long)wait_ms);
    start_call(store, "GET", url, NULL, 0, wait_ms + WATCH_REPLY_MARGIN_MS,
               done, context);
}

static void
store_destroy(AqStore *base)
{
    StoreHttp *store = (StoreHttp *)base;
    AqLink *at;
    while ((at = AqList_PopFirst(&store->pending)) != NULL) {
        free(AqList_Entry(at, PendingCall, link));
    }
    free(store->url);
    free(store);
}

static const AqStoreOps store_ops = {
    .get = store_get,
    .list = store_list,
    .put = store_put,
    .remove = store_remove,
    .remove_all = store_remove_all,
    .watch = store_watch,
    .destroy = store_destroy,
};

AqStore *
AqStoreHttp_Create(AqHttpClient *client, const char *url, AqTime timeout_ms)
{
    StoreHttp *store = calloc(1, sizeof(*store));
    AqList_Init(&store->pending);
    store->base.ops = &store_ops;
    store->client = client;
    store->url = strdup(url);
    store->timeout_ms = timeout_ms;
    return &store->base;
}

void
AqStoreHttp_GetCalls(const AqStore *store, AqStoreCalls *calls)
{
    *calls = ((const StoreHttp *)store)->calls;
}
