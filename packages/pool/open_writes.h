#ifndef OPEN_WRITES_H
#define OPEN_WRITES_H

#include <glib.h>
#include <stdbool.h>

#include "aq_clock.h"

/* Remembers what this node knows of the submissions that it has handled
 * lately, by the path of the request, which names the job.
 *
 * A refusal promises that the job never runs.  A caller that had no response
 * asks again with the same id, and may reach the same node while its first
 * request still waits for the store, or after the store has carried it out.
 * The refusal of the second request would then be wrong. */

typedef enum {
    SUBMISSION_NOT_STORED, /* no write is known that could store the job */
    SUBMISSION_OPEN,       /* a write may have stored the job, or still may */
    SUBMISSION_STORED
} SubmissionState;

typedef struct {
    GHashTable *by_path; /* path -> Submission; NULL: none */
    AqTime next_removal_at;
} OpenWrites;

/* Records that a write that stores the job is sent.  Each call is followed by
 * one of open_writes_end. */
void open_writes_begin(OpenWrites *writes, const char *path, AqTime now);
/* Records that such a write has ended; "is_unknown": it had no reply, so that
 * it may still be carried out. */
void open_writes_end(OpenWrites *writes, const char *path, bool is_unknown,
                     AqTime now);
/* Records the HTTP status of a response to a submission. */
void open_writes_note_response(OpenWrites *writes, const char *path,
                               int status, AqTime now);
SubmissionState open_writes_state(const OpenWrites *writes, const char *path,
                                  AqTime now);
void open_writes_clear(OpenWrites *writes);

#endif
