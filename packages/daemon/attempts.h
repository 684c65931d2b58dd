#ifndef ATTEMPTS_H
#define ATTEMPTS_H

#include "daemon.h"

/* Creates the object that sends attempts of requests to endpoints, with one
 * HTTP call for each attempt. */

Attempts *Attempts_Create(Daemon *daemon);
void Attempts_Destroy(Attempts *attempts);

/* The HTTP response of an endpoint.  Its owner frees it with
 * EndpointResponse_Destroy. */
typedef struct {
    int status;
    /* Header lines "Name: value" of the response, NULL-terminated, without
     * those for which Attempts_IsOwnHeader is true. */
    char **headers;
    char *body;
    size_t size; /* bytes in "body" */
} EndpointResponse;

void EndpointResponse_Destroy(EndpointResponse *response);

/* The HTTP request that an attempt sends.  Its pointers are only used during
 * the call of Attempts_Start. */
typedef struct {
    const char *method;
    const char *path; /* path and query to request from the endpoint */
    const char *request_id;
    /* Header lines "Name: value", NULL-terminated. */
    const char *const *headers;
    const char *body;
    size_t size;     /* bytes in "body" */
    AqTime deadline; /* end of the caller's timeout, on the loop's clock */
} AttemptRequest;

/* Starts the attempt that "order" describes.  AqRouter_AttemptDone is called
 * when the attempt ends, unless the attempt is cancelled. */
void Attempts_Start(Attempts *attempts, const AqAttempt *order,
                    const AttemptRequest *request);
/* Cancels an attempt.  Returns whether no byte of the attempt's HTTP request
 * was sent; true for an attempt that is not in progress. */
bool Attempts_Cancel(Attempts *attempts, uint64_t id);

/* Whether a header line applies to one connection only (RFC 9110, 7.6.1) or is
 * set by the daemon itself, so that it must not be forwarded. */
bool Attempts_IsOwnHeader(const char *line);

#endif
