#ifndef AQ_TEST_HTTP_H
#define AQ_TEST_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* HTTP calls of tests and of the demo driver (libcurl). */

typedef struct {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value", NULL-terminated, or NULL */
    const char *body;           /* NULL: none */
    size_t size;
    long timeout_ms; /* 0: 10 s */
} AqTestHttpCall;

typedef struct {
    long status;
    AqBuffer headers;
    AqBuffer body;
} AqTestHttpReply;

void AqTestHttpReply_Clear(AqTestHttpReply *reply);
/* Copies a header's value into out; false when it is absent. */
bool AqTestHttpReply_Header(const AqTestHttpReply *reply, const char *name,
                            char *out, size_t room);

/* A client keeps its connection and reuses it for the next call. */
typedef struct AqTestHttpClient AqTestHttpClient;

AqTestHttpClient *AqTestHttpClient_Create(void);
void AqTestHttpClient_Destroy(AqTestHttpClient *client);
/* Sends a call and returns when it is sent.  One call at a time; the bytes
 * of the call are borrowed until it is finished. */
bool AqTestHttpClient_Start(AqTestHttpClient *client,
                            const AqTestHttpCall *call, AqError *error);
/* Waits for the reply.  AQ_ERR_UNAVAILABLE: the connection was refused;
 * AQ_ERR_TIMEOUT: no whole reply in time; AQ_ERR_PROTOCOL: the connection
 * was closed before or inside the reply. */
bool AqTestHttpClient_Finish(AqTestHttpClient *client, AqTestHttpReply *reply,
                             AqError *error);
bool AqTestHttpClient_Call(AqTestHttpClient *client,
                           const AqTestHttpCall *call, AqTestHttpReply *reply,
                           AqError *error);

/* One call on a connection of its own. */
bool AqTestHttp_Call(const AqTestHttpCall *call, AqTestHttpReply *reply,
                     AqError *error);
/* A call with a JSON body (borrowed, may be NULL) and a JSON reply.  A new
 * reference, or NULL with an error also for a status other than 2xx; *status
 * may be NULL and is 0 without a reply. */
json_t *AqTestHttp_Json(const char *method, const char *url,
                        const char *const *headers, const json_t *body,
                        long *status, AqError *error);

#endif
