#include "partition.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Pause after a failed store call.  Claims that arrive meanwhile wait at
     * most this long to hear that the store is down. */
    RETRY_MS = 200
};

void
AqPartition_Init(AqPartition *part, int number)
{
    memset(part, 0, sizeof(*part));
    part->number = number;
    part->next = 1;
    part->need = AQ_NEED_ALL;
    AqList_Init(&part->pending);
    AqList_Init(&part->batch);
    AqBuffer_Init(&part->value);
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
    AqBuffer_Clear(&part->value);
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
unqueue(AqPartition *part, AqClaimEntry *entry)
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

/* The verdict on a claim that was not written.  An id that is known to be
 * claimed is a duplicate even when the store cannot confirm it: "not run"
 * would mislead the caller about the first attempt. */
static AqClaimVerdict
unwritten_verdict(const AqClaims *claims, const AqPartition *part,
                  const AqClaimEntry *entry, AqTime wall)
{
    const uint8_t *hash = entry->data.hash;
    return AqPartition_FindClaim(claims, part, hash, wall) != NULL
               ? AQ_CLAIM_DUPLICATE
               : AQ_CLAIM_UNAVAILABLE;
}

/* Claims are pending in the order of their deadlines. */
static void
fail_pending(AqClaims *claims, AqPartition *part, AqTime wall, AqTime due)
{
    AqList_ForEachSafe(at, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        if (!entry->waiting) {
            continue;
        }
        if (entry->deadline > due) {
            break;
        }
        unqueue(part, entry);
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

/* Passes on the verdict and keeps the claim as one that nobody waits for. */
static void
give_up(AqClaims *claims, AqClaimEntry *entry)
{
    AqClaimEntry *copy = malloc(sizeof(*copy));
    if (copy == NULL) {
        abort();
    }
    *copy = *entry;
    AqList_Init(&copy->link);
    AqPartition_Decide(claims, copy, AQ_CLAIM_UNAVAILABLE);
    entry->waiting = false;
}

static bool
batch_has_waiting(const AqPartition *part)
{
    AqList_ForEach(at, &part->batch)
    {
        if (AqList_Entry(at, AqClaimEntry, link)->waiting) {
            return true;
        }
    }
    return false;
}

static void
dissolve_if_unwanted(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    if (part->in_doubt && part->token == 0 && !batch_has_waiting(part)) {
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
        if (entry->waiting && entry->deadline <= at.now) {
            give_up(claims, entry);
        }
    }
    dissolve_if_unwanted(claims, part, at);
}

static bool
is_same_claim(const AqClaimEntry *entry, const AqMsgClaim *claim)
{
    return entry->waiting && entry->data.nonce == claim->nonce &&
           memcmp(entry->data.hash, claim->hash, 16) == 0;
}

void
AqPartition_Withdraw(AqClaims *claims, AqPartition *part, AqClockReading at,
                     const AqMsgClaim *claim)
{
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (is_same_claim(entry, claim)) {
            unqueue(part, entry);
            AqPartition_Decide(claims, entry, AQ_CLAIM_UNAVAILABLE);
        }
    }
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (is_same_claim(entry, claim)) {
            give_up(claims, entry);
        }
    }
    dissolve_if_unwanted(claims, part, at);
}

static void
forget_batch(AqPartition *part)
{
    AqBuffer_Clear(&part->value);
    part->in_doubt = false;
    part->nonce = 0;
    part->seq = 0;
}

static void
turn_into_release(AqPartition *part, AqClaimEntry *entry, AqTime wall)
{
    entry->data.op = AQ_BATCH_RELEASE;
    entry->data.wall = wall;
    entry->deadline = AQ_TIME_NEVER;
    entry->waiting = false;
    entry->automatic = true;
    entry->cancelled = entry->shared;
    part->has_automatic = true;
}

void
AqPartition_GrantBatch(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    for (AqLink *link; (link = AqList_PopFirst(&part->batch)) != NULL;) {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        bool is_claim = entry->data.op == AQ_BATCH_CLAIM;
        if (is_claim && entry->waiting) {
            AqPartition_Decide(claims, entry, AQ_CLAIM_GRANTED);
        }
        else if (is_claim && !entry->shared) {
            turn_into_release(part, entry, at.wall);
            AqPartition_Queue(part, entry);
        }
        else {
            free(entry);
        }
    }
    forget_batch(part);
}

/* Puts the batch before the other pending entries, in its own order. */
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
        bool unwanted = entry->data.op == AQ_BATCH_CLAIM && !entry->waiting;
        if (unwanted || entry->cancelled) {
            free(entry);
        }
        else {
            AqPartition_Queue(part, entry);
        }
    }
    for (AqLink *at; (at = AqList_PopFirst(&later)) != NULL;) {
        AqList_Append(&part->pending, at);
    }
    forget_batch(part);
}

void
AqPartition_AbandonBatch(AqClaims *claims, AqPartition *part,
                         AqClockReading at)
{
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (entry->waiting) {
            give_up(claims, entry);
        }
        if (entry->data.op == AQ_BATCH_CLAIM) {
            turn_into_release(part, entry, at.wall);
        }
    }
    AqPartition_RequeueBatch(part);
}

/* What to do with a pending entry when a batch is built. */
typedef enum {
    TAKE,
    LEAVE,         /* an earlier entry of the batch is about the same id */
    CONFIRM_FIRST, /* claimed as far as known; a release may have followed */
    REJECT_DUPLICATE,
    REJECT_RELEASED,
    DROP
} Choice;

