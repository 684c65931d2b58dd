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
    /* Round-trip time of an order to a VM to start a task, if the VM
     * replied. */
    AqMetric *start_ms;
    /* Time that a pool owner's write of job progress to the store takes, with
     * repeated attempts. */
    AqMetric *save_ms;
    /* Time from this node's gaining a pool until the pool's jobs are
     * loaded. */
    AqMetric *takeover_ms;
    /* Callers' submissions that were stored. */
    AqMetric *stored;
    AqMetric *refused; /* callers' requests with status 503: nothing done */
    AqMetric *unknown; /* callers' requests with status 504: outcome unknown */
    /* Pool owners' orders to VMs that got no reply or were not sent. */
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
    AqSiteConfig site;    /* configuration of the site; version 0: not read */
    char incarnation[40]; /* random id of this process */
    bool is_stopping;
} NodeContext;

#endif
