#include "aq_job_spec.h"

#include <limits.h>
#include <math.h>
#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "record_codec.h"

enum {
    /* version of the stored form of a job, stored as its first element; a form
     * of another version is refused as damaged */
    SPEC_FORMAT = 1,
    /* number of elements of the msgpack array that stores one AqJobSpec, and
     * least number that is read: earlier versions wrote no workspace, or
     * nothing after it.  Earlier versions refuse records with values of types
     * that scan_value() of theirs does not know, such as floats. */
    SPEC_FIELDS = 12,
    MIN_SPEC_FIELDS = 9,
    /* number of elements of the msgpack array that stores one AqStepSpec */
    STEP_FIELDS = 14,
    /* number of elements of the msgpack array that stores one AqJobTerms */
    TERMS_FIELDS = 5,
    MAX_STRETCH = 1000000,
    FLAG_GANG = 1,
    FLAG_ONE_RACK = 2,
    FLAG_CHECKPOINTS = 4,
    FLAG_COPIES = 8,
    FLAG_PERPETUAL = 16,
    FLAG_FILLER = 32,
    FLAG_LIMITS_MISSING = 64
};

void
AqJobTerms_Set(AqJobTerms *terms, const AqQueueConfig *queue)
{
    *terms = (AqJobTerms){.max_attempts = queue->max_attempts,
                          .needs_tickets = queue->needs_tickets,
                          .priority = queue->priority,
                          .stretch = queue->stretch,
                          .target_ms = queue->target_ms};
}

static void
clear_step(AqStepSpec *step)
{
    free(step->after);
    free(step->required_label);
    free(step->near_rack);
    free(step->image);
}

void
AqJobSpec_Clear(AqJobSpec *spec)
{
    for (size_t i = 0; i < spec->step_count; i++) {
        clear_step(&spec->steps[i]);
    }
    free(spec->steps);
    free(spec->queue);
    free(spec->workspace);
    free(spec->text);
    memset(spec, 0, sizeof(*spec));
}

static bool
check_step(const AqJobSpec *spec, size_t number, AqError *error)
{
    const AqStepSpec *step = &spec->steps[number];
    for (size_t i = 0; i < step->after_count; i++) {
        if (step->after[i] >= number) {
            return AqError_Set(error, AQ_ERR_INVALID,
                               "step %zu comes after step %u, which is not "
                               "earlier; name earlier steps only",
                               number, step->after[i]);
        }
    }
    if (step->task_count == 0 || step->task_count > AQ_JOB_MAX_TASKS) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "step %zu has %u tasks; write 1 to %d", number,
                           step->task_count, AQ_JOB_MAX_TASKS);
    }
    return true;
}

bool
AqJobSpec_Check(const AqJobSpec *spec, AqError *error)
{
    uint64_t tasks = 0;
    if (spec->step_count == 0) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the job has no steps; send at least one");
    }
    if (spec->text != NULL && strlen(spec->text) > AQ_JOB_MAX_TEXT) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the job's text has %zu bytes; send at most %d",
                           strlen(spec->text), AQ_JOB_MAX_TEXT);
    }
    for (size_t i = 0; i < spec->step_count; i++) {
        if (!check_step(spec, i, error)) {
            return false;
        }
        tasks += spec->steps[i].task_count;
    }
    if (tasks > AQ_JOB_MAX_TASKS) {
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the job has %llu tasks; send at most %d",
                           (unsigned long long)tasks, AQ_JOB_MAX_TASKS);
    }
    return true;
}

/* ---- Stored form -------------------------------------------------------- */

static int64_t
step_flags(const AqStepSpec *step)
{
    return (step->is_gang ? FLAG_GANG : 0) |
           (step->prefers_one_rack ? FLAG_ONE_RACK : 0) |
           (step->is_checkpointable ? FLAG_CHECKPOINTS : 0) |
           (step->allows_copies ? FLAG_COPIES : 0) |
           (step->is_perpetual ? FLAG_PERPETUAL : 0) |
           (step->is_filler ? FLAG_FILLER : 0) |
           (step->limits_missing ? FLAG_LIMITS_MISSING : 0);
}

