#ifndef CLIENT_H
#define CLIENT_H

#include <jansson.h>

#include "aq_error.h"

/* Blocking HTTP calls to the operators' listener of an entry VM. */

typedef struct {
    int status;            /* HTTP status; 0 when no response arrived */
    bool may_have_arrived; /* server may have received the request */
    json_t *body;          /* response body, owned; NULL unless it is JSON */
    char message[256];     /* error of the HTTP client when status is 0 */
} ClientReply;

/* Sends "body" with POST, or a GET request when "body" is NULL, and waits for
 * the response.  Always fills *reply, which the caller releases with
 * client_clear. */
void client_call(const char *server, const char *token, const char *path,
                 const json_t *body, ClientReply *reply);
void client_clear(ClientReply *reply);

#endif
