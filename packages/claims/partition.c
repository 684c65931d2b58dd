#include "partition.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Delay of a partition's next read or create after a store call failed or
     * a read could not be applied.  Claims that arrive during the delay wait
     * at most this long until the store is called again. */
    RETRY_MS = 200
};

void
AqPartition_Init(AqPartition *part, int number)
{
    memset(part, 0, sizeof(*part));
    part->number = number;
    part->next_seq = 1;
    part->read_need = AQ_NEED_ALL;
    AqList_Init(&part->pending);
    AqList_Init(&part->batch);
    AqBuffer_Init(&part->batch_value);
}

static void
free_entries(AqLink *list)
{
    for (AqLink *at; (at = AqList_PopFirst(list)) != NULL;) {
        free(AqList_Entry(at, AqClaimEntry, link));
    }
}

void
AqPartition_Clear(AqPartition *part)
{
    free_entries(&part->pending);
    free_entries(&part->batch);
    AqBuffer_Clear(&part->batch_value);
    AqIdTable_Clear(&part->ids);
    free(part->groups);
}

uint64_t
AqPartition_NewToken(AqClaims *claims, const AqPartition *part)
{
    claims->last_token++;
    return claims->last_token * AQ_CLAIM_PARTITIONS + (uint64_t)part->number;
}

void
AqPartition_Queue(AqPartition *part, AqClaimEntry *entry)
{
    AqList_Append(&part->pending, &entry->link);
    part->pending_count++;
}

static void
remove_pending(AqPartition *part, AqClaimEntry *entry)
{
    AqList_Remove(&entry->link);
    part->pending_count--;
}

void
AqPartition_Decide(AqClaims *claims, AqClaimEntry *entry,
                   AqClaimVerdict verdict)
{
    entry->verdict = verdict;
    AqList_Append(&claims->decided, &entry->link);
}

/* Returns the verdict on a claim that was not written to the store.  If its
 * request id is claimed in the cached log, the verdict is DUPLICATE even when
 * the store cannot confirm the older claim: UNAVAILABLE would tell the caller
 * that the request was not run, which may be wrong for the first attempt of
 * the request. */
static AqClaimVerdict
unwritten_verdict(const AqClaims *claims, const AqPartition *part,
                  const AqClaimEntry *entry, AqTime wall)
{
    const uint8_t *hash = entry->data.hash;
    return AqPartition_FindClaim(claims, part, hash, wall) != NULL
               ? AQ_CLAIM_DUPLICATE
               : AQ_CLAIM_UNAVAILABLE;
}

/* Decides the pending claims of the partition whose deadline is the monotonic
 * time "due" or earlier, as UNAVAILABLE or DUPLICATE.  part->pending has
 * claims in the order of their deadlines. */
static void
fail_pending(AqClaims *claims, AqPartition *part, AqTime wall, AqTime due)
{
    AqList_ForEachSafe(at, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        if (!entry->awaits_verdict) {
            continue;
        }
        if (entry->deadline > due) {
            break;
        }
        remove_pending(part, entry);
        AqPartition_Decide(claims, entry,
                           unwritten_verdict(claims, part, entry, wall));
    }
}

void
AqPartition_FailPending(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    fail_pending(claims, part, at.wall, AQ_TIME_NEVER);
    part->not_before = at.now + RETRY_MS;
}

/* Decides a claim of the batch being written as UNAVAILABLE.  "entry" stays in
 * the batch, which may be in the store already, but no longer awaits a
 * verdict. */
static void
decide_unavailable(AqClaims *claims, AqClaimEntry *entry)
{
    AqClaimEntry *copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    *copy = *entry;
    AqList_Init(&copy->link);
    AqPartition_Decide(claims, copy, AQ_CLAIM_UNAVAILABLE);
    entry->awaits_verdict = false;
}

