#ifndef COMMITS_H
#define COMMITS_H

#include <jansson.h>

#include "daemon.h"

/* Commits changes to the fleet document.  A commit reads head (the store's
 * record of the newest document), evaluates the waiting changes on it and
 * writes them together with one compare-and-swap.  After a conflict or a lost
 * reply it reads head and evaluates the changes again; a change whose
 * operation id is found in the document has been applied already. */

Commits *Commits_Create(Daemon *daemon);
void Commits_Destroy(Commits *commits);

typedef enum {
    /* The change is stored, and in force at a majority of the epoch. */
    COMMIT_ACCEPTED,
    COMMIT_STORED,      /* change stored, not yet confirmed by a majority */
    COMMIT_REFUSED,     /* change not stored; the error gives the reason */
    COMMIT_UNAVAILABLE, /* change not stored; the store was not reached */
    COMMIT_UNKNOWN      /* change may be stored; repeat the operation id */
} CommitStatus;

/* Evaluates a change on the newest fleet document at "wall_ms" (Unix time in
 * ms) and appends the records to insert or replace to "set"; an empty set
 * commits nothing.  Returns false and sets "error" to refuse the change. */
typedef bool (*CommitEvaluate)(void *context, const AqFleet *fleet,
                               int64_t wall_ms, json_t *set, AqError *error);
/* Called once with the result of a change.  "version" is the version of the
 * fleet document that contains a stored change; "error" gives the reason of a
 * refusal. */
typedef void (*CommitDone)(void *context, CommitStatus status, int64_t version,
                           const AqError *error);

/* Queues a change under an operation id, which is copied.  "done" is called
 * after this function has returned. */
void Commits_Submit(Commits *commits, const char *op, CommitEvaluate evaluate,
                    CommitDone done, void *context);
/* Queues an operator's intent as a change; takes its own reference to
 * "intent". */
void Commits_SubmitIntent(Commits *commits, json_t *intent, CommitDone done,
                          void *context);

/* Queues an intent of kind member.add or member.remove; takes its own
 * reference to "intent".  The intent is refused with AQ_ERR_CONFLICT while the
 * members of the epoch may not change; it can be submitted again later. */
void Commits_SubmitMember(Commits *commits, json_t *intent, CommitDone done,
                          void *context);

/* Finishes the commits that a majority has confirmed or whose confirmation has
 * timed out.  Called after each received heartbeat. */
void Commits_CheckConfirmed(Commits *commits);

#endif
