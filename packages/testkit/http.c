#include "aq_test_http.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "aq_json.h"

#define DEFAULT_TIMEOUT_MS 10000L

struct AqTestHttpClient {
    CURLM *multi;
    CURL *easy;
    struct curl_slist *headers;
    /* Response to the current call, as far as received. */
    AqTestHttpReply reply;
    /* Whether the libcurl handle "easy" was added to the libcurl multi handle
     * "multi". */
    bool is_attached;
};

void
AqTestHttpReply_Clear(AqTestHttpReply *reply)
{
    AqBuffer_Clear(&reply->headers);
    AqBuffer_Clear(&reply->body);
    reply->status = 0;
}

bool
AqTestHttpReply_Header(const AqTestHttpReply *reply, const char *name,
                       char *out, size_t room)
{
    size_t size = strlen(name);
    const char *line = AqBuffer_Text(&reply->headers);
    while (line != NULL && *line != '\0') {
        if (strncasecmp(line, name, size) == 0 && line[size] == ':') {
            const char *value = line + size + 1;
            value += strspn(value, " ");
            size_t n = strcspn(value, "\r\n");
            n = n < room ? n : room - 1;
            memcpy(out, value, n);
            out[n] = '\0';
            return true;
        }
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    return false;
}

/* libcurl callback that appends received bytes to an AqBuffer; returns the
 * number of bytes accepted, which is all of them. */
static size_t
append_received(char *bytes, size_t size, size_t count, void *buffer)
{
    AqBuffer_Append(buffer, bytes, size * count);
    return size * count;
}

AqTestHttpClient *
AqTestHttpClient_Create(void)
{
    AqTestHttpClient *client = calloc(1, sizeof(*client));
    client->multi = curl_multi_init();
    client->easy = curl_easy_init();
    AqBuffer_Init(&client->reply.headers);
    AqBuffer_Init(&client->reply.body);
    return client;
}

/* Removes the libcurl handle of the client's current call from the multi
 * handle and frees the request headers of the call. */
static void
detach_transfer(AqTestHttpClient *client)
{
    if (client->is_attached) {
        curl_multi_remove_handle(client->multi, client->easy);
        client->is_attached = false;
    }
    curl_slist_free_all(client->headers);
    client->headers = NULL;
}

void
AqTestHttpClient_Destroy(AqTestHttpClient *client)
{
    if (client == NULL) {
        return;
    }
    detach_transfer(client);
    curl_easy_cleanup(client->easy);
    curl_multi_cleanup(client->multi);
    AqTestHttpReply_Clear(&client->reply);
    free(client);
}

static void
set_options(AqTestHttpClient *client, const AqTestHttpCall *call)
{
    CURL *easy = client->easy;
    curl_easy_reset(easy);
    /* Without the empty "Expect" header libcurl waits for "100 Continue"
     * before it sends a body over 1 MiB. */
    client->headers = curl_slist_append(NULL, "Expect:");
    for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL;
         i++) {
        client->headers = curl_slist_append(client->headers, call->headers[i]);
    }
    curl_easy_setopt(easy, CURLOPT_URL, call->url);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
    if (call->body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)call->size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, client->headers);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     call->timeout_ms > 0 ? call->timeout_ms
                                          : DEFAULT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_received);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &client->reply.body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, append_received);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &client->reply.headers);
}

/* Performs pending work of the client's transfer.  Returns true when the call
 * has ended or, with until_sent, when the request has been sent; otherwise
 * waits for the next event, at most 1 s, and returns false. */
static bool
drive_transfer(AqTestHttpClient *client, bool until_sent)
{
    int running = 0;
    long sent = 0;
    curl_multi_perform(client->multi, &running);
    curl_easy_getinfo(client->easy, CURLINFO_REQUEST_SIZE, &sent);
    if (running == 0 || (until_sent && sent > 0)) {
        return true;
    }
    curl_multi_poll(client->multi, NULL, 0, 1000, NULL);
    return false;
}

bool
AqTestHttpClient_Start(AqTestHttpClient *client, const AqTestHttpCall *call,
                       AqError *error)
{
    AqTestHttpReply_Clear(&client->reply);
    set_options(client, call);
    if (curl_multi_add_handle(client->multi, client->easy) != CURLM_OK) {
        return AqError_Set(
            error, AQ_ERR_SYSTEM,
            "libcurl rejected the call; finish the previous call first");
    }
    client->is_attached = true;
    while (!drive_transfer(client, true)) {
    }
    return true;
}

/* Sets *error for a libcurl result code; returns false. */
static bool
set_curl_error(CURLcode code, AqError *error)
{
    AqErrorKind kind = code == CURLE_COULDNT_CONNECT      ? AQ_ERR_UNAVAILABLE
                       : code == CURLE_OPERATION_TIMEDOUT ? AQ_ERR_TIMEOUT
                                                          : AQ_ERR_PROTOCOL;
    return AqError_Set(error, kind, "HTTP call failed: %s",
                       curl_easy_strerror(code));
}

bool
AqTestHttpClient_Finish(AqTestHttpClient *client, AqTestHttpReply *reply,
                        AqError *error)
{
    int left;
    CURLcode code = CURLE_FAILED_INIT;
    CURLMsg *message;
    while (!drive_transfer(client, false)) {
    }
    while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            code = message->data.result;
        }
    }
    curl_easy_getinfo(client->easy, CURLINFO_RESPONSE_CODE,
                      &client->reply.status);
    detach_transfer(client);
    if (code != CURLE_OK) {
        return set_curl_error(code, error);
    }
    *reply = client->reply;
    AqBuffer_Init(&client->reply.headers);
    AqBuffer_Init(&client->reply.body);
    return true;
}

bool
AqTestHttpClient_Call(AqTestHttpClient *client, const AqTestHttpCall *call,
                      AqTestHttpReply *reply, AqError *error)
{
    return AqTestHttpClient_Start(client, call, error) &&
           AqTestHttpClient_Finish(client, reply, error);
}

bool
AqTestHttp_Call(const AqTestHttpCall *call, AqTestHttpReply *reply,
                AqError *error)
{
    AqTestHttpClient *client = AqTestHttpClient_Create();
    bool ok = AqTestHttpClient_Call(client, call, reply, error);
    AqTestHttpClient_Destroy(client);
    return ok;
}

json_t *
AqTestHttp_Json(const char *method, const char *url,
                const char *const *headers, const json_t *body, long *status,
                AqError *error)
{
    char *text = body != NULL ? AqJson_Dump(body) : NULL;
    AqTestHttpCall call = {.method = method,
                           .url = url,
                           .headers = headers,
                           .body = text,
                           .size = text != NULL ? strlen(text) : 0};
    AqTestHttpReply reply = {0};
    json_t *value = NULL;
    bool ok = AqTestHttp_Call(&call, &reply, error);
    free(text);
    if (status != NULL) {
        *status = ok ? reply.status : 0;
    }
    if (!ok) {
        return NULL;
    }
    if (reply.status < 200 || reply.status > 299) {
        AqError_Set(error, AQ_ERR_REFUSED, "%s %s: status %ld: %.300s", method,
                    url, reply.status, AqBuffer_Text(&reply.body));
    }
    else {
        value =
            AqJson_Parse(AqBuffer_Text(&reply.body), reply.body.size, error);
    }
    AqTestHttpReply_Clear(&reply);
    return value;
}
