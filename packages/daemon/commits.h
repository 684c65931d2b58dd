#ifndef COMMITS_H
#define COMMITS_H

#include <jansson.h>

#include "daemon.h"

/* Creates the object that commits changes to the fleet document.  A commit
 * reads the store entry "head", which describes the newest document, evaluates
 * the waiting changes on that document and writes all of them with one
 * compare-and-swap of "head".  After a conflict or a lost reply the commit
 * reads "head" and evaluates the changes again; a change whose operation id is
 * found in the document has been applied already. */

Commits *Commits_Create(Daemon *daemon);
void Commits_Destroy(Commits *commits);

typedef enum {
    /* The change is stored, and a majority of the epoch's members has reported
     * that it is in force. */
    COMMIT_ACCEPTED,
    /* The change is stored, but the wait for a majority of the epoch's members
     * to report that it is in force has timed out. */
    COMMIT_STORED,
    COMMIT_REFUSED,     /* change not stored; "error" gives the reason */
    COMMIT_UNAVAILABLE, /* change not stored; the store was not reached */
    /* The change may be stored; submitting it again under the same operation
     * id stores it at most once. */
    COMMIT_UNKNOWN
} CommitStatus;

/* Evaluates a change on the newest fleet document at "wall_ms" (Unix time in
 * ms) and appends the records to insert or replace to "set"; an empty set
 * commits nothing.  Returns false and sets "error" to refuse the change. */
typedef bool (*CommitEvaluate)(void *context, const AqFleet *fleet,
                               int64_t wall_ms, json_t *set, AqError *error);
/* Called once with the result of a submitted change.  "version" is the version
 * of the fleet document that contains a stored change; "error" gives the
 * reason of a refusal. */
typedef void (*CommitDone)(void *context, CommitStatus status, int64_t version,
                           const AqError *error);

/* Queues a change of the fleet document under the operation id "op", which is
 * copied.  "done" is called with the result after this function has returned.
 */
void Commits_Submit(Commits *commits, const char *op, CommitEvaluate evaluate,
                    CommitDone done, void *context);
/* Queues an operator's intent (requested change) for a commit to the fleet
 * document.  Commits takes its own reference to "intent". */
void Commits_SubmitIntent(Commits *commits, json_t *intent, CommitDone done,
                          void *context);

/* Queues an intent (requested change) of kind member.add or member.remove.
 * Commits takes its own reference to "intent".  The intent is refused with
 * AQ_ERR_CONFLICT while the members of the epoch may not change; it can be
 * submitted again later. */
void Commits_SubmitMember(Commits *commits, json_t *intent, CommitDone done,
                          void *context);

/* Ends each commit whose change a majority of the epoch's members has reported
 * in force, or whose wait for these reports has timed out.  Called after each
 * received heartbeat. */
void Commits_CheckConfirmed(Commits *commits);

#endif
