#ifndef AQ_CLAIMS_H
#define AQ_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_wire.h"

/* At-most-once log of claimed request ids, kept in the store.  A claim records
 * that a request id is taken, before a daemon starts a non-idempotent request
 * with that id; a release frees the id again.  Design page, section 4.4.  Does
 * no I/O: starts store calls through AqClaimsOps.store_call, receives their
 * results through AqClaims_StoreDone and reports verdicts on claims through
 * AqClaimsOps.decided. */

enum {
    AQ_CLAIM_PARTITIONS = 8, /* number of partitions of the claim log, which
                              * do not depend on each other; the hash of a
                              * request id selects one */
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
     * entries whose keys start with "key"; CREATE writes "value" if the store
     * has no such key; REMOVE deletes the key or, with "is_prefix" (used only
     * if AqClaimsConfig.prefix_removal is set), all keys that start with
     * "key".  "key" and "value" are borrowed until this function returns.  The
     * result of the store call must be passed to AqClaims_StoreDone with the
     * same "token", exactly once. */
    void (*store_call)(void *context, uint64_t token, AqClaimsStoreCall call,
                       bool is_prefix, const char *key, const void *value,
                       size_t size);
    /* Reports the verdict on the claim that was submitted to AqClaims_Submit
     * with the number "request". */
    void (*decided)(void *context, uint64_t request, AqClaimVerdict verdict);
} AqClaimsOps;

/* Bits of AqClaimsConfig.disabled that disable one mechanism of AqClaims each,
 * so that a test can show which failure the mechanism prevents.  No bit is set
 * outside of tests. */
typedef enum {
    /* Treats the create of a batch as successful although the store already
     * had the key and wrote nothing, as if store writes were unconditional. */
    AQ_CLAIMS_DISABLE_CREATE_ONLY = 1,
    /* Treats the create of a batch as successful although the reply of the
     * store was lost, instead of reading the batch back from the store. */
    AQ_CLAIMS_DISABLE_READ_BACK = 2,
    /* Does not read the log of a partition from the store again as a whole
     * when the last store call that proved that the store has no batch after
     * those in memory started half of the retention ago or earlier. */
    AQ_CLAIMS_DISABLE_REREAD = 4,
    /* Lets a release remove the claim of its request id even if the claim has
     * another nonce than the release. */
    AQ_CLAIMS_DISABLE_RELEASE_NONCE = 8
} AqClaimsDisabled;

/* Settings of an AqClaims; times are in ms.  A time of 0 or less selects the
 * default. */
typedef struct {
    AqTime retention_ms; /* how long a claim blocks its request id, from the
                          * Unix time recorded in the claim; default 3600000 */
    AqTime batch_ms; /* minimum time between the starts of two batch writes to
                      * a partition; default AQ_CLAIM_BATCH_MS */
    /* Timeout of one store call; default 1000.  A claim that has no verdict
     * three such timeouts after its AqClaims_Submit call is decided as
     * UNAVAILABLE or DUPLICATE, never as GRANTED. */
    AqTime store_timeout_ms;
    bool prefix_removal; /* the store can delete by key prefix, so that one
                          * store call removes 16 old batches instead of one */
    unsigned disabled;   /* AqClaimsDisabled bits, for tests only */
} AqClaimsConfig;

/* One entry read from the store; its key and value are borrowed until
 * AqClaims_StoreDone returns. */
typedef struct {
    const char *key;
    const void *value;
    size_t size;
} AqClaimsItem;

typedef enum {
    AQ_CLAIMS_STORE_OK,
    AQ_CLAIMS_STORE_ABSENT, /* READ, REMOVE: the store has no such key */
    /* CREATE: the key existed, so nothing was written. */
    AQ_CLAIMS_STORE_EXISTS,
    AQ_CLAIMS_STORE_UNAVAILABLE, /* the store call failed, certainly without
                                  * effect on the store */
    AQ_CLAIMS_STORE_UNKNOWN /* the store call may or may not have had an effect
                             * on the store */
} AqClaimsStoreResult;