static bool
batch_awaits_verdict(const AqPartition *part)
{
    AqList_ForEach(at, &part->batch)
    {
        if (AqList_Entry(at, AqClaimEntry, link)->awaits_verdict) {
            return true;
        }
    }
    return false;
}

/* Abandons part->batch if a create of this batch had no known result, no read
 * or create of the partition is in flight, and no claim of this batch awaits a
 * verdict. */
static void
abandon_batch_if_unawaited(AqClaims *claims, AqPartition *part,
                           AqClockReading at)
{
    if (part->in_doubt && part->call_token == 0 &&
        !batch_awaits_verdict(part)) {
        AqPartition_AbandonBatch(claims, part, at);
    }
}

void
AqPartition_Expire(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    fail_pending(claims, part, at.wall, at.now);
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (entry->awaits_verdict && entry->deadline <= at.now) {
            decide_unavailable(claims, entry);
        }
    }
    abandon_batch_if_unawaited(claims, part, at);
}

static bool
is_awaited_claim(const AqClaimEntry *entry, const AqMsgClaim *claim)
{
    return entry->awaits_verdict && entry->data.nonce == claim->nonce &&
           memcmp(entry->data.hash, claim->hash, 16) == 0;
}

void
AqPartition_WithdrawClaim(AqClaims *claims, AqPartition *part,
                          AqClockReading at, const AqMsgClaim *claim)
{
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (is_awaited_claim(entry, claim)) {
            remove_pending(part, entry);
            AqPartition_Decide(claims, entry, AQ_CLAIM_UNAVAILABLE);
        }
    }
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (is_awaited_claim(entry, claim)) {
            decide_unavailable(claims, entry);
        }
    }
    abandon_batch_if_unawaited(claims, part, at);
}

static void
clear_batch(AqPartition *part)
{
    AqBuffer_Clear(&part->batch_value);
    part->in_doubt = false;
    part->batch_nonce = 0;
    part->batch_seq = 0;
}

/* Turns a claim that may have been written to the store into a release of this
 * claim that is marked as automatic (queued by this daemon itself). */
static void
convert_to_release(AqPartition *part, AqClaimEntry *entry, AqTime wall)
{
    entry->data.op = AQ_BATCH_RELEASE;
    entry->data.wall_ms = wall;
    entry->deadline = AQ_TIME_NEVER;
    entry->awaits_verdict = false;
    entry->is_automatic = true;
    entry->is_cancelled = entry->written_elsewhere;
    part->may_have_automatic = true;
}

void
AqPartition_GrantBatch(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    for (AqLink *link; (link = AqList_PopFirst(&part->batch)) != NULL;) {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        bool is_claim = entry->data.op == AQ_BATCH_CLAIM;
        if (is_claim && entry->awaits_verdict) {
            AqPartition_Decide(claims, entry, AQ_CLAIM_GRANTED);
        }
        else if (is_claim && !entry->written_elsewhere) {
            convert_to_release(part, entry, at.wall);
            AqPartition_Queue(part, entry);
        }
        else {
            free(entry);
        }
    }
    clear_batch(part);
}

/* Inserts the entries of part->batch before the entries in part->pending, in
 * the same order.  Claims that no longer await a verdict and cancelled
 * releases are freed instead. */
void
AqPartition_RequeueBatch(AqPartition *part)
{
    AqLink later;
    AqList_Init(&later);
    for (AqLink *at; (at = AqList_PopFirst(&part->pending)) != NULL;) {
        AqList_Append(&later, at);
    }
    for (AqLink *at; (at = AqList_PopFirst(&part->batch)) != NULL;) {
        AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        bool is_unawaited =
            entry->data.op == AQ_BATCH_CLAIM && !entry->awaits_verdict;
        if (is_unawaited || entry->is_cancelled) {
            free(entry);
        }
        else {
            AqPartition_Queue(part, entry);
        }
    }
    for (AqLink *at; (at = AqList_PopFirst(&later)) != NULL;) {
        AqList_Append(&part->pending, at);
    }
    clear_batch(part);
}

