#include "server_private.h"

#include <stdlib.h>
#include <string.h>

#include "aq_json.h"

/* Response body of which only the first half is sent. */
typedef struct {
    char *bytes;
    size_t size; /* size of the body in bytes that the response announces */
} CutBody;

void
AqTestRequest_SetUser(AqTestRequest *request, void *user)
{
    request->user = user;
}

void *
AqTestRequest_User(const AqTestRequest *request)
{
    return request->user;
}

const char *
AqTestRequest_Method(const AqTestRequest *request)
{
    return request->method;
}

const char *
AqTestRequest_Path(const AqTestRequest *request)
{
    return request->path;
}

const AqBuffer *
AqTestRequest_Body(const AqTestRequest *request)
{
    return &request->body;
}

const char *
AqTestRequest_Header(const AqTestRequest *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND,
                                       name);
}

/* Search for a query parameter by name; value is NULL until the parameter is
 * found. */
typedef struct {
    const char *name;
    const char *value;
} QuerySearch;

static enum MHD_Result
match_query(void *context, enum MHD_ValueKind kind, const char *key,
            const char *value)
{
    QuerySearch *search = context;
    (void)kind;
    if (strcmp(key, search->name) == 0) {
        search->value = value != NULL ? value : "";
    }
    return MHD_YES;
}

const char *
AqTestRequest_Query(const AqTestRequest *request, const char *name)
{
    QuerySearch search = {name, NULL};
    MHD_get_connection_values(request->connection, MHD_GET_ARGUMENT_KIND,
                              match_query, &search);
    return search.value;
}

void
AqTestRequest_AddHeader(AqTestRequest *request, const char *name,
                        const char *value)
{
    json_object_set_new(request->headers, name, json_string(value));
}

/* Records the handler's response and new state of a request and resumes a
 * suspended connection.  The request owns response, which may be NULL.  On a
 * silent connection the response is never sent. */
static void
respond(AqTestRequest *request, unsigned status, struct MHD_Response *response,
        RequestState state)
{
    request->awaits_response = false;
    request->status = status;
    request->response = response;
    request->state = request->client->silent ? REQUEST_SILENT : state;
    if (request->suspended && request->state != REQUEST_SILENT) {
        request->suspended = false;
        MHD_resume_connection(request->connection);
    }
}

void
AqTestRequest_Reply(AqTestRequest *request, unsigned status, const char *body,
                    size_t size)
{
    respond(request, status,
            MHD_create_response_from_buffer(size, (void *)body,
                                            MHD_RESPMEM_MUST_COPY),
            REQUEST_RESPONDED);
}

void
AqTestRequest_ReplyJson(AqTestRequest *request, unsigned status, json_t *value)
{
    char *text = AqJson_Dump(value);
    AqTestRequest_AddHeader(request, "Content-Type", "application/json");
    AqTestRequest_Reply(request, status, text, strlen(text));
    free(text);
    json_decref(value);
}

void
AqTestRequest_ReplyError(AqTestRequest *request, const AqError *error)
{
    unsigned status = error->kind == AQ_ERR_INVALID     ? 400
                      : error->kind == AQ_ERR_NOT_FOUND ? 404
                                                        : 409;
    AqTestRequest_ReplyJson(request, status,
                            json_pack("{s:s}", "reason", error->message));
}

/* libmicrohttpd callback that provides the first half of a truncated body and
 * then fails, which closes the connection. */
static ssize_t
read_cut_body(void *context, uint64_t at, char *out, size_t room)
{
    CutBody *cut = context;
    size_t end = cut->size / 2;
    if (at >= end) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t n = end - at < room ? end - at : room;
    memcpy(out, cut->bytes + at, n);
    return (ssize_t)n;
}

static void
free_cut_body(void *context)
{
    CutBody *cut = context;
    free(cut->bytes);
    free(cut);
}

void
AqTestRequest_ReplyCut(AqTestRequest *request, unsigned status,
                       const char *body, size_t size)
{
    CutBody *cut = calloc(1, sizeof(*cut));
    cut->bytes = malloc(size + 1);
    memcpy(cut->bytes, body, size);
    cut->size = size;
    respond(request, status,
            MHD_create_response_from_callback(size, 4096, read_cut_body, cut,
                                              free_cut_body),
            REQUEST_RESPONDED);
}

void
AqTestRequest_Close(AqTestRequest *request)
{
    respond(request, 0, NULL, REQUEST_CLOSING);
}

void
AqTestRequest_Silence(AqTestRequest *request)
{
    respond(request, 0, NULL, REQUEST_SILENT);
}

void
AqTestRequest_CloseInBody(AqTestRequest *request)
{
    request->close_in_body = true;
}
