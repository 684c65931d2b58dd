#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"
#include "scheduler_internal.h"

/* The stored record of a job's progress:
 * [format, stage, next occurrence, [[occurrence, [[done, [[task, [run ...]]
 * ...], [[task, [[run, VM id, kind, born] ...]] ...]] ... of each step]]
 * ... of each occurrence]]
 * "done" is a bitmap of the tasks of a step, "task" the index of a task with
 * failed runs, and "run" the number of each failed run of that task, so that
 * the end of a failed run is not counted twice when a VM lists the end again
 * to a later owner.  The last list has the runs of each task under which a VM
 * crashed, its runs of which that is not known yet, and the current run of a
 * task with crashes; records of earlier versions lack it.  "born" is the
 * Vm.born_ms of the VM of a run of the latter two kinds, else 0.  The record
 * of a finished job lists no occurrences.  An occurrence that is not listed
 * and has a number below "next occurrence" is done. */

enum {
    RECORD_FORMAT = 1,
    RECORD_FIELDS = 4,
    STEP_FIELDS = 3,
    CRASH_FIELDS = 4
};

enum {
    /* kind of a run in the list of crashes that has started and may crash its
     * VM, beside those of CrashKind */
    STORED_START = CRASH_KINDS
};

static void
pack_crash(msgpack_packer *pk, int64_t run, const char *vm, int kind,
           int64_t born_ms)
{
    msgpack_pack_array(pk, CRASH_FIELDS);
    msgpack_pack_int64(pk, run);
    record_pack_text(pk, vm);
    msgpack_pack_int(pk, kind);
    msgpack_pack_int64(pk, born_ms);
}

static bool
has_crash_rows(const Task *task)
{
    return crashes_count(task) > 0 || task->open_run_count > 0;
}

static void
pack_crashes(const AqScheduler *s, msgpack_packer *pk, const Step *step)
{
    uint32_t tasks = 0;
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        tasks += has_crash_rows(&step->tasks[i]);
    }
    msgpack_pack_array(pk, tasks);
    for (uint32_t i = 0; i < step->spec->task_count; i++) {
        const Task *task = &step->tasks[i];
        if (!has_crash_rows(task)) {
            continue;
        }
        msgpack_pack_array(pk, 2);
        msgpack_pack_uint32(pk, i);
        msgpack_pack_array(pk, crashes_count(task) + task->open_run_count +
                                   task->is_start_stored);
        for (guint j = 0; j < crashes_count(task); j++) {
            const Crash *crash = &g_array_index(task->crashes, Crash, j);
            pack_crash(pk, crash->run, crash->vm, (int)crash->kind, 0);
        }
        for (guint j = 0; j < s->open_runs->len; j++) {
            const OpenRun *open = &g_array_index(s->open_runs, OpenRun, j);
            if (scheduler_find_task(s, &open->task) == task) {
                pack_crash(pk, open->crash.run, open->crash.vm, STORED_START,
                           open->born_ms);
            }
        }
        if (task->is_start_stored) {
            pack_crash(pk, task->run, task->vm->report.id, STORED_START,
                       task->vm->born_ms);
        }
    }
}

static void
pack_step(const AqScheduler *s, msgpack_packer *pk, const Step *step)
{
    uint32_t count = step->spec->task_count;
    size_t size = (count + 7) / 8;
    uint32_t failing = 0;
    unsigned char *bits = calloc(size, 1);
    for (uint32_t i = 0; i < count; i++) {
        if (step->tasks[i].state == TASK_DONE) {
            bits[i / 8] |= (unsigned char)(1U << (i % 8));
        }
        failing += step->tasks[i].failed_runs != NULL;
    }
    msgpack_pack_array(pk, STEP_FIELDS);
    msgpack_pack_bin(pk, size);
    msgpack_pack_bin_body(pk, bits, size);
    free(bits);
    msgpack_pack_array(pk, failing);
    for (uint32_t i = 0; i < count; i++) {
        const Task *task = &step->tasks[i];
        if (task->failed_runs == NULL) {
            continue;
        }
        msgpack_pack_array(pk, 2);
        msgpack_pack_uint32(pk, i);
        msgpack_pack_array(pk, task->failures);
        for (uint32_t j = 0; j < task->failures; j++) {
            msgpack_pack_int64(pk, task->failed_runs[j]);
        }
    }
    pack_crashes(s, pk, step);
}

void
progress_encode(const AqScheduler *s, const Job *job, AqBuffer *out)
{
    msgpack_packer packer;
    bool is_finished = scheduler_is_finished(job);
    msgpack_packer_init(&packer, out, record_write);
    msgpack_pack_array(&packer, RECORD_FIELDS);
    msgpack_pack_int(&packer, RECORD_FORMAT);
    msgpack_pack_int(&packer, (int)job->stage);
    msgpack_pack_uint32(&packer, job->next_occurrence);
    msgpack_pack_array(&packer,
                       is_finished ? 0 : AqList_Length(&job->occurrences));
    if (is_finished) {
        return;
    }
    AqList_ForEach(at, &job->occurrences)
    {
        const Occurrence *occurrence = AqList_Entry(at, Occurrence, link);
        msgpack_pack_array(&packer, 2);
        msgpack_pack_uint32(&packer, occurrence->number);
        msgpack_pack_array(&packer, job->spec.step_count);
        for (size_t i = 0; i < job->spec.step_count; i++) {
            pack_step(s, &packer, &occurrence->steps[i]);
        }
    }
}

static bool
apply_runs(AqScheduler *s, const msgpack_object *runs, Task *task)
{
    (void)s;
    if (runs->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < runs->via.array.size; i++) {
        int64_t run;
        if (!record_int(&runs->via.array.ptr[i], 0, INT64_MAX, &run)) {
            return false;
        }
        scheduler_add_failure(task, run);
    }
    return true;
}

