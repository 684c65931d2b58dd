#ifndef AQ_PARTITION_H
#define AQ_PARTITION_H

#include "aq_claims.h"
#include "aq_list.h"
#include "aq_random.h"
#include "batch.h"
#include "id_table.h"

/* One partition of the claim log: its cached contents, the claims and releases
 * to be written, and the store calls in flight (at most one read or create and
 * one removal).  Batches are stored under aq/claims/<partition>/<SEQ>, where
 * SEQ is the sequence number of the batch, from 1, as 16 hexadecimal
 * digits. */

enum {
    /* Digits of a batch's sequence number (SEQ) that the key of a removal by
     * prefix omits: one hexadecimal digit, so that one store call removes 16
     * batches. */
    AQ_GROUP_DIGITS = 1,
    /* Number of pending claims and releases of a partition from which on a
     * further claim is not queued: the capacity of one batch.  The further
     * claim is decided at once as UNAVAILABLE or, if its id is claimed,
     * DUPLICATE. */
    AQ_PENDING_MAX = AQ_BATCH_MAX_ENTRIES
};

/* A claim or release that waits to be put into a batch ("pending") or is in
 * the batch being written, or a decided claim whose verdict has not been
 * reported yet. */
typedef struct {
    AqLink link;
    AqBatchEntry data; /* the claim or release as written to the store */
    /* Number that was passed as "request" to AqClaims_Submit; not used for a
     * release. */
    uint64_t request;
    AqTime submitted_at; /* monotonic time of the AqClaims_Submit or
                          * AqClaims_Release call */
    /* Monotonic time at which a claim is decided, but not granted, if it has
     * no verdict by then; AQ_TIME_NEVER for a release. */
    AqTime deadline;
    bool awaits_verdict;    /* the entry is a claim whose verdict must still
                             * be reported */
    bool written_elsewhere; /* the entry is a claim that another daemon
                             * wrote to the store as well */
    /* The entry is a release that this daemon queued without an
     * AqClaims_Release call, as it may have written the released claim to the
     * store although it reported no grant of this claim. */
    bool is_automatic;
    /* The entry is an automatic release in the batch being written, and
     * another daemon wrote the claim to be released: the entry is freed
     * instead of queued again if the batch is not written. */
    bool is_cancelled;
    /* Verdict on the claim, set once the claim is decided. */
    AqClaimVerdict verdict;
} AqClaimEntry;

/* Group of stored batches of a partition that one store call removes
 * together. */
typedef struct {
    /* Sequence number (SEQ) of the group's only batch or, with
     * AqClaimsConfig.prefix_removal, SEQ / 16 of each batch of the group. */
    uint64_t number;
    int64_t newest_wall_ms; /* latest Unix time in any batch of the group,
                             * in ms */
    AqTime recorded_at; /* monotonic time when this daemon last read or wrote a
                         * batch of the group */
} AqBatchGroup;

/* The read of the store that a partition requires before it creates its next
 * batch. */
typedef enum {
    AQ_NEED_NOTHING,
    AQ_NEED_NEXT, /* read the batches from AqPartition.next_seq on */
    AQ_NEED_ALL   /* read the whole log of the partition */
} AqReadNeed;

