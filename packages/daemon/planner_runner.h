#ifndef PLANNER_TASK_H
#define PLANNER_TASK_H

#include "daemon.h"

/* Runs the planner while this daemon is the live member with the lowest rank:
 * commits its steps, asks the platform for reboots, removes members that a
 * majority no longer hears. */

PlannerTask *PlannerTask_Create(Daemon *daemon);
void PlannerTask_Destroy(PlannerTask *task);

/* The VM list changed.  The planner looks at it at once: a VM that is down for
 * less than a period would otherwise not be seen to reboot. */
void PlannerTask_ListChanged(PlannerTask *task);

/* Whether this daemon does the background work now. */
bool PlannerTask_IsActive(const PlannerTask *task);

#endif
