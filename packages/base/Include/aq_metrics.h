#ifndef AQ_METRICS_H
#define AQ_METRICS_H

#include <stdint.h>

#include "aq_buffer.h"

/* Counters and gauges of one process, written out in the Prometheus text
 * format.  A metric lives as long as its registry. */
typedef struct AqMetrics AqMetrics;
typedef struct AqMetric AqMetric;

AqMetrics *AqMetrics_Create(void);
void AqMetrics_Destroy(AqMetrics *metrics);

/* Finds or creates a metric.  "labels" is "" or like `service="track"`.
 * Both strings are copied.  The result is borrowed from the registry. */
AqMetric *AqMetrics_Counter(AqMetrics *metrics, const char *name,
                            const char *labels);
AqMetric *AqMetrics_Gauge(AqMetrics *metrics, const char *name,
                          const char *labels);

/* A histogram of milliseconds, with fixed bounds from 1 ms to 10 s. */
AqMetric *AqMetrics_Histogram(AqMetrics *metrics, const char *name,
                              const char *labels);
void AqMetric_Observe(AqMetric *metric, int64_t ms);

void AqMetric_Add(AqMetric *metric, int64_t amount);
void AqMetric_Set(AqMetric *metric, int64_t value);
int64_t AqMetric_Value(const AqMetric *metric);

/* Appends all metrics, in order of creation, to *out. */
void AqMetrics_Write(const AqMetrics *metrics, AqBuffer *out);

#endif
