#include "partition.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"

enum {
    KEY_DIGITS = 16, /* number of hexadecimal digits of a batch's sequence
                      * number (SEQ) in a store key */
    /* To catch up with the log in the store, a partition reads up to 16
     * batches in each of NARROW_READS reads, then up to 256 in each of
     * WIDE_READS reads, and then the whole log.  At 25 batches per second the
     * narrow and wide reads together cover a gap of about three minutes. */
    NARROW_READS = 4,
    WIDE_READS = 16,
    /* Delay before a failed removal of batches is tried again, and before a
     * daemon that may not remove batches, as it did not write the newest
     * batch, checks again whether it may. */
    REMOVAL_RETRY_MS = 500,
    /* A batch is removed a sixteenth of the retention (225 s of 1 h) after its
     * claims have expired, so that daemons whose wall clocks differ by less
     * than this sixteenth never base a verdict on a removed batch. */
    GRACE_DIVISOR = 16
};

bool
AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                    AqTime now)
{
    return (claims->config.disabled & AQ_CLAIMS_DISABLE_REREAD) == 0 &&
           now - part->confirmed_at >= claims->config.retention_ms / 2;
}

const AqIdRecord *
AqPartition_FindClaim(const AqClaims *claims, const AqPartition *part,
                      const uint8_t hash[16], AqTime wall)
{
    const AqIdRecord *record = AqIdTable_Find(&part->ids, hash);
    bool is_in_force = record != NULL &&
                       record->wall_ms + claims->config.retention_ms >= wall;
    return is_in_force ? record : NULL;
}

/* Computes the key under which AqPartition.ids records that the claim with
 * this request id hash and nonce was released. */
static void
released_key(const uint8_t hash[16], uint64_t nonce, uint8_t key[16])
{
    uint8_t bytes[24];
    memcpy(bytes, hash, 16);
    memcpy(bytes + 16, &nonce, sizeof(nonce));
    AqHash_Bytes128(bytes, sizeof(bytes), key);
}

bool
AqPartition_IsReleased(const AqPartition *part, const uint8_t hash[16],
                       uint64_t nonce)
{
    uint8_t key[16];
    released_key(hash, nonce, key);
    return AqIdTable_Find(&part->ids, key) != NULL;
}

/* The newest claim of a request id replaces older claims of the id: the daemon
 * that wrote the newest claim had read the older ones and found them released
 * or expired. */
void
AqPartition_ApplyEntry(const AqClaims *claims, AqPartition *part,
                       const AqBatchEntry *entry)
{
    if (entry->op == AQ_BATCH_CLAIM) {
        AqIdTable_Put(&part->ids, entry->hash, entry->nonce, entry->wall_ms);
        return;
    }
    uint8_t key[16];
    AqIdRecord *record = AqIdTable_Find(&part->ids, entry->hash);
    bool ignores_nonce =
        (claims->config.disabled & AQ_CLAIMS_DISABLE_RELEASE_NONCE) != 0;
    if (record != NULL && (record->nonce == entry->nonce || ignores_nonce)) {
        AqIdTable_Remove(&part->ids, record);
    }
    released_key(entry->hash, entry->nonce, key);
    AqIdTable_Put(&part->ids, key, entry->nonce, entry->wall_ms);
}

static bool
matches_claim(const AqClaimEntry *entry, const AqBatchEntry *claim)
{
    return entry->data.nonce == claim->nonce &&
           memcmp(entry->data.hash, claim->hash, 16) == 0;
}

/* Removes from part->pending the releases of the claim that this daemon queued
 * without an AqClaims_Release call, and frees them. */
static void
cancel_pending_releases(AqPartition *part, const AqBatchEntry *claim)
{
    part->may_have_automatic = false;
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (entry->is_automatic && matches_claim(entry, claim)) {
            AqList_Remove(link);
            part->pending_count--;
            free(entry);
        }
        else if (entry->is_automatic) {
            part->may_have_automatic = true;
        }
    }
}

