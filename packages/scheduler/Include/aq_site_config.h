#ifndef AQ_SITE_CONFIG_H
#define AQ_SITE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The operator's configuration: the queues, selected by host and path prefix
 * of a caller's request, and the pools of VMs that run the queues' tasks. */

typedef struct {
    char *name;
    char *host;
    char *prefix; /* of the path; the job's id follows it */
    char *pool;   /* name of the pool that runs the tasks */
    int64_t timeout_ms;
    /* A job is late when it takes longer than "stretch" times its longest
     * chain of estimated durations plus "target_ms". */
    int64_t target_ms;
    double stretch;
    int priority;          /* 0 is placed first */
    uint32_t max_attempts; /* failed runs of a task that fail its job;
                            * 0: no limit */
    bool needs_tickets;    /* starts need a ticket of the advice service */
    int64_t ticket_valid_ms;
} AqQueueConfig;

typedef struct {
    char *name;
    bool is_spare;        /* the spare pool, whose VMs are powered off */
    bool guards_capacity; /* its VMs refuse tasks that do not fit */
} AqPoolConfig;

typedef struct {
    int64_t version;
    AqQueueConfig *queues;
    size_t queue_count;
    AqPoolConfig *pools;
    size_t pool_count;
} AqSiteConfig;

/* Frees what the configuration owns and zeroes it. */
void AqSiteConfig_Clear(AqSiteConfig *config);

/* Finds the queue of a request: its host equals "host", whose port is ignored,
 * and its prefix is the longest that "path" starts with.  Returns NULL when
 * there is none.  Borrowed. */
const AqQueueConfig *AqSiteConfig_Match(const AqSiteConfig *config,
                                        const char *host, const char *path);
/* Name of the spare pool, or NULL when the site has none.  Borrowed. */
const char *AqSiteConfig_SparePool(const AqSiteConfig *config);
/* Queue of that name, or NULL.  Borrowed. */
const AqQueueConfig *AqSiteConfig_FindQueue(const AqSiteConfig *config,
                                            const char *name);

#endif
