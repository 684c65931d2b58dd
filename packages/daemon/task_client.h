#ifndef TASK_CLIENT_H
#define TASK_CLIENT_H

#include "aq_jobs.h"
#include "daemon.h"

/* Client of the platform's task API: sends orders about tasks and receives the
 * states of tasks. */

typedef struct TaskClient TaskClient;

/* "jobs" stays owned by the caller and must outlive the result, which the
 * caller owns too. */
TaskClient *TaskClient_Create(Daemon *daemon, AqJobs *jobs);
void TaskClient_Destroy(TaskClient *client);

/* Sends an order to the platform; the result of a start goes to "jobs". */
void TaskClient_Send(TaskClient *client, const AqTaskOrder *order);
/* Reports each task in the platform's latest list to "jobs". */
void TaskClient_Report(TaskClient *client);

#endif
