#include <stdio.h>
#include <stdlib.h>

#include "caller.h"

/* Limit on the unexpected results of requests that the summary of a load
 * generator lists; later unexpected results are only counted. */
#define MAX_PROBLEM_COUNT 20

static const char *const result_names[RESULT_KIND_COUNT] = {
    "completed", "not_run", "unknown", "wrong", "cut", "closed", "no_answer"};

void
Summary_Init(Summary *summary, const CallerOptions *options)
{
    summary->options = options;
    summary->latencies = g_array_new(FALSE, FALSE, sizeof(double));
    summary->statuses = g_hash_table_new(g_direct_hash, g_direct_equal);
    summary->not_run_ids = json_array();
    summary->problems = json_array();
}

void
Summary_Clear(Summary *summary)
{
    g_array_free(summary->latencies, TRUE);
    g_hash_table_destroy(summary->statuses);
    json_decref(summary->not_run_ids);
    json_decref(summary->problems);
}

static void
add_problem(Summary *summary, const CallResult *result)
{
    if (json_array_size(summary->problems) >= MAX_PROBLEM_COUNT) {
        return;
    }
    json_array_append_new(
        summary->problems,
        json_pack("{s:s s:s s:s s:I s:s}", "id", result->id, "daemon",
                  summary->options->daemons[result->daemon], "result",
                  result_names[result->kind], "status",
                  (json_int_t)result->status, "detail",
                  result->detail != NULL ? result->detail : ""));
}

void
Summary_Add(Summary *summary, const CallResult *result)
{
    gpointer status = GINT_TO_POINTER((int)result->status);
    gpointer seen = g_hash_table_lookup(summary->statuses, status);
    summary->counts[result->daemon][result->kind]++;
    g_hash_table_insert(summary->statuses, status,
                        GINT_TO_POINTER(GPOINTER_TO_INT(seen) + 1));
    if (result->kind == RESULT_COMPLETED) {
        g_array_append_val(summary->latencies, result->latency_ms);
    }
    if (result->kind == RESULT_UNKNOWN && result->idempotent) {
        summary->unknown_idempotent++;
    }
    if (result->kind == RESULT_NOT_RUN && !result->has_retry_after) {
        summary->no_retry_after++;
    }
    if (result->kind >= RESULT_WRONG) {
        add_problem(summary, result);
    }
}

void
Summary_AddNotRun(Summary *summary, const char *id)
{
    json_array_append_new(summary->not_run_ids, json_string(id));
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static json_t *
describe_latencies(const Summary *summary)
{
    GArray *sorted = g_array_copy(summary->latencies);
    guint n = sorted->len;
    double *ms = (double *)(void *)sorted->data;
    json_t *result = json_object();
    if (n > 0) {
        qsort(ms, n, sizeof(double), compare_doubles);
        json_object_set_new(result, "p50", json_real(ms[n / 2]));
        json_object_set_new(result, "p99", json_real(ms[n * 99 / 100]));
        json_object_set_new(result, "max", json_real(ms[n - 1]));
    }
    g_array_free(sorted, TRUE);
    return result;
}

static json_t *
describe_statuses(const Summary *summary)
{
    json_t *result = json_object();
    GHashTableIter at;
    gpointer status;
    gpointer count;
    g_hash_table_iter_init(&at, summary->statuses);
    while (g_hash_table_iter_next(&at, &status, &count)) {
        char name[16];
        snprintf(name, sizeof(name), "%d", GPOINTER_TO_INT(status));
        json_object_set_new(result, name,
                            json_integer(GPOINTER_TO_INT(count)));
    }
    return result;
}

static json_t *
describe_daemon(const Summary *summary, int daemon)
{
    json_t *result = json_object();
    json_object_set_new(result, "address",
                        json_string(summary->options->daemons[daemon]));
    for (int kind = 0; kind < RESULT_KIND_COUNT; kind++) {
        json_object_set_new(
            result, result_names[kind],
            json_integer((json_int_t)summary->counts[daemon][kind]));
    }
    return result;
}

json_t *
Summary_Describe(const Summary *summary, int in_flight)
{
    json_t *daemons = json_array();
    json_t *result = json_pack(
        "{s:I s:I s:I s:i s:I s:I s:O s:O}", "sent", (json_int_t)summary->sent,
        "reconnected", (json_int_t)summary->reconnected, "unsent",
        (json_int_t)summary->unsent, "in_flight", in_flight,
        "unknown_idempotent", (json_int_t)summary->unknown_idempotent,
        "no_retry_after", (json_int_t)summary->no_retry_after, "not_run_ids",
        summary->not_run_ids, "problems", summary->problems);
    for (int kind = 0; kind < RESULT_KIND_COUNT; kind++) {
        uint64_t sum = 0;
        for (int daemon = 0; daemon < summary->options->daemon_count;
             daemon++) {
            sum += summary->counts[daemon][kind];
        }
        json_object_set_new(result, result_names[kind],
                            json_integer((json_int_t)sum));
    }
    for (int daemon = 0; daemon < summary->options->daemon_count; daemon++) {
        json_array_append_new(daemons, describe_daemon(summary, daemon));
    }
    json_object_set_new(result, "daemons", daemons);
    json_object_set_new(result, "latency_ms", describe_latencies(summary));
    json_object_set_new(result, "statuses", describe_statuses(summary));
    return result;
}
