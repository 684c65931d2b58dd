#ifndef NODE_H
#define NODE_H

#include <glib.h>

#include "aq_http_client.h"
#include "aq_loop.h"
#include "aq_machines.h"
#include "aq_metrics.h"
#include "aq_node.h"
#include "aq_settings.h"
#include "aq_site_config.h"
#include "aq_store.h"
#include "aq_worker_client.h"
#include "store_health.h"

/* State that the components of a node share.  Each component gets its
 * dependencies from here and none includes another's internals. */

/* Metrics of a node; docs/OPERATIONS.md describes each.  Histograms are in
 * ms. */
typedef struct {
    AqMetrics *all;
    /* From the arrival of a submission to its response, if stored. */
    AqMetric *accept_ms;
    /* From the arrival of a request for a job's state to its response. */
    AqMetric *state_ms;
    /* Round trip of an order to start a task. */
    AqMetric *start_ms;
    /* Round trip of a pool owner's write of its jobs' progress. */
    AqMetric *save_ms;
    /* From gaining a pool to having loaded its jobs. */
    AqMetric *takeover_ms;
    /* Callers' submissions that were stored. */
    AqMetric *stored;
    AqMetric *refused; /* callers' requests with status 503: nothing done */
    AqMetric *unknown; /* callers' requests with status 504: outcome unknown */
    /* Orders that got no response or were not sent. */
    AqMetric *orders_failed;
    AqMetric *pools_gained;
    AqMetric *pools_lost;
} NodeMetrics;

typedef struct {
    const AqSettings *settings; /* borrowed */
    AqLoop *loop;
    AqHttpClient *http;
    AqStore *store;
    AqWorkerClient *workers;
    AqMachineClient *machines; /* NULL: no machine service is configured */
    AqAdviceClient *advice;    /* NULL: no advice service is configured */
    NodeMetrics metrics;
    StoreHealth store_health;
    AqSiteConfig site;    /* version 0: not read yet */
    char incarnation[40]; /* random, of this process */
    bool is_stopping;
} NodeContext;

#endif
