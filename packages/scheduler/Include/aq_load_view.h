#ifndef AQ_LOAD_VIEW_H
#define AQ_LOAD_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "aq_buffer.h"
#include "aq_clock.h"
#include "aq_scheduler.h"

/* What the owner of a pool publishes of the pool's load in a lasting overload,
 * so that any node can tell for which jobs there will be no room
 * (aq_admission.h). */

enum {
    /* number of queue priorities that are told apart; lower ones count as the
     * last */
    AQ_LOAD_PRIORITIES = 4,
    /* number of classes of jobs by the work that they need; each class holds
     * jobs of up to twice the work of the class before */
    AQ_LOAD_CLASSES = 16
};

typedef struct {
    /* when the view was made, Unix ms on the owner's clock */
    int64_t made_ms;
    /* fencing number of the owner */
    uint64_t fence;
    /* how long submissions have needed more CPU than the pool has */
    AqTime lasting_ms;
    /* mean ratio of actual to declared durations of tasks, in thousandths */
    int64_t duration_permille;
    /* CPU of the usable VMs and of those on their way, without what perpetual
     * tasks take, in thousandths of a core */
    int64_t capacity_cpu_millis;
    /* core-milliseconds of the tasks that are neither done nor on a VM;
     * perpetual ones are left out */
    int64_t waiting_work;
    /* CPU that the recently submitted jobs need, if they go on coming at this
     * rate, in thousandths of a core, by the priority of their queue and their
     * class */
    int64_t offered[AQ_LOAD_PRIORITIES][AQ_LOAD_CLASSES];
} AqLoadView;

/* Returns the class of a job that needs "work" core-milliseconds. */
size_t AqLoadView_Class(int64_t work);
/* Returns the core-milliseconds above which jobs are in the class. */
int64_t AqLoadView_ClassStart(size_t class);
/* Returns the row of AqLoadView.offered for the priority of a queue. */
size_t AqLoadView_Priority(int priority);

/* Describes the pool's load at "wall", Unix ms, as of the scheduler's last
 * call; arriving_cpu_millis: CPU of the VMs that are on their way.  Returns
 * whether the overload has lasted for so long that the view is worth
 * publishing. */
bool AqScheduler_GetLoadView(AqScheduler *scheduler,
                             int64_t arriving_cpu_millis, int64_t wall,
                             AqLoadView *view);

/* Appends the view to the text of a pool's report, as one line that begins
 * with a tab, which no queue's name does. */
void AqLoadView_Encode(const AqLoadView *view, AqBuffer *out);
/* Reads the view from the text of a report; false if it has none, or one that
 * is damaged or of an unknown version. */
bool AqLoadView_Decode(const char *report, AqLoadView *view);

#endif
