#include "partition.h"

#include <string.h>

static bool
report_inconsistency(const AqPartition *part, AqError *error, const char *what)
{
    return AqError_Set(error, AQ_ERR_SYSTEM,
                       "claim partition %d: %s; restart the daemon, which "
                       "reads the log from the store again",
                       part->number, what);
}

static bool
entries_are_valid(const AqPartition *part, const AqLink *list)
{
    AqList_ForEach(at, list)
    {
        const AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        bool is_claim = entry->data.op == AQ_BATCH_CLAIM;
        if (AqClaims_Partition(entry->data.hash) != part->number ||
            (!is_claim && entry->data.op != AQ_BATCH_RELEASE) ||
            (entry->awaits_verdict && !is_claim)) {
            return false;
        }
    }
    return true;
}

static bool
deadlines_ascend(const AqLink *list)
{
    AqTime last = 0;
    AqList_ForEach(at, list)
    {
        const AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        if (entry->awaits_verdict && entry->deadline < last) {
            return false;
        }
        last = entry->awaits_verdict ? entry->deadline : last;
    }
    return true;
}

static bool
batch_ids_are_unique(const AqPartition *part)
{
    AqIdTable seen = {0};
    bool ok = true;
    AqList_ForEach(at, &part->batch)
    {
        const AqClaimEntry *entry = AqList_Entry(at, AqClaimEntry, link);
        ok = ok && AqIdTable_Find(&seen, entry->data.hash) == NULL;
        AqIdTable_Put(&seen, entry->data.hash, 0, 1);
    }
    AqIdTable_Clear(&seen);
    return ok;
}

static bool
groups_ascend(const AqClaims *claims, const AqPartition *part)
{
    size_t first = part->group_first;
    if (first > part->group_count) {
        return false;
    }
    for (size_t i = first; i < part->group_count; i++) {
        uint64_t number = part->groups[i].number;
        if ((i > first && number <= part->groups[i - 1].number) ||
            number > AqPartition_GroupOf(claims, part->next_seq - 1)) {
            return false;
        }
    }
    return true;
}

bool
AqPartition_CheckConsistency(const AqClaims *claims, const AqPartition *part,
                             AqError *error)
{
    bool has_batch = !AqList_IsEmpty(&part->batch);
    if (AqList_Length(&part->pending) != part->pending_count) {
        return report_inconsistency(part, error,
                                    "the count of pending entries is wrong");
    }
    if (!entries_are_valid(part, &part->pending) ||
        !entries_are_valid(part, &part->batch)) {
        return report_inconsistency(
            part, error,
            "an entry is invalid or belongs to another partition");
    }
    if (!deadlines_ascend(&part->pending) || !deadlines_ascend(&part->batch)) {
        return report_inconsistency(part, error,
                                    "claims are not in order of deadline");
    }
    if (has_batch != (part->batch_value.size > 0) ||
        has_batch != (part->batch_seq != 0)) {
        return report_inconsistency(part, error,
                                    "a batch and its value do not match");
    }
    if (part->in_doubt && !has_batch) {
        return report_inconsistency(
            part, error, "the create of an empty batch has an unknown result");
    }
    if (part->call_token != 0 && part->call == AQ_CLAIMS_CREATE &&
        !has_batch) {
        return report_inconsistency(part, error,
                                    "an empty batch is being written");
    }
    if (!batch_ids_are_unique(part)) {
        return report_inconsistency(part, error,
                                    "a batch has two entries of one id");
    }
    if (!groups_ascend(claims, part)) {
        return report_inconsistency(part, error,
                                    "the batch groups are out of order");
    }
    if (part->next_seq == 0 || !AqIdTable_CheckConsistency(&part->ids)) {
        return report_inconsistency(part, error,
                                    "the id table is inconsistent");
    }
    return true;
}
