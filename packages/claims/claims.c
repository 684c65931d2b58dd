#include "aq_claims.h"

#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"
#include "partition.h"

enum {
    DEFAULT_RETENTION_MS = 3600 * 1000,
    DEFAULT_STORE_TIMEOUT_MS = 1000,
    /* Number of store timeouts from the submit to the deadline of a claim.  If
     * the reply to the create of the claim's batch is lost, the claim needs
     * the timeout of that create, a read and a second create before it is
     * decided. */
    CALLS_PER_CLAIM = 3
};

static void
use_default(AqTime *value, AqTime default_value)
{
    if (*value <= 0) {
        *value = default_value;
    }
}

AqClaims *
AqClaims_Create(const char *self, const AqClaimsConfig *config,
                const AqClaimsOps *ops, void *context, uint64_t seed)
{
    AqClaims *claims = calloc(1, sizeof(*claims));
    if (claims == NULL) {
        abort();
    }
    strncpy(claims->self, self, sizeof(claims->self) - 1);
    claims->config = *config;
    use_default(&claims->config.retention_ms, DEFAULT_RETENTION_MS);
    use_default(&claims->config.batch_ms, AQ_CLAIM_BATCH_MS);
    use_default(&claims->config.store_timeout_ms, DEFAULT_STORE_TIMEOUT_MS);
    claims->ops = *ops;
    claims->context = context;
    AqRandom_Seed(&claims->random, seed);
    AqList_Init(&claims->decided);
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        AqPartition_Init(&claims->partitions[i], i);
    }
    return claims;
}

void
AqClaims_Destroy(AqClaims *claims)
{
    if (claims == NULL) {
        return;
    }
    for (AqLink *at; (at = AqList_PopFirst(&claims->decided)) != NULL;) {
        free(AqList_Entry(at, AqClaimEntry, link));
    }
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        AqPartition_Clear(&claims->partitions[i]);
    }
    free(claims);
}

void
AqClaims_Hash(const char *service, const char *request_id, uint8_t hash[16])
{
    AqBuffer text;
    AqBuffer_Init(&text);
    AqBuffer_Append(&text, service, strlen(service) + 1);
    AqBuffer_AppendText(&text, request_id);
    AqHash_Bytes128(text.bytes, text.size, hash);
    AqBuffer_Clear(&text);
}

int
AqClaims_Partition(const uint8_t hash[16])
{
    return hash[0] % AQ_CLAIM_PARTITIONS;
}

static AqPartition *
partition_of(AqClaims *claims, const uint8_t hash[16])
{
    return &claims->partitions[AqClaims_Partition(hash)];
}

static AqClaimEntry *
new_entry(const AqMsgClaim *claim, int op, AqClockReading at)
{
    AqClaimEntry *entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        abort();
    }
    AqList_Init(&entry->link);
    entry->data.op = op;
    memcpy(entry->data.hash, claim->hash, sizeof(entry->data.hash));
    memcpy(entry->data.holder, claim->holder, sizeof(entry->data.holder));
    entry->data.holder[sizeof(entry->data.holder) - 1] = '\0';
    entry->data.nonce = claim->nonce;
    entry->data.wall_ms = at.wall > 0 ? at.wall : 1;
    entry->submitted_at = at.now;
    entry->deadline = AQ_TIME_NEVER;
    return entry;
}

static void
queue_release(AqClaims *claims, const AqMsgClaim *claim, AqClockReading at)
{
    AqPartition *part = partition_of(claims, claim->hash);
    AqPartition_Queue(part, new_entry(claim, AQ_BATCH_RELEASE, at));
}

/* Reports the verdicts on all decided claims through AqClaimsOps.decided. */
static void
deliver_verdicts(AqClaims *claims)
{
    for (AqLink *at; (at = AqList_PopFirst(&claims->decided)) != NULL;) {
        AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        claims->ops.decided(claims->context, entry->request, entry->verdict);
        free(entry);
    }
}

