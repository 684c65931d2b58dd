#ifndef PLANNER_RUNNER_H
#define PLANNER_RUNNER_H

#include "daemon.h"

/* Runs the planner while this daemon is the live member with the lowest rank:
 * commits its steps, asks the platform for reboots, removes members that a
 * majority no longer hears. */

PlannerRunner *PlannerRunner_Create(Daemon *daemon);
void PlannerRunner_Destroy(PlannerRunner *task);

/* The VM list changed.  The planner looks at it at once: a VM that is down for
 * less than a period would otherwise not be seen to reboot. */
void PlannerRunner_ListChanged(PlannerRunner *task);

/* Whether this daemon does the background work now. */
bool PlannerRunner_IsActive(const PlannerRunner *task);

#endif
