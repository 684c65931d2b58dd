#include "caller_request.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

enum {
    MAX_SERVICE_BYTES = 63,
    MAX_REQUEST_ID_BYTES = 128,
    MIN_TIMEOUT_MS = 10,
    MAX_TIMEOUT_MS = 600000
};

void
CallerRequest_Destroy(CallerRequest *request)
{
    if (request == NULL) {
        return;
    }
    free(request->service);
    g_free(request->path);
    free(request->request_id);
    g_strfreev(request->headers);
    EndpointResponse_Destroy(request->response);
    free(request);
}

static bool
is_name_byte(char c)
{
    return g_ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
}

static bool
read_path(CallerRequest *request, AqError *error)
{
    const char *service =
        AqExchange_Path(request->exchange) + strlen(CALLER_PATH_PREFIX);
    const char *query = AqExchange_Query(request->exchange);
    size_t length = 0;
    while (is_name_byte(service[length])) {
        length++;
    }
    if (length == 0 || length > MAX_SERVICE_BYTES ||
        (service[length] != '/' && service[length] != '\0')) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the path \"%.100s\" has no valid service; use "
                           "/v1/services/SERVICE/PATH with 1 to 63 letters, "
                           "digits, dots, underscores or hyphens",
                           AqExchange_Path(request->exchange));
    }
    request->service = strndup(service, length);
    request->path =
        g_strconcat(service[length] != '\0' ? service + length : "/",
                    query[0] != '\0' ? "?" : "", query, NULL);
    return true;
}

static bool
read_request_id(CallerRequest *request, const char *fallback_id,
                AqError *error)
{
    const char *text = AqExchange_Header(request->exchange, "Aq-Request-Id");
    if (text == NULL) {
        if (!request->idempotent) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "a non-idempotent request needs Aq-Request-Id; "
                               "send an id that is unique to the request and "
                               "the same in each repeat of it");
        }
        request->request_id = strdup(fallback_id);
        return true;
    }
    size_t length = strlen(text);
    bool ok = length >= 1 && length <= MAX_REQUEST_ID_BYTES;
    for (size_t i = 0; i < length && ok; i++) {
        ok = text[i] > ' ' && text[i] < 0x7f;
    }
    if (!ok) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "Aq-Request-Id must have 1 to 128 visible ASCII "
                           "characters; shorten it or remove blanks");
    }
    request->request_id = strdup(text);
    return true;
}

static bool
read_idempotent(CallerRequest *request, AqError *error)
{
    static const char *const methods[] = {"GET", "HEAD", "PUT", "DELETE",
                                          "OPTIONS"};
    const char *text = AqExchange_Header(request->exchange, "Aq-Idempotent");
    if (text == NULL) {
        const char *method = AqExchange_Method(request->exchange);
        for (size_t i = 0; i < sizeof(methods) / sizeof(methods[0]); i++) {
            if (strcmp(method, methods[i]) == 0) {
                request->idempotent = true;
            }
        }
        return true;
    }
    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0) {
        request->idempotent = text[0] == 't';
        return true;
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "Aq-Idempotent is \"%.40s\"; send true or false", text);
}

static bool
read_timeout(CallerRequest *request, AqTime default_ms, AqError *error)
{
    const char *text = AqExchange_Header(request->exchange, "Aq-Timeout-Ms");
    request->timeout_ms = default_ms;
    if (text == NULL) {
        return true;
    }
    char *end;
    long long number = strtoll(text, &end, 10);
    if (end == text || *end != '\0' || number < MIN_TIMEOUT_MS ||
        number > MAX_TIMEOUT_MS) {
        return AqError_Set(
            error, AQ_ERR_INVALID,
            "Aq-Timeout-Ms is \"%.40s\"; send a whole number of "
            "milliseconds from %d to %d",
            text, MIN_TIMEOUT_MS, MAX_TIMEOUT_MS);
    }
    request->timeout_ms = number;
    return true;
}

static bool
read_priority(CallerRequest *request, AqError *error)
{
    const char *text = AqExchange_Header(request->exchange, "Aq-Priority");
    request->priority = AQ_PRIORITY_LIVE;
    if (text == NULL || strcmp(text, "live") == 0) {
        return true;
    }
    if (strcmp(text, "archive") == 0) {
        request->priority = AQ_PRIORITY_ARCHIVE;
        return true;
    }
    return AqError_Set(error, AQ_ERR_INVALID,
                       "Aq-Priority is \"%.40s\"; send live or archive", text);
}

static void
collect_header(void *context, const char *name, const char *value)
{
    GPtrArray *lines = context;
    char *line = g_strconcat(name, ": ", value, NULL);
    if (Attempts_IsOwnHeader(line)) {
        g_free(line);
        return;
    }
    g_ptr_array_add(lines, line);
}

static void
read_headers(CallerRequest *request)
{
    GPtrArray *lines = g_ptr_array_new();
    AqExchange_EachHeader(request->exchange, collect_header, lines);
    g_ptr_array_add(lines, NULL);
    request->headers = (char **)g_ptr_array_free(lines, FALSE);
}

CallerRequest *
CallerRequest_Create(AqExchange *exchange, AqTime now,
                     AqTime default_timeout_ms, const char *fallback_id,
                     AqError *error)
{
    CallerRequest *request = calloc(1, sizeof(*request));
    request->exchange = exchange;
    request->started = now;
    if (!read_path(request, error) || !read_idempotent(request, error) ||
        !read_request_id(request, fallback_id, error) ||
        !read_timeout(request, default_timeout_ms, error) ||
        !read_priority(request, error)) {
        CallerRequest_Destroy(request);
        return NULL;
    }
    read_headers(request);
    return request;
}
