#ifndef NODE_H
#define NODE_H

#include <glib.h>

#include "aq_http_client.h"
#include "aq_loop.h"
#include "aq_machines.h"
#include "aq_node.h"
#include "aq_settings.h"
#include "aq_site_config.h"
#include "aq_store.h"
#include "aq_worker_calls.h"

/* What the parts of a node share; each part gets what it needs from here and
 * knows no other part's inside. */

typedef struct {
    const AqSettings *settings; /* borrowed */
    AqLoop *loop;
    AqHttpClient *http;
    AqStore *store;
    AqWorkerCalls *workers;
    AqMachineCalls *machines; /* NULL: VMs can't be ordered about */
    AqAdviceCalls *advice;    /* NULL: no such service */
    AqSiteConfig site;        /* version 0: not known yet */
    char incarnation[40];     /* of this process */
    bool is_stopping;
} NodeContext;

#endif
