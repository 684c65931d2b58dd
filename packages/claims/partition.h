#ifndef AQ_PARTITION_H
#define AQ_PARTITION_H

#include "aq_claims.h"
#include "aq_list.h"
#include "aq_random.h"
#include "batch.h"
#include "id_table.h"

/* One partition of the claim log: its cached contents, the entries to be
 * written, and the store calls in flight (at most one read or create and one
 * removal).  Batches are stored under aq/claims/<partition>/<SEQ>, where SEQ
 * is the sequence number, from 1, as 16 hexadecimal digits. */

enum {
    /* Digits of SEQ that the key of a removal by prefix leaves out: one
     * hexadecimal digit, so that a call removes 16 batches. */
    AQ_GROUP_DIGITS = 1,
    /* Maximum number of pending entries with which a claim is still queued:
     * the capacity of one batch.  Further claims are refused at once. */
    AQ_PENDING_MAX = AQ_BATCH_MAX_ENTRIES
};

/* A claim or release that is pending, in the batch being written, or a claim
 * whose verdict has not been reported yet. */
typedef struct {
    AqLink link;
    AqBatchEntry data;      /* as written to the store */
    uint64_t request;       /* claim: the submitter's number for it */
    AqTime submitted_at;    /* monotonic */
    AqTime deadline;        /* claim: monotonic time by which a verdict must be
                             * reported; AQ_TIME_NEVER for a release */
    bool awaits_verdict;    /* claim: a verdict must still be reported */
    bool written_elsewhere; /* claim: another daemon wrote it as well */
    bool is_automatic;      /* release: queued by this daemon, for a claim
                             * without a verdict to report */
    bool is_cancelled;      /* automatic release in the batch: not to be queued
                             * again, as another daemon wrote the claim */
    AqClaimVerdict verdict; /* once decided */
} AqClaimEntry;

/* Stored batches that are removed with one call. */
typedef struct {
    uint64_t number;        /* SEQ, or SEQ / 16 with prefix_removal */
    int64_t newest_wall_ms; /* latest time in any of its batches */
    AqTime recorded_at;     /* monotonic time when its last batch was read or
                             * written by this daemon */
} AqBatchGroup;

/* The read that a partition requires before its next create. */
typedef enum {
    AQ_NEED_NOTHING,
    AQ_NEED_NEXT, /* read the batches from next_seq on */
    AQ_NEED_ALL   /* read the whole partition */
} AqReadNeed;

typedef struct {
    int number;
    AqIdTable ids; /* claims by id hash, and released nonces by the hash of
                    * id and nonce */
    AqBatchGroup *groups;  /* owned; groups of stored batches, ascending */
    size_t group_first;    /* index of the first group not removed yet */
    size_t group_count;    /* groups, with the removed ones at the start */
    size_t group_capacity; /* allocated length of "groups" */
    uint64_t next_seq;     /* first SEQ that was not read or written */
    AqTime confirmed_at;   /* start of the last call that proved that no batch
                            * exists from next_seq on */
    bool newest_is_own;    /* this instance wrote the newest batch */
    AqReadNeed read_need;
    unsigned incomplete_reads; /* reads in a row that may not have reached the
                                * end of the log */

    AqLink pending;          /* AqClaimEntry not in a batch yet, in order of
                              * arrival */
    size_t pending_count;    /* length of "pending" */
    bool may_have_automatic; /* an automatic release may be queued */
    AqLink batch;            /* AqClaimEntry of the batch being written */
    AqBuffer batch_value;    /* the batch as encoded for the store */
    uint64_t batch_nonce;    /* identifies the batch when it is read back */
    uint64_t batch_seq;      /* SEQ under which it is written; 0 for none */
    bool in_doubt;           /* a create of it had no known result */

    uint64_t call_token; /* of the read or create in flight; 0 for none */
    AqClaimsStoreCall call;
    bool reads_all;        /* the read in flight covers the partition */
    uint64_t read_end_seq; /* first SEQ after those that the read covers */
    AqTime call_started_at;
    AqTime not_before; /* earliest time of the next call, after a failure */
    AqTime write_at;   /* earliest time of the next create */

    uint64_t removal_token; /* of the removal in flight; 0 for none */
    uint64_t removal_group; /* number of the group that it removes */
    AqTime remove_at;       /* earliest time of the next removal */
    AqTime sweep_at;        /* when old records are removed from "ids" */
} AqPartition;