typedef struct {
    int number;
    /* The cached log: claims by the hash of their request id, and nonces of
     * released claims by a hash of request id hash and nonce. */
    AqIdTable ids;
    /* Owned; the groups of stored batches, in ascending order of
     * AqBatchGroup.number. */
    AqBatchGroup *groups;
    size_t group_first; /* position in "groups" of the first group not removed
                         * from the store yet */
    size_t group_count; /* number of groups in "groups", including those at
                         * the start that were removed from the store
                         * already */
    size_t group_capacity; /* number of groups that "groups" has memory for */
    uint64_t next_seq; /* one more than the highest batch sequence number (SEQ)
                        * in the cached log; 1 if this log is empty */
    /* Monotonic start time of the last store call that proved that the store
     * had no batch with a sequence number (SEQ) of next_seq or higher. */
    AqTime confirmed_at;
    bool newest_is_own; /* this daemon wrote, since its start, the newest
                         * batch of the partition that it knows */
    AqReadNeed read_need;
    unsigned incomplete_reads; /* number of consecutive reads that may not
                                * have reached the end of the log in the
                                * store */

    AqLink pending; /* list of the AqClaimEntry that are in no batch yet, in
                     * order of arrival */
    size_t pending_count; /* number of entries in "pending" */
    /* An automatic release (AqClaimEntry.is_automatic) may be in "pending" or
     * "batch". */
    bool may_have_automatic;
    AqLink batch; /* list of the AqClaimEntry of the batch being written; empty
                   * while no batch is being written */
    /* The batch being written, encoded as a store value. */
    AqBuffer batch_value;
    uint64_t batch_nonce; /* nonce that identifies the batch being written
                           * when it is read back; 0 while no batch is being
                           * written */
    uint64_t batch_seq;   /* sequence number (SEQ) of the batch being written;
                           * 0 while no batch is being written */
    bool in_doubt; /* a create of the batch being written had no known result:
                    * the batch may be in the store */

    /* Token of the read or create in flight; 0 for none. */
    uint64_t call_token;
    AqClaimsStoreCall call;
    /* The read in flight covers the whole log of the partition. */
    bool reads_all;
    uint64_t read_end_seq; /* first batch sequence number (SEQ) after those
                            * that the read in flight covers */
    AqTime call_started_at;
    AqTime not_before; /* earliest monotonic time of the next read or create
                        * of the partition, set after a failed one */
    /* Earliest monotonic time of the next create of a batch of the
     * partition. */
    AqTime write_at;

    uint64_t removal_token; /* token of the removal in flight; 0 for none */
    uint64_t removal_group; /* AqBatchGroup.number of the group that the
                             * removal in flight removes */
    AqTime remove_at; /* earliest monotonic time of the next removal of a batch
                       * group */
    AqTime sweep_at;  /* monotonic time at which expired records are next
                       * removed from "ids" */
} AqPartition;

struct AqClaims {
    char self[AQ_WIRE_MAX_NAME]; /* name of this daemon */
    AqClaimsConfig config;
    AqClaimsOps ops;
    void *context; /* first argument of the functions in "ops" */
    AqRandom random;
    uint64_t last_token; /* number of store calls started since
                          * AqClaims_Create; the token of each is derived
                          * from this number */
    uint64_t writes;     /* number of store creates and removals started
                          * since AqClaims_Create */
    uint64_t reads;      /* number of store reads started since
                          * AqClaims_Create */
    /* Number of times that a batch read from the store could not be
     * decoded. */
    uint64_t bad_batches;
    AqLink decided; /* list of AqClaimEntry whose verdict is still to be
                     * reported */
    AqPartition partitions[AQ_CLAIM_PARTITIONS];
};

/* Monotonic clock and wall clock at the time of one event. */
typedef struct {
    AqTime now;  /* time of the monotonic clock in ms */
    AqTime wall; /* time of the wall clock: Unix time in ms */
} AqClockReading;

/* The functions from here on write claims and releases to the store; they are
 * defined in partition.c. */
void AqPartition_Init(AqPartition *part, int number);
void AqPartition_Clear(AqPartition *part);
/* Appends a claim or release to part->pending and takes ownership of
 * "entry". */
void AqPartition_Queue(AqPartition *part, AqClaimEntry *entry);
/* Sets the verdict on the claim "entry", which is in no list, appends the
 * claim to claims->decided for its report, and takes ownership of "entry". */
void AqPartition_Decide(AqClaims *claims, AqClaimEntry *entry,
                        AqClaimVerdict verdict);
/* Starts the partition's next store read or create if claims or releases are
 * to be written, no read or create is in flight, and the delay before the call
 * has passed. */
void AqPartition_Advance(AqClaims *claims, AqPartition *part,
                         AqClockReading at);
/* Decides the claims of the partition whose deadline (AqClaimEntry.deadline)
 * has passed, as UNAVAILABLE or DUPLICATE and never as GRANTED. */
void AqPartition_Expire(AqClaims *claims, AqPartition *part,
                        AqClockReading at);
/* Decides "claim", which its holder releases, as UNAVAILABLE if the claim
 * still awaits a verdict: it must not be granted after the release. */
void AqPartition_WithdrawClaim(AqClaims *claims, AqPartition *part,
                               AqClockReading at, const AqMsgClaim *claim);
