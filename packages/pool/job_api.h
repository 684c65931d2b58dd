#ifndef JOB_API_H
#define JOB_API_H

#include "aq_http_server.h"
#include "forwarder.h"
#include "node.h"

/* Callers' requests: jobs are submitted, asked for and cancelled at any node.
 * A job is accepted when the store has it; an answer that depends on the
 * store says so when the store can't be reached. */

typedef struct JobApi JobApi;

typedef struct {
    /* Whether the node's copy of the configuration follows the store. */
    bool (*is_current)(void *context);
    /* Hands a request to another node; false when that is not possible. */
    bool (*forward)(void *context, const ForwardOrder *order);
} JobApiOps;

JobApi *job_api_create(NodeContext *node, const JobApiOps *ops, void *context);
void job_api_destroy(JobApi *job_api);

/* Handler for AqHttpServer; "context" is the JobApi. */
void job_api_handle(void *context, AqExchange *exchange);

#endif
