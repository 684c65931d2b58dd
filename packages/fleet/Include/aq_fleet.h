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
 * ms ("wall_ms"), because records outlive a daemon. */

typedef struct AqFleet AqFleet;

typedef enum {
    AQ_REC_POOL,
    AQ_REC_VM,
    AQ_REC_WAVE,
    AQ_REC_TEAM,
    AQ_REC_WEIGHTS, /* the only such record is named "weights" */
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
/* Returns the document version at which the set of entry VM members last
 * changed. */
int64_t AqFleet_Epoch(const AqFleet *fleet);

/* Returns a record, a JSON object owned by the document, or NULL when the
 * document has no record of that kind and name. */
const json_t *AqFleet_Get(const AqFleet *fleet, AqRecordKind kind,
                          const char *name);
/* Returns all records of a kind as a JSON object from name to record, which
 * the document owns. */
const json_t *AqFleet_All(const AqFleet *fleet, AqRecordKind kind);

typedef struct {
    /* VM id; the document owns it and all strings of this view */
    const char *id;
    const char *pool;
    const char *service; /* service that the VM's pool provides */
    const char *address; /* "IP:port" at which the VM serves requests */
    const char *rack;
    const char *zone;
    /* name of the wave that keeps the VM out of service, or "" */
    const char *wave;
    AqVmState state;
    int64_t since; /* Unix ms of the VM's last change of state */
    int slots; /* request slots of the VM's endpoint, as its pool sets them */
    int connections;
} AqVmView;

/* Fills the view of a VM; false when there is no VM of that id. */
bool AqFleet_GetVm(const AqFleet *fleet, const char *id, AqVmView *view);
/* Calls "visit" with the view of each VM until "visit" returns false. */
void AqFleet_EachVm(const AqFleet *fleet,
                    bool (*visit)(void *context, const AqVmView *view),
                    void *context);

typedef struct {
    int members; /* VMs that belong to the pool */
    int serving;
    int unavailable; /* VMs of the pool in any state but serving */
    int min_serving;
    /* no drain of a VM may raise "unavailable" above this; -1: unlimited */
    int max_unavailable;
    /* further VMs that the pool's budget allows to be drained now; >= 0 */
    int headroom;
    int buffer_target; /* VMs that the pool should have above min_serving */
} AqPoolStatus;

/* Fills the status of a pool; false when there is no pool of that name. */
bool AqFleet_GetPool(const AqFleet *fleet, const char *pool,
                     AqPoolStatus *status);

/* ---- Intents ---------------------------------------------------------- */

/* A set of upserts is a JSON array of [kind, name, record]; null in place of
 * the record deletes the record of that kind and name. */

/* Arguments of each kind of intent ("?" marks optional ones, with the default
 * in parentheses; absent fields of an existing pool, VM or team keep their
 * values, and null restores the default of a field of a pool or team):
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
 * changing the document, and appends the upserts that carry the intent out to
 * the array "set".  Records whose state changes get "wall_ms" (Unix ms) as
 * "since".  Returns false with AQ_ERR_INVALID (bad intent), AQ_ERR_NOT_FOUND
 * or AQ_ERR_REFUSED (the budget of a pool or the state of a VM or wave forbids
 * the intent; the message names the VM counts and the remedy).  Kinds of
 * intents are those of the design page except job.*, plus member.add {id,
 * address} and member.remove {id}.  An intent whose effect already holds
 * yields no upserts and succeeds. */
bool AqFleet_Evaluate(const AqFleet *fleet, const json_t *intent,
                      int64_t wall_ms, json_t *set, AqError *error);

/* Applies upserts as version AqFleet_Version + 1 under the operation id "op".
 * On failure nothing is changed; the error is AQ_ERR_CONFLICT when "op" is
 * already among the last 256 operation ids applied to the document.
 *
 * A committer applies the upserts to a clone and keeps the clone only once the
 * compare-and-swap on head (the store key AQ_FLEET_HEAD_KEY) has succeeded.
 * The compare-and-swap must expect the store revision of the head from which
 * the cloned document was read, since a watch may deliver a newer head before
 * the compare-and-swap.  An intent may be refused only after an evaluation on
 * a head that was read after the intent arrived. */
bool AqFleet_Apply(AqFleet *fleet, const char *op, const json_t *set,
                   AqError *error);
/* Returns the document version at which the operation with id "op" was
 * applied; 0 when "op" is not among the last 256 operation ids. */
int64_t AqFleet_FindOp(const AqFleet *fleet, const char *op);

/* ---- Storage ---------------------------------------------------------- */

#define AQ_FLEET_HEAD_KEY "aq/fleet/head"
/* Prefix of the store keys of snapshots, followed by the document version of
 * the snapshot in decimal. */
#define AQ_FLEET_SNAPSHOT_PREFIX "aq/fleet/snapshot/"

/* Returns the value of the store key AQ_FLEET_HEAD_KEY for this document, to
 * be released with free().  The tail in it holds the commits after the last
 * snapshot. */
char *AqFleet_EncodeHead(const AqFleet *fleet);
/* Returns whether the next commit must first store a snapshot of this
 * document. */
bool AqFleet_NeedsSnapshot(const AqFleet *fleet);
/* Returns the text of a snapshot of the document at its current version, to be
 * released with free(). */
char *AqFleet_EncodeSnapshot(const AqFleet *fleet);
/* Returns the document version of the snapshot that head (AQ_FLEET_HEAD_KEY)
 * refers to; 0 when head refers to none. */
int64_t AqFleet_SnapshotVersion(const AqFleet *fleet);
/* Records that a snapshot of the document's current version was stored, and
 * clears the tail (the commits after the last snapshot). */
void AqFleet_SnapshotWritten(AqFleet *fleet);

typedef enum {
    /* the document now has the version of the head or snapshot passed in */
    AQ_LOAD_OK,
    /* the head or snapshot passed in has the document's version or an older
     * one; the document is unchanged */
    AQ_LOAD_OLDER,
    /* AqFleet_LoadHead only: the caller must first load the snapshot of
     * version *snapshot; the document is unchanged */
    AQ_LOAD_SNAPSHOT,
    /* the head or snapshot passed in is invalid, as *error says; the document
     * is unchanged */
    AQ_LOAD_BAD
} AqLoadResult;

/* Updates the document to the version of "head", the value of
 * AQ_FLEET_HEAD_KEY, by applying the tail in it.  When the tail begins after
 * the document's next version, *snapshot gets the version of the snapshot that
 * the caller must load before it calls this function again. */
AqLoadResult AqFleet_LoadHead(AqFleet *fleet, const char *head, size_t size,
                              int64_t *snapshot, AqError *error);
/* Replaces the document by the snapshot in "text" if the snapshot has a higher
 * version than the document. */
AqLoadResult AqFleet_LoadSnapshot(AqFleet *fleet, const char *text,
                                  size_t size, AqError *error);

/* ---- Planner ---------------------------------------------------------- */

/* What the planner reads from the daemon; "context" is the pointer that was
 * passed to AqPlanner_Step. */
typedef struct {
    /* State of a VM in the platform's VM list: "live", "leaving", "down" or
     * NULL when the VM is not listed; the callee owns the string. */
    const char *(*listed)(void *context, const char *vm);
    /* Returns the number of requests in flight on a draining VM, summed over
     * all entry VMs.  "version" is the document version in which the drain
     * began; the result is -1 until each entry VM has reported this version or
     * a later one. */
    int64_t (*in_flight)(void *context, const char *vm, int64_t version);
    /* Whether all health checks of the VM in the last "ms" milliseconds
     * succeeded. */
    bool (*healthy_for)(void *context, const char *vm, int64_t ms);
} AqPlannerView;

typedef struct AqPlanner AqPlanner;

/* Returns a new planner.  The planner remembers since when each pool has had a
 * surplus or deficit of VMs, and which rebooting VMs the VM list has shown
 * down.  A daemon that restarts need not restore this knowledge. */
AqPlanner *AqPlanner_Create(void);
void AqPlanner_Destroy(AqPlanner *planner);

/* Decides the next planner step: appends upserts to "set" (none when there is
 * nothing to do) and the ids of VMs to reboot to "reboots", an array of
 * strings.  The id of a VM in state rebooting is appended in each step until
 * the VM is found rebooted or counts as failed. */
void AqPlanner_Step(AqPlanner *planner, const AqFleet *fleet, int64_t wall_ms,
                    const AqPlannerView *view, void *context, json_t *set,
                    json_t *reboots);

/* Checks the invariants of one document: each VM has exactly one existing
 * pool, fields of records are in range, and the VM counts per pool in the
 * index agree with the records.  Returns false with an error otherwise. */
bool AqFleet_CheckConsistency(const AqFleet *fleet, AqError *error);
/* Checks the change from document "before" to document "after": the version
 * grows, the budget of each pool allows the drains of its VMs, and a VM
 * changes its pool only at the end of a drain.  Returns false with an error
 * otherwise.  When "after" is more than one version later than "before",
 * checks only that the version grows and the epoch does not fall. */
bool AqFleet_CheckStep(const AqFleet *before, const AqFleet *after,
                       AqError *error);

#endif
