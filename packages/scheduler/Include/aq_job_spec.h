#ifndef AQ_JOB_SPEC_H
#define AQ_JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* A job as a caller submitted it: steps, each of a number of equal tasks.  A
 * recurring job has occurrences that are due at a fixed interval.  The stored
 * form is msgpack (job_spec.c). */

enum {
    AQ_JOB_ID_SIZE = 33,      /* bytes, with the NUL */
    AQ_JOB_MAX_STEPS = 64,    /* a job with more is refused */
    AQ_JOB_MAX_TASKS = 20000, /* over all steps; bounds the memory of a job */
    AQ_JOB_MAX_TEXT = 4000    /* bytes of the text passed to the workers */
};

typedef struct {
    uint32_t task_count;
    int64_t cpu_millis;  /* thousandths of a core for each task */
    int64_t memory_mb;   /* for each task */
    int64_t gpus;        /* for each task */
    int64_t estimate_ms; /* declared duration of a task; 0: none */
    uint32_t *after;     /* numbers of the steps that must be done first;
                          * owned */
    size_t after_count;
    bool is_gang;           /* the tasks work only while all of them run */
    bool prefers_one_rack;  /* its tasks are slower when spread over racks */
    bool is_checkpointable; /* a new run continues from the last checkpoint */
    bool allows_copies;     /* two runs of a task may be alive at a time */
    bool is_perpetual;      /* its tasks run until the job is cancelled */
    bool is_filler;         /* its tasks use only CPU that others leave idle */
    char *required_label;   /* kind or rack of the VM, or NULL; owned */
    char *near_rack;        /* rack of the data, or NULL; owned */
    char *image;            /* image that the tasks run, or NULL; owned */
    uint32_t max_per_vm;    /* most tasks of the step on one VM; 0: no limit */
    int64_t latency_target_ms; /* tail latency of a serving task; 0: none */
    uint32_t may_miss;         /* most tasks that may be away from work at a
                                * time because of moves */
    bool limits_missing;       /* may_miss was given; else there is no limit */
} AqStepSpec;

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    char *queue;       /* name of the queue that accepted it; owned */
    char *text;        /* passed to the workers unchanged; owned */
    AqStepSpec *steps; /* owned */
    size_t step_count;
    int64_t first_due_ms; /* due time of occurrence 0, Unix ms; 0: at once */
    int64_t interval_ms;  /* between occurrences */
    uint32_t occurrences; /* of a recurring job; 0: the job runs once */
    int64_t submitted_ms; /* Unix ms */
} AqJobSpec;

/* Frees what the spec owns and zeroes it. */
void AqJobSpec_Clear(AqJobSpec *spec);

/* Checks counts, sizes and references between steps; false with
 * AQ_ERR_INVALID when one is not allowed. */
bool AqJobSpec_Check(const AqJobSpec *spec, AqError *error);

/* Appends the stored form. */
void AqJobSpec_Encode(const AqJobSpec *spec, AqBuffer *out);
/* Reads the stored form.  The caller clears *spec on success; damaged bytes
 * are AQ_ERR_INVALID and leave it cleared. */
bool AqJobSpec_Decode(const char *bytes, size_t size, AqJobSpec *spec,
                      AqError *error);

#endif
