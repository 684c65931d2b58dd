#include "aq_metrics.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "aq_list.h"

/* Inclusive upper bounds of a histogram's buckets, ms. */
static const int64_t bucket_bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

enum {
    BUCKET_COUNT = sizeof(bucket_bounds_ms) / sizeof(bucket_bounds_ms[0])
};

typedef enum {
    METRIC_COUNTER,
    METRIC_GAUGE,
    METRIC_HISTOGRAM
} MetricKind;

struct AqMetric {
    AqLink link;
    char *name;
    char *labels;
    MetricKind kind;
    /* Value of a counter or gauge; for a histogram the sum of all
     * observations, ms. */
    int64_t value;
    /* Number of observations in each bucket; not cumulative, unlike the output
     * of AqMetrics_Write. */
    int64_t bucket_counts[BUCKET_COUNT];
    /* Number of all observations, including those above the last bound. */
    int64_t observation_count;
};

struct AqMetrics {
    AqLink metrics;
};

AqMetrics *
AqMetrics_Create(void)
{
    AqMetrics *metrics = calloc(1, sizeof(*metrics));
    AqList_Init(&metrics->metrics);
    return metrics;
}

void
AqMetrics_Destroy(AqMetrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    AqLink *link;
    while ((link = AqList_PopFirst(&metrics->metrics)) != NULL) {
        AqMetric *metric = AqList_Entry(link, AqMetric, link);
        free(metric->name);
        free(metric->labels);
        free(metric);
    }
    free(metrics);
}

static AqMetric *
find_or_create(AqMetrics *metrics, const char *name, const char *labels,
               MetricKind kind)
{
    AqList_ForEach(at, &metrics->metrics)
    {
        AqMetric *metric = AqList_Entry(at, AqMetric, link);
        if (strcmp(metric->name, name) == 0 &&
            strcmp(metric->labels, labels) == 0) {
            return metric;
        }
    }
    AqMetric *metric = calloc(1, sizeof(*metric));
    metric->name = strdup(name);
    metric->labels = strdup(labels);
    metric->kind = kind;
    AqList_Append(&metrics->metrics, &metric->link);
    return metric;
}

AqMetric *
AqMetrics_Counter(AqMetrics *metrics, const char *name, const char *labels)
{
    return find_or_create(metrics, name, labels, METRIC_COUNTER);
}

AqMetric *
AqMetrics_Gauge(AqMetrics *metrics, const char *name, const char *labels)
{
    return find_or_create(metrics, name, labels, METRIC_GAUGE);
}

AqMetric *
AqMetrics_Histogram(AqMetrics *metrics, const char *name, const char *labels)
{
    return find_or_create(metrics, name, labels, METRIC_HISTOGRAM);
}

void
AqMetric_Observe(AqMetric *metric, int64_t ms)
{
    metric->value += ms;
    metric->observation_count++;
    for (int i = 0; i < BUCKET_COUNT; i++) {
        if (ms <= bucket_bounds_ms[i]) {
            metric->bucket_counts[i]++;
            return;
        }
    }
}

void
AqMetric_Add(AqMetric *metric, int64_t amount)
{
    metric->value += amount;
}

void
AqMetric_Set(AqMetric *metric, int64_t value)
{
    metric->value = value;
}

int64_t
AqMetric_Value(const AqMetric *metric)
{
    return metric->value;
}

/* Returns whether the registry has an earlier metric with the same name, whose
 * output already includes the TYPE line for that name. */
static bool
is_type_written(const AqMetrics *metrics, const AqMetric *metric)
{
    AqList_ForEach(at, &metrics->metrics)
    {
        const AqMetric *other = AqList_Entry(at, AqMetric, link);
        if (other == metric) {
            return false;
        }
        if (strcmp(other->name, metric->name) == 0) {
            return true;
        }
    }
    return false;
}

static void
write_histogram(const AqMetric *metric, AqBuffer *out)
{
    int64_t cumulative_count = 0;
    const char *comma = metric->labels[0] != '\0' ? "," : "";
    for (int i = 0; i < BUCKET_COUNT; i++) {
        cumulative_count += metric->bucket_counts[i];
        AqBuffer_Printf(out, "%s_bucket{%s%sle=\"%lld\"} %lld\n", metric->name,
                        metric->labels, comma, (long long)bucket_bounds_ms[i],
                        (long long)cumulative_count);
    }
    AqBuffer_Printf(out, "%s_bucket{%s%sle=\"+Inf\"} %lld\n", metric->name,
                    metric->labels, comma,
                    (long long)metric->observation_count);
    AqBuffer_Printf(out, "%s_sum{%s} %lld\n%s_count{%s} %lld\n", metric->name,
                    metric->labels, (long long)metric->value, metric->name,
                    metric->labels, (long long)metric->observation_count);
}

void
AqMetrics_Write(const AqMetrics *metrics, AqBuffer *out)
{
    static const char *const kinds[] = {"counter", "gauge", "histogram"};
    AqList_ForEach(at, &metrics->metrics)
    {
        const AqMetric *metric = AqList_Entry(at, AqMetric, link);
        if (!is_type_written(metrics, metric)) {
            AqBuffer_Printf(out, "# TYPE %s %s\n", metric->name,
                            kinds[metric->kind]);
        }
        if (metric->kind == METRIC_HISTOGRAM) {
            write_histogram(metric, out);
        }
        else if (metric->labels[0] != '\0') {
            AqBuffer_Printf(out, "%s{%s} %lld\n", metric->name, metric->labels,
                            (long long)metric->value);
        }
        else {
            AqBuffer_Printf(out, "%s %lld\n", metric->name,
                            (long long)metric->value);
        }
    }
}
