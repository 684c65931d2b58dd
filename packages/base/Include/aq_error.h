#ifndef AQ_ERROR_H
#define AQ_ERROR_H

#include <stdbool.h>

/* Functions report errors through an AqError of the caller.  The function that
 * detects the failure fills the AqError and returns false (or NULL); each
 * function above it in the call stack returns false (or NULL) without changing
 * the AqError.  An error message states what is wrong and the remedy. */

typedef enum {
    AQ_OK = 0,
    AQ_ERR_INVALID,   /* the input is invalid; a retry with it fails too */
    AQ_ERR_NOT_FOUND, /* the named object does not exist */
    AQ_ERR_REFUSED,   /* a rule, budget or quota forbids the request now */
    AQ_ERR_CONFLICT,  /* another change of the object was applied first */
    /* A required service is unreachable; the request had no effect. */
    AQ_ERR_UNAVAILABLE,
    /* No reply arrived in time; the request may or may not have taken effect.
     */
    AQ_ERR_TIMEOUT,
    AQ_ERR_LIMIT,    /* a size or count limit was exceeded */
    AQ_ERR_PROTOCOL, /* the peer sent bytes that violate the protocol */
    AQ_ERR_SYSTEM    /* the operating system or a library failed */
} AqErrorKind;

#define AQ_ERROR_MESSAGE_SIZE 512

typedef struct {
    AqErrorKind kind;
    char message[AQ_ERROR_MESSAGE_SIZE];
} AqError;

/* Sets the kind and the message of *error, unless "error" is NULL.  Always
 * returns false, so that a failing function can end with
 * "return AqError_Set(...)". */
bool AqError_Set(AqError *error, AqErrorKind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Sets the error's kind to AQ_OK and its message to "". */
void AqError_Clear(AqError *error);

/* Returns the lower-case name of an error kind, for logs and JSON.  The string
 * has static storage. */
const char *AqErrorKind_Name(AqErrorKind kind);

#endif
