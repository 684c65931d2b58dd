#ifndef AQ_CLAIMS_H
#define AQ_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_wire.h"

/* At-most-once log of claimed request ids.  Design page, section 4.4.  Does no
 * I/O: starts store calls through AqClaimsOps.store_call, receives their
 * results through AqClaims_StoreDone and reports verdicts through
 * AqClaimsOps.decided. */

enum {
    AQ_CLAIM_PARTITIONS = 8, /* independent logs, selected by the hash */
    AQ_CLAIM_BATCH_MS = 40   /* default of AqClaimsConfig.batch_ms */
};

typedef struct AqClaims AqClaims;

typedef enum {
    AQ_CLAIMS_READ,
    AQ_CLAIMS_CREATE,
    AQ_CLAIMS_REMOVE
} AqClaimsStoreCall;

typedef struct {
    /* Starts a store call.  READ reads one key or, with "is_prefix", all
     * entries whose keys start with "key"; CREATE writes "value" if the key
     * is absent; REMOVE deletes the key or, with "is_prefix" (see
     * prefix_removal), all keys that start with "key".
     * "key" and "value" are borrowed for the call.  The result must be passed
     * to AqClaims_StoreDone with the same "token", exactly once. */
    void (*store_call)(void *context, uint64_t token, AqClaimsStoreCall call,
                       bool is_prefix, const char *key, const void *value,
                       size_t size);
    /* Reports the verdict on the claim that was submitted with the number
     * "request". */
    void (*decided)(void *context, uint64_t request, AqClaimVerdict verdict);
} AqClaimsOps;

/* Bits that disable one mechanism each, so that a test can show which failure
 * the mechanism prevents.  Zero outside of tests. */
typedef enum {
    /* Treats a create as successful although its key existed, as if writes
     * were unconditional. */
    AQ_CLAIMS_DISABLE_CREATE_ONLY = 1,
    /* Treats a create without a reply as successful. */
    AQ_CLAIMS_DISABLE_READ_BACK = 2,
    /* Does not read the log again when the last call that confirmed its end
     * is older than half of the retention. */
    AQ_CLAIMS_DISABLE_REREAD = 4,
    /* Lets a release remove a claim of its id with any nonce. */
    AQ_CLAIMS_DISABLE_RELEASE_NONCE = 8
} AqClaimsDisabled;

/* Settings.  A time of 0 or less selects the default. */
typedef struct {
    AqTime retention_ms;     /* how long a claim blocks its id; default
                              * 3600000 */
    AqTime batch_ms;         /* minimum time between two batch writes to a
                              * partition; default AQ_CLAIM_BATCH_MS */
    AqTime store_timeout_ms; /* timeout of one store call, default 1000; a
                              * claim waits at most three times as long */
    bool prefix_removal;     /* the store can delete by key prefix: 16 old
                              * batches are removed with one call */
    unsigned disabled;       /* AqClaimsDisabled bits, for tests only */
} AqClaimsConfig;

/* One key read from the store and its value; both are borrowed. */
typedef struct {
    const char *key;
    const void *value;
    size_t size;
} AqClaimsItem;

typedef enum {
    AQ_CLAIMS_STORE_OK,
    AQ_CLAIMS_STORE_ABSENT,      /* READ, REMOVE: no such key */
    AQ_CLAIMS_STORE_EXISTS,      /* CREATE: the key existed, nothing written */
    AQ_CLAIMS_STORE_UNAVAILABLE, /* failed, certainly without effect */
    AQ_CLAIMS_STORE_UNKNOWN      /* may or may not have had an effect */
} AqClaimsStoreResult;

/* Returns a new instance, to be freed with AqClaims_Destroy.  "self" is the
 * name of this daemon, "context" is passed to the ops, and "seed" feeds the
 * generator of batch nonces. */
AqClaims *AqClaims_Create(const char *self, const AqClaimsConfig *config,
                          const AqClaimsOps *ops, void *context,
                          uint64_t seed);
void AqClaims_Destroy(AqClaims *claims);

/* Computes the 16-byte hash of a request id within its service. */
void AqClaims_Hash(const char *service, const char *request_id,
                   uint8_t hash[16]);
/* Returns the partition that holds the claims with this hash. */
int AqClaims_Partition(const uint8_t hash[16]);

/* Submits a claim of claim->holder, which is this daemon or a peer.
 * "decided" is called later (from AqClaims_StoreDone or AqClaims_Tick) with
 * the number "request", unless AqClaims_Cancel is called before.  "now" is the
 * monotonic clock, wall_ms Unix time in ms (> 0).  The same claim may be
 * submitted to several daemons, with the same nonce, and each may grant it:
 * the holder must act on the first verdict for a nonce only, and must ignore
 * a grant that arrives later than half of the retention after the first
 * submit. */
void AqClaims_Submit(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request, const AqMsgClaim *claim);
/* Queues a release of a claim that was granted or may have been written.  The
 * write is retried until it succeeds or the retention has passed. */
void AqClaims_Release(AqClaims *claims, AqTime now, AqTime wall_ms,
                      const AqMsgClaim *claim);
/* Cancels a submitted claim: no verdict is reported.  A claim that may have
 * been written is released. */
void AqClaims_Cancel(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request);

/* Handles the result of the store call "token".  READ passes the "count"
 * entries that it found, in any order, borrowed for the call. */
void AqClaims_StoreDone(AqClaims *claims, AqTime now, AqTime wall_ms,
                        uint64_t token, AqClaimsStoreResult result,
                        const AqClaimsItem *items, size_t count);

/* Starts the store calls that are due, decides claims whose deadline has
 * passed, and removes batches and ids older than the retention. */
void AqClaims_Tick(AqClaims *claims, AqTime now, AqTime wall_ms);
/* Returns the monotonic time at which AqClaims_Tick must be called next, or
 * AQ_TIME_NEVER. */
AqTime AqClaims_NextTick(const AqClaims *claims);

/* Returns the number of claimed ids and released nonces in memory. */
size_t AqClaims_RecordCount(const AqClaims *claims);
/* Returns the memory used by these records, the batches and the pending
 * entries, in bytes. */
size_t AqClaims_MemoryBytes(const AqClaims *claims);
/* Return the number of store calls since the start; removals count as
 * writes. */
uint64_t AqClaims_Writes(const AqClaims *claims);
uint64_t AqClaims_Reads(const AqClaims *claims);
/* Returns how often a batch was read that could not be decoded.  Its partition
 * decides claims as UNAVAILABLE until the batch is repaired or deleted. */
uint64_t AqClaims_BadBatches(const AqClaims *claims);

/* Returns false and sets *error if an invariant of the claim log is broken. */
bool AqClaims_CheckConsistency(const AqClaims *claims, AqError *error);

#endif
