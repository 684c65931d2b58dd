#ifndef AQ_SITE_CONFIG_H
#define AQ_SITE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The operator's configuration: queues that callers reach by host and path
 * prefix, and the pools of VMs that run their tasks. */

typedef struct {
    char *name;
    char *host;
    char *prefix; /* of the path; the job's id follows it */
    char *pool;
    int64_t timeout_ms;
    int64_t target_ms; /* added to "stretch" times the longest chain */
    double stretch;
    int priority;          /* 0 comes first */
    uint32_t max_attempts; /* failed runs of a task; 0: no limit */
    bool needs_tickets;    /* starts need a ticket of the advice service */
    int64_t ticket_valid_ms;
} AqQueueConfig;

typedef struct {
    char *name;
    bool is_spare;        /* its VMs are off */
    bool guards_capacity; /* its VMs refuse what does not fit */
} AqPoolConfig;

typedef struct {
    int64_t version;
    AqQueueConfig *queues;
    size_t queue_count;
    AqPoolConfig *pools;
    size_t pool_count;
} AqSiteConfig;

void AqSiteConfig_Clear(AqSiteConfig *config);

/* The queue whose host is "host" (a port behind it is ignored) and whose
 * prefix is the longest that "path" begins with, or NULL.  Borrowed. */
const AqQueueConfig *AqSiteConfig_Match(const AqSiteConfig *config,
                                        const char *host, const char *path);
/* Name of the pool whose VMs are off, or NULL.  Borrowed. */
const char *AqSiteConfig_SparePool(const AqSiteConfig *config);
const AqQueueConfig *AqSiteConfig_FindQueue(const AqSiteConfig *config,
                                            const char *name);

#endif
