#ifndef ATTEMPTS_H
#define ATTEMPTS_H

#include "daemon.h"

/* Attempts at endpoints: one HTTP call each. */

Attempts *Attempts_Create(Daemon *daemon);
void Attempts_Destroy(Attempts *attempts);

/* What an endpoint answered; owned by the taker of the answer. */
typedef struct {
    int status;
    char **headers; /* "Name: value", NULL-terminated; without hop-by-hop */
    char *body;
    size_t size;
} EndpointResponse;

void EndpointResponse_Destroy(EndpointResponse *answer);

/* What an attempt sends; all borrowed for the call. */
typedef struct {
    const char *method;
    const char *path; /* with the query */
    const char *request_id;
    const char *const *headers; /* "Name: value", NULL-terminated */
    const char *body;
    size_t size;
    AqTime deadline;
} AttemptRequest;

/* Starts an attempt; AqRouter_AttemptDone follows unless it is cancelled. */
void Attempts_Start(Attempts *attempts, const AqAttempt *order,
                    const AttemptRequest *request);
/* Returns whether no byte of the request left. */
bool Attempts_Cancel(Attempts *attempts, uint64_t id);

/* Whether a header is for one connection only (RFC 9110, 7.6.1) or set by the
 * daemon itself, so that it is not passed on. */
bool Attempts_IsOwnHeader(const char *line);

#endif