/* Decides all pending claims of the partition as UNAVAILABLE or DUPLICATE, and
 * delays the partition's next read or create by RETRY_MS of partition.c.
 * Called after a store call failed or a read could not be applied to the
 * cached log. */
void AqPartition_FailPending(AqClaims *claims, AqPartition *part,
                             AqClockReading at);
/* Grants the claims of part->batch, which is known to be in the store.  A
 * claim that awaits no verdict any more is released instead, unless another
 * daemon wrote the claim as well. */
void AqPartition_GrantBatch(AqClaims *claims, AqPartition *part,
                            AqClockReading at);
/* Makes the claims and releases of part->batch pending again, for a later
 * batch.  The claims among them must not be in the store, nor be written there
 * by a create that is still in flight. */
void AqPartition_RequeueBatch(AqPartition *part);
/* Stops writing part->batch, which may be in the store: decides the claims of
 * this batch as UNAVAILABLE, queues releases of those that no other daemon
 * wrote, and makes the releases of the batch that are not cancelled pending
 * again. */
void AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                              AqClockReading at);
/* Marks "claim" in part->batch as written by another daemon, and cancels
 * releases of the claim that this daemon queued automatically: the other
 * daemon may have granted the claim, so only the claim's holder may release
 * it. */
void AqPartition_MarkWrittenElsewhere(AqPartition *part,
                                      const AqBatchEntry *claim);
void AqPartition_CreateDone(AqClaims *claims, AqPartition *part,
                            AqClockReading at, AqClaimsStoreResult result);

/* The functions from here to AqPartition_RemoveDone are about the cached log
 * of a partition, reads of the log from the store, and the removal of old
 * batches and records; they are defined in partition_log.c. */

/* Returns whether the cached log of the partition must be read again as a
 * whole, because the last store call that proved that the store has no batch
 * after those in the cached log (AqPartition.confirmed_at) started half of the
 * retention before "now" or earlier, by the monotonic clock. */
bool AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                         AqTime now);
/* Returns the claim in the cached log whose request id has this hash and which
 * is in force (neither released nor expired) at the Unix time "wall" in ms, or
 * NULL if there is none.  The claim is borrowed until part->ids changes. */
const AqIdRecord *AqPartition_FindClaim(const AqClaims *claims,
                                        const AqPartition *part,
                                        const uint8_t hash[16], AqTime wall);
/* Returns whether the cached log has a release of the claim with this nonce of
 * the request id with this hash. */
bool AqPartition_IsReleased(const AqPartition *part, const uint8_t hash[16],
                            uint64_t nonce);
/* Applies a claim or release that is in a stored batch to the cached log. */
void AqPartition_ApplyEntry(const AqClaims *claims, AqPartition *part,
                            const AqBatchEntry *entry);
/* Adds the stored batch with the sequence number "seq" to part->groups, whose
 * groups are batches that one store call removes together.  wall_ms is the
 * latest Unix time in the batch (in its header, claims and releases), "now"
 * the monotonic time at which this daemon read or wrote the batch. */
void AqPartition_RecordBatch(const AqClaims *claims, AqPartition *part,
                             uint64_t seq, int64_t wall_ms, AqTime now);
/* Returns the number (AqBatchGroup.number) of the group of batches, removed
 * together by one store call, that the batch with the sequence number "seq"
 * belongs to. */
uint64_t AqPartition_GroupOf(const AqClaims *claims, uint64_t seq);
void AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now);
void AqPartition_ReadDone(AqClaims *claims, AqPartition *part,
                          AqClockReading at, AqClaimsStoreResult result,
                          const AqClaimsItem *items, size_t count);
/* Starts the removal of the oldest batch group from the store once
 * part->remove_at has come and the claims in the group expired a sixteenth of
 * the retention ago, and removes expired records from part->ids once
 * part->sweep_at has come. */
void AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                                AqClockReading at);
void AqPartition_RemoveDone(AqPartition *part, AqTime now,
                            AqClaimsStoreResult result);

/* Returns a token for a new store call; the token modulo AQ_CLAIM_PARTITIONS
 * is the number of the partition. */
uint64_t AqPartition_NewToken(AqClaims *claims, const AqPartition *part);
/* Returns false and sets *error if an invariant of the data in "part" is
 * broken. */
bool AqPartition_CheckConsistency(const AqClaims *claims,
                                  const AqPartition *part, AqError *error);

#endif
