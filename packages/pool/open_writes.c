#include "open_writes.h"

enum {
    /* A write without a reply may be carried out seconds later, and a caller
     * repeats a request for as long. */
    MEMORY_MS = 10000,
    REMOVAL_INTERVAL_MS = 1000
};

typedef struct {
    unsigned in_flight;   /* writes without a result yet */
    AqTime unknown_until; /* an earlier write may be carried out until then */
    AqTime stored_until;  /* the job is known to be stored until then */
} Submission;

static bool
is_expired(const Submission *submission, AqTime now)
{
    return submission->in_flight == 0 && submission->unknown_until <= now &&
           submission->stored_until <= now;
}

static void
remove_expired(OpenWrites *writes, AqTime now)
{
    GHashTableIter iter;
    gpointer value;
    if (now < writes->next_removal_at) {
        return;
    }
    writes->next_removal_at = now + REMOVAL_INTERVAL_MS;
    g_hash_table_iter_init(&iter, writes->by_path);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_expired(value, now)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static Submission *
find_or_add(OpenWrites *writes, const char *path, AqTime now)
{
    if (writes->by_path == NULL) {
        writes->by_path =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    remove_expired(writes, now);
    Submission *submission = g_hash_table_lookup(writes->by_path, path);
    if (submission == NULL) {
        submission = g_new0(Submission, 1);
        submission->unknown_until = now;
        submission->stored_until = now;
        g_hash_table_insert(writes->by_path, g_strdup(path), submission);
    }
    return submission;
}

void
open_writes_begin(OpenWrites *writes, const char *path, AqTime now)
{
    find_or_add(writes, path, now)->in_flight++;
}

void
open_writes_end(OpenWrites *writes, const char *path, bool is_unknown,
                AqTime now)
{
    Submission *submission = find_or_add(writes, path, now);
    submission->in_flight -= submission->in_flight > 0;
    if (is_unknown) {
        submission->unknown_until = now + MEMORY_MS;
    }
}

void
open_writes_note_response(OpenWrites *writes, const char *path, int status,
                          AqTime now)
{
    if (status == 200) {
        find_or_add(writes, path, now)->stored_until = now + MEMORY_MS;
    }
    else if (status >= 500 && status != 503) {
        find_or_add(writes, path, now)->unknown_until = now + MEMORY_MS;
    }
}

SubmissionState
open_writes_state(const OpenWrites *writes, const char *path, AqTime now)
{
    const Submission *submission =
        writes->by_path != NULL ? g_hash_table_lookup(writes->by_path, path)
                                : NULL;
    if (submission == NULL) {
        return SUBMISSION_NOT_STORED;
    }
    if (submission->stored_until > now) {
        return SUBMISSION_STORED;
    }
    return is_expired(submission, now) ? SUBMISSION_NOT_STORED
                                       : SUBMISSION_OPEN;
}

void
open_writes_clear(OpenWrites *writes)
{
    if (writes->by_path != NULL) {
        g_hash_table_destroy(writes->by_path);
        writes->by_path = NULL;
    }
}
