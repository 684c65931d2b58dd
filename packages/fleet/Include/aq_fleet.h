#ifndef AQ_FLEET_H
#define AQ_FLEET_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"

/* The versioned fleet document: records of pools, VMs, waves, teams, weights
 * and entry VM members.  Design page, section 4.1.  Times in records are Unix
 * ms ("wall_ms"), because they outlive a daemon. */

typedef struct AqFleet AqFleet;

typedef enum {
    AQ_REC_POOL,
    AQ_REC_VM,
    AQ_REC_WAVE,
    AQ_REC_TEAM,
    AQ_REC_WEIGHTS, /* one record, named "weights" */
    AQ_REC_MEMBER,
    AQ_REC_KINDS
} AqRecordKind;

typedef enum {
    AQ_VM_SERVING,
    AQ_VM_DRAINING,
    AQ_VM_DRAINED,
    AQ_VM_REBOOTING,
    AQ_VM_CHECKING,
    AQ_VM_FAILED,
    AQ_VM_LEAVING
} AqVmState;

const char *AqVmState_Name(AqVmState state);

/* Returns a new document of version 0 with the pool "spare" and default
 * weights. */
AqFleet *AqFleet_Create(void);
AqFleet *AqFleet_Clone(const AqFleet *fleet);
void AqFleet_Destroy(AqFleet *fleet);

int64_t AqFleet_Version(const AqFleet *fleet);
/* Returns the version at which the set of entry VM members last changed. */
int64_t AqFleet_Epoch(const AqFleet *fleet);

/* Returns a record, a JSON object borrowed from the document, or NULL when
 * there is none of that name. */
const json_t *AqFleet_Get(const AqFleet *fleet, AqRecordKind kind,
                          const char *name);
/* Returns all records of a kind: a borrowed object from name to record. */
const json_t *AqFleet_All(const AqFleet *fleet, AqRecordKind kind);

typedef struct {
    const char *id; /* all strings are borrowed from the document */
    const char *pool;
    const char *service; /* of its pool */
    const char *address; /* "IP:port" */
    const char *rack;
    const char *zone;
    const char *wave; /* name of the wave that stopped it; "" when none */
    AqVmState state;
    int64_t since; /* wall ms of the last change of state */
    int slots;     /* per endpoint, of its pool */
    int connections;
} AqVmView;

/* Fills the view of a VM; false when there is no VM of that id. */
bool AqFleet_GetVm(const AqFleet *fleet, const char *id, AqVmView *view);
/* Calls "visit" with the view of each VM until it returns false. */
void AqFleet_EachVm(const AqFleet *fleet,
                    bool (*visit)(void *context, const AqVmView *view),
                    void *context);

typedef struct {
    int members; /* VMs that belong to the pool */
    int serving;
    int unavailable; /* in any other state */
    int min_serving;
    int max_unavailable; /* -1: unlimited */
    int headroom;        /* planned stops that the budget allows now; >= 0 */
    int buffer_target;   /* VMs to hold above min_serving */
} AqPoolStatus;

/* Fills the status of a pool; false when there is no pool of that name. */
bool AqFleet_GetPool(const AqFleet *fleet, const char *pool,
                     AqPoolStatus *status);

/* ---- Intents ---------------------------------------------------------- */

/* A set of upserts is a JSON array of [kind, name, record]; null in place of
 * the record deletes it. */

/* Arguments ("?" marks optional ones; absent fields of an existing pool, VM
 * or team keep their values, null restores the default):
 *   pool.set      {name, service?, selector?, min_serving?, max_unavailable?,
 *                  slots?, connections?, objective?}
 *   pool.delete   {name}
 *   budget.set    {pool, min_serving?, max_unavailable?}
 *   vm.set        {id, address, rack, zone, pool? ("spare"), labels?, cores?,
 *                  memory_mb?, accelerators?}; a new
 *                 VM starts in state checking
 *   vm.remove, vm.drain, vm.undrain, vm.reboot {id}
 *   vm.move       {id, pool}
 *   wave.start    {name, selector?, kind? ("reboot"), max_parallel? (1),
 *                  release (for "rollout")}
 *   wave.pause, wave.resume, wave.abort {name}
 *   team.set      {name, cores?, memory_mb?, accelerators?}
 *   weights.set   {buffer?, moves?, time?}
 *   member.add    {id, address};  member.remove {id} */

/* Evaluates one intent {"op", "kind", "args"} against the document without
 * changing it, and appends the upserts that carry it out to the array "set".
 * "wall_ms" is the time that records get as "since".  Returns false with
 * AQ_ERR_INVALID (bad intent), AQ_ERR_NOT_FOUND or AQ_ERR_REFUSED (budget,
 * state; the message names the numbers and the remedy).  Kinds are those of
 * the design page except job.*, plus member.add {id, address} and
 * member.remove {id}.  An intent whose effect already holds yields no
 * upserts and succeeds. */
