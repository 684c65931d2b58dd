#ifndef AQ_METRICS_H
#define AQ_METRICS_H

#include <stdint.h>

#include "aq_buffer.h"

/* Registry of the counters, gauges and histograms of one process, which
 * AqMetrics_Write outputs in the Prometheus text format.  The registry owns
 * its metrics. */
typedef struct AqMetrics AqMetrics;
typedef struct AqMetric AqMetric;

AqMetrics *AqMetrics_Create(void);
void AqMetrics_Destroy(AqMetrics *metrics);

/* Returns the counter with this name and these labels, and creates it if it
 * does not exist yet.  "labels" is "" or like `service="track"`.  Both strings
 * are copied.  The registry owns the result. */
AqMetric *AqMetrics_Counter(AqMetrics *metrics, const char *name,
                            const char *labels);
AqMetric *AqMetrics_Gauge(AqMetrics *metrics, const char *name,
                          const char *labels);

/* Returns the histogram with this name and these labels, and creates it if it
 * does not exist yet.  A histogram counts durations in milliseconds, in
 * buckets with fixed upper bounds from 1 ms to 10 s.  The registry owns the
 * result. */
AqMetric *AqMetrics_Histogram(AqMetrics *metrics, const char *name,
                              const char *labels);
void AqMetric_Observe(AqMetric *metric, int64_t ms);

void AqMetric_Add(AqMetric *metric, int64_t amount);
void AqMetric_Set(AqMetric *metric, int64_t value);
int64_t AqMetric_Value(const AqMetric *metric);

/* Appends all metrics to *out in the Prometheus text format, in the order in
 * which they were created. */
void AqMetrics_Write(const AqMetrics *metrics, AqBuffer *out);

#endif
