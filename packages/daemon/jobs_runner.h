#ifndef JOBS_TASK_H
#define JOBS_TASK_H

#include <jansson.h>

#include "daemon.h"

/* Jobs: takes intents from operators, and while this daemon is the planner
 * decides starts and sends the orders to the platform. */

JobsTask *JobsTask_Create(Daemon *daemon);
void JobsTask_Destroy(JobsTask *task);

/* Answers the exchange when the intent is stored, refused or timed out.  Takes
 * a reference. */
void JobsTask_Submit(JobsTask *task, json_t *intent, AqExchange *exchange);
/* Answers with all jobs, read from the store. */
void JobsTask_List(JobsTask *task, AqExchange *exchange);

#endif