void
AqPartition_MarkWrittenElsewhere(AqPartition *part, const AqBatchEntry *claim)
{
    if (part->may_have_automatic) {
        cancel_pending_releases(part, claim);
    }
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        bool is_same = matches_claim(entry, claim);
        entry->written_elsewhere = entry->written_elsewhere || is_same;
        entry->is_cancelled =
            entry->is_cancelled || (is_same && entry->is_automatic);
        part->may_have_automatic =
            part->may_have_automatic || entry->is_automatic;
    }
}

/* Returns how many hexadecimal digits of a batch's sequence number (SEQ) the
 * key of a removal omits. */
static unsigned
group_digits(const AqClaims *claims)
{
    return claims->config.prefix_removal ? AQ_GROUP_DIGITS : 0;
}

uint64_t
AqPartition_GroupOf(const AqClaims *claims, uint64_t seq)
{
    return seq >> (4 * group_digits(claims));
}

void
AqPartition_RecordBatch(const AqClaims *claims, AqPartition *part,
                        uint64_t seq, int64_t wall_ms, AqTime now)
{
    uint64_t number = AqPartition_GroupOf(claims, seq);
    if (part->group_count > part->group_first &&
        part->groups[part->group_count - 1].number == number) {
        AqBatchGroup *last = &part->groups[part->group_count - 1];
        last->newest_wall_ms =
            wall_ms > last->newest_wall_ms ? wall_ms : last->newest_wall_ms;
        last->recorded_at = now;
        return;
    }
    if (part->group_count == part->group_capacity) {
        part->group_capacity = 2 * part->group_capacity + 16;
        part->groups =
            realloc(part->groups, part->group_capacity * sizeof(AqBatchGroup));
        if (part->groups == NULL) {
            abort();
        }
    }
    part->groups[part->group_count] = (AqBatchGroup){number, wall_ms, now};
    part->group_count++;
}

void
AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now)
{
    char key[64];
    int used = snprintf(key, sizeof(key), "aq/claims/%d/", part->number);
    unsigned digits = part->incomplete_reads < NARROW_READS ? 1 : 2;
    part->reads_all = part->read_need == AQ_NEED_ALL ||
                      part->incomplete_reads >= NARROW_READS + WIDE_READS;
    if (!part->reads_all) {
        snprintf(key + used, sizeof(key) - (size_t)used, "%0*" PRIx64,
                 (int)(KEY_DIGITS - digits), part->next_seq >> (4 * digits));
    }
    part->read_end_seq = ((part->next_seq >> (4 * digits)) + 1)
                         << (4 * digits);
    part->call = AQ_CLAIMS_READ;
    part->call_token = AqPartition_NewToken(claims, part);
    part->call_started_at = now;
    claims->reads++;
    claims->ops.store_call(claims->context, part->call_token, part->call, true,
                           key, NULL, 0);
}

/* A batch that was read from the store, and its sequence number (SEQ). */
typedef struct {
    uint64_t seq;
    const AqClaimsItem *item;
} NumberedItem;

static int
compare_seq(const void *a, const void *b)
{
    const NumberedItem *left = a, *right = b;
    return (left->seq > right->seq) - (left->seq < right->seq);
}

/* Returns the batch sequence number (SEQ) in a store key of this partition, or
 * 0 for any other key. */
static uint64_t
parse_key(const AqPartition *part, const char *key)
{
    char prefix[64];
    int used = snprintf(prefix, sizeof(prefix), "aq/claims/%d/", part->number);
    if (strncmp(key, prefix, (size_t)used) != 0) {
        return 0;
    }
    const char *digits = key + used;
    if (strlen(digits) != KEY_DIGITS ||
        strspn(digits, "0123456789abcdef") != KEY_DIGITS) {
        return 0;
    }
    return strtoull(digits, NULL, 16);
}

/* Applies the batches in "items", sorted by sequence number (SEQ), to the
 * cached log, from part->next_seq on, and sets *found_own_batch to true if the
 * batch being written is one of them.  Returns false if a batch cannot be
 * decoded or if, in a read of a part of the log, a SEQ is missing before a
 * later one. */
