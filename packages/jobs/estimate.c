#include "jobs_internal.h"

#include <stdlib.h>

enum {
    MILLI_PER_CORE = 1000,
    /* Size that is reserved for a task, in percent of the 90th percentile of
     * the most cores, or the most memory, that each finished task of the
     * team's jobs that declare the same size was reported to use. */
    ESTIMATE_PERCENT = 120
};

Size
size_declared(const json_t *job)
{
    Size size = {
        .cores_milli = job_int(job, "cores") * MILLI_PER_CORE,
        .memory_mb = job_int(job, "memory_mb"),
        .accelerators = job_int(job, "accelerators"),
    };
    return size;
}

/* Returns the name of the job's class, which the caller frees with g_free.
 * Jobs of a team that declare the same size form a class; the most cores and
 * memory that one finished task of a class was reported to use are a sample of
 * that class. */
static char *
class_name(const json_t *job)
{
    return g_strdup_printf("%lld/%lld/%lld", (long long)job_int(job, "cores"),
                           (long long)job_int(job, "memory_mb"),
                           (long long)job_int(job, "accelerators"));
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

/* Each of "samples" is the most that one finished task was reported to use, as
 * an array [thousandths of a core, MB of memory].  Returns ESTIMATE_PERCENT of
 * the 90th percentile of the cores ("element" 0) or of the memory ("element"
 * 1) in all samples. */
static int64_t
estimate_from_samples(const json_t *samples, size_t element)
{
    int64_t values[JOBS_MAX_SAMPLES];
    size_t count = json_array_size(samples);
    for (size_t i = 0; i < count; i++) {
        values[i] = json_integer_value(
            json_array_get(json_array_get(samples, i), element));
    }
    qsort(values, count, sizeof(values[0]), compare_int64);
    size_t at = (count * 9 + 9) / 10 - 1;
    return values[at] * ESTIMATE_PERCENT / 100;
}

Size
size_estimate(const Team *team, const json_t *job)
{
    Size size = size_declared(job);
    char *class = class_name(job);
    const json_t *samples =
        json_object_get(json_object_get(team->working, "samples"), class);
    g_free(class);
    size_t count = json_array_size(samples);
    if (count < JOBS_MIN_SAMPLES || count > JOBS_MAX_SAMPLES) {
        return size;
    }
    size.cores_milli =
        MAX(estimate_from_samples(samples, 0), JOBS_MIN_ESTIMATE_CORES_MILLI);
    size.memory_mb =
        MAX(estimate_from_samples(samples, 1), JOBS_MIN_ESTIMATE_MEMORY_MB);
    return size;
}

void
size_add_sample(Team *team, const json_t *job, const TaskRuntime *runtime)
{
    json_t *all = json_object_get(team->working, "samples");
    if (runtime->peak_cores_milli == 0 && runtime->peak_memory_mb == 0) {
        /* No sample: the platform reports a task's use later than its state,
         * so a short task may finish before its use was ever reported. */
        return;
    }
    char *class = class_name(job);
    json_t *samples = json_object_get(all, class);
    if (samples == NULL) {
        samples = json_array();
        json_object_set_new(all, class, samples);
    }
    json_array_append_new(
        samples, json_pack("[I,I]", (json_int_t)runtime->peak_cores_milli,
                           (json_int_t)runtime->peak_memory_mb));
    while (json_array_size(samples) > JOBS_MAX_SAMPLES) {
        json_array_remove(samples, 0);
    }
    g_free(class);
    team->dirty = true;
}

bool
size_fits(const Size *size, const Size *room)
{
    return size->cores_milli <= room->cores_milli &&
           size->memory_mb <= room->memory_mb &&
           size->accelerators <= room->accelerators;
}

Size
size_reserved(const json_t *job)
{
    const json_t *list = json_object_get(job, "reserved");
    Size size = {
        .cores_milli = json_integer_value(json_array_get(list, 0)),
        .memory_mb = json_integer_value(json_array_get(list, 1)),
        .accelerators = json_integer_value(json_array_get(list, 2)),
    };
    return size;
}

void
size_reserve(json_t *job, const Size *size)
{
    json_object_set_new(job, "reserved",
                        json_pack("[I,I,I]", (json_int_t)size->cores_milli,
                                  (json_int_t)size->memory_mb,
                                  (json_int_t)size->accelerators));
}
