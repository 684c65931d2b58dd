#ifndef TASK_CLIENT_H
#define TASK_CLIENT_H

#include "aq_jobs.h"
#include "daemon.h"

/* Client of the platform's task API: sends orders about tasks to the platform
 * and receives the states of tasks. */

typedef struct TaskClient TaskClient;

/* "jobs" stays owned by the caller and must outlive the result, which the
 * caller owns too. */
TaskClient *TaskClient_Create(Daemon *daemon, AqJobs *jobs);
void TaskClient_Destroy(TaskClient *client);

/* Sends an order about a task to the platform; the platform's reply to a start
 * order goes to the AqJobs of "client". */
void TaskClient_Send(TaskClient *client, const AqTaskOrder *order);
/* Passes the state of each task in the platform's latest list to the AqJobs of
 * "client". */
void TaskClient_Report(TaskClient *client);

#endif