static bool
apply_items(AqClaims *claims, AqPartition *part, AqTime now,
            const NumberedItem *items, size_t count, bool *found_own_batch)
{
    for (size_t i = 0; i < count; i++) {
        AqBatch batch;
        if (items[i].seq < part->next_seq) {
            continue;
        }
        if (items[i].seq > part->next_seq && !part->reads_all) {
            return false;
        }
        if (!AqBatch_Decode(items[i].item->value, items[i].item->size, &batch,
                            NULL)) {
            claims->bad_batches++;
            return false;
        }
        bool foreign = strcmp(batch.writer, claims->self) != 0;
        for (size_t j = 0; j < batch.count; j++) {
            AqPartition_ApplyEntry(claims, part, &batch.entries[j]);
            if (foreign && batch.entries[j].op == AQ_BATCH_CLAIM) {
                AqPartition_MarkWrittenElsewhere(part, &batch.entries[j]);
            }
        }
        AqPartition_RecordBatch(claims, part, items[i].seq,
                                batch.newest_wall_ms, now);
        part->next_seq = items[i].seq + 1;
        part->newest_is_own =
            part->batch_nonce != 0 && batch.nonce == part->batch_nonce;
        *found_own_batch = *found_own_batch || part->newest_is_own;
        AqBatch_Clear(&batch);
    }
    return true;
}

/* Sorts the store entries of a read by batch sequence number (SEQ) and applies
 * them to the cached log.  Sets *found_own_batch to true if the batch being
 * written is one of them.  Returns false if a batch cannot be decoded or if,
 * in a read of a part of the log, a SEQ is missing before a later one. */
static bool
apply_result(AqClaims *claims, AqPartition *part, AqTime now,
             const AqClaimsItem *items, size_t count, bool *found_own_batch)
{
    NumberedItem *numbered = calloc(count + 1, sizeof(NumberedItem));
    if (numbered == NULL) {
        abort();
    }
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t seq = parse_key(part, items[i].key);
        if (seq != 0) {
            numbered[used++] = (NumberedItem){seq, &items[i]};
        }
    }
    qsort(numbered, used, sizeof(NumberedItem), compare_seq);
    bool ok = apply_items(claims, part, now, numbered, used, found_own_batch);
    free(numbered);
    return ok;
}

/* Grants or requeues the claims of the batch being written after the log was
 * read: grants them if the read found this batch, and requeues them if another
 * batch is known to have the same sequence number (SEQ). */
static void
resolve_batch(AqClaims *claims, AqPartition *part, AqClockReading at,
              bool found_own_batch)
{
    if (AqList_IsEmpty(&part->batch)) {
        return;
    }
    if (found_own_batch) {
        AqPartition_GrantBatch(claims, part, at);
    }
    else if (part->next_seq > part->batch_seq) {
        AqPartition_RequeueBatch(part);
    }
}

/* Decides the pending claims as UNAVAILABLE or DUPLICATE after a read of the
 * log that failed or cannot be applied.  With requires_full_read, the next
 * read covers the whole log. */
static void
handle_read_failure(AqClaims *claims, AqPartition *part, AqClockReading at,
                    bool requires_full_read)
{
    if (requires_full_read) {
        part->read_need = AQ_NEED_ALL;
    }
    AqPartition_FailPending(claims, part, at);
}

static void
handle_full_read(AqClaims *claims, AqPartition *part, AqClockReading at,
                 const AqClaimsItem *items, size_t count)
{
    bool found_own_batch = false;
    AqPartition_AbandonBatch(claims, part, at);
    AqIdTable_Clear(&part->ids);
    part->group_first = 0;
    part->group_count = 0;
    part->next_seq = 1;
    part->newest_is_own = false;
    if (!apply_result(claims, part, at.now, items, count, &found_own_batch)) {
        handle_read_failure(claims, part, at, true);
        return;
    }
    part->read_need = AQ_NEED_NOTHING;
    part->confirmed_at = part->call_started_at;
    part->incomplete_reads = 0;
}