void
AqClaims_Submit(AqClaims *claims, AqTime now, AqTime wall_ms, uint64_t request,
                const AqMsgClaim *claim)
{
    AqClockReading at = {now, wall_ms};
    AqPartition *part = partition_of(claims, claim->hash);
    AqClaimEntry *entry = new_entry(claim, AQ_BATCH_CLAIM, at);
    entry->request = request;
    entry->awaits_verdict = true;
    entry->deadline = now + CALLS_PER_CLAIM * claims->config.store_timeout_ms;
    if (part->pending_count >= AQ_PENDING_MAX) {
        bool claimed =
            AqPartition_FindClaim(claims, part, claim->hash, wall_ms) != NULL;
        AqPartition_Decide(claims, entry,
                           claimed ? AQ_CLAIM_DUPLICATE
                                   : AQ_CLAIM_UNAVAILABLE);
        return;
    }
    AqPartition_Queue(part, entry);
    AqPartition_Advance(claims, part, at);
}

void
AqClaims_Release(AqClaims *claims, AqTime now, AqTime wall_ms,
                 const AqMsgClaim *claim)
{
    AqClockReading at = {now, wall_ms};
    AqPartition *part = partition_of(claims, claim->hash);
    AqPartition_WithdrawClaim(claims, part, at, claim);
    queue_release(claims, claim, at);
    AqPartition_Advance(claims, part, at);
}

/* Returns the claim in the list that was submitted with the number "request"
 * and whose verdict was not reported yet, or NULL. */
static AqClaimEntry *
find_request(AqLink *list, uint64_t request)
{
    AqList_ForEach(at, list)
    {
        AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        if (entry->awaits_verdict && entry->request == request) {
            return entry;
        }
    }
    return NULL;
}

/* Cancels the claim submitted with the number "request" if the claim was
 * decided but its verdict was not reported yet, and queues a release of the
 * claim if it was granted and no other daemon wrote it.  Returns false if
 * there is no such claim. */
static bool
cancel_decided(AqClaims *claims, AqClockReading at, uint64_t request)
{
    AqClaimEntry *entry = find_request(&claims->decided, request);
    if (entry == NULL) {
        return false;
    }
    AqList_Remove(&entry->link);
    if (entry->verdict == AQ_CLAIM_GRANTED && !entry->written_elsewhere) {
        AqPartition *part = partition_of(claims, entry->data.hash);
        entry->data.op = AQ_BATCH_RELEASE;
        entry->data.wall_ms = at.wall;
        entry->awaits_verdict = false;
        entry->is_automatic = true;
        part->may_have_automatic = true;
        entry->deadline = AQ_TIME_NEVER;
        AqPartition_Queue(part, entry);
        AqPartition_Advance(claims, part, at);
    }
    else {
        free(entry);
    }
    return true;
}

void
AqClaims_Cancel(AqClaims *claims, AqTime now, AqTime wall_ms, uint64_t request)
{
    AqClockReading at = {now, wall_ms};
    if (cancel_decided(claims, at, request)) {
        return;
    }
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        AqPartition *part = &claims->partitions[i];
        AqClaimEntry *entry = find_request(&part->pending, request);
        if (entry != NULL) {
            AqList_Remove(&entry->link);
            part->pending_count--;
            free(entry);
            return;
        }
        entry = find_request(&part->batch, request);
        if (entry != NULL) {
            entry->awaits_verdict = false;
            AqPartition_Expire(claims, part, at);
            return;
        }
    }
}

void
AqClaims_StoreDone(AqClaims *claims, AqTime now, AqTime wall_ms,
                   uint64_t token, AqClaimsStoreResult result,
                   const AqClaimsItem *items, size_t count)
{
    AqClockReading at = {now, wall_ms};
    AqPartition *part = &claims->partitions[token % AQ_CLAIM_PARTITIONS];
    if (token != 0 && token == part->removal_token) {
        AqPartition_RemoveDone(part, now, result);
        return;
    }
    if (token == 0 || token != part->call_token) {
        return;
    }
    /* A store reply that is handled after a long pause of this process must
     * not grant a claim whose deadline has passed. */
    AqPartition_Expire(claims, part, at);
    part->call_token = 0;
    if (part->call == AQ_CLAIMS_READ) {
        AqPartition_ReadDone(claims, part, at, result, items, count);
    }
    else {
        AqPartition_CreateDone(claims, part, at, result);
    }
    AqPartition_Expire(claims, part, at);
    AqPartition_Advance(claims, part, at);
    deliver_verdicts(claims);
}

