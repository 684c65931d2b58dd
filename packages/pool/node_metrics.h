#ifndef NODE_METRICS_H
#define NODE_METRICS_H

#include "aq_scheduler.h"
#include "node.h"

/* Creates the counters and histograms of a node; AqMetrics_Destroy on "all"
 * frees them. */
void node_metrics_create(NodeMetrics *metrics);

/* Appends the metrics of a pool that this node owns, as lines of text; times
 * are in ms. */
void node_metrics_write_pool(const char *pool, AqScheduler *s, AqTime now,
                             AqBuffer *out);

/* Appends the metrics of the workspaces with jobs in the pool. */
void node_metrics_write_workspaces(const char *pool, const AqScheduler *s,
                                   AqBuffer *out);

#endif
