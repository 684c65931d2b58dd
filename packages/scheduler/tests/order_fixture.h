#ifndef ORDER_FIXTURE_H
#define ORDER_FIXTURE_H

#include <glib.h>

#include "aq_scheduler.h"

/* A scheduler on a virtual clock whose orders only the test answers. */

enum {
    FIXTURE_LEASE_MS = 5000,
    FIXTURE_EARLIER_OWNER_MS = 2000,
    FIXTURE_VM_CPU_MILLIS = 4000
};

typedef struct {
    AqTaskName task;
    int64_t run;
    char vm[AQ_VM_ID_SIZE];
} FixtureStart;

typedef struct {
    AqScheduler *s;
    AqTime now;
    AqTime quiet_at; /* no earlier owner is active any more */
    AqSiteConfig site;
    AqQueueConfig queue;
    AqWorkspaceConfig workspace_config;
    const char *workspace;  /* of the jobs that are added; NULL: none */
    GArray *starts;         /* of FixtureStart: all start orders */
    GArray *stops;          /* of FixtureStart: all stop orders */
    AqRenewalOrder renewal; /* the last renewal order */
    unsigned ticket_requests;
} Fixture;

/* "earlier_owner_ms": AqSchedulerConfig.earlier_owner_ms. */
void fixture_set_up(Fixture *f, AqTime earlier_owner_ms);
/* A scheduler of a pool that had no owner before. */
void fixture_set_up_loaded(Fixture *f);
/* The same with these figures of AqSchedulerConfig. */
void fixture_set_up_places(Fixture *f, double far_rack_factor,
                           AqTime place_wait_ms);
/* Configures a workspace with a cap on CPU, to which the jobs belong that are
 * added from now on; "name" is borrowed. */
void fixture_set_cap(Fixture *f, const char *name, int64_t cpu_millis);
void fixture_tear_down(Fixture *f);
void fixture_tick(Fixture *f, AqTime ms);
/* Adds a job of one step. */
void fixture_add_job(Fixture *f, const char *id, const AqStepSpec *step);
/* The same of a workspace, NULL: of none, and of a queue. */
void fixture_add_job_of(Fixture *f, const char *id, const char *workspace,
                        const char *queue, const AqStepSpec *step);
AqVmReport fixture_report(const char *id);
/* Adds a VM on which tasks may start. */
void fixture_add_vm(Fixture *f, const char *id);
void fixture_answer_renewal(Fixture *f, const char *id, AqOrderResult result);
/* Answers the start order with this index. */
void fixture_answer_start(Fixture *f, unsigned start, AqOrderResult result);

#endif
