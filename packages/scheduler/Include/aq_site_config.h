#ifndef AQ_SITE_CONFIG_H
#define AQ_SITE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The operator's configuration: the queues, selected by host and path prefix
 * of a caller's request, the pools of VMs that run the queues' tasks, and the
 * workspaces, the customers that submit jobs. */

/* Amounts of the resources of VMs. */
typedef struct {
    int64_t cpu_millis; /* thousandths of a core */
    int64_t memory_mb;
    int64_t gpus; /* number of GPUs */
} AqResources;

typedef struct {
    char *name;
    /* keys by which a caller shows that it belongs to the workspace; array of
     * key_count, owned */
    char **keys;
    size_t key_count;
    /* part of the capacity that the workspace's jobs get while there is too
     * little, in proportion to the weights of the other workspaces; also the
     * number of its jobs a second that callers are promised */
    double weight;
    /* most that the workspace's tasks may use at a time in all pools; each
     * resource 0: no limit */
    AqResources cap;
} AqWorkspaceConfig;

typedef struct {
    char *name;
    char *host;
    /* prefix of the path of requests for the queue; a job's id follows the
     * prefix */
    char *prefix;
    /* name of the pool that runs the tasks of the queue's jobs */
    char *pool;
    int64_t timeout_ms;
    /* A job of the queue is late when it takes longer than its objective:
     * "stretch" times the estimated duration of its longest chain of dependent
     * steps, plus "target_ms". */
    int64_t target_ms;
    double stretch;
    /* jobs of queues with a lower priority number are placed first; 0 is the
     * lowest number */
    int priority;
    /* a job of the queue fails when one of its tasks has had this many failed
     * runs; 0: no limit */
    uint32_t max_attempts;
    /* tasks of the queue's jobs start on a VM only with a ticket, the advice
     * service's permission for that VM, which expires */
    bool needs_tickets;
    int64_t ticket_valid_ms;
    /* requests need no key of a workspace */
    bool is_public;
} AqQueueConfig;

typedef struct {
    char *name;
    /* this pool is the spare pool, whose VMs are powered off */
    bool is_spare;
    /* each VM of the pool refuses a task that needs more than the VM's free
     * resources */
    bool guards_capacity;
} AqPoolConfig;

typedef struct {
    int64_t version;
    AqQueueConfig *queues;
    size_t queue_count;
    AqPoolConfig *pools;
    size_t pool_count;
    /* The configuration lists workspaces, perhaps none.  If false, no request
     * needs a key. */
    bool has_workspaces;
    AqWorkspaceConfig *workspaces;
    size_t workspace_count;
    /* Made by AqSiteConfig_Index(); NULL: queues are searched one by one. */
    struct AqQueueIndex *index;
} AqSiteConfig;

/* Frees what *config owns and zeroes *config. */
void AqSiteConfig_Clear(AqSiteConfig *config);

/* Makes the functions below find queues by hash tables, for configurations
 * with thousands of queues.  The queues must not change afterwards. */
void AqSiteConfig_Index(AqSiteConfig *config);

/* Finds the queue of a caller's request: the queue's host equals "host"
 * without its port, and the queue's prefix is the longest with which "path"
 * begins.  Returns NULL when no queue matches.  Borrowed. */
const AqQueueConfig *AqSiteConfig_Match(const AqSiteConfig *config,
                                        const char *host, const char *path);
/* Returns the name of the spare pool, or NULL when the site has none.
 * Borrowed. */
const char *AqSiteConfig_SparePool(const AqSiteConfig *config);
/* Returns the pool named "name", or NULL when the site has none.  Borrowed. */
const AqPoolConfig *AqSiteConfig_FindPool(const AqSiteConfig *config,
                                          const char *name);
/* Returns the queue named "name", or NULL when the site has none.
 * Borrowed. */
const AqQueueConfig *AqSiteConfig_FindQueue(const AqSiteConfig *config,
                                            const char *name);

/* The same if the queue's pool is "pool", otherwise NULL. */
const AqQueueConfig *AqSiteConfig_FindQueueOfPool(const AqSiteConfig *config,
                                                  const char *name,
                                                  const char *pool);

/* Returns the workspace named "name", or NULL when the site has none.
 * Borrowed. */
const AqWorkspaceConfig *AqSiteConfig_FindWorkspace(const AqSiteConfig *config,
                                                    const char *name);
/* Returns the workspace to which the key belongs, or NULL when the key is NULL
 * or belongs to none.  The time that a comparison takes tells nothing of the
 * key's text.  Needs AqSiteConfig_Index().  Borrowed. */
const AqWorkspaceConfig *AqSiteConfig_FindKey(const AqSiteConfig *config,
                                              const char *key);

#endif
