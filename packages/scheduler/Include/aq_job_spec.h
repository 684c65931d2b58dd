#ifndef AQ_JOB_SPEC_H
#define AQ_JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_error.h"

/* A job as a caller submitted it: steps of equal tasks, perhaps repeated at
 * set times.  The stored form is msgpack (job_spec.c). */

enum {
    AQ_JOB_ID_SIZE = 33,      /* bytes, with the NUL */
    AQ_JOB_MAX_STEPS = 64,    /* a job with more is refused */
    AQ_JOB_MAX_TASKS = 20000, /* of all steps; bounds memory a job */
    AQ_JOB_MAX_TEXT = 4000    /* bytes of the text for the workers */
};

typedef struct {
    uint32_t task_count;
    int64_t cpu_millis; /* thousandths of a core, for each task */
    int64_t memory_mb;
    int64_t gpus;
    int64_t estimate_ms; /* declared duration; 0: none */
    uint32_t *after;     /* earlier steps that must be done; owned */
    size_t after_count;
    bool is_gang;          /* tasks work only while all of them run */
    bool prefers_one_rack; /* slower when spread over racks */
    bool is_checkpointable;
    bool allows_copies;   /* copies of a task may run beside it */
    bool is_perpetual;    /* runs until the job is cancelled */
    bool is_filler;       /* uses only the processor that others leave */
    char *required_label; /* or NULL; owned */
    char *near_rack;      /* rack of the data, or NULL; owned */
    char *image;          /* what the tasks run, or NULL; owned */
    uint32_t max_per_vm;  /* most tasks of the step on one VM; 0: no limit */
    int64_t latency_target_ms; /* of a serving task's tail; 0: none */
    uint32_t may_miss;         /* tasks that orders may take away at a time */
    bool limits_missing;       /* may_miss was given */
} AqStepSpec;

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    char *queue;       /* name of the route that it came by; owned */
    char *text;        /* handed to the workers as it is; owned */
    AqStepSpec *steps; /* owned */
    size_t step_count;
    int64_t first_due_ms; /* Unix ms; 0: due at once */
    int64_t interval_ms;  /* between occurrences */
    uint32_t occurrences; /* 0: a plain job */
    int64_t submitted_ms; /* Unix ms */
} AqJobSpec;

/* Frees what the spec owns and zeroes it. */
void AqJobSpec_Clear(AqJobSpec *spec);

/* Checks counts, references between steps and sizes. */
bool AqJobSpec_Check(const AqJobSpec *spec, AqError *error);

/* Appends the stored form. */
void AqJobSpec_Encode(const AqJobSpec *spec, AqBuffer *out);
/* Reads the stored form; *spec is new.  AQ_ERR_INVALID for damaged bytes. */
bool AqJobSpec_Decode(const char *bytes, size_t size, AqJobSpec *spec,
                      AqError *error);

#endif
