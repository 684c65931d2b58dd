#ifndef RECENT_SUBMISSIONS_H
#define RECENT_SUBMISSIONS_H

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
} RecentSubmissions;

/* Records that a write that stores the job is sent.  Each call is followed by
 * one of recent_submissions_end_write. */
void recent_submissions_begin_write(RecentSubmissions *recent,
                                    const char *path, AqTime now);
/* Records that such a write has ended; "is_unknown": it had no reply, so that
 * it may still be carried out. */
void recent_submissions_end_write(RecentSubmissions *recent, const char *path,
                                  bool is_unknown, AqTime now);
/* Records the HTTP status of a response to a submission. */
void recent_submissions_note_response(RecentSubmissions *recent,
                                      const char *path, int status,
                                      AqTime now);
SubmissionState recent_submissions_state(const RecentSubmissions *recent,
                                         const char *path, AqTime now);
void recent_submissions_clear(RecentSubmissions *recent);

#endif