static void
pack_step(msgpack_packer *pk, const AqStepSpec *step)
{
    msgpack_pack_array(pk, STEP_FIELDS);
    msgpack_pack_uint32(pk, step->task_count);
    msgpack_pack_int64(pk, step->cpu_millis);
    msgpack_pack_int64(pk, step->memory_mb);
    msgpack_pack_int64(pk, step->gpus);
    msgpack_pack_int64(pk, step->estimate_ms);
    msgpack_pack_int64(pk, step_flags(step));
    msgpack_pack_array(pk, step->after_count);
    for (size_t i = 0; i < step->after_count; i++) {
        msgpack_pack_uint32(pk, step->after[i]);
    }
    record_pack_text(pk, step->required_label);
    record_pack_text(pk, step->near_rack);
    record_pack_text(pk, step->image);
    msgpack_pack_uint32(pk, step->max_per_vm);
    msgpack_pack_int64(pk, step->latency_target_ms);
    msgpack_pack_uint32(pk, step->may_miss);
    /* reserved element of a step, not read */
    msgpack_pack_int64(pk, 0);
}

static void
pack_terms(msgpack_packer *pk, const AqJobTerms *terms)
{
    double stretch = terms->stretch > 0 ? terms->stretch : 0;
    stretch = stretch < MAX_STRETCH ? stretch : MAX_STRETCH;
    msgpack_pack_array(pk, TERMS_FIELDS);
    msgpack_pack_uint32(pk, terms->max_attempts);
    msgpack_pack_int(pk, terms->needs_tickets);
    msgpack_pack_int(pk, terms->priority);
    msgpack_pack_int64(pk, llround(stretch * 1000));
    msgpack_pack_int64(pk, terms->target_ms);
}

void
AqJobSpec_Encode(const AqJobSpec *spec, AqBuffer *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, record_write);
    msgpack_pack_array(&packer, SPEC_FIELDS);
    msgpack_pack_int64(&packer, SPEC_FORMAT);
    record_pack_text(&packer, spec->id);
    record_pack_text(&packer, spec->queue);
    record_pack_text(&packer, spec->text);
    msgpack_pack_int64(&packer, spec->first_due_ms);
    msgpack_pack_int64(&packer, spec->interval_ms);
    msgpack_pack_uint32(&packer, spec->occurrences);
    msgpack_pack_int64(&packer, spec->submitted_ms);
    msgpack_pack_array(&packer, spec->step_count);
    for (size_t i = 0; i < spec->step_count; i++) {
        pack_step(&packer, &spec->steps[i]);
    }
    record_pack_text(&packer, spec->workspace);
    msgpack_pack_true(&packer); /* has_pool_record */
    if (spec->has_terms) {
        pack_terms(&packer, &spec->terms);
    }
    else {
        msgpack_pack_nil(&packer);
    }
}

static bool
unpack_after(const msgpack_object *object, AqStepSpec *step)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > AQ_JOB_MAX_STEPS) {
        return false;
    }
    step->after = calloc(object->via.array.size + 1, sizeof(*step->after));
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        int64_t value;
        if (!record_int(&object->via.array.ptr[i], 0, AQ_JOB_MAX_STEPS,
                        &value)) {
            return false;
        }
        step->after[step->after_count++] = (uint32_t)value;
    }
    return true;
}

static void
set_flags(AqStepSpec *step, int64_t flags)
{
    step->is_gang = flags & FLAG_GANG;
    step->prefers_one_rack = flags & FLAG_ONE_RACK;
    step->is_checkpointable = flags & FLAG_CHECKPOINTS;
    step->allows_copies = flags & FLAG_COPIES;
    step->is_perpetual = flags & FLAG_PERPETUAL;
    step->is_filler = flags & FLAG_FILLER;
    step->limits_missing = flags & FLAG_LIMITS_MISSING;
}

static bool
unpack_step(const msgpack_object *object, AqStepSpec *step)
{
    int64_t tasks;
    int64_t flags;
    int64_t max_per_vm;
    int64_t may_miss;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < STEP_FIELDS) {
        return false;
    }
    const msgpack_object *at = object->via.array.ptr;
    if (!record_int(&at[0], 1, AQ_JOB_MAX_TASKS, &tasks) ||
        !record_int(&at[1], 0, INT64_MAX, &step->cpu_millis) ||
        !record_int(&at[2], 0, INT64_MAX, &step->memory_mb) ||
        !record_int(&at[3], 0, INT64_MAX, &step->gpus) ||
        !record_int(&at[4], 0, INT64_MAX, &step->estimate_ms) ||
        !record_int(&at[5], 0, INT64_MAX, &flags) ||
        !unpack_after(&at[6], step) ||
        !record_text(&at[7], &step->required_label) ||
        !record_text(&at[8], &step->near_rack) ||
        !record_text(&at[9], &step->image) ||
        !record_int(&at[10], 0, UINT32_MAX, &max_per_vm) ||
        !record_int(&at[11], 0, INT64_MAX, &step->latency_target_ms) ||
        !record_int(&at[12], 0, UINT32_MAX, &may_miss)) {
        return false;
    }
    step->task_count = (uint32_t)tasks;
    step->max_per_vm = (uint32_t)max_per_vm;
    step->may_miss = (uint32_t)may_miss;
    set_flags(step, flags);
    return true;
}

