#ifndef JOBS_RUNNER_H
#define JOBS_RUNNER_H

#include <jansson.h>

#include "daemon.h"

/* Jobs: takes intents from operators, and while this daemon is the planner
 * decides starts and sends the orders to the platform. */

JobsRunner *JobsRunner_Create(Daemon *daemon);
void JobsRunner_Destroy(JobsRunner *task);

/* Answers the exchange when the intent is stored, refused or timed out.  Takes
 * a reference. */
void JobsRunner_Submit(JobsRunner *task, json_t *intent, AqExchange *exchange);
/* Answers with all jobs, read from the store. */
void JobsRunner_List(JobsRunner *task, AqExchange *exchange);

#endif
