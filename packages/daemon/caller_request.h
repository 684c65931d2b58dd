#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include "attempts.h"
#include "aq_http_server.h"
#include "aq_router.h"

/* A caller's HTTP request, parsed from the method, path and headers. */

typedef struct {
    uint64_t number; /* request number assigned by the router */
    /* HTTP exchange with the caller, owned by the HTTP server; valid until the
     * response to the caller is sent. */
    AqExchange *exchange;
    char *service;
    char *path; /* path and query to send to the endpoint */
    char *request_id;
    bool idempotent;
    AqPriority priority;
    AqTime timeout_ms;
    AqTime started; /* when the request arrived, on the loop's clock */
    char **headers; /* header lines to send to the endpoint */
    EndpointResponse *response; /* latest response of an endpoint, or NULL */
    uint64_t response_attempt;  /* number of the attempt that got "response" */
} CallerRequest;

/* Prefix of the request paths that are forwarded to endpoints. */
#define CALLER_PATH_PREFIX "/v1/services/"

/* Parses the caller's request in "exchange", which arrived at "now".  The
 * result is freed with CallerRequest_Destroy.  Returns NULL with
 * AQ_ERR_INVALID for a bad request; the message names the header, its value,
 * the allowed values and the remedy.  "fallback_id" becomes the id of an
 * idempotent request without an id. */
CallerRequest *CallerRequest_Create(AqExchange *exchange, AqTime now,
                                    AqTime default_timeout_ms,
                                    const char *fallback_id, AqError *error);
void CallerRequest_Destroy(CallerRequest *request);

#endif
