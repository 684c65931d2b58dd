#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>

#include "aq_error.h"

/* This header declares blocking HTTP calls to the operators' listener of an
 * entry VM. */

typedef struct {
    int status; /* HTTP status of the response; 0 when none arrived */
    /* Whether the server may have received the request. */
    bool may_have_arrived;
    /* Response body, owned by the reply; NULL unless it is JSON. */
    json_t *body;
    /* Error text of the HTTP client, set when status is 0. */
    char message[256];
} ClientReply;

/* Sends "body" as JSON with POST, or a GET request when "body" is NULL, to the
 * URL made of "server" and "path", and waits for the response.  Always fills
 * *reply, which the caller releases with client_clear. */
void client_call(const char *server, const char *token, const char *path,
                 const json_t *body, ClientReply *reply);
void client_clear(ClientReply *reply);

#endif
