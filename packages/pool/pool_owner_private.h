#ifndef POOL_OWNER_PRIVATE_H
#define POOL_OWNER_PRIVATE_H

#include "cap_escrow.h"
#include "owner_writer.h"
#include "pool_owner.h"
#include "prefix_view.h"

/* Shared by the files that implement PoolOwner:
 * pool_owner.c         loading, storing, rounds
 * pool_owner_report.c  the report of waiting jobs and load
 * pool_owner_upgrade.c  stored jobs of earlier versions
 * pool_owner_orders.c  calls to VMs and to the advice service */

enum {
    /* Greatest number of jobs whose progress one write stores; other jobs wait
     * for the next write.  OwnerWriter adds three entries to each commit. */
    POOL_OWNER_MAX_SAVES = AQ_STORE_COMMIT_ENTRIES - 3
};

typedef enum {
    LOADING_USED_VMS,
    LOADING_PROGRESS,
    LOADING_JOBS,
    LOADED
} LoadState;

struct PoolOwner {
    AqJobSave saves[POOL_OWNER_MAX_SAVES];
    size_t save_count;
    NodeContext *node;
    Member *member;
    PoolOwnerOps ops;
    void *context;
    Ownership ownership;
    AqScheduler *scheduler;
    AqTimer load_timer;
    /* Job id -> GBytes: progress records of the pool's jobs, kept until the
     * jobs are loaded. */
    GHashTable *progress_records;
    GHashTable *cancelled; /* ids of jobs with a cancellation mark */
    char *last_progress_key;
    PrefixView *jobs;
    OwnerWriter *writer;
    CapEscrow *caps;
    GPtrArray *upgrades; /* of Upgrade: jobs whose records are rewritten */
    /* how many of these, from the first one on, a write rewrites now */
    unsigned upgrades_in_flight;
    AqTime upgrade_due;
    AqTime save_due;
    AqTime save_sent;
    AqTime gained_at;
    /* Store revision at which no earlier owner of the pool could send orders
     * any more; UINT64_MAX: not known yet. */
    uint64_t quiet_index;
    uint64_t used_vms_written;
    uint64_t used_vms_sent_version;
    AqTime used_vms_due;
    /* Text of the pool's report of waiting jobs as last written to the store;
     * NULL: none. */
    char *last_report;
    AqTime report_due;
    /* CPU of the VMs that are on their way to the pool, in thousandths of a
     * core. */
    int64_t arriving_cpu_millis;
    AqTime wait_log_due; /* earliest time of the next starts_wait line */
    /* Callback of pool_owner_finish(), its argument, and the time at which it
     * is called at the latest; finish_done is NULL before pool_owner_finish()
     * and after the callback. */
    void (*finish_done)(void *context);
    void *finish_context;
    AqTime finish_deadline;
    LoadState load_state;
    /* Number of calls to the store, VMs and the advice service that have not
     * ended; each has a pointer to this owner. */
    int calls_in_flight;
    bool could_order; /* pool_owner_may_order() in the last round */
    bool is_dropped;
    bool is_finishing;
    bool is_saving;
    bool is_writing_used_vms;
    bool is_reporting;
};

/* Counts one of the owner's calls as ended.  Returns false if the owner was
 * dropped, in which case it may have been freed. */
bool pool_owner_end_call(PoolOwner *owner);
/* Returns the time of the owner's loop. */
AqTime pool_owner_now(const PoolOwner *owner);
/* Tells the node that another owner has the pool. */
void pool_owner_report_superseded(PoolOwner *owner, const char *reason);

/* Writes the keys if the owner still has the pool; "done" gets the owner,
 * whose pool_owner_end_call() it calls. */
void pool_owner_commit(PoolOwner *owner, const AqStorePut *puts, size_t count,
                       OwnerWriteDone done);
/* Writes the report if it has changed and is due. */
void pool_owner_write_report(PoolOwner *owner);

/* Returns a new array for PoolOwner.upgrades. */
GPtrArray *pool_owner_create_upgrades(void);
/* Takes note of a stored job that the scheduler has; no effect if this version
 * stored it. */
void pool_owner_add_upgrade(PoolOwner *owner, const AqStoreItem *item);
/* Rewrites the records of some jobs of earlier versions if that is due. */
void pool_owner_upgrade_jobs(PoolOwner *owner);

/* The scheduler's calls; their context is the PoolOwner. */
extern const AqSchedulerActions pool_owner_actions;

#endif
