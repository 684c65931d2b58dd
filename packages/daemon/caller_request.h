#ifndef CALLER_REQUEST_H
#define CALLER_REQUEST_H

#include "attempts.h"
#include "aq_http_server.h"
#include "aq_router.h"

/* A request of a caller, parsed from its method, path and headers. */

typedef struct {
    uint64_t number;      /* given by the router */
    AqExchange *exchange; /* borrowed until it is answered */
    char *service;
    char *path; /* for the endpoint, with the query */
    char *request_id;
    bool idempotent;
    AqPriority priority;
    AqTime timeout_ms;
    AqTime started;
    char **headers;           /* passed on to the endpoint */
    EndpointResponse *answer; /* of the latest attempt that was answered */
    uint64_t response_attempt;
} CallerRequest;

/* Prefix of the paths that are forwarded. */
#define CALLER_PATH_PREFIX "/v1/services/"

/* Reads a request; NULL with AQ_ERR_INVALID, whose message names the header,
 * its value, what is allowed and the remedy.  "fallback_id" is used for an
 * idempotent request without an id. */
CallerRequest *CallerRequest_Create(AqExchange *exchange, AqTime now,
                                    AqTime default_timeout_ms,
                                    const char *fallback_id, AqError *error);
void CallerRequest_Destroy(CallerRequest *request);

#endif
