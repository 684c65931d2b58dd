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
    /* Claim: the number that was passed to AqClaims_Submit. */
    uint64_t request;
    AqTime submitted_at; /* monotonic time of the AqClaims_Submit or
                          * AqClaims_Release call */
    /* Claim: monotonic time at which the claim is decided, but not granted, if
     * it has no verdict by then; AQ_TIME_NEVER for a release. */
    AqTime deadline;
    bool awaits_verdict;    /* claim: its verdict must still be reported */
    bool written_elsewhere; /* claim: another daemon wrote the same claim to
                             * the store as well */
    /* Release: queued by this daemon itself, as it may have written the claim
     * although no grant of the claim was reported. */
    bool is_automatic;
    /* Automatic release in the batch being written: freed instead of queued
     * again if the batch is not written, as another daemon wrote the claim. */
    bool is_cancelled;
    /* Verdict on a claim, set once the claim is decided. */
    AqClaimVerdict verdict;
} AqClaimEntry;

/* Stored batches of a partition that one store call removes together. */
typedef struct {
    /* Sequence number (SEQ) of the group's only batch or, with
     * AqClaimsConfig.prefix_removal, SEQ / 16 of each batch of the group. */
    uint64_t number;
    int64_t newest_wall_ms; /* latest Unix time in any batch of the group */
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
    /* Claims by the hash of their request id, and nonces of released claims by
     * the hash of request id hash and nonce. */
    AqIdTable ids;
    /* Owned; groups of stored batches, by ascending number. */
    AqBatchGroup *groups;
    size_t group_first; /* position in "groups" of the first group not removed
                         * from the store yet */
    size_t group_count; /* length of "groups", including the removed ones at
                         * its start */
    size_t group_capacity; /* allocated length of "groups" */
    uint64_t next_seq; /* lowest batch sequence number (SEQ) not in the cached
                        * log */
    /* Monotonic start time of the last store call that proved that the store
     * has no batch from next_seq on. */
    AqTime confirmed_at;
    bool newest_is_own; /* this daemon, since its start, wrote the newest batch
                         * known to it */
    AqReadNeed read_need;
    unsigned incomplete_reads; /* consecutive reads that may not have reached
                                * the end of the log */

    AqLink pending; /* list of the AqClaimEntry not in a batch yet, in order of
                     * arrival */
    size_t pending_count; /* length of "pending" */
    /* An automatic release (AqClaimEntry.is_automatic) may be in "pending" or
     * "batch". */
    bool may_have_automatic;
    AqLink batch; /* list of the AqClaimEntry of the batch being written; empty
                   * if none is */
    /* The batch being written, encoded as a store value. */
    AqBuffer batch_value;
    uint64_t batch_nonce; /* nonce that identifies the batch being written when
                           * it is read back; 0 for none */
    uint64_t batch_seq; /* sequence number (SEQ) of the batch being written; 0
                         * for none */
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
    AqTime not_before; /* earliest monotonic time of the next read or create,
                        * set after a failed one */
    /* Earliest monotonic time of the next create of a batch. */
    AqTime write_at;

    uint64_t removal_token; /* token of the removal in flight; 0 for none */
    uint64_t removal_group; /* number of the batch group that the removal in
                             * flight removes */
    AqTime remove_at; /* earliest monotonic time of the next removal of a batch
                       * group */
    AqTime sweep_at;  /* monotonic time at which expired records are next
                       * removed from "ids" */
} AqPartition;

struct AqClaims {
    char self[AQ_WIRE_MAX_NAME]; /* name of this daemon */
    AqClaimsConfig config;
    AqClaimsOps ops;
    void *context; /* first argument of the ops */
    AqRandom random;
    uint64_t last_token; /* number of store calls started; their tokens are
                          * derived from it */
    uint64_t writes;     /* number of store creates and removals started */
    uint64_t reads;      /* number of store reads started */
    /* Number of batches read that could not be decoded. */
    uint64_t bad_batches;
    AqLink decided; /* list of AqClaimEntry whose verdict is still to be
                     * reported */
    AqPartition partitions[AQ_CLAIM_PARTITIONS];
};