void
AqPartition_ReadDone(AqClaims *claims, AqPartition *part, AqClockReading at,
                     AqClaimsStoreResult result, const AqClaimsItem *items,
                     size_t count)
{
    if (result == AQ_CLAIMS_STORE_ABSENT) {
        count = 0;
    }
    else if (result != AQ_CLAIMS_STORE_OK) {
        handle_read_failure(claims, part, at, false);
        return;
    }
    if (part->reads_all) {
        handle_full_read(claims, part, at, items, count);
        return;
    }
    bool found_own_batch = false;
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->read_need = AQ_NEED_ALL;
        return;
    }
    if (!apply_result(claims, part, at.now, items, count, &found_own_batch)) {
        handle_read_failure(claims, part, at, true);
        return;
    }
    if (part->next_seq == part->read_end_seq) {
        part->incomplete_reads++;
    }
    else {
        part->read_need = AQ_NEED_NOTHING;
        part->confirmed_at = part->call_started_at;
        part->incomplete_reads = 0;
    }
    resolve_batch(claims, part, at, found_own_batch);
}

/* Starts the removal of the oldest batch group from the store once a sixteenth
 * of the retention has passed since its claims expired.  Only the daemon that
 * wrote the newest batch removes old ones, so that idle daemons do not repeat
 * the same store calls.  The group must also have been recorded by this daemon
 * for more than half of the retention: a daemon that read a sequence number
 * (SEQ) as free more recently than that can then rely on this SEQ not having
 * been written and removed since, regardless of the clocks and pauses of other
 * daemons. */
static void
remove_oldest(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    AqTime retention = claims->config.retention_ms;
    part->remove_at = at.now + REMOVAL_RETRY_MS;
    if (!part->newest_is_own || part->group_count - part->group_first < 2) {
        return;
    }
    const AqBatchGroup *oldest = &part->groups[part->group_first];
    AqTime grace = retention / GRACE_DIVISOR;
    AqTime expiry_due =
        at.now + oldest->newest_wall_ms + retention + grace - at.wall;
    AqTime recorded_due = oldest->recorded_at + retention / 2;
    AqTime due = expiry_due > recorded_due ? expiry_due : recorded_due;
    if (at.now <= due) {
        /* The wait until the removal of the oldest batch group is next
         * considered is at most a sixteenth of the retention, because the wall
         * clock may be set forward meanwhile. */
        part->remove_at = due < at.now + grace ? due + 1 : at.now + grace;
        return;
    }
    char key[64];
    snprintf(key, sizeof(key), "aq/claims/%d/%0*" PRIx64, part->number,
             (int)(KEY_DIGITS - group_digits(claims)), oldest->number);
    part->removal_token = AqPartition_NewToken(claims, part);
    part->removal_group = oldest->number;
    claims->writes++;
    claims->ops.store_call(claims->context, part->removal_token,
                           AQ_CLAIMS_REMOVE, claims->config.prefix_removal,
                           key, NULL, 0);
}

void
AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                           AqClockReading at)
{
    AqTime retention = claims->config.retention_ms;
    if (part->removal_token == 0 && at.now >= part->remove_at) {
        remove_oldest(claims, part, at);
    }
    if (at.now >= part->sweep_at) {
        AqIdTable_Sweep(&part->ids, at.wall - retention);
        part->sweep_at = at.now + retention / GRACE_DIVISOR;
    }
}

void
AqPartition_RemoveDone(AqPartition *part, AqTime now,
                       AqClaimsStoreResult result)
{
    part->removal_token = 0;
    part->remove_at = now + REMOVAL_RETRY_MS;
    bool is_removed =
        result == AQ_CLAIMS_STORE_OK || result == AQ_CLAIMS_STORE_ABSENT;
    /* A read of the whole log that ended after the removal was started may
     * have replaced part->groups, so that the removed group is no longer its
     * first. */
    if (!is_removed || part->group_first == part->group_count ||
        part->groups[part->group_first].number != part->removal_group) {
        return;
    }
    part->group_first++;
    part->remove_at = now;
    if (part->group_first > part->group_count / 2) {
        part->group_count -= part->group_first;
        memmove(part->groups, part->groups + part->group_first,
                part->group_count * sizeof(AqBatchGroup));
        part->group_first = 0;
    }
}