/* Returns a new AqClaims, to be freed with AqClaims_Destroy.  "self" is the
 * name of this daemon, "context" is the first argument of the functions in
 * "ops", and "seed" feeds the generator of batch nonces. */
AqClaims *AqClaims_Create(const char *self, const AqClaimsConfig *config,
                          const AqClaimsOps *ops, void *context,
                          uint64_t seed);
void AqClaims_Destroy(AqClaims *claims);

/* Computes the 16-byte hash that identifies a request id of a service in
 * claims and releases, in memory and in the store. */
void AqClaims_Hash(const char *service, const char *request_id,
                   uint8_t hash[16]);
/* Returns the number (from 0) of the log partition that holds the claims with
 * this request id hash. */
int AqClaims_Partition(const uint8_t hash[16]);

/* Submits a claim of the request id with the hash claim->hash for
 * claim->holder, the daemon that is to run the request: this daemon or a
 * peer.  AqClaimsOps.decided is called later (from AqClaims_StoreDone or
 * AqClaims_Tick) with the same "request", a number that the caller chooses,
 * unless AqClaims_Cancel is called before.  "now" is the monotonic clock,
 * wall_ms Unix time in ms (> 0).  The same claim may be submitted to
 * several daemons, with the same nonce, and each of these may grant the
 * claim: the holder must act on the first verdict for a nonce only, and
 * must ignore a grant that arrives later than half of the retention after
 * the first submit. */
void AqClaims_Submit(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request, const AqMsgClaim *claim);
/* Queues a release of a claim that was granted or may have been written to the
 * store, to free its request id.  The store write of the release is retried
 * until it succeeds or the retention has passed since this function was
 * called. */
void AqClaims_Release(AqClaims *claims, AqTime now, AqTime wall_ms,
                      const AqMsgClaim *claim);
/* Cancels the claim that was submitted with the number "request": no verdict
 * on the claim is reported.  If this daemon may have written the claim to the
 * store, and no other daemon did, a release of the claim is queued. */
void AqClaims_Cancel(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request);

/* Handles the result of the store call "token".  The result of a READ comes
 * with the "count" entries that the READ found, in any order, borrowed until
 * this function returns. */
void AqClaims_StoreDone(AqClaims *claims, AqTime now, AqTime wall_ms,
                        uint64_t token, AqClaimsStoreResult result,
                        const AqClaimsItem *items, size_t count);

/* Starts the store calls that are due, decides claims that have no verdict
 * three store timeouts after their submit, and removes batches from the store
 * and request ids from memory once they are older than the retention. */
void AqClaims_Tick(AqClaims *claims, AqTime now, AqTime wall_ms);
/* Returns the monotonic time at which AqClaims_Tick must be called next, or
 * AQ_TIME_NEVER if nothing is due without another call. */
AqTime AqClaims_NextTick(const AqClaims *claims);

/* Returns the number of claimed request ids and of nonces of released claims
 * in memory. */
size_t AqClaims_RecordCount(const AqClaims *claims);
/* Returns the memory that "claims" uses, in bytes: for claimed request ids,
 * nonces of released claims, the lists of stored batches, and the claims and
 * releases still to be written to the store. */
size_t AqClaims_MemoryBytes(const AqClaims *claims);
/* AqClaims_Writes returns the number of store creates and removals, and
 * AqClaims_Reads that of store reads, started since AqClaims_Create. */
uint64_t AqClaims_Writes(const AqClaims *claims);
uint64_t AqClaims_Reads(const AqClaims *claims);
/* Returns how often a batch was read from the store that could not be decoded.
 * The partition of such a batch decides claims as UNAVAILABLE, or as DUPLICATE
 * if the id is known to be claimed, until the batch is repaired or deleted. */
uint64_t AqClaims_BadBatches(const AqClaims *claims);

/* Returns false and sets *error if an invariant of the data in "claims" is
 * broken. */
bool AqClaims_CheckConsistency(const AqClaims *claims, AqError *error);

#endif
