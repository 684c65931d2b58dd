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
#include "recent_submissions.h"
#include "store_health.h"

/* State that the components of a node share.  Each component gets its
 * dependencies from NodeContext and includes no other component's
 * internals. */

/* Metrics of a node; docs/OPERATIONS.md describes each.  Histograms are in
 * ms. */
typedef struct {
    AqMetrics *all;
    /* Time from the arrival of a job's submission to its response, if that has
     * status 200. */
    AqMetric *accept_ms;
    /* Time from the arrival of a request for a job's state to its response, if
     * that has status 200. */
    AqMetric *state_ms;
    /* Time from when an order to start a task is sent to a VM until the VM's
     * reply; an order without a reply is not counted. */
    AqMetric *start_ms;
    /* Time that a pool owner's write of job progress to the store takes,
     * including repeated attempts. */
    AqMetric *save_ms;
    /* Time from when this node becomes a pool's owner until the pool's jobs
     * are loaded. */
    AqMetric *takeover_ms;
    /* Number of submissions by callers whose job was stored. */
    AqMetric *stored;
    /* Number of callers' requests with status 503: nothing was done. */
    AqMetric *refused;
    /* Number of submissions with status 429: the pool is overloaded. */
    AqMetric *refused_load;
    /* Number of callers' requests with status 504: outcome unknown. */
    AqMetric *unknown;
    /* Number of pool owners' orders to VMs that got no reply or were not
     * sent. */
    AqMetric *keys_refused; /* requests without a valid key */
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
    /* Client of the machine service; NULL: none. */
    AqMachineClient *machines;
    AqAdviceClient *advice; /* client of the advice service; NULL: none */
    NodeMetrics metrics;
    StoreHealth store_health;
    RecentSubmissions recent_submissions;
    /* Configuration of the site, as last read; version 0: not read. */
    AqSiteConfig site;
    char incarnation[40]; /* random id of this process */
    bool is_stopping;
} NodeContext;

#endif