void
AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                         AqClockReading at)
{
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (entry->awaits_verdict) {
            decide_unavailable(claims, entry);
        }
        if (entry->data.op == AQ_BATCH_CLAIM) {
            convert_to_release(part, entry, at.wall);
        }
    }
    AqPartition_RequeueBatch(part);
}

/* What is done with a pending claim or release while a batch is built. */
typedef enum {
    ADD_TO_BATCH,
    KEEP_PENDING, /* the batch being built has an entry of the same request
                   * id */
    READ_FIRST,   /* the request id is claimed in the cached log, but may
                   * have been released in the store since the log was last
                   * read */
    REJECT_DUPLICATE,
    REJECT_RELEASED,
    DISCARD
} EntryAction;

static EntryAction
choose_action(const AqClaims *claims, const AqPartition *part,
              const AqIdTable *batch_ids, AqClaimEntry *entry, AqTime wall)
{
    const AqBatchEntry *data = &entry->data;
    if (AqIdTable_Find(batch_ids, data->hash) != NULL) {
        return KEEP_PENDING;
    }
    if (data->op == AQ_BATCH_RELEASE) {
        bool is_expired = data->wall_ms + claims->config.retention_ms < wall;
        return is_expired ? DISCARD : ADD_TO_BATCH;
    }
    if (AqPartition_IsReleased(part, data->hash, data->nonce)) {
        return REJECT_RELEASED;
    }
    /* If the cached log has the same claim, because it was submitted to
     * another daemon before, the claim is written again rather than granted at
     * once: only a create proves that the stored log has no newer claim of the
     * request id. */
    const AqIdRecord *record =
        AqPartition_FindClaim(claims, part, data->hash, wall);
    if (record == NULL || record->nonce == data->nonce) {
        entry->written_elsewhere = record != NULL;
        return ADD_TO_BATCH;
    }
    return part->confirmed_at >= entry->submitted_at ? REJECT_DUPLICATE
                                                     : READ_FIRST;
}

static void
apply_action(AqClaims *claims, AqPartition *part, AqClaimEntry *entry,
             EntryAction action)
{
    switch (action) {
    case ADD_TO_BATCH:
        remove_pending(part, entry);
        AqList_Append(&part->batch, &entry->link);
        break;
    case REJECT_DUPLICATE:
    case REJECT_RELEASED:
        remove_pending(part, entry);
        AqPartition_Decide(claims, entry,
                           action == REJECT_DUPLICATE ? AQ_CLAIM_DUPLICATE
                                                      : AQ_CLAIM_UNAVAILABLE);
        break;
    case DISCARD:
        remove_pending(part, entry);
        free(entry);
        break;
    case READ_FIRST:
        part->read_need = AQ_NEED_NEXT;
        break;
    case KEEP_PENDING:
        break;
    }
}

/* Moves pending claims and releases to part->batch, decides the claims that
 * need no write, and encodes the batch.  Sets part->read_need if a claim needs
 * a read of the log first and nothing is to be written. */
static void
build_batch(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    AqIdTable batch_ids = {0};
    size_t count = 0;
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        EntryAction action =
            choose_action(claims, part, &batch_ids, entry, at.wall);
        if (action == ADD_TO_BATCH && count == AQ_BATCH_MAX_ENTRIES) {
            break;
        }
        if (action == ADD_TO_BATCH) {
            AqIdTable_Put(&batch_ids, entry->data.hash, 0, 1);
            count++;
        }
        apply_action(claims, part, entry, action);
    }
    AqIdTable_Clear(&batch_ids);
    if (count == 0) {
        return;
    }
    part->read_need = AQ_NEED_NOTHING;
    part->batch_nonce = AqRandom_Next(&claims->random);
    part->batch_seq = part->next_seq;
    AqBatch_EncodeHeader(&part->batch_value, count, claims->self,
                         part->batch_nonce, at.wall);
    AqList_ForEach(link, &part->batch)
    {
        AqBatch_EncodeEntry(&part->batch_value,
                            &AqList_Entry(link, AqClaimEntry, link)->data);
    }
}