struct AqClaims {
    char self[AQ_WIRE_MAX_NAME]; /* name of this daemon */
    AqClaimsConfig config;
    AqClaimsOps ops;
    void *context; /* first argument of the ops */
    AqRandom random;
    uint64_t
        last_token;  /* number of store calls; tokens are derived from it */
    uint64_t writes; /* creates and removals started */
    uint64_t reads;  /* reads started */
    uint64_t bad_batches; /* see AqClaims_BadBatches */
    AqLink decided;       /* AqClaimEntry with a verdict to be reported */
    AqPartition partitions[AQ_CLAIM_PARTITIONS];
};

/* Both clocks at the time of an event. */
typedef struct {
    AqTime now;  /* monotonic */
    AqTime wall; /* Unix time */
} AqClockReading;

/* partition.c: the write path. */
void AqPartition_Init(AqPartition *part, int number);
void AqPartition_Clear(AqPartition *part);
/* Appends an entry to the pending ones and takes ownership of it. */
void AqPartition_Queue(AqPartition *part, AqClaimEntry *entry);
/* Queues the verdict on an unlinked claim to be reported, and takes ownership
 * of the entry. */
void AqPartition_Decide(AqClaims *claims, AqClaimEntry *entry,
                        AqClaimVerdict verdict);
/* Starts the next read or create if one is due. */
void AqPartition_Advance(AqClaims *claims, AqPartition *part,
                         AqClockReading at);
/* Decides the claims whose deadline has passed, none of them as granted. */
void AqPartition_Expire(AqClaims *claims, AqPartition *part,
                        AqClockReading at);
/* Decides a claim that its holder releases as UNAVAILABLE if it still awaits a
 * verdict: it must not be granted after the release. */
void AqPartition_WithdrawClaim(AqClaims *claims, AqPartition *part,
                               AqClockReading at, const AqMsgClaim *claim);
/* Decides all pending claims, and delays the next call, after the store failed
 * or a read could not be applied. */
void AqPartition_FailPending(AqClaims *claims, AqPartition *part,
                             AqClockReading at);
/* Grants the claims of the batch, which is known to be in the store. */
void AqPartition_GrantBatch(AqClaims *claims, AqPartition *part,
                            AqClockReading at);
/* Makes the entries of the batch pending again, to be evaluated for a new
 * batch.  Its claims must not be in the store or be written there later. */
void AqPartition_RequeueBatch(AqPartition *part);
/* Gives up a batch that may be in the store: decides its claims as UNAVAILABLE
 * and queues their releases. */
void AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                              AqClockReading at);
/* Marks a claim that another daemon wrote, and cancels its automatic releases:
 * that daemon may have granted it, so only its holder may release it. */
void AqPartition_MarkWrittenElsewhere(AqPartition *part,
                                      const AqBatchEntry *claim);
void AqPartition_CreateDone(AqClaims *claims, AqPartition *part,
                            AqClockReading at, AqClaimsStoreResult result);

/* partition_log.c: the cached log, its reads and its retention. */

/* Returns whether the cached log must be read again as a whole, because its
 * end was last confirmed half of the retention ago or earlier. */
bool AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                         AqTime now);
/* Returns the claim of the id that is in force at the Unix time "wall",
 * borrowed until "ids" changes, or NULL. */
const AqIdRecord *AqPartition_FindClaim(const AqClaims *claims,
                                        const AqPartition *part,
                                        const uint8_t hash[16], AqTime wall);
/* Returns whether the claim of the id with this nonce has been released. */
bool AqPartition_IsReleased(const AqPartition *part, const uint8_t hash[16],
                            uint64_t nonce);
/* Applies a claim or release of a stored batch to the cached log. */
void AqPartition_ApplyEntry(const AqClaims *claims, AqPartition *part,
                            const AqBatchEntry *entry);
/* Adds a stored batch, whose latest time is wall_ms, to its group. */
void AqPartition_RecordBatch(const AqClaims *claims, AqPartition *part,
                             uint64_t seq, int64_t wall_ms, AqTime now);
/* Returns the number of the group of a SEQ. */
uint64_t AqPartition_GroupOf(const AqClaims *claims, uint64_t seq);
void AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now);
void AqPartition_ReadDone(AqClaims *claims, AqPartition *part,
                          AqClockReading at, AqClaimsStoreResult result,
                          const AqClaimsItem *items, size_t count);
/* Starts the removal of old batches and removes old ids, when due. */
void AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                                AqClockReading at);
void AqPartition_RemoveDone(AqPartition *part, AqTime now,
                            AqClaimsStoreResult result);

/* Returns a token for a new store call that also encodes the partition. */
uint64_t AqPartition_NewToken(AqClaims *claims, const AqPartition *part);
/* Returns false and sets *error if an invariant of the partition is broken. */
bool AqPartition_CheckConsistency(const AqClaims *claims,
                                  const AqPartition *part, AqError *error);

#endif
