#include <string.h>

#include "scheduler_internal.h"

/* Saves of job records.  A VM may forget the end of a run once the job change
 * that the end caused is stored. */

size_t
AqScheduler_BeginSave(AqScheduler *s, AqJobSave *saves, size_t most)
{
    size_t count = 0;
    if (s->saving_count > 0) {
        return 0;
    }
    while (count < most) {
        AqLink *link = AqList_PopFirst(&s->dirty);
        if (link == NULL) {
            break;
        }
        Job *job = AqList_Entry(link, Job, dirty_link);
        AqJobSave *save = &saves[count++];
        job->is_saving = true;
        job->dirty_seq = 0;
        g_strlcpy(save->id, job->spec.id, sizeof(save->id));
        save->stage = job->stage;
        AqBuffer_Init(&save->record);
        progress_encode(s, job, &save->record);
    }
    s->saving_count = count;
    return count;
}

/* Ends the save of one job's record; the job goes back to the list of jobs to
 * save if this save failed or the job has changed since the save began. */
static void
end_save(AqScheduler *s, Job *job, const AqJobSave *save, bool is_stored)
{
    job->is_saving = false;
    if (is_stored) {
        job->stored_stage = save->stage;
    }
    if (!is_stored || job->changed_while_saving) {
        job->changed_while_saving = false;
        if (!is_stored || job->dirty_seq == 0) {
            /* A job change whose save failed keeps its place before later
             * changes: the change counts as the oldest, so that no later end
             * of a run is confirmed to a VM. */
            job->dirty_seq = is_stored ? s->change_seq : 1;
        }
        if (is_stored) {
            AqList_Append(&s->dirty, &job->dirty_link);
        }
        else {
            AqList_Prepend(&s->dirty, &job->dirty_link);
        }
    }
}

void
AqScheduler_EndSave(AqScheduler *s, AqJobSave *saves, size_t count,
                    bool is_stored, AqTime now)
{
    s->now = now;
    s->saving_count = 0;
    for (size_t i = count; i-- > 0;) {
        Job *job = scheduler_find_job(s, saves[i].id);
        if (job != NULL) {
            end_save(s, job, &saves[i], is_stored);
        }
        AqBuffer_Clear(&saves[i].record);
    }
    uint64_t oldest = s->change_seq + 1;
    AqList_ForEach(at, &s->dirty)
    {
        const Job *job = AqList_Entry(at, Job, dirty_link);
        oldest = job->dirty_seq < oldest ? job->dirty_seq : oldest;
    }
    if (oldest - 1 > s->stored_seq) {
        s->stored_seq = oldest - 1;
        AqList_ForEach(at, &s->vms)
        {
            vms_confirm_ends(s, AqList_Entry(at, Vm, link));
        }
    }
}

bool
AqScheduler_HasUnsaved(const AqScheduler *s)
{
    return s->saving_count > 0 || !AqList_IsEmpty(&s->dirty);
}
