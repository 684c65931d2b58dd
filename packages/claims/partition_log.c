#include "partition.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "aq_hash.h"

enum {
    KEY_DIGITS = 16,
    /* Reads of 16 batches in a row, then of 256, before the whole partition
     * is read: at 25 batches a second they cover a gap of about three
     * minutes. */
    NARROW_READS = 4,
    WIDE_READS = 16,
    /* Pause before a removal that failed is tried again, and before a daemon
     * that may not remove looks again whether it may. */
    REMOVE_MS = 500,
    /* A batch is removed a sixteenth of the retention (225 s of 1 h) after
     * its claims are forgotten, so that clocks which differ by less than
     * that never base a verdict on a removed batch. */
    GRACE_SHARE = 16
};

bool
AqPartition_IsStale(const AqClaims *claims, const AqPartition *part,
                    AqTime now)
{
    return (claims->config.disabled & AQ_CLAIMS_DISABLE_REREAD) == 0 &&
           now - part->confirmed >= claims->config.retention_ms / 2;
}

const AqIdRecord *
AqPartition_FindClaim(const AqClaims *claims, const AqPartition *part,
                      const uint8_t hash[16], AqTime wall)
{
    const AqIdRecord *record = AqIdTable_Find(&part->ids, hash);
    bool in_force =
        record != NULL && record->wall + claims->config.retention_ms >= wall;
    return in_force ? record : NULL;
}

/* The key under which a released nonce is remembered. */
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

/* The newest claim of an id replaces older ones: whoever wrote it had read
 * all of them and knew that they were released or outlived. */
void
AqPartition_Apply(const AqClaims *claims, AqPartition *part,
                  const AqBatchEntry *entry)
{
    if (entry->op == AQ_BATCH_CLAIM) {
        AqIdTable_Put(&part->ids, entry->hash, entry->nonce, entry->wall);
        return;
    }
    uint8_t key[16];
    AqIdRecord *record = AqIdTable_Find(&part->ids, entry->hash);
    bool any_nonce =
        (claims->config.disabled & AQ_CLAIMS_DISABLE_RELEASE_NONCE) != 0;
    if (record != NULL && (record->nonce == entry->nonce || any_nonce)) {
        AqIdTable_Remove(&part->ids, record);
    }
    released_key(entry->hash, entry->nonce, key);
    AqIdTable_Put(&part->ids, key, entry->nonce, entry->wall);
}

static bool
is_about(const AqClaimEntry *entry, const AqBatchEntry *claim)
{
    return entry->data.nonce == claim->nonce &&
           memcmp(entry->data.hash, claim->hash, 16) == 0;
}

static void
cancel_pending(AqPartition *part, const AqBatchEntry *claim)
{
    part->has_automatic = false;
    AqList_ForEachSafe(link, after, &part->pending)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        if (entry->automatic && is_about(entry, claim)) {
            AqList_Remove(link);
            part->pending_count--;
            free(entry);
        }
        else if (entry->automatic) {
            part->has_automatic = true;
        }
    }
}

