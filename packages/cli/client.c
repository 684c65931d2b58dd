#include "client.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_buffer.h"
#include "aq_json.h"

enum {
    CONNECT_TIMEOUT_MS = 2000,
    /* The daemon of an entry VM responds to an intent within 7 s: it takes up
     * to 5 s to write the intended change to the store, then, after a change
     * of the fleet document, waits up to 2 s until a majority of the entry VMs
     * has confirmed it. */
    CALL_TIMEOUT_MS = 10000,
    MAX_RESPONSE_BYTES = 64 * 1024 * 1024
};

static size_t
on_body(char *bytes, size_t unit, size_t count, void *context)
{
    AqBuffer *buffer = context;
    if (buffer->size + unit * count > MAX_RESPONSE_BYTES) {
        return 0;
    }
    AqBuffer_Append(buffer, bytes, unit * count);
    return unit * count;
}

static struct curl_slist *
make_headers(const char *token)
{
    AqBuffer line;
    AqBuffer_Init(&line);
    AqBuffer_Printf(&line, "Authorization: Bearer %s", token);
    struct curl_slist *headers = curl_slist_append(NULL, AqBuffer_Text(&line));
    AqBuffer_Clear(&line);
    return curl_slist_append(headers, "Content-Type: application/json");
}

void
client_call(const char *server, const char *token, const char *path,
            const json_t *body, ClientReply *reply)
{
    AqBuffer response;
    AqBuffer url;
    long status = 0;
    memset(reply, 0, sizeof(*reply));
    AqBuffer_Init(&response);
    AqBuffer_Init(&url);
    AqBuffer_Printf(&url, "%s%s", server, path);
    char *text = body != NULL ? AqJson_Dump(body) : NULL;
    struct curl_slist *headers = make_headers(token);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, AqBuffer_Text(&url));
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CALL_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
    if (text != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
    }
    CURLcode code = curl_easy_perform(easy);
    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        reply->status = (int)status;
        reply->body =
            AqJson_Parse(AqBuffer_Text(&response), response.size, NULL);
    }
    else {
        snprintf(reply->message, sizeof(reply->message), "%s",
                 curl_easy_strerror(code));
    }
    reply->may_have_arrived =
        code != CURLE_COULDNT_CONNECT && code != CURLE_COULDNT_RESOLVE_HOST &&
        code != CURLE_URL_MALFORMAT && code != CURLE_UNSUPPORTED_PROTOCOL;
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    free(text);
    AqBuffer_Clear(&response);
    AqBuffer_Clear(&url);
}

void
client_clear(ClientReply *reply)
{
    json_decref(reply->body);
    reply->body = NULL;
}