void
AqClaims_Tick(AqClaims *claims, AqTime now, AqTime wall_ms)
{
    AqClockReading at = {now, wall_ms};
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        AqPartition *part = &claims->partitions[i];
        AqPartition_Expire(claims, part, at);
        AqPartition_Advance(claims, part, at);
        AqPartition_ApplyRetention(claims, part, at);
    }
    deliver_verdicts(claims);
}

static AqTime
earlier(AqTime a, AqTime b)
{
    return a < b ? a : b;
}

/* Returns the deadline of the first claim in the list that awaits a verdict,
 * which is the earliest such deadline, or AQ_TIME_NEVER if no claim awaits a
 * verdict. */
static AqTime
first_deadline(const AqLink *list)
{
    AqList_ForEach(at, list)
    {
        const AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        if (entry->awaits_verdict) {
            return entry->deadline;
        }
    }
    return AQ_TIME_NEVER;
}

/* Returns the monotonic time at which the partition needs its next
 * AqClaims_Tick call, or AQ_TIME_NEVER if nothing is due. */
static AqTime
partition_due(const AqPartition *part)
{
    AqTime due =
        earlier(first_deadline(&part->pending), first_deadline(&part->batch));
    bool idle = AqList_IsEmpty(&part->pending) && AqList_IsEmpty(&part->batch);
    if (!idle && part->call_token == 0) {
        bool reads = part->read_need != AQ_NEED_NOTHING;
        AqTime call = part->not_before;
        if (!reads && part->write_at > call) {
            call = part->write_at;
        }
        due = earlier(due, call);
    }
    if (part->removal_token == 0 && part->newest_is_own &&
        part->group_count - part->group_first > 1) {
        due = earlier(due, part->remove_at);
    }
    if (part->ids.count > 0) {
        due = earlier(due, part->sweep_at);
    }
    return due;
}

AqTime
AqClaims_NextTick(const AqClaims *claims)
{
    if (!AqList_IsEmpty(&claims->decided)) {
        return 0;
    }
    AqTime due = AQ_TIME_NEVER;
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        due = earlier(due, partition_due(&claims->partitions[i]));
    }
    return due;
}

size_t
AqClaims_RecordCount(const AqClaims *claims)
{
    size_t count = 0;
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        count += claims->partitions[i].ids.count;
    }
    return count;
}

size_t
AqClaims_MemoryBytes(const AqClaims *claims)
{
    size_t bytes = sizeof(*claims);
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        const AqPartition *part = &claims->partitions[i];
        bytes += part->ids.capacity * sizeof(AqIdRecord);
        bytes += part->group_capacity * sizeof(AqBatchGroup);
        bytes += part->batch_value.capacity;
        bytes += part->pending_count * sizeof(AqClaimEntry);
        bytes += AqList_Length(&part->batch) * sizeof(AqClaimEntry);
    }
    return bytes;
}

uint64_t
AqClaims_Writes(const AqClaims *claims)
{
    return claims->writes;
}

uint64_t
AqClaims_Reads(const AqClaims *claims)
{
    return claims->reads;
}

uint64_t
AqClaims_BadBatches(const AqClaims *claims)
{
    return claims->bad_batches;
}

bool
AqClaims_CheckConsistency(const AqClaims *claims, AqError *error)
{
    for (int i = 0; i < AQ_CLAIM_PARTITIONS; i++) {
        const AqPartition *part = &claims->partitions[i];
        if (!AqPartition_CheckConsistency(claims, part, error)) {
            return false;
        }
    }
    return true;
}