static Choice
choose(const AqClaims *claims, const AqPartition *part, const AqIdTable *taken,
       AqClaimEntry *entry, AqTime wall)
{
    const AqBatchEntry *data = &entry->data;
    if (AqIdTable_Find(taken, data->hash) != NULL) {
        return LEAVE;
    }
    if (data->op == AQ_BATCH_RELEASE) {
        bool outlived = data->wall + claims->config.retention_ms < wall;
        return outlived ? DROP : TAKE;
    }
    if (AqPartition_IsReleased(part, data->hash, data->nonce)) {
        return REJECT_RELEASED;
    }
    /* The same claim, submitted to another daemon before, is written again
     * rather than granted as found: only a create proves that the log has no
     * newer claim of the id. */
    const AqIdRecord *record =
        AqPartition_FindClaim(claims, part, data->hash, wall);
    if (record == NULL || record->nonce == data->nonce) {
        entry->shared = record != NULL;
        return TAKE;
    }
    return part->confirmed >= entry->submitted ? REJECT_DUPLICATE
                                               : CONFIRM_FIRST;
}

static void
carry_out(AqClaims *claims, AqPartition *part, AqClaimEntry *entry,
          Choice choice)
{
    switch (choice) {
    case TAKE:
        unqueue(part, entry);
        AqList_Append(&part->batch, &entry->link);
        break;
    case REJECT_DUPLICATE:
    case REJECT_RELEASED:
        unqueue(part, entry);
        AqPartition_Decide(claims, entry,
                           choice == REJECT_DUPLICATE ? AQ_CLAIM_DUPLICATE
                                                      : AQ_CLAIM_UNAVAILABLE);
        break;
    case DROP:
        unqueue(part, entry);
        free(entry);
        break;
    case CONFIRM_FIRST:
        part->need = AQ_NEED_NEXT;
        break;
    case LEAVE:
        break;
    }
}

/* Moves pending entries to the batch and decides the claims that need no
 * write.  Sets part->need when a claim needs a read instead. */
static void
build_batch(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    AqIdTable taken = {0};
    size_t count = 0;
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        Choice choice = choose(claims, part, &taken, entry, at.wall);
        if (choice == TAKE && count == AQ_BATCH_MAX_ENTRIES) {
            break;
        }
        if (choice == TAKE) {
            AqIdTable_Put(&taken, entry->data.hash, 0, 1);
            count++;
        }
        carry_out(claims, part, entry, choice);
    }
    AqIdTable_Clear(&taken);
    if (count == 0) {
        return;
    }
    part->need = AQ_NEED_NOTHING;
    part->nonce = AqRandom_Next(&claims->random);
    part->seq = part->next;
    AqBatch_EncodeHeader(&part->value, count, claims->self, part->nonce,
                         at.wall);
    AqList_ForEach(link, &part->batch)
    {
        AqBatch_EncodeEntry(&part->value,
                            &AqList_Entry(link, AqClaimEntry, link)->data);
    }
}

static void
start_create(AqClaims *claims, AqPartition *part, AqTime now)
{
    char key[64];
    snprintf(key, sizeof(key), "aq/claims/%d/%016llx", part->number,
             (unsigned long long)part->seq);
    part->call = AQ_CLAIMS_CREATE;
    part->token = AqPartition_NewToken(claims, part);
    part->started = now;
    part->write_at = now + claims->config.batch_ms;
    claims->writes++;
    claims->ops.store_call(claims->context, part->token, part->call, false,
                           key, part->value.bytes, part->value.size);
}

void
AqPartition_Advance(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    bool idle = AqList_IsEmpty(&part->pending) && AqList_IsEmpty(&part->batch);
    if (part->token != 0 || at.now < part->not_before || idle) {
        return;
    }
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->need = AQ_NEED_ALL;
    }
    if (part->need == AQ_NEED_ALL) {
        AqPartition_AbandonBatch(claims, part, at);
    }
    if (part->need != AQ_NEED_NOTHING) {
        AqPartition_StartRead(claims, part, at.now);
        return;
    }
    if (at.now < part->write_at) {
        return;
    }
    if (AqList_IsEmpty(&part->batch)) {
        build_batch(claims, part, at);
    }
    if (part->need != AQ_NEED_NOTHING) {
        part->write_at = at.now + claims->config.batch_ms;
        AqPartition_StartRead(claims, part, at.now);
    }
    else if (!AqList_IsEmpty(&part->batch)) {
        start_create(claims, part, at.now);
    }
}

static void
created(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    /* The entries below "seq" may have been deleted since they were read, and
     * "seq" with them: then this create took the place of a deleted batch,
     * and newer batches were never read. */
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->need = AQ_NEED_ALL;
        AqPartition_AbandonBatch(claims, part, at);
        return;
    }
    int64_t newest = at.wall;
    AqList_ForEach(link, &part->batch)
    {
        const AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        AqPartition_Apply(claims, part, &entry->data);
        newest = entry->data.wall > newest ? entry->data.wall : newest;
    }
    AqPartition_NoteBatch(claims, part, part->seq, newest, at.now);
    part->next = part->seq + 1;
    part->confirmed = part->started;
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
        created(claims, part, at);
    }
    else if (result == AQ_CLAIMS_STORE_EXISTS) {
        part->need = AQ_NEED_NEXT;
    }
    else if (result == AQ_CLAIMS_STORE_UNKNOWN || part->in_doubt) {
        part->in_doubt = true;
        part->need = AQ_NEED_NEXT;
        part->not_before = result == AQ_CLAIMS_STORE_UNKNOWN
                               ? part->not_before
                               : at.now + RETRY_MS;
    }
    else {
        AqPartition_RequeueBatch(part);
        AqPartition_FailPending(claims, part, at);
    }
}
