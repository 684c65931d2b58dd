#ifndef FAIR_ORDER_H
#define FAIR_ORDER_H

#include "scheduler_internal.h"

/* Order in which ready jobs are placed during one placement of tasks.  While
 * there is less room than work, a workspace is entitled to its weighted share
 * of the room among the workspaces with ready jobs of the same priority.
 * Within a bucket (Job.bucket) the jobs of workspaces that have less than that
 * come first, in ranking order; so do jobs in progress, since their finished
 * tasks are worth nothing without the others.  The remaining room goes to the
 * workspace that has the least for its weight. */

typedef struct FairOrder FairOrder;

/* Returns a new order of the jobs, which are in ranking order and borrowed, as
 * are their workspaces. */
FairOrder *fair_order_create(const AqScheduler *s, Job *const *jobs,
                             size_t count);
/* Returns the job to place next, after the placement of the job returned
 * before; NULL: all jobs have been returned. */
Job *fair_order_next(FairOrder *self);
/* Whether the ready tasks need more room, or more start orders, than there
 * is, so that shares count. */
bool fair_order_is_contended(const FairOrder *self);
void fair_order_destroy(FairOrder *self);

/* Adds up what the VMs have on which tasks may start. */
AqResources fair_order_total(const AqScheduler *s);
/* Returns the largest part, 0 to 1, of one of the resources. */
double fair_order_dominant_share(const AqResources *used,
                                 const AqResources *total);

#endif
