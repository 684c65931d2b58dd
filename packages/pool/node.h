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

/* What the parts of a node share; each part gets what it needs from here and
 * knows no other part's inside. */

/* Metrics of a node; docs/OPERATIONS.md says what each means. */
typedef struct {
    AqMetrics *all;
    AqMetric *accept_ms;   /* submissions that were stored */
    AqMetric *state_ms;    /* states that were read */
    AqMetric *start_ms;    /* orders to start a task */
    AqMetric *save_ms;     /* writes of an owner */
    AqMetric *takeover_ms; /* from gaining a pool to its jobs loaded */
    AqMetric *stored;      /* requests by outcome */
    AqMetric *refused;
    AqMetric *unknown;
    AqMetric *orders_failed; /* orders without an answer */
    AqMetric *pools_gained;
    AqMetric *pools_lost;
} NodeMetrics;

typedef struct {
    const AqSettings *settings; /* borrowed */
    AqLoop *loop;
    AqHttpClient *http;
    AqStore *store;
    AqWorkerClient *workers;
    AqMachineClient *machines; /* NULL: VMs can't be ordered about */
    AqAdviceClient *advice;    /* NULL: no such service */
    NodeMetrics metrics;
    StoreHealth store_health;
    AqSiteConfig site;    /* version 0: not known yet */
    char incarnation[40]; /* of this process */
    bool is_stopping;
} NodeContext;

#endif