static bool
apply_crashes(AqScheduler *s, const msgpack_object *rows, Task *task)
{
    if (rows->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = &rows->via.array.ptr[i];
        Crash crash = {0};
        int64_t kind;
        int64_t born_ms;
        char *vm = NULL;
        if (row->type != MSGPACK_OBJECT_ARRAY ||
            row->via.array.size < CRASH_FIELDS ||
            !record_int(&row->via.array.ptr[0], 0, INT64_MAX, &crash.run) ||
            !record_int(&row->via.array.ptr[2], 0, STORED_START, &kind) ||
            !record_int(&row->via.array.ptr[3], 0, INT64_MAX, &born_ms) ||
            !record_text(&row->via.array.ptr[1], &vm) || vm == NULL) {
            return false;
        }
        g_strlcpy(crash.vm, vm, sizeof(crash.vm));
        free(vm);
        /* How long a stored run lasted is not known. */
        crash.kind = kind == STORED_START ? CRASH_LATE : (CrashKind)kind;
        if (kind == STORED_START) {
            open_runs_add(s, task, &crash, born_ms);
        }
        else {
            crashes_add(task, &crash);
            crashes_note_stored(s, &crash);
        }
    }
    return true;
}

/* Applies rows [task, list] of the step with "apply_list". */
static bool
apply_rows(AqScheduler *s, const msgpack_object *rows, Step *step,
           bool (*apply_list)(AqScheduler *s, const msgpack_object *list,
                              Task *task))
{
    if (rows->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = &rows->via.array.ptr[i];
        int64_t index;
        if (row->type != MSGPACK_OBJECT_ARRAY || row->via.array.size < 2 ||
            !record_int(&row->via.array.ptr[0], 0, step->spec->task_count - 1,
                        &index) ||
            !apply_list(s, &row->via.array.ptr[1], &step->tasks[index])) {
            return false;
        }
    }
    return true;
}

static bool
apply_step(AqScheduler *s, const msgpack_object *object, Step *step)
{
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 2) {
        return false;
    }
    const msgpack_object *bits = &object->via.array.ptr[0];
    uint32_t count = step->spec->task_count;
    if (bits->type != MSGPACK_OBJECT_BIN ||
        bits->via.bin.size < (count + 7) / 8) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        if ((unsigned char)bits->via.bin.ptr[i / 8] & (1U << (i % 8))) {
            step->tasks[i].state = TASK_DONE;
            step->done++;
        }
    }
    return apply_rows(s, &object->via.array.ptr[1], step, apply_runs) &&
           (object->via.array.size < STEP_FIELDS ||
            apply_rows(s, &object->via.array.ptr[2], step, apply_crashes));
}

static bool
apply_occurrence(AqScheduler *s, Job *job, const msgpack_object *object)
{
    int64_t number;
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 2 ||
        !record_int(&object->via.array.ptr[0], 0, UINT32_MAX, &number)) {
        return false;
    }
    const msgpack_object *steps = &object->via.array.ptr[1];
    if (steps->type != MSGPACK_OBJECT_ARRAY ||
        steps->via.array.size != job->spec.step_count) {
        return false;
    }
    Occurrence *occurrence =
        scheduler_add_occurrence(s, job, (uint32_t)number);
    for (size_t i = 0; i < job->spec.step_count; i++) {
        Step *step = &occurrence->steps[i];
        if (!apply_step(s, &steps->via.array.ptr[i], step)) {
            return false;
        }
        if (step->done == step->spec->task_count) {
            occurrence->steps_left--;
        }
    }
    job->open_occurrences -= occurrence->steps_left == 0;
    return true;
}

static bool
read_header(const msgpack_object *root, int64_t *stage, int64_t *next)
{
    int64_t format;
    return root->type == MSGPACK_OBJECT_ARRAY &&
           root->via.array.size >= RECORD_FIELDS &&
           record_int(&root->via.array.ptr[0], RECORD_FORMAT, RECORD_FORMAT,
                      &format) &&
           record_int(&root->via.array.ptr[1], 0, AQ_STAGE_CANCELLED, stage) &&
           record_int(&root->via.array.ptr[2], 0, UINT32_MAX, next) &&
           root->via.array.ptr[3].type == MSGPACK_OBJECT_ARRAY;
}

static bool
apply_record(AqScheduler *s, Job *job, const msgpack_object *root)
{
    int64_t stage;
    int64_t next;
    if (!read_header(root, &stage, &next)) {
        return false;
    }
    const msgpack_object *list = &root->via.array.ptr[3];
    job->stage = (AqJobStage)stage;
    job->stored_stage = job->stage;
    job->has_started = job->stage != AQ_STAGE_WAITING;
    job->next_occurrence = (uint32_t)next;
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        if (!apply_occurrence(s, job, &list->via.array.ptr[i])) {
            return false;
        }
    }
    return true;
}

bool
progress_apply(AqScheduler *s, Job *job, const char *bytes, size_t size)
{
    msgpack_unpacked unpacked;
    bool ok = record_unpack(&unpacked, bytes, size) &&
              apply_record(s, job, &unpacked.data);
    msgpack_unpacked_destroy(&unpacked);
    return ok;
}

bool
AqScheduler_ReadStage(const char *record, size_t size, AqJobStage *stage,
                      AqError *error)
{
    msgpack_unpacked unpacked;
    int64_t value = 0;
    int64_t next;
    bool ok = record_unpack(&unpacked, record, size) &&
              read_header(&unpacked.data, &value, &next);
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the stored progress of the job is damaged; see "
                           "the log of the pool's owner");
    }
    *stage = (AqJobStage)value;
    return true;
}
