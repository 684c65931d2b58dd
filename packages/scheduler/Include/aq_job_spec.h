#ifndef AQ_JOB_SPEC_H
#define AQ_JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_error.h"
#include "aq_site_config.h"

/* A job as a caller submitted it: steps, each of a number of equal tasks.  A
 * recurring job executes all its steps several times; each such occurrence is
 * due a fixed interval after the one before.  The stored form is msgpack
 * (job_spec.c). */

enum {
    /* size of the buffer for a job's id, in bytes with the NUL */
    AQ_JOB_ID_SIZE = 33,
    AQ_JOB_MAX_STEPS = 64, /* a job with more steps is refused */
    /* most tasks of a job, summed over its steps; a job with more is refused,
     * which bounds the memory that one job takes */
    AQ_JOB_MAX_TASKS = 20000,
    /* most bytes of the job's text, which the scheduler passes to the workers;
     * a job with a longer text is refused */
    AQ_JOB_MAX_TEXT = 4000
};

typedef struct {
    uint32_t task_count;
    int64_t cpu_millis; /* thousandths of a core for each task */
    int64_t memory_mb;  /* memory of each task */
    int64_t gpus;       /* number of GPUs of each task */
    /* declared duration of each task; 0: none */
    int64_t estimate_ms;
    /* numbers of the steps that must be done before this step's tasks start;
     * owned */
    uint32_t *after;
    size_t after_count;
    /* the step's tasks work only while all of them run at the same time */
    bool is_gang;
    /* the step's tasks are slower when spread over racks */
    bool prefers_one_rack;
    /* a new run of a task continues from the task's last checkpoint */
    bool is_checkpointable;
    /* two runs of the same task may be alive at a time */
    bool allows_copies;
    /* the step's tasks run until the job is cancelled */
    bool is_perpetual;
    /* the step's tasks are fillers: they use only CPU that other tasks
     * leave */
    bool is_filler;
    /* kind or rack that a VM must have to run the step's tasks; NULL: any;
     * owned */
    char *required_label;
    /* rack that holds the data of the step's tasks; the tasks preferably run
     * there; NULL: none; owned */
    char *near_rack;
    /* image that the step's tasks run; NULL: none; owned */
    char *image;
    uint32_t max_per_vm; /* most tasks of the step on one VM; 0: no limit */
    /* target for the tail latency of the step's tasks, which serve requests;
     * 0: no target */
    int64_t latency_target_ms;
    /* most tasks of the step that may be missing (not at work) while the
     * scheduler moves tasks to other VMs */
    uint32_t may_miss;
    /* the caller set may_miss; if false, any number of the step's tasks may be
     * missing at a time */
    bool limits_missing;
} AqStepSpec;

/* What a job's queue lays down for the job.  The fields are those of
 * AqQueueConfig with the same names. */
typedef struct {
    uint32_t max_attempts;
    bool needs_tickets;
    int priority;
    /* stored in thousandths, at most 1,000,000 */
    double stretch;
    AqTime target_ms;
} AqJobTerms;

/* Sets *terms to those of the queue. */
void AqJobTerms_Set(AqJobTerms *terms, const AqQueueConfig *queue);

typedef struct {
    char id[AQ_JOB_ID_SIZE];
    /* name of the queue that accepted the job; owned */
    char *queue;
    /* name of the workspace whose key the submission had; NULL: none; owned */
    char *workspace;
    /* text of the job, which the scheduler passes to the workers unchanged;
     * owned */
    char *text;
    AqStepSpec *steps; /* array of step_count steps; owned */
    size_t step_count;
    /* due time of occurrence 0, Unix ms; 0: due immediately */
    int64_t first_due_ms;
    /* time between the due times of successive occurrences */
    int64_t interval_ms;
    /* number of occurrences of a recurring job; 0: the job runs once */
    uint32_t occurrences;
    /* when the job was submitted, Unix ms */
    int64_t submitted_ms;
    /* The store has a record that names the job's pool.  False for a job that
     * was decoded from the stored form of an earlier version, which wrote
     * none; AqJobSpec_Encode() always writes true. */
    bool has_pool_record;
    /* The queue's terms when the job was accepted are known.  False for a job
     * of an earlier version, which did not store them. */
    bool has_terms;
    AqJobTerms terms;
} AqJobSpec;

/* Frees what *spec owns and zeroes *spec. */
void AqJobSpec_Clear(AqJobSpec *spec);

/* Checks the counts and sizes in *spec and the references between its steps;
 * false with AQ_ERR_INVALID when one of them is not allowed. */
bool AqJobSpec_Check(const AqJobSpec *spec, AqError *error);

/* Appends the stored form of *spec to "out". */
void AqJobSpec_Encode(const AqJobSpec *spec, AqBuffer *out);
/* Reads the stored form of a job into *spec, which the caller clears on
 * success.  False with AQ_ERR_INVALID, and *spec cleared, when the bytes are
 * damaged. */
bool AqJobSpec_Decode(const char *bytes, size_t size, AqJobSpec *spec,
                      AqError *error);

#endif
