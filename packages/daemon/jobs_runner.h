#ifndef JOBS_RUNNER_H
#define JOBS_RUNNER_H

#include <jansson.h>

#include "daemon.h"

/* Creates the object that runs jobs.  It stores operators' intents (requested
 * changes) about jobs and, while this daemon is the planner, decides which
 * tasks to start and sends the orders to the platform. */

JobsRunner *JobsRunner_Create(Daemon *daemon);
void JobsRunner_Destroy(JobsRunner *runner);

/* Queues an operator's intent (requested change) about a job; JobsRunner takes
 * its own reference to "intent".  Responds to "exchange" when the intent is
 * stored, is refused or times out. */
void JobsRunner_Submit(JobsRunner *runner, json_t *intent,
                       AqExchange *exchange);
/* Responds to "exchange" with all jobs, as read from the store. */
void JobsRunner_List(JobsRunner *runner, AqExchange *exchange);

#endif