static void
start_create(AqClaims *claims, AqPartition *part, AqTime now)
{
    char key[64];
    snprintf(key, sizeof(key), "aq/claims/%d/%016llx", part->number,
             (unsigned long long)part->batch_seq);
    part->call = AQ_CLAIMS_CREATE;
    part->call_token = AqPartition_NewToken(claims, part);
    part->call_started_at = now;
    part->write_at = now + claims->config.batch_ms;
    claims->writes++;
    claims->ops.store_call(claims->context, part->call_token, part->call,
                           false, key, part->batch_value.bytes,
                           part->batch_value.size);
}

void
AqPartition_Advance(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    bool idle = AqList_IsEmpty(&part->pending) && AqList_IsEmpty(&part->batch);
    if (part->call_token != 0 || at.now < part->not_before || idle) {
        return;
    }
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->read_need = AQ_NEED_ALL;
    }
    if (part->read_need == AQ_NEED_ALL) {
        AqPartition_AbandonBatch(claims, part, at);
    }
    if (part->read_need != AQ_NEED_NOTHING) {
        AqPartition_StartRead(claims, part, at.now);
        return;
    }
    if (at.now < part->write_at) {
        return;
    }
    if (AqList_IsEmpty(&part->batch)) {
        build_batch(claims, part, at);
    }
    if (part->read_need != AQ_NEED_NOTHING) {
        part->write_at = at.now + claims->config.batch_ms;
        AqPartition_StartRead(claims, part, at.now);
    }
    else if (!AqList_IsEmpty(&part->batch)) {
        start_create(claims, part, at.now);
    }
}

/* Handles a successful create of part->batch in the store. */
static void
batch_created(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    /* Since this daemon last read the log, other daemons may have written and
     * removed batches up to and including batch_seq.  In that case the create
     * reused the key of a removed batch, and this daemon never read the
     * batches after that key. */
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->read_need = AQ_NEED_ALL;
        AqPartition_AbandonBatch(claims, part, at);
        return;
    }
    int64_t newest = at.wall;
    AqList_ForEach(link, &part->batch)
    {
        const AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        AqPartition_ApplyEntry(claims, part, &entry->data);
        newest = entry->data.wall_ms > newest ? entry->data.wall_ms : newest;
    }
    AqPartition_RecordBatch(claims, part, part->batch_seq, newest, at.now);
    part->next_seq = part->batch_seq + 1;
    part->confirmed_at = part->call_started_at;
    part->newest_is_own = true;
    AqPartition_GrantBatch(claims, part, at);
}

void
AqPartition_CreateDone(AqClaims *claims, AqPartition *part, AqClockReading at,
                       AqClaimsStoreResult result)
{
    unsigned disabled = claims->config.disabled;
    bool done = result == AQ_CLAIMS_STORE_OK ||
                (result == AQ_CLAIMS_STORE_EXISTS &&
                 (disabled & AQ_CLAIMS_DISABLE_CREATE_ONLY) != 0) ||
                (result == AQ_CLAIMS_STORE_UNKNOWN &&
                 (disabled & AQ_CLAIMS_DISABLE_READ_BACK) != 0);
    if (done) {
        batch_created(claims, part, at);
    }
    else if (result == AQ_CLAIMS_STORE_EXISTS) {
        part->read_need = AQ_NEED_NEXT;
    }
    else if (result == AQ_CLAIMS_STORE_UNKNOWN || part->in_doubt) {
        part->in_doubt = true;
        part->read_need = AQ_NEED_NEXT;
        part->not_before = result == AQ_CLAIMS_STORE_UNKNOWN
                               ? part->not_before
                               : at.now + RETRY_MS;
    }
    else {
        AqPartition_RequeueBatch(part);
        AqPartition_FailPending(claims, part, at);
    }
}