static bool
unpack_terms(const msgpack_object *object, AqJobTerms *terms)
{
    int64_t max_attempts;
    int64_t needs_tickets;
    int64_t priority;
    int64_t stretch_permille;
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < TERMS_FIELDS) {
        return false;
    }
    const msgpack_object *at = object->via.array.ptr;
    if (!record_int(&at[0], 0, UINT32_MAX, &max_attempts) ||
        !record_int(&at[1], 0, 1, &needs_tickets) ||
        !record_int(&at[2], INT_MIN, INT_MAX, &priority) ||
        !record_int(&at[3], 0, MAX_STRETCH * INT64_C(1000),
                    &stretch_permille) ||
        !record_int(&at[4], INT64_MIN, INT64_MAX, &terms->target_ms)) {
        return false;
    }
    terms->max_attempts = (uint32_t)max_attempts;
    terms->needs_tickets = needs_tickets != 0;
    terms->priority = (int)priority;
    terms->stretch = (double)stretch_permille / 1000;
    return true;
}

/* Reads the elements that later versions have added, as far as there are
 * any. */
static bool
unpack_later_fields(const msgpack_object *root, AqJobSpec *spec)
{
    const msgpack_object *at = root->via.array.ptr;
    uint32_t size = root->via.array.size;
    if (size > 9 && !record_text(&at[9], &spec->workspace)) {
        return false;
    }
    if (size > 10) {
        if (at[10].type != MSGPACK_OBJECT_BOOLEAN) {
            return false;
        }
        spec->has_pool_record = at[10].via.boolean;
    }
    spec->has_terms = size > 11 && at[11].type != MSGPACK_OBJECT_NIL;
    return !spec->has_terms || unpack_terms(&at[11], &spec->terms);
}

static bool
unpack_spec(const msgpack_object *root, AqJobSpec *spec)
{
    int64_t format;
    int64_t occurrences;
    char *id = NULL;
    if (root->type != MSGPACK_OBJECT_ARRAY ||
        root->via.array.size < MIN_SPEC_FIELDS) {
        return false;
    }
    const msgpack_object *at = root->via.array.ptr;
    if (!record_int(&at[0], SPEC_FORMAT, SPEC_FORMAT, &format) ||
        !record_text(&at[1], &id) || id == NULL ||
        strlen(id) >= AQ_JOB_ID_SIZE) {
        free(id);
        return false;
    }
    memcpy(spec->id, id, strlen(id) + 1);
    free(id);
    if (!record_text(&at[2], &spec->queue) ||
        !record_text(&at[3], &spec->text) ||
        !record_int(&at[4], 0, INT64_MAX, &spec->first_due_ms) ||
        !record_int(&at[5], 0, INT64_MAX, &spec->interval_ms) ||
        !record_int(&at[6], 0, UINT32_MAX, &occurrences) ||
        !record_int(&at[7], 0, INT64_MAX, &spec->submitted_ms) ||
        spec->queue == NULL || at[8].type != MSGPACK_OBJECT_ARRAY ||
        at[8].via.array.size > AQ_JOB_MAX_STEPS) {
        return false;
    }
    if (spec->text == NULL) {
        spec->text = strdup("");
    }
    spec->occurrences = (uint32_t)occurrences;
    spec->steps = calloc(at[8].via.array.size + 1, sizeof(*spec->steps));
    for (uint32_t i = 0; i < at[8].via.array.size; i++) {
        AqStepSpec *step = &spec->steps[spec->step_count++];
        if (!unpack_step(&at[8].via.array.ptr[i], step)) {
            return false;
        }
    }
    return unpack_later_fields(root, spec);
}

bool
AqJobSpec_Decode(const char *bytes, size_t size, AqJobSpec *spec,
                 AqError *error)
{
    msgpack_unpacked unpacked;
    memset(spec, 0, sizeof(*spec));
    bool ok = record_unpack(&unpacked, bytes, size) &&
              unpack_spec(&unpacked.data, spec) &&
              AqJobSpec_Check(spec, error);
    msgpack_unpacked_destroy(&unpacked);
    if (!ok) {
        AqJobSpec_Clear(spec);
        return AqError_Set(error, AQ_ERR_INVALID,
                           "the stored job is damaged; it is kept "
                           "unchanged, remove its key");
    }
    return true;
}
