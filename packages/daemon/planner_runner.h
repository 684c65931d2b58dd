#ifndef PLANNER_RUNNER_H
#define PLANNER_RUNNER_H

#include "daemon.h"

/* Creates the object that runs the planner while this daemon is the live
 * member that owns the role "planner".  It commits the planner's changes to
 * the fleet document and requests reboots of VMs from the platform.  On every
 * daemon, it commits the removal of members from which a majority receives no
 * heartbeats. */

PlannerRunner *PlannerRunner_Create(Daemon *daemon);
void PlannerRunner_Destroy(PlannerRunner *runner);

/* Handles a change of the platform's VM list.  The planner evaluates the new
 * list at once: otherwise it would miss the reboot of a VM that is down for
 * less than the planner's period. */
void PlannerRunner_ListChanged(PlannerRunner *runner);

/* Whether this daemon currently runs the planner and the jobs. */
bool PlannerRunner_IsActive(const PlannerRunner *runner);

#endif
