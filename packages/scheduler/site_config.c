#include "aq_site_config.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void
AqSiteConfig_Clear(AqSiteConfig *config)
{
    for (size_t i = 0; i < config->queue_count; i++) {
        free(config->queues[i].name);
        free(config->queues[i].host);
        free(config->queues[i].prefix);
        free(config->queues[i].pool);
    }
    for (size_t i = 0; i < config->pool_count; i++) {
        free(config->pools[i].name);
    }
    free(config->queues);
    free(config->pools);
    memset(config, 0, sizeof(*config));
}

static bool
is_host(const char *host, const char *wanted)
{
    size_t length = strlen(wanted);
    return strncasecmp(host, wanted, length) == 0 &&
           (host[length] == '\0' || host[length] == ':');
}

const AqQueueConfig *
AqSiteConfig_Match(const AqSiteConfig *config, const char *host,
                   const char *path)
{
    const AqQueueConfig *best = NULL;
    size_t best_length = 0;
    for (size_t i = 0; i < config->queue_count; i++) {
        const AqQueueConfig *queue = &config->queues[i];
        size_t length = strlen(queue->prefix);
        if (length >= best_length && is_host(host, queue->host) &&
            strncmp(path, queue->prefix, length) == 0) {
            best = queue;
            best_length = length;
        }
    }
    return best;
}

const AqQueueConfig *
AqSiteConfig_FindQueue(const AqSiteConfig *config, const char *name)
{
    for (size_t i = 0; i < config->queue_count; i++) {
        if (strcmp(config->queues[i].name, name) == 0) {
            return &config->queues[i];
        }
    }
    return NULL;
}

const AqPoolConfig *
AqSiteConfig_FindPool(const AqSiteConfig *config, const char *name)
{
    for (size_t i = 0; i < config->pool_count; i++) {
        if (strcmp(config->pools[i].name, name) == 0) {
            return &config->pools[i];
        }
    }
    return NULL;
}

const char *
AqSiteConfig_SparePool(const AqSiteConfig *config)
{
    for (size_t i = 0; i < config->pool_count; i++) {
        if (config->pools[i].is_spare) {
            return config->pools[i].name;
        }
    }
    return NULL;
}
