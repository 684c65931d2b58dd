#ifndef AQ_CLAIMS_H
#define AQ_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_clock.h"
#include "aq_error.h"
#include "aq_wire.h"

/* At-most-once claim log.  Design page, section 4.4.  Pure: store calls go out
 * through AqClaimsOps and come back through AqClaims_StoreDone; decisions go
 * out through "decided". */

enum {
    AQ_CLAIM_PARTITIONS = 8,
    AQ_CLAIM_BATCH_MS = 40
};

typedef struct AqClaims AqClaims;

typedef enum {
    AQ_CLAIMS_READ,
    AQ_CLAIMS_CREATE,
    AQ_CLAIMS_REMOVE
} AqClaimsStoreCall;

typedef struct {
    /* Starts a store call.  READ lists the keys under "key" (a prefix) or
     * reads one key; CREATE writes "value" when the key is absent; REMOVE
     * deletes the key or, with "is_prefix" (see prefix_removal), all keys
     * that start with "key".
     * "key" and "value" are borrowed for the call.  "token" comes back with
     * the result, exactly once. */
    void (*store_call)(void *context, uint64_t token, AqClaimsStoreCall call,
                       bool is_prefix, const char *key, const void *value,
                       size_t size);
    /* The verdict on a claim that AqClaims_Submit took. */
    void (*decided)(void *context, uint64_t request, AqClaimVerdict verdict);
} AqClaimsOps;

/* Test switches: each leaves one mechanism out, so that a test can show what
 * the mechanism prevents.  Zero outside of tests. */
typedef enum {
    /* An existing key counts as written, as if writes were unconditional. */
    AQ_CLAIMS_DISABLE_CREATE_ONLY = 1,
    /* A create without a reply counts as written. */
    AQ_CLAIMS_DISABLE_READ_BACK = 2,
    /* The age of the last confirmed read is not looked at. */
    AQ_CLAIMS_DISABLE_REREAD = 4,
    /* A release removes the claim of any nonce. */
    AQ_CLAIMS_DISABLE_RELEASE_NONCE = 8
} AqClaimsDisabled;

/* A zero time stands for its default. */
typedef struct {
    AqTime retention_ms;     /* default 3600000 */
    AqTime batch_ms;         /* least time between two writes of a partition;
                              * default AQ_CLAIM_BATCH_MS */
    AqTime store_timeout_ms; /* of one store call, default 1000; a claim
                              * waits at most three times as long */
    bool prefix_removal;     /* the adapter can delete by prefix: old batches
                              * go 16 at a time, with one call */
    unsigned disabled;       /* AqClaimsDisabled bits, for tests only */
} AqClaimsConfig;

/* One entry read from the store; "value" borrowed. */
typedef struct {
    const char *key;
    const void *value;
    size_t size;
} AqClaimsItem;

typedef enum {
    AQ_CLAIMS_STORE_OK,
    AQ_CLAIMS_STORE_ABSENT,
    AQ_CLAIMS_STORE_EXISTS,      /* CREATE: somebody else was first */
    AQ_CLAIMS_STORE_UNAVAILABLE, /* certainly no effect */
    AQ_CLAIMS_STORE_UNKNOWN      /* may or may not have had an effect */
} AqClaimsStoreResult;

AqClaims *AqClaims_Create(const char *self, const AqClaimsConfig *config,
                          const AqClaimsOps *ops, void *context,
                          uint64_t seed);
void AqClaims_Destroy(AqClaims *claims);

/* The 16-byte hash of a request and its partition. */
void AqClaims_Hash(const char *service, const char *request_id,
                   uint8_t hash[16]);
int AqClaims_Partition(const uint8_t hash[16]);

/* Claims for "holder", which may be this daemon or a peer.  "decided" is
 * called later (from StoreDone or Tick) with "request" unless AqClaims_Forget
 * came before.  wall_ms is Unix time in ms (> 0).  The same claim may be
 * submitted to several daemons, with the same nonce, and each may grant it:
 * the holder acts on the first verdict for a nonce only, and not on a grant
 * that comes later than half of the retention after the first submit. */
void AqClaims_Submit(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request, const AqMsgClaim *claim);
/* Appends a release of a granted or uncertain claim; repeated until written.
 */
void AqClaims_Release(AqClaims *claims, AqTime now, AqTime wall_ms,
                      const AqMsgClaim *claim);
/* The requester is gone: no verdict is wanted.  A claim that may be written
 * is released. */
void AqClaims_Forget(AqClaims *claims, AqTime now, AqTime wall_ms,
                     uint64_t request);

void AqClaims_StoreDone(AqClaims *claims, AqTime now, AqTime wall_ms,
                        uint64_t token, AqClaimsStoreResult result,
                        const AqClaimsItem *items, size_t count);

/* Writes batches that are due, drops old ones. */
void AqClaims_Tick(AqClaims *claims, AqTime now, AqTime wall_ms);
/* When AqClaims_Tick is due next; AQ_TIME_NEVER when nothing waits. */
AqTime AqClaims_NextTick(const AqClaims *claims);

/* Ids and released nonces remembered now, and the bytes they take. */
size_t AqClaims_Remembered(const AqClaims *claims);
size_t AqClaims_MemoryBytes(const AqClaims *claims);
/* Store calls made since the start; removals count as writes. */
uint64_t AqClaims_Writes(const AqClaims *claims);
uint64_t AqClaims_Reads(const AqClaims *claims);
/* Batches read that could not be decoded.  Their partition answers
 * UNAVAILABLE until they are repaired or deleted. */
uint64_t AqClaims_BadBatches(const AqClaims *claims);

bool AqClaims_CheckConsistency(const AqClaims *claims, AqError *error);

#endif
