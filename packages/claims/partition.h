#ifndef AQ_PARTITION_H
#define AQ_PARTITION_H

#include "aq_claims.h"
#include "aq_list.h"
#include "aq_random.h"
#include "batch.h"
#include "id_table.h"

/* One partition of the claim log: what is known of it, what waits to be
 * written, and the store calls in flight (at most one read or create and one
 * removal). */

enum {
    /* With prefix_removal, batches are removed 16 at a time by the key prefix
     * that leaves out the last hexadecimal digit. */
    AQ_GROUP_DIGITS = 1,
    /* Claims above this number wait for no write: they are refused.  It is
     * what one batch holds. */
    AQ_PENDING_MAX = AQ_BATCH_MAX_ENTRIES
};

typedef struct {
    AqLink link;
    AqBatchEntry data;
    uint64_t request;
    AqTime submitted;
    AqTime deadline; /* for the verdict; AQ_TIME_NEVER for a release */
    bool waiting;    /* a verdict is wanted */
    bool shared;     /* claim: another daemon wrote it as well */
    bool automatic;  /* release: of a claim that nobody waits for here */
    bool cancelled;  /* release in the batch: another daemon wrote the claim */
    AqClaimVerdict verdict;
} AqClaimEntry;

typedef struct {
    uint64_t number; /* SEQ, or SEQ / 16 with prefix_removal */
    int64_t newest_wall;
    AqTime seen; /* when its last batch was read or written */
} AqBatchGroup;

typedef enum {
    AQ_NEED_NOTHING,
    AQ_NEED_NEXT, /* read SEQ "next" and what follows */
    AQ_NEED_ALL   /* read the partition from the start */
} AqReadNeed;

typedef struct {
    int number;
    AqIdTable ids;        /* of claims, and of released nonces */
    AqBatchGroup *groups; /* owned; of the batches in the store, ascending */
    size_t group_first;   /* those before were removed */
    size_t group_count;   /* the removed ones included */
    size_t group_capacity;
    uint64_t next;      /* first SEQ that was not seen */
    AqTime confirmed;   /* start of the last call that proved "next" free */
    bool newest_is_own; /* the newest batch was written here */
    AqReadNeed need;
    unsigned catch_up; /* reads in a row that did not reach the end */

    AqLink pending; /* AqClaimEntry, in order of arrival */
    size_t pending_count;
    bool has_automatic; /* there may be automatic releases */
    AqLink batch;       /* AqClaimEntry, being written */
    AqBuffer value;     /* of the batch */
    uint64_t nonce;     /* of the batch */
    uint64_t seq;       /* of the batch */
    bool in_doubt;      /* an attempt to write it has no known result */

    uint64_t token; /* of the read or create in flight; 0 for none */
    AqClaimsStoreCall call;
    bool reads_all;
    uint64_t read_end; /* first SEQ after those that the read covers */
    AqTime started;
    AqTime not_before; /* no call earlier, after a failure */
    AqTime write_at;   /* no create earlier */

    uint64_t removal; /* token of the removal in flight; 0 for none */
    uint64_t removed; /* number of its group */
    AqTime remove_at;
    AqTime sweep_at;
} AqPartition;

struct AqClaims {
    char self[AQ_WIRE_MAX_NAME];
    AqClaimsConfig config;
    AqClaimsOps ops;
    void *context;
    AqRandom random;
    uint64_t last_token;
    uint64_t writes;
    uint64_t reads;
    uint64_t bad_batches;
    AqLink decided; /* AqClaimEntry with its verdict, not yet passed on */
    AqPartition partitions[AQ_CLAIM_PARTITIONS];
};

/* Clocks at one event. */
typedef struct {
    AqTime now;
    AqTime wall;
} AqClockReading;

/* partition.c: the write path. */
void AqPartition_Init(AqPartition *part, int number);
void AqPartition_Clear(AqPartition *part);
void AqPartition_Queue(AqPartition *part, AqClaimEntry *entry);
/* Passes verdict to the requester of an unlinked claim; takes the entry. */
void AqPartition_Decide(AqClaims *claims, AqClaimEntry *entry,
                        AqClaimVerdict verdict);
/* Starts the next store call, when one is due. */
void AqPartition_Advance(AqClaims *claims, AqPartition *part,
                         AqClockReading at);
/* Gives up on claims whose deadline has passed. */
void AqPartition_Expire(AqClaims *claims, AqPartition *part,
                        AqClockReading at);
/* Ends the wait of a claim that its holder releases: it must not be granted
 * after that. */
void AqPartition_Withdraw(AqClaims *claims, AqPartition *part,
                          AqClockReading at, const AqMsgClaim *claim);
/* Answers all pending claims when the store cannot be reached. */
void AqPartition_FailPending(AqClaims *claims, AqPartition *part,
                             AqClockReading at);
/* The batch is in the store: grants its claims. */
void AqPartition_GrantBatch(AqClaims *claims, AqPartition *part,
                            AqClockReading at);
/* The batch is not in the store and can never be: evaluates it again. */
void AqPartition_RequeueBatch(AqPartition *part);
/* Gives up on a batch that may be in the store: releases its claims. */
void AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                              AqClockReading at);
/* Another daemon wrote this claim and may have granted it, so it must not be
 * released from here without its holder asking for that. */
void AqPartition_KeepClaim(AqPartition *part, const AqBatchEntry *claim);
void AqPartition_CreateDone(AqClaims *claims, AqPartition *part,
                            AqClockReading at, AqClaimsStoreResult result);

/* partition_log.c: what is known of the log. */
bool AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                         AqTime now);
/* The claim of the id that is in force, or NULL. */
const AqIdRecord *AqPartition_FindClaim(const AqClaims *claims,
                                        const AqPartition *part,
                                        const uint8_t hash[16], AqTime wall);
bool AqPartition_IsReleased(const AqPartition *part, const uint8_t hash[16],
                            uint64_t nonce);
void AqPartition_Apply(const AqClaims *claims, AqPartition *part,
                       const AqBatchEntry *entry);
void AqPartition_NoteBatch(const AqClaims *claims, AqPartition *part,
                           uint64_t seq, int64_t wall, AqTime now);
/* The group of a SEQ. */
uint64_t AqPartition_GroupOf(const AqClaims *claims, uint64_t seq);
void AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now);
void AqPartition_ReadDone(AqClaims *claims, AqPartition *part,
                          AqClockReading at, AqClaimsStoreResult result,
                          const AqClaimsItem *items, size_t count);
/* Removes old batches and forgets old ids. */
void AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                                AqClockReading at);
void AqPartition_RemoveDone(AqPartition *part, AqTime now,
                            AqClaimsStoreResult result);

uint64_t AqPartition_NewToken(AqClaims *claims, const AqPartition *part);
bool AqPartition_CheckConsistency(const AqClaims *claims,
                                  const AqPartition *part, AqError *error);

#endif
