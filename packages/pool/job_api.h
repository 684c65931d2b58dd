#ifndef JOB_API_H
#define JOB_API_H

#include "aq_http_server.h"
#include "forwarder.h"
#include "node.h"

/* HTTP API for callers: jobs are submitted, queried and cancelled at any
 * node.  A job is accepted once it is in the store.  While the store can't be
 * reached, a request that needs the store gets an error response that says
 * so. */

typedef struct JobApi JobApi;

typedef struct {
    /* Returns whether the node's copy of the site's configuration is up to
     * date with the store. */
    bool (*is_current)(void *context);
    /* Forwards a request to another node.  Returns false and does nothing if
     * that is not possible. */
    bool (*forward)(void *context, const ForwardOrder *order);
} JobApiOps;

JobApi *job_api_create(NodeContext *node, const JobApiOps *ops, void *context);
void job_api_destroy(JobApi *job_api);

/* Returns how long, in ms, a caller waits for a response according to the
 * text of its deadline header: 2500 without a readable number above 0 (NULL:
 * no header), at most 60000. */
AqTime job_api_wait_ms(const char *text);

/* Handler for AqHttpServer; "context" is the JobApi. */
void job_api_handle(void *context, AqExchange *exchange);

#endif