bool AqFleet_Evaluate(const AqFleet *fleet, const json_t *intent,
                      int64_t wall_ms, json_t *set, AqError *error);

/* Applies upserts as version AqFleet_Version + 1 under operation "op".  On
 * failure nothing is changed; the error is AQ_ERR_CONFLICT when the operation
 * is already among the last 256.
 *
 * A committer applies the upserts to a clone and keeps the clone only once the
 * compare-and-swap on head has succeeded.  The store index of that write must
 * be the one of the head from which the cloned document was read, since a
 * watch may deliver a newer head in between.  A refusal is final only when
 * head was read after the intent arrived. */
bool AqFleet_Apply(AqFleet *fleet, const char *op, const json_t *set,
                   AqError *error);
/* Returns the version at which an operation was applied; 0 when it is not
 * among the last 256. */
int64_t AqFleet_FindOp(const AqFleet *fleet, const char *op);

/* ---- Storage ---------------------------------------------------------- */

#define AQ_FLEET_HEAD_KEY "aq/fleet/head"
/* Followed by the version in decimal. */
#define AQ_FLEET_SNAPSHOT_PREFIX "aq/fleet/snapshot/"

/* Returns the text of head for this document, to be released with free().  Its
 * tail holds the commits after the last snapshot. */
char *AqFleet_EncodeHead(const AqFleet *fleet);
/* Returns whether the next commit must store a snapshot first. */
bool AqFleet_NeedsSnapshot(const AqFleet *fleet);
/* Returns the text of a snapshot of this version, to be released with
 * free(). */
char *AqFleet_EncodeSnapshot(const AqFleet *fleet);
/* Returns the version of the snapshot that head refers to; 0 when there is
 * none. */
int64_t AqFleet_SnapshotVersion(const AqFleet *fleet);
/* Records that a snapshot of the current version was stored, and clears the
 * tail. */
void AqFleet_SnapshotWritten(AqFleet *fleet);

typedef enum {
    AQ_LOAD_OK,       /* the document now has head's version */
    AQ_LOAD_OLDER,    /* head is not newer; nothing changed */
    AQ_LOAD_SNAPSHOT, /* load version *snapshot first; nothing changed */
    AQ_LOAD_BAD       /* text is invalid, see *error; nothing changed */
} AqLoadResult;

/* Updates the document to the version of head's text by applying the tail.
 * When the tail begins after the document's version, *snapshot gets the
 * version of the snapshot to load before the next try. */
AqLoadResult AqFleet_LoadHead(AqFleet *fleet, const char *head, size_t size,
                              int64_t *snapshot, AqError *error);
/* Replaces the document by a snapshot if the snapshot is newer. */
AqLoadResult AqFleet_LoadSnapshot(AqFleet *fleet, const char *text,
                                  size_t size, AqError *error);

/* ---- Planner ---------------------------------------------------------- */

/* What the planner reads from the daemon; "context" is the one that is passed
 * to AqPlanner_Step. */
typedef struct {
    /* State of a VM in the platform's list: "live", "leaving", "down" or NULL
     * when it is not listed; borrowed. */
    const char *(*listed)(void *context, const char *vm);
    /* Requests in flight on a draining VM, summed over all entry VMs; -1 until
     * each of them has reported the version that began the drain. */
    int64_t (*in_flight)(void *context, const char *vm, int64_t version);
    /* Whether all health checks of the last "ms" milliseconds succeeded. */
    bool (*healthy_for)(void *context, const char *vm, int64_t ms);
} AqPlannerView;

typedef struct AqPlanner AqPlanner;

/* Returns a planner.  Its state may be lost in a restart: since when a pool
 * has had a surplus or deficit, and which rebooting VMs were seen down. */
AqPlanner *AqPlanner_Create(void);
void AqPlanner_Destroy(AqPlanner *planner);

/* Decides the next background step: appends upserts to "set" (none when there
 * is nothing to do) and the ids of VMs to reboot to "reboots", an array of
 * strings.  A VM in state rebooting is named in each step until it is back. */
void AqPlanner_Step(AqPlanner *planner, const AqFleet *fleet, int64_t wall_ms,
                    const AqPlannerView *view, void *context, json_t *set,
                    json_t *reboots);

/* Checks the invariants of one document: each VM has exactly one existing
 * pool, fields are in range, and the counts of the index are right. */
bool AqFleet_CheckConsistency(const AqFleet *fleet, AqError *error);
/* Checks a step from one document to the next: the version grows, planned
 * stops keep to the budgets, and moves go through a drain. */
bool AqFleet_CheckStep(const AqFleet *before, const AqFleet *after,
                       AqError *error);

#endif