void
AqPartition_KeepClaim(AqPartition *part, const AqBatchEntry *claim)
{
    if (part->has_automatic) {
        cancel_pending(part, claim);
    }
    AqList_ForEach(link, &part->batch)
    {
        AqClaimEntry *entry = AqList_Entry(link, AqClaimEntry, link);
        bool same = is_about(entry, claim);
        entry->shared = entry->shared || same;
        entry->cancelled = entry->cancelled || (same && entry->automatic);
        part->has_automatic = part->has_automatic || entry->automatic;
    }
}

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
AqPartition_NoteBatch(const AqClaims *claims, AqPartition *part, uint64_t seq,
                      int64_t wall, AqTime now)
{
    uint64_t number = AqPartition_GroupOf(claims, seq);
    if (part->group_count > part->group_first &&
        part->groups[part->group_count - 1].number == number) {
        AqBatchGroup *last = &part->groups[part->group_count - 1];
        last->newest_wall =
            wall > last->newest_wall ? wall : last->newest_wall;
        last->seen = now;
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
    part->groups[part->group_count] = (AqBatchGroup){number, wall, now};
    part->group_count++;
}

void
AqPartition_StartRead(AqClaims *claims, AqPartition *part, AqTime now)
{
    char key[64];
    int used = snprintf(key, sizeof(key), "aq/claims/%d/", part->number);
    unsigned digits = part->catch_up < NARROW_READS ? 1 : 2;
    part->reads_all = part->need == AQ_NEED_ALL ||
                      part->catch_up >= NARROW_READS + WIDE_READS;
    if (!part->reads_all) {
        snprintf(key + used, sizeof(key) - (size_t)used, "%0*" PRIx64,
                 (int)(KEY_DIGITS - digits), part->next >> (4 * digits));
    }
    part->read_end = ((part->next >> (4 * digits)) + 1) << (4 * digits);
    part->call = AQ_CLAIMS_READ;
    part->token = AqPartition_NewToken(claims, part);
    part->started = now;
    claims->reads++;
    claims->ops.store_call(claims->context, part->token, part->call, true, key,
                           NULL, 0);
}

typedef struct {
    uint64_t seq;
    const AqClaimsItem *item;
} Numbered;

static int
compare_numbered(const void *a, const void *b)
{
    const Numbered *left = a, *right = b;
    return (left->seq > right->seq) - (left->seq < right->seq);
}

/* Reads SEQ from a key of this partition; 0 for any other key. */
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

/* Applies the batches from "next" on.  Returns false when one cannot be
 * decoded, or when one is missing between others. */
static bool
apply_items(AqClaims *claims, AqPartition *part, AqTime now,
            const Numbered *items, size_t count, bool *own)
{
    for (size_t i = 0; i < count; i++) {
        AqBatch batch;
        if (items[i].seq < part->next) {
            continue;
        }
        if (items[i].seq > part->next && !part->reads_all) {
            return false;
        }
        if (!AqBatch_Decode(items[i].item->value, items[i].item->size, &batch,
                            NULL)) {
            claims->bad_batches++;
            return false;
        }
        bool foreign = strcmp(batch.writer, claims->self) != 0;
        for (size_t j = 0; j < batch.count; j++) {
            AqPartition_Apply(claims, part, &batch.entries[j]);
            if (foreign && batch.entries[j].op == AQ_BATCH_CLAIM) {
                AqPartition_KeepClaim(part, &batch.entries[j]);
            }
        }
        AqPartition_NoteBatch(claims, part, items[i].seq, batch.newest_wall,
                              now);
        part->next = items[i].seq + 1;
        part->newest_is_own = part->nonce != 0 && batch.nonce == part->nonce;
        *own = *own || part->newest_is_own;
        AqBatch_Clear(&batch);
    }
    return true;
}

static bool
apply_result(AqClaims *claims, AqPartition *part, AqTime now,
             const AqClaimsItem *items, size_t count, bool *own)
{
    Numbered *numbered = calloc(count + 1, sizeof(Numbered));
    if (numbered == NULL) {
        abort();
    }
    size_t used = 0;
    for (size_t i = 0; i < count; i++) {
        uint64_t seq = parse_key(part, items[i].key);
        if (seq != 0) {
            numbered[used++] = (Numbered){seq, &items[i]};
        }
    }
    qsort(numbered, used, sizeof(Numbered), compare_numbered);
    bool ok = apply_items(claims, part, now, numbered, used, own);
    free(numbered);
    return ok;
}

/* Decides what becomes of a batch once the log around its SEQ was read. */
static void
settle_batch(AqClaims *claims, AqPartition *part, AqClockReading at, bool own)
{
    if (AqList_IsEmpty(&part->batch)) {
        return;
    }
    if (own) {
        AqPartition_GrantBatch(claims, part, at);
    }
    else if (part->next > part->seq) {
        AqPartition_RequeueBatch(part);
    }
}

static void
read_failed(AqClaims *claims, AqPartition *part, AqClockReading at, bool again)
{
    if (again) {
        part->need = AQ_NEED_ALL;
    }
    AqPartition_FailPending(claims, part, at);
}

static void
read_all_done(AqClaims *claims, AqPartition *part, AqClockReading at,
              const AqClaimsItem *items, size_t count)
{
    bool own = false;
    AqPartition_AbandonBatch(claims, part, at);
    AqIdTable_Clear(&part->ids);
    part->group_first = 0;
    part->group_count = 0;
    part->next = 1;
    part->newest_is_own = false;
    if (!apply_result(claims, part, at.now, items, count, &own)) {
        read_failed(claims, part, at, true);
        return;
    }
    part->need = AQ_NEED_NOTHING;
    part->confirmed = part->started;
    part->catch_up = 0;
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
        read_failed(claims, part, at, false);
        return;
    }
    if (part->reads_all) {
        read_all_done(claims, part, at, items, count);
        return;
    }
    bool own = false;
    if (AqPartition_IsStale(claims, part, at.now)) {
        part->need = AQ_NEED_ALL;
        return;
    }
    if (!apply_result(claims, part, at.now, items, count, &own)) {
        read_failed(claims, part, at, true);
        return;
    }
    if (part->next == part->read_end) {
        part->catch_up++;
    }
    else {
        part->need = AQ_NEED_NOTHING;
        part->confirmed = part->started;
        part->catch_up = 0;
    }
    settle_batch(claims, part, at, own);
}