/* Monotonic clock and wall clock at the time of one event. */
typedef struct {
    AqTime now;  /* time of the monotonic clock */
    AqTime wall; /* time of the wall clock: Unix time in ms */
} AqClockReading;

/* Defined in partition.c: the writing of claims and releases to the store. */
void AqPartition_Init(AqPartition *part, int number);
void AqPartition_Clear(AqPartition *part);
/* Appends a claim or release to part->pending and takes ownership of
 * "entry". */
void AqPartition_Queue(AqPartition *part, AqClaimEntry *entry);
/* Queues "entry", a claim that is in no list, for the report of this verdict,
 * and takes ownership of "entry". */
void AqPartition_Decide(AqClaims *claims, AqClaimEntry *entry,
                        AqClaimVerdict verdict);
/* Starts the partition's next store read or create if one is due. */
void AqPartition_Advance(AqClaims *claims, AqPartition *part,
                         AqClockReading at);
/* Decides the claims of the partition whose deadline has passed, as
 * UNAVAILABLE or DUPLICATE and never as GRANTED. */
void AqPartition_Expire(AqClaims *claims, AqPartition *part,
                        AqClockReading at);
/* Decides "claim", which its holder releases, as UNAVAILABLE if the claim
 * still awaits a verdict: it must not be granted after the release. */
void AqPartition_WithdrawClaim(AqClaims *claims, AqPartition *part,
                               AqClockReading at, const AqMsgClaim *claim);
/* Decides all pending claims of the partition as UNAVAILABLE or DUPLICATE, and
 * delays its next read or create, after a store call failed or a read could
 * not be applied. */
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
/* Gives up part->batch, which may be in the store: decides its claims as
 * UNAVAILABLE and queues releases of the claims that no other daemon wrote. */
void AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                              AqClockReading at);
/* Marks "claim" as written by another daemon, and cancels releases of the
 * claim that this daemon queued automatically: the other daemon may have
 * granted the claim, so only the claim's holder may release it. */
void AqPartition_MarkWrittenElsewhere(AqPartition *part,
                                      const AqBatchEntry *claim);
void AqPartition_CreateDone(AqClaims *claims, AqPartition *part,
                            AqClockReading at, AqClaimsStoreResult result);

/* Defined in partition_log.c: the cached log of a partition, reads of the log
 * from the store, and the removal of old batches and records. */

/* Returns whether the cached log of the partition must be read again as a
 * whole, because the end of the log was last confirmed half of the retention
 * ago or earlier. */
bool AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                         AqTime now);
/* Returns the claim in the cached log whose request id has this hash and which
 * is in force (neither released nor expired) at the Unix time "wall", or NULL.
 * The claim is borrowed until part->ids changes. */
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
/* Adds the stored batch with the sequence number "seq", whose latest Unix time
 * is wall_ms, to its group in part->groups.  "now" is monotonic. */
void AqPartition_RecordBatch(const AqClaims *claims, AqPartition *part,
                             uint64_t seq, int64_t wall_ms, AqTime now);
/* Returns the number of the batch group (see AqBatchGroup) that the batch with
 * the sequence number "seq" belongs to. */
uint64_t AqPartition_GroupOf(const AqClaims *claims, uint64_t seq);
void AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now);
void AqPartition_ReadDone(AqClaims *claims, AqPartition *part,
                          AqClockReading at, AqClaimsStoreResult result,
                          const AqClaimsItem *items, size_t count);
/* Starts the removal of the oldest batch group from the store and removes
 * expired records from part->ids, each if due. */
void AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                                AqClockReading at);
void AqPartition_RemoveDone(AqPartition *part, AqTime now,
                            AqClaimsStoreResult result);

/* Returns a token for a new store call; the token modulo AQ_CLAIM_PARTITIONS
 * is the number of the partition. */
uint64_t AqPartition_NewToken(AqClaims *claims, const AqPartition *part);
/* Returns false and sets *error if an invariant of the partition is broken. */
bool AqPartition_CheckConsistency(const AqClaims *claims,
                                  const AqPartition *part, AqError *error);

#endif