/* Only the writer of the newest batch removes old ones, so that idle daemons
 * do not repeat its calls.  A group must also have been known for more than
 * half of the retention: a daemon that saw SEQ free less than that ago can
 * then rely on SEQ not having been written and removed since, whatever the
 * clocks and pauses of others were. */
static void
remove_oldest(AqClaims *claims, AqPartition *part, AqClockReading at)
{
    AqTime retention = claims->config.retention_ms;
    part->remove_at = at.now + REMOVE_MS;
    if (!part->newest_is_own || part->group_count - part->group_first < 2) {
        return;
    }
    const AqBatchGroup *oldest = &part->groups[part->group_first];
    AqTime grace = retention / GRACE_SHARE;
    AqTime outlived =
        at.now + oldest->newest_wall + retention + grace - at.wall;
    AqTime known = oldest->seen + retention / 2;
    AqTime due = outlived > known ? outlived : known;
    if (at.now <= due) {
        /* The wall clock may be set, so the wait is bounded. */
        part->remove_at = due < at.now + grace ? due + 1 : at.now + grace;
        return;
    }
    char key[64];
    snprintf(key, sizeof(key), "aq/claims/%d/%0*" PRIx64, part->number,
             (int)(KEY_DIGITS - group_digits(claims)), oldest->number);
    part->removal = AqPartition_NewToken(claims, part);
    part->removed = oldest->number;
    claims->writes++;
    claims->ops.store_call(claims->context, part->removal, AQ_CLAIMS_REMOVE,
                           claims->config.prefix_removal, key, NULL, 0);
}

void
AqPartition_ApplyRetention(AqClaims *claims, AqPartition *part,
                           AqClockReading at)
{
    AqTime retention = claims->config.retention_ms;
    if (part->removal == 0 && at.now >= part->remove_at) {
        remove_oldest(claims, part, at);
    }
    if (at.now >= part->sweep_at) {
        AqIdTable_Sweep(&part->ids, at.wall - retention);
        part->sweep_at = at.now + retention / GRACE_SHARE;
    }
}

void
AqPartition_RemoveDone(AqPartition *part, AqTime now,
                       AqClaimsStoreResult result)
{
    part->removal = 0;
    part->remove_at = now + REMOVE_MS;
    bool gone =
        result == AQ_CLAIMS_STORE_OK || result == AQ_CLAIMS_STORE_ABSENT;
    /* A read of the whole partition may have dropped the group already. */
    if (!gone || part->group_first == part->group_count ||
        part->groups[part->group_first].number != part->removed) {
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
